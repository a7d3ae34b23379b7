//! The machines of a day, as one type, so that one driver hosts them all.

use slipreel_gateway::settings::EngineSettings;
use slipreel_gateway::Gateway;
use slipreel_roles::RoleController;
use slipreel_state_machine::{Input, Machine, Output};
use slipreel_test_servers::client::Clients;
use slipreel_test_servers::engine::Engine;
use slipreel_test_servers::partition::PartitionedMachine;
use std::time::Duration;

/// A machine of a day.
pub enum Actor {
    /// Has an address and nothing else yet.
    Idle,
    /// A router.
    Front(Box<PartitionedMachine<Gateway>>),
    /// A router that is broken on purpose.
    Sabotaged(Box<Sabotaged>),
    /// An engine.
    Engine(Box<PartitionedMachine<Engine>>),
    /// Who changes roles.
    Conductor(Box<RoleController>),
    /// The clients.
    Clients(Box<Clients>),
}

impl Machine for Actor {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Actor::Idle => {}
            Actor::Front(m) => m.handle(now, input, out),
            Actor::Sabotaged(m) => m.handle(now, input, out),
            Actor::Engine(m) => m.handle(now, input, out),
            Actor::Clients(m) => m.handle(now, input, out),
            Actor::Conductor(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Actor::Idle => None,
            Actor::Front(m) => m.wake_at(),
            Actor::Sabotaged(m) => m.wake_at(),
            Actor::Engine(m) => m.wake_at(),
            Actor::Clients(m) => m.wake_at(),
            Actor::Conductor(m) => m.wake_at(),
        }
    }
}

/// How a router is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// The ends of its answers are lost.
    LosesEnds,
    /// It hears nothing of the list of engines.
    IgnoresLists,
    /// It lets go of no held state.
    NeverLetsGo,
}

/// A router whose words are tampered with on their way.
pub struct Sabotaged {
    router: PartitionedMachine<Gateway>,
    how: Sabotage,
}

impl Sabotaged {
    pub(crate) fn new(router: PartitionedMachine<Gateway>, how: Sabotage) -> Self {
        Sabotaged { router, how }
    }

    fn passes(&self, output: &Output) -> bool {
        let Output::Write(conn, bytes) = output else { return true };
        let holds = |text: &str| bytes.windows(text.len()).any(|w| w == text.as_bytes());
        match self.how {
            Sabotage::LosesEnds => conn.is_opened() || !holds("message_stop"),
            Sabotage::NeverLetsGo => !(conn.is_opened() && holds("/abort_requests")),
            Sabotage::IgnoresLists => true,
        }
    }
}

impl Machine for Sabotaged {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if let (Input::OwnerMessage(news), Sabotage::IgnoresLists) = (&input, self.how) {
            if news.is::<Vec<EngineSettings>>() {
                return;
            }
        }
        let mut asked = Vec::new();
        self.router.handle(now, input, &mut asked);
        out.extend(asked.into_iter().filter(|o| self.passes(o)));
    }

    fn wake_at(&self) -> Option<Duration> {
        self.router.wake_at()
    }
}
