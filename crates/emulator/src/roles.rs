//! Role planning for the whole fleet. The planner runs once a second, as in the role controller, with the
//! demand that routers report and the state that engines report.

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

/// The requests of a class and the work that engines did for them, counted as in the metrics that routers
/// publish.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassCounts {
    pub(crate) requests: u64,
    pub(crate) prefills: u64,
    /// Without those that came from an engine's cache.
    pub(crate) prefill_tokens: u64,
    pub(crate) answers: u64,
    pub(crate) answer_tokens: u64,
}

/// The planner, its inputs and its orders.
pub(crate) struct RolePlanning {
    planner: Planner,
    demand: Demand,
    throughput: EngineThroughput,
    pub(crate) class_counts: BTreeMap<String, ClassCounts>,
    /// The orders that engines accepted: when, and why.
    pub(crate) accepted_orders: Vec<(Duration, String)>,
    cold_time: Duration,
}

impl RolePlanning {
    /// A planner with the costs of the scenario's role controller, and its limits scaled to the fleet.
    pub(crate) fn new(scenario: &Scenario, policy: PlanningPolicy) -> Option<RolePlanning> {
        let spec = |role| scenario.engines.iter().map(|e| &e.spec).find(|s| s.role == role);
        let (prefill_spec, decode_spec) = (spec(SpecRole::Prefill)?, spec(SpecRole::Decode)?);
        let limits = PlannerLimits {
            // A twentieth of the engines, but at least two: in a fleet of hundreds of engines, more than two
            // may change at a time.
            max_concurrent_changes: (scenario.engines.len() / 20).max(2),
            min_prefill_per_cell: 1,
            min_decode_per_cell: 1,
            min_per_zone: 1,
            min_time_in_role: prefill_spec.cold_time,
            frozen: false,
        };
        let costs = ChangeCosts {
            drain: Duration::from_secs(2),
            slow_start: prefill_spec.cold_time,
            slow_start_speed: prefill_spec.cold_share,
            prefill_tokens_per_s: prefill_spec.prefill_tokens_per_s,
        };
        Some(RolePlanning {
            planner: Planner::new(limits, costs, policy),
            demand: Demand::default(),
            throughput: EngineThroughput {
                prefill: prefill_spec.prefill_tokens_per_s,
                decode: decode_spec.decode_tokens_per_s(),
            },
            class_counts: BTreeMap::new(),
            accepted_orders: Vec::new(),
            cold_time: prefill_spec.cold_time,
        })
    }

    /// Plans once and sends the orders to the engines. Returns whether any engine accepted one.
    pub(crate) fn plan_changes(
        &mut self, now: Duration, engines: &mut [Engine], locations: &[(u32, u32)],
    ) -> bool {
        let mut metrics = String::new();
        for (class, c) in &self.class_counts {
            let counters = [
                ("asked", c.requests),
                ("reads", c.prefills),
                ("read_tokens", c.prefill_tokens),
                ("answers", c.answers),
                ("answer_tokens", c.answer_tokens),
            ];
            for (name, value) in counters {
                let _ = writeln!(metrics, "slipreel_class_{name}_total{{class=\"{class}\"}} {value}");
            }
        }
        self.demand.add_metrics(0, &metrics);
        let Some(load) = self.demand.take_load(now, self.throughput) else { return false };
        let view = PlannerView { now, engines: self.engine_views(now, engines, locations), load };
        let plan = self.planner.plan(&view);
        let mut any_accepted = false;
        for change in &plan.changes {
            let Some(engine) = engines.iter_mut().find(|e| e.id == change.engine) else { continue };
            let order = Order { replaces: change.replaces, to: change.to };
            if engine.role.order(now, order).is_ok() {
                any_accepted = true;
                self.accepted_orders.push((now, change.to_string()));
            }
        }
        any_accepted
    }

    fn engine_views(&self, now: Duration, engines: &[Engine], locations: &[(u32, u32)]) -> Vec<EngineView> {
        let view = |(e, &(zone, cell)): (&Engine, &(u32, u32))| {
            let (state, load) = (e.role.state(), e.scheduler.load());
            let active_requests = load.running.unwrap_or(0.0) + load.waiting.unwrap_or(0.0);
            let other = if state.role == Role::Prefill { Role::Decode } else { Role::Prefill };
            let phase = if !e.role.takes_work() {
                Phase::Changing(other)
            } else if now < state.started + self.cold_time {
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
                busy: active_requests / e.spec.slots.max(1) as f64,
                cached_tokens: load.memory.unwrap_or(0.0) * CACHED_TOKENS_AT_FULL_MEMORY,
            }
        };
        engines.iter().zip(locations).filter(|(e, _)| e.alive).map(view).collect()
    }
}
