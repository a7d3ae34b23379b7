//! The durable file of a voter: the interface to the disk, and the handling of failed writes.

use crate::configuration::Configuration;
use crate::storage::VoterStorage;
use crate::timing;
use crate::voter::Voter;
use std::io;
use std::time::Duration;

/// The durable storage of a voter. A call that returns without an error has been carried out.
pub trait Disk: Send {
    /// Appends to the file. `sync`: the bytes must survive a crash once the call has returned; otherwise a
    /// crash may lose them.
    ///
    /// # Errors
    /// Why the bytes could not be written. The content of the file is then unknown, and the caller calls
    /// [`Disk::replace`] next.
    fn append(&mut self, bytes: &[u8], sync: bool) -> io::Result<()>;
    /// Replaces the whole file atomically: a crash leaves either the old or the new content.
    ///
    /// # Errors
    /// Why the file could not be replaced.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A write that failed.
struct WriteFailure {
    failed_at: Duration,
    error: io::Error,
}

/// The result of [`DurableFile::persist`].
pub(crate) enum Persisted {
    /// All state is on the disk.
    Written,
    /// All state is on the disk again, after writes that failed.
    Recovered,
    /// This write failed.
    Failed,
    /// An earlier write failed, and the next attempt is not due yet or has failed as well.
    StillFailing,
}

/// The file that holds this router's state as a voter. While it can't be written, the router must send
/// nothing that depends on that state.
pub(crate) struct DurableFile {
    disk: Box<dyn Disk>,
    failure: Option<WriteFailure>,
}

impl DurableFile {
    pub(crate) fn new(disk: Box<dyn Disk>) -> DurableFile {
        DurableFile { disk, failure: None }
    }

    /// Whether the last write succeeded.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failure.is_none()
    }

    /// Why the last write failed.
    pub(crate) fn error(&self) -> Option<&io::Error> {
        self.failure.as_ref().map(|failure| &failure.error)
    }

    /// Writes the whole file, including state that has only been in memory until now.
    pub(crate) fn rewrite(&mut self, now: Duration, disk_id: u64, voter: Option<&Voter>) {
        let empty = VoterStorage::default();
        let (storage, configuration): (&VoterStorage, Option<&Configuration>) = match voter {
            Some(voter) => (voter.storage(), Some(&voter.configuration)),
            None => (&empty, None),
        };
        let file = storage.compacted_file(disk_id, configuration);
        self.failure = self.disk.replace(&file).err().map(|error| WriteFailure { failed_at: now, error });
    }

    /// Writes the state that was recorded since the last call. After a failed write, rewrites the whole file
    /// once the next attempt is due.
    pub(crate) fn persist(&mut self, now: Duration, disk_id: u64, voter: Option<&Voter>) -> Persisted {
        if let Some(failure) = &self.failure {
            if now < failure.failed_at + timing::DISK_RETRY_INTERVAL {
                return Persisted::StillFailing;
            }
            self.rewrite(now, disk_id, voter);
            return if self.is_healthy() { Persisted::Recovered } else { Persisted::StillFailing };
        }
        let Some(unwritten) = voter.and_then(|voter| voter.storage().take_unwritten()) else {
            return Persisted::Written;
        };
        match self.disk.append(&unwritten.bytes, unwritten.must_sync) {
            Ok(()) => Persisted::Written,
            Err(error) => {
                self.failure = Some(WriteFailure { failed_at: now, error });
                Persisted::Failed
            }
        }
    }
}
