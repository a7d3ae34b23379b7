//! Test servers and clients as state machines, and a simulated network with virtual time.
//!
//! - [`engine`]: an engine that runs prefill, decode or both over the published protocol, with injectable
//!   faults;
//! - [`client`]: clients that send a scripted list of requests and check the answers;
//! - [`partition`]: simulates a network partition between a machine and some of its peers;
//! - [`memory`]: runs machines in memory and virtual time: the same seed gives the same bytes;
//! - [`mark`]: the marker in a prompt that identifies a request on both sides of the router;
//! - [`platform`]: engines, discovery and clients that speak the platform's protocol;
//! - [`ledger`]: records what test servers and clients observe, for the invariant checker.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod engine;
pub mod ledger;
pub mod mark;
pub mod memory;
pub mod partition;
pub mod platform;
