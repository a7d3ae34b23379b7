//! New settings while a router runs: what was learnt stays, and attempts in flight are counted until they end.

mod common;

use common::*;
use slipreel::*;

fn sent(actions: &[Action]) -> Option<EngineId> {
    actions.iter().find_map(|a| if let Action::Send { engine, .. } = a { Some(*engine) } else { None })
}

#[test]
fn a_successor_counts_attempts_in_flight_until_they_end_and_knows_the_ejected_engines() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.tenants = vec![Tenant { quota_per_s: Some(0.1) }];
    let engines = (0..8).map(|id| engine(id, usize::from(id >= 4), 0)).collect();
    let mut host = Host::new(settings.clone(), 3, engines);
    let mut out = Vec::new();
    for id in 0..12 {
        out.extend(host.ask(request(id, 0)));
    }
    let first = sent(&out).expect("a request was sent");
    host.now += ms(10);
    // One can't be reached: it is ejected.
    let lost = AttemptEnded {
        request: RequestId(0),
        attempt: 0,
        outcome: Outcome::ConnectFailed,
        latency: ms(10),
        request_finished: false,
        cached_tokens: 0.0,
        report: LoadReport::default(),
    };
    host.tell(Event::AttemptEnded(lost));
    let mut actions = Vec::new();
    let places = SettingsMapping { classes: vec![Some(0); settings.classes.len()], tenants: vec![Some(0)] };
    let mut heir = host.router.successor(host.now, settings, &places, 9, &mut actions);
    assert!(matches!(actions[..], [Action::SetTimer { .. }]), "the trial of the ejected one: {actions:?}");
    let count = |r: &Router| r.attempts_in_flight().collect::<Vec<_>>();
    assert_eq!(count(&heir), count(&host.router));
    assert!(count(&heir).iter().any(|(_, n)| *n > 0.0));
    assert!(count(&heir).iter().any(|(id, _)| *id == first));
    // All that is out ends; both are told.
    for id in 0..12 {
        for attempt in 0..4 {
            let ended = AttemptEnded {
                request: RequestId(id),
                attempt,
                outcome: Outcome::Error,
                latency: ms(20),
                request_finished: true,
                cached_tokens: 0.0,
                report: LoadReport::default(),
            };
            heir.handle(host.now, Event::AttemptEnded(ended.clone()), &mut actions);
            host.tell(Event::AttemptEnded(ended));
        }
    }
    assert!(count(&heir).iter().all(|(_, n)| *n == 0.0), "{:?}", count(&heir));
    assert_eq!(heir.state_sizes().requests, 0, "nothing of the first one's is kept");
}
