//! What a router owes for each request that it has read: an answer in its time, and no more of an engine's time than its
//! client still waits.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, Input, ListenerId, Output};

/// The time told to an engine in the first request among these, milliseconds.
fn told(out: &[Output]) -> f64 {
    let request = out.iter().find_map(|o| match o {
        Output::Write(_, bytes) if bytes.starts_with(b"POST ") => String::from_utf8(bytes.clone()).ok(),
        _ => None,
    });
    let request = request.expect("an attempt");
    let text = request.split("x-deadline: ").nth(1).and_then(|rest| rest.split("u\r\n").next());
    text.expect("a time").parse::<f64>().expect("microseconds") / 1e3
}

fn whole_stream() -> String {
    format!("{STREAM_HEAD}{}{}0\r\n\r\n", chunk(&event("one")), chunk("data: [DONE]\n\n"))
}

#[test]
fn a_request_that_waited_behind_another_tells_what_is_left_since_it_came() {
    let mut host = Host::new();
    let (client, writer, _) = host.at_writer("chat");
    // In two pieces: its time runs from its last byte.
    let next = request("chat", "9b20");
    let (first, rest) = next.split_at(next.len() - 10);
    host.data(client, first);
    host.pass(ms(500));
    host.data(client, rest);
    host.pass(ms(400));
    let out = host.data(writer, whole_stream());
    let (reader, _) = opened(&out)[0];
    let told = told(&host.connected(reader));
    assert!((4_399.0..=4_401.0).contains(&told), "{told}");
}

#[test]
fn a_request_whose_time_is_up_before_its_turn_is_answered_and_not_sent_on() {
    let mut host = Host::new();
    let (client, _, _) = host.at_writer("chat");
    host.data(client, request("chat", "9b20").replace("4800m", "300m"));
    let out = host.pass(ms(4_900));
    let answers = text(&out, client);
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "each has its answer: {answers}");
    assert_eq!(posts(&out), 0, "nothing more is sent on");
}

#[test]
fn bytes_that_come_one_by_one_behind_another_are_timed_within_bounds() {
    let mut host = Host::new();
    let (client, writer, _) = host.at_writer("chat");
    let next = request("chat", "9b20");
    for byte in next.as_bytes() {
        host.data(client, [*byte]);
        host.pass(ms(1));
    }
    let out = host.data(writer, whole_stream());
    let (reader, _) = opened(&out)[0];
    let told = told(&host.connected(reader));
    // Late bytes count as of an earlier one: less time is told than there is, never more.
    assert!((4_300.0..=4_800.0).contains(&told), "{told}");
}

fn posts(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Write(_, bytes) if bytes.starts_with(b"POST "))).count()
}

/// Connections that come in until one that is there already has to make room.
fn crowd_until_one_ends(host: &mut Host, watched: ConnId) -> Vec<Output> {
    for n in 0..400 {
        let out = host.tell(Input::Accepted(ConnId(10_000 + n), ListenerId(0)));
        if ends(&out, watched) {
            return out;
        }
    }
    panic!("none made room");
}

#[test]
fn a_request_that_was_read_in_part_is_answered_before_its_connection_makes_room() {
    let mut host = Host::new();
    let half = host.client();
    let whole = request("chat", "9b20");
    host.data(half, &whole[..whole.len() - 1]);
    host.pass(ms(500));
    let out = crowd_until_one_ends(&mut host, half);
    assert_eq!(status(&out, half), Some(503));
    assert!(finished(&out, half), "in order, so that the answer arrives");
}

#[test]
fn a_request_that_comes_as_a_router_is_about_to_end_is_answered_at_once() {
    let mut host = Host::new();
    let whole = request("chat", "9b20");
    host.tell(Input::Stop);
    host.pass(ms(3_100));
    let client = host.client();
    // It is here in part, and whole only as the process may be killed at any time.
    host.data(client, &whole[..40]);
    host.pass(ms(200));
    let out = host.data(client, &whole[40..]);
    assert_eq!((status(&out, client), posts(&out), opened(&out).len()), (Some(503), 0, 0));
    assert!(finished(&out, client));
}
