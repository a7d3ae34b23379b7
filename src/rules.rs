//! Every decision of slipreel, in the order of a request's life. The types it is told of and
//! answers in stand in `src/interface.rs`; nothing outside this file decides anything.
//!
//! The ordinary path is the llm-d probabilistic admitter: before any read, a droppable request is
//! refused with probability min(300 s^5, 1), s being the mean saturation of the engines. Protected
//! requests pass. The rest of the file places what was admitted and keeps the rules when engines fail.

use crate::fleet::{shared, two_of, Counted, Fleet, Mean, Placed, Reach, Rest, Shelf, Standing};
use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub(crate) mod gauge;

const CURVE_FACTOR: f64 = 300.0; // Factor of the refusal curve; no unit. From the llm-d post.
const CURVE_POWER: i32 = 5; // Power of the refusal curve; no unit. From the llm-d post.
const WAITING_THRESHOLD: f64 = 60_000.0; // Prompt tokens waiting at one engine: saturation 1. The design's.
/// Share of memory that counts as saturation 1. From the design: full memory alone refuses one in six.
const MEMORY_THRESHOLD: f64 = 4.5;
const PROTECTED_PART: f64 = 0.8; // Part of the saturation that counts for protected requests; no unit.
const REPORT_LIFE: Duration = Duration::from_millis(3_000); // Age from which a report says nothing any more.
const MEAN_WEIGHT: f64 = 0.06; // Least weight of a sample in a mean; no unit. About the last seventeen.
const FIRST_PROMPT: f64 = 1_000.0; // Prompt assumed before the first, tokens. Any plausible size does.
const WAITING_PRIOR: f64 = 8.0; // Usual attempts that an engine's waiting part starts from; no unit.
const QUOTA_DEPTH: f64 = 8.0; // Requests that a tenant's bucket holds; fewer take chance for too many.
/// Wait told with a refusal or before the list is asked for again, jittered by half. A full queue's time.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Bounds of a reader's weight as a home; no unit. Readers have room for a quarter more.
const HOME_WEIGHTS: [f64; 2] = [0.75, 1.25];
const OWN_ZONE: f64 = 2.5; // How much more a home in the own zone weighs; no unit. Most, not all.
const FAR_FACTOR: f64 = 2.0; // Spill: borne by the preferred engine against what another bears; no unit.
const MIN_PATIENCE: Duration = Duration::from_millis(900); // The shortest. Longer than a routine pause.
const PATIENCE_DEVIATIONS: f64 = 4.0; // Mean deviations that an attempt may take, as in TCP's time-out.
const FIRST_PACE: f64 = 0.000_3; // Pace before any was seen, seconds a token. A slow reader's.
const FIXED_TOKENS: f64 = 500.0; // Added to prompts where latencies are compared: an attempt's fixed part.
const HOLD_PART: f64 = 0.5; // Part of the let-go limit after which state without a writer is let go.
const ANSWER_TICKS: u32 = 2; // Ticks before a client's end at which it is answered: to tell, and to spare.
const EJECT_BASE: Duration = Duration::from_millis(1_000); // Of a first offence, jittered by a quarter.
const EJECT_DOUBLINGS: u32 = 3; // Doublings of that at most; no unit. Bounds it at eight seconds.
/// Share of a role's engines under which ejections are set aside (panic threshold); no unit.
const PANIC_SHARE: f64 = 0.5;
const FULL_REST: Duration = Duration::from_millis(250); // Rest after a `full` where others are usable.
/// The same where the engine reports room: it turns away what this class sends, and goes on doing so.
const THROTTLE_REST: Duration = Duration::from_millis(20_000);
const RATE_SPAN: Duration = Duration::from_millis(5_000); // Over which sent rates are averaged.
/// Time in which all routers together may send a cold engine one prompt where nothing is known of warm ones.
const COLD_STEP: Duration = Duration::from_millis(1_000);
const FRESH: Duration = Duration::from_millis(600); // Age from which reports are asked for anew.
/// Longest wait for the engines asked, and for one to become usable. A round trip with a new connection.
const ASK_WAIT: Duration = Duration::from_millis(30);
const SILENT_TOKENS: f64 = 1e9; // What an engine that did not answer seems to bear, tokens: more than any.
const LONGEST: Duration = Duration::from_secs(3_600); // No wait is longer: hosts' timers have an end.

type Out<'a> = &'a mut Vec<Action>;
/// Why a timer was set.
enum Alarm {
    Deadline(RequestId),
    Check(RequestId, usize),
    Parked(RequestId),
    Trial(EngineId),
    List,
}

#[derive(Clone, Default)]
struct Server {
    entry: Engine,
    role: Role,
    report: Option<(Duration, LoadReport)>,
    /// Own prompt tokens sent since the report and still waiting.
    since: f64,
    /// Own tokens under way, own attempts out, and how many of these have not begun to answer.
    tokens: f64,
    out: f64,
    waiting: f64,
    heard: Duration,
    /// Until when it is left alone, as it could not be connected to.
    ejected: Option<Duration>,
    /// When it was last reached again after it could not be.
    returned: Option<Duration>,
    doublings: u32,
    /// Its own mean pace, seconds a token; 0 until it is known.
    pace: f64,
    /// Until when it is passed over for each class, as it was full.
    rests: Vec<Duration>,
    /// The bucket of a cold engine, tokens, as of `bucket_at`: above nothing it lets one prompt through.
    bucket: f64,
    bucket_at: Duration,
    probing: bool,
    /// The requests that wait for its answer to a probe.
    askers: Vec<RequestId>,
}

struct Attempt {
    engine: EngineId,
    sent: Duration,
    tokens: f64,
    read: bool,
    out: bool,
    /// Since the send, when the answer began.
    begun: Option<Duration>,
    /// It did what was wanted: a read that ended well may be asked for again.
    done: bool,
    /// The state that it was to take: whose, and since when it waited.
    state: Option<(EngineId, Duration)>,
}

#[derive(Default)]
struct Job {
    request: Request,
    deadline: Duration,
    /// The deadline from when its answer has begun, where nothing of it goes out before it is whole.
    whole_by: Option<Duration>,
    attempts: Vec<Attempt>,
    /// The reader that holds the state, and since when no attempt has wanted it.
    held: Option<(EngineId, Duration)>,
    /// The first attempt that may have had an effect: which, when and, as listed then, where.
    may_have_run: Option<(usize, Duration, Engine)>,
    ended: bool,
    /// Its tenant was over its share when it came.
    over_share: bool,
    /// Drawn from 0 to 1: cold engines that let in less than that are none for it.
    luck: f64,
    /// Until when it waits: for an engine, or for the answers of those in `choice`.
    parked: Option<Duration>,
    choice: Option<Choice>,
}

/// The engines between which a request chooses its next step: preferred ones and others.
struct Choice {
    step: usize,
    asked: Duration,
    /// Those far are asked, too.
    wide: bool,
    near: Vec<EngineId>,
    far: Vec<EngineId>,
}

/// Means over the engines of one role, as this router sees them.
#[derive(Clone, Copy, Default)]
struct Means {
    /// Latency by length, and its mean deviation, seconds a token.
    pace: f64,
    deviation: f64,
    /// Time that attempts wait, and that they take as a whole, seconds.
    waited: f64,
    whole: f64,
    /// Own tokens a second to warm engines, as of `rate_at`; what one bears, a mean that outlives outages.
    rate: f64,
    rate_at: Duration,
    borne: f64,
}

/// The decisions of one router.
pub struct Router {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    servers: BTreeMap<EngineId, Server>,
    jobs: BTreeMap<RequestId, Job>,
    alarms: BTreeMap<TimerId, Alarm>,
    next_timer: u64,
    /// Token bucket of each tenant's quota: its level and when.
    quotas: Vec<(f64, Duration)>,
    top_worth: f64,
    /// The first-token aim above which equal worths are droppable; `None` where worths differ.
    loose_aim: Option<Duration>,
    mean_prompt: Mean,
    /// Mean part of a prompt that its reader had not kept.
    unread: f64,
    means: [Means; 3],
    /// Bookkeeping, so that no decision walks all engines.
    fleet: Fleet,
}

impl Router {
    /// A router that knows nothing yet but its settings; `seed` settles its chances.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let worths = || settings.classes.iter().map(|c| c.priority_weight);
        let top_worth = worths().fold(0.0, f64::max);
        let equal = worths().all(|w| w >= top_worth);
        let aims = || settings.classes.iter().map(|c| c.latency_objective);
        let loose_aim = aims().max().filter(|&loose| equal && aims().any(|a| a < loose));
        let quotas = settings.tenants.iter().map(|_| (QUOTA_DEPTH, Duration::ZERO)).collect();
        Router {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            servers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            alarms: BTreeMap::new(),
            next_timer: 0,
            quotas,
            top_worth,
            loose_aim,
            mean_prompt: Mean::from(FIRST_PROMPT),
            unread: 1.0,
            means: [Means { pace: FIRST_PACE, deviation: FIRST_PACE / 2.0, ..Means::default() }; 3],
            fleet: Fleet::default(),
            settings,
        }
    }

    /// Takes one event at `now` and appends what to do about it to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Engines { listing, engines } => self.on_list(now, listing, engines, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstToken { request, attempt, latency } => {
                self.on_first(now, (request, attempt), latency, out);
            }
            Event::AttemptEnded(ended) => self.on_ended(now, ended, out),
            Event::ClientDisconnected(id) => self.end(id, None, out),
            Event::TimerFired(timer) => self.on_timer(now, timer, out),
            Event::ProbeEnded { engine, outcome, report } => {
                self.on_probed(now, engine, outcome, report, out);
            }
            Event::ReservationAnswered { .. } | Event::PeerMessage { .. } => {}
        }
    }

    // ---- 1. Admit -------------------------------------------------------------------------

    fn on_request(&mut self, now: Duration, request: Request, out: Out) {
        let id = request.id;
        if self.jobs.contains_key(&id) || request.class.0 >= self.settings.classes.len() {
            return out.push(Action::Fail(id));
        }
        self.settle(now);
        self.mean_prompt.add(request.prompt_tokens, MEAN_WEIGHT);
        let over_share = self.over_share(now, &request);
        let droppable = self.droppable(over_share, &request);
        let saturation = self.stage(now, Role::Prefill).max(self.stage(now, Role::Decode));
        let chance = refusal_chance(saturation, droppable);
        let refused = self.hopeless(&request) || self.chance() < chance;
        let until =
            |left: Duration| now + left.min(LONGEST).saturating_sub(self.settings.tick * ANSWER_TICKS);
        let (deadline, whole_by) =
            (until(request.client_timeout), request.complete_answer_timeout.map(until));
        let luck = self.chance();
        let job = Job { request, deadline, whole_by, over_share, luck, ..Job::default() };
        self.jobs.insert(id, job);
        if refused {
            self.ask_anyone(now, out);
            return self.give_up(id, out);
        }
        self.alarm(Alarm::Deadline(id), deadline - now, out);
        self.advance(now, id, out);
    }

    /// Whether its client will have left before an answer usually begins: abandoned tries eat capacity. Harm:
    /// a jam that is over refuses on, so each refusal lets the means forget.
    fn hopeless(&mut self, request: &Request) -> bool {
        let usual = self.means[Role::Prefill as usize].waited + self.means[Role::Decode as usize].waited;
        let hopeless = request.client_timeout.as_secs_f64() < usual;
        if hopeless {
            self.means.iter_mut().for_each(|means| means.waited *= 1.0 - MEAN_WEIGHT);
        }
        hopeless
    }

    /// Whether the curve may refuse this request: it is worth less than the best, by its class or
    /// because its tenant is over its share; where all are worth the same, the loosest aim yields.
    fn droppable(&self, over: bool, request: &Request) -> bool {
        let class = &self.settings.classes[request.class.0];
        let worth = class.priority_weight * if over { self.settings.over_quota_weight } else { 1.0 };
        worth < self.top_worth || self.loose_aim == Some(class.latency_objective)
    }

    /// Token bucket of a tenant's quota, this router's part of it.
    fn over_share(&mut self, now: Duration, request: &Request) -> bool {
        let tenant = request.tenant.0;
        let quota = self.settings.tenants.get(tenant).and_then(|t| t.quota_per_s);
        let (Some(quota), Some((level, at))) = (quota, self.quotas.get_mut(tenant)) else { return false };
        let rate = quota / f64::from(self.settings.router_count);
        *level = (*level + rate * now.saturating_sub(*at).as_secs_f64()).min(QUOTA_DEPTH);
        *at = now;
        let over = *level < 1.0;
        *level -= if over || request.is_retry { 0.0 } else { 1.0 };
        over
    }

    /// Mean saturation of a stage's ready engines; one not heard of lately takes the mean. Exception to the
    /// post: of the two stages the fuller one counts, as idle engines of the other would hide it.
    fn stage(&self, now: Duration, role: Role) -> f64 {
        let (mut sum, mut count) = (0.0, 0);
        for does in [Role::Prefill, Role::Decode, Role::Mixed] {
            if does == role || does == Role::Mixed || role == Role::Mixed {
                let to_read = if does == Role::Prefill { self.unread } else { 1.0 };
                let queued = *self.mean_prompt * to_read / WAITING_THRESHOLD;
                let weights = [queued, queued * self.usual(does) / WAITING_PRIOR];
                let (fixed, known, moving) = self.fleet.sums(does as usize, weights);
                let loads = moving.iter().filter_map(|id| self.load(now, self.servers.get(id)?));
                (sum, count) = (sum + fixed + loads.sum::<f64>(), count + known + moving.len());
            }
        }
        sum / f64::max(count as f64, 1.0)
    }

    /// Saturation of one engine, if it is known.
    fn load(&self, now: Duration, server: &Server) -> Option<f64> {
        self.parts(now, server).map(|(waiting, memory)| waiting.max(memory))
    }

    /// Its two parts, of waiting tokens and of memory.
    fn parts(&self, now: Duration, server: &Server) -> Option<(f64, f64)> {
        if self.settings.report_source == ReportSource::None {
            let waiting = server.since * f64::from(self.settings.router_count);
            return Some((waiting / WAITING_THRESHOLD, 0.0));
        }
        let (at, report) = server.report.as_ref()?;
        if now.saturating_sub(*at) > REPORT_LIFE {
            return None;
        }
        let to_read = if server.role == Role::Prefill { self.unread } else { 1.0 };
        // In-flight counts hold running answers too: only the part of its time that an attempt waits counts.
        let part =
            (server.waiting.max(0.0) + self.usual(server.role)) / (server.out.max(0.0) + WAITING_PRIOR);
        let counted = || report.queued.or(report.in_flight.map(|n| n * part));
        let waiting = match report.waiting_tokens {
            Some(tokens) => tokens + server.since,
            None => (counted().unwrap_or(0.0) * *self.mean_prompt + server.since) * to_read,
        };
        let memory = report.memory_share.unwrap_or(0.0) / MEMORY_THRESHOLD;
        Some((waiting / WAITING_THRESHOLD, memory))
    }

    /// Tokens under way at a reader that tells only its queue: those in its memory that were not kept. One
    /// long prompt that is read stands in no queue, and holds up all behind it.
    fn reading(&self, server: &Server) -> f64 {
        let Some((_, report)) = server.report.as_ref().filter(|_| server.role == Role::Prefill) else {
            return 0.0;
        };
        let counted = report.waiting_tokens.or(report.in_flight).is_some();
        let size = self.settings.memory_tokens.get(server.entry.kind.0).filter(|_| !counted);
        report.memory_share.unwrap_or(0.0) * size.copied().unwrap_or(0.0) * self.unread
    }

    /// How many of the attempts that its estimate starts from wait.
    fn usual(&self, role: Role) -> f64 {
        let Means { waited, whole, .. } = self.means[role as usize];
        WAITING_PRIOR * waited / whole.max(f64::EPSILON)
    }

    // ---- 2. Read, 3. Write ------------------------------------------------------------------

    /// Takes the next step of a request that has no attempt out: writes a held state, else reads.
    fn advance(&mut self, now: Duration, id: RequestId, out: Out) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.ended || job.parked.is_some() || job.attempts.iter().any(|a| a.out) {
            return;
        }
        let left = self.settings.limits.max_attempts.saturating_sub(job.attempts.len());
        self.settle(now);
        let Some(job) = self.jobs.get(&id) else { return };
        let unsafe_now = job.may_have_run.is_some() && self.effect(job) == Idempotency::NotIdempotent;
        // A repeat has to come in time: a new connection may take as long as it is given to come up.
        let least = self.settings.limits.connect_timeout.max(ASK_WAIT);
        let late = self.window_left(now, job).is_some_and(|left| left <= least);
        if left == 0 || unsafe_now || late || now >= job.deadline {
            return self.give_up(id, out);
        }
        let (held, again) = (job.held.is_some(), !job.attempts.is_empty());
        if job.choice.as_ref().is_none_or(|c| c.step != job.attempts.len()) {
            let (step, asked, wide) = (job.attempts.len(), now, false);
            let (near, far) = if held { self.writers(now, id) } else { self.readers(now, id, left) };
            let Some(job) = self.jobs.get_mut(&id) else { return };
            job.choice = Some(Choice { step, asked, wide, near, far });
            if self.ask(now, id, false, out) {
                return;
            }
        }
        // Those far can matter only where the near ones bear more than the request itself.
        let Some(job) = self.jobs.get(&id) else { return };
        let near = job.choice.as_ref().and_then(|c| self.least(now, job, &c.near));
        if near.is_none_or(|(_, bears)| bears > job.request.prompt_tokens) && self.ask(now, id, true, out) {
            return;
        }
        let target = self.choose(now, id);
        // State that could not be fetched may still wait where the writer could not reach it.
        if !held && again {
            out.push(Action::Release(id));
        }
        match target {
            Some(engine) => self.send(now, id, engine, out),
            None if left < 2 && !held => self.give_up(id, out),
            None => self.park(now, id, out),
        }
    }

    /// Rendezvous hashing of the shared beginning, else the session: the top two usable readers, in the order
    /// of the session; others only as spill. A mixed engine needs one attempt for both stages, others two.
    fn readers(&mut self, now: Duration, id: RequestId, left: usize) -> (Vec<EngineId>, Vec<EngineId>) {
        let reach = if left >= 2 { Reach::Read } else { Reach::ReadAndWrite };
        let (_, gone) = self.pool(now, id, reach);
        let Some(job) = self.jobs.get(&id) else { return Default::default() };
        let session = job.request.session;
        let key = job.request.shared_prefix.unwrap_or(session);
        let hash = |id: EngineId, key| xxh3_64_with_seed(&id.0.to_le_bytes(), key);
        let mut homes = self.fleet.first(reach as usize, key, 4, &gone, |id| hash(id, key) >> 11);
        let others = homes.split_off(homes.len().min(2));
        homes.sort_by_key(|&id| hash(id, session));
        (homes, others)
    }

    /// Puts the ready engines on their shelves. A reader is home in proportion to the writers of its cell, in
    /// bounds: state that finds none goes far. Exception: a home in the router's own zone weighs more, as all
    /// else crosses zones twice. Settled when the list changes, as nothing else moves it.
    fn shelve(&mut self) {
        let mut fleet = [0.0; 2];
        let mut cells: BTreeMap<CellId, [f64; 2]> = BTreeMap::new();
        for server in self.servers.values().filter(|s| s.ready()) {
            let parts = match server.role {
                Role::Prefill => [2.0, 0.0],
                Role::Decode => [0.0, 2.0],
                Role::Mixed => [1.0, 1.0],
            };
            for counts in [&mut fleet, cells.entry(server.entry.cell).or_default()] {
                *counts = [counts[0] + parts[0], counts[1] + parts[1]];
            }
        }
        let ratio = |[read, write]: [f64; 2]| write.max(1.0) / read.max(1.0);
        self.fleet.place(self.servers.iter().map(|(&id, server)| {
            let Engine { cell, zone, .. } = server.entry;
            let (role, ready) = (server.role as usize, server.ready());
            let [least, most] = if server.role == Role::Prefill { HOME_WEIGHTS } else { [1.0; 2] };
            let near = cells.get(&cell).copied().unwrap_or_default();
            let own = if zone == self.settings.zone { OWN_ZONE } else { 1.0 };
            let weight = own * (ratio(near) / ratio(fleet)).clamp(least, most);
            let alone = server.role == Role::Mixed
                || server.role == Role::Decode && self.settings.decode_engines_prefill;
            let reaches = [alone || server.role == Role::Prefill, alone, server.role != Role::Prefill];
            Placed { id, role, ready, weight, cell, zone, reaches }
        }));
    }

    /// Brings the bookkeeping up to date: lists, what has happened to engines, what has run out.
    fn settle(&mut self, now: Duration) {
        if self.fleet.take_moved() {
            self.shelve();
        }
        while let Some(id) = self.fleet.next(now) {
            if let Some(server) = self.servers.get(&id) {
                let standing = self.standing(now, server);
                self.fleet.count(id, standing);
            }
        }
    }

    fn standing(&self, now: Duration, server: &Server) -> Standing {
        let report = server.report.as_ref();
        let told = report.filter(|_| self.settings.report_source != ReportSource::None).map(|(_, r)| r);
        let counted = match (self.load(now, server).filter(|_| server.ready()), told) {
            (None, _) => Counted::Unknown,
            // Counts of requests weigh by means over all engines, which move without news of any.
            (Some(_), Some(r)) if r.waiting_tokens.is_none() => {
                let least = r.memory_share.unwrap_or(0.0) / MEMORY_THRESHOLD;
                let (idle, kind) =
                    (server.out <= 0.0 && server.waiting <= 0.0, usize::from(r.queued.is_none()));
                match r.queued.or(r.in_flight).unwrap_or(0.0) {
                    count if server.since != 0.0 || kind == 1 && !idle && count != 0.0 => Counted::Moves,
                    count if count > 0.0 && least >= 0.0 => Counted::Weighs { kind, count, least },
                    _ => Counted::Fixed(least.max(0.0)),
                }
            }
            (Some(load), _) => Counted::Fixed(load),
        };
        let old = server.ready() && !server.unreachable() && !server.probing && !server.fresh(now);
        let odd = server.rests(now) || server.unreachable() || self.is_cold(now, server);
        let stale = report.map_or(server.heard, |(at, _)| *at) + FRESH;
        let dead = report.map(|(at, _)| *at + REPORT_LIFE + Duration::from_nanos(1));
        let due = [Some(stale), dead].into_iter().flatten().filter(|&at| at > now).min();
        Standing { role: server.role as usize, counted, old, odd, due }
    }

    /// Power of two choices: two writers at random. Exception: moving state far is slow and priced, so a
    /// pair of the reader's cell (else its zone) comes first, others only as spill.
    fn writers(&mut self, now: Duration, id: RequestId) -> (Vec<EngineId>, Vec<EngineId>) {
        let (shelf, gone) = self.pool(now, id, Reach::Write);
        let reader = self.jobs.get(&id).and_then(|job| self.servers.get(&job.held?.0));
        let place = reader.map(|s| (s.entry.cell, s.entry.zone));
        let here = place.map(|(cell, zone)| shelf.here(cell, zone)).unwrap_or_default();
        let around = place.map(|(cell, zone)| shelf.around(cell, zone)).unwrap_or_default();
        for near in [&here[..], &around] {
            let (missing, beyond) = shared(near, &gone);
            if missing.len() == near.len() {
                continue;
            }
            let (pair, other) =
                (Rest::new(near.len(), [&missing, &[]]), Rest::new(shelf.len(), [near, &beyond]));
            let two = two_of(pair.len(), || self.chance()).into_iter();
            let pair = two.map(|k| shelf.id(near[pair.nth(k)] as usize)).collect();
            let two = two_of(other.len(), || self.chance()).into_iter();
            return (pair, two.map(|k| shelf.id(other.nth(k))).collect());
        }
        let all = Rest::new(shelf.len(), [&gone, &[]]);
        let two = two_of(all.len(), || self.chance()).into_iter();
        (two.map(|k| shelf.id(all.nth(k))).collect(), Vec::new())
    }

    /// Asks those near or far of its choice whose reports are old, so that it goes by fresh load though this
    /// router rarely meets an engine; the far ones once. Whether there is one to wait for.
    fn ask(&mut self, now: Duration, id: RequestId, far: bool, out: Out) -> bool {
        let choice = self.jobs.get_mut(&id).filter(|_| self.settings.limits.probes);
        let choice = choice.and_then(|j| j.choice.as_mut());
        let Some(choice) = choice.filter(|c| !c.wide && c.near.len() + c.far.len() > 1) else { return false };
        choice.wide = far;
        let pool = if far { choice.far.clone() } else { choice.near.clone() };
        let mut waits = false;
        for engine in pool {
            let Some(server) = self.servers.get_mut(&engine).filter(|s| !s.fresh(now)) else { continue };
            server.askers.push(id);
            self.probe(engine, out);
            waits = true;
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| waits) {
            job.parked = Some(now + ASK_WAIT);
            self.alarm(Alarm::Parked(id), ASK_WAIT, out);
        }
        waits
    }

    /// A refused request asks too, as a router that refuses all would hear nothing any more.
    fn ask_anyone(&mut self, now: Duration, out: Out) {
        self.settle(now);
        for k in two_of(self.fleet.old(), || self.chance()) {
            self.probe(self.fleet.nth_old(k), out);
        }
    }

    /// The preferred engine that bears least, unless another bears so much less that going there is quicker.
    fn choose(&self, now: Duration, id: RequestId) -> Option<EngineId> {
        let job = self.jobs.get(&id)?;
        let choice = job.choice.as_ref()?;
        let (near, far) = (self.least(now, job, &choice.near), self.least(now, job, &choice.far));
        let spills = |far| near.is_none_or(|(_, near)| near > FAR_FACTOR * far + job.request.prompt_tokens);
        far.filter(|&(_, far)| spills(far)).or(near).map(|(id, _)| id)
    }

    /// Which engine bears least by its report (else its stage's mean) and our own tokens, and how many. One
    /// that was asked and has not answered comes last: it is busy, cut off, dead or has no connection yet.
    fn least(&self, now: Duration, job: &Job, pool: &[EngineId]) -> Option<(EngineId, f64)> {
        let asked = job.choice.as_ref()?.asked;
        let bears = |id: &EngineId| {
            let server = self.servers.get(id).filter(|s| s.ready())?;
            let load = |(waiting, memory)| (waiting + memory) * WAITING_THRESHOLD + self.reading(server);
            let load = self.parts(now, server).map(load);
            let load = load.unwrap_or_else(|| self.stage(now, server.role) * WAITING_THRESHOLD);
            // A cold engine with half of its budget to do is full: its report is what all routers share.
            let budget = self.settings.warmup_budget.as_secs_f64() * f64::from(self.settings.router_count);
            if budget > 0.0 && self.is_cold(now, server) && load > 0.5 * budget * self.cold_rate(now, server)
            {
                return None;
            }
            let silent = if server.heard + FRESH < asked { SILENT_TOKENS } else { 0.0 };
            // Exception: where no writer stands in its cell, all its states go far, which is slow and priced.
            let lone = server.role == Role::Prefill && !self.fleet.has_writer(server.entry.cell);
            let moves = if lone { self.unread * job.request.prompt_tokens } else { 0.0 };
            Some((*id, load + server.tokens + silent + moves))
        };
        pool.iter().filter_map(bears).min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// The usable engines for this request's next attempt. Those it has tried, and those that just were full,
    /// are passed over while there are others. Under the panic threshold unreachable ones are usable again:
    /// connections are slow, not dead. Given as a shelf and, in order, the places on it that are not usable.
    fn pool(&mut self, now: Duration, id: RequestId, reach: Reach) -> (Arc<Shelf>, Vec<u32>) {
        let shelf = self.fleet.shelf(reach as usize);
        let mut odd = std::mem::take(&mut self.fleet.odd);
        let is_odd = |s: &Server| s.rests(now) || s.unreachable() || self.is_cold(now, s);
        odd.retain(|id| self.servers.get(id).is_some_and(is_odd));
        self.fleet.odd = odd;
        let Some(job) = self.jobs.get(&id) else { return (shelf, Vec::new()) };
        let server = |at: u32| self.servers.get(&shelf.id(at as usize));
        let barred = |&at: &u32| !server(at).is_some_and(|s| self.may_send(job, s));
        let bound = matches!(self.effect(job), Idempotency::WithKey { .. }) && job.may_have_run.is_some();
        let mut gone: Vec<u32> =
            if bound { (0..shelf.len() as u32).filter(barred).collect() } else { vec![] };
        let tried = |id: EngineId| job.attempts.iter().any(|a| a.engine == id && !a.done);
        let unusual = self.fleet.odd.iter().copied().chain(job.attempts.iter().map(|a| a.engine));
        let mut unusual: Vec<u32> = unusual.filter_map(|id| shelf.position(id)).collect();
        unusual.sort_unstable();
        unusual.dedup();
        unusual.retain(|at| gone.binary_search(at).is_err());
        let (all, lost) = (shelf.len() - gone.len(), |&at: &u32| server(at).is_some_and(Server::unreachable));
        let reachable = all - unusual.iter().filter(|&at| lost(at)).count();
        let panics = (reachable as f64) < PANIC_SHARE * all as f64;
        // A cold engine takes its part of what would come to it, drawn by request: hundreds of routers with a
        // prompt each are too many. Less where few are left for such a draw, as more would come.
        let shut = |at: &&u32| lost(at) || server(**at).is_some_and(|s| job.luck >= self.part(now, s));
        let open = (all - unusual.iter().filter(shut).count()) as f64 / (PANIC_SHARE * all.max(1) as f64);
        let drawn = |s: &Server| s.unreachable() || job.luck < self.part(now, s) * open.min(1.0);
        let fills = |s: &Server| s.bucket_level(now, self.cold_rate(now, s)) > 0.0;
        let warm = |s: &Server| !self.is_cold(now, s) || drawn(s) && fills(s);
        let out = |at: &u32| !panics && lost(at) || !server(*at).is_some_and(warm);
        let (unusable, rest): (Vec<u32>, Vec<u32>) = unusual.into_iter().partition(out);
        gone.extend(unusable);
        let class = job.request.class.0;
        let rests = |s: &Server| s.rests.get(class).is_some_and(|&until| now < until);
        let worn = |at: &u32| tried(shelf.id(*at as usize)) || server(*at).is_some_and(rests);
        let worn: Vec<u32> = rest.into_iter().filter(worn).collect();
        if gone.len() + worn.len() < shelf.len() {
            gone.extend(worn);
        }
        gone.sort_unstable();
        (shelf, gone)
    }

    /// A keyed request that may have run goes, and is read anew, only where its repeats are dropped.
    fn may_send(&self, job: &Job, server: &Server) -> bool {
        let Idempotency::WithKey { scope: group, .. } = self.effect(job) else { return true };
        let Some((_, at, first)) = &job.may_have_run else { return true };
        server.entry.started_at.is_none_or(|started| started <= *at)
            && match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == server.entry.zone,
                DeduplicationScope::Cell => first.cell == server.entry.cell,
            }
    }

    /// How much longer a keyed request that may have run may come to an engine again.
    fn window_left(&self, now: Duration, job: &Job) -> Option<Duration> {
        let (_, at, _) = job.may_have_run.as_ref()?;
        let Idempotency::WithKey { window, .. } = self.effect(job) else { return None };
        Some(at.saturating_add(window).saturating_sub(now))
    }

    fn effect(&self, job: &Job) -> Idempotency {
        self.settings.classes[job.request.class.0].idempotency
    }

    fn send(&mut self, now: Duration, id: RequestId, engine: EngineId, out: Out) {
        let cold = self.servers.get(&engine).filter(|s| self.is_cold(now, s));
        let cold_rate = cold.map(|s| self.cold_rate(now, s));
        // A repeat whose bytes a cut holds up would come after the window: it is given up before that.
        let limit = self.jobs.get(&id).and_then(|j| Some(self.window_left(now, j)?.saturating_sub(ASK_WAIT)));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(server) = self.servers.get_mut(&engine) else { return };
        self.fleet.touch(engine);
        let prompt = job.request.prompt_tokens;
        let read = server.role == Role::Prefill;
        let tokens = if read { prompt } else { prompt + job.request.max_output_tokens };
        let (sent, state) = (now, job.held.take());
        job.attempts.push(Attempt { engine, sent, tokens, read, out: true, begun: None, done: false, state });
        if !read && job.may_have_run.is_none() {
            job.may_have_run = Some((job.attempts.len() - 1, now, server.entry.clone()));
        }
        let attempt = job.attempts.len() - 1;
        server.tokens += tokens;
        (server.out, server.waiting) = (server.out + 1.0, server.waiting + 1.0);
        server.since += prompt;
        let (role, own_pace) = (server.role, server.pace);
        match cold_rate {
            Some(rate) => (server.bucket, server.bucket_at) = (server.bucket_level(now, rate) - prompt, now),
            None => self.note_borne(now, role, prompt),
        }
        out.push(Action::Send { request: id, engine, timeout: limit.filter(|_| !read) });
        let patience = self.patience(role, own_pace, prompt);
        self.alarm(Alarm::Check(id, attempt), patience, out);
    }

    /// How long an engine may say nothing at all under an attempt of this length. One slower than its role
    /// has its own time: its work would be cancelled just before it ends, again and again.
    fn patience(&self, role: Role, own_pace: f64, prompt: f64) -> Duration {
        let Means { pace, deviation, .. } = self.means[role as usize];
        let usual = (pace.max(own_pace) + PATIENCE_DEVIATIONS * deviation) * (prompt + FIXED_TOKENS);
        MIN_PATIENCE.max(Duration::from_secs_f64(usual.min(LONGEST.as_secs_f64())))
    }

    /// Nothing is usable just now: wait a little, a held state never longer than part of its limit.
    fn park(&mut self, now: Duration, id: RequestId, out: Out) {
        let patience = self.settings.held_state_limit.mul_f64(HOLD_PART);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let waited = match job.held {
            Some((_, since)) => now.saturating_sub(since) + ASK_WAIT >= patience,
            None => now + job.request.client_timeout / 2 > job.deadline,
        };
        if waited || self.servers.is_empty() {
            return self.give_up(id, out);
        }
        (job.parked, job.choice) = (Some(now + ASK_WAIT), None);
        self.alarm(Alarm::Parked(id), ASK_WAIT, out);
    }

    // ---- 4. Further attempts ------------------------------------------------------------------

    fn on_first(&mut self, now: Duration, which: (RequestId, usize), latency: Duration, out: Out) {
        let Some(job) = self.jobs.get_mut(&which.0) else { return };
        let Some(a) = job.attempts.get_mut(which.1).filter(|a| a.out && a.begun.is_none()) else { return };
        self.fleet.touch(a.engine);
        a.begun = Some(latency);
        // Of a whole answer nothing has gone out yet: if its writer is lost, its class says what may follow.
        (job.ended, job.held) = (job.whole_by.is_none(), None);
        job.deadline = job.deadline.max(job.whole_by.unwrap_or_default());
        // The first token frees what else is held, but that word can be lost on a cut link.
        out.push(Action::Release(which.0));
        let (engine, sent, prompt) = (a.engine, a.sent, job.request.prompt_tokens);
        self.stop_waiting(engine, sent, prompt);
        self.heard_well(now, engine, Some((latency, prompt)));
    }

    fn on_ended(&mut self, now: Duration, ended: AttemptEnded, out: Out) {
        let AttemptEnded { request: id, outcome, latency, .. } = ended;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(ended.attempt).filter(|a| a.out) else { return };
        self.fleet.touch(a.engine);
        // One that found no state to fetch is not at fault: with the state read again it is as good as any.
        let blameless = outcome == Outcome::Rejected { state_missing: true };
        (a.out, a.done) =
            (false, blameless || a.read && matches!(outcome, Outcome::Prefilled | Outcome::Reset));
        let Attempt { engine, sent, begun, read, tokens, state, .. } = *a;
        let prompt = job.request.prompt_tokens;
        job.ended |= ended.request_finished;
        let left = self.settings.limits.max_attempts.saturating_sub(job.attempts.len());
        let one_more = ASK_WAIT + self.settings.limits.connect_timeout;
        let rest = EJECT_BASE * self.settings.router_count.clamp(1, 1 << EJECT_DOUBLINGS);
        if outcome.proves_not_run() && job.may_have_run.as_ref().is_some_and(|r| r.0 == ended.attempt) {
            job.may_have_run = None;
        }
        job.held = match outcome {
            Outcome::Prefilled => Some((engine, now)),
            Outcome::Completed | Outcome::Rejected { state_missing: true } => None,
            _ if begun.is_some() => None,
            // The state still waits unless it was fetched: asking another writer for it tells. With two
            // attempts left that would leave too few, and the reader has kept the text: it is read again.
            Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled if left == 2 => None,
            // It came to no writer, so its time runs on: kept if one more such write leaves enough.
            Outcome::ConnectFailed | Outcome::NotSent => {
                state.filter(|&(_, since)| now + one_more <= since + self.settings.held_state_limit)
            }
            _ => state.map(|(reader, _)| (reader, now)),
        };
        let (over, class, mut role) = (job.ended, job.request.class.0, Role::Prefill);
        let load = self.servers.get(&engine).and_then(|s| self.load(now, s));
        let roomy = load.is_some_and(|load| refusal_chance(load, true) < 1.0);
        if let Some(server) = self.servers.get_mut(&engine) {
            server.tokens = (server.tokens - tokens).max(0.0);
            server.out -= 1.0;
            server.rests.resize(self.settings.classes.len(), Duration::ZERO);
            match outcome {
                Outcome::Rejected { state_missing: true } => server.heard = now,
                // One that errs at once seems idle and draws all, and each of many routers meets it rarely.
                Outcome::Error if begun.is_none() => server.rests.fill(now + rest),
                Outcome::Rejected { .. } => {
                    server.heard = now;
                    // What is turned away is not borne: jammed peers would seem to bear what no cold one can.
                    let means = &mut self.means[server.role as usize];
                    means.rate = (means.rate - prompt / RATE_SPAN.as_secs_f64()).max(0.0);
                    server.rests[class] = now + if roomy { THROTTLE_REST } else { FULL_REST };
                }
                _ => {}
            }
            role = server.role;
        }
        if begun.is_none() {
            self.stop_waiting(engine, sent, prompt);
        }
        self.take_report(now, engine, ended.report);
        match outcome {
            Outcome::Completed | Outcome::Prefilled => {
                let mut tokens = prompt;
                if read {
                    tokens = (prompt - ended.cached_tokens).max(0.0);
                    self.unread += MEAN_WEIGHT * (tokens / prompt.max(1.0) - self.unread);
                }
                let Means { waited, whole, .. } = &mut self.means[role as usize];
                *waited += MEAN_WEIGHT * (begun.unwrap_or(latency).as_secs_f64() - *waited);
                *whole += MEAN_WEIGHT * (latency.as_secs_f64() - *whole);
                self.heard_well(now, engine, (read || begun.is_none()).then_some((latency, tokens)));
            }
            Outcome::ConnectFailed => self.eject(now, engine, "no connection", out),
            _ => {}
        }
        match over {
            true => self.end(id, None, out),
            false => self.advance(now, id, out),
        }
    }

    /// An attempt has said nothing for its patience: its engine is lost or stalled, or its answer is. A read
    /// goes elsewhere, and so does a write that may run twice. Harm: a long queue costs the work twice.
    fn on_check(&mut self, id: RequestId, attempt: usize, out: Out) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.ended) else { return };
        let Some(a) = job.attempts.get(attempt).filter(|a| a.out && a.begun.is_none()) else { return };
        let repeatable = a.read || self.effect(job) == Idempotency::Idempotent;
        if repeatable
            && self.settings.limits.max_attempts > job.attempts.len()
            && self.settings.limits.cancellation
        {
            out.push(Action::Cancel { request: id, attempt });
        }
    }

    // ---- 5. End, 6. Let go ------------------------------------------------------------------

    /// No further attempt: the final answer, at once. Who is refused may come again after the window.
    fn give_up(&mut self, id: RequestId, out: Out) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.ended) else { return };
        let harmless = job.may_have_run.is_none() || self.effect(job) == Idempotency::Idempotent;
        let over_share = job.over_share;
        let answer = if harmless {
            let wait = RETRY_AFTER.mul_f64(0.5 + self.chance());
            let retry_after = self.settings.limits.max_retry_after.map(|most| wait.min(most));
            Action::Reject { request: id, retry_after, over_quota: over_share }
        } else {
            Action::Fail(id)
        };
        self.end(id, Some(answer), out);
    }

    /// The one place where a request ends and lets go. A read still out comes through here again.
    fn end(&mut self, id: RequestId, answer: Option<Action>, out: Out) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.ended = true;
        out.extend(answer);
        if self.settings.limits.cancellation {
            let open = |(_, a): &(usize, &Attempt)| a.out && a.begun.is_none();
            let open = job.attempts.iter().enumerate().filter(open);
            out.extend(open.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
        }
        if !job.attempts.is_empty() {
            out.push(Action::Release(id));
        }
        job.held = None;
        if job.attempts.iter().all(|a| !a.out) {
            self.jobs.remove(&id);
        }
    }

    /// Its time is up, or longer by now; a whole answer that is being written ends by its host's bound.
    fn on_deadline(&mut self, now: Duration, id: RequestId, out: Out) {
        let Some(job) = self.jobs.get(&id) else { return };
        if now < job.deadline {
            return self.alarm(Alarm::Deadline(id), job.deadline - now, out);
        }
        if !job.attempts.iter().any(|a| a.out && a.begun.is_some()) {
            self.end(id, Some(Action::Fail(id)), out);
        }
    }

    fn on_timer(&mut self, now: Duration, timer: TimerId, out: Out) {
        let open = |id: &RequestId| self.jobs.get(id).is_some_and(|j| !j.ended);
        match self.alarms.remove(&timer) {
            Some(Alarm::Deadline(id)) if open(&id) => self.on_deadline(now, id, out),
            Some(Alarm::Check(id, attempt)) => self.on_check(id, attempt, out),
            Some(Alarm::Parked(id)) => {
                let due = |job: &&mut Job| job.parked.is_some_and(|until| now >= until);
                if let Some(job) = self.jobs.get_mut(&id).filter(due) {
                    job.parked = None;
                    self.advance(now, id, out);
                }
            }
            Some(Alarm::Trial(engine)) => {
                let due = self.servers.get(&engine).is_some_and(|s| s.unreachable() && !s.probing);
                match self.settings.limits.probes {
                    true if due => self.probe(engine, out),
                    false if due => self.reached(now, engine),
                    _ => {}
                }
            }
            Some(Alarm::List) => out.push(Action::WatchEngines(true)),
            Some(Alarm::Deadline(_)) | None => {}
        }
    }

    // ---- 7. Health ------------------------------------------------------------------------------

    /// An engine was heard of. If it could not be reached before, it counts as cold from now.
    fn reached(&mut self, now: Duration, engine: EngineId) {
        let Some(server) = self.servers.get_mut(&engine) else { return };
        server.heard = now;
        self.fleet.touch(engine);
        if server.unreachable() {
            (server.ejected, server.returned) = (None, Some(now));
            (server.bucket, server.bucket_at) = (1.0, now);
        }
    }

    /// An engine did its work: its latency is one more sample of its role's pace.
    fn heard_well(&mut self, now: Duration, engine: EngineId, sample: Option<(Duration, f64)>) {
        self.reached(now, engine);
        let Some(server) = self.servers.get_mut(&engine) else { return };
        server.doublings = server.doublings.saturating_sub(1);
        let Some((latency, prompt)) = sample else { return };
        let pace = latency.as_secs_f64() / (prompt + FIXED_TOKENS);
        server.pace += if server.pace == 0.0 { pace } else { MEAN_WEIGHT * (pace - server.pace) };
        let means = &mut self.means[server.role as usize];
        means.deviation += MEAN_WEIGHT * ((pace - means.pace).abs() - means.deviation);
        means.pace += MEAN_WEIGHT * (pace - means.pace);
    }

    /// Leaves alone an engine that could not be connected to, with backoff; then a probe tries it.
    fn eject(&mut self, now: Duration, engine: EngineId, why: &str, out: Out) {
        let jitter = 1.0 + 0.25 * self.chance();
        let Some(server) = self.servers.get_mut(&engine) else { return };
        if server.ejected.is_some_and(|until| now < until) {
            return;
        }
        let length = (EJECT_BASE * (1 << server.doublings)).mul_f64(jitter);
        server.doublings = (server.doublings + 1).min(EJECT_DOUBLINGS);
        server.ejected = Some(now + length);
        self.fleet.touch(engine);
        self.alarm(Alarm::Trial(engine), length, out);
        out.push(Action::Log(format!("engine {:x} ejected for {} ms: {why}", engine.0, length.as_millis())));
    }

    // ---- 8. Cold --------------------------------------------------------------------------------

    /// Told to have started, or back from where it could not be reached: it may have restarted long before
    /// the list says so, and what is sent meanwhile counts. Harm: after a mere cut its share comes late.
    fn is_cold(&self, now: Duration, server: &Server) -> bool {
        server.cold_since(now).is_some_and(|at| now < at.saturating_add(self.settings.warmup_time))
    }

    /// The part of its work that an engine can do by now.
    fn part(&self, now: Duration, server: &Server) -> f64 {
        let Some(since) = server.cold_since(now).filter(|_| self.is_cold(now, server)) else { return 1.0 };
        let age = now.saturating_sub(since).as_secs_f64() / self.settings.warmup_time.as_secs_f64().max(1e-3);
        self.settings.warmup_initial_share + (1.0 - self.settings.warmup_initial_share) * age.min(1.0)
    }

    /// What this router may send a cold engine, tokens a second: its share of what a warm one bears.
    fn cold_rate(&self, now: Duration, server: &Server) -> f64 {
        let least = *self.mean_prompt / COLD_STEP.as_secs_f64() / f64::from(self.settings.router_count);
        self.part(now, server) * self.means[server.role as usize].borne.max(least)
    }

    fn note_borne(&mut self, now: Duration, role: Role, prompt: f64) {
        let cold = |s: &&Server| s.role == role && s.ready() && self.is_cold(now, s);
        let cold = self.fleet.odd.iter().filter_map(|id| self.servers.get(id)).filter(cold).count();
        let warm = self.fleet.ready(role as usize).saturating_sub(cold).max(1) as f64;
        let means = &mut self.means[role as usize];
        let age = now.saturating_sub(means.rate_at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        means.rate = means.rate * (-age).exp() + prompt / RATE_SPAN.as_secs_f64();
        means.rate_at = now;
        means.borne += MEAN_WEIGHT * (means.rate / warm - means.borne);
    }

    // ---- 9. Lists and reports -----------------------------------------------------------------

    fn on_list(&mut self, now: Duration, listing: Listing, engines: Vec<Engine>, out: Out) {
        if listing == Listing::Failed {
            if self.settings.polls_engine_list {
                let wait = RETRY_AFTER.mul_f64(0.5 + self.chance());
                self.alarm(Alarm::List, wait, out);
            }
            return;
        }
        // A router comes up with the list that it last held.
        if listing == Listing::Cached && self.settings.polls_engine_list {
            out.push(Action::WatchEngines(true));
        }
        if listing != Listing::Changes {
            let named: BTreeSet<EngineId> = engines.iter().map(|e| e.id).collect();
            let before = self.servers.len();
            self.servers.retain(|id, _| named.contains(id));
            self.fleet.list_moved(self.servers.len() != before);
        }
        for entry in engines {
            if entry.state == EngineState::Gone {
                self.fleet.list_moved(self.servers.remove(&entry.id).is_some());
                continue;
            }
            let Some(&role) = self.settings.kind_roles.get(entry.kind.0) else { continue };
            let (heard, bucket, bucket_at) = (now, 1.0, now);
            let fresh =
                || Server { entry: entry.clone(), role, heard, bucket, bucket_at, ..Server::default() };
            let place = |s: &Server| (s.role as usize, s.entry.state, s.entry.zone, s.entry.cell);
            let before = self.servers.get(&entry.id).map(place);
            let server = self.servers.entry(entry.id).or_insert_with(fresh);
            if (server.entry.started_at, server.role) != (entry.started_at, role) {
                // A restart, told or not: what was known of the engine is void, what is out there is not.
                let Server { tokens, out, waiting, .. } = *server;
                *server = Server { tokens, out, waiting, ..fresh() };
            }
            self.fleet.touch(entry.id);
            server.entry = entry;
            self.fleet.list_moved(before != Some(place(server)));
        }
    }

    fn take_report(&mut self, now: Duration, engine: EngineId, report: LoadReport) {
        let told = report != LoadReport::default();
        if let Some(server) = self.servers.get_mut(&engine).filter(|_| told) {
            server.report = Some((now, report));
            server.since = 0.0;
        }
    }

    fn on_probed(&mut self, now: Duration, engine: EngineId, outcome: Outcome, report: LoadReport, out: Out) {
        let Some(server) = self.servers.get_mut(&engine) else { return };
        server.probing = false;
        self.fleet.touch(engine);
        let askers = std::mem::take(&mut server.askers);
        if outcome == Outcome::Completed {
            self.reached(now, engine);
            self.take_report(now, engine, report);
        } else if server.unreachable() {
            self.eject(now, engine, "no answer to a probe", out);
        }
        for id in askers {
            let servers = &self.servers;
            let probing = |id: &EngineId| servers.get(id).is_some_and(|s| s.probing);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(choice) = job.choice.as_ref().filter(|c| c.step == job.attempts.len()) else { continue };
            let far = choice.far.iter().filter(|_| choice.wide);
            if job.parked.is_some() && !choice.near.iter().chain(far).any(probing) {
                job.parked = None;
                self.advance(now, id, out);
            }
        }
    }

    fn probe(&mut self, engine: EngineId, out: Out) {
        let allowed = self.settings.limits.probes;
        if let Some(server) = self.servers.get_mut(&engine).filter(|s| allowed && !s.probing) {
            server.probing = true;
            self.fleet.touch(engine);
            out.push(Action::Probe(engine));
        }
    }

    fn stop_waiting(&mut self, engine: EngineId, sent: Duration, prompt: f64) {
        let Some(server) = self.servers.get_mut(&engine) else { return };
        server.waiting -= 1.0;
        if server.report.as_ref().is_none_or(|(at, _)| sent > *at) {
            server.since = (server.since - prompt).max(0.0);
        }
    }

    fn alarm(&mut self, alarm: Alarm, after: Duration, out: Out) {
        let timer = TimerId(self.next_timer);
        self.next_timer += 1;
        self.alarms.insert(timer, alarm);
        out.push(Action::SetTimer { timer, after });
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The curve of the llm-d post. Exception: where it refuses all droppable requests, what is left of the fleet
/// can't carry the protected ones either. The same curve, on a part of the saturation, then holds for them.
fn refusal_chance(saturation: f64, droppable: bool) -> f64 {
    let curve = |s: f64| (CURVE_FACTOR * s.powi(CURVE_POWER)).min(1.0);
    match curve(saturation) {
        chance if droppable => chance,
        chance if chance < 1.0 => 0.0,
        _ => curve(PROTECTED_PART * saturation),
    }
}

impl Server {
    fn ready(&self) -> bool {
        self.entry.state == EngineState::Ready
    }

    /// Whether its load was told a moment ago, or its life where it tells no load.
    fn fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.report.as_ref().map_or(self.heard, |(at, _)| *at)) < FRESH
    }

    /// Whether it is passed over for any class.
    fn rests(&self, now: Duration) -> bool {
        self.rests.iter().any(|&until| now < until)
    }

    fn unreachable(&self) -> bool {
        self.ejected.is_some()
    }

    fn cold_since(&self, now: Duration) -> Option<Duration> {
        self.unreachable().then_some(now).or(self.entry.started_at.max(self.returned))
    }

    /// What the bucket of a cold engine holds at this rate: no more than lets one prompt through.
    fn bucket_level(&self, now: Duration, rate: f64) -> f64 {
        (self.bucket + rate * now.saturating_sub(self.bucket_at).as_secs_f64()).min(1.0)
    }
}
