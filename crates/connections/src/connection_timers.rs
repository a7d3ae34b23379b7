//! At most one timer per connection, for the timeout of its current state.

use crate::timer_wheel::{TimerKey, TimerWheel};
use slipreel_state_machine::ConnId;
use std::collections::HashMap;
use std::time::Duration;

/// The timers of connections of one kind.
#[derive(Debug, Default)]
pub struct ConnectionTimers(HashMap<ConnId, TimerKey>);

impl ConnectionTimers {
    /// Replaces a connection's timer by one that fires at `due`, or by none.
    pub fn arm<T>(&mut self, wheel: &mut TimerWheel<T>, conn: ConnId, due: Option<Duration>, item: T) {
        self.cancel(wheel, conn);
        if let Some(at) = due {
            self.0.insert(conn, wheel.set(at, item));
        }
    }

    /// Cancels a connection's timer, if it has one.
    pub fn cancel<T>(&mut self, wheel: &mut TimerWheel<T>, conn: ConnId) {
        if let Some(key) = self.0.remove(&conn) {
            wheel.cancel(key);
        }
    }

    /// Forgets a connection's timer, which has fired.
    pub fn fired(&mut self, conn: ConnId) {
        self.0.remove(&conn);
    }
}

#[cfg(test)]
mod tests;
