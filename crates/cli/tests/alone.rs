//! Without a section `[fleet]`, and in `slipreel node`, membership is off: the process has no thread,
//! datagram socket or listening port for it, and the operators' port has no fleet status.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The longest time in which the threads of a process have to settle after it listens.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Threads count as settled once they are unchanged for this time.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// A process that is killed when the value is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process and waits until it listens on the address.
fn start(command: &mut Command, address: SocketAddr) -> Process {
    let process = Process(command.stderr(Stdio::null()).stdout(Stdio::null()).spawn().expect("a process"));
    let deadline = Instant::now() + Duration::from_secs(20);
    while TcpStream::connect(address).is_err() {
        assert!(Instant::now() < deadline, "it does not listen on {address}");
        std::thread::sleep(Duration::from_millis(20));
    }
    process
}

fn free_ports<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    listeners.map(|l| l.local_addr().expect("an address"))
}

/// What a process uses: the names of its threads, and how many datagram sockets and listening TCP ports it
/// has.
#[derive(Debug)]
struct Resources {
    threads: Vec<String>,
    datagrams: usize,
    listens: usize,
}

fn resources(process: &Process) -> Resources {
    let proc = PathBuf::from(format!("/proc/{}", process.0.id()));
    let entries = |folder: &str| std::fs::read_dir(proc.join(folder)).expect("a folder").flatten();
    let mut threads: Vec<String> = entries("task")
        .filter_map(|t| std::fs::read_to_string(t.path().join("comm")).ok())
        .map(|name| name.trim().to_owned())
        .collect();
    threads.sort();
    let inodes: Vec<String> = entries("fd")
        .filter_map(|fd| std::fs::read_link(fd.path()).ok())
        .filter_map(|to| Some(to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let count_sockets = |name: &str, state: Option<&str>| {
        let text = std::fs::read_to_string(proc.join("net").join(name)).expect("a table");
        let rows = text.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
        let is_own = |row: &Vec<&str>| inodes.iter().any(|i| row.get(9) == Some(&i.as_str()));
        rows.filter(is_own).filter(|row| state.is_none_or(|s| row.get(3) == Some(&s))).count()
    };
    let listening = Some("0A");
    Resources {
        threads,
        datagrams: count_sockets("udp", None) + count_sockets("udp6", None),
        listens: count_sockets("tcp", listening) + count_sockets("tcp6", listening),
    }
}

/// Reads the resources of a process once its threads have settled. A process listens before all of its
/// threads run, a thread has the program's name until it sets its own, and some threads end at once: a list
/// that is read too early shows unnamed, missing or extra threads on a busy machine.
fn settled_resources(process: &Process) -> Resources {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    let mut unchanged_since = Instant::now();
    let mut current = resources(process);
    loop {
        let unnamed = current.threads.iter().filter(|name| *name == "slipreel").count();
        if unnamed == 1 && unchanged_since.elapsed() >= SETTLE_TIME {
            return current;
        }
        assert!(Instant::now() < deadline, "its threads do not settle: {current:?}");
        std::thread::sleep(Duration::from_millis(20));
        let previous = std::mem::replace(&mut current, resources(process));
        if previous.threads != current.threads {
            unchanged_since = Instant::now();
        }
    }
}

fn serve(folder: &Path, name: &str, [listen, operators]: [SocketAddr; 2], fleet: &str) -> Process {
    let sample = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/slipreel.ini");
    let sample = std::fs::read_to_string(sample).expect("the sample");
    let text = sample
        .replace("127.0.0.1:8080", &listen.to_string())
        .replace("127.0.0.1:9180", &operators.to_string());
    let file = folder.join(format!("{name}.ini"));
    std::fs::write(&file, text + fleet).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_slipreel"));
    start(command.arg("serve").arg("--config").arg(file), listen)
}

/// The HTTP status of the answer to a request for the fleet's status.
fn fleet_status_code(operators: SocketAddr) -> String {
    let mut stream = TcpStream::connect(operators).expect("the operators' port");
    let sent = stream.write_all(b"GET /fleet/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let mut answer = String::new();
    sent.and_then(|()| stream.read_to_string(&mut answer)).expect("an answer");
    answer.get(9..12).unwrap_or("").to_owned()
}

#[test]
fn membership_is_off_without_its_section_and_in_node() {
    let folder = std::env::temp_dir().join(format!("slipreel-alone-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let ports: [SocketAddr; 8] = free_ports();

    // With the section all of it exists, so that the checks below are able to fail.
    let section = format!("\n[fleet]\nfleet = test\nlisten = {}\n", ports[2]);
    let member = serve(&folder, "member", [ports[0], ports[1]], &section);
    let with = settled_resources(&member);
    assert_eq!(fleet_status_code(ports[1]), "200");
    assert!(with.threads.iter().any(|t| t == "fleet") && with.datagrams == 1, "{with:?}");
    drop(member);

    let alone = serve(&folder, "alone", [ports[3], ports[4]], "");
    let without = settled_resources(&alone);
    assert_eq!(fleet_status_code(ports[4]), "404");
    assert_eq!((without.datagrams, without.listens + 1), (0, with.listens), "{without:?} {with:?}");
    assert_eq!(without.threads.len() + 1, with.threads.len(), "{without:?} {with:?}");
    drop(alone);

    let config = format!(
        r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":512}},"known":null,
        "settings":{{"balancers":1,"azs":["a"],"zone":0,"tick":4.0,"host_types":["reads","writes"],
          "classes":[{{"name":"chat","target":1000.0,"worth":1.0,"idempotency":"safe","streaming":true}}],
          "customers":[{{"name":"acme","quota_per_s":500.0}}],
          "extra":{{"role_by_kind":["read","write"],"let_go_by":500.0}},
          "limits":{{"cancelling":true,"may_probe":true,"retry_after":true,"max_retry_after":2000.0,"send_cap":4,
                    "connect_timeout":250.0,"idle_close":30000.0}}}}}}"#,
        ports[5], ports[6]
    );
    let file = folder.join("node.json");
    std::fs::write(&file, config).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_slipreel"));
    let node = start(command.arg("node").env("LB_CONFIG", &file), ports[5]);
    let node_resources = settled_resources(&node);
    assert_eq!((node_resources.datagrams, node_resources.listens), (0, 1), "{node_resources:?}");
    assert_eq!(node_resources.threads, ["signals", "slipreel"]);
    drop(node);
    let _ = std::fs::remove_dir_all(&folder);
}
