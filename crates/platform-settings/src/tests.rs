use super::*;
use slipreel::{DeduplicationScope, Idempotency};

const MINIMAL: &str =
    "classes.count=1\nclasses.0.target=800\nclasses.0.worth=2\nextra.role_by_kind=read,write\n";

#[test]
fn nested_json_and_lines_give_the_same_profile() {
    let json = serde_json::json!({
        "azs": ["hall a", "b"], "host_types": ["m1", "m2"], "tick": 4.0,
        "classes": [{"name": "quick, check", "target": 800.0, "worth": 2, "streaming": true}],
        "customers": [{"name": "guild", "quota_per_s": 3.5}],
        "extra": {"role_by_kind": ["read", "write"], "let_go_by": 500.0},
        "report": {"columns": ["x1", "pending"], "source": "piggyback"},
        "limits": {"idle_close": 15000.0, "may_probe": true},
    });
    let lines = "azs=hall_a,b\nhost_types=m1,m2\ntick=4.0\nclasses.count=1\nclasses.0.name=quick__check\n\
                 classes.0.target=800.0\nclasses.0.worth=2\nclasses.0.streaming=true\ncustomers.count=1\n\
                 customers.0.name=guild\ncustomers.0.quota_per_s=3.5\nextra.role_by_kind=read,write\n\
                 extra.let_go_by=500.0\nreport.columns=x1,pending\nreport.source=piggyback\n\
                 limits.idle_close=15000.0\nlimits.may_probe=true\n";
    let (from_object, from_lines) = (from_json(&json).unwrap(), parse(lines).unwrap());
    assert_eq!(format!("{from_object:?}"), format!("{from_lines:?}"));
    assert_eq!((from_object.classes[0].as_str(), from_object.zones[0].as_str()), ("quick__check", "hall_a"));
    assert_eq!(from_object.idle_close, Some(Duration::from_secs(15)));
    assert!(from_json(&serde_json::json!([])).is_err());
}

#[test]
fn missing_keys_get_neutral_values() {
    let profile = parse(MINIMAL).unwrap();
    let settings = &profile.settings;
    assert_eq!(settings.kind_roles, [Role::Prefill, Role::Decode]);
    assert_eq!(settings.classes[0].idempotency, Idempotency::NotIdempotent);
    assert!(!settings.limits.cancellation);
    assert!(!settings.limits.probes);
    assert!(settings.limits.max_retry_after.is_none());
    assert_eq!(settings.report_source, ReportSource::None);
}

#[test]
fn unknown_keys_are_skipped_and_report_columns_mapped() {
    let added = "new.key=7\nreport.columns=x1,pending,x0,shoe_size\n\
                extra.report_x0=share_of_memory_that_is_held\n\
                extra.report_x1=thousands_of_prompt_tokens_waiting_to_be_read_or_fetched\n";
    let added = format!("{added}extra.tokens_by_kind=317000,880000\n");
    let Profile { columns, settings, .. } = parse(&format!("{MINIMAL}{added}")).unwrap();
    assert_eq!(settings.memory_tokens, [317_000.0, 880_000.0]);
    assert_eq!(columns, [Column::WaitingThousands, Column::Queued, Column::MemoryShare, Column::Other]);
}

#[test]
fn an_invalid_or_missing_value_is_reported_with_its_key() {
    for (text, key) in [
        ("", "classes.count"),
        ("classes.count=1\nclasses.0.worth=1\nextra.role_by_kind=read", "classes.0.target"),
        ("classes.count=x", "classes.count"),
        ("classes.count=1e99", "classes.count"),
        ("classes.count=0", "extra.role_by_kind"),
    ] {
        assert!(parse(text).unwrap_err().fault().to_string().starts_with(key), "{text}");
    }
    for invalid in [
        "extra.tokens_by_kind=9,x",
        "tick=NaN",
        "tick=-1",
        "limits.cancelling=maybe",
        "extra.role_by_kind=read,sing",
    ] {
        let error = parse(&format!("{MINIMAL}{invalid}\n")).unwrap_err().fault().to_string();
        assert!(error.starts_with(invalid.split('=').next().unwrap()), "{error}");
    }
}

#[test]
fn each_idempotency_is_parsed() {
    let idempotency =
        |lines: &str| parse(&format!("{MINIMAL}{lines}")).unwrap().settings.classes[0].idempotency;
    assert_eq!(idempotency("classes.0.idempotency=safe\n"), Idempotency::Idempotent);
    assert_eq!(
        idempotency("classes.0.idempotency=keyed\nclasses.0.group=zone\nclasses.0.window=2500\n"),
        Idempotency::WithKey { scope: DeduplicationScope::Zone, window: Duration::from_millis(2500) }
    );
}

#[test]
fn invalid_and_ambiguous_idempotency_settings_are_rejected() {
    for (lines, expected) in [
        (
            "classes.0.name=order\nclasses.0.idempotency=Unsafe\n",
            ["classes.0.idempotency", "'Unsafe'", "safe, keyed, unsafe", "'order'"],
        ),
        (
            "classes.0.name=order\nclasses.0.idempotency=keyed\nclasses.0.group=rack\n",
            ["classes.0.group", "'rack'", "all, zone, cell", "'order'"],
        ),
        (
            "classes.0.name=order\nclasses.0.idempotency=keyed\nclasses.0.window=soon\n",
            ["classes.0.window", "'soon'", "number of 0 or more", "'order'"],
        ),
    ] {
        let error = parse(&format!("{MINIMAL}{lines}")).unwrap_err().fault().to_string();
        assert!(expected.iter().all(|part| error.contains(part)), "{error}");
    }
    let two = "classes.count=2\nclasses.0.target=800\nclasses.0.worth=2\nclasses.1.target=800\nclasses.1.worth=2\n\
               extra.role_by_kind=read,write\nclasses.0.name=order\nclasses.1.name=order\nclasses.0.idempotency=safe\n";
    let error = parse(two).unwrap_err().fault().to_string();
    assert!(
        error.contains("classes.1.name") && error.contains("'order'") && error.contains("classes.0"),
        "{error}"
    );
    assert!(
        parse(&format!("{two}classes.1.idempotency=safe\n")).is_ok(),
        "classes of the same idempotency are not ambiguous"
    );
}

#[test]
fn missing_idempotency_settings_get_the_strictest_meaning() {
    let idempotency =
        |lines: &str| parse(&format!("{MINIMAL}{lines}")).unwrap().settings.classes[0].idempotency;
    assert_eq!(idempotency(""), Idempotency::NotIdempotent);
    let strictest = Idempotency::WithKey { scope: DeduplicationScope::Cell, window: Duration::ZERO };
    assert_eq!(idempotency("classes.0.idempotency=keyed\n"), strictest);
}

/// Operators see these texts.
#[test]
fn an_error_names_the_key_the_value_and_what_was_expected() {
    for (line, text) in [
        ("classes.0.worth=x", "setting classes.0.worth: 'x' is no number of 0 or more"),
        ("customers.count=1.5", "setting customers.count: 1.5 is no count"),
        ("extra.tokens_by_kind=9,x", "setting extra.tokens_by_kind: 'x' is no number"),
        ("extra.role_by_kind=sing", "setting extra.role_by_kind: 'sing' is not known"),
        ("tick=1e300", "setting tick: 1000000000000000000000"),
        (
            "limits.cancelling=maybe",
            "setting limits.cancelling: 'maybe' is not known: expected one of true, false",
        ),
    ] {
        let error = parse(&format!("{MINIMAL}{line}\n")).unwrap_err().to_string();
        assert!(error.starts_with(text), "{error}");
    }
    let not_an_object = from_json(&serde_json::json!([])).unwrap_err();
    assert_eq!(not_an_object.to_string(), "setting settings: expected an object");
}
