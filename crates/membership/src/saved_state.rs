//! What outlives the process, as the bytes of one small file: its incarnation, how many routers it reckoned with, and where it had
//! met others. Lines of text, for people, under a version and a checksum; a file that is cut short or changed is refused whole.

use std::fmt;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

const HEAD: &str = "slipreel fleet 1";
/// Contacts that are kept.
pub(crate) const CONTACTS: usize = 64;

/// What a member knew at its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// The incarnation of the life that wrote it; 0 if there was none.
    pub incarnation: u64,
    /// The number of routers that it divided quotas by.
    pub router_count: u32,
    /// Members that it saw, with their addresses, by name.
    pub contacts: Vec<(String, SocketAddr)>,
}

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SavedStateError {
    /// It is not such a file, or of another version: its first line.
    Version(String),
    /// The checksum does not fit: it is cut short or was changed.
    Checksum,
    /// A line can't be read.
    Line(usize, String),
}

impl fmt::Display for SavedStateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SavedStateError::Version(found) => write!(f, "{found:?}: expected {HEAD:?}"),
            SavedStateError::Checksum => f.write_str("the checksum does not fit: cut short or changed"),
            SavedStateError::Line(n, found) => write!(f, "line {n}: {found:?}: expected a key and its value"),
        }
    }
}

impl std::error::Error for SavedStateError {}

impl SavedState {
    /// The file's text.
    pub fn encode(&self) -> String {
        let mut body = format!("incarnation {}\nrouters {}\n", self.incarnation, self.router_count);
        for (name, address) in &self.contacts {
            body += &format!("member {name} {address}\n");
        }
        format!("{HEAD}\nchecksum {:016x}\n{body}", xxh3_64(body.as_bytes()))
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn decode(text: &str) -> Result<SavedState, SavedStateError> {
        let (head, rest) = text.split_once('\n').unwrap_or((text, ""));
        if head != HEAD {
            return Err(SavedStateError::Version(head.chars().take(80).collect()));
        }
        let (sum, body) = rest.split_once('\n').ok_or(SavedStateError::Checksum)?;
        if sum != format!("checksum {:016x}", xxh3_64(body.as_bytes())) {
            return Err(SavedStateError::Checksum);
        }
        let mut kept = SavedState::default();
        for (n, line) in body.lines().enumerate() {
            let fault = || SavedStateError::Line(n + 3, line.to_owned());
            let mut words = line.split(' ');
            let (key, value) = (words.next(), words.next().ok_or_else(fault)?);
            match key {
                Some("incarnation") => kept.incarnation = value.parse().map_err(|_| fault())?,
                Some("routers") => kept.router_count = value.parse().map_err(|_| fault())?,
                Some("member") => {
                    let address = words.next().and_then(|a| a.parse().ok()).ok_or_else(fault)?;
                    if kept.contacts.len() < CONTACTS {
                        kept.contacts.push((value.to_owned(), address));
                    }
                }
                _ => return Err(fault()),
            }
        }
        Ok(kept)
    }
}

#[cfg(test)]
mod tests;
