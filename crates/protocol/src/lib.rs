//! Codecs without I/O. Each takes bytes in pieces of any size and never allocates on a claimed length.
//!
//! - [`http`]: HTTP/1.1, both sides, as RFC 9112 has it, strict where leniency lets requests be smuggled.
//! - [`sse`]: server-sent events, as the HTML standard has them.
//! - [`messages`]: the Messages API that clients speak.
//! - [`engine`]: chat completions and load reports, as the open engine serves them.
//! - [`endpoints`]: the `EndpointSlice` JSON format, for the list of engines.
//! - [`membership`]: the messages by which routers of one fleet track each other (gossip).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoints;
pub mod engine;
pub mod http;
pub mod membership;
pub mod messages;
pub mod sse;
