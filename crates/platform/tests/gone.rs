//! A client that has gone: nothing more is sent on for it, wherever its request stands, and what is held is let go of.

mod common;
use common::*;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Output};

/// How a client goes.
const GOODBYES: [fn(ConnId) -> Input<'static>; 3] =
    [Input::Eof, |conn| Input::Lost(conn, ConnectionLoss::Reset), Input::PeerClosedWhilePaused];

/// Requests that are written whole, or as far as their last byte.
fn posts(out: &[Output]) -> usize {
    out.iter()
        .filter(|o| matches!(o, Output::Write(c, bytes) if c.is_opened() && bytes.starts_with(b"POST ")))
        .count()
}

/// The client goes; from then on whatever connections come up and whatever engines answer, nothing is sent on for it.
fn goes(host: &mut Host, client: ConnId, goodbye: fn(ConnId) -> Input<'static>, answer: &[(ConnId, &str)]) {
    let mut all = host.tell(goodbye(client));
    for &(conn, bytes) in answer {
        all.extend(host.data(conn, bytes));
    }
    assert_eq!(posts(&all), 0, "{all:?}");
    // Longer than releases are repeated.
    for _ in 0..100 {
        for (conn, _) in opened(&all) {
            let out = host.connected(conn);
            assert_eq!(posts(&out), 0, "{out:?}");
            host.data(conn, "HTTP/1.1 204 No Content\r\n\r\n");
        }
        all = host.pass(ms(100));
        assert_eq!(posts(&all), 0, "{all:?}");
    }
    let held = host.node.held_state();
    let (clients, calls, releases) = (held.client_connections, held.requests, held.releases);
    assert_eq!(
        (clients, calls, releases, host.node.decision_state_sizes().requests),
        (0, 0, 0, 0),
        "nothing is kept of it"
    );
    assert!(host.node.attempts_on_connections().is_empty(), "{:?}", host.node.attempts_on_connections());
}

fn probing() -> Host {
    let config = config(DISCOVERY, &list(41, true, &engines()), 256);
    Host::with(
        &config
            .replace("\"may_probe\":false", "\"may_probe\":true")
            .replace("\"balancers\":1", "\"balancers\":8"),
    )
}

#[test]
fn gone_while_a_probe_is_awaited() {
    for goodbye in GOODBYES {
        let mut host = probing();
        // A second writer to choose from is asked first, as what is known of both is old.
        host.pass(ms(5_000));
        let client = host.client();
        let (reader, _) = opened(&host.data(client, request("chat", "1")))[0];
        host.connected(reader);
        let out = host.data(reader, READ);
        let probes = opened(&out);
        let asked: Vec<ConnId> = probes.iter().map(|p| p.0).collect();
        assert_eq!(asked.len(), 2, "{out:?}");
        for &conn in &asked {
            assert!(text(&host.connected(conn), conn).starts_with("GET /-/load "));
        }
        let load = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\npending=1,x0=0";
        goes(&mut host, client, goodbye, &[(asked[0], load), (asked[1], load)]);
    }
}

#[test]
fn gone_while_its_connection_to_the_engine_comes_up() {
    for goodbye in GOODBYES {
        let mut host = Host::new();
        let client = host.client();
        let (reader, _) = opened(&host.data(client, request("chat", "1")))[0];
        let out = host.tell(goodbye(client));
        assert!(aborted(&out, reader), "{out:?}");
        assert_eq!(posts(&host.tell(Input::Connected(reader))), 0);
        goes(&mut host, client, goodbye, &[]);
    }
}

#[test]
fn gone_while_the_read_is_out_no_write_follows() {
    for goodbye in GOODBYES {
        let mut host = Host::new();
        let client = host.client();
        let (reader, _) = opened(&host.data(client, request("chat", "1")))[0];
        host.connected(reader);
        // The answer was on its way as the connection was closed.
        goes(&mut host, client, goodbye, &[(reader, READ)]);
        assert!(host.node.counters().releases > 0, "the state that the read may have left is let go of");
    }
}

#[test]
fn gone_between_a_failure_and_the_next_attempt() {
    for goodbye in GOODBYES {
        // Both writers turn it away, and there is none to go to at once.
        let mut host = Host::new();
        let (client, writer, _) = host.at_writer("chat");
        let full = "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let out = host.data(writer, full);
        let next: Vec<ConnId> = opened(&out).iter().map(|o| o.0).collect();
        for conn in next {
            host.connected(conn);
            host.data(conn, full);
        }
        goes(&mut host, client, goodbye, &[]);
    }
}

/// The last byte of a write that must not be repeated is held back for a moment: what has gone by then never runs.
#[test]
fn gone_while_the_last_byte_is_held_back() {
    for goodbye in GOODBYES {
        let mut host = Host::new();
        let client = host.client();
        let (reader, _) = opened(&host.data(client, request("once", "1")))[0];
        host.connected(reader);
        let (writer, _) = opened(&host.data(reader, READ))[0];
        let out = host.connected(writer);
        assert!(text(&out, writer).ends_with("\"stream\":true"), "all but the last byte");
        let out = host.tell(goodbye(client));
        assert!(aborted(&out, writer));
        let out = host.pass(ms(10));
        assert!(bytes(&out, writer).is_empty(), "{out:?}");
        goes(&mut host, client, goodbye, &[]);
    }
}

#[test]
fn gone_with_more_requests_pipelined_behind_the_one_that_is_served() {
    for goodbye in GOODBYES {
        let mut host = Host::new();
        let client = host.client();
        let ahead: String = (1..=4).map(|n| request("chat", &n.to_string())).collect();
        let out = host.data(client, ahead);
        let (reader, _) = opened(&out)[0];
        assert_eq!(opened(&out).len(), 1, "one at a time");
        host.connected(reader);
        goes(&mut host, client, goodbye, &[(reader, READ)]);
        assert_eq!(host.node.counters().admitted, 1);
    }
}

/// Guards against a client that sent much ahead and went: its connection was paused, and its close hid behind what waited.
#[test]
fn gone_behind_more_than_is_read_ahead() {
    let mut host = Host::new();
    let client = host.client();
    let out = host.data(client, request("chat", "1"));
    let (reader, _) = opened(&out)[0];
    let ahead: String = (2..200).map(|n| request("chat", &n.to_string())).collect();
    let out = host.data(client, ahead);
    assert!(out.contains(&Output::Pause(client)));
    host.connected(reader);
    goes(&mut host, client, Input::PeerClosedWhilePaused, &[(reader, READ)]);
    assert_eq!(host.node.counters().admitted, 1);
}

#[test]
fn gone_after_the_stop() {
    for goodbye in GOODBYES {
        let mut host = Host::new();
        let client = host.client();
        let (reader, _) = opened(&host.data(client, request("chat", "1")))[0];
        host.connected(reader);
        host.tell(Input::Stop);
        host.pass(ms(300));
        goes(&mut host, client, goodbye, &[(reader, READ)]);
    }
}

/// Guards against a late second answer of the exchange before, which came while the last byte of the next request was held
/// back: it was taken for that one's answer.
#[test]
fn what_comes_before_the_last_byte_was_written_is_no_answer_but_that_it_is_turned_away() {
    let stream = [STREAM_HEAD, &chunk(&event("another's")), "0\r\n\r\n"].concat();
    for early in [stream.as_str(), READ, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n"]
    {
        let mut host = Host::new();
        let client = host.client();
        let (reader, _) = opened(&host.data(client, request("once", "1")))[0];
        host.connected(reader);
        let (writer, port) = opened(&host.data(reader, READ))[0];
        host.connected(writer);
        let out = host.data(writer, early);
        assert!(aborted(&out, writer) && bytes(&out, client).is_empty(), "{early}: {out:?}");
        let (next, other) = opened(&out)[0];
        assert_ne!(other, port, "it never ran and goes to the other writer");
        host.connected(next);
        host.pass(ms(4));
        let out = host.data(next, [STREAM_HEAD, &chunk(&event("its own"))].concat());
        assert!(text(&out, client).contains("its own"));
    }
    let mut host = Host::new();
    let client = host.client();
    let (reader, _) = opened(&host.data(client, request("once", "1")))[0];
    host.connected(reader);
    let (writer, port) = opened(&host.data(reader, READ))[0];
    host.connected(writer);
    let out = host.data(writer, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    assert_ne!(opened(&out)[0].1, port, "turned away before all was said");
}
