//! What counts as proof that an attempt never ran, order by order. The driver's report that bytes have left is held back
//! here where that matters: it may come late.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Output};

/// A reader and two writers, the writers in cells of their own; class `cell` is keyed by cell, class `all` by all.
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

/// A request of this class read at `r`; gives the client, the writer's connection, its port, and what came of it so far.
/// The driver has not reported any byte of the write.
fn at_a_writer_unreported(harness: &mut Harness, class: &str) -> (ConnId, ConnId, u16) {
    let client = harness.connect_client();
    let (reader, _) = opened(&harness.receive(client, request(class, "9b1f")))[0];
    harness.connected(reader);
    let (writer, port) = opened(&harness.receive(reader, PREFILLED_WITHOUT_REPORT))[0];
    harness.handle(Input::Connected(writer));
    (client, writer, port)
}

/// Whether an attempt goes to the writer of the other cell within a while, as this came of the first write.
fn goes_to_the_other_cell(harness: &mut Harness, first_port: u16, out: Vec<Output>) -> bool {
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
        let (client, writer, port) = at_a_writer_unreported(&mut harness, "cell");
        harness.advance(ms(5));
        let out = harness.handle(end(writer));
        assert_ne!(status(&out, client), Some(503), "no refusal");
        assert!(!goes_to_the_other_cell(&mut harness, port, out), "its cell alone drops a repeat");
    }
}

#[test]
fn a_keyed_decode_whose_last_byte_is_held_back_has_not_run() {
    let mut harness = Harness::with(&keyed_settings());
    let (client, writer, port) = at_a_writer_unreported(&mut harness, "cell");
    harness.advance(ms(1));
    let out = harness.handle(lost(writer, ConnectionLoss::Reset));
    assert_eq!(status(&out, client), None);
    assert!(goes_to_the_other_cell(&mut harness, port, out), "its other writer is tried");
}

/// A kept connection may bring a second answer to the exchange before at any later time, which nothing tells from one to
/// the present attempt: reads and writes alike, whatever their class.
#[test]
fn each_attempt_opens_a_new_connection() {
    for class in ["chat", "once", "cell", "all"] {
        let mut harness = Harness::with(&keyed_settings());
        let (_, kept) = harness.prefilled_and_forwarded("chat", "9b1f");
        harness.receive(kept, complete_stream());
        harness.advance(ms(300));
        assert!(
            harness.router.held_state().engine_connections >= 2,
            "{class}: connections to both engines stand"
        );
        let client = harness.connect_client();
        let out = harness.receive(client, request(class, "9b20"));
        assert_eq!((opened(&out).len(), forwarded_count(&out)), (1, 0), "{class}: the read opens one");
        let reader = opened(&out)[0].0;
        harness.connected(reader);
        let out = harness.receive(reader, PREFILLED_WITHOUT_REPORT);
        assert_eq!((opened(&out).len(), forwarded_count(&out)), (1, 0), "{class}: the write opens one");
    }
}

/// What was left over from an attempt comes as the connection that it used carries a probe or a release: it is never taken
/// for the answer to an attempt.
#[test]
fn a_late_second_answer_reaches_no_other_request() {
    let mut harness = Harness::new();
    let (_, writer) = harness.prefilled_and_forwarded("chat", "9b1f");
    harness.receive(writer, complete_stream());
    harness.advance(ms(300));
    let client = harness.connect_client();
    let out = harness.receive(client, request("once", "9b20"));
    let reader = opened(&out)[0].0;
    harness.connected(reader);
    let second = harness.receive(writer, REJECTED);
    assert!(ends(&second, writer), "the kept connection is of no further use");
    assert_eq!(
        (status(&second, client), forwarded_count(&second), opened(&second).len()),
        (None, 0, 0),
        "{second:?}"
    );
    let out = harness.receive(reader, PREFILLED_WITHOUT_REPORT);
    assert_eq!(opened(&out).len(), 1, "the request goes on as if nothing had come");
}

#[test]
fn a_decode_answered_with_the_prefill_status_may_have_run() {
    for class in ["once", "cell"] {
        let mut harness = Harness::with(&keyed_settings());
        let (client, writer, port) = at_a_writer_unreported(&mut harness, class);
        harness.advance(ms(5));
        let out = harness.receive(writer, PREFILLED_WITHOUT_REPORT);
        assert!(ends(&out, writer), "{class}: that connection is of no further use");
        assert_ne!(status(&out, client), Some(503), "{class}");
        if class == "once" {
            assert_eq!(status(&out, client), Some(502));
        }
        assert!(!goes_to_the_other_cell(&mut harness, port, out), "{class}");
    }
}

/// Where attempts can't be cancelled the module leaves one that is out alone; one that has not begun is not begun then.
#[test]
fn without_cancellation_an_attempt_of_a_gone_client_is_not_written_once_connected() {
    let text = config(DISCOVERY, &list(41, true, &engines()), 256)
        .replace("\"cancelling\":true", "\"cancelling\":false");
    let mut harness = Harness::with(&text);
    let client = harness.connect_client();
    let (reader, _) = opened(&harness.receive(client, request("chat", "1")))[0];
    harness.handle(Input::Eof(client));
    harness.advance(ms(120));
    assert_eq!(forwarded_count(&harness.handle(Input::Connected(reader))), 0);
}

#[test]
fn a_forwarded_id_is_rejected_after_its_answer() {
    let mut harness = Harness::new();
    let (client, writer, _) = harness.at_decode_engine("once");
    let out = harness.receive(writer, complete_stream());
    assert!(text(&out, client).ends_with("0\r\n\r\n"));
    let other = harness.connect_client();
    let out = harness.receive(other, request("once", "9b1f"));
    assert_eq!((status(&out, other), forwarded_count(&out), opened(&out).len()), (Some(409), 0, 0));
    // One that was turned away before anything was sent may come again.
    let mut harness = Harness::with(&config(DISCOVERY, &list(41, true, &[]), 256));
    let client = harness.connect_client();
    assert_eq!(status(&harness.receive(client, request("once", "7")), client), Some(503));
    let again = harness.connect_client();
    assert_eq!(status(&harness.receive(again, request("once", "7")), again), Some(503));
}

/// Two lists in one read: what the first makes the module decide goes out by the first.
#[test]
fn lists_received_together_are_applied_one_after_another() {
    let mut harness = Harness::new();
    let out = harness.advance(ms(0));
    let (conn, _) = watch(&out).expect("the watch is opened");
    harness.handle(Input::Connected(conn));
    harness.receive(conn, format!("{WATCH_HEAD}{}", chunk(&format!("{}\n", list(42, true, &engines())))));
    let client = harness.connect_client();
    let (reader, port) = opened(&harness.receive(client, request("once", "9b1f")))[0];
    assert_eq!(port, 1);
    // The reader drains, so that the read goes elsewhere; in the same read the writers become readers and it a writer.
    let first = list(43, false, &[engine("r", "reads", 1, "Terminating"), engine("w", "reads", 2, "Ready")]);
    let second = list(44, false, &[engine("w", "writes", 2, "Ready"), engine("r", "reads", 1, "Ready")]);
    let mut out =
        harness.receive(conn, format!("{}{}", chunk(&format!("{first}\n")), chunk(&format!("{second}\n"))));
    assert!(ends(&out, reader), "what had not left for it goes elsewhere");
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
    assert!(!written, "nothing that was decided as a read goes to an engine that writes");
}
