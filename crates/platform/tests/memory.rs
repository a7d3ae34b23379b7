//! The memory that buffers take stays within its limit, whatever clients and engines send and do not read.
//! What a buffer holds is counted from the bytes that were exchanged, not by the router.

mod common;
use common::*;
use rand::{rngs::StdRng, Rng, SeedableRng};
use slipreel_state_machine::{ConnId, Input, ListenerId, Output};
use std::collections::{BTreeMap, BTreeSet};

/// The memory of the router under test, in MB.
const MEMORY_MB: usize = 32;
/// Memory of all buffers, as documented: half of the router's memory.
const BUFFER_LIMIT: usize = (MEMORY_MB << 20) / 2;
/// What one input may add before the limit is enforced, at most: the segments and the copy of a body.
const SLACK: usize = 1 << 20;
/// The longest body by the protocol, in bytes.
const MAX_BODY: usize = 256 << 10;
/// The most bytes that the driver reads at once.
const READ_SIZE: usize = 16 << 10;

/// The configuration of a router with many descriptors for its memory.
fn small_memory() -> String {
    config(DISCOVERY, &list(41, true, &engines()), 1_024)
        .replace("\"memory_mb\":64", &format!("\"memory_mb\":{MEMORY_MB}"))
        .replace("\"customers\":[{\"name\":\"acme\",\"quota_per_s\":50.0}],", "")
}

/// A request whose prompt is short for engines, so that their load does not matter.
fn small_request(id: &str) -> String {
    request("chat", id).replace("prompt_len=512", "prompt_len=8")
}

/// A request with a body of this length.
fn request_with_body(id: &str, length: usize) -> Vec<u8> {
    let head = small_request(id)
        .replace(BODY, "")
        .replace(&format!("Content-Length: {}", BODY.len()), &format!("Content-Length: {length}"));
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b' ');
    bytes
}

/// A router whose peers keep count of what it has to hold for them.
struct Peers {
    harness: Harness,
    /// Bytes of incomplete requests, by client connection.
    received: BTreeMap<ConnId, usize>,
    /// Bytes that were written and not reported as sent.
    unsent: BTreeMap<ConnId, usize>,
    /// Bytes of responses whose next event is incomplete, by engine connection.
    responses: BTreeMap<ConnId, usize>,
    open: BTreeSet<ConnId>,
    paused: BTreeSet<ConnId>,
    /// Everything that was written to clients.
    answers: BTreeMap<ConnId, Vec<u8>>,
    /// Connections that the router has opened to engines since this was last taken.
    opened: Vec<ConnId>,
    client_count: u64,
    most: usize,
}

impl Peers {
    fn new() -> Self {
        Self::with(&small_memory())
    }

    fn with(config: &str) -> Self {
        Peers {
            harness: Harness::with(config),
            received: BTreeMap::new(),
            unsent: BTreeMap::new(),
            responses: BTreeMap::new(),
            open: BTreeSet::new(),
            paused: BTreeSet::new(),
            answers: BTreeMap::new(),
            opened: Vec::new(),
            client_count: 0,
            most: 0,
        }
    }

    /// Records what the router did, and how much it has to hold now.
    fn observe(&mut self, out: Vec<Output>) {
        self.opened.extend(opened(&out).into_iter().map(|(conn, _)| conn));
        for output in out {
            match output {
                Output::Connect(conn, _) => drop(self.open.insert(conn)),
                Output::Write(conn, bytes) => {
                    *self.unsent.entry(conn).or_default() += bytes.len();
                    if !conn.is_opened() {
                        self.answers.entry(conn).or_default().extend(bytes);
                    }
                }
                Output::Pause(conn) => drop(self.paused.insert(conn)),
                Output::Resume(conn) => drop(self.paused.remove(&conn)),
                Output::CloseWhenSent(conn) | Output::Abort(conn) => self.forget(conn),
                _ => {}
            }
        }
        self.most = self.most.max(self.held());
    }

    fn forget(&mut self, conn: ConnId) {
        self.open.remove(&conn);
        self.received.remove(&conn);
        self.unsent.remove(&conn);
        self.responses.remove(&conn);
    }

    /// Bytes that the router has to hold.
    fn held(&self) -> usize {
        [&self.received, &self.unsent, &self.responses]
            .map(|sizes| sizes.values().sum::<usize>())
            .iter()
            .sum()
    }

    fn connect(&mut self) -> ConnId {
        self.client_count += 1;
        let client = ConnId(self.client_count);
        self.open.insert(client);
        let out = self.harness.handle(Input::Accepted(client, ListenerId(0)));
        self.observe(out);
        client
    }

    /// Sends bytes as the driver reads them, until the connection is closed or paused.
    fn send(&mut self, conn: ConnId, bytes: &[u8]) {
        for piece in bytes.chunks(READ_SIZE) {
            if !self.open.contains(&conn) || self.paused.contains(&conn) {
                return;
            }
            let out = self.harness.receive(conn, piece);
            self.observe(out);
        }
    }

    /// Sends a part of a request that the client never completes.
    fn send_incomplete(&mut self, conn: ConnId, bytes: &[u8]) {
        for piece in bytes.chunks(READ_SIZE) {
            if self.open.contains(&conn) {
                *self.received.entry(conn).or_default() += piece.len();
                self.send(conn, piece);
            }
        }
    }

    /// Establishes a connection to an engine, which reads the whole request if `reads`.
    fn establish(&mut self, conn: ConnId, reads: bool) {
        if self.open.contains(&conn) {
            let out = self.harness.handle(Input::Connected(conn));
            self.observe(out);
            if reads {
                self.report_sent(conn);
            }
        }
    }

    fn report_sent(&mut self, conn: ConnId) {
        if let Some(sent) = self.unsent.remove(&conn).filter(|&sent| sent > 0) {
            let out = self.harness.handle(Input::Sent(conn, sent));
            self.observe(out);
        }
    }

    fn advance(&mut self, millis: u64) {
        let out = self.harness.advance(ms(millis));
        self.observe(out);
    }

    fn status(&self, conn: ConnId) -> Option<u16> {
        let answer = self.answers.get(&conn)?;
        std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
    }

    /// Has a request prefilled and its stream begun; returns the connection of the decode engine.
    fn start_stream(&mut self, client: ConnId, id: &str) -> ConnId {
        self.send(client, small_request(id).as_bytes());
        let prefill = self.opened.pop().unwrap_or_else(|| {
            panic!(
                "{id}: {:?} {:?}",
                self.status(client),
                self.answers.get(&client).map(|a| String::from_utf8_lossy(a).into_owned())
            )
        });
        self.establish(prefill, true);
        self.send(prefill, PREFILLED_WITHOUT_REPORT.as_bytes());
        let decode = self.opened.pop().expect("a decode");
        self.establish(decode, true);
        self.send(decode, format!("{STREAM_HEAD}{}", chunk(&event("first"))).as_bytes());
        decode
    }
}

/// Guards against bodies of incomplete requests that no limit counts: clients that stopped in the middle of a
/// request drove a router over its memory, and it was killed.
#[test]
fn clients_in_the_middle_of_a_request_do_not_drive_a_router_over_its_memory() {
    let mut peers = Peers::new();
    let incomplete = &request_with_body("1", MAX_BODY)[..MAX_BODY];
    let clients: Vec<ConnId> = (0..400)
        .map(|_| {
            let client = peers.connect();
            peers.send_incomplete(client, incomplete);
            peers.advance(1);
            client
        })
        .collect();
    assert!(peers.most > BUFFER_LIMIT / 2, "too few bytes for a flood: {}", peers.most);
    assert!(peers.most <= BUFFER_LIMIT + SLACK, "{} bytes held of {BUFFER_LIMIT}", peers.most);
    // A usual client beside them is served, and one with a long prompt too.
    for (id, length) in [("2", 1_500), ("3", 100_000)] {
        let usual = peers.connect();
        peers.opened.clear();
        peers.send(usual, &request_with_body(id, length));
        assert_eq!(peers.opened.len(), 1, "{length} bytes: {:?}", peers.status(usual));
    }
    peers.advance(2_500);
    for client in clients {
        assert!(matches!(peers.status(client), Some(503 | 408)), "an answer within 3 s");
        assert!(!peers.open.contains(&client));
    }
}

/// Guards against a rejection of clients that send slowly, in place of those whose requests take the memory.
#[test]
fn the_incomplete_request_that_costs_most_memory_is_rejected_first() {
    let mut peers = Peers::new();
    let slow = peers.connect();
    peers.send_incomplete(slow, &request_with_body("1", 3_000)[..2_000]);
    let stalled = peers.connect();
    peers.send_incomplete(stalled, &request_with_body("2", MAX_BODY)[..MAX_BODY]);
    peers.advance(300);
    while peers.status(stalled).is_none() {
        let client = peers.connect();
        peers.send_incomplete(client, &request_with_body("3", MAX_BODY)[..MAX_BODY]);
        peers.advance(1);
    }
    assert_eq!(peers.status(stalled), Some(503));
    assert_eq!(peers.status(slow), None, "its request may still become complete");
    peers.opened.clear();
    peers.send(slow, &request_with_body("1", 3_000)[2_000..]);
    assert_eq!(peers.opened.len(), 1, "it is served");
}

/// Guards against answers that clients do not read and that no limit counts: each connection had its own bound
/// alone, and all of them together exceeded the memory.
#[test]
fn clients_that_read_nothing_do_not_drive_a_router_over_its_memory_and_lose_no_stream() {
    let mut peers = Peers::new();
    let mut streams = Vec::new();
    for id in 0..400 {
        let client = peers.connect();
        let decode = peers.start_stream(client, &format!("{id:x}"));
        streams.push((client, decode));
    }
    // As many as one read holds, so that a paused connection has received whole events.
    let one_event = chunk(&event("token"));
    let many_events = one_event.repeat(READ_SIZE / one_event.len());
    for _ in 0..6 {
        for &(_, decode) in &streams {
            peers.send(decode, many_events.as_bytes());
        }
    }
    assert!(peers.most > BUFFER_LIMIT / 2, "too few bytes: {}", peers.most);
    assert!(peers.most <= BUFFER_LIMIT + SLACK, "{} bytes held of {BUFFER_LIMIT}", peers.most);
    assert!(streams
        .iter()
        .all(|(client, decode)| peers.open.contains(client) && peers.open.contains(decode)));
    let other = peers.connect();
    peers.opened.clear();
    peers.send(other, &request_with_body("other", 20_000));
    assert_eq!(peers.opened.len(), 1, "there is memory left for requests");
    // Once the clients read, every stream goes on to its end.
    for &(client, decode) in &streams {
        peers.report_sent(client);
        peers.send(decode, stream_end().as_bytes());
        peers.report_sent(client);
        assert!(peers.answers[&client].ends_with(b"0\r\n\r\n"), "{:?}", peers.status(client));
    }
}

/// Guards against copies of requests that no limit counts: engines that read nothing keep them, also where the
/// attempt can't be cancelled and the client has left. And against a limit that ends other connections for it.
#[test]
fn copies_of_requests_stay_within_the_memory_and_cost_no_idle_client_its_connection() {
    let mut peers = Peers::with(&small_memory().replace("\"cancelling\":true", "\"cancelling\":false"));
    let idle: Vec<ConnId> = (0..20).map(|_| peers.connect()).collect();
    for &client in &idle {
        peers.send(client, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    // Half of the memory is taken by copies of requests whose clients have left.
    for id in 0..BUFFER_LIMIT / 2 / MAX_BODY {
        let client = peers.connect();
        peers.send(client, &request_with_body(&format!("left{id}"), MAX_BODY));
        let attempt = peers.opened.pop().expect("an attempt");
        peers.establish(attempt, false);
        let out = peers.harness.handle(Input::Eof(client));
        peers.observe(out);
    }
    // Then as many requests as are admitted are copied all at once.
    let mut admitted = Vec::new();
    for id in 0..BUFFER_LIMIT / 2 / MAX_BODY {
        let client = peers.connect();
        peers.send(client, &request_with_body(&format!("new{id}"), MAX_BODY));
        admitted.extend(peers.opened.pop());
    }
    assert!(admitted.len() > 10, "too few requests: {}", admitted.len());
    admitted.into_iter().for_each(|attempt| peers.establish(attempt, false));
    assert!(peers.most > BUFFER_LIMIT / 2, "too few bytes: {}", peers.most);
    let held = peers.harness.router.held_state();
    assert!(held.buffered_bytes <= BUFFER_LIMIT, "{held:?}");
    assert!(idle.iter().all(|client| peers.open.contains(client)), "idle clients are not to blame");
}

/// Guards against buffers of a kind that the limit does not count.
#[test]
fn random_peers_do_not_drive_a_router_over_its_memory() {
    let (first, last) = seeds();
    for seed in first..=last {
        let most = play_random_peers(seed);
        assert!(most > BUFFER_LIMIT / 2, "seed {seed}: too few bytes: {most}");
        assert!(most <= BUFFER_LIMIT + SLACK, "seed {seed}: {most} bytes held of {BUFFER_LIMIT}");
    }
}

/// The seeds to play: `MEMORY_SEEDS=1-50`, or a few.
fn seeds() -> (u64, u64) {
    let parse = |text: String| {
        let (first, last) = text.split_once('-')?;
        Some((first.parse().ok()?, last.parse().ok()?))
    };
    std::env::var("MEMORY_SEEDS").ok().and_then(parse).unwrap_or((1, 4))
}

/// Plays clients and engines that send much, stop anywhere, and read nothing. Returns the most bytes held.
fn play_random_peers(seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut peers = Peers::new();
    let (mut streams, mut clients) = (Vec::new(), Vec::new());
    let mut admitted = BTreeSet::new();
    for step in 0..1_500_u32 {
        let client = peers.connect();
        clients.push(client);
        let length = if random.gen_bool(0.5) { MAX_BODY } else { random.gen_range(1..MAX_BODY) };
        let bytes = request_with_body(&format!("{step:x}"), length);
        match random.gen_range(0..6) {
            0..=2 => peers.send_incomplete(client, &bytes[..random.gen_range(1..bytes.len())]),
            3 => {
                peers.send(client, &bytes);
                admitted.insert(client);
                // Requests behind the first one.
                let pipelined = small_request(&format!("p{step:x}")).repeat(200);
                peers.send(client, &pipelined.as_bytes()[..random.gen_range(1..40_000)]);
            }
            _ => {
                peers.send(client, &request_with_body(&format!("s{step:x}"), 200));
                admitted.insert(client);
            }
        }
        for conn in std::mem::take(&mut peers.opened) {
            match random.gen_range(0..8) {
                0 => {}
                1 => peers.establish(conn, false),
                _ => {
                    peers.establish(conn, true);
                    streams.push(conn);
                }
            }
        }
        for _ in 0..4 {
            if streams.is_empty() {
                break;
            }
            let conn = streams[random.gen_range(0..streams.len())];
            play_engine(&mut peers, conn, &mut random);
        }
        peers.advance(if random.gen_bool(0.2) { random.gen_range(1..5) } else { 0 });
    }
    peers.advance(20_000);
    let held = peers.harness.router.held_state();
    assert_eq!((held.requests, held.client_connections), (0, 0), "seed {seed}: all is over: {held:?}");
    for client in clients {
        let is_answered = peers.status(client).is_some();
        assert!(is_answered || !admitted.contains(&client) || !peers.open.contains(&client), "seed {seed}");
    }
    peers.most
}

/// Has an engine send something: an answer, events, or a part of an event that never ends.
fn play_engine(peers: &mut Peers, conn: ConnId, random: &mut StdRng) {
    if !peers.open.contains(&conn) || peers.paused.contains(&conn) {
        return;
    }
    match random.gen_range(0..5) {
        0 => peers.send(conn, PREFILLED_WITHOUT_REPORT.as_bytes()),
        1 => {
            let part = format!("{STREAM_HEAD}10000\r\ndata: {}", "x".repeat(random.gen_range(1..60_000)));
            *peers.responses.entry(conn).or_default() += part.len();
            peers.send(conn, part.as_bytes());
        }
        _ => {
            let events = chunk(&event("token")).repeat(random.gen_range(1..400));
            let head = if peers.responses.contains_key(&conn) { "" } else { STREAM_HEAD };
            peers.send(conn, format!("{head}{events}").as_bytes());
        }
    }
}
