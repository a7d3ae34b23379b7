//! How requests are forwarded and answered, and each row of the protocol's table of attempt outcomes.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Output};

#[test]
fn a_request_and_its_stream_are_forwarded_unchanged() {
    let mut harness = Harness::new();
    let (client, decode, out) = harness.forwarded_to_decode_engine("chat");
    let sent = text(&out, decode);
    assert!(sent.starts_with("POST /v1/chat/completions?a=b HTTP/1.1\r\n"), "{sent}");
    assert!(sent.contains("x-request-id: 9b1f\r\n") && sent.ends_with(&format!("\r\n\r\n{BODY}")), "{sent}");
    let left = forwarded_deadline(&sent);
    assert!((1..=4_800_000).contains(&left), "{left}");

    let out = harness.receive(decode, STREAM_HEAD);
    assert_eq!(text(&out, client), "", "nothing is forwarded before an event is complete");
    let one = event("one");
    let (first, rest) = one.split_at(9);
    assert_eq!(text(&harness.receive(decode, chunk(first)), client), "");
    let mut seen = text(&harness.receive(decode, chunk(rest)), client);
    assert!(seen.starts_with("HTTP/1.1 200 "), "{seen}");
    let tail = format!("{}data: [DONE]\n\n: X-Load: pending=4,x0=0.6\n\n", event("two"));
    seen += &text(&harness.receive(decode, chunk(&tail) + "0\r\n\r\n"), client);
    let body = seen.split_once("\r\n\r\n").unwrap().1;
    let expected = chunk(&event("one")) + &chunk(&format!("{}data: [DONE]\n\n", event("two"))) + "0\r\n\r\n";
    assert_eq!(body, expected);
    assert_eq!((harness.router.counters().completed, harness.router.counters().failed), (1, 0));

    // The client's connection is kept. An attempt never reuses a connection to an engine: a late second
    // answer to the previous exchange could be mistaken for its own.
    harness.advance(ms(20));
    let out = harness.receive(client, request("chat", "9b20"));
    assert!(!is_closed(&out, client));
    assert_eq!(opened(&out).len(), 1);
    assert!(!out.iter().any(|output| matches!(output, Output::Write(conn, _) if conn.is_opened())));
}

#[test]
fn an_attempt_connected_late_forwards_the_deadline_left_then() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let out = harness.receive(client, request("chat", "9b1f"));
    let (prefill, _) = opened(&out)[0];
    harness.advance(ms(200));
    let sent = text(&harness.connected(prefill), prefill);
    let left = forwarded_deadline(&sent);
    assert!((4_500_000..=4_600_000).contains(&left), "{left} left of 4.8 s after 0.2 s");
}

#[test]
fn the_idempotency_key_is_forwarded_to_prefill_and_decode_engines() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let asked = request("chat", "9b1f").replacen("\r\n", "\r\nIdempotency-Key: 3effc883-5152b05f\r\n", 1);
    let out = harness.receive(client, asked);
    let (prefill, _) = opened(&out)[0];
    let at_prefill = text(&harness.connected(prefill), prefill);
    let out = harness.receive(prefill, PREFILLED);
    let (decode, _) = opened(&out)[0];
    let at_decode_engine = text(&harness.connected(decode), decode);
    for sent in [at_prefill, at_decode_engine] {
        let keys =
            sent.lines().filter(|line| line.eq_ignore_ascii_case("idempotency-key: 3effc883-5152b05f"));
        assert_eq!(keys.count(), 1, "{sent}");
    }
}

/// The status with which a request that must not be repeated is answered after `action` at its decode engine;
/// `None` if it is retried, which means that it provably never ran.
fn status_after(
    harness: &mut Harness, action: impl FnOnce(&mut Harness, ConnId) -> Vec<Output>,
) -> Option<u16> {
    let (client, decode, _) = harness.forwarded_to_decode_engine("once");
    let mut out = action(harness, decode);
    out.extend(harness.advance(ms(60)));
    status(&out, client)
}

#[test]
fn an_unsafe_request_is_retried_only_if_it_provably_never_ran() {
    let answer = |status: &str, more: &str| format!("HTTP/1.1 {status} x\r\n{more}Content-Length: 0\r\n\r\n");
    for (reply, expected) in [
        (answer("503", "X-Not-Run: 1\r\n"), None),
        (answer("504", "X-Not-Run: 1\r\n"), None),
        (answer("410", "X-Not-Run: 1\r\n"), None),
        (answer("500", ""), Some(502)),
        (answer("503", ""), Some(502)),
        (answer("504", ""), Some(502)),
        (answer("410", ""), Some(502)),
        (answer("400", ""), Some(502)),
        (answer("500", "X-Not-Run: 1\r\n"), Some(502)),
        ("\u{1}\u{2} noise".into(), Some(502)),
        (format!("{STREAM_HEAD}0\r\n\r\n"), Some(502)),
        ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi".into(), Some(502)),
    ] {
        let mut harness = Harness::new();
        assert_eq!(
            status_after(&mut harness, |harness, decode| harness.receive(decode, &reply)),
            expected,
            "{reply}"
        );
    }
    let mut harness = Harness::new();
    assert_eq!(
        status_after(&mut harness, |harness, decode| harness.handle(lost(decode, ConnectionLoss::Reset))),
        Some(502),
        "reset"
    );
    let mut harness = Harness::new();
    assert_eq!(
        status_after(&mut harness, |harness, decode| harness.handle(Input::Eof(decode))),
        Some(502),
        "closed without an answer"
    );
    for why in [ConnectionLoss::NotConnected, ConnectionLoss::Exhausted] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let prefill = opened(&harness.receive(client, request("once", "1")))[0].0;
        harness.connected(prefill);
        let decode = opened(&harness.receive(prefill, PREFILLED))[0].0;
        let out = harness.handle(lost(decode, why));
        assert_eq!(status(&out, client), None, "{why:?}: it is retried at the other decode engine");
        assert_eq!(opened(&out).len(), 1);
    }
}

#[test]
fn a_request_on_a_connection_lost_before_it_was_written_is_retried() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let prefill = opened(&harness.receive(client, request("once", "1")))[0].0;
    harness.connected(prefill);
    let decode = opened(&harness.receive(prefill, PREFILLED))[0].0;
    harness.handle(Input::Connected(decode));
    let out = harness.handle(lost(decode, ConnectionLoss::Reset));
    assert_eq!((status(&out, client), opened(&out).len()), (None, 1));
}

/// The connection of the first write.
fn first_written(out: &[Output]) -> ConnId {
    let written = out.iter().find_map(|output| match output {
        Output::Write(conn, _) => Some(*conn),
        _ => None,
    });
    written.expect("something is written")
}

#[test]
fn an_unsafe_request_reset_before_its_last_byte_is_retried() {
    // With and without idle connections to the engines.
    for kept in [false, true] {
        let mut harness = Harness::new();
        if kept {
            let (_, decode, _) = harness.forwarded_to_decode_engine("chat");
            harness.receive(decode, format!("{STREAM_HEAD}{}0\r\n\r\n", chunk(&event("one"))));
            harness.advance(ms(20));
        }
        let client = harness.connect_client();
        let out = harness.receive(client, request("once", "2"));
        let prefill = match opened(&out).first() {
            Some(&(conn, _)) => {
                harness.connected(conn);
                conn
            }
            None => first_written(&out),
        };
        let out = harness.receive(prefill, PREFILLED);
        let decode = match opened(&out).first() {
            Some(&(conn, _)) => conn,
            None => first_written(&out),
        };
        let reused = opened(&out).is_empty();
        let written = if reused { out } else { harness.connected(decode) };
        let length = if reused { bytes(&written, decode).len() } else { 0 };
        assert!(!text(&written, decode).ends_with(BODY), "the last byte is held back");
        harness.handle(Input::Sent(decode, length));
        harness.advance(ms(1));
        let out = harness.handle(lost(decode, ConnectionLoss::Reset));
        assert_eq!(status(&out, client), None, "kept {kept}: it is retried at the other decode engine");
    }
}

#[test]
fn an_unsafe_request_lost_after_its_last_byte_may_have_run() {
    // The write of the last byte fails, or the peer closes the connection after it: the byte may have
    // arrived.
    for end in [lost as fn(ConnId, ConnectionLoss) -> Input<'static>, |conn, _| Input::Eof(conn)] {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let out = harness.receive(client, request("once", "2"));
        let prefill = opened(&out)[0].0;
        harness.connected(prefill);
        let out = harness.receive(prefill, PREFILLED);
        let decode = opened(&out)[0].0;
        harness.connected(decode);
        assert!(text(&harness.advance(ms(4)), decode).ends_with('}'), "the last byte is written");
        let out = harness.handle(end(decode, ConnectionLoss::Reset));
        assert_eq!(
            status(&out, client),
            Some(502),
            "it is not retried, and the answer does not mark a retry as harmless"
        );
    }
}

#[test]
fn a_connection_that_is_not_established_is_closed_at_the_connect_timeout() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let prefill = opened(&harness.receive(client, request("chat", "1")))[0].0;
    assert!(!is_closed(&harness.advance(ms(249)), prefill));
    assert!(is_closed(&harness.advance(ms(2)), prefill));
}

#[test]
fn a_request_without_engines_is_rejected_at_once_with_retry_after() {
    let mut harness = Harness::with(&config(DISCOVERY, &list(41, true, &[]), 256));
    let client = harness.connect_client();
    let out = harness.receive(client, request("chat", "1"));
    assert_eq!(status(&out, client), Some(503));
    let answer = text(&out, client);
    let after = answer.split("retry-after: ").nth(1).and_then(|rest| rest.split("\r\n").next()).unwrap();
    assert!((0.1..=2.0).contains(&after.parse::<f64>().unwrap()), "{after}");
}

#[test]
fn every_request_is_answered_before_its_deadline() {
    for class in ["chat", "once"] {
        let mut harness = Harness::new();
        let (client, _, _) = harness.forwarded_to_decode_engine(class);
        let out = harness.advance(ms(4_795));
        assert_eq!(write_count(&out, client), 1, "{class}");
        assert_ne!(status(&out, client), Some(200));
        assert_eq!(write_count(&harness.advance(ms(2_000)), client), 0);
    }
}

#[test]
fn a_broken_stream_closes_its_client_without_the_last_chunk() {
    type Break = dyn Fn(&mut Harness, ConnId) -> Vec<Output>;
    let breaks: [&Break; 5] = [
        &|harness, decode| harness.handle(lost(decode, ConnectionLoss::Reset)),
        &|harness, decode| harness.handle(Input::Eof(decode)),
        &|harness, decode| harness.receive(decode, "zz\r\n"),
        &|harness, decode| harness.receive(decode, "bb800000\r\ndata: "),
        &|harness, decode| harness.receive(decode, chunk("\u{7}\u{8}not an event\n\n")),
    ];
    for (case, break_stream) in breaks.into_iter().enumerate() {
        let mut harness = Harness::new();
        let (client, decode) = harness.streaming("chat");
        let out = break_stream(&mut harness, decode);
        assert!(
            is_closed_when_sent(&out, client) && !text(&out, client).contains("0\r\n\r\n"),
            "case {case}"
        );
        assert_eq!(
            (harness.router.counters().failed, harness.router.held_state().requests),
            (1, 0),
            "case {case}"
        );
    }
    // A silent stream is cancelled before its client has waited for 5 s.
    let mut harness = Harness::new();
    let (client, _) = harness.streaming("chat");
    assert!(is_closed_when_sent(&harness.advance(ms(4_900)), client));
}

#[test]
fn a_client_that_closes_has_its_attempt_cancelled() {
    let mut harness = Harness::new();
    let (client, decode, _) = harness.forwarded_to_decode_engine("chat");
    let out = harness.handle(Input::Eof(client));
    assert!(aborted(&out, decode));
    assert_eq!(harness.router.counters().disconnected, 1);
    let mut harness = Harness::new();
    let (client, decode) = harness.streaming("chat");
    assert!(aborted(&harness.handle(lost(client, ConnectionLoss::Reset)), decode));
    assert_eq!(
        (
            harness.router.counters().disconnected,
            harness.router.counters().failed,
            harness.router.held_state().requests
        ),
        (1, 0, 0)
    );
}

#[test]
fn bytes_after_an_answer_are_never_taken_for_the_next_one() {
    let mut harness = Harness::new();
    let (client, decode) = harness.streaming("chat");
    let whole = stream_end();
    let out = harness.receive(decode, whole.clone() + "HTTP/1.1 200 OK\r\n");
    assert!(text(&out, client).ends_with("0\r\n\r\n"), "the answer is forwarded completely");
    assert!(is_closed(&out, decode), "the connection is not used again");
    let mut harness = Harness::new();
    let (client, decode) = harness.streaming("chat");
    let out = harness.receive(decode, whole);
    assert!(text(&out, client).ends_with("0\r\n\r\n") && !is_closed(&out, decode));
    assert!(
        is_closed(&harness.receive(decode, "HTTP/1.1 200 OK\r\n"), decode),
        "nor if the bytes arrive a moment later"
    );
}

#[test]
fn interim_answers_and_malformed_reports_are_ignored() {
    let mut harness = Harness::new();
    let (client, decode, _) = harness.forwarded_to_decode_engine("once");
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let head =
        STREAM_HEAD.replace("\r\n\r\n", "\r\nX-Load: pending=,\u{7f}\u{e9}\r\n\r\n").replace('\u{7f}', "");
    let stream = format!("{interim}{head}{}{}0\r\n\r\n", chunk(&event("one")), chunk(": X-Load: ~~~\n\n"));
    let out = harness.receive(decode, stream);
    assert!(text(&out, client).contains("one") && text(&out, client).ends_with("0\r\n\r\n"));
    assert_eq!(harness.router.counters().completed, 1);
}

#[test]
fn a_slow_client_pauses_its_engine_and_a_stalled_one_is_disconnected() {
    let mut harness = Harness::new();
    let (client, decode) = harness.streaming("chat");
    let mut out = Vec::new();
    for _ in 0..40 {
        out.extend(harness.receive(decode, chunk(&event(&"x".repeat(2_000)))));
    }
    assert!(out.contains(&Output::Pause(decode)));
    let taken = bytes(&out, client).len();
    assert!(harness.handle(Input::Sent(client, taken)).contains(&Output::Resume(decode)));
    for _ in 0..40 {
        harness.receive(decode, chunk(&event(&"x".repeat(2_000))));
    }
    let out = harness.advance(ms(10_100));
    assert!(is_closed(&out, client) && aborted(&out, decode));
}
