//! Stand-ins for what speaks the platform's protocol: engines, discovery and clients, as machines.
//!
//! [`SharedState`] is what they share: where read states wait, and what was seen that breaks a rule. Engines fault by chance,
//! drawn from a seed ([`Faults`]).

mod client;
mod day_settings;
mod discovery;
mod engine;
mod hostile_engine;
mod random;
mod repeating_client;

pub use client::{Clients, Ending};
pub use day_settings::{list_entry, place_of, DaySettings};
pub use discovery::{Discovery, DiscoveryMode, EndpointChanges};
pub use engine::{Engine, Faults};
pub use hostile_engine::{
    lock_ledger, EngineKilled, EngineLayout, EngineRole, ExchangeFault, HostileEngine, Ledger, SharedLedger,
    EXCHANGE_FAULTS,
};
pub use random::Random;
pub use repeating_client::{ClientLayout, RepeatingClients, RequestClass};

use slipreel_invariants::terms::{Fact, Seen};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What stand-ins of one fleet share.
#[derive(Debug, Default)]
pub struct SharedState {
    /// By request: the engine that holds its state, since when no attempt is out.
    pub states: BTreeMap<String, (String, Duration)>,
    /// By request: the engines at which attempts are out.
    pub out: BTreeMap<String, Vec<String>>,
    /// Second copies, since when: that a connection was closed may still be on its way to the first's engine.
    pub overlapping: Vec<(Duration, String)>,
    /// By engine: the same.
    pub at: BTreeMap<String, usize>,
    /// Requests that a writer has begun to answer.
    pub written: BTreeSet<String>,
    /// What was seen that must not be.
    pub broken: Vec<String>,
    /// By request: its work, in requests of mean work.
    pub work: BTreeMap<String, f64>,
    /// What the judge of the terms goes by.
    pub facts: Vec<Fact>,
}

/// A fabric in many hands.
pub type Shared = Arc<Mutex<SharedState>>;

/// The fabric, whoever else has panicked.
pub fn lock_shared(shared: &Shared) -> MutexGuard<'_, SharedState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How long a close may be on its way.
const ON_ITS_WAY: Duration = Duration::from_millis(1);

/// How many events have come whole in these bytes of a stream.
fn events_in(bytes: &[u8]) -> usize {
    bytes.windows(2).filter(|pair| *pair == b"\n\n").count()
}

/// A time as the protocol writes it: milliseconds as `4800m`, microseconds as `4800u`.
fn deadline(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok()?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

impl SharedState {
    /// Something was seen.
    pub fn see(&mut self, at: Duration, seen: Seen) {
        self.facts.push(Fact { at, seen });
    }

    /// An engine's process has died: its work and what it held are gone.
    pub fn engine_died(&mut self, engine: &str) {
        self.at.remove(engine);
        self.out.values_mut().for_each(|out| out.retain(|e| e != engine));
        self.out.retain(|_, out| !out.is_empty());
        self.states.retain(|_, (holder, _)| holder != engine);
    }

    fn begin(&mut self, request: &str, engine: &str, now: Duration) {
        let out = self.out.entry(request.to_owned()).or_default();
        out.push(engine.to_owned());
        if out.len() > 1 {
            self.overlapping.push((now, request.to_owned()));
        }
        *self.at.entry(engine.to_owned()).or_default() += 1;
    }

    fn end(&mut self, request: &str, engine: &str, now: Duration) {
        if let Some(out) = self.out.get_mut(request) {
            if let Some(at) = out.iter().position(|e| e == engine) {
                out.remove(at);
            }
            if out.is_empty() {
                self.out.remove(request);
            }
            self.overlapping.retain(|(since, name)| name != request || now > *since + ON_ITS_WAY);
        }
        if let Some(at) = self.at.get_mut(engine) {
            *at -= 1;
            if *at == 0 {
                self.at.remove(engine);
            }
        }
        if let Some((_, since)) = self.states.get_mut(request) {
            *since = now;
        }
    }

    /// States that have waited for longer than `bound` while no attempt was out.
    pub fn pinned(&self, now: Duration, bound: Duration) -> Vec<String> {
        let pinned = |(name, (_, since)): (&String, &(String, Duration))| {
            (!self.out.contains_key(name) && now > *since + bound).then(|| name.clone())
        };
        self.states.iter().filter_map(pinned).collect()
    }
}
