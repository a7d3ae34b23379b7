//! The requests in progress: by id and by client id, the memory that they hold, and which client ids were
//! forwarded recently.

use crate::recent_ids::RecentIds;
use crate::request::ActiveRequest;
use slipreel::RequestId;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The requests in progress.
#[derive(Debug, Default)]
pub(crate) struct ActiveRequests {
    by_id: BTreeMap<RequestId, ActiveRequest>,
    /// Requests without a final answer, by the id that their clients gave them.
    by_client_id: HashMap<String, RequestId>,
    recently_forwarded: RecentIds,
    /// Requests that were closed or had an attempt end: [`ActiveRequests::remove_done`] checks these.
    maybe_done: Vec<RequestId>,
    /// Memory of the messages that are held for further attempts, in bytes.
    held_bytes: usize,
    last_id: u64,
}

impl ActiveRequests {
    /// Returns a new id.
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: ActiveRequest) {
        self.held_bytes += request.held_bytes();
        self.by_client_id.insert(request.client_id().to_owned(), id);
        self.by_id.insert(id, request);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(&id)
    }

    /// The open request with this id of its client.
    pub(crate) fn get_by_client_id_mut(&mut self, client_id: &str) -> Option<&mut ActiveRequest> {
        let id = self.by_client_id.get(client_id)?;
        self.by_id.get_mut(id)
    }

    /// A request that is still open: it has no final answer, and its client is connected.
    pub(crate) fn get_open(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.get(id).filter(|request| !request.is_closed())
    }

    /// The open requests, in the order of their ids.
    pub(crate) fn open(&self) -> impl Iterator<Item = (RequestId, &ActiveRequest)> {
        self.by_id.iter().filter(|(_, request)| !request.is_closed()).map(|(&id, request)| (id, request))
    }

    /// The longest time for which state has been held for a request in progress; zero if none is held.
    pub(crate) fn longest_held_state(&self, now: Duration) -> Duration {
        let held_since = self.by_id.values().filter_map(ActiveRequest::held_since).min();
        held_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether this attempt's stream is being forwarded to the client.
    pub(crate) fn is_streaming(&self, id: RequestId, attempt: usize) -> bool {
        self.get(id).is_some_and(|request| request.streaming_attempt() == Some(attempt))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Number of client ids of open requests.
    pub(crate) fn client_id_count(&self) -> usize {
        self.by_client_id.len()
    }

    /// Whether a request of this client id is open.
    pub(crate) fn is_id_in_use(&self, client_id: &str) -> bool {
        self.by_client_id.contains_key(client_id)
    }

    /// Records that a request is forwarded to an engine.
    pub(crate) fn record_forwarded(&mut self, now: Duration, id: RequestId) {
        if let Some(request) = self.by_id.get(&id) {
            self.recently_forwarded.add(now, request.client_id());
        }
    }

    /// Whether a request of this client id was forwarded to an engine recently.
    pub(crate) fn was_forwarded(&mut self, now: Duration, client_id: &str) -> bool {
        self.recently_forwarded.contains(now, client_id)
    }

    /// Memory of the messages that are held for further attempts, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Records that an attempt's stream begins. The client receives part of the answer, so the request is
    /// never sent again and its message is dropped.
    pub(crate) fn begin_stream(&mut self, id: RequestId, attempt: usize) -> Option<&ActiveRequest> {
        let request = self.by_id.get_mut(&id)?;
        self.held_bytes = self.held_bytes.saturating_sub(request.held_bytes());
        request.begin_stream(attempt);
        Some(request)
    }

    /// Closes a request: it has its final answer, or its client has left.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(request) = self.by_id.get_mut(&id) else { return };
        let held_bytes = request.held_bytes();
        if !request.close() {
            return;
        }
        self.held_bytes = self.held_bytes.saturating_sub(held_bytes);
        self.by_client_id.remove(request.client_id());
        self.maybe_done.push(id);
    }

    /// Has [`ActiveRequests::remove_done`] check a request, one attempt of which has ended.
    pub(crate) fn mark_maybe_done(&mut self, id: RequestId) {
        self.maybe_done.push(id);
    }

    /// Removes the requests that are done.
    pub(crate) fn remove_done(&mut self) {
        for id in std::mem::take(&mut self.maybe_done) {
            if self.get(id).is_some_and(ActiveRequest::is_done) {
                self.by_id.remove(&id);
            }
        }
    }
}
