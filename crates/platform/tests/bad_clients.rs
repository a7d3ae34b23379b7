//! Clients that send what can't be read, too much, too little, or nothing; and the room that they may take.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, Input, ListenerId, Output};

#[test]
fn what_cant_be_read_or_meant_gets_an_error_and_no_engine_hears_of_it() {
    let good = request("chat", "1");
    let long_head = format!("GET / HTTP/1.1\r\nHost: a\r\nX-A: {}", "a".repeat(17 << 10));
    let cases = [
        ("noise", "\u{16}\u{3}\u{1} noise".to_owned(), 400),
        ("a head without end", long_head, 431),
        ("a class that is none", good.replace("X-Class: chat", "X-Class: nap"), 400),
        ("a deadline that is no number", good.replace("4800m", "soon"), 400),
        ("no id", good.replace("X-Request-Id: 1\r\n", ""), 400),
        ("a negative length", good.replace("Content-Length: 30", "Content-Length: -30"), 400),
        ("a length that is none", good.replace("Content-Length: 30", "Content-Length: x"), 400),
        ("two lengths", good.replace("Content-Length: 30", "Content-Length: 30\r\nContent-Length: 3"), 400),
        ("a huge length", good.replace("Content-Length: 30", "Content-Length: 60000000"), 413),
        (
            "a length over all",
            good.replace("Content-Length: 30", "Content-Length: 99999999999999999999"),
            400,
        ),
        (
            "two framings",
            good.replace("Content-Length: 30", "Content-Length: 30\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (
            "a chunk that does not fit",
            good.replace("Content-Length: 30", "Transfer-Encoding: chunked")
                .replace(BODY, "2\r\nabcdef\r\n0\r\n\r\n"),
            400,
        ),
        (
            "a body over all in chunks",
            good.replace("Content-Length: 30", "Transfer-Encoding: chunked")
                .replace(BODY, "3938700\r\nabcdef"),
            413,
        ),
        ("negative tokens", good.replace("prompt_len=512", "prompt_len=-512"), 400),
    ];
    for (what, bytes, expected) in cases {
        assert!(good.contains("Content-Length: 30"));
        let mut host = Host::new();
        let client = host.client();
        let out = host.data(client, bytes);
        assert_eq!(status(&out, client), Some(expected), "{what}");
        assert!(opened(&out).is_empty() && host.node.counters().admitted == 0, "{what}");
    }
}

#[test]
fn an_id_that_is_open_for_another_client_is_turned_away_and_the_other_goes_on() {
    let mut host = Host::new();
    let (first, writer) = host.streaming("chat");
    let other = host.client();
    assert_eq!(status(&host.data(other, request("chat", "9b1f")), other), Some(409));
    let out = host.data(writer, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    assert!(text(&out, first).ends_with("0\r\n\r\n"));
    assert_eq!(host.node.counters().completed, 1);
    // Nor is it taken after that: it was sent on, and every request carries a new id.
    let out = host.data(other, request("chat", "9b1f"));
    assert_eq!(
        (status(&out, other), opened(&out).len(), host.node.counters().admitted),
        (Some(409), 0, 1),
        "{out:?}"
    );
    let out = host.data(other, request("chat", "9b20"));
    assert_eq!(host.node.counters().admitted, 2, "a new one is: {out:?}");
}

#[test]
fn half_a_request_or_none_is_closed_or_told_within_three_seconds_of_connecting() {
    let mut host = Host::new();
    let silent = host.client();
    let half = host.client();
    host.data(half, "POST /v1/chat/completions HT");
    let late = host.client();
    host.pass(ms(2_000));
    host.data(late, &request("chat", "1")[..200]);
    let out = host.pass(ms(900));
    assert!(ends(&out, silent));
    assert_eq!(status(&out, half), Some(408));
    assert!(ends(&out, late), "its time counts from when it connected");
    let client = host.client();
    host.data(client, &request("chat", "1")[..200]);
    host.tell(Input::Eof(client));
    let held = host.node.held_state();
    assert_eq!(
        [held.client_connections, held.engine_connections, held.requests],
        [0, 0, 0],
        "half a request and a close leaves nothing"
    );
}

#[test]
fn requests_sent_ahead_are_answered_in_turn_and_too_many_wait_outside() {
    let mut host = Host::with(&config(DISCOVERY, &list(41, true, &[]), 256));
    let client = host.client();
    let many: String = (0..200).map(|n| request("chat", &format!("{n}"))).collect();
    let out = host.data(client, &many);
    let answers = text(&out, client);
    let count = |status: &str| answers.matches(&format!("HTTP/1.1 {status} ")).count();
    assert_eq!((count("503"), count("429")), (8, 192), "over its share it is told so");
    let mut host = Host::new();
    let client = host.client();
    let out: Vec<_> = many.as_bytes().chunks(8_000).flat_map(|part| host.data(client, part)).collect();
    assert!(out.contains(&Output::Pause(client)), "no more than a bound is kept while one is served");
    assert_eq!(host.node.counters().admitted, 1);
}

/// So many connections come in and say nothing. Gives those that were closed for them.
fn crowd(host: &mut Host, from: u64, count: u64) -> Vec<ConnId> {
    let accepted = (from..from + count).flat_map(|n| host.tell(Input::Accepted(ConnId(n), ListenerId(0))));
    let closed = |o| match o {
        Output::Abort(conn) | Output::CloseWhenSent(conn) => Some(conn),
        _ => None,
    };
    accepted.filter_map(closed).collect()
}

#[test]
fn silent_connections_yield_first_then_idle_ones_and_those_at_work_never() {
    let mut host = Host::new();
    let (working, _) = host.streaming("chat");
    let used = host.client();
    host.data(used, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    let before = host.node.held_state().client_connections;
    assert_eq!(before, 2);
    assert!(crowd(&mut host, 10_000, 100).is_empty());
    host.pass(ms(500));
    let evicted = crowd(&mut host, 20_000, 60);
    assert_eq!(evicted[..3], [10_000, 10_001, 10_002].map(ConnId), "the oldest of the silent first");
    let evicted = crowd(&mut host, 30_000, 300);
    assert!(evicted.contains(&used) && !evicted.contains(&working));
    let held = host.node.held_state();
    let (clients, links) = (held.client_connections, held.engine_connections);
    assert!(clients + links < 256 - 16, "{clients} {links}");
    assert_eq!(host.node.counters().rejected_before_admission as usize, 2 + 460 - clients, "each is counted");
}

#[test]
fn a_connection_whose_first_request_is_on_its_way_outlasts_idle_ones() {
    let mut host = Host::new();
    for n in 0..200 {
        let conn = host.client();
        host.data(conn, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        if n % 10 == 0 {
            host.pass(ms(20));
        }
    }
    let young = host.client();
    let evicted = crowd(&mut host, 10_000, 30);
    assert!(evicted.len() >= 30 && !evicted.contains(&young), "{evicted:?}");
    let out = host.data(young, request("chat", "1"));
    assert_eq!(opened(&out).len(), 1, "it is served");
}

#[test]
fn connections_to_engines_are_bounded_and_idle_ones_make_room() {
    let mut host = Host::with(&config(DISCOVERY, &list(41, true, &engines()), 60));
    let mut most = 0;
    for n in 0..40 {
        let client = host.client();
        let out = host.data(client, request("chat", &format!("{n}")));
        for (conn, port) in opened(&out) {
            host.connected(conn);
            if port == 1 {
                host.data(conn, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            }
        }
        most = most.max(host.node.held_state().engine_connections);
    }
    assert!(most <= 19, "{most}");
}
