//! Routers that agree on a policy, in memory and in virtual time, with disks that keep what was synced.

#![allow(dead_code)]

use slipreel_consensus::{
    storage, Consensus, ConsensusConfig, Disk, InvalidPolicy, PartitionMode, PeerDirectory, PolicyHandle,
    Startup,
};
use slipreel_state_machine::{Input, Machine, Output};
use slipreel_test_servers::memory::{Delays, World};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// When a router dies: by its steps since it was armed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Killed {
    /// The write does not reach the disk, and nothing follows.
    BeforeWrite(u64),
    /// The write is on the disk, and nothing that rests on it leaves.
    AfterWrite(u64),
    /// The message does not leave.
    BeforeMessage(u64),
    /// It is the last that leaves.
    AfterMessage(u64),
}

#[derive(Default)]
pub struct Counts {
    armed: Option<Killed>,
    writes: u64,
    messages: u64,
    dead: bool,
}

pub type Fate = Arc<Mutex<Counts>>;

impl Counts {
    /// Whether this write happens.
    fn write(&mut self) -> bool {
        if self.dead {
            return false;
        }
        let n = self.writes;
        self.writes += u64::from(self.armed.is_some());
        match self.armed {
            Some(Killed::BeforeWrite(at)) if at == n => {
                self.dead = true;
                false
            }
            Some(Killed::AfterWrite(at)) if at == n => {
                self.dead = true;
                true
            }
            _ => true,
        }
    }

    /// Whether this message leaves.
    fn message(&mut self) -> bool {
        if self.dead {
            return false;
        }
        let n = self.messages;
        self.messages += u64::from(self.armed.is_some());
        match self.armed {
            Some(Killed::BeforeMessage(at)) if at == n => {
                self.dead = true;
                false
            }
            Some(Killed::AfterMessage(at)) if at == n => {
                self.dead = true;
                true
            }
            _ => true,
        }
    }
}

/// A disk that loses what was not synced when its process is killed.
#[derive(Default)]
pub struct Inside {
    synced: Vec<u8>,
    written: Vec<u8>,
    full: bool,
}

#[derive(Clone, Default)]
pub struct Platter(Arc<Mutex<Inside>>, pub Fate);

impl Platter {
    fn inside(&self) -> std::sync::MutexGuard<'_, Inside> {
        self.0.lock().expect("no panic under it")
    }

    /// What a new process finds.
    pub fn after_crash(&self) -> Vec<u8> {
        let mut inside = self.inside();
        inside.written = inside.synced.clone();
        inside.synced.clone()
    }

    pub fn lose(&self) {
        *self.inside() = Inside::default();
    }

    pub fn fill(&self, full: bool) {
        self.inside().full = full;
    }

    fn write(&self, whole: bool, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        let mut inside = self.inside();
        if inside.full {
            return Err(std::io::Error::other("no space left"));
        }
        if !self.1.lock().expect("no panic under it").write() {
            return Ok(()); // Its process is dead: nobody hears that.
        }
        if whole {
            inside.written.clear();
        }
        inside.written.extend(bytes);
        if sync {
            inside.synced = inside.written.clone();
        }
        Ok(())
    }
}

impl Disk for Platter {
    fn append(&mut self, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        self.write(false, bytes, sync)
    }

    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.write(true, bytes, true)
    }
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (n / 200) as u8, (n % 200) as u8 + 1], 7000))
}

pub struct Fixed(pub usize);

impl PeerDirectory for Fixed {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        name.strip_prefix('r').and_then(|n| n.parse().ok()).filter(|n| *n < self.0).map(addr)
    }
    fn names(&self) -> Vec<String> {
        (0..self.0).map(|n| format!("r{n}")).collect()
    }
}

pub enum Node {
    Idle,
    Up(Box<Consensus>, Fate),
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let Node::Up(a, fate) = self else { return };
        let from = out.len();
        a.handle(now, input, out);
        let mut fate = fate.lock().expect("no panic under it");
        let messages = |o: &Output| matches!(o, Output::Datagram(..) | Output::Write(..));
        let sent: Vec<Output> = out.drain(from..).collect();
        out.extend(sent.into_iter().filter(|o| if messages(o) { fate.message() } else { !fate.dead }));
    }
    fn wake_at(&self) -> Option<Duration> {
        match self {
            Node::Idle => None,
            Node::Up(_, fate) if fate.lock().expect("no panic under it").dead => None,
            Node::Up(a, _) => a.wake_at(),
        }
    }
}

pub struct Routers {
    pub world: World<Node>,
    pub boards: Vec<Arc<PolicyHandle>>,
    pub disks: Vec<Platter>,
    pub founders: usize,
    lives: u64,
}

impl Routers {
    pub fn new(n: usize, founders: usize, seed: u64) -> Routers {
        let mut world = World::new(
            Duration::from_secs(1),
            Delays { one_way: ms(1), jitter: ms(1), ..Delays::default() },
            seed,
        );
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
        let consensus = self.build(r, policy);
        self.world.kill(r);
        self.world.revive(r, Node::Up(Box::new(consensus), self.disks[r].1.clone()));
    }

    /// A router at its start, from what stands on its disk.
    pub fn build(&mut self, r: usize, policy: &str) -> Consensus {
        self.lives += 1;
        let handle = Arc::new(PolicyHandle::default());
        let settings = ConsensusConfig {
            fleet: "f".into(),
            name: format!("r{r}"),
            founders: (0..self.founders).map(|n| format!("r{n}")).collect(),
            policy: policy.into(),
            partition_mode: PartitionMode::Refuse,
            max_datagram_len: 1_200,
        };
        let bad = format!("bad for r{r}");
        let attempt = move |text: &str| {
            if text.contains(&bad) {
                Err(InvalidPolicy::new(format!("[limits] attempts: {text:?}: expected 1 or more")))
            } else {
                Ok(Arc::new(text.to_owned()) as slipreel_consensus::CompiledPolicy)
            }
        };
        let start = Startup {
            stored: Some(storage::read(&self.disks[r].after_crash()).map_err(Into::into)),
            disk: Box::new(self.disks[r].clone()),
            compiler: Box::new(attempt),
            directory: Box::new(Fixed(self.len())),
            seed: self.lives.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            unix_time_at_zero: Duration::from_secs(1_700_000_000),
            handle: handle.clone(),
        };
        *self.disks[r].1.lock().expect("no panic under it") = Counts::default();
        let consensus = Consensus::new(settings, start, self.world.now());
        self.boards[r] = handle;
        consensus
    }

    /// From now on its steps count, and it dies at this one.
    pub fn arm(&mut self, r: usize, at: Killed) {
        self.disks[r].1.lock().expect("no panic under it").armed = Some(at);
    }

    /// The steps of the kind at which it was to die.
    pub fn steps(&self, r: usize) -> u64 {
        let fate = self.disks[r].1.lock().expect("no panic under it");
        if fate.armed.is_none() {
            return u64::MAX; // It died and was started again.
        }
        match fate.armed {
            Some(Killed::BeforeWrite(_) | Killed::AfterWrite(_)) => fate.writes,
            _ => fate.messages,
        }
    }

    pub fn is_dead(&mut self, r: usize) -> bool {
        let dead = self.disks[r].1.lock().expect("no panic under it").dead;
        if dead {
            self.world.kill(r);
        }
        dead
    }

    pub fn kill(&mut self, r: usize) {
        self.world.kill(r);
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.world.now() + span;
        self.world.run_until(until);
    }

    pub fn consensus(&self, r: usize) -> &Consensus {
        match self.world.machine(r) {
            Node::Up(a, _) => a,
            Node::Idle => panic!("r{r} was never started"),
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.len()).find(|r| matches!(self.world.machine(*r), Node::Up(a, _) if a.leads()))
    }

    pub fn epochs(&self) -> Vec<u64> {
        let now = self.world.now();
        let dead = |r: usize| self.disks[r].1.lock().expect("no panic under it").dead;
        let by = |r: usize| {
            let permit = self.boards[r].permit();
            if permit.holds(now) && !dead(r) {
                permit.epoch
            } else {
                0
            }
        };
        (0..self.len()).map(by).collect()
    }
}
