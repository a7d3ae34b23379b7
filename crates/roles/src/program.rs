//! The choice of changes as an integer program: take or leave each candidate so that what is gained over the likely time,
//! less what the changes cost, is most.

use crate::mix::Mix;
use crate::planner::{Pools, FULL, MARGIN};
use microlp::{ComparisonOp, OptimizationDirection, Problem};
use slipreel::Role;

/// The candidates to change, by position, the cheapest first. None where the solver finds nothing.
pub(crate) fn choose(
    costs: &[f64], pools: Pools, mix: Mix, to: Role, seconds: f64, room: usize,
) -> Vec<usize> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let takes: Vec<_> = costs.iter().map(|&cost| problem.add_binary_var(MARGIN * cost)).collect();
    // Work that finds no engine, at the stage that gains engines and at the one that loses them.
    let (gains, loses) =
        (problem.add_var(seconds, (0.0, f64::INFINITY)), problem.add_var(seconds, (0.0, f64::INFINITY)));
    let (have, lose) =
        if to == Role::Read { (pools.readers, pools.writers) } else { (pools.writers, pools.readers) };
    let (need, keep) = if to == Role::Read { (mix.read, mix.write) } else { (mix.write, mix.read) };
    let with = |var, part: f64| -> Vec<(microlp::Variable, f64)> {
        takes.iter().map(|&t| (t, part)).chain([(var, 1.0)]).collect()
    };
    problem.add_constraint(with(gains, FULL), ComparisonOp::Ge, need - FULL * have);
    problem.add_constraint(with(loses, -FULL), ComparisonOp::Ge, keep - FULL * lose);
    let all: Vec<_> = takes.iter().map(|&t| (t, 1.0)).collect();
    problem.add_constraint(all, ComparisonOp::Le, room as f64);
    let Ok(solution) = problem.solve() else { return Vec::new() };
    (0..costs.len()).filter(|&n| solution[takes[n]] > 0.5).collect()
}
