//! Scripts: the number of routers, the traffic and the faults of a run, written down or drawn from the seed.
//!
//! A script is INI: the sections of a day ([`slipreel_scenario`]) for site, engines and traffic, `[ground]`,
//! a `[fault NAME]` for each fault and a `[propose NAME]` for each proposal. `docs/operators/fleet.md`
//! describes the format.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_consensus::PartitionMode;
use slipreel_scenario::{read_scenario_sections, Scenario, SCENARIO_SECTIONS};
use slipreel_settings::{Doc, Fault as SettingsFault, Value};
use std::time::Duration;

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// SIGKILL; the router is started again at the end.
    Kill,
    /// SIGKILL and loss of the folder; the router is started again at the end.
    #[serde(rename = "kill_lost")]
    KillAndLoseFolder,
    /// SIGKILL without a new start.
    #[serde(rename = "die")]
    KillForGood,
    /// The router is not started with the others, but when this fault begins.
    #[serde(rename = "late")]
    LateStart,
    /// SIGTERM; the router is started again at the end.
    Leave,
    /// SIGSTOP, and SIGCONT at the end.
    #[serde(rename = "stop")]
    Pause,
    /// The routers are cut off from all others. Links among them and links among the others work.
    #[serde(rename = "cut")]
    Partition,
    /// As `Partition` in one direction: what the routers send to the others does not arrive.
    #[serde(rename = "cut_one_way")]
    PartitionOneWay,
    /// Only the links between the routers of the list are cut.
    #[serde(rename = "cut_pair")]
    PartitionPair,
    /// All links lose, delay, duplicate and reorder datagrams.
    #[serde(rename = "weather")]
    DegradedLinks,
    /// Connections from and to the routers pass one byte at a time.
    #[serde(rename = "trickle")]
    SlowConnections,
    /// Connections to the routers are accepted and never answered.
    #[serde(rename = "mute")]
    StalledConnections,
    /// The routers receive invalid datagrams.
    #[serde(rename = "noise")]
    InvalidDatagrams,
    /// A second process with the router's name and its own folder runs until the end.
    #[serde(rename = "twin")]
    DuplicateProcess,
    /// The router's folder can't be written.
    #[serde(rename = "folder_gone")]
    FolderUnwritable,
    /// The router's address table and seeds change, and SIGHUP makes it read them.
    Reload,
    /// The state of a voter can't be written any more: the disk is full.
    DiskFull,
    /// SIGKILL during a write; the router is started again at the end.
    #[serde(rename = "kill_torn")]
    KillMidWrite,
}

/// All kinds of faults with their names in scripts. Faults are drawn by their index in this list.
pub const FAULT_KINDS: &[(&str, FaultKind)] = &[
    ("kill", FaultKind::Kill),
    ("kill_lost", FaultKind::KillAndLoseFolder),
    ("die", FaultKind::KillForGood),
    ("late", FaultKind::LateStart),
    ("leave", FaultKind::Leave),
    ("stop", FaultKind::Pause),
    ("cut", FaultKind::Partition),
    ("cut_one_way", FaultKind::PartitionOneWay),
    ("cut_pair", FaultKind::PartitionPair),
    ("weather", FaultKind::DegradedLinks),
    ("trickle", FaultKind::SlowConnections),
    ("mute", FaultKind::StalledConnections),
    ("noise", FaultKind::InvalidDatagrams),
    ("twin", FaultKind::DuplicateProcess),
    ("folder_gone", FaultKind::FolderUnwritable),
    ("reload", FaultKind::Reload),
    ("disk_full", FaultKind::DiskFull),
    ("kill_torn", FaultKind::KillMidWrite),
];

impl Value for FaultKind {
    const EXPECTED: &'static str = "a kind of fault";
    fn read(text: &str) -> Result<Self, String> {
        let found = FAULT_KINDS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
        found.ok_or_else(|| {
            let names: Vec<&str> = FAULT_KINDS.iter().map(|(name, _)| *name).collect();
            format!("one of {}", names.join(", "))
        })
    }
}

/// A fault of a script.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// The beginning, as time since the start of the run.
    pub at: Duration,
    /// The duration.
    pub lasts: Duration,
    /// The numbers of the affected routers.
    #[serde(rename = "whom")]
    pub routers: Vec<usize>,
    /// Share of lost datagrams, for `DegradedLinks`.
    pub loss: f64,
    /// Delay in one direction, for `DegradedLinks`.
    pub delay: Duration,
}

/// What an operator asks for in a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalAction {
    /// A policy that every router can apply.
    Change,
    /// A policy that the limited router can't apply, because it takes out the only prefill engine that this
    /// router lists.
    Incompatible,
    /// The policy of an earlier epoch.
    Rollback(u64),
    /// Replacement of a voter, given by its number, that is gone for good.
    ReplaceVoter(usize),
}

/// The outcome that a proposal must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedOutcome {
    /// Any outcome, also none.
    Either,
    /// The change comes into force.
    InForce,
    /// The change is dropped.
    Dropped,
}

/// A proposal that an operator submits to a router. It is submitted until the router accepts it, and once
/// more under the same id when its outcome is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptedProposal {
    /// The id: the name of the section.
    pub id: String,
    /// The time of the first submission.
    pub at: Duration,
    /// The number of the router that gets it.
    pub router: usize,
    /// What is asked for.
    pub action: ProposalAction,
    /// The outcome that it must have.
    pub expected: ExpectedOutcome,
}

impl Value for ExpectedOutcome {
    const EXPECTED: &'static str = "either, in_force or dropped";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "either" => Ok(ExpectedOutcome::Either),
            "in_force" => Ok(ExpectedOutcome::InForce),
            "dropped" => Ok(ExpectedOutcome::Dropped),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

impl Value for ProposalAction {
    const EXPECTED: &'static str = "change, bad, back EPOCH or replace ROUTER";
    fn read(text: &str) -> Result<Self, String> {
        let (word, number) = text.split_once(' ').unwrap_or((text, ""));
        let number = number.trim().parse::<u64>();
        match (word, number) {
            ("change", Err(_)) => Ok(ProposalAction::Change),
            ("bad", Err(_)) => Ok(ProposalAction::Incompatible),
            ("back", Ok(epoch)) => Ok(ProposalAction::Rollback(epoch)),
            ("replace", Ok(router)) => Ok(ProposalAction::ReplaceVoter(router as usize)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// The script of a run.
#[derive(Clone, Debug)]
pub struct Script {
    /// The seed of all random draws.
    pub seed: u64,
    /// The number of routers, each of which is a process.
    pub routers: usize,
    /// The least time from the start of the first router to the last query.
    pub length: Duration,
    /// The time after the last fault within which all routers must hold one view.
    pub settle_within: Duration,
    /// The time in which all routers are started. Unless it is zero, the seed routers start first.
    pub start_window: Duration,
    /// How many of the first routers are seeds.
    pub seeds: usize,
    /// Whether the seeds are never started.
    pub seeds_dead: bool,
    /// The number of routers that each settings file states; a router never counts fewer.
    pub min_routers: u32,
    /// Whether no router may be reported as gone, whatever the faults.
    pub forbid_gone: bool,
    /// The routers that all others that are up must report as gone.
    pub expected_gone: Vec<usize>,
    /// The longest datagram; what is larger goes over TCP.
    pub max_datagram: usize,
    /// The faults, ordered by their beginning.
    pub faults: Vec<Fault>,
    /// Site, engines and traffic.
    pub day: Scenario,
    /// The text of the site's sections, for the routers' settings files.
    pub site_text: String,
    /// Whether clients send requests.
    pub traffic: bool,
    /// How many of the first routers are founding voters of a policy; 0 if no policy is agreed on.
    pub founders: usize,
    /// What a router does while it can't know whether its policy is in force.
    pub partition_mode: PartitionMode,
    /// A router that lists only one engine of each role.
    pub limited_router: Option<usize>,
    /// The proposals, ordered by their time.
    pub proposals: Vec<ScriptedProposal>,
}

/// A share from 0 to 1.
struct Share(f64);

impl Value for Share {
    const EXPECTED: &'static str = "a share from 0 to 1";
    fn read(text: &str) -> Result<Self, String> {
        let n = text.parse().ok().filter(|n: &f64| (0.0..=1.0).contains(n));
        n.map(Share).ok_or_else(|| Self::EXPECTED.into())
    }
}

/// Numbers of routers such as `0, 3, 4-7`.
struct RouterNumbers(Vec<usize>);

impl Value for RouterNumbers {
    const EXPECTED: &'static str = "numbers of routers such as 0, 3 or 4-7, with commas between them";
    fn read(text: &str) -> Result<Self, String> {
        let mut all = Vec::new();
        for word in text.split(',').map(str::trim).filter(|w| !w.is_empty()) {
            let (first, last) = word.split_once('-').unwrap_or((word, word));
            let ends = first.trim().parse().ok().zip(last.trim().parse::<usize>().ok());
            let (first, last) = ends.filter(|(f, l)| f <= l && *l < MAX_ROUTERS).ok_or(Self::EXPECTED)?;
            all.extend(first..=last);
        }
        Ok(RouterNumbers(all))
    }
}

/// The largest number of routers; over sockets each pair of routers takes four descriptors.
pub const MAX_ROUTERS: usize = 64;

/// The sections of a script that a day does not have.
const SCRIPT_SECTIONS: [&str; 3] = ["ground", "fault", "propose"];

/// A site with some prefill and decode engines and little traffic, for scripts that have no `[engines NAME]`.
pub const DEFAULT_SITE: &str = include_str!("site.ini");

/// Reads a script. `seed` replaces the seed of the script. A script without `[engines NAME]` gets the site,
/// engines and traffic of [`DEFAULT_SITE`].
///
/// # Errors
/// All faults of the text, with their lines.
pub fn read_script(text: &str, file: &str, seed: Option<u64>) -> Result<Script, Vec<SettingsFault>> {
    let has_site = text.lines().any(|l| l.trim_start().starts_with("[engines "));
    let whole = if has_site { text.to_owned() } else { format!("{text}\n{DEFAULT_SITE}") };
    let mut doc = Doc::parse(&whole, file)?;
    let at = doc.one("ground");
    let script_seed = doc.or(at, "seed", 1u64);
    let seed = seed.unwrap_or(script_seed);
    let routers = doc.or(at, "routers", 3usize);
    if !(2..=MAX_ROUTERS).contains(&routers) {
        let why = format!("{routers}: expected 2 to {MAX_ROUTERS}");
        match at {
            Some(at) => doc.add_fault(at, "routers", why),
            None => doc.add_file_fault(why),
        }
    }
    let length = doc.or(at, "length", Duration::from_secs(15));
    let seeds = doc.or(at, "seeds", 1usize).clamp(1, routers.max(1));
    let random = doc.or(at, "random", 0usize);
    let mut faults = Vec::new();
    for at in doc.all("fault") {
        let Some(kind) = doc.need::<FaultKind>(at, "kind") else { continue };
        let affected = doc.or(Some(at), "whom", RouterNumbers(Vec::new())).0;
        if let Some(unknown) = affected.iter().find(|r| **r >= routers) {
            doc.add_fault(at, "whom", format!("{unknown}: expected 0 to {}", routers.saturating_sub(1)));
        }
        if affected.is_empty() && kind != FaultKind::DegradedLinks {
            doc.add_fault(at, "whom", "expected whom it hits");
        }
        faults.push(Fault {
            kind,
            at: doc.or(Some(at), "at", Duration::from_secs(5)),
            lasts: doc.or(Some(at), "lasts", Duration::from_secs(3)),
            routers: affected,
            loss: doc.or(Some(at), "loss", Share(0.1)).0,
            delay: doc.or(Some(at), "delay", Duration::from_millis(100)),
        });
    }
    let random_changes = doc.or(at, "changes", 0usize);
    let steady_changes = doc.or(at, "steady", 0usize);
    let script = Script {
        seed,
        routers,
        length,
        settle_within: doc.or(at, "settle", Duration::from_secs(8)),
        start_window: doc.or(at, "start", Duration::from_millis(500)),
        seeds,
        seeds_dead: doc.or(at, "seeds_dead", false),
        min_routers: doc.or(at, "floor", 1u32),
        forbid_gone: doc.or(at, "nobody_gone", false),
        expected_gone: doc.or(at, "gone", RouterNumbers(Vec::new())).0,
        max_datagram: doc.or(at, "datagram", 1_200usize),
        faults: Vec::new(),
        traffic: doc.or(at, "traffic", true),
        founders: doc.or(at, "founders", 0usize).min(routers).min(slipreel_consensus::timing::MAX_VOTERS),
        partition_mode: doc.or(at, "cut", PartitionMode::Refuse),
        limited_router: doc.or(at, "poor", RouterNumbers(Vec::new())).0.first().copied(),
        proposals: read_proposals(&mut doc, routers),
        site_text: site_sections(&whole),
        day: match read_scenario_sections(&mut doc) {
            Some(day) => day,
            None => return Err(doc.finish(&known_sections()).err().unwrap_or_default()),
        },
    };
    doc.finish(&known_sections())?;
    let mut script = Script { faults, ..script }.with_seed(seed);
    script.add_random_faults(random);
    script.add_random_changes(random_changes);
    script.add_steady_changes(steady_changes);
    Ok(script)
}

fn read_proposals(doc: &mut Doc, routers: usize) -> Vec<ScriptedProposal> {
    let mut all = Vec::new();
    for at in doc.all("propose") {
        let id = doc.section(at).name.clone();
        let router = doc.or(Some(at), "to", 0usize);
        if router >= routers {
            doc.add_fault(at, "to", format!("{router}: expected 0 to {}", routers.saturating_sub(1)));
        }
        all.push(ScriptedProposal {
            id,
            router,
            at: doc.or(Some(at), "at", Duration::from_secs(10)),
            action: doc.or(Some(at), "wish", ProposalAction::Change),
            expected: doc.or(Some(at), "expect", ExpectedOutcome::Either),
        });
    }
    all.sort_by_key(|p| p.at);
    all
}

fn known_sections() -> Vec<&'static str> {
    SCENARIO_SECTIONS.iter().chain(&SCRIPT_SECTIONS).copied().collect()
}

/// The sections that each router's settings file copies unchanged.
fn site_sections(text: &str) -> String {
    let mut out = String::new();
    let mut is_copied = false;
    for line in text.lines() {
        let line = line.trim();
        if let Some(head) = line.strip_prefix('[') {
            let kind = head.split([' ', ']']).next().unwrap_or("");
            is_copied = ["class", "model", "tenant", "limits", "bounds"].contains(&kind);
        }
        if is_copied {
            out += line;
            out.push('\n');
        }
    }
    out
}

impl Script {
    fn with_seed(mut self, seed: u64) -> Self {
        (self.seed, self.day.seed) = (seed, seed);
        self
    }

    /// When the last fault has ended and all routers have been started.
    pub fn last_fault_end(&self) -> Duration {
        let ends = self.faults.iter().map(|f| f.at + f.lasts);
        ends.max().unwrap_or_default().max(self.start_window)
    }

    /// Adds faults drawn from the seed. All kinds are equally likely. A third of the faults affect up to a
    /// third of the routers, the others affect one. Faults may overlap, but no router is affected at the same
    /// time by two that end, stop or duplicate its process or fill its disk.
    pub fn add_random_faults(&mut self, faults: usize) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed ^ 0xfa17);
        let mut random_below = |n: u64| rng.next_u64() % n.max(1);
        let ms = Duration::from_millis;
        let is_exclusive = |k: FaultKind| {
            matches!(
                k,
                FaultKind::Kill
                    | FaultKind::KillAndLoseFolder
                    | FaultKind::KillMidWrite
                    | FaultKind::DiskFull
                    | FaultKind::Leave
                    | FaultKind::Pause
                    | FaultKind::DuplicateProcess
                    | FaultKind::KillForGood
            )
        };
        for _ in 0..faults {
            let kind = FAULT_KINDS[random_below(FAULT_KINDS.len() as u64) as usize].1;
            // These two kinds only occur where a script lists them: with drawn faults all routers must be up
            // at the start and at the end.
            let kind = if matches!(kind, FaultKind::KillForGood | FaultKind::LateStart) {
                FaultKind::Kill
            } else {
                kind
            };
            // For a voter, losing the folder while the process runs means a disk that forgets data it has
            // confirmed as synced.
            let kind = match kind {
                FaultKind::FolderUnwritable | FaultKind::DuplicateProcess if self.founders > 0 => {
                    FaultKind::KillMidWrite
                }
                FaultKind::DiskFull if self.founders == 0 => FaultKind::Kill,
                kind => kind,
            };
            let span = self.length.saturating_sub(ms(5_000)).as_millis() as u64;
            let (at, lasts) = (ms(3_000 + random_below(span)), ms(200 + random_below(5_000)));
            let count = if random_below(3) == 0 { 1 + random_below(self.routers as u64 / 3) } else { 1 };
            let mut routers: Vec<usize> =
                (0..count).map(|_| random_below(self.routers as u64) as usize).collect();
            if kind == FaultKind::PartitionPair {
                routers = vec![routers[0], (routers[0] + 1) % self.routers];
            }
            routers.sort_unstable();
            routers.dedup();
            let conflicts = |f: &Fault| {
                let apart = at > f.at + f.lasts + ms(500) || f.at > at + lasts + ms(500);
                is_exclusive(f.kind) && !apart && f.routers.iter().any(|r| routers.contains(r))
            };
            if is_exclusive(kind) && self.faults.iter().any(conflicts) {
                continue;
            }
            let loss = random_below(20) as f64 / 100.0;
            self.faults.push(Fault { kind, at, lasts, routers, loss, delay: ms(random_below(100)) });
        }
        self.faults.sort_by_key(|f| f.at);
    }
}

impl Script {
    /// Adds changes of the policy, four a second from the seventh second on, all of which must come into
    /// force.
    pub fn add_steady_changes(&mut self, changes: usize) {
        self.proposals.extend((0..changes).map(|n| ScriptedProposal {
            id: format!("steady-{n}"),
            at: Duration::from_millis(7_000 + 250 * n as u64),
            router: 0,
            action: ProposalAction::Change,
            expected: ExpectedOutcome::InForce,
        }));
        self.proposals.sort_by_key(|p| p.at);
    }

    /// Adds changes of the policy drawn from the seed, at any time and to any router. Some are rollbacks, and
    /// some are incompatible if there is a limited router.
    pub fn add_random_changes(&mut self, changes: usize) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed ^ 0xc4a6);
        let mut random_below = |n: u64| rng.next_u64() % n.max(1);
        for n in 0..changes {
            let span = self.length.saturating_sub(Duration::from_secs(4)).as_millis() as u64;
            let action = match random_below(6) {
                0 if self.limited_router.is_some() => ProposalAction::Incompatible,
                1 => ProposalAction::Rollback(1),
                _ => ProposalAction::Change,
            };
            self.proposals.push(ScriptedProposal {
                id: format!("drawn-{n}"),
                at: Duration::from_millis(3_000 + random_below(span)),
                router: random_below(self.routers as u64) as usize,
                action,
                expected: ExpectedOutcome::Either,
            });
        }
        self.proposals.sort_by_key(|p| p.at);
    }
}

#[cfg(test)]
mod tests;
