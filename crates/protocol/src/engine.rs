//! What an engine speaks: chat completions with a transfer of read state, as the open engine serves
//! them with prefill and decode apart; ORCA load reports; Prometheus text.

use serde::Deserialize;
use serde_json::{json, Map, Value};

/// The type of an error body with which an engine turns a request away that never ran.
pub const ENGINE_FULL: &str = "engine_full";
/// The type of an error body with which a writer says that there is no state to fetch.
pub const NO_STATE: &str = "no_state";

/// The body of a read: one token, its state to be fetched by a writer.
pub fn prefill_body(chat: &Map<String, Value>) -> String {
    let mut body = chat.clone();
    body.insert("max_tokens".into(), 1.into());
    body.insert("stream".into(), false.into());
    body.insert(
        "kv_transfer_params".into(),
        json!({"do_remote_decode": true, "do_remote_prefill": false, "remote_engine_id": null,
               "remote_block_ids": null, "remote_host": null, "remote_port": null}),
    );
    Value::Object(body).to_string()
}

/// The body of a write, of the state that `transfer` names if there is one.
pub fn decode_body(chat: &Map<String, Value>, max_tokens: u32, transfer: Option<&Value>) -> String {
    let mut body = chat.clone();
    body.insert("max_tokens".into(), max_tokens.into());
    body.insert("stream".into(), true.into());
    body.insert("stream_options".into(), json!({"include_usage": true}));
    if let Some(transfer) = transfer {
        body.insert("kv_transfer_params".into(), transfer.clone());
    }
    Value::Object(body).to_string()
}

/// The body of an abort call.
pub fn abort_body(request: &str) -> String {
    json!({"request_ids": [request]}).to_string()
}

/// Tokens that an engine counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

impl Usage {
    /// Prompt tokens that were found kept.
    pub fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.and_then(|d| d.cached_tokens).unwrap_or(0)
    }
}

/// The answer to a read.
#[derive(Debug, Deserialize)]
pub struct PrefillResponse {
    /// Where the state waits.
    pub kv_transfer_params: Value,
    /// What was read.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// Reads the answer to a read.
///
/// # Errors
/// It is not JSON, or names no state.
pub fn parse_prefill_response(body: &[u8]) -> Result<PrefillResponse, String> {
    let answer: PrefillResponse = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    match answer.kv_transfer_params {
        Value::Object(_) => Ok(answer),
        _ => Err("kv_transfer_params: expected an object".into()),
    }
}

/// The type of an error body, if it has one.
pub fn parse_error(body: &[u8]) -> Option<(String, String)> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let error = value.get("error").unwrap_or(&value);
    let text = |name: &str| error.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    Some((text("type"), text("message")))
}

/// A chunk of a streamed answer.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    /// The choices; the first counts.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// In the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// An error in the midst of a stream.
    #[serde(default)]
    pub error: Option<Value>,
}

/// One choice of a chunk.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// What is new.
    #[serde(default)]
    pub delta: Delta,
    /// Why the answer ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// The stop text that ended it, as the open engine tells it.
    #[serde(default)]
    pub stop_reason: Option<Value>,
}

/// What is new in a chunk.
#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    /// Text.
    #[serde(default)]
    pub content: Option<String>,
    /// Calls of tools.
    #[serde(default)]
    pub tool_calls: Option<Vec<ToolCall>>,
}

/// A piece of a call of a tool.
#[derive(Debug, Deserialize)]
pub struct ToolCall {
    /// Which call.
    #[serde(default)]
    pub index: usize,
    /// In its first piece.
    #[serde(default)]
    pub id: Option<String>,
    /// Name and arguments.
    #[serde(default)]
    pub function: Function,
}

/// Name and arguments of a call, in pieces.
#[derive(Debug, Default, Deserialize)]
pub struct Function {
    /// In its first piece.
    #[serde(default)]
    pub name: Option<String>,
    /// A piece of JSON text.
    #[serde(default)]
    pub arguments: Option<String>,
}

/// The Messages API's name of why an answer ended.
pub fn stop_reason(finish: &str, stopped_by: bool) -> &'static str {
    match finish {
        "length" => "max_tokens",
        "tool_calls" => "tool_use",
        "content_filter" => "refusal",
        _ if stopped_by => "stop_sequence",
        _ => "end_turn",
    }
}

/// What an engine tells of its load; `None` where it does not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: Option<f64>,
    /// Requests that wait.
    pub waiting: Option<f64>,
    /// Share of its memory held, 0 to 1.
    pub memory: Option<f64>,
    /// When its process started, seconds since the epoch.
    pub started: Option<f64>,
}

impl Load {
    fn note(&mut self, name: &str, value: f64) {
        if !value.is_finite() {
            return;
        }
        let name = name.rsplit([':', '.']).next().unwrap_or(name);
        match name {
            "num_requests_running" => self.running = Some(value.max(0.0)),
            "num_requests_waiting" => self.waiting = Some(value.max(0.0)),
            "kv_cache_usage_perc" | "gpu_cache_usage_perc" => self.memory = Some(value.max(0.0)),
            "process_start_time_seconds" => self.started = Some(value),
            _ => {}
        }
    }
}

/// Reads an ORCA `endpoint-load-metrics` header: `TEXT k=v, ...`, `JSON {...}`, or bare `k=v`.
pub fn parse_orca(header: &str) -> Load {
    let mut load = Load::default();
    if let Some(json) = header.strip_prefix("JSON ") {
        let value: Value = serde_json::from_str(json).unwrap_or_default();
        let named = value.get("named_metrics").and_then(Value::as_object);
        for (name, value) in named.into_iter().flatten() {
            load.note(name, value.as_f64().unwrap_or(f64::NAN));
        }
        return load;
    }
    for pair in header.strip_prefix("TEXT ").unwrap_or(header).split(',') {
        if let Some((name, value)) = pair.split_once('=') {
            load.note(name.trim(), value.trim().parse().unwrap_or(f64::NAN));
        }
    }
    load
}

/// Reads the gauges of a `GET /metrics` answer (Prometheus text format 0.0.4) that tell of load.
pub fn parse_metrics(text: &str) -> Load {
    let mut load = Load::default();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let name_end = line.find(['{', ' ']).unwrap_or(line.len());
        let rest = match line[name_end..].strip_prefix('{') {
            // Label values are quoted and may hold braces; the value follows the last one.
            Some(labels) => labels.rsplit_once('}').map_or("", |(_, rest)| rest),
            None => &line[name_end..],
        };
        if let Some(value) = rest.split_ascii_whitespace().next().and_then(|v| v.parse().ok()) {
            load.note(&line[..name_end], value);
        }
    }
    load
}

/// Writes the same gauges as Prometheus text.
pub fn write_metrics(load: &Load) -> String {
    let mut out = String::new();
    for (name, value) in [
        ("vllm:num_requests_running", load.running),
        ("vllm:num_requests_waiting", load.waiting),
        ("vllm:kv_cache_usage_perc", load.memory),
        ("process_start_time_seconds", load.started),
    ] {
        if let Some(value) = value {
            out.push_str(&format!("# TYPE {name} gauge\n{name} {value}\n"));
        }
    }
    out
}

/// Writes the load as an ORCA header in text form.
pub fn write_orca(load: &Load) -> String {
    let mut parts = Vec::new();
    for (name, value) in [
        ("num_requests_running", load.running),
        ("num_requests_waiting", load.waiting),
        ("kv_cache_usage_perc", load.memory),
    ] {
        if let Some(value) = value {
            parts.push(format!("named_metrics.{name}={value}"));
        }
    }
    format!("TEXT {}", parts.join(", "))
}
