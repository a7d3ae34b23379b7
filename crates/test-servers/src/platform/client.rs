//! Clients that ask at a steady rate and note how each request ended.

use super::{events_in, look, Shared};
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
    /// A whole stream of this request's own events.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer, or a stream that ended without its last chunk.
    Failed,
    /// Its client left.
    Left,
    /// Nothing came in time, or the connection ended without an answer.
    Lost,
    /// What came is none of this request's.
    Mixed,
}

struct Open {
    name: String,
    due: Duration,
    decoder: Decoder,
    status: u16,
    body: Vec<u8>,
    leaves: Option<Duration>,
    /// Its request is the first on its connection.
    first_on_connection: bool,
    /// Its request was written; a connection that never came to stand has carried none.
    sent: bool,
}

/// Many clients: each request on a connection that is free, else on a new one; some never come again.
pub struct Clients {
    target: SocketAddr,
    classes: Vec<String>,
    every: Duration,
    left: u32,
    next_at: Option<Duration>,
    rng: Xoshiro256PlusPlus,
    next: u64,
    idle: Vec<ConnId>,
    open: BTreeMap<ConnId, Open>,
    /// Where they note what each request is worth of work, and when they leave.
    shared: Shared,
    /// Share of requests whose clients leave before the answer.
    leaving: f64,
    /// How many ended how.
    pub endings: BTreeMap<Ending, u32>,
    /// Names of those that must not be.
    pub odd: Vec<String>,
    /// The time of the last input.
    now: Duration,
}

const DEADLINE: Duration = Duration::from_millis(3_000);
/// A stream's time, and what the protocol adds.
const PATIENCE: Duration = Duration::from_millis(9_000);

impl Clients {
    /// `count` requests, one every `every` from `start` on.
    pub fn new(
        target: SocketAddr, classes: &[&str], every: Duration, count: u32, start: Duration, seed: u64,
    ) -> Self {
        Clients {
            target,
            classes: classes.iter().map(|&c| c.to_owned()).collect(),
            every,
            left: count,
            next_at: Some(start),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            next: 0,
            idle: Vec::new(),
            open: BTreeMap::new(),
            shared: Shared::default(),
            leaving: 0.05,
            endings: BTreeMap::new(),
            odd: Vec::new(),
            now: start,
        }
    }

    /// The same, noting in `shared` what the judge of the terms goes by, and with this share of them leaving early.
    #[must_use]
    pub fn noting(mut self, shared: &Shared, leaving: f64) -> Self {
        (self.shared, self.leaving) = (shared.clone(), leaving);
        self
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn end(&mut self, conn: ConnId, ending: Ending) {
        let Some(open) = self.open.remove(&conn) else { return };
        *self.endings.entry(ending).or_default() += 1;
        let answer = match ending {
            Ending::Served => Some(Answer::Served),
            Ending::Refused => Some(Answer::Refused),
            Ending::Failed | Ending::Mixed => Some(Answer::Failed),
            Ending::Lost | Ending::Left => None,
        };
        if let Some(answer) = answer {
            look(&self.shared).see(self.now, Seen::Answered { request: open.name.clone(), answer });
        }
        if matches!(ending, Ending::Lost | Ending::Mixed) {
            self.odd.push(format!("{} {ending:?} status {}", open.name, open.status));
        }
    }

    fn ask(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.next += 1;
        let leaves = (self.draw(20) < (self.leaving * 20.0) as u64)
            .then(|| now + Duration::from_millis(self.draw(200)));
        let open = Open {
            name: format!("{:x}", self.rng.next_u64()),
            due: now + DEADLINE,
            decoder: Decoder::new(Side::Client, Limits::default()),
            status: 0,
            body: Vec::new(),
            leaves,
            first_on_connection: self.idle.is_empty(),
            sent: false,
        };
        if let Some(conn) = self.idle.pop() {
            let name = open.name.clone();
            self.open.insert(conn, open);
            self.send(conn, &name, out);
        } else {
            let conn = ConnId::opened(self.next);
            out.push(Output::Connect(conn, self.target));
            self.open.insert(conn, open);
        }
    }

    fn send(&mut self, conn: ConnId, name: &str, out: &mut Vec<Output>) {
        let class = self.draw(self.classes.len() as u64) as usize;
        let (class, session, tokens) =
            (&self.classes[class].clone(), self.draw(50) + 1, 100 + self.draw(2_000));
        // Of the lengths drawn the mean is one request of mean work.
        look(&self.shared).work.insert(name.to_owned(), tokens as f64 / 1_100.0);
        let traits = Traits {
            class: class.clone(),
            effect: "untold".to_owned(),
            tenant: "acme".to_owned(),
            session,
            prompt_tokens: tokens as f64,
        };
        look(&self.shared).see(self.now, Seen::Described { request: name.to_owned(), traits });
        let body = "{\"stream\":true}";
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {name}\r\nX-Class: {class}\r\n\
             X-Tenant: acme\r\nX-Key: {session:x}\r\nX-Deadline: {}m\r\nX-Extras: prompt_len={tokens},max_out=80\r\n\
             Content-Length: {}\r\n\r\n{body}",
            DEADLINE.as_millis(),
            body.len()
        );
        out.push(Output::Write(conn, text.into_bytes()));
        let due = self.open.get_mut(&conn).map_or(self.now + DEADLINE, |open| {
            open.sent = true;
            open.due
        });
        let router = self.target.to_string();
        look(&self.shared).see(self.now, Seen::Sent { router, request: name.to_owned(), due });
    }

    fn data(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        open.decoder.feed(bytes);
        let before = open.body.len();
        let is_whole = loop {
            match open.decoder.next_item() {
                Ok(None) => break false,
                Ok(Some(Item::Head(head))) => {
                    if let Start::Response { status } = head.start {
                        open.status = status;
                    }
                }
                Ok(Some(Item::Body(piece))) => {
                    let first = open.body.is_empty();
                    open.body.extend_from_slice(&piece);
                    if open.status == 200 && first {
                        // Once it has begun there is no deadline, but it has to go on.
                        open.due += PATIENCE;
                    }
                }
                Ok(Some(Item::End)) => break true,
                Err(_) => {
                    out.push(Output::Abort(conn));
                    return self.end(conn, Ending::Mixed);
                }
            }
        };
        if open.status == 200 && open.body.len() > before {
            let passed = Seen::EventsPassed { request: open.name.clone(), events: events_in(&open.body) };
            look(&self.shared).see(now, passed);
        }
        if !is_whole {
            return;
        }
        let own = String::from_utf8_lossy(&open.body).matches(&open.name).count();
        let whole = open.body.ends_with(b"data: [DONE]\n\n") && own >= 3;
        let ending = match open.status {
            200 if whole => Ending::Served,
            200 => Ending::Mixed,
            429 | 503 => Ending::Refused,
            _ => Ending::Failed,
        };
        self.end(conn, ending);
        // One in four asks once and keeps its connection for good.
        if self.draw(4) > 0 {
            self.idle.push(conn);
        }
    }

    fn closed(&mut self, conn: ConnId) {
        self.idle.retain(|&c| c != conn);
        if let Some(open) = self.open.get(&conn).filter(|open| open.sent && open.status == 0) {
            let (router, request) = (self.target.to_string(), open.name.clone());
            let first_on_connection = open.first_on_connection;
            let closed = Seen::ClosedUnanswered { router, request, first_on_connection };
            look(&self.shared).see(self.now, closed);
        }
        let broken = self.open.get(&conn).is_some_and(|o| o.status == 200);
        self.end(conn, if broken { Ending::Failed } else { Ending::Lost });
    }
}

impl Machine for Clients {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Connected(conn) => {
                let Some(name) = self.open.get(&conn).map(|o| o.name.clone()) else { return };
                self.send(conn, &name, out);
            }
            Input::Data(conn, bytes) => self.data(now, conn, bytes, out),
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.closed(conn);
            }
            Input::Lost(conn, _) => self.closed(conn),
            _ => {}
        }
        while self.next_at.is_some_and(|at| at <= now) {
            if self.left == 0 {
                self.next_at = None;
                break;
            }
            self.left -= 1;
            self.next_at = self.next_at.map(|at| at + self.every);
            self.ask(now, out);
        }
        let late: Vec<ConnId> = self.open.iter().filter(|(_, o)| now > o.due).map(|(&c, _)| c).collect();
        for conn in late {
            out.push(Output::Abort(conn));
            self.end(conn, Ending::Lost);
        }
        let leaving = |o: &Open| o.leaves.is_some_and(|at| at <= now);
        let leaving: Vec<ConnId> = self.open.iter().filter(|(_, o)| leaving(o)).map(|(&c, _)| c).collect();
        for conn in leaving {
            out.push(Output::Abort(conn));
            if let Some(open) = self.open.get(&conn) {
                look(&self.shared).see(now, Seen::ClientGone { request: open.name.clone() });
            }
            self.end(conn, Ending::Left);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let open =
            self.open.values().map(|o| (o.due + Duration::from_micros(1)).min(o.leaves.unwrap_or(o.due)));
        open.chain(self.next_at).min()
    }
}
