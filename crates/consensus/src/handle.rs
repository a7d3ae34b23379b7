//! The interface between the consensus machine and the rest of the process: the permit to accept requests,
//! the status for operators, and their requests.

use crate::lease_holder::CompiledPolicy;
use crate::policy_state::{EarlierPolicy, Proposal, ProposalOutcome, Rejection};
use crate::timing;
use crate::wire::OperatorRequest;
use arc_swap::ArcSwap;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a router does while it has no valid lease, as operators configure it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionMode {
    /// It accepts no requests, so that two policies are never in force at once.
    #[default]
    Refuse,
    /// It continues under the last epoch that it knew, and learns of a change when the partition is over.
    Serve,
}

/// The permit under which a router accepts requests.
#[derive(Clone, Default)]
pub struct Permit {
    /// The epoch; 0: none is known yet.
    pub epoch: u64,
    /// When the lease on that epoch ends, on the process's clock.
    pub until: Duration,
    /// Its compiled policy.
    pub policy: Option<CompiledPolicy>,
    /// What the router does after the lease has ended.
    pub partition_mode: PartitionMode,
}

impl Permit {
    /// Whether a request may be accepted under this epoch at `now`.
    pub fn holds(&self, now: Duration) -> bool {
        self.policy.is_some() && (now < self.until || self.partition_mode == PartitionMode::Serve)
    }
}

/// A pending change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingChange {
    /// The id of the proposal.
    pub id: String,
    /// The routers that have not prepared it yet, as operators see them. While leases of an earlier leader
    /// may be valid, `(leases of the last leader)` is listed too. Empty if the change is known only from the
    /// log.
    pub waits_for: Vec<String>,
}

/// The status of a router, as operators see it.
#[derive(Clone, Debug, Default)]
pub struct RouterStatus {
    /// The name of the router.
    pub name: String,
    /// The epoch whose policy it applies; 0: none yet.
    pub epoch: u64,
    /// The digest of its policy.
    pub digest: u64,
    /// Its policy.
    pub text: String,
    /// The pending change.
    pub pending: Option<PendingChange>,
    /// The name of the leader, as far as this router knows.
    pub leader: Option<String>,
    /// The names of the voters.
    pub voters: Vec<String>,
    /// Whether this router votes.
    pub votes: bool,
    /// The outcomes of changes, the oldest first: all that are kept if it votes, the last few if not.
    pub outcomes: Vec<ProposalOutcome>,
    /// How many of the oldest outcomes were discarded because there were too many.
    pub forgotten: u64,
    /// The policies of earlier epochs that can be restored, the oldest first; empty if it does not vote.
    pub earlier_policies: Vec<EarlierPolicy>,
    /// Why it does not apply the policy in force, or does not vote.
    pub faults: Vec<String>,
}

/// The handle that the machine and the rest of the process share. Reading the permit and the status never
/// blocks.
#[derive(Default)]
pub struct PolicyHandle {
    epoch: AtomicU64,
    permit: ArcSwap<Permit>,
    status: ArcSwap<RouterStatus>,
    requests: Mutex<VecDeque<OperatorRequest>>,
}

impl std::fmt::Debug for PolicyHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PolicyHandle").field("status", &self.status.load()).finish_non_exhaustive()
    }
}

impl PolicyHandle {
    /// The current permit.
    pub fn permit(&self) -> Arc<Permit> {
        self.permit.load_full()
    }

    /// The epoch of the permit.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// The current status.
    pub fn status(&self) -> Arc<RouterStatus> {
        self.status.load_full()
    }

    /// Queues an operator's request for the machine. Returns false if too many are waiting or the request is
    /// too long.
    pub fn submit(&self, request: OperatorRequest) -> bool {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let is_queued =
            requests.iter().any(|queued| queued.deduplication_key() == request.deduplication_key());
        if is_queued {
            return true;
        }
        let accepted = requests.len() < timing::MAX_OPERATOR_REQUESTS && request.is_within_limits();
        if accepted {
            requests.push_back(request);
        }
        accepted
    }

    pub(crate) fn take_requests(&self) -> VecDeque<OperatorRequest> {
        std::mem::take(&mut *self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the permit. Called by the machine, and by tests that simulate a router.
    pub fn set_permit(&self, permit: Permit) {
        let epoch = permit.epoch;
        self.permit.store(Arc::new(permit));
        self.epoch.store(epoch, Ordering::Release);
    }

    pub(crate) fn set_status(&self, status: RouterStatus) {
        self.status.store(Arc::new(status));
    }
}

/// The status of a proposal, as far as this router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStatus {
    /// It is, or was, in force as this epoch.
    InForce(u64),
    /// It was not put in force, and never will be.
    Dropped(ProposalOutcome),
    /// It is pending, and waits for these routers.
    Pending(Vec<String>),
    /// This router does not know the proposal or its outcome.
    Unknown,
}

impl RouterStatus {
    /// The status of a proposal.
    pub fn proposal_status(&self, id: &str) -> ProposalStatus {
        if let Some(outcome) = self.outcomes.iter().rev().find(|outcome| outcome.id == id) {
            return match outcome.epoch {
                Some(epoch) => ProposalStatus::InForce(epoch),
                None => ProposalStatus::Dropped(outcome.clone()),
            };
        }
        match &self.pending {
            Some(change) if change.id == id => ProposalStatus::Pending(change.waits_for.clone()),
            _ => ProposalStatus::Unknown,
        }
    }

    /// The JSON that `policy status --json` prints. `serving`: whether requests are accepted now.
    pub fn status_json(&self, serving: bool) -> serde_json::Value {
        serde_json::json!({
            "name": self.name,
            "epoch": self.epoch,
            "digest": format!("{:016x}", self.digest),
            "serving": serving,
            "pending": self.pending.as_ref().map(|change| serde_json::json!({
                "id": change.id, "epoch": self.epoch + 1, "waits_for": change.waits_for})),
            "leader": self.leader,
            "voters": self.voters,
            "votes": self.votes,
            "trouble": self.faults,
        })
    }

    /// The JSON that `policy history --json` prints.
    pub fn history_json(&self) -> serde_json::Value {
        let outcomes: Vec<serde_json::Value> = self.outcomes.iter().map(outcome_json).collect();
        serde_json::json!({"outcomes": outcomes, "forgotten": self.forgotten, "whole": self.votes})
    }

    /// The JSON that `policy status ID --json` prints.
    pub fn proposal_json(&self, id: &str) -> serde_json::Value {
        match self.proposal_status(id) {
            ProposalStatus::InForce(epoch) => {
                serde_json::json!({"id": id, "outcome": "in force", "epoch": epoch})
            }
            ProposalStatus::Dropped(outcome) => outcome_json(&outcome),
            ProposalStatus::Pending(waits_for) => {
                serde_json::json!({"id": id, "outcome": "pending", "waits_for": waits_for})
            }
            ProposalStatus::Unknown => serde_json::json!({"id": id, "outcome": "unknown"}),
        }
    }

    /// A proposal that restores the policy of an epoch; `None`: that policy is not kept here. `unix_s`: the
    /// wall clock, seconds since 1970.
    pub fn rollback_proposal(&self, epoch: u64, id: String, unix_s: u64) -> Option<Proposal> {
        let text = if epoch == self.epoch {
            self.text.clone()
        } else {
            self.earlier_policies.iter().find(|earlier| earlier.epoch == epoch)?.text.clone()
        };
        Some(Proposal {
            id,
            text,
            from: self.name.clone(),
            submitted_unix_s: unix_s,
            base_epoch: 0,
            restores_epoch: Some(epoch),
        })
    }
}

fn outcome_json(outcome: &ProposalOutcome) -> serde_json::Value {
    let rejection_json =
        |rejection: &Rejection| serde_json::json!({"router": rejection.router, "why": rejection.reason});
    let rejections: Vec<serde_json::Value> = outcome.rejections.iter().map(rejection_json).collect();
    serde_json::json!({
        "id": outcome.id,
        "from": outcome.from,
        "when": outcome.submitted_unix_s,
        "digest": format!("{:016x}", outcome.digest),
        "outcome": if outcome.epoch.is_some() { "in force" } else { "dropped" },
        "epoch": outcome.epoch,
        "back_to": outcome.restores_epoch,
        "why": rejections,
    })
}
