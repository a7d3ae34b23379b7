use super::*;

/// The metrics of a router with `requests` requests, of which `prefilled` were prefilled and answered.
fn metrics(requests: u64, prefilled: u64) -> String {
    let line = |name: &str, value: u64| format!("slipreel_class_{name}_total{{class=\"chat\"}} {value}\n");
    [
        line("asked", requests),
        line("reads", prefilled),
        line("read_tokens", prefilled * 1000),
        line("answers", prefilled),
        line("answer_tokens", prefilled * 50),
    ]
    .concat()
}

const THROUGHPUT: EngineThroughput = EngineThroughput { prefill: 10_000.0, decode: 500.0 };

fn assert_near(load: Option<StageLoad>, prefill: f64, decode: f64) {
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(
        load.is_some_and(|load| near(load.prefill, prefill) && near(load.decode, decode)),
        "{load:?}: {prefill}, {decode}"
    );
}

#[test]
fn rejected_requests_count_and_restarted_counters_are_not_negative() {
    let s = Duration::from_secs;
    let mut demand = Demand::default();
    demand.add_metrics(0, &metrics(1000, 10));
    assert_eq!(demand.take_load(s(1), THROUGHPUT), None, "nothing to compare with");
    demand.add_metrics(0, &metrics(1040, 20));
    // 40 requests in 2 s with 1,000 prompt and 50 answer tokens each, although only ten were prefilled.
    assert_near(demand.take_load(s(3), THROUGHPUT), 2.0, 2.0);
    // The router has restarted.
    demand.add_metrics(0, &metrics(20, 5));
    assert_near(demand.take_load(s(5), THROUGHPUT), 1.0, 1.0);
    assert_eq!(demand.take_load(s(6), THROUGHPUT), None, "no router has answered");
    demand.add_metrics(
        0,
        "slipreel_class_asked_total{class=\"x\"} NaN\nslipreel_class_asked_total{class=\"\nbroken",
    );
    assert_eq!(demand.take_load(s(7), THROUGHPUT), Some(StageLoad::default()));
}

/// When the requests of a class become ten times as long, the mean follows within seconds, however many
/// shorter requests came before.
#[test]
fn mean_tokens_follow_recent_requests_within_seconds() {
    let s = Duration::from_secs;
    let mut demand = Demand::default();
    let metrics = |requests: u64, tokens: u64| {
        let line = |name: &str, n: u64| format!("slipreel_class_{name}_total{{class=\"chat\"}} {n}\n");
        [line("asked", requests), line("reads", requests), line("read_tokens", tokens)].concat()
    };
    let (mut requests, mut tokens, mut mean) = (0, 0, 0.0);
    for t in 0..4_000 {
        requests += 10;
        tokens += if t < 3_970 { 10 * 100 } else { 10 * 1_000 };
        demand.add_metrics(0, &metrics(requests, tokens));
        mean =
            demand.take_load(s(t), THROUGHPUT).map_or(0.0, |load| load.prefill * THROUGHPUT.prefill / 10.0);
    }
    assert!((800.0..1_000.0).contains(&mean), "{mean} after 30 s");
}
