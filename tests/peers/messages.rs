//! HTTP messages as the peers read and write them.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection on which it arrived, from 1 in the order of accepting; 0 where that is not counted.
    pub connection: usize,
}

impl Message {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("the status line has no status code")
    }

    /// The target of a request, with its query.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).expect("the request line has no target")
    }
}

/// Reads one message; `None` if the connection ends, fails or reaches its read timeout first. A message with neither
/// `Transfer-Encoding` nor `Content-Length` gets an empty body.
pub fn read_message(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message { head, body: Vec::new(), connection };
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
        return Some(message);
    }
    let length =
        message.header("content-length").map_or(0, |v| v.parse().expect("Content-Length is not a number"));
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunked body; `None` if the connection ends before the last chunk.
fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        reader.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// A response with a body of known length; each line of `headers` ends in CRLF.
pub fn http_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
