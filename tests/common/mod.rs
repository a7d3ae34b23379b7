//! Shared fixtures: settings, engines, requests and a host that passes events to a router.
#![allow(dead_code)]

use slipreel::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(priority_weight: f64, latency_objective_ms: u64, idempotency: Idempotency) -> Class {
    Class {
        latency_objective: ms(latency_objective_ms),
        latency_objective_per_1000_tokens: ms(40),
        priority_weight,
        idempotency,
        streams: true,
    }
}

/// Settings with two classes of the same idempotency, with priority weights 3 (protected) and 1 (droppable).
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        router_count: 1,
        zone: ZoneId(0),
        tick: ms(2),
        classes: vec![class(3.0, 1000, idempotency), class(1.0, 2000, idempotency)],
        tenants: vec![],
        over_quota_weight: 0.05,
        kind_roles: vec![Role::Prefill, Role::Decode, Role::Mixed],
        memory_tokens: vec![],
        decode_engines_prefill: false,
        requests_engine_list: false,
        report_source: ReportSource::Answers,
        limits: Limits {
            max_attempts: 4,
            cancellation: true,
            probes: true,
            hedged_requests: false,
            max_retry_after: Some(ms(2000)),
            connect_timeout: ms(250),
        },
        warmup_initial_share: 0.3,
        warmup_time: ms(10_000),
        warmup_budget: Duration::ZERO,
        held_state_limit: ms(500),
        release_spares_awaited_state: true,
    }
}

/// An engine of kind 0 (prefill), 1 (decode) or 2 (mixed) that started long ago, in the cell and the zone
/// with the number `cell`.
pub fn engine(id: u64, kind: usize, cell: u32) -> Engine {
    Engine {
        id: EngineId(id),
        kind: KindId(kind),
        cell: CellId(cell),
        zone: ZoneId(cell),
        ..Engine::default()
    }
}

pub fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        session: id,
        shared_prefix: Some(5),
        prompt_tokens: 1000.0,
        max_output_tokens: 200.0,
        client_timeout: ms(4000),
        ..Request::default()
    }
}

/// A host with one router and a simulated clock. Probes are answered at once unless `probes_unanswered` is
/// set.
pub struct Host {
    pub router: Router,
    pub now: Duration,
    pub probes_unanswered: bool,
    /// The waiting prompt tokens that each engine reports when it is probed.
    pub waiting_tokens: Option<f64>,
}

impl Host {
    pub fn new(settings: Settings, seed: u64, engines: Vec<Engine>) -> Self {
        let mut host = Host {
            router: Router::new(settings, seed),
            now: ms(100_000),
            probes_unanswered: false,
            waiting_tokens: None,
        };
        host.update_endpoints(Listing::Complete, engines);
        host
    }

    /// Passes an event to the router, answers the probes that it asks for, and returns all actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        let mut next = 0;
        while let Some(action) = actions.get(next) {
            next += 1;
            if let (false, &Action::Probe(engine)) = (self.probes_unanswered, action) {
                let report = LoadReport { waiting_tokens: self.waiting_tokens, ..LoadReport::default() };
                let probed = Event::ProbeEnded { engine, outcome: Outcome::Completed, report };
                self.router.handle(self.now, probed, &mut actions);
            }
        }
        actions
    }

    pub fn update_endpoints(&mut self, listing: Listing, engines: Vec<Engine>) -> Vec<Action> {
        self.handle(Event::Engines { listing, engines })
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Request(request))
    }

    pub fn end_attempt(&mut self, id: u64, attempt: usize, outcome: Outcome) -> Vec<Action> {
        self.end_attempt_with_report(id, attempt, outcome, LoadReport::default())
    }

    pub fn end_attempt_with_report(
        &mut self, id: u64, attempt: usize, outcome: Outcome, report: LoadReport,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Completed;
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            latency: ms(50),
            request_finished: finished,
            cached_tokens: 0.0,
            report,
        }))
    }

    /// Lets an engine report its load in the answer to a probe.
    pub fn report_load(&mut self, id: u64, waiting_tokens: f64) {
        let report = LoadReport { waiting_tokens: Some(waiting_tokens), ..LoadReport::default() };
        self.handle(Event::ProbeEnded { engine: EngineId(id), outcome: Outcome::Completed, report });
    }
}

/// The engine of the first [`Action::Send`] among the actions; `None` if there is none.
pub fn send_target(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Send { engine, .. } => Some(engine.0),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

pub fn is_released(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Release(_)))
}

/// The timers set among the actions, with their times.
pub fn timers(actions: &[Action]) -> Vec<(TimerId, Duration)> {
    let timer = |a: &Action| match a {
        Action::SetTimer { timer, after } => Some((*timer, *after)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Lets timers fire in order until `found` holds for the actions of one of them, and returns these actions.
pub fn run_timers_until(
    host: &mut Host, mut actions: Vec<Action>, found: impl Fn(&[Action]) -> bool,
) -> Vec<Action> {
    let mut due = Vec::new();
    while !found(&actions) {
        due.extend(timers(&actions).into_iter().map(|(timer, after)| (host.now + after, timer)));
        due.sort_by_key(|&(at, _)| std::cmp::Reverse(at));
        let (at, timer) = due.pop().expect("a pending timer");
        host.now = at;
        actions = host.handle(Event::TimerFired(timer));
    }
    actions
}
