//! Where the machine and the rest of the process meet: by what a request may be taken, what operators see, what they say.

use crate::lease_holder::CompiledPolicy;
use crate::policy_state::{Proposal, ProposalOutcome};
use crate::timing;
use crate::wire::OperatorRequest;
use arc_swap::ArcSwap;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a router does that can't know whether its epoch still holds, as operators chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionMode {
    /// It takes no requests: two policies are never in force at once.
    #[default]
    Refuse,
    /// It goes on by the last epoch that it knew to hold, and learns of a change when the cut is over.
    Serve,
}

/// By what a request may be taken now.
#[derive(Clone, Default)]
pub struct Permit {
    /// The epoch; 0: none is known yet.
    pub epoch: u64,
    /// Until when it is certain, on the process's clock.
    pub until: Duration,
    /// What was made of its policy.
    pub policy: Option<CompiledPolicy>,
    /// What holds without certainty.
    pub partition_mode: PartitionMode,
}

impl Permit {
    /// Whether a request may be taken by this epoch at `now`.
    pub fn holds(&self, now: Duration) -> bool {
        self.policy.is_some() && (now < self.until || self.partition_mode == PartitionMode::Serve)
    }
}

/// A change under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingChange {
    /// The proposal's id.
    pub id: String,
    /// The routers that have not prepared it yet.
    pub waits_for: Vec<String>,
}

/// What operators see.
#[derive(Clone, Debug, Default)]
pub struct RouterStatus {
    /// This router.
    pub name: String,
    /// The epoch that it acts by.
    pub epoch: u64,
    /// Of its policy.
    pub digest: u64,
    /// Its policy.
    pub text: String,
    /// The change under way, and whom it waits for.
    pub pending: Option<PendingChange>,
    /// Who leads the voters, as far as this router knows.
    pub leader: Option<String>,
    /// Who votes.
    pub voters: Vec<String>,
    /// Whether this router votes.
    pub votes: bool,
    /// How changes ended: all that are remembered if it votes, the last few if not.
    pub outcomes: Vec<ProposalOutcome>,
    /// Outcomes that are forgotten.
    pub forgotten: u64,
    /// Policies that can be brought back, by epoch.
    pub texts: Vec<(u64, String)>,
    /// Why it does not act by the epoch in force, or does not vote.
    pub faults: Vec<String>,
}

/// Readers never wait for the writer.
#[derive(Default)]
pub struct PolicyHandle {
    epoch: AtomicU64,
    permit: ArcSwap<Permit>,
    shown: ArcSwap<RouterStatus>,
    requests: Mutex<VecDeque<OperatorRequest>>,
}

impl std::fmt::Debug for PolicyHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PolicyHandle").field("shown", &self.shown.load()).finish_non_exhaustive()
    }
}

impl PolicyHandle {
    /// By what a request may be taken.
    pub fn permit(&self) -> Arc<Permit> {
        self.permit.load_full()
    }

    /// The epoch of the permit.
    pub fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// What operators see.
    pub fn status(&self) -> Arc<RouterStatus> {
        self.shown.load_full()
    }

    /// Queues an operator's request for the machine. False if too many wait, or if it is too long.
    pub fn submit(&self, request: OperatorRequest) -> bool {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let known = requests.iter().any(|w| w.key() == request.key());
        let room = known || requests.len() < timing::MAX_OPERATOR_REQUESTS && request.fits();
        if room && !known {
            requests.push_back(request);
        }
        room
    }

    pub(crate) fn take_requests(&self) -> VecDeque<OperatorRequest> {
        std::mem::take(&mut *self.requests.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets by what requests are taken from now on. The machine calls it, and so do tests that simulate a router.
    pub fn set_permit(&self, permit: Permit) {
        let epoch = permit.epoch;
        self.permit.store(Arc::new(permit));
        self.epoch.store(epoch, Ordering::Release);
    }

    pub(crate) fn set_status(&self, shown: RouterStatus) {
        self.shown.store(Arc::new(shown));
    }
}

/// How a proposal stands, as this router knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStatus {
    /// It is, or was, in force as this epoch.
    InForce(u64),
    /// It never will be.
    Dropped(ProposalOutcome),
    /// It is under way.
    Pending(Vec<String>),
    /// This router can't tell.
    Unknown,
}

impl RouterStatus {
    /// How a proposal stands.
    pub fn proposal_status(&self, id: &str) -> ProposalStatus {
        if let Some(outcome) = self.outcomes.iter().rev().find(|o| o.id == id) {
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

    /// The text that `policy status --json` prints. `holds`: requests are taken now.
    pub fn status_json(&self, holds: bool) -> serde_json::Value {
        serde_json::json!({
            "name": self.name,
            "epoch": self.epoch,
            "digest": format!("{:016x}", self.digest),
            "serving": holds,
            "pending": self.pending.as_ref().map(|change| serde_json::json!({
                "id": change.id, "epoch": self.epoch + 1, "waits_for": change.waits_for})),
            "leader": self.leader,
            "voters": self.voters,
            "votes": self.votes,
            "trouble": self.faults,
        })
    }

    /// The text that `policy history --json` prints.
    pub fn history_json(&self) -> serde_json::Value {
        let outcomes: Vec<serde_json::Value> = self.outcomes.iter().map(outcome_json).collect();
        serde_json::json!({"outcomes": outcomes, "forgotten": self.forgotten, "whole": self.votes})
    }

    /// The text that `policy status ID --json` prints.
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

    /// A change back to the policy of an earlier epoch; `None`: it is not kept here.
    pub fn rollback_proposal(&self, epoch: u64, id: String, wall: u64) -> Option<Proposal> {
        let text = match epoch {
            e if e == self.epoch => self.text.clone(),
            e => self.texts.iter().find(|(kept, _)| *kept == e)?.1.clone(),
        };
        Some(Proposal {
            id,
            text,
            from: self.name.clone(),
            submitted_unix_s: wall,
            base_epoch: 0,
            restores_epoch: Some(epoch),
        })
    }
}

fn outcome_json(o: &ProposalOutcome) -> serde_json::Value {
    let rejections: Vec<serde_json::Value> =
        o.rejections.iter().map(|n| serde_json::json!({"router": n.router, "why": n.reason})).collect();
    serde_json::json!({
        "id": o.id,
        "from": o.from,
        "when": o.submitted_unix_s,
        "digest": format!("{:016x}", o.digest),
        "outcome": if o.epoch.is_some() { "in force" } else { "dropped" },
        "epoch": o.epoch,
        "back_to": o.restores_epoch,
        "why": rejections,
    })
}
