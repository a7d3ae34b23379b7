//! The requests in progress, and the assignment of request ids.

use crate::request::ActiveRequest;
use slipreel::{EngineId, RequestId};
use std::collections::BTreeMap;

/// The requests in progress.
pub(crate) struct ActiveRequests {
    by_id: BTreeMap<RequestId, ActiveRequest>,
    /// Requests that may be finished and can then be removed.
    maybe_finished: Vec<RequestId>,
    /// Prefix of the ids on the wire, different at each start of the process.
    seed: u64,
    last_number: u64,
}

impl ActiveRequests {
    pub(crate) fn new(seed: u64) -> Self {
        ActiveRequests { by_id: BTreeMap::new(), maybe_finished: Vec::new(), seed, last_number: 0 }
    }

    /// A new request number, and the id that stands for it on the wire.
    pub(crate) fn next_id(&mut self) -> (RequestId, String) {
        self.last_number += 1;
        let wire_id = format!("req_{:016x}{:08x}", self.seed, self.last_number);
        (RequestId(self.last_number), wire_id)
    }

    pub(crate) fn insert(&mut self, request: ActiveRequest) {
        self.by_id.insert(request.id, request);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(&id)
    }

    /// A request that has not had its final answer.
    pub(crate) fn get_open(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.get(id).filter(|request| !request.is_closed)
    }

    /// A request that has not had its final answer.
    pub(crate) fn get_open_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.get_mut(id).filter(|request| !request.is_closed)
    }

    /// The ids of the requests that have not had their final answer, in ascending order.
    pub(crate) fn open_ids(&self) -> Vec<RequestId> {
        self.by_id.values().filter(|request| !request.is_closed).map(|request| request.id).collect()
    }

    /// Whether the answer of this attempt has begun.
    pub(crate) fn is_streaming(&self, id: RequestId, attempt: usize) -> bool {
        self.get(id).is_some_and(|request| request.streaming_attempt == Some(attempt))
    }

    /// Whether a request of this generation of settings is in progress.
    pub(crate) fn has_generation(&self, generation: u64) -> bool {
        self.by_id.values().any(|request| request.generation == generation)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Marks a request as possibly finished; `remove_finished` checks it.
    pub(crate) fn mark_maybe_finished(&mut self, id: RequestId) {
        self.maybe_finished.push(id);
    }

    /// Removes finished requests. Returns the engines that still count as holders of their state, once for
    /// each state.
    pub(crate) fn remove_finished(&mut self) -> Vec<EngineId> {
        let mut holders = Vec::new();
        for id in std::mem::take(&mut self.maybe_finished) {
            if self.get(id).is_some_and(ActiveRequest::is_finished) {
                holders.extend(self.by_id.remove(&id).into_iter().flat_map(ActiveRequest::into_holders));
            }
        }
        holders
    }
}
