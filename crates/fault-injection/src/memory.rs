//! A run in virtual time: the same machines that the processes run, the same wire, engines and clients. The same script gives the same
//! bytes.

use crate::bend::{bent, Bend};
use crate::history::{PolicySight, Sight};
use crate::own;
use crate::platter::Platter;
use crate::run::{Director, Outcome, Stage, LEAD};
use crate::script::{Propose, Script, Wish};
use crate::wire::{Link, Links, Noise, Wire};
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

/// How often the shell around the machines looks, as `serve` does.
const SHELL: Duration = Duration::from_millis(50);
const START: Duration = Duration::from_secs(1 << 20);
/// Wall time at the clock's beginning; any will do, as only differences count.
const WALL: Duration = Duration::from_secs(1_700_000_000);

/// The machines of a run.
enum Node {
    Idle,
    Fleet(Box<Member>, Option<Bend>),
    Front(Box<Gateway>, Option<Bend>),
    Engine(Box<Engine>),
    Clients(Box<Clients>),
    Wire(Box<Wire>),
}

impl Machine for Node {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match self {
            Node::Idle => {}
            Node::Fleet(m, bend) => {
                let mut place = Vec::new();
                m.handle(now, bent(*bend, input, &mut place), out);
            }
            Node::Front(m, bend) => {
                let from = out.len();
                m.handle(now, input, out);
                if let Some(bend) = bend {
                    bend.outgoing(&mut out[from..]);
                }
            }
            Node::Engine(m) => m.handle(now, input, out),
            Node::Clients(m) => m.handle(now, input, out),
            Node::Wire(m) => m.handle(now, input, out),
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        match self {
            Node::Idle => None,
            Node::Fleet(m, _) => m.wake_at(),
            Node::Front(m, _) => m.wake_at(),
            Node::Engine(m) => m.wake_at(),
            Node::Clients(m) => m.wake_at(),
            Node::Wire(m) => m.wake_at(),
        }
    }
}

/// A router: two machines and what their process would keep.
struct Router {
    fleet: usize,
    front: usize,
    board: Arc<SharedView>,
    folder: SavedState,
    folder_gone: bool,
    routers: u32,
    up: bool,
    odd_seeds: bool,
    twin: Option<(usize, Arc<SharedView>)>,
    platter: Platter,
    policy: Arc<PolicyHandle>,
    /// When it is to act by the epoch before again, if it is broken so.
    goes_back: Option<(Duration, Permit)>,
    starts: u32,
}

struct InMemory<'a> {
    world: World<Node>,
    script: &'a Script,
    routers: Vec<Router>,
    engines: Vec<SocketAddr>,
    wire: usize,
    clients: Option<usize>,
    rng: Xoshiro256PlusPlus,
    twins: u16,
    bend: Option<(Bend, Vec<usize>)>,
}

fn member_addr(r: usize) -> SocketAddr {
    SocketAddr::from(([127, 2, 0, r as u8 + 1], 7000))
}

fn wire_addr(from: usize, to: usize) -> SocketAddr {
    SocketAddr::from(([127, 3, from as u8 + 1, to as u8 + 1], 7000))
}

impl InMemory<'_> {
    fn peers(&self, r: usize) -> Peers {
        let n = self.script.routers;
        let others = |to: &usize| *to != r;
        let mut seeds: Vec<SocketAddr> =
            (0..self.script.seeds).filter(others).map(|to| wire_addr(r, to)).collect();
        if self.routers[r].odd_seeds {
            seeds.push(SocketAddr::from(([127, 2, 0, 250], 7000)));
        }
        let book: BTreeMap<String, SocketAddr> =
            (0..n).filter(others).map(|to| (format!("r{to}"), wire_addr(r, to))).collect();
        Peers { seeds, address_table: book }
    }

    fn settings(&self, r: usize, address: SocketAddr) -> MembershipSettings {
        MembershipSettings {
            fleet: "ground".into(),
            name: format!("r{r}"),
            address,
            routers: 1,
            min_routers: self.script.floor,
            max_datagram: self.script.datagram,
        }
    }

    fn bend(&self, r: usize) -> Option<Bend> {
        self.bend.as_ref().filter(|(_, whom)| whom.contains(&r)).map(|(bend, _)| *bend)
    }

    /// The settings file of a router.
    fn own_text(&self, r: usize) -> String {
        let addr = |port: u16| SocketAddr::from(([127, 2, 0, r as u8 + 1], port));
        let own = own::Own {
            clients: addr(8080),
            operators: addr(9180),
            fleet: member_addr(r),
            seeds: Vec::new(),
            folder: Path::new("kept"),
            book: None,
            engines: &self.engines,
        };
        own::settings(self.script, r, &own)
    }

    /// A router's part in the policy, from what stands on its disk.
    fn consensus(&mut self, r: usize, view: &Arc<SharedView>, now: Duration) -> Option<Consensus> {
        if self.script.founders == 0 {
            return None;
        }
        let text = self.own_text(r);
        let policy = slipreel_settings::policy_of(&text, "own").map(|p| p.text).unwrap_or_default();
        let settings = slipreel_consensus::ConsensusConfig {
            fleet: "ground".into(),
            name: format!("r{r}"),
            founders: (0..self.script.founders).map(|f| format!("r{f}")).collect(),
            policy,
            partition_mode: self.script.cut,
            max_datagram_len: self.script.datagram,
        };
        let attempt = move |policy: &str| match slipreel_settings::settings_with_policy(&text, "own", policy)
        {
            Ok(daemon) => Ok(Arc::new(daemon.gateway) as CompiledPolicy),
            Err(faults) => {
                let reasons: Vec<String> = faults.iter().map(ToString::to_string).collect();
                Err(InvalidPolicy::new(reasons.join("; ")))
            }
        };
        let router = &self.routers[r];
        let start = Startup {
            stored: Some(slipreel_consensus::storage::read(&router.platter.found()).map_err(Into::into)),
            disk: Box::new(router.platter.clone()),
            compiler: Box::new(attempt),
            directory: Box::new(MembershipDirectory(view.clone())),
            seed: self.rng.next_u64(),
            unix_time_at_zero: WALL,
            handle: router.policy.clone(),
        };
        Some(Consensus::new(settings, start, now))
    }

    /// What a broken router's front looks at in place of what the machine says.
    fn misled(&mut self, r: usize, now: Duration) {
        let made = slipreel_settings::parse(&self.own_text(r), "own")
            .ok()
            .map(|d| Arc::new(d.gateway) as CompiledPolicy);
        let board = Arc::new(PolicyHandle::default());
        board.set_permit(Permit {
            epoch: 1,
            until: now + Duration::from_secs(3_600),
            policy: made,
            partition_mode: PartitionMode::Refuse,
        });
        self.world.send_owner_message(self.routers[r].front, &board);
    }

    /// What broken routers do by themselves.
    fn bend_now(&mut self, r: usize) {
        let (now, bend) = (self.world.now(), self.bend(r));
        let permit = self.routers[r].policy.permit();
        match bend {
            Some(Bend::GoesBack) if permit.epoch == 1 => {
                self.routers[r].goes_back = Some((Duration::MAX, (*permit).clone()));
            }
            Some(Bend::GoesBack) if permit.epoch == 2 => {
                let Some((at, old)) = self.routers[r].goes_back.take() else { return };
                let at = at.min(now + Duration::from_secs(2));
                if now < at {
                    self.routers[r].goes_back = Some((at, old));
                } else {
                    let board = Arc::new(PolicyHandle::default());
                    board.set_permit(Permit { until: now + Duration::from_secs(3_600), ..old });
                    self.world.send_owner_message(self.routers[r].front, &board);
                }
            }
            // Its first configuration's file stands; nothing that is written from now on does.
            Some(Bend::ForgetsVotes) if permit.epoch == 1 => self.routers[r].platter.stick(),
            Some(Bend::NoSync) if permit.epoch == 1 => self.routers[r].platter.lie(),
            Some(Bend::EmptySnapshot) => self.routers[r].platter.blank(),
            _ => {}
        }
    }

    /// What `serve` does between two looks.
    fn shell(&mut self) {
        for r in 0..self.routers.len() {
            let router = &mut self.routers[r];
            if !router.up {
                continue;
            }
            if !router.folder_gone {
                router.folder = (*router.board.saved_state()).clone();
            }
            if self.bend.is_some() {
                self.bend_now(r);
            }
            let router = &mut self.routers[r];
            let routers = router.board.view().router_count;
            if routers != router.routers {
                router.routers = routers;
                let front = router.front;
                self.world.send_owner_message(front, &RouterCount(routers));
            }
        }
    }
}

impl Stage for InMemory<'_> {
    fn now(&self) -> Duration {
        self.world.now()
    }

    fn until(&mut self, at: Duration) -> bool {
        while self.world.now() < at {
            let next = at.min(self.world.now() + SHELL);
            self.world.run_until(next);
            self.shell();
        }
        true
    }

    fn start(&mut self, r: usize, fresh: bool) -> Result<(), String> {
        let now = self.world.now();
        if fresh {
            self.routers[r].folder = SavedState::default();
            self.routers[r].platter.lose();
        }
        self.routers[r].policy = Arc::default();
        self.routers[r].starts += 1;
        let board = Arc::new(SharedView::default());
        let seed = self.rng.next_u64();
        let peers = self.peers(r);
        let kept = self.routers[r].folder.clone();
        let member =
            Membership::new(self.settings(r, member_addr(r)), peers, &kept, seed, now, board.clone());
        let member = Member::new(member, self.consensus(r, &board, now));
        let bend = self.bend(r);
        let mut site = self.script.day.router_settings(r, &self.engines);
        if let (true, Ok(daemon)) =
            (self.script.founders > 0, slipreel_settings::parse(&self.own_text(r), "own"))
        {
            site = daemon.gateway;
        }
        site.decisions.router_count = self.script.floor;
        site.name = format!("r{r}");
        let front = Gateway::new(Arc::new(site), self.rng.next_u64(), now, WALL + now);
        let router = &mut self.routers[r];
        (router.board, router.up, router.routers) = (board.clone(), true, board.view().router_count);
        if !router.folder_gone {
            router.folder = (*board.saved_state()).clone();
        }
        let (fleet_at, front_at, routers) = (router.fleet, router.front, router.routers);
        for (at, node) in
            [(fleet_at, Node::Fleet(Box::new(member), bend)), (front_at, Node::Front(Box::new(front), bend))]
        {
            self.world.kill(at);
            self.world.revive(at, node);
        }
        self.world.send_owner_message(front_at, &board);
        self.world.send_owner_message(front_at, &RouterCount(routers));
        if self.script.founders > 0 {
            let policy = self.routers[r].policy.clone();
            self.world.send_owner_message(front_at, &policy);
        }
        if bend == Some(Bend::Eager) && self.routers[r].starts > 1 {
            self.misled(r, now);
        }
        Ok(())
    }

    fn kill(&mut self, r: usize) {
        self.routers[r].up = false;
        self.world.kill(self.routers[r].fleet);
        self.world.kill(self.routers[r].front);
    }

    fn leave(&mut self, r: usize) {
        self.routers[r].up = false;
        self.world.stop(self.routers[r].fleet);
        self.world.stop(self.routers[r].front);
    }

    fn freeze(&mut self, r: usize, still: bool) {
        self.routers[r].up = !still;
        self.world.freeze(self.routers[r].fleet, still);
        self.world.freeze(self.routers[r].front, still);
    }

    fn twin(&mut self, r: usize, runs: bool) -> Result<(), String> {
        if let Some((node, _)) = self.routers[r].twin.take() {
            self.world.kill(node);
        }
        if runs {
            self.twins += 1;
            let address = SocketAddr::from(([127, 4, 0, 1], 7000 + self.twins));
            let board = Arc::new(SharedView::default());
            let seeds = (0..self.script.routers).filter(|o| *o != r).map(member_addr).collect();
            let peers = Peers { seeds, address_table: BTreeMap::new() };
            let seed = self.rng.next_u64();
            let now = self.world.now();
            let settings = self.settings(r, address);
            let member = Membership::new(settings, peers, &SavedState::default(), seed, now, board.clone());
            let member = Member::new(member, None);
            let node = self.world.add(Node::Fleet(Box::new(member), None), &[address]);
            self.world.open_datagram_sockets(node, &[address]);
            self.routers[r].twin = Some((node, board));
        }
        Ok(())
    }

    fn folder(&mut self, r: usize, gone: bool) {
        self.routers[r].folder_gone = gone;
        self.routers[r].platter.fill(gone);
        if gone {
            self.routers[r].platter.lose();
            self.routers[r].folder = SavedState::default();
        }
    }

    fn reload(&mut self, r: usize) {
        self.routers[r].odd_seeds ^= true;
        let peers = Arc::new(self.peers(r));
        self.world.send_owner_message(self.routers[r].fleet, &peers);
    }

    fn links(&mut self, links: Vec<(usize, usize, Link)>) {
        self.world.send_owner_message(self.wire, &Arc::new(Links(links)));
    }

    fn noise(&mut self, r: usize, bytes: Vec<u8>) {
        self.world.send_owner_message(self.wire, &Noise(r, bytes));
    }

    fn sight(&mut self, r: usize) -> Option<Sight> {
        Some(Sight::of_view(&self.routers[r].board.view()))
    }

    fn twin_sight(&mut self, r: usize) -> Option<Sight> {
        self.routers[r].twin.as_ref().map(|(_, board)| Sight::of_view(&board.view()))
    }

    fn policy_sight(&mut self, r: usize) -> Option<PolicySight> {
        let (shown, permit) = (self.routers[r].policy.status(), self.routers[r].policy.permit());
        Some(PolicySight {
            epoch: shown.epoch,
            digest: format!("{:016x}", shown.digest),
            serving: permit.holds(self.world.now()),
            pending: shown.pending.as_ref().map(|change| change.id.clone()),
            voters: shown.voters.clone(),
            stuck: crate::history::is_stuck(shown.faults.iter().map(String::as_str)),
        })
    }

    fn propose(&mut self, propose: &Propose) -> bool {
        let (id, from) = (propose.id.clone(), format!("r{}", propose.to));
        let board = &self.routers[propose.to].policy;
        let word = match propose.wish {
            Wish::Replace(r) => OperatorRequest::Replace { old: format!("r{r}"), new: None },
            Wish::Back(epoch) => match board.status().rollback_proposal(epoch, id, 0) {
                Some(p) => OperatorRequest::Propose(p),
                None => return false,
            },
            Wish::Change | Wish::Bad => match own::policy(self.script, propose) {
                Some(text) => OperatorRequest::Propose(Proposal {
                    id,
                    text,
                    from,
                    submitted_unix_s: 0,
                    base_epoch: 0,
                    restores_epoch: None,
                }),
                None => return false,
            },
        };
        board.submit(word)
    }

    fn heard(&mut self, r: usize, id: &str) -> Option<ChangeStatus> {
        let said = match self.routers[r].policy.status().proposal_status(id) {
            ProposalStatus::InForce(epoch) => ChangeStatus::InForce(epoch),
            ProposalStatus::Dropped(_) if self.bend(r) == Some(Bend::Liar) => ChangeStatus::InForce(99),
            ProposalStatus::Dropped(o) => ChangeStatus::Dropped(rejections_text(&o.rejections)),
            ProposalStatus::Pending(_) => ChangeStatus::Pending,
            ProposalStatus::Unknown => ChangeStatus::Unknown,
        };
        Some(said)
    }

    fn fill(&mut self, r: usize, full: bool) {
        self.routers[r].platter.fill(full);
    }

    fn tear(&mut self, r: usize) {
        self.routers[r].platter.tear();
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

/// Plays a script in memory, in virtual time.
///
/// # Errors
/// None so far: a router always starts here.
pub fn play_in_memory(script: &Script) -> Result<Outcome, String> {
    play(script, None)
}

/// Plays it with some routers broken on purpose.
///
/// # Errors
/// None so far.
pub fn play_broken(script: &Script, bend: Bend, whom: &[usize]) -> Result<Outcome, String> {
    play(script, Some((bend, whom.to_vec())))
}

fn play(script: &Script, bend: Option<(Bend, Vec<usize>)>) -> Result<Outcome, String> {
    let ledger = Ledger::default();
    let n = script.routers;
    let addr = |port: usize| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let mut world = World::new(START, Delays::default(), script.seed);
    let engines: Vec<SocketAddr> = (0..script.day.engines.len()).map(|e| addr(20_000 + e)).collect();
    for (e, at) in engines.iter().enumerate() {
        let mut spec = script.day.engines[e].spec.clone();
        spec.addr = *at;
        world.add(Node::Engine(Box::new(Engine::warm(spec, ledger.clone(), START, WALL + START))), &[*at]);
    }
    let mut routers = Vec::new();
    for r in 0..n {
        let fleet = world.add(Node::Idle, &[member_addr(r)]);
        world.open_datagram_sockets(fleet, &[member_addr(r)]);
        let front = world.add(Node::Idle, &[addr(10_000 + r), addr(15_000 + r)]);
        world.kill(fleet);
        world.kill(front);
        routers.push(Router {
            fleet,
            front,
            board: Arc::default(),
            folder: SavedState::default(),
            folder_gone: false,
            routers: 0,
            up: false,
            odd_seeds: false,
            twin: None,
            platter: Platter::default(),
            policy: Arc::default(),
            goes_back: None,
            starts: 0,
        });
    }
    let ways: Vec<SocketAddr> = Wire::ways(n).map(|(from, to)| wire_addr(from, to)).collect();
    let wire =
        world.add(Node::Wire(Box::new(Wire::new((0..n).map(member_addr).collect(), script.seed))), &ways);
    world.open_datagram_sockets(wire, &ways);
    let clients = script.traffic.then(|| {
        let mut plans = script.day.requests.clone();
        plans.iter_mut().for_each(|p| p.at += START + LEAD);
        let targets = (0..n).map(|r| addr(10_000 + r)).collect();
        world.add(Node::Clients(Box::new(Clients::new(plans, targets, ledger.clone(), true))), &[])
    });
    let rng = Xoshiro256PlusPlus::seed_from_u64(script.seed ^ 0x11fe);
    let mut stage = InMemory { world, script, routers, engines, wire, clients, rng, twins: 0, bend };
    let mut director = Director::new(script, ledger.clone(), START);
    director.run(&mut stage)?;
    let results = match clients.map(|c| stage.world.machine(c)) {
        Some(Node::Clients(c)) => c.results().to_vec(),
        _ => Vec::new(),
    };
    let log = stage.world.log().iter().map(|(at, node, line)| format!("{:?} {node}: {line}", *at - START));
    let (log, digest, now) = (log.collect(), stage.world.digest(), stage.world.now());
    Ok(director.outcome(ledger.records(), results, log, digest, now))
}
