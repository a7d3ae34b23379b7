//! Parses the settings of a router, which have the platform's names, into those of the decision module.
//!
//! The simulator passes them as lines `path=value` ([`parse`]); the configuration of a router contains the
//! same object as nested JSON ([`from_json`]). Both are converted to pairs of a path and a value, from which
//! the settings are read.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod classes;
mod error;
mod pairs;

pub use error::{SettingFault, SettingsError};

use pairs::{flatten, Pairs};
use slipreel::{Class, Limits, ReportSource, Role, Settings, Tenant, ZoneId};
use std::time::Duration;

/// The maximum of `rules.fall_multiple`; larger values are reduced to it.
const MAX_FALL_MULTIPLE: f64 = 1e3;
/// The values of `report.source`.
const REPORT_SOURCES: [(&str, ReportSource); 3] =
    [("piggyback", ReportSource::Answers), ("pull", ReportSource::Probes), ("silent", ReportSource::None)];
/// The values of `discovery`, each with whether the router requests the list of engines.
const DISCOVERY_MODES: [(&str, bool); 2] = [("automatic", false), ("subscribe", true)];

/// What one column of a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Requests in flight.
    InFlight,
    /// Requests that are queued.
    Queued,
    /// Share of slots in use.
    SlotShare,
    /// Share of memory held.
    MemoryShare,
    /// Thousands of prompt tokens that are queued.
    WaitingThousands,
    /// Something that the decision module does not use.
    Other,
}

/// The settings of a router, with the layout of the load reports that it gets.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The settings of the decision module.
    pub settings: Settings,
    /// What each value of a load report holds, in order.
    pub columns: Vec<Column>,
    /// The names of the values of a load report, in the order of `columns`.
    pub column_names: Vec<String>,
    /// The names of the classes, in the order of their numbers in the decision module.
    pub classes: Vec<String>,
    /// The names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// The names of the kinds of engine, in the order of their numbers.
    pub kinds: Vec<String>,
    /// The names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// The maximum time after which engines close an idle connection; `None` if it is not set.
    pub idle_close: Option<Duration>,
    /// Whether clients resume an interrupted stream.
    pub resumes: bool,
    /// The longest deadline of any class; `None` if none is set.
    pub longest_wait: Option<Duration>,
}

/// Converts a name to its form in the pairs: each blank and comma becomes `_`.
pub fn as_named(name: &str) -> String {
    name.replace([' ', ','], "_")
}

/// Parses the settings from lines `path=value`. Unknown keys are skipped. A missing key gets a neutral value
/// (no permission, no limit, no share), except for the classes and the engines' roles, where no default is
/// safe.
///
/// # Errors
/// A value is missing where no default is safe, or can't be read.
pub fn parse(text: &str) -> Result<Profile, SettingsError> {
    let pairs: Pairs<'_> = text.lines().filter_map(|line| line.trim_end().split_once('=')).collect();
    Ok(read(&pairs)?)
}

/// Reads the settings from nested JSON, which has the same names and units; each level is a part of the path.
///
/// # Errors
/// As for [`parse`], or the value is not an object.
pub fn from_json(value: &serde_json::Value) -> Result<Profile, SettingsError> {
    if !value.is_object() {
        return Err(SettingFault::NotAnObject.into());
    }
    let mut flat = Vec::new();
    flatten("", value, &mut flat);
    let pairs: Pairs<'_> = flat.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    Ok(read(&pairs)?)
}

/// Reads the settings and the layout of load reports.
fn read(pairs: &Pairs<'_>) -> Result<Profile, SettingFault> {
    let classes = classes::read(pairs)?;
    classes::check_names(pairs, &classes)?;
    let tenants = tenants(pairs)?;
    let kind_roles = kind_roles(pairs)?;
    let settings = settings(pairs, classes, tenants, kind_roles)?;
    let column_names = pairs.names("report.columns");
    Ok(Profile {
        longest_wait: classes::longest_deadline(pairs, settings.classes.len())?,
        resumes: pairs.flag("extra.resume")?,
        columns: column_names.iter().map(|name| column(pairs, name)).collect(),
        column_names,
        classes: numbered_names(pairs, "classes", settings.classes.len()),
        tenants: numbered_names(pairs, "customers", settings.tenants.len()),
        kinds: pairs.names("host_types"),
        zones: pairs.names("azs"),
        idle_close: pairs.optional_millis("limits.idle_close")?,
        settings,
    })
}

/// Reads the settings of the decision module, except for the classes, tenants and roles.
fn settings(
    pairs: &Pairs<'_>, classes: Vec<Class>, tenants: Vec<Tenant>, kind_roles: Vec<Role>,
) -> Result<Settings, SettingFault> {
    let limits = limits(pairs)?;
    Ok(Settings {
        router_count: pairs.count("balancers", Some(1.0))?.max(1),
        zone: ZoneId(pairs.count("zone", Some(0.0))?),
        tick: pairs.millis("tick", Some(1.0))?,
        classes,
        tenants,
        over_quota_weight: pairs.number("over_share_worth", Some(1.0))?,
        kind_roles,
        memory_tokens: pairs.numbers("extra.tokens_by_kind")?,
        decode_engines_prefill: pairs.flag("extra.local_read")?,
        requests_engine_list: pairs.word("discovery", &DISCOVERY_MODES, Some(false))?,
        report_source: pairs.word("report.source", &REPORT_SOURCES, Some(ReportSource::None))?,
        limits,
        warmup_initial_share: pairs.number("rules.cold_share", Some(0.0))?.min(1.0),
        warmup_time: pairs.millis("rules.cold", Some(0.0))?,
        warmup_budget: warmup_budget(pairs)?,
        held_state_limit: pairs.millis("extra.let_go_by", Some(0.0))?,
        release_spares_awaited_state: true,
    })
}

/// The warm-up budget: a multiple of the time in which load falls.
fn warmup_budget(pairs: &Pairs<'_>) -> Result<Duration, SettingFault> {
    let fall = pairs.millis("rules.fall", Some(0.0))?;
    let multiple = pairs.number("rules.fall_multiple", Some(0.0))?;
    Ok(fall.mul_f64(multiple.clamp(0.0, MAX_FALL_MULTIPLE)))
}

/// The limits on attempts and requests, and what a router may do with them.
fn limits(pairs: &Pairs<'_>) -> Result<Limits, SettingFault> {
    let max_retry_after = if pairs.flag("limits.retry_after")? {
        Some(pairs.millis("limits.max_retry_after", Some(0.0)))
    } else {
        None
    };
    Ok(Limits {
        max_attempts: pairs.count("limits.send_cap", Some(2.0))? as usize,
        cancellation: pairs.flag("limits.cancelling")?,
        probes: pairs.flag("limits.may_probe")?,
        hedged_requests: pairs.flag("limits.second_copies")?,
        max_retry_after: max_retry_after.transpose()?,
        connect_timeout: pairs.millis("limits.connect_timeout", Some(250.0))?,
    })
}

/// The tenants, in the order of their numbers.
fn tenants(pairs: &Pairs<'_>) -> Result<Vec<Tenant>, SettingFault> {
    let tenant = |index| {
        let key = format!("customers.{index}.quota_per_s");
        let quota_per_s = pairs.get(&key).map(|_| pairs.number(&key, None)).transpose()?;
        Ok(Tenant { quota_per_s })
    };
    (0..pairs.count("customers.count", Some(0.0))?).map(tenant).collect()
}

/// The roles of the kinds of engine; at least one is required.
fn kind_roles(pairs: &Pairs<'_>) -> Result<Vec<Role>, SettingFault> {
    let key = "extra.role_by_kind".to_owned();
    let role = |name: &str| match name {
        "read" => Ok(Role::Prefill),
        "write" => Ok(Role::Decode),
        "both" => Ok(Role::Mixed),
        other => Err(SettingFault::UnknownRole { key: key.clone(), value: other.to_owned() }),
    };
    let roles = pairs.list(&key).into_iter().map(role).collect::<Result<Vec<_>, _>>()?;
    if roles.is_empty() {
        return Err(SettingFault::Missing { key });
    }
    Ok(roles)
}

/// The names of the objects of a list, in order; a name that is not set is empty.
fn numbered_names(pairs: &Pairs<'_>, list: &str, count: usize) -> Vec<String> {
    let name = |index| pairs.get(&format!("{list}.{index}.name")).unwrap_or("").to_owned();
    (0..count).map(name).collect()
}

/// What the report column of this name holds. The settings give the meaning of `x0` and `x1`.
fn column(pairs: &Pairs<'_>, name: &str) -> Column {
    let meaning = match name {
        "x0" => pairs.get("extra.report_x0").unwrap_or(""),
        "x1" => pairs.get("extra.report_x1").unwrap_or(""),
        other => other,
    };
    match meaning {
        "busy_reqs" => Column::InFlight,
        "pending" => Column::Queued,
        "cpu_share" => Column::SlotShare,
        "share_of_memory_that_is_held" => Column::MemoryShare,
        "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched" => Column::WaitingThousands,
        _ => Column::Other,
    }
}

#[cfg(test)]
mod tests;
