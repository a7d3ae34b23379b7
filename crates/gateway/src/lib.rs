//! The front: all behaviour of a router between its clients and its engines, without I/O and without a clock.
//!
//! A [`Front`] is a [`Machine`](slipreel_state_machine::Machine). It holds `slipreel::Router`, tells it what happens and
//! carries out what it decides. Two fronts in one process share nothing. A request's way through the files:
//!
//! 1. `Client` of `slipreel-connections`: bytes become one whole request of HTTP;
//! 2. `serve`: its path is looked up, and `classify` reads off it what the module is told;
//! 3. `carry`: the module's actions become attempts (`call`) on connections (`Pool` of `slipreel-connections`, `link`);
//! 4. `engines`: what the engines say becomes events for the module and, by `translate`, the answer;
//! 5. `serve`: the one final answer is written.
//!
//! `verdict` says what an engine's refusal proves, `limits` is what the front itself bounds, `members` the list of
//! engines, `site` the settings.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod carry;
mod classify;
mod engines;
mod front;
mod gauges;
mod limits;
mod link;
mod members;
mod policy;
mod serve;
pub mod site;
mod translate;
mod verdict;

pub use call::{Final, POLICY};
pub use front::{Front, Sharing, Tally};
pub use members::engine_id;
pub use site::Site;
