//! A policy over a node's settings object: names and kinds are [`member::policy`]'s, what fits is the settings'.

use member::policy::PolicyError;
use member::Policy;
use serde_json::Value;

use super::{parse_settings, NodeSettings};

/// Reads a node's settings object with a policy laid over it.
///
/// # Errors
/// Names the first field of the policy that may not change, is unknown or has no proper value.
pub fn settings_with_policy(settings: &Value, policy: &Policy) -> Result<NodeSettings, PolicyError> {
    let wrong = |e: &dyn std::fmt::Display| PolicyError::IncompatibleSettings(e.to_string());
    let before = parse_settings(settings).map_err(|e| wrong(&e))?;
    let after = parse_settings(&policy.apply_to(settings)?).map_err(|e| wrong(&e))?;
    before.settings.check_update(&after.settings).map_err(|e| wrong(&e))?;
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

    fn with(policy: Value) -> Result<NodeSettings, String> {
        settings_with_policy(&settings(), &Policy(policy.as_object().expect("an object").clone()))
            .map_err(|e| e.to_string())
    }

    #[test]
    fn a_policy_sets_what_it_names_and_nothing_else() {
        let told = with(json!({
            "Classes": [{"Name": "note", "Slo": 90, "LateValue": 0.5}],
            "Customers": [{"Name": "west", "QuotaPerS": 25}],
            "Limits": {"AttemptsCap": 1, "OpenCap": 77},
            "Retry": {"BudgetShare": 0.05}, "Ejection": {"Failures": 5, "AtMost": 0.25},
            "ServerWeights": {"s-1": 0.5}, "ServerBans": ["s-2"], "Votes": {"Failed": 0.4}
        }))
        .expect("a good policy");
        let set = &told.settings;
        assert_eq!((set.classes[0].slo, set.classes[1].slo, set.classes[1].late_worth), (100.0, 90.0, 0.5));
        assert_eq!(
            (set.tenants[0].quota_per_s, set.limits.max_attempts, told.max_open_requests),
            (25.0, 1, 77)
        );
        assert_eq!(
            (set.retry_budget.ratio, set.retry_budget.max, set.limits.max_retry_after),
            (0.05, 10.0, 900.0)
        );
        assert_eq!((set.ejection.consecutive_failures, set.ejection.max_fraction), (5, 0.25));
        assert_eq!(
            set.votes.as_ref().map(|v| (v.failure_threshold, v.contact_timeout)),
            Some((0.4, 5_000.0))
        );
        assert_eq!(
            (told.server_weights.get("s-1"), told.bans.as_slice()),
            (Some(&0.5), &["s-2".to_string()][..])
        );
        let plain = with(json!({})).expect("no change");
        assert_eq!(
            format!("{plain:?}"),
            format!("{:?}", super::parse_settings(&settings()).expect("good settings"))
        );
    }

    #[test]
    fn what_does_not_fit_the_settings_is_refused() {
        for (policy, words) in [
            (json!({"Classes": [{"Name": "sell", "Slo": 1}]}), "Classes[sell]: is unknown"),
            (json!({"Limits": {"Probes": true}}), "Limits.Probes: may not change"),
            (json!({"Votes": {"Majority": 0.5}}), "Votes.Majority: a number above 0.5, up to 1 expected"),
        ] {
            let error = with(policy).expect_err(words);
            assert!(error.starts_with(words), "{error}");
        }
        assert_eq!(member::policy::SERVER_WEIGHT_RANGE, crate::api::SERVER_WEIGHT_RANGE);
    }
}
