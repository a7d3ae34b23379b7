//! Parses the endpoint list that discovery sends as a sequence of JSON objects, each complete or with changes
//! only.

use serde_json::Value;
use slipreel::EngineState;
use std::net::SocketAddr;

/// Maximum number of entries in a list: far above the size of any fleet, so that a list cannot exhaust
/// memory.
const MAX_ENTRIES: usize = 20_000;
/// Whole numbers of this size and above may not be exact in a float.
const MAX_EXACT_FLOAT: f64 = 9e15;

/// Why a list cannot be read. `Display` names the field, the value found and what was expected.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON.
    #[error("no JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing.
    #[error("{field}: missing")]
    Missing {
        /// The name of the field.
        field: &'static str,
    },
    /// A field holds something other than text.
    #[error("{field}: {found}: expected text")]
    NotText {
        /// The name of the field.
        field: &'static str,
        /// The value found.
        found: Value,
    },
    /// A field holds something other than a whole number of 0 or more.
    #[error("{field}: {found}: expected a whole number of 0 or more")]
    NotWholeNumber {
        /// The name of the field.
        field: &'static str,
        /// The value found.
        found: Value,
    },
    /// The status is unknown.
    #[error("status: {0:?}: expected Ready, Terminating or Gone")]
    UnknownStatus(String),
    /// The address cannot be parsed.
    #[error("address: {0:?}: expected IP:PORT")]
    InvalidAddress(String),
    /// The group does not fit into 32 bits.
    #[error("group: {0}: too large")]
    GroupTooLarge(u64),
    /// The endpoints are not a list.
    #[error("endpoints: expected a list")]
    NotAList,
    /// The list has too many entries.
    #[error("endpoints: {0} entries: expected at most {MAX_ENTRIES}")]
    TooManyEntries(usize),
    /// The flag that says whether the list is complete cannot be read.
    #[error("snapshot: expected true or false")]
    InvalidSnapshot,
    /// An entry cannot be read.
    #[error("endpoints.{index}.{error}")]
    Entry {
        /// Index of the entry in the list.
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
    /// `None` only if the engine is gone.
    pub(crate) addr: Option<SocketAddr>,
    pub(crate) zone: String,
    pub(crate) kind: String,
    pub(crate) cell: u32,
    pub(crate) state: EngineState,
    /// When the engine last started, wall time in milliseconds; 0: long ago.
    pub(crate) since_ms: u64,
}

/// One object that discovery sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointList {
    /// The version of the list.
    pub(crate) index: u64,
    /// Whether the list holds all engines, not only changes.
    pub(crate) is_complete: bool,
    /// Whether its version is older than that of the current list. Such a list is accepted if discovery sends
    /// one again when the complete list is requested.
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

/// Parses one entry. An engine that is gone has only a name.
fn parse_entry(value: &Value) -> Result<EndpointEntry, EndpointListError> {
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

/// Parses one object.
///
/// # Errors
/// The first field that cannot be read. The whole object is then rejected.
pub(crate) fn parse(value: &Value) -> Result<EndpointList, EndpointListError> {
    let entries = get(value, "endpoints")?.as_array().ok_or(EndpointListError::NotAList)?;
    if entries.len() > MAX_ENTRIES {
        return Err(EndpointListError::TooManyEntries(entries.len()));
    }
    let parse_indexed = |(index, entry): (usize, &Value)| {
        parse_entry(entry).map_err(|error| EndpointListError::Entry { index, error: Box::new(error) })
    };
    let entries = entries.iter().enumerate().map(parse_indexed).collect::<Result<_, _>>()?;
    let is_complete = get(value, "snapshot")?.as_bool().ok_or(EndpointListError::InvalidSnapshot)?;
    Ok(EndpointList { index: get_number(value, "index")?, is_complete, is_older: false, entries })
}

/// Removes the complete objects at the front of the bytes received so far, however they are spread over
/// lines, and passes the list of each to `accept`. An incomplete object stays in `received`.
///
/// # Errors
/// Those of [`parse`], text that is not JSON, and those of `accept`. The objects before the failed one have
/// been accepted.
pub(crate) fn take_complete<E: From<EndpointListError>>(
    received: &mut Vec<u8>, accept: &mut impl FnMut(EndpointList) -> Result<(), E>,
) -> Result<(), E> {
    let mut values = serde_json::Deserializer::from_slice(received).into_iter::<Value>();
    let mut consumed = 0;
    let mut result = Ok(());
    while let (true, Some(value)) = (result.is_ok(), values.next()) {
        result = match value {
            Ok(value) => parse(&value).map_err(E::from).and_then(&mut *accept),
            Err(error) if error.is_eof() => break,
            Err(error) => Err(EndpointListError::NotJson(error).into()),
        };
        consumed = values.byte_offset();
    }
    received.drain(..consumed);
    // Between objects there are only the empty lines that a watch sends as keep-alives.
    if received.iter().all(u8::is_ascii_whitespace) {
        received.clear();
    }
    result
}

#[cfg(test)]
mod tests;
