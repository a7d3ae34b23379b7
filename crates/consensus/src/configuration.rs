//! A configuration of voters: its number, its voters, and the state before the first entry of its log.

use crate::policy_state::PolicyState;
use crate::voter_identity::VoterIdentity;
use serde::{Deserialize, Serialize};

/// One configuration of voters. Its log starts empty; `initial_state` is the snapshot of all that earlier
/// configurations decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of the configuration, counted from 1.
    pub number: u32,
    /// The voters. A voter's node id in the consensus library is its position here, counted from 1.
    pub voters: Vec<VoterIdentity>,
    /// The state to which the entries of this configuration are applied.
    pub initial_state: PolicyState,
}
