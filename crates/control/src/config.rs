//! A replica's configuration: one TOML file, checked whole before anything is opened.
//!
//! Whatever is wrong gets one line that names the file, the field's path and what is expected there. Spans are checked
//! against each other too, as a promise that is shorter than an election would stop the fleet whenever a leader dies.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use member::DRIFT;
use serde::Deserialize;

/// The longest name of a cluster or node, in bytes.
pub const NAME_MOST: usize = 64;
/// How many replicas a group may have.
const REPLICAS_MOST: usize = 7;

/// One replica of a control group.
#[derive(Clone, Debug)]
pub struct Config {
    /// The group's name: a state folder of another one is refused.
    pub cluster: String,
    /// This replica's number.
    pub id: u64,
    /// Where it listens, for nodes, operators and the other replicas.
    pub listen: SocketAddr,
    /// Its state folder; made where it is not there.
    pub dir: PathBuf,
    /// Where each replica of the group is reached, this one too, as the group was first started.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// How long things may take.
    pub terms: Terms,
    /// How much of everything there may be.
    pub limits: Limits,
}

/// How long things may take, in milliseconds.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Terms {
    /// What becomes of a change while a member can't be reached.
    pub unreachable: Unreachable,
    /// How long after one beat a member sends the next.
    pub beat_ms: u64,
    /// After how long without a beat a member is silent.
    pub session_ms: u64,
    /// How long members have to stage a change.
    pub stage_ms: u64,
    /// How long a member takes requests under the old policy without having heard what became of a change.
    pub promise_ms: u64,
    /// How long a member of a fenced fleet takes requests without an answer of the leader.
    pub lease_ms: u64,
    /// What must be left of each promise when a change is committed.
    pub reserve_ms: u64,
    /// How often the leader speaks to the other replicas.
    pub heartbeat_ms: u64,
    /// How long after the leader's last word a replica stands for election: drawn between the two.
    pub election_ms: (u64, u64),
}

/// What becomes of a change while a member can't be reached.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Unreachable {
    /// The change is aborted; who is cut off serves on under the agreed policy.
    #[default]
    Abort,
    /// Who is cut off takes nothing new once its lease is over; the change then goes on without it.
    Fence,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            unreachable: Unreachable::Abort,
            beat_ms: 250,
            session_ms: 3000,
            stage_ms: 2000,
            promise_ms: 2000,
            lease_ms: 2000,
            reserve_ms: 200,
            heartbeat_ms: 100,
            election_ms: (400, 800),
        }
    }
}

/// How much of everything there may be.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Processes that are members at once.
    pub members: usize,
    /// Connections; each node has two, each other replica a few.
    pub connections: usize,
    /// Bytes of a policy, and of any call's body but the replicas' own.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { members: 4096, connections: 2048, body_bytes: 64 * 1024 }
    }
}

/// Why a configuration can't be used: one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{}: {error}; name a file that this process may read", file.display())]
    Unread {
        /// The file.
        file: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// A field is missing, unknown or of the wrong kind, or the file is no TOML.
    #[error("{}: {path}: {words}", file.display())]
    Form {
        /// The file.
        file: PathBuf,
        /// The field.
        path: String,
        /// What is wrong.
        words: String,
    },
    /// A field has a value that it may not have.
    #[error("{}: {path}: {found}, but must be {expected}", file.display())]
    Value {
        /// The file.
        file: PathBuf,
        /// The field.
        path: String,
        /// What it has.
        found: String,
        /// What it may have.
        expected: String,
    },
}

/// A configuration as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    cluster: String,
    id: u64,
    listen: SocketAddr,
    dir: PathBuf,
    peers: BTreeMap<String, SocketAddr>,
    #[serde(default)]
    terms: Terms,
    #[serde(default)]
    limits: Limits,
}

impl Config {
    /// Reads a replica's configuration.
    ///
    /// # Errors
    /// Where the file can't be read, or something in it is not as it must be.
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| ConfigError::Unread { file: file.to_owned(), error })?;
        Self::parse(file, &text)
    }

    /// Checks a configuration's text; `file` is for the errors.
    ///
    /// # Errors
    /// Where something in it is not as it must be.
    pub fn parse(file: &Path, text: &str) -> Result<Self, ConfigError> {
        let form = |path: String, words: &str| ConfigError::Form {
            file: file.to_owned(),
            path,
            words: words.trim().replace('\n', ", "),
        };
        let document = toml::Deserializer::parse(text).map_err(|e| {
            let line = e.span().map_or(1, |at| 1 + text[..at.start.min(text.len())].matches('\n').count());
            form(format!("line {line}"), e.message())
        })?;
        let written: Written = serde_path_to_error::deserialize(document)
            .map_err(|e| form(e.path().to_string(), e.inner().message()))?;
        written.checked().map_err(|wrong| ConfigError::Value {
            file: file.to_owned(),
            path: wrong.path,
            found: wrong.found,
            expected: wrong.expected,
        })
    }
}

/// A value that may not be.
struct Wrong {
    path: String,
    found: String,
    expected: String,
}

fn wrong<T>(path: impl Into<String>, found: impl Display, expected: impl Into<String>) -> Result<T, Wrong> {
    Err(Wrong { path: path.into(), found: found.to_string(), expected: expected.into() })
}

fn within(path: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), Wrong> {
    if range.contains(&value) {
        return Ok(());
    }
    wrong(path, value, format!("from {} to {}", range.start(), range.end()))
}

/// Is this fit to name a cluster or node: short, and the same in a path, a log line and a shell?
pub fn is_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=NAME_MOST).contains(&name.len()) && name.chars().all(plain)
}

impl Written {
    fn checked(self) -> Result<Config, Wrong> {
        if !is_name(&self.cluster) {
            let expected = format!("1 to {NAME_MOST} letters, digits, dots, dashes or underscores");
            return wrong("cluster", format!("{:?}", self.cluster), expected);
        }
        if self.listen.port() == 0 {
            return wrong("listen", self.listen, "an address with a port, as the peers name it");
        }
        if self.dir.as_os_str().is_empty() {
            return wrong("dir", "\"\"", "the path of this replica's state folder");
        }
        let mut peers = BTreeMap::new();
        let mut taken = BTreeSet::new();
        for (id, address) in self.peers {
            let path = format!("peers.{id}");
            let Some(number) = id.parse().ok().filter(|number| *number > 0) else {
                return wrong(path, format!("{id:?}"), "a replica's number from 1 on");
            };
            if address.port() == 0 || address.ip().is_unspecified() || !taken.insert(address) {
                return wrong(path, address, "an address of this replica alone that the others can reach");
            }
            if peers.insert(number, address).is_some() {
                return wrong(path, id, "each replica's number once");
            }
        }
        if !(1..=REPLICAS_MOST).contains(&peers.len()) {
            return wrong(
                "peers",
                format!("{} replicas", peers.len()),
                format!("1 to {REPLICAS_MOST}; 3 bear the loss of one"),
            );
        }
        if !peers.contains_key(&self.id) {
            let ids: Vec<_> = peers.keys().map(u64::to_string).collect();
            return wrong("id", self.id, format!("one of the peers: {}", ids.join(", ")));
        }
        self.terms.check()?;
        self.limits.check()?;
        let Self { cluster, id, listen, dir, terms, limits, .. } = self;
        Ok(Config { cluster, id, listen, dir, peers, terms, limits })
    }
}

impl Terms {
    fn check(&self) -> Result<(), Wrong> {
        const LONGEST: u64 = 60_000;
        let (soonest, latest) = self.election_ms;
        within("terms.heartbeat_ms", self.heartbeat_ms, 10..=LONGEST)?;
        within("terms.beat_ms", self.beat_ms, 10..=LONGEST)?;
        within("terms.reserve_ms", self.reserve_ms, 10..=LONGEST)?;
        let least = 2 * self.heartbeat_ms;
        if soonest < least || latest > LONGEST {
            let expected = format!("from {least} (two of terms.heartbeat_ms) to {LONGEST}");
            return wrong("terms.election_ms", format!("[{soonest}, {latest}]"), expected);
        }
        if latest <= soonest {
            let expected = "two spans, the second the longer, so that replicas do not stand all at once";
            return wrong("terms.election_ms", format!("[{soonest}, {latest}]"), expected);
        }
        // Each bound as (field, value, the least, which fields make it).
        let beats = 2 * self.beat_ms;
        // What goes by from a leader's death until its follower has answered a beat.
        let change = latest + beats;
        let granted = ((change + self.reserve_ms) as f64 * (1.0 + DRIFT)).ceil() as u64;
        let sum = "terms.election_ms[1] + 2 terms.beat_ms + terms.reserve_ms, and clocks' drift";
        let mut bounds = vec![
            ("terms.session_ms", self.session_ms, beats, "2 terms.beat_ms"),
            ("terms.stage_ms", self.stage_ms, beats, "2 terms.beat_ms"),
            ("terms.promise_ms", self.promise_ms, granted, sum),
        ];
        if self.unreachable == Unreachable::Fence {
            bounds.push(("terms.lease_ms", self.lease_ms, granted, sum));
        }
        for (path, value, least, why) in bounds {
            if !(least..=LONGEST).contains(&value) {
                return wrong(path, value, format!("from {least} ({why}) to {LONGEST}"));
            }
        }
        Ok(())
    }
}

impl Limits {
    fn check(&self) -> Result<(), Wrong> {
        within("limits.members", self.members as u64, 1..=65_536)?;
        within("limits.connections", self.connections as u64, 16..=65_536)?;
        within("limits.body_bytes", self.body_bytes as u64, 1024..=1024 * 1024)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
cluster = "east"
id = 1
listen = "127.0.0.1:9301"
dir = "/tmp/x"
[peers]
1 = "127.0.0.1:9301"
2 = "127.0.0.1:9302"
[terms]
promise_ms = 3000
[limits]
members = 100
"#;

    #[test]
    fn a_good_file_is_taken() {
        let config = Config::parse(Path::new("c.toml"), GOOD).expect("is good");
        assert_eq!((config.peers.len(), config.terms.promise_ms, config.limits.members), (2, 3000, 100));
        assert_eq!(config.terms.unreachable, Unreachable::Abort);
    }

    #[test]
    fn each_fault_is_named_by_its_path() {
        for (from, to, says) in [
            ("id = 1", "id = \"x\"", "c.toml: id: invalid type"),
            ("id = 1", "id = 3", "c.toml: id: 3, but must be one of the peers: 1, 2"),
            ("cluster = \"east\"", "", "missing field `cluster`"),
            ("cluster = \"east\"", "cluster = \"e/t\"", "c.toml: cluster: \"e/t\", but must be 1 to 64"),
            ("cluster = \"east\"", "cluster = ", "c.toml: line 2: "),
            ("dir = ", "folder = ", "c.toml: folder: unknown field `folder`"),
            ("2 = \"127.0.0.1:9302\"", "2 = \"host\"", "c.toml: peers.2: invalid socket address"),
            (
                "2 = \"127.0.0.1:9302\"",
                "2 = \"127.0.0.1:9301\"",
                "c.toml: peers.2: 127.0.0.1:9301, but must be an address of",
            ),
            (
                "2 = \"127.0.0.1:9302\"",
                "b = \"127.0.0.1:9302\"",
                "c.toml: peers.b: \"b\", but must be a replica's",
            ),
            ("promise_ms = 3000", "promise = 1", "c.toml: terms.promise: unknown field"),
            (
                "promise_ms = 3000",
                "promise_ms = 1500",
                "c.toml: terms.promise_ms: 1500, but must be from 1515 (terms.election",
            ),
            (
                "promise_ms = 3000",
                "election_ms = [150, 800]",
                "c.toml: terms.election_ms: [150, 800], but must be from 200",
            ),
            (
                "promise_ms = 3000",
                "unreachable = \"wait\"",
                "c.toml: terms.unreachable: unknown variant `wait`, expected `abort` or `fence`",
            ),
            (
                "promise_ms = 3000",
                "unreachable = \"fence\"\nlease_ms = 100",
                "c.toml: terms.lease_ms: 100, but",
            ),
            ("members = 100", "members = 0", "c.toml: limits.members: 0, but must be from 1 to 65536"),
        ] {
            assert!(GOOD.contains(from), "{from}");
            let error =
                Config::parse(Path::new("c.toml"), &GOOD.replace(from, to)).expect_err(to).to_string();
            assert!(error.contains(says), "{to}: {error}");
            assert!(!error.contains('\n'), "{to}: {error}");
        }
    }
}
