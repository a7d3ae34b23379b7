//! What a router is configured with and given at its start.

use crate::disk::Disk;
use crate::handle::{PartitionMode, PolicyHandle};
use crate::lease_holder::PolicyCompiler;
use crate::storage::{StorageError, StoredState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How other routers are found by name.
pub trait PeerDirectory: Send {
    /// The address of the router of this name, if it is known.
    fn address(&self, name: &str) -> Option<SocketAddr>;
    /// The names of all known routers.
    fn names(&self) -> Vec<String>;
}

/// The configuration of a router's part in consensus.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This router's name.
    pub name: String,
    /// The routers that bootstrap the fleet, by name; the first of them writes the first configuration.
    pub founders: Vec<String>,
    /// The policy in this router's own file, in canonical form.
    pub policy: String,
    /// What the router does while it can't know whether its epoch holds.
    pub partition_mode: PartitionMode,
    /// The longest datagram that it sends, bytes.
    pub max_datagram_len: usize,
}

/// What a router is given at its start.
pub struct Startup {
    /// What its disk held; `None`: it has no disk, and does not vote.
    pub stored: Option<Result<StoredState, StorageError>>,
    /// Its disk.
    pub disk: Box<dyn Disk>,
    /// Compiles policies.
    pub compiler: Box<dyn PolicyCompiler>,
    /// Finds other routers.
    pub directory: Box<dyn PeerDirectory>,
    /// A random number, another at each start.
    pub seed: u64,
    /// The wall clock at time zero of the machine's clock, as time since 1970. Shown to operators, used for nothing.
    pub unix_time_at_zero: Duration,
    /// Where the machine meets the rest of the process.
    pub handle: Arc<PolicyHandle>,
}
