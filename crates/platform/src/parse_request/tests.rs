use super::*;
use slipreel_connections::{ClientConnection, ClientState};
use slipreel_protocol::http::Limits;
use slipreel_state_machine::{ConnId, ListenerId};

fn profile() -> Profile {
    slipreel_platform_settings::parse(
        "classes.count=2\nclasses.0.name=chat\nclasses.0.target=800\nclasses.0.worth=1\nclasses.1.name=recap\n\
         classes.1.target=800\nclasses.1.worth=2\ncustomers.count=1\ncustomers.0.name=acme\n\
         extra.role_by_kind=read,write\n",
    )
    .unwrap()
}

fn received(fields: &str) -> ReceivedRequest {
    let mut client = ClientConnection::new(ConnId(1), ListenerId(0), Duration::ZERO, Limits::default(), 1000);
    let text =
        format!("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n{fields}Content-Length: 8\r\n\r\n12345678");
    client.feed(Duration::ZERO, text.as_bytes(), &mut Vec::new());
    let received = client.receive(Duration::ZERO, &mut Vec::new()).unwrap().unwrap();
    assert_eq!(client.state, ClientState::Serving(None));
    received
}

const VALID_FIELDS: &str =
    "X-Request-Id: 9b1f\r\nX-Class: recap\r\nX-Tenant: acme\r\nX-Key: 10\r\nX-Deadline: 4800m\r\n\
                    X-Extras: prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800\r\n";

#[test]
fn a_request_is_parsed_from_its_head() {
    let parsed = parse(&profile(), &received(VALID_FIELDS)).unwrap();
    let request = &parsed.request;
    assert_eq!(
        (parsed.client_id.as_str(), request.class, request.tenant, request.session),
        ("9b1f", ClassId(1), TenantId(0), 16)
    );
    assert_eq!(
        (request.shared_prefix, request.prompt_tokens, request.max_output_tokens),
        (Some(0x5c0f_6e1a_2b3d_4c59), 5120.0, 800.0)
    );
    assert_eq!((request.client_timeout, request.is_retry), (Duration::from_millis(4800), false));
    let with_retry = format!("{VALID_FIELDS}X-Retry: 1\r\n").replace("4800m", "1500u");
    let parsed = parse(&profile(), &received(&with_retry)).unwrap();
    assert_eq!((parsed.request.client_timeout, parsed.request.is_retry), (Duration::from_micros(1500), true));
    let resumption =
        parse(&profile(), &received(&with_retry.replace("X-Retry: 1", "X-Retry: again"))).unwrap().request;
    assert_eq!((resumption.is_retry, resumption.is_resumption), (false, true));
    let without_extras = VALID_FIELDS.split("X-Extras").next().unwrap();
    assert_eq!(
        parse(&profile(), &received(without_extras)).unwrap().request.prompt_tokens,
        2.0,
        "estimated from the body"
    );
}

#[test]
fn an_invalid_or_missing_field_gives_status_400() {
    for (from, to) in [
        ("X-Request-Id: 9b1f\r\n", ""),
        ("9b1f", "a/b"),
        ("9b1f\r\n", "9b1f\r\nX-Request-Id: 9b20\r\n"),
        ("recap", "nap"),
        ("acme", "nobody"),
        ("X-Tenant: acme\r\n", ""),
        ("4800m", "soon"),
        ("4800m", "-4800m"),
        ("4800m", "NaNm"),
        ("4800m", "4800"),
        ("X-Deadline: 4800m\r\n", ""),
        ("prompt_len=5120", "prompt_len=-5120"),
        ("prompt_len=5120", "prompt_len=1e300"),
        ("prompt_len=5120", "prompt_len"),
        ("max_out=800", "max_out=inf"),
    ] {
        let parsed = parse(&profile(), &received(&VALID_FIELDS.replace(from, to)));
        assert_eq!(parsed.map(|_| ()).unwrap_err().status(), 400, "{to}");
    }
}
