//! The gossip messages by which the routers of one fleet track each other, and their codec.
//!
//! A [`Message`] is sent in a datagram if it fits, and otherwise over TCP after its length ([`frame`]). It is
//! encoded as `slFT`, a version, a checksum over the rest, then the header and three lists: member records,
//! heartbeats, requested ids. Numbers are variable-length (seven bits per byte, least significant first)
//! unless stated otherwise. The claimed length of a list allocates nothing, and must not exceed the bytes
//! that remain. A message that can't be decoded completely is rejected.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: [u8; 4] = *b"slFT";
/// The protocol version of this build. Messages of other versions are rejected.
pub const VERSION: u8 = 1;
/// The longest name of a fleet or a member, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// The longest message that is accepted, in bytes.
pub const MAX_MESSAGE_LEN: usize = 1 << 20;
/// Bytes before the checksummed content: magic, version and checksum.
const PREFIX_LEN: usize = 9;

/// What one incarnation of a member (a process, from its start to its end) announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member's name.
    pub name: String,
    /// Incarnation number: increases with each start of the member, as long as its folder is kept.
    pub incarnation: u64,
    /// Drawn at random when the process starts; distinguishes two processes with the same name and
    /// incarnation.
    pub nonce: u64,
    /// The address at which the member can be reached, as it announces.
    pub address: SocketAddr,
    /// The number of routers that the process runs.
    pub routers: u32,
    /// The member has left, which is final for this incarnation.
    pub has_left: bool,
}

impl MemberRecord {
    /// The id of this incarnation in [`Heartbeat`]s: a hash of incarnation, nonce and name.
    pub fn id(&self) -> u64 {
        let mut bytes = Vec::with_capacity(MAX_NAME_LEN + 16);
        bytes.extend(self.incarnation.to_be_bytes());
        bytes.extend(self.nonce.to_be_bytes());
        bytes.extend(self.name.as_bytes());
        xxh3_64(&bytes)
    }
}

/// The latest known round of one incarnation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// [`MemberRecord::id`] of the incarnation.
    pub record_id: u64,
    /// The number of rounds that the incarnation has completed; never decreases.
    pub round: u32,
    /// The time since the sender first learned of that round, in milliseconds.
    pub age_ms: u32,
}

/// What the sender of a message requests, and how complete the message is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// The sender requests the receiver's full state (push-pull anti-entropy).
    pub wants_full_state: bool,
    /// The full state does not fit in a datagram: the receiver should synchronise over TCP.
    pub exceeds_datagram: bool,
    /// The message holds all members that the sender knows.
    pub is_full_state: bool,
}

impl Flags {
    fn to_bits(self) -> u8 {
        u8::from(self.wants_full_state)
            | u8::from(self.exceeds_datagram) << 1
            | u8::from(self.is_full_state) << 2
    }

    fn from_bits(bits: u8) -> Flags {
        Flags {
            wants_full_state: bits & 1 != 0,
            exceeds_datagram: bits & 2 != 0,
            is_full_state: bits & 4 != 0,
        }
    }
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The fleet's name.
    pub fleet: String,
    /// The sender.
    pub sender: MemberRecord,
    /// The number of rounds that the sender has completed.
    pub round: u32,
    /// A hash of the sender's view; equal views have equal digests.
    pub digest: u64,
    /// What the sender requests, and how complete the message is.
    pub flags: Flags,
    /// Full records of members.
    pub records: Vec<MemberRecord>,
    /// Latest rounds of members.
    pub heartbeats: Vec<Heartbeat>,
    /// Ids that the sender knows only from heartbeats, and whose records it requests.
    pub requested_ids: Vec<u64>,
}

/// Why bytes could not be decoded as a [`Message`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes do not begin with the magic bytes.
    #[error("not a message of a fleet")]
    NotAMessage,
    /// The bytes are of another protocol version: the one found.
    #[error("version {0}: expected {VERSION}")]
    Version(u8),
    /// The checksum does not match: changed or truncated in transit.
    #[error("changed or cut short on the way")]
    Checksum,
    /// The checksum matches but the content is malformed: what was expected.
    #[error("expected {0}")]
    Content(&'static str),
    /// Longer than [`MAX_MESSAGE_LEN`]: the length found or claimed, in bytes.
    #[error("{0} bytes: expected {MAX_MESSAGE_LEN} at most")]
    TooLong(usize),
}

fn put_number(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    put_number(out, text.len() as u64);
    out.extend(text.as_bytes());
}

fn put_record(out: &mut Vec<u8>, record: &MemberRecord) {
    put_text(out, &record.name);
    put_number(out, record.incarnation);
    out.extend(record.nonce.to_be_bytes());
    match record.address.ip() {
        IpAddr::V4(ip) => {
            out.push(4);
            out.extend(ip.octets());
        }
        IpAddr::V6(ip) => {
            out.push(6);
            out.extend(ip.octets());
        }
    }
    out.extend(record.address.port().to_be_bytes());
    put_number(out, u64::from(record.routers));
    out.push(u8::from(record.has_left));
}

/// The longest encoding of a member record without its name, in bytes.
pub const MAX_RECORD_LEN_WITHOUT_NAME: usize = 1 + 10 + 8 + 1 + 16 + 2 + 5 + 1;
/// The longest encoding of a heartbeat, in bytes.
pub const MAX_HEARTBEAT_LEN: usize = 8 + 5 + 5;

impl Message {
    /// Encodes the message as the content of a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut out =
            Vec::with_capacity(256 + MAX_HEARTBEAT_LEN * self.heartbeats.len() + 64 * self.records.len());
        out.extend(MAGIC);
        out.push(VERSION);
        out.extend([0; 4]);
        put_text(&mut out, &self.fleet);
        put_record(&mut out, &self.sender);
        put_number(&mut out, u64::from(self.round));
        out.extend(self.digest.to_be_bytes());
        out.push(self.flags.to_bits());
        put_number(&mut out, self.records.len() as u64);
        self.records.iter().for_each(|record| put_record(&mut out, record));
        put_number(&mut out, self.heartbeats.len() as u64);
        for heartbeat in &self.heartbeats {
            out.extend(heartbeat.record_id.to_be_bytes());
            put_number(&mut out, u64::from(heartbeat.round));
            put_number(&mut out, u64::from(heartbeat.age_ms));
        }
        put_number(&mut out, self.requested_ids.len() as u64);
        self.requested_ids.iter().for_each(|id| out.extend(id.to_be_bytes()));
        let checksum = xxh3_64(&out[PREFIX_LEN..]) as u32;
        out[5..PREFIX_LEN].copy_from_slice(&checksum.to_be_bytes());
        out
    }

    /// Decodes the content of a datagram.
    ///
    /// # Errors
    /// The bytes are not a complete message of this version.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_MESSAGE_LEN {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        if bytes.len() < PREFIX_LEN || bytes[..4] != MAGIC {
            return Err(DecodeError::NotAMessage);
        }
        if bytes[4] != VERSION {
            return Err(DecodeError::Version(bytes[4]));
        }
        let (prefix, content) = bytes.split_at(PREFIX_LEN);
        if prefix[5..] != (xxh3_64(content) as u32).to_be_bytes() {
            return Err(DecodeError::Checksum);
        }
        let mut cursor = Cursor(content);
        let fleet = cursor.name()?;
        let sender = cursor.record()?;
        let round = cursor.number_u32()?;
        let digest = cursor.fixed_u64()?;
        let flags = Flags::from_bits(cursor.byte()?);
        let records = cursor.list(Cursor::record)?;
        let heartbeats = cursor.list(Cursor::heartbeat)?;
        let requested_ids = cursor.list(Cursor::fixed_u64)?;
        if !cursor.0.is_empty() {
            return Err(DecodeError::Content("the end of the message"));
        }
        Ok(Message { fleet, sender, round, digest, flags, records, heartbeats, requested_ids })
    }
}

/// A cursor over the bytes that are still to be decoded.
struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self.0.split_at_checked(n).ok_or(DecodeError::Content("more bytes"))?;
        self.0 = rest;
        Ok(taken)
    }

    fn bytes<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        self.take(N)?.try_into().map_err(|_| DecodeError::Content("more bytes"))
    }

    fn byte(&mut self) -> Result<u8, DecodeError> {
        Ok(self.take(1)?[0])
    }

    fn fixed_u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from_be_bytes(self.bytes()?))
    }

    fn number(&mut self) -> Result<u64, DecodeError> {
        let mut n = 0;
        for shift in (0..64).step_by(7) {
            let byte = self.byte()?;
            let part = u64::from(byte & 0x7f);
            if shift == 63 && part > 1 {
                break;
            }
            n |= part << shift;
            if byte & 0x80 == 0 {
                return Ok(n);
            }
        }
        Err(DecodeError::Content("a number of 64 bits"))
    }

    fn number_u32(&mut self) -> Result<u32, DecodeError> {
        u32::try_from(self.number()?).map_err(|_| DecodeError::Content("a number of 32 bits"))
    }

    /// Decodes the name of a fleet or a member.
    fn name(&mut self) -> Result<String, DecodeError> {
        let expected = DecodeError::Content("a name of 1 to 64 letters, digits, '.', '-' and '_'");
        let n = self.number()?;
        if n == 0 || n > MAX_NAME_LEN as u64 {
            return Err(expected);
        }
        let bytes = self.take(n as usize)?;
        let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || b"._-".contains(b);
        let text = std::str::from_utf8(bytes).ok().filter(|_| bytes.iter().all(is_allowed));
        text.map(str::to_owned).ok_or(expected)
    }

    fn record(&mut self) -> Result<MemberRecord, DecodeError> {
        let name = self.name()?;
        let incarnation = self.number()?;
        let nonce = self.fixed_u64()?;
        let ip = match self.byte()? {
            4 => IpAddr::V4(Ipv4Addr::from(self.bytes::<4>()?)),
            6 => IpAddr::V6(Ipv6Addr::from(self.bytes::<16>()?)),
            _ => return Err(DecodeError::Content("an address of version 4 or 6")),
        };
        let port = u16::from_be_bytes(self.bytes()?);
        let routers = self.number_u32()?;
        let has_left = self.byte()? != 0;
        Ok(MemberRecord { name, incarnation, nonce, address: SocketAddr::new(ip, port), routers, has_left })
    }

    fn heartbeat(&mut self) -> Result<Heartbeat, DecodeError> {
        let record_id = self.fixed_u64()?;
        let round = self.number_u32()?;
        let age_ms = self.number_u32()?;
        Ok(Heartbeat { record_id, round, age_ms })
    }

    fn list<T>(
        &mut self, mut decode_entry: impl FnMut(&mut Self) -> Result<T, DecodeError>,
    ) -> Result<Vec<T>, DecodeError> {
        let n = self.number()?;
        // Every entry takes at least one byte: a longer list is rejected before any entry is decoded.
        if n > self.0.len() as u64 {
            return Err(DecodeError::Content("more bytes"));
        }
        let mut list = Vec::new();
        for _ in 0..n {
            list.push(decode_entry(self)?);
        }
        Ok(list)
    }
}

/// Encodes a message for TCP: four bytes of length (big-endian), then the content of a datagram.
pub fn frame(message: &Message) -> Vec<u8> {
    let bytes = message.encode();
    let mut out = (bytes.len() as u32).to_be_bytes().to_vec();
    out.extend(bytes);
    out
}

/// Decodes one message from the beginning of the bytes received over TCP; `None`: it is not complete yet.
///
/// # Errors
/// The bytes are not a message of this version, or the claimed length is too long.
pub fn unframe(received: &[u8]) -> Result<Option<Message>, DecodeError> {
    let Some((length, rest)) = received.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_MESSAGE_LEN {
        return Err(DecodeError::TooLong(length));
    }
    rest.get(..length).map(Message::decode).transpose()
}

#[cfg(test)]
mod tests;
