//! Structured logs on standard error: text for people, or one JSON object a line.

use slipreel_settings::LogFormat;
use std::io::IsTerminal;
use tracing_subscriber::filter::LevelFilter;

/// Starts logging. Later calls have no effect.
pub(crate) fn start(format: LogFormat, level: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    let logs = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_max_level(level);
    let _ = match format {
        LogFormat::Text => logs.try_init(),
        LogFormat::Json => logs.json().flatten_event(true).try_init(),
    };
}
