//! The report of a run: results of its requests by group, and which invariants held.

use crate::runner::RunResult;
use crate::scenario::Scenario;
use slipreel_invariants::{Effect, Ending, Limits, RULES};
use slipreel_test_servers::client::AttemptResult;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// Tolerance of the invariants' time limits for network, timers and threads on a shared machine.
const TIMING_TOLERANCE: Duration = Duration::from_millis(100);
/// How long after a router was notified of a drain its work may still reach the engine, as the requirements
/// state.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// The limits by which the invariant checker judges a scenario.
pub fn checker_limits(scenario: &Scenario) -> Limits {
    Limits {
        answer_slack: TIMING_TOLERANCE,
        drain_grace: DRAIN_GRACE,
        held_state_limit: scenario.settings.decisions.held_state_limit,
        wire: TIMING_TOLERANCE,
    }
}

/// Results of a group of requests. A request counts once, by its last attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Number of requests.
    pub asked: usize,
    /// Requests with a complete answer.
    pub served: usize,
    /// Requests whose last attempt was rejected.
    pub refused: usize,
    /// Requests whose last attempt failed.
    pub failed: usize,
    /// Requests whose client disconnected.
    pub left: usize,
    /// Requests whose connection ended before the answer was complete, though the client still waited.
    pub unanswered: usize,
    /// Attempts over all requests.
    pub attempts: usize,
    /// Times from when a request was due until its answer began, of the served requests, sorted.
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

    /// The share of served requests among those whose clients did not disconnect; `None` if there are none.
    pub fn served_share(&self) -> Option<f64> {
        let not_disconnected = self.asked - self.left;
        (not_disconnected > 0).then(|| self.served as f64 / not_disconnected as f64)
    }

    /// This quantile of `waits`; `None` if no request was served.
    pub fn wait_quantile(&self, share: f64) -> Option<Duration> {
        let rank = (self.waits.len() as f64 * share).ceil() as usize;
        self.waits.get(rank.saturating_sub(1).min(self.waits.len().saturating_sub(1))).copied()
    }
}

/// Groups of requests by name.
pub type Groups = BTreeMap<String, Group>;

/// The results of a run.
pub struct Report {
    /// Requests by model.
    pub models: Groups,
    /// Requests by API key.
    pub tenants: Groups,
    /// Requests by whether they are safe to run more than once.
    pub effects: Groups,
    /// Requests by the third of the run in which they were due.
    pub thirds: Groups,
    /// Requests by the router of the last attempt.
    pub routers: Groups,
    /// What was wrong with answers, with their attempts.
    pub faults: Vec<String>,
    /// Totals over all routers: attempts sent to engines, probes sent, and requests admitted.
    pub totals: (u64, u64, u64),
    /// Each invariant with the number of violations and the first of them.
    pub rules: Vec<(String, usize, Option<String>)>,
}

fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Safe => "safe",
        Effect::Keyed => "keyed",
        Effect::Unsafe => "unsafe",
    }
}

/// The time from the first request to the last. Gives the third of it in which a request was due.
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

/// Groups requests by a name. A request counts in the group of its last attempt; each attempt counts in its
/// own group.
fn group_by(results: &[AttemptResult], name: impl Fn(&AttemptResult) -> String) -> Groups {
    let last_attempts: BTreeMap<u64, u32> =
        results.iter().map(|result| (result.attempt.request, result.attempt.number)).collect();
    let mut groups = Groups::new();
    for result in results {
        let group = groups.entry(name(result)).or_default();
        group.attempts += 1;
        if last_attempts.get(&result.attempt.request) == Some(&result.attempt.number) {
            group.count(result);
        }
    }
    groups.values_mut().for_each(|group| group.waits.sort_unstable());
    groups
}

impl Report {
    pub(crate) fn of(run: &RunResult) -> Report {
        let results = &run.results;
        let thirds = Thirds::of(results);
        let faults =
            run.results.iter().filter_map(|r| r.fault.as_ref().map(|f| format!("{:?}: {f}", r.attempt)));
        let sum = |f: fn(&slipreel_gateway::Counters) -> u64| run.counters.iter().map(f).sum::<u64>();
        let rules = RULES.iter().map(|rule| {
            let violations: Vec<_> = run.violations.iter().filter(|b| b.rule == *rule).collect();
            (
                rule.to_string(),
                violations.len(),
                violations.first().map(|b| format!("{:?}: {}", b.at, b.description)),
            )
        });
        Report {
            models: group_by(results, |result| result.model.clone()),
            tenants: group_by(results, |result| result.key.clone()),
            effects: group_by(results, |result| effect_name(result.effect).to_owned()),
            thirds: group_by(results, |result| thirds.name(result.due).to_owned()),
            routers: group_by(results, |result| Scenario::router_name(result.router)),
            faults: faults.collect::<BTreeSet<_>>().into_iter().collect(),
            totals: (sum(|t| t.attempts), sum(|t| t.probes), sum(|t| t.admitted)),
            rules: rules.collect(),
        }
    }

    /// Routers that received requests and served none of them.
    pub fn routers_that_served_nobody(&self) -> Vec<&str> {
        let idle = self.routers.iter().filter(|(_, group)| group.asked > 0 && group.served == 0);
        idle.map(|(name, _)| name.as_str()).collect()
    }

    /// Whether every invariant held and all answers were correct.
    pub fn is_clean(&self) -> bool {
        self.faults.is_empty() && self.rules.iter().all(|(_, violations, _)| *violations == 0)
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
            group
                .wait_quantile(share)
                .map_or("-".into(), |wait| format!("{:.1}", wait.as_secs_f64() * 1000.0))
        };
        writeln!(
            f,
            "{name:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}",
            group.asked,
            group.served,
            group.served_share().map_or("-".into(), |share| format!("{share:.3}")),
            group.refused,
            group.failed,
            group.left,
            group.unanswered,
            group.attempts,
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
        let (attempts, probes, taken) = self.totals;
        writeln!(f, "requests taken {taken}, attempts {attempts}, probes {probes}")?;
        for (rule, violations, first) in &self.rules {
            match first {
                None => writeln!(f, "rule kept:   {rule}")?,
                Some(first) => writeln!(f, "rule BROKEN: {rule}, {violations} times; first: {first}")?,
            }
        }
        for fault in self.faults.iter().take(5) {
            writeln!(f, "WRONG ANSWER {fault}")?;
        }
        Ok(())
    }
}
