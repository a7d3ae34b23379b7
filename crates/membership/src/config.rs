//! The settings of a member, and the addresses at which it finds other members.

use crate::saved_state::Contact;
use crate::table::{MemberState, MemberTable};
use slipreel_protocol::membership::MemberRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The settings of a member. They do not change while it runs.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The fleet's name.
    pub fleet: String,
    /// The member's name.
    pub name: String,
    /// The address at which other members reach it, over UDP and TCP.
    pub address: SocketAddr,
    /// The number of routers that this process runs.
    pub routers: u32,
    /// The minimum number of routers to divide quotas by for the first
    /// [`crate::router_count::SILENT_MEMBER_HOLD`] after the start.
    pub min_routers: u32,
    /// The maximum length of a datagram that it sends, in bytes.
    pub max_datagram: usize,
}

/// Configured addresses of other members. A [`slipreel_state_machine::Input::OwnerMessage`] of an
/// `Arc<Peers>` replaces them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Addresses of members to contact at the start, and from time to time while they are not in the view.
    pub seeds: Vec<SocketAddr>,
    /// The addresses at which this member reaches others, by name. A member that is not listed is reached at
    /// the address in its own record.
    pub address_table: BTreeMap<String, SocketAddr>,
}

/// The addresses that this member knows in addition to those in its table.
pub(crate) struct KnownAddresses {
    pub(crate) peers: Peers,
    /// Members that the previous incarnation saved.
    pub(crate) contacts: Vec<Contact>,
}

impl KnownAddresses {
    /// The address at which a member is reached.
    pub(crate) fn address_of(&self, record: &MemberRecord) -> SocketAddr {
        self.peers.address_table.get(&record.name).copied().unwrap_or(record.address)
    }

    /// Sorted addresses of members that are not in the view and may be running: members that are gone without
    /// having left, and members of the address table, contacts and seeds that are not in the view.
    pub(crate) fn absent(&self, own: &MemberRecord, table: &MemberTable) -> Vec<SocketAddr> {
        let is_present_or_left = |name: &str| {
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
        for (_, address) in address_table.iter().filter(|(name, _)| !is_present_or_left(name)) {
            absent.push(*address);
        }
        for contact in self.contacts.iter().filter(|contact| !is_present_or_left(&contact.name)) {
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
