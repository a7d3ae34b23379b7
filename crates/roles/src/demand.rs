//! The work that clients ask for, from what routers publish: asks by class, the refused ones too, and what an ask takes.
//!
//! Engines tell only what they hold. What is refused at the door never reaches them, and it is refused just when engines
//! are short: demand has to be read where it arrives.

use crate::stage_load::StageLoad;
use std::collections::BTreeMap;
use std::time::Duration;

/// What an engine does a second when wholly busy, by what it does. Operators know it.
#[derive(Clone, Copy, Debug)]
pub struct EngineThroughput {
    /// Prompt tokens.
    pub prefill: f64,
    /// Answer tokens.
    pub decode: f64,
}

/// After this what an ask took weighs half in the mean: a few times what a change takes, as classes' lengths shift too.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Counters of one class at one router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counters {
    asked: f64,
    reads: f64,
    read_tokens: f64,
    answers: f64,
    answer_tokens: f64,
}

impl Counters {
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

    /// What came since `before`; all of it where the counters have started anew.
    fn since(self, before: Counters) -> Counters {
        if self.asked < before.asked {
            return self;
        }
        let less = |a: f64, b: f64| (a - b).max(0.0);
        Counters {
            asked: less(self.asked, before.asked),
            reads: less(self.reads, before.reads),
            read_tokens: less(self.read_tokens, before.read_tokens),
            answers: less(self.answers, before.answers),
            answer_tokens: less(self.answer_tokens, before.answer_tokens),
        }
    }
}

/// Reads the counters by class from a router's metrics.
fn parse(text: &str) -> BTreeMap<String, Counters> {
    let mut classes: BTreeMap<String, Counters> = BTreeMap::new();
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

/// Sums what routers publish into the work that is asked for.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// By router and class, what was last read.
    last: BTreeMap<(usize, String), Counters>,
    /// By class, what came in the present round, and what an ask took of late.
    round: BTreeMap<String, f64>,
    late: BTreeMap<String, Counters>,
    heard: usize,
    at: Option<Duration>,
}

impl Demand {
    /// Takes what a router publishes.
    pub fn hear(&mut self, router: usize, text: &str) {
        for (class, now) in parse(text) {
            let before = self.last.insert((router, class.clone()), now);
            // What a router had counted when it was first heard says nothing of this round.
            let new = now.since(before.unwrap_or(now));
            *self.round.entry(class.clone()).or_default() += new.asked;
            let late = self.late.entry(class).or_default();
            let sum = if before.is_some() { new } else { now };
            late.reads += sum.reads;
            late.read_tokens += sum.read_tokens;
            late.answers += sum.answers;
            late.answer_tokens += sum.answer_tokens;
        }
        self.heard += 1;
    }

    /// The work asked for since the last call, in engines kept busy; `None` if no router was heard, or at the first call.
    pub fn take(&mut self, now: Duration, speeds: EngineThroughput) -> Option<StageLoad> {
        let (round, heard) = (std::mem::take(&mut self.round), std::mem::take(&mut self.heard));
        let since = self.at.replace(now)?;
        let seconds = now.saturating_sub(since).as_secs_f64();
        if heard == 0 || seconds <= 0.0 {
            return None;
        }
        let mut mix = StageLoad::default();
        for (class, asked) in round {
            let late = self.late.get(&class).copied().unwrap_or_default();
            let rate = asked / seconds;
            let mean = |tokens: f64, n: f64| if n > 0.0 { tokens / n } else { 0.0 };
            mix.prefill += rate * mean(late.read_tokens, late.reads) / speeds.prefill.max(1.0);
            mix.decode += rate * mean(late.answer_tokens, late.answers) / speeds.decode.max(1.0);
        }
        // Both parts of a mean fade alike: a class that nobody asks for keeps its mean until it is asked for again.
        let fade = 0.5f64.powf(seconds / HALF_LIFE.as_secs_f64());
        for late in self.late.values_mut() {
            for part in [&mut late.reads, &mut late.read_tokens, &mut late.answers, &mut late.answer_tokens] {
                *part *= fade;
            }
        }
        Some(mix)
    }
}

#[cfg(test)]
mod tests;
