//! The file in which a member saves its state is the same for builds before and after: one that an earlier build wrote
//! is read, and the same state is written as the same bytes.

use slipreel_membership::{Contact, SavedState};

/// Written by the build before the types of this crate were renamed.
const STORED: &str = include_str!("data/fleet");

fn state() -> SavedState {
    let contact = |name: &str, address: &str| Contact {
        name: name.to_owned(),
        address: address.parse().expect("a socket address"),
    };
    SavedState {
        incarnation: 42,
        router_count: 12,
        contacts: vec![
            contact("router-a", "127.0.0.1:7946"),
            contact("router-b", "10.0.0.2:7946"),
            contact("router-c", "[2001:db8::3]:7946"),
        ],
    }
}

#[test]
fn a_file_of_an_earlier_build_is_read_to_the_same_state() {
    assert_eq!(SavedState::decode(STORED), Ok(state()));
}

#[test]
fn the_same_state_is_written_as_the_same_bytes() {
    assert_eq!(state().encode(), STORED);
}
