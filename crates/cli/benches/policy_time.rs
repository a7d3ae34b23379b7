//! A change of policy among processes of the built program: how long until the router that was asked says so and until all act by it, and how fast one
//! that was killed is ready again: `cargo bench -p slipreel-cli --bench policy_time [-- ROUTERS ...]`. Loopback, all on this machine.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipreel");
const POLICY: &str = "[class chat]\naim = 1s\n[model m]\nclass = chat\n[tenant t]\nkeys = sk\n";

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

fn at(r: usize, port: u16) -> SocketAddr {
    let block = (130 + std::process::id() % 100) as u8;
    SocketAddr::from(([127, block, 17, r as u8 + 1], port))
}

fn start(folder: &Path, r: usize, n: usize) -> Child {
    let file = folder.join(format!("r{r}.ini"));
    let seeds: Vec<String> = (0..n.min(3)).map(|s| at(s, 7000).to_string()).collect();
    let text = format!(
        "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = {n}\n[fleet]\nlisten = {}\nseeds = {}\nfolder = {}\n\
         founders = r0, r1, r2\n[log]\nlevel = warn\n[engine a]\naddress = 127.0.0.1:9\nrole = both\n{POLICY}",
        at(r, 8080),
        at(r, 9180),
        at(r, 7000),
        seeds.join(", "),
        folder.join(format!("kept{r}")).display()
    );
    std::fs::write(&file, text).expect("a file");
    let mut serve = Command::new(PROGRAM);
    serve.args(["serve", "--until-input-ends", "--config"]).arg(&file);
    serve.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
    serve.spawn().expect("a process")
}

fn call(to: SocketAddr, method: &str, path: &str, said: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{said}",
        said.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

fn acts_by(r: usize) -> u64 {
    let text = call(at(r, 9180), "GET", "/policy/status", "").unwrap_or_default();
    if !text.contains("\"serving\":true") {
        return 0;
    }
    let epoch = text.split_once("\"epoch\":").and_then(|(_, rest)| rest.split([',', '}']).next());
    epoch.and_then(|e| e.parse().ok()).unwrap_or(0)
}

fn until(what: &str, done: impl Fn() -> bool) -> Duration {
    let begin = Instant::now();
    while !done() {
        assert!(begin.elapsed() < Duration::from_secs(60), "{what}");
        std::thread::sleep(Duration::from_millis(1));
    }
    begin.elapsed()
}

fn share(sorted: &[Duration], share: f64) -> u128 {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1].as_millis()
}

fn measure(n: usize) {
    let folder = std::env::temp_dir().join(format!("slipreel-policy-time-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut routers = Routers((0..n).map(|r| start(&folder, r, n)).collect(), folder.clone());
    until("all serve", || (0..n).all(|r| acts_by(r) > 0));
    // Voters join, one each few seconds.
    std::thread::sleep(Duration::from_secs(5 + 7 * (n.min(9) as u64 - 3)));
    let (mut told, mut all) = (Vec::new(), Vec::new());
    let changes = 40;
    for change in 0..changes {
        let policy = POLICY.replace("1s", &format!("{}ms", 1_000 + change));
        let begin = Instant::now();
        let to = at(change as usize % n, 9180);
        let answer = call(to, "POST", &format!("/policy/propose/c{change}"), &policy);
        assert!(answer.is_some_and(|a| a.starts_with("HTTP/1.1 202")));
        until("an outcome", || {
            call(to, "GET", &format!("/policy/status/c{change}"), "").is_some_and(|a| a.contains("in force"))
        });
        told.push(begin.elapsed());
        until("all act by it", || (0..n).all(|r| acts_by(r) == change + 2));
        all.push(begin.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    told.sort_unstable();
    all.sort_unstable();
    let mut ready = Vec::new();
    for _ in 0..5 {
        let last = n - 1;
        routers.0[last].kill().expect("a kill");
        routers.0[last].wait().expect("its end");
        std::thread::sleep(Duration::from_millis(3_500));
        let begin = Instant::now();
        routers.0[last] = start(&folder, last, n);
        until("it serves", || acts_by(last) > 0);
        ready.push(begin.elapsed());
    }
    ready.sort_unstable();
    println!(
        "{n} processes, {changes} changes: outcome known p50 {} ms, p99 {} ms; all asked and acting by it p50 {} ms, p99 {} ms; \
         one that was killed serves p50 {} ms, at most {} ms after its start",
        share(&told, 0.5),
        share(&told, 0.99),
        share(&all, 0.5),
        share(&all, 0.99),
        share(&ready, 0.5),
        share(&ready, 1.0)
    );
}

fn main() {
    let given: Vec<usize> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let sizes = if given.is_empty() { vec![3, 10, 30] } else { given };
    sizes.into_iter().for_each(measure);
}
