//! Swings of the load between two sides, of more prefill and of more decode than usual, and whether they keep a rhythm.

use super::WEIGHT_PER_S;
use crate::stage_load::{sample_weight, ExpectedLoad, StageLoad};
use std::time::Duration;

/// How far the ratio of prefill to decode has to be from its usual one to lean to a side, as a logarithm: a fifth.
const MIN_LEAN: f64 = 0.2;
/// Weight of a second's sample in the mean that leaning is judged by; no unit. About the last second and a half.
const SHORT_TERM_WEIGHT_PER_S: f64 = 0.5;
/// The number of swings to a side from which on there may be a rhythm.
const MIN_SWINGS: usize = 2;
/// The most swings to a side that are remembered.
const MAX_SWINGS: usize = 4;
/// How far swings of a rhythm may be from their mean duration, as a share of it.
const RHYTHM_TOLERANCE: f64 = 0.2;

/// The stage of which there is more load than usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lean {
    Prefill,
    Decode,
}

impl Lean {
    fn opposite(self) -> Lean {
        match self {
            Lean::Prefill => Lean::Decode,
            Lean::Decode => Lean::Prefill,
        }
    }
}

/// The swings to one side.
#[derive(Clone, Debug, Default)]
struct Side {
    /// The durations of the last swings to this side.
    durations: Vec<Duration>,
    /// Their mean load.
    load: StageLoad,
}

impl Side {
    fn add_duration(&mut self, duration: Duration) {
        self.durations.push(duration);
        if self.durations.len() > MAX_SWINGS {
            self.durations.remove(0);
        }
    }

    /// The duration of a swing to this side, if those that ended are alike.
    fn rhythm(&self) -> Option<Duration> {
        if self.durations.len() < MIN_SWINGS {
            return None;
        }
        let mean = self.durations.iter().sum::<Duration>() / self.durations.len() as u32;
        let tolerance = mean.mul_f64(RHYTHM_TOLERANCE);
        self.durations.iter().all(|duration| duration.abs_diff(mean) <= tolerance).then_some(mean)
    }
}

/// How the load swings between the two sides.
#[derive(Clone, Debug, Default)]
pub(super) struct Swings {
    short_term: Option<StageLoad>,
    lean: Option<Lean>,
    /// When the present swing began.
    since: Duration,
    prefill: Side,
    decode: Side,
}

impl Swings {
    /// Adds a sample that stands for `seconds`; `usual` is the load that leaning is judged against.
    pub(super) fn add_sample(&mut self, now: Duration, seconds: f64, load: StageLoad, usual: StageLoad) {
        let previous = self.short_term.unwrap_or(load);
        let short_term = previous.towards(load, sample_weight(SHORT_TERM_WEIGHT_PER_S, seconds));
        self.short_term = Some(short_term);
        let distance = short_term.log_ratio() - usual.log_ratio();
        let lean = match () {
            () if distance.abs() < MIN_LEAN => self.lean,
            () if distance < 0.0 => Some(Lean::Decode),
            () => Some(Lean::Prefill),
        };
        if lean != self.lean {
            if let Some(ended) = self.lean {
                let duration = now.saturating_sub(self.since);
                self.side_mut(ended).add_duration(duration);
            }
            self.lean = lean;
            self.since = now;
        }
        if let Some(lean) = lean {
            // A side's load is that of the latter part of its swings: in the beginning it is still on its way from the other.
            let side = self.side_mut(lean);
            let previous = if side.load == StageLoad::default() { short_term } else { side.load };
            side.load = previous.towards(short_term, sample_weight(WEIGHT_PER_S, seconds));
        }
    }

    /// See [`super::LoadHistory::rhythm`].
    pub(super) fn rhythm(&self, now: Duration) -> Option<[ExpectedLoad; 2]> {
        let lean = self.lean?;
        let present = self.side(lean);
        let next = self.side(lean.opposite());
        let present_duration = present.rhythm()?;
        let next_duration = next.rhythm()?;
        let age = now.saturating_sub(self.since);
        if age > present_duration + present_duration.mul_f64(RHYTHM_TOLERANCE) {
            return None;
        }
        let remaining = present_duration.saturating_sub(age);
        Some([
            ExpectedLoad { load: present.load, duration: remaining },
            ExpectedLoad { load: next.load, duration: next_duration },
        ])
    }

    fn side(&self, lean: Lean) -> &Side {
        match lean {
            Lean::Prefill => &self.prefill,
            Lean::Decode => &self.decode,
        }
    }

    fn side_mut(&mut self, lean: Lean) -> &mut Side {
        match lean {
            Lean::Prefill => &mut self.prefill,
            Lean::Decode => &mut self.decode,
        }
    }
}
