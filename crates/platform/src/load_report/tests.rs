use super::*;

fn report_layout() -> ReportLayout {
    let columns = [("queue", Column::Queued), ("x0", Column::MemoryShare), ("x1", Column::WaitingThousands)];
    let fields = columns.map(|(name, column)| ReportField { name: name.to_owned(), column });
    ReportLayout { fields: fields.to_vec() }
}

#[test]
fn a_report_is_parsed_by_the_field_names_of_the_settings() {
    let report = report_layout().parse("queue=2, x0=0.25,x1=1.5,shoe=44").unwrap();
    let expected = LoadReport {
        queued: Some(2.0),
        memory_share: Some(0.25),
        waiting_tokens: Some(1500.0),
        ..LoadReport::default()
    };
    assert_eq!(report, expected);
}

#[test]
fn a_malformed_report_is_none() {
    for text in ["", "queue", "queue=", "queue=NaN", "queue=-1", "queue=1,,x0=1", "\u{1}=2", "shoe=44"] {
        assert_eq!(report_layout().parse(text), None, "{text:?}");
    }
}
