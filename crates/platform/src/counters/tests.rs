use super::*;

/// `slipreel losses` reads the keys of this line, also in logs of earlier versions.
#[test]
fn the_log_line_keeps_its_prefix_keys_and_order() {
    let counters = Counters {
        admitted: 1,
        completed: 2,
        rejected: 3,
        failed: 4,
        disconnected: 5,
        rejected_before_admission: 6,
        attempts: 7,
        probes: 8,
        releases: 9,
        malformed_responses: 10,
        engine_connections_opened: 11,
        load_reports: 12,
        malformed_load_reports: 13,
        rejected_without_attempt: 14,
        ended_without_event: 15,
        late_first_events: 16,
        broken_streams: 17,
        wasted_attempts: 18,
        cross_zone_attempts: 19,
        prefilled_tokens: 20,
        cached_tokens: 21,
        transferred_tokens: 22,
    };
    let line = "Tally { taken: 1, served: 2, refused: 3, failed: 4, left: 5, turned: 6, attempts: 7, \
                probes: 8, releases: 9, spoilt: 10, opened: 11, reports: 12, odd_reports: 13, \
                refused_early: 14, fruitless: 15, late: 16, broken: 17, wasted: 18, crossed: 19, \
                read_tokens: 20, kept_tokens: 21, moved_tokens: 22 }";
    assert_eq!(counters.to_string(), line);
}
