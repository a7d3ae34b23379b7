//! A simulated fleet in virtual time: consensus machines of several routers, and disks that lose unsynced
//! writes in a crash.

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

/// The step at which a router crashes, as the index of a write or message since the crash was armed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// The write does not reach the disk, and nothing follows it.
    BeforeWrite(u64),
    /// The write reaches the disk, and no message that depends on it is sent.
    AfterWrite(u64),
    /// The message is not sent.
    BeforeMessage(u64),
    /// The message is the last that is sent.
    AfterMessage(u64),
}

/// Counts the steps of a router, and crashes it at the armed one.
#[derive(Default)]
pub struct CrashControl {
    armed: Option<CrashPoint>,
    writes: u64,
    messages: u64,
    crashed: bool,
}

pub type SharedCrashControl = Arc<Mutex<CrashControl>>;

impl CrashControl {
    /// Counts a write. Returns whether it reaches the disk.
    fn permits_write(&mut self) -> bool {
        if self.crashed {
            return false;
        }
        let write = self.writes;
        self.writes += u64::from(self.armed.is_some());
        match self.armed {
            Some(CrashPoint::BeforeWrite(at)) if at == write => {
                self.crashed = true;
                false
            }
            Some(CrashPoint::AfterWrite(at)) if at == write => {
                self.crashed = true;
                true
            }
            _ => true,
        }
    }

    /// Counts a message. Returns whether it is sent.
    fn permits_message(&mut self) -> bool {
        if self.crashed {
            return false;
        }
        let message = self.messages;
        self.messages += u64::from(self.armed.is_some());
        match self.armed {
            Some(CrashPoint::BeforeMessage(at)) if at == message => {
                self.crashed = true;
                false
            }
            Some(CrashPoint::AfterMessage(at)) if at == message => {
                self.crashed = true;
                true
            }
            _ => true,
        }
    }
}

/// The content of a simulated disk.
#[derive(Default)]
pub struct DiskContent {
    synced: Vec<u8>,
    written: Vec<u8>,
    full: bool,
}

/// A simulated disk, which loses unsynced writes when its process crashes.
#[derive(Clone, Default)]
pub struct SimulatedDisk {
    content: Arc<Mutex<DiskContent>>,
    pub crash_control: SharedCrashControl,
}

impl SimulatedDisk {
    fn content(&self) -> std::sync::MutexGuard<'_, DiskContent> {
        self.content.lock().expect("the lock is not poisoned")
    }

    /// The bytes that a new process reads after a crash.
    pub fn after_crash(&self) -> Vec<u8> {
        let mut content = self.content();
        content.written = content.synced.clone();
        content.synced.clone()
    }

    pub fn erase(&self) {
        *self.content() = DiskContent::default();
    }

    pub fn set_full(&self, full: bool) {
        self.content().full = full;
    }

    fn write(&self, replaces: bool, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        let mut content = self.content();
        if content.full {
            return Err(std::io::Error::other("no space left"));
        }
        if !self.crash_control.lock().expect("the lock is not poisoned").permits_write() {
            return Ok(()); // The process has crashed and does not see the result.
        }
        if replaces {
            content.written.clear();
        }
        content.written.extend(bytes);
        if sync {
            content.synced = content.written.clone();
        }
        Ok(())
    }
}

impl Disk for SimulatedDisk {
    fn append(&mut self, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        self.write(false, bytes, sync)
    }

    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.write(true, bytes, true)
    }
}

pub fn address_of(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (router / 200) as u8, (router % 200) as u8 + 1], 7000))
}

/// Knows routers `r0` and so on, up to this many.
pub struct FixedDirectory(pub usize);

impl PeerDirectory for FixedDirectory {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        name.strip_prefix('r').and_then(|n| n.parse().ok()).filter(|router| *router < self.0).map(address_of)
    }
    fn names(&self) -> Vec<String> {
        (0..self.0).map(|n| format!("r{n}")).collect()
    }
}

/// The process of a router.
pub enum Node {
    Stopped,
    Running(Box<Consensus>, SharedCrashControl),
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let Node::Running(consensus, crash_control) = self else { return };
        let earlier = out.len();
        consensus.handle(now, input, out);
        let mut crash_control = crash_control.lock().expect("the lock is not poisoned");
        let is_message = |output: &Output| matches!(output, Output::Datagram(..) | Output::Write(..));
        let outputs: Vec<Output> = out.drain(earlier..).collect();
        out.extend(outputs.into_iter().filter(|output| {
            if is_message(output) {
                crash_control.permits_message()
            } else {
                !crash_control.crashed
            }
        }));
    }
    fn wake_at(&self) -> Option<Duration> {
        match self {
            Node::Stopped => None,
            Node::Running(_, crash_control)
                if crash_control.lock().expect("the lock is not poisoned").crashed =>
            {
                None
            }
            Node::Running(consensus, _) => consensus.wake_at(),
        }
    }
}

/// The routers of a fleet, numbered from 0.
pub struct Fleet {
    pub world: World<Node>,
    pub handles: Vec<Arc<PolicyHandle>>,
    pub disks: Vec<SimulatedDisk>,
    pub founders: usize,
    starts: u64,
}

impl Fleet {
    pub fn new(n: usize, founders: usize, seed: u64) -> Fleet {
        let mut world = World::new(
            Duration::from_secs(1),
            Delays { one_way: ms(1), jitter: ms(1), ..Delays::default() },
            seed,
        );
        for router in 0..n {
            let node = world.add(Node::Stopped, &[address_of(router)]);
            world.open_datagram_sockets(node, &[address_of(router)]);
            world.kill(node);
        }
        Fleet {
            world,
            handles: vec![Arc::default(); n],
            disks: vec![SimulatedDisk::default(); n].iter().map(|_| SimulatedDisk::default()).collect(),
            founders,
            starts: seed << 20,
        }
    }

    pub fn len(&self) -> usize {
        self.handles.len()
    }

    pub fn start(&mut self, router: usize, policy: &str) {
        let consensus = self.build(router, policy);
        self.world.kill(router);
        self.world
            .revive(router, Node::Running(Box::new(consensus), self.disks[router].crash_control.clone()));
    }

    /// Creates the machine of a router that starts with the content of its disk.
    pub fn build(&mut self, router: usize, policy: &str) -> Consensus {
        self.starts += 1;
        let handle = Arc::new(PolicyHandle::default());
        let config = ConsensusConfig {
            fleet: "f".into(),
            name: format!("r{router}"),
            founders: (0..self.founders).map(|n| format!("r{n}")).collect(),
            policy: policy.into(),
            partition_mode: PartitionMode::Refuse,
            max_datagram_len: 1_200,
        };
        let invalid_here = format!("bad for r{router}");
        let compile = move |text: &str| {
            if text.contains(&invalid_here) {
                Err(InvalidPolicy::new(format!("[limits] attempts: {text:?}: expected 1 or more")))
            } else {
                Ok(Arc::new(text.to_owned()) as slipreel_consensus::CompiledPolicy)
            }
        };
        let startup = Startup {
            stored: Some(storage::read(&self.disks[router].after_crash()).map_err(Into::into)),
            disk: Box::new(self.disks[router].clone()),
            compiler: Box::new(compile),
            directory: Box::new(FixedDirectory(self.len())),
            seed: self.starts.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            unix_time_at_zero: Duration::from_secs(1_700_000_000),
            handle: handle.clone(),
        };
        *self.disks[router].crash_control.lock().expect("the lock is not poisoned") = CrashControl::default();
        let consensus = Consensus::new(config, startup, self.world.now());
        self.handles[router] = handle;
        consensus
    }

    /// Counts the steps of a router from now on, and crashes it at this one.
    pub fn arm_crash(&mut self, router: usize, at: CrashPoint) {
        self.disks[router].crash_control.lock().expect("the lock is not poisoned").armed = Some(at);
    }

    /// How many steps of the armed kind a router has taken.
    pub fn steps_taken(&self, router: usize) -> u64 {
        let crash_control = self.disks[router].crash_control.lock().expect("the lock is not poisoned");
        if crash_control.armed.is_none() {
            return u64::MAX; // The router crashed and was started again.
        }
        match crash_control.armed {
            Some(CrashPoint::BeforeWrite(_) | CrashPoint::AfterWrite(_)) => crash_control.writes,
            _ => crash_control.messages,
        }
    }

    pub fn has_crashed(&mut self, router: usize) -> bool {
        let crashed = self.disks[router].crash_control.lock().expect("the lock is not poisoned").crashed;
        if crashed {
            self.world.kill(router);
        }
        crashed
    }

    pub fn kill(&mut self, router: usize) {
        self.world.kill(router);
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.world.now() + span;
        self.world.run_until(until);
    }

    pub fn consensus(&self, router: usize) -> &Consensus {
        match self.world.machine(router) {
            Node::Running(consensus, _) => consensus,
            Node::Stopped => panic!("r{router} was never started"),
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.len()).find(
            |router| matches!(self.world.machine(*router), Node::Running(consensus, _) if consensus.leads()),
        )
    }

    /// The epoch under which each router accepts requests now; 0: it accepts none.
    pub fn epochs(&self) -> Vec<u64> {
        let now = self.world.now();
        let has_crashed = |router: usize| {
            self.disks[router].crash_control.lock().expect("the lock is not poisoned").crashed
        };
        let epoch_of = |router: usize| {
            let permit = self.handles[router].permit();
            if permit.holds(now) && !has_crashed(router) {
                permit.epoch
            } else {
                0
            }
        };
        (0..self.len()).map(epoch_of).collect()
    }
}
