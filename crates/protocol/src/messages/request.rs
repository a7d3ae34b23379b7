//! Parses and validates requests of the Messages API.

use super::error::{invalid, ApiError};
use serde_json::{Map, Value};

/// The validated body of a `POST /v1/messages` or a `POST /v1/messages/count_tokens`.
#[derive(Clone, Debug)]
pub struct MessagesRequest {
    /// The requested model.
    pub model: String,
    /// The most tokens to generate; 0 for `count_tokens`.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// `metadata.user_id`.
    pub user: Option<String>,
    /// `system`, as sent.
    pub system: Option<Value>,
    /// `tools`, as sent.
    pub tools: Option<Value>,
    /// `messages`, as sent, each with a valid role and content.
    pub messages: Vec<Value>,
    /// `stop_sequences`.
    pub stop: Vec<String>,
    /// All other fields, as sent.
    pub(super) rest: Map<String, Value>,
}

/// The longest name of a model, in bytes.
const MAX_MODEL_NAME_LEN: usize = 256;
/// The most stop sequences of a request.
const MAX_STOP_SEQUENCES: usize = 64;
/// The most messages of a request.
const MAX_MESSAGES: usize = 100_000;

type Fields = Map<String, Value>;

impl MessagesRequest {
    /// Parses and validates a body. `counting`: the request is for `count_tokens`, where `max_tokens` may be
    /// missing.
    ///
    /// # Errors
    /// The error names the invalid field, as those of the API do.
    pub fn parse(body: &[u8], counting: bool) -> Result<Self, ApiError> {
        let value: Value =
            serde_json::from_slice(body).or_else(|why| invalid(format!("body: not JSON: {why}")))?;
        let Value::Object(mut rest) = value else { return invalid("body: expected an object") };
        let model = take_model(&mut rest)?;
        let max_tokens = take_max_tokens(&mut rest, counting)?;
        let messages = take_messages(&mut rest)?;
        let stream = take_stream(&mut rest)?;
        let system = take_system(&mut rest)?;
        let tools = take_tools(&mut rest)?;
        let stop = take_stop_sequences(&mut rest)?;
        for (name, max) in [("temperature", 1.0), ("top_p", 1.0)] {
            check_number(&rest, name, max)?;
        }
        let metadata = rest.get("metadata");
        let user = metadata.and_then(|metadata| metadata.get("user_id")).and_then(Value::as_str);
        let user = user.map(str::to_owned);
        Ok(MessagesRequest { model, max_tokens, stream, user, system, tools, messages, stop, rest })
    }
}

fn take_model(fields: &mut Fields) -> Result<String, ApiError> {
    match fields.remove("model") {
        Some(Value::String(model)) if !model.is_empty() && model.len() <= MAX_MODEL_NAME_LEN => Ok(model),
        Some(_) => invalid("model: expected a name of 1 to 256 bytes"),
        None => invalid("model: Field required"),
    }
}

fn take_max_tokens(fields: &mut Fields, counting: bool) -> Result<u32, ApiError> {
    let value = match fields.remove("max_tokens") {
        None if counting => return Ok(0),
        None => return invalid("max_tokens: Field required"),
        Some(value) => value,
    };
    match value.as_u64().and_then(|count| u32::try_from(count).ok()).filter(|count| *count > 0) {
        Some(count) => Ok(count),
        None => invalid(format!("max_tokens: {value}: expected a whole number of 1 or more")),
    }
}

fn take_messages(fields: &mut Fields) -> Result<Vec<Value>, ApiError> {
    let messages = match fields.remove("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() && messages.len() <= MAX_MESSAGES => messages,
        Some(_) => return invalid("messages: expected a list of 1 to 100000 messages"),
        None => return invalid("messages: Field required"),
    };
    for (index, message) in messages.iter().enumerate() {
        check_message(index, message)?;
    }
    Ok(messages)
}

fn take_stream(fields: &mut Fields) -> Result<bool, ApiError> {
    match fields.remove("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(stream),
        Some(value) => invalid(format!("stream: {value}: expected true or false")),
    }
}

fn take_system(fields: &mut Fields) -> Result<Option<Value>, ApiError> {
    let system = fields.remove("system").filter(|system| !system.is_null());
    match &system {
        None | Some(Value::String(_)) => {}
        Some(Value::Array(blocks)) => {
            for (index, block) in blocks.iter().enumerate() {
                check_block(&format!("system.{index}"), block)?;
            }
        }
        Some(_) => return invalid("system: expected text or a list of text blocks"),
    }
    Ok(system)
}

fn take_tools(fields: &mut Fields) -> Result<Option<Value>, ApiError> {
    let tools = fields.remove("tools").filter(|tools| !tools.is_null());
    let has_name = |tool: &Value| tool.get("name").is_some_and(Value::is_string);
    let are_named = |tools: &Value| tools.as_array().is_some_and(|tools| tools.iter().all(has_name));
    if tools.as_ref().is_some_and(|tools| !are_named(tools)) {
        return invalid("tools: expected a list of tools, each with a name");
    }
    Ok(tools)
}

fn take_stop_sequences(fields: &mut Fields) -> Result<Vec<String>, ApiError> {
    match fields.remove("stop_sequences") {
        None | Some(Value::Null) => Ok(Vec::new()),
        Some(Value::Array(list)) if list.len() <= MAX_STOP_SEQUENCES => {
            list.into_iter().map(stop_sequence).collect()
        }
        Some(_) => invalid("stop_sequences: expected a list of at most 64 texts"),
    }
}

fn stop_sequence(value: Value) -> Result<String, ApiError> {
    match value {
        Value::String(text) if !text.trim().is_empty() => Ok(text),
        _ => invalid("stop_sequences: expected texts that are not blank"),
    }
}

/// Checks that a field, if present, is a number from 0 to `max`.
fn check_number(fields: &Fields, name: &str, max: f64) -> Result<(), ApiError> {
    let Some(value) = fields.get(name).filter(|value| !value.is_null()) else { return Ok(()) };
    if value.as_f64().is_some_and(|number| (0.0..=max).contains(&number)) {
        Ok(())
    } else {
        invalid(format!("{name}: {value}: expected a number from 0 to {max}"))
    }
}

fn check_message(index: usize, message: &Value) -> Result<(), ApiError> {
    let path = format!("messages.{index}");
    match message.get("role").and_then(Value::as_str) {
        Some("user" | "assistant") => {}
        _ => return invalid(format!("{path}.role: expected 'user' or 'assistant'")),
    }
    match message.get("content") {
        Some(Value::String(_)) => Ok(()),
        Some(Value::Array(blocks)) => {
            let check = |(index, block)| check_block(&format!("{path}.content.{index}"), block);
            blocks.iter().enumerate().try_for_each(check)
        }
        _ => invalid(format!("{path}.content: expected text or a list of content blocks")),
    }
}

fn check_block(path: &str, block: &Value) -> Result<(), ApiError> {
    match block.get("type").and_then(Value::as_str) {
        Some("text") if !block.get("text").is_some_and(Value::is_string) => {
            invalid(format!("{path}.text: Field required"))
        }
        Some(_) => Ok(()),
        None => invalid(format!("{path}.type: Field required")),
    }
}
