//! A disk in memory: it keeps what was synced when its process is killed, and fails as disks do.

use slipreel_consensus::log::encode_frame;
use slipreel_consensus::policy_state::PolicyState;
use slipreel_consensus::storage::{initial_file, read, StoredConfiguration, StoredState};
use slipreel_consensus::{Configuration, Disk};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct Inside {
    synced: Vec<u8>,
    written: Vec<u8>,
    full: bool,
    /// It says that it has synced and has not: for proving that somebody notices.
    lies: bool,
    /// It keeps its first file for ever: for proving that somebody notices.
    stuck: bool,
    /// It keeps of a whole file all but the state that a configuration begins on: for proving that somebody notices.
    blank: bool,
}

/// A disk that outlives its process.
#[derive(Clone, Default)]
pub struct Platter(Arc<Mutex<Inside>>);

impl Platter {
    fn inside(&self) -> MutexGuard<'_, Inside> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What a new process finds: what was synced before the last one ended.
    pub fn found(&self) -> Vec<u8> {
        let mut inside = self.inside();
        inside.written = inside.synced.clone();
        inside.synced.clone()
    }

    /// Everything on it is lost.
    pub fn lose(&self) {
        let mut inside = self.inside();
        (inside.synced, inside.written) = (Vec::new(), Vec::new());
    }

    /// It takes no writes any more, or does again.
    pub fn fill(&self, full: bool) {
        self.inside().full = full;
    }

    /// Its process has ended in the midst of a write.
    pub fn tear(&self) {
        let half = encode_frame(&[7; 40]);
        self.inside().synced.extend(&half[..29]);
    }

    /// From now on it forgets at a crash what it said that it had synced.
    pub fn lie(&self) {
        self.inside().lies = true;
    }

    /// From now on it keeps of a whole file all but the state that a configuration begins on.
    pub fn blank(&self) {
        self.inside().blank = true;
    }

    /// From now on it keeps what it has.
    pub fn stick(&self) {
        self.inside().stuck = true;
    }
}

/// A file without the state that its configuration begins on.
fn emptied(file: &[u8]) -> Vec<u8> {
    match read(file) {
        Ok(StoredState {
            disk: Some(disk),
            configuration: Some(StoredConfiguration { configuration, .. }),
            ..
        }) => initial_file(disk, &Configuration { initial_state: PolicyState::default(), ..configuration }),
        _ => file.to_vec(),
    }
}

impl Disk for Platter {
    fn append(&mut self, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        let mut inside = self.inside();
        if inside.full {
            return Err(std::io::Error::other("no space left on device"));
        }
        inside.written.extend(bytes);
        if sync && !inside.lies && !inside.stuck {
            inside.synced = inside.written.clone();
        }
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let mut inside = self.inside();
        if inside.full {
            return Err(std::io::Error::other("no space left on device"));
        }
        let bytes = &if inside.blank { emptied(bytes) } else { bytes.to_vec() };
        inside.written = bytes.clone();
        if !inside.lies && !inside.stuck {
            inside.synced.clone_from(bytes);
        }
        Ok(())
    }
}
