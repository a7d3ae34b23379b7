//! The choice of changes as an integer program: take or leave each candidate so that the share served over the time in
//! which the changes work, less what they cost, is most.

use crate::mix::Mix;
use crate::planner::{Pools, FULL, MARGIN};
use microlp::{ComparisonOp, OptimizationDirection, Problem};
use slipreel::Role;

/// The candidates to change, by position, the cheapest first. None where the solver finds nothing.
pub(crate) fn choose(
    costs: &[f64], pools: Pools, mix: Mix, to: Role, seconds: f64, room: usize,
) -> Vec<usize> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let takes: Vec<_> = costs.iter().map(|&cost| problem.add_binary_var(-MARGIN * cost)).collect();
    // The share served: no more than either stage can, or is asked.
    let share = problem.add_var(seconds, (0.0, 1.0));
    let (have, keep) =
        if to == Role::Prefill { (pools.readers, pools.writers) } else { (pools.writers, pools.readers) };
    let (need, other) = if to == Role::Prefill { (mix.read, mix.write) } else { (mix.write, mix.read) };
    let with = |work: f64, part: f64| -> Vec<(microlp::Variable, f64)> {
        takes.iter().map(|&t| (t, part)).chain([(share, work)]).collect()
    };
    problem.add_constraint(with(need, -FULL), ComparisonOp::Le, FULL * have);
    problem.add_constraint(with(other, FULL), ComparisonOp::Le, FULL * keep);
    let all: Vec<_> = takes.iter().map(|&t| (t, 1.0)).collect();
    problem.add_constraint(all, ComparisonOp::Le, room as f64);
    let Ok(solution) = problem.solve() else { return Vec::new() };
    (0..costs.len()).filter(|&n| solution[takes[n]] > 0.5).collect()
}
