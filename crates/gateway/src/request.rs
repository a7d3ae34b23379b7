//! One admitted request: its client, its attempts, the state that engines hold for it, and its answer.

use crate::message_writer::MessageWriter;
use crate::settings::GatewaySettings;
use serde_json::{Map, Value};
use slipreel::{EngineId, Idempotency, Outcome, RequestId, Role};
use slipreel_protocol::engine;
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The header field with the policy epoch under which a request was admitted, in its answer and in requests
/// to engines.
pub const POLICY_FIELD: &str = "x-slipreel-policy";

/// How a request ended. Each admitted request has exactly one of these, unless its client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// The complete answer was written.
    Completed,
    /// Rejected; a retry is harmless.
    Rejected,
    /// Failed; it may have run.
    Failed,
}

/// One exchange with an engine for a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    /// The connection that carries it, while it is in flight.
    pub(crate) conn: Option<ConnId>,
    pub(crate) sent_at: Duration,
    pub(crate) is_prefill: bool,
    /// It has no outcome yet.
    pub(crate) in_flight: bool,
}

/// A request in progress.
pub(crate) struct ActiveRequest {
    pub(crate) id: RequestId,
    /// The generation of the decision module that decides for it.
    pub(crate) generation: u64,
    pub(crate) client: ConnId,
    /// Its id on the wire.
    pub(crate) request_id: String,
    /// The settings under which it was admitted.
    pub(crate) settings: Arc<GatewaySettings>,
    /// The policy epoch of these settings, if the fleet agrees on a policy.
    pub(crate) epoch: Option<u64>,
    /// The index of its class in `settings`.
    pub(crate) class: usize,
    pub(crate) idempotency: Idempotency,
    /// Whether the client requested a streamed answer.
    pub(crate) stream: bool,
    /// When it had been received completely.
    pub(crate) received_at: Duration,
    /// The time that engines spent on its ended attempts.
    engine_time: Duration,
    /// When its client stops waiting for the answer to begin.
    pub(crate) deadline: Duration,
    /// When its client stops waiting for a complete answer, if it sent a timeout.
    pub(crate) complete_by: Option<Duration>,
    /// The request in the form of the engines' chat API.
    chat_body: Map<String, Value>,
    max_tokens: u32,
    idempotency_key: String,
    pub(crate) message_writer: MessageWriter,
    pub(crate) attempts: Vec<Attempt>,
    /// The engine that holds the state of the last prefill, and the parameters to fetch it.
    transfer: Option<(EngineId, Value)>,
    /// Prefill engines that may hold state for it, each with the index of the prefill attempt.
    state_holders: Vec<(EngineId, SocketAddr, usize)>,
    /// The attempt whose answer has begun.
    pub(crate) streaming_attempt: Option<usize>,
    /// An answer had begun and was interrupted before any of it was sent to the client.
    is_restarted: bool,
    /// It has its final answer, or its client has disconnected.
    pub(crate) is_closed: bool,
}

/// The parts of a new request.
pub(crate) struct NewRequest {
    pub(crate) id: RequestId,
    pub(crate) generation: u64,
    pub(crate) client: ConnId,
    pub(crate) request_id: String,
    pub(crate) settings: Arc<GatewaySettings>,
    pub(crate) epoch: Option<u64>,
    pub(crate) class: usize,
    pub(crate) idempotency: Idempotency,
    pub(crate) stream: bool,
    pub(crate) now: Duration,
    pub(crate) time_left: Duration,
    pub(crate) complete_within: Option<Duration>,
    pub(crate) chat_body: Map<String, Value>,
    pub(crate) max_tokens: u32,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) model: String,
}

impl ActiveRequest {
    pub(crate) fn new(new: NewRequest) -> Self {
        let message_id = new.request_id.replacen("req_", "msg_", 1);
        ActiveRequest {
            id: new.id,
            generation: new.generation,
            client: new.client,
            settings: new.settings,
            epoch: new.epoch,
            class: new.class,
            idempotency: new.idempotency,
            stream: new.stream,
            received_at: new.now,
            engine_time: Duration::ZERO,
            deadline: new.now.saturating_add(new.time_left),
            complete_by: new.complete_within.map(|within| new.now.saturating_add(within)),
            chat_body: new.chat_body,
            max_tokens: new.max_tokens,
            // Without a key each of the client's retries counts as a new request.
            idempotency_key: new.idempotency_key.unwrap_or_else(|| new.request_id.clone()),
            message_writer: MessageWriter::new(message_id, new.model, new.stream),
            request_id: new.request_id,
            attempts: Vec::new(),
            transfer: None,
            state_holders: Vec::new(),
            streaming_attempt: None,
            is_restarted: false,
            is_closed: false,
        }
    }

    /// Adds an attempt at an engine of this role. Returns its index and the HTTP request to send to the
    /// engine.
    pub(crate) fn add_attempt(
        &mut self, now: Duration, engine: EngineId, addr: SocketAddr, role: Role, via: &str,
    ) -> (usize, Vec<u8>) {
        let attempt = self.attempts.len();
        let is_prefill = role == Role::Prefill;
        let body = if is_prefill {
            self.state_holders.push((engine, addr, attempt));
            engine::prefill_body(&self.chat_body)
        } else {
            engine::decode_body(
                &self.chat_body,
                self.max_tokens,
                self.transfer.as_ref().map(|(_, parameters)| parameters),
            )
        };
        self.attempts.push(Attempt { engine, conn: None, sent_at: now, is_prefill, in_flight: true });
        let (attempt_id, host) = (self.attempt_id(attempt), addr.to_string());
        let mut fields = vec![
            ("host", host.as_str()),
            ("via", via),
            ("content-type", "application/json"),
            ("x-request-id", attempt_id.as_str()),
            ("endpoint-load-metrics-format", "TEXT"),
        ];
        if matches!(self.idempotency, Idempotency::WithKey { .. }) {
            fields.push(("idempotency-key", self.idempotency_key.as_str()));
        }
        let epoch = self.epoch.map(|epoch| epoch.to_string());
        if let Some(epoch) = &epoch {
            fields.push((POLICY_FIELD, epoch.as_str()));
        }
        let mut bytes =
            http::request_head("POST", "/v1/chat/completions", &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        (attempt, bytes)
    }

    /// The name of its class.
    pub(crate) fn class_name(&self) -> &str {
        self.settings.classes.get(self.class).map_or("", |class| &class.name)
    }

    /// The id of an attempt at its engine.
    pub(crate) fn attempt_id(&self, attempt: usize) -> String {
        format!("{}-{attempt}", self.request_id)
    }

    /// Records that a prefill attempt has completed.
    pub(crate) fn prefill_completed(&mut self, attempt: usize, transfer: Value, usage: engine::Usage) {
        self.message_writer.record_prompt_usage(usage);
        self.transfer = Some((self.attempts[attempt].engine, transfer));
    }

    /// Records that an attempt's answer has begun: the decode engine has fetched the state, with which the
    /// prefill engine has released it. Returns that prefill engine, once for each state.
    pub(crate) fn answer_began(&mut self, attempt: usize) -> Option<EngineId> {
        self.streaming_attempt = Some(attempt);
        let (prefill_engine, _) = self.transfer.take()?;
        let prefill =
            self.attempts.iter().rposition(|attempt| attempt.is_prefill && attempt.engine == prefill_engine);
        let previous_count = self.state_holders.len();
        self.state_holders
            .retain(|&(engine, _, attempt)| (engine, Some(attempt)) != (prefill_engine, prefill));
        (self.state_holders.len() < previous_count).then_some(prefill_engine)
    }

    /// Whether an answer had begun and was interrupted before any of it was sent to the client.
    pub(crate) fn is_restarted(&self) -> bool {
        self.is_restarted
    }

    /// Adds the time that an ended attempt took.
    pub(crate) fn add_engine_time(&mut self, latency: Duration) {
        self.engine_time += latency;
    }

    /// The time that engines have spent on it, in ended attempts and in those in flight.
    pub(crate) fn time_at_engines(&self, now: Duration) -> Duration {
        let in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.in_flight)
            .map(|attempt| now.saturating_sub(attempt.sent_at));
        self.engine_time + in_flight.sum::<Duration>()
    }

    /// Drops the part of an answer that was interrupted before any of it was sent to the client.
    pub(crate) fn restart_answer(&mut self) {
        (self.streaming_attempt, self.is_restarted) = (None, true);
        self.message_writer.restart_answer();
    }

    /// Takes the states that may be held for it, except those whose prefill attempt is in flight. Returns
    /// each one's engine and address, and the attempt's id at that engine.
    pub(crate) fn take_releasable_state(&mut self) -> Vec<(EngineId, SocketAddr, String)> {
        self.transfer = None;
        let (in_flight, releasable): (Vec<_>, Vec<_>) =
            self.state_holders.drain(..).partition(|&(_, _, attempt)| self.attempts[attempt].in_flight);
        self.state_holders = in_flight;
        releasable
            .into_iter()
            .map(|(engine, addr, attempt)| (engine, addr, self.attempt_id(attempt)))
            .collect()
    }

    /// The prefill engines that still count as holders, once for each state.
    pub(crate) fn into_holders(self) -> Vec<EngineId> {
        self.state_holders.into_iter().map(|(engine, ..)| engine).collect()
    }

    /// Removes the holder of a prefill attempt that never ran, so that no state is held. Returns its engine
    /// if it counted as a holder.
    pub(crate) fn drop_holder_of(&mut self, attempt: usize, outcome: Outcome) -> Option<EngineId> {
        if !matches!(outcome, Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent) {
            return None;
        }
        let index =
            self.state_holders.iter().position(|&(_, _, holder_attempt)| holder_attempt == attempt)?;
        Some(self.state_holders.swap_remove(index).0)
    }

    /// Whether it is closed and no attempt is in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_closed && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Whether a retry could run it twice, as far as this router knows.
    pub(crate) fn must_not_repeat(&self) -> bool {
        let may_have_run = self.attempts.iter().any(|attempt| !attempt.is_prefill);
        may_have_run
            && !matches!(
                self.idempotency,
                Idempotency::Idempotent
                    | Idempotency::WithKey { scope: slipreel::DeduplicationScope::All, .. }
            )
    }
}
