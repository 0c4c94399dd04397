//! Messages that a replica must refuse: from other clusters and groups, for other replicas, and from a replica that
//! lost its disk.

mod support;

use std::collections::BTreeMap;

use bytes::Bytes;
use consensus::{WriteError, MAX_BODY_BYTES};
use hyper::StatusCode;
use serde_json::{json, Value};
use support::{encode_message, free_address, Group, ReplicaSlot};

/// A sender on a disk that no replica knows. `group` is the list of founding peers, in the form `id=address,...`, or
/// null.
fn sender(cluster: &str, id: u64, group: Value) -> Value {
    json!({"cluster": cluster, "id": id, "disk": "unknown-disk", "group": group, "known": {}})
}

/// A request for a vote by candidate 2, whatever the sender's id.
fn vote_request(from: Value, to: u64, term: u64) -> Bytes {
    let message =
        json!({"vote": {"leader_id": {"term": term, "node_id": 2}, "committed": false}, "last_log_id": null});
    encode_message(json!({"from": from, "to": to, "message": message}))
}

async fn send(slot: &ReplicaSlot, path: &'static str, body: Bytes) -> (StatusCode, String) {
    let (status, body) = slot
        .call(move |replica| async move { replica.handle_message(path, body).await })
        .await
        .expect("the replica is not running");
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test]
async fn foreign_messages_are_refused_with_a_reason() {
    let group = Group::new(3, |_| {});
    let slot = group.slot(1);
    slot.start().expect("the replica did not start");
    for (body, expected_status, reason) in [
        (vote_request(sender("other", 2, json!(null)), 1, 9), StatusCode::CONFLICT, "cluster \\\"other\\\""),
        (vote_request(sender("test", 2, json!("7=x")), 1, 9), StatusCode::CONFLICT, "formed by 7=x"),
        (vote_request(sender("test", 1, json!(null)), 1, 9), StatusCode::CONFLICT, "from its own id"),
        (
            vote_request(sender("test", 2, json!(null)), 3, 9),
            StatusCode::CONFLICT,
            "for replica 3, and this is replica 1",
        ),
        (
            encode_message(json!({"from": sender("other", 2, json!(null)), "to": 1, "message": 5})),
            StatusCode::CONFLICT,
            "other",
        ),
        (
            encode_message(json!({"from": sender("test", 2, json!(null)), "to": 1, "message": 5})),
            StatusCode::BAD_REQUEST,
            "not a message",
        ),
        (Bytes::from_static(b"\xff{"), StatusCode::BAD_REQUEST, "not a message"),
        (vec![b' '; MAX_BODY_BYTES + 1].into(), StatusCode::PAYLOAD_TOO_LARGE, "at most"),
    ] {
        let (status, response) = send(slot, "/raft/vote", body.clone()).await;
        assert_eq!(status, expected_status, "{response}");
        assert!(response.contains(reason), "{response}");
        for path in ["/raft/append", "/raft/snapshot"] {
            assert!(send(slot, path, body.clone()).await.0.is_client_error(), "{path}");
        }
    }
    let (status, _) = send(slot, "/raft/other", Bytes::new()).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert!(slot.replica().expect("the replica is not running").status().term < 9);
}

/// If a replica of another cluster listens at a peer's address, the two refuse each other, and the peer counts as
/// missing.
#[tokio::test]
async fn a_replica_of_another_cluster_does_not_count() {
    let group = Group::new(3, |config| {
        config.write_ms = 500;
        if config.id == 3 {
            config.cluster = "other".to_owned();
        }
    });
    group.slot(1).start().expect("the replica did not start");
    group.slot(3).start().expect("the replica did not start");
    let refused = |status: &consensus::Status| {
        status.last_refusal.as_ref().is_some_and(|line| line.contains("cluster"))
    };
    group.wait_for_status(1, refused).await;
    group.wait_for_status(3, refused).await;
    assert_eq!(group.slot(1).replica().expect("the replica is not running").status().leader, None);
    group.slot(2).start().expect("the replica did not start");
    let first = group.write().await;
    assert_eq!(group.slot(3).state().applied, []);
    group.slot(3).kill();
    group.assert_agreement(&[first]).await;
}

/// A replica that lost its disk neither votes nor acknowledges under its old id, even if the group would have a majority
/// with it. No acknowledged write is lost, and it is replaced under a new id.
#[tokio::test]
async fn a_replica_that_lost_its_disk_does_not_count() {
    let mut group = Group::started(3, |config| config.write_ms = 500);
    let mut acknowledged = vec![group.write().await];
    let leader = group.leader().await;
    let others: Vec<u64> = group.slots.keys().copied().filter(|id| *id != leader).collect();
    let (behind, wiped) = (others[0], others[1]);
    group.wait_until_applied(behind, acknowledged[0].1).await;
    group.slot(behind).kill();
    acknowledged.push(group.write().await);
    group.slot(leader).kill();
    group.slot(wiped).kill();

    // Its disk held the last acknowledged write; on an empty disk it would help to elect the replica that is behind.
    let empty_slot = ReplicaSlot::new(group.slot(wiped).config.clone());
    let old_slot = group.slots.insert(wiped, empty_slot);
    group.slot(behind).start().expect("the replica did not start again");
    group.slot(wiped).start().expect("the replica did not start on an empty disk");
    let refused =
        |status: &consensus::Status| status.last_refusal.as_ref().is_some_and(|line| line.contains("disk"));
    group.wait_for_status(behind, refused).await;
    group.wait_for_status(wiped, refused).await;
    for id in [behind, wiped] {
        let confirmed =
            group.slot(id).call(|replica| async move { replica.confirm_leadership().await }).await;
        assert!(matches!(confirmed, Some(Err(_))), "{confirmed:?}");
    }

    // With the other intact replica the group continues, and the wiped one stays out until it is replaced.
    group.slot(leader).start().expect("the replica did not start again");
    acknowledged.push(group.write().await);
    assert_eq!(group.slot(wiped).state().applied, []);
    group.slot(wiped).kill();
    let address = free_address();
    let mut config = group.slot(behind).config.clone();
    (config.id, config.address, config.peers) = (4, address, BTreeMap::new());
    group.slots.insert(4, ReplicaSlot::new(config));
    group.slot(4).start().expect("the replica did not start");
    group.at_leader(move |replica| async move { replica.remove_peer(wiped).await }).await;
    group.at_leader(move |replica| async move { replica.set_peer(4, address).await }).await;
    let slot = group.slot(group.leader().await);
    let added_again = slot.call(move |replica| async move { replica.set_peer(wiped, address).await }).await;
    assert!(
        matches!(&added_again, Some(Err(WriteError::InvalidChange { reason })) if reason.contains("never used")),
        "{added_again:?}"
    );
    group.assert_agreement(&acknowledged).await;
    drop(old_slot);
}

/// Replicas that were given different peers at their first start refuse each other.
#[tokio::test]
async fn groups_formed_by_different_peers_do_not_mix() {
    let group = Group::new(3, |config| {
        if config.id == 3 {
            config.peers.insert(4, free_address());
        }
    });
    for slot in group.slots.values() {
        slot.start().expect("the replica did not start");
    }
    let first = group.write().await;
    group
        .wait_for_status(3, |status| {
            status.last_refusal.as_ref().is_some_and(|line| line.contains("formed by"))
        })
        .await;
    assert_eq!(group.slot(3).state().applied, []);
    group.slot(3).kill();
    group.assert_agreement(&[first]).await;
}
