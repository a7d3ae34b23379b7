//! The settings file of one router, as text: the same for a process and for a router in memory.

use crate::script::{Propose, Script, Wish};
use slipreel_settings::policy_of;
use slipreel_test_servers::engine::Role;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

/// Where a router listens and what its file names.
pub(crate) struct Own<'a> {
    pub(crate) clients: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) fleet: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) folder: &'a Path,
    pub(crate) book: Option<&'a Path>,
    pub(crate) engines: &'a [SocketAddr],
}

/// A router's settings.
pub(crate) fn settings(script: &Script, r: usize, own: &Own<'_>) -> String {
    let seeds: Vec<String> = own.seeds.iter().map(ToString::to_string).collect();
    let mut text = format!(
        "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = {}\nzone = west\n\
         [fleet]\nfleet = ground\nlisten = {}\nseeds = {}\nfolder = {}\ndatagram = {}\n",
        own.clients,
        own.operators,
        script.floor,
        own.fleet,
        seeds.join(", "),
        own.folder.display(),
        script.datagram
    );
    if script.founders > 0 {
        let founders: Vec<String> = (0..script.founders).map(|f| format!("r{f}")).collect();
        let cut = if script.cut == slipreel_consensus::PartitionMode::Serve { "serve" } else { "refuse" };
        let _ = writeln!(text, "founders = {}\ncut = {cut}", founders.join(", "));
    }
    if let Some(book) = own.book {
        let _ = writeln!(text, "book = {}", book.display());
    }
    let mut seen = Vec::new();
    for (plan, at) in script.day.engines.iter().zip(own.engines) {
        let role = match plan.spec.role {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        };
        // A poor router knows the first of each role alone.
        if script.poor == Some(r) && seen.contains(&role) {
            continue;
        }
        seen.push(role);
        let (name, zone, cell) = (&plan.spec.name, &plan.zone, &plan.cell);
        let _ =
            writeln!(text, "[engine {name}]\naddress = {at}\nrole = {role}\nzone = {zone}\ncell = {cell}");
    }
    text + &script.site_text
}

/// The policy that a proposal asks for, in canonical form; `None`: it asks for no new one.
pub(crate) fn policy(script: &Script, propose: &Propose) -> Option<String> {
    let out = match propose.wish {
        Wish::Change => format!("none-of-{}", propose.id),
        Wish::Bad => {
            let first = script.day.engines.iter().find(|e| e.spec.role == Role::Prefill)?;
            first.spec.name.clone()
        }
        Wish::Back(_) | Wish::Replace(_) => return None,
    };
    let text = format!("{}[operations]\ntaken_out = {out}\n", script.site_text);
    policy_of(&text, "proposed").ok().map(|p| p.text)
}
