//! The messages that routers exchange about policy, and their encoding. Each message is one frame, sent in a
//! datagram, or on a connection if it is too long for a datagram or must arrive in order.
//!
//! A frame is `slAC`, a version, the length of the content, its checksum, the content. An incomplete frame is
//! never decoded.

use crate::configuration::Configuration;
use crate::policy_state::{Proposal, ProposalOutcome};
use crate::voter::{Heartbeat, Term};
use crate::{policy_state::Entry, timing};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of each frame, on connections and in datagrams.
pub const MAGIC: [u8; 4] = *b"slAC";
/// The version of the encoding. A frame of another version is rejected with an error that shows its version.
pub const VERSION: u8 = 1;
/// The longest frame, bytes: several times the longest policy, as a replicated state contains earlier
/// policies.
pub const MAX_FRAME_LEN: usize = 32 << 20;
const FRAME_HEADER_LEN: usize = 13;
/// The longest name of a fleet or a router, and the longest id of a proposal, bytes.
const MAX_NAME_LEN: usize = 64;

/// One incarnation of a router.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// The id of its disk; 0: it has none.
    pub disk: u64,
    /// A random number drawn when the process starts.
    pub incarnation: u64,
}

/// The version of the replicated state; later states are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateVersion {
    /// The configuration's number.
    pub configuration: u32,
    /// Entries applied in it.
    pub applied: u64,
}

/// A router's answer to a [`PrepareRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareResponse {
    /// The proposal's id.
    pub id: String,
    /// Why the router can't apply the policy; `None`: it can.
    pub rejection: Option<String>,
}

/// A router's request for a lease on its epoch, with a report of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The number of the request. A lease that is granted for it starts at the time at which the request was
    /// sent.
    pub nonce: u64,
    /// The epoch whose policy the router applies; 0: none yet.
    pub epoch: u64,
    /// The digest of the policy that the router applies.
    pub digest: u64,
    /// The version of the state that the router knows, as [`Grant::version`].
    pub version: StateVersion,
    /// Its answer about the pending change, once it has prepared or rejected that.
    pub prepare_response: Option<PrepareResponse>,
    /// The number of the request with which the router gave up all leases granted for earlier ones, to accept
    /// only short leases from then on; 0: it has not given them up.
    pub short_leases_since: u64,
    /// The router has released its lease: it accepts no requests any more, and expects no answer.
    pub released: bool,
}

/// Tells a router to prepare a change: to compile its policy without putting it in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The id of the proposal.
    pub id: String,
    /// The policy; `None`: the router already has it.
    pub text: Option<String>,
    /// The routers for which the change waits.
    pub waits_for: Vec<String>,
}

/// The leader's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the request; 0: it answers none.
    pub nonce: u64,
    /// The term of the leader that answers.
    pub term: Term,
    /// The leader's name.
    pub leader: String,
    /// The epoch in force.
    pub epoch: u64,
    /// The digest of its policy.
    pub digest: u64,
    /// How long the lease lasts from when the request was sent, ms; 0: none is granted.
    pub lease_ms: u32,
    /// The policy in force, if the router has another one.
    pub text: Option<String>,
    /// The pending change.
    pub prepare_request: Option<PrepareRequest>,
    /// The version of the state that the grant describes.
    pub version: StateVersion,
    /// The outcomes of the last changes, if the router knows another version.
    pub recent: Option<Vec<ProposalOutcome>>,
    /// The names of the voters.
    pub voters: Vec<String>,
}

/// An operator's request, submitted to any router and forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Proposes a change of the policy.
    Propose(Proposal),
    /// Replaces a voter that is permanently gone by the named router, or by the one that has held leases
    /// longest.
    Replace {
        /// The voter that is gone.
        old: String,
        /// The router that takes its place; `None`: the leader chooses one.
        new: Option<String>,
    },
}

/// The message that a frame carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// A message of the consensus library between voters of one configuration.
    Vote {
        /// The number of the configuration.
        configuration: u32,
        /// The message.
        message: Message<Entry>,
    },
    /// A leader's heartbeat, which asks the voters to confirm that it still leads.
    Heartbeat(Heartbeat),
    /// A voter confirms that it has promised to follow no newer leader.
    HeartbeatAck {
        /// The leader's term.
        term: Term,
        /// The number of the confirmed round.
        round: u64,
    },
    /// A router's request for a lease.
    LeaseRequest(LeaseRequest),
    /// A lease request, forwarded to the leader by another voter.
    ForwardedLeaseRequest {
        /// The router that requests the lease.
        origin: Peer,
        /// Its request.
        request: LeaseRequest,
    },
    /// The leader's answer to a lease request.
    Grant(Grant),
    /// The answer to a forwarded request.
    ForwardedGrant {
        /// The name of the router that requested the lease.
        router: String,
        /// The answer.
        grant: Grant,
    },
    /// An operator's request, on its way to the leader.
    OperatorRequest(OperatorRequest),
    /// The announcement of a founder without a configuration, with the policy in its own file.
    Bootstrap(String),
    /// Requests the current configuration. The sender knows the one with this number, which may have ended;
    /// 0: it knows none.
    ConfigurationRequest(u32),
    /// The current configuration.
    Configuration(Configuration),
}

/// A message with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The fleet's name.
    pub fleet: String,
    /// The sender.
    pub from: Peer,
    /// The message.
    pub body: Body,
}

/// A frame that was read from the beginning of some bytes.
#[derive(Clone, Debug)]
pub struct DecodedFrame {
    /// The frame.
    pub frame: Frame,
    /// How many bytes it occupies.
    pub encoded_len: usize,
}

/// Why bytes can't be decoded as a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// They don't begin with [`MAGIC`].
    #[error("not a frame about policy")]
    NotAFrame,
    /// The frame is of another version.
    #[error("version {0}: expected {VERSION}")]
    Version(u8),
    /// The frame is longer than this build accepts. Its length in bytes.
    #[error("{0} bytes: expected {MAX_FRAME_LEN} at most")]
    TooLong(usize),
    /// The frame was changed or cut short on the way.
    #[error("changed or cut short on the way")]
    Checksum,
    /// The checksum is right, but the content can't be decoded.
    #[error("a whole frame that can't be read")]
    Malformed,
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising into memory only fails for sequences of unknown length; there are none here.
        let content = postcard::to_stdvec(self).unwrap_or_default();
        let mut out = Vec::with_capacity(FRAME_HEADER_LEN + content.len());
        out.extend(MAGIC);
        out.push(VERSION);
        out.extend((content.len() as u32).to_be_bytes());
        out.extend((xxh3_64(&content) as u32).to_be_bytes());
        out.extend(content);
        out
    }

    /// Decodes the frame at the beginning of some bytes; `None`: more bytes are needed.
    ///
    /// # Errors
    /// The bytes are not a frame, or the frame is rejected.
    pub fn decode(bytes: &[u8]) -> Result<Option<DecodedFrame>, FrameError> {
        let received_magic = &bytes[..bytes.len().min(MAGIC.len())];
        if !MAGIC.starts_with(received_magic) {
            return Err(FrameError::NotAFrame);
        }
        if let Some(version) = bytes.get(MAGIC.len()).filter(|version| **version != VERSION) {
            return Err(FrameError::Version(*version));
        }
        let Some(header) = bytes.get(MAGIC.len() + 1..FRAME_HEADER_LEN) else { return Ok(None) };
        let (len, checksum) = header.split_at(size_of::<u32>());
        let len = len.iter().fold(0_usize, |len, byte| len << 8 | usize::from(*byte));
        if len > MAX_FRAME_LEN {
            return Err(FrameError::TooLong(len));
        }
        let Some(content) = bytes.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len) else { return Ok(None) };
        if checksum != (xxh3_64(content) as u32).to_be_bytes() {
            return Err(FrameError::Checksum);
        }
        let frame: Frame = postcard::from_bytes(content).map_err(|_| FrameError::Malformed)?;
        if frame.from.name.len() > MAX_NAME_LEN || frame.fleet.len() > MAX_NAME_LEN {
            return Err(FrameError::Malformed);
        }
        Ok(Some(DecodedFrame { frame, encoded_len: FRAME_HEADER_LEN + len }))
    }
}

impl OperatorRequest {
    /// Requests with the same key count as one request that was sent repeatedly.
    pub(crate) fn deduplication_key(&self) -> String {
        match self {
            OperatorRequest::Propose(proposal) => format!("propose {}", proposal.id),
            OperatorRequest::Replace { old, .. } => format!("replace {old}"),
        }
    }

    /// Whether all its parts are short enough to be accepted.
    pub(crate) fn is_within_limits(&self) -> bool {
        match self {
            OperatorRequest::Propose(proposal) => {
                proposal.text.len() <= timing::MAX_POLICY_LEN && proposal.id.len() <= MAX_NAME_LEN
            }
            OperatorRequest::Replace { old, new } => {
                old.len() <= MAX_NAME_LEN && new.as_ref().is_none_or(|new| new.len() <= MAX_NAME_LEN)
            }
        }
    }
}

#[cfg(test)]
mod tests;
