//! The rotation: evenness, offsets, interleaving, and what does and does not restart it.

mod common;
use common::*;
use tulipmount::*;

fn turns(node: &mut Node, count: usize) -> Vec<u64> {
    let turn = |node: &mut Node| {
        node.now += 5.0;
        node.serve(SAFE, 1.0).expect("sent").0
    };
    (0..count).map(|_| turn(node)).collect()
}

#[test]
fn equal_servers_take_turns_in_cyclic_order() {
    let mut node = Node::with_servers(settings(), 4);
    assert_eq!(turns(&mut node, 8), [0, 1, 2, 3, 0, 1, 2, 3]);
}

#[test]
fn each_node_starts_at_its_own_offset() {
    let mut node = Node::with_servers(Settings { node_index: 1, node_count: 7, ..settings() }, 4);
    assert_eq!(turns(&mut node, 5), [1, 2, 3, 0, 1]);
    let mut node = Node::with_servers(Settings { node_index: 6, node_count: 7, ..settings() }, 4);
    assert_eq!(turns(&mut node, 5), [2, 3, 0, 1, 2]);
}

#[test]
fn the_order_is_by_id_not_by_list_position() {
    let mut node = Node::new(settings(), vec![entry(9, 1.0), entry(2, 1.0), entry(5, 1.0)]);
    assert_eq!(turns(&mut node, 3), [2, 5, 9]);
}

#[test]
fn weighted_turns_are_interleaved() {
    let mut node = Node::new(settings(), vec![entry(0, 2.0), entry(1, 1.0), entry(2, 1.0)]);
    let order = turns(&mut node, 40);
    assert_eq!(order.iter().filter(|s| **s == 0).count(), 20);
    assert_eq!(order.iter().filter(|s| **s == 1).count(), 10);
    assert!(order.windows(3).all(|w| w.iter().any(|s| *s != w[0])), "{order:?}");
}

#[test]
fn a_weight_change_does_not_restart_the_rotation() {
    let mut node = Node::with_servers(settings(), 4);
    turns(&mut node, 2);
    node.event(Event::ListChange(vec![entry(0, 1.1)]));
    assert_eq!(turns(&mut node, 2), [2, 3]);
}

/// Regression: list changes that come faster than a round. With all nodes back at their offsets at each
/// change, the servers after the offsets got everything.
#[test]
fn a_membership_change_keeps_the_cursor() {
    let mut node = Node::with_servers(Settings { node_index: 1, ..settings() }, 3);
    assert_eq!(turns(&mut node, 2), [1, 2]);
    node.event(Event::ListChange(vec![entry(3, 1.0)]));
    assert_eq!(turns(&mut node, 8), [3, 0, 1, 2, 3, 0, 1, 2]);
    node.event(Event::ListChange(vec![Entry { state: ServerState::Gone, ..entry(1, 1.0) }]));
    assert_eq!(turns(&mut node, 4), [3, 0, 2, 3]);
}

#[test]
fn a_server_that_is_not_ready_loses_only_its_turn() {
    let mut node = Node::with_servers(settings(), 4);
    turns(&mut node, 1);
    for round in 0..3 {
        let (id, actions) = node.ask(SAFE);
        assert_eq!(sent_to(&actions), Some(ServerId(1)), "round {round}");
        node.now += 30.0;
        let actions = node.end(id, Outcome::ConnectFailed);
        assert_eq!(sent_to(&actions), Some(ServerId(2)), "a retry takes the next turn");
        node.end(id, Outcome::Success);
        assert_eq!(turns(&mut node, 2), [3, 0]);
    }
    assert_eq!(turns(&mut node, 6), [2, 3, 0, 2, 3, 0]);
}

#[test]
fn live_weights_do_not_follow_load() {
    let live = Settings { weights: Weights::Live, ..settings() };
    let mut node = Node::new(live, vec![entry(0, 1.0), entry(1, 1.0)]);
    node.event(Event::ListChange(vec![entry(0, 0.1)]));
    assert_eq!(turns(&mut node, 4), [0, 1, 0, 1], "a server listed as busy keeps its turns");
}

#[test]
fn a_server_with_slow_answers_loses_turns_gradually() {
    let mut node = Node::with_servers(settings(), 4);
    let mut sent = [0; 4];
    for round in 0..400 {
        let (id, actions) = node.ask(SAFE);
        let server = sent_to(&actions).expect("sent");
        // The listed sizes are equal, yet server 0 takes most of the SLO.
        node.now += if server.0 == 0 { 90.0 } else { 10.0 };
        node.end(id, Outcome::Success);
        if round >= 300 {
            sent[server.0 as usize] += 1;
        }
    }
    assert!(sent[0] > 0 && sent[0] < sent[1] * 2 / 3, "{sent:?}");
}

/// The servers that each of `nodes` nodes sends to in two rounds.
fn subsets(nodes: usize, servers: &[Entry]) -> Vec<Vec<u64>> {
    let subset = |number| {
        let mut node =
            Node::new(Settings { node_index: number, node_count: nodes, ..settings() }, servers.to_vec());
        let mut used = turns(&mut node, 12);
        used.sort_unstable();
        used.dedup();
        used
    };
    (0..nodes).map(subset).collect()
}

/// Regression at full size: with each node on every server, connections were nodes times servers, full
/// connection tables looked like dead processes, and no node saw any server often enough to learn from it.
#[test]
fn subsets_cover_a_large_fleet_evenly() {
    // With fewer servers, one more often appears twice in what a node reads, and a neighbour's is taken
    // instead.
    for (nodes, servers, evenness) in [(305, 60, 0.75), (751, 123, 0.75), (49, 13, 0.55), (1800, 276, 0.75)] {
        let fleet: Vec<_> = (0..servers).map(|id| entry(id * id + 7, 1.0)).collect();
        let used = subsets(nodes, &fleet);
        let mut count = std::collections::BTreeMap::new();
        for id in used.iter().flatten() {
            *count.entry(*id).or_insert(0usize) += 1;
        }
        assert_eq!(count.len(), servers as usize, "every server has nodes");
        let (min, max) = (count.values().min().expect("some"), count.values().max().expect("some"));
        assert!(used.iter().all(|m| m.len() <= 6), "small subsets");
        assert!(*min as f64 > evenness * *max as f64, "{nodes} nodes, {servers} servers: {min} to {max}");
    }
}

#[test]
fn a_list_change_moves_few_servers_between_subsets() {
    let fleet: Vec<_> = (0..60).map(|id| entry(id * id + 7, 1.0)).collect();
    let (before, after) = (subsets(300, &fleet), subsets(300, &fleet[1..]));
    let kept: usize =
        before.iter().zip(&after).map(|(b, a)| b.iter().filter(|id| a.contains(id)).count()).sum();
    let all: usize = before.iter().map(Vec::len).sum();
    assert!(kept as f64 > 0.8 * all as f64, "{kept} of {all}");
}

#[test]
fn few_nodes_use_the_whole_fleet() {
    let fleet: Vec<_> = (0..12).map(|id| entry(id, 1.0)).collect();
    assert!(subsets(4, &fleet).iter().all(|m| m.len() == 12));
}

fn sent(actions: &[Action]) -> Option<(RequestId, ServerId)> {
    actions
        .iter()
        .find_map(|a| if let Action::Send { id, server, .. } = a { Some((*id, *server)) } else { None })
}

/// Regression: with all of its subset down, a node would refuse everything while the rest of the fleet is
/// idle.
#[test]
fn a_subset_that_is_down_grows() {
    let fleet: Vec<_> = (0..60).map(|id| entry(id, 1.0)).collect();
    let mut node = Node::new(Settings { node_count: 300, ..settings() }, fleet);
    let first = turns(&mut node, 8);
    let mut served = 0;
    for _ in 0..40 {
        let mut actions = node.wait(20.0);
        actions.extend(node.ask(UNSAFE).1);
        // Queued requests may be sent in any of these steps.
        while let Some((id, server)) = sent(&actions) {
            node.now += 0.3;
            let down = first.contains(&server.0);
            actions.retain(|a| !matches!(a, Action::Send { id: other, .. } if *other == id));
            actions.extend(node.end(id, if down { Outcome::ConnectFailed } else { Outcome::Success }));
            served += usize::from(!down);
        }
    }
    assert!(served >= 38, "{served} of 40");
}
