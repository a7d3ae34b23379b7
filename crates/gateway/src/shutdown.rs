//! The graceful shutdown of a gateway.

/// How far a shutdown is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// It has not begun.
    #[default]
    Running,
    /// Requests in progress are finished, new ones are rejected.
    Draining,
    /// Nothing is left to do, and the driver was told so.
    Stopped,
}

impl Shutdown {
    /// Begins a shutdown. False if it had begun before.
    pub(crate) fn begin(&mut self) -> bool {
        let begins = !self.has_begun();
        if begins {
            *self = Shutdown::Draining;
        }
        begins
    }

    pub(crate) fn has_begun(self) -> bool {
        self != Shutdown::Running
    }

    /// Nothing is left to do. True if this ends the shutdown: it has begun, and has not ended before.
    pub(crate) fn finish(&mut self) -> bool {
        let ends = *self == Shutdown::Draining;
        if ends {
            *self = Shutdown::Stopped;
        }
        ends
    }
}
