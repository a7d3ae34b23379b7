//! Defects that are put into routers on purpose, to check that the judges detect them. A defect changes what
//! passes between a state machine and its surroundings.

use slipreel_consensus::wire::{Body, Frame};
use slipreel_state_machine::{Input, Output};

/// A way in which a router misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The disk reports a sync that has not taken place.
    NoSync,
    /// The disk never changes after the file of the first configuration: later promises and votes are lost
    /// with the process.
    ForgetsVotes,
    /// A snapshot is written without its state, so that the router restarts with an empty log.
    EmptySnapshot,
    /// The router extends each lease to forty times the granted time.
    LongLease,
    /// After a restart the router takes requests by the policy of its settings file, before it has learnt
    /// which one is in force.
    ServesBeforeConfirmation,
    /// The router applies a change as soon as it is asked to prepare it.
    AppliesUndecidedChange,
    /// Some time after a change the router applies the previous epoch again.
    RevertsToOldEpoch,
    /// The router names the epoch after the one that it applies.
    WrongEpochHeader,
    /// The router names another epoch in answers than in calls to engines.
    DifferingEpochHeaders,
    /// The router reports a dropped change as in force.
    ReportsDroppedAsInForce,
}

/// All defects.
pub const DEFECTS: [Defect; 10] = [
    Defect::NoSync,
    Defect::ForgetsVotes,
    Defect::EmptySnapshot,
    Defect::LongLease,
    Defect::ServesBeforeConfirmation,
    Defect::AppliesUndecidedChange,
    Defect::RevertsToOldEpoch,
    Defect::WrongEpochHeader,
    Defect::DifferingEpochHeaders,
    Defect::ReportsDroppedAsInForce,
];

impl Defect {
    /// The datagram that a member receives in place of `bytes`; `None` if the defect does not change it.
    pub(crate) fn tamper_datagram(self, bytes: &[u8]) -> Option<Vec<u8>> {
        if !matches!(self, Defect::LongLease | Defect::AppliesUndecidedChange) {
            return None;
        }
        let mut frame = Frame::decode(bytes).ok()??.frame;
        let (Body::Grant(grant) | Body::ForwardedGrant { grant, .. }) = &mut frame.body else { return None };
        match (self, grant.prepare_request.take()) {
            (Defect::LongLease, candidate) => {
                grant.lease_ms = grant.lease_ms.saturating_mul(40);
                grant.prepare_request = candidate;
            }
            (_, Some(candidate)) => match candidate.text.clone() {
                Some(text) => {
                    (grant.epoch, grant.digest) =
                        (grant.epoch + 1, slipreel_consensus::policy_state::digest(&text));
                    (grant.text, grant.lease_ms) = (Some(text), 3_000);
                }
                None => grant.prepare_request = Some(candidate),
            },
            _ => return None,
        }
        Some(frame.encode())
    }

    /// Changes the epoch headers in the output of a gateway, for the defects that concern them.
    pub(crate) fn tamper_output(self, out: &mut [Output]) {
        for output in out {
            let Output::Write(conn, bytes) = output else { continue };
            let is_answer = !conn.is_opened();
            if self == Defect::WrongEpochHeader || self == Defect::DifferingEpochHeaders && is_answer {
                increment_epoch_header(bytes);
            }
        }
    }
}

/// Increments the epoch in the policy header, if `bytes` contain that header.
fn increment_epoch_header(bytes: &mut Vec<u8>) {
    const FIELD: &[u8] = b"x-slipreel-policy: ";
    let Some(at) = bytes.windows(FIELD.len()).position(|w| w == FIELD) else { return };
    let from = at + FIELD.len();
    let digits = bytes[from..].iter().take_while(|b| b.is_ascii_digit()).count();
    let epoch: u64 =
        std::str::from_utf8(&bytes[from..from + digits]).ok().and_then(|t| t.parse().ok()).unwrap_or(0);
    bytes.splice(from..from + digits, (epoch + 1).to_string().into_bytes());
}

/// The input that a machine gets in place of `input`. A changed datagram is stored in `buffer`.
pub(crate) fn tamper_input<'a>(
    defect: Option<Defect>, input: Input<'a>, buffer: &'a mut Vec<u8>,
) -> Input<'a> {
    match (defect, input) {
        (Some(defect), Input::Datagram(listener, from, bytes)) => match defect.tamper_datagram(bytes) {
            Some(changed) => {
                *buffer = changed;
                Input::Datagram(listener, from, buffer)
            }
            None => input,
        },
        _ => input,
    }
}
