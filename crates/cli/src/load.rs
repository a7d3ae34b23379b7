//! `load`: open-loop load on a router. Each request is asked when it is due, whatever became of the others, and its
//! latency counts from when it was due, so that a stalled router does not hide the wait of those behind.

use crate::{Failure, Outcome};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_xoshiro::rand_core::RngCore;
use serde_json::json;
use slipreel_event_loop::{check_loopback, Clock, EventLoop};
use slipreel_invariants::{Effect, Ending};
use slipreel_test_servers::client::{Clients, Habit, Plan};
use slipreel_test_servers::ledger::Ledger;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The router; a loopback address.
    #[arg(long)]
    target: SocketAddr,
    /// Requests a second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// For how many seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The model to ask for.
    #[arg(long)]
    model: String,
    /// The key to ask with.
    #[arg(long, default_value = "")]
    key: String,
    /// Bytes of each prompt.
    #[arg(long, default_value_t = 1_000)]
    prompt: usize,
    /// Tokens of each answer; engines that are no stand-ins answer as they like.
    #[arg(long, default_value_t = 16)]
    answer: u32,
    /// Share of requests that stream.
    #[arg(long, default_value_t = 1.0)]
    streamed: f64,
    /// How long a client waits for its answer to begin, seconds.
    #[arg(long, default_value_t = 10.0)]
    patience: f64,
    /// Settles arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

/// Most requests of one run: the load is bounded in count as in time.
const MOST: f64 = 5_000_000.0;

pub(crate) fn run(args: &Args) -> Outcome {
    check_loopback(args.target).map_err(|e| Failure::Input(format!("--target {e}")))?;
    if !(args.rate > 0.0 && args.seconds > 0.0 && args.rate * args.seconds <= MOST) {
        return Err(Failure::Input(format!(
            "--rate and --seconds: expected more than 0, and {MOST} requests at most"
        )));
    }
    let clock = Clock::start();
    let start = clock.now() + Duration::from_millis(100);
    let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(args.seed);
    let mut chance = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let mut plans = Vec::new();
    let mut at = 0.0;
    while at < args.seconds {
        plans.push(Plan {
            at: start + Duration::from_secs_f64(at),
            request: plans.len() as u64 + 1,
            model: args.model.clone(),
            effect: Effect::Safe,
            key: args.key.clone(),
            session: format!("load-{}", plans.len()),
            system: String::new(),
            prompt: "load ".repeat(args.prompt / 5),
            length: args.answer,
            max_tokens: args.answer.max(1),
            stream: chance() < args.streamed,
            patience: Duration::from_secs_f64(args.patience),
            tries: 1,
            backoff: Duration::ZERO,
            heeds: true,
            habit: Habit::Plain,
        });
        at += -(1.0 - chance()).ln() / args.rate;
    }
    let asked = plans.len();
    let mut looped = EventLoop::new(clock).map_err(|e| Failure::Run(e.to_string()))?;
    let node = looped.add(Clients::new(plans, vec![args.target], Ledger::default(), true));
    looped.run().map_err(|e| Failure::Run(e.to_string()))?;
    let clients = looped.machine(node);
    let new =
        || Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| Failure::Run(e.to_string()));
    let (mut first, mut whole) = (new()?, new()?);
    let (mut served, mut refused, mut failed, mut left, mut wrong) = (0, 0, 0, 0, 0);
    for r in clients.results() {
        match r.ending {
            Some(Ending::Served) => served += 1,
            Some(Ending::Refused) => refused += 1,
            Some(Ending::Failed) => failed += 1,
            None => left += 1,
        }
        wrong += usize::from(r.fault.is_some());
        if let (Some(Ending::Served), Some(began)) = (r.ending, r.began) {
            let us = |t: Duration| (t.saturating_sub(r.due).as_micros() as u64).max(1);
            first.saturating_record(us(began));
            whole.saturating_record(us(r.ended));
        }
    }
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let row = |h: &Histogram<u64>| [0.5, 0.9, 0.99, 0.999].map(|q| ms(h, q));
    if args.json {
        let [p50, p90, p99, p999] = row(&first);
        let [w50, w90, w99, w999] = row(&whole);
        let out = json!({"asked": asked, "served": served, "refused": refused, "failed": failed, "left": left, "wrong": wrong,
            "first_ms": {"p50": p50, "p90": p90, "p99": p99, "p999": p999},
            "whole_ms": {"p50": w50, "p90": w90, "p99": w99, "p999": w999}});
        println!("{out}");
    } else {
        println!("asked {asked}, served {served}, refused {refused}, failed {failed}, left {left}, wrong text {wrong}");
        println!("{:<14}{:>10}{:>10}{:>10}{:>10}", "ms", "p50", "p90", "p99", "p99.9");
        for (name, h) in [("first token", &first), ("whole answer", &whole)] {
            let [a, b, c, d] = row(h);
            println!("{name:<14}{a:>10.2}{b:>10.2}{c:>10.2}{d:>10.2}");
        }
    }
    Ok(())
}
