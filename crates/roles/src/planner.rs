//! The planner: from a view to changes that pay.

use crate::mix::{Mix, MixHistory};
use crate::program;
use slipreel::{CellId, EngineId, Role, ZoneId};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Share of a stage's engines that work may keep busy before it counts as short. Above it queues grow quickly; a lower
/// one buys room that is paid for at the other stage.
pub(crate) const FULL: f64 = 0.9;
/// An imbalance younger than this is not acted on. A few samples.
const YOUNGEST: Duration = Duration::from_secs(3);
/// A change has to gain so many times its cost; no unit. How long an imbalance lasts is a guess.
pub(crate) const MARGIN: f64 = 1.5;
/// How far the forecast looks: about what a change takes.
const AHEAD: Duration = Duration::from_secs(10);

/// Where an engine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves, warm.
    Serving,
    /// It serves and is cold.
    Warming,
    /// It is on its way to this role: it counts for it, as it will be there before another could.
    Changing(Role),
    /// It drains and leaves.
    Leaving,
}

/// One engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Which.
    pub id: EngineId,
    /// Its role.
    pub role: Role,
    /// The epoch of its role.
    pub epoch: u64,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it stands.
    pub phase: Phase,
    /// When it took its role.
    pub since: Duration,
    /// Share of it that is busy, by its last report.
    pub busy: f64,
    /// Prompt tokens that it keeps and that would have to be read again.
    pub kept_tokens: f64,
}

/// All that a planner sees at a moment.
#[derive(Clone, Debug)]
pub struct View {
    /// When.
    pub now: Duration,
    /// The engines.
    pub engines: Vec<EngineView>,
    /// The work that arrives.
    pub mix: Mix,
}

/// What the operators allow.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Changes under way at once.
    pub in_flight: usize,
    /// Readers that each cell keeps, if it has any.
    pub readers_in_cell: usize,
    /// Writers that each cell keeps, if it has any.
    pub writers_in_cell: usize,
    /// Readers and writers that each zone keeps of each, if it has any.
    pub in_zone: usize,
    /// An engine keeps a role at least so long.
    pub least_time: Duration,
    /// Nothing is changed.
    pub frozen: bool,
}

/// What a change costs.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Until an engine has ended its work in the old role.
    pub drain: Duration,
    /// Until it is warm in the new one ...
    pub cold: Duration,
    /// ... from this share of its speed on.
    pub cold_share: f64,
    /// Prompt tokens that an engine reads a second.
    pub read_per_s: f64,
}

/// How the changes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One engine after another, the cheapest first, as long as each pays.
    Greedy,
    /// The same on the mix that the trend foretells.
    Forecast,
    /// All at once, by an integer program.
    Program,
}

/// One change, explained.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Which engine.
    pub engine: EngineId,
    /// Its role.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// The epoch that it replaces.
    pub replaces: u64,
    /// Engines' work missing at its new stage, before it.
    pub short: f64,
    /// What it costs, seconds of an engine.
    pub cost: f64,
    /// What it gains, seconds of an engine.
    pub gain: f64,
    /// How long the imbalance is likely to last.
    pub likely: Duration,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}: {:?} to {:?} (epoch {}): {:.1} engines short, likely for {:.0} s; costs {:.1}, gains {:.1} engine seconds",
            self.engine.0, self.from, self.to, self.replaces, self.short, self.likely.as_secs_f64(), self.cost, self.gain
        )
    }
}

/// What is to be done, and why nothing more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The changes, first things first.
    pub changes: Vec<Change>,
    /// Why it holds no more, or none.
    pub because: String,
}

/// Settles changes from views that are handed to it in order of time.
#[derive(Clone, Debug)]
pub struct Planner {
    limits: Limits,
    costs: Costs,
    policy: Policy,
    history: MixHistory,
}

/// Engines of each role that can be counted on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pools {
    pub(crate) readers: f64,
    pub(crate) writers: f64,
}

impl Pools {
    fn of(view: &View) -> Pools {
        let mut pools = Pools::default();
        for e in view.engines.iter().filter(|e| e.phase != Phase::Leaving) {
            let role = if let Phase::Changing(to) = e.phase { to } else { e.role };
            match role {
                Role::Read => pools.readers += 1.0,
                Role::Write => pools.writers += 1.0,
                Role::Both => {
                    pools.readers += 0.5;
                    pools.writers += 0.5;
                }
            }
        }
        pools
    }

    /// Engines' work that finds no engine, at reading and at writing.
    pub(crate) fn short(self, mix: Mix) -> (f64, f64) {
        ((mix.read - FULL * self.readers).max(0.0), (mix.write - FULL * self.writers).max(0.0))
    }

    fn after(self, to: Role) -> Pools {
        let one = if to == Role::Read { 1.0 } else { -1.0 };
        Pools { readers: self.readers + one, writers: self.writers - one }
    }
}

impl Planner {
    /// A planner that has seen nothing.
    pub fn new(limits: Limits, costs: Costs, policy: Policy) -> Self {
        Planner { limits, costs, policy, history: MixHistory::default() }
    }

    /// Stops or allows changes.
    pub fn freeze(&mut self, frozen: bool) {
        self.limits.frozen = frozen;
    }

    /// Sees a view and says what to change now.
    pub fn plan(&mut self, view: &View) -> Plan {
        self.history.see(view.now, view.mix);
        let pools = Pools::of(view);
        let mix = match self.policy {
            Policy::Forecast => self.history.ahead(AHEAD),
            _ => self.history.mean(),
        };
        let (read, write) = pools.short(mix);
        let side = if read > write { -1 } else { i8::from(write > read) };
        self.history.note_short(view.now, side);
        let none = |because: &str| Plan { changes: Vec::new(), because: because.into() };
        if self.limits.frozen {
            return none("changes are frozen");
        }
        if side == 0 {
            return none("no stage is short of engines");
        }
        if self.history.age(view.now) < YOUNGEST {
            return none("the imbalance is too young");
        }
        let under_way = view.engines.iter().filter(|e| matches!(e.phase, Phase::Changing(_))).count();
        let room = self.limits.in_flight.saturating_sub(under_way);
        if room == 0 {
            return none("as many changes are under way as may be");
        }
        let likely = self.history.likely_left(view.now);
        let plan = self.answer(view, pools, mix, room, likely);
        let Some((slow, lasts)) = self.history.slow().filter(|_| plan.changes.is_empty()) else {
            return plan;
        };
        // What does not pay within a swing may pay over many: the pools then follow the mean of the swings.
        let long = self.answer(view, pools, slow, room, lasts);
        if long.changes.is_empty() {
            plan
        } else {
            long
        }
    }

    /// The changes that answer a mix which is likely to last so long.
    fn answer(&self, view: &View, pools: Pools, mix: Mix, room: usize, likely: Duration) -> Plan {
        let none = |because: &str| Plan { changes: Vec::new(), because: because.into() };
        let (read, write) = pools.short(mix);
        if read == write {
            return none("no stage is short of engines");
        }
        let to = if read > write { Role::Read } else { Role::Write };
        let candidates = self.candidates(view, to);
        if candidates.is_empty() {
            return none("no engine may change: limits of cells, zones or time in a role");
        }
        let picked = match self.policy {
            Policy::Program => {
                let costs: Vec<f64> = candidates.iter().map(|e| self.cost(e)).collect();
                program::choose(&costs, pools, mix, to, self.paid_time(likely), room)
            }
            _ => (0..candidates.len()).collect(),
        };
        let chosen: Vec<&EngineView> = picked.into_iter().map(|n| candidates[n]).collect();
        self.pay(&chosen, view, pools, mix, to, room, likely)
    }

    /// Takes changes in turn as long as each gains more than it costs.
    #[allow(clippy::too_many_arguments)]
    fn pay(
        &self, chosen: &[&EngineView], view: &View, mut pools: Pools, mix: Mix, to: Role, room: usize,
        likely: Duration,
    ) -> Plan {
        let mut plan = Plan { changes: Vec::new(), because: String::new() };
        let mut taken: BTreeMap<EngineId, ()> = BTreeMap::new();
        for e in chosen {
            if plan.changes.len() == room {
                plan.because = "as many changes as may be under way".into();
                break;
            }
            if !self.may_leave(view, e, &taken) {
                continue;
            }
            let after = pools.after(to);
            let (short, left) = (pools.short(mix), after.short(mix));
            let saved = short.0 + short.1 - left.0 - left.1;
            let gain = saved.max(0.0) * self.paid_time(likely);
            let cost = self.cost(e);
            if gain <= MARGIN * cost {
                plan.because =
                    format!("a further change would gain {gain:.1} and cost {cost:.1} engine seconds");
                break;
            }
            let short = if to == Role::Read { short.0 } else { short.1 };
            let change =
                Change { engine: e.id, from: e.role, to, replaces: e.epoch, short, cost, gain, likely };
            plan.changes.push(change);
            taken.insert(e.id, ());
            pools = after;
        }
        plan
    }

    /// Seconds for which a change works before the imbalance is likely to be over.
    fn paid_time(&self, likely: Duration) -> f64 {
        likely.saturating_sub(self.costs.drain).as_secs_f64()
    }

    /// What a change costs, seconds of an engine: its drain, as far as it was busy; what it lacks while cold; the kept
    /// text that will be read again. Where imbalances come and go it will have to be undone: twice, and the engine is
    /// missed at its old stage from the next swing on until it is back.
    fn cost(&self, e: &EngineView) -> f64 {
        let drain = self.costs.drain.as_secs_f64() * e.busy.clamp(0.0, 1.0);
        let cold = self.costs.cold.as_secs_f64() * (1.0 - self.costs.cold_share) / 2.0;
        let again = e.kept_tokens / self.costs.read_per_s.max(1.0);
        let once = drain + cold + again;
        if self.history.comes_and_goes() {
            2.0 * once + (YOUNGEST + self.costs.drain).as_secs_f64()
        } else {
            once
        }
    }

    /// The engines that may take the role, the cheapest first.
    fn candidates<'a>(&self, view: &'a View, to: Role) -> Vec<&'a EngineView> {
        let from = if to == Role::Read { Role::Write } else { Role::Read };
        let none = BTreeMap::new();
        let may = |e: &&EngineView| {
            e.role == from
                && e.phase == Phase::Serving
                && view.now.saturating_sub(e.since) >= self.limits.least_time
                && self.may_leave(view, e, &none)
        };
        let mut candidates: Vec<&EngineView> = view.engines.iter().filter(may).collect();
        candidates.sort_by(|a, b| self.cost(a).total_cmp(&self.cost(b)).then(a.id.cmp(&b.id)));
        candidates
    }

    /// Whether its cell and zone keep enough of its role without it and without those taken.
    fn may_leave(&self, view: &View, e: &EngineView, taken: &BTreeMap<EngineId, ()>) -> bool {
        let stays = |o: &&EngineView| {
            let there = matches!(o.phase, Phase::Serving | Phase::Warming);
            o.id != e.id && o.role == e.role && there && !taken.contains_key(&o.id)
        };
        let in_cell = view.engines.iter().filter(stays).filter(|o| o.cell == e.cell).count();
        let in_zone = view.engines.iter().filter(stays).filter(|o| o.zone == e.zone).count();
        let least =
            if e.role == Role::Read { self.limits.readers_in_cell } else { self.limits.writers_in_cell };
        in_cell >= least && in_zone >= self.limits.in_zone
    }
}
