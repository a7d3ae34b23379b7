//! The settings of a router by the platform's names. The simulator hands them over as `path=value` lines, a real
//! router finds the same object as nested JSON in its configuration; both come to the same pairs and are read here
//! once. Nothing here decides anything.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod error;
mod pairs;

pub use error::{SettingFault, SettingsError};

use pairs::{flatten, Pairs};
use slipreel::{
    Class, DeduplicationScope, Idempotency, Limits, ReportSource, Role, Settings, Tenant, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The key of the latency objectives by prompt length: microseconds for each 1,000 prompt tokens, by class.
const OBJECTIVE_PER_TOKENS: &str = "extra.aim_us_per_1000_prompt_tokens";

/// What one column of a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Requests in flight.
    InFlight,
    /// Requests that wait.
    Queued,
    /// Share of slots in use.
    SlotShare,
    /// Share of memory held.
    MemoryShare,
    /// Thousands of prompt tokens that wait.
    WaitingThousands,
    /// Something that the decision module does not use.
    Other,
}

/// An instance's settings and how its load reports are laid out.
#[derive(Clone, Debug)]
pub struct Profile {
    /// What the decision module is handed.
    pub settings: Settings,
    /// The meaning of each report value, in order.
    pub columns: Vec<Column>,
    /// The names of those values, in the same order.
    pub column_names: Vec<String>,
    /// The names of classes, tenants, kinds of engine and zones, each in the order by which the module numbers them.
    pub classes: Vec<String>,
    /// See `classes`.
    pub tenants: Vec<String>,
    /// See `classes`.
    pub kinds: Vec<String>,
    /// See `classes`.
    pub zones: Vec<String>,
    /// Engines close a connection that has stood idle for so long, at the latest; `None` if that is not told.
    pub idle_close: Option<Duration>,
    /// Whether clients ask for the rest of a stream that broke.
    pub resumes: bool,
    /// The longest time that a client of any class waits; `None` if that is not told.
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

fn read(pairs: &Pairs<'_>) -> Result<Profile, SettingFault> {
    let classes = classes(pairs)?;
    check_class_names(pairs, &classes)?;
    let tenants = tenants(pairs)?;
    let kind_roles = kind_roles(pairs)?;
    let settings = settings(pairs, classes, tenants, kind_roles)?;
    let column_names = pairs.names("report.columns");
    Ok(Profile {
        longest_wait: longest_wait(pairs, settings.classes.len())?,
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

fn settings(
    pairs: &Pairs<'_>, classes: Vec<Class>, tenants: Vec<Tenant>, kind_roles: Vec<Role>,
) -> Result<Settings, SettingFault> {
    let sources = [
        ("piggyback", ReportSource::Answers),
        ("pull", ReportSource::Probes),
        ("silent", ReportSource::None),
    ];
    let discovery = [("automatic", false), ("subscribe", true)];
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
        polls_engine_list: pairs.word("discovery", &discovery, Some(false))?,
        report_source: pairs.word("report.source", &sources, Some(ReportSource::None))?,
        limits,
        warmup_initial_share: pairs.number("rules.cold_share", Some(0.0))?.min(1.0),
        warmup_time: pairs.millis("rules.cold", Some(0.0))?,
        warmup_budget: pairs
            .millis("rules.fall", Some(0.0))?
            .mul_f64(pairs.number("rules.fall_multiple", Some(0.0))?.clamp(0.0, 1e3)),
        held_state_limit: pairs.millis("extra.let_go_by", Some(0.0))?,
    })
}

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

fn classes(pairs: &Pairs<'_>) -> Result<Vec<Class>, SettingFault> {
    let per_1000_tokens = pairs.numbers(OBJECTIVE_PER_TOKENS)?;
    let count = pairs.count("classes.count", None)?;
    (0..count as usize).map(|index| class(pairs, index, &per_1000_tokens)).collect()
}

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

/// The names of the objects of a list, in order; empty where none is told.
fn numbered_names(pairs: &Pairs<'_>, list: &str, count: usize) -> Vec<String> {
    let name = |index| pairs.get(&format!("{list}.{index}.name")).unwrap_or("").to_owned();
    (0..count).map(name).collect()
}

/// The longest deadline of a class, of those that are told.
fn longest_wait(pairs: &Pairs<'_>, class_count: usize) -> Result<Option<Duration>, SettingFault> {
    let deadline = |index| pairs.optional_millis(&format!("classes.{index}.deadline"));
    let deadlines = (0..class_count).map(deadline).collect::<Result<Vec<_>, _>>()?;
    Ok(deadlines.into_iter().flatten().max())
}

/// Two classes of one name that may be repeated differently leave open which of them a request is of.
fn check_class_names(pairs: &Pairs<'_>, classes: &[Class]) -> Result<(), SettingFault> {
    let mut first_by_name: BTreeMap<&str, (usize, Idempotency)> = BTreeMap::new();
    for (index, class) in classes.iter().enumerate() {
        let name = pairs.get(&format!("classes.{index}.name")).unwrap_or_default();
        let &mut (first, idempotency) = first_by_name.entry(name).or_insert((index, class.idempotency));
        if idempotency != class.idempotency {
            return Err(SettingFault::AmbiguousClassName { index, first, name: name.to_owned() });
        }
    }
    Ok(())
}

/// How often a request of a class may run. What is not told gets the strictest meaning: not idempotent; the scope of one
/// cell; a window of nothing.
fn idempotency(pairs: &Pairs<'_>, index: usize) -> Result<Idempotency, SettingFault> {
    let key = |field: &str| format!("classes.{index}.{field}");
    let scopes = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    let kinds = [("safe", RepeatRule::Safe), ("keyed", RepeatRule::Keyed), ("unsafe", RepeatRule::Unsafe)];
    Ok(match pairs.word(&key("idempotency"), &kinds, Some(RepeatRule::Unsafe))? {
        RepeatRule::Safe => Idempotency::Idempotent,
        RepeatRule::Keyed => Idempotency::WithKey {
            scope: pairs.word(&key("group"), &scopes, Some(DeduplicationScope::Cell))?,
            window: pairs.millis(&key("window"), Some(0.0))?,
        },
        RepeatRule::Unsafe => Idempotency::NotIdempotent,
    })
}

/// The words of the settings on how a class may be repeated.
#[derive(Clone, Copy)]
enum RepeatRule {
    Safe,
    Keyed,
    Unsafe,
}

fn class(pairs: &Pairs<'_>, index: usize, per_1000_tokens: &[f64]) -> Result<Class, SettingFault> {
    let key = |field: &str| format!("classes.{index}.{field}");
    let name = pairs.get(&key("name")).unwrap_or_default();
    let idempotency = idempotency(pairs, index)
        .map_err(|fault| SettingFault::OfClass { name: name.to_owned(), fault: Box::new(fault) })?;
    let latency_objective = pairs.millis(&key("target"), None)?;
    let microseconds = per_1000_tokens.get(index).copied().unwrap_or(0.0);
    let latency_objective_per_1000_tokens = Duration::try_from_secs_f64(microseconds / 1e6)
        .map_err(|_| SettingFault::ListTimeTooLong { key: OBJECTIVE_PER_TOKENS.to_owned() })?;
    Ok(Class {
        latency_objective,
        latency_objective_per_1000_tokens,
        priority_weight: pairs.number(&key("worth"), None)?,
        idempotency,
        streams: pairs.flag(&key("streaming"))?,
    })
}

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
