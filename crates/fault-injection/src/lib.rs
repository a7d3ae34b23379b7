//! The proving ground: many processes of the program, faults between them, a history by one clock, and a judge.
//!
//! A [`Script`] says how many routers there are and what goes wrong when; [`read_script`] reads one and [`Script::add_random_faults`] adds faults by seed. It
//! is played with processes of the built program ([`play_processes`]) or with the same machines in virtual time ([`play_in_memory`]). Either
//! way the routers talk over a [`Wire`] whose links are cut, lose, delay, double, reorder and trickle, clients ask meanwhile, and what every
//! router tells of its view is noted ten times a second. [`Outcome`] holds the history and what the judge found.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bend;
mod history;
mod judge;
mod memory;
mod own;
mod platter;
mod policy;
mod processes;
mod run;
mod script;
mod wire;

pub use bend::{Bend, BENDS};
pub use history::{Event, History, Sight};
pub use judge::{judge, Verdict};
pub use memory::play_broken;
pub use memory::play_in_memory;
pub use platter::Platter;
pub use policy::PolicyOutcome;
pub use processes::{play_processes, Interrupt};
pub use run::{Outcome, Phase};
pub use script::{read_script, Expect, Fault, Kind, Propose, Script, Wish, KINDS, MOST, SITE};
pub use wire::{Link, Links, Noise, Wire};
