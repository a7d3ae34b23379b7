//! What a client's request asks for, read off its head.

use crate::room;
use slipreel::{ClassId, Request, TenantId};
use slipreel_connections::Received;
use slipreel_platform_settings::{as_named, Profile};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A request that can't be taken: the status and why.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Bad(pub(crate) u16, pub(crate) String);

fn bad<T>(why: impl Into<String>) -> Result<T, Bad> {
    Err(Bad(400, why.into()))
}

/// What is asked, and the name by which its client knows the request.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) name: String,
    /// All but its id.
    pub(crate) request: Request,
}

/// A length in tokens.
fn tokens(name: &str, text: &str) -> Result<f64, Bad> {
    match text.parse::<f64>() {
        Ok(n) if (0.0..=room::TOKENS).contains(&n) => Ok(n),
        _ => bad(format!("X-Extras {name}: {text:?}: expected 0 to {} tokens", room::TOKENS)),
    }
}

/// `4800m` or `4800000u`.
fn time(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if number.is_empty() || number.len() > 15 || !number.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let number: f64 = number.parse().ok()?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

/// An opaque id as a number: its own if it is one in hex, else that of its bytes.
fn key(text: &str) -> u64 {
    let hex = (!text.is_empty() && text.len() <= 16).then(|| u64::from_str_radix(text, 16).ok()).flatten();
    hex.unwrap_or_else(|| xxh3_64(text.as_bytes()))
}

/// Reads a request.
pub(crate) fn read(profile: &Profile, received: &Received) -> Result<Ask, Bad> {
    let head = &received.head;
    let once = |name: &'static str| {
        let mut all = head.fields().filter(|&(n, _)| n == name).map(|(_, v)| v);
        match (all.next(), all.next()) {
            (_, Some(_)) => bad(format!("{name}: given twice")),
            (one, None) => Ok(one.filter(|v| !v.is_empty())),
        }
    };
    let Some(name) = once("x-request-id")? else { return bad("X-Request-Id: missing") };
    if name.len() > room::NAME
        || !name.bytes().all(|b| b.is_ascii_graphic())
        || name.contains(['/', '?', '#', '%'])
    {
        return bad("X-Request-Id: expected up to 128 visible characters");
    }
    let class = once("x-class")?.unwrap_or_default();
    let Some(class_at) = profile.classes.iter().position(|c| *c == as_named(class)) else {
        return bad(format!("X-Class: {class:?}: no such class"));
    };
    let tenant = match once("x-tenant")? {
        _ if profile.tenants.is_empty() => 0,
        None => return bad("X-Tenant: missing"),
        Some(tenant) => match profile.tenants.iter().position(|t| *t == as_named(tenant)) {
            Some(at) => at,
            None => return bad(format!("X-Tenant: {tenant:?}: no such tenant")),
        },
    };
    let deadline = once("x-deadline")?.unwrap_or_default();
    let Some(time_left) = time(deadline) else {
        return bad(format!("X-Deadline: {deadline:?}: expected a number and m or u"));
    };
    let (mut prefix, mut prompt, mut most) = (None, None, None);
    for field in once("x-extras")?.unwrap_or_default().split(',').filter(|f| !f.trim().is_empty()) {
        let Some((name, value)) = field.trim().split_once('=') else {
            return bad(format!("X-Extras: {field:?}: expected name=value"));
        };
        match name {
            "prefix" => prefix = Some(key(value)).filter(|&k| k != 0),
            "prompt_len" => prompt = Some(tokens(name, value)?),
            "max_out" => most = Some(tokens(name, value)?),
            _ => {
                tokens(name, value)?;
            }
        }
    }
    Ok(Ask {
        name: name.to_owned(),
        request: Request {
            class: ClassId(class_at),
            tenant: TenantId(tenant),
            session: once("x-key")?.map_or_else(|| xxh3_64(name.as_bytes()), key),
            shared_prefix: prefix,
            // One token is four characters.
            prompt_tokens: prompt.unwrap_or(received.body.len() as f64 / 4.0),
            max_output_tokens: most.unwrap_or(0.0),
            client_timeout: time_left,
            is_retry: once("x-retry")? == Some("1"),
            is_resumption: once("x-retry")? == Some("again"),
            ..Request::default()
        },
    })
}

#[cfg(test)]
mod tests;
