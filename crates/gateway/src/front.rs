//! The front as a machine: takes inputs in turn, fires timers, and lets the module decide until nothing is left.

use crate::call::{Call, Final};
use crate::gauges::{Gauges, Now};
use crate::limits;
use crate::link::{Link, State as LinkState, Use};
use crate::members::Members;
use crate::site::{EngineSite, Site};
use slipreel::{Action, EngineId, EngineState, Event, Listing, RequestId, Router, TimerId};
use slipreel_connections::{
    Client, ConnectionTimers, Pool, ReleaseId, ReleaseQueue, State as ClientState, TimerWheel,
};
use slipreel_consensus::PolicyHandle;
use slipreel_membership::{MemberStatus, SharedView};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine, Output};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How many requests ended how, and what the front holds. Counters only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests told to the module.
    pub taken: u64,
    /// Final answers by kind.
    pub served: u64,
    /// Turned away by the module.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Clients that left before their answer ended.
    pub left: u64,
    /// Answered without the module: bad input, unknown paths, the front's own bounds.
    pub turned: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Probes sent.
    pub probes: u64,
}

/// News for a front: so many routers share the fleet from now on, this one counted. What was learnt stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing(pub u32);

/// Why a timer was set.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Alarm {
    /// A router's own timer, with its generation.
    Module(u64, TimerId),
    Client(ConnId),
    Link(ConnId),
    /// An attempt's time-out, where the module gives one.
    Attempt(RequestId, usize),
    /// A client that waits for a whole answer gives up.
    Whole(RequestId),
    /// An engine that could not be told to let go of state is told again.
    Release(ReleaseId),
    /// Time to end what still runs after a stop.
    StopBy,
}

/// A router and the site that it was made from. After a reload the older one ends what it has taken.
pub(crate) struct Brain {
    pub(crate) generation: u64,
    pub(crate) router: Router,
}

/// A router between clients and engines, without I/O and clock.
///
/// Takes as [`Input::News`]: `Vec<EngineSite>`, the complete list of engines; `Arc<Site>`, new settings.
pub struct Front {
    pub(crate) now: Duration,
    pub(crate) site: Arc<Site>,
    pub(crate) seed: u64,
    /// Clock of the front at the epoch of wall time, if that is after the epoch: start times are told in wall time.
    pub(crate) epoch_ahead: Duration,
    pub(crate) brains: Vec<Brain>,
    pub(crate) members: Members,
    pub(crate) clients: HashMap<ConnId, Client>,
    client_alarms: ConnectionTimers,
    pub(crate) links: HashMap<ConnId, Link>,
    link_alarms: ConnectionTimers,
    pub(crate) pool: Pool,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    pub(crate) wheel: TimerWheel<Alarm>,
    /// What the module is to be told, and by whose router; `None`: all.
    pub(crate) events: VecDeque<(Option<u64>, Event)>,
    pub(crate) reap: Vec<RequestId>,
    /// What engines have to be told to let go of, until they have heard it.
    pub(crate) releases: ReleaseQueue,
    /// Engine connections whose client has left.
    pub(crate) orphans: Vec<ConnId>,
    pub(crate) next_conn: u64,
    pub(crate) next_call: u64,
    pub(crate) stopping: bool,
    stopped: bool,
    pub(crate) tally: Tally,
    /// By class name, as names outlive reloads.
    pub(crate) gauges: Gauges,
    /// The view of the fleet, where this process is a member of one.
    pub(crate) fleet: Option<Arc<SharedView>>,
    /// The fleet's policy, where this process takes part in agreeing on one, and the epoch that this front acts by.
    pub(crate) policy: Option<Arc<PolicyHandle>>,
    pub(crate) acts_by: u64,
    /// Engines as they were listed, whoever is taken out.
    pub(crate) listed: Vec<EngineSite>,
    /// Routers to reckon with by that view; it holds for settings that are read again too.
    routers: Option<u32>,
}

impl Front {
    /// A front at its start. `seed` settles its chances and begins its request ids, so it is to be a new one at
    /// each start. `wall` is the wall clock, since the epoch, at the clock's time `now`.
    pub fn new(site: Arc<Site>, seed: u64, now: Duration, wall: Duration) -> Self {
        let mut front = Front {
            now,
            seed,
            epoch_ahead: wall.saturating_sub(now),
            brains: Vec::new(),
            members: Members::default(),
            clients: HashMap::new(),
            client_alarms: ConnectionTimers::default(),
            links: HashMap::new(),
            link_alarms: ConnectionTimers::default(),
            pool: Pool::default(),
            calls: BTreeMap::new(),
            wheel: TimerWheel::default(),
            events: VecDeque::new(),
            reap: Vec::new(),
            releases: ReleaseQueue::new(limits::RELEASES),
            orphans: Vec::new(),
            next_conn: 0,
            next_call: 0,
            stopping: false,
            stopped: false,
            tally: Tally::default(),
            gauges: Gauges::default(),
            fleet: None,
            policy: None,
            acts_by: 0,
            listed: site.engines.clone(),
            routers: None,
            site: site.clone(),
        };
        front.add_brain(site.clone());
        let list = front.without_taken_out();
        let (event, _) = front.members.replace(now, &list);
        // A router comes up with the list that it is given, which may be old.
        if let Event::Engines { engines, .. } = event {
            front.events.push_back((None, Event::Engines { listing: Listing::Cached, engines }));
        }
        front
    }

    /// What it has done so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// What it holds: client connections, engine connections, requests under way, timers.
    pub fn holds(&self) -> (usize, usize, usize, usize) {
        (self.clients.len(), self.links.len(), self.calls.len(), self.wheel.len())
    }

    fn add_brain(&mut self, site: Arc<Site>) {
        let generation = self.brains.last().map_or(0, |b| b.generation + 1);
        let settings = self.settings_of(&site);
        let router = Router::new(settings, self.seed.wrapping_add(generation));
        self.brains.push(Brain { generation, router });
        self.site = site;
    }

    /// A site's settings as the module is handed them here.
    pub(crate) fn settings_of(&mut self, site: &Site) -> slipreel::Settings {
        let mut settings = site.settings.clone();
        settings.zone = self.members.zone(&site.zone);
        settings.router_count = self.routers.unwrap_or(settings.router_count);
        settings
    }

    /// The view reckons with another number of routers: all that was learnt stays.
    fn share_with(&mut self, routers: Sharing) {
        self.routers = Some(routers.0);
        self.brains.iter_mut().for_each(|b| b.router.set_router_count(routers.0));
    }

    /// Whether another process holds this one's name in the fleet, or is not yet known not to.
    pub(crate) fn outside(&self) -> Option<&'static str> {
        match self.fleet.as_ref()?.view().status {
            MemberStatus::Ready => None,
            MemberStatus::Joining => Some("joining"),
            MemberStatus::Challenged => Some("challenged"),
            MemberStatus::Yielded => Some("yielded"),
            MemberStatus::Left => Some("left"),
        }
    }

    pub(crate) fn generation(&self) -> u64 {
        self.brains.last().map_or(0, |b| b.generation)
    }

    /// Tells the router that a call belongs to.
    pub(crate) fn tell(&mut self, generation: u64, event: Event) {
        self.events.push_back((Some(generation), event));
    }

    /// Tells all routers.
    pub(crate) fn tell_all(&mut self, event: Event) {
        self.events.push_back((None, event));
    }

    pub(crate) fn opened(&mut self) -> ConnId {
        self.next_conn += 1;
        ConnId::opened(self.next_conn)
    }

    /// Lets the module decide until it has been told all; then forgets calls that are done.
    fn settle(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.drop_orphans(out);
        while let Some((to, event)) = self.events.pop_front() {
            for at in 0..self.brains.len() {
                let generation = self.brains[at].generation;
                // An heir is told of the ends of what it has inherited, too; what it asks for on that account is the first one's affair.
                let inherits = matches!(event, Event::AttemptEnded(_) | Event::FirstToken { .. });
                if to.is_some_and(|to| to != generation && !(inherits && to < generation)) {
                    continue;
                }
                self.brains[at].router.handle(self.now, event.clone(), &mut actions);
                for action in std::mem::take(&mut actions) {
                    if self.is_anothers(generation, &action) {
                        continue;
                    }
                    self.carry_out(generation, action, out);
                }
            }
        }
        for id in std::mem::take(&mut self.reap) {
            if self.calls.get(&id).is_some_and(Call::is_done) {
                let held = self.calls.remove(&id).map(super::call::Call::holding).unwrap_or_default();
                held.into_iter().for_each(|engine| self.pool.state_released(Some(engine)));
            }
        }
        if self.brains.len() > 1 {
            let current = self.generation();
            let calls = &self.calls;
            let used =
                |b: &Brain| b.generation == current || calls.values().any(|c| c.generation == b.generation);
            self.brains.retain(used);
        }
        if self.stopping && !self.stopped && self.calls.is_empty() && self.clients.is_empty() {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    // ---- Timers -----------------------------------------------------------------------------

    /// When a connection of a client has to have moved on, by its state.
    fn client_due(&self, client: &Client) -> Option<Duration> {
        let bounds = &self.site.bounds;
        let stalled = (client.unsent > 0).then(|| client.last_sent_at + bounds.stalled_peer);
        let due = match client.state {
            ClientState::Idle => Some(client.since + bounds.client_idle),
            ClientState::Receiving => Some(client.since + bounds.receive),
            ClientState::Serving(_) => None,
        };
        due.into_iter().chain(stalled).min()
    }

    /// When a connection to an engine has to have moved on, by its state.
    fn link_due(&self, link: &Link) -> Option<Duration> {
        let bounds = &self.site.bounds;
        match (link.state, link.used_for) {
            (LinkState::Idle, _) => Some(link.since + bounds.engine_idle),
            (_, Use::Abort(_)) if link.opened_for_release => Some(link.since + limits::RELEASE_CALL),
            (_, Use::Abort(_)) => Some(link.since + limits::RELEASES.give_up),
            (LinkState::Connecting, _) => Some(link.since + self.site.settings.limits.connect_timeout),
            (LinkState::Busy, Use::Probe) => Some(link.since + bounds.probe),
            (LinkState::Busy, Use::Attempt { call, attempt, .. }) => {
                let begun = self.calls.get(&RequestId(call)).is_some_and(|c| c.begun == Some(attempt));
                (begun && !link.paused).then(|| link.since + bounds.silent_stream)
            }
        }
    }

    /// Sets the timer of a client's connection by its state.
    pub(crate) fn arm_client(&mut self, conn: ConnId) {
        let due = self.clients.get(&conn).and_then(|c| self.client_due(c));
        self.client_alarms.arm(&mut self.wheel, conn, due, Alarm::Client(conn));
    }

    /// Sets the timer of an engine's connection by its state.
    pub(crate) fn arm_link(&mut self, conn: ConnId) {
        let due = self.links.get(&conn).and_then(|l| self.link_due(l));
        self.link_alarms.arm(&mut self.wheel, conn, due, Alarm::Link(conn));
    }

    fn fire(&mut self, alarm: Alarm, out: &mut Vec<Output>) {
        match alarm {
            Alarm::Module(generation, timer) => self.tell(generation, Event::TimerFired(timer)),
            Alarm::Client(conn) => {
                self.client_alarms.fired(conn);
                let due = self.clients.get(&conn).and_then(|c| self.client_due(c));
                match due {
                    Some(at) if at <= self.now => self.client_late(conn, out),
                    _ => self.arm_client(conn),
                }
            }
            Alarm::Link(conn) => {
                self.link_alarms.fired(conn);
                let due = self.links.get(&conn).and_then(|l| self.link_due(l));
                match due {
                    Some(at) if at <= self.now => self.link_late(conn, out),
                    _ => self.arm_link(conn),
                }
            }
            Alarm::Attempt(id, attempt) => self.attempt_late(id, attempt, out),
            Alarm::Whole(id) => self.whole_late(id, out),
            Alarm::Release(id) => self.release_due(id, out),
            Alarm::StopBy => self.stop_by(out),
        }
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(alarm) = self.wheel.pop(self.now) {
            self.fire(alarm, out);
            self.settle(out);
        }
    }

    // ---- News ---------------------------------------------------------------------------------

    /// The list, in which engines that operators have taken out take nothing new.
    fn without_taken_out(&self) -> Vec<EngineSite> {
        let mut list = self.listed.clone();
        for engine in list.iter_mut().filter(|e| self.site.taken_out.contains(&e.name)) {
            if engine.state == EngineState::Ready {
                engine.state = EngineState::Draining;
            }
        }
        list
    }

    pub(crate) fn take_list(&mut self, list: &[EngineSite], out: &mut Vec<Output>) {
        self.listed = list.to_vec();
        let list = self.without_taken_out();
        let (event, closed) = self.members.replace(self.now, &list);
        self.tell_all(event);
        // What has not left for an engine that drains or is gone goes elsewhere.
        let unsent: Vec<ConnId> = self.sorted_links(|l| {
            closed.contains(&l.engine)
                && l.state == LinkState::Connecting
                && matches!(l.used_for, Use::Attempt { .. })
        });
        for conn in unsent {
            self.drop_link(conn, out, slipreel::Outcome::NotSent);
        }
        for engine in closed {
            self.close_idle(engine, out);
        }
    }

    fn take_site(&mut self, site: &Arc<Site>, out: &mut Vec<Output>) {
        let listed = self.site.engines != site.engines;
        if self.policy.is_some() {
            // What is the router's own has changed; the policy has not, and what was learnt stays.
            self.inherit(site.clone(), out);
        } else {
            self.add_brain(site.clone());
        }
        if listed {
            self.take_list(&site.engines.clone(), out);
        } else {
            let current = self.listed.clone();
            self.take_list(&current, out);
        }
        out.push(Output::Log("settings were read again; requests under way end by the old ones".into()));
    }

    /// Connections to engines that match, in order of their numbers: the same at every run.
    pub(crate) fn sorted_links(&self, which: impl Fn(&Link) -> bool) -> Vec<ConnId> {
        let mut conns: Vec<ConnId> = self.links.values().filter(|l| which(l)).map(|l| l.conn).collect();
        conns.sort();
        conns
    }

    fn stop(&mut self, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        let mut conns: Vec<ConnId> = self.clients.keys().copied().collect();
        conns.sort();
        for conn in conns {
            let Some(client) = self.clients.get_mut(&conn) else { continue };
            match client.state {
                ClientState::Idle => {
                    out.push(Output::CloseWhenSent(conn));
                    self.forget_client(conn);
                }
                _ => client.close_after_answer(),
            }
        }
        self.wheel.set(self.now + self.site.bounds.stop, Alarm::StopBy);
    }

    pub(crate) fn forget_client(&mut self, conn: ConnId) {
        self.clients.remove(&conn);
        self.client_alarms.cancel(&mut self.wheel, conn);
    }

    pub(crate) fn forget_link(&mut self, conn: ConnId) -> Option<Link> {
        self.link_alarms.cancel(&mut self.wheel, conn);
        let link = self.links.remove(&conn)?;
        self.pool.remove(link.engine, conn);
        Some(link)
    }

    pub(crate) fn count(&mut self, end: Final) {
        match end {
            Final::Served => self.tally.served += 1,
            Final::Refused => self.tally.refused += 1,
            Final::Failed => self.tally.failed += 1,
        }
    }

    /// The name of a class, for what is published.
    pub(crate) fn class_name(&self, class: usize) -> &str {
        self.site.classes.get(class).map_or("", |c| &c.name)
    }

    /// What stands now, for what is published.
    pub(crate) fn stands(&self) -> Now {
        let engine = |(_, m): (_, &crate::members::Member)| {
            let role = match m.site.role {
                slipreel::Role::Prefill => "read",
                slipreel::Role::Decode => "write",
                slipreel::Role::Mixed => "both",
            };
            let state = match m.site.state {
                slipreel::EngineState::Ready => "ready",
                slipreel::EngineState::Draining => "draining",
                slipreel::EngineState::Gone => "gone",
            };
            (role, state)
        };
        Now {
            engines: self.members.iter().map(engine).collect(),
            clients: self.clients.len(),
            links: self.links.len(),
            under_way: self.calls.len(),
            releases: self.releases.len(),
        }
    }

    pub(crate) fn engine_name(&self, id: EngineId) -> String {
        self.members.get(id).map_or_else(|| format!("{:x}", id.0), |m| m.site.name.clone())
    }
}

impl Machine for Front {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // What is due comes before what has just come in, whatever order the driver found them in.
        self.run_timers(out);
        self.mind_policy(out);
        match input {
            Input::Accepted(conn, door) => {
                let limits =
                    slipreel_protocol::http::Limits { body: self.site.bounds.body, ..Default::default() };
                if self.stopping || self.clients.len() >= self.site.bounds.connections {
                    out.push(Output::Abort(conn));
                } else {
                    self.clients.insert(conn, Client::new(conn, door, self.now, limits, limits::PIPELINED));
                    self.arm_client(conn);
                }
            }
            Input::Connected(conn) => self.link_connected(conn, out),
            Input::Data(conn, bytes) if conn.is_opened() => self.link_data(conn, bytes, out),
            Input::Data(conn, bytes) => self.client_data(conn, bytes, out),
            Input::Eof(conn) if conn.is_opened() => self.link_eof(conn, out),
            Input::Eof(conn) => self.client_eof(conn, out),
            Input::Sent(conn, n) if !conn.is_opened() => self.client_sent(conn, n, out),
            Input::Sent(..) => {}
            Input::Lost(conn, why) if conn.is_opened() => self.link_lost(conn, why, out),
            Input::Lost(conn, _) => self.client_gone(conn),
            // A client may ask, close its side and only listen: what it sent before is read first.
            Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake
            | Input::Datagram(..) => {}
            Input::Stop => self.stop(out),
            Input::OwnerMessage(news) => {
                if let Some(list) = news.downcast_ref::<Vec<EngineSite>>() {
                    self.take_list(list, out);
                } else if let Some(site) = news.downcast_ref::<Arc<Site>>() {
                    self.take_site(site, out);
                } else if let Some(board) = news.downcast_ref::<Arc<SharedView>>() {
                    self.fleet = Some(board.clone());
                } else if let Some(handle) = news.downcast_ref::<Arc<PolicyHandle>>() {
                    self.policy = Some(handle.clone());
                } else if let Some(routers) = news.downcast_ref::<Sharing>() {
                    self.share_with(*routers);
                }
            }
        }
        self.settle(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.wheel.next_at()
    }
}

/// What the loss of a connection that carried something means for the module.
pub(crate) fn loss_outcome(loss: ConnectionLoss) -> slipreel::Outcome {
    match loss {
        ConnectionLoss::NotConnected => slipreel::Outcome::ConnectFailed,
        ConnectionLoss::Exhausted => slipreel::Outcome::NotSent,
        ConnectionLoss::Reset => slipreel::Outcome::Reset,
    }
}

/// Carried by [`Front::carry_out`]; here so that the two files name one type.
pub(crate) type Decided = Action;
