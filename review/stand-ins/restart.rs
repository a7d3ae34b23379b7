//! A planned restart: a request that is taken late after SIGTERM is served by a stream that SIGKILL cuts off.

use crate::platform::*;
use crate::sites;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// SIGTERM, after the run's first request, in ms.
const STOP: u64 = 6_000;
/// New connections keep arriving for 0.2 to 0.4 s after SIGTERM.
const ARRIVALS_AFTER_STOP: u64 = 350;
/// A request that arrives more than 0.7 s after SIGTERM has to be answered; every limit on sockets is 50 ms longer.
const TAKEN_LATE: u64 = 700 + 50;
/// SIGKILL comes no earlier than the longest deadline (3 s, where it is longer) plus 0.7 s after SIGTERM.
const KILL: u64 = 3_000 + 700;
/// How long a client that writes slowly takes for a request.
const SLOW_WRITE: u64 = 900;

/// What became of one request: when its last byte was written (0: not at all), and its answer.
struct Sent {
    id: String,
    written: u64,
    got: Got,
}

/// Sends a request on a new connection, in pieces over some time, and reads its answer.
fn send(router: SocketAddr, request: &Ask, over: u64) -> Sent {
    let mut sent = Sent { id: request.id.clone(), written: 0, got: Got::default() };
    let Ok(stream) = TcpStream::connect(router) else { return sent };
    let _ = stream.set_read_timeout(Some(ms(30_000)));
    let mut reader = Reader::new(stream);
    let (bytes, began) = (request.bytes(), now_ms());
    let pieces = if over == 0 { 1 } else { 10 };
    for (number, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
        sleep_until(began + over * number as u64 / 9);
        // A connection that the router has ended before the last byte is not one on which it takes the request.
        if is_closed(&reader.stream) || reader.stream.write_all(piece).is_err() {
            record(&format!("client {}: its connection was closed while it wrote", request.id));
            return sent;
        }
    }
    sent.written = now_ms();
    sent.got = read_answer(&mut reader);
    record(&format!("client {} began {began}, had written at {}, got {:?}", sent.id, sent.written, sent.got));
    sent
}

pub fn run() -> i32 {
    let world = Arc::new(World::default());
    let (zones, kinds) = (["salt-lake", "rajarhat"], ["prefill", "decode"]);
    // Answers of 200 tokens, one every 35 ms: 7 s.
    let engines = sites::engines(&world, zones, kinds, 5, 5, "busy_reqs=2,pending=0,x0=0.1,x1=0.5", 35, 200);
    let discovery = start_discovery(engines.iter().map(|engine| Entry::of(engine)).collect());
    let known = discovery.snapshot();
    let mut router = start_router("n1", discovery.addr, &known, &sites::parts(3));
    let listen = router.listen;
    let began = now_ms();
    let clients = thread::spawn(move || {
        let mut draw = Draw::new(5);
        let mut open = Vec::new();
        let mut at = began;
        while at < began + STOP + ARRIVALS_AFTER_STOP {
            sleep_until(at);
            at += 60;
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
            // One client in four writes slowly.
            let over = if draw.next() < 0.25 { SLOW_WRITE } else { 0 };
            open.push(thread::spawn(move || send(listen, &request, over)));
        }
        open.into_iter().map(|client| client.join().unwrap()).collect::<Vec<Sent>>()
    });
    sleep_until(began + STOP);
    let stop = Arc::new(AtomicU64::new(u64::MAX));
    if trouble() {
        stop.store(now_ms(), Ordering::SeqCst);
        router.signal("TERM");
        let kill_at = stop.load(Ordering::SeqCst) + KILL + 20;
        while now_ms() < kill_at && !router.has_ended() {
            thread::sleep(ms(5));
        }
        if router.has_ended() {
            record("the router has ended by itself");
        }
        router.kill();
    }
    let sent = clients.join().unwrap();
    let stop = stop.load(Ordering::SeqCst);
    let (mut late, mut lost, mut exempt, mut served) = (0, 0, 0, 0);
    for Sent { id, written, got } in &sent {
        let is_answered = got.whole;
        served += u32::from(got.status == 200 && got.whole);
        if *written <= stop.saturating_add(TAKEN_LATE) {
            exempt += u32::from(!is_answered && *written > 0);
            if stop == u64::MAX && !is_answered {
                lost += 1;
                record(&format!("BROKEN: {id} got no answer: {got:?}"));
            }
            continue;
        }
        late += 1;
        if !is_answered {
            lost += 1;
            record(&format!(
                "BROKEN: {id} was taken {} ms after SIGTERM, got status {} and {} events, and was cut off {} ms after SIGTERM",
                written - stop, got.status, got.events, got.ended.saturating_sub(stop)
            ));
        }
    }
    router.finish(10);
    finish(
        &format!(
            "{} requests, {served} served whole; {late} taken over {TAKEN_LATE} ms after SIGTERM, {lost} of these lost; \
             {exempt} taken earlier and cut off by SIGKILL, which is allowed",
            sent.len()
        ),
        served > 0,
        lost > 0,
    )
}
