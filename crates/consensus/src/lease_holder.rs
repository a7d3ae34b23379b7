//! The lease of one router: the epoch under which it may accept requests, and until when.
//!
//! A router requests leases from the leader. A granted lease starts at the time at which the request was
//! sent, on the router's own clock. Without a valid lease the router can't know whether its epoch is still in
//! force, and accepts no requests under it. While a change is pending, the router compiles the new policy,
//! replaces its long lease by one of [`timing::SHORT_LEASE`], and reports both in one request. Grants for
//! earlier requests are ignored from then on.

use crate::handle::PendingChange;
use crate::policy_state::{digest, ProposalOutcome};
use crate::timing;
use crate::voter::Term;
use crate::wire::{Grant, LeaseRequest, PrepareRequest, PrepareResponse, StateVersion};
use std::any::Any;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// A compiled policy. Only the process that hosts the router knows its type.
pub type CompiledPolicy = Arc<dyn Any + Send + Sync>;

/// Why a router can't apply a policy. The text is sent to the leader and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidPolicy(String);

impl InvalidPolicy {
    /// `reason`: position, value and what was expected.
    pub fn new(reason: impl Into<String>) -> InvalidPolicy {
        InvalidPolicy(reason.into())
    }
}

/// Compiles policies; the process that hosts the router implements it, for example as a closure.
pub trait PolicyCompiler: Send {
    /// Compiles a policy without putting it in force.
    ///
    /// # Errors
    /// The policy can't be put in force on this router.
    fn compile(&mut self, text: &str) -> Result<CompiledPolicy, InvalidPolicy>;
}

impl<F> PolicyCompiler for F
where
    F: FnMut(&str) -> Result<CompiledPolicy, InvalidPolicy> + Send,
{
    fn compile(&mut self, text: &str) -> Result<CompiledPolicy, InvalidPolicy> {
        self(text)
    }
}

/// The most requests without an answer before the leader counts as silent.
const MAX_UNANSWERED_REQUESTS: u64 = 2;
/// The most requests that are kept to be matched with answers; the oldest are discarded.
const MAX_OPEN_REQUESTS: usize = 256;

/// The policy of the pending change.
struct PreparedPolicy {
    id: String,
    text: String,
    digest: u64,
    compiled: Result<CompiledPolicy, InvalidPolicy>,
    /// The number of the first request that reported it; `None`: none has yet. Grants for earlier requests
    /// are ignored.
    first_reported: Option<u64>,
}

impl PreparedPolicy {
    fn is_accepted(&self) -> bool {
        self.compiled.is_ok()
    }

    fn response(&self) -> PrepareResponse {
        let rejection = self.compiled.as_ref().err().map(ToString::to_string);
        PrepareResponse { id: self.id.clone(), rejection }
    }
}

/// A request that a grant may still answer. It is kept after its first answer, as the leader may answer it
/// again when a change comes into force; above the limit, the oldest requests are discarded.
struct OpenRequest {
    nonce: u64,
    /// A lease that is granted for it starts at this time.
    sent_at: Duration,
}

/// The right to accept requests under an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The epoch; 0: none is known yet.
    pub epoch: u64,
    /// When the lease ends, on the router's own clock.
    pub until: Duration,
}

/// The state machine that requests a router's leases and applies the policy of the leased epoch.
pub struct LeaseHolder {
    compiler: Box<dyn PolicyCompiler>,
    epoch: u64,
    digest: u64,
    text: String,
    policy: Option<CompiledPolicy>,
    until: Duration,
    term: Term,
    version: StateVersion,
    recent_outcomes: Vec<ProposalOutcome>,
    leader: Option<String>,
    voters: Vec<String>,
    pending_change: Option<PendingChange>,
    prepared: Option<PreparedPolicy>,
    open_requests: VecDeque<OpenRequest>,
    last_nonce: u64,
    /// The number of the last request that was answered.
    last_answered: u64,
    next_request_at: Duration,
    /// Why the policy in force can't be compiled here.
    policy_error: Option<InvalidPolicy>,
}

/// The effects of a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// The router has entered another epoch.
    pub epoch_changed: bool,
    /// A request is due at once.
    pub request_due: bool,
}

impl LeaseHolder {
    /// The state of a router at its start: it knows no epoch.
    pub fn new(compiler: Box<dyn PolicyCompiler>) -> LeaseHolder {
        LeaseHolder {
            compiler,
            epoch: 0,
            digest: 0,
            text: String::new(),
            policy: None,
            until: Duration::ZERO,
            term: Term::default(),
            version: StateVersion::default(),
            recent_outcomes: Vec::new(),
            leader: None,
            voters: Vec::new(),
            pending_change: None,
            prepared: None,
            open_requests: VecDeque::new(),
            last_nonce: 0,
            last_answered: 0,
            next_request_at: Duration::ZERO,
            policy_error: None,
        }
    }

    /// The epoch whose policy the router applies; 0: none yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The policy of the epoch that the router is in.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The compiled policy of the epoch that the router is in.
    pub fn policy(&self) -> Option<&CompiledPolicy> {
        self.policy.as_ref()
    }

    /// When the router's lease on its epoch ends, on its own clock.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// The lease that the router holds or held last.
    pub fn lease(&self) -> Lease {
        Lease { epoch: self.epoch, until: self.until }
    }

    /// The leader that answered last.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// The names of the voters, as the leader reported them.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// The version of the state that the leader reported last.
    pub fn version(&self) -> StateVersion {
        self.version
    }

    /// The pending change.
    pub fn pending_change(&self) -> Option<&PendingChange> {
        self.pending_change.as_ref()
    }

    /// The outcomes of the last changes.
    pub fn recent_outcomes(&self) -> &[ProposalOutcome] {
        &self.recent_outcomes
    }

    /// Why the policy in force can't be compiled here.
    pub fn policy_error(&self) -> Option<&InvalidPolicy> {
        self.policy_error.as_ref()
    }

    /// Whether the leader has not answered the last requests, so that another router must be asked.
    pub fn leader_is_silent(&self) -> bool {
        self.last_nonce > self.last_answered + MAX_UNANSWERED_REQUESTS
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// Creates the request to send now. If a change is prepared, the request reports it and the long lease is
    /// given up.
    pub fn next_request(&mut self, now: Duration) -> LeaseRequest {
        self.last_nonce += 1;
        self.shorten_lease_for_change(now);
        self.open_requests.push_back(OpenRequest { nonce: self.last_nonce, sent_at: now });
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        self.next_request_at = now + self.request_interval(now);
        let accepted = self.prepared.as_ref().filter(|prepared| prepared.is_accepted());
        LeaseRequest {
            nonce: self.last_nonce,
            epoch: self.epoch,
            digest: self.digest,
            version: self.version,
            prepare_response: self.prepared.as_ref().map(PreparedPolicy::response),
            short_leases_since: accepted.and_then(|prepared| prepared.first_reported).unwrap_or(0),
            released: false,
        }
    }

    /// While a change is prepared, the long lease ends with the next request, whether or not that is
    /// answered.
    fn shorten_lease_for_change(&mut self, now: Duration) {
        let Some(prepared) = self.prepared.as_mut().filter(|prepared| prepared.is_accepted()) else { return };
        if prepared.first_reported.is_none() {
            prepared.first_reported = Some(self.last_nonce);
            // Late grants for earlier requests must not restore a long lease, neither now nor after the
            // change.
            self.open_requests.clear();
        }
        self.until = self.until.min(now + timing::SHORT_LEASE);
    }

    fn request_interval(&self, now: Duration) -> Duration {
        if self.prepared.as_ref().is_some_and(PreparedPolicy::is_accepted) {
            timing::SHORT_RENEW_INTERVAL
        } else if now < self.until {
            timing::RENEW_INTERVAL
        } else {
            timing::ACQUIRE_INTERVAL
        }
    }

    /// Gives up the lease. Returns the request that informs the leader, so that no change waits for this
    /// router.
    pub fn release(&mut self) -> LeaseRequest {
        self.last_nonce += 1;
        self.open_requests.clear();
        self.until = Duration::ZERO;
        LeaseRequest {
            nonce: self.last_nonce,
            epoch: self.epoch,
            digest: self.digest,
            released: true,
            ..LeaseRequest::default()
        }
    }

    /// Applies a grant of the leader. One of an earlier term or epoch has no effect.
    pub fn apply_grant(&mut self, now: Duration, grant: Grant) -> GrantEffect {
        let mut effect = GrantEffect::default();
        if grant.term < self.term || grant.epoch < self.epoch {
            return effect;
        }
        self.term = grant.term;
        self.leader = Some(grant.leader);
        self.voters = grant.voters;
        self.last_answered = self.last_answered.max(grant.nonce);
        if grant.version > self.version {
            if let Some(recent) = grant.recent {
                self.recent_outcomes = recent;
                self.version = grant.version;
            }
        }
        if grant.epoch > self.epoch {
            self.enter_epoch(grant.epoch, grant.digest, grant.text, &mut effect);
        }
        self.prepare_change(now, grant.prepare_request, &mut effect);
        if grant.epoch == self.epoch {
            self.extend_lease(now, grant.nonce, grant.lease_ms, effect);
        }
        effect
    }

    /// Compiles the policy of the pending change, once, and discards that of a change that is over.
    fn prepare_change(&mut self, now: Duration, request: Option<PrepareRequest>, effect: &mut GrantEffect) {
        // A change that the leader does not report any more is over, and long leases are permitted again.
        let id = request.as_ref().map(|request| &request.id);
        if self.prepared.as_ref().is_some_and(|prepared| Some(&prepared.id) != id) {
            self.prepared = None;
        }
        if let Some(request) = &request {
            self.compile_change(now, request, effect);
        }
        self.pending_change =
            request.map(|request| PendingChange { id: request.id, waits_for: request.waits_for });
    }

    fn compile_change(&mut self, now: Duration, request: &PrepareRequest, effect: &mut GrantEffect) {
        let is_prepared = self.prepared.as_ref().is_some_and(|prepared| prepared.id == request.id);
        let (false, Some(text)) = (is_prepared, &request.text) else { return };
        self.prepared = Some(PreparedPolicy {
            id: request.id.clone(),
            text: text.clone(),
            digest: digest(text),
            compiled: self.compiler.compile(text),
            first_reported: None,
        });
        effect.request_due = true;
        self.next_request_at = now;
    }

    /// Extends the lease, counted from the time at which the request was sent. While a compiled change is
    /// prepared, only grants for requests that reported it count: an earlier one may be for a long lease.
    fn extend_lease(&mut self, now: Duration, nonce: u64, lease_ms: u32, effect: GrantEffect) {
        let open = self.open_requests.iter().find(|open| open.nonce == nonce);
        let Some(sent_at) = open.map(|open| open.sent_at) else { return };
        let is_valid = self.prepared.as_ref().is_none_or(|prepared| {
            !prepared.is_accepted() || prepared.first_reported.is_some_and(|first| first <= nonce)
        });
        if !is_valid {
            return;
        }
        self.until = self.until.max(sent_at + Duration::from_millis(u64::from(lease_ms)));
        if !effect.request_due && self.prepared.is_none() && now < self.until {
            self.next_request_at = self.next_request_at.max(sent_at + timing::RENEW_INTERVAL);
        }
    }

    /// Enters another epoch that is in force, with the policy that was prepared for it, or with the one that
    /// came with the grant.
    fn enter_epoch(
        &mut self, epoch: u64, new_digest: u64, granted_text: Option<String>, effect: &mut GrantEffect,
    ) {
        let prepared = self.prepared.take().filter(|prepared| prepared.digest == new_digest);
        let (text, compiled) = match (prepared, granted_text) {
            (Some(prepared), _) => (prepared.text, prepared.compiled),
            (None, Some(text)) if digest(&text) == new_digest => {
                let compiled = self.compiler.compile(&text);
                (text, compiled)
            }
            // The digest in the next request informs the leader that the policy is missing here.
            _ => return effect.request_due = true,
        };
        // The lease on the earlier epoch ends, even if the policy of the new one can't be compiled.
        self.until = Duration::ZERO;
        match compiled {
            Ok(policy) => {
                self.epoch = epoch;
                self.digest = new_digest;
                self.text = text;
                self.policy = Some(policy);
                self.policy_error = None;
                effect.epoch_changed = true;
            }
            Err(error) => self.policy_error = Some(error),
        }
    }
}

#[cfg(test)]
mod tests;
