use super::*;

/// The texts and statuses are sent to clients, which may depend on them.
#[test]
fn each_error_keeps_its_status_and_text() {
    let malformed = Malformed { status: 431, why: "a head over 16384 bytes".to_owned() };
    let cases = [
        (RequestError::Malformed(malformed), 431, "a head over 16384 bytes"),
        (RequestError::ReceiveTimeout, 408, "the request did not come whole in time"),
        (RequestError::Evicted, 503, "no room is left for it"),
        (RequestError::UnknownPath, 404, "no such path"),
        (RequestError::ShuttingDown, 503, "this router is about to end"),
        (RequestError::IdInUse, 409, "X-Request-Id: a request of this id is open"),
        (RequestError::IdRecentlyForwarded, 409, "X-Request-Id: a request of this id was sent on before"),
        (RequestError::OutOfMemory, 503, "no memory is left for it"),
        (RequestError::RepeatedField { field: "x-class" }, 400, "x-class: given twice"),
        (RequestError::MissingId, 400, "X-Request-Id: missing"),
        (RequestError::InvalidId, 400, "X-Request-Id: expected up to 128 visible characters"),
        (RequestError::UnknownClass("nap".to_owned()), 400, "X-Class: \"nap\": no such class"),
        (RequestError::MissingTenant, 400, "X-Tenant: missing"),
        (RequestError::UnknownTenant("nobody".to_owned()), 400, "X-Tenant: \"nobody\": no such tenant"),
        (
            RequestError::InvalidDeadline("soon".to_owned()),
            400,
            "X-Deadline: \"soon\": expected a number and m or u",
        ),
        (RequestError::InvalidExtra(" a".to_owned()), 400, "X-Extras: \" a\": expected name=value"),
        (
            RequestError::InvalidTokens { name: "max_out".to_owned(), value: "inf".to_owned() },
            400,
            "X-Extras max_out: \"inf\": expected 0 to 10000000 tokens",
        ),
    ];
    for (error, status, text) in cases {
        assert_eq!((error.status(), error.to_string().as_str()), (status, text));
    }
}
