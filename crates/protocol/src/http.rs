//! Decodes HTTP/1.1 messages incrementally, and encodes them (RFC 9110, RFC 9112), without I/O.
//!
//! A [`Decoder`] decodes one direction of one connection. It is strict: bare CR or LF, folded lines, space
//! before a colon, two framings and the like are errors, as each has been used for request smuggling. First
//! bytes that can't begin a message are rejected at once. Chunk extensions are skipped; they are limited in
//! length, and a bare CR or LF in them is an error.

mod chunk_extensions;
mod decoder;
mod encode;
mod head;

pub use decoder::{Decoder, Item};
pub use encode::{chunk, request_head, response_head, Framing, CONTINUE, LAST_CHUNK};
pub use head::{path_of, Head, Start};

/// The end of a line.
const CRLF: &[u8] = b"\r\n";

/// Limits of the messages that a decoder accepts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most bytes of a head, including its first line and the empty line at its end.
    pub head: usize,
    /// The most header fields of a head.
    pub fields: usize,
    /// The most bytes of a body, without its framing.
    pub body: u64,
}

impl Default for Limits {
    /// 16 KiB of head, 100 fields, 32 MiB of body: the limits of common servers.
    fn default() -> Self {
        Limits { head: 16 << 10, fields: 100, body: 32 << 20 }
    }
}

/// Why a message can't be decoded; the connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{why}")]
pub struct Malformed {
    /// The status with which a server responds.
    pub status: u16,
    /// What was found and what was expected.
    pub why: String,
}

/// Returns the error of a message that can't be decoded.
fn malformed<T>(status: u16, why: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed { status, why: why.into() })
}

/// Which messages a decoder decodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests: the decoder is part of a server.
    Server,
    /// Responses: the decoder is part of a client.
    Client,
}
