//! `standin`: one simulated engine on a loopback address.

use crate::signals::Signals;
use crate::{Failure, Outcome};
use clap::ValueEnum;
use slipreel_event_loop::{check_loopback, Clock, Command, EventLoop, MachineId};
use slipreel_test_servers::engine::{Engine, EngineSpec, Role};
use slipreel_test_servers::ledger::Ledger;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// The role of a simulated engine; `read` is prefill and `write` is decode.
#[derive(Clone, Copy, ValueEnum)]
enum RoleArg {
    Read,
    Write,
    Both,
}

#[derive(clap::Args)]
pub(crate) struct Args {
    /// Its role: prefill (read), decode (write) or both.
    #[arg(long, value_enum)]
    role: RoleArg,
    /// The address to listen on; a loopback address.
    #[arg(long)]
    listen: SocketAddr,
    /// Most requests that run at a time.
    #[arg(long)]
    slots: Option<usize>,
    /// Prompt tokens prefilled per second.
    #[arg(long)]
    read_per_s: Option<f64>,
    /// Shortest time between two tokens of an answer, milliseconds.
    #[arg(long)]
    step_ms: Option<f64>,
    /// Start warm instead of cold.
    #[arg(long)]
    warm: bool,
}

pub(crate) fn run(args: &Args) -> Outcome {
    check_loopback(args.listen).map_err(|e| Failure::Input(format!("--listen {e}")))?;
    let role = match args.role {
        RoleArg::Read => Role::Prefill,
        RoleArg::Write => Role::Decode,
        RoleArg::Both => Role::Mixed,
    };
    let mut spec = EngineSpec::new(&args.listen.to_string(), args.listen, role);
    spec.slots = args.slots.unwrap_or(spec.slots);
    spec.prefill_tokens_per_s = args.read_per_s.filter(|r| *r >= 1.0).unwrap_or(spec.prefill_tokens_per_s);
    let step = args.step_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    spec.step = step.unwrap_or(spec.step);
    let signals = Signals::watch()?;
    let clock = Clock::start();
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let new_engine = if args.warm { Engine::warm } else { Engine::new };
    let mut event_loop = EventLoop::new(clock).map_err(|e| Failure::Run(e.to_string()))?;
    let node = event_loop.add(new_engine(spec, Ledger::default(), clock.now(), unix_time));
    let addr = event_loop.listen(node, args.listen).map_err(|e| Failure::Run(e.to_string()))?;
    println!("standin ready on {addr}");
    let handle = event_loop.handle();
    let thread = std::thread::spawn(move || event_loop.run().map_err(|e| e.to_string()));
    while !signals.stop_requested() && !thread.is_finished() {
        std::thread::sleep(Duration::from_millis(50));
    }
    handle.send(Command::Stop(MachineId(0)));
    thread
        .join()
        .map_err(|_| Failure::Run("the engine's thread ended by a panic".into()))?
        .map_err(Failure::Run)
}
