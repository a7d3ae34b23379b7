//! The ids of requests that were forwarded recently.
//!
//! Every request carries a new id, a client's retry included. A request whose id was used before would run a
//! second time under the same id, so it is rejected. Only a hash of each id is kept, and a bounded number of
//! them.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of ids. Above 136 requests a second the oldest ids are dropped before [`RETENTION`] has
/// passed.
const CAPACITY: usize = 8_192;
/// How long an id is kept: longer than usual deadlines of clients. Independent of the deduplication windows
/// of classes.
const RETENTION: Duration = Duration::from_secs(60);

/// A bounded set of recent ids.
#[derive(Debug, Default)]
pub(crate) struct RecentIds {
    hashes: HashSet<u64>,
    /// The hashes in the order in which they were added, with the times.
    order: VecDeque<(Duration, u64)>,
}

impl RecentIds {
    /// Adds an id. One that is present already keeps its earlier time.
    pub(crate) fn add(&mut self, now: Duration, id: &str) {
        self.remove_expired(now);
        let hash = xxh3_64(id.as_bytes());
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back((now, hash));
        if self.order.len() > CAPACITY {
            self.remove_oldest();
        }
    }

    /// Whether an id was added within [`RETENTION`].
    pub(crate) fn contains(&mut self, now: Duration, id: &str) -> bool {
        self.remove_expired(now);
        self.hashes.contains(&xxh3_64(id.as_bytes()))
    }

    fn remove_expired(&mut self, now: Duration) {
        while self.order.front().is_some_and(|&(at, _)| now >= at + RETENTION) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, hash)) = self.order.pop_front() {
            self.hashes.remove(&hash);
        }
    }
}

#[cfg(test)]
mod tests;
