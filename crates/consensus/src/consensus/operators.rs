//! Forwards operators' requests to the leader.

use super::Consensus;
use crate::timing;
use crate::wire::{Body, OperatorRequest};
use slipreel_state_machine::Output;
use std::time::Duration;

/// An operator's request that the leader is not yet known to have accepted.
pub(super) struct PendingRequest {
    request: OperatorRequest,
    received_at: Duration,
    /// When it was last sent to the leader.
    sent_at: Option<Duration>,
}

impl PendingRequest {
    fn has_expired(&self, now: Duration) -> bool {
        now >= self.received_at + timing::OPERATOR_REQUEST_TIMEOUT
    }

    fn is_due(&self, now: Duration) -> bool {
        self.sent_at.is_none_or(|at| now >= at + timing::OPERATOR_REQUEST_RETRY)
    }
}

impl Consensus {
    /// Sends each operator's request to the leader until it expires or is known to be pending or completed.
    pub(super) fn forward_operator_requests(&mut self, now: Duration, out: &mut Vec<Output>) {
        for request in self.publisher.take_requests() {
            self.operator_requests.push(PendingRequest { request, received_at: now, sent_at: None });
        }
        let mut requests = std::mem::take(&mut self.operator_requests);
        requests.retain(|pending| !pending.has_expired(now) && !self.is_done(&pending.request));
        for pending in requests.iter_mut().filter(|pending| pending.is_due(now)) {
            if self.leads() {
                pending.sent_at = Some(now);
                self.leadership.queue_request(pending.request.clone());
            } else if let Some(to) = self.lease_request_target() {
                pending.sent_at = Some(now);
                self.send(now, &to, Body::OperatorRequest(pending.request.clone()), out);
            }
        }
        self.operator_requests = requests;
    }

    /// Whether the leader is known to have accepted a proposal, or to have replaced a voter as requested.
    fn is_done(&self, request: &OperatorRequest) -> bool {
        match request {
            OperatorRequest::Propose(proposal) => self.knows_proposal(&proposal.id),
            OperatorRequest::Replace { old, .. } => {
                let voters = self.lease_holder.voters();
                !voters.is_empty() && !voters.contains(old)
            }
        }
    }

    fn knows_proposal(&self, id: &str) -> bool {
        let known_from_grants = self.lease_holder.recent_outcomes().iter().any(|outcome| outcome.id == id)
            || self.lease_holder.pending_change().is_some_and(|change| change.id == id);
        known_from_grants
            || self.policy_state().is_some_and(|state| {
                state.outcome(id).is_some() || state.pending.as_ref().is_some_and(|pending| pending.id == id)
            })
    }
}
