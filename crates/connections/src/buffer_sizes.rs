//! The memory that the buffers of a router's connections take together.

use slipreel_state_machine::ConnId;
use std::collections::HashMap;

/// The sizes of connections' buffers, and their sum.
///
/// A connection is measured again only after it was marked as changed, so that the sum costs the same however
/// many connections there are.
#[derive(Debug, Default)]
pub struct BufferSizes {
    by_conn: HashMap<ConnId, usize>,
    total: usize,
    changed: Vec<ConnId>,
}

impl BufferSizes {
    /// Has [`BufferSizes::total`] measure a connection that is being changed, added or removed.
    pub fn mark_changed(&mut self, conn: ConnId) {
        if self.changed.last() != Some(&conn) {
            self.changed.push(conn);
        }
    }

    /// The sum in bytes. `size_of` measures a connection; one that was removed has size 0.
    pub fn total(&mut self, size_of: impl Fn(ConnId) -> usize) -> usize {
        for conn in self.changed.drain(..) {
            let size = size_of(conn);
            let previous = match size {
                0 => self.by_conn.remove(&conn),
                _ => self.by_conn.insert(conn, size),
            };
            self.total = self.total + size - previous.unwrap_or(0);
        }
        self.total
    }
}

#[cfg(test)]
mod tests;
