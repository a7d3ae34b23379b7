//! The queue of releases. A release tells an engine to free prefilled state that it holds, and stays in the
//! queue until an engine acknowledges it.
//!
//! The limit on how long state may be held leaves a release some hundred milliseconds, and opening a
//! connection may take longer than that. So while an engine holds state, one open connection is reserved from
//! attempts ([`crate::Pool`]), and a release is sent on any connection that is or becomes idle before one is
//! opened for it. Releasing twice is harmless, so a release is retried until it is acknowledged.

use slipreel::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The most releases in the queue; beyond it the oldest one is dropped. Far more than a router has active
/// requests.
const CAPACITY: usize = 16_384;

/// Identifies a release in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReleaseId(pub u64);

/// An attempt that was cancelled or broke off, which its engine may continue until it detects that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedAttempt {
    /// The engine.
    pub engine: EngineId,
    /// When the attempt ended for this router.
    pub ended: Duration,
}

/// Prefilled state that an engine has to release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The engine that holds it.
    pub holder: EngineId,
    /// Its address.
    pub addr: SocketAddr,
    /// The name by which engines know the state.
    pub name: String,
    /// Engines that the release was sent to without an acknowledgement, until all others have been tried,
    /// too.
    pub asked: Vec<EngineId>,
    /// Since when it has been sent without an acknowledgement.
    since: Duration,
    /// When it was last sent.
    sent: Option<Duration>,
    /// When it is sent again after it was acknowledged.
    repeat_at: Option<Duration>,
    /// Attempts that may still produce state after the release, so that it has to be repeated.
    pub unconfirmed: Vec<UnconfirmedAttempt>,
    /// Until when it is repeated, unless it turns out earlier that no more state can be produced.
    repeat_until: Option<Duration>,
    /// Whether it is a repeat: it has been acknowledged before.
    pub repeats: bool,
}

/// What has to be done for a release now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseStep {
    /// It has to be sent.
    Send(Release),
    /// Nothing has to be done before this time.
    Wait(Duration),
    /// Nothing more has to be done: it was acknowledged, withdrawn or given up.
    Over,
}

/// When a queue retries, repeats and gives up releases.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseTiming {
    /// After this time a release that was not acknowledged is sent again.
    pub retry: Duration,
    /// The time from one repeat to the next, while state may still be produced. The first repeat comes after
    /// `retry`, as most prefills that were cancelled end at once or not at all.
    pub repeat: Duration,
    /// A release that no engine has acknowledged for this long is given up: by then engines free state that
    /// is not fetched.
    pub give_up: Duration,
}

/// An engine with releases that are not over.
#[derive(Debug, Default)]
struct Holder {
    releases: BTreeSet<ReleaseId>,
    /// When a connection was last opened to send these releases.
    opened: Option<Duration>,
}

/// Releases that are not over, by id and by holder.
#[derive(Debug)]
pub struct ReleaseQueue {
    timing: ReleaseTiming,
    releases: BTreeMap<ReleaseId, Release>,
    holders: BTreeMap<EngineId, Holder>,
    last_id: u64,
}

impl ReleaseQueue {
    /// Creates an empty queue.
    pub fn new(timing: ReleaseTiming) -> Self {
        ReleaseQueue { timing, releases: BTreeMap::new(), holders: BTreeMap::new(), last_id: 0 }
    }

    /// Adds prefilled state that `holder` has to release.
    pub fn add(&mut self, now: Duration, holder: EngineId, addr: SocketAddr, name: String) -> ReleaseId {
        if self.releases.len() >= CAPACITY {
            let oldest = self.releases.keys().next().copied();
            oldest.into_iter().for_each(|id| self.remove(id));
        }
        self.last_id += 1;
        let id = ReleaseId(self.last_id);
        self.holders.entry(holder).or_default().releases.insert(id);
        let release = Release {
            holder,
            addr,
            name,
            asked: Vec::new(),
            since: now,
            sent: None,
            repeat_at: None,
            unconfirmed: Vec::new(),
            repeat_until: None,
            repeats: false,
        };
        self.releases.insert(id, release);
        id
    }

    /// Records that state may still be produced until then, as these attempts were given up and may still
    /// succeed: the release is repeated at least once after it was acknowledged, and up to that time.
    pub fn repeat_until(&mut self, id: ReleaseId, until: Duration, unconfirmed: Vec<UnconfirmedAttempt>) {
        if let Some(release) = self.releases.get_mut(&id) {
            (release.repeat_until, release.unconfirmed) = (Some(until), unconfirmed);
        }
    }

    /// Records that no more state can be produced: the next acknowledgement ends the release.
    pub fn stop_repeating(&mut self, id: ReleaseId) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.repeat_until = None;
        }
    }

    /// What has to be done for a release now.
    pub fn step(&mut self, id: ReleaseId, now: Duration) -> ReleaseStep {
        let Some(release) = self.releases.get_mut(&id) else { return ReleaseStep::Over };
        let retry_at = release.sent.map(|sent| sent + self.timing.retry);
        if let Some(at) = release.repeat_at.or(retry_at).filter(|&at| now < at) {
            return ReleaseStep::Wait(at);
        }
        if release.repeat_at.take().is_some() {
            release.since = now;
        }
        if now >= release.since + self.timing.give_up {
            self.remove(id);
            return ReleaseStep::Over;
        }
        ReleaseStep::Send(release.clone())
    }

    /// A release that is not over.
    pub fn get(&self, id: ReleaseId) -> Option<&Release> {
        self.releases.get(&id)
    }

    /// Records that a release was sent to an engine.
    pub fn record_sent(&mut self, id: ReleaseId, engine: EngineId, now: Duration) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.sent = Some(now);
            release.asked.push(engine);
        }
    }

    /// Records that all engines were tried, so that the release may be sent to any of them again.
    pub fn clear_asked(&mut self, id: ReleaseId) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.asked.clear();
        }
    }

    /// Records that an engine has acknowledged a release. It is over, unless state may still be produced.
    pub fn record_acknowledged(&mut self, id: ReleaseId, now: Duration) {
        let timing = self.timing;
        let Some(release) = self.releases.get_mut(&id) else { return };
        if release.repeat_at.is_some() {
            return;
        }
        let is_first = !std::mem::replace(&mut release.repeats, true);
        if !release.repeat_until.is_some_and(|until| is_first || now < until) {
            return self.remove(id);
        }
        release.repeat_at = Some(now + if is_first { timing.retry } else { timing.repeat });
        release.sent = None;
        release.asked.clear();
    }

    /// Withdraws a release that is not over. Returns its holder.
    pub fn withdraw(&mut self, id: ReleaseId) -> Option<EngineId> {
        let holder = self.releases.get(&id)?.holder;
        self.remove(id);
        Some(holder)
    }

    fn remove(&mut self, id: ReleaseId) {
        let Some(release) = self.releases.remove(&id) else { return };
        if let Some(holder) = self.holders.get_mut(&release.holder) {
            holder.releases.remove(&id);
            if holder.releases.is_empty() {
                self.holders.remove(&release.holder);
            }
        }
    }

    /// The number of releases that are not over.
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    /// Whether all releases are over.
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }

    /// The oldest release for an engine that is not in flight, to be sent on a connection to it that has just
    /// become idle.
    pub fn oldest_waiting_for(&self, holder: EngineId) -> Option<ReleaseId> {
        let is_waiting =
            |id: &&ReleaseId| self.releases.get(id).is_some_and(|release| release.is_waiting(None));
        self.holders.get(&holder)?.releases.iter().find(is_waiting).copied()
    }

    /// The oldest release for any engine that is not in flight, or that was sent at `sent_by` or before and
    /// not acknowledged since: to be sent on a connection on which a response has just arrived.
    pub fn oldest_waiting(&self, sent_by: Duration) -> Option<ReleaseId> {
        self.releases.iter().find(|(_, release)| release.is_waiting(Some(sent_by))).map(|(&id, _)| id)
    }

    /// Whether another connection may be opened for the releases of a holder: one every `interval`, so that a
    /// new one is available when a link recovers, and hundreds of releases do not open hundreds of
    /// connections.
    pub fn may_open(&mut self, holder: EngineId, now: Duration, interval: Duration) -> bool {
        let Some(holder) = self.holders.get_mut(&holder) else { return false };
        let is_allowed = holder.opened.is_none_or(|at| now >= at + interval);
        if is_allowed {
            holder.opened = Some(now);
        }
        is_allowed
    }
}

impl Release {
    /// Whether it has to be sent: it does not wait for its repeat, and is not in flight or was sent at
    /// `sent_by` or before.
    fn is_waiting(&self, sent_by: Option<Duration>) -> bool {
        let is_stale = |sent: Duration| sent_by.is_some_and(|sent_by| sent <= sent_by);
        self.repeat_at.is_none() && self.sent.is_none_or(is_stale)
    }
}
