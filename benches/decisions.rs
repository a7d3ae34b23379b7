//! Measures the cost of the decisions on one request, on one thread, for growing numbers of engines: request,
//! prefill, decode, first token, end, and the probes between them. Also prints a hash of all actions, so that
//! builds that make the same decisions print the same hash.

use slipreel::{
    Action, AttemptEnded, CellId, Class, ClassId, Engine, EngineId, Event, Idempotency, KindId, Limits,
    Listing, LoadReport, Outcome, ReportSource, Request, RequestId, Role, Router, Settings, ZoneId,
};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Engines in each cell.
const CELL_SIZE: u32 = 10;
/// Requests in each run.
const REQUEST_COUNT: u64 = 4_000;

fn settings() -> Settings {
    let class = |priority_weight, idempotency| Class {
        latency_objective: Duration::from_secs(1),
        latency_objective_per_1000_tokens: Duration::from_millis(40),
        priority_weight,
        idempotency,
        streams: true,
    };
    Settings {
        router_count: 4,
        zone: ZoneId(0),
        tick: Duration::from_millis(5),
        classes: vec![class(3.0, Idempotency::NotIdempotent), class(1.0, Idempotency::Idempotent)],
        tenants: vec![],
        over_quota_weight: 0.05,
        kind_roles: vec![Role::Prefill, Role::Decode, Role::Mixed],
        memory_tokens: vec![],
        decode_engines_prefill: false,
        requests_engine_list: false,
        report_source: ReportSource::Answers,
        limits: Limits {
            max_attempts: 6,
            cancellation: true,
            probes: true,
            hedged_requests: false,
            max_retry_after: None,
            connect_timeout: Duration::from_millis(250),
        },
        warmup_initial_share: 0.3,
        warmup_time: Duration::from_secs(13),
        warmup_budget: Duration::ZERO,
        held_state_limit: Duration::from_millis(500),
        release_spares_awaited_state: true,
    }
}

fn engines(n: u64) -> Vec<Engine> {
    let engine = |id: u64| Engine {
        id: EngineId(id * 7919),
        kind: KindId((id % 5 % 2) as usize),
        cell: CellId(id as u32 / CELL_SIZE),
        zone: ZoneId(id as u32 / CELL_SIZE % 4),
        ..Engine::default()
    };
    (0..n).map(engine).collect()
}

/// A router with simulated engines, and what is measured of it.
struct Bench {
    router: Router,
    now: Duration,
    time_spent: Duration,
    events: u64,
    hash: u64,
    load: f64,
}

impl Bench {
    fn report(&self, engine: EngineId) -> LoadReport {
        let bits = xxh3_64_with_seed(&engine.0.to_le_bytes(), self.now.as_secs());
        let fraction = (bits >> 11) as f64 / (1u64 << 53) as f64;
        LoadReport {
            in_flight: Some(9.0),
            queued: Some((fraction * self.load).floor()),
            memory_share: Some(fraction),
            ..LoadReport::default()
        }
    }

    /// Handles one event and adds its time and actions to the measurements.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let start = Instant::now();
        self.router.handle(self.now, event, &mut out);
        self.time_spent += start.elapsed();
        self.events += 1;
        let actions: Vec<String> = out.iter().map(stable_text).collect();
        let text = format!("[{}]", actions.join(", "));
        self.hash = xxh3_64_with_seed(text.as_bytes(), self.hash);
        out
    }

    /// Handles one event and all events that follow from its actions.
    fn run_event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.handle(event) {
                match action {
                    Action::Probe(engine) => events.push(Event::ProbeEnded {
                        engine,
                        outcome: Outcome::Completed,
                        report: self.report(engine),
                    }),
                    Action::Send { request, engine, .. } => {
                        let is_prefill = engine.0 / 7919 % 5 % 2 == 0;
                        let attempt = usize::from(!is_prefill);
                        let ended = |outcome, report| {
                            let latency = Duration::from_millis(20);
                            let cached_tokens = 0.0;
                            let finished = outcome == Outcome::Completed;
                            Event::AttemptEnded(AttemptEnded {
                                request,
                                attempt,
                                outcome,
                                latency,
                                request_finished: finished,
                                cached_tokens,
                                report,
                            })
                        };
                        if is_prefill {
                            events.push(ended(Outcome::Prefilled, self.report(engine)));
                        } else {
                            events.push(ended(Outcome::Completed, self.report(engine)));
                            let latency = Duration::from_millis(10);
                            events.push(Event::FirstToken { request, attempt, latency });
                        }
                    }
                    _ => {}
                }
            }
        }
    }
}

/// An action as text that does not change when types, variants or fields are renamed, so that hashes of
/// builds before and after a renaming can be compared.
fn stable_text(action: &Action) -> String {
    match action {
        Action::Send { request, engine, timeout } => {
            format!(
                "Send {{ request: RequestId({}), engine: EngineId({}), limit: {timeout:?} }}",
                request.0, engine.0
            )
        }
        Action::Cancel { request, attempt } => {
            format!("Cancel {{ request: RequestId({}), attempt: {attempt} }}", request.0)
        }
        Action::Reject { request, retry_after, over_quota } => format!(
            "Refuse {{ request: RequestId({}), retry_after: {retry_after:?}, over_share: {over_quota} }}",
            request.0
        ),
        Action::Fail(request) => format!("Fail(RequestId({}))", request.0),
        Action::Release(request) => format!("Release(RequestId({}))", request.0),
        Action::Reserve { request, engine } => {
            format!("Reserve {{ request: RequestId({}), engine: EngineId({}) }}", request.0, engine.0)
        }
        Action::MigrateStream(request) => format!("MoveStream(RequestId({}))", request.0),
        Action::SetTimer { timer, after } => {
            format!("SetTimer {{ timer: TimerId({}), after: {after:?} }}", timer.0)
        }
        Action::Probe(engine) => format!("Probe(EngineId({}))", engine.0),
        Action::CloseIdleConnections(engine) => format!("CloseIdle(EngineId({}))", engine.0),
        Action::WatchEngines(watch) => format!("WatchEngines({watch})"),
        Action::FetchEngines => "FetchEngines".to_owned(),
        Action::SendToPeer { to, body } => format!("TellPeer {{ to: {to:?}, body: {body:?} }}"),
        Action::Log(event) => format!("Log({:?})", event.to_string()),
    }
}

/// Runs the benchmark with `n` engines, whose queues have up to `load` requests. Returns the time and the
/// number of events per request, and the hash.
fn run(n: u64, load: f64) -> (Duration, f64, u64) {
    let router = Router::new(settings(), 7);
    let mut bench = Bench {
        router,
        now: Duration::from_secs(1000),
        time_spent: Duration::ZERO,
        events: 0,
        hash: 0,
        load,
    };
    bench.handle(Event::Engines { listing: Listing::Complete, engines: engines(n) });
    for id in 0..n {
        let engine = EngineId(id * 7919);
        let report = bench.report(engine);
        bench.handle(Event::ProbeEnded { engine, outcome: Outcome::Completed, report });
    }
    (bench.time_spent, bench.events) = (Duration::ZERO, 0);
    for id in 0..REQUEST_COUNT {
        bench.now += Duration::from_micros(500);
        bench.run_event(Event::Request(Request {
            id: RequestId(id),
            class: ClassId((id % 2) as usize),
            session: id / 3,
            shared_prefix: (id % 4 == 0).then_some(id % 16),
            prompt_tokens: 200.0 + (id * 37 % 1900) as f64,
            max_output_tokens: 300.0,
            client_timeout: Duration::from_secs(6),
            ..Request::default()
        }));
    }
    (bench.time_spent / REQUEST_COUNT as u32, bench.events as f64 / REQUEST_COUNT as f64, bench.hash)
}

fn main() {
    for load in [0.0, 30.0] {
        let mut with_50_engines = None;
        for n in [10, 50, 200, 1_000, 5_000] {
            let (spent, events, hash) = run(n, load);
            let time_per_event = spent.as_secs_f64() / events;
            if n == 50 {
                with_50_engines = Some((spent.as_secs_f64(), time_per_event));
            }
            let (request_ratio, event_ratio) = with_50_engines.map_or((1.0, 1.0), |(request, event)| {
                (spent.as_secs_f64() / request, time_per_event / event)
            });
            println!("queues to {load:>2} {n:>6} engines {spent:>12.1?} a request, {request_ratio:>6.2} of 50; {events:>5.1} events, {event_ratio:>5.2} of 50 each; {hash:016x}");
        }
    }
}
