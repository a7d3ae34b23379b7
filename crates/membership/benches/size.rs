//! What a view costs and how soon it tells, by size of the fleet, in virtual time: the machine of this crate beside two plain ones, a SWIM as
//! its paper has it (Das, Gupta and Motivala, 2002: probes, indirect probes, suspicion, news carried along) and heartbeats between all.
//!
//! `cargo bench -p slipreel-membership --bench size [-- MEMBERS... view swim beats]`; all figures are simulated.

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

const LOSS: [f64; 3] = [0.0, 0.1, 0.3];
/// How long the fleet is watched without a fault.
const QUIET: Duration = Duration::from_secs(30);
/// How long a kill is waited for, and a start.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(100);
/// Members whose views are looked at, at most.
const OBSERVERS: usize = 24;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, (n >> 8) as u8, n as u8], 7000))
}

fn number(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn below(rng: &mut Xoshiro256PlusPlus, n: usize) -> usize {
    (rng.next_u64() % n.max(1) as u64) as usize
}

// ---- Heartbeats between all ---------------------------------------------------------------------

/// Each tells all others five times a second that it lives; gone after as much silence as in the view. Everybody is known from a list.
struct Beats {
    me: usize,
    last_heard: Vec<Duration>,
    next: Duration,
}

impl Beats {
    fn handle(&mut self, now: Duration, input: &Input<'_>, out: &mut Vec<Output>) {
        if let Input::Datagram(_, from, _) = input {
            self.last_heard[number(*from)] = now;
        }
        while now >= self.next {
            self.next += timing::ROUND_INTERVAL;
            for to in (0..self.last_heard.len()).filter(|&to| to != self.me) {
                out.push(Output::Datagram(ListenerId(0), addr(to), vec![0; 16]));
            }
        }
    }

    fn sees(&self, now: Duration, n: usize) -> bool {
        n == self.me || now < self.last_heard[n] + timing::gone_after(0)
    }
}

// ---- A plain SWIM -------------------------------------------------------------------------------

/// The paper's period, and the wait for an answer before others are asked to probe.
const PERIOD: Duration = Duration::from_millis(1_000);
const ANSWER: Duration = Duration::from_millis(300);
const INDIRECT: usize = 3;
/// Bytes of one piece of news: a number of a member, its incarnation and state, as compact as an address with a port allows.
const NEWS: usize = 12;
/// News that one datagram carries.
const CARRIED: usize = 1_350 / NEWS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Health {
    Alive,
    Suspect,
    Dead,
}

#[derive(Clone, Copy)]
struct Known {
    health: Health,
    incarnation: u32,
    since: Duration,
    /// How often this was told on.
    told: u32,
}

enum Kind {
    Ping,
    Ack,
    /// Probe this one for me.
    Ask,
    /// An answer by way of another.
    Relayed,
    Join,
    /// All that is known, for one that joins.
    Whole,
}

struct Swim {
    me: usize,
    incarnation: u32,
    known: BTreeMap<usize, Known>,
    order: Vec<usize>,
    next: Duration,
    /// The one probed in this period, whether it has answered, and whether others were asked.
    probed: Option<(usize, bool, bool)>,
    /// Who asked for a probe of whom.
    asked: HashMap<usize, Vec<usize>>,
    rng: Xoshiro256PlusPlus,
}

impl Swim {
    fn suspicion(&self) -> Duration {
        PERIOD.mul_f64(4.0 * ((self.known.len() + 1) as f64).log10().max(1.0))
    }

    fn times(&self) -> u32 {
        3 * (usize::BITS - self.known.len().leading_zeros())
    }

    /// A message: kind, about whom, and news, those told least often first.
    fn send(&mut self, to: usize, kind: Kind, about: usize, out: &mut Vec<Output>) {
        let most = if matches!(kind, Kind::Whole) { usize::MAX } else { CARRIED };
        let times = self.times();
        let whole = matches!(kind, Kind::Whole);
        let mut news: Vec<usize> =
            self.known.iter().filter(|(_, k)| whole || k.told < times).map(|(&n, _)| n).collect();
        news.sort_by_key(|n| self.known[n].told);
        news.truncate(most);
        let mut bytes = vec![kind as u8];
        bytes.extend((about as u32).to_le_bytes());
        bytes.extend(self.incarnation.to_le_bytes());
        for n in news {
            let known = self.known.get_mut(&n).expect("known");
            known.told += u32::from(!whole);
            bytes.extend((n as u32).to_le_bytes());
            bytes.extend(known.incarnation.to_le_bytes());
            bytes.extend((known.health as u32).to_le_bytes());
        }
        out.push(Output::Datagram(ListenerId(0), addr(to), bytes));
    }

    fn merge_record(&mut self, now: Duration, n: usize, incarnation: u32, health: Health) {
        if n == self.me {
            if health != Health::Alive && incarnation >= self.incarnation {
                self.incarnation = incarnation + 1;
                // Told on as news of oneself.
                let told =
                    Known { health: Health::Alive, incarnation: self.incarnation, since: now, told: 0 };
                self.known.insert(n, told);
            }
            return;
        }
        let newer = match self.known.get(&n) {
            None => true,
            Some(k) if k.health == Health::Dead || health == Health::Dead => {
                k.health != Health::Dead || incarnation > k.incarnation
            }
            Some(k) => (incarnation, health) > (k.incarnation, k.health),
        };
        if newer {
            self.known.insert(n, Known { health, incarnation, since: now, told: 0 });
            self.order.clear();
        }
    }

    fn handle(&mut self, now: Duration, input: &Input<'_>, out: &mut Vec<Output>) {
        if let Input::Datagram(_, from, bytes) = input {
            let from = number(*from);
            let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"));
            self.merge_record(now, from, word(5), Health::Alive);
            for at in (9..bytes.len()).step_by(NEWS) {
                let health = [Health::Alive, Health::Suspect, Health::Dead][word(at + 8) as usize];
                self.merge_record(now, word(at) as usize, word(at + 4), health);
            }
            let about = word(1) as usize;
            match bytes[0] {
                0 => self.send(from, Kind::Ack, self.me, out),
                2 => {
                    self.asked.entry(about).or_default().push(from);
                    self.send(about, Kind::Ping, about, out);
                }
                1 | 3 => {
                    if let Some((probed, answered, _)) = &mut self.probed {
                        *answered |= *probed == about;
                    }
                    for asker in self.asked.remove(&about).unwrap_or_default() {
                        self.send(asker, Kind::Relayed, about, out);
                    }
                }
                4 => self.send(from, Kind::Whole, from, out),
                _ => {}
            }
        }
        if let Some((probed, false, false)) = self.probed {
            if now + (PERIOD - ANSWER) >= self.next {
                self.probed = Some((probed, false, true));
                let others: Vec<usize> = self.present().filter(|&n| n != probed).collect();
                for _ in 0..INDIRECT.min(others.len()) {
                    let to = others[below(&mut self.rng, others.len())];
                    self.send(to, Kind::Ask, probed, out);
                }
            }
        }
        if now < self.next {
            return;
        }
        if let Some((probed, false, _)) = self.probed {
            if let Some(k) = self.known.get(&probed).copied().filter(|k| k.health == Health::Alive) {
                self.merge_record(now, probed, k.incarnation, Health::Suspect);
            }
        }
        self.next = now + PERIOD;
        self.asked.clear();
        let wait = self.suspicion();
        let due = |k: &Known| k.health == Health::Suspect && now >= k.since + wait;
        let dead: Vec<(usize, u32)> =
            self.known.iter().filter(|(_, k)| due(k)).map(|(&n, k)| (n, k.incarnation)).collect();
        for (n, incarnation) in dead {
            self.merge_record(now, n, incarnation, Health::Dead);
        }
        if self.known.is_empty() {
            return self.send(0, Kind::Join, self.me, out);
        }
        if self.order.is_empty() {
            self.order = self.present().collect();
            for at in (1..self.order.len()).rev() {
                self.order.swap(at, below(&mut self.rng, at + 1));
            }
        }
        self.probed = self.order.pop().map(|n| (n, false, false));
        if let Some((probed, ..)) = self.probed {
            self.send(probed, Kind::Ping, probed, out);
        }
    }

    fn present(&self) -> impl Iterator<Item = usize> + '_ {
        self.known.iter().filter(|(&n, k)| k.health != Health::Dead && n != self.me).map(|(&n, _)| n)
    }

    fn due(&self) -> Duration {
        match self.probed {
            Some((_, false, false)) => self.next - (PERIOD - ANSWER),
            _ => self.next,
        }
    }
}

// ---- The run ------------------------------------------------------------------------------------

enum Which {
    Gossip(Box<Membership>),
    Swim(Box<Swim>),
    Beats(Beats),
}

/// A member behind a lossy link; counts what it sends.
struct Member {
    kind: Which,
    loss: f64,
    rng: Xoshiro256PlusPlus,
    sent: u64,
    bytes: u64,
}

impl Machine for Member {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let lost = matches!(input, Input::Datagram(..))
            && (self.rng.next_u64() >> 11) as f64 / ((1u64 << 53) as f64) < self.loss;
        let input = if lost { Input::Wake } else { input };
        let from = out.len();
        match &mut self.kind {
            Which::Gossip(m) => m.handle(now, input, out),
            Which::Swim(m) => m.handle(now, &input, out),
            Which::Beats(m) => m.handle(now, &input, out),
        }
        out.retain(|o| !matches!(o, Output::Log(_)));
        for output in out.iter().skip(from) {
            if let Output::Datagram(_, _, bytes) | Output::Write(_, bytes) = output {
                self.sent += 1;
                self.bytes += bytes.len() as u64;
            }
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match &self.kind {
            Which::Gossip(m) => m.wake_at(),
            Which::Swim(m) => Some(m.due()),
            Which::Beats(m) => Some(m.next),
        }
    }
}

impl Member {
    /// Whether it believes that another one is there.
    fn sees(&self, now: Duration, n: usize) -> bool {
        match &self.kind {
            Which::Gossip(m) => m.table().get(&name(n)).is_some_and(|e| e.state != MemberState::Gone),
            Which::Swim(m) => n == m.me || m.known.get(&n).is_some_and(|k| k.health != Health::Dead),
            Which::Beats(m) => m.sees(now, n),
        }
    }
}

fn name(n: usize) -> String {
    format!("router-{n:04}")
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protocol {
    View,
    Swim,
    Beats,
}

fn member(
    protocol: Protocol, n: usize, members: usize, now: Duration, rng: &mut Xoshiro256PlusPlus,
) -> Which {
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
            let board = Arc::new(SharedView::default());
            Which::Gossip(Box::new(Membership::new(
                settings,
                peers,
                &SavedState::default(),
                rng.next_u64(),
                now,
                board,
            )))
        }
        Protocol::Swim => Which::Swim(Box::new(Swim {
            me: n,
            incarnation: 1,
            known: BTreeMap::new(),
            order: Vec::new(),
            next: first,
            probed: None,
            asked: HashMap::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(rng.next_u64()),
        })),
        Protocol::Beats => Which::Beats(Beats { me: n, last_heard: vec![now; members], next: first }),
    }
}

fn secs(at: Option<Duration>) -> String {
    at.map_or_else(|| "never".into(), |at| format!("{:.1}", at.as_secs_f64()))
}

/// Plays one fleet and prints a line.
fn play(protocol: Protocol, members: usize, loss: f64) {
    let wall = Instant::now();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(members as u64 * 31 + (loss * 100.0) as u64);
    let start = Duration::from_secs(1 << 20);
    let delays =
        Delays { one_way: Duration::from_micros(500), jitter: Duration::from_millis(2), ..Delays::default() };
    let mut world: World<Member> = World::new(start, delays, rng.next_u64());
    for n in 0..members {
        let kind = member(protocol, n, members, start, &mut rng);
        let own = Xoshiro256PlusPlus::seed_from_u64(rng.next_u64());
        let node = world.add(Member { kind, loss, rng: own, sent: 0, bytes: 0 }, &[addr(n)]);
        world.open_datagram_sockets(node, &[addr(n)]);
    }
    // The dead are the last ones; those who look are spread over the rest.
    let dead = members.div_ceil(50);
    let living = members - dead;
    let step = living.div_ceil(OBSERVERS).max(1);
    let observers: Vec<usize> = (0..living).step_by(step).collect();
    // All are seen by all who look.
    let mut joined = None;
    while joined.is_none() && world.now() < start + PATIENCE {
        let next = world.now() + LOOK;
        world.run_until(next);
        let all = |&o: &usize| (0..members).all(|n| n == o || world.machine(o).sees(next, n));
        joined = observers.iter().all(all).then(|| next - start);
    }
    // Quiet: cost, and alarms that are false.
    let settle = world.now() + Duration::from_secs(10);
    world.run_until(settle);
    let before: Vec<(u64, u64)> =
        (0..members).map(|n| (world.machine(n).sent, world.machine(n).bytes)).collect();
    let mut alarms = 0u64;
    let mut missed = vec![vec![false; members]; observers.len()];
    let quiet_end = settle + QUIET;
    while world.now() < quiet_end {
        let next = world.now() + LOOK;
        world.run_until(next);
        for (row, &o) in missed.iter_mut().zip(&observers) {
            for (n, was) in row.iter_mut().enumerate() {
                let gone = n != o && !world.machine(o).sees(next, n);
                alarms += u64::from(gone && !*was);
                *was = gone;
            }
        }
    }
    let per = members as f64 * QUIET.as_secs_f64();
    let sent: u64 = (0..members).map(|n| world.machine(n).sent - before[n].0).sum();
    let bytes: u64 = (0..members).map(|n| world.machine(n).bytes - before[n].1).sum();
    // One in fifty is killed.
    let killed = world.now();
    (living..members).for_each(|n| world.kill(n));
    let (mut first, mut last, mut one_view) = (None, None, None);
    while (last.is_none() || one_view.is_none()) && world.now() < killed + PATIENCE {
        let next = world.now() + LOOK;
        world.run_until(next);
        let gone = |&o: &usize| (living..members).filter(|&n| !world.machine(o).sees(next, n)).count();
        let counts: Vec<usize> = observers.iter().map(gone).collect();
        first = first.or_else(|| counts.iter().any(|&c| c > 0).then(|| next - killed));
        last = last.or_else(|| counts.iter().all(|&c| c == dead).then(|| next - killed));
        let exact =
            |&o: &usize| (0..members).all(|n| n == o || world.machine(o).sees(next, n) == (n < living));
        one_view = one_view.or_else(|| observers.iter().all(exact).then(|| next - killed));
    }
    println!(
        "{:<6} {members:>5} {:>4.0}% | {:>6} | {:>8.1} {:>9.0} | {:>6} | {:>6} {:>6} {:>6} | {:.1} s",
        format!("{protocol:?}").to_lowercase(),
        loss * 100.0,
        secs(joined),
        sent as f64 / per,
        bytes as f64 / per,
        alarms,
        secs(first),
        secs(last),
        secs(one_view),
        wall.elapsed().as_secs_f64()
    );
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Vec<usize> = words.iter().filter_map(|a| a.parse().ok()).collect();
    let all = [("view", Protocol::View), ("swim", Protocol::Swim), ("beats", Protocol::Beats)];
    let named = |name: &str| words.iter().any(|w| w == name);
    let some = all.iter().any(|(name, _)| named(name));
    let sizes = if sizes.is_empty() { vec![10, 100, 500, 2_000] } else { sizes };
    println!(
        "what   members loss | joined | messages     bytes | false  | kill:         of 2%  | run\n\
         {:27} s | a member and second | alarms | first  all s one view |",
        ""
    );
    for members in sizes {
        for loss in LOSS {
            for (name, protocol) in all {
                // Heartbeats of 2,000 are 20 million messages a second: their cost is known without playing them.
                if (named(name) || !some) && (protocol != Protocol::Beats || members <= 500) {
                    play(protocol, members, loss);
                }
            }
        }
    }
}
