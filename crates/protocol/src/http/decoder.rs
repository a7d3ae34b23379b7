//! Reads the messages of one direction of a connection from bytes that come in pieces of any size.

use super::chunk_extensions::are_extensions;
use super::head::{is_token_byte, parse_field, parse_head, BodyEnd, Head, ParsedHead, Start};
use super::{malformed, Limits, Malformed, Side, CRLF};

/// Bytes of a chunk size with its extensions; all extensions of a body together are bounded like a head.
const MAX_CHUNK_LINE: usize = 256;
/// Bytes of a method: over those of any that is registered.
const MAX_METHOD: usize = 32;
/// What ends a head: the last line's end and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A piece of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// Its head.
    Head(Head),
    /// Some of its body, never empty.
    Body(Vec<u8>),
    /// Its end; the next message may follow.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    /// After a message that ends the connection.
    Closed,
}

/// Reads the messages of one direction of a connection.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    limits: Limits,
    /// Bytes that came; those before `at` are taken.
    buf: Vec<u8>,
    at: usize,
    state: State,
    /// Body bytes so far.
    body: u64,
    /// Bytes of chunk extensions and trailers so far.
    trailer: usize,
    keep_alive: bool,
    /// Up to where the head was searched for its end.
    searched: usize,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(side: Side, limits: Limits) -> Self {
        Decoder {
            side,
            limits,
            buf: Vec::new(),
            at: 0,
            state: State::Head,
            body: 0,
            trailer: 0,
            keep_alive: true,
            searched: 0,
        }
    }

    /// Takes bytes of any number. What comes after the end of a closing message is dropped.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.state == State::Closed {
            return;
        }
        if self.at > 0 {
            self.buf.drain(..self.at);
            self.searched = self.searched.saturating_sub(self.at);
            self.at = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Bytes held that have not been taken as items.
    pub fn buffered(&self) -> usize {
        self.buf.len() - self.at
    }

    /// Whether it is between two messages with nothing begun.
    pub fn idle(&self) -> bool {
        matches!(self.state, State::Head | State::Closed) && self.buffered() == 0
    }

    /// The next item, if the bytes so far hold one.
    ///
    /// # Errors
    /// What can't be read as HTTP/1.1 or goes over a limit; nothing more can be read afterwards.
    pub fn next_item(&mut self) -> Result<Option<Item>, Malformed> {
        match self.state {
            State::Head => self.head(),
            State::Length(left) | State::Chunk(left) => Ok(self.take_body(left)),
            State::UntilClose => {
                let all = self.take(usize::MAX);
                self.count_body(all.len())?;
                Ok((!all.is_empty()).then_some(Item::Body(all)))
            }
            State::ChunkSize => self.chunk_size(),
            State::ChunkEnd => {
                if self.buffered() < CRLF.len() {
                    return Ok(None);
                }
                if self.take(CRLF.len()) != CRLF {
                    return malformed(400, "a chunk is not followed by CR LF");
                }
                self.state = State::ChunkSize;
                self.next_item()
            }
            State::Trailer => self.trailer(),
            State::Closed => Ok(None),
        }
    }

    /// The peer sends no more: the end of a body that lasts until then, if it does.
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

    fn take(&mut self, most: usize) -> Vec<u8> {
        let end = self.at.saturating_add(most).min(self.buf.len());
        let taken = self.buf[self.at..end].to_vec();
        self.at = end;
        taken
    }

    fn count_body(&mut self, bytes: usize) -> Result<(), Malformed> {
        self.body += bytes as u64;
        if self.body > self.limits.body {
            return malformed(413, format!("a body over {} bytes", self.limits.body));
        }
        Ok(())
    }

    fn take_body(&mut self, left: u64) -> Option<Item> {
        if left == 0 {
            return Some(self.end());
        }
        let piece = self.take(usize::try_from(left).unwrap_or(usize::MAX));
        if piece.is_empty() {
            return None;
        }
        let left = left - piece.len() as u64;
        self.state = match self.state {
            State::Chunk(_) if left == 0 => State::ChunkEnd,
            State::Chunk(_) => State::Chunk(left),
            _ => State::Length(left),
        };
        Some(Item::Body(piece))
    }

    fn end(&mut self) -> Item {
        self.state = if self.keep_alive { State::Head } else { State::Closed };
        (self.body, self.trailer, self.searched) = (0, 0, self.at);
        Item::End
    }

    /// A line of at most `most` bytes without its CR LF; `None` while it is not whole.
    fn line(&mut self, most: usize, status: u16, what: &str) -> Result<Option<String>, Malformed> {
        let held = &self.buf[self.at..];
        let Some(end) = held.iter().position(|&byte| byte == b'\n') else {
            return if held.len() > most {
                malformed(status, format!("{what} over {most} bytes"))
            } else {
                Ok(None)
            };
        };
        if end > most || end == 0 || held[end - 1] != b'\r' {
            return malformed(
                if end > most { status } else { 400 },
                format!("{what} does not end with CR LF in time"),
            );
        }
        let line = std::str::from_utf8(&held[..end - 1]).map(str::to_owned);
        self.at += end + 1;
        line.map(Some).or_else(|_| malformed(400, format!("{what} is not text")))
    }

    fn chunk_size(&mut self) -> Result<Option<Item>, Malformed> {
        let Some(line) = self.line(MAX_CHUNK_LINE, 400, "a chunk size")? else { return Ok(None) };
        let digits = line.bytes().take_while(u8::is_ascii_hexdigit).count();
        let (size, extensions) = line.split_at(digits);
        let Some(size) = u64::from_str_radix(size, 16).ok().filter(|_| digits <= 8) else {
            return malformed(400, format!("chunk size {line:?}: expected 1 to 8 hex digits"));
        };
        if !are_extensions(extensions) {
            return malformed(400, format!("chunk size {line:?}: expected extensions as ;name=value"));
        }
        // They have a bound of their own over all chunks: they carry nothing, and cost as much as a body.
        self.trailer += extensions.len();
        if self.trailer > self.limits.head {
            return malformed(400, "too many chunk extensions");
        }
        if size == 0 {
            self.state = State::Trailer;
            return self.trailer();
        }
        self.count_body(size as usize)?;
        self.state = State::Chunk(size);
        self.next_item()
    }

    fn trailer(&mut self) -> Result<Option<Item>, Malformed> {
        loop {
            let Some(line) = self.line(self.limits.head, 431, "a trailer")? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(self.end()));
            }
            parse_field(&line)?;
            self.trailer += line.len();
            if self.trailer > self.limits.head {
                return malformed(431, "too long a trailer");
            }
        }
    }

    fn head(&mut self) -> Result<Option<Item>, Malformed> {
        // One empty line before a message is to be ignored (RFC 9112, 2.2).
        if self.buf[self.at..].starts_with(CRLF) && self.searched <= self.at {
            self.at += CRLF.len();
        }
        let end = self.find_head_end();
        let length = end.map_or(self.buffered(), |end| end + HEAD_END.len() - self.at);
        if length > self.limits.head {
            return malformed(431, format!("a head over {} bytes", self.limits.head));
        }
        let Some(end) = end else {
            if !may_begin(self.side, &self.buf[self.at..]) {
                return malformed(400, "first bytes that begin no message of HTTP/1.1");
            }
            self.searched = self.buf.len();
            return Ok(None);
        };
        let Ok(text) = std::str::from_utf8(&self.buf[self.at..end]).map(str::to_owned) else {
            return malformed(400, "a head that is not text");
        };
        self.at = end + HEAD_END.len();
        self.searched = self.at;
        let ParsedHead { head, body_end } = parse_head(self.side, &self.limits, &text)?;
        self.begin_body(&head, body_end);
        Ok(Some(Item::Head(head)))
    }

    /// Where the head's last line ends, if its end has come.
    fn find_head_end(&self) -> Option<usize> {
        let from = self.searched.max(self.at).saturating_sub(HEAD_END.len() - 1).max(self.at);
        let found = self.buf[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        found.map(|position| from + position)
    }

    fn begin_body(&mut self, head: &Head, body_end: BodyEnd) {
        // The final response follows an interim one.
        let is_interim = matches!(head.start, Start::Response { status } if status < 200);
        self.keep_alive = head.keep_alive || is_interim;
        self.state = match body_end {
            BodyEnd::Length(length) => State::Length(length),
            BodyEnd::Chunked => State::ChunkSize,
            BodyEnd::Close => State::UntilClose,
        };
    }
}

/// Whether bytes may be the beginning of a message.
fn may_begin(side: Side, bytes: &[u8]) -> bool {
    // The empty line that may come before, of which the end is still to come.
    if bytes == b"\r" {
        return true;
    }
    match side {
        Side::Client => bytes.iter().zip(b"HTTP/1.").all(|(found, expected)| found == expected),
        Side::Server => {
            let method = bytes.iter().position(|&byte| byte == b' ').unwrap_or(bytes.len());
            method <= MAX_METHOD
                && (method > 0 || bytes.is_empty())
                && bytes[..method].iter().all(|&byte| is_token_byte(byte))
        }
    }
}
