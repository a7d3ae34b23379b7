//! Runs in virtual time, with the state machines that the processes run and the same network, engines and
//! clients. The same script gives the same bytes.

use crate::defect::{tamper_input, Defect};
use crate::history::{cannot_apply_policy, ReportedPolicy, ReportedView};
use crate::relay_network::{InjectedDatagram, Link, LinkUpdates, RelayNetwork};
use crate::router_config::{self, RouterConfig};
use crate::script::{ProposalAction, Script, ScriptedProposal};
use crate::script_runner::{Driver, Outcome, ScriptRunner, TRAFFIC_START_DELAY};
use crate::simulated_disk::SimulatedDisk;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_consensus::policy_state::{Proposal, Rejection};
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::{
    CompiledPolicy, Consensus, InvalidPolicy, Member, MembershipDirectory, PartitionMode, Permit,
    PolicyHandle, ProposalStatus, Startup,
};
use slipreel_gateway::{Gateway, RouterCount};
use slipreel_invariants::policy::ChangeStatus;
use slipreel_membership::{Membership, MembershipSettings, Peers, SavedState, SharedView};
use slipreel_state_machine::{Input, Machine, Output};
use slipreel_test_servers::client::Clients;
use slipreel_test_servers::engine::Engine;
use slipreel_test_servers::ledger::Ledger;
use slipreel_test_servers::memory::{Delays, World};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Interval of the work that `serve` does around the state machines.
const HOST_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Virtual time at which the run starts.
const START_TIME: Duration = Duration::from_secs(1 << 20);
/// Unix time at zero of the virtual clock. Any value will do, as only differences count.
const UNIX_TIME_AT_ZERO: Duration = Duration::from_secs(1_700_000_000);

/// The state machines of a run.
enum Node {
    Idle,
    Member(Box<Member>, Option<Defect>),
    Gateway(Box<Gateway>, Option<Defect>),
    Engine(Box<Engine>),
    Clients(Box<Clients>),
    RelayNetwork(Box<RelayNetwork>),
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Node::Idle => {}
            Node::Member(m, defect) => {
                let mut buffer = Vec::new();
                m.handle(now, tamper_input(*defect, input, &mut buffer), out);
            }
            Node::Gateway(m, defect) => {
                let from = out.len();
                m.handle(now, input, out);
                if let Some(defect) = defect {
                    defect.tamper_output(&mut out[from..]);
                }
            }
            Node::Engine(m) => m.handle(now, input, out),
            Node::Clients(m) => m.handle(now, input, out),
            Node::RelayNetwork(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Node::Idle => None,
            Node::Member(m, _) => m.wake_at(),
            Node::Gateway(m, _) => m.wake_at(),
            Node::Engine(m) => m.wake_at(),
            Node::Clients(m) => m.wake_at(),
            Node::RelayNetwork(m) => m.wake_at(),
        }
    }
}

/// A router: two state machines, given by their nodes in the world, and the state that outlives their
/// process.
struct Router {
    member: usize,
    gateway: usize,
    view: Arc<SharedView>,
    folder: SavedState,
    folder_unwritable: bool,
    /// The number of routers that was last sent to the gateway.
    counted_routers: u32,
    up: bool,
    /// Whether the router's peers contain a further seed, at which nobody listens. Toggled by reloads.
    extra_seed: bool,
    /// A second process with the router's name: its node in the world, and its view.
    duplicate: Option<(usize, Arc<SharedView>)>,
    disk: SimulatedDisk,
    policy: Arc<PolicyHandle>,
    /// For [`Defect::RevertsToOldEpoch`]: when the router is to apply the previous epoch again, and by which
    /// permit.
    old_permit: Option<(Duration, Permit)>,
    /// How many times the router was started.
    start_count: u32,
}

/// The driver in virtual time.
struct VirtualTime<'a> {
    world: World<Node>,
    script: &'a Script,
    routers: Vec<Router>,
    engines: Vec<SocketAddr>,
    network: usize,
    clients: Option<usize>,
    rng: Xoshiro256PlusPlus,
    duplicate_count: u16,
    /// A defect and the routers that have it.
    defect: Option<(Defect, Vec<usize>)>,
}

fn member_address(r: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, 0, r as u8 + 1], 7000))
}

fn relay_address(from: usize, to: usize) -> SocketAddr {
    SocketAddr::from(([127, 3, from as u8 + 1, to as u8 + 1], 7000))
}

impl VirtualTime<'_> {
    fn peers(&self, r: usize) -> Peers {
        let n = self.script.routers;
        let others = |to: &usize| *to != r;
        let mut seeds: Vec<SocketAddr> =
            (0..self.script.seeds).filter(others).map(|to| relay_address(r, to)).collect();
        if self.routers[r].extra_seed {
            seeds.push(SocketAddr::from(([127, 2, 0, 250], 7000)));
        }
        let address_table: BTreeMap<String, SocketAddr> =
            (0..n).filter(others).map(|to| (format!("r{to}"), relay_address(r, to))).collect();
        Peers { seeds, address_table }
    }

    fn settings(&self, r: usize, address: SocketAddr) -> MembershipSettings {
        MembershipSettings {
            fleet: "ground".into(),
            name: format!("r{r}"),
            address,
            routers: 1,
            min_routers: self.script.min_routers,
            max_datagram: self.script.max_datagram,
        }
    }

    fn defect(&self, r: usize) -> Option<Defect> {
        self.defect.as_ref().filter(|(_, routers)| routers.contains(&r)).map(|(defect, _)| *defect)
    }

    /// The text of a router's settings file.
    fn settings_text(&self, r: usize) -> String {
        let addr = |port: u16| SocketAddr::from(([127, 2, 0, r as u8 + 1], port));
        let config = RouterConfig {
            clients: addr(8080),
            operators: addr(9180),
            fleet: member_address(r),
            seeds: Vec::new(),
            folder: Path::new("kept"),
            address_table: None,
            engines: &self.engines,
        };
        router_config::settings_text(self.script, r, &config)
    }

    /// The consensus state machine of a router, from the contents of its disk; `None` if the script has no
    /// founders of a policy.
    fn consensus(&mut self, r: usize, view: &Arc<SharedView>, now: Duration) -> Option<Consensus> {
        if self.script.founders == 0 {
            return None;
        }
        let text = self.settings_text(r);
        let policy = slipreel_settings::policy_of(&text, "own").map(|p| p.text).unwrap_or_default();
        let config = slipreel_consensus::ConsensusConfig {
            fleet: "ground".into(),
            name: format!("r{r}"),
            founders: (0..self.script.founders).map(|f| format!("r{f}")).collect(),
            policy,
            partition_mode: self.script.partition_mode,
            max_datagram_len: self.script.max_datagram,
        };
        let compile = move |policy: &str| match slipreel_settings::settings_with_policy(&text, "own", policy)
        {
            Ok(daemon) => Ok(Arc::new(daemon.gateway) as CompiledPolicy),
            Err(faults) => {
                let reasons: Vec<String> = faults.iter().map(ToString::to_string).collect();
                Err(InvalidPolicy::new(reasons.join("; ")))
            }
        };
        let router = &self.routers[r];
        let startup = Startup {
            stored: Some(
                slipreel_consensus::storage::read(&router.disk.contents_after_restart()).map_err(Into::into),
            ),
            disk: Box::new(router.disk.clone()),
            compiler: Box::new(compile),
            directory: Box::new(MembershipDirectory(view.clone())),
            seed: self.rng.next_u64(),
            unix_time_at_zero: UNIX_TIME_AT_ZERO,
            handle: router.policy.clone(),
        };
        Some(Consensus::new(config, startup, now))
    }

    /// Makes a router's gateway take requests by the policy of its settings file, without consensus.
    fn send_unconfirmed_permit(&mut self, r: usize, now: Duration) {
        let policy = slipreel_settings::parse(&self.settings_text(r), "own")
            .ok()
            .map(|d| Arc::new(d.gateway) as CompiledPolicy);
        let handle = Arc::new(PolicyHandle::default());
        handle.set_permit(Permit {
            epoch: 1,
            until: now + Duration::from_secs(3_600),
            policy,
            partition_mode: PartitionMode::Refuse,
        });
        self.world.send_owner_message(self.routers[r].gateway, &handle);
    }

    /// Applies the defects that do not depend on an input or output.
    fn apply_defect(&mut self, r: usize) {
        let (now, defect) = (self.world.now(), self.defect(r));
        let permit = self.routers[r].policy.permit();
        match defect {
            Some(Defect::RevertsToOldEpoch) if permit.epoch == 1 => {
                self.routers[r].old_permit = Some((Duration::MAX, (*permit).clone()));
            }
            Some(Defect::RevertsToOldEpoch) if permit.epoch == 2 => {
                let Some((at, old)) = self.routers[r].old_permit.take() else { return };
                let at = at.min(now + Duration::from_secs(2));
                if now < at {
                    self.routers[r].old_permit = Some((at, old));
                } else {
                    let handle = Arc::new(PolicyHandle::default());
                    handle.set_permit(Permit { until: now + Duration::from_secs(3_600), ..old });
                    self.world.send_owner_message(self.routers[r].gateway, &handle);
                }
            }
            // The disk keeps the file of the first configuration and nothing that is written later.
            Some(Defect::ForgetsVotes) if permit.epoch == 1 => self.routers[r].disk.keep_contents(),
            Some(Defect::NoSync) if permit.epoch == 1 => self.routers[r].disk.skip_syncs(),
            Some(Defect::EmptySnapshot) => self.routers[r].disk.drop_initial_state(),
            _ => {}
        }
    }

    /// Does what `serve` does around the state machines in each interval.
    fn run_host_work(&mut self) {
        for r in 0..self.routers.len() {
            let router = &mut self.routers[r];
            if !router.up {
                continue;
            }
            if !router.folder_unwritable {
                router.folder = (*router.view.saved_state()).clone();
            }
            if self.defect.is_some() {
                self.apply_defect(r);
            }
            let router = &mut self.routers[r];
            let router_count = router.view.view().router_count;
            if router_count != router.counted_routers {
                router.counted_routers = router_count;
                let gateway = router.gateway;
                self.world.send_owner_message(gateway, &RouterCount(router_count));
            }
        }
    }
}

impl Driver for VirtualTime<'_> {
    fn now(&self) -> Duration {
        self.world.now()
    }

    fn run_until(&mut self, at: Duration) -> bool {
        while self.world.now() < at {
            let next = at.min(self.world.now() + HOST_POLL_INTERVAL);
            self.world.run_until(next);
            self.run_host_work();
        }
        true
    }

    fn start(&mut self, r: usize, empty_folder: bool) -> Result<(), String> {
        let now = self.world.now();
        if empty_folder {
            self.routers[r].folder = SavedState::default();
            self.routers[r].disk.erase();
        }
        self.routers[r].policy = Arc::default();
        self.routers[r].start_count += 1;
        let view = Arc::new(SharedView::default());
        let seed = self.rng.next_u64();
        let peers = self.peers(r);
        let saved_state = self.routers[r].folder.clone();
        let member = Membership::new(
            self.settings(r, member_address(r)),
            peers,
            &saved_state,
            seed,
            now,
            view.clone(),
        );
        let member = Member::new(member, self.consensus(r, &view, now));
        let defect = self.defect(r);
        let mut site = self.script.day.router_settings(r, &self.engines);
        if let (true, Ok(daemon)) =
            (self.script.founders > 0, slipreel_settings::parse(&self.settings_text(r), "own"))
        {
            site = daemon.gateway;
        }
        site.decisions.router_count = self.script.min_routers;
        site.name = format!("r{r}");
        let gateway = Gateway::new(Arc::new(site), self.rng.next_u64(), now, UNIX_TIME_AT_ZERO + now);
        let router = &mut self.routers[r];
        (router.view, router.up, router.counted_routers) = (view.clone(), true, view.view().router_count);
        if !router.folder_unwritable {
            router.folder = (*view.saved_state()).clone();
        }
        let (member_at, gateway_at, router_count) = (router.member, router.gateway, router.counted_routers);
        for (at, node) in [
            (member_at, Node::Member(Box::new(member), defect)),
            (gateway_at, Node::Gateway(Box::new(gateway), defect)),
        ] {
            self.world.kill(at);
            self.world.revive(at, node);
        }
        self.world.send_owner_message(gateway_at, &view);
        self.world.send_owner_message(gateway_at, &RouterCount(router_count));
        if self.script.founders > 0 {
            let policy = self.routers[r].policy.clone();
            self.world.send_owner_message(gateway_at, &policy);
        }
        if defect == Some(Defect::ServesBeforeConfirmation) && self.routers[r].start_count > 1 {
            self.send_unconfirmed_permit(r, now);
        }
        Ok(())
    }

    fn kill(&mut self, r: usize) {
        self.routers[r].up = false;
        self.world.kill(self.routers[r].member);
        self.world.kill(self.routers[r].gateway);
    }

    fn leave(&mut self, r: usize) {
        self.routers[r].up = false;
        self.world.stop(self.routers[r].member);
        self.world.stop(self.routers[r].gateway);
    }

    fn set_paused(&mut self, r: usize, paused: bool) {
        self.routers[r].up = !paused;
        self.world.freeze(self.routers[r].member, paused);
        self.world.freeze(self.routers[r].gateway, paused);
    }

    fn set_duplicate(&mut self, r: usize, running: bool) -> Result<(), String> {
        if let Some((node, _)) = self.routers[r].duplicate.take() {
            self.world.kill(node);
        }
        if running {
            self.duplicate_count += 1;
            let address = SocketAddr::from(([127, 4, 0, 1], 7000 + self.duplicate_count));
            let view = Arc::new(SharedView::default());
            let seeds = (0..self.script.routers).filter(|o| *o != r).map(member_address).collect();
            let peers = Peers { seeds, address_table: BTreeMap::new() };
            let seed = self.rng.next_u64();
            let now = self.world.now();
            let settings = self.settings(r, address);
            let member = Membership::new(settings, peers, &SavedState::default(), seed, now, view.clone());
            let member = Member::new(member, None);
            let node = self.world.add(Node::Member(Box::new(member), None), &[address]);
            self.world.open_datagram_sockets(node, &[address]);
            self.routers[r].duplicate = Some((node, view));
        }
        Ok(())
    }

    fn set_folder_unwritable(&mut self, r: usize, unwritable: bool) {
        self.routers[r].folder_unwritable = unwritable;
        self.routers[r].disk.set_full(unwritable);
        if unwritable {
            self.routers[r].disk.erase();
            self.routers[r].folder = SavedState::default();
        }
    }

    fn reload(&mut self, r: usize) {
        self.routers[r].extra_seed ^= true;
        let peers = Arc::new(self.peers(r));
        self.world.send_owner_message(self.routers[r].member, &peers);
    }

    fn update_links(&mut self, links: Vec<(usize, usize, Link)>) {
        self.world.send_owner_message(self.network, &Arc::new(LinkUpdates(links)));
    }

    fn inject_datagram(&mut self, r: usize, bytes: Vec<u8>) {
        self.world.send_owner_message(self.network, &InjectedDatagram(r, bytes));
    }

    fn reported_view(&mut self, r: usize) -> Option<ReportedView> {
        Some(ReportedView::from_view(&self.routers[r].view.view()))
    }

    fn duplicate_view(&mut self, r: usize) -> Option<ReportedView> {
        self.routers[r].duplicate.as_ref().map(|(_, view)| ReportedView::from_view(&view.view()))
    }

    fn reported_policy(&mut self, r: usize) -> Option<ReportedPolicy> {
        let (status, permit) = (self.routers[r].policy.status(), self.routers[r].policy.permit());
        Some(ReportedPolicy {
            epoch: status.epoch,
            digest: format!("{:016x}", status.digest),
            serving: permit.holds(self.world.now()),
            pending: status.pending.as_ref().map(|change| change.id.clone()),
            voters: status.voters.clone(),
            cannot_apply: cannot_apply_policy(status.faults.iter().map(String::as_str)),
        })
    }

    fn submit(&mut self, proposal: &ScriptedProposal) -> bool {
        let (id, from) = (proposal.id.clone(), format!("r{}", proposal.router));
        let handle = &self.routers[proposal.router].policy;
        let request = match proposal.action {
            ProposalAction::ReplaceVoter(r) => OperatorRequest::Replace { old: format!("r{r}"), new: None },
            ProposalAction::Rollback(epoch) => match handle.status().rollback_proposal(epoch, id, 0) {
                Some(p) => OperatorRequest::Propose(p),
                None => return false,
            },
            ProposalAction::Change | ProposalAction::Incompatible => {
                match router_config::proposed_policy_text(self.script, proposal) {
                    Some(text) => OperatorRequest::Propose(Proposal {
                        id,
                        text,
                        from,
                        submitted_unix_s: 0,
                        base_epoch: 0,
                        restores_epoch: None,
                    }),
                    None => return false,
                }
            }
        };
        handle.submit(request)
    }

    fn change_status(&mut self, r: usize, id: &str) -> Option<ChangeStatus> {
        let status = match self.routers[r].policy.status().proposal_status(id) {
            ProposalStatus::InForce(epoch) => ChangeStatus::InForce(epoch),
            ProposalStatus::Dropped(_) if self.defect(r) == Some(Defect::ReportsDroppedAsInForce) => {
                ChangeStatus::InForce(99)
            }
            ProposalStatus::Dropped(o) => ChangeStatus::Dropped(rejections_text(&o.rejections)),
            ProposalStatus::Pending(_) => ChangeStatus::Pending,
            ProposalStatus::Unknown => ChangeStatus::Unknown,
        };
        Some(status)
    }

    fn set_disk_full(&mut self, r: usize, full: bool) {
        self.routers[r].disk.set_full(full);
    }

    fn append_torn_frame(&mut self, r: usize) {
        self.routers[r].disk.append_torn_frame();
    }

    fn clients_done(&self) -> bool {
        match self.clients.map(|c| self.world.machine(c)) {
            Some(Node::Clients(c)) => c.left() == 0,
            _ => true,
        }
    }
}

/// The text of rejections in recorded histories, which keeps the names of earlier builds.
fn rejections_text(rejections: &[Rejection]) -> String {
    let text = |rejection: &Rejection| {
        format!("No {{ router: {:?}, why: {:?} }}", rejection.router, rejection.reason)
    };
    format!("[{}]", rejections.iter().map(text).collect::<Vec<_>>().join(", "))
}

/// Plays a script in virtual time.
///
/// # Errors
/// None at present: in virtual time every router starts.
pub fn play_in_memory(script: &Script) -> Result<Outcome, String> {
    play(script, None)
}

/// Plays a script in virtual time in which the given routers have a defect.
///
/// # Errors
/// None at present.
pub fn play_with_defect(script: &Script, defect: Defect, routers: &[usize]) -> Result<Outcome, String> {
    play(script, Some((defect, routers.to_vec())))
}

fn play(script: &Script, defect: Option<(Defect, Vec<usize>)>) -> Result<Outcome, String> {
    let ledger = Ledger::default();
    let n = script.routers;
    let addr = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let mut world = World::new(START_TIME, Delays::default(), script.seed);
    let engines: Vec<SocketAddr> = (0..script.day.engines.len()).map(|e| addr(20_000 + e)).collect();
    for (e, at) in engines.iter().enumerate() {
        let mut spec = script.day.engines[e].spec.clone();
        spec.addr = *at;
        world.add(
            Node::Engine(Box::new(Engine::warm(
                spec,
                ledger.clone(),
                START_TIME,
                UNIX_TIME_AT_ZERO + START_TIME,
            ))),
            &[*at],
        );
    }
    let mut routers = Vec::new();
    for r in 0..n {
        let member = world.add(Node::Idle, &[member_address(r)]);
        world.open_datagram_sockets(member, &[member_address(r)]);
        let gateway = world.add(Node::Idle, &[addr(10_000 + r), addr(15_000 + r)]);
        world.kill(member);
        world.kill(gateway);
        routers.push(Router {
            member,
            gateway,
            view: Arc::default(),
            folder: SavedState::default(),
            folder_unwritable: false,
            counted_routers: 0,
            up: false,
            extra_seed: false,
            duplicate: None,
            disk: SimulatedDisk::default(),
            policy: Arc::default(),
            old_permit: None,
            start_count: 0,
        });
    }
    let relay_addresses: Vec<SocketAddr> =
        RelayNetwork::directed_links(n).map(|(from, to)| relay_address(from, to)).collect();
    let network = world.add(
        Node::RelayNetwork(Box::new(RelayNetwork::new((0..n).map(member_address).collect(), script.seed))),
        &relay_addresses,
    );
    world.open_datagram_sockets(network, &relay_addresses);
    let clients = script.traffic.then(|| {
        let mut plans = script.day.requests.clone();
        plans.iter_mut().for_each(|p| p.at += START_TIME + TRAFFIC_START_DELAY);
        let targets = (0..n).map(|r| addr(10_000 + r)).collect();
        world.add(Node::Clients(Box::new(Clients::new(plans, targets, ledger.clone(), true))), &[])
    });
    let rng = Xoshiro256PlusPlus::seed_from_u64(script.seed ^ 0x11fe);
    let mut driver =
        VirtualTime { world, script, routers, engines, network, clients, rng, duplicate_count: 0, defect };
    let mut runner = ScriptRunner::new(script, ledger.clone(), START_TIME);
    runner.run(&mut driver)?;
    let results = match clients.map(|c| driver.world.machine(c)) {
        Some(Node::Clients(c)) => c.results().to_vec(),
        _ => Vec::new(),
    };
    let log =
        driver.world.log().iter().map(|(at, node, line)| format!("{:?} {node}: {line}", *at - START_TIME));
    let (log, digest, now) = (log.collect(), driver.world.digest(), driver.world.now());
    Ok(runner.outcome(ledger.records(), results, log, digest, now))
}
