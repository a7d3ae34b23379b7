//! `model`: plays a day in the emulator, at sizes that sockets don't reach.

use crate::{lines, Failure, Outcome};
use clap::Args as ClapArgs;
use slipreel_emulator::play;
use slipreel_scenario::read_day;
use std::path::PathBuf;
use std::time::Instant;

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
    let mut day = read_day(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    day.seed = args.seed.unwrap_or(day.seed);
    let began = Instant::now();
    let figures = play(&day);
    println!(
        "{} engines, {} routers, {} requests in {:.0} s, in the model (no front, no connections)",
        day.engines.len(),
        day.routers,
        day.plans.len(),
        day.length.as_secs_f64()
    );
    println!(
        "{:<16}{:>10}{:>10}{:>10}{:>10}{:>8}{:>10}{:>10}",
        "model", "asked", "served", "refused", "failed", "left", "p50 ms", "p99 ms"
    );
    for (model, m) in &figures.models {
        let at = |share: f64| {
            let n = (m.waits.len() as f64 * share) as usize;
            m.waits.get(n.min(m.waits.len().saturating_sub(1))).map_or(0.0, |w| w.as_secs_f64() * 1e3)
        };
        println!(
            "{model:<16}{:>10}{:>10}{:>10}{:>10}{:>8}{:>10.1}{:>10.1}",
            m.asked,
            m.served,
            m.refused,
            m.failed,
            m.left,
            at(0.5),
            at(0.99)
        );
    }
    println!(
        "attempts {}, probes {}, changes of role {}, engines fallen over {}, still held {}, events {}, played in {:.1} s",
        figures.attempts,
        figures.probes,
        figures.orders.len(),
        figures.fallen,
        figures.held,
        figures.events,
        began.elapsed().as_secs_f64()
    );
    for (at, why) in figures.orders.iter().filter(|_| args.verbose) {
        println!("{:>8.1} s  {why}", at.as_secs_f64());
    }
    if !figures.not_played.is_empty() {
        println!("not played: {}", figures.not_played.join(", "));
    }
    Ok(())
}
