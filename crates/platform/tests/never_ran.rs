//! What counts as proof that an attempt never ran, for each order of events. Where it matters, the driver's
//! report that bytes were sent is omitted: it may arrive late.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Output};

/// A prefill engine and two decode engines in different cells. Repeats of class `cell` are detected within a
/// cell, those of class `all` by all engines.
fn keyed_settings() -> String {
    let in_cell = |name, kind, port, cell: u32| {
        engine(name, kind, port, "Ready").replace("\"group\":1", &format!("\"group\":{cell}"))
    };
    let engines = [in_cell("r", "reads", 1, 1), in_cell("w", "writes", 2, 1), in_cell("v", "writes", 3, 2)];
    let classes = r#""classes":[
        {"name":"cell","target":1000.0,"worth":1.0,"idempotency":"keyed","group":"cell","window":4000.0,"streaming":true},
        {"name":"all","target":1000.0,"worth":1.0,"idempotency":"keyed","group":"all","window":4000.0,"streaming":true},"#;
    config(DISCOVERY, &list(41, true, &engines), 256).replace("\"classes\":[", classes)
}

/// Sends a request of this class that is prefilled at `r` and written to a decode engine, while the driver
/// reports no byte as sent. Returns the connections of the client and the decode engine, and the port of the
/// latter.
fn at_decode_engine_unreported(harness: &mut Harness, class: &str) -> (ConnId, ConnId, u16) {
    let client = harness.connect_client();
    let (prefill, _) = opened(&harness.receive(client, request(class, "9b1f")))[0];
    harness.connected(prefill);
    let (decode, port) = opened(&harness.receive(prefill, PREFILLED_WITHOUT_REPORT))[0];
    harness.handle(Input::Connected(decode));
    (client, decode, port)
}

/// Whether the request is retried at the decode engine of the other cell soon after the first attempt ended
/// with the outputs `out`.
fn is_retried_in_other_cell(harness: &mut Harness, first_port: u16, out: Vec<Output>) -> bool {
    let mut out = out;
    for _ in 0..20 {
        let mut next = harness.advance(ms(20));
        for (conn, port) in opened(&out) {
            let mut sent = harness.connected(conn);
            if port != first_port && port != 1 && forwarded_count(&sent) > 0 {
                return true;
            }
            next.append(&mut sent);
        }
        out = next;
    }
    false
}

#[test]
fn a_keyed_decode_reset_before_its_bytes_are_reported_as_sent_may_have_run() {
    for end in [|conn| lost(conn, ConnectionLoss::Reset), |conn| Input::Eof(conn)]
        as [fn(ConnId) -> Input<'static>; 2]
    {
        let mut harness = Harness::with(&keyed_settings());
        let (client, decode, port) = at_decode_engine_unreported(&mut harness, "cell");
        harness.advance(ms(5));
        let out = harness.handle(end(decode));
        assert_ne!(status(&out, client), Some(503), "it is not rejected as if it had not run");
        assert!(
            !is_retried_in_other_cell(&mut harness, port, out),
            "only the first cell would drop a duplicate"
        );
    }
}

#[test]
fn a_keyed_decode_whose_last_byte_is_held_back_has_not_run() {
    let mut harness = Harness::with(&keyed_settings());
    let (client, decode, port) = at_decode_engine_unreported(&mut harness, "cell");
    harness.advance(ms(1));
    let out = harness.handle(lost(decode, ConnectionLoss::Reset));
    assert_eq!(status(&out, client), None);
    assert!(is_retried_in_other_cell(&mut harness, port, out), "it is retried at the other decode engine");
}

/// On a reused connection a second answer to the previous exchange may arrive at any later time, and cannot
/// be distinguished from the answer to the present attempt. This applies to prefills and decodes of any
/// class.
#[test]
fn each_attempt_opens_a_new_connection() {
    for class in ["chat", "once", "cell", "all"] {
        let mut harness = Harness::with(&keyed_settings());
        let (_, kept) = harness.prefilled_and_forwarded("chat", "9b1f");
        harness.receive(kept, complete_stream());
        harness.advance(ms(300));
        assert!(
            harness.router.held_state().engine_connections >= 2,
            "{class}: connections to both engines are kept"
        );
        let client = harness.connect_client();
        let out = harness.receive(client, request(class, "9b20"));
        assert_eq!(
            (opened(&out).len(), forwarded_count(&out)),
            (1, 0),
            "{class}: the prefill opens a connection"
        );
        let prefill = opened(&out)[0].0;
        harness.connected(prefill);
        let out = harness.receive(prefill, PREFILLED_WITHOUT_REPORT);
        assert_eq!(
            (opened(&out).len(), forwarded_count(&out)),
            (1, 0),
            "{class}: the decode opens a connection"
        );
    }
}

/// A late second answer to an attempt arrives on a connection that is kept for probes and releases: it is
/// never taken for the answer to another attempt.
#[test]
fn a_late_second_answer_reaches_no_other_request() {
    let mut harness = Harness::new();
    let (_, decode) = harness.prefilled_and_forwarded("chat", "9b1f");
    harness.receive(decode, complete_stream());
    harness.advance(ms(300));
    let client = harness.connect_client();
    let out = harness.receive(client, request("once", "9b20"));
    let prefill = opened(&out)[0].0;
    harness.connected(prefill);
    let second = harness.receive(decode, REJECTED);
    assert!(is_closed(&second, decode), "the kept connection is closed");
    assert_eq!(
        (status(&second, client), forwarded_count(&second), opened(&second).len()),
        (None, 0, 0),
        "{second:?}"
    );
    let out = harness.receive(prefill, PREFILLED_WITHOUT_REPORT);
    assert_eq!(opened(&out).len(), 1, "the request continues unaffected");
}

#[test]
fn a_decode_answered_with_the_prefill_status_may_have_run() {
    for class in ["once", "cell"] {
        let mut harness = Harness::with(&keyed_settings());
        let (client, decode, port) = at_decode_engine_unreported(&mut harness, class);
        harness.advance(ms(5));
        let out = harness.receive(decode, PREFILLED_WITHOUT_REPORT);
        assert!(is_closed(&out, decode), "{class}: that connection is closed");
        assert_ne!(status(&out, client), Some(503), "{class}");
        if class == "once" {
            assert_eq!(status(&out, client), Some(502));
        }
        assert!(!is_retried_in_other_cell(&mut harness, port, out), "{class}");
    }
}

/// Where attempts cannot be cancelled, those in flight continue, but one that is not written yet is never
/// written.
#[test]
fn without_cancellation_an_attempt_of_a_gone_client_is_not_written_once_connected() {
    let text = config(DISCOVERY, &list(41, true, &engines()), 256)
        .replace("\"cancelling\":true", "\"cancelling\":false");
    let mut harness = Harness::with(&text);
    let client = harness.connect_client();
    let (prefill, _) = opened(&harness.receive(client, request("chat", "1")))[0];
    harness.handle(Input::Eof(client));
    harness.advance(ms(120));
    assert_eq!(forwarded_count(&harness.handle(Input::Connected(prefill))), 0);
}

#[test]
fn a_forwarded_id_is_rejected_after_its_answer() {
    let mut harness = Harness::new();
    let (client, decode, _) = harness.forwarded_to_decode_engine("once");
    let out = harness.receive(decode, complete_stream());
    assert!(text(&out, client).ends_with("0\r\n\r\n"));
    let other = harness.connect_client();
    let out = harness.receive(other, request("once", "9b1f"));
    assert_eq!((status(&out, other), forwarded_count(&out), opened(&out).len()), (Some(409), 0, 0));
    // A request that was rejected before it was forwarded may be sent again under its id.
    let mut harness = Harness::with(&config(DISCOVERY, &list(41, true, &[]), 256));
    let client = harness.connect_client();
    assert_eq!(status(&harness.receive(client, request("once", "7")), client), Some(503));
    let again = harness.connect_client();
    assert_eq!(status(&harness.receive(again, request("once", "7")), again), Some(503));
}

/// Two lists arrive in one read: the actions that follow from the first are dispatched before the second
/// applies.
#[test]
fn lists_received_together_are_applied_one_after_another() {
    let mut harness = Harness::new();
    let out = harness.advance(ms(0));
    let (conn, _) = opened_watch(&out).expect("the watch is opened");
    harness.handle(Input::Connected(conn));
    harness.receive(conn, format!("{WATCH_HEAD}{}", chunk(&format!("{}\n", list(42, true, &engines())))));
    let client = harness.connect_client();
    let (prefill, port) = opened(&harness.receive(client, request("once", "9b1f")))[0];
    assert_eq!(port, 1);
    // The prefill engine drains, so that the prefill moves to another engine; in the same read the engines
    // swap roles.
    let first = list(43, false, &[engine("r", "reads", 1, "Terminating"), engine("w", "reads", 2, "Ready")]);
    let second = list(44, false, &[engine("w", "writes", 2, "Ready"), engine("r", "reads", 1, "Ready")]);
    let mut out =
        harness.receive(conn, format!("{}{}", chunk(&format!("{first}\n")), chunk(&format!("{second}\n"))));
    assert!(is_closed(&out, prefill), "an attempt that was not written yet moves to another engine");
    let mut written = false;
    for _ in 0..4 {
        let next: Vec<(ConnId, u16)> = opened(&out);
        out = harness.advance(ms(5));
        for (conn, port) in next {
            let sent = harness.connected(conn);
            written |= port == 2 && forwarded_count(&sent) > 0;
            out.extend(sent);
        }
    }
    assert!(!written, "no attempt decided as a prefill is sent to a decode engine");
}
