use super::*;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nkk";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn transfer(state: u64) -> Transfer {
    Transfer { addr: SocketAddr::from(([127, 0, 0, 1], 9)), state }
}

fn connects(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Connect(..))).count()
}

#[test]
fn a_thousand_consecutive_fetches_use_one_connection() {
    let (mut fetches, mut out) = (Fetches::default(), Vec::new());
    for request in 0..1_000 {
        fetches.start(at(request), request, transfer(request), &mut out);
        fetches.connected(ConnId::opened(1), &mut out);
        assert_eq!(
            fetches.receive(at(request), ConnId::opened(1), ANSWER, &mut out),
            Some(Fetched::Done(request))
        );
    }
    assert_eq!(connects(&out), 1);
    assert!(
        fetches.expire(at(999) + IDLE_TIMEOUT, &mut out).is_empty()
            && fetches.connections.is_empty()
            && fetches.idle.is_empty()
    );
}

#[test]
fn a_fetch_on_a_stale_connection_is_sent_again_once() {
    let (mut fetches, mut out) = (Fetches::default(), Vec::new());
    fetches.start(at(0), 1, transfer(1), &mut out);
    fetches.connected(ConnId::opened(1), &mut out);
    fetches.receive(at(0), ConnId::opened(1), ANSWER, &mut out);
    fetches.start(at(1), 2, transfer(2), &mut out);
    assert_eq!(fetches.lost(ConnId::opened(1), &mut out), None);
    assert_eq!(connects(&out), 2);
    assert_eq!(
        fetches.lost(ConnId::opened(2), &mut out),
        Some(Fetched::Failed(2)),
        "the new connection failed too"
    );
}

#[test]
fn a_fetch_without_an_answer_times_out() {
    let (mut fetches, mut out) = (Fetches::default(), Vec::new());
    fetches.start(at(0), 7, transfer(1), &mut out);
    assert_eq!(fetches.next_timeout(), Some(FETCH_TIMEOUT));
    assert_eq!(fetches.expire(FETCH_TIMEOUT, &mut out), [7]);
    assert!(fetches.connections.is_empty());
}
