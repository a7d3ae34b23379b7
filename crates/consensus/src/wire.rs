//! What routers tell each other about policy, as bytes: one frame, in a datagram where it fits and on a connection where it does not or where
//! order counts.
//!
//! A frame is `slAC`, a version, the length of what follows the checksum, the checksum, the content. A frame is taken whole or not at all.

use crate::configuration::Configuration;
use crate::policy_state::{Proposal, ProposalOutcome};
use crate::voter::{Heartbeat, Term};
use crate::{policy_state::Entry, timing};
use omnipaxos::messages::Message;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How frames begin, on connections and in datagrams.
pub const MAGIC: [u8; 4] = *b"slAC";
/// The version that this build speaks. Another one is refused and named.
pub const VERSION: u8 = 1;
/// The longest frame: the longest policy some times over, as a state carries earlier ones.
pub const MAX_FRAME_LEN: usize = 32 << 20;
const FRAME_HEADER_LEN: usize = 13;

/// One life of a router.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its disk; 0: it has none.
    pub disk: u64,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// A state of the agreement, in an order in which later states are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateVersion {
    /// The configuration's number.
    pub configuration: u32,
    /// Entries applied in it.
    pub applied: u64,
}

/// A change that a router has tried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TriedChange {
    /// The proposal's id.
    pub id: String,
    /// Why the router can't take it; `None`: it can.
    pub rejection: Option<String>,
}

/// A router asks whether it may take requests by its epoch, and says how it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Numbers the question; the answer counts from when it was asked.
    pub nonce: u64,
    /// The epoch that it acts by; 0: none yet.
    pub epoch: u64,
    /// Of the policy that it has.
    pub digest: u64,
    /// What it knows, as [`Grant::version`].
    pub version: StateVersion,
    /// The change that it has tried, and why it can't take it, if it can't.
    pub tried: Option<TriedChange>,
    /// It has given up whatever was answered to questions before this one, and wants short leases alone; 0: it has not.
    pub short_leases_since: u64,
    /// It takes no requests any more, and wants no answer.
    pub released: bool,
}

/// A change that a router is to try.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The proposal.
    pub id: String,
    /// The policy; `None`: the router has it.
    pub text: Option<String>,
    /// Routers that it waits for.
    pub waits_for: Vec<String>,
}

/// The leader's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The question; 0: it answers none.
    pub nonce: u64,
    /// Who answers.
    pub term: Term,
    /// The leader's name.
    pub leader: String,
    /// The epoch in force.
    pub epoch: u64,
    /// Of its policy.
    pub digest: u64,
    /// How long that is certain from when the question was asked, ms; 0: it is not.
    pub lease_ms: u32,
    /// The policy, where the router has another.
    pub text: Option<String>,
    /// The change under way.
    pub trial: Option<Trial>,
    /// The configuration and the entries in it that this is the state after.
    pub version: StateVersion,
    /// How the last changes ended, where the router's version is another.
    pub recent: Option<Vec<ProposalOutcome>>,
    /// Who votes.
    pub voters: Vec<String>,
}

/// What an operator has said to some router, on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// A change.
    Propose(Proposal),
    /// A voter is gone for good; another takes its place, if one is named or there is one.
    Replace {
        /// The voter that is gone.
        old: String,
        /// Who takes its place.
        new: Option<String>,
    },
}

/// What a frame says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// Between voters of one configuration.
    Vote(u32, Message<Entry>),
    /// A leader's heartbeat: it asks the voters whether it still leads.
    Heartbeat(Heartbeat),
    /// It does, as far as this voter has promised.
    HeartbeatAck(Term, u64),
    /// A router requests a lease.
    LeaseRequest(LeaseRequest),
    /// A lease request, forwarded to the leader by another voter: the router that asked, and its request.
    ForwardedLeaseRequest(Peer, LeaseRequest),
    /// The leader answers.
    Grant(Grant),
    /// The answer to a forwarded request, for the router of this name.
    ForwardedGrant(String, Grant),
    /// An operator's request, on its way to the leader.
    OperatorRequest(OperatorRequest),
    /// A founder without a configuration, with the policy that its file has.
    Bootstrap(String),
    /// The sender's configuration has ended, or it has none: it asks for the present one.
    ConfigurationRequest(u32),
    /// The present configuration.
    Configuration(Configuration),
}

/// A frame's content.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frame {
    /// The fleet's name.
    pub fleet: String,
    /// The sender.
    pub from: Peer,
    /// What it says.
    pub body: Body,
}

/// Why bytes are not a frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// They don't begin as a frame does.
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
    /// The checksum is right and the content can't be read.
    #[error("a whole frame that can't be read")]
    Malformed,
}

impl Frame {
    /// The bytes.
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

    /// Reads the frame at the beginning of some bytes, and how many it has; `None`: it has not come whole.
    ///
    /// # Errors
    /// Why there is none.
    pub fn decode(bytes: &[u8]) -> Result<Option<(Frame, usize)>, FrameError> {
        let known = bytes.len().min(4);
        if bytes[..known] != MAGIC[..known] {
            return Err(FrameError::NotAFrame);
        }
        if let Some(version) = bytes.get(4).filter(|v| **v != VERSION) {
            return Err(FrameError::Version(*version));
        }
        let Some(front) = bytes.get(5..FRAME_HEADER_LEN) else { return Ok(None) };
        let (len, checksum) = front.split_at(4);
        let len = len.iter().fold(0_usize, |n, b| n << 8 | usize::from(*b));
        if len > MAX_FRAME_LEN {
            return Err(FrameError::TooLong(len));
        }
        let Some(content) = bytes.get(FRAME_HEADER_LEN..FRAME_HEADER_LEN + len) else { return Ok(None) };
        if checksum != (xxh3_64(content) as u32).to_be_bytes() {
            return Err(FrameError::Checksum);
        }
        let frame: Frame = postcard::from_bytes(content).map_err(|_| FrameError::Malformed)?;
        if frame.from.name.len() > 64 || frame.fleet.len() > 64 {
            return Err(FrameError::Malformed);
        }
        Ok(Some((frame, FRAME_HEADER_LEN + len)))
    }
}

impl OperatorRequest {
    /// Names it among the words that wait.
    pub(crate) fn key(&self) -> String {
        match self {
            OperatorRequest::Propose(p) => format!("propose {}", p.id),
            OperatorRequest::Replace { old, .. } => format!("replace {old}"),
        }
    }

    /// Whether it is within what is taken.
    pub(crate) fn fits(&self) -> bool {
        match self {
            OperatorRequest::Propose(p) => p.text.len() <= timing::MAX_POLICY_LEN && p.id.len() <= 64,
            OperatorRequest::Replace { old, new } => {
                old.len() <= 64 && new.as_ref().is_none_or(|n| n.len() <= 64)
            }
        }
    }
}

#[cfg(test)]
mod tests;
