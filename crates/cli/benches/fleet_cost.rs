//! The cost of `[fleet]` for a router under load: ten router processes, one of them loaded; CPU time per
//! request and p99 of the first token, with and without the section in the loaded router, alternating in one
//! run. The other nine are members in both cases, because in service they would load other machines.
//!
//! `cargo bench -p slipreel-cli --bench fleet_cost [-- RATE SECONDS PAIRS]`; needs Linux's /proc.

use serde_json::Value;
use std::fmt::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_slipreel");
const ROUTERS: usize = 10;

/// A process that is killed when the value is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the program and waits until it listens on the address.
fn start(args: &[&str], address: SocketAddr) -> Process {
    let mut command = Command::new(PROGRAM);
    let process =
        Process(command.args(args).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("a process"));
    let deadline = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < deadline, "nothing listens on {address}");
        std::thread::sleep(Duration::from_millis(20));
    }
    process
}

fn addr(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, 0, host], port))
}

/// The CPU time that all threads of a process have used so far.
fn cpu(process: &Process) -> Duration {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", process.0.id())).expect("threads").flatten();
    let time = |task: PathBuf| -> Option<u64> {
        let text = std::fs::read_to_string(task.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse().ok()
    };
    Duration::from_nanos(tasks.filter_map(|t| time(t.path())).sum())
}

/// Writes the settings of a router and returns the file.
fn settings(folder: &Path, r: usize, fleet: bool) -> PathBuf {
    let host = r as u8 + 1;
    let mut text = format!(
        "[router]\nlisten = {}\noperators = {}\nname = r{r}\nrouters = {ROUTERS}\nzone = west\n\
         [class plain]\naim = 2s\npatience = 8s\nworth = 1\neffect = safe\n[model m]\nclass = plain\n",
        addr(host, 8080),
        addr(host, 9180)
    );
    for (n, role) in ["read", "read", "write", "write"].into_iter().enumerate() {
        let _ = writeln!(
            text,
            "[engine e{n}]\naddress = {}\nrole = {role}\nzone = west\ncell = 1",
            addr(100 + n as u8, 9000)
        );
    }
    if fleet {
        let _ =
            writeln!(text, "[fleet]\nfleet = cost\nlisten = {}\nseeds = {}", addr(host, 7000), addr(2, 7000));
    }
    let file = folder.join(format!("r{r}-{fleet}.ini"));
    std::fs::write(&file, text).expect("a file");
    file
}

/// Runs the load once; returns the CPU time per request in microseconds, p50 and p99 of the first token in
/// milliseconds, and the requests that were not served.
fn measure(folder: &Path, fleet: bool, rate: u32, seconds: u32, seed: usize) -> [f64; 4] {
    let routers: Vec<Process> = (0..ROUTERS)
        .map(|r| {
            let file = settings(folder, r, fleet || r > 0);
            start(&["serve", "--config", file.to_str().expect("a path")], addr(r as u8 + 1, 8080))
        })
        .collect();
    let load = |seconds: u32| -> Value {
        let (target, rate, seconds, seed) =
            (addr(1, 8080).to_string(), rate.to_string(), seconds.to_string(), seed.to_string());
        let out = Command::new(PROGRAM)
            .args(["load", "--json", "--model", "m", "--target", &target, "--rate", &rate])
            .args(["--seconds", &seconds, "--seed", &seed])
            .output()
            .expect("a load");
        serde_json::from_slice(&out.stdout).expect("the report of the load")
    };
    // Warms up connections and engines, and lets the fleet agree on a view.
    load(4);
    let before = cpu(&routers[0]);
    let report = load(seconds);
    let cpu_time = cpu(&routers[0]) - before;
    let number = |path: &str| report.pointer(path).and_then(Value::as_f64).unwrap_or(f64::NAN);
    let asked = number("/asked");
    [
        cpu_time.as_secs_f64() * 1e6 / asked,
        number("/first_ms/p50"),
        number("/first_ms/p99"),
        asked - number("/served"),
    ]
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    let arguments: Vec<u32> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let argument = |index: usize, default: u32| arguments.get(index).copied().unwrap_or(default);
    let (rate, seconds, pairs) = (argument(0, 200), argument(1, 15), argument(2, 5));
    let folder = std::env::temp_dir().join(format!("slipreel-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let engines: Vec<Process> = ["read", "read", "write", "write"]
        .iter()
        .enumerate()
        .map(|(n, role)| {
            let address = addr(100 + n as u8, 9000);
            let listen = address.to_string();
            let args =
                ["standin", "--role", role, "--listen", &listen, "--slots", "256", "--read-per-s", "1000000"];
            start(&[&args[..], &["--step-ms", "1", "--warm"]].concat(), address)
        })
        .collect();
    println!("{ROUTERS} routers, one loaded with {rate} requests a second for {seconds} s");
    println!("{:<9}{:>16}{:>10}{:>10}{:>12}", "", "CPU a request us", "p50 ms", "p99 ms", "not served");
    let mut results = [Vec::new(), Vec::new()];
    for pair in 0..pairs as usize {
        for turn in 0..2 {
            // The order alternates, so that neither case gets the quieter half of the run.
            let fleet = (turn + pair) % 2 == 1;
            let [cpu_time, p50, p99, lost] = measure(&folder, fleet, rate, seconds, pair + 1);
            println!(
                "{:<9}{cpu_time:>16.1}{p50:>10.2}{p99:>10.2}{lost:>12}",
                if fleet { "[fleet]" } else { "without" }
            );
            results[usize::from(fleet)].push([cpu_time, p99]);
        }
    }
    drop(engines);
    let [without, with] =
        results.map(|rows| [0, 1].map(|at| median(rows.iter().map(|r: &[f64; 2]| r[at]).collect())));
    let change = |at: usize| 100.0 * (with[at] / without[at] - 1.0);
    println!("medians: CPU {:+.1}%, p99 {:+.1}%", change(0), change(1));
    let _ = std::fs::remove_dir_all(&folder);
}
