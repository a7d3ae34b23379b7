//! The times of the view, and how they grow with the fleet. All of them are stated in `docs/operators/fleet.md`.

use std::time::Duration;

/// Between two rounds of a member. A round tells [`FANOUT`] others.
pub const ROUND: Duration = Duration::from_millis(200);
/// How many members a round tells, drawn anew each time.
pub const FANOUT: usize = 3;
/// Every so many rounds one more message goes to somebody who is not in the view: a seed, a contact of an earlier life, or a member
/// that is gone. This is what brings the halves of a cut together again.
pub const REACH_OUT: u32 = 5;
/// Silence after which a member is suspect, in a fleet whose whole table fits a datagram.
pub const SUSPECT: Duration = Duration::from_millis(1_500);
/// Silence after which it is gone, in such a fleet: fifteen rounds. Ten and a hundred members had no false alarm at 30% loss (`benches/size.rs`).
const GONE: Duration = Duration::from_millis(3_000);
/// Members up to which [`GONE`] holds as it is; what one datagram carries.
const IN_ONE: usize = 80;
/// What [`GONE`] grows by for each further [`IN_ONE`] members: a message tells of so many, drawn by lot, so a round needs the more hops the more
/// members there are. With 350 ms, 500 members at 10% loss had 293 false alarms in 30 s, with 1,100 ms 4 (`benches/size.rs`).
const MORE: Duration = Duration::from_millis(1_500);
/// How long a member that is gone stays in the view, and is told of its absence by whoever reaches out.
pub const FORGET: Duration = Duration::from_secs(600);
/// A start with seeds or contacts waits so long for an answer before it goes on alone.
pub const JOIN: Duration = Duration::from_millis(3_000);
/// The view counts as settled when nothing has changed in it and nobody has told another one for so long.
pub const SETTLED: Duration = Duration::from_millis(1_000);
/// No input for so long means that this process did not run: what it has not heard meanwhile says nothing of others.
pub const ASLEEP: Duration = Duration::from_millis(1_000);
/// News of another process of one's own name counts as proof that it runs if it is younger than one's own start by so much: what a
/// predecessor sent before its end may still be on its way.
pub const LATE_NEWS: Duration = Duration::from_millis(1_500);
/// An exchange over TCP ends by then, whatever its peer does.
pub const EXCHANGE: Duration = Duration::from_millis(2_000);
/// Exchanges that are taken at once; further ones are closed.
pub const EXCHANGES: usize = 8;
/// Least time between two exchanges that this member asks for.
pub const ASK_AGAIN: Duration = Duration::from_millis(1_000);
/// A goodbye is told in so many rounds.
pub const GOODBYES: u32 = 3;
/// The most members a view holds; lives beyond are counted and not taken.
pub const MEMBERS: usize = 4_096;
/// Least time between two log lines on messages that can't be taken.
pub const LOG: Duration = Duration::from_secs(10);

/// Silence after which a member is gone, in a fleet of so many.
pub fn gone_after(members: usize) -> Duration {
    GONE + MORE.mul_f64(members.saturating_sub(IN_ONE) as f64 / IN_ONE as f64)
}

/// Silence after which it is suspect: half of that.
pub fn suspect_after(members: usize) -> Duration {
    gone_after(members) / 2
}

/// How often a new life is told in full: enough that with a fanout of [`FANOUT`] everybody hears of it with near certainty; who
/// does not asks by its number.
pub fn tellings(members: usize) -> u32 {
    3 * (usize::BITS - members.leading_zeros() + 1)
}
