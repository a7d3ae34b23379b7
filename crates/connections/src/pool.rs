//! Selects the connection for the next exchange with an engine: the idle one that was used last, or else a
//! new one, within limits.
//!
//! The idle connection that was used last, but not just now, is the least likely to have been closed by the
//! engine in the meantime. While an engine holds prefilled state, the last idle connection is reserved for
//! its release ([`crate::ReleaseQueue`]).

use slipreel::EngineId;
use slipreel_state_machine::ConnId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The purpose of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Sends a request.
    Attempt,
    /// Queries load or health.
    Probe,
    /// Releases prefilled state.
    Release,
}

/// The connection for an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// An idle connection.
    Idle(ConnId),
    /// A new connection may be opened.
    Open,
    /// None: the engine has the maximum number of connections.
    Full,
}

/// The connections to one engine.
#[derive(Debug, Default)]
struct EngineEntry {
    /// The idle connections, with the time at which each became idle.
    idle: Vec<(ConnId, Duration)>,
    /// Connections that are open or being opened.
    open: usize,
    /// How many prefilled states the engine possibly holds now.
    held_states: usize,
}

/// The connections to all engines, by engine.
#[derive(Debug, Default)]
pub struct Pool {
    engines: BTreeMap<EngineId, EngineEntry>,
}

impl Pool {
    /// Reserves a connection for an exchange. A probe or release may exceed `max_open` by one, so that an
    /// engine can still be probed when all its connections hang. Of the connections that became idle at
    /// `idle_by` or before, the last used one is taken: if an engine closes connections after a response,
    /// that is detected only a moment later.
    pub fn reserve(
        &mut self, engine: EngineId, max_open: usize, purpose: Purpose, idle_by: Duration,
    ) -> Slot {
        let entry = self.engines.entry(engine).or_default();
        let max_open = max_open + usize::from(purpose != Purpose::Attempt);
        let is_reserved_for_release = purpose != Purpose::Release
            && entry.held_states > 0
            && entry.idle.len() == 1
            && entry.open < max_open;
        let index =
            entry.idle.iter().rposition(|&(_, since)| since <= idle_by).filter(|_| !is_reserved_for_release);
        if let Some(index) = index {
            return Slot::Idle(entry.idle.remove(index).0);
        }
        if entry.open >= max_open {
            return Slot::Full;
        }
        entry.open += 1;
        Slot::Open
    }

    /// Counts a connection that is opened for an exchange without [`Pool::reserve`].
    pub fn reserve_new(&mut self, engine: EngineId) {
        self.engines.entry(engine).or_default().open += 1;
    }

    /// Returns a connection after its exchange. False: enough are idle, and the connection has to be closed.
    pub fn put_idle(&mut self, engine: EngineId, conn: ConnId, max_idle: usize, now: Duration) -> bool {
        let entry = self.engines.entry(engine).or_default();
        let is_kept = entry.idle.len() < max_idle;
        if is_kept {
            entry.idle.push((conn, now));
        }
        is_kept
    }

    /// Removes a connection that has closed, idle or not.
    pub fn remove(&mut self, engine: EngineId, conn: ConnId) {
        let Some(entry) = self.engines.get_mut(&engine) else { return };
        entry.open = entry.open.saturating_sub(1);
        entry.idle.retain(|&(c, _)| c != conn);
        if entry.open == 0 && entry.held_states == 0 {
            self.engines.remove(&engine);
        }
    }

    /// Records that an engine possibly holds one more prefilled state.
    pub fn state_held(&mut self, engine: EngineId) {
        self.engines.entry(engine).or_default().held_states += 1;
    }

    /// Records that an engine, if one is given, holds one prefilled state less.
    pub fn state_released(&mut self, engine: Option<EngineId>) {
        let Some(entry) = engine.and_then(|e| self.engines.get_mut(&e)) else { return };
        entry.held_states = entry.held_states.saturating_sub(1);
        if let Some(engine) = engine.filter(|_| entry.open == 0 && entry.held_states == 0) {
            self.engines.remove(&engine);
        }
    }

    /// Whether the last idle connection to an engine has to stay open, whatever its age.
    pub fn keeps_last_idle(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|entry| entry.held_states > 0 && entry.idle.len() == 1)
    }

    /// The number of engines with an entry.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// The number of connections to an engine that are open or being opened.
    pub fn open_count(&self, engine: EngineId) -> usize {
        self.engines.get(&engine).map_or(0, |entry| entry.open)
    }

    /// Whether there is an idle connection to an engine.
    pub fn has_idle(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|entry| !entry.idle.is_empty())
    }

    /// The idle connections to an engine.
    pub fn idle(&self, engine: EngineId) -> Vec<ConnId> {
        self.engines
            .get(&engine)
            .map(|entry| entry.idle.iter().map(|&(conn, _)| conn).collect())
            .unwrap_or_default()
    }

    /// The number of connections to all engines that are open or being opened.
    #[cfg(test)]
    fn total_open_count(&self) -> usize {
        self.engines.values().map(|entry| entry.open).sum()
    }
}

#[cfg(test)]
mod tests;
