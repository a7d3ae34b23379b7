//! One timer for each connection: when it has to have moved on.

use crate::timer_wheel::{TimerKey, TimerWheel};
use slipreel_state_machine::ConnId;
use std::collections::HashMap;
use std::time::Duration;

/// The timers of connections of one kind.
#[derive(Debug, Default)]
pub struct ConnectionTimers(HashMap<ConnId, TimerKey>);

impl ConnectionTimers {
    /// Sets a connection's timer in place of the one that it had; none if nothing is due.
    pub fn arm<T>(&mut self, wheel: &mut TimerWheel<T>, conn: ConnId, due: Option<Duration>, item: T) {
        self.cancel(wheel, conn);
        if let Some(at) = due {
            self.0.insert(conn, wheel.set(at, item));
        }
    }

    /// Takes a connection's timer back.
    pub fn cancel<T>(&mut self, wheel: &mut TimerWheel<T>, conn: ConnId) {
        if let Some(key) = self.0.remove(&conn) {
            wheel.cancel(key);
        }
    }

    /// A connection's timer has fired.
    pub fn fired(&mut self, conn: ConnId) {
        self.0.remove(&conn);
    }
}

#[cfg(test)]
mod tests;
