//! The bootstrap of a fleet: how the founders agree on the first configuration.
//!
//! All founders must be present and in no configuration; the founder named first then writes the first one. A majority is not enough: a founder
//! that has lost its disk looks like one that never had one, and two of three such founders could found a second fleet beside the first. The
//! first policy is the one that most founders start with; among equals, that of the founder named first.

use crate::configuration::Configuration;
use crate::policy_state::PolicyState;
use crate::timing;
use crate::voter_identity::VoterIdentity;
use crate::wire::Peer;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time after which what a founder announced does not count any more.
const ANNOUNCEMENT_LIFETIME: Duration = timing::BOOTSTRAP_INTERVAL.saturating_mul(4);

/// What a founder has announced of itself.
#[derive(Clone)]
struct Founder {
    peer: Peer,
    /// The policy in its own file.
    policy: String,
    received_at: Duration,
}

/// What this founder knows of the others.
pub(crate) struct Bootstrap {
    founders: Vec<String>,
    announced: BTreeMap<String, Founder>,
    /// When this founder announces itself next.
    pub(crate) next: Duration,
}

impl Bootstrap {
    /// The state at the start of a founder without a configuration.
    pub(crate) fn new(founders: &[String]) -> Bootstrap {
        Bootstrap { founders: founders.to_vec(), announced: BTreeMap::new(), next: Duration::ZERO }
    }

    /// The other founders.
    pub(crate) fn others<'a>(&'a self, me: &'a str) -> impl Iterator<Item = &'a String> {
        self.founders.iter().filter(move |founder| *founder != me)
    }

    /// Takes the announcement of a founder that is in no configuration.
    pub(crate) fn record_announcement(&mut self, now: Duration, from: &Peer, policy: String) {
        if self.founders.contains(&from.name) && from.disk != 0 {
            let founder = Founder { peer: from.clone(), policy, received_at: now };
            self.announced.insert(from.name.clone(), founder);
        }
    }

    /// The first configuration, if this founder is the one named first and all others have announced themselves lately.
    /// `unix_s`: the wall clock, seconds since 1970.
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
        let votes = |policy: &String| founders.iter().filter(|founder| founder.policy == *policy).count();
        // The last of equal maxima is taken: in reverse order that is the founder named first.
        let first = founders.iter().rev().max_by_key(|founder| votes(&founder.policy))?;
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
