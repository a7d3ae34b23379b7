//! A router: its module, and what the module has to be told and asked of. Decides nothing itself.

use crate::engine::Try;
use slipreel::{Action, Event, Router, TimerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// One attempt as its router knows it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) engine: usize,
    pub(crate) sent: Duration,
    pub(crate) out: bool,
    /// The state that it left there.
    pub(crate) state: Option<u64>,
}

/// A request at a router.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) plan: usize,
    pub(crate) tries: u32,
    pub(crate) due: Duration,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) began: bool,
    /// It has its final answer, or its client has left.
    pub(crate) over: bool,
}

impl Call {
    pub(crate) fn is_done(&self) -> bool {
        self.over && self.attempts.iter().all(|a| !a.out)
    }

    /// The engine that holds the state of the last read, and the state.
    pub(crate) fn state(&self) -> Option<(usize, u64)> {
        self.attempts.iter().rev().find_map(|a| a.state.map(|s| (a.engine, s)))
    }
}

pub(crate) struct Host {
    pub(crate) router: Router,
    pub(crate) calls: BTreeMap<u64, Call>,
    /// Epochs of engines as of the last list, so that a new role comes with a new start.
    pub(crate) starts: BTreeMap<usize, (slipreel::Role, Option<Duration>)>,
}

/// What a module asks for that lies outside its router.
#[derive(Debug)]
pub(crate) enum Wish {
    Send(u64, slipreel::EngineId),
    Cancel(Try),
    Release(u64),
    Refuse(u64, Option<Duration>),
    Fail(u64),
    Timer(TimerId, Duration),
    Probe(slipreel::EngineId),
}

impl Host {
    /// Tells the module; gives what it wishes, in order.
    pub(crate) fn tell(&mut self, router: usize, now: Duration, event: Event) -> Vec<Wish> {
        let mut out = Vec::new();
        self.router.handle(now, event, &mut out);
        let wish = |action| {
            Some(match action {
                Action::Send { request, engine, .. } => Wish::Send(request.0, engine),
                Action::Cancel { request, attempt } => {
                    Wish::Cancel(Try { router, request: request.0, attempt })
                }
                Action::Release(request) => Wish::Release(request.0),
                Action::Refuse { request, retry_after, .. } => Wish::Refuse(request.0, retry_after),
                Action::Fail(request) => Wish::Fail(request.0),
                Action::SetTimer { timer, after } => Wish::Timer(timer, after),
                Action::Probe(engine) => Wish::Probe(engine),
                _ => return None,
            })
        };
        out.into_iter().filter_map(wish).collect()
    }
}
