//! The front fed by hand: what it does with connections when nothing else is there.

use slipreel_gateway::settings::*;
use slipreel_gateway::{Gateway, GatewaySettings};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::sync::Arc;
use std::time::Duration;

const CLIENTS: ListenerId = ListenerId(0);
const CLIENT: ConnId = ConnId(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings() -> GatewaySettings {
    let start = starting_class();
    let class = slipreel::Class {
        latency_objective: start.aim,
        latency_objective_per_1000_tokens: start.aim_per_1000,
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
        decisions: slipreel::Settings { classes: vec![class], ..starting_settings() },
        classes: vec![ClassSettings { name: "chat".into(), patience: start.patience }],
        models: vec![ModelSettings { name: "m".into(), class: 0, served_as: "engine-m".into() }],
        tenants: Vec::new(),
        engines: vec![engine(1, slipreel::Role::Prefill), engine(2, slipreel::Role::Decode)],
        bounds: Bounds { requests: 3, body: 10_000, unsent: 2_000, ..Bounds::default() },
        taken_out: Vec::new(),
        roles_frozen: false,
        zone: "a".into(),
        name: "r".into(),
    }
}

struct Host {
    gateway: Gateway,
    now: Duration,
    out: Vec<Output>,
}

impl Host {
    fn new(settings: GatewaySettings) -> Self {
        let now = Duration::from_secs(1000);
        Host { gateway: Gateway::new(Arc::new(settings), 5, now, now), now, out: Vec::new() }
    }

    fn tell(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, input, &mut out);
        self.out.extend(out.iter().cloned());
        out
    }

    /// Lets time pass, waking the gateway when it asks for it.
    fn pass(&mut self, time: Duration) -> Vec<Output> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.gateway.wake_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.tell(Input::Wake));
        }
        self.now = end;
        out
    }

    fn ask(&mut self, bytes: &str) -> String {
        self.tell(Input::Accepted(CLIENT, CLIENTS));
        let out = self.tell(Input::Data(CLIENT, bytes.as_bytes()));
        text(&out, CLIENT)
    }
}

fn text(out: &[Output], conn: ConnId) -> String {
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

/// The connections opened, in order.
fn connects(out: &[Output]) -> Vec<(ConnId, u16)> {
    out.iter()
        .filter_map(|o| if let Output::Connect(c, a) = o { Some((*c, a.port())) } else { None })
        .collect()
}

#[test]
fn paths_and_methods_that_are_not_there() {
    for (request, status) in [
        ("GET /nope HTTP/1.1\r\nhost: a\r\n\r\n", "404"),
        ("GET /v1/messages HTTP/1.1\r\nhost: a\r\n\r\n", "405"),
        ("GET /v1/models/x HTTP/1.1\r\nhost: a\r\n\r\n", "404"),
        ("GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n", "200"),
        ("GET /health HTTP/1.1\r\nhost: a\r\n\r\n", "200"),
        ("BAD\r\n\r\n", "400"),
        ("GET / HTTP/3.0\r\nhost: a\r\n\r\n", "505"),
    ] {
        let answer = Host::new(settings()).ask(request);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{request:?}: {answer}");
    }
}

#[test]
fn a_body_that_is_too_large_is_refused_before_it_comes() {
    let mut host = Host::new(settings());
    let answer = host.ask("POST /v1/messages HTTP/1.1\r\nhost: a\r\ncontent-length: 104857600\r\n\r\n");
    assert!(answer.starts_with("HTTP/1.1 413 ") && answer.contains("request_too_large"), "{answer}");
    assert!(host.out.contains(&Output::CloseWhenSent(CLIENT)));
}

#[test]
fn a_client_that_expects_continue_gets_it_once() {
    let mut host = Host::new(settings());
    let head = format!(
        "POST /v1/messages HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
        BODY.len()
    );
    assert_eq!(host.ask(&head), "HTTP/1.1 100 Continue\r\n\r\n");
    let out = host.tell(Input::Data(CLIENT, BODY.as_bytes()));
    assert!(!connects(&out).is_empty(), "{out:?}");
}

#[test]
fn pipelined_requests_are_answered_in_order_and_bounded() {
    let mut host = Host::new(settings());
    let two = "GET /health HTTP/1.1\r\nhost: a\r\n\r\nGET /nope HTTP/1.1\r\nhost: a\r\n\r\n";
    let answer = host.ask(two);
    assert!(answer.find("200 OK") < answer.find("404 Not Found"), "{answer}");
    host.tell(Input::Data(CLIENT, post(BODY).as_bytes()));
    let flood = "GET /health HTTP/1.1\r\nhost: a\r\n\r\n".repeat(4000);
    assert!(host.tell(Input::Data(CLIENT, flood.as_bytes())).contains(&Output::Pause(CLIENT)));
}

#[test]
fn slow_heads_and_idle_connections_end() {
    let mut host = Host::new(settings());
    host.ask("GET /health HT");
    let out = host.pass(Bounds::default().receive + ms(5));
    assert!(
        text(&out, CLIENT).starts_with("HTTP/1.1 408 ") && out.contains(&Output::CloseWhenSent(CLIENT)),
        "{out:?}"
    );
    let mut host = Host::new(settings());
    host.tell(Input::Accepted(CLIENT, CLIENTS));
    assert!(host.pass(Bounds::default().client_idle - ms(5)).is_empty());
    assert!(host.pass(ms(10)).contains(&Output::CloseWhenSent(CLIENT)));
    assert_eq!(host.gateway.held_state().client_connections, 0);
}

#[test]
fn requests_over_the_bound_are_turned_away_with_a_time() {
    let mut host = Host::new(settings());
    for n in 1..=4 {
        host.tell(Input::Accepted(ConnId(n), CLIENTS));
        let out = host.tell(Input::Data(ConnId(n), post(BODY).as_bytes()));
        let answer = text(&out, ConnId(n));
        let over = answer.starts_with("HTTP/1.1 529 ")
            && answer.contains("retry-after: 1\r\n")
            && answer.contains("x-should-retry: true");
        assert_eq!(over, n == 4, "{n}: {answer}");
    }
}

#[test]
fn no_descriptors_means_that_nothing_was_sent() {
    let mut host = Host::new(settings());
    host.ask(&post(BODY));
    let mut answer = String::new();
    for _ in 0..40 {
        let out = std::mem::take(&mut host.out);
        for (conn, _) in connects(&out) {
            host.tell(Input::Lost(conn, ConnectionLoss::Exhausted));
        }
        host.pass(ms(50));
        answer.push_str(&text(&host.out, CLIENT));
    }
    assert!(answer.starts_with("HTTP/1.1 529 ") || answer.starts_with("HTTP/1.1 504 "), "{answer}");
    assert_eq!(host.gateway.held_state().requests, 0);
    assert!(
        !host.out.iter().any(|o| matches!(o, Output::Log(l) if l.contains("ejected"))),
        "no engine is to blame"
    );
}

/// Plays reader and writer up to the first token; gives the writer's connection.
fn up_to_the_stream(host: &mut Host) -> ConnId {
    host.ask(&post(BODY));
    let read = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{read}", read.len());
    let (reader, _) = connects(&host.out)[0];
    host.tell(Input::Connected(reader));
    let out = host.tell(Input::Data(reader, answer.as_bytes()));
    let (writer, port) = connects(&out)[0];
    assert_eq!(port, 2);
    let out = host.tell(Input::Connected(writer));
    assert!(text(&out, writer).contains("\"kv_transfer_params\":{\"x\":1}"));
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    host.tell(Input::Data(writer, head.as_bytes()));
    writer
}

fn token(words: usize) -> Vec<u8> {
    let event =
        format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n", "word ".repeat(words));
    slipreel_protocol::http::chunk(event.as_bytes())
}

#[test]
fn a_client_that_takes_nothing_holds_its_writer_back_and_is_cut() {
    let mut host = Host::new(settings());
    let writer = up_to_the_stream(&mut host);
    let mut paused = false;
    for _ in 0..20 {
        paused |= host.tell(Input::Data(writer, &token(50))).contains(&Output::Pause(writer));
        if paused {
            break;
        }
    }
    assert!(paused, "back-pressure reaches the engine");
    let written: usize =
        host.out.iter().map(|o| if let Output::Write(CLIENT, b) = o { b.len() } else { 0 }).sum();
    assert!(written < 4_000, "{written} bytes wait");
    let out = host.tell(Input::Sent(CLIENT, written));
    assert!(out.contains(&Output::Resume(writer)), "{out:?}");
    while !host.tell(Input::Data(writer, &token(50))).contains(&Output::Pause(writer)) {}
    let out = host.pass(Bounds::default().stalled_peer + ms(10));
    assert!(out.contains(&Output::Abort(CLIENT)) && out.contains(&Output::Abort(writer)), "{out:?}");
    assert_eq!(host.gateway.held_state().requests, 0);
}

#[test]
fn a_stream_that_breaks_ends_with_an_error_event() {
    let mut host = Host::new(settings());
    let writer = up_to_the_stream(&mut host);
    host.tell(Input::Data(writer, &token(1)));
    let out = host.tell(Input::Lost(writer, ConnectionLoss::Reset));
    let end = text(&out, CLIENT);
    assert!(
        end.contains("event: error\n") && end.ends_with("0\r\n\r\n") && !end.contains("message_stop"),
        "{end}"
    );
}

#[test]
fn a_stop_ends_what_runs_and_takes_nothing_new() {
    let mut host = Host::new(settings());
    let writer = up_to_the_stream(&mut host);
    host.tell(Input::Data(writer, &token(1)));
    host.tell(Input::Accepted(ConnId(2), CLIENTS));
    let out = host.tell(Input::Stop);
    assert!(out.contains(&Output::CloseWhenSent(ConnId(2))) && !out.contains(&Output::Stopped));
    assert!(host.tell(Input::Accepted(ConnId(3), CLIENTS)).contains(&Output::Abort(ConnId(3))));
    let end = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
    let mut bytes = slipreel_protocol::http::chunk(end.as_bytes());
    bytes.extend_from_slice(b"0\r\n\r\n");
    let out = host.tell(Input::Data(writer, &bytes));
    assert!(text(&out, CLIENT).contains("message_stop") && out.contains(&Output::Stopped), "{out:?}");
}

#[test]
fn a_stop_gives_up_in_the_end() {
    let mut host = Host::new(settings());
    let writer = up_to_the_stream(&mut host);
    host.tell(Input::Data(writer, &token(1)));
    host.tell(Input::Stop);
    let mut out = Vec::new();
    for _ in 0..40 {
        out.extend(host.pass(ms(1_000)));
        if out.contains(&Output::Stopped) {
            break;
        }
        // The engine is alive and slow: it says a word each second.
        host.tell(Input::Data(writer, &token(1)));
        let unsent: usize =
            host.out.drain(..).map(|o| if let Output::Write(CLIENT, b) = o { b.len() } else { 0 }).sum();
        host.tell(Input::Sent(CLIENT, unsent));
    }
    assert!(text(&out, CLIENT).contains("event: error"), "{out:?}");
    assert!(out.contains(&Output::Stopped));
}

/// What operators get to see; metrics are not on the clients' port.
fn published(host: &mut Host) -> String {
    host.tell(Input::Accepted(ConnId(2), ListenerId(1)));
    let out = host.tell(Input::Data(ConnId(2), b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n"));
    text(&out, ConnId(2))
}

#[test]
fn what_was_asked_is_published_to_operators() {
    let mut host = Host::new(settings());
    let writer = up_to_the_stream(&mut host);
    host.pass(ms(40));
    host.tell(Input::Data(writer, &token(1)));
    let text = published(&mut host);
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
    let out = host.ask("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(out.contains("404"), "not on the port of the clients: {out}");
    let out = host.tell(Input::Data(ConnId(2), b"GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert!(self::text(&out, ConnId(2)).starts_with("HTTP/1.1 404"), "operators ask for nothing of clients");
}

#[test]
fn refusals_are_published_by_reason() {
    let mut settings = settings();
    settings.bounds.requests = 1;
    let mut host = Host::new(settings);
    host.ask(&post(BODY));
    host.tell(Input::Accepted(ConnId(3), CLIENTS));
    host.tell(Input::Data(ConnId(3), post(BODY).as_bytes()));
    let text = published(&mut host);
    assert!(text.contains("slipreel_refusals_total{class=\"chat\",reason=\"bound\"} 1\n"), "{text}");
}

/// A reader that can't be told to let go of state is told again, until it has heard.
#[test]
fn a_lost_word_to_let_go_is_said_again() {
    let mut host = Host::new(settings());
    host.ask(&post(BODY));
    let read = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{read}", read.len());
    let (reader, _) = connects(&host.out)[0];
    host.tell(Input::Connected(reader));
    host.tell(Input::Data(reader, answer.as_bytes()));
    // The client leaves while the state waits at the reader, whose links are cut for a second.
    host.out.clear();
    host.tell(Input::Lost(CLIENT, ConnectionLoss::Reset));
    let mut tries = 0;
    for _ in 0..5 {
        let opened: Vec<(ConnId, u16)> = connects(&std::mem::take(&mut host.out));
        tries += opened.iter().filter(|(_, port)| *port == 1).count();
        host.pass(ms(300));
    }
    assert!(tries >= 3, "{tries} tries");
    // Then one stands, and the reader hears.
    let (conn, _) = *connects(&host.out).iter().rfind(|(_, port)| *port == 1).expect("one more try");
    let said = text(&host.tell(Input::Connected(conn)), conn);
    assert!(said.starts_with("POST /abort_requests ") && said.contains("-0\"]"), "{said}");
    host.tell(Input::Data(conn, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"));
    host.out.clear();
    host.pass(ms(1_000));
    assert_eq!(connects(&host.out), [], "it has been heard");
}

/// While a reader holds state, a connection to it that stands is kept for the word to let go, which need not wait
/// until a new one has come to stand.
#[test]
fn a_connection_that_stands_is_kept_for_letting_go() {
    let mut host = Host::new(settings());
    host.ask(&post(BODY));
    let read = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{read}", read.len());
    let (reader, _) = connects(&host.out)[0];
    host.tell(Input::Connected(reader));
    host.tell(Input::Data(reader, answer.as_bytes()));
    // Another request is read at the same engine meanwhile, on a connection of its own that does not come to stand.
    let other = ConnId(77);
    host.tell(Input::Accepted(other, CLIENTS));
    let out = host.tell(Input::Data(other, post(BODY).as_bytes()));
    assert_eq!(connects(&out).iter().filter(|(_, port)| *port == 1).count(), 1, "{out:?}");
    let out = host.tell(Input::Lost(CLIENT, ConnectionLoss::Reset));
    assert!(text(&out, reader).starts_with("POST /abort_requests "), "{out:?}");
}

const STREAM_END: &str =
    "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

/// A first request is served whole, and a second one read: gives the host, the writer's kept connection, and what came of
/// the second read.
fn up_to_a_second_write(effect: slipreel::Idempotency) -> (Host, ConnId, Vec<Output>) {
    let mut settings = settings();
    settings.decisions.classes[0].idempotency = effect;
    let mut host = Host::new(settings);
    let writer = up_to_the_stream(&mut host);
    host.tell(Input::Data(writer, &token(1)));
    let mut end = slipreel_protocol::http::chunk(STREAM_END.as_bytes());
    end.extend_from_slice(b"0\r\n\r\n");
    host.tell(Input::Data(writer, &end));
    host.pass(ms(300));
    let out = host.tell(Input::Data(CLIENT, post(BODY).as_bytes()));
    // The reader's kept connection carries the release of the first.
    let (reader, port) = connects(&out)[0];
    assert_eq!(port, 1);
    host.tell(Input::Connected(reader));
    let read = r#"{"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":9}}"#;
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{read}", read.len());
    let out = host.tell(Input::Data(reader, answer.as_bytes()));
    (host, writer, out)
}

/// An answer which says that nothing ran is no proof where it may be one left over from the exchange before.
#[test]
fn a_write_that_must_not_be_repeated_goes_out_on_a_connection_that_carried_nothing_before() {
    let keyed =
        slipreel::Idempotency::WithKey { scope: slipreel::DeduplicationScope::Cell, window: ms(5_000) };
    for (effect, opens) in [
        (slipreel::Idempotency::Idempotent, false),
        (slipreel::Idempotency::NotIdempotent, true),
        (keyed, true),
    ] {
        let (_, writer, out) = up_to_a_second_write(effect);
        assert_eq!(connects(&out).len(), usize::from(opens), "{effect:?}: {out:?}");
        assert_eq!(text(&out, writer).is_empty(), opens, "{effect:?}");
    }
}

#[test]
fn a_kept_connection_that_turns_an_attempt_away_is_closed() {
    let (mut host, writer, _) = up_to_a_second_write(slipreel::Idempotency::Idempotent);
    let full = r#"{"error":{"type":"overloaded_error","message":"full"}}"#;
    let full = full.replace("overloaded_error", slipreel_protocol::engine::ENGINE_FULL);
    let answer = format!("HTTP/1.1 503 Busy\r\ncontent-length: {}\r\n\r\n{full}", full.len());
    let out = host.tell(Input::Data(writer, answer.as_bytes()));
    assert!(out.contains(&Output::Abort(writer)), "it may be at work there all the same: {out:?}");
}

#[test]
fn nothing_is_begun_for_a_client_that_left_while_the_connection_came_up() {
    let mut settings = settings();
    settings.decisions.limits.cancellation = false;
    let mut host = Host::new(settings);
    host.ask(&post(BODY));
    let (reader, _) = connects(&host.out)[0];
    host.tell(Input::Lost(CLIENT, ConnectionLoss::Reset));
    let out = host.tell(Input::Connected(reader));
    assert_eq!(text(&out, reader), "");
}
