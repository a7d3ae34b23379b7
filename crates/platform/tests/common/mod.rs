//! A router that receives its inputs from the test, with one prefill engine, two decode engines, clients and
//! discovery; and the messages that they exchange.
#![allow(dead_code)]

pub mod actor;
pub mod cluster;
pub mod day;
pub mod restart;

use slipreel_platform::{Config, PlatformRouter};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::time::Duration;

/// A duration in milliseconds.
pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The address of discovery in [`config`].
pub const DISCOVERY: &str = "127.0.0.9:8500";

/// An entry of the endpoint list, in zone a and cell 1.
pub fn engine(name: &str, kind: &str, port: u16, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// An endpoint list of these entries.
pub fn list(index: u64, snapshot: bool, engines: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, engines.join(","))
}

/// The entries of a prefill engine at port 1 and of decode engines at ports 2 and 3.
pub fn engines() -> Vec<String> {
    vec![
        engine("r", "reads", 1, "Ready"),
        engine("w", "writes", 2, "Ready"),
        engine("v", "writes", 3, "Ready"),
    ]
}

/// The configuration of the router under test.
pub fn config(discovery: &str, initial_list: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.2:5000","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{initial_list},
        "settings":{{"balancers":1,"azs":["a"],"zone":0,"tick":4.0,"host_types":["reads","writes"],
          "classes":[{{"name":"chat","target":1000.0,"worth":1.0,"idempotency":"safe","streaming":true}},
                     {{"name":"once","target":1000.0,"worth":3.0,"idempotency":"unsafe","streaming":true}}],
          "customers":[{{"name":"acme","quota_per_s":50.0}}],"over_share_worth":0.05,
          "extra":{{"role_by_kind":["read","write"],"let_go_by":500.0,"local_read":false,
                   "report_x0":"share_of_memory_that_is_held"}},
          "report":{{"columns":["pending","x0"],"source":"piggyback"}},
          "limits":{{"cancelling":true,"may_probe":false,"retry_after":true,"max_retry_after":2000.0,"send_cap":4,
                    "connect_timeout":250.0,"idle_close":30000.0}},
          "rules":{{"cold":10000.0,"cold_share":0.3}}}}}}"#
    )
}

/// The configuration of a router whose clients resume broken streams if `resumes`, and wait at most `deadline`
/// for a first event.
pub fn config_for_restart(resumes: bool, deadline: Duration) -> String {
    config(DISCOVERY, &list(41, true, &engines()), 256)
        .replace("\"local_read\":false", &format!("\"local_read\":false,\"resume\":{resumes}"))
        .replace("\"target\":1000.0", &format!("\"target\":1000.0,\"deadline\":{}.0", deadline.as_millis()))
}

/// A router under test with its virtual time.
pub struct Harness {
    pub router: PlatformRouter,
    pub now: Duration,
    client_count: u64,
}

impl Harness {
    /// A router with [`engines`] in its list.
    pub fn new() -> Self {
        Self::with(&config(DISCOVERY, &list(41, true, &engines()), 256))
    }

    /// A router with this configuration.
    pub fn with(config: &str) -> Self {
        let now = Duration::from_secs(1000);
        let config = Config::parse(config).expect("a configuration that can be read");
        let router = PlatformRouter::new(config, now, Duration::from_secs(1_700_000_000));
        Harness { router, now, client_count: 0 }
    }

    /// A router that may send health checks, one of eight.
    pub fn with_probes() -> Self {
        let config = config(DISCOVERY, &list(41, true, &engines()), 256);
        Self::with(
            &config
                .replace("\"may_probe\":false", "\"may_probe\":true")
                .replace("\"balancers\":1", "\"balancers\":8"),
        )
    }

    /// Hands an input to the router and returns its outputs.
    pub fn handle(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.router.handle(self.now, input, &mut out);
        out
    }

    /// Lets time pass, waking the router at its timers.
    pub fn advance(&mut self, time: Duration) -> Vec<Output> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.router.wake_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.handle(Input::Wake));
        }
        self.now = end;
        out
    }

    /// Accepts a new client's connection.
    pub fn connect_client(&mut self) -> ConnId {
        self.client_count += 1;
        let conn = ConnId(self.client_count);
        self.handle(Input::Accepted(conn, ListenerId(0)));
        conn
    }

    /// Delivers bytes received on a connection.
    pub fn receive(&mut self, conn: ConnId, bytes: impl AsRef<[u8]>) -> Vec<Output> {
        self.handle(Input::Data(conn, bytes.as_ref()))
    }

    /// Establishes a connection that the router opened and reports what it writes there as sent. Returns the
    /// outputs.
    pub fn connected(&mut self, conn: ConnId) -> Vec<Output> {
        let mut out = self.handle(Input::Connected(conn));
        let written = bytes(&out, conn).len();
        out.extend(self.handle(Input::Sent(conn, written)));
        out
    }

    /// Sends a request with this id, prefills it and forwards it to a decode engine. Returns the connections
    /// of the client and of the decode engine.
    pub fn prefilled_and_forwarded(&mut self, class: &str, id: &str) -> (ConnId, ConnId) {
        let client = self.connect_client();
        let out = self.receive(client, request(class, id));
        let prefill = self.attempt_connection(&out);
        let out = self.receive(prefill, PREFILLED_WITHOUT_REPORT);
        // Kept connections are idle for a moment before they are reused.
        let decode = self.attempt_connection(&out);
        self.advance(ms(10));
        (client, decode)
    }

    /// The connection on which an attempt is sent: a kept one, or a new one, which is then established.
    fn attempt_connection(&mut self, out: &[Output]) -> ConnId {
        if let Some(&(conn, _)) = opened(out).first() {
            self.connected(conn);
            return conn;
        }
        let written = out.iter().find_map(|output| match output {
            Output::Write(conn, bytes) if bytes.starts_with(b"POST ") => Some((*conn, bytes.len())),
            _ => None,
        });
        let (conn, length) = written.expect("an attempt is written");
        self.handle(Input::Sent(conn, length));
        conn
    }

    /// Sends a request, prefills it and forwards it to a decode engine. Returns the connections of the client
    /// and of the decode engine, and the outputs.
    pub fn forwarded_to_decode_engine(&mut self, class: &str) -> (ConnId, ConnId, Vec<Output>) {
        let client = self.connect_client();
        let out = self.receive(client, request(class, "9b1f"));
        let (prefill, port) = opened(&out)[0];
        assert_eq!(port, 1);
        self.connected(prefill);
        let out = self.receive(prefill, PREFILLED);
        let (decode, _) = opened(&out)[0];
        let mut out = self.connected(decode);
        // The last byte of a request that must not be repeated is written a moment later.
        out.extend(self.advance(ms(4)));
        self.handle(Input::Sent(decode, 1));
        (client, decode, out)
    }

    /// As [`Harness::forwarded_to_decode_engine`], with the first event of the stream forwarded to the
    /// client.
    pub fn streaming(&mut self, class: &str) -> (ConnId, ConnId) {
        let (client, decode, _) = self.forwarded_to_decode_engine(class);
        let out = self.receive(decode, [STREAM_HEAD, &chunk(&event("one"))].concat());
        assert!(text(&out, client).contains("one"));
        (client, decode)
    }
}

/// The body of a request.
pub const BODY: &str = r#"{"model":"chat","stream":true}"#;
/// The answer to a prefill, with a load report.
pub const PREFILLED: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\nX-Load: pending=3,x0=0.5\r\n\r\n{\"cached_tokens\":12}";
/// The answer to a prefill, without a load report.
pub const PREFILLED_WITHOUT_REPORT: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}";
/// The head of a streamed answer.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The answer to a release.
pub const RELEASED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The answer with which an engine rejects an attempt that never ran.
pub const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/// The head of discovery's answer to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A request of a client.
pub fn request(class: &str, id: &str) -> String {
    format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Tenant: acme\r\nX-Key: 10\r\nX-Deadline: 4800m\r\nX-Extras: prompt_len=512,max_out=80\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

/// An event of a stream with this content.
pub fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

/// Encodes a text as a chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The last event of a stream, and its end.
pub fn stream_end() -> String {
    chunk("data: [DONE]\n\n") + "0\r\n\r\n"
}

/// A complete stream with one event.
pub fn complete_stream() -> String {
    format!("{STREAM_HEAD}{}{}", chunk(&event("one")), stream_end())
}

/// The deadline that a request to an engine carries, in microseconds.
pub fn forwarded_deadline(request: &str) -> u64 {
    let text = request.split("x-deadline: ").nth(1).and_then(|rest| rest.split("u\r\n").next());
    text.expect("a deadline").parse().expect("microseconds")
}

/// How many requests of clients were written to engines, completely or up to the last byte.
pub fn forwarded_count(out: &[Output]) -> usize {
    let is_forwarded =
        |output: &&Output| matches!(output, Output::Write(_, bytes) if bytes.starts_with(b"POST "));
    out.iter().filter(is_forwarded).count()
}

/// How many times something was written to a connection.
pub fn write_count(out: &[Output], conn: ConnId) -> usize {
    let is_write = |output: &&Output| matches!(output, Output::Write(to, _) if *to == conn);
    out.iter().filter(is_write).count()
}

/// A release that was written.
pub struct SentRelease {
    pub conn: ConnId,
    /// The first line of the request.
    pub request_line: String,
}

/// The releases that were written, in order.
pub fn sent_releases(out: &[Output]) -> Vec<SentRelease> {
    let release = |output: &Output| match output {
        Output::Write(conn, bytes) if bytes.starts_with(b"DELETE ") => {
            let text = String::from_utf8_lossy(bytes);
            let request_line = text.lines().next().expect("a request line").to_owned();
            Some(SentRelease { conn: *conn, request_line })
        }
        _ => None,
    };
    out.iter().filter_map(release).collect()
}

/// The bytes written to a connection.
pub fn bytes(out: &[Output], conn: ConnId) -> Vec<u8> {
    let written = out.iter().filter_map(|output| match output {
        Output::Write(to, bytes) if *to == conn => Some(bytes.as_slice()),
        _ => None,
    });
    written.collect::<Vec<_>>().concat()
}

/// The text written to a connection.
pub fn text(out: &[Output], conn: ConnId) -> String {
    String::from_utf8(bytes(out, conn)).expect("text")
}

/// The status of the first answer written to a connection.
pub fn status(out: &[Output], conn: ConnId) -> Option<u16> {
    text(out, conn).strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// Ports from this one on belong to discovery, those below to engines.
const FIRST_DISCOVERY_PORT: u16 = 8_000;

/// The connections opened, in order, and their ports.
fn opened_connections(out: &[Output]) -> impl Iterator<Item = (ConnId, u16)> + '_ {
    out.iter().filter_map(|output| match output {
        Output::Connect(conn, addr) => Some((*conn, addr.port())),
        _ => None,
    })
}

/// The connections opened to engines, in order, and their ports.
pub fn opened(out: &[Output]) -> Vec<(ConnId, u16)> {
    opened_connections(out).filter(|&(_, port)| port < FIRST_DISCOVERY_PORT).collect()
}

/// The connection to discovery that was opened last, if any.
pub fn opened_watch(out: &[Output]) -> Option<(ConnId, u16)> {
    opened_connections(out).filter(|&(_, port)| port >= FIRST_DISCOVERY_PORT).last()
}

/// Whether a connection is closed once what was written to it is sent.
pub fn is_closed_when_sent(out: &[Output], conn: ConnId) -> bool {
    out.contains(&Output::CloseWhenSent(conn))
}

/// Whether a connection is closed at once, without sending the rest.
pub fn aborted(out: &[Output], conn: ConnId) -> bool {
    out.contains(&Output::Abort(conn))
}

/// Whether a connection is closed, in either way.
pub fn is_closed(out: &[Output], conn: ConnId) -> bool {
    is_closed_when_sent(out, conn) || aborted(out, conn)
}

/// The input that reports the loss of a connection.
pub fn lost(conn: ConnId, why: ConnectionLoss) -> Input<'static> {
    Input::Lost(conn, why)
}
