use super::*;

#[test]
fn samples_are_sorted_by_labels_and_histograms_stay_together() {
    let metrics = Metrics::default();
    for name in ["d", "b", "a", "c"] {
        metrics.request_admitted(name);
        metrics.router_latency.get_or_create(&class_label(name)).observe(0.5);
    }
    let text = metrics.write(&Snapshot::default());
    let lines =
        |part: &str| text.lines().filter(|line| line.contains(part)).map(str::to_owned).collect::<Vec<_>>();
    let admitted = lines("class_asked_total");
    assert!(admitted.is_sorted() && admitted.len() == 4, "{admitted:?}");
    let router_latency = lines("slipreel_added_seconds_");
    let class_of = |line: &String| line.split("class=\"").nth(1).and_then(|rest| rest.chars().next());
    assert!(router_latency.iter().map(class_of).is_sorted(), "{router_latency:?}");
    assert!(
        router_latency[0].starts_with("slipreel_added_seconds_sum")
            && router_latency[2].contains("le=\"0.00001\""),
        "{router_latency:?}"
    );
    assert!(text.ends_with("# EOF\n"));
}
