use super::*;

fn propose(id: &str, text: &str) -> Entry {
    Entry::Propose(Proposal {
        id: id.into(),
        text: text.into(),
        from: "a".into(),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    })
}

#[test]
fn second_change_is_dropped_while_one_is_pending_and_ended_change_is_not_reopened() {
    let mut policy_state = PolicyState::founded("one", "a", 7);
    assert_eq!((policy_state.epoch, policy_state.digest), (1, digest("one")));
    policy_state.apply(&propose("x", "two"));
    policy_state.apply(&propose("y", "three"));
    assert_eq!(
        policy_state.outcome("y").map(|outcome| (outcome.epoch, outcome.rejections.len())),
        Some((None, 1)),
        "only one change may be pending"
    );
    policy_state.apply(&Entry::Decide("z".into(), Decision::InForce));
    assert_eq!(policy_state.epoch, 1, "the decision is on a change that is not pending");
    policy_state.apply(&Entry::Decide("x".into(), Decision::InForce));
    assert_eq!(
        (policy_state.epoch, policy_state.text.as_str(), policy_state.text_of(1)),
        (2, "two", Some("one"))
    );
    let before = policy_state.clone();
    policy_state.apply(&propose("x", "four"));
    policy_state.apply(&Entry::Decide("x".into(), Decision::Dropped(Vec::new())));
    assert_eq!(policy_state, before, "a change that has ended is not reopened");
    let late = Proposal { id: "l".into(), base_epoch: 1, ..proposal_template() };
    policy_state.apply(&Entry::Propose(late));
    assert!(
        policy_state.outcome("l").is_some_and(|outcome| outcome.epoch.is_none()),
        "based on an epoch that is not in force"
    );
}

fn proposal_template() -> Proposal {
    Proposal {
        id: String::new(),
        text: "t".into(),
        from: "a".into(),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    }
}

#[test]
fn outcomes_and_earlier_policies_are_bounded_and_dropped_outcomes_are_counted() {
    let mut policy_state = PolicyState::founded("0", "a", 0);
    for n in 0..timing::MAX_OUTCOMES + 10 {
        policy_state.apply(&propose(&n.to_string(), &n.to_string()));
        policy_state.apply(&Entry::Decide(n.to_string(), Decision::InForce));
    }
    assert_eq!((policy_state.outcomes.len(), policy_state.forgotten), (timing::MAX_OUTCOMES, 11));
    assert_eq!(policy_state.earlier_policies.len(), timing::MAX_KEPT_POLICIES);
    assert_eq!(
        policy_state.text_of(policy_state.epoch - timing::MAX_KEPT_POLICIES as u64),
        Some(&*(timing::MAX_OUTCOMES + 9 - timing::MAX_KEPT_POLICIES).to_string())
    );
    assert!(policy_state.outcome("3").is_none() && policy_state.text_of(2).is_none());
}

#[test]
fn conflicting_proposal_is_dropped_with_a_reason() {
    let mut state = PolicyState::founded("one", "a", 0);
    let late = Proposal { id: "late".into(), base_epoch: 7, ..proposal_template() };
    state.apply(&Entry::Propose(late));
    state.apply(&propose("x", "two"));
    state.apply(&propose("y", "three"));
    let reason = |id: &str| state.outcome(id).map(|outcome| outcome.rejections[0].reason.clone());
    assert_eq!(reason("late").as_deref(), Some("made for epoch 7: expected 1, which is in force"));
    assert_eq!(reason("y").as_deref(), Some("change x is under way: expected one at a time"));
}
