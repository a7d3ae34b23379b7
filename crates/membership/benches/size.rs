//! Traffic and detection times of membership protocols by size of the fleet, simulated in virtual time.
//!
//! The state machine of this crate (`view`) is compared with two simple ones: SWIM as in its paper (Das,
//! Gupta and Motivala, 2002: probes, indirect probes, suspicion, piggybacked updates), and heartbeats from
//! each member to all others (`beats`).
//!
//! `cargo bench -p slipreel-membership --bench size [-- MEMBERS... view swim beats]`

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_membership::{
    timing, MemberState, Membership, MembershipSettings, Peers, SavedState, SharedView,
};
use slipreel_state_machine::{Input, ListenerId, Machine, Output};
use slipreel_test_servers::memory::{Delays, World};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Shares of datagrams that are lost.
const LOSS_RATES: [f64; 3] = [0.0, 0.1, 0.3];
/// How long the fleet is observed without a fault.
const FAULT_FREE_TIME: Duration = Duration::from_secs(30);
/// How long to wait until all members have joined, and until killed ones are detected.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Time between two samples of the views.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of members whose views are sampled.
const MAX_OBSERVERS: usize = 24;

/// The address of member `n`.
fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (n >> 8) as u8, n as u8], 7000))
}

/// The number of the member at an address.
fn member_number(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Draws an index below `n` at random.
fn random_index(rng: &mut Xoshiro256PlusPlus, n: usize) -> usize {
    (rng.next_u64() % n.max(1) as u64) as usize
}

// ---- Heartbeats from each member to all others --------------------------------------------------

/// Sends a heartbeat to all other members five times a second. A member is gone after the same silence as in
/// this crate. All members are known from the start.
struct AllToAllHeartbeats {
    own_number: usize,
    last_heard: Vec<Duration>,
    next_round: Duration,
}

impl AllToAllHeartbeats {
    fn handle(&mut self, now: Duration, input: &Input<'_>, out: &mut Vec<Output>) {
        if let Input::Datagram(_, from, _) = input {
            self.last_heard[member_number(*from)] = now;
        }
        while now >= self.next_round {
            self.next_round += timing::ROUND_INTERVAL;
            for to in (0..self.last_heard.len()).filter(|&to| to != self.own_number) {
                out.push(Output::Datagram(ListenerId(0), addr(to), vec![0; 16]));
            }
        }
    }

    fn sees(&self, now: Duration, n: usize) -> bool {
        n == self.own_number || now < self.last_heard[n] + timing::gone_after(0)
    }
}

// ---- SWIM ---------------------------------------------------------------------------------------

/// The protocol period of the paper: one member is probed in each.
const PROBE_PERIOD: Duration = Duration::from_millis(1_000);
/// How long to wait for an answer before other members are asked to probe.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of members that are asked to probe.
const INDIRECT_PROBES: usize = 3;
/// Length of an update in bytes: the number of a member, its incarnation and its state. A compact encoding
/// with an address and a port takes as much.
const UPDATE_LEN: usize = 12;
/// The maximum number of updates in a datagram.
const MAX_UPDATES: usize = 1_350 / UPDATE_LEN;

/// The state of a member. Of two states with one incarnation the later one here takes precedence.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Alive,
    Suspect,
    Dead,
}

/// What is known of a member.
#[derive(Clone, Copy)]
struct KnownMember {
    health: Health,
    incarnation: u32,
    since: Duration,
    /// The number of messages that have carried this update.
    transmissions: u32,
}

/// The kind of a message; its number is the first byte.
enum MessageKind {
    Ping,
    Ack,
    /// Asks the receiver to probe a member.
    PingRequest,
    /// An answer to an indirect probe, forwarded by the member that probed.
    ForwardedAck,
    Join,
    /// The full state, for a member that joins.
    FullState,
}

/// A member of a SWIM fleet.
struct Swim {
    own_number: usize,
    incarnation: u32,
    known: BTreeMap<usize, KnownMember>,
    /// The members to probe next, the last one first.
    probe_order: Vec<usize>,
    next_period: Duration,
    /// The member that is probed in this period, whether it has answered, and whether others were asked to
    /// probe it.
    probed: Option<(usize, bool, bool)>,
    /// The members that asked for a probe, by the number of the probed member.
    probe_requesters: HashMap<usize, Vec<usize>>,
    rng: Xoshiro256PlusPlus,
}

impl Swim {
    /// How long a member is suspect before it counts as dead.
    fn suspicion_timeout(&self) -> Duration {
        PROBE_PERIOD.mul_f64(4.0 * ((self.known.len() + 1) as f64).log10().max(1.0))
    }

    /// The number of messages that carry an update.
    fn max_transmissions(&self) -> u32 {
        3 * (usize::BITS - self.known.len().leading_zeros())
    }

    /// Sends a message: its kind, the number of the member that it concerns, and updates, least often
    /// transmitted first.
    fn send(&mut self, to: usize, kind: MessageKind, subject: usize, out: &mut Vec<Output>) {
        let max_updates = if matches!(kind, MessageKind::FullState) { usize::MAX } else { MAX_UPDATES };
        let max_transmissions = self.max_transmissions();
        let is_full_state = matches!(kind, MessageKind::FullState);
        let mut updates: Vec<usize> = self
            .known
            .iter()
            .filter(|(_, k)| is_full_state || k.transmissions < max_transmissions)
            .map(|(&n, _)| n)
            .collect();
        updates.sort_by_key(|n| self.known[n].transmissions);
        updates.truncate(max_updates);
        let mut bytes = vec![kind as u8];
        bytes.extend((subject as u32).to_le_bytes());
        bytes.extend(self.incarnation.to_le_bytes());
        for n in updates {
            let known = self.known.get_mut(&n).expect("known");
            known.transmissions += u32::from(!is_full_state);
            bytes.extend((n as u32).to_le_bytes());
            bytes.extend(known.incarnation.to_le_bytes());
            bytes.extend((known.health as u32).to_le_bytes());
        }
        out.push(Output::Datagram(ListenerId(0), addr(to), bytes));
    }

    /// Applies an update of member `n` if it is newer than what is known; refutes one that says that this
    /// member is suspect or dead.
    fn apply_update(&mut self, now: Duration, n: usize, incarnation: u32, health: Health) {
        if n == self.own_number {
            if health != Health::Alive && incarnation >= self.incarnation {
                self.incarnation = incarnation + 1;
                // Sent to others as an update about this member.
                let refutation = KnownMember {
                    health: Health::Alive,
                    incarnation: self.incarnation,
                    since: now,
                    transmissions: 0,
                };
                self.known.insert(n, refutation);
            }
            return;
        }
        let is_newer = match self.known.get(&n) {
            None => true,
            Some(k) if k.health == Health::Dead || health == Health::Dead => {
                k.health != Health::Dead || incarnation > k.incarnation
            }
            Some(k) => (incarnation, health) > (k.incarnation, k.health),
        };
        if is_newer {
            self.known.insert(n, KnownMember { health, incarnation, since: now, transmissions: 0 });
            self.probe_order.clear();
        }
    }

    fn handle(&mut self, now: Duration, input: &Input<'_>, out: &mut Vec<Output>) {
        if let Input::Datagram(_, from, bytes) = input {
            let from = member_number(*from);
            let number_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"));
            self.apply_update(now, from, number_at(5), Health::Alive);
            for at in (9..bytes.len()).step_by(UPDATE_LEN) {
                let health = [Health::Alive, Health::Suspect, Health::Dead][number_at(at + 8) as usize];
                self.apply_update(now, number_at(at) as usize, number_at(at + 4), health);
            }
            let subject = number_at(1) as usize;
            match bytes[0] {
                0 => self.send(from, MessageKind::Ack, self.own_number, out),
                2 => {
                    self.probe_requesters.entry(subject).or_default().push(from);
                    self.send(subject, MessageKind::Ping, subject, out);
                }
                1 | 3 => {
                    if let Some((probed, answered, _)) = &mut self.probed {
                        *answered |= *probed == subject;
                    }
                    for requester in self.probe_requesters.remove(&subject).unwrap_or_default() {
                        self.send(requester, MessageKind::ForwardedAck, subject, out);
                    }
                }
                4 => self.send(from, MessageKind::FullState, from, out),
                _ => {}
            }
        }
        if let Some((probed, false, false)) = self.probed {
            if now + (PROBE_PERIOD - DIRECT_PROBE_TIMEOUT) >= self.next_period {
                self.probed = Some((probed, false, true));
                let others: Vec<usize> = self.present().filter(|&n| n != probed).collect();
                for _ in 0..INDIRECT_PROBES.min(others.len()) {
                    let to = others[random_index(&mut self.rng, others.len())];
                    self.send(to, MessageKind::PingRequest, probed, out);
                }
            }
        }
        if now < self.next_period {
            return;
        }
        if let Some((probed, false, _)) = self.probed {
            if let Some(k) = self.known.get(&probed).copied().filter(|k| k.health == Health::Alive) {
                self.apply_update(now, probed, k.incarnation, Health::Suspect);
            }
        }
        self.next_period = now + PROBE_PERIOD;
        self.probe_requesters.clear();
        let timeout = self.suspicion_timeout();
        let is_due = |k: &KnownMember| k.health == Health::Suspect && now >= k.since + timeout;
        let dead: Vec<(usize, u32)> =
            self.known.iter().filter(|(_, k)| is_due(k)).map(|(&n, k)| (n, k.incarnation)).collect();
        for (n, incarnation) in dead {
            self.apply_update(now, n, incarnation, Health::Dead);
        }
        if self.known.is_empty() {
            return self.send(0, MessageKind::Join, self.own_number, out);
        }
        if self.probe_order.is_empty() {
            self.probe_order = self.present().collect();
            for at in (1..self.probe_order.len()).rev() {
                self.probe_order.swap(at, random_index(&mut self.rng, at + 1));
            }
        }
        self.probed = self.probe_order.pop().map(|n| (n, false, false));
        if let Some((probed, ..)) = self.probed {
            self.send(probed, MessageKind::Ping, probed, out);
        }
    }

    /// The numbers of the other members that are not dead.
    fn present(&self) -> impl Iterator<Item = usize> + '_ {
        self.known.iter().filter(|(&n, k)| k.health != Health::Dead && n != self.own_number).map(|(&n, _)| n)
    }

    /// When the machine has to run next.
    fn wake_at(&self) -> Duration {
        match self.probed {
            Some((_, false, false)) => self.next_period - (PROBE_PERIOD - DIRECT_PROBE_TIMEOUT),
            _ => self.next_period,
        }
    }
}

// ---- Simulation ---------------------------------------------------------------------------------

/// The state machine of a member, by protocol.
enum Detector {
    Gossip(Box<Membership>),
    Swim(Box<Swim>),
    AllToAll(AllToAllHeartbeats),
}

/// A member with a lossy link. It counts what it sends.
struct Member {
    detector: Detector,
    loss: f64,
    rng: Xoshiro256PlusPlus,
    sent_messages: u64,
    sent_bytes: u64,
}

impl Machine for Member {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let lost = matches!(input, Input::Datagram(..))
            && (self.rng.next_u64() >> 11) as f64 / ((1u64 << 53) as f64) < self.loss;
        let input = if lost { Input::Wake } else { input };
        let from = out.len();
        match &mut self.detector {
            Detector::Gossip(m) => m.handle(now, input, out),
            Detector::Swim(m) => m.handle(now, &input, out),
            Detector::AllToAll(m) => m.handle(now, &input, out),
        }
        out.retain(|o| !matches!(o, Output::Log(_)));
        for output in out.iter().skip(from) {
            if let Output::Datagram(_, _, bytes) | Output::Write(_, bytes) = output {
                self.sent_messages += 1;
                self.sent_bytes += bytes.len() as u64;
            }
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match &self.detector {
            Detector::Gossip(m) => m.wake_at(),
            Detector::Swim(m) => Some(m.wake_at()),
            Detector::AllToAll(m) => Some(m.next_round),
        }
    }
}

impl Member {
    /// Whether it regards member `n` as present.
    fn sees(&self, now: Duration, n: usize) -> bool {
        match &self.detector {
            Detector::Gossip(m) => m.table().get(&name(n)).is_some_and(|e| e.state != MemberState::Gone),
            Detector::Swim(m) => {
                n == m.own_number || m.known.get(&n).is_some_and(|k| k.health != Health::Dead)
            }
            Detector::AllToAll(m) => m.sees(now, n),
        }
    }
}

/// The name of member `n`.
fn name(n: usize) -> String {
    format!("router-{n:04}")
}

/// The protocols, by their names on the command line and in the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    View,
    Swim,
    Beats,
}

/// Creates the state machine of member `n`.
fn new_detector(
    protocol: Protocol, n: usize, members: usize, now: Duration, rng: &mut Xoshiro256PlusPlus,
) -> Detector {
    let first = now + Duration::from_micros(rng.next_u64() % 200_000);
    match protocol {
        Protocol::View => {
            let settings = MembershipSettings {
                fleet: "size".into(),
                name: name(n),
                address: addr(n),
                routers: 1,
                min_routers: 1,
                max_datagram: 1_400,
            };
            let peers = Peers { seeds: vec![addr(0)], address_table: BTreeMap::new() };
            let shared = Arc::new(SharedView::default());
            Detector::Gossip(Box::new(Membership::new(
                settings,
                peers,
                &SavedState::default(),
                rng.next_u64(),
                now,
                shared,
            )))
        }
        Protocol::Swim => Detector::Swim(Box::new(Swim {
            own_number: n,
            incarnation: 1,
            known: BTreeMap::new(),
            probe_order: Vec::new(),
            next_period: first,
            probed: None,
            probe_requesters: HashMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(rng.next_u64()),
        })),
        Protocol::Beats => Detector::AllToAll(AllToAllHeartbeats {
            own_number: n,
            last_heard: vec![now; members],
            next_round: first,
        }),
    }
}

/// Formats a time in seconds.
fn format_seconds(at: Option<Duration>) -> String {
    at.map_or_else(|| "never".into(), |at| format!("{:.1}", at.as_secs_f64()))
}

/// Simulates one fleet and prints a line of figures.
fn simulate(protocol: Protocol, members: usize, loss: f64) {
    let run_start = Instant::now();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(members as u64 * 31 + (loss * 100.0) as u64);
    let start = Duration::from_secs(1 << 20);
    let delays =
        Delays { one_way: Duration::from_micros(500), jitter: Duration::from_millis(2), ..Delays::default() };
    let mut world: World<Member> = World::new(start, delays, rng.next_u64());
    for n in 0..members {
        let detector = new_detector(protocol, n, members, start, &mut rng);
        let own_rng = Xoshiro256PlusPlus::seed_from_u64(rng.next_u64());
        let node =
            world.add(Member { detector, loss, rng: own_rng, sent_messages: 0, sent_bytes: 0 }, &[addr(n)]);
        world.open_datagram_sockets(node, &[addr(n)]);
    }
    // The members with the highest numbers will be killed; the observers are spread over the others.
    let killed_count = members.div_ceil(50);
    let surviving_count = members - killed_count;
    let step = surviving_count.div_ceil(MAX_OBSERVERS).max(1);
    let observers: Vec<usize> = (0..surviving_count).step_by(step).collect();
    // Joining: wait until every observer sees all members.
    let mut joined = None;
    while joined.is_none() && world.now() < start + WAIT_LIMIT {
        let next = world.now() + SAMPLE_INTERVAL;
        world.run_until(next);
        let all = |&o: &usize| (0..members).all(|n| n == o || world.machine(o).sees(next, n));
        joined = observers.iter().all(all).then(|| next - start);
    }
    // Without a fault: traffic and false alarms.
    let settled_at = world.now() + Duration::from_secs(10);
    world.run_until(settled_at);
    let before: Vec<(u64, u64)> =
        (0..members).map(|n| (world.machine(n).sent_messages, world.machine(n).sent_bytes)).collect();
    let mut false_alarms = 0u64;
    let mut seen_as_gone = vec![vec![false; members]; observers.len()];
    let fault_free_end = settled_at + FAULT_FREE_TIME;
    while world.now() < fault_free_end {
        let next = world.now() + SAMPLE_INTERVAL;
        world.run_until(next);
        for (row, &o) in seen_as_gone.iter_mut().zip(&observers) {
            for (n, was_gone) in row.iter_mut().enumerate() {
                let gone = n != o && !world.machine(o).sees(next, n);
                false_alarms += u64::from(gone && !*was_gone);
                *was_gone = gone;
            }
        }
    }
    let member_seconds = members as f64 * FAULT_FREE_TIME.as_secs_f64();
    let sent: u64 = (0..members).map(|n| world.machine(n).sent_messages - before[n].0).sum();
    let bytes: u64 = (0..members).map(|n| world.machine(n).sent_bytes - before[n].1).sum();
    // Kill one member in fifty, and wait until all observers have detected it.
    let killed_at = world.now();
    (surviving_count..members).for_each(|n| world.kill(n));
    let (mut first, mut last, mut one_view) = (None, None, None);
    while (last.is_none() || one_view.is_none()) && world.now() < killed_at + WAIT_LIMIT {
        let next = world.now() + SAMPLE_INTERVAL;
        world.run_until(next);
        let gone =
            |&o: &usize| (surviving_count..members).filter(|&n| !world.machine(o).sees(next, n)).count();
        let counts: Vec<usize> = observers.iter().map(gone).collect();
        first = first.or_else(|| counts.iter().any(|&c| c > 0).then(|| next - killed_at));
        last = last.or_else(|| counts.iter().all(|&c| c == killed_count).then(|| next - killed_at));
        let is_exact = |&o: &usize| {
            (0..members).all(|n| n == o || world.machine(o).sees(next, n) == (n < surviving_count))
        };
        one_view = one_view.or_else(|| observers.iter().all(is_exact).then(|| next - killed_at));
    }
    println!(
        "{:<6} {members:>5} {:>4.0}% | {:>6} | {:>8.1} {:>9.0} | {:>6} | {:>6} {:>6} {:>6} | {:.1} s",
        format!("{protocol:?}").to_lowercase(),
        loss * 100.0,
        format_seconds(joined),
        sent as f64 / member_seconds,
        bytes as f64 / member_seconds,
        false_alarms,
        format_seconds(first),
        format_seconds(last),
        format_seconds(one_view),
        run_start.elapsed().as_secs_f64()
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Vec<usize> = arguments.iter().filter_map(|a| a.parse().ok()).collect();
    let all = [("view", Protocol::View), ("swim", Protocol::Swim), ("beats", Protocol::Beats)];
    let is_selected = |name: &str| arguments.iter().any(|w| w == name);
    let has_selection = all.iter().any(|(name, _)| is_selected(name));
    let sizes = if sizes.is_empty() { vec![10, 100, 500, 2_000] } else { sizes };
    println!(
        "what   members loss | joined | messages     bytes | false  | kill:         of 2%  | run\n\
         {:27} s | a member and second | alarms | first  all s one view |",
        ""
    );
    for members in sizes {
        for loss in LOSS_RATES {
            for (name, protocol) in all {
                // Heartbeats of 2,000 members to all others are 20 million messages a second: their cost is
                // known without simulating them.
                if (is_selected(name) || !has_selection) && (protocol != Protocol::Beats || members <= 500) {
                    simulate(protocol, members, loss);
                }
            }
        }
    }
}
