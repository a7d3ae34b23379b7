//! New settings while a router runs: the successor keeps what was learnt and counts attempts in flight until
//! they end.

mod common;

use common::*;
use slipreel::*;

/// The engine of the first attempt that is sent.
fn first_target(actions: &[Action]) -> Option<EngineId> {
    actions.iter().find_map(|a| if let Action::Send { engine, .. } = a { Some(*engine) } else { None })
}

#[test]
fn a_successor_counts_attempts_in_flight_until_they_end_and_knows_the_ejected_engines() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.tenants = vec![Tenant { quota_per_s: Some(0.1) }];
    let engines = (0..8).map(|id| engine(id, usize::from(id >= 4), 0)).collect();
    let mut host = Host::new(settings.clone(), 3, engines);
    let mut requested = Vec::new();
    for id in 0..12 {
        requested.extend(host.submit(request(id, 0)));
    }
    let first = first_target(&requested).expect("a request was sent");
    host.now += ms(10);
    // An engine that can't be reached is ejected.
    let connect_failed = AttemptEnded {
        request: RequestId(0),
        attempt: 0,
        outcome: Outcome::ConnectFailed,
        latency: ms(10),
        request_finished: false,
        cached_tokens: 0.0,
        report: LoadReport::default(),
    };
    host.handle(Event::AttemptEnded(connect_failed));
    let mut actions = Vec::new();
    let mapping = SettingsMapping { classes: vec![Some(0); settings.classes.len()], tenants: vec![Some(0)] };
    let mut successor = host.router.successor(host.now, settings, &mapping, 9, &mut actions);
    assert!(matches!(actions[..], [Action::SetTimer { .. }]), "the end of the ejection: {actions:?}");
    let in_flight = |router: &Router| router.attempts_in_flight().collect::<Vec<_>>();
    assert_eq!(in_flight(&successor), in_flight(&host.router));
    assert!(in_flight(&successor).iter().any(|(_, count)| *count > 0.0));
    assert!(in_flight(&successor).iter().any(|(id, _)| *id == first));
    // All attempts in flight end, and both routers are informed.
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
            successor.handle(host.now, Event::AttemptEnded(ended.clone()), &mut actions);
            host.handle(Event::AttemptEnded(ended));
        }
    }
    assert!(in_flight(&successor).iter().all(|(_, count)| *count == 0.0), "{:?}", in_flight(&successor));
    assert_eq!(successor.state_sizes().requests, 0, "requests of the old router are removed");
}
