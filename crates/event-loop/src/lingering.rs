//! Connections that have ended and wait for their peers to close too.

use crate::slot_table::SlotUse;
use std::collections::VecDeque;
use std::time::Duration;

/// How long an ended connection waits for its peer to close too: a close over bytes that were not read would reset the
/// connection and could take the last answer with it.
const LINGER: Duration = Duration::from_millis(1_000);

struct Ended {
    slot_use: SlotUse,
    until: Duration,
}

/// The ended connections that wait, the one that has waited longest first.
#[derive(Default)]
pub(crate) struct LingeringConnections(VecDeque<Ended>);

impl LingeringConnections {
    pub(crate) fn add(&mut self, now: Duration, slot_use: SlotUse) {
        self.0.push_back(Ended { slot_use, until: now + LINGER });
    }

    /// The next time at which one has waited long enough.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        self.0.front().map(|ended| ended.until)
    }

    /// Takes the one that has waited longest, however long that is.
    pub(crate) fn pop_oldest(&mut self) -> Option<SlotUse> {
        self.0.pop_front().map(|ended| ended.slot_use)
    }

    /// Takes the first that is due: it has waited long enough, or its slot was freed in the meantime.
    pub(crate) fn pop_due(&mut self, now: Duration, is_current: impl Fn(SlotUse) -> bool) -> Option<SlotUse> {
        let first = self.0.front()?;
        let waits = is_current(first.slot_use) && first.until > now;
        if waits {
            None
        } else {
            self.pop_oldest()
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
