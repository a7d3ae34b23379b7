//! The endpoint list, releases of held state, reloads and shutdown.

mod common;
use common::*;
use slipreel_platform::Config;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine, Output};

/// A harness whose watch at discovery is open, and the watch's connection.
fn watching() -> (Harness, ConnId) {
    let mut harness = Harness::new();
    let (conn, port) = opened_watch(&harness.advance(ms(1))).unwrap();
    assert_eq!(port, 8500);
    let out = harness.handle(Input::Connected(conn));
    assert!(text(&out, conn).starts_with("GET /api/targets?watch=1&after=41 HTTP/1.1\r\n"));
    harness.receive(conn, WATCH_HEAD);
    (harness, conn)
}

#[test]
fn list_changes_apply_at_once() {
    let (mut harness, conn) = watching();
    let client = harness.connect_client();
    let prefill = opened(&harness.receive(client, request("chat", "1")))[0].0;
    // Before the connection to the prefill engine is established, that engine drains and another joins.
    let change = list(42, false, &[engine("r", "reads", 1, "Terminating"), engine("s", "reads", 7, "Ready")]);
    let out = harness.receive(conn, chunk(&(change + "\n")));
    assert!(aborted(&out, prefill), "an attempt that was not written yet moves to another engine");
    assert_eq!(opened(&out).iter().map(|&(_, port)| port).collect::<Vec<_>>(), [7]);
    let gone = list(43, false, &[r#"{"name":"s","status":"Gone"}"#.to_owned()]);
    let out = harness.receive(conn, chunk(&(gone + "\n")));
    assert!(opened(&out).is_empty());
}

#[test]
fn an_engine_keeps_its_identity_at_a_new_address() {
    let (mut harness, conn) = watching();
    let (client, decode) = harness.streaming("chat");
    harness.receive(decode, stream_end());
    let moved: Vec<String> = [("r", "reads", 11), ("w", "writes", 12), ("v", "writes", 13)]
        .map(|(name, kind, port)| engine(name, kind, port, "Ready"))
        .into();
    let out = harness.receive(conn, chunk(&(list(42, true, &moved) + "\n")));
    assert!(is_closed(&out, decode), "idle connections to the old address are closed");
    let out = harness.receive(client, request("chat", "2"));
    assert_eq!(opened(&out)[0].1, 11);
}

#[test]
fn a_malformed_watch_or_one_with_an_older_list_is_reopened_and_the_list_stays() {
    let good = chunk(&(list(40, true, &[]) + "\n"));
    for (case, line) in ["{\"index\"]\n", "HTTP", &list(39, false, &[])].iter().enumerate() {
        let (mut harness, conn) = watching();
        let out = harness.receive(conn, chunk(&format!("{line}\n")));
        assert!(aborted(&out, conn), "case {case}");
        let (again, _) = opened_watch(&harness.advance(ms(810))).expect("the watch is reopened");
        let out = harness.handle(Input::Connected(again));
        assert!(text(&out, again).contains("after=0 "), "case {case}: the complete list is requested");
        let client = harness.connect_client();
        assert_eq!(
            opened(&harness.receive(client, request("chat", "1"))).len(),
            1,
            "case {case}: the list stays"
        );
    }
    let (mut harness, conn) = watching();
    assert!(aborted(&harness.receive(conn, &good), conn), "an older complete list that was not requested");
}

#[test]
fn a_watch_that_breaks_is_reopened_and_requests_the_complete_list() {
    let failures: [fn(ConnId) -> Input<'static>; 2] = [Input::Eof, |conn| lost(conn, ConnectionLoss::Reset)];
    for failure in failures {
        let (mut harness, conn) = watching();
        harness.receive(conn, chunk("{\"index\":42,\"snap"));
        harness.handle(failure(conn));
        let (again, _) = opened_watch(&harness.advance(ms(810))).expect("the watch is reopened");
        let out = harness.handle(Input::Connected(again));
        assert!(
            text(&out, again).contains("after=0 "),
            "changes missed by the broken watch may not be sent again"
        );
        harness.receive(again, WATCH_HEAD);
        let whole = list(42, true, &[engine("w", "writes", 2, "Terminating")]);
        assert!(
            !aborted(&harness.receive(again, chunk(&(whole + "\n"))), again),
            "an incomplete line is dropped"
        );
        let out = {
            let client = harness.connect_client();
            harness.receive(client, request("chat", "1"))
        };
        assert!(opened(&out).is_empty(), "the complete list replaces the old one: {out:?}");
    }
}

#[test]
fn a_watch_with_an_incomplete_object_is_reopened() {
    // An incomplete object that ends with a line break is not a list, and the next line is not parsed as its
    // rest.
    let (mut harness, conn) = watching();
    harness.receive(conn, chunk("{\"index\":\n"));
    let out = harness.advance(ms(2_310));
    assert!(aborted(&out, conn) && opened_watch(&out).is_some());
}

#[test]
fn a_silent_watch_is_reopened_at_once_and_one_with_empty_lines_is_kept() {
    let (mut harness, conn) = watching();
    for _ in 0..5 {
        assert!(!aborted(&harness.advance(ms(2_000)), conn), "empty lines keep the watch open");
        harness.receive(conn, chunk("\n"));
    }
    let out = harness.advance(ms(3_800));
    assert!(
        aborted(&out, conn) && opened_watch(&out).is_some(),
        "a watch without lines is taken as hung, and a new one is opened at once"
    );
}

/// The rule on drains requires that changes which a silent watch missed are applied within 6 s after it fell
/// silent, also if the first connection of the new watch is not established.
#[test]
fn changes_missed_by_a_silent_watch_arrive_within_six_seconds() {
    for failed_connects in [0, 1] {
        let (mut harness, silent) = watching();
        let start = harness.now;
        harness.receive(silent, chunk("\n"));
        let mut conn = silent;
        for _ in 0..=failed_connects {
            let mut out = Vec::new();
            while opened_watch(&out).is_none_or(|(new, _)| new == conn) && harness.now < start + ms(6_000) {
                out = harness.advance(ms(10));
            }
            conn = opened_watch(&out).expect("the watch is reopened").0;
        }
        harness.handle(Input::Connected(conn));
        let drains = [engine("w", "writes", 2, "Terminating")];
        harness.receive(conn, format!("{WATCH_HEAD}{}", chunk(&(list(42, false, &drains) + "\n"))));
        assert!(harness.now < start + ms(5_900), "{failed_connects}: {:?}", harness.now - start);
        let client = harness.connect_client();
        let out = harness.receive(client, request("chat", "1"));
        let (prefill, _) = opened(&out)[0];
        harness.connected(prefill);
        assert_eq!(opened(&harness.receive(prefill, PREFILLED))[0].1, 3, "the other decode engine");
    }
}

/// Guards against dropping a request that arrives just as its connection reaches the idle timeout, or as a
/// shutdown closes idle connections. Where streams run to their end, it is too late for an attempt by then and
/// gets a rejection.
#[test]
fn a_request_received_at_the_idle_timeout_is_answered() {
    for (shuts_down, resumes) in [(false, false), (true, true), (true, false)] {
        let mut harness = harness_with_resumption(resumes);
        let client = harness.connect_client();
        // An answered request, then silence until the idle timeout; the next request is in the socket by
        // then.
        let out = harness.receive(client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        harness.handle(Input::Sent(client, bytes(&out, client).len()));
        if shuts_down {
            harness.handle(Input::Stop);
        }
        harness.now += if shuts_down { ms(700) } else { ms(15_000) };
        let out = harness.receive(client, request("chat", "1"));
        if shuts_down && !resumes {
            assert_eq!((status(&out, client), opened(&out).len()), (Some(503), 0), "{out:?}");
            assert!(is_closed_when_sent(&out, client), "{out:?}");
        } else {
            assert!(!is_closed(&out, client) && opened(&out).len() == 1, "{shuts_down}: {out:?}");
        }
    }
}

#[test]
fn a_router_without_a_list_is_not_ready() {
    let readiness_request = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut harness = Harness::with(&config(DISCOVERY, "null", 256));
    let (conn, _) = opened_watch(&harness.advance(ms(1))).unwrap();
    let client = harness.connect_client();
    assert_eq!(status(&harness.receive(client, readiness_request), client), Some(503));
    harness.handle(Input::Connected(conn));
    harness.receive(conn, WATCH_HEAD);
    harness.receive(conn, chunk(&(list(1, true, &engines()) + "\n")));
    assert_eq!(status(&harness.receive(client, readiness_request), client), Some(200));
}

#[test]
fn a_reload_moves_the_watch_and_keeps_streams() {
    for is_silent in [false, true] {
        let (mut harness, old) = watching();
        let (client, decode) = harness.streaming("chat");
        if is_silent {
            let out = harness.advance(ms(2_900));
            assert!(
                !is_closed(&out, client) && opened_watch(&out).is_none(),
                "a watch may be silent for that long"
            );
        }
        let config = Config::parse(&config("127.0.0.9:8600", &list(41, true, &engines()), 256)).unwrap();
        let out = harness.handle(Input::OwnerMessage(&config));
        let (new, port) = opened_watch(&out).expect("opened at once");
        assert!(aborted(&out, old) && port == 8600);
        let out = harness.handle(Input::Connected(new));
        assert!(text(&out, new).contains("after=41 "));
        let out = harness.receive(decode, stream_end());
        assert!(text(&out, client).ends_with("0\r\n\r\n"), "the stream goes on");
        assert!(
            opened_watch(&harness.handle(Input::OwnerMessage(&config))).is_none(),
            "the same address again changes nothing"
        );
    }
}

// ---- Releases -----------------------------------------------------------------------------------

#[test]
fn held_state_is_released_until_acknowledged_and_again_while_the_prefill_may_still_end() {
    let mut harness = Harness::new();
    let (client, decode, _) = harness.forwarded_to_decode_engine("chat");
    let out = harness.handle(Input::Eof(client));
    let sent = sent_releases(&out);
    assert_eq!(sent.len(), 1, "on the idle connection to the prefill engine");
    assert_eq!(sent[0].request_line, "DELETE /v1/holds/9b1f HTTP/1.1");
    assert!(aborted(&out, decode));
    // No answer arrives: the release is retried on this or another connection until it is acknowledged. As
    // the decode was cancelled just before and its engine is silent, the release is repeated even then: once
    // soon, then at the configured interval for as long as engines may hang.
    let disconnected_at = harness.now;
    let last_repeat = disconnected_at + ms(8_000);
    let (mut acknowledged, mut out) = (Vec::new(), harness.advance(ms(400)));
    while harness.now < last_repeat + ms(1_000) {
        acknowledged.extend(acknowledge_all_but(&mut harness, out, DECODE_PORT));
        out = harness.advance(ms(10));
    }
    let early = acknowledged.iter().filter(|&&at| at < disconnected_at + ms(600)).count();
    assert!((2..=4).contains(&early), "{acknowledged:?}");
    assert!((16..=19).contains(&acknowledged.len()), "{acknowledged:?}");
    assert!(
        acknowledged.last().is_some_and(|&at| at >= last_repeat && at < last_repeat + ms(700)),
        "{acknowledged:?}"
    );
    let out = harness.advance(ms(3_000));
    assert!(
        sent_releases(&out).is_empty() && opened(&out).is_empty(),
        "no release is sent after the last repeat"
    );
    assert_eq!(harness.router.held_state().releases, 0);
}

#[test]
fn a_release_is_repeated_once_after_contact_with_the_cancelled_engine() {
    let one_decode_engine = [engine("r", "reads", 1, "Ready"), engine("w", "writes", DECODE_PORT, "Ready")];
    let mut harness = Harness::with(&config(DISCOVERY, &list(41, true, &one_decode_engine), 256));
    let (client, _) = harness.prefilled_and_forwarded("chat", "left");
    let out = harness.handle(Input::Eof(client));
    let mut acknowledged = acknowledge_all_but(&mut harness, out, NO_PORT);
    harness.advance(ms(50));
    // The decode engine answers another request; by then it has seen that the first decode was cancelled.
    let (_, decode) = harness.prefilled_and_forwarded("chat", "other");
    harness.receive(decode, [STREAM_HEAD, &chunk(&event("one"))].concat());
    for _ in 0..300 {
        let out = harness.advance(ms(10));
        acknowledged.extend(acknowledge_all_but(&mut harness, out, NO_PORT));
    }
    assert_eq!(acknowledged.len(), 2, "{acknowledged:?}");
    assert_eq!(harness.router.held_state().releases, 0);
}

const DECODE_PORT: u16 = 2;
const NO_PORT: u16 = 0;

/// Establishes connections, except those to the port `silent`, and acknowledges releases. Returns the time of
/// each acknowledgement.
fn acknowledge_all_but(harness: &mut Harness, mut out: Vec<Output>, silent: u16) -> Vec<std::time::Duration> {
    for (conn, port) in opened(&out) {
        if port != silent {
            out.extend(harness.connected(conn));
        }
    }
    let sent = sent_releases(&out);
    for release in &sent {
        harness.receive(release.conn, RELEASED);
    }
    vec![harness.now; sent.len()]
}

#[test]
fn a_prefill_whose_connection_broke_is_released() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let prefill = opened(&harness.receive(client, request("chat", "1")))[0].0;
    harness.connected(prefill);
    let out = harness.handle(lost(prefill, ConnectionLoss::Reset));
    // The prefill is retried at the same engine. The release is sent before or with it, and is not retried
    // during the new prefill.
    let retries = opened(&out);
    assert!(!retries.is_empty(), "{out:?}");
    let out = harness.handle(Input::Eof(client));
    let all: Vec<_> = out.iter().chain(&harness.advance(ms(300))).cloned().collect();
    let mut sent = sent_releases(&all);
    for (conn, _) in opened(&all) {
        sent.extend(sent_releases(&harness.connected(conn)));
    }
    assert!(!sent.is_empty(), "released once no attempt is in flight");
}

#[test]
fn a_release_is_not_retried_during_a_new_prefill() {
    let mut harness = Harness::new();
    let client = harness.connect_client();
    let prefill = opened(&harness.receive(client, request("chat", "1")))[0].0;
    harness.connected(prefill);
    harness.handle(lost(prefill, ConnectionLoss::Reset));
    let out = harness.advance(ms(700));
    assert!(sent_releases(&out).is_empty(), "it would release the state of the new prefill: {out:?}");
}

#[test]
fn a_started_stream_needs_no_release() {
    let mut harness = Harness::new();
    let (_, decode) = harness.streaming("chat");
    harness.receive(decode, stream_end());
    assert_eq!((harness.router.counters().releases, harness.router.held_state().releases), (0, 0));
}

// ---- Shutdown ---------------------------------------------------------------------------------------

/// A harness whose clients resume broken streams if `resumes`.
fn harness_with_resumption(resumes: bool) -> Harness {
    let config = config(DISCOVERY, &list(41, true, &engines()), 256);
    Harness::with(
        &config.replace("\"local_read\":false", &format!("\"local_read\":false,\"resume\":{resumes}")),
    )
}

#[test]
fn a_stopping_router_answers_new_requests_and_then_ends() {
    // Where streams run to their end, requests are admitted for a shorter time.
    for (resumes, arrival) in [(false, ms(545)), (true, ms(600))] {
        let mut harness = harness_with_resumption(resumes);
        let idle = harness.connect_client();
        harness.receive(idle, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        let (client, decode) = harness.streaming("chat");
        let out = harness.handle(Input::Stop);
        assert!(!is_closed(&out, idle) && !is_closed(&out, client) && !out.contains(&Output::Stopped));
        let out = harness.advance(arrival);
        assert!(!is_closed(&out, idle), "idle connections stay open while new clients come");
        let late = harness.connect_client();
        let out = harness.receive(late, request("chat", "late"));
        let (prefill, _) = opened(&out)[0];
        harness.connected(prefill);
        let out = harness.advance(ms(150));
        assert!(is_closed(&out, idle), "idle connections are closed once no new clients come");
        harness.receive(prefill, PREFILLED);
        let out = harness.receive(decode, stream_end());
        assert!(text(&out, client).ends_with("0\r\n\r\n") && is_closed_when_sent(&out, client));
        let out = harness.advance(ms(4_800));
        assert!(text(&out, late).contains("connection: close"), "{}", text(&out, late));
        assert!(out.contains(&Output::Stopped));
    }
}

/// Guards against closing a new connection while its first request is in transit, at each step of a shutdown.
#[test]
fn a_shutdown_keeps_new_connections_open_for_their_first_request() {
    for step in [ms(700), ms(2_400), ms(3_250)] {
        let mut harness = harness_with_resumption(true);
        // A request in progress keeps the router running until the last step.
        harness.streaming("chat");
        harness.handle(Input::Stop);
        harness.advance(step - ms(1));
        let (sending, silent) = (harness.connect_client(), harness.connect_client());
        let out = harness.advance(ms(2));
        assert!(!is_closed(&out, sending) && !is_closed(&out, silent), "{step:?}");
        let out = harness.receive(sending, request("chat", "late"));
        assert!(!opened(&out).is_empty() || status(&out, sending) == Some(503), "{step:?}: {out:?}");
        let out = harness.advance(ms(400));
        assert!(is_closed(&out, silent), "{step:?}: it had time to send a request");
    }
}

/// Runs the steps of a shutdown until the router stops listening, and asserts that no `Output::Stopped`
/// precedes.
fn run_until_listener_closes(harness: &mut Harness) {
    for _ in 0..50 {
        let at = harness.router.wake_at().expect("the shutdown has a further step");
        harness.now = harness.now.max(at);
        let out = harness.handle(Input::Wake);
        assert!(!out.contains(&Output::Stopped), "it ends before its listener is closed");
        if out.contains(&Output::StopListening) {
            return;
        }
    }
    panic!("the router never stops listening");
}

/// Guards against dropping a request that has reached the listener as the router ends. The driver reports its
/// connection between `Output::StopListening` and `Output::Stopped`.
#[test]
fn a_connection_accepted_as_the_listener_closes_is_answered_before_the_router_ends() {
    for resumes in [false, true] {
        let mut harness = harness_with_resumption(resumes);
        harness.handle(Input::Stop);
        run_until_listener_closes(&mut harness);
        let late = harness.connect_client();
        let mut out = harness.receive(late, request("chat", "late"));
        // A stream that is not resumed could be cut off by the kill: it is not begun.
        assert_eq!(opened(&out).is_empty(), !resumes, "{out:?}");
        assert!(!out.contains(&Output::Stopped), "{out:?}");
        out.extend(harness.advance(ms(4_800)));
        let is_expected = |status: u16| resumes || status == 503;
        assert!(status(&out, late).is_some_and(is_expected) && is_closed(&out, late), "{out:?}");
        let answered =
            out.iter().position(|output| matches!(output, Output::Write(conn, _) if *conn == late));
        let stopped = out.iter().position(|output| *output == Output::Stopped);
        assert!(answered.is_some() && stopped.is_some() && answered < stopped, "{out:?}");
    }
}

#[test]
fn an_idle_router_ends_as_soon_as_its_listener_is_closed() {
    let mut harness = harness_with_resumption(false);
    harness.handle(Input::Stop);
    run_until_listener_closes(&mut harness);
    assert!(harness.advance(ms(2)).contains(&Output::Stopped));
}

#[test]
fn streams_are_migrated_before_the_kill_where_clients_resume() {
    for resumes in [false, true] {
        let mut harness = harness_with_resumption(resumes);
        let (client, decode) = harness.streaming("chat");
        harness.handle(Input::Stop);
        let mut out = Vec::new();
        for _ in 0..36 {
            out.extend(harness.advance(ms(100)));
            harness.receive(decode, chunk(&event("on")));
        }
        assert_eq!(is_closed_when_sent(&out, client), resumes);
        assert_eq!(aborted(&out, decode), resumes);
        assert!(!text(&out, client).contains("0\r\n\r\n"));
    }
}

#[test]
fn requests_without_a_stream_are_answered_before_the_kill() {
    let mut harness = harness_with_resumption(true);
    harness.handle(Input::Stop);
    harness.advance(ms(1_500));
    let (client, _, _) = harness.forwarded_to_decode_engine("once");
    let out = harness.advance(ms(1_800));
    assert_eq!(status(&out, client), Some(502));
}

/// An engine drains and leaves in one read, while an attempt at it is decided and not written yet.
#[test]
fn an_engine_that_drains_and_leaves_at_once_receives_no_decided_attempt() {
    let (mut harness, conn) = watching();
    let client = harness.connect_client();
    let prefill = opened(&harness.receive(client, request("chat", "1")))[0].0;
    let drains = list(42, false, &[engine("r", "reads", 1, "Terminating")]);
    let leaves =
        list(43, false, &[r#"{"name":"r","status":"Gone"}"#.to_owned(), engine("s", "reads", 7, "Ready")]);
    let out =
        harness.receive(conn, format!("{}{}", chunk(&format!("{drains}\n")), chunk(&format!("{leaves}\n"))));
    assert!(aborted(&out, prefill), "an attempt that was not written yet moves to another engine");
    let mut all = out;
    for _ in 0..20 {
        all.extend(harness.advance(ms(20)));
    }
    let ports: Vec<u16> = opened(&all).iter().map(|&(_, port)| port).collect();
    assert!(ports.contains(&7) && !ports.contains(&1), "{ports:?}");
    assert_eq!(status(&all, client), None, "it waits for the other prefill engine");
}
