//! Stand-ins: engines and clients as state machines, what they see, and a network in memory with virtual time.
//!
//! - [`engine`]: an engine that reads, writes or does both, by the published protocol, with faults on demand;
//! - [`client`]: clients that follow a script of requests and check what they get;
//! - [`partition`]: cuts a machine off from some of its peers;
//! - [`memory`]: drives machines in memory, in virtual time: the same seed gives the same bytes;
//! - [`mark`]: how a request is known on both sides of the router;
//! - [`platform`]: engines, discovery and clients that speak the platform's protocol;
//! - [`ledger`]: where stand-ins note what they see, for the rule checker.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod engine;
pub mod ledger;
pub mod mark;
pub mod memory;
pub mod partition;
pub mod platform;
