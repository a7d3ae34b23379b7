//! Times and limits of membership, and how they grow with the size of the fleet. `docs/operators/fleet.md`
//! lists them for operators.

use std::time::Duration;

/// Mean time between two rounds of a member. In a round it sends gossip to [`GOSSIP_FANOUT`] other members.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// The number of members that receive gossip in a round, drawn at random each time.
pub const GOSSIP_FANOUT: usize = 3;
/// One in this many rounds sends an additional message to a member that is not in the view: a seed, a contact
/// of an earlier incarnation, or a member that is gone. These messages reconnect the sides of a partition.
pub const ROUNDS_PER_RECONNECT: u32 = 5;
/// Silence after which a member is gone, in a fleet whose whole table fits in a datagram: fifteen rounds.
/// Fleets of ten and of a hundred members have no false alarm at 30% loss (`benches/size.rs`).
const BASE_GONE_AFTER: Duration = Duration::from_millis(3_000);
/// The number of members whose heartbeats fit in one datagram, and up to which [`BASE_GONE_AFTER`] applies.
const MEMBERS_PER_DATAGRAM: usize = 80;
/// Added to [`BASE_GONE_AFTER`] for each further [`MEMBERS_PER_DATAGRAM`] members. A message carries only
/// that many heartbeats, drawn at random, so news of a round takes more hops in a larger fleet. 500 members
/// at 10% loss have 293 false alarms in 30 s with 350 ms, and 4 with 1,100 ms (`benches/size.rs`).
const GONE_AFTER_STEP: Duration = Duration::from_millis(1_500);
/// How long a gone member stays in the view.
pub const GONE_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// How long a starting member that has seeds or contacts waits for an answer before it goes on alone.
pub const JOIN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The view counts as settled after it has not changed, and no member has reported a different one, for this
/// long.
pub const SETTLED_AFTER: Duration = Duration::from_millis(1_000);
/// A process that handled no input for this long was suspended. Silence of other members in that time is
/// not counted.
pub const SUSPENDED_AFTER: Duration = Duration::from_millis(1_000);
/// A round of another process of this member's name proves that the process runs only if it was received more
/// than this long after this member's start: messages that a predecessor sent before its end may still be in
/// transit.
pub const DELAYED_MESSAGE_MARGIN: Duration = Duration::from_millis(1_500);
/// The maximum duration of a synchronisation over TCP.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum number of accepted synchronisations in progress; further connections are aborted.
pub const MAX_ACCEPTED_SYNCS: usize = 8;
/// Minimum time between two requests by this member for another one's full state because their views differ.
pub const FULL_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of rounds in which a member announces that it leaves.
pub const LEAVE_ROUNDS: u32 = 3;
/// The maximum number of members in a table; further ones are counted and not added.
pub const MAX_MEMBERS: usize = 4_096;
/// Minimum time between two log lines about rejected messages.
pub const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Silence after which a member is gone, in a fleet of this many members.
pub fn gone_after(member_count: usize) -> Duration {
    let steps = member_count.saturating_sub(MEMBERS_PER_DATAGRAM) as f64 / MEMBERS_PER_DATAGRAM as f64;
    BASE_GONE_AFTER + GONE_AFTER_STEP.mul_f64(steps)
}

/// Silence after which a member is suspect, in a fleet of this many members: half of [`gone_after`].
pub fn suspect_after(member_count: usize) -> Duration {
    gone_after(member_count) / 2
}

/// The number of messages in which a member sends a new record, in a fleet of this many members: enough that
/// with [`GOSSIP_FANOUT`] nearly always all members receive it. A member that misses it requests it by its
/// id.
pub fn retransmissions(member_count: usize) -> u32 {
    3 * (usize::BITS - member_count.leading_zeros() + 1)
}
