//! The `EndpointSlice` JSON format (`discovery.k8s.io/v1`), read from a file: one entry an address.
//! Role, cell and kind are not part of the format; they come as labels of the slice.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// One engine of a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEndpoint {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it still serves what it has.
    pub serving: bool,
    /// Whether it is going.
    pub terminating: bool,
    /// Its zone, if told.
    pub zone: Option<String>,
    /// `read`, `write` or `both`, from the label `slipreel.dev/role`.
    pub role: Option<String>,
    /// From the label `slipreel.dev/cell`.
    pub cell: Option<String>,
}

#[derive(Deserialize)]
struct Slice {
    kind: String,
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    endpoints: Vec<Endpoint>,
    #[serde(default)]
    ports: Vec<Port>,
    #[serde(default)]
    items: Vec<Slice>,
}

#[derive(Deserialize, Default)]
struct Metadata {
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct Endpoint {
    addresses: Vec<String>,
    #[serde(default)]
    conditions: Conditions,
    zone: Option<String>,
}

#[derive(Deserialize, Default)]
struct Conditions {
    ready: Option<bool>,
    serving: Option<bool>,
    terminating: Option<bool>,
}

#[derive(Deserialize)]
struct Port {
    port: Option<u16>,
}

/// Reads an `EndpointSlice` or a list of them (`EndpointSliceList` or `List`).
///
/// # Errors
/// A text that names what is wrong and where.
pub fn parse(text: &str) -> Result<Vec<EngineEndpoint>, String> {
    let slice: Slice = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut listed = Vec::new();
    collect(&slice, &mut listed)?;
    Ok(listed)
}

fn collect(slice: &Slice, out: &mut Vec<EngineEndpoint>) -> Result<(), String> {
    match slice.kind.as_str() {
        "EndpointSlice" => {}
        "EndpointSliceList" | "List" => return slice.items.iter().try_for_each(|s| collect(s, out)),
        other => return Err(format!("kind {other:?}: expected EndpointSlice or EndpointSliceList")),
    }
    let label = |name: &str| slice.metadata.labels.get(name).cloned();
    let port = slice.ports.iter().find_map(|p| p.port).ok_or("a slice without a port number")?;
    for endpoint in &slice.endpoints {
        for address in &endpoint.addresses {
            let ip: IpAddr =
                address.parse().map_err(|_| format!("address {address:?}: expected an IP address"))?;
            let Conditions { ready, serving, terminating } = endpoint.conditions;
            // The format's own rule: an unknown `ready` means ready, an unknown `serving` means what `ready` is.
            let ready = ready.unwrap_or(true);
            out.push(EngineEndpoint {
                addr: SocketAddr::new(ip, port),
                ready,
                serving: serving.unwrap_or(ready),
                terminating: terminating.unwrap_or(false),
                zone: endpoint.zone.clone(),
                role: label("slipreel.dev/role"),
                cell: label("slipreel.dev/cell"),
            });
        }
    }
    Ok(())
}
