//! Measures a router between clients and engines that answer immediately, over loopback sockets, and for
//! comparison the same clients connected directly to such an engine. Router, engines and clients each have a
//! thread. The machine may be shared, so compare only figures of the same run.

use hdrhistogram::Histogram;
use slipreel_event_loop::{Clock, Command, EventLoop};
use slipreel_gateway::Gateway;
use slipreel_invariants::{Effect, Ending};
use slipreel_protocol::http::{chunk, Decoder, Item, Limits, Side, Start};
use slipreel_scenario::read_scenario;
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use slipreel_test_servers::client::{ClientBehaviour, Clients, ScriptedRequest};
use slipreel_test_servers::ledger::Ledger;
use slipreel_test_servers::mark;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const TOKENS: u32 = 4;

/// An engine that answers immediately: prefill, decode, metrics, and whole Messages streams for direct
/// clients.
#[derive(Default)]
struct InstantEngine {
    connections: HashMap<ConnId, (Decoder, String, Vec<u8>)>,
}

fn http_response(content_type: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

fn answer(target: &str, body: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(body);
    let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let request = mark::Mark::find(&text).map_or(0, |m| m.attempt.request);
    let mut events = String::new();
    match target {
        "/metrics" => {
            return http_response(
                "text/plain",
                "vllm:num_requests_running 1\nvllm:num_requests_waiting 0\nprocess_start_time_seconds 1\n",
            )
        }
        "/v1/chat/completions" if text.contains("\"do_remote_decode\":true") => {
            return http_response(
                "application/json",
                r#"{"kv_transfer_params":{"remote_block_ids":[1]},"usage":{"prompt_tokens":9}}"#,
            )
        }
        "/v1/chat/completions" => {
            for n in 0..TOKENS {
                events += &format!(
                    "data: {{\"choices\":[{{\"delta\":{{\"content\":\"{}\"}}}}]}}\n\n",
                    mark::token(request, n)
                );
            }
            events += "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n";
        }
        "/v1/messages" => {
            let event =
                |name: &str, rest: &str| format!("event: {name}\ndata: {{\"type\":\"{name}\"{rest}}}\n\n");
            events += &event("message_start", ",\"message\":{}");
            events += &event("content_block_start", ",\"index\":0,\"content_block\":{}");
            for n in 0..TOKENS {
                let delta = format!(
                    ",\"index\":0,\"delta\":{{\"type\":\"text_delta\",\"text\":\"{}\"}}",
                    mark::token(request, n)
                );
                events += &event("content_block_delta", &delta);
            }
            events += &event("content_block_stop", ",\"index\":0");
            events += &event("message_delta", ",\"delta\":{\"stop_reason\":\"max_tokens\"}");
            events += &event("message_stop", "");
        }
        _ => return http_response("application/json", "{}"),
    }
    let mut bytes = head.to_vec();
    bytes.extend(chunk(events.as_bytes()));
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

impl Machine for InstantEngine {
    fn handle(&mut self, _now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Accepted(conn, _) => {
                self.connections
                    .insert(conn, (Decoder::new(Side::Server, Limits::default()), String::new(), Vec::new()));
            }
            Input::Data(conn, bytes) => {
                let Some((decoder, path, body)) = self.connections.get_mut(&conn) else { return };
                decoder.feed(bytes);
                while let Ok(Some(item)) = decoder.next_item() {
                    match item {
                        Item::Head(head) => {
                            if let Start::Request { target, .. } = head.start {
                                *path = target;
                            }
                        }
                        Item::Body(piece) => body.extend(piece),
                        Item::End => out.push(Output::Write(conn, answer(path, &std::mem::take(body)))),
                    }
                }
            }
            Input::Eof(conn) => {
                self.connections.remove(&conn);
                out.push(Output::CloseWhenSent(conn));
            }
            Input::Lost(conn, _) => {
                self.connections.remove(&conn);
            }
            _ => {}
        }
    }
    fn wake_at(&self) -> Option<Duration> {
        None
    }
}

/// One router, one prefill and one decode engine.
const SCENARIO: &str = "[class c]\n[model m]\nclass = c\n[day]\nrouters = 1\n[engines r]\nrole = read\n[engines w]\nrole = write\n";
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

struct Run {
    latency: Histogram<u64>,
    served: usize,
    asked: usize,
    took: Duration,
}

/// Sends requests at this rate for this many seconds. A rate above the capacity shows the capacity.
fn load(clock: Clock, target: SocketAddr, rate: f64, seconds: f64) -> Run {
    let start = clock.now() + Duration::from_millis(100);
    let count = (rate * seconds) as u64;
    let request = |i: u64| ScriptedRequest {
        at: start + Duration::from_secs_f64(i as f64 / rate),
        request: i + 1,
        model: "m".into(),
        effect: Effect::Safe,
        key: String::new(),
        session: format!("s{i}"),
        system: "be short ".repeat(20),
        prompt: "word ".repeat(100),
        length: TOKENS,
        max_tokens: TOKENS,
        stream: true,
        patience: Duration::from_secs(5),
        max_attempts: 1,
        backoff: Duration::ZERO,
        honours_retry_after: true,
        behaviour: ClientBehaviour::Plain,
    };
    let mut event_loop = EventLoop::new(clock).expect("descriptors");
    let machine = event_loop.add(Clients::new(
        (0..count).map(request).collect(),
        vec![target],
        Ledger::default(),
        true,
    ));
    event_loop.run().expect("a loop");
    let mut run = Run {
        latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("a histogram"),
        served: 0,
        asked: count as usize,
        took: Duration::ZERO,
    };
    for r in event_loop.machine(machine).results() {
        run.took = run.took.max(r.ended.saturating_sub(start));
        if r.ending == Some(Ending::Served) && r.fault.is_none() {
            run.served += 1;
            run.latency.saturating_record(r.ended.saturating_sub(r.due).as_micros() as u64);
        }
    }
    run
}

fn main() {
    let clock = Clock::start();
    let mut engines = EventLoop::new(clock).expect("descriptors");
    let addrs: Vec<SocketAddr> = (0..2)
        .map(|_| {
            let machine = engines.add(InstantEngine::default());
            engines.listen(machine, ANY_PORT).expect("a port")
        })
        .collect();
    let scenario = read_scenario(SCENARIO, "bench").expect("a scenario");
    let mut router = EventLoop::new(clock).expect("descriptors");
    let machine =
        router.add(Gateway::new(Arc::new(scenario.router_settings(0, &addrs)), 5, clock.now(), clock.now()));
    let router_addr = router.listen(machine, ANY_PORT).expect("a port");
    let (engines_handle, router_handle) = (engines.handle(), router.handle());
    let engines = std::thread::spawn(move || engines.run());
    let router = std::thread::spawn(move || router.run());
    println!("whole answer of {TOKENS} tokens, ms from when it was due");
    println!("{:<22}{:>8}{:>9}{:>9}{:>9}{:>9}", "", "asked", "served", "p50", "p99", "a second");
    for rate in [500.0, 2_000.0, 5_000.0, 8_000.0] {
        for (name, target) in [("straight to a stand-in", addrs[0]), ("through the router", router_addr)] {
            let run = load(clock, target, rate, 4.0);
            let ms = |q| run.latency.value_at_quantile(q) as f64 / 1000.0;
            let served = run.served as f64 / run.took.as_secs_f64();
            println!(
                "{name:<22}{:>8}{:>9}{:>9.2}{:>9.2}{served:>9.0}",
                run.asked,
                run.served,
                ms(0.5),
                ms(0.99)
            );
        }
    }
    engines_handle.send(Command::End);
    router_handle.send(Command::End);
    let _ = (engines.join(), router.join());
}
