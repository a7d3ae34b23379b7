//! What a member is given: its settings, and how it finds others.

use crate::saved_state::Contact;
use crate::table::{MemberState, MemberTable};
use slipreel_protocol::membership::MemberRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The settings of a member, fixed from its start.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The fleet's name.
    pub fleet: String,
    /// The member's name.
    pub name: String,
    /// The address at which other members reach it, by datagrams and by TCP.
    pub address: SocketAddr,
    /// The number of routers that this process runs.
    pub routers: u32,
    /// The least number of routers to divide quotas by until the fleet has been seen for a while.
    pub min_routers: u32,
    /// The longest datagram that it sends, in bytes.
    pub max_datagram: usize,
}

/// How others are found. A new value arrives as [`slipreel_state_machine::Input::OwnerMessage`] of an `Arc<Peers>`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Addresses of members to contact at the start, and now and then while they are not in the view.
    pub seeds: Vec<SocketAddr>,
    /// The addresses at which this member reaches others by name; members not listed are reached at the address that they state.
    pub address_table: BTreeMap<String, SocketAddr>,
}

/// All addresses that this member knows beside those in its table.
pub(crate) struct KnownAddresses {
    pub(crate) peers: Peers,
    /// From the saved state of the incarnation before.
    pub(crate) contacts: Vec<Contact>,
}

impl KnownAddresses {
    /// The address at which a member is reached.
    pub(crate) fn address_of(&self, record: &MemberRecord) -> SocketAddr {
        self.peers.address_table.get(&record.name).copied().unwrap_or(record.address)
    }

    /// Addresses, sorted, of members that are not in the view and may be running: members that are gone without having left,
    /// and those of the address table, the contacts and the seeds that are not in the view.
    pub(crate) fn absent(&self, own: &MemberRecord, table: &MemberTable) -> Vec<SocketAddr> {
        let is_accounted_for = |name: &str| {
            name == own.name
                || table
                    .get(name)
                    .is_some_and(|entry| entry.state != MemberState::Gone || entry.record.has_left)
        };
        let is_in_view = |address: SocketAddr| {
            table
                .present()
                .any(|entry| entry.record.address == address || self.address_of(&entry.record) == address)
        };
        let address_table = &self.peers.address_table;
        let mut absent = Vec::new();
        for entry in table.iter().filter(|e| e.state == MemberState::Gone && !e.record.has_left) {
            absent.push(self.address_of(&entry.record));
        }
        for (_, address) in address_table.iter().filter(|(name, _)| !is_accounted_for(name)) {
            absent.push(*address);
        }
        for contact in self.contacts.iter().filter(|contact| !is_accounted_for(&contact.name)) {
            absent.push(address_table.get(&contact.name).copied().unwrap_or(contact.address));
        }
        for seed in self.peers.seeds.iter().filter(|seed| **seed != own.address && !is_in_view(**seed)) {
            absent.push(*seed);
        }
        absent.sort_unstable();
        absent.dedup();
        absent
    }
}
