//! Long random but valid sequences of events, determined by a seed. The five rules are checked from the
//! actions of the router alone. Engines and load are not modelled: outcomes are random, whatever was sent.

mod common;

use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// How late after its deadline a request may get its answer.
const SLACK: Duration = Duration::from_millis(16);

/// An attempt in flight.
struct InFlight {
    engine: u64,
    sent_at: Duration,
    is_prefill: bool,
    answer_begun: bool,
}

/// A request as its client and the engines see it.
struct OpenRequest {
    deadline: Duration,
    class: usize,
    answered: bool,
    /// Its answer has begun or ended, or its client has disconnected.
    closed: bool,
    attempts: usize,
    in_flight: BTreeMap<usize, InFlight>,
    /// Every earlier attempt that may have had an effect: when it was sent, and to which engine.
    possible_runs: Vec<(Duration, u64)>,
    /// Since when state is held for it, if it is.
    held_since: Option<Duration>,
}

/// A router with random clients, engines and timers, and the checks of its actions.
struct Simulation {
    rng: Xoshiro256PlusPlus,
    host: Host,
    settings: Settings,
    engines: BTreeMap<u64, Engine>,
    timers: Vec<(Duration, TimerId)>,
    requests: BTreeMap<u64, OpenRequest>,
    last_request: u64,
    send_count: usize,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Self {
        Self::with_kinds(settings, seed, &[0, 0, 0, 1, 1, 1, 2])
    }

    /// A simulation with engines of these kinds.
    fn with_kinds(settings: Settings, seed: u64, kinds: &[usize]) -> Self {
        let engines: BTreeMap<u64, Engine> = (1..=kinds.len() as u64)
            .map(|id| (id, engine(id, kinds[id as usize - 1], id as u32 % 2)))
            .collect();
        let host = Host {
            router: Router::new(settings.clone(), seed),
            now: ms(50_000),
            probes_unanswered: true,
            waiting_tokens: None,
        };
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (timers, requests) = (Vec::new(), BTreeMap::new());
        let mut simulation =
            Simulation { rng, host, settings, engines, timers, requests, last_request: 0, send_count: 0 };
        simulation.complete_list();
        simulation
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn complete_list(&mut self) {
        let engines = self.engines.values().cloned().collect();
        let actions = self.host.update_endpoints(Listing::Cached, engines);
        self.apply(actions);
    }

    /// Checks that the router may take these actions, and applies them.
    fn apply(&mut self, actions: Vec<Action>) {
        let now = self.host.now;
        for action in actions {
            match action {
                Action::Send { request, engine, .. } => self.check_send(request.0, engine.0),
                Action::Reject { request, .. } => {
                    let retry_is_safe = {
                        let request_state = &self.requests[&request.0];
                        request_state.possible_runs.is_empty()
                            || matches!(
                                self.settings.classes[request_state.class].idempotency,
                                Idempotency::Idempotent
                                    | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
                            )
                    };
                    assert!(retry_is_safe, "{request:?} is rejected although it may have run");
                    self.record_answer(request.0);
                }
                Action::Fail(request) => self.record_answer(request.0),
                Action::Release(request) => {
                    let request_state = self.requests.get_mut(&request.0).expect("a known request");
                    request_state.held_since = None;
                }
                Action::Cancel { request, attempt } => {
                    assert!(
                        attempt < self.requests[&request.0].attempts,
                        "cancels an attempt that was never sent"
                    );
                }
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                Action::Probe(engine) => assert!(self.engines.contains_key(&engine.0)),
                _ => {}
            }
        }
    }

    fn record_answer(&mut self, id: u64) {
        let now = self.host.now;
        let request_state = self.requests.get_mut(&id).expect("a known request");
        assert!(!request_state.answered && !request_state.closed, "a second answer to request {id}");
        assert!(now <= request_state.deadline + SLACK, "an answer after the deadline");
        request_state.answered = true;
    }

    fn check_send(&mut self, id: u64, engine: u64) {
        let now = self.host.now;
        let target = self.engines.get(&engine).expect("a listed engine");
        assert_eq!(target.state, EngineState::Ready, "a send to an engine that is not ready");
        let request_state = self.requests.get_mut(&id).expect("a known request");
        assert!(!request_state.answered && !request_state.closed, "a send for a request that has ended");
        assert!(request_state.in_flight.is_empty(), "two attempts in flight at once");
        assert!(request_state.attempts < self.settings.limits.max_attempts, "too many attempts");
        let is_prefill = self.settings.kind_roles[target.kind.0] == Role::Prefill;
        // This includes another prefill, as engines outside the scope have no record of the first attempt.
        if let Some(&(at, first)) = request_state.possible_runs.first() {
            match self.settings.classes[request_state.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    panic!("a non-idempotent request that may have run is sent again")
                }
                Idempotency::WithKey { scope, window } => {
                    let arrives = now + self.settings.limits.connect_timeout;
                    assert!(arrives < at + window, "a request with a key may arrive after its window");
                    let first = &self.engines[&first];
                    assert!(match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.zone == target.zone,
                        DeduplicationScope::Cell => first.cell == target.cell,
                    });
                }
            }
        }
        request_state.in_flight.insert(
            request_state.attempts,
            InFlight { engine, sent_at: now, is_prefill, answer_begun: false },
        );
        request_state.attempts += 1;
        request_state.held_since = None;
        self.send_count += 1;
    }

    fn submit(&mut self) {
        self.last_request += 1;
        let class = self.below(self.settings.classes.len() as u64) as usize;
        let client_timeout = ms(200 + self.below(3000));
        let prompt_tokens = [0.0, 300.0, 2_000.0, 60_000.0][self.below(4) as usize];
        let deadline = self.host.now + client_timeout;
        let (in_flight, possible_runs) = (BTreeMap::new(), Vec::new());
        let request_state = OpenRequest {
            deadline,
            class,
            answered: false,
            closed: false,
            attempts: 0,
            in_flight,
            possible_runs,
            held_since: None,
        };
        self.requests.insert(self.last_request, request_state);
        let request = Request { client_timeout, prompt_tokens, ..request(self.last_request, class) };
        let actions = self.host.submit(request);
        self.apply(actions);
    }

    /// Lets the attempt in flight of a request start its answer or end, at random.
    fn advance_attempt(&mut self, id: u64) {
        let Some((&attempt, in_flight)) = self.requests[&id].in_flight.iter().next() else { return };
        let (engine, sent_at, is_prefill, answer_begun) =
            (in_flight.engine, in_flight.sent_at, in_flight.is_prefill, in_flight.answer_begun);
        let draw = self.below(12);
        let now = self.host.now;
        if !is_prefill && !answer_begun && draw < 5 && !self.requests[&id].answered {
            let request_state = self.requests.get_mut(&id).unwrap();
            request_state.in_flight.get_mut(&attempt).unwrap().answer_begun = true;
            (request_state.closed, request_state.held_since) = (true, None);
            let latency = now - sent_at;
            let actions = self.host.handle(Event::FirstToken { request: RequestId(id), attempt, latency });
            return self.apply(actions);
        }
        let outcome = match draw {
            _ if answer_begun => [Outcome::Completed, Outcome::Reset][usize::from(draw == 0)],
            0..=5 if is_prefill => Outcome::Prefilled,
            0..=5 => Outcome::Completed,
            6 => Outcome::Error,
            7 => Outcome::Rejected { state_missing: !is_prefill && self.below(2) == 0 },
            8 => Outcome::TimedOut,
            9 => Outcome::ConnectFailed,
            10 => Outcome::Reset,
            _ => Outcome::Cancelled,
        };
        let request_state = self.requests.get_mut(&id).unwrap();
        request_state.in_flight.remove(&attempt);
        if outcome == Outcome::Prefilled || (!is_prefill && !answer_begun && outcome != Outcome::Completed) {
            request_state.held_since = Some(now);
        }
        if !is_prefill && !outcome.proves_not_run() {
            request_state.possible_runs.push((sent_at, engine));
        }
        request_state.closed |= answer_begun || outcome == Outcome::Completed;
        let actions = self.host.handle(Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            latency: now - sent_at,
            request_finished: request_state.closed || request_state.answered,
            cached_tokens: f64::from(draw as u32) * 100.0,
            report: LoadReport {
                waiting_tokens: Some(draw as f64 * 500.0),
                memory_share: Some(0.3),
                ..LoadReport::default()
            },
        }));
        self.apply(actions);
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
        let actions = self.host.update_endpoints(Listing::Changes, engines);
        self.apply(actions);
    }

    fn step(&mut self) {
        self.host.now += self.settings.tick;
        let now = self.host.now;
        let timers = std::mem::take(&mut self.timers);
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|(at, _)| *at <= now);
        self.timers = later;
        for (_, timer) in due {
            let actions = self.host.handle(Event::TimerFired(timer));
            self.apply(actions);
        }
        match self.below(40) {
            0..=3 => self.submit(),
            4 => self.change_list(),
            5 => {
                let actions = self.host.handle(Event::TimerFired(TimerId(u64::MAX)));
                assert!(actions.is_empty());
            }
            6 => {
                let engine = EngineId(1 + self.below(self.engines.len() as u64));
                let outcome = [Outcome::Completed, Outcome::ConnectFailed][self.below(2) as usize];
                let report = LoadReport::default();
                let actions = self.host.handle(Event::ProbeEnded { engine, outcome, report });
                self.apply(actions);
            }
            7 => {
                let unanswered = self
                    .requests
                    .iter()
                    .find(|(_, state)| !state.answered && !state.closed)
                    .map(|(id, _)| *id);
                if let Some(id) = unanswered {
                    self.requests.get_mut(&id).unwrap().closed = true;
                    let actions = self.host.handle(Event::ClientDisconnected(RequestId(id)));
                    self.apply(actions);
                }
            }
            _ => {
                let ids: Vec<u64> = self
                    .requests
                    .iter()
                    .filter(|(_, state)| !state.in_flight.is_empty())
                    .map(|(id, _)| *id)
                    .collect();
                if !ids.is_empty() {
                    let at = self.below(ids.len() as u64) as usize;
                    self.advance_attempt(ids[at]);
                }
            }
        }
        for (id, request_state) in &self.requests {
            let ended = request_state.answered || request_state.closed;
            assert!(
                ended || now <= request_state.deadline + SLACK,
                "request {id} has no answer after its deadline"
            );
            let held_since = request_state.held_since.filter(|_| request_state.in_flight.is_empty());
            let limit = self.settings.held_state_limit;
            assert!(
                held_since.is_none_or(|since| now - since <= limit),
                "state of request {id} is held for too long"
            );
        }
        self.requests.retain(|_, state| {
            !(state.in_flight.is_empty() && state.held_since.is_none() && (state.answered || state.closed))
        });
    }

    /// Replaces the router by a new one that knows only the endpoint list.
    fn restart(&mut self, seed: u64) {
        self.host.router = Router::new(self.settings.clone(), seed);
        self.timers.clear();
        self.requests.clear();
        self.complete_list();
    }
}

fn settings_with_all_idempotencies() -> Settings {
    let with_key = |scope| Idempotency::WithKey { scope, window: ms(700) };
    let mut s = settings(Idempotency::Idempotent);
    s.classes = [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        with_key(DeduplicationScope::All),
        with_key(DeduplicationScope::Zone),
        with_key(DeduplicationScope::Cell),
    ]
    .into_iter()
    .map(|idempotency| class(1.0, 800, idempotency))
    .collect();
    s
}

#[test]
fn the_rules_hold_over_long_random_sequences() {
    for seed in 0..12 {
        let mut s = settings_with_all_idempotencies();
        s.limits.cancellation = seed % 3 != 0;
        s.limits.probes = seed % 4 != 0;
        s.limits.max_attempts = 2 + seed as usize % 4;
        s.router_count = [1, 3, 200, 1000][seed as usize % 4];
        s.report_source =
            [ReportSource::Answers, ReportSource::Probes, ReportSource::None][seed as usize % 3];
        let mut simulation = Simulation::new(s, seed);
        for step in 0..20_000u64 {
            simulation.step();
            if step % 6_000 == 5_999 {
                simulation.restart(seed + step);
            }
        }
        assert!(simulation.send_count > 200, "too few sends to check the rules: {}", simulation.send_count);
    }
}

/// With one mixed engine, with one engine for each stage, and with hundreds.
#[test]
fn the_rules_hold_with_one_engine_and_with_hundreds() {
    let hundreds: Vec<usize> = (0..300).map(|id| id % 3).collect();
    for (kinds, steps) in [(&[2][..], 6_000), (&[0, 1][..], 6_000), (&hundreds[..], 1_500)] {
        for routers in [1, 1000] {
            let mut s = settings_with_all_idempotencies();
            s.router_count = routers;
            let mut simulation = Simulation::with_kinds(s, 3, kinds);
            (0..steps).for_each(|_| simulation.step());
            assert!(
                simulation.send_count > 10,
                "{} sends with {} engines",
                simulation.send_count,
                kinds.len()
            );
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut simulation = Simulation::new(settings_with_all_idempotencies(), 5);
        (0..3_000).for_each(|_| simulation.step());
        (simulation.send_count, simulation.last_request, simulation.timers)
    };
    assert_eq!(run(), run());
}

/// Ended requests, fired timers and removed engines are forgotten.
#[test]
fn the_state_of_a_router_stays_bounded() {
    let mut simulation = Simulation::new(settings_with_all_idempotencies(), 9);
    let mut max = StateSizes::default();
    for step in 0..60_000 {
        simulation.step();
        if step > 10_000 {
            let sizes = simulation.host.router.state_sizes();
            max.requests = max.requests.max(sizes.requests);
            max.timers = max.timers.max(sizes.timers);
            max.engines = max.engines.max(sizes.engines);
        }
    }
    assert!(
        max.requests < 200 && max.timers < 1_000 && max.engines <= 7,
        "{max:?} after {} requests",
        simulation.last_request
    );
}
