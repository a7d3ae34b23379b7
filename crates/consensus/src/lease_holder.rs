//! The lease of one router: by which epoch it may take requests, and until when.
//!
//! A router requests leases from the leader. A granted lease counts from the moment at which the request was sent, on the router's own clock.
//! Without a valid lease the router can't know whether its epoch still holds, and takes no requests by it. While a change is under way the
//! router compiles the new policy, gives up its long lease for one of [`timing::SHORT_LEASE`], and reports both in one request: grants for
//! earlier requests do not count any more.

use crate::handle::PendingChange;
use crate::policy_state::{digest, ProposalOutcome};
use crate::timing;
use crate::voter::Term;
use crate::wire::{Grant, LeaseRequest, PrepareRequest, PrepareResponse, StateVersion};
use std::any::Any;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// A compiled policy; the process that hosts the router knows its type.
pub type CompiledPolicy = Arc<dyn Any + Send + Sync>;

/// Why a router can't act by a policy. Its text is sent to the leader and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidPolicy(String);

impl InvalidPolicy {
    /// `reason`: place, value and what was expected.
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

/// Requests without an answer after which the leader counts as silent.
const MAX_UNANSWERED_REQUESTS: u64 = 2;
/// Requests that are kept for answers to them; the oldest give way.
const MAX_OPEN_REQUESTS: usize = 256;

/// The policy of the change under way.
struct PreparedPolicy {
    id: String,
    text: String,
    digest: u64,
    compiled: Result<CompiledPolicy, InvalidPolicy>,
    /// The first request that reported it; `None`: none has yet. Grants for earlier requests do not count any more.
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

/// A request that an answer may still refer to. One is kept after its first answer, as the leader may answer it again when a
/// change takes hold; the oldest give way at the bound.
struct OpenRequest {
    nonce: u64,
    /// A lease that is granted for it counts from this moment.
    sent_at: Duration,
}

/// The right to take requests by an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The epoch; 0: none is known yet.
    pub epoch: u64,
    /// When the lease ends, on the router's own clock.
    pub until: Duration,
}

/// The state machine by which a router requests leases and acts by the epoch that they are for.
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
    nonce: u64,
    /// The number of the last request that was answered.
    last_answered: u64,
    next_request_at: Duration,
    /// Why the policy in force can't be compiled here.
    policy_error: Option<InvalidPolicy>,
}

/// What a grant changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// The router acts by another epoch now.
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
            nonce: 0,
            last_answered: 0,
            next_request_at: Duration::ZERO,
            policy_error: None,
        }
    }

    /// The epoch by which it acts; 0: none yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The policy of that epoch.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The compiled policy of that epoch.
    pub fn policy(&self) -> Option<&CompiledPolicy> {
        self.policy.as_ref()
    }

    /// When its lease on that epoch ends, on its own clock.
    pub fn until(&self) -> Duration {
        self.until
    }

    /// The lease that it holds or held last.
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

    /// The change under way.
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

    /// Whether the leader has not answered the last requests, so that another router is to be asked.
    pub fn leader_is_silent(&self) -> bool {
        self.nonce > self.last_answered + MAX_UNANSWERED_REQUESTS
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// The request to send now. It reports the prepared change, if there is one, and then gives up the long lease.
    pub fn next_request(&mut self, now: Duration) -> LeaseRequest {
        self.nonce += 1;
        self.shorten_lease_for_change(now);
        self.open_requests.push_back(OpenRequest { nonce: self.nonce, sent_at: now });
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        self.next_request_at = now + self.request_interval(now);
        let accepted = self.prepared.as_ref().filter(|prepared| prepared.is_accepted());
        LeaseRequest {
            nonce: self.nonce,
            epoch: self.epoch,
            digest: self.digest,
            version: self.version,
            prepare_response: self.prepared.as_ref().map(PreparedPolicy::response),
            short_leases_since: accepted.and_then(|prepared| prepared.first_reported).unwrap_or(0),
            released: false,
        }
    }

    /// While a change is prepared, the long lease ends with the next request, whether that is answered or not.
    fn shorten_lease_for_change(&mut self, now: Duration) {
        let Some(prepared) = self.prepared.as_mut().filter(|prepared| prepared.is_accepted()) else { return };
        if prepared.first_reported.is_none() {
            prepared.first_reported = Some(self.nonce);
            // Late grants for earlier requests must not bring a long lease back, neither now nor after the change.
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
            timing::SEEK_INTERVAL
        }
    }

    /// Gives up the lease. The request tells the leader, so that no change waits for this router.
    pub fn release(&mut self) -> LeaseRequest {
        self.nonce += 1;
        self.open_requests.clear();
        self.until = Duration::ZERO;
        LeaseRequest {
            nonce: self.nonce,
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

    /// Compiles the policy of the change under way, once, and forgets that of a change which is over.
    fn prepare_change(&mut self, now: Duration, request: Option<PrepareRequest>, effect: &mut GrantEffect) {
        // A change that the leader does not name any more is over: the long lease may come back.
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
        let known = self.prepared.as_ref().is_some_and(|prepared| prepared.id == request.id);
        let (false, Some(text)) = (known, &request.text) else { return };
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

    /// The lease counts from the moment at which the request was sent. Nothing counts that was granted before a prepared change shortened
    /// the lease.
    fn extend_lease(&mut self, now: Duration, nonce: u64, lease_ms: u32, effect: GrantEffect) {
        let open = self.open_requests.iter().find(|open| open.nonce == nonce);
        let Some(sent_at) = open.map(|open| open.sent_at) else { return };
        let counts = self.prepared.as_ref().is_none_or(|prepared| {
            !prepared.is_accepted() || prepared.first_reported.is_some_and(|first| first <= nonce)
        });
        if !counts {
            return;
        }
        self.until = self.until.max(sent_at + Duration::from_millis(u64::from(lease_ms)));
        if !effect.request_due && self.prepared.is_none() && now < self.until {
            self.next_request_at = self.next_request_at.max(sent_at + timing::RENEW_INTERVAL);
        }
    }

    /// Another epoch is in force: enters it with the policy that was prepared for it, or with the one that came with the grant.
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
            // The next request tells the leader that the policy is missing here.
            _ => return effect.request_due = true,
        };
        // The lease on the earlier epoch is over, even if the policy of the new one can't be compiled.
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
