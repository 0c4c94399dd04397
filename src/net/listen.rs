//! Listening sockets: bound here, or inherited.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, RawFd};

use socket2::{Domain, Socket, Type};
use thiserror::Error;

use super::advice::Advice;
use super::config::INHERITED_FD_VARIABLE;

/// Connections that the kernel may queue until they are accepted.
const ACCEPT_BACKLOG: i32 = 1024;

/// Why there is no listening socket.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The address cannot be bound.
    #[error("{field}: {addr}: {error}")]
    Bind {
        /// The name of the address in the configuration.
        field: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The inherited descriptor cannot be used.
    #[error("{INHERITED_FD_VARIABLE}: {fd}: {reason}")]
    Inherited {
        /// The descriptor.
        fd: RawFd,
        /// What is wrong with it.
        reason: String,
    },
    /// The async runtime cannot use the socket.
    #[error("{field}: {error}")]
    Runtime {
        /// The name of the address in the configuration.
        field: &'static str,
        /// The system's error.
        error: io::Error,
    },
}

impl Advice for ListenError {
    fn advice(&self) -> String {
        match self {
            Self::Bind { error, .. } if error.kind() == io::ErrorKind::AddrInUse => {
                "stop the process that listens there, or name another port".into()
            }
            Self::Bind { .. } => {
                "name an address of this machine and a port that the node's user may bind".into()
            }
            Self::Inherited { .. } => "pass on the listening socket that is open at that number".into(),
            Self::Runtime { .. } => "allow the process more descriptors".into(),
        }
    }
}

/// Listens at an address; `field` is its name in the configuration.
///
/// # Errors
/// [`ListenError::Bind`].
pub fn bind(field: &'static str, addr: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    bound().map_err(|error| ListenError::Bind { field, addr, error })
}

/// Takes over the listening socket that this process inherited. Must be called before the process opens a
/// descriptor of its own. Other processes go on using the socket, so it is never shut down, only closed.
///
/// # Errors
/// [`ListenError::Inherited`] if the descriptor is not a listening TCP socket.
pub fn adopt(fd: RawFd) -> Result<TcpListener, ListenError> {
    let unusable = |reason: String| ListenError::Inherited { fd, reason };
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if !target.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(unusable("not an open socket".into()));
    }
    // SAFETY: the descriptor is open, as was just checked, and this process has opened none yet, so it was
    // inherited and nothing else here owns it.
    #[allow(unsafe_code)]
    let socket = unsafe { Socket::from_raw_fd(fd) };
    let address = socket.local_addr().map_err(|e| unusable(e.to_string()))?;
    if address.as_socket().is_none() || !socket.is_listener().unwrap_or(false) {
        return Err(unusable("not a listening TCP socket".into()));
    }
    socket.set_nonblocking(true).map_err(|e| unusable(e.to_string()))?;
    Ok(socket.into())
}

/// The socket for the async runtime, and its address.
///
/// # Errors
/// [`ListenError::Runtime`].
pub fn into_tokio(
    field: &'static str,
    listener: TcpListener,
) -> Result<(tokio::net::TcpListener, SocketAddr), ListenError> {
    let converted =
        tokio::net::TcpListener::from_std(listener).and_then(|l| l.local_addr().map(|addr| (l, addr)));
    converted.map_err(|error| ListenError::Runtime { field, error })
}

#[cfg(test)]
mod tests {
    use super::super::advice::tests::assert_each_has_advice;
    use super::*;

    #[test]
    fn each_error_is_one_line_with_advice() {
        use ListenError::*;
        let addr = SocketAddr::from(([127, 0, 0, 1], 9000));
        let bind = |kind: io::ErrorKind| Bind { field: "listen", addr, error: kind.into() };
        assert_each_has_advice(|before| match before {
            None => Some(bind(io::ErrorKind::AddrInUse)),
            Some(Bind { error, .. }) if error.kind() == io::ErrorKind::AddrInUse => {
                Some(bind(io::ErrorKind::PermissionDenied))
            }
            Some(Bind { .. }) => Some(Inherited { fd: 7, reason: "not an open socket".into() }),
            Some(Inherited { .. }) => Some(Runtime { field: "listen", error: io::ErrorKind::Other.into() }),
            Some(Runtime { .. }) => None,
        });
    }
}
