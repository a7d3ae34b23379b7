//! One router on the platform; a client that reads its long answer slowly but steadily, and has said that it
//! closes the connection after it.

use crate::common::*;
use crate::platform::{self, Engine, Entry};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Tokens of the answer, one event each: some 240 KB, below the 256 KiB that a body may have.
const TOKENS: usize = 2_800;
/// Bytes that the slow client reads at a time, and the pause after that: 16 KB a second.
const PIECE: usize = 1_600;
const PAUSE: u64 = 100;

struct Read1 {
    status: u16,
    bytes: usize,
    events: usize,
    whole: bool,
    took: Duration,
}

/// Asks, and reads the answer in pieces until its last chunk or the end of the connection.
fn play(record: &Record, address: SocketAddr, from: u8, id: &str, closes: bool, slow: bool) -> Option<Read1> {
    let process = std::process::id().to_be_bytes();
    let from = Ipv4Addr::new(127, 64 + process[2] % 64, process[3].max(1), from);
    let mut stream = connect_as_remote(address, from, 4 << 10)?;
    let fields = if closes { "Connection: close\r\n" } else { "" };
    let began = Instant::now();
    stream.write_all(&platform::request(id, 7_500, TOKENS, fields)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; if slow { PIECE } else { 65_536 }]);
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "the router ended the connection".to_owned(),
            Err(why) => break format!("the connection broke: {why}"),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            break "last chunk".to_owned();
        }
        if slow {
            sleep(PAUSE);
        }
    };
    let (_, answer) = decode(&bytes)?;
    let events = answer.text().matches("data: ").count();
    let read = Read1 { status: answer.status, bytes: bytes.len(), events, whole: answer.whole, took: began.elapsed() };
    record.say(format!(
        "{id} ({}, {}): {} {} bytes, {} of {} events, {:.1} s, end: {end}",
        if slow { "16 KB a second" } else { "reads at once" },
        if closes { "Connection: close" } else { "keeps its connection" },
        read.status,
        read.bytes,
        read.events,
        TOKENS + 2,
        read.took.as_secs_f64(),
    ));
    Some(read)
}

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let (_reader, reader_at) = Engine::start("reader", true, 0, &record);
    let (writer, writer_at) = Engine::start("writer", false, TOKENS, &record);
    let entries: Vec<Entry> =
        vec![("s-reader".into(), reader_at, "prefill"), ("s-writer".into(), writer_at, "decode")];
    let (address, agent) = (free_address(), platform::discovery(entries.clone()));
    let file = case.folder.join("config.json");
    std::fs::write(&file, platform::config(address, agent, &entries, "safe", false)).expect("a configuration");
    let listen = address.to_string();
    let agent = agent.to_string();
    let variables =
        [("LB_NAME", "n0"), ("LB_LISTEN", listen.as_str()), ("LB_DISCOVERY", &agent), ("LB_CONFIG", file.to_str().unwrap())];
    let router = Process::start(&case, "router", &run_command(), &variables);
    let ready = || ask(address, &get("/-/ready", &[]), millis(500)).is_some_and(|answer| answer.status == 200);
    if !wait_until(Duration::from_secs(20), ready) {
        return case.could_not_run("the router was not ready within 20 s");
    }
    let Some(control) = play(&record, address, 2, "a000000000000001", true, false) else {
        return case.could_not_run("no answer to the first request");
    };
    if !control.whole {
        return case.could_not_run("a client that reads at once did not get its whole answer");
    }
    let (mut lost, mut played) = (0, 1);
    if case.trouble {
        // The same client on a connection that stays open: the router does not cut it off for its rate.
        let kept = play(&record, address, 3, "a000000000000002", false, true);
        record.say(format!("on a connection that stays open the slow client's answer is whole: {}", kept.is_some_and(|read| read.whole)));
    }
    let clients: Vec<_> = (0..6)
        .map(|n| {
            let (record, trouble) = (record.clone(), case.trouble);
            std::thread::spawn(move || play(&record, address, 10 + n, &format!("b00000000000000{n}"), true, trouble))
        })
        .collect();
    for client in clients {
        played += 1;
        match client.join().ok().flatten() {
            Some(read) if read.status == 200 && !read.whole => lost += 1,
            Some(_) => {}
            None => return case.could_not_run("a client could not connect"),
        }
    }
    record.say(format!("{played} requests that close their connection, {lost} of them lost; the writer ran {}", writer.ran.lock().unwrap().len()));
    router.log_text().lines().for_each(|line| record.line(format!("log of the router: {line}")));
    case.verdict(lost > 0, "a stream that its engine has finished reaches its client to the last chunk")
}
