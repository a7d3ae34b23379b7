//! Routers on the platform with their peers in virtual time, and a program that is broken on purpose.

use super::{config, ms};
use slipreel_invariants::terms::{judge, Break, Seen, Terms};
use slipreel_platform::{Config, PlatformRouter};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use slipreel_test_servers::memory::{Delays, World};
use slipreel_test_servers::platform::{
    look, Clients, Discovery, Ending, Engine, Faults, Listing, Mood, Shared,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// What is broken on purpose in a router, so that a judge can be seen to catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// Asks discovery once and no more.
    AsksOnce,
    /// Hears a second late that a client has gone.
    LateGoodbyes,
    /// Keeps what it writes to clients back for longer than events may take.
    HoldsEvents,
    /// Turns away whatever clients ask.
    TurnsAllAway,
    /// Reads what clients ask and answers nothing.
    AnswersNothing,
    /// Turns away prompts over 1,500 tokens.
    TurnsLongAway,
    /// Turns away one session in four, whatever it asks.
    TurnsSessionsAway,
    /// Tells engines more time than its clients have left.
    TellsLongDeadlines,
}

impl Flaw {
    /// Whether a router with this flaw turns away a request by itself.
    fn turns_away(self, request: &str) -> bool {
        let number = |name: &str, radix| {
            let text = request.split(name).nth(1)?;
            let digits = text.split(|c: char| !c.is_ascii_hexdigit()).next()?;
            u64::from_str_radix(digits, radix).ok()
        };
        match self {
            Flaw::TurnsAllAway => true,
            Flaw::TurnsLongAway => number("prompt_len=", 10).is_some_and(|tokens| tokens > 1_500),
            Flaw::TurnsSessionsAway => number("X-Key: ", 16).is_some_and(|session| session % 4 == 0),
            _ => false,
        }
    }
}

/// The answer of a router that turns all away.
const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// How long a router that holds events keeps them back.
const HELD_BACK: Duration = Duration::from_millis(400);

/// A router, perhaps broken.
pub struct Flawed {
    pub node: PlatformRouter,
    flaw: Flaw,
    asked: u32,
    /// Goodbyes of clients that it is to hear of later.
    goodbyes: BTreeSet<(Duration, ConnId)>,
    /// What it keeps back, and until when.
    held: VecDeque<(Duration, Output)>,
}

impl Flawed {
    pub fn new(node: PlatformRouter, flaw: Flaw) -> Box<Flawed> {
        Box::new(Flawed { node, flaw, asked: 0, goodbyes: BTreeSet::new(), held: VecDeque::new() })
    }
}

impl Machine for Flawed {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        while let Some(&(at, conn)) = self.goodbyes.first().filter(|goodbye| goodbye.0 <= now) {
            self.goodbyes.remove(&(at, conn));
            self.node.handle(now, Input::Eof(conn), out);
        }
        if let Input::Data(conn, bytes) = input {
            let turns_away = self.flaw.turns_away(&String::from_utf8_lossy(bytes));
            if !conn.is_opened() && (turns_away || self.flaw == Flaw::AnswersNothing) {
                if turns_away {
                    out.push(Output::Write(conn, TURNED_AWAY.to_vec()));
                }
                return;
            }
        }
        let goodbye = match input {
            Input::Eof(conn) | Input::Lost(conn, _) | Input::PeerClosedWhilePaused(conn) => Some(conn),
            _ => None,
        };
        match goodbye.filter(|conn| self.flaw == Flaw::LateGoodbyes && !conn.is_opened()) {
            Some(conn) => {
                self.goodbyes.insert((now + ms(1_000), conn));
            }
            None => self.node.handle(now, input, out),
        }
        if self.flaw == Flaw::HoldsEvents {
            self.hold_back(now, out);
        }
        if self.flaw == Flaw::TellsLongDeadlines {
            out.iter_mut().for_each(lengthen_deadline);
        }
        if self.flaw == Flaw::AsksOnce {
            let asked = &mut self.asked;
            out.retain(|o| match o {
                Output::Connect(_, addr) if addr.port() >= 8000 => {
                    *asked += 1;
                    *asked == 1
                }
                _ => true,
            });
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let goodbye = self.goodbyes.first().map(|key| key.0);
        let held = self.held.front().map(|&(until, _)| until);
        self.node.wake_at().into_iter().chain(goodbye).chain(held).min()
    }
}

impl Flawed {
    /// What goes to clients is kept back, in order; what was kept back for long enough goes.
    fn hold_back(&mut self, now: Duration, out: &mut Vec<Output>) {
        let to_client = |output: &Output| match output {
            Output::Write(conn, _) | Output::CloseWhenSent(conn) => !conn.is_opened(),
            _ => false,
        };
        let (held, at_once): (Vec<Output>, Vec<Output>) = out.drain(..).partition(to_client);
        self.held.extend(held.into_iter().map(|output| (now + HELD_BACK, output)));
        out.extend(at_once);
        while self.held.front().is_some_and(|&(until, _)| until <= now) {
            out.extend(self.held.pop_front().map(|(_, output)| output));
        }
    }
}

/// Puts the most that as many digits can tell in place of the deadline that a request to an engine tells, so that its length
/// stays.
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

/// Any party of a world.
pub enum Actor {
    Node(Box<Flawed>),
    Engine(Box<Engine>),
    Discovery(Box<Discovery>),
    Clients(Box<Clients>),
}

impl Machine for Actor {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Actor::Node(m) => m.handle(now, input, out),
            Actor::Engine(m) => m.handle(now, input, out),
            Actor::Discovery(m) => m.handle(now, input, out),
            Actor::Clients(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Actor::Node(m) => m.wake_at(),
            Actor::Engine(m) => m.wake_at(),
            Actor::Discovery(m) => m.wake_at(),
            Actor::Clients(m) => m.wake_at(),
        }
    }
}

/// An entry of the list, in zone a and cell 1.
pub fn entry(name: &str, reads: bool, port: u16, status: &str, since: Duration) -> String {
    let kind = if reads { "reads" } else { "writes" };
    // The platform's wall clock and the world's are one here.
    let since = since.as_millis();
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":{since}}}"#
    )
}

const START: Duration = Duration::from_secs(1_000);

/// Several routers, each with an agent of discovery and clients of its own, and engines that all share.
pub struct Town {
    pub world: World<Actor>,
    pub shared: Shared,
    agents: Vec<usize>,
    routers: Vec<usize>,
    listens: Vec<SocketAddr>,
    clients: Vec<usize>,
    engines: BTreeMap<String, (bool, u16, usize)>,
}

/// How a town is laid out.
pub struct Plan {
    pub routers: u16,
    pub readers: u16,
    pub writers: u16,
    pub faults: Faults,
    pub flaw: Flaw,
    /// Requests at each router, and how far apart.
    pub requests: u32,
    pub every: Duration,
    /// Share of clients that leave early.
    pub leaving: f64,
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            routers: 3,
            readers: 2,
            writers: 3,
            faults: Faults::default(),
            flaw: Flaw::None,
            requests: 400,
            every: ms(50),
            leaving: 0.05,
            seed: 1,
        }
    }
}

impl Town {
    pub fn new(plan: &Plan) -> Town {
        let shared = Shared::default();
        let mut world = World::new(START, Delays::default(), plan.seed);
        let (mut engines, mut first) = (BTreeMap::new(), Vec::new());
        for born in 1..=plan.readers + plan.writers {
            let (name, reads) = (format!("e{born}"), born <= plan.readers);
            let engine = Engine::new(&name, reads, shared.clone(), plan.faults, plan.seed + u64::from(born));
            let at = world.add(Actor::Engine(Box::new(engine)), &[SocketAddr::from(([127, 0, 0, 1], born))]);
            first.push((name.clone(), entry(&name, reads, born, "Ready", Duration::ZERO)));
            engines.insert(name, (reads, born, at));
        }
        let mut town = Town {
            world,
            shared,
            agents: vec![],
            routers: vec![],
            listens: vec![],
            clients: vec![],
            engines,
        };
        for n in 0..plan.routers {
            let (name, [high, low]) = (format!("n{n}"), n.to_be_bytes());
            let agent = SocketAddr::from(([127, 9, high, low], 8500));
            let listen = SocketAddr::from(([127, 2, high, low], 5000));
            let discovery = Discovery::new(&Listing(first.clone())).beside(&name, &town.shared);
            let text = config(&agent.to_string(), &discovery.whole(), 512)
                .replace("127.0.0.2:5000", &listen.to_string())
                .replace("\"balancers\":1", &format!("\"balancers\":{}", plan.routers))
                .replace("8c1f30d27a5be964", &format!("{:x}", plan.seed * 1_000 + u64::from(n) + 1));
            town.agents.push(town.world.add(Actor::Discovery(Box::new(discovery)), &[agent]));
            let node = PlatformRouter::new(Config::parse(&text).unwrap(), START, START);
            town.listens.push(listen);
            town.routers.push(town.world.add(Actor::Node(Flawed::new(node, plan.flaw)), &[listen]));
            let seed = plan.seed * 77 + u64::from(n);
            let clients =
                Clients::new(listen, &["chat", "once"], plan.every, plan.requests, START + ms(50), seed);
            let clients = clients.noting(&town.shared, plan.leaving);
            town.clients.push(town.world.add(Actor::Clients(Box::new(clients)), &[]));
        }
        town
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.world.now() + time;
        self.world.run_until(until);
    }

    /// All agents turn so.
    pub fn turn(&mut self, mood: Mood) {
        look(&self.shared).see(self.world.now(), Seen::Reachable(mood == Mood::Fine));
        for &agent in &self.agents {
            self.world.news(agent, &mood);
        }
    }

    /// All agents have it at once that an engine takes work (`Ready`), or wants nothing new.
    pub fn say(&mut self, engine: &str, status: &str) {
        let (reads, port, _) = self.engines[engine];
        let (closed, name) = (status != "Ready", engine.to_owned());
        look(&self.shared).see(self.world.now(), Seen::Has { engine: name.clone(), closed });
        let change = Listing(vec![(name, entry(engine, reads, port, status, Duration::ZERO))]);
        for &agent in &self.agents {
            self.world.news(agent, &change);
        }
    }

    /// An engine's process hangs, or goes on: its connections stand and say nothing meanwhile.
    pub fn freeze(&mut self, engine: &str, frozen: bool) {
        let (_, _, machine) = self.engines[engine];
        self.world.freeze(machine, frozen);
    }

    /// All routers are told to stop.
    pub fn stop(&mut self) {
        for listen in &self.listens {
            look(&self.shared).see(self.world.now(), Seen::Ending { router: listen.to_string() });
        }
        for &router in &self.routers.clone() {
            self.world.stop(router);
        }
    }

    pub fn breaks(&self, terms: &Terms) -> Vec<Break> {
        judge(&look(&self.shared).facts, terms, self.world.now())
    }

    /// Attempts that came to an engine from `since` on.
    pub fn begun_at(&self, engine: &str, since: Duration) -> usize {
        let at = |seen: &Seen| matches!(seen, Seen::Begun { engine: e, .. } if e == engine);
        look(&self.shared).facts.iter().filter(|f| f.at >= since && at(&f.seen)).count()
    }

    /// When discovery was asked, by any router.
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
                clients.endings.iter().for_each(|(&ending, n)| *all.entry(ending).or_default() += n);
            }
        }
        all
    }

    /// Whether everything that must not be seen was not.
    pub fn is_clean(&self) -> bool {
        let fabric = look(&self.shared);
        let odd = |&at: &usize| matches!(self.world.machine(at), Actor::Clients(c) if !c.odd.is_empty());
        fabric.broken.is_empty() && fabric.twice.is_empty() && !self.clients.iter().any(odd)
    }
}
