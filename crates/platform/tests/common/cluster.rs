//! Several routers with their peers in virtual time, and routers that are broken on purpose.

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

/// What is broken on purpose in a router, to show that a judge detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    None,
    /// Opens one watch at discovery and no further.
    WatchesOnce,
    /// Learns a second late that a client has gone.
    LateDisconnects,
    /// Delays writes to clients for longer than events may take.
    DelaysEvents,
    /// Rejects every request.
    RejectsAll,
    /// Answers no request.
    AnswersNothing,
    /// Rejects prompts over 1,500 tokens.
    RejectsLongPrompts,
    /// Rejects one session in four.
    RejectsSessions,
    /// Forwards longer deadlines than its clients have left.
    ForwardsLongDeadlines,
}

impl Variant {
    /// Whether a router of this variant rejects a request by itself.
    fn rejects(self, request: &str) -> bool {
        let number = |name: &str, radix| {
            let text = request.split(name).nth(1)?;
            let digits = text.split(|c: char| !c.is_ascii_hexdigit()).next()?;
            u64::from_str_radix(digits, radix).ok()
        };
        match self {
            Variant::RejectsAll => true,
            Variant::RejectsLongPrompts => number("prompt_len=", 10).is_some_and(|tokens| tokens > 1_500),
            Variant::RejectsSessions => number("X-Key: ", 16).is_some_and(|session| session % 4 == 0),
            _ => false,
        }
    }
}

/// The answer of a router that rejects.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How long a router that delays events holds them.
const EVENT_DELAY: Duration = Duration::from_millis(400);

/// A router of any variant.
pub struct BrokenRouter {
    pub router: PlatformRouter,
    variant: Variant,
    watch_count: u32,
    /// Disconnects of clients that it learns of later.
    disconnects: BTreeSet<(Duration, ConnId)>,
    /// Delayed outputs, and until when.
    held: VecDeque<(Duration, Output)>,
}

impl BrokenRouter {
    pub fn new(router: PlatformRouter, variant: Variant) -> Box<BrokenRouter> {
        Box::new(BrokenRouter {
            router,
            variant,
            watch_count: 0,
            disconnects: BTreeSet::new(),
            held: VecDeque::new(),
        })
    }
}

impl Machine for BrokenRouter {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        while let Some(&(at, conn)) = self.disconnects.first().filter(|disconnect| disconnect.0 <= now) {
            self.disconnects.remove(&(at, conn));
            self.router.handle(now, Input::Eof(conn), out);
        }
        if let Input::Data(conn, bytes) = input {
            let rejects = self.variant.rejects(&String::from_utf8_lossy(bytes));
            if !conn.is_opened() && (rejects || self.variant == Variant::AnswersNothing) {
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
        match disconnected.filter(|conn| self.variant == Variant::LateDisconnects && !conn.is_opened()) {
            Some(conn) => {
                self.disconnects.insert((now + ms(1_000), conn));
            }
            None => self.router.handle(now, input, out),
        }
        if self.variant == Variant::DelaysEvents {
            self.delay_events(now, out);
        }
        if self.variant == Variant::ForwardsLongDeadlines {
            out.iter_mut().for_each(lengthen_deadline);
        }
        if self.variant == Variant::WatchesOnce {
            self.drop_further_watches(out);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let disconnect = self.disconnects.first().map(|key| key.0);
        let held = self.held.front().map(|&(until, _)| until);
        self.router.wake_at().into_iter().chain(disconnect).chain(held).min()
    }
}

impl BrokenRouter {
    /// Drops connections to discovery after the first.
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

    /// Delays outputs to clients, in order, and releases those that were delayed long enough.
    fn delay_events(&mut self, now: Duration, out: &mut Vec<Output>) {
        let to_client = |output: &Output| match output {
            Output::Write(conn, _) | Output::CloseWhenSent(conn) => !conn.is_opened(),
            _ => false,
        };
        let (held, at_once): (Vec<Output>, Vec<Output>) = out.drain(..).partition(to_client);
        self.held.extend(held.into_iter().map(|output| (now + EVENT_DELAY, output)));
        out.extend(at_once);
        while self.held.front().is_some_and(|&(until, _)| until <= now) {
            out.extend(self.held.pop_front().map(|(_, output)| output));
        }
    }
}

/// Replaces the deadline in a request to an engine by the largest of as many digits, so that its length stays.
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
pub type ClusterActor = Actor<BrokenRouter, Engine, Clients>;

/// An entry of the list, in zone a and cell 1.
pub fn entry(name: &str, is_prefill: bool, port: u16, status: &str, since: Duration) -> String {
    let kind = if is_prefill { "reads" } else { "writes" };
    // The wall clock and the virtual time are the same here.
    let since = since.as_millis();
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":{since}}}"#
    )
}

const START: Duration = Duration::from_secs(1_000);

/// Several routers, each with an agent of discovery and clients of its own, and engines that all share.
pub struct Cluster {
    pub world: World<ClusterActor>,
    pub shared: Shared,
    agents: Vec<usize>,
    routers: Vec<usize>,
    listens: Vec<SocketAddr>,
    clients: Vec<usize>,
    engines: BTreeMap<String, (bool, u16, usize)>,
}

/// The size of a cluster and what happens in it.
pub struct ClusterLayout {
    pub routers: u16,
    pub prefill_engines: u16,
    pub decode_engines: u16,
    pub faults: Faults,
    pub variant: Variant,
    /// Requests at each router, and how far apart.
    pub requests: u32,
    pub every: Duration,
    /// Share of clients that leave early.
    pub leaving: f64,
    pub seed: u64,
}

impl Default for ClusterLayout {
    fn default() -> Self {
        ClusterLayout {
            routers: 3,
            prefill_engines: 2,
            decode_engines: 3,
            faults: Faults::default(),
            variant: Variant::None,
            requests: 400,
            every: ms(50),
            leaving: 0.05,
            seed: 1,
        }
    }
}

impl Cluster {
    pub fn new(layout: &ClusterLayout) -> Cluster {
        let mut cluster = Cluster {
            world: World::new(START, Delays::default(), layout.seed),
            shared: Shared::default(),
            agents: vec![],
            routers: vec![],
            listens: vec![],
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
        let at = self.world.add(Actor::Engine(Box::new(engine)), &[addr]);
        self.engines.insert(name.clone(), (is_prefill, number, at));
        let listed = entry(&name, is_prefill, number, "Ready", Duration::ZERO);
        (name, listed)
    }

    /// Adds a router with its agent of discovery and its clients.
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
        self.agents.push(self.world.add(Actor::Discovery(Box::new(discovery)), &[agent]));
        let router = PlatformRouter::new(Config::parse(&text).unwrap(), START, START);
        self.listens.push(listen);
        let router = Actor::Router(BrokenRouter::new(router, layout.variant));
        self.routers.push(self.world.add(router, &[listen]));
        let seed = layout.seed * 77 + u64::from(number);
        let classes = ["chat", "once"];
        let clients = Clients::new(listen, &classes, layout.every, layout.requests, START + ms(50), seed);
        let clients = clients.recording_in(&self.shared, layout.leaving);
        self.clients.push(self.world.add(Actor::Clients(Box::new(clients)), &[]));
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.world.now() + time;
        self.world.run_until(until);
    }

    /// Sets the mood of all agents.
    pub fn set_mood(&mut self, mood: DiscoveryMode) {
        lock_shared(&self.shared).see(self.world.now(), Seen::Reachable(mood == DiscoveryMode::Healthy));
        for &agent in &self.agents {
            self.world.send_owner_message(agent, &mood);
        }
    }

    /// All agents list an engine with this status: `Ready`, or one in which it takes no new work.
    pub fn set_status(&mut self, engine: &str, status: &str) {
        let (is_prefill, port, _) = self.engines[engine];
        let (closed, name) = (status != "Ready", engine.to_owned());
        lock_shared(&self.shared).see(self.world.now(), Seen::EngineListed { engine: name.clone(), closed });
        let change = EndpointChanges(vec![(name, entry(engine, is_prefill, port, status, Duration::ZERO))]);
        for &agent in &self.agents {
            self.world.send_owner_message(agent, &change);
        }
    }

    /// An engine's process hangs or goes on; meanwhile its connections stay open and silent.
    pub fn freeze(&mut self, engine: &str, frozen: bool) {
        let (_, _, machine) = self.engines[engine];
        self.world.freeze(machine, frozen);
    }

    /// Stops all routers.
    pub fn stop(&mut self) {
        for listen in &self.listens {
            lock_shared(&self.shared)
                .see(self.world.now(), Seen::RouterEnding { router: listen.to_string() });
        }
        for &router in &self.routers.clone() {
            self.world.stop(router);
        }
    }

    pub fn breaks(&self, terms: &Terms) -> Vec<Violation> {
        judge(&lock_shared(&self.shared).facts, terms, self.world.now())
    }

    /// Attempts that reached an engine from `since` on.
    pub fn attempts_at(&self, engine: &str, since: Duration) -> usize {
        let is_attempt =
            |seen: &Seen| matches!(seen, Seen::AttemptArrived { engine: to, .. } if to == engine);
        lock_shared(&self.shared)
            .facts
            .iter()
            .filter(|fact| fact.at >= since && is_attempt(&fact.seen))
            .count()
    }

    /// When any router opened a watch at discovery.
    pub fn asked(&self) -> Vec<Duration> {
        let asked = |&at: &usize| match self.world.machine(at) {
            Actor::Discovery(agent) => agent.asked.clone(),
            _ => Vec::new(),
        };
        self.agents.iter().flat_map(asked).collect()
    }

    /// How the requests of all clients ended.
    pub fn endings(&self) -> BTreeMap<Ending, u32> {
        let mut all = BTreeMap::new();
        for &at in &self.clients {
            if let Actor::Clients(clients) = self.world.machine(at) {
                clients.endings.iter().for_each(|(&ending, count)| *all.entry(ending).or_default() += count);
            }
        }
        all
    }

    /// Whether neither engines nor clients saw anything invalid.
    pub fn is_clean(&self) -> bool {
        let fabric = lock_shared(&self.shared);
        let odd = |&at: &usize| matches!(self.world.machine(at), Actor::Clients(clients) if !clients.odd.is_empty());
        fabric.broken.is_empty() && fabric.overlapping.is_empty() && !self.clients.iter().any(odd)
    }
}
