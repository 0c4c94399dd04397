//! A liar: a member that serves nothing, and says of servers what is not so. In all else it is as good as any.

use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use member::votes::VoteReport;
use member::{AgreedUpdate, Change, HeartbeatReply, StageReply};
use serde_json::{json, Value};

use super::group::{call, AGAIN, PATIENCE};
use super::Stage;
use crate::draw::FaultSpec;

/// The bounds of the time between two beats, in ms, whatever the leader asks for.
const BEAT_MS: (f64, f64) = (50.0, 1000.0);

/// Joins, and lies of the fault's servers until it is over.
pub async fn lie(stage: Rc<Stage>, fault: FaultSpec, name: String, zone: String) {
    let Some(group) = &stage.group else { return };
    // It listens nowhere itself: the list's address is there for as long as it lives.
    let life = stage.addresses.list(0);
    let boot = stage.world().draw().seed;
    let mut beat = json!({"process": {"name": name, "boot": boot}, "life": life});
    loop {
        let over = stage.now() >= fault.until || stage.closed.get();
        beat["bye"] = json!(over);
        let (up, ballots) = stage.world().lies(&fault.targets);
        // Plain data always has a JSON form.
        beat["votes"] = serde_json::to_value(VoteReport {
            zone: Some(zone.clone()),
            up_servers: up,
            abstains: false,
            ballots,
        })
        .unwrap_or_default();
        let mut pause = AGAIN;
        for at in group.all() {
            let answer = call(at, Method::POST, "/v1/session", Some(&beat), PATIENCE).await;
            let answer = answer.and_then(|(_, answer)| serde_json::from_value(answer).ok());
            if let Some(answer) = answer {
                pause = heed(&mut beat, answer);
                break;
            }
        }
        if over {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// What the next beat says of an answer, and how long until it. It names nothing as known, so it is always told all.
fn heed(beat: &mut Value, answer: HeartbeatReply) -> Duration {
    if let AgreedUpdate::Changed(agreed) = answer.update {
        let staged =
            |change: Change| StageReply::Staged { change: change.id, remaining_ms: answer.promise_ms };
        beat["active"] = json!(agreed.epoch);
        beat["change"] = json!(agreed.change.map(staged));
    }
    beat["echo"] = json!(answer.stamp);
    Duration::from_secs_f64(answer.heartbeat_interval_ms.clamp(BEAT_MS.0, BEAT_MS.1) / 1e3)
}
