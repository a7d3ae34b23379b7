//! A planned restart of a `slipreel node` process: signals in series, clients that write slowly or keep using
//! their connections, and SIGKILL at the earliest time that the protocol allows.

mod platform;

use platform::ports::ReservedPort;
use platform::process::start;
use platform::surroundings::Surroundings;
use platform::{config, folder, ms, wait_until_ready};
use slipreel_event_loop::Clock;
use slipreel_test_servers::platform::Faults;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// SIGKILL, after SIGTERM: the longest wait that counts, 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// A request counts if it arrives this long after SIGTERM: 0.7 s, and 50 ms that every limit on sockets gets.
const LATE_AFTER: Duration = Duration::from_millis(750);

/// A request and its answer up to the end of its connection.
#[derive(Debug)]
struct Exchange {
    /// When its last byte was written.
    arrived: Instant,
    /// When its connection ended.
    ended: Instant,
    answer: String,
}

impl Exchange {
    fn is_stream(&self) -> bool {
        self.answer.starts_with("HTTP/1.1 200 ")
    }

    fn is_complete(&self) -> bool {
        if self.is_stream() {
            self.answer.ends_with("\r\n0\r\n\r\n")
        } else {
            self.answer.ends_with('}')
        }
    }
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Connects and writes a request but for its last byte, which follows at `last_byte`. `None` if the router has
/// closed the connection before that.
fn send_slowly(router: SocketAddr, number: usize, last_byte: Instant) -> Option<Exchange> {
    let mut stream = TcpStream::connect_timeout(&router, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(20_000))).ok()?;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\nX-Class: chat\r\nX-Tenant: acme\r\n\
         X-Key: {number}\r\nX-Deadline: 7500m\r\nX-Extras: prompt_len=500,max_out=80\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let (first, last) = request.split_at(request.len() - 1);
    stream.write_all(first.as_bytes()).ok()?;
    sleep_until(last_byte);
    stream.write_all(last.as_bytes()).ok()?;
    let arrived = Instant::now();
    let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
    // SIGKILL resets the connection.
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..read]);
    }
    let answer = String::from_utf8_lossy(&answer).into_owned();
    Some(Exchange { arrived, ended: Instant::now(), answer })
}

/// Restarts a process once. Returns when SIGTERM was sent and the requests of its slow clients.
fn restart(resumes: bool) -> (Instant, Vec<Exchange>) {
    // Streams of 4 s and more.
    let surroundings =
        Surroundings::start(Clock::start(), 5, Faults { event_delay: ms(1_000), ..Faults::default() });
    let (port, folder) = (ReservedPort::new(), folder(&format!("restart-{resumes}")));
    let listen = port.address();
    let file = folder.join("config.json");
    let text = config(listen, surroundings.discoveries[0], &surroundings.known)
        .replace("\"resume\":true", &format!("\"resume\":{resumes}"))
        .replace("\"target\":1000.0", "\"target\":1000.0,\"deadline\":7500.0");
    std::fs::write(&file, text).expect("a file");
    let mut process = start(&file);
    wait_until_ready(listen);

    let stop = Instant::now() + ms(300);
    // The last bytes come 0.1 to 2.3 s after SIGTERM; half of the clients connect before it.
    let clients: Vec<JoinHandle<Option<Exchange>>> = (0..23)
        .map(|number| {
            let connects_at = if number % 2 == 0 { stop - ms(50) } else { stop + ms(50) };
            let last_byte = stop + ms(100 + 100 * number as u64);
            spawn(move || {
                sleep_until(connects_at);
                send_slowly(listen, number, last_byte)
            })
        })
        .collect();
    sleep_until(stop);
    process.signal("-TERM");
    let signalled = Instant::now();
    for signal in ["-HUP", "-TERM"] {
        process.signal(signal);
    }
    process.has_ended_within((signalled + KILL_AFTER).saturating_duration_since(Instant::now()));
    // Kills it, if it still runs.
    drop(process);
    let exchanges =
        clients.into_iter().filter_map(|client| client.join().expect("a client's thread")).collect();
    surroundings.end();
    let _ = std::fs::remove_dir_all(folder);
    (signalled, exchanges)
}

/// Guards against taking a request whose stream the kill cuts off.
#[test]
fn requests_that_arrive_late_after_sigterm_are_not_cut_off_by_sigkill() {
    for resumes in [false, true] {
        let (signalled, exchanges) = restart(resumes);
        let late: Vec<&Exchange> =
            exchanges.iter().filter(|exchange| exchange.arrived > signalled + LATE_AFTER).collect();
        assert!(late.len() > 10, "too few late requests: {exchanges:?}");
        for exchange in late {
            let is_migrated = resumes && exchange.is_stream() && exchange.ended < signalled + KILL_AFTER;
            assert!(
                exchange.is_complete() || is_migrated,
                "resumes {resumes}: {:?} after SIGTERM: {exchange:?}",
                exchange.arrived - signalled
            );
        }
        let early_streams = exchanges
            .iter()
            .filter(|exchange| exchange.arrived < signalled + ms(500) && exchange.is_stream());
        assert!(early_streams.count() > 0, "requests are admitted after SIGTERM: {exchanges:?}");
    }
}
