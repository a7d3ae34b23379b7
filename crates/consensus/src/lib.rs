//! A change of policy that takes hold everywhere or nowhere.
//!
//! Up to nine routers vote on one sequence of policies (epochs); every router, voter or not, holds a lease on the epoch that it acts by, and
//! takes no request without one. `docs/design-policy.md` weighs this against others and says what each part promises.
//!
//! [`Consensus`] is the machine. Its decisions: [`policy_state`] what the voters agree on, [`reconfiguration`] who votes, [`leadership`] when a leader grants leases and
//! puts a change in force, [`lease_holder`] by which epoch a router may take requests. Its state: `voter` (one configuration, on the library
//! `omnipaxos`), [`storage`] and [`log`] (what a voter must not forget). [`PolicyHandle`] is where it meets the rest of the process; [`Member`] puts it
//! and the view of the fleet behind one address.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bootstrap;
mod configuration;
mod consensus;
mod disk;
mod handle;
pub mod leadership;
pub mod lease_holder;
pub mod log;
mod member;
mod peer_connections;
pub mod policy_state;
pub mod reconfiguration;
mod startup;
pub mod storage;
pub mod timing;
mod transport;
mod voter;
mod voter_identity;
pub mod wire;

pub use configuration::Configuration;
pub use consensus::Consensus;
pub use disk::Disk;
pub use handle::{PartitionMode, PendingChange, Permit, PolicyHandle, ProposalStatus, RouterStatus};
pub use lease_holder::{CompiledPolicy, InvalidPolicy, Lease, PolicyCompiler};
pub use member::{Member, MembershipDirectory};
pub use startup::{ConsensusConfig, PeerDirectory, Startup};
pub use voter::{Heartbeat, Term};
pub use voter_identity::VoterIdentity;
