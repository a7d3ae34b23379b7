//! The messages that routers exchange about policy, and their encoding: one frame each, in a datagram if it fits, or on a connection if it does
//! not or if order counts.
//!
//! A frame is `slAC`, a version, the length of the content, its checksum, the content. An incomplete frame is never decoded.

use crate::configuration::Configuration;
use crate::policy_state::{Proposal, ProposalOutcome};
use crate::voter::{Heartbeat, Term};
use crate::{policy_state::Entry, timing};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of each frame, on connections and in datagrams.
pub const MAGIC: [u8; 4] = *b"slAC";
/// The version of the encoding. A frame of another version is refused with an error that names it.
pub const VERSION: u8 = 1;
/// The longest frame, bytes: several times the longest policy, as a state carries earlier policies.
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

/// How a router answers a [`PrepareRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareResponse {
    /// The proposal's id.
    pub id: String,
    /// Why the router can't act by the policy; `None`: it can.
    pub rejection: Option<String>,
}

/// A router requests a lease on its epoch, and reports its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Numbers the request. A lease that is granted for it counts from the moment at which it was sent.
    pub nonce: u64,
    /// The epoch by which the router acts; 0: none yet.
    pub epoch: u64,
    /// The digest of the policy that it has.
    pub digest: u64,
    /// The version of the state that it knows, as [`Grant::version`].
    pub version: StateVersion,
    /// The change that it has prepared or rejected.
    pub prepare_response: Option<PrepareResponse>,
    /// It has given up all leases that were granted for requests before this one, and wants short leases only; 0: it has not.
    pub short_leases_since: u64,
    /// It takes no requests any more, and expects no answer.
    pub released: bool,
}

/// Tells a router to prepare a change: to compile its policy without putting it in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The id of the proposal.
    pub id: String,
    /// The policy; `None`: the router has it already.
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
    /// The policy, if the router has another one.
    pub text: Option<String>,
    /// The change under way.
    pub prepare_request: Option<PrepareRequest>,
    /// The version of the state that the grant describes.
    pub version: StateVersion,
    /// How the last changes ended, if the router knows another version.
    pub recent: Option<Vec<ProposalOutcome>>,
    /// The names of the voters.
    pub voters: Vec<String>,
}

/// A request that an operator made to some router, on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Changes the policy.
    Propose(Proposal),
    /// Replaces a voter that is gone for good by the named router, or by the one that has held leases longest.
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
    /// A leader's heartbeat: it asks the voters whether it still leads.
    Heartbeat(Heartbeat),
    /// A voter confirms that it has promised to follow no newer leader.
    HeartbeatAck {
        /// The leader's term.
        term: Term,
        /// The number of the confirmed round.
        round: u64,
    },
    /// A router requests a lease.
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
    /// Asks for the present configuration. The sender knows the one of this number, which may have ended; 0: it has none.
    ConfigurationRequest(u32),
    /// The present configuration.
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

/// Why bytes are not a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// They don't begin with [`MAGIC`].
    #[error("not a frame about policy")]
    NotAFrame,
    /// The frame is of another version.
    #[error("version {0}: expected {VERSION}")]
    Version(u8),
    /// The frame is longer than this build takes: its length in bytes.
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
        // Writing into memory fails for types that say their length only later; there are none here.
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
    /// The bytes are no frame, or a frame that is refused.
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
    /// Requests with the same key are the same request, sent again.
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
