//! One `serve`; engines of which one answer in 25 comes a second time, some milliseconds late. Each client
//! asks for its own marker and has to get that alone.

use crate::chat_engine::{self, marker, ChatEngine, Fault};
use crate::common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
const PLAY: Duration = Duration::from_secs(25);
const ONE_IN: u64 = 25;

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let fault = if case.trouble { Fault::SecondAnswer { one_in: ONE_IN } } else { Fault::None };
    let engines: Vec<(ChatEngine, std::net::SocketAddr)> = (0..4)
        .map(|n| {
            let reads = n < 2;
            let name = if reads { format!("reader-{n}") } else { format!("writer-{n}") };
            ChatEngine::start(&name, reads, if reads { Fault::None } else { fault }, &record)
        })
        .collect();
    let listed: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(n, (_, address))| (format!("e{n}"), *address, if n < 2 { "read" } else { "write" }))
        .collect();
    let (listen, operators) = (free_address(), free_address());
    let text = chat_engine::settings(listen, operators, "safe", "client_idle = 60s", &listed);
    let Some(router) = chat_engine::start_serve(&case, &text, listen) else {
        return case.could_not_run("the router was not healthy within 20 s");
    };
    let (asked, served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let began = Instant::now();
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, foreign) = (record.clone(), foreign.clone());
            let (asked, served, other) = (asked.clone(), served.clone(), other.clone());
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(listen).expect("a connection");
                let _ = stream.set_nodelay(true);
                for n in 0.. {
                    if began.elapsed() >= PLAY {
                        return;
                    }
                    let mark = format!("mark-{client}-{n}");
                    let body = format!(
                        r#"{{"model":"check-1","max_tokens":64,"stream":true,"messages":[{{"role":"user","content":"about {mark} please"}}]}}"#
                    );
                    asked.fetch_add(1, Ordering::Relaxed);
                    let sent = stream.write_all(&post("/v1/messages", &[("x-session-id", &mark)], &body)).is_ok();
                    let answer = read_answer(&mut stream, Duration::from_secs(6)).filter(|answer| sent && answer.whole);
                    let Some(answer) = answer else {
                        record.line(format!("client {client}: no whole answer to {mark}"));
                        other.fetch_add(1, Ordering::Relaxed);
                        stream = TcpStream::connect(listen).expect("a connection");
                        continue;
                    };
                    let text = answer.text();
                    let got = marker(&text);
                    if answer.status == 200 && text.contains("message_stop") {
                        served.fetch_add(1, Ordering::Relaxed);
                    } else {
                        other.fetch_add(1, Ordering::Relaxed);
                    }
                    let marks: Vec<&str> = text.match_indices("mark-").map(|(at, _)| &text[at..]).collect();
                    let wrong = marks.iter().map(|at| marker(at)).find(|got| *got != mark);
                    record.line(format!("client {client}: asked for {mark}, answered {} with {got}", answer.status));
                    if let Some(wrong) = wrong {
                        let line = format!("client {client} asked for {mark} and was answered {} with {wrong}", answer.status);
                        record.line(&line);
                        foreign.lock().unwrap().push(line);
                    }
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let seconds: u64 = engines.iter().map(|(engine, _)| engine.seconds.load(Ordering::Relaxed)).sum();
    let foreign = foreign.lock().unwrap().clone();
    foreign.iter().take(5).for_each(|line| record.say(line));
    record.say(format!(
        "{} asked, {} served, {} ended otherwise; {seconds} second answers; {} answers with another client's text",
        asked.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        other.load(Ordering::Relaxed),
        foreign.len()
    ));
    router.log_text().lines().take(60).for_each(|line| record.line(format!("log of the router: {line}")));
    if served.load(Ordering::Relaxed) < 100 {
        return case.could_not_run("fewer than 100 requests were served");
    }
    case.verdict(!foreign.is_empty(), "a client is served what an engine made for its own request")
}
