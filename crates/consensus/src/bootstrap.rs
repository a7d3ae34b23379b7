//! Bootstraps a fleet: the founders agree on its first configuration.
//!
//! All founders must be reachable and have no configuration; the founder listed first then creates the first
//! one. A majority is not enough: a founder that has lost its disk can't be distinguished from one that never
//! had a configuration, and two of three such founders could bootstrap a second fleet beside the first. The
//! first policy is the one that most founders were started with; in a tie, that of the founder listed first
//! among them.

use crate::configuration::Configuration;
use crate::policy_state::PolicyState;
use crate::timing;
use crate::voter_identity::VoterIdentity;
use crate::wire::Peer;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long the announcement of a founder is valid.
const ANNOUNCEMENT_LIFETIME: Duration = timing::BOOTSTRAP_INTERVAL.saturating_mul(4);

/// A founder, as it has announced itself.
#[derive(Clone)]
struct Founder {
    peer: Peer,
    /// The policy in its own file.
    policy: String,
    received_at: Duration,
}

/// The state of a founder during the bootstrap: the announcements of the other founders.
pub(crate) struct Bootstrap {
    founders: Vec<String>,
    announced: BTreeMap<String, Founder>,
    /// When this founder announces itself next.
    pub(crate) next_announcement_at: Duration,
}

impl Bootstrap {
    /// The initial state of a founder that has no configuration.
    pub(crate) fn new(founders: &[String]) -> Bootstrap {
        Bootstrap {
            founders: founders.to_vec(),
            announced: BTreeMap::new(),
            next_announcement_at: Duration::ZERO,
        }
    }

    /// The other founders.
    pub(crate) fn others<'a>(&'a self, me: &'a str) -> impl Iterator<Item = &'a String> {
        self.founders.iter().filter(move |founder| *founder != me)
    }

    /// Records the announcement of a founder that has no configuration. Routers that are not founders or have
    /// no disk are ignored.
    pub(crate) fn record_announcement(&mut self, now: Duration, from: &Peer, policy: String) {
        if self.founders.contains(&from.name) && from.disk != 0 {
            let founder = Founder { peer: from.clone(), policy, received_at: now };
            self.announced.insert(from.name.clone(), founder);
        }
    }

    /// The first configuration, if this founder is the one listed first and all others have announced
    /// themselves recently. `unix_s`: the wall clock, seconds since 1970.
    pub(crate) fn first_configuration(
        &self, now: Duration, me: &Peer, policy: &str, unix_s: u64,
    ) -> Option<Configuration> {
        if self.founders.first() != Some(&me.name) || me.disk == 0 {
            return None;
        }
        let mut founders = vec![Founder { peer: me.clone(), policy: policy.to_owned(), received_at: now }];
        for name in self.others(&me.name) {
            let founder = self.announced.get(name)?;
            if now >= founder.received_at + ANNOUNCEMENT_LIFETIME {
                return None;
            }
            founders.push(founder.clone());
        }
        let supporters =
            |policy: &String| founders.iter().filter(|founder| founder.policy == *policy).count();
        // `max_by_key` returns the last of equal maxima: in reverse order, that is the founder listed first.
        let first = founders.iter().rev().max_by_key(|founder| supporters(&founder.policy))?;
        let identity = |peer: &Peer| VoterIdentity { name: peer.name.clone(), disk: peer.disk };
        let voters = founders.iter().map(|founder| identity(&founder.peer)).collect();
        Some(Configuration {
            number: 1,
            voters,
            initial_state: PolicyState::founded(&first.policy, &first.peer.name, unix_s),
        })
    }
}

#[cfg(test)]
mod tests;
