//! The state machine of a member. It takes inputs with their time and produces outputs, and does no I/O and
//! reads no clock itself.
//!
//! Its methods are in one module per concern: [`sending`] (dissemination), [`receiving`] (merging of
//! messages, and replies), [`rounds`] (heartbeat rounds, joining and leaving), [`own_name`] (conflicts about
//! this member's name) and [`publishing`] (view, saved state and log).

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

/// This member's own record, round and status.
struct LocalMember {
    record: MemberRecord,
    /// The number of rounds since the start.
    round: u32,
    status: MemberStatus,
}

/// When this process started, last handled an input and runs its next round.
struct RoundTimer {
    started: Duration,
    /// Time of the last input. A long gap since then means that this process was suspended.
    last_input: Duration,
    next_round: Duration,
}

/// How far this member's view agrees with those of others.
struct ViewAgreement {
    /// A hash of this member's view.
    digest: u64,
    /// When this member's view last changed.
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
    /// When this member last sent its claim to another process of this name, so that it yields.
    last_notice: Option<Duration>,
}

/// Anti-entropy: requests for full states and synchronisations over TCP.
#[derive(Default)]
struct Synchronisation {
    connections: StateSync,
    /// When this member last requested another one's full state because their views differed.
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
    /// Creates a member. `saved_state` is what the previous incarnation saved; `seed` must differ at each
    /// start. The new state to save is in `shared` when this returns, and must be stored before the machine
    /// runs.
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

    /// The table of the other members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// The status of this member.
    pub fn status(&self) -> MemberStatus {
        self.local.status
    }

    /// A hash of this member's view. It is equal on all members that know the same members.
    pub fn digest(&self) -> u64 {
        self.agreement.digest
    }

    /// Counts of messages and changes since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The incarnation of this member. It increases while the process runs if the member takes its name over
    /// from a dead predecessor or refutes that it was declared gone.
    pub fn incarnation(&self) -> u64 {
        self.local.record.incarnation
    }

    /// The number of routers to divide quotas by.
    pub fn router_count(&self, now: Duration) -> u32 {
        router_count::router_count(now, self.local_routers(), &self.table)
    }

    /// Whether this process is a member whose view has not changed, and no member has reported a different
    /// view, for [`timing::SETTLED_AFTER`].
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

/// Draws an index below `len` at random; 0 if `len` is 0.
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
        // Synchronisations that have timed out are aborted at the next round.
        (!self.departure.is_shut_down()).then_some(self.timer.next_round)
    }
}
