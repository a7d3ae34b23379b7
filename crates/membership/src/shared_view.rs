//! State that the membership thread shares with the rest of the process. Reading the view never blocks.

use crate::{MembershipView, SavedState};
use arc_swap::ArcSwap;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The maximum number of pending requests to declare a member gone.
const MAX_PENDING_FORGETS: usize = 64;

/// The latest view and saved state of a [`crate::Membership`], and operators' requests that it has not
/// handled yet.
#[derive(Debug, Default)]
pub struct SharedView {
    view: ArcSwap<MembershipView>,
    saved_state: ArcSwap<SavedState>,
    leave_requested: AtomicBool,
    forget_requests: Mutex<VecDeque<String>>,
}

impl SharedView {
    /// The latest view.
    pub fn view(&self) -> Arc<MembershipView> {
        self.view.load_full()
    }

    /// The latest state to be stored for the next start.
    pub fn saved_state(&self) -> Arc<SavedState> {
        self.saved_state.load_full()
    }

    /// Requests, on behalf of an operator, that this member leaves the fleet.
    pub fn request_leave(&self) {
        self.leave_requested.store(true, Ordering::Release);
    }

    /// Requests, on behalf of an operator, that a member is declared gone for good. Returns false if too many
    /// such requests are pending.
    pub fn request_forget(&self, name: &str) -> bool {
        let Ok(mut requests) = self.forget_requests.lock() else { return false };
        let has_capacity = requests.len() < MAX_PENDING_FORGETS;
        if has_capacity {
            requests.push_back(name.to_owned());
        }
        has_capacity
    }

    pub(crate) fn publish_view(&self, view: MembershipView) {
        self.view.store(Arc::new(view));
    }

    pub(crate) fn publish_saved_state(&self, saved_state: SavedState) {
        self.saved_state.store(Arc::new(saved_state));
    }

    pub(crate) fn leave_requested(&self) -> bool {
        self.leave_requested.load(Ordering::Acquire)
    }

    pub(crate) fn take_forget_requests(&self) -> VecDeque<String> {
        self.forget_requests.lock().map(|mut requests| std::mem::take(&mut *requests)).unwrap_or_default()
    }
}
