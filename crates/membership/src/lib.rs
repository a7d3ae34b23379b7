//! A view of the fleet that the routers keep among themselves: who is there, as far as one process can know.
//!
//! Every member counts its own rounds and tells a few others, five times a second, how far each life that it knows had come and how long
//! ago it first heard of that ([`slipreel_protocol::membership`]). Who has not moved on for a while is suspect, then gone. Nobody decides for
//! others: each works out the states by itself, from ages that need no clock in common. `docs/design-fleet.md` weighs this against others.
//!
//! What a state claims:
//!
//! - `alive`: a round of this life was heard of, here or through others, less than [`pace::SUSPECT`] ago;
//! - `suspect`: not for that long. It proves nothing, and nothing follows from it;
//! - `gone`: not for [`pace::gone_after`], or it said goodbye. A goodbye proves that it takes no new work. Silence does not prove that the
//!   process has ended: a crash, a cut that no third member bridges, and a process that does not run look the same from here.
//!
//! [`Fleet`] is the machine; [`Table`] holds what is known of whom; [`count`] decides how many routers to reckon with; [`rival`] settles two
//! processes of one name; [`View`] and [`Board`] are what the rest of the process sees; [`Kept`] outlives the process.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod count;
mod fleet;
mod kept;
pub mod pace;
pub mod rival;
mod sync;
mod table;
mod view;

pub use fleet::{Fleet, Peers, Settings, Tally};
pub use kept::{Kept, KeptFault};
pub use table::{Change, Entry, Learnt, State, Table};
pub use view::{Board, MemberView, Standing, View};
