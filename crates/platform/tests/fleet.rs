//! A seeded fleet in virtual time: engines fail, are replaced under new names and leave; clients send one request, stay, or
//! disconnect. Every request ends once, nothing is sent twice, and the router is left without state.

use slipreel_platform::{Config, HeldState, PlatformRouter};
use slipreel_test_servers::memory::{Delays, World};
use slipreel_test_servers::platform::{
    lock_shared, Clients, Discovery, Ending, EndpointChanges, Engine, Faults, Shared,
};
use std::net::SocketAddr;
use std::time::Duration;

mod common;
use common::actor::Actor;
use common::cluster::{entry, BrokenRouter, ClusterActor, Variant};
use common::{config, ms, DISCOVERY};

const START: Duration = Duration::from_secs(1_000);

struct Fleet {
    world: World<ClusterActor>,
    shared: Shared,
    faults: Faults,
    router: usize,
    discovery: usize,
    clients: usize,
    /// The running engines: name, whether it prefills, number in the world.
    running: Vec<(String, bool, usize)>,
    last_number: u16,
    seed: u64,
}

impl Fleet {
    fn new(faults: Faults, requests: u32, every: Duration, seed: u64) -> Fleet {
        let shared = Shared::default();
        let mut world = World::new(START, Delays::default(), seed);
        let (mut running, mut first) = (Vec::new(), Vec::new());
        for born in 1..=5u16 {
            let (name, reads) = (format!("e{born}"), born <= 2);
            let engine = Engine::new(&name, reads, shared.clone(), faults, seed + u64::from(born));
            let addr = SocketAddr::from(([127, 0, 0, 1], born));
            let at = world.add(Actor::Engine(Box::new(engine)), &[addr]);
            first.push((name.clone(), entry(&name, reads, born, "Ready", Duration::ZERO)));
            running.push((name, reads, at));
        }
        let discovery = Discovery::new(&EndpointChanges(first));
        let known = discovery.whole();
        let discovery = world.add(Actor::Discovery(Box::new(discovery)), &[DISCOVERY.parse().unwrap()]);
        let config = Config::parse(&config(DISCOVERY, &known, 512)).unwrap();
        let target = config.listen;
        let router = world.add(
            Actor::Router(BrokenRouter::new(PlatformRouter::new(config, START, START), Variant::None)),
            &[target],
        );
        let clients = Clients::new(target, &["chat", "once"], every, requests, START + ms(50), seed);
        let clients = world.add(Actor::Clients(Box::new(clients)), &[]);
        Fleet { world, shared, faults, router, discovery, clients, running, last_number: 5, seed }
    }

    fn router(&self) -> &PlatformRouter {
        match self.world.machine(self.router) {
            Actor::Router(broken) => &broken.router,
            _ => unreachable!("the router's place"),
        }
    }

    fn clients(&self) -> &Clients {
        match self.world.machine(self.clients) {
            Actor::Clients(clients) => clients,
            _ => unreachable!("the clients' place"),
        }
    }

    /// An engine drains and leaves, and another takes its place under a new name.
    fn replace(&mut self) {
        let at = usize::from(self.last_number) % self.running.len();
        self.last_number += 1;
        let (old, reads, gone) = self.running[at].clone();
        let name = format!("e{}", self.last_number);
        let engine = Engine::new(
            &name,
            reads,
            self.shared.clone(),
            self.faults,
            self.seed + u64::from(self.last_number),
        );
        let addr = SocketAddr::from(([127, 0, 0, 1], self.last_number));
        let number = self.world.add(Actor::Engine(Box::new(engine)), &[addr]);
        self.running[at] = (name.clone(), reads, number);
        let drains = (old.clone(), entry(&old, reads, 1, "Terminating", Duration::ZERO));
        let joins = (name.clone(), entry(&name, reads, self.last_number, "Ready", Duration::ZERO));
        self.world.send_owner_message(self.discovery, &EndpointChanges(vec![drains, joins]));
        self.run(ms(300));
        let left = old.clone();
        let leaves = format!(r#"{{"name":"{old}","status":"Gone"}}"#);
        self.world.send_owner_message(self.discovery, &EndpointChanges(vec![(old, leaves)]));
        self.run(ms(50));
        self.world.kill(gone);
        lock_shared(&self.shared).engine_died(&left);
    }

    /// Runs, and checks in steps that the decision module counts as many attempts in flight as the sockets carry.
    fn run(&mut self, time: Duration) {
        let end = self.world.now() + time;
        while self.world.now() < end {
            let until = self.world.now() + ms(10);
            self.world.run_until(until);
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
            fleet.replace();
            fleet.run(ms(150));
        }
        fleet.run(ms(16_000));
        let (clients, router) = (fleet.clients(), fleet.router());
        let total: u32 = clients.endings.values().sum();
        assert_eq!(total, 1_000, "{:?}", clients.endings);
        assert_eq!(clients.odd, [""; 0], "seed {seed}: {:?}", clients.endings);
        assert!(clients.endings[&Ending::Served] > 700, "{:?}", clients.endings);
        let fabric = lock_shared(&fleet.shared);
        assert_eq!(fabric.broken, [""; 0], "seed {seed}");
        assert!(fabric.overlapping.is_empty(), "seed {seed}: second copies {:?}", fabric.overlapping);
        let held = router.held_state();
        assert_eq!(
            (held.requests, held.releases, router.decision_state_sizes().requests),
            (0, 0, 0),
            "seed {seed}: nothing is left"
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
        assert!(fleet.router().counters().releases > 20, "the case came up");
    }
}

#[test]
fn replacing_thousands_of_engines_leaves_no_state_behind() {
    let mut fleet = Fleet::new(Faults::default(), 6_000, ms(125), 5);
    let mut sizes = Vec::new();
    for replaced in 0..2_000 {
        fleet.replace();
        if replaced % 500 == 499 {
            fleet.run(ms(1_500));
            let router = fleet.router();
            sizes.push((router.held_state(), router.decision_state_sizes(), router.table_entries()));
        }
    }
    fleet.run(ms(60_000));
    assert_eq!(fleet.clients().odd, [""; 0], "{:?}", fleet.clients().endings);
    assert_eq!(fleet.router().held_state().releases, 0, "every release is over in the end");
    for (held, decisions, table_entries) in &sizes {
        let HeldState { client_connections, engine_connections, requests, timers, releases } = *held;
        assert!(
            engine_connections < 60
                && requests < 20
                && releases < 10
                && client_connections < 200
                && timers < 600,
            "{sizes:?}"
        );
        assert!(decisions.engines <= 7 && decisions.timers < 300 && *table_entries < 40, "{sizes:?}");
    }
}
