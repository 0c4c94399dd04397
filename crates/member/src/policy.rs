//! Policies: the part of a node's settings that may change in service, and the table of what they may contain.
//!
//! Goal: no node may refuse names or kinds of values that a replica has accepted from an operator, because that would
//! surface only as an aborted change. Design: replicas use [`Policy::check`], and nodes use [`Policy::apply_to`], which
//! starts with the same check. Only what depends on the node is left to it: whether it has a class or customer of that
//! name, and whether the values fit its settings.

use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::votes::VoteSettings;

/// The range of a policy's factors to servers' weights.
pub const SERVER_WEIGHT_RANGE: RangeInclusive<f64> = 0.01..=100.0;

/// An agreed policy: a settings object with only those fields that differ from the settings that nodes were started
/// with, under the settings' own names. A field that is left out has its value from each node's own settings.
///
/// | field | what it sets |
/// | --- | --- |
/// | `Classes[]` by `Name` | `Slo`, `Deadline`, `Value`, `LateValue` |
/// | `Customers[]` by `Name` | `QuotaPerS` |
/// | `Limits` | `AttemptsCap`, `RetryAfter`, `MaxRetryAfter`, `OpenCap` |
/// | `Retry` | `BudgetShare` (retries as a fraction of first attempts), `BudgetMax` (the maximum saved-up retry budget) |
/// | `Ejection` | `Failures` (consecutive failures that make an outlier), `AtMost` (fraction of the servers) |
/// | `ServerWeights` | a factor by server name |
/// | `ServerBans` | names of servers that get no new requests |
/// | `Votes` | the [`VoteSettings`]; votes on servers are enabled if it is present, and fields that are left out have their defaults |
///
/// Everything else may not change in service and is refused by name: the node's identity and the number of nodes (`Me`,
/// `PeersTotal`), what a request may do twice (`Idempotency`, `DedupScope`, `MemorySpan`), the platform's rules
/// (`Contract`), how lists arrive (`Discovery`, `Weights`), and classes or customers that are not in the settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Policy(pub Map<String, Value>);

/// Why a policy is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// A setting that nodes keep from start to exit.
    #[error("{0}: may not change in service")]
    Immutable(String),
    /// A name that is neither a setting nor a class or customer of the node.
    #[error("{0}: is unknown to the nodes' settings")]
    UnknownField(String),
    /// A name that occurs more than once in the policy.
    #[error("{0}: is named twice")]
    DuplicateName(String),
    /// A value of the wrong kind or out of its range.
    #[error("{path}: {expected} expected")]
    InvalidValue {
        /// The field's path in the policy.
        path: String,
        /// The allowed values.
        expected: &'static str,
    },
    /// A parameter of the votes that cannot be parsed.
    #[error("{path}: {reason}")]
    Unreadable {
        /// The field's path in the policy.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A node's settings combined with the policy are invalid.
    #[error("with this policy, {0}")]
    IncompatibleSettings(String),
}

impl PolicyError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Immutable(_) => "leave it out: it changes with the nodes' settings and a restart",
            Self::UnknownField(_) => {
                "leave it out, or start the nodes with settings that have it; a policy has Classes, Customers, \
                 Limits, Retry, Ejection, ServerWeights, ServerBans and Votes"
            }
            Self::DuplicateName(_) | Self::InvalidValue { .. } | Self::Unreadable { .. } => {
                "correct the field and propose the policy again"
            }
            Self::IncompatibleSettings(_) => {
                "propose a policy that fits the nodes' settings, or start the nodes with other settings"
            }
        }
    }
}

/// The kind and range of a setting's value.
#[derive(Clone, Copy)]
enum Kind {
    /// A number above 0.
    Positive,
    /// A number of 0 or more.
    NonNegative,
    /// A number from 0 to 1.
    Fraction,
    /// A whole number from 1 on.
    Count,
    Flag,
    /// A factor to a server's weight, within [`SERVER_WEIGHT_RANGE`].
    ServerWeight,
}

type Fields = &'static [(&'static str, Kind)];

/// What a policy may contain under one of its top-level names.
#[derive(Clone, Copy)]
enum Section {
    /// An array of objects that are identified by `Name`.
    NamedObjects(Fields),
    /// An object.
    Object(Fields),
    /// An object of factors by server name.
    ServerWeights,
    /// An array of names.
    Names,
    Votes,
}

const SECTIONS: &[(&str, Section)] = &[
    (
        "Classes",
        Section::NamedObjects(&[
            ("Slo", Kind::Positive),
            ("Deadline", Kind::Positive),
            ("Value", Kind::NonNegative),
            ("LateValue", Kind::Fraction),
        ]),
    ),
    ("Customers", Section::NamedObjects(&[("QuotaPerS", Kind::NonNegative)])),
    (
        "Limits",
        Section::Object(&[
            ("AttemptsCap", Kind::Count),
            ("RetryAfter", Kind::Flag),
            ("MaxRetryAfter", Kind::NonNegative),
            ("OpenCap", Kind::Count),
        ]),
    ),
    ("Retry", Section::Object(&[("BudgetShare", Kind::Fraction), ("BudgetMax", Kind::NonNegative)])),
    ("Ejection", Section::Object(&[("Failures", Kind::Count), ("AtMost", Kind::Fraction)])),
    ("ServerWeights", Section::ServerWeights),
    ("ServerBans", Section::Names),
    ("Votes", Section::Votes),
];

/// Settings that exist on a node but may not change in service.
const IMMUTABLE_SETTINGS: &[&str] = &[
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
    /// Checks the names, kinds and ranges of all fields.
    ///
    /// # Errors
    /// Names the first invalid field.
    pub fn check(&self) -> Result<(), PolicyError> {
        self.0.iter().try_for_each(|(key, value)| section(key)?.check(value, key))
    }

    /// Returns a node's settings object with the policy applied to it. `Votes` comes from the policy only, and is null
    /// if the policy has none.
    ///
    /// # Errors
    /// As [`Policy::check`], and for a class or customer that the settings do not have.
    pub fn apply_to(&self, settings: &Value) -> Result<Value, PolicyError> {
        self.check()?;
        let mut merged = object(settings, "settings")?.clone();
        merged.insert("Votes".to_owned(), Value::Null);
        for (key, value) in &self.0 {
            let base = merged.entry(key.clone()).or_insert(Value::Null);
            match section(key)? {
                Section::NamedObjects(_) => {
                    for item in array(value, key)? {
                        let name = &item["Name"];
                        let existing =
                            base.as_array_mut().and_then(|l| l.iter_mut().find(|v| v["Name"] == *name));
                        let path = || format!("{key}[{}]", name.as_str().unwrap_or_default());
                        overlay(
                            existing.ok_or_else(|| PolicyError::UnknownField(path()))?,
                            object(item, key)?,
                        );
                    }
                }
                Section::Object(_) | Section::ServerWeights => overlay(base, object(value, key)?),
                Section::Names | Section::Votes => *base = value.clone(),
            }
        }
        Ok(Value::Object(merged))
    }
}

/// Sets fields of an object, which is created if there is none.
fn overlay(base: &mut Value, fields: &Map<String, Value>) {
    if !base.is_object() {
        *base = Value::Object(Map::new());
    }
    for (key, value) in fields {
        base[key] = value.clone();
    }
}

impl Section {
    fn check(self, value: &Value, path: &str) -> Result<(), PolicyError> {
        match self {
            Self::NamedObjects(known) => {
                let mut names = Vec::new();
                for item in array(value, path)? {
                    let item = object(item, path)?;
                    let name = text(item.get("Name").unwrap_or(&Value::Null), &format!("{path}[].Name"))?;
                    let fields = item.iter().filter(|(key, _)| *key != "Name");
                    check_fields(fields, known, &unique_path(&mut names, name, path)?)?;
                }
                Ok(())
            }
            Self::Object(known) => check_fields(object(value, path)?.iter(), known, path),
            Self::ServerWeights => object(value, path)?
                .iter()
                .try_for_each(|(name, weight)| Kind::ServerWeight.check(weight, &format!("{path}[{name}]"))),
            Self::Names => {
                let mut names = Vec::new();
                for (index, name) in array(value, path)?.iter().enumerate() {
                    unique_path(&mut names, text(name, &format!("{path}[{index}]"))?, path)?;
                }
                Ok(())
            }
            Self::Votes => check_votes(object(value, path)?, path),
        }
    }
}

impl Kind {
    fn check(self, value: &Value, path: &str) -> Result<(), PolicyError> {
        let number = value.as_f64().filter(|n| n.is_finite());
        let (valid, expected) = match self {
            Self::Positive => (number.is_some_and(|n| n > 0.0), "a number above 0"),
            Self::NonNegative => (number.is_some_and(|n| n >= 0.0), "a number of 0 or more"),
            Self::Fraction => (number.is_some_and(|n| (0.0..=1.0).contains(&n)), "a number from 0 to 1"),
            Self::Count => {
                let valid = value.as_u64().is_some_and(|n| (1..=u64::from(u32::MAX)).contains(&n));
                (valid, "a whole number from 1 on")
            }
            Self::Flag => (value.is_boolean(), "true or false"),
            Self::ServerWeight => {
                (number.is_some_and(|n| SERVER_WEIGHT_RANGE.contains(&n)), "a number from 0.01 to 100")
            }
        };
        if valid {
            Ok(())
        } else {
            Err(PolicyError::InvalidValue { path: path.into(), expected })
        }
    }
}

fn section(key: &str) -> Result<Section, PolicyError> {
    let section = SECTIONS.iter().find(|(name, _)| *name == key).map(|(_, section)| *section);
    section.ok_or_else(|| not_allowed(key.to_owned(), key))
}

fn not_allowed(path: String, key: &str) -> PolicyError {
    if IMMUTABLE_SETTINGS.contains(&key) {
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
            None => Err(not_allowed(path, key)),
        }
    })
}

/// Parses each field on its own first, because the parser's error does not name the field.
fn check_votes(fields: &Map<String, Value>, path: &str) -> Result<(), PolicyError> {
    let parse = |fields: Map<String, Value>, path: &str| {
        let unreadable =
            |e: serde_json::Error| PolicyError::Unreadable { path: path.into(), reason: e.to_string() };
        serde_json::from_value::<VoteSettings>(Value::Object(fields)).map_err(unreadable)
    };
    for (key, value) in fields {
        parse(Map::from_iter([(key.clone(), value.clone())]), &format!("{path}.{key}"))?;
    }
    let result = parse(fields.clone(), path)?.check();
    result
        .map_err(|e| PolicyError::InvalidValue { path: format!("{path}.{}", e.field), expected: e.expected })
}

/// Returns the path of a name, unless the name has occurred before.
fn unique_path<'a>(names: &mut Vec<&'a str>, name: &'a str, path: &str) -> Result<String, PolicyError> {
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

    fn policy(value: Value) -> Policy {
        Policy(value.as_object().expect("a JSON object").clone())
    }

    #[test]
    fn invalid_policy_fields_are_rejected_with_their_path() {
        for (invalid, message) in [
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
            let error = policy(invalid).check().expect_err(message).to_string();
            assert!(error.starts_with(message), "{error}");
        }
    }

    #[test]
    fn a_policy_overrides_settings_and_is_the_only_source_of_votes() {
        let settings =
            json!({"Me": 3, "Classes": [{"Name": "a", "Slo": 9}], "Retry": null, "Votes": {"Cap": 0.1}});
        let all = json!({
            "Classes": [{"Name": "a", "Slo": 100.0, "Value": 2}], "Limits": {"AttemptsCap": 2, "RetryAfter": false},
            "Retry": {"BudgetShare": 0.1}, "Ejection": {"Failures": 3, "AtMost": 0.5}, "ServerWeights": {"s": 0.5},
            "ServerBans": ["s"], "Votes": {"Voters": 3}
        });
        let mut merged = all.clone();
        merged["Me"] = json!(3);
        assert_eq!(policy(all).apply_to(&settings), Ok(merged));
        let unchanged = policy(json!({})).apply_to(&settings).expect("an empty policy applies");
        assert_eq!((&unchanged["Votes"], &unchanged["Classes"]), (&Value::Null, &settings["Classes"]));
        for list in ["Classes", "Customers"] {
            let error = policy(json!({list: [{"Name": "b"}]})).apply_to(&settings);
            assert_eq!(error, Err(PolicyError::UnknownField(format!("{list}[b]"))));
        }
        assert!(policy(json!({})).apply_to(&json!([])).is_err());
    }
}
