//! The mix of work over time: how much there is of each stage, and how long an imbalance is likely to last.

use std::time::Duration;

/// Weight of a second's sample in the mean; no unit. About the last five seconds.
const WEIGHT_PER_S: f64 = 0.2;
/// The same of the slow mean. About the last two minutes.
const SLOW_WEIGHT_PER_S: f64 = 0.01;
/// Shorter ones are not counted as runs.
const SHORTEST_RUN: Duration = Duration::from_secs(3);
/// Runs of one imbalance after which their mean is believed: two swings.
const SWINGS: usize = 4;
/// Runs of one imbalance that are remembered. Enough for a daily rhythm's mean, few enough to forget yesterday's.
const RUNS: usize = 8;

/// How far the quotient of reading and writing has to be from its usual one to lean to a side, as a logarithm: a fifth.
const LEANS: f64 = 0.2;
/// Weight of a second's sample in the mean that leaning goes by; no unit. About the last second and a half.
const QUICK_WEIGHT_PER_S: f64 = 0.5;
/// Swings of each side after which there may be a rhythm, and how many are remembered.
const BEATS: [usize; 2] = [2, 4];
/// How far swings may be from their mean, as a share of it, to be a rhythm.
const OFF_BEAT: f64 = 0.2;

/// Work that arrives, in engines kept busy by it: 2.5 means that two and a half engines do nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Reading.
    pub prefill: f64,
    /// Writing.
    pub decode: f64,
}

/// What was seen of the mix.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    mean: Option<StageLoad>,
    slow: StageLoad,
    /// Since when the slow mean is taken.
    from: Duration,
    trend: StageLoad,
    at: Duration,
    /// Which stage is short of engines: below 0 reading, above 0 writing, 0 none.
    side: i8,
    since: Duration,
    runs: Vec<Duration>,
    /// The swings of the mix itself, whatever engines there are for it.
    swings: Swings,
}

/// How the mix swings between two sides, of more reading and of more writing than usual.
#[derive(Clone, Debug, Default)]
struct Swings {
    quick: Option<StageLoad>,
    /// Reading is 0, writing 1.
    side: Option<usize>,
    since: Duration,
    /// How long the last swings to each side lasted, and their mix.
    lasted: [Vec<Duration>; 2],
    mix: [StageLoad; 2],
}

impl Swings {
    fn see(&mut self, now: Duration, step: f64, mix: StageLoad, usual: StageLoad) {
        let before = self.quick.unwrap_or(mix);
        let weight = 1.0 - (1.0 - QUICK_WEIGHT_PER_S).powf(step);
        let near = |mean: f64, new: f64, weight: f64| mean + weight * (new - mean);
        let quick = StageLoad {
            prefill: near(before.prefill, mix.prefill, weight),
            decode: near(before.decode, mix.decode, weight),
        };
        self.quick = Some(quick);
        let quotient = |m: StageLoad| (m.prefill.max(1e-6) / m.decode.max(1e-6)).ln();
        let leans = quotient(quick) - quotient(usual);
        let side = if leans.abs() < LEANS { self.side } else { Some(usize::from(leans < 0.0)) };
        if side != self.side {
            if let Some(left) = self.side {
                let lasted = &mut self.lasted[left];
                lasted.push(now.saturating_sub(self.since));
                if lasted.len() > BEATS[1] {
                    lasted.remove(0);
                }
            }
            (self.side, self.since) = (side, now);
        }
        if let Some(side) = side {
            // The mix of a side is that of its latter part: its beginning is still on its way from the other.
            let weight = 1.0 - (1.0 - WEIGHT_PER_S).powf(step);
            let held = self.mix[side];
            let held = if held == StageLoad::default() { quick } else { held };
            self.mix[side] = StageLoad {
                prefill: near(held.prefill, quick.prefill, weight),
                decode: near(held.decode, quick.decode, weight),
            };
        }
    }

    /// How long a swing to a side lasts, if those that ended are alike.
    fn beat(&self, side: usize) -> Option<Duration> {
        let lasted = &self.lasted[side];
        if lasted.len() < BEATS[0] {
            return None;
        }
        let mean = lasted.iter().sum::<Duration>() / lasted.len() as u32;
        lasted.iter().all(|l| l.abs_diff(mean) <= mean.mul_f64(OFF_BEAT)).then_some(mean)
    }
}

impl LoadHistory {
    /// Takes one sample.
    pub fn see(&mut self, now: Duration, mix: StageLoad) {
        let step = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.swings.see(now, step, mix, if self.mean.is_some() { self.slow } else { mix });
        let Some(before) = self.mean else {
            (self.mean, self.slow, self.from) = (Some(mix), mix, now);
            return;
        };
        let weight = 1.0 - (1.0 - WEIGHT_PER_S).powf(step);
        let near = |mean: f64, new: f64| mean + weight * (new - mean);
        // A plain mean until there is enough of it, so that the first sample does not colour it for minutes.
        let seen = now.saturating_sub(self.from).as_secs_f64().max(f64::EPSILON);
        let slow = (1.0 - (1.0 - SLOW_WEIGHT_PER_S).powf(step)).max(step / seen);
        self.slow.prefill += slow * (mix.prefill - self.slow.prefill);
        self.slow.decode += slow * (mix.decode - self.slow.decode);
        let mean =
            StageLoad { prefill: near(before.prefill, mix.prefill), decode: near(before.decode, mix.decode) };
        if step > 0.0 {
            // Holt's trend, of the same weight.
            self.trend.prefill = near(self.trend.prefill, (mean.prefill - before.prefill) / step);
            self.trend.decode = near(self.trend.decode, (mean.decode - before.decode) / step);
        }
        self.mean = Some(mean);
    }

    /// When it last took a sample.
    pub fn at(&self) -> Duration {
        self.at
    }

    /// The mean of late.
    pub fn mean(&self) -> StageLoad {
        self.mean.unwrap_or_default()
    }

    /// The mean over many swings, and for how long it holds: about as long as it was taken over. `None` until enough
    /// swings were seen.
    pub fn slow(&self) -> Option<(StageLoad, Duration)> {
        self.is_recurring().then(|| (self.slow, Duration::from_secs_f64(1.0 / SLOW_WEIGHT_PER_S)))
    }

    /// What is to come where the mix swings in a rhythm: the present side's mix for as long as it has left, then the
    /// other's for as long as that lasts. `None` without a rhythm, or once the present swing is well over its time.
    pub fn rhythm(&self, now: Duration) -> Option<[(StageLoad, Duration); 2]> {
        let side = self.swings.side?;
        let (here, there) = (self.swings.beat(side)?, self.swings.beat(1 - side)?);
        let age = now.saturating_sub(self.swings.since);
        let off = here.mul_f64(OFF_BEAT);
        let left = if age <= here { here - age } else { Duration::ZERO };
        (age <= here + off).then_some([(self.swings.mix[side], left), (self.swings.mix[1 - side], there)])
    }

    /// The mean as it would be after `ahead` if its trend went on.
    pub fn ahead(&self, ahead: Duration) -> StageLoad {
        let (mean, s) = (self.mean(), ahead.as_secs_f64());
        StageLoad {
            prefill: (mean.prefill + self.trend.prefill * s).max(0.0),
            decode: (mean.decode + self.trend.decode * s).max(0.0),
        }
    }

    /// Notes which stage is short: -1 reading, 1 writing, 0 none.
    pub fn record_short_stage(&mut self, now: Duration, side: i8) {
        if side == self.side {
            return;
        }
        // Flickers that nobody would act on say nothing of how long an imbalance lasts.
        let lasted = now.saturating_sub(self.since);
        if self.side != 0 && lasted >= SHORTEST_RUN {
            self.runs.push(lasted);
            if self.runs.len() > RUNS {
                self.runs.remove(0);
            }
        }
        (self.side, self.since) = (side, now);
    }

    /// How much longer the present imbalance is likely to last. Until two swings were seen, as long again as it has
    /// lasted; then what is left of the mean of those that ended, and once it has outlived them, as long again as
    /// it has outlived them.
    pub fn expected_remaining(&self, now: Duration) -> Duration {
        if self.side == 0 {
            return Duration::ZERO;
        }
        let age = now.saturating_sub(self.since);
        if !self.is_recurring() {
            return age;
        }
        let mean = self.runs.iter().sum::<Duration>() / self.runs.len() as u32;
        mean.abs_diff(age)
    }

    /// How long the present imbalance has lasted.
    pub fn age(&self, now: Duration) -> Duration {
        if self.side == 0 {
            Duration::ZERO
        } else {
            now.saturating_sub(self.since)
        }
    }

    /// Whether imbalances have come and gone, so that a change will have to be undone.
    pub fn is_recurring(&self) -> bool {
        self.runs.len() >= SWINGS
    }
}
