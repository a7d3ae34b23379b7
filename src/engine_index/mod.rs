//! An index of the engines, so that no decision has to scan the whole list. It holds the engines by
//! capability, by cell and by zone, sums of their saturation that are updated engine by engine, and the times
//! at which the information about each engine expires.
//!
//! The index makes no decisions: each query returns what a scan over all engines in the order of their ids
//! would return, and the tests compare it with that scan.

mod candidates;
mod due_times;
mod marks;
mod mean;
mod positions;
mod sums;

pub(crate) use candidates::CandidateIndex;
pub(crate) use mean::RunningMean;
pub(crate) use positions::{split_by_membership, two_at_random, RemainingPositions};

use crate::interface::{CellId, EngineId, ZoneId};
use due_times::DueTimes;
use marks::MarkedPositions;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use sums::{ExactSum, SumOfMaxima};

/// Positions cached for each key. With this many, enough of them are nearly always usable.
const CACHED_POSITIONS: usize = 12;

/// How far the list of changed engines may exceed twice the number of engines before duplicates are removed.
const CHANGED_MARGIN: usize = 64;

/// Maximum number of keys in the cache, half a megabyte; the cache is cleared when it is reached.
const MAX_CACHED_KEYS: usize = 4_096;

/// How the saturation of an engine enters the sums of its role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum SaturationTerm {
    /// It is left out.
    #[default]
    Unknown,
    /// As this value, which is constant until something about the engine changes.
    Fixed(f64),
    /// As the larger of `minimum` and `count` times the weight of a request, which changes over time.
    CountWeighted {
        /// The kind of count: 0 for queued requests, 1 for those in progress. Each kind has its own weight.
        kind: usize,
        /// Number of requests that the engine reports.
        count: f64,
        /// Saturation of its memory.
        minimum: f64,
    },
    /// As a value that changes without an update of the engine and is computed for each query.
    Varying,
}

/// What an engine must be able to do to be a candidate for an attempt.
#[derive(Clone, Copy)]
pub(crate) enum Capability {
    /// It can prefill.
    Prefill,
    /// It can prefill and decode in one attempt.
    PrefillAndDecode,
    /// It can decode.
    Decode,
}

/// One entry of the endpoint list, as the index needs it.
pub(crate) struct ListedEngine {
    pub(crate) id: EngineId,
    /// [`Role`](crate::Role) as a number.
    pub(crate) role: usize,
    pub(crate) ready: bool,
    /// Weight in rendezvous hashing; no unit.
    pub(crate) weight: f64,
    pub(crate) cell: CellId,
    pub(crate) zone: ZoneId,
    /// Whether it has each [`Capability`]; ignored unless it is ready.
    pub(crate) capabilities: [bool; 3],
}

/// What the router knows of one engine at present, as the index needs it.
pub(crate) struct EngineStatus {
    pub(crate) role: usize,
    pub(crate) term: SaturationTerm,
    /// What is known of its load is out of date, so that a probe is useful.
    pub(crate) stale: bool,
    /// It is ejected, warming up or passed over for some class.
    pub(crate) maybe_restricted: bool,
    /// When any of these fields changes merely because time passes.
    pub(crate) refresh_at: Option<Duration>,
}

/// The index of the engines. Each change of an engine or of the list has to be reported to it. Before a
/// query, every engine that [`next_outdated`](Self::next_outdated) returns has to be updated.
#[derive(Default)]
pub(crate) struct EngineIndex {
    candidates: [Arc<CandidateIndex>; 3],
    /// By capability and key: the highest-ranked positions, so that a key seen before needs no scan.
    ranked_cache: [HashMap<u64, Vec<u32>>; 3],
    engine_ids: Vec<EngineId>,
    /// The role and term that each engine has in the sums.
    terms: Vec<(usize, SaturationTerm)>,
    ready: [usize; 3],
    sums: [ExactSum; 3],
    count_weighted: [[SumOfMaxima; 2]; 3],
    varying: [BTreeSet<EngineId>; 3],
    /// Engines that may be ejected, warming up or passed over: a superset of those that are.
    pub(crate) maybe_restricted: BTreeSet<EngineId>,
    stale: MarkedPositions,
    due_times: DueTimes,
    /// Engines that changed since they were last updated.
    changed: Vec<EngineId>,
    list_changed: bool,
}

impl EngineIndex {
    /// Reports that an engine has changed.
    pub(crate) fn mark_changed(&mut self, id: EngineId) {
        self.changed.push(id);
        // An idle router may probe engines for days without a query: removing duplicates bounds the list.
        if self.changed.len() > 2 * self.engine_ids.len() + CHANGED_MARGIN {
            self.changed.sort_unstable();
            self.changed.dedup();
        }
    }

    /// Reports whether the endpoint list has changed.
    pub(crate) fn note_list_change(&mut self, list_changed: bool) {
        self.list_changed |= list_changed;
    }

    /// Whether the endpoint list has changed since the last call, so that the index has to be rebuilt.
    pub(crate) fn take_list_change(&mut self) -> bool {
        std::mem::take(&mut self.list_changed)
    }

    /// Rebuilds the index from all engines in the order of their ids. Each has to be updated afterwards.
    pub(crate) fn rebuild(&mut self, all: impl Iterator<Item = ListedEngine>) {
        let mut candidates: [CandidateIndex; 3] = Default::default();
        (self.engine_ids, self.ready) = Default::default();
        (self.sums, self.varying, self.due_times) = Default::default();
        self.count_weighted = Default::default();
        for engine in all {
            self.engine_ids.push(engine.id);
            self.ready[engine.role] += usize::from(engine.ready);
            for (index, capable) in candidates.iter_mut().zip(engine.capabilities) {
                if engine.ready && capable {
                    index.push(engine.id, engine.weight, engine.cell, engine.zone);
                }
            }
        }
        self.candidates = candidates.map(Arc::new);
        self.ranked_cache = Default::default();
        self.terms = vec![Default::default(); self.engine_ids.len()];
        self.stale = MarkedPositions::new(self.engine_ids.len());
        self.changed.clone_from(&self.engine_ids);
    }

    /// Removes and returns an engine that has to be updated by now.
    pub(crate) fn next_outdated(&mut self, now: Duration) -> Option<EngineId> {
        self.due_times.pop(now).or_else(|| self.changed.pop())
    }

    /// Replaces what the index holds of one engine.
    pub(crate) fn update(&mut self, id: EngineId, status: EngineStatus) {
        let Ok(position) = self.engine_ids.binary_search(&id) else { return };
        let EngineStatus { role, term, stale, maybe_restricted, refresh_at } = status;
        let (role_before, term_before) = std::mem::replace(&mut self.terms[position], (role, term));
        self.remove_term(id, role_before, term_before);
        self.add_term(id, role, term);
        if maybe_restricted {
            self.maybe_restricted.insert(id);
        }
        self.stale.put(position, stale);
        self.due_times.set(id, refresh_at);
    }

    fn remove_term(&mut self, id: EngineId, role: usize, term: SaturationTerm) {
        match term {
            SaturationTerm::Fixed(load) => self.sums[role].subtract(load),
            SaturationTerm::CountWeighted { kind, count, minimum } => {
                self.count_weighted[role][kind].subtract(id, count, minimum);
            }
            SaturationTerm::Varying => {
                self.varying[role].remove(&id);
            }
            SaturationTerm::Unknown => {}
        }
    }

    fn add_term(&mut self, id: EngineId, role: usize, term: SaturationTerm) {
        match term {
            SaturationTerm::Fixed(load) => self.sums[role].add(load),
            SaturationTerm::CountWeighted { kind, count, minimum } => {
                self.count_weighted[role][kind].add(id, count, minimum);
            }
            SaturationTerm::Varying => {
                self.varying[role].insert(id);
            }
            SaturationTerm::Unknown => {}
        }
    }

    /// The ready engines with a capability.
    pub(crate) fn candidates(&self, capability: Capability) -> Arc<CandidateIndex> {
        self.candidates[capability as usize].clone()
    }

    /// The first `n` engines with a capability for this key (see [`CandidateIndex::top_ranked`]), without
    /// those at the ascending positions `excluded`.
    pub(crate) fn top_ranked(
        &mut self, capability: Capability, key: u64, n: usize, excluded: &[u32],
        hash: impl Fn(EngineId) -> u64,
    ) -> Vec<EngineId> {
        let candidates = &self.candidates[capability as usize];
        let cache = &mut self.ranked_cache[capability as usize];
        let ids = |positions: Vec<u32>| {
            positions.into_iter().map(|position| candidates.id(position as usize)).collect()
        };
        if candidates.len() <= CACHED_POSITIONS {
            return ids(candidates.top_ranked(n, excluded, hash));
        }
        if cache.len() >= MAX_CACHED_KEYS {
            cache.clear();
        }
        let cached = cache.entry(key).or_insert_with(|| candidates.top_ranked(CACHED_POSITIONS, &[], &hash));
        let usable = cached.iter().copied().filter(|position| excluded.binary_search(position).is_err());
        let usable: Vec<u32> = usable.take(n).collect();
        if usable.len() == n {
            return ids(usable);
        }
        ids(candidates.top_ranked(n, excluded, hash))
    }

    /// Whether there is a ready decode engine in a cell.
    pub(crate) fn has_decode_engine(&self, cell: CellId) -> bool {
        self.candidates[Capability::Decode as usize].has_cell(cell)
    }

    /// How many engines of a role are ready.
    pub(crate) fn ready_count(&self, role: usize) -> usize {
        self.ready[role]
    }

    /// The saturation of the engines of a role, in three parts: the sum over all engines whose term the index
    /// can sum up, at these weights of the two kinds of counts; the number of these engines; and the engines
    /// whose term is [`SaturationTerm::Varying`], to be computed one by one. Engines of unknown saturation
    /// are in none of the parts.
    pub(crate) fn saturation_sums(
        &self, role: usize, weights: [f64; 2],
    ) -> (f64, usize, &BTreeSet<EngineId>) {
        let (mut sum, mut count) = (self.sums[role].value(), self.sums[role].count);
        for (sum_of_maxima, weight) in self.count_weighted[role].iter().zip(weights) {
            (sum, count) = (sum + sum_of_maxima.sum(weight), count + sum_of_maxima.len());
        }
        (sum, count, &self.varying[role])
    }

    /// How many engines are stale.
    pub(crate) fn stale_count(&self) -> usize {
        self.stale.len()
    }

    /// The stale engine number `k`, from 0, which has to exist.
    pub(crate) fn nth_stale(&self, k: usize) -> EngineId {
        self.engine_ids[self.stale.nth(k)]
    }
}

#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;
