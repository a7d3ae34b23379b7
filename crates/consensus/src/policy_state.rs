//! The replicated state: the policy in force, the pending change, and the outcomes of earlier changes.
//!
//! Every voter applies the same entries in the same order and reaches the same state, which depends neither
//! on leases nor on time.

use crate::timing;
use crate::voter_identity::VoterIdentity;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// A proposed change of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Makes the proposal idempotent: one that is submitted twice counts once.
    pub id: String,
    /// The policy, in its canonical form.
    pub text: String,
    /// The router to which it was submitted.
    pub from: String,
    /// When it was submitted, by that router's wall clock, in seconds since 1970. Only shown to operators.
    pub submitted_unix_s: u64,
    /// The epoch that must be in force when the change begins; 0: any.
    pub base_epoch: u64,
    /// The epoch whose policy it restores, if it is a rollback.
    pub restores_epoch: Option<u64>,
}

/// Why a router can't apply a policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The name of the router.
    pub router: String,
    /// The reason: position, value and what was expected.
    pub reason: String,
}

/// The decision on a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// Its policy is in force from now on.
    InForce,
    /// Its policy is never put in force.
    Dropped(Vec<Rejection>),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A change begins; every router must prepare it.
    Propose(Proposal),
    /// The change of this id is decided.
    Decide(String, Decision),
    /// Ends the configuration; the next one has these voters. Entries after this one have no effect.
    Reconfigure(Vec<VoterIdentity>),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalOutcome {
    /// The id of the proposal.
    pub id: String,
    /// The router to which it was submitted.
    pub from: String,
    /// When it was submitted, by that router's wall clock, in seconds since 1970. Only shown to operators.
    pub submitted_unix_s: u64,
    /// The digest of the policy.
    pub digest: u64,
    /// The epoch that it began; `None`: it was dropped.
    pub epoch: Option<u64>,
    /// The epoch whose policy it restored, if it was a rollback.
    pub restores_epoch: Option<u64>,
    /// Why it was dropped.
    pub rejections: Vec<Rejection>,
}

/// The state that entries are applied to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyState {
    /// The epoch in force; 0: none yet.
    pub epoch: u64,
    /// The digest of the policy in force.
    pub digest: u64,
    /// The policy in force.
    pub text: String,
    /// The pending change.
    pub pending: Option<Proposal>,
    /// The outcomes of changes, the oldest first.
    pub outcomes: VecDeque<ProposalOutcome>,
    /// How many of the oldest outcomes were discarded because there were too many.
    pub forgotten: u64,
    /// Policies of earlier epochs, the oldest first.
    earlier_policies: VecDeque<EarlierPolicy>,
}

/// The policy of an earlier epoch, which can be restored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierPolicy {
    /// The epoch.
    pub epoch: u64,
    /// Its policy.
    pub text: String,
}

/// Why a change can't begin. Operators see the text as the reason of a rejection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalConflict {
    /// Another change is pending.
    #[error("change {id} is under way: expected one at a time")]
    ChangePending {
        /// The id of that change.
        id: String,
    },
    /// It is based on an epoch that is not in force.
    #[error("made for epoch {base_epoch}: expected {in_force}, which is in force")]
    BaseEpochNotInForce {
        /// The epoch on which it is based.
        base_epoch: u64,
        /// The epoch in force.
        in_force: u64,
    },
}

/// The digest of a policy, by which equal policies are recognised.
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

impl PolicyState {
    /// The state of a new fleet: epoch 1, with this policy. `unix_s`: the wall clock, seconds since 1970.
    pub fn founded(text: &str, from: &str, unix_s: u64) -> PolicyState {
        let mut policy_state = PolicyState::default();
        let first = Proposal {
            id: "founding".into(),
            text: text.into(),
            from: from.into(),
            submitted_unix_s: unix_s,
            base_epoch: 0,
            restores_epoch: None,
        };
        policy_state.apply(&Entry::Propose(first));
        policy_state.apply(&Entry::Decide("founding".into(), Decision::InForce));
        policy_state
    }

    /// The outcome of a change; `None`: it has not ended, or its outcome was discarded.
    pub fn outcome(&self, id: &str) -> Option<&ProposalOutcome> {
        self.outcomes.iter().rev().find(|outcome| outcome.id == id)
    }

    /// The policy of an epoch; `None`: it is not kept any more, or the epoch has not begun.
    pub fn text_of(&self, epoch: u64) -> Option<&str> {
        if epoch == self.epoch {
            return Some(&self.text);
        }
        self.earlier_policies
            .iter()
            .find(|earlier| earlier.epoch == epoch)
            .map(|earlier| earlier.text.as_str())
    }

    /// The policies of earlier epochs that can be restored, the oldest first.
    pub fn earlier_policies(&self) -> Vec<EarlierPolicy> {
        self.earlier_policies.iter().cloned().collect()
    }

    /// Whether a change can begin now.
    ///
    /// # Errors
    /// Another change is pending, or the proposal is based on another epoch.
    pub fn check(&self, proposal: &Proposal) -> Result<(), ProposalConflict> {
        if let Some(other) = self.pending.as_ref().filter(|other| other.id != proposal.id) {
            return Err(ProposalConflict::ChangePending { id: other.id.clone() });
        }
        if proposal.base_epoch != 0 && proposal.base_epoch != self.epoch {
            let (base_epoch, in_force) = (proposal.base_epoch, self.epoch);
            return Err(ProposalConflict::BaseEpochNotInForce { base_epoch, in_force });
        }
        Ok(())
    }

    /// Applies an entry. One that does not fit the state, such as a repeated proposal, has no effect.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Propose(proposal) => {
                let is_known = self.outcome(&proposal.id).is_some()
                    || self.pending.as_ref().is_some_and(|pending| pending.id == proposal.id);
                if is_known {
                    return;
                }
                match self.check(proposal) {
                    Ok(()) => self.pending = Some(proposal.clone()),
                    Err(conflict) => {
                        let reason = conflict.to_string();
                        let rejection = Rejection { router: proposal.from.clone(), reason };
                        self.record_outcome(proposal, Decision::Dropped(vec![rejection]));
                    }
                }
            }
            Entry::Reconfigure(_) => {}
            Entry::Decide(id, decision) => {
                if self.pending.as_ref().is_none_or(|pending| pending.id != *id) {
                    return;
                }
                if let Some(proposal) = self.pending.take() {
                    self.record_outcome(&proposal, decision.clone());
                }
            }
        }
    }

    fn record_outcome(&mut self, proposal: &Proposal, decision: Decision) {
        let (epoch, rejections) = match decision {
            Decision::InForce => (Some(self.epoch + 1), Vec::new()),
            Decision::Dropped(rejections) => (None, rejections),
        };
        if let Some(epoch) = epoch {
            if self.epoch > 0 {
                let text = std::mem::take(&mut self.text);
                self.earlier_policies.push_back(EarlierPolicy { epoch: self.epoch, text });
            }
            while self.earlier_policies.len() > timing::MAX_KEPT_POLICIES {
                self.earlier_policies.pop_front();
            }
            self.epoch = epoch;
            self.text.clone_from(&proposal.text);
            self.digest = digest(&proposal.text);
        }
        self.outcomes.push_back(ProposalOutcome {
            id: proposal.id.clone(),
            from: proposal.from.clone(),
            submitted_unix_s: proposal.submitted_unix_s,
            digest: digest(&proposal.text),
            epoch,
            restores_epoch: proposal.restores_epoch,
            rejections,
        });
        while self.outcomes.len() > timing::MAX_OUTCOMES {
            self.outcomes.pop_front();
            self.forgotten += 1;
        }
    }

    /// The last outcomes, for routers that do not vote.
    pub fn recent_outcomes(&self) -> Vec<ProposalOutcome> {
        let skipped = self.outcomes.len().saturating_sub(timing::MAX_RECENT_OUTCOMES);
        self.outcomes.iter().skip(skipped).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
