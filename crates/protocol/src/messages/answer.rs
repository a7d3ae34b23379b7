//! Responses of the Messages API: a stream of events, or one body.

use super::error::ApiError;
use crate::sse;
use serde::Serialize;
use serde_json::{json, Value};

/// Token counts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Prompt tokens that were prefilled.
    pub input_tokens: u64,
    /// Prompt tokens that were written to a cache.
    pub cache_creation_input_tokens: u64,
    /// Prompt tokens that were found in a cache.
    pub cache_read_input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
}

/// A content block of a response that is not streamed.
enum Block {
    Text(String),
    ToolUse { id: String, name: String, json: String },
}

impl Block {
    fn into_json(self) -> Value {
        match self {
            Block::Text(text) => json!({"type": "text", "text": text}),
            Block::ToolUse { id, name, json } => {
                let input: Value = serde_json::from_str(&json).unwrap_or_else(|_| json!({}));
                json!({"type": "tool_use", "id": id, "name": name, "input": input})
            }
        }
    }
}

/// The type of a content block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BlockKind {
    Text,
    ToolUse,
}

/// Builds one response, as a stream of events or as one body. The events are in the order that the API
/// requires, whatever the order of the content.
pub struct AnswerBuilder {
    id: String,
    model: String,
    stream: bool,
    /// The content so far, if the response is not streamed.
    blocks: Vec<Block>,
    /// How many blocks have begun so far.
    block_count: usize,
    /// The type of the last block, while it is open.
    open_block: Option<BlockKind>,
    started: bool,
}

/// The data of an event that adds to the last block.
#[derive(Serialize)]
struct BlockDelta<'a> {
    r#type: &'static str,
    index: usize,
    delta: Delta<'a>,
}

#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Delta<'a> {
    TextDelta { text: &'a str },
    InputJsonDelta { partial_json: &'a str },
}

impl AnswerBuilder {
    /// Creates a response that has not begun. A streamed one buffers nothing; otherwise the content is
    /// buffered.
    pub fn new(id: String, model: String, stream: bool) -> Self {
        AnswerBuilder {
            id,
            model,
            stream,
            blocks: Vec::new(),
            block_count: 0,
            open_block: None,
            started: false,
        }
    }

    /// Writes an event, if the response is streamed.
    fn write_event(&self, name: &str, data: &impl Serialize, out: &mut Vec<u8>) {
        if self.stream {
            sse::write(name, &serde_json::to_string(data).unwrap_or_default(), out);
        }
    }

    /// Whether the response has begun.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Begins the message, unless it has begun.
    pub fn start(&mut self, usage: Usage, out: &mut Vec<u8>) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        let message = json!({"id": self.id, "type": "message", "role": "assistant", "model": self.model, "content": [],
                             "stop_reason": null, "stop_sequence": null, "usage": usage});
        self.write_event("message_start", &json!({"type": "message_start", "message": message}), out);
    }

    /// Writes a `ping` event, which shows that the stream is alive.
    pub fn ping(&self, out: &mut Vec<u8>) {
        self.write_event("ping", &json!({"type": "ping"}), out);
    }

    fn close_block(&mut self, out: &mut Vec<u8>) {
        if self.open_block.take().is_some() {
            let data = json!({"type": "content_block_stop", "index": self.block_count - 1});
            self.write_event("content_block_stop", &data, out);
        }
    }

    fn begin_block(&mut self, kind: BlockKind, content: Value, out: &mut Vec<u8>) {
        self.close_block(out);
        self.open_block = Some(kind);
        self.block_count += 1;
        let data =
            json!({"type": "content_block_start", "index": self.block_count - 1, "content_block": content});
        self.write_event("content_block_start", &data, out);
    }

    /// Adds text.
    pub fn text(&mut self, text: &str, out: &mut Vec<u8>) {
        if self.open_block != Some(BlockKind::Text) {
            self.begin_block(BlockKind::Text, json!({"type": "text", "text": ""}), out);
            if !self.stream {
                self.blocks.push(Block::Text(String::new()));
            }
        }
        if let Some(Block::Text(buffered)) = self.blocks.last_mut() {
            buffered.push_str(text);
        }
        let delta = BlockDelta {
            r#type: "content_block_delta",
            index: self.block_count - 1,
            delta: Delta::TextDelta { text },
        };
        self.write_event("content_block_delta", &delta, out);
    }

    /// Begins a tool call.
    pub fn tool(&mut self, id: &str, name: &str, out: &mut Vec<u8>) {
        self.begin_block(
            BlockKind::ToolUse,
            json!({"type": "tool_use", "id": id, "name": name, "input": {}}),
            out,
        );
        if !self.stream {
            self.blocks.push(Block::ToolUse { id: id.into(), name: name.into(), json: String::new() });
        }
    }

    /// Adds to the arguments of the tool call that began last. They are JSON text.
    pub fn tool_json(&mut self, json: &str, out: &mut Vec<u8>) {
        if self.open_block != Some(BlockKind::ToolUse) || json.is_empty() {
            return;
        }
        if let Some(Block::ToolUse { json: buffered, .. }) = self.blocks.last_mut() {
            buffered.push_str(json);
        }
        let delta = BlockDelta {
            r#type: "content_block_delta",
            index: self.block_count - 1,
            delta: Delta::InputJsonDelta { partial_json: json },
        };
        self.write_event("content_block_delta", &delta, out);
    }

    /// Ends the response. One that is not streamed is written here.
    pub fn finish(
        &mut self, stop_reason: &str, stop_sequence: Option<&str>, usage: Usage, out: &mut Vec<u8>,
    ) {
        self.start(usage, out);
        self.close_block(out);
        if self.stream {
            let delta = json!({"stop_reason": stop_reason, "stop_sequence": stop_sequence});
            self.write_event(
                "message_delta",
                &json!({"type": "message_delta", "delta": delta, "usage": usage}),
                out,
            );
            self.write_event("message_stop", &json!({"type": "message_stop"}), out);
            return;
        }
        let content: Vec<Value> =
            std::mem::take(&mut self.blocks).into_iter().map(Block::into_json).collect();
        let body = json!({"id": self.id, "type": "message", "role": "assistant", "model": self.model,
                           "content": content, "stop_reason": stop_reason, "stop_sequence": stop_sequence, "usage": usage});
        out.extend_from_slice(body.to_string().as_bytes());
    }

    /// Reports a failure after the beginning of a stream.
    pub fn error(&self, error: &ApiError, request_id: &str, out: &mut Vec<u8>) {
        if self.stream {
            sse::write("error", &error.body(request_id), out);
        }
    }
}
