//! Measures the gateway on one thread without sockets: requests, streamed events, memory of open streams, the
//! decision module's part, and the timer wheel against a heap. The operating system's part is not in these
//! figures.

use slipreel_connections::TimerWheel;
use slipreel_gateway::settings::{
    class_defaults, default_decision_settings, Bounds, ClassSettings, EngineSettings, ModelSettings, KINDS,
};
use slipreel_gateway::{Gateway, GatewaySettings};
use slipreel_protocol::http::chunk;
use slipreel_state_machine::{ConnId, Input, ListenerId, Machine, Output};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CLIENT_LISTENER: ListenerId = ListenerId(0);

fn settings() -> GatewaySettings {
    let defaults = class_defaults();
    let class = slipreel::Class {
        latency_objective: defaults.latency_objective,
        latency_objective_per_1000_tokens: defaults.latency_objective_per_1000_tokens,
        priority_weight: 1.0,
        idempotency: slipreel::Idempotency::Idempotent,
        streams: true,
    };
    let engine = |port: u16, role| EngineSettings {
        name: format!("e{port}"),
        addr: ([127, 0, 0, 1], port).into(),
        role,
        zone: "a".into(),
        cell: "a".into(),
        state: slipreel::EngineState::Ready,
    };
    let roles = [slipreel::Role::Prefill, slipreel::Role::Decode];
    GatewaySettings {
        decisions: slipreel::Settings { classes: vec![class], ..default_decision_settings() },
        classes: vec![ClassSettings { name: "chat".into(), client_timeout: defaults.client_timeout }],
        models: vec![ModelSettings { name: "m".into(), class: 0, served_as: "m".into() }],
        tenants: Vec::new(),
        engines: (0..8u16).map(|n| engine(n + 1, roles[usize::from(n) % 2])).collect(),
        bounds: Bounds { requests: 1 << 20, connections: 1 << 20, per_engine: 1 << 20, ..Bounds::default() },
        drained_engines: Vec::new(),
        roles_frozen: false,
        zone: "a".into(),
        name: "r".into(),
    }
}

/// Passes inputs to a gateway, with its own clock, and answers as clients and engines.
struct Driver {
    gateway: Gateway,
    now: Duration,
    out: Vec<Output>,
    /// The answer to a prefill.
    prefill_answer: Vec<u8>,
}

fn request_bytes() -> Vec<u8> {
    let body = format!(
        r#"{{"model":"m","max_tokens":50,"stream":true,"system":"{}","messages":[{{"role":"user","content":"{}"}}]}}"#,
        "be short ".repeat(60),
        "hello there ".repeat(50)
    );
    format!("POST /v1/messages HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

fn metrics_answer() -> Vec<u8> {
    let text = "vllm:num_requests_running 3\nvllm:num_requests_waiting 0\nvllm:kv_cache_usage_perc 0.2\nprocess_start_time_seconds 1\n";
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len()).into_bytes()
}

const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

fn token_event() -> Vec<u8> {
    chunk(b"data: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n")
}

fn last_event() -> Vec<u8> {
    let mut bytes = chunk(b"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n");
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

impl Driver {
    fn new() -> Self {
        let now = Duration::from_secs(1 << 20);
        let body = r#"{"kv_transfer_params":{"do_remote_prefill":true,"remote_block_ids":[7]},"usage":{"prompt_tokens":300}}"#;
        let load = "TEXT named_metrics.num_requests_running=3, named_metrics.num_requests_waiting=0, named_metrics.kv_cache_usage_perc=0.2";
        let prefill_answer = format!(
            "HTTP/1.1 200 OK\r\nendpoint-load-metrics: {load}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        Driver {
            gateway: Gateway::new(Arc::new(settings()), 5, now, now),
            now,
            out: Vec::new(),
            prefill_answer: prefill_answer.into_bytes(),
        }
    }

    fn handle(&mut self, input: Input<'_>) {
        self.gateway.handle(self.now, input, &mut self.out);
    }

    /// Sends a request and answers for the engines up to the head of the stream. Returns the decode attempt's
    /// connection.
    fn start_stream(&mut self, client: ConnId, request: &[u8], metrics: &[u8]) -> ConnId {
        self.handle(Input::Data(client, request));
        for _ in 0..100 {
            let mut decode_conn = None;
            for output in std::mem::take(&mut self.out) {
                match output {
                    Output::Connect(conn, _) => self.handle(Input::Connected(conn)),
                    Output::Write(conn, bytes) if conn.is_opened() => {
                        if bytes.starts_with(b"GET /metrics") {
                            self.handle(Input::Data(conn, metrics));
                        } else if bytes.windows(24).any(|w| w == b"\"do_remote_decode\":true,") {
                            let prefill_answer = std::mem::take(&mut self.prefill_answer);
                            self.handle(Input::Data(conn, &prefill_answer));
                            self.prefill_answer = prefill_answer;
                        } else if bytes.starts_with(b"POST /v1/chat") {
                            decode_conn = Some(conn);
                        }
                    }
                    Output::Write(conn, bytes) => self.handle(Input::Sent(conn, bytes.len())),
                    _ => {}
                }
            }
            if let Some(decode_conn) = decode_conn {
                self.handle(Input::Data(decode_conn, STREAM_HEAD));
                return decode_conn;
            }
        }
        panic!("the answer did not begin: {:?}", self.gateway.counters())
    }

    /// Reports all written bytes as sent.
    fn drain(&mut self) {
        for output in std::mem::take(&mut self.out) {
            if let Output::Write(conn, bytes) = output {
                self.handle(Input::Sent(conn, bytes.len()));
            }
        }
    }
}

fn measure_requests() {
    let (request, metrics, token, last) = (request_bytes(), metrics_answer(), token_event(), last_event());
    let mut driver = Driver::new();
    driver.handle(Input::Accepted(ConnId(1), CLIENT_LISTENER));
    const N: u32 = 20_000;
    let started = Instant::now();
    for _ in 0..N {
        driver.now += Duration::from_micros(200);
        driver.handle(Input::Wake);
        let decode_conn = driver.start_stream(ConnId(1), &request, &metrics);
        (0..4).for_each(|_| driver.handle(Input::Data(decode_conn, &token)));
        driver.handle(Input::Data(decode_conn, &last));
        driver.drain();
    }
    let time_per_request = started.elapsed() / N;
    println!(
        "a request with prefill, decode and 4 events: {:.1} us, {:.0} per second; {} completed",
        time_per_request.as_secs_f64() * 1e6,
        1.0 / time_per_request.as_secs_f64(),
        driver.gateway.counters().completed
    );
}

fn measure_streamed_events() {
    let (request, metrics, token) = (request_bytes(), metrics_answer(), token_event());
    let mut driver = Driver::new();
    let decode_conns: Vec<ConnId> = (1..=100)
        .map(|n| {
            driver.handle(Input::Accepted(ConnId(n), CLIENT_LISTENER));
            driver.start_stream(ConnId(n), &request, &metrics)
        })
        .collect();
    const N: usize = 1_000_000;
    let started = Instant::now();
    for n in 0..N {
        driver.handle(Input::Data(decode_conns[n % decode_conns.len()], &token));
        if n % 100 == 99 {
            driver.now += Duration::from_micros(500);
            driver.drain();
        }
    }
    println!("streamed events, one per read: {:.0} per second", N as f64 / started.elapsed().as_secs_f64());
}

/// The resident memory of this process, bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn measure_stream_memory() {
    let (request, metrics, token) = (request_bytes(), metrics_answer(), token_event());
    let mut driver = Driver::new();
    const N: u64 = 10_000;
    let bytes_before = resident_bytes();
    for n in 1..=N {
        driver.handle(Input::Accepted(ConnId(n), CLIENT_LISTENER));
        let decode_conn = driver.start_stream(ConnId(n), &request, &metrics);
        driver.handle(Input::Data(decode_conn, &token));
        driver.drain();
    }
    let bytes_per_stream = (resident_bytes() - bytes_before) as f64 / N as f64;
    println!(
        "memory of an open stream, {N} open, prompt of {} bytes: {:.1} KiB",
        request.len(),
        bytes_per_stream / 1024.0
    );
}

fn measure_decision_module() {
    use slipreel::{
        Action, AttemptEnded, Engine, Event, KindId, Listing, LoadReport, Outcome, Request, RequestId, Router,
    };
    let settings = settings();
    let mut router = Router::new(settings.decisions.clone(), 5);
    let (mut now, mut out) = (Duration::from_secs(1 << 20), Vec::new());
    let engine = |settings: &EngineSettings| Engine {
        id: slipreel_gateway::engine_id(settings.addr),
        kind: KindId(KINDS.iter().position(|role| *role == settings.role).unwrap_or(0)),
        ..Engine::default()
    };
    let engines = settings.engines.iter().map(engine).collect();
    router.handle(now, Event::Engines { listing: Listing::Complete, engines }, &mut out);
    const N: u64 = 20_000;
    let report = LoadReport { queued: Some(0.0), memory_share: Some(0.2), ..LoadReport::default() };
    let started = Instant::now();
    for n in 0..N {
        now += Duration::from_micros(200);
        let request = Request {
            id: RequestId(n),
            session: n,
            prompt_tokens: 300.0,
            max_output_tokens: 50.0,
            client_timeout: Duration::from_secs(6),
            ..Request::default()
        };
        router.handle(now, Event::Request(request), &mut out);
        let mut attempt = 0;
        while let Some(action) = out.pop() {
            match action {
                Action::Probe(engine) => {
                    router.handle(
                        now,
                        Event::ProbeEnded { engine, outcome: Outcome::Completed, report },
                        &mut out,
                    );
                }
                Action::SetTimer { timer, after } if after < Duration::from_secs(1) => {
                    router.handle(now, Event::TimerFired(timer), &mut out);
                }
                Action::Send { request, .. } => {
                    let outcome = if attempt == 0 { Outcome::Prefilled } else { Outcome::Completed };
                    let latency = Duration::from_millis(20);
                    if attempt > 0 {
                        router.handle(now, Event::FirstToken { request, attempt, latency }, &mut out);
                    }
                    let ended = AttemptEnded {
                        request,
                        attempt,
                        outcome,
                        latency,
                        request_finished: attempt > 0,
                        cached_tokens: 0.0,
                        report,
                    };
                    attempt += 1;
                    router.handle(now, Event::AttemptEnded(ended), &mut out);
                }
                _ => {}
            }
        }
    }
    println!(
        "of that the decision module: {:.1} us per request with 8 engines",
        started.elapsed().as_secs_f64() * 1e6 / N as f64
    );
}

/// Sets a million timers, of which half are cancelled and the rest fire, as connections do.
fn compare_timer_wheel_with_heap() {
    const N: u64 = 1_000_000;
    let random_delay = |x: &mut u64| {
        *x = x.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        (*x >> 33) % 10_000
    };
    let (mut x, started) = (7, Instant::now());
    let mut wheel = TimerWheel::default();
    let mut last = None;
    let mut fired = 0u64;
    for n in 0..N {
        let now = Duration::from_micros(n * 10);
        let key = wheel.set(now + Duration::from_millis(random_delay(&mut x)), n);
        if let Some(key) = last.replace(key).filter(|_| n % 2 == 0) {
            wheel.cancel(key);
        }
        while wheel.pop(now).is_some() {
            fired += 1;
        }
    }
    let wheel_time = started.elapsed();
    let (mut x, started) = (7, Instant::now());
    let (mut heap, mut cancelled) = (BinaryHeap::new(), std::collections::HashSet::new());
    let mut fired_heap = 0u64;
    for n in 0..N {
        let now = n * 10;
        heap.push(Reverse((now + random_delay(&mut x) * 1000, n)));
        if n % 2 == 0 && n > 0 {
            cancelled.insert(n - 1);
        }
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            if let Some(Reverse((_, n))) = heap.pop() {
                fired_heap += u64::from(!cancelled.remove(&n));
            }
        }
    }
    let heap_time = started.elapsed();
    let ns = |t: Duration| t.as_nanos() as f64 / N as f64;
    println!("a timer, half of them cancelled: wheel {:.0} ns, heap with a set {:.0} ns (fired {fired}, {fired_heap})", ns(wheel_time), ns(heap_time));
}

fn main() {
    measure_requests();
    measure_decision_module();
    measure_streamed_events();
    measure_stream_memory();
    compare_timer_wheel_with_heap();
}
