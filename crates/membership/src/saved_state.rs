//! The state that is stored for the next start, and the codec of its file.
//!
//! The file holds the incarnation, the number of routers that quotas were divided by, and the addresses of
//! other members. It is lines of text after a version and a checksum; a truncated or changed file is
//! rejected.

use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The first line of the file.
const HEAD: &str = "slipreel fleet 1";
/// The maximum number of saved contacts.
pub(crate) const MAX_CONTACTS: usize = 64;

/// Another member and its last known address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Contact {
    /// The member's name.
    pub name: String,
    /// The member's address.
    pub address: SocketAddr,
}

/// The state that a member passes on to its next start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SavedState {
    /// The incarnation that saved this state; 0 if there is none.
    pub incarnation: u64,
    /// The number of routers that the member divided quotas by.
    pub router_count: u32,
    /// Other members that the member knew, sorted by name.
    pub contacts: Vec<Contact>,
}

/// Why a file was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SavedStateError {
    /// The file is not a saved state, or is of another version. Holds its first line.
    #[error("{0:?}: expected {HEAD:?}")]
    Version(String),
    /// The checksum does not match: the file is truncated or was changed.
    #[error("the checksum does not fit: cut short or changed")]
    Checksum,
    /// A line is malformed. Holds its number, counted from 1, and the line.
    #[error("line {0}: {1:?}: expected a key and its value")]
    Line(usize, String),
}

impl SavedState {
    /// Encodes the state as the text of the file.
    pub fn encode(&self) -> String {
        let mut body = format!("incarnation {}\nrouters {}\n", self.incarnation, self.router_count);
        for Contact { name, address } in &self.contacts {
            body += &format!("member {name} {address}\n");
        }
        format!("{HEAD}\nchecksum {:016x}\n{body}", xxh3_64(body.as_bytes()))
    }

    /// Decodes the text of a file.
    ///
    /// # Errors
    /// The file is of another version, does not match its checksum, or has a malformed line.
    pub fn decode(text: &str) -> Result<SavedState, SavedStateError> {
        let (head, rest) = text.split_once('\n').unwrap_or((text, ""));
        if head != HEAD {
            return Err(SavedStateError::Version(head.chars().take(80).collect()));
        }
        let (checksum, body) = rest.split_once('\n').ok_or(SavedStateError::Checksum)?;
        if checksum != format!("checksum {:016x}", xxh3_64(body.as_bytes())) {
            return Err(SavedStateError::Checksum);
        }
        let mut state = SavedState::default();
        for (index, line) in body.lines().enumerate() {
            let malformed = || SavedStateError::Line(index + 3, line.to_owned());
            let mut fields = line.split(' ');
            let (key, value) = (fields.next(), fields.next().ok_or_else(malformed)?);
            match key {
                Some("incarnation") => state.incarnation = value.parse().map_err(|_| malformed())?,
                Some("routers") => state.router_count = value.parse().map_err(|_| malformed())?,
                Some("member") => {
                    let address = fields.next().and_then(|a| a.parse().ok()).ok_or_else(malformed)?;
                    if state.contacts.len() < MAX_CONTACTS {
                        state.contacts.push(Contact { name: value.to_owned(), address });
                    }
                }
                _ => return Err(malformed()),
            }
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests;
