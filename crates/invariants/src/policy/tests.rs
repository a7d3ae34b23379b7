use super::*;
use crate::Effect;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn asked(at: u64, request: u64) -> Record {
    let what = ClientAttempt { request, number: 0 };
    Record { at: ms(at), seen: Seen::Asked { attempt: what, effect: Effect::Safe, deadline: ms(at + 1_000) } }
}

fn stamp(at: u64, request: u64, router: &str, epoch: u64, on: StampedMessage) -> Record {
    let what = ClientAttempt { request, number: 0 };
    Record {
        at: ms(at),
        seen: Seen::Stamped { router: router.into(), attempt: what, epoch: Some(epoch), on },
    }
}

fn heard(at: u64, router: &str, said: ChangeStatus) -> Record {
    Record { at: ms(at), seen: Seen::ChangeReported { router: router.into(), id: "x".into(), status: said } }
}

fn promises(records: &[Record]) -> Vec<Promise> {
    judge(records, ms(100), true).broken.into_iter().map(|b| b.promise).collect()
}

#[test]
fn a_change_in_order_breaks_nothing_and_its_overlap_is_measured() {
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
fn each_break_is_named() {
    let first = [asked(0, 1), stamp(1, 1, "a", 2, StampedMessage::Attempt)];
    let with = |more: &[Record]| promises(&[&first[..], more].concat());
    assert_eq!(with(&[stamp(2, 1, "a", 3, StampedMessage::Answer(200))]), [Promise::OneEpochEach]);
    assert_eq!(
        with(&[asked(300, 2), stamp(301, 2, "b", 1, StampedMessage::Attempt)]),
        [Promise::NoTwoAtOnce]
    );
    assert_eq!(
        with(&[asked(5, 2), stamp(6, 2, "a", 1, StampedMessage::Attempt)]),
        [Promise::OneOrder],
        "it goes back"
    );
    let acts = |at, digest: &str| Record {
        at: ms(at),
        seen: Seen::PolicyReported { router: "a".into(), epoch: 2, digest: digest.into() },
    };
    assert_eq!(with(&[acts(5, "aa"), acts(6, "bb")]), [Promise::OneOrder]);
    let both = [heard(5, "a", ChangeStatus::InForce(2)), heard(6, "b", ChangeStatus::Dropped("no".into()))];
    assert_eq!(with(&both), [Promise::EverywhereOrNowhere]);
    assert_eq!(
        with(&[heard(5, "a", ChangeStatus::InForce(2)), heard(6, "a", ChangeStatus::Pending)]),
        [Promise::EverywhereOrNowhere]
    );
    assert!(
        with(&[heard(5, "a", ChangeStatus::InForce(2)), heard(6, "b", ChangeStatus::Pending)]).is_empty(),
        "it lags"
    );
    let none = Record {
        at: ms(2),
        seen: Seen::Stamped {
            router: "a".into(),
            attempt: ClientAttempt { request: 1, number: 0 },
            epoch: None,
            on: StampedMessage::Answer(200),
        },
    };
    assert_eq!(with(&[none]), [Promise::OneEpochEach]);
    let uncertain = stamp(400, 9, "b", 1, StampedMessage::Answer(503));
    assert!(with(&[asked(399, 9), uncertain]).is_empty(), "it was not taken");
}
