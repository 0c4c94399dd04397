//! A replica's configuration: one TOML file, checked whole before anything is opened.
//!
//! Whatever is wrong gets one line that names the file, the field's path and what is expected there. Spans are checked
//! against each other too, as a promise that is shorter than an election would stop the fleet whenever a leader dies.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use member::MAX_CLOCK_DRIFT;
use serde::Deserialize;

use crate::leader::{Terms, TermsError, Unreachable};
use crate::policy::POLICY_MOST;

/// The longest name of a cluster, in bytes.
const CLUSTER_MOST: usize = 64;
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
    /// Where nodes, operators and the other replicas reach it.
    pub address: SocketAddr,
    /// The replicas that form the group, this one among them; none where it is added to a group that is there.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// How long members may take for what.
    pub terms: Terms,
    /// How replicas find a leader.
    pub election: Election,
    /// How much of everything there may be.
    pub limits: Limits,
}

/// How replicas find a leader, in milliseconds. All replicas of a group should have the same.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Election {
    /// How often the leader speaks to the other replicas.
    pub heartbeat_ms: u64,
    /// How long after the leader's last word a replica stands for election: drawn between the two.
    pub after_ms: (u64, u64),
}

impl Default for Election {
    fn default() -> Self {
        Self { heartbeat_ms: 100, after_ms: (300, 600) }
    }
}

/// How much of everything there may be.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections; each node has two, each other replica a few.
    pub connections: usize,
    /// Bytes of an operator's body, and so of a policy with what is round it.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { connections: 2048, body_bytes: POLICY_MOST + 1024 }
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
    /// Terms that don't fit together.
    #[error("{}: terms.{error}", file.display())]
    Terms {
        /// The file.
        file: PathBuf,
        /// Which.
        error: TermsError,
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
    #[serde(default)]
    peers: BTreeMap<String, SocketAddr>,
    #[serde(default)]
    joins: bool,
    #[serde(default)]
    terms: Terms,
    #[serde(default)]
    election: Election,
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
        written.terms.check().map_err(|error| ConfigError::Terms { file: file.to_owned(), error })?;
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

/// Is this fit to name a cluster or node: at most so many bytes, and the same in a path, a log line and a shell?
pub fn is_name(name: &str, most: usize) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=most).contains(&name.len()) && name.chars().all(plain)
}

impl Written {
    fn checked(self) -> Result<Config, Wrong> {
        if !is_name(&self.cluster, CLUSTER_MOST) {
            let expected = format!("1 to {CLUSTER_MOST} letters, digits, dots, dashes or underscores");
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
        if self.joins {
            if let Some((id, _)) = peers.first_key_value() {
                return wrong(
                    "peers",
                    format!("replica {id}"),
                    "empty where joins = true: it learns the group",
                );
            }
            if self.listen.ip().is_unspecified() {
                return wrong("listen", self.listen, "the address that the others reach, where joins = true");
            }
        } else if !(1..=REPLICAS_MOST).contains(&peers.len()) {
            let expected = format!("1 to {REPLICAS_MOST}; 3 bear the loss of one");
            return wrong("peers", format!("{} replicas", peers.len()), expected);
        } else if !peers.contains_key(&self.id) {
            let ids: Vec<_> = peers.keys().map(u64::to_string).collect();
            let expected = format!("one of the peers, {}, or a new number and joins = true", ids.join(", "));
            return wrong("id", self.id, expected);
        }
        self.election.check()?;
        self.election.fits(&self.terms)?;
        self.limits.check()?;
        let Self { cluster, id, listen, dir, terms, election, limits, .. } = self;
        let address = peers.get(&id).copied().unwrap_or(listen);
        Ok(Config { cluster, id, listen, address, dir, peers, terms, election, limits })
    }
}

impl Election {
    fn check(&self) -> Result<(), Wrong> {
        const LONGEST: u64 = 60_000;
        let (soonest, latest) = self.after_ms;
        within("election.heartbeat_ms", self.heartbeat_ms, 10..=LONGEST)?;
        let least = 2 * self.heartbeat_ms;
        if soonest < least || latest <= soonest || latest > LONGEST {
            let expected =
                format!("two spans that grow, from {least} (two of election.heartbeat_ms) to {LONGEST}");
            return wrong("election.after_ms", format!("[{soonest}, {latest}]"), expected);
        }
        Ok(())
    }

    /// Spans that members are granted outlast the loss of a leader: its lease at the others, the election (each up to
    /// `after_ms[1]`, told by heartbeats), two beats and the write's reserve. Measured: 1.48 s without writes (p99).
    fn fits(&self, terms: &Terms) -> Result<(), Wrong> {
        let gap = 2.0 * (self.after_ms.1 + self.heartbeat_ms) as f64 + 2.0 * terms.beat_ms;
        let least = ((gap + terms.reserve_ms) / (1.0 - MAX_CLOCK_DRIFT)).ceil();
        let mut spans = vec![("terms.promise_ms", terms.promise_ms)];
        if terms.unreachable == Unreachable::Fence {
            spans.push(("terms.lease_ms", terms.lease_ms));
        }
        for (path, span) in spans {
            if span < least {
                let sum = "2 election.after_ms[1] + 2 election.heartbeat_ms + 2 terms.beat_ms + terms.reserve_ms, and drift";
                return wrong(path, span, format!("at least {least} ({sum})"));
            }
        }
        Ok(())
    }
}

impl Limits {
    fn check(&self) -> Result<(), Wrong> {
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
[election]
after_ms = [300, 600]
[limits]
connections = 100
"#;

    #[test]
    fn a_good_file_is_taken() {
        let config = Config::parse(Path::new("c.toml"), GOOD).expect("is good");
        assert_eq!(
            (config.peers.len(), config.terms.promise_ms, config.limits.connections),
            (2, 3000.0, 100)
        );
        assert_eq!(config.terms.unreachable, Unreachable::Abort);
    }

    #[test]
    fn the_documented_sample_is_taken_and_has_the_defaults() {
        let text = include_str!("../../../docs/ON-CALL.md");
        let sample = text.lines().skip_while(|line| !line.starts_with("    cluster = "));
        let sample: Vec<&str> = sample.take_while(|line| !line.is_empty()).collect();
        let config = Config::parse(Path::new("docs"), &sample.join("\n")).expect("is good");
        assert_eq!((config.terms, config.election), (Terms::default(), Election::default()));
        assert_eq!(config.limits, Limits::default());
    }

    #[test]
    fn each_fault_is_named_by_its_path() {
        for (from, to, says) in [
            ("id = 1", "id = \"x\"", "c.toml: id: invalid type"),
            ("id = 1", "id = 3", "c.toml: id: 3, but must be one of the peers, 1, 2, or a new"),
            ("id = 1", "id = 3\njoins = true", "c.toml: peers: replica 1, but must be empty"),
            ("\"east\"", "\"e/t\"", "c.toml: cluster: \"e/t\", but must be 1 to 64"),
            ("cluster = \"east\"", "", "missing field `cluster`"),
            ("cluster = \"east\"", "cluster = ", "c.toml: line 2: "),
            ("dir = ", "folder = ", "c.toml: folder: unknown field `folder`"),
            ("\"127.0.0.1:9302\"", "\"host\"", "c.toml: peers.2: invalid socket address"),
            ("\"127.0.0.1:9302\"", "\"127.0.0.1:9301\"", "c.toml: peers.2: 127.0.0.1:9301, but must be an"),
            ("2 = ", "b = ", "c.toml: peers.b: \"b\", but must be a replica's"),
            ("promise_ms = 3000", "promise = 1", "c.toml: terms.promise: unknown field"),
            (
                "promise_ms = 3000",
                "promise_ms = 1200",
                "c.toml: terms.promise_ms: 1200, but must be at least 2122",
            ),
            ("promise_ms = 3000", "promise_ms = 100", "c.toml: terms.promise_ms = 100 must be at least 7"),
            (
                "promise_ms = 3000",
                "unreachable = \"wait\"",
                "unknown variant `wait`, expected `abort` or `fence`",
            ),
            (
                "promise_ms = 3000",
                "unreachable = \"fence\"\nlease_ms = 700",
                "c.toml: terms.lease_ms: 700, but",
            ),
            ("[300, 600]", "[150, 600]", "c.toml: election.after_ms: [150, 600], but must be two spans"),
            ("connections = 100", "connections = 0", "c.toml: limits.connections: 0, but must be from 16 to"),
        ] {
            assert!(GOOD.contains(from), "{from}");
            let error =
                Config::parse(Path::new("c.toml"), &GOOD.replace(from, to)).expect_err(to).to_string();
            assert!(error.contains(says), "{to}: {error}");
            assert!(!error.contains('\n'), "{to}: {error}");
        }
    }
}
