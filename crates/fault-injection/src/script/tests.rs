use super::*;

#[test]
fn faults_of_a_script_are_named_with_line_and_expectation() {
    let text = "[ground]\nrouters = 3\n[fault a]\nkind = kil\nwhom = 0\n[fault b]\nkind = stop\nwhom = 7\nat = soon\n";
    let faults = read_script(text, "x.ini", None).expect_err("faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
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
        read_script(&text, "x.ini", None).expect("a script").faults
    };
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    assert!(draw(3).len() > 3);
}
