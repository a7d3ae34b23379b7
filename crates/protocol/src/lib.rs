//! Codecs without I/O. Each accepts input that is split at any byte, and none allocates memory for a length
//! that the input merely claims.
//!
//! - [`http`]: HTTP/1.1 for servers and clients (RFC 9112), strict where leniency allows request smuggling.
//! - [`sse`]: server-sent events, as defined by the HTML standard.
//! - [`messages`]: the Messages API, which clients use.
//! - [`engine`]: chat completions and load reports, as vLLM serves them.
//! - [`endpoints`]: the `EndpointSlice` JSON format of Kubernetes, in which engines are listed.
//! - [`membership`]: the gossip messages by which the routers of a fleet track each other.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoints;
pub mod engine;
pub mod http;
pub mod membership;
pub mod messages;
pub mod sse;
