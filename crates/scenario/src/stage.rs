//! The director: carries out a day's acts at their times on either driver, keeps the list of engines, ends the day.

use crate::actor::{Actor, Sabotaged};
use crate::fleet::Scenario;
use crate::report::{checker_limits, Report};
use crate::trouble::Act;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::{CellId, EngineState, ZoneId};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::settings::EngineSettings;
use slipreel_gateway::{engine_id, Counters, Gateway};
use slipreel_invariants::{judge, Record, Seen, Violation};
use slipreel_roles::{
    ChangeCosts, ControllerConfig, ControllerMode, EngineThroughput, FullLoadRequests, PlannerLimits,
    RoleController, Watched,
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

/// The clock of a run begins here, in memory as over sockets.
const START: Duration = Duration::from_secs(1 << 20);
/// Wall time at the clock's beginning; any will do, as only differences count.
const WALL: Duration = Duration::from_secs(1_700_000_000);
/// Between the start of the machines and the first request.
const LEAD: Duration = Duration::from_millis(500);
/// After the last arrival all has to be over within this time.
const TAIL: Duration = Duration::from_secs(120);
/// Steps in which the end of a day is awaited.
const STEP: Duration = Duration::from_millis(50);

/// What a day left behind.
pub struct RunResult {
    /// How every try ended, by request and try.
    pub results: Vec<AttemptResult>,
    /// What clients and engines saw.
    pub records: Vec<Record>,
    /// The rules that broke.
    pub violations: Vec<Violation>,
    /// What the routers counted, those that were still up.
    pub tallies: Vec<Counters>,
    /// What the routers still held at the end: requests under way and timers of these. Anything is a leak.
    pub held_requests: usize,
    /// Changes of role that engines took and turned away.
    pub orders: (usize, usize),
    /// Lines that the machines wrote.
    pub log: Vec<String>,
    /// In memory: a hash over every byte, when and to whom. The same for the same day.
    pub digest: u64,
    /// In memory: inputs that machines were given.
    pub inputs: u64,
    /// Length of the run on its own clock.
    pub took: Duration,
}

impl RunResult {
    /// Counts by class and tenant.
    pub fn report(&self) -> Report {
        Report::of(self)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Who {
    Router(usize),
    Engine(usize),
}

/// What the director needs of a driver.
trait Stage {
    fn now(&self) -> Duration;
    fn until(&mut self, at: Duration);
    fn kill(&mut self, who: Who);
    fn revive(&mut self, who: Who, actor: Actor);
    fn freeze(&mut self, who: Who, frozen: bool);
    fn news(&mut self, who: Who, news: Arc<dyn Any + Send + Sync>);
    fn clients_done(&self) -> bool;
}

enum Step {
    Act(Act),
    /// The list as it was a while ago reaches the routers.
    List(Vec<EngineSettings>),
}

struct Director<'a> {
    day: &'a Scenario,
    addrs: Vec<SocketAddr>,
    ledger: Ledger,
    steps: BTreeMap<(Duration, u64), Step>,
    seq: u64,
    alive: Vec<bool>,
    draining: Vec<bool>,
    /// The role that the list gives each engine.
    roles: Vec<Role>,
    routers_up: Vec<bool>,
    /// What each router was last told.
    told: Vec<Vec<EngineSettings>>,
    cut: Option<String>,
    lives: u64,
}

impl<'a> Director<'a> {
    fn new(day: &'a Scenario, addrs: Vec<SocketAddr>, ledger: Ledger, start: Duration) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(day.seed ^ 0x7_0b1e);
        let n = day.engines.len();
        let mut director = Director {
            day,
            addrs,
            ledger,
            steps: BTreeMap::new(),
            seq: 0,
            alive: vec![true; n],
            draining: vec![false; n],
            roles: day.engines.iter().map(|e| e.spec.role).collect(),
            routers_up: vec![true; day.routers],
            told: Vec::new(),
            cut: None,
            lives: 0,
        };
        director.told = vec![director.list(); day.routers];
        for trouble in &day.troubles {
            for (at, act) in trouble.acts(day, &mut rng) {
                director.step(start + at, Step::Act(act));
            }
        }
        director
    }

    fn step(&mut self, at: Duration, step: Step) {
        self.seq += 1;
        self.steps.insert((at, self.seq), step);
    }

    /// The list as it is now: who is dead has left it.
    fn list(&self) -> Vec<EngineSettings> {
        let entry = |e: usize| {
            let state = if self.draining[e] { EngineState::Draining } else { EngineState::Ready };
            let mut site = self.day.engines[e].listed(state);
            (site.addr, site.role) = (self.addrs[e], self.roles[e].into());
            site
        };
        (0..self.alive.len()).filter(|&e| self.alive[e]).map(entry).collect()
    }

    /// A conductor over all engines, if the day has one.
    fn conductor(&self, now: Duration, routers: &[SocketAddr]) -> Option<RoleController> {
        let policy = self.day.roles?;
        let mut cells: Vec<&String> = self.day.engines.iter().map(|e| &e.cell).collect();
        cells.sort_unstable();
        cells.dedup();
        let mut zones: Vec<&String> = self.day.engines.iter().map(|e| &e.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let number = |all: &[&String], name: &String| all.iter().position(|n| *n == name).unwrap_or(0) as u32;
        let watched = |(e, addr): (&crate::fleet::EnginePlan, &SocketAddr)| Watched {
            id: engine_id(*addr),
            addr: *addr,
            cell: CellId(number(&cells, &e.cell)),
            zone: ZoneId(number(&zones, &e.zone)),
        };
        let engines: Vec<Watched> = self.day.engines.iter().zip(&self.addrs).map(watched).collect();
        let spec = |role| self.day.engines.iter().map(|e| &e.spec).find(|s| s.role == role);
        let (reader, writer) = (spec(Role::Prefill), spec(Role::Decode));
        let places = FullLoadRequests {
            prefill: reader.map_or(1.0, |s| s.slots as f64),
            decode: writer.map_or(1.0, |s| s.slots as f64),
        };
        let first = &self.day.engines.first()?.spec;
        let costs = ChangeCosts {
            drain: Duration::from_secs(2),
            slow_start: first.cold_time,
            slow_start_speed: first.cold_share,
            prefill_tokens_per_s: reader.map_or(1.0, |s| s.prefill_tokens_per_s),
        };
        let limits = PlannerLimits {
            max_concurrent_changes: 2,
            min_prefill_per_cell: 1,
            min_decode_per_cell: 1,
            min_per_zone: 1,
            min_time_in_role: first.cold_time,
            frozen: false,
        };
        let speeds = EngineThroughput {
            prefill: reader.map_or(1.0, |s| s.prefill_tokens_per_s),
            decode: writer.map_or(1.0, slipreel_test_servers::engine::EngineSpec::decode_tokens_per_s),
        };
        let config = ControllerConfig {
            limits,
            costs,
            policy,
            full_load_requests: places,
            mode: ControllerMode::Apply,
        };
        let conductor = RoleController::new(engines, config, now);
        Some(conductor.with_routers(routers.to_vec(), speeds))
    }

    /// The list follows what the engines tell of their roles.
    fn follow_roles(&mut self, now: Duration) {
        let mut changed = false;
        for e in 0..self.roles.len() {
            let Some((role, serving)) = self.ledger.role(&self.day.engines[e].spec.name) else { continue };
            changed |= (self.roles[e], self.draining[e]) != (role, !serving);
            (self.roles[e], self.draining[e]) = (role, !serving);
        }
        if changed {
            self.list_changes(now);
        }
    }

    fn engine(&self, e: usize, now: Duration, warm: bool) -> Actor {
        let mut spec = self.day.engines[e].spec.clone();
        // One that comes back after a change comes back in the role that the list has.
        (spec.addr, spec.role) = (self.addrs[e], self.roles[e]);
        let make = if warm { Engine::warm } else { Engine::new };
        Actor::Engine(Box::new(PartitionedMachine::new(make(spec, self.ledger.clone(), now, WALL + now))))
    }

    fn router(&mut self, r: usize, now: Duration) -> Actor {
        let mut site = self.day.router_settings(r, &self.addrs);
        site.engines = self.told[r].clone();
        self.lives += 1;
        let seed = self.day.seed.wrapping_mul(0x9e37_79b9).wrapping_add(r as u64 + 1000 * self.lives);
        let front = Gateway::new(Arc::new(site), seed, now, WALL + now);
        let gate = PartitionedMachine::new(front).watched(self.ledger.clone());
        match self.day.sabotage {
            None => Actor::Front(Box::new(gate)),
            Some(how) => Actor::Sabotaged(Box::new(Sabotaged::new(gate, how))),
        }
    }

    /// Plays the day out.
    fn run(&mut self, stage: &mut impl Stage, start: Duration) {
        let end = start + self.day.length;
        loop {
            let next = self.steps.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = next else { break };
            if self.day.roles.is_some() && stage.now() + STEP < at {
                self.follow(stage, stage.now() + STEP);
                continue;
            }
            stage.until(at);
            if let Some((_, step)) = self.steps.pop_first() {
                self.take(stage, step);
            }
        }
        while self.day.roles.is_some() && stage.now() < end {
            self.follow(stage, stage.now() + STEP);
        }
        stage.until(end);
        while !stage.clients_done() && stage.now() < end + TAIL {
            let next = stage.now() + STEP;
            self.follow(stage, next);
        }
        // State that nobody took has to be let go of: what the rules allow, and a little.
        let last = stage.now() + self.day.settings.decisions.held_state_limit * 4;
        stage.until(last);
        self.ledger.note(stage.now(), Seen::RunOver);
    }

    /// Lets a little time pass and keeps the list by what engines tell.
    fn follow(&mut self, stage: &mut impl Stage, until: Duration) {
        stage.until(until);
        if self.day.roles.is_some() {
            self.follow_roles(stage.now());
        }
        while self.steps.first_key_value().is_some_and(|((at, _), _)| *at <= stage.now()) {
            if let Some((_, step)) = self.steps.pop_first() {
                self.take(stage, step);
            }
        }
    }

    fn take(&mut self, stage: &mut impl Stage, step: Step) {
        match step {
            Step::Act(act) => self.act(stage, act),
            Step::List(list) => self.tell(stage, &list),
        }
    }

    fn act(&mut self, stage: &mut impl Stage, act: Act) {
        let now = stage.now();
        match act {
            Act::Fault(e, fault) => stage.news(Who::Engine(e), Arc::new(fault)),
            Act::KillEngine(e) => {
                stage.kill(Who::Engine(e));
                self.ledger.note(now, Seen::EngineDied(self.day.engines[e].spec.name.clone()));
                self.alive[e] = false;
                self.list_changes(now);
            }
            Act::ReviveEngine(e) => {
                let actor = self.engine(e, now, false);
                stage.revive(Who::Engine(e), actor);
                self.alive[e] = true;
                self.list_changes(now);
                self.cut_links(stage);
            }
            Act::FreezeEngine(e, frozen) => stage.freeze(Who::Engine(e), frozen),
            Act::KillRouter(r) => {
                stage.kill(Who::Router(r));
                self.routers_up[r] = false;
                self.ledger.note(now, Seen::RouterDied(Scenario::router_name(r)));
            }
            Act::ReviveRouter(r) => {
                let actor = self.router(r, now);
                stage.revive(Who::Router(r), actor);
                self.routers_up[r] = true;
                let list = self.list();
                self.step(now + self.day.notice, Step::List(list));
                self.cut_links(stage);
            }
            Act::Cut(zone) => {
                self.cut = zone;
                self.cut_links(stage);
            }
            Act::ChangeRole(e) => {
                let to = if self.roles[e] == Role::Prefill { Role::Decode } else { Role::Prefill };
                stage.news(Who::Engine(e), Arc::new(to));
            }
            Act::ListRole(e) => {
                self.roles[e] = if self.roles[e] == Role::Prefill { Role::Decode } else { Role::Prefill };
                self.list_changes(now);
            }
            Act::CutLink(e, to) => {
                let cut: BTreeSet<SocketAddr> = to.map(|to| self.addrs[to]).into_iter().collect();
                stage.news(Who::Engine(e), Arc::new(UnreachablePeers(cut)));
            }
            Act::ListDraining(e, draining) => {
                self.draining[e] = draining;
                self.list_changes(now);
            }
        }
    }

    fn list_changes(&mut self, now: Duration) {
        let list = self.list();
        self.step(now + self.day.notice, Step::List(list));
    }

    fn tell(&mut self, stage: &mut impl Stage, list: &[EngineSettings]) {
        let takes = |list: &[EngineSettings], e: &EngineSettings| {
            list.iter().any(|l| l.addr == e.addr && l.state == EngineState::Ready)
        };
        for r in (0..self.day.routers).filter(|&r| self.routers_up[r]).collect::<Vec<_>>() {
            let before = std::mem::replace(&mut self.told[r], list.to_vec());
            let now = stage.now();
            for e in before.iter().chain(list) {
                let (was, is) = (takes(&before, e), takes(list, e));
                if was != is {
                    let (router, engine) = (Scenario::router_name(r), e.name.clone());
                    self.ledger.note(now, Seen::RouterNotified { router, engine, closed: !is });
                }
            }
            stage.news(Who::Router(r), Arc::new(list.to_vec()));
        }
    }

    /// Tells each machine what it can't reach now.
    fn cut_links(&self, stage: &mut impl Stage) {
        let beyond = |zone: &str| -> UnreachablePeers {
            let Some(cut) = &self.cut else { return UnreachablePeers::default() };
            let far = |e: &usize| (self.day.engines[*e].zone == *cut) != (zone == cut);
            UnreachablePeers(
                (0..self.addrs.len()).filter(far).map(|e| self.addrs[e]).collect::<BTreeSet<_>>(),
            )
        };
        let now = stage.now();
        for r in (0..self.day.routers).filter(|&r| self.routers_up[r]) {
            let cut = beyond(&self.day.router_zone(r));
            for (e, addr) in self.addrs.iter().enumerate() {
                let (router, engine) = (Scenario::router_name(r), self.day.engines[e].spec.name.clone());
                self.ledger.note(now, Seen::LinkCut { router, engine, cut: cut.0.contains(addr) });
            }
            stage.news(Who::Router(r), Arc::new(cut));
        }
        for e in (0..self.addrs.len()).filter(|&e| self.alive[e]) {
            stage.news(Who::Engine(e), Arc::new(beyond(&self.day.engines[e].zone)));
        }
    }
}

fn clients(day: &Scenario, targets: Vec<SocketAddr>, ledger: Ledger, start: Duration) -> Clients {
    let mut plans = day.requests.clone();
    plans.iter_mut().for_each(|p| p.at += start);
    Clients::new(plans, targets, ledger, true)
}

fn sorted(mut results: Vec<AttemptResult>) -> Vec<AttemptResult> {
    results.sort_by_key(|r| r.attempt);
    results
}

fn held_by(actor: &Actor) -> Option<(Counters, usize)> {
    match actor {
        Actor::Front(gate) => {
            let requests = gate.inner().held_state().requests;
            Some((gate.inner().counters(), requests))
        }
        _ => None,
    }
}

// ---- In memory ------------------------------------------------------------------------------------

struct InMemory {
    world: World<Actor>,
    engines: usize,
    clients: usize,
}

impl InMemory {
    fn node(&self, who: Who) -> usize {
        match who {
            Who::Engine(e) => e,
            Who::Router(r) => self.engines + r,
        }
    }
}

impl Stage for InMemory {
    fn now(&self) -> Duration {
        self.world.now()
    }
    fn until(&mut self, at: Duration) {
        self.world.run_until(at);
    }
    fn kill(&mut self, who: Who) {
        self.world.kill(self.node(who));
    }
    fn revive(&mut self, who: Who, actor: Actor) {
        self.world.revive(self.node(who), actor);
    }
    fn freeze(&mut self, who: Who, frozen: bool) {
        self.world.freeze(self.node(who), frozen);
    }
    fn news(&mut self, who: Who, news: Arc<dyn Any + Send + Sync>) {
        self.world.send_owner_message(self.node(who), &*news);
    }
    fn clients_done(&self) -> bool {
        match self.world.machine(self.clients) {
            Actor::Clients(c) => c.left() == 0,
            _ => true,
        }
    }
}

/// Plays a day in memory, in virtual time. The same day gives the same bytes.
pub fn run_in_memory(day: &Scenario) -> RunResult {
    let ledger = Ledger::default();
    let addr = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let addrs: Vec<SocketAddr> = (0..day.engines.len()).map(|e| addr(20_000 + e)).collect();
    let targets: Vec<SocketAddr> = (0..day.routers).map(|r| addr(10_000 + r)).collect();
    let start = START + LEAD;
    let mut director = Director::new(day, addrs.clone(), ledger.clone(), start);
    let mut world = World::new(START, Delays::default(), day.seed);
    for (e, addr) in addrs.iter().enumerate() {
        world.add(director.engine(e, START, true), &[*addr]);
    }
    let operators: Vec<SocketAddr> = (0..day.routers).map(|r| addr(15_000 + r)).collect();
    for (r, addr) in targets.iter().enumerate() {
        world.add(director.router(r, START), &[*addr, operators[r]]);
    }
    let clients =
        world.add(Actor::Clients(Box::new(clients(day, targets.clone(), ledger.clone(), start))), &[]);
    let conductor =
        director.conductor(START, &operators).map(|c| world.add(Actor::Conductor(Box::new(c)), &[]));
    let mut stage = InMemory { world, engines: addrs.len(), clients };
    director.run(&mut stage, start);
    let world = stage.world;
    let results = match world.machine(clients) {
        Actor::Clients(c) => sorted(c.results().to_vec()),
        _ => Vec::new(),
    };
    let held: Vec<(Counters, usize)> =
        (0..day.routers).filter_map(|r| held_by(world.machine(addrs.len() + r))).collect();
    let records = ledger.records();
    let orders = match conductor.map(|c| world.machine(c)) {
        Some(Actor::Conductor(c)) => (c.orders().accepted, c.orders().rejected),
        _ => (0, 0),
    };
    RunResult {
        orders,
        violations: judge(&records, &checker_limits(day)),
        results,
        records,
        tallies: held.iter().map(|h| h.0).collect(),
        held_requests: held.iter().map(|h| h.1).sum(),
        log: world.log().iter().map(|(at, node, line)| format!("{at:?} {node}: {line}")).collect(),
        digest: world.digest(),
        inputs: world.inputs_handled(),
        took: world.now() - START,
    }
}

// ---- Over sockets -----------------------------------------------------------------------------------

/// A fleet over loopback sockets: engines on one thread, each router on its own.
pub struct LiveFleet {
    clock: Clock,
    engines: EventLoopHandle<Actor>,
    engine_nodes: Vec<MachineId>,
    routers: Vec<EventLoopHandle<Actor>>,
    threads: Vec<JoinHandle<Vec<Actor>>>,
    clients: Option<JoinHandle<Vec<Actor>>>,
    log: Arc<std::sync::Mutex<Vec<String>>>,
    /// Where clients connect.
    pub targets: Vec<SocketAddr>,
    /// Where each router publishes its metrics.
    pub operators: Vec<SocketAddr>,
    /// The engines' addresses, in the order of the day.
    pub engine_addrs: Vec<SocketAddr>,
    ledger: Ledger,
}

fn spawn(mut looped: EventLoop<Actor>, name: &str) -> std::io::Result<JoinHandle<Vec<Actor>>> {
    std::thread::Builder::new().name(name.into()).spawn(move || {
        // An error of epoll itself ends the thread, and its machines count as stopped.
        let _ = looped.run();
        looped.into_machines()
    })
}

impl LiveFleet {
    /// Starts engines and routers of a day; `listen` for the first router, the others get free ports.
    ///
    /// # Errors
    /// An address can't be listened on, or the system has no descriptors or threads left.
    pub fn start(day: &Scenario, listen: Option<SocketAddr>) -> Result<LiveFleet, String> {
        let clock = Clock::start();
        let now = clock.now();
        let ledger = Ledger::default();
        let log = Arc::new(std::sync::Mutex::new(Vec::new()));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let text = |e: std::io::Error| e.to_string();
        let new_loop = || -> Result<EventLoop<Actor>, String> {
            let mut looped = EventLoop::new(clock).map_err(text)?;
            let log = log.clone();
            looped.on_log(move |node, line| {
                if let Ok(mut log) = log.lock() {
                    log.push(format!("{node:?}: {line}"));
                }
            });
            Ok(looped)
        };
        let mut engines = new_loop()?;
        let (mut engine_nodes, mut addrs) = (Vec::new(), Vec::new());
        for _ in &day.engines {
            let node = engines.add(Actor::Idle);
            addrs.push(engines.listen(node, any).map_err(|e| e.to_string())?);
            engine_nodes.push(node);
        }
        let mut director = Director::new(day, addrs.clone(), ledger.clone(), now);
        for (e, node) in engine_nodes.iter().enumerate() {
            *engines.machine_mut(*node) = director.engine(e, now, true);
        }
        let (mut routers, mut threads) = (Vec::new(), Vec::new());
        let (mut targets, mut operators) = (Vec::new(), Vec::new());
        let engines_handle = engines.handle();
        threads.push(spawn(engines, "engines").map_err(text)?);
        for r in 0..day.routers {
            let mut looped = new_loop()?;
            let node = looped.add(director.router(r, now));
            let addr = listen.filter(|_| r == 0).unwrap_or(any);
            targets.push(looped.listen(node, addr).map_err(|e| e.to_string())?);
            operators.push(looped.listen(node, any).map_err(|e| e.to_string())?);
            routers.push(looped.handle());
            threads.push(spawn(looped, "router").map_err(text)?);
        }
        Ok(LiveFleet {
            clock,
            engines: engines_handle,
            engine_nodes,
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

    /// Tells all routers to stop in good order, waits until they have, and ends the engines.
    pub fn stop(self) -> (Vec<Counters>, usize) {
        for router in &self.routers {
            router.send(Command::Stop(MachineId(0)));
        }
        let mut threads = self.threads.into_iter();
        let engines = threads.next();
        let actors: Vec<Actor> = threads.filter_map(|t| t.join().ok()).flatten().collect();
        self.engines.send(Command::End);
        if let Some(engines) = engines {
            let _ = engines.join();
        }
        let held: Vec<(Counters, usize)> = actors.iter().filter_map(held_by).collect();
        (held.iter().map(|h| h.0).collect(), held.iter().map(|h| h.1).sum())
    }
}

impl Stage for LiveFleet {
    fn now(&self) -> Duration {
        self.clock.now()
    }
    fn until(&mut self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.clock.now()));
    }
    fn kill(&mut self, who: Who) {
        match who {
            Who::Engine(e) => self.engines.send(Command::Kill(self.engine_nodes[e])),
            Who::Router(r) => self.routers[r].send(Command::Kill(MachineId(0))),
        };
    }
    fn revive(&mut self, who: Who, actor: Actor) {
        match who {
            Who::Engine(e) => self.engines.send(Command::Revive(self.engine_nodes[e], actor)),
            Who::Router(r) => self.routers[r].send(Command::Revive(MachineId(0), actor)),
        };
    }
    fn freeze(&mut self, who: Who, frozen: bool) {
        let command = |node| if frozen { Command::Freeze(node) } else { Command::Thaw(node) };
        match who {
            Who::Engine(e) => self.engines.send(command(self.engine_nodes[e])),
            Who::Router(r) => self.routers[r].send(command(MachineId(0))),
        };
    }
    fn news(&mut self, who: Who, news: Arc<dyn Any + Send + Sync>) {
        match who {
            Who::Engine(e) => self.engines.send(Command::Message(self.engine_nodes[e], news)),
            Who::Router(r) => self.routers[r].send(Command::Message(MachineId(0), news)),
        };
    }
    fn clients_done(&self) -> bool {
        self.clients.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

/// Plays a day over loopback sockets, in real time.
///
/// # Errors
/// The system has no addresses, descriptors or threads left.
pub fn run_over_sockets(day: &Scenario, listen: Option<SocketAddr>) -> Result<RunResult, String> {
    let mut fleet = LiveFleet::start(day, listen)?;
    let ledger = fleet.ledger.clone();
    let began = fleet.clock.now();
    let start = began + LEAD;
    let mut looped = EventLoop::new(fleet.clock).map_err(|e| e.to_string())?;
    looped.add(Actor::Clients(Box::new(clients(day, fleet.targets.clone(), ledger.clone(), start))));
    let handle = looped.handle();
    fleet.clients = Some(spawn(looped, "clients").map_err(|e| e.to_string())?);
    let mut director = Director::new(day, fleet.engine_addrs.clone(), ledger.clone(), start);
    let conductor = match director.conductor(began, &fleet.operators) {
        None => None,
        Some(conductor) => {
            let mut looped = EventLoop::new(fleet.clock).map_err(|e| e.to_string())?;
            looped.add(Actor::Conductor(Box::new(conductor)));
            let handle = looped.handle();
            Some((handle, spawn(looped, "conductor").map_err(|e| e.to_string())?))
        }
    };
    director.run(&mut fleet, start);
    let took = fleet.clock.now() - began;
    let mut orders = (0, 0);
    if let Some((handle, thread)) = conductor {
        handle.send(Command::End);
        if let Ok([Actor::Conductor(c)]) = thread.join().as_deref() {
            orders = (c.orders().accepted, c.orders().rejected);
        }
    }
    handle.send(Command::End);
    let results = match fleet.clients.take().and_then(|t| t.join().ok()).as_deref() {
        Some([Actor::Clients(c)]) => sorted(c.results().to_vec()),
        _ => Vec::new(),
    };
    let log = fleet.log.clone();
    let (tallies, leaks) = fleet.stop();
    let records = ledger.records();
    let log = log.lock().map(|l| l.clone()).unwrap_or_default();
    Ok(RunResult {
        orders,
        violations: judge(&records, &checker_limits(day)),
        results,
        records,
        tallies,
        held_requests: leaks,
        log,
        digest: 0,
        inputs: 0,
        took,
    })
}
