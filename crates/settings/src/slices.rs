//! Reads and writes lists of engines in the `EndpointSlice` JSON format.

use crate::values::Value;
use serde_json::json;
use slipreel::{EngineState, Role};
use slipreel_gateway::settings::EngineSettings;
use slipreel_protocol::endpoints;
use std::collections::BTreeMap;

/// Reads and checks a list of engines.
///
/// # Errors
/// The first error, with its address.
pub fn engines_from_slices(text: &str) -> Result<Vec<EngineSettings>, String> {
    let mut engines: Vec<EngineSettings> = Vec::new();
    for listed in endpoints::parse(text)? {
        let addr = listed.addr;
        if !addr.ip().is_loopback() {
            return Err(format!("address {addr}: expected a loopback address"));
        }
        // An engine that no longer serves has left; one that serves but takes no new work is draining.
        if !listed.serving {
            continue;
        }
        let role = listed.role.as_deref().unwrap_or("both");
        let role = Role::read(role)
            .map_err(|e| format!("{addr}: label slipreel.dev/role {role:?}: expected {e}"))?;
        let zone = listed.zone.unwrap_or_else(|| "default".into());
        let cell = listed.cell.unwrap_or_else(|| zone.clone());
        let takes_work = listed.ready && !listed.terminating;
        let state = if takes_work { EngineState::Ready } else { EngineState::Draining };
        if engines.iter().any(|e| e.addr == addr) {
            return Err(format!("address {addr} is listed twice"));
        }
        engines.push(EngineSettings { name: addr.to_string(), addr, role, zone, cell, state });
    }
    Ok(engines)
}

/// Writes a list of engines as an `EndpointSliceList`. [`engines_from_slices`] reads the same engines from
/// it, except for their names.
pub fn engines_to_slices(engines: &[EngineSettings]) -> String {
    let mut slices: BTreeMap<(&str, &str, u16, bool), Vec<&EngineSettings>> = BTreeMap::new();
    for e in engines.iter().filter(|e| e.state != EngineState::Gone) {
        let role = match e.role {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        };
        // The ports of a slice apply to all its addresses, and its addresses belong to one family.
        slices.entry((role, &e.cell, e.addr.port(), e.addr.is_ipv4())).or_default().push(e);
    }
    let items: Vec<_> = slices
        .into_iter()
        .map(|((role, cell, port, is_ipv4), engines)| {
            let endpoints: Vec<_> = engines
                .into_iter()
                .map(|e| {
                    let ready = e.state == EngineState::Ready;
                    json!({"addresses": [e.addr.ip().to_string()], "zone": e.zone,
                           "conditions": {"ready": ready, "serving": true, "terminating": !ready}})
                })
                .collect();
            json!({"kind": "EndpointSlice", "apiVersion": "discovery.k8s.io/v1",
                   "addressType": if is_ipv4 { "IPv4" } else { "IPv6" },
                   "metadata": {"name": format!("{role}-{cell}-{port}"),
                                "labels": {"slipreel.dev/role": role, "slipreel.dev/cell": cell}},
                   "ports": [{"port": port}], "endpoints": endpoints})
        })
        .collect();
    json!({"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1", "items": items}).to_string()
}

#[cfg(test)]
mod tests;
