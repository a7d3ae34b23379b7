//! Every time and bound of this package, with what it follows from. `docs/design-policy.md` weighs them.

use std::time::Duration;

/// How often the machine looks at what is due.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks in one round of the voters' election: a leader that is silent is replaced within three rounds.
pub const ELECTION_TICKS: u64 = 4;
/// Ticks after which a message of the agreement that was not answered is sent again.
pub const RESEND_TICKS: u64 = 4;
/// How long a router may take requests by an epoch after it asked, on its own clock. Longer than an election, so that a leader's death
/// stops nobody; whoever leads next waits that long before it puts a change in force.
pub const LEASE: Duration = Duration::from_secs(3);
/// The same while a change is under way: the most that two epochs can overlap. Four round trips of a slow network.
pub const SHORT_LEASE: Duration = Duration::from_millis(80);
/// Clocks that run, run alike within this share; twice the worst that quartz and its slewing show.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// A router with a lease asks anew after so long: a sixth of the lease, so that several may be lost.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// One without a lease asks so often.
pub const SEEK_INTERVAL: Duration = Duration::from_millis(200);
/// One whose lease is short asks so often: three may be lost.
pub const SHORT_RENEW_INTERVAL: Duration = Duration::from_millis(20);
/// A round in which voters confirm that the leader leads is sent again after so long.
pub const HEARTBEAT_RETRY: Duration = Duration::from_millis(40);
/// A change that not all routers with a lease have tried by then is dropped, and those that are late are named.
pub const CHANGE_DEADLINE: Duration = Duration::from_secs(10);
/// A router that had no lease for so long does not count any more.
pub const HOLDER_EXPIRY: Duration = Duration::from_secs(10);
/// A router has held a lease for so long before it is made a voter: one that comes and goes does not become one.
pub const MIN_LEASE_BEFORE_VOTING: Duration = Duration::from_secs(5);
/// Least time between two changes of who votes.
pub const RECONFIGURATION_INTERVAL: Duration = Duration::from_secs(2);
/// Voters at most: any four of nine may be down, and a decision waits for four others.
pub const MAX_VOTERS: usize = 9;
/// Entries after which the voters begin a new log on the state that they have reached.
pub const MAX_LOG_ENTRIES: usize = 256;
/// What was sent in order and not acknowledged for so long is given up with its connection.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that may wait in order for one peer.
pub const MAX_UNACKED_BYTES: usize = 4 << 20;
/// A voter that lags behind what the leader says for so long asks for what it misses.
pub const LAG_TIMEOUT: Duration = Duration::from_millis(200);
/// Whoever founds or looks for the others asks so often.
pub const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);
/// The longest policy, bytes.
pub const MAX_POLICY_LEN: usize = 256 << 10;
/// Outcomes that are remembered; an older proposal's is answered with `unknown`.
pub const MAX_OUTCOMES: usize = 16_384;
/// Policies that can be rolled back to.
pub const MAX_KEPT_POLICIES: usize = 32;
/// Outcomes that routers without a vote are told of.
pub const RECENT_OUTCOMES: usize = 16;
/// When a client that is not served by a router without a valid epoch may come again.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);
/// A disk that could not be written is tried again after so long.
pub const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// An operator's request that the leader is not known to have taken is sent again after this time.
pub const OPERATOR_REQUEST_RETRY: Duration = Duration::from_millis(200);
/// And is given up after so long; it can be said again under the same id.
pub const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Words of operators that wait in one router.
pub const MAX_OPERATOR_REQUESTS: usize = 16;

/// A time that has passed for certain on every clock after `span` on the slowest.
pub fn with_clock_drift(span: Duration) -> Duration {
    span.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT)
}
