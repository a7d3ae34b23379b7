//! Every router's side: by which epoch it may take requests, and until when that is certain.
//!
//! A router asks the leader and counts the answer from the moment at which it asked, on its own clock. Without a valid answer it can't know whether
//! its epoch still holds, and does not take requests by it. While a change is under way it tries the new policy, gives up its long lease for
//! one of [`timing::SHORT_LEASE`], and says both in one question: what was answered to earlier questions counts no more.

use crate::handle::PendingChange;
use crate::policy_state::{digest, ProposalOutcome};
use crate::timing;
use crate::voter::Term;
use crate::wire::{Grant, LeaseRequest, StateVersion, TriedChange};
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
    made: Option<CompiledPolicy>,
    until: Duration,
    term: Term,
    version: StateVersion,
    recent: Vec<ProposalOutcome>,
    leader: Option<String>,
    voters: Vec<String>,
    trial: Option<PendingChange>,
    tried: Option<PreparedPolicy>,
    asks: VecDeque<(u64, Duration)>,
    nonce: u64,
    /// The last question that was answered.
    answered: u64,
    next: Duration,
    /// Why the policy in force can't be taken here, if it can't.
    stuck: Option<InvalidPolicy>,
}

/// What an answer changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// The epoch that the router acts by is another.
    pub epoch: bool,
    /// A question is due at once.
    pub ask: bool,
}

impl LeaseHolder {
    /// A router at its start: it knows no epoch.
    pub fn new(compiler: Box<dyn PolicyCompiler>) -> LeaseHolder {
        LeaseHolder {
            compiler,
            epoch: 0,
            digest: 0,
            text: String::new(),
            made: None,
            until: Duration::ZERO,
            term: Term::default(),
            version: StateVersion::default(),
            recent: Vec::new(),
            leader: None,
            voters: Vec::new(),
            trial: None,
            tried: None,
            asks: VecDeque::new(),
            nonce: 0,
            answered: 0,
            next: Duration::ZERO,
            stuck: None,
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
    pub fn made(&self) -> Option<&CompiledPolicy> {
        self.made.as_ref()
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
    pub fn trial(&self) -> Option<&PendingChange> {
        self.trial.as_ref()
    }

    /// How the last changes ended.
    pub fn recent(&self) -> &[ProposalOutcome] {
        &self.recent
    }

    /// Why the policy in force can't be taken here.
    pub fn stuck(&self) -> Option<&InvalidPolicy> {
        self.stuck.as_ref()
    }

    /// Whether the leader has not answered the last questions: another is to be asked.
    pub fn is_lost(&self) -> bool {
        self.nonce > self.answered + 2
    }

    /// When the next question is due.
    pub fn due(&self) -> Duration {
        self.next
    }

    /// The question, now.
    pub fn ask(&mut self, now: Duration) -> LeaseRequest {
        self.nonce += 1;
        if let Some(tried) = self.tried.as_mut().filter(|t| t.compiled.is_ok()) {
            if tried.since == 0 {
                tried.since = self.nonce;
                // Late answers to what was asked before must not bring a long lease back, now or after the trial.
                self.asks.clear();
            }
            // The long lease ends with this question, whether it is answered or not.
            self.until = self.until.min(now + timing::SHORT_LEASE);
        }
        self.asks.push_back((self.nonce, now));
        if self.asks.len() > MAX_OPEN_REQUESTS {
            self.asks.pop_front();
        }
        let short = self.tried.as_ref().is_some_and(|t| t.compiled.is_ok());
        self.next = now
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
            tried: self.tried.as_ref().map(|t| TriedChange {
                id: t.id.clone(),
                rejection: t.compiled.as_ref().err().map(ToString::to_string),
            }),
            short_leases_since: self.tried.as_ref().filter(|t| t.compiled.is_ok()).map_or(0, |t| t.since),
            released: false,
        }
    }

    /// It takes no requests any more; the leader is told, so that no change waits for its lease.
    pub fn give_up(&mut self) -> LeaseRequest {
        self.nonce += 1;
        self.asks.clear();
        self.until = Duration::ZERO;
        LeaseRequest {
            nonce: self.nonce,
            epoch: self.epoch,
            digest: self.digest,
            released: true,
            ..LeaseRequest::default()
        }
    }

    /// Takes an answer.
    pub fn answer(&mut self, now: Duration, grant: Grant) -> GrantEffect {
        let mut came = GrantEffect::default();
        if grant.term < self.term || grant.epoch < self.epoch {
            return came; // Of a leader that was replaced, or late.
        }
        self.term = grant.term;
        self.leader = Some(grant.leader);
        self.voters = grant.voters;
        self.answered = self.answered.max(grant.nonce);
        if grant.version > self.version {
            if let Some(recent) = grant.recent {
                self.recent = recent;
                self.version = grant.version;
            }
        }
        if grant.epoch > self.epoch {
            self.move_on(grant.epoch, grant.digest, grant.text, &mut came);
        }
        // A trial that is no more the leader's is over: the long lease may come back.
        let id = grant.trial.as_ref().map(|t| &t.id);
        if self.tried.as_ref().is_some_and(|t| Some(&t.id) != id) {
            self.tried = None;
        }
        if let Some(trial) = &grant.trial {
            let known = self.tried.as_ref().is_some_and(|t| t.id == trial.id);
            if let (false, Some(text)) = (known, &trial.text) {
                let compiled = self.compiler.compile(text);
                let (id, digest) = (trial.id.clone(), digest(text));
                self.tried = Some(PreparedPolicy { id, text: text.clone(), digest, compiled, since: 0 });
                (came.ask, self.next) = (true, now);
            }
        }
        self.trial = grant.trial.map(|t| PendingChange { id: t.id, waits_for: t.waits_for });
        let asked = self.asks.iter().find(|(nonce, _)| *nonce == grant.nonce).map(|(_, at)| *at);
        let counts =
            self.tried.as_ref().is_none_or(|t| t.compiled.is_err() || t.since != 0 && t.since <= grant.nonce);
        if let (Some(asked), true, true) = (asked, counts, grant.epoch == self.epoch) {
            let lease = Duration::from_millis(u64::from(grant.lease_ms));
            self.until = self.until.max(asked + lease);
            if !came.ask && self.tried.is_none() && now < self.until {
                self.next = self.next.max(asked + timing::RENEW_INTERVAL);
            }
        }
        came
    }

    /// Another epoch is in force: the policy that was tried for it, or the one that was sent along.
    fn move_on(&mut self, epoch: u64, wanted: u64, sent: Option<String>, came: &mut GrantEffect) {
        let tried = self.tried.take().filter(|t| t.digest == wanted);
        let (text, made) = match (tried, sent) {
            (Some(tried), _) => (tried.text, tried.compiled),
            (None, Some(text)) if digest(&text) == wanted => {
                let made = self.compiler.compile(&text);
                (text, made)
            }
            // The next question tells the leader that the policy is missing here.
            _ => return came.ask = true,
        };
        // An epoch that is over holds here no more, even if the new one can't be taken.
        self.until = Duration::ZERO;
        match made {
            Ok(made) => {
                (self.epoch, self.digest, self.text) = (epoch, wanted, text);
                (self.made, self.stuck, came.epoch) = (Some(made), None, true);
            }
            Err(why) => self.stuck = Some(why),
        }
    }
}

#[cfg(test)]
mod tests;
