//! The leader's side: who holds a lease, when a change may be decided, and how.
//!
//! A leader grants a lease only after a majority of the voters has confirmed that it led when the request was there. It puts a change in
//! force when every router that may still act by the old epoch has tried the new policy and holds no more than a short lease. What leases an
//! earlier leader gave it can't know: it waits as long as the longest of them.

use crate::policy_state::{Decision, Entry, PolicyState, Proposal, Rejection};
use crate::reconfiguration::{self, LiveRouter, VoterReplacement};
use crate::timing;
use crate::voter::{Term, Voter};
use crate::voter_identity::VoterIdentity;
use crate::wire::{Grant, LeaseRequest, OperatorRequest, Peer, Trial};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Routers that may hold a lease; further ones are not answered.
const MAX_HOLDERS: usize = 4_096;

struct HolderRecord {
    /// Since when it has held leases without a gap.
    since: Duration,
    last_request_at: Duration,
    /// Until when it may hold one, on the leader's clock.
    until: Duration,
    request: LeaseRequest,
    /// The last question that was answered with a long lease.
    last_long_grant: u64,
    /// The voter that hands its questions on.
    forwarder: Option<String>,
}

impl HolderRecord {
    /// Whether it has tried a change and holds no more than a short lease.
    fn is_prepared(&self, id: &str) -> bool {
        has_tried(&self.request, id) && self.last_long_grant < self.request.short_leases_since
    }
}

/// Routers whose requests wait for a majority to confirm.
type Waiting = BTreeSet<Peer>;

/// What all routers are told at once when it changes.
#[derive(Default, PartialEq, Eq)]
struct Announcement {
    epoch: u64,
    /// The change under way, once it can be decided.
    pending_id: Option<String>,
}

/// A change that waits to be decided.
struct WaitingChange {
    id: String,
    since: Duration,
}

/// What a leader keeps.
#[derive(Default)]
pub struct Leadership {
    term: Term,
    /// Since when it has led with all that it holds decided.
    leading_since: Option<Duration>,
    holders: BTreeMap<Peer, HolderRecord>,
    waiting: Waiting,
    confirming: Waiting,
    requests: Vec<OperatorRequest>,
    /// The change that is being settled.
    deciding: Option<String>,
    waiting_change: Option<WaitingChange>,
    reconfigured_at: Duration,
    /// What the last grants told all routers.
    announced: Announcement,
    /// Entries that were applied then.
    announced_at: usize,
}

/// A grant, and where it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedGrant {
    /// The router that asked.
    pub peer: Peer,
    /// The voter that forwarded the request; `None`: it came directly.
    pub forwarder: Option<String>,
    /// The answer.
    pub grant: Grant,
}

/// What a leader wants of the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// This entry.
    Append(Entry),
    /// A configuration of these.
    Reconfigure(Vec<VoterIdentity>),
}

impl Leadership {
    /// Begins anew if another term has begun; nothing of an earlier one counts.
    pub fn sync_term(&mut self, now: Duration, voter: &Voter) -> bool {
        let leads = voter.leads();
        if !leads || voter.term() != self.term {
            let requests = std::mem::take(&mut self.requests);
            *self =
                Leadership { term: voter.term(), requests, reconfigured_at: now, ..Leadership::default() };
        }
        if leads && self.leading_since.is_none() && voter.is_settled() {
            self.leading_since = Some(now);
            (self.announced, self.announced_at) =
                (self.announcement(now, voter.policy_state()), voter.applied());
        }
        leads && self.leading_since.is_some()
    }

    /// A router asks. Its question waits for the next round.
    pub fn record_request(
        &mut self, now: Duration, from: Peer, forwarder: Option<String>, request: LeaseRequest,
    ) {
        if self.holders.len() >= MAX_HOLDERS && !self.holders.contains_key(&from) {
            return;
        }
        let held = self.holders.entry(from.clone()).or_insert_with(|| HolderRecord {
            since: now,
            last_request_at: now,
            until: Duration::ZERO,
            request: LeaseRequest::default(),
            last_long_grant: 0,
            forwarder: None,
        });
        if request.nonce <= held.request.nonce {
            return; // Late: a newer one was taken already.
        }
        if request.released {
            // It has given up all, and what is still on its way to it counts no more there.
            (held.until, held.last_request_at, held.request) = (now, now, request);
            self.waiting.remove(&from);
            self.confirming.remove(&from);
            return;
        }
        if now > held.until {
            held.since = now;
        }
        if held.last_long_grant < request.short_leases_since {
            // Whatever it held ends with this question. A long lease that was granted after it gave those up is not among it.
            held.until = now + timing::with_clock_drift(timing::SHORT_LEASE);
        }
        (held.last_request_at, held.request, held.forwarder) = (now, request, forwarder);
        self.waiting.insert(from);
    }

    /// Whether a round is wanted; the questions that wait are then those that it answers.
    pub fn begin_round(&mut self, voter: &Voter) -> bool {
        if self.deciding.is_some()
            || voter.is_ending()
            || !self.confirming.is_empty()
            || self.waiting.is_empty()
        {
            return false;
        }
        self.confirming = std::mem::take(&mut self.waiting);
        true
    }

    /// The round is over: the answers.
    pub fn round_confirmed(&mut self, now: Duration, voter: &Voter) -> Vec<AddressedGrant> {
        if self.deciding.is_some() || voter.is_ending() {
            // What is being settled may end the epoch at any moment: they are answered after it. And where the configuration ends, the next one's
            // leader may count on it that nothing is granted here any more: their majorities need not share a voter.
            let confirming = std::mem::take(&mut self.confirming);
            self.waiting.extend(confirming);
            return Vec::new();
        }
        let asked: Vec<Peer> = std::mem::take(&mut self.confirming).into_iter().collect();
        self.grants(now, &asked, voter, true)
    }

    /// Answers to the last questions of these. `confirmed`: a majority has shown since then that this leader leads.
    fn grants(&mut self, now: Duration, to: &[Peer], voter: &Voter, confirmed: bool) -> Vec<AddressedGrant> {
        let waits_for = self.waits_for(now, voter.policy_state());
        to.iter().filter_map(|peer| self.grant(now, peer, voter, &waits_for, confirmed)).collect()
    }

    fn grant(
        &mut self, now: Duration, peer: &Peer, voter: &Voter, waits_for: &[String], confirmed: bool,
    ) -> Option<AddressedGrant> {
        let policy_state = voter.policy_state();
        let begun = policy_state.pending.as_ref().filter(|_| self.can_decide(now));
        let held = self.holders.get_mut(peer)?;
        let lease = match begun {
            _ if !confirmed => Duration::ZERO,
            None => timing::LEASE,
            // While a change is under way nothing long is granted, and something short to those that have tried it.
            Some(p) if held.is_prepared(&p.id) => timing::SHORT_LEASE,
            Some(_) => Duration::ZERO,
        };
        if !lease.is_zero() {
            held.until = held.until.max(now + timing::with_clock_drift(lease));
        }
        if lease > timing::SHORT_LEASE {
            held.last_long_grant = held.request.nonce;
        }
        let version = voter.version();
        let trial = begun.map(|p| Trial {
            id: p.id.clone(),
            text: (held.request.tried.as_ref().map(|tried| &tried.id) != Some(&p.id)).then(|| p.text.clone()),
            waits_for: waits_for.to_vec(),
        });
        let grant = Grant {
            nonce: held.request.nonce,
            term: self.term,
            leader: voter.leader().unwrap_or_default().to_owned(),
            epoch: policy_state.epoch,
            digest: policy_state.digest,
            lease_ms: lease.as_millis() as u32,
            text: (held.request.digest != policy_state.digest && !just_tried(&held.request, policy_state))
                .then(|| policy_state.text.clone()),
            trial,
            version,
            recent: (held.request.version != version).then(|| policy_state.recent()),
            voters: voter.configuration.voters.iter().map(|s| s.name.clone()).collect(),
        };
        Some(AddressedGrant { peer: peer.clone(), forwarder: held.forwarder.clone(), grant })
    }

    /// What has been decided since the last call is told to all at once, as further answers to their last questions.
    pub fn changed_grants(&mut self, now: Duration, voter: &Voter) -> Vec<AddressedGrant> {
        let policy_state = voter.policy_state();
        if self.deciding.as_ref().is_some_and(|id| policy_state.pending.as_ref().is_none_or(|p| p.id != *id))
        {
            self.deciding = None;
        }
        let announcement = self.announcement(now, policy_state);
        if self.leading_since.is_none() || self.deciding.is_some() || self.announced == announcement {
            return Vec::new();
        }
        // What was decided since, was in this leader's own term, by a majority, after those questions: that confirms them as a round does.
        // Where a change begins by time alone nothing does, and nothing is granted.
        let decided = voter.applied() > std::mem::replace(&mut self.announced_at, voter.applied());
        self.announced = announcement;
        let all: Vec<Peer> = self
            .holders
            .iter()
            .filter(|(_, h)| now < h.last_request_at + timing::LEASE && !h.request.released)
            .map(|(p, _)| p.clone())
            .collect();
        self.grants(now, &all, voter, decided)
    }

    /// Routers that a change waits for: they may act by the old epoch for longer than a short lease.
    fn waits_for(&self, now: Duration, policy_state: &PolicyState) -> Vec<String> {
        let Some(pending) = &policy_state.pending else { return Vec::new() };
        let waits = |h: &HolderRecord| now < h.until && !h.is_prepared(&pending.id);
        let named = self.holders.iter().filter(|(_, h)| waits(h)).map(|(p, _)| p.name.clone());
        let mut names: Vec<String> = named.take(timing::RECENT_OUTCOMES).collect();
        if !self.can_decide(now) {
            names.push(PREVIOUS_LEADER_LEASES.into());
        }
        names
    }

    /// What is told to all at once when it changes: the epoch, and the change under way. It is not begun, and no lease is shortened for it,
    /// before it can be settled.
    fn announcement(&self, now: Duration, policy_state: &PolicyState) -> Announcement {
        let begun = policy_state.pending.as_ref().filter(|_| self.can_decide(now));
        Announcement { epoch: policy_state.epoch, pending_id: begun.map(|p| p.id.clone()) }
    }

    /// Whether no lease of an earlier leader can hold any more.
    fn can_decide(&self, now: Duration) -> bool {
        self.leading_since.is_some_and(|since| now >= since + timing::with_clock_drift(timing::LEASE))
    }

    /// Queues an operator's request. False if too many wait.
    pub fn queue_request(&mut self, request: OperatorRequest) -> bool {
        let known = self.requests.iter().any(|w| w.key() == request.key());
        let room = known || self.requests.len() < timing::MAX_OPERATOR_REQUESTS;
        if room && !known {
            self.requests.push(request);
        }
        room
    }

    /// What is to be done now.
    pub fn next_action(&mut self, now: Duration, voter: &Voter) -> Option<LeaderAction> {
        if self.leading_since.is_none() || self.deciding.is_some() || voter.is_ending() || !voter.is_settled()
        {
            return None;
        }
        self.holders.retain(|_, h| now < h.until.max(h.last_request_at + timing::HOLDER_EXPIRY));
        let policy_state = voter.policy_state();
        if let Some(pending) = &policy_state.pending {
            let step = self.decide_pending(now, policy_state, &pending.clone())?;
            self.deciding = Some(pending.id.clone());
            return Some(step);
        }
        self.waiting_change = None;
        if let Some(proposal) = self.next_proposal(policy_state) {
            return Some(LeaderAction::Append(Entry::Propose(proposal)));
        }
        self.next_reconfiguration(now, voter)
    }

    fn next_proposal(&mut self, policy_state: &PolicyState) -> Option<Proposal> {
        let at = self.requests.iter().position(|w| matches!(w, OperatorRequest::Propose(_)))?;
        match self.requests.remove(at) {
            OperatorRequest::Propose(p) if policy_state.outcome(&p.id).is_none() => Some(p),
            _ => None,
        }
    }

    fn decide_pending(
        &mut self, now: Duration, policy_state: &PolicyState, pending: &Proposal,
    ) -> Option<LeaderAction> {
        let rejections: Vec<Rejection> =
            self.holders.iter().filter_map(|(p, h)| rejection_of(p, h, &pending.id)).collect();
        let verdict = |v: Decision| Some(LeaderAction::Append(Entry::Decide(pending.id.clone(), v)));
        if !rejections.is_empty() && self.can_decide(now) {
            return verdict(Decision::Dropped(rejections));
        }
        let waits_for = self.waits_for(now, policy_state);
        if waits_for.is_empty() {
            return verdict(Decision::InForce);
        }
        let since = match &self.waiting_change {
            Some(waiting) if waiting.id == pending.id => waiting.since,
            _ => {
                self.waiting_change = Some(WaitingChange { id: pending.id.clone(), since: now });
                now
            }
        };
        if now < since + timing::CHANGE_DEADLINE {
            return None;
        }
        let why = format!("has not tried it within {} s", timing::CHANGE_DEADLINE.as_secs());
        let late = |router: String| Rejection { router, reason: why.clone() };
        verdict(Decision::Dropped(waits_for.into_iter().map(late).collect()))
    }

    fn next_reconfiguration(&mut self, now: Duration, voter: &Voter) -> Option<LeaderAction> {
        if now < self.reconfigured_at + timing::RECONFIGURATION_INTERVAL {
            return None;
        }
        let live: Vec<LiveRouter> = self
            .holders
            .iter()
            .filter(|(_, h)| now < h.until)
            .map(|(p, h)| LiveRouter {
                member: VoterIdentity { name: p.name.clone(), disk: p.disk },
                held: now.saturating_sub(h.since),
            })
            .collect();
        let replacing = self
            .requests
            .iter()
            .position(|w| matches!(w, OperatorRequest::Replace { .. }))
            .map(|at| self.requests.remove(at));
        let replacing = match replacing {
            Some(OperatorRequest::Replace { old, new }) => Some(VoterReplacement { old, new }),
            _ => None,
        };
        let next =
            reconfiguration::next(&voter.configuration.voters, &live, replacing.as_ref()).or_else(|| {
                (voter.applied() >= timing::MAX_LOG_ENTRIES).then(|| voter.configuration.voters.clone())
            })?;
        self.reconfigured_at = now;
        Some(LeaderAction::Reconfigure(next))
    }

    /// When something is due next by time alone: never a time that has passed, which would be due again at once.
    pub fn next_due(&self, now: Duration, voter: &Voter) -> Option<Duration> {
        voter.policy_state().pending.as_ref()?;
        let begins = self.leading_since? + timing::with_clock_drift(timing::LEASE);
        self.holders.values().map(|h| h.until).chain([begins]).filter(|at| *at > now).min()
    }
}

/// What stands among the names that a change waits for while leases of an earlier leader may hold.
pub const PREVIOUS_LEADER_LEASES: &str = "(leases of the last leader)";

fn has_tried(request: &LeaseRequest, id: &str) -> bool {
    request.tried.as_ref().is_some_and(|tried| tried.id == id && tried.rejection.is_none())
}

/// Whether it has tried the policy in force as a change a moment ago, so that it has its text.
fn just_tried(request: &LeaseRequest, policy_state: &PolicyState) -> bool {
    policy_state
        .outcomes
        .back()
        .is_some_and(|o| o.epoch == Some(policy_state.epoch) && has_tried(request, &o.id))
}

fn rejection_of(peer: &Peer, held: &HolderRecord, id: &str) -> Option<Rejection> {
    let tried = held.request.tried.as_ref().filter(|tried| tried.id == id)?;
    Some(Rejection { router: peer.name.clone(), reason: tried.rejection.clone()? })
}
