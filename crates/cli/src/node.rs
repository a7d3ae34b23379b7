//! `node`: a router on the platform. One event loop runs in this thread; another thread forwards signals to
//! it.
//!
//! The operators' port, the metrics and the gateway of `serve` are not part of this command.

use crate::{logs, Failure, Outcome};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_platform::{Config, PlatformRouter};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

/// The environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// The stack of the thread that waits for signals, in bytes: enough to parse a configuration.
const SIGNAL_THREAD_STACK: usize = 256 << 10;

/// The path of the configuration file, from the environment.
fn config_path() -> Result<PathBuf, Failure> {
    let path = std::env::var_os(CONFIG_VARIABLE).filter(|value| !value.is_empty());
    let missing =
        || Failure::Input(format!("{CONFIG_VARIABLE}: expected the path of the configuration file"));
    path.map(PathBuf::from).ok_or_else(missing)
}

/// Reads and parses the configuration file.
fn read_config(path: &Path) -> Result<Config, Failure> {
    let input_failure = |error: &dyn Display| Failure::Input(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| input_failure(&error))?;
    Config::parse(&text).map_err(|error| input_failure(&error))
}

/// A failure after the configuration was read.
fn run_failure(error: impl Display) -> Failure {
    Failure::Run(error.to_string())
}

/// Runs a router until it is stopped by a signal and has shut down.
pub(crate) fn run() -> Outcome {
    let started = Instant::now();
    let path = config_path()?;
    let config = read_config(&path)?;
    let configured = started.elapsed();
    logs::start(slipreel_settings::LogFormat::Text, "info");
    // Registered before the event loop runs: an early signal must not end the process.
    let signals = Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(run_failure)?;
    let clock = Clock::start();
    let mut event_loop = EventLoop::new(clock).map_err(run_failure)?;
    event_loop.on_log(|_, line| tracing::info!("{line}"));
    // The platform assigns all addresses, and its network restricts who can connect.
    event_loop.allow_any_address();
    event_loop.bound_connections(config.resource_limits.driver_connections());
    event_loop.bound_closing_bytes(config.resource_limits.closing_bytes());
    let listen = config.listen;
    let name = config.name.clone();
    let sockets = config.resource_limits.descriptors;
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let node = event_loop.add(PlatformRouter::new(config, clock.now(), unix_time));
    event_loop.listen(node, listen).map_err(run_failure)?;
    forward_signals(signals, path, event_loop.handle(), node).map_err(run_failure)?;
    tracing::info!(%listen, name, sockets, ?configured, listening = ?started.elapsed(), "serving");
    event_loop.run().map_err(run_failure)?;
    tracing::info!("stopped: {}", event_loop.machine(node).counters());
    Ok(())
}

/// Starts the thread that forwards signals to the loop: SIGHUP reloads the configuration, every other one
/// starts the graceful shutdown.
fn forward_signals(
    mut signals: Signals, path: PathBuf, handle: EventLoopHandle<PlatformRouter>, node: MachineId,
) -> std::io::Result<()> {
    let forward = move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload(&path, &handle, node);
            } else {
                tracing::info!("stopping: requests under way end first");
                handle.send(Command::Stop(node));
            }
        }
    };
    let thread = std::thread::Builder::new().name("signals".into()).stack_size(SIGNAL_THREAD_STACK);
    thread.spawn(forward).map(|_| ())
}

/// Reads the configuration again and sends it to the router. A configuration that can't be read changes
/// nothing.
fn reload(path: &Path, handle: &EventLoopHandle<PlatformRouter>, node: MachineId) {
    match read_config(path) {
        Ok(config) => {
            handle.send(Command::Message(node, Arc::new(config)));
        }
        Err(Failure::Code(_)) => {}
        Err(Failure::Input(why) | Failure::Run(why)) => {
            tracing::warn!(why, "the configuration can't be read; it stays as it was");
        }
    }
}
