//! One voter in one configuration: a wrapper of the consensus library, and the rounds of heartbeats by which
//! voters confirm that their leader still leads.
//!
//! The library (`omnipaxos`) orders the entries and elects leaders that reach a majority, even in partial
//! network partitions. A leader that was replaced while it was cut off does not learn that from the library,
//! and would continue to grant leases. Therefore a leader sends heartbeats: each voter that has not promised
//! to follow a newer leader confirms, and confirmations by a majority prove that the leader still led after
//! it had sent the heartbeats.

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

/// The number of messages for which the library reserves memory.
const LIBRARY_BUFFER_LEN: usize = 64;

/// A term of a leader; later terms are greater.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Term {
    /// The configuration.
    pub configuration: u32,
    /// The ballot's number.
    pub ballot: u32,
    /// The leader's node id in the configuration.
    pub voter: u64,
}

/// A leader's heartbeat to the voters. It contains the position of the leader's log, so that a voter that
/// lags notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The term of the leader.
    pub term: Term,
    /// The number of the round.
    pub round: u64,
    /// The number of entries in its log.
    pub log_len: usize,
    /// The number of entries that it knows to be decided.
    pub decided_len: usize,
}

/// How entries are replicated.
enum Replication {
    /// Among several voters, by the consensus library.
    Replicated(Box<OmniPaxos<Entry, VoterStorage>>),
    /// Not at all: a single voter decides by itself.
    SingleVoter,
}

/// A round of heartbeats in progress.
struct HeartbeatRound {
    number: u64,
    sent_at: Duration,
    confirmed: BTreeSet<NodeId>,
}

/// What [`Voter::apply`] has applied.
pub(crate) struct Applied {
    /// The number of entries.
    pub(crate) entry_count: usize,
    /// The configuration that follows, if the last entry ended this one.
    pub(crate) next_configuration: Option<Configuration>,
}

/// A message of the consensus library.
pub(crate) struct OutgoingMessage {
    /// The name of the receiver.
    pub(crate) to: String,
    pub(crate) message: Message<Entry>,
}

/// The lengths of a voter's log and of its decided part.
struct LogPosition {
    log_len: usize,
    decided_len: usize,
}

/// A voter of one configuration.
pub struct Voter {
    pub(crate) configuration: Configuration,
    me: NodeId,
    replication: Replication,
    storage: VoterStorage,
    policy_state: PolicyState,
    applied: usize,
    /// The round of heartbeats in progress, if this voter leads.
    round: Option<HeartbeatRound>,
    rounds_begun: u64,
    /// Since when this voter has lagged behind the leader that it follows.
    lagging_since: Option<Duration>,
}

impl Voter {
    /// Creates a voter with the state that it has persisted; `None`: `identity` is not a voter of the
    /// configuration, or the library rejects the configuration.
    pub(crate) fn new(
        configuration: Configuration, identity: &VoterIdentity, persisted: PersistedState,
    ) -> Option<Voter> {
        let me = node_id_of(&configuration, identity)?;
        let storage = VoterStorage::new(persisted);
        let replication = Replication::new(&configuration, me, &storage)?;
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

    /// The storage, which the consensus library writes through.
    pub(crate) fn storage(&self) -> &VoterStorage {
        &self.storage
    }

    /// The state after all entries that this voter knows to be decided.
    pub(crate) fn policy_state(&self) -> &PolicyState {
        &self.policy_state
    }

    /// The number of entries applied in this configuration.
    pub(crate) fn applied(&self) -> usize {
        self.applied
    }

    /// The version of the replicated state.
    pub(crate) fn version(&self) -> StateVersion {
        StateVersion { configuration: self.configuration.number, applied: self.applied as u64 }
    }

    fn voter_of(&self, node_id: NodeId) -> Option<&VoterIdentity> {
        self.configuration.voters.get((node_id as usize).checked_sub(1)?)
    }

    fn majority(&self) -> usize {
        self.configuration.voters.len() / 2 + 1
    }

    /// The term of the leader that this voter has promised to follow.
    pub(crate) fn term(&self) -> Term {
        let configuration = self.configuration.number;
        match &self.replication {
            Replication::SingleVoter => Term { configuration, ballot: 1, voter: self.me },
            Replication::Replicated(library) => {
                let promise = library.get_promise();
                Term { configuration, ballot: promise.n, voter: promise.pid }
            }
        }
    }

    /// The name of the leader that this voter has promised to follow.
    pub(crate) fn leader(&self) -> Option<&str> {
        self.voter_of(self.term().voter).map(|voter| voter.name.as_str())
    }

    /// Whether this voter leads, as far as it knows, and has all entries that were ever decided.
    pub(crate) fn leads(&self) -> bool {
        match &self.replication {
            Replication::SingleVoter => true,
            Replication::Replicated(library) => library.get_current_leader() == Some((self.me, true)),
        }
    }

    /// Whether all entries in the log are decided.
    pub(crate) fn all_entries_decided(&self) -> bool {
        !self.storage.has_undecided()
    }

    /// Whether the log holds the entry that ends the configuration.
    pub(crate) fn is_ending(&self) -> bool {
        self.storage.is_ending()
    }

    /// Appends an entry to the log, as leader.
    pub(crate) fn append(&mut self, entry: Entry) {
        match &mut self.replication {
            Replication::SingleVoter => {
                use omnipaxos::storage::Storage;
                let log_len = self.storage.get_log_len().unwrap_or_default() + 1;
                // Writes in memory do not fail.
                let _ = self.storage.append_entry(entry);
                let _ = self.storage.set_decided_idx(log_len);
            }
            Replication::Replicated(library) => {
                // The library rejects entries only after its own stop sign, which is not used.
                let _ = library.append(entry);
            }
        }
    }

    /// Appends the entry that ends the configuration; the next one has these voters.
    pub(crate) fn end_configuration(&mut self, voters: &[VoterIdentity]) {
        self.append(Entry::Reconfigure(voters.to_vec()));
    }

    /// Advances the library's timers by one tick.
    pub(crate) fn tick(&mut self) {
        if let Replication::Replicated(library) = &mut self.replication {
            library.tick();
        }
    }

    /// Handles a message of the consensus library. A message from a voter that is not part of this
    /// configuration is ignored.
    pub(crate) fn receive(&mut self, from: &VoterIdentity, message: Message<Entry>) {
        let known = node_id_of(&self.configuration, from) == Some(message.get_sender())
            && message.get_receiver() == self.me;
        if let (true, Replication::Replicated(library)) = (known, &mut self.replication) {
            library.handle_incoming(message);
        }
    }

    /// Takes the messages that wait to be sent. The storage must be persisted before they are sent.
    pub(crate) fn take_messages(&mut self) -> Vec<OutgoingMessage> {
        let mut messages = Vec::new();
        if let Replication::Replicated(library) = &mut self.replication {
            library.take_outgoing_messages(&mut messages);
        }
        let addressed = |message: Message<Entry>| {
            let to = self.voter_of(message.get_receiver())?.name.clone();
            Some(OutgoingMessage { to, message })
        };
        messages.into_iter().filter_map(addressed).collect()
    }

    /// Makes the library synchronise the logs again, as messages to or from a voter may have been lost.
    pub(crate) fn resynchronise(&mut self, name: &str) {
        let index = self.configuration.voters.iter().position(|voter| voter.name == name);
        let node_id = index.map(|index| index as NodeId + 1).filter(|node_id| *node_id != self.me);
        if let (Some(node_id), Replication::Replicated(library)) = (node_id, &mut self.replication) {
            library.reconnected(node_id);
        }
    }

    /// Applies the entries that have been decided since the last call.
    pub(crate) fn apply(&mut self) -> Applied {
        let mut entries = self.storage.decided_from(self.applied);
        let end = entries.iter().position(|entry| matches!(entry, Entry::Reconfigure(_)));
        entries.truncate(end.map_or(entries.len(), |index| index + 1));
        for entry in &entries {
            self.policy_state.apply(entry);
        }
        self.applied += entries.len();
        let next_configuration = match entries.last() {
            Some(Entry::Reconfigure(voters)) => Some(Configuration {
                number: self.configuration.number + 1,
                voters: voters.clone(),
                initial_state: self.policy_state.clone(),
            }),
            _ => None,
        };
        Applied { entry_count: entries.len(), next_configuration }
    }

    /// Begins a round, as leader. Returns the heartbeat to send to all other voters; `None`: a round is
    /// already in progress.
    pub(crate) fn begin_heartbeat_round(&mut self, now: Duration) -> Option<Heartbeat> {
        if self.round.is_some() {
            return None;
        }
        self.rounds_begun += 1;
        let confirmed = BTreeSet::from([self.me]);
        self.round = Some(HeartbeatRound { number: self.rounds_begun, sent_at: now, confirmed });
        Some(self.heartbeat())
    }

    /// The heartbeat of the round in progress, if it is time to send it again.
    pub(crate) fn resend_heartbeat(&mut self, now: Duration) -> Option<Heartbeat> {
        let round = self.round.as_mut().filter(|round| now >= round.sent_at + timing::HEARTBEAT_RETRY)?;
        round.sent_at = now;
        Some(self.heartbeat())
    }

    fn heartbeat(&self) -> Heartbeat {
        let LogPosition { log_len, decided_len } = self.log_position();
        Heartbeat { term: self.term(), round: self.rounds_begun, log_len, decided_len }
    }

    fn log_position(&self) -> LogPosition {
        match &self.replication {
            Replication::SingleVoter => LogPosition { log_len: self.applied, decided_len: self.applied },
            Replication::Replicated(library) => {
                LogPosition { log_len: library.get_accepted_idx(), decided_len: library.get_decided_idx() }
            }
        }
    }

    /// Handles a leader's heartbeat. Returns whether this voter confirms it, as it has not promised to follow
    /// a newer leader. If the voter has lagged for too long, it also synchronises its log again.
    pub(crate) fn handle_heartbeat(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        if heartbeat.term != self.term() {
            return false;
        }
        let LogPosition { log_len, decided_len } = self.log_position();
        let behind = log_len < heartbeat.log_len
            || decided_len < heartbeat.decided_len
            || heartbeat.decided_len < heartbeat.log_len;
        if !behind {
            self.lagging_since = None;
        } else if now >= *self.lagging_since.get_or_insert(now) + timing::LAG_TIMEOUT {
            // A message may have been lost, with no later message that would reveal the gap.
            self.lagging_since = None;
            let leader = self.leader().unwrap_or_default().to_owned();
            self.resynchronise(&leader);
        }
        true
    }

    /// Records that a voter has confirmed a round. Returns true if a majority has now confirmed it: the round
    /// is over, and this voter still led after it began.
    pub(crate) fn record_ack(&mut self, from: &VoterIdentity, term: Term, number: u64) -> bool {
        if term != self.term() || !self.leads() {
            self.round = None;
            return false;
        }
        let node_id = node_id_of(&self.configuration, from);
        let round = self.round.as_mut().filter(|round| round.number == number);
        if let (Some(round), Some(node_id)) = (round, node_id) {
            round.confirmed.insert(node_id);
        }
        self.finish_confirmed_round()
    }

    /// Ends the round in progress if a majority has confirmed it. Returns whether it has.
    pub(crate) fn finish_confirmed_round(&mut self) -> bool {
        let majority = self.majority();
        let confirmed =
            self.leads() && self.round.as_ref().is_some_and(|round| round.confirmed.len() >= majority);
        if confirmed {
            self.round = None;
        }
        confirmed
    }

    /// Discards the round in progress, as this voter does not lead any more.
    pub(crate) fn abandon_round(&mut self) {
        self.round = None;
    }
}

impl Replication {
    /// `None`: the library rejects the configuration.
    fn new(configuration: &Configuration, me: NodeId, storage: &VoterStorage) -> Option<Replication> {
        if configuration.voters.len() == 1 {
            return Some(Replication::SingleVoter);
        }
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
                buffer_size: LIBRARY_BUFFER_LEN,
                ..ServerConfig::default()
            },
        };
        Some(Replication::Replicated(Box::new(config.build(storage.clone()).ok()?)))
    }
}

/// The node id of a voter in the library: its position in the configuration, counted from 1.
fn node_id_of(configuration: &Configuration, identity: &VoterIdentity) -> Option<NodeId> {
    let index = configuration.voters.iter().position(|voter| voter == identity)?;
    Some(index as NodeId + 1)
}
