//! `roles`: which engines read and which write: what they tell, what would be changed and why, changing it,
//! and stopping all changes on a bad night.

use crate::signals::Signals;
use crate::{lines, logs, Failure, Outcome};
use clap::{Args as ClapArgs, Subcommand};
use slipreel::{CellId, EngineState, ZoneId};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::engine_id;
use slipreel_gateway::settings::EngineSettings;
use slipreel_roles::{
    ControllerConfig, ControllerMode, EngineView, Freeze, OrderCounts, Phase, RoleController, Watched,
};
use slipreel_settings::{engines_from_slices, engines_to_slices, parse_roles, Daemon, RolesSite};
use slipreel_state_machine::{Input, Machine, Output};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often what was seen is looked at: the list and the freeze file follow within this time.
const LOOK: Duration = Duration::from_millis(100);
/// A round of questions and its answers.
const ROUND: Duration = Duration::from_millis(1_800);

#[derive(ClapArgs)]
pub(crate) struct Args {
    /// The settings, INI, with a section `[roles]`.
    #[arg(long)]
    config: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// What every engine tells of its role.
    Status,
    /// Watch and plan, and explain each change that would be made; order none.
    Plan {
        /// For how long, seconds.
        #[arg(long = "for", default_value_t = 30)]
        seconds: u64,
    },
    /// Watch, plan and order changes until SIGTERM, and keep the list that routers read.
    Apply,
    /// Stop all changes now, of every conductor with these settings. What is under way ends.
    Freeze {
        /// Allow changes again.
        #[arg(long)]
        off: bool,
    },
}

/// What a conductor has seen, shared with the thread that looks at it.
type Seen = Arc<Mutex<Vec<EngineView>>>;

/// A conductor that shows what it sees.
struct Shown {
    conductor: RoleController,
    seen: Seen,
    /// Why nothing more was changed, as last told; kept quiet where changes are ordered.
    because: Option<String>,
}

impl Machine for Shown {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.conductor.handle(now, input, out);
        let because = &self.conductor.last_plan().because;
        if let Some(told) = self.because.as_mut().filter(|told| *told != because) {
            told.clone_from(because);
            out.push(Output::Log(format!("nothing more: {because}")));
        }
        if let Ok(mut seen) = self.seen.lock() {
            seen.clone_from(&self.conductor.seen().to_vec());
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        self.conductor.wake_at()
    }
}

pub(crate) fn run(args: &Args) -> Outcome {
    let name = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config).map_err(|e| Failure::Input(format!("{name}: {e}")))?;
    let (daemon, roles) = parse_roles(&text, &name).map_err(|faults| Failure::Input(lines(&faults)))?;
    if let What::Freeze { off } = args.what {
        return freeze(&roles, off);
    }
    let mut engines = daemon.site.engines.clone();
    if let Some(file) = &daemon.engines_file {
        let text = std::fs::read_to_string(file);
        let text = text.map_err(|e| Failure::Input(format!("{}: {e}", file.display())))?;
        engines =
            engines_from_slices(&text).map_err(|e| Failure::Input(format!("{}: {e}", file.display())))?;
    }
    match args.what {
        What::Status => status(&roles, &engines),
        What::Plan { seconds } => plan(&roles, &engines, Duration::from_secs(seconds)),
        What::Apply => apply(&daemon, &roles, engines),
        What::Freeze { .. } => Ok(()),
    }
}

fn freeze(roles: &RolesSite, off: bool) -> Outcome {
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

fn is_frozen(roles: &RolesSite) -> bool {
    roles.freeze.as_ref().is_some_and(|f| f.exists())
}

/// The engines as a conductor takes them, cells and zones by number.
fn watched(engines: &[EngineSettings]) -> Vec<Watched> {
    let (mut cells, mut zones) = (BTreeMap::new(), BTreeMap::new());
    let number = |names: &mut BTreeMap<String, u32>, name: &str| {
        let next = names.len() as u32;
        *names.entry(name.to_owned()).or_insert(next)
    };
    let mut one = |e: &EngineSettings| Watched {
        id: engine_id(e.addr),
        addr: e.addr,
        cell: CellId(number(&mut cells, &e.cell)),
        zone: ZoneId(number(&mut zones, &e.zone)),
    };
    engines.iter().map(&mut one).collect()
}

/// A conductor at work on a thread of its own.
struct AtWork {
    seen: Seen,
    handle: EventLoopHandle<Shown>,
    thread: std::thread::JoinHandle<std::io::Result<OrderCounts>>,
}

impl AtWork {
    fn start(
        roles: &RolesSite, engines: &[EngineSettings], dry: bool,
        log: impl FnMut(MachineId, &str) + Send + 'static,
    ) -> Result<AtWork, Failure> {
        let run = |e: std::io::Error| Failure::Run(e.to_string());
        let clock = Clock::start();
        let watched = watched(engines);
        let mut limits = roles.limits;
        limits.frozen = is_frozen(roles);
        let config = ControllerConfig {
            limits,
            costs: roles.costs,
            policy: roles.policy,
            full_load_requests: roles.places,
            mode: if dry { ControllerMode::DryRun } else { ControllerMode::Apply },
        };
        let conductor = RoleController::new(watched, config, clock.now())
            .with_routers(roles.routers.clone(), roles.speeds);
        let seen = Seen::default();
        let mut looped = EventLoop::new(clock).map_err(run)?;
        looped.on_log(log);
        let node = looped.add(Shown { conductor, seen: seen.clone(), because: dry.then(String::new) });
        let handle = looped.handle();
        let thread = std::thread::Builder::new().name("conductor".into()).spawn(move || {
            looped.run()?;
            Ok(looped.machine(node).conductor.orders())
        });
        Ok(AtWork { seen, handle, thread: thread.map_err(run)? })
    }

    fn seen(&self) -> Vec<EngineView> {
        self.seen.lock().map(|seen| seen.clone()).unwrap_or_default()
    }

    /// Ends it; gives the orders that engines took, and those that they turned away.
    fn stop(self) -> Result<OrderCounts, Failure> {
        self.handle.send(Command::Stop(MachineId(0)));
        let orders = self.thread.join().map_err(|_| Failure::Run("the conductor ended by a panic".into()))?;
        orders.map_err(|e| Failure::Run(e.to_string()))
    }
}

fn status(roles: &RolesSite, engines: &[EngineSettings]) -> Outcome {
    let work = AtWork::start(roles, engines, true, |_, _| {})?;
    std::thread::sleep(ROUND);
    let seen = work.seen();
    work.stop()?;
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

fn role_name(role: slipreel::Role) -> &'static str {
    match role {
        slipreel::Role::Prefill => "read",
        slipreel::Role::Decode => "write",
        slipreel::Role::Mixed => "both",
    }
}

fn plan(roles: &RolesSite, engines: &[EngineSettings], time: Duration) -> Outcome {
    let signals = Signals::watch()?;
    println!("watching {} engines and {} routers; nothing is ordered", engines.len(), roles.routers.len());
    let began = std::time::Instant::now();
    let log = move |_, line: &str| println!("{:>7.1} s  {line}", began.elapsed().as_secs_f64());
    let work = AtWork::start(roles, engines, true, log)?;
    let mut frozen = is_frozen(roles);
    while began.elapsed() < time && !signals.stop_requested() {
        follow_freeze(roles, &work, &mut frozen);
        std::thread::sleep(LOOK);
    }
    work.stop().map(|_| ())
}

fn follow_freeze(roles: &RolesSite, work: &AtWork, frozen: &mut bool) {
    let now = is_frozen(roles);
    if std::mem::replace(frozen, now) != now {
        work.handle.send(Command::Message(MachineId(0), Arc::new(Freeze(now))));
        tracing::info!(frozen = now, "changes are {}", if now { "frozen" } else { "allowed" });
    }
}

fn apply(daemon: &Daemon, roles: &RolesSite, mut engines: Vec<EngineSettings>) -> Outcome {
    logs::start(daemon.log_format, &daemon.log_level);
    let signals = Signals::watch()?;
    let work = AtWork::start(roles, &engines, false, |_, line| tracing::info!("{line}"))?;
    tracing::info!(engines = engines.len(), routers = roles.routers.len(), "conducting");
    let (mut frozen, mut unwritten, mut failed) = (is_frozen(roles), false, false);
    let mut last =
        roles.list.as_ref().and_then(|list| std::fs::read_to_string(list).ok()).unwrap_or_default();
    while !signals.stop_requested() && !work.thread.is_finished() {
        std::thread::sleep(LOOK);
        follow_freeze(roles, &work, &mut frozen);
        if let Some(list) = &roles.list {
            // Somebody else has changed the list: engines that came or went are theirs to say.
            let now = std::fs::read_to_string(list).ok().filter(|now| *now != last);
            if let Some((now, others)) = now.and_then(|now| engines_from_slices(&now).ok().map(|e| (now, e)))
            {
                tracing::info!(engines = others.len(), "the list of engines has changed");
                work.handle.send(Command::Message(MachineId(0), Arc::new(watched(&others))));
                (engines, last) = (others, now);
            }
        }
        unwritten |= follow_roles(&mut engines, &work.seen());
        let Some(list) = roles.list.as_ref().filter(|_| unwritten) else { continue };
        let text = engines_to_slices(&engines);
        match write_whole(list, &text) {
            Ok(()) => {
                (last, unwritten, failed) = (text, false, false);
                tracing::info!(list = %list.display(), "the list of engines was written");
            }
            // Tried again at the next look, and said once.
            Err(why) if !std::mem::replace(&mut failed, true) => {
                tracing::error!(list = %list.display(), %why, "the list can't be written; routers go by the old one");
            }
            Err(_) => {}
        }
    }
    let OrderCounts { accepted, rejected } = work.stop()?;
    tracing::info!(
        taken = accepted,
        turned = rejected,
        "stopped; engines end the changes that they were told of by themselves"
    );
    Ok(())
}

/// Takes over what engines tell of their roles. Whether the list has changed. Who does not answer stays as it
/// was.
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

/// Writes a file so that whoever reads it finds the old text or the new one, whole.
fn write_whole(file: &Path, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(format!(".{}", std::process::id()));
    let beside = file.with_file_name(name);
    let mut out = std::fs::File::create(&beside)?;
    out.write_all(text.as_bytes())?;
    out.sync_all()?;
    std::fs::rename(&beside, file)
}

#[cfg(test)]
mod tests;
