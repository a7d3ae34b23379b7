//! Membership of the fleet by gossip: which routers are there, as far as one process can know.
//!
//! Every member counts its own rounds (its heartbeat) and five times a second sends a few others the latest round that it knows of each
//! member, with the time since it first heard of that round ([`slipreel_protocol::membership`]). A member whose round does not advance
//! becomes suspect and then gone. Nobody decides for others: each process works out the states by itself, from ages that need no common
//! clock. `docs/design-fleet.md` compares this with other designs, SWIM among them.
//!
//! What each [`MemberState`] means:
//!
//! - `alive`: a new round of this incarnation was heard of, directly or through others, less than [`timing::suspect_after`] ago;
//! - `suspect`: not for that long. This proves nothing, and nothing follows from it;
//! - `gone`: not for [`timing::gone_after`], or the member has left. Leaving proves that it takes no new work. Silence does not prove
//!   that the process has ended: a crash, a partition that no third member bridges, and a process that is not scheduled look the same.
//!
//! [`Membership`] is the state machine; [`MemberTable`] holds what is known of each other member; [`router_count`] decides how many routers
//! quotas are divided by; [`name_conflict`] decides between two processes of one name; [`MembershipView`] and [`SharedView`] are what the
//! rest of the process sees; [`SavedState`] outlives the process.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod counters;
mod departure;
mod log_limiter;
mod membership;
pub mod name_conflict;
pub mod router_count;
mod saved_state;
mod shared_view;
mod state_sync;
mod table;
pub mod timing;
mod view;

pub use config::{MembershipSettings, Peers};
pub use counters::Counters;
pub use membership::Membership;
pub use saved_state::{Contact, SavedState, SavedStateError};
pub use shared_view::SharedView;
pub use table::{Gossip, MemberChange, MemberEntry, MemberState, MemberTable, MergeOutcome};
pub use view::{MemberStatus, MemberView, MembershipView};
