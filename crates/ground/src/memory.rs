//! A run in virtual time: the same machines that the processes run, the same wire, engines and clients. The same script gives the same
//! bytes.

use crate::history::Sight;
use crate::run::{Director, Outcome, Stage, LEAD};
use crate::script::Script;
use crate::wire::{Link, Links, Noise, Wire};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_fleet::{Board, Fleet, Kept, Peers, Settings};
use slipreel_front::{Front, Sharing};
use slipreel_machine::{Input, Machine, Output};
use slipreel_standin::client::Clients;
use slipreel_standin::engine::Engine;
use slipreel_standin::ledger::Ledger;
use slipreel_standin::memory::{Delays, World};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often the shell around the machines looks, as `serve` does.
const SHELL: Duration = Duration::from_millis(50);
const START: Duration = Duration::from_secs(1 << 20);
/// Wall time at the clock's beginning; any will do, as only differences count.
const WALL: Duration = Duration::from_secs(1_700_000_000);

/// The machines of a run.
enum Node {
    Idle,
    Fleet(Box<Fleet>),
    Front(Box<Front>),
    Engine(Box<Engine>),
    Clients(Box<Clients>),
    Wire(Box<Wire>),
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Node::Idle => {}
            Node::Fleet(m) => m.handle(now, input, out),
            Node::Front(m) => m.handle(now, input, out),
            Node::Engine(m) => m.handle(now, input, out),
            Node::Clients(m) => m.handle(now, input, out),
            Node::Wire(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Node::Idle => None,
            Node::Fleet(m) => m.wake_at(),
            Node::Front(m) => m.wake_at(),
            Node::Engine(m) => m.wake_at(),
            Node::Clients(m) => m.wake_at(),
            Node::Wire(m) => m.wake_at(),
        }
    }
}

/// A router: two machines and what their process would keep.
struct Router {
    fleet: usize,
    front: usize,
    board: Arc<Board>,
    folder: Kept,
    folder_gone: bool,
    routers: u32,
    up: bool,
    odd_seeds: bool,
    twin: Option<(usize, Arc<Board>)>,
}

struct InMemory<'a> {
    world: World<Node>,
    script: &'a Script,
    routers: Vec<Router>,
    engines: Vec<SocketAddr>,
    wire: usize,
    clients: Option<usize>,
    rng: Xoshiro256PlusPlus,
    twins: u16,
}

fn member_addr(r: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, 0, r as u8 + 1], 7000))
}

fn wire_addr(from: usize, to: usize) -> SocketAddr {
    SocketAddr::from(([127, 3, from as u8 + 1, to as u8 + 1], 7000))
}

impl InMemory<'_> {
    fn peers(&self, r: usize) -> Peers {
        let n = self.script.routers;
        let others = |to: &usize| *to != r;
        let mut seeds: Vec<SocketAddr> =
            (0..self.script.seeds).filter(others).map(|to| wire_addr(r, to)).collect();
        if self.routers[r].odd_seeds {
            seeds.push(SocketAddr::from(([127, 2, 0, 250], 7000)));
        }
        let book: BTreeMap<String, SocketAddr> =
            (0..n).filter(others).map(|to| (format!("r{to}"), wire_addr(r, to))).collect();
        Peers { seeds, book }
    }

    fn settings(&self, r: usize, address: SocketAddr) -> Settings {
        Settings {
            fleet: "ground".into(),
            name: format!("r{r}"),
            address,
            routers: 1,
            floor: self.script.floor,
            datagram: self.script.datagram,
        }
    }

    /// What `serve` does between two looks.
    fn shell(&mut self) {
        for r in 0..self.routers.len() {
            let router = &mut self.routers[r];
            if !router.up {
                continue;
            }
            if !router.folder_gone {
                router.folder = (*router.board.kept()).clone();
            }
            let routers = router.board.view().routers;
            if routers != router.routers {
                router.routers = routers;
                let front = router.front;
                self.world.news(front, &Sharing(routers));
            }
        }
    }
}

impl Stage for InMemory<'_> {
    fn now(&self) -> Duration {
        self.world.now()
    }

    fn until(&mut self, at: Duration) -> bool {
        while self.world.now() < at {
            let next = at.min(self.world.now() + SHELL);
            self.world.run_until(next);
            self.shell();
        }
        true
    }

    fn start(&mut self, r: usize, fresh: bool) -> Result<(), String> {
        let now = self.world.now();
        if fresh {
            self.routers[r].folder = Kept::default();
        }
        let board = Arc::new(Board::default());
        let seed = self.rng.next_u64();
        let peers = self.peers(r);
        let kept = self.routers[r].folder.clone();
        let member = Fleet::new(self.settings(r, member_addr(r)), peers, &kept, seed, now, board.clone());
        let mut site = self.script.day.router_site(r, &self.engines);
        site.settings.routers = self.script.floor;
        site.name = format!("r{r}");
        let front = Front::new(Arc::new(site), self.rng.next_u64(), now, WALL + now);
        let router = &mut self.routers[r];
        (router.board, router.up, router.routers) = (board.clone(), true, board.view().routers);
        if !router.folder_gone {
            router.folder = (*board.kept()).clone();
        }
        let (fleet_at, front_at, routers) = (router.fleet, router.front, router.routers);
        for (at, node) in
            [(fleet_at, Node::Fleet(Box::new(member))), (front_at, Node::Front(Box::new(front)))]
        {
            self.world.kill(at);
            self.world.revive(at, node);
        }
        self.world.news(front_at, &board);
        self.world.news(front_at, &Sharing(routers));
        Ok(())
    }

    fn kill(&mut self, r: usize) {
        self.routers[r].up = false;
        self.world.kill(self.routers[r].fleet);
        self.world.kill(self.routers[r].front);
    }

    fn leave(&mut self, r: usize) {
        self.routers[r].up = false;
        self.world.stop(self.routers[r].fleet);
        self.world.stop(self.routers[r].front);
    }

    fn freeze(&mut self, r: usize, still: bool) {
        self.routers[r].up = !still;
        self.world.freeze(self.routers[r].fleet, still);
        self.world.freeze(self.routers[r].front, still);
    }

    fn twin(&mut self, r: usize, runs: bool) -> Result<(), String> {
        if let Some((node, _)) = self.routers[r].twin.take() {
            self.world.kill(node);
        }
        if runs {
            self.twins += 1;
            let address = SocketAddr::from(([127, 4, 0, 1], 7000 + self.twins));
            let board = Arc::new(Board::default());
            let seeds = (0..self.script.routers).filter(|o| *o != r).map(member_addr).collect();
            let peers = Peers { seeds, book: BTreeMap::new() };
            let seed = self.rng.next_u64();
            let now = self.world.now();
            let settings = self.settings(r, address);
            let member = Fleet::new(settings, peers, &Kept::default(), seed, now, board.clone());
            let node = self.world.add(Node::Fleet(Box::new(member)), &[address]);
            self.world.open_mailboxes(node, &[address]);
            self.routers[r].twin = Some((node, board));
        }
        Ok(())
    }

    fn folder(&mut self, r: usize, gone: bool) {
        self.routers[r].folder_gone = gone;
        if gone {
            self.routers[r].folder = Kept::default();
        }
    }

    fn reload(&mut self, r: usize) {
        self.routers[r].odd_seeds ^= true;
        let peers = Arc::new(self.peers(r));
        self.world.news(self.routers[r].fleet, &peers);
    }

    fn links(&mut self, links: Vec<(usize, usize, Link)>) {
        self.world.news(self.wire, &Arc::new(Links(links)));
    }

    fn noise(&mut self, r: usize, bytes: Vec<u8>) {
        self.world.news(self.wire, &Noise(r, bytes));
    }

    fn sight(&mut self, r: usize) -> Option<Sight> {
        Some(Sight::of_view(&self.routers[r].board.view()))
    }

    fn twin_sight(&mut self, r: usize) -> Option<Sight> {
        self.routers[r].twin.as_ref().map(|(_, board)| Sight::of_view(&board.view()))
    }

    fn clients_done(&self) -> bool {
        match self.clients.map(|c| self.world.machine(c)) {
            Some(Node::Clients(c)) => c.left() == 0,
            _ => true,
        }
    }
}

/// Plays a script in memory, in virtual time.
///
/// # Errors
/// None so far: a router always starts here.
pub fn play_in_memory(script: &Script) -> Result<Outcome, String> {
    let ledger = Ledger::default();
    let n = script.routers;
    let addr = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let mut world = World::new(START, Delays::default(), script.seed);
    let engines: Vec<SocketAddr> = (0..script.day.engines.len()).map(|e| addr(20_000 + e)).collect();
    for (e, at) in engines.iter().enumerate() {
        let mut spec = script.day.engines[e].spec.clone();
        spec.addr = *at;
        world.add(Node::Engine(Box::new(Engine::warm(spec, ledger.clone(), START, WALL + START))), &[*at]);
    }
    let mut routers = Vec::new();
    for r in 0..n {
        let fleet = world.add(Node::Idle, &[member_addr(r)]);
        world.open_mailboxes(fleet, &[member_addr(r)]);
        let front = world.add(Node::Idle, &[addr(10_000 + r), addr(15_000 + r)]);
        world.kill(fleet);
        world.kill(front);
        routers.push(Router {
            fleet,
            front,
            board: Arc::default(),
            folder: Kept::default(),
            folder_gone: false,
            routers: 0,
            up: false,
            odd_seeds: false,
            twin: None,
        });
    }
    let ways: Vec<SocketAddr> = Wire::ways(n).map(|(from, to)| wire_addr(from, to)).collect();
    let wire =
        world.add(Node::Wire(Box::new(Wire::new((0..n).map(member_addr).collect(), script.seed))), &ways);
    world.open_mailboxes(wire, &ways);
    let clients = script.traffic.then(|| {
        let mut plans = script.day.plans.clone();
        plans.iter_mut().for_each(|p| p.at += START + LEAD);
        let targets = (0..n).map(|r| addr(10_000 + r)).collect();
        world.add(Node::Clients(Box::new(Clients::new(plans, targets, ledger.clone(), true))), &[])
    });
    let rng = Xoshiro256PlusPlus::seed_from_u64(script.seed ^ 0x11fe);
    let mut stage = InMemory { world, script, routers, engines, wire, clients, rng, twins: 0 };
    let mut director = Director::new(script, ledger.clone(), START);
    director.run(&mut stage)?;
    let results = match clients.map(|c| stage.world.machine(c)) {
        Some(Node::Clients(c)) => c.results().to_vec(),
        _ => Vec::new(),
    };
    let log = stage.world.log().iter().map(|(at, node, line)| format!("{:?} {node}: {line}", *at - START));
    let (log, digest, now) = (log.collect(), stage.world.digest(), stage.world.now());
    Ok(director.outcome(ledger.records(), results, log, digest, now))
}
