//! What every router over HTTP needs, whatever its clients and engines speak: timers ([`Wheel`], [`Due`]), the server side of a
//! client's connection ([`Client`]), which connection carries the next exchange with an engine ([`Pool`]), what engines
//! still have to release ([`ReleaseQueue`]), and whether kept connections can be used again ([`Trust`]). No I/O, no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod due;
mod pool;
mod releases;
mod trust;
mod wheel;

pub use client::{Client, Received, State};
pub use due::Due;
pub use pool::{Errand, Pool, Slot};
pub use releases::{Release, ReleaseId, ReleaseQueue, ReleaseStep, ReleaseTiming, UnsureAttempt};
pub use trust::Trust;
pub use wheel::{TimerKey, Wheel};
