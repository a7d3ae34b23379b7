//! A connection's socket, its unsent bytes, and the readiness that epoll is to report for it.

use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{self, send, sockopt, SendFlags, Shutdown};
use slipreel_state_machine::ConnId;
use std::collections::VecDeque;
use std::time::Duration;

/// Small writes that wait to be sent are joined up to this size, bytes.
const MAX_JOINED_WRITE: usize = 16 << 10;

/// The phase of a connection's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The system is establishing it.
    Connecting,
    /// It is established.
    Open,
    /// The machine has ended it. Written bytes are still sent; incoming bytes are dropped.
    Closing,
}

/// A connection of one machine.
pub(crate) struct Connection {
    pub(crate) fd: OwnedFd,
    /// The index of its machine in the event loop.
    pub(crate) machine: usize,
    pub(crate) id: ConnId,
    pub(crate) phase: Phase,
    /// Whether the machine has paused the delivery of data.
    pub(crate) paused: bool,
    /// Whether the peer has sent its end of file.
    pub(crate) peer_finished: bool,
    /// Whether the peer's close was reported to the machine while the connection is paused.
    pub(crate) peer_close_reported: bool,
    /// Whether it is in the queue of pending flushes.
    pub(crate) queued_to_flush: bool,
    /// The readiness that epoll was last asked to report.
    pub(crate) interest: EventFlags,
    /// Whether the write side is to be shut down once everything is sent.
    shutdown_requested: bool,
    shutdown_done: bool,
    /// The writes that are not fully sent, in order.
    unsent: VecDeque<Vec<u8>>,
    /// How many bytes of the first entry of `unsent` are sent.
    sent_of_first: usize,
}

/// The result of a flush.
pub(crate) enum Flushed {
    /// This many bytes were sent; more may remain.
    Sent(usize),
    /// The connection is broken.
    Broken,
}

/// Appends a small write to one before it, which grows to [`MAX_JOINED_WRITE`] and takes no more memory.
fn join(last: &mut Vec<u8>, bytes: &[u8]) {
    let joined = last.len() + bytes.len();
    if joined > last.capacity() {
        let capacity = (2 * joined).min(MAX_JOINED_WRITE);
        last.reserve_exact(capacity - last.len());
    }
    last.extend_from_slice(bytes);
}

impl Connection {
    pub(crate) fn new(fd: OwnedFd, machine: usize, id: ConnId, phase: Phase) -> Self {
        Connection {
            fd,
            machine,
            id,
            phase,
            paused: false,
            peer_finished: false,
            peer_close_reported: false,
            queued_to_flush: false,
            interest: EventFlags::empty(),
            shutdown_requested: false,
            shutdown_done: false,
            unsent: VecDeque::new(),
            sent_of_first: 0,
        }
    }

    pub(crate) fn write(&mut self, bytes: Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        match self.unsent.back_mut() {
            Some(last) if last.len() + bytes.len() <= MAX_JOINED_WRITE => join(last, &bytes),
            _ => self.unsent.push_back(bytes),
        }
    }

    pub(crate) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// How many bytes wait to be sent.
    pub(crate) fn unsent_bytes(&self) -> usize {
        self.unsent.iter().map(Vec::len).sum::<usize>() - self.sent_of_first
    }

    /// Shuts the write side down once everything written is sent.
    pub(crate) fn request_shutdown(&mut self) {
        self.shutdown_requested = true;
    }

    /// Sends as much as the socket accepts, then shuts the write side down if that was requested and nothing
    /// is left.
    pub(crate) fn flush(&mut self) -> Flushed {
        let mut sent = 0;
        while let Some(first) = self.unsent.front() {
            match send(&self.fd, &first[self.sent_of_first..], SendFlags::NOSIGNAL) {
                Ok(count) => {
                    sent += count;
                    self.sent_of_first += count;
                    if self.sent_of_first == first.len() {
                        self.unsent.pop_front();
                        self.sent_of_first = 0;
                    }
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => return Flushed::Broken,
            }
        }
        if self.shutdown_requested {
            self.shut_down_when_sent();
        }
        Flushed::Sent(sent)
    }

    /// Shuts the write side down if nothing waits to be sent; at most once.
    pub(crate) fn shut_down_when_sent(&mut self) {
        if !self.has_unsent() && !std::mem::replace(&mut self.shutdown_done, true) {
            let _ = net::shutdown(&self.fd, Shutdown::Write);
        }
    }

    /// Makes the next close reset the connection, so that the peer sees that its exchange was cut off.
    pub(crate) fn reset_on_close(&self) {
        let _ = sockopt::set_socket_linger(&self.fd, Some(Duration::ZERO));
    }

    /// The readiness that epoll should report in the present state.
    pub(crate) fn wanted_readiness(&self) -> EventFlags {
        let mut flags = match self.phase {
            Phase::Connecting => EventFlags::OUT,
            Phase::Closing => EventFlags::IN,
            Phase::Open if self.peer_finished => EventFlags::empty(),
            Phase::Open if !self.paused => EventFlags::IN,
            // While paused only the peer's close is of interest, until it was reported.
            Phase::Open if !self.peer_close_reported => EventFlags::RDHUP,
            Phase::Open => EventFlags::empty(),
        };
        if self.has_unsent() {
            flags |= EventFlags::OUT;
        }
        flags
    }
}
