//! The storage of a voter, in memory and as records for its disk: the consensus library writes through it.
//!
//! The library treats a write as durable once its call has returned. Here the write is applied in memory and
//! recorded; the machine appends the recorded writes to the file on the disk, as one frame, before it sends
//! any message that depends on them.

use crate::configuration::Configuration;
use crate::log::{encode_frame, read_frames, LogError, StoredFrame, StoredFrames, FILE_HEADER};
use crate::policy_state::Entry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

/// One write to the storage of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StorageWrite {
    /// The ballot below which the voter accepts nothing.
    Promise(Ballot),
    /// The ballot of the leader that sent the last entries.
    Accepted(Ballot),
    /// The number of decided entries.
    Decided(usize),
    /// The log contains these entries from this index on, and none after them.
    Entries(usize, Vec<Entry>),
}

/// A frame of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    /// The id of the disk; the first frame of each file.
    Disk(u64),
    /// A configuration begins; writes before it are obsolete.
    Configuration(Box<Configuration>),
    /// Writes that were recorded together.
    Writes(Vec<StorageWrite>),
}

/// The state that a voter has stored in its current configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    entries: Vec<Entry>,
    /// Writes that are not on the disk yet.
    unwritten: Vec<StorageWrite>,
}

impl PersistedState {
    fn apply(&mut self, write: &StorageWrite) {
        match write {
            StorageWrite::Promise(ballot) => self.promise = Some(*ballot),
            StorageWrite::Accepted(ballot) => self.accepted = Some(*ballot),
            StorageWrite::Decided(decided) => self.decided = *decided,
            StorageWrite::Entries(index, entries) => {
                self.entries.truncate(*index);
                self.entries.extend(entries.iter().cloned());
            }
        }
    }

    /// Applies a write in memory and records it for the disk.
    fn record(&mut self, write: StorageWrite) {
        self.apply(&write);
        self.unwritten.push(write);
    }

    /// The writes that turn an empty state into this one.
    fn as_writes(&self) -> Vec<StorageWrite> {
        let mut writes = Vec::new();
        writes.extend(self.promise.map(StorageWrite::Promise));
        writes.extend(self.accepted.map(StorageWrite::Accepted));
        writes.push(StorageWrite::Entries(0, self.entries.clone()));
        writes.push(StorageWrite::Decided(self.decided));
        writes
    }
}

/// Recorded writes, encoded as a frame to append to the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct UnwrittenFrame {
    pub(crate) bytes: Vec<u8>,
    /// Whether the bytes must be synced before a message that depends on them is sent. The number of decided
    /// entries need not be, as it can be learnt again from the other voters.
    pub(crate) must_sync: bool,
}

/// The storage of one configuration, shared by the library and the machine.
#[derive(Clone, Debug, Default)]
pub struct VoterStorage(Arc<Mutex<PersistedState>>);

impl VoterStorage {
    pub(crate) fn new(persisted: PersistedState) -> VoterStorage {
        VoterStorage(Arc::new(Mutex::new(persisted)))
    }

    fn state(&self) -> MutexGuard<'_, PersistedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the writes that were recorded since the last call; `None`: there are none.
    pub(crate) fn take_unwritten(&self) -> Option<UnwrittenFrame> {
        let writes = std::mem::take(&mut self.state().unwritten);
        if writes.is_empty() {
            return None;
        }
        let must_sync = writes.iter().any(|write| !matches!(write, StorageWrite::Decided(_)));
        let bytes = encode_frame(&serialize(&Record::Writes(writes)));
        Some(UnwrittenFrame { bytes, must_sync })
    }

    /// The bytes of a compacted file that holds this state. It includes the recorded writes, which need not
    /// be appended any more.
    pub(crate) fn compacted_file(&self, disk: u64, configuration: Option<&Configuration>) -> Vec<u8> {
        let mut state = self.state();
        state.unwritten.clear();
        let mut file = FILE_HEADER.to_vec();
        file.extend(encode_frame(&serialize(&Record::Disk(disk))));
        if let Some(configuration) = configuration {
            file.extend(encode_frame(&serialize(&Record::Configuration(Box::new(configuration.clone())))));
            file.extend(encode_frame(&serialize(&Record::Writes(state.as_writes()))));
        }
        file
    }

    /// The decided entries from an index on.
    pub(crate) fn decided_from(&self, index: usize) -> Vec<Entry> {
        let state = self.state();
        let end = state.decided.min(state.entries.len());
        state.entries.get(index..end).unwrap_or_default().to_vec()
    }

    /// Whether it holds entries that are not decided.
    pub(crate) fn has_undecided(&self) -> bool {
        let state = self.state();
        state.entries.len() > state.decided
    }

    /// Whether the log holds the entry that ends the configuration, decided or not.
    pub(crate) fn is_ending(&self) -> bool {
        self.state().entries.iter().any(|entry| matches!(entry, Entry::Reconfigure(_)))
    }
}

fn serialize<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialising into memory only fails for sequences of unknown length; there are none here.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The bytes of a voter's file at the beginning of a configuration.
pub fn initial_file(disk: u64, configuration: &Configuration) -> Vec<u8> {
    VoterStorage::default().compacted_file(disk, Some(configuration))
}

/// A configuration, and what a voter had stored in it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredConfiguration {
    /// The configuration.
    pub configuration: Configuration,
    /// The voter's state.
    pub persisted: PersistedState,
}

/// The content of a voter's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The id of the disk; `None`: the file is empty.
    pub disk: Option<u64>,
    /// The last configuration in the file, and what the voter stored in it; `None`: there is none.
    pub configuration: Option<StoredConfiguration>,
    /// Bytes of the file up to the end of its last complete frame.
    pub valid_len: usize,
}

/// Why the state that a voter stored can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file can't be read.
    #[error("byte 0: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The content of the file is rejected.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// Decodes the content of a voter's file.
///
/// # Errors
/// The file is of another version or damaged.
pub fn read(file: &[u8]) -> Result<StoredState, LogError> {
    let StoredFrames { frames, valid_len } = read_frames(file)?;
    let mut stored = StoredState { valid_len, ..StoredState::default() };
    for StoredFrame { offset, content } in frames {
        let record: Record =
            postcard::from_bytes(content).map_err(|source| LogError::NotARecord { offset, source })?;
        match record {
            Record::Disk(id) => stored.disk = Some(id),
            Record::Configuration(configuration) => {
                let persisted = PersistedState::default();
                stored.configuration = Some(StoredConfiguration { configuration: *configuration, persisted });
            }
            Record::Writes(writes) => match &mut stored.configuration {
                Some(current) => writes.iter().for_each(|write| current.persisted.apply(write)),
                None => return Err(LogError::WritesBeforeConfiguration { offset }),
            },
        }
    }
    Ok(stored)
}

impl Storage<Entry> for VoterStorage {
    fn write_atomically(&mut self, operations: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for operation in operations {
            match operation {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(index, entries) => self.append_on_prefix(index, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(decided) => self.set_decided_idx(decided)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                // The log of a configuration is short and ends with the configuration, so it is never
                // trimmed. It ends with an `Entry::Reconfigure` and not with the library's stop sign: the
                // library counts its stop sign again whenever logs are synchronised, and voters would then
                // disagree forever on the length of their logs.
                StorageOp::SetStopsign(_)
                | StorageOp::SetCompactedIdx(_)
                | StorageOp::Trim(_)
                | StorageOp::SetSnapshot(_) => {}
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let mut state = self.state();
        let index = state.entries.len();
        state.record(StorageWrite::Entries(index, entries));
        Ok(())
    }

    fn append_on_prefix(&mut self, index: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.state().record(StorageWrite::Entries(index, entries));
        Ok(())
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.state().record(StorageWrite::Promise(promise));
        Ok(())
    }

    fn set_decided_idx(&mut self, decided: usize) -> StorageResult<()> {
        self.state().record(StorageWrite::Decided(decided));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.state().decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        self.state().record(StorageWrite::Accepted(round));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.state().entries.get(from..to).unwrap_or_default().to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.state().entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.state().entries.get(from..).unwrap_or_default().to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.state().promise)
    }

    fn set_stopsign(&mut self, _: Option<StopSign>) -> StorageResult<()> {
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
