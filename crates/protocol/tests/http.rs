//! Decoding of HTTP/1.1 that is split anywhere, and rejection of invalid messages.

use proptest::prelude::*;
use slipreel_protocol::http::*;

type DecodeResult = Result<Vec<Item>, Malformed>;

/// Decodes all items of bytes that are split at these positions. Pieces of one body are joined.
fn decode(side: Side, bytes: &[u8], cuts: &[usize]) -> DecodeResult {
    let mut decoder = Decoder::new(side, Limits { head: 400, fields: 10, body: 1000 });
    let mut items: Vec<Item> = Vec::new();
    let mut from = 0;
    for to in cuts.iter().copied().chain([bytes.len()]) {
        decoder.feed(&bytes[from..to]);
        from = to;
        while let Some(item) = decoder.next_item()? {
            match (items.last_mut(), item) {
                (Some(Item::Body(whole)), Item::Body(piece)) => whole.extend_from_slice(&piece),
                (_, item) => items.push(item),
            }
        }
    }
    if let Some(item) = decoder.eof()? {
        items.push(item);
    }
    Ok(items)
}

const REQUESTS: &[u8] = b"POST /v1/messages?x=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nX: \t y \r\n\r\nhello\
GET / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n\
POST /c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n00a\r\n0123456789\r\n0\r\nx-t: 1\r\n\r\n\
POST /d HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

const RESPONSES: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nevent\r\n0\r\n\r\n\
HTTP/1.1 204 None\r\n\r\nHTTP/1.1 503\r\ncontent-length: 2\r\n\r\n{}HTTP/1.0 200 OK\r\n\r\nuntil the end";

#[test]
fn messages_do_not_depend_on_where_the_bytes_are_split() {
    for (side, bytes) in [(Side::Server, REQUESTS), (Side::Client, RESPONSES)] {
        let unsplit = decode(side, bytes, &[]).expect("valid messages");
        assert!(unsplit.iter().filter(|i| **i == Item::End).count() >= 4, "{unsplit:?}");
        for cut in 0..=bytes.len() {
            assert_eq!(decode(side, bytes, &[cut]).as_ref(), Ok(&unsplit), "cut at {cut}");
        }
        let every_byte: Vec<usize> = (0..bytes.len()).collect();
        assert_eq!(decode(side, bytes, &every_byte), Ok(unsplit));
    }
}

#[test]
fn request_smuggling_is_rejected() {
    let requests: &[(&str, u16)] = &[
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1, 1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: +1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n", 413),
        ("GET / HTTP/1.1\r\nhost: a\r\nx: 1\r\n  folded\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost : a\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\n: empty\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nx: a\nb: c\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nx: a\rb\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\n\r\n", 400),
        ("GET /a b HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("GET / HTTP/2.0\r\nhost: a\r\n\r\n", 505),
        ("GET  / HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("G(T / HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n", 501),
        ("GET / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n\r\n", 501),
        ("GET / HTTP/1.1\r\nhost: a\r\nexpect: else\r\n\r\n", 417),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3;e=\"a\rb\"\r\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3;e\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3;\r\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3 ;e=\"a\r\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3 \r\nabc\r\n", 400),
        ("GET http:///a HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("GET a/b HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n 3\r\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0x3\r\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\nabc\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n", 413),
        ("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n", 400),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n00000000000000000000000003\r\n",
            400,
        ),
    ];
    for (request, status) in requests {
        let found = decode(Side::Server, request.as_bytes(), &[]);
        assert_eq!(found.as_ref().map_err(|m| m.status), Err(*status), "{request:?}: {found:?}");
    }
}

#[test]
fn a_head_over_a_limit_is_rejected_before_it_ends() {
    let mut decoder = Decoder::new(Side::Server, Limits { head: 400, fields: 10, body: 10 });
    decoder.feed(b"GET / HTTP/1.1\r\n");
    decoder.feed(&[b'a'; 400]);
    assert_eq!(decoder.next_item().map_err(|m| m.status), Err(431));
    let many = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "a: b\r\n".repeat(10));
    assert_eq!(decode(Side::Server, many.as_bytes(), &[]).map_err(|m| m.status), Err(431));
}

#[test]
fn a_truncated_message_is_an_error() {
    for cut in ["POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabc", "POST / HTTP/1.1\r\nhost: a"] {
        assert!(decode(Side::Server, cut.as_bytes(), &[]).is_err());
    }
    assert!(decode(Side::Client, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", &[])
        .is_err());
}

#[test]
fn encoded_messages_can_be_decoded() {
    let fields = [("x", "y\r\nevil: 1")];
    let mut bytes = response_head(529, &fields, Framing::Chunked);
    bytes.extend(chunk(b"one"));
    bytes.extend(chunk(b""));
    bytes.extend_from_slice(LAST_CHUNK);
    let items = decode(Side::Client, &bytes, &[]).expect("a valid response");
    let [Item::Head(head), Item::Body(body), Item::End] = &items[..] else { panic!("{items:?}") };
    assert_eq!((head.get("x"), head.get("evil"), &body[..]), (Some("yevil: 1"), None, &b"one"[..]));
}

proptest! {
    /// Arbitrary bytes do not cause a panic, and give the same items however they are split.
    #[test]
    fn arbitrary_bytes_can_be_split_anywhere(bytes in prop::collection::vec(
        prop::sample::select(b"GET / HTP1.\r\n:acontent-length023chunkedtransfer-encoding".to_vec()), 0..200),
        cuts in prop::collection::vec(0usize..200, 0..6))
    {
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|c| *c <= bytes.len()).collect();
        cuts.sort_unstable();
        for side in [Side::Server, Side::Client] {
            let (unsplit, split) = (decode(side, &bytes, &[]), decode(side, &bytes, &cuts));
            prop_assert_eq!(unsplit.is_ok(), split.is_ok());
            if let (Ok(unsplit), Ok(split)) = (unsplit, split) {
                prop_assert_eq!(unsplit, split);
            }
        }
    }

    /// Valid requests with one changed byte are decoded or rejected. Four of them never become more than
    /// five.
    #[test]
    fn a_changed_byte_adds_at_most_one_request(at in 0usize..REQUESTS.len(), byte in any::<u8>()) {
        let mut bytes = REQUESTS.to_vec();
        bytes[at] = byte;
        if let Ok(items) = decode(Side::Server, &bytes, &[]) {
            prop_assert!(items.iter().filter(|i| matches!(i, Item::Head(_))).count() <= 5);
        }
    }
}

#[test]
fn chunk_extensions_are_skipped_and_limited() {
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    for line in ["3;a", "3;a=b", "3 ; a = \"x;\\\"y\";c", "003;a=\"\""] {
        let bytes = format!("{head}{line}\r\nabc\r\n0;last\r\n\r\n");
        for cut in 0..bytes.len() {
            let items =
                decode(Side::Server, bytes.as_bytes(), &[cut]).unwrap_or_else(|e| panic!("{line}: {e}"));
            assert_eq!(items[1..], [Item::Body(b"abc".to_vec()), Item::End], "{line}");
        }
    }
    let long = format!("{head}3;{}\r\nabc\r\n", "x".repeat(300));
    assert_eq!(decode(Side::Server, long.as_bytes(), &[]).map_err(|m| m.status), Err(400));
    let many = format!("{head}{}", format!("1;{}\r\na\r\n", "x".repeat(200)).repeat(3));
    assert_eq!(
        decode(Side::Server, many.as_bytes(), &[]).map_err(|m| m.status),
        Err(400),
        "the limit applies to the extensions of all chunks together"
    );
}

#[test]
fn first_bytes_that_cannot_begin_a_message_are_rejected_at_once() {
    let decode_first_bytes = |side, bytes: &[u8]| {
        let mut decoder = Decoder::new(side, Limits::default());
        decoder.feed(bytes);
        decoder.next_item().map_err(|m| m.status)
    };
    for bytes in [&b"\x16\x03\x01\x02"[..], b"\0", b" GET", b"GE\xffT", b"\n", &[b'A'; 40]] {
        assert_eq!(decode_first_bytes(Side::Server, bytes), Err(400), "{bytes:?}");
    }
    for bytes in [&b""[..], b"\r", b"\r\n", b"\r\nPO", b"GET", b"GET / HT"] {
        assert_eq!(decode_first_bytes(Side::Server, bytes), Ok(None), "{bytes:?}");
    }
    assert_eq!(decode_first_bytes(Side::Client, b"SSH-2.0-x"), Err(400));
    assert_eq!(decode_first_bytes(Side::Client, b"HTT"), Ok(None));
}

#[test]
fn paths_are_parsed_in_origin_and_absolute_form() {
    for (target, path) in [
        ("/v1/messages?beta=true", Some("/v1/messages")),
        ("http://a:8080/v1/messages?x", Some("/v1/messages")),
        ("HTTPS://a", Some("/")),
        ("http://a?x=1", Some("/")),
        ("http:///a", None),
        ("ftp://a/b", None),
        ("*", None),
        ("a:443", None),
    ] {
        assert_eq!(path_of(target), path, "{target}");
    }
}

/// Guards against memory that thousands of connections keep after one large read each.
#[test]
fn a_decoder_gives_back_the_memory_of_a_large_read_once_it_is_decoded() {
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n";
    let mut decoder = Decoder::new(Side::Server, Limits::default());
    decoder.feed(&[head.as_slice(), &[b'x'; 16_000]].concat());
    assert!(decoder.capacity() >= 16_000);
    while decoder.next_item().expect("valid").is_some() {}
    assert!(decoder.capacity() <= 4 << 10, "{}", decoder.capacity());
    decoder.feed(&[[b'x'; 24_000].as_slice(), b"GET /"].concat());
    while decoder.next_item().expect("valid").is_some() {}
    assert_eq!(decoder.buffered(), b"GET /".len(), "what is not decoded stays");
    decoder.feed(b" HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(matches!(decoder.next_item(), Ok(Some(Item::Head(_)))));
    while decoder.next_item().expect("valid").is_some() {}
    assert!(decoder.idle() && decoder.capacity() <= 4 << 10, "{}", decoder.capacity());
}
