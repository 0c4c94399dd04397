//! Measures how long writes stop when the leader is killed; run by hand.

mod support;

use std::time::{Duration, Instant};

use support::Group;

#[tokio::test]
#[ignore = "a measurement of some 40 s: cargo test -p consensus --test outage -- --ignored --nocapture"]
async fn writes_stop_briefly_when_the_leader_is_killed() {
    let group = Group::started(3, |_| {});
    let mut acknowledged = vec![group.write().await];
    let mut gaps = Vec::new();
    for _ in 0..20 {
        let leader = group.leader().await;
        for id in group.slots.keys() {
            group.wait_until_applied(*id, acknowledged.last().expect("no write was acknowledged").1).await;
        }
        let killed = Instant::now();
        group.slot(leader).kill();
        acknowledged.push(group.write().await);
        gaps.push(killed.elapsed());
        group.slot(leader).start().expect("the replica did not start again");
        acknowledged.push(group.write().await);
    }
    gaps.sort();
    println!("time without writes over 20 kills: p50 {:?}, p99 {:?}", gaps[9], gaps[19]);
    assert!(gaps[19] < Duration::from_secs(5), "{gaps:?}");
    group.assert_agreement(&acknowledged).await;
}
