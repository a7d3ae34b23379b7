//! Terms on the answers that clients get: requests left without one, routers that serve nobody, routers that turn all away.

use super::{Answer, Fact, Seen, Term, Terms, Violation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests that may be left without an answer beside one in `Terms::unanswered_in`.
const UNANSWERED_MORE: usize = 5;
/// Requests that a router has to get before what it does with all of them counts.
const ENOUGH_REQUESTS: usize = 15;

/// A router that was told to stop has ended after this.
const STOP_LASTS: Duration = Duration::from_secs(5);

/// One request, as its client saw it.
struct Asked<'a> {
    request: &'a str,
    sent: Duration,
    due: Duration,
    /// Its first event has reached the client.
    began: Option<Duration>,
    answered: Option<(Duration, Answer)>,
    gone: bool,
    /// Its router was killed or told to stop while it was under way or shortly before.
    router_ended: bool,
    /// Attempts that came to engines, and when.
    attempts: Vec<Duration>,
}

pub(super) fn judge(facts: &[&Fact], terms: &Terms, end: Duration, breaks: &mut Vec<Violation>) {
    let by_router = by_router(facts);
    if let Some(one_in) = terms.unanswered_in {
        unanswered(&by_router, one_in, terms, end, breaks);
    }
    serves_nobody(&by_router, end, breaks);
    if let Some(time) = terms.turns_away {
        turns_away(&by_router, time, terms, end, breaks);
    }
}

/// The requests that each router got, in the order in which they were sent.
fn by_router<'a>(facts: &[&'a Fact]) -> BTreeMap<&'a str, Vec<Asked<'a>>> {
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
    let mut by_router: BTreeMap<&str, Vec<Asked>> = BTreeMap::new();
    for f in facts {
        let Seen::Sent { router, request, due } = &f.seen else { continue };
        let request = request.as_str();
        let around = |at: &Duration| *at + STOP_LASTS >= f.at && at <= due;
        by_router.entry(router).or_default().push(Asked {
            request,
            sent: f.at,
            due: *due,
            began: began.get(request).copied(),
            answered: answers.get(request).copied(),
            gone: gone.contains(request),
            router_ended: endings.get(router.as_str()).is_some_and(|at| at.iter().any(around)),
            attempts: attempts.get(request).cloned().unwrap_or_default(),
        });
    }
    by_router
}

/// Judges the requests whose time was up before the end, but for those of a router that ended meanwhile.
fn unanswered(
    by_router: &BTreeMap<&str, Vec<Asked>>, one_in: usize, terms: &Terms, end: Duration,
    breaks: &mut Vec<Violation>,
) {
    let counts = |asked: &&Asked| !asked.gone && !asked.router_ended && asked.due + terms.wire < end;
    let judged = || by_router.values().flatten().filter(counts);
    // The deadline is that of the first event; a stream that has begun may last.
    let in_time = |asked: &&Asked| {
        let first = asked.began.into_iter().chain(asked.answered.map(|(at, _)| at)).min();
        first.is_some_and(|at| at <= asked.due + terms.wire)
    };
    let left: Vec<&str> = judged().filter(|asked| !in_time(asked)).map(|asked| asked.request).collect();
    if left.len() > judged().count() / one_in.max(1) + UNANSWERED_MORE {
        let what = format!("{} of {} requests had no answer in time", left.len(), judged().count());
        breaks.push(Violation { term: Term::Unanswered, at: end, description: what });
    }
}

fn serves_nobody(by_router: &BTreeMap<&str, Vec<Asked>>, end: Duration, breaks: &mut Vec<Violation>) {
    for (router, asked) in by_router {
        let served = |a: &Asked| matches!(a.answered, Some((_, Answer::Served)));
        let waited_for = asked.iter().filter(|a| !a.gone).count();
        if waited_for >= ENOUGH_REQUESTS && !asked.iter().any(served) {
            let what = format!("{router} served none of {waited_for} requests");
            breaks.push(Violation { term: Term::ServesNobody, at: end, description: what });
        }
    }
}

fn turns_away(
    by_router: &BTreeMap<&str, Vec<Asked>>, time: Duration, terms: &Terms, end: Duration,
    breaks: &mut Vec<Violation>,
) {
    let turns: Vec<&str> = by_router
        .iter()
        .filter(|(_, asked)| turns_all_away(asked, time))
        .map(|(&router, _)| router)
        .collect();
    if turns.len() as f64 > by_router.len() as f64 * terms.turns_away_part {
        let what =
            format!("{} of {} routers turned all away for {time:?}: {turns:?}", turns.len(), by_router.len());
        breaks.push(Violation { term: Term::TurnsAway, at: end, description: what });
    }
}

/// Whether there is a stretch of so long in which all that a router got was turned away, and no attempt was made.
fn turns_all_away(asked: &[Asked], time: Duration) -> bool {
    let refused = |a: &Asked| matches!(a.answered, Some((_, Answer::Refused)));
    let attempts: Vec<Duration> = asked.iter().flat_map(|a| a.attempts.iter().copied()).collect();
    asked.iter().any(|first| {
        let until = first.sent + time;
        let within = asked.iter().filter(|a| a.sent >= first.sent && a.sent <= until);
        let (count, all_refused) = within.fold((0, true), |(n, all), a| (n + 1, all && refused(a)));
        let last = asked.iter().map(|a| a.sent).max().unwrap_or_default();
        let tried = attempts.iter().any(|&at| at >= first.sent && at <= until);
        last >= until && count >= ENOUGH_REQUESTS && all_refused && !tried
    })
}
