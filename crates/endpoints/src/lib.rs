//! Types of the discovery protocol, a splitter that cuts its byte streams into messages, and the client's logic.
//!
//! Both ends of the protocol share this crate: nodes read the messages, the lab's discovery service (and the list
//! service that is planned) writes them. Field names on the wire are the platform's; unknown fields are ignored. The
//! client's logic is here without its sockets: [`ListWatcher`] decides when to start and when to abandon a call, and
//! [`ListState`] decides which parts of an update to accept.

mod list_state;
mod list_watcher;

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use list_state::{ListState, UpdateOutcome, ROLLBACK_CONFIRM_AFTER_MOVE_MS, ROLLBACK_CONFIRM_MS};
pub use list_watcher::{Action, CallFailure, CallId, DeliveryMode, Event, ListWatcher};

/// A time in milliseconds on a monotonic clock with an arbitrary origin.
pub type Ms = u64;

/// Maximum size of one message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// One message of the discovery protocol: the whole list, or changes to it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// Version of the list after this update.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether `hosts` is the whole list rather than the changes alone.
    pub whole: bool,
    /// The listed or changed servers.
    pub hosts: Vec<Host>,
}

/// One server of an [`Update`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Name of the server, the same at every node.
    pub host: String,
    /// Address it listens at; may be missing only for a server that has left.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dial: Option<SocketAddr>,
    /// Zone it runs in.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Kind of machine it runs on.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Cell it belongs to.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// Whether it is in service, draining or gone.
    pub health: Health,
    /// Load-balancing weight.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f64,
    /// Time of its last start, in milliseconds since the Unix epoch; 0 if that was long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// State of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// In service.
    Active,
    /// Draining: it finishes its requests and takes no new ones.
    Leaving,
    /// Gone.
    Left,
}

/// Why a message is not a valid [`Update`].
#[derive(Debug)]
pub enum DecodeError {
    /// The message is not the expected JSON.
    Json(serde_json::Error),
    /// The named server has not left and has no address.
    MissingDial(String),
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    TooLong,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => error.fmt(f),
            Self::MissingDial(host) => write!(f, "{host}: dial is missing"),
            Self::TooLong => write!(f, "message exceeds {MAX_MESSAGE_BYTES} bytes"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<serde_json::Error> for DecodeError {
    fn from(error: serde_json::Error) -> Self {
        Self::Json(error)
    }
}

impl Update {
    /// Parses and validates one message.
    ///
    /// # Errors
    /// The message is not the expected JSON, or [`Update::validated`] rejects it.
    pub fn parse(message: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice::<Self>(message)?.validated()
    }

    /// Returns the update if every server that has not left has an address.
    ///
    /// # Errors
    /// [`DecodeError::MissingDial`] with the first server that has none.
    pub fn validated(self) -> Result<Self, DecodeError> {
        match self.hosts.iter().find(|h| h.dial.is_none() && h.health != Health::Left) {
            Some(host) => Err(DecodeError::MissingDial(host.host.clone())),
            None => Ok(self),
        }
    }
}

/// Splits a byte stream into messages: one per line, or a JSON object that may span several lines.
///
/// An object is complete with its last brace, whether or not a line end follows. Anything that is not an object, and an
/// object with a line end inside a string, ends with its line.
#[derive(Debug, Default)]
pub struct MessageSplitter {
    buffer: Vec<u8>,
    /// Offset of the current message in `buffer`.
    start: usize,
    /// Offset up to which `buffer` has been scanned.
    scanned: usize,
    message: MessageScan,
}

/// What has been scanned of the current message.
#[derive(Debug, Default)]
enum MessageScan {
    /// Nothing but white space.
    #[default]
    Blank,
    /// Part of a JSON object.
    Object { depth: usize, in_string: bool, escaped: bool },
    /// Part of a line that is not a JSON object.
    Other,
}

impl MessageScan {
    /// Scans one byte; returns true if it completes the message.
    fn completes(&mut self, byte: u8) -> bool {
        match self {
            Self::Blank if byte == b'{' => {
                *self = Self::Object { depth: 1, in_string: false, escaped: false }
            }
            Self::Blank if !byte.is_ascii_whitespace() => *self = Self::Other,
            Self::Blank | Self::Other => return byte == b'\n',
            Self::Object { escaped, .. } if *escaped => *escaped = false,
            Self::Object { in_string, escaped, .. } if *in_string => match byte {
                b'"' => *in_string = false,
                b'\\' => *escaped = true,
                _ => return byte == b'\n',
            },
            Self::Object { depth, in_string, .. } => match byte {
                b'"' => *in_string = true,
                b'{' | b'[' => *depth += 1,
                b'}' | b']' => {
                    *depth -= 1;
                    return *depth == 0;
                }
                _ => {}
            },
        }
        false
    }
}

impl MessageSplitter {
    /// Appends received bytes.
    ///
    /// # Errors
    /// [`DecodeError::TooLong`] if more than [`MAX_MESSAGE_BYTES`] would be buffered.
    pub fn push(&mut self, data: &[u8]) -> Result<(), DecodeError> {
        if self.buffer.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Returns the received bytes that do not form a complete message yet.
    pub fn remainder(&self) -> &[u8] {
        &self.buffer[self.start..]
    }
}

impl Iterator for MessageSplitter {
    type Item = Vec<u8>;

    /// Returns the next complete message, without its line end.
    fn next(&mut self) -> Option<Vec<u8>> {
        while let Some(byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.message.completes(*byte) {
                let message = self.buffer[self.start..self.scanned].trim_ascii_end().to_vec();
                (self.start, self.message) = (self.scanned, MessageScan::default());
                return Some(message);
            }
        }
        // Drained once for all complete messages: draining after each would move the buffer for every short line.
        self.buffer.drain(..self.start);
        (self.start, self.scanned) = (0, self.buffer.len());
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_update_survives_a_round_trip_through_json() {
        let host = Host {
            host: "s-1".into(),
            dial: Some("127.0.0.1:9000".parse().expect("not an address")),
            zone: "a".into(),
            kind: "m".into(),
            cell: 3,
            health: Health::Leaving,
            weight: 2.0,
            born_ms: 12.5,
        };
        let update = Update { version: 41, whole: true, hosts: vec![host] };
        let message = serde_json::to_vec(&update).expect("the value cannot be serialized");
        assert_eq!(Update::parse(&message).expect("the update was refused"), update);
        assert!(String::from_utf8(message).expect("not UTF-8").contains("\"seq\":41"));
    }

    #[test]
    fn only_a_server_that_has_left_may_lack_an_address() {
        let message = |health: &str| {
            format!(r#"{{"seq":1,"whole":false,"more":7,"hosts":[{{"host":"s","health":"{health}"}}]}}"#)
        };
        assert!(Update::parse(message("left").as_bytes()).is_ok());
        for health in ["active", "leaving"] {
            let error = Update::parse(message(health).as_bytes())
                .expect_err("a server without an address was accepted")
                .to_string();
            assert_eq!(error, "s: dial is missing");
        }
        assert!(matches!(Update::parse(b"{\"seq\":"), Err(DecodeError::Json(_))));
    }

    #[test]
    fn messages_are_complete_however_the_stream_was_cut() {
        let mut splitter = MessageSplitter::default();
        let mut messages = Vec::new();
        for piece in b"ab\r\n\nc".chunks(1) {
            splitter.push(piece).expect("the bytes were refused");
            messages.extend(splitter.by_ref());
        }
        assert_eq!((messages, splitter.remainder()), (vec![b"ab".to_vec(), Vec::new()], &b"c"[..]));
        assert!(matches!(splitter.push(&vec![0; MAX_MESSAGE_BYTES]), Err(DecodeError::TooLong)));
    }
}
