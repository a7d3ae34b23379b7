//! Process signals, recorded in flags that the main thread polls.

use crate::Failure;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// SIGINT and SIGTERM request a stop, SIGHUP requests a reload.
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers handlers that set the flags.
    pub(crate) fn watch() -> Result<Signals, Failure> {
        let signals = Signals { stop: Arc::default(), reload: Arc::default() };
        let register = |signal, flag: &Arc<AtomicBool>| {
            signal_hook::flag::register(signal, flag.clone())
                .map_err(|e| Failure::Run(format!("signal {signal}: {e}")))
        };
        register(signal_hook::consts::SIGINT, &signals.stop)?;
        register(signal_hook::consts::SIGTERM, &signals.stop)?;
        register(signal_hook::consts::SIGHUP, &signals.reload)?;
        Ok(signals)
    }

    /// Whether SIGINT or SIGTERM has arrived.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether SIGHUP has arrived since the last call.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
