//! Spoilt streams that never end: after some events a chunk of noise keeps coming, slowly.

use crate::platform::*;
use crate::sites;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

/// The client's connection has to end within 5 s; every limit on sockets is 50 ms longer.
const LIMIT: u64 = 5_000 + 50;
const CLIENTS_FOR: u64 = 12_000;

pub fn run() -> i32 {
    let world = Arc::new(World::default());
    let (zones, kinds) = (["hall-a", "hall-b"], ["prefill", "decode"]);
    let engines = sites::engines(&world, zones, kinds, 5, 5, "cpu_share=0.1,pending=0,x0=0.1", 20, 60);
    let discovery = start_discovery(engines.iter().map(|engine| Entry::of(engine)).collect());
    let known = discovery.snapshot();
    let mut router = start_router("n1", discovery.addr, &known, &sites::manila(2));
    let listen = router.listen;
    if trouble() {
        for engine in engines.iter().filter(|engine| !engine.reads) {
            engine.spoils_one_in.store(8, Ordering::SeqCst);
        }
    }
    let began = now_ms();
    let mut draw = Draw::new(7);
    let mut open = Vec::new();
    let mut at = began;
    while at < began + CLIENTS_FOR {
        sleep_until(at);
        at += 100;
        let text = (draw.next() * 20.0) as u64;
        let request = Ask {
            id: new_id('c'),
            class: "quick-check",
            tenant: "",
            key: format!("{:016x}", (draw.next() * 1e15) as u64 + 1),
            prefix: format!("{:016x}", text + 0x5100),
            prompt: 2_500 + draw.between(71.0, 300.0) as u64,
            prefix_len: 2_500,
            max_out: 300,
            deadline_ms: 4_000,
        };
        open.push(thread::spawn(move || (request.id.clone(), ask(listen, &request))));
    }
    let got: Vec<(String, Got)> = open.into_iter().map(|client| client.join().unwrap()).collect();
    let (mut served, mut cut, mut lost) = (0, 0, 0);
    for (id, got) in &got {
        served += usize::from(got.status == 200 && got.whole);
        if got.status == 200 && !got.whole {
            let waited = got.ended - got.last_event;
            if waited > LIMIT {
                lost += 1;
                record(&format!("BROKEN: {id} waited {waited} ms after its last event: {got:?}"));
            } else {
                cut += 1;
            }
        }
    }
    router.finish(20);
    finish(
        &format!(
            "{} requests, {served} served whole, {cut} cut off within {LIMIT} ms of their last event, {lost} kept waiting longer",
            got.len()
        ),
        served * 2 >= got.len(),
        lost > 0,
    )
}
