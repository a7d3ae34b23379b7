use super::*;

const FILE: &str = "[router]\nlisten = 127.0.0.1:8080\nname = r0\n\n[class chat]\nworth=1\n aim = 1s\n\
                    [model m]\nclass = chat\n[tenant t]\nkeys = secret\nquota_per_s = 5\n\
                    [engine a]\naddress = 127.0.0.1:9000\nrole = both\n";

#[test]
fn a_policy_is_the_same_whatever_the_file_looks_like_and_own_keys_are_named() {
    let policy = policy_of(FILE, "a.ini").expect("good");
    assert!(policy.non_policy_keys.contains(&"[router] listen".to_owned()), "{:?}", policy.non_policy_keys);
    let other = "[tenant t]\nquota_per_s = 5\nkeys = secret\n[model m]\nclass = chat\n[class chat]\naim = 1s\nworth = 1\n";
    assert_eq!(policy_of(other, "b.ini").expect("good").text, policy.text);
    assert!(!masked(&policy.text).contains("secret"));
    let daemon =
        settings_with_policy(FILE, "a.ini", &policy.text.replace("aim = 1s", "aim = 2s")).expect("good");
    assert_eq!(daemon.gateway.decisions.classes[0].latency_objective.as_secs(), 2);
    assert_eq!((daemon.gateway.name.as_str(), daemon.gateway.engines.len()), ("r0", 1));
}

#[test]
fn faults_name_the_line_of_the_text_that_they_stand_in() {
    let bad = policy_of("[class chat]\nworth = much\n[model m]\nclass = chat\n", "b.ini").expect_err("bad");
    assert_eq!((bad[0].file.as_str(), bad[0].line, bad[0].key.as_str()), ("b.ini", 2, "worth"));
    let bad = settings_with_policy(FILE, "a.ini", "[class chat]\naim = 1s\n[model m]\nclass = talk\n")
        .expect_err("bad");
    let named = |f: &Fault| (f.file.as_str(), f.line, f.key.as_str()) == ("policy", 4, "class");
    assert!(bad.iter().any(named), "{bad:?}");
    let own = FILE.replace("role = both", "role = all");
    let bad =
        settings_with_policy(&own, "a.ini", &policy_of(FILE, "a.ini").expect("good").text).expect_err("bad");
    assert_eq!(bad[0].file, "a.ini");
}

#[test]
fn changes_are_told_in_words_and_without_secrets() {
    let before = policy_of(FILE, "a").expect("good").text;
    let after = before.replace("keys = secret", "keys = secret, other").replace("quota_per_s = 5\n", "");
    let lines = changes(&masked(&before), &after).expect("good");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines.iter().all(|l| !l.contains("secret") && !l.contains("other")), "{lines:?}");
    assert!(lines[1].contains("quota_per_s: 5 is not set any more"), "{lines:?}");
    assert!(changes(&before, &masked(&before)).expect("good").is_empty());
}
