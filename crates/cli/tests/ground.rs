//! The hard cases of the view and faults drawn by seed, with processes of the built program and faults
//! between them. The scripts of a group run side by side, as they wait most of their time.

mod common;

use common::{hold, PROGRAM};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// One group after another, as a machine of two cores carries some forty processes at a time; two minutes in
/// all.
#[test]
fn processes_hold_one_view_through_faults() {
    // Kills, stops, cuts; the longest lasts 42 s.
    hold(&[
        ("back-soon", 1),
        ("halves", 1),
        ("one-way", 1),
        ("pair", 1),
        ("stop-short", 1),
        ("stop-long", 1),
        ("twin", 1),
        ("twin-young", 1),
        ("twin-young", 2),
    ]);
    // Many at once, and faults drawn by seed.
    hold(&[("seven", 1), ("ten", 1), ("ten", 2), ("slow-peers", 1)]);
    // Thirty from one seed; then the fleet changes as a whole, noise, other seeds, folders that are gone.
    hold(&[("start", 1)]);
    hold(&[("all-restart", 1), ("noise", 1), ("reload", 1), ("folder", 1), ("seed-dead", 1)]);
}

/// Processes whose parent is this one.
fn children(of: u32) -> Vec<PathBuf> {
    let all = std::fs::read_dir("/proc").expect("processes").flatten().map(|p| p.path());
    let parent = |p: &PathBuf| {
        let stat = std::fs::read_to_string(p.join("stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    all.filter(|p| parent(p) == Some(of)).collect()
}

#[test]
fn a_ground_that_is_killed_leaves_no_router() {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/grounds/halves.ini");
    let mut ground = Command::new(PROGRAM);
    ground.arg("ground").arg(script).args(["--seed", "7"]).stdout(Stdio::null()).stderr(Stdio::null());
    let mut ground = ground.spawn().expect("a process");
    let until = |what: &str, done: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(20);
        while !done() {
            assert!(Instant::now() < end, "{what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    until("ten routers start", &|| children(ground.id()).len() == 10);
    let routers = children(ground.id());
    ground.kill().expect("a kill");
    ground.wait().expect("its end");
    let runs = |p: &PathBuf| {
        std::fs::read_to_string(p.join("cmdline")).is_ok_and(|line| line.contains("settings.ini"))
    };
    until("all of them end", &|| !routers.iter().any(runs));
}
