//! Clients that send malformed requests, too much, too little, or nothing; and the bounds on the resources
//! that clients may hold.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, Input, ListenerId, Output};

#[test]
fn a_malformed_or_invalid_request_is_rejected_and_not_forwarded() {
    let good = request("chat", "1");
    let long_head = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}", "a".repeat(17 << 10));
    let cases = [
        ("malformed bytes", "\u{16}\u{3}\u{1} noise".to_owned(), 400),
        ("an unterminated head", long_head, 431),
        ("an unknown class", good.replace("X-Class: chat", "X-Class: nap"), 400),
        ("a deadline that is not a number", good.replace("4800m", "soon"), 400),
        ("no id", good.replace("X-Request-Id: 1\r\n", ""), 400),
        ("a negative length", good.replace("Content-Length: 30", "Content-Length: -30"), 400),
        ("a length that is not a number", good.replace("Content-Length: 30", "Content-Length: x"), 400),
        ("two lengths", good.replace("Content-Length: 30", "Content-Length: 30\r\nContent-Length: 3"), 400),
        ("a huge length", good.replace("Content-Length: 30", "Content-Length: 60000000"), 413),
        (
            "a length that overflows",
            good.replace("Content-Length: 30", "Content-Length: 99999999999999999999"),
            400,
        ),
        (
            "two kinds of body framing",
            good.replace("Content-Length: 30", "Content-Length: 30\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (
            "a chunk longer than its declared size",
            good.replace("Content-Length: 30", "Transfer-Encoding: chunked")
                .replace(BODY, "2\r\nabcdef\r\n0\r\n\r\n"),
            400,
        ),
        (
            "a huge body in chunks",
            good.replace("Content-Length: 30", "Transfer-Encoding: chunked")
                .replace(BODY, "3938700\r\nabcdef"),
            413,
        ),
        ("negative tokens", good.replace("prompt_len=512", "prompt_len=-512"), 400),
    ];
    for (case, bytes, expected) in cases {
        assert!(good.contains("Content-Length: 30"));
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let out = harness.receive(client, bytes);
        assert_eq!(status(&out, client), Some(expected), "{case}");
        assert!(opened(&out).is_empty() && harness.router.counters().admitted == 0, "{case}");
    }
}

#[test]
fn a_request_with_the_id_of_an_open_one_is_rejected_and_the_open_one_completes() {
    let mut harness = Harness::new();
    let (first, decode) = harness.streaming("chat");
    let other = harness.connect_client();
    assert_eq!(status(&harness.receive(other, request("chat", "9b1f")), other), Some(409));
    let out = harness.receive(decode, stream_end());
    assert!(text(&out, first).ends_with("0\r\n\r\n"));
    assert_eq!(harness.router.counters().completed, 1);
    // Nor is the id accepted after that: it was forwarded, and every request must carry a new id.
    let out = harness.receive(other, request("chat", "9b1f"));
    assert_eq!(
        (status(&out, other), opened(&out).len(), harness.router.counters().admitted),
        (Some(409), 0, 1),
        "{out:?}"
    );
    let out = harness.receive(other, request("chat", "9b20"));
    assert_eq!(harness.router.counters().admitted, 2, "a request with a new id is admitted: {out:?}");
}

#[test]
fn a_connection_without_a_complete_request_times_out_within_three_seconds() {
    let mut harness = Harness::new();
    let silent = harness.connect_client();
    let partial = harness.connect_client();
    harness.receive(partial, "POST /v1/chat/completions HT");
    let late = harness.connect_client();
    harness.advance(ms(2_000));
    harness.receive(late, &request("chat", "1")[..200]);
    let out = harness.advance(ms(900));
    assert!(is_closed(&out, silent));
    assert_eq!(status(&out, partial), Some(408));
    assert!(is_closed(&out, late), "its timeout counts from when it connected");
    let client = harness.connect_client();
    harness.receive(client, &request("chat", "1")[..200]);
    harness.handle(Input::Eof(client));
    let held = harness.router.held_state();
    assert_eq!(
        [held.client_connections, held.engine_connections, held.requests],
        [0, 0, 0],
        "a partial request and a close leave no state"
    );
}

#[test]
fn pipelined_requests_are_answered_in_order_and_reading_pauses_at_the_bound() {
    let mut harness = Harness::with(&config(DISCOVERY, &list(41, true, &[]), 256));
    let client = harness.connect_client();
    let many: String = (0..200).map(|id| request("chat", &id.to_string())).collect();
    let out = harness.receive(client, &many);
    let answers = text(&out, client);
    let count = |status: &str| answers.matches(&format!("HTTP/1.1 {status} ")).count();
    assert_eq!((count("503"), count("429")), (8, 192), "requests over the quota are rejected with 429");
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let out: Vec<_> = many.as_bytes().chunks(8_000).flat_map(|part| harness.receive(client, part)).collect();
    assert!(out.contains(&Output::Pause(client)), "only a bounded amount is buffered while one is served");
    assert_eq!(harness.router.counters().admitted, 1);
}

/// Accepts connections on which nothing is sent. Returns the connections that were closed to make room.
fn accept_silent(harness: &mut Harness, from: u64, count: u64) -> Vec<ConnId> {
    let accepted =
        (from..from + count).flat_map(|id| harness.handle(Input::Accepted(ConnId(id), ListenerId(0))));
    let closed = |output| match output {
        Output::Abort(conn) | Output::CloseWhenSent(conn) => Some(conn),
        _ => None,
    };
    accepted.filter_map(closed).collect()
}

#[test]
fn eviction_takes_silent_connections_then_idle_ones_and_never_busy_ones() {
    let mut harness = Harness::new();
    let (working, _) = harness.streaming("chat");
    let used = harness.connect_client();
    harness.receive(used, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    let before = harness.router.held_state().client_connections;
    assert_eq!(before, 2);
    assert!(accept_silent(&mut harness, 10_000, 100).is_empty());
    harness.advance(ms(500));
    let evicted = accept_silent(&mut harness, 20_000, 60);
    assert_eq!(evicted[..3], [10_000, 10_001, 10_002].map(ConnId), "the oldest silent connections go first");
    let evicted = accept_silent(&mut harness, 30_000, 300);
    assert!(evicted.contains(&used) && !evicted.contains(&working));
    let held = harness.router.held_state();
    let (clients, connections) = (held.client_connections, held.engine_connections);
    assert!(clients + connections < 256 - 16, "{clients} {connections}");
    assert_eq!(
        harness.router.counters().rejected_before_admission as usize,
        2 + 460 - clients,
        "each evicted connection is counted"
    );
}

#[test]
fn idle_connections_are_evicted_before_new_ones() {
    let mut harness = Harness::new();
    for number in 0..200 {
        let conn = harness.connect_client();
        harness.receive(conn, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        if number % 10 == 0 {
            harness.advance(ms(20));
        }
    }
    let newest = harness.connect_client();
    let evicted = accept_silent(&mut harness, 10_000, 30);
    assert!(evicted.len() >= 30 && !evicted.contains(&newest), "{evicted:?}");
    let out = harness.receive(newest, request("chat", "1"));
    assert_eq!(opened(&out).len(), 1, "the newest connection is served");
}

#[test]
fn engine_connections_stay_within_their_bound() {
    let mut harness = Harness::with(&config(DISCOVERY, &list(41, true, &engines()), 60));
    let mut peak = 0;
    for id in 0..40 {
        let client = harness.connect_client();
        let out = harness.receive(client, request("chat", &id.to_string()));
        for (conn, port) in opened(&out) {
            harness.connected(conn);
            if port == 1 {
                harness.receive(conn, REJECTED);
            }
        }
        peak = peak.max(harness.router.held_state().engine_connections);
    }
    assert!(peak <= 19, "{peak}");
}
