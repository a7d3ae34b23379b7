//! A disk in memory. After a crash it holds what was synced, and it fails as real disks do.

use slipreel_consensus::log::encode_frame;
use slipreel_consensus::policy_state::PolicyState;
use slipreel_consensus::storage::{initial_file, read, StoredConfiguration, StoredState};
use slipreel_consensus::{Configuration, Disk};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Default)]
struct DiskState {
    synced: Vec<u8>,
    written: Vec<u8>,
    full: bool,
    /// Defect for tests of the judges: a sync is reported and does not take place.
    skips_syncs: bool,
    /// Defect for tests of the judges: nothing that is written from now on is kept.
    keeps_contents: bool,
    /// Defect for tests of the judges: a replaced file is stored without the initial state of its
    /// configuration.
    drops_initial_state: bool,
}

/// A disk that outlives its process.
#[derive(Clone, Default)]
pub struct SimulatedDisk(Arc<Mutex<DiskState>>);

impl SimulatedDisk {
    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The contents that a new process finds: what was synced before the previous one ended.
    pub fn contents_after_restart(&self) -> Vec<u8> {
        let mut state = self.state();
        state.written = state.synced.clone();
        state.synced.clone()
    }

    /// Loses all contents.
    pub fn erase(&self) {
        let mut state = self.state();
        (state.synced, state.written) = (Vec::new(), Vec::new());
    }

    /// Makes every write fail for lack of space, or lets writes succeed again.
    pub fn set_full(&self, full: bool) {
        self.state().full = full;
    }

    /// Appends an incomplete frame, as a process leaves it that ends during a write.
    pub fn append_torn_frame(&self) {
        let half = encode_frame(&[7; 40]);
        self.state().synced.extend(&half[..29]);
    }

    /// From now on a crash loses what was reported as synced.
    pub fn skip_syncs(&self) {
        self.state().skips_syncs = true;
    }

    /// From now on a replaced file is stored without the initial state of its configuration.
    pub fn drop_initial_state(&self) {
        self.state().drops_initial_state = true;
    }

    /// From now on a new process finds the present contents, whatever is written.
    pub fn keep_contents(&self) {
        self.state().keeps_contents = true;
    }
}

/// The file without the initial state of its configuration.
fn without_initial_state(file: &[u8]) -> Vec<u8> {
    match read(file) {
        Ok(StoredState {
            disk: Some(disk),
            configuration: Some(StoredConfiguration { configuration, .. }),
            ..
        }) => initial_file(disk, &Configuration { initial_state: PolicyState::default(), ..configuration }),
        _ => file.to_vec(),
    }
}

impl Disk for SimulatedDisk {
    fn append(&mut self, bytes: &[u8], sync: bool) -> std::io::Result<()> {
        let mut state = self.state();
        if state.full {
            return Err(std::io::Error::other("no space left on device"));
        }
        state.written.extend(bytes);
        if sync && !state.skips_syncs && !state.keeps_contents {
            state.synced = state.written.clone();
        }
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let mut state = self.state();
        if state.full {
            return Err(std::io::Error::other("no space left on device"));
        }
        let bytes = &if state.drops_initial_state { without_initial_state(bytes) } else { bytes.to_vec() };
        state.written = bytes.clone();
        if !state.skips_syncs && !state.keeps_contents {
            state.synced.clone_from(bytes);
        }
        Ok(())
    }
}
