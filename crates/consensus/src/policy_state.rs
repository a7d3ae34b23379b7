//! What the voters agree on, as a value that entries are applied to: the policy in force, the change under way, and how each one ended.
//!
//! Every voter applies the same entries in the same order and comes to the same state. Nothing here knows of voters, leases or time.

use crate::timing;
use crate::voter_identity::VoterIdentity;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64;

/// A proposed change of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Makes the proposal idempotent: one that is sent twice counts once.
    pub id: String,
    /// The policy, in its canonical form.
    pub text: String,
    /// The router that it was handed to.
    pub from: String,
    /// What that router's wall clock said, seconds since 1970. Shown to operators, used for nothing.
    pub submitted_unix_s: u64,
    /// The epoch that must be in force; 0: any.
    pub base_epoch: u64,
    /// The epoch whose policy it restores, in a rollback.
    pub restores_epoch: Option<u64>,
}

/// Why a router can't take a policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Which router.
    pub router: String,
    /// Place, value and what was expected.
    pub reason: String,
}

/// How a change ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It is the policy from now on.
    InForce,
    /// It never was and never will be.
    Dropped(Vec<Rejection>),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A change is under way; every router is to try it.
    Propose(Proposal),
    /// The change of this id is decided.
    Decide(String, Decision),
    /// The configuration ends here, in favour of one of these; what stands behind it counts for nobody.
    Reconfigure(Vec<VoterIdentity>),
}

/// How a change ended, or that it has not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalOutcome {
    /// The proposal.
    pub id: String,
    /// The router that it was handed to.
    pub from: String,
    /// That router's wall clock, for people.
    pub submitted_unix_s: u64,
    /// Of the policy.
    pub digest: u64,
    /// The epoch that it became; `None`: dropped.
    pub epoch: Option<u64>,
    /// The epoch whose policy it brought back.
    pub restores_epoch: Option<u64>,
    /// Why it was dropped.
    pub rejections: Vec<Rejection>,
}

/// The state that entries are applied to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyState {
    /// The epoch in force; 0: none yet.
    pub epoch: u64,
    /// Of the policy in force.
    pub digest: u64,
    /// The policy in force.
    pub text: String,
    /// The change under way.
    pub pending: Option<Proposal>,
    /// How changes ended, the oldest first.
    pub outcomes: VecDeque<ProposalOutcome>,
    /// Outcomes that are not remembered any more.
    pub forgotten: u64,
    /// Policies of earlier epochs.
    texts: VecDeque<(u64, String)>,
}

/// Why a change can't begin. The text reaches operators as the reason of a rejection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalConflict {
    /// Another change is under way.
    #[error("change {id} is under way: expected one at a time")]
    ChangePending {
        /// The id of that change.
        id: String,
    },
    /// It was made on top of an epoch that is not in force.
    #[error("made for epoch {base_epoch}: expected {in_force}, which is in force")]
    OtherEpoch {
        /// The epoch on top of which it was made.
        base_epoch: u64,
        /// The epoch in force.
        in_force: u64,
    },
}

/// A policy's name by its content.
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

impl PolicyState {
    /// The first epoch, with the policy that the founders start with.
    pub fn founded(text: &str, from: &str, wall: u64) -> PolicyState {
        let mut policy_state = PolicyState::default();
        let first = Proposal {
            id: "founding".into(),
            text: text.into(),
            from: from.into(),
            submitted_unix_s: wall,
            base_epoch: 0,
            restores_epoch: None,
        };
        policy_state.apply(&Entry::Propose(first));
        policy_state.apply(&Entry::Decide("founding".into(), Decision::InForce));
        policy_state
    }

    /// How a change ended.
    pub fn outcome(&self, id: &str) -> Option<&ProposalOutcome> {
        self.outcomes.iter().rev().find(|o| o.id == id)
    }

    /// The policy of an epoch, if it is still kept.
    pub fn text_of(&self, epoch: u64) -> Option<&str> {
        if epoch == self.epoch {
            return Some(&self.text);
        }
        self.texts.iter().find(|(e, _)| *e == epoch).map(|(_, t)| t.as_str())
    }

    /// Policies of earlier epochs that can be brought back.
    pub fn kept_texts(&self) -> Vec<(u64, String)> {
        self.texts.iter().cloned().collect()
    }

    /// Whether a change can begin now.
    ///
    /// # Errors
    /// Why it can't.
    pub fn check(&self, proposal: &Proposal) -> Result<(), ProposalConflict> {
        if let Some(other) = self.pending.as_ref().filter(|other| other.id != proposal.id) {
            return Err(ProposalConflict::ChangePending { id: other.id.clone() });
        }
        if proposal.base_epoch != 0 && proposal.base_epoch != self.epoch {
            let (base_epoch, in_force) = (proposal.base_epoch, self.epoch);
            return Err(ProposalConflict::OtherEpoch { base_epoch, in_force });
        }
        Ok(())
    }

    /// Takes one step.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Propose(proposal) => {
                let known = self.outcome(&proposal.id).is_some()
                    || self.pending.as_ref().is_some_and(|p| p.id == proposal.id);
                if known {
                    return;
                }
                match self.check(proposal) {
                    Ok(()) => self.pending = Some(proposal.clone()),
                    Err(conflict) => {
                        let reason = conflict.to_string();
                        let rejection = Rejection { router: proposal.from.clone(), reason };
                        self.end(proposal, Decision::Dropped(vec![rejection]));
                    }
                }
            }
            Entry::Reconfigure(_) => {}
            Entry::Decide(id, decision) => {
                if self.pending.as_ref().is_none_or(|p| p.id != *id) {
                    return;
                }
                if let Some(proposal) = self.pending.take() {
                    self.end(&proposal, decision.clone());
                }
            }
        }
    }

    fn end(&mut self, proposal: &Proposal, decision: Decision) {
        let (epoch, rejections) = match decision {
            Decision::InForce => (Some(self.epoch + 1), Vec::new()),
            Decision::Dropped(rejections) => (None, rejections),
        };
        if let Some(epoch) = epoch {
            if self.epoch > 0 {
                self.texts.push_back((self.epoch, std::mem::take(&mut self.text)));
            }
            while self.texts.len() > timing::MAX_KEPT_POLICIES {
                self.texts.pop_front();
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

    /// The last outcomes, for those who don't keep the policy state.
    pub fn recent(&self) -> Vec<ProposalOutcome> {
        let from = self.outcomes.len().saturating_sub(timing::RECENT_OUTCOMES);
        self.outcomes.iter().skip(from).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
