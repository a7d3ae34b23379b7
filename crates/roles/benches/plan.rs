//! Measures the planning time by fleet size, and the share of requests that each policy serves in a fluid
//! model of the two stages (`tests/fluid`): load arrives, engines change their role, drain and go through
//! slow start. It is a model and measures no engines.

#[path = "../tests/fluid/mod.rs"]
mod fluid;

use fluid::{oracle, s, simulate, square_wave, FluidModel, COSTS, LIMITS};
use slipreel_roles::{Planner, PlannerView, PlanningPolicy, StageLoad};
use std::time::Instant;

fn main() {
    println!("planning time, one plan with an imbalance that pays (aim: under 50 ms at 2,000 engines)");
    for n in [20, 200, 2_000] {
        for policy in [PlanningPolicy::Greedy, PlanningPolicy::Forecast, PlanningPolicy::Program] {
            let mut planner = Planner::new(LIMITS, COSTS, policy);
            let half = n as f64 / 2.0;
            let view = |t: f64| PlannerView {
                now: s(t),
                engines: FluidModel::new(n).engines,
                load: StageLoad { prefill: half * 1.2, decode: half * 0.3 },
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
    println!("\nshare of requests that both stages could serve at once in 20 minutes of 40 engines (fluid model), and changes made");
    println!(
        "{:<12}{:>16}{:>16}{:>16}{:>16}{:>16}",
        "mix swings", "fixed", "Greedy", "Forecast", "Program", "oracle"
    );
    for period in [2.0, 5.0, 10.0, 20.0, 60.0, 300.0, 1200.0] {
        let mut row = format!("{:<12}", format!("every {period} s"));
        for policy in [
            None,
            Some(PlanningPolicy::Greedy),
            Some(PlanningPolicy::Forecast),
            Some(PlanningPolicy::Program),
        ] {
            let (share, changes) = simulate(40, policy, square_wave(period), 1200.0);
            row += &format!("{:>16}", format!("{share:.3} ({changes})"));
        }
        let (share, changes) = oracle(40, square_wave(period), 1200.0);
        println!("{row}{:>16}", format!("{share:.3} ({changes})"));
    }
}
