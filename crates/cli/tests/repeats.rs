//! Scenarios of two to eight router processes among faulty engines, with signals, kills and restarts in
//! between: no request may be repeated that must not be. Engines, clients, settings and checks are those of
//! the tests in virtual time (`crates/platform/tests/repeats.rs`).

mod platform;

use platform::ports::ReservedPort;
use platform::process::{start, Process};
use platform::{folder, is_ready, ms};
use slipreel_event_loop::{Clock, Command as EventLoopCommand, EventLoop, EventLoopHandle, MachineId};
use slipreel_invariants::repeats::{judge, Terms, Violation};
use slipreel_state_machine::Machine;
use slipreel_test_servers::platform::{
    list_entry, lock_ledger, place_of, ClientLayout, DaySettings, Discovery, EndpointChanges, EngineKilled,
    EngineLayout, EngineRole, HostileEngine, Random, RepeatingClients, SharedLedger, EXCHANGE_FAULTS,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// A simulated engine or discovery agent.
type Simulated = Box<dyn Machine + Send>;

const ENGINES: usize = 9;
const REQUESTS: u32 = 250;
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(16);
/// Time for processes to become ready before requests begin.
const READY_WITHIN: Duration = Duration::from_millis(2_000);
/// Time for the last requests to be answered.
const FINAL_WAIT: Duration = Duration::from_millis(5_000);
/// Delay that a busy machine may add between two threads.
const MAX_THREAD_DELAY: Duration = Duration::from_millis(100);

/// A router process and what it is started with.
struct Router {
    process: Process,
    file: PathBuf,
    port: ReservedPort,
    /// The discovery agent in use, and the one that a reload changes to.
    agents: [SocketAddr; 2],
    /// The list of engines in the configuration.
    known: String,
    is_stopping: bool,
}

impl Router {
    fn restart(&mut self) {
        self.process = start(&self.file);
        self.is_stopping = false;
    }
}

struct Engine {
    node: MachineId,
    layout: EngineLayout,
    address: SocketAddr,
}

/// One scenario: routers, engines, discovery agents, and the record of all requests.
struct Scenario {
    seed: u64,
    settings: DaySettings,
    random: Random,
    clock: Clock,
    ledger: SharedLedger,
    engines: Vec<Engine>,
    agents: Vec<MachineId>,
    routers: Vec<Router>,
    simulation: (EventLoopHandle<Simulated>, JoinHandle<std::io::Result<()>>),
    folder: PathBuf,
}

impl Scenario {
    fn start(seed: u64) -> Scenario {
        let mut random = Random::new(seed ^ 0x5eed_0004);
        let settings = DaySettings::draw(seed);
        let (clock, ledger) = (Clock::start(), SharedLedger::default());
        let mut simulation: EventLoop<Simulated> = EventLoop::new(clock).expect("an event loop");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            let layout = engine_layout(n, seed, settings.has_mixed_engines);
            let node = simulation.add(Box::new(HostileEngine::new(layout.clone(), &ledger)));
            let address = simulation.listen(node, any_port).expect("a port");
            engines.push(Engine { node, layout, address });
        }
        let entry = |engine: &Engine| {
            let text = list_entry(&engine.layout, engine.address, "Ready", Duration::ZERO);
            (engine.layout.name.clone(), text)
        };
        let initial_list = EndpointChanges(engines.iter().map(entry).collect());
        let known = Discovery::new(&initial_list).whole();
        let count = 2 + random.below(7);
        let mut agents = Vec::new();
        let mut router_addresses = Vec::new();
        for _ in 0..count {
            let addresses = [(); 2].map(|()| {
                let node = simulation.add(Box::new(Discovery::new(&initial_list)));
                agents.push(node);
                simulation.listen(node, any_port).expect("a port")
            });
            router_addresses.push((ReservedPort::new(), addresses));
        }
        let simulation = (simulation.handle(), std::thread::spawn(move || simulation.run()));
        let folder = folder(&format!("repeats-{seed}"));
        let routers = router_addresses.into_iter().enumerate().map(|(n, (port, agents))| {
            let file = folder.join(format!("n{n}.json"));
            let text =
                settings.router_config(count, port.address(), agents[0], seed * 1_000 + n as u64, &known);
            std::fs::write(&file, text).expect("a file");
            Router { process: start(&file), file, port, agents, known: known.clone(), is_stopping: false }
        });
        let routers: Vec<Router> = routers.collect();
        Scenario { seed, settings, random, clock, ledger, engines, agents, routers, simulation, folder }
    }

    /// Sends requests while engines and routers are restarted; returns the violations and how many requests
    /// were served.
    fn play(mut self) -> (Vec<Violation>, u32) {
        let begin = self.clock.now() + READY_WITHIN;
        while !self.routers.iter().all(|router| is_ready(router.port.address())) {
            assert!(self.clock.now() < begin + ms(8_000), "not ready in time");
            std::thread::sleep(ms(20));
        }
        let layout = ClientLayout {
            routers: self.routers.iter().map(|router| router.port.address()).collect(),
            classes: self.settings.classes.clone(),
            every: REQUEST_INTERVAL,
            start: self.clock.now(),
            requests: REQUESTS,
            leaving: 0.05,
            seed: self.seed * 77,
        };
        let mut client_loop: EventLoop<RepeatingClients> = EventLoop::new(self.clock).expect("an event loop");
        client_loop.add(RepeatingClients::new(layout, &self.ledger));
        let client_handle = client_loop.handle();
        let client_thread = std::thread::spawn(move || {
            client_loop.run().expect("a run of clients");
            client_loop.into_machines()
        });
        let end = self.clock.now() + REQUEST_INTERVAL * REQUESTS;
        while self.clock.now() < end {
            std::thread::sleep(ms(250));
            self.restart_stopped_routers();
            self.random_event();
        }
        std::thread::sleep(FINAL_WAIT);
        client_handle.send(EventLoopCommand::End);
        let served =
            client_thread.join().expect("the clients' thread").iter().map(|clients| clients.served).sum();
        self.routers.clear();
        self.simulation.0.send(EventLoopCommand::End);
        self.simulation.1.join().expect("the engines' thread").expect("a run of engines");
        let _ = std::fs::remove_dir_all(&self.folder);
        let terms = Terms { second_copies: self.settings.second_copies, wire: MAX_THREAD_DELAY };
        let violations = judge(&lock_ledger(&self.ledger).facts, &terms);
        (violations, served)
    }

    /// A random change of the list, a restart or a signal.
    fn random_event(&mut self) {
        let (engine, router) = (self.random.below(ENGINES), self.random.below(self.routers.len()));
        match self.random.below(8) {
            0 => self.list_engine(engine, "Terminating"),
            1 | 2 => self.list_engine(engine, "Ready"),
            3 | 4 => self.restart_engine(engine),
            5 => self.stop(router),
            6 => self.kill(router),
            _ => self.reload(router),
        }
    }

    /// Tells all agents that an engine has this status.
    fn list_engine(&self, engine: usize, status: &str) {
        let Engine { layout, address, .. } = &self.engines[engine];
        let text = list_entry(layout, *address, status, Duration::ZERO);
        for &agent in &self.agents {
            let change = EndpointChanges(vec![(layout.name.clone(), text.clone())]);
            self.simulation.0.send(EventLoopCommand::Message(agent, Arc::new(change)));
        }
    }

    /// Restarts an engine, half of the time in another place.
    fn restart_engine(&mut self, engine: usize) {
        let place = place_of(self.random.below(ENGINES));
        let changes_place = self.random.chance(0.5);
        let Engine { node, layout, .. } = &mut self.engines[engine];
        if changes_place {
            layout.place = place;
        }
        layout.seed += 1;
        let (node, new_engine) = (*node, HostileEngine::new(layout.clone(), &self.ledger));
        self.simulation.0.send(EventLoopCommand::Message(node, Arc::new(EngineKilled)));
        self.simulation.0.send(EventLoopCommand::Kill(node));
        self.list_engine(engine, "Ready");
        // Routers that don't know the new place yet find no engine at the address.
        std::thread::sleep(ms(50));
        self.simulation.0.send(EventLoopCommand::Revive(node, Box::new(new_engine)));
    }

    /// SIGTERM, unless the router is stopping already.
    fn stop(&mut self, router: usize) {
        let router = &mut self.routers[router];
        if !router.is_stopping {
            router.process.signal("-TERM");
            router.is_stopping = true;
        }
    }

    /// SIGKILL, and a restart at once.
    fn kill(&mut self, router: usize) {
        let now = self.clock.now();
        let router = &mut self.routers[router];
        lock_ledger(&self.ledger).router_killed(now, router.port.address());
        router.process.signal("-KILL");
        assert!(router.process.has_ended_within(ms(5_000)), "the process still runs");
        router.restart();
    }

    /// Restarts routers that have ended after SIGTERM.
    fn restart_stopped_routers(&mut self) {
        let stopped = self.routers.iter_mut().filter(|router| router.is_stopping);
        for router in stopped {
            if router.process.has_ended_within(Duration::from_millis(1)) {
                router.restart();
            }
        }
    }

    /// Reloads a router with a configuration that names its other discovery agent.
    fn reload(&mut self, router: usize) {
        let (count, seed) = (self.routers.len(), self.seed * 1_000);
        let router = &mut self.routers[router];
        if router.is_stopping {
            return;
        }
        router.agents.swap(0, 1);
        let discovery = router.agents[0];
        let text = self.settings.router_config(count, router.port.address(), discovery, seed, &router.known);
        std::fs::write(&router.file, text).expect("a file");
        router.process.signal("-HUP");
    }
}

fn engine_layout(n: usize, seed: u64, has_mixed: bool) -> EngineLayout {
    let role = match n % 3 {
        _ if has_mixed && n >= 6 => EngineRole::Mixed,
        0 => EngineRole::Prefill,
        _ => EngineRole::Decode,
    };
    EngineLayout {
        name: format!("e{n}"),
        role,
        place: place_of(n),
        faults: EXCHANGE_FAULTS.to_vec(),
        fault_share: 0.35,
        stray_most_ms: 60,
        seed: seed * 31 + n as u64,
    }
}

#[test]
fn processes_repeat_nothing_that_must_not_be_repeated() {
    let scenarios =
        std::env::var("REPEAT_PROCESS_DAYS").ok().map(|text| text.parse().expect("a number of scenarios"));
    let mut served = 0;
    for seed in 1..=scenarios.unwrap_or(3) {
        let (violations, served_in_scenario) = Scenario::start(seed).play();
        println!("seed {seed}: {served_in_scenario} served, {} violations", violations.len());
        assert_eq!(violations, [], "seed {seed}");
        served += served_in_scenario;
    }
    assert!(served > 100, "too few were served to show anything");
}
