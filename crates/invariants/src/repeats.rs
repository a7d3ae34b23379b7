//! Checks from what engines received whether a request that must not be repeated was repeated (rule 2 of the
//! wire page).
//!
//! Test servers and test clients append [`Fact`]s; [`judge`] evaluates them after the run and follows each
//! request by its id across all engines and routers. The routers are never queried. A client's repeat under a
//! new id counts with its original if a refusal, or a close without an answer, invited it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The engines that discard each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All engines.
    All,
    /// Engines of the same zone.
    Zone,
    /// Engines of the same cell.
    Cell,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Once; the engines of `group` discard repeats for `window` after the first arrival.
    Keyed {
        /// The engines that discard repeats.
        group: Group,
        /// How long they discard them.
        window: Duration,
    },
    /// At most once, and no engine discards repeats.
    Unsafe,
}

/// Identifies an attempt at the engine that received it. No number is used twice in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// The location of an engine when an attempt arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The engine's zone.
    pub zone: String,
    /// The engine's cell.
    pub cell: u32,
}

/// An observation by a client or an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A client sent a request for the first time.
    Asked {
        /// The id that the client gave the request.
        request: String,
        /// How often it may run.
        effect: Effect,
        /// The earlier request that this one repeats because a refusal or a close invited the client to.
        repeats: Option<String>,
    },
    /// The last byte of an attempt reached an engine.
    Arrived {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: String,
        /// The engine.
        engine: String,
        /// The engine's location.
        place: Place,
        /// Whether the attempt is prefill only, which has no effect.
        is_prefill: bool,
    },
    /// The engine answered that this attempt never ran.
    TurnedAway(AttemptId),
    /// The attempt was answered completely, or the router closed its connection or its sending side.
    Finished(AttemptId),
    /// A client learned that a retry is harmless: by status 429 or 503, or by a close without an answer on a
    /// reused connection.
    Invited {
        /// The request.
        request: String,
    },
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// When it was made.
    pub at: Duration,
    /// What was observed.
    pub seen: Seen,
}

/// What the settings permit, and the tolerance of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Whether two attempts at one request may be active at the same time.
    pub second_copies: bool,
    /// How long a close or the last byte may take over the network.
    pub wire: Duration,
}

/// The part of the rule that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    /// An unsafe request reached an engine again after an attempt that may have run.
    UnsafeAgain,
    /// A keyed request reached an engine that is not in the group of the first.
    OutsideGroup,
    /// A keyed request arrived again after the window.
    OutsideWindow,
    /// An attempt arrived while an earlier one of the same request was active.
    SecondCopy,
    /// A client was invited to repeat a request that may have run and must not be repeated.
    Invited,
}

impl fmt::Display for Clause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Clause::UnsafeAgain => "an unsafe request repeated",
            Clause::OutsideGroup => "a keyed request repeated outside its group",
            Clause::OutsideWindow => "a keyed request repeated outside its window",
            Clause::SecondCopy => "a second attempt while the first was active",
            Clause::Invited => "an invitation to repeat a request that may have run",
        })
    }
}

/// A violation of the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated part of the rule.
    pub clause: Clause,
    /// When it was violated.
    pub at: Duration,
    /// What was observed.
    pub description: String,
}

#[derive(Debug)]
struct Arrival<'a> {
    at: Duration,
    request: &'a str,
    engine: &'a str,
    place: &'a Place,
    is_prefill: bool,
    never_ran: bool,
    finished: Option<Duration>,
}

#[derive(Debug, Default)]
struct History<'a> {
    effect: Option<Effect>,
    arrivals: Vec<Arrival<'a>>,
    /// When a client was invited to repeat the request, and the id that it had used.
    invited: Vec<(Duration, &'a str)>,
}

/// Checks the facts of one run, which may be in any order.
pub fn judge(facts: &[Fact], terms: &Terms) -> Vec<Violation> {
    let mut facts: Vec<&Fact> = facts.iter().collect();
    facts.sort_by_key(|fact| fact.at);
    let mut violations = Vec::new();
    for history in histories(&facts).values() {
        history.check_second_copies(terms, &mut violations);
        history.check_repeats(terms, &mut violations);
        history.check_invitations(&mut violations);
    }
    violations.sort_by_key(|v| (v.at, v.clause));
    violations
}

/// The history of each request, including invited repeats under other ids.
fn histories<'a>(facts: &[&'a Fact]) -> BTreeMap<&'a str, History<'a>> {
    let mut originals: BTreeMap<&str, &str> = BTreeMap::new();
    let mut positions: BTreeMap<AttemptId, (&str, usize)> = BTreeMap::new();
    let mut histories: BTreeMap<&str, History> = BTreeMap::new();
    for fact in facts {
        match &fact.seen {
            Seen::Asked { request, effect, repeats } => {
                let original = repeats.as_deref().unwrap_or(request);
                let original = originals.get(original).copied().unwrap_or(original);
                originals.insert(request, original);
                histories.entry(original).or_default().effect.get_or_insert(*effect);
            }
            Seen::Arrived { attempt, request, engine, place, is_prefill } => {
                let original = originals.get(request.as_str()).copied().unwrap_or(request);
                let arrivals = &mut histories.entry(original).or_default().arrivals;
                positions.insert(*attempt, (original, arrivals.len()));
                let (at, is_prefill, never_ran, finished) = (fact.at, *is_prefill, false, None);
                arrivals.push(Arrival { at, request, engine, place, is_prefill, never_ran, finished });
            }
            Seen::TurnedAway(attempt) => {
                if let Some(arrival) = arrival_of(&mut histories, &positions, *attempt) {
                    arrival.never_ran = true;
                    arrival.finished.get_or_insert(fact.at);
                }
            }
            Seen::Finished(attempt) => {
                if let Some(arrival) = arrival_of(&mut histories, &positions, *attempt) {
                    arrival.finished.get_or_insert(fact.at);
                }
            }
            Seen::Invited { request } => {
                let original = originals.get(request.as_str()).copied().unwrap_or(request);
                histories.entry(original).or_default().invited.push((fact.at, request));
            }
        }
    }
    histories
}

fn arrival_of<'h, 'a>(
    histories: &'h mut BTreeMap<&'a str, History<'a>>, positions: &BTreeMap<AttemptId, (&'a str, usize)>,
    attempt: AttemptId,
) -> Option<&'h mut Arrival<'a>> {
    let &(original, index) = positions.get(&attempt)?;
    histories.get_mut(original)?.arrivals.get_mut(index)
}

impl History<'_> {
    /// Arrivals that took effect or may have.
    fn possibly_effective(&self) -> impl Iterator<Item = &Arrival<'_>> {
        self.arrivals.iter().filter(|arrival| !arrival.is_prefill && !arrival.never_ran)
    }

    /// How often the request may run: at most once if no client noted it.
    fn effect(&self) -> Effect {
        self.effect.unwrap_or(Effect::Unsafe)
    }

    fn check_second_copies(&self, terms: &Terms, violations: &mut Vec<Violation>) {
        if terms.second_copies {
            return;
        }
        for (n, later) in self.arrivals.iter().enumerate() {
            let still_active = |earlier: &&Arrival| {
                let is_finished = earlier.finished.is_some_and(|finished| finished <= later.at + terms.wire);
                earlier.request == later.request && !is_finished
            };
            if let Some(earlier) = self.arrivals[..n].iter().find(still_active) {
                let description = format!(
                    "{} reached {} while an earlier attempt was active at {} since {:?}",
                    later.request, later.engine, earlier.engine, earlier.at
                );
                violations.push(Violation { clause: Clause::SecondCopy, at: later.at, description });
            }
        }
    }

    /// Checks each arrival after the first that may have taken effect, even if the engine refused it: the
    /// check is on what a router may send and not on the outcome.
    fn check_repeats(&self, terms: &Terms, violations: &mut Vec<Violation>) {
        let Some(first) = self.possibly_effective().next() else { return };
        let later =
            self.arrivals.iter().filter(|arrival| !arrival.is_prefill && !std::ptr::eq(*arrival, first));
        for arrival in later.filter(|arrival| arrival.at >= first.at) {
            let clause = match self.effect() {
                Effect::Safe => continue,
                Effect::Unsafe => Clause::UnsafeAgain,
                Effect::Keyed { group, .. } if !group.contains_both(first.place, arrival.place) => {
                    Clause::OutsideGroup
                }
                Effect::Keyed { window, .. } if arrival.at > first.at + window + terms.wire => {
                    Clause::OutsideWindow
                }
                Effect::Keyed { .. } => continue,
            };
            let description = format!(
                "{} reached {} ({:?}) after {} had reached {} ({:?}) at {:?} and may have run",
                arrival.request,
                arrival.engine,
                arrival.place,
                first.request,
                first.engine,
                first.place,
                first.at
            );
            violations.push(Violation { clause, at: arrival.at, description });
        }
    }

    fn check_invitations(&self, violations: &mut Vec<Violation>) {
        let may_invite = matches!(self.effect(), Effect::Safe | Effect::Keyed { group: Group::All, .. });
        if may_invite {
            return;
        }
        for &(at, request) in &self.invited {
            // An attempt that arrives only after the invitation counts too: the router had already sent it.
            if let Some(ran) = self.possibly_effective().find(|arrival| arrival.request == request) {
                let description = format!(
                    "{request} was refused as harmless to repeat although it reached {} at {:?}",
                    ran.engine, ran.at
                );
                violations.push(Violation { clause: Clause::Invited, at, description });
            }
        }
    }
}

impl Group {
    fn contains_both(self, first: &Place, other: &Place) -> bool {
        match self {
            Group::All => true,
            Group::Zone => first.zone == other.zone,
            Group::Cell => first.cell == other.cell,
        }
    }
}
