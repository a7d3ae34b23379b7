//! Decodes the messages of one direction of a connection from bytes that are split anywhere.

use super::chunk_extensions::is_extension_list;
use super::head::{is_token_byte, parse_field, parse_head, BodyEnd, Head, ParsedHead, Start};
use super::{malformed, Limits, Malformed, Side, CRLF};

/// The longest chunk size line, including extensions, in bytes. All extensions of a body together may be as
/// long as a head.
const MAX_CHUNK_LINE_LEN: usize = 256;
/// The longest method, in bytes: longer than any registered one.
const MAX_METHOD_LEN: usize = 32;
/// Capacity of the buffer that an idle decoder keeps for the next bytes, in bytes.
const RETAINED_CAPACITY: usize = 4 << 10;
/// The end of a head: the end of its last line, and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A piece of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// Its head.
    Head(Head),
    /// A piece of its body, never empty.
    Body(Vec<u8>),
    /// Its end; the next message may follow.
    End,
}

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// This many more bytes of a body with a Content-Length.
    Length(u64),
    ChunkSize,
    /// This many more bytes of a chunk.
    Chunk(u64),
    /// The CR LF after a chunk.
    ChunkEnd,
    Trailer,
    /// A body that ends when the connection is closed.
    UntilClose,
    /// Nothing, after a message that ends the connection.
    Closed,
}

/// Decodes the messages of one direction of a connection.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    limits: Limits,
    /// Received bytes; those before `consumed` have been decoded.
    buf: Vec<u8>,
    consumed: usize,
    state: State,
    /// Body bytes of the current message so far.
    body_bytes: u64,
    /// Bytes of chunk extensions and trailers of the current message so far.
    overhead_bytes: usize,
    keep_alive: bool,
    /// The bytes before this position in `buf` have been searched for the end of a head.
    searched: usize,
}

impl Decoder {
    /// Creates a decoder for a new connection.
    pub fn new(side: Side, limits: Limits) -> Self {
        Decoder {
            side,
            limits,
            buf: Vec::new(),
            consumed: 0,
            state: State::Head,
            body_bytes: 0,
            overhead_bytes: 0,
            keep_alive: true,
            searched: 0,
        }
    }

    /// Adds received bytes, any number of them. Those after a message that ends the connection are dropped.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.state == State::Closed {
            return;
        }
        if self.consumed > 0 {
            self.buf.drain(..self.consumed);
            self.searched = self.searched.saturating_sub(self.consumed);
            self.consumed = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// How many received bytes have not been decoded yet.
    pub fn buffered(&self) -> usize {
        self.buf.len() - self.consumed
    }

    /// Memory that its buffer takes, in bytes.
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }

    /// Whether no message is incomplete and no bytes are waiting to be decoded.
    pub fn idle(&self) -> bool {
        matches!(self.state, State::Head | State::Closed) && self.buffered() == 0
    }

    /// Decodes the next item, if the bytes received so far complete one.
    ///
    /// # Errors
    /// The bytes are not valid HTTP/1.1 or exceed a limit; nothing more can be decoded afterwards.
    pub fn next_item(&mut self) -> Result<Option<Item>, Malformed> {
        let item = self.decode_item()?;
        if item.is_none() && self.buffered() == 0 {
            self.release_buffer();
        }
        Ok(item)
    }

    /// Drops the decoded bytes, and the memory of a large buffer.
    fn release_buffer(&mut self) {
        self.buf.clear();
        if self.buf.capacity() > RETAINED_CAPACITY {
            self.buf = Vec::new();
        }
        (self.consumed, self.searched) = (0, 0);
    }

    fn decode_item(&mut self) -> Result<Option<Item>, Malformed> {
        match self.state {
            State::Head => self.decode_head(),
            State::Length(remaining) | State::Chunk(remaining) => Ok(self.take_body(remaining)),
            State::UntilClose => {
                let all = self.take(usize::MAX);
                self.count_body(all.len())?;
                Ok((!all.is_empty()).then_some(Item::Body(all)))
            }
            State::ChunkSize => self.decode_chunk_size(),
            State::ChunkEnd => {
                if self.buffered() < CRLF.len() {
                    return Ok(None);
                }
                if self.take(CRLF.len()) != CRLF {
                    return malformed(400, "a chunk is not followed by CR LF");
                }
                self.state = State::ChunkSize;
                self.decode_item()
            }
            State::Trailer => self.decode_trailer(),
            State::Closed => Ok(None),
        }
    }

    /// Handles the end of the connection's data. Returns the end of a body that lasts until then, if there is
    /// one.
    ///
    /// # Errors
    /// The connection closed inside a message.
    pub fn eof(&mut self) -> Result<Option<Item>, Malformed> {
        match self.state {
            State::UntilClose => {
                self.state = State::Closed;
                Ok(Some(Item::End))
            }
            State::Head if self.buffered() == 0 => Ok(None),
            State::Closed => Ok(None),
            _ => malformed(400, "the connection closed inside a message"),
        }
    }

    /// Consumes up to `max_len` bytes.
    fn take(&mut self, max_len: usize) -> Vec<u8> {
        let end = self.consumed.saturating_add(max_len).min(self.buf.len());
        let taken = self.buf[self.consumed..end].to_vec();
        self.consumed = end;
        taken
    }

    /// Adds to the length of the body, which is limited.
    fn count_body(&mut self, bytes: usize) -> Result<(), Malformed> {
        self.body_bytes += bytes as u64;
        if self.body_bytes > self.limits.body {
            return malformed(413, format!("a body over {} bytes", self.limits.body));
        }
        Ok(())
    }

    /// Consumes a piece of a body or chunk of which this many bytes remain.
    fn take_body(&mut self, remaining: u64) -> Option<Item> {
        if remaining == 0 {
            return Some(self.end_message());
        }
        let piece = self.take(usize::try_from(remaining).unwrap_or(usize::MAX));
        if piece.is_empty() {
            return None;
        }
        let remaining = remaining - piece.len() as u64;
        self.state = match self.state {
            State::Chunk(_) if remaining == 0 => State::ChunkEnd,
            State::Chunk(_) => State::Chunk(remaining),
            _ => State::Length(remaining),
        };
        Some(Item::Body(piece))
    }

    fn end_message(&mut self) -> Item {
        self.state = if self.keep_alive { State::Head } else { State::Closed };
        (self.body_bytes, self.overhead_bytes, self.searched) = (0, 0, self.consumed);
        Item::End
    }

    /// Consumes a line of at most `max_len` bytes and returns it without its CR LF; `None` while it is
    /// incomplete.
    fn take_line(&mut self, max_len: usize, status: u16, what: &str) -> Result<Option<String>, Malformed> {
        let unread = &self.buf[self.consumed..];
        let Some(end) = unread.iter().position(|&byte| byte == b'\n') else {
            return if unread.len() > max_len {
                malformed(status, format!("{what} over {max_len} bytes"))
            } else {
                Ok(None)
            };
        };
        if end > max_len || end == 0 || unread[end - 1] != b'\r' {
            return malformed(
                if end > max_len { status } else { 400 },
                format!("{what} does not end with CR LF in time"),
            );
        }
        let line = std::str::from_utf8(&unread[..end - 1]).map(str::to_owned);
        self.consumed += end + 1;
        line.map(Some).or_else(|_| malformed(400, format!("{what} is not text")))
    }

    fn decode_chunk_size(&mut self) -> Result<Option<Item>, Malformed> {
        let Some(line) = self.take_line(MAX_CHUNK_LINE_LEN, 400, "a chunk size")? else { return Ok(None) };
        let digits = line.bytes().take_while(u8::is_ascii_hexdigit).count();
        let (size, extensions) = line.split_at(digits);
        let Some(size) = u64::from_str_radix(size, 16).ok().filter(|_| digits <= 8) else {
            return malformed(400, format!("chunk size {line:?}: expected 1 to 8 hex digits"));
        };
        if !is_extension_list(extensions) {
            return malformed(400, format!("chunk size {line:?}: expected extensions as ;name=value"));
        }
        // The extensions of all chunks have a limit of their own: they carry no data, but cost as much as a
        // body.
        self.overhead_bytes += extensions.len();
        if self.overhead_bytes > self.limits.head {
            return malformed(400, "too many chunk extensions");
        }
        if size == 0 {
            self.state = State::Trailer;
            return self.decode_trailer();
        }
        self.count_body(size as usize)?;
        self.state = State::Chunk(size);
        self.decode_item()
    }

    fn decode_trailer(&mut self) -> Result<Option<Item>, Malformed> {
        loop {
            let Some(line) = self.take_line(self.limits.head, 431, "a trailer")? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(self.end_message()));
            }
            parse_field(&line)?;
            self.overhead_bytes += line.len();
            if self.overhead_bytes > self.limits.head {
                return malformed(431, "too long a trailer");
            }
        }
    }

    fn decode_head(&mut self) -> Result<Option<Item>, Malformed> {
        // One empty line before a message is ignored (RFC 9112, 2.2).
        if self.buf[self.consumed..].starts_with(CRLF) && self.searched <= self.consumed {
            self.consumed += CRLF.len();
        }
        let end = self.find_head_end();
        let length = end.map_or(self.buffered(), |end| end + HEAD_END.len() - self.consumed);
        if length > self.limits.head {
            return malformed(431, format!("a head over {} bytes", self.limits.head));
        }
        let Some(end) = end else {
            if !can_begin_message(self.side, &self.buf[self.consumed..]) {
                return malformed(400, "first bytes that begin no message of HTTP/1.1");
            }
            self.searched = self.buf.len();
            return Ok(None);
        };
        let Ok(text) = std::str::from_utf8(&self.buf[self.consumed..end]).map(str::to_owned) else {
            return malformed(400, "a head that is not text");
        };
        self.consumed = end + HEAD_END.len();
        self.searched = self.consumed;
        let ParsedHead { head, body_end } = parse_head(self.side, &self.limits, &text)?;
        self.begin_body(&head, body_end);
        Ok(Some(Item::Head(head)))
    }

    /// The position at which the last line of the head ends, if the head is complete.
    fn find_head_end(&self) -> Option<usize> {
        let from = self.searched.max(self.consumed).saturating_sub(HEAD_END.len() - 1).max(self.consumed);
        let found = self.buf[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        found.map(|position| from + position)
    }

    fn begin_body(&mut self, head: &Head, body_end: BodyEnd) {
        // An interim response is followed by the final one.
        let is_interim = matches!(head.start, Start::Response { status } if status < 200);
        self.keep_alive = head.keep_alive || is_interim;
        self.state = match body_end {
            BodyEnd::Length(length) => State::Length(length),
            BodyEnd::Chunked => State::ChunkSize,
            BodyEnd::Close => State::UntilClose,
        };
    }
}

/// Whether a message can begin with these bytes.
fn can_begin_message(side: Side, bytes: &[u8]) -> bool {
    // The first byte of the empty line that may precede a message.
    if bytes == b"\r" {
        return true;
    }
    match side {
        Side::Client => bytes.iter().zip(b"HTTP/1.").all(|(found, expected)| found == expected),
        Side::Server => {
            let method_len = bytes.iter().position(|&byte| byte == b' ').unwrap_or(bytes.len());
            method_len <= MAX_METHOD_LEN
                && (method_len > 0 || bytes.is_empty())
                && bytes[..method_len].iter().all(|&byte| is_token_byte(byte))
        }
    }
}
