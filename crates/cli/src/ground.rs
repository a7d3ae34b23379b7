//! `ground`: many processes of this program, faults between them, and what came of it.

use crate::signals::Signals;
use crate::{lines, Failure, Outcome};
use clap::Args as ClapArgs;
use slipreel_fault_injection::{
    play_in_memory, play_processes, read_script, Interrupt, Outcome as Played, Script,
};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// The script, INI.
    file: PathBuf,
    /// Settles all chances, in place of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Play so many seeds, one after the other, from the first one on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Add so many faults, drawn from the seed.
    #[arg(long, default_value_t = 0)]
    random: usize,
    /// In virtual time, with the same machines and no process.
    #[arg(long)]
    memory: bool,
    /// Write what happened here, one JSON object a line.
    #[arg(long)]
    history: Option<PathBuf>,
    /// Print what the routers logged.
    #[arg(long)]
    log: bool,
}

fn at(sorted: &[Duration], share: f64) -> u128 {
    let at = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(at.saturating_sub(1)).map_or(0, Duration::as_millis)
}

fn tell(script: &Script, played: &Played) {
    let verdict = &played.verdict;
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    for result in &played.results {
        *endings
            .entry(result.ending.map_or("left or cut off".into(), |e| format!("{e:?}").to_lowercase()))
            .or_default() += 1;
    }
    let settled = verdict
        .settled_in
        .map_or("never".to_owned(), |t| format!("{} ms after the last fault", t.as_millis()));
    println!(
        "seed {}: {} routers, {} faults; one view {settled}; false alarms {}; suspicions {}; quota handed out at most {:.2}, \
         at the end {:.2}; rules broken {}; requests {endings:?}",
        script.seed,
        script.routers,
        script.faults.len(),
        verdict.false_alarms,
        verdict.suspicions,
        verdict.handed_out,
        verdict.handed_out_last,
        played.breaks.len()
    );
    if let Some(policy) = &played.policy {
        let mut took: Vec<Duration> = policy.changed_in.clone();
        took.sort_unstable();
        println!(
            "  policy: {} changes in force, {} dropped, epoch {} at the end; in force after p50 {} ms, at most {} ms; overlap {} ms; \
             {} requests taken, {} answered that the policy is not known",
            policy.ended.0,
            policy.ended.1,
            policy.epoch,
            at(&took, 0.5),
            at(&took, 1.0),
            policy.verdict.overlap.as_millis(),
            policy.verdict.taken.values().sum::<usize>(),
            policy.verdict.uncertain
        );
        policy.wrong.iter().for_each(|w| println!("  wrong: {w}"));
        policy
            .verdict
            .broken
            .iter()
            .take(10)
            .for_each(|b| println!("  promise broken: {:?}, at {:?}: {}", b.promise, b.at, b.what));
    }
    if verdict.late > Duration::ZERO {
        println!("  the schedule ran up to {} ms late: times are not judged", verdict.late.as_millis());
    }
    verdict.wrong.iter().for_each(|w| println!("  wrong: {w}"));
    played
        .breaks
        .iter()
        .take(10)
        .for_each(|b| println!("  rule broken: {}, at {:?}: {}", b.rule, b.at, b.what));
}

pub(crate) fn run(args: &Args) -> Outcome {
    let name = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let interrupt = Interrupt::default();
    if !args.memory {
        let (signals, flag) = (Signals::watch()?, interrupt.clone());
        std::thread::spawn(move || loop {
            if signals.stopped() {
                flag.store(true, Ordering::Relaxed);
            }
            std::thread::sleep(Duration::from_millis(50));
        });
    }
    let (mut settled, mut detected, mut wrong) = (Vec::new(), Vec::new(), 0);
    let (mut changed, mut overlap) = (Vec::new(), Duration::ZERO);
    let mut first = 1;
    for n in 0..args.seeds.max(1) {
        let seed = (args.seed.is_some() || n > 0).then(|| args.seed.unwrap_or(first) + n);
        let mut script = read_script(&text, &name, seed).map_err(|faults| Failure::Input(lines(&faults)))?;
        first = if n == 0 { script.seed } else { first };
        script.draw(args.random);
        let played = if args.memory {
            Some(play_in_memory(&script).map_err(Failure::Run)?)
        } else {
            let program = std::env::current_exe().map_err(|e| Failure::Run(e.to_string()))?;
            play_processes(&script, &program, &interrupt).map_err(Failure::Run)?
        };
        let Some(played) = played else { return Err(Failure::Run("interrupted; no process is left".into())) };
        tell(&script, &played);
        if args.log {
            played.log.iter().for_each(|l| println!("  {l}"));
        }
        if let Some(file) = &args.history {
            played.history.write(file).map_err(|e| Failure::Run(format!("{}: {e}", file.display())))?;
        }
        settled.extend(played.verdict.settled_in);
        detected.extend(played.verdict.detected_in.iter().copied());
        if let Some(policy) = &played.policy {
            changed.extend(policy.changed_in.iter().copied());
            overlap = overlap.max(policy.verdict.overlap);
        }
        wrong += usize::from(!played.is_well());
    }
    settled.sort_unstable();
    detected.sort_unstable();
    println!(
        "{} runs, {wrong} with something wrong; one view after p50 {} ms, p99 {} ms; a kill seen after p50 {} ms, p99 {} ms, at most {} ms",
        args.seeds.max(1),
        at(&settled, 0.5),
        at(&settled, 0.99),
        at(&detected, 0.5),
        at(&detected, 0.99),
        at(&detected, 1.0)
    );
    changed.sort_unstable();
    if !changed.is_empty() {
        println!(
            "{} changes in force after p50 {} ms, p99 {} ms, at most {} ms; two epochs overlapped by {} ms at most",
            changed.len(),
            at(&changed, 0.5),
            at(&changed, 0.99),
            at(&changed, 1.0),
            overlap.as_millis()
        );
    }
    if wrong > 0 {
        return Err(Failure::Run(format!("{wrong} runs with something wrong")));
    }
    Ok(())
}
