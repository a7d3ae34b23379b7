//! Every schedule of a change among three routers with so many disturbances, on the real machine, by the model checker `stateright`: a message
//! that is lost, one that comes late, a crash, a restart, each at every moment. What is not disturbed happens in order (delay-bounded
//! scheduling: Emmi, Qadeer, Rakamaric 2011).
//!
//! The machine can't be copied, so a state is the list of what was chosen, and the machines are made anew and brought there; two states are
//! one where each router has been told the same, the same messages are on their way and the same time has passed.

use slipreel_consensus::policy_state::{PolicyState, Proposal};
use slipreel_consensus::storage::{initial_file, read};
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::{
    Configuration, Consensus, ConsensusConfig, Disk, PartitionMode, PeerDirectory, PolicyHandle,
    ProposalStatus, Startup, VoterIdentity,
};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use stateright::{Checker, Model, Property};
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const N: usize = 3;
/// Two epochs may be acted by for as long as a short lease lasts on any clock.
const OVERLAP: Duration = Duration::from_millis(81);

fn addr(r: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + r as u16))
}

fn router(at: SocketAddr) -> usize {
    usize::from(at.port() - 7000)
}

#[derive(Clone, Default)]
struct Plate(Arc<Mutex<Vec<u8>>>);

impl Disk for Plate {
    fn append(&mut self, bytes: &[u8], _: bool) -> std::io::Result<()> {
        self.0.lock().expect("no panic under it").extend(bytes);
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        *self.0.lock().expect("no panic under it") = bytes.to_vec();
        Ok(())
    }
}

struct All;

impl PeerDirectory for All {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        name.strip_prefix('r').and_then(|n| n.parse().ok()).map(addr)
    }
    fn names(&self) -> Vec<String> {
        (0..N).map(|n| format!("r{n}")).collect()
    }
}

/// What is on its way.
#[derive(Clone, Hash)]
enum Sent {
    Datagram(usize, usize, Vec<u8>),
    Open(usize, usize, u64),
    Data(usize, usize, u64, Vec<u8>),
}

/// What may be chosen at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Choice {
    /// The oldest message comes; if none is on its way, time passes to what is due next.
    Next,
    /// The oldest datagram is lost.
    Lose,
    /// The oldest message comes after all that is on its way now.
    Late,
    /// Time passes though messages are on their way.
    Slow,
    /// A router dies.
    Crash(usize),
    /// It is back.
    Back,
}

/// Three routers that are brought to a state.
struct Lab {
    now: Duration,
    machines: Vec<Option<Consensus>>,
    boards: Vec<Arc<PolicyHandle>>,
    plates: Vec<Plate>,
    sent: VecDeque<Sent>,
    /// By opener and its number: the taker and its number.
    conns: BTreeMap<(usize, u64), (usize, u64)>,
    accepted: u64,
    lives: u64,
    told: [u64; N],
    down: Option<usize>,
    /// The newest epoch that was acted by, and since when.
    newest: (u64, Duration),
    overlap: Duration,
    /// The newest epoch of each router, over its lives.
    reached: [u64; N],
    back: bool,
    done: usize,
}

impl Lab {
    fn new() -> Lab {
        let voters: Vec<VoterIdentity> =
            (0..N).map(|r| VoterIdentity { name: format!("r{r}"), disk: r as u64 + 1 }).collect();
        let configuration =
            Configuration { number: 1, voters, initial_state: PolicyState::founded("one", "r0", 0) };
        let plates: Vec<Plate> =
            (0..N).map(|r| Plate(Arc::new(Mutex::new(initial_file(r as u64 + 1, &configuration))))).collect();
        let mut lab = Lab {
            now: Duration::from_secs(1),
            machines: Vec::new(),
            boards: vec![Arc::default(); N],
            plates,
            sent: VecDeque::new(),
            conns: BTreeMap::new(),
            accepted: 0,
            lives: 0,
            told: [0; N],
            down: None,
            newest: (0, Duration::ZERO),
            overlap: Duration::ZERO,
            reached: [0; N],
            back: false,
            done: 0,
        };
        for r in 0..N {
            lab.machines.push(None);
            lab.start(r);
        }
        // Until one leads, leases of the last one can hold no more, and nothing is on its way.
        while lab.now < Duration::from_millis(5_200) || !lab.sent.is_empty() {
            lab.next();
        }
        assert_eq!(lab.epochs(), [1; N]);
        let p = Proposal {
            id: "x".into(),
            text: "two".into(),
            from: "r2".into(),
            submitted_unix_s: 0,
            base_epoch: 0,
            restores_epoch: None,
        };
        assert!(lab.boards[2].submit(OperatorRequest::Propose(p)));
        lab
    }

    fn start(&mut self, r: usize) {
        self.lives += 1;
        let handle = Arc::new(PolicyHandle::default());
        let settings = ConsensusConfig {
            fleet: "f".into(),
            name: format!("r{r}"),
            founders: (0..N).map(|n| format!("r{n}")).collect(),
            policy: "one".into(),
            partition_mode: PartitionMode::Refuse,
            max_datagram_len: 1_200,
        };
        let found = read(&self.plates[r].0.lock().expect("no panic under it"));
        let start = Startup {
            stored: Some(found.map_err(Into::into)),
            disk: Box::new(self.plates[r].clone()),
            compiler: Box::new(|text: &str| {
                Ok(Arc::new(text.to_owned()) as slipreel_consensus::CompiledPolicy)
            }),
            directory: Box::new(All),
            seed: self.lives.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            unix_time_at_zero: Duration::ZERO,
            handle: handle.clone(),
        };
        self.boards[r] = handle;
        self.machines[r] = Some(Consensus::new(settings, start, self.now));
        self.note(r, &("start", self.lives));
    }

    fn note(&mut self, r: usize, what: &impl Hash) {
        let mut hasher = DefaultHasher::new();
        (self.told[r], self.now).hash(&mut hasher);
        what.hash(&mut hasher);
        self.told[r] = hasher.finish();
    }

    fn tell(&mut self, r: usize, input: Input<'_>) {
        let Some(machine) = &mut self.machines[r] else { return };
        let mut out = Vec::new();
        machine.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Datagram(_, to, bytes) => self.sent.push_back(Sent::Datagram(r, router(to), bytes)),
                Output::Connect(conn, to) => self.sent.push_back(Sent::Open(r, router(to), conn.0)),
                Output::Write(conn, bytes) if conn.is_opened() => {
                    if let Some((to, _)) = self.conns.get(&(r, conn.0)) {
                        self.sent.push_back(Sent::Data(r, *to, conn.0, bytes));
                    }
                }
                // Acknowledgements come at once.
                Output::Write(conn, bytes) => {
                    let opener = self.conns.iter().find(|(_, taker)| **taker == (r, conn.0)).map(|(o, _)| *o);
                    if let Some((opener, number)) = opener {
                        self.tell(opener, Input::Data(ConnId(number), &bytes));
                    }
                }
                Output::Abort(conn) | Output::CloseWhenSent(conn) => {
                    self.conns.remove(&(r, conn.0));
                }
                _ => {}
            }
        }
        self.look();
    }

    fn epochs(&self) -> [u64; N] {
        let by = |r: usize| {
            let permit = self.boards[r].permit();
            if self.machines[r].is_some() && permit.holds(self.now) {
                permit.epoch
            } else {
                0
            }
        };
        std::array::from_fn(by)
    }

    fn look(&mut self) {
        let epochs = self.epochs();
        let most = epochs.iter().copied().max().unwrap_or(0);
        if most > self.newest.0 {
            self.newest = (most, self.now);
        }
        if epochs.iter().any(|e| *e != 0 && *e < self.newest.0) {
            self.overlap = self.overlap.max(self.now - self.newest.1);
        }
        for (reached, epoch) in self.reached.iter_mut().zip(epochs) {
            self.back |= epoch != 0 && epoch < *reached;
            *reached = (*reached).max(epoch);
        }
    }

    fn deliver(&mut self, sent: Sent) {
        match sent {
            Sent::Datagram(from, to, bytes) => {
                self.note(to, &(from, &bytes));
                self.tell(to, Input::Datagram(ListenerId(0), addr(from), &bytes));
            }
            Sent::Open(from, to, number) => {
                if self.machines[to].is_none() {
                    self.note(from, &("refused", number));
                    return self.tell(from, Input::Lost(ConnId(number), ConnectionLoss::NotConnected));
                }
                self.accepted += 1;
                let taken = self.accepted;
                self.conns.insert((from, number), (to, taken));
                self.note(to, &("accepted", taken));
                self.tell(to, Input::Accepted(ConnId(taken), ListenerId(0)));
                self.note(from, &("connected", number));
                self.tell(from, Input::Connected(ConnId(number)));
            }
            Sent::Data(from, to, number, bytes) => {
                if let Some((_, taken)) = self.conns.get(&(from, number)).copied() {
                    self.note(to, &(from, &bytes));
                    self.tell(to, Input::Data(ConnId(taken), &bytes));
                }
            }
        }
    }

    fn pass(&mut self) {
        let due = self.machines.iter().flatten().filter_map(Machine::wake_at).min();
        self.now = self.now.max(due.unwrap_or(self.now));
        for r in 0..N {
            if self.machines[r].as_ref().and_then(Machine::wake_at).is_some_and(|at| at <= self.now) {
                self.note(r, &"wake");
                self.tell(r, Input::Wake);
            }
        }
        self.look();
    }

    fn next(&mut self) {
        match self.sent.pop_front() {
            Some(sent) => self.deliver(sent),
            None => self.pass(),
        }
    }

    fn crash(&mut self, r: usize) {
        self.machines[r] = None;
        self.down = Some(r);
        let over: Vec<((usize, u64), (usize, u64))> =
            self.conns.iter().filter(|((o, _), (t, _))| *o == r || *t == r).map(|(k, v)| (*k, *v)).collect();
        for ((opener, number), (taker, taken)) in over {
            self.conns.remove(&(opener, number));
            let (other, id) = if opener == r { (taker, taken) } else { (opener, number) };
            self.note(other, &("lost", id));
            self.tell(other, Input::Lost(ConnId(id), ConnectionLoss::Reset));
        }
    }

    fn choose(&mut self, choice: Choice) {
        self.done += 1;
        match choice {
            Choice::Next => self.next(),
            Choice::Lose => {
                let at = self.sent.iter().position(|s| matches!(s, Sent::Datagram(..)));
                at.map(|at| self.sent.remove(at));
            }
            Choice::Late => {
                if let Some(first) = self.sent.pop_front() {
                    self.sent.push_back(first);
                }
            }
            Choice::Slow => self.pass(),
            Choice::Crash(r) => self.crash(r),
            Choice::Back => {
                if let Some(r) = self.down.take() {
                    self.start(r);
                }
            }
        }
    }

    fn is_over(&self) -> bool {
        self.down.is_none()
            && self.sent.is_empty()
            && self.epochs().iter().all(|e| *e == self.newest.0)
            && self.boards.iter().all(|b| b.status().pending.is_none())
            && self.newest.0 == 2
    }

    fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.told, self.now, self.down, &self.sent, &self.conns).hash(&mut hasher);
        hasher.finish()
    }
}

#[derive(Clone, Debug)]
struct State {
    path: Vec<Choice>,
    print: u64,
    overlap: Duration,
    back: bool,
    split: bool,
    over: bool,
    can_lose: bool,
    waits: bool,
    down: bool,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.print == other.print && self.spent() == other.spent()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.print, self.spent()).hash(hasher);
    }
}

impl State {
    /// Disturbances so far: crashes, lost, late, slow.
    fn spent(&self) -> [usize; 4] {
        let count = |which: fn(&Choice) -> bool| self.path.iter().filter(|c| which(c)).count();
        [
            count(|c| matches!(c, Choice::Crash(_))),
            count(|c| *c == Choice::Lose),
            count(|c| *c == Choice::Late),
            count(|c| *c == Choice::Slow),
        ]
    }
}

/// How many of each disturbance, and in all.
struct Change {
    most: [usize; 4],
    in_all: usize,
    /// Choices from the proposal on.
    depth: usize,
}

thread_local! {
    static LAST: RefCell<Option<(Vec<Choice>, Lab)>> = const { RefCell::new(None) };
}

impl Change {
    /// Brings routers to a state, from where they stand if that is on the way.
    fn reach(path: &[Choice]) -> State {
        LAST.with(|last| {
            let kept = last.borrow_mut().take();
            let (done, mut lab) = match kept {
                Some((done, lab)) if path.starts_with(&done) => (done.len(), lab),
                _ => (0, Lab::new()),
            };
            path[done..].iter().for_each(|c| lab.choose(*c));
            let stands: Vec<ProposalStatus> =
                lab.boards.iter().map(|b| b.status().proposal_status("x")).collect();
            let in_force = stands.iter().any(|s| matches!(s, ProposalStatus::InForce(_)));
            let state = State {
                path: path.to_vec(),
                print: lab.print(),
                overlap: lab.overlap,
                back: lab.back,
                split: in_force && stands.iter().any(|s| matches!(s, ProposalStatus::Dropped(_))),
                over: lab.is_over(),
                can_lose: lab.sent.iter().any(|s| matches!(s, Sent::Datagram(..))),
                waits: lab.sent.len() > 1,
                down: lab.down.is_some(),
            };
            *last.borrow_mut() = Some((path.to_vec(), lab));
            state
        })
    }
}

impl Model for Change {
    type State = State;
    type Action = Choice;

    fn init_states(&self) -> Vec<State> {
        vec![Change::reach(&[])]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Choice>) {
        if state.over || state.path.len() >= self.depth {
            return;
        }
        let spent = state.spent();
        let left =
            |which: usize| spent[which] < self.most[which] && spent.iter().sum::<usize>() < self.in_all;
        if left(0) && !state.down {
            actions.extend((0..N).map(Choice::Crash));
        }
        if left(1) && state.can_lose {
            actions.push(Choice::Lose);
        }
        if left(2) && state.waits {
            actions.push(Choice::Late);
        }
        if left(3) && state.waits {
            actions.push(Choice::Slow);
        }
        // Back at once, or after some time.
        let since = state.path.iter().rev().position(|c| matches!(c, Choice::Crash(_)));
        if state.down && since.is_some_and(|n| n % 24 == 0) {
            actions.push(Choice::Back);
        }
        actions.push(Choice::Next);
    }

    fn next_state(&self, last: &State, action: Choice) -> Option<State> {
        let path: Vec<Choice> = last.path.iter().copied().chain([action]).collect();
        Some(Change::reach(&path))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two epochs at once", |_, s: &State| s.overlap <= OVERLAP),
            Property::always("nobody goes back", |_, s: &State| !s.back),
            Property::always("one outcome", |_, s: &State| !s.split),
            Property::sometimes("it comes into force", |_, s: &State| s.over),
        ]
    }
}

fn explore(change: Change, states: usize) {
    let begin = std::time::Instant::now();
    let (most, in_all, depth) = (change.most, change.in_all, change.depth);
    let checker = change.checker().target_state_count(states).spawn_dfs().join();
    println!(
        "disturbances {most:?}, {in_all} in all, {depth} choices: {} states, {} of them different, {:.1} s, {}",
        checker.state_count(),
        checker.unique_state_count(),
        begin.elapsed().as_secs_f64(),
        if checker.state_count() < states { "all of them" } else { "cut short" }
    );
    checker.assert_properties();
}

#[test]
fn one_crash_at_any_moment_of_a_change() {
    explore(Change { most: [1, 0, 0, 0], in_all: 1, depth: 160 }, 60_000);
}

#[test]
fn one_message_lost_or_late_at_any_moment_of_a_change() {
    explore(Change { most: [0, 1, 1, 1], in_all: 1, depth: 400 }, 20_000);
}

/// By hand: minutes.
#[test]
#[ignore = "takes minutes"]
fn a_crash_and_a_lost_or_late_message_at_any_moments_of_a_change() {
    explore(Change { most: [1, 1, 1, 1], in_all: 2, depth: 400 }, 2_000_000);
}
