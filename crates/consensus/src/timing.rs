//! The intervals, timeouts and limits of this package, with their reasons. `docs/design-policy.md` discusses them.

use std::time::Duration;

/// How often the machine runs its timers.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks in one round of the election: a silent leader is replaced within three rounds.
pub const ELECTION_TICKS: u64 = 4;
/// Ticks after which an unanswered message of the consensus library is sent again.
pub const RESEND_TICKS: u64 = 4;
/// How long a lease lasts from when the router requested it, on its own clock. Longer than an election, so that no router stops when a leader
/// fails; the next leader waits that long before it puts a change in force.
pub const LEASE: Duration = Duration::from_secs(3);
/// How long a lease lasts while a change is under way: the most that two epochs can overlap. Four round trips of a slow network.
pub const SHORT_LEASE: Duration = Duration::from_millis(80);
/// The greatest relative error of a clock: twice the worst that quartz clocks and their adjustment show.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// How often a router with a lease requests a new one: a sixth of the lease, so that several requests may be lost.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// How often a router without a lease requests one.
pub const SEEK_INTERVAL: Duration = Duration::from_millis(200);
/// How often a router with a short lease requests a new one: three requests may be lost.
pub const SHORT_RENEW_INTERVAL: Duration = Duration::from_millis(20);
/// How long a leader waits for a majority to confirm a heartbeat before it sends it again.
pub const HEARTBEAT_RETRY: Duration = Duration::from_millis(40);
/// How long a change waits for all routers with a lease to prepare it; then it is dropped, and the overdue routers are named.
pub const CHANGE_DEADLINE: Duration = Duration::from_secs(10);
/// How long after its last request a leader forgets a router without a lease.
pub const HOLDER_EXPIRY: Duration = Duration::from_secs(10);
/// How long a router has held leases before it becomes a voter, so that a short-lived one does not.
pub const MIN_LEASE_BEFORE_VOTING: Duration = Duration::from_secs(5);
/// The least time between two configurations.
pub const RECONFIGURATION_INTERVAL: Duration = Duration::from_secs(2);
/// The most voters: any four of nine may be down, and a decision waits for four others.
pub const MAX_VOTERS: usize = 9;
/// Entries after which the voters begin a new log, on the state that they have reached.
pub const MAX_LOG_ENTRIES: usize = 256;
/// How long a frame may be unacknowledged before its connection is aborted.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Unacknowledged bytes that a connection to a peer may have.
pub const MAX_UNACKED_BYTES: usize = 4 << 20;
/// How long a voter may lag behind its leader before it synchronises its log again.
pub const LAG_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a founder without a configuration announces itself, and a peer is sent a configuration or asked for one.
pub const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);
/// The longest policy, bytes.
pub const MAX_POLICY_LEN: usize = 256 << 10;
/// Outcomes that voters keep; the status of an older proposal is `unknown`.
pub const MAX_OUTCOMES: usize = 16_384;
/// Policies of earlier epochs that voters keep for rollbacks.
pub const MAX_KEPT_POLICIES: usize = 32;
/// Outcomes that are sent to routers that do not vote.
pub const RECENT_OUTCOMES: usize = 16;
/// When a client that was rejected for want of a valid lease may retry.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long after a failed write the disk is written again.
pub const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long after it was sent an operator's request is sent again, if the leader is not known to have received it.
pub const OPERATOR_REQUEST_RETRY: Duration = Duration::from_millis(200);
/// How long an operator's request is sent; after that it can be made again under the same id.
pub const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Operators' requests that may wait in one router.
pub const MAX_OPERATOR_REQUESTS: usize = 16;

/// A span on this clock that is certainly longer than `span` on any other clock.
pub fn with_clock_drift(span: Duration) -> Duration {
    span.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT)
}
