//! What a run plays: how many routers, what traffic, and which faults when, written down or drawn from the seed.
//!
//! A script is INI: the sections of a day ([`slipreel_scenario`]) for site, engines and traffic, `[ground]`, and a `[fault NAME]` for each
//! fault. `docs/operators/fleet.md` describes it.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_consensus::PartitionMode;
use slipreel_scenario::{read_day_parts, Day, DAY_SECTIONS};
use slipreel_settings::{Doc, Fault as Wrong, Value};
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// SIGKILL; started again at the end.
    Kill,
    /// SIGKILL, and its folder is lost; started again at the end.
    KillLost,
    /// SIGKILL, and never again.
    Die,
    /// It is not started with the others, but when this fault begins.
    Late,
    /// SIGTERM; started again at the end.
    Leave,
    /// SIGSTOP, and SIGCONT at the end.
    Stop,
    /// Cut off from all others, who are not cut off from each other and neither are these.
    Cut,
    /// The same in one direction: what they send does not arrive.
    CutOneWay,
    /// Only the links between the first two of them are cut.
    CutPair,
    /// All links lose, delay, double and reorder.
    Weather,
    /// Connections from and to them pass a byte at a time.
    Trickle,
    /// Connections to them are taken and never answered.
    Mute,
    /// Datagrams that are none come in.
    Noise,
    /// A second process of its name is started, with a folder of its own, and ended at the end.
    Twin,
    /// Its folder can't be written.
    FolderGone,
    /// Its book and seeds change, and it is told by SIGHUP.
    Reload,
    /// What a voter keeps can't be written any more: the disk is full.
    DiskFull,
    /// SIGKILL while a write was half done; started again at the end.
    KillTorn,
}

/// All kinds by name.
pub const KINDS: &[(&str, Kind)] = &[
    ("kill", Kind::Kill),
    ("kill_lost", Kind::KillLost),
    ("die", Kind::Die),
    ("late", Kind::Late),
    ("leave", Kind::Leave),
    ("stop", Kind::Stop),
    ("cut", Kind::Cut),
    ("cut_one_way", Kind::CutOneWay),
    ("cut_pair", Kind::CutPair),
    ("weather", Kind::Weather),
    ("trickle", Kind::Trickle),
    ("mute", Kind::Mute),
    ("noise", Kind::Noise),
    ("twin", Kind::Twin),
    ("folder_gone", Kind::FolderGone),
    ("reload", Kind::Reload),
    ("disk_full", Kind::DiskFull),
    ("kill_torn", Kind::KillTorn),
];

impl Value for Kind {
    const EXPECTED: &'static str = "a kind of fault";
    fn read(text: &str) -> Result<Self, String> {
        let found = KINDS.iter().find(|(name, _)| *name == text).map(|(_, kind)| *kind);
        found.ok_or_else(|| {
            let names: Vec<&str> = KINDS.iter().map(|(name, _)| *name).collect();
            format!("one of {}", names.join(", "))
        })
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// When it begins, since the start.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Whom it hits, by number.
    pub whom: Vec<usize>,
    /// Share of datagrams lost, in `weather`.
    pub loss: f64,
    /// Delay one way, in `weather`.
    pub delay: Duration,
}

/// What an operator does about the policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wish {
    /// A policy that every router can take.
    Change,
    /// One that the poor router can't take: it takes out an engine without which that one has no reader.
    Bad,
    /// The policy of an earlier epoch again.
    Back(u64),
    /// A voter, by number, is gone for good.
    Replace(usize),
}

/// What has to come of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// It holds, or never did.
    Either,
    /// It holds.
    InForce,
    /// It is dropped.
    Dropped,
}

/// An operator's word to one router. It is said until the router has taken it, and once more under its id when that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propose {
    /// Its id: the name of its section.
    pub id: String,
    /// When it is first said.
    pub at: Duration,
    /// To which router.
    pub to: usize,
    /// What.
    pub wish: Wish,
    /// What has to come of it.
    pub expect: Expect,
}

impl Value for Expect {
    const EXPECTED: &'static str = "either, in_force or dropped";
    fn read(text: &str) -> Result<Self, String> {
        match text {
            "either" => Ok(Expect::Either),
            "in_force" => Ok(Expect::InForce),
            "dropped" => Ok(Expect::Dropped),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

impl Value for Wish {
    const EXPECTED: &'static str = "change, bad, back EPOCH or replace ROUTER";
    fn read(text: &str) -> Result<Self, String> {
        let (word, number) = text.split_once(' ').unwrap_or((text, ""));
        let number = number.trim().parse::<u64>();
        match (word, number) {
            ("change", Err(_)) => Ok(Wish::Change),
            ("bad", Err(_)) => Ok(Wish::Bad),
            ("back", Ok(epoch)) => Ok(Wish::Back(epoch)),
            ("replace", Ok(router)) => Ok(Wish::Replace(router as usize)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A run.
#[derive(Clone, Debug)]
pub struct Script {
    /// Settles all chances.
    pub seed: u64,
    /// Routers, each a process.
    pub routers: usize,
    /// When the first starts to when the last is asked, at least.
    pub length: Duration,
    /// After the last fault one view has to stand by then.
    pub settle: Duration,
    /// All routers are started in this time, the seed first unless it is zero.
    pub start: Duration,
    /// How many of the first routers are seeds.
    pub seeds: usize,
    /// Whether the seeds are started at all.
    pub seeds_dead: bool,
    /// The count of routers that is typed into each file.
    pub floor: u32,
    /// Nobody may call anybody gone, whatever the faults.
    pub nobody_gone: bool,
    /// Who has to be called gone by all others that are up.
    pub gone: Vec<usize>,
    /// Longest datagram: small ones send all else by TCP.
    pub datagram: usize,
    /// Faults in order of their beginning.
    pub faults: Vec<Fault>,
    /// Site, engines and traffic.
    pub day: Day,
    /// The text of the site's sections, for the files of the processes.
    pub site_text: String,
    /// Whether clients ask.
    pub traffic: bool,
    /// How many of the first routers found a policy; 0: none is agreed on.
    pub founders: usize,
    /// What a router does that can't know whether its policy holds.
    pub cut: PartitionMode,
    /// A router that lists one reader and one writer alone.
    pub poor: Option<usize>,
    /// What operators do about the policy, in order.
    pub proposals: Vec<Propose>,
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

/// Numbers of routers: `0, 3, 4-7`.
struct Whom(Vec<usize>);

impl Value for Whom {
    const EXPECTED: &'static str = "numbers of routers such as 0, 3 or 4-7, with commas between them";
    fn read(text: &str) -> Result<Self, String> {
        let mut all = Vec::new();
        for word in text.split(',').map(str::trim).filter(|w| !w.is_empty()) {
            let (first, last) = word.split_once('-').unwrap_or((word, word));
            let ends = first.trim().parse().ok().zip(last.trim().parse::<usize>().ok());
            let (first, last) = ends.filter(|(f, l)| f <= l && *l < MOST).ok_or(Self::EXPECTED)?;
            all.extend(first..=last);
        }
        Ok(Whom(all))
    }
}

/// The most routers of a run; over sockets each pair of them costs four descriptors.
pub const MOST: usize = 64;

/// The sections that only a script has.
const OWN_SECTIONS: [&str; 3] = ["ground", "fault", "propose"];

/// A site with some readers and writers and little traffic, for scripts that bring none.
pub const SITE: &str = include_str!("site.ini");

/// Reads a script; `seed` stands for its own. One that has no `[engines NAME]` gets the site, engines and traffic of [`SITE`].
///
/// # Errors
/// Every fault of the text, by line.
pub fn read_script(text: &str, file: &str, seed: Option<u64>) -> Result<Script, Vec<Wrong>> {
    let has_site = text.lines().any(|l| l.trim_start().starts_with("[engines "));
    let whole = if has_site { text.to_owned() } else { format!("{text}\n{SITE}") };
    let mut doc = Doc::parse(&whole, file)?;
    let at = doc.one("ground");
    let own = doc.or(at, "seed", 1u64);
    let seed = seed.unwrap_or(own);
    let routers = doc.or(at, "routers", 3usize);
    if !(2..=MOST).contains(&routers) {
        let why = format!("{routers}: expected 2 to {MOST}");
        match at {
            Some(at) => doc.say(at, "routers", why),
            None => doc.say_file(why),
        }
    }
    let length = doc.or(at, "length", Duration::from_secs(15));
    let seeds = doc.or(at, "seeds", 1usize).clamp(1, routers.max(1));
    let random = doc.or(at, "random", 0usize);
    let mut faults = Vec::new();
    for at in doc.all("fault") {
        let Some(kind) = doc.need::<Kind>(at, "kind") else { continue };
        let whom = doc.or(Some(at), "whom", Whom(Vec::new())).0;
        if let Some(odd) = whom.iter().find(|w| **w >= routers) {
            doc.say(at, "whom", format!("{odd}: expected 0 to {}", routers.saturating_sub(1)));
        }
        if whom.is_empty() && kind != Kind::Weather {
            doc.say(at, "whom", "expected whom it hits");
        }
        faults.push(Fault {
            kind,
            at: doc.or(Some(at), "at", Duration::from_secs(5)),
            lasts: doc.or(Some(at), "lasts", Duration::from_secs(3)),
            whom,
            loss: doc.or(Some(at), "loss", Share(0.1)).0,
            delay: doc.or(Some(at), "delay", Duration::from_millis(100)),
        });
    }
    let changes = doc.or(at, "changes", 0usize);
    let steady = doc.or(at, "steady", 0usize);
    let script = Script {
        seed,
        routers,
        length,
        settle: doc.or(at, "settle", Duration::from_secs(8)),
        start: doc.or(at, "start", Duration::from_millis(500)),
        seeds,
        seeds_dead: doc.or(at, "seeds_dead", false),
        floor: doc.or(at, "floor", 1u32),
        nobody_gone: doc.or(at, "nobody_gone", false),
        gone: doc.or(at, "gone", Whom(Vec::new())).0,
        datagram: doc.or(at, "datagram", 1_200usize),
        faults: Vec::new(),
        traffic: doc.or(at, "traffic", true),
        founders: doc.or(at, "founders", 0usize).min(routers).min(slipreel_consensus::timing::MAX_VOTERS),
        cut: doc.or(at, "cut", PartitionMode::Refuse),
        poor: doc.or(at, "poor", Whom(Vec::new())).0.first().copied(),
        proposals: read_proposals(&mut doc, routers),
        site_text: site_of(&whole),
        day: match read_day_parts(&mut doc) {
            Some(day) => day,
            None => return Err(doc.finish(&known()).err().unwrap_or_default()),
        },
    };
    doc.finish(&known())?;
    let mut script = Script { faults, ..script }.with_seed(seed);
    script.add_random_faults(random);
    script.draw_changes(changes);
    script.change_steadily(steady);
    Ok(script)
}

fn read_proposals(doc: &mut Doc, routers: usize) -> Vec<Propose> {
    let mut all = Vec::new();
    for at in doc.all("propose") {
        let id = doc.section(at).name.clone();
        let to = doc.or(Some(at), "to", 0usize);
        if to >= routers {
            doc.say(at, "to", format!("{to}: expected 0 to {}", routers.saturating_sub(1)));
        }
        all.push(Propose {
            id,
            to,
            at: doc.or(Some(at), "at", Duration::from_secs(10)),
            wish: doc.or(Some(at), "wish", Wish::Change),
            expect: doc.or(Some(at), "expect", Expect::Either),
        });
    }
    all.sort_by_key(|p| p.at);
    all
}

fn known() -> Vec<&'static str> {
    DAY_SECTIONS.iter().chain(&OWN_SECTIONS).copied().collect()
}

/// The sections that each router's file takes over as they are.
fn site_of(text: &str) -> String {
    let mut out = String::new();
    let mut takes = false;
    for line in text.lines() {
        let line = line.trim();
        if let Some(head) = line.strip_prefix('[') {
            let kind = head.split([' ', ']']).next().unwrap_or("");
            takes = ["class", "model", "tenant", "limits", "bounds"].contains(&kind);
        }
        if takes {
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

    /// When the last fault is over.
    pub fn calm(&self) -> Duration {
        let ends = self.faults.iter().map(|f| f.at + f.lasts);
        ends.max().unwrap_or_default().max(self.start)
    }

    /// Adds faults drawn from the seed: each kind is as likely, some hit one router and some a third; they overlap freely,
    /// but no router is hit twice at once by what ends or stops its process.
    pub fn add_random_faults(&mut self, faults: usize) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed ^ 0xfa17);
        let mut below = |n: u64| rng.next_u64() % n.max(1);
        let ms = Duration::from_millis;
        let ends = |k: Kind| {
            matches!(
                k,
                Kind::Kill
                    | Kind::KillLost
                    | Kind::KillTorn
                    | Kind::DiskFull
                    | Kind::Leave
                    | Kind::Stop
                    | Kind::Twin
                    | Kind::Die
            )
        };
        for _ in 0..faults {
            let kind = KINDS[below(KINDS.len() as u64) as usize].1;
            // These are for scripts that say so: the fleet is to be whole at the start and at the end.
            let kind = if matches!(kind, Kind::Die | Kind::Late) { Kind::Kill } else { kind };
            // Where voters are, a folder that is lost while its process runs is a disk that forgets what it was told to keep.
            let kind = match kind {
                Kind::FolderGone | Kind::Twin if self.founders > 0 => Kind::KillTorn,
                Kind::DiskFull if self.founders == 0 => Kind::Kill,
                kind => kind,
            };
            let span = self.length.saturating_sub(ms(5_000)).as_millis() as u64;
            let (at, lasts) = (ms(3_000 + below(span)), ms(200 + below(5_000)));
            let many = if below(3) == 0 { 1 + below(self.routers as u64 / 3) } else { 1 };
            let mut whom: Vec<usize> = (0..many).map(|_| below(self.routers as u64) as usize).collect();
            if kind == Kind::CutPair {
                whom = vec![whom[0], (whom[0] + 1) % self.routers];
            }
            whom.sort_unstable();
            whom.dedup();
            let clashes = |f: &Fault| {
                let apart = at > f.at + f.lasts + ms(500) || f.at > at + lasts + ms(500);
                ends(f.kind) && !apart && f.whom.iter().any(|w| whom.contains(w))
            };
            if ends(kind) && self.faults.iter().any(clashes) {
                continue;
            }
            let loss = below(20) as f64 / 100.0;
            self.faults.push(Fault { kind, at, lasts, whom, loss, delay: ms(below(100)) });
        }
        self.faults.sort_by_key(|f| f.at);
    }
}

impl Script {
    /// Adds changes one after the other, four a second from the seventh second on, all of which have to come into force.
    pub fn change_steadily(&mut self, changes: usize) {
        self.proposals.extend((0..changes).map(|n| Propose {
            id: format!("steady-{n}"),
            at: Duration::from_millis(7_000 + 250 * n as u64),
            to: 0,
            wish: Wish::Change,
            expect: Expect::InForce,
        }));
        self.proposals.sort_by_key(|p| p.at);
    }

    /// Adds changes of policy drawn from the seed: at any time, to any router, now and then a bad one or a way back.
    pub fn draw_changes(&mut self, changes: usize) {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed ^ 0xc4a6);
        let mut below = |n: u64| rng.next_u64() % n.max(1);
        for n in 0..changes {
            let span = self.length.saturating_sub(Duration::from_secs(4)).as_millis() as u64;
            let wish = match below(6) {
                0 if self.poor.is_some() => Wish::Bad,
                1 => Wish::Back(1),
                _ => Wish::Change,
            };
            self.proposals.push(Propose {
                id: format!("drawn-{n}"),
                at: Duration::from_millis(3_000 + below(span)),
                to: below(self.routers as u64) as usize,
                wish,
                expect: Expect::Either,
            });
        }
        self.proposals.sort_by_key(|p| p.at);
    }
}

#[cfg(test)]
mod tests;
