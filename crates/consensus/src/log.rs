//! The durable log as bytes: one frame for each write that has to be whole, so that a crash in the midst of one loses that one and no other.
//!
//! A file is a line that names its version, then frames: length, checksum (xxh3 of the length and the content), content. A last frame that is
//! not whole was never acknowledged to anybody, and is dropped; a frame that is not whole with others behind it is damage, and the whole file
//! is refused, as a voter that has forgotten a promise must not vote.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first line of a file that this build writes.
pub const FILE_HEADER: &[u8] = b"slipreel accord 1\n";
const FRAME_HEADER_LEN: usize = 12;
/// The longest frame.
pub const MAX_FRAME_LEN: usize = 64 << 20;

/// Why a log file is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The file is of another version.
    #[error("{0:?}: expected {expected:?}", expected = String::from_utf8_lossy(FILE_HEADER).trim_end())]
    Version(
        /// Its first line.
        String,
    ),
    /// A frame is damaged with others behind it.
    #[error("byte {0}: a damaged frame with others behind it")]
    DamagedFrame(
        /// Where it begins, bytes from the start of the file.
        usize,
    ),
    /// The content of a complete frame is no record.
    #[error("byte {offset}: a whole frame that is no record: {source}")]
    NotARecord {
        /// Where the frame begins, bytes from the start of the file.
        offset: usize,
        /// What was wrong with its content.
        source: postcard::Error,
    },
    /// A record of writes stands before that of the configuration which they belong to.
    #[error("byte {offset}: notes before a configuration: expected its terms first")]
    WritesBeforeConfiguration {
        /// Where its frame begins, bytes from the start of the file.
        offset: usize,
    },
}

fn sum(len: u32, content: &[u8]) -> u64 {
    xxh3_64_with_seed(content, u64::from(len))
}

/// The bytes of a frame.
pub fn frame(content: &[u8]) -> Vec<u8> {
    let len = content.len() as u32;
    let mut out = Vec::with_capacity(FRAME_HEADER_LEN + content.len());
    out.extend(len.to_be_bytes());
    out.extend(sum(len, content).to_be_bytes());
    out.extend(content);
    out
}

/// The contents of frames, with where each begins.
pub type Frames<'a> = Vec<(usize, &'a [u8])>;

/// Frames of a file, where each begins, and how many bytes of it hold: what is behind them was being written when the process ended.
///
/// # Errors
/// Why it is not taken.
pub fn frames(file: &[u8]) -> Result<(Frames<'_>, usize), LogError> {
    if file.len() < FILE_HEADER.len() && FILE_HEADER.starts_with(file) {
        return Ok((Vec::new(), 0));
    }
    if !file.starts_with(FILE_HEADER) {
        let line = file.split(|b| *b == b'\n').next().unwrap_or_default();
        return Err(LogError::Version(String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned()));
    }
    let (mut all, mut at) = (Vec::new(), FILE_HEADER.len());
    while at < file.len() {
        match whole(&file[at..]) {
            Some(content) => {
                all.push((at, content));
                at += FRAME_HEADER_LEN + content.len();
            }
            None if followed(&file[at..]) => return Err(LogError::DamagedFrame(at)),
            None => break,
        }
    }
    Ok((all, at))
}

fn whole(rest: &[u8]) -> Option<&[u8]> {
    let len = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
    let checksum = u64::from_be_bytes(rest.get(4..FRAME_HEADER_LEN)?.try_into().ok()?);
    let content = rest
        .get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len as usize)
        .filter(|_| len as usize <= MAX_FRAME_LEN)?;
    (checksum == sum(len, content)).then_some(content)
}

/// Whether a whole frame stands anywhere behind a damaged one.
fn followed(rest: &[u8]) -> bool {
    (1..rest.len().saturating_sub(FRAME_HEADER_LEN))
        .any(|at| whole(&rest[at..]).is_some_and(|c| !c.is_empty()))
}

#[cfg(test)]
mod tests;
