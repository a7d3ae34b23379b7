//! Engines and two agents of discovery for one router process.

use super::entry;
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle};
use slipreel_state_machine::Machine;
use slipreel_test_servers::platform::{Discovery, EndpointChanges, Engine, Faults, Shared};
use std::net::SocketAddr;
use std::thread::JoinHandle;

type StandIn = Box<dyn Machine + Send>;

/// Engines and discovery in a thread of their own.
pub struct Surroundings {
    pub shared: Shared,
    /// The list of engines as a router's configuration holds it.
    pub known: String,
    /// Agents that serve the same list: a reload goes from one to the other.
    pub discoveries: [SocketAddr; 2],
    handle: EventLoopHandle<StandIn>,
    thread: JoinHandle<std::io::Result<()>>,
}

impl Surroundings {
    /// Starts so many engines, the first two of which read.
    pub fn start(clock: Clock, engines: u64, faults: Faults) -> Surroundings {
        let shared = Shared::default();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut stand_ins: EventLoop<StandIn> = EventLoop::new(clock).expect("an event loop");
        let mut entries = Vec::new();
        for n in 0..engines {
            let (name, reads) = (format!("e{n}"), n < 2);
            let engine = Engine::new(&name, reads, shared.clone(), faults, n);
            let node = stand_ins.add(Box::new(engine));
            entries.push(entry(&name, reads, stand_ins.listen(node, any_port).expect("a port")));
        }
        let listing = EndpointChanges(entries);
        let known = Discovery::new(&listing).whole();
        let discoveries = [0, 1].map(|_| {
            let node = stand_ins.add(Box::new(Discovery::new(&listing)));
            stand_ins.listen(node, any_port).expect("a port")
        });
        let handle = stand_ins.handle();
        let thread = std::thread::spawn(move || stand_ins.run());
        Surroundings { shared, known, discoveries, handle, thread }
    }

    /// Ends the engines and discovery.
    pub fn end(self) {
        self.handle.send(Command::End);
        self.thread.join().expect("the engines' thread").expect("a run of engines");
    }
}
