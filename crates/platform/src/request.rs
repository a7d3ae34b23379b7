//! One request in progress: its client, what is forwarded to engines, its attempts, and the state that may be held for it.

use crate::proof::AttemptEnd;
use slipreel::{EngineId, Outcome};
use slipreel_connections::{Received, ReleaseId, UnconfirmedAttempt};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// The fields of a request that are forwarded to engines: what its body is, and its idempotency key.
const FORWARDED_FIELDS: [&str; 2] = ["content-type", "idempotency-key"];

fn forwarded_fields(received: &Received) -> Vec<(&'static str, String)> {
    let field = |name: &'static str| Some((name, received.head.get(name)?.to_owned()));
    FORWARDED_FIELDS.into_iter().filter_map(field).collect()
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

/// One attempt, as far as the wire goes.
#[derive(Debug)]
pub(crate) struct Attempt {
    engine: EngineId,
    /// The connection that carries it, while it is in flight.
    conn: Option<ConnId>,
    /// When it was sent.
    sent_at: Duration,
    /// When it ended.
    ended_at: Duration,
    /// Has no outcome yet.
    in_flight: bool,
    /// Whether its engine may hold state for it: it was a prefill that may have come there.
    may_hold_state: bool,
    /// How it ended.
    outcome: Option<Outcome>,
    /// Whether its engine prefills the prompt for another that decodes.
    is_prefill: bool,
}

impl Attempt {
    /// The connection that carries it, while it is in flight.
    pub(crate) fn conn(&self) -> Option<ConnId> {
        self.conn
    }

    pub(crate) fn sent_at(&self) -> Duration {
        self.sent_at
    }

    /// Whether it has no outcome yet.
    pub(crate) fn in_flight(&self) -> bool {
        self.in_flight
    }

    /// Whether its engine prefills the prompt for another that decodes.
    pub(crate) fn is_prefill(&self) -> bool {
        self.is_prefill
    }

    fn trace(&self, now: Duration) -> String {
        let kind = if self.is_prefill { "read" } else { "write" };
        let age = now.saturating_sub(self.sent_at).as_millis();
        let end = self.outcome.map_or_else(|| "out".to_owned(), outcome_name);
        format!("{kind} {age} ms ago {end}")
    }
}

/// The terms on which a request is forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTerms {
    /// It must not be repeated freely: it is not idempotent, or idempotent by its key alone.
    pub(crate) runs_once: bool,
    /// When its client stops waiting for the first event.
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
    client_id: String,
    /// The connection of its client.
    client: ConnId,
    terms: RequestTerms,
    method: String,
    target: String,
    /// Fields that go on to engines as they came.
    forwarded: Vec<(&'static str, String)>,
    body: Vec<u8>,
    attempts: Vec<Attempt>,
    /// The attempt whose stream is forwarded to the client.
    streaming_attempt: Option<usize>,
    /// It has its final answer, or its client has left.
    is_closed: bool,
    /// The release of its state that is not acknowledged.
    release: Option<ReleaseId>,
    /// The engine whose release was withdrawn as another attempt was sent, and is still to be sent.
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
            forwarded: forwarded_fields(&received),
            body: received.body,
            attempts: Vec::new(),
            streaming_attempt: None,
            is_closed: false,
            release: None,
            withdrawn_from: None,
        }
    }

    /// What its client and the engines know it by.
    pub(crate) fn client_id(&self) -> &str {
        &self.client_id
    }

    /// The connection of its client.
    pub(crate) fn client(&self) -> ConnId {
        self.client
    }

    pub(crate) fn terms(&self) -> &RequestTerms {
        &self.terms
    }

    /// An attempt by its number; `None` if there is none of this number.
    pub(crate) fn attempt(&self, attempt: usize) -> Option<&Attempt> {
        self.attempts.get(attempt)
    }

    pub(crate) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The connection of an attempt, while it is in flight.
    pub(crate) fn connection_in_flight(&self, attempt: usize) -> Option<ConnId> {
        self.attempt(attempt).filter(|attempt| attempt.in_flight)?.conn
    }

    /// Records the connection that carries an attempt.
    pub(crate) fn set_connection(&mut self, attempt: usize, conn: ConnId) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.conn = Some(conn);
        }
    }

    /// The attempt whose stream is forwarded to the client.
    pub(crate) fn streaming_attempt(&self) -> Option<usize> {
        self.streaming_attempt
    }

    /// Whether it has its final answer, or its client has left.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// It has its final answer, or needs none any more. Returns whether it was open before.
    pub(crate) fn close(&mut self) -> bool {
        !std::mem::replace(&mut self.is_closed, true)
    }

    /// The release of its state that is not acknowledged.
    pub(crate) fn release(&self) -> Option<ReleaseId> {
        self.release
    }

    /// The prefill engine whose state its next decode fetches.
    pub(crate) fn prefill_engine(&self) -> Option<EngineId> {
        self.attempts.iter().rev().find(|attempt| attempt.is_prefill).map(|attempt| attempt.engine)
    }

    /// The connection on which the stream comes that is forwarded to the client, while it comes.
    pub(crate) fn streaming_connection(&self) -> Option<ConnId> {
        self.attempts.get(self.streaming_attempt?)?.conn
    }

    /// Bytes that it holds for further attempts.
    pub(crate) fn held_bytes(&self) -> usize {
        self.body.len()
    }

    /// Adds an attempt and returns its number.
    pub(crate) fn begin_attempt(&mut self, now: Duration, engine: EngineId, is_prefill: bool) -> usize {
        self.attempts.push(Attempt {
            engine,
            conn: None,
            sent_at: now,
            ended_at: now,
            in_flight: true,
            may_hold_state: is_prefill,
            outcome: None,
            is_prefill,
        });
        self.attempts.len() - 1
    }

    /// The bytes of the request to an engine. They hold what is left of the deadline at `now`: a connection may take long to
    /// be established.
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

    /// An attempt has ended. One that provably never ran holds nothing.
    pub(crate) fn ended(&mut self, now: Duration, attempt: usize, end: &AttemptEnd) {
        let Some(attempt) = self.attempts.get_mut(attempt) else { return };
        attempt.in_flight = false;
        attempt.conn = None;
        attempt.ended_at = now;
        attempt.outcome = Some(end.outcome());
        attempt.may_hold_state &= end.proof().is_none();
    }

    /// An attempt's stream has begun: it has fetched the state that the last prefill left.
    pub(crate) fn begin_stream(&mut self, attempt: usize) {
        self.streaming_attempt = Some(attempt);
        // A request of which the client has received some of the answer is never retried.
        self.body = Vec::new();
        if let Some(prefill) = self.attempts[..attempt].iter_mut().rfind(|attempt| attempt.may_hold_state) {
            prefill.may_hold_state = false;
        }
    }

    /// The engines that may hold state for it that no attempt in flight uses; the last one first.
    pub(crate) fn state_holders(&self) -> Vec<EngineId> {
        let holding =
            self.attempts.iter().rev().filter(|attempt| attempt.may_hold_state && !attempt.in_flight);
        holding.map(|attempt| attempt.engine).chain(self.withdrawn_from).collect()
    }

    /// Attempts after whose end state may still appear: they were cancelled or interrupted, and until its engine has seen
    /// that, a prefill may still leave its state there, and a decode that waits for state may still keep it from being
    /// released. A prefill whose answer could not be parsed was cancelled, too.
    pub(crate) fn unconfirmed_attempts(&self) -> Vec<UnconfirmedAttempt> {
        let is_unconfirmed = |attempt: &&Attempt| match attempt.outcome {
            Some(Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled) => true,
            Some(Outcome::Error) => attempt.is_prefill,
            _ => false,
        };
        let unconfirmed = self.attempts.iter().filter(is_unconfirmed);
        unconfirmed
            .map(|attempt| UnconfirmedAttempt { engine: attempt.engine, ended: attempt.ended_at })
            .collect()
    }

    /// Its state is being released.
    pub(crate) fn begin_release(&mut self, release: ReleaseId) {
        self.release = Some(release);
        self.withdrawn_from = None;
        let ended = self.attempts.iter_mut().filter(|attempt| !attempt.in_flight);
        ended.for_each(|attempt| attempt.may_hold_state = false);
    }

    /// A release that is not acknowledged is withdrawn: sent again later it could release state that a new attempt uses. It
    /// remains to be sent then.
    pub(crate) fn release_withdrawn(&mut self, holder: EngineId) {
        self.release = None;
        self.withdrawn_from = Some(holder);
    }

    /// Its attempts so far, as they are written in the log. `slipreel losses` groups requests by these words.
    pub(crate) fn trace(&self, now: Duration) -> String {
        let attempts: Vec<String> = self.attempts.iter().map(|attempt| attempt.trace(now)).collect();
        let kind = if self.terms.runs_once { "runs once" } else { "repeatable" };
        let left = self.terms.deadline.saturating_sub(now).as_millis();
        format!("{kind}, {left} ms left: {}", attempts.join(", "))
    }

    /// Whether nothing more can come of it.
    pub(crate) fn is_done(&self) -> bool {
        self.is_closed && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}
