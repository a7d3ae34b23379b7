use super::*;

#[test]
fn a_torn_end_is_dropped_wherever_it_is_torn_and_damage_before_others_is_refused() {
    let mut file = FILE_HEADER.to_vec();
    let starts: Vec<usize> = [&b"one"[..], b"two two", b"three"]
        .iter()
        .map(|content| {
            file.extend(frame(content));
            file.len()
        })
        .collect();
    for cut in 0..=file.len() {
        let (all, held) = frames(&file[..cut]).expect("only the end is missing");
        let whole = starts.iter().filter(|s| **s <= cut).count();
        assert_eq!(all.len(), whole, "cut at {cut}");
        assert!(held <= cut);
    }
    let begins = FILE_HEADER.len() + FRAME_HEADER_LEN + 3;
    for at in begins..begins + FRAME_HEADER_LEN + 7 {
        let mut bad = file.clone();
        bad[at] ^= 0x20;
        assert_eq!(frames(&bad), Err(LogError::DamagedFrame(begins)), "byte {at}");
    }
    let mut last = file.clone();
    *last.last_mut().expect("bytes") ^= 1;
    assert_eq!(frames(&last).map(|(all, _)| all.len()), Ok(2), "the last one was being written");
    let newer = [&b"slipreel accord 2\n"[..], &file[FILE_HEADER.len()..]].concat();
    assert_eq!(frames(&newer), Err(LogError::Version("slipreel accord 2".into())));
}

#[test]
fn errors_are_shown_to_operators_in_these_words() {
    let shown = [
        LogError::Version("slipreel accord 2".into()).to_string(),
        LogError::DamagedFrame(18).to_string(),
        LogError::NotARecord { offset: 18, source: postcard::Error::DeserializeUnexpectedEnd }.to_string(),
        LogError::WritesBeforeConfiguration { offset: 30 }.to_string(),
    ];
    let source = postcard::Error::DeserializeUnexpectedEnd;
    assert_eq!(
        shown,
        [
            "\"slipreel accord 2\": expected \"slipreel accord 1\"".to_owned(),
            "byte 18: a damaged frame with others behind it".to_owned(),
            format!("byte 18: a whole frame that is no record: {source}"),
            "byte 30: notes before a configuration: expected its terms first".to_owned(),
        ]
    );
}
