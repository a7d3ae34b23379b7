use super::*;
use crate::policy_state::PolicyState;
use crate::voter_identity::VoterIdentity;

#[test]
fn appended_file_and_compacted_file_hold_the_same_state() {
    let configuration = Configuration {
        number: 3,
        voters: vec![VoterIdentity { name: "a".into(), disk: 9 }],
        initial_state: PolicyState::founded("one", "a", 5),
    };
    let mut storage = VoterStorage::default();
    let mut file = storage.compacted_file(9, Some(&configuration));
    let ballot = Ballot::with(3, 2, 0, 1);
    let decide = |id: &str| Entry::Decide(id.into(), crate::policy_state::Decision::InForce);
    storage.set_promise(ballot).expect("in memory");
    storage.append_entries(vec![decide("x"), decide("y")]).expect("in memory");
    let unwritten = storage.take_unwritten().expect("writes were recorded");
    assert!(unwritten.must_sync);
    file.extend(unwritten.bytes);
    storage.append_on_prefix(1, vec![decide("z")]).expect("in memory");
    file.extend(storage.take_unwritten().expect("writes were recorded").bytes);
    storage.set_decided_idx(1).expect("in memory");
    let unwritten = storage.take_unwritten().expect("writes were recorded");
    assert!(!unwritten.must_sync, "the number of decided entries can be learnt again");
    file.extend(unwritten.bytes);
    let appended = read(&file).expect("an undamaged file");
    let compacted = read(&storage.compacted_file(9, Some(&configuration))).expect("an undamaged file");
    assert_eq!(appended.disk, Some(9));
    assert_eq!(appended.configuration, compacted.configuration);
    let StoredConfiguration { configuration: read_configuration, persisted } =
        appended.configuration.expect("a configuration");
    assert_eq!((read_configuration, persisted.entries.len(), persisted.decided), (configuration, 2, 1));
    assert_eq!(persisted.entries[1], decide("z"));
    assert_eq!(storage.decided_from(0), [decide("x")]);
    assert!(storage.has_undecided());
}

/// Files of a voter as the build before issue 50 wrote them: one with appended writes, and one with the same
/// state compacted. They must not be regenerated.
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
    let rejection = crate::policy_state::Rejection {
        router: "router-c".into(),
        reason: "line 3: expected a time".into(),
    };
    crate::policy_state::Decision::Dropped(vec![rejection])
}

/// The configuration of the fixture: three voters, and a state with two epochs, a dropped change and a
/// pending one.
fn stored_configuration() -> Configuration {
    let voter = |name: &str, disk| VoterIdentity { name: name.into(), disk };
    let mut initial_state = PolicyState::founded("first policy", "router-a", 1_763_000_000);
    let second =
        crate::policy_state::Proposal { base_epoch: 1, restores_epoch: None, ..stored_proposal("second") };
    initial_state.apply(&Entry::Propose(second));
    initial_state.apply(&Entry::Decide("second".into(), crate::policy_state::Decision::InForce));
    initial_state.apply(&Entry::Propose(stored_proposal("dropped")));
    initial_state.apply(&Entry::Decide("dropped".into(), stored_rejection()));
    initial_state.apply(&Entry::Propose(stored_proposal("pending")));
    let voters = vec![voter("router-a", 11), voter("router-b", 300), voter("router-c", u64::MAX)];
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

/// A file to which the fixture's writes were appended, and the storage after them.
fn appended_file() -> (Vec<u8>, VoterStorage) {
    let mut storage = VoterStorage::default();
    let mut file = storage.compacted_file(300, Some(&stored_configuration()));
    storage.set_promise(Ballot::with(7, 5, 1, 2)).expect("in memory");
    storage.set_accepted_round(Ballot::with(7, 4, 0, 3)).expect("in memory");
    storage.append_entries(stored_entries()).expect("in memory");
    file.extend(storage.take_unwritten().expect("writes were recorded").bytes);
    storage.append_on_prefix(3, stored_entries()[3..].to_vec()).expect("in memory");
    storage.set_decided_idx(3).expect("in memory");
    file.extend(storage.take_unwritten().expect("writes were recorded").bytes);
    (file, storage)
}

#[test]
fn files_of_an_earlier_build_are_read_to_the_same_state() {
    for (name, file) in [("appended", APPENDED_FILE), ("compacted", COMPACTED_FILE)] {
        let stored = read(file).expect("a valid file");
        assert_eq!((stored.disk, stored.valid_len), (Some(300), file.len()), "{name}");
        let StoredConfiguration { configuration, persisted } = stored.configuration.expect("a configuration");
        assert_eq!(configuration, stored_configuration(), "{name}");
        assert_eq!(persisted.promise, Some(Ballot::with(7, 5, 1, 2)), "{name}");
        assert_eq!(persisted.accepted, Some(Ballot::with(7, 4, 0, 3)), "{name}");
        assert_eq!((persisted.entries, persisted.decided), (stored_entries(), 3), "{name}");
    }
}

#[test]
fn files_are_written_as_an_earlier_build_wrote_them() {
    let (file, storage) = appended_file();
    assert_eq!(file, APPENDED_FILE);
    assert_eq!(storage.compacted_file(300, Some(&stored_configuration())), COMPACTED_FILE);
}
