//! The events of a day in order: clients, routers and engines, each message a fixed time on its way.

use crate::engine::{Ask, Engine, Say, Try};
use crate::host::{Attempt, Call, Change, Host, Wish};
use crate::roles::Roles;
use slipreel::{
    CellId, ClassId, EngineId, EngineState, Event as Told, KindId, Listing, LoadReport, Outcome, RequestId,
    Role, TenantId, TimerId, ZoneId,
};
use slipreel_gateway::engine_id;
use slipreel_invariants::Effect;
use slipreel_scenario::Scenario;
use slipreel_test_servers::client::ClientBehaviour;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The clock begins here, as that of days does.
const START: Duration = Duration::from_secs(1 << 20);
/// One way between any two: about what the network in memory takes.
const WAY: Duration = Duration::from_micros(75);
/// Between two turns of the planner.
const ROUND: Duration = Duration::from_secs(1);
/// After the last request all has to be over within this time.
const TAIL: Duration = Duration::from_secs(120);

/// What the requests of one model got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Served {
    /// Requests.
    pub asked: usize,
    /// Whole answers.
    pub served: usize,
    /// Turned away in the end.
    pub refused: usize,
    /// Failed in the end.
    pub failed: usize,
    /// Left before their end.
    pub left: usize,
    /// Times from when a request was due until its answer began, of those that were served, sorted.
    pub waits: Vec<Duration>,
}

/// A day in figures. Simulated, and without the front.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EmulationReport {
    /// By model.
    pub models: BTreeMap<String, Served>,
    /// Attempts sent.
    pub attempts: usize,
    /// Probes sent.
    pub probes: usize,
    /// Events handled.
    pub events: u64,
    /// Requests that routers and states that engines still held at the end: anything is a leak.
    pub held_items: usize,
    /// Changes of role that engines took: when in the day, and why.
    pub role_changes: Vec<(Duration, String)>,
    /// Engines that fell over, as they were sent too much while cold.
    pub overloaded_engines: usize,
    /// Requests by the second in which they were first asked, and how many of these were served.
    pub by_second: BTreeMap<u64, (usize, usize)>,
    /// Kinds of trouble in the day that are not played here.
    pub not_played: Vec<String>,
}

impl EmulationReport {
    /// Requests and whole answers over all models.
    pub fn sum(&self) -> (usize, usize) {
        self.models.values().fold((0, 0), |(asked, served), m| (asked + m.asked, served + m.served))
    }
}

enum Event {
    Come { plan: usize, tries: u32 },
    Timer { router: usize, timer: TimerId, old: bool },
    Change(Change),
    Arrive { engine: usize, ask: Ask },
    Wake(usize),
    Said { who: Try, say: Say, report: LoadReport },
    Drop { engine: usize, who: Try },
    Fetched { engine: usize, job: u64, from: usize, state: u64 },
    Released { engine: usize, state: u64 },
    Asked { router: usize, engine: usize },
    Answered { router: usize, engine: EngineId, report: LoadReport },
    Leave { router: usize, request: u64, always: bool },
    List,
    Plan,
}

struct World<'a> {
    day: &'a Scenario,
    now: Duration,
    seq: u64,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    engines: Vec<Engine>,
    by_id: BTreeMap<EngineId, usize>,
    /// Zone and cell of each engine.
    places: Vec<(u32, u32)>,
    hosts: Vec<Host>,
    roles: Option<Roles>,
    figures: EmulationReport,
    open: usize,
    next: u64,
    /// When the day ends, once all requests have.
    closed: Option<Duration>,
    /// Requests that may be forgotten, and how deep modules are being told things.
    reap: Vec<(usize, u64)>,
    depth: usize,
}

/// Plays a day in the model. The same day gives the same figures.
pub fn emulate(day: &Scenario) -> EmulationReport {
    emulate_with_settings_change(day, None)
}

/// Plays a day in which all routers take new settings at one moment of it.
pub fn emulate_with_settings_change(day: &Scenario, change: Option<(Duration, Change)>) -> EmulationReport {
    let mut world = World::new(day);
    if let Some((at, how)) = change {
        world.plan_at(START + at, Event::Change(how));
    }
    world.run();
    let orders = world.roles.take().map_or_else(Vec::new, |r| r.orders);
    world.figures.role_changes = orders.into_iter().map(|(at, why)| (at - START, why)).collect();
    world.figures.overloaded_engines = world.engines.iter().filter(|e| e.fallen).count();
    let states: usize = world.engines.iter().map(|e| e.work.states.len()).sum();
    world.figures.held_items = world.hosts.iter().map(|h| h.calls.len()).sum::<usize>() + states;
    world.figures.models.values_mut().for_each(|m| m.waits.sort());
    world.figures
}

fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    });
    at as u32
}

impl<'a> World<'a> {
    fn new(day: &'a Scenario) -> Self {
        let (mut zones, mut cells) = (Vec::new(), Vec::new());
        let mut engines = Vec::new();
        let mut places = Vec::new();
        for (n, plan) in day.engines.iter().enumerate() {
            // Ids as the day in memory has them, so that homes are the same.
            let addr = std::net::SocketAddr::from(([127, 0, 0, 1], 20_000 + (n % 40_000) as u16));
            let id = EngineId(engine_id(addr).0 + ((n / 40_000) as u64 * (1 << 48)));
            let started = START.saturating_sub(plan.spec.cold_time * 4);
            engines.push(Engine::new(plan.spec.clone(), id, started, 0));
            places.push((number(&mut zones, &plan.zone), number(&mut cells, &plan.cell)));
        }
        let host = |r: usize| {
            let site = day.router_settings(r, &[]);
            let mut settings = site.decisions;
            settings.zone = ZoneId(zones.iter().position(|z| *z == site.zone).unwrap_or(0) as u32);
            let seed = day.seed.wrapping_mul(0x9e37_79b9).wrapping_add(r as u64 + 1000);
            Host {
                router: slipreel::Router::new(settings, seed),
                before: None,
                calls: BTreeMap::new(),
                starts: BTreeMap::new(),
            }
        };
        let hosts = (0..day.routers).map(host).collect();
        let roles = day.roles.and_then(|policy| Roles::new(day, policy));
        let mut not_played: Vec<String> = day.troubles.iter().map(|t| format!("{:?}", t.kind)).collect();
        not_played.sort();
        not_played.dedup();
        let mut world = World {
            day,
            now: START,
            seq: 0,
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            by_id: engines.iter().enumerate().map(|(n, e)| (e.id, n)).collect(),
            engines,
            places,
            hosts,
            roles,
            figures: EmulationReport { not_played, ..EmulationReport::default() },
            open: day.requests.len(),
            next: 0,
            closed: None,
            reap: Vec::new(),
            depth: 0,
        };
        world.list();
        for (plan, p) in day.requests.iter().enumerate() {
            world.plan_at(START + Duration::from_millis(500) + p.at, Event::Come { plan, tries: 1 });
        }
        if world.roles.is_some() {
            world.plan_at(START + ROUND, Event::Plan);
        }
        world
    }

    fn plan_at(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn soon(&mut self, event: Event) {
        self.plan_at(self.now + WAY, event);
    }

    fn run(&mut self) {
        let end = START + self.day.length + TAIL;
        while let Some(Reverse((at, seq))) = self.heap.pop() {
            // A second after the last answer what was held has been let go of.
            if at > end || self.open == 0 && at > *self.closed.get_or_insert(at + Duration::from_secs(1)) {
                break;
            }
            self.now = self.now.max(at);
            self.figures.events += 1;
            if let Some(event) = self.events.remove(&seq) {
                self.take(event);
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Come { plan, tries } => self.come(plan, tries),
            Event::Timer { router, timer, old } => self.tell_one(router, Told::TimerFired(timer), old),
            Event::Change(how) => self.change(how),
            Event::Arrive { engine, ask } => self.arrive(engine, ask),
            // One that an earlier wake has overtaken says nothing: each would plan another.
            Event::Wake(engine) if self.engines[engine].planned == Some(self.now) => {
                self.engines[engine].planned = None;
                self.turn(engine);
            }
            Event::Wake(_) => {}
            Event::Said { who, say, report } => self.said(who, say, report),
            Event::Drop { engine, who } => {
                self.engines[engine].cancel(who);
                self.turn(engine);
            }
            Event::Fetched { engine, job, from, state } => {
                let whole = self.engines[from].give(state);
                self.turn(from);
                if let Some((who, say)) = self.engines[engine].fetched(job, whole) {
                    let report = self.engines[engine].report();
                    self.soon(Event::Said { who, say, report });
                }
                self.turn(engine);
            }
            Event::Released { engine, state } => {
                self.engines[engine].give(state);
                self.turn(engine);
            }
            Event::Asked { router, engine } => {
                let (id, report) = (self.engines[engine].id, self.engines[engine].report());
                self.soon(Event::Answered { router, engine: id, report });
            }
            Event::Answered { router, engine, report } => {
                self.tell(router, Told::ProbeEnded { engine, outcome: Outcome::Completed, report });
            }
            Event::Leave { router, request, always } => self.leave(router, request, always),
            Event::List => self.list(),
            Event::Plan => self.plan(),
        }
    }

    // ---- Clients ------------------------------------------------------------------------------

    fn come(&mut self, plan: usize, tries: u32) {
        let p = &self.day.requests[plan];
        let Some(model) = self.day.settings.models.iter().find(|m| m.name == p.model) else { return };
        let class = model.class;
        let router = p.request as usize % self.hosts.len().max(1);
        self.next += 1;
        let id = self.next;
        let served = self.figures.models.entry(p.model.clone()).or_default();
        served.asked += usize::from(tries == 1);
        if tries == 1 {
            self.figures.by_second.entry((self.now - START).as_secs()).or_default().0 += 1;
        }
        if let Some(roles) = &mut self.roles {
            roles.counts.entry(self.day.settings.classes[class].name.clone()).or_default().asked += 1;
        }
        let call = Call { plan, tries, due: self.now, attempts: Vec::new(), began: false, over: false };
        self.hosts[router].calls.insert(id, call);
        let time_left = p.patience.min(self.day.settings.classes[class].client_timeout);
        let tenant = self.day.settings.tenants.iter().position(|t| t.keys.contains(&p.key)).unwrap_or(0);
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
            is_retry: tries > 1,
            is_resumption: false,
        };
        self.plan_at(self.now + time_left, Event::Leave { router, request: id, always: false });
        if let ClientBehaviour::LeavesAfter(after) = p.behaviour {
            self.plan_at(self.now + after, Event::Leave { router, request: id, always: true });
        }
        self.tell(router, Told::Request(request));
    }

    fn leave(&mut self, router: usize, request: u64, always: bool) {
        let Some(call) = self.hosts[router].calls.get_mut(&request).filter(|c| !c.over) else { return };
        if call.began && !always {
            return;
        }
        call.over = true;
        let (model, out) = (self.day.requests[call.plan].model.clone(), call.attempts.clone());
        self.figures.models.entry(model).or_default().left += 1;
        self.open -= 1;
        for (attempt, a) in out.iter().enumerate().filter(|(_, a)| a.out) {
            self.soon(Event::Drop { engine: a.engine, who: Try { router, request, attempt } });
        }
        self.reap.push((router, request));
        self.tell(router, Told::ClientDisconnected(RequestId(request)));
        for (attempt, _) in out.iter().enumerate().filter(|(_, a)| a.out) {
            self.ended(Try { router, request, attempt }, Outcome::Cancelled, 0.0, LoadReport::default());
        }
    }

    /// A request has its final answer; refused and failed ones come again as their clients do.
    fn over(
        &mut self, router: usize, request: u64, outcome: fn(&mut Served) -> &mut usize,
        wait: Option<Duration>,
    ) {
        let Some(call) = self.hosts[router].calls.get_mut(&request).filter(|c| !c.over) else { return };
        call.over = true;
        let (plan, tries) = (call.plan, call.tries);
        self.reap.push((router, request));
        let p = &self.day.requests[plan];
        if let Some(wait) = wait.filter(|_| tries < p.max_attempts) {
            let wait = if p.honours_retry_after { wait.max(p.backoff) } else { p.backoff };
            return self.plan_at(self.now + wait, Event::Come { plan, tries: tries + 1 });
        }
        *outcome(self.figures.models.entry(p.model.clone()).or_default()) += 1;
        self.open -= 1;
    }

    // ---- Routers ------------------------------------------------------------------------------

    /// All routers take new settings at one moment; the settings are the same, so that only what was learnt can differ.
    fn change(&mut self, how: Change) {
        for router in 0..self.hosts.len() {
            let site = self.day.router_settings(router, &[]);
            let mut settings = site.decisions;
            settings.zone = self.zone_of(&site.zone);
            let seed = self.day.seed.wrapping_mul(0x51ed_270b).wrapping_add(router as u64);
            let (now, last) = (self.now, self.next);
            for wish in self.hosts[router].change(now, settings, how, last, seed) {
                self.grant(router, wish);
            }
        }
        if how == Change::Anew {
            self.list();
        }
    }

    /// The number of a zone, as the engines' zones are numbered.
    fn zone_of(&self, name: &str) -> ZoneId {
        let mut zones = Vec::new();
        self.day.engines.iter().for_each(|p| {
            number(&mut zones, &p.zone);
        });
        ZoneId(zones.iter().position(|z| z == name).unwrap_or(0) as u32)
    }

    fn tell(&mut self, router: usize, event: Told) {
        self.tell_one(router, event, false);
    }

    fn tell_one(&mut self, router: usize, event: Told, old: bool) {
        self.depth += 1;
        for wish in self.hosts[router].tell(router, self.now, event, old) {
            self.grant(router, wish);
        }
        self.depth -= 1;
        // Only now, as what a module says last of a request is to let go of its state.
        if self.depth == 0 {
            for (router, request) in std::mem::take(&mut self.reap) {
                if self.hosts[router].calls.get(&request).is_some_and(Call::is_done) {
                    self.hosts[router].calls.remove(&request);
                }
            }
        }
    }

    fn grant(&mut self, router: usize, wish: Wish) {
        match wish {
            Wish::Timer(timer, after, old) => {
                self.plan_at(self.now.saturating_add(after), Event::Timer { router, timer, old });
            }
            Wish::Send(request, engine) => self.send(router, request, engine),
            Wish::Cancel(who) => {
                let call = self.hosts[router].calls.get(&who.request);
                let Some(a) = call.and_then(|c| c.attempts.get(who.attempt)).filter(|a| a.out) else {
                    return;
                };
                let engine = a.engine;
                self.soon(Event::Drop { engine, who });
                self.ended(who, Outcome::Cancelled, 0.0, LoadReport::default());
            }
            Wish::Release(request) => {
                let Some(call) = self.hosts[router].calls.get_mut(&request) else { return };
                let held = call.attempts.iter_mut().filter_map(|a| a.state.take().map(|s| (a.engine, s)));
                for (engine, state) in held.collect::<Vec<_>>() {
                    self.soon(Event::Released { engine, state });
                }
            }
            Wish::Refuse(request, wait) => {
                let wait = wait.unwrap_or_default();
                self.over(router, request, |s| &mut s.refused, Some(wait));
            }
            Wish::Fail(request) => {
                let plan = self.hosts[router].calls.get(&request).map(|c| c.plan);
                let again = plan.is_some_and(|p| self.day.requests[p].effect != Effect::Unsafe);
                self.over(router, request, |s| &mut s.failed, again.then_some(Duration::ZERO));
            }
            Wish::Probe(id) => {
                self.figures.probes += 1;
                if let Some(&engine) = self.by_id.get(&id) {
                    self.soon(Event::Asked { router, engine });
                }
            }
        }
    }

    fn send(&mut self, router: usize, request: u64, id: EngineId) {
        let Some(&engine) = self.by_id.get(&id) else { return };
        let role = self.hosts[router].starts.get(&engine).map_or(Role::Mixed, |(role, _)| *role);
        let Some(call) = self.hosts[router].calls.get_mut(&request) else { return };
        let (reads, state) = (role == Role::Prefill, call.state());
        let attempt = call.attempts.len();
        call.attempts.push(Attempt { engine, sent: self.now, out: true, state: None });
        self.figures.attempts += 1;
        let p = &self.day.requests[call.plan];
        let tokens = |text: &str| (text.len() as u64).div_ceil(4) + 4;
        let beginning = xxh3_64(p.system.as_bytes());
        let mut parts = vec![(xxh3_64_with_seed(p.prompt.as_bytes(), beginning), tokens(&p.prompt))];
        if !p.system.is_empty() {
            parts.insert(0, (beginning, tokens(&p.system)));
        }
        let who = Try { router, request, attempt };
        let ask =
            Ask { who, reads, state: state.filter(|_| !reads), parts, length: p.length.min(p.max_tokens) };
        self.soon(Event::Arrive { engine, ask });
    }

    fn said(&mut self, who: Try, say: Say, report: LoadReport) {
        let Try { router, request, attempt } = who;
        let now = self.now;
        let Some(call) = self.hosts[router].calls.get_mut(&request) else { return };
        let Some(a) = call.attempts.get_mut(attempt).filter(|a| a.out) else { return };
        let class = self
            .day
            .settings
            .models
            .iter()
            .find(|m| m.name == self.day.requests[call.plan].model)
            .map(|m| m.class);
        let name = class.map(|c| self.day.settings.classes[c].name.clone()).unwrap_or_default();
        match say {
            Say::Read(state, kept) => {
                a.state = Some(state);
                let prompt: u64 = {
                    let p = &self.day.requests[call.plan];
                    (p.system.len() + p.prompt.len()) as u64 / 4
                };
                if let Some(roles) = &mut self.roles {
                    let c = roles.counts.entry(name).or_default();
                    (c.reads, c.read_tokens) = (c.reads + 1, c.read_tokens + prompt.saturating_sub(kept));
                }
                self.ended(who, Outcome::Prefilled, kept as f64, report);
            }
            Say::First => {
                let latency = now.saturating_sub(a.sent);
                // The state went to the writer.
                call.attempts.iter_mut().for_each(|a| a.state = None);
                let (first, due, plan) = (!std::mem::replace(&mut call.began, true), call.due, call.plan);
                if first {
                    let model = self.day.requests[plan].model.clone();
                    self.figures.models.entry(model).or_default().waits.push(now.saturating_sub(due));
                }
                self.tell(router, Told::FirstToken { request: RequestId(request), attempt, latency });
            }
            Say::Done => {
                let p = &self.day.requests[call.plan];
                let tokens = u64::from(p.length.min(p.max_tokens));
                if let Some(roles) = &mut self.roles {
                    let c = roles.counts.entry(name).or_default();
                    (c.answers, c.answer_tokens) = (c.answers + 1, c.answer_tokens + tokens);
                }
                let due = self.hosts[router]
                    .calls
                    .get(&request)
                    .filter(|c| !c.over)
                    .map(|c| self.day.requests[c.plan].at);
                if let Some(due) = due {
                    let second = (Duration::from_millis(500) + due).as_secs();
                    self.figures.by_second.entry(second).or_default().1 += 1;
                }
                self.over(router, request, |s| &mut s.served, None);
                self.ended(who, Outcome::Completed, 0.0, report);
            }
            // What turns work away tells no load, as the stand-in's errors don't.
            Say::Full => {
                self.ended(who, Outcome::Rejected { state_missing: false }, 0.0, LoadReport::default());
            }
            Say::NoState => {
                self.ended(who, Outcome::Rejected { state_missing: true }, 0.0, LoadReport::default());
            }
        }
    }

    fn ended(&mut self, who: Try, outcome: Outcome, kept_tokens: f64, report: LoadReport) {
        let Try { router, request, attempt } = who;
        let now = self.now;
        let Some(call) = self.hosts[router].calls.get_mut(&request) else { return };
        let Some(a) = call.attempts.get_mut(attempt).filter(|a| a.out) else { return };
        a.out = false;
        let latency = now.saturating_sub(a.sent);
        let finished = call.over;
        self.reap.push((router, request));
        let request = RequestId(request);
        self.tell(
            router,
            Told::AttemptEnded(slipreel::AttemptEnded {
                request,
                attempt,
                outcome,
                latency,
                request_finished: finished,
                cached_tokens: kept_tokens,
                report,
            }),
        );
    }

    // ---- Engines ------------------------------------------------------------------------------

    fn arrive(&mut self, engine: usize, ask: Ask) {
        let (who, now) = (ask.who, self.now);
        // What is due there comes first.
        self.turn(engine);
        if let Some(say) = self.engines[engine].take(now, ask) {
            let report = self.engines[engine].report();
            return self.soon(Event::Said { who, say, report });
        }
        self.turn(engine);
    }

    fn turn(&mut self, engine: usize) {
        let now = self.now;
        let e = &mut self.engines[engine];
        e.forget(now);
        let (said, fetches) = e.turn(now);
        let report = e.report();
        for (who, say) in said {
            self.soon(Event::Said { who, say, report });
        }
        for (job, (from, state)) in fetches {
            self.plan_at(now + WAY * 2, Event::Fetched { engine, job, from, state });
        }
        let e = &mut self.engines[engine];
        if e.change_role(now) {
            self.plan_at(now + self.day.notice, Event::List);
        }
        let e = &mut self.engines[engine];
        let forgets = e.work.oldest_state().map(|at| at + e.spec.hold_time);
        let due = [e.work.step_at(), forgets].into_iter().flatten().min();
        if let Some(at) = due.filter(|at| e.planned.is_none_or(|planned| *at < planned)) {
            let at = at.max(now);
            e.planned = Some(at);
            self.plan_at(at, Event::Wake(engine));
        }
    }

    fn plan(&mut self) {
        let Some(mut roles) = self.roles.take() else { return };
        if roles.turn(self.now, &mut self.engines, &self.places) {
            self.plan_at(self.now + self.day.notice, Event::List);
            (0..self.engines.len()).for_each(|engine| self.turn(engine));
        }
        self.roles = Some(roles);
        self.plan_at(self.now + ROUND, Event::Plan);
    }

    /// Every router hears the list as it is now. One in another role than before has started anew, as the front has it.
    fn list(&mut self) {
        let now = self.now;
        let first = now == START;
        for router in 0..self.hosts.len() {
            let mut entries = Vec::with_capacity(self.engines.len());
            for (n, e) in self.engines.iter().enumerate().filter(|(_, e)| e.alive) {
                let role = e.role.state().role;
                let known = self.hosts[router].starts.get(&n).copied();
                let started = match known {
                    Some((before, _)) if before != role => Some(now),
                    Some((_, started)) => started,
                    None => (!first).then_some(now),
                };
                self.hosts[router].starts.insert(n, (role, started));
                let kind =
                    self.day.settings.decisions.kind_roles.iter().position(|k| *k == role).unwrap_or(0);
                let state = if e.role.takes_work() { EngineState::Ready } else { EngineState::Draining };
                let (zone, cell) = self.places[n];
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
            self.tell(router, Told::Engines { listing, engines: entries });
        }
    }
}
