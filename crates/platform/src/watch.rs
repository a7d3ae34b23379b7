//! The watch of the endpoint list at discovery: a long-lived response that sends each change of the list.
//! There is one at a time; if it breaks, hangs or is malformed, it is opened again after a jittered backoff.
//!
//! However a watch fails, the router must have the current list within 6 s. So every stage of a watch has a
//! timeout, the backoff between two watches is bounded, and their sum is below that. After a failed watch the
//! complete list is requested: the changes that it missed may not be among those that the next watch sends.

use crate::endpoint_list::{self, EndpointList, EndpointListError};
use crate::resource_limits::MAX_HEAD_BYTES;
use crate::timer::{Timer, Timers};
use slipreel_connections::TimerKey;
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Malformed, Side, Start};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Capacity of the buffer that is kept between two objects, in bytes.
const RETAINED_CAPACITY: usize = 4 << 10;
/// Silence after which a watch counts as hanging. Discovery sends something every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_700);
/// The fraction of `SILENCE_TIMEOUT` by which jitter may shorten it: hundreds of routers that lose discovery
/// at the same moment must not all reconnect at once.
const SILENCE_TIMEOUT_JITTER: f64 = 0.2;
/// Maximum time from the head of the answer to the complete list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time for which a head or an object may be incomplete. Later bytes would be parsed as its rest.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time to establish the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest wait before a watch is opened again after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum jitter that is added to the backoff after a first failure, so that hundreds of routers do not
/// reconnect at once. It doubles with each further failure.
const INITIAL_BACKOFF_JITTER: Duration = Duration::from_millis(700);
/// Maximum jitter that is added to the backoff after any number of failures.
const MAX_BACKOFF_JITTER: Duration = Duration::from_millis(1_900);

/// The state of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not to be opened before this time.
    Waiting(Duration),
    /// Its connection is being established, since this time.
    Connecting(ConnId, Duration),
    /// Its connection is established; bytes were last received at this time.
    Open(ConnId, Duration),
}

/// The timeout of a watch that has passed. `Display` writes the text of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum WatchTimeout {
    #[error("nothing was heard of it for too long")]
    Silent,
    #[error("what it said did not come whole in time")]
    PartialMessage,
    #[error("it lives, but does not tell the list")]
    NoList,
    #[error("no connection in time")]
    NotConnected,
}

impl WatchTimeout {
    /// Whether the next watch is opened without a backoff. After silence it is: discovery has a local agent
    /// on this machine, which counts as reachable whether a watch is established or not.
    pub(crate) fn reopens_at_once(self) -> bool {
        self == WatchTimeout::Silent
    }
}

/// Why the bytes of a watch cannot be used, so that it has to be opened again. `Display` writes the text of
/// the log line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    #[error("{}", .0.why)]
    Malformed(Malformed),
    #[error("answer {0:?}: expected 200")]
    UnexpectedAnswer(Start),
    #[error("the watch has ended")]
    Ended,
    #[error(transparent)]
    InvalidList(#[from] EndpointListError),
    #[error("list {received}: older than {held}, which is held")]
    OlderList { received: u64, held: u64 },
    #[error("an object over {limit} bytes")]
    ObjectTooLarge { limit: usize },
}

/// Why a watch has failed. `Display` writes the text of the log line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchFailure {
    /// Discovery has closed its connection.
    #[error("it was closed")]
    Closed,
    /// Its connection was lost.
    #[error("its connection broke")]
    ConnectionLost,
    /// The process has no descriptor for its connection.
    #[error("no descriptor is left")]
    NoDescriptor,
    /// One of its timeouts has passed.
    #[error(transparent)]
    TimedOut(WatchTimeout),
    /// The bytes received cannot be used.
    #[error(transparent)]
    Unusable(WatchError),
}

impl WatchFailure {
    /// Whether the next watch is opened without a backoff.
    pub(crate) fn reopens_at_once(&self) -> bool {
        matches!(self, WatchFailure::TimedOut(timeout) if timeout.reopens_at_once())
    }
}

/// The step of a watch that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DueStep {
    /// Open a connection: the backoff is over.
    Open,
    /// Fail the watch: it has timed out.
    Fail(WatchTimeout),
}

/// The watch of the endpoint list.
#[derive(Debug)]
pub(crate) struct Watch {
    addr: SocketAddr,
    /// Maximum size of an object, in bytes.
    max_object_bytes: usize,
    state: State,
    timer: Option<TimerKey>,
    /// Version of the current list.
    index: u64,
    /// Whether to request the complete list, whatever its version: the last list could not be applied, or the
    /// last watch failed.
    needs_complete_list: bool,
    /// When the head of a successful answer was received; `None` once a list has followed it.
    list_awaited_since: Option<Duration>,
    /// Whether the head of its answer was received.
    has_head: bool,
    decoder: Decoder,
    /// The bytes received since its last complete object.
    received: Vec<u8>,
    /// Since when a head or an object is incomplete.
    partial_since: Option<Duration>,
    /// Number of consecutive failed watches since the last list.
    failures: u32,
    /// Whether the last list was older than the current one. If the complete list is then requested and is
    /// older as well, it is accepted: discovery has restarted its versions.
    last_list_was_older: bool,
    /// How long this watch may be silent, with jitter, as hundreds of routers see the same silence.
    silence_timeout: Duration,
    /// State of the random generator for jitter, separate from that of the decision module.
    jitter_state: u64,
}

fn decoder() -> Decoder {
    Decoder::new(Side::Client, Limits { head: MAX_HEAD_BYTES, body: u64::MAX, ..Limits::default() })
}

/// The longest backoff after this many consecutive failures.
fn max_backoff(failures: u32) -> Duration {
    let spread = INITIAL_BACKOFF_JITTER * (1 << failures.saturating_sub(1).min(8));
    MIN_BACKOFF + spread.min(MAX_BACKOFF_JITTER)
}

impl Watch {
    /// Creates a watch at `addr` that is opened at once and takes objects of up to `max_object_bytes`.
    pub(crate) fn new(addr: SocketAddr, max_object_bytes: usize, now: Duration, seed: u64) -> Self {
        Watch {
            addr,
            max_object_bytes,
            state: State::Waiting(now),
            timer: None,
            index: 0,
            needs_complete_list: true,
            list_awaited_since: None,
            has_head: false,
            decoder: decoder(),
            received: Vec::new(),
            partial_since: None,
            failures: 0,
            last_list_was_older: false,
            silence_timeout: SILENCE_TIMEOUT,
            // Hashed, so that similar seeds give different jitter from the first draw on.
            jitter_state: xxh3_64(&seed.to_le_bytes()) | 1,
        }
    }

    /// Sets the version of the list that the router starts with.
    pub(crate) fn resume_from(&mut self, index: u64) {
        self.index = index;
        self.needs_complete_list = false;
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether `conn` is the connection of the watch.
    pub(crate) fn is_connection(&self, conn: ConnId) -> bool {
        self.conn() == Some(conn)
    }

    /// Its connection, while it has one.
    pub(crate) fn conn(&self) -> Option<ConnId> {
        match self.state {
            State::Waiting(_) => None,
            State::Connecting(conn, _) | State::Open(conn, _) => Some(conn),
        }
    }

    /// When its next step is due.
    fn due(&self) -> Duration {
        match self.state {
            State::Waiting(at) => at,
            State::Connecting(_, since) => since + CONNECT_TIMEOUT,
            State::Open(_, received_at) => {
                let partial_message =
                    self.partial_since.map_or(Duration::MAX, |since| since + PARTIAL_MESSAGE_TIMEOUT);
                // Guards against a watch that only sends keep-alive lines and never the complete list.
                let first_list = self
                    .list_awaited_since
                    .filter(|_| self.needs_complete_list)
                    .map_or(Duration::MAX, |at| at + FIRST_LIST_TIMEOUT);
                partial_message.min(first_list).min(received_at + self.silence_timeout)
            }
        }
    }

    /// The step that is due now; `None` if none is.
    pub(crate) fn due_step(&self, now: Duration) -> Option<DueStep> {
        if self.due() > now {
            return None;
        }
        Some(match self.state {
            State::Waiting(_) => DueStep::Open,
            State::Connecting(..) | State::Open(..) => DueStep::Fail(self.timeout(now)),
        })
    }

    /// The timeout that has passed, if the watch is due.
    fn timeout(&self, now: Duration) -> WatchTimeout {
        match self.state {
            State::Open(_, received_at) if received_at + self.silence_timeout <= now => WatchTimeout::Silent,
            State::Open(..) if self.partial_since.is_some() => WatchTimeout::PartialMessage,
            State::Open(..) => WatchTimeout::NoList,
            State::Waiting(_) | State::Connecting(..) => WatchTimeout::NotConnected,
        }
    }

    /// Records that its connection is being opened.
    pub(crate) fn connecting(&mut self, conn: ConnId, now: Duration) {
        self.state = State::Connecting(conn, now);
    }

    /// Sets another address of discovery: the next watch is opened there at once.
    pub(crate) fn change_address(&mut self, addr: SocketAddr, now: Duration) {
        self.addr = addr;
        self.schedule_reopen(now);
    }

    /// Replaces its timer.
    pub(crate) fn arm_timer(&mut self, timers: &mut Timers) {
        if let Some(key) = self.timer.take() {
            timers.cancel(key);
        }
        self.timer = Some(timers.set(self.due(), Timer::Watch));
    }

    /// Records that its timer has fired.
    pub(crate) fn timer_fired(&mut self) {
        self.timer = None;
    }

    /// Records that the watch has failed. The next one requests the complete list, after a backoff or at
    /// once.
    pub(crate) fn failed(&mut self, now: Duration, reopens_at_once: bool) {
        self.needs_complete_list = true;
        self.failures = if reopens_at_once { 0 } else { self.failures.saturating_add(1) };
        let wait = MIN_BACKOFF + (max_backoff(self.failures) - MIN_BACKOFF).mul_f64(self.next_jitter());
        self.schedule_reopen(if reopens_at_once { now } else { now + wait });
    }

    /// Ends the watch; the next one is opened at `at`. Drops an incomplete message.
    fn schedule_reopen(&mut self, at: Duration) {
        self.state = State::Waiting(at);
        self.has_head = false;
        self.list_awaited_since = None;
        self.decoder = decoder();
        self.received = Vec::new();
        self.partial_since = None;
    }

    /// Records that its connection is established. Returns the request to write.
    pub(crate) fn connected(&mut self, conn: ConnId, now: Duration) -> Vec<u8> {
        self.state = State::Open(conn, now);
        self.silence_timeout = SILENCE_TIMEOUT.mul_f64(1.0 - SILENCE_TIMEOUT_JITTER * self.next_jitter());
        let after = if self.needs_complete_list { 0 } else { self.index };
        let target = format!("/api/targets?watch=1&after={after}");
        let host = self.addr.to_string();
        http::request_head("GET", &target, &[("host", &host)], Framing::Length(0))
    }

    /// Parses bytes and appends the lists that they complete.
    ///
    /// # Errors
    /// Input that cannot be parsed, or a list that is older than the current one: the watch has to be opened
    /// again. The lists before it are in `out` and remain valid.
    pub(crate) fn feed(
        &mut self, now: Duration, bytes: &[u8], out: &mut Vec<EndpointList>,
    ) -> Result<(), WatchError> {
        if let State::Open(_, received_at) = &mut self.state {
            *received_at = now;
        }
        self.decoder.feed(bytes);
        // An error is returned only after the lists before the malformed bytes were taken.
        let result = self.handle_items(now);
        let count_before = out.len();
        self.take_lists(out)?;
        if out.len() > count_before {
            self.list_awaited_since = None;
            self.failures = 0;
            self.partial_since = None;
        }
        // A head that arrives byte by byte resets the silence timeout, as an incomplete object does.
        let is_partial = !self.received.is_empty() || !self.has_head || self.decoder.buffered() > 0;
        self.partial_since = is_partial.then(|| self.partial_since.unwrap_or(now));
        result
    }

    fn handle_items(&mut self, now: Duration) -> Result<(), WatchError> {
        while let Some(item) = self.decoder.next_item().map_err(WatchError::Malformed)? {
            match item {
                Item::Head(head) => match head.start {
                    Start::Response { status: 200 } => {
                        self.has_head = true;
                        self.list_awaited_since = Some(now);
                        self.partial_since = None;
                    }
                    Start::Response { status: 100..=199 } => {}
                    _ => return Err(WatchError::UnexpectedAnswer(head.start)),
                },
                Item::Body(piece) => self.received.extend_from_slice(&piece),
                Item::End if self.has_head => return Err(WatchError::Ended),
                Item::End => {}
            }
        }
        Ok(())
    }

    /// Memory that the received part of an object takes, in bytes.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.decoder.capacity() + self.received.capacity()
    }

    /// Removes the complete objects from the received bytes and appends their lists to `out`.
    fn take_lists(&mut self, out: &mut Vec<EndpointList>) -> Result<(), WatchError> {
        let Watch { received, index, needs_complete_list, last_list_was_older, .. } = self;
        let mut accept = |mut list: EndpointList| {
            let is_older = list.index < *index;
            let previous_was_older = std::mem::replace(last_list_was_older, is_older);
            let discovery_restarted = previous_was_older && list.is_complete && *needs_complete_list;
            if is_older && !discovery_restarted {
                return Err(WatchError::OlderList { received: list.index, held: *index });
            }
            *index = list.index;
            *needs_complete_list = false;
            *last_list_was_older = false;
            list.is_older = is_older;
            out.push(list);
            Ok(())
        };
        let result = endpoint_list::take_complete(received, &mut accept);
        if result.is_err() {
            self.needs_complete_list = true;
        } else if self.received.len() > self.max_object_bytes {
            return Err(WatchError::ObjectTooLarge { limit: self.max_object_bytes });
        }
        if self.received.is_empty() {
            self.received.shrink_to(RETAINED_CAPACITY);
        }
        result
    }

    /// Returns a random number from 0 to 1, exclusive (xorshift).
    fn next_jitter(&mut self) -> f64 {
        self.jitter_state ^= self.jitter_state << 13;
        self.jitter_state ^= self.jitter_state >> 7;
        self.jitter_state ^= self.jitter_state << 17;
        (self.jitter_state >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
