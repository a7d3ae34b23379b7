//! The interface of all state machines in this project: routers, fleet members, engines and clients.
//!
//! A [`Machine`] does no I/O and has no clock. A driver passes it the time and the events of its connections,
//! and carries out the [`Output`]s that it appends. The same machine therefore runs over sockets
//! (`slipreel-event-loop`) and in memory in virtual time (`slipreel-test-servers`).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::any::Any;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a connection of one machine. The driver numbers those that are accepted, the machine those that
/// it opens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// The bit that is set in the numbers of connections that the machine itself opens.
const OPENED_BIT: u64 = 1 << 63;

impl ConnId {
    /// The `n`th connection that a machine opens. Drivers never assign such a number.
    pub fn opened(n: u64) -> Self {
        ConnId(n | OPENED_BIT)
    }

    /// Whether the machine opened the connection.
    pub fn is_opened(self) -> bool {
        self.0 & OPENED_BIT != 0
    }
}

/// Identifies a listener of a machine by its position in the order in which they were opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// Why a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// It was never established: refused or unreachable. Nothing was sent.
    NotConnected,
    /// It could not be attempted: the process has no descriptor or port left. Nothing was sent.
    Exhausted,
    /// It was established and then broke.
    Reset,
}

/// An input of a machine.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A peer has connected to one of the machine's listeners.
    Accepted(ConnId, ListenerId),
    /// The connection of an [`Output::Connect`] is established.
    Connected(ConnId),
    /// A connection waits at a listener, and the process has no descriptor left to accept it. Repeated after
    /// a while.
    DescriptorsExhausted(ListenerId),
    /// Bytes were received.
    Data(ConnId, &'a [u8]),
    /// The peer has closed its write side; it may still read.
    Eof(ConnId),
    /// The peer of a paused connection has closed it; bytes that it sent before may still be unread. Reported
    /// once; the remaining data and `Eof` or `Lost` follow once the connection is resumed.
    PeerClosedWhilePaused(ConnId),
    /// This many more bytes of [`Output::Write`] were sent.
    Sent(ConnId, usize),
    /// The connection is lost. No further input follows for it.
    Lost(ConnId, ConnectionLoss),
    /// A datagram from this address was received on one of the machine's datagram sockets, whose
    /// [`ListenerId`]s are counted separately from those of listeners.
    Datagram(ListenerId, SocketAddr, &'a [u8]),
    /// The time given by [`Machine::wake_at`] has come or passed.
    Wake,
    /// Accept no new work, finish the work in progress, then emit [`Output::Stopped`].
    Stop,
    /// A message from the machine's owner. Each machine documents the types that it handles and ignores the
    /// others.
    OwnerMessage(&'a (dyn Any + Send + Sync)),
}

/// An action that a machine asks its driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection; answered by `Connected` or `Lost`.
    Connect(ConnId, SocketAddr),
    /// Send bytes, in order. The driver buffers what can't be sent yet; the machine bounds that by means of
    /// `Sent`.
    Write(ConnId, Vec<u8>),
    /// Send what was written, then close. No further input follows for the connection.
    CloseWhenSent(ConnId),
    /// Send what was written, then shut down the write side; continue reading.
    ShutdownWrite(ConnId),
    /// Close at once, dropping what is unsent. No further input follows for the connection.
    Abort(ConnId),
    /// Deliver no more data of this connection until `Resume`.
    Pause(ConnId),
    /// Deliver data again.
    Resume(ConnId),
    /// Send a datagram on one of the machine's datagram sockets. It may be lost, delayed, duplicated or
    /// reordered, and its fate is not reported.
    Datagram(ListenerId, SocketAddr, Vec<u8>),
    /// Accept no further connections. Those that the system already holds for the machine's listeners are
    /// delivered first; then the listeners are closed.
    StopListening,
    /// All work is done after [`Input::Stop`].
    Stopped,
    /// Write a log line for operators.
    Log(String),
}

/// A state machine without I/O and without a clock.
pub trait Machine {
    /// Handles one input at the time `now`, which never decreases, and appends outputs to `out`.
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>);
    /// When it needs the next [`Input::Wake`], on the same clock; `None` if only another input can change
    /// that.
    fn wake_at(&self) -> Option<Duration>;
}

impl<M: Machine + ?Sized> Machine for Box<M> {
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>) {
        (**self).handle(now, input, out);
    }
    fn wake_at(&self) -> Option<Duration> {
        (**self).wake_at()
    }
}
