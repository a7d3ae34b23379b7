//! Clients that send a scripted list of requests. Each request is sent at its time, whatever became of the
//! others (open loop), its answer is compared byte by byte, and observations are recorded for the invariant
//! checker.

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

/// How long a client waits past its deadline before it gives up on an answer that has not begun.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// How long a stream may deliver nothing before its client gives it up.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How a client behaves on one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ClientBehaviour {
    /// Sends the request and reads the whole answer.
    #[default]
    Plain,
    /// Disconnects after this time if the answer is not complete.
    LeavesAfter(Duration),
    /// Disconnects once this many tokens have arrived.
    LeavesAtToken(u32),
    /// Shuts down its sending side after the request and keeps reading.
    HalfCloses,
    /// Sends the request one byte at a time, at this interval.
    SendsSlowly(Duration),
    /// Stops reading for this time once the answer has begun, then reads on.
    StopsReading(Duration),
}

/// One request of the script.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// When it is sent, on the clock of the run.
    pub at: Duration,
    /// Its unique number.
    pub request: u64,
    /// Name of the model.
    pub model: String,
    /// Whether it is safe to run more than once, as configured for its class.
    pub effect: Effect,
    /// The API key that it is sent with.
    pub key: String,
    /// The session id, sent as `metadata.user_id`.
    pub session: String,
    /// The prompt prefix that it shares with other requests, sent as `system`.
    pub system: String,
    /// The text of the prompt, without the marker.
    pub prompt: String,
    /// Length of the answer in tokens, unless `max_tokens` is lower.
    pub length: u32,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// How long the client waits for the answer to begin.
    pub patience: Duration,
    /// The most attempts, the first included.
    pub max_attempts: u32,
    /// Wait before the next attempt, unless the client honours a `retry-after-ms` of the answer.
    pub backoff: Duration,
    /// Whether the client honours `retry-after-ms`.
    pub honours_retry_after: bool,
    /// How its client behaves.
    pub behaviour: ClientBehaviour,
}

/// The result of an attempt, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Which attempt.
    pub attempt: ClientAttempt,
    /// Name of the model.
    pub model: String,
    /// The API key.
    pub key: String,
    /// Whether the request is safe to run more than once.
    pub effect: Effect,
    /// The router that it was sent to, as an index into the targets.
    pub router: usize,
    /// How the final answer ended; `None` if the client disconnected or the connection broke.
    pub ending: Option<Ending>,
    /// The connection ended before the answer was complete, and not because the client disconnected.
    pub is_unanswered: bool,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
    /// The type of the error; empty if there was none.
    pub error: String,
    /// When the request was scheduled to be sent.
    pub due: Duration,
    /// When the answer began.
    pub began: Option<Duration>,
    /// When the attempt ended.
    pub ended: Duration,
    /// Tokens that were received.
    pub tokens: u32,
    /// What is wrong with the answer, if anything is.
    pub fault: Option<String>,
    /// The wait that the answer asked for in `retry-after-ms`.
    pub retry_after: Option<Duration>,
    /// The value of `x-should-retry`.
    pub should_retry: Option<bool>,
}

/// An attempt in progress.
struct Exchange {
    /// Index of its request in the script.
    script_index: usize,
    attempt: ClientAttempt,
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
    /// Position in the grammar of the event stream.
    position: StreamPosition,
    began: Option<Duration>,
    last_data_at: Duration,
    error: Option<String>,
    fault: Option<String>,
    stop_reason: Option<String>,
    retry_after: Option<Duration>,
    should_retry: Option<bool>,
    paused_until: Option<Duration>,
    was_paused: bool,
}

/// Which event of a streamed message came last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamPosition {
    Start,
    Message,
    Block(usize),
    Delta,
    Stop,
}

/// What to do when a timer is due.
enum Timer {
    SendAttempt { script_index: usize, number: u32, due: Duration },
    CheckTimeouts(ConnId),
    SendByte(ConnId),
}

/// Clients that send a scripted list of requests.
pub struct Clients {
    script: Vec<ScriptedRequest>,
    targets: Vec<SocketAddr>,
    ledger: Ledger,
    timers: BTreeMap<(Duration, u64), Timer>,
    next_id: u64,
    exchanges: BTreeMap<ConnId, Exchange>,
    results: Vec<AttemptResult>,
    /// Idle connections that are kept for later requests, by target.
    idle: Vec<VecDeque<ConnId>>,
    keeps_alive: bool,
    /// Requests that have not ended.
    left: usize,
    stopped: bool,
}

impl Clients {
    /// Clients of the routers at `targets`. With `keeps_alive` they reuse their connections.
    pub fn new(
        script: Vec<ScriptedRequest>, targets: Vec<SocketAddr>, ledger: Ledger, keeps_alive: bool,
    ) -> Self {
        let mut clients = Clients {
            left: script.len(),
            idle: targets.iter().map(|_| VecDeque::new()).collect(),
            script,
            targets,
            ledger,
            timers: BTreeMap::new(),
            next_id: 0,
            exchanges: BTreeMap::new(),
            results: Vec::new(),
            keeps_alive,
            stopped: false,
        };
        for script_index in 0..clients.script.len() {
            let at = clients.script[script_index].at;
            clients.set_timer(at, Timer::SendAttempt { script_index, number: 0, due: at });
        }
        clients
    }

    /// The results of all attempts that have ended, in the order in which they ended.
    pub fn results(&self) -> &[AttemptResult] {
        &self.results
    }

    /// Number of requests that have not ended.
    pub fn left(&self) -> usize {
        self.left
    }

    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.next_id += 1;
        self.timers.insert((at, self.next_id), timer);
    }

    /// Starts an attempt on an idle connection or on a new one.
    fn start_attempt(
        &mut self, now: Duration, script_index: usize, number: u32, due: Duration, out: &mut Vec<Output>,
    ) {
        let scripted = &self.script[script_index];
        let what = ClientAttempt { request: scripted.request, number };
        let mark = Mark { attempt: what, length: scripted.length, effect: scripted.effect };
        let content = format!("{} {}", scripted.prompt, mark.text());
        let body = json!({
            "model": scripted.model, "max_tokens": scripted.max_tokens, "stream": scripted.stream,
            "system": scripted.system, "metadata": {"user_id": scripted.session},
            "messages": [{"role": "user", "content": content}],
        })
        .to_string();
        let (timeout, retries) = (scripted.patience.as_secs_f64().to_string(), number.to_string());
        let key = format!("k{}", scripted.request);
        let mut fields = vec![
            ("host", "slipreel"),
            ("content-type", "application/json"),
            ("x-api-key", scripted.key.as_str()),
            ("x-stainless-timeout", timeout.as_str()),
            ("x-stainless-retry-count", retries.as_str()),
        ];
        if scripted.effect == Effect::Keyed {
            fields.push(("idempotency-key", key.as_str()));
        }
        let mut request = http::request_head("POST", "/v1/messages", &fields, Framing::Length(body.len()));
        request.extend_from_slice(body.as_bytes());
        // A retry goes to another router: the first one may be gone.
        let target = (scripted.request as usize + number as usize) % self.targets.len();
        let (effect, deadline) = (scripted.effect, now + scripted.patience);
        let is_plain = matches!(scripted.behaviour, ClientBehaviour::Plain);
        self.ledger.note(now, Seen::Asked { attempt: what, effect, deadline });
        let limits = Limits { body: u64::MAX, ..Limits::default() };
        let exchange = Exchange {
            script_index,
            attempt: what,
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
            position: StreamPosition::Start,
            began: None,
            last_data_at: now,
            error: None,
            fault: None,
            stop_reason: None,
            retry_after: None,
            should_retry: None,
            paused_until: None,
            was_paused: false,
        };
        let reused = if is_plain && self.keeps_alive { self.idle[target].pop_back() } else { None };
        let conn = reused.unwrap_or_else(|| {
            self.next_id += 1;
            ConnId::opened(self.next_id)
        });
        self.exchanges.insert(conn, exchange);
        self.set_timer(deadline + DEADLINE_GRACE, Timer::CheckTimeouts(conn));
        if let ClientBehaviour::LeavesAfter(after) = self.script[script_index].behaviour {
            self.set_timer(now + after, Timer::CheckTimeouts(conn));
        }
        match reused {
            Some(_) => self.send(now, conn, out),
            None => out.push(Output::Connect(conn, self.targets[target])),
        }
    }

    fn send(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        if let ClientBehaviour::SendsSlowly(_) = self.script[exchange.script_index].behaviour {
            return self.set_timer(now, Timer::SendByte(conn));
        }
        out.push(Output::Write(conn, std::mem::take(&mut exchange.request)));
    }

    fn send_byte(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        let ClientBehaviour::SendsSlowly(interval) = self.script[exchange.script_index].behaviour else {
            return;
        };
        if !exchange.request.is_empty() {
            out.push(Output::Write(conn, vec![exchange.request.remove(0)]));
            self.set_timer(now + interval, Timer::SendByte(conn));
        }
    }

    fn receive(&mut self, now: Duration, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else {
            return;
        };
        exchange.last_data_at = now;
        exchange.decoder.feed(bytes);
        loop {
            let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
            match exchange.decoder.next_item() {
                Ok(Some(Item::Head(head))) => {
                    let Start::Response { status } = head.start else { return };
                    if status < 200 {
                        continue;
                    }
                    exchange.status = status;
                    let epoch = head.get("x-slipreel-policy").and_then(|e| e.parse().ok());
                    let (router, on) = (
                        format!("r{}", exchange.target),
                        slipreel_invariants::policy::StampedMessage::Answer(status),
                    );
                    self.ledger.note(now, Seen::Stamped { router, attempt: exchange.attempt, epoch, on });
                    exchange.stream = head.get("content-type") == Some("text/event-stream");
                    let number_field = |name: &str| head.get(name).and_then(|v| v.parse::<u64>().ok());
                    exchange.retry_after = number_field("retry-after-ms").map(Duration::from_millis);
                    exchange.should_retry = head.get("x-should-retry").and_then(|v| v.parse().ok());
                    if status == 200 && exchange.began.is_none() {
                        exchange.began = Some(now);
                        self.ledger.note(now, Seen::Began(exchange.attempt));
                        let behaviour = &self.script[exchange.script_index].behaviour;
                        if let (ClientBehaviour::StopsReading(time), false) = (behaviour, exchange.was_paused)
                        {
                            (exchange.paused_until, exchange.was_paused) = (Some(now + *time), true);
                            out.push(Output::Pause(conn));
                            let at = now + *time;
                            self.set_timer(at, Timer::CheckTimeouts(conn));
                        }
                    }
                }
                Ok(Some(Item::Body(piece))) if exchange.stream => {
                    let mut events = Vec::new();
                    if exchange.events.feed(&piece, &mut events).is_err() {
                        exchange.fault = Some("an event is too long".into());
                    }
                    events.iter().for_each(|e| exchange.take_event(e));
                    if let ClientBehaviour::LeavesAtToken(n) = self.script[exchange.script_index].behaviour {
                        if exchange.tokens >= n {
                            return self.disconnect(now, conn, out);
                        }
                    }
                }
                Ok(Some(Item::Body(piece))) => exchange.body.extend_from_slice(&piece),
                Ok(Some(Item::End)) => return self.complete(now, conn, out),
                Ok(None) => return,
                Err(why) => {
                    exchange.fault = Some(format!("the answer is not HTTP: {why}"));
                    out.push(Output::Abort(conn));
                    return self.finish(now, conn, None);
                }
            }
        }
    }

    /// Handles the end of a complete answer.
    fn complete(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        let scripted = &self.script[exchange.script_index];
        let target = exchange.target;
        let ending = exchange.evaluate(scripted);
        let may_reuse = scripted.behaviour == ClientBehaviour::Plain
            && self.keeps_alive
            && exchange.error.is_none()
            && exchange.decoder.idle();
        let idle = &mut self.idle[target];
        if may_reuse && exchange.status != 0 && idle.len() < 256 {
            idle.push_back(conn);
        } else {
            out.push(Output::CloseWhenSent(conn));
        }
        self.finish(now, conn, Some(ending));
    }

    fn disconnect(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        if let Some(exchange) = self.exchanges.get(&conn) {
            self.ledger.note(now, Seen::Left(exchange.attempt));
            out.push(Output::Abort(conn));
            self.finish(now, conn, None);
        }
    }

    /// Handles the end of a connection, possibly before its answer was complete.
    fn connection_ended(&mut self, now: Duration, conn: ConnId, why: ConnectionLoss) {
        for idle in &mut self.idle {
            idle.retain(|&c| c != conn);
        }
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        match why {
            // No router accepted the request, so the invariants expect no answer to it.
            ConnectionLoss::NotConnected | ConnectionLoss::Exhausted => {
                self.ledger.note(now, Seen::Left(exchange.attempt));
            }
            // A router may take the shutdown of the sending side for a client that has left.
            ConnectionLoss::Reset
                if self.script[exchange.script_index].behaviour == ClientBehaviour::HalfCloses =>
            {
                self.ledger.note(now, Seen::Left(exchange.attempt));
            }
            ConnectionLoss::Reset => {
                exchange.is_unanswered = true;
                self.ledger.note(now, Seen::Cut(exchange.attempt));
            }
        }
        exchange.error.get_or_insert(format!("{why:?}"));
        self.finish(now, conn, None);
    }

    /// Records the result of an attempt, and schedules the next one if the request may be repeated.
    fn finish(&mut self, now: Duration, conn: ConnId, ending: Option<Ending>) {
        let Some(exchange) = self.exchanges.remove(&conn) else { return };
        if let Some(ending) = ending {
            self.ledger.note(now, Seen::Ended(exchange.attempt, ending));
        }
        let scripted = &self.script[exchange.script_index];
        let number = exchange.attempt.number + 1;
        let may_repeat = exchange.should_retry != Some(false)
            && match ending {
                Some(Ending::Served) => false,
                Some(Ending::Refused) => true,
                Some(Ending::Failed) => scripted.effect != Effect::Unsafe && exchange.status >= 500,
                // The client disconnected, or its router died with the request.
                None => {
                    scripted.behaviour == ClientBehaviour::Plain
                        && (scripted.effect != Effect::Unsafe
                            || exchange.error.as_deref() == Some("NotConnected"))
                }
            };
        if may_repeat && number < scripted.max_attempts {
            let requested_wait = exchange.retry_after.filter(|_| scripted.honours_retry_after);
            let at = now + requested_wait.unwrap_or(scripted.backoff);
            let due = exchange.due;
            self.set_timer(at, Timer::SendAttempt { script_index: exchange.script_index, number, due });
        } else {
            self.left -= 1;
        }
        let scripted = &self.script[exchange.script_index];
        self.results.push(AttemptResult {
            attempt: exchange.attempt,
            model: scripted.model.clone(),
            key: scripted.key.clone(),
            effect: scripted.effect,
            router: exchange.target,
            ending,
            is_unanswered: exchange.is_unanswered,
            status: exchange.status,
            error: exchange.error.unwrap_or_default(),
            due: exchange.due,
            began: exchange.began,
            ended: now,
            tokens: exchange.tokens,
            fault: exchange.fault,
            retry_after: exchange.retry_after,
            should_retry: exchange.should_retry,
        });
    }

    /// Resumes a paused connection that is due, and disconnects from an answer that is late or has stalled.
    fn check_timeouts(&mut self, now: Duration, conn: ConnId, out: &mut Vec<Output>) {
        let Some(exchange) = self.exchanges.get_mut(&conn) else { return };
        if exchange.paused_until.is_some_and(|at| at <= now) {
            exchange.paused_until = None;
            out.push(Output::Resume(conn));
        }
        let sent_at = exchange.deadline.saturating_sub(self.script[exchange.script_index].patience);
        let disconnects = match self.script[exchange.script_index].behaviour {
            ClientBehaviour::LeavesAfter(after) => now >= sent_at + after,
            _ => false,
        };
        let late = exchange.began.is_none() && now >= exchange.deadline + DEADLINE_GRACE;
        let silent = exchange.began.is_some()
            && exchange.paused_until.is_none()
            && now >= exchange.last_data_at + STREAM_IDLE_TIMEOUT;
        if disconnects || late || silent {
            return self.disconnect(now, conn, out);
        }
        let next = if exchange.began.is_some() {
            exchange.last_data_at.max(now) + STREAM_IDLE_TIMEOUT
        } else {
            exchange.deadline + DEADLINE_GRACE
        };
        self.set_timer(next, Timer::CheckTimeouts(conn));
    }
}

impl Exchange {
    /// Handles one event of a stream and checks that it is allowed at this position.
    fn take_event(&mut self, event: &sse::Event) {
        let Ok(data) = serde_json::from_str::<Value>(&event.data) else {
            return self.record_fault(format!("an event that is not JSON: {}", event.data));
        };
        if data["type"] != event.name {
            self.record_fault(format!("event {} has type {}", event.name, data["type"]));
        }
        let index = data["index"].as_u64().map(|i| i as usize);
        match (event.name.as_str(), self.position) {
            ("ping", _) => {}
            ("message_start", StreamPosition::Start) => self.position = StreamPosition::Message,
            ("content_block_start", StreamPosition::Message) if index.is_some() => {
                self.position = StreamPosition::Block(index.unwrap_or(0));
            }
            ("content_block_delta", StreamPosition::Block(at)) if index == Some(at) => {
                if let Some(text) = data["delta"]["text"].as_str() {
                    self.text.push_str(text);
                    self.tokens += 1;
                }
            }
            ("content_block_stop", StreamPosition::Block(at)) if index == Some(at) => {
                self.position = StreamPosition::Message;
            }
            ("message_delta", StreamPosition::Message) => {
                self.position = StreamPosition::Delta;
                self.stop_reason = data["delta"]["stop_reason"].as_str().map(str::to_owned);
            }
            ("message_stop", StreamPosition::Delta) => self.position = StreamPosition::Stop,
            ("error", _) => {
                self.error = Some(data["error"]["type"].as_str().unwrap_or("?").to_owned());
            }
            (name, position) => self.record_fault(format!("unexpected event {name} in state {position:?}")),
        }
    }

    /// Records what is wrong with the answer. The first fault is kept.
    fn record_fault(&mut self, fault: String) {
        self.fault.get_or_insert(fault);
    }

    /// Compares a complete answer with the expected one, and returns how the attempt ended.
    fn evaluate(&mut self, scripted: &ScriptedRequest) -> Ending {
        if self.status == 200 && !self.stream {
            let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
            self.text = value["content"][0]["text"].as_str().unwrap_or_default().to_owned();
            self.tokens = value["usage"]["output_tokens"].as_u64().unwrap_or(0) as u32;
            self.stop_reason = value["stop_reason"].as_str().map(str::to_owned);
        } else if self.status != 200 {
            let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
            self.error = Some(value["error"]["type"].as_str().unwrap_or("?").to_owned());
        }
        let expected = mark::answer(scripted.request, scripted.length.min(scripted.max_tokens));
        if self.error.is_some() {
            if self.status == 200 && !expected.starts_with(&self.text) {
                self.record_fault("the text before the error is not a prefix of the expected answer".into());
            }
            if self.position == StreamPosition::Stop {
                self.record_fault("an error after the end of the message".into());
            }
            return if matches!(self.status, 429 | 529) { Ending::Refused } else { Ending::Failed };
        }
        if self.stream && self.position != StreamPosition::Stop {
            self.record_fault(format!("the stream ended in state {:?}", self.position));
        }
        if self.text != expected {
            self.record_fault(format!(
                "{} bytes of text where {} were expected",
                self.text.len(),
                expected.len()
            ));
        }
        let reason = if scripted.length >= scripted.max_tokens { "max_tokens" } else { "end_turn" };
        if self.stop_reason.as_deref() != Some(reason) {
            self.record_fault(format!("stop reason {:?}, expected {reason}", self.stop_reason));
        }
        Ending::Served
    }
}

impl Machine for Clients {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Connected(conn) => {
                self.send(now, conn, out);
                let half_closes =
                    |e: &Exchange| self.script[e.script_index].behaviour == ClientBehaviour::HalfCloses;
                if self.exchanges.get(&conn).is_some_and(half_closes) {
                    out.push(Output::ShutdownWrite(conn));
                }
            }
            Input::Data(conn, bytes) => self.receive(now, conn, bytes, out),
            Input::Eof(conn) => {
                out.push(Output::CloseWhenSent(conn));
                self.connection_ended(now, conn, ConnectionLoss::Reset);
            }
            Input::Lost(conn, why) => self.connection_ended(now, conn, why),
            Input::Stop => self.left = 0,
            Input::Accepted(..)
            | Input::Sent(..)
            | Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake
            | Input::Datagram(..)
            | Input::OwnerMessage(_) => {}
        }
        while let Some((&(at, n), _)) = self.timers.first_key_value() {
            if at > now {
                break;
            }
            match self.timers.remove(&(at, n)) {
                Some(Timer::SendAttempt { script_index, number, due }) => {
                    self.start_attempt(now, script_index, number, due, out);
                }
                Some(Timer::CheckTimeouts(conn)) => self.check_timeouts(now, conn, out),
                Some(Timer::SendByte(conn)) => self.send_byte(now, conn, out),
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
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }
}
