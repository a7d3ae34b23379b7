use super::*;

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), disk: 5, incarnation: 1 }
}

#[test]
fn the_first_founder_begins_when_all_are_there_with_what_most_start_with() {
    let founders = ["a", "b", "c"].map(str::to_owned);
    let mut founding = Bootstrap::new(&founders);
    let ms = Duration::from_millis;
    founding.record_announcement(ms(0), &peer("b"), "two".into());
    assert!(founding.first_configuration(ms(1), &peer("a"), "one", 0).is_none(), "c is missing");
    founding.record_announcement(ms(1), &peer("x"), "two".into());
    founding.record_announcement(ms(1), &peer("c"), "two".into());
    let configuration = founding.first_configuration(ms(2), &peer("a"), "one", 0).expect("all are there");
    assert_eq!(
        (
            configuration.initial_state.text.as_str(),
            configuration.initial_state.epoch,
            configuration.voters.len()
        ),
        ("two", 1, 3)
    );
    assert!(founding.first_configuration(ms(2), &peer("b"), "one", 0).is_none(), "a begins");
    assert!(
        founding.first_configuration(ms(900), &peer("a"), "one", 0).is_none(),
        "they were heard long ago"
    );
    founding.record_announcement(ms(1_000), &peer("b"), "two".into());
    founding.record_announcement(ms(1_000), &peer("c"), "three".into());
    let configuration = founding.first_configuration(ms(1_001), &peer("a"), "one", 0).expect("all are there");
    assert_eq!(configuration.initial_state.text, "one", "of equally many the first founder's");
}
