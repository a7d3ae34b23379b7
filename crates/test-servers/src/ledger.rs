//! Where stand-ins note what they see. Shared by the stand-ins of one run; the router never sees it.

use crate::engine::Role;
use slipreel_invariants::{Record, Seen};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct Inside {
    records: Vec<Record>,
    /// The role that each engine tells of itself, and whether it serves in it.
    roles: BTreeMap<String, (Role, bool)>,
    /// Keys of keyed requests that have run, by group of engines, and when.
    keys: BTreeMap<(String, String), Duration>,
}

/// A shared list of records, and the keys that groups of engines remember.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Inside>>);

impl Ledger {
    fn inside(&self) -> std::sync::MutexGuard<'_, Inside> {
        // A panic of another stand-in leaves the list as it was.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Notes what was seen.
    pub fn note(&self, at: Duration, seen: Seen) {
        self.inside().records.push(Record { at, seen });
    }

    /// All that was noted.
    pub fn records(&self) -> Vec<Record> {
        self.inside().records.clone()
    }

    /// An engine tells its role, for whoever keeps the list of engines.
    pub fn tell_role(&self, engine: &str, role: Role, serving: bool) {
        self.inside().roles.insert(engine.to_owned(), (role, serving));
    }

    /// The role that an engine told last, and whether it serves in it.
    pub fn role(&self, engine: &str) -> Option<(Role, bool)> {
        self.inside().roles.get(engine).copied()
    }

    /// Whether a key is new to a group of engines that remembers keys for `window`. It is known from now on.
    pub fn first_use(&self, now: Duration, group: &str, key: &str, window: Duration) -> bool {
        let mut inside = self.inside();
        let name = (group.to_owned(), key.to_owned());
        if inside.keys.get(&name).is_some_and(|&at| now < at + window) {
            return false;
        }
        inside.keys.insert(name, now);
        true
    }
}
