//! One request that was taken: who asked, its attempts, the state held for it, and its one final answer.

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

/// The field that names the epoch by which a request was taken, on its answer and on each request to an engine.
pub const POLICY: &str = "x-slipreel-policy";

/// How a request ended. Each that was taken has exactly one of these, unless its client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// The complete answer was written.
    Completed,
    /// Rejected; trying again is harmless.
    Rejected,
    /// Failed, with no promise.
    Failed,
}

/// An attempt, as far as the wire goes.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    /// The connection that carries it, while it is out.
    pub(crate) conn: Option<ConnId>,
    pub(crate) sent: Duration,
    pub(crate) is_prefill: bool,
    /// Has no outcome yet.
    pub(crate) in_flight: bool,
}

/// A request under way.
pub(crate) struct ActiveRequest {
    pub(crate) id: RequestId,
    /// The generation of the decision module that decides for it.
    pub(crate) generation: u64,
    pub(crate) client: ConnId,
    pub(crate) request_id: String,
    /// The settings by which it was taken, and the epoch of their policy, where the fleet has agreed on one.
    pub(crate) settings: Arc<GatewaySettings>,
    pub(crate) epoch: Option<u64>,
    /// Position of its class in them.
    pub(crate) class: usize,
    pub(crate) idempotency: Idempotency,
    pub(crate) stream: bool,
    /// When it had been received completely.
    pub(crate) since: Duration,
    /// For how long engines were at work for it, up to the end of its last ended attempt.
    engine_time: Duration,
    /// When its client gives up waiting for the beginning.
    pub(crate) deadline: Duration,
    /// When its client gives up waiting for a complete answer, if it says so.
    pub(crate) complete_by: Option<Duration>,
    chat: Map<String, Value>,
    max_tokens: u32,
    key: String,
    pub(crate) writer: MessageWriter,
    pub(crate) attempts: Vec<Attempt>,
    /// Where the state of the last read waits.
    transfer: Option<(EngineId, Value)>,
    /// Readers that may hold state for it, and for which attempt.
    holders: Vec<(EngineId, SocketAddr, usize)>,
    /// The attempt whose answer has begun.
    pub(crate) streaming_attempt: Option<usize>,
    /// It had begun before and broke, with nothing gone out.
    is_restarted: bool,
    /// It has its final answer, or its client has left.
    pub(crate) is_closed: bool,
}

/// What a new request is made of.
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
    pub(crate) chat: Map<String, Value>,
    pub(crate) max_tokens: u32,
    pub(crate) key: Option<String>,
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
            since: new.now,
            engine_time: Duration::ZERO,
            deadline: new.now.saturating_add(new.time_left),
            complete_by: new.complete_within.map(|within| new.now.saturating_add(within)),
            chat: new.chat,
            max_tokens: new.max_tokens,
            // A client that names no key makes each of its tries a request of its own.
            key: new.key.unwrap_or_else(|| new.request_id.clone()),
            writer: MessageWriter::new(message_id, new.model, new.stream),
            request_id: new.request_id,
            attempts: Vec::new(),
            transfer: None,
            holders: Vec::new(),
            streaming_attempt: None,
            is_restarted: false,
            is_closed: false,
        }
    }

    /// Adds an attempt at an engine of this role and gives the request to write to it.
    pub(crate) fn send(
        &mut self, now: Duration, engine: EngineId, addr: SocketAddr, role: Role, via: &str,
    ) -> (usize, Vec<u8>) {
        let attempt = self.attempts.len();
        let is_prefill = role == Role::Prefill;
        let body = if is_prefill {
            self.holders.push((engine, addr, attempt));
            engine::prefill_body(&self.chat)
        } else {
            engine::decode_body(&self.chat, self.max_tokens, self.transfer.as_ref().map(|(_, t)| t))
        };
        self.attempts.push(Attempt { engine, conn: None, sent: now, is_prefill, in_flight: true });
        let (name, host) = (self.attempt_name(attempt), addr.to_string());
        let mut fields = vec![
            ("host", host.as_str()),
            ("via", via),
            ("content-type", "application/json"),
            ("x-request-id", name.as_str()),
            ("endpoint-load-metrics-format", "TEXT"),
        ];
        if matches!(self.idempotency, Idempotency::WithKey { .. }) {
            fields.push(("idempotency-key", self.key.as_str()));
        }
        let epoch = self.epoch.map(|e| e.to_string());
        if let Some(epoch) = &epoch {
            fields.push((POLICY, epoch.as_str()));
        }
        let mut bytes =
            http::request_head("POST", "/v1/chat/completions", &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        (attempt, bytes)
    }

    /// The name of its class.
    pub(crate) fn class_name(&self) -> &str {
        self.settings.classes.get(self.class).map_or("", |c| &c.name)
    }

    /// What an engine knows an attempt by.
    pub(crate) fn attempt_name(&self, attempt: usize) -> String {
        format!("{}-{attempt}", self.request_id)
    }

    /// An attempt has read the prompt.
    pub(crate) fn prefill_completed(&mut self, attempt: usize, transfer: Value, usage: engine::Usage) {
        self.writer.prompt(usage);
        self.transfer = Some((self.attempts[attempt].engine, transfer));
    }

    /// An attempt's answer has begun: it has fetched the state, which its reader has released with that. Gives that
    /// reader, once for each state.
    pub(crate) fn answer_began(&mut self, attempt: usize) -> Option<EngineId> {
        self.streaming_attempt = Some(attempt);
        let (reader, _) = self.transfer.take()?;
        let read = self.attempts.iter().rposition(|a| a.is_prefill && a.engine == reader);
        let before = self.holders.len();
        self.holders.retain(|&(engine, _, at)| (engine, Some(at)) != (reader, read));
        (self.holders.len() < before).then_some(reader)
    }

    /// Whether an answer to it had begun before and broke.
    pub(crate) fn is_restarted(&self) -> bool {
        self.is_restarted
    }

    /// An attempt has ended after this time.
    pub(crate) fn engine_time(&mut self, latency: Duration) {
        self.engine_time += latency;
    }

    /// For how long engines were at work for it: in attempts that ended, and in those that are out.
    pub(crate) fn time_at_engines(&self, now: Duration) -> Duration {
        let out = self.attempts.iter().filter(|a| a.in_flight).map(|a| now.saturating_sub(a.sent));
        self.engine_time + out.sum::<Duration>()
    }

    /// Its answer broke before any of it went out: what came of it is dropped.
    pub(crate) fn restart_answer(&mut self) {
        (self.streaming_attempt, self.is_restarted) = (None, true);
        self.writer.restart_answer();
    }

    /// All that may be held for it and that no attempt reads now: to be released.
    pub(crate) fn release(&mut self) -> Vec<(EngineId, SocketAddr, String)> {
        self.transfer = None;
        let (out, free): (Vec<_>, Vec<_>) =
            self.holders.drain(..).partition(|&(_, _, at)| self.attempts[at].in_flight);
        self.holders = out;
        free.into_iter().map(|(engine, addr, at)| (engine, addr, self.attempt_name(at))).collect()
    }

    /// The readers that still count as holders, once for each state.
    pub(crate) fn into_holders(self) -> Vec<EngineId> {
        self.holders.into_iter().map(|(engine, ..)| engine).collect()
    }

    /// An attempt that read nothing holds nothing. Gives its engine if it counted as a holder.
    pub(crate) fn drop_holder_of(&mut self, attempt: usize, outcome: Outcome) -> Option<EngineId> {
        if !matches!(outcome, Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent) {
            return None;
        }
        let at = self.holders.iter().position(|&(_, _, at)| at == attempt)?;
        Some(self.holders.swap_remove(at).0)
    }

    /// Nothing more can come of it.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_closed && self.attempts.iter().all(|a| !a.in_flight)
    }

    /// Whether trying again could run it twice, for all that this router knows.
    pub(crate) fn must_not_repeat(&self) -> bool {
        let ran = self.attempts.iter().any(|a| !a.is_prefill);
        ran && !matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::WithKey { scope: slipreel::DeduplicationScope::All, .. }
        )
    }
}
