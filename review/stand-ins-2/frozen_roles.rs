//! Four stand-in engines, one `serve`, load that wants more writers, and `roles apply`. Operators freeze all
//! changes; then the controller is killed and started again. No engine may be ordered to change.

use crate::common::*;
use std::net::SocketAddr;
use std::process::Command;

/// Role and epoch of each engine as it tells them.
fn roles(engines: &[SocketAddr]) -> Vec<String> {
    let ask_one = |address: &SocketAddr| ask(*address, &get("/role", &[]), millis(1_000)).unwrap_or_default().text();
    engines.iter().map(ask_one).collect()
}

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let engines: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
    let role = |n: usize| if n < 3 { "read" } else { "write" };
    let _engines: Vec<Process> = engines
        .iter()
        .enumerate()
        .map(|(n, address)| {
            let command = format!("exec target/release/slipreel standin --role {} --listen {address} --warm", role(n));
            Process::start(&case, &format!("engine-{n}"), &command, &[])
        })
        .collect();
    let (listen, operators) = (free_address(), free_address());
    let (file, frozen) = (case.folder.join("serve.ini"), case.folder.join("slipreel.frozen"));
    let mut text = format!(
        "[router]\nlisten = {listen}\noperators = {operators}\nname = desk-1\nzone = a\n\
         [class check]\naim = 800ms\npatience = 4s\nworth = 1\neffect = safe\n[model check-1]\nclass = check\n\
         [limits]\nattempts = 4\ncold_time = 1s\n\
         [roles]\npolicy = greedy\nrouters = {operators}\nread_per_s = 20000\nwrite_per_s = 60\nread_places = 8\nwrite_places = 64\n\
         in_flight = 1\nreaders_in_cell = 1\nwriters_in_cell = 1\nin_zone = 1\nleast_time = 2s\ndrain = 1s\nfreeze = {}\n",
        frozen.display()
    );
    for (n, address) in engines.iter().enumerate() {
        text.push_str(&format!("[engine e{n}]\naddress = {address}\nrole = {}\nzone = a\ncell = a1\n", role(n)));
    }
    std::fs::write(&file, text).expect("a settings file");
    let config = file.display().to_string();
    let _router = Process::start(&case, "router", &format!("exec target/release/slipreel serve --config {config}"), &[]);
    let healthy = || ask(listen, &get("/health", &[]), millis(500)).is_some_and(|answer| answer.status == 200);
    if !wait_until(millis(20_000), healthy) {
        return case.could_not_run("the router was not healthy within 20 s");
    }
    let load_record = record.clone();
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stopped = stop.clone();
    let load = std::thread::spawn(move || {
        let body = r#"{"model":"check-1","max_tokens":16,"messages":[{"role":"user","content":"which duty on 8471.30?"}]}"#;
        let (mut n, mut served) = (0, 0);
        while !stopped.load(std::sync::atomic::Ordering::Relaxed) {
            n += 1;
            let session = format!("s-{n}");
            let answer = ask(listen, &post("/v1/messages", &[("x-session-id", &session), ("connection", "close")], body), millis(4_000));
            served += usize::from(answer.is_some_and(|answer| answer.status == 200));
            sleep(50);
        }
        load_record.line(format!("load: {n} requests, {served} served"));
    });
    let before = roles(&engines);
    before.iter().for_each(|role| record.line(format!("an engine tells {role}")));
    let apply = format!("exec target/release/slipreel roles --config {config} apply");
    let mut controller = Process::start(&case, "controller-1", &apply, &[]);
    // The controller runs; it orders nothing on an imbalance younger than 3 s.
    sleep(1_200);
    let freeze = Command::new("target/release/slipreel").args(["roles", "--config", &config, "freeze"]).output();
    let said = freeze.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned()).unwrap_or_default();
    record.say(format!("slipreel roles freeze: {said}"));
    sleep(20_000);
    let held = roles(&engines);
    let first = controller.log_text();
    let orders_1 = first.lines().filter(|line| line.contains("orders ")).count();
    record.say(format!("20 s frozen: {orders_1} orders by the controller; engines unchanged: {}", held == before));
    if held != before || orders_1 > 0 {
        return case.verdict(true, "a controller that runs orders nothing while changes are frozen");
    }
    if case.trouble {
        controller.signal(SIGKILL);
        controller.wait_for_end();
        record.say("the controller is killed and started again; the freeze is still on");
        controller = Process::start(&case, "controller-2", &apply, &[]);
    }
    sleep(25_000);
    let after = roles(&engines);
    after.iter().for_each(|role| record.line(format!("an engine tells {role}")));
    let text = controller.log_text();
    text.lines().for_each(|line| record.line(format!("log of the controller: {line}")));
    let orders = text.lines().filter(|line| line.contains("orders ")).count();
    let changed = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    record.say(format!("{orders} orders logged, {changed} of 4 engines tell another role or epoch; frozen: {}", frozen.exists()));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let _ = load.join();
    case.verdict(changed > 0, "while changes are frozen no engine is ordered to change its role")
}
