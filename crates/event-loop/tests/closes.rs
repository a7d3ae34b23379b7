//! How a machine learns over real sockets that a peer has closed: also while the connection is paused, before
//! data from engines in the same wake-up, and without a busy loop.

use rustix::time::{clock_gettime, ClockId};
use slipreel_event_loop::{Clock, Command, EventLoop};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

type SharedRecords = Arc<Mutex<Vec<String>>>;

fn recorded(records: &SharedRecords) -> Vec<String> {
    records.lock().expect("not poisoned").clone()
}

fn wait_for(records: &SharedRecords, expected: &str) {
    for _ in 0..400 {
        if recorded(records).iter().any(|record| record == expected) {
            return;
        }
        std::thread::sleep(ms(5));
    }
    panic!("{expected} was not recorded: {:?}", recorded(records));
}

/// Records its inputs. It may pause the connections of clients at their first bytes, and connect to an engine.
struct Recorder {
    records: SharedRecords,
    pauses_clients: bool,
    engine: Option<SocketAddr>,
    resumes_at: Option<Duration>,
    client: Option<ConnId>,
}

impl Machine for Recorder {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let record = |what: &str| self.records.lock().expect("not poisoned").push(what.to_owned());
        match input {
            Input::Accepted(conn, ListenerId(_)) => {
                record("accepted");
                self.client = Some(conn);
                if let Some(engine) = self.engine {
                    out.push(Output::Connect(ConnId::opened(1), engine));
                }
            }
            Input::Connected(_) => record("connected"),
            Input::Data(conn, _) if conn.is_opened() => record("answer"),
            Input::Data(conn, _) => {
                record("data");
                if self.pauses_clients {
                    out.push(Output::Pause(conn));
                }
            }
            Input::PeerClosedWhilePaused(_) => {
                record("closed while paused");
                self.resumes_at = Some(now + ms(100));
            }
            Input::Eof(conn) => {
                record(if conn.is_opened() { "engine EOF" } else { "EOF" });
                out.push(Output::CloseWhenSent(conn));
            }
            Input::Lost(_, ConnectionLoss::Reset) => record("reset"),
            Input::Wake if self.resumes_at.is_some_and(|at| at <= now) => {
                self.resumes_at = None;
                self.pauses_clients = false;
                out.extend(self.client.map(Output::Resume));
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.resumes_at
    }
}

/// The CPU time that this thread has used.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Guards against a missed disconnect of a client that has sent more than is read, and against a busy loop on
/// its reset, which epoll reports again and again for a paused connection too.
#[test]
fn a_close_or_reset_of_a_paused_connection_is_reported_at_once_and_its_data_later() {
    for resets in [false, true] {
        let records = SharedRecords::default();
        let recorder = Recorder {
            records: records.clone(),
            pauses_clients: true,
            engine: None,
            resumes_at: None,
            client: None,
        };
        let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
        let machine = event_loop.add(recorder);
        let addr = event_loop.listen(machine, "127.0.0.1:0".parse().expect("an address")).expect("a port");
        let handle = event_loop.handle();
        let running = std::thread::spawn(move || {
            event_loop.run().expect("a run");
            thread_cpu_time()
        });
        let mut client = TcpStream::connect(addr).expect("a connection");
        client.write_all(b"first").expect("sent");
        wait_for(&records, "data");
        client.write_all(&[b'x'; 20_000]).expect("sent");
        if resets {
            // Closing with unread bytes resets the connection; a linger of zero makes sure of it.
            rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("set");
        }
        drop(client);
        wait_for(&records, "closed while paused");
        wait_for(&records, if resets { "reset" } else { "EOF" });
        std::thread::sleep(ms(300));
        handle.send(Command::End);
        let cpu = running.join().expect("the loop's thread");
        let all = recorded(&records);
        assert_eq!(all.iter().filter(|record| *record == "closed while paused").count(), 1, "{all:?}");
        if !resets {
            let position = |what| all.iter().position(|record| record == what);
            assert!(
                position("closed while paused") < position("EOF")
                    && all.iter().filter(|record| *record == "data").count() >= 2,
                "{all:?}"
            );
        }
        assert!(cpu < ms(150), "{cpu:?} of CPU time while nothing happens");
    }
}

/// Guards against an attempt for a client that has gone: its close and the engine's answer that leads to the
/// attempt are reported in the same wake-up.
#[test]
fn a_client_close_is_delivered_before_an_engine_answer_of_the_same_wake_up() {
    for _ in 0..16 {
        let engine_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let records = SharedRecords::default();
        let engine = engine_listener.local_addr().ok();
        let recorder = Recorder {
            records: records.clone(),
            pauses_clients: false,
            engine,
            resumes_at: None,
            client: None,
        };
        let mut event_loop = EventLoop::new(Clock::start()).expect("an event loop");
        let machine = event_loop.add(recorder);
        let addr = event_loop.listen(machine, "127.0.0.1:0".parse().expect("an address")).expect("a port");
        let handle = event_loop.handle();
        let running = std::thread::spawn(move || event_loop.run());
        let client = TcpStream::connect(addr).expect("a connection");
        wait_for(&records, "connected");
        let (mut answering, _) = engine_listener.accept().expect("the machine's connection");
        handle.send(Command::Freeze(machine));
        std::thread::sleep(ms(10));
        answering.write_all(b"an answer").expect("sent");
        drop(client);
        std::thread::sleep(ms(10));
        handle.send(Command::Thaw(machine));
        wait_for(&records, "answer");
        wait_for(&records, "EOF");
        handle.send(Command::End);
        running.join().expect("the loop's thread").expect("a run");
        let all = recorded(&records);
        let position = |what| all.iter().position(|record| record == what);
        assert!(position("EOF") < position("answer"), "{all:?}");
        let _ = answering.read(&mut [0; 8]);
    }
}
