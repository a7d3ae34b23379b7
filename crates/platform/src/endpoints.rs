//! The engines that discovery lists. Engines are identified by name; their addresses may change.

use crate::endpoint_list::{EndpointEntry, EndpointList};
use crate::log_event::LogEvent;
use slipreel::{CellId, Engine, EngineId, EngineState, Event, KindId, Listing, Role, ZoneId};
use slipreel_platform_settings::Profile;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) addr: SocketAddr,
    pub(crate) name: String,
    pub(crate) role: Role,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// When bytes from it were last received; zero if never.
    pub(crate) last_contact: Duration,
    state: EngineState,
    since_ms: u64,
}

/// The id of an engine: a hash of its name alone, so that it is the same at every router.
pub fn engine_id(name: &str) -> EngineId {
    EngineId(xxh3_64(name.as_bytes()))
}

/// The listed engines, with the numbers of the kinds and zones that the settings name.
#[derive(Debug)]
pub(crate) struct Endpoints {
    by_id: BTreeMap<EngineId, Endpoint>,
    kinds: Vec<(String, Role)>,
    zones: Vec<String>,
    /// The wall time, since the epoch, at which this router's clock is zero.
    clock_zero: Duration,
    has_list: bool,
}

/// The result of applying a list.
pub(crate) struct EndpointChanges {
    /// The event for the decision module.
    pub(crate) event: Event,
    /// Engines that accept no new attempts: draining, gone, or absent from a complete list.
    pub(crate) unavailable: Vec<EngineId>,
    /// Engines whose address or role has changed.
    pub(crate) changed: Vec<EngineId>,
    /// Log events on entries that were skipped.
    pub(crate) skipped: Vec<LogEvent>,
}

impl Endpoints {
    /// `wall` is the wall time, since the epoch, at the router's time `now`.
    pub(crate) fn new(profile: &Profile, now: Duration, wall: Duration) -> Self {
        let roles = profile.settings.kind_roles.iter().copied();
        Endpoints {
            by_id: BTreeMap::new(),
            kinds: profile.kinds.iter().cloned().zip(roles).collect(),
            zones: profile.zones.clone(),
            clock_zero: wall.saturating_sub(now),
            has_list: false,
        }
    }

    /// Whether a list has been applied, a cached one included.
    pub(crate) fn has_list(&self) -> bool {
        self.has_list
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The engines, most recent contact first.
    pub(crate) fn by_last_contact(&self) -> Vec<EngineId> {
        let contacts = self.by_id.iter().map(|(&id, endpoint)| (endpoint.last_contact, id));
        let mut contacts: Vec<(Duration, EngineId)> = contacts.collect();
        contacts.sort_by_key(|&(last_contact, id)| (std::cmp::Reverse(last_contact), id));
        contacts.into_iter().map(|(_, id)| id).collect()
    }

    /// The name of an engine in the list; its id if it is not listed.
    pub(crate) fn name(&self, id: EngineId) -> String {
        self.get(id).map_or_else(|| format!("{:x}", id.0), |endpoint| endpoint.name.clone())
    }

    /// When bytes from an engine were last received; zero if never, or if it is not listed.
    pub(crate) fn last_contact(&self, id: EngineId) -> Duration {
        self.get(id).map_or(Duration::ZERO, |endpoint| endpoint.last_contact)
    }

    /// Records that bytes from an engine were received.
    pub(crate) fn record_contact(&mut self, id: EngineId, now: Duration) {
        if let Some(endpoint) = self.by_id.get_mut(&id) {
            endpoint.last_contact = now;
        }
    }

    /// Whether to apply an entry from a list that is older than the current one. It does not bring back an
    /// engine that has left since or is draining, unless it reports a restart that the current list does not
    /// contain.
    fn applies_from_older_list(&self, entry: &EndpointEntry) -> bool {
        let current = self.by_id.get(&engine_id(&entry.name));
        current
            .is_some_and(|current| current.state == EngineState::Ready || entry.since_ms > current.since_ms)
    }

    /// Applies a list. `is_cached` says that it is the one that the router was started with.
    ///
    /// A list that is older than the current one is not treated as complete: engines that are absent from it
    /// may have joined since.
    pub(crate) fn apply(&mut self, mut list: EndpointList, is_cached: bool) -> EndpointChanges {
        self.has_list = true;
        if list.is_older {
            list.is_complete = false;
            list.entries.retain(|entry| self.applies_from_older_list(entry));
        }
        let listing = match (list.is_complete, is_cached) {
            (_, true) => Listing::Cached,
            (true, false) => Listing::Complete,
            (false, false) => Listing::Changes,
        };
        let mut unavailable = Vec::new();
        if listing != Listing::Changes {
            unavailable = self.remove_absent(&list.entries);
        }
        let (mut engines, mut changed, mut skipped) = (Vec::new(), Vec::new(), Vec::new());
        for entry in list.entries {
            let id = engine_id(&entry.name);
            if entry.state != EngineState::Ready {
                unavailable.push(id);
            }
            if entry.state == EngineState::Gone {
                self.by_id.remove(&id);
                engines.push(Engine { id, state: entry.state, ..Engine::default() });
                continue;
            }
            match self.update(id, &entry, &mut changed) {
                Some(engine) => engines.push(engine),
                None => skipped.push(LogEvent::UnknownEngineKind { engine: entry.name, kind: entry.kind }),
            }
        }
        EndpointChanges { event: Event::Engines { listing, engines }, unavailable, changed, skipped }
    }

    /// Removes the engines that a complete list does not name, and returns them.
    fn remove_absent(&mut self, entries: &[EndpointEntry]) -> Vec<EngineId> {
        let named: Vec<EngineId> = entries.iter().map(|entry| engine_id(&entry.name)).collect();
        let absent: Vec<EngineId> = self.by_id.keys().copied().filter(|id| !named.contains(id)).collect();
        for id in &absent {
            self.by_id.remove(id);
        }
        absent
    }

    /// Adds or updates an engine. `None` if the settings do not name its kind.
    fn update(&mut self, id: EngineId, entry: &EndpointEntry, changed: &mut Vec<EngineId>) -> Option<Engine> {
        let addr = entry.addr?;
        let kind = self.kinds.iter().position(|(name, _)| *name == entry.kind)?;
        let role = self.kinds[kind].1;
        let zone = self.zone_id(&entry.zone);
        let cell = CellId(entry.cell);
        let previous = self.by_id.get(&id);
        if previous.is_some_and(|previous| (previous.addr, previous.role) != (addr, role)) {
            changed.push(id);
        }
        let endpoint = Endpoint {
            addr,
            // Two names may have the same hash: the first name is kept, all other fields come from the last
            // entry.
            name: previous.map_or_else(|| entry.name.clone(), |previous| previous.name.clone()),
            role,
            zone,
            cell,
            last_contact: previous.map_or(Duration::ZERO, |previous| previous.last_contact),
            state: entry.state,
            since_ms: entry.since_ms,
        };
        self.by_id.insert(id, endpoint);
        let started_at = self.started_at(entry.since_ms);
        Some(Engine { id, state: entry.state, kind: KindId(kind), zone, cell, started_at })
    }

    /// The number of a zone. A zone that the settings do not name gets a new number.
    fn zone_id(&mut self, name: &str) -> ZoneId {
        let index = self.zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            self.zones.push(name.to_owned());
            self.zones.len() - 1
        });
        ZoneId(index as u32)
    }

    /// Converts a wall time in milliseconds to this router's clock; `None` if it is before the clock's zero,
    /// or 0 (unknown).
    fn started_at(&self, since_ms: u64) -> Option<Duration> {
        let started_at = Duration::from_millis(since_ms).saturating_sub(self.clock_zero);
        (since_ms > 0 && !started_at.is_zero()).then_some(started_at)
    }
}
