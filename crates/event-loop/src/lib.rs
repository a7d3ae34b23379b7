//! Drives state machines over loopback sockets: one thread, epoll, non-blocking, no runtime.
//!
//! A [`Loop`] hosts any number of machines of one type. It carries bytes and time and decides nothing; what waits
//! for a peer is bounded by the machine, which is told what has been sent. It listens on and connects to loopback
//! addresses alone, unless its caller lifts that for one loop ([`Loop::allow_any_address`]).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod conn;
mod driver;

pub use driver::{Clock, Command, Handle, Loop, NodeId};

use std::fmt;
use std::net::SocketAddr;

/// Why an address can't be used.
#[derive(Debug)]
pub enum NetError {
    /// It is not a loopback address.
    NotLoopback(SocketAddr),
    /// The system said no.
    System(SocketAddr, std::io::Error),
}

impl fmt::Display for NetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NetError::NotLoopback(addr) => {
                write!(f, "{addr}: expected a loopback address (127.0.0.0/8 or ::1)")
            }
            NetError::System(addr, why) => write!(f, "{addr}: {why}"),
        }
    }
}

impl std::error::Error for NetError {}

/// # Errors
/// The address is not a loopback address.
pub fn check_loopback(addr: SocketAddr) -> Result<(), NetError> {
    if addr.ip().is_loopback() {
        Ok(())
    } else {
        Err(NetError::NotLoopback(addr))
    }
}
