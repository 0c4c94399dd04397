//! What may stand in a policy, so that an operator hears of a wrong name at once and not from a node's refusal.
//!
//! Nodes check the same against their own settings when they stage a change: whether a class exists is theirs to say.

use std::collections::BTreeSet;

use member::Policy;
use serde_json::{Map, Value};

/// What a field must hold.
#[derive(Clone, Copy)]
enum Kind {
    /// A number from 0 on.
    Amount,
    /// A number from 0 to 1.
    Share,
    /// A whole number from 1 on.
    Count,
    /// `true` or `false`.
    Flag,
}

type Fields = &'static [(&'static str, Kind)];

const CLASS: Fields = &[
    ("Slo", Kind::Amount),
    ("Deadline", Kind::Amount),
    ("Value", Kind::Amount),
    ("LateValue", Kind::Amount),
];
const CUSTOMER: Fields = &[("QuotaPerS", Kind::Amount)];
const LIMITS: Fields = &[
    ("AttemptsCap", Kind::Count),
    ("RetryAfter", Kind::Flag),
    ("MaxRetryAfter", Kind::Amount),
    ("OpenCap", Kind::Count),
];
const RETRY: Fields = &[("BudgetShare", Kind::Amount), ("BudgetMax", Kind::Amount)];
const EJECTION: Fields = &[("Failures", Kind::Count), ("AtMost", Kind::Share)];

/// What of a policy can't be.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ShapeError {
    /// It may not change in service, or is unknown.
    #[error("{0} can't change in service")]
    Fixed(String),
    /// It holds what it can't.
    #[error("{path} must be {expected}")]
    Kind {
        /// The field.
        path: String,
        /// What it must be.
        expected: &'static str,
    },
    /// Named twice.
    #[error("{path}: {name:?} stands there twice")]
    Twice {
        /// The list.
        path: &'static str,
        /// The name.
        name: String,
    },
}

impl ShapeError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Fixed(_) => {
                "leave it out; a policy has Classes, Customers, Limits, Retry, Ejection, ServerWeights and ServerBans, \
                 and all else changes with the nodes' settings and a restart"
            }
            Self::Kind { .. } | Self::Twice { .. } => "mend the field and propose again",
        }
    }
}

/// Checks names and kinds of all fields.
///
/// # Errors
/// The first field that can't be as it is.
pub fn check(policy: &Policy) -> Result<(), ShapeError> {
    for (name, value) in &policy.0 {
        match name.as_str() {
            "Classes" => named("Classes", value, CLASS)?,
            "Customers" => named("Customers", value, CUSTOMER)?,
            "Limits" => fields("Limits", object("Limits", value)?, LIMITS)?,
            "Retry" => fields("Retry", object("Retry", value)?, RETRY)?,
            "Ejection" => fields("Ejection", object("Ejection", value)?, EJECTION)?,
            "ServerWeights" => {
                for (server, factor) in object("ServerWeights", value)? {
                    kind(&format!("ServerWeights.{server}"), factor, Kind::Amount)?;
                }
            }
            "ServerBans" => {
                let names = list("ServerBans", value)?.iter().map(Value::as_str);
                let expected = "a list of servers' names";
                let names: Option<Vec<&str>> = names.collect();
                let names = names.ok_or(ShapeError::Kind { path: "ServerBans".to_owned(), expected })?;
                once("ServerBans", names.into_iter())?;
            }
            _ => return Err(ShapeError::Fixed(name.clone())),
        }
    }
    Ok(())
}

/// A list of objects that are told apart by `Name`.
fn named(path: &'static str, value: &Value, known: Fields) -> Result<(), ShapeError> {
    let mut names = Vec::new();
    for (at, entry) in list(path, value)?.iter().enumerate() {
        let mut rest = object(&format!("{path}[{at}]"), entry)?.clone();
        let Some(Value::String(name)) = rest.shift_remove("Name") else {
            return Err(ShapeError::Kind { path: format!("{path}[{at}].Name"), expected: "a name" });
        };
        fields(&format!("{path}[{name}]"), &rest, known)?;
        names.push(name);
    }
    once(path, names.iter().map(String::as_str))
}

fn fields(path: &str, object: &Map<String, Value>, known: Fields) -> Result<(), ShapeError> {
    for (name, value) in object {
        let path = format!("{path}.{name}");
        match known.iter().find(|(known, _)| known == name) {
            Some((_, wanted)) => kind(&path, value, *wanted)?,
            None => return Err(ShapeError::Fixed(path)),
        }
    }
    Ok(())
}

fn kind(path: &str, value: &Value, kind: Kind) -> Result<(), ShapeError> {
    let number = value.as_f64();
    let (good, expected) = match kind {
        Kind::Amount => (number.is_some_and(|n| n >= 0.0), "a number from 0 on"),
        Kind::Share => (number.is_some_and(|n| (0.0..=1.0).contains(&n)), "a number from 0 to 1"),
        Kind::Count => (value.as_u64().is_some_and(|n| n >= 1), "a whole number from 1 on"),
        Kind::Flag => (value.is_boolean(), "true or false"),
    };
    if good {
        Ok(())
    } else {
        Err(ShapeError::Kind { path: path.to_owned(), expected })
    }
}

fn object<'a>(path: &str, value: &'a Value) -> Result<&'a Map<String, Value>, ShapeError> {
    value.as_object().ok_or(ShapeError::Kind { path: path.to_owned(), expected: "an object" })
}

fn list<'a>(path: &str, value: &'a Value) -> Result<&'a Vec<Value>, ShapeError> {
    value.as_array().ok_or(ShapeError::Kind { path: path.to_owned(), expected: "a list" })
}

fn once<'a>(path: &'static str, names: impl Iterator<Item = &'a str>) -> Result<(), ShapeError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(ShapeError::Twice { path, name: name.to_owned() });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn each_wrong_field_is_named() {
        let check = |value: Value| {
            let policy = Policy(value.as_object().expect("is an object").clone());
            check(&policy).map_err(|e| e.to_string())
        };
        assert_eq!(
            check(json!({
                "Classes": [{"Name": "a", "Slo": 100.0, "Value": 2}], "Customers": [{"Name": "c", "QuotaPerS": 5}],
                "Limits": {"AttemptsCap": 2, "RetryAfter": false}, "Retry": {"BudgetShare": 0.1},
                "Ejection": {"Failures": 3, "AtMost": 0.5}, "ServerWeights": {"s": 0.5}, "ServerBans": ["s"]
            })),
            Ok(())
        );
        for (policy, says) in [
            (json!({"Me": 3}), "Me can't change in service"),
            (json!({"Limits": {"Cancel": true}}), "Limits.Cancel can't change in service"),
            (
                json!({"Classes": [{"Name": "a", "Idempotency": "pure"}]}),
                "Classes[a].Idempotency can't change in service",
            ),
            (json!({"Classes": [{"Slo": 1}]}), "Classes[0].Name must be a name"),
            (json!({"Classes": [{"Name": "a"}, {"Name": "a"}]}), "Classes: \"a\" stands there twice"),
            (json!({"Limits": {"OpenCap": 1.5}}), "Limits.OpenCap must be a whole number from 1 on"),
            (json!({"Ejection": {"AtMost": 2}}), "Ejection.AtMost must be a number from 0 to 1"),
            (json!({"ServerWeights": {"s": -1}}), "ServerWeights.s must be a number from 0 on"),
            (json!({"ServerBans": [1]}), "ServerBans must be a list of servers' names"),
            (json!({"Retry": 1}), "Retry must be an object"),
        ] {
            assert_eq!(check(policy), Err(says.to_owned()));
        }
    }
}
