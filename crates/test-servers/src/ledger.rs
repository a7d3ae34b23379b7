//! Records what test servers and clients observe. All of one run share a ledger; the router never sees it.

use crate::engine::Role;
use slipreel_invariants::{Record, Seen};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct LedgerContents {
    records: Vec<Record>,
    /// The role that each engine last reported, and whether it accepts work in that role.
    roles: BTreeMap<String, (Role, bool)>,
    /// When a request with an idempotency key ran, by engine group and key.
    keys: BTreeMap<(String, String), Duration>,
}

/// A shared list of records, the roles of engines and the idempotency keys that engine groups remember.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<LedgerContents>>);

impl Ledger {
    fn lock(&self) -> std::sync::MutexGuard<'_, LedgerContents> {
        // A panic while the lock was held leaves the data consistent.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records an observation.
    pub fn note(&self, at: Duration, seen: Seen) {
        self.lock().records.push(Record { at, seen });
    }

    /// All records so far.
    pub fn records(&self) -> Vec<Record> {
        self.lock().records.clone()
    }

    /// Stores the role that an engine reports, for the test driver that maintains the list of engines.
    pub fn report_role(&self, engine: &str, role: Role, serving: bool) {
        self.lock().roles.insert(engine.to_owned(), (role, serving));
    }

    /// The role that an engine reported last, and whether it accepts work in that role.
    pub fn role(&self, engine: &str) -> Option<(Role, bool)> {
        self.lock().roles.get(engine).copied()
    }

    /// Returns whether `key` was not used in `group` within the last `window`, and if so stores its use.
    pub fn first_use(&self, now: Duration, group: &str, key: &str, window: Duration) -> bool {
        let mut contents = self.lock();
        let entry = (group.to_owned(), key.to_owned());
        if contents.keys.get(&entry).is_some_and(|&at| now < at + window) {
            return false;
        }
        contents.keys.insert(entry, now);
        true
    }
}
