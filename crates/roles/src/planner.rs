//! The planner: from a view to changes that pay.
//!
//! A request needs both stages, so what counts is the share of requests that the weaker stage can serve, not work done:
//! an idle engine more at a stage that is not the weaker one serves nobody. Gains and costs are in seconds of full
//! service: 2 is what the whole fleet serves in two seconds when it serves all.

use crate::mix::{Mix, MixHistory};
use crate::program;
use slipreel::{CellId, EngineId, Role, ZoneId};
use std::fmt;
use std::time::Duration;

/// Share of a stage's engines that work may keep busy before it counts as short. Above it queues grow quickly; a lower
/// one buys room that is paid for at the other stage.
pub(crate) const FULL: f64 = 0.9;
/// An imbalance younger than this is not acted on. A few samples.
const YOUNGEST: Duration = Duration::from_secs(3);
/// A change has to gain so many times its cost; no unit. How long an imbalance lasts is a guess.
pub(crate) const MARGIN: f64 = 1.5;
/// How likely a change has to be undone, as long as nothing is known of swings; no unit.
const UNDONE: f64 = 0.5;
/// What a change in a rhythm is weighed against: the same change so much later.
const WAIT: Duration = Duration::from_secs(1);
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

impl Default for Limits {
    /// Starting values of operators who say nothing: the least that keeps every cell and zone working.
    fn default() -> Self {
        Limits {
            in_flight: 2,
            readers_in_cell: 1,
            writers_in_cell: 1,
            in_zone: 1,
            least_time: Duration::from_secs(60),
            frozen: false,
        }
    }
}

impl EngineView {
    /// Whether the list is to tell routers that it takes new work.
    pub fn takes_work(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Warming)
    }
}

impl Costs {
    /// How long a drain is taken to last where operators say nothing.
    pub const DRAIN: Duration = Duration::from_secs(5);
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
    /// Share of requests that can be served before it, and once it has worked.
    pub served: (f64, f64),
    /// What it costs, seconds of full service.
    pub cost: f64,
    /// What it gains, seconds of full service.
    pub gain: f64,
    /// How long the imbalance is likely to last.
    pub likely: Duration,
}

/// A role as it is written in the log.
fn role_in_log(role: Role) -> &'static str {
    match role {
        Role::Prefill => "Read",
        Role::Decode => "Write",
        Role::Mixed => "Both",
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}: {} to {} (epoch {}): serves {:.1}% in place of {:.1}%, likely for {:.0} s; costs {:.2}, gains {:.2} s of full service",
            self.engine.0, role_in_log(self.from), role_in_log(self.to), self.replaces, 100.0 * self.served.1, 100.0 * self.served.0,
            self.likely.as_secs_f64(), self.cost, self.gain
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
                Role::Prefill => pools.readers += 1.0,
                Role::Decode => pools.writers += 1.0,
                Role::Mixed => {
                    pools.readers += 0.5;
                    pools.writers += 0.5;
                }
            }
        }
        pools
    }

    /// Share of what is asked that the weaker stage can serve.
    pub(crate) fn serves(self, mix: Mix) -> f64 {
        let can = |engines: f64, work: f64| if work > 0.0 { FULL * engines.max(0.0) / work } else { 1.0 };
        can(self.readers, mix.read).min(can(self.writers, mix.write)).min(1.0)
    }

    /// Where `gone` engines have left their role for this one, and `there` of them work in it.
    fn moved(self, to: Role, gone: f64, there: f64) -> Pools {
        match to {
            Role::Prefill => Pools { readers: self.readers + there, writers: self.writers - gone },
            _ => Pools { readers: self.readers - gone, writers: self.writers + there },
        }
    }

    /// The stage that one more engine from the other would help, if there is one.
    fn wants(self, mix: Mix) -> Option<Role> {
        let serves = self.serves(mix);
        [Role::Prefill, Role::Decode].into_iter().find(|&to| self.moved(to, 1.0, 1.0).serves(mix) > serves)
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
        let wants = pools.wants(mix);
        let side = wants.map_or(0, |to| if to == Role::Prefill { -1 } else { 1 });
        self.history.note_short(view.now, side);
        let none = |because: &str| Plan { changes: Vec::new(), because: because.into() };
        if self.limits.frozen {
            return none("changes are frozen");
        }
        if let Some(to_come) = self.history.rhythm(view.now) {
            return match self.room(view) {
                0 => none("as many changes are under way as may be"),
                room => self.in_rhythm(view, pools, &to_come, room),
            };
        }
        if side == 0 {
            return none("no change would serve more");
        }
        if self.history.age(view.now) < YOUNGEST {
            return none("the imbalance is too young");
        }
        let room = self.room(view);
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
        // Not against the present swing: its own changes would be undone, and made again.
        let against =
            long.changes.first().is_some_and(|c| pools.moved(c.to, 1.0, 1.0).serves(mix) < pools.serves(mix));
        if long.changes.is_empty() || against {
            plan
        } else {
            long
        }
    }

    /// How many changes may begin now.
    fn room(&self, view: &View) -> usize {
        let under_way = view.engines.iter().filter(|e| matches!(e.phase, Phase::Changing(_))).count();
        self.limits.in_flight.saturating_sub(under_way)
    }

    /// Where the mix swings in a rhythm what is to come is known: the changes that bring most until the swing after the
    /// next, begun when waiting a second more would bring less.
    fn in_rhythm(&self, view: &View, pools: Pools, to_come: &[(Mix, Duration)], room: usize) -> Plan {
        let mut best =
            Plan { changes: Vec::new(), because: "no change pays before the mix swings back".into() };
        let mut most = 0.0;
        let mix = to_come[0].0;
        for to in [Role::Prefill, Role::Decode] {
            // What serves the present swing is undone before the next; what does not is for that one.
            let helps = pools.moved(to, 1.0, 1.0).serves(mix) > pools.serves(mix);
            let to_come = if helps { &to_come[..1] } else { to_come };
            let candidates = self.candidates(view, to, mix, pools);
            let chosen = self.within_limits(view, candidates, room);
            let (plan, net) = self.pay(&chosen, pools, to_come, to);
            let count = plan.changes.len() as f64;
            if net <= most {
                continue;
            }
            let wait = self.over_time(pools, to_come, to, count, WAIT);
            let waited =
                wait.0 - MARGIN * (wait.1 + self.costs_of(&chosen[..plan.changes.len()], mix, pools));
            if net >= waited {
                (best, most) = (plan, net);
            } else {
                best.because = "it is too early for the next swing of the mix".into();
            }
        }
        best
    }

    fn costs_of(&self, chosen: &[&EngineView], mix: Mix, pools: Pools) -> f64 {
        chosen.iter().map(|e| self.cost(e, mix, pools)).sum()
    }

    /// As many of these, in order, as may change together.
    fn within_limits<'a>(
        &self, view: &View, candidates: impl IntoIterator<Item = &'a EngineView>, room: usize,
    ) -> Vec<&'a EngineView> {
        let mut chosen: Vec<&EngineView> = Vec::new();
        for e in candidates {
            if chosen.len() == room {
                break;
            }
            if self.may_leave(view, e, &chosen) {
                chosen.push(e);
            }
        }
        chosen
    }

    /// The changes that answer a mix which is likely to last so long.
    fn answer(&self, view: &View, pools: Pools, mix: Mix, room: usize, likely: Duration) -> Plan {
        let none = |because: &str| Plan { changes: Vec::new(), because: because.into() };
        let Some(to) = pools.wants(mix) else { return none("no change would serve more") };
        let candidates = self.candidates(view, to, mix, pools);
        if candidates.is_empty() {
            return none("no engine may change: limits of cells, zones or time in a role");
        }
        let picked = match self.policy {
            Policy::Program => {
                let costs: Vec<f64> = candidates.iter().map(|e| self.cost(e, mix, pools)).collect();
                let seconds = likely.saturating_sub(self.costs.drain + self.cold_loss()).as_secs_f64();
                program::choose(&costs, pools, mix, to, seconds, room)
            }
            _ => (0..candidates.len()).collect(),
        };
        let chosen = self.within_limits(view, picked.into_iter().map(|n| candidates[n]), room);
        self.pay(&chosen, pools, &[(mix, likely)], to).0
    }

    /// Takes as many of the chosen, in turn, as bring most under the mixes to come: what they gain together, less what
    /// they cost. The plan, and what it brings.
    fn pay(
        &self, chosen: &[&EngineView], pools: Pools, to_come: &[(Mix, Duration)], to: Role,
    ) -> (Plan, f64) {
        let likely = to_come.iter().map(|(_, lasts)| *lasts).sum();
        let Some(&(mix, _)) = to_come.first() else { return Default::default() };
        let worth = |n: usize| {
            let (gain, loss) = self.over_time(pools, to_come, to, n as f64, Duration::ZERO);
            (gain, loss + self.costs_of(&chosen[..n], mix, pools))
        };
        let (mut count, mut most) = (0, 0.0);
        for n in 1..=chosen.len() {
            let (gain, cost) = worth(n);
            if gain - MARGIN * cost > most {
                (count, most) = (n, gain - MARGIN * cost);
            }
        }
        let (gain, cost) = worth(count);
        let last = to_come.last().map_or(mix, |(mix, _)| *mix);
        let served = (pools.serves(last), pools.moved(to, count as f64, count as f64).serves(last));
        let change = |e: &&EngineView| Change {
            engine: e.id,
            from: e.role,
            to,
            replaces: e.epoch,
            served,
            cost: cost / count as f64,
            gain: gain / count as f64,
            likely,
        };
        let because = if chosen.is_empty() {
            "no engine may change: limits of cells, zones or time in a role".into()
        } else if count == chosen.len() {
            "as many changes as may be under way".into()
        } else {
            let (gain, cost) = worth(count + 1);
            format!("{} changes would gain {gain:.2} and cost {cost:.2} seconds of full service", count + 1)
        };
        (Plan { changes: chosen[..count].iter().map(change).collect(), because }, most)
    }

    /// What `n` changes begun after `wait` gain and lose in service over the mixes to come, in seconds of full service:
    /// while they drain, while they are cold, and once they work.
    fn over_time(
        &self, pools: Pools, to_come: &[(Mix, Duration)], to: Role, n: f64, wait: Duration,
    ) -> (f64, f64) {
        let half_warm = f64::midpoint(self.costs.cold_share, 1.0);
        let phases = [(wait, 0.0, 0.0), (self.costs.drain, n, 0.0), (self.costs.cold, n, n * half_warm)];
        let mut phases = phases.into_iter().map(|(lasts, gone, there)| (lasts.as_secs_f64(), gone, there));
        let (mut gain, mut loss) = (0.0, 0.0);
        let (mut lasts, mut gone, mut there) = (0.0, 0.0, 0.0);
        for (mix, left) in to_come {
            let (before, mut left) = (pools.serves(*mix), left.as_secs_f64());
            while left > 0.0 {
                while lasts <= 0.0 {
                    (lasts, gone, there) = phases.next().unwrap_or((f64::INFINITY, n, n));
                }
                let part = left.min(lasts);
                (left, lasts) = (left - part, lasts - part);
                let change = (pools.moved(to, gone, there).serves(*mix) - before) * part;
                gain += change.max(0.0);
                loss += (-change).max(0.0);
            }
        }
        (gain, loss)
    }

    /// What an engine lacks while it is cold, as time in which it would not work at all.
    fn cold_loss(&self) -> Duration {
        self.costs.cold.mul_f64((1.0 - self.costs.cold_share) / 2.0)
    }

    /// What changing an engine costs beside the service of the meantime, seconds of full service: the kept text that
    /// will be read again, and that the change may have to be undone: then the engine is missed at its old stage until it
    /// is back and warm, and the text is lost twice. Certain where imbalances come and go, else as likely as not.
    fn cost(&self, e: &EngineView, mix: Mix, pools: Pools) -> f64 {
        let again = e.kept_tokens / self.costs.read_per_s.max(1.0) / mix.read.max(1.0);
        let swings = self.history.comes_and_goes() || self.history.rhythm(self.history.at()).is_some();
        let undone = if swings { 1.0 } else { UNDONE };
        let missed = (YOUNGEST + self.costs.drain + self.cold_loss()).as_secs_f64();
        let stage = if e.role == Role::Prefill { pools.readers } else { pools.writers };
        again + undone * (again + missed / stage.max(1.0))
    }

    /// The engines that may take the role, the cheapest first.
    fn candidates<'a>(&self, view: &'a View, to: Role, mix: Mix, pools: Pools) -> Vec<&'a EngineView> {
        let from = if to == Role::Prefill { Role::Decode } else { Role::Prefill };
        let may = |e: &&EngineView| {
            e.role == from
                && e.phase == Phase::Serving
                && view.now.saturating_sub(e.since) >= self.limits.least_time
                && self.may_leave(view, e, &[])
        };
        let mut candidates: Vec<&EngineView> = view.engines.iter().filter(may).collect();
        let cost = |e: &EngineView| self.cost(e, mix, pools);
        candidates.sort_by(|a, b| {
            cost(a).total_cmp(&cost(b)).then(a.busy.total_cmp(&b.busy)).then(a.id.cmp(&b.id))
        });
        candidates
    }

    /// Whether its cell and zone keep enough of its role without it and without those taken.
    fn may_leave(&self, view: &View, e: &EngineView, taken: &[&EngineView]) -> bool {
        let stays = |o: &&EngineView| {
            let there = matches!(o.phase, Phase::Serving | Phase::Warming);
            o.id != e.id && o.role == e.role && there && !taken.iter().any(|t| t.id == o.id)
        };
        let in_cell = view.engines.iter().filter(stays).filter(|o| o.cell == e.cell).count();
        let in_zone = view.engines.iter().filter(stays).filter(|o| o.zone == e.zone).count();
        let least =
            if e.role == Role::Prefill { self.limits.readers_in_cell } else { self.limits.writers_in_cell };
        in_cell >= least && in_zone >= self.limits.in_zone
    }
}
