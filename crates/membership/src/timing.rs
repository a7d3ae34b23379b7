//! The times of the view, and how they grow with the fleet. All of them are stated in `docs/operators/fleet.md`.

use std::time::Duration;

/// Between two rounds of a member. A round tells [`GOSSIP_FANOUT`] others.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// How many members a round tells, drawn anew each time.
pub const GOSSIP_FANOUT: usize = 3;
/// Every so many rounds one more message goes to somebody who is not in the view: a seed, a contact of an earlier life, or a member
/// that is gone. This is what brings the halves of a cut together again.
pub const ROUNDS_PER_RECONNECT: u32 = 5;
/// Silence after which a member is suspect, in a fleet whose whole table fits a datagram.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which it is gone, in such a fleet: fifteen rounds. Ten and a hundred members had no false alarm at 30% loss (`benches/size.rs`).
const BASE_GONE_AFTER: Duration = Duration::from_millis(3_000);
/// Members up to which [`BASE_GONE_AFTER`] holds as it is; what one datagram carries.
const MEMBERS_PER_DATAGRAM: usize = 80;
/// What [`BASE_GONE_AFTER`] grows by for each further [`MEMBERS_PER_DATAGRAM`] members: a message tells of so many, drawn by lot, so a round needs the more hops the more
/// members there are. With 350 ms, 500 members at 10% loss had 293 false alarms in 30 s, with 1,100 ms 4 (`benches/size.rs`).
const GONE_AFTER_STEP: Duration = Duration::from_millis(1_500);
/// How long a member that is gone stays in the view, and is told of its absence by whoever reaches out.
pub const GONE_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// A start with seeds or contacts waits so long for an answer before it goes on alone.
pub const JOIN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The view counts as settled when nothing has changed in it and nobody has told another one for so long.
pub const SETTLED_AFTER: Duration = Duration::from_millis(1_000);
/// No input for so long means that this process did not run: what it has not heard meanwhile says nothing of others.
pub const SUSPENDED_AFTER: Duration = Duration::from_millis(1_000);
/// News of another process of one's own name counts as proof that it runs if it is younger than one's own start by so much: what a
/// predecessor sent before its end may still be on its way.
pub const DELAYED_MESSAGE_MARGIN: Duration = Duration::from_millis(1_500);
/// An exchange over TCP ends by then, whatever its peer does.
pub const SYNC_TIMEOUT: Duration = Duration::from_millis(2_000);
/// StateSync that are taken at once; further ones are closed.
pub const MAX_ACCEPTED_SYNCS: usize = 8;
/// Least time between two exchanges that this member asks for.
pub const FULL_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// A goodbye is told in so many rounds.
pub const LEAVE_ROUNDS: u32 = 3;
/// The most members a view holds; lives beyond are counted and not taken.
pub const MAX_MEMBERS: usize = 4_096;
/// Least time between two log lines on messages that can't be taken.
pub const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Silence after which a member is gone, in a fleet of so many.
pub fn gone_after(members: usize) -> Duration {
    BASE_GONE_AFTER
        + GONE_AFTER_STEP
            .mul_f64(members.saturating_sub(MEMBERS_PER_DATAGRAM) as f64 / MEMBERS_PER_DATAGRAM as f64)
}

/// Silence after which it is suspect: half of that.
pub fn suspect_after(members: usize) -> Duration {
    gone_after(members) / 2
}

/// How often a new life is told in full: enough that with a fanout of [`GOSSIP_FANOUT`] everybody hears of it with near certainty; who
/// does not asks by its number.
pub fn retransmissions(members: usize) -> u32 {
    3 * (usize::BITS - members.leading_zeros() + 1)
}
