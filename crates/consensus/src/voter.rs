//! One voter in one configuration: the agreement library behind what the rest of this package needs of it, and the rounds in which voters confirm
//! that their leader still leads.
//!
//! The library (`omnipaxos`) orders the entries and elects leaders that reach a majority, also in partial cuts. It does not tell a leader that it
//! has been replaced unheard, so that alone would let it go on granting leases. Here a leader asks the voters: each that has promised nobody
//! newer says so, and a majority that does proves that the leader led after it asked.

use crate::configuration::Configuration;
use crate::policy_state::{Entry, PolicyState};
use crate::storage::{PersistedState, VoterStorage};
use crate::timing;
use crate::voter_identity::VoterIdentity;
use crate::wire::StateVersion;
use omnipaxos::messages::Message;
use omnipaxos::util::NodeId;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::collections::BTreeSet;
use std::time::Duration;

/// Who leads, in an order in which later leaders are greater: the configuration, the ballot's number and its voter's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Term {
    /// The configuration.
    pub configuration: u32,
    /// The ballot's number.
    pub ballot: u32,
    /// The leader's number in the configuration.
    pub voter: u64,
}

/// A leader's heartbeat to the voters, and how far it is, so that those who lag see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Its term.
    pub term: Term,
    /// Numbers the round.
    pub round: u64,
    /// Entries that it holds.
    pub log_len: usize,
    /// Entries that it knows to be decided.
    pub decided_len: usize,
}

enum Replication {
    /// With others.
    Replicated(Box<OmniPaxos<Entry, VoterStorage>>),
    /// A configuration of one decides by itself.
    SingleVoter,
}

struct HeartbeatRound {
    number: u64,
    sent: Duration,
    confirmed: BTreeSet<NodeId>,
}

/// A voter.
pub struct Voter {
    pub(crate) configuration: Configuration,
    me: NodeId,
    replication: Replication,
    storage: VoterStorage,
    policy_state: PolicyState,
    applied: usize,
    /// The round that is under way, as leader.
    round: Option<HeartbeatRound>,
    rounds_begun: u64,
    /// Since when it lags behind what its leader says, as a follower.
    lagging_since: Option<Duration>,
}

impl Voter {
    /// A voter at its start, with what it had noted before; `None` if it is none of these.
    pub(crate) fn new(
        configuration: Configuration, member: &VoterIdentity, noted: PersistedState,
    ) -> Option<Voter> {
        let me = configuration.voters.iter().position(|s| s == member)? as NodeId + 1;
        let storage = VoterStorage::new(noted);
        let replication = if configuration.voters.len() == 1 {
            Replication::SingleVoter
        } else {
            let config = OmniPaxosConfig {
                cluster_config: ClusterConfig {
                    configuration_id: configuration.number,
                    nodes: (1..=configuration.voters.len() as NodeId).collect(),
                    flexible_quorum: None,
                },
                server_config: ServerConfig {
                    pid: me,
                    election_tick_timeout: timing::ELECTION_TICKS,
                    resend_message_tick_timeout: timing::RESEND_TICKS,
                    buffer_size: 64,
                    ..ServerConfig::default()
                },
            };
            Replication::Replicated(Box::new(config.build(storage.clone()).ok()?))
        };
        let policy_state = configuration.initial_state.clone();
        let mut voter = Voter {
            configuration,
            me,
            replication,
            storage,
            policy_state,
            applied: 0,
            round: None,
            rounds_begun: 0,
            lagging_since: None,
        };
        voter.apply();
        Some(voter)
    }

    pub(crate) fn storage(&self) -> &VoterStorage {
        &self.storage
    }

    /// The state after all that this voter knows to be decided.
    pub(crate) fn policy_state(&self) -> &PolicyState {
        &self.policy_state
    }

    /// Entries applied in this configuration.
    pub(crate) fn applied(&self) -> usize {
        self.applied
    }

    /// The version of that state.
    pub(crate) fn version(&self) -> StateVersion {
        StateVersion { configuration: self.configuration.number, applied: self.applied as u64 }
    }

    fn voter(&self, at: NodeId) -> Option<&VoterIdentity> {
        self.configuration.voters.get((at as usize).checked_sub(1)?)
    }

    fn node_id(&self, member: &VoterIdentity) -> Option<NodeId> {
        self.configuration.voters.iter().position(|s| s == member).map(|at| at as NodeId + 1)
    }

    fn majority(&self) -> usize {
        self.configuration.voters.len() / 2 + 1
    }

    /// The leader that this voter has promised to follow.
    pub(crate) fn term(&self) -> Term {
        let configuration = self.configuration.number;
        match &self.replication {
            Replication::SingleVoter => Term { configuration, ballot: 1, voter: self.me },
            Replication::Replicated(p) => {
                let promise = p.get_promise();
                Term { configuration, ballot: promise.n, voter: promise.pid }
            }
        }
    }

    /// The name of that leader.
    pub(crate) fn leader(&self) -> Option<&str> {
        self.voter(self.term().voter).map(|s| s.name.as_str())
    }

    /// Whether this voter leads, as far as it knows, and holds all that was ever decided.
    pub(crate) fn leads(&self) -> bool {
        match &self.replication {
            Replication::SingleVoter => true,
            Replication::Replicated(p) => p.get_current_leader() == Some((self.me, true)),
        }
    }

    /// Whether all that it holds is decided.
    pub(crate) fn is_settled(&self) -> bool {
        !self.storage.has_undecided()
    }

    /// Whether the configuration is about to end.
    pub(crate) fn is_ending(&self) -> bool {
        self.storage.is_ending()
    }

    /// Asks for an entry, as leader.
    pub(crate) fn append(&mut self, entry: Entry) {
        match &mut self.replication {
            Replication::SingleVoter => {
                use omnipaxos::storage::Storage;
                let n = self.storage.get_log_len().unwrap_or_default() + 1;
                let _ = self.storage.append_entry(entry);
                let _ = self.storage.set_decided_idx(n);
            }
            Replication::Replicated(p) => {
                // Never refused: the library's own sign for an end is not used.
                let _ = p.append(entry);
            }
        }
    }

    /// Ends the configuration in favour of one with these members.
    pub(crate) fn end_configuration(&mut self, members: &[VoterIdentity]) {
        self.append(Entry::Reconfigure(members.to_vec()));
    }

    pub(crate) fn tick(&mut self) {
        if let Replication::Replicated(p) = &mut self.replication {
            p.tick();
        }
    }

    /// Takes a message of the agreement. One from a membership that this configuration does not have is not taken.
    pub(crate) fn receive(&mut self, from: &VoterIdentity, message: Message<Entry>) {
        let known = self.node_id(from) == Some(message.get_sender()) && message.get_receiver() == self.me;
        if let (true, Replication::Replicated(p)) = (known, &mut self.replication) {
            p.handle_incoming(message);
        }
    }

    /// Messages that wait to be sent, with whom to: to be taken after what was noted is on the disk.
    pub(crate) fn messages(&mut self) -> Vec<(String, Message<Entry>)> {
        let mut all = Vec::new();
        if let Replication::Replicated(p) = &mut self.replication {
            p.take_outgoing_messages(&mut all);
        }
        let named = |m: Message<Entry>| Some((self.voter(m.get_receiver())?.name.clone(), m));
        all.into_iter().filter_map(named).collect()
    }

    /// What was sent to a voter in order may not have come: the library agrees with it anew on where they stand.
    pub(crate) fn resynchronise(&mut self, name: &str) {
        let number = self.configuration.voters.iter().position(|s| s.name == name).map(|at| at as NodeId + 1);
        if let (Some(number), Replication::Replicated(p)) =
            (number.filter(|n| *n != self.me), &mut self.replication)
        {
            p.reconnected(number);
        }
    }

    /// Applies what is decided. The entries that are new, and the next configuration if this one has ended.
    pub(crate) fn apply(&mut self) -> (Vec<Entry>, Option<Configuration>) {
        let mut entries = self.storage.decided_from(self.applied);
        let end = entries.iter().position(|e| matches!(e, Entry::Reconfigure(_)));
        entries.truncate(end.map_or(entries.len(), |at| at + 1));
        for entry in &entries {
            self.policy_state.apply(entry);
        }
        self.applied += entries.len();
        let number = self.configuration.number + 1;
        let next = match entries.last() {
            Some(Entry::Reconfigure(members)) => Some(Configuration {
                number,
                voters: members.clone(),
                initial_state: self.policy_state.clone(),
            }),
            _ => None,
        };
        (entries, next)
    }

    // ---- Confirming ------------------------------------------------------------------------------

    /// Begins a round, as leader; the message goes to all other voters. `None`: one is under way.
    pub(crate) fn begin_heartbeat_round(&mut self, now: Duration) -> Option<Heartbeat> {
        if self.round.is_some() {
            return None;
        }
        self.rounds_begun += 1;
        let confirmed = BTreeSet::from([self.me]);
        self.round = Some(HeartbeatRound { number: self.rounds_begun, sent: now, confirmed });
        Some(self.heartbeat())
    }

    /// The heartbeat of the round that is under way, if it is time to ask again.
    pub(crate) fn resend_heartbeat(&mut self, now: Duration) -> Option<Heartbeat> {
        let round = self.round.as_mut().filter(|r| now >= r.sent + timing::HEARTBEAT_RETRY)?;
        round.sent = now;
        Some(self.heartbeat())
    }

    fn heartbeat(&self) -> Heartbeat {
        let (log_len, decided_len) = self.log_position();
        Heartbeat { term: self.term(), round: self.rounds_begun, log_len, decided_len }
    }

    fn log_position(&self) -> (usize, usize) {
        match &self.replication {
            Replication::SingleVoter => (self.applied, self.applied),
            Replication::Replicated(p) => (p.get_accepted_idx(), p.get_decided_idx()),
        }
    }

    /// A leader asks: whether this voter has promised nobody newer.
    pub(crate) fn acknowledges(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        if heartbeat.term != self.term() {
            return false;
        }
        let (log_len, decided_len) = self.log_position();
        let behind = log_len < heartbeat.log_len
            || decided_len < heartbeat.decided_len
            || heartbeat.decided_len < heartbeat.log_len;
        if !behind {
            self.lagging_since = None;
        } else if now >= *self.lagging_since.get_or_insert(now) + timing::LAG_TIMEOUT {
            // A message of the last exchange may have been lost for good, and nothing follows it that would show the gap.
            self.lagging_since = None;
            let leader = self.leader().unwrap_or_default().to_owned();
            self.resynchronise(&leader);
        }
        true
    }

    /// A voter confirms. True if that makes a majority: the round is over, and this voter led after it began.
    pub(crate) fn record_ack(&mut self, from: &VoterIdentity, term: Term, number: u64) -> bool {
        if term != self.term() || !self.leads() {
            self.round = None;
            return false;
        }
        let voter = self.node_id(from);
        if let (Some(round), Some(voter)) = (self.round.as_mut().filter(|r| r.number == number), voter) {
            round.confirmed.insert(voter);
        }
        self.finish_confirmed_round()
    }

    /// Whether the round that is under way has a majority; it is over then.
    pub(crate) fn finish_confirmed_round(&mut self) -> bool {
        let most = self.majority();
        let done = self.leads() && self.round.as_ref().is_some_and(|r| r.confirmed.len() >= most);
        if done {
            self.round = None;
        }
        done
    }

    /// This voter does not lead any more: its round says nothing.
    pub(crate) fn abandon_round(&mut self) {
        self.round = None;
    }
}
