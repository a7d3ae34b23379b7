//! The load over time: its means and trend, and how long an imbalance between the stages is likely to last.

mod swings;

use crate::stage_load::{sample_weight, ExpectedLoad, StageLoad};
use slipreel::Role;
use std::time::Duration;
use swings::Swings;

/// Weight of a second's sample in the mean; no unit. About the last five seconds.
const WEIGHT_PER_S: f64 = 0.2;
/// Weight of a second's sample in the long-term mean; no unit. About the last two minutes.
const LONG_TERM_WEIGHT_PER_S: f64 = 0.01;
/// Shorter imbalances are not remembered: nobody would act on them, and they say nothing of how long an imbalance lasts.
const MIN_IMBALANCE_DURATION: Duration = Duration::from_secs(3);
/// The number of past imbalances from which on their mean duration is relied on: two swings.
const MIN_PAST_IMBALANCES: usize = 4;
/// The most past imbalances that are remembered. Enough for the mean of a daily rhythm, few enough to forget yesterday's.
const MAX_PAST_IMBALANCES: usize = 8;

/// What was seen of the load.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    mean: Option<StageLoad>,
    long_term: StageLoad,
    /// When the long-term mean began.
    long_term_since: Duration,
    /// Change of the mean per second.
    trend: StageLoad,
    last_sample: Duration,
    imbalance: Imbalance,
    /// The swings of the load itself, whatever engines there are for it.
    swings: Swings,
}

/// The present imbalance between the stages, and those before.
#[derive(Clone, Debug, Default)]
struct Imbalance {
    /// The stage that is short of engines, if one is.
    short_stage: Option<Role>,
    since: Duration,
    past_durations: Vec<Duration>,
}

impl LoadHistory {
    /// Adds a sample.
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
        // A plain mean until there is enough of it, so that the first sample does not dominate it for minutes.
        let total_seconds = now.saturating_sub(self.long_term_since).as_secs_f64().max(f64::EPSILON);
        let long_term_weight = sample_weight(LONG_TERM_WEIGHT_PER_S, seconds).max(seconds / total_seconds);
        self.long_term = self.long_term.towards(load, long_term_weight);
        let mean = previous.towards(load, weight);
        if seconds > 0.0 {
            // Holt's linear trend, with the same weight.
            let slope = StageLoad {
                prefill: (mean.prefill - previous.prefill) / seconds,
                decode: (mean.decode - previous.decode) / seconds,
            };
            self.trend = self.trend.towards(slope, weight);
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

    /// The mean over many swings; it is expected to hold for about as long as it was taken over. `None` until imbalances have
    /// recurred.
    pub fn long_term(&self) -> Option<ExpectedLoad> {
        let duration = Duration::from_secs_f64(1.0 / LONG_TERM_WEIGHT_PER_S);
        self.is_recurring().then_some(ExpectedLoad { load: self.long_term, duration })
    }

    /// What is to come where the load swings in a rhythm: the load of the present swing for the time that it has left, then the
    /// next one's for as long as that lasts. `None` without a rhythm, or once the present swing is well over its time.
    pub fn rhythm(&self, now: Duration) -> Option<[ExpectedLoad; 2]> {
        self.swings.rhythm(now)
    }

    /// The mean as it would be after `horizon` if its trend went on.
    pub fn forecast(&self, horizon: Duration) -> StageLoad {
        let mean = self.mean();
        let seconds = horizon.as_secs_f64();
        StageLoad {
            prefill: (mean.prefill + self.trend.prefill * seconds).max(0.0),
            decode: (mean.decode + self.trend.decode * seconds).max(0.0),
        }
    }

    /// Records which stage is short of engines; `None`: neither is.
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

    /// How much longer the present imbalance is likely to last. Until imbalances have recurred, as long again as it has lasted;
    /// then what is left of the mean of past ones, and once it has outlasted that, as long again as it has outlasted it.
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

    /// Whether imbalances have come and gone, so that a change will have to be undone.
    pub fn is_recurring(&self) -> bool {
        self.imbalance.past_durations.len() >= MIN_PAST_IMBALANCES
    }
}
