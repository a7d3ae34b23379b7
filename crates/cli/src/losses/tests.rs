use super::*;

const LOG: &str = "\
0.021 INFO slipreel::node: serving listen=127.0.0.1:5000 name=\"n0\" sockets=1024
9.000 INFO slipreel::node: clients 2, requests 1; Tally { taken: 9, served: 7, late: 2 }
10.00 INFO slipreel::node: clients 2, requests 1; Tally { taken: 27, served: 17, late: 3, read_tokens: 900, kept_tokens: 300 }
11.00 INFO slipreel::node: refused: unsafe, 12556 ms left: 
11.50 INFO slipreel::node: failed: repeatable, 7 ms left: read 831 ms ago Read, write 251 ms ago out (and 3 lines before it)
12.00 INFO slipreel::node: failed: repeatable, 6 ms left: read 99 ms ago Read, write 1 ms ago out
14.97 INFO slipreel::node: serving listen=127.0.0.1:5000 name=\"n0\" sockets=1024
24.97 INFO slipreel::node: clients 1, requests 0; Tally { taken: 5, served: 5 }
";

#[test]
fn the_last_counters_of_each_run_are_added_up() {
    let mut summary = LogSummary::default();
    summary.read(LOG);
    summary.read(LOG);
    assert_eq!((summary.runs, &summary.taken_by_router[..]), (4, &[32, 32][..]));
    assert_eq!(
        ["taken", "served", "late", "kept_tokens", "none"].map(|n| summary.count(n)),
        [64, 44, 6, 600, 0]
    );
}

#[test]
fn equal_endings_are_counted_together() {
    let mut summary = LogSummary::default();
    summary.read(LOG);
    let endings: Vec<(&str, u64)> = summary.endings.iter().map(|(e, &n)| (e.as_str(), n)).collect();
    assert_eq!(endings, [("failed: repeatable, read Read, write out", 2), ("refused: unsafe,", 1)]);
}

#[test]
fn a_file_that_is_no_log_is_rejected_with_what_was_expected() {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let read = |path: &str| run(&Args { paths: vec![here.join(path)], most: 1 });
    assert!(matches!(read("Cargo.toml"), Err(Failure::Input(why)) if why.contains("expected")));
    assert!(matches!(read("none"), Err(Failure::Input(why)) if why.contains("none")));
    assert_eq!(parse_counters("Tally { taken: x }"), None);
    assert_eq!(parse_counters("Tally { taken: 1"), None);
}
