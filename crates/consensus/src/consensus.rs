//! The state machine of one router: it receives and sends frames, persists state before it sends any message
//! that depends on that state, and runs timers.

mod leading;
mod operators;
mod receive;
mod status;

use crate::bootstrap::Bootstrap;
use crate::configuration::Configuration;
use crate::disk::{DurableFile, Persisted};
use crate::leadership::Leadership;
use crate::lease_holder::{Lease, LeaseHolder};
use crate::policy_state::PolicyState;
use crate::startup::{ConsensusConfig, Startup};
use crate::storage::{PersistedState, StoredState};
use crate::timing;
use crate::transport::{Delivery, Transport};
use crate::voter::Voter;
use crate::wire::{Body, Peer};
use operators::PendingRequest;
use receive::identity_of;
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use status::StatusPublisher;
use std::time::Duration;

/// The timers of the machine.
struct Timers {
    next_tick: Duration,
    /// When the leader's next duty is due, if this router leads.
    leader_due: Option<Duration>,
}

/// The consensus state machine of one router: its state as a voter, if it is one, its lease, and its state as
/// leader while it leads.
pub struct Consensus {
    config: ConsensusConfig,
    me: Peer,
    /// The state as a voter of the current configuration; `None`: this router is not a voter.
    voter: Option<Voter>,
    leadership: Leadership,
    lease_holder: LeaseHolder,
    /// Set on a founder until it knows a first configuration.
    bootstrap: Option<Bootstrap>,
    durable_file: DurableFile,
    /// Why the stored log was rejected, in which case the router does not vote.
    stored_log_error: Option<String>,
    transport: Transport,
    operator_requests: Vec<PendingRequest>,
    publisher: StatusPublisher,
    timers: Timers,
    unix_time_at_zero: Duration,
    /// Selects the router that is asked next for a lease while no leader is known.
    next_candidate: usize,
    stopped: bool,
}

impl Consensus {
    /// Creates the state machine of a router that starts, with the state that it has stored.
    pub fn new(config: ConsensusConfig, startup: Startup, now: Duration) -> Consensus {
        let transport = Transport::new(config.fleet.clone(), config.max_datagram_len, startup.directory);
        let mut consensus = Consensus {
            me: Peer { name: config.name.clone(), disk: 0, incarnation: startup.seed | 1 },
            voter: None,
            leadership: Leadership::default(),
            lease_holder: LeaseHolder::new(startup.compiler),
            bootstrap: None,
            durable_file: DurableFile::new(startup.disk),
            stored_log_error: None,
            transport,
            operator_requests: Vec::new(),
            publisher: StatusPublisher::new(startup.handle),
            timers: Timers { next_tick: now, leader_due: None },
            unix_time_at_zero: startup.unix_time_at_zero,
            next_candidate: 0,
            stopped: false,
            config,
        };
        match startup.stored {
            None => {}
            Some(Ok(stored)) => consensus.recover(now, stored, startup.seed),
            // The router may have made a promise that it can no longer read, so it must not vote. The file is
            // kept for the operator.
            Some(Err(error)) => {
                consensus.stored_log_error = Some(format!("does not vote: its log is refused: {error}"));
            }
        }
        consensus
    }

    fn recover(&mut self, now: Duration, stored: StoredState, seed: u64) {
        self.me.disk = stored.disk.unwrap_or(seed.rotate_left(17) | 1);
        let identity = identity_of(&self.me);
        self.voter = stored
            .configuration
            .and_then(|stored| Voter::new(stored.configuration, &identity, stored.persisted));
        // Rewriting the whole file ensures that it ends with a complete frame, and detects at start-up a
        // folder that can't be written.
        self.durable_file.rewrite(now, self.me.disk, self.voter.as_ref());
        if self.voter.is_none() && self.config.founders.contains(&self.me.name) {
            self.bootstrap = Some(Bootstrap::new(&self.config.founders));
        }
    }

    /// Whether this router is a voter and its disk can be written.
    pub fn votes(&self) -> bool {
        self.voter.is_some() && self.durable_file.is_healthy()
    }

    /// Whether this router leads the voters, as far as it knows.
    pub fn leads(&self) -> bool {
        self.votes() && self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// The lease under which this router accepts requests.
    pub fn current_lease(&self) -> Lease {
        self.lease_holder.lease()
    }

    /// The state after all entries that this router knows to be decided, if it is a voter.
    pub fn policy_state(&self) -> Option<&PolicyState> {
        self.voter.as_ref().map(Voter::policy_state)
    }

    /// The number of the current configuration; 0: this router is not a voter.
    fn configuration_number(&self) -> u32 {
        self.voter.as_ref().map_or(0, |voter| voter.configuration.number)
    }

    /// Writes the state that is not on the disk yet. Returns false if it is still not on the disk; then no
    /// message that depends on it may be sent.
    fn persist(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        match self.durable_file.persist(now, self.me.disk, self.voter.as_ref()) {
            Persisted::Written => true,
            Persisted::Recovered => {
                out.push(Output::Log("policy: the folder can be written again; this router votes".into()));
                true
            }
            Persisted::Failed => {
                self.log_write_error(out);
                false
            }
            Persisted::StillFailing => false,
        }
    }

    fn log_write_error(&self, out: &mut Vec<Output>) {
        if let Some(why) = self.durable_file.error() {
            out.push(Output::Log(format!(
                "policy: the folder can't be written: {why}; this router does not vote"
            )));
        }
    }

    /// Enters a configuration, whose initial state has been decided.
    fn enter_configuration(&mut self, now: Duration, configuration: Configuration, out: &mut Vec<Output>) {
        let (number, voters) = (configuration.number, configuration.voters.len());
        self.voter = Voter::new(configuration, &identity_of(&self.me), PersistedState::default());
        self.bootstrap = None;
        self.durable_file.rewrite(now, self.me.disk, self.voter.as_ref());
        self.log_write_error(out);
        let part = if self.voter.is_some() { "votes" } else { "does not vote any more" };
        out.push(Output::Log(format!(
            "policy: configuration {number} of {voters} voters; this router {part}"
        )));
    }

    fn send(&mut self, now: Duration, to: &str, body: Body, out: &mut Vec<Output>) {
        if self.transport.send(now, &self.me, to, body, out) == Delivery::ConnectionDropped {
            self.resynchronise(to);
        }
    }

    /// Makes the voters synchronise their logs again, as frames to a peer may have been lost.
    fn resynchronise(&mut self, peer: &str) {
        if let Some(voter) = &mut self.voter {
            voter.resynchronise(peer);
        }
    }

    /// The router to ask for a lease: the leader, if it is known and answers, or else each of the routers
    /// that may know it in turn.
    fn lease_request_target(&self) -> Option<String> {
        if self.leads() {
            return Some(self.me.name.clone());
        }
        let leader = match &self.voter {
            Some(voter) if self.durable_file.is_healthy() => voter.leader(),
            _ => None,
        };
        let leader = leader.or(self.lease_holder.leader()).filter(|leader| *leader != self.me.name);
        if let (Some(leader), false) = (leader, self.lease_holder.leader_is_silent()) {
            return Some(leader.to_owned());
        }
        let voters = self.lease_holder.voters().iter().chain(&self.config.founders).cloned();
        let known = voters.chain(self.transport.known_routers());
        let mut candidates: Vec<String> = known.filter(|name| *name != self.me.name).collect();
        candidates.sort();
        candidates.dedup();
        (!candidates.is_empty()).then(|| candidates[self.next_candidate % candidates.len()].clone())
    }

    fn request_lease(&mut self, now: Duration, out: &mut Vec<Output>) {
        let request = self.lease_holder.next_request(now);
        self.next_candidate = self.next_candidate.wrapping_add(1);
        match self.lease_request_target() {
            Some(to) if to == self.me.name => {
                self.leadership.record_request(now, self.me.clone(), None, request);
            }
            Some(to) => self.send(now, &to, Body::LeaseRequest(request), out),
            None => {}
        }
    }

    fn bootstrap_fleet(&mut self, now: Duration, out: &mut Vec<Output>) {
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if now < bootstrap.next_announcement_at || !self.durable_file.is_healthy() {
            return;
        }
        bootstrap.next_announcement_at = now + timing::BOOTSTRAP_INTERVAL;
        let unix_s = (self.unix_time_at_zero + now).as_secs();
        if let Some(configuration) = bootstrap.first_configuration(now, &self.me, &self.config.policy, unix_s)
        {
            return self.enter_first_configuration(now, configuration, out);
        }
        let others: Vec<String> = bootstrap.others(&self.me.name).cloned().collect();
        for other in others {
            self.send(now, &other, Body::Bootstrap(self.config.policy.clone()), out);
        }
    }

    fn enter_first_configuration(
        &mut self, now: Duration, configuration: Configuration, out: &mut Vec<Output>,
    ) {
        self.enter_configuration(now, configuration.clone(), out);
        if !self.durable_file.is_healthy() {
            return;
        }
        for voter in &configuration.voters {
            if voter.name != self.me.name {
                self.send(now, &voter.name, Body::Configuration(configuration.clone()), out);
            }
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Output>) {
        if now < self.timers.next_tick {
            return;
        }
        // Ticks that were missed while the process did not run are not made up for.
        self.timers.next_tick = now + timing::TICK;
        if let (Some(voter), true) = (&mut self.voter, self.durable_file.is_healthy()) {
            voter.tick();
        }
        for name in self.transport.connections.close_overdue(now, out) {
            self.resynchronise(&name);
        }
        self.bootstrap_fleet(now, out);
        self.forward_operator_requests(now, out);
    }

    fn receive_bytes(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        if !self.transport.buffer_received(now, conn, bytes) {
            return;
        }
        while let Some(frame) = self.transport.next_frame(now, conn, bytes.len(), out) {
            self.receive(now, frame, out);
        }
    }

    /// Releases the lease, so that no change waits for this router, and ignores all further input.
    fn stop(&mut self, now: Duration, out: &mut Vec<Output>) {
        let request = self.lease_holder.release();
        self.publish();
        match self.lease_request_target() {
            Some(to) if to == self.me.name => {}
            Some(to) => self.send(now, &to, Body::LeaseRequest(request), out),
            None => {}
        }
        self.stopped = true;
    }

    fn handle_input(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Datagram(_, _, bytes) => {
                if let Some(frame) = self.transport.decode_datagram(now, bytes, out) {
                    self.receive(now, frame, out);
                }
            }
            Input::Accepted(conn, _) => self.transport.accept(now, conn, out),
            Input::Connected(conn) => self.transport.connections.connected(conn, out),
            Input::Data(conn, bytes) if conn.is_opened() => {
                self.transport.connections.acknowledge(conn, bytes.len());
            }
            Input::Data(conn, bytes) => self.receive_bytes(now, conn, bytes, out),
            Input::Eof(conn) => {
                if let Some(name) = self.transport.closed_by_peer(conn, out) {
                    self.resynchronise(&name);
                }
            }
            Input::Lost(conn, _) => {
                if let Some(name) = self.transport.lost(conn) {
                    self.resynchronise(&name);
                }
            }
            Input::Stop => self.stop(now, out),
            Input::PeerClosedWhilePaused(_) | Input::DescriptorsExhausted(_) => {}
            Input::Sent(..) | Input::Wake | Input::OwnerMessage(_) => {}
        }
    }
}

impl Machine for Consensus {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if self.stopped {
            return;
        }
        self.handle_input(now, input, out);
        if self.stopped {
            return;
        }
        self.tick(now, out);
        self.progress(now, out);
        let leading = self.voter.as_ref().filter(|_| self.leads());
        self.timers.leader_due = leading.and_then(|voter| self.leadership.next_due(now, voter));
        self.publish();
    }

    fn wake_at(&self) -> Option<Duration> {
        let leader_due = self.timers.leader_due.unwrap_or(Duration::MAX);
        (!self.stopped)
            .then(|| self.timers.next_tick.min(self.lease_holder.next_request_at()).min(leader_due))
    }
}
