use super::*;

#[test]
fn errors_in_a_script_are_reported_with_line_and_expected_value() {
    let text = "[ground]\nrouters = 3\n[fault a]\nkind = kil\nwhom = 0\n[fault b]\nkind = stop\nwhom = 7\nat = soon\n";
    let errors = read_script(text, "x.ini", None).expect_err("the script has errors");
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(
        lines[0].starts_with("x.ini:4: [fault a] kind: \"kil\": expected one of kill, kill_lost"),
        "{lines:?}"
    );
    assert!(lines.iter().any(|l| l.contains("[fault b] whom: 7: expected 0 to 2")), "{lines:?}");
    assert!(lines.iter().any(|l| l.contains("\"soon\": expected a time")), "{lines:?}");
}

#[test]
fn the_same_seed_draws_the_same_faults_and_another_does_not() {
    let draw = |seed| {
        let text = format!("[ground]\nrouters = 5\nrandom = 8\nseed = {seed}\n");
        read_script(&text, "x.ini", None).expect("the script is valid").faults
    };
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    assert!(draw(3).len() > 3);
}
