//! What the decision module is given of a request: class, tenant, session, shared beginning, length, time left, repeat.
//! Each is read from what the client sent; where a client says nothing, the rule is stated beside it.

use crate::settings::GatewaySettings;
use serde_json::Value;
use slipreel::{ClassId, Idempotency, TenantId};
use slipreel_protocol::http::Head;
use slipreel_protocol::messages::{ApiError, ErrorKind, MessagesRequest};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Bytes of text that are taken for one token. English prose in common vocabularies; a seam for a tokeniser.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Tokens that the frame of a message adds. What common chat templates add.
const TOKENS_PER_MESSAGE: f64 = 4.0;
/// Longest idempotency key that is passed on, bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// Who asks, as the key tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) tenant: TenantId,
    pub(crate) may_choose_class: bool,
}

/// Finds the tenant of `x-api-key`, else of a bearer token.
pub(crate) fn caller(settings: &GatewaySettings, head: &Head) -> Result<Caller, ApiError> {
    if settings.tenants.is_empty() {
        return Ok(Caller { tenant: TenantId(0), may_choose_class: true });
    }
    let bearer = head
        .get("authorization")
        .and_then(|v| v.split_once(' '))
        .filter(|(s, _)| s.eq_ignore_ascii_case("bearer"));
    let Some(key) = head.get("x-api-key").or(bearer.map(|(_, key)| key.trim())).filter(|k| !k.is_empty())
    else {
        return Err(ApiError::new(ErrorKind::Authentication, "x-api-key: expected a key, or a bearer token"));
    };
    let holds = |keys: &[String]| keys.iter().fold(false, |found, k| found | same_key(k, key));
    let found = settings.tenants.iter().position(|t| holds(&t.keys));
    let Some(tenant) = found else {
        return Err(ApiError::new(ErrorKind::Authentication, "invalid x-api-key"));
    };
    Ok(Caller { tenant: TenantId(tenant), may_choose_class: settings.tenants[tenant].may_choose_class })
}

/// Compares in a time that does not tell how much of the key was right.
fn same_key(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}

/// What was found out about one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestAttributes {
    pub(crate) class: ClassId,
    pub(crate) served_as: String,
    pub(crate) session: u64,
    pub(crate) shared_prefix: Option<u64>,
    pub(crate) prompt_tokens: f64,
    pub(crate) time_left: Duration,
    /// The client's own timeout, if it sends one.
    pub(crate) told: Option<Duration>,
    pub(crate) repeat: bool,
    pub(crate) idempotency_key: Option<String>,
}

/// Reads them off a message request.
pub(crate) fn traits(
    settings: &GatewaySettings, head: &Head, caller: Caller, request: &MessagesRequest, body_len: usize,
) -> Result<RequestAttributes, ApiError> {
    let Some(model) = settings.models.iter().find(|m| m.name == request.model) else {
        return Err(ApiError::new(ErrorKind::NotFound, format!("model: {}", request.model)));
    };
    let class = match head.get("x-slipreel-class") {
        None => model.class,
        Some(_) if !caller.may_choose_class => {
            return Err(ApiError::new(
                ErrorKind::Permission,
                "x-slipreel-class: this key may not choose a class",
            ));
        }
        Some(name) => {
            if let Some(class) = settings.classes.iter().position(|c| c.name == name) {
                class
            } else {
                let known: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
                let text = format!("x-slipreel-class: {name:?}: expected one of {}", known.join(", "));
                return Err(ApiError::new(ErrorKind::InvalidRequest, text));
            }
        }
    };
    let keyed = matches!(settings.decisions.classes[class].idempotency, Idempotency::WithKey { .. });
    let idempotency_key = head.get("idempotency-key").filter(|_| keyed);
    if idempotency_key.is_some_and(|k| k.is_empty() || k.len() > MAX_IDEMPOTENCY_KEY) {
        return Err(ApiError::new(ErrorKind::InvalidRequest, "idempotency-key: expected 1 to 256 bytes"));
    }
    let told = client_timeout(head);
    Ok(RequestAttributes {
        class: ClassId(class),
        served_as: model.served_as.clone(),
        session: session(head, request),
        shared_prefix: shared_prefix(request),
        prompt_tokens: prompt_tokens(request, body_len),
        time_left: told.map_or(settings.classes[class].client_timeout, |told| {
            told.min(settings.classes[class].client_timeout)
        }),
        told,
        // The public clients count their own retries in this field.
        repeat: head
            .get("x-stainless-retry-count")
            .and_then(|v| v.parse::<u32>().ok())
            .is_some_and(|n| n > 0),
        idempotency_key: idempotency_key.map(str::to_owned),
    })
}

/// A header, else `metadata.user_id`, else the first message with the system text: later turns repeat both.
fn session(head: &Head, request: &MessagesRequest) -> u64 {
    let named = head.get("x-session-id").or(request.user.as_deref());
    named.map_or_else(
        || hash_values([request.system.as_ref(), request.messages.first()]),
        |name| xxh3_64(name.as_bytes()),
    )
}

/// The beginning that other sessions share: tools and system, and the first message as far as its first
/// `cache_control` mark, where the client itself says that a beginning ends. `None` if there is neither.
fn shared_prefix(request: &MessagesRequest) -> Option<u64> {
    let marked = request.messages.first().and_then(|m| m.get("content")?.as_array()).and_then(|blocks| {
        let end = blocks.iter().position(|b| b.get("cache_control").is_some())?;
        Some(Value::Array(blocks[..=end].to_vec()))
    });
    let parts = [request.tools.as_ref(), request.system.as_ref(), marked.as_ref()];
    parts.iter().any(Option::is_some).then(|| hash_values(parts))
}

fn hash_values<const N: usize>(values: [Option<&Value>; N]) -> u64 {
    let mut hash = Xxh3::new();
    for value in values {
        hash.update(value.map(Value::to_string).unwrap_or_default().as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}

/// The length of the prompt, estimated from its bytes.
pub(crate) fn prompt_tokens(request: &MessagesRequest, body_len: usize) -> f64 {
    (body_len as f64 / BYTES_PER_TOKEN + TOKENS_PER_MESSAGE * request.messages.len() as f64).ceil()
}

/// The client's own timeout. The public clients send it in seconds.
fn client_timeout(head: &Head) -> Option<Duration> {
    let told = head.get("x-stainless-timeout").and_then(|v| v.parse::<f64>().ok());
    told.filter(|s| s.is_finite() && *s > 0.0).and_then(|s| Duration::try_from_secs_f64(s).ok())
}
