//! The engines as this router knows them: the list, and what their own word adds to it (start times).
//!
//! The list says who is there and who drains; it knows no start times. These come from the engines' metrics, and
//! the decision module is notified of a restart as a changed entry, which is what makes it take an engine as cold.

use crate::settings::{EngineSettings, KINDS};
use slipreel::{CellId, Engine, EngineId, EngineState, Event, KindId, Listing, Role, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Start times that differ by less are one start: clocks of engines are read by whole seconds.
const SAME_START: Duration = Duration::from_millis(1_500);

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineEntry {
    pub(crate) settings: EngineSettings,
    /// When it last started, on the gateway's clock; `None`: not told, or long ago.
    started: Option<Duration>,
    /// Whether it ever told its start.
    told: bool,
}

/// The list of engines.
#[derive(Debug, Default)]
pub(crate) struct EngineList {
    by_id: BTreeMap<EngineId, EngineEntry>,
    zones: Names,
    cells: Names,
}

/// Numbers for names, the same as long as the process lives.
#[derive(Debug, Default)]
struct Names(Vec<String>);

impl Names {
    fn number(&mut self, name: &str) -> u32 {
        let at = self.0.iter().position(|n| n == name).unwrap_or_else(|| {
            self.0.push(name.to_owned());
            self.0.len() - 1
        });
        at as u32
    }
}

/// An engine's id: of its address alone, so that it is the same at every router and across restarts.
pub fn engine_id(addr: SocketAddr) -> EngineId {
    match addr {
        SocketAddr::V4(v4) => EngineId(u64::from(v4.ip().to_bits()) << 16 | u64::from(v4.port())),
        SocketAddr::V6(v6) => EngineId(xxh3_64(&[&v6.ip().octets()[..], &v6.port().to_be_bytes()].concat())),
    }
}

impl EngineList {
    /// The number of a zone by name.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.number(name))
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&EngineEntry> {
        self.by_id.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &EngineEntry)> {
        self.by_id.iter().map(|(&id, m)| (id, m))
    }

    /// Takes a complete list. Engines that left stay known until the next list without them, since attempts may
    /// still run there. Gives the event for the decision module and the engines that take nothing new from now on.
    pub(crate) fn replace(&mut self, now: Duration, list: &[EngineSettings]) -> (Event, Vec<EngineId>) {
        let before = std::mem::take(&mut self.by_id);
        for settings in list {
            let id = engine_id(settings.addr);
            // An engine in another role than before has started anew, whatever it says: the decision module takes a role
            // only with a start time that it has not seen.
            let (started, told) = match before.get(&id) {
                Some(m) if m.settings.role != settings.role => (Some(now), false),
                Some(m) => (m.started, m.told),
                // One that was not there before may have started just now; its own word will tell. The first list of
                // a router says nothing of that, as all its engines are new to it.
                None => ((!before.is_empty()).then_some(now), false),
            };
            self.by_id.insert(id, EngineEntry { settings: settings.clone(), started, told });
        }
        let takes = |m: Option<&EngineEntry>| m.is_some_and(|m| m.settings.state == EngineState::Ready);
        let closed = before
            .iter()
            .filter(|(id, m)| takes(Some(m)) && !takes(self.by_id.get(id)))
            .map(|(&id, _)| id)
            .collect();
        let ids: Vec<EngineId> = self.by_id.keys().copied().collect();
        let engines = ids.into_iter().filter_map(|id| self.entry(id)).collect();
        (Event::Engines { listing: Listing::Complete, engines }, closed)
    }

    fn entry(&mut self, id: EngineId) -> Option<Engine> {
        let member = self.by_id.get(&id)?;
        let kind = KindId(KINDS.iter().position(|&r| r == member.settings.role)?);
        let zone = ZoneId(self.zones.number(&member.settings.zone));
        let cell = CellId(self.cells.number(&member.settings.cell));
        Some(Engine { id, state: member.settings.state, kind, zone, cell, started_at: member.started })
    }

    /// An engine has told when it started. Gives the event for the decision module if that is news that matters: it has
    /// restarted, or it is seen for the first time and may still be cold.
    pub(crate) fn note_start(
        &mut self, now: Duration, id: EngineId, started: Duration, cold_time: Duration,
    ) -> Option<Event> {
        let member = self.by_id.get_mut(&id)?;
        let known = member.started.unwrap_or_default();
        let first = !std::mem::replace(&mut member.told, true);
        let recent = now < started.saturating_add(cold_time);
        let differs = started > known + SAME_START || known > started + SAME_START;
        let news = if first {
            recent || member.started.is_some()
        } else {
            differs && started > known && (recent || member.started.is_some())
        };
        if !news {
            return None;
        }
        member.started = Some(started);
        let engines = vec![self.entry(id)?];
        Some(Event::Engines { listing: Listing::Changes, engines })
    }

    /// The role of an engine, if it is known.
    pub(crate) fn role(&self, id: EngineId) -> Option<Role> {
        self.by_id.get(&id).map(|m| m.settings.role)
    }

    /// The address of an engine, if it is known.
    pub(crate) fn addr(&self, id: EngineId) -> Option<SocketAddr> {
        self.by_id.get(&id).map(|m| m.settings.addr)
    }
}

#[cfg(test)]
mod tests;
