//! Discovery, letting go, reloads and stops.

mod common;
use common::*;
use slipreel_platform::Config;
use slipreel_state_machine::{ConnectionLoss, Input, Machine, Output};

const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A host whose watch is open.
fn watching() -> (Host, slipreel_state_machine::ConnId) {
    let mut host = Host::new();
    let (conn, port) = watch(&host.pass(ms(1))).unwrap();
    assert_eq!(port, 8500);
    let out = host.tell(Input::Connected(conn));
    assert!(text(&out, conn).starts_with("GET /api/targets?watch=1&after=41 HTTP/1.1\r\n"));
    host.data(conn, WATCH_HEAD);
    (host, conn)
}

#[test]
fn changes_of_the_list_are_obeyed_at_once() {
    let (mut host, conn) = watching();
    let client = host.client();
    let reader = opened(&host.data(client, request("chat", "1")))[0].0;
    // Before its connection stands the reader drains and another has come.
    let change = list(42, false, &[engine("r", "reads", 1, "Terminating"), engine("s", "reads", 7, "Ready")]);
    let out = host.data(conn, chunk(&(change + "\n")));
    assert!(aborted(&out, reader), "what has not left goes elsewhere");
    assert_eq!(opened(&out).iter().map(|o| o.1).collect::<Vec<_>>(), [7]);
    let gone = list(43, false, &[r#"{"name":"s","status":"Gone"}"#.to_owned()]);
    let out = host.data(conn, chunk(&(gone + "\n")));
    assert!(opened(&out).is_empty());
}

#[test]
fn an_engine_is_its_name_wherever_it_is() {
    let (mut host, conn) = watching();
    let (client, writer) = host.streaming("chat");
    host.data(writer, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    let moved: Vec<String> = [("r", "reads", 11), ("w", "writes", 12), ("v", "writes", 13)]
        .map(|(n, k, p)| engine(n, k, p, "Ready"))
        .into();
    let out = host.data(conn, chunk(&(list(42, true, &moved) + "\n")));
    assert!(ends(&out, writer), "idle connections to the old address end");
    let out = host.data(client, request("chat", "2"));
    assert_eq!(opened(&out)[0].1, 11);
}

#[test]
fn a_watch_that_breaks_hangs_or_cant_be_read_is_opened_anew_and_the_list_stays() {
    let good = chunk(&(list(40, true, &[]) + "\n"));
    for (n, deed) in ["{\"index\"]\n", "HTTP", &list(39, false, &[])].iter().enumerate() {
        let (mut host, conn) = watching();
        let out = host.data(conn, chunk(&format!("{deed}\n")));
        assert!(aborted(&out, conn), "case {n}");
        let (again, _) = watch(&host.pass(ms(810))).expect("opened anew");
        let out = host.tell(Input::Connected(again));
        assert!(text(&out, again).contains("after=0 "), "case {n}: the whole list is asked for");
        let client = host.client();
        assert_eq!(opened(&host.data(client, request("chat", "1"))).len(), 1, "case {n}: the list stays");
    }
    let (mut host, conn) = watching();
    assert!(aborted(&host.data(conn, &good), conn), "an older whole list that was not asked for");
    for deed in [Input::Eof(conn), Input::Lost(conn, ConnectionLoss::Reset)] {
        let (mut host, conn) = watching();
        host.data(conn, chunk("{\"index\":42,\"snap"));
        host.tell(deed);
        let (again, _) = watch(&host.pass(ms(810))).expect("opened anew");
        let out = host.tell(Input::Connected(again));
        assert!(
            text(&out, again).contains("after=0 "),
            "what the broken one had missed need not be a change"
        );
        host.data(again, WATCH_HEAD);
        let whole = list(42, true, &[engine("w", "writes", 2, "Terminating")]);
        assert!(!aborted(&host.data(again, chunk(&(whole + "\n"))), again), "half a line is none");
        let out = {
            let client = host.client();
            host.data(client, request("chat", "1"))
        };
        assert!(opened(&out).is_empty(), "the list that came whole is the one that holds: {out:?}");
    }
    // Half an object with an end of line is no list, and what follows is not taken for its rest.
    let (mut host, conn) = watching();
    host.data(conn, chunk("{\"index\":\n"));
    let out = host.pass(ms(2_310));
    assert!(aborted(&out, conn) && watch(&out).is_some());
    let (mut host, conn) = watching();
    for _ in 0..5 {
        assert!(!aborted(&host.pass(ms(2_000)), conn), "empty lines say that it lives");
        host.data(conn, chunk("\n"));
    }
    let out = host.pass(ms(3_800));
    assert!(
        aborted(&out, conn) && watch(&out).is_some(),
        "one without lines hangs, and a new one is opened at once"
    );
}

/// The rule that drains are kept counts what a silent watch missed as told 6 s after it fell silent: by then the list has
/// to be here, also if the first connection of the new watch does not come up.
#[test]
fn what_a_silent_watch_missed_is_here_within_six_seconds() {
    for lost in [0, 1] {
        let (mut host, silent) = watching();
        let start = host.now;
        host.data(silent, chunk("\n"));
        let mut conn = silent;
        for _ in 0..=lost {
            let mut out = Vec::new();
            while watch(&out).is_none_or(|(new, _)| new == conn) && host.now < start + ms(6_000) {
                out = host.pass(ms(10));
            }
            conn = watch(&out).expect("opened anew").0;
        }
        host.tell(Input::Connected(conn));
        let drains = [engine("w", "writes", 2, "Terminating")];
        host.data(
            conn,
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
                chunk(&(list(42, false, &drains) + "\n"))
            ),
        );
        assert!(host.now < start + ms(5_900), "{lost}: {:?}", host.now - start);
        let client = host.client();
        let out = host.data(client, request("chat", "1"));
        let (reader, _) = opened(&out)[0];
        host.connected(reader);
        assert_eq!(opened(&host.data(reader, READ))[0].1, 3, "the other writer");
    }
}

/// Guards against a request that was read in the moment in which its connection's idle time was up, or a stop's time to
/// close idle ones: it was dropped with the connection.
#[test]
fn a_request_read_as_its_connection_falls_idle_is_served() {
    for stops in [false, true] {
        let mut host = Host::new();
        let client = host.client();
        // An answered request, then nothing for as long as it may stand idle, but for what is in the socket.
        let out = host.data(client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        host.tell(Input::Sent(client, bytes(&out, client).len()));
        if stops {
            host.tell(Input::Stop);
        }
        host.now += if stops { ms(700) } else { ms(15_000) };
        let out = host.data(client, request("chat", "1"));
        assert!(!ends(&out, client) && opened(&out).len() == 1, "{stops}: {out:?}");
    }
}

#[test]
fn a_node_without_a_list_is_not_ready() {
    let ask = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut host = Host::with(&config(DISCOVERY, "null", 256));
    let (conn, _) = watch(&host.pass(ms(1))).unwrap();
    let client = host.client();
    assert_eq!(status(&host.data(client, ask), client), Some(503));
    host.tell(Input::Connected(conn));
    host.data(conn, WATCH_HEAD);
    host.data(conn, chunk(&(list(1, true, &engines()) + "\n")));
    assert_eq!(status(&host.data(client, ask), client), Some(200));
}

#[test]
fn a_reload_moves_the_watch_and_loses_nothing() {
    for hangs in [false, true] {
        let (mut host, old) = watching();
        let (client, writer) = host.streaming("chat");
        if hangs {
            let out = host.pass(ms(2_900));
            assert!(!ends(&out, client) && watch(&out).is_none(), "it may be silent for so long");
        }
        let config = Config::parse(&config("127.0.0.9:8600", &list(41, true, &engines()), 256)).unwrap();
        let out = host.tell(Input::OwnerMessage(&config));
        let (new, port) = watch(&out).expect("opened at once");
        assert!(aborted(&out, old) && port == 8600);
        let out = host.tell(Input::Connected(new));
        assert!(text(&out, new).contains("after=41 "));
        let out = host.data(writer, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        assert!(text(&out, client).ends_with("0\r\n\r\n"), "the stream goes on");
        assert!(
            watch(&host.tell(Input::OwnerMessage(&config))).is_none(),
            "the same address again changes nothing"
        );
    }
}

// ---- Releases -----------------------------------------------------------------------------------

const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

fn releases(out: &[Output]) -> Vec<(slipreel_state_machine::ConnId, String)> {
    let all = out.iter().filter_map(|o| match o {
        Output::Write(c, bytes) if bytes.starts_with(b"DELETE ") => {
            Some((*c, String::from_utf8_lossy(bytes).lines().next().unwrap().to_owned()))
        }
        _ => None,
    });
    all.collect()
}

#[test]
fn state_whose_client_left_is_released_until_acknowledged_and_again_while_the_read_may_yet_end() {
    let mut host = Host::new();
    let (client, writer, _) = host.at_writer("chat");
    let out = host.tell(Input::Eof(client));
    let sent = releases(&out);
    assert_eq!(sent.len(), 1, "on the connection that stands: the reader's");
    assert_eq!(sent[0].1, "DELETE /v1/holds/9b1f HTTP/1.1");
    assert!(aborted(&out, writer));
    // Nothing answers: it is sent again, on a connection of its own or another's, until one acknowledges it. As the write was
    // given up a moment before and its engine says nothing, it is repeated: soon once, then at the pace of the setting for as
    // long as engines may hang.
    let left = host.now;
    let over = left + ms(8_000);
    let (mut acknowledged, mut out) = (Vec::new(), host.pass(ms(400)));
    while host.now < over + ms(1_000) {
        acknowledged.extend(acknowledge_all_but(&mut host, out, WRITER_PORT));
        out = host.pass(ms(10));
    }
    let early = acknowledged.iter().filter(|&&at| at < left + ms(600)).count();
    assert!((2..=4).contains(&early), "{acknowledged:?}");
    assert!((16..=19).contains(&acknowledged.len()), "{acknowledged:?}");
    assert!(acknowledged.last().is_some_and(|&at| at >= over && at < over + ms(700)), "{acknowledged:?}");
    let out = host.pass(ms(3_000));
    assert!(releases(&out).is_empty() && opened(&out).is_empty(), "that is enough");
    assert_eq!(host.node.held_state().releases, 0);
}

#[test]
fn a_release_is_repeated_once_where_the_engine_that_was_given_up_is_heard_from() {
    let one_writer = [engine("r", "reads", 1, "Ready"), engine("w", "writes", WRITER_PORT, "Ready")];
    let mut host = Host::with(&config(DISCOVERY, &list(41, true, &one_writer), 256));
    let (client, _) = host.read_and_sent_on("chat", "left");
    let out = host.tell(Input::Eof(client));
    let mut acknowledged = acknowledge_all_but(&mut host, out, NO_PORT);
    host.pass(ms(50));
    // The writer's engine answers another request, after it has seen the end of the write.
    let (_, writer) = host.read_and_sent_on("chat", "other");
    host.data(writer, [STREAM_HEAD, &chunk(&event("one"))].concat());
    for _ in 0..300 {
        let out = host.pass(ms(10));
        acknowledged.extend(acknowledge_all_but(&mut host, out, NO_PORT));
    }
    assert_eq!(acknowledged.len(), 2, "{acknowledged:?}");
    assert_eq!(host.node.held_state().releases, 0);
}

const WRITER_PORT: u16 = 2;
const NO_PORT: u16 = 0;

/// Connections come up, but for those to one engine, and releases are acknowledged. Gives when.
fn acknowledge_all_but(host: &mut Host, mut out: Vec<Output>, silent: u16) -> Vec<std::time::Duration> {
    for (conn, port) in opened(&out) {
        if port != silent {
            out.extend(host.connected(conn));
        }
    }
    let sent = releases(&out);
    for (conn, _) in &sent {
        host.data(*conn, RELEASED);
    }
    vec![host.now; sent.len()]
}

#[test]
fn a_read_whose_connection_broke_may_have_left_state() {
    let mut host = Host::new();
    let client = host.client();
    let reader = opened(&host.data(client, request("chat", "1")))[0].0;
    host.connected(reader);
    let out = host.tell(lost(reader, ConnectionLoss::Reset));
    // The module reads it again there; the release goes first or with it, and is not repeated under the new read.
    let again = opened(&out);
    assert!(!again.is_empty(), "{out:?}");
    let out = host.tell(Input::Eof(client));
    let all: Vec<_> = out.iter().chain(&host.pass(ms(300))).cloned().collect();
    let mut sent = releases(&all);
    for (conn, _) in opened(&all) {
        sent.extend(releases(&host.connected(conn)));
    }
    assert!(!sent.is_empty(), "released once no attempt is out");
}

#[test]
fn a_release_is_not_sent_again_under_a_new_read() {
    let mut host = Host::new();
    let client = host.client();
    let reader = opened(&host.data(client, request("chat", "1")))[0].0;
    host.connected(reader);
    host.tell(lost(reader, ConnectionLoss::Reset));
    let out = host.pass(ms(700));
    assert!(releases(&out).is_empty(), "it would let go of what the new attempt reads: {out:?}");
}

#[test]
fn a_stream_that_has_begun_has_taken_its_state() {
    let mut host = Host::new();
    let (_, writer) = host.streaming("chat");
    host.data(writer, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    assert_eq!((host.node.counters().releases, host.node.held_state().releases), (0, 0));
}

// ---- Stop ---------------------------------------------------------------------------------------

/// A host whose clients ask for the rest of what broke, or don't.
fn stopping(resumes: bool) -> Host {
    let config = config(DISCOVERY, &list(41, true, &engines()), 256);
    Host::with(&config.replace("\"local_read\":false", &format!("\"local_read\":false,\"resume\":{resumes}")))
}

#[test]
fn a_node_that_is_told_to_stop_answers_all_who_still_come_and_then_ends() {
    for resumes in [false, true] {
        let mut host = stopping(resumes);
        let idle = host.client();
        host.data(idle, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        let (client, writer) = host.streaming("chat");
        let out = host.tell(Input::Stop);
        assert!(!ends(&out, idle) && !ends(&out, client) && !out.contains(&Output::Stopped));
        host.pass(ms(600));
        let late = host.client();
        let out = host.data(late, request("chat", "late"));
        let (reader, _) = opened(&out)[0];
        host.connected(reader);
        let out = host.pass(ms(150));
        assert!(ends(&out, idle), "idle connections end when nobody is sent here any more");
        host.data(reader, READ);
        let out = host.data(writer, chunk("data: [DONE]\n\n") + "0\r\n\r\n");
        assert!(text(&out, client).ends_with("0\r\n\r\n") && finished(&out, client));
        let out = host.pass(ms(4_800));
        assert!(text(&out, late).contains("connection: close"), "{}", text(&out, late));
        assert!(out.contains(&Output::Stopped));
    }
}

/// Guards against a close that crosses the first request of a connection that has just come, at each step of a stop.
#[test]
fn a_stop_closes_no_connection_whose_first_request_may_be_on_its_way() {
    for step in [ms(700), ms(2_400), ms(3_250)] {
        let mut host = stopping(true);
        // Keeps the router up until the last step.
        host.streaming("chat");
        host.tell(Input::Stop);
        host.pass(step - ms(1));
        let (speaks, silent) = (host.client(), host.client());
        let out = host.pass(ms(2));
        assert!(!ends(&out, speaks) && !ends(&out, silent), "{step:?}");
        let out = host.data(speaks, request("chat", "late"));
        assert!(!opened(&out).is_empty() || status(&out, speaks) == Some(503), "{step:?}: {out:?}");
        let out = host.pass(ms(400));
        assert!(ends(&out, silent), "{step:?}: it had its moment");
    }
}

/// The steps at which a router with nothing left to do ends: it says that it stops listening, and nothing more at once.
fn stops_listening(host: &mut Host) {
    for _ in 0..50 {
        let at = host.node.wake_at().expect("a step of the stop");
        host.now = host.now.max(at);
        let out = host.tell(Input::Wake);
        assert!(!out.contains(&Output::Stopped), "it ends without having closed its listener in order");
        if out.contains(&Output::StopListening) {
            return;
        }
    }
    panic!("it never stops listening");
}

/// Guards against a request that had reached the listener as the router ended. The driver hands its connection over between
/// the two words of the router.
#[test]
fn who_is_handed_over_as_the_listener_closes_is_answered_before_the_router_ends() {
    let mut host = stopping(false);
    host.tell(Input::Stop);
    stops_listening(&mut host);
    let late = host.client();
    let out = host.data(late, request("chat", "late"));
    assert!(!opened(&out).is_empty() && !out.contains(&Output::Stopped), "it is served: {out:?}");
    let out = host.pass(ms(4_800));
    assert!(status(&out, late).is_some() && ends(&out, late), "{out:?}");
    let answered = out.iter().position(|o| matches!(o, Output::Write(conn, _) if *conn == late));
    let stopped = out.iter().position(|o| *o == Output::Stopped);
    assert!(answered.is_some() && answered < stopped, "{out:?}");
}

#[test]
fn a_router_to_which_nobody_comes_ends_as_soon_as_its_listener_is_closed() {
    let mut host = stopping(false);
    host.tell(Input::Stop);
    stops_listening(&mut host);
    assert!(host.pass(ms(2)).contains(&Output::Stopped));
}

#[test]
fn before_the_kill_streams_are_moved_where_their_clients_ask_for_the_rest() {
    for resumes in [false, true] {
        let mut host = stopping(resumes);
        let (client, writer) = host.streaming("chat");
        host.tell(Input::Stop);
        let mut out = Vec::new();
        for _ in 0..36 {
            out.extend(host.pass(ms(100)));
            host.data(writer, chunk(&event("on")));
        }
        assert_eq!(finished(&out, client), resumes);
        assert_eq!(aborted(&out, writer), resumes);
        assert!(!text(&out, client).contains("0\r\n\r\n"));
    }
}

#[test]
fn before_the_kill_what_has_not_begun_is_answered() {
    let mut host = stopping(true);
    host.tell(Input::Stop);
    host.pass(ms(1_500));
    let (client, _, _) = host.at_writer("once");
    let out = host.pass(ms(1_800));
    assert_eq!(status(&out, client), Some(502));
}

/// An engine drains and leaves in one wake-up, with an attempt for it decided and not written.
#[test]
fn an_engine_that_drains_and_leaves_at_once_gets_nothing_that_was_decided_before() {
    let (mut host, conn) = watching();
    let client = host.client();
    let reader = opened(&host.data(client, request("chat", "1")))[0].0;
    let drains = list(42, false, &[engine("r", "reads", 1, "Terminating")]);
    let leaves =
        list(43, false, &[r#"{"name":"r","status":"Gone"}"#.to_owned(), engine("s", "reads", 7, "Ready")]);
    let out = host.data(conn, format!("{}{}", chunk(&format!("{drains}\n")), chunk(&format!("{leaves}\n"))));
    assert!(aborted(&out, reader), "what has not left goes elsewhere");
    let mut all = out;
    for _ in 0..20 {
        all.extend(host.pass(ms(20)));
    }
    let ports: Vec<u16> = opened(&all).iter().map(|&(_, port)| port).collect();
    assert!(ports.contains(&7) && !ports.contains(&1), "{ports:?}");
    assert_eq!(status(&all, client), None, "it waits for the other reader");
}
