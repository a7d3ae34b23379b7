//! A configuration of voters: its number, its voters, and the state on which its log begins.

use crate::policy_state::PolicyState;
use crate::voter_identity::VoterIdentity;
use serde::{Deserialize, Serialize};

/// One configuration of voters. Its log begins empty on `initial_state`, which serves as the snapshot of all earlier configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Counts the configurations from 1.
    pub number: u32,
    /// The voters. A voter's node id in the consensus library is its place here, counted from 1.
    pub voters: Vec<VoterIdentity>,
    /// The state to which the entries of this configuration are applied.
    pub initial_state: PolicyState,
}
