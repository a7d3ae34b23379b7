//! `ground`: runs a fault injection script with many router processes and reports how they behaved.

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
    /// The script of faults, INI.
    file: PathBuf,
    /// The random seed, instead of the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of runs, with consecutive seeds from the first one on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of random faults to add, drawn from the seed.
    #[arg(long, default_value_t = 0)]
    random: usize,
    /// Run in memory and in virtual time, with the same state machines and without processes.
    #[arg(long)]
    memory: bool,
    /// Write the history of events to this file, one JSON object a line.
    #[arg(long)]
    history: Option<PathBuf>,
    /// Print what the routers logged.
    #[arg(long)]
    log: bool,
}

/// How often signals are polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of violated invariants, and of broken promises, that are printed for a run.
const MAX_PRINTED_VIOLATIONS: usize = 10;

/// The value below which this share of the ascending times lies, milliseconds; 0 if there is none.
fn quantile_ms(sorted: &[Duration], share: f64) -> u128 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).map_or(0, Duration::as_millis)
}

/// Counts the requests by how they ended.
fn count_endings(played: &Played) -> BTreeMap<String, usize> {
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    for result in &played.results {
        let ending = result.ending.map(|ending| format!("{ending:?}").to_lowercase());
        *endings.entry(ending.unwrap_or("left or cut off".into())).or_default() += 1;
    }
    endings
}

/// Prints the results of one run.
fn print_run(script: &Script, played: &Played) {
    let verdict = &played.verdict;
    let settled = verdict
        .settled_in
        .map_or("never".to_owned(), |time| format!("{} ms after the last fault", time.as_millis()));
    println!(
        "seed {}: {} routers, {} faults; one view {settled}; false alarms {}; suspicions {}; quota handed out at most {:.2}, \
         at the end {:.2}; rules broken {}; requests {:?}",
        script.seed,
        script.routers,
        script.faults.len(),
        verdict.false_alarms,
        verdict.suspicions,
        verdict.peak_quota_share,
        verdict.final_quota_share,
        played.violations.len(),
        count_endings(played)
    );
    print_policy(played);
    if verdict.max_lateness > Duration::ZERO {
        println!(
            "  the schedule ran up to {} ms late: times are not judged",
            verdict.max_lateness.as_millis()
        );
    }
    verdict.failures.iter().for_each(|wrong| println!("  wrong: {wrong}"));
    for rule_break in played.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  rule broken: {}, at {:?}: {}", rule_break.rule, rule_break.at, rule_break.description);
    }
}

/// Prints the results of the policy changes, if the script has any.
fn print_policy(played: &Played) {
    let Some(policy) = &played.policy else { return };
    let mut changed_in: Vec<Duration> = policy.changed_in.clone();
    changed_in.sort_unstable();
    println!(
        "  policy: {} changes in force, {} dropped, epoch {} at the end; in force after p50 {} ms, at most {} ms; overlap {} ms; \
         {} requests taken, {} answered that the policy is not known",
        policy.ended.0,
        policy.ended.1,
        policy.epoch,
        quantile_ms(&changed_in, 0.5),
        quantile_ms(&changed_in, 1.0),
        policy.verdict.overlap.as_millis(),
        policy.verdict.taken.values().sum::<usize>(),
        policy.verdict.uncertain
    );
    policy.failures.iter().for_each(|wrong| println!("  wrong: {wrong}"));
    for broken in policy.verdict.broken.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  promise broken: {:?}, at {:?}: {}", broken.promise, broken.at, broken.description);
    }
}

/// Results over all runs.
#[derive(Default)]
struct Totals {
    settled_in: Vec<Duration>,
    detected_in: Vec<Duration>,
    changed_in: Vec<Duration>,
    longest_overlap: Duration,
    wrong_runs: usize,
}

impl Totals {
    fn add(&mut self, played: &Played) {
        self.settled_in.extend(played.verdict.settled_in);
        self.detected_in.extend(played.verdict.detected_in.iter().copied());
        if let Some(policy) = &played.policy {
            self.changed_in.extend(policy.changed_in.iter().copied());
            self.longest_overlap = self.longest_overlap.max(policy.verdict.overlap);
        }
        self.wrong_runs += usize::from(!played.passed());
    }

    fn print(&mut self, runs: u64) {
        self.settled_in.sort_unstable();
        self.detected_in.sort_unstable();
        println!(
            "{runs} runs, {} with something wrong; one view after p50 {} ms, p99 {} ms; a kill seen after p50 {} ms, p99 {} ms, at most {} ms",
            self.wrong_runs,
            quantile_ms(&self.settled_in, 0.5),
            quantile_ms(&self.settled_in, 0.99),
            quantile_ms(&self.detected_in, 0.5),
            quantile_ms(&self.detected_in, 0.99),
            quantile_ms(&self.detected_in, 1.0)
        );
        self.changed_in.sort_unstable();
        if !self.changed_in.is_empty() {
            println!(
                "{} changes in force after p50 {} ms, p99 {} ms, at most {} ms; two epochs overlapped by {} ms at most",
                self.changed_in.len(),
                quantile_ms(&self.changed_in, 0.5),
                quantile_ms(&self.changed_in, 0.99),
                quantile_ms(&self.changed_in, 1.0),
                self.longest_overlap.as_millis()
            );
        }
    }
}

/// Starts a thread that sets `interrupt` when SIGINT or SIGTERM has arrived.
fn watch_for_interrupt(interrupt: Interrupt) -> Result<(), Failure> {
    let signals = Signals::watch()?;
    std::thread::spawn(move || loop {
        if signals.stop_requested() {
            interrupt.store(true, Ordering::Relaxed);
        }
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    });
    Ok(())
}

/// Runs a script once, in virtual time or with processes.
fn play(args: &Args, script: &Script, interrupt: &Interrupt) -> Result<Played, Failure> {
    if args.memory {
        return play_in_memory(script).map_err(Failure::Run);
    }
    let program = std::env::current_exe().map_err(|e| Failure::Run(e.to_string()))?;
    let played = play_processes(script, &program, interrupt).map_err(Failure::Run)?;
    played.ok_or_else(|| Failure::Run("interrupted; no process is left".into()))
}

/// Runs the script with one seed after the other; fails if anything was wrong in a run.
pub(crate) fn run(args: &Args) -> Outcome {
    let name = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let interrupt = Interrupt::default();
    if !args.memory {
        watch_for_interrupt(interrupt.clone())?;
    }
    let mut totals = Totals::default();
    let runs = args.seeds.max(1);
    let mut first_seed = 1;
    for run in 0..runs {
        let seed = (args.seed.is_some() || run > 0).then(|| args.seed.unwrap_or(first_seed) + run);
        let mut script = read_script(&text, &name, seed).map_err(|faults| Failure::Input(lines(&faults)))?;
        if run == 0 {
            first_seed = script.seed;
        }
        script.add_random_faults(args.random);
        let played = play(args, &script, &interrupt)?;
        print_run(&script, &played);
        if args.log {
            played.log.iter().for_each(|line| println!("  {line}"));
        }
        if let Some(file) = &args.history {
            played.history.write(file).map_err(|e| Failure::Run(format!("{}: {e}", file.display())))?;
        }
        totals.add(&played);
    }
    totals.print(runs);
    if totals.wrong_runs > 0 {
        return Err(Failure::Run(format!("{} runs with something wrong", totals.wrong_runs)));
    }
    Ok(())
}
