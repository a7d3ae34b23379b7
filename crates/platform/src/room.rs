//! What a node itself bounds, and what goes first when room is short.
//!
//! None of this looks at load or worth: that is the module's affair. A node has a small machine: so many descriptors,
//! so much memory. What is turned away here was never told to the module.

use slipreel::Settings;
use slipreel_connections::ReleaseTiming;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Descriptors that a process has before any peer: standard streams, epoll, wake-up, signals, listener, discovery's two
/// while it moves, a file that is read, the driver's reserve.
const OWN: usize = 20;
/// Bytes of a head: as common servers take.
pub(crate) const HEAD: usize = 16 << 10;
/// Bytes of a client's body. From the protocol.
pub(crate) const BODY: u64 = 256 << 10;
/// Bytes of a whole stream of an engine: over what the protocol allows, far under what would hurt. A chunk that claims
/// more is spoilt as soon as its size is read.
pub(crate) const STREAM: u64 = 1 << 20;
/// Bytes of one event of a stream, and of an answer that is no stream.
pub(crate) const EVENT: usize = 64 << 10;
/// Bytes of requests sent ahead that wait while one is served.
pub(crate) const AHEAD: usize = 16 << 10;
/// Bytes of one object of discovery.
pub(crate) const LIST: usize = 4 << 20;
/// Bytes that may wait for a client before its engine's connection is paused.
pub(crate) const UNSENT: usize = 64 << 10;
/// Tokens that a request may claim; more can't be meant.
pub(crate) const TOKENS: f64 = 1e7;
/// Bytes of a request's id.
pub(crate) const NAME: usize = 128;

/// A connection that has said nothing is closed after this: within the 3 s that such a client may be kept.
pub(crate) const SILENT: Duration = ms(2_400);
/// From when something of a request has come it has to be whole within this; same reason.
pub(crate) const RECEIVE: Duration = ms(2_400);
/// A client's connection between requests: longer than usual pauses of conversations, short enough that those kept for
/// good by clients that never come again are given back.
pub(crate) const CLIENT_IDLE: Duration = ms(15_000);
/// The same while half of the clients' descriptors are in use. The platform allows it from 2 s.
pub(crate) const CLIENT_IDLE_SHORT: Duration = ms(2_200);
/// A client that takes nothing for so long while something waits for it is cut off.
pub(crate) const STALLED: Duration = ms(10_000);
/// A stream that says nothing for so long is given up: under the 5 s after which its client would be left waiting.
pub(crate) const SILENT_STREAM: Duration = ms(4_200);
/// A probe is answered within this, or counts as lost.
pub(crate) const PROBE: Duration = ms(250);
/// A release that was not acknowledged is sent again after this, elsewhere if possible: several times within the rule's
/// half second.
pub(crate) const RELEASE_RETRY: Duration = ms(120);
/// A release that no engine has acknowledged for so long is given up: longer than any outage on record.
const RELEASE_GIVE_UP: Duration = ms(60_000);
/// A release that was sent so long ago without an answer is sent on any connection that has just answered, too.
pub(crate) const RELEASE_STALE: Duration = ms(20);
/// How long a connection for a release may take to carry it.
pub(crate) const RELEASE_CALL: Duration = ms(1_000);
/// An engine that was heard from so long after an attempt at it had ended has seen that: what was on its way has come.
pub(crate) const RELEASE_SURE: Duration = ms(30);
/// Connections for releases beyond the bound of those to engines.
pub(crate) const RELEASE_LINKS: usize = 4;
/// State may come to be held so long after its read was given up: an engine that hangs or is cut off for as long goes on
/// with the read before it sees that its connection was closed. Not every engine drops a read whose deadline has passed.
pub(crate) const RELEASE_REPEATS: Duration = ms(8_000);

/// How releases are retried. They are repeated at the pace of the rule on held state, whose slack covers a retry.
pub(crate) fn release_timing(settings: &Settings) -> ReleaseTiming {
    let repeat = settings.held_state_limit.max(RELEASE_RETRY);
    ReleaseTiming { retry: RELEASE_RETRY, repeat, give_up: RELEASE_GIVE_UP }
}

/// An idle connection to an engine ends at this part of the engine's own idle time.
pub(crate) const ENGINE_IDLE_PART: f64 = 0.5;
/// Engine's idle time where none is told.
pub(crate) const ENGINE_IDLE: Duration = ms(8_000);
/// From when discovery has a change and can be reached, it counts as told after this, whatever calls failed before. From
/// the protocol.
#[cfg(test)]
pub(crate) const TOLD: Duration = ms(6_000);
/// A watch says something every 2 s; silent for so long it hangs.
pub(crate) const WATCH_SILENT: Duration = ms(3_700);
/// Part of that by which each call may be less patient: hundreds of routers that lost discovery in one moment don't all
/// come back in one.
pub(crate) const WATCH_SILENT_SPREAD: f64 = 0.2;
/// The list that was asked for has to come within this after the head of the answer.
pub(crate) const WATCH_FIRST: Duration = ms(1_500);
/// A head or an object of which only a part has come for so long is never whole: what follows would be taken for its rest.
pub(crate) const WATCH_PART: Duration = ms(1_500);
/// Time in which the watch's connection has to stand.
pub(crate) const WATCH_CONNECT: Duration = ms(1_000);
/// Least wait before a watch is opened anew after a failure.
pub(crate) const WATCH_AGAIN: Duration = ms(100);
/// Up to so much more by chance after a first failure, so that hundreds of routers don't come together; twice that after
/// each further one.
pub(crate) const WATCH_SPREAD: Duration = ms(700);
/// What is added by chance grows to this and no further.
pub(crate) const WATCH_SPREAD_MOST: Duration = ms(1_900);
/// After it was told to stop, a node goes on taking requests for so long: who comes still has to be answered. From the
/// protocol.
pub(crate) const STOP_GRACE: Duration = ms(700);
/// The least time after which a machine is woken anew rather than in the same moment.
pub(crate) const NEXT_WAKE: Duration = ms(1);
/// From then on streams are moved, where clients ask for the rest of what broke: late enough for most to end by
/// themselves, and early enough that the next router in a rolling restart is still up.
pub(crate) const STOP_MOVE: Duration = ms(2_400);
/// The longest wait of a client that the time until the kill goes by. From the protocol.
pub(crate) const STOP_LONGEST: Duration = ms(3_000);
/// So long before the kill nothing is left unanswered.
pub(crate) const STOP_SPARE: Duration = ms(450);
/// The last byte of a request that must not be repeated is held back for so long: a peer that resets the connection as a
/// request comes in is seen to do so in this time.
pub(crate) const HOLD_BACK: Duration = ms(3);
/// A connection that has said nothing for less is not closed to make room: its first request may be on its way.
pub(crate) const YOUNG: Duration = ms(400);
/// A connection rests for so long after an answer before it is used again: an engine that closes it, or sends a second
/// answer, is seen to do so in this time.
pub(crate) const REST: Duration = ms(8);
/// Least time between two lines for the staff on peers' misdeeds.
pub(crate) const LOG_STEP: Duration = ms(500);
/// Lines on unsafe writes that never ran, between two that say how things stand.
pub(crate) const STORIES: u32 = 200;
/// Between two lines that say how things stand.
pub(crate) const SAY_STANDING: Duration = ms(10_000);

/// What a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Descriptors in all.
    pub sockets: usize,
    /// Client connections at once.
    pub clients: usize,
    /// Connections to engines at once.
    pub links: usize,
    /// Bytes of requests that are held, in all.
    pub bytes: usize,
}

impl Room {
    /// Shares out `sockets` descriptors and `memory_mb` MB. Clients hold at most a third of the descriptors for
    /// requests, and each request has one attempt out, so half for each side is enough; some are left for connections
    /// that are closing and for letting go.
    pub fn of(sockets: usize, memory_mb: usize) -> Room {
        let usable = sockets.saturating_sub(OWN);
        let side = (usable * 45 / 100).max(2);
        Room { sockets, clients: side, links: side, bytes: (memory_mb << 20) / 4 }
    }

    /// Descriptors of connections that the driver may hold, those that are closing counted.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(OWN).max(4)
    }

    /// How long a client's connection may stand idle, given how many there are.
    pub(crate) fn client_idle(&self, clients: usize) -> Duration {
        if clients * 2 > self.clients {
            CLIENT_IDLE_SHORT
        } else {
            CLIENT_IDLE
        }
    }
}

#[cfg(test)]
mod tests;
