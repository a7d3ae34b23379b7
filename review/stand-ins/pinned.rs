//! State that a read leaves after it was given up: an engine reads slowly, and a time-out stops nothing there.

use crate::platform::*;
use crate::sites;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;

/// `extra.let_go_by`, 50 ms that every limit on sockets gets, and 300 ms more for what is held.
const MAX_HELD: u64 = 500 + 50 + 300;
/// When the engine begins to read slowly, for how long, and when the run ends, in ms.
const SLOW_FROM: u64 = 9_000;
const SLOW_FOR: u64 = 15_000;
const CLIENTS_FOR: u64 = 30_000;
const END: u64 = 45_000;
/// How many times slower, in thousandths.
const SLOWER: u64 = 10_000;

/// A request of either class, with figures of the brief: lengths of the shared text and of what is new.
fn request(draw: &mut Draw) -> Ask {
    let quick = draw.next() < 0.24;
    let (texts, shared, new, share) = if quick {
        (27.0, (2_100.0, 4_900.0), (62.0, 290.0), 0.9)
    } else {
        (17.0, (1_000.0, 3_800.0), (150.0, 580.0), 0.85)
    };
    let text = (draw.next() * texts) as u64;
    let mut of_text = Draw::new(text + if quick { 100 } else { 200 });
    let prefix_len = of_text.between(shared.0, shared.1) as u64;
    let is_shared = draw.next() < share;
    let prefix_len = if is_shared { prefix_len } else { 0 };
    Ask {
        id: new_id('c'),
        class: if quick { "next-departure" } else { "trip-plan" },
        tenant: "",
        key: format!("{:016x}", (draw.next() * 1e15) as u64 + 1),
        prefix: if is_shared {
            format!("{:016x}", text + if quick { 0x5100 } else { 0x5200 })
        } else {
            String::new()
        },
        prompt: prefix_len + draw.between(new.0, new.1) as u64,
        prefix_len,
        max_out: if quick { 300 } else { 500 },
        deadline_ms: if quick { 5_000 } else { 7_500 },
    }
}

pub fn run() -> i32 {
    let world = Arc::new(World::default());
    let zones = ["kalamaria", "stavroupoli"];
    let kinds = ["prefill", "decode-a"];
    let engines = sites::engines(&world, zones, kinds, 5, 6, "busy_reqs=2,x0=0.1", 15, 100);
    let discovery = start_discovery(engines.iter().map(|engine| Entry::of(engine)).collect());
    let known = discovery.snapshot();
    let mut router = start_router("n1", discovery.addr, &known, &sites::thess(2));
    let listen = router.listen;
    let began = now_ms();
    let clients = thread::spawn(move || {
        let mut draw = Draw::new(7);
        let mut open = Vec::new();
        let mut at = began;
        while at < began + CLIENTS_FOR {
            sleep_until(at);
            at += 90;
            let request = request(&mut draw);
            open.push(thread::spawn(move || ask(listen, &request)));
        }
        open.into_iter().map(|client| client.join().unwrap()).collect::<Vec<Got>>()
    });
    sleep_until(began + SLOW_FROM);
    if trouble() {
        record(&format!("{} reads {} times slower for {SLOW_FOR} ms", engines[0].name, SLOWER / 1000));
        engines[0].slower.store(SLOWER, Ordering::SeqCst);
    }
    sleep_until(began + SLOW_FROM + SLOW_FOR);
    engines[0].slower.store(1_000, Ordering::SeqCst);
    record(&format!("{} reads as usual", engines[0].name));
    let got = clients.join().unwrap();
    sleep_until(began + END);
    let ended = now_ms();
    let traces = world.traces.lock().unwrap();
    let (mut broken, mut holds) = (0, 0);
    for (id, trace) in traces.iter() {
        for hold in &trace.holds {
            holds += 1;
            // How long the state was held while no attempt of its request was out.
            let until = hold.until.unwrap_or(ended);
            let is_out =
                |at: u64| trace.attempts.iter().any(|&(_, from, to)| from <= at && at < to.unwrap_or(ended));
            let (mut longest, mut alone) = (0, 0);
            for at in hold.since..until {
                alone = if is_out(at) { 0 } else { alone + 1 };
                longest = longest.max(alone);
            }
            if longest > MAX_HELD {
                broken += 1;
                let state = if hold.until.is_some() { hold.how } else { "still held at the end" };
                record(&format!(
                    "BROKEN: {id}: held at {} since {}, {longest} ms of it with no attempt out, {state}; \
                     attempts (engine, arrival, end) {:?}",
                    hold.engine, hold.since, trace.attempts
                ));
            }
        }
    }
    drop(traces);
    router.finish(10);
    let served = got.iter().filter(|got| got.status == 200 && got.whole).count();
    finish(
        &format!(
            "{} requests, {served} served, {holds} states, {broken} held over {MAX_HELD} ms with no attempt out",
            got.len()
        ),
        served * 2 >= got.len(),
        broken > 0,
    )
}
