//! The machines of a day, as one type, so that one driver hosts them all.

use slipreel_front::Front;
use slipreel_machine::{Input, Machine, Output};
use slipreel_standin::client::Clients;
use slipreel_standin::engine::Engine;
use slipreel_standin::gate::Gate;
use std::time::Duration;

/// A machine of a day.
pub enum Actor {
    /// Has an address and nothing else yet.
    Idle,
    /// A router.
    Front(Box<Gate<Front>>),
    /// An engine.
    Engine(Box<Gate<Engine>>),
    /// The clients.
    Clients(Box<Clients>),
}

impl Machine for Actor {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Actor::Idle => {}
            Actor::Front(m) => m.handle(now, input, out),
            Actor::Engine(m) => m.handle(now, input, out),
            Actor::Clients(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Actor::Idle => None,
            Actor::Front(m) => m.wake_at(),
            Actor::Engine(m) => m.wake_at(),
            Actor::Clients(m) => m.wake_at(),
        }
    }
}
