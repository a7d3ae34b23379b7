//! The format of the durable log: one frame for each atomic write, so that a crash during a write loses that
//! write and no other.
//!
//! A file is a line that names its version, then frames: length, checksum (xxh3 of the length and the
//! content), content. An incomplete last frame was never acknowledged to any peer, and is discarded. A
//! damaged frame followed by complete ones means that the file is corrupt, and the file is rejected: a voter
//! that has lost a promise must not vote.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first line of a file that this build writes.
pub const FILE_HEADER: &[u8] = b"slipreel accord 1\n";
const FRAME_HEADER_LEN: usize = 12;
/// The longest frame, bytes.
pub const MAX_FRAME_LEN: usize = 64 << 20;
/// The most bytes of the first line that the error about another version shows.
const MAX_SHOWN_VERSION_LEN: usize = 80;

/// Why a log file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The file is of another version.
    #[error("{0:?}: expected {expected:?}", expected = String::from_utf8_lossy(FILE_HEADER).trim_end())]
    Version(
        /// Its first line.
        String,
    ),
    /// A damaged frame is followed by complete ones.
    #[error("byte {0}: a damaged frame with others behind it")]
    DamagedFrame(
        /// Where it begins, bytes from the start of the file.
        usize,
    ),
    /// The content of a complete frame is not a record.
    #[error("byte {offset}: a whole frame that is no record: {source}")]
    NotARecord {
        /// Where the frame begins, bytes from the start of the file.
        offset: usize,
        /// What was wrong with its content.
        source: postcard::Error,
    },
    /// A record of writes precedes the record of the configuration that they belong to.
    #[error("byte {offset}: notes before a configuration: expected its terms first")]
    WritesBeforeConfiguration {
        /// Where its frame begins, bytes from the start of the file.
        offset: usize,
    },
}

fn checksum_of(len: u32, content: &[u8]) -> u64 {
    xxh3_64_with_seed(content, u64::from(len))
}

/// Encodes a frame with this content.
pub fn encode_frame(content: &[u8]) -> Vec<u8> {
    let len = content.len() as u32;
    let mut out = Vec::with_capacity(FRAME_HEADER_LEN + content.len());
    out.extend(len.to_be_bytes());
    out.extend(checksum_of(len, content).to_be_bytes());
    out.extend(content);
    out
}

/// A complete frame of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredFrame<'a> {
    /// Where the frame begins, bytes from the start of the file.
    pub offset: usize,
    /// The bytes that it carries.
    pub content: &'a [u8],
}

/// The complete frames of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredFrames<'a> {
    /// The frames, in the order of the file.
    pub frames: Vec<StoredFrame<'a>>,
    /// Bytes of the file up to the end of the last complete frame. The process ended while it wrote the bytes
    /// after it.
    pub valid_len: usize,
}

/// Reads the frames of a file.
///
/// # Errors
/// The file is of another version, or a damaged frame is followed by complete ones.
pub fn read_frames(file: &[u8]) -> Result<StoredFrames<'_>, LogError> {
    if file.len() < FILE_HEADER.len() && FILE_HEADER.starts_with(file) {
        return Ok(StoredFrames::default());
    }
    if !file.starts_with(FILE_HEADER) {
        let line = file.split(|b| *b == b'\n').next().unwrap_or_default();
        let shown = &line[..line.len().min(MAX_SHOWN_VERSION_LEN)];
        return Err(LogError::Version(String::from_utf8_lossy(shown).into_owned()));
    }
    let mut frames = Vec::new();
    let mut offset = FILE_HEADER.len();
    while offset < file.len() {
        let rest = &file[offset..];
        let Some(content) = complete_frame(rest) else {
            if complete_frame_follows(rest) {
                return Err(LogError::DamagedFrame(offset));
            }
            break;
        };
        frames.push(StoredFrame { offset, content });
        offset += FRAME_HEADER_LEN + content.len();
    }
    Ok(StoredFrames { frames, valid_len: offset })
}

/// The content of the frame at the beginning of `rest`, if it is complete and its checksum is right.
fn complete_frame(rest: &[u8]) -> Option<&[u8]> {
    let len = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let checksum = u64::from_be_bytes(rest.get(4..FRAME_HEADER_LEN)?.try_into().ok()?);
    let content = rest
        .get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len as usize)
        .filter(|_| len as usize <= MAX_FRAME_LEN)?;
    (checksum == checksum_of(len, content)).then_some(content)
}

/// Whether a complete frame with content follows anywhere after a damaged one.
fn complete_frame_follows(rest: &[u8]) -> bool {
    (1..rest.len().saturating_sub(FRAME_HEADER_LEN))
        .any(|offset| complete_frame(&rest[offset..]).is_some_and(|content| !content.is_empty()))
}

#[cfg(test)]
mod tests;
