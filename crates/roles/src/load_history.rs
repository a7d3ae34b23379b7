//! The load over time: its means, its trend, and the expected duration of an imbalance between the stages.

mod swings;

use crate::stage_load::{sample_weight, ExpectedLoad, StageLoad};
use slipreel::Role;
use std::time::Duration;
use swings::Swings;

/// The weight in the mean of a sample that covers one second; no unit. The mean covers about the last five
/// seconds.
const WEIGHT_PER_S: f64 = 0.2;
/// The weight in the long-term mean of a sample that covers one second; no unit. That mean covers about the
/// last two minutes.
const LONG_TERM_WEIGHT_PER_S: f64 = 0.01;
/// Shorter imbalances are not recorded: the planner does not act on them, and they do not show how long an
/// imbalance lasts.
const MIN_IMBALANCE_DURATION: Duration = Duration::from_secs(3);
/// The minimum number of past imbalances for their mean duration to be used: two swings.
const MIN_PAST_IMBALANCES: usize = 4;
/// The maximum number of past imbalances that are kept: enough for the mean of a daily pattern, few enough to
/// forget that of the day before.
const MAX_PAST_IMBALANCES: usize = 8;

/// What the planner remembers of the load on both stages: means, trend, imbalances and swings.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    mean: Option<StageLoad>,
    long_term: StageLoad,
    /// When the long-term mean began.
    long_term_since: Duration,
    /// The change of the mean per second.
    trend: StageLoad,
    last_sample: Duration,
    imbalance: Imbalance,
    /// The swings of the load itself, regardless of the engines.
    swings: Swings,
}

/// The present imbalance between the stages, and the durations of past ones.
#[derive(Clone, Debug, Default)]
struct Imbalance {
    /// The stage that is short of engines, if one is.
    short_stage: Option<Role>,
    since: Duration,
    past_durations: Vec<Duration>,
}

impl LoadHistory {
    /// Adds the load that was measured at `now`.
    pub fn add_sample(&mut self, now: Duration, load: StageLoad) {
        let seconds = now.saturating_sub(self.last_sample).as_secs_f64();
        self.last_sample = now;
        let usual = if self.mean.is_some() { self.long_term } else { load };
        self.swings.add_sample(now, seconds, load, usual);
        let Some(previous) = self.mean else {
            self.mean = Some(load);
            self.long_term = load;
            self.long_term_since = now;
            return;
        };
        let weight = sample_weight(WEIGHT_PER_S, seconds);
        // A plain mean at first, so that the first sample does not dominate the long-term mean for minutes.
        let total_seconds = now.saturating_sub(self.long_term_since).as_secs_f64().max(f64::EPSILON);
        let long_term_weight = sample_weight(LONG_TERM_WEIGHT_PER_S, seconds).max(seconds / total_seconds);
        self.long_term = self.long_term.interpolate(load, long_term_weight);
        let mean = previous.interpolate(load, weight);
        if seconds > 0.0 {
            // Holt's linear trend, with the same weight.
            let slope = StageLoad {
                prefill: (mean.prefill - previous.prefill) / seconds,
                decode: (mean.decode - previous.decode) / seconds,
            };
            self.trend = self.trend.interpolate(slope, weight);
        }
        self.mean = Some(mean);
    }

    /// The time of the last sample.
    pub fn last_sample(&self) -> Duration {
        self.last_sample
    }

    /// The mean of about the last five seconds.
    pub fn mean(&self) -> StageLoad {
        self.mean.unwrap_or_default()
    }

    /// The mean over many swings, expected to last for about the time that the mean covers. `None` until
    /// imbalances have recurred.
    pub fn long_term(&self) -> Option<ExpectedLoad> {
        let duration = Duration::from_secs_f64(1.0 / LONG_TERM_WEIGHT_PER_S);
        self.is_recurring().then_some(ExpectedLoad { load: self.long_term, duration })
    }

    /// The forecast for a load that swings periodically: the load of the present swing for its remaining
    /// time, then that of the next swing for its whole duration. `None` if the swings are not periodic, or if
    /// the present one has lasted much longer than usual.
    pub fn periodic_forecast(&self, now: Duration) -> Option<[ExpectedLoad; 2]> {
        self.swings.periodic_forecast(now)
    }

    /// The mean after `horizon` if its trend continues.
    pub fn forecast(&self, horizon: Duration) -> StageLoad {
        let mean = self.mean();
        let seconds = horizon.as_secs_f64();
        StageLoad {
            prefill: (mean.prefill + self.trend.prefill * seconds).max(0.0),
            decode: (mean.decode + self.trend.decode * seconds).max(0.0),
        }
    }

    /// Records which stage is short of engines; `None` if neither is.
    pub fn record_short_stage(&mut self, now: Duration, short_stage: Option<Role>) {
        let imbalance = &mut self.imbalance;
        if short_stage == imbalance.short_stage {
            return;
        }
        let duration = now.saturating_sub(imbalance.since);
        if imbalance.short_stage.is_some() && duration >= MIN_IMBALANCE_DURATION {
            imbalance.past_durations.push(duration);
            if imbalance.past_durations.len() > MAX_PAST_IMBALANCES {
                imbalance.past_durations.remove(0);
            }
        }
        imbalance.short_stage = short_stage;
        imbalance.since = now;
    }

    /// The expected remaining duration of the present imbalance. Until imbalances have recurred, it is the
    /// imbalance's age. After that, it is the rest of the mean past duration or, once the imbalance has
    /// lasted longer than that mean, the time by which it exceeds it.
    pub fn expected_remaining(&self, now: Duration) -> Duration {
        let age = self.imbalance_age(now);
        if self.imbalance.short_stage.is_none() || !self.is_recurring() {
            return age;
        }
        let past = &self.imbalance.past_durations;
        let mean = past.iter().sum::<Duration>() / past.len() as u32;
        mean.abs_diff(age)
    }

    /// How long the present imbalance has lasted; 0 if there is none.
    pub fn imbalance_age(&self, now: Duration) -> Duration {
        match self.imbalance.short_stage {
            Some(_) => now.saturating_sub(self.imbalance.since),
            None => Duration::ZERO,
        }
    }

    /// Whether imbalances recur, so that a change will have to be undone.
    pub fn is_recurring(&self) -> bool {
        self.imbalance.past_durations.len() >= MIN_PAST_IMBALANCES
    }
}
