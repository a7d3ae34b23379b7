//! The answers to requests that were admitted: streams, and the one final answer of each.

use crate::gateway::Gateway;
use crate::metrics::RejectionReason;
use crate::request::{RequestEnd, POLICY};
use crate::serve::retry_after;
use slipreel::{Event, Outcome, RequestId};
use slipreel_protocol::http;
use slipreel_protocol::messages::{ApiError, ErrorKind};
use slipreel_state_machine::Output;
use std::time::Duration;

impl Gateway {
    pub(crate) fn begin_stream(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else { return };
        let Some(client) = self.clients.get_mut(request.client) else { return };
        client.last_sent_at = now;
        let epoch = request.epoch.map(|e| e.to_string());
        let mut fields = vec![("request-id", request.request_id.as_str())];
        fields.extend(epoch.as_ref().map(|e| (POLICY, e.as_str())));
        client.begin_stream(&fields, out);
        let conn = client.conn;
        self.arm_client_timer(conn);
    }

    /// Passes a piece of a stream on. A complete answer keeps it.
    pub(crate) fn write_stream(&mut self, id: RequestId, piece: &mut Vec<u8>, out: &mut Vec<Output>) {
        let piece = std::mem::take(piece);
        let now = self.now;
        let Some(request) = self.requests.get(id).filter(|c| c.stream && !c.is_closed) else { return };
        let Some(client) = self.clients.get_mut(request.client) else { return };
        let (conn, idle) = (client.conn, client.unsent == 0);
        if idle {
            client.last_sent_at = now;
        }
        client.write(http::chunk(&piece), out);
        if idle {
            self.arm_client_timer(conn);
        }
    }

    /// The final answer of a request whose answer is complete.
    pub(crate) fn complete_request(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_open_mut(id) else { return };
        let (conn, stream, request_id) = (request.client, request.stream, request.request_id.clone());
        let mut bytes = Vec::new();
        request.writer.finish(&mut bytes);
        let tokens = request.writer.used().output_tokens;
        self.metrics.answered(request.class_name(), tokens);
        self.record_end(id, RequestEnd::Completed);
        if stream {
            if let Some(client) = self.clients.get_mut(conn) {
                let mut last = http::chunk(&bytes);
                last.extend_from_slice(http::LAST_CHUNK);
                client.write(last, out);
            }
            self.client_done(conn, out);
        } else {
            self.answer(conn, 200, &[("request-id", &request_id)], &bytes, out);
        }
        self.read_requests(conn, out);
    }

    /// The final answer of a request that gets no answer of an engine.
    pub(crate) fn answer_with_error(
        &mut self, id: RequestId, error: &ApiError, retry_after_time: Option<Duration>, end: RequestEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.get_open_mut(id) else { return };
        let (conn, request_id) = (request.client, request.request_id.clone());
        let must_not_repeat = end == RequestEnd::Failed && request.must_not_repeat();
        if request.stream && request.streaming_attempt.is_some() {
            let mut bytes = Vec::new();
            request.writer.error(error, &request_id, &mut bytes);
            let mut last = http::chunk(&bytes);
            last.extend_from_slice(http::LAST_CHUNK);
            self.record_end(id, end);
            if let Some(client) = self.clients.get_mut(conn) {
                client.close_after_answer();
                client.write(last, out);
            }
            return self.client_done(conn, out);
        }
        self.record_end(id, end);
        let (s, ms) = retry_after_time.map(retry_after).unzip();
        let mut fields = vec![("request-id", request_id.as_str())];
        if let (Some(s), Some(ms)) = (&s, &ms) {
            fields.extend([("retry-after", s.as_str()), ("retry-after-ms", ms.as_str())]);
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

    /// The decision module rejects a request.
    pub(crate) fn reject_request(
        &mut self, id: RequestId, retry_after_time: Option<Duration>, over_share: bool, out: &mut Vec<Output>,
    ) {
        let error = if over_share {
            ApiError::new(ErrorKind::RateLimit, "your share is used up and the fleet is busy")
        } else {
            ApiError::new(ErrorKind::Overloaded, "Overloaded")
        };
        if let Some(request) = self.requests.get_open(id) {
            let why = match request.attempts.is_empty() {
                false => RejectionReason::AttemptsFailed,
                true if over_share => RejectionReason::OverQuota,
                true => RejectionReason::Admission,
            };
            self.metrics.refused(request.class_name(), why);
        }
        self.answer_with_error(id, &error, retry_after_time, RequestEnd::Rejected, out);
    }

    /// The decision module fails a request: in time if its client still waits a while, else as a timeout.
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

    /// A client that waits for a complete answer gives up now.
    pub(crate) fn complete_answer_timed_out(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_open(id) else { return };
        let conn = request.streaming_attempt.and_then(|a| request.attempts[a].conn);
        let error =
            ApiError::new(ErrorKind::Timeout, "the answer was not whole in the time that this request has");
        let generation = request.generation;
        self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
        // To the decision module its client is as good as gone: no attempt follows, and what is held is released.
        self.queue_event(generation, Event::ClientDisconnected(id));
        if let Some(conn) = conn {
            self.abort_connection(conn, out, Outcome::Cancelled);
        }
    }

    /// What still runs some time after a stop ends now.
    pub(crate) fn end_at_shutdown_deadline(&mut self, out: &mut Vec<Output>) {
        for id in self.requests.open_ids() {
            let error = ApiError::new(ErrorKind::Api, "this router has stopped");
            self.answer_with_error(id, &error, None, RequestEnd::Failed, out);
            let Some(request) = self.requests.get(id) else { continue };
            let (generation, conn) =
                (request.generation, request.streaming_attempt.and_then(|a| request.attempts[a].conn));
            // For the decision module the client is as good as gone: it cancels and releases.
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
