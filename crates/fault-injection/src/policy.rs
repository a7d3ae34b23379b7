//! What became of the policy in a run: each proposal, the promises by the stamps in the traffic, and whether all act by one epoch at the end.

use crate::history::History;
use crate::script::{Expect, Propose, Script, Wish};
use slipreel_consensus::timing;
use slipreel_invariants::policy::{ChangeStatus, Verdict};
use slipreel_invariants::Record;
use std::collections::BTreeSet;
use std::time::Duration;

/// A proposal on its way.
#[derive(Clone, Debug)]
pub(crate) struct Track {
    pub(crate) propose: Propose,
    /// Since when a router has it.
    pub(crate) taken: Option<Duration>,
    end: Option<(ChangeStatus, Duration)>,
    again: u32,
    /// Somebody knew at the end what came of it.
    pub(crate) known: bool,
}

/// It is asked so often more for what came of it after that was known first.
const AGAIN: u32 = 10;

impl Track {
    pub(crate) fn new(propose: Propose) -> Track {
        Track { propose, taken: None, end: None, again: 0, known: false }
    }

    pub(crate) fn is_a_change(&self) -> bool {
        !matches!(self.propose.wish, Wish::Replace(_))
    }

    pub(crate) fn is_done(&self) -> bool {
        self.again >= AGAIN || !self.is_a_change() && self.taken.is_some()
    }

    /// It has ended so, after this time. Whether that was not known before.
    pub(crate) fn ended(&mut self, said: ChangeStatus, took: Duration) -> bool {
        self.again += 1;
        let first = self.end.is_none();
        if first {
            self.end = Some((said, took));
        }
        first
    }
}

/// What the judge found.
#[derive(Clone, Debug, Default)]
pub struct PolicyOutcome {
    /// By the stamps and by what operators were told.
    pub verdict: Verdict,
    /// What else is wrong.
    pub failures: Vec<String>,
    /// How long changes took that came into force, from when a router had taken them.
    pub changed_in: Vec<Duration>,
    /// Changes that came into force and that were dropped.
    pub ended: (usize, usize),
    /// The epoch that all act by at the end.
    pub epoch: u64,
}

impl PolicyOutcome {
    /// Whether nothing is wrong.
    pub fn passed(&self) -> bool {
        self.failures.is_empty() && self.verdict.broken.is_empty()
    }
}

/// What clients' clocks and the wire add to the overlap that the design states.
const WIRE: Duration = Duration::from_millis(20);

pub(crate) fn judge(
    script: &Script, history: &History, records: &[Record], tracks: &[Track], up: &[usize],
) -> PolicyOutcome {
    let overlap = match script.cut {
        slipreel_consensus::PartitionMode::Refuse => timing::with_clock_drift(timing::SHORT_LEASE) + WIRE,
        // They go on by the old one for as long as they are cut off: that is what was chosen.
        slipreel_consensus::PartitionMode::Serve => Duration::MAX,
    };
    let verdict = slipreel_invariants::policy::judge(records, overlap, true);
    let mut outcome = PolicyOutcome { verdict, ..PolicyOutcome::default() };
    let sights: Vec<_> = up.iter().map(|r| (*r, history.policy_of(*r))).collect();
    let epochs: BTreeSet<u64> = sights.iter().filter_map(|(_, s)| s.map(|s| s.epoch)).collect();
    outcome.epoch = epochs.iter().next_back().copied().unwrap_or(0);
    for (r, sight) in &sights {
        match sight {
            None => outcome.failures.push(format!("r{r} tells nothing of the policy at the end")),
            // It was down while the others agreed on what it can't take: it says so and takes no requests.
            Some(s) if s.stuck && !s.serving && script.poor == Some(*r) => {}
            Some(s) if !s.serving || s.epoch != outcome.epoch || s.pending.is_some() => {
                outcome.failures.push(format!(
                    "r{r} at the end: epoch {}, serving {}, pending {:?}: expected epoch {}, serving, nothing pending",
                    s.epoch, s.serving, s.pending, outcome.epoch
                ));
            }
            Some(_) => {}
        }
    }
    for track in tracks {
        let (id, Propose { wish, expect, .. }) = (&track.propose.id, &track.propose);
        if let Wish::Replace(old) = wish {
            let old = format!("r{old}");
            for (r, sight) in &sights {
                if sight.is_some_and(|s| s.voters.contains(&old)) {
                    outcome.failures.push(format!("{id}: r{r} still counts {old} among the voters"));
                }
            }
            continue;
        }
        match &track.end {
            Some((ChangeStatus::InForce(_), took)) => {
                outcome.changed_in.push(*took);
                outcome.ended.0 += 1;
            }
            Some(_) => outcome.ended.1 += 1,
            // Its router may have died with it before anybody else had it.
            None if track.known || *expect == Expect::Either => {}
            None => outcome.failures.push(format!("{id}: nobody knows what came of it")),
        }
        let against = matches!(
            (&track.end, expect),
            (Some((ChangeStatus::InForce(_), _)), Expect::Dropped)
                | (Some((ChangeStatus::Dropped(_), _)), Expect::InForce)
        );
        if against {
            outcome.failures.push(format!("{id}: {:?}: expected {expect:?}", track.end));
        }
    }
    outcome
}
