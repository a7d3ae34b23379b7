//! Checks the membership views in a history: whether all routers hold one view at the end, whether a healthy
//! router was listed as gone, and how long detection and settling took.

use crate::history::{Event, History, ReportedView};
use crate::script::{FaultKind, Script};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// For this time after a fault of a router or of the path to it, a report as gone is no false alarm: the
/// reporting router can only know of the recovery once news of it has arrived.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// From this delay on, the schedule counts as late: the delay is recorded in the history and times are not
/// judged.
pub(crate) const LATENESS_LIMIT: Duration = Duration::from_millis(1_000);

/// Bound of the share of a quota that both sides of a partition hand out together.
const MAX_QUOTA_SHARE: f64 = 1.5;

/// What the check of the membership views found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The failed checks; empty if the run passed.
    pub failures: Vec<String>,
    /// From the end of the last fault to the time from which all routers held one settled view until the end.
    pub settled_in: Option<Duration>,
    /// From each kill to the report as gone, one time for each router that reported it.
    pub detected_in: Vec<Duration>,
    /// Times at which a healthy router was reported as gone by a healthy one.
    pub false_alarms: usize,
    /// Times at which a healthy router was suspected; that has no consequences.
    pub suspicions: usize,
    /// The largest share of a quota or a cold budget that all ready routers together handed out at any time.
    /// Each router hands out one part in as many as it counts routers; this is the sum of those parts.
    pub peak_quota_share: f64,
    /// The same share at the end.
    pub final_quota_share: f64,
    /// The largest recorded delay of the schedule.
    pub max_lateness: Duration,
}

fn name(router: usize) -> String {
    format!("r{router}")
}

/// Which routers really are up, and when each router and each pair was last affected by a fault.
struct ActualState {
    up: Vec<bool>,
    paused: Vec<bool>,
    unreachable: BTreeSet<(usize, usize)>,
    /// When a router's process was last started, ended, paused or resumed.
    changed_at: Vec<Option<Duration>>,
    reconnected_at: BTreeMap<(usize, usize), Duration>,
    degraded_at: Option<Duration>,
    active_degradations: usize,
    killed_at: BTreeMap<usize, Duration>,
    duplicated: BTreeSet<usize>,
}

impl ActualState {
    /// Whether `a` has a reason at this time to report `b` as suspect or gone.
    fn is_excused(&self, at: Duration, a: usize, b: usize) -> bool {
        let recent = |t: Option<Duration>| t.is_some_and(|t| at < t + GRACE_PERIOD);
        let pair = (a.min(b), a.max(b));
        !self.up[a]
            || !self.up[b]
            || self.paused[a]
            || self.paused[b]
            || self.unreachable.contains(&pair)
            || recent(self.changed_at[a])
            || recent(self.changed_at[b])
            || recent(self.reconnected_at.get(&pair).copied())
            || self.active_degradations > 0
            || recent(self.degraded_at)
            || self.duplicated.contains(&b)
    }
}

/// Checks the membership views of a run.
pub fn judge(script: &Script, history: &History) -> Verdict {
    let mut judge = Judge::new(script);
    for (at, event) in &history.events {
        judge.apply(*at, event);
    }
    judge.check_quota();
    judge.check_gone_reports(history);
    judge.check_one_view(history.events.last().map_or(Duration::ZERO, |(at, _)| *at));
    judge.check_duplicates();
    judge.verdict
}

/// The state of a run up to the event that was applied last.
struct Judge<'a> {
    script: &'a Script,
    actual: ActualState,
    /// The view that each router reported last.
    views: BTreeMap<usize, ReportedView>,
    /// When the last fault began or ended.
    last_fault_change: Duration,
    /// Since when all routers have held one view.
    one_view_since: Option<Duration>,
    /// Names with two processes of which one has yielded.
    yielded: BTreeSet<usize>,
    verdict: Verdict,
}

impl<'a> Judge<'a> {
    fn new(script: &'a Script) -> Judge<'a> {
        let n = script.routers;
        let actual = ActualState {
            up: vec![false; n],
            paused: vec![false; n],
            unreachable: BTreeSet::new(),
            changed_at: vec![None; n],
            reconnected_at: BTreeMap::new(),
            degraded_at: None,
            active_degradations: 0,
            killed_at: BTreeMap::new(),
            duplicated: BTreeSet::new(),
        };
        Judge {
            script,
            actual,
            views: BTreeMap::new(),
            last_fault_change: Duration::ZERO,
            one_view_since: None,
            yielded: BTreeSet::new(),
            verdict: Verdict::default(),
        }
    }

    fn apply(&mut self, at: Duration, event: &Event) {
        let actual = &mut self.actual;
        match event {
            Event::Started(r, _) => {
                (actual.up[*r], actual.paused[*r], actual.changed_at[*r]) = (true, false, Some(at));
                actual.killed_at.remove(r);
            }
            Event::Ended(r) => {
                (actual.up[*r], actual.changed_at[*r]) = (false, Some(at));
                actual.killed_at.insert(*r, at);
                self.views.remove(r);
            }
            Event::Paused(r, paused) => (actual.paused[*r], actual.changed_at[*r]) = (*paused, Some(at)),
            Event::Unreachable(a, b, unreachable) => {
                let pair = (*a.min(b), *a.max(b));
                if *unreachable {
                    actual.unreachable.insert(pair);
                } else {
                    actual.unreachable.remove(&pair);
                    actual.reconnected_at.insert(pair, at);
                }
            }
            Event::Fault(kind, routers, begins) => self.apply_fault(at, *kind, routers, *begins),
            Event::PolicyReported(..) | Event::ProposalSubmitted(..) | Event::ChangeReported(..) => {}
            Event::ScheduleLate(late) => self.verdict.max_lateness = self.verdict.max_lateness.max(*late),
            Event::DuplicateViewReported(r, view) => {
                if view.as_ref().is_some_and(|v| v.status == "yielded") {
                    self.yielded.insert(*r);
                }
            }
            Event::ViewReported(r, None) => {
                self.views.remove(r);
            }
            Event::ViewReported(r, Some(view)) => self.apply_view(at, *r, view),
        }
        self.update_quota_share();
        self.one_view_since =
            holds_one_view(&self.actual, &self.views).then(|| self.one_view_since.unwrap_or(at));
    }

    fn apply_fault(&mut self, at: Duration, kind: FaultKind, routers: &[usize], begins: bool) {
        self.last_fault_change = at;
        let actual = &mut self.actual;
        let is_lossy = |f: &crate::script::Fault| f.kind == FaultKind::DegradedLinks && f.loss > 0.15;
        if kind == FaultKind::DegradedLinks && self.script.faults.iter().any(is_lossy) {
            actual.active_degradations = if begins {
                actual.active_degradations + 1
            } else {
                actual.active_degradations.saturating_sub(1)
            };
            actual.degraded_at = Some(at);
        }
        if kind == FaultKind::DuplicateProcess {
            for r in routers {
                if begins {
                    actual.duplicated.insert(*r);
                } else {
                    actual.duplicated.remove(r);
                    actual.changed_at[*r] = Some(at);
                }
            }
        }
    }

    /// Applies the view that a router reported.
    fn apply_view(&mut self, at: Duration, r: usize, view: &ReportedView) {
        // If both processes of a name started at about the same time, the first one may yield. It does not
        // take over again.
        let has_duplicate = self
            .script
            .faults
            .iter()
            .any(|f| f.kind == FaultKind::DuplicateProcess && f.routers.contains(&r));
        if has_duplicate && view.status == "yielded" {
            self.yielded.insert(r);
            self.actual.up[r] = false;
        }
        let before = self.views.insert(r, view.clone());
        for other in (0..self.script.routers).filter(|o| *o != r) {
            let state = |v: Option<&ReportedView>| {
                v.and_then(|v| v.members.get(&name(other))).map(|(state, _)| state.clone())
            };
            let (previous, present) = (state(before.as_ref()), state(Some(view)));
            if previous != present {
                self.apply_member_state(at, r, other, present.as_deref());
            }
        }
    }

    /// Applies that a router lists a member in another state than before.
    fn apply_member_state(&mut self, at: Duration, r: usize, other: usize, state: Option<&str>) {
        let excused = self.actual.is_excused(at, r, other);
        match state {
            Some("gone") if !excused => {
                self.verdict.false_alarms += 1;
                let failure = format!("{} ms: r{r} calls r{other} gone, and both are well", at.as_millis());
                self.verdict.failures.push(failure);
            }
            Some("gone") if !self.actual.up[other] => {
                if let Some(killed_at) = self.actual.killed_at.get(&other) {
                    self.verdict.detected_in.push(at.saturating_sub(*killed_at));
                }
            }
            Some("suspect") if !excused => self.verdict.suspicions += 1,
            _ => {}
        }
    }

    /// Updates the share of a quota that all routers together hand out now.
    fn update_quota_share(&mut self) {
        let actual = &self.actual;
        let hands_out =
            |(r, v): &(&usize, &ReportedView)| actual.up[**r] && !actual.paused[**r] && v.status == "ready";
        let views = self.views.iter().filter(hands_out);
        let verdict = &mut self.verdict;
        verdict.final_quota_share = views.map(|(_, v)| 1.0 / v.router_count.max(1) as f64).sum();
        verdict.peak_quota_share = verdict.peak_quota_share.max(verdict.final_quota_share);
    }

    /// Checks the bound of `slipreel_membership::router_count`, which holds under every partition if each
    /// router starts with the true number of routers.
    fn check_quota(&mut self) {
        if self.script.min_routers as usize >= self.script.routers
            && self.verdict.peak_quota_share >= MAX_QUOTA_SHARE
        {
            self.verdict.failures.push(format!(
                "{:.2} of a quota was handed out at one time: expected under {MAX_QUOTA_SHARE}",
                self.verdict.peak_quota_share
            ));
        }
    }

    /// Checks that routers were reported as gone where the script expects it, and none where it forbids it.
    fn check_gone_reports(&mut self, history: &History) {
        let (script, failures) = (self.script, &mut self.verdict.failures);
        let reports: BTreeSet<(usize, usize)> = history.gone_reports().map(|(_, by, of)| (by, of)).collect();
        if script.forbid_gone {
            for (at, by, of) in history.gone_reports() {
                failures.push(format!("{} ms: r{by} calls r{of} gone: expected of nobody", at.as_millis()));
            }
        }
        for &of in &script.expected_gone {
            let up = |by: &usize| *by != of && !script.expected_gone.contains(by) && self.actual.up[*by];
            for by in (0..script.routers).filter(up) {
                if !reports.contains(&(by, of)) {
                    failures.push(format!("r{by} never called r{of} gone: expected it to"));
                }
            }
        }
    }

    fn check_one_view(&mut self, end: Duration) {
        let verdict = &mut self.verdict;
        verdict.settled_in = self.one_view_since.map(|at| at.saturating_sub(self.last_fault_change));
        match verdict.settled_in {
            None => {
                let views: Vec<String> = (0..self.script.routers).map(|r| self.describe_view(r)).collect();
                let (end, views) = (end.as_millis(), views.join("; "));
                self.verdict.failures.push(format!("no one view at the end, {end} ms: {views}"));
            }
            Some(elapsed) if elapsed > self.script.settle_within && verdict.max_lateness < LATENESS_LIMIT => {
                verdict.failures.push(format!(
                    "one view after {} ms: expected within {} ms",
                    elapsed.as_millis(),
                    self.script.settle_within.as_millis()
                ));
            }
            Some(_) => {}
        }
    }

    /// The view that a router reported last, as text.
    fn describe_view(&self, r: usize) -> String {
        match self.views.get(&r) {
            None if self.actual.up[r] => format!("r{r} does not answer"),
            None => format!("r{r} is down"),
            Some(v) => {
                let gone: Vec<&str> = v.members_in_state("gone").collect();
                let alive = v.members_in_state("alive").count();
                format!("r{r} {} settled={} {} alive={alive} gone={gone:?}", v.status, v.settled, v.digest)
            }
        }
    }

    /// Checks that one of two processes with the same name yields if both run for long enough.
    fn check_duplicates(&mut self) {
        let script = self.script;
        for f in script
            .faults
            .iter()
            .filter(|f| f.kind == FaultKind::DuplicateProcess && f.lasts >= Duration::from_secs(5))
        {
            let is_only_fault =
                script.faults.iter().filter(|o| o.routers.iter().any(|r| f.routers.contains(r))).count() == 1;
            for r in f.routers.iter().filter(|r| is_only_fault && !self.yielded.contains(r)) {
                self.verdict.failures.push(format!(
                    "a second process of the name r{r} ran for {:?} and neither of the two yielded",
                    f.lasts
                ));
            }
        }
    }
}

/// Whether all routers that are up are ready and settled and hold the same view, which lists exactly those
/// routers.
fn holds_one_view(actual: &ActualState, views: &BTreeMap<usize, ReportedView>) -> bool {
    let up: Vec<usize> = (0..actual.up.len()).filter(|r| actual.up[*r]).collect();
    let names: BTreeSet<String> = up.iter().map(|r| name(*r)).collect();
    let mut digests = BTreeSet::new();
    let all = up.iter().all(|r| {
        let Some(view) = views.get(r) else { return false };
        digests.insert(view.digest.clone());
        let listed: BTreeSet<String> =
            view.members.iter().filter(|(_, (state, _))| state != "gone").map(|(n, _)| n.clone()).collect();
        view.status == "ready" && view.settled && listed == names
    });
    all && digests.len() == 1
}
