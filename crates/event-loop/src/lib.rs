//! Drives state machines over sockets: one thread, epoll, non-blocking, no async runtime.
//!
//! An [`EventLoop`] hosts any number of machines of one type. It carries bytes and time and decides nothing; what waits
//! for a peer is bounded by the machine, which is told what has been sent. It listens on and connects to loopback
//! addresses alone, unless its caller lifts that for one event loop ([`EventLoop::allow_any_address`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod command;
mod connection;
mod descriptor_reserve;
mod event_loop;
mod lingering;
mod slot_table;

pub use clock::Clock;
pub use command::{Command, EventLoopHandle, MachineId};
pub use event_loop::EventLoop;

use std::net::SocketAddr;

/// Why an address can't be used.
#[derive(Debug, thiserror::Error)]
pub enum AddressError {
    /// It is not a loopback address.
    #[error("{0}: expected a loopback address (127.0.0.0/8 or ::1)")]
    NotLoopback(SocketAddr),
    /// The system has refused it.
    #[error("{0}: {1}")]
    System(SocketAddr, #[source] std::io::Error),
}

/// Checks that an address is one of loopback.
///
/// # Errors
/// It is not.
pub fn check_loopback(address: SocketAddr) -> Result<(), AddressError> {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(AddressError::NotLoopback(address))
    }
}
