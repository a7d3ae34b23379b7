//! A run with processes of the built program over loopback: the routers are started, signalled and ended by their ids; wire, engines and
//! clients are threads of this process. Whatever happens, no process is left.

use crate::history::said_of_json;
use crate::history::{PolicySight, Sight};
use crate::own;
use crate::run::{Director, Outcome, Stage, LEAD};
use crate::script::{Propose, Script, Wish};
use crate::wire::{Link, Links, Noise, Wire};
use rustix::process::{kill_process, Pid, Signal};
use slipreel_event_loop::{Clock, Command as Tell, EventLoop, EventLoopHandle, MachineId};
use slipreel_invariants::policy::ChangeStatus;
use slipreel_state_machine::Machine;
use slipreel_test_servers::client::Clients;
use slipreel_test_servers::engine::Engine;
use slipreel_test_servers::ledger::Ledger;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

/// Set by whoever interrupts a run: it ends soon, and its processes with it.
pub type Interrupt = Arc<AtomicBool>;

/// A router that does not tell its view by then counts as not answering.
const ANSWER: Duration = Duration::from_millis(400);
/// A process has to answer its operators' port by then after its start.
const START: Duration = Duration::from_secs(10);
/// One that was told to end is killed after so long.
const END: Duration = Duration::from_secs(10);
/// Blocks of addresses that are tried for one that nobody uses.
const BLOCKS: u64 = 55;

/// A process that is ended whatever happens.
struct Process(Child);

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw) {
            // One that has ended already needs no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder that is removed at the end.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

static RUNS: AtomicU64 = AtomicU64::new(0);

struct Processes<'a> {
    script: &'a Script,
    program: &'a Path,
    clock: Clock,
    block: u8,
    scratch: Scratch,
    routers: Vec<Option<Process>>,
    /// Those that were told to end and may still run.
    leaving: Vec<(usize, Process)>,
    twins: Vec<Option<Process>>,
    odd_seeds: Vec<bool>,
    engines: Vec<SocketAddr>,
    wire: EventLoopHandle<Wire>,
    clients: Option<JoinHandle<Vec<Clients>>>,
    interrupt: &'a Interrupt,
}

impl Processes<'_> {
    fn addr(&self, r: usize, port: u16) -> SocketAddr {
        addr(self.block, r, port)
    }

    fn folder_of(&self, r: usize) -> PathBuf {
        self.scratch.0.join(format!("r{r}"))
    }

    /// Writes a router's settings and book.
    fn write(&self, r: usize, home: &Path, listen: [SocketAddr; 3], by_wire: bool) -> std::io::Result<()> {
        let n = self.script.routers;
        let way = |to: usize| if by_wire { wire_addr(self.block, r, to) } else { self.addr(to, 7000) };
        let seeds = (0..n).filter(|to| *to != r && (!by_wire || *to < self.script.seeds));
        let mut seeds: Vec<SocketAddr> = seeds.map(way).collect();
        if self.odd_seeds[r] {
            seeds.push(SocketAddr::from(([127, 0, 0, 1], 1)));
        }
        let [clients, operators, fleet] = listen;
        let (folder, book) = (home.join("kept"), home.join("book"));
        if by_wire {
            let lines = (0..n).filter(|to| *to != r).map(|to| format!("r{to} = {}\n", way(to)));
            std::fs::write(&book, lines.collect::<String>())?;
        }
        let book = by_wire.then_some(book.as_path());
        let own =
            own::Own { clients, operators, fleet, seeds, folder: &folder, book, engines: &self.engines };
        let text = own::settings(self.script, r, &own);
        std::fs::write(home.join("settings.ini"), text)
    }

    /// Waits for a router that was told to end: it may hold its addresses for as long as its requests last.
    fn await_end(&mut self, r: usize) {
        let until = self.clock.now() + END;
        while let Some(at) = self.leaving.iter().position(|(of, _)| *of == r) {
            let ended = !matches!(self.leaving[at].1 .0.try_wait(), Ok(None));
            if ended || self.clock.now() > until || self.interrupt.load(Ordering::Relaxed) {
                self.leaving.swap_remove(at);
            } else {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn spawn(&self, home: &Path) -> std::io::Result<Process> {
        let log = std::fs::File::options().create(true).append(true).open(home.join("log"))?;
        let child = Command::new(self.program)
            .args(["serve", "--until-input-ends", "--config"])
            .arg(home.join("settings.ini"))
            // Held by this process: the routers end with it even if it is killed.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Process(child))
    }

    fn log(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for r in 0..self.script.routers {
            for home in [self.folder_of(r), self.folder_of(r).join("twin")] {
                let text = std::fs::read_to_string(home.join("log")).unwrap_or_default();
                lines.extend(text.lines().map(|l| format!("r{r}: {l}")));
            }
        }
        lines
    }
}

fn addr(block: u8, r: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, block, 0, r as u8 + 1], port))
}

fn wire_addr(block: u8, from: usize, to: usize) -> SocketAddr {
    SocketAddr::from(([127, block + 1, from as u8 + 1, to as u8 + 1], 7000))
}

/// Asks a router's operators' port; gives status and body.
fn call(at: SocketAddr, method: &str, path: &str, said: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&at, ANSWER).ok()?;
    stream.set_read_timeout(Some(ANSWER)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{said}",
        said.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.take(4 << 20).read_to_string(&mut text).ok()?;
    let status = text.get(9..12)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_owned()))
}

/// Asks a router's operators' port for its view.
fn ask(at: SocketAddr) -> Option<Sight> {
    Sight::of_json(&call(at, "GET", "/fleet/status", "")?.1)
}

impl Stage for Processes<'_> {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn until(&mut self, at: Duration) -> bool {
        while !self.interrupt.load(Ordering::Relaxed) {
            let left = at.saturating_sub(self.clock.now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(Duration::from_millis(50)));
        }
        false
    }

    fn start(&mut self, r: usize, fresh: bool) -> Result<(), String> {
        let home = self.folder_of(r);
        let text = |e: std::io::Error| format!("r{r}: {e}");
        std::fs::create_dir_all(&home).map_err(text)?;
        if fresh {
            let _ = std::fs::remove_dir_all(home.join("kept"));
        }
        let listen = [self.addr(r, 8080), self.addr(r, 9180), self.addr(r, 7000)];
        self.write(r, &home, listen, true).map_err(text)?;
        self.await_end(r);
        self.routers[r] = Some(self.spawn(&home).map_err(text)?);
        let until = self.clock.now() + START;
        loop {
            if TcpStream::connect_timeout(&listen[1], ANSWER).is_ok() {
                return Ok(());
            }
            let ended = self.routers[r].as_mut().is_some_and(|p| !matches!(p.0.try_wait(), Ok(None)));
            if ended || self.clock.now() > until || self.interrupt.load(Ordering::Relaxed) {
                let log = std::fs::read_to_string(home.join("log")).unwrap_or_default();
                return Err(format!("r{r} does not start: {}", log.lines().last().unwrap_or("no word")));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn kill(&mut self, r: usize) {
        self.routers[r] = None;
    }

    fn leave(&mut self, r: usize) {
        if let Some(process) = self.routers[r].take() {
            process.signal(Signal::TERM);
            self.leaving.push((r, process));
        }
    }

    fn freeze(&mut self, r: usize, still: bool) {
        if let Some(process) = &self.routers[r] {
            process.signal(if still { Signal::STOP } else { Signal::CONT });
        }
    }

    fn twin(&mut self, r: usize, runs: bool) -> Result<(), String> {
        self.twins[r] = None;
        if runs {
            let home = self.folder_of(r).join("twin");
            let text = |e: std::io::Error| format!("second r{r}: {e}");
            let _ = std::fs::remove_dir_all(home.join("kept"));
            std::fs::create_dir_all(&home).map_err(text)?;
            let listen = [8081, 9181, 7001].map(|port| self.addr(r, port));
            self.write(r, &home, listen, false).map_err(text)?;
            self.twins[r] = Some(self.spawn(&home).map_err(text)?);
        }
        Ok(())
    }

    fn folder(&mut self, r: usize, gone: bool) {
        let kept = self.folder_of(r).join("kept");
        // A file where the folder should be: nothing can be written there, whoever asks.
        let _ = if gone {
            std::fs::remove_dir_all(&kept).and_then(|()| std::fs::write(&kept, "in the way"))
        } else {
            std::fs::remove_file(&kept)
        };
    }

    fn reload(&mut self, r: usize) {
        self.odd_seeds[r] ^= true;
        let listen = [8080, 9180, 7000].map(|port| self.addr(r, port));
        if self.write(r, &self.folder_of(r), listen, true).is_ok() {
            if let Some(process) = &self.routers[r] {
                process.signal(Signal::HUP);
            }
        }
    }

    fn links(&mut self, links: Vec<(usize, usize, Link)>) {
        self.wire.send(Tell::Message(MachineId(0), Arc::new(Arc::new(Links(links)))));
    }

    fn noise(&mut self, r: usize, bytes: Vec<u8>) {
        self.wire.send(Tell::Message(MachineId(0), Arc::new(Noise(r, bytes))));
    }

    fn sight(&mut self, r: usize) -> Option<Sight> {
        ask(self.addr(r, 9180))
    }

    fn policy_sight(&mut self, r: usize) -> Option<PolicySight> {
        PolicySight::of_json(&call(self.addr(r, 9180), "GET", "/policy/status", "")?.1)
    }

    fn propose(&mut self, propose: &Propose) -> bool {
        let (path, said) = match &propose.wish {
            Wish::Change | Wish::Bad => {
                let Some(text) = own::policy(self.script, propose) else { return false };
                (format!("/policy/propose/{}", propose.id), text)
            }
            Wish::Back(epoch) => (format!("/policy/rollback/{}/{epoch}", propose.id), String::new()),
            Wish::Replace(r) => (format!("/policy/replace/r{r}"), String::new()),
        };
        call(self.addr(propose.to, 9180), "POST", &path, &said).is_some_and(|(status, _)| status == 202)
    }

    fn heard(&mut self, r: usize, id: &str) -> Option<ChangeStatus> {
        said_of_json(&call(self.addr(r, 9180), "GET", &format!("/policy/status/{id}"), "")?.1)
    }

    fn fill(&mut self, r: usize, full: bool) {
        let kept = self.folder_of(r).join("kept");
        let (file, new, aside) = (kept.join("accord"), kept.join("accord.new"), kept.join("accord.aside"));
        // Writes go to a device that has no room; what was kept waits aside.
        let _ = if full {
            std::fs::rename(&file, &aside)
                .and_then(|()| std::os::unix::fs::symlink("/dev/full", &file))
                .and_then(|()| std::os::unix::fs::symlink("/dev/full", &new))
        } else {
            let _ = std::fs::remove_file(&new);
            let _ = std::fs::remove_file(&file);
            std::fs::rename(&aside, &file)
        };
    }

    fn tear(&mut self, r: usize) {
        let file = self.folder_of(r).join("kept").join("accord");
        // A frame that says more than follows it: the process ended in the midst of its write.
        let half = &slipreel_consensus::log::encode_frame(&[7; 40])[..29];
        if let Ok(mut file) = std::fs::File::options().append(true).open(file) {
            let _ = file.write_all(half);
        }
    }

    fn twin_sight(&mut self, r: usize) -> Option<Sight> {
        self.twins[r].as_ref().and_then(|_| ask(self.addr(r, 9181)))
    }

    fn clients_done(&self) -> bool {
        self.clients.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

fn spawn<M: Machine + Send + 'static>(
    mut looped: EventLoop<M>, name: &str,
) -> Result<JoinHandle<Vec<M>>, String> {
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        // An error of epoll itself ends the thread, and its machines count as stopped.
        let _ = looped.run();
        looped.into_machines()
    });
    thread.map_err(|e| e.to_string())
}

/// A wire between members in a block of addresses that nobody uses.
fn wire(clock: Clock, script: &Script) -> Result<(u8, EventLoop<Wire>), String> {
    let n = script.routers;
    let first = u64::from(std::process::id()) + RUNS.fetch_add(1, Ordering::Relaxed) * 7;
    let mut why = String::new();
    for block in (0..BLOCKS).map(|k| (10 + 2 * ((first + k) % BLOCKS)) as u8) {
        let free =
            (0..n).all(|r| [7000, 8080, 9180].iter().all(|p| TcpListener::bind(addr(block, r, *p)).is_ok()));
        if !free {
            continue;
        }
        let mut looped = EventLoop::new(clock).map_err(|e| e.to_string())?;
        let node = looped.add(Wire::new((0..n).map(|r| addr(block, r, 7000)).collect(), script.seed));
        let all = Wire::ways(n).try_for_each(|(from, to)| {
            let at = wire_addr(block, from, to);
            looped.listen_alone(node, at).and_then(|_| looped.listen_datagrams(node, at)).map(drop)
        });
        match all {
            Ok(()) => return Ok((block, looped)),
            Err(e) => why = e.to_string(),
        }
    }
    Err(format!("no block of loopback addresses is free for {n} routers: {why}"))
}

/// Plays a script with processes of a built `slipreel`.
///
/// # Errors
/// A router does not start, or the system has no addresses or descriptors left. `Ok(None)`: it was interrupted. No process is left
/// either way.
pub fn play_processes(
    script: &Script, program: &Path, interrupt: &Interrupt,
) -> Result<Option<Outcome>, String> {
    let clock = Clock::start();
    let ledger = Ledger::default();
    let text = |e: std::io::Error| e.to_string();
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut engines = EventLoop::new(clock).map_err(text)?;
    let mut addrs = Vec::new();
    for plan in &script.day.engines {
        let node = engines.add(Engine::warm(plan.spec.clone(), ledger.clone(), clock.now(), wall));
        let at = engines.listen(node, SocketAddr::from(([127, 0, 0, 1], 0))).map_err(|e| e.to_string())?;
        addrs.push(at);
        let spec = slipreel_test_servers::engine::EngineSpec { addr: at, ..plan.spec.clone() };
        *engines.machine_mut(node) = Engine::warm(spec, ledger.clone(), clock.now(), wall);
    }
    let engines_handle = engines.handle();
    let engines_thread = spawn(engines, "engines")?;
    let (block, wire) = wire(clock, script)?;
    let wire_handle = wire.handle();
    let wire_thread = spawn(wire, "wire")?;
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let scratch =
        Scratch(std::env::temp_dir().join(format!("slipreel-fault-injection-{}-{run}", std::process::id())));
    std::fs::create_dir_all(&scratch.0).map_err(text)?;
    let zero = clock.now();
    let mut clients_handle = None;
    let clients = if script.traffic {
        let mut plans = script.day.requests.clone();
        plans.iter_mut().for_each(|p| p.at += zero + LEAD);
        let targets = (0..script.routers).map(|r| addr(block, r, 8080)).collect();
        let mut looped = EventLoop::new(clock).map_err(text)?;
        looped.add(Clients::new(plans, targets, ledger.clone(), true));
        clients_handle = Some(looped.handle());
        Some(spawn(looped, "clients")?)
    } else {
        None
    };
    let none = || (0..script.routers).map(|_| None).collect();
    let mut stage = Processes {
        script,
        program,
        clock,
        block,
        scratch,
        routers: none(),
        leaving: Vec::new(),
        twins: none(),
        odd_seeds: vec![false; script.routers],
        engines: addrs,
        wire: wire_handle.clone(),
        clients,
        interrupt,
    };
    let mut director = Director::new(script, ledger.clone(), zero);
    let played = director.run(&mut stage);
    let log = stage.log();
    let now = clock.now();
    let clients = stage.clients.take();
    drop(stage);
    if let Some(handle) = clients_handle {
        handle.send(Tell::End);
    }
    let results = match clients.and_then(|t| t.join().ok()).as_deref() {
        Some([clients]) => clients.results().to_vec(),
        _ => Vec::new(),
    };
    wire_handle.send(Tell::End);
    engines_handle.send(Tell::End);
    let _ = (wire_thread.join(), engines_thread.join());
    if !played? {
        return Ok(None);
    }
    Ok(Some(director.outcome(ledger.records(), results, log, 0, now)))
}
