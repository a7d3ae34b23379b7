use super::*;
use crate::Effect;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn asked(at: u64, request: u64) -> Record {
    let attempt = ClientAttempt { request, number: 0 };
    Record { at: ms(at), seen: Seen::Asked { attempt, effect: Effect::Safe, deadline: ms(at + 1_000) } }
}

fn stamp(at: u64, request: u64, router: &str, epoch: u64, on: StampedMessage) -> Record {
    let attempt = ClientAttempt { request, number: 0 };
    Record { at: ms(at), seen: Seen::Stamped { router: router.into(), attempt, epoch: Some(epoch), on } }
}

fn reported(at: u64, router: &str, status: ChangeStatus) -> Record {
    Record { at: ms(at), seen: Seen::ChangeReported { router: router.into(), id: "x".into(), status } }
}

fn violated(records: &[Record]) -> Vec<Promise> {
    judge(records, ms(100), true).broken.into_iter().map(|v| v.promise).collect()
}

#[test]
fn an_orderly_change_violates_nothing_and_its_overlap_is_measured() {
    let mut records = vec![
        asked(0, 1),
        stamp(1, 1, "a", 1, StampedMessage::Attempt),
        stamp(2, 1, "a", 1, StampedMessage::Answer(200)),
    ];
    records.extend([
        asked(10, 2),
        stamp(11, 2, "b", 2, StampedMessage::Attempt),
        asked(60, 3),
        stamp(61, 3, "a", 1, StampedMessage::Attempt),
    ]);
    let verdict = judge(&records, ms(100), true);
    assert_eq!((verdict.broken.len(), verdict.overlap), (0, ms(49)));
    assert_eq!(verdict.taken, BTreeMap::from([(1, 2), (2, 1)]));
    assert_eq!(judge(&records, ms(40), true).broken.len(), 1);
}

#[test]
fn each_violation_names_its_guarantee() {
    let first = [asked(0, 1), stamp(1, 1, "a", 2, StampedMessage::Attempt)];
    let with = |more: &[Record]| violated(&[&first[..], more].concat());
    assert_eq!(with(&[stamp(2, 1, "a", 3, StampedMessage::Answer(200))]), [Promise::OneEpochEach]);
    assert_eq!(
        with(&[asked(300, 2), stamp(301, 2, "b", 1, StampedMessage::Attempt)]),
        [Promise::NoTwoAtOnce]
    );
    assert_eq!(
        with(&[asked(5, 2), stamp(6, 2, "a", 1, StampedMessage::Attempt)]),
        [Promise::OneOrder],
        "the router returns to an earlier epoch"
    );
    let policy_reported = |at, digest: &str| Record {
        at: ms(at),
        seen: Seen::PolicyReported { router: "a".into(), epoch: 2, digest: digest.into() },
    };
    assert_eq!(with(&[policy_reported(5, "aa"), policy_reported(6, "bb")]), [Promise::OneOrder]);
    let contradictory =
        [reported(5, "a", ChangeStatus::InForce(2)), reported(6, "b", ChangeStatus::Dropped("no".into()))];
    assert_eq!(with(&contradictory), [Promise::EverywhereOrNowhere]);
    assert_eq!(
        with(&[reported(5, "a", ChangeStatus::InForce(2)), reported(6, "a", ChangeStatus::Pending)]),
        [Promise::EverywhereOrNowhere]
    );
    assert!(
        with(&[reported(5, "a", ChangeStatus::InForce(2)), reported(6, "b", ChangeStatus::Pending)])
            .is_empty(),
        "the router lags behind"
    );
    let unstamped = Record {
        at: ms(2),
        seen: Seen::Stamped {
            router: "a".into(),
            attempt: ClientAttempt { request: 1, number: 0 },
            epoch: None,
            on: StampedMessage::Answer(200),
        },
    };
    assert_eq!(with(&[unstamped]), [Promise::OneEpochEach]);
    let uncertain = stamp(400, 9, "b", 1, StampedMessage::Answer(503));
    assert!(with(&[asked(399, 9), uncertain]).is_empty(), "the request was not accepted");
}
