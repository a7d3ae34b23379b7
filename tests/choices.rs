//! Affinity targets from the index must equal those that a scan of the whole endpoint list gives.

mod common;

use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::*;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The endpoint list of the reference implementation.
type EndpointList = BTreeMap<EngineId, Engine>;

const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// Weight of an engine in rendezvous hashing, computed from the whole list.
fn weight(endpoints: &EndpointList, target: &Engine) -> f64 {
    let count = |in_cell: bool, role: Role| {
        let at = |e: &&Engine| e.state == EngineState::Ready && (!in_cell || e.cell == target.cell);
        let part = |e: &Engine| match ROLES[e.kind.0] {
            other if other == role => 2.0,
            Role::Mixed => 1.0,
            _ => 0.0,
        };
        endpoints.values().filter(at).map(part).sum::<f64>().max(1.0)
    };
    let ratio = |in_cell| count(in_cell, Role::Decode) / count(in_cell, Role::Prefill);
    let bounds = if ROLES[target.kind.0] == Role::Prefill { [0.75, 1.25] } else { [1.0; 2] };
    // The router is in zone 0.
    let zone_weight = if target.zone == ZoneId(0) { 2.5 } else { 1.0 };
    zone_weight * (ratio(true) / ratio(false)).clamp(bounds[0], bounds[1])
}

/// The two affinity targets of a request in the order given by its session, then the two engines of the
/// spill.
fn affinity_targets(endpoints: &EndpointList, session: u64, shared_prefix: Option<u64>) -> Vec<EngineId> {
    let key = shared_prefix.unwrap_or(session);
    let can_prefill = |e: &&Engine| e.state == EngineState::Ready && ROLES[e.kind.0] != Role::Decode;
    let mut scored: Vec<(f64, EngineId)> = endpoints
        .values()
        .filter(can_prefill)
        .map(|e| {
            let hash = (xxh3_64_with_seed(&e.id.0.to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64;
            (-hash.ln() / weight(endpoints, e), e.id)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut ids: Vec<EngineId> = scored.into_iter().map(|(_, id)| id).take(4).collect();
    let preferred_count = ids.len().min(2);
    ids[..preferred_count].sort_by_key(|id| xxh3_64_with_seed(&id.0.to_le_bytes(), session));
    ids
}

/// The engines that a request probes before it chooses a prefill engine.
fn probed_engines(host: &mut Host, id: u64, session: u64, shared_prefix: Option<u64>) -> Vec<EngineId> {
    // All reports are stale, and the affinity targets have more load than the prompt: all candidates are
    // probed.
    (host.now, host.waiting_tokens) = (host.now + ms(1_000), Some(2_000.0));
    let actions = host.submit(Request { session, shared_prefix, ..request(id, 0) });
    let until = actions.iter().position(|a| matches!(a, Action::Send { .. })).unwrap_or(actions.len());
    let probe_target = |a: &Action| if let Action::Probe(engine) = a { Some(*engine) } else { None };
    let probed = actions[..until].iter().filter_map(probe_target).collect();
    host.handle(Event::ClientDisconnected(RequestId(id)));
    probed
}

#[test]
fn affinity_targets_match_a_scan_of_the_list_after_every_change() {
    for seed in 0..40 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut below = |n: u64| rng.next_u64() % n;
        let cells = 1 + below(6) as u32;
        let n = 2 + below(60);
        // One engine of each stage stays, so that there is always a candidate.
        let mut list = vec![engine(1, 0, 0), engine(2, 1, 0)];
        list.extend((3..n + 3).map(|id| engine(id * 31, below(3) as usize, below(u64::from(cells)) as u32)));
        let mut endpoints: EndpointList = list.iter().map(|e| (e.id, e.clone())).collect();
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, list);
        for id in 0..60 {
            let (session, shared_prefix) = (below(1 << 40), (below(2) == 0).then(|| below(9)));
            let mut expected = affinity_targets(&endpoints, session, shared_prefix);
            if expected.len() == 1 {
                expected.clear(); // With one candidate there is nothing to choose, and no probe.
            }
            assert_eq!(probed_engines(&mut host, id, session, shared_prefix), expected, "seed {seed}, {id}");
            // The list changes: an engine drains, is ready again, leaves, changes its cell or restarts in
            // another role.
            let at = below(endpoints.len() as u64) as usize;
            let Some(mut entry) = endpoints.values().nth(at).filter(|e| e.id.0 > 2).cloned() else {
                continue;
            };
            match below(5) {
                0 => entry.state = EngineState::Draining,
                1 => entry.state = EngineState::Ready,
                2 => entry.state = EngineState::Gone,
                3 => entry.cell = CellId(below(u64::from(cells)) as u32),
                _ => {
                    // Started long enough ago to be warmed up.
                    (entry.kind, entry.started_at) = (KindId(below(3) as usize), Some(ms(id)));
                }
            }
            if entry.state == EngineState::Gone {
                endpoints.remove(&entry.id);
            } else {
                endpoints.insert(entry.id, entry.clone());
            }
            if below(2) == 0 {
                host.update_endpoints(Listing::Complete, endpoints.values().cloned().collect());
            } else {
                host.update_endpoints(Listing::Changes, vec![entry]);
            }
        }
    }
}

#[test]
fn most_but_not_all_affinity_targets_are_in_the_routers_own_zone() {
    // Four prefill engines and a decode engine in each of two zones, with one cell in each zone.
    let prefill_engines = (1..=8u64).map(|id| engine(id, 0, (id % 2) as u32));
    let list: Vec<Engine> = prefill_engines.chain([engine(9, 1, 0), engine(10, 1, 1)]).collect();
    let mut host = Host::new(settings(Idempotency::Idempotent), 3, list);
    let in_own_zone = |id: &&EngineId| id.0 % 2 == 0;
    let mut in_own_zone_count = 0;
    for id in 0..400 {
        in_own_zone_count +=
            probed_engines(&mut host, id, id * 7_919, None).iter().take(2).filter(in_own_zone).count();
    }
    let share = in_own_zone_count as f64 / 800.0;
    assert!((0.6..0.8).contains(&share), "{share}");
}
