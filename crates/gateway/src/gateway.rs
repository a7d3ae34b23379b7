//! The gateway as a state machine: takes inputs in turn, fires timers, and lets the decision modules decide until no event
//! is left.

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

/// How many requests ended how, and what the gateway holds. Counters only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests handed to the decision module.
    pub admitted: u64,
    /// Final answers by kind.
    pub completed: u64,
    /// Rejected by the decision module.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Clients that disconnected before their answer ended.
    pub disconnected: u64,
    /// Answered without the decision module: bad input, unknown paths, the gateway's own bounds.
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
    /// Connections to engines, those that are being opened included.
    pub engine_connections: usize,
    /// Requests that are not finished.
    pub requests: usize,
    /// Timers that are set.
    pub timers: usize,
}

/// Owner message: how many routers share the fleet from now on, this one included. What was learnt stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCount(pub u32);

/// A router between clients and engines, without I/O and clock.
///
/// Takes as [`Input::OwnerMessage`]: `Vec<EngineSettings>`, the complete list of engines; `Arc<GatewaySettings>`, new settings;
/// [`RouterCount`]; `Arc<SharedView>`, the membership; `Arc<PolicyHandle>`, the policy that the fleet agrees on.
pub struct Gateway {
    pub(crate) now: Duration,
    pub(crate) settings: Arc<GatewaySettings>,
    /// Clock of the gateway at the epoch of wall time, if that is after the epoch: engines report start times in wall time.
    pub(crate) epoch_ahead: Duration,
    pub(crate) decision_modules: DecisionModules,
    pub(crate) engine_list: EngineList,
    pub(crate) clients: ClientConnections,
    pub(crate) engines: EngineConnections,
    pub(crate) requests: ActiveRequests,
    pub(crate) timers: Timers,
    /// State that engines still have to release.
    pub(crate) releases: ReleaseQueue,
    pub(crate) shutdown: Shutdown,
    pub(crate) counters: Counters,
    /// By class name, as names outlive reloads.
    pub(crate) metrics: Metrics,
    /// The view of the fleet, where this process is a member of one.
    pub(crate) fleet: Option<Arc<SharedView>>,
    /// The fleet's policy, where this process takes part in agreeing on one, and the epoch by which this gateway admits requests.
    pub(crate) policy: Option<Arc<PolicyHandle>>,
    pub(crate) policy_epoch: u64,
    /// Engines as they were listed, those included that operators have taken out.
    pub(crate) listed: Vec<EngineSettings>,
    /// Routers to reckon with by that view; it holds for settings that are read again too.
    routers: Option<u32>,
}

impl Gateway {
    /// A gateway at its start. `seed` settles its chances and begins its request ids, so it is to be a new one at
    /// each start. `wall` is the wall clock, since the epoch, at the clock's time `now`.
    pub fn new(settings: Arc<GatewaySettings>, seed: u64, now: Duration, wall: Duration) -> Self {
        let mut gateway = Gateway {
            now,
            epoch_ahead: wall.saturating_sub(now),
            decision_modules: DecisionModules::new(seed),
            engine_list: EngineList::default(),
            clients: ClientConnections::default(),
            engines: EngineConnections::default(),
            requests: ActiveRequests::new(seed),
            timers: Timers::default(),
            releases: ReleaseQueue::new(limits::RELEASE_TIMING),
            shutdown: Shutdown::default(),
            counters: Counters::default(),
            metrics: Metrics::default(),
            fleet: None,
            policy: None,
            policy_epoch: 0,
            listed: settings.engines.clone(),
            routers: None,
            settings: settings.clone(),
        };
        gateway.add_decision_module(settings.clone());
        let list = gateway.effective_engine_list();
        let (event, _) = gateway.engine_list.replace(now, &list);
        // A router comes up with the list that it is given, which may be old.
        if let Event::Engines { engines, .. } = event {
            gateway.queue_event_for_all(Event::Engines { listing: Listing::Cached, engines });
        }
        gateway
    }

    /// Its counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How much state it holds.
    pub fn held_state(&self) -> HeldState {
        HeldState {
            client_connections: self.clients.len(),
            engine_connections: self.engines.len(),
            requests: self.requests.len(),
            timers: self.timers.len(),
        }
    }

    fn add_decision_module(&mut self, settings: Arc<GatewaySettings>) {
        let decision_settings = self.decision_settings(&settings);
        self.decision_modules.add(decision_settings);
        self.settings = settings;
    }

    /// The settings as the decision module is handed them here.
    pub(crate) fn decision_settings(&mut self, settings: &GatewaySettings) -> slipreel::Settings {
        let mut decisions = settings.decisions.clone();
        decisions.zone = self.engine_list.zone(&settings.zone);
        decisions.router_count = self.routers.unwrap_or(decisions.router_count);
        decisions
    }

    /// The view reckons with another number of routers: all that was learnt stays.
    fn share_with(&mut self, routers: RouterCount) {
        self.routers = Some(routers.0);
        self.decision_modules.set_router_count(routers.0);
    }

    /// Whether another process holds this one's name in the fleet, or is not yet known not to.
    pub(crate) fn membership_obstacle(&self) -> Option<&'static str> {
        match self.fleet.as_ref()?.view().status {
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

    /// Lets the decision modules decide until no event waits; then removes what is finished.
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
            self.engines.state_released(Some(engine));
        }
        let requests = &self.requests;
        self.decision_modules.remove_unused(|generation| requests.has_generation(generation));
        if self.requests.is_empty() && self.clients.is_empty() && self.shutdown.finish() {
            out.push(Output::Stopped);
        }
    }

    /// Dispatches the actions of a decision. What a module decides on a request of another generation is dropped: that
    /// generation's own module decides on it.
    fn dispatch_decision(&mut self, decision: Decision, out: &mut Vec<Output>) {
        for action in decision.actions {
            if !self.is_of_other_generation(decision.generation, &action) {
                self.dispatch(decision.generation, action, out);
            }
        }
    }

    // ---- Timers -----------------------------------------------------------------------------

    /// When a connection to an engine times out; `None` if it does not in its present state.
    fn engine_deadline(&self, conn: ConnId) -> Option<Duration> {
        let connection = self.engines.get(conn)?;
        let is_streaming = match connection.purpose {
            ConnectionPurpose::Attempt { request, attempt, .. } => {
                self.requests.is_streaming(RequestId(request), attempt)
            }
            ConnectionPurpose::Probe | ConnectionPurpose::Release(_) => false,
        };
        connection.deadline(&self.settings, is_streaming)
    }

    /// Sets the timer of a client connection by its state.
    pub(crate) fn arm_client_timer(&mut self, conn: ConnId) {
        self.clients.arm_timer(conn, &self.settings.bounds, &mut self.timers);
    }

    /// Sets the timer of a connection to an engine by its state.
    pub(crate) fn arm_engine_timer(&mut self, conn: ConnId) {
        let deadline = self.engine_deadline(conn);
        self.engines.arm_timer(conn, deadline, &mut self.timers);
    }

    fn client_timer_fired(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.clients.timer_fired(conn);
        match self.clients.deadline(conn, &self.settings.bounds) {
            Some(deadline) if deadline <= self.now => self.client_timed_out(conn, out),
            _ => self.arm_client_timer(conn),
        }
    }

    fn engine_timer_fired(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        self.engines.timer_fired(conn);
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

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop(self.now) {
            self.handle_timer(timer, out);
            self.run_decisions(out);
        }
    }

    // ---- News ---------------------------------------------------------------------------------

    /// The list, in which engines that operators have taken out take nothing new.
    fn effective_engine_list(&self) -> Vec<EngineSettings> {
        let mut list = self.listed.clone();
        for engine in list.iter_mut().filter(|e| self.settings.taken_out.contains(&e.name)) {
            if engine.state == EngineState::Ready {
                engine.state = EngineState::Draining;
            }
        }
        list
    }

    pub(crate) fn take_list(&mut self, list: &[EngineSettings], out: &mut Vec<Output>) {
        self.listed = list.to_vec();
        let list = self.effective_engine_list();
        let (event, closed) = self.engine_list.replace(self.now, &list);
        self.queue_event_for_all(event);
        // What has not left for an engine that drains or is gone goes elsewhere.
        let unsent: Vec<ConnId> = self.engines.sorted_ids(|l| {
            closed.contains(&l.engine)
                && l.state == ConnectionState::Connecting
                && matches!(l.purpose, ConnectionPurpose::Attempt { .. })
        });
        for conn in unsent {
            self.abort_connection(conn, out, slipreel::Outcome::NotSent);
        }
        for engine in closed {
            self.close_idle(engine, out);
        }
    }

    fn take_site(&mut self, settings: &Arc<GatewaySettings>, out: &mut Vec<Output>) {
        let listed = self.settings.engines != settings.engines;
        if self.policy.is_some() {
            // What is the router's own has changed; the policy has not, and what was learnt stays.
            self.replace_settings(settings.clone(), out);
        } else {
            self.add_decision_module(settings.clone());
        }
        if listed {
            self.take_list(&settings.engines.clone(), out);
        } else {
            let current = self.listed.clone();
            self.take_list(&current, out);
        }
        out.push(Output::Log("settings were read again; requests under way end by the old ones".into()));
    }

    fn stop(&mut self, out: &mut Vec<Output>) {
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

    pub(crate) fn count(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Completed => self.counters.completed += 1,
            RequestEnd::Rejected => self.counters.rejected += 1,
            RequestEnd::Failed => self.counters.failed += 1,
        }
    }

    /// The name of a class, for what is published.
    pub(crate) fn class_name(&self, class: usize) -> &str {
        self.settings.classes.get(class).map_or("", |c| &c.name)
    }

    /// What stands now, for what is published.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let engine = |(_, m): (_, &crate::engine_list::EngineEntry)| {
            let role = match m.settings.role {
                slipreel::Role::Prefill => "read",
                slipreel::Role::Decode => "write",
                slipreel::Role::Mixed => "both",
            };
            let state = match m.settings.state {
                slipreel::EngineState::Ready => "ready",
                slipreel::EngineState::Draining => "draining",
                slipreel::EngineState::Gone => "gone",
            };
            (role, state)
        };
        Snapshot {
            engines: self.engine_list.iter().map(engine).collect(),
            clients: self.clients.len(),
            engine_connections: self.engines.len(),
            under_way: self.requests.len(),
            releases: self.releases.len(),
        }
    }

    pub(crate) fn engine_name(&self, id: EngineId) -> String {
        self.engine_list.get(id).map_or_else(|| format!("{:x}", id.0), |m| m.settings.name.clone())
    }
}

impl Gateway {
    /// Takes what the owner of this machine hands in; other types are ignored.
    fn handle_owner_message(&mut self, message: &(dyn std::any::Any + Send + Sync), out: &mut Vec<Output>) {
        if let Some(list) = message.downcast_ref::<Vec<EngineSettings>>() {
            self.take_list(list, out);
        } else if let Some(settings) = message.downcast_ref::<Arc<GatewaySettings>>() {
            self.take_site(settings, out);
        } else if let Some(board) = message.downcast_ref::<Arc<SharedView>>() {
            self.fleet = Some(board.clone());
        } else if let Some(handle) = message.downcast_ref::<Arc<PolicyHandle>>() {
            self.policy = Some(handle.clone());
        } else if let Some(routers) = message.downcast_ref::<RouterCount>() {
            self.share_with(*routers);
        }
    }
}

impl Machine for Gateway {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // What is due comes before what has just come in, whatever order the driver found them in.
        self.run_timers(out);
        self.apply_policy(out);
        match input {
            Input::Accepted(conn, door) => {
                let limits =
                    slipreel_protocol::http::Limits { body: self.settings.bounds.body, ..Default::default() };
                if self.shutdown.has_begun() || self.clients.len() >= self.settings.bounds.connections {
                    out.push(Output::Abort(conn));
                } else {
                    self.clients.insert(ClientConnection::new(
                        conn,
                        door,
                        self.now,
                        limits,
                        limits::MAX_PIPELINED,
                    ));
                    self.arm_client_timer(conn);
                }
            }
            Input::Connected(conn) => self.engine_connected(conn, out),
            Input::Data(conn, bytes) if conn.is_opened() => self.engine_data(conn, bytes, out),
            Input::Data(conn, bytes) => self.client_data(conn, bytes, out),
            Input::Eof(conn) if conn.is_opened() => self.engine_eof(conn, out),
            Input::Eof(conn) => self.client_eof(conn, out),
            Input::Sent(conn, n) if !conn.is_opened() => self.client_sent(conn, n, out),
            Input::Sent(..) => {}
            Input::Lost(conn, why) if conn.is_opened() => self.engine_connection_lost(conn, why, out),
            Input::Lost(conn, _) => self.client_gone(conn),
            // A client may ask, close its side and only listen: what it sent before is read first.
            Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake
            | Input::Datagram(..) => {}
            Input::Stop => self.stop(out),
            Input::OwnerMessage(message) => self.handle_owner_message(message, out),
        }
        self.run_decisions(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.timers.next_at()
    }
}

/// What the loss of a connection that carried something means for the decision module.
pub(crate) fn loss_outcome(loss: ConnectionLoss) -> slipreel::Outcome {
    match loss {
        ConnectionLoss::NotConnected => slipreel::Outcome::ConnectFailed,
        ConnectionLoss::Exhausted => slipreel::Outcome::NotSent,
        ConnectionLoss::Reset => slipreel::Outcome::Reset,
    }
}
