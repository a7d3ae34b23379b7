//! A router: its module, and what the module has to be told and asked of. Decides nothing itself.

use crate::engine::Try;
use slipreel::{Action, Event, Router, Settings, SettingsMapping, TimerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// One attempt as its router knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) engine: usize,
    pub(crate) sent: Duration,
    pub(crate) out: bool,
    /// The state that it left there.
    pub(crate) state: Option<u64>,
}

/// A request at a router.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) plan: usize,
    pub(crate) tries: u32,
    pub(crate) due: Duration,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) began: bool,
    /// It has its final answer, or its client has left.
    pub(crate) over: bool,
}

impl Call {
    pub(crate) fn is_done(&self) -> bool {
        self.over && self.attempts.iter().all(|a| !a.out)
    }

    /// The engine that holds the state of the last read, and the state.
    pub(crate) fn state(&self) -> Option<(usize, u64)> {
        self.attempts.iter().rev().find_map(|a| a.state.map(|s| (a.engine, s)))
    }
}

pub(crate) struct Host {
    pub(crate) router: Router,
    /// The one before a change of settings: it ends the requests with numbers up to this one.
    pub(crate) before: Option<(Router, u64)>,
    pub(crate) calls: BTreeMap<u64, Call>,
    /// Epochs of engines as of the last list, so that a new role comes with a new start.
    pub(crate) starts: BTreeMap<usize, (slipreel::Role, Option<Duration>)>,
}

/// What a module asks for that lies outside its router.
#[derive(Debug)]
pub(crate) enum Wish {
    Send(u64, slipreel::EngineId),
    Cancel(Try),
    Release(u64),
    Refuse(u64, Option<Duration>),
    Fail(u64),
    Timer(TimerId, Duration, bool),
    Probe(slipreel::EngineId),
}

impl Wish {
    /// The request that it is about.
    fn of(&self) -> Option<u64> {
        match self {
            Wish::Send(id, _) | Wish::Release(id) | Wish::Refuse(id, _) | Wish::Fail(id) => Some(*id),
            Wish::Cancel(who) => Some(who.request),
            Wish::Timer(..) | Wish::Probe(_) => None,
        }
    }
}

impl Host {
    /// New settings, as a front takes them: with an heir, or with a router that has to learn anew.
    pub(crate) fn change(
        &mut self, now: Duration, settings: Settings, how: Change, last: u64, seed: u64,
    ) -> Vec<Wish> {
        let places = SettingsMapping {
            classes: (0..settings.classes.len()).map(Some).collect(),
            tenants: (0..settings.tenants.len()).map(Some).collect(),
        };
        let mut out = Vec::new();
        let next = match how {
            Change::Heir => self.router.successor(now, settings, &places, seed, &mut out),
            Change::Anew => Router::new(settings, seed),
        };
        self.before = Some((std::mem::replace(&mut self.router, next), last));
        wishes(0, out, false)
    }

    /// Tells the module; gives what it wishes, in order. `old`: a timer of the router before a change.
    pub(crate) fn tell(&mut self, router: usize, now: Duration, event: Event, old: bool) -> Vec<Wish> {
        let mut out = Vec::new();
        let of = match &event {
            Event::Request(r) => Some(r.id),
            Event::FirstToken { request, .. } | Event::ClientDisconnected(request) => Some(*request),
            Event::AttemptEnded(ended) => Some(ended.request),
            _ => None,
        };
        let Some((before, last)) = &mut self.before else {
            self.router.handle(now, event, &mut out);
            return wishes(router, out, false);
        };
        let its = of.is_some_and(|id| id.0 <= *last);
        let timer = matches!(event, Event::TimerFired(_));
        let mut told = Vec::new();
        if its || timer && old || of.is_none() && !timer {
            before.handle(now, event.clone(), &mut out);
            told = wishes(router, std::mem::take(&mut out), true);
        }
        // The heir hears of the ends of what it has inherited, and asks for nothing on that account.
        let inherits = matches!(event, Event::AttemptEnded(_) | Event::FirstToken { .. });
        let for_the_first = its || timer && old;
        if !for_the_first || its && inherits {
            self.router.handle(now, event, &mut out);
            let last = *last;
            told.extend(wishes(router, out, false).into_iter().filter(|w| w.of().is_none_or(|id| id > last)));
        }
        told
    }
}

/// How routers take new settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// What was learnt stays.
    Heir,
    /// It is learnt anew: the baseline.
    Anew,
}

fn wishes(router: usize, out: Vec<Action>, old: bool) -> Vec<Wish> {
    let wish = |action| {
        Some(match action {
            Action::Send { request, engine, .. } => Wish::Send(request.0, engine),
            Action::Cancel { request, attempt } => Wish::Cancel(Try { router, request: request.0, attempt }),
            Action::Release(request) => Wish::Release(request.0),
            Action::Reject { request, retry_after, .. } => Wish::Refuse(request.0, retry_after),
            Action::Fail(request) => Wish::Fail(request.0),
            Action::SetTimer { timer, after } => Wish::Timer(timer, after, old),
            Action::Probe(engine) => Wish::Probe(engine),
            _ => return None,
        })
    };
    out.into_iter().filter_map(wish).collect()
}
