//! The machine: frames in and out, the disk before the wire, and whose turn it is.

use crate::bootstrap::Bootstrap;
use crate::configuration::Configuration;
use crate::handle::{PartitionMode, Permit, PolicyHandle, RouterStatus};
use crate::leadership::{AddressedGrant, LeaderAction, Leadership};
use crate::lease_holder::{LeaseHolder, Try};
use crate::peer_connections::PeerConnections;
use crate::policy_state::{Entry, PolicyState};
use crate::storage::{PersistedState, StoredState, VoterStorage};
use crate::voter::Voter;
use crate::voter_identity::VoterIdentity;
use crate::wire::{Body, Frame, FrameError, Grant, LeaseRequest, OperatorRequest, Peer, MAX_FRAME_LEN};
use crate::{log::LogError, timing};
use omnipaxos::messages::Message;
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Where a voter keeps what it must not forget. A call that returns without an error has been carried out for good.
pub trait Disk: Send {
    /// Appends to the file. `sync`: it must outlast a crash from now on.
    ///
    /// # Errors
    /// Why it could not; nothing is known of what is there then, and [`Disk::replace`] comes next.
    fn append(&mut self, bytes: &[u8], sync: bool) -> Result<(), String>;
    /// Puts this in place of the whole file, so that a crash leaves one or the other.
    ///
    /// # Errors
    /// Why it could not.
    fn replace(&mut self, bytes: &[u8]) -> Result<(), String>;
}

/// How others are reached.
pub trait PeerDirectory: Send {
    /// Where a router of this name is reached.
    fn address(&self, name: &str) -> Option<SocketAddr>;
    /// All that are known.
    fn names(&self) -> Vec<String>;
}

/// What a router is handed.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The fleet's name.
    pub fleet: String,
    /// The router's.
    pub name: String,
    /// Who founds the fleet, by name; the first of them begins.
    pub founders: Vec<String>,
    /// The policy that this router's own file has, in canonical form.
    pub policy: String,
    /// What it does when it can't know whether its epoch holds.
    pub partition_mode: PartitionMode,
    /// The longest datagram that it sends, bytes.
    pub max_datagram_len: usize,
}

/// What a router finds and is given at its start.
pub struct Startup {
    /// What stood on its disk; `None`: it has none, and does not vote.
    pub stored: Option<Result<StoredState, LogError>>,
    /// Its disk.
    pub disk: Box<dyn Disk>,
    /// How a policy is tried.
    pub compiler: Try,
    /// How others are reached.
    pub directory: Box<dyn PeerDirectory>,
    /// A new one at each start.
    pub seed: u64,
    /// The wall clock at the clock's zero, for people.
    pub unix_time_at_zero: Duration,
    /// Where it meets the rest of the process.
    pub handle: Arc<PolicyHandle>,
}

/// Connections of others at once.
const MAX_INBOUND_CONNECTIONS: usize = 64;
/// Turns of [`Consensus::run`] for one input; each follows from the one before, and a few are enough.
const MAX_STEPS_PER_INPUT: usize = 16;
const LISTENER: ListenerId = ListenerId(0);

/// What was shown last, to see whether it has changed: configuration, epoch, last outcome, change under way, leader, troubles, outcomes.
type Seen = (u32, u64, u64, Option<Under>, Option<String>, Vec<String>, usize);
/// The change under way and whom it waits for.
type Under = (String, Vec<String>);

/// A router's part in agreeing on the policy and acting by it.
pub struct Consensus {
    settings: ConsensusConfig,
    me: Peer,
    voter: Option<Voter>,
    leadership: Leadership,
    lease_holder: LeaseHolder,
    founding: Option<Bootstrap>,
    connections: PeerConnections,
    /// Connections of others: what has come of a frame, and when they were last heard.
    inbound: BTreeMap<ConnId, (Vec<u8>, Duration)>,
    disk: Box<dyn Disk>,
    /// Since when the disk can't be written, and why: nothing is said as a voter until all of it stands there.
    failing: Option<(Duration, String)>,
    others: Box<dyn PeerDirectory>,
    handle: Arc<PolicyHandle>,
    wall_ahead: Duration,
    requests: Vec<(OperatorRequest, Duration, Option<Duration>)>,
    /// When a peer was last sent a state, or asked for one.
    told: BTreeMap<String, Duration>,
    next_tick: Duration,
    /// When the leader has something to do by time alone.
    due: Option<Duration>,
    turn: usize,
    damage: Option<String>,
    shown: Option<Seen>,
    permitted: Option<(u64, Duration)>,
    logged: Option<Duration>,
    stopped: bool,
}

impl Consensus {
    /// A router at its start.
    pub fn new(settings: ConsensusConfig, start: Startup, now: Duration) -> Consensus {
        let found = start.stored.transpose();
        let mut consensus = Consensus {
            me: Peer { name: settings.name.clone(), disk: 0, incarnation: start.seed | 1 },
            voter: None,
            leadership: Leadership::default(),
            lease_holder: LeaseHolder::new(start.compiler),
            founding: None,
            connections: PeerConnections::default(),
            inbound: BTreeMap::new(),
            disk: start.disk,
            failing: None,
            others: start.directory,
            handle: start.handle,
            wall_ahead: start.unix_time_at_zero,
            requests: Vec::new(),
            told: BTreeMap::new(),
            next_tick: now,
            due: None,
            turn: 0,
            damage: None,
            shown: None,
            permitted: None,
            logged: None,
            stopped: false,
            settings,
        };
        match found {
            Ok(None) => {}
            Ok(Some(found)) => consensus.recover(now, found, start.seed),
            // It may have promised something that it can't read any more: it does not vote, and the file stays for the operator.
            Err(damage) => consensus.damage = Some(format!("does not vote: its log is refused: {damage}")),
        }
        consensus
    }

    fn recover(&mut self, now: Duration, found: StoredState, seed: u64) {
        self.me.disk = found.disk.unwrap_or(seed.rotate_left(17) | 1);
        let member = self.member();
        self.voter =
            found.configuration.and_then(|(configuration, noted)| Voter::new(configuration, &member, noted));
        // The whole file anew: it ends with a whole frame, and a folder that can't be written is known from the beginning.
        self.rewrite(now);
        if self.voter.is_none() && self.settings.founders.contains(&self.me.name) {
            self.founding = Some(Bootstrap::new(&self.settings.founders));
        }
    }

    fn member(&self) -> VoterIdentity {
        VoterIdentity { name: self.me.name.clone(), disk: self.me.disk }
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        self.voter.is_some() && self.failing.is_none()
    }

    /// Whether it leads the voters, as far as it knows.
    pub fn leads(&self) -> bool {
        self.votes() && self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// What it acts by: the epoch and until when that is certain.
    pub fn acts_by(&self) -> (u64, Duration) {
        (self.lease_holder.epoch(), self.lease_holder.until())
    }

    /// What it knows to be decided, if it votes.
    pub fn policy_state(&self) -> Option<&PolicyState> {
        self.voter.as_ref().map(Voter::policy_state)
    }

    // ---- The disk ----------------------------------------------------------------------------------

    /// Writes the whole file. What was noted in memory alone is on it then.
    fn rewrite(&mut self, now: Duration) {
        let empty = VoterStorage::default();
        let (storage, configuration) = match &self.voter {
            Some(voter) => (voter.storage(), Some(&voter.configuration)),
            None => (&empty, None),
        };
        let file = storage.file(self.me.disk, configuration);
        self.failing = self.disk.replace(&file).err().map(|why| (now, why));
    }

    /// Writes what was noted since the last time. False: it is not on the disk, and nobody must hear of it.
    fn persist(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        if let Some((since, _)) = &self.failing {
            if now < *since + timing::DISK_RETRY_INTERVAL {
                return false;
            }
            self.rewrite(now);
            if self.failing.is_none() {
                out.push(Output::Log("policy: the folder can be written again; this router votes".into()));
            }
            return self.failing.is_none();
        }
        let Some((frame, sync)) = self.voter.as_ref().and_then(|v| v.storage().drain()) else { return true };
        if let Err(why) = self.disk.append(&frame, sync) {
            out.push(Output::Log(format!(
                "policy: the folder can't be written: {why}; this router does not vote"
            )));
            self.failing = Some((now, why));
            return false;
        }
        true
    }

    /// Enters a configuration, on a state that was decided.
    fn enter(&mut self, now: Duration, configuration: Configuration, out: &mut Vec<Output>) {
        let (number, voters) = (configuration.number, configuration.voters.len());
        self.voter = Voter::new(configuration, &self.member(), PersistedState::default());
        self.founding = None;
        self.rewrite(now);
        if let Some((_, why)) = &self.failing {
            out.push(Output::Log(format!(
                "policy: the folder can't be written: {why}; this router does not vote"
            )));
        }
        let part = if self.voter.is_some() { "votes" } else { "does not vote any more" };
        out.push(Output::Log(format!(
            "policy: configuration {number} of {voters} voters; this router {part}"
        )));
    }

    // ---- Sending -----------------------------------------------------------------------------------

    fn send(&mut self, now: Duration, to: &str, body: Body, out: &mut Vec<Output>) {
        let Some(address) = self.others.address(to) else { return };
        let in_order = matches!(body, Body::Vote(_, Message::SequencePaxos(_)));
        let frame = Frame { fleet: self.settings.fleet.clone(), from: self.me.clone(), body }.encode();
        if in_order || frame.len() > self.settings.max_datagram_len {
            if !self.connections.send(now, to, address, frame, out) {
                self.broke_off(to);
            }
        } else {
            out.push(Output::Datagram(LISTENER, address, frame));
        }
    }

    fn broke_off(&mut self, name: &str) {
        if let Some(voter) = &mut self.voter {
            voter.broke_off(name);
        }
    }

    /// Whether a peer may be told something that is long, and is not to be told at each of its messages.
    fn may_tell(&mut self, now: Duration, name: &str) -> bool {
        let last = self.told.get(name).copied();
        let may = last.is_none_or(|at| now >= at + timing::BOOTSTRAP_INTERVAL);
        if may {
            if self.told.len() >= 4_096 {
                self.told.clear();
            }
            self.told.insert(name.to_owned(), now);
        }
        may
    }

    fn tell_state(&mut self, now: Duration, peer: &Peer, than: u32, out: &mut Vec<Output>) {
        let member = VoterIdentity { name: peer.name.clone(), disk: peer.disk };
        let Some(configuration) = self.voter.as_ref().map(|v| &v.configuration) else { return };
        // One that was left out is told so, too.
        let concerns = configuration.voters.contains(&member) || than > 0;
        if configuration.number > than && concerns && self.failing.is_none() {
            let configuration = configuration.clone();
            if self.may_tell(now, &peer.name) {
                self.send(now, &peer.name, Body::Configuration(configuration), out);
            }
        }
    }

    fn answer(&mut self, now: Duration, answers: Vec<AddressedGrant>, out: &mut Vec<Output>) {
        for (peer, via, grant) in answers {
            match via {
                _ if peer == self.me => self.granted(now, grant, out),
                Some(via) => self.send(now, &via, Body::ForwardedGrant(peer.name, grant), out),
                None => self.send(now, &peer.name, Body::Grant(grant), out),
            }
        }
    }

    // ---- Taking ------------------------------------------------------------------------------------

    fn bad(&mut self, now: Duration, bad: &FrameError, out: &mut Vec<Output>) {
        if self.logged.is_none_or(|at| now >= at + Duration::from_secs(10)) {
            self.logged = Some(now);
            out.push(Output::Log(format!("policy: not taken: {bad}")));
        }
    }

    fn take(&mut self, now: Duration, frame: Frame, out: &mut Vec<Output>) {
        let Frame { fleet, from, body } = frame;
        if fleet != self.settings.fleet || from == self.me {
            return;
        }
        let member = VoterIdentity { name: from.name.clone(), disk: from.disk };
        match body {
            Body::Vote(configuration, message) => {
                self.take_vote(now, &from, &member, configuration, message, out);
            }
            Body::Heartbeat(question) => {
                let yes =
                    self.failing.is_none() && self.voter.as_mut().is_some_and(|v| v.asked(now, &question));
                if yes {
                    self.send(now, &from.name, Body::HeartbeatAck(question.term, question.round), out);
                }
            }
            Body::HeartbeatAck(term, round) => {
                if self.voter.as_mut().is_some_and(|v| v.confirmed(&member, term, round)) {
                    self.round_over(now, out);
                }
            }
            Body::LeaseRequest(ask) => self.asked(now, from, ask, out),
            Body::ForwardedLeaseRequest(origin, ask) if self.leads() => {
                self.leadership.ask(now, origin, Some(from.name), ask);
            }
            Body::ForwardedLeaseRequest(..) => {}
            Body::Grant(grant) => self.granted(now, grant, out),
            Body::ForwardedGrant(to, grant) if to == self.me.name => self.granted(now, grant, out),
            Body::ForwardedGrant(to, grant) => self.send(now, &to, Body::Grant(grant), out),
            Body::OperatorRequest(request) => {
                if self.leads() && request.fits() {
                    self.leadership.say(request);
                }
            }
            Body::Bootstrap(text) => {
                if let Some(founding) = &mut self.founding {
                    founding.hear(now, &from, text);
                }
                self.tell_state(now, &from, 0, out);
            }
            Body::ConfigurationRequest(configuration) => self.tell_state(now, &from, configuration, out),
            Body::Configuration(configuration) => self.take_state(now, configuration, out),
        }
    }

    fn take_vote(
        &mut self, now: Duration, from: &Peer, member: &VoterIdentity, configuration: u32,
        message: Message<Entry>, out: &mut Vec<Output>,
    ) {
        if self.failing.is_some() {
            return;
        }
        let Some(voter) = &mut self.voter else {
            if self.may_tell(now, &from.name) {
                self.send(now, &from.name, Body::ConfigurationRequest(0), out);
            }
            return;
        };
        let mine = voter.configuration.number;
        match configuration.cmp(&mine) {
            std::cmp::Ordering::Equal => voter.take(member, message),
            std::cmp::Ordering::Less => self.tell_state(now, from, configuration, out),
            std::cmp::Ordering::Greater => {
                if self.may_tell(now, &from.name) {
                    self.send(now, &from.name, Body::ConfigurationRequest(mine), out);
                }
            }
        }
    }

    fn take_state(&mut self, now: Duration, configuration: Configuration, out: &mut Vec<Output>) {
        let mine = self.voter.as_ref().map_or(0, |v| v.configuration.number);
        let sits = configuration.voters.contains(&self.member());
        if configuration.number > mine && (sits || mine > 0) && self.failing.is_none() && self.me.disk != 0 {
            self.enter(now, configuration, out);
        }
    }

    fn asked(&mut self, now: Duration, from: Peer, ask: LeaseRequest, out: &mut Vec<Output>) {
        if self.leads() {
            return self.leadership.ask(now, from, None, ask);
        }
        // It may not reach the leader itself.
        let leader =
            self.voter.as_ref().and_then(|v| v.leader()).or(self.lease_holder.leader()).map(str::to_owned);
        if let Some(leader) = leader.filter(|l| *l != self.me.name && *l != from.name) {
            self.send(now, &leader, Body::ForwardedLeaseRequest(from, ask), out);
        }
    }

    fn granted(&mut self, now: Duration, grant: Grant, out: &mut Vec<Output>) {
        let before = self.lease_holder.stuck().map(str::to_owned);
        let came = self.lease_holder.answer(now, grant);
        if came.epoch {
            let (epoch, text) = (self.lease_holder.epoch(), self.lease_holder.text());
            let digest = crate::policy_state::digest(text);
            out.push(Output::Log(format!("policy: acts by epoch {epoch}, digest {digest:016x}")));
            self.founding = None;
        }
        let stuck = self.lease_holder.stuck().map(str::to_owned);
        if let Some(why) = stuck.filter(|why| Some(why) != before.as_ref()) {
            out.push(Output::Log(format!("policy: the policy in force can't be taken here: {why}")));
        }
        if came.ask {
            self.ask(now, out);
        }
    }

    fn round_over(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Some(voter) = &self.voter {
            let answers = self.leadership.confirmed(now, voter);
            self.answer(now, answers, out);
        }
    }

    // ---- By itself ---------------------------------------------------------------------------------

    /// Whom to ask: the leader, or one after the other who may know it.
    fn whom(&self) -> Option<String> {
        if self.leads() {
            return Some(self.me.name.clone());
        }
        let leader = match &self.voter {
            Some(voter) if self.failing.is_none() => voter.leader(),
            _ => None,
        };
        let leader = leader.or(self.lease_holder.leader()).filter(|l| *l != self.me.name);
        if let (Some(leader), false) = (leader, self.lease_holder.is_lost()) {
            return Some(leader.to_owned());
        }
        let voters = self.lease_holder.voters().iter().chain(&self.settings.founders).cloned();
        let mut all: Vec<String> = voters.chain(self.others.names()).filter(|n| *n != self.me.name).collect();
        all.sort();
        all.dedup();
        (!all.is_empty()).then(|| all[self.turn % all.len()].clone())
    }

    fn ask(&mut self, now: Duration, out: &mut Vec<Output>) {
        let ask = self.lease_holder.ask(now);
        self.turn = self.turn.wrapping_add(1);
        match self.whom() {
            Some(to) if to == self.me.name => self.leadership.ask(now, self.me.clone(), None, ask),
            Some(to) => self.send(now, &to, Body::LeaseRequest(ask), out),
            None => {}
        }
    }

    fn found(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(founding) = &mut self.founding else { return };
        if now < founding.next || self.failing.is_some() {
            return;
        }
        founding.next = now + timing::BOOTSTRAP_INTERVAL;
        let wall = (self.wall_ahead + now).as_secs();
        if let Some(configuration) = founding.begin(now, &self.me, &self.settings.policy, wall) {
            self.enter(now, configuration.clone(), out);
            if self.failing.is_none() {
                let me = self.me.name.clone();
                for member in configuration.voters.iter().filter(|s| s.name != me) {
                    self.send(now, &member.name, Body::Configuration(configuration.clone()), out);
                }
            }
            return;
        }
        let others: Vec<String> = founding.others(&self.me.name).cloned().collect();
        for other in others {
            self.send(now, &other, Body::Bootstrap(self.settings.policy.clone()), out);
        }
    }

    /// Operators' words go to the leader until it is known what came of them.
    fn say(&mut self, now: Duration, out: &mut Vec<Output>) {
        for request in self.handle.take_requests() {
            self.requests.push((request, now, None));
        }
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain(|(request, since, _)| {
            now < *since + timing::OPERATOR_REQUEST_TIMEOUT && !self.is_over(request)
        });
        for (request, _, said) in &mut requests {
            if said.is_some_and(|at| now < at + timing::OPERATOR_REQUEST_RETRY) {
                continue;
            }
            if self.leads() {
                *said = Some(now);
                self.leadership.say(request.clone());
            } else if let Some(to) = self.whom() {
                *said = Some(now);
                self.send(now, &to, Body::OperatorRequest(request.clone()), out);
            }
        }
        self.requests = requests;
    }

    fn is_over(&self, request: &OperatorRequest) -> bool {
        match request {
            OperatorRequest::Propose(p) => {
                let told = self.lease_holder.recent().iter().any(|o| o.id == p.id)
                    || self.lease_holder.trial().is_some_and(|(id, _)| *id == p.id);
                let policy_state = self.policy_state();
                told || policy_state.is_some_and(|b| {
                    b.outcome(&p.id).is_some() || b.pending.as_ref().is_some_and(|q| q.id == p.id)
                })
            }
            OperatorRequest::Replace { old, .. } => {
                let voters = self.lease_holder.voters();
                !voters.is_empty() && !voters.contains(old)
            }
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now < self.next_tick {
            return;
        }
        // A process that did not run does not make up for the ticks that it missed.
        self.next_tick = now + timing::TICK;
        if let (Some(voter), None) = (&mut self.voter, &self.failing) {
            voter.tick();
        }
        for name in self.connections.late(now, out) {
            self.broke_off(&name);
        }
        self.found(now, out);
        self.say(now, out);
    }

    /// Does what follows from what has come, until nothing more does.
    fn run(&mut self, now: Duration, out: &mut Vec<Output>) {
        for _ in 0..MAX_STEPS_PER_INPUT {
            if !self.persist(now, out) {
                break;
            }
            let Some(voter) = &mut self.voter else { break };
            let (entries, next) = voter.apply();
            for (to, message) in voter.messages() {
                let configuration = configuration_of(self.voter.as_ref());
                self.send(now, &to, Body::Vote(configuration, message), out);
            }
            if let Some(configuration) = next {
                let old = self.voter.as_ref().map(|v| v.configuration.voters.clone()).unwrap_or_default();
                self.enter(now, configuration.clone(), out);
                // New voters are told at once; the others come to it by themselves, or ask.
                let me = self.me.name.clone();
                for member in configuration.voters.iter().filter(|s| !old.contains(s) && s.name != me) {
                    self.send(now, &member.name, Body::Configuration(configuration.clone()), out);
                }
                continue;
            }
            if !self.lead(now, out) && entries.is_empty() {
                break;
            }
        }
        if now >= self.lease_holder.due() {
            self.ask(now, out);
            // One that leads answers itself as soon as it is confirmed.
            if self.failing.is_none() {
                self.lead(now, out);
            }
        }
    }

    /// What a leader does. Whether it asked for something of the voters.
    fn lead(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        let Some(voter) = &mut self.voter else { return false };
        if !self.leadership.mind(now, voter) {
            if !voter.leads() {
                voter.forget_round();
            }
            return false;
        }
        let news = self.leadership.news(now, voter);
        let step = self.leadership.step(now, voter);
        let begins = step.is_none() && self.leadership.begins_round(voter);
        let question = if begins { voter.ask_to_confirm(now) } else { voter.ask_again(now) };
        let asked = step.is_some();
        match step {
            Some(LeaderAction::Append(entry)) => voter.append(entry),
            Some(LeaderAction::Reconfigure(members)) => voter.hand_over(&members),
            None => {}
        }
        let confirmed = voter.has_confirmed();
        let names: Vec<String> = voter.configuration.voters.iter().map(|s| s.name.clone()).collect();
        self.answer(now, news, out);
        if let Some(question) = question {
            let me = self.me.name.clone();
            for name in names.iter().filter(|n| **n != me) {
                self.send(now, name, Body::Heartbeat(question), out);
            }
        }
        if confirmed {
            self.round_over(now, out);
        }
        asked
    }

    // ---- Showing -----------------------------------------------------------------------------------

    fn show(&mut self) {
        let (epoch, until) = self.acts_by();
        if self.permitted != Some((epoch, until)) {
            self.permitted = Some((epoch, until));
            let made = self.lease_holder.made().cloned();
            self.handle.set_permit(Permit {
                epoch,
                until,
                policy: made,
                partition_mode: self.settings.partition_mode,
            });
        }
        let mut trouble: Vec<String> = self.damage.iter().cloned().collect();
        trouble.extend(
            self.failing.iter().map(|(_, why)| format!("does not vote: the folder can't be written: {why}")),
        );
        trouble.extend(self.lease_holder.stuck().map(|why| format!("can't take the policy in force: {why}")));
        if self.founding.is_some() {
            trouble.push(format!(
                "no policy is in force yet: waits for all founders: {}",
                self.settings.founders.join(", ")
            ));
        }
        let policy_state = self.voter.as_ref().map(Voter::policy_state);
        let known = policy_state
            .map_or(self.lease_holder.recent().len(), |b| b.outcomes.len() + b.forgotten as usize);
        let configuration = configuration_of(self.voter.as_ref());
        let pending = self.pending();
        let leader = self.leader().map(str::to_owned);
        let last = self.lease_holder.recent().last().map_or(0, |o| o.digest);
        let key = (configuration, epoch, last, pending.clone(), leader.clone(), trouble.clone(), known);
        if self.shown.as_ref() == Some(&key) {
            return;
        }
        self.shown = Some(key);
        let text = self.lease_holder.text().to_owned();
        let voters = match &self.voter {
            Some(voter) => voter.configuration.voters.iter().map(|s| s.name.clone()).collect(),
            None => self.lease_holder.voters().to_vec(),
        };
        let (outcomes, forgotten, texts) = match policy_state {
            Some(policy_state) => (
                policy_state.outcomes.iter().cloned().collect(),
                policy_state.forgotten,
                policy_state.kept_texts(),
            ),
            None => (self.lease_holder.recent().to_vec(), 0, Vec::new()),
        };
        self.handle.set_status(RouterStatus {
            name: self.me.name.clone(),
            epoch,
            digest: if epoch == 0 { 0 } else { crate::policy_state::digest(&text) },
            text,
            pending,
            leader,
            voters,
            votes: self.votes(),
            outcomes,
            forgotten,
            texts,
            faults: trouble,
        });
    }

    fn leader(&self) -> Option<&str> {
        if self.leads() {
            return Some(&self.me.name);
        }
        self.lease_holder.leader()
    }

    fn pending(&self) -> Option<(String, Vec<String>)> {
        let told = self.lease_holder.trial().cloned();
        // A voter that has just started may lack what the others have decided since: its word counts when it has caught up.
        let caught_up = self.voter.as_ref().is_some_and(|v| {
            self.lease_holder.leader().is_some()
                && self.lease_holder.version() <= (v.configuration.number, v.applied() as u64)
        });
        let policy_state =
            self.policy_state().filter(|_| caught_up).and_then(|b| b.pending.as_ref()).map(|p| p.id.clone());
        match (told, policy_state) {
            (Some(told), _) => Some(told),
            (None, Some(id)) => Some((id, Vec::new())),
            (None, None) => None,
        }
    }

    fn inbound(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some((got, heard)) = self.inbound.get_mut(&conn) else { return };
        *heard = now;
        got.extend(bytes);
        loop {
            let Some((got, _)) = self.inbound.get_mut(&conn) else { return };
            match Frame::decode(got) {
                Ok(None) if got.len() <= MAX_FRAME_LEN + 64 => return,
                Ok(None) => return self.refuse(now, conn, &FrameError::TooLong(bytes.len()), out),
                Err(bad) => return self.refuse(now, conn, &bad, out),
                Ok(Some((frame, used))) => {
                    got.drain(..used);
                    out.push(Output::Write(conn, vec![1]));
                    self.take(now, frame, out);
                }
            }
        }
    }

    fn refuse(&mut self, now: Duration, conn: ConnId, bad: &FrameError, out: &mut Vec<Output>) {
        self.inbound.remove(&conn);
        out.push(Output::Abort(conn));
        self.bad(now, bad, out);
    }
}

fn configuration_of(voter: Option<&Voter>) -> u32 {
    voter.map_or(0, |v| v.configuration.number)
}

impl Machine for Consensus {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if self.stopped {
            return;
        }
        match input {
            Input::Datagram(_, _, bytes) => match Frame::decode(bytes) {
                Ok(Some((frame, _))) => self.take(now, frame, out),
                Ok(None) => self.bad(now, &FrameError::Checksum, out),
                Err(bad) => self.bad(now, &bad, out),
            },
            Input::Accepted(conn, _) => {
                // Its place is that of the one which has been silent longest: a peer that was cut off leaves connections that never end.
                if self.inbound.len() >= MAX_INBOUND_CONNECTIONS {
                    let oldest = self.inbound.iter().min_by_key(|(_, (_, heard))| *heard).map(|(c, _)| *c);
                    if let Some(oldest) = oldest {
                        self.inbound.remove(&oldest);
                        out.push(Output::Abort(oldest));
                    }
                }
                self.inbound.insert(conn, (Vec::new(), now));
            }
            Input::Connected(conn) => self.connections.connected(conn, out),
            Input::Data(conn, bytes) if conn.is_opened() => self.connections.acked(conn, bytes.len()),
            Input::Data(conn, bytes) => self.inbound(now, conn, bytes, out),
            Input::PeerClosedWhilePaused(_) | Input::DescriptorsExhausted(_) => {}
            Input::Eof(conn) => {
                if self.inbound.remove(&conn).is_some() || self.connections.has(conn) {
                    out.push(Output::Abort(conn));
                }
                if let Some(name) = self.connections.lost(conn) {
                    self.broke_off(&name);
                }
            }
            Input::Lost(conn, _) => {
                self.inbound.remove(&conn);
                if let Some(name) = self.connections.lost(conn) {
                    self.broke_off(&name);
                }
            }
            Input::Stop => {
                let ask = self.lease_holder.give_up();
                self.show();
                match self.whom() {
                    Some(to) if to == self.me.name => {}
                    Some(to) => self.send(now, &to, Body::LeaseRequest(ask), out),
                    None => {}
                }
                self.stopped = true;
            }
            Input::Sent(..) | Input::Wake | Input::OwnerMessage(_) => {}
        }
        if self.stopped {
            return;
        }
        self.tick(now, out);
        self.run(now, out);
        self.due = self.voter.as_ref().filter(|_| self.leads()).and_then(|v| self.leadership.due(now, v));
        self.show();
    }

    fn wake_at(&self) -> Option<Duration> {
        (!self.stopped)
            .then(|| self.next_tick.min(self.lease_holder.due()).min(self.due.unwrap_or(Duration::MAX)))
    }
}
