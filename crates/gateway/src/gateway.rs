//! The gateway as a state machine: handles inputs one by one, fires timers, and runs the decision modules
//! until their event queue is empty.

use crate::active_requests::ActiveRequests;
use crate::client_connections::ClientConnections;
use crate::decisions::{Decision, DecisionModules};
use crate::engine_connection::{ConnectionPurpose, State as ConnectionState};
use crate::engine_connections::EngineConnections;
use crate::engine_list::EngineList;
use crate::limits;
use crate::metrics::{Metrics, Snapshot};
use crate::request::RequestEnd;
use crate::settings::{EngineSettings, GatewaySettings};
use crate::shutdown::Shutdown;
use crate::timer::{Timer, Timers};
use slipreel::{EngineId, EngineState, Event, Listing, RequestId};
use slipreel_connections::{ClientConnection, ClientState, ReleaseQueue};
use slipreel_consensus::PolicyHandle;
use slipreel_membership::{MemberStatus, SharedView};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine, Output};
use std::sync::Arc;
use std::time::Duration;

/// Requests by how they ended, and what was sent to engines. Counters never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests passed to the decision module.
    pub admitted: u64,
    /// Answered completely.
    pub completed: u64,
    /// Rejected by the decision module.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Clients that disconnected before their answer ended.
    pub disconnected: u64,
    /// Answered with an error before the decision module: invalid input, unknown paths, the gateway's own
    /// limits.
    pub rejected_before_admission: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Probes sent.
    pub probes: u64,
}

/// How much state a gateway holds, by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldState {
    /// Client connections.
    pub client_connections: usize,
    /// Connections to engines, including those that are being opened.
    pub engine_connections: usize,
    /// Requests in progress.
    pub requests: usize,
    /// Timers that are set.
    pub timers: usize,
}

/// Owner message: the number of routers that share the engines from now on, including this one. The decision
/// modules keep what they have learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCount(pub u32);

/// A router between clients and engines, without I/O and clock.
///
/// Accepts as [`Input::OwnerMessage`]: `Vec<EngineSettings>`, the complete list of engines;
/// `Arc<GatewaySettings>`, new settings; [`RouterCount`]; `Arc<SharedView>`, this router's view of the fleet;
/// `Arc<PolicyHandle>`, the policy that the fleet agrees on.
pub struct Gateway {
    pub(crate) now: Duration,
    pub(crate) settings: Arc<GatewaySettings>,
    /// Wall clock minus the gateway's clock, 0 if negative. Engines report their start times in wall time.
    pub(crate) wall_clock_offset: Duration,
    pub(crate) decision_modules: DecisionModules,
    pub(crate) engine_list: EngineList,
    pub(crate) clients: ClientConnections,
    pub(crate) engine_connections: EngineConnections,
    pub(crate) requests: ActiveRequests,
    pub(crate) timers: Timers,
    /// Releases that engines have not acknowledged yet.
    pub(crate) releases: ReleaseQueue,
    pub(crate) shutdown: Shutdown,
    pub(crate) counters: Counters,
    /// Labelled by class name, since class positions change when settings are reloaded.
    pub(crate) metrics: Metrics,
    /// The view of the fleet, if this process is a member of one.
    pub(crate) fleet_view: Option<Arc<SharedView>>,
    /// The fleet's policy, if this process takes part in the agreement on one.
    pub(crate) policy: Option<Arc<PolicyHandle>>,
    /// The policy epoch under which this gateway admits requests.
    pub(crate) policy_epoch: u64,
    /// The engine list as it was received, including engines that operators drain.
    pub(crate) listed_engines: Vec<EngineSettings>,
    /// The number of routers by the fleet's view. It overrides the configured number, also after a reload.
    router_count: Option<u32>,
}

impl Gateway {
    /// Creates a gateway. `seed` seeds its random numbers and is the prefix of its request ids, so each start
    /// needs a new one. `wall_clock` is the time since the Unix epoch at `now` on the gateway's clock.
    pub fn new(settings: Arc<GatewaySettings>, seed: u64, now: Duration, wall_clock: Duration) -> Self {
        let mut gateway = Gateway {
            now,
            wall_clock_offset: wall_clock.saturating_sub(now),
            decision_modules: DecisionModules::new(seed),
            engine_list: EngineList::default(),
            clients: ClientConnections::default(),
            engine_connections: EngineConnections::default(),
            requests: ActiveRequests::new(seed),
            timers: Timers::default(),
            releases: ReleaseQueue::new(limits::RELEASE_TIMING),
            shutdown: Shutdown::default(),
            counters: Counters::default(),
            metrics: Metrics::default(),
            fleet_view: None,
            policy: None,
            policy_epoch: 0,
            listed_engines: settings.engines.clone(),
            router_count: None,
            settings: settings.clone(),
        };
        gateway.add_decision_module(settings.clone());
        let list = gateway.effective_engine_list();
        let (event, _) = gateway.engine_list.replace(now, &list);
        // The list that a router starts with may be outdated, so it is queued as a cached one.
        if let Event::Engines { engines, .. } = event {
            gateway.queue_event_for_all(Event::Engines { listing: Listing::Cached, engines });
        }
        gateway
    }

    /// The counters of ended requests and of exchanges with engines.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The amount of state that the gateway holds.
    pub fn held_state(&self) -> HeldState {
        HeldState {
            client_connections: self.clients.len(),
            engine_connections: self.engine_connections.len(),
            requests: self.requests.len(),
            timers: self.timers.len(),
        }
    }

    /// Applies settings with a new decision module that has learnt nothing.
    fn add_decision_module(&mut self, settings: Arc<GatewaySettings>) {
        let decision_settings = self.decision_settings(&settings);
        self.decision_modules.add(decision_settings);
        self.settings = settings;
    }

    /// The settings for the decision module, with this router's zone number and the router count of the
    /// fleet's view.
    pub(crate) fn decision_settings(&mut self, settings: &GatewaySettings) -> slipreel::Settings {
        let mut decisions = settings.decisions.clone();
        decisions.zone = self.engine_list.zone(&settings.zone);
        decisions.router_count = self.router_count.unwrap_or(decisions.router_count);
        decisions
    }

    /// Sets the number of routers of the fleet's view; the decision modules keep what they have learnt.
    fn set_router_count(&mut self, count: RouterCount) {
        self.router_count = Some(count.0);
        self.decision_modules.set_router_count(count.0);
    }

    /// Why this router's membership keeps it from being ready: another process holds its name in the fleet,
    /// or that is not known yet, or the router has left.
    pub(crate) fn membership_obstacle(&self) -> Option<&'static str> {
        match self.fleet_view.as_ref()?.view().status {
            MemberStatus::Ready => None,
            MemberStatus::Joining => Some("joining"),
            MemberStatus::Challenged => Some("challenged"),
            MemberStatus::Yielded => Some("yielded"),
            MemberStatus::Left => Some("left"),
        }
    }

    /// Queues an event for the decision module of one generation.
    pub(crate) fn queue_event(&mut self, generation: u64, event: Event) {
        self.decision_modules.queue(generation, event);
    }

    /// Queues an event for all decision modules.
    pub(crate) fn queue_event_for_all(&mut self, event: Event) {
        self.decision_modules.queue_for_all(event);
    }

    /// Runs the decision modules until their event queue is empty, then removes finished requests and unused
    /// modules.
    fn run_decisions(&mut self, out: &mut Vec<Output>) {
        self.drop_abandoned_connections(out);
        while let Some(queued) = self.decision_modules.next_event() {
            for index in 0..self.decision_modules.len() {
                if let Some(decision) = self.decision_modules.handle(index, self.now, &queued) {
                    self.dispatch_decision(decision, out);
                }
            }
        }
        for engine in self.requests.remove_finished() {
            self.engine_connections.state_released(Some(engine));
        }
        let requests = &self.requests;
        self.decision_modules.remove_unused(|generation| requests.has_generation(generation));
        if self.requests.is_empty() && self.clients.is_empty() && self.shutdown.finish() {
            out.push(Output::Stopped);
        }
    }

    /// Dispatches the actions of a decision. Actions on a request of another generation are dropped, since
    /// that generation's own module decides on the request.
    fn dispatch_decision(&mut self, decision: Decision, out: &mut Vec<Output>) {
        for action in decision.actions {
            if !self.is_of_other_generation(decision.generation, &action) {
                self.dispatch(decision.generation, action, out);
            }
        }
    }

    // ---- Timers -----------------------------------------------------------------------------

    /// When a connection to an engine times out; `None` if its state has no timeout.
    fn engine_deadline(&self, conn: ConnId) -> Option<Duration> {
        let connection = self.engine_connections.get(conn)?;
        let is_streaming = match connection.purpose {
            ConnectionPurpose::Attempt { request, attempt, .. } => {
                self.requests.is_streaming(RequestId(request), attempt)
            }
            ConnectionPurpose::Probe | ConnectionPurpose::Release(_) => false,
        };
        connection.deadline(&self.settings, is_streaming)
    }

    /// Sets the timer of a client connection according to its state.
    pub(crate) fn arm_client_timer(&mut self, conn: ConnId) {
        self.clients.arm_timer(conn, &self.settings.bounds, &mut self.timers);
    }

    /// Sets the timer of a connection to an engine according to its state.
    pub(crate) fn arm_engine_timer(&mut self, conn: ConnId) {
        let deadline = self.engine_deadline(conn);
        self.engine_connections.arm_timer(conn, deadline, &mut self.timers);
    }

    /// Handles the timer of a client connection, whose deadline may have moved since.
    fn client_timer_fired(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.clients.timer_fired(conn);
        match self.clients.deadline(conn, &self.settings.bounds) {
            Some(deadline) if deadline <= self.now => self.client_timed_out(conn, out),
            _ => self.arm_client_timer(conn),
        }
    }

    /// Handles the timer of a connection to an engine, whose deadline may have moved since.
    fn engine_timer_fired(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.engine_connections.timer_fired(conn);
        match self.engine_deadline(conn) {
            Some(deadline) if deadline <= self.now => self.engine_timed_out(conn, out),
            _ => self.arm_engine_timer(conn),
        }
    }

    fn handle_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Decision(generation, timer) => self.queue_event(generation, Event::TimerFired(timer)),
            Timer::Client(conn) => self.client_timer_fired(conn, out),
            Timer::Engine(conn) => self.engine_timer_fired(conn, out),
            Timer::Attempt(id, attempt) => self.attempt_timed_out(id, attempt, out),
            Timer::CompleteAnswer(id) => self.complete_answer_timed_out(id, out),
            Timer::Release(id) => self.release_due(id, out),
            Timer::ShutdownDeadline => self.end_at_shutdown_deadline(out),
        }
    }

    /// Handles all due timers.
    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(self.now) {
            self.handle_timer(timer, out);
            self.run_decisions(out);
        }
    }

    // ---- Engine list, settings, shutdown ------------------------------------------------------

    /// The engine list, with engines that operators drain marked as draining.
    fn effective_engine_list(&self) -> Vec<EngineSettings> {
        let mut list = self.listed_engines.clone();
        for engine in list.iter_mut().filter(|engine| self.settings.drained_engines.contains(&engine.name)) {
            if engine.state == EngineState::Ready {
                engine.state = EngineState::Draining;
            }
        }
        list
    }

    /// Replaces the engine list, and closes connections to engines that are no longer ready unless they are
    /// busy.
    pub(crate) fn replace_engine_list(&mut self, list: &[EngineSettings], out: &mut Vec<Output>) {
        self.listed_engines = list.to_vec();
        let list = self.effective_engine_list();
        let (event, no_longer_ready) = self.engine_list.replace(self.now, &list);
        self.queue_event_for_all(event);
        // An attempt that waits for a connection to such an engine is ended, so that another engine gets the
        // request.
        let unsent: Vec<ConnId> = self.engine_connections.sorted_ids(|connection| {
            no_longer_ready.contains(&connection.engine)
                && connection.state == ConnectionState::Connecting
                && matches!(connection.purpose, ConnectionPurpose::Attempt { .. })
        });
        for conn in unsent {
            self.abort_connection(conn, out, slipreel::Outcome::NotSent);
        }
        for engine in no_longer_ready {
            self.close_idle(engine, out);
        }
    }

    /// Applies settings that were read again.
    fn apply_settings(&mut self, settings: &Arc<GatewaySettings>, out: &mut Vec<Output>) {
        let engines_changed = self.settings.engines != settings.engines;
        if self.policy.is_some() {
            // Only this router's own settings have changed, not the policy, so what was learnt is kept.
            self.replace_settings(settings.clone(), out);
        } else {
            self.add_decision_module(settings.clone());
        }
        if engines_changed {
            self.replace_engine_list(&settings.engines.clone(), out);
        } else {
            let current = self.listed_engines.clone();
            self.replace_engine_list(&current, out);
        }
        out.push(Output::Log("settings were read again; requests under way end by the old ones".into()));
    }

    /// Begins the graceful shutdown: closes idle clients, and the others after their answer.
    fn begin_shutdown(&mut self, out: &mut Vec<Output>) {
        if !self.shutdown.begin() {
            return;
        }
        for conn in self.clients.ids() {
            let Some(client) = self.clients.get_mut(conn) else { continue };
            match client.state {
                ClientState::Idle => {
                    out.push(Output::CloseWhenSent(conn));
                    self.clients.remove(conn, &mut self.timers);
                }
                _ => client.close_after_answer(),
            }
        }
        self.timers.set(self.now + self.settings.bounds.stop, Timer::ShutdownDeadline);
    }

    /// Counts a final answer.
    pub(crate) fn count_end(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Completed => self.counters.completed += 1,
            RequestEnd::Rejected => self.counters.rejected += 1,
            RequestEnd::Failed => self.counters.failed += 1,
        }
    }

    /// The name of a class, for metrics; empty if there is none at this position.
    pub(crate) fn class_name(&self, class: usize) -> &str {
        self.settings.classes.get(class).map_or("", |class| &class.name)
    }

    /// The current values of the gauges.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let role_and_state = |(_, entry): (_, &crate::engine_list::EngineEntry)| {
            let role = match entry.settings.role {
                slipreel::Role::Prefill => "read",
                slipreel::Role::Decode => "write",
                slipreel::Role::Mixed => "both",
            };
            let state = match entry.settings.state {
                slipreel::EngineState::Ready => "ready",
                slipreel::EngineState::Draining => "draining",
                slipreel::EngineState::Gone => "gone",
            };
            (role, state)
        };
        Snapshot {
            engines: self.engine_list.iter().map(role_and_state).collect(),
            clients: self.clients.len(),
            engine_connections: self.engine_connections.len(),
            active_requests: self.requests.len(),
            releases: self.releases.len(),
        }
    }

    /// The name of an engine, or its id if it is not in the list.
    pub(crate) fn engine_name(&self, id: EngineId) -> String {
        self.engine_list.get(id).map_or_else(|| format!("{:x}", id.0), |entry| entry.settings.name.clone())
    }
}

impl Gateway {
    /// Handles a message of the owner of this machine; other types are ignored.
    fn handle_owner_message(&mut self, message: &(dyn std::any::Any + Send + Sync), out: &mut Vec<Output>) {
        if let Some(list) = message.downcast_ref::<Vec<EngineSettings>>() {
            self.replace_engine_list(list, out);
        } else if let Some(settings) = message.downcast_ref::<Arc<GatewaySettings>>() {
            self.apply_settings(settings, out);
        } else if let Some(view) = message.downcast_ref::<Arc<SharedView>>() {
            self.fleet_view = Some(view.clone());
        } else if let Some(handle) = message.downcast_ref::<Arc<PolicyHandle>>() {
            self.policy = Some(handle.clone());
        } else if let Some(count) = message.downcast_ref::<RouterCount>() {
            self.set_router_count(*count);
        }
    }
}

impl Machine for Gateway {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // Due timers come before the input, whatever order the driver found them in.
        self.run_timers(out);
        self.apply_policy(out);
        match input {
            Input::Accepted(conn, listener) => {
                let limits =
                    slipreel_protocol::http::Limits { body: self.settings.bounds.body, ..Default::default() };
                if self.shutdown.has_begun() || self.clients.len() >= self.settings.bounds.connections {
                    out.push(Output::Abort(conn));
                } else {
                    self.clients.insert(ClientConnection::new(
                        conn,
                        listener,
                        self.now,
                        limits,
                        limits::MAX_PIPELINED_BYTES,
                    ));
                    self.arm_client_timer(conn);
                }
            }
            Input::Connected(conn) => self.engine_connected(conn, out),
            Input::Data(conn, bytes) if conn.is_opened() => self.engine_data(conn, bytes, out),
            Input::Data(conn, bytes) => self.client_data(conn, bytes, out),
            Input::Eof(conn) if conn.is_opened() => self.engine_eof(conn, out),
            Input::Eof(conn) => self.client_eof(conn, out),
            Input::Sent(conn, sent_bytes) if !conn.is_opened() => self.client_sent(conn, sent_bytes, out),
            Input::Sent(..) => {}
            Input::Lost(conn, loss) if conn.is_opened() => self.engine_connection_lost(conn, loss, out),
            Input::Lost(conn, _) => self.client_disconnected(conn),
            // A client may send a request, close its sending side and wait for the answer: what it sent is
            // read first.
            Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake
            | Input::Datagram(..) => {}
            Input::Stop => self.begin_shutdown(out),
            Input::OwnerMessage(message) => self.handle_owner_message(message, out),
        }
        self.run_decisions(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}

/// The outcome of an exchange whose connection was lost.
pub(crate) fn loss_outcome(loss: ConnectionLoss) -> slipreel::Outcome {
    match loss {
        ConnectionLoss::NotConnected => slipreel::Outcome::ConnectFailed,
        ConnectionLoss::Exhausted => slipreel::Outcome::NotSent,
        ConnectionLoss::Reset => slipreel::Outcome::Reset,
    }
}
