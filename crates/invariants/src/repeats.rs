//! Judges from what engines received whether a request that must not be repeated was repeated (rule 2 of the wire page).
//!
//! Stand-ins for engines and clients append [`Fact`]s; [`judge`] reads them afterwards and follows each request by its id
//! over all engines and routers. No router is asked. A client's repeat under a new id counts with its original if a
//! refusal, or a close without an answer, invited it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// The engines that discard each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All engines.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times.
    Safe,
    /// Once, but repeats are discarded by the engines of `group` for `window` after the first.
    Keyed {
        /// The engines that discard repeats.
        group: Group,
        /// How long they do.
        window: Duration,
    },
    /// Once.
    Unsafe,
}

/// One attempt as the engine that it came to knows it; numbers are never used twice in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// Where an engine stands as an attempt comes to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
}

/// What was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A client sent a request for the first time.
    Asked {
        /// The id that the client gave it.
        request: String,
        /// How often it may run.
        effect: Effect,
        /// The earlier request that it repeats, as a refusal or a close invited it to.
        repeats: Option<String>,
    },
    /// The last byte of an attempt came to an engine.
    Arrived {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        request: String,
        /// The engine.
        engine: String,
        /// Where it stands.
        place: Place,
        /// It reads the prompt alone, which has no effect.
        is_prefill: bool,
    },
    /// The engine answered that this attempt never ran.
    TurnedAway(AttemptId),
    /// The attempt is answered whole, or the router has closed its connection or ended its sending on it.
    Finished(AttemptId),
    /// A client was told that trying again is harmless: by 429 or 503, or by a close without an answer on a kept connection.
    Invited {
        /// The request.
        request: String,
    },
}

/// What was seen and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// When.
    pub at: Duration,
    /// What.
    pub seen: Seen,
}

/// What the settings allow, and the slack of measuring.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// How long a close or the last byte may be on its way.
    pub wire: Duration,
}

/// The part of the rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Clause {
    /// An unsafe request came to an engine again after an attempt that may have run.
    UnsafeAgain,
    /// A keyed request came again to an engine that does not share the group of the first.
    OutsideGroup,
    /// A keyed request came again after the window.
    OutsideWindow,
    /// An attempt came while an earlier one of the same request was out.
    SecondCopy,
    /// A client was invited to repeat a request that may have run and must not be repeated.
    Invited,
}

impl fmt::Display for Clause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Clause::UnsafeAgain => "an unsafe request again",
            Clause::OutsideGroup => "a keyed request outside its group",
            Clause::OutsideWindow => "a keyed request outside its window",
            Clause::SecondCopy => "a second copy while the first was out",
            Clause::Invited => "an invitation to repeat what may have run",
        })
    }
}

/// One break of the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The part of the rule.
    pub clause: Clause,
    /// When.
    pub at: Duration,
    /// What was seen.
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
    over: Option<Duration>,
}

#[derive(Debug, Default)]
struct History<'a> {
    effect: Option<Effect>,
    arrivals: Vec<Arrival<'a>>,
    /// When a client was invited to repeat it, under which id.
    invited: Vec<(Duration, &'a str)>,
}

/// Judges the facts of one run. They need not be in order.
pub fn judge(facts: &[Fact], terms: &Terms) -> Vec<Violation> {
    let mut facts: Vec<&Fact> = facts.iter().collect();
    facts.sort_by_key(|fact| fact.at);
    let mut breaks = Vec::new();
    for history in histories(&facts).values() {
        history.second_copies(terms, &mut breaks);
        history.repeats(terms, &mut breaks);
        history.invitations(&mut breaks);
    }
    breaks.sort_by_key(|b| (b.at, b.clause));
    breaks
}

/// What happened to each request, with the invited repeats of its client under other ids.
fn histories<'a>(facts: &[&'a Fact]) -> BTreeMap<&'a str, History<'a>> {
    let mut originals: BTreeMap<&str, &str> = BTreeMap::new();
    let mut at: BTreeMap<AttemptId, (&str, usize)> = BTreeMap::new();
    let mut all: BTreeMap<&str, History> = BTreeMap::new();
    for fact in facts {
        match &fact.seen {
            Seen::Asked { request, effect, repeats } => {
                let original = repeats.as_deref().unwrap_or(request);
                let original = originals.get(original).copied().unwrap_or(original);
                originals.insert(request, original);
                all.entry(original).or_default().effect.get_or_insert(*effect);
            }
            Seen::Arrived { attempt, request, engine, place, is_prefill } => {
                let original = originals.get(request.as_str()).copied().unwrap_or(request);
                let arrivals = &mut all.entry(original).or_default().arrivals;
                at.insert(*attempt, (original, arrivals.len()));
                let (at, is_prefill, never_ran, over) = (fact.at, *is_prefill, false, None);
                arrivals.push(Arrival { at, request, engine, place, is_prefill, never_ran, over });
            }
            Seen::TurnedAway(attempt) => {
                if let Some(arrival) = arrival_of(&mut all, &at, *attempt) {
                    arrival.never_ran = true;
                    arrival.over.get_or_insert(fact.at);
                }
            }
            Seen::Finished(attempt) => {
                if let Some(arrival) = arrival_of(&mut all, &at, *attempt) {
                    arrival.over.get_or_insert(fact.at);
                }
            }
            Seen::Invited { request } => {
                let original = originals.get(request.as_str()).copied().unwrap_or(request);
                all.entry(original).or_default().invited.push((fact.at, request));
            }
        }
    }
    all
}

fn arrival_of<'h, 'a>(
    all: &'h mut BTreeMap<&'a str, History<'a>>, at: &BTreeMap<AttemptId, (&'a str, usize)>,
    attempt: AttemptId,
) -> Option<&'h mut Arrival<'a>> {
    let &(original, index) = at.get(&attempt)?;
    all.get_mut(original)?.arrivals.get_mut(index)
}

impl History<'_> {
    /// Arrivals that had or may have had an effect.
    fn effects(&self) -> impl Iterator<Item = &Arrival<'_>> {
        self.arrivals.iter().filter(|arrival| !arrival.is_prefill && !arrival.never_ran)
    }

    /// A request of which nobody told how often it may run may run once.
    fn effect(&self) -> Effect {
        self.effect.unwrap_or(Effect::Unsafe)
    }

    fn second_copies(&self, terms: &Terms, breaks: &mut Vec<Violation>) {
        if terms.second_copies {
            return;
        }
        for (n, later) in self.arrivals.iter().enumerate() {
            let still_out = |earlier: &&Arrival| {
                let is_over = earlier.over.is_some_and(|over| over <= later.at + terms.wire);
                earlier.request == later.request && !is_over
            };
            if let Some(earlier) = self.arrivals[..n].iter().find(still_out) {
                let what = format!(
                    "{} came to {} while it was out at {} since {:?}",
                    later.request, later.engine, earlier.engine, earlier.at
                );
                breaks.push(Violation { clause: Clause::SecondCopy, at: later.at, description: what });
            }
        }
    }

    /// Each arrival after the first that may have had an effect, whether it had one itself or was turned away: what a
    /// router may send is judged, not what became of it.
    fn repeats(&self, terms: &Terms, breaks: &mut Vec<Violation>) {
        let Some(first) = self.effects().next() else { return };
        let later =
            self.arrivals.iter().filter(|arrival| !arrival.is_prefill && !std::ptr::eq(*arrival, first));
        for arrival in later.filter(|arrival| arrival.at >= first.at) {
            let clause = match self.effect() {
                Effect::Safe => continue,
                Effect::Unsafe => Clause::UnsafeAgain,
                Effect::Keyed { group, .. } if !group.shares(first.place, arrival.place) => {
                    Clause::OutsideGroup
                }
                Effect::Keyed { window, .. } if arrival.at > first.at + window + terms.wire => {
                    Clause::OutsideWindow
                }
                Effect::Keyed { .. } => continue,
            };
            let what = format!(
                "{} came to {} ({:?}) after {} at {} ({:?}) at {:?}, which may have run",
                arrival.request,
                arrival.engine,
                arrival.place,
                first.request,
                first.engine,
                first.place,
                first.at
            );
            breaks.push(Violation { clause, at: arrival.at, description: what });
        }
    }

    fn invitations(&self, breaks: &mut Vec<Violation>) {
        let may_invite = matches!(self.effect(), Effect::Safe | Effect::Keyed { group: Group::All, .. });
        if may_invite {
            return;
        }
        for &(at, request) in &self.invited {
            // Also what arrives only after the invitation: the router had sent it, and could have known.
            if let Some(ran) = self.effects().find(|arrival| arrival.request == request) {
                let what =
                    format!("{request} was turned away though it came to {} at {:?}", ran.engine, ran.at);
                breaks.push(Violation { clause: Clause::Invited, at, description: what });
            }
        }
    }
}

impl Group {
    fn shares(self, first: &Place, other: &Place) -> bool {
        match self {
            Group::All => true,
            Group::Zone => first.zone == other.zone,
            Group::Cell => first.cell == other.cell,
        }
    }
}
