use super::*;

#[test]
fn encoded_state_is_decoded_and_truncated_or_other_file_is_rejected() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let state =
        SavedState { incarnation: 7, router_count: 3, contacts: vec![Contact { name: "a".into(), address }] };
    let text = state.encode();
    assert_eq!(SavedState::decode(&text), Ok(state));
    for cut in 0..text.len() {
        assert!(SavedState::decode(&text[..cut]).is_err(), "cut at {cut}");
    }
    let newer = text.replace("fleet 1", "fleet 2");
    assert_eq!(SavedState::decode(&newer), Err(SavedStateError::Version("slipreel fleet 2".into())));
    let body = "incarnation x\n";
    let invalid = format!("{HEAD}\nchecksum {:016x}\n{body}", xxh3_64(body.as_bytes()));
    assert_eq!(SavedState::decode(&invalid), Err(SavedStateError::Line(3, "incarnation x".into())));
}

#[test]
fn errors_keep_the_texts_that_operators_read() {
    let texts = [
        (SavedStateError::Version("x".into()), "\"x\": expected \"slipreel fleet 1\""),
        (SavedStateError::Checksum, "the checksum does not fit: cut short or changed"),
        (SavedStateError::Line(3, "x".into()), "line 3: \"x\": expected a key and its value"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}
