//! `demo`: runs a scenario with engines, routers and clients in one process over loopback, and checks the
//! invariants.

use crate::signals::Signals;
use crate::{lines, Failure, Outcome};
use slipreel_event_loop::check_loopback;
use slipreel_scenario::{run_in_memory, run_over_sockets, LiveFleet, RunResult, Scenario};
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The scenario that is built into the program.
const BAD_DAY: &str = include_str!("../../../deploy/days/bad.ini");

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The scenario to run; by default the bad day that is built into the program.
    #[arg(long)]
    day: Option<PathBuf>,
    /// The random seed, instead of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// Run in memory and in virtual time.
    #[arg(long)]
    memory: bool,
    /// Start the fleet without clients and keep it running until SIGTERM.
    #[arg(long)]
    stay: bool,
    /// With --stay: the address that the router listens on; a loopback address.
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// With --stay: list the engines with their addresses.
    #[arg(long)]
    engines: bool,
    /// Print the logs of the state machines, and every violated invariant.
    #[arg(long)]
    verbose: bool,
}

/// Reads the scenario, with the seed of the command line if there is one.
fn read_scenario(args: &Args) -> Result<Scenario, Failure> {
    let (text, name) = match &args.day {
        None => (BAD_DAY.to_owned(), "the bad day".to_owned()),
        Some(file) => {
            let name = file.display().to_string();
            (std::fs::read_to_string(file).map_err(|e| Failure::Input(format!("{name}: {e}")))?, name)
        }
    };
    let mut day =
        slipreel_scenario::read_scenario(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    if let Some(seed) = args.seed {
        let text =
            text.lines().map(|l| if l.starts_with("seed") { format!("seed = {seed}") } else { l.into() });
        let text = text.collect::<Vec<String>>().join("\n");
        day = slipreel_scenario::read_scenario(&text, &name)
            .map_err(|faults| Failure::Input(lines(&faults)))?;
        day.seed = seed;
    }
    Ok(day)
}

/// Runs the scenario or the fleet; fails if an invariant was violated or a request leaked.
pub(crate) fn run(args: &Args) -> Outcome {
    if let Some(listen) = args.listen {
        check_loopback(listen).map_err(|e| Failure::Input(format!("--listen {e}")))?;
    }
    let day = read_scenario(args)?;
    if args.stay {
        return stay(args, &day);
    }
    println!(
        "{} engines, {} routers, {} requests in {} s, {} troubles, {}",
        day.engines.len(),
        day.routers,
        day.requests.len(),
        day.length.as_secs(),
        day.troubles.len(),
        if args.memory { "in memory" } else { "over loopback" }
    );
    let start_time = Instant::now();
    let played = if args.memory {
        run_in_memory(&day)
    } else {
        let progress = start_progress(day.length);
        let played = run_over_sockets(&day, None).map_err(Failure::Run);
        progress.end();
        played?
    };
    print_report(&played, args.verbose, start_time.elapsed());
    if played.report().is_clean() && played.held_requests == 0 {
        Ok(())
    } else {
        Err(Failure::Run("a rule broke or an answer was wrong".into()))
    }
}

/// Prints the report of a run.
fn print_report(played: &RunResult, verbose: bool, elapsed: Duration) {
    print!("{}", played.report());
    println!(
        "played {:.1} s in {:.1} s; requests still held by routers: {}",
        played.took.as_secs_f64(),
        elapsed.as_secs_f64(),
        played.held_requests
    );
    if verbose {
        played.violations.iter().for_each(|b| println!("{:?} {}: {}", b.at, b.rule, b.description));
        played.log.iter().for_each(|line| println!("{line}"));
    }
}

/// A line on a terminal that shows how much of the scenario has run.
struct Progress {
    stop: std::sync::mpsc::Sender<()>,
    thread: std::thread::JoinHandle<()>,
}

impl Progress {
    /// Stops the thread and clears the line.
    fn end(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

/// Starts a thread that shows the progress, if standard error is a terminal.
fn start_progress(length: Duration) -> Progress {
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let is_visible = std::io::stderr().is_terminal();
    let thread = std::thread::spawn(move || {
        let start_time = Instant::now();
        while let Err(std::sync::mpsc::RecvTimeoutError::Timeout) =
            stopped.recv_timeout(Duration::from_millis(200))
        {
            if is_visible {
                eprint!("\r{:5.1} of {} s ", start_time.elapsed().as_secs_f64(), length.as_secs());
                let _ = std::io::stderr().flush();
            }
        }
        if is_visible {
            eprint!("\r                    \r");
        }
    });
    Progress { stop, thread }
}

/// Runs the fleet without clients until a signal; fails if routers still hold requests at the end.
fn stay(args: &Args, day: &Scenario) -> Outcome {
    let signals = Signals::watch()?;
    let fleet = LiveFleet::start(day, args.listen).map_err(Failure::Run)?;
    let models: Vec<&str> = day.settings.models.iter().map(|m| m.name.as_str()).collect();
    let key = day.settings.tenants.first().and_then(|t| t.keys.first()).cloned().unwrap_or_default();
    if args.engines {
        for (plan, addr) in day.engines.iter().zip(&fleet.engine_addrs) {
            println!("engine {} {:?} {} {} {addr}", plan.spec.name, plan.spec.role, plan.zone, plan.cell);
        }
    }
    let ready = serde_json::json!({"url": format!("http://{}", fleet.targets[0]), "key": key, "models": models,
                           "operators": format!("http://{}", fleet.operators[0])});
    println!("ready {ready}");
    let _ = std::io::stdout().flush();
    while !signals.stop_requested() {
        std::thread::sleep(Duration::from_millis(20));
    }
    let (counters, leaks) = fleet.stop();
    let sum = |f: fn(&slipreel_gateway::Counters) -> u64| counters.iter().map(f).sum::<u64>();
    eprintln!(
        "stopped: taken {}, served {}, refused {}, failed {}, left {}; still held {leaks}",
        sum(|c| c.admitted),
        sum(|c| c.completed),
        sum(|c| c.rejected),
        sum(|c| c.failed),
        sum(|c| c.disconnected)
    );
    if leaks == 0 {
        Ok(())
    } else {
        Err(Failure::Run(format!("{leaks} requests were still held")))
    }
}
