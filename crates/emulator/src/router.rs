//! A router: the decision module, and the state of its requests that the emulation needs to execute the
//! module's actions. Makes no decisions of its own.

use crate::engine::AttemptId;
use slipreel::{Action, Event, Router, Settings, SettingsMapping, TimerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// An attempt, as its router knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutedAttempt {
    pub(crate) engine: usize,
    pub(crate) sent: Duration,
    pub(crate) in_flight: bool,
    /// The prefill state that the engine holds for it.
    pub(crate) state: Option<u64>,
}

/// A request at a router.
#[derive(Clone, Debug)]
pub(crate) struct RoutedRequest {
    pub(crate) script_index: usize,
    pub(crate) attempt_number: u32,
    pub(crate) due: Duration,
    pub(crate) attempts: Vec<RoutedAttempt>,
    pub(crate) has_begun: bool,
    /// The final answer is complete, or the client has disconnected.
    pub(crate) is_over: bool,
}

impl RoutedRequest {
    pub(crate) fn is_done(&self) -> bool {
        self.is_over && self.attempts.iter().all(|a| !a.in_flight)
    }

    /// The engine that holds the state of the last prefill, and the number of the state.
    pub(crate) fn state(&self) -> Option<(usize, u64)> {
        self.attempts.iter().rev().find_map(|a| a.state.map(|s| (a.engine, s)))
    }
}

/// A router of the emulated fleet.
pub(crate) struct EmulatedRouter {
    pub(crate) router: Router,
    /// The decision module from before a settings change, and the last request id that it is responsible for.
    pub(crate) predecessor: Option<(Router, u64)>,
    pub(crate) requests: BTreeMap<u64, RoutedRequest>,
    /// Role and start time of each engine in the last engine list. An engine in a new role gets a new start
    /// time.
    pub(crate) listed_engines: BTreeMap<usize, (slipreel::Role, Option<Duration>)>,
}

/// An action of the decision module that the emulation has to execute.
#[derive(Debug)]
pub(crate) enum Command {
    Send(u64, slipreel::EngineId),
    Cancel(AttemptId),
    Release(u64),
    Reject(u64, Option<Duration>),
    Fail(u64),
    SetTimer(TimerId, Duration, bool),
    Probe(slipreel::EngineId),
}

impl Command {
    /// The request that it refers to, if any.
    fn request_id(&self) -> Option<u64> {
        match self {
            Command::Send(id, _) | Command::Release(id) | Command::Reject(id, _) | Command::Fail(id) => {
                Some(*id)
            }
            Command::Cancel(attempt_id) => Some(attempt_id.request),
            Command::SetTimer(..) | Command::Probe(_) => None,
        }
    }
}

impl EmulatedRouter {
    /// Applies new settings as the gateway does, with a successor of the decision module, or with a new one
    /// that has learnt nothing.
    pub(crate) fn change_settings(
        &mut self, now: Duration, settings: Settings, change: SettingsChange, last_old_request: u64,
        seed: u64,
    ) -> Vec<Command> {
        let mapping = SettingsMapping {
            classes: (0..settings.classes.len()).map(Some).collect(),
            tenants: (0..settings.tenants.len()).map(Some).collect(),
        };
        let mut out = Vec::new();
        let next = match change {
            SettingsChange::Successor => self.router.successor(now, settings, &mapping, seed, &mut out),
            SettingsChange::Fresh => Router::new(settings, seed),
        };
        self.predecessor = Some((std::mem::replace(&mut self.router, next), last_old_request));
        commands_from(0, out, false)
    }

    /// Passes an event to the decision module and returns the resulting commands, in order. `of_predecessor`
    /// is set for a timer of the module from before a settings change.
    pub(crate) fn handle(
        &mut self, router: usize, now: Duration, event: Event, of_predecessor: bool,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        let request_id = match &event {
            Event::Request(r) => Some(r.id),
            Event::FirstToken { request, .. } | Event::ClientDisconnected(request) => Some(*request),
            Event::AttemptEnded(ended) => Some(ended.request),
            _ => None,
        };
        let Some((predecessor, last_old_request)) = &mut self.predecessor else {
            self.router.handle(now, event, &mut out);
            return commands_from(router, out, false);
        };
        let is_old_request = request_id.is_some_and(|id| id.0 <= *last_old_request);
        let is_timer = matches!(event, Event::TimerFired(_));
        let mut commands = Vec::new();
        if is_old_request || is_timer && of_predecessor || request_id.is_none() && !is_timer {
            predecessor.handle(now, event.clone(), &mut out);
            commands = commands_from(router, std::mem::take(&mut out), true);
        }
        // The successor is also informed of first tokens and attempt ends of its predecessor's requests, but
        // its commands for these requests are dropped.
        let is_shared = matches!(event, Event::AttemptEnded(_) | Event::FirstToken { .. });
        let is_for_predecessor = is_old_request || is_timer && of_predecessor;
        if !is_for_predecessor || is_old_request && is_shared {
            self.router.handle(now, event, &mut out);
            let last_old_request = *last_old_request;
            commands.extend(
                commands_from(router, out, false)
                    .into_iter()
                    .filter(|command| command.request_id().is_none_or(|id| id > last_old_request)),
            );
        }
        commands
    }
}

/// How the decision modules of routers are replaced when settings change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsChange {
    /// By successors that keep what was learnt.
    Successor,
    /// By new modules that have learnt nothing: the baseline for comparison.
    Fresh,
}

fn commands_from(router: usize, out: Vec<Action>, of_predecessor: bool) -> Vec<Command> {
    let command = |action| {
        Some(match action {
            Action::Send { request, engine, .. } => Command::Send(request.0, engine),
            Action::Cancel { request, attempt } => {
                Command::Cancel(AttemptId { router, request: request.0, attempt })
            }
            Action::Release(request) => Command::Release(request.0),
            Action::Reject { request, retry_after, .. } => Command::Reject(request.0, retry_after),
            Action::Fail(request) => Command::Fail(request.0),
            Action::SetTimer { timer, after } => Command::SetTimer(timer, after, of_predecessor),
            Action::Probe(engine) => Command::Probe(engine),
            _ => return None,
        })
    };
    out.into_iter().filter_map(command).collect()
}
