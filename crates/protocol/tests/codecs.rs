//! Server-sent events, the Messages API, the engine protocol and the list of engines.

use proptest::prelude::*;
use serde_json::{json, Value};
use slipreel_protocol::messages::{AnswerBuilder, ApiError, ErrorKind, MessagesRequest, Usage};
use slipreel_protocol::{endpoints, engine, sse};

/// Decodes events from bytes that are split at `cut`.
fn events(bytes: &[u8], cut: usize) -> Vec<sse::Event> {
    let mut decoder = sse::Decoder::new(1000);
    let mut out = Vec::new();
    decoder.feed(&bytes[..cut], &mut out).expect("short events");
    decoder.feed(&bytes[cut..], &mut out).expect("short events");
    out
}

#[test]
fn events_do_not_depend_on_where_the_bytes_are_split() {
    let text = "\u{feff}event: a\r\ndata: été\r\n\r\n: comment\ndata:1\ndata: 2\n\nevent: none\n\ndata\r\rid: 3\ndata: end".as_bytes();
    let unsplit = events(text, 0);
    let names_and_data: Vec<(&str, &str)> =
        unsplit.iter().map(|e| (e.name.as_str(), e.data.as_str())).collect();
    assert_eq!(
        names_and_data,
        [("a", "été"), ("", "1\n2"), ("", "")],
        "events without data and events without an end are dropped"
    );
    for cut in 0..text.len() {
        assert_eq!(events(text, cut), unsplit, "cut at {cut}");
    }
}

#[test]
fn the_length_of_an_event_is_limited() {
    let mut out = Vec::new();
    assert!(sse::Decoder::new(100).feed(&[b'x'; 101], &mut out).is_err());
}

fn error_message(body: &str) -> String {
    let error = MessagesRequest::parse(body.as_bytes(), false).expect_err(body);
    assert_eq!(error.kind, ErrorKind::InvalidRequest);
    error.message
}

#[test]
fn errors_name_the_field() {
    let ok = r#"{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"x"}]}"#;
    assert!(MessagesRequest::parse(ok.as_bytes(), false).is_ok());
    let bad = |from: &str, to: &str| error_message(&ok.replace(from, to));
    assert!(bad("\"m\"", "3").starts_with("model:"));
    assert!(bad("5", "0").starts_with("max_tokens: 0"));
    assert!(bad("5", "-1").starts_with("max_tokens: -1"));
    assert!(bad("\"user\"", "\"system\"").starts_with("messages.0.role:"));
    assert!(bad("\"x\"", "[{\"text\":\"x\"}]").starts_with("messages.0.content.0.type:"));
    assert!(bad("\"x\"", "[{\"type\":\"text\"}]").starts_with("messages.0.content.0.text:"));
    assert!(bad("\"max_tokens\":5", "\"max_tokens\":5,\"temperature\":2").starts_with("temperature: 2"));
    assert!(bad("\"max_tokens\":5", "\"max_tokens\":5,\"stream\":1").starts_with("stream: 1"));
    assert!(error_message("[]").starts_with("body:"));
    assert!(error_message(&"[".repeat(100_000)).starts_with("body: not JSON"));
}

#[test]
fn a_messages_request_becomes_a_chat_completion_request() {
    let body = json!({
    "model": "m", "max_tokens": 9, "stop_sequences": ["END"], "top_k": 4,
    "system": [{"type": "text", "text": "be short", "cache_control": {"type": "ephemeral"}}],
    "tools": [{"name": "f", "description": "d", "input_schema": {"type": "object"}}], "tool_choice": {"type": "any"},
    "messages": [
        {"role": "user", "content": [{"type": "text", "text": "look"},
            {"type": "image", "source": {"type": "base64", "media_type": "image/png", "data": "AA=="}}]},
        {"role": "assistant", "content": [{"type": "tool_use", "id": "t1", "name": "f", "input": {"a": 1}}]},
        {"role": "user", "content": [{"type": "tool_result", "tool_use_id": "t1", "content": "42"}]},
    ]});
    let ask = MessagesRequest::parse(body.to_string().as_bytes(), false).expect("a good request");
    let chat = Value::Object(ask.to_chat().expect("a chat"));
    assert_eq!(chat["messages"][0], json!({"role": "system", "content": "be short"}));
    assert_eq!(chat["messages"][1]["content"][1]["image_url"]["url"], "data:image/png;base64,AA==");
    assert_eq!(chat["messages"][2]["tool_calls"][0]["function"]["arguments"], "{\"a\":1}");
    assert_eq!(chat["messages"][3], json!({"role": "tool", "tool_call_id": "t1", "content": "42"}));
    assert_eq!(
        (&chat["stop"][0], &chat["tool_choice"], &chat["top_k"]),
        (&json!("END"), &json!("required"), &json!(4))
    );
    assert_eq!(chat["tools"][0]["function"]["parameters"], json!({"type": "object"}));
}

#[test]
fn streamed_events_are_in_the_order_of_the_api() {
    let mut answer = AnswerBuilder::new("msg_1".into(), "m".into(), true);
    let mut out = Vec::new();
    answer.start(Usage::default(), &mut out);
    answer.text("a", &mut out);
    answer.tool("t", "f", &mut out);
    answer.tool_json("{\"x\":", &mut out);
    answer.tool_json("1}", &mut out);
    answer.text("b", &mut out);
    answer.finish("end_turn", None, Usage { output_tokens: 3, ..Usage::default() }, &mut out);
    let names: Vec<String> =
        events(&out, 0).into_iter().map(|e| e.name.replace("content_block_", "")).collect();
    let expected =
        "message_start start delta stop start delta delta stop start delta stop message_delta message_stop";
    assert_eq!(names.join(" "), expected);
    let indexes: Vec<Value> = events(&out, 0)
        .iter()
        .map(|e| serde_json::from_str::<Value>(&e.data).expect("JSON")["index"].clone())
        .collect();
    assert_eq!(indexes[1..11], [0, 0, 0, 1, 1, 1, 1, 2, 2, 2].map(Value::from));
}

#[test]
fn a_response_that_is_not_streamed_has_the_same_content() {
    let mut answer = AnswerBuilder::new("msg_1".into(), "m".into(), false);
    let mut out = Vec::new();
    answer.text("a", &mut out);
    answer.text("b", &mut out);
    answer.tool("t", "f", &mut out);
    answer.tool_json("{\"x\":1}", &mut out);
    assert!(out.is_empty(), "nothing is written before the end");
    answer.finish("tool_use", None, Usage::default(), &mut out);
    let response: Value = serde_json::from_slice(&out).expect("JSON");
    assert_eq!(response["content"][0], json!({"type": "text", "text": "ab"}));
    assert_eq!(
        response["content"][1],
        json!({"type": "tool_use", "id": "t", "name": "f", "input": {"x": 1}})
    );
    let error: Value =
        serde_json::from_str(&ApiError::new(ErrorKind::Overloaded, "no").body("req_1")).expect("JSON");
    assert_eq!(
        (&error["error"]["type"], &error["request_id"]),
        (&json!("overloaded_error"), &json!("req_1"))
    );
}

#[test]
fn load_reports_are_parsed_in_all_formats() {
    let text = "# HELP x\nvllm:num_requests_running{model_name=\"a}b\",engine=\"0\"} 3.0\n\
                vllm:num_requests_waiting{model_name=\"m\"} 2 1700000000000\nvllm:kv_cache_usage_perc 0.5\n\
                process_start_time_seconds 1.7e9\nvllm:other NaN\nbroken\n";
    let load = engine::parse_metrics(text);
    assert_eq!(
        (load.running, load.waiting, load.memory, load.started),
        (Some(3.0), Some(2.0), Some(0.5), Some(1.7e9))
    );
    assert_eq!(engine::parse_metrics(&engine::write_metrics(&load)), load);
    let reported = engine::Load { started: None, ..load };
    assert_eq!(engine::parse_orca(&engine::write_orca(&load)), reported);
    let json = r#"JSON {"named_metrics":{"num_requests_running":3,"num_requests_waiting":2,"kv_cache_usage_perc":0.5}}"#;
    assert_eq!(engine::parse_orca(json), reported);
    assert_eq!(
        engine::parse_orca("TEXT ,,=,named_metrics.num_requests_waiting=inf"),
        engine::Load::default()
    );
}

#[test]
fn endpoint_slices_are_parsed_with_their_conditions() {
    let slice = json!({"apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSlice", "addressType": "IPv4",
        "metadata": {"name": "a", "labels": {"slipreel.dev/role": "read", "slipreel.dev/cell": "c1"}},
        "ports": [{"name": "http", "port": 8000}],
        "endpoints": [{"addresses": ["127.0.0.1"], "zone": "z"},
            {"addresses": ["127.0.0.2"], "conditions": {"ready": false, "serving": true, "terminating": true}}]});
    let listed = endpoints::parse(&json!({"kind": "List", "items": [slice]}).to_string()).expect("a list");
    assert_eq!(listed[0].addr.to_string(), "127.0.0.1:8000");
    assert_eq!((listed[0].ready, listed[0].serving, listed[0].zone.as_deref()), (true, true, Some("z")));
    assert_eq!((listed[1].ready, listed[1].serving, listed[1].terminating), (false, true, true));
    assert!(endpoints::parse("{\"kind\":\"Pod\"}").expect_err("no list").contains("Pod"));
    assert!(endpoints::parse(&slice.to_string().replace("127.0.0.1", "box"))
        .expect_err("no address")
        .contains("box"));
}

#[test]
fn errors_of_prefill_responses_keep_their_texts() {
    for (body, text) in [
        ("3", "invalid type: integer `3`, expected struct ReadAnswer at line 1 column 1"),
        ("{\"kv_transfer_params\":3}", "kv_transfer_params: expected an object"),
    ] {
        assert_eq!(engine::parse_prefill_response(body.as_bytes()).expect_err(body), text);
    }
}

proptest! {
    #[test]
    fn arbitrary_bodies_do_not_panic(body in ".{0,120}", counting: bool) {
        let _ = MessagesRequest::parse(body.as_bytes(), counting);
        let _ = engine::parse_prefill_response(body.as_bytes());
        let _ = engine::parse_metrics(&body);
        let _ = engine::parse_orca(&body);
        let _ = endpoints::parse(&body);
    }
}
