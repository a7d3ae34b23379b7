//! Publishes the permit, and the status for operators, to the rest of the process.

use super::Consensus;
use crate::handle::{PendingChange, Permit, PolicyHandle, RouterStatus};
use crate::lease_holder::Lease;
use crate::policy_state::{digest, EarlierPolicy, ProposalOutcome};
use crate::voter::Voter;
use crate::wire::OperatorRequest;
use std::collections::VecDeque;
use std::sync::Arc;

/// The parts of a status that are compared to detect a change. The whole status is not compared, as it holds
/// long histories.
#[derive(PartialEq, Eq)]
struct StatusFingerprint {
    configuration: u32,
    epoch: u64,
    last_outcome_digest: u64,
    pending: Option<PendingChange>,
    leader: Option<String>,
    faults: Vec<String>,
    outcome_count: usize,
}

/// The outcomes of changes and the earlier policies that this router has kept.
struct History {
    outcomes: Vec<ProposalOutcome>,
    forgotten: u64,
    earlier_policies: Vec<EarlierPolicy>,
}

/// The handle to the rest of the process, and what was published on it last.
pub(super) struct StatusPublisher {
    handle: Arc<PolicyHandle>,
    published_status: Option<StatusFingerprint>,
    published_lease: Option<Lease>,
}

impl StatusPublisher {
    pub(super) fn new(handle: Arc<PolicyHandle>) -> StatusPublisher {
        StatusPublisher { handle, published_status: None, published_lease: None }
    }

    /// Takes the requests that operators have submitted since the last call.
    pub(super) fn take_requests(&self) -> VecDeque<OperatorRequest> {
        self.handle.take_requests()
    }
}

impl Consensus {
    /// Publishes the permit and the status where they have changed.
    pub(super) fn publish(&mut self) {
        self.publish_permit();
        let fingerprint = self.fingerprint();
        if self.publisher.published_status.as_ref() == Some(&fingerprint) {
            return;
        }
        let status = self.status(&fingerprint);
        self.publisher.published_status = Some(fingerprint);
        self.publisher.handle.set_status(status);
    }

    fn publish_permit(&mut self) {
        let lease = self.current_lease();
        if self.publisher.published_lease == Some(lease) {
            return;
        }
        self.publisher.published_lease = Some(lease);
        self.publisher.handle.set_permit(Permit {
            epoch: lease.epoch,
            until: lease.until,
            policy: self.lease_holder.policy().cloned(),
            partition_mode: self.config.partition_mode,
        });
    }

    fn fingerprint(&self) -> StatusFingerprint {
        let outcome_count = match self.policy_state() {
            Some(state) => state.outcomes.len() + state.forgotten as usize,
            None => self.lease_holder.recent_outcomes().len(),
        };
        StatusFingerprint {
            configuration: self.configuration_number(),
            epoch: self.lease_holder.epoch(),
            last_outcome_digest: self
                .lease_holder
                .recent_outcomes()
                .last()
                .map_or(0, |outcome| outcome.digest),
            pending: self.pending(),
            leader: self.leader().map(str::to_owned),
            faults: self.faults(),
            outcome_count,
        }
    }

    fn status(&self, fingerprint: &StatusFingerprint) -> RouterStatus {
        let (epoch, text) = (fingerprint.epoch, self.lease_holder.text().to_owned());
        let History { outcomes, forgotten, earlier_policies } = self.history();
        RouterStatus {
            name: self.me.name.clone(),
            epoch,
            digest: if epoch == 0 { 0 } else { digest(&text) },
            text,
            pending: fingerprint.pending.clone(),
            leader: fingerprint.leader.clone(),
            voters: self.voters(),
            votes: self.votes(),
            outcomes,
            forgotten,
            earlier_policies,
            faults: fingerprint.faults.clone(),
        }
    }

    /// Why this router does not apply the policy in force, or does not vote.
    fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = self.stored_log_error.iter().cloned().collect();
        if let Some(why) = self.durable_file.error() {
            faults.push(format!("does not vote: the folder can't be written: {why}"));
        }
        if let Some(why) = self.lease_holder.policy_error() {
            faults.push(format!("can't take the policy in force: {why}"));
        }
        if self.bootstrap.is_some() {
            let founders = self.config.founders.join(", ");
            faults.push(format!("no policy is in force yet: waits for all founders: {founders}"));
        }
        faults
    }

    fn voters(&self) -> Vec<String> {
        match &self.voter {
            Some(voter) => voter.configuration.voters.iter().map(|voter| voter.name.clone()).collect(),
            None => self.lease_holder.voters().to_vec(),
        }
    }

    fn history(&self) -> History {
        match self.policy_state() {
            Some(state) => History {
                outcomes: state.outcomes.iter().cloned().collect(),
                forgotten: state.forgotten,
                earlier_policies: state.earlier_policies(),
            },
            None => History {
                outcomes: self.lease_holder.recent_outcomes().to_vec(),
                forgotten: 0,
                earlier_policies: Vec::new(),
            },
        }
    }

    fn leader(&self) -> Option<&str> {
        if self.leads() {
            return Some(&self.me.name);
        }
        self.lease_holder.leader()
    }

    fn pending(&self) -> Option<PendingChange> {
        if let Some(change) = self.lease_holder.pending_change() {
            return Some(change.clone());
        }
        let state = self.voter.as_ref().filter(|voter| self.has_caught_up(voter)).map(Voter::policy_state)?;
        let id = state.pending.as_ref()?.id.clone();
        Some(PendingChange { id, waits_for: Vec::new() })
    }

    /// Whether a voter has applied everything up to the version that its leader reported. One that has just
    /// started may lack entries that the others have decided since.
    fn has_caught_up(&self, voter: &Voter) -> bool {
        self.lease_holder.leader().is_some() && self.lease_holder.version() <= voter.version()
    }
}
