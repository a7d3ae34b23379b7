use super::*;

#[test]
fn a_file_comes_back_and_a_torn_or_foreign_one_is_named() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let kept =
        SavedState { incarnation: 7, router_count: 3, contacts: vec![Contact { name: "a".into(), address }] };
    let text = kept.encode();
    assert_eq!(SavedState::decode(&text), Ok(kept));
    for cut in 0..text.len() {
        assert!(SavedState::decode(&text[..cut]).is_err(), "cut at {cut}");
    }
    let newer = text.replace("fleet 1", "fleet 2");
    assert_eq!(SavedState::decode(&newer), Err(SavedStateError::Version("slipreel fleet 2".into())));
    let body = "incarnation x\n";
    let bad = format!("{HEAD}\nchecksum {:016x}\n{body}", xxh3_64(body.as_bytes()));
    assert_eq!(SavedState::decode(&bad), Err(SavedStateError::Line(3, "incarnation x".into())));
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
