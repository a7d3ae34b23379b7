//! Explores all schedules of a change among three routers with a bounded number of disturbances, on the real
//! machines, with the model checker `stateright`. The disturbances are a lost message, a delayed one, and a
//! crash with a restart, each at every moment. Everything else happens in order (delay-bounded scheduling:
//! Emmi, Qadeer, Rakamaric 2011).
//!
//! The machine can't be copied, so a state is the list of steps that lead to it, and is reached by running
//! these steps on new machines. Two states are equal if each router has had the same input, the same messages
//! are in flight and the same time has passed.

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

const ROUTERS: usize = 3;
/// The longest time for which two epochs may overlap: a short lease on any clock.
const MAX_OVERLAP: Duration = Duration::from_millis(81);

fn address_of(router: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + router as u16))
}

fn router_at(address: SocketAddr) -> usize {
    usize::from(address.port() - 7000)
}

/// A disk that loses nothing.
#[derive(Clone, Default)]
struct MemoryDisk(Arc<Mutex<Vec<u8>>>);

impl Disk for MemoryDisk {
    fn append(&mut self, bytes: &[u8], _: bool) -> std::io::Result<()> {
        self.0.lock().expect("the lock is not poisoned").extend(bytes);
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        *self.0.lock().expect("the lock is not poisoned") = bytes.to_vec();
        Ok(())
    }
}

struct AllRouters;

impl PeerDirectory for AllRouters {
    fn address(&self, name: &str) -> Option<SocketAddr> {
        name.strip_prefix('r').and_then(|n| n.parse().ok()).map(address_of)
    }
    fn names(&self) -> Vec<String> {
        (0..ROUTERS).map(|n| format!("r{n}")).collect()
    }
}

/// A message in flight between two routers.
#[derive(Clone, Hash)]
enum InFlight {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// A connection is opened. The opener assigns its number.
    Open {
        from: usize,
        to: usize,
        number: u64,
    },
    Data {
        from: usize,
        to: usize,
        number: u64,
        bytes: Vec<u8>,
    },
}

/// A step of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Choice {
    /// The oldest message arrives; if none is in flight, time passes to the next timer.
    Deliver,
    /// The oldest datagram is lost.
    Lose,
    /// The oldest message is delayed until after all that are in flight now.
    Delay,
    /// Time passes to the next timer although messages are in flight.
    PassTime,
    /// A router crashes.
    Crash(usize),
    /// The crashed router starts again.
    Restart,
}

/// Three routers with their disks and the network between them.
struct Simulation {
    now: Duration,
    machines: Vec<Option<Consensus>>,
    handles: Vec<Arc<PolicyHandle>>,
    disks: Vec<MemoryDisk>,
    in_flight: VecDeque<InFlight>,
    /// The open connections: from the opener and its number of the connection to the accepter and its number
    /// of it.
    connections: BTreeMap<(usize, u64), (usize, u64)>,
    accepted_connections: u64,
    starts: u64,
    /// A hash of all input of each router.
    input_hashes: [u64; ROUTERS],
    crashed_router: Option<usize>,
    /// The newest epoch that a router has been in, and since when.
    newest_epoch: (u64, Duration),
    overlap: Duration,
    /// The newest epoch that each router has been in, over all its starts.
    reached_epochs: [u64; ROUTERS],
    /// Whether a router has returned to an earlier epoch.
    returned_to_earlier_epoch: bool,
}

impl Simulation {
    fn new() -> Simulation {
        let voters: Vec<VoterIdentity> = (0..ROUTERS)
            .map(|router| VoterIdentity { name: format!("r{router}"), disk: router as u64 + 1 })
            .collect();
        let configuration =
            Configuration { number: 1, voters, initial_state: PolicyState::founded("one", "r0", 0) };
        let disks: Vec<MemoryDisk> = (0..ROUTERS)
            .map(|router| MemoryDisk(Arc::new(Mutex::new(initial_file(router as u64 + 1, &configuration)))))
            .collect();
        let mut simulation = Simulation {
            now: Duration::from_secs(1),
            machines: Vec::new(),
            handles: vec![Arc::default(); ROUTERS],
            disks,
            in_flight: VecDeque::new(),
            connections: BTreeMap::new(),
            accepted_connections: 0,
            starts: 0,
            input_hashes: [0; ROUTERS],
            crashed_router: None,
            newest_epoch: (0, Duration::ZERO),
            overlap: Duration::ZERO,
            reached_epochs: [0; ROUTERS],
            returned_to_earlier_epoch: false,
        };
        for router in 0..ROUTERS {
            simulation.machines.push(None);
            simulation.start(router);
        }
        // Runs until a router leads, all earlier leases have ended, and no message is in flight.
        while simulation.now < Duration::from_millis(5_200) || !simulation.in_flight.is_empty() {
            simulation.deliver_next();
        }
        assert_eq!(simulation.epochs(), [1; ROUTERS]);
        let proposal = Proposal {
            id: "x".into(),
            text: "two".into(),
            from: "r2".into(),
            submitted_unix_s: 0,
            base_epoch: 0,
            restores_epoch: None,
        };
        assert!(simulation.handles[2].submit(OperatorRequest::Propose(proposal)));
        simulation
    }

    fn start(&mut self, router: usize) {
        self.starts += 1;
        let handle = Arc::new(PolicyHandle::default());
        let config = ConsensusConfig {
            fleet: "f".into(),
            name: format!("r{router}"),
            founders: (0..ROUTERS).map(|n| format!("r{n}")).collect(),
            policy: "one".into(),
            partition_mode: PartitionMode::Refuse,
            max_datagram_len: 1_200,
        };
        let stored = read(&self.disks[router].0.lock().expect("the lock is not poisoned"));
        let startup = Startup {
            stored: Some(stored.map_err(Into::into)),
            disk: Box::new(self.disks[router].clone()),
            compiler: Box::new(|text: &str| {
                Ok(Arc::new(text.to_owned()) as slipreel_consensus::CompiledPolicy)
            }),
            directory: Box::new(AllRouters),
            seed: self.starts.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            unix_time_at_zero: Duration::ZERO,
            handle: handle.clone(),
        };
        self.handles[router] = handle;
        self.machines[router] = Some(Consensus::new(config, startup, self.now));
        self.hash_input(router, &("start", self.starts));
    }

    fn hash_input(&mut self, router: usize, input: &impl Hash) {
        let mut hasher = DefaultHasher::new();
        (self.input_hashes[router], self.now).hash(&mut hasher);
        input.hash(&mut hasher);
        self.input_hashes[router] = hasher.finish();
    }

    fn deliver_input(&mut self, router: usize, input: Input<'_>) {
        let Some(machine) = &mut self.machines[router] else { return };
        let mut out = Vec::new();
        machine.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Datagram(_, to, bytes) => {
                    self.in_flight.push_back(InFlight::Datagram { from: router, to: router_at(to), bytes });
                }
                Output::Connect(conn, to) => self.in_flight.push_back(InFlight::Open {
                    from: router,
                    to: router_at(to),
                    number: conn.0,
                }),
                Output::Write(conn, bytes) if conn.is_opened() => {
                    if let Some((to, _)) = self.connections.get(&(router, conn.0)) {
                        self.in_flight.push_back(InFlight::Data {
                            from: router,
                            to: *to,
                            number: conn.0,
                            bytes,
                        });
                    }
                }
                // Acknowledgements arrive at once.
                Output::Write(conn, bytes) => {
                    let opener = self
                        .connections
                        .iter()
                        .find(|(_, accepter)| **accepter == (router, conn.0))
                        .map(|(opener, _)| *opener);
                    if let Some((opener, number)) = opener {
                        self.deliver_input(opener, Input::Data(ConnId(number), &bytes));
                    }
                }
                Output::Abort(conn) | Output::CloseWhenSent(conn) => {
                    self.connections.remove(&(router, conn.0));
                }
                _ => {}
            }
        }
        self.observe_epochs();
    }

    fn epochs(&self) -> [u64; ROUTERS] {
        let epoch_of = |router: usize| {
            let permit = self.handles[router].permit();
            if self.machines[router].is_some() && permit.holds(self.now) {
                permit.epoch
            } else {
                0
            }
        };
        std::array::from_fn(epoch_of)
    }

    fn observe_epochs(&mut self) {
        let epochs = self.epochs();
        let greatest = epochs.iter().copied().max().unwrap_or(0);
        if greatest > self.newest_epoch.0 {
            self.newest_epoch = (greatest, self.now);
        }
        if epochs.iter().any(|epoch| *epoch != 0 && *epoch < self.newest_epoch.0) {
            self.overlap = self.overlap.max(self.now - self.newest_epoch.1);
        }
        for (reached, epoch) in self.reached_epochs.iter_mut().zip(epochs) {
            self.returned_to_earlier_epoch |= epoch != 0 && epoch < *reached;
            *reached = (*reached).max(epoch);
        }
    }

    fn deliver(&mut self, message: InFlight) {
        match message {
            InFlight::Datagram { from, to, bytes } => {
                self.hash_input(to, &(from, &bytes));
                self.deliver_input(to, Input::Datagram(ListenerId(0), address_of(from), &bytes));
            }
            InFlight::Open { from, to, number } => {
                if self.machines[to].is_none() {
                    self.hash_input(from, &("refused", number));
                    return self
                        .deliver_input(from, Input::Lost(ConnId(number), ConnectionLoss::NotConnected));
                }
                self.accepted_connections += 1;
                let accepted = self.accepted_connections;
                self.connections.insert((from, number), (to, accepted));
                self.hash_input(to, &("accepted", accepted));
                self.deliver_input(to, Input::Accepted(ConnId(accepted), ListenerId(0)));
                self.hash_input(from, &("connected", number));
                self.deliver_input(from, Input::Connected(ConnId(number)));
            }
            InFlight::Data { from, to, number, bytes } => {
                if let Some((_, accepted)) = self.connections.get(&(from, number)).copied() {
                    self.hash_input(to, &(from, &bytes));
                    self.deliver_input(to, Input::Data(ConnId(accepted), &bytes));
                }
            }
        }
    }

    fn pass_time(&mut self) {
        let due = self.machines.iter().flatten().filter_map(Machine::wake_at).min();
        self.now = self.now.max(due.unwrap_or(self.now));
        for router in 0..ROUTERS {
            if self.machines[router].as_ref().and_then(Machine::wake_at).is_some_and(|at| at <= self.now) {
                self.hash_input(router, &"wake");
                self.deliver_input(router, Input::Wake);
            }
        }
        self.observe_epochs();
    }

    fn deliver_next(&mut self) {
        match self.in_flight.pop_front() {
            Some(message) => self.deliver(message),
            None => self.pass_time(),
        }
    }

    fn crash(&mut self, router: usize) {
        self.machines[router] = None;
        self.crashed_router = Some(router);
        let is_lost = |opener: &usize, accepter: &usize| *opener == router || *accepter == router;
        let lost: Vec<((usize, u64), (usize, u64))> = self
            .connections
            .iter()
            .filter(|((opener, _), (accepter, _))| is_lost(opener, accepter))
            .map(|(opened, accepted)| (*opened, *accepted))
            .collect();
        for ((opener, number), (accepter, accepted)) in lost {
            self.connections.remove(&(opener, number));
            let (other, id) = if opener == router { (accepter, accepted) } else { (opener, number) };
            self.hash_input(other, &("lost", id));
            self.deliver_input(other, Input::Lost(ConnId(id), ConnectionLoss::Reset));
        }
    }

    fn take_step(&mut self, choice: Choice) {
        match choice {
            Choice::Deliver => self.deliver_next(),
            Choice::Lose => {
                let index =
                    self.in_flight.iter().position(|message| matches!(message, InFlight::Datagram { .. }));
                index.map(|index| self.in_flight.remove(index));
            }
            Choice::Delay => {
                if let Some(first) = self.in_flight.pop_front() {
                    self.in_flight.push_back(first);
                }
            }
            Choice::PassTime => self.pass_time(),
            Choice::Crash(router) => self.crash(router),
            Choice::Restart => {
                if let Some(router) = self.crashed_router.take() {
                    self.start(router);
                }
            }
        }
    }

    fn change_is_complete(&self) -> bool {
        self.crashed_router.is_none()
            && self.in_flight.is_empty()
            && self.epochs().iter().all(|epoch| *epoch == self.newest_epoch.0)
            && self.handles.iter().all(|handle| handle.status().pending.is_none())
            && self.newest_epoch.0 == 2
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.input_hashes, self.now, self.crashed_router, &self.in_flight, &self.connections)
            .hash(&mut hasher);
        hasher.finish()
    }
}

#[derive(Clone, Debug)]
struct State {
    path: Vec<Choice>,
    fingerprint: u64,
    overlap: Duration,
    returned_to_earlier_epoch: bool,
    has_conflicting_outcomes: bool,
    complete: bool,
    can_lose: bool,
    several_in_flight: bool,
    router_is_down: bool,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.fingerprint == other.fingerprint && self.disturbances() == other.disturbances()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.fingerprint, self.disturbances()).hash(hasher);
    }
}

impl State {
    /// The number of disturbances so far: crashes, lost messages, delayed messages, and time that passed
    /// while messages were in flight.
    fn disturbances(&self) -> [usize; 4] {
        let count = |which: fn(&Choice) -> bool| self.path.iter().filter(|choice| which(choice)).count();
        [
            count(|choice| matches!(choice, Choice::Crash(_))),
            count(|choice| *choice == Choice::Lose),
            count(|choice| *choice == Choice::Delay),
            count(|choice| *choice == Choice::PassTime),
        ]
    }
}

/// The model of one change: all schedules within these bounds.
struct ChangeModel {
    /// The most disturbances of each kind, in the order of [`State::disturbances`].
    max_by_kind: [usize; 4],
    /// The most disturbances in all.
    max_total: usize,
    /// The most steps of a schedule, from the proposal on.
    depth: usize,
}

thread_local! {
    static LAST_SIMULATION: RefCell<Option<(Vec<Choice>, Simulation)>> = const { RefCell::new(None) };
}

impl ChangeModel {
    /// The state after these steps. The last simulation is continued if its steps are the first of these.
    fn reach(path: &[Choice]) -> State {
        LAST_SIMULATION.with(|last| {
            let cached = last.borrow_mut().take();
            let (done, mut simulation) = match cached {
                Some((steps, simulation)) if path.starts_with(&steps) => (steps.len(), simulation),
                _ => (0, Simulation::new()),
            };
            path[done..].iter().for_each(|choice| simulation.take_step(*choice));
            let statuses: Vec<ProposalStatus> =
                simulation.handles.iter().map(|handle| handle.status().proposal_status("x")).collect();
            let in_force = statuses.iter().any(|status| matches!(status, ProposalStatus::InForce(_)));
            let state = State {
                path: path.to_vec(),
                fingerprint: simulation.fingerprint(),
                overlap: simulation.overlap,
                returned_to_earlier_epoch: simulation.returned_to_earlier_epoch,
                has_conflicting_outcomes: in_force
                    && statuses.iter().any(|status| matches!(status, ProposalStatus::Dropped(_))),
                complete: simulation.change_is_complete(),
                can_lose: simulation
                    .in_flight
                    .iter()
                    .any(|message| matches!(message, InFlight::Datagram { .. })),
                several_in_flight: simulation.in_flight.len() > 1,
                router_is_down: simulation.crashed_router.is_some(),
            };
            *last.borrow_mut() = Some((path.to_vec(), simulation));
            state
        })
    }
}

impl Model for ChangeModel {
    type State = State;
    type Action = Choice;

    fn init_states(&self) -> Vec<State> {
        vec![ChangeModel::reach(&[])]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Choice>) {
        if state.complete || state.path.len() >= self.depth {
            return;
        }
        let disturbances = state.disturbances();
        let is_permitted = |kind: usize| {
            disturbances[kind] < self.max_by_kind[kind] && disturbances.iter().sum::<usize>() < self.max_total
        };
        if is_permitted(0) && !state.router_is_down {
            actions.extend((0..ROUTERS).map(Choice::Crash));
        }
        if is_permitted(1) && state.can_lose {
            actions.push(Choice::Lose);
        }
        if is_permitted(2) && state.several_in_flight {
            actions.push(Choice::Delay);
        }
        if is_permitted(3) && state.several_in_flight {
            actions.push(Choice::PassTime);
        }
        // The crashed router starts again at once, or after some time.
        let steps_since_crash = state.path.iter().rev().position(|choice| matches!(choice, Choice::Crash(_)));
        if state.router_is_down && steps_since_crash.is_some_and(|n| n % 24 == 0) {
            actions.push(Choice::Restart);
        }
        actions.push(Choice::Deliver);
    }

    fn next_state(&self, last: &State, action: Choice) -> Option<State> {
        let path: Vec<Choice> = last.path.iter().copied().chain([action]).collect();
        Some(ChangeModel::reach(&path))
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two epochs at once", |_, state: &State| state.overlap <= MAX_OVERLAP),
            Property::always("no router returns to an earlier epoch", |_, state: &State| {
                !state.returned_to_earlier_epoch
            }),
            Property::always("one outcome", |_, state: &State| !state.has_conflicting_outcomes),
            Property::sometimes("the change comes into force", |_, state: &State| state.complete),
        ]
    }
}

fn explore(model: ChangeModel, target_states: usize) {
    let begin = std::time::Instant::now();
    let ChangeModel { max_by_kind, max_total, depth } = model;
    let checker = model.checker().target_state_count(target_states).spawn_dfs().join();
    println!(
        "disturbances {max_by_kind:?}, {max_total} in all, {depth} choices: {} states, {} of them different, {:.1} s, {}",
        checker.state_count(),
        checker.unique_state_count(),
        begin.elapsed().as_secs_f64(),
        if checker.state_count() < target_states { "all of them" } else { "cut short" }
    );
    checker.assert_properties();
}

#[test]
fn crash_at_any_moment_of_a_change_breaks_no_property() {
    explore(ChangeModel { max_by_kind: [1, 0, 0, 0], max_total: 1, depth: 160 }, 60_000);
}

#[test]
fn lost_or_delayed_message_at_any_moment_of_a_change_breaks_no_property() {
    explore(ChangeModel { max_by_kind: [0, 1, 1, 1], max_total: 1, depth: 400 }, 20_000);
}

/// Takes minutes, and is run manually.
#[test]
#[ignore = "takes minutes"]
fn crash_and_lost_or_delayed_message_at_any_moments_of_a_change_break_no_property() {
    explore(ChangeModel { max_by_kind: [1, 1, 1, 1], max_total: 2, depth: 400 }, 2_000_000);
}
