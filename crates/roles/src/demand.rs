//! The load that clients ask for, from what routers publish: requests by class, rejected ones too, and the tokens of a request.
//!
//! Engines report only the requests that they have. Requests that routers reject never reach them, and routers reject most when
//! engines are short: demand has to be read where it arrives.

use crate::stage_load::StageLoad;
use std::collections::BTreeMap;
use std::time::Duration;

/// The tokens that a fully busy engine processes in a second, by its role. Operators know them.
#[derive(Clone, Copy, Debug)]
pub struct EngineThroughput {
    /// Prompt tokens, in prefill.
    pub prefill: f64,
    /// Answer tokens, in decode.
    pub decode: f64,
}

/// The time after which the tokens of a request weigh half in the mean: a few times what a change takes, as the lengths of a class's
/// requests shift too.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Counters of one class at one router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ClassCounters {
    asked: f64,
    reads: f64,
    read_tokens: f64,
    answers: f64,
    answer_tokens: f64,
}

impl ClassCounters {
    fn slot(&mut self, name: &str) -> Option<&mut f64> {
        match name {
            "asked" => Some(&mut self.asked),
            "reads" => Some(&mut self.reads),
            "read_tokens" => Some(&mut self.read_tokens),
            "answers" => Some(&mut self.answers),
            "answer_tokens" => Some(&mut self.answer_tokens),
            _ => None,
        }
    }

    /// The difference to `before`; all of it where the counters have started again from 0.
    fn since(self, before: ClassCounters) -> ClassCounters {
        if self.asked < before.asked {
            return self;
        }
        let less = |a: f64, b: f64| (a - b).max(0.0);
        ClassCounters {
            asked: less(self.asked, before.asked),
            reads: less(self.reads, before.reads),
            read_tokens: less(self.read_tokens, before.read_tokens),
            answers: less(self.answers, before.answers),
            answer_tokens: less(self.answer_tokens, before.answer_tokens),
        }
    }
}

/// Parses the counters by class from a router's metrics.
fn parse(text: &str) -> BTreeMap<String, ClassCounters> {
    let mut classes: BTreeMap<String, ClassCounters> = BTreeMap::new();
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("slipreel_class_") else { continue };
        let Some((name, rest)) = rest.split_once("_total{class=\"") else { continue };
        let Some((class, value)) = rest.split_once("\"}") else { continue };
        let Some(value) = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0) else {
            continue;
        };
        if let Some(slot) = classes.entry(class.to_owned()).or_default().slot(name) {
            *slot = value;
        }
    }
    classes
}

/// Sums the counters that routers publish into the load that is asked for.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The last counters of each router and class.
    last: BTreeMap<(usize, String), ClassCounters>,
    /// Requests of each class in the present round.
    round: BTreeMap<String, f64>,
    /// Recent counters of each class, decaying by [`HALF_LIFE`].
    recent: BTreeMap<String, ClassCounters>,
    /// Routers whose metrics were added in the present round.
    routers_heard: usize,
    /// When the present round began.
    round_began: Option<Duration>,
}

impl Demand {
    /// Adds the metrics of a router.
    pub fn add_metrics(&mut self, router: usize, text: &str) {
        for (class, now) in parse(text) {
            let before = self.last.insert((router, class.clone()), now);
            // What a router had counted before its first metrics says nothing of this round.
            let new = now.since(before.unwrap_or(now));
            *self.round.entry(class.clone()).or_default() += new.asked;
            let recent = self.recent.entry(class).or_default();
            let sum = if before.is_some() { new } else { now };
            recent.reads += sum.reads;
            recent.read_tokens += sum.read_tokens;
            recent.answers += sum.answers;
            recent.answer_tokens += sum.answer_tokens;
        }
        self.routers_heard += 1;
    }

    /// The load asked for since the last call, in engines kept busy; `None` if no router has answered, or at the first call.
    pub fn take_load(&mut self, now: Duration, speeds: EngineThroughput) -> Option<StageLoad> {
        let (round, routers_heard) =
            (std::mem::take(&mut self.round), std::mem::take(&mut self.routers_heard));
        let since = self.round_began.replace(now)?;
        let seconds = now.saturating_sub(since).as_secs_f64();
        if routers_heard == 0 || seconds <= 0.0 {
            return None;
        }
        let mut mix = StageLoad::default();
        for (class, asked) in round {
            let recent = self.recent.get(&class).copied().unwrap_or_default();
            let rate = asked / seconds;
            let mean = |tokens: f64, n: f64| if n > 0.0 { tokens / n } else { 0.0 };
            mix.prefill += rate * mean(recent.read_tokens, recent.reads) / speeds.prefill.max(1.0);
            mix.decode += rate * mean(recent.answer_tokens, recent.answers) / speeds.decode.max(1.0);
        }
        // Both parts of a mean decay alike: a class without requests keeps its mean until it has requests again.
        let decay = 0.5f64.powf(seconds / HALF_LIFE.as_secs_f64());
        for recent in self.recent.values_mut() {
            for counter in
                [&mut recent.reads, &mut recent.read_tokens, &mut recent.answers, &mut recent.answer_tokens]
            {
                *counter *= decay;
            }
        }
        Some(mix)
    }
}

#[cfg(test)]
mod tests;
