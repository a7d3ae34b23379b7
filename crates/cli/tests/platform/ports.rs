//! Loopback ports for processes of the tests.

use rustix::fd::OwnedFd;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::net::SocketAddr;

/// A loopback port that is given to nobody else on this machine for as long as this value lives.
///
/// A bare "bind to port 0, close, and let the process listen on it" gives one port twice within a moment: of
/// 96 ports drawn so, two were the same in 29 of 100 runs. Two routers then share what comes in, as listeners
/// of one user may. The socket held here is bound and never listens, so it takes no connections, and routers
/// can listen beside it because both set `SO_REUSEPORT`.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedPort {
    /// Reserves a port that the system chooses.
    pub fn new() -> ReservedPort {
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)
            .expect("a socket");
        sockopt::set_socket_reuseport(&socket, true).expect("SO_REUSEPORT");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        net::bind(&socket, &any_port).expect("a port");
        let bound = net::getsockname(&socket).expect("the socket's address");
        let address = SocketAddr::try_from(bound).expect("an internet address");
        ReservedPort { address, _socket: socket }
    }

    /// The address that is reserved.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
