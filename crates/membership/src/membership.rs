//! A member as a state machine: it takes inputs with their time and gives outputs, without I/O and without a clock.
//!
//! The machine is cut by concern: [`sending`] (dissemination), [`receiving`] (merging of messages and replies), [`rounds`] (heartbeat
//! rounds, joining and leaving), [`own_name`] (conflicts about this member's name) and [`publishing`] (view, saved state and log).

mod own_name;
mod publishing;
mod receiving;
mod rounds;
mod sending;

use crate::config::KnownAddresses;
use crate::departure::Departure;
use crate::log_limiter::LogLimiter;
use crate::name_conflict::NameConflict;
use crate::router_count::{self, LocalRouters};
use crate::state_sync::StateSync;
use crate::{timing, Counters, MemberStatus, MemberTable, MembershipSettings, Peers, SavedState, SharedView};
use publishing::PublishedState;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_protocol::membership::MemberRecord;
use slipreel_state_machine::{Input, Machine, Output};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What this member says of itself.
struct LocalMember {
    record: MemberRecord,
    /// The number of rounds since the start.
    round: u32,
    status: MemberStatus,
}

/// The timing of rounds, and of this process itself.
struct RoundTimer {
    started: Duration,
    /// When the last input came: a long gap means that this process did not run.
    last_input: Duration,
    next_round: Duration,
}

/// How far this member's view agrees with those of others.
struct ViewAgreement {
    /// A hash of this member's view.
    digest: u64,
    /// When the view changed last.
    last_change: Duration,
    /// When another member last reported a different view.
    last_disagreement: Duration,
}

impl ViewAgreement {
    fn is_unchanged(&self, now: Duration) -> bool {
        now >= self.last_change + timing::SETTLED_AFTER
    }

    fn is_settled(&self, now: Duration) -> bool {
        now >= self.last_change.max(self.last_disagreement) + timing::SETTLED_AFTER
    }
}

/// A conflict about this member's name.
#[derive(Default)]
struct ConflictState {
    /// The process that holds the name, if one is known.
    holder: Option<NameConflict>,
    /// When another process of this name was last told to yield.
    last_notice: Option<Duration>,
}

/// Anti-entropy: requests for full states and synchronisations over TCP.
#[derive(Default)]
struct Synchronisation {
    connections: StateSync,
    /// When this member last asked another one for its full state as the views differed.
    last_request: Option<Duration>,
}

/// A member of a fleet. Takes an `Arc<Peers>` as [`Input::OwnerMessage`].
pub struct Membership {
    settings: MembershipSettings,
    addresses: KnownAddresses,
    local: LocalMember,
    table: MemberTable,
    agreement: ViewAgreement,
    conflict: ConflictState,
    synchronisation: Synchronisation,
    timer: RoundTimer,
    departure: Departure,
    rng: Xoshiro256PlusPlus,
    counters: Counters,
    rejection_log: LogLimiter,
    shared: Arc<SharedView>,
    last_published: Option<PublishedState>,
}

impl Membership {
    /// A member at its start. `saved_state` is what its last incarnation saved; `seed` has to differ at each start. The state to
    /// save is in `shared` from the beginning: it has to be written before the machine runs.
    pub fn new(
        settings: MembershipSettings, peers: Peers, saved_state: &SavedState, seed: u64, now: Duration,
        shared: Arc<SharedView>,
    ) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let record = MemberRecord {
            name: settings.name.clone(),
            incarnation: saved_state.incarnation + 1,
            nonce: rng.next_u64(),
            address: settings.address,
            routers: settings.routers,
            has_left: false,
        };
        let min_routers = settings.min_routers.max(saved_state.router_count);
        let others = saved_state.contacts.iter().filter(|contact| contact.name != record.name);
        let contacts = others.cloned().collect();
        let table = MemberTable::default();
        let digest = table.digest(&record);
        let mut membership = Membership {
            settings: MembershipSettings { min_routers, ..settings },
            addresses: KnownAddresses { peers, contacts },
            local: LocalMember { record, round: 0, status: MemberStatus::Joining },
            table,
            agreement: ViewAgreement { digest, last_change: now, last_disagreement: now },
            conflict: ConflictState::default(),
            synchronisation: Synchronisation::default(),
            timer: RoundTimer { started: now, last_input: now, next_round: now },
            departure: Departure::default(),
            rng,
            counters: Counters::default(),
            rejection_log: LogLimiter::default(),
            shared,
            last_published: None,
        };
        membership.publish_view(now);
        membership.publish_saved_state(now);
        membership
    }

    /// What it knows of the other members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Its status.
    pub fn status(&self) -> MemberStatus {
        self.local.status
    }

    /// A hash of its view; equal on all members that know the same members.
    pub fn digest(&self) -> u64 {
        self.agreement.digest
    }

    /// Messages and changes since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Its incarnation, which grows when it takes its name back from an earlier one.
    pub fn incarnation(&self) -> u64 {
        self.local.record.incarnation
    }

    /// The number of routers to divide quotas by.
    pub fn router_count(&self, now: Duration) -> u32 {
        router_count::router_count(now, self.local_routers(), &self.table)
    }

    /// Whether it is a member, and nothing has changed and no member has reported a different view for
    /// [`timing::SETTLED_AFTER`].
    pub fn is_settled(&self, now: Duration) -> bool {
        self.local.status == MemberStatus::Ready && self.agreement.is_settled(now)
    }

    fn local_routers(&self) -> LocalRouters {
        LocalRouters {
            routers: self.settings.routers,
            min_routers: self.settings.min_routers,
            since: self.timer.started,
        }
    }

    fn address_of(&self, record: &MemberRecord) -> SocketAddr {
        self.addresses.address_of(record)
    }

    fn set_peers(&mut self, peers: &Peers, out: &mut Vec<Output>) {
        self.addresses.peers = peers.clone();
        out.push(Output::Log(format!(
            "fleet: {} seeds and a book of {}",
            peers.seeds.len(),
            peers.address_table.len()
        )));
    }
}

/// Draws an index below `len`; 0 if there is none.
fn random_index(rng: &mut Xoshiro256PlusPlus, len: usize) -> usize {
    (rng.next_u64() % len.max(1) as u64) as usize
}

impl Machine for Membership {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        if self.departure.is_shut_down() {
            return;
        }
        self.detect_suspension(now, out);
        let has_yielded = self.local.status == MemberStatus::Yielded;
        match input {
            Input::Datagram(_, from, bytes) if !has_yielded => self.receive_datagram(now, from, bytes, out),
            Input::Accepted(conn, _) if has_yielded => out.push(Output::Abort(conn)),
            Input::Accepted(conn, _) => self.synchronisation.connections.accept(now, conn, out),
            Input::Connected(conn) => out.push(Output::Write(conn, self.full_state_frame(now))),
            Input::Data(conn, bytes) => self.receive_stream(now, conn, bytes, out),
            Input::Eof(conn) => self.synchronisation.connections.end_of_stream(conn, out),
            Input::Lost(conn, _) => self.synchronisation.connections.remove(conn),
            Input::Stop => {
                self.departure.request_shutdown();
                self.leave(out);
            }
            Input::OwnerMessage(message) => {
                if let Some(peers) = message.downcast_ref::<Arc<Peers>>() {
                    self.set_peers(peers, out);
                }
            }
            Input::Datagram(..)
            | Input::Sent(..)
            | Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake => {}
        }
        self.run_due_round(now, out);
    }

    fn wake_at(&self) -> Option<Duration> {
        // Synchronisations that time out are aborted with the round after their time.
        (!self.departure.is_shut_down()).then_some(self.timer.next_round)
    }
}
