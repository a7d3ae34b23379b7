//! Counters of messages and changes. The metrics publish all of them except `table_full`.

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, excluding UDP and IP headers.
    pub sent_bytes: u64,
    /// Messages accepted.
    pub received: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Messages rejected because they belong to another fleet.
    pub other_fleet: u64,
    /// Messages rejected because of their protocol version.
    pub other_version: u64,
    /// Full states received over TCP.
    pub synchronisations: u64,
    /// Changes of member states.
    pub changes: u64,
    /// Times that a member was not added because the table was full.
    pub table_full: u64,
}
