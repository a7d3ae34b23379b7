//! The storage of a voter, in memory and as records for its disk: the consensus library writes through it.
//!
//! The library takes each write for done when its call returns. Here it is done in memory and noted; the machine writes what was noted, as one
//! frame, before any message leaves that rests on it.

use crate::configuration::Configuration;
use crate::log::{frame, frames, LogError, FILE_HEADER};
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
    /// From this index on the log holds these entries.
    Entries(usize, Vec<Entry>),
}

/// A frame of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Record {
    /// Which disk this is; the first frame of each file.
    Disk(u64),
    /// A configuration begins; nothing before it counts.
    Configuration(Box<Configuration>),
    /// What was noted together.
    Writes(Vec<StorageWrite>),
}

/// What a voter has stored in its present configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    entries: Vec<Entry>,
    /// Writes that are not on the disk yet.
    ops: Vec<StorageWrite>,
}

impl PersistedState {
    fn take(&mut self, op: &StorageWrite) {
        match op {
            StorageWrite::Promise(b) => self.promise = Some(*b),
            StorageWrite::Accepted(b) => self.accepted = Some(*b),
            StorageWrite::Decided(n) => self.decided = *n,
            StorageWrite::Entries(at, entries) => {
                self.entries.truncate(*at);
                self.entries.extend(entries.iter().cloned());
            }
        }
    }

    fn note(&mut self, op: StorageWrite) {
        self.take(&op);
        self.ops.push(op);
    }

    /// All of it, as notes.
    fn whole(&self) -> Vec<StorageWrite> {
        let mut ops: Vec<StorageWrite> = self.promise.map(StorageWrite::Promise).into_iter().collect();
        ops.extend(self.accepted.map(StorageWrite::Accepted));
        ops.push(StorageWrite::Entries(0, self.entries.clone()));
        ops.push(StorageWrite::Decided(self.decided));
        ops
    }
}

/// The store of one configuration, shared by the library and the machine.
#[derive(Clone, Debug, Default)]
pub struct VoterStorage(Arc<Mutex<PersistedState>>);

impl VoterStorage {
    pub(crate) fn new(noted: PersistedState) -> VoterStorage {
        VoterStorage(Arc::new(Mutex::new(noted)))
    }

    fn noted(&self) -> MutexGuard<'_, PersistedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is to be written now, and whether it must be synced before anybody hears of it: what is decided can be learnt again.
    pub(crate) fn drain(&self) -> Option<(Vec<u8>, bool)> {
        let ops = std::mem::take(&mut self.noted().ops);
        let sync = ops.iter().any(|op| !matches!(op, StorageWrite::Decided(_)));
        (!ops.is_empty()).then(|| (frame(&pack(&Record::Writes(ops))), sync))
    }

    /// A whole file that says the same.
    pub(crate) fn file(&self, disk: u64, configuration: Option<&Configuration>) -> Vec<u8> {
        let mut noted = self.noted();
        noted.ops.clear();
        let mut file = FILE_HEADER.to_vec();
        file.extend(frame(&pack(&Record::Disk(disk))));
        if let Some(configuration) = configuration {
            file.extend(frame(&pack(&Record::Configuration(Box::new(configuration.clone())))));
            file.extend(frame(&pack(&Record::Writes(noted.whole()))));
        }
        file
    }

    /// Entries that are decided from a place on.
    pub(crate) fn decided_from(&self, at: usize) -> Vec<Entry> {
        let noted = self.noted();
        let upto = noted.decided.min(noted.entries.len());
        noted.entries.get(at..upto).unwrap_or_default().to_vec()
    }

    /// Whether it holds entries that are not decided.
    pub(crate) fn has_undecided(&self) -> bool {
        let noted = self.noted();
        noted.entries.len() > noted.decided
    }

    /// Whether the configuration is to end, decided or not.
    pub(crate) fn is_ending(&self) -> bool {
        self.noted().entries.iter().any(|e| matches!(e, Entry::Reconfigure(_)))
    }
}

fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    // Writing into memory fails for types that say their length only later; there are none here.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// The file of a voter at the beginning of a configuration.
pub fn file_of(disk: u64, configuration: &Configuration) -> Vec<u8> {
    VoterStorage::default().file(disk, Some(configuration))
}

/// What a file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// Which disk it is; `None`: an empty one.
    pub disk: Option<u64>,
    /// The configuration that it is of, and what was noted there.
    pub configuration: Option<(Configuration, PersistedState)>,
    /// Bytes of the file that hold.
    pub valid_len: usize,
}

/// Why the state that a voter stored can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file can't be read.
    #[error("byte 0: {0}")]
    Unreadable(#[source] std::io::Error),
    /// Its content is refused.
    #[error(transparent)]
    Log(#[from] LogError),
}

/// Reads a file.
///
/// # Errors
/// Where it is damaged.
pub fn read(file: &[u8]) -> Result<StoredState, LogError> {
    let (all, held) = frames(file)?;
    let mut found = StoredState { valid_len: held, ..StoredState::default() };
    for (at, content) in all {
        let record: Record =
            postcard::from_bytes(content).map_err(|source| LogError::NotARecord { offset: at, source })?;
        match record {
            Record::Disk(id) => found.disk = Some(id),
            Record::Configuration(configuration) => {
                found.configuration = Some((*configuration, PersistedState::default()));
            }
            Record::Writes(ops) => match &mut found.configuration {
                Some((_, noted)) => ops.iter().for_each(|op| noted.take(op)),
                None => return Err(LogError::WritesBeforeConfiguration { offset: at }),
            },
        }
    }
    Ok(found)
}

impl Storage<Entry> for VoterStorage {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(at, entries) => self.append_on_prefix(at, entries)?,
                StorageOp::SetPromise(b) => self.set_promise(b)?,
                StorageOp::SetDecidedIndex(n) => self.set_decided_idx(n)?,
                StorageOp::SetAcceptedRound(b) => self.set_accepted_round(b)?,
                // A configuration's log is short and ends with the configuration: it is never trimmed. It ends by an entry of its own: the library's
                // sign counts once more at each new exchange of logs, and voters then disagree for ever on how far they are.
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
        let mut noted = self.noted();
        let at = noted.entries.len();
        noted.note(StorageWrite::Entries(at, entries));
        Ok(())
    }

    fn append_on_prefix(&mut self, at: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.noted().note(StorageWrite::Entries(at, entries));
        Ok(())
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        self.noted().note(StorageWrite::Promise(promise));
        Ok(())
    }

    fn set_decided_idx(&mut self, n: usize) -> StorageResult<()> {
        self.noted().note(StorageWrite::Decided(n));
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.noted().decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        self.noted().note(StorageWrite::Accepted(round));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.noted().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.noted().entries.get(from..to).unwrap_or_default().to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.noted().entries.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.noted().entries.get(from..).unwrap_or_default().to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.noted().promise)
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
