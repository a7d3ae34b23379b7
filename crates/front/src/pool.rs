//! Which connection carries the next exchange with an engine: the idle one used last, else a new one, within bounds.
//!
//! The one used last is the least likely to have been closed by the engine in the meantime.

use slipreel::EngineId;
use slipreel_machine::ConnId;
use std::collections::BTreeMap;

/// Where an exchange may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Slot {
    /// An idle connection.
    Idle(ConnId),
    /// A new one may be opened.
    Open,
    /// The engine has as many as it may have.
    Full,
}

#[derive(Debug, Default)]
struct Lane {
    idle: Vec<ConnId>,
    open: usize,
}

/// The connections to all engines, by engine.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    lanes: BTreeMap<EngineId, Lane>,
}

impl Pool {
    /// Takes a place for an exchange. A probe or abort call (`extra`) may go one over the bound, so that an engine
    /// all of whose connections hang can still be asked how it is.
    pub(crate) fn take(&mut self, engine: EngineId, most: usize, extra: bool) -> Slot {
        let lane = self.lanes.entry(engine).or_default();
        if let Some(conn) = lane.idle.pop() {
            return Slot::Idle(conn);
        }
        if lane.open >= most + usize::from(extra) {
            return Slot::Full;
        }
        lane.open += 1;
        Slot::Open
    }

    /// Gives a connection back after its exchange. False if it is to be closed: enough are idle.
    pub(crate) fn put(&mut self, engine: EngineId, conn: ConnId, most_idle: usize) -> bool {
        let lane = self.lanes.entry(engine).or_default();
        let keeps = lane.idle.len() < most_idle;
        if keeps {
            lane.idle.push(conn);
        }
        keeps
    }

    /// A connection is gone, idle or not.
    pub(crate) fn gone(&mut self, engine: EngineId, conn: ConnId) {
        let Some(lane) = self.lanes.get_mut(&engine) else { return };
        lane.open = lane.open.saturating_sub(1);
        lane.idle.retain(|&c| c != conn);
        if lane.open == 0 {
            self.lanes.remove(&engine);
        }
    }

    /// The idle connections to an engine.
    pub(crate) fn idle(&self, engine: EngineId) -> Vec<ConnId> {
        self.lanes.get(&engine).map(|l| l.idle.clone()).unwrap_or_default()
    }

    /// Connections that stand or are being opened.
    #[cfg(test)]
    fn open(&self) -> usize {
        self.lanes.values().map(|l| l.open).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reuses_the_last_and_keeps_bounds() {
        let (engine, c) = (EngineId(1), |n| ConnId::opened(n));
        let mut pool = Pool::default();
        assert_eq!(pool.take(engine, 2, false), Slot::Open);
        assert_eq!(pool.take(engine, 2, false), Slot::Open);
        assert_eq!(pool.take(engine, 2, false), Slot::Full);
        assert_eq!(pool.take(engine, 2, true), Slot::Open, "a probe goes one over");
        assert_eq!(pool.take(engine, 2, true), Slot::Full);
        assert!(pool.put(engine, c(1), 2) && pool.put(engine, c(2), 2));
        assert!(!pool.put(engine, c(3), 2), "enough are idle");
        pool.gone(engine, c(3));
        assert_eq!(pool.take(engine, 2, false), Slot::Idle(c(2)));
        pool.gone(engine, c(1));
        assert_eq!(pool.idle(engine), []);
        assert_eq!(pool.open(), 1);
    }
}
