//! Log events: what a router reports to operators. `Display` formats the log line.

use super::EngineId;
use std::fmt;
use std::time::Duration;

/// An event that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// An engine was ejected: it gets no requests for a while.
    EngineEjected {
        /// The engine.
        engine: EngineId,
        /// Time from now until it is tried again.
        duration: Duration,
        /// Why it was ejected.
        cause: EjectionCause,
    },
}

/// Why an engine was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// No connection to it could be established.
    ConnectFailed,
    /// It was ejected already and did not answer a probe.
    ProbeUnanswered,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EngineEjected { engine, duration, cause } => {
                write!(formatter, "engine {:x} ejected for {} ms: {cause}", engine.0, duration.as_millis())
            }
        }
    }
}

impl fmt::Display for EjectionCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            EjectionCause::ConnectFailed => "no connection",
            EjectionCause::ProbeUnanswered => "no answer to a probe",
        })
    }
}
