//! The settings of a router by the platform's names. The simulator hands them over as `path=value` lines, a real
//! router finds the same object as nested JSON in its configuration; both come to the same pairs and are read here
//! once. Nothing here decides anything.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use slipreel::{
    Class, DeduplicationScope, Idempotency, Limits, ReportSource, Role, Settings, Tenant, ZoneId,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// What one column of a load report holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Requests in hand.
    InFlight,
    /// Requests that wait.
    Queued,
    /// Share of slots in use.
    SlotShare,
    /// Share of memory held.
    MemoryShare,
    /// Thousands of prompt tokens that wait.
    WaitingThousands,
    /// Something that the module does not use.
    Other,
}

/// An instance's settings and how its load reports are laid out.
#[derive(Clone, Debug)]
pub struct Profile {
    /// What the module is handed.
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

/// A value that is missing where none is safe, or that can't be read: the key's name and why.
#[derive(Debug, PartialEq, Eq)]
pub struct BadSetting(pub String);

impl std::fmt::Display for BadSetting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}", self.0)
    }
}

impl std::error::Error for BadSetting {}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied().filter(|v| !v.is_empty())
    }

    fn number(&self, key: &str, default: Option<f64>) -> Result<f64, BadSetting> {
        match self.get(key) {
            Some(text) => match text.parse::<f64>() {
                Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
                _ => Err(BadSetting(format!("{key}: '{text}' is no number of 0 or more"))),
            },
            None => default.ok_or_else(|| BadSetting(format!("{key}: missing"))),
        }
    }

    fn millis(&self, key: &str, default: Option<f64>) -> Result<Duration, BadSetting> {
        let ms = self.number(key, default)?;
        Duration::try_from_secs_f64(ms / 1e3).map_err(|_| BadSetting(format!("{key}: {ms} is too long")))
    }

    fn count(&self, key: &str, default: Option<f64>) -> Result<u32, BadSetting> {
        let n = self.number(key, default)?;
        if n.fract() != 0.0 || n > 65_536.0 {
            return Err(BadSetting(format!("{key}: {n} is no count")));
        }
        Ok(n as u32)
    }

    fn flag(&self, key: &str) -> Result<bool, BadSetting> {
        self.word(key, &[("true", true), ("false", false)], Some(false))
    }

    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)], default: Option<T>) -> Result<T, BadSetting> {
        let Some(text) = self.get(key) else {
            return default.ok_or_else(|| BadSetting(format!("{key}: missing")));
        };
        let known = words.iter().find(|(word, _)| *word == text);
        let expected = || words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        known.map(|&(_, v)| v).ok_or_else(|| {
            BadSetting(format!("{key}: '{text}' is not known: expected one of {}", expected()))
        })
    }

    fn list(&self, key: &str) -> Vec<&'a str> {
        self.get(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>, BadSetting> {
        let read = |text: &str| text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        self.list(key)
            .into_iter()
            .map(|text| read(text).ok_or_else(|| BadSetting(format!("{key}: '{text}' is no number"))))
            .collect()
    }
}

/// Reads the settings. Keys that are not known are skipped. A missing key gets a neutral value (no
/// permission, no limit, no share) except where none is safe: the classes and the engines' roles.
///
/// # Errors
/// A value that is missing where none is safe, or can't be read.
pub fn parse(text: &str) -> Result<Profile, BadSetting> {
    read(&Pairs(text.lines().filter_map(|line| line.trim_end().split_once('=')).collect()))
}

/// Reads the settings from nested JSON: the same names and units, each level a part of the path.
///
/// # Errors
/// As [`parse`]; or it is no object.
pub fn from_json(value: &serde_json::Value) -> Result<Profile, BadSetting> {
    if !value.is_object() {
        return Err(BadSetting("settings: expected an object".into()));
    }
    let mut lines = Vec::new();
    flatten("", value, &mut lines);
    read(&Pairs(lines.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect()))
}

/// Appends the pairs of a value: lists of plain values joined by commas, lists of objects counted and numbered.
fn flatten(path: &str, value: &serde_json::Value, out: &mut Vec<(String, String)>) {
    use serde_json::Value;
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    let plain = |value: &Value| match value {
        Value::String(text) => as_named(text),
        Value::Null => String::new(),
        other => other.to_string(),
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&under(name), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push((under("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&under(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            out.push((path.to_owned(), items.iter().map(plain).collect::<Vec<_>>().join(",")));
        }
        one => out.push((path.to_owned(), plain(one))),
    }
}

fn read(pairs: &Pairs) -> Result<Profile, BadSetting> {
    let stretch = pairs.numbers("extra.aim_us_per_1000_prompt_tokens")?;
    let classes = (0..pairs.count("classes.count", None)?)
        .map(|i| class(pairs, i as usize, &stretch))
        .collect::<Result<Vec<_>, _>>()?;
    check_class_names(pairs, &classes)?;
    let tenants = (0..pairs.count("customers.count", Some(0.0))?)
        .map(|i| {
            let key = format!("customers.{i}.quota_per_s");
            let quota_per_s = pairs.get(&key).map(|_| pairs.number(&key, None)).transpose()?;
            Ok(Tenant { quota_per_s })
        })
        .collect::<Result<Vec<_>, _>>()?;
    let kinds = pairs
        .list("extra.role_by_kind")
        .into_iter()
        .map(|role| match role {
            "read" => Ok(Role::Prefill),
            "write" => Ok(Role::Decode),
            "both" => Ok(Role::Mixed),
            other => Err(BadSetting(format!("extra.role_by_kind: '{other}' is not known"))),
        })
        .collect::<Result<Vec<_>, _>>()?;
    if kinds.is_empty() {
        return Err(BadSetting("extra.role_by_kind: missing".into()));
    }
    let sources = [
        ("piggyback", ReportSource::Answers),
        ("pull", ReportSource::Probes),
        ("silent", ReportSource::None),
    ];
    let hears = pairs.flag("limits.retry_after")?;
    let limits = Limits {
        max_attempts: pairs.count("limits.send_cap", Some(2.0))? as usize,
        cancellation: pairs.flag("limits.cancelling")?,
        probes: pairs.flag("limits.may_probe")?,
        hedged_requests: pairs.flag("limits.second_copies")?,
        max_retry_after: hears.then(|| pairs.millis("limits.max_retry_after", Some(0.0))).transpose()?,
        connect_timeout: pairs.millis("limits.connect_timeout", Some(250.0))?,
    };
    let settings = Settings {
        router_count: pairs.count("balancers", Some(1.0))?.max(1),
        zone: ZoneId(pairs.count("zone", Some(0.0))?),
        tick: pairs.millis("tick", Some(1.0))?,
        classes,
        tenants,
        over_quota_weight: pairs.number("over_share_worth", Some(1.0))?,
        kind_roles: kinds,
        memory_tokens: pairs.numbers("extra.tokens_by_kind")?,
        decode_engines_prefill: pairs.flag("extra.local_read")?,
        polls_engine_list: pairs.word(
            "discovery",
            &[("automatic", false), ("subscribe", true)],
            Some(false),
        )?,
        report_source: pairs.word("report.source", &sources, Some(ReportSource::None))?,
        limits,
        warmup_initial_share: pairs.number("rules.cold_share", Some(0.0))?.min(1.0),
        warmup_time: pairs.millis("rules.cold", Some(0.0))?,
        warmup_budget: pairs
            .millis("rules.fall", Some(0.0))?
            .mul_f64(pairs.number("rules.fall_multiple", Some(0.0))?.clamp(0.0, 1e3)),
        held_state_limit: pairs.millis("extra.let_go_by", Some(0.0))?,
    };
    let names = |key: &str| pairs.list(key).into_iter().map(str::to_owned).collect::<Vec<_>>();
    let column_names = names("report.columns");
    let named = |list: &str, n: usize| {
        (0..n).map(|i| pairs.get(&format!("{list}.{i}.name")).unwrap_or("").to_owned()).collect::<Vec<_>>()
    };
    let waits = (0..settings.classes.len()).map(|i| format!("classes.{i}.deadline"));
    let waits = waits.filter(|key| pairs.get(key).is_some()).map(|key| pairs.millis(&key, None));
    let longest_wait = waits.collect::<Result<Vec<_>, _>>()?.into_iter().max();
    Ok(Profile {
        resumes: pairs.flag("extra.resume")?,
        longest_wait,
        columns: column_names.iter().map(|name| column(pairs, name)).collect(),
        column_names,
        classes: named("classes", settings.classes.len()),
        tenants: named("customers", settings.tenants.len()),
        kinds: names("host_types"),
        zones: names("azs"),
        idle_close: pairs
            .get("limits.idle_close")
            .map(|_| pairs.millis("limits.idle_close", None))
            .transpose()?,
        settings,
    })
}

/// Two classes of one name that may be repeated differently leave open which of them a request is of.
fn check_class_names(pairs: &Pairs, classes: &[Class]) -> Result<(), BadSetting> {
    let mut effects: BTreeMap<&str, (usize, Idempotency)> = BTreeMap::new();
    for (i, class) in classes.iter().enumerate() {
        let name = pairs.get(&format!("classes.{i}.name")).unwrap_or_default();
        let &mut (first, effect) = effects.entry(name).or_insert((i, class.idempotency));
        if effect != class.idempotency {
            return Err(BadSetting(format!(
                "classes.{i}.name: '{name}' is also the name of classes.{first}, which may be repeated differently: \
                 expected a name of its own, or the same idempotency, group and window"
            )));
        }
    }
    Ok(())
}

/// How often a request of a class may run. What is not told gets the strictest meaning: unsafe; the group of one cell; a
/// window of nothing.
fn effect(pairs: &Pairs, i: usize) -> Result<Idempotency, BadSetting> {
    let key = |field: &str| format!("classes.{i}.{field}");
    let groups = [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Cell),
    ];
    let kinds = [("safe", 0), ("keyed", 1), ("unsafe", 2)];
    Ok(match pairs.word(&key("idempotency"), &kinds, Some(2))? {
        0 => Idempotency::Idempotent,
        1 => Idempotency::WithKey {
            scope: pairs.word(&key("group"), &groups, Some(DeduplicationScope::Cell))?,
            window: pairs.millis(&key("window"), Some(0.0))?,
        },
        _ => Idempotency::NotIdempotent,
    })
}

fn class(pairs: &Pairs, i: usize, stretch: &[f64]) -> Result<Class, BadSetting> {
    let key = |field: &str| format!("classes.{i}.{field}");
    let name = pairs.get(&key("name")).unwrap_or_default();
    let effect = effect(pairs, i).map_err(|bad| BadSetting(format!("{} (of class '{name}')", bad.0)))?;
    Ok(Class {
        latency_objective: pairs.millis(&key("target"), None)?,
        latency_objective_per_1000_tokens: Duration::try_from_secs_f64(
            stretch.get(i).copied().unwrap_or(0.0) / 1e6,
        )
        .map_err(|_| BadSetting("extra.aim_us_per_1000_prompt_tokens: too long".into()))?,
        priority_weight: pairs.number(&key("worth"), None)?,
        idempotency: effect,
        streams: pairs.flag(&key("streaming"))?,
    })
}

fn column(pairs: &Pairs, name: &str) -> Column {
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
