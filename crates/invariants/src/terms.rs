//! Checks the acceptance terms of the platform from traffic and from the history of the discovery service.
//!
//! Test servers for engines, clients and discovery append [`Fact`]s; [`judge`] evaluates them after the run.
//! The routers are never queried. The terms go beyond the five rules: how late a change of the list may be
//! applied whatever attempts failed, how late an attempt may arrive after its client has left, how much a
//! cold engine may get from all routers together, and how soon routers are ready after a start.

mod answers;
pub mod shares;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// An observation by a test server or a test client. A `request` is the id that the client gave the request.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// The discovery service lists an engine as closed to new work (`true`) or as open from now on.
    EngineListed {
        /// The engine.
        engine: String,
        /// Whether the engine drains or is gone.
        closed: bool,
    },
    /// The discovery service can be reached and answers from now on (`true`), or not.
    Reachable(bool),
    /// A router requested the list from the discovery service.
    Asked {
        /// The router.
        router: String,
    },
    /// The last byte of an attempt reached an engine, whether or not the engine accepted it.
    AttemptArrived {
        /// The engine.
        engine: String,
        /// The id that the client gave the request.
        request: String,
        /// The work of the request, as a multiple of the mean work of a request.
        work: f64,
    },
    /// A client noted the traits of a request as it sent it.
    Described {
        /// The request.
        request: String,
        /// The traits of the request.
        traits: shares::Traits,
    },
    /// An attempt told its engine how much longer the client waits.
    DeadlineTold {
        /// The engine.
        engine: String,
        /// The request.
        request: String,
        /// The time that the attempt named.
        left: Duration,
    },
    /// A connection closed without a byte of an answer to a complete request whose client had not left.
    ClosedUnanswered {
        /// The router.
        router: String,
        /// The request.
        request: String,
        /// Whether the request was the first on its connection. On a later one a close may cross a request
        /// that the router has not read.
        first_on_connection: bool,
    },
    /// A router was killed.
    Killed {
        /// The router.
        router: String,
    },
    /// A client sent a complete request to a router.
    Sent {
        /// The router.
        router: String,
        /// The request.
        request: String,
        /// The client's deadline.
        due: Duration,
    },
    /// A router is killed or asked to stop. Its client has to retry a request that the router held when it
    /// was killed or that crosses the end of its connection.
    RouterEnding {
        /// The router.
        router: String,
    },
    /// A client received the final answer to a request.
    Answered {
        /// The request.
        request: String,
        /// The answer.
        answer: Answer,
    },
    /// The client of a request closed or reset its connection.
    ClientGone {
        /// The request.
        request: String,
    },
    /// An engine wrote events of a stream.
    EventsWritten {
        /// The request.
        request: String,
        /// The number of events since the start of the stream.
        events: usize,
    },
    /// Events of a stream reached their client.
    EventsPassed {
        /// The request.
        request: String,
        /// The number of events since the start of the stream.
        events: usize,
    },
    /// An engine started and is cold.
    Started {
        /// The engine.
        engine: String,
    },
    /// A router's process was started.
    Launched {
        /// The router.
        router: String,
    },
    /// A router reported that it is ready.
    Ready {
        /// The router.
        router: String,
    },
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A complete stream.
    Served,
    /// A refusal; a retry is harmless.
    Refused,
    /// Any other answer.
    Failed,
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// When it was made.
    pub at: Duration,
    /// What was observed.
    pub seen: Seen,
}

/// Budgets of fewer requests count as small.
const SMALL_BUDGET_REQUESTS: f64 = 30.0;
/// The connections of a killed router close within this time.
const CLOSE_AFTER_KILL: Duration = Duration::from_secs(1);

/// The budget of a cold engine, from the settings and the measured rate of a warm engine of its role.
#[derive(Clone, Copy, Debug)]
pub struct ColdBudget {
    /// The time window over which the requests are counted.
    pub window: Duration,
    /// The multiple of its present capacity that overloads an engine.
    pub multiple: f64,
    /// The fraction of its warm capacity that an engine has at its start. The capacity grows linearly from
    /// there.
    pub from: f64,
    /// The time after the start at which it has its full capacity.
    pub warm_after: Duration,
    /// The capacity of a warm engine, in requests of mean work per second.
    pub warm: f64,
}

impl ColdBudget {
    /// The budget of the window that ends at this age of the engine, in requests of mean work.
    pub fn at(&self, age: Duration) -> f64 {
        let progress = (age.as_secs_f64() / self.warm_after.as_secs_f64().max(1e-9)).min(1.0);
        let share = self.from + (1.0 - self.from) * progress;
        self.multiple * share * self.warm * self.window.as_secs_f64()
    }

    /// What random variation may add to a budget of `n` requests.
    pub fn slack(n: f64) -> f64 {
        2.0 * n.sqrt() + 2.0
    }

    /// What the acceptance terms let random variation add. It is more for a small budget, in which single
    /// requests weigh more.
    pub fn accepted_slack(n: f64) -> f64 {
        if n < SMALL_BUDGET_REQUESTS {
            3.0 * n.sqrt() + 3.0
        } else {
            ColdBudget::slack(n)
        }
    }
}

/// The limits of the acceptance terms.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// How long a router may take to apply a change of the list, from when the discovery service lists the
    /// change and can be reached.
    pub list_delay: Duration,
    /// How long after that work may still reach a closed engine.
    pub drain_grace: Duration,
    /// How long after its client has left an attempt may still arrive.
    pub client_left_delay: Duration,
    /// How much more time an attempt may tell its engine than its client still waits.
    pub deadline_slack: Duration,
    /// How long after its client has left a request that waited for its first attempt may still be sent to an
    /// engine.
    pub waiting_left_delay: Duration,
    /// The fraction of those requests that may be sent all the same. It is checked from
    /// `MIN_SENT_AFTER_LEAVING` of them on.
    pub waiting_left_part: f64,
    /// How long an event may take from its engine to its client.
    pub passed: Duration,
    /// The fraction of streams in which an event may come later.
    pub late_streams_part: f64,
    /// One request in this many, and `UNANSWERED_ALLOWANCE` more, may have no answer at its deadline. `None`:
    /// not checked, because clients were not observed up to the end of the facts.
    pub unanswered_in: Option<usize>,
    /// Whether requests that were read and closed without an answer count. They don't where other programs of
    /// the machine may briefly listen on a router's address.
    pub closed_unanswered: bool,
    /// A router that refuses all its requests for this long, without an attempt, counts. `None`: not checked,
    /// because the day is not quiet.
    pub turns_away: Option<Duration>,
    /// The fraction of routers that may do so.
    pub turns_away_part: f64,
    /// The longest prompts of a class, and the next longest, are served at least at this fraction of their
    /// class's share. `None`: not checked.
    pub long_prompts: Option<f64>,
    /// The fraction of a class's sessions that may have all turns refused, beyond the number that chance
    /// predicts. `None`: not checked, because the day is not quiet.
    pub refused_sessions: Option<f64>,
    /// The least shares of served requests. `None`: not checked.
    pub floors: Option<shares::Floors>,
    /// The time within which a started router is ready.
    pub ready_delay: Duration,
    /// The fraction of started routers for which that has to hold.
    pub ready_part: f64,
    /// The budget of a cold engine. `None`: not checked.
    pub cold: Option<ColdBudget>,
    /// What the network and the clocks add to each time.
    pub wire: Duration,
}

impl Default for Terms {
    /// The agreed acceptance terms, without a cold budget, which depends on the deployment.
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            list_delay: ms(6_000),
            drain_grace: ms(250),
            client_left_delay: ms(100),
            deadline_slack: ms(150),
            waiting_left_delay: ms(300),
            waiting_left_part: 0.25,
            passed: ms(300),
            late_streams_part: 0.05,
            unanswered_in: None,
            closed_unanswered: true,
            turns_away: None,
            turns_away_part: 0.1,
            long_prompts: None,
            refused_sessions: None,
            floors: None,
            ready_delay: ms(10_000),
            ready_part: 0.9,
            cold: None,
            wire: ms(5),
        }
    }
}

/// The acceptance terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Term {
    /// Routers apply the list of the discovery service in time, whatever attempts failed.
    Told,
    /// Routers request the list in time once the discovery service can be reached again.
    Asked,
    /// No attempt reaches an engine long after its client has left ([`Terms::client_left_delay`]).
    Gone,
    /// Attempts tell engines no more time than the client still waits.
    Deadline,
    /// No connection is closed without an answer to a request that was read.
    ClosedUnanswered,
    /// Requests whose clients left while they waited for their first attempt are dropped rather than sent to
    /// an engine, but for [`Terms::waiting_left_part`] of them.
    SentOn,
    /// Events are forwarded as they arrive.
    Passed,
    /// Requests have an answer by their deadline.
    Unanswered,
    /// Every router serves some requests.
    ServesNobody,
    /// Few routers refuse all their requests for long.
    TurnsAway,
    /// The longest prompts are served nearly as often as the others of their class.
    LongPrompts,
    /// Refusals are spread evenly over sessions.
    RefusedSessions,
    /// Each class, effect, tenant and third of the day has its least share of served requests.
    Floor,
    /// No cold engine gets more than its budget and what random variation may add.
    Cold,
    /// Started routers are ready in time.
    Ready,
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Term::Told => "list applied in time",
            Term::Asked => "list requested in time",
            Term::Gone => "no attempt for a client that has left",
            Term::Deadline => "no more time passed to engines than is left",
            Term::ClosedUnanswered => "no request closed without an answer",
            Term::SentOn => "waiting requests dropped when their clients leave",
            Term::Passed => "events forwarded as they arrive",
            Term::Unanswered => "answers in time",
            Term::ServesNobody => "every router serves requests",
            Term::TurnsAway => "few routers refuse all requests",
            Term::LongPrompts => "the longest prompts served as well",
            Term::RefusedSessions => "refusals spread over sessions",
            Term::Floor => "no group under its least share",
            Term::Cold => "no cold engine over its budget",
            Term::Ready => "ready in time",
        })
    }
}

/// A violation of a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The term.
    pub term: Term,
    /// When it was violated.
    pub at: Duration,
    /// What was observed.
    pub description: String,
}

/// Checks the facts of one run, which lasted until `end`. They may be in any order.
pub fn judge(facts: &[Fact], terms: &Terms, end: Duration) -> Vec<Violation> {
    let mut facts: Vec<&Fact> = facts.iter().collect();
    facts.sort_by_key(|f| f.at);
    let mut violations = Vec::new();
    check_list_changes(&facts, terms, &mut violations);
    check_list_requests(&facts, terms, end, &mut violations);
    check_attempts_after_leaving(&facts, terms, &mut violations);
    check_engine_deadlines(&facts, terms, &mut violations);
    if terms.closed_unanswered {
        check_closed_unanswered(&facts, &mut violations);
    }
    check_waiting_requests(&facts, terms, end, &mut violations);
    check_event_delays(&facts, terms, end, &mut violations);
    answers::judge(&facts, terms, end, &mut violations);
    shares::judge(&facts, terms, end, &mut violations);
    check_cold_budgets(&facts, terms, &mut violations);
    check_ready_times(&facts, terms, end, &mut violations);
    violations.sort_by_key(|v| (v.at, v.term));
    violations
}

/// The first time from `since` on at which the discovery service could be reached.
fn reachable_from(facts: &[&Fact], since: Duration) -> Option<Duration> {
    let mut reachable = true;
    for f in facts {
        if let Seen::Reachable(now) = f.seen {
            if f.at > since {
                break;
            }
            reachable = now;
        }
    }
    let next = facts.iter().find(|f| f.at > since && f.seen == Seen::Reachable(true));
    if reachable {
        Some(since)
    } else {
        next.map(|f| f.at)
    }
}

fn check_list_changes(facts: &[&Fact], terms: &Terms, violations: &mut Vec<Violation>) {
    let mut closed: BTreeMap<&str, Option<Duration>> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::EngineListed { engine, closed: true } => {
                closed.insert(engine, reachable_from(facts, f.at));
            }
            Seen::EngineListed { engine, closed: false } => {
                closed.remove(engine.as_str());
            }
            Seen::AttemptArrived { engine, request, .. } => {
                let Some(Some(from)) = closed.get(engine.as_str()) else { continue };
                if f.at > *from + terms.list_delay + terms.drain_grace + terms.wire {
                    let late = (f.at - *from).as_millis();
                    let description = format!(
                        "{request} reached {engine} {late} ms after the discovery service could report it as closed"
                    );
                    violations.push(Violation { term: Term::Told, at: f.at, description });
                }
            }
            _ => {}
        }
    }
}

fn check_list_requests(facts: &[&Fact], terms: &Terms, end: Duration, violations: &mut Vec<Violation>) {
    // A router counts from its first request for the list, or from its start if it is started later.
    let mut routers: BTreeMap<&str, Duration> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::Launched { router } => drop(routers.insert(router, f.at)),
            Seen::Asked { router } => drop(routers.entry(router).or_insert(f.at)),
            _ => {}
        }
    }
    let mut reachable = true;
    for f in facts {
        let Seen::Reachable(now) = f.seen else { continue };
        if now && !reachable {
            for (&router, &since) in &routers {
                let from = f.at.max(since);
                let is_request =
                    |g: &&&Fact| matches!(&g.seen, Seen::Asked { router: r } if r == router) && g.at >= from;
                let until = from + terms.list_delay + terms.wire;
                let first = facts.iter().find(is_request).map(|g| g.at);
                if first.unwrap_or(end) > until {
                    let description = format!(
                        "{router} did not request the list within {:?} after the discovery service was back",
                        terms.list_delay
                    );
                    violations.push(Violation { term: Term::Asked, at: until, description });
                }
            }
        }
        reachable = now;
    }
}

fn check_attempts_after_leaving(facts: &[&Fact], terms: &Terms, violations: &mut Vec<Violation>) {
    let mut left: BTreeMap<&str, Duration> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::ClientGone { request } => {
                left.entry(request).or_insert(f.at);
            }
            Seen::AttemptArrived { engine, request, .. } => {
                let late = left.get(request.as_str()).map(|&at| f.at - at);
                if let Some(late) = late.filter(|&late| late > terms.client_left_delay + terms.wire) {
                    let description = format!(
                        "{request} reached {engine} {} ms after its client had left",
                        late.as_millis()
                    );
                    violations.push(Violation { term: Term::Gone, at: f.at, description });
                }
            }
            _ => {}
        }
    }
}

fn check_engine_deadlines(facts: &[&Fact], terms: &Terms, violations: &mut Vec<Violation>) {
    let mut due: BTreeMap<&str, Duration> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::Sent { request, due: until, .. } => drop(due.insert(request, *until)),
            Seen::DeadlineTold { engine, request, left } => {
                let Some(&until) = due.get(request.as_str()) else { continue };
                let remaining = until.saturating_sub(f.at);
                if *left > remaining + terms.deadline_slack + terms.wire {
                    let description = format!(
                        "{request} told {engine} {left:?}, but its client still waited {remaining:?}"
                    );
                    violations.push(Violation { term: Term::Deadline, at: f.at, description });
                }
            }
            _ => {}
        }
    }
}

fn check_closed_unanswered(facts: &[&Fact], violations: &mut Vec<Violation>) {
    let arrived: BTreeSet<&str> = facts
        .iter()
        .filter_map(|f| match &f.seen {
            Seen::AttemptArrived { request, .. } => Some(request.as_str()),
            _ => None,
        })
        .collect();
    let mut killed: BTreeMap<&str, Duration> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::Killed { router } => drop(killed.insert(router, f.at)),
            Seen::ClosedUnanswered { router, request, first_on_connection } => {
                let was_killed = killed.get(router.as_str()).is_some_and(|&at| f.at <= at + CLOSE_AFTER_KILL);
                let was_read = *first_on_connection || arrived.contains(request.as_str());
                if was_read && !was_killed {
                    let description = format!("{router} closed {request} without an answer");
                    violations.push(Violation { term: Term::ClosedUnanswered, at: f.at, description });
                }
            }
            _ => {}
        }
    }
}

/// The fraction of requests sent after their clients had left is checked from this number of them on.
const MIN_SENT_AFTER_LEAVING: usize = 5;

/// Checks how many of the requests that still waited for their first attempt when their clients left were
/// sent to an engine.
fn check_waiting_requests(facts: &[&Fact], terms: &Terms, end: Duration, violations: &mut Vec<Violation>) {
    let mut first_attempt: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut left: BTreeMap<&str, Duration> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::AttemptArrived { request, .. } => drop(first_attempt.entry(request).or_insert(f.at)),
            Seen::ClientGone { request } => drop(left.entry(request).or_insert(f.at)),
            _ => {}
        }
    }
    let first_arrival = |request: &str| first_attempt.get(request).copied();
    let waited =
        left.iter().filter(|&(&request, &at)| first_arrival(request).is_none_or(|arrival| arrival > at));
    let waited: Vec<(&str, Duration)> = waited.map(|(&request, &at)| (request, at)).collect();
    let late = |(request, at): &&(&str, Duration)| {
        first_arrival(request).is_some_and(|b| b > *at + terms.waiting_left_delay + terms.wire)
    };
    let sent = waited.iter().filter(late).count();
    if sent >= MIN_SENT_AFTER_LEAVING && sent as f64 > waited.len() as f64 * terms.waiting_left_part {
        let description =
            format!("{sent} of {} waiting requests were sent after their clients had left", waited.len());
        violations.push(Violation { term: Term::SentOn, at: end, description });
    }
}

/// Checks how many streams have a late event. An event that never arrived is not late: its stream broke,
/// which other rules cover.
fn check_event_delays(facts: &[&Fact], terms: &Terms, end: Duration, violations: &mut Vec<Violation>) {
    let mut passed: BTreeMap<&str, Vec<(Duration, usize)>> = BTreeMap::new();
    for f in facts {
        if let Seen::EventsPassed { request, events } = &f.seen {
            passed.entry(request).or_default().push((f.at, *events));
        }
    }
    let mut late_streams: BTreeMap<&str, bool> = BTreeMap::new();
    for f in facts {
        let Seen::EventsWritten { request, events } = &f.seen else { continue };
        let arrivals = passed.get(request.as_str()).map(Vec::as_slice).unwrap_or_default();
        let arrived = arrivals.iter().find(|(at, so_far)| *at >= f.at && so_far >= events);
        let is_late = arrived.is_some_and(|(at, _)| *at > f.at + terms.passed + terms.wire);
        *late_streams.entry(request).or_default() |= is_late;
    }
    let late = late_streams.values().filter(|&&late| late).count();
    if late as f64 > late_streams.len() as f64 * terms.late_streams_part {
        let description = format!("{late} of {} streams had late events", late_streams.len());
        violations.push(Violation { term: Term::Passed, at: end, description });
    }
}

/// A start of an engine, and the work that it received in the last window.
struct EngineStart {
    at: Duration,
    sent: Vec<(Duration, f64)>,
    exceeded: bool,
}

/// Reports for each start of an engine the first window that exceeds its budget and what random variation may
/// add.
fn check_cold_budgets(facts: &[&Fact], terms: &Terms, violations: &mut Vec<Violation>) {
    let Some(budget) = terms.cold else { return };
    let mut starts: BTreeMap<&str, EngineStart> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::Started { engine } => {
                starts.insert(engine, EngineStart { at: f.at, sent: Vec::new(), exceeded: false });
            }
            Seen::AttemptArrived { engine, work, .. } => {
                let Some(start) = starts.get_mut(engine.as_str()) else { continue };
                let age = f.at - start.at;
                if start.exceeded || age > budget.warm_after {
                    continue;
                }
                start.sent.push((f.at, *work));
                start.sent.retain(|(at, _)| f.at < *at + budget.window);
                let (sum, n) = (start.sent.iter().map(|(_, work)| work).sum::<f64>(), budget.at(age));
                if sum > n + ColdBudget::slack(n) {
                    start.exceeded = true;
                    let window = budget.window;
                    let description =
                        format!("{engine} got {sum:.1} of {n:.1} within {window:?}, {age:?} after its start");
                    violations.push(Violation { term: Term::Cold, at: f.at, description });
                }
            }
            _ => {}
        }
    }
}

fn check_ready_times(facts: &[&Fact], terms: &Terms, end: Duration, violations: &mut Vec<Violation>) {
    let (mut launched, mut late) = (0_usize, Vec::new());
    for (n, f) in facts.iter().enumerate() {
        let Seen::Launched { router } = &f.seen else { continue };
        launched += 1;
        let is_ready = |g: &&&Fact| matches!(&g.seen, Seen::Ready { router: r } if r == router);
        let is_relaunch = |g: &&&Fact| matches!(&g.seen, Seen::Launched { router: r } if r == router);
        // A router that was ended before it was ready is checked up to its end.
        let end_of_run = facts[n + 1..].iter().find(is_relaunch).map_or(end, |g| g.at);
        let first = facts[n + 1..].iter().find(is_ready).map(|g| g.at).filter(|&at| at <= end_of_run);
        if first.unwrap_or(end_of_run) > f.at + terms.ready_delay + terms.wire {
            late.push(router.as_str());
        }
    }
    if late.len() as f64 > launched as f64 * (1.0 - terms.ready_part) + 1e-9 {
        let description =
            format!("{} of {launched} were not ready within {:?}: {late:?}", late.len(), terms.ready_delay);
        violations.push(Violation { term: Term::Ready, at: end, description });
    }
}
