//! `model`: plays a day in the emulator, at sizes that sockets don't reach.

use crate::{lines, Failure, Outcome};
use clap::Args as ClapArgs;
use slipreel_emulator::{emulate, EmulationReport};
use slipreel_scenario::{read_scenario, Scenario};
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// The day, INI; its troubles are not played.
    #[arg(long)]
    day: PathBuf,
    /// Another draw of all chances.
    #[arg(long)]
    seed: Option<u64>,
    /// Print each change of role and why it was made.
    #[arg(long)]
    verbose: bool,
}

pub(crate) fn run(args: &Args) -> Outcome {
    let name = args.day.display().to_string();
    let text = std::fs::read_to_string(&args.day).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let mut day = read_scenario(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    day.seed = args.seed.unwrap_or(day.seed);
    let began = Instant::now();
    let figures = emulate(&day);
    print_scale(&day);
    print_models(&figures);
    print_totals(&figures, began.elapsed());
    for (at, why) in figures.role_changes.iter().filter(|_| args.verbose) {
        println!("{:>8.1} s  {why}", at.as_secs_f64());
    }
    if !figures.not_played.is_empty() {
        println!("not played: {}", figures.not_played.join(", "));
    }
    Ok(())
}

fn print_scale(day: &Scenario) {
    println!(
        "{} engines, {} routers, {} requests in {:.0} s, in the model (no front, no connections)",
        day.engines.len(),
        day.routers,
        day.requests.len(),
        day.length.as_secs_f64()
    );
}

/// Prints a row for each model that was asked for.
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
