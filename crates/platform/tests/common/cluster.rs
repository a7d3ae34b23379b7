//! Several routers with their peers in virtual time, and routers with deliberate defects.

use super::actor::Actor;
use super::{config, ms};
use slipreel_invariants::terms::{judge, Seen, Terms, Violation};
use slipreel_platform::{Config, PlatformRouter};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use slipreel_test_servers::memory::{Delays, World};
use slipreel_test_servers::platform::{
    lock_shared, Clients, Discovery, DiscoveryMode, Ending, EndpointChanges, Engine, Faults, Shared,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A deliberate defect of a router, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Opens only one watch at discovery and never reopens it.
    WatchesOnce,
    /// Learns of each disconnect of a client a second late.
    LateDisconnects,
    /// Delays writes to clients for longer than the forwarding of an event may take.
    DelaysEvents,
    /// Rejects every request.
    RejectsAll,
    /// Answers no request.
    AnswersNothing,
    /// Rejects prompts over 1,500 tokens.
    RejectsLongPrompts,
    /// Rejects one session in four.
    RejectsSessions,
    /// Forwards deadlines later than those of its clients.
    ForwardsLongDeadlines,
}

impl Defect {
    /// Whether a router with this defect rejects a request on its own.
    fn rejects(self, request: &str) -> bool {
        let number = |name: &str, radix| {
            let text = request.split(name).nth(1)?;
            let digits = text.split(|c: char| !c.is_ascii_hexdigit()).next()?;
            u64::from_str_radix(digits, radix).ok()
        };
        match self {
            Defect::RejectsAll => true,
            Defect::RejectsLongPrompts => number("prompt_len=", 10).is_some_and(|tokens| tokens > 1_500),
            Defect::RejectsSessions => number("X-Key: ", 16).is_some_and(|session| session % 4 == 0),
            _ => false,
        }
    }
}

/// The answer to a request that a defect rejects.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How long [`Defect::DelaysEvents`] delays events.
const EVENT_DELAY: Duration = Duration::from_millis(400);

/// A router with a defect, or with [`Defect::None`].
pub struct DefectiveRouter {
    pub router: PlatformRouter,
    defect: Defect,
    watch_count: u32,
    /// Disconnects of clients that are not reported to the router yet, and when they will be.
    disconnects: BTreeSet<(Duration, ConnId)>,
    /// Delayed outputs, and the time until which each is delayed.
    delayed: VecDeque<(Duration, Output)>,
}

impl DefectiveRouter {
    /// Wraps a router so that it has this defect.
    pub fn new(router: PlatformRouter, defect: Defect) -> Box<DefectiveRouter> {
        Box::new(DefectiveRouter {
            router,
            defect,
            watch_count: 0,
            disconnects: BTreeSet::new(),
            delayed: VecDeque::new(),
        })
    }
}

impl Machine for DefectiveRouter {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        while let Some(&(at, conn)) = self.disconnects.first().filter(|disconnect| disconnect.0 <= now) {
            self.disconnects.remove(&(at, conn));
            self.router.handle(now, Input::Eof(conn), out);
        }
        if let Input::Data(conn, bytes) = input {
            let rejects = self.defect.rejects(&String::from_utf8_lossy(bytes));
            if !conn.is_opened() && (rejects || self.defect == Defect::AnswersNothing) {
                if rejects {
                    out.push(Output::Write(conn, REJECTION.to_vec()));
                }
                return;
            }
        }
        let disconnected = match input {
            Input::Eof(conn) | Input::Lost(conn, _) | Input::PeerClosedWhilePaused(conn) => Some(conn),
            _ => None,
        };
        match disconnected.filter(|conn| self.defect == Defect::LateDisconnects && !conn.is_opened()) {
            Some(conn) => {
                self.disconnects.insert((now + ms(1_000), conn));
            }
            None => self.router.handle(now, input, out),
        }
        if self.defect == Defect::DelaysEvents {
            self.delay_events(now, out);
        }
        if self.defect == Defect::ForwardsLongDeadlines {
            out.iter_mut().for_each(lengthen_deadline);
        }
        if self.defect == Defect::WatchesOnce {
            self.drop_further_watches(out);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let disconnect = self.disconnects.first().map(|key| key.0);
        let delayed = self.delayed.front().map(|&(until, _)| until);
        self.router.wake_at().into_iter().chain(disconnect).chain(delayed).min()
    }
}

impl DefectiveRouter {
    /// Drops every connection to discovery after the first.
    fn drop_further_watches(&mut self, out: &mut Vec<Output>) {
        let count = &mut self.watch_count;
        out.retain(|output| match output {
            Output::Connect(_, addr) if addr.port() >= 8000 => {
                *count += 1;
                *count == 1
            }
            _ => true,
        });
    }

    /// Delays outputs to clients, in order, and emits those that were delayed long enough.
    fn delay_events(&mut self, now: Duration, out: &mut Vec<Output>) {
        let is_for_client = |output: &Output| match output {
            Output::Write(conn, _) | Output::CloseWhenSent(conn) => !conn.is_opened(),
            _ => false,
        };
        let (delayed, at_once): (Vec<Output>, Vec<Output>) = out.drain(..).partition(is_for_client);
        self.delayed.extend(delayed.into_iter().map(|output| (now + EVENT_DELAY, output)));
        out.extend(at_once);
        while self.delayed.front().is_some_and(|&(until, _)| until <= now) {
            out.extend(self.delayed.pop_front().map(|(_, output)| output));
        }
    }
}

/// Replaces the deadline in a request to an engine by the largest number of as many digits, so that the
/// length of the request stays the same.
fn lengthen_deadline(output: &mut Output) {
    const FIELD: &[u8] = b"x-deadline: ";
    let Output::Write(conn, bytes) = output else { return };
    let Some(at) = bytes.windows(FIELD.len()).position(|window| window == FIELD) else { return };
    if conn.is_opened() {
        bytes[at + FIELD.len()..]
            .iter_mut()
            .take_while(|byte| byte.is_ascii_digit())
            .for_each(|byte| *byte = b'9');
    }
}

/// Any participant of a cluster.
pub type ClusterActor = Actor<DefectiveRouter, Engine, Clients>;

/// An entry of the endpoint list, in zone a and cell 1.
pub fn entry(name: &str, is_prefill: bool, port: u16, status: &str, since: Duration) -> String {
    let kind = if is_prefill { "reads" } else { "writes" };
    // The wall clock and the virtual time are the same here.
    let since = since.as_millis();
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":{since}}}"#
    )
}

const START: Duration = Duration::from_secs(1_000);

/// Several routers, each with its own discovery agent and clients, and engines that all routers share.
pub struct Cluster {
    pub world: World<ClusterActor>,
    pub shared: Shared,
    discovery_agents: Vec<usize>,
    routers: Vec<usize>,
    listen_addresses: Vec<SocketAddr>,
    clients: Vec<usize>,
    /// By name: whether it is a prefill engine, its port, and the index of its actor in the world.
    engines: BTreeMap<String, (bool, u16, usize)>,
}

/// The size, faults and load of a cluster.
pub struct ClusterLayout {
    pub routers: u16,
    pub prefill_engines: u16,
    pub decode_engines: u16,
    pub faults: Faults,
    pub defect: Defect,
    /// Requests sent to each router.
    pub requests: u32,
    /// The time between two requests to a router.
    pub interval: Duration,
    /// Share of clients that disconnect early.
    pub leaving: f64,
    pub delays: Delays,
    pub seed: u64,
}

impl Default for ClusterLayout {
    fn default() -> Self {
        ClusterLayout {
            routers: 3,
            prefill_engines: 2,
            decode_engines: 3,
            faults: Faults::default(),
            defect: Defect::None,
            requests: 400,
            interval: ms(50),
            leaving: 0.05,
            delays: Delays::default(),
            seed: 1,
        }
    }
}

impl Cluster {
    /// A cluster of this layout.
    pub fn new(layout: &ClusterLayout) -> Cluster {
        let mut cluster = Cluster {
            world: World::new(START, layout.delays, layout.seed),
            shared: Shared::default(),
            discovery_agents: vec![],
            routers: vec![],
            listen_addresses: vec![],
            clients: vec![],
            engines: BTreeMap::new(),
        };
        let entries: Vec<(String, String)> = (1..=layout.prefill_engines + layout.decode_engines)
            .map(|number| cluster.add_engine(layout, number))
            .collect();
        for number in 0..layout.routers {
            cluster.add_router(layout, number, &entries);
        }
        cluster
    }

    /// Adds an engine. Returns its name and its entry in the endpoint list.
    fn add_engine(&mut self, layout: &ClusterLayout, number: u16) -> (String, String) {
        let name = format!("e{number}");
        let is_prefill = number <= layout.prefill_engines;
        let seed = layout.seed + u64::from(number);
        let engine = Engine::new(&name, is_prefill, self.shared.clone(), layout.faults, seed);
        let addr = SocketAddr::from(([127, 0, 0, 1], number));
        let actor = self.world.add(Actor::Engine(Box::new(engine)), &[addr]);
        self.engines.insert(name.clone(), (is_prefill, number, actor));
        let listed = entry(&name, is_prefill, number, "Ready", Duration::ZERO);
        (name, listed)
    }

    /// Adds a router with its discovery agent and its clients.
    fn add_router(&mut self, layout: &ClusterLayout, number: u16, entries: &[(String, String)]) {
        let name = format!("n{number}");
        let [high, low] = number.to_be_bytes();
        let agent = SocketAddr::from(([127, 9, high, low], 8500));
        let listen = SocketAddr::from(([127, 2, high, low], 5000));
        let discovery = Discovery::new(&EndpointChanges(entries.to_vec())).for_router(&name, &self.shared);
        let text = config(&agent.to_string(), &discovery.whole(), 512)
            .replace("127.0.0.2:5000", &listen.to_string())
            .replace("\"balancers\":1", &format!("\"balancers\":{}", layout.routers))
            .replace("8c1f30d27a5be964", &format!("{:x}", layout.seed * 1_000 + u64::from(number) + 1));
        self.discovery_agents.push(self.world.add(Actor::Discovery(Box::new(discovery)), &[agent]));
        let router = PlatformRouter::new(Config::parse(&text).unwrap(), START, START);
        self.listen_addresses.push(listen);
        let router = Actor::Router(DefectiveRouter::new(router, layout.defect));
        self.routers.push(self.world.add(router, &[listen]));
        let seed = layout.seed * 77 + u64::from(number);
        let classes = ["chat", "once"];
        let clients = Clients::new(listen, &classes, layout.interval, layout.requests, START + ms(50), seed);
        let clients = clients.recording_in(&self.shared, layout.leaving);
        self.clients.push(self.world.add(Actor::Clients(Box::new(clients)), &[]));
    }

    /// Runs the cluster for this long.
    pub fn run(&mut self, time: Duration) {
        let until = self.world.now() + time;
        self.world.run_until(until);
    }

    /// Sets the mode of all discovery agents.
    pub fn set_discovery_mode(&mut self, mode: DiscoveryMode) {
        lock_shared(&self.shared).see(self.world.now(), Seen::Reachable(mode == DiscoveryMode::Healthy));
        for &agent in &self.discovery_agents {
            self.world.send_owner_message(agent, &mode);
        }
    }

    /// Lists an engine at all discovery agents with this status: `Ready`, or one in which it takes no new
    /// work.
    pub fn set_status(&mut self, engine: &str, status: &str) {
        let (is_prefill, port, _) = self.engines[engine];
        let (closed, name) = (status != "Ready", engine.to_owned());
        lock_shared(&self.shared).see(self.world.now(), Seen::EngineListed { engine: name.clone(), closed });
        let change = EndpointChanges(vec![(name, entry(engine, is_prefill, port, status, Duration::ZERO))]);
        for &agent in &self.discovery_agents {
            self.world.send_owner_message(agent, &change);
        }
    }

    /// Freezes or thaws an engine's process; while it is frozen its connections stay open and silent.
    pub fn freeze(&mut self, engine: &str, frozen: bool) {
        let (_, _, machine) = self.engines[engine];
        self.world.freeze(machine, frozen);
    }

    /// Cuts a router off from an engine, or ends that: while they are cut off, what they send to each other is
    /// held up without a sign.
    pub fn cut(&mut self, router: usize, engine: &str, is_cut: bool) {
        let (_, _, machine) = self.engines[engine];
        self.world.cut(self.routers[router], machine, is_cut);
    }

    /// The names of the engines of a role.
    pub fn engines_of(&self, is_prefill: bool) -> Vec<String> {
        let of_role = self.engines.iter().filter(|(_, engine)| engine.0 == is_prefill);
        of_role.map(|(name, _)| name.clone()).collect()
    }

    /// Stops all routers.
    pub fn stop(&mut self) {
        for listen in &self.listen_addresses {
            lock_shared(&self.shared)
                .see(self.world.now(), Seen::RouterEnding { router: listen.to_string() });
        }
        for &router in &self.routers.clone() {
            self.world.stop(router);
        }
    }

    /// The violations of these terms in the traffic so far.
    pub fn violations(&self, terms: &Terms) -> Vec<Violation> {
        judge(&lock_shared(&self.shared).facts, terms, self.world.now())
    }

    /// Attempts that reached an engine from `since` on.
    pub fn attempts_at(&self, engine: &str, since: Duration) -> usize {
        let is_attempt =
            |seen: &Seen| matches!(seen, Seen::AttemptArrived { engine: target, .. } if target == engine);
        lock_shared(&self.shared)
            .facts
            .iter()
            .filter(|fact| fact.at >= since && is_attempt(&fact.seen))
            .count()
    }

    /// The times at which routers opened a watch at discovery.
    pub fn watch_times(&self) -> Vec<Duration> {
        let times = |&actor: &usize| match self.world.machine(actor) {
            Actor::Discovery(agent) => agent.asked.clone(),
            _ => Vec::new(),
        };
        self.discovery_agents.iter().flat_map(times).collect()
    }

    /// How many requests of all clients ended in each way.
    pub fn endings(&self) -> BTreeMap<Ending, u32> {
        let mut all = BTreeMap::new();
        for &actor in &self.clients {
            if let Actor::Clients(clients) = self.world.machine(actor) {
                clients.endings.iter().for_each(|(&ending, count)| *all.entry(ending).or_default() += count);
            }
        }
        all
    }

    /// Whether neither engines nor clients saw anything invalid.
    pub fn is_clean(&self) -> bool {
        let shared = lock_shared(&self.shared);
        let saw_invalid = |&actor: &usize| {
            matches!(
                self.world.machine(actor),
                Actor::Clients(clients) if !clients.odd.is_empty()
            )
        };
        shared.broken.is_empty() && shared.overlapping.is_empty() && !self.clients.iter().any(saw_invalid)
    }
}
