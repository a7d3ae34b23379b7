//! Plays a script on a driver: starts routers and applies faults at the scripted times, polls the routers and
//! records the history.

use crate::history::{Event, History, ReportedPolicy, ReportedView};
use crate::membership_judge::{judge, Verdict, LATENESS_LIMIT};
use crate::policy_judge::{self, PolicyOutcome, ProposalTracker};
use crate::relay_network::Link;
use crate::script::{Fault, FaultKind, ProposalAction, Script, ScriptedProposal};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_invariants::policy::ChangeStatus;
use slipreel_invariants::{Record, Seen, Violation};
use slipreel_scenario::checker_limits;
use slipreel_test_servers::client::AttemptResult;
use slipreel_test_servers::ledger::Ledger;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How often every router is asked for its view.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the start of the run to the first request of clients.
pub(crate) const TRAFFIC_START_DELAY: Duration = Duration::from_millis(1_500);

/// The result of a run.
pub struct Outcome {
    /// The recorded events.
    pub history: History,
    /// The result of the checks of the membership views.
    pub verdict: Verdict,
    /// Violations of the rules of `slipreel_invariants`, found in the traffic.
    pub violations: Vec<Violation>,
    /// How each attempt of a client ended.
    pub results: Vec<AttemptResult>,
    /// The log lines of the state machines or processes.
    pub log: Vec<String>,
    /// A hash over all bytes of a run in virtual time, which is the same for the same script; 0 for a run
    /// with processes.
    pub digest: u64,
    /// The result of the checks of the policy, if the script has founders of one.
    pub policy: Option<PolicyOutcome>,
}

impl Outcome {
    /// Whether every check succeeded.
    pub fn passed(&self) -> bool {
        let policy = self.policy.as_ref().is_none_or(PolicyOutcome::passed);
        self.verdict.failures.is_empty() && self.violations.is_empty() && policy
    }
}

/// The state of a router's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterState {
    /// Not started yet, or ended.
    Down,
    /// Running.
    Up,
    /// Running, but stopped by SIGSTOP.
    Paused,
}

/// Runs the routers for a [`ScriptRunner`]: with processes or in virtual time. Routers are given by their
/// number.
pub(crate) trait Driver {
    fn now(&self) -> Duration;
    /// Lets time pass up to `at`. Returns false if the run was interrupted.
    fn run_until(&mut self, at: Duration) -> bool;
    /// Starts a router. With `empty_folder` its folder is emptied first.
    fn start(&mut self, router: usize, empty_folder: bool) -> Result<(), String>;
    /// Kills a router without warning.
    fn kill(&mut self, router: usize);
    /// Tells a router to leave the fleet and end.
    fn leave(&mut self, router: usize);
    /// Stops a router's process without ending it, or resumes it.
    fn set_paused(&mut self, router: usize, paused: bool);
    /// Starts or ends a second process with a router's name.
    fn set_duplicate(&mut self, router: usize, running: bool) -> Result<(), String>;
    /// Removes a router's folder and prevents writing to it, or allows writing again.
    fn set_folder_unwritable(&mut self, router: usize, unwritable: bool);
    /// Changes a router's seeds and has it read them.
    fn reload(&mut self, router: usize);
    /// Sets the state of links, given by sender and receiver.
    fn update_links(&mut self, links: Vec<(usize, usize, Link)>);
    /// Sends a datagram to a router.
    fn inject_datagram(&mut self, router: usize, bytes: Vec<u8>);
    /// The view that a router reports; `None` if it does not answer.
    fn reported_view(&mut self, router: usize) -> Option<ReportedView>;
    /// The view that the second process with a router's name reports.
    fn duplicate_view(&mut self, router: usize) -> Option<ReportedView>;
    /// The state of the policy that a router reports.
    fn reported_policy(&mut self, router: usize) -> Option<ReportedPolicy>;
    /// Submits a proposal to its router. Returns whether the router accepted it.
    fn submit(&mut self, proposal: &ScriptedProposal) -> bool;
    /// The status that a router reports of a change.
    fn change_status(&mut self, router: usize, id: &str) -> Option<ChangeStatus>;
    /// Makes writes to a voter's disk fail for lack of space, or lets them succeed again.
    fn set_disk_full(&mut self, router: usize, full: bool);
    /// Appends an incomplete frame to the file of a killed router, as if it had died during a write.
    fn append_torn_frame(&mut self, router: usize);
    /// Whether the clients have no requests left.
    fn clients_done(&self) -> bool;
}

/// Plays a script on a [`Driver`].
pub(crate) struct ScriptRunner<'a> {
    script: &'a Script,
    ledger: Ledger,
    pub(crate) history: History,
    start_time: Duration,
    states: Vec<RouterState>,
    start_counts: Vec<u64>,
    /// The faults that are active now, by their index in the script.
    active_faults: BTreeSet<usize>,
    /// The pairs of routers that cannot reach each other, not even through others.
    unreachable: BTreeSet<(usize, usize)>,
    rng: Xoshiro256PlusPlus,
    /// Times in which a router could not answer, to excuse attempts of clients.
    outages: Vec<(usize, Duration, Duration)>,
    down_since: BTreeMap<usize, Duration>,
    trackers: Vec<ProposalTracker>,
}

enum Step {
    StartRouter(usize),
    BeginFault(usize),
    EndFault(usize),
}

impl<'a> ScriptRunner<'a> {
    pub(crate) fn new(script: &'a Script, ledger: Ledger, start_time: Duration) -> Self {
        ScriptRunner {
            script,
            ledger,
            history: History::default(),
            start_time,
            states: vec![RouterState::Down; script.routers],
            start_counts: vec![0; script.routers],
            active_faults: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            rng: Xoshiro256PlusPlus::seed_from_u64(script.seed ^ 0x9e37),
            outages: Vec::new(),
            down_since: BTreeMap::new(),
            trackers: script.proposals.iter().cloned().map(ProposalTracker::new).collect(),
        }
    }

    fn steps(&mut self) -> Vec<(Duration, Step)> {
        let mut steps = Vec::new();
        for r in 0..self.script.routers {
            let starts_late = |f: &Fault| f.kind == FaultKind::LateStart && f.routers.contains(&r);
            if self.script.seeds_dead && r < self.script.seeds || self.script.faults.iter().any(starts_late) {
                continue;
            }
            let span = self.script.start_window.as_millis() as u64;
            let at = if r < self.script.seeds || span == 0 { 0 } else { self.rng.next_u64() % span };
            steps.push((Duration::from_millis(at), Step::StartRouter(r)));
        }
        for (n, fault) in self.script.faults.iter().enumerate() {
            steps.push((fault.at, Step::BeginFault(n)));
            steps.push((fault.at + fault.lasts, Step::EndFault(n)));
        }
        steps.sort_by_key(|(at, _)| *at);
        steps
    }

    /// Plays the script. Returns false if the run was interrupted.
    pub(crate) fn run(&mut self, driver: &mut impl Driver) -> Result<bool, String> {
        let last_fault_end = self.script.last_fault_end();
        for (at, step) in self.steps() {
            if !self.poll_until(driver, self.start_time + at) {
                return Ok(false);
            }
            let late = driver.now().saturating_sub(self.start_time + at);
            if late >= LATENESS_LIMIT {
                self.history.record(driver.now() - self.start_time, Event::ScheduleLate(late));
            }
            match step {
                Step::StartRouter(r) => self.start_router(driver, r, false)?,
                Step::BeginFault(n) => self.begin_fault(driver, n)?,
                Step::EndFault(n) => self.end_fault(driver, n)?,
            }
        }
        let end = self.start_time + self.script.length.max(last_fault_end + self.script.settle_within);
        if !self.poll_until(driver, end) {
            return Ok(false);
        }
        let clients_deadline = end + Duration::from_secs(30);
        while !driver.clients_done() && driver.now() < clients_deadline {
            let next = driver.now() + POLL_INTERVAL;
            if !self.poll_until(driver, next) {
                return Ok(false);
            }
        }
        self.record_final_statuses(driver);
        // Engines must release the state of prefills that no decode engine took over. The rules allow a fixed
        // time for that; the run goes on somewhat longer.
        let release_deadline = driver.now() + self.script.day.settings.decisions.held_state_limit * 4;
        if !driver.run_until(release_deadline) {
            return Ok(false);
        }
        self.ledger.note(driver.now(), Seen::RunOver);
        Ok(true)
    }

    /// Lets time pass and records what the routers report.
    fn poll_until(&mut self, driver: &mut impl Driver, until: Duration) -> bool {
        while driver.now() < until {
            let next = until.min(driver.now() + POLL_INTERVAL);
            if !driver.run_until(next) {
                return false;
            }
            self.poll_all(driver);
        }
        true
    }

    fn poll_all(&mut self, driver: &mut impl Driver) {
        for r in 0..self.script.routers {
            if self.states[r] == RouterState::Up {
                let view = driver.reported_view(r);
                self.history.record_view(driver.now() - self.start_time, r, view);
            }
        }
        self.poll_policy(driver);
        let duplicated: BTreeSet<usize> =
            self.active_of_kind(FaultKind::DuplicateProcess).flat_map(|f| f.routers.clone()).collect();
        for r in duplicated {
            let view = driver.duplicate_view(r);
            self.history.record_duplicate_view(driver.now() - self.start_time, r, view);
        }
    }

    fn poll_policy(&mut self, driver: &mut impl Driver) {
        if self.script.founders == 0 {
            return;
        }
        for r in (0..self.script.routers).filter(|r| self.states[*r] == RouterState::Up) {
            let policy = driver.reported_policy(r);
            let now = driver.now();
            if self.history.record_policy(now - self.start_time, r, policy.clone()) {
                if let Some(ReportedPolicy { epoch, digest, .. }) = policy {
                    self.ledger.note(now, Seen::PolicyReported { router: format!("r{r}"), epoch, digest });
                }
            }
        }
        for n in 0..self.trackers.len() {
            self.follow_proposal(driver, n);
        }
    }

    /// Submits a proposal until its router accepts it, polls its status, and submits it again when its outcome
    /// is known.
    fn follow_proposal(&mut self, driver: &mut impl Driver, n: usize) {
        let now = driver.now() - self.start_time;
        let proposal = self.trackers[n].proposal.clone();
        if now < proposal.at
            || self.states[proposal.router] != RouterState::Up
            || self.trackers[n].is_finished()
        {
            return;
        }
        if self.trackers[n].accepted_at.is_none() {
            // After the end of the script a proposal is not submitted any more, because a change takes up to
            // some seconds.
            if now > self.script.length.max(proposal.at + POLL_INTERVAL * 4) {
                return;
            }
            let accepted = driver.submit(&proposal);
            self.record(driver, Event::ProposalSubmitted(proposal.id.clone(), proposal.router, accepted));
            if accepted {
                self.trackers[n].accepted_at = Some(driver.now() - self.start_time);
            }
        }
        if matches!(proposal.action, ProposalAction::ReplaceVoter(_)) {
            return;
        }
        if let (Some(accepted_at), Some(status)) =
            (self.trackers[n].accepted_at, driver.change_status(proposal.router, &proposal.id))
        {
            self.record_change_status(driver, proposal.router, &proposal.id, &status);
            if matches!(status, ChangeStatus::InForce(_) | ChangeStatus::Dropped(_)) {
                let elapsed = (driver.now() - self.start_time).saturating_sub(accepted_at);
                let first = self.trackers[n].record_end(status, elapsed);
                if first {
                    driver.submit(&proposal);
                }
            }
        }
    }

    fn record_change_status(&mut self, driver: &impl Driver, r: usize, id: &str, status: &ChangeStatus) {
        let (router, id) = (format!("r{r}"), id.to_owned());
        self.record(driver, Event::ChangeReported(id.clone(), r, format!("{status:?}")));
        self.ledger.note(driver.now(), Seen::ChangeReported { router, id, status: status.clone() });
    }

    /// Asks every router at the end for the status of every change.
    fn record_final_statuses(&mut self, driver: &mut impl Driver) {
        let ids: Vec<String> =
            self.trackers.iter().filter(|t| t.is_policy_change()).map(|t| t.proposal.id.clone()).collect();
        for r in (0..self.script.routers).filter(|r| self.states[*r] == RouterState::Up).collect::<Vec<_>>() {
            for (n, id) in ids.iter().enumerate() {
                if let Some(status) = driver.change_status(r, id) {
                    self.record_change_status(driver, r, id, &status);
                    if let (Some(t), ChangeStatus::InForce(_) | ChangeStatus::Dropped(_)) =
                        (self.trackers.get_mut(n), &status)
                    {
                        t.known = true;
                    }
                }
            }
        }
    }

    fn active_of_kind(&self, kind: FaultKind) -> impl Iterator<Item = &Fault> {
        self.active_faults.iter().map(|n| &self.script.faults[*n]).filter(move |f| f.kind == kind)
    }

    fn record(&mut self, driver: &impl Driver, event: Event) {
        self.history.record(driver.now() - self.start_time, event);
    }

    fn start_router(&mut self, driver: &mut impl Driver, r: usize, empty_folder: bool) -> Result<(), String> {
        if self.states[r] != RouterState::Down {
            return Ok(());
        }
        driver.start(r, empty_folder)?;
        self.states[r] = RouterState::Up;
        self.start_counts[r] += 1;
        self.record_up(driver, r);
        self.record(driver, Event::Started(r, self.start_counts[r]));
        Ok(())
    }

    fn record_down(&mut self, driver: &impl Driver, r: usize) {
        self.down_since.entry(r).or_insert(driver.now());
        self.ledger.note(driver.now(), Seen::RouterDied(format!("r{r}")));
    }

    fn record_up(&mut self, driver: &impl Driver, r: usize) {
        if let Some(down_since) = self.down_since.remove(&r) {
            self.outages.push((r, down_since, driver.now()));
        }
    }

    fn begin_fault(&mut self, driver: &mut impl Driver, n: usize) -> Result<(), String> {
        let fault = self.script.faults[n].clone();
        self.active_faults.insert(n);
        self.record(driver, Event::Fault(fault.kind, fault.routers.clone(), true));
        for &r in &fault.routers {
            let up = self.states[r] == RouterState::Up;
            match fault.kind {
                FaultKind::Kill
                | FaultKind::KillAndLoseFolder
                | FaultKind::KillMidWrite
                | FaultKind::KillForGood
                    if self.states[r] != RouterState::Down =>
                {
                    driver.kill(r);
                    self.states[r] = RouterState::Down;
                    self.record_down(driver, r);
                    self.record(driver, Event::Ended(r));
                }
                FaultKind::LateStart => self.start_router(driver, r, false)?,
                FaultKind::Leave if up => {
                    driver.leave(r);
                    self.states[r] = RouterState::Down;
                    self.down_since.entry(r).or_insert(driver.now());
                    self.record(driver, Event::Ended(r));
                }
                FaultKind::Pause if up => {
                    driver.set_paused(r, true);
                    self.states[r] = RouterState::Paused;
                    self.record_down(driver, r);
                    self.record(driver, Event::Paused(r, true));
                }
                FaultKind::DuplicateProcess => driver.set_duplicate(r, true)?,
                FaultKind::FolderUnwritable => driver.set_folder_unwritable(r, true),
                FaultKind::DiskFull => driver.set_disk_full(r, true),
                FaultKind::Reload if up => driver.reload(r),
                FaultKind::InvalidDatagrams => self.inject_invalid_datagrams(driver, r),
                _ => {}
            }
        }
        self.apply_links(driver);
        Ok(())
    }

    fn end_fault(&mut self, driver: &mut impl Driver, n: usize) -> Result<(), String> {
        let fault = self.script.faults[n].clone();
        self.active_faults.remove(&n);
        for &r in &fault.routers {
            match fault.kind {
                FaultKind::Kill | FaultKind::Leave => self.start_router(driver, r, false)?,
                FaultKind::KillAndLoseFolder => self.start_router(driver, r, true)?,
                FaultKind::KillMidWrite => {
                    driver.append_torn_frame(r);
                    self.start_router(driver, r, false)?;
                }
                FaultKind::DiskFull => driver.set_disk_full(r, false),
                FaultKind::Pause if self.states[r] == RouterState::Paused => {
                    driver.set_paused(r, false);
                    self.states[r] = RouterState::Up;
                    self.record_up(driver, r);
                    self.record(driver, Event::Paused(r, false));
                }
                FaultKind::DuplicateProcess => driver.set_duplicate(r, false)?,
                FaultKind::FolderUnwritable => driver.set_folder_unwritable(r, false),
                FaultKind::Reload if self.states[r] == RouterState::Up => driver.reload(r),
                _ => {}
            }
        }
        self.apply_links(driver);
        self.record(driver, Event::Fault(fault.kind, fault.routers, false));
        Ok(())
    }

    /// Sets all links by the active faults and records which routers cannot reach each other.
    fn apply_links(&mut self, driver: &mut impl Driver) {
        let n = self.script.routers;
        let mut links = Vec::with_capacity(n * n);
        let mut open = vec![vec![true; n]; n];
        for (from, row) in open.iter_mut().enumerate() {
            for to in (0..n).filter(|to| *to != from) {
                let mut link = Link::default();
                for fault in self.active_faults.iter().map(|n| &self.script.faults[*n]) {
                    let (a, b) = (fault.routers.contains(&from), fault.routers.contains(&to));
                    match fault.kind {
                        FaultKind::Partition => link.cut |= a != b,
                        FaultKind::PartitionOneWay => link.cut |= a && !b,
                        FaultKind::PartitionPair => link.cut |= a && b,
                        FaultKind::DegradedLinks => {
                            link.loss = link.loss.max(fault.loss);
                            (link.duplication, link.delay, link.jitter) =
                                (0.05, fault.delay, fault.delay / 2);
                        }
                        FaultKind::SlowConnections if a || b => {
                            link.byte_interval = Some(Duration::from_millis(20));
                        }
                        FaultKind::StalledConnections => link.stalls_connections |= b,
                        _ => {}
                    }
                }
                row[to] = !link.cut;
                links.push((from, to, link));
            }
        }
        driver.update_links(links);
        // Paths through other routers count, because views also spread through them.
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
            let unreachable = !(reach[a][b] && reach[b][a]);
            let was_unreachable = self.unreachable.contains(&(a, b));
            if unreachable != was_unreachable {
                if unreachable {
                    self.unreachable.insert((a, b));
                } else {
                    self.unreachable.remove(&(a, b));
                }
                self.record(driver, Event::Unreachable(a, b, unreachable));
            }
        }
    }

    /// Sends invalid datagrams: an empty one, random bytes, a long one, one of another version, and a correct
    /// header with random or no content.
    fn inject_invalid_datagrams(&mut self, driver: &mut impl Driver, r: usize) {
        let mut random_bytes = |n: usize| -> Vec<u8> { (0..n).map(|_| self.rng.next_u64() as u8).collect() };
        let mut datagrams = vec![Vec::new(), random_bytes(40), random_bytes(1_200), vec![b'x'; 60_000]];
        let mut with_header = b"slFT\x01".to_vec();
        with_header.extend(random_bytes(100));
        let mut newer_version = b"slFT\x07".to_vec();
        newer_version.extend(random_bytes(100));
        datagrams.extend([with_header, newer_version, b"slFT".to_vec()]);
        datagrams.into_iter().for_each(|bytes| driver.inject_datagram(r, bytes));
    }

    /// Checks the run. An attempt gets no final answer if its router was killed, paused or leaving meanwhile.
    /// Such attempts are excused from the rule `OneAnswer` of the invariants; the other rules are checked for
    /// them too.
    pub(crate) fn outcome(
        mut self, records: Vec<Record>, results: Vec<AttemptResult>, log: Vec<String>, digest: u64,
        now: Duration,
    ) -> Outcome {
        for (r, down_since) in std::mem::take(&mut self.down_since) {
            self.outages.push((r, down_since, now));
        }
        let margin = Duration::from_secs(1);
        let mut asked: BTreeMap<slipreel_invariants::ClientAttempt, (Duration, Duration)> = BTreeMap::new();
        for r in &records {
            if let Seen::Asked { attempt, deadline, .. } = &r.seen {
                asked.insert(*attempt, (r.at, *deadline));
            }
        }
        let excused = |attempt: &slipreel_invariants::ClientAttempt| {
            let router = (attempt.request as usize + attempt.number as usize) % self.script.routers;
            let (from, to) = asked.get(attempt).copied().unwrap_or_default();
            self.outages.iter().any(|(r, a, b)| *r == router && *a <= to + margin && from <= *b + margin)
        };
        let kept: Vec<Record> = records
            .iter()
            .filter(|r| match &r.seen {
                Seen::Ended(attempt, _) | Seen::Left(attempt) | Seen::Cut(attempt) | Seen::Began(attempt) => {
                    !excused(attempt)
                }
                _ => true,
            })
            .cloned()
            .collect();
        let figures = checker_limits(&self.script.day);
        let violations = slipreel_invariants::judge(&kept, &figures)
            .into_iter()
            .filter(|b| b.attempt.is_none_or(|attempt| !excused(&attempt)))
            .collect();
        let verdict = judge(self.script, &self.history);
        let up: Vec<usize> =
            (0..self.script.routers).filter(|r| self.states[*r] == RouterState::Up).collect();
        let policy = (self.script.founders > 0)
            .then(|| policy_judge::judge(self.script, &self.history, &records, &self.trackers, &up));
        Outcome { history: self.history, verdict, violations, results, log, digest, policy }
    }
}
