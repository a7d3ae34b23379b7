use super::*;

#[test]
fn samples_are_in_the_order_of_their_labels_and_histograms_whole() {
    let metrics = Metrics::default();
    for name in ["d", "b", "a", "c"] {
        metrics.admitted(name);
        metrics.added.get_or_create(&class(name)).observe(0.5);
    }
    let text = metrics.write(&Snapshot::default());
    let lines = |part: &str| text.lines().filter(|l| l.contains(part)).map(str::to_owned).collect::<Vec<_>>();
    let asked = lines("class_asked_total");
    assert!(asked.is_sorted() && asked.len() == 4, "{asked:?}");
    let added = lines("slipreel_added_seconds_");
    let of = |l: &String| l.split("class=\"").nth(1).and_then(|rest| rest.chars().next());
    assert!(added.iter().map(of).is_sorted(), "{added:?}");
    assert!(
        added[0].starts_with("slipreel_added_seconds_sum") && added[2].contains("le=\"0.00001\""),
        "{added:?}"
    );
    assert!(text.ends_with("# EOF\n"));
}
