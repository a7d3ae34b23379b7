//! `model`: runs a scenario in the emulator, at sizes that are out of reach with real sockets.

use crate::{lines, Failure, Outcome};
use clap::Args as ClapArgs;
use slipreel_emulator::{emulate, EmulationReport};
use slipreel_scenario::Scenario;
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// The scenario, INI; its injected faults are not played.
    #[arg(long)]
    day: PathBuf,
    /// The random seed, instead of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Print each role change and its reason.
    #[arg(long)]
    verbose: bool,
}

/// Runs the scenario and prints the results.
pub(crate) fn run(args: &Args) -> Outcome {
    let name = args.day.display().to_string();
    let text = std::fs::read_to_string(&args.day).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let mut day =
        slipreel_scenario::read_scenario(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    day.seed = args.seed.unwrap_or(day.seed);
    let start_time = Instant::now();
    let figures = emulate(&day);
    print_size(&day);
    print_models(&figures);
    print_totals(&figures, start_time.elapsed());
    for (at, reason) in figures.role_changes.iter().filter(|_| args.verbose) {
        println!("{:>8.1} s  {reason}", at.as_secs_f64());
    }
    if !figures.not_played.is_empty() {
        println!("not played: {}", figures.not_played.join(", "));
    }
    Ok(())
}

/// Prints the size of the scenario.
fn print_size(day: &Scenario) {
    println!(
        "{} engines, {} routers, {} requests in {:.0} s, in the model (no front, no connections)",
        day.engines.len(),
        day.routers,
        day.requests.len(),
        day.length.as_secs_f64()
    );
}

/// Prints a row for each model that requests named.
fn print_models(figures: &EmulationReport) {
    println!(
        "{:<16}{:>10}{:>10}{:>10}{:>10}{:>8}{:>10}{:>10}",
        "model", "asked", "served", "refused", "failed", "left", "p50 ms", "p99 ms"
    );
    for (name, model) in &figures.models {
        println!(
            "{name:<16}{:>10}{:>10}{:>10}{:>10}{:>8}{:>10.1}{:>10.1}",
            model.asked,
            model.served,
            model.refused,
            model.failed,
            model.left,
            quantile_ms(&model.waits, 0.5),
            quantile_ms(&model.waits, 0.99)
        );
    }
}

/// Prints the totals over all models.
fn print_totals(figures: &EmulationReport, elapsed: Duration) {
    println!(
        "attempts {}, probes {}, changes of role {}, engines fallen over {}, still held {}, events {}, played in {:.1} s",
        figures.attempts,
        figures.probes,
        figures.role_changes.len(),
        figures.overloaded_engines,
        figures.held_items,
        figures.events,
        elapsed.as_secs_f64()
    );
}

/// The value below which this share of the ascending times lies, milliseconds; 0 if there is none.
fn quantile_ms(sorted: &[Duration], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank.min(sorted.len().saturating_sub(1))).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}
