//! Parses the settings of a router, by the platform's names, into those of the decision module.
//!
//! The simulator hands them over as `path=value` lines ([`parse`]); a router finds the same object as nested
//! JSON in its configuration ([`from_json`]). Both become pairs of a path and a value, from which the
//! settings are read.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod classes;
mod error;
mod pairs;

pub use error::{SettingFault, SettingsError};

use pairs::{flatten, Pairs};
use slipreel::{Class, Limits, ReportSource, Role, Settings, Tenant, ZoneId};
use std::time::Duration;

/// The largest multiple of `rules.fall` that counts.
const MAX_FALL_MULTIPLE: f64 = 1e3;
/// The words of `report.source`.
const REPORT_SOURCES: [(&str, ReportSource); 3] =
    [("piggyback", ReportSource::Answers), ("pull", ReportSource::Probes), ("silent", ReportSource::None)];
/// The words of `discovery`, each with whether the router polls the list of engines.
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

/// The settings of a router, and the layout of the load reports that it gets.
#[derive(Clone, Debug)]
pub struct Profile {
    /// What the decision module is handed.
    pub settings: Settings,
    /// The meaning of each report value, in order.
    pub columns: Vec<Column>,
    /// The names of those values, in the same order.
    pub column_names: Vec<String>,
    /// The names of classes, tenants, kinds of engine and zones, each in the order by which the module
    /// numbers them.
    pub classes: Vec<String>,
    /// See `classes`.
    pub tenants: Vec<String>,
    /// See `classes`.
    pub kinds: Vec<String>,
    /// See `classes`.
    pub zones: Vec<String>,
    /// Engines close a connection that was idle for so long, at the latest; `None` if that is not set.
    pub idle_close: Option<Duration>,
    /// Whether clients resume a stream that broke.
    pub resumes: bool,
    /// The longest time that a client of any class waits; `None` if no deadline is set.
    pub longest_wait: Option<Duration>,
}

/// A name as the pairs hold it: blanks and commas turned into `_`.
pub fn as_named(name: &str) -> String {
    name.replace([' ', ','], "_")
}

/// Reads the settings. Keys that are not known are skipped. A missing key gets a neutral value (no
/// permission, no limit, no share) except where none is safe: the classes and the engines' roles.
///
/// # Errors
/// A value that is missing where none is safe, or can't be read.
pub fn parse(text: &str) -> Result<Profile, SettingsError> {
    let pairs: Pairs<'_> = text.lines().filter_map(|line| line.trim_end().split_once('=')).collect();
    Ok(read(&pairs)?)
}

/// Reads the settings from nested JSON: the same names and units, each level a part of the path.
///
/// # Errors
/// As [`parse`]; or it is no object.
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

/// The settings of the decision module; classes, tenants and roles were read before.
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
    })
}

/// A multiple of the time in which load falls.
fn warmup_budget(pairs: &Pairs<'_>) -> Result<Duration, SettingFault> {
    let fall = pairs.millis("rules.fall", Some(0.0))?;
    let multiple = pairs.number("rules.fall_multiple", Some(0.0))?;
    Ok(fall.mul_f64(multiple.clamp(0.0, MAX_FALL_MULTIPLE)))
}

/// What a router may do with attempts and requests.
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

/// The roles of the kinds of engine; there has to be one.
fn kind_roles(pairs: &Pairs<'_>) -> Result<Vec<Role>, SettingFault> {
    let key = "extra.role_by_kind".to_owned();
    let role = |word: &str| match word {
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

/// The names of the objects of a list, in order; empty where none is set.
fn numbered_names(pairs: &Pairs<'_>, list: &str, count: usize) -> Vec<String> {
    let name = |index| pairs.get(&format!("{list}.{index}.name")).unwrap_or("").to_owned();
    (0..count).map(name).collect()
}

/// What the report column of this name holds. The meaning of `x0` and `x1` is a setting.
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
