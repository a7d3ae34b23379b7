//! Fleet membership by gossip: each router keeps its own view of which other routers are running.
//!
//! Every member counts its own rounds (its heartbeat). Five times a second it sends a few other members the
//! latest round that it knows of each member, with the time since it first received that round
//! ([`slipreel_protocol::membership`]). A member whose round does not advance becomes suspect and then gone.
//! There is no coordinator: each process works out the states by itself, from ages, so the clocks of the
//! members need not agree. `docs/design-fleet.md` compares this with other designs, SWIM among them.
//!
//! What each [`MemberState`] means:
//!
//! - `alive`: a new round of this incarnation was received, directly or through others, less than
//!   [`timing::suspect_after`] ago;
//! - `suspect`: no new round was received for that long. This proves nothing about the member, and no
//!   decision depends on it;
//! - `gone`: no new round was received for [`timing::gone_after`], or the member has left. A member that has
//!   left takes no new work. Silence does not prove that the process has ended: a crash, a partition that no
//!   third member bridges, and a process that is not scheduled look the same.
//!
//! [`Membership`] is the state machine and [`MemberTable`] its table of the other members. [`router_count`]
//! decides how many routers quotas are divided by, and [`name_conflict`] which of two processes of one name
//! yields. The rest of the process reads [`MembershipView`] and [`SharedView`]. [`SavedState`] is stored and
//! read again at the next start.

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
