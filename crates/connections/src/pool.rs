//! Which connection carries the next exchange with an engine: the idle one used last, else a new one, within bounds.
//!
//! The one used last that has rested is the least likely to have been closed by the engine in the meantime. While an engine holds
//! state, the last idle connection is kept back for its release (`releases`).

use slipreel::EngineId;
use slipreel_state_machine::ConnId;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errand {
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

#[derive(Debug, Default)]
struct Lane {
    /// With the time at which each fell idle.
    idle: Vec<(ConnId, Duration)>,
    open: usize,
    /// States that may be held there.
    held: usize,
}

/// The connections to all engines, by engine.
#[derive(Debug, Default)]
pub struct Pool {
    lanes: BTreeMap<EngineId, Lane>,
}

impl Pool {
    /// Takes a place for an exchange. A probe or release may go one over the bound, so that an engine all of whose
    /// connections hang can still be asked how it is. Of the idle ones that used last is taken which fell idle by
    /// `rested`: an engine that closes after its answer is seen to do so a moment later.
    pub fn take(&mut self, engine: EngineId, most: usize, what: Errand, rested: Duration) -> Slot {
        let lane = self.lanes.entry(engine).or_default();
        let most = most + usize::from(what != Errand::Attempt);
        let kept_back = what != Errand::Release && lane.held > 0 && lane.idle.len() == 1 && lane.open < most;
        let at = lane.idle.iter().rposition(|&(_, since)| since <= rested).filter(|_| !kept_back);
        if let Some(at) = at {
            return Slot::Idle(lane.idle.remove(at).0);
        }
        if lane.open >= most {
            return Slot::Full;
        }
        lane.open += 1;
        Slot::Open
    }

    /// Counts a connection that is opened for an exchange of its own.
    pub fn opens(&mut self, engine: EngineId) {
        self.lanes.entry(engine).or_default().open += 1;
    }

    /// Gives a connection back after its exchange. False if it is to be closed: enough are idle.
    pub fn put(&mut self, engine: EngineId, conn: ConnId, most_idle: usize, now: Duration) -> bool {
        let lane = self.lanes.entry(engine).or_default();
        let keeps = lane.idle.len() < most_idle;
        if keeps {
            lane.idle.push((conn, now));
        }
        keeps
    }

    /// A connection is gone, idle or not.
    pub fn gone(&mut self, engine: EngineId, conn: ConnId) {
        let Some(lane) = self.lanes.get_mut(&engine) else { return };
        lane.open = lane.open.saturating_sub(1);
        lane.idle.retain(|&(c, _)| c != conn);
        if lane.open == 0 && lane.held == 0 {
            self.lanes.remove(&engine);
        }
    }

    /// An engine may hold one more state.
    pub fn holds(&mut self, engine: EngineId) {
        self.lanes.entry(engine).or_default().held += 1;
    }

    /// It holds one state less, if it is named.
    pub fn freed(&mut self, engine: Option<EngineId>) {
        let Some(lane) = engine.and_then(|e| self.lanes.get_mut(&e)) else { return };
        lane.held = lane.held.saturating_sub(1);
        if let Some(engine) = engine.filter(|_| lane.open == 0 && lane.held == 0) {
            self.lanes.remove(&engine);
        }
    }

    /// Whether the last idle connection to an engine is to stay, whatever its age.
    pub fn keeps(&self, engine: EngineId) -> bool {
        self.lanes.get(&engine).is_some_and(|l| l.held > 0 && l.idle.len() == 1)
    }

    /// Engines that it keeps books of.
    pub fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Whether it keeps books of none.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Connections to an engine that stand or are being opened.
    pub fn open_to(&self, engine: EngineId) -> usize {
        self.lanes.get(&engine).map_or(0, |lane| lane.open)
    }

    /// Whether a connection to an engine stands idle.
    pub fn has_idle(&self, engine: EngineId) -> bool {
        self.lanes.get(&engine).is_some_and(|l| !l.idle.is_empty())
    }

    /// The idle connections to an engine.
    pub fn idle(&self, engine: EngineId) -> Vec<ConnId> {
        self.lanes.get(&engine).map(|l| l.idle.iter().map(|&(conn, _)| conn).collect()).unwrap_or_default()
    }

    /// Connections that stand or are being opened.
    #[cfg(test)]
    fn open(&self) -> usize {
        self.lanes.values().map(|l| l.open).sum()
    }
}

#[cfg(test)]
mod tests;
