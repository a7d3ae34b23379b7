//! Converts an engine's chunks to a message: content blocks, partial tool calls, usage and the stop reason.

use slipreel_protocol::engine::{self, Chunk};
use slipreel_protocol::messages::{AnswerBuilder, ApiError, Usage};

/// Writes one message from chunks.
pub(crate) struct MessageWriter {
    /// The message's id, its model, and whether it is streamed.
    message_args: (String, String, bool),
    answer: AnswerBuilder,
    usage: Usage,
    /// Chunks with output, which stand for the number of output tokens if the engine reports none.
    output_chunks: u64,
    /// Whether the engine has reported the number of output tokens.
    has_output_usage: bool,
    /// The stop reason and the stop sequence, once the engine has sent its finish reason.
    stop: Option<(&'static str, Option<String>)>,
    /// The index of the tool call that is being written.
    tool_call: Option<usize>,
}

impl MessageWriter {
    /// Starts a message with this id and model.
    pub(crate) fn new(id: String, model: String, stream: bool) -> Self {
        let message_args = (id.clone(), model.clone(), stream);
        let answer = AnswerBuilder::new(id, model, stream);
        MessageWriter {
            message_args,
            answer,
            usage: Usage::default(),
            output_chunks: 0,
            has_output_usage: false,
            stop: None,
            tool_call: None,
        }
    }

    /// Drops what was written; the usage of the prompt is kept.
    pub(crate) fn restart_answer(&mut self) {
        let (id, model, stream) = self.message_args.clone();
        let prompt_usage = Usage { output_tokens: 0, ..self.usage };
        *self = MessageWriter { usage: prompt_usage, ..MessageWriter::new(id, model, stream) };
    }

    /// Records the prompt's usage as the engine that prefilled it reports it.
    pub(crate) fn record_prompt_usage(&mut self, usage: engine::Usage) {
        let cached_tokens = usage.cached_tokens();
        self.usage.input_tokens = usage.prompt_tokens.saturating_sub(cached_tokens);
        self.usage.cache_read_input_tokens = cached_tokens;
    }

    /// Whether a chunk carries a part of the answer, or its finish reason.
    pub(crate) fn has_output(chunk: &Chunk) -> bool {
        chunk.choices.first().is_some_and(|choice| {
            choice.delta.content.as_ref().is_some_and(|text| !text.is_empty())
                || choice.delta.tool_calls.as_ref().is_some_and(|calls| !calls.is_empty())
                || choice.finish_reason.is_some()
        })
    }

    /// Writes the output of a chunk.
    pub(crate) fn write_chunk(&mut self, chunk: &Chunk, out: &mut Vec<u8>) {
        if let Some(usage) = &chunk.usage {
            if usage.completion_tokens > 0 {
                (self.usage.output_tokens, self.has_output_usage) = (usage.completion_tokens, true);
            }
            if self.usage.input_tokens + self.usage.cache_read_input_tokens == 0 {
                self.record_prompt_usage(*usage);
            }
        }
        if !Self::has_output(chunk) {
            return;
        }
        if !self.answer.started() {
            self.answer.start(Usage { output_tokens: 1, ..self.usage }, out);
            self.answer.ping(out);
        }
        let Some(choice) = chunk.choices.first() else { return };
        self.output_chunks += u64::from(choice.finish_reason.is_none());
        if let Some(text) = choice.delta.content.as_deref().filter(|text| !text.is_empty()) {
            self.tool_call = None;
            self.answer.text(text, out);
        }
        for call in choice.delta.tool_calls.iter().flatten() {
            if self.tool_call != Some(call.index) {
                self.tool_call = Some(call.index);
                let name = call.function.name.as_deref().unwrap_or_default();
                self.answer.tool(call.id.as_deref().unwrap_or_default(), name, out);
            }
            self.answer.tool_json(call.function.arguments.as_deref().unwrap_or_default(), out);
        }
        if let Some(finish_reason) = &choice.finish_reason {
            let stop_sequence =
                choice.stop_reason.as_ref().and_then(|reason| reason.as_str()).map(str::to_owned);
            self.stop = Some((engine::stop_reason(finish_reason, stop_sequence.is_some()), stop_sequence));
        }
    }

    /// Whether the engine has sent its finish reason, so that the answer is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.stop.is_some()
    }

    /// Writes the end of a complete answer.
    pub(crate) fn finish(&mut self, out: &mut Vec<u8>) {
        let (reason, stop_sequence) = self.stop.take().unwrap_or(("end_turn", None));
        self.answer.finish(reason, stop_sequence.as_deref(), self.usage(), out);
    }

    /// Writes an `error` event.
    pub(crate) fn write_error(&self, error: &ApiError, request_id: &str, out: &mut Vec<u8>) {
        self.answer.error(error, request_id, out);
    }

    /// The usage so far.
    pub(crate) fn usage(&self) -> Usage {
        let output_tokens = if self.has_output_usage { self.usage.output_tokens } else { self.output_chunks };
        Usage { output_tokens, ..self.usage }
    }
}
