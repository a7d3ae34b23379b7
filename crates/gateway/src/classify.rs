//! The attributes of a request for the decision module: class, tenant, session, shared prefix, prompt length,
//! time left, and whether it is a retry. Each is taken from what the client sent, with a documented rule for
//! what it left out.

use crate::settings::GatewaySettings;
use serde_json::Value;
use slipreel::{ClassId, Idempotency, TenantId};
use slipreel_protocol::http::Head;
use slipreel_protocol::messages::{ApiError, ErrorKind, MessagesRequest};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Bytes of text that count as one token: English prose in common vocabularies. A tokeniser can replace this
/// estimate.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Tokens that common chat templates add to each message.
const TOKENS_PER_MESSAGE: f64 = 4.0;
/// The longest idempotency key that is accepted, bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// The client's tenant and rights, determined by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Caller {
    pub(crate) tenant: TenantId,
    pub(crate) may_choose_class: bool,
}

/// Identifies the caller by `x-api-key`, else by a bearer token.
pub(crate) fn caller(settings: &GatewaySettings, head: &Head) -> Result<Caller, ApiError> {
    if settings.tenants.is_empty() {
        return Ok(Caller { tenant: TenantId(0), may_choose_class: true });
    }
    let bearer = head
        .get("authorization")
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let Some(key) = head.get("x-api-key").or(bearer.map(|(_, key)| key.trim())).filter(|key| !key.is_empty())
    else {
        return Err(ApiError::new(ErrorKind::Authentication, "x-api-key: expected a key, or a bearer token"));
    };
    let contains_key = |keys: &[String]| keys.iter().fold(false, |found, k| found | keys_match(k, key));
    let position = settings.tenants.iter().position(|tenant| contains_key(&tenant.keys));
    let Some(tenant) = position else {
        return Err(ApiError::new(ErrorKind::Authentication, "invalid x-api-key"));
    };
    Ok(Caller { tenant: TenantId(tenant), may_choose_class: settings.tenants[tenant].may_choose_class })
}

/// Compares two keys in a time that does not reveal how much of the key was right.
fn keys_match(a: &str, b: &str) -> bool {
    a.len() == b.len() && a.bytes().zip(b.bytes()).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
}

/// The attributes of a message request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestAttributes {
    pub(crate) class: ClassId,
    /// The name of the model at the engines.
    pub(crate) served_as: String,
    /// A hash that is the same for all requests of a session.
    pub(crate) session: u64,
    /// A hash of the beginning of the prompt that other sessions share, if there is one.
    pub(crate) shared_prefix: Option<u64>,
    pub(crate) prompt_tokens: f64,
    /// How long the client still waits for the answer to begin.
    pub(crate) time_left: Duration,
    /// The client's own timeout, if it sends one.
    pub(crate) client_timeout: Option<Duration>,
    pub(crate) is_retry: bool,
    pub(crate) idempotency_key: Option<String>,
}

/// Extracts the attributes of a message request.
pub(crate) fn attributes(
    settings: &GatewaySettings, head: &Head, caller: Caller, request: &MessagesRequest, body_len: usize,
) -> Result<RequestAttributes, ApiError> {
    let Some(model) = settings.models.iter().find(|model| model.name == request.model) else {
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
            if let Some(class) = settings.classes.iter().position(|class| class.name == name) {
                class
            } else {
                let known: Vec<&str> = settings.classes.iter().map(|class| class.name.as_str()).collect();
                let text = format!("x-slipreel-class: {name:?}: expected one of {}", known.join(", "));
                return Err(ApiError::new(ErrorKind::InvalidRequest, text));
            }
        }
    };
    let uses_key = matches!(settings.decisions.classes[class].idempotency, Idempotency::WithKey { .. });
    let idempotency_key = head.get("idempotency-key").filter(|_| uses_key);
    if idempotency_key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(ApiError::new(ErrorKind::InvalidRequest, "idempotency-key: expected 1 to 256 bytes"));
    }
    let client_timeout = client_timeout(head);
    Ok(RequestAttributes {
        class: ClassId(class),
        served_as: model.served_as.clone(),
        session: session(head, request),
        shared_prefix: shared_prefix(request),
        prompt_tokens: prompt_tokens(request, body_len),
        time_left: client_timeout.map_or(settings.classes[class].client_timeout, |client_timeout| {
            client_timeout.min(settings.classes[class].client_timeout)
        }),
        client_timeout,
        // The public client libraries count their own retries in this field.
        is_retry: head
            .get("x-stainless-retry-count")
            .and_then(|value| value.parse::<u32>().ok())
            .is_some_and(|retries| retries > 0),
        idempotency_key: idempotency_key.map(str::to_owned),
    })
}

/// The session: `x-session-id`, else `metadata.user_id`, else the system text and the first message, which
/// later turns repeat.
fn session(head: &Head, request: &MessagesRequest) -> u64 {
    let session_name = head.get("x-session-id").or(request.user.as_deref());
    session_name.map_or_else(
        || hash_values([request.system.as_ref(), request.messages.first()]),
        |name| xxh3_64(name.as_bytes()),
    )
}

/// The beginning of the prompt that other sessions share: the tools, the system text, and the first message
/// up to its first `cache_control` mark, with which the client itself ends a shared prefix. `None` if there
/// is none of these.
fn shared_prefix(request: &MessagesRequest) -> Option<u64> {
    let marked_blocks =
        request.messages.first().and_then(|message| message.get("content")?.as_array()).and_then(|blocks| {
            let end = blocks.iter().position(|block| block.get("cache_control").is_some())?;
            Some(Value::Array(blocks[..=end].to_vec()))
        });
    let parts = [request.tools.as_ref(), request.system.as_ref(), marked_blocks.as_ref()];
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

/// The number of prompt tokens, estimated from the length of the body.
pub(crate) fn prompt_tokens(request: &MessagesRequest, body_len: usize) -> f64 {
    (body_len as f64 / BYTES_PER_TOKEN + TOKENS_PER_MESSAGE * request.messages.len() as f64).ceil()
}

/// The client's own timeout. The public client libraries send it in seconds.
fn client_timeout(head: &Head) -> Option<Duration> {
    let seconds = head.get("x-stainless-timeout").and_then(|value| value.parse::<f64>().ok());
    seconds.filter(|s| s.is_finite() && *s > 0.0).and_then(|s| Duration::try_from_secs_f64(s).ok())
}
