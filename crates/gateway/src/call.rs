//! One request that was taken: who asked, its attempts, the state held for it, and its one final answer.

use crate::site::Site;
use crate::translate::Writer;
use serde_json::{Map, Value};
use slipreel::{EngineId, Idempotency, Outcome, RequestId, Role};
use slipreel_protocol::engine;
use slipreel_protocol::http::{self, Framing};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The field that names the epoch by which a request was taken, on its answer and on each call to an engine.
pub const POLICY: &str = "x-slipreel-policy";

/// How a request ended. Each that was taken has exactly one of these, unless its client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Final {
    /// The whole answer was written.
    Served,
    /// Turned away; trying again is harmless.
    Refused,
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
    pub(crate) read: bool,
    /// Has no outcome yet.
    pub(crate) out: bool,
}

/// A request under way.
pub(crate) struct Call {
    pub(crate) id: RequestId,
    /// Which of the front's routers decides for it.
    pub(crate) generation: u64,
    pub(crate) client: ConnId,
    pub(crate) request_id: String,
    /// The settings by which it was taken, and the epoch of their policy, where the fleet has agreed on one.
    pub(crate) site: Arc<Site>,
    pub(crate) epoch: Option<u64>,
    /// Position of its class in them.
    pub(crate) class: usize,
    pub(crate) effect: Idempotency,
    pub(crate) stream: bool,
    /// When it had come in whole.
    pub(crate) since: Duration,
    /// For how long engines were at work for it, up to the end of its last ended attempt.
    worked: Duration,
    /// When its client gives up waiting for the beginning.
    pub(crate) deadline: Duration,
    /// When its client gives up waiting for a whole answer, if it says so.
    pub(crate) whole_by: Option<Duration>,
    chat: Map<String, Value>,
    max_tokens: u32,
    key: String,
    pub(crate) writer: Writer,
    pub(crate) attempts: Vec<Attempt>,
    /// Where the state of the last read waits.
    transfer: Option<(EngineId, Value)>,
    /// Readers that may hold state for it, and for which attempt.
    holders: Vec<(EngineId, SocketAddr, usize)>,
    /// The attempt whose answer has begun.
    pub(crate) begun: Option<usize>,
    /// It had begun before and broke, with nothing gone out.
    anew: bool,
    /// It has its final answer, or its client has left.
    pub(crate) over: bool,
}

/// What a new call is made of.
pub(crate) struct NewCall {
    pub(crate) id: RequestId,
    pub(crate) generation: u64,
    pub(crate) client: ConnId,
    pub(crate) request_id: String,
    pub(crate) site: Arc<Site>,
    pub(crate) epoch: Option<u64>,
    pub(crate) class: usize,
    pub(crate) effect: Idempotency,
    pub(crate) stream: bool,
    pub(crate) now: Duration,
    pub(crate) time_left: Duration,
    pub(crate) whole_within: Option<Duration>,
    pub(crate) chat: Map<String, Value>,
    pub(crate) max_tokens: u32,
    pub(crate) key: Option<String>,
    pub(crate) model: String,
}

impl Call {
    pub(crate) fn new(new: NewCall) -> Self {
        let message_id = new.request_id.replacen("req_", "msg_", 1);
        Call {
            id: new.id,
            generation: new.generation,
            client: new.client,
            site: new.site,
            epoch: new.epoch,
            class: new.class,
            effect: new.effect,
            stream: new.stream,
            since: new.now,
            worked: Duration::ZERO,
            deadline: new.now.saturating_add(new.time_left),
            whole_by: new.whole_within.map(|within| new.now.saturating_add(within)),
            chat: new.chat,
            max_tokens: new.max_tokens,
            // A client that names no key makes each of its tries a request of its own.
            key: new.key.unwrap_or_else(|| new.request_id.clone()),
            writer: Writer::new(message_id, new.model, new.stream),
            request_id: new.request_id,
            attempts: Vec::new(),
            transfer: None,
            holders: Vec::new(),
            begun: None,
            anew: false,
            over: false,
        }
    }

    /// Adds an attempt at an engine of this role and gives the request to write to it.
    pub(crate) fn send(
        &mut self, now: Duration, engine: EngineId, addr: SocketAddr, role: Role, via: &str,
    ) -> (usize, Vec<u8>) {
        let attempt = self.attempts.len();
        let read = role == Role::Prefill;
        let body = if read {
            self.holders.push((engine, addr, attempt));
            engine::read_body(&self.chat)
        } else {
            engine::write_body(&self.chat, self.max_tokens, self.transfer.as_ref().map(|(_, t)| t))
        };
        self.attempts.push(Attempt { engine, conn: None, sent: now, read, out: true });
        let (name, host) = (self.attempt_name(attempt), addr.to_string());
        let mut fields = vec![
            ("host", host.as_str()),
            ("via", via),
            ("content-type", "application/json"),
            ("x-request-id", name.as_str()),
            ("endpoint-load-metrics-format", "TEXT"),
        ];
        if matches!(self.effect, Idempotency::WithKey { .. }) {
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
        self.site.classes.get(self.class).map_or("", |c| &c.name)
    }

    /// What an engine knows an attempt by.
    pub(crate) fn attempt_name(&self, attempt: usize) -> String {
        format!("{}-{attempt}", self.request_id)
    }

    /// An attempt has read the prompt.
    pub(crate) fn has_read(&mut self, attempt: usize, transfer: Value, usage: engine::Usage) {
        self.writer.prompt(usage);
        self.transfer = Some((self.attempts[attempt].engine, transfer));
    }

    /// An attempt's answer has begun: it has fetched the state, which its reader has let go with that. Gives that
    /// reader, once for each state.
    pub(crate) fn has_begun(&mut self, attempt: usize) -> Option<EngineId> {
        self.begun = Some(attempt);
        let (reader, _) = self.transfer.take()?;
        let read = self.attempts.iter().rposition(|a| a.read && a.engine == reader);
        let before = self.holders.len();
        self.holders.retain(|&(engine, _, at)| (engine, Some(at)) != (reader, read));
        (self.holders.len() < before).then_some(reader)
    }

    /// Whether an answer to it had begun before and broke.
    pub(crate) fn has_begun_before(&self) -> bool {
        self.anew
    }

    /// An attempt has ended after this time.
    pub(crate) fn worked(&mut self, latency: Duration) {
        self.worked += latency;
    }

    /// For how long engines were at work for it: in attempts that ended, and in those that are out.
    pub(crate) fn at_engines(&self, now: Duration) -> Duration {
        let out = self.attempts.iter().filter(|a| a.out).map(|a| now.saturating_sub(a.sent));
        self.worked + out.sum::<Duration>()
    }

    /// Its answer broke before any of it went out: what came of it is dropped.
    pub(crate) fn begins_anew(&mut self) {
        (self.begun, self.anew) = (None, true);
        self.writer.begins_anew();
    }

    /// All that may be held for it and that no attempt reads now: to be let go of.
    pub(crate) fn release(&mut self) -> Vec<(EngineId, SocketAddr, String)> {
        self.transfer = None;
        let (out, free): (Vec<_>, Vec<_>) =
            self.holders.drain(..).partition(|&(_, _, at)| self.attempts[at].out);
        self.holders = out;
        free.into_iter().map(|(engine, addr, at)| (engine, addr, self.attempt_name(at))).collect()
    }

    /// The readers that still count as holders, once for each state.
    pub(crate) fn holding(self) -> Vec<EngineId> {
        self.holders.into_iter().map(|(engine, ..)| engine).collect()
    }

    /// An attempt that read nothing holds nothing. Gives its engine if it counted as a holder.
    pub(crate) fn holds_nothing(&mut self, attempt: usize, outcome: Outcome) -> Option<EngineId> {
        if !matches!(outcome, Outcome::Rejected { .. } | Outcome::ConnectFailed | Outcome::NotSent) {
            return None;
        }
        let at = self.holders.iter().position(|&(_, _, at)| at == attempt)?;
        Some(self.holders.swap_remove(at).0)
    }

    /// Nothing more can come of it.
    pub(crate) fn is_done(&self) -> bool {
        self.over && self.attempts.iter().all(|a| !a.out)
    }

    /// Whether trying again could run it twice, for all that this router knows.
    pub(crate) fn must_not_repeat(&self) -> bool {
        let ran = self.attempts.iter().any(|a| !a.read);
        ran && !matches!(
            self.effect,
            Idempotency::Idempotent | Idempotency::WithKey { scope: slipreel::DeduplicationScope::All, .. }
        )
    }
}
