//! Routers that are broken on purpose, to prove that the judge notices: what stands between a machine and the world.

use slipreel_consensus::wire::{Body, Frame};
use slipreel_state_machine::{Input, Output};

/// In what way routers are broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bend {
    /// Their disks say that they have synced and have not.
    NoSync,
    /// Their disks keep the file of their first configuration for ever: what they promised and accepted since is forgotten with the process.
    ForgetsVotes,
    /// A snapshot is written without the state that it is of: they come back with an empty log.
    EmptySnapshot,
    /// They take a lease for forty times what was granted.
    LongLease,
    /// They take requests at their start by what their file says, before they have learnt what is in force.
    Eager,
    /// They act by a change as soon as they are to try it.
    Undecided,
    /// Some time after a change they act by the epoch before it again.
    GoesBack,
    /// They name the epoch after the one that they act by.
    WrongStamp,
    /// They name another epoch on answers than on calls to engines.
    TwoStamps,
    /// They tell operators that what was dropped is in force.
    Liar,
}

/// All ways.
pub const BENDS: [Bend; 10] = [
    Bend::NoSync,
    Bend::ForgetsVotes,
    Bend::EmptySnapshot,
    Bend::LongLease,
    Bend::Eager,
    Bend::Undecided,
    Bend::GoesBack,
    Bend::WrongStamp,
    Bend::TwoStamps,
    Bend::Liar,
];

impl Bend {
    /// What a member is told in place of this datagram.
    pub(crate) fn incoming(self, bytes: &[u8]) -> Option<Vec<u8>> {
        if !matches!(self, Bend::LongLease | Bend::Undecided) {
            return None;
        }
        let mut frame = Frame::decode(bytes).ok()??.frame;
        let (Body::Grant(grant) | Body::ForwardedGrant { grant, .. }) = &mut frame.body else { return None };
        match (self, grant.prepare_request.take()) {
            (Bend::LongLease, trial) => {
                grant.lease_ms = grant.lease_ms.saturating_mul(40);
                grant.prepare_request = trial;
            }
            (_, Some(trial)) => match trial.text.clone() {
                Some(text) => {
                    (grant.epoch, grant.digest) =
                        (grant.epoch + 1, slipreel_consensus::policy_state::digest(&text));
                    (grant.text, grant.lease_ms) = (Some(text), 3_000);
                }
                None => grant.prepare_request = Some(trial),
            },
            _ => return None,
        }
        Some(frame.encode())
    }

    /// What a front says in place of this.
    pub(crate) fn outgoing(self, out: &mut [Output]) {
        for output in out {
            let Output::Write(conn, bytes) = output else { continue };
            let answer = !conn.is_opened();
            if self == Bend::WrongStamp || self == Bend::TwoStamps && answer {
                restamp(bytes);
            }
        }
    }
}

/// One more than the epoch that the bytes name, where they do.
fn restamp(bytes: &mut Vec<u8>) {
    const FIELD: &[u8] = b"x-slipreel-policy: ";
    let Some(at) = bytes.windows(FIELD.len()).position(|w| w == FIELD) else { return };
    let from = at + FIELD.len();
    let digits = bytes[from..].iter().take_while(|b| b.is_ascii_digit()).count();
    let epoch: u64 =
        std::str::from_utf8(&bytes[from..from + digits]).ok().and_then(|t| t.parse().ok()).unwrap_or(0);
    bytes.splice(from..from + digits, (epoch + 1).to_string().into_bytes());
}

/// Whether a machine's input is changed on its way.
pub(crate) fn bent<'a>(bend: Option<Bend>, input: Input<'a>, place: &'a mut Vec<u8>) -> Input<'a> {
    match (bend, input) {
        (Some(bend), Input::Datagram(door, from, bytes)) => match bend.incoming(bytes) {
            Some(other) => {
                *place = other;
                Input::Datagram(door, from, place)
            }
            None => input,
        },
        _ => input,
    }
}
