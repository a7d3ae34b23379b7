//! Policy changes with processes of the built program and injected faults, checked by the epochs that are
//! stamped on the traffic; and the commands that operators use.

mod common;

use common::{check_scripts, PROGRAM};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Runs some thirty processes at a time and takes two minutes in all.
#[test]
fn processes_agree_on_a_policy_through_faults() {
    check_scripts(&[
        ("policy-leader", 1),
        ("policy-stop", 1),
        ("policy-cut", 1),
        ("policy-most", 1),
        ("policy-disks", 1),
        ("policy-restarts", 1),
    ]);
    check_scripts(&[
        ("policy-five", 1),
        ("policy-five", 2),
        ("policy-five", 3),
        ("policy-five", 4),
        ("policy-gone", 1),
        ("policy-serve", 1),
        ("policy-behind", 1),
    ]);
}

/// Router processes and their folder, which are removed when the value is dropped, also after a failed check.
struct Routers(Vec<Child>, PathBuf);

impl Drop for Routers {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

const POLICY: &str = "[class chat]\naim = 1s\n[model m]\nclass = chat\n[tenant t]\nkeys = sk-secret\n";

/// Starts three routers, with addresses and a folder of their own.
fn start_three_routers() -> Routers {
    let folder = std::env::temp_dir().join(format!("slipreel-policy-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut routers = Routers(Vec::new(), folder.clone());
    for r in 0..3 {
        let file = folder.join(format!("r{r}.ini"));
        let text = format!(
            "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = 3\n[fleet]\nlisten = {}\nseeds = {}, {}, {}\nfolder = {}\n\
             founders = r0, r1, r2\n[engine a]\naddress = 127.0.0.1:9\nrole = both\n{POLICY}",
            address(r, 8080), address(r, 9180), address(r, 7000), address(0, 7000), address(1, 7000), address(2, 7000),
            folder.join(format!("kept{r}")).display()
        );
        std::fs::write(&file, text).expect("a file");
        let mut serve = Command::new(PROGRAM);
        serve.args(["serve", "--until-input-ends", "--config"]).arg(&file);
        serve.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        routers.0.push(serve.spawn().expect("a process"));
    }
    routers
}

/// A port on a router's loopback address; each test process has its own block of addresses.
fn address(r: usize, port: u16) -> String {
    let block = 130 + std::process::id() % 100;
    format!("127.{block}.9.{}:{port}", r + 1)
}

/// Runs `slipreel policy`.
fn policy(args: &[&str]) -> Output {
    Command::new(PROGRAM).arg("policy").args(args).output().expect("it runs")
}

/// Standard output and standard error.
fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn operators_see_change_and_roll_back_with_exit_codes() {
    let mut routers = start_three_routers();
    let ports: Vec<String> = (0..3).map(|r| address(r, 9180)).collect();
    let deadline = Instant::now() + Duration::from_secs(20);
    // Each router learns of the first policy at a time of its own, and each is asked below.
    for port in &ports {
        while !text(&policy(&["status", "--json", "--at", port])).contains("\"serving\":true") {
            assert!(Instant::now() < deadline, "no policy: {}", text(&policy(&["status", "--at", port])));
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    let shown = text(&policy(&["show", "--at", &ports[0]]));
    assert!(shown.contains("aim = 1s") && !shown.contains("sk-secret"), "{shown}");

    let file = routers.1.join("new.ini");
    let name = file.to_str().expect("a name");
    std::fs::write(&file, "[class chat]\naim = soon\n[model m]\nclass = chat\n").expect("a file");
    let bad = policy(&["propose", name, "--at", &ports[0]]);
    assert_eq!(bad.status.code(), Some(2), "{}", text(&bad));
    assert!(text(&bad).contains("new.ini:2: [class chat] aim: \"soon\": expected"), "{}", text(&bad));

    std::fs::write(&file, format!("[log]\nlevel = debug\n{}", POLICY.replace("1s", "2s"))).expect("a file");
    let diff = policy(&["diff", name, "--at", &ports[1]]);
    assert!(text(&diff).contains("[class chat] aim: 1s becomes 2s"), "{}", text(&diff));
    let good = policy(&["propose", name, "--id", "one", "--at", &ports[1]]);
    assert_eq!(good.status.code(), Some(0), "{}", text(&good));
    assert!(
        text(&good).contains("in force as epoch 2") && text(&good).contains("[log] level"),
        "{}",
        text(&good)
    );
    let again = policy(&["propose", name, "--id", "one", "--at", &ports[2]]);
    assert_eq!(
        (again.status.code(), text(&again).contains("epoch 2")),
        (Some(0), true),
        "a change that is sent twice is applied once"
    );

    // A second process on the same folder would vote with the promises of the first one.
    let second = Command::new(PROGRAM).args(["serve", "--config"]).arg(routers.1.join("r0.ini")).output();
    let second = second.expect("it runs");
    assert!(
        !second.status.success() && text(&second).contains("another process uses it"),
        "{}",
        text(&second)
    );

    // There is only one engine: each router rejects a policy that takes it out.
    std::fs::write(&file, format!("{POLICY}[operations]\ntaken_out = a\n")).expect("a file");
    let dropped = policy(&["propose", name, "--id", "two", "--json", "--at", &ports[0]]);
    assert_eq!(dropped.status.code(), Some(3), "{}", text(&dropped));
    assert!(
        text(&dropped).contains("[operations] taken_out: a: expected an engine that reads"),
        "{}",
        text(&dropped)
    );

    let back = policy(&["rollback", "1", "--at", &ports[2]]);
    assert_eq!(back.status.code(), Some(0), "{}", text(&back));
    let history = text(&policy(&["history", "--at", &ports[0]]));
    assert!(history.contains("back to epoch 1") && history.contains("two: dropped"), "{history}");
    assert_eq!(policy(&["status", "nobody", "--at", &ports[0]]).status.code(), Some(4));

    // Without a majority nothing changes, and the outcome is reported as unknown.
    for child in &mut routers.0[1..] {
        child.kill().expect("a kill");
    }
    std::fs::write(&file, POLICY).expect("a file");
    let unknown = policy(&["propose", name, "--id", "three", "--wait", "500ms", "--at", &ports[0]]);
    assert_eq!(unknown.status.code(), Some(4), "{}", text(&unknown));
}
