//! The `slipreel` command: a thin shell over the library crates.

#![forbid(unsafe_code)]

mod demo;
mod disk;
mod engine;
mod fleet;
mod ground;
mod load;
mod logs;
mod losses;
mod member;
mod model;
mod node;
mod policy;
mod roles;
mod serve;
mod signals;

use clap::{CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A router for language-model serving that sends reading and writing to separate engines.
#[derive(Parser)]
#[command(name = "slipreel", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a router by its settings.
    Serve {
        /// The settings, INI.
        #[arg(long)]
        config: PathBuf,
        /// End at once when standard input ends: for programs that start many and may be killed.
        #[arg(long)]
        until_input_ends: bool,
    },
    /// Run a router on the platform: started by its variables and its configuration file (`LB_CONFIG`).
    Node,
    /// Read logs of routers on the platform and say where requests and work were lost.
    Losses(losses::Args),
    /// Check settings and name every fault.
    Check {
        /// The settings, INI.
        file: PathBuf,
        /// Check its policy alone: its sections may stand in a file of their own. Names what is a router's own.
        #[arg(long)]
        policy: bool,
    },
    /// Run one stand-in engine.
    Standin(engine::Args),
    /// Send requests at a steady rate and measure from when each was due.
    Load(load::Args),
    /// Run a small fleet, routers and clients over loopback, and play a day.
    Demo(demo::Args),
    /// Play a day in the emulator: the decision module and engines without bytes between them.
    Model(model::Args),
    /// See, plan, order and freeze changes of engines between reading and writing.
    Roles(roles::Args),
    /// Start many routers as processes, put faults between them, and judge what they did.
    Ground(ground::Args),
    /// See who is in the fleet of a running router, follow changes, say goodbye.
    Fleet(fleet::Args),
    /// See and change the policy that a fleet has agreed on.
    Policy(policy::Args),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Why a command ended without success.
pub(crate) enum Failure {
    /// The input is wrong; exit code 2.
    Input(String),
    /// It did not work, or a rule broke; exit code 1.
    Run(String),
    /// It was said what came of it; this exit code says it, too.
    Code(u8),
}

pub(crate) type Outcome = Result<(), Failure>;

/// Reads settings; all faults at once.
pub(crate) fn read_settings(file: &Path) -> Result<slipreel_settings::DaemonSettings, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    slipreel_settings::parse(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))
}

pub(crate) fn lines(faults: &[slipreel_settings::Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

fn check(file: &Path) -> Outcome {
    let daemon = read_settings(file)?;
    if let Some(fleet) = &daemon.fleet {
        fleet.peers().map_err(|faults| Failure::Input(lines(&faults)))?;
    }
    let site = &daemon.gateway;
    println!(
        "{}: {} classes, {} models, {} tenants, {} engines, {} threads",
        file.display(),
        site.classes.len(),
        site.models.len(),
        site.tenants.len(),
        site.engines.len(),
        daemon.threads
    );
    Ok(())
}

/// The policy of a file, by the line that `docs/design-policy.md` draws.
fn check_policy(file: &Path) -> Outcome {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let policy =
        slipreel_settings::policy_of(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    println!("{name}: a policy of digest {:016x}", slipreel_consensus::policy_state::digest(&policy.text));
    if !policy.non_policy_keys.is_empty() {
        println!("a router's own, left aside: {}", policy.non_policy_keys.join(", "));
    }
    Ok(())
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Serve { config, until_input_ends } => serve::run(&config, until_input_ends),
        Command::Node => node::run(),
        Command::Losses(args) => losses::run(&args),
        Command::Check { file, policy: true } => check_policy(&file),
        Command::Check { file, policy: false } => check(&file),
        Command::Standin(args) => engine::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Model(args) => model::run(&args),
        Command::Roles(args) => roles::run(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Policy(args) => policy::run(&args),
        Command::Ground(args) => ground::run(&args),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "slipreel", &mut std::io::stdout());
            Ok(())
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Input(why)) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
        Err(Failure::Run(why)) => {
            eprintln!("slipreel: {why}");
            ExitCode::FAILURE
        }
        Err(Failure::Code(code)) => ExitCode::from(code),
    }
}
