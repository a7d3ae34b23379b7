//! Runs with processes of the built program over loopback. Routers are started, signalled and ended by their
//! process ids. The relay network, the engines and the clients are threads of this process. No router process
//! outlives the run, whatever happens.

use crate::history::change_status_from_json;
use crate::history::{ReportedPolicy, ReportedView};
use crate::relay_network::{InjectedDatagram, Link, LinkUpdates, RelayNetwork};
use crate::router_config::{self, RouterConfig};
use crate::script::{ProposalAction, Script, ScriptedProposal};
use crate::script_runner::{Driver, Outcome, ScriptRunner, TRAFFIC_START_DELAY};
use rustix::process::{kill_process, Pid, Signal};
use slipreel_event_loop::{Clock, Command as LoopCommand, EventLoop, EventLoopHandle, MachineId};
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

/// A flag that interrupts a run: once it is set, the run and its processes end soon.
pub type Interrupt = Arc<AtomicBool>;

/// Time limit for connecting to a router's operators' port and for each read of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after its start within which a process must accept connections at its operators' port.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a process that was told to end is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of blocks of loopback addresses that are tried to find a free one.
const MAX_BLOCKS_TRIED: u64 = 55;

/// A process that is killed when this is dropped.
struct Process(Child);

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw) {
            // An error means that the process has ended already.
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

/// A folder that is removed when this is dropped.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Counter that gives the runs of this process different address blocks and folders.
static RUN_COUNTER: AtomicU64 = AtomicU64::new(0);

/// The driver with processes.
struct Processes<'a> {
    script: &'a Script,
    program: &'a Path,
    clock: Clock,
    /// The second byte of the routers' loopback addresses; the relays use the next one.
    block: u8,
    temporary_folder: TemporaryFolder,
    routers: Vec<Option<Process>>,
    /// Routers that were told to end and may still run.
    leaving: Vec<(usize, Process)>,
    /// The second processes with a router's name.
    duplicates: Vec<Option<Process>>,
    /// Whether a router's settings list a further seed, at which nobody listens. Toggled by reloads.
    extra_seed: Vec<bool>,
    engines: Vec<SocketAddr>,
    network: EventLoopHandle<RelayNetwork>,
    clients: Option<JoinHandle<Vec<Clients>>>,
    interrupt: &'a Interrupt,
}

impl Processes<'_> {
    fn addr(&self, r: usize, port: u16) -> SocketAddr {
        addr(self.block, r, port)
    }

    fn folder_of(&self, r: usize) -> PathBuf {
        self.temporary_folder.0.join(format!("r{r}"))
    }

    /// Writes a router's settings file and address table.
    fn write(
        &self, r: usize, home: &Path, listen: [SocketAddr; 3], through_relays: bool,
    ) -> std::io::Result<()> {
        let n = self.script.routers;
        let peer_address =
            |to: usize| if through_relays { relay_address(self.block, r, to) } else { self.addr(to, 7000) };
        let seeds = (0..n).filter(|to| *to != r && (!through_relays || *to < self.script.seeds));
        let mut seeds: Vec<SocketAddr> = seeds.map(peer_address).collect();
        if self.extra_seed[r] {
            seeds.push(SocketAddr::from(([127, 0, 0, 1], 1)));
        }
        let [clients, operators, fleet] = listen;
        let (folder, address_table) = (home.join("kept"), home.join("book"));
        if through_relays {
            let lines = (0..n).filter(|to| *to != r).map(|to| format!("r{to} = {}\n", peer_address(to)));
            std::fs::write(&address_table, lines.collect::<String>())?;
        }
        let address_table = through_relays.then_some(address_table.as_path());
        let config = RouterConfig {
            clients,
            operators,
            fleet,
            seeds,
            folder: &folder,
            address_table,
            engines: &self.engines,
        };
        let text = router_config::settings_text(self.script, r, &config);
        std::fs::write(home.join("settings.ini"), text)
    }

    /// Waits until a router that was told to end has ended: while it serves its last requests it occupies its
    /// addresses.
    fn await_end(&mut self, r: usize) {
        let until = self.clock.now() + SHUTDOWN_TIMEOUT;
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
            // The routers end when their input does, so that they end with this process even if it is killed.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Process(child))
    }

    /// The log lines of all routers, each with the router's name.
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

fn relay_address(block: u8, from: usize, to: usize) -> SocketAddr {
    SocketAddr::from(([127, block + 1, from as u8 + 1, to as u8 + 1], 7000))
}

/// Sends a request to a router's operators' port. Returns status and body.
fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut text = String::new();
    stream.take(4 << 20).read_to_string(&mut text).ok()?;
    let status = text.get(9..12)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n")?.1.to_owned()))
}

/// Requests a router's view from its operators' port.
fn fetch_view(address: SocketAddr) -> Option<ReportedView> {
    ReportedView::from_json(&call(address, "GET", "/fleet/status", "")?.1)
}

impl Driver for Processes<'_> {
    fn now(&self) -> Duration {
        self.clock.now()
    }

    fn run_until(&mut self, at: Duration) -> bool {
        while !self.interrupt.load(Ordering::Relaxed) {
            let left = at.saturating_sub(self.clock.now());
            if left.is_zero() {
                return true;
            }
            std::thread::sleep(left.min(Duration::from_millis(50)));
        }
        false
    }

    fn start(&mut self, r: usize, empty_folder: bool) -> Result<(), String> {
        let home = self.folder_of(r);
        let text = |e: std::io::Error| format!("r{r}: {e}");
        std::fs::create_dir_all(&home).map_err(text)?;
        if empty_folder {
            let _ = std::fs::remove_dir_all(home.join("kept"));
        }
        let listen = [self.addr(r, 8080), self.addr(r, 9180), self.addr(r, 7000)];
        self.write(r, &home, listen, true).map_err(text)?;
        self.await_end(r);
        self.routers[r] = Some(self.spawn(&home).map_err(text)?);
        let until = self.clock.now() + START_TIMEOUT;
        loop {
            if TcpStream::connect_timeout(&listen[1], ANSWER_TIMEOUT).is_ok() {
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

    fn set_paused(&mut self, r: usize, paused: bool) {
        if let Some(process) = &self.routers[r] {
            process.signal(if paused { Signal::STOP } else { Signal::CONT });
        }
    }

    fn set_duplicate(&mut self, r: usize, running: bool) -> Result<(), String> {
        self.duplicates[r] = None;
        if running {
            let home = self.folder_of(r).join("twin");
            let text = |e: std::io::Error| format!("second r{r}: {e}");
            let _ = std::fs::remove_dir_all(home.join("kept"));
            std::fs::create_dir_all(&home).map_err(text)?;
            let listen = [8081, 9181, 7001].map(|port| self.addr(r, port));
            self.write(r, &home, listen, false).map_err(text)?;
            self.duplicates[r] = Some(self.spawn(&home).map_err(text)?);
        }
        Ok(())
    }

    fn set_folder_unwritable(&mut self, r: usize, unwritable: bool) {
        let kept = self.folder_of(r).join("kept");
        // A file in place of the folder: no user can write there, not even root.
        let _ = if unwritable {
            std::fs::remove_dir_all(&kept).and_then(|()| std::fs::write(&kept, "in the way"))
        } else {
            std::fs::remove_file(&kept)
        };
    }

    fn reload(&mut self, r: usize) {
        self.extra_seed[r] ^= true;
        let listen = [8080, 9180, 7000].map(|port| self.addr(r, port));
        if self.write(r, &self.folder_of(r), listen, true).is_ok() {
            if let Some(process) = &self.routers[r] {
                process.signal(Signal::HUP);
            }
        }
    }

    fn update_links(&mut self, links: Vec<(usize, usize, Link)>) {
        self.network.send(LoopCommand::Message(MachineId(0), Arc::new(Arc::new(LinkUpdates(links)))));
    }

    fn inject_datagram(&mut self, r: usize, bytes: Vec<u8>) {
        self.network.send(LoopCommand::Message(MachineId(0), Arc::new(InjectedDatagram(r, bytes))));
    }

    fn reported_view(&mut self, r: usize) -> Option<ReportedView> {
        fetch_view(self.addr(r, 9180))
    }

    fn reported_policy(&mut self, r: usize) -> Option<ReportedPolicy> {
        ReportedPolicy::from_json(&call(self.addr(r, 9180), "GET", "/policy/status", "")?.1)
    }

    fn submit(&mut self, proposal: &ScriptedProposal) -> bool {
        let (path, body) = match &proposal.action {
            ProposalAction::Change | ProposalAction::Incompatible => {
                let Some(text) = router_config::proposed_policy_text(self.script, proposal) else {
                    return false;
                };
                (format!("/policy/propose/{}", proposal.id), text)
            }
            ProposalAction::Rollback(epoch) => {
                (format!("/policy/rollback/{}/{epoch}", proposal.id), String::new())
            }
            ProposalAction::ReplaceVoter(r) => (format!("/policy/replace/r{r}"), String::new()),
        };
        call(self.addr(proposal.router, 9180), "POST", &path, &body).is_some_and(|(status, _)| status == 202)
    }

    fn change_status(&mut self, r: usize, id: &str) -> Option<ChangeStatus> {
        change_status_from_json(&call(self.addr(r, 9180), "GET", &format!("/policy/status/{id}"), "")?.1)
    }

    fn set_disk_full(&mut self, r: usize, full: bool) {
        let kept = self.folder_of(r).join("kept");
        let (file, new, aside) = (kept.join("accord"), kept.join("accord.new"), kept.join("accord.aside"));
        // Writes go to a device that is always full, and the file is renamed until there is room again.
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

    fn append_torn_frame(&mut self, r: usize) {
        let file = self.folder_of(r).join("kept").join("accord");
        // The frame is shorter than its header states, as if the process had ended during the write.
        let half = &slipreel_consensus::log::encode_frame(&[7; 40])[..29];
        if let Ok(mut file) = std::fs::File::options().append(true).open(file) {
            let _ = file.write_all(half);
        }
    }

    fn duplicate_view(&mut self, r: usize) -> Option<ReportedView> {
        self.duplicates[r].as_ref().and_then(|_| fetch_view(self.addr(r, 9181)))
    }

    fn clients_done(&self) -> bool {
        self.clients.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

fn spawn<M: Machine + Send + 'static>(
    mut event_loop: EventLoop<M>, name: &str,
) -> Result<JoinHandle<Vec<M>>, String> {
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        // An error of epoll itself ends the thread. Its state machines then count as stopped.
        let _ = event_loop.run();
        event_loop.into_machines()
    });
    thread.map_err(|e| e.to_string())
}

/// Builds the network between members in a free block of loopback addresses. Returns the block and the event
/// loop.
fn relay_network(clock: Clock, script: &Script) -> Result<(u8, EventLoop<RelayNetwork>), String> {
    let n = script.routers;
    let first = u64::from(std::process::id()) + RUN_COUNTER.fetch_add(1, Ordering::Relaxed) * 7;
    let mut why = String::new();
    for block in (0..MAX_BLOCKS_TRIED).map(|k| (10 + 2 * ((first + k) % MAX_BLOCKS_TRIED)) as u8) {
        let free =
            (0..n).all(|r| [7000, 8080, 9180].iter().all(|p| TcpListener::bind(addr(block, r, *p)).is_ok()));
        if !free {
            continue;
        }
        let mut event_loop = EventLoop::new(clock).map_err(|e| e.to_string())?;
        let node =
            event_loop.add(RelayNetwork::new((0..n).map(|r| addr(block, r, 7000)).collect(), script.seed));
        let listening = RelayNetwork::directed_links(n).try_for_each(|(from, to)| {
            let at = relay_address(block, from, to);
            event_loop.listen_alone(node, at).and_then(|_| event_loop.listen_datagrams(node, at)).map(drop)
        });
        match listening {
            Ok(()) => return Ok((block, event_loop)),
            Err(e) => why = e.to_string(),
        }
    }
    Err(format!("no block of loopback addresses is free for {n} routers: {why}"))
}

/// Plays a script with processes of the built `slipreel` at `program`. Returns `Ok(None)` if the run was
/// interrupted. No process is left when this returns.
///
/// # Errors
/// A router does not start, or the system has no free addresses or descriptors.
pub fn play_processes(
    script: &Script, program: &Path, interrupt: &Interrupt,
) -> Result<Option<Outcome>, String> {
    let clock = Clock::start();
    let ledger = Ledger::default();
    let text = |e: std::io::Error| e.to_string();
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let mut engines = EventLoop::new(clock).map_err(text)?;
    let mut addrs = Vec::new();
    for plan in &script.day.engines {
        let node = engines.add(Engine::warm(plan.spec.clone(), ledger.clone(), clock.now(), unix_time));
        let at = engines.listen(node, SocketAddr::from(([127, 0, 0, 1], 0))).map_err(|e| e.to_string())?;
        addrs.push(at);
        let spec = slipreel_test_servers::engine::EngineSpec { addr: at, ..plan.spec.clone() };
        *engines.machine_mut(node) = Engine::warm(spec, ledger.clone(), clock.now(), unix_time);
    }
    let engines_handle = engines.handle();
    let engines_thread = spawn(engines, "engines")?;
    let (block, network) = relay_network(clock, script)?;
    let network_handle = network.handle();
    let network_thread = spawn(network, "wire")?;
    let run = RUN_COUNTER.fetch_add(1, Ordering::Relaxed);
    let temporary_folder = TemporaryFolder(
        std::env::temp_dir().join(format!("slipreel-fault-injection-{}-{run}", std::process::id())),
    );
    std::fs::create_dir_all(&temporary_folder.0).map_err(text)?;
    let start_time = clock.now();
    let mut clients_handle = None;
    let clients = if script.traffic {
        let mut plans = script.day.requests.clone();
        plans.iter_mut().for_each(|p| p.at += start_time + TRAFFIC_START_DELAY);
        let targets = (0..script.routers).map(|r| addr(block, r, 8080)).collect();
        let mut event_loop = EventLoop::new(clock).map_err(text)?;
        event_loop.add(Clients::new(plans, targets, ledger.clone(), true));
        clients_handle = Some(event_loop.handle());
        Some(spawn(event_loop, "clients")?)
    } else {
        None
    };
    let no_processes = || (0..script.routers).map(|_| None).collect();
    let mut driver = Processes {
        script,
        program,
        clock,
        block,
        temporary_folder,
        routers: no_processes(),
        leaving: Vec::new(),
        duplicates: no_processes(),
        extra_seed: vec![false; script.routers],
        engines: addrs,
        network: network_handle.clone(),
        clients,
        interrupt,
    };
    let mut runner = ScriptRunner::new(script, ledger.clone(), start_time);
    let completed = runner.run(&mut driver);
    let log = driver.log();
    let now = clock.now();
    let clients = driver.clients.take();
    drop(driver);
    if let Some(handle) = clients_handle {
        handle.send(LoopCommand::End);
    }
    let results = match clients.and_then(|t| t.join().ok()).as_deref() {
        Some([clients]) => clients.results().to_vec(),
        _ => Vec::new(),
    };
    network_handle.send(LoopCommand::End);
    engines_handle.send(LoopCommand::End);
    let _ = (network_thread.join(), engines_thread.join());
    if !completed? {
        return Ok(None);
    }
    Ok(Some(runner.outcome(ledger.records(), results, log, 0, now)))
}
