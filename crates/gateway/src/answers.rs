//! The answers to admitted requests: streams, and the one final answer of each request.

use crate::gateway::Gateway;
use crate::metrics::RejectionReason;
use crate::request::{RequestEnd, POLICY_FIELD};
use crate::serve::retry_after_fields;
use slipreel::{Event, Outcome, RequestId};
use slipreel_protocol::http;
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::Output;
use std::time::Duration;

impl Gateway {
    /// Sends the head of a streamed answer.
    pub(crate) fn begin_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else { return };
        let Some(client) = self.clients.get_mut(request.client) else { return };
        client.last_sent_at = now;
        let epoch = request.epoch.map(|epoch| epoch.to_string());
        let mut fields = vec![("request-id", request.request_id.as_str())];
        fields.extend(epoch.as_ref().map(|epoch| (POLICY_FIELD, epoch.as_str())));
        client.begin_stream(&fields, out);
        let conn = client.conn;
        self.arm_client_timer(conn);
    }

    /// Sends a part of a streamed answer to the client and empties `piece`. Without a stream the message
    /// writer keeps the answer until it is complete.
    pub(crate) fn write_stream(&mut self, id: RequestId, piece: &mut Vec<u8>, out: &mut Vec<Output>) {
        let piece = std::mem::take(piece);
        let now = self.now;
        let Some(request) = self.requests.get(id).filter(|request| request.stream && !request.is_closed)
        else {
            return;
        };
        let Some(client) = self.clients.get_mut(request.client) else { return };
        let (conn, nothing_unsent) = (client.conn, client.unsent == 0);
        if nothing_unsent {
            client.last_sent_at = now;
        }
        client.write(http::chunk(&piece), out);
        if nothing_unsent {
            self.arm_client_timer(conn);
        }
    }

    /// Sends the final answer of a request whose answer is complete.
    pub(crate) fn complete_request(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_open_mut(id) else { return };
        let (conn, stream, request_id) = (request.client, request.stream, request.request_id.clone());
        let mut bytes = Vec::new();
        request.message_writer.finish(&mut bytes);
        let tokens = request.message_writer.usage().output_tokens;
        self.metrics.answer_completed(request.class_name(), tokens);
        self.record_end(id, RequestEnd::Completed);
        if stream {
            if let Some(client) = self.clients.get_mut(conn) {
                let mut last = http::chunk(&bytes);
                last.extend_from_slice(http::LAST_CHUNK);
                client.write(last, out);
            }
            self.finish_client_answer(conn, out);
        } else {
            self.answer(conn, 200, &[("request-id", &request_id)], &bytes, out);
        }
        self.read_requests(conn, out);
    }

    /// Ends a request with an error: as an event if its stream has begun, else as an HTTP error.
    pub(crate) fn answer_with_error(
        &mut self, id: RequestId, error: &ApiError, retry_after: Option<Duration>, end: RequestEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_open_mut(id) else { return };
        let (conn, request_id) = (request.client, request.request_id.clone());
        let must_not_repeat = end == RequestEnd::Failed && request.must_not_repeat();
        if request.stream && request.streaming_attempt.is_some() {
            let mut bytes = Vec::new();
            request.message_writer.write_error(error, &request_id, &mut bytes);
            let mut last = http::chunk(&bytes);
            last.extend_from_slice(http::LAST_CHUNK);
            self.record_end(id, end);
            if let Some(client) = self.clients.get_mut(conn) {
                client.close_after_answer();
                client.write(last, out);
            }
            return self.finish_client_answer(conn, out);
        }
        self.record_end(id, end);
        let (seconds, milliseconds) = retry_after.map(retry_after_fields).unzip();
        let mut fields = vec![("request-id", request_id.as_str())];
        if let (Some(seconds), Some(milliseconds)) = (&seconds, &milliseconds) {
            fields.extend([("retry-after", seconds.as_str()), ("retry-after-ms", milliseconds.as_str())]);
        }
        match end {
            RequestEnd::Rejected => fields.push(("x-should-retry", "true")),
            _ if must_not_repeat => fields.push(("x-should-retry", "false")),
            _ => {}
        }
        let body = error.body(&request_id);
        self.answer(conn, error.kind.status(), &fields, body.as_bytes(), out);
        self.read_requests(conn, out);
    }

    /// Rejects a request as the decision module decided.
    pub(crate) fn reject_request(
        &mut self, id: RequestId, retry_after: Option<Duration>, over_quota: bool, out: &mut Vec<Output>,
    ) {
        let error = if over_quota {
            ApiError::new(ErrorKind::RateLimit, "your share is used up and the fleet is busy")
        } else {
            ApiError::new(ErrorKind::Overloaded, "Overloaded")
        };
        if let Some(request) = self.requests.get_open(id) {
            let reason = match request.attempts.is_empty() {
                false => RejectionReason::AttemptsFailed,
                true if over_quota => RejectionReason::OverQuota,
                true => RejectionReason::Admission,
            };
            self.metrics.request_rejected(request.class_name(), reason);
        }
        self.answer_with_error(id, &error, retry_after, RequestEnd::Rejected, out);
    }

    /// Fails a request as the decision module decided: with a timeout error if its client's timeout is near.
    pub(crate) fn fail_request(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(id) else { return };
        let margin = self.settings.decisions.tick * 4;
        let error = if self.now + margin >= request.deadline {
            ApiError::new(ErrorKind::Timeout, "no answer began in the time that this request has")
        } else {
            ApiError::new(ErrorKind::Api, "the request failed and may have run")
        };
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
    }

    /// Ends a request whose client does not wait longer for a complete answer.
    pub(crate) fn complete_answer_timed_out(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_open(id) else { return };
        let conn = request.streaming_attempt.and_then(|attempt| request.attempts[attempt].conn);
        let error =
            ApiError::new(ErrorKind::Timeout, "the answer was not whole in the time that this request has");
        let generation = request.generation;
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
        // Reported to the decision module as a disconnect: no attempt follows, and held state is released.
        self.queue_event(generation, Event::ClientDisconnected(id));
        if let Some(conn) = conn {
            self.abort_connection(conn, out, Outcome::Cancelled);
        }
    }

    /// Ends requests that still run at the shutdown's deadline, and closes all clients.
    pub(crate) fn end_at_shutdown_deadline(&mut self, out: &mut Vec<Output>) {
        for id in self.requests.open_ids() {
            let error = ApiError::new(ErrorKind::Api, "this router has stopped");
            self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
            let Some(request) = self.requests.get(id) else { continue };
            let (generation, conn) = (
                request.generation,
                request.streaming_attempt.and_then(|attempt| request.attempts[attempt].conn),
            );
            // Reported to the decision module as a disconnect: it cancels attempts and releases held state.
            self.queue_event(generation, Event::ClientDisconnected(id));
            if let Some(conn) = conn {
                self.abort_connection(conn, out, Outcome::Cancelled);
            }
        }
        for conn in self.clients.ids() {
            out.push(Output::CloseWhenSent(conn));
            self.clients.remove(conn, &mut self.timers);
        }
    }
}
