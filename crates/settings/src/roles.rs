//! The section `[roles]`: the settings of the controller that changes engines between prefill and decode.

use crate::daemon::{read_daemon_settings, DAEMON_SECTIONS};
use crate::doc::{Doc, Fault};
use crate::values::{Loopback, Value};
use crate::DaemonSettings;
use slipreel_roles::{ChangeCosts, EngineThroughput, FullLoadRequests, PlannerLimits, PlanningPolicy};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of a role controller, besides the list of engines.
#[derive(Clone, Debug)]
pub struct RoleSettings {
    /// How changes are chosen.
    pub policy: PlanningPolicy,
    /// The limits on changes.
    pub limits: PlannerLimits,
    /// The costs of a change.
    pub costs: ChangeCosts,
    /// The tokens that a fully busy engine processes per second, by its role.
    pub throughput: EngineThroughput,
    /// The number of requests that keep an engine fully busy, by its role.
    pub full_load_requests: FullLoadRequests,
    /// The operators' addresses of all routers, whose metrics give the demand.
    pub routers: Vec<SocketAddr>,
    /// While this file exists, no roles are changed.
    pub freeze: Option<PathBuf>,
    /// The file with the list of engines that routers read. The controller updates it with the roles that
    /// engines report.
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

/// A list of loopback addresses; it must not be empty.
struct Addresses(Vec<SocketAddr>);

impl Value for Addresses {
    const EXPECTED: &'static str = "loopback addresses with ports, with commas between them";
    fn read(text: &str) -> Result<Self, String> {
        let addresses: Result<Vec<Loopback>, String> =
            text.split(',').map(|a| Loopback::read(a.trim())).collect();
        addresses
            .map(|addresses| Addresses(addresses.into_iter().map(|a| a.0).collect()))
            .map_err(|_| Self::EXPECTED.into())
    }
}

/// A number greater than 0, such as a rate or a number of requests.
struct Positive(f64);

impl Value for Positive {
    const EXPECTED: &'static str = "a number over 0";
    fn read(text: &str) -> Result<Self, String> {
        let number: Option<f64> = text.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0);
        number.map(Positive).ok_or_else(|| Self::EXPECTED.into())
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
    let section = Some(at);
    let defaults = PlannerLimits::default();
    let settings = &daemon.gateway.decisions;
    let limits = PlannerLimits {
        max_concurrent_changes: doc.or(section, "in_flight", defaults.max_concurrent_changes),
        min_prefill_per_cell: doc.or(section, "readers_in_cell", defaults.min_prefill_per_cell),
        min_decode_per_cell: doc.or(section, "writers_in_cell", defaults.min_decode_per_cell),
        min_per_zone: doc.or(section, "in_zone", defaults.min_per_zone),
        min_time_in_role: doc.or(section, "least_time", defaults.min_time_in_role),
        frozen: false,
    };
    let throughput = (doc.need::<Positive>(at, "read_per_s"), doc.need::<Positive>(at, "write_per_s"));
    let full_load_requests =
        (doc.need::<Positive>(at, "read_places"), doc.need::<Positive>(at, "write_places"));
    let costs = ChangeCosts {
        drain: doc.or(section, "drain", ChangeCosts::DRAIN),
        slow_start: settings.warmup_time,
        slow_start_speed: settings.warmup_initial_share,
        prefill_tokens_per_s: throughput.0.as_ref().map_or(1.0, |n| n.0),
    };
    let policy = doc.or(section, "policy", PlanningPolicy::Greedy);
    let routers = doc.need::<Addresses>(at, "routers");
    let freeze = doc.get::<String>(at, "freeze").map(PathBuf::from);
    let list = doc.get::<String>(at, "list").map(PathBuf::from);
    if let (Some(list), Some(engines_file)) = (&list, &daemon.engines_file) {
        if list != engines_file {
            let what = format!(
                "{}: expected the file that routers read, {}",
                list.display(),
                engines_file.display()
            );
            doc.add_fault(at, "list", what);
        }
    }
    let (Positive(prefill_rate), Positive(decode_rate)) = (throughput.0?, throughput.1?);
    let (Positive(prefill_requests), Positive(decode_requests)) =
        (full_load_requests.0?, full_load_requests.1?);
    Some(RoleSettings {
        policy,
        limits,
        costs,
        throughput: EngineThroughput { prefill: prefill_rate, decode: decode_rate },
        full_load_requests: FullLoadRequests { prefill: prefill_requests, decode: decode_requests },
        routers: routers?.0,
        freeze,
        list,
    })
}
