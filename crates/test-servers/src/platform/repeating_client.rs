//! Clients that send requests to routers by the settings of a test day and repeat refused ones, and record
//! both for the checker of repeats.

use super::{lock_ledger, Random, SharedLedger};
use slipreel_invariants::repeats::{Effect, Seen};
use slipreel_protocol::http::{Decoder, Item, Limits, Side, Start};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A request class from the point of view of its clients.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Whether its requests may run more than once.
    pub effect: Effect,
    /// How long a client waits for an answer.
    pub deadline: Duration,
}

/// The parameters of the clients.
#[derive(Clone, Debug)]
pub struct ClientLayout {
    /// The routers.
    pub routers: Vec<SocketAddr>,
    /// The classes, with equal probability.
    pub classes: Vec<RequestClass>,
    /// Time from one request to the next.
    pub every: Duration,
    /// When the first request is sent.
    pub start: Duration,
    /// Number of requests, not counting repeats.
    pub requests: u32,
    /// Share of requests whose clients disconnect early.
    pub leaving: f64,
    /// Seed of their random numbers.
    pub seed: u64,
}

/// A request to be sent, for the first time or again.
#[derive(Clone, Debug)]
struct Request {
    name: String,
    class: usize,
    /// The refused request that it repeats.
    repeats: Option<String>,
    /// It was sent before under the same id, on a connection that ended before the request was read.
    is_resent: bool,
}

/// A request in progress.
struct Exchange {
    request: Request,
    due: Duration,
    leaves_at: Option<Duration>,
    decoder: Decoder,
    status: u16,
    on_reused_connection: bool,
    has_answer_bytes: bool,
    /// The part of the request that is still to be sent, and when.
    delayed_part: Option<(Duration, Vec<u8>)>,
    is_sent: bool,
}

/// Clients of all routers of a test day.
pub struct RepeatingClients {
    layout: ClientLayout,
    ledger: SharedLedger,
    random: Random,
    now: Duration,
    started: u32,
    next_at: Option<Duration>,
    next_connection: u64,
    exchanges: BTreeMap<ConnId, Exchange>,
    idle: BTreeMap<SocketAddr, Vec<ConnId>>,
    routers: BTreeMap<ConnId, SocketAddr>,
    to_send: VecDeque<(Duration, Request)>,
    /// Requests with a complete answer.
    pub served: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests that failed, got no answer or were given up.
    pub failed: u32,
}

/// A body long enough to be sent in two pieces.
const BODY: &str = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"a few words"}]}"#;
/// How long after its deadline a client disconnects.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// How long a stream that has begun may take.
const STREAM_TIME: Duration = Duration::from_secs(9);
/// The share of refused requests that are repeated.
const REPEATED_SHARE: f64 = 0.8;

impl RepeatingClients {
    /// Clients with these parameters.
    pub fn new(layout: ClientLayout, ledger: &SharedLedger) -> Self {
        RepeatingClients {
            random: Random::new(layout.seed),
            next_at: Some(layout.start),
            layout,
            ledger: ledger.clone(),
            now: Duration::ZERO,
            started: 0,
            next_connection: 0,
            exchanges: BTreeMap::new(),
            idle: BTreeMap::new(),
            routers: BTreeMap::new(),
            to_send: VecDeque::new(),
            served: 0,
            refused: 0,
            failed: 0,
        }
    }

    fn see(&self, seen: Seen) {
        lock_ledger(&self.ledger).see(self.now, seen);
    }

    fn start_request(&mut self, request: Request, out: &mut Vec<Output>) {
        let class = &self.layout.classes[request.class];
        let due = self.now + class.deadline;
        if !request.is_resent {
            let (name, repeats) = (request.name.clone(), request.repeats.clone());
            self.see(Seen::Asked { request: name, effect: class.effect, repeats });
        }
        let leaves_at =
            self.random.chance(self.layout.leaving).then(|| self.now + self.random.millis(0, 200));
        let router = self.random.one_of(&self.layout.routers);
        let reused = self.idle.get_mut(&router).and_then(Vec::pop);
        let conn = reused.unwrap_or_else(|| {
            self.next_connection += 1;
            ConnId::opened(self.next_connection)
        });
        self.routers.insert(conn, router);
        let exchange = Exchange {
            request,
            due,
            leaves_at,
            decoder: Decoder::new(Side::Client, Limits::default()),
            status: 0,
            on_reused_connection: reused.is_some(),
            has_answer_bytes: false,
            delayed_part: None,
            is_sent: false,
        };
        self.exchanges.insert(conn, exchange);
        match reused {
            Some(conn) => self.send(conn, out),
            None => out.push(Output::Connect(conn, router)),
        }
    }

    fn send(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let in_two_pieces = self.random.chance(0.2);
        let pause = self.random.millis(0, 30);
        let (session, tokens) = (self.random.below(50), 100 + self.random.below(2_000));
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        let time_left = exchange.due.saturating_sub(self.now).as_millis();
        let (name, class) = (&exchange.request.name, &self.layout.classes[exchange.request.class]);
        let mut bytes = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {name}\r\nX-Class: {}\r\n\
             X-Tenant: acme\r\nX-Key: {session:x}\r\nX-Deadline: {time_left}m\r\nIdempotency-Key: {name}\r\n\
             X-Extras: prompt_len={tokens},max_out=80\r\nContent-Length: {}\r\n\r\n{BODY}",
            class.name,
            BODY.len()
        )
        .into_bytes();
        if in_two_pieces {
            let delayed_part = bytes.split_off(bytes.len() - BODY.len() / 2);
            exchange.delayed_part = Some((self.now + pause, delayed_part));
        }
        exchange.is_sent = !in_two_pieces;
        out.push(Output::Write(conn, bytes));
    }

    fn receive(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        exchange.has_answer_bytes = true;
        exchange.decoder.feed(bytes);
        loop {
            match exchange.decoder.next_item() {
                Ok(None) => return,
                Ok(Some(Item::Head(head))) => {
                    if let Start::Response { status } = head.start {
                        exchange.status = status;
                    }
                    if exchange.status == 200 {
                        exchange.due += STREAM_TIME;
                    }
                }
                Ok(Some(Item::Body(_))) => {}
                Ok(Some(Item::End)) => break,
                Err(_) => {
                    out.push(Output::Abort(conn));
                    return self.connection_closed(conn, false);
                }
            }
        }
        self.finish(conn);
    }

    fn finish(&mut self, conn: ConnId) {
        let Some(exchange) = self.exchanges.remove(&conn) else { return };
        match exchange.status {
            200 => self.served += 1,
            429 | 503 => {
                self.refused += 1;
                self.see(Seen::Invited { request: exchange.request.name.clone() });
                self.maybe_repeat(&exchange.request);
            }
            _ => self.failed += 1,
        }
        if let Some(&router) = self.routers.get(&conn) {
            self.idle.entry(router).or_default().push(conn);
        }
    }

    /// Repeats a refused request under a new id, with probability `REPEATED_SHARE`.
    fn maybe_repeat(&mut self, request: &Request) {
        if !self.random.chance(REPEATED_SHARE) {
            return;
        }
        let name = format!("{:x}", self.random.number());
        let repeats = Some(request.name.clone());
        let at = self.now + self.random.millis(0, 1_500);
        self.to_send.push_back((at, Request { name, class: request.class, repeats, is_resent: false }));
    }

    /// Handles the end of a connection. If a reused connection is closed gracefully after a complete request
    /// and before any byte of an answer, the request counts as not read: it is sent once more under its id.
    fn connection_closed(&mut self, conn: ConnId, is_graceful: bool) {
        let Some(router) = self.routers.remove(&conn) else { return };
        self.idle.entry(router).or_default().retain(|&idle| idle != conn);
        let Some(exchange) = self.exchanges.remove(&conn) else { return };
        let is_graceful = is_graceful && !lock_ledger(&self.ledger).was_killed(self.now, router);
        let was_unread = is_graceful
            && exchange.on_reused_connection
            && !exchange.has_answer_bytes
            && exchange.is_sent
            && !exchange.request.is_resent;
        if !was_unread {
            self.failed += 1;
            return;
        }
        self.to_send.push_back((self.now, Request { is_resent: true, ..exchange.request }));
    }

    fn start_due_requests(&mut self, out: &mut Vec<Output>) {
        while self.next_at.is_some_and(|at| at <= self.now) {
            if self.started == self.layout.requests {
                self.next_at = None;
                break;
            }
            self.started += 1;
            self.next_at = self.next_at.map(|at| at + self.layout.every);
            let class = self.random.below(self.layout.classes.len());
            let name = format!("{:x}", self.random.number());
            self.start_request(Request { name, class, repeats: None, is_resent: false }, out);
        }
        let is_due = |(at, _): &(Duration, Request)| *at <= self.now;
        let (now, later): (Vec<_>, Vec<_>) = self.to_send.drain(..).partition(is_due);
        self.to_send.extend(later);
        now.into_iter().for_each(|(_, request)| self.start_request(request, out));
    }

    fn send_delayed_parts(&mut self, out: &mut Vec<Output>) {
        for (&conn, exchange) in &mut self.exchanges {
            if let Some((_, delayed_part)) = exchange.delayed_part.take_if(|(at, _)| *at <= self.now) {
                exchange.is_sent = true;
                out.push(Output::Write(conn, delayed_part));
            }
        }
    }

    fn disconnect_due(&mut self, out: &mut Vec<Output>) {
        let is_leaving = |exchange: &Exchange| {
            exchange.leaves_at.is_some_and(|at| at <= self.now) || self.now > exchange.due + DEADLINE_GRACE
        };
        let leaving: Vec<ConnId> =
            self.exchanges.iter().filter(|(_, e)| is_leaving(e)).map(|(&conn, _)| conn).collect();
        for conn in leaving {
            out.push(Output::Abort(conn));
            self.connection_closed(conn, false);
        }
    }
}

impl Machine for RepeatingClients {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Connected(conn) => self.send(conn, out),
            Input::Data(conn, bytes) => self.receive(conn, bytes, out),
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.connection_closed(conn, true);
            }
            Input::Lost(conn, _) => self.connection_closed(conn, false),
            _ => {}
        }
        self.start_due_requests(out);
        self.send_delayed_parts(out);
        self.disconnect_due(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        let deadlines = self.exchanges.values().flat_map(|exchange| {
            let delayed_part = exchange.delayed_part.as_ref().map(|(at, _)| *at);
            [Some(exchange.due + DEADLINE_GRACE + Duration::from_micros(1)), exchange.leaves_at, delayed_part]
                .into_iter()
                .flatten()
        });
        deadlines.chain(self.to_send.iter().map(|(at, _)| *at)).chain(self.next_at).min()
    }
}
