//! The planner's configuration: limits on changes, the costs of a change, and how changes are chosen.

use std::time::Duration;

/// Limits that operators set on changes of role.
#[derive(Clone, Copy, Debug)]
pub struct PlannerLimits {
    /// The maximum number of changes in progress at once.
    pub max_concurrent_changes: usize,
    /// The minimum number of prefill engines that each cell keeps, if it has any.
    pub min_prefill_per_cell: usize,
    /// The minimum number of decode engines that each cell keeps, if it has any.
    pub min_decode_per_cell: usize,
    /// The minimum number of engines of each of the two roles that each zone keeps, if it has any.
    pub min_per_zone: usize,
    /// The minimum time that an engine keeps a role.
    pub min_time_in_role: Duration,
    /// Whether changes are frozen: none are planned.
    pub frozen: bool,
}

impl Default for PlannerLimits {
    /// The limits where operators set none: the minimum that keeps every cell and zone working.
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

/// What a role change costs: the times in which the engine does less work or none, and the speed at which it
/// processes again the prompt tokens that it had in its cache.
#[derive(Clone, Copy, Debug)]
pub struct ChangeCosts {
    /// The time until an engine has ended its work in the old role.
    pub drain: Duration,
    /// The time of slow start in the new role.
    pub slow_start: Duration,
    /// The share of its full speed at which an engine begins slow start.
    pub slow_start_speed: f64,
    /// Prompt tokens that an engine processes per second. By this speed, the cached tokens that a change loses
    /// are converted to time.
    pub prefill_tokens_per_s: f64,
}

impl ChangeCosts {
    /// The time of a drain where operators set none.
    pub const DRAIN: Duration = Duration::from_secs(5);

    /// The capacity that an engine lacks during slow start, as an equal time without any work.
    pub(crate) fn slow_start_loss(&self) -> Duration {
        self.slow_start.mul_f64((1.0 - self.slow_start_speed) / 2.0)
    }
}

/// How the changes are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanningPolicy {
    /// One engine after another, the cheapest first, as long as each change pays.
    Greedy,
    /// Like [`PlanningPolicy::Greedy`], for the load that is forecast from its trend.
    Forecast,
    /// All changes together, by an integer program (`integer_program`).
    Program,
}
