//! The `slipreel` command: a thin command-line interface to the library crates.

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

/// A router for language-model serving that sends prefill and decode to separate engines.
#[derive(Parser)]
#[command(name = "slipreel", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a router with the given settings.
    Serve {
        /// The settings file, INI.
        #[arg(long)]
        config: PathBuf,
        /// Exit at once when standard input ends, so that no router outlives a program that started it and
        /// was killed.
        #[arg(long)]
        until_input_ends: bool,
    },
    /// Run a router on the platform, with the configuration file that the environment variable `LB_CONFIG`
    /// names.
    Node,
    /// Summarise logs of routers on the platform: where requests and engine work were lost.
    Losses(losses::Args),
    /// Check settings and report every fault.
    Check {
        /// The settings file, INI.
        file: PathBuf,
        /// Check the policy only; the file may hold only policy sections. Lists the settings that belong to
        /// the router.
        #[arg(long)]
        policy: bool,
    },
    /// Run one simulated engine.
    Standin(engine::Args),
    /// Send requests at a given rate and measure latency from the time at which each was due.
    Load(load::Args),
    /// Run a scenario (a "day") with a small fleet of engines, routers and clients over loopback.
    Demo(demo::Args),
    /// Run a scenario (a "day") in the emulator: the decision module and modelled engines, without any I/O.
    Model(model::Args),
    /// Show, plan, apply and freeze role changes of engines between prefill and decode.
    Roles(roles::Args),
    /// Start many router processes, inject faults, and check how the routers behave.
    Ground(ground::Args),
    /// Show the members of a running router's fleet, watch changes, and leave, replace or remove members.
    Fleet(fleet::Args),
    /// Show and change the policy that a fleet has agreed on.
    Policy(policy::Args),
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Why a command failed.
pub(crate) enum Failure {
    /// Invalid arguments or input files; exit code 2.
    Input(String),
    /// An error at run time, or a violated invariant; exit code 1.
    Run(String),
    /// The result was printed already; the process exits with this code.
    Code(u8),
}

/// The result of a command.
pub(crate) type Outcome = Result<(), Failure>;

/// Reads settings; a failure reports all faults of the file.
pub(crate) fn read_settings(file: &Path) -> Result<slipreel_settings::DaemonSettings, Failure> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    slipreel_settings::parse(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))
}

/// The faults, one a line.
pub(crate) fn lines(faults: &[slipreel_settings::Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Checks all settings of a file.
fn check_settings(file: &Path) -> Outcome {
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

/// Checks the policy of a file, which is the part of the settings that `docs/design-policy.md` defines.
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
        Command::Check { file, policy: false } => check_settings(&file),
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
        Err(Failure::Input(message)) => {
            eprintln!("{message}");
            ExitCode::from(2)
        }
        Err(Failure::Run(message)) => {
            eprintln!("slipreel: {message}");
            ExitCode::FAILURE
        }
        Err(Failure::Code(code)) => ExitCode::from(code),
    }
}
