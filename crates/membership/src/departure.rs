//! How far a member has come with leaving the fleet and with the shutdown of its process, which go by different rules: a member that
//! an operator asked to leave goes on running, and a shutdown waits until its leave messages are sent, of which one that yielded its name has none.

use crate::timing;

/// The announcement that this member leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Announcement {
    /// It is a member and does not leave.
    #[default]
    None,
    /// It is announced for this many more rounds; more than 0.
    RoundsLeft(u32),
    /// It was announced; no more messages are sent.
    Finished,
}

/// The shutdown of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Shutdown {
    #[default]
    Running,
    Requested,
    Finished,
}

/// Leaving and shutdown.
#[derive(Debug, Default)]
pub(crate) struct Departure {
    announcement: Announcement,
    shutdown: Shutdown,
}

impl Departure {
    /// Whether this member leaves or has left.
    pub(crate) fn is_leaving(&self) -> bool {
        self.announcement != Announcement::None
    }

    /// Whether the announcement is finished.
    pub(crate) fn is_announced(&self) -> bool {
        self.announcement == Announcement::Finished
    }

    /// Begins the announcement, in [`timing::LEAVE_ROUNDS`] rounds.
    pub(crate) fn begin_announcement(&mut self) {
        self.announcement = Announcement::RoundsLeft(timing::LEAVE_ROUNDS);
    }

    /// Counts a round in which the announcement was sent.
    pub(crate) fn count_round(&mut self) {
        if let Announcement::RoundsLeft(rounds) = self.announcement {
            self.announcement =
                if rounds > 1 { Announcement::RoundsLeft(rounds - 1) } else { Announcement::Finished };
        }
    }

    /// The process is to end.
    pub(crate) fn request_shutdown(&mut self) {
        self.shutdown = Shutdown::Requested;
    }

    /// Finishes a shutdown that was requested; whether there was one.
    pub(crate) fn finish_shutdown(&mut self) -> bool {
        let was_requested = self.shutdown == Shutdown::Requested;
        if was_requested {
            self.shutdown = Shutdown::Finished;
        }
        was_requested
    }

    /// Whether the machine has stopped.
    pub(crate) fn is_shut_down(&self) -> bool {
        self.shutdown == Shutdown::Finished
    }
}
