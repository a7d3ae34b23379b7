//! Three routers of one fleet, each of which reaches the others through a relay. While changes of policy are
//! made, the connections that the leader has opened to the others stand still for 1.5 s; datagrams pass, and
//! all processes run. Then the network is sound again, and all routers have to serve.

use crate::common::*;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
/// What the network between two routers takes in each direction, with the disruption and without.
const DELAY: Duration = Duration::from_millis(2);
/// How long the leader's connections stand still.
const STILL: u64 = 1_500;
/// How long the fleet may take until it serves again: a lease (3 s), an election and the wait of a new leader
/// (some 4 s), and a change that is dropped after 10 s, all one after the other, and some more.
const BACK_WITHIN: Duration = Duration::from_secs(25);
const PLAY: Duration = Duration::from_secs(75);

/// Carries bytes from one socket to the other, each after [`DELAY`]; while `still` is set, none.
fn pump(mut from: TcpStream, mut to: TcpStream, still: Arc<AtomicBool>) {
    let _ = from.set_read_timeout(Some(millis(2)));
    let (mut held, mut buffer) = (VecDeque::new(), [0; 16384]);
    loop {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => held.push_back((Instant::now() + DELAY, buffer[..count].to_vec())),
            Err(why) if matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // Reset: what is still on its way is lost.
            Err(_) => break,
        }
        while !still.load(Ordering::Relaxed) && held.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            let Some((_, bytes)) = held.pop_front() else { break };
            if to.write_all(&bytes).is_err() {
                held.clear();
                break;
            }
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// The relays: `at[i][j]` is where router i reaches router j.
fn relays(routers: &[SocketAddr], still: &[Arc<AtomicBool>]) -> Vec<Vec<SocketAddr>> {
    let at: Vec<Vec<SocketAddr>> = routers.iter().map(|_| routers.iter().map(|_| free_address()).collect()).collect();
    let sockets: Vec<Vec<Arc<UdpSocket>>> = at
        .iter()
        .map(|row| row.iter().map(|address| Arc::new(UdpSocket::bind(address).expect("a port"))).collect())
        .collect();
    for i in 0..routers.len() {
        for j in (0..routers.len()).filter(|j| *j != i) {
            // What i sends to j comes to j from where j reaches i.
            let (incoming, outgoing, to) = (sockets[i][j].clone(), sockets[j][i].clone(), routers[j]);
            let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
            std::thread::spawn(move || {
                let mut buffer = [0; 65536];
                while let Ok((count, _)) = incoming.recv_from(&mut buffer) {
                    let _ = sender.send((Instant::now() + DELAY, buffer[..count].to_vec()));
                }
            });
            std::thread::spawn(move || {
                for (due, bytes) in receiver {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let _ = outgoing.send_to(&bytes, to);
                }
            });
            let (listener, still) = (TcpListener::bind(at[i][j]).expect("a port"), still[i].clone());
            std::thread::spawn(move || {
                for from in listener.incoming().flatten() {
                    let Ok(target) = TcpStream::connect(to) else { continue };
                    let _ = (from.set_nodelay(true), target.set_nodelay(true));
                    let (Ok(from_2), Ok(target_2)) = (from.try_clone(), target.try_clone()) else { continue };
                    let (still_1, still_2) = (still.clone(), still.clone());
                    std::thread::spawn(move || pump(from, target, still_1));
                    std::thread::spawn(move || pump(target_2, from_2, still_2));
                }
            });
        }
    }
    at
}

fn policy(n: usize) -> String {
    format!(
        "[class check]\naim = 800ms\naim_per_1000 = 60ms\npatience = 4s\nworth = 1\neffect = safe\n\
         [model check-1]\nclass = check\n[tenant guild]\nkeys = guild\nquota_per_s = {}\n",
        50 + n
    )
}

fn propose(case: &Case, n: usize, at: SocketAddr) -> Option<Child> {
    let file = case.folder.join(format!("change-{n}.ini"));
    std::fs::write(&file, policy(n)).expect("a policy file");
    Command::new("target/release/slipreel")
        .args(["policy", "propose", &file.display().to_string(), "--at", &at.to_string(), "--id", &format!("change-{n}"), "--wait", "5s"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .ok()
}

pub fn run(folder: &str) -> i32 {
    let case = Case::open(folder);
    let record = case.record.clone();
    let engines: Vec<SocketAddr> = (0..2).map(|_| free_address()).collect();
    let _engines: Vec<Process> = engines
        .iter()
        .enumerate()
        .map(|(n, address)| {
            let role = if n % 2 == 0 { "read" } else { "write" };
            let command = format!("exec target/release/slipreel standin --role {role} --listen {address} --warm");
            Process::start(&case, &format!("engine-{n}"), &command, &[])
        })
        .collect();
    let addresses = || -> Vec<SocketAddr> { (0..ROUTERS).map(|_| free_address()).collect() };
    let (clients, operators, fleet) = (addresses(), addresses(), addresses());
    let still: Vec<Arc<AtomicBool>> = (0..ROUTERS).map(|_| Arc::default()).collect();
    let relay = relays(&fleet, &still);
    let mut routers: Vec<Process> = (0..ROUTERS)
        .map(|at| {
            let others: Vec<usize> = (0..ROUTERS).filter(|other| *other != at).collect();
            let book: String = others.iter().map(|other| format!("r{other} = {}\n", relay[at][*other])).collect();
            let book_file = case.folder.join(format!("book-{at}"));
            std::fs::write(&book_file, book).expect("a book");
            let seeds: Vec<String> = others.iter().map(|other| relay[at][*other].to_string()).collect();
            let mut text = format!(
                "[router]\nlisten = {}\noperators = {}\nname = r{at}\nrouters = {ROUTERS}\nzone = a\n\
                 [fleet]\nfleet = review\nlisten = {}\nseeds = {}\nfolder = {}\nbook = {}\nfounders = r0, r1, r2\ncut = refuse\n",
                clients[at], operators[at], fleet[at], seeds.join(", "),
                case.folder.join(format!("kept-{at}")).display(),
                book_file.display(),
            );
            for (number, engine) in engines.iter().enumerate() {
                let role = if number % 2 == 0 { "read" } else { "write" };
                text.push_str(&format!("[engine e{number}]\naddress = {engine}\nrole = {role}\nzone = a\ncell = a1\n"));
            }
            let file = case.folder.join(format!("r{at}.ini"));
            std::fs::write(&file, text + &policy(0)).expect("a settings file");
            Process::start(&case, &format!("router-{at}"), &format!("exec target/release/slipreel serve --config {}", file.display()), &[])
        })
        .collect();
    let status = |at: usize| ask(clients[at], &get("/v1/models", &[("x-api-key", "guild")]), millis(1_000)).map_or(0, |answer| answer.status);
    let statuses = || -> Vec<u16> { (0..ROUTERS).map(status).collect() };
    let all_serve = || statuses().iter().all(|status| *status == 200);
    if !wait_until(Duration::from_secs(25), all_serve) {
        return case.could_not_run(&format!("the routers did not agree on their first policy in 25 s: {:?}", statuses()));
    }
    record.line("all routers serve by the first policy");
    let tell = |at: usize| ask(operators[at], &get("/policy/status", &[]), millis(1_000)).map_or(String::new(), |answer| answer.text());
    let mut numbers = Numbers(0x51ed_270b ^ u64::from(std::process::id()) << 18);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let (mut n, mut stills, mut hung) = (0, 0, false);
    while record.elapsed() < PLAY && !hung {
        n += 1;
        let text = tell(n % ROUTERS);
        let leader = (0..ROUTERS).find(|at| text.contains(&format!("\"leader\":\"r{at}\""))).unwrap_or(0);
        let Some(mut change) = propose(&case, n, operators[n % ROUTERS]) else {
            return case.could_not_run("slipreel policy can't be started");
        };
        if case.trouble && n % 2 == 0 {
            // At some moment of the change.
            sleep(15 + numbers.below(75));
            stills += 1;
            still[leader].store(true, Ordering::Relaxed);
            record.line(format!("change {n}: the connections of the leader r{leader} stand still for {STILL} ms"));
            sleep(STILL);
            still[leader].store(false, Ordering::Relaxed);
            record.line("the network is sound again");
            let back = Instant::now();
            if !wait_until(BACK_WITHIN, all_serve) {
                // Broken only if no router serves, neither now nor half a minute later.
                hung = statuses().iter().all(|status| *status != 200);
                record.say(format!("change {n}: {:.0} s after the network is sound again: answers {:?}", back.elapsed().as_secs_f64(), statuses()));
            }
        }
        let code = change.wait().ok().and_then(|status| status.code());
        *ends.entry(format!("{code:?}")).or_default() += 1;
    }
    if hung {
        (0..ROUTERS).for_each(|at| record.say(format!("policy status of r{at}: {}", tell(at))));
        let left = Duration::from_secs(105).saturating_sub(record.elapsed()).min(Duration::from_secs(30));
        std::thread::sleep(left);
        hung = statuses().iter().all(|status| *status != 200);
        let ended = routers.iter_mut().filter_map(|router| router.has_ended().then(|| router.name.clone())).count();
        record.say(format!("{:.0} s later: answers {:?}; routers that have ended: {ended}", left.as_secs_f64(), statuses()));
    }
    record.say(format!("{n} changes, exit codes of `policy propose`: {ends:?}; the leader's connections stood still {stills} times"));
    for (at, router) in routers.iter().enumerate() {
        for line in router.log_text().lines().filter(|line| line.contains("policy:")).rev().take(10) {
            record.line(format!("log of r{at} (latest first): {line}"));
        }
    }
    case.verdict(hung, "a fleet whose voters all run and reach each other serves")
}
