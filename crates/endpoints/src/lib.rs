//! The discovery protocol's types: what a line of the list or of a watch holds, and how a stream is cut into lines.
//!
//! Both ends use them: the node reads, the lab's discovery (and the list service to come) writes. Field names on the
//! wire are the platform's; unknown fields are ignored. How a node follows the list is here too, without its sockets:
//! [`ListWatcher`] says when to call and when to give a call up, [`ListState`] what to believe of what comes.

mod list_state;
mod list_watcher;

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use list_state::{ListState, UpdateOutcome, ROLLBACK_CONFIRM_AFTER_MOVE_MS, ROLLBACK_CONFIRM_MS};
pub use list_watcher::{Action, CallFailure, CallId, DeliveryMode, Event, ListWatcher};

/// A time in ms, on a monotonic clock that begins anywhere.
pub type Ms = u64;

/// The longest line that is taken, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// One line of discovery.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The list's version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// The whole list, not just changes.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

/// One server of a line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Host {
    /// Its name, the same at every node.
    pub host: String,
    /// Where it listens; one that is gone may have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default, rename = "site")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "class")]
    pub kind: String,
    /// Its cell.
    #[serde(default, rename = "block")]
    pub cell: u64,
    /// Its state.
    pub health: Health,
    /// Its weight.
    #[serde(default = "one", rename = "share")]
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// The state of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// In service.
    Active,
    /// Finishing its work.
    Leaving,
    /// Gone.
    Left,
}

/// What can't be read as the protocol requires.
#[derive(Debug)]
pub enum DecodeError {
    /// Not the JSON of a line.
    Json(serde_json::Error),
    /// A server that is not gone says nowhere to reach it.
    MissingDial(String),
    /// More bytes than a line may have.
    TooLong,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => error.fmt(f),
            Self::MissingDial(host) => write!(f, "{host}: dial is missing"),
            Self::TooLong => f.write_str("longer than a line may be"),
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
    /// Reads the bytes of one line.
    ///
    /// # Errors
    /// Names what is missing or malformed.
    pub fn parse(line: &[u8]) -> Result<Self, DecodeError> {
        serde_json::from_slice::<Self>(line)?.validated()
    }

    /// The update, if every server that is not gone says where it listens.
    ///
    /// # Errors
    /// Names the first server that does not.
    pub fn validated(self) -> Result<Self, DecodeError> {
        match self.hosts.iter().find(|h| h.dial.is_none() && h.health != Health::Left) {
            Some(host) => Err(DecodeError::MissingDial(host.host.clone())),
            None => Ok(self),
        }
    }
}

/// Cuts a stream into messages: a line each, or a JSON object that stands over several. An object is whole with its last
/// brace, whatever comes of the line's end; what is no object, or has a line's end in a string, ends with its line.
#[derive(Debug, Default)]
pub struct MessageSplitter {
    held: Vec<u8>,
    /// Where the message that is coming begins, and up to where it has been looked at.
    start: usize,
    seen: usize,
    form: Form,
}

/// What the message that is coming is, as far as it has come.
#[derive(Debug, Default)]
enum Form {
    #[default]
    Blank,
    Object {
        depth: usize,
        string: bool,
        escaped: bool,
    },
    Other,
}

impl Form {
    /// Takes in a byte; true where the message ends with it.
    fn ends(&mut self, byte: u8) -> bool {
        match self {
            Self::Blank if byte == b'{' => *self = Self::Object { depth: 1, string: false, escaped: false },
            Self::Blank if !byte.is_ascii_whitespace() => *self = Self::Other,
            Self::Blank | Self::Other => return byte == b'\n',
            Self::Object { escaped, .. } if *escaped => *escaped = false,
            Self::Object { string, escaped, .. } if *string => match byte {
                b'"' => *string = false,
                b'\\' => *escaped = true,
                _ => return byte == b'\n',
            },
            Self::Object { depth, string, .. } => match byte {
                b'"' => *string = true,
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
    /// Takes in what came.
    ///
    /// # Errors
    /// Where a message would be longer than [`MAX_MESSAGE_BYTES`].
    pub fn push(&mut self, data: &[u8]) -> Result<(), DecodeError> {
        if self.held.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        self.held.extend_from_slice(data);
        Ok(())
    }

    /// What came and is no whole message yet.
    pub fn remainder(&self) -> &[u8] {
        &self.held[self.start..]
    }
}

impl Iterator for MessageSplitter {
    type Item = Vec<u8>;

    /// The next whole message, without the end of its line.
    fn next(&mut self) -> Option<Vec<u8>> {
        while let Some(byte) = self.held.get(self.seen) {
            self.seen += 1;
            if self.form.ends(*byte) {
                let message = self.held[self.start..self.seen].trim_ascii_end().to_vec();
                (self.start, self.form) = (self.seen, Form::default());
                return Some(message);
            }
        }
        // Once for all that was whole: a flood of short lines would else be moved up again and again.
        self.held.drain(..self.start);
        (self.start, self.seen) = (0, self.held.len());
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_read_as_it_was_written() {
        let host = Host {
            host: "s-1".into(),
            dial: Some("127.0.0.1:9000".parse().expect("an address")),
            zone: "a".into(),
            kind: "m".into(),
            cell: 3,
            health: Health::Leaving,
            weight: 2.0,
            born_ms: 12.5,
        };
        let update = Update { version: 41, whole: true, hosts: vec![host] };
        let line = serde_json::to_vec(&update).expect("plain data");
        assert_eq!(Update::parse(&line).expect("readable"), update);
        assert!(String::from_utf8(line).expect("text").contains("\"seq\":41"));
    }

    #[test]
    fn only_a_server_that_is_gone_needs_no_address() {
        let line = |health: &str| {
            format!(r#"{{"seq":1,"whole":false,"more":7,"hosts":[{{"host":"s","health":"{health}"}}]}}"#)
        };
        assert!(Update::parse(line("left").as_bytes()).is_ok());
        for health in ["active", "leaving"] {
            let words = Update::parse(line(health).as_bytes()).expect_err("no address").to_string();
            assert_eq!(words, "s: dial is missing");
        }
        assert!(matches!(Update::parse(b"{\"seq\":"), Err(DecodeError::Json(_))));
    }

    #[test]
    fn lines_come_whole_however_they_were_cut() {
        let mut lines = MessageSplitter::default();
        let mut seen = Vec::new();
        for piece in b"ab\r\n\nc".chunks(1) {
            lines.push(piece).expect("short");
            seen.extend(lines.by_ref());
        }
        assert_eq!((seen, lines.remainder()), (vec![b"ab".to_vec(), Vec::new()], &b"c"[..]));
        assert!(matches!(lines.push(&vec![0; MAX_MESSAGE_BYTES]), Err(DecodeError::TooLong)));
    }
}
