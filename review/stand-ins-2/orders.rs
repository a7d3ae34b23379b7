//! One `serve`; orders that must never run twice. One answer of a reader in 25 comes a second time on its
//! connection, some milliseconds late. Each order has a marker of its own; a writer files what the state that
//! it has fetched says, as it can't read a prompt itself.

use crate::chat_engine::{self, marker};
use crate::common::*;
use crate::platform::{chunk, listen, plain, read_request, serve};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 14;
const PLAY: Duration = Duration::from_secs(25);
/// Answers of a reader of which one comes a second time.
const ONE_IN: u64 = 25;
/// How late the second one is.
const LATE: u64 = 4;
/// Requests that a writer runs at once; others wait.
const WRITER_SLOTS: usize = 4;

/// The states that readers hold, by the id of the read, each with the marker of its order.
type States = Arc<Mutex<BTreeMap<String, String>>>;
/// By marker: the attempts that filed the order.
type Filed = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

const METRICS: &str = "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 1\nvllm:num_requests_waiting 0\n\
                       vllm:kv_cache_usage_perc 0.05\nprocess_start_time_seconds 1000000000\n";

/// Answers that are the same at all engines; `None`: the request is a read or a write.
fn common_answer(target: &str) -> Option<Vec<u8>> {
    match target {
        "/metrics" => Some(plain("200 OK", "content-type: text/plain\r\n", METRICS)),
        "/abort_requests" => Some(plain("200 OK", "content-type: application/json\r\n", "{}")),
        _ => None,
    }
}

fn reader(name: String, states: States, repeats: bool, seconds: Arc<AtomicU64>, record: Record) -> SocketAddr {
    let (listener, address) = listen();
    let answers = Arc::new(AtomicU64::new(0));
    serve(listener, move |mut stream| {
        let mut pending = Vec::new();
        // A second answer stands between two answers, never inside one.
        let whole = Arc::new(Mutex::new(()));
        while let Some(request) = read_request(&mut stream, &mut pending) {
            let answer = common_answer(&request.target).unwrap_or_else(|| {
                sleep(8);
                let mark = marker(&String::from_utf8_lossy(&request.body));
                record.line(format!("{name}: has read {mark} as {}", request.id));
                states.lock().unwrap().insert(request.id.clone(), mark.clone());
                let body = format!(
                    r#"{{"kv_transfer_params":{{"remote_engine_id":"{name}","remote_block_ids":["{}"]}},"usage":{{"prompt_tokens":100,"completion_tokens":1}}}}"#,
                    request.id
                );
                let answer = plain("200 OK", "content-type: application/json\r\n", &body);
                if repeats && answers.fetch_add(1, Ordering::Relaxed) % ONE_IN == ONE_IN - 1 {
                    let mut copy = stream.try_clone().expect("a socket");
                    let (whole, answer, seconds, record) = (whole.clone(), answer.clone(), seconds.clone(), record.clone());
                    let name = name.clone();
                    std::thread::spawn(move || {
                        sleep(LATE);
                        let _guard = whole.lock();
                        seconds.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("{name}: the answer for {mark} comes a second time, {LATE} ms late"));
                        let _ = copy.write_all(&answer);
                    });
                }
                answer
            });
            let _guard = whole.lock();
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    });
    address
}

fn writer(name: String, states: States, filed: Filed, no_state: Arc<AtomicU64>, record: Record) -> SocketAddr {
    let (listener, address) = listen();
    let slots = Arc::new((Mutex::new(WRITER_SLOTS), Condvar::new()));
    serve(listener, move |mut stream| {
        let mut pending = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut pending) {
            let answer = common_answer(&request.target).unwrap_or_else(|| {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let block = body.split("\"remote_block_ids\":[\"").nth(1).and_then(|rest| rest.split('"').next());
                // It waits for a slot; then the state is fetched, and the reader's memory is let go.
                let (free, changed) = (&slots.0, &slots.1);
                let guard = free.lock().unwrap();
                *changed.wait_while(guard, |free| *free == 0).unwrap() -= 1;
                let state = states.lock().unwrap().remove(block.unwrap_or_default());
                let answer = match state {
                    None => {
                        no_state.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("{name}: no state {} for {}", block.unwrap_or_default(), request.id));
                        plain("410 Gone", "content-type: application/json\r\n", r#"{"error":{"type":"no_state","message":"no state"}}"#)
                    }
                    Some(mark) => {
                        record.line(format!("{name}: files {mark}, asked by {} with the state {}", request.id, block.unwrap_or_default()));
                        filed.lock().unwrap().entry(mark.clone()).or_default().push(request.id.clone());
                        sleep(25);
                        let mut bytes = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
                        bytes.extend(chunk(&format!(
                            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"filed {mark}\"}},\"finish_reason\":\"stop\"}}]}}\n\n"
                        )));
                        bytes.extend(chunk("data: [DONE]\n\n"));
                        bytes.extend_from_slice(b"0\r\n\r\n");
                        bytes
                    }
                };
                *free.lock().unwrap() += 1;
                changed.notify_one();
                answer
            });
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    });
    address
}

/// What the clients saw.
#[derive(Default)]
struct Seen {
    statuses: BTreeMap<u16, u64>,
    /// Orders that were answered with 200.
    served: Vec<String>,
    /// Orders whose answer names another one.
    foreign: Vec<String>,
}

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let (states, filed): (States, Filed) = Default::default();
    let (seconds, no_state) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut engines = Vec::new();
    for n in 0..2 {
        let address = reader(format!("reader-{n}"), states.clone(), case.trouble, seconds.clone(), record.clone());
        engines.push((format!("reader-{n}"), address, "read"));
        let address = writer(format!("writer-{n}"), states.clone(), filed.clone(), no_state.clone(), record.clone());
        engines.push((format!("writer-{n}"), address, "write"));
    }
    let (listen, operators) = (free_address(), free_address());
    let text = chat_engine::settings(listen, operators, "unsafe", "client_idle = 60s", &engines);
    let Some(router) = chat_engine::start_serve(&case, &text, listen) else {
        return case.could_not_run("the router was not healthy within 20 s");
    };
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (seen, record) = (seen.clone(), record.clone());
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(listen).expect("a connection");
                let _ = stream.set_nodelay(true);
                let mut n = 0;
                while began.elapsed() < PLAY {
                    n += 1;
                    let mark = format!("mark-{client}-{n}");
                    let body = format!(
                        r#"{{"model":"check-1","max_tokens":64,"messages":[{{"role":"user","content":"lodge {mark} please"}}]}}"#
                    );
                    let sent = stream.write_all(&post("/v1/messages", &[("x-session-id", &mark)], &body)).is_ok();
                    let answer = read_answer(&mut stream, Duration::from_secs(6)).filter(|answer| sent && answer.whole);
                    let Some(answer) = answer else {
                        record.line(format!("client {client}: no whole answer to {mark}"));
                        *seen.lock().unwrap().statuses.entry(0).or_default() += 1;
                        stream = TcpStream::connect(listen).expect("a connection");
                        continue;
                    };
                    let told = marker(answer.text().split("filed ").nth(1).unwrap_or_default());
                    record.line(format!("client {client}: lodged {mark}, answered {} {told}", answer.status));
                    let mut seen = seen.lock().unwrap();
                    *seen.statuses.entry(answer.status).or_default() += 1;
                    if answer.status == 200 {
                        if told != mark {
                            seen.foreign.push(format!("{mark} was answered with {told}"));
                        }
                        seen.served.push(mark);
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(500);
    let (seen, filed) = (seen.lock().unwrap(), filed.lock().unwrap());
    let twice: Vec<_> = filed.iter().filter(|(_, attempts)| attempts.len() > 1).collect();
    let never = seen.served.iter().filter(|mark| !filed.contains_key(*mark)).count();
    for (mark, attempts) in twice.iter().take(3) {
        record.say(format!("order {mark} was filed {} times, by the attempts {}", attempts.len(), attempts.join(" and ")));
    }
    seen.foreign.iter().take(3).for_each(|line| record.say(format!("order {line}")));
    record.say(format!(
        "answers by status (0: none): {:?}; {} second answers; {} writes found no state",
        seen.statuses,
        seconds.load(Ordering::Relaxed),
        no_state.load(Ordering::Relaxed)
    ));
    record.say(format!(
        "{} orders filed twice, {never} answered with 200 and never filed, {} answered with another order's text",
        twice.len(),
        seen.foreign.len()
    ));
    router.log_text().lines().take(60).for_each(|line| record.line(format!("log of the router: {line}")));
    if seen.served.len() < 100 {
        return case.could_not_run("fewer than 100 orders were served");
    }
    case.verdict(!twice.is_empty(), "an order of a class that must never run twice is filed once")
}
