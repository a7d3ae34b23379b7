//! The graceful shutdown of a gateway.

/// The progress of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// No shutdown has begun.
    #[default]
    Running,
    /// Requests in progress are being finished, new ones are rejected.
    Draining,
    /// Nothing is left to do, and the driver was notified.
    Stopped,
}

impl Shutdown {
    /// Begins a shutdown. Returns false if it had begun before.
    pub(crate) fn begin(&mut self) -> bool {
        let begins = !self.has_begun();
        if begins {
            *self = Shutdown::Draining;
        }
        begins
    }

    /// Whether a shutdown has begun.
    pub(crate) fn has_begun(self) -> bool {
        self != Shutdown::Running
    }

    /// Called when nothing is left to do. Returns true if this ends the shutdown: it has begun, and has not
    /// ended before.
    pub(crate) fn finish(&mut self) -> bool {
        let ends = *self == Shutdown::Draining;
        if ends {
            *self = Shutdown::Stopped;
        }
        ends
    }
}
