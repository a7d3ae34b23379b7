//! The engines known to this router: the list that it receives, and the start times that engines report.
//!
//! The list contains engines and their states, but no start times. These come from the engines' metrics. The
//! decision module is notified of a restart as a changed entry, which makes it treat the engine as cold.

use crate::settings::{EngineSettings, KINDS};
use slipreel::{CellId, Engine, EngineId, EngineState, Event, KindId, Listing, Role, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Start times that differ by at most this are the same start: engines report them in whole seconds.
const START_TIME_TOLERANCE: Duration = Duration::from_millis(1_500);

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineEntry {
    pub(crate) settings: EngineSettings,
    /// When it last started, on the gateway's clock; `None` if that is unknown or long ago.
    started_at: Option<Duration>,
    /// Whether it has reported its start time since it was listed with its role.
    has_reported_start: bool,
}

/// The list of engines.
#[derive(Debug, Default)]
pub(crate) struct EngineList {
    by_id: BTreeMap<EngineId, EngineEntry>,
    zones: NameTable,
    cells: NameTable,
}

/// Numbers for names of zones or cells. A name keeps its number as long as the process runs.
#[derive(Debug, Default)]
struct NameTable(Vec<String>);

impl NameTable {
    /// The number of a name, assigned on its first use.
    fn number_of(&mut self, name: &str) -> u32 {
        let index = self.0.iter().position(|known| known == name).unwrap_or_else(|| {
            self.0.push(name.to_owned());
            self.0.len() - 1
        });
        index as u32
    }
}

/// The id of an engine. It depends on the address alone, so it is the same at every router and across
/// restarts.
pub fn engine_id(addr: SocketAddr) -> EngineId {
    match addr {
        SocketAddr::V4(v4) => EngineId(u64::from(v4.ip().to_bits()) << 16 | u64::from(v4.port())),
        SocketAddr::V6(v6) => EngineId(xxh3_64(&[&v6.ip().octets()[..], &v6.port().to_be_bytes()].concat())),
    }
}

impl EngineList {
    /// The number of a zone by name.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.zones.number_of(name))
    }

    /// The entry of an engine, if it is in the list.
    pub(crate) fn get(&self, id: EngineId) -> Option<&EngineEntry> {
        self.by_id.get(&id)
    }

    /// All engines, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &EngineEntry)> {
        self.by_id.iter().map(|(&id, entry)| (id, entry))
    }

    /// Replaces the list. An engine that is listed as gone stays known until a list omits it, since attempts
    /// may still run there. Returns the event for the decision module, and the engines that are no longer
    /// ready for new work.
    pub(crate) fn replace(&mut self, now: Duration, list: &[EngineSettings]) -> (Event, Vec<EngineId>) {
        let previous = std::mem::take(&mut self.by_id);
        for settings in list {
            let id = engine_id(settings.addr);
            // An engine whose role has changed counts as started now, whatever it reports: the decision
            // module accepts another role only with a start time that it has not seen.
            let (started_at, has_reported_start) = match previous.get(&id) {
                Some(entry) if entry.settings.role != settings.role => (Some(now), false),
                Some(entry) => (entry.started_at, entry.has_reported_start),
                // An added engine may have started just now, until it reports its start time. That does not
                // hold for the first list of a router, to which all engines are new.
                None => ((!previous.is_empty()).then_some(now), false),
            };
            self.by_id.insert(id, EngineEntry { settings: settings.clone(), started_at, has_reported_start });
        }
        let is_ready = |entry: Option<&EngineEntry>| {
            entry.is_some_and(|entry| entry.settings.state == EngineState::Ready)
        };
        let no_longer_ready = previous
            .iter()
            .filter(|(id, entry)| is_ready(Some(entry)) && !is_ready(self.by_id.get(id)))
            .map(|(&id, _)| id)
            .collect();
        let ids: Vec<EngineId> = self.by_id.keys().copied().collect();
        let engines = ids.into_iter().filter_map(|id| self.decision_entry(id)).collect();
        (Event::Engines { listing: Listing::Complete, engines }, no_longer_ready)
    }

    /// An engine as the decision module takes it.
    fn decision_entry(&mut self, id: EngineId) -> Option<Engine> {
        let entry = self.by_id.get(&id)?;
        let kind = KindId(KINDS.iter().position(|&r| r == entry.settings.role)?);
        let zone = ZoneId(self.zones.number_of(&entry.settings.zone));
        let cell = CellId(self.cells.number_of(&entry.settings.cell));
        Some(Engine { id, state: entry.settings.state, kind, zone, cell, started_at: entry.started_at })
    }

    /// Records the start time that an engine reports. Returns an event for the decision module if the engine
    /// has restarted, or if this is its first report and the engine may still be cold or counted as started
    /// when it was added.
    pub(crate) fn record_engine_start(
        &mut self, now: Duration, id: EngineId, started_at: Duration, warmup_time: Duration,
    ) -> Option<Event> {
        let entry = self.by_id.get_mut(&id)?;
        let known_start = entry.started_at.unwrap_or_default();
        let is_first_report = !std::mem::replace(&mut entry.has_reported_start, true);
        let is_recent = now < started_at.saturating_add(warmup_time);
        let differs = started_at > known_start + START_TIME_TOLERANCE
            || known_start > started_at + START_TIME_TOLERANCE;
        let is_relevant = if is_first_report {
            is_recent || entry.started_at.is_some()
        } else {
            differs && started_at > known_start && (is_recent || entry.started_at.is_some())
        };
        if !is_relevant {
            return None;
        }
        entry.started_at = Some(started_at);
        let engines = vec![self.decision_entry(id)?];
        Some(Event::Engines { listing: Listing::Changes, engines })
    }

    /// The role of an engine, if it is known.
    pub(crate) fn role(&self, id: EngineId) -> Option<Role> {
        self.by_id.get(&id).map(|entry| entry.settings.role)
    }

    /// The address of an engine, if it is known.
    pub(crate) fn addr(&self, id: EngineId) -> Option<SocketAddr> {
        self.by_id.get(&id).map(|entry| entry.settings.addr)
    }
}

#[cfg(test)]
mod tests;
