//! The public Messages API: requests in, answers out as events or in one body, errors by type.

mod answer;
mod chat;
mod error;
mod request;

pub use answer::{AnswerBuilder, Usage};
pub use chat::text_of;
pub use error::{ApiError, ErrorKind};
pub use request::MessagesRequest;
