//! HTTP/1.1 messages in and out (RFC 9110, RFC 9112), incrementally and without I/O.
//!
//! A [`Decoder`] holds one direction of one connection. It is strict: bare CR or LF, folded lines, space before
//! a colon, two framings and the like are errors, as each has been used to smuggle requests. First bytes that can't
//! begin a message are an error at once. Chunk extensions are skipped, bounded and without a bare CR or LF in them.

mod chunk_extensions;
mod decoder;
mod encode;
mod head;

pub use decoder::{Decoder, Item};
pub use encode::{chunk, request_head, response_head, Framing, CONTINUE, LAST_CHUNK};
pub use head::{path_of, Head, Start};

/// What ends a line.
const CRLF: &[u8] = b"\r\n";

/// What a decoder lets through.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a head, its first line and blank line counted.
    pub head: usize,
    /// Header fields of a head.
    pub fields: usize,
    /// Bytes of a body after its framing is taken off.
    pub body: u64,
}

impl Default for Limits {
    /// 16 KiB of head, 100 fields, 32 MiB of body: what common servers take.
    fn default() -> Self {
        Limits { head: 16 << 10, fields: 100, body: 32 << 20 }
    }
}

/// Why a message can't be read; the connection has to be closed after it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{why}")]
pub struct Malformed {
    /// The status that a server answers with.
    pub status: u16,
    /// What was found and what was expected.
    pub why: String,
}

/// The error of a message that can't be read.
fn malformed<T>(status: u16, why: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed { status, why: why.into() })
}

/// Which messages a decoder reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests: it sits in a server.
    Server,
    /// Responses: it sits in a client.
    Client,
}
