//! Each request that a router has received is answered in time, and the deadline forwarded to engines is
//! never later than the client's own.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, Input, ListenerId, Output};

/// The deadline in the first request to an engine among these outputs, in milliseconds.
fn first_forwarded_deadline(out: &[Output]) -> f64 {
    let request = out.iter().find_map(|output| match output {
        Output::Write(_, bytes) if bytes.starts_with(b"POST ") => String::from_utf8(bytes.clone()).ok(),
        _ => None,
    });
    forwarded_deadline(&request.expect("an attempt")) as f64 / 1e3
}

#[test]
fn a_pipelined_request_forwards_the_deadline_left_since_its_last_byte() {
    let mut harness = Harness::new();
    let (client, decode, _) = harness.forwarded_to_decode_engine("chat");
    // It arrives in two pieces: its deadline counts from its last byte.
    let next = request("chat", "9b20");
    let (first, rest) = next.split_at(next.len() - 10);
    harness.receive(client, first);
    harness.advance(ms(500));
    harness.receive(client, rest);
    harness.advance(ms(400));
    let out = harness.receive(decode, complete_stream());
    let (prefill, _) = opened(&out)[0];
    let deadline = first_forwarded_deadline(&harness.connected(prefill));
    assert!((4_399.0..=4_401.0).contains(&deadline), "{deadline}");
}

#[test]
fn a_pipelined_request_past_its_deadline_is_answered_and_not_forwarded() {
    let mut harness = Harness::new();
    let (client, _, _) = harness.forwarded_to_decode_engine("chat");
    harness.receive(client, request("chat", "9b20").replace("4800m", "300m"));
    let out = harness.advance(ms(4_900));
    let answers = text(&out, client);
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "both requests are answered: {answers}");
    assert_eq!(forwarded_count(&out), 0, "the expired request is not forwarded");
}

#[test]
fn a_pipelined_request_received_byte_by_byte_never_forwards_more_than_its_deadline() {
    let mut harness = Harness::new();
    let (client, decode, _) = harness.forwarded_to_decode_engine("chat");
    let next = request("chat", "9b20");
    for byte in next.as_bytes() {
        harness.receive(client, [*byte]);
        harness.advance(ms(1));
    }
    let out = harness.receive(decode, complete_stream());
    let (prefill, _) = opened(&out)[0];
    let deadline = first_forwarded_deadline(&harness.connected(prefill));
    // Later bytes may be counted as received with an earlier one: the forwarded deadline may be shorter than
    // the time left, never longer.
    assert!((4_300.0..=4_800.0).contains(&deadline), "{deadline}");
}

/// Accepts connections until the watched one is evicted. Returns the outputs that evict it.
fn accept_until_evicted(harness: &mut Harness, watched: ConnId) -> Vec<Output> {
    for number in 0..400 {
        let out = harness.handle(Input::Accepted(ConnId(10_000 + number), ListenerId(0)));
        if is_closed(&out, watched) {
            return out;
        }
    }
    panic!("the watched connection was not evicted");
}

#[test]
fn a_partly_received_request_is_answered_before_its_connection_is_evicted() {
    let mut harness = Harness::new();
    let partial = harness.connect_client();
    let complete = request("chat", "9b20");
    harness.receive(partial, &complete[..complete.len() - 1]);
    harness.advance(ms(500));
    let out = accept_until_evicted(&mut harness, partial);
    assert_eq!(status(&out, partial), Some(503));
    assert!(is_closed_when_sent(&out, partial), "it is closed only once the answer is sent");
}

#[test]
fn a_request_completed_at_the_shutdown_deadline_is_rejected_at_once() {
    let mut harness = Harness::new();
    let complete = request("chat", "9b20");
    harness.handle(Input::Stop);
    harness.advance(ms(3_100));
    let client = harness.connect_client();
    // The rest of the request arrives only after the shutdown deadline, when the process may be killed at any
    // time.
    harness.receive(client, &complete[..40]);
    harness.advance(ms(200));
    let out = harness.receive(client, &complete[40..]);
    assert_eq!((status(&out, client), forwarded_count(&out), opened(&out).len()), (Some(503), 0, 0));
    assert!(is_closed_when_sent(&out, client));
}
