use super::*;
use crate::policy_state::PolicyState;
use crate::voter_identity::VoterIdentity;

#[test]
fn a_file_says_what_was_noted_whether_in_pieces_or_whole() {
    let configuration = Configuration {
        number: 3,
        voters: vec![VoterIdentity { name: "a".into(), disk: 9 }],
        initial_state: PolicyState::founded("one", "a", 5),
    };
    let mut storage = VoterStorage::default();
    let mut file = storage.file(9, Some(&configuration));
    let ballot = Ballot::with(3, 2, 0, 1);
    let settle = |id: &str| Entry::Decide(id.into(), crate::policy_state::Decision::InForce);
    storage.set_promise(ballot).expect("in memory");
    storage.append_entries(vec![settle("x"), settle("y")]).expect("in memory");
    let (bytes, sync) = storage.drain().expect("something was noted");
    assert!(sync);
    file.extend(bytes);
    storage.append_on_prefix(1, vec![settle("z")]).expect("in memory");
    file.extend(storage.drain().expect("something was noted").0);
    storage.set_decided_idx(1).expect("in memory");
    let (bytes, sync) = storage.drain().expect("something was noted");
    assert!(!sync, "what is decided can be learnt again");
    file.extend(bytes);
    let (pieces, whole) =
        (read(&file).expect("whole"), read(&storage.file(9, Some(&configuration))).expect("whole"));
    assert_eq!(pieces.disk, Some(9));
    assert_eq!(pieces.configuration, whole.configuration);
    let (read_configuration, noted) = pieces.configuration.expect("a configuration");
    assert_eq!((read_configuration, noted.entries.len(), noted.decided), (configuration, 2, 1));
    assert_eq!(noted.entries[1], settle("z"));
    assert_eq!(storage.decided_from(0), [settle("x")]);
    assert!(storage.has_undecided());
}

/// Files of a voter as the build before issue 50 wrote them: one appended to, and the same state written whole. Never generated again.
const APPENDED_FILE: &[u8] = include_bytes!("../../tests/data/voter-file-appended.bin");
const COMPACTED_FILE: &[u8] = include_bytes!("../../tests/data/voter-file-compacted.bin");

fn stored_proposal(id: &str) -> crate::policy_state::Proposal {
    crate::policy_state::Proposal {
        id: id.into(),
        text: format!("policy of {id}"),
        from: "router-b".into(),
        submitted_unix_s: 1_764_000_000,
        base_epoch: 2,
        restores_epoch: Some(1),
    }
}

fn stored_rejection() -> crate::policy_state::Decision {
    let no = crate::policy_state::Rejection {
        router: "router-c".into(),
        reason: "line 3: expected a time".into(),
    };
    crate::policy_state::Decision::Dropped(vec![no])
}

/// The configuration of the fixture: three voters, on a state with two epochs, a dropped change and one under way.
fn stored_configuration() -> Configuration {
    let member = |name: &str, disk| VoterIdentity { name: name.into(), disk };
    let mut initial_state = PolicyState::founded("first policy", "router-a", 1_763_000_000);
    let second =
        crate::policy_state::Proposal { base_epoch: 1, restores_epoch: None, ..stored_proposal("second") };
    initial_state.apply(&Entry::Propose(second));
    initial_state.apply(&Entry::Decide("second".into(), crate::policy_state::Decision::InForce));
    initial_state.apply(&Entry::Propose(stored_proposal("dropped")));
    initial_state.apply(&Entry::Decide("dropped".into(), stored_rejection()));
    initial_state.apply(&Entry::Propose(stored_proposal("pending")));
    let voters = vec![member("router-a", 11), member("router-b", 300), member("router-c", u64::MAX)];
    Configuration { number: 7, voters, initial_state }
}

fn stored_entries() -> Vec<Entry> {
    vec![
        Entry::Decide("pending".into(), crate::policy_state::Decision::InForce),
        Entry::Propose(stored_proposal("next")),
        Entry::Decide("next".into(), stored_rejection()),
        Entry::Reconfigure(stored_configuration().voters),
    ]
}

/// The file that the fixture's writes give, in pieces, and the store after them.
fn written_in_pieces() -> (Vec<u8>, VoterStorage) {
    let mut storage = VoterStorage::default();
    let mut file = storage.file(300, Some(&stored_configuration()));
    storage.set_promise(Ballot::with(7, 5, 1, 2)).expect("in memory");
    storage.set_accepted_round(Ballot::with(7, 4, 0, 3)).expect("in memory");
    storage.append_entries(stored_entries()).expect("in memory");
    file.extend(storage.drain().expect("something was noted").0);
    storage.append_on_prefix(3, stored_entries()[3..].to_vec()).expect("in memory");
    storage.set_decided_idx(3).expect("in memory");
    file.extend(storage.drain().expect("something was noted").0);
    (file, storage)
}

#[test]
fn a_file_of_the_build_before_is_read_to_the_same_state() {
    for (name, file) in [("appended", APPENDED_FILE), ("compacted", COMPACTED_FILE)] {
        let found = read(file).expect("a file of the build before");
        assert_eq!((found.disk, found.valid_len), (Some(300), file.len()), "{name}");
        let (configuration, noted) = found.configuration.expect("a configuration");
        assert_eq!(configuration, stored_configuration(), "{name}");
        assert_eq!(noted.promise, Some(Ballot::with(7, 5, 1, 2)), "{name}");
        assert_eq!(noted.accepted, Some(Ballot::with(7, 4, 0, 3)), "{name}");
        assert_eq!((noted.entries, noted.decided), (stored_entries(), 3), "{name}");
    }
}

#[test]
fn a_file_is_written_as_the_build_before_wrote_it() {
    let (file, storage) = written_in_pieces();
    assert_eq!(file, APPENDED_FILE);
    assert_eq!(storage.file(300, Some(&stored_configuration())), COMPACTED_FILE);
}
