//! A process of `slipreel node` whose engines keep sending without completing anything.

mod platform;

use platform::ports::ReservedPort;
use platform::process::start;
use platform::surroundings::Surroundings;
use platform::{config, folder, ms, wait_until_ready};
use slipreel_event_loop::{Clock, Command as EventLoopCommand, EventLoop};
use slipreel_test_servers::platform::{Clients, Ending, Faults};

/// Guards against a stall timeout that any byte of an engine restarts: clients of streams that go on with
/// noise waited until they gave up themselves.
#[test]
fn endless_streams_keep_no_client_of_a_process_waiting() {
    let clock = Clock::start();
    let surroundings = Surroundings::start(clock, 5, Faults { endless: 0.1, ..Faults::default() });
    let (port, folder) = (ReservedPort::new(), folder("stalled"));
    let listen = port.address();
    let file = folder.join("config.json");
    let text = config(listen, surroundings.discoveries[0], &surroundings.known);
    std::fs::write(&file, text).expect("a file");
    let mut process = start(&file);
    wait_until_ready(listen);

    let mut client_loop: EventLoop<Clients> = EventLoop::new(clock).expect("an event loop");
    client_loop.add(Clients::new(listen, &["chat", "once"], ms(20), 100, clock.now() + ms(10), 3));
    let client_handle = client_loop.handle();
    let client_thread = std::thread::spawn(move || {
        client_loop.run().map(|()| client_loop.into_machines().remove(0)).expect("a run of clients")
    });
    // Two seconds of requests, and the longest wait after the last event.
    std::thread::sleep(ms(8_500));
    client_handle.send(EventLoopCommand::End);
    let clients = client_thread.join().expect("the clients' thread");
    process.signal("-TERM");
    assert_eq!(process.exit_code_within(ms(5_000)), Some(0));
    surroundings.end();

    assert_eq!(clients.odd, [""; 0], "{:?}", clients.endings);
    assert_eq!(clients.endings.values().sum::<u32>(), 100, "{:?}", clients.endings);
    assert!(clients.endings[&Ending::Failed] > 2, "too few endless streams: {:?}", clients.endings);
    assert!(clients.endings[&Ending::Served] > 60, "{:?}", clients.endings);
    let _ = std::fs::remove_dir_all(folder);
}
