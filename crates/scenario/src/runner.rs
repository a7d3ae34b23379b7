//! The runner of scenarios: executes their actions on time on either driver, maintains the engine list that
//! routers receive, and ends the run.

use crate::machine::{AnyMachine, DefectiveRouter};
use crate::report::{checker_limits, Report};
use crate::scenario::Scenario;
use crate::trouble::Action;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::{CellId, EngineState, ZoneId};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::settings::EngineSettings;
use slipreel_gateway::{engine_id, Counters, Gateway};
use slipreel_invariants::{judge, Record, Seen, Violation};
use slipreel_roles::{
    ChangeCosts, ControllerConfig, ControllerMode, EngineThroughput, FullLoadRequests, PlannerLimits,
    RoleController, WatchedEngine,
};
use slipreel_test_servers::client::{AttemptResult, Clients};
use slipreel_test_servers::engine::{Engine, Role};
use slipreel_test_servers::ledger::Ledger;
use slipreel_test_servers::memory::{Delays, World};
use slipreel_test_servers::partition::{PartitionedMachine, UnreachablePeers};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The clock of a run starts at this time, in memory as over sockets.
const CLOCK_START: Duration = Duration::from_secs(1 << 20);
/// Wall-clock time at time 0 of the run's clock. Any value works, as only differences matter.
const WALL_CLOCK_ORIGIN: Duration = Duration::from_secs(1_700_000_000);
/// Time between the start of the machines and the start of the scenario.
const STARTUP_DELAY: Duration = Duration::from_millis(500);
/// After traffic ends, requests have this long to finish.
const COMPLETION_LIMIT: Duration = Duration::from_secs(120);
/// Interval at which the runner checks the engines' roles and whether clients have finished.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a run.
pub struct RunResult {
    /// The result of every attempt, sorted by request and attempt number.
    pub results: Vec<AttemptResult>,
    /// What clients and engines observed.
    pub records: Vec<Record>,
    /// Violations of the invariants.
    pub violations: Vec<Violation>,
    /// The counters of the routers that were up at the end.
    pub counters: Vec<Counters>,
    /// Requests that the routers still held at the end. Any is a leak.
    pub held_requests: usize,
    /// Role changes that engines accepted, and those that they rejected.
    pub orders: (usize, usize),
    /// Lines that the machines logged.
    pub log: Vec<String>,
    /// In memory: a hash over every byte sent, with its time and receiver; equal scenarios give equal hashes.
    /// 0 over sockets.
    pub digest: u64,
    /// In memory: inputs that the machines handled. 0 over sockets.
    pub inputs: u64,
    /// Length of the run, on its own clock.
    pub took: Duration,
}

impl RunResult {
    /// Counts the results by model, API key and other groups.
    pub fn report(&self) -> Report {
        Report::of(self)
    }
}

/// A machine that actions are applied to, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Router(usize),
    Engine(usize),
}

/// What the runner needs of a driver.
trait Driver {
    fn now(&self) -> Duration;
    fn run_until(&mut self, at: Duration);
    fn kill(&mut self, target: Target);
    fn revive(&mut self, target: Target, machine: AnyMachine);
    fn freeze(&mut self, target: Target, frozen: bool);
    fn notify(&mut self, target: Target, message: Arc<dyn Any + Send + Sync>);
    fn clients_done(&self) -> bool;
}

/// What happens at a scheduled time.
enum Scheduled {
    Action(Action),
    /// Delivers this engine list, made when it was scheduled, to the routers.
    List(Vec<EngineSettings>),
}

/// Executes a scenario on a driver.
struct Runner<'a> {
    scenario: &'a Scenario,
    addrs: Vec<SocketAddr>,
    ledger: Ledger,
    scheduled: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
    alive: Vec<bool>,
    draining: Vec<bool>,
    /// The role of each engine in the engine list.
    roles: Vec<Role>,
    routers_up: Vec<bool>,
    /// The engine list that each router received last.
    router_lists: Vec<Vec<EngineSettings>>,
    isolated_zone: Option<String>,
    router_starts: u64,
}

impl<'a> Runner<'a> {
    fn new(scenario: &'a Scenario, addrs: Vec<SocketAddr>, ledger: Ledger, start: Duration) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(scenario.seed ^ 0x7_0b1e);
        let n = scenario.engines.len();
        let mut runner = Runner {
            scenario,
            addrs,
            ledger,
            scheduled: BTreeMap::new(),
            sequence: 0,
            alive: vec![true; n],
            draining: vec![false; n],
            roles: scenario.engines.iter().map(|e| e.spec.role).collect(),
            routers_up: vec![true; scenario.routers],
            router_lists: Vec::new(),
            isolated_zone: None,
            router_starts: 0,
        };
        runner.router_lists = vec![runner.current_list(); scenario.routers];
        for trouble in &scenario.troubles {
            for (at, action) in trouble.actions(scenario, &mut rng) {
                runner.schedule(start + at, Scheduled::Action(action));
            }
        }
        runner
    }

    fn schedule(&mut self, at: Duration, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled.insert((at, self.sequence), scheduled);
    }

    /// The current engine list; engines that are down are not in it.
    fn current_list(&self) -> Vec<EngineSettings> {
        let list_entry = |e: usize| {
            let state = if self.draining[e] { EngineState::Draining } else { EngineState::Ready };
            let mut entry = self.scenario.engines[e].list_entry(state);
            (entry.addr, entry.role) = (self.addrs[e], self.roles[e].into());
            entry
        };
        (0..self.alive.len()).filter(|&e| self.alive[e]).map(list_entry).collect()
    }

    /// A role controller for all engines, if the scenario has one.
    fn role_controller(&self, now: Duration, routers: &[SocketAddr]) -> Option<RoleController> {
        let policy = self.scenario.role_policy?;
        let mut cells: Vec<&String> = self.scenario.engines.iter().map(|e| &e.cell).collect();
        cells.sort_unstable();
        cells.dedup();
        let mut zones: Vec<&String> = self.scenario.engines.iter().map(|e| &e.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let index_of =
            |all: &[&String], name: &String| all.iter().position(|n| *n == name).unwrap_or(0) as u32;
        let watched_engine = |(e, addr): (&crate::scenario::ScenarioEngine, &SocketAddr)| WatchedEngine {
            id: engine_id(*addr),
            addr: *addr,
            cell: CellId(index_of(&cells, &e.cell)),
            zone: ZoneId(index_of(&zones, &e.zone)),
        };
        let engines: Vec<WatchedEngine> =
            self.scenario.engines.iter().zip(&self.addrs).map(watched_engine).collect();
        let spec = |role| self.scenario.engines.iter().map(|e| &e.spec).find(|s| s.role == role);
        let (prefill_spec, decode_spec) = (spec(Role::Prefill), spec(Role::Decode));
        let full_load_requests = FullLoadRequests {
            prefill: prefill_spec.map_or(1.0, |s| s.slots as f64),
            decode: decode_spec.map_or(1.0, |s| s.slots as f64),
        };
        let first = &self.scenario.engines.first()?.spec;
        let costs = ChangeCosts {
            drain: Duration::from_secs(2),
            slow_start: first.cold_time,
            slow_start_speed: first.cold_share,
            prefill_tokens_per_s: prefill_spec.map_or(1.0, |s| s.prefill_tokens_per_s),
        };
        let limits = PlannerLimits {
            max_concurrent_changes: 2,
            min_prefill_per_cell: 1,
            min_decode_per_cell: 1,
            min_per_zone: 1,
            min_time_in_role: first.cold_time,
            frozen: false,
        };
        let throughput = EngineThroughput {
            prefill: prefill_spec.map_or(1.0, |s| s.prefill_tokens_per_s),
            decode: decode_spec.map_or(1.0, slipreel_test_servers::engine::EngineSpec::decode_tokens_per_s),
        };
        let config =
            ControllerConfig { limits, costs, policy, full_load_requests, mode: ControllerMode::Apply };
        let role_controller = RoleController::new(engines, config, now);
        Some(role_controller.with_routers(routers.to_vec(), throughput))
    }

    /// Updates the engine list by the roles that the engines report.
    fn update_listed_roles(&mut self, now: Duration) {
        let mut changed = false;
        for e in 0..self.roles.len() {
            let Some((role, serving)) = self.ledger.role(&self.scenario.engines[e].spec.name) else {
                continue;
            };
            changed |= (self.roles[e], self.draining[e]) != (role, !serving);
            (self.roles[e], self.draining[e]) = (role, !serving);
        }
        if changed {
            self.schedule_list_update(now);
        }
    }

    fn engine(&self, e: usize, now: Duration, warm: bool) -> AnyMachine {
        let mut spec = self.scenario.engines[e].spec.clone();
        // An engine that restarts after a role change starts in the role that it is listed with.
        (spec.addr, spec.role) = (self.addrs[e], self.roles[e]);
        let new_engine = if warm { Engine::warm } else { Engine::new };
        AnyMachine::Engine(Box::new(PartitionedMachine::new(new_engine(
            spec,
            self.ledger.clone(),
            now,
            WALL_CLOCK_ORIGIN + now,
        ))))
    }

    fn router(&mut self, r: usize, now: Duration) -> AnyMachine {
        let mut settings = self.scenario.router_settings(r, &self.addrs);
        settings.engines = self.router_lists[r].clone();
        self.router_starts += 1;
        let seed =
            self.scenario.seed.wrapping_mul(0x9e37_79b9).wrapping_add(r as u64 + 1000 * self.router_starts);
        let gateway = Gateway::new(Arc::new(settings), seed, now, WALL_CLOCK_ORIGIN + now);
        let router = PartitionedMachine::new(gateway).watched(self.ledger.clone());
        match self.scenario.router_defect {
            None => AnyMachine::Router(Box::new(router)),
            Some(defect) => AnyMachine::DefectiveRouter(Box::new(DefectiveRouter::new(router, defect))),
        }
    }

    /// Runs the scenario to its end.
    fn run(&mut self, driver: &mut impl Driver, start: Duration) {
        let end = start + self.scenario.length;
        loop {
            let next = self.scheduled.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = next else { break };
            if self.scenario.role_policy.is_some() && driver.now() + POLL_INTERVAL < at {
                self.advance(driver, driver.now() + POLL_INTERVAL);
                continue;
            }
            driver.run_until(at);
            if let Some((_, scheduled)) = self.scheduled.pop_first() {
                self.execute(driver, scheduled);
            }
        }
        while self.scenario.role_policy.is_some() && driver.now() < end {
            self.advance(driver, driver.now() + POLL_INTERVAL);
        }
        driver.run_until(end);
        while !driver.clients_done() && driver.now() < end + COMPLETION_LIMIT {
            let next = driver.now() + POLL_INTERVAL;
            self.advance(driver, next);
        }
        // Engines have to release state that was never fetched. Waits four times the limit that the checker
        // allows.
        let last = driver.now() + self.scenario.settings.decisions.held_state_limit * 4;
        driver.run_until(last);
        self.ledger.note(driver.now(), Seen::RunOver);
    }

    /// Runs until a time, then updates the engine list by the reported roles and executes what is due.
    fn advance(&mut self, driver: &mut impl Driver, until: Duration) {
        driver.run_until(until);
        if self.scenario.role_policy.is_some() {
            self.update_listed_roles(driver.now());
        }
        while self.scheduled.first_key_value().is_some_and(|((at, _), _)| *at <= driver.now()) {
            if let Some((_, scheduled)) = self.scheduled.pop_first() {
                self.execute(driver, scheduled);
            }
        }
    }

    fn execute(&mut self, driver: &mut impl Driver, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Action(action) => self.apply(driver, action),
            Scheduled::List(list) => self.deliver_list(driver, &list),
        }
    }

    fn apply(&mut self, driver: &mut impl Driver, action: Action) {
        let now = driver.now();
        match action {
            Action::Fault(e, fault) => driver.notify(Target::Engine(e), Arc::new(fault)),
            Action::KillEngine(e) => {
                driver.kill(Target::Engine(e));
                self.ledger.note(now, Seen::EngineDied(self.scenario.engines[e].spec.name.clone()));
                self.alive[e] = false;
                self.schedule_list_update(now);
            }
            Action::ReviveEngine(e) => {
                let machine = self.engine(e, now, false);
                driver.revive(Target::Engine(e), machine);
                self.alive[e] = true;
                self.schedule_list_update(now);
                self.send_unreachable_peers(driver);
            }
            Action::FreezeEngine(e, frozen) => driver.freeze(Target::Engine(e), frozen),
            Action::KillRouter(r) => {
                driver.kill(Target::Router(r));
                self.routers_up[r] = false;
                self.ledger.note(now, Seen::RouterDied(Scenario::router_name(r)));
            }
            Action::ReviveRouter(r) => {
                let machine = self.router(r, now);
                driver.revive(Target::Router(r), machine);
                self.routers_up[r] = true;
                let list = self.current_list();
                self.schedule(now + self.scenario.list_delay, Scheduled::List(list));
                self.send_unreachable_peers(driver);
            }
            Action::IsolateZone(zone) => {
                self.isolated_zone = zone;
                self.send_unreachable_peers(driver);
            }
            Action::ChangeRole(e) => {
                let to = if self.roles[e] == Role::Prefill { Role::Decode } else { Role::Prefill };
                driver.notify(Target::Engine(e), Arc::new(to));
            }
            Action::ListRole(e) => {
                self.roles[e] = if self.roles[e] == Role::Prefill { Role::Decode } else { Role::Prefill };
                self.schedule_list_update(now);
            }
            Action::CutLink(e, to) => {
                let cut: BTreeSet<SocketAddr> = to.map(|to| self.addrs[to]).into_iter().collect();
                driver.notify(Target::Engine(e), Arc::new(UnreachablePeers(cut)));
            }
            Action::ListDraining(e, draining) => {
                self.draining[e] = draining;
                self.schedule_list_update(now);
            }
        }
    }

    fn schedule_list_update(&mut self, now: Duration) {
        let list = self.current_list();
        self.schedule(now + self.scenario.list_delay, Scheduled::List(list));
    }

    fn deliver_list(&mut self, driver: &mut impl Driver, list: &[EngineSettings]) {
        let is_ready = |list: &[EngineSettings], e: &EngineSettings| {
            list.iter().any(|l| l.addr == e.addr && l.state == EngineState::Ready)
        };
        for r in (0..self.scenario.routers).filter(|&r| self.routers_up[r]).collect::<Vec<_>>() {
            let before = std::mem::replace(&mut self.router_lists[r], list.to_vec());
            let now = driver.now();
            for e in before.iter().chain(list) {
                let (was_ready, is_ready_now) = (is_ready(&before, e), is_ready(list, e));
                if was_ready != is_ready_now {
                    let (router, engine) = (Scenario::router_name(r), e.name.clone());
                    self.ledger.note(now, Seen::RouterNotified { router, engine, closed: !is_ready_now });
                }
            }
            driver.notify(Target::Router(r), Arc::new(list.to_vec()));
        }
    }

    /// Informs each machine of the peers that it can't reach now.
    fn send_unreachable_peers(&self, driver: &mut impl Driver) {
        let unreachable_from = |zone: &str| -> UnreachablePeers {
            let Some(cut) = &self.isolated_zone else { return UnreachablePeers::default() };
            let is_unreachable = |e: &usize| (self.scenario.engines[*e].zone == *cut) != (zone == cut);
            UnreachablePeers(
                (0..self.addrs.len()).filter(is_unreachable).map(|e| self.addrs[e]).collect::<BTreeSet<_>>(),
            )
        };
        let now = driver.now();
        for r in (0..self.scenario.routers).filter(|&r| self.routers_up[r]) {
            let cut = unreachable_from(&self.scenario.router_zone(r));
            for (e, addr) in self.addrs.iter().enumerate() {
                let (router, engine) = (Scenario::router_name(r), self.scenario.engines[e].spec.name.clone());
                self.ledger.note(now, Seen::LinkCut { router, engine, cut: cut.0.contains(addr) });
            }
            driver.notify(Target::Router(r), Arc::new(cut));
        }
        for e in (0..self.addrs.len()).filter(|&e| self.alive[e]) {
            driver.notify(Target::Engine(e), Arc::new(unreachable_from(&self.scenario.engines[e].zone)));
        }
    }
}

fn clients(scenario: &Scenario, targets: Vec<SocketAddr>, ledger: Ledger, start: Duration) -> Clients {
    let mut requests = scenario.requests.clone();
    requests.iter_mut().for_each(|r| r.at += start);
    Clients::new(requests, targets, ledger, true)
}

fn sorted(mut results: Vec<AttemptResult>) -> Vec<AttemptResult> {
    results.sort_by_key(|r| r.attempt);
    results
}

fn counters_and_held_requests(machine: &AnyMachine) -> Option<(Counters, usize)> {
    match machine {
        AnyMachine::Router(router) => {
            let requests = router.inner().held_state().requests;
            Some((router.inner().counters(), requests))
        }
        _ => None,
    }
}

// ---- In memory ------------------------------------------------------------------------------------

struct MemoryDriver {
    world: World<AnyMachine>,
    engines: usize,
    clients: usize,
}

impl MemoryDriver {
    fn machine_index(&self, target: Target) -> usize {
        match target {
            Target::Engine(e) => e,
            Target::Router(r) => self.engines + r,
        }
    }
}

impl Driver for MemoryDriver {
    fn now(&self) -> Duration {
        self.world.now()
    }
    fn run_until(&mut self, at: Duration) {
        self.world.run_until(at);
    }
    fn kill(&mut self, target: Target) {
        self.world.kill(self.machine_index(target));
    }
    fn revive(&mut self, target: Target, machine: AnyMachine) {
        self.world.revive(self.machine_index(target), machine);
    }
    fn freeze(&mut self, target: Target, frozen: bool) {
        self.world.freeze(self.machine_index(target), frozen);
    }
    fn notify(&mut self, target: Target, message: Arc<dyn Any + Send + Sync>) {
        self.world.send_owner_message(self.machine_index(target), &*message);
    }
    fn clients_done(&self) -> bool {
        match self.world.machine(self.clients) {
            AnyMachine::Clients(c) => c.left() == 0,
            _ => true,
        }
    }
}

/// Runs a scenario in memory, in virtual time. Equal scenarios give equal bytes.
pub fn run_in_memory(scenario: &Scenario) -> RunResult {
    let ledger = Ledger::default();
    let addr = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let addrs: Vec<SocketAddr> = (0..scenario.engines.len()).map(|e| addr(20_000 + e)).collect();
    let targets: Vec<SocketAddr> = (0..scenario.routers).map(|r| addr(10_000 + r)).collect();
    let start = CLOCK_START + STARTUP_DELAY;
    let mut runner = Runner::new(scenario, addrs.clone(), ledger.clone(), start);
    let mut world = World::new(CLOCK_START, Delays::default(), scenario.seed);
    for (e, addr) in addrs.iter().enumerate() {
        world.add(runner.engine(e, CLOCK_START, true), &[*addr]);
    }
    let operators: Vec<SocketAddr> = (0..scenario.routers).map(|r| addr(15_000 + r)).collect();
    for (r, addr) in targets.iter().enumerate() {
        world.add(runner.router(r, CLOCK_START), &[*addr, operators[r]]);
    }
    let clients = world
        .add(AnyMachine::Clients(Box::new(clients(scenario, targets.clone(), ledger.clone(), start))), &[]);
    let role_controller = runner
        .role_controller(CLOCK_START, &operators)
        .map(|c| world.add(AnyMachine::RoleController(Box::new(c)), &[]));
    let mut driver = MemoryDriver { world, engines: addrs.len(), clients };
    runner.run(&mut driver, start);
    let world = driver.world;
    let results = match world.machine(clients) {
        AnyMachine::Clients(c) => sorted(c.results().to_vec()),
        _ => Vec::new(),
    };
    let router_states: Vec<(Counters, usize)> = (0..scenario.routers)
        .filter_map(|r| counters_and_held_requests(world.machine(addrs.len() + r)))
        .collect();
    let records = ledger.records();
    let orders = match role_controller.map(|c| world.machine(c)) {
        Some(AnyMachine::RoleController(c)) => (c.orders().accepted, c.orders().rejected),
        _ => (0, 0),
    };
    RunResult {
        orders,
        violations: judge(&records, &checker_limits(scenario)),
        results,
        records,
        counters: router_states.iter().map(|state| state.0).collect(),
        held_requests: router_states.iter().map(|state| state.1).sum(),
        log: world.log().iter().map(|(at, machine, line)| format!("{at:?} {machine}: {line}")).collect(),
        digest: world.digest(),
        inputs: world.inputs_handled(),
        took: world.now() - CLOCK_START,
    }
}

// ---- Over sockets -----------------------------------------------------------------------------------

/// Engines and routers on loopback sockets: all engines on one thread, each router on its own.
pub struct LiveFleet {
    clock: Clock,
    engines: EventLoopHandle<AnyMachine>,
    engine_machines: Vec<MachineId>,
    routers: Vec<EventLoopHandle<AnyMachine>>,
    threads: Vec<JoinHandle<Vec<AnyMachine>>>,
    clients: Option<JoinHandle<Vec<AnyMachine>>>,
    log: Arc<std::sync::Mutex<Vec<String>>>,
    /// Addresses that clients connect to, one per router.
    pub targets: Vec<SocketAddr>,
    /// Addresses at which each router publishes its metrics.
    pub operators: Vec<SocketAddr>,
    /// Addresses of the engines, in the order of the scenario.
    pub engine_addrs: Vec<SocketAddr>,
    ledger: Ledger,
}

fn spawn(mut event_loop: EventLoop<AnyMachine>, name: &str) -> std::io::Result<JoinHandle<Vec<AnyMachine>>> {
    std::thread::Builder::new().name(name.into()).spawn(move || {
        // An error of epoll itself ends the thread; its machines then count as stopped.
        let _ = event_loop.run();
        event_loop.into_machines()
    })
}

impl LiveFleet {
    /// Starts the engines and routers of a scenario. The first router listens on `listen` if given; all
    /// others get free ports.
    ///
    /// # Errors
    /// It can't listen on an address, or the system has no file descriptors or threads left.
    pub fn start(scenario: &Scenario, listen: Option<SocketAddr>) -> Result<LiveFleet, String> {
        let clock = Clock::start();
        let now = clock.now();
        let ledger = Ledger::default();
        let log = Arc::new(std::sync::Mutex::new(Vec::new()));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let error_text = |e: std::io::Error| e.to_string();
        let new_event_loop = || -> Result<EventLoop<AnyMachine>, String> {
            let mut event_loop = EventLoop::new(clock).map_err(error_text)?;
            let log = log.clone();
            event_loop.on_log(move |machine, line| {
                if let Ok(mut log) = log.lock() {
                    log.push(format!("{machine:?}: {line}"));
                }
            });
            Ok(event_loop)
        };
        let mut engines = new_event_loop()?;
        let (mut engine_machines, mut addrs) = (Vec::new(), Vec::new());
        for _ in &scenario.engines {
            let machine = engines.add(AnyMachine::Idle);
            addrs.push(engines.listen(machine, any_port).map_err(|e| e.to_string())?);
            engine_machines.push(machine);
        }
        let mut runner = Runner::new(scenario, addrs.clone(), ledger.clone(), now);
        for (e, machine) in engine_machines.iter().enumerate() {
            *engines.machine_mut(*machine) = runner.engine(e, now, true);
        }
        let (mut routers, mut threads) = (Vec::new(), Vec::new());
        let (mut targets, mut operators) = (Vec::new(), Vec::new());
        let engines_handle = engines.handle();
        threads.push(spawn(engines, "engines").map_err(error_text)?);
        for r in 0..scenario.routers {
            let mut event_loop = new_event_loop()?;
            let machine = event_loop.add(runner.router(r, now));
            let addr = listen.filter(|_| r == 0).unwrap_or(any_port);
            targets.push(event_loop.listen(machine, addr).map_err(|e| e.to_string())?);
            operators.push(event_loop.listen(machine, any_port).map_err(|e| e.to_string())?);
            routers.push(event_loop.handle());
            threads.push(spawn(event_loop, "router").map_err(error_text)?);
        }
        Ok(LiveFleet {
            clock,
            engines: engines_handle,
            engine_machines,
            routers,
            threads,
            clients: None,
            log,
            targets,
            operators,
            engine_addrs: addrs,
            ledger,
        })
    }

    /// Stops all routers gracefully, waits for them, and ends the engines. Returns the routers' counters and
    /// the number of requests that they still held.
    pub fn stop(self) -> (Vec<Counters>, usize) {
        for router in &self.routers {
            router.send(Command::Stop(MachineId(0)));
        }
        let mut threads = self.threads.into_iter();
        let engines = threads.next();
        let machines: Vec<AnyMachine> = threads.filter_map(|t| t.join().ok()).flatten().collect();
        self.engines.send(Command::End);
        if let Some(engines) = engines {
            let _ = engines.join();
        }
        let router_states: Vec<(Counters, usize)> =
            machines.iter().filter_map(counters_and_held_requests).collect();
        (router_states.iter().map(|state| state.0).collect(), router_states.iter().map(|state| state.1).sum())
    }
}

impl Driver for LiveFleet {
    fn now(&self) -> Duration {
        self.clock.now()
    }
    fn run_until(&mut self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.clock.now()));
    }
    fn kill(&mut self, target: Target) {
        match target {
            Target::Engine(e) => self.engines.send(Command::Kill(self.engine_machines[e])),
            Target::Router(r) => self.routers[r].send(Command::Kill(MachineId(0))),
        };
    }
    fn revive(&mut self, target: Target, machine: AnyMachine) {
        match target {
            Target::Engine(e) => self.engines.send(Command::Revive(self.engine_machines[e], machine)),
            Target::Router(r) => self.routers[r].send(Command::Revive(MachineId(0), machine)),
        };
    }
    fn freeze(&mut self, target: Target, frozen: bool) {
        let command = |machine| if frozen { Command::Freeze(machine) } else { Command::Thaw(machine) };
        match target {
            Target::Engine(e) => self.engines.send(command(self.engine_machines[e])),
            Target::Router(r) => self.routers[r].send(command(MachineId(0))),
        };
    }
    fn notify(&mut self, target: Target, message: Arc<dyn Any + Send + Sync>) {
        match target {
            Target::Engine(e) => self.engines.send(Command::Message(self.engine_machines[e], message)),
            Target::Router(r) => self.routers[r].send(Command::Message(MachineId(0), message)),
        };
    }
    fn clients_done(&self) -> bool {
        self.clients.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

/// Runs a scenario over loopback sockets, in real time. The first router listens on `listen` if given.
///
/// # Errors
/// The system has no addresses, file descriptors or threads left.
pub fn run_over_sockets(scenario: &Scenario, listen: Option<SocketAddr>) -> Result<RunResult, String> {
    let mut fleet = LiveFleet::start(scenario, listen)?;
    let ledger = fleet.ledger.clone();
    let began = fleet.clock.now();
    let start = began + STARTUP_DELAY;
    let mut event_loop = EventLoop::new(fleet.clock).map_err(|e| e.to_string())?;
    event_loop.add(AnyMachine::Clients(Box::new(clients(
        scenario,
        fleet.targets.clone(),
        ledger.clone(),
        start,
    ))));
    let handle = event_loop.handle();
    fleet.clients = Some(spawn(event_loop, "clients").map_err(|e| e.to_string())?);
    let mut runner = Runner::new(scenario, fleet.engine_addrs.clone(), ledger.clone(), start);
    let role_controller = match runner.role_controller(began, &fleet.operators) {
        None => None,
        Some(role_controller) => {
            let mut event_loop = EventLoop::new(fleet.clock).map_err(|e| e.to_string())?;
            event_loop.add(AnyMachine::RoleController(Box::new(role_controller)));
            let handle = event_loop.handle();
            Some((handle, spawn(event_loop, "conductor").map_err(|e| e.to_string())?))
        }
    };
    runner.run(&mut fleet, start);
    let took = fleet.clock.now() - began;
    let mut orders = (0, 0);
    if let Some((handle, thread)) = role_controller {
        handle.send(Command::End);
        if let Ok([AnyMachine::RoleController(c)]) = thread.join().as_deref() {
            orders = (c.orders().accepted, c.orders().rejected);
        }
    }
    handle.send(Command::End);
    let results = match fleet.clients.take().and_then(|t| t.join().ok()).as_deref() {
        Some([AnyMachine::Clients(c)]) => sorted(c.results().to_vec()),
        _ => Vec::new(),
    };
    let log = fleet.log.clone();
    let (counters, held_requests) = fleet.stop();
    let records = ledger.records();
    let log = log.lock().map(|l| l.clone()).unwrap_or_default();
    Ok(RunResult {
        orders,
        violations: judge(&records, &checker_limits(scenario)),
        results,
        records,
        counters,
        held_requests,
        log,
        digest: 0,
        inputs: 0,
        took,
    })
}
