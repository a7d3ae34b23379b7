//! When what is known of an engine runs out.

use crate::interface::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Engines by the time when what is known of them runs out; each has one time at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct DueTimes {
    by_time: BTreeSet<(Duration, EngineId)>,
    by_engine: BTreeMap<EngineId, Duration>,
}

impl DueTimes {
    /// Sets the time of an engine in place of the one before, or clears it.
    pub(crate) fn set(&mut self, id: EngineId, due: Option<Duration>) {
        if self.by_engine.get(&id).copied() == due {
            return;
        }
        let before = match due {
            Some(at) => {
                self.by_time.insert((at, id));
                self.by_engine.insert(id, at)
            }
            None => self.by_engine.remove(&id),
        };
        if let Some(before) = before {
            self.by_time.remove(&(before, id));
        }
    }

    /// Removes and returns the engine that was due first, if any is due by now.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<EngineId> {
        let &(at, id) = self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.by_time.remove(&(at, id));
        self.by_engine.remove(&id);
        Some(id)
    }
}

#[cfg(test)]
mod tests;
