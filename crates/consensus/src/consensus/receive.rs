//! Handling of messages from peers.

use super::Consensus;
use crate::configuration::Configuration;
use crate::policy_state::{digest, Entry};
use crate::voter::{Heartbeat, Voter};
use crate::voter_identity::VoterIdentity;
use crate::wire::{Body, Frame, Grant, LeaseRequest, Peer};
use omnipaxos::messages::Message;
use slipreel_state_machine::Output;
use std::cmp::Ordering;
use std::time::Duration;

impl Consensus {
    pub(super) fn receive(&mut self, now: Duration, frame: Frame, out: &mut Vec<Output>) {
        let Frame { fleet, from, body } = frame;
        if !self.transport.is_own_fleet(&fleet) || from == self.me {
            return;
        }
        match body {
            Body::Vote { configuration, message } => {
                self.receive_library_message(now, &from, configuration, message, out);
            }
            Body::Heartbeat(heartbeat) => self.receive_heartbeat(now, &from, heartbeat, out),
            Body::HeartbeatAck { term, round } => {
                let voter = identity_of(&from);
                if self.voter.as_mut().is_some_and(|own| own.record_ack(&voter, term, round)) {
                    self.grant_confirmed(now, out);
                }
            }
            Body::LeaseRequest(request) => self.receive_lease_request(now, from, request, out),
            Body::ForwardedLeaseRequest { origin, request } if self.leads() => {
                self.leadership.record_request(now, origin, Some(from.name), request);
            }
            Body::ForwardedLeaseRequest { .. } => {}
            Body::Grant(grant) => self.receive_grant(now, grant, out),
            Body::ForwardedGrant { router, grant } if router == self.me.name => {
                self.receive_grant(now, grant, out);
            }
            Body::ForwardedGrant { router, grant } => self.send(now, &router, Body::Grant(grant), out),
            Body::OperatorRequest(request) => {
                if self.leads() && request.is_within_limits() {
                    self.leadership.queue_request(request);
                }
            }
            Body::Bootstrap(policy) => {
                if let Some(bootstrap) = &mut self.bootstrap {
                    bootstrap.record_announcement(now, &from, policy);
                }
                self.send_configuration(now, &from, 0, out);
            }
            Body::ConfigurationRequest(known) => self.send_configuration(now, &from, known, out),
            Body::Configuration(configuration) => self.receive_configuration(now, configuration, out),
        }
    }

    fn receive_library_message(
        &mut self, now: Duration, from: &Peer, number: u32, message: Message<Entry>, out: &mut Vec<Output>,
    ) {
        if !self.durable_file.is_healthy() {
            return;
        }
        let Some(voter) = &mut self.voter else {
            return self.request_configuration(now, from, 0, out);
        };
        let own_number = voter.configuration.number;
        match number.cmp(&own_number) {
            Ordering::Equal => voter.receive(&identity_of(from), message),
            Ordering::Less => self.send_configuration(now, from, number, out),
            Ordering::Greater => self.request_configuration(now, from, own_number, out),
        }
    }

    /// Handles the heartbeat of a leader, which asks the voters to confirm that it still leads.
    fn receive_heartbeat(&mut self, now: Duration, from: &Peer, heartbeat: Heartbeat, out: &mut Vec<Output>) {
        let confirms = self.durable_file.is_healthy()
            && self.voter.as_mut().is_some_and(|voter| voter.handle_heartbeat(now, &heartbeat));
        if confirms {
            self.send(
                now,
                &from.name,
                Body::HeartbeatAck { term: heartbeat.term, round: heartbeat.round },
                out,
            );
        }
    }

    fn receive_lease_request(
        &mut self, now: Duration, from: Peer, request: LeaseRequest, out: &mut Vec<Output>,
    ) {
        if self.leads() {
            return self.leadership.record_request(now, from, None, request);
        }
        // The sender may be unable to reach the leader, so the request is forwarded.
        let leader = self.voter.as_ref().and_then(Voter::leader).or(self.lease_holder.leader());
        let leader = leader.map(str::to_owned).filter(|leader| *leader != self.me.name);
        if let Some(leader) = leader.filter(|leader| *leader != from.name) {
            self.send(now, &leader, Body::ForwardedLeaseRequest { origin: from, request }, out);
        }
    }

    pub(super) fn receive_grant(&mut self, now: Duration, grant: Grant, out: &mut Vec<Output>) {
        let error_before = self.lease_holder.policy_error().cloned();
        let effect = self.lease_holder.apply_grant(now, grant);
        if effect.epoch_changed {
            let (epoch, digest) = (self.lease_holder.epoch(), digest(self.lease_holder.text()));
            out.push(Output::Log(format!("policy: acts by epoch {epoch}, digest {digest:016x}")));
            self.bootstrap = None;
        }
        let error = self.lease_holder.policy_error().cloned();
        if let Some(why) = error.filter(|why| Some(why) != error_before.as_ref()) {
            out.push(Output::Log(format!("policy: the policy in force can't be taken here: {why}")));
        }
        if effect.request_due {
            self.request_lease(now, out);
        }
    }

    fn receive_configuration(&mut self, now: Duration, configuration: Configuration, out: &mut Vec<Output>) {
        let own_number = self.configuration_number();
        let is_voter = configuration.voters.contains(&identity_of(&self.me));
        let is_relevant = is_voter || own_number > 0;
        let can_store = self.durable_file.is_healthy() && self.me.disk != 0;
        if configuration.number > own_number && is_relevant && can_store {
            self.enter_configuration(now, configuration, out);
        }
    }

    /// Requests the current configuration from a peer that seems to know a later one than number `known`.
    fn request_configuration(&mut self, now: Duration, peer: &Peer, known: u32, out: &mut Vec<Output>) {
        if self.transport.may_exchange_configuration(now, &peer.name) {
            self.send(now, &peer.name, Body::ConfigurationRequest(known), out);
        }
    }

    /// Sends the current configuration to a peer that knows only number `known`, if that peer is or was a
    /// voter.
    fn send_configuration(&mut self, now: Duration, peer: &Peer, known: u32, out: &mut Vec<Output>) {
        let Some(configuration) = self.voter.as_ref().map(|voter| &voter.configuration) else { return };
        // A peer that was a voter and no longer is must learn that, too.
        let is_relevant = configuration.voters.contains(&identity_of(peer)) || known > 0;
        if configuration.number > known && is_relevant && self.durable_file.is_healthy() {
            let configuration = configuration.clone();
            if self.transport.may_exchange_configuration(now, &peer.name) {
                self.send(now, &peer.name, Body::Configuration(configuration), out);
            }
        }
    }
}

/// The identity under which a peer votes.
pub(super) fn identity_of(peer: &Peer) -> VoterIdentity {
    VoterIdentity { name: peer.name.clone(), disk: peer.disk }
}
