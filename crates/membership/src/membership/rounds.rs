//! Heartbeat rounds, joining, leaving, and detection that this process was suspended.

use super::{random_index, Membership};
use crate::{router_count, timing, MemberStatus};
use slipreel_state_machine::Output;
use std::time::Duration;

/// Minimum time from one round to the next, in thousandths of [`timing::ROUND_INTERVAL`].
const MIN_INTERVAL_PERMILLE: u32 = 900;
/// The number of possible times between rounds, each a thousandth of [`timing::ROUND_INTERVAL`] longer than
/// the one before.
const INTERVAL_CHOICES: usize = 201;

impl Membership {
    /// Detects that this process was suspended, and discounts the silence of other members in that time.
    pub(super) fn detect_suspension(&mut self, now: Duration, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.timer.last_input);
        self.timer.last_input = now;
        if gap < timing::SUSPENDED_AFTER {
            return;
        }
        self.table.discount_suspension(gap);
        // This includes the holder of this member's name: otherwise a challenged process that was suspended
        // would take the name from one that runs.
        if let Some(holder) = &mut self.conflict.holder {
            holder.last_heard += gap;
        }
        self.agreement.last_change = now;
        out.push(Output::Log(format!("fleet: did not run for {} ms", gap.as_millis())));
    }

    /// Runs a round if one is due.
    pub(super) fn run_due_round(&mut self, now: Duration, out: &mut Vec<Output>) {
        self.synchronisation.connections.abort_timed_out(now, out);
        if now < self.timer.next_round || self.departure.is_shut_down() {
            return;
        }
        self.schedule_next_round(now);
        self.handle_operator_requests(out);
        if self.local.status == MemberStatus::Yielded {
            return self.finish_without_sending(now, out);
        }
        let own = self.local_routers();
        let retains_silent = router_count::silent_outweigh_present(own, &self.table);
        self.table.update_states(now, |_| retains_silent);
        self.take_name_from_predecessor(now, out);
        self.stop_joining_if_alone(now, out);
        self.apply_changes(now, out);
        if self.departure.is_announced() {
            return self.finish_without_sending(now, out);
        }
        self.send_round(now, out);
        self.departure.count_round();
        self.publish_view(now);
    }

    fn schedule_next_round(&mut self, now: Duration) {
        let permille = MIN_INTERVAL_PERMILLE + random_index(&mut self.rng, INTERVAL_CHOICES) as u32;
        self.timer.next_round = now + timing::ROUND_INTERVAL * permille / 1000;
    }

    fn handle_operator_requests(&mut self, out: &mut Vec<Output>) {
        if self.shared.leave_requested() {
            self.leave(out);
        }
        for name in self.shared.take_forget_requests() {
            let was_known = self.table.mark_left(&name, &self.local.record.name);
            let what =
                if was_known { "declared gone by an operator" } else { "not known, so not declared gone" };
            out.push(Output::Log(format!("fleet: member={name} {what}")));
        }
    }

    /// Ends joining if no other member is known, or none has answered for [`timing::JOIN_TIMEOUT`].
    fn stop_joining_if_alone(&mut self, now: Duration, out: &mut Vec<Output>) {
        let knows_no_member = self.absent_members().is_empty() && self.table.is_empty();
        let has_timed_out = now >= self.timer.started + timing::JOIN_TIMEOUT;
        if self.local.status != MemberStatus::Joining || !(knows_no_member || has_timed_out) {
            return;
        }
        self.local.status = MemberStatus::Ready;
        if !knows_no_member {
            out.push(Output::Log(
                "fleet: no seed and no contact answers; goes on alone and keeps asking".into(),
            ));
        }
    }

    /// Ends a round of a member that no longer sends messages, and stops the machine if a shutdown was
    /// requested.
    fn finish_without_sending(&mut self, now: Duration, out: &mut Vec<Output>) {
        if self.departure.finish_shutdown() {
            out.push(Output::Stopped);
        }
        self.publish_view(now);
    }

    /// Begins to leave the fleet: informs some members at once, and the others in the following rounds.
    pub(super) fn leave(&mut self, out: &mut Vec<Output>) {
        if self.departure.is_leaving() || self.local.status == MemberStatus::Yielded {
            return;
        }
        self.local.record.has_left = true;
        self.local.status = MemberStatus::Left;
        self.departure.begin_announcement();
        self.send_leave_messages(out);
        out.push(Output::Log("fleet: said goodbye".into()));
    }
}
