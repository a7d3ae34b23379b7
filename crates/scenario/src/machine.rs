//! One type for all state machines of a run, so that one driver can host them.

use slipreel_gateway::settings::EngineSettings;
use slipreel_gateway::Gateway;
use slipreel_roles::RoleController;
use slipreel_state_machine::{Input, Machine, Output};
use slipreel_test_servers::client::Clients;
use slipreel_test_servers::engine::Engine;
use slipreel_test_servers::partition::PartitionedMachine;
use std::time::Duration;

/// A state machine of a run.
pub enum AnyMachine {
    /// A placeholder that has an address and ignores all input.
    Idle,
    /// A router.
    Router(Box<PartitionedMachine<Gateway>>),
    /// A router with a deliberate defect.
    DefectiveRouter(Box<DefectiveRouter>),
    /// An engine.
    Engine(Box<PartitionedMachine<Engine>>),
    /// The controller that changes engine roles.
    RoleController(Box<RoleController>),
    /// The clients.
    Clients(Box<Clients>),
}

impl Machine for AnyMachine {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            AnyMachine::Idle => {}
            AnyMachine::Router(m) => m.handle(now, input, out),
            AnyMachine::DefectiveRouter(m) => m.handle(now, input, out),
            AnyMachine::Engine(m) => m.handle(now, input, out),
            AnyMachine::Clients(m) => m.handle(now, input, out),
            AnyMachine::RoleController(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            AnyMachine::Idle => None,
            AnyMachine::Router(m) => m.wake_at(),
            AnyMachine::DefectiveRouter(m) => m.wake_at(),
            AnyMachine::Engine(m) => m.wake_at(),
            AnyMachine::Clients(m) => m.wake_at(),
            AnyMachine::RoleController(m) => m.wake_at(),
        }
    }
}

/// A deliberate defect of a router, which the invariant checker has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterDefect {
    /// The last event of each answer that it sends to a client is lost.
    LosesAnswerEnds,
    /// It ignores new engine lists.
    IgnoresEngineLists,
    /// It never tells engines to release the prefill state that they hold for its requests.
    NeverReleasesState,
}

/// A router some of whose inputs or outputs are dropped, by its defect.
pub struct DefectiveRouter {
    router: PartitionedMachine<Gateway>,
    defect: RouterDefect,
}

impl DefectiveRouter {
    pub(crate) fn new(router: PartitionedMachine<Gateway>, defect: RouterDefect) -> Self {
        DefectiveRouter { router, defect }
    }

    fn is_passed(&self, output: &Output) -> bool {
        let Output::Write(conn, bytes) = output else { return true };
        let contains = |text: &str| bytes.windows(text.len()).any(|w| w == text.as_bytes());
        match self.defect {
            RouterDefect::LosesAnswerEnds => conn.is_opened() || !contains("message_stop"),
            RouterDefect::NeverReleasesState => !(conn.is_opened() && contains("/abort_requests")),
            RouterDefect::IgnoresEngineLists => true,
        }
    }
}

impl Machine for DefectiveRouter {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if let (Input::OwnerMessage(message), RouterDefect::IgnoresEngineLists) = (&input, self.defect) {
            if message.is::<Vec<EngineSettings>>() {
                return;
            }
        }
        let mut outputs = Vec::new();
        self.router.handle(now, input, &mut outputs);
        out.extend(outputs.into_iter().filter(|output| self.is_passed(output)));
    }

    fn wake_at(&self) -> Option<Duration> {
        self.router.wake_at()
    }
}
