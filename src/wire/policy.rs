//! Applies a policy to a node's settings object. Names and kinds are checked by [`member::policy`], values by
//! the settings.

use member::policy::PolicyError;
use member::Policy;
use serde_json::Value;

use super::{parse_settings, NodeSettings};

/// Parses a node's settings object with a policy applied to it.
///
/// # Errors
/// Names the first field of the policy that may not change, is unknown or has an invalid value.
pub fn settings_with_policy(settings: &Value, policy: &Policy) -> Result<NodeSettings, PolicyError> {
    let invalid = |e: &dyn std::fmt::Display| PolicyError::IncompatibleSettings(e.to_string());
    let before = parse_settings(settings).map_err(|e| invalid(&e))?;
    let after = parse_settings(&policy.apply_to(settings)?).map_err(|e| invalid(&e))?;
    before.settings.check_update(&after.settings).map_err(|e| invalid(&e))?;
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

    fn parse_with(policy: Value) -> Result<NodeSettings, String> {
        settings_with_policy(&settings(), &Policy(policy.as_object().expect("an object").clone()))
            .map_err(|e| e.to_string())
    }

    #[test]
    fn policy_changes_only_the_fields_it_names() {
        let changed = parse_with(json!({
            "Classes": [{"Name": "note", "Slo": 90, "LateValue": 0.5}],
            "Customers": [{"Name": "west", "QuotaPerS": 25}],
            "Limits": {"AttemptsCap": 1, "OpenCap": 77},
            "Retry": {"BudgetShare": 0.05}, "Ejection": {"Failures": 5, "AtMost": 0.25},
            "ServerWeights": {"s-1": 0.5}, "ServerBans": ["s-2"], "Votes": {"Failed": 0.4}
        }))
        .expect("a good policy");
        let module = &changed.settings;
        assert_eq!(
            (module.classes[0].slo, module.classes[1].slo, module.classes[1].late_worth),
            (100.0, 90.0, 0.5)
        );
        assert_eq!(
            (module.tenants[0].quota_per_s, module.limits.max_attempts, changed.max_open_requests),
            (25.0, 1, 77)
        );
        assert_eq!(
            (module.retry_budget.ratio, module.retry_budget.max, module.limits.max_retry_after),
            (0.05, 10.0, 900.0)
        );
        assert_eq!((module.ejection.consecutive_failures, module.ejection.max_fraction), (5, 0.25));
        assert_eq!(
            module.votes.as_ref().map(|v| (v.failure_threshold, v.contact_timeout)),
            Some((0.4, 5_000.0))
        );
        assert_eq!(
            (changed.server_weights.get("s-1"), changed.bans.as_slice()),
            (Some(&0.5), &["s-2".to_string()][..])
        );
        let unchanged = parse_with(json!({})).expect("no change");
        assert_eq!(
            format!("{unchanged:?}"),
            format!("{:?}", super::parse_settings(&settings()).expect("good settings"))
        );
    }

    /// The error names the field. Control group and decision module accept the same range of server weights, so that
    /// no weight that the group has agreed on is refused here.
    #[test]
    fn policy_with_an_unknown_class_a_fixed_field_or_an_invalid_value_is_refused() {
        for (policy, message) in [
            (json!({"Classes": [{"Name": "sell", "Slo": 1}]}), "Classes[sell]: is unknown"),
            (json!({"Limits": {"Probes": true}}), "Limits.Probes: may not change"),
            (json!({"Votes": {"Majority": 0.5}}), "Votes.Majority: a number above 0.5, up to 1 expected"),
        ] {
            let error = parse_with(policy).expect_err(message);
            assert!(error.starts_with(message), "{error}");
        }
        assert_eq!(member::policy::SERVER_WEIGHT_RANGE, crate::api::SERVER_WEIGHT_RANGE);
    }
}
