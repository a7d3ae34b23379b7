//! An enum of all machine types in a test, as the in-memory network runs machines of a single type.

use slipreel_state_machine::{Input, Machine, Output};
use slipreel_test_servers::platform::Discovery;
use std::time::Duration;

/// A router, an engine, discovery or the clients; the test chooses the types.
pub enum Actor<Router, Engine, Clients> {
    Router(Box<Router>),
    Engine(Box<Engine>),
    Discovery(Box<Discovery>),
    Clients(Box<Clients>),
}

impl<Router: Machine, Engine: Machine, Clients: Machine> Machine for Actor<Router, Engine, Clients> {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Actor::Router(machine) => machine.handle(now, input, out),
            Actor::Engine(machine) => machine.handle(now, input, out),
            Actor::Discovery(machine) => machine.handle(now, input, out),
            Actor::Clients(machine) => machine.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Actor::Router(machine) => machine.wake_at(),
            Actor::Engine(machine) => machine.wake_at(),
            Actor::Discovery(machine) => machine.wake_at(),
            Actor::Clients(machine) => machine.wake_at(),
        }
    }
}
