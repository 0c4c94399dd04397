//! A policy: the part of a node's settings that may change in service, and the one table of what may stand in it.
//!
//! Need: what a replica takes from an operator no node may refuse for its names or kinds, or each would find out by a
//! change that is aborted. Shape: replicas go by [`Policy::check`], nodes by [`Policy::apply_to`], which begins with it. What
//! only a node can say is left to it: whether it has a class or customer of that name, and what fits its settings.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::votes::VoteSettings;

/// Factors to servers' sizes that a policy may set.
pub const SERVER_WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;

/// A policy as it is agreed: a settings object that holds only what differs from the settings that nodes were started
/// with, under the settings' own names. What it leaves out has the figure of each node's own settings.
///
/// | field | what it sets |
/// | --- | --- |
/// | `Classes[]` by `Name` | `Slo`, `Deadline`, `Value`, `LateValue` |
/// | `Customers[]` by `Name` | `QuotaPerS` |
/// | `Limits` | `AttemptsCap`, `RetryAfter`, `MaxRetryAfter`, `OpenCap` |
/// | `Retry` | `BudgetShare`, `BudgetMax` (further attempts as a part of first ones; how many may be saved up) |
/// | `Ejection` | `Failures` (in a row that make an outlier), `AtMost` (part of the servers) |
/// | `ServerWeights` | a factor by server name |
/// | `ServerBans` | names of servers that get nothing new |
/// | `Votes` | the [`VoteSettings`] of votes on servers, which are on where it stands; what it leaves out has its default |
///
/// All else may not change in service and is refused by name: who the node is and how many there are (`Me`,
/// `PeersTotal`), what a request may do twice (`Idempotency`, `DedupScope`, `MemorySpan`), the platform's rules
/// (`Contract`), how lists come (`Discovery`, `Weights`), and classes or customers that are not in the settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Policy(pub Map<String, Value>);

/// Why a policy can't hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// A setting that nodes keep from their start to their end.
    #[error("{0}: may not change in service")]
    Immutable(String),
    /// Neither a setting nor a class or customer of the node's.
    #[error("{0}: is unknown to the nodes' settings")]
    UnknownField(String),
    /// A name that the policy holds more than once.
    #[error("{0}: is named twice")]
    DuplicateName(String),
    /// A value of the wrong kind or out of its bounds.
    #[error("{path}: {expected} expected")]
    InvalidValue {
        /// Where it stands in the policy.
        path: String,
        /// What should stand there.
        expected: &'static str,
    },
    /// A figure of the votes that can't be read.
    #[error("{path}: {reason}")]
    Unreadable {
        /// Where it stands in the policy.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A node's settings with the policy over them make no sense.
    #[error("with this policy, {0}")]
    IncompatibleSettings(String),
}

impl PolicyError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Immutable(_) => "leave it out: it changes with the nodes' settings and a restart",
            Self::UnknownField(_) => {
                "leave it out, or start the nodes with settings that have it; a policy has Classes, Customers, \
                 Limits, Retry, Ejection, ServerWeights, ServerBans and Votes"
            }
            Self::DuplicateName(_) | Self::InvalidValue { .. } | Self::Unreadable { .. } => {
                "mend the field and propose again"
            }
            Self::IncompatibleSettings(_) => "propose what fits the nodes' settings, or start the nodes with other settings",
        }
    }
}

/// What may stand for a setting.
#[derive(Clone, Copy)]
enum Kind {
    /// A number above 0.
    Above,
    /// A number of 0 or more.
    Amount,
    /// From 0 to 1.
    Share,
    /// A whole number from 1 on.
    Count,
    Flag,
    /// A factor to a server's size.
    Factor,
}

type Fields = &'static [(&'static str, Kind)];

/// What may stand under a name of the policy's own.
#[derive(Clone, Copy)]
enum Part {
    /// Objects that are told apart by `Name`.
    Named(Fields),
    Fields(Fields),
    Factors,
    Names,
    Votes,
}

const PARTS: &[(&str, Part)] = &[
    (
        "Classes",
        Part::Named(&[
            ("Slo", Kind::Above),
            ("Deadline", Kind::Above),
            ("Value", Kind::Amount),
            ("LateValue", Kind::Share),
        ]),
    ),
    ("Customers", Part::Named(&[("QuotaPerS", Kind::Amount)])),
    (
        "Limits",
        Part::Fields(&[
            ("AttemptsCap", Kind::Count),
            ("RetryAfter", Kind::Flag),
            ("MaxRetryAfter", Kind::Amount),
            ("OpenCap", Kind::Count),
        ]),
    ),
    ("Retry", Part::Fields(&[("BudgetShare", Kind::Share), ("BudgetMax", Kind::Amount)])),
    ("Ejection", Part::Fields(&[("Failures", Kind::Count), ("AtMost", Kind::Share)])),
    ("ServerWeights", Part::Factors),
    ("ServerBans", Part::Names),
    ("Votes", Part::Votes),
];

/// Settings that a node reads, but that may not change in service.
const FIXED: &[&str] = &[
    "Me",
    "PeersTotal",
    "Contract",
    "Discovery",
    "Weights",
    "Tick",
    "Goal",
    "OverShareWorth",
    "Idempotency",
    "DedupScope",
    "MemorySpan",
    "MayDuplicate",
    "Cancel",
    "Probes",
    "ConnectTimeout",
    "Keepalive",
];

impl Policy {
    /// Checks names, kinds and bounds of all that stands in it.
    ///
    /// # Errors
    /// The first field that can't be as it is.
    pub fn check(&self) -> Result<(), PolicyError> {
        self.0.iter().try_for_each(|(key, value)| part(key)?.check(value, key))
    }

    /// A node's settings object with the policy laid over it. `Votes` are the policy's alone, or null.
    ///
    /// # Errors
    /// As [`Policy::check`], and a class or customer that the settings don't have.
    pub fn apply_to(&self, settings: &Value) -> Result<Value, PolicyError> {
        self.check()?;
        let mut merged = object(settings, "settings")?.clone();
        merged.insert("Votes".to_owned(), Value::Null);
        for (key, value) in &self.0 {
            let under = merged.entry(key.clone()).or_insert(Value::Null);
            match part(key)? {
                Part::Named(_) => {
                    for item in array(value, key)? {
                        let name = &item["Name"];
                        let known =
                            under.as_array_mut().and_then(|l| l.iter_mut().find(|v| v["Name"] == *name));
                        let path = || format!("{key}[{}]", name.as_str().unwrap_or_default());
                        lay(known.ok_or_else(|| PolicyError::UnknownField(path()))?, object(item, key)?);
                    }
                }
                Part::Fields(_) | Part::Factors => lay(under, object(value, key)?),
                Part::Names | Part::Votes => *under = value.clone(),
            }
        }
        Ok(Value::Object(merged))
    }
}

/// Lays fields over those of an object, which is made where there is none.
fn lay(under: &mut Value, over: &Map<String, Value>) {
    if !under.is_object() {
        *under = Value::Object(Map::new());
    }
    for (key, value) in over {
        under[key] = value.clone();
    }
}

impl Part {
    fn check(self, value: &Value, path: &str) -> Result<(), PolicyError> {
        match self {
            Self::Named(known) => {
                let mut names = Vec::new();
                for item in array(value, path)? {
                    let item = object(item, path)?;
                    let name = text(item.get("Name").unwrap_or(&Value::Null), &format!("{path}[].Name"))?;
                    let fields = item.iter().filter(|(key, _)| *key != "Name");
                    check_fields(fields, known, &once(&mut names, name, path)?)?;
                }
                Ok(())
            }
            Self::Fields(known) => check_fields(object(value, path)?.iter(), known, path),
            Self::Factors => object(value, path)?
                .iter()
                .try_for_each(|(name, factor)| Kind::Factor.check(factor, &format!("{path}[{name}]"))),
            Self::Names => {
                let mut names = Vec::new();
                for (n, name) in array(value, path)?.iter().enumerate() {
                    once(&mut names, text(name, &format!("{path}[{n}]"))?, path)?;
                }
                Ok(())
            }
            Self::Votes => votes(object(value, path)?, path),
        }
    }
}

impl Kind {
    fn check(self, value: &Value, path: &str) -> Result<(), PolicyError> {
        let number = value.as_f64().filter(|n| n.is_finite());
        let (fits, expected) = match self {
            Self::Above => (number.is_some_and(|n| n > 0.0), "a number above 0"),
            Self::Amount => (number.is_some_and(|n| n >= 0.0), "a number of 0 or more"),
            Self::Share => (number.is_some_and(|n| (0.0..=1.0).contains(&n)), "a number from 0 to 1"),
            Self::Count => {
                let fits = value.as_u64().is_some_and(|n| (1..=u64::from(u32::MAX)).contains(&n));
                (fits, "a whole number from 1 on")
            }
            Self::Flag => (value.is_boolean(), "true or false"),
            Self::Factor => {
                (number.is_some_and(|n| SERVER_WEIGHT_RANGE.contains(&n)), "a number from 0.01 to 100")
            }
        };
        if fits {
            Ok(())
        } else {
            Err(PolicyError::InvalidValue { path: path.into(), expected })
        }
    }
}

fn part(key: &str) -> Result<Part, PolicyError> {
    let part = PARTS.iter().find(|(name, _)| *name == key).map(|(_, part)| *part);
    part.ok_or_else(|| refused(key.to_owned(), key))
}

fn refused(path: String, key: &str) -> PolicyError {
    if FIXED.contains(&key) {
        PolicyError::Immutable(path)
    } else {
        PolicyError::UnknownField(path)
    }
}

fn check_fields<'a>(
    mut fields: impl Iterator<Item = (&'a String, &'a Value)>,
    known: Fields,
    path: &str,
) -> Result<(), PolicyError> {
    fields.try_for_each(|(key, value)| {
        let path = format!("{path}.{key}");
        match known.iter().find(|(name, _)| name == key) {
            Some((_, kind)) => kind.check(value, &path),
            None => Err(refused(path, key)),
        }
    })
}

/// Each figure alone first, as the reader does not say which one it means.
fn votes(fields: &Map<String, Value>, path: &str) -> Result<(), PolicyError> {
    let read = |fields: Map<String, Value>, path: &str| {
        let unreadable =
            |e: serde_json::Error| PolicyError::Unreadable { path: path.into(), reason: e.to_string() };
        serde_json::from_value::<VoteSettings>(Value::Object(fields)).map_err(unreadable)
    };
    for (key, value) in fields {
        read(Map::from_iter([(key.clone(), value.clone())]), &format!("{path}.{key}"))?;
    }
    let wrong = read(fields.clone(), path)?.check();
    wrong.map_err(|e| PolicyError::InvalidValue { path: format!("{path}.{}", e.field), expected: e.expected })
}

/// A name's path, where it was not named before.
fn once<'a>(names: &mut Vec<&'a str>, name: &'a str, path: &str) -> Result<String, PolicyError> {
    let path = format!("{path}[{name}]");
    if names.contains(&name) {
        return Err(PolicyError::DuplicateName(path));
    }
    names.push(name);
    Ok(path)
}

fn object<'a>(value: &'a Value, path: &str) -> Result<&'a Map<String, Value>, PolicyError> {
    value.as_object().ok_or_else(|| PolicyError::InvalidValue { path: path.into(), expected: "an object" })
}

fn array<'a>(value: &'a Value, path: &str) -> Result<&'a Vec<Value>, PolicyError> {
    value.as_array().ok_or_else(|| PolicyError::InvalidValue { path: path.into(), expected: "an array" })
}

fn text<'a>(value: &'a Value, path: &str) -> Result<&'a str, PolicyError> {
    value.as_str().ok_or_else(|| PolicyError::InvalidValue { path: path.into(), expected: "a text" })
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn policy(of: Value) -> Policy {
        Policy(of.as_object().expect("an object").clone())
    }

    #[test]
    fn what_can_not_stand_in_a_policy_is_refused_by_its_path() {
        for (wrong, words) in [
            (json!({"Me": 1}), "Me: may not change in service"),
            (json!({"Contract": {"ColdShare": 1}}), "Contract: may not change"),
            (
                json!({"Classes": [{"Name": "buy", "Idempotency": "pure"}]}),
                "Classes[buy].Idempotency: may not",
            ),
            (json!({"Limits": {"Probes": true}}), "Limits.Probes: may not change"),
            (json!({"Classes": [{"Slo": 1}]}), "Classes[].Name: a text expected"),
            (json!({"Customers": [{"Name": "west"}, {"Name": "west"}]}), "Customers[west]: is named twice"),
            (json!({"Retry": {"Budget": 1}}), "Retry.Budget: is unknown"),
            (json!({"Speed": 1}), "Speed: is unknown"),
            (json!({"Classes": [{"Name": "buy", "Slo": 0}]}), "Classes[buy].Slo: a number above 0 expected"),
            (json!({"Classes": [{"Name": "buy", "Slo": null}]}), "Classes[buy].Slo: a number above 0"),
            (
                json!({"Classes": [{"Name": "buy", "LateValue": 2}]}),
                "Classes[buy].LateValue: a number from 0 to 1",
            ),
            (json!({"Limits": {"AttemptsCap": 0}}), "Limits.AttemptsCap: a whole number from 1 on"),
            (json!({"Limits": {"OpenCap": 1.5}}), "Limits.OpenCap: a whole number from 1 on"),
            (json!({"Limits": {"RetryAfter": 1}}), "Limits.RetryAfter: true or false expected"),
            (json!({"Limits": []}), "Limits: an object expected"),
            (json!({"Retry": {"BudgetShare": 1.5}}), "Retry.BudgetShare: a number from 0 to 1 expected"),
            (json!({"Ejection": {"AtMost": 1.5}}), "Ejection.AtMost: a number from 0 to 1 expected"),
            (json!({"ServerWeights": {"s-1": 0}}), "ServerWeights[s-1]: a number from 0.01 to 100 expected"),
            (json!({"ServerBans": [3]}), "ServerBans[0]: a text expected"),
            (json!({"ServerBans": ["s", "s"]}), "ServerBans[s]: is named twice"),
            (json!({"Votes": null}), "Votes: an object expected"),
            (json!({"Votes": {"Speed": 1}}), "Votes.Speed: unknown field"),
            (json!({"Votes": {"Term": "5 s"}}), "Votes.Term: invalid type"),
            (json!({"Votes": {"Majority": 0.5}}), "Votes.Majority: a number above 0.5, up to 1 expected"),
        ] {
            let error = policy(wrong).check().expect_err(words).to_string();
            assert!(error.starts_with(words), "{error}");
        }
    }

    #[test]
    fn a_policy_lies_over_the_settings_and_votes_are_its_own() {
        let settings =
            json!({"Me": 3, "Classes": [{"Name": "a", "Slo": 9}], "Retry": null, "Votes": {"Cap": 0.1}});
        let all = json!({
            "Classes": [{"Name": "a", "Slo": 100.0, "Value": 2}], "Limits": {"AttemptsCap": 2, "RetryAfter": false},
            "Retry": {"BudgetShare": 0.1}, "Ejection": {"Failures": 3, "AtMost": 0.5}, "ServerWeights": {"s": 0.5},
            "ServerBans": ["s"], "Votes": {"Voters": 3}
        });
        let mut whole = all.clone();
        whole["Me"] = json!(3);
        assert_eq!(policy(all).apply_to(&settings), Ok(whole));
        let plain = policy(json!({})).apply_to(&settings).expect("no change");
        assert_eq!((&plain["Votes"], &plain["Classes"]), (&Value::Null, &settings["Classes"]));
        for list in ["Classes", "Customers"] {
            let error = policy(json!({list: [{"Name": "b"}]})).apply_to(&settings);
            assert_eq!(error, Err(PolicyError::UnknownField(format!("{list}[b]"))));
        }
        assert!(policy(json!({})).apply_to(&json!([])).is_err());
    }
}
