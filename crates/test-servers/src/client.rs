//! Clients that follow a script: each request is asked at its time, whatever became of the others (open loop), its
//! answer is checked to the byte, and what was seen is noted for the rule checker.

use crate::ledger::Ledger;
use crate::mark::{self, Mark};
use serde_json::{json, Value};
use slipreel_invariants::{ClientAttempt, Effect, Ending, Seen};
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits, Side, Start};
use slipreel_protocol::sse;
use slipreel_state_machine::{ConnId, ConnectionLoss, Input, Machine, Output};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A client waits so long past its deadline before it calls the answer missing.
const GRACE: Duration = Duration::from_millis(200);
/// A stream that says nothing for so long is given up by its client.
const SILENCE: Duration = Duration::from_secs(60);

/// How a client behaves on one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Habit {
    /// Asks and takes the answer.
    #[default]
    Plain,
    /// Leaves after this time if the answer has not ended.
    LeavesAfter(Duration),
    /// Leaves when so many tokens have come.
    LeavesAtToken(u32),
    /// Sends no more after its request, and reads on.
    HalfCloses,
    /// Sends one byte each so often.
    SendsSlowly(Duration),
    /// Takes nothing for this time once the answer has begun, then goes on.
    StopsReading(Duration),
}

/// One request of the script.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When it is asked, on the clock of the run.
    pub at: Duration,
    /// Its number; unique.
    pub request: u64,
    /// The model that it names.
    pub model: String,
    /// What it does when it runs, as its class says.
    pub effect: Effect,
    /// The key that it is asked with.
    pub key: String,
    /// Names the session, as `metadata.user_id`.
    pub session: String,
    /// The shared beginning, as `system`.
    pub system: String,
    /// The text of the prompt, before the mark.
    pub prompt: String,
    /// Tokens that the answer will have.
    pub length: u32,
    /// Tokens that it may have.
    pub max_tokens: u32,
    /// Whether it asks for a stream.
    pub stream: bool,
    /// How long the client waits for the answer to begin.
    pub patience: Duration,
    /// How often it tries in all.
    pub tries: u32,
    /// Its wait before another try, unless it is told one that it heeds.
    pub backoff: Duration,
    /// Whether it heeds `retry-after`.
    pub heeds: bool,
    /// How it behaves.
    pub habit: Habit,
}

/// How a try ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Result {
    /// Which try.
    pub what: ClientAttempt,
    /// The model asked for.
    pub model: String,
    /// The key asked with.
    pub key: String,
    /// What the request does when it runs.
    pub effect: Effect,
    /// The router asked, as a position among the targets.
    pub router: usize,
    /// The final answer; `None` if it left or was cut off.
    pub ending: Option<Ending>,
    /// Its connection ended before its answer was whole, and not by its own will.
    pub is_unanswered: bool,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
    /// The type of the error, if it was one.
    pub error: String,
    /// When it was due to be asked.
    pub due: Duration,
    /// When the answer began.
    pub began: Option<Duration>,
    /// When it ended.
    pub ended: Duration,
    /// Tokens that came.
    pub tokens: u32,
    /// What is wrong with what came, if anything is.
    pub fault: Option<String>,
    /// What the client was told to wait.
    pub come_back: Option<Duration>,
    /// What the client was told of trying again.
    pub should_retry: Option<bool>,
}

struct Open {
    plan: usize,
    what: ClientAttempt,
    due: Duration,
    deadline: Duration,
    target: usize,
    is_unanswered: bool,
    decoder: Decoder,
    events: sse::Decoder,
    request: Vec<u8>,
    status: u16,
    stream: bool,
    body: Vec<u8>,
    text: String,
    tokens: u32,
    /// Grammar of the events: how far the message has come.
    place: Place,
    began: Option<Duration>,
    heard: Duration,
    error: Option<String>,
    fault: Option<String>,
    stop_reason: Option<String>,
    come_back: Option<Duration>,
    should_retry: Option<bool>,
    paused_until: Option<Duration>,
    was_paused: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Start,
    Message,
    Block(usize),
    Delta,
    Stop,
}

enum Alarm {
    Ask { plan: usize, number: u32, due: Duration },
    Check(ConnId),
    SendByte(ConnId),
}

/// A crowd of clients that follows a script.
pub struct Clients {
    plans: Vec<Plan>,
    targets: Vec<SocketAddr>,
    ledger: Ledger,
    alarms: BTreeMap<(Duration, u64), Alarm>,
    next: u64,
    open: BTreeMap<ConnId, Open>,
    results: Vec<Result>,
    /// Connections that are kept for the next request, by target.
    idle: Vec<VecDeque<ConnId>>,
    keeps_alive: bool,
    left: usize,
    stopped: bool,
}

impl Clients {
    /// Clients of routers at `targets`. With `keeps_alive` connections are used again.
    pub fn new(plans: Vec<Plan>, targets: Vec<SocketAddr>, ledger: Ledger, keeps_alive: bool) -> Self {
        let mut clients = Clients {
            left: plans.len(),
            idle: targets.iter().map(|_| VecDeque::new()).collect(),
            plans,
            targets,
            ledger,
            alarms: BTreeMap::new(),
            next: 0,
            open: BTreeMap::new(),
            results: Vec::new(),
            keeps_alive,
            stopped: false,
        };
        for plan in 0..clients.plans.len() {
            let at = clients.plans[plan].at;
            clients.alarm(at, Alarm::Ask { plan, number: 0, due: at });
        }
        clients
    }

    /// How the tries ended so far, in the order of their ends.
    pub fn results(&self) -> &[Result] {
        &self.results
    }

    /// Requests that are not over.
    pub fn left(&self) -> usize {
        self.left
    }

    fn alarm(&mut self, at: Duration, alarm: Alarm) {
        self.next += 1;
        self.alarms.insert((at, self.next), alarm);
    }

    fn ask(&mut self, now: Duration, plan: usize, number: u32, due: Duration, out: &mut Vec<Output>) {
        let p = &self.plans[plan];
        let what = ClientAttempt { request: p.request, number };
        let mark = Mark { what, length: p.length, effect: p.effect };
        let content = format!("{} {}", p.prompt, mark.text());
        let body = json!({
            "model": p.model, "max_tokens": p.max_tokens, "stream": p.stream, "system": p.system,
            "metadata": {"user_id": p.session}, "messages": [{"role": "user", "content": content}],
        })
        .to_string();
        let (timeout, retries) = (p.patience.as_secs_f64().to_string(), number.to_string());
        let key = format!("k{}", p.request);
        let mut fields = vec![
            ("host", "slipreel"),
            ("content-type", "application/json"),
            ("x-api-key", p.key.as_str()),
            ("x-stainless-timeout", timeout.as_str()),
            ("x-stainless-retry-count", retries.as_str()),
        ];
        if p.effect == Effect::Keyed {
            fields.push(("idempotency-key", key.as_str()));
        }
        let mut request = http::request_head("POST", "/v1/messages", &fields, Framing::Length(body.len()));
        request.extend_from_slice(body.as_bytes());
        // Another try goes elsewhere: the router that was asked first may be gone.
        let target = (p.request as usize + number as usize) % self.targets.len();
        let (effect, deadline) = (p.effect, now + p.patience);
        let plain = matches!(p.habit, Habit::Plain);
        self.ledger.note(now, Seen::Asked { attempt: what, effect, deadline });
        let limits = Limits { body: u64::MAX, ..Limits::default() };
        let open = Open {
            plan,
            what,
            due,
            deadline,
            target,
            is_unanswered: false,
            decoder: Decoder::new(Side::Client, limits),
            events: sse::Decoder::new(1 << 20),
            request,
            status: 0,
            stream: false,
            body: Vec::new(),
            text: String::new(),
            tokens: 0,
            place: Place::Start,
            began: None,
            heard: now,
            error: None,
            fault: None,
            stop_reason: None,
            come_back: None,
            should_retry: None,
            paused_until: None,
            was_paused: false,
        };
        let reused = if plain && self.keeps_alive { self.idle[target].pop_back() } else { None };
        let conn = reused.unwrap_or_else(|| {
            self.next += 1;
            ConnId::opened(self.next)
        });
        self.open.insert(conn, open);
        self.alarm(deadline + GRACE, Alarm::Check(conn));
        if let Habit::LeavesAfter(after) = self.plans[plan].habit {
            self.alarm(now + after, Alarm::Check(conn));
        }
        match reused {
            Some(_) => self.send(now, conn, out),
            None => out.push(Output::Connect(conn, self.targets[target])),
        }
    }

    fn send(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        if let Habit::SendsSlowly(_) = self.plans[open.plan].habit {
            return self.alarm(now, Alarm::SendByte(conn));
        }
        out.push(Output::Write(conn, std::mem::take(&mut open.request)));
    }

    fn send_byte(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        let Habit::SendsSlowly(each) = self.plans[open.plan].habit else { return };
        if !open.request.is_empty() {
            out.push(Output::Write(conn, vec![open.request.remove(0)]));
            self.alarm(now + each, Alarm::SendByte(conn));
        }
    }

    fn data(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else {
            return;
        };
        open.heard = now;
        open.decoder.feed(bytes);
        loop {
            let Some(open) = self.open.get_mut(&conn) else { return };
            match open.decoder.next_item() {
                Ok(Some(Item::Head(head))) => {
                    let Start::Response { status } = head.start else { return };
                    if status < 200 {
                        continue;
                    }
                    open.status = status;
                    let epoch = head.get("x-slipreel-policy").and_then(|e| e.parse().ok());
                    let (router, on) = (
                        format!("r{}", open.target),
                        slipreel_invariants::policy::StampedMessage::Answer(status),
                    );
                    self.ledger.note(now, Seen::Stamped { router, attempt: open.what, epoch, on });
                    open.stream = head.get("content-type") == Some("text/event-stream");
                    let ms = |name: &str| head.get(name).and_then(|v| v.parse::<u64>().ok());
                    open.come_back = ms("retry-after-ms").map(Duration::from_millis);
                    open.should_retry = head.get("x-should-retry").and_then(|v| v.parse().ok());
                    if status == 200 && open.began.is_none() {
                        open.began = Some(now);
                        self.ledger.note(now, Seen::Began(open.what));
                        let habit = &self.plans[open.plan].habit;
                        if let (Habit::StopsReading(time), false) = (habit, open.was_paused) {
                            (open.paused_until, open.was_paused) = (Some(now + *time), true);
                            out.push(Output::Pause(conn));
                            let at = now + *time;
                            self.alarm(at, Alarm::Check(conn));
                        }
                    }
                }
                Ok(Some(Item::Body(piece))) if open.stream => {
                    let mut events = Vec::new();
                    if open.events.feed(&piece, &mut events).is_err() {
                        open.fault = Some("an event is too long".into());
                    }
                    events.iter().for_each(|e| open.event(e));
                    if let Habit::LeavesAtToken(n) = self.plans[open.plan].habit {
                        if open.tokens >= n {
                            return self.leave(now, conn, out);
                        }
                    }
                }
                Ok(Some(Item::Body(piece))) => open.body.extend_from_slice(&piece),
                Ok(Some(Item::End)) => return self.whole(now, conn, out),
                Ok(None) => return,
                Err(why) => {
                    open.fault = Some(format!("the answer is not HTTP: {why}"));
                    out.push(Output::Abort(conn));
                    return self.over(now, conn, None);
                }
            }
        }
    }

    /// The answer's end has come.
    fn whole(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        let plan = &self.plans[open.plan];
        let target = open.target;
        let ending = open.ending(plan);
        let again =
            plan.habit == Habit::Plain && self.keeps_alive && open.error.is_none() && open.decoder.idle();
        let idle = &mut self.idle[target];
        if again && open.status != 0 && idle.len() < 256 {
            idle.push_back(conn);
        } else {
            out.push(Output::CloseWhenSent(conn));
        }
        self.over(now, conn, Some(ending));
    }

    fn leave(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        if let Some(open) = self.open.get(&conn) {
            self.ledger.note(now, Seen::Left(open.what));
            out.push(Output::Abort(conn));
            self.over(now, conn, None);
        }
    }

    /// The connection is over before the answer was whole.
    fn cut(&mut self, now: Duration, conn: ConnId, why: ConnectionLoss) {
        for idle in &mut self.idle {
            idle.retain(|&c| c != conn);
        }
        let Some(open) = self.open.get_mut(&conn) else { return };
        match why {
            // Nobody took the request: for the rules it was never asked.
            ConnectionLoss::NotConnected | ConnectionLoss::Exhausted => {
                self.ledger.note(now, Seen::Left(open.what));
            }
            // It has said that it sends no more: a router may take that for leaving.
            ConnectionLoss::Reset if self.plans[open.plan].habit == Habit::HalfCloses => {
                self.ledger.note(now, Seen::Left(open.what));
            }
            ConnectionLoss::Reset => {
                open.is_unanswered = true;
                self.ledger.note(now, Seen::Cut(open.what));
            }
        }
        open.error.get_or_insert(format!("{why:?}"));
        self.over(now, conn, None);
    }

    fn over(&mut self, now: Duration, conn: ConnId, ending: Option<Ending>) {
        let Some(open) = self.open.remove(&conn) else { return };
        if let Some(ending) = ending {
            self.ledger.note(now, Seen::Ended(open.what, ending));
        }
        let plan = &self.plans[open.plan];
        let number = open.what.number + 1;
        let may_repeat = open.should_retry != Some(false)
            && match ending {
                Some(Ending::Served) => false,
                Some(Ending::Refused) => true,
                Some(Ending::Failed) => plan.effect != Effect::Unsafe && open.status >= 500,
                // It left by its own will, or its router died with the request.
                None => {
                    plan.habit == Habit::Plain
                        && (plan.effect != Effect::Unsafe || open.error.as_deref() == Some("NotConnected"))
                }
            };
        if may_repeat && number < plan.tries {
            let told = open.come_back.filter(|_| plan.heeds);
            let at = now + told.unwrap_or(plan.backoff);
            let due = open.due;
            self.alarm(at, Alarm::Ask { plan: open.plan, number, due });
        } else {
            self.left -= 1;
        }
        let plan = &self.plans[open.plan];
        self.results.push(Result {
            what: open.what,
            model: plan.model.clone(),
            key: plan.key.clone(),
            effect: plan.effect,
            router: open.target,
            ending,
            is_unanswered: open.is_unanswered,
            status: open.status,
            error: open.error.unwrap_or_default(),
            due: open.due,
            began: open.began,
            ended: now,
            tokens: open.tokens,
            fault: open.fault,
            come_back: open.come_back,
            should_retry: open.should_retry,
        });
    }

    fn check(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(open) = self.open.get_mut(&conn) else { return };
        if open.paused_until.is_some_and(|at| at <= now) {
            open.paused_until = None;
            out.push(Output::Resume(conn));
        }
        let asked = open.deadline.saturating_sub(self.plans[open.plan].patience);
        let leaves = match self.plans[open.plan].habit {
            Habit::LeavesAfter(after) => now >= asked + after,
            _ => false,
        };
        let late = open.began.is_none() && now >= open.deadline + GRACE;
        let silent = open.began.is_some() && open.paused_until.is_none() && now >= open.heard + SILENCE;
        if leaves || late || silent {
            return self.leave(now, conn, out);
        }
        let next = if open.began.is_some() { open.heard.max(now) + SILENCE } else { open.deadline + GRACE };
        self.alarm(next, Alarm::Check(conn));
    }
}

impl Open {
    /// Takes one event of a stream, and checks that it may stand where it does.
    fn event(&mut self, event: &sse::Event) {
        let Ok(data) = serde_json::from_str::<Value>(&event.data) else {
            return self.wrong(format!("an event that is no JSON: {}", event.data));
        };
        if data["type"] != event.name {
            self.wrong(format!("event {} of type {}", event.name, data["type"]));
        }
        let index = data["index"].as_u64().map(|i| i as usize);
        match (event.name.as_str(), self.place) {
            ("ping", _) => {}
            ("message_start", Place::Start) => self.place = Place::Message,
            ("content_block_start", Place::Message) if index.is_some() => {
                self.place = Place::Block(index.unwrap_or(0));
            }
            ("content_block_delta", Place::Block(at)) if index == Some(at) => {
                if let Some(text) = data["delta"]["text"].as_str() {
                    self.text.push_str(text);
                    self.tokens += 1;
                }
            }
            ("content_block_stop", Place::Block(at)) if index == Some(at) => self.place = Place::Message,
            ("message_delta", Place::Message) => {
                self.place = Place::Delta;
                self.stop_reason = data["delta"]["stop_reason"].as_str().map(str::to_owned);
            }
            ("message_stop", Place::Delta) => self.place = Place::Stop,
            ("error", _) => {
                self.error = Some(data["error"]["type"].as_str().unwrap_or("?").to_owned());
            }
            (name, place) => self.wrong(format!("event {name} in {place:?}")),
        }
    }

    fn wrong(&mut self, what: String) {
        self.fault.get_or_insert(what);
    }

    fn ending(&mut self, plan: &Plan) -> Ending {
        if self.status == 200 && !self.stream {
            let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
            self.text = value["content"][0]["text"].as_str().unwrap_or_default().to_owned();
            self.tokens = value["usage"]["output_tokens"].as_u64().unwrap_or(0) as u32;
            self.stop_reason = value["stop_reason"].as_str().map(str::to_owned);
        } else if self.status != 200 {
            let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
            self.error = Some(value["error"]["type"].as_str().unwrap_or("?").to_owned());
        }
        let expected = mark::answer(plan.request, plan.length.min(plan.max_tokens));
        if self.error.is_some() {
            if self.status == 200 && !expected.starts_with(&self.text) {
                self.wrong("the text before the failure is not the beginning of the answer".into());
            }
            if self.place == Place::Stop {
                self.wrong("a failure after a finish".into());
            }
            return if matches!(self.status, 429 | 529) { Ending::Refused } else { Ending::Failed };
        }
        if self.stream && self.place != Place::Stop {
            self.wrong(format!("the stream ended in {:?}", self.place));
        }
        if self.text != expected {
            self.wrong(format!("{} bytes of text where {} were expected", self.text.len(), expected.len()));
        }
        let reason = if plan.length >= plan.max_tokens { "max_tokens" } else { "end_turn" };
        if self.stop_reason.as_deref() != Some(reason) {
            self.wrong(format!("stop reason {:?}, expected {reason}", self.stop_reason));
        }
        Ending::Served
    }
}

impl Machine for Clients {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Connected(conn) => {
                self.send(now, conn, out);
                let half = |o: &Open| self.plans[o.plan].habit == Habit::HalfCloses;
                if self.open.get(&conn).is_some_and(half) {
                    out.push(Output::ShutdownWrite(conn));
                }
            }
            Input::Data(conn, bytes) => self.data(now, conn, bytes, out),
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.cut(now, conn, ConnectionLoss::Reset);
            }
            Input::Lost(conn, why) => self.cut(now, conn, why),
            Input::Stop => self.left = 0,
            Input::Accepted(..)
            | Input::Sent(..)
            | Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake
            | Input::Datagram(..)
            | Input::OwnerMessage(_) => {}
        }
        while let Some((&(at, n), _)) = self.alarms.first_key_value() {
            if at > now {
                break;
            }
            match self.alarms.remove(&(at, n)) {
                Some(Alarm::Ask { plan, number, due }) => self.ask(now, plan, number, due, out),
                Some(Alarm::Check(conn)) => self.check(now, conn, out),
                Some(Alarm::SendByte(conn)) => self.send_byte(now, conn, out),
                None => {}
            }
        }
        if self.left == 0 && !self.stopped {
            self.stopped = true;
            out.push(Output::Stopped);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        if self.left == 0 {
            return None;
        }
        self.alarms.first_key_value().map(|((at, _), _)| *at)
    }
}
