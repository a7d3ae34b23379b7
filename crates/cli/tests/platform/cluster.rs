//! Many router processes with simulated engines, discovery and clients, and the record of what all of them
//! observed.

use super::ports::ReservedPort;
use super::process::{start_with, Process};
use super::{config, entry, folder, is_ready, ms};
use slipreel_event_loop::{Clock, Command, EventLoop, EventLoopHandle, MachineId};
use slipreel_invariants::terms::{judge, Fact, Seen, Terms, Violation};
use slipreel_state_machine::Machine;
use slipreel_test_servers::platform::{
    lock_shared, Clients, Discovery, DiscoveryMode, Ending, EndpointChanges, Engine, Faults, Shared,
};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

/// Floods a router over one connection after another with requests of a class that does not exist, pipelining
/// two hundred at a time. Returns how many were answered.
fn flood_connection(addr: SocketAddr, time: Duration) -> usize {
    let deadline = Instant::now() + time;
    let request = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: f\r\nX-Class: none\r\n\
                   Content-Length: 2\r\n\r\n{}";
    let pipelined = request.repeat(200);
    let mut answers = 0;
    while Instant::now() < deadline {
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(500)) else { continue };
        let _ = stream.set_read_timeout(Some(ms(200)));
        let mut buffer = vec![0; 64 << 10];
        while Instant::now() < deadline && stream.write_all(pipelined.as_bytes()).is_ok() {
            let Ok(length) = stream.read(&mut buffer) else { break };
            if length == 0 {
                break;
            }
            let text = String::from_utf8_lossy(&buffer[..length]);
            answers += text.matches("HTTP/1.1 400 ").count();
        }
    }
    answers
}

/// How many processes and simulated engines a cluster has, and how its clients behave.
pub struct ClusterPlan {
    pub routers: usize,
    pub prefill_engines: usize,
    pub decode_engines: usize,
    pub faults: Faults,
    /// Requests sent to each router, and the time between them.
    pub requests: u32,
    pub every: Duration,
    /// Share of clients that leave early.
    pub leaving: f64,
    /// The limits on cold engines as JSON, as in the settings; without any, a starting engine counts as warm.
    pub cold_rules: &'static str,
    /// Descriptors that the system allows each router; fewer than its configuration.
    pub descriptors: Option<u32>,
    pub seed: u64,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        let faults = Faults { slow: ms(40), ..Faults::default() };
        ClusterPlan {
            routers: 3,
            prefill_engines: 2,
            decode_engines: 3,
            faults,
            requests: 100,
            every: ms(50),
            leaving: 0.0,
            cold_rules: "{}",
            descriptors: None,
            seed: 1,
        }
    }
}

/// A simulated engine or discovery agent.
type Simulated = Box<dyn Machine + Send>;

/// What every process of one router is started with.
struct RouterConfig {
    port: ReservedPort,
    config: PathBuf,
    /// The router's discovery agent, a machine of the simulation.
    agent: MachineId,
}

#[derive(Clone, Copy)]
struct ListedEngine {
    is_prefill: bool,
    address: SocketAddr,
    machine: MachineId,
}

/// Many router processes, each with its own discovery agent, the engines that all of them use, and clients.
pub struct Cluster {
    clock: Clock,
    shared: Shared,
    simulation: (EventLoopHandle<Simulated>, JoinHandle<std::io::Result<()>>),
    clients: (EventLoopHandle<Clients>, JoinHandle<Vec<Clients>>),
    engines: BTreeMap<String, ListedEngine>,
    router_configs: Vec<RouterConfig>,
    descriptors: Option<u32>,
    processes: Vec<Process>,
    /// Replaced processes, which may still be shutting down.
    replaced: Vec<Process>,
    /// Threads that wait for routers to become ready.
    ready_watchers: Vec<JoinHandle<()>>,
    /// Ports on which no process listens.
    unused_ports: Vec<ReservedPort>,
    folder: PathBuf,
}

static CLUSTERS: AtomicU32 = AtomicU32::new(0);
/// Time for the routers to become ready before requests begin; all of them start at once, in a debug build.
const READY_BEFORE_REQUESTS: Duration = Duration::from_millis(1_500);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn add_engines(
    simulation: &mut EventLoop<Simulated>, plan: &ClusterPlan, shared: &Shared,
) -> (BTreeMap<String, ListedEngine>, EndpointChanges) {
    let (mut engines, mut entries) = (BTreeMap::new(), Vec::new());
    for n in 1..=plan.prefill_engines + plan.decode_engines {
        let (name, is_prefill) = (format!("e{n}"), n <= plan.prefill_engines);
        let engine = Engine::new(&name, is_prefill, shared.clone(), plan.faults, plan.seed + n as u64);
        let node = simulation.add(Box::new(engine));
        let address = simulation.listen(node, any_port()).expect("a port");
        entries.push(entry(&name, is_prefill, address));
        engines.insert(name, ListedEngine { is_prefill, address, machine: node });
    }
    (engines, EndpointChanges(entries))
}

fn add_router_config(
    simulation: &mut EventLoop<Simulated>, plan: &ClusterPlan, n: usize, listing: &EndpointChanges,
    shared: &Shared, folder: &Path,
) -> RouterConfig {
    let agent = Discovery::new(listing).for_router(&format!("n{n}"), shared);
    let known = agent.whole();
    let agent = simulation.add(Box::new(agent));
    let discovery = simulation.listen(agent, any_port()).expect("a port");
    let port = ReservedPort::new();
    let text = config(port.address(), discovery, &known)
        .replace("\"balancers\":1", &format!("\"balancers\":{}", plan.routers))
        .replace(
            "\"limits\":{\"cancelling\"",
            &format!("\"rules\":{},\"limits\":{{\"cancelling\"", plan.cold_rules),
        )
        .replace("8c1f30d27a5be964", &format!("{:016x}", plan.seed * 1_000_003 + n as u64 + 1));
    let config = folder.join(format!("n{n}.json"));
    std::fs::write(&config, text).expect("a file");
    RouterConfig { port, config, agent }
}

fn start_clients(
    plan: &ClusterPlan, router_configs: &[RouterConfig], clock: Clock, shared: &Shared, begin: Duration,
) -> (EventLoopHandle<Clients>, JoinHandle<Vec<Clients>>) {
    let mut event_loop: EventLoop<Clients> = EventLoop::new(clock).expect("an event loop");
    for (n, router_config) in router_configs.iter().enumerate() {
        let seed = plan.seed * 77 + n as u64;
        let classes = ["chat", "once"];
        let clients =
            Clients::new(router_config.port.address(), &classes, plan.every, plan.requests, begin, seed);
        event_loop.add(clients.recording_in(shared, plan.leaving));
    }
    let handle = event_loop.handle();
    let thread = std::thread::spawn(move || {
        event_loop.run().expect("a run of clients");
        event_loop.into_machines()
    });
    (handle, thread)
}

impl Cluster {
    /// Starts everything and waits until all routers answer that they are ready; then the clients begin.
    pub fn start(plan: &ClusterPlan) -> Cluster {
        let (clock, shared) = (Clock::start(), Shared::default());
        let mut simulation: EventLoop<Simulated> = EventLoop::new(clock).expect("an event loop");
        let (engines, listing) = add_engines(&mut simulation, plan, &shared);
        let folder = folder(&format!("cluster-{}", CLUSTERS.fetch_add(1, Ordering::Relaxed)));
        let router_configs: Vec<RouterConfig> = (0..plan.routers)
            .map(|n| add_router_config(&mut simulation, plan, n, &listing, &shared, &folder))
            .collect();
        let simulation = (simulation.handle(), std::thread::spawn(move || simulation.run()));
        let begin = clock.now() + READY_BEFORE_REQUESTS;
        let clients = start_clients(plan, &router_configs, clock, &shared, begin);
        let mut cluster = Cluster {
            clock,
            shared,
            simulation,
            clients,
            engines,
            router_configs,
            descriptors: plan.descriptors,
            processes: Vec::new(),
            replaced: Vec::new(),
            ready_watchers: Vec::new(),
            unused_ports: Vec::new(),
            folder,
        };
        cluster.processes = (0..plan.routers).map(|n| cluster.spawn(n)).collect();
        while !cluster.router_configs.iter().all(|router_config| is_ready(router_config.port.address())) {
            assert!(cluster.clock.now() < begin + ms(10_000), "not ready in time");
            std::thread::sleep(ms(20));
        }
        cluster
    }

    fn address(&self, n: usize) -> SocketAddr {
        self.router_configs[n].port.address()
    }

    /// Sends a message to all discovery agents.
    fn message_agents(&self, message: &Arc<dyn Any + Send + Sync>) {
        for router_config in &self.router_configs {
            self.simulation.0.send(Command::Message(router_config.agent, message.clone()));
        }
    }

    /// Records an event for the check at the end.
    fn record(&self, seen: Seen) {
        lock_shared(&self.shared).see(self.clock.now(), seen);
    }

    /// Starts a router's process, and records when it answers that it is ready.
    fn spawn(&mut self, n: usize) -> Process {
        self.record(Seen::Launched { router: format!("n{n}") });
        let process = start_with(&self.router_configs[n].config, self.descriptors);
        let (addr, shared, clock) = (self.address(n), self.shared.clone(), self.clock);
        self.ready_watchers.push(std::thread::spawn(move || {
            for _ in 0..1_000 {
                if is_ready(addr) {
                    return lock_shared(&shared).see(clock.now(), Seen::Ready { router: format!("n{n}") });
                }
                std::thread::sleep(ms(10));
            }
        }));
        process
    }

    /// Restarts a router once its process has ended. While the old process listens, its answer that it is
    /// ready would be taken for the new one's.
    pub fn restart(&mut self, n: usize) {
        assert!(self.processes[n].has_ended_within(ms(8_000)), "n{n} still runs");
        let process = self.spawn(n);
        let previous = std::mem::replace(&mut self.processes[n], process);
        self.replaced.push(previous);
    }

    /// Restarts a router that has no list of engines and can get none.
    pub fn restart_without_list(&mut self, n: usize) {
        let unused_port = ReservedPort::new();
        let text = config(self.address(n), unused_port.address(), "null");
        std::fs::write(&self.router_configs[n].config, text).expect("a file");
        self.restart(n);
        self.unused_ports.push(unused_port);
    }

    /// Opens connections to a router that ask once whether it is ready and then stay idle until they are
    /// dropped.
    pub fn open_idle_connections(&self, n: usize, count: usize) -> Vec<TcpStream> {
        let open = |_| {
            let mut stream = TcpStream::connect_timeout(&self.address(n), ms(500)).ok()?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
            Some(stream)
        };
        (0..count).filter_map(open).collect()
    }

    /// Floods a router for some time over several connections, which pipeline hundreds of requests and read
    /// the answers. Each thread returns how many answers came.
    pub fn flood(&self, n: usize, connections: usize, time: Duration) -> Vec<JoinHandle<usize>> {
        let addr = self.address(n);
        (0..connections).map(|_| std::thread::spawn(move || flood_connection(addr, time))).collect()
    }

    /// The CPU time that a router's process has used.
    pub fn cpu(&self, n: usize) -> Duration {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.processes[n].id())).expect("a process");
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().expect("ticks")).sum();
        ms(ticks * 10)
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self, n: usize) {
        self.record(Seen::RouterEnding { router: self.address(n).to_string() });
        self.record(Seen::Killed { router: self.address(n).to_string() });
        self.processes[n].signal("-KILL");
        assert!(self.processes[n].has_ended_within(ms(2_000)), "n{n} still runs");
    }

    /// Sends SIGTERM.
    pub fn stop(&mut self, n: usize) {
        self.record(Seen::RouterEnding { router: self.address(n).to_string() });
        self.processes[n].signal("-TERM");
    }

    /// Sets the behaviour of all discovery agents.
    pub fn set_discovery(&self, mode: DiscoveryMode) {
        self.record(Seen::Reachable(mode == DiscoveryMode::Healthy));
        self.message_agents(&(Arc::new(mode) as _));
    }

    /// All agents list an engine with this status; only a `Ready` engine takes new work.
    pub fn set_status(&self, engine: &str, status: &str) {
        let ListedEngine { is_prefill, address, .. } = self.engines[engine];
        self.record(Seen::EngineListed { engine: engine.to_owned(), closed: status != "Ready" });
        let (name, text) = entry(engine, is_prefill, address);
        let change = EndpointChanges(vec![(name, text.replace("\"Ready\"", &format!("\"{status}\"")))]);
        self.message_agents(&(Arc::new(change) as _));
    }

    /// All agents list an engine as just started, so that it counts as cold.
    pub fn announce_start(&self, engine: &str) {
        let ListedEngine { is_prefill, address, .. } = self.engines[engine];
        self.record(Seen::Started { engine: engine.to_owned() });
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970");
        let (name, text) = entry(engine, is_prefill, address);
        let text = text.replace("\"since_ms\":0", &format!("\"since_ms\":{}", wall.as_millis()));
        self.message_agents(&(Arc::new(EndpointChanges(vec![(name, text)])) as _));
    }

    /// Freezes or thaws an engine: while it is frozen the system accepts connections and bytes for it, and
    /// nothing reads them.
    pub fn freeze(&self, engine: &str, frozen: bool) {
        let machine = self.engines[engine].machine;
        self.simulation.0.send(if frozen { Command::Freeze(machine) } else { Command::Thaw(machine) });
    }

    /// Lets time pass and returns the requests whose state an engine held for longer than `limit` meanwhile,
    /// without an attempt at a running engine.
    pub fn states_held_too_long(&self, time: Duration, limit: Duration) -> BTreeSet<String> {
        let end = self.clock.now() + time;
        let mut held_too_long = BTreeSet::new();
        while self.clock.now() < end {
            held_too_long.extend(lock_shared(&self.shared).pinned(self.clock.now(), limit));
            std::thread::sleep(ms(2));
        }
        held_too_long
    }

    /// Requests of a class that engines decoded more than once.
    pub fn decoded_twice_of(&self, class: &str) -> Vec<String> {
        lock_shared(&self.shared).decoded_twice_of(class).into_iter().map(str::to_owned).collect()
    }

    /// Ends everything; returns the recorded facts, and how many requests ended in each way.
    pub fn end(self) -> (Facts, BTreeMap<Ending, u32>) {
        self.clients.0.send(Command::End);
        let mut endings = BTreeMap::new();
        for clients in self.clients.1.join().expect("the clients' thread") {
            clients.endings.iter().for_each(|(&ending, n)| *endings.entry(ending).or_default() += n);
        }
        let end = self.clock.now();
        drop((self.processes, self.replaced));
        self.simulation.0.send(Command::End);
        self.simulation.1.join().expect("the engines' thread").expect("a run of engines");
        self.ready_watchers.into_iter().for_each(|watch| watch.join().expect("a watching thread"));
        let _ = std::fs::remove_dir_all(self.folder);
        let facts = std::mem::take(&mut lock_shared(&self.shared).facts);
        (Facts { facts, end }, endings)
    }
}

/// Everything that was recorded until the end of the run.
pub struct Facts {
    facts: Vec<Fact>,
    end: Duration,
}

impl Facts {
    /// The violated terms.
    pub fn judge(&self, terms: &Terms) -> Vec<Violation> {
        judge(&self.facts, terms, self.end)
    }

    /// The number of attempts that arrived at an engine.
    pub fn attempts_at(&self, engine: &str) -> usize {
        let at = |f: &&Fact| matches!(&f.seen, Seen::AttemptArrived { engine: e, .. } if e == engine);
        self.facts.iter().filter(at).count()
    }

    /// For each start of a router, the time until it answered that it is ready; the shortest first.
    pub fn times_to_ready(&self) -> Vec<Duration> {
        let mut times = Vec::new();
        for f in &self.facts {
            let Seen::Launched { router } = &f.seen else { continue };
            let is_ready_after =
                |g: &&Fact| matches!(&g.seen, Seen::Ready { router: r } if r == router) && g.at >= f.at;
            let ready_at = self.facts.iter().filter(is_ready_after).map(|g| g.at).min();
            times.extend(ready_at.map(|at| at - f.at));
        }
        times.sort();
        times
    }
}
