//! Tests how the gateway handles connections. The tests pass it inputs directly, without sockets, clients or
//! engines.

use slipreel_gateway::settings::*;
use slipreel_gateway::{Gateway, GatewaySettings};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::sync::Arc;
use std::time::Duration;

const CLIENT_LISTENER: ListenerId = ListenerId(0);
const CLIENT: ConnId = ConnId(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings() -> GatewaySettings {
    let defaults = class_defaults();
    let class = slipreel::Class {
        latency_objective: defaults.latency_objective,
        latency_objective_per_1000_tokens: defaults.latency_objective_per_1000_tokens,
        priority_weight: 1.0,
        idempotency: slipreel::Idempotency::Idempotent,
        streams: true,
    };
    let engine = |port: u16, role| EngineSettings {
        name: format!("e{port}"),
        addr: ([127, 0, 0, 1], port).into(),
        role,
        zone: "a".into(),
        cell: "a".into(),
        state: slipreel::EngineState::Ready,
    };
    GatewaySettings {
        decisions: slipreel::Settings { classes: vec![class], ..default_decision_settings() },
        classes: vec![ClassSettings { name: "chat".into(), client_timeout: defaults.client_timeout }],
        models: vec![ModelSettings { name: "m".into(), class: 0, served_as: "engine-m".into() }],
        tenants: Vec::new(),
        engines: vec![engine(1, slipreel::Role::Prefill), engine(2, slipreel::Role::Decode)],
        bounds: Bounds { requests: 3, body: 10_000, unsent: 2_000, ..Bounds::default() },
        drained_engines: Vec::new(),
        roles_frozen: false,
        zone: "a".into(),
        name: "r".into(),
    }
}

/// Passes inputs to a gateway, with its own clock, and keeps the outputs until a test takes them.
struct Driver {
    gateway: Gateway,
    now: Duration,
    out: Vec<Output>,
}

impl Driver {
    fn new(settings: GatewaySettings) -> Self {
        let now = Duration::from_secs(1000);
        Driver { gateway: Gateway::new(Arc::new(settings), 5, now, now), now, out: Vec::new() }
    }

    /// Handles one input. Returns its outputs and also adds them to `out`.
    fn handle(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, input, &mut out);
        self.out.extend(out.iter().cloned());
        out
    }

    /// Advances the clock and wakes the gateway at the times that it asks for.
    fn advance(&mut self, time: Duration) -> Vec<Output> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.gateway.wake_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.handle(Input::Wake));
        }
        self.now = end;
        out
    }

    /// Sends bytes on a new connection of the client and returns what is written to it.
    fn send_request(&mut self, bytes: &str) -> String {
        self.handle(Input::Accepted(CLIENT, CLIENT_LISTENER));
        let out = self.handle(Input::Data(CLIENT, bytes.as_bytes()));
        written_text(&out, CLIENT)
    }
}

/// The text written to a connection.
fn written_text(out: &[Output], conn: ConnId) -> String {
    let written = out.iter().filter_map(|o| match o {
        Output::Write(c, bytes) if *c == conn => Some(String::from_utf8_lossy(bytes).into_owned()),
        _ => None,
    });
    written.collect()
}

fn post(body: &str) -> String {
    format!("POST /v1/messages HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

const BODY: &str =
    r#"{"model":"m","max_tokens":5,"stream":true,"messages":[{"role":"user","content":"hello"}]}"#;

/// The connections that were opened, in order, each with the engine's port.
fn opened_connections(out: &[Output]) -> Vec<(ConnId, u16)> {
    out.iter()
        .filter_map(|o| if let Output::Connect(c, a) = o { Some((*c, a.port())) } else { None })
        .collect()
}

#[test]
fn unknown_paths_wrong_methods_and_malformed_requests_get_their_status() {
    for (request, status) in [
        ("GET /nope HTTP/1.1\r\nhost: a\r\n\r\n", "404"),
        ("GET /v1/messages HTTP/1.1\r\nhost: a\r\n\r\n", "405"),
        ("GET /v1/models/x HTTP/1.1\r\nhost: a\r\n\r\n", "404"),
        ("GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n", "200"),
        ("GET /health HTTP/1.1\r\nhost: a\r\n\r\n", "200"),
        ("BAD\r\n\r\n", "400"),
        ("GET / HTTP/3.0\r\nhost: a\r\n\r\n", "505"),
    ] {
        let answer = Driver::new(settings()).send_request(request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{request:?}: {answer}");
    }
}

#[test]
fn a_body_that_is_too_large_is_rejected_before_it_arrives() {
    let mut driver = Driver::new(settings());
    let answer =
        driver.send_request("POST /v1/messages HTTP/1.1\r\nhost: a\r\ncontent-length: 104857600\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 413 ") && answer.contains("request_too_large"), "{answer}");
    assert!(driver.out.contains(&Output::CloseWhenSent(CLIENT)));
}

#[test]
fn expect_100_continue_is_answered_once() {
    let mut driver = Driver::new(settings());
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
        BODY.len()
    );
    assert_eq!(driver.send_request(&head), "HTTP/1.1 100 Continue\r\n\r\n");
    let out = driver.handle(Input::Data(CLIENT, BODY.as_bytes()));
    assert!(!opened_connections(&out).is_empty(), "{out:?}");
}

#[test]
fn pipelined_requests_are_answered_in_order_and_bounded() {
    let mut driver = Driver::new(settings());
    let two = "GET /health HTTP/1.1\r\nhost: a\r\n\r\nGET /nope HTTP/1.1\r\nhost: a\r\n\r\n";
    let answer = driver.send_request(two);
    assert!(answer.find("200 OK") < answer.find("404 Not Found"), "{answer}");
    driver.handle(Input::Data(CLIENT, post(BODY).as_bytes()));
    let flood = "GET /health HTTP/1.1\r\nhost: a\r\n\r\n".repeat(4000);
    assert!(driver.handle(Input::Data(CLIENT, flood.as_bytes())).contains(&Output::Pause(CLIENT)));
}

#[test]
fn slow_heads_and_idle_connections_time_out() {
    let mut driver = Driver::new(settings());
    driver.send_request("GET /health HT");
    let out = driver.advance(Bounds::default().receive + ms(5));
    assert!(
        written_text(&out, CLIENT).starts_with("HTTP/1.1 408 ")
            && out.contains(&Output::CloseWhenSent(CLIENT)),
        "{out:?}"
    );
    let mut driver = Driver::new(settings());
    driver.handle(Input::Accepted(CLIENT, CLIENT_LISTENER));
    assert!(driver.advance(Bounds::default().client_idle - ms(5)).is_empty());
    assert!(driver.advance(ms(10)).contains(&Output::CloseWhenSent(CLIENT)));
    assert_eq!(driver.gateway.held_state().client_connections, 0);
}

#[test]
fn requests_over_the_limit_are_rejected_with_retry_after() {
    let mut driver = Driver::new(settings());
    for n in 1..=4 {
        driver.handle(Input::Accepted(ConnId(n), CLIENT_LISTENER));
        let out = driver.handle(Input::Data(ConnId(n), post(BODY).as_bytes()));
        let answer = written_text(&out, ConnId(n));
        let is_rejected = answer.starts_with("HTTP/1.1 529 ")
            && answer.contains("retry-after: 1\r\n")
            && answer.contains("x-should-retry: true");
        assert_eq!(is_rejected, n == 4, "{n}: {answer}");
    }
}

#[test]
fn attempts_without_a_descriptor_count_as_not_sent() {
    let mut driver = Driver::new(settings());
    driver.send_request(&post(BODY));
    let mut answer = String::new();
    for _ in 0..40 {
        let out = std::mem::take(&mut driver.out);
        for (conn, _) in opened_connections(&out) {
            driver.handle(Input::Lost(conn, ConnectionLoss::Exhausted));
        }
        driver.advance(ms(50));
        answer.push_str(&written_text(&driver.out, CLIENT));
    }
    assert!(answer.starts_with("HTTP/1.1 529 ") || answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert_eq!(driver.gateway.held_state().requests, 0);
    assert!(
        !driver.out.iter().any(|o| matches!(o, Output::Log(l) if l.contains("ejected"))),
        "no engine is ejected for the router's lack of descriptors"
    );
}

/// Sends a request and answers for the engines: a complete prefill, then the head of the decode engine's
/// stream. Returns the connection of the decode attempt.
fn run_until_stream_head(driver: &mut Driver) -> ConnId {
    driver.send_request(&post(BODY));
    let prefill_answer = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{prefill_answer}", prefill_answer.len());
    let (prefill_conn, _) = opened_connections(&driver.out)[0];
    driver.handle(Input::Connected(prefill_conn));
    let out = driver.handle(Input::Data(prefill_conn, answer.as_bytes()));
    let (decode_conn, port) = opened_connections(&out)[0];
    assert_eq!(port, 2);
    let out = driver.handle(Input::Connected(decode_conn));
    assert!(written_text(&out, decode_conn).contains("\"kv_transfer_params\":{\"x\":1}"));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    driver.handle(Input::Data(decode_conn, head.as_bytes()));
    decode_conn
}

/// A stream event with a text of this many words.
fn token_event(words: usize) -> Vec<u8> {
    let event =
        format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n", "word ".repeat(words));
    slipreel_protocol::http::chunk(event.as_bytes())
}

#[test]
fn a_client_that_does_not_read_pauses_its_decode_engine_and_is_disconnected() {
    let mut driver = Driver::new(settings());
    let decode_conn = run_until_stream_head(&mut driver);
    let mut paused = false;
    for _ in 0..20 {
        paused |=
            driver.handle(Input::Data(decode_conn, &token_event(50))).contains(&Output::Pause(decode_conn));
        if paused {
            break;
        }
    }
    assert!(paused, "reading from the engine is paused");
    let written: usize =
        driver.out.iter().map(|o| if let Output::Write(CLIENT, b) = o { b.len() } else { 0 }).sum();
    assert!(written < 4_000, "{written} bytes wait");
    let out = driver.handle(Input::Sent(CLIENT, written));
    assert!(out.contains(&Output::Resume(decode_conn)), "{out:?}");
    while !driver.handle(Input::Data(decode_conn, &token_event(50))).contains(&Output::Pause(decode_conn)) {}
    let out = driver.advance(Bounds::default().stalled_peer + ms(10));
    assert!(out.contains(&Output::Abort(CLIENT)) && out.contains(&Output::Abort(decode_conn)), "{out:?}");
    assert_eq!(driver.gateway.held_state().requests, 0);
}

#[test]
fn an_interrupted_stream_ends_with_an_error_event() {
    let mut driver = Driver::new(settings());
    let decode_conn = run_until_stream_head(&mut driver);
    driver.handle(Input::Data(decode_conn, &token_event(1)));
    let out = driver.handle(Input::Lost(decode_conn, ConnectionLoss::Reset));
    let end = written_text(&out, CLIENT);
    assert!(
        end.contains("event: error\n") && end.ends_with("0\r\n\r\n") && !end.contains("message_stop"),
        "{end}"
    );
}

/// Guards against a stall timeout that any byte of an engine restarts: the client of a stream that goes on
/// without output waited for as long as the engine sent something.
#[test]
fn a_stream_that_continues_without_output_is_aborted() {
    let comment = slipreel_protocol::http::chunk(b": working\n\n");
    let empty = slipreel_protocol::http::chunk(b"data: {\"choices\":[]}\n\n");
    for (name, first, piece) in [
        ("a chunk without an end", &b"8000\r\ndata: "[..], &b"a"[..]),
        ("comments", &b""[..], &comment[..]),
        ("events without output", &b""[..], &empty[..]),
    ] {
        let mut driver = Driver::new(settings());
        let decode_conn = run_until_stream_head(&mut driver);
        driver.handle(Input::Data(decode_conn, &token_event(1)));
        let last_output = driver.now;
        driver.handle(Input::Data(decode_conn, first));
        while !driver.out.contains(&Output::Abort(decode_conn)) {
            driver.advance(ms(1_000));
            driver.handle(Input::Data(decode_conn, piece));
            let waited = driver.now - last_output;
            assert!(waited <= Bounds::default().silent_stream + ms(1_000), "{name}: {waited:?}");
        }
        assert!(written_text(&driver.out, CLIENT).contains("event: error\n"), "{name}");
        assert_eq!(driver.gateway.held_state().requests, 0, "{name}");
    }
}

#[test]
fn a_stream_with_slow_output_is_not_aborted() {
    let mut driver = Driver::new(settings());
    let decode_conn = run_until_stream_head(&mut driver);
    for _ in 0..5 {
        driver.handle(Input::Data(decode_conn, &token_event(1)));
        let written: usize =
            driver.out.drain(..).map(|o| if let Output::Write(CLIENT, b) = o { b.len() } else { 0 }).sum();
        driver.handle(Input::Sent(CLIENT, written));
        driver.advance(Bounds::default().silent_stream - ms(1));
    }
    assert!(!driver.out.contains(&Output::Abort(decode_conn)));
}

#[test]
fn a_shutdown_finishes_requests_and_accepts_no_new_ones() {
    let mut driver = Driver::new(settings());
    let decode_conn = run_until_stream_head(&mut driver);
    driver.handle(Input::Data(decode_conn, &token_event(1)));
    driver.handle(Input::Accepted(ConnId(2), CLIENT_LISTENER));
    let out = driver.handle(Input::Stop);
    assert!(out.contains(&Output::CloseWhenSent(ConnId(2))) && !out.contains(&Output::Stopped));
    assert!(driver.handle(Input::Accepted(ConnId(3), CLIENT_LISTENER)).contains(&Output::Abort(ConnId(3))));
    let end = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
    let mut bytes = slipreel_protocol::http::chunk(end.as_bytes());
    bytes.extend_from_slice(b"0\r\n\r\n");
    let out = driver.handle(Input::Data(decode_conn, &bytes));
    assert!(written_text(&out, CLIENT).contains("message_stop") && out.contains(&Output::Stopped), "{out:?}");
}

#[test]
fn a_shutdown_ends_slow_requests_at_its_deadline() {
    let mut driver = Driver::new(settings());
    let decode_conn = run_until_stream_head(&mut driver);
    driver.handle(Input::Data(decode_conn, &token_event(1)));
    driver.handle(Input::Stop);
    let mut out = Vec::new();
    for _ in 0..40 {
        out.extend(driver.advance(ms(1_000)));
        if out.contains(&Output::Stopped) {
            break;
        }
        // The engine is alive and slow: it sends a token each second.
        driver.handle(Input::Data(decode_conn, &token_event(1)));
        let unsent: usize =
            driver.out.drain(..).map(|o| if let Output::Write(CLIENT, b) = o { b.len() } else { 0 }).sum();
        driver.handle(Input::Sent(CLIENT, unsent));
    }
    assert!(written_text(&out, CLIENT).contains("event: error"), "{out:?}");
    assert!(out.contains(&Output::Stopped));
}

/// The metrics on the operators' port.
fn operator_metrics(driver: &mut Driver) -> String {
    driver.handle(Input::Accepted(ConnId(2), ListenerId(1)));
    let out = driver.handle(Input::Data(ConnId(2), b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"));
    written_text(&out, ConnId(2))
}

#[test]
fn requests_and_latencies_are_published_on_the_operators_port_only() {
    let mut driver = Driver::new(settings());
    let decode_conn = run_until_stream_head(&mut driver);
    driver.advance(ms(40));
    driver.handle(Input::Data(decode_conn, &token_event(1)));
    let text = operator_metrics(&mut driver);
    assert!(text.contains("content-type: application/openmetrics-text"), "{text}");
    for line in [
        "class_asked_total{class=\"chat\"} 1",
        "class_read_tokens_total{class=\"chat\"} 9",
        "class_answers_total{class=\"chat\"} 0",
        "attempts_total{stage=\"read\",outcome=\"read\"} 1",
        "first_token_seconds_count{class=\"chat\"} 1",
        "first_token_seconds_bucket{le=\"0.032\",class=\"chat\"} 0",
        "first_token_seconds_bucket{le=\"0.064\",class=\"chat\"} 1",
        "engines{role=\"read\",state=\"ready\"} 1",
        "open{what=\"requests\"} 1",
    ] {
        assert!(text.contains(&format!("slipreel_{line}\n")), "{line}: {text}");
    }
    assert!(text.contains("# HELP slipreel_attempts ") && text.contains("# TYPE slipreel_attempts counter"));
    let out = driver.send_request("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(out.contains("404"), "metrics are not on the clients' port: {out}");
    let out = driver.handle(Input::Data(ConnId(2), b"GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert!(
        written_text(&out, ConnId(2)).starts_with("HTTP/1.1 404"),
        "clients' paths are not on the operators' port"
    );
}

#[test]
fn rejections_are_published_by_reason() {
    let mut settings = settings();
    settings.bounds.requests = 1;
    let mut driver = Driver::new(settings);
    driver.send_request(&post(BODY));
    driver.handle(Input::Accepted(ConnId(3), CLIENT_LISTENER));
    driver.handle(Input::Data(ConnId(3), post(BODY).as_bytes()));
    let text = operator_metrics(&mut driver);
    assert!(text.contains("slipreel_refusals_total{class=\"chat\",reason=\"bound\"} 1\n"), "{text}");
}

/// A release that can't be sent to the prefill engine is retried until the engine acknowledges it.
#[test]
fn a_lost_release_is_sent_again() {
    let mut driver = Driver::new(settings());
    driver.send_request(&post(BODY));
    let prefill_answer = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{prefill_answer}",
        prefill_answer.len()
    );
    let (prefill_conn, _) = opened_connections(&driver.out)[0];
    driver.handle(Input::Connected(prefill_conn));
    driver.handle(Input::Data(prefill_conn, answer.as_bytes()));
    // The client disconnects while the prefill engine holds the state. For a second that engine can't be
    // reached.
    driver.out.clear();
    driver.handle(Input::Lost(CLIENT, ConnectionLoss::Reset));
    let mut release_connections = 0;
    for _ in 0..5 {
        let opened: Vec<(ConnId, u16)> = opened_connections(&std::mem::take(&mut driver.out));
        release_connections += opened.iter().filter(|(_, port)| *port == 1).count();
        driver.advance(ms(300));
    }
    assert!(release_connections >= 3, "{release_connections} connections");
    // Then a connection is established, and the prefill engine receives the release.
    let (conn, _) =
        *opened_connections(&driver.out).iter().rfind(|(_, port)| *port == 1).expect("one more connection");
    let release = written_text(&driver.handle(Input::Connected(conn)), conn);
    assert!(release.starts_with("POST /abort_requests ") && release.contains("-0\"]"), "{release}");
    driver.handle(Input::Data(conn, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"));
    driver.out.clear();
    driver.advance(ms(1_000));
    assert_eq!(opened_connections(&driver.out), [], "the release was acknowledged");
}

/// While a prefill engine holds state, an idle connection to it is kept for the release, which then need not
/// wait until a new connection is established.
#[test]
fn an_idle_connection_is_kept_for_releases() {
    let mut driver = Driver::new(settings());
    driver.send_request(&post(BODY));
    let prefill_answer = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{prefill_answer}", prefill_answer.len());
    let (prefill_conn, _) = opened_connections(&driver.out)[0];
    driver.handle(Input::Connected(prefill_conn));
    driver.handle(Input::Data(prefill_conn, answer.as_bytes()));
    // Meanwhile another request is prefilled at the same engine, on its own connection, which is not
    // established.
    let other = ConnId(77);
    driver.handle(Input::Accepted(other, CLIENT_LISTENER));
    let out = driver.handle(Input::Data(other, post(BODY).as_bytes()));
    assert_eq!(opened_connections(&out).iter().filter(|(_, port)| *port == 1).count(), 1, "{out:?}");
    let out = driver.handle(Input::Lost(CLIENT, ConnectionLoss::Reset));
    assert!(written_text(&out, prefill_conn).starts_with("POST /abort_requests "), "{out:?}");
}

const STREAM_END: &str =
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

/// Completes a first request and the prefill of a second one. Returns the driver, the idle connection to the
/// decode engine, and the outputs of the second prefill's answer.
fn run_until_second_decode(idempotency: slipreel::Idempotency) -> (Driver, ConnId, Vec<Output>) {
    let mut settings = settings();
    settings.decisions.classes[0].idempotency = idempotency;
    let mut driver = Driver::new(settings);
    let decode_conn = run_until_stream_head(&mut driver);
    driver.handle(Input::Data(decode_conn, &token_event(1)));
    let mut end = slipreel_protocol::http::chunk(STREAM_END.as_bytes());
    end.extend_from_slice(b"0\r\n\r\n");
    driver.handle(Input::Data(decode_conn, &end));
    driver.advance(ms(300));
    let out = driver.handle(Input::Data(CLIENT, post(BODY).as_bytes()));
    // The idle connection to the prefill engine carries the release of the first request.
    let (prefill_conn, port) = opened_connections(&out)[0];
    assert_eq!(port, 1);
    driver.handle(Input::Connected(prefill_conn));
    let prefill_answer = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{prefill_answer}", prefill_answer.len());
    let out = driver.handle(Input::Data(prefill_conn, answer.as_bytes()));
    (driver, decode_conn, out)
}

/// A rejection proves that nothing ran only if it can't be a late answer to an earlier exchange on the same
/// connection.
#[test]
fn a_decode_attempt_that_must_not_be_repeated_uses_a_new_connection() {
    let with_key =
        slipreel::Idempotency::WithKey { scope: slipreel::DeduplicationScope::Cell, window: ms(5_000) };
    for (idempotency, opens_connection) in [
        (slipreel::Idempotency::Idempotent, false),
        (slipreel::Idempotency::NotIdempotent, true),
        (with_key, true),
    ] {
        let (_, decode_conn, out) = run_until_second_decode(idempotency);
        assert_eq!(opened_connections(&out).len(), usize::from(opens_connection), "{idempotency:?}: {out:?}");
        assert_eq!(written_text(&out, decode_conn).is_empty(), opens_connection, "{idempotency:?}");
    }
}

#[test]
fn a_reused_connection_on_which_an_attempt_is_rejected_is_closed() {
    let (mut driver, decode_conn, _) = run_until_second_decode(slipreel::Idempotency::Idempotent);
    let error_body = r#"{"error":{"type":"overloaded_error","message":"full"}}"#;
    let error_body = error_body.replace("overloaded_error", slipreel_protocol::engine::ENGINE_FULL);
    let answer = format!("HTTP/1.1 503 Busy\r\ncontent-length: {}\r\n\r\n{error_body}", error_body.len());
    let out = driver.handle(Input::Data(decode_conn, answer.as_bytes()));
    assert!(out.contains(&Output::Abort(decode_conn)), "the attempt may still run there: {out:?}");
}

#[test]
fn no_attempt_is_sent_for_a_client_that_left_while_the_connection_was_opened() {
    let mut settings = settings();
    settings.decisions.limits.cancellation = false;
    let mut driver = Driver::new(settings);
    driver.send_request(&post(BODY));
    let (prefill_conn, _) = opened_connections(&driver.out)[0];
    driver.handle(Input::Lost(CLIENT, ConnectionLoss::Reset));
    let out = driver.handle(Input::Connected(prefill_conn));
    assert_eq!(written_text(&out, prefill_conn), "");
}
