//! `[roles]`: who may change engines between reading and writing, and within which limits.

use crate::doc::{Doc, Fault};
use crate::site::{read_daemon_settings, DAEMON_SECTIONS};
use crate::values::{Loopback, Value};
use crate::DaemonSettings;
use slipreel_roles::{ChangeCosts, EngineThroughput, FullLoadRequests, PlannerLimits, PlanningPolicy};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a conductor is handed beside the list of engines.
#[derive(Clone, Debug)]
pub struct RoleSettings {
    /// How changes are chosen.
    pub policy: PlanningPolicy,
    /// What operators allow.
    pub limits: PlannerLimits,
    /// What a change costs.
    pub costs: ChangeCosts,
    /// What an engine does a second.
    pub throughput: EngineThroughput,
    /// Requests that keep an engine wholly busy.
    pub full_load_requests: FullLoadRequests,
    /// The operators' ports of all routers: what is asked of them is the demand.
    pub routers: Vec<SocketAddr>,
    /// Nothing is changed while this file is there.
    pub freeze: Option<PathBuf>,
    /// The list of engines that routers read, kept by what engines tell of their roles.
    pub list: Option<PathBuf>,
}

impl Value for PlanningPolicy {
    const EXPECTED: &'static str = "greedy, forecast or program";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "greedy" => Ok(PlanningPolicy::Greedy),
            "forecast" => Ok(PlanningPolicy::Forecast),
            "program" => Ok(PlanningPolicy::Program),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// Some addresses of loopback.
struct Addresses(Vec<SocketAddr>);

impl Value for Addresses {
    const EXPECTED: &'static str = "loopback addresses with ports, with commas between them";
    fn read(text: &str) -> Result<Self, String> {
        let all: Result<Vec<Loopback>, String> = text.split(',').map(|a| Loopback::read(a.trim())).collect();
        all.map(|all| Addresses(all.into_iter().map(|a| a.0).collect())).map_err(|_| Self::EXPECTED.into())
    }
}

/// A rate or a number of places: over 0.
struct Over0(f64);

impl Value for Over0 {
    const EXPECTED: &'static str = "a number over 0";
    fn read(text: &str) -> Result<Self, String> {
        let number: Option<f64> = text.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0);
        number.map(Over0).ok_or_else(|| Self::EXPECTED.into())
    }
}

/// Reads settings with a section `[roles]`.
///
/// # Errors
/// Every fault of the text, in the order of its lines.
pub fn parse_roles(text: &str, file: &str) -> Result<(DaemonSettings, RoleSettings), Vec<Fault>> {
    let mut doc = Doc::parse(text, file)?;
    let daemon = read_daemon_settings(&mut doc, true);
    let roles = match (doc.one("roles"), &daemon) {
        (Some(at), Some(daemon)) => read_roles(&mut doc, at, daemon),
        (None, _) => {
            doc.add_file_fault("expected a section [roles]");
            None
        }
        _ => None,
    };
    doc.finish(DAEMON_SECTIONS)?;
    daemon.zip(roles).ok_or_else(Vec::new)
}

fn read_roles(doc: &mut Doc, at: usize, daemon: &DaemonSettings) -> Option<RoleSettings> {
    let here = Some(at);
    let start = PlannerLimits::default();
    let settings = &daemon.gateway.decisions;
    let limits = PlannerLimits {
        max_concurrent_changes: doc.or(here, "in_flight", start.max_concurrent_changes),
        min_prefill_per_cell: doc.or(here, "readers_in_cell", start.min_prefill_per_cell),
        min_decode_per_cell: doc.or(here, "writers_in_cell", start.min_decode_per_cell),
        min_per_zone: doc.or(here, "in_zone", start.min_per_zone),
        min_time_in_role: doc.or(here, "least_time", start.min_time_in_role),
        frozen: false,
    };
    let speeds = (doc.need::<Over0>(at, "read_per_s"), doc.need::<Over0>(at, "write_per_s"));
    let places = (doc.need::<Over0>(at, "read_places"), doc.need::<Over0>(at, "write_places"));
    let costs = ChangeCosts {
        drain: doc.or(here, "drain", ChangeCosts::DRAIN),
        slow_start: settings.warmup_time,
        slow_start_speed: settings.warmup_initial_share,
        prefill_tokens_per_s: speeds.0.as_ref().map_or(1.0, |n| n.0),
    };
    let policy = doc.or(here, "policy", PlanningPolicy::Greedy);
    let routers = doc.need::<Addresses>(at, "routers");
    let freeze = doc.get::<String>(at, "freeze").map(PathBuf::from);
    let list = doc.get::<String>(at, "list").map(PathBuf::from);
    if let (Some(list), Some(read)) = (&list, &daemon.engines_file) {
        if list != read {
            let what = format!("{}: expected the file that routers read, {}", list.display(), read.display());
            doc.add_fault(at, "list", what);
        }
    }
    let (Over0(read), Over0(write)) = (speeds.0?, speeds.1?);
    let (Over0(read_places), Over0(write_places)) = (places.0?, places.1?);
    Some(RoleSettings {
        policy,
        limits,
        costs,
        throughput: EngineThroughput { prefill: read, decode: write },
        full_load_requests: FullLoadRequests { prefill: read_places, decode: write_places },
        routers: routers?.0,
        freeze,
        list,
    })
}
