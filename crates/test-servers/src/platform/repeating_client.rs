//! Clients that ask routers by the settings of a day, repeat what they are invited to repeat, and note both for the judge
//! of repeats.

use super::{lock_ledger, Random, SharedLedger};
use slipreel_invariants::repeats::{Effect, Seen};
use slipreel_protocol::http::{Decoder, Item, Limits, Side, Start};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A class of requests as its clients know it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// How often its requests may run.
    pub effect: Effect,
    /// How long a client waits.
    pub deadline: Duration,
}

/// How clients behave.
#[derive(Clone, Debug)]
pub struct ClientLayout {
    /// The routers.
    pub routers: Vec<SocketAddr>,
    /// The classes, each as likely as any other.
    pub classes: Vec<RequestClass>,
    /// From one request to the next.
    pub every: Duration,
    /// When the first is sent.
    pub start: Duration,
    /// How many are asked, repeats not counted.
    pub requests: u32,
    /// The share of requests whose clients leave early.
    pub leaving: f64,
    /// For their chances.
    pub seed: u64,
}

/// A request that is to be sent, first or again.
#[derive(Clone, Debug)]
struct Asking {
    name: String,
    class: usize,
    /// The request whose refusal invited it.
    repeats: Option<String>,
    /// It was sent before under the same id, and its connection ended unread.
    resent: bool,
}

struct Open {
    asking: Asking,
    due: Duration,
    leaves: Option<Duration>,
    decoder: Decoder,
    status: u16,
    kept_connection: bool,
    heard: bool,
    /// What of the request is still to be sent, and when.
    rest: Option<(Duration, Vec<u8>)>,
    sent: bool,
}

/// Clients of all routers of a day.
pub struct RepeatingClients {
    layout: ClientLayout,
    ledger: SharedLedger,
    random: Random,
    now: Duration,
    asked: u32,
    next_at: Option<Duration>,
    next_connection: u64,
    open: BTreeMap<ConnId, Open>,
    idle: BTreeMap<SocketAddr, Vec<ConnId>>,
    targets: BTreeMap<ConnId, SocketAddr>,
    again: VecDeque<(Duration, Asking)>,
    /// Requests that were served whole.
    pub served: u32,
    /// Requests that were turned away.
    pub refused: u32,
    /// Requests that failed, were left without an answer or were given up.
    pub failed: u32,
}

/// A body long enough to be sent in two pieces.
const BODY: &str = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"a few words"}]}"#;
/// How long after its deadline a client closes.
const GRACE: Duration = Duration::from_millis(500);
/// How long a stream that has begun may take.
const STREAM_TIME: Duration = Duration::from_secs(9);
/// The share of refused requests that are repeated.
const REPEATED_SHARE: f64 = 0.8;

impl RepeatingClients {
    /// Clients of this layout.
    pub fn new(layout: ClientLayout, ledger: &SharedLedger) -> Self {
        RepeatingClients {
            random: Random::new(layout.seed),
            next_at: Some(layout.start),
            layout,
            ledger: ledger.clone(),
            now: Duration::ZERO,
            asked: 0,
            next_connection: 0,
            open: BTreeMap::new(),
            idle: BTreeMap::new(),
            targets: BTreeMap::new(),
            again: VecDeque::new(),
            served: 0,
            refused: 0,
            failed: 0,
        }
    }

    fn see(&self, seen: Seen) {
        lock_ledger(&self.ledger).see(self.now, seen);
    }

    fn ask(&mut self, asking: Asking, out: &mut Vec<Output>) {
        let class = &self.layout.classes[asking.class];
        let due = self.now + class.deadline;
        if !asking.resent {
            let (request, repeats) = (asking.name.clone(), asking.repeats.clone());
            self.see(Seen::Asked { request, effect: class.effect, repeats });
        }
        let leaves = self.random.chance(self.layout.leaving).then(|| self.now + self.random.millis(0, 200));
        let router = self.random.one_of(&self.layout.routers);
        let kept = self.idle.get_mut(&router).and_then(Vec::pop);
        let conn = kept.unwrap_or_else(|| {
            self.next_connection += 1;
            ConnId::opened(self.next_connection)
        });
        self.targets.insert(conn, router);
        let open = Open {
            asking,
            due,
            leaves,
            decoder: Decoder::new(Side::Client, Limits::default()),
            status: 0,
            kept_connection: kept.is_some(),
            heard: false,
            rest: None,
            sent: false,
        };
        self.open.insert(conn, open);
        match kept {
            Some(conn) => self.send(conn, out),
            None => out.push(Output::Connect(conn, router)),
        }
    }

    fn send(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        let in_two_pieces = self.random.chance(0.2);
        let pause = self.random.millis(0, 30);
        let (session, tokens) = (self.random.below(50), 100 + self.random.below(2_000));
        let Some(open) = self.open.get_mut(&conn) else { return };
        let left = open.due.saturating_sub(self.now).as_millis();
        let (name, class) = (&open.asking.name, &self.layout.classes[open.asking.class]);
        let mut bytes = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {name}\r\nX-Class: {}\r\n\
             X-Tenant: acme\r\nX-Key: {session:x}\r\nX-Deadline: {left}m\r\nIdempotency-Key: {name}\r\n\
             X-Extras: prompt_len={tokens},max_out=80\r\nContent-Length: {}\r\n\r\n{BODY}",
            class.name,
            BODY.len()
        )
        .into_bytes();
        if in_two_pieces {
            let rest = bytes.split_off(bytes.len() - BODY.len() / 2);
            open.rest = Some((self.now + pause, rest));
        }
        open.sent = !in_two_pieces;
        out.push(Output::Write(conn, bytes));
    }

    fn data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        open.heard = true;
        open.decoder.feed(bytes);
        loop {
            match open.decoder.next_item() {
                Ok(None) => return,
                Ok(Some(Item::Head(head))) => {
                    if let Start::Response { status } = head.start {
                        open.status = status;
                    }
                    if open.status == 200 {
                        open.due += STREAM_TIME;
                    }
                }
                Ok(Some(Item::Body(_))) => {}
                Ok(Some(Item::End)) => break,
                Err(_) => {
                    out.push(Output::Abort(conn));
                    return self.closed(conn, false);
                }
            }
        }
        self.answered(conn);
    }

    fn answered(&mut self, conn: ConnId) {
        let Some(open) = self.open.remove(&conn) else { return };
        match open.status {
            200 => self.served += 1,
            429 | 503 => {
                self.refused += 1;
                self.see(Seen::Invited { request: open.asking.name.clone() });
                self.repeat(&open.asking);
            }
            _ => self.failed += 1,
        }
        if let Some(&router) = self.targets.get(&conn) {
            self.idle.entry(router).or_default().push(conn);
        }
    }

    fn repeat(&mut self, asking: &Asking) {
        if !self.random.chance(REPEATED_SHARE) {
            return;
        }
        let name = format!("{:x}", self.random.number());
        let repeats = Some(asking.name.clone());
        let at = self.now + self.random.millis(0, 1_500);
        self.again.push_back((at, Asking { name, class: asking.class, repeats, resent: false }));
    }

    /// A connection has ended. A whole request on a kept one that ended in order without a byte of an answer counts as one
    /// that was not read: it is sent once more under its id.
    fn closed(&mut self, conn: ConnId, in_order: bool) {
        let Some(router) = self.targets.remove(&conn) else { return };
        self.idle.entry(router).or_default().retain(|&idle| idle != conn);
        let Some(open) = self.open.remove(&conn) else { return };
        let in_order = in_order && !lock_ledger(&self.ledger).was_killed(self.now, router);
        let unread = in_order && open.kept_connection && !open.heard && open.sent && !open.asking.resent;
        if !unread {
            self.failed += 1;
            return;
        }
        self.again.push_back((self.now, Asking { resent: true, ..open.asking }));
    }

    fn ask_what_is_due(&mut self, out: &mut Vec<Output>) {
        while self.next_at.is_some_and(|at| at <= self.now) {
            if self.asked == self.layout.requests {
                self.next_at = None;
                break;
            }
            self.asked += 1;
            self.next_at = self.next_at.map(|at| at + self.layout.every);
            let class = self.random.below(self.layout.classes.len());
            let name = format!("{:x}", self.random.number());
            self.ask(Asking { name, class, repeats: None, resent: false }, out);
        }
        let due = |(at, _): &(Duration, Asking)| *at <= self.now;
        let (now, later): (Vec<_>, Vec<_>) = self.again.drain(..).partition(due);
        self.again.extend(later);
        now.into_iter().for_each(|(_, asking)| self.ask(asking, out));
    }

    fn send_rests(&mut self, out: &mut Vec<Output>) {
        for (&conn, open) in &mut self.open {
            if let Some((_, rest)) = open.rest.take_if(|(at, _)| *at <= self.now) {
                open.sent = true;
                out.push(Output::Write(conn, rest));
            }
        }
    }

    fn leave(&mut self, out: &mut Vec<Output>) {
        let leaves =
            |open: &Open| open.leaves.is_some_and(|at| at <= self.now) || self.now > open.due + GRACE;
        let leaving: Vec<ConnId> =
            self.open.iter().filter(|(_, o)| leaves(o)).map(|(&conn, _)| conn).collect();
        for conn in leaving {
            out.push(Output::Abort(conn));
            self.closed(conn, false);
        }
    }
}

impl Machine for RepeatingClients {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Connected(conn) => self.send(conn, out),
            Input::Data(conn, bytes) => self.data(conn, bytes, out),
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.closed(conn, true);
            }
            Input::Lost(conn, _) => self.closed(conn, false),
            _ => {}
        }
        self.ask_what_is_due(out);
        self.send_rests(out);
        self.leave(out);
    }

    fn wake_at(&self) -> Option<Duration> {
        let open = self.open.values().flat_map(|open| {
            let rest = open.rest.as_ref().map(|(at, _)| *at);
            [Some(open.due + GRACE + Duration::from_micros(1)), open.leaves, rest].into_iter().flatten()
        });
        open.chain(self.again.iter().map(|(at, _)| *at)).chain(self.next_at).min()
    }
}
