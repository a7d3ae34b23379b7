//! The node as a machine: takes inputs in turn, fires timers, and lets the module decide until nothing is left.

use crate::call::Call;
use crate::config::Config;
use crate::link::{Link, State as LinkState, Use};
use crate::list::List;
use crate::members::Members;
use crate::proof::{AttemptEnd, NeverRan};
use crate::recent_ids::RecentIds;
use crate::report::Layout;
use crate::room::{self, Room};
use crate::watch::{State as WatchState, Watch};
use slipreel::{EngineId, Event, Outcome, RequestId, Router, StateSizes, TimerId};
use slipreel_connections::{
    Client, Due, Pool, ReleaseId, ReleaseQueue, State as ClientState, TimerKey, Trust, Wheel,
};
use slipreel_platform_settings::Profile;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine, Output};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// How many requests ended how. Counters only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests told to the module.
    pub taken: u64,
    /// Whole streams passed on.
    pub served: u64,
    /// Turned away by the module.
    pub refused: u64,
    /// Failed, by the module or as a stream broke.
    pub failed: u64,
    /// Clients that left before their answer ended.
    pub left: u64,
    /// Answered or closed without the module: what can't be read, or for want of room.
    pub turned: u64,
    /// Attempts sent to engines.
    pub attempts: u64,
    /// Probes sent.
    pub probes: u64,
    /// Releases sent to engines, repeats counted.
    pub releases: u64,
    /// Streams and answers of engines that could not be read.
    pub spoilt: u64,
    /// Connections opened to engines.
    pub opened: u64,
    /// Load reports that came with answers or probes and were told to the module.
    pub reports: u64,
    /// Reports that could not be read.
    pub odd_reports: u64,
    /// Refused before any attempt: by the curve, as hopeless, or with nothing to send to.
    pub refused_early: u64,
    /// Failed or refused after attempts, or left by their clients while some were out.
    pub fruitless: u64,
    /// First events that came later than the aim of their class.
    pub late: u64,
    /// Streams that broke after their first event.
    pub broken: u64,
    /// Attempts that were given up, broke or ended as errors: work for nothing.
    pub wasted: u64,
    /// Attempts at engines of another zone.
    pub crossed: u64,
    /// Prompt tokens of reads that ended well, and how many of these their readers had kept.
    pub read_tokens: u64,
    /// See `read_tokens`.
    pub kept_tokens: u64,
    /// Prompt tokens whose state was written outside the cell of their reader.
    pub moved_tokens: u64,
}

/// Why a timer was set.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Alarm {
    Module(TimerId),
    Client(ConnId),
    Link(ConnId),
    /// An attempt's time-out, where the module gives one.
    Attempt(RequestId, usize),
    /// A release may be due again.
    Release(ReleaseId),
    Watch,
    /// The next step of a stop is due.
    Stop,
    /// Nothing was left to do after a stop, and whoever had just connected has been handed over.
    StoppedListening,
    /// To say how things stand.
    Standing,
}

/// How far a router that ends is with its listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listening {
    Open,
    /// The driver was told to close it, and hands over those who wait at it.
    Closing,
    Closed,
}

/// A router on the platform, without I/O and clock.
///
/// Takes as [`Input::News`]: a [`Config`], when the file was replaced.
pub struct Node {
    pub(crate) now: Duration,
    pub(crate) room: Room,
    pub(crate) profile: Profile,
    pub(crate) layout: Layout,
    router: Router,
    pub(crate) members: Members,
    pub(crate) watch: Watch,
    pub(crate) clients: HashMap<ConnId, Client>,
    client_alarms: Due,
    /// Clients whose first request has not come yet.
    pub(crate) unheard: HashMap<ConnId, Duration>,
    pub(crate) links: HashMap<ConnId, Link>,
    link_alarms: Due,
    pub(crate) pool: Pool,
    pub(crate) trust: Trust,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    /// Open requests by the name their clients gave them.
    pub(crate) names: HashMap<String, RequestId>,
    /// Ids of requests that were sent on to engines lately.
    pub(crate) sent_on: RecentIds,
    pub(crate) wheel: Wheel<Alarm>,
    watch_alarm: Option<TimerKey>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) reap: Vec<RequestId>,
    pub(crate) releases: ReleaseQueue,
    pub(crate) held_bytes: usize,
    next_conn: u64,
    pub(crate) next_call: u64,
    pub(crate) ready: bool,
    pub(crate) stopping: Option<Duration>,
    stopped: bool,
    listening: Listening,
    logged: Option<Duration>,
    unlogged: u64,
    /// Stories of writes that never ran since it last said how things stand.
    pub(crate) stories: u32,
    pub(crate) tally: Tally,
}

impl Node {
    /// A node at its start. `wall` is the wall clock, since the epoch, at the clock's time `now`.
    pub fn new(config: Config, now: Duration, wall: Duration) -> Self {
        let Config { discovery, seed, room, known, profile, .. } = config;
        let mut node = Node {
            now,
            room,
            layout: Layout::of(&profile),
            router: Router::new(profile.settings.clone(), seed),
            members: Members::new(&profile, now, wall),
            watch: Watch::new(discovery, now, seed),
            clients: HashMap::new(),
            client_alarms: Due::default(),
            unheard: HashMap::new(),
            links: HashMap::new(),
            link_alarms: Due::default(),
            pool: Pool::default(),
            trust: Trust::default(),
            calls: BTreeMap::new(),
            names: HashMap::new(),
            sent_on: RecentIds::default(),
            wheel: Wheel::default(),
            watch_alarm: None,
            events: VecDeque::new(),
            reap: Vec::new(),
            releases: ReleaseQueue::new(room::release_timing(&profile.settings)),
            held_bytes: 0,
            next_conn: 0,
            next_call: 0,
            ready: false,
            stopping: None,
            stopped: false,
            listening: Listening::Open,
            logged: None,
            unlogged: 0,
            stories: 0,
            tally: Tally::default(),
            profile,
        };
        if let Some(known) = known {
            node.watch.holds(known.index);
            node.ready = true;
            let change = node.members.take(known, true);
            node.events.push_back(change.event);
        }
        node.arm_watch();
        node.wheel.set(now + room::SAY_STANDING, Alarm::Standing);
        node
    }

    /// What it has done so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// What it holds: client connections, engine connections, requests under way, timers, releases.
    pub fn holds(&self) -> [usize; 5] {
        [self.clients.len(), self.links.len(), self.calls.len(), self.wheel.len(), self.releases.len()]
    }

    /// Attempts that are out on connections, by engine: what the module counts as under way there.
    pub fn under_way(&self) -> BTreeMap<EngineId, usize> {
        let mut counts = BTreeMap::new();
        for link in self.links.values().filter(|l| l.state != LinkState::Idle) {
            if matches!(link.used_for, Use::Attempt { .. }) {
                *counts.entry(link.engine).or_default() += 1;
            }
        }
        counts
    }

    /// The same as the module counts them, of the engines that it lists.
    pub fn counted(&self) -> BTreeMap<EngineId, usize> {
        self.router.attempts_in_flight().map(|(engine, out)| (engine, out as usize)).collect()
    }

    /// What the module keeps: requests, timers, engines.
    pub fn decision_state_sizes(&self) -> StateSizes {
        self.router.state_sizes()
    }

    /// Entries of the node's other books, which go by engine and by client.
    pub fn books(&self) -> usize {
        self.members.len() + self.names.len() + self.unheard.len() + self.pool.len() + self.trust.len()
    }

    pub(crate) fn tell(&mut self, event: Event) {
        self.events.push_back(event);
    }

    pub(crate) fn opened(&mut self) -> ConnId {
        self.next_conn += 1;
        ConnId::opened(self.next_conn)
    }

    /// Lets the module decide until it has been told all; then forgets calls that are done.
    fn settle(&mut self, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.router.handle(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(action, out);
            }
        }
        for id in std::mem::take(&mut self.reap) {
            if self.calls.get(&id).is_some_and(Call::is_done) {
                self.calls.remove(&id);
            }
        }
        self.stop_when_done(out);
    }

    /// Ends in two steps once nothing is left to do after a stop: first it stops listening, so that who has just connected
    /// is still answered, and it stops for good when nobody had, or all of them have left.
    fn stop_when_done(&mut self, out: &mut Vec<Output>) {
        let released = self.releases.is_empty() || self.stopping_for(self.leaves());
        let is_done = self.stopping_for(room::STOP_GRACE)
            && self.calls.is_empty()
            && self.clients.is_empty()
            && released;
        if !is_done || self.stopped {
            return;
        }
        match self.listening {
            Listening::Open => {
                self.listening = Listening::Closing;
                out.push(Output::StopListening);
                self.await_end_of_listening();
            }
            Listening::Closing => {}
            Listening::Closed => {
                self.stopped = true;
                self.log_standing(out);
                out.push(Output::Stopped);
            }
        }
    }

    /// Has the router woken once its driver has carried out all that was asked for.
    fn await_end_of_listening(&mut self) {
        if self.listening == Listening::Closing {
            self.wheel.set(self.now + room::NEXT_WAKE, Alarm::StoppedListening);
        }
    }

    /// A line for the staff on a peer's misdeed; no more than so many a second, the rest are counted.
    pub(crate) fn note(&mut self, line: impl FnOnce() -> String, out: &mut Vec<Output>) {
        if self.logged.is_some_and(|at| self.now < at + room::LOG_STEP) {
            self.unlogged += 1;
            return;
        }
        self.logged = Some(self.now);
        let more = std::mem::take(&mut self.unlogged);
        let more = if more > 0 { format!(" (and {more} lines before it)") } else { String::new() };
        out.push(Output::Log(line() + &more));
    }

    // ---- Timers -----------------------------------------------------------------------------

    fn client_due(&self, client: &Client) -> Option<Duration> {
        let stalled = (client.unsent > 0).then(|| client.moved + room::STALLED);
        let due = match client.state {
            ClientState::Idle if self.unheard.contains_key(&client.conn) => Some(client.since + room::SILENT),
            ClientState::Idle => Some(client.since + self.room.client_idle(self.clients.len())),
            ClientState::Receiving => {
                let first = self.unheard.get(&client.conn).map(|&at| at + room::SILENT);
                Some((client.since + room::RECEIVE).min(first.unwrap_or(Duration::MAX)))
            }
            ClientState::Serving(_) => None,
        };
        due.into_iter().chain(stalled).min()
    }

    fn link_due(&self, link: &Link) -> Option<Duration> {
        match (link.state, link.used_for) {
            (LinkState::Idle, _) => {
                let theirs = self.profile.idle_close.unwrap_or(room::ENGINE_IDLE);
                Some(link.since + theirs.mul_f64(room::ENGINE_IDLE_PART))
            }
            (_, Use::Release(_)) => Some(link.since + room::RELEASE_CALL),
            (LinkState::Connecting, _) => Some(link.since + self.profile.settings.limits.connect_timeout),
            (LinkState::Busy, Use::Probe) => Some(link.since + room::PROBE),
            (LinkState::Busy, Use::Attempt { .. }) if link.holds_back() => Some(link.since + room::HOLD_BACK),
            (LinkState::Busy, Use::Attempt { call, attempt }) => {
                let begun = self.calls.get(&RequestId(call)).is_some_and(|c| c.begun == Some(attempt));
                (begun && !link.paused).then(|| link.since + room::SILENT_STREAM)
            }
        }
    }

    pub(crate) fn arm_client(&mut self, conn: ConnId) {
        let due = self.clients.get(&conn).and_then(|c| self.client_due(c));
        self.client_alarms.arm(&mut self.wheel, conn, due, Alarm::Client(conn));
    }

    pub(crate) fn arm_link(&mut self, conn: ConnId) {
        let due = self.links.get(&conn).and_then(|l| self.link_due(l));
        self.link_alarms.arm(&mut self.wheel, conn, due, Alarm::Link(conn));
    }

    fn arm_watch(&mut self) {
        if let Some(key) = self.watch_alarm.take() {
            self.wheel.cancel(key);
        }
        self.watch_alarm = Some(self.wheel.set(self.watch.due(), Alarm::Watch));
    }

    fn fire(&mut self, alarm: Alarm, out: &mut Vec<Output>) {
        match alarm {
            Alarm::Module(timer) => self.tell(Event::TimerFired(timer)),
            Alarm::Client(conn) => {
                self.client_alarms.fired(conn);
                match self.clients.get(&conn).and_then(|c| self.client_due(c)) {
                    Some(at) if at <= self.now => self.client_late(conn, out),
                    _ => self.arm_client(conn),
                }
            }
            Alarm::Link(conn) => {
                self.link_alarms.fired(conn);
                match self.links.get(&conn).and_then(|l| self.link_due(l)) {
                    Some(at) if at <= self.now => self.link_late(conn, out),
                    _ => self.arm_link(conn),
                }
            }
            Alarm::Attempt(id, attempt) => self.attempt_late(id, attempt, out),
            Alarm::Release(id) => self.release_due(id, out),
            Alarm::Watch => self.watch_due(out),
            Alarm::Stop => self.stop_step(out),
            // What follows is settled after each input.
            Alarm::StoppedListening => self.await_end_of_listening(),
            Alarm::Standing => self.say_standing(out),
        }
    }

    fn run_timers(&mut self, out: &mut Vec<Output>) {
        while let Some(alarm) = self.wheel.pop(self.now) {
            self.fire(alarm, out);
            self.settle(out);
        }
    }

    fn say_standing(&mut self, out: &mut Vec<Output>) {
        self.wheel.set(self.now + room::SAY_STANDING, Alarm::Standing);
        self.stories = 0;
        self.log_standing(out);
    }

    fn log_standing(&self, out: &mut Vec<Output>) {
        let busy = self.links.values().filter(|l| l.state != LinkState::Idle).count();
        let [clients, links, calls, timers, releases] = self.holds();
        let sizes = self.router.state_sizes();
        out.push(Output::Log(format!(
            "clients {clients}, requests {calls}, connections to engines {links} ({busy} busy), engines {}, timers {timers}, \
             releases {releases}, module keeps {:?}; {:?}",
            self.members.len(),
            (sizes.requests, sizes.timers, sizes.engines),
            self.tally
        )));
    }

    // ---- Discovery ----------------------------------------------------------------------------

    fn watch_due(&mut self, out: &mut Vec<Output>) {
        self.watch_alarm = None;
        if self.watch.due() <= self.now {
            match self.watch.state {
                WatchState::Waiting(_) => {
                    let conn = self.opened();
                    self.watch.state = WatchState::Connecting(conn, self.now);
                    out.push(Output::Connect(conn, self.watch.addr));
                }
                WatchState::Connecting(..) | WatchState::Open(..) => {
                    let (why, at_once) = self.watch.overdue(self.now);
                    self.watch_failed(why, at_once, out);
                    if at_once {
                        return self.watch_due(out);
                    }
                }
            }
        }
        self.arm_watch();
    }

    /// The watch is given up and opened anew, after a while or at once.
    fn watch_failed(&mut self, why: &str, at_once: bool, out: &mut Vec<Output>) {
        if let Some(conn) = self.watch.conn() {
            out.push(Output::Abort(conn));
        }
        self.note(|| format!("the watch of the list ends: {why}"), out);
        self.watch.failed(self.now, at_once);
        self.arm_watch();
    }

    /// Its connection is over. Without a descriptor for it, clients that stand idle and engines' idle connections make
    /// room for the next: the list comes before them.
    fn watch_lost(&mut self, why: ConnectionLoss, out: &mut Vec<Output>) {
        if why == ConnectionLoss::Exhausted && !self.evict(out) {
            self.close_oldest_idle(out);
        }
        self.watch_failed(
            if why == ConnectionLoss::Exhausted { "no descriptor is left" } else { "its connection broke" },
            false,
            out,
        );
    }

    fn watch_data(&mut self, bytes: &[u8], out: &mut Vec<Output>) {
        let mut lists = Vec::new();
        let fed = self.watch.feed(self.now, bytes, &mut lists);
        for list in lists {
            self.take_list(list, out);
            // What one list makes the module decide is carried out by that list, not by the next.
            self.settle(out);
        }
        match fed {
            Ok(()) => self.arm_watch(),
            Err(why) => self.watch_failed(&why, false, out),
        }
    }

    fn take_list(&mut self, list: List, out: &mut Vec<Output>) {
        let change = self.members.take(list, false);
        self.ready = true;
        for line in change.odd {
            self.note(|| line, out);
        }
        self.tell(change.event);
        // What has not left for an engine that drains or is gone goes elsewhere, also if only its last byte has not.
        let mut unsent: Vec<ConnId> = self
            .links
            .values()
            .filter(|l| l.state == LinkState::Connecting || l.holds_back())
            .filter(|l| matches!(l.used_for, Use::Attempt { .. }))
            .filter(|l| change.closed.contains(&l.engine) || change.moved.contains(&l.engine))
            .map(|l| l.conn)
            .collect();
        unsent.sort();
        for conn in unsent {
            self.give_up_link(conn, Outcome::Cancelled, out);
        }
        for engine in change.closed.into_iter().chain(change.moved) {
            self.trust.forget(engine);
            self.close_idle(engine, out);
        }
    }

    /// The file was replaced: the watch goes over to the new address; what it held stays until that has told more.
    fn reload(&mut self, config: &Config, out: &mut Vec<Output>) {
        out.push(Output::Log(format!(
            "the configuration was read again; discovery is at {}",
            config.discovery
        )));
        if config.discovery != self.watch.addr {
            self.watch.addr = config.discovery;
            if let Some(conn) = self.watch.conn() {
                out.push(Output::Abort(conn));
            }
            self.watch.again(self.now);
            self.arm_watch();
            self.watch_due(out);
        }
    }

    // ---- Stop ---------------------------------------------------------------------------------

    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(self.now);
        // Each answer from now on says that its connection ends.
        self.clients.values_mut().for_each(Client::last_answer);
        for step in [room::STOP_GRACE, room::STOP_MOVE, self.leaves()] {
            self.wheel.set(self.now + step, Alarm::Stop);
        }
    }

    /// When after a stop all has to be answered: the process is killed soon after.
    pub(crate) fn leaves(&self) -> Duration {
        let longest = self.profile.longest_wait.unwrap_or(Duration::MAX).min(room::STOP_LONGEST);
        (longest + room::STOP_GRACE).saturating_sub(room::STOP_SPARE)
    }

    /// Whether it was told to stop so long ago.
    pub(crate) fn stopping_for(&self, time: Duration) -> bool {
        self.stopping.is_some_and(|since| self.now >= since + time)
    }

    /// Closes connections between requests. Guards against a close that crosses the first request of a connection that has
    /// just come: such a one has a moment to say something.
    fn close_idle_clients(&mut self, out: &mut Vec<Output>) {
        let is_idle = |client: &&Client| client.state == ClientState::Idle;
        let mut idle: Vec<ConnId> = self.clients.values().filter(is_idle).map(|client| client.conn).collect();
        idle.sort();
        for conn in idle {
            let may_speak_until = self.unheard.get(&conn).map(|&since| since + room::YOUNG);
            if let Some(until) = may_speak_until.filter(|&until| until > self.now) {
                self.wheel.set(until, Alarm::Stop);
            } else {
                out.push(Output::CloseWhenSent(conn));
                self.forget_client(conn);
            }
        }
    }

    /// The steps of a stop: idle connections end; streams that would be cut off are moved, where their clients ask for
    /// the rest; at the last moment, what has not begun is answered.
    fn stop_step(&mut self, out: &mut Vec<Output>) {
        self.close_idle_clients(out);
        let begun = |c: &&Call| c.begun.is_some();
        let open: Vec<(RequestId, bool)> =
            self.calls.iter().filter(|(_, c)| !c.over).map(|(&id, c)| (id, begun(&c))).collect();
        let moves = self.profile.resumes && self.stopping_for(room::STOP_MOVE);
        let leaves = self.stopping_for(self.leaves());
        for (id, begun) in open {
            match begun {
                true if moves => self.move_stream(id, out),
                false if leaves => {
                    self.fail(id, out);
                    self.tell(Event::ClientDisconnected(id));
                }
                _ => {}
            }
        }
    }

    // ---- Books --------------------------------------------------------------------------------

    pub(crate) fn forget_client(&mut self, conn: ConnId) {
        self.clients.remove(&conn);
        self.unheard.remove(&conn);
        self.client_alarms.cancel(&mut self.wheel, conn);
    }

    pub(crate) fn forget_link(&mut self, conn: ConnId) -> Option<Link> {
        self.link_alarms.cancel(&mut self.wheel, conn);
        let link = self.links.remove(&conn)?;
        self.pool.gone(link.engine, conn);
        Some(link)
    }

    fn is_watch(&self, conn: ConnId) -> bool {
        self.watch.conn() == Some(conn)
    }
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        // The driver hands over who waits at the listener before it says that time has passed. Guards against an end
        // between the two, whose connections nobody would serve.
        if self.listening == Listening::Closing && matches!(input, Input::Wake) {
            self.listening = Listening::Closed;
        }
        // What a client has sent was there before its idle time was up, or the end of a stop: it has been taken, and
        // its connection is not to be closed as an idle one under it.
        if let Input::Data(conn, bytes) = input {
            if !conn.is_opened() {
                self.client_data(conn, bytes, out);
                self.settle(out);
                return self.run_timers(out);
            }
        }
        // Else what is due comes before what has just come in, whatever order the driver found them in.
        self.run_timers(out);
        match input {
            Input::Accepted(conn, _) => self.accepted(conn, out),
            // The bounds of `room` hold for what the settings allow; the system may allow less. Who comes is worth more than
            // who stands idle longest.
            Input::DescriptorsExhausted(_) => {
                if !self.evict(out) {
                    self.close_oldest_idle(out);
                }
            }
            Input::Connected(conn) if self.is_watch(conn) => {
                let asked = self.watch.ask(conn, self.now);
                out.push(Output::Write(conn, asked));
                self.arm_watch();
            }
            Input::Connected(conn) => self.link_connected(conn, out),
            Input::Data(conn, bytes) if self.is_watch(conn) => self.watch_data(bytes, out),
            Input::Data(conn, bytes) if conn.is_opened() => self.link_data(conn, bytes, out),
            Input::Data(..) => {}
            Input::Eof(conn) if self.is_watch(conn) => self.watch_failed("it was closed", false, out),
            Input::Eof(conn) if conn.is_opened() => self.link_eof(conn, out),
            // Half-closed counts as closed: the protocol knows no client that asks and then only listens.
            Input::Eof(conn) => self.client_eof(conn, out),
            Input::PeerClosedWhilePaused(conn) if !conn.is_opened() => self.client_eof(conn, out),
            Input::PeerClosedWhilePaused(_) => {}
            Input::Sent(conn, n) if conn.is_opened() => self.link_sent(conn, n),
            Input::Sent(conn, n) => self.client_sent(conn, n, out),
            Input::Lost(conn, why) if self.is_watch(conn) => self.watch_lost(why, out),
            Input::Lost(conn, why) if conn.is_opened() => self.link_lost(conn, why, out),
            Input::Lost(conn, _) => self.client_gone(conn, out),
            Input::Wake | Input::Datagram(..) => {}
            Input::Stop => self.stop(),
            Input::OwnerMessage(news) => {
                if let Some(config) = news.downcast_ref::<Config>() {
                    self.reload(config, out);
                }
            }
        }
        self.settle(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        self.wheel.next_at()
    }
}

/// How what a connection carried ends as the connection is lost. What had not been written whole never ran.
pub(crate) fn end_of_lost(why: ConnectionLoss, link: &Link) -> AttemptEnd {
    match (why, link.never_written()) {
        (ConnectionLoss::NotConnected, Some(_)) => AttemptEnd::never_ran(NeverRan::NotConnected),
        (ConnectionLoss::Exhausted, Some(_)) => AttemptEnd::never_ran(NeverRan::NotTried),
        // It stood, so its engine could be reached: told as a failure to connect, each such reset would have the engine
        // left alone for a second.
        (ConnectionLoss::Reset, Some(proof)) => AttemptEnd::never_ran(proof),
        (_, None) => AttemptEnd::may_have_run(Outcome::Reset),
    }
}
