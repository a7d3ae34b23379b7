//! The planner: from a view to changes that pay.
//!
//! A request needs both stages, so what counts is the share of requests that the weaker stage can serve, not work done:
//! an idle engine more at a stage that is not the weaker one serves nobody. Gains and costs are in seconds of full
//! service: 2 is what the whole fleet serves in two seconds when it serves all.

use crate::capacity::{StageCapacity, MIN_GAIN_PER_COST};
use crate::config::{ChangeCosts, PlannerLimits, PlanningPolicy};
use crate::integer_program;
use crate::load_history::{LoadHistory, StageLoad};
use crate::plan::{RoleChange, RolePlan};
use crate::view::{EngineView, Phase, PlannerView};
use slipreel::Role;
use std::time::Duration;

/// An imbalance younger than this is not acted on. A few samples.
const MIN_IMBALANCE_AGE: Duration = Duration::from_secs(3);
/// How likely a change has to be undone, as long as nothing is known of swings; no unit.
const UNDO_PROBABILITY: f64 = 0.5;
/// What a change in a rhythm is weighed against: the same change so much later.
const POSTPONEMENT: Duration = Duration::from_secs(1);
/// How far the forecast looks: about what a change takes.
const FORECAST_HORIZON: Duration = Duration::from_secs(10);

/// Settles changes from views that are handed to it in order of time.
#[derive(Clone, Debug)]
pub struct Planner {
    limits: PlannerLimits,
    costs: ChangeCosts,
    policy: PlanningPolicy,
    history: LoadHistory,
}

impl Planner {
    /// A planner that has seen nothing.
    pub fn new(limits: PlannerLimits, costs: ChangeCosts, policy: PlanningPolicy) -> Self {
        Planner { limits, costs, policy, history: LoadHistory::default() }
    }

    /// Stops or allows changes.
    pub fn freeze(&mut self, frozen: bool) {
        self.limits.frozen = frozen;
    }

    /// Sees a view and says what to change now.
    pub fn plan(&mut self, view: &PlannerView) -> RolePlan {
        self.history.see(view.now, view.mix);
        let capacity = StageCapacity::of(view);
        let mix = match self.policy {
            PlanningPolicy::Forecast => self.history.ahead(FORECAST_HORIZON),
            _ => self.history.mean(),
        };
        let short_stage = capacity.short_stage(mix);
        let side = short_stage.map_or(0, |to| if to == Role::Prefill { -1 } else { 1 });
        self.history.record_short_stage(view.now, side);
        let none = |because: &str| RolePlan { changes: Vec::new(), because: because.into() };
        if self.limits.frozen {
            return none("changes are frozen");
        }
        if let Some(to_come) = self.history.rhythm(view.now) {
            return match self.room(view) {
                0 => none("as many changes are under way as may be"),
                room => self.in_rhythm(view, capacity, &to_come, room),
            };
        }
        if side == 0 {
            return none("no change would serve more");
        }
        if self.history.age(view.now) < MIN_IMBALANCE_AGE {
            return none("the imbalance is too young");
        }
        let room = self.room(view);
        if room == 0 {
            return none("as many changes are under way as may be");
        }
        let likely = self.history.expected_remaining(view.now);
        let plan = self.answer(view, capacity, mix, room, likely);
        let Some((slow, lasts)) = self.history.slow().filter(|_| plan.changes.is_empty()) else {
            return plan;
        };
        // What does not pay within a swing may pay over many: the pools then follow the mean of the swings.
        let long = self.answer(view, capacity, slow, room, lasts);
        // Not against the present swing: its own changes would be undone, and made again.
        let against = long.changes.first().is_some_and(|c| {
            capacity.with_moved(c.to, 1.0, 1.0).served_share(mix) < capacity.served_share(mix)
        });
        if long.changes.is_empty() || against {
            plan
        } else {
            long
        }
    }

    /// How many changes may begin now.
    fn room(&self, view: &PlannerView) -> usize {
        let under_way = view.engines.iter().filter(|e| matches!(e.phase, Phase::Changing(_))).count();
        self.limits.max_concurrent_changes.saturating_sub(under_way)
    }

    /// Where the mix swings in a rhythm what is to come is known: the changes that bring most until the swing after the
    /// next, begun when waiting a second more would bring less.
    fn in_rhythm(
        &self, view: &PlannerView, capacity: StageCapacity, to_come: &[(StageLoad, Duration)], room: usize,
    ) -> RolePlan {
        let mut best =
            RolePlan { changes: Vec::new(), because: "no change pays before the mix swings back".into() };
        let mut most = 0.0;
        let mix = to_come[0].0;
        for to in [Role::Prefill, Role::Decode] {
            // What serves the present swing is undone before the next; what does not is for that one.
            let helps = capacity.with_moved(to, 1.0, 1.0).served_share(mix) > capacity.served_share(mix);
            let to_come = if helps { &to_come[..1] } else { to_come };
            let candidates = self.candidates(view, to, mix, capacity);
            let chosen = self.within_limits(view, candidates, room);
            let (plan, net) = self.pay(&chosen, capacity, to_come, to);
            let count = plan.changes.len() as f64;
            if net <= most {
                continue;
            }
            let wait = self.over_time(capacity, to_come, to, count, POSTPONEMENT);
            let waited = wait.0
                - MIN_GAIN_PER_COST * (wait.1 + self.costs_of(&chosen[..plan.changes.len()], mix, capacity));
            if net >= waited {
                (best, most) = (plan, net);
            } else {
                best.because = "it is too early for the next swing of the mix".into();
            }
        }
        best
    }

    fn costs_of(&self, chosen: &[&EngineView], mix: StageLoad, capacity: StageCapacity) -> f64 {
        chosen.iter().map(|e| self.cost(e, mix, capacity)).sum()
    }

    /// As many of these, in order, as may change together.
    fn within_limits<'a>(
        &self, view: &PlannerView, candidates: impl IntoIterator<Item = &'a EngineView>, room: usize,
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
    fn answer(
        &self, view: &PlannerView, capacity: StageCapacity, mix: StageLoad, room: usize, likely: Duration,
    ) -> RolePlan {
        let none = |because: &str| RolePlan { changes: Vec::new(), because: because.into() };
        let Some(to) = capacity.short_stage(mix) else { return none("no change would serve more") };
        let candidates = self.candidates(view, to, mix, capacity);
        if candidates.is_empty() {
            return none("no engine may change: limits of cells, zones or time in a role");
        }
        let picked = match self.policy {
            PlanningPolicy::Program => {
                let costs: Vec<f64> = candidates.iter().map(|e| self.cost(e, mix, capacity)).collect();
                let seconds = likely.saturating_sub(self.costs.drain + self.slow_start_loss()).as_secs_f64();
                integer_program::choose(&costs, capacity, mix, to, seconds, room)
            }
            _ => (0..candidates.len()).collect(),
        };
        let chosen = self.within_limits(view, picked.into_iter().map(|n| candidates[n]), room);
        self.pay(&chosen, capacity, &[(mix, likely)], to).0
    }

    /// Takes as many of the chosen, in turn, as bring most under the mixes to come: what they gain together, less what
    /// they cost. The plan, and what it brings.
    fn pay(
        &self, chosen: &[&EngineView], capacity: StageCapacity, to_come: &[(StageLoad, Duration)], to: Role,
    ) -> (RolePlan, f64) {
        let likely = to_come.iter().map(|(_, lasts)| *lasts).sum();
        let Some(&(mix, _)) = to_come.first() else { return Default::default() };
        let worth = |n: usize| {
            let (gain, loss) = self.over_time(capacity, to_come, to, n as f64, Duration::ZERO);
            (gain, loss + self.costs_of(&chosen[..n], mix, capacity))
        };
        let (mut count, mut most) = (0, 0.0);
        for n in 1..=chosen.len() {
            let (gain, cost) = worth(n);
            if gain - MIN_GAIN_PER_COST * cost > most {
                (count, most) = (n, gain - MIN_GAIN_PER_COST * cost);
            }
        }
        let (gain, cost) = worth(count);
        let last = to_come.last().map_or(mix, |(mix, _)| *mix);
        let served = (
            capacity.served_share(last),
            capacity.with_moved(to, count as f64, count as f64).served_share(last),
        );
        let change = |e: &&EngineView| RoleChange {
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
        (RolePlan { changes: chosen[..count].iter().map(change).collect(), because }, most)
    }

    /// What `n` changes begun after `wait` gain and lose in service over the mixes to come, in seconds of full service:
    /// while they drain, while they are cold, and once they work.
    fn over_time(
        &self, capacity: StageCapacity, to_come: &[(StageLoad, Duration)], to: Role, n: f64, wait: Duration,
    ) -> (f64, f64) {
        let half_warm = f64::midpoint(self.costs.slow_start_speed, 1.0);
        let phases =
            [(wait, 0.0, 0.0), (self.costs.drain, n, 0.0), (self.costs.slow_start, n, n * half_warm)];
        let mut phases = phases.into_iter().map(|(lasts, gone, there)| (lasts.as_secs_f64(), gone, there));
        let (mut gain, mut loss) = (0.0, 0.0);
        let (mut lasts, mut gone, mut there) = (0.0, 0.0, 0.0);
        for (mix, left) in to_come {
            let (before, mut left) = (capacity.served_share(*mix), left.as_secs_f64());
            while left > 0.0 {
                while lasts <= 0.0 {
                    (lasts, gone, there) = phases.next().unwrap_or((f64::INFINITY, n, n));
                }
                let part = left.min(lasts);
                (left, lasts) = (left - part, lasts - part);
                let change = (capacity.with_moved(to, gone, there).served_share(*mix) - before) * part;
                gain += change.max(0.0);
                loss += (-change).max(0.0);
            }
        }
        (gain, loss)
    }

    /// What an engine lacks while it is cold, as time in which it would not work at all.
    fn slow_start_loss(&self) -> Duration {
        self.costs.slow_start.mul_f64((1.0 - self.costs.slow_start_speed) / 2.0)
    }

    /// What changing an engine costs beside the service of the meantime, seconds of full service: the kept text that
    /// will be read again, and that the change may have to be undone: then the engine is missed at its old stage until it
    /// is back and warm, and the text is lost twice. Certain where imbalances come and go, else as likely as not.
    fn cost(&self, e: &EngineView, mix: StageLoad, capacity: StageCapacity) -> f64 {
        let again = e.cached_tokens / self.costs.prefill_tokens_per_s.max(1.0) / mix.prefill.max(1.0);
        let swings = self.history.is_recurring() || self.history.rhythm(self.history.at()).is_some();
        let undone = if swings { 1.0 } else { UNDO_PROBABILITY };
        let missed = (MIN_IMBALANCE_AGE + self.costs.drain + self.slow_start_loss()).as_secs_f64();
        let stage = if e.role == Role::Prefill { capacity.prefill } else { capacity.decode };
        again + undone * (again + missed / stage.max(1.0))
    }

    /// The engines that may take the role, the cheapest first.
    fn candidates<'a>(
        &self, view: &'a PlannerView, to: Role, mix: StageLoad, capacity: StageCapacity,
    ) -> Vec<&'a EngineView> {
        let from = if to == Role::Prefill { Role::Decode } else { Role::Prefill };
        let may = |e: &&EngineView| {
            e.role == from
                && e.phase == Phase::Serving
                && view.now.saturating_sub(e.since) >= self.limits.min_time_in_role
                && self.may_leave(view, e, &[])
        };
        let mut candidates: Vec<&EngineView> = view.engines.iter().filter(may).collect();
        let cost = |e: &EngineView| self.cost(e, mix, capacity);
        candidates.sort_by(|a, b| {
            cost(a).total_cmp(&cost(b)).then(a.busy.total_cmp(&b.busy)).then(a.id.cmp(&b.id))
        });
        candidates
    }

    /// Whether its cell and zone keep enough of its role without it and without those taken.
    fn may_leave(&self, view: &PlannerView, e: &EngineView, taken: &[&EngineView]) -> bool {
        let stays = |o: &&EngineView| {
            let there = matches!(o.phase, Phase::Serving | Phase::Warming);
            o.id != e.id && o.role == e.role && there && !taken.iter().any(|t| t.id == o.id)
        };
        let in_cell = view.engines.iter().filter(stays).filter(|o| o.cell == e.cell).count();
        let in_zone = view.engines.iter().filter(stays).filter(|o| o.zone == e.zone).count();
        let least = if e.role == Role::Prefill {
            self.limits.min_prefill_per_cell
        } else {
            self.limits.min_decode_per_cell
        };
        in_cell >= least && in_zone >= self.limits.min_per_zone
    }
}
