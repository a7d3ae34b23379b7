//! A change of policy that takes hold everywhere or nowhere.
//!
//! Up to nine routers vote on one sequence of policies (epochs); every router, voter or not, holds a lease on the epoch that it acts by, and
//! takes no request without one. `docs/design-policy.md` weighs this against others and says what each part promises.
//!
//! [`Accord`] is the machine. Its decisions: [`book`] what the voters agree on, [`seats`] who votes, [`steward`] when a leader grants leases and
//! puts a change in force, [`holder`] by which epoch a router may take requests. Its state: `voter` (one council, on the library
//! `omnipaxos`), [`shelf`] and [`log`] (what a voter must not forget). [`Board`] is where it meets the rest of the process; [`Member`] puts it
//! and the view of the fleet behind one address.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod accord;
mod board;
pub mod book;
mod founding;
pub mod holder;
mod lane;
pub mod log;
mod member;
pub mod pace;
pub mod seats;
pub mod shelf;
pub mod steward;
mod voter;
pub mod wire;

pub use accord::{Accord, Disk, Others, Settings, Start};
pub use board::{Board, Cut, Permit, Shown, Stands};
pub use holder::{Made, Try};
pub use member::{ByView, Member};
pub use voter::{Confirm, Term};
