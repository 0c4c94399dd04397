//! Policy changes while links between single nodes and replicas fail: links cut in one direction, a deposed leader that
//! does not know that it was deposed, an upgrade during a change, and messages that arrive late or twice.
//!
//! Each test was seen to fail with a faulty build: nodes that serve on after their promise has expired (nodes cut off
//! after staging), nodes that ignore their lease (the fenced fleet), a leader that answers without confirming that it
//! still leads (the deposed leader), commits without silent nodes (all tests that wait for an abort), the older process
//! removed from the members when the newer one joins (the upgrade), stage replies that count for any change (late or
//! repeated replies), and late updates that replace newer ones (repeated heartbeats).

mod load;
#[path = "../../../tests/peers/mod.rs"]
mod peers;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fixture::{wait_for, Group, GroupClient, GroupTimings, HttpResponse, LinkSource};
use load::{check_epochs, send_request, LoadClient};
use peers::{config_with_admin, host, Node, Registry, TestServer};
use relay::{Forwarding, LinkFault};
use serde_json::{json, Value};

/// How long a node's messages are held back: long enough for a few heartbeats, and less than a promise lasts.
const HOLD_TIME: Duration = Duration::from_millis(1000);
/// Nothing reaches the replica.
const REQUESTS_BLOCKED: LinkFault =
    LinkFault { to_target: Forwarding::Block, from_target: Forwarding::Pass, refuse_connections: false };
/// Nothing comes back from the replica.
const ANSWERS_BLOCKED: LinkFault =
    LinkFault { to_target: Forwarding::Pass, from_target: Forwarding::Block, refuse_connections: false };
/// Data is accepted in both directions, and discarded.
const DATA_DISCARDED: LinkFault =
    LinkFault { to_target: Forwarding::Discard, from_target: Forwarding::Discard, refuse_connections: false };
const NO_FAULT: LinkFault =
    LinkFault { to_target: Forwarding::Pass, from_target: Forwarding::Pass, refuse_connections: false };

/// A group of three replicas, and nodes with a client each.
struct Fleet {
    group: Group,
    client: GroupClient,
    terms: GroupTimings,
    nodes: Vec<Node>,
    load: Vec<LoadClient>,
    configs: Vec<Value>,
    /// Two processes serve at the first node's address, and each switches to a new epoch by itself.
    upgraded: bool,
    _registry: Registry,
    _server: TestServer,
}

impl Fleet {
    fn start(nodes: usize, terms: GroupTimings) -> Self {
        let mut fleet = Self::without_nodes(nodes, terms);
        fleet.nodes = fleet.configs.iter().map(Node::start_ready).collect();
        fleet.load = fleet.nodes.iter().map(|node| LoadClient::start(node.address)).collect();
        fleet
    }

    fn without_nodes(nodes: usize, terms: GroupTimings) -> Self {
        let group = Group::start_with_links(env!("CARGO_BIN_EXE_stoneshift").into(), 3, nodes, terms);
        let server = TestServer::ok("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let config = |node: usize| {
            let link_address = |replica| group.link(LinkSource::Node(node), replica).address().to_string();
            let mut config = config_with_admin(&registry);
            config["name"] = json!(format!("n{node}"));
            // Different seeds make the nodes watch at different replicas.
            config["seed"] = json!(format!("{:016x}", node + 1));
            config["settings"]["Me"] = json!(node);
            config["settings"]["PeersTotal"] = json!(nodes);
            config["control"] =
                json!({"replicas": (0..3).map(link_address).collect::<Vec<_>>(), "start": "wait"});
            config
        };
        let configs = (0..nodes).map(config).collect();
        let (client, nodes, load) = (group.client(), Vec::new(), Vec::new());
        let upgraded = false;
        Self { group, client, terms, nodes, load, configs, upgraded, _registry: registry, _server: server }
    }

    /// Sets the fault of a node's links to all replicas.
    fn set_fault(&self, node: usize, fault: LinkFault) {
        self.group.set_node_fault(node, fault);
    }

    /// Removes the faults of all nodes' links.
    fn clear_faults(&self) {
        (0..self.configs.len()).for_each(|node| self.set_fault(node, NO_FAULT));
    }

    /// Proposes a change at a replica. Returns the answer, if there is one.
    fn propose_at(&self, replica: usize) -> Option<HttpResponse> {
        let base = self.client.policy(replica)?["epoch"].as_u64()?;
        self.client.propose(replica, base, &json!({"Limits": {"AttemptsCap": 1 + base % 3}}))
    }

    fn propose(&self) -> Option<HttpResponse> {
        self.propose_at(self.client.leader()?)
    }

    /// Proposes changes until one is committed. Returns its epoch.
    fn commit(&self) -> u64 {
        wait_for("a change is committed", || epoch(&self.propose()?))
    }

    /// Proposes a change while one node is suspended, so that the change can't end. Returns once this number of processes
    /// have staged it, with the leader and the thread that waits for the outcome.
    fn stage(&self, stopped: usize, staged: usize) -> (usize, JoinHandle<Option<HttpResponse>>) {
        wait_for("others have staged a change", || {
            let leader = self.client.leader()?;
            let base = self.client.policy(leader)?["epoch"].as_u64()?;
            let client = self.client.clone();
            self.nodes[stopped].signal("-STOP");
            let proposal = std::thread::spawn(move || {
                client.propose(leader, base, &json!({"Limits": {"AttemptsCap": 1 + base % 3}}))
            });
            // The change is aborted if staging takes too long.
            while !proposal.is_finished() {
                if self.staged(leader) == Some(staged) {
                    return Some((leader, proposal));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            self.nodes[stopped].signal("-CONT");
            None
        })
    }

    /// The number of processes that have staged the change, by the leader's state.
    fn staged(&self, leader: usize) -> Option<usize> {
        let known = self.client.request(leader, "GET /v1/nodes")?.body;
        Some(known["nodes"].as_array()?.iter().filter(|node| node["staged"] == true).count())
    }

    /// The leader's entries for the processes of a node.
    fn members(&self, node: usize) -> Option<Vec<Value>> {
        let known = self
            .client
            .request(self.client.leader()?, "GET /v1/nodes")
            .filter(|known| known.status == 200)?;
        let of = |known: &&Value| known["name"] == format!("n{node}");
        Some(known.body["nodes"].as_array()?.iter().filter(of).cloned().collect())
    }

    fn wait_until_serves_under(&self, node: usize, epoch: u64) {
        wait_for("a node serves under that epoch", || (self.ask(node)? == (200, Some(epoch))).then_some(()));
    }

    fn wait_until_all_serve_under(&self, epoch: u64) {
        (0..self.nodes.len()).for_each(|node| self.wait_until_serves_under(node, epoch));
    }

    fn wait_until_refuses(&self, node: usize) {
        wait_for("a node refuses requests", || (self.ask(node)? == (503, None)).then_some(()));
    }

    /// The status and the epoch of a node's answer to one request.
    fn ask(&self, node: usize) -> Option<(u16, Option<u64>)> {
        send_request(self.nodes[node].address).ok()
    }

    /// Removes all faults, checks that one more change reaches all nodes, stops the load, and checks the epochs of the
    /// admitted requests and of the nodes' logs.
    fn stop_and_check(self) {
        self.clear_faults();
        let last = self.commit();
        self.wait_until_all_serve_under(last);
        let known = wait_for("the leader knows all changes", || {
            self.client.policy(self.client.leader()?).filter(|known| known["epoch"] == last)
        });
        let history = known["ended"].as_array().expect("a list");
        let done = history.iter().filter(|change| change["aborted"].is_null());
        let committed: BTreeSet<u64> =
            done.map(|change| change["epoch"].as_u64().expect("a number")).chain([0]).collect();
        for node in &self.nodes {
            let epochs = node.policy_epochs();
            assert!(epochs.is_sorted(), "a node went back: {epochs:?}");
        }
        let mut admitted: Vec<_> = self.load.into_iter().map(LoadClient::stop).collect();
        println!("{:?} admitted, {committed:?} committed", admitted.iter().map(Vec::len).collect::<Vec<_>>());
        if self.upgraded {
            // It is not known which of the two processes gave an answer, so their order can't be checked.
            let first = admitted.remove(0);
            admitted.extend(first.into_iter().map(|request| vec![request]));
        }
        check_epochs(&admitted, &committed, self.terms.promise);
    }
}

/// The epoch of a committed change; `None` for another outcome.
fn epoch(answer: &HttpResponse) -> Option<u64> {
    (answer.status == 200).then(|| answer.body["epoch"].as_u64()).flatten()
}

/// The silent nodes for which a change was aborted.
fn silent_nodes(answer: &HttpResponse) -> Option<Vec<&str>> {
    answer.body["why"]["silent"]["nodes"].as_array()?.iter().map(Value::as_str).collect()
}

/// Proposes changes until one is aborted for exactly these silent nodes, and checks that none is committed before.
fn wait_until_aborted_for(fleet: &Fleet, nodes: &[&str]) {
    wait_for("a change is aborted for the silent nodes", || {
        let answer = fleet.propose()?;
        assert_ne!(answer.status, 200, "committed without {nodes:?}: {answer:?}");
        let message = answer.body["error"].as_str().unwrap_or_default();
        (silent_nodes(&answer)? == nodes && nodes.iter().all(|node| message.contains(node))).then_some(())
    });
}

#[test]
fn nodes_cut_off_before_a_change_abort_it_are_reported_and_keep_serving() {
    let fleet = Fleet::start(4, GroupTimings::SHORT);
    let epoch = fleet.commit();
    fleet.wait_until_all_serve_under(epoch);
    for (node, fault) in [(1, REQUESTS_BLOCKED), (2, ANSWERS_BLOCKED), (3, DATA_DISCARDED)] {
        fleet.set_fault(node, fault);
    }
    wait_until_aborted_for(&fleet, &["n1", "n2", "n3"]);
    fleet.wait_until_all_serve_under(epoch);
    fleet.stop_and_check();
}

/// A commit may rely on the promise that these nodes gave, and they do not receive the outcome of the change.
#[test]
fn nodes_cut_off_after_staging_admit_nothing_once_their_promise_has_expired() {
    let fleet = Fleet::start(4, GroupTimings::SHORT);
    let old = fleet.commit();
    fleet.wait_until_all_serve_under(old);
    let new = wait_for("a change is committed past the nodes that are cut off", || {
        let (_, proposal) = fleet.stage(0, 3);
        for (node, fault) in [(1, REQUESTS_BLOCKED), (2, ANSWERS_BLOCKED), (3, DATA_DISCARDED)] {
            fleet.set_fault(node, fault);
        }
        fleet.nodes[0].signal("-CONT");
        let outcome = proposal.join().expect("no panic");
        let committed = outcome.as_ref().and_then(epoch);
        if committed.is_none() {
            fleet.clear_faults();
        }
        committed
    });
    fleet.wait_until_serves_under(0, new);
    // Node 1 still receives updates of its watch.
    wait_for("a node that can only receive leaves the old epoch", || {
        fleet.ask(1).filter(|answer| *answer != (200, Some(old)))
    });
    fleet.wait_until_refuses(2);
    fleet.wait_until_refuses(3);
    fleet.clear_faults();
    fleet.wait_until_all_serve_under(new);
    fleet.stop_and_check();
}

/// With fencing, a change goes on without nodes that the group does not hear from, once their leases have expired. A node
/// whose heartbeats arrive but which gets no answers aborts the change by its name, and admits nothing either.
#[test]
fn with_fencing_a_change_is_committed_without_nodes_that_are_cut_off() {
    let fleet = Fleet::start(4, GroupTimings::FENCED);
    let old = fleet.commit();
    fleet.wait_until_all_serve_under(old);
    fleet.set_fault(2, ANSWERS_BLOCKED);
    wait_until_aborted_for(&fleet, &["n2"]);
    fleet.wait_until_refuses(2);
    fleet.set_fault(2, NO_FAULT);
    fleet.wait_until_serves_under(2, old);
    fleet.set_fault(1, REQUESTS_BLOCKED);
    fleet.set_fault(3, DATA_DISCARDED);
    let new = fleet.commit();
    for node in [1, 3] {
        assert_eq!(fleet.ask(node), Some((503, None)), "n{node} admits requests past its lease");
        wait_for("the node is reported as silent", || {
            fleet.members(node)?.iter().all(|known| known["silent"] == true).then_some(())
        });
    }
    fleet.wait_until_serves_under(0, new);
    fleet.clear_faults();
    fleet.wait_until_all_serve_under(new);
    fleet.stop_and_check();
}

/// Sets the fault of all links between the leader with the first two nodes and the other replicas.
fn set_partition_fault(fleet: &Fleet, leader: usize, others: &[usize], fault: LinkFault) {
    for &other in others {
        for party in [LinkSource::Node(0), LinkSource::Node(1), LinkSource::Replica(leader)] {
            fleet.group.link(party, other).set_fault(fault);
        }
        fleet.group.link(LinkSource::Replica(other), leader).set_fault(fault);
    }
}

/// A leader is cut off together with the nodes of its zone during a change, after the nodes have staged it. It still
/// believes that it leads.
#[test]
fn a_deposed_leader_grants_no_lease_and_commits_nothing() {
    let fleet = Fleet::start(4, GroupTimings::FENCED);
    fleet.wait_until_all_serve_under(fleet.commit());
    let (old, leader, others, proposal) = wait_for("a leader is cut off during a change", || {
        let (leader, proposal) = fleet.stage(3, 3);
        let others: Vec<usize> = (0..3).filter(|&replica| replica != leader).collect();
        set_partition_fault(&fleet, leader, &others, LinkFault::symmetric(Forwarding::Block));
        fleet.nodes[3].signal("-CONT");
        let known = fleet.client.policy(leader).filter(|known| !known["change"].is_null());
        if let Some(known) = known {
            return Some((known["epoch"].as_u64()?, leader, others, proposal));
        }
        // The change had ended before the cut.
        set_partition_fault(&fleet, leader, &others, NO_FAULT);
        None
    });
    let client = fleet.client.clone();
    let late =
        std::thread::spawn(move || client.propose(leader, old, &json!({"Limits": {"AttemptsCap": 1}})));
    let new = wait_for("a change is committed by the others", || {
        let leads = |replica: usize| {
            let status = fleet.client.request(replica, "GET /v1/status")?.body;
            (status["replica"]["role"] == "leader").then_some(replica)
        };
        let next = others.iter().find_map(|&replica| leads(replica))?;
        // The change that was under way, or another one.
        let known = fleet.client.policy(next)?["epoch"].as_u64()?;
        if known > old {
            Some(known)
        } else {
            epoch(&fleet.propose_at(next)?)
        }
    });
    for node in [0, 1] {
        assert_eq!(
            fleet.ask(node),
            Some((503, None)),
            "n{node} admits requests by a lease of a deposed leader"
        );
    }
    let known = fleet.client.policy(leader).expect("it answers");
    assert_eq!(known["epoch"], old, "{known}");
    let late = late.join().expect("no panic");
    assert!(late.as_ref().and_then(epoch).is_none(), "{late:?}");
    fleet.wait_until_serves_under(2, new);
    set_partition_fault(&fleet, leader, &others, NO_FAULT);
    // If the proposer learned of a commit after all, it is the commit of the other replicas.
    let outcome = proposal.join().expect("no panic");
    assert!(outcome.as_ref().and_then(epoch).is_none_or(|epoch| epoch <= new), "{outcome:?}");
    fleet.wait_until_all_serve_under(new);
    fleet.stop_and_check();
}

/// Both processes of a node are members from the newer one's join until the older one has closed its session. One change
/// is staged by the older process and applied by both; another one is aborted as the older process is suspended.
#[test]
fn during_an_upgrade_both_processes_take_part_in_a_change() {
    let mut fleet = Fleet::without_nodes(2, GroupTimings::SHORT);
    fleet.upgraded = true;
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let wait_ready =
        |node: &Node| wait_for("it is ready", || (node.admin_call("GET /ready").0 == 200).then_some(()));
    let mut older = Node::start_inheriting(&fleet.configs[0], &held, &[]);
    wait_ready(&older);
    fleet.nodes = vec![Node::start_ready(&fleet.configs[1])];
    fleet.load = vec![LoadClient::start(older.address), LoadClient::start(fleet.nodes[0].address)];
    let (newer, new) = wait_for("a process joins between staged and active", || {
        let (_, proposal) = fleet.stage(0, 1);
        let newer = Node::start_inheriting(&fleet.configs[0], &held, &[]);
        wait_for("both are members", || fleet.members(0).filter(|members| members.len() == 2));
        let under_way = !proposal.is_finished();
        fleet.nodes[0].signal("-CONT");
        let outcome = proposal.join().expect("no panic");
        Some((newer, outcome.as_ref().and_then(epoch).filter(|_| under_way)?))
    });
    let wait_applied = |node: &Node, epoch: u64| {
        wait_for("a process applies that epoch", || {
            node.has_logged(&format!("applies epoch {epoch}")).then_some(())
        });
    };
    wait_ready(&newer);
    wait_applied(&older, new);
    wait_applied(&newer, new);

    older.signal("-STOP");
    wait_until_aborted_for(&fleet, &["n0"]);
    assert_eq!(fleet.members(0).map(|members| members.len()), Some(2));
    older.signal("-CONT");
    let new = fleet.commit();
    wait_applied(&older, new);
    wait_applied(&newer, new);

    older.terminate();
    assert_eq!(older.wait_exit_code(), Some(0));
    wait_for("the older process is no longer a member", || (fleet.members(0)?.len() == 1).then_some(()));
    fleet.nodes.push(newer);
    fleet.stop_and_check();
}

/// A node's stage replies for one change are held back, and arrive late and repeatedly while another change is under way.
/// The node is suspended by then and knows nothing of that change.
#[test]
fn late_or_repeated_stage_replies_count_only_for_their_own_change() {
    let fleet = Fleet::start(2, GroupTimings::SHORT);
    fleet.wait_until_all_serve_under(fleet.commit());
    let propose = |leader: usize| {
        let client = fleet.client.clone();
        let base = client.policy(leader)?["epoch"].as_u64()?;
        let proposal =
            std::thread::spawn(move || client.propose(leader, base, &json!({"Limits": {"AttemptsCap": 2}})));
        wait_for("one node has staged a change", || {
            (proposal.is_finished() || fleet.staged(leader) == Some(1)).then_some(())
        });
        Some(proposal)
    };
    let outcome = wait_for("a change is under way after a cancelled one", || {
        let leader = fleet.client.leader()?;
        // Each heartbeat times out, and is sent again on another connection while the one before is still in transit.
        fleet
            .group
            .link(LinkSource::Node(1), leader)
            .set_fault(LinkFault { to_target: Forwarding::Buffer, ..NO_FAULT });
        let first = propose(leader)?;
        std::thread::sleep(HOLD_TIME);
        fleet.nodes[1].signal("-STOP");
        let cancelled = fleet.client.request(leader, "DELETE /v1/policy/change");
        let first = first.join().expect("no panic");
        let second = propose(leader);
        fleet.group.link(LinkSource::Node(1), leader).set_fault(NO_FAULT);
        let outcome = second.and_then(|second| second.join().expect("no panic"));
        fleet.nodes[1].signal("-CONT");
        assert!(first.as_ref().and_then(epoch).is_none(), "committed without a stage reply: {first:?}");
        outcome.filter(|_| cancelled.is_some_and(|answer| answer.status == 200))
    });
    assert!(epoch(&outcome).is_none(), "committed on a reply to another change: {outcome:?}");
    let new = fleet.commit();
    fleet.wait_until_all_serve_under(new);
    fleet.stop_and_check();
}

/// Connections are reset after a heartbeat has arrived or while it is in transit, so that it is sent again; answers and
/// watch updates come late.
#[test]
fn repeated_heartbeats_and_late_answers_do_not_change_the_outcome() {
    let fleet = Fleet::start(4, GroupTimings::SHORT);
    // Watch updates of two changes arrive long after the leader has answered with the second one.
    let leader = fleet.client.wait_for_leader();
    for (node, replica) in (0..4).flat_map(|node| (0..3).map(move |replica| (node, replica))) {
        if replica != leader {
            fleet
                .group
                .link(LinkSource::Node(node), replica)
                .set_fault(LinkFault { from_target: Forwarding::Buffer, ..NO_FAULT });
        }
    }
    fleet.commit();
    fleet.wait_until_all_serve_under(fleet.commit());
    fleet.clear_faults();

    let start = Instant::now();
    let mut round = 0;
    std::thread::scope(|scope| {
        let changes = scope.spawn(|| (0..5).map(|_| fleet.commit()).collect::<Vec<_>>());
        while !changes.is_finished() && start.elapsed() < fixture::WAIT_TIMEOUT {
            round += 1;
            fleet.set_fault(1, LinkFault { from_target: Forwarding::Buffer, ..NO_FAULT });
            fleet.set_fault(2, LinkFault { from_target: Forwarding::Buffer, ..NO_FAULT });
            fleet.set_fault(3, LinkFault { to_target: Forwarding::Buffer, ..NO_FAULT });
            std::thread::sleep(Duration::from_millis(30 + round * 37 % 200));
            // Node 1's heartbeats have arrived and node 3's are lost; the answers held back for node 2 come late.
            for replica in 0..3 {
                fleet.group.link(LinkSource::Node(1), replica).reset_connections();
                fleet.group.link(LinkSource::Node(3), replica).reset_connections();
            }
            fleet.clear_faults();
            std::thread::sleep(Duration::from_millis(50 + round * 53 % 200));
        }
        let epochs = changes.join().expect("no panic");
        assert!(epochs.windows(2).all(|pair| pair[0] < pair[1]), "{epochs:?}");
    });
    for node in 0..4 {
        assert_eq!(fleet.members(node).map(|members| members.len()), Some(1), "n{node} is one member");
    }
    fleet.stop_and_check();
}
