//! Changes of policy with processes of the built program and faults between them, judged by the stamps in the
//! traffic; and the commands that operators use.

mod common;

use common::{hold, PROGRAM};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Some thirty processes at a time; two minutes in all.
#[test]
fn processes_agree_on_a_policy_through_faults() {
    hold(&[
        ("policy-leader", 1),
        ("policy-stop", 1),
        ("policy-cut", 1),
        ("policy-most", 1),
        ("policy-disks", 1),
        ("policy-restarts", 1),
    ]);
    hold(&[
        ("policy-five", 1),
        ("policy-five", 2),
        ("policy-five", 3),
        ("policy-five", 4),
        ("policy-gone", 1),
        ("policy-serve", 1),
        ("policy-behind", 1),
    ]);
}

/// Ended with the test, whatever happens.
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

/// Three routers with addresses of their own, and a folder for files.
fn three() -> Routers {
    let folder = std::env::temp_dir().join(format!("slipreel-policy-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut routers = Routers(Vec::new(), folder.clone());
    for r in 0..3 {
        let file = folder.join(format!("r{r}.ini"));
        let text = format!(
            "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = 3\n[fleet]\nlisten = {}\nseeds = {}, {}, {}\nfolder = {}\n\
             founders = r0, r1, r2\n[engine a]\naddress = 127.0.0.1:9\nrole = both\n{POLICY}",
            at(r, 8080), at(r, 9180), at(r, 7000), at(0, 7000), at(1, 7000), at(2, 7000),
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

/// A block of loopback addresses of this process's own.
fn at(r: usize, port: u16) -> String {
    let block = 130 + std::process::id() % 100;
    format!("127.{block}.9.{}:{port}", r + 1)
}

fn policy(args: &[&str]) -> Output {
    Command::new(PROGRAM).arg("policy").args(args).output().expect("it runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn operators_see_change_and_roll_back_with_exit_codes() {
    let mut routers = three();
    let ports: Vec<String> = (0..3).map(|r| at(r, 9180)).collect();
    let end = Instant::now() + Duration::from_secs(20);
    while !text(&policy(&["status", "--json", "--at", &ports[2]])).contains("\"serving\":true") {
        assert!(Instant::now() < end, "no policy: {}", text(&policy(&["status", "--at", &ports[2]])));
        std::thread::sleep(Duration::from_millis(50));
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
        "sent twice it is one"
    );

    // A second process on a folder would vote with the first one's promises.
    let second = Command::new(PROGRAM).args(["serve", "--config"]).arg(routers.1.join("r0.ini")).output();
    let second = second.expect("it runs");
    assert!(
        !second.status.success() && text(&second).contains("another process uses it"),
        "{}",
        text(&second)
    );

    // One engine is all there is: a policy without it is no policy for any of them.
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

    // Without a majority nothing changes, and whoever asks is told that it is not known.
    for child in &mut routers.0[1..] {
        child.kill().expect("a kill");
    }
    std::fs::write(&file, POLICY).expect("a file");
    let unknown = policy(&["propose", name, "--id", "three", "--wait", "500ms", "--at", &ports[0]]);
    assert_eq!(unknown.status.code(), Some(4), "{}", text(&unknown));
}
