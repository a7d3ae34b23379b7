//! The intervals, timeouts and limits of this package, with their reasons. `docs/design-policy.md` discusses
//! them.

use std::time::Duration;

/// How often the machine runs its timers.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks in one round of the election. A silent leader is replaced within three rounds.
pub const ELECTION_TICKS: u64 = 4;
/// Ticks after which an unanswered message of the consensus library is sent again.
pub const RESEND_TICKS: u64 = 4;
/// The duration of a lease, counted from when the router sent its request, on the router's own clock. It is
/// longer than an election, so that no router stops accepting requests when a leader fails. A new leader
/// waits for this time before it puts a change in force.
pub const LEASE: Duration = Duration::from_secs(3);
/// The duration of a lease while a change is pending, and so the longest overlap of two epochs. Four round
/// trips of a slow network.
pub const SHORT_LEASE: Duration = Duration::from_millis(80);
/// The greatest relative error of a clock that is assumed: twice the worst error of quartz clocks and their
/// adjustment.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;
/// How often a router with a lease requests a new one: a sixth of the lease, so that several requests may be
/// lost.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// How often a router without a lease requests one.
pub const ACQUIRE_INTERVAL: Duration = Duration::from_millis(200);
/// How often a router with a short lease requests a new one: three requests may be lost.
pub const SHORT_RENEW_INTERVAL: Duration = Duration::from_millis(20);
/// How long a leader waits for a majority to confirm a heartbeat before it sends it again.
pub const HEARTBEAT_RETRY: Duration = Duration::from_millis(40);
/// How long a change waits for all routers with a lease to prepare it; then it is dropped, and the overdue
/// routers are named.
pub const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after its last request a leader forgets a router without a lease.
pub const LEASE_HOLDER_EXPIRY: Duration = Duration::from_secs(10);
/// How long a router must have held leases before it becomes a voter, so that short-lived routers do not
/// become voters.
pub const MIN_LEASE_BEFORE_VOTING: Duration = Duration::from_secs(5);
/// The least time between two configurations.
pub const RECONFIGURATION_INTERVAL: Duration = Duration::from_secs(2);
/// The most voters. Any four of nine may be down, and the leader waits for four others to decide an entry.
pub const MAX_VOTERS: usize = 9;
/// Entries after which the voters begin a new configuration with an empty log and the current state as its
/// snapshot.
pub const MAX_LOG_ENTRIES: usize = 256;
/// How long a frame may be unacknowledged before its connection is aborted.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Unacknowledged bytes that a connection to a peer may have.
pub const MAX_UNACKED_BYTES: usize = 4 << 20;
/// How long a voter may lag behind its leader before it synchronises its log again.
pub const LAG_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a founder without a configuration announces itself, and a peer is sent a configuration or asked
/// for one.
pub const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);
/// The longest policy, bytes.
pub const MAX_POLICY_LEN: usize = 256 << 10;
/// Outcomes that voters keep; the status of an older proposal is `unknown`.
pub const MAX_OUTCOMES: usize = 16_384;
/// Policies of earlier epochs that voters keep for rollbacks.
pub const MAX_KEPT_POLICIES: usize = 32;
/// Outcomes that are sent to routers that do not vote.
pub const MAX_RECENT_OUTCOMES: usize = 16;
/// After what time a client may retry a request that was rejected because there was no valid lease.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);
/// How long after a failed write the next attempt is made.
pub const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long after sending an operator's request it is sent again, if the leader is not known to have accepted
/// it.
pub const OPERATOR_REQUEST_RETRY: Duration = Duration::from_millis(200);
/// How long an operator's request is resent. After that, the operator can submit it again under the same id.
pub const OPERATOR_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The most operators' requests that may wait in one router.
pub const MAX_OPERATOR_REQUESTS: usize = 16;

/// A span on this clock that is certainly longer than `span` on any other clock, given [`MAX_CLOCK_DRIFT`].
pub fn with_clock_drift(span: Duration) -> Duration {
    span.mul_f64(1.0 + 2.0 * MAX_CLOCK_DRIFT)
}
