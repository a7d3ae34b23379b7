//! Descriptors that are kept free for connections that the machines open.

use std::fs::File;

/// Descriptors kept: connections that come in may take all others.
const RESERVED_DESCRIPTORS: usize = 4;
/// A file that can be opened any number of times.
const PLACEHOLDER: &str = "/dev/null";

/// Open descriptors of a placeholder, given up one by one where the process has no other left to connect with.
#[derive(Default)]
pub(crate) struct DescriptorReserve(Vec<File>);

impl DescriptorReserve {
    /// Opens what is missing, as far as the process may.
    pub(crate) fn refill(&mut self) {
        while self.0.len() < RESERVED_DESCRIPTORS {
            let Ok(file) = File::open(PLACEHOLDER) else { return };
            self.0.push(file);
        }
    }

    /// Closes one, so that another descriptor can be opened. False if none is left.
    pub(crate) fn give_up_one(&mut self) -> bool {
        self.0.pop().is_some()
    }
}
