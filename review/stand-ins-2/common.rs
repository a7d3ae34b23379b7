//! What all cases need: a record, processes that end with the test, a small HTTP client, socket options.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn bind(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

pub fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep(n: u64) {
    std::thread::sleep(millis(n));
}

/// The record of a run: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.began.elapsed().as_secs_f64(), text.as_ref());
    }

    /// A line for the record and for standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// The temporary folder of the case that runs.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Removes the temporary folder of the case that runs.
pub fn remove_folder() {
    if let Some(folder) = FOLDER.lock().ok().and_then(|mut folder| folder.take()) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// The run of one case.
pub struct Case {
    pub record: Record,
    pub trouble: bool,
    pub folder: PathBuf,
}

impl Case {
    /// `folder` is that of the case, as `review/6`.
    pub fn open(folder: &str) -> Case {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::open(&Path::new(folder).join("record.txt"));
        let name = format!("slipreel-{}-{}", folder.replace('/', "-"), std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        if let Ok(mut kept) = FOLDER.lock() {
            *kept = Some(folder.clone());
        }
        record.say(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
        Case { record, trouble, folder }
    }

    /// Ends with 1 if the rule was broken, 0 if it held.
    pub fn verdict(&self, broken: bool, text: &str) -> i32 {
        self.record.say(format!("{}: {text}", if broken { "BROKEN" } else { "held" }));
        i32::from(broken)
    }

    /// Ends with 2: the case could not run.
    pub fn could_not_run(&self, why: &str) -> i32 {
        self.record.say(format!("could not run: {why}"));
        2
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A process that is killed when the value is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    pub log: PathBuf,
}

impl Process {
    /// Starts `command` by a shell, from the root of the repository.
    pub fn start(case: &Case, name: &str, command: &str, variables: &[(&str, &str)]) -> Process {
        let log = case.folder.join(format!("{name}.log"));
        let file = File::create(&log).expect("a log file");
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).stdin(Stdio::null());
        shell.stdout(file.try_clone().expect("a log file")).stderr(file);
        variables.iter().for_each(|(name, value)| {
            shell.env(name, value);
        });
        // It ends with this process, also when that is killed. Processes are started by the main thread alone.
        unsafe {
            shell.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = shell.spawn().expect("a process");
        case.record.line(format!("started {name} (process {}): {command}", child.id()));
        Process { name: name.into(), child, log }
    }

    pub fn signal(&self, signal: i32) {
        // The process was started by this test and is not waited for yet, so its id is not used again.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn wait_for_end(&mut self) -> Option<i32> {
        self.child.wait().ok().and_then(|status| status.code())
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) << 10
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("a line run");
    line["run = ".len()..].trim().trim_matches('"').to_owned()
}

/// A loopback address whose port neither TCP nor UDP uses. It lies below the ports that the system gives to
/// clients, so that none of them takes it while its process is down.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 137;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + (n % 12_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// The first of some consecutive loopback ports that are free.
pub fn free_block(length: u16) -> SocketAddr {
    loop {
        let block: Vec<SocketAddr> = (0..length).map(|_| free_address()).collect();
        if block.windows(2).all(|pair| pair[1].port() == pair[0].port() + 1) {
            return block[0];
        }
    }
}

/// An answer of an HTTP server.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the message came to its end.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Decodes one message from all bytes received so far. `None`: its head is not here yet.
pub fn decode(bytes: &[u8]) -> Option<(String, Answer)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let mut answer = Answer::default();
    answer.status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            answer.fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut rest = &bytes[end + 4..];
    if answer.field("transfer-encoding") == "chunked" {
        loop {
            let Some(line) = rest.windows(2).position(|window| window == b"\r\n") else { break };
            let size = String::from_utf8_lossy(&rest[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or_default(), 16) else { break };
            if rest.len() < line + 2 + size + 2 {
                let here = (line + 2).min(rest.len());
                answer.body.extend_from_slice(&rest[here..(here + size).min(rest.len())]);
                break;
            }
            answer.body.extend_from_slice(&rest[line + 2..line + 2 + size]);
            rest = &rest[line + 2 + size + 2..];
            if size == 0 {
                answer.whole = true;
                break;
            }
        }
    } else {
        let length = answer.field("content-length").parse().unwrap_or(0);
        answer.body.extend_from_slice(&rest[..rest.len().min(length)]);
        answer.whole = rest.len() >= length;
    }
    Some((first, answer))
}

/// Sends a request on a new connection and reads its answer. `None`: no answer in this time.
pub fn ask(address: SocketAddr, request: &[u8], within: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).ok()?;
    read_answer(&mut stream, within)
}

/// Reads one answer. `None`: no answer, or not its head, in this time.
pub fn read_answer(stream: &mut TcpStream, within: Duration) -> Option<Answer> {
    let deadline = Instant::now() + within;
    let (mut bytes, mut buffer) = (Vec::new(), [0; 16384]);
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left.max(millis(1)))).ok()?;
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
        if decode(&bytes).is_some_and(|(_, answer)| answer.whole) {
            break;
        }
    }
    decode(&bytes).map(|(_, answer)| answer)
}

pub fn get(path: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("GET {path} HTTP/1.1\r\nhost: review\r\n");
    fields.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("connection: close\r\n\r\n");
    text.into_bytes()
}

pub fn post(path: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("POST {path} HTTP/1.1\r\nhost: review\r\ncontent-type: application/json\r\n");
    fields.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}

/// Waits until a condition holds.
pub fn wait_until(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        sleep(20);
    }
    false
}

/// A connection like that of a client on an Ethernet link with a small receive buffer: segments of 1460
/// bytes in place of the 64 KiB of the loopback interface, and from a loopback address of its own, for which
/// the system has kept no figures of earlier connections.
pub fn connect_as_remote(address: SocketAddr, from: Ipv4Addr, receive_buffer: i32) -> Option<TcpStream> {
    use std::os::fd::FromRawFd;
    let SocketAddr::V4(v4) = address else { return None };
    let target = SockAddrIn {
        family: 2,
        port: v4.port().to_be_bytes(),
        address: v4.ip().octets(),
        zero: [0; 8],
    };
    let source = SockAddrIn { family: 2, port: [0, 0], address: from.octets(), zero: [0; 8] };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let mss = 1460;
        if setsockopt(fd, 6, 2, &mss, 4) != 0 || setsockopt(fd, 1, 8, &receive_buffer, 4) != 0 {
            return None;
        }
        if bind(fd, &source, 16) != 0 {
            return None;
        }
        (connect(stream.as_raw_fd(), &target, 16) == 0).then_some(stream)
    }
}

/// A sequence of numbers that look random, the same in each run with the same seed.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}
