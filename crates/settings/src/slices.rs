//! The list of engines from a text in the EndpointSlice JSON format, checked.

use crate::values::Value;
use slipreel::{EngineState, Role};
use slipreel_front::site::EngineSite;
use slipreel_protocol::endpoints;

/// Reads a list of engines.
///
/// # Errors
/// What is wrong, and at which address.
pub fn engines_from_slices(text: &str) -> Result<Vec<EngineSite>, String> {
    let mut engines: Vec<EngineSite> = Vec::new();
    for listed in endpoints::parse(text)? {
        let addr = listed.addr;
        if !addr.ip().is_loopback() {
            return Err(format!("address {addr}: expected a loopback address"));
        }
        // One that serves no more has left; one that only does not take new work drains.
        if !listed.serving {
            continue;
        }
        let role = listed.role.as_deref().unwrap_or("both");
        let role = Role::read(role)
            .map_err(|e| format!("{addr}: label slipreel.dev/role {role:?}: expected {e}"))?;
        let zone = listed.zone.unwrap_or_else(|| "default".into());
        let cell = listed.cell.unwrap_or_else(|| zone.clone());
        let takes = listed.ready && !listed.terminating;
        let state = if takes { EngineState::Ready } else { EngineState::Draining };
        if engines.iter().any(|e| e.addr == addr) {
            return Err(format!("address {addr} is listed twice"));
        }
        engines.push(EngineSite { name: addr.to_string(), addr, role, zone, cell, state });
    }
    Ok(engines)
}
