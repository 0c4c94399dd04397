//! Messages that must not count: of other clusters and groups, for others, from a lost disk; late and repeated ones.

mod support;

use std::collections::BTreeMap;

use bytes::Bytes;
use consensus::{WriteError, MAX_BODY_BYTES};
use hyper::StatusCode;
use serde_json::{json, Value};
use support::{free, letter, Group, Place};

fn sender(cluster: &str, id: u64, group: Value) -> Value {
    json!({"cluster": cluster, "id": id, "disk": "feed", "group": group, "known": {}})
}

fn vote(from: Value, to: u64, term: u64) -> Bytes {
    let message =
        json!({"vote": {"leader_id": {"term": term, "node_id": 2}, "committed": false}, "last_log_id": null});
    letter(json!({"from": from, "to": to, "message": message}))
}

async fn ask(place: &Place, path: &'static str, body: Bytes) -> (StatusCode, String) {
    let (status, body) = place
        .call(move |replica| async move { replica.handle_message(path, body).await })
        .await
        .expect("it runs");
    (status, String::from_utf8_lossy(&body).into_owned())
}

#[tokio::test]
async fn messages_of_others_are_refused_by_name() {
    let group = Group::new(3, |_| {});
    let place = group.place(1);
    place.start().expect("it starts");
    for (body, status, name) in [
        (vote(sender("other", 2, json!(null)), 1, 9), StatusCode::CONFLICT, "cluster \\\"other\\\""),
        (vote(sender("test", 2, json!("7=x")), 1, 9), StatusCode::CONFLICT, "formed by 7=x"),
        (vote(sender("test", 1, json!(null)), 1, 9), StatusCode::CONFLICT, "answers itself"),
        (
            vote(sender("test", 2, json!(null)), 3, 9),
            StatusCode::CONFLICT,
            "for replica 3, and this is replica 1",
        ),
        (
            letter(json!({"from": sender("other", 2, json!(null)), "to": 1, "message": 5})),
            StatusCode::CONFLICT,
            "other",
        ),
        (
            letter(json!({"from": sender("test", 2, json!(null)), "to": 1, "message": 5})),
            StatusCode::BAD_REQUEST,
            "not a message",
        ),
        (Bytes::from_static(b"\xff{"), StatusCode::BAD_REQUEST, "not a message"),
        (vec![b' '; MAX_BODY_BYTES + 1].into(), StatusCode::PAYLOAD_TOO_LARGE, "at most"),
    ] {
        let (got, answer) = ask(place, "/raft/vote", body.clone()).await;
        assert_eq!(got, status, "{answer}");
        assert!(answer.contains(name), "{answer}");
        for path in ["/raft/append", "/raft/snapshot"] {
            assert!(ask(place, path, body.clone()).await.0.is_client_error(), "{path}");
        }
    }
    let (status, _) = ask(place, "/raft/other", Bytes::new()).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert!(place.replica().expect("it runs").status().term < 9);
}

/// Two clusters that share an address list never mix: a place of one that is served by the other is a replica less.
#[tokio::test]
async fn a_replica_of_another_cluster_does_not_count() {
    let group = Group::new(3, |config| {
        config.write_ms = 500;
        if config.id == 3 {
            config.cluster = "other".to_owned();
        }
    });
    group.place(1).start().expect("it starts");
    group.place(3).start().expect("it starts");
    let refused = |status: &consensus::Status| {
        status.last_refusal.as_ref().is_some_and(|line| line.contains("cluster"))
    };
    group.status(1, refused).await;
    group.status(3, refused).await;
    assert_eq!(group.place(1).replica().expect("it runs").status().leader, None);
    group.place(2).start().expect("it starts");
    let first = group.write().await;
    assert_eq!(group.place(3).book().notes, []);
    group.place(3).kill();
    group.agree(&[first]).await;
}

/// A replica that lost its disk neither votes nor acknowledges under its old id, though the group would have a majority
/// with it; nothing that was acknowledged is lost, and it is replaced under a new id.
#[tokio::test]
async fn a_replica_that_lost_its_disk_does_not_count() {
    let mut group = Group::started(3, |config| config.write_ms = 500);
    let mut acknowledged = vec![group.write().await];
    let leader = group.leader().await;
    let others: Vec<u64> = group.places.keys().copied().filter(|id| *id != leader).collect();
    let (behind, lost) = (others[0], others[1]);
    group.applied(behind, acknowledged[0].1).await;
    group.place(behind).kill();
    acknowledged.push(group.write().await);
    group.place(leader).kill();
    group.place(lost).kill();

    // With its disk it has what was acknowledged; on an empty one it would make a leader of the one that is behind.
    let wiped = Place::new(group.place(lost).config.clone());
    let old = group.places.insert(lost, wiped);
    group.place(behind).start().expect("it starts again");
    group.place(lost).start().expect("it starts on an empty disk");
    let refused =
        |status: &consensus::Status| status.last_refusal.as_ref().is_some_and(|line| line.contains("disk"));
    group.status(behind, refused).await;
    group.status(lost, refused).await;
    for id in [behind, lost] {
        let confirmed =
            group.place(id).call(|replica| async move { replica.confirm_leadership().await }).await;
        assert!(matches!(confirmed, Some(Err(_))), "{confirmed:?}");
    }

    // The other one with a disk comes back: the group goes on, and the wiped one stays out until it is replaced.
    group.place(leader).start().expect("it starts again");
    acknowledged.push(group.write().await);
    assert_eq!(group.place(lost).book().notes, []);
    group.place(lost).kill();
    let address = free();
    let mut config = group.place(behind).config.clone();
    (config.id, config.address, config.peers) = (4, address, BTreeMap::new());
    group.places.insert(4, Place::new(config));
    group.place(4).start().expect("it starts");
    group.at_leader(move |replica| async move { replica.remove_peer(lost).await }).await;
    group.at_leader(move |replica| async move { replica.set_peer(4, address).await }).await;
    let place = group.place(group.leader().await);
    let again = place.call(move |replica| async move { replica.set_peer(lost, address).await }).await;
    assert!(
        matches!(&again, Some(Err(WriteError::InvalidChange { reason })) if reason.contains("never used")),
        "{again:?}"
    );
    group.agree(&acknowledged).await;
    drop(old);
}

/// Replicas that were given other peers at their first start refuse each other.
#[tokio::test]
async fn groups_formed_by_other_peers_do_not_mix() {
    let group = Group::new(3, |config| {
        if config.id == 3 {
            config.peers.insert(4, free());
        }
    });
    for place in group.places.values() {
        place.start().expect("it starts");
    }
    let first = group.write().await;
    group
        .status(3, |status| status.last_refusal.as_ref().is_some_and(|line| line.contains("formed by")))
        .await;
    assert_eq!(group.place(3).book().notes, []);
    group.place(3).kill();
    group.agree(&[first]).await;
}
