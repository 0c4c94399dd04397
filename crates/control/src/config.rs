//! A replica's configuration: one TOML file, validated completely before anything is opened.
//!
//! Each error is one line that names the file, the field's path and what is expected there. Durations are also checked
//! against each other: a promise that is shorter than an election would stop the fleet whenever a leader dies.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use member::MAX_CLOCK_DRIFT;
use serde::Deserialize;

use crate::leader::{LeaderSettings, LeaderSettingsError, UnreachableAction};
use crate::policy::MAX_POLICY_BYTES;

/// The maximum length of a cluster's name, in bytes.
const MAX_CLUSTER_NAME_BYTES: usize = 64;
/// The maximum number of replicas of a group.
const MAX_REPLICAS: usize = 7;

/// The configuration of one replica of a control group.
#[derive(Clone, Debug)]
pub struct Config {
    /// The group's name; a state folder of another group is refused.
    pub cluster: String,
    /// This replica's ID.
    pub id: u64,
    /// The address that it listens on, for nodes, operators and the other replicas.
    pub listen: SocketAddr,
    /// Its state folder, which is created if it does not exist.
    pub state_dir: PathBuf,
    /// The address at which nodes, operators and the other replicas reach it.
    pub address: SocketAddr,
    /// The replicas that form the group, including this one; empty if it joins an existing group.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// The settings of the leader: timeouts, promises and leases.
    pub leader: LeaderSettings,
    /// The timing of leader elections.
    pub election: Election,
    /// The resource limits.
    pub limits: Limits,
}

/// The timing of leader elections. All replicas of a group should have the same.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Election {
    /// The interval of the leader's heartbeats to the other replicas, in milliseconds.
    pub heartbeat_ms: u64,
    /// The range of the election timeout after the leader's last heartbeat, in milliseconds; each timeout is drawn from
    /// it.
    #[serde(rename = "after_ms")]
    pub timeout_range_ms: (u64, u64),
}

impl Default for Election {
    fn default() -> Self {
        Self { heartbeat_ms: 100, timeout_range_ms: (300, 600) }
    }
}

/// The resource limits of a replica.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The maximum number of connections; each node has two, each other replica a few.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// The maximum size of the body of an operator's request, and so of a proposal with its policy.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_connections: 2048, max_body_bytes: MAX_POLICY_BYTES + 1024 }
    }
}

/// Why a configuration is invalid: one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {error}; name a file that this process may read", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// A field is missing, unknown or of the wrong type, or the file is not TOML.
    #[error("{}: {path}: {reason}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The field.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// A field's value is not allowed.
    #[error("{}: {path}: {found}, but must be {expected}", file.display())]
    InvalidValue {
        /// The file.
        file: PathBuf,
        /// The field.
        path: String,
        /// The value.
        found: String,
        /// The allowed values.
        expected: String,
    },
    /// A duration of the leader's settings is out of the range that the other ones allow.
    #[error("{}: terms.{error}", file.display())]
    LeaderSettings {
        /// The file.
        file: PathBuf,
        /// The field and its allowed range.
        error: LeaderSettingsError,
    },
}

/// A configuration file's content before validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    cluster: String,
    id: u64,
    listen: SocketAddr,
    #[serde(rename = "dir")]
    state_dir: PathBuf,
    #[serde(default)]
    peers: BTreeMap<String, SocketAddr>,
    #[serde(default, rename = "joins")]
    joins_existing_group: bool,
    #[serde(default, rename = "terms")]
    leader: LeaderSettings,
    #[serde(default)]
    election: Election,
    #[serde(default)]
    limits: Limits,
}

impl Config {
    /// Reads and validates a replica's configuration file.
    ///
    /// # Errors
    /// If the file cannot be read or its content is invalid.
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| ConfigError::Unreadable { file: file.to_owned(), error })?;
        Self::parse(file, &text)
    }

    /// Parses and validates a configuration's text; `file` is for the error messages.
    ///
    /// # Errors
    /// If the content is invalid.
    pub fn parse(file: &Path, text: &str) -> Result<Self, ConfigError> {
        let malformed = |path: String, reason: &str| ConfigError::Malformed {
            file: file.to_owned(),
            path,
            reason: reason.trim().replace('\n', ", "),
        };
        let document = toml::Deserializer::parse(text).map_err(|e| {
            let line = e.span().map_or(1, |at| 1 + text[..at.start.min(text.len())].matches('\n').count());
            malformed(format!("line {line}"), e.message())
        })?;
        let raw: RawConfig = serde_path_to_error::deserialize(document)
            .map_err(|e| malformed(e.path().to_string(), e.inner().message()))?;
        raw.leader.check().map_err(|error| ConfigError::LeaderSettings { file: file.to_owned(), error })?;
        raw.validate().map_err(|invalid| ConfigError::InvalidValue {
            file: file.to_owned(),
            path: invalid.path,
            found: invalid.found,
            expected: invalid.expected,
        })
    }
}

/// A field with a value that is not allowed.
struct InvalidField {
    path: String,
    found: String,
    expected: String,
}

fn invalid<T>(
    path: impl Into<String>,
    found: impl Display,
    expected: impl Into<String>,
) -> Result<T, InvalidField> {
    Err(InvalidField { path: path.into(), found: found.to_string(), expected: expected.into() })
}

fn check_range(path: &str, value: u64, range: RangeInclusive<u64>) -> Result<(), InvalidField> {
    if range.contains(&value) {
        return Ok(());
    }
    invalid(path, value, format!("from {} to {}", range.start(), range.end()))
}

/// Returns whether this is a valid name of a cluster or node: it has 1 to `max_bytes` bytes, and needs no quoting in a
/// path, a log line or a shell.
pub fn is_valid_name(name: &str, max_bytes: usize) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    (1..=max_bytes).contains(&name.len()) && name.chars().all(is_plain)
}

impl RawConfig {
    fn validate(self) -> Result<Config, InvalidField> {
        if !is_valid_name(&self.cluster, MAX_CLUSTER_NAME_BYTES) {
            let expected =
                format!("1 to {MAX_CLUSTER_NAME_BYTES} letters, digits, dots, dashes or underscores");
            return invalid("cluster", format!("{:?}", self.cluster), expected);
        }
        if self.listen.port() == 0 {
            return invalid("listen", self.listen, "an address with a port, as the peers name it");
        }
        if self.state_dir.as_os_str().is_empty() {
            return invalid("dir", "\"\"", "the path of this replica's state folder");
        }
        let mut peers = BTreeMap::new();
        let mut addresses = BTreeSet::new();
        for (id, address) in self.peers {
            let path = format!("peers.{id}");
            let Some(parsed_id) = id.parse().ok().filter(|parsed| *parsed > 0) else {
                return invalid(path, format!("{id:?}"), "a replica's number from 1 on");
            };
            if address.port() == 0 || address.ip().is_unspecified() || !addresses.insert(address) {
                return invalid(path, address, "an address of this replica alone that the others can reach");
            }
            if peers.insert(parsed_id, address).is_some() {
                return invalid(path, id, "each replica's number once");
            }
        }
        if self.joins_existing_group {
            if let Some((id, _)) = peers.first_key_value() {
                return invalid(
                    "peers",
                    format!("replica {id}"),
                    "empty if joins = true: the replica learns the group's members",
                );
            }
            if self.listen.ip().is_unspecified() {
                return invalid(
                    "listen",
                    self.listen,
                    "the address that the other replicas reach, if joins = true",
                );
            }
        } else if !(1..=MAX_REPLICAS).contains(&peers.len()) {
            let expected = format!("1 to {MAX_REPLICAS}; 3 tolerate the loss of one");
            return invalid("peers", format!("{} replicas", peers.len()), expected);
        } else if !peers.contains_key(&self.id) {
            let ids: Vec<_> = peers.keys().map(u64::to_string).collect();
            let expected = format!("one of the peers, {}, or a new number and joins = true", ids.join(", "));
            return invalid("id", self.id, expected);
        }
        self.election.check()?;
        self.election.check_against(&self.leader)?;
        self.limits.check()?;
        let Self { cluster, id, listen, state_dir, leader, election, limits, .. } = self;
        let address = peers.get(&id).copied().unwrap_or(listen);
        Ok(Config { cluster, id, listen, address, state_dir, peers, leader, election, limits })
    }
}

impl Election {
    fn check(&self) -> Result<(), InvalidField> {
        const MAX_MS: u64 = 60_000;
        let (shortest, longest) = self.timeout_range_ms;
        check_range("election.heartbeat_ms", self.heartbeat_ms, 10..=MAX_MS)?;
        let minimum = 2 * self.heartbeat_ms;
        if shortest < minimum || longest <= shortest || longest > MAX_MS {
            let expected = format!(
                "two increasing durations, from {minimum} (two of election.heartbeat_ms) to {MAX_MS}"
            );
            return invalid("election.after_ms", format!("[{shortest}, {longest}]"), expected);
        }
        Ok(())
    }

    /// Checks that promises and leases outlast the loss of a leader: its lease on the other replicas and the election
    /// (each up to `after_ms[1]` plus a heartbeat), two heartbeats of the member, and the write's reserve. The loss of a
    /// leader stopped writes for 1.48 s (p99).
    fn check_against(&self, leader: &LeaderSettings) -> Result<(), InvalidField> {
        let gap =
            2.0 * (self.timeout_range_ms.1 + self.heartbeat_ms) as f64 + 2.0 * leader.heartbeat_interval_ms;
        let minimum = ((gap + leader.commit_reserve_ms) / (1.0 - MAX_CLOCK_DRIFT)).ceil();
        let mut durations = vec![("terms.promise_ms", leader.promise_ms)];
        if leader.unreachable_action == UnreachableAction::Fence {
            durations.push(("terms.lease_ms", leader.lease_ms));
        }
        for (path, duration) in durations {
            if duration < minimum {
                let sum = "2 election.after_ms[1] + 2 election.heartbeat_ms + 2 terms.beat_ms + terms.reserve_ms, and drift";
                return invalid(path, duration, format!("at least {minimum} ({sum})"));
            }
        }
        Ok(())
    }
}

impl Limits {
    fn check(&self) -> Result<(), InvalidField> {
        check_range("limits.connections", self.max_connections as u64, 16..=65_536)?;
        check_range("limits.body_bytes", self.max_body_bytes as u64, 1024..=1024 * 1024)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"
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
    fn a_valid_file_is_accepted() {
        let config = Config::parse(Path::new("c.toml"), VALID).expect("a valid file");
        assert_eq!(
            (config.peers.len(), config.leader.promise_ms, config.limits.max_connections),
            (2, 3000.0, 100)
        );
        assert_eq!(config.leader.unreachable_action, UnreachableAction::Abort);
    }

    #[test]
    fn the_documented_sample_is_valid_and_has_the_defaults() {
        let text = include_str!("../../../docs/ON-CALL.md");
        let sample = text.lines().skip_while(|line| !line.starts_with("    cluster = "));
        let sample: Vec<&str> = sample.take_while(|line| !line.is_empty()).collect();
        let config = Config::parse(Path::new("docs"), &sample.join("\n")).expect("a valid file");
        assert_eq!((config.leader, config.election), (LeaderSettings::default(), Election::default()));
        assert_eq!(config.limits, Limits::default());
    }

    #[test]
    fn each_error_names_the_path_of_the_field() {
        for (from, to, message) in [
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
            ("[300, 600]", "[150, 600]", "c.toml: election.after_ms: [150, 600], but must be two increasing"),
            ("connections = 100", "connections = 0", "c.toml: limits.connections: 0, but must be from 16 to"),
        ] {
            assert!(VALID.contains(from), "{from}");
            let error =
                Config::parse(Path::new("c.toml"), &VALID.replace(from, to)).expect_err(to).to_string();
            assert!(error.contains(message), "{to}: {error}");
            assert!(!error.contains('\n'), "{to}: {error}");
        }
    }
}
