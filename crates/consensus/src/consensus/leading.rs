//! What follows each input: state is persisted first, then messages are sent, then the leader's duties are
//! carried out.

use super::Consensus;
use crate::configuration::Configuration;
use crate::leadership::{AddressedGrant, LeaderAction};
use crate::voter::{Heartbeat, OutgoingMessage};
use crate::wire::Body;
use slipreel_state_machine::Output;
use std::time::Duration;

/// The most steps of [`Consensus::progress`] for one input. Each is a consequence of the one before; a few
/// are enough.
const MAX_STEPS_PER_INPUT: usize = 16;

impl Consensus {
    /// Persists, applies, sends and leads until the input has no further consequences. Then requests a lease,
    /// if a request is due.
    pub(super) fn progress(&mut self, now: Duration, out: &mut Vec<Output>) {
        for _ in 0..MAX_STEPS_PER_INPUT {
            if !self.progress_once(now, out) {
                break;
            }
        }
        if now >= self.lease_holder.next_request_at() {
            self.request_lease(now, out);
            // A leader grants its own request as soon as it is confirmed.
            if self.durable_file.is_healthy() {
                self.carry_out_leader_duties(now, out);
            }
        }
    }

    /// One step: writes unwritten state, applies decided entries, sends messages, and carries out the
    /// leader's duties. Returns whether another step may be needed.
    fn progress_once(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        if !self.persist(now, out) {
            return false;
        }
        let Some(voter) = &mut self.voter else { return false };
        let applied = voter.apply();
        let configuration = voter.configuration.number;
        for OutgoingMessage { to, message } in voter.take_messages() {
            self.send(now, &to, Body::Vote { configuration, message }, out);
        }
        if let Some(next) = applied.next_configuration {
            self.enter_next_configuration(now, next, out);
            return true;
        }
        self.carry_out_leader_duties(now, out) || applied.entry_count > 0
    }

    /// Enters the configuration that follows the current one, and sends it to the voters that join. The other
    /// voters apply the same entry themselves, or request the configuration.
    fn enter_next_configuration(&mut self, now: Duration, next: Configuration, out: &mut Vec<Output>) {
        let old = self.voter.as_ref().map(|voter| voter.configuration.voters.clone()).unwrap_or_default();
        self.enter_configuration(now, next.clone(), out);
        for voter in next.voters.iter().filter(|voter| !old.contains(voter)) {
            if voter.name != self.me.name {
                self.send(now, &voter.name, Body::Configuration(next.clone()), out);
            }
        }
    }

    /// Carries out the duties of the leader, if this router leads. Returns whether it appended an entry to
    /// the log.
    fn carry_out_leader_duties(&mut self, now: Duration, out: &mut Vec<Output>) -> bool {
        let Some(voter) = &mut self.voter else { return false };
        if !self.leadership.sync_term(now, voter) {
            if !voter.leads() {
                voter.abandon_round();
            }
            return false;
        }
        let announcement_grants = self.leadership.announcement_grants(now, voter);
        let action = self.leadership.next_action(now, voter);
        let begins_round = action.is_none() && self.leadership.begin_round(voter);
        let heartbeat =
            if begins_round { voter.begin_heartbeat_round(now) } else { voter.resend_heartbeat(now) };
        let appended = action.is_some();
        match action {
            Some(LeaderAction::Append(entry)) => voter.append(entry),
            Some(LeaderAction::Reconfigure(voters)) => voter.end_configuration(&voters),
            None => {}
        }
        let confirmed = voter.finish_confirmed_round();
        let names: Vec<String> = voter.configuration.voters.iter().map(|voter| voter.name.clone()).collect();
        self.send_grants(now, announcement_grants, out);
        if let Some(heartbeat) = heartbeat {
            self.send_heartbeat(now, &names, heartbeat, out);
        }
        if confirmed {
            self.grant_confirmed(now, out);
        }
        appended
    }

    fn send_heartbeat(
        &mut self, now: Duration, voters: &[String], heartbeat: Heartbeat, out: &mut Vec<Output>,
    ) {
        for name in voters {
            if *name != self.me.name {
                self.send(now, name, Body::Heartbeat(heartbeat), out);
            }
        }
    }

    /// Answers the lease requests that waited for a majority to confirm that this router leads.
    pub(super) fn grant_confirmed(&mut self, now: Duration, out: &mut Vec<Output>) {
        if let Some(voter) = &self.voter {
            let grants = self.leadership.round_confirmed(now, voter);
            self.send_grants(now, grants, out);
        }
    }

    fn send_grants(&mut self, now: Duration, grants: Vec<AddressedGrant>, out: &mut Vec<Output>) {
        for AddressedGrant { peer, forwarder, grant } in grants {
            match forwarder {
                _ if peer == self.me => self.receive_grant(now, grant, out),
                Some(voter) => self.send(now, &voter, Body::ForwardedGrant { router: peer.name, grant }, out),
                None => self.send(now, &peer.name, Body::Grant(grant), out),
            }
        }
    }
}
