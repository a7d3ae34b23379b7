//! The public Messages API: requests in, answers out as events or in one body, errors by type.

mod answer;
mod chat;
mod error;
mod request;

pub use answer::{Answer, Usage};
pub use chat::text_of;
pub use error::{ErrorKind, Fault};
pub use request::Ask;
