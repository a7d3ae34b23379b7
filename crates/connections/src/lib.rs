//! What every router over HTTP needs, whatever its clients and engines speak. No I/O, no clock.
//!
//! - [`TimerWheel`], the timers of one router;
//! - [`ConnectionMap`]: the open connections of one kind, each with one timer;
//! - [`ClientConnection`]: the server side of a client's connection;
//! - [`Pool`]: which connection carries the next exchange with an engine;
//! - [`ReuseHistory`]: whether idle connections can be reused;
//! - [`ReleaseQueue`]: state that engines still have to release.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod connection_map;
mod connection_timers;
mod pool;
mod releases;
mod reuse_history;
mod timer_wheel;

pub use client::{ClientConnection, ClientState, ReceivedRequest};
pub use connection_map::ConnectionMap;
pub use pool::{Pool, Purpose, Slot};
pub use releases::{Release, ReleaseId, ReleaseQueue, ReleaseStep, ReleaseTiming, UnconfirmedAttempt};
pub use reuse_history::ReuseHistory;
pub use timer_wheel::{TimerKey, TimerWheel};
