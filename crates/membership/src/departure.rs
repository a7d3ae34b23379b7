//! The progress of leaving the fleet and of shutting down the process.
//!
//! The two are separate: a member that an operator asked to leave goes on running. A shutdown waits until the
//! leave messages are sent; a member that has yielded its name sends none.

use crate::timing;

/// The progress of announcing that this member leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Announcement {
    /// The member is not leaving.
    #[default]
    None,
    /// The number of rounds that will still announce it; more than 0.
    RemainingRounds(u32),
    /// The announcement is complete, and the member sends no more messages.
    Finished,
}

/// The progress of shutting down the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Shutdown {
    #[default]
    Running,
    Requested,
    Finished,
}

/// Tracks leaving and shutdown.
#[derive(Debug, Default)]
pub(crate) struct Departure {
    announcement: Announcement,
    shutdown: Shutdown,
}

impl Departure {
    /// Whether this member is leaving or has left.
    pub(crate) fn is_leaving(&self) -> bool {
        self.announcement != Announcement::None
    }

    /// Whether the announcement is complete.
    pub(crate) fn is_announced(&self) -> bool {
        self.announcement == Announcement::Finished
    }

    /// Begins the announcement, which takes [`timing::LEAVE_ROUNDS`] rounds.
    pub(crate) fn begin_announcement(&mut self) {
        self.announcement = Announcement::RemainingRounds(timing::LEAVE_ROUNDS);
    }

    /// Counts one round of the announcement, if one is in progress.
    pub(crate) fn count_round(&mut self) {
        if let Announcement::RemainingRounds(rounds) = self.announcement {
            self.announcement =
                if rounds > 1 { Announcement::RemainingRounds(rounds - 1) } else { Announcement::Finished };
        }
    }

    /// Records that the process is shutting down.
    pub(crate) fn request_shutdown(&mut self) {
        self.shutdown = Shutdown::Requested;
    }

    /// Finishes a requested shutdown. Returns whether one had been requested.
    pub(crate) fn finish_shutdown(&mut self) -> bool {
        let was_requested = self.shutdown == Shutdown::Requested;
        if was_requested {
            self.shutdown = Shutdown::Finished;
        }
        was_requested
    }

    /// Whether the shutdown is finished; the machine ignores all input from then on.
    pub(crate) fn is_shut_down(&self) -> bool {
        self.shutdown == Shutdown::Finished
    }
}
