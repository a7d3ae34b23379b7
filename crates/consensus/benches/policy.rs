//! The costs of consensus, in virtual time and in CPU time: `cargo bench -p slipreel-consensus --bench
//! policy`.
//!
//! The time of a change in fleets of several sizes (one-way delay 1 to 2 ms), how fast a restarted router is
//! ready, the log and its recovery after 10,000 epochs, and the CPU time of an idle fleet of 300. All times
//! are simulated, except for those of the recovery and the CPU.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{ms, Fleet};
use slipreel_consensus::policy_state::Proposal;
use slipreel_consensus::storage;
use slipreel_consensus::wire::OperatorRequest;
use slipreel_consensus::ProposalStatus;
use std::time::{Duration, Instant};

fn propose(fleet: &Fleet, router: usize, id: &str, text: &str) {
    let proposal = Proposal {
        id: id.into(),
        text: text.into(),
        from: format!("r{router}"),
        submitted_unix_s: 0,
        base_epoch: 0,
        restores_epoch: None,
    };
    fleet.handles[router].submit(OperatorRequest::Propose(proposal));
}

fn settled_fleet(n: usize, founders: usize) -> Fleet {
    let mut fleet = Fleet::new(n, founders, 3);
    (0..n).for_each(|r| fleet.start(r, "one"));
    // After this time all voters have joined, and the leases that the leader of the last configuration
    // granted have ended.
    let wait = 10_000 + 6_500 * (n.min(9) - founders.min(n)) as u64;
    fleet.run(ms(wait));
    fleet
}

/// The durations of one change.
struct ChangeTimes {
    /// Until all routers were in the new epoch.
    total: Duration,
    /// How long at least one router accepted no requests meanwhile.
    without_lease: Duration,
}

/// Runs until all routers are in this epoch.
fn run_until_epoch(fleet: &mut Fleet, epoch: u64) -> ChangeTimes {
    let begin = fleet.world.now();
    let mut without_lease = Duration::ZERO;
    loop {
        fleet.run(ms(1));
        let epochs = fleet.epochs();
        if epochs.contains(&0) {
            without_lease += ms(1);
        }
        if epochs.iter().all(|current| *current == epoch) || fleet.world.now() > begin + ms(60_000) {
            return ChangeTimes { total: fleet.world.now() - begin, without_lease };
        }
    }
}

fn quantile(sorted: &[Duration], share: f64) -> Duration {
    sorted[((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len()) - 1]
}

fn sizes() {
    println!("routers  changes  p50      p99      longest without a lease  (simulated)");
    for n in [3, 10, 30, 300] {
        let mut fleet = settled_fleet(n, 3);
        let changes = if n == 300 { 10 } else { 50 };
        let (mut times, mut worst) = (Vec::new(), Duration::ZERO);
        for change in 0..changes {
            propose(&fleet, change % n, &format!("c{change}"), &format!("text {change}"));
            let ChangeTimes { total, without_lease } = run_until_epoch(&mut fleet, change as u64 + 2);
            times.push(total);
            worst = worst.max(without_lease);
            // Voters that join end a configuration, too, and the leader of the next one waits for the leases
            // of the last one.
            fleet.run(ms(700));
        }
        times.sort_unstable();
        println!(
            "{n:>7}  {changes:>7}  {:>5} ms {:>5} ms  {:?}",
            quantile(&times, 0.5).as_millis(),
            quantile(&times, 0.99).as_millis(),
            worst
        );
    }
}

fn idle() {
    let mut fleet = settled_fleet(300, 3);
    let handled_before = fleet.world.inputs_handled();
    let started_at = Instant::now();
    fleet.run(ms(10_000));
    let elapsed = started_at.elapsed();
    println!(
        "idle fleet of 300: {:.2} s of a core for 10 s, {:.3} ms a router and second with the simulated network; {} inputs a router and second",
        elapsed.as_secs_f64(),
        elapsed.as_secs_f64() * 1_000.0 / 3_000.0,
        (fleet.world.inputs_handled() - handled_before) / 3_000
    );
}

fn restart() {
    let mut fleet = settled_fleet(10, 3);
    let mut times = Vec::new();
    for n in 0..20 {
        let r = n % 10;
        fleet.kill(r);
        fleet.run(ms(4_000));
        let begin = fleet.world.now();
        fleet.start(r, "another");
        while fleet.epochs()[r] == 0 {
            fleet.run(ms(1));
        }
        times.push(fleet.world.now() - begin);
        fleet.run(ms(4_000));
    }
    times.sort_unstable();
    println!("a router that was killed is ready after p50 {:?}, at most {:?} (simulated, without the view's own start)", quantile(&times, 0.5), quantile(&times, 1.0));
}

fn epochs() {
    let mut fleet = settled_fleet(3, 3);
    let policy = "[class chat]\naim = 1s\n".repeat(100);
    let mut longest_log = 0;
    let mut n = 0;
    while n < 10_000 {
        propose(&fleet, 0, &format!("e{n}"), &format!("{policy}; {n}\n"));
        let mut waits = 0;
        while !matches!(
            fleet.handles[0].status().proposal_status(&format!("e{n}")),
            ProposalStatus::InForce(_)
        ) && waits < 20_000
        {
            fleet.run(ms(5));
            waits += 1;
        }
        n += 1;
        if n % 50 == 0 {
            longest_log = longest_log.max(fleet.disks[0].after_crash().len());
        }
    }
    let file = fleet.disks[0].after_crash();
    longest_log = longest_log.max(file.len());
    let started_at = Instant::now();
    let stored = storage::read(&file).expect("an undamaged file");
    let elapsed = started_at.elapsed();
    let configuration = stored.configuration.expect("a configuration").configuration;
    println!(
        "10,000 epochs of a policy of {} bytes: the log is {} KB at most; read in {:.1} ms (epoch {} at the configuration's beginning)",
        policy.len(),
        longest_log / 1_024,
        elapsed.as_secs_f64() * 1_000.0,
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
