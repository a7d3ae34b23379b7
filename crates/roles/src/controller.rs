//! The role controller: polls engines for their load and role, plans changes, and orders those that pay.
//!
//! It keeps no essential state: any number of controllers may run, and if one fails, the engines finish their
//! changes without it. An engine that does not answer in time is not in the view, so it is neither counted
//! nor changed.

mod observation;
mod requests;

use crate::config::{ChangeCosts, PlannerLimits, PlanningPolicy};
use crate::demand::{Demand, EngineThroughput};
use crate::plan::{RoleChange, RolePlan};
use crate::planner::Planner;
use crate::view::EngineView;
use observation::EngineObservation;
pub use observation::{FullLoadRequests, CACHED_TOKENS_AT_FULL_MEMORY};
use requests::{Answer, Requests};
use slipreel::{CellId, EngineId, ZoneId};
use slipreel_state_machine::{Input, Machine, Output};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The time between two rounds of requests to engines and routers.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The share of [`POLL_INTERVAL`] within which an engine has to answer to be in the view.
const ANSWER_DEADLINE_SHARE: f64 = 0.6;

/// An engine to watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedEngine {
    /// Its id.
    pub id: EngineId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its cell.
    pub cell: CellId,
    /// Its zone.
    pub zone: ZoneId,
}

/// An [`Input::OwnerMessage`] for a [`RoleController`]: whether the operator freezes changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freeze(pub bool);

/// The routers whose metrics give the demand. Without routers, the load in progress at the engines is used
/// instead.
struct DemandSource {
    routers: Vec<SocketAddr>,
    throughput: EngineThroughput,
    demand: Demand,
}

/// What freezes changes: the operator, or the policies of routers.
#[derive(Default)]
struct FreezeState {
    operator: bool,
    /// By router: whether its policy freezes the roles.
    policies: BTreeMap<usize, bool>,
}

/// The numbers of orders since the start, by the engines' answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderCounts {
    /// Orders that engines accepted.
    pub accepted: usize,
    /// Orders that engines rejected.
    pub rejected: usize,
}

/// When to poll and when to plan next.
struct Schedule {
    next_poll: Duration,
    next_plan: Option<Duration>,
}

/// Whether the controller orders the changes that it plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerMode {
    /// It orders them.
    Apply,
    /// It only logs them.
    DryRun,
}

/// The settings of a [`RoleController`].
#[derive(Clone, Copy, Debug)]
pub struct ControllerConfig {
    /// The limits on changes.
    pub limits: PlannerLimits,
    /// The costs of a change.
    pub costs: ChangeCosts,
    /// How changes are chosen.
    pub policy: PlanningPolicy,
    /// The number of requests that keep an engine fully busy, by its role.
    pub full_load_requests: FullLoadRequests,
    /// Whether changes are ordered.
    pub mode: ControllerMode,
}

/// Watches engines and orders changes of role. Takes [`Freeze`] and `Vec<WatchedEngine>` as
/// [`Input::OwnerMessage`].
pub struct RoleController {
    engines: Vec<WatchedEngine>,
    observations: Vec<EngineObservation>,
    planner: Planner,
    config: ControllerConfig,
    demand_source: DemandSource,
    freeze_state: FreezeState,
    requests: Requests,
    schedule: Schedule,
    last_plan: RolePlan,
    last_view: Vec<EngineView>,
    orders: OrderCounts,
    stopped: bool,
}

impl RoleController {
    /// A controller that begins its first round at `now`.
    pub fn new(engines: Vec<WatchedEngine>, config: ControllerConfig, now: Duration) -> Self {
        let observations = engines.iter().map(|_| EngineObservation::default()).collect();
        RoleController {
            engines,
            observations,
            planner: Planner::new(config.limits, config.costs, config.policy),
            config,
            demand_source: DemandSource {
                routers: Vec::new(),
                throughput: EngineThroughput { prefill: 1.0, decode: 1.0 },
                demand: Demand::default(),
            },
            freeze_state: FreezeState::default(),
            requests: Requests::default(),
            schedule: Schedule { next_poll: now, next_plan: None },
            last_plan: RolePlan::default(),
            last_view: Vec::new(),
            orders: OrderCounts::default(),
            stopped: false,
        }
    }

    /// Takes the demand from the metrics of these routers; `throughput` is that of an engine.
    #[must_use]
    pub fn with_routers(mut self, routers: Vec<SocketAddr>, throughput: EngineThroughput) -> Self {
        self.demand_source.routers = routers;
        self.demand_source.throughput = throughput;
        self
    }

    /// The last plan.
    pub fn last_plan(&self) -> &RolePlan {
        &self.last_plan
    }

    /// The engines that answered in the last round, as they were then.
    pub fn last_view(&self) -> &[EngineView] {
        &self.last_view
    }

    /// The numbers of orders that engines accepted and rejected since the start.
    pub fn orders(&self) -> OrderCounts {
        self.orders
    }

    fn begin_round(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.requests.abort_all(out);
        for (engine, watched) in self.engines.iter().enumerate() {
            self.observations[engine].begin_round();
            self.requests.poll_engine(engine, watched.addr, out);
        }
        for (router, address) in self.demand_source.routers.iter().enumerate() {
            self.requests.poll_router(router, *address, out);
        }
        self.schedule.next_poll = now + POLL_INTERVAL;
        self.schedule.next_plan = Some(now + POLL_INTERVAL.mul_f64(ANSWER_DEADLINE_SHARE));
    }

    fn take_answer(&mut self, answer: Answer) {
        match answer {
            Answer::Router { router, metrics } => {
                self.demand_source.demand.add_metrics(router, &metrics);
                if let Some(frozen) = policy_freezes_roles(&metrics) {
                    self.freeze_state.policies.insert(router, frozen);
                }
            }
            Answer::Load { engine, load } => self.observations[engine].load = Some(load),
            Answer::Role { engine, role } => self.observations[engine].role = role,
            Answer::Order { accepted: true } => self.orders.accepted += 1,
            Answer::Order { accepted: false } => self.orders.rejected += 1,
        }
    }

    fn plan(&mut self, now: Duration, out: &mut Vec<Output>) {
        let mut view = self.view(now);
        self.last_view.clone_from(&view.engines);
        match self.demand_source.demand.take_load(now, self.demand_source.throughput) {
            Some(load) => view.load = load,
            // The demand at routers that do not answer is unknown: no change is better than one that is based
            // on an incomplete view.
            None if !self.demand_source.routers.is_empty() => return,
            None => {}
        }
        // One router whose policy freezes roles is enough, as a change can't be taken back.
        let is_frozen =
            self.freeze_state.operator || self.freeze_state.policies.values().any(|frozen| *frozen);
        self.planner.freeze(is_frozen);
        let plan = self.planner.plan(&view);
        for change in &plan.changes {
            self.order(change, out);
        }
        self.last_plan = plan;
    }

    /// Logs a change and, except in a dry run, orders it.
    fn order(&mut self, change: &RoleChange, out: &mut Vec<Output>) {
        if self.config.mode == ControllerMode::DryRun {
            return out.push(Output::Log(format!("would order {change}")));
        }
        out.push(Output::Log(format!("orders {change}")));
        if let Some(engine) = self.engines.iter().find(|engine| engine.id == change.engine) {
            self.requests.order(engine.addr, change, out);
        }
    }

    fn watch(&mut self, engines: &[WatchedEngine]) {
        self.engines = engines.to_vec();
        self.observations = engines.iter().map(|_| EngineObservation::default()).collect();
        self.requests.forget_all();
    }
}

impl RoleController {
    fn handle_input(&mut self, input: Input<'_>, out: &mut Vec<Output>) {
        match input {
            Input::Connected(conn) => self.requests.send(conn, out),
            Input::Data(conn, bytes) => {
                // Without engines there is nothing to plan, so answers of routers are dropped.
                let takes_answers = !self.engines.is_empty();
                for answer in self.requests.receive(conn, bytes, takes_answers, out) {
                    self.take_answer(answer);
                }
            }
            Input::Eof(conn) => {
                self.requests.remove(conn);
                out.push(Output::CloseWhenSent(conn));
            }
            Input::Lost(conn, _) => self.requests.remove(conn),
            Input::OwnerMessage(message) => self.handle_owner_message(message),
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
    }

    fn handle_owner_message(&mut self, message: &dyn std::any::Any) {
        if let Some(Freeze(frozen)) = message.downcast_ref() {
            self.freeze_state.operator = *frozen;
            self.planner.freeze(*frozen);
        } else if let Some(engines) = message.downcast_ref::<Vec<WatchedEngine>>() {
            self.watch(engines);
        }
    }
}

/// Whether a router's metrics show that its policy freezes the roles; `None` if they lack that metric.
fn policy_freezes_roles(metrics: &str) -> Option<bool> {
    let value = metrics.lines().find_map(|line| line.strip_prefix("slipreel_policy_roles_frozen "))?;
    Some(value.trim() != "0")
}

impl Machine for RoleController {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        self.handle_input(input, out);
        if self.stopped {
            return;
        }
        if self.schedule.next_plan.is_some_and(|at| at <= now) {
            self.schedule.next_plan = None;
            self.plan(now, out);
        }
        if self.schedule.next_poll <= now {
            self.begin_round(now, out);
        }
    }

    fn wake_at(&self) -> Option<Duration> {
        let Schedule { next_poll, next_plan } = self.schedule;
        (!self.stopped).then(|| next_plan.map_or(next_poll, |at| at.min(next_poll)))
    }
}
