//! Signals that reach `slipreel node` at the same time, while requests are active.

mod platform;

use platform::ports::ReservedPort;
use platform::process::start;
use platform::surroundings::Surroundings;
use platform::{config, folder, ms, wait_until_ready};
use slipreel_event_loop::Clock;
use slipreel_test_servers::platform::Faults;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Sends one request and returns the connection, from which the answer has yet to be read.
fn send_request(addr: SocketAddr, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect_timeout(&addr, ms(1_000)).expect("a connection");
    stream.set_read_timeout(Some(ms(5_000))).expect("a time-out");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: id{id}\r\nX-Class: chat\r\nX-Tenant: acme\r\n\
         X-Key: {id}\r\nX-Deadline: 3000m\r\nX-Extras: prompt_len=500,max_out=80\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).expect("sent");
    stream
}

#[test]
fn reloads_and_stops_at_the_same_time_lose_no_active_request() {
    // Slow enough for the signals to arrive during prefill.
    let faults = Faults { slow: ms(300), ..Faults::default() };
    let surroundings = Surroundings::start(Clock::start(), 4, faults);
    let (known, discoveries) = (&surroundings.known, surroundings.discoveries);

    let (port, folder) = (ReservedPort::new(), folder("signals"));
    let listen = port.address();
    let file = folder.join("config.json");
    std::fs::write(&file, config(listen, discoveries[0], known)).expect("a file");
    let mut process = start(&file);
    wait_until_ready(listen);

    let mut active_requests: Vec<TcpStream> = (0..8).map(|id| send_request(listen, id)).collect();
    std::thread::sleep(ms(100));
    std::fs::write(&file, config(listen, discoveries[1], known)).expect("a file");
    // A process that is suspended by SIGSTOP receives all of them at once when it continues.
    for signal in ["-STOP", "-TERM", "-HUP", "-TERM", "-HUP", "-CONT"] {
        process.signal(signal);
    }
    for (id, stream) in active_requests.iter_mut().enumerate() {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer and the end of the connection");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{id}: {answer}");
        assert!(answer.ends_with("\r\n0\r\n\r\n"), "{id}: the stream is whole: {answer}");
    }
    assert_eq!(process.exit_code_within(ms(4_000)), Some(0));
    surroundings.end();
    let _ = std::fs::remove_dir_all(folder);
}
