//! Chooses changes by an integer program: it selects candidates so that the share served over the time in
//! which the changes are in effect, less their cost, is greatest.

use crate::capacity::{StageCapacity, MAX_UTILIZATION, MIN_GAIN_PER_COST};
use crate::stage_load::StageLoad;
use microlp::{ComparisonOp, OptimizationDirection, Problem};
use slipreel::Role;

/// The engines of a stage and its load, in fully busy engines.
struct Stage {
    engines: f64,
    load: f64,
}

/// Chooses at most `max_changes` of the candidates to change to the role `to`; returns their positions in
/// `costs`, in order. Costs are in seconds of full service; `seconds` is how long the changes are in effect.
/// The result is empty if the solver finds no solution.
pub(crate) fn choose(
    costs: &[f64], capacity: StageCapacity, load: StageLoad, to: Role, seconds: f64, max_changes: usize,
) -> Vec<usize> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let selected: Vec<_> =
        costs.iter().map(|&cost| problem.add_binary_var(-MIN_GAIN_PER_COST * cost)).collect();
    // The share of the load that is served: at most 1, and by the constraints at most what each stage can
    // serve.
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
    let stage_terms = |load: f64, engine_coefficient: f64| -> Vec<(microlp::Variable, f64)> {
        selected.iter().map(|&variable| (variable, engine_coefficient)).chain([(share, load)]).collect()
    };
    problem.add_constraint(
        stage_terms(gaining.load, -MAX_UTILIZATION),
        ComparisonOp::Le,
        MAX_UTILIZATION * gaining.engines,
    );
    problem.add_constraint(
        stage_terms(losing.load, MAX_UTILIZATION),
        ComparisonOp::Le,
        MAX_UTILIZATION * losing.engines,
    );
    let change_count: Vec<_> = selected.iter().map(|&variable| (variable, 1.0)).collect();
    problem.add_constraint(change_count, ComparisonOp::Le, max_changes as f64);
    let Ok(solution) = problem.solve() else { return Vec::new() };
    (0..costs.len()).filter(|&position| solution[selected[position]] > 0.5).collect()
}
