//! Parses load reports: text such as `inflight=7,queue=2,util=0.61` with the fields that the settings name.

use slipreel::LoadReport;
use slipreel_platform_settings::{Column, Profile};

/// A field of load reports.
#[derive(Clone, Debug)]
struct ReportField {
    name: String,
    column: Column,
}

/// The fields of load reports and the meaning of each.
#[derive(Clone, Debug)]
pub(crate) struct ReportLayout {
    fields: Vec<ReportField>,
}

impl ReportLayout {
    /// The layout that the settings define.
    pub(crate) fn of(profile: &Profile) -> Self {
        let columns = profile.column_names.iter().zip(&profile.columns);
        let fields = columns.map(|(name, &column)| ReportField { name: name.clone(), column }).collect();
        ReportLayout { fields }
    }

    /// Parses a report. `None` if it is malformed (a name without a value, or a value that is not a number of
    /// 0 or more) or holds no known field. Fields that the settings do not name are skipped.
    pub(crate) fn parse(&self, text: &str) -> Option<LoadReport> {
        let mut report = LoadReport::default();
        for field in text.trim().split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let value: f64 = value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)?;
            let Some(field) = self.fields.iter().find(|field| field.name == name) else { continue };
            match field.column {
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

    /// Whether the settings name no fields, so that engines report nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }
}

#[cfg(test)]
mod tests;
