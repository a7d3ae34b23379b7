//! What outlives the process, as one small file: its incarnation, the number of routers that it divided quotas by, and the addresses
//! of other members. Lines of text under a version and a checksum; a file that is truncated or changed is rejected.

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The first line of the file.
const HEAD: &str = "slipreel fleet 1";
/// The most contacts that are saved.
pub(crate) const MAX_CONTACTS: usize = 64;

/// The address at which another member was last known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contact {
    /// The member's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// The state that a member passes on to its next start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// The incarnation that saved it; 0 if there was none.
    pub incarnation: u64,
    /// The number of routers that it divided quotas by.
    pub router_count: u32,
    /// Other members that it knew, sorted by name.
    pub contacts: Vec<Contact>,
}

/// Why a file was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SavedStateError {
    /// It is not a saved state, or of another version: its first line.
    #[error("{0:?}: expected {HEAD:?}")]
    Version(String),
    /// The checksum does not match: it is truncated or was changed.
    #[error("the checksum does not fit: cut short or changed")]
    Checksum,
    /// A line is malformed: its number, from 1, and the line.
    #[error("line {0}: {1:?}: expected a key and its value")]
    Line(usize, String),
}

impl SavedState {
    /// Encodes the file's text.
    pub fn encode(&self) -> String {
        let mut body = format!("incarnation {}\nrouters {}\n", self.incarnation, self.router_count);
        for Contact { name, address } in &self.contacts {
            body += &format!("member {name} {address}\n");
        }
        format!("{HEAD}\nchecksum {:016x}\n{body}", xxh3_64(body.as_bytes()))
    }

    /// Decodes a file's text.
    ///
    /// # Errors
    /// It is of another version, does not match its checksum, or has a malformed line.
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
                    if kept.contacts.len() < MAX_CONTACTS {
                        kept.contacts.push(Contact { name: value.to_owned(), address });
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
