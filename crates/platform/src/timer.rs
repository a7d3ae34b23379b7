//! The timers of a router and their purposes.

use slipreel::{RequestId, TimerId};
use slipreel_connections::{ReleaseId, TimerWheel};
use slipreel_state_machine::ConnId;

/// All timers of a router.
pub(crate) type Timers = TimerWheel<Timer>;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// A timer of the decision module.
    Decision(TimerId),
    /// A client connection may have timed out.
    Client(ConnId),
    /// A connection to an engine may have timed out.
    Engine(ConnId),
    /// The timeout of an attempt, if the decision module set one.
    Attempt(RequestId, usize),
    /// A release may be due again.
    Release(ReleaseId),
    /// The watch of the endpoint list may have timed out, or may be opened again.
    Watch,
    /// The next step of a shutdown is due.
    Shutdown,
    /// The driver has passed on all connections that were pending at the listener when it was closed.
    ListenerClosed,
    /// The status line is due.
    Status,
}
