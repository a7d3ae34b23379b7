//! Reads and checks the INI settings of a router, and reports all faults together, each with its place.
//!
//! Module `doc` is the INI document, whose entries know their lines; `values` has the types of values;
//! `daemon` builds [`DaemonSettings`] from the sections. Other INI files of this project (days, experiments)
//! are read with the same parts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod daemon;
mod doc;
mod fleet;
mod policy;
mod roles;
mod slices;
mod values;

pub use daemon::{read_daemon_settings, DaemonSettings, LogFormat, DAEMON_SECTIONS};
pub use doc::{Doc, Fault, Section};
pub use fleet::{parse_address_table, FleetSettings};
pub use policy::{changes, masked, policy_of, settings_with_policy, Policy, POLICY_SECTIONS};
pub use roles::{parse_roles, RoleSettings};
pub use slices::{engines_from_slices, engines_to_slices};
pub use values::{Bytes, Loopback, Name, Value};

/// Reads the settings of a router; a section `[roles]` is left to [`parse_roles`].
///
/// # Errors
/// Every fault of the text, in the order of its lines.
pub fn parse(text: &str, file: &str) -> Result<DaemonSettings, Vec<Fault>> {
    let mut doc = Doc::parse(text, file)?;
    let daemon = read_daemon_settings(&mut doc, true);
    // `slipreel roles` reads and checks this section.
    doc.skip("roles");
    doc.finish(DAEMON_SECTIONS)?;
    daemon.ok_or_else(Vec::new)
}
