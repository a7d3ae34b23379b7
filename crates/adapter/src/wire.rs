//! The simulator's wire: frames of big-endian records, decoded into events and encoded from actions.

mod decode;
mod encode;
mod frame;

pub use decode::{Batch, Input, RouterId};
pub use encode::Reply;
pub use frame::{read_frame, Malformed};

#[cfg(test)]
mod tests;
