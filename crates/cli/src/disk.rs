//! The consensus log of a voter on disk: a file that is appended to and synced, or replaced atomically.

use rustix::fs::FlockOperation;
use slipreel_consensus::Disk;
use std::fs::File;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

/// The name of the log file in the folder that `[fleet]` sets.
const FILE_NAME: &str = "accord";
/// A file of this many bytes or more is rejected: logs that this program writes are always shorter.
const MAX_FILE_LEN: u64 = 1 << 30;

/// The folder that holds a voter's log file.
pub(crate) struct Folder {
    folder: PathBuf,
    file: Option<File>,
}

impl Folder {
    /// The folder at this path, which need not exist yet.
    pub(crate) fn new(folder: &Path) -> Folder {
        Folder { folder: folder.to_owned(), file: None }
    }

    /// Locks the folder for this process until the returned file is closed. A second process on the same
    /// folder would vote with the promises of the first one.
    ///
    /// # Errors
    /// Another process has locked the folder, or it can't be created.
    pub(crate) fn lock(folder: &Path) -> std::io::Result<File> {
        std::fs::create_dir_all(folder)?;
        let lock = File::options().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        rustix::fs::flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(lock)
    }

    /// Reads the log file; empty if there is none.
    pub(crate) fn read(folder: &Path) -> std::io::Result<Vec<u8>> {
        let file = match File::open(folder.join(FILE_NAME)) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
            other => other?,
        };
        let mut bytes = Vec::new();
        file.take(MAX_FILE_LEN).read_to_end(&mut bytes)?;
        if bytes.len() as u64 == MAX_FILE_LEN {
            return Err(std::io::Error::other(format!(
                "{FILE_NAME}: expected fewer than {MAX_FILE_LEN} bytes"
            )));
        }
        Ok(bytes)
    }

    fn try_append(&mut self, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        // Data written to a file that was removed while the router runs would be lost.
        if !self.folder.join(FILE_NAME).exists() {
            return Err(std::io::Error::other(format!(
                "{}/{FILE_NAME} is not there any more",
                self.folder.display()
            )));
        }
        if self.file.is_none() {
            self.file = Some(File::options().append(true).open(self.folder.join(FILE_NAME))?);
        }
        let Some(file) = &mut self.file else { return Ok(()) };
        file.write_all(bytes)?;
        if sync {
            file.sync_data()?;
        }
        Ok(())
    }

    fn try_replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.file = None;
        std::fs::create_dir_all(&self.folder)?;
        let new_file = self.folder.join(format!("{FILE_NAME}.new"));
        let mut file = File::create(&new_file)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        drop(file);
        std::fs::rename(&new_file, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }
}

impl Disk for Folder {
    fn append(&mut self, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        let result = self.try_append(bytes, sync);
        if result.is_err() {
            self.file = None;
        }
        result
    }

    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.try_replace(bytes)
    }
}
