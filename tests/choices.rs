//! What is settled beforehand or looked up must choose as walking the whole list does: homes by the plain formula.

mod common;

use common::*;
use rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel::*;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The fleet as a plain list.
type Fleet = BTreeMap<EngineId, Engine>;

const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];

/// Weight of a home, counted over the whole list for this one engine.
fn weight(fleet: &Fleet, home: &Engine) -> f64 {
    let count = |near: bool, role: Role| {
        let at = |e: &&Engine| e.state == EngineState::Ready && (!near || e.cell == home.cell);
        let part = |e: &Engine| match ROLES[e.kind.0] {
            r if r == role => 2.0,
            Role::Mixed => 1.0,
            _ => 0.0,
        };
        fleet.values().filter(at).map(part).sum::<f64>().max(1.0)
    };
    let ratio = |near| count(near, Role::Decode) / count(near, Role::Prefill);
    let bounds = if ROLES[home.kind.0] == Role::Prefill { [0.75, 1.25] } else { [1.0; 2] };
    // The router's own zone is the first.
    let own = if home.zone == ZoneId(0) { 2.5 } else { 1.0 };
    own * (ratio(true) / ratio(false)).clamp(bounds[0], bounds[1])
}

/// The two homes of a request in the order of its session, then the two engines that it may spill to.
fn homes(fleet: &Fleet, session: u64, shared: Option<u64>) -> Vec<EngineId> {
    let key = shared.unwrap_or(session);
    let reads = |e: &&Engine| e.state == EngineState::Ready && ROLES[e.kind.0] != Role::Decode;
    let mut scored: Vec<(f64, EngineId)> = fleet
        .values()
        .filter(reads)
        .map(|e| {
            let hash = (xxh3_64_with_seed(&e.id.0.to_le_bytes(), key) >> 11) as f64 / (1u64 << 53) as f64;
            (-hash.ln() / weight(fleet, e), e.id)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut ids: Vec<EngineId> = scored.into_iter().map(|(_, id)| id).take(4).collect();
    let firsts = ids.len().min(2);
    ids[..firsts].sort_by_key(|id| xxh3_64_with_seed(&id.0.to_le_bytes(), session));
    ids
}

/// Whom a request asks for load before it chooses a reader.
fn asked(host: &mut Host, id: u64, session: u64, shared: Option<u64>) -> Vec<EngineId> {
    // Nobody was heard of lately, and its homes bear more than the prompt: all between which it chooses are asked.
    (host.now, host.waiting) = (host.now + ms(1_000), Some(2_000.0));
    let out = host.ask(Request { session, shared_prefix: shared, ..request(id, 0) });
    let until = out.iter().position(|a| matches!(a, Action::Send { .. })).unwrap_or(out.len());
    let probed = |a: &Action| if let Action::Probe(engine) = a { Some(*engine) } else { None };
    let asked = out[..until].iter().filter_map(probed).collect();
    host.tell(Event::ClientDisconnected(RequestId(id)));
    asked
}

#[test]
fn homes_are_those_of_the_plain_formula_whatever_the_list_does() {
    for seed in 0..40 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut below = |n: u64| rng.next_u64() % n;
        let cells = 1 + below(6) as u32;
        let n = 2 + below(60);
        // One of each stage, so that there is always something to choose.
        let mut list = vec![engine(1, 0, 0), engine(2, 1, 0)];
        list.extend((3..n + 3).map(|id| engine(id * 31, below(3) as usize, below(u64::from(cells)) as u32)));
        let mut fleet: Fleet = list.iter().map(|e| (e.id, e.clone())).collect();
        let mut host = Host::new(settings(Idempotency::Idempotent), seed, list);
        for id in 0..60 {
            let (session, shared) = (below(1 << 40), (below(2) == 0).then(|| below(9)));
            let mut expected = homes(&fleet, session, shared);
            if expected.len() == 1 {
                expected.clear(); // Nothing to choose: nobody is asked.
            }
            assert_eq!(asked(&mut host, id, session, shared), expected, "seed {seed}, {id}");
            // The list changes: an engine drains or comes back, leaves, starts anew in another role, moves.
            let at = below(fleet.len() as u64) as usize;
            let Some(mut entry) = fleet.values().nth(at).filter(|e| e.id.0 > 2).cloned() else { continue };
            match below(5) {
                0 => entry.state = EngineState::Draining,
                1 => entry.state = EngineState::Ready,
                2 => entry.state = EngineState::Gone,
                3 => entry.cell = CellId(below(u64::from(cells)) as u32),
                _ => {
                    // Long enough ago that it is warm.
                    (entry.kind, entry.started_at) = (KindId(below(3) as usize), Some(ms(id)));
                }
            }
            if entry.state == EngineState::Gone {
                fleet.remove(&entry.id);
            } else {
                fleet.insert(entry.id, entry.clone());
            }
            if below(2) == 0 {
                host.list(Listing::Complete, fleet.values().cloned().collect());
            } else {
                host.list(Listing::Changes, vec![entry]);
            }
        }
    }
}

#[test]
fn most_homes_lie_in_the_own_zone_and_some_do_not() {
    // Four readers and a writer in each of two zones, one cell a zone.
    let readers = (1..=8u64).map(|id| engine(id, 0, (id % 2) as u32));
    let list: Vec<Engine> = readers.chain([engine(9, 1, 0), engine(10, 1, 1)]).collect();
    let mut host = Host::new(settings(Idempotency::Idempotent), 3, list);
    let own = |id: &&EngineId| id.0 % 2 == 0;
    let mut firsts = 0;
    for id in 0..400 {
        firsts += asked(&mut host, id, id * 7_919, None).iter().take(2).filter(own).count();
    }
    let share = firsts as f64 / 800.0;
    assert!((0.6..0.8).contains(&share), "{share}");
}
