//! A node fed by hand: one reader, two writers, clients and discovery played by the test.
#![allow(dead_code)]

pub mod day;
pub mod world;

use slipreel_platform::{Config, PlatformRouter};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::time::Duration;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const DISCOVERY: &str = "127.0.0.9:8500";

pub fn engine(name: &str, kind: &str, port: u16, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

pub fn list(index: u64, snapshot: bool, engines: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, engines.join(","))
}

/// A reader at port 1 and writers at 2 and 3.
pub fn engines() -> Vec<String> {
    vec![
        engine("r", "reads", 1, "Ready"),
        engine("w", "writes", 2, "Ready"),
        engine("v", "writes", 3, "Ready"),
    ]
}

pub fn config(discovery: &str, known: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.2:5000","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{known},
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

pub struct Host {
    pub node: PlatformRouter,
    pub now: Duration,
    clients: u64,
}

impl Host {
    pub fn new() -> Self {
        Self::with(&config(DISCOVERY, &list(41, true, &engines()), 256))
    }

    pub fn with(config: &str) -> Self {
        let now = Duration::from_secs(1000);
        let config = Config::parse(config).expect("a configuration that can be read");
        Host { node: PlatformRouter::new(config, now, Duration::from_secs(1_700_000_000)), now, clients: 0 }
    }

    pub fn tell(&mut self, input: Input<'_>) -> Vec<Output> {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        out
    }

    /// Lets time pass, waking the node when it asks for it.
    pub fn pass(&mut self, time: Duration) -> Vec<Output> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.node.wake_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            out.extend(self.tell(Input::Wake));
        }
        self.now = end;
        out
    }

    /// A new client's connection.
    pub fn client(&mut self) -> ConnId {
        self.clients += 1;
        let conn = ConnId(self.clients);
        self.tell(Input::Accepted(conn, ListenerId(0)));
        conn
    }

    pub fn data(&mut self, conn: ConnId, bytes: impl AsRef<[u8]>) -> Vec<Output> {
        self.tell(Input::Data(conn, bytes.as_ref()))
    }

    /// What was opened comes to stand. Gives what is written to it then.
    pub fn connected(&mut self, conn: ConnId) -> Vec<Output> {
        let mut out = self.tell(Input::Connected(conn));
        let n = bytes(&out, conn).len();
        out.extend(self.tell(Input::Sent(conn, n)));
        out
    }

    /// A request comes in under a name of its own and is read; gives the client's connection and the writer's, which has
    /// been sent the request on.
    pub fn read_and_sent_on(&mut self, class: &str, id: &str) -> (ConnId, ConnId) {
        let client = self.client();
        let out = self.data(client, request(class, id));
        let reader = self.carrier(&out);
        let out = self.data(reader, READ_WITHOUT_REPORT);
        // Kept connections rest for a moment before they are used again.
        let writer = self.carrier(&out);
        self.pass(ms(10));
        (client, writer)
    }

    /// The connection on which an attempt goes out: a new one, which comes to stand, or a kept one.
    fn carrier(&mut self, out: &[Output]) -> ConnId {
        if let Some(&(conn, _)) = opened(out).first() {
            self.connected(conn);
            return conn;
        }
        let written = out.iter().find_map(|o| match o {
            Output::Write(conn, bytes) if bytes.starts_with(b"POST ") => Some((*conn, bytes.len())),
            _ => None,
        });
        let (conn, length) = written.expect("an attempt is written");
        self.tell(Input::Sent(conn, length));
        conn
    }

    /// A request comes in and is read; gives the client's connection, the writer's, and what was written to it.
    pub fn at_writer(&mut self, class: &str) -> (ConnId, ConnId, Vec<Output>) {
        let client = self.client();
        let out = self.data(client, request(class, "9b1f"));
        let (reader, port) = opened(&out)[0];
        assert_eq!(port, 1);
        self.connected(reader);
        let out = self.data(reader, READ);
        let (writer, _) = opened(&out)[0];
        let mut out = self.connected(writer);
        // The last byte of what must not be repeated comes a moment later.
        out.extend(self.pass(ms(4)));
        self.tell(Input::Sent(writer, 1));
        (client, writer, out)
    }

    /// The same, with the stream begun.
    pub fn streaming(&mut self, class: &str) -> (ConnId, ConnId) {
        let (client, writer, _) = self.at_writer(class);
        let out = self.data(writer, [STREAM_HEAD, &chunk(&event("one"))].concat());
        assert!(text(&out, client).contains("one"));
        (client, writer)
    }
}

pub const BODY: &str = r#"{"model":"chat","stream":true}"#;
pub const READ: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\nX-Load: pending=3,x0=0.5\r\n\r\n{\"cached_tokens\":12}";
/// A read's answer that says nothing of its engine's load.
pub const READ_WITHOUT_REPORT: &str =
    "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":12}";
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn request(class: &str, id: &str) -> String {
    format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Tenant: acme\r\nX-Key: 10\r\nX-Deadline: 4800m\r\nX-Extras: prompt_len=512,max_out=80\r\n\
         Content-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

pub fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn bytes(out: &[Output], conn: ConnId) -> Vec<u8> {
    let written = out.iter().filter_map(|o| match o {
        Output::Write(c, bytes) if *c == conn => Some(bytes.as_slice()),
        _ => None,
    });
    written.collect::<Vec<_>>().concat()
}

pub fn text(out: &[Output], conn: ConnId) -> String {
    String::from_utf8(bytes(out, conn)).expect("text")
}

/// The status of an answer that was written.
pub fn status(out: &[Output], conn: ConnId) -> Option<u16> {
    text(out, conn).strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// The connections opened, in order, discovery's left out.
pub fn opened(out: &[Output]) -> Vec<(ConnId, u16)> {
    let all =
        out.iter().filter_map(|o| if let Output::Connect(c, a) = o { Some((*c, a.port())) } else { None });
    all.filter(|&(_, port)| port < 8000).collect()
}

/// The connection to discovery, if it was opened.
pub fn watch(out: &[Output]) -> Option<(ConnId, u16)> {
    let all = out.iter().rev();
    let mut all = all.filter_map(|o| if let Output::Connect(c, a) = o { Some((*c, a.port())) } else { None });
    all.find(|&(_, port)| port >= 8000)
}

pub fn finished(out: &[Output], conn: ConnId) -> bool {
    out.contains(&Output::CloseWhenSent(conn))
}

pub fn aborted(out: &[Output], conn: ConnId) -> bool {
    out.contains(&Output::Abort(conn))
}

pub fn ends(out: &[Output], conn: ConnId) -> bool {
    finished(out, conn) || aborted(out, conn)
}

pub fn lost(conn: ConnId, why: ConnectionLoss) -> Input<'static> {
    Input::Lost(conn, why)
}
