//! Checks that the work that all routers together send to an engine after its start stays within the budget.
//! Simulates deployments with the real decision module over many starts. `COLD_STARTS=1000` with
//! `--nocapture` runs the long form (docs/performance.md), and `COLD_SCENE` selects one scenario by its name.

use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::*;
use slipreel_invariants::terms::ColdBudget;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const MEAN_PROMPT: f64 = 1_000.0;
const BUDGET: ColdBudget = ColdBudget {
    window: Duration::from_secs(2),
    multiple: 2.5,
    from: 0.25,
    warm_after: Duration::from_secs(10),
    warm: 40.0,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A deployment and the events of its simulation.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    routers: usize,
    prefill_engines: u64,
    decode_engines: u64,
    /// Capacity of a warm engine, requests of mean work per second.
    warm_rate: f64,
    /// Incoming work, as a share of the capacity of all engines.
    load: f64,
    /// Whether some routers get several times the mean share of requests.
    uneven_shares: bool,
    /// For how long before each start no requests arrive; they resume at once with the start.
    idle_before: Duration,
    /// How many engines of the role start at once.
    starts: usize,
    /// For how long after the start the other engines of the role are unreachable.
    others_unreachable: Duration,
    /// Maximum delay with which routers learn of the start.
    list_delay: Duration,
    /// Whether half of the routers restart with the engines and get the list a second later.
    routers_restart: bool,
    /// For how long the engine is partitioned off before its start, which the endpoint list does not show.
    partition: Duration,
    /// Whether slow start is disabled, so that the budget is exceeded.
    slow_start_disabled: bool,
    /// By how much random variation may exceed a budget.
    slack: fn(f64) -> f64,
}

const PLAIN: Scenario = Scenario {
    name: "even",
    routers: 30,
    prefill_engines: 10,
    decode_engines: 10,
    warm_rate: BUDGET.warm,
    load: 0.6,
    uneven_shares: false,
    idle_before: Duration::ZERO,
    starts: 1,
    others_unreachable: Duration::ZERO,
    list_delay: Duration::ZERO,
    routers_restart: false,
    partition: Duration::ZERO,
    slow_start_disabled: false,
    slack: ColdBudget::slack,
};

/// An engine of the simulation.
struct SimulatedEngine {
    id: EngineId,
    kind: usize,
    started: Duration,
    warm: bool,
    /// When it will have finished the work that it has.
    busy_until: Duration,
    reachable: bool,
    /// The work that it has received since it started: when, and how much.
    received: Vec<(Duration, f64)>,
    /// Whether its last start has been evaluated.
    evaluated: bool,
}

/// A scheduled step of the simulation. Those of a router name its index and incarnation.
enum Scheduled {
    Arrive,
    Timer(usize, u32, TimerId),
    UpdateEndpoints(usize, Vec<Engine>),
    ProbeEnded(usize, u32, EngineId, Outcome),
    FirstToken(usize, u32, RequestId, usize, Duration),
    AttemptEnded(usize, u32, RequestId, usize, Outcome, Duration),
    Start(u32),
    Reachable(EngineId),
}

/// A simulated deployment with its clients and its clock.
struct Sim {
    scenario: Scenario,
    now: Duration,
    rng: Xoshiro256PlusPlus,
    routers: Vec<(Router, u32)>,
    shares: Vec<f64>,
    engines: Vec<SimulatedEngine>,
    prompts: BTreeMap<RequestId, f64>,
    event_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Scheduled>,
    next_sequence_number: u64,
    last_request: u64,
    no_arrivals_until: Duration,
    /// For each start: the largest excess of a window over its budget and slack, and the budget of that
    /// window.
    worst_excess: Vec<(f64, f64)>,
    /// Work that started engines received in their first two seconds and in the two seconds before they are
    /// warm.
    warmup_work: [f64; 2],
}

impl Sim {
    fn new(scenario: Scenario, seed: u64) -> Sim {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let shares: Vec<f64> = (0..scenario.routers)
            .map(|_| {
                let u = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                if scenario.uneven_shares {
                    0.2 + 4.0 * u.powi(4)
                } else {
                    1.0
                }
            })
            .collect();
        let engines =
            (0..scenario.prefill_engines + scenario.decode_engines).map(|position| SimulatedEngine {
                id: EngineId(position + 1),
                kind: usize::from(position >= scenario.prefill_engines),
                started: Duration::ZERO,
                warm: true,
                busy_until: Duration::ZERO,
                reachable: true,
                received: Vec::new(),
                evaluated: true,
            });
        let mut sim = Sim {
            scenario,
            now: ms(1_000_000),
            rng,
            routers: Vec::new(),
            shares,
            engines: engines.collect(),
            prompts: BTreeMap::new(),
            event_queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_sequence_number: 0,
            last_request: 0,
            no_arrivals_until: Duration::ZERO,
            worst_excess: Vec::new(),
            warmup_work: [0.0; 2],
        };
        for router_index in 0..scenario.routers {
            let router = sim.new_router(router_index);
            sim.routers.push((router, 0));
            sim.update_endpoints(router_index, sim.complete_list(), Listing::Complete);
        }
        sim.schedule(ms(1), Scheduled::Arrive);
        sim
    }

    fn new_router(&mut self, router_index: usize) -> Router {
        let settings = Settings {
            router_count: self.scenario.routers as u32,
            zone: ZoneId((router_index % 2) as u32),
            tick: ms(4),
            classes: vec![
                Class {
                    latency_objective: ms(1_000),
                    latency_objective_per_1000_tokens: ms(40),
                    priority_weight: 3.0,
                    idempotency: Idempotency::Idempotent,
                    streams: true,
                },
                Class {
                    latency_objective: ms(1_000),
                    latency_objective_per_1000_tokens: ms(40),
                    priority_weight: 1.0,
                    idempotency: Idempotency::Idempotent,
                    streams: true,
                },
            ],
            tenants: vec![],
            over_quota_weight: 0.05,
            kind_roles: vec![Role::Prefill, Role::Decode],
            memory_tokens: vec![],
            decode_engines_prefill: false,
            requests_engine_list: false,
            report_source: ReportSource::Answers,
            limits: Limits {
                max_attempts: 4,
                cancellation: true,
                probes: true,
                hedged_requests: false,
                max_retry_after: Some(ms(2_000)),
                connect_timeout: ms(250),
            },
            warmup_initial_share: BUDGET.from,
            warmup_time: if self.scenario.slow_start_disabled { Duration::ZERO } else { BUDGET.warm_after },
            warmup_budget: BUDGET.window.mul_f64(BUDGET.multiple),
            held_state_limit: ms(500),
            release_spares_awaited_state: true,
        };
        Router::new(settings, self.rng.next_u64())
    }

    fn random(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn schedule(&mut self, after: Duration, step: Scheduled) {
        self.next_sequence_number += 1;
        self.event_queue.push(Reverse((self.now + after, self.next_sequence_number)));
        self.scheduled.insert(self.next_sequence_number, step);
    }

    fn entry(&self, engine_state: &SimulatedEngine) -> Engine {
        // Each cell has four engines, two of each role; there are two zones.
        let position = (engine_state.id.0 - 1) % self.scenario.prefill_engines;
        Engine {
            id: engine_state.id,
            state: EngineState::Ready,
            kind: KindId(engine_state.kind),
            zone: ZoneId((position / 2 % 2) as u32),
            cell: CellId((position / 2) as u32),
            started_at: (!engine_state.started.is_zero()).then_some(engine_state.started),
        }
    }

    fn complete_list(&self) -> Vec<Engine> {
        self.engines.iter().map(|s| self.entry(s)).collect()
    }

    fn update_endpoints(&mut self, router_index: usize, engines: Vec<Engine>, listing: Listing) {
        self.handle(router_index, Event::Engines { listing, engines });
    }

    fn engine_state(&mut self, id: EngineId) -> &mut SimulatedEngine {
        &mut self.engines[id.0 as usize - 1]
    }

    fn report(&self, id: EngineId) -> LoadReport {
        let engine_state = &self.engines[id.0 as usize - 1];
        let queued = engine_state.busy_until.saturating_sub(self.now).as_secs_f64() * self.scenario.warm_rate;
        LoadReport {
            queued: Some(queued.floor()),
            memory_share: Some((queued / 100.0).min(1.0)),
            ..LoadReport::default()
        }
    }

    fn handle(&mut self, router_index: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router_index].0.handle(self.now, event, &mut out);
        let incarnation = self.routers[router_index].1;
        for action in out {
            match action {
                Action::Send { request, engine, .. } => self.send(router_index, incarnation, request, engine),
                Action::SetTimer { timer, after } => {
                    self.schedule(after, Scheduled::Timer(router_index, incarnation, timer));
                }
                Action::Probe(engine) => {
                    let (after, outcome) = if self.engine_state(engine).reachable {
                        (ms(2), Outcome::Completed)
                    } else {
                        (ms(250), Outcome::ConnectFailed)
                    };
                    self.schedule(after, Scheduled::ProbeEnded(router_index, incarnation, engine, outcome));
                }
                Action::Cancel { request, attempt } => {
                    self.schedule(
                        ms(1),
                        Scheduled::AttemptEnded(
                            router_index,
                            incarnation,
                            request,
                            attempt,
                            Outcome::Cancelled,
                            ms(1),
                        ),
                    );
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, router_index: usize, incarnation: u32, request: RequestId, engine: EngineId) {
        let (now, tokens) = (self.now, self.prompts.get(&request).copied().unwrap_or(MEAN_PROMPT));
        // The module numbers the attempts of a request, so this host has to count them, too.
        let attempt = self.next_attempt(request);
        let warm_rate = self.scenario.warm_rate;
        let engine_state = self.engine_state(engine);
        if !engine_state.reachable {
            return self.schedule(
                ms(250),
                Scheduled::AttemptEnded(
                    router_index,
                    incarnation,
                    request,
                    attempt,
                    Outcome::ConnectFailed,
                    ms(250),
                ),
            );
        }
        let work = tokens / MEAN_PROMPT;
        engine_state.received.push((now, work));
        let age = now.saturating_sub(engine_state.started).as_secs_f64() / BUDGET.warm_after.as_secs_f64();
        let share = if engine_state.warm { 1.0 } else { (BUDGET.from + (1.0 - BUDGET.from) * age).min(1.0) };
        engine_state.busy_until =
            engine_state.busy_until.max(now) + Duration::from_secs_f64(work / warm_rate / share);
        let (elapsed, kind) = (engine_state.busy_until - now + ms(5), engine_state.kind);
        if elapsed > ms(3_900) {
            return self.schedule(
                ms(5),
                Scheduled::AttemptEnded(
                    router_index,
                    incarnation,
                    request,
                    attempt,
                    Outcome::Rejected { state_missing: false },
                    ms(5),
                ),
            );
        }
        if kind == 0 {
            return self.schedule(
                elapsed,
                Scheduled::AttemptEnded(
                    router_index,
                    incarnation,
                    request,
                    attempt,
                    Outcome::Prefilled,
                    elapsed,
                ),
            );
        }
        self.schedule(elapsed, Scheduled::FirstToken(router_index, incarnation, request, attempt, elapsed));
        self.schedule(
            elapsed + ms(300),
            Scheduled::AttemptEnded(
                router_index,
                incarnation,
                request,
                attempt,
                Outcome::Completed,
                elapsed + ms(300),
            ),
        );
    }

    fn next_attempt(&mut self, request: RequestId) -> usize {
        // The attempt number is stored in the fraction of the prompt length, to save a second map for
        // millions of requests.
        let tokens = self.prompts.entry(request).or_insert(MEAN_PROMPT);
        let attempt = (tokens.fract() * 16.0).round() as usize;
        *tokens = tokens.trunc() + (attempt + 1) as f64 / 16.0;
        attempt
    }

    fn arrive(&mut self) {
        let scenario = self.scenario;
        let rate =
            scenario.load * scenario.warm_rate * scenario.prefill_engines.min(scenario.decode_engines) as f64;
        let after = Duration::from_secs_f64(-(1.0 - self.random()).ln() / rate);
        self.schedule(after, Scheduled::Arrive);
        if self.now < self.no_arrivals_until {
            return;
        }
        let mut pick = self.random() * self.shares.iter().sum::<f64>();
        let router_index = self.shares.iter().position(|share| {
            pick -= share;
            pick < 0.0
        });
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let tokens = (-(1.0 - self.random()).ln() * MEAN_PROMPT).clamp(50.0, 6_000.0).trunc();
        self.prompts.insert(id, tokens);
        let (session, prefix) = (self.rng.next_u64() % 2_000, self.random().powi(2) * 100.0);
        let class = usize::from(self.random() < 0.7);
        let request = Request {
            id,
            class: ClassId(class),
            session,
            shared_prefix: Some(prefix as u64 + 1),
            prompt_tokens: tokens,
            max_output_tokens: 60.0,
            client_timeout: ms(4_000),
            ..Request::default()
        };
        self.handle(router_index.unwrap_or(0), Event::Request(request));
    }

    /// Starts engines of a role, or lets them come back from a partition.
    fn start(&mut self, round: u32) {
        let (now, scenario) = (self.now, self.scenario);
        let kind = round as usize % 2;
        let mut of_role: Vec<EngineId> =
            self.engines.iter().filter(|s| s.kind == kind).map(|s| s.id).collect();
        let offset = (round as usize / 2 * scenario.starts) % of_role.len();
        of_role.rotate_left(offset);
        let (starting, others) = of_role.split_at(scenario.starts.min(of_role.len()));
        let mut changed_entries = Vec::new();
        for &id in starting {
            let engine_state = self.engine_state(id);
            (engine_state.started, engine_state.warm, engine_state.evaluated) = (now, false, false);
            (engine_state.busy_until, engine_state.received) = (now, Vec::new());
            if !scenario.partition.is_zero() {
                // The endpoint list does not show it: the engine comes back with its old entry, but cold.
                (engine_state.reachable, engine_state.started) = (false, now + scenario.partition);
                self.schedule(scenario.partition, Scheduled::Reachable(id));
            }
            changed_entries.push(self.entry(&self.engines[id.0 as usize - 1]));
        }
        if !scenario.others_unreachable.is_zero() {
            for &id in others {
                self.engine_state(id).reachable = false;
                self.schedule(scenario.others_unreachable, Scheduled::Reachable(id));
            }
        }
        for router_index in 0..scenario.routers {
            if scenario.routers_restart && router_index % 2 == 0 {
                let router = self.new_router(router_index);
                let incarnation = self.routers[router_index].1 + 1;
                self.routers[router_index] = (router, incarnation);
                let after = ms(1_000) + scenario.list_delay.mul_f64(self.random());
                self.schedule(after, Scheduled::UpdateEndpoints(router_index, self.complete_list()));
            } else if scenario.partition.is_zero() {
                let after = scenario.list_delay.mul_f64(self.random());
                self.schedule(after, Scheduled::UpdateEndpoints(router_index, changed_entries.clone()));
            }
        }
    }

    /// Evaluates the work that engines received, for each start whose warm-up is over.
    fn evaluate_starts(&mut self) {
        let (budget, slack) = (ColdBudget { warm: self.scenario.warm_rate, ..BUDGET }, self.scenario.slack);
        for engine_state in
            self.engines.iter_mut().filter(|s| !s.evaluated && self.now >= s.started + BUDGET.warm_after)
        {
            engine_state.evaluated = true;
            let (mut worst_excess, mut sum, mut first) = ((f64::MIN, 0.0), 0.0, 0);
            for at in 0..engine_state.received.len() {
                let (when, work) = engine_state.received[at];
                sum += work;
                while engine_state.received[first].0 + BUDGET.window <= when {
                    sum -= engine_state.received[first].1;
                    first += 1;
                }
                let age = when.saturating_sub(engine_state.started);
                if age <= BUDGET.warm_after {
                    let allowed = budget.at(age);
                    if sum - allowed - slack(allowed) > worst_excess.0 {
                        worst_excess = (sum - allowed - slack(allowed), allowed);
                    }
                }
            }
            self.worst_excess.push(worst_excess);
            for (warmup_work, from) in self.warmup_work.iter_mut().zip([0, 8]) {
                let within = |at: Duration| {
                    at >= engine_state.started + ms(from * 1_000)
                        && at < engine_state.started + ms(from * 1_000 + 2_000)
                };
                *warmup_work += engine_state
                    .received
                    .iter()
                    .filter(|(at, _)| within(*at))
                    .map(|(_, work)| work)
                    .sum::<f64>();
            }
            engine_state.warm = true;
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, sequence_number))) = self.event_queue.pop() else { return };
        self.now = at;
        let is_current =
            |sim: &Sim, router_index: usize, incarnation: u32| sim.routers[router_index].1 == incarnation;
        match self.scheduled.remove(&sequence_number) {
            Some(Scheduled::Arrive) => self.arrive(),
            Some(Scheduled::Timer(router_index, incarnation, timer))
                if is_current(self, router_index, incarnation) =>
            {
                self.handle(router_index, Event::TimerFired(timer));
            }
            Some(Scheduled::UpdateEndpoints(router_index, engines)) => {
                let listing =
                    if engines.len() == self.engines.len() { Listing::Complete } else { Listing::Changes };
                self.update_endpoints(router_index, engines, listing);
            }
            Some(Scheduled::ProbeEnded(router_index, incarnation, engine, outcome))
                if is_current(self, router_index, incarnation) =>
            {
                let report = self.report(engine);
                self.handle(router_index, Event::ProbeEnded { engine, outcome, report });
            }
            Some(Scheduled::FirstToken(router_index, incarnation, request, attempt, latency))
                if is_current(self, router_index, incarnation) =>
            {
                self.handle(router_index, Event::FirstToken { request, attempt, latency });
            }
            Some(Scheduled::AttemptEnded(router_index, incarnation, request, attempt, outcome, latency))
                if is_current(self, router_index, incarnation) =>
            {
                let report = LoadReport::default();
                let finished = outcome == Outcome::Completed;
                let ended = AttemptEnded {
                    request,
                    attempt,
                    outcome,
                    latency,
                    request_finished: finished,
                    cached_tokens: 0.0,
                    report,
                };
                self.handle(router_index, Event::AttemptEnded(ended));
            }
            Some(Scheduled::Start(round)) => self.start(round),
            Some(Scheduled::Reachable(id)) => self.engine_state(id).reachable = true,
            _ => {}
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.event_queue.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            self.step();
        }
        self.now = until;
        self.evaluate_starts();
    }
}

/// Results of several starts.
struct Summary {
    starts: usize,
    over: usize,
    /// The largest excess over budget and slack, and the budget of that window.
    worst_excess: (f64, f64),
    /// The mean work in the first two seconds and in the two from the eighth on, as a share of a warm
    /// engine's.
    warmup_work: [f64; 2],
}

fn run_scenario(scenario: Scenario, starts: usize, seed: u64) -> Summary {
    let mut sim = Sim::new(scenario, seed);
    sim.run(ms(15_000));
    let mut round = seed as u32 * 31;
    while sim.worst_excess.len() < starts {
        if !scenario.idle_before.is_zero() {
            sim.no_arrivals_until = sim.now + scenario.idle_before;
            sim.run(scenario.idle_before);
        }
        sim.schedule(ms(1), Scheduled::Start(round));
        sim.run(ms(14_000) + scenario.others_unreachable);
        sim.prompts.clear();
        round += 1;
    }
    let warm_work = scenario.load * scenario.warm_rate * 2.0 * sim.worst_excess.len() as f64;
    let max_excess = sim.worst_excess.iter().copied().max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
    Summary {
        starts: sim.worst_excess.len(),
        over: sim.worst_excess.iter().filter(|(excess, _)| *excess > 0.0).count(),
        worst_excess: max_excess,
        warmup_work: sim.warmup_work.map(|sum| sum / warm_work),
    }
}

fn scenarios() -> Vec<Scenario> {
    let for_routers = |routers: usize| {
        let plain = Scenario { routers, ..PLAIN };
        let long = Scenario { warm_rate: 2.5, prefill_engines: 30, decode_engines: 30, ..plain };
        vec![
            plain,
            Scenario { name: "uneven", uneven_shares: true, ..plain },
            Scenario { name: "idle until then", idle_before: ms(20_000), ..plain },
            Scenario {
                name: "idle until then, uneven",
                idle_before: ms(20_000),
                uneven_shares: true,
                ..plain
            },
            Scenario { name: "overloaded", load: 1.5, ..plain },
            Scenario { name: "the only one", others_unreachable: ms(8_000), ..plain },
            Scenario {
                name: "the only one, idle until then",
                others_unreachable: ms(8_000),
                idle_before: ms(20_000),
                ..plain
            },
            Scenario { name: "six in ten", starts: 6, ..plain },
            Scenario { name: "told over 6 s", list_delay: ms(6_000), ..plain },
            Scenario { name: "routers begin anew", routers_restart: true, ..plain },
            Scenario { name: "back from a cut", partition: ms(4_000), ..plain },
            // Long prompts: an engine can take so few that its budget is far below the number of routers.
            Scenario { name: "few and long", ..long },
            Scenario { name: "few and long, uneven", uneven_shares: true, ..long },
            Scenario { name: "few and long, idle until then", idle_before: ms(20_000), ..long },
            Scenario { name: "few and long, overloaded", load: 1.5, ..long },
            Scenario { name: "few and long, six in ten", starts: 18, ..long },
            Scenario { name: "few and long, the only one", others_unreachable: ms(8_000), ..long },
            Scenario { name: "few and long, routers anew", routers_restart: true, ..long },
        ]
    };
    [20, 30, 300].into_iter().flat_map(for_routers).collect()
}

/// Scenarios with few routers, and with budgets from 1 to 200 requests when an engine starts.
fn scenarios_with_few_routers() -> Vec<Scenario> {
    let for_routers = |(routers, budget): (usize, f64)| {
        let warm_rate = budget / (BUDGET.multiple * BUDGET.from * BUDGET.window.as_secs_f64());
        let plain = Scenario { routers, warm_rate, slack: ColdBudget::accepted_slack, ..PLAIN };
        vec![
            plain,
            Scenario { name: "uneven", uneven_shares: true, ..plain },
            Scenario { name: "idle until then", idle_before: ms(20_000), ..plain },
            Scenario { name: "overloaded", load: 1.5, ..plain },
            Scenario { name: "the only one", others_unreachable: ms(8_000), ..plain },
            Scenario {
                name: "the only one, idle until then",
                others_unreachable: ms(8_000),
                idle_before: ms(20_000),
                ..plain
            },
            Scenario { name: "six in ten", starts: 6, ..plain },
            Scenario { name: "routers begin anew", routers_restart: true, ..plain },
            Scenario { name: "back from a cut", partition: ms(4_000), ..plain },
        ]
    };
    let budgets = [1.0, 5.0, 29.0, 31.0, 200.0];
    let cases = [1, 3, 8, 20, 30].into_iter().flat_map(|routers| budgets.map(|budget| (routers, budget)));
    cases.flat_map(for_routers).collect()
}

#[test]
fn all_routers_together_keep_to_the_budget_of_a_starting_engine() {
    assert_within_budget(scenarios(), 4);
}

#[test]
fn few_routers_keep_to_the_budget_of_a_starting_engine() {
    assert_within_budget(scenarios_with_few_routers(), 2);
}

/// Checks the budget over this many starts of each scenario, or over as many as `COLD_STARTS` says.
fn assert_within_budget(scenarios: Vec<Scenario>, starts: usize) {
    let starts_wanted: usize =
        std::env::var("COLD_STARTS").ok().and_then(|n| n.parse().ok()).unwrap_or(starts);
    let selected = std::env::var("COLD_SCENE").ok();
    let selected_scenarios: Vec<Scenario> =
        scenarios.into_iter().filter(|s| selected.as_ref().is_none_or(|name| s.name == name)).collect();
    let next_task = std::sync::atomic::AtomicUsize::new(0);
    // Many short runs, each with its own seed, can run in parallel.
    let chunk = 20.min(starts_wanted);
    let tasks: Vec<(usize, u64)> = (0..selected_scenarios.len())
        .flat_map(|s| (0..starts_wanted.div_ceil(chunk)).map(move |k| (s, k as u64 + 1)))
        .collect();
    let results = std::sync::Mutex::new(BTreeMap::<usize, Vec<Summary>>::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(2, usize::from).min(8) {
            scope.spawn(|| loop {
                let task = next_task.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(&(scenario, seed)) = tasks.get(task) else { return };
                let summary = run_scenario(selected_scenarios[scenario], chunk, seed);
                results.lock().expect("not poisoned").entry(scenario).or_default().push(summary);
            });
        }
    });
    let results = results.into_inner().expect("not poisoned");
    let mut over_budget = Vec::new();
    for (at, scenario) in selected_scenarios.iter().enumerate() {
        let all = &results[&at];
        let starts: usize = all.iter().map(|c| c.starts).sum();
        let over: usize = all.iter().map(|c| c.over).sum();
        let worst_excess =
            all.iter().map(|c| c.worst_excess).max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
        let warmup_work =
            [0, 1].map(|i: usize| all.iter().map(|c| c.warmup_work[i]).sum::<f64>() / all.len() as f64);
        println!(
            "{:4} routers, {:30} {starts:5} starts, {over:4} over budget; largest excess {:6.1} (budget {:5.1}); share of a warm engine's work {:.2} at first, {:.2} at 8 s",
            scenario.routers, scenario.name, worst_excess.0, worst_excess.1, warmup_work[0], warmup_work[1]
        );
        if over > 0 {
            over_budget.push((scenario.routers, scenario.name, over, starts));
        }
    }
    assert_eq!(over_budget, [], "routers, scenario, starts over budget, all starts");
}

#[test]
fn routers_without_slow_start_exceed_the_budget() {
    let results = run_scenario(
        Scenario {
            name: "blind, the only one",
            others_unreachable: ms(8_000),
            slow_start_disabled: true,
            ..PLAIN
        },
        6,
        3,
    );
    assert!(results.over > results.starts / 2, "{} of {} starts", results.over, results.starts);
}
