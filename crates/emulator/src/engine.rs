//! An engine without I/O: the scheduler of the simulated engine, and the record of the engine's role.

use slipreel::{EngineId, LoadReport, Role};
use slipreel_roles::RoleRecord;
use slipreel_state_machine::ConnId;
use slipreel_test_servers::engine::scheduler::{ActiveRequest, RequestKind, Scheduler, Transfer};
use slipreel_test_servers::engine::EngineSpec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies an attempt: its router, request and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) router: usize,
    pub(crate) request: u64,
    pub(crate) attempt: usize,
}

/// An attempt as an engine receives it.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    pub(crate) attempt_id: AttemptId,
    pub(crate) is_prefill: bool,
    /// The prefill state to fetch, if any: the engine that holds it and its number there.
    pub(crate) held_state: Option<(usize, u64)>,
    /// The parts of its prompt: for each the hash of the prompt up to its end, and its number of tokens.
    pub(crate) prompt_parts: Vec<(u64, u64)>,
    pub(crate) answer_tokens: u32,
}

/// What an engine reports about an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EngineReply {
    /// Prefill is complete. The engine holds the state under `state`; `cached_tokens` of the prompt came from
    /// its cache.
    Prefilled { state: u64, cached_tokens: u64 },
    /// The first token was generated.
    FirstToken,
    /// The answer is complete.
    Completed,
    /// The engine rejects the attempt, as it is full or has the wrong role.
    Rejected,
    /// The prefill state is missing.
    StateMissing,
}

/// A prefill state to fetch: the id of the active request, the engine that holds the state, and its number
/// there.
pub(crate) type StateFetch = (u64, (usize, u64));

/// An engine of the emulated fleet. It has no I/O; the emulation passes it requests and the time.
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) id: EngineId,
    pub(crate) role: RoleRecord,
    pub(crate) scheduler: Scheduler,
    pub(crate) alive: bool,
    pub(crate) slowdown: f64,
    /// It received more work than it can handle while cold, and has rejected everything since.
    pub(crate) overloaded: bool,
    requests: BTreeMap<u64, EngineRequest>,
    /// The time of the next scheduled wake-up.
    pub(crate) next_wake: Option<Duration>,
}

impl Engine {
    /// An idle engine in the role of its spec, started at `started`; `epoch` is the epoch of that role.
    pub(crate) fn new(spec: EngineSpec, id: EngineId, started: Duration, epoch: u64) -> Self {
        Engine {
            role: RoleRecord::started(spec.role.into(), epoch, started),
            scheduler: Scheduler::new(&spec, started, started),
            spec,
            id,
            alive: true,
            slowdown: 1.0,
            overloaded: false,
            requests: BTreeMap::new(),
            next_wake: None,
        }
    }

    pub(crate) fn report(&self) -> LoadReport {
        let load = self.scheduler.load();
        LoadReport {
            in_flight: load.running.zip(load.waiting).map(|(r, w)| r + w),
            queued: load.waiting,
            memory_share: load.memory,
            ..LoadReport::default()
        }
    }

    /// Enqueues an attempt, or returns why the engine rejects it.
    pub(crate) fn accept(&mut self, now: Duration, engine_request: EngineRequest) -> Option<EngineReply> {
        let role = self.role.state().role;
        let wrong_role = if engine_request.is_prefill { role == Role::Decode } else { role == Role::Prefill };
        let mut active_request = self.new_active_request(&engine_request);
        self.overloaded |= self.scheduler.overloads_cold_engine(now, &self.spec, &active_request);
        if wrong_role || self.overloaded || !self.role.takes_work() || self.scheduler.is_full(&self.spec) {
            return Some(EngineReply::Rejected);
        }
        if !engine_request.is_prefill && engine_request.held_state.is_none() && role == Role::Decode {
            return Some(EngineReply::StateMissing);
        }
        active_request.id = self.scheduler.next_id();
        self.requests.insert(active_request.id, engine_request);
        self.scheduler.enqueue(active_request);
        None
    }

    fn new_active_request(&self, engine_request: &EngineRequest) -> ActiveRequest {
        let unused_addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut active_request = ActiveRequest {
            id: 0,
            conn: ConnId(0),
            request_id: String::new(),
            router: String::new(),
            idempotency_key: None,
            mark: None,
            kind: if engine_request.is_prefill { RequestKind::Prefill } else { RequestKind::Decode },
            prompt_tokens: 0,
            cached: 0,
            prefill_left: 0,
            max_tokens: engine_request.answer_tokens,
            length: engine_request.answer_tokens.max(1),
            emitted: 0,
            stream: true,
            has_begun: false,
            has_run: false,
            is_answer_lost: false,
            transfer: engine_request.held_state.map(|(_, state)| Transfer { addr: unused_addr, state }),
            prefixes: Vec::new(),
        };
        self.scheduler.measure_parts(&mut active_request, &engine_request.prompt_parts);
        active_request
    }

    /// Assigns free slots and completes the steps that are due. Returns the replies and the states to fetch.
    pub(crate) fn advance(&mut self, now: Duration) -> (Vec<(AttemptId, EngineReply)>, Vec<StateFetch>) {
        let (mut replies, mut fetches) = (Vec::new(), Vec::new());
        loop {
            while let Some(id) = self.scheduler.admit(&self.spec) {
                if let Some(state) = self.requests.get(&id).and_then(|r| r.held_state) {
                    if self.scheduler.requests.get(&id).is_some_and(|r| r.transfer.is_some()) {
                        fetches.push((id, state));
                    }
                }
            }
            if !self.scheduler.step_due(now) {
                break;
            }
            let completed = self.scheduler.end_step();
            for id in completed.prefilled {
                let Some(active_request) = self.scheduler.remove(id) else { continue };
                let state = self.scheduler.hold_state(&active_request, now);
                if let Some(engine_request) = self.requests.remove(&id) {
                    replies.push((
                        engine_request.attempt_id,
                        EngineReply::Prefilled { state, cached_tokens: active_request.cached },
                    ));
                }
            }
            for id in completed.decoded {
                self.emit_token(id, &mut replies);
            }
            for id in self.scheduler.over_memory() {
                self.scheduler.requeue(id);
            }
        }
        let factor = self.scheduler.speed_factor(now, &self.spec) / self.slowdown;
        self.scheduler.start_step(now, &self.spec, factor, &[]);
        (replies, fetches)
    }

    fn emit_token(&mut self, id: u64, replies: &mut Vec<(AttemptId, EngineReply)>) {
        let (Some(active_request), Some(engine_request)) =
            (self.scheduler.requests.get_mut(&id), self.requests.get(&id))
        else {
            return;
        };
        active_request.emitted += 1;
        if !std::mem::replace(&mut active_request.has_begun, true) {
            replies.push((engine_request.attempt_id, EngineReply::FirstToken));
        }
        if active_request.emitted >= active_request.length {
            replies.push((engine_request.attempt_id, EngineReply::Completed));
            self.scheduler.remove(id);
            self.requests.remove(&id);
        }
    }

    /// Handles the end of a state fetch, successful or not.
    pub(crate) fn finish_fetch(&mut self, id: u64, succeeded: bool) -> Option<(AttemptId, EngineReply)> {
        if succeeded {
            self.scheduler.fetched(id);
            return None;
        }
        self.scheduler.remove(id)?;
        self.requests.remove(&id).map(|engine_request| (engine_request.attempt_id, EngineReply::StateMissing))
    }

    /// Releases a held state. Returns whether it was there.
    pub(crate) fn release_state(&mut self, state: u64) -> bool {
        self.scheduler.release(state)
    }

    /// Cancels an attempt and removes its requests.
    pub(crate) fn cancel(&mut self, attempt_id: AttemptId) {
        let ids: Vec<u64> =
            self.requests.iter().filter(|(_, r)| r.attempt_id == attempt_id).map(|(&id, _)| id).collect();
        for id in ids {
            self.scheduler.remove(id);
            self.requests.remove(&id);
        }
    }

    /// Starts in its new role once no work and no state of the old role is left. Returns whether it did.
    pub(crate) fn change_role(&mut self, now: Duration) -> bool {
        let Some(state) =
            self.role.report_remaining_work(now, self.scheduler.requests.len(), self.scheduler.states.len())
        else {
            return false;
        };
        self.spec.role = state.role.into();
        self.scheduler = Scheduler::new(&self.spec, state.started, state.started);
        true
    }

    /// Releases held states that were not fetched in time.
    pub(crate) fn release_expired_states(&mut self, now: Duration) {
        for state in self.scheduler.expired_states(now, self.spec.hold_time) {
            self.scheduler.release(state);
        }
    }
}
