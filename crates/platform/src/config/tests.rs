use super::*;

fn error_text(text: &str) -> String {
    Config::parse(text).map(|_| ()).expect_err("expected the configuration to be rejected").to_string()
}

/// Operators see these texts when the process starts or the file is replaced.
#[test]
fn an_error_names_the_field_the_value_and_what_was_expected() {
    let valid = r#"{"name":"n0","listen":"127.0.0.2:5000","discovery":"127.0.0.9:8500","seed":"8c1f",
        "limits":{"memory_mb":64,"sockets":256},"known":null,"settings":{}}"#;
    assert!(error_text("{").starts_with("no JSON: "));
    for (from, to, expected) in [
        (r#""seed":"8c1f","#, "", "seed: missing"),
        (r#""8c1f""#, "17", "seed: 17: expected text"),
        (r#""memory_mb":64,"#, "", "limits.memory_mb: missing"),
        (r#""sockets":256"#, r#""sockets":0"#, "limits.sockets: 0: expected a number of 1 or more"),
        (r#""known":null"#, r#""known":{"index":1}"#, "known.endpoints: missing"),
        (r#""127.0.0.2:5000""#, r#""localhost""#, r#"listen: "localhost": expected IP:PORT"#),
        ("8c1f", "seed", r#"seed: "seed": expected 1 to 16 hex digits"#),
    ] {
        assert_eq!(error_text(&valid.replace(from, to)), expected);
    }
    assert!(error_text(valid).starts_with("settings: "), "{}", error_text(valid));
}
