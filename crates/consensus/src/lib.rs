//! Replicated policy changes, which come into force on all routers of a fleet or on none.
//!
//! Up to nine routers, the voters, agree on one sequence of policies; each policy that comes into force
//! begins an epoch. Every router, voter or not, holds a lease on the epoch whose policy it applies. What it
//! does without a valid lease is configured as [`PartitionMode`]: by default it accepts no requests.
//! `docs/design-policy.md` compares this design with others and states the guarantees.
//!
//! [`Consensus`] is the state machine of one router, and [`Member`] combines it with membership behind one
//! network address. [`PolicyHandle`] is the interface to the rest of the process.
//!
//! | module | what it does |
//! | --- | --- |
//! | `consensus` | the state machine: input, persistence, leader duties, status, operators' requests |
//! | [`leadership`] | grants leases and decides changes, as leader |
//! | [`lease_holder`] | requests leases and applies the policy of the leased epoch |
//! | [`policy_state`] | the replicated state, and the entries that change it |
//! | [`reconfiguration`], `configuration`, `voter_identity` | which routers vote |
//! | `voter` | one voter in one configuration, on top of the library `omnipaxos` |
//! | `bootstrap`, `startup` | the first configuration of a fleet, and the start-up parameters of a router |
//! | [`storage`], [`log`], `disk` | the durable state of a voter, its file format, and the disk |
//! | [`wire`], `transport`, `peer_connections` | messages, and how they reach peers |
//! | `member`, `handle` | the integration with membership, and the interface to the rest of the process |
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
