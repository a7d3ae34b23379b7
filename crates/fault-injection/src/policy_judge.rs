//! Checks what became of the policy in a run: each proposal, the guarantees by the epoch headers in the
//! traffic, and whether all routers apply one epoch at the end.

use crate::history::History;
use crate::script::{ExpectedOutcome, ProposalAction, Script, ScriptedProposal};
use slipreel_consensus::timing;
use slipreel_invariants::policy::{ChangeStatus, Verdict};
use slipreel_invariants::Record;
use std::collections::BTreeSet;
use std::time::Duration;

/// The progress of a proposal.
#[derive(Clone, Debug)]
pub(crate) struct ProposalTracker {
    pub(crate) proposal: ScriptedProposal,
    /// When a router accepted the proposal.
    pub(crate) accepted_at: Option<Duration>,
    end: Option<(ChangeStatus, Duration)>,
    end_reports: u32,
    /// Whether some router knew at the end what came of the proposal.
    pub(crate) known: bool,
}

/// Number of final statuses after which a proposal is no longer followed.
const MAX_END_REPORTS: u32 = 10;

impl ProposalTracker {
    pub(crate) fn new(proposal: ScriptedProposal) -> ProposalTracker {
        ProposalTracker { proposal, accepted_at: None, end: None, end_reports: 0, known: false }
    }

    pub(crate) fn is_policy_change(&self) -> bool {
        !matches!(self.proposal.action, ProposalAction::ReplaceVoter(_))
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.end_reports >= MAX_END_REPORTS || !self.is_policy_change() && self.accepted_at.is_some()
    }

    /// Records a final status and the time that the change took. Returns whether it is the first one.
    pub(crate) fn record_end(&mut self, status: ChangeStatus, elapsed: Duration) -> bool {
        self.end_reports += 1;
        let first = self.end.is_none();
        if first {
            self.end = Some((status, elapsed));
        }
        first
    }
}

/// What the check of the policy found.
#[derive(Clone, Debug, Default)]
pub struct PolicyOutcome {
    /// The guarantees, checked by the epoch headers and by the reports to operators.
    pub verdict: Verdict,
    /// All other failed checks.
    pub failures: Vec<String>,
    /// The times from acceptance by a router to the report that the change is in force.
    pub changed_in: Vec<Duration>,
    /// The numbers of changes that came into force and that were dropped.
    pub ended: (usize, usize),
    /// The epoch that all routers apply at the end.
    pub epoch: u64,
}

impl PolicyOutcome {
    /// Whether every check succeeded.
    pub fn passed(&self) -> bool {
        self.failures.is_empty() && self.verdict.broken.is_empty()
    }
}

/// What the clocks of the clients and the network add to the overlap of two epochs that the protocol allows.
const MEASUREMENT_MARGIN: Duration = Duration::from_millis(20);

pub(crate) fn judge(
    script: &Script, history: &History, records: &[Record], trackers: &[ProposalTracker], up: &[usize],
) -> PolicyOutcome {
    let overlap = match script.partition_mode {
        slipreel_consensus::PartitionMode::Refuse => {
            timing::with_clock_drift(timing::SHORT_LEASE) + MEASUREMENT_MARGIN
        }
        // In this mode routers keep applying the old epoch for as long as they are cut off.
        slipreel_consensus::PartitionMode::Serve => Duration::MAX,
    };
    let verdict = slipreel_invariants::policy::judge(records, overlap, true);
    let mut outcome = PolicyOutcome { verdict, ..PolicyOutcome::default() };
    let policies: Vec<_> = up.iter().map(|r| (*r, history.last_policy(*r))).collect();
    let epochs: BTreeSet<u64> = policies.iter().filter_map(|(_, p)| p.map(|p| p.epoch)).collect();
    outcome.epoch = epochs.iter().next_back().copied().unwrap_or(0);
    for (r, policy) in &policies {
        match policy {
            None => outcome.failures.push(format!("r{r} tells nothing of the policy at the end")),
            // The limited router was down while the others agreed on a policy that it cannot apply. It
            // reports that and takes no requests.
            Some(p) if p.cannot_apply && !p.serving && script.limited_router == Some(*r) => {}
            Some(p) if !p.serving || p.epoch != outcome.epoch || p.pending.is_some() => {
                outcome.failures.push(format!(
                    "r{r} at the end: epoch {}, serving {}, pending {:?}: expected epoch {}, serving, nothing pending",
                    p.epoch, p.serving, p.pending, outcome.epoch
                ));
            }
            Some(_) => {}
        }
    }
    for tracker in trackers {
        let (id, ScriptedProposal { action, expected, .. }) = (&tracker.proposal.id, &tracker.proposal);
        if let ProposalAction::ReplaceVoter(old) = action {
            let old = format!("r{old}");
            for (r, policy) in &policies {
                if policy.is_some_and(|p| p.voters.contains(&old)) {
                    outcome.failures.push(format!("{id}: r{r} still counts {old} among the voters"));
                }
            }
            continue;
        }
        match &tracker.end {
            Some((ChangeStatus::InForce(_), elapsed)) => {
                outcome.changed_in.push(*elapsed);
                outcome.ended.0 += 1;
            }
            Some(_) => outcome.ended.1 += 1,
            // The router that accepted the proposal may have died before any other had it.
            None if tracker.known || *expected == ExpectedOutcome::Either => {}
            None => outcome.failures.push(format!("{id}: nobody knows what came of it")),
        }
        let contradicts = matches!(
            (&tracker.end, expected),
            (Some((ChangeStatus::InForce(_), _)), ExpectedOutcome::Dropped)
                | (Some((ChangeStatus::Dropped(_), _)), ExpectedOutcome::InForce)
        );
        if contradicts {
            outcome.failures.push(format!("{id}: {:?}: expected {expected:?}", tracker.end));
        }
    }
    outcome
}
