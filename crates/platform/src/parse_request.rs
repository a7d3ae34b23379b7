//! Parses the head of a client's request into the request for the decision module.

use crate::request_error::RequestError;
use slipreel::{ClassId, Request, TenantId};
use slipreel_connections::ReceivedRequest;
use slipreel_platform_settings::{as_named, Profile};
use slipreel_protocol::http::Head;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of tokens that a request may state.
pub(crate) const MAX_TOKENS: f64 = 1e7;
/// Maximum length of a request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Maximum number of digits of a deadline, the decimal point included.
const MAX_DEADLINE_DIGITS: usize = 15;
/// Estimated characters per token, for a request that does not state the length of its prompt.
const CHARACTERS_PER_TOKEN: f64 = 4.0;

/// A parsed request, with the id that its client gave it.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) client_id: String,
    /// The request for the decision module, without its id.
    pub(crate) request: Request,
}

/// The content of the header field `X-Extras`. Unknown names are checked and skipped.
#[derive(Debug, Default)]
struct Extras {
    shared_prefix: Option<u64>,
    prompt_tokens: Option<f64>,
    max_output_tokens: Option<f64>,
}

/// Parses a number of tokens.
fn parse_tokens(name: &str, text: &str) -> Result<f64, RequestError> {
    match text.parse::<f64>() {
        Ok(tokens) if (0.0..=MAX_TOKENS).contains(&tokens) => Ok(tokens),
        _ => Err(RequestError::InvalidTokens { name: name.to_owned(), value: text.to_owned() }),
    }
}

/// Parses a time such as `4800m` (milliseconds) or `4800000u` (microseconds).
fn parse_time(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let is_digit = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if number.is_empty() || number.len() > MAX_DEADLINE_DIGITS || !number.bytes().all(is_digit) {
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

/// Converts an opaque id to a number: its value if it is hex, else a hash of its bytes.
fn parse_key(text: &str) -> u64 {
    let is_short = !text.is_empty() && text.len() <= 16;
    let hex = is_short.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    hex.unwrap_or_else(|| xxh3_64(text.as_bytes()))
}

/// The value of a header field that may be given only once. An empty value counts as absent.
fn single_field<'a>(head: &'a Head, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    let mut values = head.fields().filter(|&(field, _)| field == name).map(|(_, value)| value);
    match (values.next(), values.next()) {
        (_, Some(_)) => Err(RequestError::RepeatedField { field: name }),
        (value, None) => Ok(value.filter(|value| !value.is_empty())),
    }
}

fn parse_client_id(head: &Head) -> Result<&str, RequestError> {
    let id = single_field(head, "x-request-id")?.ok_or(RequestError::MissingId)?;
    let is_visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.len() > MAX_REQUEST_ID_BYTES || !is_visible || id.contains(['/', '?', '#', '%']) {
        return Err(RequestError::InvalidId);
    }
    Ok(id)
}

fn parse_class(profile: &Profile, head: &Head) -> Result<ClassId, RequestError> {
    let name = single_field(head, "x-class")?.unwrap_or_default();
    let index = profile.classes.iter().position(|class| *class == as_named(name));
    index.map(ClassId).ok_or_else(|| RequestError::UnknownClass(name.to_owned()))
}

/// The tenant; the first one if the settings name no tenants.
fn parse_tenant(profile: &Profile, head: &Head) -> Result<TenantId, RequestError> {
    let name = single_field(head, "x-tenant")?;
    if profile.tenants.is_empty() {
        return Ok(TenantId(0));
    }
    let name = name.ok_or(RequestError::MissingTenant)?;
    let index = profile.tenants.iter().position(|tenant| *tenant == as_named(name));
    index.map(TenantId).ok_or_else(|| RequestError::UnknownTenant(name.to_owned()))
}

fn parse_extras(head: &Head) -> Result<Extras, RequestError> {
    let mut extras = Extras::default();
    let text = single_field(head, "x-extras")?.unwrap_or_default();
    for field in text.split(',').filter(|field| !field.trim().is_empty()) {
        let Some((name, value)) = field.trim().split_once('=') else {
            return Err(RequestError::InvalidExtra(field.to_owned()));
        };
        match name {
            "prefix" => extras.shared_prefix = Some(parse_key(value)).filter(|&key| key != 0),
            "prompt_len" => extras.prompt_tokens = Some(parse_tokens(name, value)?),
            "max_out" => extras.max_output_tokens = Some(parse_tokens(name, value)?),
            _ => {
                parse_tokens(name, value)?;
            }
        }
    }
    Ok(extras)
}

/// Parses a request.
///
/// # Errors
/// The first header field that is missing or invalid.
pub(crate) fn parse(profile: &Profile, received: &ReceivedRequest) -> Result<ParsedRequest, RequestError> {
    let head = &received.head;
    let client_id = parse_client_id(head)?;
    let class = parse_class(profile, head)?;
    let tenant = parse_tenant(profile, head)?;
    let deadline = single_field(head, "x-deadline")?.unwrap_or_default();
    let client_timeout =
        parse_time(deadline).ok_or_else(|| RequestError::InvalidDeadline(deadline.to_owned()))?;
    let extras = parse_extras(head)?;
    let session = single_field(head, "x-key")?.map_or_else(|| xxh3_64(client_id.as_bytes()), parse_key);
    let retry = single_field(head, "x-retry")?;
    Ok(ParsedRequest {
        client_id: client_id.to_owned(),
        request: Request {
            class,
            tenant,
            session,
            shared_prefix: extras.shared_prefix,
            prompt_tokens: extras.prompt_tokens.unwrap_or(received.body.len() as f64 / CHARACTERS_PER_TOKEN),
            max_output_tokens: extras.max_output_tokens.unwrap_or(0.0),
            client_timeout,
            is_retry: retry == Some("1"),
            is_resumption: retry == Some("again"),
            ..Request::default()
        },
    })
}

#[cfg(test)]
mod tests;
