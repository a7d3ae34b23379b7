//! Whether connections that were kept can be used again: learned from what became of those that were.
//!
//! Some engines, or what stands before them, close a connection after its answer without a word, or reset it under the
//! next exchange, which is lost with it. A new connection costs a handshake. So the share of uses that broke is kept, by
//! engine and over all, and decides which of the two is the smaller loss.

use slipreel::EngineId;
use std::collections::BTreeMap;

/// Weight of one use in a share; no unit. About the last twenty uses.
const WEIGHT: f64 = 0.05;
/// Share of broken uses under which nothing is kept for an engine; no unit. Far under what one break adds.
const FORGOTTEN: f64 = 0.000_2;
/// Share from which new connections are opened; no unit. A break costs the time to see it.
const BROKEN: f64 = 0.15;
/// Under that, of so many uses one is still made, so that an engine that has mended is found.
const TRIAL: u32 = 8;

/// What kept connections were good for.
#[derive(Debug, Default)]
pub struct Trust {
    by_engine: BTreeMap<EngineId, f64>,
    all: f64,
    uses: u32,
}

impl Trust {
    /// A kept connection was used again, and broke before it answered or did not.
    pub fn used(&mut self, engine: EngineId, broke: bool) {
        let sample = f64::from(u8::from(broke));
        self.all += WEIGHT * (sample - self.all);
        let share = self.by_engine.entry(engine).or_default();
        *share += WEIGHT * (sample - *share);
        // Long good again: nothing is kept for it.
        if *share < FORGOTTEN {
            self.by_engine.remove(&engine);
        }
    }

    /// Whether a kept connection may carry the next exchange.
    pub fn may_use(&mut self, engine: EngineId) -> bool {
        let share = self.by_engine.get(&engine).copied().unwrap_or_default().max(self.all);
        if share < BROKEN {
            return true;
        }
        self.uses = self.uses.wrapping_add(1);
        self.uses % TRIAL == 0
    }

    /// An engine has left.
    pub fn forget(&mut self, engine: EngineId) {
        self.by_engine.remove(&engine);
    }

    /// Engines that it keeps a share of.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }

    /// Whether it keeps none.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }
}

#[cfg(test)]
mod tests;
