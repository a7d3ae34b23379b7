//! The body of a request that is being received.

/// Size of all segments but the first, which may be smaller, in bytes.
const SEGMENT_SIZE: usize = 16 << 10;

/// The pieces of an incomplete body.
///
/// They are kept in segments of one size. A vector that grows would be copied again and again, and leave gaps
/// of all sizes in the heap, which together take as much memory as the bodies themselves.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    segments: Vec<Vec<u8>>,
}

impl BodyBuffer {
    /// Memory that it takes, in bytes.
    pub(crate) fn capacity(&self) -> usize {
        match self.segments.as_slice() {
            [] => 0,
            [only] => only.capacity(),
            [first, others @ ..] => first.capacity() + others.len() * SEGMENT_SIZE,
        }
    }

    /// Appends a piece.
    pub(crate) fn push(&mut self, piece: &[u8]) {
        let last_has_space = |last: &Vec<u8>| last.len() < SEGMENT_SIZE;
        let mut rest = piece;
        if let Some(last) = self.segments.last_mut().filter(|last| last_has_space(last)) {
            let (fitting, remaining) = rest.split_at(rest.len().min(SEGMENT_SIZE - last.len()));
            last.extend_from_slice(fitting);
            rest = remaining;
        }
        for segment in rest.chunks(SEGMENT_SIZE) {
            let capacity = if self.segments.is_empty() { segment.len() } else { SEGMENT_SIZE };
            let mut bytes = Vec::with_capacity(capacity);
            bytes.extend_from_slice(segment);
            self.segments.push(bytes);
        }
    }

    /// Removes and returns the complete body.
    pub(crate) fn take(&mut self) -> Vec<u8> {
        let mut segments = std::mem::take(&mut self.segments);
        if segments.len() > 1 {
            return segments.concat();
        }
        let mut body = segments.pop().unwrap_or_default();
        body.shrink_to_fit();
        body
    }
}

#[cfg(test)]
mod tests;
