//! Listening sockets: bound here, or inherited.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, RawFd};

use socket2::{Domain, Socket, Type};

/// Connections that the kernel may hold until they are accepted.
const BACKLOG: i32 = 1024;

/// Listens at an address; `name` is what the configuration calls it.
///
/// # Errors
/// One line that names what can't be listened at.
pub fn bind(name: &str, at: SocketAddr) -> Result<TcpListener, String> {
    let bound = || {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    bound().map_err(|e: io::Error| format!("{name}: {at}: {e}"))
}

/// Takes over the listening socket that this process was started with. To be called before the process has
/// opened a descriptor of its own. Other processes go on using the socket: it is never shut down, only closed.
///
/// # Errors
/// One line that says what the descriptor is not.
pub fn adopt(fd: RawFd) -> Result<TcpListener, String> {
    let fault = |words: String| format!("BALANCER_INHERITED_FD: {fd}: {words}");
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
