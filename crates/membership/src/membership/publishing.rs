//! Log lines, and publication of the view and of the state to save.

use super::Membership;
use crate::saved_state::{Contact, MAX_CONTACTS};
use crate::table::{MemberChange, MemberEntry, MemberState};
use crate::{MemberStatus, MemberView, MembershipView, SavedState};
use slipreel_state_machine::Output;
use std::time::Duration;

/// The maximum number of changes that are logged one by one at a time; one line gives the number of the
/// others.
const MAX_LOGGED_CHANGES: usize = 24;
/// While nothing but counters changes, the view is published once per this many rounds: every five seconds.
const ROUNDS_PER_COUNTER_UPDATE: u32 = 25;

/// The values that are published as soon as they change, unlike the message counters.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct PublishedState {
    is_settled: bool,
    status: MemberStatus,
    digest: u64,
    router_count: u32,
    changes: u64,
}

impl Membership {
    /// Logs a rejected message or claim, subject to the rate limit for such lines.
    pub(super) fn log_rejection(&mut self, now: Duration, what: &str, out: &mut Vec<Output>) {
        if let Some(times) = self.rejection_log.count(now) {
            out.push(Output::Log(format!("fleet: not taken ({times} since the last line): {what}")));
        }
    }

    /// Logs and counts the changes in the table since the last call, and updates the digest.
    pub(super) fn apply_changes(&mut self, now: Duration, out: &mut Vec<Output>) {
        let changes = self.table.take_changes();
        if changes.is_empty() {
            return;
        }
        self.counters.changes += changes.len() as u64;
        log_changes(&changes, out);
        let digest = self.table.digest(&self.local.record);
        if digest != self.agreement.digest {
            self.agreement.digest = digest;
            self.agreement.last_change = now;
            self.publish_saved_state(now);
        }
    }

    /// Publishes the state to be stored for the next start.
    pub(super) fn publish_saved_state(&self, now: Duration) {
        let present = self
            .table
            .present()
            .map(|entry| Contact { name: entry.record.name.clone(), address: entry.record.address });
        let mut contacts: Vec<Contact> = present.take(MAX_CONTACTS).collect();
        // Contacts of earlier incarnations are kept: a member that sees no others has no new contacts, and
        // may be in a partition.
        for saved in &self.addresses.contacts {
            if contacts.len() < MAX_CONTACTS && contacts.iter().all(|contact| contact.name != saved.name) {
                contacts.push(saved.clone());
            }
        }
        contacts.sort();
        self.shared.publish_saved_state(SavedState {
            incarnation: self.local.record.incarnation,
            router_count: self.router_count(now),
            contacts,
        });
    }

    /// Publishes the view if it has changed, or if counters are due ([`ROUNDS_PER_COUNTER_UPDATE`]).
    pub(super) fn publish_view(&mut self, now: Duration) {
        let state = PublishedState {
            is_settled: self.is_settled(now),
            status: self.local.status,
            digest: self.agreement.digest,
            router_count: self.router_count(now),
            changes: self.counters.changes,
        };
        if self.last_published == Some(state) && self.local.round % ROUNDS_PER_COUNTER_UPDATE != 0 {
            return;
        }
        if self.last_published.is_some_and(|published| published.router_count != state.router_count) {
            self.publish_saved_state(now);
        }
        self.last_published = Some(state);
        self.shared.publish_view(self.view(state));
    }

    fn view(&self, state: PublishedState) -> MembershipView {
        let own = &self.local.record;
        let others = self.table.iter().map(|entry| self.member_view(entry));
        let mut members: Vec<MemberView> = others.chain([self.own_view()]).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        MembershipView {
            fleet: self.settings.fleet.clone(),
            name: own.name.clone(),
            incarnation: own.incarnation,
            status: state.status,
            is_settled: state.is_settled,
            digest: state.digest,
            router_count: state.router_count,
            members,
            counters: self.counters,
        }
    }

    fn member_view(&self, entry: &MemberEntry) -> MemberView {
        MemberView {
            name: entry.record.name.clone(),
            address: self.address_of(&entry.record),
            incarnation: entry.record.incarnation,
            state: entry.state,
            since: entry.state_since,
            has_left: entry.record.has_left,
        }
    }

    fn own_view(&self) -> MemberView {
        let own = &self.local.record;
        MemberView {
            name: own.name.clone(),
            address: own.address,
            incarnation: own.incarnation,
            state: if own.has_left { MemberState::Gone } else { MemberState::Alive },
            since: self.timer.started,
            has_left: own.has_left,
        }
    }
}

fn log_changes(changes: &[MemberChange], out: &mut Vec<Output>) {
    for change in changes.iter().take(MAX_LOGGED_CHANGES) {
        let from = change.from.map_or_else(|| "unknown".to_owned(), |state| state.to_string());
        out.push(Output::Log(format!(
            "fleet: member={} incarnation={} from={from} to={} why=\"{}\"",
            change.name, change.incarnation, change.to, change.reason
        )));
    }
    if changes.len() > MAX_LOGGED_CHANGES {
        out.push(Output::Log(format!("fleet: and {} changes more", changes.len() - MAX_LOGGED_CHANGES)));
    }
}
