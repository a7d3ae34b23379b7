//! A client that has gone: nothing more is sent on for it, wherever its request stands, and what is held is let go of.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Output};

/// How a client goes.
const GOODBYES: [fn(ConnId) -> Input<'static>; 3] =
    [Input::Eof, |conn| Input::Lost(conn, ConnectionLoss::Reset), Input::PeerClosedWhilePaused];

/// The client goes; from then on whatever connections come up and whatever engines answer, nothing is sent on for it.
fn goes(
    harness: &mut Harness, client: ConnId, goodbye: fn(ConnId) -> Input<'static>, answer: &[(ConnId, &str)],
) {
    let mut all = harness.handle(goodbye(client));
    for &(conn, bytes) in answer {
        all.extend(harness.receive(conn, bytes));
    }
    assert_eq!(forwarded_count(&all), 0, "{all:?}");
    // Longer than releases are repeated.
    for _ in 0..100 {
        for (conn, _) in opened(&all) {
            let out = harness.connected(conn);
            assert_eq!(forwarded_count(&out), 0, "{out:?}");
            harness.receive(conn, RELEASED);
        }
        all = harness.advance(ms(100));
        assert_eq!(forwarded_count(&all), 0, "{all:?}");
    }
    let held = harness.router.held_state();
    assert_eq!(
        (
            held.client_connections,
            held.requests,
            held.releases,
            harness.router.decision_state_sizes().requests
        ),
        (0, 0, 0, 0),
        "nothing is kept of it"
    );
    assert!(
        harness.router.attempts_on_connections().is_empty(),
        "{:?}",
        harness.router.attempts_on_connections()
    );
}

fn probing() -> Harness {
    let config = config(DISCOVERY, &list(41, true, &engines()), 256);
    Harness::with(
        &config
            .replace("\"may_probe\":false", "\"may_probe\":true")
            .replace("\"balancers\":1", "\"balancers\":8"),
    )
}

#[test]
fn client_gone_while_a_probe_is_in_flight() {
    for goodbye in GOODBYES {
        let mut harness = probing();
        // A second writer to choose from is asked first, as what is known of both is old.
        harness.advance(ms(5_000));
        let client = harness.connect_client();
        let (reader, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        harness.connected(reader);
        let out = harness.receive(reader, PREFILLED);
        let probes = opened(&out);
        let asked: Vec<ConnId> = probes.iter().map(|&(conn, _)| conn).collect();
        assert_eq!(asked.len(), 2, "{out:?}");
        for &conn in &asked {
            assert!(text(&harness.connected(conn), conn).starts_with("GET /-/load "));
        }
        let load = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\npending=1,x0=0";
        goes(&mut harness, client, goodbye, &[(asked[0], load), (asked[1], load)]);
    }
}

#[test]
fn client_gone_while_the_engine_connection_is_being_opened() {
    for goodbye in GOODBYES {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (reader, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        let out = harness.handle(goodbye(client));
        assert!(aborted(&out, reader), "{out:?}");
        assert_eq!(forwarded_count(&harness.handle(Input::Connected(reader))), 0);
        goes(&mut harness, client, goodbye, &[]);
    }
}

#[test]
fn client_gone_while_the_prefill_is_in_flight_starts_no_decode() {
    for goodbye in GOODBYES {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (reader, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        harness.connected(reader);
        // The answer was on its way as the connection was closed.
        goes(&mut harness, client, goodbye, &[(reader, PREFILLED)]);
        assert!(harness.router.counters().releases > 0, "the state that the read may have left is let go of");
    }
}

#[test]
fn client_gone_between_a_failure_and_the_next_attempt() {
    for goodbye in GOODBYES {
        // Both writers turn it away, and there is none to go to at once.
        let mut harness = Harness::new();
        let (client, writer, _) = harness.at_decode_engine("chat");
        let full = "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let out = harness.receive(writer, full);
        let next: Vec<ConnId> = opened(&out).iter().map(|&(conn, _)| conn).collect();
        for conn in next {
            harness.connected(conn);
            harness.receive(conn, full);
        }
        goes(&mut harness, client, goodbye, &[]);
    }
}

/// The last byte of a write that must not be repeated is held back for a moment: what has gone by then never runs.
#[test]
fn client_gone_while_the_last_byte_is_held_back() {
    for goodbye in GOODBYES {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (reader, _) = opened(&harness.receive(client, request("once", "1")))[0];
        harness.connected(reader);
        let (writer, _) = opened(&harness.receive(reader, PREFILLED))[0];
        let out = harness.connected(writer);
        assert!(text(&out, writer).ends_with("\"stream\":true"), "all but the last byte");
        let out = harness.handle(goodbye(client));
        assert!(aborted(&out, writer));
        let out = harness.advance(ms(10));
        assert!(bytes(&out, writer).is_empty(), "{out:?}");
        goes(&mut harness, client, goodbye, &[]);
    }
}

#[test]
fn client_gone_with_pipelined_requests() {
    for goodbye in GOODBYES {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let ahead: String = (1..=4).map(|id| request("chat", &id.to_string())).collect();
        let out = harness.receive(client, ahead);
        let (reader, _) = opened(&out)[0];
        assert_eq!(opened(&out).len(), 1, "one at a time");
        harness.connected(reader);
        goes(&mut harness, client, goodbye, &[(reader, PREFILLED)]);
        assert_eq!(harness.router.counters().admitted, 1);
    }
}

/// Guards against a client that sent much ahead and went: its connection was paused, and its close hid behind what waited.
#[test]
fn client_gone_while_its_connection_is_paused() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let out = harness.receive(client, request("chat", "1"));
    let (reader, _) = opened(&out)[0];
    let ahead: String = (2..200).map(|id| request("chat", &id.to_string())).collect();
    let out = harness.receive(client, ahead);
    assert!(out.contains(&Output::Pause(client)));
    harness.connected(reader);
    goes(&mut harness, client, Input::PeerClosedWhilePaused, &[(reader, PREFILLED)]);
    assert_eq!(harness.router.counters().admitted, 1);
}

#[test]
fn client_gone_during_shutdown() {
    for goodbye in GOODBYES {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (reader, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        harness.connected(reader);
        harness.handle(Input::Stop);
        harness.advance(ms(300));
        goes(&mut harness, client, goodbye, &[(reader, PREFILLED)]);
    }
}

/// Guards against a late second answer of the exchange before, which came while the last byte of the next request was held
/// back: it was taken for that one's answer.
#[test]
fn before_the_last_byte_is_written_only_a_rejection_counts_as_an_answer() {
    let stream = [STREAM_HEAD, &chunk(&event("another's")), "0\r\n\r\n"].concat();
    for early in
        [stream.as_str(), PREFILLED, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n"]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (reader, _) = opened(&harness.receive(client, request("once", "1")))[0];
        harness.connected(reader);
        let (writer, port) = opened(&harness.receive(reader, PREFILLED))[0];
        harness.connected(writer);
        let out = harness.receive(writer, early);
        assert!(aborted(&out, writer) && bytes(&out, client).is_empty(), "{early}: {out:?}");
        let (next, other) = opened(&out)[0];
        assert_ne!(other, port, "it never ran and goes to the other writer");
        harness.connected(next);
        harness.advance(ms(4));
        let out = harness.receive(next, [STREAM_HEAD, &chunk(&event("its own"))].concat());
        assert!(text(&out, client).contains("its own"));
    }
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let (reader, _) = opened(&harness.receive(client, request("once", "1")))[0];
    harness.connected(reader);
    let (writer, port) = opened(&harness.receive(reader, PREFILLED))[0];
    harness.connected(writer);
    let out = harness.receive(writer, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    assert_ne!(opened(&out)[0].1, port, "turned away before all was said");
}
