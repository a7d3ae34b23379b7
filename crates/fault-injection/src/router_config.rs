//! The text of a router's settings file. Router processes and routers in virtual time use the same text.

use crate::script::{ProposalAction, Script, ScriptedProposal};
use slipreel_settings::policy_of;
use slipreel_test_servers::engine::Role;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

/// The addresses and paths in a router's settings file that do not come from the script.
pub(crate) struct RouterConfig<'a> {
    /// Where it listens for clients.
    pub(crate) clients: SocketAddr,
    /// Where it listens for operators.
    pub(crate) operators: SocketAddr,
    /// Where it listens for other routers.
    pub(crate) fleet: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    /// The folder of the state that outlives the process.
    pub(crate) folder: &'a Path,
    /// The file with the address at which it reaches each other router, by that router's name. `None` in virtual
    /// time, where the addresses are passed without a file, and for a process that uses no relays.
    pub(crate) address_table: Option<&'a Path>,
    pub(crate) engines: &'a [SocketAddr],
}

/// The text of a router's settings file.
pub(crate) fn settings_text(script: &Script, r: usize, config: &RouterConfig<'_>) -> String {
    let seeds: Vec<String> = config.seeds.iter().map(ToString::to_string).collect();
    let mut text = format!(
        "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = {}\nzone = west\n\
         [fleet]\nfleet = ground\nlisten = {}\nseeds = {}\nfolder = {}\ndatagram = {}\n",
        config.clients,
        config.operators,
        script.min_routers,
        config.fleet,
        seeds.join(", "),
        config.folder.display(),
        script.max_datagram
    );
    if script.founders > 0 {
        let founders: Vec<String> = (0..script.founders).map(|f| format!("r{f}")).collect();
        let cut = if script.partition_mode == slipreel_consensus::PartitionMode::Serve {
            "serve"
        } else {
            "refuse"
        };
        let _ = writeln!(text, "founders = {}\ncut = {cut}", founders.join(", "));
    }
    if let Some(address_table) = config.address_table {
        let _ = writeln!(text, "book = {}", address_table.display());
    }
    let mut listed_roles = Vec::new();
    for (plan, address) in script.day.engines.iter().zip(config.engines) {
        let role = match plan.spec.role {
            Role::Prefill => "read",
            Role::Decode => "write",
            Role::Mixed => "both",
        };
        // The limited router lists only the first engine of each role.
        if script.limited_router == Some(r) && listed_roles.contains(&role) {
            continue;
        }
        listed_roles.push(role);
        let (name, zone, cell) = (&plan.spec.name, &plan.zone, &plan.cell);
        let _ = writeln!(
            text,
            "[engine {name}]\naddress = {address}\nrole = {role}\nzone = {zone}\ncell = {cell}"
        );
    }
    text + &script.site_text
}

/// The policy text that a proposal submits, in canonical form; `None` if the proposal brings no text of its
/// own.
pub(crate) fn proposed_policy_text(script: &Script, proposal: &ScriptedProposal) -> Option<String> {
    let out = match proposal.action {
        ProposalAction::Change => format!("none-of-{}", proposal.id),
        ProposalAction::Incompatible => {
            let first = script.day.engines.iter().find(|e| e.spec.role == Role::Prefill)?;
            first.spec.name.clone()
        }
        ProposalAction::Rollback(_) | ProposalAction::ReplaceVoter(_) => return None,
    };
    let text = format!("{}[operations]\ntaken_out = {out}\n", script.site_text);
    policy_of(&text, "proposed").ok().map(|p| p.text)
}
