//! Checks the five rules from traffic alone: what clients, engines and the engine list saw on the wire.
//!
//! Clients and engines append [`Record`]s as they send and receive; [`judge`] evaluates them after the run.
//! The router is never queried. Each client puts a mark into the prompt of its requests, so that engines can
//! identify a request without the router's help.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod policy;
pub mod repeats;
pub mod terms;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// One attempt of a client at a request. A client that retries a request makes another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientAttempt {
    /// The request, the same for all its attempts.
    pub request: u64,
    /// The number of the attempt, from 0.
    pub number: u32,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Once per idempotency key on engines that discard repeats.
    Keyed,
    /// At most once.
    Unsafe,
}

/// The three kinds of final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// A complete answer.
    Served,
    /// A refusal; a retry is harmless.
    Refused,
    /// A failure.
    Failed,
}

/// The part of a request that an engine works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Processing of the prompt.
    Prefill,
    /// Generation of the answer.
    Decode,
}

/// An observation. The variant determines whether a client, an engine or the test harness made it.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client sent an attempt and waits until the deadline for the answer to begin.
    Asked {
        /// The attempt.
        attempt: ClientAttempt,
        /// How often the request may run.
        effect: Effect,
        /// The time until which the client waits.
        deadline: Duration,
    },
    /// The first part of an answer reached the client.
    Began(ClientAttempt),
    /// A final answer reached the client.
    Ended(ClientAttempt, Ending),
    /// A client left, or its deadline passed, without a final answer.
    Left(ClientAttempt),
    /// A client's connection broke without a final answer. Only the crash of its router excuses this.
    Cut(ClientAttempt),
    /// A router crashed and lost all requests that it had accepted.
    RouterDied(String),
    /// A router was notified that an engine accepts no new work (`true`), or accepts work again (`false`).
    RouterNotified {
        /// The router's name, as engines see it.
        router: String,
        /// The engine.
        engine: String,
        /// Whether the engine drains or is gone.
        closed: bool,
    },
    /// Work reached an engine, whether or not the engine accepted it.
    Arrived {
        /// The engine.
        engine: String,
        /// The router that sent it.
        router: String,
        /// The client's attempt that the work belongs to.
        attempt: ClientAttempt,
        /// Prefill or decode.
        stage: Stage,
    },
    /// Work that had arrived at an engine ended: it was answered, refused or dropped.
    Finished {
        /// The engine.
        engine: String,
        /// The client's attempt that the work belongs to.
        attempt: ClientAttempt,
        /// Prefill or decode.
        stage: Stage,
    },
    /// The request took effect at an engine.
    Ran {
        /// The engine.
        engine: String,
        /// The client's attempt.
        attempt: ClientAttempt,
    },
    /// An engine began to hold the prefill state of a request until a decode engine fetches it.
    StateHeld {
        /// The engine.
        engine: String,
        /// The client's attempt.
        attempt: ClientAttempt,
        /// Identifies the state; one attempt may leave several on an engine.
        state: u64,
    },
    /// Held state was fetched, released, or lost with its engine.
    StateReleased {
        /// The engine.
        engine: String,
        /// Identifies the state.
        state: u64,
    },
    /// Work that a router has sent waits on a cut link: it is still active, although no engine has received
    /// it.
    InTransit {
        /// The client's attempt.
        attempt: ClientAttempt,
        /// Identifies the transfer; one attempt may have several.
        transfer: u64,
    },
    /// Work in transit was delivered or abandoned.
    TransitEnded {
        /// The client's attempt.
        attempt: ClientAttempt,
        /// Identifies the transfer.
        transfer: u64,
    },
    /// The link between a router and an engine was cut (`true`) or restored (`false`). While it is cut, the
    /// router can't release state on the engine.
    LinkCut {
        /// The router's name.
        router: String,
        /// The engine.
        engine: String,
        /// Whether the link is cut.
        cut: bool,
    },
    /// An engine crashed and lost all its work and held state.
    EngineDied(String),
    /// The run ended: state that is still held is checked up to this time.
    RunOver,
    /// A cold engine received more than it can handle and crashed.
    EngineOverloaded(String),
    /// An attempt at an engine, or an answer to a client, carried the epoch of the policy under which the
    /// request was accepted, or none.
    Stamped {
        /// The router.
        router: String,
        /// The client's attempt.
        attempt: ClientAttempt,
        /// The epoch, if the message named one.
        epoch: Option<u64>,
        /// The message that carried the stamp.
        on: policy::StampedMessage,
    },
    /// A router reported the status of a policy change to an operator.
    ChangeReported {
        /// The router.
        router: String,
        /// Identifies the change.
        id: String,
        /// The reported status.
        status: policy::ChangeStatus,
    },
    /// A router reported to an operator which policy it applies.
    PolicyReported {
        /// The router.
        router: String,
        /// The epoch of the policy.
        epoch: u64,
        /// The digest of the policy.
        digest: String,
    },
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When it was made.
    pub at: Duration,
    /// What was observed.
    pub seen: Seen,
}

/// The time limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long after its client's deadline a final answer may come.
    pub answer_slack: Duration,
    /// How long after a router was notified its work may still reach a closed engine.
    pub drain_grace: Duration,
    /// How long state may be held while no work of its attempt is active.
    pub held_state_limit: Duration,
    /// What the network and the clocks add to a time measured at an engine.
    pub wire: Duration,
}

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted request gets exactly one final answer before its client's deadline.
    OneAnswer,
    /// No request takes effect twice.
    NoEffectTwice,
    /// No new work reaches an engine that drains.
    Drains,
    /// No cold engine is overloaded.
    Cold,
    /// No state stays on an engine without active work.
    Pinned,
}

/// The five rules in the order of their declaration.
pub const RULES: [Rule; 5] = [Rule::OneAnswer, Rule::NoEffectTwice, Rule::Drains, Rule::Cold, Rule::Pinned];

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one final answer in time",
            Rule::NoEffectTwice => "no effect twice",
            Rule::Drains => "drains kept",
            Rule::Cold => "no cold engine pushed over",
            Rule::Pinned => "nothing left pinned",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated.
    pub at: Duration,
    /// What was observed.
    pub description: String,
    /// The client's attempt, where the rule concerns a single answer.
    pub attempt: Option<ClientAttempt>,
}

/// Checks the records of one run, which may be in any order.
pub fn judge(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut violations = Vec::new();
    check_answers(&records, limits, &mut violations);
    check_effects(&records, &mut violations);
    check_drains(&records, limits, &mut violations);
    for r in &records {
        if let Seen::EngineOverloaded(engine) = &r.seen {
            violations.push(Violation {
                rule: Rule::Cold,
                at: r.at,
                description: format!("{engine} was overloaded and crashed"),
                attempt: None,
            });
        }
    }
    check_pinned_state(&records, limits, &mut violations);
    violations.sort_by_key(|b| (b.at, b.rule));
    violations
}

#[derive(Default)]
struct AttemptState {
    deadline: Duration,
    began: Option<Duration>,
    endings: usize,
    left: bool,
    cut: Option<Duration>,
}

fn check_answers(records: &[&Record], limits: &Limits, violations: &mut Vec<Violation>) {
    let mut attempts: BTreeMap<ClientAttempt, AttemptState> = BTreeMap::new();
    let mut crashed = Vec::new();
    let mut report = |attempt: &ClientAttempt, at, description: String| {
        violations.push(Violation { rule: Rule::OneAnswer, at, description, attempt: Some(*attempt) });
    };
    for r in records {
        match &r.seen {
            Seen::Asked { attempt, deadline, .. } => {
                attempts.insert(*attempt, AttemptState { deadline: *deadline, ..AttemptState::default() });
            }
            Seen::Began(attempt) => {
                if let Some(t) = attempts.get_mut(attempt) {
                    t.began.get_or_insert(r.at);
                }
            }
            Seen::Ended(attempt, ending) => {
                let Some(t) = attempts.get_mut(attempt) else { continue };
                t.endings += 1;
                if t.endings > 1 {
                    report(attempt, r.at, format!("{attempt:?} got a second final answer, {ending:?}"));
                }
                let latest = t.deadline + limits.answer_slack;
                if t.began.unwrap_or(r.at) > latest {
                    report(attempt, r.at, format!("{attempt:?} ended {ending:?} after its deadline"));
                }
            }
            Seen::Left(attempt) => {
                if let Some(t) = attempts.get_mut(attempt) {
                    t.left = true;
                    if t.endings == 0 && t.began.is_none() && r.at > t.deadline + limits.answer_slack {
                        report(attempt, r.at, format!("{attempt:?} had no answer at its deadline"));
                    }
                }
            }
            Seen::Cut(attempt) => {
                if let Some(t) = attempts.get_mut(attempt) {
                    t.cut = Some(r.at);
                }
            }
            Seen::RouterDied(_) => crashed.push(r.at),
            _ => {}
        }
    }
    for (attempt, t) in &attempts {
        let excused =
            t.left || t.cut.is_some_and(|at| crashed.iter().any(|&d| d <= at && at <= d + limits.wire));
        if t.endings == 0 && !excused {
            report(attempt, t.deadline, format!("{attempt:?} got no final answer"));
        }
    }
}

fn check_effects(records: &[&Record], violations: &mut Vec<Violation>) {
    let mut effects: BTreeMap<u64, Effect> = BTreeMap::new();
    let mut ran: BTreeMap<u64, usize> = BTreeMap::new();
    let mut refused: BTreeSet<ClientAttempt> = BTreeSet::new();
    for r in records {
        match &r.seen {
            Seen::Asked { attempt, effect, .. } => {
                effects.insert(attempt.request, *effect);
            }
            Seen::Ended(attempt, Ending::Refused) => {
                refused.insert(*attempt);
            }
            _ => {}
        }
    }
    for r in records {
        let Seen::Ran { engine, attempt } = &r.seen else { continue };
        let effect = effects.get(&attempt.request).copied().unwrap_or(Effect::Safe);
        if effect == Effect::Safe {
            continue;
        }
        let runs = ran.entry(attempt.request).or_default();
        *runs += 1;
        if *runs > 1 {
            let description = format!("{attempt:?} ({effect:?}) ran {runs} times, last at {engine}");
            violations.push(Violation { rule: Rule::NoEffectTwice, at: r.at, description, attempt: None });
        } else if effect == Effect::Unsafe && refused.contains(attempt) {
            let description = format!(
                "{attempt:?} (unsafe) ran at {engine}, but its refusal said that a retry is harmless"
            );
            violations.push(Violation { rule: Rule::NoEffectTwice, at: r.at, description, attempt: None });
        }
    }
}

fn check_drains(records: &[&Record], limits: &Limits, violations: &mut Vec<Violation>) {
    let mut closed: BTreeMap<(&str, &str), Duration> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::RouterNotified { router, engine, closed: true } => {
                closed.entry((router, engine)).or_insert(r.at);
            }
            Seen::RouterNotified { router, engine, closed: false } => {
                closed.remove(&(router.as_str(), engine.as_str()));
            }
            Seen::RouterDied(router) => closed.retain(|(r, _), _| r != router),
            Seen::Arrived { engine, router, attempt, .. } => {
                let notified = closed.get(&(router.as_str(), engine.as_str()));
                if notified.is_some_and(|&notified| r.at > notified + limits.drain_grace + limits.wire) {
                    let description = format!(
                        "{attempt:?} reached {engine} from {router} after the grace period of its drain"
                    );
                    violations.push(Violation { rule: Rule::Drains, at: r.at, description, attempt: None });
                }
            }
            _ => {}
        }
    }
}

struct HeldState<'a> {
    engine: &'a str,
    attempt: ClientAttempt,
    /// Since when no work of the attempt has been active; `None` while some is.
    idle_since: Option<Duration>,
}

/// Where work of an attempt is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WorkLocation<'a> {
    Engine(&'a str),
    Transfer(u64),
}

/// Checks for each held state the longest time between its start and its end in which no work of its attempt
/// was active. State of an engine that crashes ends with the engine, and engines have to free what a crashed
/// router left behind.
fn check_pinned_state(records: &[&Record], limits: &Limits, violations: &mut Vec<Violation>) {
    let mut held: BTreeMap<(&str, u64), HeldState> = BTreeMap::new();
    let mut active: BTreeMap<ClientAttempt, Vec<WorkLocation>> = BTreeMap::new();
    let mut routers: BTreeMap<ClientAttempt, (&str, Duration)> = BTreeMap::new();
    let mut crashed: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut unreachable: BTreeSet<(&str, &str)> = BTreeSet::new();
    let limit = limits.held_state_limit + limits.wire;
    let check = |h: &HeldState, now: Duration, violations: &mut Vec<Violation>| {
        if h.idle_since.is_some_and(|since| now > since + limit) {
            let description =
                format!("state of {:?} was held at {} too long without active work", h.attempt, h.engine);
            violations.push(Violation { rule: Rule::Pinned, at: now, description, attempt: None });
        }
    };
    for r in records {
        let started = match &r.seen {
            Seen::Arrived { attempt, engine, router, .. } => {
                routers.insert(*attempt, (router, r.at));
                Some((*attempt, WorkLocation::Engine(engine)))
            }
            Seen::InTransit { attempt, transfer } => Some((*attempt, WorkLocation::Transfer(*transfer))),
            _ => None,
        };
        if let Some((attempt, location)) = started {
            active.entry(attempt).or_default().push(location);
            for h in held.values_mut().filter(|h| h.attempt == attempt) {
                check(h, r.at, violations);
                h.idle_since = None;
            }
        }
        let ended = match &r.seen {
            Seen::Finished { attempt, engine, .. } => Some((*attempt, WorkLocation::Engine(engine))),
            Seen::TransitEnded { attempt, transfer } => Some((*attempt, WorkLocation::Transfer(*transfer))),
            _ => None,
        };
        if let Some((attempt, location)) = ended {
            let Some(locations) = active.get_mut(&attempt) else { continue };
            if let Some(at) = locations.iter().position(|p| *p == location) {
                locations.swap_remove(at);
            }
            if locations.is_empty() {
                active.remove(&attempt);
                held.values_mut().filter(|h| h.attempt == attempt).for_each(|h| h.idle_since = Some(r.at));
            }
        }
        match &r.seen {
            // Prefill may end at the moment at which the router crashes. Its engine has to free this state.
            Seen::StateHeld { attempt, .. }
                if routers.get(attempt).is_some_and(|(router, sent)| crashed.get(router) >= Some(sent)) => {}
            Seen::StateHeld { engine, attempt, state } => {
                let idle_since = (!active.contains_key(attempt)).then_some(r.at);
                held.insert((engine, *state), HeldState { engine, attempt: *attempt, idle_since });
            }
            Seen::StateReleased { engine, state } => {
                if let Some(h) = held.remove(&(engine.as_str(), *state)) {
                    check(&h, r.at, violations);
                }
            }
            Seen::LinkCut { router, engine, cut } => {
                if *cut {
                    unreachable.insert((router, engine));
                } else {
                    unreachable.remove(&(router.as_str(), engine.as_str()));
                    let is_affected = |h: &&mut HeldState| {
                        h.engine == engine && routers.get(&h.attempt).map(|r| r.0) == Some(router)
                    };
                    held.values_mut()
                        .filter(is_affected)
                        .filter(|h| h.idle_since.is_some())
                        .for_each(|h| h.idle_since = Some(r.at));
                }
            }
            Seen::EngineDied(engine) => {
                held.retain(|(at, _), _| at != engine);
                active.retain(|attempt, locations| {
                    locations.retain(|p| *p != WorkLocation::Engine(engine));
                    if locations.is_empty() {
                        held.values_mut()
                            .filter(|h| h.attempt == *attempt)
                            .for_each(|h| h.idle_since = Some(r.at));
                    }
                    !locations.is_empty()
                });
            }
            Seen::RouterDied(router) => {
                crashed.insert(router, r.at);
                held.retain(|_, h| routers.get(&h.attempt).map(|r| r.0) != Some(router));
            }
            _ => {}
        }
        // While the router can't reach the engine, state there waits for the link and not for the router.
        for h in held.values_mut().filter(|h| h.idle_since.is_some()) {
            let router = routers.get(&h.attempt).map(|r| r.0).unwrap_or_default();
            if unreachable.contains(&(router, h.engine)) {
                h.idle_since = Some(r.at);
            }
        }
    }
    let end = records.last().map_or(Duration::ZERO, |r| r.at);
    held.values().for_each(|h| check(h, end, violations));
}

#[cfg(test)]
mod tests;
