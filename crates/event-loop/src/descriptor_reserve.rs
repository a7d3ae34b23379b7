//! Descriptors that are kept free for connections that the machines open.

use std::fs::File;

/// How many descriptors are reserved; accepted connections may use up all others.
const RESERVED_DESCRIPTORS: usize = 4;
/// A file that can be opened any number of times.
const PLACEHOLDER: &str = "/dev/null";

/// Open placeholder files. They are closed one by one when the process has no other descriptor left for an
/// outgoing connection.
#[derive(Default)]
pub(crate) struct DescriptorReserve(Vec<File>);

impl DescriptorReserve {
    /// Refills the reserve, as far as the descriptor limit of the process allows.
    pub(crate) fn refill(&mut self) {
        while self.0.len() < RESERVED_DESCRIPTORS {
            let Ok(file) = File::open(PLACEHOLDER) else { return };
            self.0.push(file);
        }
    }

    /// Closes a placeholder, so that another descriptor can be opened. False if none is left.
    pub(crate) fn give_up_one(&mut self) -> bool {
        self.0.pop().is_some()
    }
}
