//! The types at the boundary of the decision module: the events that a [`Router`](crate::Router) takes and
//! the actions that it returns.
//!
//! Points in time are [`Duration`](std::time::Duration)s since the start of a monotonic clock that the host
//! chooses. Lengths are in tokens. These types make no decisions.

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
