//! The queue of releases, step by step.

use slipreel::EngineId;
use slipreel_connections::{
    Release, ReleaseId, ReleaseQueue, ReleaseStep, ReleaseTiming, UnconfirmedAttempt,
};
use std::net::SocketAddr;
use std::time::Duration;

const HOLDER: EngineId = EngineId(4);
const OTHER: EngineId = EngineId(5);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const TIMING: ReleaseTiming = ReleaseTiming { retry: ms(100), repeat: ms(500), give_up: ms(60_000) };

fn queue() -> ReleaseQueue {
    ReleaseQueue::new(TIMING)
}

fn add(queue: &mut ReleaseQueue, name: &str) -> ReleaseId {
    queue.add(ms(0), HOLDER, SocketAddr::from(([127, 0, 0, 1], 1)), name.to_owned())
}

fn to_send(step: ReleaseStep) -> Option<Release> {
    match step {
        ReleaseStep::Send(release) => Some(release),
        ReleaseStep::Wait(_) | ReleaseStep::Over => None,
    }
}

#[test]
fn a_release_is_retried_until_it_is_acknowledged() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    for n in 0..500 {
        let now = ms(100 * n);
        assert!(to_send(queue.step(id, now)).is_some(), "at {now:?}");
        queue.record_sent(id, HOLDER, now);
        assert_eq!(queue.step(id, now + ms(1)), ReleaseStep::Wait(now + TIMING.retry));
    }
    queue.record_acknowledged(id, ms(50_001));
    assert_eq!(queue.step(id, ms(50_200)), ReleaseStep::Over);
    assert!(queue.is_empty());
}

#[test]
fn a_release_that_is_not_acknowledged_is_given_up() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    assert!(to_send(queue.step(id, TIMING.give_up - ms(1))).is_some());
    assert_eq!(queue.step(id, TIMING.give_up), ReleaseStep::Over);
    assert!(queue.is_empty());
}

#[test]
fn a_release_that_may_be_too_early_is_repeated_until_its_time_and_once_after() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    queue.repeat_until(id, ms(1_200), Vec::new());
    let mut sent = Vec::new();
    let mut now = ms(0);
    loop {
        match queue.step(id, now) {
            ReleaseStep::Send(_) => {
                queue.record_sent(id, HOLDER, now);
                sent.push(now);
                queue.record_acknowledged(id, now);
                // A second acknowledgement of the same exchange must not count for the repeat.
                queue.record_acknowledged(id, now);
            }
            ReleaseStep::Wait(at) => now = at,
            ReleaseStep::Over => break,
        }
    }
    assert_eq!(sent, [ms(0), ms(100), ms(600), ms(1_100), ms(1_600)]);
    assert!(queue.is_empty());
}

#[test]
fn a_release_past_its_time_for_repeats_is_still_repeated_once() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    queue.repeat_until(id, ms(0), Vec::new());
    queue.record_sent(id, HOLDER, ms(10));
    queue.record_acknowledged(id, ms(10));
    assert_eq!(queue.step(id, ms(10)), ReleaseStep::Wait(ms(110)));
    assert!(to_send(queue.step(id, ms(110))).is_some());
    queue.record_acknowledged(id, ms(111));
    assert!(queue.is_empty());
}

#[test]
fn repeats_stop_once_no_more_state_can_be_produced() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    let unconfirmed = UnconfirmedAttempt { engine: OTHER, ended: ms(0) };
    queue.repeat_until(id, ms(8_000), vec![unconfirmed]);
    queue.record_acknowledged(id, ms(1));
    let repeat = to_send(queue.step(id, ms(101))).expect("the repeat");
    assert_eq!((repeat.repeats, repeat.unconfirmed), (true, vec![unconfirmed]));
    queue.stop_repeating(id);
    queue.record_acknowledged(id, ms(102));
    assert!(queue.is_empty());
}

#[test]
fn the_oldest_waiting_or_stale_release_is_next() {
    let mut queue = queue();
    let (first, second) = (add(&mut queue, "a"), add(&mut queue, "b"));
    assert_eq!(queue.oldest_waiting(ms(0)), Some(first));
    assert_eq!(queue.oldest_waiting_for(HOLDER), Some(first));
    assert_eq!(queue.oldest_waiting_for(OTHER), None);
    queue.record_sent(first, HOLDER, ms(30));
    assert_eq!(queue.oldest_waiting(ms(29)), Some(second), "the first is in flight");
    assert_eq!(queue.oldest_waiting(ms(30)), Some(first), "the first is stale");
    assert_eq!(queue.oldest_waiting_for(HOLDER), Some(second));
    queue.repeat_until(first, ms(9_000), Vec::new());
    queue.record_acknowledged(first, ms(31));
    assert_eq!(queue.oldest_waiting(ms(90)), Some(second), "the first waits for its repeat");
    queue.record_acknowledged(second, ms(32));
    assert_eq!(queue.oldest_waiting(ms(90)), None);
}

#[test]
fn engines_that_were_asked_are_recorded_until_they_are_cleared() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    queue.record_sent(id, HOLDER, ms(0));
    queue.record_sent(id, OTHER, ms(100));
    assert_eq!(queue.get(id).map(|r| r.asked.clone()), Some(vec![HOLDER, OTHER]));
    queue.clear_asked(id);
    assert_eq!(queue.get(id).map(|r| r.asked.len()), Some(0));
}

#[test]
fn a_withdrawn_release_is_over() {
    let mut queue = queue();
    let id = add(&mut queue, "a");
    assert_eq!(queue.withdraw(id), Some(HOLDER));
    assert_eq!(queue.withdraw(id), None);
    assert_eq!((queue.step(id, ms(0)), queue.oldest_waiting(ms(0))), (ReleaseStep::Over, None));
}

#[test]
fn few_connections_are_opened_for_many_releases() {
    let mut queue = queue();
    for n in 0..100 {
        add(&mut queue, &n.to_string());
    }
    let opened =
        |queue: &mut ReleaseQueue, at| (0..100).filter(|_| queue.may_open(HOLDER, ms(at), ms(200))).count();
    assert_eq!([0, 100, 199, 200, 350, 400].map(|at| opened(&mut queue, at)), [1, 0, 0, 1, 0, 1]);
    assert!(!queue.may_open(OTHER, ms(0), ms(200)), "that engine has nothing to release");
}

#[test]
fn a_full_queue_drops_the_oldest_release() {
    let mut queue = queue();
    let first = add(&mut queue, "first");
    for n in 0..20_000 {
        add(&mut queue, &n.to_string());
    }
    assert!(queue.len() < 20_000, "{}", queue.len());
    assert_eq!(queue.step(first, ms(0)), ReleaseStep::Over);
}
