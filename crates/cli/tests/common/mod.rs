//! Runs fault injection scripts with processes of the built program, in parallel.

use slipreel_fault_injection::{play_processes, read_script, Interrupt, Outcome};
use std::path::Path;

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_slipreel");

fn play(name: &str, seed: u64) -> Result<Outcome, String> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../deploy/grounds/{name}.ini"));
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let script = read_script(&text, name, Some(seed)).map_err(|f| format!("{f:?}"))?;
    let played = play_processes(&script, Path::new(PROGRAM), &Interrupt::default())?;
    played.ok_or_else(|| "interrupted".into())
}

/// Runs all scripts in parallel, each with its seed, and fails with everything that went wrong.
pub fn check_scripts(cases: &[(&'static str, u64)]) {
    let runs: Vec<_> = cases
        .iter()
        .map(|&(name, seed)| std::thread::spawn(move || (name, seed, play(name, seed))))
        .collect();
    let mut wrong = Vec::new();
    for run in runs {
        let (name, seed, played) = run.join().expect("a run");
        match played {
            Err(why) => wrong.push(format!("{name}, seed {seed}: {why}")),
            Ok(played) if !played.passed() => {
                let tail: Vec<&String> = played.log.iter().rev().take(12).collect();
                wrong.push(format!(
                    "{name}, seed {seed}: {:?} {:?} {:?}\n{tail:#?}",
                    played.verdict.failures, played.violations, played.policy
                ));
            }
            Ok(_) => {}
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
