//! Signals as flags that are looked at now and then.

use crate::Failure;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// SIGINT, SIGTERM, and one more if wanted.
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
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

    pub(crate) fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether a reload was asked for since the last call.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
