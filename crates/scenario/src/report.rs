//! Counts what a day's clients got.

use crate::fleet::Scenario;
use crate::stage::RunResult;
use slipreel_invariants::{Effect, Ending, Limits, RULES};
use slipreel_test_servers::client::AttemptResult;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// What the wire, timers and threads may add to a time that the rules bound, where the machine is shared.
const WIRE: Duration = Duration::from_millis(100);
/// The rules' grace after a drain was told, as in the brief.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// The figures of the rules for a day.
pub fn checker_limits(day: &Scenario) -> Limits {
    Limits {
        answer_slack: WIRE,
        drain_grace: DRAIN_GRACE,
        held_state_limit: day.settings.decisions.held_state_limit,
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
    /// Left by their own will.
    pub left: usize,
    /// Cut off before their answers were whole.
    pub unanswered: usize,
    /// Tries over all requests.
    pub tries: usize,
    /// Times from when a request was due until its answer began, of those that were served, sorted.
    pub waits: Vec<Duration>,
}

impl Group {
    fn count(&mut self, result: &AttemptResult) {
        self.asked += 1;
        match result.ending {
            Some(Ending::Served) => self.served += 1,
            Some(Ending::Refused) => self.refused += 1,
            Some(Ending::Failed) => self.failed += 1,
            None if result.is_unanswered => self.unanswered += 1,
            None => self.left += 1,
        }
        if let (Some(Ending::Served), Some(began)) = (result.ending, result.began) {
            self.waits.push(began.saturating_sub(result.due));
        }
    }

    /// The share served of the requests whose clients did not leave; `None` if there was none.
    pub fn share_served(&self) -> Option<f64> {
        let waited = self.asked - self.left;
        (waited > 0).then(|| self.served as f64 / waited as f64)
    }

    /// The wait at a share of the served requests; `None` if none was served.
    pub fn wait_at(&self, share: f64) -> Option<Duration> {
        let at = (self.waits.len() as f64 * share).ceil() as usize;
        self.waits.get(at.saturating_sub(1).min(self.waits.len().saturating_sub(1))).copied()
    }
}

/// Groups of requests by name.
pub type Groups = BTreeMap<String, Group>;

/// A day in figures.
pub struct Report {
    /// By model.
    pub models: Groups,
    /// By key.
    pub tenants: Groups,
    /// By what requests do when they run.
    pub effects: Groups,
    /// By third of the day in which they were due.
    pub thirds: Groups,
    /// By the router that was asked last.
    pub routers: Groups,
    /// Answers in which something was wrong, with what.
    pub faults: Vec<String>,
    /// Attempts and probes of all routers, and requests told to the module.
    pub attempts: (u64, u64, u64),
    /// Whether each rule held, with the first break.
    pub rules: Vec<(String, usize, Option<String>)>,
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    }
}

/// Names the third of the day, counted from the first request to the last, in which a request was due.
struct Thirds {
    first: Duration,
    length: Duration,
}

impl Thirds {
    fn of(results: &[AttemptResult]) -> Thirds {
        let first = results.iter().map(|result| result.due).min().unwrap_or_default();
        let last = results.iter().map(|result| result.due).max().unwrap_or_default();
        Thirds { first, length: last - first }
    }

    fn name(&self, due: Duration) -> &'static str {
        let since = due - self.first;
        if since * 3 < self.length {
            "first"
        } else if since * 3 < self.length * 2 {
            "second"
        } else {
            "third"
        }
    }
}

/// Groups requests by a name, each by its last try.
fn group_by(results: &[AttemptResult], name: impl Fn(&AttemptResult) -> String) -> Groups {
    let last_tries: BTreeMap<u64, u32> =
        results.iter().map(|result| (result.attempt.request, result.attempt.number)).collect();
    let mut groups = Groups::new();
    for result in results {
        let group = groups.entry(name(result)).or_default();
        group.tries += 1;
        if last_tries.get(&result.attempt.request) == Some(&result.attempt.number) {
            group.count(result);
        }
    }
    groups.values_mut().for_each(|group| group.waits.sort_unstable());
    groups
}

impl Report {
    pub(crate) fn of(played: &RunResult) -> Report {
        let results = &played.results;
        let thirds = Thirds::of(results);
        let faults =
            played.results.iter().filter_map(|r| r.fault.as_ref().map(|f| format!("{:?}: {f}", r.attempt)));
        let sum = |f: fn(&slipreel_gateway::Counters) -> u64| played.tallies.iter().map(f).sum::<u64>();
        let rules = RULES.iter().map(|rule| {
            let broke: Vec<_> = played.violations.iter().filter(|b| b.rule == *rule).collect();
            (rule.to_string(), broke.len(), broke.first().map(|b| format!("{:?}: {}", b.at, b.description)))
        });
        Report {
            models: group_by(results, |result| result.model.clone()),
            tenants: group_by(results, |result| result.key.clone()),
            effects: group_by(results, |result| effect_name(result.effect).to_owned()),
            thirds: group_by(results, |result| thirds.name(result.due).to_owned()),
            routers: group_by(results, |result| Scenario::router_name(result.router)),
            faults: faults.collect::<BTreeSet<_>>().into_iter().collect(),
            attempts: (sum(|t| t.attempts), sum(|t| t.probes), sum(|t| t.admitted)),
            rules: rules.collect(),
        }
    }

    /// Routers that were asked and served nobody.
    pub fn routers_that_served_nobody(&self) -> Vec<&str> {
        let idle = self.routers.iter().filter(|(_, group)| group.asked > 0 && group.served == 0);
        idle.map(|(name, _)| name.as_str()).collect()
    }

    /// Whether every rule held and nothing was wrong with an answer.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty() && self.rules.iter().all(|(_, broke, _)| *broke == 0)
    }
}

fn write_groups(f: &mut fmt::Formatter<'_>, title: &str, groups: &Groups) -> fmt::Result {
    writeln!(
        f,
        "{title:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}",
        "asked", "served", "share", "refused", "failed", "left", "cut", "tries", "p50 ms", "p99 ms"
    )?;
    for (name, group) in groups {
        let wait = |share| {
            group.wait_at(share).map_or("-".into(), |wait| format!("{:.1}", wait.as_secs_f64() * 1000.0))
        };
        writeln!(
            f,
            "{name:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}",
            group.asked,
            group.served,
            group.share_served().map_or("-".into(), |share| format!("{share:.3}")),
            group.refused,
            group.failed,
            group.left,
            group.unanswered,
            group.tries,
            wait(0.5),
            wait(0.99)
        )?;
    }
    Ok(())
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_groups(f, "model", &self.models)?;
        write_groups(f, "key", &self.tenants)?;
        write_groups(f, "effect", &self.effects)?;
        write_groups(f, "third of the day", &self.thirds)?;
        write_groups(f, "router", &self.routers)?;
        for router in self.routers_that_served_nobody() {
            writeln!(f, "{router} served nobody")?;
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
