//! Parses the `EndpointSlice` JSON format of Kubernetes (`discovery.k8s.io/v1`), in which engines are listed,
//! one per address. The format has no role and cell; they are read from labels of the slice.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// One engine listed in a slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEndpoint {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Whether it still serves the requests that it has.
    pub serving: bool,
    /// Whether it is terminating.
    pub terminating: bool,
    /// Its zone, if the slice states it.
    pub zone: Option<String>,
    /// Its role, `read`, `write` or `both`, from the label `slipreel.dev/role`.
    pub role: Option<String>,
    /// Its cell, from the label `slipreel.dev/cell`.
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

/// Parses an `EndpointSlice` or a list of them (`EndpointSliceList` or `List`).
///
/// # Errors
/// The text states what is wrong and where.
pub fn parse(text: &str) -> Result<Vec<EngineEndpoint>, String> {
    let slice: Slice = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut engines = Vec::new();
    collect_engines(&slice, &mut engines)?;
    Ok(engines)
}

fn collect_engines(slice: &Slice, out: &mut Vec<EngineEndpoint>) -> Result<(), String> {
    match slice.kind.as_str() {
        "EndpointSlice" => {}
        "EndpointSliceList" | "List" => {
            return slice.items.iter().try_for_each(|item| collect_engines(item, out))
        }
        other => return Err(format!("kind {other:?}: expected EndpointSlice or EndpointSliceList")),
    }
    let label = |name: &str| slice.metadata.labels.get(name).cloned();
    let port = slice.ports.iter().find_map(|p| p.port).ok_or("a slice without a port number")?;
    for endpoint in &slice.endpoints {
        for address in &endpoint.addresses {
            let ip: IpAddr =
                address.parse().map_err(|_| format!("address {address:?}: expected an IP address"))?;
            let Conditions { ready, serving, terminating } = endpoint.conditions;
            // As the format defines it: without `ready` an engine is ready, without `serving` it has the
            // value of `ready`.
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
