//! Lists are applied only when complete, and a failed watch is followed by the next in time.

use super::*;

const MAX_OBJECT_BYTES: usize = 4 << 20;

/// A router must know a change this long after discovery has it and is reachable. From the protocol.
const CHANGE_NOTIFICATION_DEADLINE: Duration = Duration::from_millis(6_000);

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn line(index: u64, is_complete: bool) -> String {
    format!("{{\"index\":{index},\"snapshot\":{is_complete},\"endpoints\":[]}}\n")
}

fn open_watch(index: u64) -> Watch {
    let mut watch = Watch::new(SocketAddr::from(([127, 0, 0, 1], 1)), MAX_OBJECT_BYTES, Duration::ZERO, 7);
    watch.resume_from(index);
    let request = watch.connected(ConnId::opened(1), Duration::ZERO);
    assert!(String::from_utf8_lossy(&request).contains(&format!("after={index} ")));
    watch.feed(Duration::ZERO, HEAD, &mut Vec::new()).unwrap();
    watch
}

#[test]
fn lists_in_pieces_of_any_size_and_empty_lines_are_parsed() {
    let text = format!("\n{}\n{}", line(42, true), line(43, false));
    let bytes: Vec<u8> = text.bytes().flat_map(|byte| http::chunk(&[byte])).collect();
    let (mut watch, mut out) = (open_watch(41), Vec::new());
    for byte in &bytes {
        watch.feed(Duration::from_secs(3), &[*byte], &mut out).unwrap();
    }
    assert_eq!(
        out.iter().map(|list| (list.index, list.is_complete)).collect::<Vec<_>>(),
        [(42, true), (43, false)]
    );
    assert_eq!(watch.due(), Duration::from_secs(3) + watch.silence_timeout);
    let shortest = SILENCE_TIMEOUT.mul_f64(1.0 - SILENCE_TIMEOUT_JITTER);
    assert!((shortest..=SILENCE_TIMEOUT).contains(&watch.silence_timeout), "{:?}", watch.silence_timeout);
}

#[test]
fn an_older_or_malformed_list_is_rejected_and_the_complete_list_requested() {
    for text in [line(40, true), "{\"index\"]".to_owned() + "\n", line(39, false)] {
        let (mut watch, mut out) = (open_watch(41), Vec::new());
        assert!(watch.feed(Duration::ZERO, &http::chunk(text.as_bytes()), &mut out).is_err());
        assert!(out.is_empty());
        watch.schedule_reopen(Duration::ZERO);
        let request = String::from_utf8(watch.connected(ConnId::opened(2), Duration::ZERO)).unwrap();
        assert!(request.contains("after=0 "), "{request}");
        watch.feed(Duration::ZERO, HEAD, &mut out).unwrap();
        let requested = http::chunk(line(7, true).as_bytes());
        let result = watch.feed(Duration::ZERO, &requested, &mut out);
        if text.starts_with("{\"index\"]") {
            // The previous watch sent no older list, so this instance of discovery may only lag behind, and
            // must not undo the current list. If the next watch sends an older list again, discovery has
            // restarted its versions.
            assert!(result.is_err() && out.is_empty(), "{text}");
            watch.failed(Duration::ZERO, false);
            watch.connected(ConnId::opened(3), Duration::ZERO);
            watch.feed(Duration::ZERO, HEAD, &mut out).unwrap();
            watch.feed(Duration::ZERO, &requested, &mut out).unwrap();
        } else {
            result.unwrap();
        }
        assert_eq!(out.len(), 1, "a complete list that was requested is accepted");
    }
}

#[test]
fn lists_may_span_lines_and_arrive_together() {
    let pretty = |index| {
        let value: serde_json::Value = serde_json::from_str(&line(index, false)).unwrap();
        serde_json::to_string_pretty(&value).unwrap()
    };
    let text = format!("{}\n\n{}{}\n\n", pretty(42), pretty(43), line(44, false));
    for size in [1, 7, 50, text.len()] {
        let (mut watch, mut out) = (open_watch(41), Vec::new());
        for piece in text.as_bytes().chunks(size) {
            watch.feed(Duration::ZERO, &http::chunk(piece), &mut out).unwrap();
        }
        assert_eq!(out.iter().map(|list| list.index).collect::<Vec<_>>(), [42, 43, 44], "pieces of {size}");
        assert!(watch.received.is_empty(), "no bytes of parsed lists are kept");
    }
}

#[test]
fn complete_lists_before_a_failure_count() {
    for end in ["0\r\n\r\n", "zz\r\n"] {
        let (mut watch, mut out) = (open_watch(41), Vec::new());
        let bytes = [http::chunk(line(42, false).as_bytes()), end.into()].concat();
        assert!(watch.feed(Duration::ZERO, &bytes, &mut out).is_err());
        assert_eq!(out.len(), 1, "{end:?}");
    }
}

#[test]
fn an_object_over_the_size_limit_fails_the_watch() {
    let (mut watch, mut out) = (open_watch(41), Vec::new());
    let endless = http::chunk(format!("[\"{}\",\n", "x".repeat(60_000)).as_bytes());
    let error = (0..200).map(|_| watch.feed(Duration::ZERO, &endless, &mut out)).find(Result::is_err);
    assert!(error.is_some() && out.is_empty() && watch.received.len() < 2 * MAX_OBJECT_BYTES);
}

#[test]
fn an_incomplete_line_is_dropped_with_its_connection() {
    let (mut watch, mut out) = (open_watch(41), Vec::new());
    watch.feed(Duration::ZERO, &http::chunk(b"{\"index\":42,"), &mut out).unwrap();
    watch.schedule_reopen(Duration::ZERO);
    let request = String::from_utf8(watch.connected(ConnId::opened(2), Duration::ZERO)).unwrap();
    assert!(request.contains("after=41 "));
    watch.feed(Duration::ZERO, HEAD, &mut out).unwrap();
    watch.feed(Duration::ZERO, &http::chunk(line(42, false).as_bytes()), &mut out).unwrap();
    assert_eq!(out.len(), 1);
}

/// Checks the timeouts against the protocol's 6 s: however a watch fails, its timeout, the longest backoff
/// with all its jitter, the slowest connection and the answer fit into that time.
#[test]
fn the_longest_gap_between_two_lists_stays_within_six_seconds() {
    let answer = Duration::from_millis(300);
    let next = CONNECT_TIMEOUT + answer;
    let longest = (1..40).map(max_backoff).max().unwrap();
    assert_eq!(longest, MIN_BACKOFF + MAX_BACKOFF_JITTER);
    for stage in [Duration::ZERO, CONNECT_TIMEOUT, PARTIAL_MESSAGE_TIMEOUT, FIRST_LIST_TIMEOUT] {
        assert!(stage + longest + next < CHANGE_NOTIFICATION_DEADLINE - Duration::from_secs(1), "{stage:?}");
    }
    // A silent watch is reopened at once. The limit holds even if the connection of the next one is never
    // established.
    assert!(SILENCE_TIMEOUT + next < CHANGE_NOTIFICATION_DEADLINE);
    assert!(SILENCE_TIMEOUT + CONNECT_TIMEOUT + max_backoff(1) + answer < CHANGE_NOTIFICATION_DEADLINE);
    // The shortest silence timeout allows for a keep-alive, due every 2 s, that is 0.9 s late.
    assert!(SILENCE_TIMEOUT.mul_f64(1.0 - SILENCE_TIMEOUT_JITTER) > Duration::from_millis(2_900));
}

#[test]
fn each_failure_doubles_the_max_backoff_to_its_bound_and_a_list_resets_it() {
    // The longest of many backoffs is close to the maximum, the shortest close to the minimum.
    let mut waits = [(Duration::MAX, Duration::ZERO); 5];
    for seed in 1..400 {
        let mut watch =
            Watch::new(SocketAddr::from(([127, 0, 0, 1], 1)), MAX_OBJECT_BYTES, Duration::ZERO, seed * 7_919);
        for (shortest, longest) in &mut waits {
            watch.failed(Duration::ZERO, false);
            (*shortest, *longest) = (watch.due().min(*shortest), watch.due().max(*longest));
            watch.connected(ConnId::opened(1), Duration::ZERO);
        }
    }
    for (n, (shortest, longest)) in waits.iter().enumerate() {
        let max = max_backoff(n as u32 + 1);
        assert!(*shortest >= MIN_BACKOFF && *shortest < MIN_BACKOFF + max / 10, "{waits:?}");
        assert!(*longest <= max && *longest > max.mul_f64(0.9), "{waits:?}");
    }
    assert_eq!(max_backoff(2) - MIN_BACKOFF, INITIAL_BACKOFF_JITTER * 2);
    let mut watch = open_watch(41);
    (0..4).for_each(|_| watch.failed(Duration::ZERO, false));
    watch.connected(ConnId::opened(1), Duration::ZERO);
    watch.feed(Duration::ZERO, HEAD, &mut Vec::new()).unwrap();
    watch.feed(Duration::ZERO, &http::chunk(line(50, true).as_bytes()), &mut Vec::new()).unwrap();
    watch.failed(Duration::ZERO, false);
    assert!(watch.due() <= max_backoff(1));
}

/// Guards against an answer that keeps its connection alive byte by byte: a head that arrived at one byte a
/// second never timed out.
#[test]
fn a_head_or_an_object_that_arrives_too_slowly_fails_the_watch() {
    let object = http::chunk(line(42, true).as_bytes());
    let response = [HEAD, &object].concat();
    for (from, what) in [(0, "head"), (HEAD.len(), "object"), (HEAD.len() + 1, "object that has begun")] {
        let mut watch =
            Watch::new(SocketAddr::from(([127, 0, 0, 1], 1)), MAX_OBJECT_BYTES, Duration::ZERO, 7);
        watch.connected(ConnId::opened(1), Duration::ZERO);
        watch.feed(Duration::ZERO, &response[..from], &mut Vec::new()).unwrap();
        let mut now = Duration::ZERO;
        for byte in &response[from..] {
            now += Duration::from_millis(400);
            if watch.due() <= now {
                break;
            }
            watch.feed(now, &[*byte], &mut Vec::new()).unwrap();
        }
        assert!(
            watch.due() <= now && now <= PARTIAL_MESSAGE_TIMEOUT + Duration::from_millis(800),
            "{what}: {now:?}"
        );
        assert!(!watch.timeout(now).reopens_at_once(), "{what}");
    }
}

#[test]
fn after_a_failure_the_complete_list_is_required_and_empty_lines_do_not_suffice() {
    let mut watch = open_watch(41);
    watch.failed(Duration::ZERO, false);
    let request = String::from_utf8(watch.connected(ConnId::opened(2), Duration::ZERO)).unwrap();
    assert!(
        request.contains("after=0 "),
        "the changes that the failed watch missed may not be sent again: {request}"
    );
    watch.feed(Duration::ZERO, HEAD, &mut Vec::new()).unwrap();
    let mut now = Duration::ZERO;
    while watch.due() > now {
        now += Duration::from_millis(100);
        watch.feed(now, &http::chunk(b"\n"), &mut Vec::new()).unwrap();
        assert!(now < Duration::from_secs(2));
    }
    assert_eq!(now, FIRST_LIST_TIMEOUT);
    // A watch that has sent its list may go on without changes for any time.
    watch.failed(now, false);
    watch.connected(ConnId::opened(3), now);
    watch.feed(now, HEAD, &mut Vec::new()).unwrap();
    watch.feed(now, &http::chunk(line(41, true).as_bytes()), &mut Vec::new()).unwrap();
    assert!(watch.due() > now + Duration::from_secs(3));
}
