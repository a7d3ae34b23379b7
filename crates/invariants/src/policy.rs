//! Judges a change of policy from the stamps in the traffic and from what operators were told: one order of epochs, everywhere or nowhere, no
//! two at once, and each request by one epoch from its beginning to its end. The routers' own state is never asked.

use crate::{ClientAttempt, Record, Seen};
use std::collections::BTreeMap;
use std::time::Duration;

/// A message that carries an epoch stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StampedMessage {
    /// A call to an engine.
    Attempt,
    /// An answer of this status.
    Answer(u16),
}

/// What a router says of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeStatus {
    /// In force as this epoch, of a policy of this digest.
    InForce(u64),
    /// Dropped, and why.
    Dropped(String),
    /// Under way.
    Pending,
    /// It can't tell.
    Unknown,
}

/// The promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// All go through one sequence of epochs, and none goes back.
    OneOrder,
    /// A change ends the same everywhere and for ever.
    EverywhereOrNowhere,
    /// Nobody takes a request by an older epoch after somebody has taken one by a newer, but for the overlap.
    NoTwoAtOnce,
    /// A request lives and ends by the epoch under which it was taken, and says so.
    OneEpochEach,
}

/// One break of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// When.
    pub at: Duration,
    /// What was seen.
    pub description: String,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Promises that broke.
    pub broken: Vec<Violation>,
    /// The latest that a request was asked for after the first of a newer epoch was seen, and was taken by an older one all the same.
    pub overlap: Duration,
    /// Requests that were taken, by epoch.
    pub taken: BTreeMap<u64, usize>,
    /// Answers of routers that could not know whether their epoch held.
    pub uncertain: usize,
}

/// A router that can't know answers so; such a request was not taken.
const UNCERTAIN: u16 = 503;

#[derive(Default)]
struct Request {
    asked: Duration,
    /// Who took it, when that was seen first, by which epoch.
    taken: Option<(String, Duration, u64)>,
}

/// Judges a run. `overlap`: for how long two epochs may overlap, with what clocks and wire add. `stamped`: every answer and call is to name an
/// epoch; else none is.
pub fn judge(records: &[Record], overlap: Duration, stamped: bool) -> Verdict {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut verdict = Verdict::default();
    let requests = stamps(&records, stamped, &mut verdict);
    two_at_once(&requests, overlap, &mut verdict);
    order(&requests, &records, &mut verdict);
    outcomes(&records, &mut verdict);
    verdict.broken.sort_by_key(|b| (b.at, b.promise));
    verdict
}

fn stamps(records: &[&Record], stamped: bool, verdict: &mut Verdict) -> BTreeMap<ClientAttempt, Request> {
    let mut requests: BTreeMap<ClientAttempt, Request> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::Asked { attempt: what, .. } => {
                requests.insert(*what, Request { asked: r.at, taken: None });
            }
            Seen::Stamped { router, attempt: what, epoch, on } => {
                let mut say = |what: String| {
                    verdict.broken.push(Violation {
                        promise: Promise::OneEpochEach,
                        at: r.at,
                        description: what,
                    });
                };
                if *on == StampedMessage::Answer(UNCERTAIN) {
                    verdict.uncertain += 1;
                    continue;
                }
                let epoch = match (epoch, stamped) {
                    (Some(epoch), true) => *epoch,
                    (None, false) => continue,
                    (None, true) => {
                        say(format!("{router}, {what:?}, {on:?}: no epoch is named"));
                        continue;
                    }
                    (Some(epoch), false) => {
                        say(format!(
                            "{router}, {what:?}, {on:?}: epoch {epoch} is named, and none is agreed on"
                        ));
                        continue;
                    }
                };
                let Some(request) = requests.get_mut(what) else { continue };
                match &request.taken {
                    Some((_, _, first)) if *first != epoch => {
                        say(format!("{router}, {what:?}, {on:?}: epoch {epoch}, and epoch {first} before"));
                    }
                    Some(_) => {}
                    None => {
                        *verdict.taken.entry(epoch).or_default() += 1;
                        request.taken = Some((router.clone(), r.at, epoch));
                    }
                }
            }
            _ => {}
        }
    }
    requests
}

/// When each epoch was first seen to be acted by.
fn firsts(requests: &BTreeMap<ClientAttempt, Request>) -> BTreeMap<u64, Duration> {
    let mut firsts: BTreeMap<u64, Duration> = BTreeMap::new();
    for (_, at, epoch) in requests.values().filter_map(|r| r.taken.as_ref()) {
        let first = firsts.entry(*epoch).or_insert(*at);
        *first = (*first).min(*at);
    }
    firsts
}

fn two_at_once(requests: &BTreeMap<ClientAttempt, Request>, overlap: Duration, verdict: &mut Verdict) {
    let firsts = firsts(requests);
    for (what, request) in requests {
        let Some((router, at, epoch)) = &request.taken else { continue };
        let newer = firsts.range(epoch + 1..).map(|(f, first)| (*first, *f)).min();
        // It was taken after it was asked: what was asked late enough was taken too late for certain.
        let Some((first, newest)) = newer.filter(|(first, _)| request.asked > *first) else { continue };
        let over = request.asked - first;
        verdict.overlap = verdict.overlap.max(over);
        if over > overlap {
            let what = format!(
                "{router} took {what:?} by epoch {epoch}, asked {} ms after the first by epoch {newest}",
                over.as_millis()
            );
            verdict.broken.push(Violation { promise: Promise::NoTwoAtOnce, at: *at, description: what });
        }
    }
}

fn order(requests: &BTreeMap<ClientAttempt, Request>, records: &[&Record], verdict: &mut Verdict) {
    // By router: the newest epoch that it was seen to act by, and when first.
    let mut by: BTreeMap<&str, Vec<(Duration, u64)>> = BTreeMap::new();
    for (router, at, epoch) in requests.values().filter_map(|r| r.taken.as_ref()) {
        by.entry(router).or_default().push((*at, *epoch));
    }
    for (what, request) in requests {
        let Some((router, at, epoch)) = &request.taken else { continue };
        let before =
            by[router.as_str()].iter().filter(|(seen, _)| *seen < request.asked).map(|(_, e)| *e).max();
        if let Some(before) = before.filter(|before| before > epoch) {
            let what =
                format!("{router} took {what:?} by epoch {epoch} after it had acted by epoch {before}");
            verdict.broken.push(Violation { promise: Promise::OneOrder, at: *at, description: what });
        }
    }
    let mut digests: BTreeMap<u64, (String, String)> = BTreeMap::new();
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for r in records {
        let Seen::PolicyReported { router, epoch, digest } = &r.seen else { continue };
        if *epoch == 0 {
            continue;
        }
        let mut say = |what: String| {
            verdict.broken.push(Violation { promise: Promise::OneOrder, at: r.at, description: what });
        };
        match digests.get(epoch) {
            Some((first, other)) if first != digest => {
                say(format!("epoch {epoch} is {digest} at {router} and {first} at {other}"));
            }
            Some(_) => {}
            None => {
                digests.insert(*epoch, (digest.clone(), router.clone()));
            }
        }
        let before = last.insert(router, *epoch).unwrap_or(0);
        if before > *epoch {
            say(format!("{router} tells epoch {epoch} after epoch {before}"));
        }
    }
}

fn outcomes(records: &[&Record], verdict: &mut Verdict) {
    let mut ended: BTreeMap<&str, (&ChangeStatus, &str)> = BTreeMap::new();
    let mut epochs: BTreeMap<u64, &str> = BTreeMap::new();
    for r in records {
        let Seen::ChangeReported { router, id, status: said } = &r.seen else { continue };
        let mut say = |what: String| {
            verdict.broken.push(Violation {
                promise: Promise::EverywhereOrNowhere,
                at: r.at,
                description: what,
            });
        };
        if let ChangeStatus::InForce(epoch) = said {
            match epochs.get(epoch) {
                Some(other) if *other != id => {
                    say(format!("{router}: epoch {epoch} is {id}, and was {other}"));
                }
                _ => {
                    epochs.insert(*epoch, id);
                }
            }
        }
        match (ended.get(id.as_str()), said) {
            (None, ChangeStatus::InForce(_) | ChangeStatus::Dropped(_)) => {
                ended.insert(id, (said, router));
            }
            (Some((before, other)), ChangeStatus::InForce(_) | ChangeStatus::Dropped(_))
                if *before != said =>
            {
                say(format!("{id}: {router} says {said:?}, and {other} said {before:?}"));
            }
            // A router that lags may not know yet; one that takes it back does not.
            (Some((before, other)), ChangeStatus::Pending) if *other == router => {
                say(format!("{id}: {router} calls it pending, and said {before:?}"));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
