use super::*;
use crate::wire::Trial;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn lease_holder() -> LeaseHolder {
    LeaseHolder::new(Box::new(|text: &str| match text {
        "bad" => Err(InvalidPolicy::new("line 1: bad")),
        text => Ok(Arc::new(text.to_owned()) as CompiledPolicy),
    }))
}

fn tried(id: &str, rejection: Option<&str>) -> TriedChange {
    TriedChange { id: id.into(), rejection: rejection.map(str::to_owned) }
}

fn grant(nonce: u64, epoch: u64, text: &str, lease_ms: u32) -> Grant {
    let text_of = Some(text.to_owned());
    Grant { nonce, epoch, digest: digest(text), lease_ms, text: text_of, ..Grant::default() }
}

fn trial(id: &str, text: &str) -> Trial {
    Trial { id: id.into(), text: Some(text.into()), waits_for: Vec::new() }
}

#[test]
fn a_lease_counts_from_the_question_and_not_from_the_answer() {
    let mut h = lease_holder();
    let ask = h.next_request(MS(1_000));
    h.apply_grant(MS(1_900), grant(ask.nonce, 1, "one", 3_000));
    assert_eq!((h.epoch(), h.until()), (1, MS(4_000)));
    h.apply_grant(MS(1_900), grant(99, 1, "one", 3_000));
    assert_eq!(h.until(), MS(4_000), "an answer to no question");
}

#[test]
fn a_trial_ends_the_long_lease_and_earlier_answers_count_no_more() {
    let mut h = lease_holder();
    let first = h.next_request(MS(0));
    h.apply_grant(MS(1), grant(first.nonce, 1, "one", 3_000));
    let before = h.next_request(MS(100));
    let told = Grant { trial: Some(trial("x", "two")), lease_ms: 0, ..grant(0, 1, "one", 0) };
    assert!(h.apply_grant(MS(110), told.clone()).request_due);
    let short = h.next_request(MS(111));
    assert!(short.short_leases_since == short.nonce && short.tried == Some(tried("x", None)));
    assert_eq!(h.until(), MS(111) + timing::SHORT_LEASE);
    h.apply_grant(MS(112), Grant { trial: told.trial.clone(), ..grant(before.nonce, 1, "one", 3_000) });
    assert_eq!(h.until(), MS(111) + timing::SHORT_LEASE, "granted before the trial");
    let next = h.next_request(MS(131));
    h.apply_grant(MS(132), Grant { trial: told.trial.clone(), ..grant(next.nonce, 1, "one", 80) });
    assert_eq!(h.until(), MS(211));
    let came = h.apply_grant(MS(140), Grant { text: None, ..grant(next.nonce, 2, "two", 3_000) });
    assert!(came.epoch_changed && h.epoch() == 2 && h.until() == MS(3_131));
    h.apply_grant(MS(150), grant(next.nonce, 1, "one", 3_000));
    assert_eq!(h.epoch(), 2, "no way back");
}

#[test]
fn a_policy_that_cant_be_taken_is_said_and_the_long_lease_stays() {
    let mut h = lease_holder();
    let first = h.next_request(MS(0));
    h.apply_grant(MS(1), grant(first.nonce, 1, "one", 3_000));
    let bad = Grant { trial: Some(trial("x", "bad")), ..grant(0, 1, "one", 0) };
    h.apply_grant(MS(10), bad);
    let ask = h.next_request(MS(11));
    assert_eq!((ask.tried, ask.short_leases_since), (Some(tried("x", Some("line 1: bad"))), 0));
    assert_eq!(h.until(), MS(3_000));
    let came = h.apply_grant(MS(20), Grant { text: Some("bad".into()), ..grant(ask.nonce, 2, "bad", 3_000) });
    assert!(
        !came.epoch_changed && h.policy_error().is_some() && h.until() == Duration::ZERO,
        "it can't act by it"
    );
}

#[test]
fn one_that_gives_up_holds_nothing_whatever_is_still_on_its_way() {
    let mut h = lease_holder();
    let first = h.next_request(MS(0));
    h.apply_grant(MS(1), grant(first.nonce, 1, "one", 3_000));
    let late = h.next_request(MS(500));
    assert!(h.release().released && h.until() == Duration::ZERO);
    h.apply_grant(MS(501), grant(late.nonce, 1, "one", 3_000));
    assert_eq!(h.until(), Duration::ZERO);
}

#[test]
fn one_that_lacks_the_policy_asks_for_it_and_holds_nothing() {
    let mut h = lease_holder();
    let first = h.next_request(MS(0));
    let came = h.apply_grant(MS(1), Grant { text: None, ..grant(first.nonce, 3, "three", 3_000) });
    assert!(came.request_due && h.epoch() == 0 && h.until() == Duration::ZERO);
}
