//! HTTP/1.1 messages in and out (RFC 9110, RFC 9112), incrementally and without I/O.
//!
//! A [`Decoder`] holds one direction of one connection. It is strict: bare CR or LF, folded lines, space before
//! a colon, two framings and the like are errors, as each has been used to smuggle requests. First bytes that can't
//! begin a message are an error at once. Chunk extensions are skipped, bounded and without a bare CR or LF in them.

use std::fmt::{self, Write as _};

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

/// Bytes of a chunk size with its extensions; all extensions of a body together are bounded like a head.
const CHUNK_LINE: usize = 256;
/// Bytes of a method: over those of any that is registered.
const METHOD: usize = 32;

impl Default for Limits {
    /// 16 KiB of head, 100 fields, 32 MiB of body: what common servers take.
    fn default() -> Self {
        Limits { head: 16 << 10, fields: 100, body: 32 << 20 }
    }
}

/// Why a message can't be read; the connection has to be closed after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The status that a server answers with.
    pub status: u16,
    /// What was found and what was expected.
    pub why: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.why)
    }
}

impl std::error::Error for Malformed {}

fn bad<T>(status: u16, why: impl Into<String>) -> Result<T, Malformed> {
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

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Of a request.
    Request {
        /// The method, as sent.
        method: String,
        /// The target, as sent.
        target: String,
    },
    /// Of a response.
    Response {
        /// The status code.
        status: u16,
    },
}

/// A message's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its first line.
    pub start: Start,
    /// Whether the version is 1.1, not 1.0.
    pub http11: bool,
    fields: Vec<(String, String)>,
    /// Whether the connection stays open after the message.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The length that the head states, if it does.
    pub length: Option<u64>,
}

impl Head {
    /// The first field of this name, in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// All fields, names in lower case, in order.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }
}

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
    buf: Vec<u8>,
    at: usize,
    state: State,
    /// Body bytes so far.
    body: u64,
    trailer: usize,
    keep_alive: bool,
    /// Up to where the head was searched for its end.
    searched: usize,
}

const LINE: &[u8] = b"\r\n";

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
                if self.buffered() < LINE.len() {
                    return Ok(None);
                }
                if self.take(LINE.len()) != LINE {
                    return bad(400, "a chunk is not followed by CR LF");
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
            _ => bad(400, "the connection closed inside a message"),
        }
    }

    fn take(&mut self, most: usize) -> Vec<u8> {
        let end = self.at.saturating_add(most).min(self.buf.len());
        let taken = self.buf[self.at..end].to_vec();
        self.at = end;
        taken
    }

    fn count_body(&mut self, n: usize) -> Result<(), Malformed> {
        self.body += n as u64;
        if self.body > self.limits.body {
            return bad(413, format!("a body over {} bytes", self.limits.body));
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
        let Some(end) = held.iter().position(|&b| b == b'\n') else {
            return if held.len() > most {
                bad(status, format!("{what} over {most} bytes"))
            } else {
                Ok(None)
            };
        };
        if end > most || end == 0 || held[end - 1] != b'\r' {
            return bad(
                if end > most { status } else { 400 },
                format!("{what} does not end with CR LF in time"),
            );
        }
        let line = std::str::from_utf8(&held[..end - 1]).map(str::to_owned);
        self.at += end + 1;
        line.map(Some).or_else(|_| bad(400, format!("{what} is not text")))
    }

    fn chunk_size(&mut self) -> Result<Option<Item>, Malformed> {
        let Some(line) = self.line(CHUNK_LINE, 400, "a chunk size")? else { return Ok(None) };
        let digits = line.bytes().take_while(u8::is_ascii_hexdigit).count();
        let (size, extensions) = line.split_at(digits);
        let Some(size) = u64::from_str_radix(size, 16).ok().filter(|_| digits <= 8) else {
            return bad(400, format!("chunk size {line:?}: expected 1 to 8 hex digits"));
        };
        if !are_extensions(extensions) {
            return bad(400, format!("chunk size {line:?}: expected extensions as ;name=value"));
        }
        // They have a bound of their own over all chunks: they carry nothing, and cost as much as a body.
        self.trailer += extensions.len();
        if self.trailer > self.limits.head {
            return bad(400, "too many chunk extensions");
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
                return bad(431, "too long a trailer");
            }
        }
    }

    fn head(&mut self) -> Result<Option<Item>, Malformed> {
        // One empty line before a message is to be ignored (RFC 9112, 2.2).
        if self.buf[self.at..].starts_with(LINE) && self.searched <= self.at {
            self.at += LINE.len();
        }
        let from = self.searched.max(self.at).saturating_sub(3).max(self.at);
        let found = self.buf[from..].windows(4).position(|w| w == b"\r\n\r\n").map(|p| from + p);
        let length = found.map_or(self.buffered(), |end| end + 4 - self.at);
        if length > self.limits.head {
            return bad(431, format!("a head over {} bytes", self.limits.head));
        }
        let Some(end) = found else {
            if !may_begin(self.side, &self.buf[self.at..]) {
                return bad(400, "first bytes that begin no message of HTTP/1.1");
            }
            self.searched = self.buf.len();
            return Ok(None);
        };
        let text = std::str::from_utf8(&self.buf[self.at..end]).map(str::to_owned);
        let Ok(text) = text else { return bad(400, "a head that is not text") };
        self.at = end + 4;
        self.searched = self.at;
        let head = self.parse_head(&text)?;
        Ok(Some(Item::Head(head)))
    }

    fn parse_head(&mut self, text: &str) -> Result<Head, Malformed> {
        let mut lines = text.split("\r\n");
        let (start, http11) = parse_start(self.side, lines.next().unwrap_or_default())?;
        let mut fields = Vec::new();
        for line in lines {
            if fields.len() == self.limits.fields {
                return bad(431, format!("over {} header fields", self.limits.fields));
            }
            fields.push(parse_field(line)?);
        }
        let all = |name: &'static str| fields.iter().filter(move |(n, _)| n == name).map(|(_, v)| v.as_str());
        let connection: Vec<String> =
            all("connection").flat_map(|v| v.split(',')).map(|v| v.trim().to_ascii_lowercase()).collect();
        let says = |word: &str| connection.iter().any(|c| c == word);
        let keep_alive = if http11 { !says("close") } else { says("keep-alive") };
        if self.side == Side::Server && http11 && all("host").count() != 1 {
            return bad(400, "expected exactly one Host field");
        }
        let length = match all("content-length").collect::<Vec<_>>()[..] {
            [] => None,
            [v] if !v.is_empty() && v.len() < 19 && v.bytes().all(|b| b.is_ascii_digit()) => v.parse().ok(),
            _ => return bad(400, "expected one Content-Length of digits alone"),
        };
        let coding: Vec<&str> = all("transfer-encoding").collect();
        let chunked = match coding[..] {
            [] => false,
            [v] if v.eq_ignore_ascii_case("chunked") && http11 => true,
            _ => return bad(501, "expected no Transfer-Encoding but chunked"),
        };
        if chunked && length.is_some() {
            return bad(400, "both Content-Length and Transfer-Encoding");
        }
        let expects_continue = match all("expect").next() {
            None => false,
            Some(v) if v.eq_ignore_ascii_case("100-continue") => true,
            Some(_) => return bad(417, "an expectation other than 100-continue"),
        };
        let bodyless =
            matches!(start, Start::Response { status } if status < 200 || status == 204 || status == 304);
        if length.is_some_and(|n| n > self.limits.body) {
            return bad(413, format!("a body over {} bytes", self.limits.body));
        }
        self.keep_alive = keep_alive;
        self.state = match (chunked, length) {
            _ if bodyless => State::Length(0),
            (true, _) => State::ChunkSize,
            (_, Some(n)) => State::Length(n),
            (_, None) if self.side == Side::Server => State::Length(0),
            _ => State::UntilClose,
        };
        if matches!(start, Start::Response { status } if status < 200) {
            self.keep_alive = true;
        }
        Ok(Head { start, http11, fields, keep_alive, expects_continue, length })
    }
}

/// Whether bytes may be the beginning of a message.
fn may_begin(side: Side, bytes: &[u8]) -> bool {
    // The empty line that may come before, of which the end is still to come.
    if bytes == b"\r" {
        return true;
    }
    match side {
        Side::Client => bytes.iter().zip(b"HTTP/1.").all(|(a, b)| a == b),
        Side::Server => {
            let method = bytes.iter().position(|&b| b == b' ').unwrap_or(bytes.len());
            method <= METHOD
                && (method > 0 || bytes.is_empty())
                && bytes[..method].iter().all(|&b| is_token_byte(b))
        }
    }
}

/// Whether this is a run of chunk extensions (RFC 9112, 7.1.1): `;name`, `;name=token` or `;name="quoted"`, with blanks
/// around `;` and `=`. No blank may follow the last.
fn are_extensions(text: &str) -> bool {
    let blanks = |t: &mut &str| *t = t.trim_start_matches([' ', '\t']);
    let token = |t: &mut &str| {
        let n = t.bytes().take_while(|&b| is_token_byte(b)).count();
        *t = &t[n..];
        n > 0
    };
    let mut rest = text;
    while !rest.is_empty() {
        blanks(&mut rest);
        let Some(after) = rest.strip_prefix(';') else { return false };
        rest = after;
        blanks(&mut rest);
        if !token(&mut rest) {
            return false;
        }
        let mut ahead = rest;
        blanks(&mut ahead);
        let Some(value) = ahead.strip_prefix('=') else { continue };
        rest = value;
        blanks(&mut rest);
        if let Some(quoted) = rest.strip_prefix('"') {
            let Some(after) = after_quoted(quoted) else { return false };
            rest = after;
        } else if !token(&mut rest) {
            return false;
        }
    }
    true
}

/// What follows a quoted string whose opening quote is taken.
fn after_quoted(text: &str) -> Option<&str> {
    let mut escaped = false;
    for (at, b) in text.bytes().enumerate() {
        match b {
            _ if (b < 0x20 && b != b'\t') || b == 0x7f => return None,
            _ if std::mem::take(&mut escaped) => {}
            b'\\' => escaped = true,
            b'"' => return Some(&text[at + 1..]),
            _ => {}
        }
    }
    None
}

/// The path of a request target, without its query: of one in origin form, or in absolute form, which a server has to
/// take (RFC 9112, 3.2.2). `None` for the other forms.
pub fn path_of(target: &str) -> Option<&str> {
    let path = if target.starts_with('/') { target } else { after_authority(target)? };
    Some(path.split(['?', '#']).next().filter(|p| !p.is_empty()).unwrap_or("/"))
}

/// What follows scheme and authority of a target in absolute form.
fn after_authority(target: &str) -> Option<&str> {
    let (scheme, rest) = target.split_once("://")?;
    let known = scheme.eq_ignore_ascii_case("http") || scheme.eq_ignore_ascii_case("https");
    let end = rest.find(['/', '?', '#']).unwrap_or(rest.len());
    (known && end > 0).then(|| &rest[end..])
}

fn is_token_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(is_token_byte)
}

fn parse_start(side: Side, line: &str) -> Result<(Start, bool), Malformed> {
    let version = |v: &str| match v {
        "HTTP/1.1" => Ok(true),
        "HTTP/1.0" => Ok(false),
        v if v.starts_with("HTTP/") => bad(505, format!("version {v:?}: expected HTTP/1.1")),
        v => bad(400, format!("{v:?} where HTTP/1.1 was expected")),
    };
    let words: Vec<&str> = line.splitn(3, ' ').collect();
    match (side, &words[..]) {
        (Side::Server, [method, target, v]) => {
            let printable = target.bytes().all(|b| b.is_ascii_graphic());
            let form =
                path_of(target).is_some() || (*method == "OPTIONS" && *target == "*") || *method == "CONNECT";
            if !is_token(method) || !form || !printable {
                return bad(400, "expected METHOD SP target SP HTTP/1.1");
            }
            Ok((Start::Request { method: (*method).into(), target: (*target).into() }, version(v)?))
        }
        (Side::Client, [v, status, ..]) => {
            let code = status.parse().ok().filter(|c| status.len() == 3 && (100..600).contains(c));
            let Some(status) = code else { return bad(502, format!("status {status:?}")) };
            Ok((Start::Response { status }, version(v)?))
        }
        _ => bad(400, "a first line that is none of HTTP/1.1"),
    }
}

fn parse_field(line: &str) -> Result<(String, String), Malformed> {
    if line.starts_with([' ', '\t']) {
        return bad(400, "a folded header line");
    }
    let Some((name, value)) = line.split_once(':').filter(|(name, _)| is_token(name)) else {
        return bad(400, "a header line without a name and colon");
    };
    let value = value.trim_matches([' ', '\t']);
    if value.bytes().any(|b| (b < 0x20 && b != b'\t') || b == 0x7f) {
        return bad(400, format!("a control character in header {name:?}"));
    }
    Ok((name.to_ascii_lowercase(), value.to_owned()))
}

/// The framing of a body that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// In chunks, as they come.
    Chunked,
}

fn finish_head(mut text: String, fields: &[(&str, &str)], framing: Framing) -> Vec<u8> {
    for (name, value) in fields {
        // A value from outside must not end its line: what is no header text is left out.
        let clean: String = value.chars().filter(|c| !c.is_control()).collect();
        let _ = write!(text, "{name}: {clean}\r\n");
    }
    let _ = match framing {
        Framing::Length(n) => write!(text, "content-length: {n}\r\n\r\n"),
        Framing::Chunked => write!(text, "transfer-encoding: chunked\r\n\r\n"),
    };
    text.into_bytes()
}

/// Writes the head of a request.
pub fn request_head(method: &str, target: &str, fields: &[(&str, &str)], framing: Framing) -> Vec<u8> {
    finish_head(format!("{method} {target} HTTP/1.1\r\n"), fields, framing)
}

/// Writes the head of a response.
pub fn response_head(status: u16, fields: &[(&str, &str)], framing: Framing) -> Vec<u8> {
    finish_head(format!("HTTP/1.1 {status} {}\r\n", reason(status)), fields, framing)
}

/// Writes one chunk; an empty one would end the body and is left out.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(LINE);
    out
}

/// The last chunk.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The interim response that lets a client send its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn reason(status: u16) -> &'static str {
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
