//! The client side: routes requests by path, admits message requests, and handles clients that disconnect or
//! time out.

use crate::classify::{self, Caller, RequestAttributes};
use crate::gateway::Gateway;
use crate::limits::{self, AdmissionError};
use crate::metrics::RejectionReason;
use crate::request::{ActiveRequest, NewRequest, POLICY_FIELD};
use serde_json::json;
use slipreel::{Event, Outcome, RequestId};
use slipreel_connections::{ClientState, ReceivedRequest};
use slipreel_protocol::http::Malformed;
use slipreel_protocol::messages::{ApiError, ErrorKind, MessagesRequest};
use slipreel_state_machine::{ConnId, ListenerId, Output};
use std::time::Duration;

/// The listener of operators; clients use listener 0.
const OPERATOR_LISTENER: ListenerId = ListenerId(1);

impl Gateway {
    // ---- Requests ---------------------------------------------------------------------------

    /// Handles bytes from a client.
    pub(crate) fn client_data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        let previous_state = client.state;
        client.feed(now, bytes, out);
        self.read_requests(conn, out);
        if self.clients.get(conn).is_some_and(|client| client.state != previous_state) {
            self.arm_client_timer(conn);
        }
    }

    /// Handles the requests that were received completely, each after the answer to the previous one.
    pub(crate) fn read_requests(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        loop {
            let now = self.now;
            let Some(client) = self.clients.get_mut(conn) else { return };
            match client.receive(now, out) {
                Ok(None) => return,
                Ok(Some(received)) => self.route(conn, &received, out),
                Err(malformed) => return self.reject_malformed(conn, &malformed, out),
            }
        }
    }

    /// Answers a request that can't be parsed, and closes the connection after it.
    fn reject_malformed(&mut self, conn: ConnId, malformed: &Malformed, out: &mut Vec<Output>) {
        let error = ApiError::new(ErrorKind::of_status(malformed.status), malformed.why.clone());
        if let Some(client) = self.clients.get_mut(conn) {
            client.close_after_answer();
        }
        self.reject_before_admission(conn, malformed.status, &error, &[], out);
    }

    /// Answers a request with an error before it reaches the decision module.
    pub(crate) fn reject_before_admission(
        &mut self, conn: ConnId, status: u16, error: &ApiError, fields: &[(&str, &str)],
        out: &mut Vec<Output>,
    ) {
        let request_id = self.new_request_id();
        self.counters.rejected_before_admission += 1;
        self.metrics.rejected_before_admission();
        let body = error.body(&request_id);
        let mut all_fields = vec![("request-id", request_id.as_str())];
        all_fields.extend_from_slice(fields);
        self.answer(conn, status, &all_fields, body.as_bytes(), out);
    }

    /// Sends a complete answer, with the policy epoch if there is one.
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
            Some(epoch) => {
                client.answer(status, &[fields, &[(POLICY_FIELD, epoch.as_str())]].concat(), body, out);
            }
            None => client.answer(status, fields, body, out),
        }
        self.finish_client_answer(conn, out);
    }

    /// Ends the answer on a client connection, which is then kept open or removed.
    pub(crate) fn finish_client_answer(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        if client.finish_answer(now, out) {
            self.arm_client_timer(conn);
        } else {
            self.clients.remove(conn, &mut self.timers);
        }
    }

    /// A request id for an answer that needs no engine.
    fn new_request_id(&mut self) -> String {
        self.requests.next_id().1
    }

    /// Routes a request by its listener, method and path.
    fn route(&mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>) {
        let (method, path) = (received.method(), received.path());
        if self.clients.get(conn).is_some_and(|client| client.listener == OPERATOR_LISTENER) {
            return self.handle_operator_request(conn, received, out);
        }
        if path != "/health" && !self.has_valid_policy() {
            return self.reject_without_policy(conn, out);
        }
        let answered = match (method, path) {
            ("POST", "/v1/messages") => self.handle_messages_request(conn, received, out),
            ("POST", "/v1/messages/count_tokens") => self.count_tokens(conn, received, out),
            ("GET", "/v1/models") => self.answer_models(conn, received, None, out),
            ("GET", _) if path.starts_with("/v1/models/") => {
                self.answer_models(conn, received, Some(&path["/v1/models/".len()..]), out)
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

    /// Answers whether this gateway accepts requests.
    fn answer_health(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let (status, health) = match self.membership_obstacle() {
            _ if self.shutdown.has_begun() => (503, "stopping"),
            Some(obstacle) => (503, obstacle),
            None if !self.has_valid_policy() => (503, "policy"),
            None => (200, "ok"),
        };
        self.answer(conn, status, &[], json!({"status": health}).to_string().as_bytes(), out);
    }

    /// Answers with the list of models, or with one of them by name.
    fn answer_models(
        &mut self, conn: ConnId, received: &ReceivedRequest, requested: Option<&str>, out: &mut Vec<Output>,
    ) -> Result<(), ApiError> {
        classify::caller(&self.settings, &received.head)?;
        let model = |name: &str| json!({"type": "model", "id": name, "display_name": name, "created_at": "1970-01-01T00:00:00Z"});
        let names: Vec<&str> = self.settings.models.iter().map(|model| model.name.as_str()).collect();
        let body = match requested {
            Some(name) if names.contains(&name) => model(name),
            Some(name) => return Err(ApiError::new(ErrorKind::NotFound, format!("model: {name}"))),
            None => {
                json!({"data": names.iter().map(|name| model(name)).collect::<Vec<_>>(), "has_more": false,
                           "first_id": names.first(), "last_id": names.last()})
            }
        };
        let request_id = self.new_request_id();
        self.answer(conn, 200, &[("request-id", &request_id)], body.to_string().as_bytes(), out);
        Ok(())
    }

    /// Answers with the estimated number of prompt tokens.
    fn count_tokens(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) -> Result<(), ApiError> {
        classify::caller(&self.settings, &received.head)?;
        let messages_request = MessagesRequest::parse(&received.body, true)?;
        if !self.settings.models.iter().any(|model| model.name == messages_request.model) {
            return Err(ApiError::new(ErrorKind::NotFound, format!("model: {}", messages_request.model)));
        }
        let tokens = classify::prompt_tokens(&messages_request, received.body.len()) as u64;
        let body = json!({"input_tokens": tokens}).to_string();
        let request_id = self.new_request_id();
        self.answer(conn, 200, &[("request-id", &request_id)], body.as_bytes(), out);
        Ok(())
    }

    /// Handles a message request: passes it to the decision module if it is valid and within the gateway's
    /// limits.
    fn handle_messages_request(
        &mut self, conn: ConnId, received: &ReceivedRequest, out: &mut Vec<Output>,
    ) -> Result<(), ApiError> {
        let caller = classify::caller(&self.settings, &received.head)?;
        let mut messages_request = MessagesRequest::parse(&received.body, false)?;
        let attributes = classify::attributes(
            &self.settings,
            &received.head,
            caller,
            &messages_request,
            received.body.len(),
        )?;
        let model = std::mem::replace(&mut messages_request.model, attributes.served_as.clone());
        let chat = messages_request.to_chat()?;
        if let Err(error) =
            limits::check_admission(&self.settings.bounds, self.requests.len(), self.shutdown.has_begun())
        {
            self.reject_not_admitted(conn, attributes.class.0, error, out);
            return Ok(());
        }
        let (id, request_id) = self.requests.next_id();
        let generation = self.decision_modules.generation();
        if let Some(client) = self.clients.get_mut(conn) {
            client.state = ClientState::Serving(Some(id.0));
        }
        let new_request = NewRequest {
            id,
            generation,
            client: conn,
            request_id,
            settings: self.settings.clone(),
            epoch: self.epoch(),
            class: attributes.class.0,
            idempotency: self.settings.decisions.classes[attributes.class.0].idempotency,
            stream: messages_request.stream,
            now: self.now,
            time_left: attributes.time_left,
            complete_within: attributes.client_timeout,
            chat_body: chat,
            max_tokens: messages_request.max_tokens,
            idempotency_key: attributes.idempotency_key.clone(),
            model,
        };
        self.requests.insert(ActiveRequest::new(new_request));
        self.counters.admitted += 1;
        self.metrics.request_admitted(self.class_name(attributes.class.0));
        let request = decision_request(id, caller, &attributes, &messages_request);
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
        self.metrics.request_rejected(self.class_name(class), reason);
        let error = ApiError::new(ErrorKind::Overloaded, text);
        let (seconds, milliseconds) = retry_after_fields(limits::RETRY_AFTER);
        let fields = [
            ("retry-after", seconds.as_str()),
            ("retry-after-ms", &milliseconds),
            ("x-should-retry", "true"),
        ];
        self.reject_before_admission(conn, error.kind.status(), &error, &fields, out);
    }

    // ---- Disconnects and timeouts -------------------------------------------------------------

    /// Handles a client that has closed its sending side.
    pub(crate) fn client_eof(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let half_close = self.settings.bounds.half_close;
        let Some(client) = self.clients.get_mut(conn) else { return };
        client.is_closed_by_peer = true;
        match client.state {
            ClientState::Serving(_) if half_close => {}
            // The client is between requests, or its request will never be complete, or half-closed clients get
            // no answer.
            _ => {
                out.push(Output::CloseWhenSent(conn));
                self.client_disconnected(conn);
            }
        }
    }

    /// Removes a client whose connection has ended, and cancels its request if one is in progress.
    pub(crate) fn client_disconnected(&mut self, conn: ConnId) {
        let Some(client) = self.clients.get(conn) else { return };
        let state = client.state;
        self.clients.remove(conn, &mut self.timers);
        let ClientState::Serving(Some(id)) = state else { return };
        let id = RequestId(id);
        let Some(request) = self.requests.get_open_mut(id) else { return };
        request.is_closed = true;
        self.counters.disconnected += 1;
        self.metrics.client_disconnected();
        let (generation, streaming_attempt) = (request.generation, request.streaming_attempt);
        let conn = streaming_attempt.and_then(|attempt| request.attempts[attempt].conn);
        self.requests.mark_maybe_finished(id);
        self.queue_event(generation, Event::ClientDisconnected(id));
        // The decision module does not cancel a stream that has begun, so the gateway ends it.
        if let Some(conn) = conn {
            self.engine_connections.abandon(conn);
        }
    }

    /// Records that bytes to a client have been sent.
    pub(crate) fn client_sent(&mut self, conn: ConnId, sent_bytes: usize, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(client) = self.clients.get_mut(conn) else { return };
        client.unsent = client.unsent.saturating_sub(sent_bytes);
        client.last_sent_at = now;
        if let ClientState::Serving(Some(id)) = client.state {
            self.apply_backpressure(RequestId(id), out);
        }
    }

    /// Handles a timeout of a client connection, according to its state.
    pub(crate) fn client_timed_out(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get(conn) else { return };
        match client.state {
            ClientState::Receiving if client.unsent == 0 => {
                let malformed =
                    Malformed { status: 408, why: "the request did not come in whole in time".into() };
                self.reject_malformed(conn, &malformed, out);
            }
            ClientState::Idle if client.unsent == 0 => {
                out.push(Output::CloseWhenSent(conn));
                self.clients.remove(conn, &mut self.timers);
            }
            // The client does not read what was written to it.
            _ => {
                out.push(Output::Abort(conn));
                self.client_disconnected(conn);
            }
        }
    }

    /// Aborts connections that carry a stream whose client has disconnected.
    pub(crate) fn drop_abandoned_connections(&mut self, out: &mut Vec<Output>) {
        for conn in self.engine_connections.take_abandoned() {
            self.abort_connection(conn, out, Outcome::Cancelled);
        }
    }
}

/// A request as the decision module takes it.
fn decision_request(
    id: RequestId, caller: Caller, attributes: &RequestAttributes, messages_request: &MessagesRequest,
) -> slipreel::Request {
    slipreel::Request {
        id,
        class: attributes.class,
        tenant: caller.tenant,
        session: attributes.session,
        shared_prefix: attributes.shared_prefix,
        prompt_tokens: attributes.prompt_tokens,
        max_output_tokens: f64::from(messages_request.max_tokens),
        client_timeout: attributes.time_left,
        complete_answer_timeout: (!messages_request.stream)
            .then(|| attributes.client_timeout.unwrap_or(attributes.time_left)),
        is_retry: attributes.is_retry,
        is_resumption: false,
    }
}

/// The values of the two fields that say when to retry: whole seconds as HTTP defines them, and milliseconds.
pub(crate) fn retry_after_fields(wait: Duration) -> (String, String) {
    let milliseconds = wait.as_millis().max(1);
    (milliseconds.div_ceil(1000).to_string(), milliseconds.to_string())
}
