//! The endpoint list as discovery sends it: complete or as changes, one JSON object at a time.

use serde_json::Value;
use slipreel::EngineState;
use std::net::SocketAddr;

/// The most engines of a list: far over any fleet, so that a line cannot exhaust memory.
const MAX_ENTRIES: usize = 20_000;
/// Whole numbers from here on are not exact in a float.
const MAX_EXACT_FLOAT: f64 = 9e15;

/// Why a list cannot be read. `Display` names the field, the value found and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is no JSON.
    #[error("no JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing.
    #[error("{field}: missing")]
    Missing {
        /// Its name.
        field: &'static str,
    },
    /// A field holds something other than text.
    #[error("{field}: {found}: expected text")]
    NotText {
        /// Its name.
        field: &'static str,
        /// The value found.
        found: Value,
    },
    /// A field holds something other than a whole number of 0 or more.
    #[error("{field}: {found}: expected a whole number of 0 or more")]
    NotWholeNumber {
        /// Its name.
        field: &'static str,
        /// The value found.
        found: Value,
    },
    /// A status that is not known.
    #[error("status: {0:?}: expected Ready, Terminating or Gone")]
    UnknownStatus(String),
    /// An address that cannot be read.
    #[error("address: {0:?}: expected IP:PORT")]
    InvalidAddress(String),
    /// A group beyond 32 bits.
    #[error("group: {0}: too large")]
    GroupTooLarge(u64),
    /// The endpoints are no list.
    #[error("endpoints: expected a list")]
    NotAList,
    /// The list is too long.
    #[error("endpoints: {0} entries: expected at most {MAX_ENTRIES}")]
    TooManyEntries(usize),
    /// Whether the list is complete cannot be read.
    #[error("snapshot: expected true or false")]
    InvalidSnapshot,
    /// An entry cannot be read.
    #[error("endpoints.{index}.{error}")]
    Entry {
        /// Its place in the list.
        index: usize,
        /// What is wrong with it.
        #[source]
        error: Box<EndpointListError>,
    },
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndpointEntry {
    pub(crate) name: String,
    /// `None` only if it is gone.
    pub(crate) addr: Option<SocketAddr>,
    pub(crate) zone: String,
    pub(crate) kind: String,
    pub(crate) cell: u32,
    pub(crate) state: EngineState,
    /// When it last started, wall time in milliseconds; 0: long ago.
    pub(crate) since_ms: u64,
}

/// One object that discovery sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointList {
    /// The version of the list.
    pub(crate) index: u64,
    /// It holds all engines, not changes alone.
    pub(crate) is_complete: bool,
    /// It is of an earlier version than the one that is held, and was sent again when asked for.
    pub(crate) is_older: bool,
    pub(crate) entries: Vec<EndpointEntry>,
}

fn get<'a>(value: &'a Value, field: &'static str) -> Result<&'a Value, EndpointListError> {
    value.get(field).ok_or(EndpointListError::Missing { field })
}

fn get_text<'a>(value: &'a Value, field: &'static str) -> Result<&'a str, EndpointListError> {
    let found = get(value, field)?;
    found.as_str().ok_or_else(|| EndpointListError::NotText { field, found: found.clone() })
}

fn get_number(value: &Value, field: &'static str) -> Result<u64, EndpointListError> {
    let found = get(value, field)?;
    let is_whole = |number: &f64| number.fract() == 0.0 && (0.0..MAX_EXACT_FLOAT).contains(number);
    let from_float = || found.as_f64().filter(is_whole).map(|number| number as u64);
    let number = found.as_u64().or_else(from_float);
    number.ok_or_else(|| EndpointListError::NotWholeNumber { field, found: found.clone() })
}

fn parse_state(status: &str) -> Result<EngineState, EndpointListError> {
    match status {
        "Ready" => Ok(EngineState::Ready),
        "Terminating" => Ok(EngineState::Draining),
        "Gone" => Ok(EngineState::Gone),
        other => Err(EndpointListError::UnknownStatus(other.to_owned())),
    }
}

/// Reads one entry. One that is gone holds its name alone.
fn read_entry(value: &Value) -> Result<EndpointEntry, EndpointListError> {
    let state = parse_state(get_text(value, "status")?)?;
    let name = get_text(value, "name")?.to_owned();
    if state == EngineState::Gone {
        return Ok(EndpointEntry {
            name,
            addr: None,
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            state,
            since_ms: 0,
        });
    }
    let address = get_text(value, "address")?;
    let addr = address.parse().map_err(|_| EndpointListError::InvalidAddress(address.to_owned()))?;
    let group = get_number(value, "group")?;
    Ok(EndpointEntry {
        name,
        addr: Some(addr),
        zone: slipreel_platform_settings::as_named(get_text(value, "zone")?),
        kind: slipreel_platform_settings::as_named(get_text(value, "type")?),
        cell: u32::try_from(group).map_err(|_| EndpointListError::GroupTooLarge(group))?,
        state,
        since_ms: get_number(value, "since_ms")?,
    })
}

/// Reads one object.
///
/// # Errors
/// The first field that cannot be read. Nothing of the object counts then.
pub(crate) fn read(value: &Value) -> Result<EndpointList, EndpointListError> {
    let entries = get(value, "endpoints")?.as_array().ok_or(EndpointListError::NotAList)?;
    if entries.len() > MAX_ENTRIES {
        return Err(EndpointListError::TooManyEntries(entries.len()));
    }
    let read_numbered = |(index, entry): (usize, &Value)| {
        read_entry(entry).map_err(|error| EndpointListError::Entry { index, error: Box::new(error) })
    };
    let entries = entries.iter().enumerate().map(read_numbered).collect::<Result<_, _>>()?;
    let is_complete = get(value, "snapshot")?.as_bool().ok_or(EndpointListError::InvalidSnapshot)?;
    Ok(EndpointList { index: get_number(value, "index")?, is_complete, is_older: false, entries })
}

/// Takes the complete objects at the front of what a watch has sent so far, however they are spread over lines, hands
/// each to `accept`, and leaves an incomplete one.
///
/// # Errors
/// As [`read`], the text is no JSON, or `accept` fails. The objects before it have been accepted.
pub(crate) fn take<E: From<EndpointListError>>(
    received: &mut Vec<u8>, accept: &mut impl FnMut(EndpointList) -> Result<(), E>,
) -> Result<(), E> {
    let mut values = serde_json::Deserializer::from_slice(received).into_iter::<Value>();
    let mut taken_bytes = 0;
    let mut result = Ok(());
    while let (true, Some(value)) = (result.is_ok(), values.next()) {
        result = match value {
            Ok(value) => read(&value).map_err(E::from).and_then(&mut *accept),
            Err(error) if error.is_eof() => break,
            Err(error) => Err(EndpointListError::NotJson(error).into()),
        };
        taken_bytes = values.byte_offset();
    }
    received.drain(..taken_bytes);
    // Between two objects only the empty lines by which a watch shows that it is alive.
    if received.iter().all(u8::is_ascii_whitespace) {
        received.clear();
    }
    result
}

#[cfg(test)]
mod tests;
