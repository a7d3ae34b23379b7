//! A site to test on: settings, engines and a host that carries the router's actions.
#![allow(dead_code)]

use slipreel::*;
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(worth: f64, aim: u64, effect: Idempotency) -> Class {
    Class {
        latency_objective: ms(aim),
        latency_objective_per_1000_tokens: ms(40),
        priority_weight: worth,
        idempotency: effect,
        streams: true,
    }
}

/// Two classes, worth 3 (protected) and 1, both of one effect.
pub fn settings(effect: Idempotency) -> Settings {
    Settings {
        router_count: 1,
        zone: ZoneId(0),
        tick: ms(2),
        classes: vec![class(3.0, 1000, effect), class(1.0, 2000, effect)],
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
    }
}

/// An engine of kind 0 (reader), 1 (writer) or 2 (mixed), long started, in the cell and zone given.
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

/// A router, its clock, and engines that answer probes at once unless they are `mute`.
pub struct Host {
    pub router: Router,
    pub now: Duration,
    pub mute: bool,
    /// The prompt tokens that wait at each engine, as it tells when it is probed.
    pub waiting: Option<f64>,
}

impl Host {
    pub fn new(settings: Settings, seed: u64, engines: Vec<Engine>) -> Self {
        let mut host =
            Host { router: Router::new(settings, seed), now: ms(100_000), mute: false, waiting: None };
        host.list(Listing::Complete, engines);
        host
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        let mut next = 0;
        while let Some(action) = out.get(next) {
            next += 1;
            if let (false, &Action::Probe(engine)) = (self.mute, action) {
                let report = LoadReport { waiting_tokens: self.waiting, ..LoadReport::default() };
                let probed = Event::ProbeEnded { engine, outcome: Outcome::Completed, report };
                self.router.handle(self.now, probed, &mut out);
            }
        }
        out
    }

    pub fn list(&mut self, listing: Listing, engines: Vec<Engine>) -> Vec<Action> {
        self.tell(Event::Engines { listing, engines })
    }

    pub fn ask(&mut self, request: Request) -> Vec<Action> {
        self.tell(Event::Request(request))
    }

    pub fn end(&mut self, id: u64, attempt: usize, outcome: Outcome) -> Vec<Action> {
        self.end_with(id, attempt, outcome, LoadReport::default())
    }

    pub fn end_with(&mut self, id: u64, attempt: usize, outcome: Outcome, report: LoadReport) -> Vec<Action> {
        let finished = outcome == Outcome::Completed;
        self.tell(Event::AttemptEnded(AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            latency: ms(50),
            request_finished: finished,
            cached_tokens: 0.0,
            report,
        }))
    }

    /// Lets an engine report its load by a probe.
    pub fn report(&mut self, id: u64, waiting_tokens: f64) {
        let report = LoadReport { waiting_tokens: Some(waiting_tokens), ..LoadReport::default() };
        self.tell(Event::ProbeEnded { engine: EngineId(id), outcome: Outcome::Completed, report });
    }
}

pub fn sent_to(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| match a {
        Action::Send { engine, .. } => Some(engine.0),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

pub fn released(actions: &[Action]) -> bool {
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

/// Lets time pass from timer to timer, until a set of actions holds what is looked for.
pub fn wait_for(host: &mut Host, mut out: Vec<Action>, found: impl Fn(&[Action]) -> bool) -> Vec<Action> {
    let mut due = Vec::new();
    while !found(&out) {
        due.extend(timers(&out).into_iter().map(|(timer, after)| (host.now + after, timer)));
        due.sort_by_key(|&(at, _)| std::cmp::Reverse(at));
        let (at, timer) = due.pop().expect("a timer that leads there");
        host.now = at;
        out = host.tell(Event::TimerFired(timer));
    }
    out
}
