//! Stand-in engines for `slipreel serve`: chat completions with a transfer of prefill state, as
//! docs/protocols.md says. What a prompt asks for is its marker, a word that begins with `mark-`; the answer
//! repeats the marker of the prompt that was asked.

use crate::common::*;
use crate::platform::{chunk, listen, plain, read_request, serve, Received};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// How an engine departs from a sound one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// One answer in `one_in` comes a second time on its connection, some milliseconds late.
    SecondAnswer { one_in: u64 },
    /// An answer never ends: events keep coming.
    Endless,
}

#[derive(Clone)]
pub struct ChatEngine {
    name: String,
    reads: bool,
    fault: Fault,
    record: Record,
    answers: Arc<AtomicU64>,
    pub seconds: Arc<AtomicU64>,
    pub ran: Arc<Mutex<Vec<String>>>,
}

/// The first word of a text that begins with `mark-`.
pub fn marker(text: &str) -> String {
    let from = text.find("mark-").map_or("", |at| &text[at..]);
    from.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '-').collect()
}

fn event(text: &str, finish: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{finish}}}]}}\n\n")
}

impl ChatEngine {
    pub fn start(name: &str, reads: bool, fault: Fault, record: &Record) -> (ChatEngine, SocketAddr) {
        let (listener, address) = listen();
        let engine = ChatEngine {
            name: name.into(),
            reads,
            fault,
            record: record.clone(),
            answers: Arc::default(),
            seconds: Arc::default(),
            ran: Arc::default(),
        };
        let served = engine.clone();
        serve(listener, move |stream| served.connection(stream));
        (engine, address)
    }

    fn connection(&self, mut stream: TcpStream) {
        let mut pending = Vec::new();
        // A second answer is written by a thread of its own, between two answers and never inside one.
        let write_lock = Arc::new(Mutex::new(()));
        while let Some(request) = read_request(&mut stream, &mut pending) {
            let load = "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 1\nvllm:num_requests_waiting 0\n\
                        vllm:kv_cache_usage_perc 0.05\nprocess_start_time_seconds 1000000000\n";
            match request.target.as_str() {
                "/metrics" => {
                    let _guard = write_lock.lock();
                    if stream.write_all(&plain("200 OK", "content-type: text/plain\r\n", load)).is_err() {
                        return;
                    }
                }
                "/abort_requests" => {
                    let _guard = write_lock.lock();
                    if stream.write_all(&plain("200 OK", "content-type: application/json\r\n", "{}")).is_err() {
                        return;
                    }
                }
                _ if self.reads => self.prefill(&mut stream, &request, &write_lock),
                _ => {
                    if !self.decode(&mut stream, &request, &write_lock) {
                        return;
                    }
                }
            }
        }
    }

    fn prefill(&self, stream: &mut TcpStream, request: &Received, write_lock: &Arc<Mutex<()>>) {
        sleep(2);
        let body = format!(
            r#"{{"kv_transfer_params":{{"remote_engine_id":"{}","remote_block_ids":["{}"]}},"usage":{{"prompt_tokens":100,"completion_tokens":1}}}}"#,
            self.name, request.id
        );
        let _guard = write_lock.lock();
        let _ = stream.write_all(&plain("200 OK", "content-type: application/json\r\n", &body));
    }

    fn decode(&self, stream: &mut TcpStream, request: &Received, write_lock: &Arc<Mutex<()>>) -> bool {
        let mark = marker(&String::from_utf8_lossy(&request.body));
        self.record.line(format!("{}: runs {} for {mark}", self.name, request.id));
        self.ran.lock().unwrap().push(mark.clone());
        sleep(12);
        let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        if self.fault == Fault::Endless {
            return self.endless(stream, bytes, &mark);
        }
        for n in 0..4 {
            bytes.extend(chunk(&event(&format!("{mark} {n} "), "null")));
        }
        bytes.extend(chunk(&event("", "\"stop\"")));
        bytes.extend(chunk("data: [DONE]\n\n"));
        bytes.extend_from_slice(b"0\r\n\r\n");
        {
            let _guard = write_lock.lock();
            if stream.write_all(&bytes).is_err() {
                return false;
            }
        }
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        if let Fault::SecondAnswer { one_in } = self.fault {
            if number % one_in == one_in - 1 {
                let (mut copy, write_lock) = (stream.try_clone().expect("a socket"), write_lock.clone());
                let (late, seconds, record) = (3 + number % 5, self.seconds.clone(), self.record.clone());
                let name = self.name.clone();
                std::thread::spawn(move || {
                    sleep(late);
                    let _guard = write_lock.lock();
                    seconds.fetch_add(1, Ordering::Relaxed);
                    record.line(format!("{name}: the answer for {mark} comes a second time, {late} ms late"));
                    let _ = copy.write_all(&bytes);
                });
            }
        }
        true
    }

    /// Writes events until the connection ends.
    fn endless(&self, stream: &mut TcpStream, head: Vec<u8>, mark: &str) -> bool {
        if stream.write_all(&head).is_err() {
            return false;
        }
        let piece = chunk(&event(&format!("{mark} and so on "), "null")).repeat(256);
        let began = std::time::Instant::now();
        let mut sent = 0usize;
        while stream.write_all(&piece).is_ok() {
            sent += piece.len();
            // Some 20 MB a second.
            sleep(1);
            if began.elapsed().as_secs() > 110 {
                break;
            }
        }
        self.record.line(format!("{}: the endless answer for {mark} ended after {sent} bytes", self.name));
        false
    }
}

/// The settings of one `serve` before two kinds of engines.
pub fn settings(
    listen: SocketAddr, operators: SocketAddr, effect: &str, bounds: &str, engines: &[(String, SocketAddr, &str)],
) -> String {
    let mut text = format!(
        "[router]\nlisten = {listen}\noperators = {operators}\nname = desk-1\nzone = a\n[bounds]\n{bounds}\n\
         [class check]\naim = 800ms\naim_per_1000 = 60ms\npatience = 4s\nworth = 1\neffect = {effect}\n\
         [model check-1]\nclass = check\n[limits]\nattempts = 4\nlet_go_within = 500ms\n"
    );
    for (name, address, role) in engines {
        text.push_str(&format!("[engine {name}]\naddress = {address}\nrole = {role}\nzone = a\ncell = a1\n"));
    }
    text
}

/// Starts `slipreel serve` with these settings and waits until it answers.
pub fn start_serve(case: &Case, text: &str, listen: SocketAddr) -> Option<Process> {
    let file = case.folder.join("serve.ini");
    std::fs::write(&file, text).expect("a settings file");
    let command = format!("exec target/release/slipreel serve --config {}", file.display());
    let router = Process::start(case, "router", &command, &[]);
    let healthy = || ask(listen, &get("/health", &[]), millis(500)).is_some_and(|answer| answer.status == 200);
    wait_until(std::time::Duration::from_secs(20), healthy).then_some(router)
}
