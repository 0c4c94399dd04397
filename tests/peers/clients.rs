//! Clients of the node.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::SockRef;

use super::{read_message, Message, Node, WAIT_TIMEOUT};

/// A request of class `look`, `pay` or `slip` as a client sends it, with `remaining` milliseconds to its deadline.
pub fn request(class: &str, txn: &str, remaining: u64) -> String {
    let (method, key) = match class {
        "look" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: k1\r\n"),
        _ => ("POST", ""),
    };
    let body = if method == "POST" { "Content-Length: 4\r\n\r\nwork" } else { "\r\n" };
    format!(
        "{method} /{class}/7?q=a%20b HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining}\r\n{key}{body}"
    )
}

/// A client's connection to a node or another server. Each read times out after [`WAIT_TIMEOUT`].
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the node's address for clients.
    pub fn connect(node: &Node) -> Self {
        Self::connect_to(node.address)
    }

    /// Connects to any address.
    pub fn connect_to(address: SocketAddr) -> Self {
        let writer = TcpStream::connect(address).expect("the connection failed");
        writer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout cannot be set");
        let reader = BufReader::new(writer.try_clone().expect("the socket cannot be duplicated"));
        Self { writer, reader }
    }

    /// Connects to any address, with a timeout for the connect and for each read.
    pub fn try_connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, timeout)?;
        writer.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    /// Writes bytes as they are.
    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Writes text as it is.
    pub fn send(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).expect("the request cannot be written");
    }

    /// Writes bytes as they are.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.writer.write_all(bytes).expect("the request cannot be written");
    }

    /// The next bytes, at most `limit`; none if the connection was closed. Fails the test with the system's error if
    /// the connection was reset or the read timed out.
    pub fn read(&mut self, limit: usize) -> Vec<u8> {
        self.try_read(limit).unwrap_or_else(|error| panic!("nothing can be read: {error}"))
    }

    /// The next bytes, at most `limit`; none if the connection was closed.
    pub fn try_read(&mut self, limit: usize) -> std::io::Result<Vec<u8>> {
        let mut bytes = self.wait_for_bytes()?.to_vec();
        bytes.truncate(limit);
        self.reader.consume(bytes.len());
        Ok(bytes)
    }

    /// Waits for the next bytes and returns them without consuming them; none if the connection was closed.
    pub fn wait_for_bytes(&mut self) -> std::io::Result<&[u8]> {
        loop {
            match self.reader.fill_buf() {
                Ok(_) => return Ok(self.reader.buffer()),
                // A read that has a timeout ends like this when the process is stopped and continued.
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// All bytes until the connection ends or a read times out, and whether it was closed without a reset. A timeout
    /// looks like a reset.
    pub fn read_to_end(&mut self) -> (Vec<u8>, bool) {
        let mut bytes = Vec::new();
        let in_order = self.reader.read_to_end(&mut bytes).is_ok();
        (bytes, in_order)
    }

    /// The next response; `None` if the connection ends or a read times out first. See [`read_message`] for responses
    /// without a length.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.reader, 0)
    }

    /// Sends a request and waits for its response.
    pub fn exchange(&mut self, request: &str) -> Message {
        self.send(request);
        self.receive().expect("no response")
    }

    /// Waits for the node to end the connection. Returns whether it was closed or reset without another byte; false if
    /// the read timed out.
    pub fn closed_or_reset(&mut self) -> bool {
        match self.wait_for_bytes() {
            Ok(bytes) => bytes.is_empty(),
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// Waits for the node to end the connection. Returns whether it was closed without a reset or another byte; false
    /// if the read timed out.
    pub fn closed(&mut self) -> bool {
        matches!(self.wait_for_bytes(), Ok([]))
    }

    /// Ends the sending direction.
    pub fn half_close(&self) -> std::io::Result<()> {
        self.writer.shutdown(std::net::Shutdown::Write)
    }

    /// Ends the connection in this way. Returns a client that has only half-closed it, as it can still read.
    pub fn disconnect(self, how: Disconnect) -> Option<Self> {
        match how {
            Disconnect::Close => None,
            Disconnect::Reset => {
                SockRef::from(&self.writer)
                    .set_linger(Some(Duration::ZERO))
                    .expect("SO_LINGER cannot be set");
                None
            }
            Disconnect::HalfClose => {
                self.half_close().expect("the connection has already ended");
                Some(self)
            }
        }
    }
}

/// How a client ends its connection.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    /// Closes the connection in both directions.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends only the sending direction and can still read. The node treats such a client as gone.
    HalfClose,
}
