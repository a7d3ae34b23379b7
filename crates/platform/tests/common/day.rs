//! Random scenarios (days) of a few routers among hostile engines in virtual time. A seed determines each;
//! the recorded traffic is checked for forbidden repeats.

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
/// When requests begin: the routers have their endpoint lists by then.
const FIRST_REQUEST: Duration = Duration::from_millis(100);
/// How long a day continues after its last request, so that all requests are answered.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// How long before it listens a restarted engine is listed: connections to it are refused meanwhile.
const LISTED_BEFORE_START: Duration = Duration::from_millis(10);
/// Added to the port of an engine that changes its address.
const MOVED_PORT_OFFSET: u16 = 100;

/// A random scenario. Its settings depend on the seed alone, so that they stay the same when parts of it are
/// left out.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub routers: usize,
    pub requests: u32,
    pub engine_faults: Vec<ExchangeFault>,
    /// Whether routers and engines are cut off from each other for a while.
    pub has_cuts: bool,
    /// Whether engines drain, leave, come back, restart, and change zone, cell, role and address.
    pub has_list_changes: bool,
    /// Whether routers are stopped or killed, and start again.
    pub has_restarts: bool,
    /// Whether some connections are established late.
    pub has_late_connections: bool,
    /// Whether routers learn late that their bytes were sent.
    pub has_late_sent: bool,
}

impl Day {
    /// The day of a seed with all its parts.
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

    /// Days with one part less each, as candidates for a shorter failing day.
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
        let optional_parts = [
            (self.has_cuts, Day { has_cuts: false, ..self.clone() }),
            (self.has_list_changes, Day { has_list_changes: false, ..self.clone() }),
            (self.has_restarts, Day { has_restarts: false, ..self.clone() }),
            (self.has_late_connections, Day { has_late_connections: false, ..self.clone() }),
            (self.has_late_sent, Day { has_late_sent: false, ..self.clone() }),
        ];
        days.extend(optional_parts.into_iter().filter(|(is_present, _)| *is_present).map(|(_, day)| day));
        days
    }

    /// Leaves parts out of this day as long as it still has violations.
    pub fn shortest(self) -> Day {
        let mut day = self;
        while let Some(shorter) = day.shorter().into_iter().find(|day| !day.run().violations.is_empty()) {
            day = shorter;
        }
        day
    }

    /// The settings of the day.
    pub fn settings(&self) -> DaySettings {
        DaySettings::draw(self.seed)
    }

    /// Runs the day.
    pub fn run(&self) -> DayResult {
        DayRun::new(self).run()
    }
}

/// The result of a day.
#[derive(Debug)]
pub struct DayResult {
    pub violations: Vec<Violation>,
    pub served: u32,
    pub refused: u32,
    pub failed: u32,
    /// The log of the routers.
    pub log: Vec<(Duration, String)>,
}

type DayActor = Actor<PlatformRouter, HostileEngine, RepeatingClients>;

/// An engine as the day has set it up.
#[derive(Clone, Debug)]
struct EngineState {
    machine: usize,
    layout: EngineLayout,
    port: u16,
    /// Whether it listens at its second address.
    is_moved: bool,
    /// The start time that its list entry reports.
    since: Duration,
}

/// A router with its discovery agent.
struct Router {
    machine: usize,
    agent: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    starts: u64,
}

/// A scheduled event of the day.
#[derive(Clone, Copy, Debug)]
enum Change {
    Cut { router: usize, engine: usize, is_cut: bool },
    Drain { engine: usize, drains: bool },
    Leave { engine: usize },
    Restart { engine: usize, reports_start: bool, restart_change: RestartChange },
    Start { engine: usize },
    Stop { router: usize },
    Kill { router: usize },
    StartRouter { router: usize },
}

/// What changes about an engine when it restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestartChange {
    None,
    Place,
    Role,
    Address,
}

/// A running day.
struct DayRun {
    day: Day,
    settings: DaySettings,
    random: Random,
    ledger: SharedLedger,
    world: World<DayActor>,
    engines: Vec<EngineState>,
    routers: Vec<Router>,
    clients: usize,
}

const ENGINE_COUNT: usize = 9;

impl DayRun {
    fn new(day: &Day) -> DayRun {
        let settings = day.settings();
        let mut random = Random::new(day.seed ^ 0x5eed_0003);
        let delays = Delays {
            sent: if day.has_late_sent { random.millis(0, 3) } else { Duration::ZERO },
            late_share: if day.has_late_connections { 0.2 } else { 0.0 },
            late_most: settings.connect_timeout * 2,
            ..Delays::default()
        };
        let ledger = SharedLedger::default();
        let mut run = DayRun {
            world: World::new(START, delays, day.seed),
            day: day.clone(),
            settings,
            random,
            ledger,
            engines: Vec::new(),
            routers: Vec::new(),
            clients: 0,
        };
        (0..ENGINE_COUNT).for_each(|number| run.add_engine(number));
        (0..day.routers).for_each(|number| run.add_router(number));
        run.add_clients();
        run
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
        let initial_list = discovery.whole();
        let host = number as u8;
        let discovery_address = SocketAddr::from(([127, 9, 0, host], 8500));
        let listen = SocketAddr::from(([127, 2, 0, host], 5000));
        let agent = self.world.add(Actor::Discovery(Box::new(discovery)), &[discovery_address]);
        let router_actor = self.router(listen, discovery_address, number as u64, &initial_list);
        let machine = self.world.add(router_actor, &[listen]);
        self.routers.push(Router { machine, agent, listen, discovery: discovery_address, starts: 0 });
    }

    fn router(
        &self, listen: SocketAddr, discovery: SocketAddr, seed_offset: u64, initial_list: &str,
    ) -> DayActor {
        let seed = self.day.seed * 1_000 + seed_offset;
        let text = self.settings.router_config(self.day.routers, listen, discovery, seed, initial_list);
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

    /// Draws the scheduled events of the day, in order of time. The engines' own faults are not among them.
    fn draw_changes(&mut self) -> Vec<(Duration, Change)> {
        let length = ms(12) * self.day.requests;
        let mut changes = Vec::new();
        let steps = length.as_millis() as usize / 400;
        for step in 0..steps {
            let at = START + FIRST_REQUEST + ms(400) * step as u32 + self.random.millis(0, 400);
            // All numbers are drawn in any case, so that leaving out a part does not change the others.
            let cut = (
                self.random.below(self.day.routers),
                self.random.below(ENGINE_COUNT),
                self.random.millis(50, 5_000),
            );
            let engine = self.random.below(ENGINE_COUNT);
            let (change_kind, pause) = (self.random.below(6), self.random.millis(20, 600));
            let reports_start = self.random.chance(0.5);
            let restart =
                (self.random.below(self.day.routers), self.random.chance(0.15), self.random.chance(0.5));
            if self.day.has_cuts {
                let (router, engine, time) = cut;
                changes.push((at, Change::Cut { router, engine, is_cut: true }));
                changes.push((at + time, Change::Cut { router, engine, is_cut: false }));
            }
            if self.day.has_list_changes {
                let restart_change =
                    [RestartChange::None, RestartChange::Place, RestartChange::Role, RestartChange::Address]
                        [change_kind.min(3)];
                match change_kind {
                    4 => {
                        changes.push((at, Change::Drain { engine, drains: true }));
                        changes.push((at + pause, Change::Drain { engine, drains: false }));
                    }
                    5 => {
                        changes.push((at, Change::Leave { engine }));
                        changes.push((at + pause, Change::Drain { engine, drains: false }));
                    }
                    _ => {
                        changes.push((at, Change::Restart { engine, reports_start, restart_change }));
                        changes.push((at + LISTED_BEFORE_START, Change::Start { engine }));
                    }
                }
            }
            let (router, is_restarted, is_killed) = restart;
            if self.day.has_restarts && is_restarted {
                let change = if is_killed { Change::Kill { router } } else { Change::Stop { router } };
                changes.push((at, change));
                let downtime = if is_killed { ms(300) } else { ms(4_800) };
                changes.push((at + downtime, Change::StartRouter { router }));
            }
        }
        changes.sort_by_key(|&(at, _)| at);
        changes
    }

    fn run(mut self) -> DayResult {
        let changes = self.draw_changes();
        for (at, change) in changes {
            self.world.run_until(at);
            self.apply(change);
        }
        let end = START + FIRST_REQUEST + ms(12) * self.day.requests + SETTLE_TIME;
        let end = end.max(self.world.now() + SETTLE_TIME);
        self.world.run_until(end);
        // While a connection is cut, its engine does not see that it is closed until the cut is over.
        let second_copies = self.settings.second_copies || self.day.has_cuts;
        let terms = Terms { second_copies, wire: ms(1) };
        let violations = judge(&lock_ledger(&self.ledger).facts, &terms);
        let Actor::Clients(clients) = self.world.machine(self.clients) else { unreachable!("the clients") };
        let log = self.world.log().iter().map(|(at, _, line)| (*at, line.clone())).collect();
        DayResult {
            violations,
            served: clients.served,
            refused: clients.refused,
            failed: clients.failed,
            log,
        }
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
            Change::Restart { engine, reports_start, restart_change } => {
                self.restart_engine(engine, reports_start, restart_change);
            }
            Change::Start { engine } => {
                let state = &mut self.engines[engine];
                state.layout.seed += 1;
                let restarted = HostileEngine::new(state.layout.clone(), &self.ledger);
                self.world.revive(state.machine, Actor::Engine(Box::new(restarted)));
            }
            Change::Stop { router } => self.world.stop(self.routers[router].machine),
            Change::Kill { router } => self.world.kill(self.routers[router].machine),
            Change::StartRouter { router } => self.start_router(router),
        }
    }

    fn restart_engine(&mut self, engine: usize, reports_start: bool, restart_change: RestartChange) {
        let new_place = self.random.below(ENGINE_COUNT);
        let now = self.world.now();
        let state = &mut self.engines[engine];
        self.world.send_owner_message(state.machine, &EngineKilled);
        self.world.kill(state.machine);
        if reports_start {
            state.since = now;
        }
        match restart_change {
            RestartChange::None => {}
            RestartChange::Place => state.layout.place = place_of(new_place),
            RestartChange::Role => {
                state.layout.role = match state.layout.role {
                    EngineRole::Prefill => EngineRole::Decode,
                    EngineRole::Decode | EngineRole::Mixed => EngineRole::Prefill,
                };
            }
            RestartChange::Address => state.is_moved = !state.is_moved,
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
        let (machine, seed_offset) = (router.machine, number as u64 + 100 * router.starts);
        let (listen, discovery, agent) = (router.listen, router.discovery, router.agent);
        let Actor::Discovery(agent) = self.world.machine(agent) else { unreachable!("an agent") };
        let initial_list = agent.whole();
        let router_actor = self.router(listen, discovery, seed_offset, &initial_list);
        self.world.kill(machine);
        self.world.revive(machine, router_actor);
    }
}

fn engine_address(port: u16, is_moved: bool) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port + if is_moved { MOVED_PORT_OFFSET } else { 0 }))
}

impl EngineState {
    fn entry(&self, status: &str) -> String {
        list_entry(&self.layout, engine_address(self.port, self.is_moved), status, self.since)
    }
}
