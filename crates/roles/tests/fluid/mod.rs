//! A fluid model of the two stages: load arrives, engines change their role, drain and go through slow start.
//! Also an oracle that knows the load in advance. It is a model and measures no engines. The tests and
//! `benches/plan.rs` share it.
#![allow(dead_code)]

use slipreel::{CellId, EngineId, Role, ZoneId};
use slipreel_roles::{
    ChangeCosts, EngineView, Phase, Planner, PlannerLimits, PlannerView, PlanningPolicy, RoleChange,
    RolePlan, StageLoad,
};
use std::time::Duration;

pub fn s(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

pub const LIMITS: PlannerLimits = PlannerLimits {
    max_concurrent_changes: 2,
    min_prefill_per_cell: 1,
    min_decode_per_cell: 1,
    min_per_zone: 1,
    min_time_in_role: Duration::from_secs(15),
    frozen: false,
};
pub const COSTS: ChangeCosts = ChangeCosts {
    drain: Duration::from_secs(2),
    slow_start: Duration::from_secs(10),
    slow_start_speed: 0.3,
    prefill_tokens_per_s: 20_000.0,
};

/// The state of the simulated fleet.
pub struct FluidModel {
    pub engines: Vec<EngineView>,
    /// Engines that drain: index, end of the drain, and new role.
    draining: Vec<(usize, Duration, Role)>,
    /// The number of changes made.
    changes: usize,
}

impl FluidModel {
    pub fn new(engine_count: usize) -> Self {
        let engine = |index: usize| EngineView {
            id: EngineId(index as u64),
            role: if index < engine_count / 2 { Role::Prefill } else { Role::Decode },
            epoch: 0,
            cell: CellId((index % (engine_count / 8).max(1)) as u32),
            zone: ZoneId((index % 2) as u32),
            phase: Phase::Serving,
            since: Duration::ZERO,
            busy: 0.6,
            cached_tokens: 10_000.0,
        };
        FluidModel { engines: (0..engine_count).map(engine).collect(), draining: Vec::new(), changes: 0 }
    }

    /// The load that the engines of a role can serve now, in engines at full speed.
    fn capacity(&self, now: Duration, role: Role) -> f64 {
        let speed = |engine: &EngineView| match engine.phase {
            Phase::Changing(_) | Phase::Leaving => 0.0,
            _ if engine.epoch == 0 => 1.0,
            _ => {
                let slow_start_share =
                    now.saturating_sub(engine.since).as_secs_f64() / COSTS.slow_start.as_secs_f64();
                (COSTS.slow_start_speed + (1.0 - COSTS.slow_start_speed) * slow_start_share).min(1.0)
            }
        };
        self.engines.iter().filter(|engine| engine.role == role).map(speed).sum()
    }

    fn apply(&mut self, now: Duration, plan: &RolePlan) {
        for change in &plan.changes {
            let index = change.engine.0 as usize;
            self.engines[index].phase = Phase::Changing(change.to);
            self.draining.push((index, now + COSTS.drain, change.to));
            self.changes += 1;
        }
        let drained: Vec<_> = self.draining.iter().filter(|entry| entry.1 <= now).copied().collect();
        self.draining.retain(|entry| entry.1 > now);
        for (index, _, to) in drained {
            let engine = &mut self.engines[index];
            (engine.role, engine.phase, engine.since, engine.epoch, engine.cached_tokens) =
                (to, Phase::Serving, now, engine.epoch + 1, 0.0);
        }
    }
}

/// The share of the load that was served at once over the whole time, and the number of changes made. A
/// request needs both stages, so the weaker stage limits the share.
pub fn simulate(
    engine_count: usize, policy: Option<PlanningPolicy>, load: impl Fn(f64) -> StageLoad, seconds: f64,
) -> (f64, usize) {
    let mut fluid = FluidModel::new(engine_count);
    let mut planner = Planner::new(LIMITS, COSTS, policy.unwrap_or(PlanningPolicy::Greedy));
    let (mut served, mut requested, mut t) = (0.0, 0.0, 0.0);
    while t < seconds {
        let (now, load) = (s(t), load(t));
        let served_share =
            |load: f64, capacity: f64| if load > 0.0 { (capacity / load).min(1.0) } else { 1.0 };
        served += served_share(load.prefill, fluid.capacity(now, Role::Prefill))
            .min(served_share(load.decode, fluid.capacity(now, Role::Decode)));
        requested += 1.0;
        if policy.is_some() {
            let plan = planner.plan(&PlannerView { now, engines: fluid.engines.clone(), load });
            fluid.apply(now, &plan);
        }
        t += 0.5;
    }
    (served / requested, fluid.changes)
}

/// An oracle with the same limits that knows each flip of the load in advance: it moves `moved` engines to
/// the stage that will be short, beginning `lead` seconds before the flip, and back before the next. Returns
/// the best result of all combinations, one of which makes no changes.
pub fn oracle(engine_count: usize, load: impl Fn(f64) -> StageLoad + Copy, seconds: f64) -> (f64, usize) {
    let mut best = (0.0, 0);
    for moved in 0..=engine_count / 4 {
        for lead in [0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 10.0, 12.0] {
            let mut fluid = FluidModel::new(engine_count);
            let (mut served, mut requested, mut t) = (0.0, 0.0, 0.0);
            while t < seconds {
                let (now, present) = (s(t), load(t));
                let served_share =
                    |load: f64, capacity: f64| if load > 0.0 { (capacity / load).min(1.0) } else { 1.0 };
                served += served_share(present.prefill, fluid.capacity(now, Role::Prefill))
                    .min(served_share(present.decode, fluid.capacity(now, Role::Decode)));
                requested += 1.0;
                // Determines the stage that will be short once a change begun now takes effect.
                let future = load(t + lead);
                let target = if future.prefill > future.decode {
                    engine_count / 2 + moved
                } else {
                    engine_count / 2 - moved
                };
                let mut prefill_engines =
                    fluid.engines.iter().filter(|engine| role_after_changes(engine) == Role::Prefill).count();
                let mut changes = Vec::new();
                while fluid.draining.len() + changes.len() < LIMITS.max_concurrent_changes
                    && prefill_engines != target
                {
                    let to = if prefill_engines < target { Role::Prefill } else { Role::Decode };
                    let may_change = |engine: &&EngineView| {
                        engine.role != to
                            && engine.phase == Phase::Serving
                            && !changes.iter().any(|change: &RoleChange| change.engine == engine.id)
                    };
                    let Some(engine) = fluid
                        .engines
                        .iter()
                        .filter(may_change)
                        .max_by_key(|engine| now.saturating_sub(engine.since))
                    else {
                        break;
                    };
                    changes.push(RoleChange {
                        engine: engine.id,
                        from: engine.role,
                        to,
                        replaces: engine.epoch,
                        served_before: 0.0,
                        served_after: 0.0,
                        cost: 0.0,
                        gain: 0.0,
                        expected_duration: Duration::ZERO,
                    });
                    prefill_engines =
                        if to == Role::Prefill { prefill_engines + 1 } else { prefill_engines - 1 };
                }
                fluid.apply(now, &RolePlan { changes, reason: String::new() });
                t += 0.5;
            }
            if served / requested > best.0 + 1e-9 {
                best = (served / requested, fluid.changes);
            }
        }
    }
    best
}

fn role_after_changes(engine: &EngineView) -> Role {
    if let Phase::Changing(to) = engine.phase {
        to
    } else {
        engine.role
    }
}

/// A load that alternates between the stages every half period: 22 engines' load at one and 8 at the other.
pub fn square_wave(period: f64) -> impl Fn(f64) -> StageLoad + Copy {
    move |t: f64| {
        let is_prefill_heavy = (t / period * 2.0) as u64 % 2 == 0;
        let (prefill, decode) = if is_prefill_heavy { (22.0, 8.0) } else { (8.0, 22.0) };
        StageLoad { prefill, decode }
    }
}
