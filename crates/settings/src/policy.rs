//! Which settings are the fleet's policy, and which are a router's own.
//!
//! Policy: what all routers have to agree on. It has one canonical text, by which two files are the same
//! policy or are not.

use crate::doc::{Doc, Fault};
use crate::site::{read_daemon_settings, DAEMON_SECTIONS};
use crate::DaemonSettings;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The sections that are policy, in their canonical order. All others are a router's own.
pub const POLICY_SECTIONS: &[&str] = &["limits", "class", "model", "tenant", "operations"];

/// A policy as it was read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// In canonical form.
    pub text: String,
    /// Keys of the file that are a router's own and were left aside.
    pub non_policy_keys: Vec<String>,
}

/// Reads the policy of a file: a whole settings file, or its policy sections alone.
///
/// # Errors
/// Every fault of it, with its line in the file.
pub fn policy_of(text: &str, file: &str) -> Result<Policy, Vec<Fault>> {
    let mut doc = Doc::parse(text, file)?;
    let non_policy_keys = doc.only(POLICY_SECTIONS);
    let canonical = doc.canonical(POLICY_SECTIONS);
    let _ = read_daemon_settings(&mut doc, false);
    doc.finish(POLICY_SECTIONS)?;
    Ok(Policy { text: canonical, non_policy_keys })
}

/// The settings of a router whose own sections are those of its file, and whose policy is this one.
///
/// # Errors
/// Every fault; those of the policy name its own lines, in `policy`.
pub fn settings_with_policy(own: &str, file: &str, policy: &str) -> Result<DaemonSettings, Vec<Fault>> {
    let mut doc = Doc::parse(own, file)?;
    doc.put(POLICY_SECTIONS, Doc::parse(policy, "policy")?);
    let daemon = read_daemon_settings(&mut doc, true);
    doc.skip("roles");
    doc.finish(DAEMON_SECTIONS)?;
    daemon.ok_or_else(Vec::new)
}

/// A tenant's keys are its clients' secrets: shown as marks by which they can be told apart, not used.
fn mask(key: &str, value: &str) -> String {
    if key != "keys" {
        return value.to_owned();
    }
    let keys = value.split(',').map(str::trim).filter(|k| !k.is_empty());
    let marks: Vec<String> = keys.map(|k| format!("key:{:08x}", xxh3_64(k.as_bytes()) as u32)).collect();
    marks.join(", ")
}

/// A policy's text for people: keys of tenants are marks.
pub fn masked(text: &str) -> String {
    let lines = text.lines().map(|line| match line.split_once(" = ") {
        Some((key, value)) => format!("{key} = {}\n", mask(key, value)),
        None => format!("{line}\n"),
    });
    lines.collect()
}

/// What a change from one policy's text to another's means, a line each. Texts may be masked.
///
/// # Errors
/// One of them can't be read.
pub fn changes(before: &str, after: &str) -> Result<Vec<String>, Vec<Fault>> {
    let facts = |text: &str, file: &str| -> Result<BTreeMap<String, BTreeMap<String, String>>, Vec<Fault>> {
        let mut all: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
        for (head, key, value) in Doc::parse(text, file)?.facts() {
            let value = if value.starts_with("key:") { value } else { mask(&key, &value) };
            all.entry(head).or_default().insert(key, value);
        }
        Ok(all)
    };
    let (old, new) = (facts(before, "in force")?, facts(after, "proposed")?);
    let mut lines = Vec::new();
    for (head, keys) in &new {
        let Some(had) = old.get(head) else {
            let said: Vec<String> = keys.iter().map(|(k, v)| format!("{k} = {v}")).collect();
            lines.push(format!("[{head}] is new: {}{}", said.join(", "), meaning_of_section(head, true)));
            continue;
        };
        for (key, value) in keys {
            match had.get(key) {
                Some(was) if was == value => {}
                Some(was) => {
                    lines.push(format!("[{head}] {key}: {was} becomes {value}{}", meaning(head, key)));
                }
                None => lines.push(format!("[{head}] {key}: not set becomes {value}{}", meaning(head, key))),
            }
        }
        for (key, was) in had.iter().filter(|(key, _)| !keys.contains_key(*key)) {
            lines.push(format!("[{head}] {key}: {was} is not set any more{}", meaning(head, key)));
        }
    }
    for head in old.keys().filter(|head| !new.contains_key(*head)) {
        lines.push(format!("[{head}] is gone{}", meaning_of_section(head, false)));
    }
    Ok(lines)
}

fn meaning_of_section(head: &str, new: bool) -> String {
    let what = match (head.split(' ').next().unwrap_or(head), new) {
        ("tenant", true) => "its keys are taken from then on",
        ("tenant", false) => "its keys are not taken any more: 401",
        ("model", true) => "clients may ask for it",
        ("model", false) => "clients that ask for it get 404",
        ("class", false) => "its requests under way end by it; no new one is of it",
        _ => return String::new(),
    };
    format!("; {what}")
}

/// What a key does to traffic, in words.
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
