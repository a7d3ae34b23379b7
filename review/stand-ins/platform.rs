//! Stand-ins of the platform for the review's cases: engines, discovery, clients, and the start of routers.
//!
//! Standard library only. One thread per connection, the real clock, loopback addresses.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- Record ----------------------------------------------------------------------------------------

static START: OnceLock<Instant> = OnceLock::new();
/// The process ids of the routers that run.
static ROUTERS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub fn sleep_until(at: u64) {
    let now = now_ms();
    if at > now {
        thread::sleep(ms(at - now));
    }
}

/// Opens the record of the run.
pub fn open_record(path: &str) {
    now_ms();
    let file = File::create(path).expect("the record can be written");
    let _ = RECORD.set(Mutex::new(file));
}

/// Writes a line to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {line}", now_ms());
    }
}

/// Whether the run has its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of numbers from 0 to 1, with a fixed seed.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next()
    }
}

// ---- HTTP ------------------------------------------------------------------------------------------

/// A request or an answer: the first line, the fields in lower case, the body.
pub struct Message {
    pub first: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads bytes with a buffer that outlives one message.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    pub fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                    .collect();
                return Some(Message { first, fields, body: Vec::new() });
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a message whose body has a length.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        let length = message.field("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill() {
                return None;
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }

    /// Reads a chunk; empty for the last one.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let size = usize::from_str_radix(std::str::from_utf8(&self.buffer[..end]).ok()?, 16).ok()?;
                if self.buffer.len() >= end + 2 + size + 2 {
                    let chunk = self.buffer[end + 2..end + 2 + size].to_vec();
                    self.buffer.drain(..end + 2 + size + 2);
                    return Some(chunk);
                }
            }
            if !self.fill() {
                return None;
            }
        }
    }
}

pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

// ---- Engines ---------------------------------------------------------------------------------------

/// State that a reader holds.
#[derive(Clone, Debug)]
pub struct Hold {
    pub engine: String,
    pub since: u64,
    /// When it was fetched or released.
    pub until: Option<u64>,
    pub how: &'static str,
}

/// What engines see of one request.
#[derive(Default, Debug)]
pub struct Trace {
    pub holds: Vec<Hold>,
    /// Attempts: engine, arrival, end.
    pub attempts: Vec<(String, u64, Option<u64>)>,
    pub runs: u32,
}

/// What all engines know together.
#[derive(Default)]
pub struct World {
    pub traces: Mutex<HashMap<String, Trace>>,
    pub engines: Mutex<HashMap<String, Arc<Engine>>>,
    pub ended: AtomicBool,
}

impl World {
    fn begin(&self, id: &str, engine: &str) -> usize {
        let mut traces = self.traces.lock().unwrap();
        let trace = traces.entry(id.to_owned()).or_default();
        trace.attempts.push((engine.to_owned(), now_ms(), None));
        trace.attempts.len() - 1
    }

    fn end(&self, id: &str, attempt: usize) {
        let mut traces = self.traces.lock().unwrap();
        if let Some(trace) = traces.get_mut(id) {
            trace.attempts[attempt].2.get_or_insert(now_ms());
        }
    }

    fn hold(&self, id: &str, engine: &str) {
        let mut traces = self.traces.lock().unwrap();
        let hold = Hold { engine: engine.to_owned(), since: now_ms(), until: None, how: "" };
        traces.entry(id.to_owned()).or_default().holds.push(hold);
    }

    /// Ends the holds of a request: all of them, or the latest one. Returns how many there were.
    fn take(&self, id: &str, how: &'static str) -> usize {
        let mut traces = self.traces.lock().unwrap();
        let Some(trace) = traces.get_mut(id) else { return 0 };
        let mut count = 0;
        for hold in trace.holds.iter_mut().rev().filter(|hold| hold.until.is_none()) {
            (hold.until, hold.how) = (Some(now_ms()), how);
            count += 1;
            if how == "fetched" {
                break;
            }
        }
        count
    }
}

/// One engine. Times can be changed while it runs.
pub struct Engine {
    pub name: String,
    pub kind: &'static str,
    pub reads: bool,
    pub zone: String,
    pub cell: u32,
    pub addr: SocketAddr,
    /// Prompt tokens read a second.
    pub tokens_per_s: f64,
    /// How many times slower than usual it reads, in thousandths.
    pub slower: AtomicU64,
    pub token_ms: u64,
    pub answer_tokens: AtomicU64,
    pub load: &'static str,
    pub slots: usize,
    pub queue: usize,
    busy: Mutex<usize>,
    waiting: AtomicU64,
    /// Its process has ended.
    has_ended: AtomicBool,
    /// Its connections, to be closed when it ends.
    connections: Mutex<Vec<TcpStream>>,
    /// Of this many streams one is spoilt: after some events its next chunk is noise that keeps coming. 0: none.
    pub spoils_one_in: AtomicU64,
    streams: AtomicU64,
    /// The shared texts that it has read before and kept.
    kept: Mutex<HashSet<String>>,
}

/// What an engine is started with.
pub struct EngineSpec {
    pub name: String,
    pub kind: &'static str,
    pub reads: bool,
    pub zone: &'static str,
    pub cell: u32,
    pub tokens_per_s: f64,
    pub token_ms: u64,
    pub answer_tokens: u64,
    pub load: &'static str,
    pub slots: usize,
    pub queue: usize,
}

/// Starts an engine.
pub fn start_engine(world: &Arc<World>, spec: EngineSpec) -> Arc<Engine> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let engine = Arc::new(Engine {
        name: spec.name.clone(),
        kind: spec.kind,
        reads: spec.reads,
        zone: spec.zone.to_owned(),
        cell: spec.cell,
        addr: listener.local_addr().unwrap(),
        tokens_per_s: spec.tokens_per_s,
        slower: AtomicU64::new(1000),
        token_ms: spec.token_ms,
        answer_tokens: AtomicU64::new(spec.answer_tokens),
        load: spec.load,
        slots: spec.slots,
        queue: spec.queue,
        busy: Mutex::new(0),
        waiting: AtomicU64::new(0),
        has_ended: AtomicBool::new(false),
        connections: Mutex::new(Vec::new()),
        spoils_one_in: AtomicU64::new(0),
        streams: AtomicU64::new(0),
        kept: Mutex::new(HashSet::new()),
    });
    world.engines.lock().unwrap().insert(spec.name, engine.clone());
    let (world, served) = (world.clone(), engine.clone());
    listener.set_nonblocking(true).expect("a listener that does not block");
    thread::spawn(move || {
        while !served.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ms(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            served.connections.lock().unwrap().extend(stream.try_clone());
            let (world, engine) = (world.clone(), served.clone());
            thread::spawn(move || serve_engine(&world, &engine, Reader::new(stream)));
        }
    });
    engine
}

/// The first message of a prompt, which names the text that is shared with other sessions: its name and length.
fn shared_text(body: &[u8]) -> (String, usize) {
    let text = String::from_utf8_lossy(body);
    let Some(start) = text.find("\"system\",\"content\":\"").map(|at| at + 20) else {
        return Default::default();
    };
    let content = text[start..].split('"').next().unwrap_or("");
    (content.chars().take(16).collect(), content.len())
}

fn answer(status: &str, fields: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n{body}", body.len()).into_bytes()
}

impl Engine {
    /// Ends its process: its connections are closed and new ones are refused.
    pub fn end(&self) {
        record(&format!("{} ends", self.name));
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_engine(world: &World, engine: &Engine, mut reader: Reader) {
    let report = format!("X-Load: {}\r\n", engine.load);
    while let Some(message) = reader.message() {
        let id = message.field("x-request-id").to_owned();
        let mut parts = message.first.split(' ');
        let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let reply = match (method, path) {
            ("GET", "/-/load") => answer("200 OK", "", engine.load),
            ("GET", "/-/healthy") => answer("200 OK", "", ""),
            ("DELETE", _) => {
                let id = path.trim_start_matches("/v1/holds/");
                let count = world.take(id, "released");
                record(&format!("release {id} at {} frees {count}", engine.name));
                answer("204 No Content", "", "")
            }
            _ if id.is_empty() => answer("404 Not Found", "", ""),
            _ => {
                let attempt = world.begin(&id, &engine.name);
                let kept = if engine.reads {
                    serve_read(world, engine, &message, &id, attempt, &report, &mut reader)
                } else {
                    serve_write(world, engine, &id, attempt, &report, &mut reader)
                };
                if !kept {
                    return;
                }
                continue;
            }
        };
        if reader.stream.write_all(&reply).is_err() {
            return;
        }
    }
}

/// Whether the peer has closed or reset the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// Waits; records when the peer closes meanwhile, which ends the attempt but not the work.
fn work(world: &World, stream: &TcpStream, id: &str, attempt: usize, time: u64) {
    let end = now_ms() + time;
    let mut closed = false;
    while now_ms() < end {
        thread::sleep(ms((end - now_ms().min(end)).min(5)));
        if !closed && is_closed(stream) {
            closed = true;
            world.end(id, attempt);
            record(&format!("attempt {id}.{attempt} given up by the router"));
        }
    }
}

fn serve_read(
    world: &World, engine: &Engine, message: &Message, id: &str, attempt: usize, report: &str,
    reader: &mut Reader,
) -> bool {
    // Reads wait for a slot; when the queue is full they are turned away.
    let waiting = engine.waiting.fetch_add(1, Ordering::SeqCst);
    record(&format!("read {id}.{attempt} at {} ({waiting} before it)", engine.name));
    if waiting as usize >= engine.slots + engine.queue {
        engine.waiting.fetch_sub(1, Ordering::SeqCst);
        world.end(id, attempt);
        let reply = answer("503 Service Unavailable", &format!("X-Not-Run: 1\r\n{report}"), "");
        return reader.stream.write_all(&reply).is_ok();
    }
    loop {
        let mut busy = engine.busy.lock().unwrap();
        if *busy < engine.slots {
            *busy += 1;
            break;
        }
        drop(busy);
        work(world, &reader.stream, id, attempt, 2);
    }
    // One token is four characters. A shared text that was read here before is kept and not read again.
    let (prefix, length) = shared_text(&message.body);
    let is_kept = !prefix.is_empty() && !engine.kept.lock().unwrap().insert(prefix);
    let kept_tokens = if is_kept { length / 4 } else { 0 };
    let prompt = (message.body.len() / 4).saturating_sub(kept_tokens) as f64;
    let slower = engine.slower.load(Ordering::SeqCst) as f64 / 1e3;
    let time = (prompt / engine.tokens_per_s * slower * 1e3) as u64;
    work(world, &reader.stream, id, attempt, time);
    *engine.busy.lock().unwrap() -= 1;
    engine.waiting.fetch_sub(1, Ordering::SeqCst);
    world.hold(id, &engine.name);
    world.end(id, attempt);
    record(&format!("held {id} at {} after {time} ms of reading", engine.name));
    reader
        .stream
        .write_all(&answer("202 Accepted", report, &format!("{{\"cached_tokens\":{kept_tokens}}}")))
        .is_ok()
}

/// Events of a spoilt stream before its noise.
const EVENTS_BEFORE_NOISE: u64 = 10;
/// The noise of a spoilt stream: bytes at a time, and the time between them in ms. It ends with its connection.
const NOISE: &[u8] = b"#x#x#x#x#x#x#x#x#x#x";
const NOISE_EVERY: u64 = 100;

/// Sends a chunk of noise that keeps coming.
fn send_noise(stream: &mut TcpStream, id: &str, attempt: usize) {
    record(&format!("write {id}.{attempt} is spoilt: noise begins"));
    let mut sent = stream.write_all(b"8000\r\n").is_ok();
    let began = now_ms();
    while sent && !is_closed(stream) && now_ms() < began + 60_000 {
        sent = stream.write_all(NOISE).is_ok();
        thread::sleep(ms(NOISE_EVERY));
    }
    record(&format!("write {id}.{attempt}: its noise ends after {} ms", now_ms() - began));
}

fn serve_write(
    world: &World, engine: &Engine, id: &str, attempt: usize, report: &str, reader: &mut Reader,
) -> bool {
    record(&format!("write {id}.{attempt} at {}", engine.name));
    if world.take(id, "fetched") == 0 {
        world.end(id, attempt);
        return reader
            .stream
            .write_all(&answer("410 Gone", &format!("X-Not-Run: 1\r\n{report}"), ""))
            .is_ok();
    }
    world.traces.lock().unwrap().entry(id.to_owned()).or_default().runs += 1;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let tokens = engine.answer_tokens.load(Ordering::SeqCst).max(1);
    let mut sent = reader.stream.write_all(head.as_bytes()).is_ok();
    let (number, one_in) =
        (engine.streams.fetch_add(1, Ordering::SeqCst), engine.spoils_one_in.load(Ordering::SeqCst));
    let is_spoilt = one_in > 0 && number % one_in == 0;
    for token in 0..tokens {
        if is_spoilt && token == EVENTS_BEFORE_NOISE {
            send_noise(&mut reader.stream, id, attempt);
            world.end(id, attempt);
            return false;
        }
        thread::sleep(ms(engine.token_ms));
        let finish = if token + 1 == tokens { "\"stop\"" } else { "null" };
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{token:03}\"}},\"finish_reason\":{finish}}}]}}\n\n"
        );
        sent = sent && reader.stream.write_all(&chunk(event.as_bytes())).is_ok();
        if !sent || is_closed(&reader.stream) {
            // A stream that nobody reads ends.
            record(&format!("write {id}.{attempt} broken off by the router after {token} tokens"));
            world.end(id, attempt);
            return false;
        }
    }
    let end = format!(
        "data: {{\"choices\":[],\"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{tokens},\"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\ndata: [DONE]\n\n: X-Load: {}\n\n",
        engine.load
    );
    let mut bytes = chunk(end.as_bytes());
    bytes.extend_from_slice(b"0\r\n\r\n");
    let sent = reader.stream.write_all(&bytes).is_ok();
    world.end(id, attempt);
    sent
}

// ---- Discovery -------------------------------------------------------------------------------------

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: &'static str,
    pub cell: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn of(engine: &Engine) -> Self {
        Entry {
            name: engine.name.clone(),
            addr: engine.addr,
            zone: engine.zone.clone(),
            kind: engine.kind,
            cell: engine.cell,
            status: "Ready",
            since_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.addr, self.zone, self.kind, self.cell, self.status, self.since_ms
        )
    }
}

/// The list with its versions: a change per version after the first.
pub struct Discovery {
    pub addr: SocketAddr,
    entries: Mutex<Vec<Entry>>,
    changes: Mutex<Vec<Entry>>,
    first_index: u64,
    /// How long the bytes of an object take to be sent, evenly, in milliseconds.
    pub spread_ms: AtomicU64,
    /// When each change was made, and when a router had been sent it whole.
    pub sent_whole: Mutex<Vec<(u64, u64)>>,
}

fn object(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let list: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}\n", list.join(","))
}

impl Discovery {
    pub fn index(&self) -> u64 {
        self.first_index + self.changes.lock().unwrap().len() as u64
    }

    pub fn snapshot(&self) -> String {
        let index = self.index();
        object(index, true, &self.entries.lock().unwrap())
    }

    /// Changes the status of an engine.
    pub fn change(&self, name: &str, status: &'static str) {
        let mut entries = self.entries.lock().unwrap();
        let Some(entry) = entries.iter_mut().find(|entry| entry.name == name) else { return };
        entry.status = status;
        let changed = entry.clone();
        if status == "Gone" {
            entries.retain(|entry| entry.name != name);
        }
        self.changes.lock().unwrap().push(changed);
        drop(entries);
        record(&format!("discovery has {name} {status}, index {}", self.index()));
    }
}

pub fn start_discovery(entries: Vec<Entry>) -> Arc<Discovery> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let discovery = Arc::new(Discovery {
        addr: listener.local_addr().unwrap(),
        entries: Mutex::new(entries),
        changes: Mutex::new(Vec::new()),
        first_index: 41,
        spread_ms: AtomicU64::new(0),
        sent_whole: Mutex::new(Vec::new()),
    });
    let served = discovery.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let discovery = served.clone();
            thread::spawn(move || serve_discovery(&discovery, Reader::new(stream)));
        }
    });
    discovery
}

/// Sends the chunk of an object, spread over some time. False if the router has closed the connection.
fn send_object(discovery: &Discovery, stream: &mut TcpStream, text: &str) -> bool {
    let bytes = chunk(text.as_bytes());
    let spread = discovery.spread_ms.load(Ordering::SeqCst);
    if spread == 0 {
        return stream.write_all(&bytes).is_ok();
    }
    let size = bytes.len().div_ceil((spread / 50).max(2) as usize);
    let last = bytes.len().div_ceil(size).saturating_sub(1).max(1) as u64;
    let began = now_ms();
    for (number, piece) in bytes.chunks(size).enumerate() {
        sleep_until(began + spread * number as u64 / last);
        if is_closed(stream) || stream.write_all(piece).is_err() {
            record(&format!("discovery: the router closed the watch {} ms into an object", now_ms() - began));
            return false;
        }
    }
    true
}

fn serve_discovery(discovery: &Discovery, mut reader: Reader) {
    while let Some(message) = reader.message() {
        let target = message.first.split(' ').nth(1).unwrap_or("").to_owned();
        if !target.contains("watch=1") {
            let body = discovery.snapshot();
            let reply = answer("200 OK", "Content-Type: application/json\r\n", &body);
            if reader.stream.write_all(&reply).is_err() {
                return;
            }
            continue;
        }
        let after: u64 = target
            .split("after=")
            .nth(1)
            .and_then(|after| after.split('&').next()?.parse().ok())
            .unwrap_or(0);
        record(&format!("discovery: a watch after {after}"));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        if reader.stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut told = after;
        let mut first = true;
        let mut last_sent = now_ms();
        loop {
            let index = discovery.index();
            let text = if first && (after < discovery.first_index || after > index) {
                discovery.snapshot()
            } else if first || told < index {
                let changes = discovery.changes.lock().unwrap();
                let from = (told - discovery.first_index) as usize;
                object(index, false, &changes[from..(index - discovery.first_index) as usize])
            } else if now_ms() >= last_sent + 2000 {
                "\n".to_owned()
            } else {
                String::new()
            };
            if !text.is_empty() {
                let is_object = text.len() > 1;
                if !(if is_object {
                    send_object(discovery, &mut reader.stream, &text)
                } else {
                    reader.stream.write_all(&chunk(b"\n")).is_ok()
                }) {
                    return;
                }
                if is_object {
                    discovery.sent_whole.lock().unwrap().push((index, now_ms()));
                    record(&format!("discovery has written index {index} whole"));
                    (told, first) = (index, false);
                }
                last_sent = now_ms();
            }
            thread::sleep(ms(10));
            if is_closed(&reader.stream) {
                record("discovery: the router closed a watch");
                return;
            }
        }
    }
}

// ---- Routers ---------------------------------------------------------------------------------------

/// A router that was started by the line `run` of the deploy file.
pub struct Router {
    pub name: String,
    pub listen: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The line `run` of the deploy file.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file, from the root");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a line `run`");
    line.split('"').next().unwrap().to_owned()
}

/// Starts a router and waits until it is ready.
pub fn start_router(name: &str, discovery: SocketAddr, known: &str, settings: &str) -> Router {
    let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
    std::fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
    let listen = free_address();
    let config = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":0.5,\"memory_mb\":192,\"sockets\":1024}},\"known\":{known},\"settings\":{settings}}}"
    );
    let file = folder.join("config.json");
    std::fs::write(&file, config).expect("the configuration can be written");
    let log = File::create(folder.join("log")).expect("the log can be written");
    let child = Command::new("/bin/sh")
        .args(["-c", &run_line()])
        .env("LB_NAME", name)
        .env("LB_LISTEN", listen.to_string())
        .env("LB_DISCOVERY", discovery.to_string())
        .env("LB_CONFIG", &file)
        .env("TMPDIR", folder.join("tmp"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the router starts");
    ROUTERS.lock().unwrap().push(child.id());
    let mut router = Router { name: name.to_owned(), listen, child, folder };
    let limit = now_ms() + 20_000;
    while now_ms() < limit {
        if let Ok(stream) = TcpStream::connect(listen) {
            let mut reader = Reader::new(stream);
            let ask = format!("GET /-/ready HTTP/1.1\r\nHost: {listen}\r\nConnection: close\r\n\r\n");
            if reader.stream.write_all(ask.as_bytes()).is_ok() {
                if reader.message().is_some_and(|answer| answer.status() == 200) {
                    record(&format!("router {name} is ready"));
                    return router;
                }
            }
        }
        thread::sleep(ms(20));
    }
    router.kill();
    cannot_run("the router did not become ready");
}

impl Router {
    pub fn signal(&self, signal: &str) {
        record(&format!("router {}: SIG{signal}", self.name));
        let _ = Command::new("kill").args([&format!("-{signal}"), &self.child.id().to_string()]).status();
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills it if it still runs; copies its log to the record.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            record(&format!("router {}: SIGKILL", self.name));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        ROUTERS.lock().unwrap().retain(|id| *id != self.child.id());
    }

    /// Copies the last lines of its log to the record, and removes its folder.
    pub fn finish(&mut self, lines: usize) {
        self.kill();
        let text = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        for line in &all[all.len().saturating_sub(lines)..] {
            record(&format!("log of {}: {line}", self.name));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ends the run after this time, and the routers with it, whatever it waits for.
pub fn limit_run(seconds: u64) {
    let end = move || {
        thread::sleep(Duration::from_secs(seconds));
        end_routers();
        cannot_run("it took too long");
    };
    thread::spawn(end);
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        end_routers();
        std::process::exit(2);
    }));
}

fn end_routers() {
    let routers = ROUTERS.lock().map(|routers| routers.clone()).unwrap_or_default();
    for id in routers {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// Ends the run: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    record(&format!("could not run: {why}"));
    println!("could not run: {why}");
    std::process::exit(2);
}

// ---- Clients ---------------------------------------------------------------------------------------

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub status: u16,
    /// Whether the answer came to its last chunk or byte.
    pub whole: bool,
    pub events: u32,
    /// When the last event came.
    pub last_event: u64,
    pub ended: u64,
}

pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub tenant: &'static str,
    pub key: String,
    pub prefix: String,
    pub prompt: u64,
    pub prefix_len: u64,
    pub max_out: u64,
    pub deadline_ms: u64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a request, of 16 hex digits.
pub fn new_id(letter: char) -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{letter}{:015x}", number).replace(|c: char| !c.is_ascii_hexdigit(), "a")
}

impl Ask {
    pub fn bytes(&self) -> Vec<u8> {
        let shared =
            format!("{:>16}{}", self.prefix, "abcd".repeat((self.prefix_len as usize).saturating_sub(4)));
        let own = "efgh".repeat((self.prompt - self.prefix_len) as usize);
        let (class, most) = (self.class, self.max_out);
        let system = if self.prefix.is_empty() {
            String::new()
        } else {
            format!("{{\"role\":\"system\",\"content\":\"{shared}\"}},")
        };
        let body = format!(
            "{{\"model\":\"{class}\",\"stream\":true,\"max_tokens\":{most},\"messages\":[{system}{{\"role\":\"user\",\"content\":\"{own}\"}}]}}"
        );
        let extras = if self.prefix.is_empty() {
            format!("prompt_len={},max_out={}", self.prompt, self.max_out)
        } else {
            format!(
                "prefix={},prompt_len={},prefix_len={},max_out={}",
                self.prefix, self.prompt, self.prefix_len, self.max_out
            )
        };
        let tenant =
            if self.tenant.is_empty() { String::new() } else { format!("X-Tenant: {}\r\n", self.tenant) };
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\n{tenant}X-Key: {}\r\nX-Deadline: {}m\r\nX-Extras: {extras}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.id, self.class, self.key, self.deadline_ms, body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body.as_bytes());
        bytes
    }
}

/// Reads one answer to its end.
pub fn read_answer(reader: &mut Reader) -> Got {
    let mut got = Got::default();
    let Some(mut head) = reader.head() else {
        got.ended = now_ms();
        return got;
    };
    while (100..200).contains(&head.status()) {
        match reader.head() {
            Some(next) => head = next,
            None => {
                got.ended = now_ms();
                return got;
            }
        }
    }
    got.status = head.status();
    if head.field("transfer-encoding").contains("chunked") {
        loop {
            match reader.chunk() {
                Some(chunk) if chunk.is_empty() => {
                    got.whole = true;
                    break;
                }
                Some(chunk) => {
                    got.last_event = now_ms();
                    got.events += chunk.windows(5).filter(|window| window == b"data:").count() as u32
                }
                None => break,
            }
        }
    } else {
        let length = head.field("content-length").parse().unwrap_or(0);
        got.whole = true;
        while reader.buffer.len() < length {
            if !reader.fill() {
                got.whole = false;
                break;
            }
        }
        let length = length.min(reader.buffer.len());
        reader.buffer.drain(..length);
    }
    got.ended = now_ms();
    got
}

/// Sends a request on a new connection and reads its answer.
pub fn ask(router: SocketAddr, request: &Ask) -> Got {
    let Ok(stream) = TcpStream::connect(router) else { return Got { ended: now_ms(), ..Got::default() } };
    let _ = stream.set_read_timeout(Some(ms(30_000)));
    let mut reader = Reader::new(stream);
    record(&format!("client {} asks: {} of {} tokens", request.id, request.class, request.prompt));
    if reader.stream.write_all(&request.bytes()).is_err() {
        return Got { ended: now_ms(), ..Got::default() };
    }
    let got = read_answer(&mut reader);
    record(&format!("client {} got {got:?}", request.id));
    got
}

/// Reports the result of a run: 2 if the clients were not served, so that nothing was shown; 1 if a rule was broken.
pub fn finish(line: &str, is_served: bool, is_broken: bool) -> i32 {
    record(line);
    println!("{line}");
    match (is_served, is_broken) {
        (_, true) => 1,
        (true, false) => 0,
        (false, false) => 2,
    }
}
