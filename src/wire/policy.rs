//! A policy over a node's settings object: what a policy may name is listed here, all else it is refused for.

use serde_json::{Map, Value};

use super::{told, Told};
use crate::api::SERVER_WEIGHTS;

/// Why a policy can't hold at a node.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// A setting that nodes keep from their start to their end.
    #[error("{0}: may not change in service; start the nodes anew with it")]
    Fixed(String),
    /// Neither a setting nor a class or customer of the node's.
    #[error("{0}: is unknown to the node's settings")]
    Unknown(String),
    /// A class or customer that the policy names more than once.
    #[error("{0}: is named twice")]
    Twice(String),
    /// A value of the wrong kind or out of its bounds.
    #[error("{path}: {expected} expected")]
    Value {
        /// Where it stands in the policy.
        path: String,
        /// What should stand there.
        expected: &'static str,
    },
    /// The settings with the policy over them make no sense.
    #[error("with this policy, {0}")]
    Settings(String),
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

type Table = &'static [(&'static str, Kind)];

const CLASS: Table =
    &[("Slo", Kind::Above), ("Deadline", Kind::Above), ("Value", Kind::Amount), ("LateValue", Kind::Share)];
const CUSTOMER: Table = &[("QuotaPerS", Kind::Amount)];
const LIMITS: Table = &[
    ("AttemptsCap", Kind::Count),
    ("RetryAfter", Kind::Flag),
    ("MaxRetryAfter", Kind::Amount),
    ("OpenCap", Kind::Count),
];
const RETRY: Table = &[("BudgetShare", Kind::Share), ("BudgetMax", Kind::Amount)];
const EJECTION: Table = &[("Failures", Kind::Count), ("AtMost", Kind::Share)];
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
                (number.is_some_and(|n| SERVER_WEIGHTS.contains(&n)), "a number from 0.01 to 100")
            }
        };
        if fits {
            Ok(())
        } else {
            Err(PolicyError::Value { path: path.into(), expected })
        }
    }
}

fn refused(path: String, key: &str) -> PolicyError {
    if FIXED.contains(&key) {
        PolicyError::Fixed(path)
    } else {
        PolicyError::Unknown(path)
    }
}

fn object<'a>(value: &'a Value, path: &str) -> Result<&'a Map<String, Value>, PolicyError> {
    value.as_object().ok_or_else(|| PolicyError::Value { path: path.into(), expected: "an object" })
}

fn array<'a>(value: &'a Value, path: &str) -> Result<&'a Vec<Value>, PolicyError> {
    value.as_array().ok_or_else(|| PolicyError::Value { path: path.into(), expected: "an array" })
}

fn text<'a>(value: &'a Value, path: &str) -> Result<&'a str, PolicyError> {
    value.as_str().ok_or_else(|| PolicyError::Value { path: path.into(), expected: "a text" })
}

/// Lays the fields of `over` that `table` lists over those of `under`.
fn lay(under: &mut Value, over: &Map<String, Value>, table: Table, path: &str) -> Result<(), PolicyError> {
    for (key, value) in over.iter().filter(|(key, _)| *key != "Name") {
        let path = format!("{path}.{key}");
        let Some((_, kind)) = table.iter().find(|(name, _)| name == key) else {
            return Err(refused(path, key));
        };
        kind.check(value, &path)?;
        under[key] = value.clone();
    }
    Ok(())
}

/// The same for each item of a list, found by its name.
fn lay_named(under: &mut Value, over: &Value, table: Table, path: &str) -> Result<(), PolicyError> {
    let mut seen = Vec::new();
    for item in array(over, path)? {
        let item = object(item, path)?;
        let name = text(item.get("Name").unwrap_or(&Value::Null), &format!("{path}[].Name"))?;
        let path = format!("{path}[{name}]");
        if seen.contains(&name) {
            return Err(PolicyError::Twice(path));
        }
        seen.push(name);
        let known = under.as_array_mut().and_then(|list| list.iter_mut().find(|v| v["Name"] == name));
        let Some(known) = known else { return Err(PolicyError::Unknown(path)) };
        lay(known, item, table, &path)?;
    }
    Ok(())
}

/// Reads a node's settings object with a policy laid over it.
///
/// # Errors
/// Names the first field of the policy that may not change, is unknown or has no proper value.
pub fn with_policy(settings: &Value, policy: &Map<String, Value>) -> Result<Told, PolicyError> {
    let wrong = |e: &dyn std::fmt::Display| PolicyError::Settings(e.to_string());
    let before = told(settings).map_err(|e| wrong(&e))?;
    let mut merged = settings.clone();
    for (key, value) in policy {
        let under = &mut merged[key];
        let mut section = |table| {
            if under.is_null() {
                *under = Value::Object(Map::new());
            }
            lay(under, object(value, key)?, table, key)
        };
        match key.as_str() {
            "Classes" => lay_named(under, value, CLASS, key)?,
            "Customers" => lay_named(under, value, CUSTOMER, key)?,
            "Limits" => section(LIMITS)?,
            "Retry" => section(RETRY)?,
            "Ejection" => section(EJECTION)?,
            "ServerWeights" => {
                for (name, factor) in object(value, key)? {
                    Kind::Factor.check(factor, &format!("{key}[{name}]"))?;
                    under[name] = factor.clone();
                }
            }
            "ServerBans" => {
                for (n, name) in array(value, key)?.iter().enumerate() {
                    text(name, &format!("{key}[{n}]"))?;
                }
                *under = value.clone();
            }
            _ => return Err(refused(key.clone(), key)),
        }
    }
    let after = told(&merged).map_err(|e| wrong(&e))?;
    before.settings.may_become(&after.settings).map_err(|e| wrong(&e))?;
    Ok(after)
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn settings() -> Value {
        json!({
            "Me": 0, "PeersTotal": 2,
            "Classes": [
                {"Name": "buy", "Slo": 100, "Deadline": 500, "Idempotency": "side_effect", "Value": 10},
                {"Name": "note", "Slo": 250, "Deadline": 1000, "Idempotency": "pure", "Value": 3}
            ],
            "Customers": [{"Name": "west", "QuotaPerS": 50.0}],
            "Limits": {"AttemptsCap": 3, "ConnectTimeout": 50, "RetryAfter": true, "MaxRetryAfter": 900},
            "Contract": {"ColdShare": 0.15, "Fall": 1000, "FallMultiple": 4, "WarmWithin": 23000}
        })
    }

    fn with(policy: Value) -> Result<Told, String> {
        with_policy(&settings(), policy.as_object().expect("an object")).map_err(|e| e.to_string())
    }

    #[test]
    fn a_policy_sets_what_it_names_and_nothing_else() {
        let told = with(json!({
            "Classes": [{"Name": "note", "Slo": 90, "LateValue": 0.5}],
            "Customers": [{"Name": "west", "QuotaPerS": 25}],
            "Limits": {"AttemptsCap": 1, "OpenCap": 77},
            "Retry": {"BudgetShare": 0.05}, "Ejection": {"Failures": 5, "AtMost": 0.25},
            "ServerWeights": {"s-1": 0.5}, "ServerBans": ["s-2"]
        }))
        .expect("a good policy");
        let set = &told.settings;
        assert_eq!((set.classes[0].aim, set.classes[1].aim, set.classes[1].late_worth), (100.0, 90.0, 0.5));
        assert_eq!((set.tenants[0].quota_per_s, set.limits.attempts, told.open_cap), (25.0, 1, 77));
        assert_eq!((set.retry.share, set.retry.most, set.limits.max_retry_after), (0.05, 10.0, 900.0));
        assert_eq!((set.ejection.failures, set.ejection.at_most), (5, 0.25));
        assert_eq!((told.weights.get("s-1"), told.bans.as_slice()), (Some(&0.5), &["s-2".to_string()][..]));
        let plain = with(json!({})).expect("no change");
        assert_eq!(format!("{plain:?}"), format!("{:?}", super::told(&settings()).expect("good settings")));
    }

    #[test]
    fn what_may_not_change_is_refused_by_its_path() {
        for (policy, words) in [
            (json!({"Me": 1}), "Me: may not change in service"),
            (json!({"Contract": {"ColdShare": 1}}), "Contract: may not change"),
            (
                json!({"Classes": [{"Name": "buy", "Idempotency": "pure"}]}),
                "Classes[buy].Idempotency: may not",
            ),
            (json!({"Limits": {"Probes": true}}), "Limits.Probes: may not change"),
            (json!({"Classes": [{"Name": "sell", "Slo": 1}]}), "Classes[sell]: is unknown"),
            (json!({"Classes": [{"Slo": 1}]}), "Classes[].Name: a text expected"),
            (json!({"Customers": [{"Name": "west"}, {"Name": "west"}]}), "Customers[west]: is named twice"),
            (json!({"Retry": {"Budget": 1}}), "Retry.Budget: is unknown"),
            (json!({"Speed": 1}), "Speed: is unknown"),
            (json!({"Classes": [{"Name": "buy", "Slo": 0}]}), "Classes[buy].Slo: a number above 0 expected"),
            (json!({"Classes": [{"Name": "buy", "Slo": null}]}), "Classes[buy].Slo: a number above 0"),
            (json!({"Limits": {"AttemptsCap": 0}}), "Limits.AttemptsCap: a whole number from 1 on"),
            (json!({"Limits": {"RetryAfter": 1}}), "Limits.RetryAfter: true or false expected"),
            (json!({"Limits": []}), "Limits: an object expected"),
            (json!({"Ejection": {"AtMost": 1.5}}), "Ejection.AtMost: a number from 0 to 1 expected"),
            (json!({"ServerWeights": {"s-1": 0}}), "ServerWeights[s-1]: a number from 0.01 to 100 expected"),
            (json!({"ServerBans": [3]}), "ServerBans[0]: a text expected"),
        ] {
            let error = with(policy).expect_err(words);
            assert!(error.starts_with(words), "{error}");
        }
    }
}
