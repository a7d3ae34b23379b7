//! Routers that agree on a policy, in memory and in virtual time, with disks that keep what was synced.

#![allow(dead_code)]

use slipreel_accord::{shelf, Accord, Board, Cut, Disk, Others, Settings, Start};
use slipreel_machine::{Input, Machine, Output};
use slipreel_standin::memory::{Delays, World};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A disk that loses what was not synced when its process is killed.
#[derive(Clone, Default)]
pub struct Platter(pub Arc<Mutex<(Vec<u8>, Vec<u8>, bool)>>);

impl Platter {
    /// What a new process finds.
    pub fn after_crash(&self) -> Vec<u8> {
        let mut inner = self.0.lock().expect("no panic under it");
        inner.1 = inner.0.clone();
        inner.0.clone()
    }

    pub fn lose(&self) {
        *self.0.lock().expect("no panic under it") = Default::default();
    }

    pub fn fill(&self, full: bool) {
        self.0.lock().expect("no panic under it").2 = full;
    }
}

impl Disk for Platter {
    fn append(&mut self, bytes: &[u8], sync: bool) -> Result<(), String> {
        let mut inner = self.0.lock().expect("no panic under it");
        if inner.2 {
            return Err("no space left".into());
        }
        inner.1.extend(bytes);
        if sync {
            inner.0 = inner.1.clone();
        }
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> Result<(), String> {
        let mut inner = self.0.lock().expect("no panic under it");
        if inner.2 {
            return Err("no space left".into());
        }
        inner.1 = bytes.to_vec();
        inner.0 = bytes.to_vec();
        Ok(())
    }
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (n / 200) as u8, (n % 200) as u8 + 1], 7000))
}

pub struct Fixed(pub usize);

impl Others for Fixed {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        name.strip_prefix('r').and_then(|n| n.parse().ok()).filter(|n| *n < self.0).map(addr)
    }
    fn names(&self) -> Vec<String> {
        (0..self.0).map(|n| format!("r{n}")).collect()
    }
}

pub enum Node {
    Idle,
    Up(Box<Accord>),
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if let Node::Up(a) = self {
            a.handle(now, input, out);
        }
    }
    fn wake_at(&self) -> Option<Duration> {
        match self {
            Node::Idle => None,
            Node::Up(a) => a.wake_at(),
        }
    }
}

pub struct Routers {
    pub world: World<Node>,
    pub boards: Vec<Arc<Board>>,
    pub disks: Vec<Platter>,
    pub founders: usize,
    lives: u64,
}

impl Routers {
    pub fn new(n: usize, founders: usize, seed: u64) -> Routers {
        let mut world = World::new(Duration::from_secs(1), Delays { one_way: ms(1), jitter: ms(1) }, seed);
        for r in 0..n {
            let node = world.add(Node::Idle, &[addr(r)]);
            world.open_mailboxes(node, &[addr(r)]);
            world.kill(node);
        }
        Routers {
            world,
            boards: vec![Arc::default(); n],
            disks: vec![Platter::default(); n].iter().map(|_| Platter::default()).collect(),
            founders,
            lives: seed << 20,
        }
    }

    pub fn len(&self) -> usize {
        self.boards.len()
    }

    pub fn start(&mut self, r: usize, policy: &str) {
        self.lives += 1;
        let board = Arc::new(Board::default());
        let settings = Settings {
            fleet: "f".into(),
            name: format!("r{r}"),
            founders: (0..self.founders).map(|n| format!("r{n}")).collect(),
            policy: policy.into(),
            cut: Cut::Refuse,
            datagram: 1_200,
        };
        let bad = format!("bad for r{r}");
        let attempt = move |text: &str| {
            if text.contains(&bad) {
                Err(format!("[limits] attempts: {text:?}: expected 1 or more"))
            } else {
                Ok(Arc::new(text.to_owned()) as slipreel_accord::Made)
            }
        };
        let start = Start {
            found: Some(shelf::read(&self.disks[r].after_crash())),
            disk: Box::new(self.disks[r].clone()),
            attempt: Box::new(attempt),
            others: Box::new(Fixed(self.len())),
            seed: self.lives.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            wall_ahead: Duration::from_secs(1_700_000_000),
            board: board.clone(),
        };
        let accord = Accord::new(settings, start, self.world.now());
        self.boards[r] = board;
        self.world.kill(r);
        self.world.revive(r, Node::Up(Box::new(accord)));
    }

    pub fn kill(&mut self, r: usize) {
        self.world.kill(r);
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.world.now() + span;
        self.world.run_until(until);
    }

    pub fn accord(&self, r: usize) -> &Accord {
        match self.world.machine(r) {
            Node::Up(a) => a,
            Node::Idle => panic!("r{r} was never started"),
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.len()).find(|r| matches!(self.world.machine(*r), Node::Up(a) if a.leads()))
    }

    pub fn epochs(&self) -> Vec<u64> {
        let now = self.world.now();
        self.boards.iter().map(|b| b.permit()).map(|p| if p.holds(now) { p.epoch } else { 0 }).collect()
    }
}
