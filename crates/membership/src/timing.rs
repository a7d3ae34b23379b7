//! The times and limits of membership, and how they grow with the fleet. `docs/operators/fleet.md` states them for operators.

use std::time::Duration;

/// Time between two rounds of a member, on average. In a round it sends gossip to [`GOSSIP_FANOUT`] others.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// The number of members that receive gossip in a round, drawn anew each time.
pub const GOSSIP_FANOUT: usize = 3;
/// Once in so many rounds one more message goes to a member that is not in the view: a seed, a contact of an earlier incarnation, or
/// a member that is gone. This is what joins the sides of a partition again.
pub const ROUNDS_PER_RECONNECT: u32 = 5;
/// Silence after which a member is gone, in a fleet whose whole table fits in a datagram: fifteen rounds. Ten and a hundred members had
/// no false alarm at 30% loss (`benches/size.rs`).
const BASE_GONE_AFTER: Duration = Duration::from_millis(3_000);
/// The number of members up to which [`BASE_GONE_AFTER`] holds: what one datagram carries.
const MEMBERS_PER_DATAGRAM: usize = 80;
/// What [`BASE_GONE_AFTER`] grows by for each further [`MEMBERS_PER_DATAGRAM`] members: a message carries that many heartbeats, drawn at
/// random, so a round takes the more hops the more members there are. With 350 ms, 500 members at 10% loss had 293 false alarms in 30 s,
/// with 1,100 ms 4 (`benches/size.rs`).
const GONE_AFTER_STEP: Duration = Duration::from_millis(1_500);
/// How long a gone member stays in the view.
pub const GONE_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// How long a start with seeds or contacts waits for an answer before the member goes on alone.
pub const JOIN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The view counts as settled when for this long nothing has changed in it and no member has reported a different one.
pub const SETTLED_AFTER: Duration = Duration::from_millis(1_000);
/// Without any input for this long the process did not run: that it has not heard of others in that time says nothing of them.
pub const SUSPENDED_AFTER: Duration = Duration::from_millis(1_000);
/// A round of another process of the own name proves that it runs if it was heard of this much later than the own start: what a
/// predecessor sent before its end may still be in transit.
pub const DELAYED_MESSAGE_MARGIN: Duration = Duration::from_millis(1_500);
/// The longest time that a synchronisation over TCP may take.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The most synchronisations that are accepted at once; further connections are aborted.
pub const MAX_ACCEPTED_SYNCS: usize = 8;
/// Least time between two requests of this member for another one's full state.
pub const FULL_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The number of rounds in which a member announces that it leaves.
pub const LEAVE_ROUNDS: u32 = 3;
/// The most members that a table holds; members beyond are counted and not added.
pub const MAX_MEMBERS: usize = 4_096;
/// Least time between two log lines about rejected messages.
pub const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Silence after which a member is gone, in a fleet of `members`.
pub fn gone_after(members: usize) -> Duration {
    let steps = members.saturating_sub(MEMBERS_PER_DATAGRAM) as f64 / MEMBERS_PER_DATAGRAM as f64;
    BASE_GONE_AFTER + GONE_AFTER_STEP.mul_f64(steps)
}

/// Silence after which a member is suspect: half of [`gone_after`].
pub fn suspect_after(members: usize) -> Duration {
    gone_after(members) / 2
}

/// The number of messages that carry a new record: enough that with [`GOSSIP_FANOUT`] all members receive it with near certainty. A
/// member that does not requests it by its id.
pub fn retransmissions(members: usize) -> u32 {
    3 * (usize::BITS - members.leading_zeros() + 1)
}
