//! Judges the five rules from traffic alone: what clients, engines and the list saw on the wire.
//!
//! Clients and engines append [`Record`]s as they send and receive; [`judge`] reads them afterwards. The router is
//! never asked. A request is known by the mark that its client put into the prompt, so that engines can name it
//! without the router's help.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod policy;
pub mod repeats;
pub mod terms;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// One try of a client: the same request may be asked again as another try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientAttempt {
    /// The request, the same over its tries.
    pub request: u64,
    /// Which of its tries, from 0.
    pub number: u32,
}

/// What a request does when it runs, as the checker has to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Runs once for each key where repeats are dropped.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The three final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The whole answer.
    Served,
    /// Turned away: harmless to try again.
    Refused,
    /// Failed.
    Failed,
}

/// What an engine does with a request, as it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Reads the prompt.
    Prefill,
    /// Writes the answer.
    Decode,
}

/// What was seen, by whom is told by the variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client sent a try. It waits for its answer to begin until the deadline.
    Asked {
        /// Which.
        attempt: ClientAttempt,
        /// What it does when it runs.
        effect: Effect,
        /// When its time is up.
        deadline: Duration,
    },
    /// The first part of an answer reached a client.
    Began(ClientAttempt),
    /// A final answer reached a client.
    Ended(ClientAttempt, Ending),
    /// A client left, or its time was up, without a final answer.
    Left(ClientAttempt),
    /// The connection of a client broke without a final answer: only a router that died may do that.
    Cut(ClientAttempt),
    /// A router died at once with whatever it had taken.
    RouterDied(String),
    /// A router was told that an engine takes nothing new (`true`) or again (`false`).
    RouterNotified {
        /// The router's name, as engines see it.
        router: String,
        /// The engine.
        engine: String,
        /// It drains or is gone.
        closed: bool,
    },
    /// Work reached an engine, whatever it did with it.
    Arrived {
        /// The engine.
        engine: String,
        /// The router that sent it.
        router: String,
        /// Which.
        attempt: ClientAttempt,
        /// Reading or writing.
        stage: Stage,
    },
    /// What had arrived is over at the engine: answered, turned away or dropped.
    Finished {
        /// The engine.
        engine: String,
        /// Which.
        attempt: ClientAttempt,
        /// Reading or writing.
        stage: Stage,
    },
    /// The request had its effect at an engine.
    Ran {
        /// The engine.
        engine: String,
        /// Which.
        attempt: ClientAttempt,
    },
    /// Read state of a request began to wait at an engine.
    StateHeld {
        /// The engine.
        engine: String,
        /// Which.
        attempt: ClientAttempt,
        /// Tells several states of one try apart.
        state: u64,
    },
    /// Held state was taken, let go of, or lost with its engine.
    StateReleased {
        /// The engine.
        engine: String,
        /// Which state.
        state: u64,
    },
    /// Work that a router has sent waits on a link that is cut: it is out, though no engine has it.
    InTransit {
        /// Which.
        attempt: ClientAttempt,
        /// Tells several apart.
        transfer: u64,
    },
    /// It has gone on, or was given up.
    TransitEnded {
        /// Which.
        attempt: ClientAttempt,
        /// Tells several apart.
        transfer: u64,
    },
    /// A router can't reach an engine (`true`), or can again: it can let go of nothing there in the meantime.
    LinkCut {
        /// The router's name.
        router: String,
        /// The engine.
        engine: String,
        /// Whether the link is cut.
        cut: bool,
    },
    /// An engine died with whatever it had.
    EngineDied(String),
    /// The run is over: what is held until now is judged up to here.
    RunOver,
    /// A cold engine was sent more than it bears and fell over.
    EngineOverloaded(String),
    /// A call to an engine, or an answer to a client, named the epoch of policy by which the request was taken, or none.
    Stamped {
        /// The router.
        router: String,
        /// Which.
        attempt: ClientAttempt,
        /// The epoch.
        epoch: Option<u64>,
        /// On what it stood.
        on: policy::StampedMessage,
    },
    /// What an operator heard from a router of a change.
    ChangeReported {
        /// The router.
        router: String,
        /// The change.
        id: String,
        /// What it said.
        status: policy::ChangeStatus,
    },
    /// What an operator heard from a router of the policy that it acts by.
    PolicyReported {
        /// The router.
        router: String,
        /// The epoch.
        epoch: u64,
        /// Of the policy.
        digest: String,
    },
}

/// What was seen and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When.
    pub at: Duration,
    /// What.
    pub seen: Seen,
}

/// The limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A final answer may come so much after its client's time is up.
    pub answer_slack: Duration,
    /// Work may reach a closed engine so long after a router was told.
    pub drain_grace: Duration,
    /// Held state is taken or let go of within this time.
    pub held_state_limit: Duration,
    /// What the wire and the clocks add to a time measured at an engine.
    pub wire: Duration,
}

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request taken gets exactly one final answer before its client's time is up.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Drains kept.
    Drains,
    /// A cold engine is not pushed over.
    Cold,
    /// Nothing stays pinned.
    Pinned,
}

/// All five, in their order.
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

/// One break of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When.
    pub at: Duration,
    /// What was seen.
    pub description: String,
    /// Of which try, where the rule is about one answer.
    pub attempt: Option<ClientAttempt>,
}

/// Judges the records of one run. They need not be in order.
pub fn judge(records: &[Record], limits: &Limits) -> Vec<Violation> {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut breaks = Vec::new();
    answers(&records, limits, &mut breaks);
    effects(&records, &mut breaks);
    drains(&records, limits, &mut breaks);
    for r in &records {
        if let Seen::EngineOverloaded(engine) = &r.seen {
            breaks.push(Violation {
                rule: Rule::Cold,
                at: r.at,
                description: format!("{engine} fell over"),
                attempt: None,
            });
        }
    }
    pinned(&records, limits, &mut breaks);
    breaks.sort_by_key(|b| (b.at, b.rule));
    breaks
}

#[derive(Default)]
struct Asked {
    deadline: Duration,
    began: Option<Duration>,
    endings: usize,
    left: bool,
    cut: Option<Duration>,
}

fn answers(records: &[&Record], limits: &Limits, breaks: &mut Vec<Violation>) {
    let mut tries: BTreeMap<ClientAttempt, Asked> = BTreeMap::new();
    let mut died = Vec::new();
    let mut say = |of: &ClientAttempt, at, what: String| {
        breaks.push(Violation { rule: Rule::OneAnswer, at, description: what, attempt: Some(*of) });
    };
    for r in records {
        match &r.seen {
            Seen::Asked { attempt: what, deadline, .. } => {
                tries.insert(*what, Asked { deadline: *deadline, ..Asked::default() });
            }
            Seen::Began(what) => {
                if let Some(t) = tries.get_mut(what) {
                    t.began.get_or_insert(r.at);
                }
            }
            Seen::Ended(what, ending) => {
                let Some(t) = tries.get_mut(what) else { continue };
                t.endings += 1;
                if t.endings > 1 {
                    say(what, r.at, format!("{what:?} got a second final answer, {ending:?}"));
                }
                let last = t.deadline + limits.answer_slack;
                if t.began.unwrap_or(r.at) > last {
                    say(what, r.at, format!("{what:?} ended {ending:?} after its time was up"));
                }
            }
            Seen::Left(what) => {
                if let Some(t) = tries.get_mut(what) {
                    t.left = true;
                    if t.endings == 0 && t.began.is_none() && r.at > t.deadline + limits.answer_slack {
                        say(what, r.at, format!("{what:?} had no answer when its time was up"));
                    }
                }
            }
            Seen::Cut(what) => {
                if let Some(t) = tries.get_mut(what) {
                    t.cut = Some(r.at);
                }
            }
            Seen::RouterDied(_) => died.push(r.at),
            _ => {}
        }
    }
    for (what, t) in &tries {
        let excused =
            t.left || t.cut.is_some_and(|at| died.iter().any(|&d| d <= at && at <= d + limits.wire));
        if t.endings == 0 && !excused {
            say(what, t.deadline, format!("{what:?} got no final answer"));
        }
    }
}

fn effects(records: &[&Record], breaks: &mut Vec<Violation>) {
    let mut effects: BTreeMap<u64, Effect> = BTreeMap::new();
    let mut ran: BTreeMap<u64, usize> = BTreeMap::new();
    let mut refused: BTreeSet<ClientAttempt> = BTreeSet::new();
    for r in records {
        match &r.seen {
            Seen::Asked { attempt: what, effect, .. } => {
                effects.insert(what.request, *effect);
            }
            Seen::Ended(what, Ending::Refused) => {
                refused.insert(*what);
            }
            _ => {}
        }
    }
    for r in records {
        let Seen::Ran { engine, attempt: what } = &r.seen else { continue };
        let effect = effects.get(&what.request).copied().unwrap_or(Effect::Safe);
        if effect == Effect::Safe {
            continue;
        }
        let times = ran.entry(what.request).or_default();
        *times += 1;
        if *times > 1 {
            let what = format!("{what:?} ({effect:?}) ran {times} times, last at {engine}");
            breaks.push(Violation { rule: Rule::NoEffectTwice, at: r.at, description: what, attempt: None });
        } else if effect == Effect::Unsafe && refused.contains(what) {
            let what = format!("{what:?} (unsafe) ran at {engine} and was refused as harmless to repeat");
            breaks.push(Violation { rule: Rule::NoEffectTwice, at: r.at, description: what, attempt: None });
        }
    }
}

fn drains(records: &[&Record], limits: &Limits, breaks: &mut Vec<Violation>) {
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
            Seen::Arrived { engine, router, attempt: what, .. } => {
                let told = closed.get(&(router.as_str(), engine.as_str()));
                if told.is_some_and(|&told| r.at > told + limits.drain_grace + limits.wire) {
                    let what = format!(
                        "{what:?} reached {engine} from {router} long after it was told of the drain"
                    );
                    breaks.push(Violation { rule: Rule::Drains, at: r.at, description: what, attempt: None });
                }
            }
            _ => {}
        }
    }
}

struct Held<'a> {
    engine: &'a str,
    what: ClientAttempt,
    /// Since when nothing is at work; `None` while something is.
    quiet: Option<Duration>,
}

/// Where work of a try is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place<'a> {
    Engine(&'a str),
    Transfer(u64),
}

/// For each held state: the longest time between its start and its end in which nothing of its try was at work.
/// What an engine held ends with it; what a router left when it died is for its engines to free.
fn pinned(records: &[&Record], limits: &Limits, breaks: &mut Vec<Violation>) {
    let mut held: BTreeMap<(&str, u64), Held> = BTreeMap::new();
    let mut at_work: BTreeMap<ClientAttempt, Vec<Place>> = BTreeMap::new();
    let mut routers: BTreeMap<ClientAttempt, (&str, Duration)> = BTreeMap::new();
    let mut died: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut apart: BTreeSet<(&str, &str)> = BTreeSet::new();
    let most = limits.held_state_limit + limits.wire;
    let check = |h: &Held, now: Duration, breaks: &mut Vec<Violation>| {
        if h.quiet.is_some_and(|since| now > since + most) {
            let what = format!("state of {:?} lay at {} with nothing at work", h.what, h.engine);
            breaks.push(Violation { rule: Rule::Pinned, at: now, description: what, attempt: None });
        }
    };
    for r in records {
        let begins = match &r.seen {
            Seen::Arrived { attempt: what, engine, router, .. } => {
                routers.insert(*what, (router, r.at));
                Some((*what, Place::Engine(engine)))
            }
            Seen::InTransit { attempt: what, transfer } => Some((*what, Place::Transfer(*transfer))),
            _ => None,
        };
        if let Some((what, place)) = begins {
            at_work.entry(what).or_default().push(place);
            for h in held.values_mut().filter(|h| h.what == what) {
                check(h, r.at, breaks);
                h.quiet = None;
            }
        }
        let ends = match &r.seen {
            Seen::Finished { attempt: what, engine, .. } => Some((*what, Place::Engine(engine))),
            Seen::TransitEnded { attempt: what, transfer } => Some((*what, Place::Transfer(*transfer))),
            _ => None,
        };
        if let Some((what, place)) = ends {
            let Some(places) = at_work.get_mut(&what) else { continue };
            if let Some(at) = places.iter().position(|p| *p == place) {
                places.swap_remove(at);
            }
            if places.is_empty() {
                at_work.remove(&what);
                held.values_mut().filter(|h| h.what == what).for_each(|h| h.quiet = Some(r.at));
            }
        }
        match &r.seen {
            // A read may end in the moment in which its router dies: what that left is for its engines to free.
            Seen::StateHeld { attempt: what, .. }
                if routers.get(what).is_some_and(|(router, sent)| died.get(router) >= Some(sent)) => {}
            Seen::StateHeld { engine, attempt: what, state } => {
                let quiet = (!at_work.contains_key(what)).then_some(r.at);
                held.insert((engine, *state), Held { engine, what: *what, quiet });
            }
            Seen::StateReleased { engine, state } => {
                if let Some(h) = held.remove(&(engine.as_str(), *state)) {
                    check(&h, r.at, breaks);
                }
            }
            Seen::LinkCut { router, engine, cut } => {
                if *cut {
                    apart.insert((router, engine));
                } else {
                    apart.remove(&(router.as_str(), engine.as_str()));
                    let mine = |h: &&mut Held| {
                        h.engine == engine && routers.get(&h.what).map(|r| r.0) == Some(router)
                    };
                    held.values_mut()
                        .filter(mine)
                        .filter(|h| h.quiet.is_some())
                        .for_each(|h| h.quiet = Some(r.at));
                }
            }
            Seen::EngineDied(engine) => {
                held.retain(|(at, _), _| at != engine);
                at_work.retain(|what, places| {
                    places.retain(|p| *p != Place::Engine(engine));
                    if places.is_empty() {
                        held.values_mut().filter(|h| h.what == *what).for_each(|h| h.quiet = Some(r.at));
                    }
                    !places.is_empty()
                });
            }
            Seen::RouterDied(router) => {
                died.insert(router, r.at);
                held.retain(|_, h| routers.get(&h.what).map(|r| r.0) != Some(router));
            }
            _ => {}
        }
        // While its router can't reach the engine, state there waits for the link, not for the router.
        for h in held.values_mut().filter(|h| h.quiet.is_some()) {
            let router = routers.get(&h.what).map(|r| r.0).unwrap_or_default();
            if apart.contains(&(router, h.engine)) {
                h.quiet = Some(r.at);
            }
        }
    }
    let end = records.last().map_or(Duration::ZERO, |r| r.at);
    held.values().for_each(|h| check(h, end, breaks));
}

#[cfg(test)]
mod tests;
