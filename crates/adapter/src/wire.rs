//! The wire format of the simulator: frames of big-endian records, decoded into events and encoded from
//! actions.

mod decode;
mod encode;
mod frame;

pub use decode::{Batch, Input, RouterId};
pub use encode::Reply;
pub use frame::{read_frame, MalformedFrame};

#[cfg(test)]
mod tests;
