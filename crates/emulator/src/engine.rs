//! An engine without bytes: the inside of the stand-in engine, and its record of the role that it has.

use slipreel::{EngineId, LoadReport, Role};
use slipreel_roles::RoleRecord;
use slipreel_state_machine::ConnId;
use slipreel_test_servers::engine::scheduler::{ActiveRequest, RequestKind, Scheduler, Transfer};
use slipreel_test_servers::engine::EngineSpec;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Which attempt of which request of which router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Try {
    pub(crate) router: usize,
    pub(crate) request: u64,
    pub(crate) attempt: usize,
}

/// What an engine is asked to do.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) who: Try,
    pub(crate) reads: bool,
    /// Where its state waits: the engine and the state's number.
    pub(crate) state: Option<(usize, u64)>,
    /// The parts of its prompt: what names each with all before it, and its tokens.
    pub(crate) parts: Vec<(u64, u64)>,
    pub(crate) length: u32,
}

/// What an engine says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Say {
    /// The prompt is read; the state has this number, and so many tokens were kept.
    Read(u64, u64),
    /// The first token.
    First,
    /// All is written.
    Done,
    Full,
    NoState,
}

/// A state to fetch: for which job, from which engine, and its number.
pub(crate) type Fetch = (u64, (usize, u64));

pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) id: EngineId,
    pub(crate) role: RoleRecord,
    pub(crate) work: Scheduler,
    pub(crate) alive: bool,
    pub(crate) slow: f64,
    /// It has fallen over: sent more than it could bear while cold.
    pub(crate) fallen: bool,
    asks: BTreeMap<u64, Ask>,
    /// The step for which a wake is planned.
    pub(crate) planned: Option<Duration>,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec, id: EngineId, started: Duration, epoch: u64) -> Self {
        Engine {
            role: RoleRecord::started(spec.role.into(), epoch, started),
            work: Scheduler::new(&spec, started, started),
            spec,
            id,
            alive: true,
            slow: 1.0,
            fallen: false,
            asks: BTreeMap::new(),
            planned: None,
        }
    }

    pub(crate) fn report(&self) -> LoadReport {
        let load = self.work.load();
        LoadReport {
            in_flight: load.running.zip(load.waiting).map(|(r, w)| r + w),
            queued: load.waiting,
            memory_share: load.memory,
            ..LoadReport::default()
        }
    }

    /// Takes an attempt; says so at once if it is turned away.
    pub(crate) fn take(&mut self, now: Duration, ask: Ask) -> Option<Say> {
        let role = self.role.state().role;
        let misfit = if ask.reads { role == Role::Decode } else { role == Role::Prefill };
        let mut job = self.job(&ask);
        self.fallen |= self.work.overloads_cold_engine(now, &self.spec, &job);
        if misfit || self.fallen || !self.role.takes_work() || self.work.is_full(&self.spec) {
            return Some(Say::Full);
        }
        if !ask.reads && ask.state.is_none() && role == Role::Decode {
            return Some(Say::NoState);
        }
        job.id = self.work.next_id();
        self.asks.insert(job.id, ask);
        self.work.enqueue(job);
        None
    }

    fn job(&self, ask: &Ask) -> ActiveRequest {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut job = ActiveRequest {
            id: 0,
            conn: ConnId(0),
            request_id: String::new(),
            router: String::new(),
            idempotency_key: None,
            mark: None,
            kind: if ask.reads { RequestKind::Prefill } else { RequestKind::Decode },
            prompt_tokens: 0,
            cached: 0,
            prefill_left: 0,
            max_tokens: ask.length,
            length: ask.length.max(1),
            emitted: 0,
            stream: true,
            has_begun: false,
            has_run: false,
            is_answer_lost: false,
            transfer: ask.state.map(|(_, state)| Transfer { addr: nowhere, state }),
            prefixes: Vec::new(),
        };
        self.work.measure_parts(&mut job, &ask.parts);
        job
    }

    /// Gives slots and ends steps that are due. What it says, and the states that it has to fetch: the job, and where.
    pub(crate) fn turn(&mut self, now: Duration) -> (Vec<(Try, Say)>, Vec<Fetch>) {
        let (mut said, mut fetches) = (Vec::new(), Vec::new());
        loop {
            while let Some(id) = self.work.admit(&self.spec) {
                if let Some(state) = self.asks.get(&id).and_then(|a| a.state) {
                    if self.work.requests.get(&id).is_some_and(|j| j.transfer.is_some()) {
                        fetches.push((id, state));
                    }
                }
            }
            if !self.work.step_due(now) {
                break;
            }
            let done = self.work.end_step();
            for id in done.prefilled {
                let Some(job) = self.work.remove(id) else { continue };
                let state = self.work.hold_state(&job, now);
                if let Some(ask) = self.asks.remove(&id) {
                    said.push((ask.who, Say::Read(state, job.cached)));
                }
            }
            for id in done.decoded {
                self.token(id, &mut said);
            }
            for id in self.work.over_memory() {
                self.work.requeue(id);
            }
        }
        let factor = self.work.speed_factor(now, &self.spec) / self.slow;
        self.work.start_step(now, &self.spec, factor, &[]);
        (said, fetches)
    }

    fn token(&mut self, id: u64, said: &mut Vec<(Try, Say)>) {
        let (Some(job), Some(ask)) = (self.work.requests.get_mut(&id), self.asks.get(&id)) else { return };
        job.emitted += 1;
        if !std::mem::replace(&mut job.has_begun, true) {
            said.push((ask.who, Say::First));
        }
        if job.emitted >= job.length {
            said.push((ask.who, Say::Done));
            self.work.remove(id);
            self.asks.remove(&id);
        }
    }

    /// A state has come, or could not be had.
    pub(crate) fn fetched(&mut self, id: u64, whole: bool) -> Option<(Try, Say)> {
        if whole {
            self.work.fetched(id);
            return None;
        }
        self.work.remove(id)?;
        self.asks.remove(&id).map(|ask| (ask.who, Say::NoState))
    }

    /// Gives a held state away; whether it was there.
    pub(crate) fn give(&mut self, state: u64) -> bool {
        self.work.release(state)
    }

    /// Drops an attempt, and whatever it left.
    pub(crate) fn cancel(&mut self, who: Try) {
        let its: Vec<u64> = self.asks.iter().filter(|(_, a)| a.who == who).map(|(&id, _)| id).collect();
        for id in its {
            self.work.remove(id);
            self.asks.remove(&id);
        }
    }

    /// Takes its new role once nothing of the old one is left. Whether it did.
    pub(crate) fn change_role(&mut self, now: Duration) -> bool {
        let Some(state) =
            self.role.report_remaining_work(now, self.work.requests.len(), self.work.states.len())
        else {
            return false;
        };
        self.spec.role = state.role.into();
        self.work = Scheduler::new(&self.spec, state.started, state.started);
        true
    }

    /// States that nobody came for in time.
    pub(crate) fn forget(&mut self, now: Duration) {
        for state in self.work.expired_states(now, self.spec.hold_time) {
            self.work.release(state);
        }
    }
}
