//! The answers of an engine: completed prefills, streams token by token, whole answers, and malformed ones.

use super::{Engine, Garbage};
use crate::mark;
use serde_json::{json, Value};
use slipreel_invariants::Seen;
use slipreel_protocol::engine::write_orca;
use slipreel_protocol::http::{self, Framing};
use slipreel_protocol::sse;
use slipreel_state_machine::{ConnId, Output};
use std::time::Duration;

impl Engine {
    /// Holds the state of a prefilled request and answers with where to fetch it.
    pub(super) fn finish_prefill(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let Some(request) = self.scheduler.remove(id) else { return };
        if self.faults.answers_lost {
            // The request has run and is never answered; no state is held.
            self.note_over(now, &request);
            return;
        }
        let state = self.scheduler.hold_state(&request, now);
        if let Some(what) = request.attempt() {
            self.note(now, Seen::StateHeld { engine: self.spec.name.clone(), attempt: what, state });
        }
        if let Some(garbage) = self.faults.garbage.filter(|g| g.before_head()) {
            let conn = request.conn;
            self.note_over(now, &request);
            if let Some(c) = self.conns.get_mut(&conn) {
                c.active_request = None;
            }
            return self.send_garbage(now, conn, garbage, out);
        }
        let body = json!({
            "id": request.request_id, "object": "chat.completion",
            "choices": [{"index": 0, "finish_reason": "length",
                "message": {"role": "assistant", "content": ""}}],
            "usage": request.usage(),
            "kv_transfer_params": {"do_remote_prefill": true, "do_remote_decode": false,
                "remote_engine_id": self.spec.name, "remote_block_ids": [state],
                "remote_host": self.spec.addr.ip().to_string(), "remote_port": self.spec.addr.port()},
        });
        let load = write_orca(&self.load(now));
        self.write_json(request.conn, &body, &load, out);
        self.finish_exchange(now, &request, out);
    }

    /// Handles the next token of a request in decode.
    pub(super) fn emit_token(&mut self, now: Duration, id: u64, out: &mut Vec<Output>) {
        let load = write_orca(&self.load(now));
        let Some(request) = self.scheduler.requests.get_mut(&id) else { return };
        let (conn, n, number) = (request.conn, request.emitted, request.attempt().map_or(0, |w| w.request));
        let begins = !std::mem::replace(&mut request.has_begun, true);
        request.emitted += 1;
        let last = request.emitted >= request.length;
        // Once the beginning of an answer is lost, the rest is too.
        request.is_answer_lost |= self.faults.answers_lost;
        if request.is_answer_lost {
            if last {
                if let Some(request) = self.scheduler.remove(id) {
                    self.note_over(now, &request);
                }
            }
            return;
        }
        let (name, max_tokens) = (request.request_id.clone(), request.max_tokens);
        if !request.stream {
            let garbage = self.faults.garbage.filter(|g| g.before_head());
            return match garbage {
                Some(garbage) if last => self.send_garbage(now, conn, garbage, out),
                _ if last => self.send_whole_answer(now, id, &load, out),
                _ => {}
            };
        }
        let mut bytes = Vec::new();
        if begins {
            if let Some(garbage) = self.faults.garbage.filter(|g| g.before_head()) {
                return self.send_garbage(now, conn, garbage, out);
            }
            let fields = [("content-type", "text/event-stream"), ("endpoint-load-metrics", load.as_str())];
            bytes = http::response_head(200, &fields, Framing::Chunked);
        }
        let chunk = |delta: Value, finish_reason: Value| {
            json!({
                "id": name, "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
            })
        };
        let mut events = Vec::new();
        sse::write(
            "",
            &chunk(json!({"content": mark::token(number, n)}), Value::Null).to_string(),
            &mut events,
        );
        if last {
            let finish_reason = if request.length == max_tokens { "length" } else { "stop" };
            sse::write("", &chunk(json!({}), finish_reason.into()).to_string(), &mut events);
            let usage = json!({"id": name, "object": "chat.completion.chunk", "choices": [],
                "usage": request.usage()});
            if self.faults.garbage == Some(Garbage::BreaksBeforeMark) {
                bytes.extend_from_slice(&http::chunk(&events));
                self.write(conn, bytes, out);
                return self.send_garbage(now, conn, Garbage::BreaksBeforeMark, out);
            }
            sse::write("", &usage.to_string(), &mut events);
            sse::write("", "[DONE]", &mut events);
        }
        if let Some(garbage) = self.faults.garbage.filter(|g| g.replaces_token(begins, last)) {
            self.write(conn, bytes, out);
            return self.send_garbage(now, conn, garbage, out);
        }
        bytes.extend_from_slice(&http::chunk(&events));
        if last {
            bytes.extend_from_slice(http::LAST_CHUNK);
        }
        self.write(conn, bytes, out);
        if last {
            if let Some(request) = self.scheduler.remove(id) {
                self.finish_exchange(now, &request, out);
            }
        }
    }

    /// Sends the answer of a request that does not stream.
    fn send_whole_answer(&mut self, now: Duration, id: u64, load: &str, out: &mut Vec<Output>) {
        let Some(request) = self.scheduler.remove(id) else { return };
        let number = request.attempt().map_or(0, |w| w.request);
        let text: String = (0..request.emitted).map(|n| mark::token(number, n)).collect();
        let finish_reason = if request.length == request.max_tokens { "length" } else { "stop" };
        let body = json!({
            "id": request.request_id, "object": "chat.completion",
            "choices": [{"index": 0, "finish_reason": finish_reason,
                "message": {"role": "assistant", "content": text}}],
            "usage": request.usage(),
        });
        self.write_json(request.conn, &body, load, out);
        self.finish_exchange(now, &request, out);
    }

    /// Sends a malformed answer and closes the connection, unless the fault leaves it open.
    fn send_garbage(&mut self, now: Duration, conn: ConnId, garbage: Garbage, out: &mut Vec<Output>) {
        self.write(conn, garbage.bytes(), out);
        if garbage.hangs() {
            return;
        }
        out.push(Output::CloseWhenSent(conn));
        self.connection_closed(now, conn, out);
    }

    /// Writes a successful answer with a body and a load report.
    fn write_json(&mut self, conn: ConnId, body: &Value, load: &str, out: &mut Vec<Output>) {
        let body = body.to_string();
        let fields = [("content-type", "application/json"), ("endpoint-load-metrics", load)];
        let mut bytes = http::response_head(200, &fields, Framing::Length(body.len()));
        bytes.extend_from_slice(body.as_bytes());
        self.write(conn, bytes, out);
    }
}
