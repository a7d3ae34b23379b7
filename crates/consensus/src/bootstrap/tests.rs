use super::*;

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), disk: 5, incarnation: 1 }
}

#[test]
fn first_founder_starts_the_fleet_with_the_most_common_policy_once_all_have_announced() {
    let founders = ["a", "b", "c"].map(str::to_owned);
    let mut bootstrap = Bootstrap::new(&founders);
    let ms = Duration::from_millis;
    bootstrap.record_announcement(ms(0), &peer("b"), "two".into());
    assert!(
        bootstrap.first_configuration(ms(1), &peer("a"), "one", 0).is_none(),
        "c has not announced itself"
    );
    bootstrap.record_announcement(ms(1), &peer("x"), "two".into());
    bootstrap.record_announcement(ms(1), &peer("c"), "two".into());
    let configuration =
        bootstrap.first_configuration(ms(2), &peer("a"), "one", 0).expect("all have announced");
    assert_eq!(
        (
            configuration.initial_state.text.as_str(),
            configuration.initial_state.epoch,
            configuration.voters.len()
        ),
        ("two", 1, 3)
    );
    assert!(bootstrap.first_configuration(ms(2), &peer("b"), "one", 0).is_none(), "a is the first founder");
    assert!(
        bootstrap.first_configuration(ms(900), &peer("a"), "one", 0).is_none(),
        "the announcements have expired"
    );
    bootstrap.record_announcement(ms(1_000), &peer("b"), "two".into());
    bootstrap.record_announcement(ms(1_000), &peer("c"), "three".into());
    let configuration =
        bootstrap.first_configuration(ms(1_001), &peer("a"), "one", 0).expect("all have announced");
    assert_eq!(configuration.initial_state.text, "one", "in a tie, the policy of the first founder");
}
