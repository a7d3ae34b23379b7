//! Checks policy changes from the epoch stamps in the traffic and from the reports of routers to operators:
//! epochs follow one order, a change is applied by all routers or by none, two epochs don't overlap, and each
//! request keeps the epoch under which it was accepted. The routers' own state is never queried.

use crate::{ClientAttempt, Record, Seen};
use std::collections::BTreeMap;
use std::time::Duration;

/// The kind of message that carries an epoch stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StampedMessage {
    /// An attempt at an engine.
    Attempt,
    /// An answer to a client, with this HTTP status.
    Answer(u16),
}

/// The status of a policy change as a router reports it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeStatus {
    /// The change is in force as this epoch.
    InForce(u64),
    /// The change was dropped for this reason.
    Dropped(String),
    /// The change is not decided yet.
    Pending,
    /// The router can't tell the outcome of the change.
    Unknown,
}

/// The guarantees of a policy change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// All routers follow one sequence of epochs, and none returns to an earlier epoch.
    OneOrder,
    /// All routers report the same final outcome of a change, and it stays final.
    EverywhereOrNowhere,
    /// Once a router has accepted a request under a newer epoch, no router accepts one under an older epoch,
    /// except within the permitted overlap.
    NoTwoAtOnce,
    /// All attempts and answers of a request name the epoch under which it was accepted.
    OneEpochEach,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub promise: Promise,
    /// When it was violated.
    pub at: Duration,
    /// What was observed.
    pub description: String,
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The violated guarantees.
    pub broken: Vec<Violation>,
    /// The longest time from the first message of a newer epoch to the sending of a request that was still
    /// accepted under an older one.
    pub overlap: Duration,
    /// The number of accepted requests by epoch.
    pub taken: BTreeMap<u64, usize>,
    /// Answers of routers that could not confirm that their epoch was still in force.
    pub uncertain: usize,
}

/// The status with which a router answers if it can't confirm its epoch. It does not accept such a request.
const UNCERTAIN_STATUS: u16 = 503;

#[derive(Default)]
struct RequestState {
    asked: Duration,
    /// The router that accepted the request, the time of the first message that shows it, and the epoch.
    accepted: Option<(String, Duration, u64)>,
}

/// Checks a run. Two epochs may overlap for `overlap`, which includes what the clocks and the network add.
/// If `stamped` is true, every answer and attempt has to name an epoch; otherwise none may.
pub fn judge(records: &[Record], overlap: Duration, stamped: bool) -> Verdict {
    let mut records: Vec<&Record> = records.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut verdict = Verdict::default();
    let requests = check_stamps(&records, stamped, &mut verdict);
    check_overlap(&requests, overlap, &mut verdict);
    check_order(&requests, &records, &mut verdict);
    check_outcomes(&records, &mut verdict);
    verdict.broken.sort_by_key(|b| (b.at, b.promise));
    verdict
}

fn check_stamps(
    records: &[&Record], stamped: bool, verdict: &mut Verdict,
) -> BTreeMap<ClientAttempt, RequestState> {
    let mut requests: BTreeMap<ClientAttempt, RequestState> = BTreeMap::new();
    for r in records {
        match &r.seen {
            Seen::Asked { attempt, .. } => {
                requests.insert(*attempt, RequestState { asked: r.at, accepted: None });
            }
            Seen::Stamped { router, attempt, epoch, on } => {
                let mut report = |description: String| {
                    verdict.broken.push(Violation { promise: Promise::OneEpochEach, at: r.at, description });
                };
                if *on == StampedMessage::Answer(UNCERTAIN_STATUS) {
                    verdict.uncertain += 1;
                    continue;
                }
                let epoch = match (epoch, stamped) {
                    (Some(epoch), true) => *epoch,
                    (None, false) => continue,
                    (None, true) => {
                        report(format!("{router}, {attempt:?}, {on:?}: names no epoch"));
                        continue;
                    }
                    (Some(epoch), false) => {
                        report(format!(
                            "{router}, {attempt:?}, {on:?}: names epoch {epoch}, but no policy was agreed on"
                        ));
                        continue;
                    }
                };
                let Some(request) = requests.get_mut(attempt) else { continue };
                match &request.accepted {
                    Some((_, _, first)) if *first != epoch => {
                        report(format!(
                            "{router}, {attempt:?}, {on:?}: names epoch {epoch} after epoch {first}"
                        ));
                    }
                    Some(_) => {}
                    None => {
                        *verdict.taken.entry(epoch).or_default() += 1;
                        request.accepted = Some((router.clone(), r.at, epoch));
                    }
                }
            }
            _ => {}
        }
    }
    requests
}

/// By epoch: the time at which the first request was accepted under it.
fn first_accepted_by_epoch(requests: &BTreeMap<ClientAttempt, RequestState>) -> BTreeMap<u64, Duration> {
    let mut firsts: BTreeMap<u64, Duration> = BTreeMap::new();
    for (_, at, epoch) in requests.values().filter_map(|r| r.accepted.as_ref()) {
        let first = firsts.entry(*epoch).or_insert(*at);
        *first = (*first).min(*at);
    }
    firsts
}

fn check_overlap(requests: &BTreeMap<ClientAttempt, RequestState>, overlap: Duration, verdict: &mut Verdict) {
    let firsts = first_accepted_by_epoch(requests);
    for (attempt, request) in requests {
        let Some((router, at, epoch)) = &request.accepted else { continue };
        let newer = firsts.range(epoch + 1..).map(|(f, first)| (*first, *f)).min();
        // A request is accepted after it was sent, so one that was sent too late was certainly accepted too
        // late.
        let Some((first, newest)) = newer.filter(|(first, _)| request.asked > *first) else { continue };
        let lag = request.asked - first;
        verdict.overlap = verdict.overlap.max(lag);
        if lag > overlap {
            let description = format!(
                "{router} accepted {attempt:?} under epoch {epoch}, sent {} ms after the first under epoch {newest}",
                lag.as_millis()
            );
            verdict.broken.push(Violation { promise: Promise::NoTwoAtOnce, at: *at, description });
        }
    }
}

fn check_order(requests: &BTreeMap<ClientAttempt, RequestState>, records: &[&Record], verdict: &mut Verdict) {
    // By router: each epoch that it applied, and when.
    let mut epochs_by_router: BTreeMap<&str, Vec<(Duration, u64)>> = BTreeMap::new();
    for (router, at, epoch) in requests.values().filter_map(|r| r.accepted.as_ref()) {
        epochs_by_router.entry(router).or_default().push((*at, *epoch));
    }
    for (attempt, request) in requests {
        let Some((router, at, epoch)) = &request.accepted else { continue };
        let before = epochs_by_router[router.as_str()]
            .iter()
            .filter(|(seen, _)| *seen < request.asked)
            .map(|(_, e)| *e)
            .max();
        if let Some(before) = before.filter(|before| before > epoch) {
            let description = format!(
                "{router} accepted {attempt:?} under epoch {epoch} after it had applied epoch {before}"
            );
            verdict.broken.push(Violation { promise: Promise::OneOrder, at: *at, description });
        }
    }
    let mut digests: BTreeMap<u64, (String, String)> = BTreeMap::new();
    let mut last: BTreeMap<&str, u64> = BTreeMap::new();
    for r in records {
        let Seen::PolicyReported { router, epoch, digest } = &r.seen else { continue };
        if *epoch == 0 {
            continue;
        }
        let mut report = |description: String| {
            verdict.broken.push(Violation { promise: Promise::OneOrder, at: r.at, description });
        };
        match digests.get(epoch) {
            Some((first, other)) if first != digest => {
                report(format!("epoch {epoch} has digest {digest} at {router} and {first} at {other}"));
            }
            Some(_) => {}
            None => {
                digests.insert(*epoch, (digest.clone(), router.clone()));
            }
        }
        let before = last.insert(router, *epoch).unwrap_or(0);
        if before > *epoch {
            report(format!("{router} reports epoch {epoch} after epoch {before}"));
        }
    }
}

fn check_outcomes(records: &[&Record], verdict: &mut Verdict) {
    let mut final_statuses: BTreeMap<&str, (&ChangeStatus, &str)> = BTreeMap::new();
    let mut epochs: BTreeMap<u64, &str> = BTreeMap::new();
    for r in records {
        let Seen::ChangeReported { router, id, status } = &r.seen else { continue };
        let mut report = |description: String| {
            verdict.broken.push(Violation { promise: Promise::EverywhereOrNowhere, at: r.at, description });
        };
        if let ChangeStatus::InForce(epoch) = status {
            match epochs.get(epoch) {
                Some(other) if *other != id => {
                    report(format!(
                        "{router} reports that epoch {epoch} is change {id}; it was change {other}"
                    ));
                }
                _ => {
                    epochs.insert(*epoch, id);
                }
            }
        }
        match (final_statuses.get(id.as_str()), status) {
            (None, ChangeStatus::InForce(_) | ChangeStatus::Dropped(_)) => {
                final_statuses.insert(id, (status, router));
            }
            (Some((before, other)), ChangeStatus::InForce(_) | ChangeStatus::Dropped(_))
                if *before != status =>
            {
                report(format!("{id}: {router} reports {status:?}, but {other} reported {before:?}"));
            }
            // A router that lags behind may not know the outcome yet, but none may withdraw an outcome it
            // reported.
            (Some((before, other)), ChangeStatus::Pending) if *other == router => {
                report(format!("{id}: {router} reports it as pending, but reported {before:?} before"));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
