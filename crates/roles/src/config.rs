//! What operators configure of the planner: limits on changes, what a change costs, and how changes are chosen.

use std::time::Duration;

/// Limits that operators set on changes of role.
#[derive(Clone, Copy, Debug)]
pub struct PlannerLimits {
    /// The most changes in progress at once.
    pub max_concurrent_changes: usize,
    /// The least number of prefill engines that each cell keeps, if it has any.
    pub min_prefill_per_cell: usize,
    /// The least number of decode engines that each cell keeps, if it has any.
    pub min_decode_per_cell: usize,
    /// The least number of engines of each of the two roles that each zone keeps, if it has any.
    pub min_per_zone: usize,
    /// The least time that an engine keeps a role.
    pub min_time_in_role: Duration,
    /// No changes are planned.
    pub frozen: bool,
}

impl Default for PlannerLimits {
    /// The limits where operators set none: the least that keeps every cell and zone working.
    fn default() -> Self {
        PlannerLimits {
            max_concurrent_changes: 2,
            min_prefill_per_cell: 1,
            min_decode_per_cell: 1,
            min_per_zone: 1,
            min_time_in_role: Duration::from_secs(60),
            frozen: false,
        }
    }
}

/// What a change of role costs.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCosts {
    /// The time until an engine has ended its work in the old role.
    pub drain: Duration,
    /// The time of slow start in the new role.
    pub slow_start: Duration,
    /// The share of its full speed at which an engine begins slow start.
    pub slow_start_speed: f64,
    /// Prompt tokens that an engine processes in a second.
    pub prefill_tokens_per_s: f64,
}

impl ChangeCosts {
    /// The time of a drain where operators set none.
    pub const DRAIN: Duration = Duration::from_secs(5);

    /// What an engine lacks in slow start, as time in which it would not work at all.
    pub(crate) fn slow_start_loss(&self) -> Duration {
        self.slow_start.mul_f64((1.0 - self.slow_start_speed) / 2.0)
    }
}

/// How the changes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanningPolicy {
    /// One engine after another, the cheapest first, as long as each pays.
    Greedy,
    /// The same, on the load that its trend forecasts.
    Forecast,
    /// All at once, by an integer program (`integer_program`).
    Program,
}
