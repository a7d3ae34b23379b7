use super::*;
use crate::watch::{WatchError, WatchTimeout};

fn trace() -> String {
    "runs once, 12924 ms left: read 833 ms ago Read, write 7 ms ago Reset".to_owned()
}

#[test]
fn lines_on_request_ends_begin_with_the_words_that_losses_reads() {
    let expected = |word: &str| format!("{word}: {}", trace());
    assert_eq!(LogEvent::RequestRejected { trace: trace() }.to_string(), expected("refused"));
    assert_eq!(LogEvent::RequestFailed { trace: trace() }.to_string(), expected("failed"));
    assert_eq!(LogEvent::StreamBroke { trace: trace() }.to_string(), expected("broke off"));
}

#[test]
fn lines_on_engines_keep_the_texts_of_the_operators_page() {
    let malformed =
        LogEvent::MalformedResponse { engine: "s-2ad7eaa2".to_owned(), error: ResponseError::NotAResponse };
    assert_eq!(malformed.to_string(), "engine s-2ad7eaa2: no answer");
    let unknown = LogEvent::UnknownEngineKind { engine: "s-1".to_owned(), kind: "mixes".to_owned() };
    assert_eq!(unknown.to_string(), "engine s-1: type \"mixes\" is none of the settings; passed over");
    assert_eq!(
        LogEvent::PrefilledAnswerToDecode.to_string(),
        "an answer 202 to a write ends its connection: it may have run"
    );
    let never_ran = LogEvent::NeverRan {
        client_id: "9b1f".to_owned(),
        attempt: 1,
        proof: NeverRan::NotConnected,
        time_in_state: Duration::from_micros(2_041),
        trace: trace(),
    };
    let expected =
        format!("never ran: 9b1f attempt 1: its connection never stood, 2041 us in this state; {}", trace());
    assert_eq!(never_ran.to_string(), expected);
}

#[test]
fn lines_on_the_watch_keep_the_texts_of_the_operators_page() {
    let failures = [
        (WatchFailure::TimedOut(WatchTimeout::Silent), "nothing was heard of it for too long"),
        (WatchFailure::TimedOut(WatchTimeout::NotConnected), "no connection in time"),
        (WatchFailure::Unusable(WatchError::Ended), "the watch has ended"),
        (WatchFailure::Closed, "it was closed"),
        (WatchFailure::ConnectionLost, "its connection broke"),
        (WatchFailure::NoDescriptor, "no descriptor is left"),
    ];
    for (failure, text) in failures {
        let expected = format!("the watch of the list ends: {text}");
        assert_eq!(LogEvent::WatchFailed(failure).to_string(), expected);
    }
}

#[test]
fn lines_on_the_configuration_and_of_the_decision_module_keep_their_texts() {
    let reloaded = LogEvent::ConfigReloaded { discovery: SocketAddr::from(([127, 0, 0, 9], 8500)) };
    let expected = "the configuration was read again; discovery is at 127.0.0.9:8500";
    assert_eq!(reloaded.to_string(), expected);
    let ejected = slipreel::LogEvent::EngineEjected {
        engine: slipreel::EngineId(0xf75e_e90a_1a01_58d6),
        duration: std::time::Duration::from_millis(1135),
        cause: slipreel::EjectionCause::ConnectFailed,
    };
    let line = "engine f75ee90a1a0158d6 ejected for 1135 ms: no connection";
    assert_eq!(LogEvent::Decision(ejected).to_string(), line);
}

#[test]
fn the_status_line_keeps_the_text_of_the_operators_page() {
    let status = Status {
        held: HeldState {
            client_connections: 31,
            engine_connections: 56,
            requests: 27,
            timers: 90,
            releases: 2,
            buffered_bytes: 52_000,
        },
        busy_engine_connections: 27,
        engines: 17,
        decision_module: StateSizes { requests: 27, timers: 5, engines: 17 },
        counters: Counters { admitted: 9, ..Counters::default() },
        longest_held_state: Duration::from_millis(130),
        suppressed_release_lines: 4,
    };
    let expected = "clients 31, requests 27, connections to engines 56 (27 busy), engines 17, timers 90, \
                    releases 2, module keeps (27, 5, 17); Tally { taken: 9, served: 0,";
    let text = LogEvent::Status(Box::new(status)).to_string();
    assert_eq!(text.get(..expected.len()), Some(expected));
    assert!(text.contains("; buffered bytes 52000; "), "{text}");
    assert!(text.ends_with("; longest held state 130 ms, release lines suppressed 4"), "{text}");
}

#[test]
fn the_line_on_the_memory_limit_names_what_is_held_and_the_limit() {
    let exceeded = LogEvent::MemoryLimitExceeded { held: 41_950_000, limit: 41_943_040 };
    let expected = "buffers over their limit: buffered_bytes=41950000 limit_bytes=41943040";
    assert_eq!(exceeded.to_string(), expected);
}

#[test]
fn lines_on_releases_name_request_engine_time_and_reason() {
    let (request_id, engine) = ("9b1f".to_owned(), "s-1".to_owned());
    let held = Duration::from_millis(400);
    let reason = ReleaseReason::DecodeUnanswered;
    let began =
        LogEvent::ReleaseBegan { request_id: request_id.clone(), engine: engine.clone(), held, reason };
    let expected = "release begins: request_id=9b1f engine=s-1 held_ms=400 reason=decode_unanswered";
    assert_eq!(began.to_string(), expected);
    let sent = LogEvent::ReleaseSent { request_id: request_id.clone(), engine: engine.clone() };
    assert_eq!(sent.to_string(), "release sent: request_id=9b1f engine=s-1");
    let acknowledged = LogEvent::ReleaseAcknowledged { request_id, engine };
    assert_eq!(acknowledged.to_string(), "release acknowledged: request_id=9b1f engine=s-1");
}
