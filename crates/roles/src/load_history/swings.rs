//! Detects swings of the load between more prefill and more decode than usual, and whether they are periodic.

use super::WEIGHT_PER_S;
use crate::stage_load::{sample_weight, ExpectedLoad, StageLoad};
use std::time::Duration;

/// The minimum distance of the ratio of prefill to decode from its usual value to count as skewed, as a
/// natural logarithm: about a fifth.
const MIN_SKEW: f64 = 0.2;
/// The weight of a sample that covers one second in the short-term mean, by which the load is judged to be
/// skewed or not; no unit. That mean covers about the last second and a half.
const SHORT_TERM_WEIGHT_PER_S: f64 = 0.5;
/// The minimum number of swings to each side for them to count as periodic.
const MIN_SWINGS: usize = 2;
/// The maximum number of swings to each side that are kept.
const MAX_SWINGS: usize = 4;
/// How far the durations of periodic swings may be from their mean, as a share of it.
const DURATION_TOLERANCE: f64 = 0.2;

/// The stage that has more load than usual, relative to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Skew {
    Prefill,
    Decode,
}

impl Skew {
    fn opposite(self) -> Skew {
        match self {
            Skew::Prefill => Skew::Decode,
            Skew::Decode => Skew::Prefill,
        }
    }
}

/// The recorded swings to one side.
#[derive(Clone, Debug, Default)]
struct SideHistory {
    /// The durations of the last complete swings to this side.
    durations: Vec<Duration>,
    /// The mean load of these swings.
    load: StageLoad,
}

impl SideHistory {
    fn add_duration(&mut self, duration: Duration) {
        self.durations.push(duration);
        if self.durations.len() > MAX_SWINGS {
            self.durations.remove(0);
        }
    }

    /// The mean duration of the swings to this side, if their durations are alike.
    fn regular_duration(&self) -> Option<Duration> {
        if self.durations.len() < MIN_SWINGS {
            return None;
        }
        let mean = self.durations.iter().sum::<Duration>() / self.durations.len() as u32;
        let tolerance = mean.mul_f64(DURATION_TOLERANCE);
        self.durations.iter().all(|duration| duration.abs_diff(mean) <= tolerance).then_some(mean)
    }
}

/// How the load swings between the two sides.
#[derive(Clone, Debug, Default)]
pub(super) struct Swings {
    /// The mean load of about the last second and a half.
    short_term: Option<StageLoad>,
    /// The stage to which the load swings at present; `None` until it was first skewed.
    skew: Option<Skew>,
    /// When the present swing began.
    since: Duration,
    prefill: SideHistory,
    decode: SideHistory,
}

impl Swings {
    /// Adds a sample that covers `seconds`; the skew is relative to the load `usual`.
    pub(super) fn add_sample(&mut self, now: Duration, seconds: f64, load: StageLoad, usual: StageLoad) {
        let previous = self.short_term.unwrap_or(load);
        let short_term = previous.interpolate(load, sample_weight(SHORT_TERM_WEIGHT_PER_S, seconds));
        self.short_term = Some(short_term);
        let distance = short_term.log_ratio() - usual.log_ratio();
        let skew = match () {
            () if distance.abs() < MIN_SKEW => self.skew,
            () if distance < 0.0 => Some(Skew::Decode),
            () => Some(Skew::Prefill),
        };
        if skew != self.skew {
            if let Some(ended) = self.skew {
                let duration = now.saturating_sub(self.since);
                self.side_mut(ended).add_duration(duration);
            }
            self.skew = skew;
            self.since = now;
        }
        if let Some(skew) = skew {
            // A side's load is that of the latter part of its swings: at first the load is still moving from
            // the other side.
            let side = self.side_mut(skew);
            let previous = if side.load == StageLoad::default() { short_term } else { side.load };
            side.load = previous.interpolate(short_term, sample_weight(WEIGHT_PER_S, seconds));
        }
    }

    /// See [`super::LoadHistory::periodic_forecast`].
    pub(super) fn periodic_forecast(&self, now: Duration) -> Option<[ExpectedLoad; 2]> {
        let skew = self.skew?;
        let present = self.side(skew);
        let next = self.side(skew.opposite());
        let present_duration = present.regular_duration()?;
        let next_duration = next.regular_duration()?;
        let age = now.saturating_sub(self.since);
        if age > present_duration + present_duration.mul_f64(DURATION_TOLERANCE) {
            return None;
        }
        let remaining = present_duration.saturating_sub(age);
        Some([
            ExpectedLoad { load: present.load, duration: remaining },
            ExpectedLoad { load: next.load, duration: next_duration },
        ])
    }

    fn side(&self, skew: Skew) -> &SideHistory {
        match skew {
            Skew::Prefill => &self.prefill,
            Skew::Decode => &self.decode,
        }
    }

    fn side_mut(&mut self, skew: Skew) -> &mut SideHistory {
        match skew {
            Skew::Prefill => &mut self.prefill,
            Skew::Decode => &mut self.decode,
        }
    }
}
