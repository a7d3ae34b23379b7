//! Parses the head of a message: its first line, its header fields, and what they state about the body and
//! the connection.

use super::{malformed, Limits, Malformed, Side};

/// The first line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// The first line of a request.
    Request {
        /// The method, as sent.
        method: String,
        /// The target, as sent.
        target: String,
    },
    /// The first line of a response.
    Response {
        /// The status code.
        status: u16,
    },
}

/// The head of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Its first line.
    pub start: Start,
    /// Whether the version is HTTP/1.1, as opposed to HTTP/1.0.
    pub http11: bool,
    fields: Vec<(String, String)>,
    /// Whether the connection stays open after the message.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The value of Content-Length, if there is one.
    pub length: Option<u64>,
}

impl Head {
    /// The value of the first field of this name, which has to be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// All fields in order, with names in lower case.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Memory that its texts take, in bytes.
    pub fn size(&self) -> usize {
        let start = match &self.start {
            Start::Request { method, target } => method.len() + target.len(),
            Start::Response { .. } => 0,
        };
        let field_size =
            |(name, value): &(String, String)| size_of::<(String, String)>() + name.len() + value.len();
        start + self.fields.iter().map(field_size).sum::<usize>()
    }

    /// The values of all fields of this name, which has to be in lower case.
    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.fields.iter().filter(move |(other, _)| other == name).map(|(_, value)| value.as_str())
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// After this many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// At the end of the connection.
    Close,
}

/// A parsed head, and how its body ends.
pub(super) struct ParsedHead {
    pub(super) head: Head,
    pub(super) body_end: BodyEnd,
}

/// Parses a head without its empty line.
pub(super) fn parse_head(side: Side, limits: &Limits, text: &str) -> Result<ParsedHead, Malformed> {
    let mut lines = text.split("\r\n");
    let first_line = parse_first_line(side, lines.next().unwrap_or_default())?;
    let fields = parse_fields(lines, limits.fields)?;
    let FirstLine { start, http11 } = first_line;
    let mut head = Head { start, http11, fields, keep_alive: true, expects_continue: false, length: None };
    head.keep_alive = keeps_alive(&head);
    if side == Side::Server && http11 && head.values("host").count() != 1 {
        return malformed(400, "expected exactly one Host field");
    }
    head.length = content_length(&head)?;
    let is_chunked = is_chunked(&head)?;
    if is_chunked && head.length.is_some() {
        return malformed(400, "both Content-Length and Transfer-Encoding");
    }
    head.expects_continue = expects_continue(&head)?;
    if head.length.is_some_and(|length| length > limits.body) {
        return malformed(413, format!("a body over {} bytes", limits.body));
    }
    let body_end = body_end(side, &head, is_chunked);
    Ok(ParsedHead { head, body_end })
}

fn parse_fields<'a>(
    lines: impl Iterator<Item = &'a str>, max_fields: usize,
) -> Result<Vec<(String, String)>, Malformed> {
    let mut fields = Vec::new();
    for line in lines {
        if fields.len() == max_fields {
            return malformed(431, format!("over {max_fields} header fields"));
        }
        fields.push(parse_field(line)?);
    }
    Ok(fields)
}

/// Whether the connection stays open after the message, according to its version and its Connection fields.
fn keeps_alive(head: &Head) -> bool {
    let options = || head.values("connection").flat_map(|value| value.split(',')).map(str::trim);
    if head.http11 {
        !options().any(|option| option.eq_ignore_ascii_case("close"))
    } else {
        options().any(|option| option.eq_ignore_ascii_case("keep-alive"))
    }
}

fn content_length(head: &Head) -> Result<Option<u64>, Malformed> {
    match head.values("content-length").collect::<Vec<_>>()[..] {
        [] => Ok(None),
        [value] if is_length(value) => Ok(value.parse().ok()),
        _ => malformed(400, "expected one Content-Length of digits alone"),
    }
}

/// Whether a value is a decimal length that fits into 64 bits.
fn is_length(value: &str) -> bool {
    !value.is_empty() && value.len() < 19 && value.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_chunked(head: &Head) -> Result<bool, Malformed> {
    match head.values("transfer-encoding").collect::<Vec<_>>()[..] {
        [] => Ok(false),
        [value] if value.eq_ignore_ascii_case("chunked") && head.http11 => Ok(true),
        _ => malformed(501, "expected no Transfer-Encoding but chunked"),
    }
}

fn expects_continue(head: &Head) -> Result<bool, Malformed> {
    match head.values("expect").next() {
        None => Ok(false),
        Some(value) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
        Some(_) => malformed(417, "an expectation other than 100-continue"),
    }
}

fn body_end(side: Side, head: &Head, is_chunked: bool) -> BodyEnd {
    let has_no_body =
        matches!(head.start, Start::Response { status } if status < 200 || status == 204 || status == 304);
    match (is_chunked, head.length) {
        _ if has_no_body => BodyEnd::Length(0),
        (true, _) => BodyEnd::Chunked,
        (false, Some(length)) => BodyEnd::Length(length),
        (false, None) if side == Side::Server => BodyEnd::Length(0),
        (false, None) => BodyEnd::Close,
    }
}

struct FirstLine {
    start: Start,
    http11: bool,
}

fn parse_first_line(side: Side, line: &str) -> Result<FirstLine, Malformed> {
    let words: Vec<&str> = line.splitn(3, ' ').collect();
    match (side, &words[..]) {
        (Side::Server, [method, target, version]) => {
            if !is_token(method) || !is_valid_target(method, target) {
                return malformed(400, "expected METHOD SP target SP HTTP/1.1");
            }
            let http11 = is_http11(version)?;
            let start = Start::Request { method: (*method).to_owned(), target: (*target).to_owned() };
            Ok(FirstLine { start, http11 })
        }
        (Side::Client, [version, status, ..]) => {
            let code = status.parse().ok().filter(|code| status.len() == 3 && (100..600).contains(code));
            let Some(code) = code else { return malformed(502, format!("status {status:?}")) };
            let http11 = is_http11(version)?;
            Ok(FirstLine { start: Start::Response { status: code }, http11 })
        }
        _ => malformed(400, "a first line that is none of HTTP/1.1"),
    }
}

/// Whether a version is HTTP/1.1, as opposed to HTTP/1.0. Others are errors.
fn is_http11(version: &str) -> Result<bool, Malformed> {
    match version {
        "HTTP/1.1" => Ok(true),
        "HTTP/1.0" => Ok(false),
        other if other.starts_with("HTTP/") => {
            malformed(505, format!("version {other:?}: expected HTTP/1.1"))
        }
        other => malformed(400, format!("{other:?} where HTTP/1.1 was expected")),
    }
}

/// Whether a target has a form that its method allows (RFC 9112, 3.2).
fn is_valid_target(method: &str, target: &str) -> bool {
    let has_form = path_of(target).is_some() || (method == "OPTIONS" && target == "*") || method == "CONNECT";
    has_form && target.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Parses a header line. Returns its name in lower case, and its value.
pub(super) fn parse_field(line: &str) -> Result<(String, String), Malformed> {
    if line.starts_with([' ', '\t']) {
        return malformed(400, "a folded header line");
    }
    let Some((name, value)) = line.split_once(':').filter(|(name, _)| is_token(name)) else {
        return malformed(400, "a header line without a name and colon");
    };
    let value = value.trim_matches([' ', '\t']);
    if value.bytes().any(|byte| (byte < 0x20 && byte != b'\t') || byte == 0x7f) {
        return malformed(400, format!("a control character in header {name:?}"));
    }
    Ok((name.to_ascii_lowercase(), value.to_owned()))
}

/// The path of a request target without its query. The target is in origin form, or in absolute form, which a
/// server has to accept (RFC 9112, 3.2.2); `None` for the other forms.
pub fn path_of(target: &str) -> Option<&str> {
    let path = if target.starts_with('/') { target } else { after_authority(target)? };
    Some(path.split(['?', '#']).next().filter(|p| !p.is_empty()).unwrap_or("/"))
}

/// The part of a target in absolute form that follows its scheme and authority.
fn after_authority(target: &str) -> Option<&str> {
    let (scheme, rest) = target.split_once("://")?;
    let is_http = scheme.eq_ignore_ascii_case("http") || scheme.eq_ignore_ascii_case("https");
    let end = rest.find(['/', '?', '#']).unwrap_or(rest.len());
    (is_http && end > 0).then(|| &rest[end..])
}

/// Whether a byte may be part of a token (RFC 9110, 5.6.2).
pub(super) fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(is_token_byte)
}
