//! Converts requests of the Messages API to chat completion requests of the engines.

use super::error::{invalid, ApiError};
use super::request::MessagesRequest;
use serde_json::{json, Map, Value};

/// Fields that are passed to the engine unchanged.
const FORWARDED: [&str; 3] = ["temperature", "top_p", "top_k"];

impl MessagesRequest {
    /// Converts the request to the body of a chat completion request, without the fields that prefill and
    /// decode add.
    ///
    /// # Errors
    /// A content block has no counterpart in chat completions.
    pub fn to_chat(&self) -> Result<Map<String, Value>, ApiError> {
        let mut messages = Vec::new();
        if let Some(system) = &self.system {
            messages.push(json!({"role": "system", "content": plain_text(system)}));
        }
        for (at, message) in self.messages.iter().enumerate() {
            add_chat_messages(at, message, &mut messages)?;
        }
        let mut chat = Map::new();
        chat.insert("model".into(), self.model.clone().into());
        chat.insert("messages".into(), messages.into());
        for name in FORWARDED {
            if let Some(value) = self.rest.get(name).filter(|value| !value.is_null()) {
                chat.insert(name.into(), value.clone());
            }
        }
        if !self.stop.is_empty() {
            chat.insert("stop".into(), self.stop.clone().into());
        }
        if let Some(Value::Array(tools)) = &self.tools {
            chat.insert("tools".into(), tools.iter().map(chat_tool).collect());
            if let Some(choice) = self.rest.get("tool_choice").and_then(chat_tool_choice) {
                chat.insert("tool_choice".into(), choice);
            }
        }
        Ok(chat)
    }
}

/// The engine's form of a tool.
fn chat_tool(tool: &Value) -> Value {
    let description = tool.get("description").cloned().unwrap_or_default();
    let parameters = tool.get("input_schema").cloned().unwrap_or(json!({"type": "object"}));
    let function = json!({"name": tool["name"], "description": description, "parameters": parameters});
    json!({"type": "function", "function": function})
}

/// The engine's form of a tool choice; `None`: the engine chooses by itself.
fn chat_tool_choice(choice: &Value) -> Option<Value> {
    match choice.get("type").and_then(Value::as_str) {
        Some("any") => Some("required".into()),
        Some("none") => Some("none".into()),
        Some("tool") => {
            let name = choice.get("name").cloned().unwrap_or_default();
            Some(json!({"type": "function", "function": {"name": name}}))
        }
        _ => None,
    }
}

/// The text of a content, which is a string or a list of blocks. Blocks without text are left out.
pub fn plain_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(blocks) => {
            blocks.iter().filter_map(|block| block.get("text")?.as_str()).collect::<Vec<_>>().join("\n")
        }
        _ => String::new(),
    }
}

/// Appends the chat messages for one message. Tool results become messages of their own.
fn add_chat_messages(at: usize, message: &Value, chat: &mut Vec<Value>) -> Result<(), ApiError> {
    let role = &message["role"];
    let Some(Value::Array(blocks)) = message.get("content") else {
        chat.push(json!({"role": role, "content": message["content"]}));
        return Ok(());
    };
    let (mut parts, mut calls) = (Vec::new(), Vec::new());
    for (index, block) in blocks.iter().enumerate() {
        match block["type"].as_str().unwrap_or_default() {
            "text" => parts.push(json!({"type": "text", "text": block["text"]})),
            "image" | "document" => {
                parts.push(json!({"type": "image_url", "image_url": {"url": source_url(&block["source"])}}));
            }
            "tool_use" => calls.push(json!({"id": block["id"], "type": "function",
                "function": {"name": block["name"], "arguments": block["input"].to_string()}})),
            "tool_result" => chat.push(json!({"role": "tool", "tool_call_id": block["tool_use_id"],
                "content": plain_text(block.get("content").unwrap_or(&Value::Null))})),
            "thinking" | "redacted_thinking" => {}
            other => {
                return invalid(format!(
                    "messages.{at}.content.{index}.type: {other:?} can't be passed to the engines"
                ))
            }
        }
    }
    if parts.is_empty() && calls.is_empty() {
        return Ok(());
    }
    let mut chat_message = json!({"role": role, "content": parts});
    if !calls.is_empty() {
        chat_message["tool_calls"] = calls.into();
    }
    chat.push(chat_message);
    Ok(())
}

/// The URL of an image or document, or its data as a `data:` URL.
fn source_url(source: &Value) -> String {
    match source["type"].as_str() {
        Some("url") => source["url"].as_str().unwrap_or_default().to_owned(),
        _ => format!(
            "data:{};base64,{}",
            source["media_type"].as_str().unwrap_or("application/octet-stream"),
            source["data"].as_str().unwrap_or_default()
        ),
    }
}
