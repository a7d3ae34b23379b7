//! A load report in text: `inflight=7,queue=2,util=0.61`, with the fields that the settings name.

use slipreel::LoadReport;
use slipreel_platform_settings::{Column, Profile};

/// Where the values of a report go, by name.
#[derive(Clone, Debug)]
pub(crate) struct ReportLayout(Vec<(String, Column)>);

impl ReportLayout {
    pub(crate) fn of(profile: &Profile) -> Self {
        ReportLayout(profile.column_names.iter().cloned().zip(profile.columns.iter().copied()).collect())
    }

    /// Reads a report. `None` if it is none: a name without a value, or a value that is no number of 0 or more. Fields
    /// that the settings don't name are skipped.
    pub(crate) fn read(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for field in text.trim().split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let value: f64 = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
            let Some((_, column)) = self.0.iter().find(|(n, _)| n == name) else { continue };
            match column {
                Column::InFlight => report.in_flight = Some(value),
                Column::Queued => report.queued = Some(value),
                Column::SlotShare => report.slot_share = Some(value),
                Column::MemoryShare => report.memory_share = Some(value),
                Column::WaitingThousands => report.waiting_tokens = Some(value * 1e3),
                Column::Other => {}
            }
        }
        (report != LoadReport::default()).then_some(report)
    }

    /// Whether engines report anything.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests;
