//! Engines that keep sending bytes without completing anything: a timeout has to end the exchange although
//! bytes still arrive.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, Input, Output};
use std::time::Duration;

/// How long after the last event of its stream a client may be left waiting. From the protocol, without the
/// 50 ms that it adds on sockets.
const MAX_WAIT_AFTER_EVENT: Duration = ms(5_000);

/// Bytes that complete no event, sent at an interval.
struct Noise {
    name: &'static str,
    /// Sent once, before the rest.
    first: &'static str,
    /// Sent at each interval.
    piece: &'static str,
    interval: Duration,
}

const NOISE: [Noise; 4] = [
    Noise { name: "a chunk too large for an event", first: "8000\r\n", piece: "noise", interval: ms(100) },
    Noise { name: "an event without an end", first: "8000\r\ndata: ", piece: "a", interval: ms(100) },
    Noise { name: "comments", first: "", piece: "c\r\n: working\r\n\n\r\n", interval: ms(2_000) },
    Noise { name: "a chunk size without an end", first: "1;", piece: "a", interval: ms(1_000) },
];

/// How long the harness runs on before it looks whether a connection was closed.
const STEP: Duration = ms(10);

/// Feeds bytes at an interval for a time, or until their connection is closed. Returns the outputs.
fn feed_for(
    harness: &mut Harness, conn: ConnId, piece: &str, interval: Duration, time: Duration,
) -> Vec<Output> {
    let (end, mut out) = (harness.now + time, Vec::new());
    let mut next_piece = harness.now + interval;
    while harness.now < end && !is_closed(&out, conn) {
        out.extend(harness.advance(STEP));
        if harness.now >= next_piece && !is_closed(&out, conn) {
            out.extend(harness.receive(conn, piece));
            next_piece += interval;
        }
    }
    out
}

/// Guards against a stall timeout that any byte of the engine restarts: the client of a stream that goes on
/// with noise waited until it gave up itself.
#[test]
fn a_stream_that_continues_without_events_is_cut_off_in_time() {
    for noise in NOISE {
        let mut harness = Harness::new();
        let (client, decode) = harness.streaming("chat");
        let last_event = harness.now;
        harness.receive(decode, noise.first);
        let out = feed_for(&mut harness, decode, noise.piece, noise.interval, ms(30_000));
        let waited = harness.now - last_event;
        assert!(waited <= MAX_WAIT_AFTER_EVENT, "{}: its client waited {waited:?}", noise.name);
        assert!(aborted(&out, decode), "{}: the engine's connection is closed", noise.name);
        assert!(is_closed_when_sent(&out, client), "{}: the client's connection ends", noise.name);
        assert!(!text(&out, client).contains("0\r\n\r\n"), "{}: without the last chunk", noise.name);
        assert_eq!(harness.router.held_state().requests, 0, "{}", noise.name);
    }
}

#[test]
fn a_stream_whose_events_keep_coming_is_not_cut_off() {
    let mut harness = Harness::new();
    let (client, decode) = harness.streaming("chat");
    for _ in 0..10 {
        // Each event arrives in two pieces, with a comment before it.
        harness.receive(decode, chunk(": working\n\n"));
        let out = harness.advance(ms(2_000));
        assert!(!is_closed(&out, client));
        let event = chunk(&event("more"));
        let (first, rest) = event.split_at(event.len() / 2);
        harness.receive(decode, first);
        let out = harness.advance(ms(2_000));
        assert!(!is_closed(&out, client));
        assert!(text(&harness.receive(decode, rest), client).contains("more"));
    }
    let out = harness.receive(decode, stream_end());
    assert!(text(&out, client).ends_with("0\r\n\r\n"));
}

/// Guards against a timeout of releases that any byte restarts: an acknowledgement that never ends held its
/// connection, one of the few that are kept for releases.
#[test]
fn a_release_whose_acknowledgement_never_ends_gives_its_connection_up() {
    let mut harness = Harness::new();
    let (client, _, _) = harness.forwarded_to_decode_engine("chat");
    let out = harness.handle(Input::Eof(client));
    let release = sent_releases(&out)[0].conn;
    harness.receive(release, "HTTP/1.1 204 No Content\r\nX-Endless: ");
    let out = feed_for(&mut harness, release, "a", ms(100), ms(10_000));
    assert!(aborted(&out, release), "its connection is closed");
}

/// Guards against a timeout of health checks that any byte restarts: an engine whose answer never ends had no
/// further health check, and its connection was held.
#[test]
fn a_health_check_whose_answer_never_ends_fails_in_time() {
    let mut harness = Harness::with_probes();
    // Both decode engines are probed before the decode, as their load reports are old.
    harness.advance(ms(5_000));
    let client = harness.connect_client();
    let (prefill, _) = opened(&harness.receive(client, request("chat", "9b1f")))[0];
    harness.connected(prefill);
    let (probe, _) = opened(&harness.receive(prefill, PREFILLED))[0];
    assert!(text(&harness.connected(probe), probe).starts_with("GET /-/load "));
    harness.receive(probe, "HTTP/1.1 200 OK\r\nX-Endless: ");
    let began = harness.now;
    let out = feed_for(&mut harness, probe, "a", ms(20), ms(5_000));
    assert!(aborted(&out, probe), "its connection is closed");
    assert!(harness.now - began <= ms(300), "after {:?}", harness.now - began);
}
