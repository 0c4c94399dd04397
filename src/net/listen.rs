//! Listening sockets: bound here, or inherited.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, RawFd};

use socket2::{Domain, Socket, Type};
use thiserror::Error;

use super::config::INHERITED;
use super::fault::Advice;

/// Connections that the kernel may hold until they are accepted.
const BACKLOG: i32 = 1024;

/// Why there is no listening socket.
#[derive(Debug, Error)]
pub enum ListenError {
    /// An address can't be listened at.
    #[error("{field}: {at}: {error}")]
    Bind {
        /// What the configuration calls it.
        field: &'static str,
        /// The address.
        at: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// The descriptor that was passed on is something else.
    #[error("{INHERITED}: {fd}: {words}")]
    Inherited {
        /// Its number.
        fd: RawFd,
        /// What it is not.
        words: String,
    },
    /// The runtime can't have a socket.
    #[error("{field}: {error}")]
    Runtime {
        /// What the configuration calls it.
        field: &'static str,
        /// What the system says.
        error: io::Error,
    },
}

impl Advice for ListenError {
    fn advice(&self) -> String {
        match self {
            Self::Bind { error, .. } if error.kind() == io::ErrorKind::AddrInUse => {
                "end what listens there, or name another port".into()
            }
            Self::Bind { .. } => "name an address of this machine and a port that its user may have".into(),
            Self::Inherited { .. } => "pass on the listening socket that is open at that number".into(),
            Self::Runtime { .. } => "allow the process more descriptors".into(),
        }
    }
}

/// Listens at an address; `field` is what the configuration calls it.
///
/// # Errors
/// Where it can't be listened at.
pub fn bind(field: &'static str, at: SocketAddr) -> Result<TcpListener, ListenError> {
    let bound = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    bound().map_err(|error| ListenError::Bind { field, at, error })
}

/// Takes over the listening socket that this process was started with. To be called before the process has
/// opened a descriptor of its own. Other processes go on using the socket: it is never shut down, only closed.
///
/// # Errors
/// Where the descriptor is something else.
pub fn adopt(fd: RawFd) -> Result<TcpListener, ListenError> {
    let fault = |words: String| ListenError::Inherited { fd, words };
    let names = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    if !names.is_ok_and(|to| to.to_string_lossy().starts_with("socket:")) {
        return Err(fault("not an open socket".into()));
    }
    // SAFETY: the descriptor is open, as was just seen, and as nothing of this process has opened one yet, it
    // was inherited: nothing else here owns it.
    #[allow(unsafe_code)]
    let socket = unsafe { Socket::from_raw_fd(fd) };
    let address = socket.local_addr().map_err(|e| fault(e.to_string()))?;
    if address.as_socket().is_none() || !socket.is_listener().unwrap_or(false) {
        return Err(fault("not a listening TCP socket".into()));
    }
    socket.set_nonblocking(true).map_err(|e| fault(e.to_string()))?;
    Ok(socket.into())
}

/// The socket as the runtime's, and its address.
///
/// # Errors
/// Where the runtime can't have it.
pub fn take(
    field: &'static str,
    listener: TcpListener,
) -> Result<(tokio::net::TcpListener, SocketAddr), ListenError> {
    let taken = tokio::net::TcpListener::from_std(listener).and_then(|l| l.local_addr().map(|at| (l, at)));
    taken.map_err(|error| ListenError::Runtime { field, error })
}

#[cfg(test)]
mod tests {
    use super::super::fault::tests::each_has_its_advice;
    use super::*;

    #[test]
    fn each_error_has_its_advice() {
        use ListenError::*;
        let at = SocketAddr::from(([127, 0, 0, 1], 9000));
        let bind = |kind: io::ErrorKind| Bind { field: "listen", at, error: kind.into() };
        each_has_its_advice(|before| match before {
            None => Some(bind(io::ErrorKind::AddrInUse)),
            Some(Bind { error, .. }) if error.kind() == io::ErrorKind::AddrInUse => {
                Some(bind(io::ErrorKind::PermissionDenied))
            }
            Some(Bind { .. }) => Some(Inherited { fd: 7, words: "not an open socket".into() }),
            Some(Inherited { .. }) => Some(Runtime { field: "listen", error: io::ErrorKind::Other.into() }),
            Some(Runtime { .. }) => None,
        });
    }
}
