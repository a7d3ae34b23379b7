//! Stand-ins of the platform for `slipreel node`: discovery, engines, and the configuration of one router.
//! Engines and discovery behave as the protocol page says.

use crate::common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request as an engine has received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub id: String,
    pub deadline: String,
    pub body: Vec<u8>,
}

/// Reads one request from a connection. `None`: the connection has ended.
pub fn read_request(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<Received> {
    let mut buffer = [0; 65536];
    loop {
        if let Some((first, message)) = decode(pending) {
            if message.whole {
                let end = pending.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
                pending.drain(..end + message.body.len());
                let mut words = first.split(' ');
                let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
                let (id, deadline) =
                    (message.field("x-request-id").to_owned(), message.field("x-deadline").to_owned());
                return Some(Received { method, target, id, deadline, body: message.body });
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => pending.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Serves connections, each on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

pub fn plain(status: &str, fields: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// What a stand-in engine does and keeps.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub reads: bool,
    pub record: Record,
    /// The answer of a writer: the number of events, one for each token.
    pub events: usize,
    /// Requests that ran here.
    pub ran: Arc<Mutex<Vec<Received>>>,
}

impl Engine {
    pub fn start(name: &str, reads: bool, events: usize, record: &Record) -> (Engine, SocketAddr) {
        let (listener, address) = listen();
        let engine =
            Engine { name: name.into(), reads, record: record.clone(), events, ran: Arc::default() };
        let served = engine.clone();
        serve(listener, move |stream| served.connection(stream));
        (engine, address)
    }

    fn connection(&self, mut stream: TcpStream) {
        let mut pending = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut pending) {
            let answer = match (request.method.as_str(), request.target.as_str()) {
                ("GET", "/-/load") => plain("200 OK", "", "x0=0.05,x1=0.1"),
                ("GET", "/-/healthy") => plain("200 OK", "", ""),
                ("DELETE", target) if target.starts_with("/v1/holds/") => {
                    self.record.line(format!("{}: {} {target}", self.name, request.method));
                    b"HTTP/1.1 204 No Content\r\n\r\n".to_vec()
                }
                _ => {
                    self.record.line(format!("{}: runs {} (X-Deadline {})", self.name, request.id, request.deadline));
                    self.ran.lock().unwrap().push(request.clone());
                    if self.reads {
                        plain("202 Accepted", "x-load: x0=0.05,x1=0.1\r\n", r#"{"cached_tokens":0}"#)
                    } else {
                        self.stream(&request)
                    }
                }
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn stream(&self, request: &Received) -> Vec<u8> {
        let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for n in 0..self.events {
            let finish = if n + 1 == self.events { "\"stop\"" } else { "null" };
            let text = format!("{:04x}", n & 0xffff);
            bytes.extend(chunk(&format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{finish}}}]}}\n\n"
            )));
        }
        let usage = format!(
            "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":400,\"completion_tokens\":{}}}}}\n\n",
            self.events
        );
        bytes.extend(chunk(&usage));
        bytes.extend(chunk("data: [DONE]\n\n"));
        bytes.extend(chunk(": X-Load: x0=0.05,x1=0.1\n\n"));
        bytes.extend_from_slice(b"0\r\n\r\n");
        self.record.line(format!("{}: answers {} with {} bytes", self.name, request.id, bytes.len()));
        bytes
    }
}

/// One entry of the list: name, address, kind.
pub type Entry = (String, SocketAddr, &'static str);

pub fn list(index: u64, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries
        .iter()
        .map(|(name, address, kind)| {
            format!(
                r#"{{"name":"{name}","address":"{address}","zone":"hall-a","type":"{kind}","group":1,"status":"Ready","weight":1.0,"since_ms":0}}"#
            )
        })
        .collect();
    format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Discovery: tells the list at once, then an empty line every 2 s.
pub fn discovery(entries: Vec<Entry>) -> SocketAddr {
    let (listener, address) = listen();
    serve(listener, move |mut stream| {
        let mut pending = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut pending) {
            let whole = list(1, &entries);
            if !request.target.contains("watch=1") {
                if stream.write_all(&plain("200 OK", "content-type: application/json\r\n", &whole)).is_err() {
                    return;
                }
                continue;
            }
            let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
            bytes.extend(chunk(&format!("{whole}\n")));
            while stream.write_all(&bytes).is_ok() {
                sleep(2_000);
                bytes = chunk("\n");
            }
            return;
        }
    });
    address
}

/// The configuration of a router, with the settings of a small deployment. `effect` is that of its one class.
pub fn config(listen: SocketAddr, discovery: SocketAddr, entries: &[Entry], effect: &str, resume: bool) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"azs":["hall-a"],"balancers":2,"me":0,"zone":0,"tick":4.0,"stage":0,"tiers":["desk"],
"classes":[{{"name":"trip-plan","deadline":7500.0,"group":"all","idempotency":"{effect}","late_share":0.3,"streaming":true,"target":1500.0,"window":5000.0,"worth":1.0}}],
"client_habits":{{"marks_retry":false}},"counted_by":"work","discovery":"automatic",
"extra":{{"aim_us_per_1000_prompt_tokens":[40000.0],"early_pairing":false,"let_go_by":500.0,"local_read":false,
"report_x0":"share_of_memory_that_is_held","report_x1":"thousands_of_prompt_tokens_waiting_to_be_read_or_fetched",
"resume":{resume},"role_by_kind":["read","write"],"token_aim":[60.0],"tokens_by_kind":[254778,120958],"transfer_price":0.04}},
"host_types":["prefill","decode"],
"limits":{{"cancelling":true,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"idle_close":15000.0,"max_open":20000,
"max_retry_after":2000.0,"may_probe":true,"peers":false,"retry_after":false,"second_copies":false,"send_cap":4,"streams_per_conn":1}},
"over_share_worth":0.05,"report":{{"columns":["x0","x1"],"source":"piggyback"}},
"rules":{{"answer_slack":16.0,"ask_within":10000.0,"cold":13000.0,"cold_share":0.36,"drain_grace":2000.0,"fall":3000.0,"fall_multiple":3.0}},
"weights":"silent","workload":"twostage"}}}}"#,
        known = list(1, entries),
    )
}

/// A client's request. `fields` are further header lines.
pub fn request(id: &str, deadline_ms: u64, max_out: usize, fields: &str) -> Vec<u8> {
    let body = format!(
        r#"{{"model":"trip-plan","stream":true,"max_tokens":{max_out},"messages":[{{"role":"user","content":"{}"}}]}}"#,
        "how do I get to the harbour? ".repeat(50)
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: trip-plan\r\nX-Key: 7f3a{id}\r\n\
         X-Deadline: {deadline_ms}m\r\nX-Extras: prompt_len=400,max_out={max_out}\r\nContent-Type: application/json\r\n{fields}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
