//! A fleet with random faults from a seed, in virtual time: engines fail, are replaced under new names and
//! leave; clients send one request, keep their connection, or disconnect. Each request ends exactly once,
//! nothing is sent twice, and no state is left in the router.

use slipreel_platform::{Config, HeldState, PlatformRouter};
use slipreel_test_servers::memory::{Delays, World};
use slipreel_test_servers::platform::{
    lock_shared, Clients, Discovery, Ending, EndpointChanges, Engine, Faults, Shared,
};
use std::net::SocketAddr;
use std::time::Duration;

mod common;
use common::actor::Actor;
use common::cluster::{entry, ClusterActor, Defect, DefectiveRouter};
use common::{config, ms, DISCOVERY};

const START: Duration = Duration::from_secs(1_000);

struct Fleet {
    world: World<ClusterActor>,
    shared: Shared,
    faults: Faults,
    router: usize,
    discovery: usize,
    clients: usize,
    /// The running engines: name, whether it is a prefill engine, and the index of its actor in the world.
    running: Vec<(String, bool, usize)>,
    last_number: u16,
    seed: u64,
}

impl Fleet {
    fn new(faults: Faults, requests: u32, interval: Duration, seed: u64) -> Fleet {
        let shared = Shared::default();
        let mut world = World::new(START, Delays::default(), seed);
        let (mut running, mut entries) = (Vec::new(), Vec::new());
        for number in 1..=5u16 {
            let (name, is_prefill) = (format!("e{number}"), number <= 2);
            let engine = Engine::new(&name, is_prefill, shared.clone(), faults, seed + u64::from(number));
            let addr = SocketAddr::from(([127, 0, 0, 1], number));
            let actor = world.add(Actor::Engine(Box::new(engine)), &[addr]);
            entries.push((name.clone(), entry(&name, is_prefill, number, "Ready", Duration::ZERO)));
            running.push((name, is_prefill, actor));
        }
        let discovery = Discovery::new(&EndpointChanges(entries));
        let initial_list = discovery.whole();
        let discovery = world.add(Actor::Discovery(Box::new(discovery)), &[DISCOVERY.parse().unwrap()]);
        let config = Config::parse(&config(DISCOVERY, &initial_list, 512)).unwrap();
        let target = config.listen;
        let router = world.add(
            Actor::Router(DefectiveRouter::new(PlatformRouter::new(config, START, START), Defect::None)),
            &[target],
        );
        let clients = Clients::new(target, &["chat", "once"], interval, requests, START + ms(50), seed);
        let clients = world.add(Actor::Clients(Box::new(clients)), &[]);
        Fleet { world, shared, faults, router, discovery, clients, running, last_number: 5, seed }
    }

    fn router(&self) -> &PlatformRouter {
        match self.world.machine(self.router) {
            Actor::Router(broken) => &broken.router,
            _ => unreachable!("the actor is the router"),
        }
    }

    fn clients(&self) -> &Clients {
        match self.world.machine(self.clients) {
            Actor::Clients(clients) => clients,
            _ => unreachable!("the actor is the clients"),
        }
    }

    /// Drains and removes an engine, and adds another under a new name.
    fn replace_engine(&mut self) {
        let index = usize::from(self.last_number) % self.running.len();
        self.last_number += 1;
        let (old, is_prefill, old_actor) = self.running[index].clone();
        let name = format!("e{}", self.last_number);
        let engine = Engine::new(
            &name,
            is_prefill,
            self.shared.clone(),
            self.faults,
            self.seed + u64::from(self.last_number),
        );
        let addr = SocketAddr::from(([127, 0, 0, 1], self.last_number));
        let actor = self.world.add(Actor::Engine(Box::new(engine)), &[addr]);
        self.running[index] = (name.clone(), is_prefill, actor);
        let drained = (old.clone(), entry(&old, is_prefill, 1, "Terminating", Duration::ZERO));
        let added = (name.clone(), entry(&name, is_prefill, self.last_number, "Ready", Duration::ZERO));
        self.world.send_owner_message(self.discovery, &EndpointChanges(vec![drained, added]));
        self.run(ms(300));
        let old_name = old.clone();
        let removed = format!(r#"{{"name":"{old}","status":"Gone"}}"#);
        self.world.send_owner_message(self.discovery, &EndpointChanges(vec![(old, removed)]));
        self.run(ms(50));
        self.world.kill(old_actor);
        lock_shared(&self.shared).engine_died(&old_name);
    }

    /// Runs for a time and checks after each step that the decision module counts as many attempts in flight
    /// as there are on connections.
    fn run(&mut self, time: Duration) {
        let end = self.world.now() + time;
        while self.world.now() < end {
            let step_end = self.world.now() + ms(10);
            self.world.run_until(step_end);
            let router = self.router();
            let sockets = router.attempts_on_connections();
            for (engine, counted) in router.attempts_by_decision_module() {
                let open = sockets.get(&engine).copied().unwrap_or_default();
                assert_eq!(counted, open, "{engine:?} at {:?}", self.world.now() - START);
            }
        }
    }
}

#[test]
fn under_every_fault_each_request_ends_once_and_counts_match_the_sockets() {
    let faults = Faults {
        full: 0.05,
        error: 0.03,
        reset: 0.03,
        garble: 0.03,
        more: 0.05,
        silence: 0.01,
        ..Faults::default()
    };
    for seed in 1..=4 {
        let mut fleet = Fleet::new(faults, 1_000, ms(20), seed);
        for _ in 0..40 {
            fleet.replace_engine();
            fleet.run(ms(150));
        }
        fleet.run(ms(16_000));
        let (clients, router) = (fleet.clients(), fleet.router());
        let total: u32 = clients.endings.values().sum();
        assert_eq!(total, 1_000, "{:?}", clients.endings);
        assert_eq!(clients.odd, [""; 0], "seed {seed}: {:?}", clients.endings);
        assert!(clients.endings[&Ending::Served] > 700, "{:?}", clients.endings);
        let shared = lock_shared(&fleet.shared);
        assert_eq!(shared.broken, [""; 0], "seed {seed}");
        assert!(shared.overlapping.is_empty(), "seed {seed}: second copies {:?}", shared.overlapping);
        let held = router.held_state();
        assert_eq!(
            (held.requests, held.releases, router.decision_state_sizes().requests),
            (0, 0, 0),
            "seed {seed}: no state is left"
        );
    }
}

#[test]
fn held_state_is_released_though_prefills_break_and_clients_leave() {
    let faults = Faults { reset: 0.2, full: 0.2, ..Faults::default() };
    for seed in 11..=13 {
        let mut fleet = Fleet::new(faults, 400, ms(25), seed);
        for _ in 0..300 {
            fleet.run(ms(40));
            let pinned = lock_shared(&fleet.shared).pinned(fleet.world.now(), ms(500));
            assert_eq!(pinned, [""; 0], "seed {seed} at {:?}", fleet.world.now() - START);
        }
        assert!(fleet.router().counters().releases > 20, "too few releases to cover the case");
    }
}

#[test]
fn replacing_thousands_of_engines_leaves_no_state_behind() {
    let mut fleet = Fleet::new(Faults::default(), 6_000, ms(125), 5);
    let mut sizes = Vec::new();
    for replaced in 0..2_000 {
        fleet.replace_engine();
        if replaced % 500 == 499 {
            fleet.run(ms(1_500));
            let router = fleet.router();
            sizes.push((router.held_state(), router.decision_state_sizes(), router.table_entries()));
        }
    }
    fleet.run(ms(60_000));
    assert_eq!(fleet.clients().odd, [""; 0], "{:?}", fleet.clients().endings);
    assert_eq!(fleet.router().held_state().releases, 0, "every release is done in the end");
    for (held, decisions, table_entries) in &sizes {
        let HeldState { client_connections, engine_connections, requests, timers, releases, buffered_bytes } =
            *held;
        assert!(
            engine_connections < 60
                && requests < 20
                && releases < 10
                && client_connections < 200
                && timers < 600
                // Connections between exchanges keep up to 4 KiB each.
                && buffered_bytes < 1 << 20,
            "{sizes:?}"
        );
        assert!(decisions.engines <= 7 && decisions.timers < 300 && *table_entries < 40, "{sizes:?}");
    }
}

/// Guards against a stall timeout that any byte of an engine restarts: clients of streams that go on with
/// noise waited until they gave up themselves.
#[test]
fn endless_streams_keep_no_client_waiting() {
    let faults = Faults { endless: 0.1, reset: 0.02, ..Faults::default() };
    for seed in 21..=24 {
        let mut fleet = Fleet::new(faults, 300, ms(20), seed);
        fleet.run(ms(20_000));
        let (clients, router) = (fleet.clients(), fleet.router());
        assert_eq!(clients.odd, [""; 0], "seed {seed}: {:?}", clients.endings);
        assert_eq!(clients.endings.values().sum::<u32>(), 300, "{:?}", clients.endings);
        assert!(clients.endings[&Ending::Failed] > 10, "too few endless streams: {:?}", clients.endings);
        assert!(clients.endings[&Ending::Served] > 200, "{:?}", clients.endings);
        assert_eq!(router.held_state().requests, 0, "seed {seed}: no request is left");
        assert!(router.attempts_on_connections().is_empty(), "seed {seed}: no attempt is left");
    }
}
