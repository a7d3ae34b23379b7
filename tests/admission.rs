//! Admission: the curve, priorities, quotas, deadlines and rejections.

mod common;

use common::*;
use slipreel::*;

/// Share of requests of a class that are refused at the door when every engine reports this saturation.
fn refused_share(settings: &Settings, saturations: [f64; 2], class: usize) -> f64 {
    let n = 2000;
    let one = |seed| {
        let mut host = Host::new(settings.clone(), seed, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.report(1, saturations[0] * 60_000.0);
        host.report(2, saturations[1] * 60_000.0);
        refused(&host.ask(request(1, class)))
    };
    (0..n).filter(|&seed| one(seed)).count() as f64 / n as f64
}

#[test]
fn the_rejection_curve_has_the_values_of_the_post() {
    let s = settings(Idempotency::Idempotent);
    let at = |saturation| refused_share(&s, [saturation; 2], 1);
    assert!((0.002..0.02).contains(&at(0.12)), "{}", at(0.12));
    assert!((0.25..0.34).contains(&at(0.25)), "{}", at(0.25));
    assert_eq!(at(0.34), 1.0);
}

/// A real engine's published share of memory ends at 1: full memory alone refuses one in six, whatever lies behind it.
#[test]
fn full_memory_everywhere_rejects_one_request_in_six() {
    let s = settings(Idempotency::Idempotent);
    let one = |seed| {
        let mut host = Host::new(s.clone(), seed, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        for id in [1, 2] {
            let report = LoadReport { memory_share: Some(1.0), queued: Some(0.0), ..LoadReport::default() };
            host.tell(Event::ProbeEnded { engine: EngineId(id), outcome: Outcome::Completed, report });
        }
        refused(&host.ask(request(1, 1)))
    };
    let share = (0..2_000).filter(|&seed| one(seed)).count() as f64 / 2_000.0;
    assert!((0.14..0.19).contains(&share), "{share}");
}

#[test]
fn protected_requests_pass_until_all_droppable_ones_are_rejected() {
    let s = settings(Idempotency::Idempotent);
    assert_eq!(refused_share(&s, [0.31; 2], 0), 0.0);
    // Beyond, the same curve holds for a part of the saturation: what is left can't carry them.
    let beyond = refused_share(&s, [0.33; 2], 0);
    assert!((0.2..0.6).contains(&beyond), "{beyond}");
    assert_eq!(refused_share(&s, [0.5; 2], 0), 1.0);
}

#[test]
fn idle_engines_of_one_stage_do_not_hide_full_ones_of_the_other() {
    let s = settings(Idempotency::Idempotent);
    assert_eq!(refused_share(&s, [0.0, 0.34], 1), 1.0);
    assert_eq!(refused_share(&s, [0.34, 0.0], 1), 1.0);
}

#[test]
fn with_equal_weights_the_loosest_latency_objective_is_droppable() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].priority_weight = 1.0;
    assert_eq!(refused_share(&s, [0.31; 2], 0), 0.0);
    assert!(refused_share(&s, [0.31; 2], 1) > 0.7);
}

#[test]
fn requests_over_a_tenants_quota_are_droppable() {
    let mut s = settings(Idempotency::Idempotent);
    s.tenants = vec![Tenant { quota_per_s: Some(1.0) }];
    let mut host = Host::new(s, 2, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.report(1, 0.0);
    host.report(2, 19_400.0); // certain for droppable, one in nine for protected ones
    let answers: Vec<bool> = (0..40).map(|id| refused(&host.ask(request(id, 0)))).collect();
    assert!(!answers[0]);
    assert!(answers[10..].iter().all(|&refused| refused));
}

#[test]
fn marked_client_retries_do_not_use_the_tenants_quota() {
    let mut s = settings(Idempotency::Idempotent);
    s.tenants = vec![Tenant { quota_per_s: Some(1.0) }];
    let mut host = Host::new(s, 2, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    host.report(1, 0.0);
    host.report(2, 19_400.0); // certain for droppable, one in nine for protected ones
    let ask = |id| refused(&host.ask(Request { is_retry: true, ..request(id, 0) }));
    let refusals = (0..40).map(ask).filter(|&refused| refused).count();
    assert!(refusals < 25, "{refusals}");
}

#[test]
fn a_rejection_has_a_retry_time_where_clients_honour_it() {
    for most in [None, Some(ms(300))] {
        let mut s = settings(Idempotency::Idempotent);
        s.limits.max_retry_after = most;
        let mut host = Host::new(s, 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        host.report(2, 30_000.0);
        let out = host.ask(request(1, 1));
        assert!(
            out.contains(&Action::Reject { request: RequestId(1), retry_after: most, over_quota: false }),
            "{out:?}"
        );
    }
}

#[test]
fn a_request_with_an_unreachable_deadline_is_rejected() {
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
    for id in 0..100 {
        host.now += ms(500);
        host.ask(request(id, 0));
        for (attempt, outcome) in [(0, Outcome::Prefilled), (1, Outcome::Completed)] {
            host.tell(Event::AttemptEnded(AttemptEnded {
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
    let ask = |host: &mut Host, id, left| {
        refused(&host.ask(Request { client_timeout: ms(left), ..request(id, 0) }))
    };
    assert!(ask(&mut host, 200, 300) && !ask(&mut host, 201, 3000));
    // Each refusal lets it forget a little, so that a jam that is over does not refuse for ever.
    assert!((300..340).any(|id| !ask(&mut host, id, 300)));
}

/// Found on nairobi-highlights: a router that refuses all hears no answers, and full engines stay full
/// in its eyes.
/// Found on the standing test: one of 300 routers sees ten requests in a minute, and prompts were taken for a third of
/// their length while the queues before them were seconds long.
#[test]
fn the_mean_prompt_is_learnt_from_a_few_requests() {
    for prompt_tokens in [200.0, 1_000.0, 8_000.0] {
        let mut host =
            Host::new(settings(Idempotency::Idempotent), 1, vec![engine(1, 0, 0), engine(2, 1, 0)]);
        for id in 0..8 {
            host.ask(Request { prompt_tokens, ..request(id, 0) });
            host.tell(Event::ClientDisconnected(RequestId(id)));
        }
        let report = LoadReport { queued: Some(3.0), ..LoadReport::default() };
        host.tell(Event::ProbeEnded { engine: EngineId(1), outcome: Outcome::Completed, report });
        let refusals =
            (100..150).filter(|&id| refused(&host.ask(Request { prompt_tokens, ..request(id, 1) })));
        // 24,000 tokens wait where prompts are long.
        assert_eq!(refusals.count() == 50, prompt_tokens == 8_000.0, "{prompt_tokens}");
    }
}

/// A refusal says whether the tenant's own restraint would have helped, so that the host can tell it so.
#[test]
fn a_rejection_says_that_the_tenant_is_over_its_quota() {
    let tenants = vec![Tenant { quota_per_s: Some(1.0) }, Tenant { quota_per_s: None }];
    let engines = vec![engine(1, 0, 0), engine(2, 1, 0)];
    let mut host = Host::new(Settings { tenants, ..settings(Idempotency::Idempotent) }, 3, engines);
    host.report(1, 300_000.0);
    let told = |out: &[Action]| {
        out.iter().find_map(|a| match a {
            Action::Reject { over_quota: over_share, .. } => Some(*over_share),
            _ => None,
        })
    };
    let mut over = Vec::new();
    for id in 0..40 {
        let out = host.ask(Request { tenant: TenantId(id as usize % 2), ..request(id, 1) });
        over.push((id % 2, told(&out).expect("all of the lower class are refused")));
    }
    assert!(over.iter().all(|&(tenant, over)| tenant == 0 || !over), "{over:?}");
    assert!(!over[0].1 && over[38].1, "{over:?}");
}

#[test]
fn a_request_without_any_engine_is_answered_at_once() {
    let mut host = Host::new(settings(Idempotency::NotIdempotent), 1, vec![]);
    assert!(refused(&host.ask(request(1, 0))));
    assert_eq!(host.router.state_sizes().requests, 0);
}

#[test]
fn extreme_lengths_and_times_do_no_harm() {
    let started = Some(std::time::Duration::MAX);
    let engines = vec![Engine { started_at: started, ..engine(1, 0, 0) }, engine(2, 0, 0), engine(3, 1, 0)];
    let mut host = Host::new(settings(Idempotency::Idempotent), 1, engines);
    let time_left = std::time::Duration::MAX;
    let out = host.ask(Request { client_timeout: time_left, prompt_tokens: f64::MAX, ..request(1, 0) });
    assert!(timers(&out).iter().all(|(_, after)| *after <= ms(3_600_000)), "{out:?}");
    assert!(sent_to(&out).is_some());
}
