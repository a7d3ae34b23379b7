//! Policy changes that come into force on all routers of a fleet or on none.
//!
//! Up to nine routers vote on one sequence of policies (epochs). Every router, voter or not, holds a lease on the epoch by which it acts, and
//! takes no requests without one. `docs/design-policy.md` compares this design with others and states the guarantees.
//!
//! [`Consensus`] is the state machine of one router, and [`Member`] puts it and membership behind one address. [`PolicyHandle`] is its interface to
//! the rest of the process.
//!
//! | module | what it does |
//! | --- | --- |
//! | `consensus` | the state machine: input, persistence, leading, status, operators' requests |
//! | [`leadership`] | grants leases and decides changes, as leader |
//! | [`lease_holder`] | requests leases and acts by the epoch that they are for |
//! | [`policy_state`] | the replicated state, and the entries that change it |
//! | [`reconfiguration`], `configuration`, `voter_identity` | which routers vote |
//! | `voter` | one voter of one configuration, on the library `omnipaxos` |
//! | `bootstrap`, `startup` | the first configuration of a fleet, and the start of a router |
//! | [`storage`], [`log`], `disk` | the durable state of a voter, its file format, and the disk |
//! | [`wire`], `transport`, `peer_connections` | messages, and how they reach peers |
//! | `member`, `handle` | the connection to membership, and to the rest of the process |
//! | [`timing`] | intervals, timeouts and limits |

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
