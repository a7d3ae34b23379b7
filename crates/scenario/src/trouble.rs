//! Troubles of the kinds that the bench plays, as acts at times.

use crate::fleet::{chance, Scenario};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_test_servers::engine::{Fault, Garbage};
use std::time::Duration;

/// A kind of trouble. Bursts, long prompts and impatient clients are traffic; the rest is done to machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Engines die and come back cold when it ends.
    Crash,
    /// Engines work `size` times slower.
    Slow,
    /// Engines stop for `size` ms every second.
    Pauses,
    /// Engines are slower by a share `size`, on and off.
    Neighbour,
    /// Load reports are `size` seconds old.
    ReportLate,
    /// Traffic is `size` times the usual.
    Burst,
    /// One tenant's traffic is `size` times the usual.
    TenantBurst,
    /// One request in fifty has a prompt `size` times as long.
    HeavyTail,
    /// All engines of a zone die, and come back cold.
    ZoneLoss,
    /// Routers and engines of other zones can't reach those of one zone.
    ZoneCut,
    /// Routers die, and come back with the list that they were given.
    BalancerCrash,
    /// Engines that read serve their state late: links of their cells are slow.
    OriginSlow,
    /// Engines grow slower up to `size` times, then die.
    Ageing,
    /// Engines do their work and their answers never arrive; probes are answered.
    AnswerLost,
    /// New connections to engines are served after `size` ms.
    HandshakeSlow,
    /// Engines turn one model away as if they were full.
    Throttle,
    /// One tenant's clients try up to `size` times, at once.
    RetryAbuse,
    /// Engines drain, leave, and come back started anew.
    Drain,
    /// Engines change between reading and writing; the list follows when it ends.
    RoleChange,
    /// The first engine named can't reach the second, to fetch state.
    LinkCut,
    /// Engines take connections and say nothing at all.
    Deaf,
    /// Engines answer garbage of a kind, by its number in the order of its list.
    Garbage,
    /// Engines close a connection in the moment that a request arrives on it.
    ClosesOnUse,
}

/// All kinds with their names in scripts.
pub(crate) const KINDS: [(&str, Kind); 23] = [
    ("crash", Kind::Crash),
    ("slow", Kind::Slow),
    ("pauses", Kind::Pauses),
    ("neighbour", Kind::Neighbour),
    ("report_late", Kind::ReportLate),
    ("burst", Kind::Burst),
    ("tenant_burst", Kind::TenantBurst),
    ("heavy_tail", Kind::HeavyTail),
    ("zone_loss", Kind::ZoneLoss),
    ("zone_cut", Kind::ZoneCut),
    ("balancer_crash", Kind::BalancerCrash),
    ("origin_slow", Kind::OriginSlow),
    ("ageing", Kind::Ageing),
    ("answer_lost", Kind::AnswerLost),
    ("handshake_slow", Kind::HandshakeSlow),
    ("throttle", Kind::Throttle),
    ("retry_abuse", Kind::RetryAbuse),
    ("drain", Kind::Drain),
    ("role_change", Kind::RoleChange),
    ("link_cut", Kind::LinkCut),
    ("deaf", Kind::Deaf),
    ("garbage", Kind::Garbage),
    ("closes_on_use", Kind::ClosesOnUse),
];

/// The kinds of garbage by number.
const GARBAGE: [Garbage; 10] = [
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

/// One trouble.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// What goes wrong.
    pub kind: Kind,
    /// When, since the start of the day.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
    /// Share of the machines that it may befall.
    pub part: f64,
    /// How bad; its unit is named with each kind.
    pub size: f64,
    /// Whom it befalls by name: engines, a zone, a tenant's key or a model, as the kind has it. Empty: drawn.
    pub whom: String,
}

/// Something done at a moment.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Act {
    Fault(usize, Fault),
    KillEngine(usize),
    ReviveEngine(usize),
    FreezeEngine(usize, bool),
    KillRouter(usize),
    ReviveRouter(usize),
    /// These engines are in a zone that is cut off; none: the link is back.
    Cut(Option<String>),
    /// An engine is ordered to change its role.
    ChangeRole(usize),
    /// The list takes an engine as in its other role.
    ListRole(usize),
    /// An engine can't reach another, or can again.
    CutLink(usize, Option<usize>),
    /// The list takes an engine as draining.
    ListDraining(usize, bool),
}

impl Trouble {
    /// The engines that it befalls, at least one.
    fn engines(&self, day: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<usize> {
        let named = |n: &usize| {
            let e = &day.engines[*n];
            self.whom.split(',').any(|w| w.trim() == e.spec.name || w.trim() == e.zone || w.trim() == e.cell)
        };
        let all: Vec<usize> = (0..day.engines.len()).collect();
        if !self.whom.is_empty() && all.iter().any(named) {
            return all.into_iter().filter(named).collect();
        }
        draw(all, self.part, rng)
    }

    fn named_in_order(&self, day: &Scenario) -> Vec<usize> {
        let find = |name: &str| day.engines.iter().position(|e| e.spec.name == name.trim());
        self.whom.split(',').filter_map(find).collect()
    }

    fn zone(&self, day: &Scenario, rng: &mut Xoshiro256PlusPlus) -> String {
        if !self.whom.is_empty() {
            return self.whom.clone();
        }
        let mut zones: Vec<&String> = day.engines.iter().map(|e| &e.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones[(chance(rng) * zones.len() as f64) as usize % zones.len()].clone()
    }

    /// What is done when, since the start of the day.
    pub(crate) fn acts(&self, day: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Act)> {
        let (from, until) = (self.at, self.at + self.lasts);
        let ms = |n: f64| Duration::from_secs_f64(n.max(0.0) / 1000.0);
        let mut acts = Vec::new();
        let spell = |acts: &mut Vec<(Duration, Act)>, engines: &[usize], on: Fault, off: Fault| {
            for &e in engines {
                acts.push((from, Act::Fault(e, on.clone())));
                acts.push((until, Act::Fault(e, off.clone())));
            }
        };
        match self.kind {
            Kind::Crash => {
                for e in self.engines(day, rng) {
                    acts.extend([(from, Act::KillEngine(e)), (until, Act::ReviveEngine(e))]);
                }
            }
            Kind::ZoneLoss => {
                let zone = self.zone(day, rng);
                for e in (0..day.engines.len()).filter(|&e| day.engines[e].zone == zone) {
                    acts.extend([(from, Act::KillEngine(e)), (until, Act::ReviveEngine(e))]);
                }
            }
            Kind::Slow => spell(&mut acts, &self.engines(day, rng), Fault::Slow(self.size), Fault::Slow(1.0)),
            Kind::Neighbour | Kind::Pauses => acts.extend(self.comes_and_goes(day, rng)),
            Kind::Ageing => acts.extend(self.ageing(day, rng)),
            Kind::ReportLate => {
                let all: Vec<usize> = (0..day.engines.len()).collect();
                let late = Fault::ReportDelay(ms(self.size * 1000.0));
                spell(&mut acts, &all, late, Fault::ReportDelay(Duration::ZERO));
            }
            Kind::AnswerLost => {
                spell(
                    &mut acts,
                    &self.engines(day, rng),
                    Fault::AnswersLost(true),
                    Fault::AnswersLost(false),
                );
            }
            Kind::HandshakeSlow => {
                let slow = Fault::HandshakeDelay(ms(self.size));
                spell(&mut acts, &self.engines(day, rng), slow, Fault::HandshakeDelay(Duration::ZERO));
            }
            // A state is served as slowly as its reader works; the stand-ins have no links of their own.
            Kind::OriginSlow => {
                let readers: Vec<usize> = (0..day.engines.len())
                    .filter(|&e| day.engines[e].spec.role == slipreel_test_servers::engine::Role::Prefill)
                    .collect();
                let some = draw(readers, self.part, rng);
                spell(&mut acts, &some, Fault::Slow(self.size), Fault::Slow(1.0));
            }
            Kind::Throttle => {
                let engines = draw((0..day.engines.len()).collect(), self.part, rng);
                let text = format!("\"model\":\"{}\"", self.whom);
                spell(&mut acts, &engines, Fault::Throttle(Some(text)), Fault::Throttle(None));
            }
            Kind::ZoneCut => {
                let zone = self.zone(day, rng);
                acts.extend([(from, Act::Cut(Some(zone))), (until, Act::Cut(None))]);
            }
            Kind::BalancerCrash => {
                for r in draw((0..day.routers).collect(), self.part, rng) {
                    acts.extend([(from, Act::KillRouter(r)), (until, Act::ReviveRouter(r))]);
                }
            }
            Kind::Drain => acts.extend(self.drain(day, rng)),
            Kind::RoleChange => {
                for e in self.engines(day, rng) {
                    acts.extend([(from, Act::ChangeRole(e)), (from, Act::ListDraining(e, true))]);
                    acts.extend([(until, Act::ListRole(e)), (until, Act::ListDraining(e, false))]);
                }
            }
            Kind::LinkCut => {
                if let [from_engine, to, ..] = self.named_in_order(day)[..] {
                    acts.extend([
                        (from, Act::CutLink(from_engine, Some(to))),
                        (until, Act::CutLink(from_engine, None)),
                    ]);
                }
            }
            Kind::Deaf => spell(
                &mut acts,
                &self.engines(day, rng),
                Fault::Unresponsive(true),
                Fault::Unresponsive(false),
            ),
            Kind::ClosesOnUse => {
                spell(
                    &mut acts,
                    &self.engines(day, rng),
                    Fault::ClosesOnUse(true),
                    Fault::ClosesOnUse(false),
                );
            }
            Kind::Garbage => {
                let kind = GARBAGE[(self.size as usize).min(GARBAGE.len() - 1)];
                spell(&mut acts, &self.engines(day, rng), Fault::Garbage(Some(kind)), Fault::Garbage(None));
            }
            // These are in the traffic.
            Kind::Burst | Kind::TenantBurst | Kind::HeavyTail | Kind::RetryAbuse => {}
        }
        acts
    }

    /// Engines that stand still or are slow again and again.
    fn comes_and_goes(&self, day: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Act)> {
        let (from, until) = (self.at, self.at + self.lasts);
        let stands_still = self.kind == Kind::Pauses;
        let pause = Duration::from_secs_f64(self.size.max(0.0) / 1000.0);
        let period = Duration::from_secs(if stands_still { 1 } else { 2 });
        let mut acts = Vec::new();
        for e in self.engines(day, rng) {
            let mut at = from + period.mul_f64(chance(rng));
            while at < until {
                if stands_still {
                    acts.push((at, Act::FreezeEngine(e, true)));
                    acts.push((at + pause, Act::FreezeEngine(e, false)));
                } else {
                    let slow = 1.0 / (1.0 - self.size.clamp(0.0, 0.95));
                    acts.push((at, Act::Fault(e, Fault::Slow(slow))));
                    acts.push((at + period / 2, Act::Fault(e, Fault::Slow(1.0))));
                }
                at += period;
            }
        }
        acts
    }

    /// Engines that become slower step by step, and are started anew in the end.
    fn ageing(&self, day: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Act)> {
        const STEPS: u32 = 8;
        let (from, until) = (self.at, self.at + self.lasts);
        let mut acts = Vec::new();
        for e in self.engines(day, rng) {
            for n in 0..STEPS {
                let slow = 1.0 + (self.size - 1.0).max(0.0) * f64::from(n + 1) / f64::from(STEPS);
                acts.push((from + self.lasts / STEPS * n, Act::Fault(e, Fault::Slow(slow))));
            }
            acts.push((until, Act::KillEngine(e)));
            acts.push((until + self.lasts / 2, Act::ReviveEngine(e)));
        }
        acts
    }

    /// Engines that are listed as draining, end, and come back a moment later.
    fn drain(&self, day: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Vec<(Duration, Act)> {
        let (from, until) = (self.at, self.at + self.lasts);
        let back = until + Duration::from_millis(500);
        let mut acts = Vec::new();
        for e in self.engines(day, rng) {
            acts.push((from, Act::ListDraining(e, true)));
            acts.push((until, Act::KillEngine(e)));
            acts.push((back, Act::ReviveEngine(e)));
            acts.push((back, Act::ListDraining(e, false)));
        }
        acts
    }
}

fn draw(mut all: Vec<usize>, part: f64, rng: &mut Xoshiro256PlusPlus) -> Vec<usize> {
    let n = ((all.len() as f64 * part).round() as usize).clamp(1, all.len().max(1));
    let mut some = Vec::new();
    while some.len() < n && !all.is_empty() {
        some.push(all.swap_remove((chance(rng) * all.len() as f64) as usize));
    }
    some.sort_unstable();
    some
}
