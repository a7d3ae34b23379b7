//! `slipreel node` as the platform runs it: a separate process, over sockets, with simulated engines,
//! discovery and clients.

mod platform;

use platform::ports::ReservedPort;
use platform::process::start;
use platform::surroundings::Surroundings;
use platform::{config, folder, is_ready, ms, wait_until_ready};
use slipreel_event_loop::{Clock, Command as EventLoopCommand, EventLoop};
use slipreel_test_servers::platform::{lock_shared, Clients, Ending, Faults};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

#[test]
fn a_router_serves_through_reloads_and_shuts_down_gracefully() {
    let clock = Clock::start();
    let faults = Faults { full: 0.05, more: 0.1, ..Faults::default() };
    let surroundings = Surroundings::start(clock, 5, faults);
    let (known, discoveries) = (&surroundings.known, surroundings.discoveries);

    let (port, folder) = (ReservedPort::new(), folder("node"));
    let listen = port.address();
    let file = folder.join("config.json");
    std::fs::write(&file, config(listen, discoveries[0], known)).expect("a file");
    let mut process = start(&file);
    wait_until_ready(listen);

    let mut client_loop: EventLoop<Clients> = EventLoop::new(clock).expect("an event loop");
    client_loop.add(Clients::new(listen, &["chat", "once"], ms(8), 300, clock.now() + ms(10), 3));
    let client_handle = client_loop.handle();
    let client_thread = std::thread::spawn(move || {
        client_loop.run().map(|()| client_loop.into_machines().remove(0)).expect("a run of clients")
    });
    std::thread::sleep(ms(600));
    std::fs::write(&file, "{\"name\":").expect("a file");
    process.signal("-HUP");
    std::thread::sleep(ms(300));
    std::fs::write(&file, config(listen, discoveries[1], known)).expect("a file");
    process.signal("-HUP");
    std::thread::sleep(ms(4_000));
    assert_eq!(process.exit_code_within(ms(1)), None, "a reload ends nothing");
    client_handle.send(EventLoopCommand::End);
    let clients = client_thread.join().expect("the clients' thread");
    process.signal("-TERM");
    assert_eq!(process.exit_code_within(ms(5_000)), Some(0));
    let shared = surroundings.shared.clone();
    surroundings.end();

    assert_eq!(clients.endings.values().sum::<u32>(), 300, "{:?}", clients.endings);
    assert_eq!(clients.odd, [""; 0], "{:?}", clients.endings);
    assert!(clients.endings[&Ending::Served] > 240, "{:?}", clients.endings);
    assert_eq!(lock_shared(&shared).broken, [""; 0]);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_missing_or_invalid_configuration_is_reported_with_exit_code_2() {
    let folder = folder("start");
    let (port, unused_port) = (ReservedPort::new(), ReservedPort::new());
    let good = config(port.address(), unused_port.address(), "null");
    let cases = [
        ("no file", None, "absent.json"),
        ("no JSON", Some("{".to_owned()), "no JSON"),
        ("no seed", Some(good.replace("\"seed\":\"8c1f30d27a5be964\",", "")), "seed: missing"),
        (
            "an address",
            Some(good.replace("\"discovery\":\"127", "\"discovery\":\"x127")),
            "discovery: \"x127",
        ),
        ("a limit", Some(good.replace("\"sockets\":512", "\"sockets\":-1")), "limits.sockets: -1"),
        ("a setting", Some(good.replace("\"tick\":4.0", "\"tick\":\"soon\"")), "settings: tick"),
        ("a list", Some(good.replace("\"known\":null", "\"known\":{}")), "known.endpoints: missing"),
    ];
    for (case, text, expected) in cases {
        let file = folder.join(if text.is_some() { "config.json" } else { "absent.json" });
        if let Some(text) = &text {
            std::fs::write(&file, text).expect("a file");
        }
        let output = Command::new(env!("CARGO_BIN_EXE_slipreel"))
            .arg("node")
            .env("LB_CONFIG", &file)
            .output()
            .expect("it");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{case}: {stderr}");
        assert!(stderr.contains(expected), "{case}: {stderr}");
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_slipreel"));
    let output = command.arg("node").env_remove("LB_CONFIG").output().expect("it");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("LB_CONFIG"));
    let _ = std::fs::remove_dir_all(folder);
}

/// Announces a body of 60 MB and sends as fast as it can, whatever is answered; returns the answer and the
/// time until the connection ended.
fn send_60_mb(addr: SocketAddr, chunked: bool) -> (String, Duration) {
    let start_time = Instant::now();
    let mut stream = TcpStream::connect_timeout(&addr, ms(1_000)).expect("a connection");
    let _ = stream.set_read_timeout(Some(ms(6_000)));
    let _ = stream.set_write_timeout(Some(ms(6_000)));
    let framing = if chunked { "Transfer-Encoding: chunked" } else { "Content-Length: 60000000" };
    let head =
        format!("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: big\r\n{framing}\r\n\r\n");
    let mut sender = stream.try_clone().expect("a second handle");
    let sending = std::thread::spawn(move || {
        let piece = vec![b'a'; 1 << 16];
        let mut sent = sender.write_all(head.as_bytes());
        for _ in 0..916 {
            if chunked {
                sent = sent.and_then(|()| sender.write_all(b"10000\r\n"));
            }
            sent = sent.and_then(|()| sender.write_all(&piece));
            if chunked {
                sent = sent.and_then(|()| sender.write_all(b"\r\n"));
            }
            if sent.is_err() {
                return;
            }
        }
    });
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n) = stream.read(&mut buf) {
        if n == 0 {
            break;
        }
        answer.extend_from_slice(&buf[..n]);
    }
    let elapsed = start_time.elapsed();
    sending.join().expect("the sending thread");
    (String::from_utf8_lossy(&answer).into_owned(), elapsed)
}

#[test]
fn an_error_reaches_a_client_that_goes_on_sending_60_mb() {
    let (port, unused_port, folder) = (ReservedPort::new(), ReservedPort::new(), folder("big"));
    let listen = port.address();
    let file = folder.join("config.json");
    let known = r#"{"index":1,"snapshot":true,"endpoints":[]}"#;
    std::fs::write(&file, config(listen, unused_port.address(), known)).expect("a file");
    let mut process = start(&file);
    wait_until_ready(listen);
    let clients: Vec<_> =
        (0..6).map(|n| std::thread::spawn(move || send_60_mb(listen, n % 2 == 1))).collect();
    for client in clients {
        let (answer, elapsed) = client.join().expect("a client's thread");
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(elapsed < ms(6_000), "{elapsed:?}");
    }
    assert!(is_ready(listen), "it goes on serving");
    assert_eq!(process.exit_code_within(ms(1)), None);
    let _ = std::fs::remove_dir_all(folder);
}
