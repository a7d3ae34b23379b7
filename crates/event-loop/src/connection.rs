//! One socket: what waits to be sent, and which readiness is wanted.

use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{send, SendFlags};
use slipreel_state_machine::ConnId;
use std::collections::VecDeque;
use std::time::Duration;

/// Where a socket stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Connecting,
    Open,
    /// The machine has ended it; what was written still goes out, what comes in is dropped until then.
    Finishing(Duration),
}

pub(crate) struct Conn {
    pub(crate) fd: OwnedFd,
    pub(crate) node: usize,
    pub(crate) id: ConnId,
    pub(crate) phase: Phase,
    pub(crate) paused: bool,
    pub(crate) eof: bool,
    /// The machine knows that the peer has closed it though it is paused.
    pub(crate) hung_up: bool,
    /// The write side is to be shut when all is sent.
    pub(crate) shuts: bool,
    /// It is shut.
    pub(crate) shut: bool,
    pub(crate) interest: EventFlags,
    pub(crate) dirty: bool,
    waiting: VecDeque<Vec<u8>>,
    /// Bytes of the first waiting piece that are gone.
    gone: usize,
}

/// How a send went.
pub(crate) enum Flushed {
    /// So many bytes went; there may be more.
    Sent(usize),
    Broken,
}

impl Conn {
    pub(crate) fn new(fd: OwnedFd, node: usize, id: ConnId, phase: Phase) -> Self {
        Conn {
            fd,
            node,
            id,
            phase,
            paused: false,
            eof: false,
            hung_up: false,
            shuts: false,
            shut: false,
            interest: EventFlags::empty(),
            dirty: false,
            waiting: VecDeque::new(),
            gone: 0,
        }
    }

    pub(crate) fn write(&mut self, bytes: Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        // Small pieces of one moment go out together.
        match self.waiting.back_mut() {
            Some(last) if last.len() + bytes.len() <= 16 << 10 => last.extend_from_slice(&bytes),
            _ => self.waiting.push_back(bytes),
        }
    }

    pub(crate) fn has_unsent(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Sends what the socket takes.
    pub(crate) fn flush(&mut self) -> Flushed {
        let mut sent = 0;
        while let Some(first) = self.waiting.front() {
            match send(&self.fd, &first[self.gone..], SendFlags::NOSIGNAL) {
                Ok(n) => {
                    sent += n;
                    self.gone += n;
                    if self.gone == first.len() {
                        self.waiting.pop_front();
                        self.gone = 0;
                    }
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => return Flushed::Broken,
            }
        }
        Flushed::Sent(sent)
    }

    /// The readiness that is wanted now.
    pub(crate) fn wanted(&self) -> EventFlags {
        let mut flags = EventFlags::empty();
        match self.phase {
            Phase::Connecting => flags |= EventFlags::OUT,
            Phase::Open => {
                if !self.paused && !self.eof {
                    flags |= EventFlags::IN;
                } else if self.paused && !self.eof && !self.hung_up {
                    flags |= EventFlags::RDHUP;
                }
            }
            Phase::Finishing(_) => flags |= EventFlags::IN,
        }
        if self.has_unsent() {
            flags |= EventFlags::OUT;
        }
        flags
    }
}
