//! The conductor: asks engines for their load and role, plans by what they answer, and orders the changes that pay.
//!
//! It holds nothing that matters: any number may run, and one that dies leaves engines that end their change by themselves.
//! Who does not answer in time is not in the view, and so is neither counted on nor changed.

use crate::config::{ChangeCosts, PlannerLimits, PlanningPolicy};
use crate::demand::{Demand, EngineThroughput};
use crate::plan::RolePlan;
use crate::planner::Planner;
use crate::stage_load::StageLoad;
use crate::view::{EngineView, Phase, PlannerView};
use serde_json::{json, Value};
use slipreel::{CellId, EngineId, Role, ZoneId};
use slipreel_protocol::engine::{self, Load};
use slipreel_protocol::http::{self, Decoder, Framing, Item, Limits as HttpLimits, Side};
use slipreel_state_machine::{ConnId, Input, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two rounds of questions.
const ROUND: Duration = Duration::from_millis(1_000);
/// In this part of a round an engine answers, or is not in the view; no unit.
const ANSWER_PART: f64 = 0.6;
/// Prompt tokens that an engine is taken to keep for each share of its memory in use. No report tells them.
pub const CACHED_TOKENS_AT_FULL_MEMORY: f64 = 50_000.0;

/// Most work that an engine is taken to have; no unit. Its queue tells that it has too much, not how much.
const MOST_BUSY: f64 = 1.25;

/// An engine to watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Which.
    pub id: EngineId,
    /// Where it is.
    pub addr: SocketAddr,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
}

/// Requests that keep an engine wholly busy, by what it does. Operators know them; no report tells them.
#[derive(Clone, Copy, Debug)]
pub struct FullLoadRequests {
    /// When reading.
    pub prefill: f64,
    /// When writing.
    pub decode: f64,
}

/// News for a [`Conductor`]: stop ordering changes, or go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freeze(pub bool);

/// What an engine answers by `GET /role`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Told {
    role: Role,
    epoch: u64,
    serving: bool,
}

enum Asked {
    /// A router's metrics.
    Router(usize),
    Load,
    Role,
    Order,
}

struct Talk {
    engine: usize,
    decoder: Decoder,
    status: u16,
    body: Vec<u8>,
    asked: Vec<Asked>,
    request: Vec<u8>,
}

/// What is known of one engine in this round, and since when it shows its present epoch.
#[derive(Default)]
struct Known {
    load: Option<Load>,
    told: Option<Told>,
    epoch: Option<(u64, Duration)>,
    first_seen: Option<Duration>,
}

/// Watches engines and orders changes of role. Takes [`Freeze`] and `Vec<Watched>` as news.
pub struct Conductor {
    engines: Vec<Watched>,
    planner: Planner,
    full_load_requests: FullLoadRequests,
    /// The routers, whose asks are the demand; without any, what engines hold stands for it.
    routers: Vec<SocketAddr>,
    speeds: EngineThroughput,
    demand: Demand,
    costs: ChangeCosts,
    /// Plans are logged and nothing is ordered.
    dry: bool,
    /// An operator has frozen changes here; routers whose policy says so, too.
    frozen: bool,
    frozen_at: BTreeMap<usize, bool>,
    known: Vec<Known>,
    talks: BTreeMap<ConnId, Talk>,
    next_conn: u64,
    round_at: Duration,
    plan_at: Option<Duration>,
    last: RolePlan,
    seen: Vec<EngineView>,
    orders: usize,
    turned: usize,
    stopped: bool,
}

impl Conductor {
    /// A conductor that begins its first round at `now`.
    pub fn new(
        engines: Vec<Watched>, limits: PlannerLimits, costs: ChangeCosts, policy: PlanningPolicy,
        full_load_requests: FullLoadRequests, dry: bool, now: Duration,
    ) -> Self {
        let known = engines.iter().map(|_| Known::default()).collect();
        Conductor {
            engines,
            planner: Planner::new(limits, costs, policy),
            full_load_requests,
            routers: Vec::new(),
            speeds: EngineThroughput { prefill: 1.0, decode: 1.0 },
            demand: Demand::default(),
            costs,
            dry,
            frozen: false,
            frozen_at: BTreeMap::new(),
            known,
            talks: BTreeMap::new(),
            next_conn: 0,
            round_at: now,
            plan_at: None,
            last: RolePlan::default(),
            seen: Vec::new(),
            orders: 0,
            turned: 0,
            stopped: false,
        }
    }

    /// Reads the demand from what these routers publish, given what an engine does a second.
    pub fn with_routers(mut self, routers: Vec<SocketAddr>, speeds: EngineThroughput) -> Self {
        (self.routers, self.speeds) = (routers, speeds);
        self
    }

    /// The last plan.
    pub fn last_plan(&self) -> &RolePlan {
        &self.last
    }

    /// The engines that answered in the last round, as they were then.
    pub fn seen(&self) -> &[EngineView] {
        &self.seen
    }

    /// Orders that engines took, and those that they turned away.
    pub fn orders(&self) -> (usize, usize) {
        (self.orders, self.turned)
    }

    fn talk(&mut self, engine: usize, asked: Vec<Asked>, request: Vec<u8>, out: &mut Vec<Output>) {
        self.talk_to(self.engines[engine].addr, engine, asked, request, out);
    }

    fn talk_to(
        &mut self, addr: SocketAddr, engine: usize, asked: Vec<Asked>, request: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        self.next_conn += 1;
        let conn = ConnId::opened(self.next_conn);
        let decoder = Decoder::new(Side::Client, HttpLimits::default());
        self.talks.insert(conn, Talk { engine, decoder, status: 0, body: Vec::new(), asked, request });
        out.push(Output::Connect(conn, addr));
    }

    fn begin_round(&mut self, now: Duration, out: &mut Vec<Output>) {
        for (conn, _) in std::mem::take(&mut self.talks) {
            out.push(Output::Abort(conn));
        }
        for engine in 0..self.engines.len() {
            (self.known[engine].load, self.known[engine].told) = (None, None);
            let host = self.engines[engine].addr.to_string();
            let mut request = http::request_head("GET", "/metrics", &[("host", &host)], Framing::Length(0));
            request.extend(http::request_head("GET", "/role", &[("host", &host)], Framing::Length(0)));
            self.talk(engine, vec![Asked::Load, Asked::Role], request, out);
        }
        for (n, addr) in self.routers.clone().into_iter().enumerate() {
            let request =
                http::request_head("GET", "/metrics", &[("host", &addr.to_string())], Framing::Length(0));
            self.talk_to(addr, 0, vec![Asked::Router(n)], request, out);
        }
        self.round_at = now + ROUND;
        self.plan_at = Some(now + ROUND.mul_f64(ANSWER_PART));
    }

    fn data(&mut self, conn: ConnId, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(talk) = self.talks.get_mut(&conn) else { return };
        talk.decoder.feed(bytes);
        while let Ok(Some(item)) = talk.decoder.next_item() {
            match item {
                Item::Head(head) => {
                    if let http::Start::Response { status } = head.start {
                        talk.status = status;
                    }
                }
                Item::Body(piece) => talk.body.extend(piece),
                Item::End => {
                    let body = std::mem::take(&mut talk.body);
                    let Some(known) = self.known.get_mut(talk.engine).filter(|_| !talk.asked.is_empty())
                    else {
                        continue;
                    };
                    match talk.asked.remove(0) {
                        Asked::Router(n) => {
                            let text = String::from_utf8_lossy(&body);
                            self.demand.hear(n, &text);
                            if let Some(frozen) = frozen_by_policy(&text) {
                                self.frozen_at.insert(n, frozen);
                            }
                        }
                        Asked::Load => known.load = Some(engine::metrics(&String::from_utf8_lossy(&body))),
                        Asked::Role => known.told = told(&body),
                        Asked::Order if talk.status == 202 => self.orders += 1,
                        Asked::Order => self.turned += 1,
                    }
                    if talk.asked.is_empty() {
                        self.talks.remove(&conn);
                        return out.push(Output::CloseWhenSent(conn));
                    }
                }
            }
        }
    }

    /// The engines that answered, as the planner sees them, and the work that they hold.
    fn view(&mut self, now: Duration) -> PlannerView {
        let (mut engines, mut mix) = (Vec::new(), StageLoad::default());
        for (watched, known) in self.engines.iter().zip(&mut self.known) {
            let (Some(load), Some(told)) = (known.load, known.told) else { continue };
            let held = load.running.unwrap_or(0.0) + load.waiting.unwrap_or(0.0);
            let reads = told.role == Role::Prefill;
            let busy = (held
                / if reads { self.full_load_requests.prefill } else { self.full_load_requests.decode }
                    .max(1.0))
            .min(MOST_BUSY);
            if reads {
                mix.prefill += busy;
            } else {
                mix.decode += busy;
            }
            let first = *known.first_seen.get_or_insert(now);
            // An epoch that was there when it was first seen may be old; one that came since is as old as its sight.
            let since = match known.epoch {
                Some((epoch, since)) if epoch == told.epoch => since,
                Some(_) => now,
                None => first.saturating_sub(self.costs.slow_start * 4),
            };
            known.epoch = Some((told.epoch, since));
            let other = if reads { Role::Decode } else { Role::Prefill };
            let phase = match told.serving {
                false => Phase::Changing(other),
                true if now < since + self.costs.slow_start => Phase::Warming,
                true => Phase::Serving,
            };
            engines.push(EngineView {
                id: watched.id,
                role: told.role,
                epoch: told.epoch,
                cell: watched.cell,
                zone: watched.zone,
                phase,
                since,
                busy,
                cached_tokens: load.memory.unwrap_or(0.0) * CACHED_TOKENS_AT_FULL_MEMORY,
            });
        }
        PlannerView { now, engines, mix }
    }

    fn plan(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut view = self.view(now);
        self.seen.clone_from(&view.engines);
        match self.demand.take(now, self.speeds) {
            Some(mix) => view.mix = mix,
            // Routers that can't be heard ask for nothing that is known: better no change than one by half a view.
            None if !self.routers.is_empty() => return,
            None => {}
        }
        // One router that acts by a policy with frozen roles is enough: a change can't be taken back.
        self.planner.freeze(self.frozen || self.frozen_at.values().any(|frozen| *frozen));
        let plan = self.planner.plan(&view);
        for change in &plan.changes {
            out.push(Output::Log(format!("{}{change}", if self.dry { "would order " } else { "orders " })));
            let Some(engine) = self.engines.iter().position(|e| e.id == change.engine).filter(|_| !self.dry)
            else {
                continue;
            };
            let to = if change.to == Role::Prefill { "read" } else { "write" };
            let body = json!({"to": to, "replaces": change.replaces}).to_string();
            let host = self.engines[engine].addr.to_string();
            let fields = [("host", host.as_str()), ("content-type", "application/json")];
            let mut request = http::request_head("POST", "/role", &fields, Framing::Length(body.len()));
            request.extend_from_slice(body.as_bytes());
            self.talk(engine, vec![Asked::Order], request, out);
        }
        self.last = plan;
    }
}

fn told(body: &[u8]) -> Option<Told> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let role = match value["role"].as_str()? {
        "read" => Role::Prefill,
        "write" => Role::Decode,
        "both" => Role::Mixed,
        _ => return None,
    };
    let (epoch, serving) = (value["epoch"].as_u64()?, value["serving"].as_bool()?);
    Some(Told { role, epoch, serving })
}

/// Whether a router publishes that its policy freezes the roles; `None`: it says nothing of that.
fn frozen_by_policy(metrics: &str) -> Option<bool> {
    let line = metrics.lines().find_map(|l| l.strip_prefix("slipreel_policy_roles_frozen "))?;
    Some(line.trim() != "0")
}

impl Machine for Conductor {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Connected(conn) => {
                if let Some(talk) = self.talks.get_mut(&conn) {
                    out.push(Output::Write(conn, std::mem::take(&mut talk.request)));
                }
            }
            Input::Data(conn, bytes) => self.data(conn, bytes, out),
            Input::Eof(conn) => {
                self.talks.remove(&conn);
                out.push(Output::CloseWhenSent(conn));
            }
            Input::Lost(conn, _) => {
                self.talks.remove(&conn);
            }
            Input::OwnerMessage(news) => {
                if let Some(Freeze(frozen)) = news.downcast_ref() {
                    self.frozen = *frozen;
                    self.planner.freeze(*frozen);
                } else if let Some(engines) = news.downcast_ref::<Vec<Watched>>() {
                    self.engines.clone_from(engines);
                    self.known = engines.iter().map(|_| Known::default()).collect();
                    self.talks.clear();
                }
            }
            Input::Stop if !self.stopped => {
                self.stopped = true;
                out.push(Output::Stopped);
            }
            Input::Accepted(..)
            | Input::Sent(..)
            | Input::PeerClosedWhilePaused(_)
            | Input::DescriptorsExhausted(_)
            | Input::Wake
            | Input::Datagram(..)
            | Input::Stop => {}
        }
        if self.stopped {
            return;
        }
        if self.plan_at.is_some_and(|at| at <= now) {
            self.plan_at = None;
            self.plan(now, out);
        }
        if self.round_at <= now {
            self.begin_round(now, out);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        (!self.stopped).then(|| self.plan_at.map_or(self.round_at, |at| at.min(self.round_at)))
    }
}
