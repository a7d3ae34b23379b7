//! Judges a history: does one view stand at the end, was nobody called gone who was well, how long did things take.

use crate::history::{Event, History, Sight};
use crate::script::{Kind, Script};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// For so long after a router or a way to it was in trouble, being called gone is no false alarm: who waits for news is right to
/// be late.
const EXCUSED: Duration = Duration::from_secs(8);
/// A schedule that ran later than this is said to, and times are not judged.
pub(crate) const LATE: Duration = Duration::from_millis(1_000);

/// What both sides of a cut together stay under, in parts of a quota.
const MOST_HANDED_OUT: f64 = 1.5;

/// What the judge found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What is wrong; empty if nothing is.
    pub failures: Vec<String>,
    /// From the last fault's end to one settled view on all, for good.
    pub settled_in: Option<Duration>,
    /// From a kill to `gone`, by each that saw it.
    pub detected_in: Vec<Duration>,
    /// A router that was well was called gone by one that was.
    pub false_alarms: usize,
    /// Times at which a router was suspect without being in trouble; nothing follows from it.
    pub suspicions: usize,
    /// The most that all ready routers together handed out of a quota or a cold budget at any time, as a share of it: the sum over
    /// them of one part in as many as each reckons with.
    pub peak_quota_share: f64,
    /// The same at the end.
    pub final_quota_share: f64,
    /// The schedule ran so late.
    pub max_lateness: Duration,
}

fn name(router: usize) -> String {
    format!("r{router}")
}

/// Who is up, and since when each pair was last in trouble.
struct Truth {
    up: Vec<bool>,
    still: Vec<bool>,
    apart: BTreeSet<(usize, usize)>,
    /// When a router's process was last started, ended, stopped or let go on.
    moved: Vec<Option<Duration>>,
    rejoined: BTreeMap<(usize, usize), Duration>,
    weather: Option<Duration>,
    bad_weather: usize,
    killed: BTreeMap<usize, Duration>,
    twins: BTreeSet<usize>,
}

impl Truth {
    fn excused(&self, at: Duration, a: usize, b: usize) -> bool {
        let recent = |t: Option<Duration>| t.is_some_and(|t| at < t + EXCUSED);
        let pair = (a.min(b), a.max(b));
        !self.up[a]
            || !self.up[b]
            || self.still[a]
            || self.still[b]
            || self.apart.contains(&pair)
            || recent(self.moved[a])
            || recent(self.moved[b])
            || recent(self.rejoined.get(&pair).copied())
            || self.bad_weather > 0
            || recent(self.weather)
            || self.twins.contains(&b)
    }
}

/// Judges a run.
pub fn judge(script: &Script, history: &History) -> Verdict {
    let mut judge = Judge::new(script);
    for (at, event) in &history.events {
        judge.take(*at, event);
    }
    judge.check_quota();
    judge.check_calls(history);
    judge.check_one_view(history.events.last().map_or(Duration::ZERO, |(at, _)| *at));
    judge.check_twins();
    judge.verdict
}

/// A run as far as it has been read.
struct Judge<'a> {
    script: &'a Script,
    truth: Truth,
    /// What each router told last.
    told: BTreeMap<usize, Sight>,
    /// When the last fault began or ended.
    calm: Duration,
    /// Since when all have held one view.
    one_view: Option<Duration>,
    /// Routers of which one of two processes has yielded.
    yielded: BTreeSet<usize>,
    verdict: Verdict,
}

impl<'a> Judge<'a> {
    fn new(script: &'a Script) -> Judge<'a> {
        let n = script.routers;
        let truth = Truth {
            up: vec![false; n],
            still: vec![false; n],
            apart: BTreeSet::new(),
            moved: vec![None; n],
            rejoined: BTreeMap::new(),
            weather: None,
            bad_weather: 0,
            killed: BTreeMap::new(),
            twins: BTreeSet::new(),
        };
        Judge {
            script,
            truth,
            told: BTreeMap::new(),
            calm: Duration::ZERO,
            one_view: None,
            yielded: BTreeSet::new(),
            verdict: Verdict::default(),
        }
    }

    fn take(&mut self, at: Duration, event: &Event) {
        let truth = &mut self.truth;
        match event {
            Event::Started(r, _) => {
                (truth.up[*r], truth.still[*r], truth.moved[*r]) = (true, false, Some(at));
                truth.killed.remove(r);
            }
            Event::Ended(r) => {
                (truth.up[*r], truth.moved[*r]) = (false, Some(at));
                truth.killed.insert(*r, at);
                self.told.remove(r);
            }
            Event::Frozen(r, still) => (truth.still[*r], truth.moved[*r]) = (*still, Some(at)),
            Event::Apart(a, b, apart) => {
                let pair = (*a.min(b), *a.max(b));
                if *apart {
                    truth.apart.insert(pair);
                } else {
                    truth.apart.remove(&pair);
                    truth.rejoined.insert(pair, at);
                }
            }
            Event::Fault(kind, whom, begins) => self.fault(at, *kind, whom, *begins),
            Event::Policy(..) | Event::Said(..) | Event::Heard(..) => {}
            Event::Late(late) => self.verdict.max_lateness = self.verdict.max_lateness.max(*late),
            Event::Twin(r, sight) => {
                if sight.as_ref().is_some_and(|s| s.standing == "yielded") {
                    self.yielded.insert(*r);
                }
            }
            Event::Told(r, None) => {
                self.told.remove(r);
            }
            Event::Told(r, Some(sight)) => self.told(at, *r, sight),
        }
        self.count_handed_out();
        self.one_view = stands(&self.truth, &self.told).then(|| self.one_view.unwrap_or(at));
    }

    fn fault(&mut self, at: Duration, kind: Kind, whom: &[usize], begins: bool) {
        self.calm = at;
        let truth = &mut self.truth;
        let is_bad = |f: &crate::script::Fault| f.kind == Kind::Weather && f.loss > 0.15;
        if kind == Kind::Weather && self.script.faults.iter().any(is_bad) {
            truth.bad_weather =
                if begins { truth.bad_weather + 1 } else { truth.bad_weather.saturating_sub(1) };
            truth.weather = Some(at);
        }
        if kind == Kind::Twin {
            for w in whom {
                if begins {
                    truth.twins.insert(*w);
                } else {
                    truth.twins.remove(w);
                    truth.moved[*w] = Some(at);
                }
            }
        }
    }

    /// A router has told its view.
    fn told(&mut self, at: Duration, r: usize, sight: &Sight) {
        // The first of two that started at about one time may be the one that yields; it stays so.
        let has_twin = self.script.faults.iter().any(|f| f.kind == Kind::Twin && f.whom.contains(&r));
        if has_twin && sight.standing == "yielded" {
            self.yielded.insert(r);
            self.truth.up[r] = false;
        }
        let before = self.told.insert(r, sight.clone());
        for other in (0..self.script.routers).filter(|o| *o != r) {
            let state =
                |s: Option<&Sight>| s.and_then(|s| s.members.get(&name(other))).map(|(s, _)| s.clone());
            let (was, is) = (state(before.as_ref()), state(Some(sight)));
            if was != is {
                self.told_of(at, r, other, is.as_deref());
            }
        }
    }

    /// A router has another state of a member in its view than before.
    fn told_of(&mut self, at: Duration, r: usize, other: usize, state: Option<&str>) {
        let excused = self.truth.excused(at, r, other);
        match state {
            Some("gone") if !excused => {
                self.verdict.false_alarms += 1;
                let wrong = format!("{} ms: r{r} calls r{other} gone, and both are well", at.as_millis());
                self.verdict.failures.push(wrong);
            }
            Some("gone") if !self.truth.up[other] => {
                if let Some(killed) = self.truth.killed.get(&other) {
                    self.verdict.detected_in.push(at.saturating_sub(*killed));
                }
            }
            Some("suspect") if !excused => self.verdict.suspicions += 1,
            _ => {}
        }
    }

    /// The part of a quota that all routers together hand out now.
    fn count_handed_out(&mut self) {
        let truth = &self.truth;
        let hands_out =
            |(r, s): &(&usize, &Sight)| truth.up[**r] && !truth.still[**r] && s.standing == "ready";
        let parts = self.told.iter().filter(hands_out);
        let verdict = &mut self.verdict;
        verdict.final_quota_share = parts.map(|(_, s)| 1.0 / s.routers.max(1) as f64).sum();
        verdict.peak_quota_share = verdict.peak_quota_share.max(verdict.final_quota_share);
    }

    /// Where each starts with the true count: the promise of `slipreel_membership::router_count`, whatever is cut from whom.
    fn check_quota(&mut self) {
        if self.script.floor as usize >= self.script.routers
            && self.verdict.peak_quota_share >= MOST_HANDED_OUT
        {
            self.verdict.failures.push(format!(
                "{:.2} of a quota was handed out at one time: expected under {MOST_HANDED_OUT}",
                self.verdict.peak_quota_share
            ));
        }
    }

    /// Who was called gone by whom, and who should have been.
    fn check_calls(&mut self, history: &History) {
        let (script, wrong) = (self.script, &mut self.verdict.failures);
        let calls: BTreeSet<(usize, usize)> = history.gone_calls().map(|(_, by, of)| (by, of)).collect();
        if script.nobody_gone {
            for (at, by, of) in history.gone_calls() {
                wrong.push(format!("{} ms: r{by} calls r{of} gone: expected of nobody", at.as_millis()));
            }
        }
        for &of in &script.gone {
            let up = |by: &usize| *by != of && !script.gone.contains(by) && self.truth.up[*by];
            for by in (0..script.routers).filter(up) {
                if !calls.contains(&(by, of)) {
                    wrong.push(format!("r{by} never called r{of} gone: expected it to"));
                }
            }
        }
    }

    fn check_one_view(&mut self, end: Duration) {
        let verdict = &mut self.verdict;
        verdict.settled_in = self.one_view.map(|at| at.saturating_sub(self.calm));
        match verdict.settled_in {
            None => {
                let told: Vec<String> = (0..self.script.routers).map(|r| self.last_told(r)).collect();
                let (end, told) = (end.as_millis(), told.join("; "));
                self.verdict.failures.push(format!("no one view at the end, {end} ms: {told}"));
            }
            Some(took) if took > self.script.settle && verdict.max_lateness < LATE => {
                verdict.failures.push(format!(
                    "one view after {} ms: expected within {} ms",
                    took.as_millis(),
                    self.script.settle.as_millis()
                ));
            }
            Some(_) => {}
        }
    }

    /// What a router told last, in words.
    fn last_told(&self, r: usize) -> String {
        match self.told.get(&r) {
            None if self.truth.up[r] => format!("r{r} does not answer"),
            None => format!("r{r} is down"),
            Some(s) => {
                let gone: Vec<&str> = s.called("gone").collect();
                let alive = s.called("alive").count();
                format!("r{r} {} settled={} {} alive={alive} gone={gone:?}", s.standing, s.settled, s.digest)
            }
        }
    }

    /// Where a second process was there for long, one of the two has yielded.
    fn check_twins(&mut self) {
        let script = self.script;
        for f in script.faults.iter().filter(|f| f.kind == Kind::Twin && f.lasts >= Duration::from_secs(5)) {
            let alone =
                script.faults.iter().filter(|o| o.whom.iter().any(|w| f.whom.contains(w))).count() == 1;
            for w in f.whom.iter().filter(|w| alone && !self.yielded.contains(w)) {
                self.verdict.failures.push(format!(
                    "a second process of the name r{w} ran for {:?} and neither of the two yielded",
                    f.lasts
                ));
            }
        }
    }
}

/// Whether all that are up are ready, settled and hold one view, in which just they are.
fn stands(truth: &Truth, told: &BTreeMap<usize, Sight>) -> bool {
    let up: Vec<usize> = (0..truth.up.len()).filter(|r| truth.up[*r]).collect();
    let names: BTreeSet<String> = up.iter().map(|r| name(*r)).collect();
    let mut digests = BTreeSet::new();
    let all = up.iter().all(|r| {
        let Some(sight) = told.get(r) else { return false };
        digests.insert(sight.digest.clone());
        let there: BTreeSet<String> =
            sight.members.iter().filter(|(_, (s, _))| s != "gone").map(|(n, _)| n.clone()).collect();
        sight.standing == "ready" && sight.settled && there == names
    });
    all && digests.len() == 1
}
