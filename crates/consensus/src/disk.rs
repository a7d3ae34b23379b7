//! The durable file of a voter: the interface to the disk, and what happens while it can't be written.

use crate::configuration::Configuration;
use crate::storage::VoterStorage;
use crate::timing;
use crate::voter::Voter;
use std::io;
use std::time::Duration;

/// Where a voter keeps what it must not forget. A call that returns without an error has been carried out for good.
pub trait Disk: Send {
    /// Appends to the file. `sync`: the bytes must outlast a crash from now on.
    ///
    /// # Errors
    /// Why it could not; the content of the file is unknown then, and [`Disk::replace`] comes next.
    fn append(&mut self, bytes: &[u8], sync: bool) -> io::Result<()>;
    /// Replaces the whole file atomically: a crash leaves either the old or the new content.
    ///
    /// # Errors
    /// Why it could not.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A write that failed.
struct WriteFailure {
    at: Duration,
    error: io::Error,
}

/// What came of writing the storage's new content.
pub(crate) enum Persisted {
    /// All of it is on the disk.
    Yes,
    /// All of it is on the disk again, after writes that failed.
    Recovered,
    /// The write failed now.
    Failed,
    /// An earlier write failed, and it is not time to try again or it failed again.
    StillFailing,
}

/// The file of this router as a voter. While it can't be written the router must send nothing that rests on its votes.
pub(crate) struct DurableFile {
    disk: Box<dyn Disk>,
    failure: Option<WriteFailure>,
}

impl DurableFile {
    pub(crate) fn new(disk: Box<dyn Disk>) -> DurableFile {
        DurableFile { disk, failure: None }
    }

    /// Whether all that the voter has stored is on the disk, as far as is known.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failure.is_none()
    }

    /// Why the last write failed.
    pub(crate) fn error(&self) -> Option<&io::Error> {
        self.failure.as_ref().map(|failure| &failure.error)
    }

    /// Writes the whole file, with what was stored in memory alone until now.
    pub(crate) fn rewrite(&mut self, now: Duration, disk_id: u64, voter: Option<&Voter>) {
        let empty = VoterStorage::default();
        let (storage, configuration): (&VoterStorage, Option<&Configuration>) = match voter {
            Some(voter) => (voter.storage(), Some(&voter.configuration)),
            None => (&empty, None),
        };
        let file = storage.file(disk_id, configuration);
        self.failure = self.disk.replace(&file).err().map(|error| WriteFailure { at: now, error });
    }

    /// Writes what was stored since the last call.
    pub(crate) fn persist(&mut self, now: Duration, disk_id: u64, voter: Option<&Voter>) -> Persisted {
        if let Some(failure) = &self.failure {
            if now < failure.at + timing::DISK_RETRY_INTERVAL {
                return Persisted::StillFailing;
            }
            self.rewrite(now, disk_id, voter);
            return if self.is_healthy() { Persisted::Recovered } else { Persisted::StillFailing };
        }
        let Some(unwritten) = voter.and_then(|voter| voter.storage().take_unwritten()) else {
            return Persisted::Yes;
        };
        match self.disk.append(&unwritten.bytes, unwritten.must_sync) {
            Ok(()) => Persisted::Yes,
            Err(error) => {
                self.failure = Some(WriteFailure { at: now, error });
                Persisted::Failed
            }
        }
    }
}
