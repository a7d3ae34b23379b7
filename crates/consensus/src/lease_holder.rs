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
use crate::wire::{Grant, LeaseRequest, StateVersion, Trial, TriedChange};
use std::any::Any;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// What a router builds from a policy; the process that hosts the router knows its type.
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
    /// Reads a policy and builds from it what requests are served by, without putting it in force.
    ///
    /// # Errors
    /// What is wrong with the policy on this router.
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

/// Questions that may be under way.
const MAX_OPEN_REQUESTS: usize = 256;

struct PreparedPolicy {
    id: String,
    text: String,
    digest: u64,
    compiled: Result<CompiledPolicy, InvalidPolicy>,
    /// The first question that said so: answers to earlier ones count no more.
    since: u64,
}

/// A request that the leader has not answered yet.
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

/// A router as one that holds a lease.
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
    /// The last question that was answered.
    last_answered: u64,
    next_request_at: Duration,
    /// Why the policy in force can't be taken here, if it can't.
    policy_error: Option<InvalidPolicy>,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// The epoch that the router acts by is another.
    pub epoch_changed: bool,
    /// A question is due at once.
    pub request_due: bool,
}

impl LeaseHolder {
    /// A router at its start: it knows no epoch.
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

    /// The epoch that it acts by; 0: none yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The policy of that epoch.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// What it made of it.
    pub fn policy(&self) -> Option<&CompiledPolicy> {
        self.policy.as_ref()
    }

    /// Until when that epoch is certain, on its own clock.
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

    /// Who votes, as the leader told.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// The state that the leader told of last: the configuration and the entries in it.
    pub fn version(&self) -> StateVersion {
        self.version
    }

    /// The change under way, and whom it waits for.
    pub fn pending_change(&self) -> Option<&PendingChange> {
        self.pending_change.as_ref()
    }

    /// How the last changes ended.
    pub fn recent_outcomes(&self) -> &[ProposalOutcome] {
        &self.recent_outcomes
    }

    /// Why the policy in force can't be taken here.
    pub fn policy_error(&self) -> Option<&InvalidPolicy> {
        self.policy_error.as_ref()
    }

    /// Whether the leader has not answered the last questions: another is to be asked.
    pub fn leader_is_silent(&self) -> bool {
        self.nonce > self.last_answered + 2
    }

    /// When the next question is due.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// The question, now.
    pub fn next_request(&mut self, now: Duration) -> LeaseRequest {
        self.nonce += 1;
        if let Some(tried) = self.prepared.as_mut().filter(|t| t.compiled.is_ok()) {
            if tried.since == 0 {
                tried.since = self.nonce;
                // Late answers to what was asked before must not bring a long lease back, now or after the trial.
                self.open_requests.clear();
            }
            // The long lease ends with this question, whether it is answered or not.
            self.until = self.until.min(now + timing::SHORT_LEASE);
        }
        self.open_requests.push_back(OpenRequest { nonce: self.nonce, sent_at: now });
        if self.open_requests.len() > MAX_OPEN_REQUESTS {
            self.open_requests.pop_front();
        }
        let short = self.prepared.as_ref().is_some_and(|t| t.compiled.is_ok());
        self.next_request_at = now
            + match () {
                () if short => timing::SHORT_RENEW_INTERVAL,
                () if now < self.until => timing::RENEW_INTERVAL,
                () => timing::SEEK_INTERVAL,
            };
        LeaseRequest {
            nonce: self.nonce,
            epoch: self.epoch,
            digest: self.digest,
            version: self.version,
            tried: self.prepared.as_ref().map(|t| TriedChange {
                id: t.id.clone(),
                rejection: t.compiled.as_ref().err().map(ToString::to_string),
            }),
            short_leases_since: self.prepared.as_ref().filter(|t| t.compiled.is_ok()).map_or(0, |t| t.since),
            released: false,
        }
    }

    /// It takes no requests any more; the leader is told, so that no change waits for its lease.
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

    /// Applies an answer of the leader. An answer of an earlier term or epoch changes nothing.
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
        self.prepare_change(now, grant.trial, &mut effect);
        if grant.epoch == self.epoch {
            self.extend_lease(now, grant.nonce, grant.lease_ms, effect);
        }
        effect
    }

    /// Compiles the policy of the change under way, once, and forgets that of a change which is over.
    fn prepare_change(&mut self, now: Duration, trial: Option<Trial>, effect: &mut GrantEffect) {
        // A change that the leader does not name any more is over: the long lease may come back.
        let id = trial.as_ref().map(|trial| &trial.id);
        if self.prepared.as_ref().is_some_and(|prepared| Some(&prepared.id) != id) {
            self.prepared = None;
        }
        if let Some(trial) = &trial {
            let known = self.prepared.as_ref().is_some_and(|prepared| prepared.id == trial.id);
            if let (false, Some(text)) = (known, &trial.text) {
                let compiled = self.compiler.compile(text);
                let (id, digest) = (trial.id.clone(), digest(text));
                self.prepared = Some(PreparedPolicy { id, text: text.clone(), digest, compiled, since: 0 });
                effect.request_due = true;
                self.next_request_at = now;
            }
        }
        self.pending_change = trial.map(|trial| PendingChange { id: trial.id, waits_for: trial.waits_for });
    }

    /// The lease counts from the moment at which the request was sent. Nothing counts that was granted before a prepared change shortened
    /// the lease.
    fn extend_lease(&mut self, now: Duration, nonce: u64, lease_ms: u32, effect: GrantEffect) {
        let open = self.open_requests.iter().find(|open| open.nonce == nonce);
        let Some(sent_at) = open.map(|open| open.sent_at) else { return };
        let counts = self.prepared.as_ref().is_none_or(|prepared| {
            prepared.compiled.is_err() || prepared.since != 0 && prepared.since <= nonce
        });
        if !counts {
            return;
        }
        self.until = self.until.max(sent_at + Duration::from_millis(u64::from(lease_ms)));
        if !effect.request_due && self.prepared.is_none() && now < self.until {
            self.next_request_at = self.next_request_at.max(sent_at + timing::RENEW_INTERVAL);
        }
    }

    /// Another epoch is in force: the policy that was tried for it, or the one that was sent along.
    fn enter_epoch(&mut self, epoch: u64, wanted: u64, sent: Option<String>, effect: &mut GrantEffect) {
        let tried = self.prepared.take().filter(|t| t.digest == wanted);
        let (text, made) = match (tried, sent) {
            (Some(tried), _) => (tried.text, tried.compiled),
            (None, Some(text)) if digest(&text) == wanted => {
                let made = self.compiler.compile(&text);
                (text, made)
            }
            // The next question tells the leader that the policy is missing here.
            _ => return effect.request_due = true,
        };
        // An epoch that is over holds here no more, even if the new one can't be taken.
        self.until = Duration::ZERO;
        match made {
            Ok(made) => {
                (self.epoch, self.digest, self.text) = (epoch, wanted, text);
                (self.policy, self.policy_error, effect.epoch_changed) = (Some(made), None, true);
            }
            Err(why) => self.policy_error = Some(why),
        }
    }
}

#[cfg(test)]
mod tests;
