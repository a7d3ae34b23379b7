//! The memory of a router's process beside clients that send much, stop anywhere, and read nothing.

mod platform;

use platform::ports::ReservedPort;
use platform::process::{start, Process};
use platform::surroundings::Surroundings;
use platform::{config, folder, ms, wait_until_ready};
use slipreel_event_loop::{Clock, Command as EventLoopCommand, EventLoop};
use slipreel_test_servers::platform::{Clients, Ending, Faults};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The smallest memory that the platform gives a router, and its most descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
/// The longest body by the protocol, in bytes.
const MAX_BODY: usize = 256 << 10;
/// Within this time a bad client is owed an error or a close.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The most memory that a process has held so far, in bytes.
fn peak_memory(process: &Process) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the peak");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes << 10
}

fn long_request(id: &str, connection: &str) -> Vec<u8> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id}\r\nX-Class: chat\r\nX-Tenant: acme\r\n\
         X-Key: {id}\r\nX-Deadline: 4800m\r\nX-Extras: prompt_len=8,max_out=8\r\n\
         Connection: {connection}\r\nContent-Length: {MAX_BODY}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + MAX_BODY, b' ');
    bytes
}

/// Sends all but the end of a request, then waits. Returns how long the router took to end it.
fn stop_in_a_request(address: SocketAddr, id: &str) -> Option<Duration> {
    let mut stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    let began = Instant::now();
    let bytes = long_request(id, "keep-alive");
    // The router may close the connection before it has taken everything.
    let _ = stream.write_all(&bytes[..bytes.len() - 64]);
    stream.set_read_timeout(Some(ms(8_000))).ok()?;
    let _ = stream.read(&mut [0; 512]);
    Some(began.elapsed())
}

/// Sends a whole request, and leaves at once or waits for its end without reading.
fn send_and_read_nothing(address: SocketAddr, id: &str, leaves: bool) -> Option<Duration> {
    let mut stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    let _ = stream.write_all(&long_request(id, "close"));
    if !leaves {
        std::thread::sleep(ms(1_500));
    }
    None
}

/// Starts bad clients of all kinds at once.
fn start_bad_clients(address: SocketAddr, wave: usize) -> Vec<JoinHandle<Option<Duration>>> {
    let start = |number: usize| {
        let id = format!("bad{wave}x{number}");
        std::thread::spawn(move || match number % 4 {
            0 => send_and_read_nothing(address, &id, number % 8 == 0),
            _ => stop_in_a_request(address, &id),
        })
    };
    (0..400).map(start).collect()
}

/// Guards against buffers that no limit counts: clients that stopped in the middle of a request drove a router
/// over its memory, and the platform killed it.
#[test]
fn bad_clients_do_not_drive_a_process_over_its_memory() {
    let clock = Clock::start();
    let surroundings = Surroundings::start(clock, 5, Faults::default());
    let (port, folder) = (ReservedPort::new(), folder("memory"));
    let listen = port.address();
    let file = folder.join("config.json");
    let text = config(listen, surroundings.discoveries[0], &surroundings.known).replace(
        "\"memory_mb\":64,\"sockets\":512",
        &format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}"),
    );
    assert!(text.contains(&format!("\"sockets\":{SOCKETS}")));
    std::fs::write(&file, text).expect("a file");
    let mut process = start(&file);
    wait_until_ready(listen);

    let mut client_loop: EventLoop<Clients> = EventLoop::new(clock).expect("an event loop");
    client_loop.add(Clients::new(listen, &["chat", "once"], ms(40), 150, clock.now() + ms(10), 3));
    let client_handle = client_loop.handle();
    let client_thread = std::thread::spawn(move || {
        client_loop.run().map(|()| client_loop.into_machines().remove(0)).expect("a run of clients")
    });
    let mut longest = Duration::ZERO;
    for wave in 0..3 {
        let ended = start_bad_clients(listen, wave);
        let times = ended.into_iter().filter_map(|thread| thread.join().expect("a client"));
        longest = longest.max(times.max().unwrap_or_default());
    }
    std::thread::sleep(ms(2_000));
    let peak = peak_memory(&process);
    client_handle.send(EventLoopCommand::End);
    let clients = client_thread.join().expect("the clients' thread");
    process.signal("-TERM");
    assert_eq!(process.exit_code_within(ms(8_000)), Some(0));
    surroundings.end();

    println!("{peak} bytes at most, bad clients ended after {longest:?}, usual ones: {:?}", clients.endings);
    assert!(peak <= MEMORY_MB << 20, "{peak} bytes of {MEMORY_MB} MB");
    assert!(peak > (MEMORY_MB << 20) / 2, "too few bytes for a flood: {peak}");
    assert!(longest <= BAD_CLIENT_TIMEOUT, "a bad client waited {longest:?}");
    assert_eq!(clients.odd, [""; 0], "{:?}", clients.endings);
    assert!(!clients.endings.contains_key(&Ending::Lost), "{:?}", clients.endings);
    assert!(clients.endings[&Ending::Served] > 120, "{:?}", clients.endings);
    let _ = std::fs::remove_dir_all(folder);
}
