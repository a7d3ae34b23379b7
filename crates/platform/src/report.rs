//! A load report in text: `inflight=7,queue=2,util=0.61`, with the fields that the settings name.

use slipreel::LoadReport;
use slipreel_profile::{Column, Profile};

/// Where the values of a report go, by name.
#[derive(Clone, Debug)]
pub(crate) struct Layout(Vec<(String, Column)>);

impl Layout {
    pub(crate) fn of(profile: &Profile) -> Self {
        Layout(profile.column_names.iter().cloned().zip(profile.columns.iter().copied()).collect())
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
mod tests {
    use super::*;

    fn layout() -> Layout {
        let columns =
            [("queue", Column::Queued), ("x0", Column::MemoryShare), ("x1", Column::WaitingThousands)];
        Layout(columns.map(|(n, c)| (n.to_owned(), c)).to_vec())
    }

    #[test]
    fn a_report_is_read_by_the_names_of_the_settings() {
        let read = layout().read("queue=2, x0=0.25,x1=1.5,shoe=44").unwrap();
        let expected = LoadReport {
            queued: Some(2.0),
            memory_share: Some(0.25),
            waiting_tokens: Some(1500.0),
            ..LoadReport::default()
        };
        assert_eq!(read, expected);
    }

    #[test]
    fn one_that_cant_be_read_is_none() {
        for text in ["", "queue", "queue=", "queue=NaN", "queue=-1", "queue=1,,x0=1", "\u{1}=2", "shoe=44"] {
            assert_eq!(layout().read(text), None, "{text:?}");
        }
    }
}
