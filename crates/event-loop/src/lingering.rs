//! Connections that the machine has closed and that wait for their peers to close too.

use crate::slot_table::SlotUse;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a connection waits for its peer to close too. Closing it while incoming bytes are unread would
/// reset it, and the peer could lose the last answer.
const LINGER: Duration = Duration::from_millis(1_000);

struct LingeringConnection {
    slot_use: SlotUse,
    deadline: Duration,
}

/// The lingering connections, the one that has waited longest first.
#[derive(Default)]
pub(crate) struct LingeringConnections(VecDeque<LingeringConnection>);

impl LingeringConnections {
    pub(crate) fn add(&mut self, now: Duration, slot_use: SlotUse) {
        self.0.push_back(LingeringConnection { slot_use, deadline: now + LINGER });
    }

    /// The deadline of the connection that has waited longest.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        self.0.front().map(|lingering| lingering.deadline)
    }

    /// Removes the connection that has waited longest, also before its deadline.
    pub(crate) fn pop_oldest(&mut self) -> Option<SlotUse> {
        self.0.pop_front().map(|lingering| lingering.slot_use)
    }

    /// Removes the first connection if it is due: its deadline has passed, or its slot was freed in the
    /// meantime.
    pub(crate) fn pop_due(&mut self, now: Duration, is_current: impl Fn(SlotUse) -> bool) -> Option<SlotUse> {
        let first = self.0.front()?;
        let is_waiting = is_current(first.slot_use) && first.deadline > now;
        if is_waiting {
            None
        } else {
            self.pop_oldest()
        }
    }

    /// The connections, the one that has waited longest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = SlotUse> + '_ {
        self.0.iter().map(|lingering| lingering.slot_use)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
