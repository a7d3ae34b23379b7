//! Reports about this member's own name: that it was declared gone, or that another process uses the name.

use super::Membership;
use crate::name_conflict::{self, ConflictOutcome, NameClaim};
use crate::table::Gossip;
use crate::{timing, MemberStatus};
use slipreel_protocol::membership::{Flags, Heartbeat, MemberRecord};
use slipreel_state_machine::Output;
use std::time::Duration;

impl Membership {
    /// Handles a reported record that has this member's own name.
    pub(super) fn merge_own_name(
        &mut self, now: Duration, record: &MemberRecord, heartbeat: Option<&Heartbeat>, out: &mut Vec<Output>,
    ) {
        let own = &self.local.record;
        if record.nonce == own.nonce && record.incarnation <= own.incarnation {
            let is_current = record.incarnation == own.incarnation;
            if record.has_left && is_current && !self.departure.is_leaving() {
                self.refute_declared_gone(now, record.incarnation, out);
            }
            return;
        }
        if let Some(heartbeat) = heartbeat {
            let age = Duration::from_millis(u64::from(heartbeat.age_ms));
            self.resolve_conflict(now, record, heartbeat.round, age, out);
        } else if record.has_left {
            self.resolve_conflict(now, record, 0, timing::GONE_MEMBER_RETENTION, out);
        }
    }

    /// Continues as the next incarnation after this one was declared gone although it runs.
    fn refute_declared_gone(&mut self, now: Duration, gone_incarnation: u64, out: &mut Vec<Output>) {
        self.begin_incarnation_after(now, gone_incarnation);
        out.push(Output::Log(format!(
            "fleet: was declared gone and is not; goes on as incarnation {}",
            self.local.record.incarnation
        )));
    }

    fn begin_incarnation_after(&mut self, now: Duration, incarnation: u64) {
        self.local.record.incarnation = incarnation.saturating_add(1);
        self.agreement.last_change = now;
        self.agreement.digest = self.table.digest(&self.local.record);
        self.publish_saved_state(now);
    }

    /// Handles a claim of another process to this member's name. `round` is the latest known round of that
    /// process, and `age` the time since that round was first received.
    pub(super) fn resolve_conflict(
        &mut self, now: Duration, record: &MemberRecord, round: u32, age: Duration, out: &mut Vec<Output>,
    ) {
        if matches!(self.local.status, MemberStatus::Yielded | MemberStatus::Left) {
            return;
        }
        let own_claim = NameClaim { record: &self.local.record, round: self.local.round };
        let other_claim = NameClaim { record, round };
        let (started, holder) = (self.timer.started, &mut self.conflict.holder);
        match name_conflict::evaluate_claim(now, started, own_claim, holder, other_claim, age) {
            ConflictOutcome::Holds => self.hold_name(now, record, out),
            ConflictOutcome::Challenged if self.local.status != MemberStatus::Challenged => {
                self.local.status = MemberStatus::Challenged;
                out.push(Output::Log(format!(
                    "fleet: another life of this name is known, incarnation {} at {}; not ready until it is \
                     known whether that runs",
                    record.incarnation, record.address
                )));
            }
            ConflictOutcome::Challenged => {}
            ConflictOutcome::Yields => {
                self.local.status = MemberStatus::Yielded;
                out.push(Output::Log(format!(
                    "fleet: another process of this name holds it, incarnation {} at {}; this one, incarnation {}, \
                     yields and is not ready any more: end one of the two",
                    record.incarnation, record.address, self.local.record.incarnation
                )));
            }
        }
        self.publish_view(now);
    }

    /// Keeps the name and sends this member's claim to the other process, so that it yields.
    fn hold_name(&mut self, now: Duration, other: &MemberRecord, out: &mut Vec<Output>) {
        let MemberRecord { incarnation, address, .. } = other;
        let what =
            format!("another process of this name, incarnation {incarnation} at {address}, must yield");
        self.log_rejection(now, &what, out);
        // No third member informs the other process: the others keep the incarnation that they knew first,
        // and their address tables lead to that one. Without this message, two processes that started at
        // about the same time would both go on. It is sent at most once per round, as two processes that both
        // hold the name for a while would otherwise reply to each other endlessly.
        let is_due = self.conflict.last_notice.is_none_or(|notice| now >= notice + timing::ROUND_INTERVAL);
        let own = &self.local.record;
        let is_ready = self.local.status == MemberStatus::Ready;
        if is_ready && !other.has_left && other.address != own.address && is_due {
            self.conflict.last_notice = Some(now);
            let heartbeat = Heartbeat { record_id: own.id(), round: self.local.round, age_ms: 0 };
            let gossip = Gossip { records: vec![own.clone()], heartbeats: vec![heartbeat] };
            let message = self.message(Flags::default(), gossip);
            self.send(other.address, &message, out);
        }
    }

    /// Takes the name over if the process that held it has left or been silent for long enough to count as a
    /// dead predecessor.
    pub(super) fn take_name_from_predecessor(&mut self, now: Duration, out: &mut Vec<Output>) {
        let member_count = self.table.present_count() + 1;
        let resolved =
            self.conflict.holder.take_if(|holder| name_conflict::is_resolved(now, holder, member_count));
        let was_challenged = self.local.status == MemberStatus::Challenged;
        if let Some(predecessor) = resolved.filter(|_| was_challenged) {
            let incarnation = predecessor.record.incarnation;
            self.begin_incarnation_after(now, incarnation);
            self.local.status = MemberStatus::Ready;
            out.push(Output::Log(format!(
                "fleet: incarnation {incarnation} of this name is silent, so it was this router's last life; goes on as incarnation {}",
                self.local.record.incarnation
            )));
        }
    }
}
