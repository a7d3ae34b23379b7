//! The configuration and the start-up parameters of a router.

use crate::disk::Disk;
use crate::handle::{PartitionMode, PolicyHandle};
use crate::lease_holder::PolicyCompiler;
use crate::storage::{StorageError, StoredState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Finds other routers by name.
pub trait PeerDirectory: Send {
    /// The address of the router of this name, if it is known.
    fn address(&self, name: &str) -> Option<SocketAddr>;
    /// The names of all known routers.
    fn names(&self) -> Vec<String>;
}

/// The consensus configuration of a router.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// The fleet's name.
    pub fleet: String,
    /// This router's name.
    pub name: String,
    /// The routers that bootstrap the fleet, by name; the first of them creates the first configuration.
    pub founders: Vec<String>,
    /// The policy in this router's own file, in canonical form.
    pub policy: String,
    /// What the router does while it has no valid lease, and so can't know whether its epoch is still in
    /// force.
    pub partition_mode: PartitionMode,
    /// The longest datagram that the router sends, bytes.
    pub max_datagram_len: usize,
}

/// The start-up parameters of a router.
pub struct Startup {
    /// The state that was read from its disk; `None`: the router has no disk, and does not vote.
    pub stored: Option<Result<StoredState, StorageError>>,
    /// Its disk.
    pub disk: Box<dyn Disk>,
    /// Compiles policies.
    pub compiler: Box<dyn PolicyCompiler>,
    /// Finds other routers.
    pub directory: Box<dyn PeerDirectory>,
    /// A random number, different at each start.
    pub seed: u64,
    /// The wall clock at time zero of the machine's clock, as time since 1970. Only shown to operators.
    pub unix_time_at_zero: Duration,
    /// The interface between the machine and the rest of the process.
    pub handle: Arc<PolicyHandle>,
}
