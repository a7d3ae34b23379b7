//! Kinds of trouble, and the timed actions that bring each of them about.

use crate::scenario::{uniform, Scenario};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_test_servers::engine::{Fault, Garbage};
use std::time::Duration;

/// A kind of trouble. Bursts, long prompts and excessive retries change the traffic; all others are done to
/// machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// Engines crash, and restart cold when it ends.
    Crash,
    /// Engines work more slowly by the factor `size`.
    Slow,
    /// Engines freeze for `size` ms in every second.
    Pauses,
    /// A noisy neighbour takes the share `size` of the engines' speed, for one second out of every two.
    Neighbour,
    /// Load reports are `size` seconds old.
    ReportLate,
    /// Traffic rises to `size` times its normal rate.
    Burst,
    /// The traffic of one tenant rises to `size` times its normal rate.
    TenantBurst,
    /// Requests are added at a fiftieth of the normal rate, with prompts `size` times as long as normal.
    HeavyTail,
    /// All engines of a zone crash, and restart cold when it ends.
    ZoneLoss,
    /// One zone is partitioned from all others.
    ZoneCut,
    /// Routers crash, and restart with the last engine list that they received.
    BalancerCrash,
    /// Prefill engines serve their state late, as if the links of their cells were slow.
    OriginSlow,
    /// Engines become slower step by step, up to the factor `size`, then crash and restart.
    Ageing,
    /// Engines run requests but their answers never arrive; probes are answered.
    AnswerLost,
    /// Engines serve a new connection only after `size` ms.
    HandshakeSlow,
    /// Engines reject requests for one model as if they were full.
    Throttle,
    /// The clients of one tenant make up to `size` attempts, almost without a pause between them.
    RetryAbuse,
    /// Engines drain, terminate, and restart.
    Drain,
    /// Engines change between prefill and decode; the engine list has the new role when it ends.
    RoleChange,
    /// The first engine named can't connect to the second to fetch state.
    LinkCut,
    /// Engines accept connections and never answer.
    Deaf,
    /// Engines send malformed or broken answers; `size` is an index into `GARBAGE_KINDS`.
    Garbage,
    /// Engines close a connection as soon as a request arrives on it.
    ClosesOnUse,
}

/// All kinds, with their names in scenario files.
pub(crate) const KIND_NAMES: [(&str, TroubleKind); 23] = [
    ("crash", TroubleKind::Crash),
    ("slow", TroubleKind::Slow),
    ("pauses", TroubleKind::Pauses),
    ("neighbour", TroubleKind::Neighbour),
    ("report_late", TroubleKind::ReportLate),
    ("burst", TroubleKind::Burst),
    ("tenant_burst", TroubleKind::TenantBurst),
    ("heavy_tail", TroubleKind::HeavyTail),
    ("zone_loss", TroubleKind::ZoneLoss),
    ("zone_cut", TroubleKind::ZoneCut),
    ("balancer_crash", TroubleKind::BalancerCrash),
    ("origin_slow", TroubleKind::OriginSlow),
    ("ageing", TroubleKind::Ageing),
    ("answer_lost", TroubleKind::AnswerLost),
    ("handshake_slow", TroubleKind::HandshakeSlow),
    ("throttle", TroubleKind::Throttle),
    ("retry_abuse", TroubleKind::RetryAbuse),
    ("drain", TroubleKind::Drain),
    ("role_change", TroubleKind::RoleChange),
    ("link_cut", TroubleKind::LinkCut),
    ("deaf", TroubleKind::Deaf),
    ("garbage", TroubleKind::Garbage),
    ("closes_on_use", TroubleKind::ClosesOnUse),
];

/// The kinds of broken answers, indexed by the `size` of a `garbage` trouble.
const GARBAGE_KINDS: [Garbage; 10] = [
    Garbage::NotHttp,
    Garbage::EndlessHead,
    Garbage::WrongLength,
    Garbage::BrokenChunk,
    Garbage::TwoLengths,
    Garbage::BreaksAfterFirst,
    Garbage::BreaksBeforeEnd,
    Garbage::BreaksBeforeMark,
    Garbage::StopsInMidst,
    Garbage::BadEvent,
];

/// A trouble that occurs once in a scenario.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// What goes wrong.
    pub kind: TroubleKind,
    /// When it starts, since the start of the scenario.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Share of the machines that are affected where none are named, `part` in scenario files.
    pub share: f64,
    /// Its severity. The doc comment of each kind gives the unit.
    pub size: f64,
    /// Names of what is affected: engines, a zone, an API key or a model, depending on the kind. Drawn at
    /// random if empty. `whom` in scenario files.
    pub targets: String,
}

/// A change that the runner makes at one moment. Engines and routers are given by their index.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    Fault(usize, Fault),
    KillEngine(usize),
    ReviveEngine(usize),
    FreezeEngine(usize, bool),
    KillRouter(usize),
    ReviveRouter(usize),
    /// Partitions this zone from all others, or ends the partition.
    IsolateZone(Option<String>),
    /// Orders an engine to change its role.
    ChangeRole(usize),
    /// Changes the role of an engine in the engine list.
    ListRole(usize),
    /// Makes another engine unreachable for an engine, or all reachable again.
    CutLink(usize, Option<usize>),
    /// Lists an engine as draining, or as ready again.
    ListDraining(usize, bool),
}

impl Trouble {
    /// The engines that are affected, at least one.
    fn engines(&self, scenario: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<usize> {
        let is_named = |n: &usize| {
            let e = &scenario.engines[*n];
            self.targets
                .split(',')
                .any(|w| w.trim() == e.spec.name || w.trim() == e.zone || w.trim() == e.cell)
        };
        let candidates: Vec<usize> = (0..scenario.engines.len()).collect();
        if !self.targets.is_empty() && candidates.iter().any(is_named) {
            return candidates.into_iter().filter(is_named).collect();
        }
        pick_random(candidates, self.share, rng)
    }

    /// The engines that are named, in the order of the names.
    fn named_in_order(&self, scenario: &Scenario) -> Vec<usize> {
        let find = |name: &str| scenario.engines.iter().position(|e| e.spec.name == name.trim());
        self.targets.split(',').filter_map(find).collect()
    }

    /// The affected zone: the one that is named, or one drawn at random.
    fn zone(&self, scenario: &Scenario, rng: &mut Xoshiro256PlusPlus) -> String {
        if !self.targets.is_empty() {
            return self.targets.clone();
        }
        let mut zones: Vec<&String> = scenario.engines.iter().map(|e| &e.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones[(uniform(rng) * zones.len() as f64) as usize % zones.len()].clone()
    }

    /// The actions that bring it about, with their times since the start of the scenario.
    pub(crate) fn actions(
        &self, scenario: &Scenario, rng: &mut Xoshiro256PlusPlus,
    ) -> Vec<(Duration, Action)> {
        let (from, until) = (self.at, self.at + self.duration);
        let millis = |n: f64| Duration::from_secs_f64(n.max(0.0) / 1000.0);
        let mut out = Vec::new();
        // Adds a fault of these engines that lasts as long as the trouble.
        let inject = |out: &mut Vec<(Duration, Action)>, engines: &[usize], on: Fault, off: Fault| {
            for &e in engines {
                out.push((from, Action::Fault(e, on.clone())));
                out.push((until, Action::Fault(e, off.clone())));
            }
        };
        match self.kind {
            TroubleKind::Crash => {
                for e in self.engines(scenario, rng) {
                    out.extend([(from, Action::KillEngine(e)), (until, Action::ReviveEngine(e))]);
                }
            }
            TroubleKind::ZoneLoss => {
                let zone = self.zone(scenario, rng);
                for e in (0..scenario.engines.len()).filter(|&e| scenario.engines[e].zone == zone) {
                    out.extend([(from, Action::KillEngine(e)), (until, Action::ReviveEngine(e))]);
                }
            }
            TroubleKind::Slow => {
                inject(&mut out, &self.engines(scenario, rng), Fault::Slow(self.size), Fault::Slow(1.0));
            }
            TroubleKind::Neighbour | TroubleKind::Pauses => out.extend(self.intermittent(scenario, rng)),
            TroubleKind::Ageing => out.extend(self.ageing(scenario, rng)),
            TroubleKind::ReportLate => {
                let candidates: Vec<usize> = (0..scenario.engines.len()).collect();
                let late = Fault::ReportDelay(millis(self.size * 1000.0));
                inject(&mut out, &candidates, late, Fault::ReportDelay(Duration::ZERO));
            }
            TroubleKind::AnswerLost => {
                let (on, off) = (Fault::AnswersLost(true), Fault::AnswersLost(false));
                inject(&mut out, &self.engines(scenario, rng), on, off);
            }
            TroubleKind::HandshakeSlow => {
                let slow = Fault::HandshakeDelay(millis(self.size));
                inject(&mut out, &self.engines(scenario, rng), slow, Fault::HandshakeDelay(Duration::ZERO));
            }
            // Simulated engines have no links of their own: a slow prefill engine serves its state slowly.
            TroubleKind::OriginSlow => {
                let prefill_engines: Vec<usize> = (0..scenario.engines.len())
                    .filter(|&e| {
                        scenario.engines[e].spec.role == slipreel_test_servers::engine::Role::Prefill
                    })
                    .collect();
                let picked = pick_random(prefill_engines, self.share, rng);
                inject(&mut out, &picked, Fault::Slow(self.size), Fault::Slow(1.0));
            }
            TroubleKind::Throttle => {
                let engines = pick_random((0..scenario.engines.len()).collect(), self.share, rng);
                let body_text = format!("\"model\":\"{}\"", self.targets);
                inject(&mut out, &engines, Fault::Throttle(Some(body_text)), Fault::Throttle(None));
            }
            TroubleKind::ZoneCut => {
                let zone = self.zone(scenario, rng);
                out.extend([(from, Action::IsolateZone(Some(zone))), (until, Action::IsolateZone(None))]);
            }
            TroubleKind::BalancerCrash => {
                for r in pick_random((0..scenario.routers).collect(), self.share, rng) {
                    out.extend([(from, Action::KillRouter(r)), (until, Action::ReviveRouter(r))]);
                }
            }
            TroubleKind::Drain => out.extend(self.drain(scenario, rng)),
            TroubleKind::RoleChange => {
                for e in self.engines(scenario, rng) {
                    out.extend([(from, Action::ChangeRole(e)), (from, Action::ListDraining(e, true))]);
                    out.extend([(until, Action::ListRole(e)), (until, Action::ListDraining(e, false))]);
                }
            }
            TroubleKind::LinkCut => {
                if let [from_engine, to, ..] = self.named_in_order(scenario)[..] {
                    out.extend([
                        (from, Action::CutLink(from_engine, Some(to))),
                        (until, Action::CutLink(from_engine, None)),
                    ]);
                }
            }
            TroubleKind::Deaf => {
                let (on, off) = (Fault::Unresponsive(true), Fault::Unresponsive(false));
                inject(&mut out, &self.engines(scenario, rng), on, off);
            }
            TroubleKind::ClosesOnUse => {
                let (on, off) = (Fault::ClosesOnUse(true), Fault::ClosesOnUse(false));
                inject(&mut out, &self.engines(scenario, rng), on, off);
            }
            TroubleKind::Garbage => {
                let kind = GARBAGE_KINDS[(self.size as usize).min(GARBAGE_KINDS.len() - 1)];
                let (on, off) = (Fault::Garbage(Some(kind)), Fault::Garbage(None));
                inject(&mut out, &self.engines(scenario, rng), on, off);
            }
            // `parse` applies these to the traffic.
            TroubleKind::Burst
            | TroubleKind::TenantBurst
            | TroubleKind::HeavyTail
            | TroubleKind::RetryAbuse => {}
        }
        out
    }

    /// Engines that freeze or slow down periodically, each with a random phase.
    fn intermittent(&self, scenario: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Action)> {
        let (from, until) = (self.at, self.at + self.duration);
        let freezes = self.kind == TroubleKind::Pauses;
        let pause = Duration::from_secs_f64(self.size.max(0.0) / 1000.0);
        let period = Duration::from_secs(if freezes { 1 } else { 2 });
        let mut actions = Vec::new();
        for e in self.engines(scenario, rng) {
            let mut at = from + period.mul_f64(uniform(rng));
            while at < until {
                if freezes {
                    actions.push((at, Action::FreezeEngine(e, true)));
                    actions.push((at + pause, Action::FreezeEngine(e, false)));
                } else {
                    let slow = 1.0 / (1.0 - self.size.clamp(0.0, 0.95));
                    actions.push((at, Action::Fault(e, Fault::Slow(slow))));
                    actions.push((at + period / 2, Action::Fault(e, Fault::Slow(1.0))));
                }
                at += period;
            }
        }
        actions
    }

    /// Engines that become slower step by step, then crash and restart.
    fn ageing(&self, scenario: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Action)> {
        const STEPS: u32 = 8;
        let (from, until) = (self.at, self.at + self.duration);
        let mut actions = Vec::new();
        for e in self.engines(scenario, rng) {
            for n in 0..STEPS {
                let slow = 1.0 + (self.size - 1.0).max(0.0) * f64::from(n + 1) / f64::from(STEPS);
                actions.push((from + self.duration / STEPS * n, Action::Fault(e, Fault::Slow(slow))));
            }
            actions.push((until, Action::KillEngine(e)));
            actions.push((until + self.duration / 2, Action::ReviveEngine(e)));
        }
        actions
    }

    /// Engines that are listed as draining, terminate, and restart a moment later.
    fn drain(&self, scenario: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Action)> {
        let (from, until) = (self.at, self.at + self.duration);
        let back = until + Duration::from_millis(500);
        let mut actions = Vec::new();
        for e in self.engines(scenario, rng) {
            actions.push((from, Action::ListDraining(e, true)));
            actions.push((until, Action::KillEngine(e)));
            actions.push((back, Action::ReviveEngine(e)));
            actions.push((back, Action::ListDraining(e, false)));
        }
        actions
    }
}

/// Picks this share of the items at random, at least one if there are any, and returns them sorted.
fn pick_random(mut candidates: Vec<usize>, share: f64, rng: &mut Xoshiro256PlusPlus) -> Vec<usize> {
    let n = ((candidates.len() as f64 * share).round() as usize).clamp(1, candidates.len().max(1));
    let mut picked = Vec::new();
    while picked.len() < n && !candidates.is_empty() {
        picked.push(candidates.swap_remove((uniform(rng) * candidates.len() as f64) as usize));
    }
    picked.sort_unstable();
    picked
}
