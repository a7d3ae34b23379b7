//! Discovery is slow for a time: the bytes of a list take a while to come. An engine begins to drain meanwhile,
//! and ends when its drain is over.

use crate::platform::*;
use crate::sites;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

/// When discovery becomes slow, when the engine begins to drain, when it ends, when discovery is as usual, when clients
/// end, in ms.
const SLOW_FROM: u64 = 5_000;
const DRAIN_AT: u64 = 7_000;
const END_AT: u64 = 22_000;
const SLOW_UNTIL: u64 = 25_000;
const CLIENTS_FOR: u64 = 30_000;
/// How long the bytes of an object take to come, evenly.
const SPREAD: u64 = 1_800;
/// A change counts as told 6 s after discovery had it, at the latest; then there are 500 ms of grace, 50 ms that
/// every limit on sockets gets, and 150 ms more in the router's favour.
const LIMIT: u64 = 6_000 + 500 + 50 + 150;

pub fn run() -> i32 {
    let world = Arc::new(World::default());
    let (zones, kinds) = (["salt-lake", "rajarhat"], ["prefill", "decode"]);
    let load = "busy_reqs=2,pending=0,x0=0.1,x1=0.5";
    let engines = sites::engines(&world, zones, kinds, 5, 5, load, 15, 200);
    let discovery = start_discovery(engines.iter().map(|engine| Entry::of(engine)).collect());
    let known = discovery.snapshot();
    let mut router = start_router("n1", discovery.addr, &known, &sites::parts(3));
    let listen = router.listen;
    let began = now_ms();
    let clients = thread::spawn(move || {
        let mut draw = Draw::new(7);
        let mut open = Vec::new();
        let mut at = began;
        while at < began + CLIENTS_FOR {
            sleep_until(at);
            at += 100;
            let text = (draw.next() * 8.0) as u64;
            let request = Ask {
                id: new_id('c'),
                class: "dealer-query",
                tenant: "",
                key: format!("{:016x}", (draw.next() * 1e15) as u64 + 1),
                prefix: format!("{:016x}", text + 0x5100),
                prompt: 1_500 + draw.between(150.0, 600.0) as u64,
                prefix_len: 1_500,
                max_out: 800,
                deadline_ms: 7_500,
            };
            open.push(thread::spawn(move || (request.id.clone(), ask(listen, &request))));
        }
        open.into_iter().map(|client| client.join().unwrap()).collect::<Vec<(String, Got)>>()
    });
    sleep_until(began + SLOW_FROM);
    if trouble() {
        record(&format!("discovery is slow: the bytes of an object take {SPREAD} ms"));
        discovery.spread_ms.store(SPREAD, Ordering::SeqCst);
    }
    sleep_until(began + DRAIN_AT);
    // The writer that has had the most attempts so far.
    let attempts_at = |name: &str| {
        let traces = world.traces.lock().unwrap();
        traces.values().flat_map(|trace| &trace.attempts).filter(|(engine, ..)| engine == name).count()
    };
    let busiest =
        engines.iter().filter(|engine| !engine.reads).max_by_key(|engine| attempts_at(&engine.name));
    let drained = busiest.map(|engine| engine.name.clone()).unwrap_or_default();
    let changed = now_ms();
    discovery.change(&drained, "Terminating");
    sleep_until(began + END_AT);
    engines.iter().filter(|engine| engine.name == drained).for_each(|engine| engine.end());
    sleep_until(began + SLOW_UNTIL);
    discovery.spread_ms.store(0, Ordering::SeqCst);
    record("discovery is as usual");
    let got = clients.join().unwrap();
    let (mut attempts, mut late) = (0, 0);
    let traces = world.traces.lock().unwrap();
    for (id, trace) in traces.iter() {
        for (engine, at, _) in trace.attempts.iter().filter(|(engine, ..)| *engine == drained) {
            attempts += 1;
            if *at > changed + LIMIT {
                late += 1;
                record(&format!(
                    "BROKEN: {id} came to {engine} {} ms after discovery had its drain",
                    at - changed
                ));
            }
        }
    }
    // What became of requests whose attempt came late: their streams broke off when the engine ended.
    let came_late = |id: &str| {
        let attempts = traces.get(id).map_or(&[][..], |trace| &trace.attempts[..]);
        attempts.iter().any(|(engine, at, _)| *engine == drained && *at > changed + LIMIT)
    };
    let broken_off = got.iter().filter(|(id, got)| got.status == 200 && !got.whole && came_late(id)).count();
    let served = got.iter().filter(|(_, got)| got.status == 200 && got.whole).count();
    drop(traces);
    router.finish(30);
    finish(
        &format!(
            "{} requests, {served} served; {attempts} attempts at {drained}, {late} of them over {LIMIT} ms after discovery had its drain; \
             {broken_off} answers of these broke off as it ended",
            got.len()
        ),
        served * 2 >= got.len(),
        late > 0,
    )
}
