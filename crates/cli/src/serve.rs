//! `serve`: the daemon. Each gateway runs on its own thread and is a separate router on the same port. This
//! thread watches signals and the list of engines, and forwards changes to the gateways.

use crate::member::Member;
use crate::signals::Signals;
use crate::{logs, read_settings, Failure, Outcome};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_gateway::settings::EngineSettings;
use slipreel_gateway::Gateway;
use slipreel_settings::{engines_from_slices, DaemonSettings};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

/// How often signals and the engine list file are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A file with the list of engines, read again when it changes.
struct EngineListFile {
    file: PathBuf,
    /// The content as it was last read.
    last_text: String,
}

impl EngineListFile {
    /// The engines, if the file has changed and can be read.
    fn poll(&mut self) -> Option<Vec<EngineSettings>> {
        let text = std::fs::read_to_string(&self.file).ok().filter(|t| *t != self.last_text)?;
        self.last_text = text;
        match engines_from_slices(&self.last_text) {
            Ok(engines) => Some(engines),
            Err(why) => {
                tracing::warn!(file = %self.file.display(), why, "the list of engines can't be read; it stays as it was");
                None
            }
        }
    }
}

fn random_seed() -> u64 {
    rand::random()
}

/// Exits without a shutdown once standard input is closed. The parent process holds the other end of the
/// pipe, which closes with it, also when it is killed.
fn exit_when_input_ends() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(1);
    });
}

/// Runs the daemon until it is stopped by a signal and has shut down.
pub(crate) fn run(config: &Path, until_input_ends: bool) -> Outcome {
    if until_input_ends {
        exit_when_input_ends();
    }
    let mut daemon = read_settings(config)?;
    logs::start(daemon.log_format, &daemon.log_level);
    let signals = Signals::watch()?;
    let mut engine_list =
        daemon.engines_file.clone().map(|file| EngineListFile { file, last_text: String::new() });
    if let Some(engine_list) = &mut engine_list {
        let text = std::fs::read_to_string(&engine_list.file);
        let text = text.map_err(|e| Failure::Input(format!("{}: {e}", engine_list.file.display())))?;
        let engines = engines_from_slices(&text);
        daemon.gateway.engines =
            engines.map_err(|e| Failure::Input(format!("{}: {e}", engine_list.file.display())))?;
        engine_list.last_text = text;
    }
    let clock = Clock::start();
    let mut member = Member::start(&daemon, config, clock)?;
    let (handles, threads) = start_routers(&daemon, clock)?;
    if let Some(member) = &member {
        member.share_with(&handles);
    }
    tracing::info!(listen = %daemon.listen, threads = daemon.threads, engines = daemon.gateway.engines.len(), "serving");
    while !signals.stop_requested() && threads.iter().any(|t| !t.is_finished()) {
        std::thread::sleep(POLL_INTERVAL);
        if let Some(engines) = engine_list.as_mut().and_then(EngineListFile::poll) {
            tracing::info!(engines = engines.len(), "the list of engines has changed");
            daemon.gateway.engines.clone_from(&engines);
            let engines = Arc::new(engines);
            handles.iter().for_each(|h| {
                h.send(Command::Message(MachineId(0), engines.clone()));
            });
        }
        if let Some(member) = &mut member {
            member.poll_changes(&handles);
        }
        if signals.take_reload() {
            reload(config, &mut daemon, &handles, member.as_mut());
        }
    }
    // Leave the fleet first, so that its other members know before this router stops accepting requests.
    member.iter().for_each(Member::stop);
    tracing::info!("stopping: requests under way end first");
    handles.iter().for_each(|h| {
        h.send(Command::Stop(MachineId(0)));
    });
    for thread in threads {
        let counters =
            thread.join().map_err(|_| Failure::Run("a router's thread ended by a panic".into()))?;
        tracing::info!(
            taken = counters.admitted,
            served = counters.completed,
            refused = counters.rejected,
            failed = counters.failed,
            left = counters.disconnected,
            "stopped"
        );
    }
    if let Some(member) = member {
        member.join();
    }
    Ok(())
}

/// The handles of the routers' event loops, and their threads, which return the final counters.
type RouterThreads = (Vec<EventLoopHandle<Gateway>>, Vec<JoinHandle<slipreel_gateway::Counters>>);

/// Starts one thread a router.
fn start_routers(daemon: &DaemonSettings, clock: Clock) -> Result<RouterThreads, Failure> {
    let run_failure = |e: std::io::Error| Failure::Run(e.to_string());
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let (mut handles, mut threads) = (Vec::new(), Vec::new());
    for n in 0..daemon.threads {
        let mut site = daemon.gateway.clone();
        if daemon.threads > 1 {
            site.name = format!("{}-{n}", site.name);
        }
        let mut event_loop = EventLoop::new(clock).map_err(run_failure)?;
        event_loop.on_log(move |_, line| tracing::info!(router = n, "{line}"));
        let node = event_loop.add(Gateway::new(Arc::new(site), random_seed(), clock.now(), unix_time));
        event_loop.listen(node, daemon.listen).map_err(|e| Failure::Run(e.to_string()))?;
        if let Some(first_address) = daemon.operators {
            let address = std::net::SocketAddr::new(first_address.ip(), first_address.port() + n as u16);
            event_loop.listen(node, address).map_err(|e| Failure::Run(e.to_string()))?;
        }
        handles.push(event_loop.handle());
        let thread = std::thread::Builder::new().name(format!("router-{n}")).spawn(move || {
            if let Err(why) = event_loop.run() {
                tracing::error!(%why, "the event loop failed");
            }
            event_loop.machine(node).counters()
        });
        threads.push(thread.map_err(run_failure)?);
    }
    Ok((handles, threads))
}

/// Reads the settings again. An invalid file changes nothing; a changed setting that needs a restart is
/// logged.
fn reload(
    config: &Path, daemon: &mut DaemonSettings, handles: &[EventLoopHandle<Gateway>],
    member: Option<&mut Member>,
) {
    let mut new = match read_settings(config) {
        Ok(new) => new,
        Err(Failure::Input(why) | Failure::Run(why)) => {
            tracing::warn!(why, "settings can't be read; they stay as they were");
            return;
        }
        Err(Failure::Code(_)) => return,
    };
    // If the fleet agrees on the policy, the file changes only the router's own settings, and the policy in
    // force stays.
    if let Some(joined) = member.as_ref().and_then(|m| m.with_policy_in_force(config)) {
        match joined {
            Ok(joined) => new = joined,
            Err(why) => {
                tracing::warn!(why, "settings can't be read; they stay as they were");
                return;
            }
        }
    }
    let restart_only = |d: &DaemonSettings| (d.listen, d.operators, d.threads);
    if restart_only(&new) != restart_only(daemon) || new.engines_file != daemon.engines_file {
        tracing::warn!("listen, operators, threads and engines of [router] change with a restart only");
    }
    if new.engines_file.is_some() {
        new.gateway.engines.clone_from(&daemon.gateway.engines);
    }
    match (member, &new.fleet) {
        (Some(member), Some(site)) => member.reload(Some(site)),
        (None, None) => {}
        _ => tracing::warn!("a section [fleet] is added or removed with a restart only"),
    }
    daemon.gateway = new.gateway;
    for (n, handle) in handles.iter().enumerate() {
        let mut site = daemon.gateway.clone();
        if daemon.threads > 1 {
            site.name = format!("{}-{n}", site.name);
        }
        handle.send(Command::Message(MachineId(0), Arc::new(Arc::new(site))));
    }
}
