//! The leader's side: who holds a lease, when a change may be settled, and how.
//!
//! A leader answers a question only after a majority of the voters has confirmed that it led when the question was there. It puts a change in
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
    heard: Duration,
    /// Until when it may hold one, on the leader's clock.
    until: Duration,
    ask: LeaseRequest,
    /// The last question that was answered with a long lease.
    long: u64,
    /// The voter that hands its questions on.
    via: Option<String>,
}

impl HolderRecord {
    /// Whether it has tried a change and holds no more than a short lease.
    fn is_armed(&self, id: &str) -> bool {
        has_tried(&self.ask, id) && self.long < self.ask.short_leases_since
    }
}

/// A question that waits for a majority to confirm.
type Waiting = BTreeSet<Peer>;

/// What a leader keeps.
#[derive(Default)]
pub struct Leadership {
    term: Term,
    /// Since when it has led with all that it holds decided.
    since: Option<Duration>,
    holders: BTreeMap<Peer, HolderRecord>,
    waiting: Waiting,
    confirming: Waiting,
    requests: Vec<OperatorRequest>,
    /// The change that is being settled.
    settling: Option<String>,
    pending_since: Option<(String, Duration)>,
    seats_at: Duration,
    /// What the last answers told of: a change of it is told at once.
    told: (u64, Option<String>),
    /// Entries that were applied when it was told.
    told_at: usize,
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
    pub fn mind(&mut self, now: Duration, voter: &Voter) -> bool {
        let leads = voter.leads();
        if !leads || voter.term() != self.term {
            let requests = std::mem::take(&mut self.requests);
            *self = Leadership { term: voter.term(), requests, seats_at: now, ..Leadership::default() };
        }
        if leads && self.since.is_none() && voter.is_settled() {
            self.since = Some(now);
            (self.told, self.told_at) = (self.tells(now, voter.policy_state()), voter.applied());
        }
        leads && self.since.is_some()
    }

    /// A router asks. Its question waits for the next round.
    pub fn ask(&mut self, now: Duration, from: Peer, via: Option<String>, ask: LeaseRequest) {
        if self.holders.len() >= MAX_HOLDERS && !self.holders.contains_key(&from) {
            return;
        }
        let held = self.holders.entry(from.clone()).or_insert_with(|| HolderRecord {
            since: now,
            heard: now,
            until: Duration::ZERO,
            ask: LeaseRequest::default(),
            long: 0,
            via: None,
        });
        if ask.nonce <= held.ask.nonce {
            return; // Late: a newer one was taken already.
        }
        if ask.released {
            // It has given up all, and what is still on its way to it counts no more there.
            (held.until, held.heard, held.ask) = (now, now, ask);
            self.waiting.remove(&from);
            self.confirming.remove(&from);
            return;
        }
        if now > held.until {
            held.since = now;
        }
        if held.long < ask.short_leases_since {
            // Whatever it held ends with this question. A long lease that was granted after it gave those up is not among it.
            held.until = now + timing::with_clock_drift(timing::SHORT_LEASE);
        }
        (held.heard, held.ask, held.via) = (now, ask, via);
        self.waiting.insert(from);
    }

    /// Whether a round is wanted; the questions that wait are then those that it answers.
    pub fn begins_round(&mut self, voter: &Voter) -> bool {
        if self.settling.is_some() || voter.stops() || !self.confirming.is_empty() || self.waiting.is_empty()
        {
            return false;
        }
        self.confirming = std::mem::take(&mut self.waiting);
        true
    }

    /// The round is over: the answers.
    pub fn confirmed(&mut self, now: Duration, voter: &Voter) -> Vec<AddressedGrant> {
        if self.settling.is_some() || voter.stops() {
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
        let begun = policy_state.pending.as_ref().filter(|_| self.may_settle(now));
        let held = self.holders.get_mut(peer)?;
        let lease = match begun {
            _ if !confirmed => Duration::ZERO,
            None => timing::LEASE,
            // While a change is under way nothing long is granted, and something short to those that have tried it.
            Some(p) if held.is_armed(&p.id) => timing::SHORT_LEASE,
            Some(_) => Duration::ZERO,
        };
        if !lease.is_zero() {
            held.until = held.until.max(now + timing::with_clock_drift(lease));
        }
        if lease > timing::SHORT_LEASE {
            held.long = held.ask.nonce;
        }
        let version = voter.version();
        let trial = begun.map(|p| Trial {
            id: p.id.clone(),
            text: (held.ask.tried.as_ref().map(|tried| &tried.id) != Some(&p.id)).then(|| p.text.clone()),
            waits_for: waits_for.to_vec(),
        });
        let grant = Grant {
            nonce: held.ask.nonce,
            term: self.term,
            leader: voter.leader().unwrap_or_default().to_owned(),
            epoch: policy_state.epoch,
            digest: policy_state.digest,
            lease_ms: lease.as_millis() as u32,
            text: (held.ask.digest != policy_state.digest && !just_tried(&held.ask, policy_state))
                .then(|| policy_state.text.clone()),
            trial,
            version,
            recent: (held.ask.version != version).then(|| policy_state.recent()),
            voters: voter.configuration.voters.iter().map(|s| s.name.clone()).collect(),
        };
        Some(AddressedGrant { peer: peer.clone(), forwarder: held.via.clone(), grant })
    }

    /// What has been decided since the last call is told to all at once, as further answers to their last questions.
    pub fn news(&mut self, now: Duration, voter: &Voter) -> Vec<AddressedGrant> {
        let policy_state = voter.policy_state();
        if self.settling.as_ref().is_some_and(|id| policy_state.pending.as_ref().is_none_or(|p| p.id != *id))
        {
            self.settling = None;
        }
        let told = self.tells(now, policy_state);
        if self.since.is_none() || self.settling.is_some() || self.told == told {
            return Vec::new();
        }
        // What was decided since, was in this leader's own term, by a majority, after those questions: that confirms them as a round does.
        // Where a change begins by time alone nothing does, and nothing is granted.
        let decided = voter.applied() > std::mem::replace(&mut self.told_at, voter.applied());
        self.told = told;
        let all: Vec<Peer> = self
            .holders
            .iter()
            .filter(|(_, h)| now < h.heard + timing::LEASE && !h.ask.released)
            .map(|(p, _)| p.clone())
            .collect();
        self.grants(now, &all, voter, decided)
    }

    /// Routers that a change waits for: they may act by the old epoch for longer than a short lease.
    fn waits_for(&self, now: Duration, policy_state: &PolicyState) -> Vec<String> {
        let Some(pending) = &policy_state.pending else { return Vec::new() };
        let waits = |h: &HolderRecord| now < h.until && !h.is_armed(&pending.id);
        let named = self.holders.iter().filter(|(_, h)| waits(h)).map(|(p, _)| p.name.clone());
        let mut names: Vec<String> = named.take(timing::RECENT_OUTCOMES).collect();
        if !self.may_settle(now) {
            names.push(PREVIOUS_LEADER_LEASES.into());
        }
        names
    }

    /// What is told to all at once when it changes: the epoch, and the change under way. It is not begun, and no lease is shortened for it,
    /// before it can be settled.
    fn tells(&self, now: Duration, policy_state: &PolicyState) -> (u64, Option<String>) {
        let begun = policy_state.pending.as_ref().filter(|_| self.may_settle(now));
        (policy_state.epoch, begun.map(|p| p.id.clone()))
    }

    /// Whether no lease of an earlier leader can hold any more.
    fn may_settle(&self, now: Duration) -> bool {
        self.since.is_some_and(|since| now >= since + timing::with_clock_drift(timing::LEASE))
    }

    /// An operator's word has come. False if there is no room for it.
    pub fn say(&mut self, request: OperatorRequest) -> bool {
        let known = self.requests.iter().any(|w| w.key() == request.key());
        let room = known || self.requests.len() < timing::MAX_OPERATOR_REQUESTS;
        if room && !known {
            self.requests.push(request);
        }
        room
    }

    /// What is to be done now.
    pub fn step(&mut self, now: Duration, voter: &Voter) -> Option<LeaderAction> {
        if self.since.is_none() || self.settling.is_some() || voter.stops() || !voter.is_settled() {
            return None;
        }
        self.holders.retain(|_, h| now < h.until.max(h.heard + timing::HOLDER_EXPIRY));
        let policy_state = voter.policy_state();
        if let Some(pending) = &policy_state.pending {
            let step = self.settle(now, policy_state, &pending.clone())?;
            self.settling = Some(pending.id.clone());
            return Some(step);
        }
        self.pending_since = None;
        if let Some(proposal) = self.next_proposal(policy_state) {
            return Some(LeaderAction::Append(Entry::Propose(proposal)));
        }
        self.next_council(now, voter)
    }

    fn next_proposal(&mut self, policy_state: &PolicyState) -> Option<Proposal> {
        let at = self.requests.iter().position(|w| matches!(w, OperatorRequest::Propose(_)))?;
        match self.requests.remove(at) {
            OperatorRequest::Propose(p) if policy_state.outcome(&p.id).is_none() => Some(p),
            _ => None,
        }
    }

    fn settle(
        &mut self, now: Duration, policy_state: &PolicyState, pending: &Proposal,
    ) -> Option<LeaderAction> {
        let noes: Vec<Rejection> =
            self.holders.iter().filter_map(|(p, h)| no_of(p, h, &pending.id)).collect();
        let verdict = |v: Decision| Some(LeaderAction::Append(Entry::Decide(pending.id.clone(), v)));
        if !noes.is_empty() && self.may_settle(now) {
            return verdict(Decision::Dropped(noes));
        }
        let waits_for = self.waits_for(now, policy_state);
        if waits_for.is_empty() {
            return verdict(Decision::InForce);
        }
        let since = match &self.pending_since {
            Some((id, since)) if *id == pending.id => *since,
            _ => {
                self.pending_since = Some((pending.id.clone(), now));
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

    fn next_council(&mut self, now: Duration, voter: &Voter) -> Option<LeaderAction> {
        if now < self.seats_at + timing::RECONFIGURATION_INTERVAL {
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
        self.seats_at = now;
        Some(LeaderAction::Reconfigure(next))
    }

    /// When something is due next by time alone: never a time that has passed, which would be due again at once.
    pub fn due(&self, now: Duration, voter: &Voter) -> Option<Duration> {
        voter.policy_state().pending.as_ref()?;
        let begins = self.since? + timing::with_clock_drift(timing::LEASE);
        self.holders.values().map(|h| h.until).chain([begins]).filter(|at| *at > now).min()
    }
}

/// What stands among the names that a change waits for while leases of an earlier leader may hold.
pub const PREVIOUS_LEADER_LEASES: &str = "(leases of the last leader)";

fn has_tried(ask: &LeaseRequest, id: &str) -> bool {
    ask.tried.as_ref().is_some_and(|tried| tried.id == id && tried.rejection.is_none())
}

/// Whether it has tried the policy in force as a change a moment ago, so that it has its text.
fn just_tried(ask: &LeaseRequest, policy_state: &PolicyState) -> bool {
    policy_state.outcomes.back().is_some_and(|o| o.epoch == Some(policy_state.epoch) && has_tried(ask, &o.id))
}

fn no_of(peer: &Peer, held: &HolderRecord, id: &str) -> Option<Rejection> {
    let tried = held.ask.tried.as_ref().filter(|tried| tried.id == id)?;
    Some(Rejection { router: peer.name.clone(), reason: tried.rejection.clone()? })
}
