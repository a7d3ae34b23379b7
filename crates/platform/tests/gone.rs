//! After a client disconnects nothing more is forwarded for it, whatever the state of its request, and held
//! state is released.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Output};

/// The ways in which a client disconnects.
const DISCONNECTS: [fn(ConnId) -> Input<'static>; 3] =
    [Input::Eof, |conn| Input::Lost(conn, ConnectionLoss::Reset), Input::PeerClosedWhilePaused];

/// Disconnects the client and asserts that nothing is forwarded for it afterwards, although connections are
/// established and engines answer.
fn assert_nothing_forwarded_after(
    harness: &mut Harness, client: ConnId, disconnect: fn(ConnId) -> Input<'static>,
    answers: &[(ConnId, &str)],
) {
    let mut all = harness.handle(disconnect(client));
    for &(conn, bytes) in answers {
        all.extend(harness.receive(conn, bytes));
    }
    assert_eq!(forwarded_count(&all), 0, "{all:?}");
    // Longer than releases are retried.
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
        "no state of the request is kept"
    );
    assert!(
        harness.router.attempts_on_connections().is_empty(),
        "{:?}",
        harness.router.attempts_on_connections()
    );
}

#[test]
fn client_gone_while_a_probe_is_in_flight() {
    for disconnect in DISCONNECTS {
        let mut harness = Harness::with_probes();
        // Both decode engines are probed first, as their load reports are old.
        harness.advance(ms(5_000));
        let client = harness.connect_client();
        let (prefill, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        harness.connected(prefill);
        let out = harness.receive(prefill, PREFILLED);
        let probes = opened(&out);
        let probed: Vec<ConnId> = probes.iter().map(|&(conn, _)| conn).collect();
        assert_eq!(probed.len(), 2, "{out:?}");
        for &conn in &probed {
            assert!(text(&harness.connected(conn), conn).starts_with("GET /-/load "));
        }
        let load = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\npending=1,x0=0";
        assert_nothing_forwarded_after(
            &mut harness,
            client,
            disconnect,
            &[(probed[0], load), (probed[1], load)],
        );
    }
}

#[test]
fn client_gone_while_the_engine_connection_is_being_opened() {
    for disconnect in DISCONNECTS {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (prefill, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        let out = harness.handle(disconnect(client));
        assert!(aborted(&out, prefill), "{out:?}");
        assert_eq!(forwarded_count(&harness.handle(Input::Connected(prefill))), 0);
        assert_nothing_forwarded_after(&mut harness, client, disconnect, &[]);
    }
}

#[test]
fn client_gone_while_the_prefill_is_in_flight_starts_no_decode() {
    for disconnect in DISCONNECTS {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (prefill, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        harness.connected(prefill);
        // The engine's answer was in transit when the connection was closed.
        assert_nothing_forwarded_after(&mut harness, client, disconnect, &[(prefill, PREFILLED)]);
        assert!(
            harness.router.counters().releases > 0,
            "the state that the prefill may have left is released"
        );
    }
}

#[test]
fn client_gone_between_a_failure_and_the_next_attempt() {
    for disconnect in DISCONNECTS {
        // Both decode engines reject the attempt, and there is no other.
        let mut harness = Harness::new();
        let (client, decode, _) = harness.forwarded_to_decode_engine("chat");
        let rejection = "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let out = harness.receive(decode, rejection);
        let next: Vec<ConnId> = opened(&out).iter().map(|&(conn, _)| conn).collect();
        for conn in next {
            harness.connected(conn);
            harness.receive(conn, rejection);
        }
        assert_nothing_forwarded_after(&mut harness, client, disconnect, &[]);
    }
}

/// The last byte of a decode that must not be repeated is held back for a moment: if the client disconnects
/// before it is written, the decode never runs.
#[test]
fn client_gone_while_the_last_byte_is_held_back() {
    for disconnect in DISCONNECTS {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (prefill, _) = opened(&harness.receive(client, request("once", "1")))[0];
        harness.connected(prefill);
        let (decode, _) = opened(&harness.receive(prefill, PREFILLED))[0];
        let out = harness.connected(decode);
        assert!(text(&out, decode).ends_with("\"stream\":true"), "all but the last byte is written");
        let out = harness.handle(disconnect(client));
        assert!(aborted(&out, decode));
        let out = harness.advance(ms(10));
        assert!(bytes(&out, decode).is_empty(), "{out:?}");
        assert_nothing_forwarded_after(&mut harness, client, disconnect, &[]);
    }
}

#[test]
fn client_gone_with_pipelined_requests() {
    for disconnect in DISCONNECTS {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let pipelined: String = (1..=4).map(|id| request("chat", &id.to_string())).collect();
        let out = harness.receive(client, pipelined);
        let (prefill, _) = opened(&out)[0];
        assert_eq!(opened(&out).len(), 1, "requests of a connection are handled one at a time");
        harness.connected(prefill);
        assert_nothing_forwarded_after(&mut harness, client, disconnect, &[(prefill, PREFILLED)]);
        assert_eq!(harness.router.counters().admitted, 1);
    }
}

/// Guards against a missed disconnect: a client pipelines so much that its connection is paused, and its
/// close is then hidden behind the unread bytes.
#[test]
fn client_gone_while_its_connection_is_paused() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let out = harness.receive(client, request("chat", "1"));
    let (prefill, _) = opened(&out)[0];
    let pipelined: String = (2..200).map(|id| request("chat", &id.to_string())).collect();
    let out = harness.receive(client, pipelined);
    assert!(out.contains(&Output::Pause(client)));
    harness.connected(prefill);
    assert_nothing_forwarded_after(
        &mut harness,
        client,
        Input::PeerClosedWhilePaused,
        &[(prefill, PREFILLED)],
    );
    assert_eq!(harness.router.counters().admitted, 1);
}

#[test]
fn client_gone_during_shutdown() {
    for disconnect in DISCONNECTS {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (prefill, _) = opened(&harness.receive(client, request("chat", "1")))[0];
        harness.connected(prefill);
        harness.handle(Input::Stop);
        harness.advance(ms(300));
        assert_nothing_forwarded_after(&mut harness, client, disconnect, &[(prefill, PREFILLED)]);
    }
}

/// Guards against a late second answer to the previous exchange: it arrives while the last byte of the next
/// request is held back, and must not be taken for the answer to that request.
#[test]
fn before_the_last_byte_is_written_only_a_rejection_counts_as_an_answer() {
    let stream = [STREAM_HEAD, &chunk(&event("another's")), "0\r\n\r\n"].concat();
    for early in
        [stream.as_str(), PREFILLED, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n"]
    {
        let mut harness = Harness::new();
        let client = harness.connect_client();
        let (prefill, _) = opened(&harness.receive(client, request("once", "1")))[0];
        harness.connected(prefill);
        let (decode, port) = opened(&harness.receive(prefill, PREFILLED))[0];
        harness.connected(decode);
        let out = harness.receive(decode, early);
        assert!(aborted(&out, decode) && bytes(&out, client).is_empty(), "{early}: {out:?}");
        let (next, other) = opened(&out)[0];
        assert_ne!(other, port, "it never ran and is retried at the other decode engine");
        harness.connected(next);
        harness.advance(ms(4));
        let out = harness.receive(next, [STREAM_HEAD, &chunk(&event("its own"))].concat());
        assert!(text(&out, client).contains("its own"));
    }
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let (prefill, _) = opened(&harness.receive(client, request("once", "1")))[0];
    harness.connected(prefill);
    let (decode, port) = opened(&harness.receive(prefill, PREFILLED))[0];
    harness.connected(decode);
    let out = harness.receive(decode, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    assert_ne!(opened(&out)[0].1, port, "rejected before its last byte was written");
}
