//! Many router processes with engines, discovery and clients around them, and what all of them saw.

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
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

/// Floods on one connection after another: requests of a class that does not exist, two hundred ahead.
fn flood_one(addr: SocketAddr, time: Duration) -> usize {
    let until = Instant::now() + time;
    let request = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: f\r\nX-Class: none\r\n\
                   Content-Length: 2\r\n\r\n{}";
    let ahead = request.repeat(200);
    let mut answers = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, ms(500)) else { continue };
        let _ = stream.set_read_timeout(Some(ms(200)));
        let mut read = vec![0; 64 << 10];
        while Instant::now() < until && stream.write_all(ahead.as_bytes()).is_ok() {
            let Ok(length) = stream.read(&mut read) else { break };
            if length == 0 {
                break;
            }
            let text = String::from_utf8_lossy(&read[..length]);
            answers += text.matches("HTTP/1.1 400 ").count();
        }
    }
    answers
}

/// How many processes and stand-ins a cluster has, and how its clients behave.
pub struct ClusterPlan {
    pub routers: usize,
    pub readers: usize,
    pub writers: usize,
    pub faults: Faults,
    /// Requests at each router, and how far apart.
    pub requests: u32,
    pub every: Duration,
    /// Share of clients that leave early.
    pub leaving: f64,
    /// The rules on cold engines as the settings tell them, as JSON; none: an engine that starts is as good
    /// as any.
    pub cold_rules: &'static str,
    /// Descriptors that the system allows each router, below those of its configuration.
    pub descriptors: Option<u32>,
    pub seed: u64,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        let faults = Faults { slow: ms(40), ..Faults::default() };
        ClusterPlan {
            routers: 3,
            readers: 2,
            writers: 3,
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

type StandIn = Box<dyn Machine + Send>;

/// What a router process is started with, time and again.
struct RouterPlace {
    port: ReservedPort,
    config: PathBuf,
    /// Its agent of discovery, in the loop of the stand-ins.
    agent: MachineId,
}

#[derive(Clone, Copy)]
struct ListedEngine {
    reads: bool,
    address: SocketAddr,
}

/// Many routers as processes, each with an agent of discovery of its own, engines that all share, and
/// clients.
pub struct Cluster {
    clock: Clock,
    shared: Shared,
    stand_ins: (EventLoopHandle<StandIn>, JoinHandle<std::io::Result<()>>),
    clients: (EventLoopHandle<Clients>, JoinHandle<Vec<Clients>>),
    engines: BTreeMap<String, ListedEngine>,
    places: Vec<RouterPlace>,
    descriptors: Option<u32>,
    processes: Vec<Process>,
    /// Told to end, and perhaps still at it.
    ending: Vec<Process>,
    watching: Vec<JoinHandle<()>>,
    /// Where nobody listens.
    unused_ports: Vec<ReservedPort>,
    folder: PathBuf,
}

static CLUSTERS: AtomicU32 = AtomicU32::new(0);
/// Time to be ready in before requests begin: a debug build, and all at once.
const READY_BEFORE_REQUESTS: Duration = Duration::from_millis(1_500);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn add_engines(
    stand_ins: &mut EventLoop<StandIn>, plan: &ClusterPlan, shared: &Shared,
) -> (BTreeMap<String, ListedEngine>, EndpointChanges) {
    let (mut engines, mut entries) = (BTreeMap::new(), Vec::new());
    for n in 1..=plan.readers + plan.writers {
        let (name, reads) = (format!("e{n}"), n <= plan.readers);
        let engine = Engine::new(&name, reads, shared.clone(), plan.faults, plan.seed + n as u64);
        let node = stand_ins.add(Box::new(engine));
        let address = stand_ins.listen(node, any_port()).expect("a port");
        entries.push(entry(&name, reads, address));
        engines.insert(name, ListedEngine { reads, address });
    }
    (engines, EndpointChanges(entries))
}

fn add_place(
    stand_ins: &mut EventLoop<StandIn>, plan: &ClusterPlan, n: usize, listing: &EndpointChanges,
    shared: &Shared, folder: &Path,
) -> RouterPlace {
    let agent = Discovery::new(listing).for_router(&format!("n{n}"), shared);
    let known = agent.whole();
    let agent = stand_ins.add(Box::new(agent));
    let discovery = stand_ins.listen(agent, any_port()).expect("a port");
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
    RouterPlace { port, config, agent }
}

fn start_clients(
    plan: &ClusterPlan, places: &[RouterPlace], clock: Clock, shared: &Shared, begin: Duration,
) -> (EventLoopHandle<Clients>, JoinHandle<Vec<Clients>>) {
    let mut event_loop: EventLoop<Clients> = EventLoop::new(clock).expect("an event loop");
    for (n, place) in places.iter().enumerate() {
        let seed = plan.seed * 77 + n as u64;
        let classes = ["chat", "once"];
        let clients = Clients::new(place.port.address(), &classes, plan.every, plan.requests, begin, seed);
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
    /// Starts all, and waits until each router says that it is ready; then the clients begin.
    pub fn start(plan: &ClusterPlan) -> Cluster {
        let (clock, shared) = (Clock::start(), Shared::default());
        let mut stand_ins: EventLoop<StandIn> = EventLoop::new(clock).expect("an event loop");
        let (engines, listing) = add_engines(&mut stand_ins, plan, &shared);
        let folder = folder(&format!("cluster-{}", CLUSTERS.fetch_add(1, Ordering::Relaxed)));
        let places: Vec<RouterPlace> = (0..plan.routers)
            .map(|n| add_place(&mut stand_ins, plan, n, &listing, &shared, &folder))
            .collect();
        let stand_ins = (stand_ins.handle(), std::thread::spawn(move || stand_ins.run()));
        let begin = clock.now() + READY_BEFORE_REQUESTS;
        let clients = start_clients(plan, &places, clock, &shared, begin);
        let mut cluster = Cluster {
            clock,
            shared,
            stand_ins,
            clients,
            engines,
            places,
            descriptors: plan.descriptors,
            processes: Vec::new(),
            ending: Vec::new(),
            watching: Vec::new(),
            unused_ports: Vec::new(),
            folder,
        };
        cluster.processes = (0..plan.routers).map(|n| cluster.spawn(n)).collect();
        while !cluster.places.iter().all(|place| is_ready(place.port.address())) {
            assert!(cluster.clock.now() < begin + ms(10_000), "not ready in time");
            std::thread::sleep(ms(20));
        }
        cluster
    }

    fn address(&self, n: usize) -> SocketAddr {
        self.places[n].port.address()
    }

    fn tell_agents(&self, news: &Arc<dyn Any + Send + Sync>) {
        for place in &self.places {
            self.stand_ins.0.send(Command::Message(place.agent, news.clone()));
        }
    }

    fn record(&self, seen: Seen) {
        lock_shared(&self.shared).see(self.clock.now(), seen);
    }

    /// Starts a router's process, and notes when it says that it is ready.
    fn spawn(&mut self, n: usize) -> Process {
        self.record(Seen::Launched { router: format!("n{n}") });
        let process = start_with(&self.places[n].config, self.descriptors);
        let (addr, shared, clock) = (self.address(n), self.shared.clone(), self.clock);
        self.watching.push(std::thread::spawn(move || {
            for _ in 0..1_000 {
                if is_ready(addr) {
                    return lock_shared(&shared).see(clock.now(), Seen::Ready { router: format!("n{n}") });
                }
                std::thread::sleep(ms(10));
            }
        }));
        process
    }

    /// Starts a router anew once its process has ended: while that listens its answer would be taken for the
    /// new one's.
    pub fn restart(&mut self, n: usize) {
        assert!(self.processes[n].has_ended_within(ms(8_000)), "n{n} goes on");
        let process = self.spawn(n);
        let before = std::mem::replace(&mut self.processes[n], process);
        self.ending.push(before);
    }

    /// Starts a router that knows no list and can get none.
    pub fn restart_without_list(&mut self, n: usize) {
        let nobody = ReservedPort::new();
        let text = config(self.address(n), nobody.address(), "null");
        std::fs::write(&self.places[n].config, text).expect("a file");
        self.restart(n);
        self.unused_ports.push(nobody);
    }

    /// Connections to a router that ask once whether it is ready, and then stand idle for as long as they are
    /// kept.
    pub fn stand_idle(&self, n: usize, count: usize) -> Vec<TcpStream> {
        let open = |_| {
            let mut stream = TcpStream::connect_timeout(&self.address(n), ms(500)).ok()?;
            stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").ok()?;
            Some(stream)
        };
        (0..count).filter_map(open).collect()
    }

    /// Connections that send requests ahead by the hundred for so long, and read what is answered. Each
    /// thread gives how many answers came.
    pub fn flood(&self, n: usize, connections: usize, time: Duration) -> Vec<JoinHandle<usize>> {
        let addr = self.address(n);
        (0..connections).map(|_| std::thread::spawn(move || flood_one(addr, time))).collect()
    }

    /// CPU time that a router's process has used.
    pub fn cpu(&self, n: usize) -> Duration {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.processes[n].id())).expect("a process");
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
        let ticks: u64 = fields[11..13].iter().map(|f| f.parse::<u64>().expect("ticks")).sum();
        ms(ticks * 10)
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) {
        self.record(Seen::RouterEnding { router: self.address(n).to_string() });
        self.record(Seen::Killed { router: self.address(n).to_string() });
        self.processes[n].signal("-KILL");
        assert!(self.processes[n].has_ended_within(ms(2_000)), "n{n} goes on");
    }

    /// SIGTERM.
    pub fn stop(&mut self, n: usize) {
        self.record(Seen::RouterEnding { router: self.address(n).to_string() });
        self.processes[n].signal("-TERM");
    }

    /// All agents of discovery behave like this from now on.
    pub fn set_discovery(&self, mood: DiscoveryMode) {
        self.record(Seen::Reachable(mood == DiscoveryMode::Healthy));
        self.tell_agents(&(Arc::new(mood) as _));
    }

    /// All agents list an engine with this status: `Ready` takes work, others want nothing new.
    pub fn set_status(&self, engine: &str, status: &str) {
        let ListedEngine { reads, address } = self.engines[engine];
        self.record(Seen::EngineListed { engine: engine.to_owned(), closed: status != "Ready" });
        let (name, text) = entry(engine, reads, address);
        let change = EndpointChanges(vec![(name, text.replace("\"Ready\"", &format!("\"{status}\"")))]);
        self.tell_agents(&(Arc::new(change) as _));
    }

    /// All agents list an engine as just started, and so cold.
    pub fn announce_start(&self, engine: &str) {
        let ListedEngine { reads, address } = self.engines[engine];
        self.record(Seen::Started { engine: engine.to_owned() });
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970");
        let (name, text) = entry(engine, reads, address);
        let text = text.replace("\"since_ms\":0", &format!("\"since_ms\":{}", wall.as_millis()));
        self.tell_agents(&(Arc::new(EndpointChanges(vec![(name, text)])) as _));
    }

    /// Ends all; gives what was seen, and how the requests ended.
    pub fn end(self) -> (Facts, BTreeMap<Ending, u32>) {
        self.clients.0.send(Command::End);
        let mut endings = BTreeMap::new();
        for clients in self.clients.1.join().expect("the clients' thread") {
            clients.endings.iter().for_each(|(&ending, n)| *endings.entry(ending).or_default() += n);
        }
        let end = self.clock.now();
        drop((self.processes, self.ending));
        self.stand_ins.0.send(Command::End);
        self.stand_ins.1.join().expect("the engines' thread").expect("a run of engines");
        self.watching.into_iter().for_each(|watch| watch.join().expect("a watching thread"));
        let _ = std::fs::remove_dir_all(self.folder);
        let facts = std::mem::take(&mut lock_shared(&self.shared).facts);
        (Facts { facts, end }, endings)
    }
}

/// What was seen until the end.
pub struct Facts {
    facts: Vec<Fact>,
    end: Duration,
}

impl Facts {
    pub fn judge(&self, terms: &Terms) -> Vec<Violation> {
        judge(&self.facts, terms, self.end)
    }

    /// Attempts that came to an engine.
    pub fn begun(&self, engine: &str) -> usize {
        let at = |f: &&Fact| matches!(&f.seen, Seen::AttemptArrived { engine: e, .. } if e == engine);
        self.facts.iter().filter(at).count()
    }

    /// From each start of a router to when it said that it is ready, the shortest first.
    pub fn times_to_ready(&self) -> Vec<Duration> {
        let mut times = Vec::new();
        for f in &self.facts {
            let Seen::Launched { router } = &f.seen else { continue };
            let says =
                |g: &&Fact| matches!(&g.seen, Seen::Ready { router: r } if r == router) && g.at >= f.at;
            let first = self.facts.iter().filter(says).map(|g| g.at).min();
            times.extend(first.map(|at| at - f.at));
        }
        times.sort();
        times
    }
}
