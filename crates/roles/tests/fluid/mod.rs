//! A fluid model of two stages: work that arrives, engines that change, drain and warm up, and an oracle that
//! knows the load ahead. A model, not measurements of engines. Shared by the tests and `benches/plan.rs`.
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

pub struct Fluid {
    pub engines: Vec<EngineView>,
    leaving: Vec<(usize, Duration, Role)>,
    changes: usize,
}

impl Fluid {
    pub fn new(n: usize) -> Self {
        let engine = |i: usize| EngineView {
            id: EngineId(i as u64),
            role: if i < n / 2 { Role::Prefill } else { Role::Decode },
            epoch: 0,
            cell: CellId((i % (n / 8).max(1)) as u32),
            zone: ZoneId((i % 2) as u32),
            phase: Phase::Serving,
            since: Duration::ZERO,
            busy: 0.6,
            cached_tokens: 10_000.0,
        };
        Fluid { engines: (0..n).map(engine).collect(), leaving: Vec::new(), changes: 0 }
    }

    /// The work that the engines of a role can do now, in engines kept busy.
    fn capacity(&self, now: Duration, role: Role) -> f64 {
        let speed = |e: &EngineView| match e.phase {
            Phase::Changing(_) | Phase::Leaving => 0.0,
            _ if e.epoch == 0 => 1.0,
            _ => {
                let age = now.saturating_sub(e.since).as_secs_f64() / COSTS.slow_start.as_secs_f64();
                (COSTS.slow_start_speed + (1.0 - COSTS.slow_start_speed) * age).min(1.0)
            }
        };
        self.engines.iter().filter(|e| e.role == role).map(speed).sum()
    }

    fn apply(&mut self, now: Duration, plan: &RolePlan) {
        for change in &plan.changes {
            let i = change.engine.0 as usize;
            self.engines[i].phase = Phase::Changing(change.to);
            self.leaving.push((i, now + COSTS.drain, change.to));
            self.changes += 1;
        }
        let done: Vec<_> = self.leaving.iter().filter(|l| l.1 <= now).copied().collect();
        self.leaving.retain(|l| l.1 > now);
        for (i, _, to) in done {
            let e = &mut self.engines[i];
            (e.role, e.phase, e.since, e.epoch, e.cached_tokens) =
                (to, Phase::Serving, now, e.epoch + 1, 0.0);
        }
    }
}

/// Share of the work that was done at once over the day, and the changes made. A request needs both stages,
/// so the weaker stage counts.
pub fn day(
    n: usize, policy: Option<PlanningPolicy>, load: impl Fn(f64) -> StageLoad, seconds: f64,
) -> (f64, usize) {
    let mut fluid = Fluid::new(n);
    let mut planner = Planner::new(LIMITS, COSTS, policy.unwrap_or(PlanningPolicy::Greedy));
    let (mut done, mut asked, mut t) = (0.0, 0.0, 0.0);
    while t < seconds {
        let (now, load) = (s(t), load(t));
        let served = |need: f64, can: f64| if need > 0.0 { (can / need).min(1.0) } else { 1.0 };
        done += served(load.prefill, fluid.capacity(now, Role::Prefill))
            .min(served(load.decode, fluid.capacity(now, Role::Decode)));
        asked += 1.0;
        if policy.is_some() {
            let plan = planner.plan(&PlannerView { now, engines: fluid.engines.clone(), load });
            fluid.apply(now, &plan);
        }
        t += 0.5;
    }
    (done / asked, fluid.changes)
}

/// An oracle of the same limits that knows each flip ahead: it moves `k` engines to the stage that will be
/// short, begun `lead` seconds before the flip, and back before the next. The best of all k and leads, which
/// may be to do nothing.
pub fn oracle(n: usize, load: impl Fn(f64) -> StageLoad + Copy, seconds: f64) -> (f64, usize) {
    let mut best = (0.0, 0);
    for k in 0..=n / 4 {
        for lead in [0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 10.0, 12.0] {
            let mut fluid = Fluid::new(n);
            let (mut done, mut asked, mut t) = (0.0, 0.0, 0.0);
            while t < seconds {
                let (now, present) = (s(t), load(t));
                let served = |need: f64, can: f64| if need > 0.0 { (can / need).min(1.0) } else { 1.0 };
                done += served(present.prefill, fluid.capacity(now, Role::Prefill))
                    .min(served(present.decode, fluid.capacity(now, Role::Decode)));
                asked += 1.0;
                // The side that will be short once a change begun now has worked.
                let ahead = load(t + lead);
                let goal = if ahead.prefill > ahead.decode { n / 2 + k } else { n / 2 - k };
                let mut readers = fluid.engines.iter().filter(|e| role_to_be(e) == Role::Prefill).count();
                let mut changes = Vec::new();
                while fluid.leaving.len() + changes.len() < LIMITS.max_concurrent_changes && readers != goal {
                    let to = if readers < goal { Role::Prefill } else { Role::Decode };
                    let free = |e: &&EngineView| {
                        e.role != to
                            && e.phase == Phase::Serving
                            && !changes.iter().any(|c: &RoleChange| c.engine == e.id)
                    };
                    let Some(e) =
                        fluid.engines.iter().filter(free).max_by_key(|e| now.saturating_sub(e.since))
                    else {
                        break;
                    };
                    changes.push(RoleChange {
                        engine: e.id,
                        from: e.role,
                        to,
                        replaces: e.epoch,
                        served_before: 0.0,
                        served_after: 0.0,
                        cost: 0.0,
                        gain: 0.0,
                        expected_duration: Duration::ZERO,
                    });
                    readers = if to == Role::Prefill { readers + 1 } else { readers - 1 };
                }
                fluid.apply(now, &RolePlan { changes, reason: String::new() });
                t += 0.5;
            }
            if done / asked > best.0 + 1e-9 {
                best = (done / asked, fluid.changes);
            }
        }
    }
    best
}

fn role_to_be(e: &EngineView) -> Role {
    if let Phase::Changing(to) = e.phase {
        to
    } else {
        e.role
    }
}

/// Reading and writing in turn, each for half a period: 22 engines' work of one and 8 of the other.
pub fn square(period: f64) -> impl Fn(f64) -> StageLoad + Copy {
    move |t: f64| {
        let reading = (t / period * 2.0) as u64 % 2 == 0;
        let (read, write) = if reading { (22.0, 8.0) } else { (8.0, 22.0) };
        StageLoad { prefill: read, decode: write }
    }
}
