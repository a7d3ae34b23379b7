//! State machines that all HTTP routers share, whatever protocol their clients and engines use. Without I/O
//! and clock.
//!
//! - [`TimerWheel`]: the timers of one router;
//! - [`ConnectionMap`]: the open connections of one kind, each with one timer;
//! - [`BufferSizes`]: the memory that the buffers of connections take together;
//! - [`ClientConnection`]: the server side of a client connection;
//! - [`Pool`]: selects the connection for the next exchange with an engine;
//! - [`ReuseHistory`]: decides whether idle connections are reused;
//! - [`ReleaseQueue`]: releases of prefilled state that engines have not acknowledged yet.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body_buffer;
mod buffer_sizes;
mod client;
mod connection_map;
mod connection_timers;
mod pool;
mod releases;
mod reuse_history;
mod timer_wheel;

pub use buffer_sizes::BufferSizes;
pub use client::{ClientConnection, ClientState, ReceivedRequest};
pub use connection_map::ConnectionMap;
pub use pool::{Pool, Purpose, Slot};
pub use releases::{Release, ReleaseId, ReleaseQueue, ReleaseStep, ReleaseTiming, UnconfirmedAttempt};
pub use reuse_history::ReuseHistory;
pub use timer_wheel::{TimerKey, TimerWheel};
