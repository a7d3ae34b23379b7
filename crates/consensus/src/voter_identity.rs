//! The identity of a voter, as stored configurations, log entries and messages contain it.

use serde::{Deserialize, Serialize};

/// A voter: a router's name together with the disk that holds its promises. A router that has lost its disk
/// counts as a different voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// The router's name.
    pub name: String,
    /// A random number, generated when the disk was first written.
    pub disk: u64,
}
