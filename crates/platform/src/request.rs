//! One request in progress: its client, the message for engines, its attempts, and the state that engines may
//! hold for it.

use crate::log_event::ReleaseReason;
use crate::proof::AttemptEnd;
use slipreel::{EngineId, Outcome};
use slipreel_connections::{ReceivedRequest, ReleaseId, UnconfirmedAttempt};
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// The header fields that are forwarded to engines: the type of the body, and the idempotency key.
const FORWARDED_FIELDS: [&str; 2] = ["content-type", "idempotency-key"];

/// What engines receive of a request. Kept while a further attempt may send it.
#[derive(Debug)]
struct ForwardedMessage {
    method: String,
    target: String,
    /// Header fields that are forwarded unchanged.
    fields: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl ForwardedMessage {
    fn new(received: ReceivedRequest) -> Self {
        let field = |name: &'static str| Some((name, received.head.get(name)?.to_owned()));
        ForwardedMessage {
            method: received.method().to_owned(),
            target: received.target().to_owned(),
            fields: FORWARDED_FIELDS.into_iter().filter_map(field).collect(),
            body: received.body,
        }
    }

    /// Memory that it takes, in bytes.
    fn size(&self) -> usize {
        let fields: usize = self.fields.iter().map(|(_, value)| value.len()).sum();
        self.method.len() + self.target.len() + fields + self.body.len()
    }
}

/// The text of an outcome in the log. `slipreel losses` groups requests by these words.
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

/// One attempt, as sent to an engine.
#[derive(Debug)]
pub(crate) struct Attempt {
    engine: EngineId,
    /// The connection that carries it, while it is in flight.
    conn: Option<ConnId>,
    /// When it was sent.
    sent_at: Duration,
    /// When it ended.
    ended_at: Duration,
    /// Whether it has no outcome yet.
    in_flight: bool,
    /// Whether its engine may hold state for it: it is a prefill that may have reached the engine.
    may_hold_state: bool,
    /// Its outcome, once it has ended.
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

/// The properties of a request that decide how it is forwarded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestParams {
    /// Whether it must run at most once: it is not idempotent, or idempotent only by its key.
    pub(crate) at_most_once: bool,
    /// When its client stops waiting for the first event.
    pub(crate) deadline: Duration,
    /// When its first event is due by the latency objective of its class.
    pub(crate) first_event_due: Duration,
    /// Length of its prompt, in tokens.
    pub(crate) prompt_tokens: u64,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// What its client and the engines know it by.
    client_id: String,
    /// The connection of its client.
    client_conn: ConnId,
    params: RequestParams,
    /// `None` once no further attempt can follow.
    message: Option<ForwardedMessage>,
    attempts: Vec<Attempt>,
    /// The attempt whose stream is forwarded to the client.
    streaming_attempt: Option<usize>,
    /// Whether it has its final answer, or its client has left.
    is_closed: bool,
    /// The release of its state that is not acknowledged.
    release: Option<ReleaseId>,
    /// The engine whose release was withdrawn when another prefill ended, and still has to be sent.
    withdrawn_holder: Option<EngineId>,
}

impl ActiveRequest {
    pub(crate) fn new(
        client_id: String, client_conn: ConnId, params: RequestParams, received: ReceivedRequest,
    ) -> Self {
        ActiveRequest {
            client_id,
            client_conn,
            params,
            message: Some(ForwardedMessage::new(received)),
            attempts: Vec::new(),
            streaming_attempt: None,
            is_closed: false,
            release: None,
            withdrawn_holder: None,
        }
    }

    /// What its client and the engines know it by.
    pub(crate) fn client_id(&self) -> &str {
        &self.client_id
    }

    /// The connection of its client.
    pub(crate) fn client_conn(&self) -> ConnId {
        self.client_conn
    }

    pub(crate) fn params(&self) -> &RequestParams {
        &self.params
    }

    /// An attempt by its number; `None` if there is no such attempt.
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

    /// Closes the request: it has its final answer, or needs none any more. It is never sent again, so its
    /// message is dropped, although an attempt may still be in flight. Returns whether it was open before.
    pub(crate) fn close(&mut self) -> bool {
        self.message = None;
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

    /// The connection of the stream that is being forwarded to the client, until the stream ends.
    pub(crate) fn streaming_connection(&self) -> Option<ConnId> {
        self.attempts.get(self.streaming_attempt?)?.conn
    }

    /// Memory that its message takes, which is held for further attempts, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.message.as_ref().map_or(0, ForwardedMessage::size)
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

    /// The bytes of the request to an engine; `None` if the request is not sent again. They state the time
    /// left until the deadline at `now`, as a connection may take long to be established.
    pub(crate) fn message(&self, now: Duration, addr: SocketAddr) -> Option<Vec<u8>> {
        let message = self.message.as_ref()?;
        let left = self.params.deadline.saturating_sub(now).as_micros();
        let (host, left) = (addr.to_string(), format!("{left}u"));
        let mut fields =
            vec![("host", host.as_str()), ("x-request-id", &self.client_id), ("x-deadline", &left)];
        fields.extend(message.fields.iter().map(|(name, value)| (*name, value.as_str())));
        let framing = Framing::Length(message.body.len());
        let mut bytes = http::request_head(&message.method, &message.target, &fields, framing);
        bytes.reserve_exact(message.body.len());
        bytes.extend_from_slice(&message.body);
        Some(bytes)
    }

    /// Records the end of an attempt. If it provably never ran, its engine holds no state for it.
    pub(crate) fn attempt_ended(&mut self, now: Duration, attempt: usize, end: &AttemptEnd) {
        let Some(attempt) = self.attempts.get_mut(attempt) else { return };
        attempt.in_flight = false;
        attempt.conn = None;
        attempt.ended_at = now;
        attempt.outcome = Some(end.outcome());
        attempt.may_hold_state &= end.proof().is_none();
    }

    /// Records that an attempt's stream has begun: it has fetched the state that the last prefill left.
    pub(crate) fn begin_stream(&mut self, attempt: usize) {
        self.streaming_attempt = Some(attempt);
        // A request whose client has received part of the answer is never retried.
        self.message = None;
        if let Some(prefill) = self.attempts[..attempt].iter_mut().rfind(|attempt| attempt.may_hold_state) {
            prefill.may_hold_state = false;
        }
    }

    /// The engines that may hold state which no attempt in flight uses, the latest first.
    pub(crate) fn state_holders(&self) -> Vec<EngineId> {
        let holding =
            self.attempts.iter().rev().filter(|attempt| attempt.may_hold_state && !attempt.in_flight);
        holding.map(|attempt| attempt.engine).chain(self.withdrawn_holder).collect()
    }

    /// Since when state has been held for it, as far as is known; `None` if none is.
    pub(crate) fn held_since(&self) -> Option<Duration> {
        let holding = self.attempts.iter().filter(|attempt| attempt.may_hold_state && !attempt.in_flight);
        holding.map(|attempt| attempt.ended_at).min()
    }

    pub(crate) fn has_prefill_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight && attempt.is_prefill)
    }

    /// Why its state would be released now.
    pub(crate) fn release_reason(&self) -> ReleaseReason {
        let decodes = self.attempts.iter().any(|attempt| attempt.in_flight && !attempt.is_prefill);
        match (self.is_closed, decodes) {
            (true, _) => ReleaseReason::RequestOver,
            (false, true) => ReleaseReason::DecodeUnanswered,
            (false, false) => ReleaseReason::PrefilledAgain,
        }
    }

    /// The attempts that were cancelled or interrupted, which their engines may not have noticed yet. Until
    /// then a prefill may still leave state at its engine, and a decode that waits for state may prevent the
    /// release of that state. A prefill whose answer could not be parsed was cancelled as well.
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

    /// Records that its state is being released. A release spares state that a decode in flight waits for, so
    /// that state has to be released once more when the decode has ended.
    pub(crate) fn begin_release(&mut self, release: ReleaseId) {
        self.release = Some(release);
        self.withdrawn_holder = None;
        if self.attempts.iter().any(|attempt| attempt.in_flight && !attempt.is_prefill) {
            return;
        }
        let ended = self.attempts.iter_mut().filter(|attempt| !attempt.in_flight);
        ended.for_each(|attempt| attempt.may_hold_state = false);
    }

    /// Records that an unacknowledged release is withdrawn, and has to be sent later.
    pub(crate) fn release_withdrawn(&mut self, holder: EngineId) {
        self.release = None;
        self.withdrawn_holder = Some(holder);
    }

    /// The text of its attempts so far in the log. `slipreel losses` groups requests by these words.
    pub(crate) fn trace(&self, now: Duration) -> String {
        let attempts: Vec<String> = self.attempts.iter().map(|attempt| attempt.trace(now)).collect();
        let kind = if self.params.at_most_once { "runs once" } else { "repeatable" };
        let left = self.params.deadline.saturating_sub(now).as_millis();
        format!("{kind}, {left} ms left: {}", attempts.join(", "))
    }

    /// Whether it is closed and no attempt is in flight, so that it can be removed.
    pub(crate) fn is_done(&self) -> bool {
        self.is_closed && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }
}

#[cfg(test)]
mod tests;
