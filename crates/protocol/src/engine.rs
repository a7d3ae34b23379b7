//! The protocol of engines: chat completions with a transfer of prefilled state, as vLLM serves them when
//! prefill and decode run on separate engines; ORCA load reports; metrics in the Prometheus text format.

use serde::Deserialize;
use serde_json::{json, Map, Value};

/// The error type with which an engine rejects a request that it never ran.
pub const ENGINE_FULL: &str = "engine_full";
/// The error type with which a decode engine reports that there is no state to fetch.
pub const NO_STATE: &str = "no_state";

/// The body of a prefill request: it generates one token, and a decode engine can fetch the prefilled state.
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

/// The body of a decode request. `transfer` names the prefilled state to fetch, if there is any.
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

/// The body of a request to abort another one.
pub fn abort_body(request_id: &str) -> String {
    json!({"request_ids": [request_id]}).to_string()
}

/// Token counts that an engine reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

/// What an engine reports of the prompt tokens besides their number.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

impl Usage {
    /// Prompt tokens that were found in the engine's cache.
    pub fn cached_tokens(&self) -> u64 {
        self.prompt_tokens_details.and_then(|d| d.cached_tokens).unwrap_or(0)
    }
}

/// The response to a prefill request.
#[derive(Debug, Deserialize)]
// The texts of parse errors keep the earlier name of this type.
#[serde(expecting = "struct ReadAnswer")]
pub struct PrefillResponse {
    /// Names the prefilled state and the engine that holds it; passed on to the decode engine.
    pub kv_transfer_params: Value,
    /// Token counts.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// Parses the response to a prefill request.
///
/// # Errors
/// The body is not JSON, or names no prefilled state.
pub fn parse_prefill_response(body: &[u8]) -> Result<PrefillResponse, String> {
    let response: PrefillResponse = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    match response.kv_transfer_params {
        Value::Object(_) => Ok(response),
        _ => Err("kv_transfer_params: expected an object".into()),
    }
}

/// The type and the message of an error body, each empty if it is missing; `None`: the body is not JSON.
pub fn parse_error(body: &[u8]) -> Option<(String, String)> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let error = value.get("error").unwrap_or(&value);
    let text = |name: &str| error.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    Some((text("type"), text("message")))
}

/// A chunk of a streamed response.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    /// The choices, of which only the first is used.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token counts, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// An error that occurred during the stream.
    #[serde(default)]
    pub error: Option<Value>,
}

/// One choice of a chunk.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// What the chunk adds.
    #[serde(default)]
    pub delta: Delta,
    /// Why the response ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// The stop sequence that ended the response, as vLLM reports it.
    #[serde(default)]
    pub stop_reason: Option<Value>,
}

/// What a chunk adds to a choice.
#[derive(Debug, Default, Deserialize)]
pub struct Delta {
    /// Generated text.
    #[serde(default)]
    pub content: Option<String>,
    /// Pieces of tool calls.
    #[serde(default)]
    pub tool_calls: Option<Vec<ToolCall>>,
}

/// A piece of a tool call.
#[derive(Debug, Deserialize)]
pub struct ToolCall {
    /// The index of the call in the response.
    #[serde(default)]
    pub index: usize,
    /// The id of the call, in its first piece.
    #[serde(default)]
    pub id: Option<String>,
    /// The tool's name and the arguments.
    #[serde(default)]
    pub function: Function,
}

/// A piece of the name and the arguments of a tool call.
#[derive(Debug, Default, Deserialize)]
pub struct Function {
    /// The tool's name, in the first piece.
    #[serde(default)]
    pub name: Option<String>,
    /// A piece of the arguments, which are JSON text.
    #[serde(default)]
    pub arguments: Option<String>,
}

/// The `stop_reason` of the Messages API for the `finish_reason` of an engine.
pub fn stop_reason(finish_reason: &str, hit_stop_sequence: bool) -> &'static str {
    match finish_reason {
        "length" => "max_tokens",
        "tool_calls" => "tool_use",
        "content_filter" => "refusal",
        _ if hit_stop_sequence => "stop_sequence",
        _ => "end_turn",
    }
}

/// The load that an engine reports; `None` for the values that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that are running.
    pub running: Option<f64>,
    /// Requests that are waiting.
    pub waiting: Option<f64>,
    /// The share of its KV cache memory in use, 0 to 1.
    pub memory: Option<f64>,
    /// The start time of its process, in seconds since the Unix epoch.
    pub started: Option<f64>,
}

impl Load {
    /// Records a reported value. Ignores other metrics, and values that are not finite.
    fn record(&mut self, name: &str, value: f64) {
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

/// Parses an ORCA `endpoint-load-metrics` header: `TEXT k=v, ...`, `JSON {...}`, or bare `k=v`.
pub fn parse_orca(header: &str) -> Load {
    let mut load = Load::default();
    if let Some(json) = header.strip_prefix("JSON ") {
        let value: Value = serde_json::from_str(json).unwrap_or_default();
        let named_metrics = value.get("named_metrics").and_then(Value::as_object);
        for (name, value) in named_metrics.into_iter().flatten() {
            load.record(name, value.as_f64().unwrap_or(f64::NAN));
        }
        return load;
    }
    for pair in header.strip_prefix("TEXT ").unwrap_or(header).split(',') {
        if let Some((name, value)) = pair.split_once('=') {
            load.record(name.trim(), value.trim().parse().unwrap_or(f64::NAN));
        }
    }
    load
}

/// Parses the load gauges in a response to `GET /metrics` (Prometheus text format 0.0.4).
pub fn parse_metrics(text: &str) -> Load {
    let mut load = Load::default();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let name_end = line.find(['{', ' ']).unwrap_or(line.len());
        let rest = match line[name_end..].strip_prefix('{') {
            // Label values are quoted and may contain braces; the metric's value follows the last closing
            // brace.
            Some(labels) => labels.rsplit_once('}').map_or("", |(_, rest)| rest),
            None => &line[name_end..],
        };
        if let Some(value) = rest.split_ascii_whitespace().next().and_then(|v| v.parse().ok()) {
            load.record(&line[..name_end], value);
        }
    }
    load
}

/// Writes the load as gauges in the Prometheus text format.
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

/// Writes the load as an ORCA header in text form, which has no start time.
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
