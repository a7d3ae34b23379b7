//! `serve`: the daemon. One thread a gateway, each a router of its own on the same port; this thread watches signals
//! and the list of engines and passes on what changed.

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

/// How often signals and the file of engines are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// The list of engines in a file, read again when it changes.
struct Watched {
    file: PathBuf,
    last: String,
}

impl Watched {
    /// The engines, if the file has changed and can be read.
    fn look(&mut self) -> Option<Vec<EngineSettings>> {
        let text = std::fs::read_to_string(&self.file).ok().filter(|t| *t != self.last)?;
        self.last = text;
        match engines_from_slices(&self.last) {
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

/// Ends the process as a kill would when whoever started it is there no more: its end of the pipe closes with it.
fn end_with_input() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
        std::process::exit(1);
    });
}

pub(crate) fn run(config: &Path, until_input_ends: bool) -> Outcome {
    if until_input_ends {
        end_with_input();
    }
    let mut daemon = read_settings(config)?;
    logs::start(daemon.log_format, &daemon.log_level);
    let signals = Signals::watch()?;
    let mut watched = daemon.engines_file.clone().map(|file| Watched { file, last: String::new() });
    if let Some(watched) = &mut watched {
        let text = std::fs::read_to_string(&watched.file);
        let text = text.map_err(|e| Failure::Input(format!("{}: {e}", watched.file.display())))?;
        let engines = engines_from_slices(&text);
        daemon.gateway.engines =
            engines.map_err(|e| Failure::Input(format!("{}: {e}", watched.file.display())))?;
        watched.last = text;
    }
    let clock = Clock::start();
    let mut member = Member::start(&daemon, config, clock)?;
    let (handles, threads) = start(&daemon, clock)?;
    if let Some(member) = &member {
        member.share_with(&handles);
    }
    tracing::info!(listen = %daemon.listen, threads = daemon.threads, engines = daemon.gateway.engines.len(), "serving");
    while !signals.stopped() && threads.iter().any(|t| !t.is_finished()) {
        std::thread::sleep(LOOK);
        if let Some(list) = watched.as_mut().and_then(Watched::look) {
            tracing::info!(engines = list.len(), "the list of engines has changed");
            daemon.gateway.engines.clone_from(&list);
            let list = Arc::new(list);
            handles.iter().for_each(|h| {
                h.send(Command::Message(MachineId(0), list.clone()));
            });
        }
        if let Some(member) = &mut member {
            member.poll_changes(&handles);
        }
        if signals.take_reload() {
            reload(config, &mut daemon, &handles, member.as_mut());
        }
    }
    // The others hear of it before this router takes no more.
    member.iter().for_each(Member::stop);
    tracing::info!("stopping: requests under way end first");
    handles.iter().for_each(|h| {
        h.send(Command::Stop(MachineId(0)));
    });
    for thread in threads {
        let tally = thread.join().map_err(|_| Failure::Run("a router's thread ended by a panic".into()))?;
        tracing::info!(
            taken = tally.admitted,
            served = tally.completed,
            refused = tally.rejected,
            failed = tally.failed,
            left = tally.disconnected,
            "stopped"
        );
    }
    if let Some(member) = member {
        member.join();
    }
    Ok(())
}

type Threads = (Vec<EventLoopHandle<Gateway>>, Vec<JoinHandle<slipreel_gateway::Counters>>);

fn start(daemon: &DaemonSettings, clock: Clock) -> Result<Threads, Failure> {
    let run = |e: std::io::Error| Failure::Run(e.to_string());
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let (mut handles, mut threads) = (Vec::new(), Vec::new());
    for n in 0..daemon.threads {
        let mut site = daemon.gateway.clone();
        if daemon.threads > 1 {
            site.name = format!("{}-{n}", site.name);
        }
        let mut looped = EventLoop::new(clock).map_err(run)?;
        looped.on_log(move |_, line| tracing::info!(router = n, "{line}"));
        let node = looped.add(Gateway::new(Arc::new(site), random_seed(), clock.now(), wall));
        looped.listen(node, daemon.listen).map_err(|e| Failure::Run(e.to_string()))?;
        if let Some(first) = daemon.operators {
            let own = std::net::SocketAddr::new(first.ip(), first.port() + n as u16);
            looped.listen(node, own).map_err(|e| Failure::Run(e.to_string()))?;
        }
        handles.push(looped.handle());
        let thread = std::thread::Builder::new().name(format!("router-{n}")).spawn(move || {
            if let Err(why) = looped.run() {
                tracing::error!(%why, "the event loop failed");
            }
            looped.machine(node).counters()
        });
        threads.push(thread.map_err(run)?);
    }
    Ok((handles, threads))
}

/// Reads the settings again. A bad file changes nothing; what needs a restart is named.
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
    // Where the fleet agrees on the policy, a file says what is the router's own, and the policy in force stays.
    if let Some(joined) = member.as_ref().and_then(|m| m.with_policy_in_force(config)) {
        match joined {
            Ok(joined) => new = joined,
            Err(why) => {
                tracing::warn!(why, "settings can't be read; they stay as they were");
                return;
            }
        }
    }
    let fixed = |d: &DaemonSettings| (d.listen, d.operators, d.threads);
    if fixed(&new) != fixed(daemon) || new.engines_file != daemon.engines_file {
        tracing::warn!("listen, operators, threads and engines of [router] change with a restart only");
    }
    if new.engines_file.is_some() {
        new.gateway.engines.clone_from(&daemon.gateway.engines);
    }
    match (member, &new.fleet) {
        (Some(member), Some(site)) => member.reload(Some(site)),
        (None, None) => {}
        _ => tracing::warn!("a section [fleet] comes and goes with a restart only"),
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
