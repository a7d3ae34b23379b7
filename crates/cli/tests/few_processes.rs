//! Cold engines under few router processes. In a test binary of its own, because it needs the whole machine.

mod platform;
use platform::{cold_starts, COLD_RULES};

#[test]
fn one_three_and_eight_processes_keep_cold_engines_within_budget_while_a_router_restarts() {
    for (routers, restarts_a_router, seed) in [(1, false, 4), (3, true, 5), (8, true, 6)] {
        assert_eq!(cold_starts(routers, COLD_RULES, restarts_a_router, seed), [], "{routers} routers");
    }
}
