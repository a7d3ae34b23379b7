//! `node`: a router on the platform. One event loop in this thread; another waits for signals and tells the loop.
//!
//! Everything else that the program has (operators' port, metrics, other fronts) is off here.

use crate::{logs, Failure, Outcome};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_platform::{Config, PlatformRouter};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

/// The variable that names the configuration file.
const CONFIG: &str = "LB_CONFIG";

fn read(file: &Path) -> Result<Config, Failure> {
    let named = |why: &dyn std::fmt::Display| Failure::Input(format!("{}: {why}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|why| named(&why))?;
    Config::parse(&text).map_err(|why| named(&why))
}

pub(crate) fn run() -> Outcome {
    let started = Instant::now();
    let file = std::env::var_os(CONFIG).filter(|v| !v.is_empty());
    let file =
        file.ok_or_else(|| Failure::Input(format!("{CONFIG}: expected the path of the configuration file")))?;
    let file = PathBuf::from(file);
    let config = read(&file)?;
    let configured = started.elapsed();
    logs::start(slipreel_settings::LogFormat::Text, "info");
    let run = |why: &dyn std::fmt::Display| Failure::Run(why.to_string());
    // Before the loop takes anything: a signal that comes early must not end the process.
    let signals = Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(|why| run(&why))?;
    let clock = Clock::start();
    let mut looped = EventLoop::new(clock).map_err(|why| run(&why))?;
    looped.on_log(|_, line| tracing::info!("{line}"));
    // The platform gives every address; its network is the guard here.
    looped.allow_any_address();
    looped.bound_connections(config.resource_limits.driver_connections());
    let (listen, name, sockets) = (config.listen, config.name.clone(), config.resource_limits.descriptors);
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let node = looped.add(PlatformRouter::new(config, clock.now(), wall));
    looped.listen(node, listen).map_err(|why| run(&why))?;
    tell_signals(signals, file, looped.handle(), node).map_err(|why| run(&why))?;
    tracing::info!(%listen, name, sockets, ?configured, listening = ?started.elapsed(), "serving");
    looped.run().map_err(|why| run(&why))?;
    tracing::info!("stopped: {}", looped.machine(node).counters());
    Ok(())
}

/// Tells the loop of signals: SIGHUP reads the file again, and a bad one changes nothing; SIGTERM ends in order.
fn tell_signals(
    mut signals: Signals, file: PathBuf, handle: EventLoopHandle<PlatformRouter>, node: MachineId,
) -> std::io::Result<()> {
    let wait = move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                tracing::info!("stopping: requests under way end first");
                handle.send(Command::Stop(node));
                continue;
            }
            match read(&file) {
                Ok(config) => {
                    handle.send(Command::Message(node, Arc::new(config)));
                }
                Err(Failure::Code(_)) => {}
                Err(Failure::Input(why) | Failure::Run(why)) => {
                    tracing::warn!(why, "the configuration can't be read; it stays as it was");
                }
            }
        }
    };
    std::thread::Builder::new().name("signals".into()).stack_size(256 << 10).spawn(wait).map(|_| ())
}
