//! Checks of the terms on answers: requests without an answer, routers that serve no request, and routers
//! that refuse all.

use super::{Answer, Fact, Seen, Term, Terms, Violation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests that may have no answer in addition to one in `Terms::unanswered_in`.
const UNANSWERED_ALLOWANCE: usize = 5;
/// Requests that a router has to receive before its share of answers counts.
const MIN_ROUTER_REQUESTS: usize = 15;

/// A router that is asked to stop ends within this time.
const MAX_STOP_TIME: Duration = Duration::from_secs(5);

/// A request as its client observed it.
struct ClientRequest<'a> {
    request: &'a str,
    sent: Duration,
    due: Duration,
    /// When the first event reached the client.
    began: Option<Duration>,
    answered: Option<(Duration, Answer)>,
    client_left: bool,
    /// Whether its router was killed or asked to stop while the request was active or shortly before.
    router_ended: bool,
    /// When its attempts reached engines.
    attempts: Vec<Duration>,
}

pub(super) fn judge(facts: &[&Fact], terms: &Terms, end: Duration, violations: &mut Vec<Violation>) {
    let by_router = by_router(facts);
    if let Some(one_in) = terms.unanswered_in {
        check_unanswered(&by_router, one_in, terms, end, violations);
    }
    check_serves_some(&by_router, end, violations);
    if let Some(time) = terms.turns_away {
        check_refusing_routers(&by_router, time, terms, end, violations);
    }
}

/// The requests that each router received, in the order in which they were sent.
fn by_router<'a>(facts: &[&'a Fact]) -> BTreeMap<&'a str, Vec<ClientRequest<'a>>> {
    let mut answers: BTreeMap<&str, (Duration, Answer)> = BTreeMap::new();
    let mut attempts: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    let mut began: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut gone: BTreeSet<&str> = BTreeSet::new();
    let mut endings: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for f in facts {
        match &f.seen {
            Seen::Answered { request, answer } => drop(answers.entry(request).or_insert((f.at, *answer))),
            Seen::EventsPassed { request, .. } => drop(began.entry(request).or_insert(f.at)),
            Seen::AttemptArrived { request, .. } => attempts.entry(request).or_default().push(f.at),
            Seen::ClientGone { request } => drop(gone.insert(request)),
            Seen::RouterEnding { router } => endings.entry(router).or_default().push(f.at),
            _ => {}
        }
    }
    let mut by_router: BTreeMap<&str, Vec<ClientRequest>> = BTreeMap::new();
    for f in facts {
        let Seen::Sent { router, request, due } = &f.seen else { continue };
        let request = request.as_str();
        let overlaps = |at: &Duration| *at + MAX_STOP_TIME >= f.at && at <= due;
        by_router.entry(router).or_default().push(ClientRequest {
            request,
            sent: f.at,
            due: *due,
            began: began.get(request).copied(),
            answered: answers.get(request).copied(),
            client_left: gone.contains(request),
            router_ended: endings.get(router.as_str()).is_some_and(|at| at.iter().any(overlaps)),
            attempts: attempts.get(request).cloned().unwrap_or_default(),
        });
    }
    by_router
}

/// Checks the requests whose deadline came before the end, except those of a router that ended in the
/// meantime.
fn check_unanswered(
    by_router: &BTreeMap<&str, Vec<ClientRequest>>, one_in: usize, terms: &Terms, end: Duration,
    violations: &mut Vec<Violation>,
) {
    let counts = |request: &&ClientRequest| {
        !request.client_left && !request.router_ended && request.due + terms.wire < end
    };
    let checked = || by_router.values().flatten().filter(counts);
    // The deadline applies to the first event; a stream that has begun may continue after it.
    let in_time = |request: &&ClientRequest| {
        let first = request.began.into_iter().chain(request.answered.map(|(at, _)| at)).min();
        first.is_some_and(|at| at <= request.due + terms.wire)
    };
    let unanswered: Vec<&str> =
        checked().filter(|request| !in_time(request)).map(|request| request.request).collect();
    if unanswered.len() > checked().count() / one_in.max(1) + UNANSWERED_ALLOWANCE {
        let description =
            format!("{} of {} requests had no answer by their deadline", unanswered.len(), checked().count());
        violations.push(Violation { term: Term::Unanswered, at: end, description });
    }
}

fn check_serves_some(
    by_router: &BTreeMap<&str, Vec<ClientRequest>>, end: Duration, violations: &mut Vec<Violation>,
) {
    for (router, requests) in by_router {
        let served = |a: &ClientRequest| matches!(a.answered, Some((_, Answer::Served)));
        let client_waited = requests.iter().filter(|a| !a.client_left).count();
        if client_waited >= MIN_ROUTER_REQUESTS && !requests.iter().any(served) {
            let description = format!("{router} served none of {client_waited} requests");
            violations.push(Violation { term: Term::ServesNobody, at: end, description });
        }
    }
}

fn check_refusing_routers(
    by_router: &BTreeMap<&str, Vec<ClientRequest>>, time: Duration, terms: &Terms, end: Duration,
    violations: &mut Vec<Violation>,
) {
    let refusing: Vec<&str> = by_router
        .iter()
        .filter(|(_, requests)| refuses_all(requests, time))
        .map(|(&router, _)| router)
        .collect();
    if refusing.len() as f64 > by_router.len() as f64 * terms.turns_away_part {
        let description = format!(
            "{} of {} routers refused all requests for {time:?}: {refusing:?}",
            refusing.len(),
            by_router.len()
        );
        violations.push(Violation { term: Term::TurnsAway, at: end, description });
    }
}

/// Whether a router refused all its requests and made no attempt during a period of at least this length.
fn refuses_all(requests: &[ClientRequest], time: Duration) -> bool {
    let refused = |a: &ClientRequest| matches!(a.answered, Some((_, Answer::Refused)));
    let attempts: Vec<Duration> = requests.iter().flat_map(|a| a.attempts.iter().copied()).collect();
    requests.iter().any(|first| {
        let until = first.sent + time;
        let within = requests.iter().filter(|a| a.sent >= first.sent && a.sent <= until);
        let (count, all_refused) = within.fold((0, true), |(n, all), a| (n + 1, all && refused(a)));
        let last = requests.iter().map(|a| a.sent).max().unwrap_or_default();
        let has_attempt = attempts.iter().any(|&at| at >= first.sent && at <= until);
        last >= until && count >= MIN_ROUTER_REQUESTS && all_refused && !has_attempt
    })
}
