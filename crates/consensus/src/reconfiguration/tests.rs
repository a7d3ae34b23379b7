use super::*;

fn member(name: &str, disk: u64) -> VoterIdentity {
    VoterIdentity { name: name.into(), disk }
}

fn live(name: &str, disk: u64, s: u64) -> LiveRouter {
    LiveRouter { member: member(name, disk), held: Duration::from_secs(s) }
}

#[test]
fn one_joins_at_a_time_when_it_is_proven_and_nine_are_enough() {
    let members = [member("a", 1), member("b", 2)];
    let all = [live("a", 1, 90), live("b", 2, 90), live("c", 3, 4), live("d", 4, 6), live("e", 0, 60)];
    let joined = next(&members, &all, None).expect("d is proven");
    assert_eq!(joined, [member("a", 1), member("b", 2), member("d", 4)], "c is not, e has no disk");
    assert_eq!(next(&joined, &all, None), None);
    let nine: Vec<VoterIdentity> = (0..9).map(|n| member(&n.to_string(), n + 1)).collect();
    let many: Vec<LiveRouter> = (0..12).map(|n| live(&n.to_string(), n + 1, 60)).collect();
    assert_eq!(next(&nine, &many, None), None);
    assert_eq!(next(&members, &[live("c", 3, 60)], None), None, "no majority would be there");
}

#[test]
fn a_lost_disk_takes_its_seat_anew_and_a_silent_voter_keeps_it_until_it_is_replaced() {
    let members = [member("a", 1), member("b", 2), member("c", 3)];
    let there = [live("a", 1, 90), live("b", 2, 90), live("c", 7, 6)];
    assert_eq!(next(&members, &there, None), Some(vec![member("a", 1), member("b", 2), member("c", 7)]));
    let silent = [live("a", 1, 90), live("b", 2, 90), live("x", 9, 1)];
    assert_eq!(next(&members, &silent, None), None);
    let request = |new: Option<&str>| VoterReplacement { old: "c".into(), new: new.map(str::to_owned) };
    let with_x = Some(vec![member("a", 1), member("b", 2), member("x", 9)]);
    assert_eq!(next(&members, &silent, Some(&request(None))), with_x);
    assert_eq!(next(&members, &silent, Some(&request(Some("x")))), with_x);
    let alone = Some(vec![member("a", 1), member("b", 2)]);
    assert_eq!(next(&members, &silent, Some(&request(Some("y")))), alone, "y is not there");
    assert_eq!(next(&members, &[live("a", 1, 90)], Some(&request(None))), None, "no majority would be there");
}
