use super::*;

const FILE: &str = "[router]\nlisten = 127.0.0.1:8080\nname = r0\n\n[class chat]\nworth=1\n aim = 1s\n\
                    [model m]\nclass = chat\n[tenant t]\nkeys = secret\nquota_per_s = 5\n\
                    [engine a]\naddress = 127.0.0.1:9000\nrole = both\n";

#[test]
fn the_canonical_policy_ignores_file_layout_and_non_policy_keys_are_listed() {
    let policy = policy_of(FILE, "a.ini").expect("a valid policy");
    assert!(policy.non_policy_keys.contains(&"[router] listen".to_owned()), "{:?}", policy.non_policy_keys);
    let other = "[tenant t]\nquota_per_s = 5\nkeys = secret\n[model m]\nclass = chat\n[class chat]\naim = 1s\nworth = 1\n";
    assert_eq!(policy_of(other, "b.ini").expect("a valid policy").text, policy.text);
    assert!(!masked(&policy.text).contains("secret"));
    let daemon = settings_with_policy(FILE, "a.ini", &policy.text.replace("aim = 1s", "aim = 2s"))
        .expect("valid settings");
    assert_eq!(daemon.gateway.decisions.classes[0].latency_objective.as_secs(), 2);
    assert_eq!((daemon.gateway.name.as_str(), daemon.gateway.engines.len()), ("r0", 1));
}

#[test]
fn faults_name_their_file_and_line() {
    let faults =
        policy_of("[class chat]\nworth = much\n[model m]\nclass = chat\n", "b.ini").expect_err("faults");
    assert_eq!((faults[0].file.as_str(), faults[0].line, faults[0].key.as_str()), ("b.ini", 2, "worth"));
    let faults = settings_with_policy(FILE, "a.ini", "[class chat]\naim = 1s\n[model m]\nclass = talk\n")
        .expect_err("faults");
    let named = |f: &Fault| (f.file.as_str(), f.line, f.key.as_str()) == ("policy", 4, "class");
    assert!(faults.iter().any(named), "{faults:?}");
    let own = FILE.replace("role = both", "role = all");
    let faults = settings_with_policy(&own, "a.ini", &policy_of(FILE, "a.ini").expect("a valid policy").text)
        .expect_err("faults");
    assert_eq!(faults[0].file, "a.ini");
}

#[test]
fn changes_are_described_without_secrets() {
    let before = policy_of(FILE, "a").expect("a valid policy").text;
    let after = before.replace("keys = secret", "keys = secret, other").replace("quota_per_s = 5\n", "");
    let lines = changes(&masked(&before), &after).expect("valid policies");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines.iter().all(|l| !l.contains("secret") && !l.contains("other")), "{lines:?}");
    assert!(lines[1].contains("quota_per_s: 5 is not set any more"), "{lines:?}");
    assert!(changes(&before, &masked(&before)).expect("valid policies").is_empty());
}
