//! What discovery says: the list of engines, whole or as changes, one JSON object at a time.

use serde_json::Value;
use slipreel::EngineState;
use std::net::SocketAddr;

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

/// One object that discovery told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointList {
    pub(crate) index: u64,
    /// All engines, not changes alone.
    pub(crate) whole: bool,
    /// It is of an earlier version than what is held, and was told again when asked for.
    pub(crate) older: bool,
    pub(crate) entries: Vec<EndpointEntry>,
}

/// The most engines of a list: far over any fleet, so that a line can't ask for all the memory.
const MOST: usize = 20_000;

fn field<'a>(value: &'a Value, name: &str) -> Result<&'a Value, String> {
    value.get(name).ok_or_else(|| format!("{name}: missing"))
}

fn text<'a>(value: &'a Value, name: &str) -> Result<&'a str, String> {
    let found = field(value, name)?;
    found.as_str().ok_or_else(|| format!("{name}: {found}: expected text"))
}

fn number(value: &Value, name: &str) -> Result<u64, String> {
    let found = field(value, name)?;
    let whole = |n: f64| (n.fract() == 0.0 && (0.0..9e15).contains(&n)).then_some(n as u64);
    found
        .as_u64()
        .or_else(|| found.as_f64().and_then(whole))
        .ok_or_else(|| format!("{name}: {found}: expected a whole number of 0 or more"))
}

fn listed(value: &Value) -> Result<EndpointEntry, String> {
    let state = match text(value, "status")? {
        "Ready" => EngineState::Ready,
        "Terminating" => EngineState::Draining,
        "Gone" => EngineState::Gone,
        other => return Err(format!("status: {other:?}: expected Ready, Terminating or Gone")),
    };
    let name = text(value, "name")?.to_owned();
    if state == EngineState::Gone {
        let none = || (None, String::new(), String::new(), 0, 0);
        let (addr, zone, kind, cell, since_ms) = none();
        return Ok(EndpointEntry { name, addr, zone, kind, cell, state, since_ms });
    }
    let addr = text(value, "address")?;
    let addr = addr.parse().map_err(|_| format!("address: {addr:?}: expected IP:PORT"))?;
    let cell = number(value, "group")?;
    Ok(EndpointEntry {
        name,
        addr: Some(addr),
        zone: slipreel_platform_settings::as_named(text(value, "zone")?),
        kind: slipreel_platform_settings::as_named(text(value, "type")?),
        cell: u32::try_from(cell).map_err(|_| format!("group: {cell}: too large"))?,
        state,
        since_ms: number(value, "since_ms")?,
    })
}

/// Reads one object.
///
/// # Errors
/// What can't be read, with its place. Nothing of the object is taken then.
pub(crate) fn read(value: &Value) -> Result<EndpointList, String> {
    let entries = field(value, "endpoints")?.as_array().ok_or("endpoints: expected a list")?;
    if entries.len() > MOST {
        return Err(format!("endpoints: {} entries: expected at most {MOST}", entries.len()));
    }
    let entries = entries.iter().enumerate();
    let entries = entries
        .map(|(i, entry)| listed(entry).map_err(|why| format!("endpoints.{i}.{why}")))
        .collect::<Result<_, _>>()?;
    let whole = field(value, "snapshot")?.as_bool().ok_or("snapshot: expected true or false")?;
    Ok(EndpointList { index: number(value, "index")?, whole, older: false, entries })
}

/// Takes the whole objects at the front of what a watch has said so far, however they are spread over lines, and leaves
/// what has come in part.
///
/// # Errors
/// As [`read`], or what stands there is no JSON. The objects before it have been taken.
pub(crate) fn take(
    said: &mut Vec<u8>, out: &mut impl FnMut(EndpointList) -> Result<(), String>,
) -> Result<(), String> {
    let mut values = serde_json::Deserializer::from_slice(said).into_iter::<Value>();
    let mut taken = 0;
    let mut told = Ok(());
    while let (true, Some(value)) = (told.is_ok(), values.next()) {
        told = match value {
            Ok(value) => read(&value).and_then(&mut *out),
            Err(why) if why.is_eof() => break,
            Err(why) => Err(format!("no JSON: {why}")),
        };
        taken = values.byte_offset();
    }
    said.drain(..taken);
    // Between two objects only the empty lines that say that the watch lives.
    if said.iter().all(u8::is_ascii_whitespace) {
        said.clear();
    }
    told
}

#[cfg(test)]
mod tests;
