//! The choice of changes as an integer program: take or leave each candidate so that the share served over the time in
//! which the changes work, less what they cost, is most.

use crate::capacity::{StageCapacity, MAX_UTILIZATION, MIN_GAIN_PER_COST};
use crate::stage_load::StageLoad;
use microlp::{ComparisonOp, OptimizationDirection, Problem};
use slipreel::Role;

/// The engines of a stage and its load, in engines kept busy.
struct Stage {
    engines: f64,
    load: f64,
}

/// Chooses at most `max_changes` of the candidates to change to the role `to`; returns their positions in `costs`, in order. Costs are in
/// seconds of full service, `seconds` is how long the changes work. Empty where the solver finds no solution.
pub(crate) fn choose(
    costs: &[f64], capacity: StageCapacity, load: StageLoad, to: Role, seconds: f64, max_changes: usize,
) -> Vec<usize> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let taken: Vec<_> = costs.iter().map(|&cost| problem.add_binary_var(-MIN_GAIN_PER_COST * cost)).collect();
    // The share of the load that is served: at most what each stage can serve, and at most all of it.
    let share = problem.add_var(seconds, (0.0, 1.0));
    let (gaining, losing) = if to == Role::Prefill {
        (
            Stage { engines: capacity.prefill, load: load.prefill },
            Stage { engines: capacity.decode, load: load.decode },
        )
    } else {
        (
            Stage { engines: capacity.decode, load: load.decode },
            Stage { engines: capacity.prefill, load: load.prefill },
        )
    };
    let with_share = |load: f64, part: f64| -> Vec<(microlp::Variable, f64)> {
        taken.iter().map(|&variable| (variable, part)).chain([(share, load)]).collect()
    };
    problem.add_constraint(
        with_share(gaining.load, -MAX_UTILIZATION),
        ComparisonOp::Le,
        MAX_UTILIZATION * gaining.engines,
    );
    problem.add_constraint(
        with_share(losing.load, MAX_UTILIZATION),
        ComparisonOp::Le,
        MAX_UTILIZATION * losing.engines,
    );
    let all: Vec<_> = taken.iter().map(|&variable| (variable, 1.0)).collect();
    problem.add_constraint(all, ComparisonOp::Le, max_changes as f64);
    let Ok(solution) = problem.solve() else { return Vec::new() };
    (0..costs.len()).filter(|&position| solution[taken[position]] > 0.5).collect()
}
