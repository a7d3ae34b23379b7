//! How discovery is asked: one watch at a time, opened anew with some chance when it breaks, hangs or can't be read.
//!
//! Whatever a call came to, what discovery has and would tell has to be held 6 s later. So every stage of a call has an end,
//! the back-off between two has one, and together they stay inside that (`tests::whatever_a_call_came_to_...`). After
//! a call that failed the whole list is asked for: what its watch had missed need not be in the changes of the next.

use crate::endpoint_list::{self, EndpointList};
use crate::resource_limits::MAX_HEAD_BYTES;
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Side, Start};
use slipreel_state_machine::ConnId;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The largest object of discovery, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;
/// A watch sends something every 2 s; silent for so long it hangs.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3_700);
/// The fraction of `SILENCE_TIMEOUT` by which each call may wait less: hundreds of routers that lost discovery in one
/// moment must not all reconnect in one.
const SILENCE_TIMEOUT_JITTER: f64 = 0.2;
/// The list that was asked for has to come within this after the head of the answer.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A head or an object of which only a part has come for so long is given up: what follows would be taken for its rest.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time in which the connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest wait before a watch is opened again after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The most that jitter adds to the backoff after a first failure, so that hundreds of routers don't come together; it
/// doubles with each further failure.
const INITIAL_BACKOFF_JITTER: Duration = Duration::from_millis(700);
/// The most that jitter adds to the backoff after any number of failures.
const MAX_BACKOFF_JITTER: Duration = Duration::from_millis(1_900);

/// Where the watch stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Not to be opened before this time.
    Waiting(Duration),
    /// Since when.
    Connecting(ConnId, Duration),
    /// When it last said something.
    Open(ConnId, Duration),
}

/// The watch of the list.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) addr: SocketAddr,
    pub(crate) state: State,
    /// Version of the list that is held.
    index: u64,
    /// The whole list is asked for, whatever its version: what was told last could not be taken, or the last call failed.
    anew: bool,
    /// Since when the head of its answer, a good one, has come and no object after it.
    answered: Option<Duration>,
    listening: bool,
    decoder: Decoder,
    /// What it has said since its last whole object.
    said: Vec<u8>,
    /// Since when a head or an object stands there in part.
    part: Option<Duration>,
    /// Calls that failed since it last told something.
    failures: u32,
    /// The last list was older than what is held. A whole one that is told again when asked for counts: discovery has
    /// begun anew.
    went_back: bool,
    /// How long this call may be silent; each draws its own, as hundreds of routers see the same silence.
    patience: Duration,
    /// Draws for what is no decision: when it is opened anew.
    chance: u64,
}

fn decoder() -> Decoder {
    Decoder::new(Side::Client, Limits { head: MAX_HEAD_BYTES, body: u64::MAX, ..Limits::default() })
}

/// The longest back-off after so many failures in a row.
fn back_off(failures: u32) -> Duration {
    let spread = INITIAL_BACKOFF_JITTER * (1 << failures.saturating_sub(1).min(8));
    MIN_BACKOFF + spread.min(MAX_BACKOFF_JITTER)
}

impl Watch {
    pub(crate) fn new(addr: SocketAddr, now: Duration, seed: u64) -> Self {
        Watch {
            addr,
            state: State::Waiting(now),
            index: 0,
            anew: true,
            answered: None,
            listening: false,
            decoder: decoder(),
            said: Vec::new(),
            part: None,
            failures: 0,
            went_back: false,
            patience: SILENCE_TIMEOUT,
            // Seeds that lie close together have to draw far apart from the first draw on.
            chance: xxh3_64(&seed.to_le_bytes()) | 1,
        }
    }

    /// The list that the node holds is of this version.
    pub(crate) fn holds(&mut self, index: u64) {
        (self.index, self.anew) = (index, false);
    }

    pub(crate) fn conn(&self) -> Option<ConnId> {
        match self.state {
            State::Waiting(_) => None,
            State::Connecting(conn, _) | State::Open(conn, _) => Some(conn),
        }
    }

    /// When it has to be looked at again.
    pub(crate) fn due(&self) -> Duration {
        match self.state {
            State::Waiting(at) => at,
            State::Connecting(_, since) => since + CONNECT_TIMEOUT,
            State::Open(_, heard) => {
                let whole = self.part.map_or(Duration::MAX, |since| since + PARTIAL_MESSAGE_TIMEOUT);
                // Guards against a watch that says that it lives and never tells the list that it was asked for.
                let first =
                    self.answered.filter(|_| self.anew).map_or(Duration::MAX, |at| at + FIRST_LIST_TIMEOUT);
                whole.min(first).min(heard + self.patience)
            }
        }
    }

    /// Why it is given up when it is due, and whether the next one is opened at once: the agent on this machine counts as
    /// heard whether a watch stands or not.
    pub(crate) fn overdue(&self, now: Duration) -> (&'static str, bool) {
        match self.state {
            State::Open(_, heard) if heard + self.patience <= now => {
                ("nothing was heard of it for too long", true)
            }
            State::Open(..) if self.part.is_some() => ("what it said did not come whole in time", false),
            State::Open(..) => ("it lives, but does not tell the list", false),
            _ => ("no connection in time", false),
        }
    }

    /// A call has failed at `now`. The next one asks for the whole list after a back-off, or at once.
    pub(crate) fn failed(&mut self, now: Duration, at_once: bool) {
        self.anew = true;
        self.failures = if at_once { 0 } else { self.failures.saturating_add(1) };
        let wait = MIN_BACKOFF + (back_off(self.failures) - MIN_BACKOFF).mul_f64(self.draw());
        self.again(if at_once { now } else { now + wait });
    }

    /// It is over; the next one is opened at `at`. What it had said in part is dropped.
    pub(crate) fn again(&mut self, at: Duration) {
        self.state = State::Waiting(at);
        (self.listening, self.answered) = (false, None);
        self.decoder = decoder();
        (self.said, self.part) = (Vec::new(), None);
    }

    /// Its connection stands: gives what to ask.
    pub(crate) fn ask(&mut self, conn: ConnId, now: Duration) -> Vec<u8> {
        self.state = State::Open(conn, now);
        self.patience = SILENCE_TIMEOUT.mul_f64(1.0 - SILENCE_TIMEOUT_JITTER * self.draw());
        let after = if self.anew { 0 } else { self.index };
        let (target, host) = (format!("/api/targets?watch=1&after={after}"), self.addr.to_string());
        http::request_head("GET", &target, &[("host", &host)], Framing::Length(0))
    }

    /// Takes bytes; gives the lists that they complete.
    ///
    /// # Errors
    /// What can't be read, or is older than what is held: the watch has to be opened anew. The lists before it count.
    pub(crate) fn feed(
        &mut self, now: Duration, bytes: &[u8], out: &mut Vec<EndpointList>,
    ) -> Result<(), String> {
        if let State::Open(_, heard) = &mut self.state {
            *heard = now;
        }
        self.decoder.feed(bytes);
        // What came before something that can't be read counts.
        let (read, before) = (self.pieces(now), out.len());
        self.objects(out)?;
        let told = out.len() > before;
        if told {
            (self.answered, self.failures, self.part) = (None, 0, None);
        }
        // A head that drips keeps the connection alive as an object in part does.
        let in_part = !self.said.is_empty() || !self.listening || self.decoder.buffered() > 0;
        self.part = in_part.then(|| self.part.unwrap_or(now));
        read
    }

    fn pieces(&mut self, now: Duration) -> Result<(), String> {
        while let Some(item) = self.decoder.next_item().map_err(|why| why.why)? {
            match item {
                Item::Head(head) => match head.start {
                    Start::Response { status: 200 } => {
                        (self.listening, self.answered, self.part) = (true, Some(now), None);
                    }
                    Start::Response { status: 100..=199 } => {}
                    _ => return Err(format!("answer {:?}: expected 200", head.start)),
                },
                Item::Body(piece) => self.said.extend_from_slice(&piece),
                Item::End if self.listening => return Err("the watch has ended".into()),
                Item::End => {}
            }
        }
        Ok(())
    }

    /// What has been said since the last whole object; the lists that it completes go to `out`.
    fn objects(&mut self, out: &mut Vec<EndpointList>) -> Result<(), String> {
        let Watch { said, index, anew, went_back, .. } = self;
        let mut take = |mut list: EndpointList| {
            let older = list.index < *index;
            let again = std::mem::replace(went_back, older);
            if older && !(again && list.whole && *anew) {
                return Err(format!("list {}: older than {}, which is held", list.index, *index));
            }
            (*index, *anew, *went_back, list.older) = (list.index, false, false, older);
            out.push(list);
            Ok(())
        };
        let taken = endpoint_list::take(said, &mut take);
        if taken.is_err() {
            self.anew = true;
        } else if self.said.len() > MAX_OBJECT_BYTES {
            return Err(format!("an object over {MAX_OBJECT_BYTES} bytes"));
        }
        taken
    }

    fn draw(&mut self) -> f64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
