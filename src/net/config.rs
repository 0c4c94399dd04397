//! What the node is told at its start: environment and configuration file.
//!
//! Values of the environment are put over the file's fields before anything is read, so there is one reading of both.
//! Fields that are not known here are left alone: the platform adds some.

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

use super::fault::Advice;

/// The node's configuration.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The descriptor of the clients' listening socket, where the process was started with one.
    pub inherited: Option<RawFd>,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub sockets: usize,
    /// The memory that the process may take, in bytes.
    pub memory: usize,
    /// The list of servers as last had.
    pub known: Option<Update>,
    /// The settings.
    pub told: NodeSettings,
    /// The control group whose policy it judges by, if there is one.
    pub control: Option<Control>,
}

/// How a node finds its control group, and what it does without one.
pub struct Control {
    /// Where its replicas are.
    pub replicas: Vec<SocketAddr>,
    /// How it comes to its first epoch.
    pub start: StartMode,
    /// The folder in which it keeps the epoch that it judged by last.
    pub folder: Option<PathBuf>,
    /// The node's own zone, by which verdicts on servers hold for it; without one only those for all zones do.
    pub zone: Option<String>,
    /// The settings as they were given, which policies go over.
    pub settings: Value,
}

/// Memory where the configuration names no limit.
const MEMORY_MB: f64 = 192.0;
/// Descriptors where the configuration names no limit.
const SOCKETS: u64 = 1024;
/// The fewest that a node can do anything with.
const SOCKETS_LEAST: u64 = 32;
/// The most that are of use.
const SOCKETS_MOST: u64 = 1 << 20;
/// The most replicas of a control group.
const REPLICAS_MOST: usize = 16;
/// How long a start waits for a leader before the saved epoch counts, in milliseconds: where the configuration does
/// not say, and at the most.
const SAVED_AFTER_MS: f64 = 3000.0;
const SAVED_AFTER_MOST: f64 = 3_600_000.0;

/// The variable that names the file.
const FILE: &str = "BALANCER_CONFIG";
/// The variable that names the clients' listening socket.
pub const INHERITED: &str = "BALANCER_INHERITED_FD";
/// The fields that the environment may name as well, and how it does.
const VARIABLES: [(&str, &str); 4] = [
    ("name", "BALANCER_NAME"),
    ("listen", "BALANCER_LISTEN"),
    ("discovery", "BALANCER_DISCOVERY"),
    ("admin_addr", "BALANCER_ADMIN_ADDR"),
];

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Nothing names the file.
    #[error("{FILE}: not set")]
    NoFile,
    /// The file can't be read.
    #[error("{FILE}: {path}: {error}")]
    Unread {
        /// Where it should be.
        path: String,
        /// What the system says.
        error: io::Error,
    },
    /// It is no JSON object.
    #[error("{FILE}: not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field, or a variable in its place, can't be read.
    #[error("{field}: {words}")]
    Field {
        /// Its path.
        field: String,
        /// What is expected.
        words: String,
    },
    /// A field is not there.
    #[error("{field}: missing")]
    Missing {
        /// Its path.
        field: &'static str,
    },
    /// The settings make no sense.
    #[error("settings: {0}")]
    Settings(String),
}

impl Advice for ConfigError {
    fn advice(&self) -> String {
        match self {
            Self::NoFile => "set it to the path of the configuration file".into(),
            Self::Unread { .. } => {
                "put the file there, readable for the node's user, or set another path".into()
            }
            Self::NotJson(_) => "write the file anew, as one JSON object".into(),
            Self::Field { field, .. } => match VARIABLES.iter().find(|(_, v)| v == field) {
                Some((name, _)) => format!("mend the variable, or unset it to have the file's {name:?}"),
                None if field == INHERITED => {
                    "pass on the listening socket that is open at that number".into()
                }
                None => "mend it in the configuration file".into(),
            },
            Self::Missing { field } => match VARIABLES.iter().find(|(name, _)| name == field) {
                Some((_, variable)) => format!("add it to the configuration file, or set {variable}"),
                None => "add it to the configuration file".into(),
            },
            Self::Settings(_) => "mend it under \"settings\" in the configuration file".into(),
        }
    }
}

/// The fields of the file.
#[derive(Debug, Deserialize)]
struct Fields {
    name: Option<String>,
    listen: Option<Address>,
    discovery: Option<Address>,
    admin_addr: Option<Address>,
    seed: Option<Hex>,
    limits: Option<Limits>,
    known: Option<Update>,
    #[serde(default)]
    settings: Value,
    control: Option<Group>,
    state_dir: Option<PathBuf>,
}

#[derive(Debug, Default, Deserialize)]
struct Limits {
    memory_mb: Option<f64>,
    sockets: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Group {
    replicas: Vec<Address>,
    #[serde(default)]
    start: First,
    saved_after_ms: Option<f64>,
    zone: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum First {
    #[default]
    Wait,
    Saved,
}

/// What SIGHUP reads of the file.
#[derive(Deserialize)]
struct Moved {
    discovery: Option<Address>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "String")]
struct Address(SocketAddr);

impl TryFrom<String> for Address {
    type Error = String;

    fn try_from(words: String) -> Result<Self, String> {
        let read = words.parse().map(Self);
        read.map_err(|_| format!("IP address and port expected, not {words:?}"))
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "String")]
struct Hex(u64);

impl TryFrom<String> for Hex {
    type Error = String;

    fn try_from(words: String) -> Result<Self, String> {
        let read = u64::from_str_radix(&words, 16).map(Self);
        read.map_err(|_| format!("hex digits expected, not {words:?}"))
    }
}

/// Reads the configuration of this process.
///
/// # Errors
/// Names the field.
pub fn load() -> Result<Config, ConfigError> {
    parse(file()?, |name| std::env::var(name).ok())
}

/// Where the file says now that discovery is; the environment still tells what held at the start.
///
/// # Errors
/// Names what is wrong.
pub fn moved() -> Result<SocketAddr, ConfigError> {
    let moved: Moved = read(file()?, |_| None)?;
    service(moved.discovery)
}

/// Where discovery is, if somebody can be reached there.
fn service(at: Option<Address>) -> Result<SocketAddr, ConfigError> {
    let Address(at) = at.ok_or(ConfigError::Missing { field: "discovery" })?;
    match at.port() {
        0 => Err(fault("discovery", format!("a port above 0 expected, not {at}"))),
        _ => Ok(at),
    }
}

fn file() -> Result<Map<String, Value>, ConfigError> {
    let path = std::env::var(FILE).map_err(|_| ConfigError::NoFile)?;
    let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::Unread { path, error })?;
    serde_json::from_str(&text).map_err(ConfigError::NotJson)
}

/// Reads fields; what the environment names goes before what the file says.
fn read<T: DeserializeOwned>(
    mut file: Map<String, Value>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<T, ConfigError> {
    let mut from = Vec::new();
    for (name, variable) in VARIABLES {
        if let Some(words) = env(variable) {
            file.insert(name.to_string(), Value::String(words));
            from.push((name, variable));
        }
    }
    serde_path_to_error::deserialize(Value::Object(file)).map_err(|error| {
        let path = error.path().to_string();
        let variable =
            from.iter().find(|(name, _)| *name == path).map(|(_, variable)| (*variable).to_string());
        ConfigError::Field { field: variable.unwrap_or(path), words: error.inner().to_string() }
    })
}

fn parse(file: Map<String, Value>, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let fields: Fields = read(file, &env)?;
    let missing = |field| ConfigError::Missing { field };
    let limits = fields.limits.unwrap_or_default();
    let known = fields.known.map(Update::validated).transpose();
    let Address(listen) = fields.listen.ok_or(missing("listen"))?;
    let discovery = service(fields.discovery)?;
    let Hex(seed) = fields.seed.ok_or(missing("seed"))?;
    let name = fields.name.ok_or(missing("name"))?;
    if name.is_empty() {
        return Err(fault("name", "a name expected, not \"\"".into()));
    }
    let told = parse_settings(&fields.settings).map_err(|e| ConfigError::Settings(e.to_string()))?;
    let control = fields.control.map(|group| control(group, listen, fields.state_dir, fields.settings));
    Ok(Config {
        name,
        listen,
        inherited: env(INHERITED).map(|v| descriptor(&v)).transpose()?,
        admin: fields.admin_addr.map(|Address(at)| at),
        discovery,
        seed,
        sockets: sockets(limits.sockets.unwrap_or(SOCKETS))?,
        memory: memory(limits.memory_mb.unwrap_or(MEMORY_MB))?,
        known: known.map_err(|e| fault("known", e.to_string()))?,
        told,
        control: control.transpose()?,
    })
}

fn control(
    group: Group,
    listen: SocketAddr,
    folder: Option<PathBuf>,
    settings: Value,
) -> Result<Control, ConfigError> {
    let replicas: Vec<SocketAddr> = group.replicas.into_iter().map(|Address(at)| at).collect();
    if !(1..=REPLICAS_MOST).contains(&replicas.len()) {
        return Err(fault(
            "control.replicas",
            format!("1 to {REPLICAS_MOST} expected, not {}", replicas.len()),
        ));
    }
    let after_ms = group.saved_after_ms.unwrap_or(SAVED_AFTER_MS);
    if !(0.0..=SAVED_AFTER_MOST).contains(&after_ms) {
        let words = format!("0 to {SAVED_AFTER_MOST} expected, not {after_ms}");
        return Err(fault("control.saved_after_ms", words));
    }
    if let Some(zone) = group.zone.as_ref().filter(|zone| !(1..=MAX_NAME_BYTES).contains(&zone.len())) {
        let words = format!("a name of 1 to {MAX_NAME_BYTES} bytes expected, not one of {}", zone.len());
        return Err(fault("control.zone", words));
    }
    let start = match group.start {
        First::Wait => StartMode::Wait,
        First::Saved if folder.is_some() => StartMode::UseSaved { after_ms },
        First::Saved => return Err(fault("state_dir", "missing, and control.start is \"saved\"".into())),
    };
    if listen.ip().is_unspecified() {
        let words =
            format!("with control, an address that the replicas can reach expected, not {}", listen.ip());
        return Err(fault("listen", words));
    }
    Ok(Control { replicas, start, folder, zone: group.zone, settings })
}

fn fault(field: &str, words: String) -> ConfigError {
    ConfigError::Field { field: field.to_string(), words }
}

fn descriptor(words: &str) -> Result<RawFd, ConfigError> {
    // The first three are standard input, output and error.
    let fd = words.parse().ok().filter(|fd| *fd > 2);
    fd.ok_or_else(|| fault(INHERITED, format!("a descriptor's number above 2 expected, not {words:?}")))
}

fn memory(mb: f64) -> Result<usize, ConfigError> {
    if mb < 1.0 {
        return Err(fault("limits.memory_mb", format!("1 or more expected, not {mb}")));
    }
    Ok((mb * 1024.0 * 1024.0) as usize)
}

fn sockets(count: u64) -> Result<usize, ConfigError> {
    if count < SOCKETS_LEAST {
        return Err(fault("limits.sockets", format!("{SOCKETS_LEAST} are needed at least, not {count}")));
    }
    Ok(count.min(SOCKETS_MOST) as usize)
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::super::fault::tests::each_has_its_advice;
    use super::*;

    #[test]
    fn each_error_has_its_advice() {
        use ConfigError::*;
        each_has_its_advice(|before| match before {
            None => Some(NoFile),
            Some(NoFile) => Some(Unread { path: "/x".into(), error: io::ErrorKind::NotFound.into() }),
            Some(Unread { .. }) => Some(NotJson(serde::de::Error::custom("no\nobject"))),
            Some(NotJson(_)) => Some(fault("listen", "what".into())),
            Some(Field { field, .. }) if field == "listen" => Some(fault("BALANCER_LISTEN", "what".into())),
            Some(Field { field, .. }) if field == "BALANCER_LISTEN" => Some(fault(INHERITED, "what".into())),
            Some(Field { .. }) => Some(Missing { field: "seed" }),
            Some(Missing { field: "seed" }) => Some(Missing { field: "name" }),
            Some(Missing { .. }) => Some(Settings("Limits: missing".into())),
            Some(Settings(_)) => None,
        });
    }

    #[test]
    fn a_control_group_is_read_or_its_field_is_named() {
        let with = |control: Value, folder: Value| {
            let settings = json!({"Classes": [{"Name": "c", "Slo": 1.0, "Idempotency": "pure"}], "Limits": {"AttemptsCap": 1, "ConnectTimeout": 1.0}, "Me": 0,
                "PeersTotal": 1, "Contract": {"ColdShare": 0.1, "WarmWithin": 1.0, "FallMultiple": 3.0, "Fall": 1.0}});
            let file = json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
                "settings": settings, "control": control, "state_dir": folder});
            let file = file.as_object().expect("an object").clone();
            parse(file, |_| None).map_err(|e| e.to_string())
        };
        let at = json!(["127.0.0.1:9301"]);
        let control = |c| with(c, json!("/state")).map(|c| c.control.expect("configured"));
        assert!(with(Value::Null, json!("/state")).expect("good").control.is_none());
        assert_eq!(control(json!({"replicas": at})).expect("good").start, StartMode::Wait);
        let saved = json!({"replicas": at, "start": "saved", "saved_after_ms": 500, "zone": "a"});
        let saved = control(saved).expect("good");
        assert_eq!((saved.start, saved.replicas.len()), (StartMode::UseSaved { after_ms: 500.0 }, 1));
        assert_eq!(saved.zone.as_deref(), Some("a"));
        for (field, spoilt) in [
            ("control.replicas", json!({"replicas": []})),
            ("control.replicas[0]", json!({"replicas": ["nowhere"]})),
            ("control.start", json!({"replicas": at, "start": "soon"})),
            ("control.saved_after_ms", json!({"replicas": at, "saved_after_ms": -1})),
            ("control.zone", json!({"replicas": at, "zone": ""})),
        ] {
            let words = control(spoilt).err().expect("refused");
            assert!(words.starts_with(&format!("{field}: ")), "{field}: {words}");
        }
        let words = with(json!({"replicas": at, "start": "saved"}), Value::Null).err().expect("no folder");
        assert!(words.starts_with("state_dir: "), "{words}");
    }

    /// The environment goes before the file, also before what can't be read there, and is named where it is at fault.
    #[test]
    fn the_environment_goes_before_the_file() {
        let file = json!({"name": "n0", "listen": 7, "discovery": "nowhere", "more": {}});
        let file = file.as_object().expect("an object");
        let read = |set: &[(&str, &str)]| {
            let env = |name: &str| set.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_string());
            read::<Fields>(file.clone(), env).map_err(|e| e.to_string())
        };
        let (listen, found) = (("BALANCER_LISTEN", "127.0.0.1:1"), ("BALANCER_DISCOVERY", "127.0.0.1:2"));
        let fields = read(&[listen, found]).expect("all can be read");
        assert_eq!((fields.name.as_deref(), fields.listen.map(|a| a.0.port())), (Some("n0"), Some(1)));
        assert!(read(&[found]).expect_err("the file's").starts_with("listen: "));
        let words = read(&[listen, ("BALANCER_DISCOVERY", "")]).expect_err("the variable's");
        assert_eq!(words, "BALANCER_DISCOVERY: IP address and port expected, not \"\"");
    }
}
