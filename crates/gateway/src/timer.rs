//! What the timers of a gateway are for.

use slipreel::{RequestId, TimerId};
use slipreel_connections::{ReleaseId, TimerWheel};
use slipreel_state_machine::ConnId;

/// All timers of a gateway.
pub(crate) type Timers = TimerWheel<Timer>;

/// Why a timer was set.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Timer {
    /// The decision module of this generation asked for it.
    Decision(u64, TimerId),
    /// A client connection may have timed out.
    Client(ConnId),
    /// A connection to an engine may have timed out.
    Engine(ConnId),
    /// An attempt's timeout, where the decision module gives one.
    Attempt(RequestId, usize),
    /// A client that waits for a complete answer gives up.
    CompleteAnswer(RequestId),
    /// A release may be due again.
    Release(ReleaseId),
    /// What still runs some time after the start of a shutdown ends.
    ShutdownDeadline,
}
