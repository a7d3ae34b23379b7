//! Settings of small deployments, with the figures of the operators' pages.

use crate::platform::*;
use std::sync::Arc;

/// Settings with the figures of `thess-journey`.
pub fn thess(balancers: u32) -> String {
    format!(
        r#"{{"azs":["kalamaria","stavroupoli"],"balancers":{balancers},"zone":0,"me":0,"stage":0,"tick":2.0,
"tiers":["assistant-fleet"],"weights":"silent","workload":"twostage","counted_by":"work","discovery":"automatic",
"classes":[
{{"name":"trip-plan","deadline":7500.0,"target":1500.0,"worth":1.0,"late_share":0.3,"idempotency":"safe","group":"all","window":5000.0,"streaming":true}},
{{"name":"next-departure","deadline":5000.0,"target":1000.0,"worth":3.0,"late_share":0.3,"idempotency":"safe","group":"all","window":5000.0,"streaming":true}}],
"client_habits":{{"marks_retry":true}},
"extra":{{"aim_us_per_1000_prompt_tokens":[40000.0,60000.0],"early_pairing":false,"let_go_by":500.0,"local_read":false,
"report_x0":"share_of_memory_that_is_held","resume":false,"role_by_kind":["read","write"],"token_aim":[60.0,50.0],
"tokens_by_kind":[220000,160000],"transfer_price":0.02}},
"host_types":["prefill","decode-a"],
"limits":{{"cancelling":true,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"idle_close":15000.0,
"max_open":20000,"max_retry_after":2000.0,"may_probe":true,"peers":false,"retry_after":true,"second_copies":false,
"send_cap":4,"streams_per_conn":32}},
"report":{{"columns":["busy_reqs","x0"],"source":"pull"}},
"rules":{{"answer_slack":16.0,"ask_within":10000.0,"cold":14000.0,"cold_share":0.26,"drain_grace":2000.0,"fall":1500.0,"fall_multiple":4.0}}}}"#
    )
}

/// Settings with the figures of `manila-assist`.
pub fn manila(balancers: u32) -> String {
    format!(
        r#"{{"azs":["hall-a","hall-b"],"balancers":{balancers},"zone":0,"me":0,"stage":0,"tick":4.0,
"tiers":["model-fleet"],"weights":"silent","workload":"twostage","counted_by":"work","discovery":"automatic",
"over_share_worth":0.05,
"classes":[
{{"name":"quick-check","deadline":4000.0,"target":800.0,"worth":1.0,"late_share":0.3,"idempotency":"safe","group":"all","window":5000.0,"streaming":true}},
{{"name":"entry-lodge","deadline":12000.0,"target":2500.0,"worth":3.0,"late_share":0.3,"idempotency":"unsafe","group":"all","window":5000.0,"streaming":true}}],
"client_habits":{{"marks_retry":false}},
"extra":{{"aim_us_per_1000_prompt_tokens":[60000.0,120000.0],"early_pairing":false,"let_go_by":500.0,"local_read":false,
"report_x0":"share_of_memory_that_is_held","resume":true,"role_by_kind":["read","write"],"token_aim":[50.0,80.0],
"tokens_by_kind":[190000,150000],"transfer_price":0.08}},
"host_types":["prefill","decode"],
"limits":{{"cancelling":true,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"idle_close":30000.0,
"max_open":20000,"max_retry_after":2000.0,"may_probe":true,"peers":false,"retry_after":true,"second_copies":false,
"send_cap":4,"streams_per_conn":32}},
"report":{{"columns":["cpu_share","pending","x0"],"source":"piggyback"}},
"rules":{{"answer_slack":16.0,"ask_within":10000.0,"cold":13000.0,"cold_share":0.25,"drain_grace":250.0,"fall":2000.0,"fall_multiple":2.5}}}}"#
    )
}

/// Readers and writers, half of each kind in each zone, all warm. `token_ms` is the time between two tokens.
pub fn engines(
    world: &Arc<World>, zones: [&'static str; 2], kinds: [&'static str; 2], readers: usize, writers: usize,
    load: &'static str, token_ms: u64, answer_tokens: u64,
) -> Vec<Arc<Engine>> {
    let spec = |number: usize, reads: bool| EngineSpec {
        name: format!("s-{}{number}", if reads { "read" } else { "write" }),
        kind: kinds[usize::from(!reads)],
        reads,
        zone: zones[number % 2],
        cell: 1 + (number % 2) as u32,
        tokens_per_s: 17_000.0,
        token_ms,
        answer_tokens,
        load,
        slots: if reads { 8 } else { 80 },
        queue: 30,
    };
    let all = (0..readers).map(|number| spec(number, true)).chain((0..writers).map(|n| spec(n, false)));
    all.map(|spec| start_engine(world, spec)).collect()
}

/// Settings with the figures of `parts-assist`.
pub fn parts(balancers: u32) -> String {
    format!(
        r#"{{"azs":["salt-lake","rajarhat","howrah"],"balancers":{balancers},"zone":0,"me":0,"stage":0,"tick":2.0,
"tiers":["model-fleet"],"weights":"nominal","workload":"twostage","counted_by":"work","discovery":"automatic",
"classes":[
{{"name":"dealer-query","deadline":7500.0,"target":1500.0,"worth":1.0,"late_share":0.3,"idempotency":"safe","group":"all","window":5000.0,"streaming":true}}],
"client_habits":{{"marks_retry":true}},
"extra":{{"aim_us_per_1000_prompt_tokens":[40000.0],"early_pairing":false,"let_go_by":1000.0,"local_read":false,
"report_x0":"share_of_memory_that_is_held","report_x1":"thousands_of_prompt_tokens_waiting_to_be_read_or_fetched",
"resume":false,"role_by_kind":["read","write"],"token_aim":[70.0],"tokens_by_kind":[200000,160000],"transfer_price":0.03}},
"host_types":["prefill","decode"],
"limits":{{"cancelling":true,"connect_timeout":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"idle_close":15000.0,
"max_open":20000,"max_retry_after":500.0,"may_probe":true,"peers":false,"retry_after":true,"second_copies":false,
"send_cap":6,"streams_per_conn":32}},
"report":{{"columns":["busy_reqs","pending","x0","x1"],"source":"piggyback"}},
"rules":{{"answer_slack":16.0,"ask_within":10000.0,"cold":13000.0,"cold_share":0.26,"drain_grace":500.0,"fall":1000.0,"fall_multiple":3.0}}}}"#
    )
}
