//! One router on the platform with 80 MB and 768 descriptors. A few hundred clients send all but the end of a
//! request with a long prompt, then stop and stay. The platform kills a router that goes over its memory.

use crate::common::*;
use crate::platform::{self, Engine, Entry};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the platform allows, as it stands in the configuration.
const MEMORY_MB: u64 = 80;
const SOCKETS: usize = 768;
/// Clients that stop in the middle of a request, in three waves.
const BAD_CLIENTS: usize = 330;
/// The longest body by the protocol page, and how much of it comes.
const BODY: usize = 256 << 10;
const SENT: usize = BODY - 64;
const WAVES: usize = 3;

/// Sends a part of a request and stays until the router ends it. Returns how long that took, if it did.
fn bad_client(address: SocketAddr, id: usize, sent: usize) -> Option<Duration> {
    let mut stream = TcpStream::connect(address).ok()?;
    let began = Instant::now();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: bad{id:08x}\r\nX-Class: trip-plan\r\nX-Key: bad{id}\r\n\
         X-Deadline: 6000m\r\nX-Extras: prompt_len=60000,max_out=20\r\nContent-Type: application/json\r\nContent-Length: {BODY}\r\n\r\n"
    );
    if sent > 0 {
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(&vec![b' '; sent]).ok()?;
    }
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer);
    count.is_ok().then(|| began.elapsed())
}

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let (_reader, reader_at) = Engine::start("reader", true, 0, &record);
    let (_writer, writer_at) = Engine::start("writer", false, 20, &record);
    let entries: Vec<Entry> =
        vec![("s-reader".into(), reader_at, "prefill"), ("s-writer".into(), writer_at, "decode")];
    let (address, agent) = (free_address(), platform::discovery(entries.clone()));
    let file = case.folder.join("config.json");
    let text = platform::config(address, agent, &entries, "safe", false)
        .replace("\"memory_mb\":192,\"sockets\":1024", &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"));
    std::fs::write(&file, text).expect("a configuration");
    let (listen, agent) = (address.to_string(), agent.to_string());
    let variables =
        [("LB_NAME", "n0"), ("LB_LISTEN", listen.as_str()), ("LB_DISCOVERY", &agent), ("LB_CONFIG", file.to_str().unwrap())];
    let router = Arc::new(Mutex::new(Process::start(&case, "router", &run_command(), &variables)));
    let ready = || ask(address, &get("/-/ready", &[]), millis(500)).is_some_and(|answer| answer.status == 200);
    if !wait_until(Duration::from_secs(20), ready) {
        return case.could_not_run("the router was not ready within 20 s");
    }
    let before = router.lock().unwrap().memory();
    // The platform: looks at the memory of the router and kills it over its limit.
    let (stop, most, killed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let platform = {
        let (stop, most, killed, router, record) = (stop.clone(), most.clone(), killed.clone(), router.clone(), record.clone());
        std::thread::spawn(move || {
            let mut shown = 0;
            while !stop.load(Ordering::Relaxed) {
                let process = router.lock().unwrap();
                let memory = process.memory();
                most.fetch_max(memory, Ordering::Relaxed);
                if memory >> 23 > shown {
                    shown = memory >> 23;
                    record.line(format!("the router holds {:.1} MB", memory as f64 / 1e6));
                }
                if memory > MEMORY_MB << 20 {
                    process.signal(SIGKILL);
                    killed.store(true, Ordering::Relaxed);
                    record.say(format!("the platform kills the router: {:.1} MB of {MEMORY_MB} MB", memory as f64 / 1e6));
                    return;
                }
                drop(process);
                sleep(5);
            }
        })
    };
    // Usual clients, one request after another.
    let (served, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let usual: Vec<_> = (0..4)
        .map(|client| {
            let (stop, served, lost) = (stop.clone(), served.clone(), lost.clone());
            std::thread::spawn(move || {
                let mut n = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let request = platform::request(&format!("{client:08x}{n:08x}"), 5_000, 20, "Connection: close\r\n");
                    match ask(address, &request, Duration::from_secs(6)) {
                        Some(answer) if answer.whole => served.fetch_add(1, Ordering::Relaxed),
                        _ => lost.fetch_add(1, Ordering::Relaxed),
                    };
                    sleep(50);
                }
            })
        })
        .collect();
    let mut ended = 0;
    for wave in 0..WAVES {
        // Without the disruption as many clients connect and say nothing.
        let sent = if case.trouble { SENT } else { 0 };
        let clients: Vec<_> = (0..BAD_CLIENTS)
            .map(|n| std::thread::spawn(move || bad_client(address, wave * BAD_CLIENTS + n, sent)))
            .collect();
        let times: Vec<Duration> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
        ended += times.len();
        let longest = times.iter().max().copied().unwrap_or_default();
        record.say(format!(
            "wave {}: {BAD_CLIENTS} clients, {} ended by the router, after {:.1} s at most; the router held {:.1} MB at most so far",
            wave + 1,
            times.len(),
            longest.as_secs_f64(),
            most.load(Ordering::Relaxed) as f64 / 1e6
        ));
        if killed.load(Ordering::Relaxed) {
            break;
        }
    }
    sleep(500);
    stop.store(true, Ordering::Relaxed);
    usual.into_iter().for_each(|client| drop(client.join()));
    let _ = platform.join();
    record.say(format!(
        "memory: {:.1} MB before, {:.1} MB at most, of {MEMORY_MB} MB; usual clients: {} answered, {} not; {ended} bad clients ended",
        before as f64 / 1e6,
        most.load(Ordering::Relaxed) as f64 / 1e6,
        served.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed)
    ));
    router.lock().unwrap().log_text().lines().for_each(|line| record.line(format!("log of the router: {line}")));
    case.verdict(killed.load(Ordering::Relaxed), "no client can drive a router over the memory that its configuration tells")
}
