//! The public Messages API: requests, responses (streamed as events or sent as one body) and typed errors.

mod answer;
mod chat;
mod error;
mod request;

pub use answer::{AnswerBuilder, Usage};
pub use chat::plain_text;
pub use error::{ApiError, ErrorKind};
pub use request::MessagesRequest;
