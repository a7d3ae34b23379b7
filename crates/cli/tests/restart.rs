//! Planned restarts of a `slipreel node` process, drawn from seeds: signals in series, clients that write slowly
//! or keep using their connections, crowds of idle clients, and SIGKILL at the earliest time that the protocol
//! allows.

mod platform;

use platform::ports::ReservedPort;
use platform::process::{start, Process};
use platform::surroundings::Surroundings;
use platform::{config, folder, ms, wait_until_ready};
use slipreel_event_loop::Clock;
use slipreel_test_servers::platform::{Faults, Random};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// The seeds of a run in CI; `RESTART_PROCESS_SEEDS` names another number of them.
const DEFAULT_SEEDS: u64 = 4;
/// A request counts if it arrives this long after SIGTERM: 0.7 s, and 50 ms that every limit on sockets gets.
const LATE_AFTER: Duration = Duration::from_millis(750);
/// How long a process may be held up.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// The clients of a run. They write their last bytes 0.1 s after each other.
const CLIENTS: usize = 36;
/// The idle connections of a crowd: about as many as the router has slots for.
const CROWD_SIZE: usize = 200;

/// What a run draws from its seed.
#[derive(Clone, Debug)]
struct Plan {
    resumes: bool,
    longest_deadline: Duration,
    /// The time between two events of a stream, of which it has four to eight.
    event_delay: Duration,
    hold_up: Duration,
    is_crowded: bool,
    /// Signals after the first SIGTERM.
    signals: Vec<&'static str>,
}

impl Plan {
    fn drawn(seed: u64) -> Plan {
        let mut random = Random::new(seed);
        let signal_count = random.below(4);
        Plan {
            resumes: seed % 2 == 0,
            longest_deadline: ms(random.one_of(&[1_000, 2_000, 3_000, 7_500])),
            event_delay: ms(random.one_of(&[50, 300, 1_000])),
            hold_up: if random.chance(0.5) { random.millis(0, 100) } else { Duration::ZERO },
            is_crowded: random.chance(0.3),
            signals: (0..signal_count).map(|_| random.one_of(&["-TERM", "-HUP", "-INT"])).collect(),
        }
    }

    /// SIGKILL, after SIGTERM.
    fn kill_delay(&self) -> Duration {
        self.longest_deadline.min(ms(3_000)) + ms(700)
    }
}

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehaviour {
    /// Connects before SIGTERM and writes the last byte of its request late.
    WritesSlowly,
    /// Connects after SIGTERM and writes the last byte of its request late.
    ConnectsLate,
    /// Has had an answer on its connection, and sends a request late.
    KeepsConnection,
}

/// A request and its answer up to the end of its connection.
#[derive(Debug)]
struct Exchange {
    behaviour: ClientBehaviour,
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

/// Whether the router has sent something or closed the connection.
fn is_readable(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(ms(1)));
    match stream.peek(&mut [0]) {
        Ok(_) => true,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Reads up to the end of the connection. SIGKILL resets it.
fn read_to_end(stream: &mut TcpStream) -> String {
    let _ = stream.set_read_timeout(Some(ms(20_000)));
    let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(read) = stream.read(&mut buffer) {
        if read == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

/// Has a first request answered on a connection, which stays open.
fn use_once(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    let mut buffer = [0; 1024];
    let read = stream.read(&mut buffer).ok()?;
    buffer[..read].starts_with(b"HTTP/1.1 200 ").then_some(())
}

/// Connects and sends a request whose last byte is written at `last_byte`. `None` if the router has ended the
/// connection before that, or closes it over a request that it has not read.
fn send_late(
    router: SocketAddr, number: usize, behaviour: ClientBehaviour, last_byte: Instant,
) -> Option<Exchange> {
    let mut stream = TcpStream::connect_timeout(&router, ms(1_000)).ok()?;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\nX-Class: chat\r\nX-Tenant: acme\r\n\
         X-Key: {number}\r\nX-Deadline: 7500m\r\nX-Extras: prompt_len=500,max_out=80\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let mut rest = request.as_bytes();
    if behaviour == ClientBehaviour::KeepsConnection {
        use_once(&mut stream)?;
    } else {
        let first;
        (first, rest) = rest.split_at(rest.len() - 1);
        stream.write_all(first).ok()?;
    }
    sleep_until(last_byte);
    if is_readable(&stream) {
        return None;
    }
    stream.write_all(rest).ok()?;
    let arrived = Instant::now();
    let answer = read_to_end(&mut stream);
    // A router may close a connection between requests, though the next one is on its way.
    let crossed_close = behaviour == ClientBehaviour::KeepsConnection && answer.is_empty();
    (!crossed_close).then(|| Exchange { behaviour, arrived, ended: Instant::now(), answer })
}

/// Starts the clients of a run. Those that connect before `stop` do so shortly before it.
fn start_clients(router: SocketAddr, stop: Instant) -> Vec<JoinHandle<Option<Exchange>>> {
    let start_client = |number: usize| {
        let (behaviour, connects_at) = match number % 3 {
            0 => (ClientBehaviour::WritesSlowly, stop - ms(50)),
            1 => (ClientBehaviour::ConnectsLate, stop + ms(200)),
            _ => (ClientBehaviour::KeepsConnection, stop - ms(100)),
        };
        let last_byte = stop + ms(50 + 100 * number as u64);
        spawn(move || {
            sleep_until(connects_at);
            send_late(router, number, behaviour, last_byte)
        })
    };
    (0..CLIENTS).map(start_client).collect()
}

/// Sends the signals of a plan. Returns the time of SIGTERM: not before it was sent, and at most
/// [`MAX_HOLD_UP`] before the process could handle it.
fn send_signals(process: &Process, plan: &Plan) -> Instant {
    if !plan.hold_up.is_zero() {
        process.signal("-STOP");
    }
    process.signal("-TERM");
    let sent = Instant::now();
    sleep(plan.hold_up);
    if !plan.hold_up.is_zero() {
        process.signal("-CONT");
    }
    let may_be_handled = Instant::now();
    plan.signals.iter().for_each(|signal| process.signal(signal));
    sent.max(may_be_handled - MAX_HOLD_UP)
}

/// Writes a router's configuration.
fn write_config(file: &Path, listen: SocketAddr, surroundings: &Surroundings, plan: &Plan) {
    let deadline = plan.longest_deadline.as_millis();
    let text = config(listen, surroundings.discoveries[0], &surroundings.known)
        .replace("\"resume\":true", &format!("\"resume\":{}", plan.resumes))
        .replace("\"target\":1000.0", &format!("\"target\":1000.0,\"deadline\":{deadline}.0"));
    std::fs::write(file, text).expect("a file");
}

/// Restarts a process once. Returns the time of SIGTERM and the requests of its clients.
fn restart(seed: u64, plan: &Plan) -> (Instant, Vec<Exchange>) {
    let faults = Faults { event_delay: plan.event_delay, ..Faults::default() };
    let surroundings = Surroundings::start(Clock::start(), 5, faults);
    let (port, folder) = (ReservedPort::new(), folder(&format!("restart-{seed}")));
    let file = folder.join("config.json");
    write_config(&file, port.address(), &surroundings, plan);
    let mut process = start(&file);
    wait_until_ready(port.address());

    let stop = Instant::now() + ms(300);
    let clients = start_clients(port.address(), stop);
    let mut crowd = Vec::new();
    if plan.is_crowded {
        sleep_until(stop - ms(20));
        crowd.extend((0..CROWD_SIZE).filter_map(|_| TcpStream::connect(port.address()).ok()));
    }
    sleep_until(stop);
    let signalled = send_signals(&process, plan);
    let kill = signalled + plan.kill_delay();
    process.has_ended_within(kill.saturating_duration_since(Instant::now()));
    // Kills it, if it still runs.
    drop(process);
    let exchanges =
        clients.into_iter().filter_map(|client| client.join().expect("a client's thread")).collect();
    surroundings.end();
    let _ = std::fs::remove_dir_all(folder);
    (signalled, exchanges)
}

/// Guards against taking a request whose stream SIGKILL cuts off: every request that arrives late after SIGTERM
/// has its final answer, or is migrated where its client resumes it, before SIGKILL.
#[test]
fn requests_that_arrive_late_after_sigterm_are_not_cut_off_by_sigkill() {
    let seeds = std::env::var("RESTART_PROCESS_SEEDS").ok().and_then(|text| text.parse().ok());
    let (mut lost, mut totals) = (Vec::new(), BTreeMap::<String, usize>::new());
    for seed in 1..=seeds.unwrap_or(DEFAULT_SEEDS) {
        let plan = Plan::drawn(seed);
        let (signalled, exchanges) = restart(seed, &plan);
        let kill = signalled + plan.kill_delay();
        for exchange in exchanges {
            let when = if exchange.arrived > signalled + LATE_AFTER { "late" } else { "early" };
            let ended_before_kill = exchange.ended < kill;
            let result = match (exchange.is_stream(), exchange.is_complete()) {
                (true, true) => "served",
                (false, true) => "rejected",
                (true, false) if plan.resumes && ended_before_kill => "migrated",
                _ => "cut off",
            };
            *totals.entry(format!("{when} {result}, resumes {}", plan.resumes)).or_default() += 1;
            // What arrived early is excused if SIGKILL cut it off, but not if the router did.
            if result == "cut off" && (when == "late" || ended_before_kill) {
                let (behaviour, after) = (exchange.behaviour, exchange.arrived - signalled);
                lost.push(format!(
                    "seed {seed}, {behaviour:?}, {after:?} after SIGTERM: {exchange:?} of {plan:?}"
                ));
            }
        }
    }
    println!("{totals:#?}");
    assert!(lost.is_empty(), "{lost:#?}");
    for (result, resumes) in [("late rejected", false), ("early served", false), ("late rejected", true)] {
        let key = format!("{result}, resumes {resumes}");
        assert!(totals.contains_key(&key), "{key}: none in {totals:#?}");
    }
}
