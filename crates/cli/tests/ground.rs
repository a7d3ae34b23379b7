//! Hard cases for the agreement on one view of the fleet, and random faults by seed, with processes of the
//! built program and injected faults. The scripts of a group run in parallel, because they wait most of the
//! time.

mod common;

use common::{check_scripts, PROGRAM};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The groups run one after another, because a machine of two cores can run some forty processes at a time.
/// Takes two minutes in all.
#[test]
fn processes_agree_on_one_view_through_faults() {
    // Kills, stops, cuts; the longest lasts 42 s.
    check_scripts(&[
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
    // Many faults at once, and random faults by seed.
    check_scripts(&[("seven", 1), ("ten", 1), ("ten", 2), ("slow-peers", 1)]);
    // Thirty routers that start from one seed router; then restarts of the whole fleet, noise, a reload with
    // other seed routers, a folder that is removed, and a seed router that is down.
    check_scripts(&[("start", 1)]);
    check_scripts(&[("all-restart", 1), ("noise", 1), ("reload", 1), ("folder", 1), ("seed-dead", 1)]);
}

/// The processes whose parent is this process.
fn children(parent_id: u32) -> Vec<PathBuf> {
    let all = std::fs::read_dir("/proc").expect("processes").flatten().map(|p| p.path());
    let parent = |p: &PathBuf| {
        let stat = std::fs::read_to_string(p.join("stat")).ok()?;
        stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse::<u32>().ok()
    };
    all.filter(|p| parent(p) == Some(parent_id)).collect()
}

#[test]
fn a_killed_ground_command_leaves_no_router_process() {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/grounds/halves.ini");
    let mut ground = Command::new(PROGRAM);
    ground.arg("ground").arg(script).args(["--seed", "7"]).stdout(Stdio::null()).stderr(Stdio::null());
    let mut ground = ground.spawn().expect("a process");
    let wait_until = |condition: &str, done: &dyn Fn() -> bool| {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !done() {
            assert!(Instant::now() < deadline, "{condition}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait_until("ten routers start", &|| children(ground.id()).len() == 10);
    let routers = children(ground.id());
    ground.kill().expect("a kill");
    ground.wait().expect("its end");
    let is_running = |p: &PathBuf| {
        std::fs::read_to_string(p.join("cmdline")).is_ok_and(|line| line.contains("settings.ini"))
    };
    wait_until("all of them end", &|| !routers.iter().any(is_running));
}
