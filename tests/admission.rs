//! Admission: the rejection curve, priorities, quotas, deadlines and rejections.

mod common;

use common::*;
use slipreel::*;

/// Share of requests of a class that are rejected when the engines of the two stages report these
/// saturations.
fn rejected_share(settings: &Settings, saturations: [f64; 2], class: usize) -> f64 {
    let n = 2000;
    let is_rejected_with_seed = |seed| {
        let mut host = Host::new(settings.clone(), seed, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.report_load(1, saturations[0] * 60_000.0);
        host.report_load(2, saturations[1] * 60_000.0);
        is_rejected(&host.submit(request(1, class)))
    };
    (0..n).filter(|&seed| is_rejected_with_seed(seed)).count() as f64 / n as f64
}

#[test]
fn the_rejection_curve_has_the_values_of_the_llm_d_post() {
    let s = settings(Idempotency::Idempotent);
    let share_at = |saturation| rejected_share(&s, [saturation; 2], 1);
    assert!((0.002..0.02).contains(&share_at(0.12)), "{}", share_at(0.12));
    assert!((0.25..0.34).contains(&share_at(0.25)), "{}", share_at(0.25));
    assert_eq!(share_at(0.34), 1.0);
}

/// The share of memory that real engines report is at most 1, however much work waits for memory. Full memory
/// alone rejects one request in six.
#[test]
fn full_memory_everywhere_rejects_one_request_in_six() {
    let s = settings(Idempotency::Idempotent);
    let is_rejected_with_seed = |seed| {
        let mut host = Host::new(s.clone(), seed, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        for id in [1, 2] {
            let report = LoadReport { memory_share: Some(1.0), queued: Some(0.0), ..LoadReport::default() };
            host.handle(Event::ProbeEnded { engine: EngineId(id), outcome: Outcome::Completed, report });
        }
        is_rejected(&host.submit(request(1, 1)))
    };
    let share = (0..2_000).filter(|&seed| is_rejected_with_seed(seed)).count() as f64 / 2_000.0;
    assert!((0.14..0.19).contains(&share), "{share}");
}

#[test]
fn protected_requests_pass_until_all_droppable_ones_are_rejected() {
    let s = settings(Idempotency::Idempotent);
    assert_eq!(rejected_share(&s, [0.31; 2], 0), 0.0);
    // Above that, the same curve applies at a share of the saturation, as the engines cannot serve all of
    // them.
    let protected_share = rejected_share(&s, [0.33; 2], 0);
    assert!((0.2..0.6).contains(&protected_share), "{protected_share}");
    assert_eq!(rejected_share(&s, [0.5; 2], 0), 1.0);
}

#[test]
fn idle_engines_of_one_stage_do_not_hide_full_ones_of_the_other() {
    let s = settings(Idempotency::Idempotent);
    assert_eq!(rejected_share(&s, [0.0, 0.34], 1), 1.0);
    assert_eq!(rejected_share(&s, [0.34, 0.0], 1), 1.0);
}

#[test]
fn with_equal_weights_the_loosest_latency_objective_is_droppable() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].priority_weight = 1.0;
    assert_eq!(rejected_share(&s, [0.31; 2], 0), 0.0);
    assert!(rejected_share(&s, [0.31; 2], 1) > 0.7);
}

#[test]
fn requests_over_a_tenants_quota_are_droppable() {
    let mut s = settings(Idempotency::Idempotent);
    s.tenants = vec![Tenant { quota_per_s: Some(1.0) }];
    let mut host = Host::new(s, 2, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.report_load(1, 0.0);
    host.report_load(2, 19_400.0); // rejects all droppable requests and one in nine protected ones
    let answers: Vec<bool> = (0..40).map(|id| is_rejected(&host.submit(request(id, 0)))).collect();
    assert!(!answers[0]);
    assert!(answers[10..].iter().all(|&rejected| rejected));
}

#[test]
fn marked_client_retries_do_not_use_the_tenants_quota() {
    let mut s = settings(Idempotency::Idempotent);
    s.tenants = vec![Tenant { quota_per_s: Some(1.0) }];
    let mut host = Host::new(s, 2, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.report_load(1, 0.0);
    host.report_load(2, 19_400.0); // rejects all droppable requests and one in nine protected ones
    let is_submission_rejected = |id| is_rejected(&host.submit(Request { is_retry: true, ..request(id, 0) }));
    let rejections = (0..40).map(is_submission_rejected).filter(|&rejected| rejected).count();
    assert!(rejections < 25, "{rejections}");
}

#[test]
fn a_rejection_has_a_retry_time_where_clients_honour_it() {
    for max_retry_after in [None, Some(ms(300))] {
        let mut s = settings(Idempotency::Idempotent);
        s.limits.max_retry_after = max_retry_after;
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.report_load(2, 30_000.0);
        let actions = host.submit(request(1, 1));
        assert!(
            actions.contains(&Action::Reject {
                request: RequestId(1),
                retry_after: max_retry_after,
                over_quota: false
            }),
            "{actions:?}"
        );
    }
}

#[test]
fn a_request_with_an_unreachable_deadline_is_rejected() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    for id in 0..100 {
        host.now += ms(500);
        host.submit(request(id, 0));
        for (attempt, outcome) in [(0, Outcome::Prefilled), (1, Outcome::Completed)] {
            host.handle(Event::AttemptEnded(AttemptEnded {
                request: RequestId(id),
                attempt,
                outcome,
                latency: ms(400),
                request_finished: outcome == Outcome::Completed,
                cached_tokens: 0.0,
                report: LoadReport::default(),
            }));
        }
    }
    let is_submission_rejected = |host: &mut Host, id, timeout_ms| {
        is_rejected(&host.submit(Request { client_timeout: ms(timeout_ms), ..request(id, 0) }))
    };
    assert!(is_submission_rejected(&mut host, 200, 300) && !is_submission_rejected(&mut host, 201, 3000));
    // Each rejection lets the mean waiting times decay, so that requests are accepted after the congestion is
    // over.
    assert!((300..340).any(|id| !is_submission_rejected(&mut host, id, 300)));
}

/// Guards against underestimating queues: one of 300 routers sees ten requests in a minute, and assumed
/// prompts of a third of their real length while the queues were seconds long.
#[test]
fn the_mean_prompt_is_learnt_from_a_few_requests() {
    for prompt_tokens in [200.0, 1_000.0, 8_000.0] {
        let mut host =
            Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        for id in 0..8 {
            host.submit(Request { prompt_tokens, ..request(id, 0) });
            host.handle(Event::ClientDisconnected(RequestId(id)));
        }
        let report = LoadReport { queued: Some(3.0), ..LoadReport::default() };
        host.handle(Event::ProbeEnded { engine: EngineId(1), outcome: Outcome::Completed, report });
        let rejections =
            (100..150).filter(|&id| is_rejected(&host.submit(Request { prompt_tokens, ..request(id, 1) })));
        // With long prompts, 24,000 tokens are waiting.
        assert_eq!(rejections.count() == 50, prompt_tokens == 8_000.0, "{prompt_tokens}");
    }
}

/// A rejection states whether the tenant was over its quota, so that the host can report it to the client.
#[test]
fn a_rejection_states_whether_the_tenant_is_over_its_quota() {
    let tenants = vec![Tenant { quota_per_s: Some(1.0) }, Tenant { quota_per_s: None }];
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0)];
    let mut host = Host::new(Settings { tenants, ..settings(Idempotency::Idempotent) }, 3, engines);
    host.report_load(1, 300_000.0);
    let over_quota_of = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Reject { over_quota, .. } => Some(*over_quota),
            _ => None,
        })
    };
    let mut over = Vec::new();
    for id in 0..40 {
        let actions = host.submit(Request { tenant: TenantId(id as usize % 2), ..request(id, 1) });
        over.push((id % 2, over_quota_of(&actions).expect("all droppable requests are rejected")));
    }
    assert!(over.iter().all(|&(tenant, over)| tenant == 0 || !over), "{over:?}");
    assert!(!over[0].1 && over[38].1, "{over:?}");
}

#[test]
fn a_request_without_any_engine_is_answered_at_once() {
    let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, vec![]);
    assert!(is_rejected(&host.submit(request(1, 0))));
    assert_eq!(host.router.state_sizes().requests, 0);
}

#[test]
fn extreme_lengths_and_times_do_no_harm() {
    let started = Some(std::time::Duration::MAX);
    let engines = vec![Engine { started_at: started, ..engine(1, 0, 0) }, engine(2, 0, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    let timeout = std::time::Duration::MAX;
    let actions = host.submit(Request { client_timeout: timeout, prompt_tokens: f64::MAX, ..request(1, 0) });
    assert!(timers(&actions).iter().all(|(_, after)| *after <= ms(3_600_000)), "{actions:?}");
    assert!(send_target(&actions).is_some());
}
