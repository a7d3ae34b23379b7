//! The clients' side: what a request asks for, and its one final answer.

use crate::classify::{self, Caller, RequestAttributes};
use crate::gateway::Gateway;
use crate::limits::{self, AdmissionError};
use crate::metrics::RejectionReason;
use crate::request::{ActiveRequest, NewRequest, POLICY};
use serde_json::json;
use slipreel::{Event, Outcome, RequestId};
use slipreel_connections::{ClientState, ReceivedRequest};
use slipreel_protocol::http::Malformed;
use slipreel_protocol::messages::{ApiError, ErrorKind, MessagesRequest};
use slipreel_state_machine::{ConnId, ListenerId, Output};
use std::time::Duration;

/// The door of operators; clients come by the first.
const OPERATORS: ListenerId = ListenerId(1);

impl Gateway {
    // ---- In ---------------------------------------------------------------------------------

    pub(crate) fn client_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        let before = client.state;
        client.feed(now, bytes, out);
        self.read_requests(conn, out);
        if self.clients.get(conn).is_some_and(|c| c.state != before) {
            self.arm_client_timer(conn);
        }
    }

    /// Handles the requests that were received completely, one after another as each is answered.
    pub(crate) fn read_requests(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        loop {
            let now = self.now;
            let Some(client) = self.clients.get_mut(conn) else { return };
            match client.receive(now, out) {
                Ok(None) => return,
                Ok(Some(received)) => self.route(conn, &received, out),
                Err(why) => return self.reject_malformed(conn, &why, out),
            }
        }
    }

    fn reject_malformed(&mut self, conn: ConnId, why: &Malformed, out: &mut Vec<Output>) {
        let error = ApiError::new(ErrorKind::of_status(why.status), why.why.clone());
        if let Some(client) = self.clients.get_mut(conn) {
            client.close_after_answer();
        }
        self.reject_before_admission(conn, why.status, &error, &[], out);
    }

    /// An answer that needs no engine.
    pub(crate) fn reject_before_admission(
        &mut self, conn: ConnId, status: u16, error: &ApiError, fields: &[(&str, &str)],
        out: &mut Vec<Output>,
    ) {
        let request_id = self.request_id();
        self.counters.rejected_before_admission += 1;
        self.metrics.turned();
        let body = error.body(&request_id);
        let mut all = vec![("request-id", request_id.as_str())];
        all.extend_from_slice(fields);
        self.answer(conn, status, &all, body.as_bytes(), out);
    }

    pub(crate) fn answer(
        &mut self, conn: ConnId, status: u16, fields: &[(&str, &str)], body: &[u8], out: &mut Vec<Output>,
    ) {
        let stopping = self.shutdown.has_begun();
        let epoch = self.epoch_of(conn);
        let Some(client) = self.clients.get_mut(conn) else { return };
        if stopping {
            client.close_after_answer();
        }
        match &epoch {
            Some(epoch) => client.answer(status, &[fields, &[(POLICY, epoch.as_str())]].concat(), body, out),
            None => client.answer(status, fields, body, out),
        }
        self.client_done(conn, out);
    }

    pub(crate) fn client_done(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        if client.finish_answer(now, out) {
            self.arm_client_timer(conn);
        } else {
            self.clients.remove(conn, &mut self.timers);
        }
    }

    fn request_id(&mut self) -> String {
        self.requests.next_id().1
    }

    fn route(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let (method, path) = (received.method(), received.path());
        if self.clients.get(conn).is_some_and(|c| c.listener == OPERATORS) {
            return self.handle_operator_request(conn, received, out);
        }
        if path != "/health" && !self.holds_policy() {
            return self.reject_without_policy(conn, out);
        }
        let answered = match (method, path) {
            ("POST", "/v1/messages") => self.handle_messages_request(conn, received, out),
            ("POST", "/v1/messages/count_tokens") => self.count_tokens(conn, received, out),
            ("GET", "/v1/models") => self.models(conn, received, None, out),
            ("GET", _) if path.starts_with("/v1/models/") => {
                self.models(conn, received, Some(&path["/v1/models/".len()..]), out)
            }
            ("GET", "/health") => {
                self.answer_health(conn, out);
                Ok(())
            }
            (_, "/v1/messages" | "/v1/messages/count_tokens" | "/v1/models" | "/health") => {
                let error =
                    ApiError::new(ErrorKind::InvalidRequest, format!("{path} does not take {method}"));
                self.reject_before_admission(conn, 405, &error, &[], out);
                Ok(())
            }
            _ => Err(ApiError::new(ErrorKind::NotFound, format!("no such path: {path}"))),
        };
        if let Err(error) = answered {
            self.reject_before_admission(conn, error.kind.status(), &error, &[], out);
        }
    }

    /// Answers whether this gateway takes requests.
    fn answer_health(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let (status, word) = match self.membership_obstacle() {
            _ if self.shutdown.has_begun() => (503, "stopping"),
            Some(word) => (503, word),
            None if !self.holds_policy() => (503, "policy"),
            None => (200, "ok"),
        };
        self.answer(conn, status, &[], json!({"status": word}).to_string().as_bytes(), out);
    }

    fn models(
        &mut self, conn: ConnId, received: &ReceivedRequest, one: Option<&str>, out: &mut Vec<Output>,
    ) -> Result<(), ApiError> {
        classify::caller(&self.settings, &received.head)?;
        let model = |name: &str| json!({"type": "model", "id": name, "display_name": name, "created_at": "1970-01-01T00:00:00Z"});
        let names: Vec<&str> = self.settings.models.iter().map(|m| m.name.as_str()).collect();
        let body = match one {
            Some(name) if names.contains(&name) => model(name),
            Some(name) => return Err(ApiError::new(ErrorKind::NotFound, format!("model: {name}"))),
            None => json!({"data": names.iter().map(|n| model(n)).collect::<Vec<_>>(), "has_more": false,
                           "first_id": names.first(), "last_id": names.last()}),
        };
        let request_id = self.request_id();
        self.answer(conn, 200, &[("request-id", &request_id)], body.to_string().as_bytes(), out);
        Ok(())
    }

    fn count_tokens(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) -> Result<(), ApiError> {
        classify::caller(&self.settings, &received.head)?;
        let messages_request = MessagesRequest::parse(&received.body, true)?;
        if !self.settings.models.iter().any(|m| m.name == messages_request.model) {
            return Err(ApiError::new(ErrorKind::NotFound, format!("model: {}", messages_request.model)));
        }
        let tokens = classify::prompt_tokens(&messages_request, received.body.len()) as u64;
        let body = json!({"input_tokens": tokens}).to_string();
        let request_id = self.request_id();
        self.answer(conn, 200, &[("request-id", &request_id)], body.as_bytes(), out);
        Ok(())
    }

    /// A message request: the decision module is notified of it, unless it can't be taken at all.
    fn handle_messages_request(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) -> Result<(), ApiError> {
        let caller = classify::caller(&self.settings, &received.head)?;
        let mut messages_request = MessagesRequest::parse(&received.body, false)?;
        let traits =
            classify::traits(&self.settings, &received.head, caller, &messages_request, received.body.len())?;
        let model = std::mem::replace(&mut messages_request.model, traits.served_as.clone());
        let chat = messages_request.to_chat()?;
        if let Err(error) =
            limits::check_admission(&self.settings.bounds, self.requests.len(), self.shutdown.has_begun())
        {
            self.reject_not_admitted(conn, traits.class.0, error, out);
            return Ok(());
        }
        let (id, request_id) = self.requests.next_id();
        let generation = self.decision_modules.generation();
        if let Some(client) = self.clients.get_mut(conn) {
            client.state = ClientState::Serving(Some(id.0));
        }
        let new = NewRequest {
            id,
            generation,
            client: conn,
            request_id,
            settings: self.settings.clone(),
            epoch: self.epoch(),
            class: traits.class.0,
            idempotency: self.settings.decisions.classes[traits.class.0].idempotency,
            stream: messages_request.stream,
            now: self.now,
            time_left: traits.time_left,
            complete_within: traits.told,
            chat,
            max_tokens: messages_request.max_tokens,
            key: traits.idempotency_key.clone(),
            model,
        };
        self.requests.insert(ActiveRequest::new(new));
        self.counters.admitted += 1;
        self.metrics.admitted(self.class_name(traits.class.0));
        let request = decision_request(id, caller, &traits, &messages_request);
        self.queue_event(generation, Event::Request(request));
        Ok(())
    }

    /// Rejects a request that the gateway's own limits do not admit.
    fn reject_not_admitted(
        &mut self, conn: ConnId, class: usize, error: AdmissionError, out: &mut Vec<Output>,
    ) {
        let (reason, text) = match error {
            AdmissionError::TooManyRequests => {
                (RejectionReason::TooManyRequests, "too many requests are under way")
            }
            AdmissionError::Stopping => (RejectionReason::Stopping, "this router is stopping"),
        };
        self.metrics.refused(self.class_name(class), reason);
        let error = ApiError::new(ErrorKind::Overloaded, text);
        let (seconds, milliseconds) = retry_after(limits::RETRY_AFTER);
        let fields = [
            ("retry-after", seconds.as_str()),
            ("retry-after-ms", &milliseconds),
            ("x-should-retry", "true"),
        ];
        self.reject_before_admission(conn, error.kind.status(), &error, &fields, out);
    }

    // ---- Leaving ------------------------------------------------------------------------------

    pub(crate) fn client_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let half_close = self.settings.bounds.half_close;
        let Some(client) = self.clients.get_mut(conn) else { return };
        client.is_closed_by_peer = true;
        match client.state {
            ClientState::Serving(_) if half_close => {}
            // Between requests, or in the midst of one that can't be ended any more.
            _ => {
                out.push(Output::CloseWhenSent(conn));
                self.client_gone(conn);
            }
        }
    }

    /// A client's connection is over: its request, if one is under way, is owed no answer any more.
    pub(crate) fn client_gone(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get(conn) else { return };
        let state = client.state;
        self.clients.remove(conn, &mut self.timers);
        let ClientState::Serving(Some(id)) = state else { return };
        let id = RequestId(id);
        let Some(request) = self.requests.get_open_mut(id) else { return };
        request.is_closed = true;
        self.counters.disconnected += 1;
        self.metrics.left();
        let (generation, streaming_attempt) = (request.generation, request.streaming_attempt);
        let conn = streaming_attempt.and_then(|a| request.attempts[a].conn);
        self.requests.check_when_settled(id);
        self.queue_event(generation, Event::ClientDisconnected(id));
        // The decision module leaves a stream that has begun to its client, and this one is gone.
        if let Some(conn) = conn {
            self.engines.abandon(conn);
        }
    }

    pub(crate) fn client_sent(&mut self, conn: ConnId, n: usize, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        client.unsent = client.unsent.saturating_sub(n);
        client.last_sent_at = now;
        if let ClientState::Serving(Some(id)) = client.state {
            self.check_pace(RequestId(id), out);
        }
    }

    /// A client's connection did not move on in time, by its state.
    pub(crate) fn client_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get(conn) else { return };
        match client.state {
            ClientState::Receiving if client.unsent == 0 => {
                let why = Malformed { status: 408, why: "the request did not come in whole in time".into() };
                self.reject_malformed(conn, &why, out);
            }
            ClientState::Idle if client.unsent == 0 => {
                out.push(Output::CloseWhenSent(conn));
                self.clients.remove(conn, &mut self.timers);
            }
            // It takes nothing of what waits for it.
            _ => {
                out.push(Output::Abort(conn));
                self.client_gone(conn);
            }
        }
    }

    /// Connections whose stream nobody waits for any more.
    pub(crate) fn drop_abandoned_connections(&mut self, out: &mut Vec<Output>) {
        for conn in self.engines.take_abandoned() {
            self.abort_connection(conn, out, Outcome::Cancelled);
        }
    }
}

/// A request as the decision module takes it.
fn decision_request(
    id: RequestId, caller: Caller, traits: &RequestAttributes, messages_request: &MessagesRequest,
) -> slipreel::Request {
    slipreel::Request {
        id,
        class: traits.class,
        tenant: caller.tenant,
        session: traits.session,
        shared_prefix: traits.shared_prefix,
        prompt_tokens: traits.prompt_tokens,
        max_output_tokens: f64::from(messages_request.max_tokens),
        client_timeout: traits.time_left,
        complete_answer_timeout: (!messages_request.stream).then(|| traits.told.unwrap_or(traits.time_left)),
        is_retry: traits.repeat,
        is_resumption: false,
    }
}

/// The two fields that tell when to come back: whole seconds as HTTP has it, and milliseconds.
pub(crate) fn retry_after(wait: Duration) -> (String, String) {
    let ms = wait.as_millis().max(1);
    (ms.div_ceil(1000).to_string(), ms.to_string())
}
