//! What agreement costs, in virtual time and as work of a core: `cargo bench -p slipreel-consensus --bench policy`.
//!
//! Times of a change at several sizes (a way takes 1 to 2 ms), the wait after a leader's death, how fast a restarted router is ready, the log
//! and its recovery after 10,000 epochs, and what an idle fleet of 300 costs. Simulated, but for the recovery and the core's work.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{ms, Routers};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::storage;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;
use std::time::{Duration, Instant};

fn propose(routers: &Routers, at: usize, id: &str, text: &str) {
    let p = Proposal {
        id: id.into(),
        text: text.into(),
        from: format!("r{at}"),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    };
    routers.boards[at].submit(OperatorRequest::Propose(p));
}

fn up(n: usize, founders: usize) -> Routers {
    let mut routers = Routers::new(n, founders, 3);
    (0..n).for_each(|r| routers.start(r, "one"));
    // All voters sit, and the leases of the last configuration's leader are over.
    let wait = 10_000 + 6_500 * (n.min(9) - founders.min(n)) as u64;
    routers.run(ms(wait));
    routers
}

/// Until all act by this epoch; how long some took no requests meanwhile.
fn until(routers: &mut Routers, epoch: u64) -> (Duration, Duration) {
    let begin = routers.world.now();
    let mut without = Duration::ZERO;
    loop {
        routers.run(ms(1));
        let epochs = routers.epochs();
        if epochs.contains(&0) {
            without += ms(1);
        }
        if epochs.iter().all(|e| *e == epoch) || routers.world.now() > begin + ms(60_000) {
            return (routers.world.now() - begin, without);
        }
    }
}

fn at(sorted: &[Duration], share: f64) -> Duration {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1]
}

fn sizes() {
    println!("routers  changes  p50      p99      longest without a lease  (simulated)");
    for n in [3, 10, 30, 300] {
        let mut routers = up(n, 3);
        let changes = if n == 300 { 10 } else { 50 };
        let (mut times, mut worst) = (Vec::new(), Duration::ZERO);
        for change in 0..changes {
            propose(&routers, change % n, &format!("c{change}"), &format!("text {change}"));
            let (took, without) = until(&mut routers, change as u64 + 2);
            times.push(took);
            worst = worst.max(without);
            // Voters that join end a configuration, too, and the leader of the next one waits.
            routers.run(ms(700));
        }
        times.sort_unstable();
        println!(
            "{n:>7}  {changes:>7}  {:>5} ms {:>5} ms  {:?}",
            at(&times, 0.5).as_millis(),
            at(&times, 0.99).as_millis(),
            worst
        );
    }
}

fn idle() {
    let mut routers = up(300, 3);
    let (from, before) = (Instant::now(), routers.world.handled());
    routers.run(ms(10_000));
    let took = from.elapsed();
    println!(
        "idle fleet of 300: {:.2} s of a core for 10 s, {:.3} ms a router and second with the simulated network; {} inputs a router and second",
        took.as_secs_f64(),
        took.as_secs_f64() * 1_000.0 / 3_000.0,
        (routers.world.handled() - before) / 3_000
    );
}

fn restart() {
    let mut routers = up(10, 3);
    let mut times = Vec::new();
    for n in 0..20 {
        let r = n % 10;
        routers.kill(r);
        routers.run(ms(4_000));
        let begin = routers.world.now();
        routers.start(r, "another");
        while routers.epochs()[r] == 0 {
            routers.run(ms(1));
        }
        times.push(routers.world.now() - begin);
        routers.run(ms(4_000));
    }
    times.sort_unstable();
    println!("a router that was killed is ready after p50 {:?}, at most {:?} (simulated, without the view's own start)", at(&times, 0.5), at(&times, 1.0));
}

fn epochs() {
    let mut routers = up(3, 3);
    let policy = "[class chat]\naim = 1s\n".repeat(100);
    let (mut most, mut n) = (0, 0);
    while n < 10_000 {
        propose(&routers, 0, &format!("e{n}"), &format!("{policy}; {n}\n"));
        let mut waits = 0;
        while !matches!(
            routers.boards[0].status().proposal_status(&format!("e{n}")),
            ProposalStatus::InForce(_)
        ) && waits < 20_000
        {
            routers.run(ms(5));
            waits += 1;
        }
        n += 1;
        if n % 50 == 0 {
            most = most.max(routers.disks[0].after_crash().len());
        }
    }
    let file = routers.disks[0].after_crash();
    most = most.max(file.len());
    let from = Instant::now();
    let stored = storage::read(&file).expect("an undamaged file");
    let took = from.elapsed();
    let configuration = stored.configuration.expect("a configuration").configuration;
    println!(
        "10,000 epochs of a policy of {} bytes: the log is {} KB at most; read in {:.1} ms (epoch {} at the configuration's beginning)",
        policy.len(),
        most / 1_024,
        took.as_secs_f64() * 1_000.0,
        configuration.initial_state.epoch
    );
}

fn main() {
    let only: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    for (name, bench) in [("sizes", sizes as fn()), ("idle", idle), ("restart", restart), ("epochs", epochs)]
    {
        if only.is_empty() || only.iter().any(|o| o == name) {
            bench();
        }
    }
}
