//! The inside of an engine: queue, slots, memory, kept beginnings, held states and steps.

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

/// Bytes of prompt text to a token, as the router also assumes; a real tokeniser would differ at both.
const BYTES_PER_TOKEN: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read,
    Write,
}

/// Where a state waits.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    pub addr: SocketAddr,
    pub state: u64,
}

#[derive(Debug)]
pub struct Job {
    pub id: u64,
    pub conn: ConnId,
    pub name: String,
    pub router: String,
    pub key: Option<String>,
    pub mark: Option<Mark>,
    pub kind: Kind,
    pub prompt: u64,
    pub kept: u64,
    pub to_read: u64,
    pub cap: u32,
    pub length: u32,
    pub emitted: u32,
    pub stream: bool,
    pub begun: bool,
    pub ran: bool,
    /// Its answer never arrives.
    pub lost: bool,
    pub transfer: Option<Transfer>,
    pub prefixes: Vec<u64>,
}

impl Job {
    pub fn what(&self) -> Option<ClientAttempt> {
        self.mark.map(|m| m.what)
    }

    pub fn stage(&self) -> Stage {
        match self.kind {
            Kind::Read => Stage::Prefill,
            Kind::Write => Stage::Decode,
        }
    }

    /// What it tells of the tokens that it took; a read makes one.
    pub fn usage(&self) -> Value {
        let made = u64::from(self.emitted.max(1));
        json!({"prompt_tokens": self.prompt, "completion_tokens": made, "total_tokens": self.prompt + made,
               "prompt_tokens_details": {"cached_tokens": self.kept}})
    }

    fn memory(&self) -> u64 {
        self.prompt + u64::from(self.emitted)
    }
}

/// Read state that waits to be fetched.
#[derive(Debug)]
pub struct State {
    pub name: String,
    pub tokens: u64,
    pub taken: bool,
    since: Duration,
}

#[derive(Default)]
pub struct Done {
    pub read: Vec<u64>,
    pub wrote: Vec<u64>,
}

struct Step {
    ends: Duration,
    /// Prompt tokens that it reads, by job.
    reads: Vec<(u64, u64)>,
    writes: Vec<u64>,
}

pub struct Work {
    pub jobs: BTreeMap<u64, Job>,
    queue: VecDeque<u64>,
    /// Jobs with a slot, in the order in which they got it; those that fetch their state are not in it.
    pub running: Vec<u64>,
    fetching: Vec<u64>,
    pub states: BTreeMap<u64, State>,
    step: Option<Step>,
    next: u64,
    started: Duration,
    pub started_wall: Duration,
    memory: u64,
    kept: HashMap<u64, u64>,
    kept_order: VecDeque<u64>,
    kept_most: usize,
    /// Work that came in while cold: when, seconds of a warm engine.
    came: VecDeque<(Duration, f64)>,
}

impl Work {
    pub fn new(spec: &EngineSpec, now: Duration, wall: Duration) -> Self {
        Work {
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            fetching: Vec::new(),
            states: BTreeMap::new(),
            step: None,
            // States are named anew after a restart, so that an old name fetches nothing.
            next: now.as_millis() as u64 * 1000,
            started: now,
            started_wall: wall,
            memory: spec.memory,
            kept: HashMap::new(),
            kept_order: VecDeque::new(),
            kept_most: spec.kept,
            came: VecDeque::new(),
        }
    }

    pub fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Counts the prompt, and how much of its beginning is kept.
    pub fn measure(&self, job: &mut Job, texts: &[String]) {
        let mut hash = 0;
        let part = |text: &String| {
            hash = xxh3_64_with_seed(text.as_bytes(), hash);
            (hash, (text.len() as u64).div_ceil(BYTES_PER_TOKEN) + 4)
        };
        let parts: Vec<(u64, u64)> = texts.iter().map(part).collect();
        self.measure_parts(job, &parts);
    }

    /// The same of parts by their names, each standing for all before it too, and their tokens.
    pub fn measure_parts(&self, job: &mut Job, parts: &[(u64, u64)]) {
        for &(hash, tokens) in parts {
            job.prompt += tokens;
            job.prefixes.push(hash);
            if self.kept.contains_key(&hash) {
                job.kept = job.prompt;
            }
        }
        let reads = job.transfer.is_none();
        // The last token is always read, whatever is kept.
        job.kept = if reads { job.kept.min(job.prompt.saturating_sub(1)) } else { 0 };
        job.to_read = if reads { job.prompt - job.kept } else { 0 };
    }

    fn keep(&mut self, prefixes: &[u64]) {
        for &prefix in prefixes {
            if self.kept.insert(prefix, 1).is_none() {
                self.kept_order.push_back(prefix);
            }
        }
        while self.kept_order.len() > self.kept_most {
            if let Some(old) = self.kept_order.pop_front() {
                self.kept.remove(&old);
            }
        }
    }

    pub fn is_full(&self, spec: &EngineSpec) -> bool {
        self.queue.len() >= spec.queue && self.running.len() + self.fetching.len() >= spec.slots
    }

    /// Share of its speed that it has by now.
    pub fn factor(&self, now: Duration, spec: &EngineSpec) -> f64 {
        let age = now.saturating_sub(self.started).as_secs_f64() / spec.cold_time.as_secs_f64().max(1e-9);
        (spec.cold_share + (1.0 - spec.cold_share) * age).min(1.0)
    }

    /// Counts work that came in; whether a cold engine falls over under it.
    pub fn falls(&mut self, now: Duration, spec: &EngineSpec, job: &Job) -> bool {
        if now >= self.started + spec.cold_time {
            self.came.clear();
            return false;
        }
        let reading = job.to_read as f64 / spec.read_per_s;
        let writing = if job.kind == Kind::Write { f64::from(job.length) / spec.write_per_s() } else { 0.0 };
        self.came.push_back((now, reading + writing));
        while self.came.front().is_some_and(|(at, _)| *at + spec.fall_time < now) {
            self.came.pop_front();
        }
        let window = spec.fall_time.as_secs_f64();
        let came: f64 = self.came.iter().map(|(_, work)| work).sum();
        let largest = self.came.iter().map(|(_, work)| *work).fold(0.0, f64::max);
        // A little slack for chance: one piece of work more than the budget.
        came > spec.fall_multiple * self.factor(now, spec) * window + largest
    }

    pub fn enqueue(&mut self, job: Job) {
        self.queue.push_back(job.id);
        self.jobs.insert(job.id, job);
    }

    pub fn used(&self) -> u64 {
        let active = self.running.iter().chain(&self.fetching).filter_map(|id| self.jobs.get(id));
        active.map(Job::memory).sum::<u64>() + self.states.values().map(|s| s.tokens).sum::<u64>()
    }

    /// Gives a slot to the next in the queue, if there is one and memory for it.
    pub fn admit(&mut self, spec: &EngineSpec) -> Option<u64> {
        let id = *self.queue.front()?;
        let Some(job) = self.jobs.get(&id) else {
            self.queue.pop_front();
            return None;
        };
        let busy = self.running.len() + self.fetching.len();
        // One that alone is over the memory still runs when nothing else is held.
        let used = self.used();
        if busy >= spec.slots || (used > 0 && used + job.memory() > self.memory) {
            return None;
        }
        self.queue.pop_front();
        if job.transfer.is_some() {
            self.fetching.push(id);
        } else {
            self.running.push(id);
        }
        Some(id)
    }

    /// A state has come: its job runs.
    pub fn fetched(&mut self, id: u64) {
        self.fetching.retain(|&f| f != id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.transfer = None;
            self.running.push(id);
        }
    }

    /// Takes a job out, wherever it is.
    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.queue.retain(|&q| q != id);
        self.running.retain(|&r| r != id);
        self.fetching.retain(|&f| f != id);
        if let Some(step) = &mut self.step {
            step.reads.retain(|(r, _)| *r != id);
            step.writes.retain(|w| *w != id);
        }
        Some(job)
    }

    /// The answers that have to give their memory back: the newest, while too much is held.
    pub fn over_memory(&self) -> Vec<u64> {
        let mut used = self.used();
        let mut back = Vec::new();
        for id in self.running.iter().skip(1).rev() {
            if used <= self.memory {
                break;
            }
            let Some(job) = self.jobs.get(id).filter(|j| j.kind == Kind::Write) else { continue };
            used -= job.memory();
            back.push(*id);
        }
        back
    }

    /// Puts an answer back into the queue: its prompt and answer so far are read anew.
    pub fn send_back(&mut self, id: u64) {
        self.running.retain(|&r| r != id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.to_read = job.memory();
            self.queue.push_front(id);
        }
    }

    pub fn hold(&mut self, job: &Job, now: Duration) -> u64 {
        let state = self.next_id();
        let held = State { name: job.name.clone(), tokens: job.prompt, taken: false, since: now };
        self.states.insert(state, held);
        state
    }

    pub fn let_go(&mut self, state: u64) -> bool {
        self.states.remove(&state).is_some()
    }

    pub fn forgotten(&self, now: Duration, hold_time: Duration) -> Vec<u64> {
        self.states
            .iter()
            .filter(|(_, s)| !s.taken && s.since + hold_time <= now)
            .map(|(&id, _)| id)
            .collect()
    }

    pub fn oldest_state(&self) -> Option<Duration> {
        self.states.values().filter(|s| !s.taken).map(|s| s.since).min()
    }

    pub fn load(&self) -> Load {
        Load {
            running: Some(self.running.len() as f64),
            waiting: Some((self.queue.len() + self.fetching.len()) as f64),
            // As published: it ends at 1.
            memory: Some((self.used() as f64 / self.memory.max(1) as f64).min(1.0)),
            started: None,
        }
    }

    // ---- Steps --------------------------------------------------------------------------------

    pub fn step_at(&self) -> Option<Duration> {
        self.step.as_ref().map(|s| s.ends)
    }

    pub fn step_due(&self, now: Duration) -> bool {
        self.step.as_ref().is_some_and(|s| s.ends <= now)
    }

    /// Begins the next step, if there is work and none runs: prompts are read in turn, each answer gets a token. It
    /// takes longer the more it reads, the more answers run and the colder the engine is.
    pub fn start_step(&mut self, now: Duration, spec: &EngineSpec, factor: f64, stalled: &[u64]) {
        if self.step.is_some() {
            return;
        }
        let (mut left, mut reads, mut writes) = (spec.chunk, Vec::new(), Vec::new());
        for &id in &self.running {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.to_read > 0 {
                let part = job.to_read.min(left);
                if part > 0 {
                    reads.push((id, part));
                    left -= part;
                }
            } else if job.kind == Kind::Write && !stalled.contains(&id) {
                writes.push(id);
            }
        }
        if reads.is_empty() && writes.is_empty() {
            return;
        }
        let read: u64 = reads.iter().map(|(_, part)| part).sum();
        let base = if spec.role == Role::Read { Duration::ZERO } else { spec.step };
        let takes = base
            + spec.per_answer * writes.len() as u32
            + Duration::from_secs_f64(read as f64 / spec.read_per_s);
        let takes = takes.div_f64(factor.max(0.001)).max(Duration::from_micros(100));
        self.step = Some(Step { ends: now + takes, reads, writes });
    }

    /// Ends the present step: the jobs that have read their prompt, and those that have made a token.
    pub fn end_step(&mut self) -> Done {
        let mut done = Done::default();
        let Some(step) = self.step.take() else { return done };
        for (id, part) in step.reads {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.to_read -= part.min(job.to_read);
            if job.to_read > 0 {
                continue;
            }
            let prefixes = std::mem::take(&mut job.prefixes);
            if job.kind == Kind::Read {
                done.read.push(id);
            }
            self.keep(&prefixes);
        }
        done.wrote = step.writes;
        done
    }
}
