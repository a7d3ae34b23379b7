//! From an engine's chunks to a message: keeps block boundaries, tool calls in parts, usage and the stop reason.

use slipreel_protocol::engine::{self, Chunk};
use slipreel_protocol::messages::{AnswerBuilder, ApiError, Usage};

/// Writes one message from chunks.
pub(crate) struct MessageWriter {
    name: (String, String, bool),
    answer: AnswerBuilder,
    usage: Usage,
    /// Chunks with output: the count of tokens where the engine tells none.
    counted: u64,
    told: bool,
    finish: Option<(&'static str, Option<String>)>,
    tool: Option<usize>,
}

impl MessageWriter {
    pub(crate) fn new(id: String, model: String, stream: bool) -> Self {
        let name = (id.clone(), model.clone(), stream);
        let answer = AnswerBuilder::new(id, model, stream);
        MessageWriter {
            name,
            answer,
            usage: Usage::default(),
            counted: 0,
            told: false,
            finish: None,
            tool: None,
        }
    }

    /// Drops what was written; the count of the prompt stays.
    pub(crate) fn restart_answer(&mut self) {
        let (id, model, stream) = self.name.clone();
        let prompt = Usage { output_tokens: 0, ..self.usage };
        *self = MessageWriter { usage: prompt, ..MessageWriter::new(id, model, stream) };
    }

    /// The prompt was counted by who read it.
    pub(crate) fn prompt(&mut self, usage: engine::Usage) {
        let kept = usage.cached_tokens();
        self.usage.input_tokens = usage.prompt_tokens.saturating_sub(kept);
        self.usage.cache_read_input_tokens = kept;
    }

    /// Whether a chunk carries any of the answer, or its end.
    pub(crate) fn begins(chunk: &Chunk) -> bool {
        chunk.choices.first().is_some_and(|choice| {
            choice.delta.content.as_ref().is_some_and(|t| !t.is_empty())
                || choice.delta.tool_calls.as_ref().is_some_and(|t| !t.is_empty())
                || choice.finish_reason.is_some()
        })
    }

    /// Writes what a chunk adds.
    pub(crate) fn chunk(&mut self, chunk: &Chunk, out: &mut Vec<u8>) {
        if let Some(usage) = &chunk.usage {
            if usage.completion_tokens > 0 {
                (self.usage.output_tokens, self.told) = (usage.completion_tokens, true);
            }
            if self.usage.input_tokens + self.usage.cache_read_input_tokens == 0 {
                self.prompt(*usage);
            }
        }
        if !Self::begins(chunk) {
            return;
        }
        if !self.answer.started() {
            self.answer.start(Usage { output_tokens: 1, ..self.usage }, out);
            self.answer.ping(out);
        }
        let Some(choice) = chunk.choices.first() else { return };
        self.counted += u64::from(choice.finish_reason.is_none());
        if let Some(text) = choice.delta.content.as_deref().filter(|t| !t.is_empty()) {
            self.tool = None;
            self.answer.text(text, out);
        }
        for call in choice.delta.tool_calls.iter().flatten() {
            if self.tool != Some(call.index) {
                self.tool = Some(call.index);
                let name = call.function.name.as_deref().unwrap_or_default();
                self.answer.tool(call.id.as_deref().unwrap_or_default(), name, out);
            }
            self.answer.tool_json(call.function.arguments.as_deref().unwrap_or_default(), out);
        }
        if let Some(finish) = &choice.finish_reason {
            let stop = choice.stop_reason.as_ref().and_then(|v| v.as_str()).map(str::to_owned);
            self.finish = Some((engine::stop_reason(finish, stop.is_some()), stop));
        }
    }

    /// Whether the engine has said that the answer is complete.
    pub(crate) fn is_whole(&self) -> bool {
        self.finish.is_some()
    }

    /// Writes the end of a complete answer.
    pub(crate) fn finish(&mut self, out: &mut Vec<u8>) {
        let (reason, sequence) = self.finish.take().unwrap_or(("end_turn", None));
        self.answer.finish(reason, sequence.as_deref(), self.used(), out);
    }

    /// Writes an `error` event.
    pub(crate) fn error(&self, error: &ApiError, request_id: &str, out: &mut Vec<u8>) {
        self.answer.error(error, request_id, out);
    }

    /// What was used so far.
    pub(crate) fn used(&self) -> Usage {
        let output_tokens = if self.told { self.usage.output_tokens } else { self.counted };
        Usage { output_tokens, ..self.usage }
    }
}
