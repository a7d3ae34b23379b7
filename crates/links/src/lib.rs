//! What every router over HTTP needs, whatever its clients and engines speak: timers ([`Wheel`]), the server side of a
//! client's connection ([`Client`]), which connection carries the next exchange with an engine ([`Pool`]), and what
//! engines still have to be told to let go of ([`LetGo`]). No I/O, no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod letgo;
mod pool;
mod wheel;

pub use client::{Client, Received, State};
pub use letgo::{LetGo, Word};
pub use pool::{Errand, Pool, Slot};
pub use wheel::{TimerKey, Wheel};
