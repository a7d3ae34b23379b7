//! Plays a script on a stage: does what it says at its times, asks every router what it sees, keeps the history.

use crate::history::{Event, History, PolicySight, Sight};
use crate::judge::{judge, Verdict, LATE};
use crate::policy::{self, PolicyOutcome, Track};
use crate::script::{Fault, Kind, Propose, Script, Wish};
use crate::wire::Link;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_invariants::policy::ChangeStatus;
use slipreel_invariants::{Record, Seen, Violation};
use slipreel_scenario::figures_of;
use slipreel_test_servers::client::AttemptResult;
use slipreel_test_servers::ledger::Ledger;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How often every router is asked what it sees.
pub(crate) const LOOK: Duration = Duration::from_millis(100);
/// Between starting the routers and the first request.
pub(crate) const LEAD: Duration = Duration::from_millis(1_500);

/// What a run left behind.
pub struct Outcome {
    /// What happened.
    pub history: History,
    /// What the judge found of the view.
    pub verdict: Verdict,
    /// Rules that broke, by the traffic.
    pub violations: Vec<Violation>,
    /// How every try of a client ended.
    pub results: Vec<AttemptResult>,
    /// Lines of the machines or processes.
    pub log: Vec<String>,
    /// In memory: a hash over every byte; the same for the same script.
    pub digest: u64,
    /// What the judge found of the policy, where one is agreed on.
    pub policy: Option<PolicyOutcome>,
}

impl Outcome {
    /// Whether nothing is wrong.
    pub fn passed(&self) -> bool {
        let policy = self.policy.as_ref().is_none_or(PolicyOutcome::passed);
        self.verdict.failures.is_empty() && self.violations.is_empty() && policy
    }
}

/// How a router stands in the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not started yet, or ended.
    Down,
    /// It runs.
    Up,
    /// It runs and is stopped.
    Still,
}

/// What the director needs of a driver. Routers are named by number.
pub(crate) trait Stage {
    fn now(&self) -> Duration;
    /// Lets time pass; false if the run was interrupted.
    fn until(&mut self, at: Duration) -> bool;
    /// Starts a router; with `fresh` its folder is lost before.
    fn start(&mut self, router: usize, fresh: bool) -> Result<(), String>;
    fn kill(&mut self, router: usize);
    fn leave(&mut self, router: usize);
    fn freeze(&mut self, router: usize, still: bool);
    fn twin(&mut self, router: usize, runs: bool) -> Result<(), String>;
    fn folder(&mut self, router: usize, gone: bool);
    fn reload(&mut self, router: usize);
    fn links(&mut self, links: Vec<(usize, usize, Link)>);
    fn noise(&mut self, router: usize, bytes: Vec<u8>);
    fn sight(&mut self, router: usize) -> Option<Sight>;
    fn twin_sight(&mut self, router: usize) -> Option<Sight>;
    /// What a router tells of the policy.
    fn policy_sight(&mut self, router: usize) -> Option<PolicySight>;
    /// An operator says something to a router; whether it has taken it.
    fn propose(&mut self, propose: &Propose) -> bool;
    /// What a router says of a change.
    fn heard(&mut self, router: usize, id: &str) -> Option<ChangeStatus>;
    /// A router's disk has no room any more, or has again.
    fn fill(&mut self, router: usize, full: bool);
    /// A router that was killed had begun a write.
    fn tear(&mut self, router: usize);
    fn clients_done(&self) -> bool;
}

pub(crate) struct Director<'a> {
    script: &'a Script,
    ledger: Ledger,
    pub(crate) history: History,
    zero: Duration,
    phases: Vec<Phase>,
    lives: Vec<u64>,
    /// Faults that hold now, by their place in the script.
    held: BTreeSet<usize>,
    apart: BTreeSet<(usize, usize)>,
    rng: Xoshiro256PlusPlus,
    /// Times in which a router could not answer, for judging clients' tries.
    away: Vec<(usize, Duration, Duration)>,
    since: BTreeMap<usize, Duration>,
    tracks: Vec<Track>,
}

enum Step {
    Start(usize),
    Begin(usize),
    End(usize),
}

impl<'a> Director<'a> {
    pub(crate) fn new(script: &'a Script, ledger: Ledger, zero: Duration) -> Self {
        Director {
            script,
            ledger,
            history: History::default(),
            zero,
            phases: vec![Phase::Down; script.routers],
            lives: vec![0; script.routers],
            held: BTreeSet::new(),
            apart: BTreeSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(script.seed ^ 0x9e37),
            away: Vec::new(),
            since: BTreeMap::new(),
            tracks: script.proposals.iter().cloned().map(Track::new).collect(),
        }
    }

    fn steps(&mut self) -> Vec<(Duration, Step)> {
        let mut steps = Vec::new();
        for r in 0..self.script.routers {
            let late = |f: &Fault| f.kind == Kind::Late && f.whom.contains(&r);
            if self.script.seeds_dead && r < self.script.seeds || self.script.faults.iter().any(late) {
                continue;
            }
            let span = self.script.start.as_millis() as u64;
            let at = if r < self.script.seeds || span == 0 { 0 } else { self.rng.next_u64() % span };
            steps.push((Duration::from_millis(at), Step::Start(r)));
        }
        for (n, fault) in self.script.faults.iter().enumerate() {
            steps.push((fault.at, Step::Begin(n)));
            steps.push((fault.at + fault.lasts, Step::End(n)));
        }
        steps.sort_by_key(|(at, _)| *at);
        steps
    }

    /// Plays it. False if it was interrupted.
    pub(crate) fn run(&mut self, stage: &mut impl Stage) -> Result<bool, String> {
        let calm = self.script.calm();
        for (at, step) in self.steps() {
            if !self.watch(stage, self.zero + at) {
                return Ok(false);
            }
            let late = stage.now().saturating_sub(self.zero + at);
            if late >= LATE {
                self.history.note(stage.now() - self.zero, Event::Late(late));
            }
            match step {
                Step::Start(r) => self.start(stage, r, false)?,
                Step::Begin(n) => self.begin(stage, n)?,
                Step::End(n) => self.end(stage, n)?,
            }
        }
        let end = self.zero + self.script.length.max(calm + self.script.settle);
        if !self.watch(stage, end) {
            return Ok(false);
        }
        let most = end + Duration::from_secs(30);
        while !stage.clients_done() && stage.now() < most {
            let next = stage.now() + LOOK;
            if !self.watch(stage, next) {
                return Ok(false);
            }
        }
        self.ask_all(stage);
        // State that nobody took has to be let go of: what the rules allow, and a little.
        let last = stage.now() + self.script.day.site.decisions.held_state_limit * 4;
        if !stage.until(last) {
            return Ok(false);
        }
        self.ledger.note(stage.now(), Seen::RunOver);
        Ok(true)
    }

    /// Lets time pass and notes what the routers tell.
    fn watch(&mut self, stage: &mut impl Stage, until: Duration) -> bool {
        while stage.now() < until {
            let next = until.min(stage.now() + LOOK);
            if !stage.until(next) {
                return false;
            }
            self.look(stage);
        }
        true
    }

    fn look(&mut self, stage: &mut impl Stage) {
        for r in 0..self.script.routers {
            if self.phases[r] == Phase::Up {
                let sight = stage.sight(r);
                self.history.told(stage.now() - self.zero, r, sight);
            }
        }
        self.look_at_policy(stage);
        let twins: BTreeSet<usize> = self.holding(Kind::Twin).flat_map(|f| f.whom.clone()).collect();
        for r in twins {
            let sight = stage.twin_sight(r);
            self.history.twin_told(stage.now() - self.zero, r, sight);
        }
    }

    fn look_at_policy(&mut self, stage: &mut impl Stage) {
        if self.script.founders == 0 {
            return;
        }
        for r in (0..self.script.routers).filter(|r| self.phases[*r] == Phase::Up) {
            let sight = stage.policy_sight(r);
            let now = stage.now();
            if self.history.policy_told(now - self.zero, r, sight.clone()) {
                if let Some(PolicySight { epoch, digest, .. }) = sight {
                    self.ledger.note(now, Seen::PolicyReported { router: format!("r{r}"), epoch, digest });
                }
            }
        }
        for n in 0..self.tracks.len() {
            self.follow(stage, n);
        }
    }

    /// Says a proposal until it is taken, asks what came of it, and says it again when that is known.
    fn follow(&mut self, stage: &mut impl Stage, n: usize) {
        let now = stage.now() - self.zero;
        let propose = self.tracks[n].propose.clone();
        if now < propose.at || self.phases[propose.to] != Phase::Up || self.tracks[n].is_done() {
            return;
        }
        if self.tracks[n].taken.is_none() {
            // What nobody has taken by the end of the script is not said any more: a change takes up to some seconds.
            if now > self.script.length.max(propose.at + LOOK * 4) {
                return;
            }
            let taken = stage.propose(&propose);
            self.note(stage, Event::Said(propose.id.clone(), propose.to, taken));
            if taken {
                self.tracks[n].taken = Some(stage.now() - self.zero);
            }
        }
        if matches!(propose.wish, Wish::Replace(_)) {
            return;
        }
        if let (Some(taken), Some(said)) = (self.tracks[n].taken, stage.heard(propose.to, &propose.id)) {
            self.hear(stage, propose.to, &propose.id, &said);
            if matches!(said, ChangeStatus::InForce(_) | ChangeStatus::Dropped(_)) {
                let took = (stage.now() - self.zero).saturating_sub(taken);
                let first = self.tracks[n].ended(said, took);
                if first {
                    stage.propose(&propose);
                }
            }
        }
    }

    fn hear(&mut self, stage: &impl Stage, r: usize, id: &str, said: &ChangeStatus) {
        let (router, id) = (format!("r{r}"), id.to_owned());
        self.note(stage, Event::Heard(id.clone(), r, format!("{said:?}")));
        self.ledger.note(stage.now(), Seen::ChangeReported { router, id, status: said.clone() });
    }

    /// At the end everybody is asked of every change.
    fn ask_all(&mut self, stage: &mut impl Stage) {
        let ids: Vec<String> =
            self.tracks.iter().filter(|t| t.is_a_change()).map(|t| t.propose.id.clone()).collect();
        for r in (0..self.script.routers).filter(|r| self.phases[*r] == Phase::Up).collect::<Vec<_>>() {
            for (n, id) in ids.iter().enumerate() {
                if let Some(said) = stage.heard(r, id) {
                    self.hear(stage, r, id, &said);
                    if let (Some(t), ChangeStatus::InForce(_) | ChangeStatus::Dropped(_)) =
                        (self.tracks.get_mut(n), &said)
                    {
                        t.known = true;
                    }
                }
            }
        }
    }

    fn holding(&self, kind: Kind) -> impl Iterator<Item = &Fault> {
        self.held.iter().map(|n| &self.script.faults[*n]).filter(move |f| f.kind == kind)
    }

    fn note(&mut self, stage: &impl Stage, event: Event) {
        self.history.note(stage.now() - self.zero, event);
    }

    fn start(&mut self, stage: &mut impl Stage, r: usize, fresh: bool) -> Result<(), String> {
        if self.phases[r] != Phase::Down {
            return Ok(());
        }
        stage.start(r, fresh)?;
        self.phases[r] = Phase::Up;
        self.lives[r] += 1;
        self.back(stage, r);
        self.note(stage, Event::Started(r, self.lives[r]));
        Ok(())
    }

    fn gone(&mut self, stage: &impl Stage, r: usize) {
        self.since.entry(r).or_insert(stage.now());
        self.ledger.note(stage.now(), Seen::RouterDied(format!("r{r}")));
    }

    fn back(&mut self, stage: &impl Stage, r: usize) {
        if let Some(since) = self.since.remove(&r) {
            self.away.push((r, since, stage.now()));
        }
    }

    fn begin(&mut self, stage: &mut impl Stage, n: usize) -> Result<(), String> {
        let fault = self.script.faults[n].clone();
        self.held.insert(n);
        self.note(stage, Event::Fault(fault.kind, fault.whom.clone(), true));
        for &r in &fault.whom {
            let up = self.phases[r] == Phase::Up;
            match fault.kind {
                Kind::Kill | Kind::KillLost | Kind::KillTorn | Kind::Die if self.phases[r] != Phase::Down => {
                    stage.kill(r);
                    self.phases[r] = Phase::Down;
                    self.gone(stage, r);
                    self.note(stage, Event::Ended(r));
                }
                Kind::Late => self.start(stage, r, false)?,
                Kind::Leave if up => {
                    stage.leave(r);
                    self.phases[r] = Phase::Down;
                    self.since.entry(r).or_insert(stage.now());
                    self.note(stage, Event::Ended(r));
                }
                Kind::Stop if up => {
                    stage.freeze(r, true);
                    self.phases[r] = Phase::Still;
                    self.gone(stage, r);
                    self.note(stage, Event::Frozen(r, true));
                }
                Kind::Twin => stage.twin(r, true)?,
                Kind::FolderGone => stage.folder(r, true),
                Kind::DiskFull => stage.fill(r, true),
                Kind::Reload if up => stage.reload(r),
                Kind::Noise => self.noise(stage, r),
                _ => {}
            }
        }
        self.links(stage);
        Ok(())
    }

    fn end(&mut self, stage: &mut impl Stage, n: usize) -> Result<(), String> {
        let fault = self.script.faults[n].clone();
        self.held.remove(&n);
        for &r in &fault.whom {
            match fault.kind {
                Kind::Kill | Kind::Leave => self.start(stage, r, false)?,
                Kind::KillLost => self.start(stage, r, true)?,
                Kind::KillTorn => {
                    stage.tear(r);
                    self.start(stage, r, false)?;
                }
                Kind::DiskFull => stage.fill(r, false),
                Kind::Stop if self.phases[r] == Phase::Still => {
                    stage.freeze(r, false);
                    self.phases[r] = Phase::Up;
                    self.back(stage, r);
                    self.note(stage, Event::Frozen(r, false));
                }
                Kind::Twin => stage.twin(r, false)?,
                Kind::FolderGone => stage.folder(r, false),
                Kind::Reload if self.phases[r] == Phase::Up => stage.reload(r),
                _ => {}
            }
        }
        self.links(stage);
        self.note(stage, Event::Fault(fault.kind, fault.whom, false));
        Ok(())
    }

    /// What every link does now, by the faults that hold; and who can't reach whom by any way.
    fn links(&mut self, stage: &mut impl Stage) {
        let n = self.script.routers;
        let mut links = Vec::with_capacity(n * n);
        let mut open = vec![vec![true; n]; n];
        for (from, row) in open.iter_mut().enumerate() {
            for to in (0..n).filter(|to| *to != from) {
                let mut link = Link::default();
                for fault in self.held.iter().map(|n| &self.script.faults[*n]) {
                    let (a, b) = (fault.whom.contains(&from), fault.whom.contains(&to));
                    match fault.kind {
                        Kind::Cut => link.cut |= a != b,
                        Kind::CutOneWay => link.cut |= a && !b,
                        Kind::CutPair => link.cut |= a && b,
                        Kind::Weather => {
                            link.loss = link.loss.max(fault.loss);
                            (link.double, link.delay, link.jitter) = (0.05, fault.delay, fault.delay / 2);
                        }
                        Kind::Trickle if a || b => link.trickle = Some(Duration::from_millis(20)),
                        Kind::Mute => link.mute |= b,
                        _ => {}
                    }
                }
                row[to] = !link.cut;
                links.push((from, to, link));
            }
        }
        stage.links(links);
        // Ways over others count: a view is told through them too.
        let mut reach = open;
        for by in 0..n {
            for from in 0..n {
                for to in 0..n {
                    reach[from][to] |= reach[from][by] && reach[by][to];
                }
            }
        }
        let pairs = (0..n).flat_map(|a| (a + 1..n).map(move |b| (a, b)));
        for (a, b) in pairs {
            let apart = !(reach[a][b] && reach[b][a]);
            let was = self.apart.contains(&(a, b));
            if apart != was {
                if apart {
                    self.apart.insert((a, b));
                } else {
                    self.apart.remove(&(a, b));
                }
                self.note(stage, Event::Apart(a, b, apart));
            }
        }
    }

    /// Datagrams that are none: nothing, bytes by lot, a long one, another version, a right head with false content.
    fn noise(&mut self, stage: &mut impl Stage, r: usize) {
        let mut lot = |n: usize| -> Vec<u8> { (0..n).map(|_| self.rng.next_u64() as u8).collect() };
        let mut pieces = vec![Vec::new(), lot(40), lot(1_200), vec![b'x'; 60_000]];
        let mut headed = b"slFT\x01".to_vec();
        headed.extend(lot(100));
        let mut newer = b"slFT\x07".to_vec();
        newer.extend(lot(100));
        pieces.extend([headed, newer, b"slFT".to_vec()]);
        pieces.into_iter().for_each(|bytes| stage.noise(r, bytes));
    }

    /// Judges what was seen. A try whose router was killed, stopped or leaving while it was under way gets its final answer from nobody: for
    /// those the first rule is not asked; the others are.
    pub(crate) fn outcome(
        mut self, records: Vec<Record>, results: Vec<AttemptResult>, log: Vec<String>, digest: u64,
        now: Duration,
    ) -> Outcome {
        for (r, since) in std::mem::take(&mut self.since) {
            self.away.push((r, since, now));
        }
        let margin = Duration::from_secs(1);
        let mut asked: BTreeMap<slipreel_invariants::ClientAttempt, (Duration, Duration)> = BTreeMap::new();
        for r in &records {
            if let Seen::Asked { attempt: what, deadline, .. } = &r.seen {
                asked.insert(*what, (r.at, *deadline));
            }
        }
        let excused = |what: &slipreel_invariants::ClientAttempt| {
            let router = (what.request as usize + what.number as usize) % self.script.routers;
            let (from, to) = asked.get(what).copied().unwrap_or_default();
            self.away.iter().any(|(r, a, b)| *r == router && *a <= to + margin && from <= *b + margin)
        };
        let kept: Vec<Record> = records
            .iter()
            .filter(|r| match &r.seen {
                Seen::Ended(what, _) | Seen::Left(what) | Seen::Cut(what) | Seen::Began(what) => {
                    !excused(what)
                }
                _ => true,
            })
            .cloned()
            .collect();
        let figures = figures_of(&self.script.day);
        let violations = slipreel_invariants::judge(&kept, &figures)
            .into_iter()
            .filter(|b| b.attempt.is_none_or(|what| !excused(&what)))
            .collect();
        let verdict = judge(self.script, &self.history);
        let up: Vec<usize> = (0..self.script.routers).filter(|r| self.phases[*r] == Phase::Up).collect();
        let policy = (self.script.founders > 0)
            .then(|| policy::judge(self.script, &self.history, &records, &self.tracks, &up));
        Outcome { history: self.history, verdict, violations, results, log, digest, policy }
    }
}
