//! Simulated engines and two discovery agents for one router process.

use super::entry;
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle};
use slipreel_state_machine::Machine;
use slipreel_test_servers::platform::{Discovery, EndpointChanges, Engine, Faults, Shared};
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// A simulated engine or discovery agent.
type Simulated = Box<dyn Machine + Send>;

/// Simulated engines and discovery, on a thread of their own.
pub struct Surroundings {
    pub shared: Shared,
    /// The list of engines as a router's configuration holds it.
    pub known: String,
    /// Agents that serve the same list; a reload changes from one to the other.
    pub discoveries: [SocketAddr; 2],
    handle: EventLoopHandle<Simulated>,
    thread: JoinHandle<std::io::Result<()>>,
}

impl Surroundings {
    /// Starts this many engines; the first two are prefill engines.
    pub fn start(clock: Clock, engines: u64, faults: Faults) -> Surroundings {
        let shared = Shared::default();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut simulation: EventLoop<Simulated> = EventLoop::new(clock).expect("an event loop");
        let mut entries = Vec::new();
        for n in 0..engines {
            let (name, is_prefill) = (format!("e{n}"), n < 2);
            let engine = Engine::new(&name, is_prefill, shared.clone(), faults, n);
            let node = simulation.add(Box::new(engine));
            entries.push(entry(&name, is_prefill, simulation.listen(node, any_port).expect("a port")));
        }
        let listing = EndpointChanges(entries);
        let known = Discovery::new(&listing).whole();
        let discoveries = [0, 1].map(|_| {
            let node = simulation.add(Box::new(Discovery::new(&listing)));
            simulation.listen(node, any_port).expect("a port")
        });
        let handle = simulation.handle();
        let thread = std::thread::spawn(move || simulation.run());
        Surroundings { shared, known, discoveries, handle, thread }
    }

    /// Ends the engines and discovery.
    pub fn end(self) {
        self.handle.send(Command::End);
        self.thread.join().expect("the engines' thread").expect("a run of engines");
    }
}
