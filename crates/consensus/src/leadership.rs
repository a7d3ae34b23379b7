//! The duties of a leader: granting leases and deciding changes.
//!
//! A leader grants a lease only after a majority of the voters has confirmed that it still led after the
//! request had arrived. It puts a change in force when every router that may still apply the policy of the
//! old epoch has prepared the new one and holds no more than a short lease. It can't know which leases an
//! earlier leader granted, so it waits as long as the longest of them lasts.

use crate::policy_state::{Decision, Entry, PolicyState, Proposal, Rejection};
use crate::reconfiguration::{self, LiveRouter, VoterReplacement};
use crate::timing;
use crate::voter::{Term, Voter};
use crate::voter_identity::VoterIdentity;
use crate::wire::{Grant, LeaseRequest, OperatorRequest, Peer, PrepareRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most routers that may hold a lease; requests of further ones are ignored.
const MAX_HOLDERS: usize = 4_096;
/// The most routers that are named as those for which a change waits.
const MAX_NAMED_ROUTERS: usize = timing::MAX_RECENT_OUTCOMES;

/// What the leader knows of a router that holds or requests leases.
struct HolderRecord {
    /// Since when it has held leases without interruption.
    held_since: Duration,
    last_request_at: Duration,
    /// Until when it may hold a lease, on the leader's clock.
    lease_until: Duration,
    /// Its last request.
    request: LeaseRequest,
    /// The number of the last request that was granted a long lease; 0: none was.
    last_long_grant_nonce: u64,
    /// The voter that forwarded its last request.
    forwarder: Option<String>,
}

impl HolderRecord {
    fn new(now: Duration) -> HolderRecord {
        HolderRecord {
            held_since: now,
            last_request_at: now,
            lease_until: Duration::ZERO,
            request: LeaseRequest::default(),
            last_long_grant_nonce: 0,
            forwarder: None,
        }
    }

    /// Whether it has prepared a change and holds no more than a short lease.
    fn is_prepared(&self, id: &str) -> bool {
        has_prepared(&self.request, id) && self.last_long_grant_nonce < self.request.short_leases_since
    }

    /// The duration of the lease that this router may be granted; zero: none. While a change is pending, no
    /// long lease is granted, and a short one only to a router that has prepared the change.
    fn permitted_lease(&self, pending: Option<&Proposal>) -> Duration {
        match pending {
            None => timing::LEASE,
            Some(pending) if self.is_prepared(&pending.id) => timing::SHORT_LEASE,
            Some(_) => Duration::ZERO,
        }
    }

    /// Records that its last request is granted a lease of this duration; zero: none is granted.
    fn record_grant(&mut self, now: Duration, lease: Duration) {
        if !lease.is_zero() {
            self.lease_until = self.lease_until.max(now + timing::with_clock_drift(lease));
        }
        if lease > timing::SHORT_LEASE {
            self.last_long_grant_nonce = self.request.nonce;
        }
    }

    /// Whether it has answered the prepare request of this change, and so knows the text.
    fn knows_change(&self, id: &str) -> bool {
        self.request.prepare_response.as_ref().is_some_and(|response| response.id == id)
    }
}

/// Routers whose requests wait for a majority to confirm that this leader leads.
type WaitingRouters = BTreeSet<Peer>;

/// What is announced to all routers at once when it changes: the epoch and the pending change.
#[derive(Default, PartialEq, Eq)]
struct Announcement {
    epoch: u64,
    /// The id of the pending change, once it can be decided.
    pending_id: Option<String>,
}

/// A change that waits to be decided.
struct WaitingChange {
    id: String,
    since: Duration,
}

/// The state of a leader.
#[derive(Default)]
pub struct Leadership {
    term: Term,
    /// Since when all entries that the leader found in its log have been decided.
    leading_since: Option<Duration>,
    holders: BTreeMap<Peer, HolderRecord>,
    waiting_routers: WaitingRouters,
    /// Routers whose requests the current round of heartbeats will confirm.
    confirming_routers: WaitingRouters,
    requests: Vec<OperatorRequest>,
    /// The id of the change whose decision is in the log but not yet decided by a majority.
    deciding_id: Option<String>,
    waiting_change: Option<WaitingChange>,
    reconfigured_at: Duration,
    /// What the last grants announced to all routers.
    announced: Announcement,
    /// The number of applied entries at the time of that announcement.
    applied_when_announced: usize,
}

/// A grant, and where it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedGrant {
    /// The router that requested the lease.
    pub peer: Peer,
    /// The voter that forwarded the request; `None`: it came directly.
    pub forwarder: Option<String>,
    /// The answer.
    pub grant: Grant,
}

/// What a leader replicates to the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Appends this entry to the log.
    Append(Entry),
    /// Ends the configuration; the next one has these voters.
    Reconfigure(Vec<VoterIdentity>),
}

impl Leadership {
    /// Resets the state if another term has begun. Returns whether this voter leads and the entries that it
    /// found in its log are decided.
    pub fn sync_term(&mut self, now: Duration, voter: &Voter) -> bool {
        let leads = voter.leads();
        if !leads || voter.term() != self.term {
            let requests = std::mem::take(&mut self.requests);
            *self =
                Leadership { term: voter.term(), requests, reconfigured_at: now, ..Leadership::default() };
        }
        if leads && self.leading_since.is_none() && voter.all_entries_decided() {
            self.leading_since = Some(now);
            (self.announced, self.applied_when_announced) =
                (self.announcement(now, voter.policy_state()), voter.applied());
        }
        leads && self.leading_since.is_some()
    }

    /// Records a lease request. It waits for the next round of heartbeats.
    pub fn record_request(
        &mut self, now: Duration, from: Peer, forwarder: Option<String>, request: LeaseRequest,
    ) {
        if self.holders.len() >= MAX_HOLDERS && !self.holders.contains_key(&from) {
            return;
        }
        let holder = self.holders.entry(from.clone()).or_insert_with(|| HolderRecord::new(now));
        if request.nonce <= holder.request.nonce {
            return; // A newer request has overtaken this one.
        }
        if request.released {
            // The router has given up its lease, and ignores grants that are still in flight.
            holder.lease_until = now;
            holder.last_request_at = now;
            holder.request = request;
            self.waiting_routers.remove(&from);
            self.confirming_routers.remove(&from);
            return;
        }
        if now > holder.lease_until {
            holder.held_since = now;
        }
        if holder.last_long_grant_nonce < request.short_leases_since {
            // The router gave up its earlier leases with request `short_leases_since`, and no long one was
            // granted after that.
            holder.lease_until = now + timing::with_clock_drift(timing::SHORT_LEASE);
        }
        holder.last_request_at = now;
        holder.request = request;
        holder.forwarder = forwarder;
        self.waiting_routers.insert(from);
    }

    /// Returns whether a round of heartbeats must begin. If so, that round will confirm the waiting requests.
    pub fn begin_round(&mut self, voter: &Voter) -> bool {
        if self.deciding_id.is_some()
            || voter.is_ending()
            || !self.confirming_routers.is_empty()
            || self.waiting_routers.is_empty()
        {
            return false;
        }
        self.confirming_routers = std::mem::take(&mut self.waiting_routers);
        true
    }

    /// The grants for the requests that a round confirms, once a majority has confirmed the round.
    pub fn round_confirmed(&mut self, now: Duration, voter: &Voter) -> Vec<AddressedGrant> {
        if self.deciding_id.is_some() || voter.is_ending() {
            // The decision that is being replicated may end the epoch at any moment, so these requests are
            // answered after it. When the configuration is ending, the leader of the next one relies on no
            // lease being granted in this one any more, since the majorities of the two need not share a
            // voter.
            let confirming = std::mem::take(&mut self.confirming_routers);
            self.waiting_routers.extend(confirming);
            return Vec::new();
        }
        let confirmed: Vec<Peer> = std::mem::take(&mut self.confirming_routers).into_iter().collect();
        self.grants(now, &confirmed, voter, true)
    }

    /// Grants for the last requests of these routers. `confirmed`: a majority has confirmed, after those
    /// requests arrived, that this leader leads; otherwise no lease is granted.
    fn grants(&mut self, now: Duration, to: &[Peer], voter: &Voter, confirmed: bool) -> Vec<AddressedGrant> {
        let unprepared = self.unprepared_routers(now, voter.policy_state());
        to.iter().filter_map(|peer| self.grant(now, peer, voter, &unprepared, confirmed)).collect()
    }

    fn grant(
        &mut self, now: Duration, peer: &Peer, voter: &Voter, unprepared: &[String], confirmed: bool,
    ) -> Option<AddressedGrant> {
        let policy_state = voter.policy_state();
        let pending = self.decidable_change(now, policy_state);
        let term = self.term;
        let holder = self.holders.get_mut(peer)?;
        let lease = if confirmed { holder.permitted_lease(pending) } else { Duration::ZERO };
        holder.record_grant(now, lease);
        let version = voter.version();
        let grant = Grant {
            nonce: holder.request.nonce,
            term,
            leader: voter.leader().unwrap_or_default().to_owned(),
            epoch: policy_state.epoch,
            digest: policy_state.digest,
            lease_ms: lease.as_millis() as u32,
            text: lacks_policy(&holder.request, policy_state).then(|| policy_state.text.clone()),
            prepare_request: pending.map(|pending| PrepareRequest {
                id: pending.id.clone(),
                text: (!holder.knows_change(&pending.id)).then(|| pending.text.clone()),
                waits_for: unprepared.to_vec(),
            }),
            version,
            recent: (holder.request.version != version).then(|| policy_state.recent_outcomes()),
            voters: voter.configuration.voters.iter().map(|voter| voter.name.clone()).collect(),
        };
        Some(AddressedGrant { peer: peer.clone(), forwarder: holder.forwarder.clone(), grant })
    }

    /// Grants that announce a change of the epoch or of the pending change to all routers at once, as further
    /// answers to their last requests.
    pub fn announcement_grants(&mut self, now: Duration, voter: &Voter) -> Vec<AddressedGrant> {
        let policy_state = voter.policy_state();
        if self
            .deciding_id
            .as_ref()
            .is_some_and(|id| policy_state.pending.as_ref().is_none_or(|pending| pending.id != *id))
        {
            self.deciding_id = None;
        }
        let announcement = self.announcement(now, policy_state);
        if self.leading_since.is_none() || self.deciding_id.is_some() || self.announced == announcement {
            return Vec::new();
        }
        // Entries applied since the last announcement were decided in this leader's term, by a majority,
        // after those requests arrived. That confirms the requests as a round of heartbeats does. If only
        // time has passed, nothing confirms them, and no lease is granted.
        let confirmed =
            voter.applied() > std::mem::replace(&mut self.applied_when_announced, voter.applied());
        self.announced = announcement;
        let is_recent =
            |holder: &HolderRecord| now < holder.last_request_at + timing::LEASE && !holder.request.released;
        let recent = self.holders.iter().filter(|(_, holder)| is_recent(holder));
        let recent: Vec<Peer> = recent.map(|(peer, _)| peer.clone()).collect();
        self.grants(now, &recent, voter, confirmed)
    }

    /// The routers for which the pending change waits, as they may apply the policy of the old epoch for
    /// longer than a short lease.
    fn unprepared_routers(&self, now: Duration, policy_state: &PolicyState) -> Vec<String> {
        let Some(pending) = &policy_state.pending else { return Vec::new() };
        let is_unprepared =
            |holder: &HolderRecord| now < holder.lease_until && !holder.is_prepared(&pending.id);
        let unprepared = self.holders.iter().filter(|(_, holder)| is_unprepared(holder));
        let names = unprepared.map(|(peer, _)| peer.name.clone());
        let mut names: Vec<String> = names.take(MAX_NAMED_ROUTERS).collect();
        if !self.can_decide(now) {
            names.push(PREVIOUS_LEADER_LEASES.into());
        }
        names
    }

    /// The pending change, once it can be decided. Before that, it is not sent to any router and no lease is
    /// shortened for it.
    fn decidable_change<'a>(&self, now: Duration, policy_state: &'a PolicyState) -> Option<&'a Proposal> {
        policy_state.pending.as_ref().filter(|_| self.can_decide(now))
    }

    fn announcement(&self, now: Duration, policy_state: &PolicyState) -> Announcement {
        let pending = self.decidable_change(now, policy_state);
        Announcement { epoch: policy_state.epoch, pending_id: pending.map(|pending| pending.id.clone()) }
    }

    /// Whether all leases of earlier leaders have ended.
    fn can_decide(&self, now: Duration) -> bool {
        self.leading_since.is_some_and(|since| now >= since + timing::with_clock_drift(timing::LEASE))
    }

    /// Queues an operator's request. Returns false if too many are waiting.
    pub fn queue_request(&mut self, request: OperatorRequest) -> bool {
        let key = request.deduplication_key();
        if self.requests.iter().any(|queued| queued.deduplication_key() == key) {
            return true;
        }
        let accepted = self.requests.len() < timing::MAX_OPERATOR_REQUESTS;
        if accepted {
            self.requests.push(request);
        }
        accepted
    }

    /// The next action of the leader, if there is one.
    pub fn next_action(&mut self, now: Duration, voter: &Voter) -> Option<LeaderAction> {
        if self.leading_since.is_none()
            || self.deciding_id.is_some()
            || voter.is_ending()
            || !voter.all_entries_decided()
        {
            return None;
        }
        self.holders.retain(|_, holder| {
            now < holder.lease_until.max(holder.last_request_at + timing::LEASE_HOLDER_EXPIRY)
        });
        let policy_state = voter.policy_state();
        if let Some(pending) = &policy_state.pending {
            let action = self.decide_pending(now, policy_state, pending)?;
            self.deciding_id = Some(pending.id.clone());
            return Some(action);
        }
        self.waiting_change = None;
        if let Some(proposal) = self.next_proposal(policy_state) {
            return Some(LeaderAction::Append(Entry::Propose(proposal)));
        }
        self.next_reconfiguration(now, voter)
    }

    fn next_proposal(&mut self, policy_state: &PolicyState) -> Option<Proposal> {
        let is_proposal = |request: &OperatorRequest| matches!(request, OperatorRequest::Propose(_));
        let index = self.requests.iter().position(is_proposal)?;
        match self.requests.remove(index) {
            OperatorRequest::Propose(proposal) if policy_state.outcome(&proposal.id).is_none() => {
                Some(proposal)
            }
            _ => None,
        }
    }

    /// Decides the pending change, if it can be decided now.
    fn decide_pending(
        &mut self, now: Duration, policy_state: &PolicyState, pending: &Proposal,
    ) -> Option<LeaderAction> {
        let decide = |decision| Some(LeaderAction::Append(Entry::Decide(pending.id.clone(), decision)));
        let holders = self.holders.iter();
        let rejections: Vec<Rejection> =
            holders.filter_map(|(peer, holder)| rejection_of(peer, holder, &pending.id)).collect();
        if !rejections.is_empty() && self.can_decide(now) {
            return decide(Decision::Dropped(rejections));
        }
        let unprepared = self.unprepared_routers(now, policy_state);
        if unprepared.is_empty() {
            return decide(Decision::InForce);
        }
        if now < self.waiting_since(now, &pending.id) + timing::CHANGE_TIMEOUT {
            return None;
        }
        let reason = format!("has not tried it within {} s", timing::CHANGE_TIMEOUT.as_secs());
        let overdue = |router: String| Rejection { router, reason: reason.clone() };
        decide(Decision::Dropped(unprepared.into_iter().map(overdue).collect()))
    }

    /// Since when a change has waited to be decided. If it has not waited before, the wait begins now.
    fn waiting_since(&mut self, now: Duration, id: &str) -> Duration {
        match &self.waiting_change {
            Some(waiting) if waiting.id == id => waiting.since,
            _ => {
                self.waiting_change = Some(WaitingChange { id: id.to_owned(), since: now });
                now
            }
        }
    }

    fn next_reconfiguration(&mut self, now: Duration, voter: &Voter) -> Option<LeaderAction> {
        if now < self.reconfigured_at + timing::RECONFIGURATION_INTERVAL {
            return None;
        }
        let live = self.live_routers(now);
        let replacement = self.next_replacement();
        let voters = &voter.configuration.voters;
        let log_is_full = voter.applied() >= timing::MAX_LOG_ENTRIES;
        // If the log is full, a configuration with the same voters begins a new one.
        let next = reconfiguration::next_voters(voters, &live, replacement.as_ref())
            .or_else(|| log_is_full.then(|| voters.clone()))?;
        self.reconfigured_at = now;
        Some(LeaderAction::Reconfigure(next))
    }

    /// The routers that may hold a lease.
    fn live_routers(&self, now: Duration) -> Vec<LiveRouter> {
        let live = self.holders.iter().filter(|(_, holder)| now < holder.lease_until);
        live.map(|(peer, holder)| LiveRouter {
            identity: VoterIdentity { name: peer.name.clone(), disk: peer.disk },
            held_for: now.saturating_sub(holder.held_since),
        })
        .collect()
    }

    /// Takes the next request of an operator to replace a voter.
    fn next_replacement(&mut self) -> Option<VoterReplacement> {
        let is_replacement = |request: &OperatorRequest| matches!(request, OperatorRequest::Replace { .. });
        let index = self.requests.iter().position(is_replacement)?;
        match self.requests.remove(index) {
            OperatorRequest::Replace { old, new } => Some(VoterReplacement { old, new }),
            OperatorRequest::Propose(_) => None,
        }
    }

    /// When the pending change must be checked again. Times that have passed are left out, as they would be
    /// due again at once.
    pub fn next_due(&self, now: Duration, voter: &Voter) -> Option<Duration> {
        voter.policy_state().pending.as_ref()?;
        let earlier_leases_end = self.leading_since? + timing::with_clock_drift(timing::LEASE);
        let lease_ends = self.holders.values().map(|holder| holder.lease_until);
        lease_ends.chain([earlier_leases_end]).filter(|at| *at > now).min()
    }
}

/// Listed among the routers for which a change waits while leases of an earlier leader may be valid.
pub const PREVIOUS_LEADER_LEASES: &str = "(leases of the last leader)";

fn has_prepared(request: &LeaseRequest, id: &str) -> bool {
    let response = request.prepare_response.as_ref();
    response.is_some_and(|response| response.id == id && response.rejection.is_none())
}

/// Whether a router needs the text of the policy in force: it applies another one, and has not just prepared
/// this one as a change.
fn lacks_policy(request: &LeaseRequest, policy_state: &PolicyState) -> bool {
    let last = policy_state.outcomes.back().filter(|outcome| outcome.epoch == Some(policy_state.epoch));
    let just_prepared = last.is_some_and(|outcome| has_prepared(request, &outcome.id));
    request.digest != policy_state.digest && !just_prepared
}

fn rejection_of(peer: &Peer, holder: &HolderRecord, id: &str) -> Option<Rejection> {
    let response = holder.request.prepare_response.as_ref().filter(|response| response.id == id)?;
    Some(Rejection { router: peer.name.clone(), reason: response.rejection.clone()? })
}
