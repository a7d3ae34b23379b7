use super::*;
use slipreel_protocol::http::{Decoder, Item, Limits, Side};

fn received(body: &[u8]) -> ReceivedRequest {
    let head = format!("POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut decoder = Decoder::new(Side::Server, Limits::default());
    decoder.feed(head.as_bytes());
    let Ok(Some(Item::Head(head))) = decoder.next_item() else { panic!("a head") };
    ReceivedRequest { head, body: body.to_vec(), arrived: Duration::ZERO }
}

fn request(body: &[u8]) -> ActiveRequest {
    let params = RequestParams {
        at_most_once: false,
        deadline: Duration::from_secs(5),
        first_event_due: Duration::from_secs(1),
        prompt_tokens: 8,
    };
    ActiveRequest::new("9b1f".to_owned(), ConnId(1), params, received(body))
}

/// Guards against bodies of requests that are over and that nothing counts: a client left, its attempt could
/// not be cancelled, and the body was kept until the attempt ended.
#[test]
fn a_request_that_is_over_keeps_no_memory_for_further_attempts() {
    let engine = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut over = request(&[b'x'; 1_000]);
    over.begin_attempt(Duration::ZERO, EngineId(1), true);
    assert!(over.held_bytes() >= 1_000 && over.message(Duration::ZERO, engine).is_some());
    over.close();
    assert!(!over.is_done(), "its attempt is still in flight");
    assert_eq!(over.held_bytes(), 0);
    assert_eq!(over.message(Duration::ZERO, engine), None);
    let mut streaming = request(&[b'x'; 1_000]);
    let attempt = streaming.begin_attempt(Duration::ZERO, EngineId(1), false);
    streaming.begin_stream(attempt);
    assert_eq!(streaming.held_bytes(), 0);
}
