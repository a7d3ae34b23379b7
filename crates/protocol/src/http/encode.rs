//! Encodes HTTP/1.1 messages.

use super::CRLF;
use std::fmt::Write as _;

/// The framing of the body of an encoded message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A body of this many bytes.
    Length(usize),
    /// A body of unknown length, in chunks.
    Chunked,
}

/// Appends header fields, framing and the empty line to a first line.
fn finish_head(mut text: String, fields: &[(&str, &str)], framing: Framing) -> Vec<u8> {
    for (name, value) in fields {
        // A value from outside must not end its line, so control characters are removed.
        let clean: String = value.chars().filter(|character| !character.is_control()).collect();
        let _ = write!(text, "{name}: {clean}\r\n");
    }
    let _ = match framing {
        Framing::Length(length) => write!(text, "content-length: {length}\r\n\r\n"),
        Framing::Chunked => write!(text, "transfer-encoding: chunked\r\n\r\n"),
    };
    text.into_bytes()
}

/// Encodes the head of a request.
pub fn request_head(method: &str, target: &str, fields: &[(&str, &str)], framing: Framing) -> Vec<u8> {
    finish_head(format!("{method} {target} HTTP/1.1\r\n"), fields, framing)
}

/// Encodes the head of a response.
pub fn response_head(status: u16, fields: &[(&str, &str)], framing: Framing) -> Vec<u8> {
    finish_head(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)), fields, framing)
}

/// Encodes one chunk. An empty one would end the body, so it is omitted.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(CRLF);
    out
}

/// The last chunk of a body, without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The interim response that asks a client to send its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        529 => "Overloaded",
        _ => "Status",
    }
}
