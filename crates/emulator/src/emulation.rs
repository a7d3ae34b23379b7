//! The emulation: handles the events of clients, routers and engines in order. Each message takes a fixed
//! time to arrive.

use crate::engine::{AttemptId, Engine, EngineReply, EngineRequest};
use crate::roles::RolePlanning;
use crate::router::{Command, EmulatedRouter, RoutedAttempt, RoutedRequest, SettingsChange};
use slipreel::{
    CellId, ClassId, EngineId, EngineState, Event as RouterEvent, KindId, Listing, LoadReport, Outcome,
    RequestId, Role, TenantId, TimerId, ZoneId,
};
use slipreel_gateway::engine_id;
use slipreel_invariants::Effect;
use slipreel_scenario::Scenario;
use slipreel_test_servers::client::ClientBehaviour;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The clock starts at this time, as that of `slipreel-scenario` does.
const CLOCK_START: Duration = Duration::from_secs(1 << 20);
/// Time that a message takes one way, about as in the in-memory network of the test servers.
const ONE_WAY_DELAY: Duration = Duration::from_micros(75);
/// Interval between two runs of the planner.
const PLANNING_INTERVAL: Duration = Duration::from_secs(1);
/// After traffic ends, requests have this long to finish.
const COMPLETION_LIMIT: Duration = Duration::from_secs(120);

/// Results of the requests for one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelResults {
    /// Number of requests.
    pub asked: usize,
    /// Requests with a complete answer.
    pub served: usize,
    /// Requests whose last attempt was rejected.
    pub refused: usize,
    /// Requests whose last attempt failed.
    pub failed: usize,
    /// Requests whose client disconnected before the answer was complete.
    pub left: usize,
    /// Times from when a request was due until its answer began, for all answers that began, sorted.
    pub waits: Vec<Duration>,
}

/// Results of an emulated scenario. The gateway is not part of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EmulationReport {
    /// Results by model.
    pub models: BTreeMap<String, ModelResults>,
    /// Number of attempts sent to engines.
    pub attempts: usize,
    /// Number of probes sent to engines.
    pub probes: usize,
    /// Number of events handled.
    pub events: u64,
    /// Requests that routers still held at the end, plus states that engines still held. Any is a leak.
    pub held_items: usize,
    /// Role changes that engines accepted: when since the start of the run, and why.
    pub role_changes: Vec<(Duration, String)>,
    /// Number of engines that failed because they received too much work while cold.
    pub overloaded_engines: usize,
    /// By the second in which requests were due: how many were sent, and how many of these were served.
    pub by_second: BTreeMap<u64, (usize, usize)>,
    /// Kinds of trouble in the scenario, none of which is emulated.
    pub not_played: Vec<String>,
}

impl EmulationReport {
    /// Totals over all models: requests, and requests with a complete answer.
    pub fn sum(&self) -> (usize, usize) {
        self.models.values().fold((0, 0), |(asked, served), m| (asked + m.asked, served + m.served))
    }
}

/// What happens at a scheduled time.
enum Event {
    ClientSends {
        script_index: usize,
        attempt_number: u32,
    },
    /// A timer fires; `of_predecessor` if the module from before a settings change set it.
    Timer {
        router: usize,
        timer: TimerId,
        of_predecessor: bool,
    },
    ChangeSettings(SettingsChange),
    AttemptArrives {
        engine: usize,
        engine_request: EngineRequest,
    },
    EngineWakes(usize),
    ReplyArrives {
        attempt_id: AttemptId,
        reply: EngineReply,
        report: LoadReport,
    },
    CancelArrives {
        engine: usize,
        attempt_id: AttemptId,
    },
    FetchEnds {
        engine: usize,
        active_request: u64,
        from: usize,
        state: u64,
    },
    ReleaseArrives {
        engine: usize,
        state: u64,
    },
    ProbeArrives {
        router: usize,
        engine: usize,
    },
    ProbeReplyArrives {
        router: usize,
        engine: EngineId,
        report: LoadReport,
    },
    /// The client disconnects; unless `even_if_begun`, only if its answer has not begun.
    ClientLeaves {
        router: usize,
        request: u64,
        even_if_begun: bool,
    },
    DeliverList,
    PlanRoles,
}

/// State of the emulation.
struct Emulation<'a> {
    scenario: &'a Scenario,
    now: Duration,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    /// Index of each engine by its id.
    by_id: BTreeMap<EngineId, usize>,
    /// Zone and cell of each engine, as numbers.
    locations: Vec<(u32, u32)>,
    routers: Vec<EmulatedRouter>,
    roles: Option<RolePlanning>,
    results: EmulationReport,
    open_requests: usize,
    last_request: u64,
    /// When the emulation ends, known once all requests have ended.
    end_after: Option<Duration>,
    /// Requests that may be complete, to be removed once no router event is being handled, and the nesting
    /// depth of router events.
    possibly_done: Vec<(usize, u64)>,
    event_depth: usize,
}

/// Emulates a scenario. Equal scenarios give equal reports.
pub fn emulate(scenario: &Scenario) -> EmulationReport {
    emulate_with_settings_change(scenario, None)
}

/// Emulates a scenario in which the settings of all routers change at the same moment, if one is given.
pub fn emulate_with_settings_change(
    scenario: &Scenario, change: Option<(Duration, SettingsChange)>,
) -> EmulationReport {
    let mut emulation = Emulation::new(scenario);
    if let Some((at, change)) = change {
        emulation.schedule(CLOCK_START + at, Event::ChangeSettings(change));
    }
    emulation.run();
    let orders = emulation.roles.take().map_or_else(Vec::new, |r| r.accepted_orders);
    emulation.results.role_changes = orders.into_iter().map(|(at, why)| (at - CLOCK_START, why)).collect();
    emulation.results.overloaded_engines = emulation.engines.iter().filter(|e| e.overloaded).count();
    let states: usize = emulation.engines.iter().map(|e| e.scheduler.states.len()).sum();
    emulation.results.held_items = emulation.routers.iter().map(|r| r.requests.len()).sum::<usize>() + states;
    emulation.results.models.values_mut().for_each(|m| m.waits.sort());
    emulation.results
}

/// The index of a name in the list, which it is added to if needed.
fn index_of_name(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    at as u32
}

impl<'a> Emulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let (mut zones, mut cells) = (Vec::new(), Vec::new());
        let mut engines = Vec::new();
        let mut locations = Vec::new();
        for (n, planned) in scenario.engines.iter().enumerate() {
            // The ids are the same as in `run_in_memory`, so that requests have the same preferred engines.
            let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 20_000 + (n % 40_000) as u16));
            let id = EngineId(engine_id(addr).0 + ((n / 40_000) as u64 * (1 << 48)));
            let started = CLOCK_START.saturating_sub(planned.spec.cold_time * 4);
            engines.push(Engine::new(planned.spec.clone(), id, started, 0));
            locations
                .push((index_of_name(&mut zones, &planned.zone), index_of_name(&mut cells, &planned.cell)));
        }
        let new_router = |r: usize| {
            let router_settings = scenario.router_settings(r, &[]);
            let mut settings = router_settings.decisions;
            settings.zone = ZoneId(zones.iter().position(|z| *z == router_settings.zone).unwrap_or(0) as u32);
            let seed = scenario.seed.wrapping_mul(0x9e37_79b9).wrapping_add(r as u64 + 1000);
            EmulatedRouter {
                router: slipreel::Router::new(settings, seed),
                predecessor: None,
                requests: BTreeMap::new(),
                listed_engines: BTreeMap::new(),
            }
        };
        let routers = (0..scenario.routers).map(new_router).collect();
        let roles = scenario.role_policy.and_then(|policy| RolePlanning::new(scenario, policy));
        let mut not_played: Vec<String> = scenario.troubles.iter().map(|t| format!("{:?}", t.kind)).collect();
        not_played.sort();
        not_played.dedup();
        let mut emulation = Emulation {
            scenario,
            now: CLOCK_START,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            by_id: engines.iter().enumerate().map(|(n, e)| (e.id, n)).collect(),
            engines,
            locations,
            routers,
            roles,
            results: EmulationReport { not_played, ..EmulationReport::default() },
            open_requests: scenario.requests.len(),
            last_request: 0,
            end_after: None,
            possibly_done: Vec::new(),
            event_depth: 0,
        };
        emulation.deliver_list();
        for (script_index, p) in scenario.requests.iter().enumerate() {
            emulation.schedule(
                CLOCK_START + Duration::from_millis(500) + p.at,
                Event::ClientSends { script_index, attempt_number: 1 },
            );
        }
        if emulation.roles.is_some() {
            emulation.schedule(CLOCK_START + PLANNING_INTERVAL, Event::PlanRoles);
        }
        emulation
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Schedules the arrival of a message that is sent now.
    fn send(&mut self, event: Event) {
        self.schedule(self.now + ONE_WAY_DELAY, event);
    }

    fn run(&mut self) {
        let end = CLOCK_START + self.scenario.length + COMPLETION_LIMIT;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            // Within a second after the last answer, all held state has been released.
            if at > end
                || self.open_requests == 0 && at > *self.end_after.get_or_insert(at + Duration::from_secs(1))
            {
                break;
            }
            self.now = self.now.max(at);
            self.results.events += 1;
            if let Some(event) = self.events.remove(&sequence) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientSends { script_index, attempt_number } => {
                self.client_sends(script_index, attempt_number);
            }
            Event::Timer { router, timer, of_predecessor } => {
                self.handle_module_event(router, RouterEvent::TimerFired(timer), of_predecessor);
            }
            Event::ChangeSettings(change) => self.change_settings(change),
            Event::AttemptArrives { engine, engine_request } => self.attempt_arrives(engine, engine_request),
            // Ignores a wake-up that an earlier one has replaced. Otherwise each would schedule another.
            Event::EngineWakes(engine) if self.engines[engine].next_wake == Some(self.now) => {
                self.engines[engine].next_wake = None;
                self.advance_engine(engine);
            }
            Event::EngineWakes(_) => {}
            Event::ReplyArrives { attempt_id, reply, report } => {
                self.reply_arrives(attempt_id, reply, report);
            }
            Event::CancelArrives { engine, attempt_id } => {
                self.engines[engine].cancel(attempt_id);
                self.advance_engine(engine);
            }
            Event::FetchEnds { engine, active_request, from, state } => {
                let succeeded = self.engines[from].release_state(state);
                self.advance_engine(from);
                if let Some((attempt_id, reply)) =
                    self.engines[engine].finish_fetch(active_request, succeeded)
                {
                    let report = self.engines[engine].report();
                    self.send(Event::ReplyArrives { attempt_id, reply, report });
                }
                self.advance_engine(engine);
            }
            Event::ReleaseArrives { engine, state } => {
                self.engines[engine].release_state(state);
                self.advance_engine(engine);
            }
            Event::ProbeArrives { router, engine } => {
                let (id, report) = (self.engines[engine].id, self.engines[engine].report());
                self.send(Event::ProbeReplyArrives { router, engine: id, report });
            }
            Event::ProbeReplyArrives { router, engine, report } => {
                self.handle_router_event(
                    router,
                    RouterEvent::ProbeEnded { engine, outcome: Outcome::Completed, report },
                );
            }
            Event::ClientLeaves { router, request, even_if_begun } => {
                self.client_leaves(router, request, even_if_begun);
            }
            Event::DeliverList => self.deliver_list(),
            Event::PlanRoles => self.plan_roles(),
        }
    }

    // ---- Clients ------------------------------------------------------------------------------

    fn client_sends(&mut self, script_index: usize, attempt_number: u32) {
        let p = &self.scenario.requests[script_index];
        let Some(model) = self.scenario.settings.models.iter().find(|m| m.name == p.model) else { return };
        let class = model.class;
        let router = p.request as usize % self.routers.len().max(1);
        self.last_request += 1;
        let id = self.last_request;
        let model_results = self.results.models.entry(p.model.clone()).or_default();
        model_results.asked += usize::from(attempt_number == 1);
        if attempt_number == 1 {
            self.results.by_second.entry((self.now - CLOCK_START).as_secs()).or_default().0 += 1;
        }
        if let Some(roles) = &mut self.roles {
            roles
                .class_counts
                .entry(self.scenario.settings.classes[class].name.clone())
                .or_default()
                .requests += 1;
        }
        let routed = RoutedRequest {
            script_index,
            attempt_number,
            due: self.now,
            attempts: Vec::new(),
            has_begun: false,
            is_over: false,
        };
        self.routers[router].requests.insert(id, routed);
        let time_left = p.patience.min(self.scenario.settings.classes[class].client_timeout);
        let tenant = self.scenario.settings.tenants.iter().position(|t| t.keys.contains(&p.key)).unwrap_or(0);
        let request = slipreel::Request {
            id: RequestId(id),
            class: ClassId(class),
            tenant: TenantId(tenant),
            session: xxh3_64(p.session.as_bytes()),
            shared_prefix: (!p.system.is_empty()).then(|| xxh3_64(p.system.as_bytes())),
            prompt_tokens: ((p.system.len() + p.prompt.len()) as f64 / 4.0 + 50.0).ceil(),
            max_output_tokens: f64::from(p.max_tokens),
            client_timeout: time_left,
            complete_answer_timeout: (!p.stream).then_some(time_left),
            is_retry: attempt_number > 1,
            is_resumption: false,
        };
        self.schedule(
            self.now + time_left,
            Event::ClientLeaves { router, request: id, even_if_begun: false },
        );
        if let ClientBehaviour::LeavesAfter(after) = p.behaviour {
            self.schedule(self.now + after, Event::ClientLeaves { router, request: id, even_if_begun: true });
        }
        self.handle_router_event(router, RouterEvent::Request(request));
    }

    fn client_leaves(&mut self, router: usize, request: u64, even_if_begun: bool) {
        let Some(routed) = self.routers[router].requests.get_mut(&request).filter(|c| !c.is_over) else {
            return;
        };
        if routed.has_begun && !even_if_begun {
            return;
        }
        routed.is_over = true;
        let (model, attempts) =
            (self.scenario.requests[routed.script_index].model.clone(), routed.attempts.clone());
        self.results.models.entry(model).or_default().left += 1;
        self.open_requests -= 1;
        for (attempt, a) in attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
            self.send(Event::CancelArrives {
                engine: a.engine,
                attempt_id: AttemptId { router, request, attempt },
            });
        }
        self.possibly_done.push((router, request));
        self.handle_router_event(router, RouterEvent::ClientDisconnected(RequestId(request)));
        for (attempt, _) in attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
            self.attempt_ended(
                AttemptId { router, request, attempt },
                Outcome::Cancelled,
                0.0,
                LoadReport::default(),
            );
        }
    }

    /// Ends a request with its final answer. After a rejection or failure, its client may send it again.
    fn finish_request(
        &mut self, router: usize, request: u64, outcome: fn(&mut ModelResults) -> &mut usize,
        wait: Option<Duration>,
    ) {
        let Some(routed) = self.routers[router].requests.get_mut(&request).filter(|c| !c.is_over) else {
            return;
        };
        routed.is_over = true;
        let (script_index, attempt_number) = (routed.script_index, routed.attempt_number);
        self.possibly_done.push((router, request));
        let p = &self.scenario.requests[script_index];
        if let Some(wait) = wait.filter(|_| attempt_number < p.max_attempts) {
            let wait = if p.honours_retry_after { wait.max(p.backoff) } else { p.backoff };
            return self.schedule(
                self.now + wait,
                Event::ClientSends { script_index, attempt_number: attempt_number + 1 },
            );
        }
        *outcome(self.results.models.entry(p.model.clone()).or_default()) += 1;
        self.open_requests -= 1;
    }

    // ---- Routers ------------------------------------------------------------------------------

    /// Replaces the decision modules of all routers at the same moment, as for new settings. The settings stay
    /// the same, so that results can differ only by what the modules have learnt.
    fn change_settings(&mut self, change: SettingsChange) {
        for router in 0..self.routers.len() {
            let router_settings = self.scenario.router_settings(router, &[]);
            let mut settings = router_settings.decisions;
            settings.zone = self.zone_of(&router_settings.zone);
            let seed = self.scenario.seed.wrapping_mul(0x51ed_270b).wrapping_add(router as u64);
            let (now, last) = (self.now, self.last_request);
            for command in self.routers[router].change_settings(now, settings, change, last, seed) {
                self.execute(router, command);
            }
        }
        if change == SettingsChange::Fresh {
            self.deliver_list();
        }
    }

    /// The id of a zone, numbered in the order in which engines first name it.
    fn zone_of(&self, name: &str) -> ZoneId {
        let mut zones = Vec::new();
        self.scenario.engines.iter().for_each(|p| {
            index_of_name(&mut zones, &p.zone);
        });
        ZoneId(zones.iter().position(|z| z == name).unwrap_or(0) as u32)
    }

    fn handle_router_event(&mut self, router: usize, event: RouterEvent) {
        self.handle_module_event(router, event, false);
    }

    /// Passes an event to the decision module and executes its commands. `of_predecessor` is set for a timer
    /// of the module from before a settings change.
    fn handle_module_event(&mut self, router: usize, event: RouterEvent, of_predecessor: bool) {
        self.event_depth += 1;
        for command in self.routers[router].handle(router, self.now, event, of_predecessor) {
            self.execute(router, command);
        }
        self.event_depth -= 1;
        // Completed requests are removed only now, as the last action of a module for a request is to release
        // its state.
        if self.event_depth == 0 {
            for (router, request) in std::mem::take(&mut self.possibly_done) {
                if self.routers[router].requests.get(&request).is_some_and(RoutedRequest::is_done) {
                    self.routers[router].requests.remove(&request);
                }
            }
        }
    }

    fn execute(&mut self, router: usize, command: Command) {
        match command {
            Command::SetTimer(timer, after, of_predecessor) => {
                self.schedule(self.now.saturating_add(after), Event::Timer { router, timer, of_predecessor });
            }
            Command::Send(request, engine) => self.send_attempt(router, request, engine),
            Command::Cancel(attempt_id) => {
                let routed = self.routers[router].requests.get(&attempt_id.request);
                let Some(a) = routed.and_then(|c| c.attempts.get(attempt_id.attempt)).filter(|a| a.in_flight)
                else {
                    return;
                };
                let engine = a.engine;
                self.send(Event::CancelArrives { engine, attempt_id });
                self.attempt_ended(attempt_id, Outcome::Cancelled, 0.0, LoadReport::default());
            }
            Command::Release(request) => {
                let Some(routed) = self.routers[router].requests.get_mut(&request) else { return };
                let held = routed.attempts.iter_mut().filter_map(|a| a.state.take().map(|s| (a.engine, s)));
                for (engine, state) in held.collect::<Vec<_>>() {
                    self.send(Event::ReleaseArrives { engine, state });
                }
            }
            Command::Reject(request, wait) => {
                let wait = wait.unwrap_or_default();
                self.finish_request(router, request, |s| &mut s.refused, Some(wait));
            }
            Command::Fail(request) => {
                let script_index = self.routers[router].requests.get(&request).map(|c| c.script_index);
                let may_retry =
                    script_index.is_some_and(|p| self.scenario.requests[p].effect != Effect::Unsafe);
                self.finish_request(router, request, |s| &mut s.failed, may_retry.then_some(Duration::ZERO));
            }
            Command::Probe(id) => {
                self.results.probes += 1;
                if let Some(&engine) = self.by_id.get(&id) {
                    self.send(Event::ProbeArrives { router, engine });
                }
            }
        }
    }

    fn send_attempt(&mut self, router: usize, request: u64, id: EngineId) {
        let Some(&engine) = self.by_id.get(&id) else { return };
        let role = self.routers[router].listed_engines.get(&engine).map_or(Role::Mixed, |(role, _)| *role);
        let Some(routed) = self.routers[router].requests.get_mut(&request) else { return };
        let (is_prefill, state) = (role == Role::Prefill, routed.state());
        let attempt = routed.attempts.len();
        routed.attempts.push(RoutedAttempt { engine, sent: self.now, in_flight: true, state: None });
        self.results.attempts += 1;
        let p = &self.scenario.requests[routed.script_index];
        let tokens = |text: &str| (text.len() as u64).div_ceil(4) + 4;
        let prefix_hash = xxh3_64(p.system.as_bytes());
        let mut parts = vec![(xxh3_64_with_seed(p.prompt.as_bytes(), prefix_hash), tokens(&p.prompt))];
        if !p.system.is_empty() {
            parts.insert(0, (prefix_hash, tokens(&p.system)));
        }
        let attempt_id = AttemptId { router, request, attempt };
        let engine_request = EngineRequest {
            attempt_id,
            is_prefill,
            held_state: state.filter(|_| !is_prefill),
            prompt_parts: parts,
            answer_tokens: p.length.min(p.max_tokens),
        };
        self.send(Event::AttemptArrives { engine, engine_request });
    }

    fn reply_arrives(&mut self, attempt_id: AttemptId, reply: EngineReply, report: LoadReport) {
        let AttemptId { router, request, attempt } = attempt_id;
        let now = self.now;
        let Some(routed) = self.routers[router].requests.get_mut(&request) else { return };
        let Some(a) = routed.attempts.get_mut(attempt).filter(|a| a.in_flight) else { return };
        let class = self
            .scenario
            .settings
            .models
            .iter()
            .find(|m| m.name == self.scenario.requests[routed.script_index].model)
            .map(|m| m.class);
        let name = class.map(|c| self.scenario.settings.classes[c].name.clone()).unwrap_or_default();
        match reply {
            EngineReply::Prefilled { state, cached_tokens } => {
                a.state = Some(state);
                let prompt_tokens: u64 = {
                    let p = &self.scenario.requests[routed.script_index];
                    (p.system.len() + p.prompt.len()) as u64 / 4
                };
                if let Some(roles) = &mut self.roles {
                    let c = roles.class_counts.entry(name).or_default();
                    (c.prefills, c.prefill_tokens) =
                        (c.prefills + 1, c.prefill_tokens + prompt_tokens.saturating_sub(cached_tokens));
                }
                self.attempt_ended(attempt_id, Outcome::Prefilled, cached_tokens as f64, report);
            }
            EngineReply::FirstToken => {
                let latency = now.saturating_sub(a.sent);
                // The decode engine has fetched the state.
                routed.attempts.iter_mut().for_each(|a| a.state = None);
                let (first, due, script_index) =
                    (!std::mem::replace(&mut routed.has_begun, true), routed.due, routed.script_index);
                if first {
                    let model = self.scenario.requests[script_index].model.clone();
                    self.results.models.entry(model).or_default().waits.push(now.saturating_sub(due));
                }
                self.handle_router_event(
                    router,
                    RouterEvent::FirstToken { request: RequestId(request), attempt, latency },
                );
            }
            EngineReply::Completed => {
                let p = &self.scenario.requests[routed.script_index];
                let tokens = u64::from(p.length.min(p.max_tokens));
                if let Some(roles) = &mut self.roles {
                    let c = roles.class_counts.entry(name).or_default();
                    (c.answers, c.answer_tokens) = (c.answers + 1, c.answer_tokens + tokens);
                }
                let due = self.routers[router]
                    .requests
                    .get(&request)
                    .filter(|c| !c.is_over)
                    .map(|c| self.scenario.requests[c.script_index].at);
                if let Some(due) = due {
                    let second = (Duration::from_millis(500) + due).as_secs();
                    self.results.by_second.entry(second).or_default().1 += 1;
                }
                self.finish_request(router, request, |s| &mut s.served, None);
                self.attempt_ended(attempt_id, Outcome::Completed, 0.0, report);
            }
            // Rejections carry no load report, as the error answers of the simulated engine don't.
            EngineReply::Rejected => {
                self.attempt_ended(
                    attempt_id,
                    Outcome::Rejected { state_missing: false },
                    0.0,
                    LoadReport::default(),
                );
            }
            EngineReply::StateMissing => {
                self.attempt_ended(
                    attempt_id,
                    Outcome::Rejected { state_missing: true },
                    0.0,
                    LoadReport::default(),
                );
            }
        }
    }

    fn attempt_ended(
        &mut self, attempt_id: AttemptId, outcome: Outcome, cached_tokens: f64, report: LoadReport,
    ) {
        let AttemptId { router, request, attempt } = attempt_id;
        let now = self.now;
        let Some(routed) = self.routers[router].requests.get_mut(&request) else { return };
        let Some(a) = routed.attempts.get_mut(attempt).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        let latency = now.saturating_sub(a.sent);
        let finished = routed.is_over;
        self.possibly_done.push((router, request));
        let request = RequestId(request);
        self.handle_router_event(
            router,
            RouterEvent::AttemptEnded(slipreel::AttemptEnded {
                request,
                attempt,
                outcome,
                latency,
                request_finished: finished,
                cached_tokens,
                report,
            }),
        );
    }

    // ---- Engines ------------------------------------------------------------------------------

    fn attempt_arrives(&mut self, engine: usize, engine_request: EngineRequest) {
        let (attempt_id, now) = (engine_request.attempt_id, self.now);
        // Completes the work that is due before the engine accepts more.
        self.advance_engine(engine);
        if let Some(reply) = self.engines[engine].accept(now, engine_request) {
            let report = self.engines[engine].report();
            return self.send(Event::ReplyArrives { attempt_id, reply, report });
        }
        self.advance_engine(engine);
    }

    fn advance_engine(&mut self, engine: usize) {
        let now = self.now;
        let e = &mut self.engines[engine];
        e.release_expired_states(now);
        let (replies, fetches) = e.advance(now);
        let report = e.report();
        for (attempt_id, reply) in replies {
            self.send(Event::ReplyArrives { attempt_id, reply, report });
        }
        for (active_request, (from, state)) in fetches {
            self.schedule(now + ONE_WAY_DELAY * 2, Event::FetchEnds { engine, active_request, from, state });
        }
        let e = &mut self.engines[engine];
        if e.change_role(now) {
            self.schedule(now + self.scenario.list_delay, Event::DeliverList);
        }
        let e = &mut self.engines[engine];
        let expires = e.scheduler.oldest_state().map(|at| at + e.spec.hold_time);
        let due = [e.scheduler.step_at(), expires].into_iter().flatten().min();
        if let Some(at) = due.filter(|at| e.next_wake.is_none_or(|next_wake| *at < next_wake)) {
            let at = at.max(now);
            e.next_wake = Some(at);
            self.schedule(at, Event::EngineWakes(engine));
        }
    }

    fn plan_roles(&mut self) {
        let Some(mut roles) = self.roles.take() else { return };
        if roles.plan_changes(self.now, &mut self.engines, &self.locations) {
            self.schedule(self.now + self.scenario.list_delay, Event::DeliverList);
            (0..self.engines.len()).for_each(|engine| self.advance_engine(engine));
        }
        self.roles = Some(roles);
        self.schedule(self.now + PLANNING_INTERVAL, Event::PlanRoles);
    }

    /// Delivers the current engine list to every router. An engine that is in a new role gets a new start
    /// time, as in the gateway.
    fn deliver_list(&mut self) {
        let now = self.now;
        let first = now == CLOCK_START;
        for router in 0..self.routers.len() {
            let mut entries = Vec::with_capacity(self.engines.len());
            for (n, e) in self.engines.iter().enumerate().filter(|(_, e)| e.alive) {
                let role = e.role.state().role;
                let known = self.routers[router].listed_engines.get(&n).copied();
                let started = match known {
                    Some((listed_role, _)) if listed_role != role => Some(now),
                    Some((_, started)) => started,
                    None => (!first).then_some(now),
                };
                self.routers[router].listed_engines.insert(n, (role, started));
                let kind =
                    self.scenario.settings.decisions.kind_roles.iter().position(|k| *k == role).unwrap_or(0);
                let state = if e.role.takes_work() { EngineState::Ready } else { EngineState::Draining };
                let (zone, cell) = self.locations[n];
                entries.push(slipreel::Engine {
                    id: e.id,
                    state,
                    kind: KindId(kind),
                    zone: ZoneId(zone),
                    cell: CellId(cell),
                    started_at: started,
                });
            }
            let listing = if first { Listing::Cached } else { Listing::Complete };
            self.handle_router_event(router, RouterEvent::Engines { listing, engines: entries });
        }
    }
}
