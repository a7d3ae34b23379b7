//! The engines as discovery told of them. Names are the engines; addresses may change.

use crate::endpoint_list::{EndpointEntry, EndpointList};
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
    /// When it last was heard of on a connection; zero: never.
    pub(crate) heard: Duration,
    state: EngineState,
    since_ms: u64,
}

/// An engine's id: of its name alone, so that it is the same at every router.
pub fn engine_id(name: &str) -> EngineId {
    EngineId(xxh3_64(name.as_bytes()))
}

/// The engines, and how names of the settings are numbered.
#[derive(Debug)]
pub(crate) struct Endpoints {
    by_id: BTreeMap<EngineId, Endpoint>,
    kinds: Vec<(String, Role)>,
    zones: Vec<String>,
    /// The node's clock at the epoch of wall time is this much before its own zero.
    epoch_ahead: Duration,
}

/// What a list changed.
pub(crate) struct EndpointChanges {
    /// For the module.
    pub(crate) event: Event,
    /// Engines that want nothing new any more.
    pub(crate) closed: Vec<EngineId>,
    /// Engines that have another address or role than before.
    pub(crate) moved: Vec<EngineId>,
    /// For the staff: entries that were passed over.
    pub(crate) odd: Vec<String>,
}

impl Endpoints {
    /// `wall`: the wall clock since the epoch, at the node's time `now`.
    pub(crate) fn new(profile: &Profile, now: Duration, wall: Duration) -> Self {
        let roles = profile.settings.kind_roles.iter().copied();
        Endpoints {
            by_id: BTreeMap::new(),
            kinds: profile.kinds.iter().cloned().zip(roles).collect(),
            zones: profile.zones.clone(),
            epoch_ahead: wall.saturating_sub(now),
        }
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The engines, the one heard of last first.
    pub(crate) fn by_last_contact(&self) -> Vec<EngineId> {
        let mut all: Vec<(Duration, EngineId)> = self.by_id.iter().map(|(&id, m)| (m.heard, id)).collect();
        all.sort_by_key(|&(heard, id)| (std::cmp::Reverse(heard), id));
        all.into_iter().map(|(_, id)| id).collect()
    }

    pub(crate) fn heard(&mut self, id: EngineId, now: Duration) {
        if let Some(endpoint) = self.by_id.get_mut(&id) {
            endpoint.heard = now;
        }
    }

    /// Of a list that is older than what is held: whether this entry may still count. One that has left since, or wants
    /// nothing new, does not come back by it; a restart that the held one did not know does.
    fn outlives(&self, entry: &EndpointEntry) -> bool {
        let held = self.by_id.get(&engine_id(&entry.name));
        held.is_some_and(|m| m.state == EngineState::Ready || entry.since_ms > m.since_ms)
    }

    /// Takes a list; `cached` if it is the one that the node was started with.
    ///
    /// One that is older than what is held is no whole list any more: who is absent there may have come since.
    pub(crate) fn take(&mut self, mut list: EndpointList, cached: bool) -> EndpointChanges {
        if list.older {
            list.whole = false;
            list.entries.retain(|entry| self.outlives(entry));
        }
        let listing = match (list.whole, cached) {
            (_, true) => Listing::Cached,
            (true, _) => Listing::Complete,
            (false, _) => Listing::Changes,
        };
        let (mut engines, mut closed, mut moved, mut odd) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        if listing != Listing::Changes {
            let named: Vec<EngineId> = list.entries.iter().map(|e| engine_id(&e.name)).collect();
            let left: Vec<EngineId> = self.by_id.keys().copied().filter(|id| !named.contains(id)).collect();
            for id in left {
                self.by_id.remove(&id);
                closed.push(id);
            }
        }
        for entry in list.entries {
            let id = engine_id(&entry.name);
            if entry.state != EngineState::Ready {
                closed.push(id);
            }
            if entry.state == EngineState::Gone {
                self.by_id.remove(&id);
                engines.push(Engine { id, state: entry.state, ..Engine::default() });
                continue;
            }
            match self.place(id, &entry, &mut moved) {
                Some(engine) => engines.push(engine),
                None => odd.push(format!(
                    "engine {}: type {:?} is none of the settings; passed over",
                    entry.name, entry.kind
                )),
            }
        }
        EndpointChanges { event: Event::Engines { listing, engines }, closed, moved, odd }
    }

    fn place(&mut self, id: EngineId, entry: &EndpointEntry, moved: &mut Vec<EngineId>) -> Option<Engine> {
        let addr = entry.addr?;
        let kind = self.kinds.iter().position(|(name, _)| *name == entry.kind)?;
        let role = self.kinds[kind].1;
        // A zone that the settings don't name is one of its own, not another's.
        let zone = self.zones.iter().position(|z| *z == entry.zone).unwrap_or_else(|| {
            self.zones.push(entry.zone.clone());
            self.zones.len() - 1
        });
        let endpoint = self.by_id.entry(id).or_insert_with(|| Endpoint {
            addr,
            name: entry.name.clone(),
            role,
            zone: ZoneId(zone as u32),
            cell: CellId(entry.cell),
            heard: Duration::ZERO,
            state: entry.state,
            since_ms: entry.since_ms,
        });
        (endpoint.state, endpoint.since_ms) = (entry.state, entry.since_ms);
        if (endpoint.addr, endpoint.role) != (addr, role) {
            moved.push(id);
        }
        endpoint.addr = addr;
        (endpoint.role, endpoint.zone, endpoint.cell) = (role, ZoneId(zone as u32), CellId(entry.cell));
        let started = (entry.since_ms > 0)
            .then(|| Duration::from_millis(entry.since_ms).saturating_sub(self.epoch_ahead))
            .filter(|at| !at.is_zero());
        Some(Engine {
            id,
            state: entry.state,
            kind: KindId(kind),
            zone: ZoneId(zone as u32),
            cell: CellId(entry.cell),
            started_at: started,
        })
    }
}
