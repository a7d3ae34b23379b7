use super::*;

fn voter(name: &str, disk: u64) -> VoterIdentity {
    VoterIdentity { name: name.into(), disk }
}

fn live(name: &str, disk: u64, held_s: u64) -> LiveRouter {
    LiveRouter { identity: voter(name, disk), held_for: Duration::from_secs(held_s) }
}

#[test]
fn routers_with_long_held_leases_join_one_at_a_time_up_to_nine_voters() {
    let voters = [voter("a", 1), voter("b", 2)];
    let all = [live("a", 1, 90), live("b", 2, 90), live("c", 3, 4), live("d", 4, 6), live("e", 0, 60)];
    let joined = next_voters(&voters, &all, None).expect("d has held leases for long enough");
    assert_eq!(
        joined,
        [voter("a", 1), voter("b", 2), voter("d", 4)],
        "c has held leases for too short a time, e has no disk"
    );
    assert_eq!(next_voters(&joined, &all, None), None);
    let nine: Vec<VoterIdentity> = (0..9).map(|n| voter(&n.to_string(), n + 1)).collect();
    let many: Vec<LiveRouter> = (0..12).map(|n| live(&n.to_string(), n + 1, 60)).collect();
    assert_eq!(next_voters(&nine, &many, None), None);
    assert_eq!(next_voters(&voters, &[live("c", 3, 60)], None), None, "no majority would be live");
}

#[test]
fn router_with_lost_disk_votes_under_a_new_identity_and_silent_voter_stays_until_replaced() {
    let voters = [voter("a", 1), voter("b", 2), voter("c", 3)];
    let lost_disk = [live("a", 1, 90), live("b", 2, 90), live("c", 7, 6)];
    assert_eq!(
        next_voters(&voters, &lost_disk, None),
        Some(vec![voter("a", 1), voter("b", 2), voter("c", 7)])
    );
    let silent = [live("a", 1, 90), live("b", 2, 90), live("x", 9, 1)];
    assert_eq!(next_voters(&voters, &silent, None), None);
    let request = |new: Option<&str>| VoterReplacement { old: "c".into(), new: new.map(str::to_owned) };
    let with_x = Some(vec![voter("a", 1), voter("b", 2), voter("x", 9)]);
    assert_eq!(next_voters(&voters, &silent, Some(&request(None))), with_x);
    assert_eq!(next_voters(&voters, &silent, Some(&request(Some("x")))), with_x);
    let without_c = Some(vec![voter("a", 1), voter("b", 2)]);
    assert_eq!(next_voters(&voters, &silent, Some(&request(Some("y")))), without_c, "y is not live");
    assert_eq!(
        next_voters(&voters, &[live("a", 1, 90)], Some(&request(None))),
        None,
        "no majority would be live"
    );
}
