//! The work that clients ask for, from what routers publish: asks by class, the refused ones too, and what an ask takes.
//!
//! Engines tell only what they hold. What is refused at the door never reaches them, and it is refused just when engines
//! are short: demand has to be read where it arrives.

use crate::mix::Mix;
use std::collections::BTreeMap;
use std::time::Duration;

/// What an engine does a second when wholly busy, by what it does. Operators know it.
#[derive(Clone, Copy, Debug)]
pub struct Speeds {
    /// Prompt tokens.
    pub read: f64,
    /// Answer tokens.
    pub write: f64,
}

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
    /// By class, what came in the present round and over all time.
    round: BTreeMap<String, f64>,
    all: BTreeMap<String, Counters>,
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
            let all = self.all.entry(class).or_default();
            let sum = if before.is_some() { new } else { now };
            all.reads += sum.reads;
            all.read_tokens += sum.read_tokens;
            all.answers += sum.answers;
            all.answer_tokens += sum.answer_tokens;
        }
        self.heard += 1;
    }

    /// The work asked for since the last call, in engines kept busy; `None` if no router was heard, or at the first call.
    pub fn take(&mut self, now: Duration, speeds: Speeds) -> Option<Mix> {
        let (round, heard) = (std::mem::take(&mut self.round), std::mem::take(&mut self.heard));
        let since = self.at.replace(now)?;
        let seconds = now.saturating_sub(since).as_secs_f64();
        if heard == 0 || seconds <= 0.0 {
            return None;
        }
        let mut mix = Mix::default();
        for (class, asked) in round {
            let all = self.all.get(&class).copied().unwrap_or_default();
            let rate = asked / seconds;
            mix.read += rate * all.read_tokens / all.reads.max(1.0) / speeds.read.max(1.0);
            mix.write += rate * all.answer_tokens / all.answers.max(1.0) / speeds.write.max(1.0);
        }
        Some(mix)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(asked: u64, reads: u64) -> String {
        let line =
            |name: &str, value: u64| format!("slipreel_class_{name}_total{{class=\"chat\"}} {value}\n");
        [
            line("asked", asked),
            line("reads", reads),
            line("read_tokens", reads * 1000),
            line("answers", reads),
            line("answer_tokens", reads * 50),
        ]
        .concat()
    }

    const SPEEDS: Speeds = Speeds { read: 10_000.0, write: 500.0 };

    #[test]
    fn refused_asks_count_and_restarts_do_not_go_back() {
        let s = Duration::from_secs;
        let mut demand = Demand::default();
        demand.hear(0, &text(1000, 10));
        assert_eq!(demand.take(s(1), SPEEDS), None, "nothing to compare with");
        demand.hear(0, &text(1040, 20));
        // 40 asks in 2 s of 1,000 prompt and 50 answer tokens each, though ten were read.
        assert_eq!(demand.take(s(3), SPEEDS), Some(Mix { read: 2.0, write: 2.0 }));
        demand.hear(0, &text(20, 5));
        assert_eq!(demand.take(s(5), SPEEDS), Some(Mix { read: 1.0, write: 1.0 }), "it has started anew");
        assert_eq!(demand.take(s(6), SPEEDS), None, "no router was heard");
        demand.hear(
            0,
            "slipreel_class_asked_total{class=\"x\"} NaN\nslipreel_class_asked_total{class=\"\nbroken",
        );
        assert_eq!(demand.take(s(7), SPEEDS), Some(Mix::default()));
    }
}
