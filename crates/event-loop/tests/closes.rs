//! What peers' closes look like to a machine over real sockets: known though the connection is paused, before what engines
//! say in the same moment, and without a loop that turns round and round.

use rustix::time::{clock_gettime, ClockId};
use slipreel_event_loop::{Clock, Command, EventLoop};
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, ListenerId, Machine, Output};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

type Seen = Arc<Mutex<Vec<String>>>;

fn seen(of: &Seen) -> Vec<String> {
    of.lock().expect("whole").clone()
}

fn wait_for(of: &Seen, what: &str) {
    for _ in 0..400 {
        if seen(of).iter().any(|s| s == what) {
            return;
        }
        std::thread::sleep(ms(5));
    }
    panic!("{what} did not come: {:?}", seen(of));
}

/// Notes what it is told; pauses each client's connection at its first bytes, and opens a connection to a peer of its own.
struct Notes {
    seen: Seen,
    pauses: bool,
    peer: Option<SocketAddr>,
    resumes: Option<Duration>,
    client: Option<ConnId>,
}

impl Machine for Notes {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        let note = |what: &str| self.seen.lock().expect("whole").push(what.to_owned());
        match input {
            Input::Accepted(conn, ListenerId(_)) => {
                note("accepted");
                self.client = Some(conn);
                if let Some(peer) = self.peer {
                    out.push(Output::Connect(ConnId::opened(1), peer));
                }
            }
            Input::Connected(_) => note("connected"),
            Input::Data(conn, _) if conn.is_opened() => note("answer"),
            Input::Data(conn, _) => {
                note("data");
                if self.pauses {
                    out.push(Output::Pause(conn));
                }
            }
            Input::PeerClosedWhilePaused(_) => {
                note("hung up");
                self.resumes = Some(now + ms(100));
            }
            Input::Eof(conn) => {
                note(if conn.is_opened() { "engine's end" } else { "end" });
                out.push(Output::CloseWhenSent(conn));
            }
            Input::Lost(_, ConnectionLoss::Reset) => note("reset"),
            Input::Wake if self.resumes.is_some_and(|at| at <= now) => {
                self.resumes = None;
                self.pauses = false;
                out.extend(self.client.map(Output::Resume));
            }
            _ => {}
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.resumes
    }
}

/// CPU that this thread has used.
fn used() -> Duration {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec as u64, t.tv_nsec as u32)
}

/// Guards against a client that sent much and went unseen, and against a loop that turned without end on its reset: the
/// system reports that of a paused connection, too, again and again.
#[test]
fn a_paused_connection_that_is_closed_or_reset_is_known_at_once_and_its_rest_follows() {
    for resets in [false, true] {
        let noted = Seen::default();
        let notes = Notes { seen: noted.clone(), pauses: true, peer: None, resumes: None, client: None };
        let mut turn = EventLoop::new(Clock::start()).expect("an event loop");
        let node = turn.add(notes);
        let addr = turn.listen(node, "127.0.0.1:0".parse().expect("an address")).expect("a port");
        let handle = turn.handle();
        let running = std::thread::spawn(move || {
            turn.run().expect("a run");
            used()
        });
        let mut client = TcpStream::connect(addr).expect("a connection");
        client.write_all(b"first").expect("sent");
        wait_for(&noted, "data");
        client.write_all(&[b'x'; 20_000]).expect("sent");
        if resets {
            // A close over unread bytes is a reset; linger nought makes sure of it.
            rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("set");
        }
        drop(client);
        wait_for(&noted, "hung up");
        wait_for(&noted, if resets { "reset" } else { "end" });
        std::thread::sleep(ms(300));
        handle.send(Command::End);
        let cpu = running.join().expect("the loop's thread");
        let all = seen(&noted);
        assert_eq!(all.iter().filter(|s| *s == "hung up").count(), 1, "{all:?}");
        if !resets {
            let place = |what| all.iter().position(|s| s == what);
            assert!(
                place("hung up") < place("end") && all.iter().filter(|s| *s == "data").count() >= 2,
                "{all:?}"
            );
        }
        assert!(cpu < ms(150), "{cpu:?} for nothing");
    }
}

/// Guards against an attempt written for a client whose close stood in the same wake-up as the engine's answer before it.
#[test]
fn that_a_client_has_gone_is_known_before_what_an_engine_said_in_the_same_moment() {
    for _ in 0..16 {
        let engine = TcpListener::bind("127.0.0.1:0").expect("a port");
        let noted = Seen::default();
        let peer = engine.local_addr().ok();
        let notes = Notes { seen: noted.clone(), pauses: false, peer, resumes: None, client: None };
        let mut turn = EventLoop::new(Clock::start()).expect("an event loop");
        let node = turn.add(notes);
        let addr = turn.listen(node, "127.0.0.1:0".parse().expect("an address")).expect("a port");
        let handle = turn.handle();
        let running = std::thread::spawn(move || turn.run());
        let client = TcpStream::connect(addr).expect("a connection");
        wait_for(&noted, "connected");
        let (mut answering, _) = engine.accept().expect("the machine's connection");
        handle.send(Command::Freeze(node));
        std::thread::sleep(ms(10));
        answering.write_all(b"an answer").expect("sent");
        drop(client);
        std::thread::sleep(ms(10));
        handle.send(Command::Thaw(node));
        wait_for(&noted, "answer");
        wait_for(&noted, "end");
        handle.send(Command::End);
        running.join().expect("the loop's thread").expect("a run");
        let all = seen(&noted);
        let place = |what| all.iter().position(|s| s == what);
        assert!(place("end") < place("answer"), "{all:?}");
        let _ = answering.read(&mut [0; 8]);
    }
}
