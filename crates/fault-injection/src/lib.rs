//! Fault injection: runs many routers under scripted faults, records what happens and checks the result.
//!
//! A [`Script`] states how many routers there are and which faults occur when; [`read_script`] reads one and
//! [`Script::add_random_faults`] adds faults drawn from the seed. It is played with processes of the built
//! program ([`play_processes`]) or with the same state machines in virtual time ([`play_in_memory`]). Either
//! way the routers talk over a [`RelayNetwork`] whose links can be cut, can lose, delay, duplicate and
//! reorder datagrams and can slow connections down. Clients send requests meanwhile, and the view that each
//! router reports is recorded ten times a second on one clock. [`Outcome`] holds the history and what the
//! judges found.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod defect;
mod history;
mod membership_judge;
mod policy_judge;
mod processes;
mod relay_network;
mod router_config;
mod script;
mod script_runner;
mod simulated_disk;
mod virtual_time;

pub use defect::{Defect, DEFECTS};
pub use history::{Event, History, ReportedView};
pub use membership_judge::{judge, Verdict};
pub use policy_judge::PolicyOutcome;
pub use processes::{play_processes, Interrupt};
pub use relay_network::{InjectedDatagram, Link, LinkUpdates, RelayNetwork};
pub use script::{
    read_script, ExpectedOutcome, Fault, FaultKind, ProposalAction, Script, ScriptedProposal, DEFAULT_SITE,
    FAULT_KINDS, MAX_ROUTERS,
};
pub use script_runner::{Outcome, RouterState};
pub use simulated_disk::SimulatedDisk;
pub use virtual_time::{play_in_memory, play_with_defect};
