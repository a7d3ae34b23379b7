//! Counters of a member. The metrics publish all but `table_full`.

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, without UDP and IP headers.
    pub sent_bytes: u64,
    /// Messages accepted.
    pub received: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Messages of another fleet.
    pub other_fleet: u64,
    /// Messages of another protocol version.
    pub other_version: u64,
    /// State synchronisations over TCP.
    pub synchronisations: u64,
    /// Changes of members' states.
    pub changes: u64,
    /// Members that were not added because the table was full.
    pub table_full: u64,
}
