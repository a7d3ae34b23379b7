//! The timers of a gateway, by purpose.

use slipreel::{RequestId, TimerId};
use slipreel_connections::{ReleaseId, TimerWheel};
use slipreel_state_machine::ConnId;

/// All timers of a gateway.
pub(crate) type Timers = TimerWheel<Timer>;

/// Why a timer was set.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// Set by the decision module of this generation.
    Decision(u64, TimerId),
    /// A client connection may have timed out.
    Client(ConnId),
    /// A connection to an engine may have timed out.
    Engine(ConnId),
    /// An attempt may have exceeded the timeout that the decision module gave it.
    Attempt(RequestId, usize),
    /// A client that waits for a complete answer has reached its timeout.
    CompleteAnswer(RequestId),
    /// A release may have to be sent again.
    Release(ReleaseId),
    /// Requests that still run at this time after the start of a shutdown are ended.
    ShutdownDeadline,
}
