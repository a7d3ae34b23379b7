//! Drives state machines over sockets: one thread, epoll, non-blocking, no async runtime.
//!
//! An [`EventLoop`] hosts any number of machines of one type. It delivers bytes and time and makes no
//! decisions. The machine bounds the bytes that wait to be sent, as the loop reports to it how many were
//! sent. The loop listens on and connects to loopback addresses only, unless its caller lifts this
//! restriction ([`EventLoop::allow_any_address`]).

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
    /// The operating system rejected it.
    #[error("{0}: {1}")]
    System(SocketAddr, #[source] std::io::Error),
}

/// Checks that an address is a loopback address.
///
/// # Errors
/// It is not a loopback address.
pub fn check_loopback(address: SocketAddr) -> Result<(), AddressError> {
    if address.ip().is_loopback() {
        Ok(())
    } else {
        Err(AddressError::NotLoopback(address))
    }
}
