//! How a fleet comes to its first configuration: all founders are there, none of them has ever been in one, and one of them begins.
//!
//! All of them, not a majority: a founder that has lost its folder looks like one that never had any, and two of three such could found a second
//! fleet beside the first. Which policy holds first: the one that most founders start with; of equally many, that of the founder named first.

use crate::configuration::Configuration;
use crate::policy_state::PolicyState;
use crate::timing;
use crate::voter_identity::VoterIdentity;
use crate::wire::Peer;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the founders have told each other.
pub(crate) struct Bootstrap {
    founders: Vec<String>,
    heard: BTreeMap<String, (Peer, String, Duration)>,
    pub(crate) next: Duration,
}

impl Bootstrap {
    pub(crate) fn new(founders: &[String]) -> Bootstrap {
        Bootstrap { founders: founders.to_vec(), heard: BTreeMap::new(), next: Duration::ZERO }
    }

    /// The other founders.
    pub(crate) fn others<'a>(&'a self, me: &'a str) -> impl Iterator<Item = &'a String> {
        self.founders.iter().filter(move |f| *f != me)
    }

    /// A founder that is in no configuration tells of itself.
    pub(crate) fn hear(&mut self, now: Duration, from: &Peer, text: String) {
        if self.founders.contains(&from.name) && from.disk != 0 {
            self.heard.insert(from.name.clone(), (from.clone(), text, now));
        }
    }

    /// The first configuration, if this founder is the one that begins it and all others were heard a moment ago.
    pub(crate) fn begin(&self, now: Duration, me: &Peer, text: &str, wall: u64) -> Option<Configuration> {
        if self.founders.first() != Some(&me.name) || me.disk == 0 {
            return None;
        }
        let mut all = vec![(me.clone(), text.to_owned())];
        for founder in self.others(&me.name) {
            let (peer, text, at) = self.heard.get(founder)?;
            if now >= *at + timing::BOOTSTRAP_INTERVAL * 4 {
                return None;
            }
            all.push((peer.clone(), text.clone()));
        }
        let votes = |text: &String| all.iter().filter(|(_, t)| t == text).count();
        let first = all.iter().rev().max_by_key(|(_, text)| votes(text))?;
        let voters = all.iter().map(|(p, _)| VoterIdentity { name: p.name.clone(), disk: p.disk }).collect();
        Some(Configuration {
            number: 1,
            voters,
            initial_state: PolicyState::founded(&first.1, &first.0.name, wall),
        })
    }
}

#[cfg(test)]
mod tests;
