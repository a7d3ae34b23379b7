//! Who a voter is: the leaf that the stored configuration, the log entries and the wire share.

use serde::{Deserialize, Serialize};

/// A voter: a router's name together with the disk that holds its promises. A router that has lost its disk is another voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// The router's name.
    pub name: String,
    /// A random number that was drawn when the disk was first written.
    pub disk: u64,
}
