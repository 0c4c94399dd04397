//! The settings and seeds that nodes start with, in live runs and in the virtual clock alike.

use serde_json::{json, Value};

use crate::draw::Draw;
use crate::plan::{Idempotency, Plan};

/// The seed of a node's random numbers: different for each node and each of its starts, and the same in each run of a
/// draw. `life` counts the node's starts.
pub fn node_seed(draw: &Draw, node: usize, life: u32) -> u64 {
    draw.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((node as u64) << 32) ^ u64::from(life)
}

/// The settings of one node: those of the fleet with the node's number and zone.
pub fn node_settings(settings: &Value, draw: &Draw, node: usize) -> Value {
    let mut settings = settings.clone();
    settings["Me"] = json!(node);
    settings["MyZone"] = json!(draw.zones[draw.nodes[node]]);
    settings
}

/// The settings that all nodes share: all but a node's number and zone.
pub fn fleet_settings(plan: &Plan, draw: &Draw) -> Value {
    let ms = |us: u64| us as f64 / 1e3;
    let classes = draw.classes.iter().map(|c| {
        let effect = match c.idempotency {
            Idempotency::Safe => "pure",
            Idempotency::Keyed => "token",
            Idempotency::Unsafe => "side_effect",
        };
        json!({"Name": c.name, "Slo": ms(c.aim), "Deadline": ms(c.deadline), "Value": c.worth, "LateValue": 0.0,
            "Idempotency": effect, "DedupScope": "all", "MemorySpan": ms(c.dedup_window), "Stream": false})
    });
    let (kind, rules) = (plan.server.get_ref(), &plan.rules);
    json!({
        "Classes": classes.collect::<Vec<_>>(),
        "Clients": {"MarksRetry": true},
        "Contract": {"AnswerSlack": rules.answer_slack_ms, "AskWithin": 10000.0,
            "ColdShare": kind.cold_from.bounds().0, "DrainGrace": rules.drain_grace_ms, "Fall": rules.fall_ms,
            "FallMultiple": rules.fall_multiple, "WarmWithin": kind.cold_s.bounds().1 * 1e3},
        "CountedBy": "work", "Customers": [], "Discovery": "automatic", "Family": "proxy",
        "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "Limits": {"AttemptsCap": rules.attempts, "Cancel": true, "ConnectTimeout": 150.0, "Keepalive": kind.idle_s * 1e3,
            "MaxRetryAfter": plan.clients.get_ref().max_retry_after_ms, "MayDuplicate": true, "Multiplex": 1,
            "OpenCap": 20000, "Peers": false, "Probes": false, "RetryAfter": true},
        "OverShareWorth": 0.1, "PeersTotal": draw.nodes.len(), "Shapes": ["std-2c"], "Stage": 0,
        "Stages": ["lab"], "Tick": 5.0, "Weights": "silent", "Zones": draw.zones,
    })
}
