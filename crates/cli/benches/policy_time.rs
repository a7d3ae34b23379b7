//! Policy changes among processes of the built program: the time until the router that got the change reports
//! its outcome, the time until all routers act by it, and the time until a killed router serves again. All
//! processes run on this machine and communicate over loopback.
//!
//! `cargo bench -p slipreel-cli --bench policy_time [-- ROUTERS ...]`

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipreel");
const POLICY: &str = "[class chat]\naim = 1s\n[model m]\nclass = chat\n[tenant t]\nkeys = sk\n";

/// Router processes and their folder, which are removed when the value is dropped.
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

/// A port on a router's loopback address; each process of the benchmark has its own block of addresses.
fn address(r: usize, port: u16) -> SocketAddr {
    let block = (130 + std::process::id() % 100) as u8;
    SocketAddr::from(([127, block, 17, r as u8 + 1], port))
}

/// Writes the settings of router `r` of `n` and starts it.
fn start(folder: &Path, r: usize, n: usize) -> Child {
    let file = folder.join(format!("r{r}.ini"));
    let seeds: Vec<String> = (0..n.min(3)).map(|s| address(s, 7000).to_string()).collect();
    let text = format!(
        "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = {n}\n[fleet]\nlisten = {}\nseeds = {}\nfolder = {}\n\
         founders = r0, r1, r2\n[log]\nlevel = warn\n[engine a]\naddress = 127.0.0.1:9\nrole = both\n{POLICY}",
        address(r, 8080),
        address(r, 9180),
        address(r, 7000),
        seeds.join(", "),
        folder.join(format!("kept{r}")).display()
    );
    std::fs::write(&file, text).expect("a file");
    let mut serve = Command::new(PROGRAM);
    serve.args(["serve", "--until-input-ends", "--config"]).arg(&file);
    serve.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
    serve.spawn().expect("a process")
}

/// Sends an HTTP request; returns the answer, if there is one.
fn http_request(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// The epoch that a router serves by; 0 if it does not serve.
fn served_epoch(r: usize) -> u64 {
    let text = http_request(address(r, 9180), "GET", "/policy/status", "").unwrap_or_default();
    if !text.contains("\"serving\":true") {
        return 0;
    }
    let epoch = text.split_once("\"epoch\":").and_then(|(_, rest)| rest.split([',', '}']).next());
    epoch.and_then(|e| e.parse().ok()).unwrap_or(0)
}

/// Waits until a condition holds; returns how long that took.
fn wait_until(condition: &str, done: impl Fn() -> bool) -> Duration {
    let begin = Instant::now();
    while !done() {
        assert!(begin.elapsed() < Duration::from_secs(60), "{condition}");
        std::thread::sleep(Duration::from_millis(1));
    }
    begin.elapsed()
}

/// The value below which this share of the ascending times lies, milliseconds.
fn quantile_ms(sorted: &[Duration], share: f64) -> u128 {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1].as_millis()
}

/// Measures with `n` routers and prints the results.
fn measure(n: usize) {
    let folder = std::env::temp_dir().join(format!("slipreel-policy-time-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut routers = Routers((0..n).map(|r| start(&folder, r, n)).collect(), folder.clone());
    wait_until("all serve", || (0..n).all(|r| served_epoch(r) > 0));
    // Voters are added one at a time, every few seconds.
    std::thread::sleep(Duration::from_secs(5 + 7 * (n.min(9) as u64 - 3)));
    let (mut outcome_times, mut all_times) = (Vec::new(), Vec::new());
    let changes = 40;
    for change in 0..changes {
        let policy = POLICY.replace("1s", &format!("{}ms", 1_000 + change));
        let begin = Instant::now();
        let proposer = address(change as usize % n, 9180);
        let answer = http_request(proposer, "POST", &format!("/policy/propose/c{change}"), &policy);
        assert!(answer.is_some_and(|a| a.starts_with("HTTP/1.1 202")));
        wait_until("an outcome", || {
            http_request(proposer, "GET", &format!("/policy/status/c{change}"), "")
                .is_some_and(|a| a.contains("in force"))
        });
        outcome_times.push(begin.elapsed());
        wait_until("all act by it", || (0..n).all(|r| served_epoch(r) == change + 2));
        all_times.push(begin.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    outcome_times.sort_unstable();
    all_times.sort_unstable();
    let mut restart_times = Vec::new();
    for _ in 0..5 {
        let last = n - 1;
        routers.0[last].kill().expect("a kill");
        routers.0[last].wait().expect("its end");
        std::thread::sleep(Duration::from_millis(3_500));
        let begin = Instant::now();
        routers.0[last] = start(&folder, last, n);
        wait_until("it serves", || served_epoch(last) > 0);
        restart_times.push(begin.elapsed());
    }
    restart_times.sort_unstable();
    println!(
        "{n} processes, {changes} changes: outcome known p50 {} ms, p99 {} ms; all asked and acting by it p50 {} ms, p99 {} ms; \
         one that was killed serves p50 {} ms, at most {} ms after its start",
        quantile_ms(&outcome_times, 0.5),
        quantile_ms(&outcome_times, 0.99),
        quantile_ms(&all_times, 0.5),
        quantile_ms(&all_times, 0.99),
        quantile_ms(&restart_times, 0.5),
        quantile_ms(&restart_times, 1.0)
    );
}

fn main() {
    let arguments: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if arguments.is_empty() { vec![3, 10, 30] } else { arguments };
    sizes.into_iter().for_each(measure);
}
