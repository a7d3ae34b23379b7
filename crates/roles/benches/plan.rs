//! Planning time against fleet size, and what each policy is worth in a fluid model of two stages: work that arrives, engines
//! that change, drain and warm up. A model, not measurements of engines.

use slipreel::{CellId, EngineId, Role, ZoneId};
use slipreel_roles::*;
use std::time::{Duration, Instant};

fn s(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

const LIMITS: Limits = Limits {
    in_flight: 2,
    readers_in_cell: 1,
    writers_in_cell: 1,
    in_zone: 1,
    least_time: Duration::from_secs(15),
    frozen: false,
};
const COSTS: Costs = Costs {
    drain: Duration::from_secs(2),
    cold: Duration::from_secs(10),
    cold_share: 0.3,
    read_per_s: 20_000.0,
};

struct Fluid {
    engines: Vec<EngineView>,
    leaving: Vec<(usize, Duration, Role)>,
    changes: usize,
}

impl Fluid {
    fn new(n: usize) -> Self {
        let engine = |i: usize| EngineView {
            id: EngineId(i as u64),
            role: if i < n / 2 { Role::Read } else { Role::Write },
            epoch: 0,
            cell: CellId((i % (n / 8).max(1)) as u32),
            zone: ZoneId((i % 2) as u32),
            phase: Phase::Serving,
            since: Duration::ZERO,
            busy: 0.6,
            kept_tokens: 10_000.0,
        };
        Fluid { engines: (0..n).map(engine).collect(), leaving: Vec::new(), changes: 0 }
    }

    /// Engines' work that a role can do now.
    fn can(&self, now: Duration, role: Role) -> f64 {
        let speed = |e: &EngineView| match e.phase {
            Phase::Changing(_) | Phase::Leaving => 0.0,
            _ if e.epoch == 0 => 1.0,
            _ => {
                let age = now.saturating_sub(e.since).as_secs_f64() / COSTS.cold.as_secs_f64();
                (COSTS.cold_share + (1.0 - COSTS.cold_share) * age).min(1.0)
            }
        };
        self.engines.iter().filter(|e| e.role == role).map(speed).sum()
    }

    fn apply(&mut self, now: Duration, plan: &Plan) {
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
            (e.role, e.phase, e.since, e.epoch, e.kept_tokens) = (to, Phase::Serving, now, e.epoch + 1, 0.0);
        }
    }
}

/// Share of the work that was done at once over the day, and the changes made. A request needs both stages, so the weaker
/// stage counts.
fn day(n: usize, policy: Option<Policy>, mix: impl Fn(f64) -> Mix, seconds: f64) -> (f64, usize) {
    let mut fluid = Fluid::new(n);
    let mut planner = Planner::new(LIMITS, COSTS, policy.unwrap_or(Policy::Greedy));
    let (mut done, mut asked, mut t) = (0.0, 0.0, 0.0);
    while t < seconds {
        let (now, mix) = (s(t), mix(t));
        let served = |need: f64, can: f64| if need > 0.0 { (can / need).min(1.0) } else { 1.0 };
        done +=
            served(mix.read, fluid.can(now, Role::Read)).min(served(mix.write, fluid.can(now, Role::Write)));
        asked += 1.0;
        if policy.is_some() {
            let plan = planner.plan(&View { now, engines: fluid.engines.clone(), mix });
            fluid.apply(now, &plan);
        }
        t += 0.5;
    }
    (done / asked, fluid.changes)
}

fn main() {
    println!("planning time, one plan with an imbalance that pays (aim: under 50 ms at 2,000 engines)");
    for n in [20, 200, 2_000] {
        for policy in [Policy::Greedy, Policy::Forecast, Policy::Program] {
            let mut planner = Planner::new(LIMITS, COSTS, policy);
            let half = n as f64 / 2.0;
            let view = |t: f64| View {
                now: s(t),
                engines: Fluid::new(n).engines,
                mix: Mix { read: half * 1.2, write: half * 0.3 },
            };
            (0..100).for_each(|i| {
                planner.plan(&view(f64::from(i) * 0.5));
            });
            let view = view(50.0);
            let began = Instant::now();
            let plan = planner.plan(&view);
            println!(
                "{n:>6} engines {policy:?}: {:.2} ms, {} changes",
                began.elapsed().as_secs_f64() * 1e3,
                plan.changes.len()
            );
        }
    }
    println!("\nshare of work done at once in 20 minutes of 40 engines (fluid model), and changes made");
    let square = |period: f64| {
        move |t: f64| {
            let reading = (t / period * 2.0) as u64 % 2 == 0;
            if reading {
                Mix { read: 22.0, write: 8.0 }
            } else {
                Mix { read: 8.0, write: 22.0 }
            }
        }
    };
    println!("{:<12}{:>16}{:>16}{:>16}{:>16}", "mix swings", "fixed", "Greedy", "Forecast", "Program");
    for period in [2.0, 5.0, 10.0, 20.0, 60.0, 300.0, 1200.0] {
        let mut row = format!("{:<12}", format!("every {period} s"));
        for policy in [None, Some(Policy::Greedy), Some(Policy::Forecast), Some(Policy::Program)] {
            let (share, changes) = day(40, policy, square(period), 1200.0);
            row += &format!("{:>16}", format!("{share:.3} ({changes})"));
        }
        println!("{row}");
    }
}
