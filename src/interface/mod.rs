//! The types at the boundary of the decision module: what a [`Router`](crate::Router) is told and what it asks for.
//!
//! Points in time are [`Duration`](std::time::Duration)s since the start of a clock of the host's choosing that never goes
//! back. Lengths are in tokens. Nothing here decides anything.

mod actions;
mod engines;
mod events;
mod ids;
mod log_events;
mod requests;
mod settings;

pub use actions::*;
pub use engines::*;
pub use events::*;
pub use ids::*;
pub use log_events::*;
pub use requests::*;
pub use settings::*;
