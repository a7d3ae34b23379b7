//! Clients that send requests at a constant rate and record how each ended.

use super::{events_in, lock_shared, Shared};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use slipreel_invariants::terms::shares::Traits;
use slipreel_invariants::terms::{Answer, Seen};
use slipreel_protocol::http::{Decoder, Item, Limits, Side, Start};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// A complete stream of this request's own events.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer, or a stream that ended without its last chunk.
    Failed,
    /// Its client disconnected.
    Left,
    /// No answer arrived in time, or the connection ended without one.
    Lost,
    /// The answer is malformed or belongs to another request.
    Mixed,
}

/// A request in progress.
struct Exchange {
    name: String,
    due: Duration,
    decoder: Decoder,
    status: u16,
    body: Vec<u8>,
    leaves_at: Option<Duration>,
    /// The request is the first on its connection.
    first_on_connection: bool,
    /// The request was written; on a connection that is never established it is not.
    sent: bool,
}

/// Many clients. Each request is sent on an idle connection or else on a new one; some connections are not
/// reused.
pub struct Clients {
    target: SocketAddr,
    classes: Vec<String>,
    interval: Duration,
    requests_left: u32,
    next_at: Option<Duration>,
    rng: Xoshiro256PlusPlus,
    last_number: u64,
    idle: Vec<ConnId>,
    exchanges: BTreeMap<ConnId, Exchange>,
    /// Where they record the work of each request and what they observe.
    shared: Shared,
    /// Share of requests whose clients disconnect early.
    leaving_share: f64,
    /// Number of requests by how they ended.
    pub endings: BTreeMap<Ending, u32>,
    /// Descriptions of requests that ended in a way that is not allowed.
    pub odd: Vec<String>,
    /// The time of the last input.
    now: Duration,
}

/// How long a client waits for an answer to begin.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// How long after the last event of its stream a client may be left waiting, from the protocol: 5 s, and 50 ms
/// that every limit on sockets gets.
const MAX_WAIT_AFTER_EVENT: Duration = Duration::from_millis(5_050);

impl Clients {
    /// `count` requests, one every `interval` from `start` on.
    pub fn new(
        target: SocketAddr, classes: &[&str], interval: Duration, count: u32, start: Duration, seed: u64,
    ) -> Self {
        Clients {
            target,
            classes: classes.iter().map(|&c| c.to_owned()).collect(),
            interval,
            requests_left: count,
            next_at: Some(start),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            last_number: 0,
            idle: Vec::new(),
            exchanges: BTreeMap::new(),
            shared: Shared::default(),
            leaving_share: 0.05,
            endings: BTreeMap::new(),
            odd: Vec::new(),
            now: start,
        }
    }

    /// Records in `shared` what the checker of the terms needs, and sets the share of clients that disconnect
    /// early.
    #[must_use]
    pub fn recording_in(mut self, shared: &Shared, leaving_share: f64) -> Self {
        (self.shared, self.leaving_share) = (shared.clone(), leaving_share);
        self
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn finish(&mut self, conn: ConnId, ending: Ending) {
        let Some(exchange) = self.exchanges.remove(&conn) else { return };
        *self.endings.entry(ending).or_default() += 1;
        let answer = match ending {
            Ending::Served => Some(Answer::Served),
            Ending::Refused => Some(Answer::Refused),
            Ending::Failed | Ending::Mixed => Some(Answer::Failed),
            Ending::Lost | Ending::Left => None,
        };
        if let Some(answer) = answer {
            lock_shared(&self.shared)
                .see(self.now, Seen::Answered { request: exchange.name.clone(), answer });
        }
        if matches!(ending, Ending::Lost | Ending::Mixed) {
            self.odd.push(format!("{} {ending:?} status {}", exchange.name, exchange.status));
        }
    }

    fn start_request(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.last_number += 1;
        let leaves_at = (self.draw(20) < (self.leaving_share * 20.0) as u64)
            .then(|| now + Duration::from_millis(self.draw(200)));
        let exchange = Exchange {
            name: format!("{:x}", self.rng.next_u64()),
            due: now + DEADLINE,
            decoder: Decoder::new(Side::Client, Limits::default()),
            status: 0,
            body: Vec::new(),
            leaves_at,
            first_on_connection: self.idle.is_empty(),
            sent: false,
        };
        if let Some(conn) = self.idle.pop() {
            let name = exchange.name.clone();
            self.exchanges.insert(conn, exchange);
            self.send(conn, &name, out);
        } else {
            let conn = ConnId::opened(self.last_number);
            out.push(Output::Connect(conn, self.target));
            self.exchanges.insert(conn, exchange);
        }
    }

    fn send(&mut self, conn: ConnId, name: &str, out: &mut Vec<Output>) {
        let class = self.draw(self.classes.len() as u64) as usize;
        let (class, session, tokens) =
            (&self.classes[class].clone(), self.draw(50) + 1, 100 + self.draw(2_000));
        // A request of the mean of the drawn lengths has mean work.
        lock_shared(&self.shared).work.insert(name.to_owned(), tokens as f64 / 1_100.0);
        let traits = Traits {
            class: class.clone(),
            effect: "untold".to_owned(),
            tenant: "acme".to_owned(),
            session,
            prompt_tokens: tokens as f64,
        };
        lock_shared(&self.shared).see(self.now, Seen::Described { request: name.to_owned(), traits });
        let body = "{\"stream\":true}";
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {name}\r\nX-Class: {class}\r\n\
             X-Tenant: acme\r\nX-Key: {session:x}\r\nX-Deadline: {}m\r\nX-Extras: prompt_len={tokens},max_out=80\r\n\
             Content-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len()
        );
        out.push(Output::Write(conn, text.into_bytes()));
        // The time that a client waits counts from its send, however late the connection was established.
        let due = self.now + DEADLINE;
        if let Some(exchange) = self.exchanges.get_mut(&conn) {
            (exchange.sent, exchange.due) = (true, due);
        }
        let router = self.target.to_string();
        lock_shared(&self.shared).see(self.now, Seen::Sent { router, request: name.to_owned(), due });
    }

    fn receive(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        exchange.decoder.feed(bytes);
        let old_len = exchange.body.len();
        let has_ended = loop {
            match exchange.decoder.next_item() {
                Ok(None) => break false,
                Ok(Some(Item::Head(head))) => {
                    if let Start::Response { status } = head.start {
                        exchange.status = status;
                    }
                }
                Ok(Some(Item::Body(piece))) => {
                    exchange.body.extend_from_slice(&piece);
                    if exchange.status == 200 {
                        // A stream that has begun has no deadline, but it has to continue.
                        exchange.due = now + MAX_WAIT_AFTER_EVENT;
                    }
                }
                Ok(Some(Item::End)) => break true,
                Err(_) => {
                    out.push(Output::Abort(conn));
                    return self.finish(conn, Ending::Mixed);
                }
            }
        };
        if exchange.status == 200 && exchange.body.len() > old_len {
            let event =
                Seen::EventsPassed { request: exchange.name.clone(), events: events_in(&exchange.body) };
            lock_shared(&self.shared).see(now, event);
        }
        if !has_ended {
            return;
        }
        let own_events = String::from_utf8_lossy(&exchange.body).matches(&exchange.name).count();
        let is_complete = exchange.body.ends_with(b"data: [DONE]\n\n") && own_events >= 3;
        let ending = match exchange.status {
            200 if is_complete => Ending::Served,
            200 => Ending::Mixed,
            429 | 503 => Ending::Refused,
            _ => Ending::Failed,
        };
        self.finish(conn, ending);
        // One in four connections is used once and then stays open.
        if self.draw(4) > 0 {
            self.idle.push(conn);
        }
    }

    fn connection_closed(&mut self, conn: ConnId) {
        self.idle.retain(|&c| c != conn);
        if let Some(exchange) =
            self.exchanges.get(&conn).filter(|exchange| exchange.sent && exchange.status == 0)
        {
            let (router, request) = (self.target.to_string(), exchange.name.clone());
            let first_on_connection = exchange.first_on_connection;
            let event = Seen::ClosedUnanswered { router, request, first_on_connection };
            lock_shared(&self.shared).see(self.now, event);
        }
        let is_broken = self.exchanges.get(&conn).is_some_and(|e| e.status == 200);
        self.finish(conn, if is_broken { Ending::Failed } else { Ending::Lost });
    }
}

impl Machine for Clients {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Connected(conn) => {
                let Some(name) = self.exchanges.get(&conn).map(|e| e.name.clone()) else { return };
                self.send(conn, &name, out);
            }
            Input::Data(conn, bytes) => self.receive(now, conn, bytes, out),
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.connection_closed(conn);
            }
            Input::Lost(conn, _) => self.connection_closed(conn),
            _ => {}
        }
        while self.next_at.is_some_and(|at| at <= now) {
            if self.requests_left == 0 {
                self.next_at = None;
                break;
            }
            self.requests_left -= 1;
            self.next_at = self.next_at.map(|at| at + self.interval);
            self.start_request(now, out);
        }
        let overdue: Vec<ConnId> =
            self.exchanges.iter().filter(|(_, e)| now > e.due).map(|(&c, _)| c).collect();
        for conn in overdue {
            out.push(Output::Abort(conn));
            self.finish(conn, Ending::Lost);
        }
        let is_leaving = |e: &Exchange| e.leaves_at.is_some_and(|at| at <= now);
        let leaving: Vec<ConnId> =
            self.exchanges.iter().filter(|(_, e)| is_leaving(e)).map(|(&c, _)| c).collect();
        for conn in leaving {
            out.push(Output::Abort(conn));
            if let Some(exchange) = self.exchanges.get(&conn) {
                lock_shared(&self.shared).see(now, Seen::ClientGone { request: exchange.name.clone() });
            }
            self.finish(conn, Ending::Left);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let deadlines = self
            .exchanges
            .values()
            .map(|e| (e.due + Duration::from_micros(1)).min(e.leaves_at.unwrap_or(e.due)));
        deadlines.chain(self.next_at).min()
    }
}
