//! Days of a few routers among hostile engines in virtual time, all drawn from a seed, judged for repeats.

use super::actor::Actor;
use super::ms;
use slipreel_invariants::repeats::{judge, Terms, Violation};
use slipreel_platform::{Config, PlatformRouter};
use slipreel_test_servers::memory::{Delays, World};
use slipreel_test_servers::platform::{
    list_entry, lock_ledger, place_of, ClientLayout, DaySettings, Discovery, EndpointChanges, EngineKilled,
    EngineLayout, EngineRole, ExchangeFault, HostileEngine, Random, RepeatingClients, SharedLedger,
    EXCHANGE_FAULTS,
};
use std::net::SocketAddr;
use std::time::Duration;

const START: Duration = Duration::from_secs(1_000);
/// Requests begin once the routers have their lists.
const FIRST_REQUEST: Duration = Duration::from_millis(100);
/// The last requests have their answers by then.
const AFTERMATH: Duration = Duration::from_secs(9);
/// A restarted engine is listed this long before it listens: connections to it are refused meanwhile.
const LISTED_AHEAD: Duration = Duration::from_millis(10);
/// Added to the port of an engine that moves.
const MOVED: u16 = 100;

/// A day: its settings come from the seed alone, so that they stay as parts of it are left out.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub routers: usize,
    pub requests: u32,
    pub engine_faults: Vec<ExchangeFault>,
    /// Routers and engines are cut off from each other for a while.
    pub has_cuts: bool,
    /// Engines drain, leave, come back, start anew, and change zone, cell, role and address.
    pub has_list_changes: bool,
    /// Routers are stopped or killed, and start again.
    pub has_restarts: bool,
    pub has_late_connections: bool,
    /// Routers learn late that their bytes have left.
    pub has_late_sent: bool,
}

impl Day {
    /// The day of a seed with everything in it.
    pub fn of(seed: u64) -> Day {
        let mut random = Random::new(seed ^ 0x5eed_0001);
        Day {
            seed,
            routers: 2 + random.below(7),
            requests: 250,
            engine_faults: EXCHANGE_FAULTS.to_vec(),
            has_cuts: random.chance(0.5),
            has_list_changes: random.chance(0.7),
            has_restarts: random.chance(0.5),
            has_late_connections: random.chance(0.5),
            has_late_sent: random.chance(0.5),
        }
    }

    /// Days with one part less each, to find the shortest that breaks.
    pub fn shorter(&self) -> Vec<Day> {
        let mut days = Vec::new();
        if self.requests > 8 {
            days.push(Day { requests: self.requests / 2, ..self.clone() });
            days.push(Day { requests: self.requests * 7 / 8, ..self.clone() });
        }
        if self.routers > 1 {
            days.push(Day { routers: self.routers / 2, ..self.clone() });
        }
        for fault in &self.engine_faults {
            let engine_faults = self.engine_faults.iter().copied().filter(|other| other != fault).collect();
            days.push(Day { engine_faults, ..self.clone() });
        }
        let has = [
            (self.has_cuts, Day { has_cuts: false, ..self.clone() }),
            (self.has_list_changes, Day { has_list_changes: false, ..self.clone() }),
            (self.has_restarts, Day { has_restarts: false, ..self.clone() }),
            (self.has_late_connections, Day { has_late_connections: false, ..self.clone() }),
            (self.has_late_sent, Day { has_late_sent: false, ..self.clone() }),
        ];
        days.extend(has.into_iter().filter(|(has, _)| *has).map(|(_, day)| day));
        days
    }

    /// The shortest day to be found from this one that still breaks.
    pub fn shortest(self) -> Day {
        let mut day = self;
        while let Some(shorter) = day.shorter().into_iter().find(|day| !day.play().breaks.is_empty()) {
            day = shorter;
        }
        day
    }

    pub fn settings(&self) -> DaySettings {
        DaySettings::draw(self.seed)
    }

    /// Plays the day.
    pub fn play(&self) -> Played {
        Play::new(self).run()
    }
}

/// How a day went.
#[derive(Debug)]
pub struct Played {
    pub breaks: Vec<Violation>,
    pub served: u32,
    pub refused: u32,
    pub failed: u32,
    /// The log of the routers.
    pub log: Vec<(Duration, String)>,
}

type DayActor = Actor<PlatformRouter, HostileEngine, RepeatingClients>;

#[derive(Clone, Debug)]
struct EngineState {
    machine: usize,
    layout: EngineLayout,
    port: u16,
    is_moved: bool,
    since: Duration,
}

struct Router {
    machine: usize,
    agent: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    starts: u64,
}

/// What is to happen at a time of the day.
#[derive(Clone, Copy, Debug)]
enum Change {
    Cut { router: usize, engine: usize, is_cut: bool },
    Drain { engine: usize, drains: bool },
    Leave { engine: usize },
    Restart { engine: usize, tells_start: bool, moves: Moves },
    Start { engine: usize },
    Stop { router: usize },
    Kill { router: usize },
    StartRouter { router: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moves {
    Nowhere,
    Place,
    Role,
    Address,
}

struct Play {
    day: Day,
    settings: DaySettings,
    random: Random,
    ledger: SharedLedger,
    world: World<DayActor>,
    engines: Vec<EngineState>,
    routers: Vec<Router>,
    clients: usize,
}

const ENGINES: usize = 9;

impl Play {
    fn new(day: &Day) -> Play {
        let settings = day.settings();
        let mut random = Random::new(day.seed ^ 0x5eed_0003);
        let delays = Delays {
            sent: if day.has_late_sent { random.millis(0, 3) } else { Duration::ZERO },
            late_share: if day.has_late_connections { 0.2 } else { 0.0 },
            late_most: settings.connect_timeout * 2,
            ..Delays::default()
        };
        let ledger = SharedLedger::default();
        let mut play = Play {
            world: World::new(START, delays, day.seed),
            day: day.clone(),
            settings,
            random,
            ledger,
            engines: Vec::new(),
            routers: Vec::new(),
            clients: 0,
        };
        (0..ENGINES).for_each(|number| play.add_engine(number));
        (0..day.routers).for_each(|number| play.add_router(number));
        play.add_clients();
        play
    }

    fn add_engine(&mut self, number: usize) {
        let role = match number % 3 {
            _ if self.settings.has_mixed_engines && number >= 6 => EngineRole::Mixed,
            0 => EngineRole::Prefill,
            _ => EngineRole::Decode,
        };
        let layout = EngineLayout {
            name: format!("e{number}"),
            role,
            place: place_of(number),
            faults: self.day.engine_faults.clone(),
            fault_share: 0.35,
            stray_most_ms: 60,
            seed: self.day.seed * 31 + number as u64,
        };
        let port = number as u16 + 1;
        let addresses = [engine_address(port, false), engine_address(port, true)];
        let engine = HostileEngine::new(layout.clone(), &self.ledger);
        let machine = self.world.add(Actor::Engine(Box::new(engine)), &addresses);
        self.engines.push(EngineState { machine, layout, port, is_moved: false, since: Duration::ZERO });
    }

    fn add_router(&mut self, number: usize) {
        let entries = self.engines.iter().map(|engine| (engine.layout.name.clone(), engine.entry("Ready")));
        let discovery = Discovery::new(&EndpointChanges(entries.collect()));
        let known = discovery.whole();
        let last = number as u8;
        let at = SocketAddr::from(([127, 9, 0, last], 8500));
        let listen = SocketAddr::from(([127, 2, 0, last], 5000));
        let agent = self.world.add(Actor::Discovery(Box::new(discovery)), &[at]);
        let node = self.router(listen, at, number as u64, &known);
        let machine = self.world.add(node, &[listen]);
        self.routers.push(Router { machine, agent, listen, discovery: at, starts: 0 });
    }

    fn router(&self, listen: SocketAddr, discovery: SocketAddr, salt: u64, known: &str) -> DayActor {
        let seed = self.day.seed * 1_000 + salt;
        let text = self.settings.router_config(self.day.routers, listen, discovery, seed, known);
        let config = Config::parse(&text).expect("a configuration that can be read");
        let now = self.world.now();
        Actor::Router(Box::new(PlatformRouter::new(config, now, now)))
    }

    fn add_clients(&mut self) {
        let layout = ClientLayout {
            routers: self.routers.iter().map(|router| router.listen).collect(),
            classes: self.settings.classes.clone(),
            every: ms(12),
            start: START + FIRST_REQUEST,
            requests: self.day.requests,
            leaving: 0.05,
            seed: self.day.seed * 77,
        };
        let clients = RepeatingClients::new(layout, &self.ledger);
        self.clients = self.world.add(Actor::Clients(Box::new(clients)), &[]);
    }

    /// What happens when, besides the engines' own faults.
    fn changes(&mut self) -> Vec<(Duration, Change)> {
        let length = ms(12) * self.day.requests;
        let mut changes = Vec::new();
        let steps = length.as_millis() as usize / 400;
        for step in 0..steps {
            let at = START + FIRST_REQUEST + ms(400) * step as u32 + self.random.millis(0, 400);
            // All are drawn in any case, so that leaving out a part changes none of the others.
            let cut = (
                self.random.below(self.day.routers),
                self.random.below(ENGINES),
                self.random.millis(50, 5_000),
            );
            let engine = self.random.below(ENGINES);
            let (kind, pause) = (self.random.below(6), self.random.millis(20, 600));
            let tells_start = self.random.chance(0.5);
            let restart =
                (self.random.below(self.day.routers), self.random.chance(0.15), self.random.chance(0.5));
            if self.day.has_cuts {
                let (router, engine, time) = cut;
                changes.push((at, Change::Cut { router, engine, is_cut: true }));
                changes.push((at + time, Change::Cut { router, engine, is_cut: false }));
            }
            if self.day.has_list_changes {
                let moves = [Moves::Nowhere, Moves::Place, Moves::Role, Moves::Address][kind.min(3)];
                match kind {
                    4 => {
                        changes.push((at, Change::Drain { engine, drains: true }));
                        changes.push((at + pause, Change::Drain { engine, drains: false }));
                    }
                    5 => {
                        changes.push((at, Change::Leave { engine }));
                        changes.push((at + pause, Change::Drain { engine, drains: false }));
                    }
                    _ => {
                        changes.push((at, Change::Restart { engine, tells_start, moves }));
                        changes.push((at + LISTED_AHEAD, Change::Start { engine }));
                    }
                }
            }
            let (router, restarts, is_killed) = restart;
            if self.day.has_restarts && restarts {
                let change = if is_killed { Change::Kill { router } } else { Change::Stop { router } };
                changes.push((at, change));
                let until = if is_killed { ms(300) } else { ms(4_800) };
                changes.push((at + until, Change::StartRouter { router }));
            }
        }
        changes.sort_by_key(|&(at, _)| at);
        changes
    }

    fn run(mut self) -> Played {
        let changes = self.changes();
        for (at, change) in changes {
            self.world.run_until(at);
            self.apply(change);
        }
        let end = START + FIRST_REQUEST + ms(12) * self.day.requests + AFTERMATH;
        let end = end.max(self.world.now() + AFTERMATH);
        self.world.run_until(end);
        // The close of a connection into a cut is not seen by its engine until the cut is over.
        let second_copies = self.settings.second_copies || self.day.has_cuts;
        let terms = Terms { second_copies, wire: ms(1) };
        let breaks = judge(&lock_ledger(&self.ledger).facts, &terms);
        let Actor::Clients(clients) = self.world.machine(self.clients) else { unreachable!("the clients") };
        let log = self.world.log().iter().map(|(at, _, line)| (*at, line.clone())).collect();
        Played { breaks, served: clients.served, refused: clients.refused, failed: clients.failed, log }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Cut { router, engine, is_cut } => {
                let (router, engine) = (self.routers[router].machine, self.engines[engine].machine);
                self.world.cut(router, engine, is_cut);
            }
            Change::Drain { engine, drains } => {
                self.set_status(engine, if drains { "Terminating" } else { "Ready" });
            }
            Change::Leave { engine } => self.set_status(engine, "Gone"),
            Change::Restart { engine, tells_start, moves } => self.restart_engine(engine, tells_start, moves),
            Change::Start { engine } => {
                let state = &mut self.engines[engine];
                state.layout.seed += 1;
                let again = HostileEngine::new(state.layout.clone(), &self.ledger);
                self.world.revive(state.machine, Actor::Engine(Box::new(again)));
            }
            Change::Stop { router } => self.world.stop(self.routers[router].machine),
            Change::Kill { router } => self.world.kill(self.routers[router].machine),
            Change::StartRouter { router } => self.start_router(router),
        }
    }

    fn restart_engine(&mut self, engine: usize, tells_start: bool, moves: Moves) {
        let to = self.random.below(ENGINES);
        let now = self.world.now();
        let state = &mut self.engines[engine];
        self.world.send_owner_message(state.machine, &EngineKilled);
        self.world.kill(state.machine);
        if tells_start {
            state.since = now;
        }
        match moves {
            Moves::Nowhere => {}
            Moves::Place => state.layout.place = place_of(to),
            Moves::Role => {
                state.layout.role = match state.layout.role {
                    EngineRole::Prefill => EngineRole::Decode,
                    EngineRole::Decode | EngineRole::Mixed => EngineRole::Prefill,
                };
            }
            Moves::Address => state.is_moved = !state.is_moved,
        }
        self.set_status(engine, "Ready");
    }

    fn set_status(&mut self, engine: usize, status: &str) {
        let state = &self.engines[engine];
        let change = EndpointChanges(vec![(state.layout.name.clone(), state.entry(status))]);
        for agent in self.routers.iter().map(|router| router.agent).collect::<Vec<_>>() {
            self.world.send_owner_message(agent, &change);
        }
    }

    fn start_router(&mut self, number: usize) {
        let router = &mut self.routers[number];
        router.starts += 1;
        let (machine, salt) = (router.machine, number as u64 + 100 * router.starts);
        let (listen, discovery, agent) = (router.listen, router.discovery, router.agent);
        let Actor::Discovery(agent) = self.world.machine(agent) else { unreachable!("an agent") };
        let known = agent.whole();
        let node = self.router(listen, discovery, salt, &known);
        self.world.kill(machine);
        self.world.revive(machine, node);
    }
}

fn engine_address(port: u16, is_moved: bool) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port + if is_moved { MOVED } else { 0 }))
}

impl EngineState {
    fn entry(&self, status: &str) -> String {
        list_entry(&self.layout, engine_address(self.port, self.is_moved), status, self.since)
    }
}
