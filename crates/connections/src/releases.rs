//! The queue of releases: prefilled state that engines hold and that has to be released, until an engine acknowledges it.
//!
//! The rule on held state leaves a release some hundred milliseconds, and a new connection may take longer than that to
//! come up. So while an engine holds state one connection that stands is kept back from attempts ([`crate::Pool`]), and a
//! release goes out on any connection that stands or falls idle before one is opened for it. Releasing twice is harmless,
//! so a release is retried until it is acknowledged.

use slipreel::EngineId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How many releases are kept; beyond it the oldest is dropped. Far more than a router has requests under way.
const CAPACITY: usize = 16_384;

/// A release by its number in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReleaseId(pub u64);

/// An attempt that was cancelled or broke off: its engine may go on with it until it has seen that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedAttempt {
    /// The engine.
    pub engine: EngineId,
    /// When the attempt ended here.
    pub ended: Duration,
}

/// Prefilled state that an engine is to release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The engine that holds it.
    pub holder: EngineId,
    /// Its address.
    pub addr: SocketAddr,
    /// The name by which engines know the state.
    pub name: String,
    /// Engines that were asked and have not acknowledged it since all others were asked, too.
    pub asked: Vec<EngineId>,
    /// Since when it has been tried without being acknowledged.
    since: Duration,
    /// When it was last sent.
    sent: Option<Duration>,
    /// It was acknowledged, and is sent again at this time.
    repeat_at: Option<Duration>,
    /// Attempts that may leave state after the release, so that it has to be repeated.
    pub unconfirmed: Vec<UnconfirmedAttempt>,
    /// Until then it is repeated, unless it turns out before that nothing more can come to be held.
    repeat_until: Option<Duration>,
    /// It has been acknowledged before.
    pub repeats: bool,
}

/// What a release calls for now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseStep {
    /// It is to be sent.
    Send(Release),
    /// Nothing before this time.
    Wait(Duration),
    /// It was acknowledged, withdrawn or given up.
    Over,
}

/// How a queue retries and repeats.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseTiming {
    /// A release that was not acknowledged is sent again after this.
    pub retry: Duration,
    /// Time from one repeat to the next, while state may still come to be held. The first repeat comes after `retry`: most
    /// prefills that were cancelled end at once or not at all.
    pub repeat: Duration,
    /// A release that nobody has acknowledged for so long is given up: engines free by then what nobody asks for.
    pub give_up: Duration,
}

/// An engine with releases that are not over.
#[derive(Debug, Default)]
struct Holder {
    releases: BTreeSet<ReleaseId>,
    /// When a connection was last opened for them.
    opened: Option<Duration>,
}

/// Releases that are not over, by number and by holder.
#[derive(Debug)]
pub struct ReleaseQueue {
    timing: ReleaseTiming,
    releases: BTreeMap<ReleaseId, Release>,
    holders: BTreeMap<EngineId, Holder>,
    last_id: u64,
}

impl ReleaseQueue {
    /// An empty queue.
    pub fn new(timing: ReleaseTiming) -> Self {
        ReleaseQueue { timing, releases: BTreeMap::new(), holders: BTreeMap::new(), last_id: 0 }
    }

    /// Adds state that `holder` is to release.
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

    /// State may still come to be held until then, as these attempts were given up and may yet end well: the release is
    /// repeated once at least after it was acknowledged, and up to that time.
    pub fn repeat_until(&mut self, id: ReleaseId, until: Duration, unconfirmed: Vec<UnconfirmedAttempt>) {
        if let Some(release) = self.releases.get_mut(&id) {
            (release.repeat_until, release.unconfirmed) = (Some(until), unconfirmed);
        }
    }

    /// Nothing more can come to be held: the next acknowledgement is the last.
    pub fn stop_repeating(&mut self, id: ReleaseId) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.repeat_until = None;
        }
    }

    /// What a release calls for now.
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

    /// It was sent to this engine.
    pub fn record_sent(&mut self, id: ReleaseId, engine: EngineId, now: Duration) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.sent = Some(now);
            release.asked.push(engine);
        }
    }

    /// All engines were asked: any of them may be asked again.
    pub fn clear_asked(&mut self, id: ReleaseId) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.asked.clear();
        }
    }

    /// An engine has acknowledged it. It is over, unless state may still come to be held.
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

    /// Withdraws a release that is not over. Gives its holder.
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

    /// How many releases are not over.
    pub fn len(&self) -> usize {
        self.releases.len()
    }

    /// Whether all releases are over.
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }

    /// The oldest release for an engine that is not under way, to be sent on a connection to it that has just fallen idle.
    pub fn oldest_waiting_for(&self, holder: EngineId) -> Option<ReleaseId> {
        let waits = |id: &&ReleaseId| self.releases.get(id).is_some_and(|r| r.waits(None));
        self.holders.get(&holder)?.releases.iter().find(waits).copied()
    }

    /// The oldest release, whoever holds its state, that is not under way, or was sent at `stale` or before and not
    /// acknowledged since: to be sent on a connection that has just answered.
    pub fn oldest_waiting(&self, stale: Duration) -> Option<ReleaseId> {
        self.releases.iter().find(|(_, release)| release.waits(Some(stale))).map(|(&id, _)| id)
    }

    /// Whether one more connection may be opened for what a holder is to release: one at a time every `step`, so that a
    /// fresh one is at hand when a link is back, and hundreds of releases open no hundreds of connections.
    pub fn may_open(&mut self, holder: EngineId, now: Duration, step: Duration) -> bool {
        let Some(holder) = self.holders.get_mut(&holder) else { return false };
        let may = holder.opened.is_none_or(|at| now >= at + step);
        if may {
            holder.opened = Some(now);
        }
        may
    }
}

impl Release {
    fn waits(&self, stale: Option<Duration>) -> bool {
        let is_stale = |sent: Duration| stale.is_some_and(|stale| sent <= stale);
        self.repeat_at.is_none() && self.sent.is_none_or(is_stale)
    }
}
