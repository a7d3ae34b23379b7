//! Three routers of one fleet. A key that stands in the routers' files is taken back by a change of policy.
//! Then one router is killed and started again, some times, while clients with the old key try again at once.

use crate::common::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
/// Threads of each router, as `threads` in its file says.
const THREADS: usize = 4;
const PLAY: Duration = Duration::from_secs(40);

fn policy(key: &str) -> String {
    format!(
        "[class check]\naim = 800ms\naim_per_1000 = 60ms\npatience = 4s\nworth = 1\neffect = safe\n\
         [model check-1]\nclass = check\n[tenant guild]\nkeys = {key}\nquota_per_s = 500\n"
    )
}

fn status(address: SocketAddr, key: &str) -> u16 {
    ask(address, &get("/v1/models", &[("x-api-key", key)]), millis(1_000)).unwrap_or_default().status
}

pub fn run(folder: &str) -> i32 {
    let threads = THREADS;
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
    let clients: Vec<SocketAddr> = (0..ROUTERS).map(|_| free_address()).collect();
    // One operators' port a thread, so a block for each router.
    let operators: Vec<SocketAddr> = (0..ROUTERS).map(|_| free_block(threads as u16)).collect();
    let fleet: Vec<SocketAddr> = (0..ROUTERS).map(|_| free_address()).collect();
    let seeds: Vec<String> = fleet.iter().map(SocketAddr::to_string).collect();
    let start = |at: usize, n: usize| {
        let file = case.folder.join(format!("r{at}.ini"));
        let mut text = format!(
            "[router]\nlisten = {}\noperators = {}\nname = r{at}\nrouters = {}\nzone = a\nthreads = {threads}\n\
             [fleet]\nfleet = review\nlisten = {}\nseeds = {}\nfolder = {}\nfounders = r0, r1, r2\ncut = refuse\n",
            clients[at], operators[at], ROUTERS * threads, fleet[at], seeds.join(", "),
            case.folder.join(format!("kept-{at}")).display(),
        );
        for (number, engine) in engines.iter().enumerate() {
            let role = if number % 2 == 0 { "read" } else { "write" };
            text.push_str(&format!("[engine e{number}]\naddress = {engine}\nrole = {role}\nzone = a\ncell = a1\n"));
        }
        std::fs::write(&file, text + &policy("guild-old")).expect("a settings file");
        let command = format!("exec target/release/slipreel serve --config {}", file.display());
        Process::start(&case, &format!("router-{at}-{n}"), &command, &[])
    };
    let mut routers: Vec<Process> = (0..ROUTERS).map(|at| start(at, 0)).collect();
    if !wait_until(Duration::from_secs(20), || clients.iter().all(|router| status(*router, "guild-old") == 200)) {
        return case.could_not_run("the routers did not agree on their first policy in 20 s");
    }
    let file = case.folder.join("new.ini");
    std::fs::write(&file, policy("guild-new")).expect("a policy file");
    let at = operators[1].to_string();
    let proposed = Command::new("target/release/slipreel")
        .args(["policy", "propose", &file.display().to_string(), "--at", &at, "--id", "take-back"])
        .output();
    let changed = || clients.iter().all(|router| status(*router, "guild-old") == 401 && status(*router, "guild-new") == 200);
    if !wait_until(Duration::from_secs(10), changed) {
        return case.could_not_run(&format!("the key was not taken back: {proposed:?}"));
    }
    record.line("the old key is taken back on all routers");
    sleep(500);
    let (stop, served, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let texts: Arc<Mutex<Vec<String>>> = Arc::default();
    let target = clients[0];
    let hammers: Vec<_> = (0..6)
        .map(|n| {
            let (stop, served, asked, texts, record) = (stop.clone(), served.clone(), asked.clone(), texts.clone(), record.clone());
            std::thread::spawn(move || {
                let body = r#"{"model":"check-1","max_tokens":8,"messages":[{"role":"user","content":"which duty on 8471.30?"}]}"#;
                let request = post("/v1/messages", &[("x-api-key", "guild-old"), ("connection", "close")], body);
                while !stop.load(Ordering::Relaxed) {
                    let Some(answer) = ask(target, &request, millis(6_000)) else {
                        std::thread::sleep(Duration::from_micros(200));
                        continue;
                    };
                    asked.fetch_add(1, Ordering::Relaxed);
                    if answer.status == 200 {
                        served.fetch_add(1, Ordering::Relaxed);
                        let text = answer.text();
                        record.line(format!("client {n} with the key taken back: 200, epoch {:?}: {}", answer.field("x-slipreel-policy"), &text[..text.len().min(120)]));
                        texts.lock().unwrap().push(text);
                    }
                    std::thread::sleep(Duration::from_micros(200));
                }
            })
        })
        .collect();
    let began = Instant::now();
    let mut restarts = 0;
    if !case.trouble {
        std::thread::sleep(Duration::from_secs(20));
    }
    while case.trouble && began.elapsed() < PLAY {
        restarts += 1;
        routers[0].signal(SIGKILL);
        routers[0].wait_for_end();
        sleep(100);
        routers[0] = start(0, restarts);
        let back = wait_until(Duration::from_secs(10), || status(target, "guild-new") == 200);
        record.line(format!("restart {restarts}: serves again: {back}; {} served with the old key so far", served.load(Ordering::Relaxed)));
    }
    stop.store(true, Ordering::Relaxed);
    hammers.into_iter().for_each(|hammer| drop(hammer.join()));
    let served = served.load(Ordering::Relaxed);
    record.say(format!(
        "{restarts} restarts, {} answers to clients with the key taken back, {served} of them served",
        asked.load(Ordering::Relaxed)
    ));
    case.verdict(served > 0, "a router that comes back takes nothing before it has learnt what is in force, whatever its file says")
}
