//! One request that was taken: who asked, what goes on to engines, its attempts, and the state that may be held for it.

use crate::proof::AttemptEnd;
use slipreel::{EngineId, Outcome};
use slipreel_connections::{Received, ReleaseId, UnsureAttempt};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// Fields of a request that an engine goes by: what its body is, and the key by which it drops repeats.
const FORWARDED: [&str; 2] = ["content-type", "idempotency-key"];

fn forwarded(received: &Received) -> Vec<(&'static str, String)> {
    let field = |name: &'static str| Some((name, received.head.get(name)?.to_owned()));
    FORWARDED.into_iter().filter_map(field).collect()
}

/// An outcome as it is written in the log. `slipreel losses` groups requests by these words.
fn outcome_name(outcome: Outcome) -> String {
    match outcome {
        Outcome::Completed => "Ok".to_owned(),
        Outcome::Prefilled => "Read".to_owned(),
        Outcome::Rejected { state_missing } => format!("Full {{ no_state: {state_missing} }}"),
        Outcome::NotSent => "Moot".to_owned(),
        Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset | Outcome::Cancelled => {
            format!("{outcome:?}")
        }
    }
}

/// An attempt, as far as the wire goes.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    /// The connection that carries it, while it is out.
    pub(crate) conn: Option<ConnId>,
    pub(crate) sent: Duration,
    /// When it ended.
    ended: Duration,
    /// Has no outcome yet.
    pub(crate) out: bool,
    /// Whether state may be held for it: it was a read that has come to an engine.
    holds: bool,
    /// How it ended.
    outcome: Option<Outcome>,
    pub(crate) reads: bool,
}

/// What a request asks of its router, beside its bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTerms {
    /// It must not be repeated freely: it is not idempotent, or idempotent by its key alone.
    pub(crate) runs_once: bool,
    /// When its client gives up waiting for the first event.
    pub(crate) deadline: Duration,
    /// When its first event is due by the latency objective of its class.
    pub(crate) first_event_due: Duration,
    /// Length of its prompt, tokens.
    pub(crate) prompt_tokens: u64,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// What its client and the engines know it by.
    pub(crate) client_id: String,
    /// The connection of its client.
    pub(crate) client: ConnId,
    pub(crate) terms: RequestTerms,
    method: String,
    target: String,
    /// Fields that go on to engines as they came.
    forwarded: Vec<(&'static str, String)>,
    body: Vec<u8>,
    pub(crate) attempts: Vec<Attempt>,
    /// The attempt whose first event was passed on.
    pub(crate) streaming_attempt: Option<usize>,
    /// It has its final answer, or its client has left.
    pub(crate) over: bool,
    /// The release of its state that is not over.
    pub(crate) release: Option<ReleaseId>,
    /// The holder of state whose release was withdrawn as another attempt was sent.
    withdrawn_from: Option<EngineId>,
}

impl ActiveRequest {
    pub(crate) fn new(client_id: String, client: ConnId, terms: RequestTerms, received: Received) -> Self {
        ActiveRequest {
            client_id,
            client,
            terms,
            method: received.method().to_owned(),
            target: received.target().to_owned(),
            forwarded: forwarded(&received),
            body: received.body,
            attempts: Vec::new(),
            streaming_attempt: None,
            over: false,
            release: None,
            withdrawn_from: None,
        }
    }

    /// The prefill engine whose state its next decode fetches.
    pub(crate) fn prefill_engine(&self) -> Option<EngineId> {
        self.attempts.iter().rev().find(|a| a.reads).map(|a| a.engine)
    }

    /// Bytes that it holds.
    pub(crate) fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Adds an attempt and gives its number.
    pub(crate) fn begin_attempt(&mut self, now: Duration, engine: EngineId, reads: bool) -> usize {
        self.attempts.push(Attempt {
            engine,
            conn: None,
            sent: now,
            ended: now,
            out: true,
            holds: reads,
            outcome: None,
            reads,
        });
        self.attempts.len() - 1
    }

    /// The request to write to an engine. It tells what is left of the deadline as it is written: a connection may take long
    /// to come up.
    pub(crate) fn message(&self, now: Duration, addr: SocketAddr) -> Vec<u8> {
        let left = self.terms.deadline.saturating_sub(now).as_micros();
        let (host, left) = (addr.to_string(), format!("{left}u"));
        let mut fields =
            vec![("host", host.as_str()), ("x-request-id", &self.client_id), ("x-deadline", &left)];
        fields.extend(self.forwarded.iter().map(|(name, value)| (*name, value.as_str())));
        let mut bytes =
            http::request_head(&self.method, &self.target, &fields, Framing::Length(self.body.len()));
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// An attempt has ended so. One that provably never ran holds nothing.
    pub(crate) fn ended(&mut self, now: Duration, attempt: usize, end: &AttemptEnd) {
        let Some(a) = self.attempts.get_mut(attempt) else { return };
        (a.out, a.conn, a.ended) = (false, None, now);
        a.outcome = Some(end.outcome());
        a.holds &= end.proof().is_none();
    }

    /// A stream has begun: it has fetched the state that the last read left.
    pub(crate) fn begin_stream(&mut self, attempt: usize) {
        self.streaming_attempt = Some(attempt);
        // What a client has been passed on is never sent again.
        self.body = Vec::new();
        if let Some(read) = self.attempts[..attempt].iter_mut().rfind(|a| a.holds) {
            read.holds = false;
        }
    }

    /// Who may hold state for it that no attempt is reading now; the last one first.
    pub(crate) fn state_holders(&self) -> Vec<EngineId> {
        let held = self.attempts.iter().rev().filter(|a| a.holds && !a.out).map(|a| a.engine);
        held.chain(self.withdrawn_from).collect()
    }

    /// Attempts after whose end state may still come to be held: they were given up or broke off, and while its engine has
    /// not seen that, a read may still leave its state there, and a write that waits for state may still keep it from being
    /// released. A read whose answer could not be read was given up, too.
    pub(crate) fn unsure(&self) -> Vec<UnsureAttempt> {
        let unsure = |a: &&Attempt| match a.outcome {
            Some(Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled) => true,
            Some(Outcome::Error) => a.reads,
            _ => false,
        };
        let unsure = self.attempts.iter().filter(unsure);
        unsure.map(|a| UnsureAttempt { engine: a.engine, ended: a.ended }).collect()
    }

    /// Its state is being released so.
    pub(crate) fn begin_release(&mut self, release: ReleaseId) {
        (self.release, self.withdrawn_from) = (Some(release), None);
        self.attempts.iter_mut().filter(|a| !a.out).for_each(|a| a.holds = false);
    }

    /// A release that is not over is withdrawn: sent again later it could release what a new attempt reads. It is owed then.
    pub(crate) fn release_withdrawn(&mut self, holder: EngineId) {
        (self.release, self.withdrawn_from) = (None, Some(holder));
    }

    /// What became of it so far, for the staff.
    pub(crate) fn trace(&self, now: Duration) -> String {
        let attempts = self.attempts.iter().map(|a| {
            let (kind, age) =
                (if a.reads { "read" } else { "write" }, now.saturating_sub(a.sent).as_millis());
            let end = a.outcome.map_or_else(|| "out".to_owned(), outcome_name);
            format!("{kind} {age} ms ago {end}")
        });
        let attempts: Vec<String> = attempts.collect();
        let kind = if self.terms.runs_once { "runs once" } else { "repeatable" };
        let left = self.terms.deadline.saturating_sub(now).as_millis();
        format!("{kind}, {left} ms left: {}", attempts.join(", "))
    }

    /// Nothing more can come of it.
    pub(crate) fn is_done(&self) -> bool {
        self.over && self.attempts.iter().all(|a| !a.out)
    }
}
