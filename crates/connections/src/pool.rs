//! Which connection carries the next exchange with an engine: the idle one used last, else a new one, within bounds.
//!
//! The one that was used last, but not just now, is the least likely to have been closed by the engine in the meantime. While an engine holds
//! state, the last idle connection is kept back for its release (`releases`).

use slipreel::EngineId;
use slipreel_state_machine::ConnId;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To send a request.
    Attempt,
    /// To ask for load or health.
    Probe,
    /// To release state.
    Release,
}

/// Where an exchange may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// An idle connection.
    Idle(ConnId),
    /// A new one may be opened.
    Open,
    /// The engine has as many as it may have.
    Full,
}

/// The connections to one engine.
#[derive(Debug, Default)]
struct EngineEntry {
    /// The idle ones, with the time at which each became idle.
    idle: Vec<(ConnId, Duration)>,
    /// Connections that stand or are being opened.
    open: usize,
    /// States that the engine may hold.
    held: usize,
}

/// The connections to all engines, by engine.
#[derive(Debug, Default)]
pub struct Pool {
    engines: BTreeMap<EngineId, EngineEntry>,
}

impl Pool {
    /// Reserves a place for an exchange. A probe or release may go one over the bound, so that an engine all of whose
    /// connections hang can still be asked how it is. Of the idle ones that used last is taken which fell idle by
    /// `idle_by`: an engine that closes after its answer is seen to do so a moment later.
    pub fn reserve(
        &mut self, engine: EngineId, max_open: usize, purpose: Purpose, idle_by: Duration,
    ) -> Slot {
        let entry = self.engines.entry(engine).or_default();
        let max_open = max_open + usize::from(purpose != Purpose::Attempt);
        let kept_back =
            purpose != Purpose::Release && entry.held > 0 && entry.idle.len() == 1 && entry.open < max_open;
        let at = entry.idle.iter().rposition(|&(_, since)| since <= idle_by).filter(|_| !kept_back);
        if let Some(at) = at {
            return Slot::Idle(entry.idle.remove(at).0);
        }
        if entry.open >= max_open {
            return Slot::Full;
        }
        entry.open += 1;
        Slot::Open
    }

    /// Counts a connection that is opened for an exchange of its own.
    pub fn reserve_new(&mut self, engine: EngineId) {
        self.engines.entry(engine).or_default().open += 1;
    }

    /// Gives a connection back after its exchange. False if it is to be closed: enough are idle.
    pub fn put_idle(&mut self, engine: EngineId, conn: ConnId, max_idle: usize, now: Duration) -> bool {
        let entry = self.engines.entry(engine).or_default();
        let keeps = entry.idle.len() < max_idle;
        if keeps {
            entry.idle.push((conn, now));
        }
        keeps
    }

    /// A connection is gone, idle or not.
    pub fn remove(&mut self, engine: EngineId, conn: ConnId) {
        let Some(entry) = self.engines.get_mut(&engine) else { return };
        entry.open = entry.open.saturating_sub(1);
        entry.idle.retain(|&(c, _)| c != conn);
        if entry.open == 0 && entry.held == 0 {
            self.engines.remove(&engine);
        }
    }

    /// An engine may hold one more state.
    pub fn state_held(&mut self, engine: EngineId) {
        self.engines.entry(engine).or_default().held += 1;
    }

    /// It holds one state less, if it is named.
    pub fn state_released(&mut self, engine: Option<EngineId>) {
        let Some(entry) = engine.and_then(|e| self.engines.get_mut(&e)) else { return };
        entry.held = entry.held.saturating_sub(1);
        if let Some(engine) = engine.filter(|_| entry.open == 0 && entry.held == 0) {
            self.engines.remove(&engine);
        }
    }

    /// Whether the last idle connection to an engine is to stay, whatever its age.
    pub fn keeps_last_idle(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|entry| entry.held > 0 && entry.idle.len() == 1)
    }

    /// How many engines it has entries of.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Connections to an engine that stand or are being opened.
    pub fn open_count(&self, engine: EngineId) -> usize {
        self.engines.get(&engine).map_or(0, |entry| entry.open)
    }

    /// Whether a connection to an engine stands idle.
    pub fn has_idle(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|l| !l.idle.is_empty())
    }

    /// The idle connections to an engine.
    pub fn idle(&self, engine: EngineId) -> Vec<ConnId> {
        self.engines
            .get(&engine)
            .map(|entry| entry.idle.iter().map(|&(conn, _)| conn).collect())
            .unwrap_or_default()
    }

    /// Connections that stand or are being opened.
    #[cfg(test)]
    fn open(&self) -> usize {
        self.engines.values().map(|entry| entry.open).sum()
    }
}

#[cfg(test)]
mod tests;
