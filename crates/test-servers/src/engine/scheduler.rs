//! The scheduler of an engine: queue, slots, memory, prefix cache, held states and steps.

use super::spec::{EngineSpec, Role};
use crate::mark::Mark;
use serde_json::{json, Value};
use slipreel_invariants::{ClientAttempt, Stage};
use slipreel_protocol::engine::Load;
use slipreel_state_machine::ConnId;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text per token. The router assumes the same; a real tokeniser would differ from both.
const BYTES_PER_TOKEN: u64 = 4;

/// Which phase of a request the engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Prefill,
    Decode,
}

/// Where a decode engine fetches the state of a request from.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    pub addr: SocketAddr,
    /// The number of the state at that engine.
    pub state: u64,
}

/// A request that the engine has accepted.
#[derive(Debug)]
pub struct ActiveRequest {
    pub id: u64,
    pub conn: ConnId,
    pub request_id: String,
    pub router: String,
    pub idempotency_key: Option<String>,
    pub mark: Option<Mark>,
    pub kind: RequestKind,
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were in the prefix cache.
    pub cached: u64,
    /// Tokens that are still to be prefilled.
    pub prefill_left: u64,
    pub max_tokens: u32,
    /// Length of the answer in tokens.
    pub length: u32,
    /// Answer tokens generated so far.
    pub emitted: u32,
    pub stream: bool,
    pub has_begun: bool,
    /// Its effect was recorded.
    pub has_run: bool,
    /// The answer is never sent.
    pub is_answer_lost: bool,
    /// The state that it has yet to fetch.
    pub transfer: Option<Transfer>,
    /// Hashes of the prefixes of its prompt.
    pub prefixes: Vec<u64>,
}

impl ActiveRequest {
    /// The attempt that the marker in the prompt names.
    pub fn attempt(&self) -> Option<ClientAttempt> {
        self.mark.map(|m| m.attempt)
    }

    /// The phase of the request, as the invariant checker names it.
    pub fn stage(&self) -> Stage {
        match self.kind {
            RequestKind::Prefill => Stage::Prefill,
            RequestKind::Decode => Stage::Decode,
        }
    }

    /// The token counts of its answer; a prefill counts as one answer token.
    pub fn usage(&self) -> Value {
        let made = u64::from(self.emitted.max(1));
        json!({"prompt_tokens": self.prompt_tokens, "completion_tokens": made,
               "total_tokens": self.prompt_tokens + made,
               "prompt_tokens_details": {"cached_tokens": self.cached}})
    }

    /// Memory that the request uses, in tokens.
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.emitted)
    }
}

/// The KV cache of a prefilled prompt that waits to be fetched.
#[derive(Debug)]
pub struct State {
    pub request_id: String,
    pub tokens: u64,
    /// It is being sent to a decode engine.
    pub is_being_sent: bool,
    since: Duration,
}

/// What a step has completed, as request numbers.
#[derive(Default)]
pub struct StepResult {
    pub prefilled: Vec<u64>,
    pub decoded: Vec<u64>,
}

/// A step in progress.
struct Step {
    ends: Duration,
    /// Prompt tokens that the step prefills, by request.
    prefills: Vec<(u64, u64)>,
    decodes: Vec<u64>,
}

/// Queue, slots, memory, prefix cache and held states of an engine.
pub struct Scheduler {
    pub requests: BTreeMap<u64, ActiveRequest>,
    queue: VecDeque<u64>,
    /// Requests with a slot, in the order in which they got it, without those that still fetch their state.
    pub running: Vec<u64>,
    /// Requests with a slot that fetch their state.
    fetching: Vec<u64>,
    pub states: BTreeMap<u64, State>,
    step: Option<Step>,
    next_id: u64,
    started: Duration,
    pub started_wall: Duration,
    memory: u64,
    cached_prefixes: HashMap<u64, u64>,
    cache_order: VecDeque<u64>,
    max_cached_prefixes: usize,
    /// Recent requests while the engine is not at full speed: arrival time, and seconds of work at full
    /// speed.
    recent_work: VecDeque<(Duration, f64)>,
}

impl Scheduler {
    pub fn new(spec: &EngineSpec, now: Duration, wall: Duration) -> Self {
        Scheduler {
            requests: BTreeMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            fetching: Vec::new(),
            states: BTreeMap::new(),
            step: None,
            // Numbers continue past those of an earlier start, so that an old state number fetches nothing.
            next_id: now.as_millis() as u64 * 1000,
            started: now,
            started_wall: wall,
            memory: spec.memory,
            cached_prefixes: HashMap::new(),
            cache_order: VecDeque::new(),
            max_cached_prefixes: spec.cached_prefixes,
            recent_work: VecDeque::new(),
        }
    }

    /// A new number for a request or a state.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Counts the tokens of the prompt and how many of them are in the prefix cache.
    pub fn measure(&self, request: &mut ActiveRequest, texts: &[String]) {
        let mut hash = 0;
        let part = |text: &String| {
            hash = xxh3_64_with_seed(text.as_bytes(), hash);
            (hash, (text.len() as u64).div_ceil(BYTES_PER_TOKEN) + 4)
        };
        let parts: Vec<(u64, u64)> = texts.iter().map(part).collect();
        self.measure_parts(request, &parts);
    }

    /// Like [`measure`](Self::measure), from the parts of the prompt: for each the hash of it and all parts
    /// before it, and its tokens.
    pub fn measure_parts(&self, request: &mut ActiveRequest, parts: &[(u64, u64)]) {
        for &(hash, tokens) in parts {
            request.prompt_tokens += tokens;
            request.prefixes.push(hash);
            if self.cached_prefixes.contains_key(&hash) {
                request.cached = request.prompt_tokens;
            }
        }
        let needs_prefill = request.transfer.is_none();
        // The last token is always prefilled, even if the whole prompt is cached.
        request.cached =
            if needs_prefill { request.cached.min(request.prompt_tokens.saturating_sub(1)) } else { 0 };
        request.prefill_left = if needs_prefill { request.prompt_tokens - request.cached } else { 0 };
    }

    fn cache_prefixes(&mut self, prefixes: &[u64]) {
        for &prefix in prefixes {
            if self.cached_prefixes.insert(prefix, 1).is_none() {
                self.cache_order.push_back(prefix);
            }
        }
        while self.cache_order.len() > self.max_cached_prefixes {
            if let Some(old) = self.cache_order.pop_front() {
                self.cached_prefixes.remove(&old);
            }
        }
    }

    /// Whether all slots and all places in the queue are taken.
    pub fn is_full(&self, spec: &EngineSpec) -> bool {
        self.queue.len() >= spec.queue && self.running.len() + self.fetching.len() >= spec.slots
    }

    /// The share of its full speed that the engine has at `now`.
    pub fn speed_factor(&self, now: Duration, spec: &EngineSpec) -> f64 {
        let age = now.saturating_sub(self.started).as_secs_f64() / spec.cold_time.as_secs_f64().max(1e-9);
        (spec.cold_share + (1.0 - spec.cold_share) * age).min(1.0)
    }

    /// Counts an arriving request. Returns whether the engine crashes because it gets too much work before it
    /// has reached full speed.
    pub fn overloads_cold_engine(
        &mut self, now: Duration, spec: &EngineSpec, request: &ActiveRequest,
    ) -> bool {
        if now >= self.started + spec.cold_time {
            self.recent_work.clear();
            return false;
        }
        let prefill_time = request.prefill_left as f64 / spec.prefill_tokens_per_s;
        let decode_time = if request.kind == RequestKind::Decode {
            f64::from(request.length) / spec.decode_tokens_per_s()
        } else {
            0.0
        };
        self.recent_work.push_back((now, prefill_time + decode_time));
        while self.recent_work.front().is_some_and(|(at, _)| *at + spec.fall_time < now) {
            self.recent_work.pop_front();
        }
        let window = spec.fall_time.as_secs_f64();
        let arrived: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let largest = self.recent_work.iter().map(|(_, work)| *work).fold(0.0, f64::max);
        // Allows one request more than the budget, so that a single large one does no harm.
        arrived > spec.fall_multiple * self.speed_factor(now, spec) * window + largest
    }

    /// Adds a request to the end of the queue.
    pub fn enqueue(&mut self, request: ActiveRequest) {
        self.queue.push_back(request.id);
        self.requests.insert(request.id, request);
    }

    /// Memory in use, in tokens.
    pub fn used_memory(&self) -> u64 {
        let with_slot = self.running.iter().chain(&self.fetching).filter_map(|id| self.requests.get(id));
        with_slot.map(ActiveRequest::memory_tokens).sum::<u64>()
            + self.states.values().map(|s| s.tokens).sum::<u64>()
    }

    /// Gives a slot to the next request in the queue, if a slot and enough memory are free.
    pub fn admit(&mut self, spec: &EngineSpec) -> Option<u64> {
        let id = *self.queue.front()?;
        let Some(request) = self.requests.get(&id) else {
            self.queue.pop_front();
            return None;
        };
        let busy = self.running.len() + self.fetching.len();
        // A request that alone exceeds the memory still runs when nothing else uses memory.
        let used = self.used_memory();
        if busy >= spec.slots || (used > 0 && used + request.memory_tokens() > self.memory) {
            return None;
        }
        self.queue.pop_front();
        if request.transfer.is_some() {
            self.fetching.push(id);
        } else {
            self.running.push(id);
        }
        Some(id)
    }

    /// The state of a request has been fetched: the request runs.
    pub fn fetched(&mut self, id: u64) {
        self.fetching.retain(|&f| f != id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.transfer = None;
            self.running.push(id);
        }
    }

    /// Removes a request, queued or running.
    pub fn remove(&mut self, id: u64) -> Option<ActiveRequest> {
        let request = self.requests.remove(&id)?;
        self.queue.retain(|&q| q != id);
        self.running.retain(|&r| r != id);
        self.fetching.retain(|&f| f != id);
        if let Some(step) = &mut self.step {
            step.prefills.retain(|(r, _)| *r != id);
            step.decodes.retain(|d| *d != id);
        }
        Some(request)
    }

    /// The requests to put back into the queue because memory is exceeded: those in decode, newest first.
    pub fn over_memory(&self) -> Vec<u64> {
        let mut used = self.used_memory();
        let mut requeued = Vec::new();
        for id in self.running.iter().skip(1).rev() {
            if used <= self.memory {
                break;
            }
            let Some(request) = self.requests.get(id).filter(|r| r.kind == RequestKind::Decode) else {
                continue;
            };
            used -= request.memory_tokens();
            requeued.push(*id);
        }
        requeued
    }

    /// Puts a request back at the head of the queue. Its prompt and its answer so far are prefilled again.
    pub fn requeue(&mut self, id: u64) {
        self.running.retain(|&r| r != id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.prefill_left = request.memory_tokens();
            self.queue.push_front(id);
        }
    }

    /// Holds the state of a prefilled request and returns its number.
    pub fn hold_state(&mut self, request: &ActiveRequest, now: Duration) -> u64 {
        let state = self.next_id();
        let held = State {
            request_id: request.request_id.clone(),
            tokens: request.prompt_tokens,
            is_being_sent: false,
            since: now,
        };
        self.states.insert(state, held);
        state
    }

    /// Releases a held state. Returns whether it was held.
    pub fn release(&mut self, state: u64) -> bool {
        self.states.remove(&state).is_some()
    }

    /// Held states that nobody has fetched within `hold_time`.
    pub fn expired_states(&self, now: Duration, hold_time: Duration) -> Vec<u64> {
        self.states
            .iter()
            .filter(|(_, s)| !s.is_being_sent && s.since + hold_time <= now)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Since when the oldest state waits to be fetched.
    pub fn oldest_state(&self) -> Option<Duration> {
        self.states.values().filter(|s| !s.is_being_sent).map(|s| s.since).min()
    }

    /// The load that the engine reports.
    pub fn load(&self) -> Load {
        Load {
            running: Some(self.running.len() as f64),
            waiting: Some((self.queue.len() + self.fetching.len()) as f64),
            // The published metric is at most 1.
            memory: Some((self.used_memory() as f64 / self.memory.max(1) as f64).min(1.0)),
            started: None,
        }
    }

    // ---- Steps --------------------------------------------------------------------------------

    /// When the current step ends.
    pub fn step_at(&self) -> Option<Duration> {
        self.step.as_ref().map(|s| s.ends)
    }

    /// Whether the current step has ended by `now`.
    pub fn step_due(&self, now: Duration) -> bool {
        self.step.as_ref().is_some_and(|s| s.ends <= now)
    }

    /// Starts the next step if none runs and there is work: it prefills prompts in turn and adds a token to
    /// each answer. It takes longer the more tokens it prefills, the more answers it decodes and the lower
    /// `speed_factor` is. Requests in `stalled` get no token.
    pub fn start_step(&mut self, now: Duration, spec: &EngineSpec, speed_factor: f64, stalled: &[u64]) {
        if self.step.is_some() {
            return;
        }
        let (mut chunk_left, mut prefills, mut decodes) = (spec.chunk, Vec::new(), Vec::new());
        for &id in &self.running {
            let Some(request) = self.requests.get(&id) else { continue };
            if request.prefill_left > 0 {
                let part = request.prefill_left.min(chunk_left);
                if part > 0 {
                    prefills.push((id, part));
                    chunk_left -= part;
                }
            } else if request.kind == RequestKind::Decode && !stalled.contains(&id) {
                decodes.push(id);
            }
        }
        if prefills.is_empty() && decodes.is_empty() {
            return;
        }
        let prefill_tokens: u64 = prefills.iter().map(|(_, part)| part).sum();
        let base_time = if spec.role == Role::Prefill { Duration::ZERO } else { spec.step };
        let duration = base_time
            + spec.per_answer * decodes.len() as u32
            + Duration::from_secs_f64(prefill_tokens as f64 / spec.prefill_tokens_per_s);
        let duration = duration.div_f64(speed_factor.max(0.001)).max(Duration::from_micros(100));
        self.step = Some(Step { ends: now + duration, prefills, decodes });
    }

    /// Ends the current step. Returns the requests whose prefill is complete and those that got a token.
    pub fn end_step(&mut self) -> StepResult {
        let mut done = StepResult::default();
        let Some(step) = self.step.take() else { return done };
        for (id, part) in step.prefills {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            request.prefill_left -= part.min(request.prefill_left);
            if request.prefill_left > 0 {
                continue;
            }
            let prefixes = std::mem::take(&mut request.prefixes);
            if request.kind == RequestKind::Prefill {
                done.prefilled.push(id);
            }
            self.cache_prefixes(&prefixes);
        }
        done.decoded = step.decodes;
        done
    }
}
