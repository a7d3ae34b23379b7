//! The shape of every state machine in this project: routers, members, engines and clients.
//!
//! A [`Machine`] does no I/O and has no clock. A driver hands it the time and what happened to its
//! connections, and carries out the [`Output`]s that it appends. The same machine therefore runs over
//! loopback sockets (`slipreel-event-loop`) and in memory in virtual time (`slipreel-test-servers`).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::any::Any;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection of one machine. Accepted ones are numbered by the driver, opened ones by the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Set in the numbers of connections that the machine itself opens.
const OPENED: u64 = 1 << 63;

impl ConnId {
    /// The `n`th connection that a machine opens; no driver gives out such a number.
    pub fn opened(n: u64) -> Self {
        ConnId(n | OPENED)
    }

    /// Whether the machine opened it.
    pub fn is_opened(self) -> bool {
        self.0 & OPENED != 0
    }
}

/// One of a machine's listeners: its place in the order in which they were opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// Why a connection is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLoss {
    /// It never stood: refused or unreachable. Nothing was sent.
    NotConnected,
    /// It could not be tried: the process has no descriptor or port left. Nothing was sent.
    Exhausted,
    /// It stood and broke.
    Reset,
}

/// What a machine is told.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A peer has connected to one of the machine's listeners.
    Accepted(ConnId, ListenerId),
    /// An [`Output::Connect`] has succeeded.
    Connected(ConnId),
    /// A peer waits at a listener, and the process has no descriptor left to take it up with. Said again after a while.
    DescriptorsExhausted(ListenerId),
    /// Bytes have come in.
    Data(ConnId, &'a [u8]),
    /// The peer sends no more; it may still read.
    Eof(ConnId),
    /// The peer of a paused connection has closed it, whatever it had sent before and still waits unread. Told once; the
    /// rest and `Eof` or `Lost` follow once the connection is resumed.
    PeerClosedWhilePaused(ConnId),
    /// So many of the bytes given to [`Output::Write`] have left the driver.
    Sent(ConnId, usize),
    /// The connection is over. Nothing follows for it.
    Lost(ConnId, ConnectionLoss),
    /// A datagram has come in by one of the machine's datagram sockets ([`ListenerId`]s of their own count), from this address.
    Datagram(ListenerId, SocketAddr, &'a [u8]),
    /// The time given by [`Machine::wake_at`] has come, or passed.
    Wake,
    /// Take no new work, finish what runs, then say [`Output::Stopped`].
    Stop,
    /// News from the machine's owner; each machine says which types it takes and ignores the others.
    OwnerMessage(&'a (dyn Any + Send + Sync)),
}

/// What a machine asks its driver for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection; answered by `Connected` or `Lost`.
    Connect(ConnId, SocketAddr),
    /// Send bytes, in order. The driver keeps what can't be sent yet: the machine bounds it by `Sent`.
    Write(ConnId, Vec<u8>),
    /// Send what was written, then close. No input follows for it.
    CloseWhenSent(ConnId),
    /// Send what was written, then tell the peer that no more comes; go on reading.
    ShutdownWrite(ConnId),
    /// Close at once, dropping what is unsent. No input follows for it.
    Abort(ConnId),
    /// Hand over no more data of this connection until `Resume`.
    Pause(ConnId),
    /// Hand over data again.
    Resume(ConnId),
    /// Send a datagram by one of the machine's datagram sockets. It may be lost, late, doubled or out of order, and
    /// nothing is told of it.
    Datagram(ListenerId, SocketAddr, Vec<u8>),
    /// Take no further connections. Those that the system has taken already are handed over first; then the machine's
    /// listeners are closed.
    StopListening,
    /// All work is done after [`Input::Stop`].
    Stopped,
    /// A line for the staff.
    Log(String),
}

/// A state machine without I/O and clock.
pub trait Machine {
    /// Takes one input at `now`, which never goes back, and appends what to do to `out`.
    fn handle(&mut self, now: Duration, input: Input<'_>, out: &mut Vec<Output>);
    /// When it wants [`Input::Wake`] next, on the same clock; `None`: only on other input.
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
