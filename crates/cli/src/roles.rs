//! `roles`: shows which engines prefill and which decode, plans or applies role changes with the reasons for
//! them, and freezes all changes in an emergency.

use crate::signals::Signals;
use crate::{lines, logs, Failure, Outcome};
use clap::{Args as ClapArgs, Subcommand};
use slipreel::{CellId, EngineState, ZoneId};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::engine_id;
use slipreel_gateway::settings::EngineSettings;
use slipreel_roles::{
    ControllerConfig, ControllerMode, EngineView, Freeze, OrderCounts, Phase, RoleController, WatchedEngine,
};
use slipreel_settings::{engines_from_slices, engines_to_slices, parse_roles, DaemonSettings, RoleSettings};
use slipreel_state_machine::{Input, Machine, Output};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the reported roles, the engine list and the freeze file are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for one round of requests to the engines and their answers.
const ROUND_TIME: Duration = Duration::from_millis(1_800);

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// The settings file, INI, with a section `[roles]`.
    #[arg(long)]
    config: PathBuf,
    #[command(subcommand)]
    command: RolesCommand,
}

#[derive(Subcommand)]
enum RolesCommand {
    /// Show the role that each engine reports.
    Status,
    /// Watch and plan, and explain each change that would be made, without applying any.
    Plan {
        /// How long to watch, seconds.
        #[arg(long = "for", default_value_t = 30)]
        seconds: u64,
    },
    /// Watch, plan and apply changes until SIGTERM, and update the list of engines that routers read.
    Apply,
    /// Stop all changes now, for every controller with these settings. Changes in progress are completed.
    Freeze {
        /// Allow changes again.
        #[arg(long)]
        off: bool,
    },
}

/// The last state of the engines that a controller has seen, shared with the main thread.
type SharedViews = Arc<Mutex<Vec<EngineView>>>;

/// A controller that shares what it sees, and logs its reasons in a dry run.
struct ObservedController {
    controller: RoleController,
    seen: SharedViews,
    /// The last logged reason why no further change is planned; `None` if changes are applied, where it is
    /// not logged.
    logged_reason: Option<String>,
}

impl Machine for ObservedController {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.controller.handle(now, input, out);
        let reason = &self.controller.last_plan().reason;
        if let Some(logged) = self.logged_reason.as_mut().filter(|logged| *logged != reason) {
            logged.clone_from(reason);
            out.push(Output::Log(format!("nothing more: {reason}")));
        }
        if let Ok(mut seen) = self.seen.lock() {
            seen.clone_from(&self.controller.last_view().to_vec());
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.controller.wake_at()
    }
}

/// Runs one of the subcommands.
pub(crate) fn run(args: &Args) -> Outcome {
    let name = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let (daemon, roles) = parse_roles(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    if let RolesCommand::Freeze { off } = args.command {
        return freeze(&roles, off);
    }
    let mut engines = daemon.gateway.engines.clone();
    if let Some(file) = &daemon.engines_file {
        let text = std::fs::read_to_string(file);
        let text = text.map_err(|e| Failure::Input(format!("{}: {e}", file.display())))?;
        engines =
            engines_from_slices(&text).map_err(|e| Failure::Input(format!("{}: {e}", file.display())))?;
    }
    match args.command {
        RolesCommand::Status => status(&roles, &engines),
        RolesCommand::Plan { seconds } => plan(&roles, &engines, Duration::from_secs(seconds)),
        RolesCommand::Apply => apply(&daemon, &roles, engines),
        RolesCommand::Freeze { .. } => Ok(()),
    }
}

/// Creates the freeze file, or removes it.
fn freeze(roles: &RoleSettings, off: bool) -> Outcome {
    let Some(file) = &roles.freeze else {
        return Err(Failure::Input(
            "[roles] freeze: expected a file, whose presence stops all changes".into(),
        ));
    };
    let failed = |e: std::io::Error| Failure::Run(format!("{}: {e}", file.display()));
    if off {
        match std::fs::remove_file(file) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(failed(e)),
            _ => println!("changes are allowed"),
        }
    } else {
        std::fs::write(file, "").map_err(failed)?;
        println!("changes are frozen: {} is there", file.display());
    }
    Ok(())
}

/// Whether the freeze file exists.
fn is_frozen(roles: &RoleSettings) -> bool {
    roles.freeze.as_ref().is_some_and(|f| f.exists())
}

/// The engines as the controller takes them, with numbers for cells and zones.
fn watched_engines(engines: &[EngineSettings]) -> Vec<WatchedEngine> {
    let (mut cells, mut zones) = (BTreeMap::new(), BTreeMap::new());
    let number = |names: &mut BTreeMap<String, u32>, name: &str| {
        let next = names.len() as u32;
        *names.entry(name.to_owned()).or_insert(next)
    };
    let mut watched = |e: &EngineSettings| WatchedEngine {
        id: engine_id(e.addr),
        addr: e.addr,
        cell: CellId(number(&mut cells, &e.cell)),
        zone: ZoneId(number(&mut zones, &e.zone)),
    };
    engines.iter().map(&mut watched).collect()
}

/// A controller that runs on a thread of its own.
struct ControllerThread {
    seen: SharedViews,
    handle: EventLoopHandle<ObservedController>,
    thread: std::thread::JoinHandle<std::io::Result<OrderCounts>>,
}

impl ControllerThread {
    /// Starts the thread; a dry run applies no change.
    fn start(
        roles: &RoleSettings, engines: &[EngineSettings], dry_run: bool,
        log: impl FnMut(MachineId, &str) + Send + 'static,
    ) -> Result<ControllerThread, Failure> {
        let run_failure = |e: std::io::Error| Failure::Run(e.to_string());
        let clock = Clock::start();
        let watched = watched_engines(engines);
        let mut limits = roles.limits;
        limits.frozen = is_frozen(roles);
        let config = ControllerConfig {
            limits,
            costs: roles.costs,
            policy: roles.policy,
            full_load_requests: roles.full_load_requests,
            mode: if dry_run { ControllerMode::DryRun } else { ControllerMode::Apply },
        };
        let controller = RoleController::new(watched, config, clock.now())
            .with_routers(roles.routers.clone(), roles.throughput);
        let seen = SharedViews::default();
        let mut event_loop = EventLoop::new(clock).map_err(run_failure)?;
        event_loop.on_log(log);
        let node = event_loop.add(ObservedController {
            controller,
            seen: seen.clone(),
            logged_reason: dry_run.then(String::new),
        });
        let handle = event_loop.handle();
        let thread = std::thread::Builder::new().name("conductor".into()).spawn(move || {
            event_loop.run()?;
            Ok(event_loop.machine(node).controller.orders())
        });
        Ok(ControllerThread { seen, handle, thread: thread.map_err(run_failure)? })
    }

    /// The last state of the engines that answered.
    fn seen(&self) -> Vec<EngineView> {
        self.seen.lock().map(|seen| seen.clone()).unwrap_or_default()
    }

    /// Stops the controller; returns how many orders the engines accepted and rejected.
    fn stop(self) -> Result<OrderCounts, Failure> {
        self.handle.send(Command::Stop(MachineId(0)));
        let orders = self
            .thread
            .join()
            .map_err(|_| Failure::Run("the controller's thread ended by a panic".into()))?;
        orders.map_err(|e| Failure::Run(e.to_string()))
    }
}

/// Prints the role of each engine after one round of requests.
fn status(roles: &RoleSettings, engines: &[EngineSettings]) -> Outcome {
    let controller = ControllerThread::start(roles, engines, true, |_, _| {})?;
    std::thread::sleep(ROUND_TIME);
    let seen = controller.seen();
    controller.stop()?;
    let state = if is_frozen(roles) { "frozen" } else { "allowed" };
    println!("changes are {state}; {} of {} engines answered", seen.len(), engines.len());
    println!(
        "{:<24}{:<22}{:<12}{:<12}{:<7}{:>6}  {:<20}{:>6}",
        "engine", "address", "zone", "cell", "role", "epoch", "step", "busy"
    );
    for e in engines {
        let head = format!("{:<24}{:<22}{:<12}{:<12}", e.name, e.addr.to_string(), e.zone, e.cell);
        match seen.iter().find(|s| s.id == engine_id(e.addr)) {
            None => println!("{head}no answer"),
            Some(s) => {
                let step = match s.phase {
                    Phase::Serving => "serving".to_owned(),
                    Phase::Warming => "warming".to_owned(),
                    Phase::Changing(to) => format!("draining, to {}", role_name(to)),
                    Phase::Leaving => "leaving".to_owned(),
                };
                println!("{head}{:<7}{:>6}  {step:<20}{:>5.0}%", role_name(s.role), s.epoch, 100.0 * s.busy);
            }
        }
    }
    Ok(())
}

/// The name of a role in settings and on the wire.
fn role_name(role: slipreel::Role) -> &'static str {
    match role {
        slipreel::Role::Prefill => "read",
        slipreel::Role::Decode => "write",
        slipreel::Role::Mixed => "both",
    }
}

/// Prints the changes that would be made, for `time` or until a signal.
fn plan(roles: &RoleSettings, engines: &[EngineSettings], time: Duration) -> Outcome {
    let signals = Signals::watch()?;
    println!("watching {} engines and {} routers; nothing is ordered", engines.len(), roles.routers.len());
    let began = std::time::Instant::now();
    let log = move |_, line: &str| println!("{:>7.1} s  {line}", began.elapsed().as_secs_f64());
    let controller = ControllerThread::start(roles, engines, true, log)?;
    let mut frozen = is_frozen(roles);
    while began.elapsed() < time && !signals.stop_requested() {
        follow_freeze(roles, &controller, &mut frozen);
        std::thread::sleep(POLL_INTERVAL);
    }
    controller.stop().map(|_| ())
}

/// Tells the controller when the freeze file appears or disappears.
fn follow_freeze(roles: &RoleSettings, controller: &ControllerThread, frozen: &mut bool) {
    let now = is_frozen(roles);
    if std::mem::replace(frozen, now) != now {
        controller.handle.send(Command::Message(MachineId(0), Arc::new(Freeze(now))));
        tracing::info!(frozen = now, "changes are {}", if now { "frozen" } else { "allowed" });
    }
}

/// Applies changes until a signal, and writes the list of engines.
fn apply(daemon: &DaemonSettings, roles: &RoleSettings, mut engines: Vec<EngineSettings>) -> Outcome {
    logs::start(daemon.log_format, &daemon.log_level);
    let signals = Signals::watch()?;
    let controller = ControllerThread::start(roles, &engines, false, |_, line| tracing::info!("{line}"))?;
    tracing::info!(engines = engines.len(), routers = roles.routers.len(), "conducting");
    let (mut frozen, mut is_unwritten, mut write_failed) = (is_frozen(roles), false, false);
    let mut last_text =
        roles.list.as_ref().and_then(|list| std::fs::read_to_string(list).ok()).unwrap_or_default();
    while !signals.stop_requested() && !controller.thread.is_finished() {
        std::thread::sleep(POLL_INTERVAL);
        follow_freeze(roles, &controller, &mut frozen);
        if let Some(list) = &roles.list {
            // Another program has changed the list: it decides which engines there are.
            let now = std::fs::read_to_string(list).ok().filter(|now| *now != last_text);
            if let Some((now, others)) = now.and_then(|now| engines_from_slices(&now).ok().map(|e| (now, e)))
            {
                tracing::info!(engines = others.len(), "the list of engines has changed");
                controller.handle.send(Command::Message(MachineId(0), Arc::new(watched_engines(&others))));
                (engines, last_text) = (others, now);
            }
        }
        is_unwritten |= follow_roles(&mut engines, &controller.seen());
        let Some(list) = roles.list.as_ref().filter(|_| is_unwritten) else { continue };
        let text = engines_to_slices(&engines);
        match write_atomically(list, &text) {
            Ok(()) => {
                (last_text, is_unwritten, write_failed) = (text, false, false);
                tracing::info!(list = %list.display(), "the list of engines was written");
            }
            // Tried again at the next poll, and logged once.
            Err(why) if !std::mem::replace(&mut write_failed, true) => {
                tracing::error!(list = %list.display(), %why, "the list can't be written; routers go by the old one");
            }
            Err(_) => {}
        }
    }
    let OrderCounts { accepted, rejected } = controller.stop()?;
    tracing::info!(
        taken = accepted,
        turned = rejected,
        "stopped; engines complete the changes that they have accepted by themselves"
    );
    Ok(())
}

/// Updates the list with the roles that engines report; returns whether it has changed. Engines that don't
/// answer keep their entry.
fn follow_roles(engines: &mut [EngineSettings], seen: &[EngineView]) -> bool {
    let mut changed = false;
    for e in engines.iter_mut() {
        let Some(s) = seen.iter().find(|s| s.id == engine_id(e.addr)) else { continue };
        let state = if s.takes_work() { EngineState::Ready } else { EngineState::Draining };
        changed |= (e.role, e.state) != (s.role, state);
        (e.role, e.state) = (s.role, state);
    }
    changed
}

/// Replaces a file atomically: a reader sees either the whole old text or the whole new one.
fn write_atomically(file: &Path, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(format!(".{}", std::process::id()));
    let temporary_file = file.with_file_name(name);
    let mut out = std::fs::File::create(&temporary_file)?;
    out.write_all(text.as_bytes())?;
    out.sync_all()?;
    std::fs::rename(&temporary_file, file)
}

#[cfg(test)]
mod tests;
