//! Days of two to eight router processes among hostile engines, with signals between: no request is repeated
//! that must not be. The same engines, clients, settings and judge as in virtual time
//! (`crates/platform/tests/repeats.rs`).

mod platform;

use platform::ports::ReservedPort;
use platform::process::{start, Process};
use platform::{folder, is_ready, ms};
use slipreel_event_loop::{Clock, Command as Tell, EventLoop, EventLoopHandle, MachineId};
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

type Around = Box<dyn Machine + Send>;

const ENGINES: usize = 9;
const REQUESTS: u32 = 250;
/// From one request to the next.
const EVERY: Duration = Duration::from_millis(16);
/// Time in which processes have to be ready before requests begin.
const READY_WITHIN: Duration = Duration::from_millis(2_000);
/// The last requests have their answers by then.
const AFTERMATH: Duration = Duration::from_millis(5_000);
/// What a busy machine may add between two threads.
const WIRE: Duration = Duration::from_millis(100);

struct Router {
    process: Process,
    file: PathBuf,
    port: ReservedPort,
    agents: [SocketAddr; 2],
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

struct Day {
    seed: u64,
    settings: DaySettings,
    random: Random,
    clock: Clock,
    ledger: SharedLedger,
    engines: Vec<Engine>,
    agents: Vec<MachineId>,
    routers: Vec<Router>,
    around: (EventLoopHandle<Around>, JoinHandle<std::io::Result<()>>),
    folder: PathBuf,
}

impl Day {
    fn start(seed: u64) -> Day {
        let mut random = Random::new(seed ^ 0x5eed_0004);
        let settings = DaySettings::draw(seed);
        let (clock, ledger) = (Clock::start(), SharedLedger::default());
        let mut around: EventLoop<Around> = EventLoop::new(clock).expect("an event loop");
        let here = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            let layout = layout(n, seed, settings.has_mixed_engines);
            let node = around.add(Box::new(HostileEngine::new(layout.clone(), &ledger)));
            let address = around.listen(node, here).expect("a port");
            engines.push(Engine { node, layout, address });
        }
        let entry = |engine: &Engine| {
            let text = list_entry(&engine.layout, engine.address, "Ready", Duration::ZERO);
            (engine.layout.name.clone(), text)
        };
        let first = EndpointChanges(engines.iter().map(entry).collect());
        let known = Discovery::new(&first).whole();
        let count = 2 + random.below(7);
        let mut agents = Vec::new();
        let mut seats = Vec::new();
        for _ in 0..count {
            let addresses = [(); 2].map(|()| {
                let node = around.add(Box::new(Discovery::new(&first)));
                agents.push(node);
                around.listen(node, here).expect("a port")
            });
            seats.push((ReservedPort::new(), addresses));
        }
        let around = (around.handle(), std::thread::spawn(move || around.run()));
        let folder = folder(&format!("repeats-{seed}"));
        let routers = seats.into_iter().enumerate().map(|(n, (port, agents))| {
            let file = folder.join(format!("n{n}.json"));
            let text =
                settings.router_config(count, port.address(), agents[0], seed * 1_000 + n as u64, &known);
            std::fs::write(&file, text).expect("a file");
            Router { process: start(&file), file, port, agents, known: known.clone(), is_stopping: false }
        });
        let routers: Vec<Router> = routers.collect();
        Day { seed, settings, random, clock, ledger, engines, agents, routers, around, folder }
    }

    /// Clients ask while engines and routers are restarted; gives the breaks and how many requests were
    /// served.
    fn play(mut self) -> (Vec<Violation>, u32) {
        let begin = self.clock.now() + READY_WITHIN;
        while !self.routers.iter().all(|router| is_ready(router.port.address())) {
            assert!(self.clock.now() < begin + ms(8_000), "not ready in time");
            std::thread::sleep(ms(20));
        }
        let layout = ClientLayout {
            routers: self.routers.iter().map(|router| router.port.address()).collect(),
            classes: self.settings.classes.clone(),
            every: EVERY,
            start: self.clock.now(),
            requests: REQUESTS,
            leaving: 0.05,
            seed: self.seed * 77,
        };
        let mut asking: EventLoop<RepeatingClients> = EventLoop::new(self.clock).expect("an event loop");
        asking.add(RepeatingClients::new(layout, &self.ledger));
        let clients = asking.handle();
        let asking = std::thread::spawn(move || {
            asking.run().expect("a run of clients");
            asking.into_machines()
        });
        let end = self.clock.now() + EVERY * REQUESTS;
        while self.clock.now() < end {
            std::thread::sleep(ms(250));
            self.restart_the_stopped();
            self.change();
        }
        std::thread::sleep(AFTERMATH);
        clients.send(Tell::End);
        let served = asking.join().expect("the clients' thread").iter().map(|clients| clients.served).sum();
        self.routers.clear();
        self.around.0.send(Tell::End);
        self.around.1.join().expect("the engines' thread").expect("a run of engines");
        let _ = std::fs::remove_dir_all(&self.folder);
        let terms = Terms { second_copies: self.settings.second_copies, wire: WIRE };
        let breaks = judge(&lock_ledger(&self.ledger).facts, &terms);
        (breaks, served)
    }

    /// Something happens to an engine or a router.
    fn change(&mut self) {
        let (engine, router) = (self.random.below(ENGINES), self.random.below(self.routers.len()));
        match self.random.below(8) {
            0 => self.tell(engine, "Terminating"),
            1 | 2 => self.tell(engine, "Ready"),
            3 | 4 => self.restart_engine(engine),
            5 => self.stop(router),
            6 => self.kill(router),
            _ => self.reload(router),
        }
    }

    fn tell(&self, engine: usize, status: &str) {
        let Engine { layout, address, .. } = &self.engines[engine];
        let text = list_entry(layout, *address, status, Duration::ZERO);
        for &agent in &self.agents {
            let change = EndpointChanges(vec![(layout.name.clone(), text.clone())]);
            self.around.0.send(Tell::Message(agent, Arc::new(change)));
        }
    }

    fn restart_engine(&mut self, engine: usize) {
        let place = place_of(self.random.below(ENGINES));
        let moves = self.random.chance(0.5);
        let Engine { node, layout, .. } = &mut self.engines[engine];
        if moves {
            layout.place = place;
        }
        layout.seed += 1;
        let (node, again) = (*node, HostileEngine::new(layout.clone(), &self.ledger));
        self.around.0.send(Tell::Message(node, Arc::new(EngineKilled)));
        self.around.0.send(Tell::Kill(node));
        self.tell(engine, "Ready");
        // Who has not heard of the new place yet finds nobody.
        std::thread::sleep(ms(50));
        self.around.0.send(Tell::Revive(node, Box::new(again)));
    }

    fn stop(&mut self, router: usize) {
        let router = &mut self.routers[router];
        if !router.is_stopping {
            router.process.signal("-TERM");
            router.is_stopping = true;
        }
    }

    fn kill(&mut self, router: usize) {
        let now = self.clock.now();
        let router = &mut self.routers[router];
        lock_ledger(&self.ledger).router_killed(now, router.port.address());
        router.process.signal("-KILL");
        assert!(router.process.has_ended_within(ms(5_000)), "it goes on");
        router.restart();
    }

    /// Routers that have ended after they were told to stop start anew.
    fn restart_the_stopped(&mut self) {
        let stopped = self.routers.iter_mut().filter(|router| router.is_stopping);
        for router in stopped {
            if router.process.has_ended_within(Duration::from_millis(1)) {
                router.restart();
            }
        }
    }

    /// The file names the other agent.
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

fn layout(n: usize, seed: u64, has_mixed: bool) -> EngineLayout {
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
    let days = std::env::var("REPEAT_PROCESS_DAYS").ok().map(|text| text.parse().expect("a number of days"));
    let mut served = 0;
    for seed in 1..=days.unwrap_or(3) {
        let (breaks, served_today) = Day::start(seed).play();
        println!("seed {seed}: {served_today} served, {} breaks", breaks.len());
        assert_eq!(breaks, [], "seed {seed}");
        served += served_today;
    }
    assert!(served > 100, "too few were served to show anything");
}
