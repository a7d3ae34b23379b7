//! Whether connections that were kept can be used again: learned from what became of those that were.
//!
//! Some engines, or what stands before them, close a connection after its answer without a word, or reset it under the
//! next request. That request may then have run, as far as anybody can tell, so one that must not be repeated is lost
//! with it. A new connection costs a hand-shake. So the share of uses that broke is kept, by engine and over all, and
//! decides which of the two is the smaller loss.

use slipreel::EngineId;
use std::collections::BTreeMap;

/// Weight of one use in a share; no unit. About the last twenty uses.
const WEIGHT: f64 = 0.05;
/// Share of broken uses from which a request that must not be repeated takes a new connection; no unit. A single break
/// among the last dozens: such a request is worth many hand-shakes.
const UNSURE: f64 = 0.02;
/// Share from which all others do, too; no unit. A break costs them one of few attempts and the time to see it.
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
        if *share < UNSURE / 100.0 {
            self.by_engine.remove(&engine);
        }
    }

    /// Whether a kept connection may carry the next exchange. `once`: what must not be repeated.
    pub fn may_use(&mut self, engine: EngineId, once: bool) -> bool {
        let share = self.by_engine.get(&engine).copied().unwrap_or_default().max(self.all);
        if once {
            return share < UNSURE;
        }
        if share < BROKEN {
            return true;
        }
        self.uses = self.uses.wrapping_add(1);
        self.uses % TRIAL == 0
    }

    /// Whether kept connections to it broke lately.
    pub fn is_shaken(&self, engine: EngineId) -> bool {
        self.by_engine.get(&engine).copied().unwrap_or_default().max(self.all) >= UNSURE
    }

    /// How many idle connections to an engine are worth keeping, of so many.
    pub fn keeps(&self, engine: EngineId, most: usize) -> usize {
        let share = self.by_engine.get(&engine).copied().unwrap_or_default().max(self.all);
        if share < BROKEN {
            most
        } else {
            most.min(2)
        }
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
mod tests {
    use super::*;

    const E: EngineId = EngineId(1);

    #[test]
    fn one_break_is_enough_for_what_must_not_be_repeated_and_many_for_the_rest() {
        let mut trust = Trust::default();
        assert!(trust.may_use(E, true) && trust.may_use(E, false));
        trust.used(E, true);
        assert!(!trust.may_use(E, true) && trust.may_use(E, false));
        assert!(!trust.may_use(EngineId(2), true), "what one engine does others may do");
        (0..40).for_each(|_| trust.used(E, false));
        assert!(trust.may_use(E, true), "mended");
    }

    #[test]
    fn where_most_break_a_few_are_still_tried_and_trust_comes_back() {
        let mut trust = Trust::default();
        (0..30).for_each(|_| trust.used(E, true));
        let tried = (0..80).filter(|_| trust.may_use(E, false)).count();
        assert_eq!(tried, 10);
        (0..200).for_each(|_| trust.used(E, false));
        assert!(trust.may_use(E, false) && trust.is_empty(), "nothing is kept of it then");
    }
}
