use super::*;

#[test]
fn incomplete_last_frame_is_dropped_and_damaged_frame_before_others_is_rejected() {
    let mut file = FILE_HEADER.to_vec();
    let ends: Vec<usize> = [&b"one"[..], b"two two", b"three"]
        .iter()
        .map(|content| {
            file.extend(encode_frame(content));
            file.len()
        })
        .collect();
    for cut in 0..=file.len() {
        let read = read_frames(&file[..cut]).expect("only the last frame is incomplete");
        let complete = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(read.frames.len(), complete, "cut at {cut}");
        assert!(read.valid_len <= cut);
    }
    let second_frame = FILE_HEADER.len() + FRAME_HEADER_LEN + 3;
    for at in second_frame..second_frame + FRAME_HEADER_LEN + 7 {
        let mut damaged = file.clone();
        damaged[at] ^= 0x20;
        assert_eq!(read_frames(&damaged), Err(LogError::DamagedFrame(second_frame)), "byte {at}");
    }
    let mut last = file.clone();
    *last.last_mut().expect("bytes") ^= 1;
    assert_eq!(
        read_frames(&last).map(|read| read.frames.len()),
        Ok(2),
        "an incomplete last frame is discarded"
    );
    let newer = [&b"slipreel accord 2\n"[..], &file[FILE_HEADER.len()..]].concat();
    assert_eq!(read_frames(&newer), Err(LogError::Version("slipreel accord 2".into())));
}

#[test]
fn errors_keep_the_texts_that_operators_see() {
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
