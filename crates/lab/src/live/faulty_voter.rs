//! A faulty voter: a member of the control group that handles no requests and reports false ballots on servers.
//! Otherwise it behaves like any member.

use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use member::votes::VoteReport;
use member::{AgreedUpdate, Change, HeartbeatReply, StageReply};
use serde_json::{json, Value};

use super::group::{call, CALL_TIMEOUT, RETRY_DELAY};
use super::RunContext;
use crate::draw::FaultSpec;

/// Bounds of the interval between two heartbeats in ms, whatever the leader requests.
const HEARTBEAT_INTERVAL_BOUNDS_MS: (f64, f64) = (50.0, 1000.0);

/// Joins the group, and reports false ballots on the fault's servers until the fault is over.
pub async fn run_member(run: Rc<RunContext>, fault: FaultSpec, name: String, zone: String) {
    let Some(group) = &run.group else { return };
    // It has no listener of its own; the address of a discovery agent accepts connections for as long as the run
    // lasts.
    let liveness_addr = run.addresses.discovery(0);
    let boot = run.world().draw().seed;
    // JSON keys: `boot` identifies the process, `life` is the liveness address, and `bye` is true if the member leaves.
    let mut heartbeat = json!({"process": {"name": name, "boot": boot}, "life": liveness_addr});
    loop {
        let over = run.now() >= fault.until || run.closed.get();
        heartbeat["bye"] = json!(over);
        let (up_servers, ballots) = run.world().false_vote_report(&fault.targets);
        // Plain data can always be serialized.
        heartbeat["votes"] = serde_json::to_value(VoteReport {
            zone: Some(zone.clone()),
            up_servers,
            abstains: false,
            ballots,
        })
        .unwrap_or_default();
        let mut delay = RETRY_DELAY;
        for replica in group.addresses() {
            let reply = call(replica, Method::POST, "/v1/session", Some(&heartbeat), CALL_TIMEOUT).await;
            let reply = reply.and_then(|(_, body)| serde_json::from_value(body).ok());
            if let Some(reply) = reply {
                delay = handle_reply(&mut heartbeat, reply);
                break;
            }
        }
        if over {
            return;
        }
        tokio::time::sleep(delay).await;
    }
}

/// Applies a reply to the next heartbeat, and returns the delay until it. The heartbeat names no known state, so
/// replies always carry the full state.
fn handle_reply(heartbeat: &mut Value, reply: HeartbeatReply) -> Duration {
    if let AgreedUpdate::Changed(agreed) = reply.update {
        let staged =
            |change: Change| StageReply::Staged { change: change.id, remaining_ms: reply.promise_ms };
        heartbeat["active"] = json!(agreed.epoch);
        heartbeat["change"] = json!(agreed.change.map(staged));
    }
    heartbeat["echo"] = json!(reply.stamp);
    Duration::from_secs_f64(
        reply.heartbeat_interval_ms.clamp(HEARTBEAT_INTERVAL_BOUNDS_MS.0, HEARTBEAT_INTERVAL_BOUNDS_MS.1)
            / 1e3,
    )
}
