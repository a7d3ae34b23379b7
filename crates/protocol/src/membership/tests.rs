use super::*;
use proptest::prelude::*;

fn member_record() -> impl Strategy<Value = MemberRecord> {
    let address = prop_oneof![
        (any::<[u8; 4]>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::from((ip, port))),
        (any::<[u8; 16]>(), any::<u16>()).prop_map(|(ip, port)| SocketAddr::from((ip, port))),
    ];
    ("[a-z0-9._-]{1,64}", any::<u64>(), any::<u64>(), address, any::<u32>(), any::<bool>()).prop_map(
        |(name, incarnation, nonce, address, routers, has_left)| MemberRecord {
            name,
            incarnation,
            nonce,
            address,
            routers,
            has_left,
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let heartbeat = any::<(u64, u32, u32)>().prop_map(|(record_id, round, age_ms)| Heartbeat {
        record_id,
        round,
        age_ms,
    });
    let flags =
        any::<(bool, bool, bool)>().prop_map(|(wants_full_state, exceeds_datagram, is_full_state)| Flags {
            wants_full_state,
            exceeds_datagram,
            is_full_state,
        });
    let lists = (
        proptest::collection::vec(member_record(), 0..20),
        proptest::collection::vec(heartbeat, 0..40),
        proptest::collection::vec(any::<u64>(), 0..10),
    );
    ("[a-z]{1,64}", member_record(), any::<u32>(), any::<u64>(), flags, lists).prop_map(
        |(fleet, sender, round, digest, flags, (records, heartbeats, requested_ids))| Message {
            fleet,
            sender,
            round,
            digest,
            flags,
            records,
            heartbeats,
            requested_ids,
        },
    )
}

proptest! {
    #[test]
    fn messages_round_trip(message in message()) {
        let bytes = message.encode();
        prop_assert_eq!(Message::decode(&bytes), Ok(message.clone()));
        prop_assert_eq!(unframe(&frame(&message)), Ok(Some(message)));
    }

    #[test]
    fn noise_truncation_and_bit_flips_are_rejected(
        message in message(), noise in proptest::collection::vec(any::<u8>(), 0..200), at in any::<prop::sample::Index>(),
        bit in 0..8u8,
    ) {
        prop_assert!(Message::decode(&noise).is_err());
        let bytes = message.encode();
        prop_assert!(Message::decode(&bytes[..at.index(bytes.len())]).is_err());
        let mut flipped = bytes.clone();
        flipped[at.index(bytes.len())] ^= 1 << bit;
        prop_assert!(Message::decode(&flipped).is_err());
    }

    /// Noise with a valid checksum reaches the decoder of the content. It must not panic, and what it accepts
    /// must round-trip.
    #[test]
    fn noise_with_a_valid_checksum_does_not_panic(noise in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend((xxh3_64(&noise) as u32).to_be_bytes());
        bytes.extend(&noise);
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
        }
    }
}

#[test]
fn decode_errors_state_the_cause() {
    let sender = MemberRecord {
        name: "a".into(),
        incarnation: 1,
        nonce: 2,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        routers: 1,
        has_left: false,
    };
    let message = Message {
        fleet: "f".into(),
        sender,
        round: 1,
        digest: 2,
        flags: Flags::default(),
        records: Vec::new(),
        heartbeats: Vec::new(),
        requested_ids: Vec::new(),
    };
    let bytes = message.encode();
    let mut newer = bytes.clone();
    newer[4] = 2;
    assert_eq!(Message::decode(&newer), Err(DecodeError::Version(2)));
    assert_eq!(Message::decode(&vec![b'x'; 64 << 10]), Err(DecodeError::NotAMessage));
    assert_eq!(Message::decode(&bytes[..bytes.len() - 1]), Err(DecodeError::Checksum));
    assert_eq!(unframe(&[0xff; 8]), Err(DecodeError::TooLong(u32::MAX as usize)));
    assert_eq!(unframe(&frame(&message)[..20]), Ok(None));
}

/// A message that claims a long list and has a valid checksum is rejected before memory is allocated for the
/// list.
#[test]
fn a_claimed_length_allocates_nothing() {
    let mut content = Vec::new();
    put_text(&mut content, "f");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let record =
        MemberRecord { name: "a".into(), incarnation: 1, nonce: 1, address, routers: 1, has_left: false };
    put_record(&mut content, &record);
    put_number(&mut content, 1);
    content.extend([0; 9]);
    put_number(&mut content, u64::MAX);
    let mut bytes = MAGIC.to_vec();
    bytes.push(VERSION);
    bytes.extend((xxh3_64(&content) as u32).to_be_bytes());
    bytes.extend(content);
    assert_eq!(Message::decode(&bytes), Err(DecodeError::Content("more bytes")));
}

/// The expected bytes were written by the build before the types of this module were renamed.
#[test]
fn encoding_matches_earlier_builds() {
    const BYTES: &str = "736c465401856f204b066d616e696c6108726f757465722d61ac020000000000000007047f0000011f0a0400f0a2040123456789abcdef050108726f757465722d6202ffffffffffffffff0620010db80000000000000000000000031f0a010101000000000000000b05dc0b02000000000000000c000000000000000d";
    let record = |name: &str, incarnation, nonce, address: &str, routers, has_left| MemberRecord {
        name: name.into(),
        incarnation,
        nonce,
        address: address.parse().expect("a socket address"),
        routers,
        has_left,
    };
    let message = Message {
        fleet: "manila".into(),
        sender: record("router-a", 300, 7, "127.0.0.1:7946", 4, false),
        round: 70_000,
        digest: 0x0123_4567_89ab_cdef,
        flags: Flags { wants_full_state: true, exceeds_datagram: false, is_full_state: true },
        records: vec![record("router-b", 2, u64::MAX, "[2001:db8::3]:7946", 1, true)],
        heartbeats: vec![Heartbeat { record_id: 11, round: 5, age_ms: 1_500 }],
        requested_ids: vec![12, 13],
    };
    let byte_at = |at: usize| u8::from_str_radix(&BYTES[at..at + 2], 16).expect("two hexadecimal digits");
    let expected: Vec<u8> = (0..BYTES.len()).step_by(2).map(byte_at).collect();
    assert_eq!(message.encode(), expected);
}

#[test]
fn decode_errors_keep_the_texts_that_operators_read() {
    let texts = [
        (DecodeError::NotAMessage, "not a message of a fleet"),
        (DecodeError::Version(2), "version 2: expected 1"),
        (DecodeError::Checksum, "changed or cut short on the way"),
        (DecodeError::Content("more bytes"), "expected more bytes"),
        (DecodeError::TooLong(9), "9 bytes: expected 1048576 at most"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
