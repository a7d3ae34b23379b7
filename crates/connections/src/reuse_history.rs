//! Decides whether idle connections are reused, by the outcome of earlier reuses.
//!
//! Some engines, or proxies in front of them, close a connection after a response without announcing it, or
//! reset it during the next exchange, which is lost then. A new connection costs a handshake. So the share of
//! reuses that broke is tracked, per engine and overall, and decides which of the two costs less.

use slipreel::EngineId;
use std::collections::BTreeMap;

/// The weight of one reuse in a share, without unit. About the last twenty reuses count.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The share of broken reuses below which no entry is kept for an engine, without unit. Far less than one
/// break adds.
const FORGET_BELOW: f64 = 0.000_2;
/// The share of broken reuses from which new connections are opened, without unit. A break costs the time
/// until it is detected.
const MAX_BROKEN_SHARE: f64 = 0.15;
/// From [`MAX_BROKEN_SHARE`] on, one of this many exchanges still reuses a connection, so that the recovery
/// of an engine is detected.
const TRIAL_INTERVAL: u32 = 8;

/// The share of reuses that broke, per engine and overall.
#[derive(Debug, Default)]
pub struct ReuseHistory {
    by_engine: BTreeMap<EngineId, f64>,
    overall: f64,
    /// How often a reuse was requested while too many broke.
    requests_while_broken: u32,
}

impl ReuseHistory {
    /// Records the reuse of an idle connection, and whether it broke before the response.
    pub fn record(&mut self, engine: EngineId, broke: bool) {
        let sample = f64::from(u8::from(broke));
        self.overall += SAMPLE_WEIGHT * (sample - self.overall);
        let share = self.by_engine.entry(engine).or_default();
        *share += SAMPLE_WEIGHT * (sample - *share);
        // No reuse has broken for a long time: the entry is not needed any more.
        if *share < FORGET_BELOW {
            self.by_engine.remove(&engine);
        }
    }

    /// Whether an idle connection may be used for the next exchange.
    pub fn allows_reuse(&mut self, engine: EngineId) -> bool {
        let share = self.by_engine.get(&engine).copied().unwrap_or_default().max(self.overall);
        if share < MAX_BROKEN_SHARE {
            return true;
        }
        self.requests_while_broken = self.requests_while_broken.wrapping_add(1);
        self.requests_while_broken % TRIAL_INTERVAL == 0
    }

    /// Removes the entry of an engine.
    pub fn forget(&mut self, engine: EngineId) {
        self.by_engine.remove(&engine);
    }

    /// The number of engines with an entry.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }

    /// Whether no engine has an entry.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }
}

#[cfg(test)]
mod tests;
