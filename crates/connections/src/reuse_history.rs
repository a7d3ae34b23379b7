//! Whether idle connections can be reused: learned from what became of those that were.
//!
//! Some engines, or what stands before them, close a connection after its answer without a word, or reset it under the
//! next exchange, which is lost with it. A new connection costs a handshake. So the share of reuses that broke is kept, by
//! engine and over all, and decides which of the two is the smaller loss.

use slipreel::EngineId;
use std::collections::BTreeMap;

/// Weight of one reuse in a share; no unit. About the last twenty count.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Share of broken reuses under which no entry is kept for an engine; no unit. Far under what one break adds.
const FORGET_BELOW: f64 = 0.000_2;
/// Share from which new connections are opened; no unit. A break costs the time to see it.
const MAX_BROKEN_SHARE: f64 = 0.15;
/// From there on, of so many reuses one is still tried, so that an engine that has recovered is found.
const TRIAL_INTERVAL: u32 = 8;

/// The share of reuses that broke, by engine and over all.
#[derive(Debug, Default)]
pub struct ReuseHistory {
    by_engine: BTreeMap<EngineId, f64>,
    overall: f64,
    /// How often a reuse was asked for while too many broke.
    asked_while_broken: u32,
}

impl ReuseHistory {
    /// An idle connection was reused, and broke before it answered or did not.
    pub fn record(&mut self, engine: EngineId, broke: bool) {
        let sample = f64::from(u8::from(broke));
        self.overall += SAMPLE_WEIGHT * (sample - self.overall);
        let share = self.by_engine.entry(engine).or_default();
        *share += SAMPLE_WEIGHT * (sample - *share);
        // It has been good again for long: no entry is needed.
        if *share < FORGET_BELOW {
            self.by_engine.remove(&engine);
        }
    }

    /// Whether an idle connection may carry the next exchange.
    pub fn allows_reuse(&mut self, engine: EngineId) -> bool {
        let share = self.by_engine.get(&engine).copied().unwrap_or_default().max(self.overall);
        if share < MAX_BROKEN_SHARE {
            return true;
        }
        self.asked_while_broken = self.asked_while_broken.wrapping_add(1);
        self.asked_while_broken % TRIAL_INTERVAL == 0
    }

    /// Forgets what is known of an engine.
    pub fn forget(&mut self, engine: EngineId) {
        self.by_engine.remove(&engine);
    }

    /// How many engines it has entries of.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }
}

#[cfg(test)]
mod tests;
