//! Tests that the sample settings are valid, and that all faults are reported together, each with its place
//! and what was expected.

use slipreel_settings::{engines_from_slices, parse, parse_roles};

const SAMPLE: &str = include_str!("../../../deploy/slipreel.ini");

fn faults(text: &str) -> Vec<String> {
    parse(text, "f.ini").expect_err("faults").iter().map(ToString::to_string).collect()
}

/// The faults of the sample with one text replaced.
fn faults_of_changed_sample(from: &str, to: &str) -> Vec<String> {
    assert!(SAMPLE.contains(from), "{from}");
    faults(&SAMPLE.replacen(from, to, 1))
}

/// The number of the first line of the sample that contains the text.
fn line_of(text: &str) -> usize {
    SAMPLE.lines().position(|l| l.contains(text)).expect("a line of the sample") + 1
}

#[test]
fn the_sample_is_valid() {
    let daemon = parse(SAMPLE, "f.ini").unwrap_or_else(|f| panic!("{f:?}"));
    assert_eq!((daemon.gateway.engines.len(), daemon.gateway.classes.len(), daemon.threads), (4, 2, 1));
    assert_eq!(daemon.gateway.tenants[0].keys, ["change-me-1", "change-me-2"]);
    assert_eq!(daemon.gateway.models[0].served_as, "caption-1-fp8");
}

#[test]
fn role_settings_are_read_with_the_others_and_checked() {
    let (_, roles) = parse_roles(SAMPLE, "f.ini").unwrap_or_else(|f| panic!("{f:?}"));
    assert_eq!(
        (roles.routers.len(), roles.limits.max_concurrent_changes, roles.limits.frozen),
        (1, 2, false)
    );
    assert_eq!((roles.costs.prefill_tokens_per_s, roles.full_load_requests.decode), (20_000.0, 64.0));
    let assert_one_fault = |from: &str, to: &str, part: &str| {
        assert!(SAMPLE.contains(from), "{from}");
        let found = parse_roles(&SAMPLE.replacen(from, to, 1), "f.ini").expect_err("faults");
        assert!(found.len() == 1 && found[0].to_string().contains(part), "{to}: {found:?}");
        // A router does not check the section of another command.
        assert!(to.contains("[router]") || parse(&SAMPLE.replacen(from, to, 1), "f.ini").is_ok(), "{to}");
    };
    assert_one_fault(
        "policy = greedy",
        "policy = magic",
        "[roles] policy: \"magic\": expected greedy, forecast or program",
    );
    assert_one_fault(
        "routers = 127.0.0.1:9180",
        "routers = 127.0.0.1:9180, 8.8.8.8:80",
        "expected loopback addresses with ports",
    );
    assert_one_fault(
        "write_per_s = 3000",
        "write_per_s = 0",
        "[roles] write_per_s: \"0\": expected a number over 0",
    );
    assert_one_fault("in_flight = 2", "inflight = 2", "[roles] inflight: no such key here");
    let without = SAMPLE.split("[roles]").next().expect("a sample");
    let found = parse_roles(without, "f.ini").expect_err("no section");
    assert!(found.iter().any(|f| f.to_string().contains("expected a section [roles]")), "{found:?}");
}

#[test]
fn each_fault_names_its_place_its_value_and_what_was_expected() {
    let at = line_of("aim = 1200ms");
    let expected = format!(
        "f.ini:{at}: [class caption] aim: \"fast\": expected a time such as 250ms, 2s, 1.5s, 10m or 1h"
    );
    assert_eq!(faults_of_changed_sample("aim = 1200ms", "aim = fast"), [expected]);
    let assert_one_fault = |from, to, part: &str| {
        let found = faults_of_changed_sample(from, to);
        assert!(found.len() == 1 && found[0].contains(part), "{to}: {found:?}");
    };
    assert_one_fault(
        "listen = 127.0.0.1:8080",
        "listen = 0.0.0.0:8080",
        "[router] listen: \"0.0.0.0:8080\": expected a loopback address",
    );
    assert_one_fault(
        "operators = 127.0.0.1:9180",
        "operators = 127.0.0.1:8080",
        "[router] operators: 127.0.0.1:8080: expected 1 free ports from here on",
    );
    assert_one_fault("address = 127.0.0.1:9001", "address = 10.0.0.1:9001", "expected a loopback address");
    assert_one_fault(
        "address = 127.0.0.1:9002",
        "address = 127.0.0.1:9001",
        "[engine reader-1] has this address already",
    );
    assert_one_fault("effect = keyed", "effect = maybe", "\"maybe\": expected safe, keyed or unsafe");
    assert_one_fault("class = order", "class = orders", "\"orders\": expected the name of a [class] section");
    assert_one_fault("role = read", "role = reader", "\"reader\": expected read, write or both");
    assert_one_fault("keys = change-me-3", "keys = change-me-1", "a key that [tenant sports] has too");
    assert_one_fault(
        "threads = 1",
        "threads = 3",
        "[router] routers: 1: expected at least as many as threads, 3",
    );
    assert_one_fault("cold_share = 0.3", "cold_share = 1.5", "expected a share from 0 to 1");
    assert_one_fault("attempts = 6", "atempts = 6", "[limits] atempts: no such key here");
    assert_one_fault("[limits]", "[limit]", "[limit] no such section, perhaps limits");
    assert_one_fault("patience = 6s", "patience = 1s", "expected more than the aim");
    assert_one_fault("level = info", "level = loud", "expected trace, debug, info, warn or error");
    assert_one_fault("body = 32MiB", "body = 32MB", "expected a size such as 512, 64KiB or 32MiB");
}

#[test]
fn all_faults_are_reported_together_in_line_order() {
    let text = SAMPLE
        .replace("aim = 2s", "aim = soon")
        .replace("role = write", "role = x")
        .replace("stop = 30s", "stop = -1s");
    let found = faults(&text);
    assert_eq!(found.len(), 5, "{found:?}");
    let lines: Vec<usize> =
        found.iter().map(|f| f.split(':').nth(1).and_then(|n| n.parse().ok()).expect("a line")).collect();
    assert!(lines.windows(2).all(|w| w[0] <= w[1]), "{lines:?}");
}

#[test]
fn faults_of_an_empty_file_name_the_missing_sections() {
    let found = faults("").join("\n");
    for part in ["[router]", "[engine NAME]", "[class NAME]", "[model NAME]"] {
        assert!(found.contains(part), "{found}");
    }
}

#[test]
fn an_engine_list_is_checked() {
    let slice = |address: &str, role: &str, conditions: &str| {
        format!(
            r#"{{"kind":"EndpointSlice","metadata":{{"labels":{{"slipreel.dev/role":"{role}"}}}},"ports":[{{"port":1}}],
            "endpoints":[{{"addresses":["{address}"],"zone":"z","conditions":{conditions}}}]}}"#
        )
    };
    let valid = engines_from_slices(&slice("127.0.0.1", "read", "{}")).expect("a list");
    assert_eq!((valid[0].zone.as_str(), valid[0].state), ("z", slipreel::EngineState::Ready));
    let draining = slice("127.0.0.1", "read", r#"{"ready":false,"serving":true,"terminating":true}"#);
    assert_eq!(engines_from_slices(&draining).expect("a list")[0].state, slipreel::EngineState::Draining);
    let gone = slice("127.0.0.1", "read", r#"{"ready":false,"serving":false}"#);
    assert_eq!(engines_from_slices(&gone).expect("a list"), []);
    assert!(engines_from_slices(&slice("10.0.0.1", "read", "{}")).expect_err("far").contains("loopback"));
    assert!(engines_from_slices(&slice("127.0.0.1", "reads", "{}"))
        .expect_err("role")
        .contains("read, write or both"));
}

#[test]
fn a_line_that_is_not_ini_is_shown() {
    assert_eq!(
        faults("[router]\nlisten = 127.0.0.1:1\n[bad"),
        ["f.ini:3: \"[bad\": expected [section], key = value, or a comment"]
    );
}
