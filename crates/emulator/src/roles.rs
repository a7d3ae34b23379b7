//! A planner over the whole fleet, asked once a second as a conductor asks it: by what routers were asked, and by what
//! engines tell of themselves.

use crate::engine::Engine;
use slipreel::{CellId, Role, ZoneId};
use slipreel_roles::{
    ChangeCosts, Demand, EngineThroughput, EngineView, Order, Phase, Planner, PlannerLimits, PlannerView,
    PlanningPolicy, CACHED_TOKENS_AT_FULL_MEMORY,
};
use slipreel_scenario::Scenario;
use slipreel_test_servers::engine::Role as SpecRole;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

/// What was asked of a class and what it took, as routers publish it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) asked: u64,
    pub(crate) reads: u64,
    pub(crate) read_tokens: u64,
    pub(crate) answers: u64,
    pub(crate) answer_tokens: u64,
}

pub(crate) struct Roles {
    planner: Planner,
    demand: Demand,
    speeds: EngineThroughput,
    pub(crate) counts: BTreeMap<String, Counts>,
    /// The orders that engines took: when, and why.
    pub(crate) orders: Vec<(Duration, String)>,
    cold: Duration,
}

impl Roles {
    /// A planner with the limits and costs of the day's own conductor.
    pub(crate) fn new(day: &Scenario, policy: PlanningPolicy) -> Option<Roles> {
        let spec = |role| day.engines.iter().map(|e| &e.spec).find(|s| s.role == role);
        let (reader, writer) = (spec(SpecRole::Prefill)?, spec(SpecRole::Decode)?);
        let limits = PlannerLimits {
            // A fleet of hundreds changes more than two engines at a time.
            max_concurrent_changes: (day.engines.len() / 20).max(2),
            min_prefill_per_cell: 1,
            min_decode_per_cell: 1,
            min_per_zone: 1,
            min_time_in_role: reader.cold_time,
            frozen: false,
        };
        let costs = ChangeCosts {
            drain: Duration::from_secs(2),
            slow_start: reader.cold_time,
            slow_start_speed: reader.cold_share,
            prefill_tokens_per_s: reader.prefill_tokens_per_s,
        };
        Some(Roles {
            planner: Planner::new(limits, costs, policy),
            demand: Demand::default(),
            speeds: EngineThroughput {
                prefill: reader.prefill_tokens_per_s,
                decode: writer.decode_tokens_per_s(),
            },
            counts: BTreeMap::new(),
            orders: Vec::new(),
            cold: reader.cold_time,
        })
    }

    /// Plans once and gives the engines their orders. Whether any took one.
    pub(crate) fn turn(&mut self, now: Duration, engines: &mut [Engine], places: &[(u32, u32)]) -> bool {
        let mut text = String::new();
        for (class, c) in &self.counts {
            let parts = [
                ("asked", c.asked),
                ("reads", c.reads),
                ("read_tokens", c.read_tokens),
                ("answers", c.answers),
                ("answer_tokens", c.answer_tokens),
            ];
            for (name, value) in parts {
                let _ = writeln!(text, "slipreel_class_{name}_total{{class=\"{class}\"}} {value}");
            }
        }
        self.demand.add_metrics(0, &text);
        let Some(load) = self.demand.take_load(now, self.speeds) else { return false };
        let view = PlannerView { now, engines: self.see(now, engines, places), load };
        let plan = self.planner.plan(&view);
        let mut taken = false;
        for change in &plan.changes {
            let Some(engine) = engines.iter_mut().find(|e| e.id == change.engine) else { continue };
            let order = Order { replaces: change.replaces, to: change.to };
            if engine.role.order(now, order).is_ok() {
                taken = true;
                self.orders.push((now, change.to_string()));
            }
        }
        taken
    }

    fn see(&self, now: Duration, engines: &[Engine], places: &[(u32, u32)]) -> Vec<EngineView> {
        let view = |(e, &(zone, cell)): (&Engine, &(u32, u32))| {
            let (state, load) = (e.role.state(), e.work.load());
            let held = load.running.unwrap_or(0.0) + load.waiting.unwrap_or(0.0);
            let other = if state.role == Role::Prefill { Role::Decode } else { Role::Prefill };
            let phase = if !e.role.takes_work() {
                Phase::Changing(other)
            } else if now < state.started + self.cold {
                Phase::Warming
            } else {
                Phase::Serving
            };
            EngineView {
                id: e.id,
                role: state.role,
                epoch: state.epoch,
                cell: CellId(cell),
                zone: ZoneId(zone),
                phase,
                since: state.started,
                busy: held / e.spec.slots.max(1) as f64,
                cached_tokens: load.memory.unwrap_or(0.0) * CACHED_TOKENS_AT_FULL_MEMORY,
            }
        };
        engines.iter().zip(places).filter(|(e, _)| e.alive).map(view).collect()
    }
}
