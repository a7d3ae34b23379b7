//! Long legal sequences of events, drawn by seed, after which the five rules must hold by the actions
//! alone. It models no server and no load: outcomes are drawn, whatever was sent.

mod common;

use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SLACK: Duration = Duration::from_millis(16);

struct Out {
    engine: u64,
    sent: Duration,
    read: bool,
    begun: bool,
}

struct Open {
    deadline: Duration,
    class: usize,
    answered: bool,
    closed: bool,
    attempts: usize,
    out: BTreeMap<usize, Out>,
    /// Every earlier attempt that may have had an effect: when and where.
    ran: Vec<(Duration, u64)>,
    held: Option<Duration>,
}

struct World {
    rng: Xoshiro256PlusPlus,
    host: Host,
    settings: Settings,
    engines: BTreeMap<u64, Engine>,
    timers: Vec<(Duration, TimerId)>,
    open: BTreeMap<u64, Open>,
    next: u64,
    sends: usize,
}

impl World {
    fn new(settings: Settings, seed: u64) -> Self {
        Self::of(settings, seed, &[0, 0, 0, 1, 1, 1, 2])
    }

    /// A world of engines of these kinds.
    fn of(settings: Settings, seed: u64, kinds: &[usize]) -> Self {
        let engines: BTreeMap<u64, Engine> = (1..=kinds.len() as u64)
            .map(|id| (id, engine(id, kinds[id as usize - 1], id as u32 % 2)))
            .collect();
        let host =
            Host { router: Router::new(settings.clone(), seed), now: ms(50_000), mute: true, waiting: None };
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (timers, open) = (Vec::new(), BTreeMap::new());
        let mut world = World { rng, host, settings, engines, timers, open, next: 0, sends: 0 };
        world.complete_list();
        world
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn complete_list(&mut self) {
        let engines = self.engines.values().cloned().collect();
        let actions = self.host.list(Listing::Cached, engines);
        self.take(actions);
    }

    /// Checks what the router has asked for against what it may ask for.
    fn take(&mut self, actions: Vec<Action>) {
        let now = self.host.now;
        for action in actions {
            match action {
                Action::Send { request, engine, .. } => self.check_send(request.0, engine.0),
                Action::Reject { request, .. } => {
                    let harmless = {
                        let open = &self.open[&request.0];
                        open.ran.is_empty()
                            || matches!(
                                self.settings.classes[open.class].idempotency,
                                Idempotency::Idempotent
                                    | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
                            )
                    };
                    assert!(harmless, "a refusal after {request:?} may have run");
                    self.answer(request.0);
                }
                Action::Fail(request) => self.answer(request.0),
                Action::Release(request) => {
                    let open = self.open.get_mut(&request.0).expect("a request that was given");
                    open.held = None;
                }
                Action::Cancel { request, attempt } => {
                    assert!(attempt < self.open[&request.0].attempts, "an attempt never made");
                }
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                Action::Probe(engine) => assert!(self.engines.contains_key(&engine.0)),
                _ => {}
            }
        }
    }

    fn answer(&mut self, id: u64) {
        let now = self.host.now;
        let open = self.open.get_mut(&id).expect("a request that was given");
        assert!(!open.answered && !open.closed, "a second answer to {id}");
        assert!(now <= open.deadline + SLACK, "an answer after the deadline");
        open.answered = true;
    }

    fn check_send(&mut self, id: u64, engine: u64) {
        let now = self.host.now;
        let target = self.engines.get(&engine).expect("an engine of the list");
        assert_eq!(target.state, EngineState::Ready, "a send to an engine that drains or is gone");
        let open = self.open.get_mut(&id).expect("a request that was given");
        assert!(!open.answered && !open.closed, "a send for a request that has ended");
        assert!(open.out.is_empty(), "two attempts out at once");
        assert!(open.attempts < self.settings.limits.max_attempts, "too many attempts");
        let read = self.settings.kind_roles[target.kind.0] == Role::Prefill;
        // Reading it anew counts, too: engines of another group know nothing of the first attempt.
        if let Some(&(at, first)) = open.ran.first() {
            match self.settings.classes[open.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => panic!("an unsafe request that may have run is sent again"),
                Idempotency::WithKey { scope: group, window } => {
                    let arrives = now + self.settings.limits.connect_timeout;
                    assert!(arrives < at + window, "a keyed request that may come after its window");
                    let first = &self.engines[&first];
                    assert!(match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == target.zone,
                        DeduplicationScope::Cell => first.cell == target.cell,
                    });
                }
            }
        }
        open.out.insert(open.attempts, Out { engine, sent: now, read, begun: false });
        open.attempts += 1;
        open.held = None;
        self.sends += 1;
    }

    fn ask(&mut self) {
        self.next += 1;
        let class = self.below(self.settings.classes.len() as u64) as usize;
        let time_left = ms(200 + self.below(3000));
        let prompt_tokens = [0.0, 300.0, 2_000.0, 60_000.0][self.below(4) as usize];
        let deadline = self.host.now + time_left;
        let (out, ran) = (BTreeMap::new(), Vec::new());
        let open =
            Open { deadline, class, answered: false, closed: false, attempts: 0, out, ran, held: None };
        self.open.insert(self.next, open);
        let request = Request { client_timeout: time_left, prompt_tokens, ..request(self.next, class) };
        let actions = self.host.ask(request);
        self.take(actions);
    }

    /// Ends, begins or leaves alone one attempt that is out.
    fn happen(&mut self, id: u64) {
        let Some((&attempt, out)) = self.open[&id].out.iter().next() else { return };
        let (engine, sent, read, begun) = (out.engine, out.sent, out.read, out.begun);
        let draw = self.below(12);
        let now = self.host.now;
        if !read && !begun && draw < 5 && !self.open[&id].answered {
            let open = self.open.get_mut(&id).unwrap();
            open.out.get_mut(&attempt).unwrap().begun = true;
            (open.closed, open.held) = (true, None);
            let latency = now - sent;
            let actions = self.host.tell(Event::FirstToken { request: RequestId(id), attempt, latency });
            return self.take(actions);
        }
        let outcome = match draw {
            _ if begun => [Outcome::Completed, Outcome::Reset][usize::from(draw == 0)],
            0..=5 if read => Outcome::Prefilled,
            0..=5 => Outcome::Completed,
            6 => Outcome::Error,
            7 => Outcome::Rejected { state_missing: !read && self.below(2) == 0 },
            8 => Outcome::TimedOut,
            9 => Outcome::ConnectFailed,
            10 => Outcome::Reset,
            _ => Outcome::Cancelled,
        };
        let open = self.open.get_mut(&id).unwrap();
        open.out.remove(&attempt);
        if outcome == Outcome::Prefilled || (!read && !begun && outcome != Outcome::Completed) {
            open.held = Some(now);
        }
        if !read && !outcome.proves_not_run() {
            open.ran.push((sent, engine));
        }
        open.closed |= begun || outcome == Outcome::Completed;
        let actions = self.host.tell(Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            latency: now - sent,
            request_finished: open.closed || open.answered,
            cached_tokens: f64::from(draw as u32) * 100.0,
            report: LoadReport {
                waiting_tokens: Some(draw as f64 * 500.0),
                memory_share: Some(0.3),
                ..LoadReport::default()
            },
        }));
        self.take(actions);
    }

    fn change_list(&mut self) {
        let id = 1 + self.below(self.engines.len() as u64);
        let draw = self.below(9);
        let entry = self.engines.get_mut(&id).unwrap();
        (entry.state, entry.started_at) = match draw {
            0 => (EngineState::Draining, entry.started_at),
            1 => (EngineState::Gone, entry.started_at),
            2 => (EngineState::Ready, Some(self.host.now)),
            _ => (EngineState::Ready, entry.started_at),
        };
        let engines = vec![entry.clone()];
        let actions = self.host.list(Listing::Changes, engines);
        self.take(actions);
    }

    fn step(&mut self) {
        self.host.now += self.settings.tick;
        let now = self.host.now;
        let set = std::mem::take(&mut self.timers);
        let (due, later): (Vec<_>, Vec<_>) = set.into_iter().partition(|(at, _)| *at <= now);
        self.timers = later;
        for (_, timer) in due {
            let actions = self.host.tell(Event::TimerFired(timer));
            self.take(actions);
        }
        match self.below(40) {
            0..=3 => self.ask(),
            4 => self.change_list(),
            5 => {
                let actions = self.host.tell(Event::TimerFired(TimerId(u64::MAX)));
                assert!(actions.is_empty());
            }
            6 => {
                let engine = EngineId(1 + self.below(self.engines.len() as u64));
                let outcome = [Outcome::Completed, Outcome::ConnectFailed][self.below(2) as usize];
                let report = LoadReport::default();
                let actions = self.host.tell(Event::ProbeEnded { engine, outcome, report });
                self.take(actions);
            }
            7 => {
                let waiting = self.open.iter().find(|(_, o)| !o.answered && !o.closed).map(|(id, _)| *id);
                if let Some(id) = waiting {
                    self.open.get_mut(&id).unwrap().closed = true;
                    let actions = self.host.tell(Event::ClientDisconnected(RequestId(id)));
                    self.take(actions);
                }
            }
            _ => {
                let ids: Vec<u64> =
                    self.open.iter().filter(|(_, o)| !o.out.is_empty()).map(|(id, _)| *id).collect();
                if !ids.is_empty() {
                    let at = self.below(ids.len() as u64) as usize;
                    self.happen(ids[at]);
                }
            }
        }
        for (id, open) in &self.open {
            let ended = open.answered || open.closed;
            assert!(ended || now <= open.deadline + SLACK, "request {id} is lost");
            let pinned = open.held.filter(|_| open.out.is_empty());
            let limit = self.settings.held_state_limit;
            assert!(pinned.is_none_or(|since| now - since <= limit), "state of {id} is pinned");
        }
        self.open.retain(|_, o| !(o.out.is_empty() && o.held.is_none() && (o.answered || o.closed)));
    }

    /// The instance is killed and comes back with nothing but the list.
    fn restart(&mut self, seed: u64) {
        self.host.router = Router::new(self.settings.clone(), seed);
        self.timers.clear();
        self.open.clear();
        self.complete_list();
    }
}

fn mixed_effects() -> Settings {
    let keyed = |group| Idempotency::WithKey { scope: group, window: ms(700) };
    let mut s = settings(Idempotency::Idempotent);
    s.classes = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
    ]
    .into_iter()
    .map(|effect| class(1.0, 800, effect))
    .collect();
    s
}

#[test]
fn the_rules_hold_over_long_random_sequences() {
    for seed in 0..12 {
        let mut s = mixed_effects();
        s.limits.cancellation = seed % 3 != 0;
        s.limits.probes = seed % 4 != 0;
        s.limits.max_attempts = 2 + seed as usize % 4;
        s.router_count = [1, 3, 200, 1000][seed as usize % 4];
        s.report_source =
            [ReportSource::Answers, ReportSource::Probes, ReportSource::None][seed as usize % 3];
        let mut world = World::new(s, seed);
        for step in 0..20_000u64 {
            world.step();
            if step % 6_000 == 5_999 {
                world.restart(seed + step);
            }
        }
        assert!(world.sends > 200, "the sequences must exercise the sends: {}", world.sends);
    }
}

/// One engine that does all, one of each stage, hundreds.
#[test]
fn the_rules_hold_with_one_engine_and_with_hundreds() {
    let hundreds: Vec<usize> = (0..300).map(|id| id % 3).collect();
    for (kinds, steps) in [(&[2][..], 6_000), (&[0, 1][..], 6_000), (&hundreds[..], 1_500)] {
        for routers in [1, 1000] {
            let mut s = mixed_effects();
            s.router_count = routers;
            let mut world = World::of(s, 3, kinds);
            (0..steps).for_each(|_| world.step());
            assert!(world.sends > 10, "{} sends with {} engines", world.sends, kinds.len());
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut world = World::new(mixed_effects(), 5);
        (0..3_000).for_each(|_| world.step());
        (world.sends, world.next, world.timers)
    };
    assert_eq!(play(), play());
}

/// Ended requests, fired timers and engines that have gone leave nothing behind.
#[test]
fn what_is_kept_stays_bounded() {
    let mut world = World::new(mixed_effects(), 9);
    let mut most = StateSizes::default();
    for step in 0..60_000 {
        world.step();
        if step > 10_000 {
            let sizes = world.host.router.state_sizes();
            most.requests = most.requests.max(sizes.requests);
            most.timers = most.timers.max(sizes.timers);
            most.engines = most.engines.max(sizes.engines);
        }
    }
    assert!(
        most.requests < 200 && most.timers < 1_000 && most.engines <= 7,
        "{most:?} after {} requests",
        world.next
    );
}
