//! Three routers of one fleet. A roll-out gives each change of the policy together with a SIGHUP to each
//! router, as its own file has changed too. After a change is in force, each router has to act by it.

use crate::common::*;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

const ROUTERS: usize = 3;
/// How long after a change is known to be in force on all routers they are judged. The overlap of two
/// policies is 0.1 s by the page.
const SETTLE: u64 = 250;
/// How long changes are made.
const PLAY: Duration = Duration::from_secs(80);

struct Router {
    clients: SocketAddr,
    operators: SocketAddr,
    fleet: SocketAddr,
    file: std::path::PathBuf,
    process: Option<Process>,
}

/// The policy of the n-th change: the key of `guild` is another one in each.
fn policy(n: usize) -> String {
    let mut text = String::from(
        "[class check]\naim = 800ms\naim_per_1000 = 60ms\npatience = 4s\nworth = 1\neffect = safe\n\
         [model check-1]\nclass = check\n",
    );
    text.push_str(&format!("[tenant guild]\nkeys = guild-{n}\nquota_per_s = 50\n"));
    for member in 0..120 {
        text.push_str(&format!("[tenant member-{member}]\nkeys = key-{member}-a, key-{member}-b\nquota_per_s = 5\n"));
    }
    text
}

/// A router's own file. `n` changes a key of its own: how long a client may be idle.
fn settings(routers: &[Router], at: usize, engines: &[SocketAddr], n: usize, folder: &std::path::Path) -> String {
    let me = &routers[at];
    let seeds: Vec<String> = routers.iter().map(|router| router.fleet.to_string()).collect();
    let mut text = format!(
        "[router]\nlisten = {}\noperators = {}\nname = r{at}\nrouters = {ROUTERS}\nzone = a\n\
         [bounds]\nclient_idle = {}s\n\
         [fleet]\nfleet = review\nlisten = {}\nseeds = {}\nfolder = {}\nfounders = r0, r1, r2\ncut = refuse\n",
        me.clients,
        me.operators,
        50 + n % 10,
        me.fleet,
        seeds.join(", "),
        folder.join(format!("kept-{at}")).display(),
    );
    for (number, engine) in engines.iter().enumerate() {
        let role = if number % 2 == 0 { "read" } else { "write" };
        text.push_str(&format!("[engine e{number}]\naddress = {engine}\nrole = {role}\nzone = a\ncell = a1\n"));
    }
    text + &policy(0)
}

/// The status of an answer to a request with this key, and the epoch that the router stamped on it.
fn with_key(router: &Router, key: &str) -> (u16, String) {
    let answer = ask(router.clients, &get("/v1/models", &[("x-api-key", key)]), millis(1_000)).unwrap_or_default();
    (answer.status, answer.field("x-slipreel-policy").to_owned())
}

fn message(router: &Router, key: &str) -> (u16, String) {
    let body = r#"{"model":"check-1","max_tokens":8,"messages":[{"role":"user","content":"which duty on 8471.30?"}]}"#;
    let request = post("/v1/messages", &[("x-api-key", key), ("connection", "close")], body);
    let answer = ask(router.clients, &request, millis(6_000)).unwrap_or_default();
    (answer.status, answer.text())
}

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let engines: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
    let _engines: Vec<Process> = engines
        .iter()
        .enumerate()
        .map(|(n, address)| {
            let role = if n % 2 == 0 { "read" } else { "write" };
            let command = format!("exec target/release/slipreel standin --role {role} --listen {address} --warm");
            Process::start(&case, &format!("engine-{n}"), &command, &[])
        })
        .collect();
    let mut routers: Vec<Router> = (0..ROUTERS)
        .map(|at| Router {
            clients: free_address(),
            operators: free_address(),
            fleet: free_address(),
            file: case.folder.join(format!("r{at}.ini")),
            process: None,
        })
        .collect();
    for at in 0..ROUTERS {
        let text = settings(&routers, at, &engines, 0, &case.folder);
        std::fs::write(&routers[at].file, text).expect("a settings file");
        let command = format!("exec target/release/slipreel serve --config {}", routers[at].file.display());
        routers[at].process = Some(Process::start(&case, &format!("router-{at}"), &command, &[]));
    }
    let serves = |router: &Router| with_key(router, "guild-0").0 == 200;
    if !wait_until(Duration::from_secs(20), || routers.iter().all(serves)) {
        return case.could_not_run("the routers did not agree on their first policy in 20 s");
    }
    record.line("all routers serve by the first policy");
    let mut numbers = Numbers(0x9e37_79b9 ^ u64::from(std::process::id()) << 20);
    let (mut changes, mut stale) = (0, 0);
    let mut n = 0;
    while record.elapsed() < PLAY && stale < 1 {
        n += 1;
        let file = case.folder.join("new.ini");
        std::fs::write(&file, policy(n)).expect("a policy file");
        if case.trouble {
            for at in 0..ROUTERS {
                let text = settings(&routers, at, &engines, n, &case.folder);
                let new = routers[at].file.with_extension("new");
                std::fs::write(&new, text).expect("a settings file");
                std::fs::rename(&new, &routers[at].file).expect("a settings file");
            }
        }
        let at = routers[n % ROUTERS].operators.to_string();
        let propose = Command::new("target/release/slipreel")
            .args(["policy", "propose", &file.display().to_string(), "--at", &at, "--id", &format!("change-{n}")])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let Ok(mut propose) = propose else { return case.could_not_run("slipreel policy can't be started") };
        if case.trouble {
            sleep(15 + numbers.below(50));
            routers.iter().filter_map(|router| router.process.as_ref()).for_each(|process| process.signal(SIGHUP));
            record.line(format!("change {n}: proposed, and SIGHUP to each router"));
        }
        let code = propose.wait().ok().and_then(|status| status.code());
        if code != Some(0) {
            record.line(format!("change {n}: `policy propose` ended with {code:?}"));
            continue;
        }
        changes += 1;
        let in_force = wait_until(Duration::from_secs(5), || {
            routers.iter().all(|router| {
                let path = format!("/policy/status/change-{n}");
                let answer = ask(router.operators, &get(&path, &[]), millis(1_000)).unwrap_or_default();
                answer.text().contains("\"in force\"")
            })
        });
        if !in_force {
            record.line(format!("change {n}: not told as in force by all within 5 s"));
            continue;
        }
        sleep(SETTLE);
        for (at, router) in routers.iter().enumerate() {
            let (old, old_epoch) = with_key(router, &format!("guild-{}", n - 1));
            let (new, new_epoch) = with_key(router, &format!("guild-{n}"));
            if old == 200 || new == 401 {
                stale += 1;
                record.say(format!(
                    "change {n}: r{at} answers {old} (epoch {old_epoch}) to the key taken back and {new} (epoch {new_epoch}) \
                     to the one in force, {SETTLE} ms after all routers told that the change is in force"
                ));
                let (status, text) = message(router, &format!("guild-{}", n - 1));
                record.say(format!("  a message with the key taken back: {status} {}", &text[..text.len().min(200)]));
                sleep(3_000);
                let later = with_key(router, &format!("guild-{}", n - 1));
                record.say(format!("  the key taken back, three seconds later: {} (epoch {})", later.0, later.1));
                let status = ask(router.operators, &get("/policy/status", &[]), millis(1_000)).unwrap_or_default();
                record.say(format!("  its policy status: {}", status.text()));
            }
        }
    }
    record.say(format!("{changes} changes in force, {stale} times a router went on by the policy before"));
    for (at, router) in routers.iter().enumerate() {
        let Some(process) = &router.process else { continue };
        for line in process.log_text().lines().filter(|line| line.contains("policy:") || line.contains("read again")).rev().take(12) {
            record.line(format!("log of r{at} (latest first): {line}"));
        }
    }
    if changes == 0 {
        return case.could_not_run("no change came into force");
    }
    case.verdict(stale > 0, "after a change is in force, no router acts by the policy before it")
}
