//! The node's configuration: a JSON file and environment variables.
//!
//! Variables replace the file's fields before anything is parsed, so both are read by the same rules. Unknown
//! fields are ignored: the platform adds some.

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;

use endpoints::Update;
use member::votes::MAX_NAME_BYTES;
use member::StartMode;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::{Map, Value};
use thiserror::Error;
use tulipmount::wire::{parse_settings, NodeSettings};

use super::advice::Advice;

/// The configuration of a node.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of the clients' listening socket, if the process was started with one.
    pub inherited_fd: Option<RawFd>,
    /// The address of the operators' interface, if there is one.
    pub admin_addr: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the node's random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_sockets: usize,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The saved list of servers, if there is one.
    pub saved_list: Option<Update>,
    /// The settings of the node and its decision module.
    pub node_settings: NodeSettings,
    /// The control group whose policy the node follows, if there is one.
    pub control: Option<Control>,
}

/// How a node reaches its control group, and what it does without it.
pub struct Control {
    /// The addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
    /// How the node comes to its first epoch.
    pub start: StartMode,
    /// The folder in which it saves the epoch in force, if there is one.
    pub state_dir: Option<PathBuf>,
    /// The node's own zone. Verdicts for single zones hold only on a node that names its zone.
    pub zone: Option<String>,
    /// The settings as configured; a policy replaces parts of them.
    pub settings: Value,
}

/// The memory limit if the configuration has none.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The descriptor limit if the configuration has none.
const DEFAULT_SOCKETS: u64 = 1024;
/// With fewer descriptors a node cannot serve.
const MIN_SOCKETS: u64 = 32;
/// More descriptors are of no use.
const MAX_SOCKETS: u64 = 1 << 20;
/// The most replicas of a control group.
const MAX_REPLICAS: usize = 16;
/// How long a start waits for a leader before it uses the saved epoch: if the configuration does not say, and at
/// most.
const DEFAULT_SAVED_AFTER_MS: f64 = 3000.0;
const MAX_SAVED_AFTER_MS: f64 = 3_600_000.0;

/// The environment variable that names the configuration file.
const FILE_VARIABLE: &str = "BALANCER_CONFIG";
/// The environment variable that names the clients' inherited listening socket.
pub const INHERITED_FD_VARIABLE: &str = "BALANCER_INHERITED_FD";
/// The fields that an environment variable may replace, and its name.
const FIELD_VARIABLES: [(&str, &str); 4] = [
    ("name", "BALANCER_NAME"),
    ("listen", "BALANCER_LISTEN"),
    ("discovery", "BALANCER_DISCOVERY"),
    ("admin_addr", "BALANCER_ADMIN_ADDR"),
];

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is not set.
    #[error("{FILE_VARIABLE}: not set")]
    FileNotSet,
    /// The file cannot be read.
    #[error("{FILE_VARIABLE}: {path}: {error}")]
    FileUnreadable {
        /// Its path.
        path: String,
        /// The system's error.
        error: io::Error,
    },
    /// The file is not a JSON object.
    #[error("{FILE_VARIABLE}: not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field, or the variable that replaces it, has an invalid value.
    #[error("{field}: {reason}")]
    Field {
        /// The path of the field, or the name of the variable.
        field: String,
        /// What is expected.
        reason: String,
    },
    /// A required field is missing.
    #[error("{field}: missing")]
    Missing {
        /// The path of the field.
        field: &'static str,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(String),
}

impl Advice for ConfigError {
    fn advice(&self) -> String {
        match self {
            Self::FileNotSet => "set it to the path of the configuration file".into(),
            Self::FileUnreadable { .. } => {
                "put the file there, readable for the node's user, or set another path".into()
            }
            Self::NotJson(_) => "rewrite the file as one JSON object".into(),
            Self::Field { field, .. } => match FIELD_VARIABLES.iter().find(|(_, v)| v == field) {
                Some((name, _)) => format!("correct the variable, or unset it to use the file's {name:?}"),
                None if field == INHERITED_FD_VARIABLE => {
                    "pass on the listening socket that is open at that number".into()
                }
                None => "correct it in the configuration file".into(),
            },
            Self::Missing { field } => match FIELD_VARIABLES.iter().find(|(name, _)| name == field) {
                Some((_, variable)) => format!("add it to the configuration file, or set {variable}"),
                None => "add it to the configuration file".into(),
            },
            Self::Settings(_) => "correct it under \"settings\" in the configuration file".into(),
        }
    }
}

/// The fields of the file.
#[derive(Debug, Deserialize)]
#[serde(expecting = "an object")]
struct FileFields {
    name: Option<String>,
    listen: Option<Address>,
    discovery: Option<Address>,
    admin_addr: Option<Address>,
    seed: Option<HexNumber>,
    limits: Option<LimitFields>,
    known: Option<Update>,
    #[serde(default)]
    settings: Value,
    control: Option<ControlFields>,
    state_dir: Option<PathBuf>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(expecting = "an object")]
struct LimitFields {
    memory_mb: Option<f64>,
    sockets: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(expecting = "an object")]
struct ControlFields {
    replicas: Vec<Address>,
    #[serde(default)]
    start: StartField,
    saved_after_ms: Option<f64>,
    zone: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StartField {
    #[default]
    Wait,
    Saved,
}

/// The fields that SIGHUP reads anew.
#[derive(Deserialize)]
#[serde(expecting = "an object")]
struct ReloadedFields {
    discovery: Option<Address>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "String")]
struct Address(SocketAddr);

impl TryFrom<String> for Address {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let parsed = text.parse().map(Self);
        parsed.map_err(|_| format!("IP address and port expected, not {text:?}"))
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "String")]
struct HexNumber(u64);

impl TryFrom<String> for HexNumber {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let parsed = u64::from_str_radix(&text, 16).map(Self);
        parsed.map_err(|_| format!("hex digits expected, not {text:?}"))
    }
}

/// Reads the configuration of this process.
///
/// # Errors
/// A [`ConfigError`] that names the field.
pub fn load() -> Result<Config, ConfigError> {
    parse(read_file()?, |name| std::env::var(name).ok())
}

/// Reads the address of discovery from the file again. The environment is ignored here: it cannot change after the
/// start.
///
/// # Errors
/// A [`ConfigError`] that names what is wrong.
pub fn reload_discovery_addr() -> Result<SocketAddr, ConfigError> {
    let reloaded: ReloadedFields = deserialize(read_file()?, |_| None)?;
    discovery_addr(reloaded.discovery)
}

/// Checks the address of discovery: port 0 cannot be connected to.
fn discovery_addr(at: Option<Address>) -> Result<SocketAddr, ConfigError> {
    let Address(at) = at.ok_or(ConfigError::Missing { field: "discovery" })?;
    match at.port() {
        0 => Err(field_error("discovery", format!("a port above 0 expected, not {at}"))),
        _ => Ok(at),
    }
}

fn read_file() -> Result<Map<String, Value>, ConfigError> {
    let path = std::env::var(FILE_VARIABLE).map_err(|_| ConfigError::FileNotSet)?;
    let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::FileUnreadable { path, error })?;
    serde_json::from_str(&text).map_err(ConfigError::NotJson)
}

/// Parses the file's fields, after replacing those that the environment names.
fn deserialize<T: DeserializeOwned>(
    mut file: Map<String, Value>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<T, ConfigError> {
    let mut replaced = Vec::new();
    for (name, variable) in FIELD_VARIABLES {
        if let Some(value) = env(variable) {
            file.insert(name.to_string(), Value::String(value));
            replaced.push((name, variable));
        }
    }
    serde_path_to_error::deserialize(Value::Object(file)).map_err(|error| {
        let path = error.path().to_string();
        let variable =
            replaced.iter().find(|(name, _)| *name == path).map(|(_, variable)| (*variable).to_string());
        ConfigError::Field { field: variable.unwrap_or(path), reason: error.inner().to_string() }
    })
}

fn parse(file: Map<String, Value>, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let fields: FileFields = deserialize(file, &env)?;
    let missing = |field| ConfigError::Missing { field };
    let limits = fields.limits.unwrap_or_default();
    let saved_list = fields.known.map(Update::validated).transpose();
    let Address(listen) = fields.listen.ok_or(missing("listen"))?;
    let discovery = discovery_addr(fields.discovery)?;
    let HexNumber(seed) = fields.seed.ok_or(missing("seed"))?;
    let name = fields.name.ok_or(missing("name"))?;
    if name.is_empty() {
        return Err(field_error("name", "a name expected, not \"\"".into()));
    }
    let node_settings = parse_settings(&fields.settings).map_err(|e| ConfigError::Settings(e.to_string()))?;
    let control =
        fields.control.map(|control| parse_control(control, listen, fields.state_dir, fields.settings));
    Ok(Config {
        name,
        listen,
        inherited_fd: env(INHERITED_FD_VARIABLE).map(|v| parse_descriptor(&v)).transpose()?,
        admin_addr: fields.admin_addr.map(|Address(at)| at),
        discovery,
        seed,
        max_sockets: parse_sockets(limits.sockets.unwrap_or(DEFAULT_SOCKETS))?,
        memory_bytes: parse_memory(limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB))?,
        saved_list: saved_list.map_err(|e| field_error("known", e.to_string()))?,
        node_settings,
        control: control.transpose()?,
    })
}

fn parse_control(
    fields: ControlFields,
    listen: SocketAddr,
    state_dir: Option<PathBuf>,
    settings: Value,
) -> Result<Control, ConfigError> {
    let replicas: Vec<SocketAddr> = fields.replicas.into_iter().map(|Address(at)| at).collect();
    if !(1..=MAX_REPLICAS).contains(&replicas.len()) {
        return Err(field_error(
            "control.replicas",
            format!("1 to {MAX_REPLICAS} expected, not {}", replicas.len()),
        ));
    }
    let after_ms = fields.saved_after_ms.unwrap_or(DEFAULT_SAVED_AFTER_MS);
    if !(0.0..=MAX_SAVED_AFTER_MS).contains(&after_ms) {
        let reason = format!("0 to {MAX_SAVED_AFTER_MS} expected, not {after_ms}");
        return Err(field_error("control.saved_after_ms", reason));
    }
    if let Some(zone) = fields.zone.as_ref().filter(|zone| !(1..=MAX_NAME_BYTES).contains(&zone.len())) {
        let reason = format!("a name of 1 to {MAX_NAME_BYTES} bytes expected, not one of {}", zone.len());
        return Err(field_error("control.zone", reason));
    }
    let start = match fields.start {
        StartField::Wait => StartMode::Wait,
        StartField::Saved if state_dir.is_some() => StartMode::UseSaved { after_ms },
        StartField::Saved => {
            return Err(field_error("state_dir", "missing, and control.start is \"saved\"".into()))
        }
    };
    if listen.ip().is_unspecified() {
        let reason =
            format!("with control, an address that the replicas can reach expected, not {}", listen.ip());
        return Err(field_error("listen", reason));
    }
    Ok(Control { replicas, start, state_dir, zone: fields.zone, settings })
}

fn field_error(field: &str, reason: String) -> ConfigError {
    ConfigError::Field { field: field.to_string(), reason }
}

fn parse_descriptor(text: &str) -> Result<RawFd, ConfigError> {
    // 0 to 2 are standard input, output and error.
    let fd = text.parse().ok().filter(|fd| *fd > 2);
    fd.ok_or_else(|| {
        field_error(INHERITED_FD_VARIABLE, format!("a descriptor's number above 2 expected, not {text:?}"))
    })
}

fn parse_memory(mb: f64) -> Result<usize, ConfigError> {
    if mb < 1.0 {
        return Err(field_error("limits.memory_mb", format!("1 or more expected, not {mb}")));
    }
    Ok((mb * 1024.0 * 1024.0) as usize)
}

fn parse_sockets(count: u64) -> Result<usize, ConfigError> {
    if count < MIN_SOCKETS {
        return Err(field_error("limits.sockets", format!("{MIN_SOCKETS} or more expected, not {count}")));
    }
    Ok(count.min(MAX_SOCKETS) as usize)
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::super::advice::tests::assert_each_has_advice;
    use super::*;

    #[test]
    fn each_error_is_one_line_with_advice() {
        use ConfigError::*;
        assert_each_has_advice(|before| match before {
            None => Some(FileNotSet),
            Some(FileNotSet) => {
                Some(FileUnreadable { path: "/x".into(), error: io::ErrorKind::NotFound.into() })
            }
            Some(FileUnreadable { .. }) => Some(NotJson(serde::de::Error::custom("no\nobject"))),
            Some(NotJson(_)) => Some(field_error("listen", "what".into())),
            Some(Field { field, .. }) if field == "listen" => {
                Some(field_error("BALANCER_LISTEN", "what".into()))
            }
            Some(Field { field, .. }) if field == "BALANCER_LISTEN" => {
                Some(field_error(INHERITED_FD_VARIABLE, "what".into()))
            }
            Some(Field { .. }) => Some(Missing { field: "seed" }),
            Some(Missing { field: "seed" }) => Some(Missing { field: "name" }),
            Some(Missing { .. }) => Some(Settings("Limits: missing".into())),
            Some(Settings(_)) => None,
        });
    }

    #[test]
    fn an_invalid_control_field_is_named_in_the_error() {
        let parse_with = |control: Value, state_dir: Value| {
            let settings = json!({"Classes": [{"Name": "c", "Slo": 1.0, "Idempotency": "pure"}], "Limits": {"AttemptsCap": 1, "ConnectTimeout": 1.0}, "Me": 0,
                "PeersTotal": 1, "Contract": {"ColdShare": 0.1, "WarmWithin": 1.0, "FallMultiple": 3.0, "Fall": 1.0}});
            let file = json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
                "settings": settings, "control": control, "state_dir": state_dir});
            let file = file.as_object().expect("an object").clone();
            parse(file, |_| None).map_err(|e| e.to_string())
        };
        let at = json!(["127.0.0.1:9301"]);
        let control = |c| parse_with(c, json!("/state")).map(|c| c.control.expect("configured"));
        assert!(parse_with(Value::Null, json!("/state")).expect("good").control.is_none());
        assert_eq!(control(json!({"replicas": at})).expect("good").start, StartMode::Wait);
        let saved = json!({"replicas": at, "start": "saved", "saved_after_ms": 500, "zone": "a"});
        let saved = control(saved).expect("good");
        assert_eq!((saved.start, saved.replicas.len()), (StartMode::UseSaved { after_ms: 500.0 }, 1));
        assert_eq!(saved.zone.as_deref(), Some("a"));
        for (field, invalid) in [
            ("control.replicas", json!({"replicas": []})),
            ("control.replicas[0]", json!({"replicas": ["nowhere"]})),
            ("control.start", json!({"replicas": at, "start": "soon"})),
            ("control.saved_after_ms", json!({"replicas": at, "saved_after_ms": -1})),
            ("control.zone", json!({"replicas": at, "zone": ""})),
        ] {
            let text = control(invalid).err().expect("refused");
            assert!(text.starts_with(&format!("{field}: ")), "{field}: {text}");
        }
        let text =
            parse_with(json!({"replicas": at, "start": "saved"}), Value::Null).err().expect("no folder");
        assert!(text.starts_with("state_dir: "), "{text}");
    }

    /// A variable replaces the file's field, also one that cannot be parsed, and an error names whichever of them
    /// is wrong.
    #[test]
    fn an_environment_variable_overrides_the_field_of_the_file() {
        let file = json!({"name": "n0", "listen": 7, "discovery": "nowhere", "more": {}});
        let file = file.as_object().expect("an object");
        let read_with = |set: &[(&str, &str)]| {
            let env = |name: &str| set.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_string());
            deserialize::<FileFields>(file.clone(), env).map_err(|e| e.to_string())
        };
        let (listen, discovery) = (("BALANCER_LISTEN", "127.0.0.1:1"), ("BALANCER_DISCOVERY", "127.0.0.1:2"));
        let fields = read_with(&[listen, discovery]).expect("the variables replace the invalid fields");
        assert_eq!((fields.name.as_deref(), fields.listen.map(|a| a.0.port())), (Some("n0"), Some(1)));
        assert!(read_with(&[discovery])
            .expect_err("the field in the file is invalid")
            .starts_with("listen: "));
        let text = read_with(&[listen, ("BALANCER_DISCOVERY", "")]).expect_err("the variable is invalid");
        assert_eq!(text, "BALANCER_DISCOVERY: IP address and port expected, not \"\"");
    }
}
