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
fn a_thousand_fetches_in_turn_take_one_connection() {
    let (mut all, mut out) = (Fetches::default(), Vec::new());
    for job in 0..1_000 {
        all.start(at(job), job, transfer(job), &mut out);
        all.connected(ConnId::opened(1), &mut out);
        assert_eq!(all.data(at(job), ConnId::opened(1), ANSWER, &mut out), Some(Fetched::Whole(job)));
    }
    assert_eq!(connects(&out), 1);
    assert!(
        all.late(at(999) + IDLE_TIME, &mut out).is_empty() && all.wires.is_empty() && all.idle.is_empty()
    );
}

#[test]
fn one_that_the_other_side_closed_meanwhile_is_asked_for_anew_once() {
    let (mut all, mut out) = (Fetches::default(), Vec::new());
    all.start(at(0), 1, transfer(1), &mut out);
    all.connected(ConnId::opened(1), &mut out);
    all.data(at(0), ConnId::opened(1), ANSWER, &mut out);
    all.start(at(1), 2, transfer(2), &mut out);
    assert_eq!(all.lost(ConnId::opened(1), &mut out), None);
    assert_eq!(connects(&out), 2);
    assert_eq!(all.lost(ConnId::opened(2), &mut out), Some(Fetched::Failed(2)), "a new one failed too");
}

#[test]
fn a_fetch_without_an_end_fails_in_time() {
    let (mut all, mut out) = (Fetches::default(), Vec::new());
    all.start(at(0), 7, transfer(1), &mut out);
    assert_eq!(all.due(), Some(FETCH_TIME));
    assert_eq!(all.late(FETCH_TIME, &mut out), [7]);
    assert!(all.wires.is_empty());
}
