//! Engines, discovery and clients that speak the platform's protocol, as state machines.
//!
//! [`SharedState`] is what they share: which engine holds which state, and what they observed. Engines fail
//! at random, drawn from a seed ([`Faults`]).

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

/// State that the test servers and clients of one fleet share.
#[derive(Debug, Default)]
pub struct SharedState {
    /// By request: the engine that holds its state, and when its last attempt ended or the state was stored.
    pub held_states: BTreeMap<String, (String, Duration)>,
    /// By request: the engines at which attempts are in progress.
    pub open_attempts: BTreeMap<String, Vec<String>>,
    /// Requests with more than one attempt in progress, and since when. For a moment this is allowed: the
    /// close of a connection may still be on its way to the first engine.
    pub overlapping: Vec<(Duration, String)>,
    /// By engine: the number of attempts in progress.
    pub attempts_at: BTreeMap<String, usize>,
    /// Requests whose decode has begun.
    pub decoded: BTreeSet<String>,
    /// Requests that engines decoded more than once.
    pub decoded_twice: Vec<String>,
    /// What engines saw that must not happen, as texts: requests decoded twice, and ones that can't be read.
    pub broken: Vec<String>,
    /// By request: its work, as a multiple of the mean work of a request.
    pub work: BTreeMap<String, f64>,
    /// Observations for the checker of the terms.
    pub facts: Vec<Fact>,
}

/// Shared access to the state of a fleet.
pub type Shared = Arc<Mutex<SharedState>>;

/// Locks the shared state, also after a panic of another holder.
pub fn lock_shared(shared: &Shared) -> MutexGuard<'_, SharedState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How long the close of a connection may take to arrive.
const CLOSE_DELAY: Duration = Duration::from_millis(1);

/// Number of complete events in the bytes of a stream.
fn events_in(bytes: &[u8]) -> usize {
    bytes.windows(2).filter(|pair| *pair == b"\n\n").count()
}

/// Parses a time of the protocol: milliseconds as `4800m`, microseconds as `4800u`.
fn parse_time(text: &str) -> Option<Duration> {
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
    /// Records an observation.
    pub fn see(&mut self, at: Duration, seen: Seen) {
        self.facts.push(Fact { at, seen });
    }

    /// An engine's process has died: its attempts and the states that it held are gone.
    pub fn engine_died(&mut self, engine: &str) {
        self.attempts_at.remove(engine);
        self.open_attempts.values_mut().for_each(|engines| engines.retain(|e| e != engine));
        self.open_attempts.retain(|_, engines| !engines.is_empty());
        self.held_states.retain(|_, (holder, _)| holder != engine);
    }

    /// An attempt begins at an engine.
    fn begin(&mut self, request: &str, engine: &str, now: Duration) {
        let engines = self.open_attempts.entry(request.to_owned()).or_default();
        engines.push(engine.to_owned());
        if engines.len() > 1 {
            self.overlapping.push((now, request.to_owned()));
        }
        *self.attempts_at.entry(engine.to_owned()).or_default() += 1;
    }

    /// An attempt has ended at an engine.
    fn end(&mut self, request: &str, engine: &str, now: Duration) {
        if let Some(engines) = self.open_attempts.get_mut(request) {
            if let Some(at) = engines.iter().position(|e| e == engine) {
                engines.remove(at);
            }
            if engines.is_empty() {
                self.open_attempts.remove(request);
            }
            self.overlapping.retain(|(since, name)| name != request || now > *since + CLOSE_DELAY);
        }
        if let Some(at) = self.attempts_at.get_mut(engine) {
            *at -= 1;
            if *at == 0 {
                self.attempts_at.remove(engine);
            }
        }
        if let Some((_, since)) = self.held_states.get_mut(request) {
            *since = now;
        }
    }

    /// Requests of a class that engines decoded more than once. Of a class that is safe to repeat some may be:
    /// an engine that was frozen goes on with an attempt that was cancelled meanwhile.
    pub fn decoded_twice_of(&self, class: &str) -> Vec<&str> {
        let is_of_class = |name: &&String| {
            self.facts.iter().any(|fact| match &fact.seen {
                Seen::Described { request, traits } => request == *name && traits.class == class,
                _ => false,
            })
        };
        self.decoded_twice.iter().filter(is_of_class).map(String::as_str).collect()
    }

    /// Requests whose state has been held for longer than `bound` without an attempt in progress.
    pub fn pinned(&self, now: Duration, bound: Duration) -> Vec<String> {
        let is_leaked = |(name, (_, since)): (&String, &(String, Duration))| {
            (!self.open_attempts.contains_key(name) && now > *since + bound).then(|| name.clone())
        };
        self.held_states.iter().filter_map(is_leaked).collect()
    }
}
