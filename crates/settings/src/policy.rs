//! Separates the fleet's policy from a router's own settings, and describes changes of the policy.
//!
//! The policy is the part of the settings on which all routers have to agree. Its canonical text shows
//! whether two files have the same policy.

use crate::daemon::{read_daemon_settings, DAEMON_SECTIONS};
use crate::doc::{Doc, Fault};
use crate::DaemonSettings;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The sections that belong to the policy, in their canonical order. All others are a router's own settings.
pub const POLICY_SECTIONS: &[&str] = &["limits", "class", "model", "tenant", "operations"];

/// A policy that was read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Its text in canonical form.
    pub text: String,
    /// Keys of the file that are a router's own settings, with their sections.
    pub non_policy_keys: Vec<String>,
}

/// Reads the policy from a file, which is a whole settings file or has only the policy sections.
///
/// # Errors
/// Every fault of the policy, with its line in the file.
pub fn policy_of(text: &str, file: &str) -> Result<Policy, Vec<Fault>> {
    let mut doc = Doc::parse(text, file)?;
    let non_policy_keys = doc.retain_sections(POLICY_SECTIONS);
    let canonical = doc.canonical(POLICY_SECTIONS);
    let _ = read_daemon_settings(&mut doc, false);
    doc.finish(POLICY_SECTIONS)?;
    Ok(Policy { text: canonical, non_policy_keys })
}

/// Reads a router's settings from its own file, with the policy sections replaced by those of `policy`.
///
/// # Errors
/// Every fault; those of the policy are given with their lines in the file `policy`.
pub fn settings_with_policy(own: &str, file: &str, policy: &str) -> Result<DaemonSettings, Vec<Fault>> {
    let mut doc = Doc::parse(own, file)?;
    doc.replace_sections(POLICY_SECTIONS, Doc::parse(policy, "policy")?);
    let daemon = read_daemon_settings(&mut doc, true);
    doc.skip("roles");
    doc.finish(DAEMON_SECTIONS)?;
    daemon.ok_or_else(Vec::new)
}

/// Masks the value of a tenant's `keys`, which are secrets of its clients. Each key is replaced by a hash, by
/// which keys can be compared but not used.
fn mask(key: &str, value: &str) -> String {
    if key != "keys" {
        return value.to_owned();
    }
    let keys = value.split(',').map(str::trim).filter(|k| !k.is_empty());
    let hashes: Vec<String> = keys.map(|k| format!("key:{:08x}", xxh3_64(k.as_bytes()) as u32)).collect();
    hashes.join(", ")
}

/// A policy's text with the keys of tenants masked, for display.
pub fn masked(text: &str) -> String {
    let lines = text.lines().map(|line| match line.split_once(" = ") {
        Some((key, value)) => format!("{key} = {}\n", mask(key, value)),
        None => format!("{line}\n"),
    });
    lines.collect()
}

/// Describes the differences between two policy texts, one line each. The texts may be masked.
///
/// # Errors
/// One of them can't be read.
pub fn changes(before: &str, after: &str) -> Result<Vec<String>, Vec<Fault>> {
    let entries =
        |text: &str, file: &str| -> Result<BTreeMap<String, BTreeMap<String, String>>, Vec<Fault>> {
            let mut sections: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
            for (head, key, value) in Doc::parse(text, file)?.entries() {
                let value = if value.starts_with("key:") { value } else { mask(&key, &value) };
                sections.entry(head).or_default().insert(key, value);
            }
            Ok(sections)
        };
    let (old, new) = (entries(before, "in force")?, entries(after, "proposed")?);
    let mut lines = Vec::new();
    for (head, keys) in &new {
        let Some(old_keys) = old.get(head) else {
            let settings: Vec<String> = keys.iter().map(|(k, v)| format!("{k} = {v}")).collect();
            lines.push(format!("[{head}] is new: {}{}", settings.join(", "), meaning_of_section(head, true)));
            continue;
        };
        for (key, value) in keys {
            match old_keys.get(key) {
                Some(old_value) if old_value == value => {}
                Some(old_value) => {
                    lines.push(format!("[{head}] {key}: {old_value} becomes {value}{}", meaning(head, key)));
                }
                None => lines.push(format!("[{head}] {key}: not set becomes {value}{}", meaning(head, key))),
            }
        }
        for (key, old_value) in old_keys.iter().filter(|(key, _)| !keys.contains_key(*key)) {
            lines.push(format!("[{head}] {key}: {old_value} is not set any more{}", meaning(head, key)));
        }
    }
    for head in old.keys().filter(|head| !new.contains_key(*head)) {
        lines.push(format!("[{head}] is gone{}", meaning_of_section(head, false)));
    }
    Ok(lines)
}

/// How a section that was added or removed affects traffic; empty where there is nothing to explain.
fn meaning_of_section(head: &str, is_added: bool) -> String {
    let what = match (head.split(' ').next().unwrap_or(head), is_added) {
        ("tenant", true) => "its keys are taken from then on",
        ("tenant", false) => "its keys are not taken any more: 401",
        ("model", true) => "clients may ask for it",
        ("model", false) => "clients that ask for it get 404",
        ("class", false) => "its requests under way end by it; no new one is of it",
        _ => return String::new(),
    };
    format!("; {what}")
}

/// How a key affects traffic; empty where there is nothing to explain.
fn meaning(head: &str, key: &str) -> String {
    let what = match (head.split(' ').next().unwrap_or(head), key) {
        ("class", "worth") => "who is refused first when the fleet is full",
        ("class", "aim" | "aim_per_1000") => "when its first token is late",
        ("class", "patience") => "how long its clients are waited for unless they say",
        ("class", "effect" | "group" | "window") => "whether a failed request is tried again",
        ("tenant", "quota_per_s") => "from which rate on its requests are worth less",
        ("tenant", "keys") => "which keys are taken",
        ("tenant", "may_choose_class") => "whether its requests may name a class",
        ("model", "class") => "of which class its requests are",
        ("model", "served_as") => "by which name engines are asked for it",
        ("limits", "attempts") => "how often a request is tried",
        ("limits", "cold_share" | "cold_time" | "cold_budget") => "how much a started engine is given",
        ("limits", "retry_after") => "when refused clients may come again, at most",
        ("operations", "taken_out") => "which engines take nothing new",
        ("operations", "roles_frozen") => "whether engines change their roles",
        _ => return String::new(),
    };
    format!(" ({what})")
}

#[cfg(test)]
mod tests;
