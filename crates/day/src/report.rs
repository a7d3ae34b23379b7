//! Counts what a day's clients got.

use crate::fleet::Day;
use crate::stage::Played;
use slipreel_rulecheck::{Ending, Figures, RULES};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// What the wire, timers and threads may add to a time that the rules bound, where the machine is shared.
const WIRE: Duration = Duration::from_millis(100);
/// The rules' grace after a drain was told, as in the brief.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// The figures of the rules for a day.
pub fn figures_of(day: &Day) -> Figures {
    Figures {
        answer_slack: WIRE,
        drain_grace: DRAIN_GRACE,
        let_go: day.site.settings.let_go_within,
        wire: WIRE,
    }
}

/// What one group of requests got. A request counts once, by its last try.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Requests.
    pub asked: usize,
    /// Whole answers.
    pub served: usize,
    /// Turned away in the end.
    pub refused: usize,
    /// Failed in the end.
    pub failed: usize,
    /// Left, or cut off by the death of a router.
    pub left: usize,
    /// Tries over all requests.
    pub tries: usize,
    /// Times from when a request was due until its answer began, of those that were served, sorted.
    pub waits: Vec<Duration>,
}

impl Group {
    /// The wait at a share of the served requests; `None` if none was served.
    pub fn wait_at(&self, share: f64) -> Option<Duration> {
        let at = (self.waits.len() as f64 * share).ceil() as usize;
        self.waits.get(at.saturating_sub(1).min(self.waits.len().saturating_sub(1))).copied()
    }
}

/// A day in figures.
pub struct Report {
    /// By model.
    pub models: BTreeMap<String, Group>,
    /// By key.
    pub tenants: BTreeMap<String, Group>,
    /// Answers in which something was wrong, with what.
    pub faults: Vec<String>,
    /// Attempts and probes of all routers, and requests told to the module.
    pub attempts: (u64, u64, u64),
    /// Whether each rule held, with the first break.
    pub rules: Vec<(String, usize, Option<String>)>,
}

impl Report {
    pub(crate) fn of(played: &Played) -> Report {
        let (mut models, mut tenants): (BTreeMap<String, Group>, BTreeMap<String, Group>) =
            Default::default();
        let last: BTreeMap<u64, u32> =
            played.results.iter().map(|r| (r.what.request, r.what.number)).collect();
        for r in &played.results {
            let is_last = last.get(&r.what.request) == Some(&r.what.number);
            for group in
                [models.entry(r.model.clone()).or_default(), tenants.entry(r.key.clone()).or_default()]
            {
                group.tries += 1;
                if !is_last {
                    continue;
                }
                group.asked += 1;
                match r.ending {
                    Some(Ending::Served) => group.served += 1,
                    Some(Ending::Refused) => group.refused += 1,
                    Some(Ending::Failed) => group.failed += 1,
                    None => group.left += 1,
                }
                if let (Some(Ending::Served), Some(began)) = (r.ending, r.began) {
                    group.waits.push(began.saturating_sub(r.due));
                }
            }
        }
        models.values_mut().chain(tenants.values_mut()).for_each(|g| g.waits.sort_unstable());
        let faults =
            played.results.iter().filter_map(|r| r.fault.as_ref().map(|f| format!("{:?}: {f}", r.what)));
        let sum = |f: fn(&slipreel_front::Tally) -> u64| played.tallies.iter().map(f).sum::<u64>();
        let rules = RULES.iter().map(|rule| {
            let broke: Vec<_> = played.breaks.iter().filter(|b| b.rule == *rule).collect();
            (rule.to_string(), broke.len(), broke.first().map(|b| format!("{:?}: {}", b.at, b.what)))
        });
        Report {
            models,
            tenants,
            faults: faults.collect::<BTreeSet<_>>().into_iter().collect(),
            attempts: (sum(|t| t.attempts), sum(|t| t.probes), sum(|t| t.taken)),
            rules: rules.collect(),
        }
    }

    /// Whether every rule held and nothing was wrong with an answer.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty() && self.rules.iter().all(|(_, broke, _)| *broke == 0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ["", "asked", "served", "refused", "failed", "left", "tries", "p50 ms", "p99 ms"];
        for (title, groups) in [("model", &self.models), ("key", &self.tenants)] {
            writeln!(
                f,
                "{title:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}",
                header[1], header[2], header[3], header[4], header[5], header[6], header[7], header[8]
            )?;
            for (name, g) in groups {
                let ms = |share| {
                    g.wait_at(share).map_or("-".into(), |w| format!("{:.1}", w.as_secs_f64() * 1000.0))
                };
                writeln!(
                    f,
                    "{name:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}",
                    g.asked,
                    g.served,
                    g.refused,
                    g.failed,
                    g.left,
                    g.tries,
                    ms(0.5),
                    ms(0.99)
                )?;
            }
        }
        let (attempts, probes, taken) = self.attempts;
        writeln!(f, "requests taken {taken}, attempts {attempts}, probes {probes}")?;
        for (rule, broke, first) in &self.rules {
            match first {
                None => writeln!(f, "rule kept:   {rule}")?,
                Some(first) => writeln!(f, "rule BROKEN: {rule}, {broke} times; first: {first}")?,
            }
        }
        for fault in self.faults.iter().take(5) {
            writeln!(f, "WRONG ANSWER {fault}")?;
        }
        Ok(())
    }
}
