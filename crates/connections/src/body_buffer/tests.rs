use super::*;

/// Bodies of `length` bytes in pieces of `piece` bytes.
fn received(length: usize, piece: usize) -> (BodyBuffer, Vec<u8>) {
    let body: Vec<u8> = (0..length).map(|n| (n % 251) as u8).collect();
    let mut buffer = BodyBuffer::default();
    body.chunks(piece).for_each(|piece| buffer.push(piece));
    (buffer, body)
}

#[test]
fn a_body_is_the_same_however_it_was_split() {
    for length in [0, 1, SEGMENT_SIZE - 1, SEGMENT_SIZE, SEGMENT_SIZE + 1, 5 * SEGMENT_SIZE + 7] {
        for piece in [1, 1_000, SEGMENT_SIZE - 1, SEGMENT_SIZE, SEGMENT_SIZE + 1, length + 1] {
            let (mut buffer, body) = received(length, piece);
            assert_eq!(buffer.take(), body, "{length} bytes in pieces of {piece}");
            assert_eq!(buffer.capacity(), 0);
        }
    }
}

/// Guards against bytes that trickle in and take many times their size, and against sizes that are not counted.
#[test]
fn the_capacity_exceeds_what_was_received_by_at_most_two_segments() {
    for piece in [1, 100, SEGMENT_SIZE - 1, SEGMENT_SIZE, 3 * SEGMENT_SIZE] {
        for length in [1, 1_000, SEGMENT_SIZE, 256 << 10] {
            let (buffer, _) = received(length, piece);
            let allocated: usize = buffer.segments.iter().map(Vec::capacity).sum();
            assert!(
                allocated <= length + 2 * SEGMENT_SIZE,
                "{length} bytes in pieces of {piece}: {allocated}"
            );
            assert!((allocated..=length + 2 * SEGMENT_SIZE).contains(&buffer.capacity()), "{length} {piece}");
        }
    }
}
