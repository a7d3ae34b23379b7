//! Compatibility of the saved-state file with earlier builds: a file from an earlier build decodes to the
//! same state, and that state is encoded as the same bytes.

use slipreel_membership::{Contact, SavedState};

/// A file that was written by a build from before the types of this crate were renamed.
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
fn file_of_an_earlier_build_is_decoded_to_the_same_state() {
    assert_eq!(SavedState::decode(STORED), Ok(state()));
}

#[test]
fn state_is_encoded_as_the_same_bytes_as_by_an_earlier_build() {
    assert_eq!(state().encode(), STORED);
}
