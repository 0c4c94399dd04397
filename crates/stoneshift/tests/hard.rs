//! Changes of policy while links between single nodes and replicas fail: one-way cuts, a leader that was deposed and does
//! not know it, an upgrade in the middle, messages that come late or twice.
//!
//! Seen to fail, each under throw-away edits: no stop in doubt (cut off once they have staged), no heed of the lease (the
//! fenced fleet), answers without a confirm (the deposed leader), a commit without the silent (all that wait for an
//! abort), the older process out at the newcomer's join (the upgrade), a word that counts for any change (late or twice),
//! late news taken for the newest (beats).

mod load;
#[path = "../../../tests/peers/mod.rs"]
mod peers;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fixture::{wait_for, Group, GroupClient, GroupTimings, HttpResponse, LinkSource};
use load::{ask, judge, Client};
use peers::{host, operated, Node, Peer, Registry};
use relay::{Forwarding, LinkFault};
use serde_json::{json, Value};

/// How long what a node says is held: long enough for a few tries, and less than a promise lasts.
const LATE: Duration = Duration::from_millis(1000);
/// Nothing gets to the replica.
const THERE: LinkFault =
    LinkFault { to_target: Forwarding::Block, from_target: Forwarding::Pass, refuse_connections: false };
/// Nothing comes back from it.
const BACK: LinkFault =
    LinkFault { to_target: Forwarding::Pass, from_target: Forwarding::Block, refuse_connections: false };
/// All is taken, and lost.
const HOLE: LinkFault =
    LinkFault { to_target: Forwarding::Discard, from_target: Forwarding::Discard, refuse_connections: false };
const NONE: LinkFault =
    LinkFault { to_target: Forwarding::Pass, from_target: Forwarding::Pass, refuse_connections: false };

/// Three replicas, and nodes with a client each.
struct Fleet {
    group: Group,
    calls: GroupClient,
    terms: GroupTimings,
    nodes: Vec<Node>,
    clients: Vec<Client>,
    configs: Vec<Value>,
    /// Two processes serve at the first node's address, and each changes over by itself.
    upgraded: bool,
    _registry: Registry,
    _server: Peer,
}

impl Fleet {
    fn start(nodes: usize, terms: GroupTimings) -> Self {
        let mut fleet = Self::without_nodes(nodes, terms);
        fleet.nodes = fleet.configs.iter().map(Node::ready).collect();
        fleet.clients = fleet.nodes.iter().map(|node| Client::of(node.address)).collect();
        fleet
    }

    fn without_nodes(nodes: usize, terms: GroupTimings) -> Self {
        let group = Group::start_with_links(env!("CARGO_BIN_EXE_stoneshift").into(), 3, nodes, terms);
        let server = Peer::good("served");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let config = |node: usize| {
            let reached = |replica| group.link(LinkSource::Node(node), replica).address().to_string();
            let mut config = operated(&registry);
            config["name"] = json!(format!("n{node}"));
            // So that they watch at different replicas.
            config["seed"] = json!(format!("{:016x}", node + 1));
            config["settings"]["Me"] = json!(node);
            config["settings"]["PeersTotal"] = json!(nodes);
            config["control"] = json!({"replicas": (0..3).map(reached).collect::<Vec<_>>(), "start": "wait"});
            config
        };
        let configs = (0..nodes).map(config).collect();
        let (calls, nodes, clients) = (group.client(), Vec::new(), Vec::new());
        let upgraded = false;
        Self { group, calls, terms, nodes, clients, configs, upgraded, _registry: registry, _server: server }
    }

    fn cut(&self, node: usize, fault: LinkFault) {
        self.group.set_node_fault(node, fault);
    }

    fn mend(&self) {
        (0..self.configs.len()).for_each(|node| self.cut(node, NONE));
    }

    /// Proposes a change at a replica; how it ended, as far as that tells.
    fn propose_at(&self, replica: usize) -> Option<HttpResponse> {
        let base = self.calls.policy(replica)?["epoch"].as_u64()?;
        self.calls.propose(replica, base, &json!({"Limits": {"AttemptsCap": 1 + base % 3}}))
    }

    fn propose(&self) -> Option<HttpResponse> {
        self.propose_at(self.calls.leader()?)
    }

    /// Makes changes until one is committed; its epoch.
    fn commit(&self) -> u64 {
        wait_for("a change is committed", || epoch(&self.propose()?))
    }

    /// Proposes a change while one node is stopped, so that it does not end; returns once so many processes have staged
    /// it, with who led and how to hear of its end.
    fn stage(&self, stopped: usize, staged: usize) -> (usize, JoinHandle<Option<HttpResponse>>) {
        wait_for("others have staged a change", || {
            let leader = self.calls.leader()?;
            let base = self.calls.policy(leader)?["epoch"].as_u64()?;
            let calls = self.calls.clone();
            self.nodes[stopped].signal("-STOP");
            let asked = std::thread::spawn(move || {
                calls.propose(leader, base, &json!({"Limits": {"AttemptsCap": 1 + base % 3}}))
            });
            // Where it takes them too long, it ends.
            while !asked.is_finished() {
                if self.staged(leader) == Some(staged) {
                    return Some((leader, asked));
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            self.nodes[stopped].signal("-CONT");
            None
        })
    }

    /// How many processes have staged a change, as the leader knows.
    fn staged(&self, leader: usize) -> Option<usize> {
        let known = self.calls.request(leader, "GET /v1/nodes")?.body;
        Some(known["nodes"].as_array()?.iter().filter(|node| node["staged"] == true).count())
    }

    /// What the leader knows of the processes of a node.
    fn members(&self, node: usize) -> Option<Vec<Value>> {
        let known =
            self.calls.request(self.calls.leader()?, "GET /v1/nodes").filter(|known| known.status == 200)?;
        let of = |known: &&Value| known["name"] == format!("n{node}");
        Some(known.body["nodes"].as_array()?.iter().filter(of).cloned().collect())
    }

    fn until_serves_by(&self, node: usize, epoch: u64) {
        wait_for("a node serves by that epoch", || (self.ask(node)? == (200, Some(epoch))).then_some(()));
    }

    fn until_all_serve_by(&self, epoch: u64) {
        (0..self.nodes.len()).for_each(|node| self.until_serves_by(node, epoch));
    }

    fn until_held(&self, node: usize) {
        wait_for("a node takes nothing", || (self.ask(node)? == (503, None)).then_some(()));
    }

    fn ask(&self, node: usize) -> Option<(u16, Option<u64>)> {
        ask(self.nodes[node].address).ok()
    }

    /// The fleet is whole and takes one more change; ends the load and judges it by what the log says was committed.
    fn judge(self) {
        self.mend();
        let last = self.commit();
        self.until_all_serve_by(last);
        let known = wait_for("the leader knows all changes", || {
            self.calls.policy(self.calls.leader()?).filter(|known| known["epoch"] == last)
        });
        let ended = known["ended"].as_array().expect("a list");
        let done = ended.iter().filter(|change| change["aborted"].is_null());
        let committed: BTreeSet<u64> =
            done.map(|change| change["epoch"].as_u64().expect("a number")).chain([0]).collect();
        for node in &self.nodes {
            let epochs = node.epochs();
            assert!(epochs.is_sorted(), "a node went back: {epochs:?}");
        }
        let mut taken: Vec<_> = self.clients.into_iter().map(Client::end).collect();
        println!("{:?} taken, {committed:?} committed", taken.iter().map(Vec::len).collect::<Vec<_>>());
        if self.upgraded {
            // Who of the two has answered is not known.
            let first = taken.remove(0);
            taken.extend(first.into_iter().map(|one| vec![one]));
        }
        judge(&taken, &committed, self.terms.promise);
    }
}

/// The epoch of a change that was committed.
fn epoch(answer: &HttpResponse) -> Option<u64> {
    (answer.status == 200).then(|| answer.body["epoch"].as_u64()).flatten()
}

/// The nodes that an operator is told a change was aborted for.
fn silent(answer: &HttpResponse) -> Option<Vec<&str>> {
    answer.body["why"]["silent"]["nodes"].as_array()?.iter().map(Value::as_str).collect()
}

/// Changes are proposed until one is aborted for these nodes and no others; none is committed meanwhile.
fn until_aborted_for(fleet: &Fleet, nodes: &[&str]) {
    wait_for("a change is aborted for the silent nodes", || {
        let answer = fleet.propose()?;
        assert_ne!(answer.status, 200, "committed without {nodes:?}: {answer:?}");
        let words = answer.body["error"].as_str().unwrap_or_default();
        (silent(&answer)? == nodes && nodes.iter().all(|node| words.contains(node))).then_some(())
    });
}

#[test]
fn nodes_that_were_cut_off_before_a_change_end_it_by_name_and_serve_on() {
    let fleet = Fleet::start(4, GroupTimings::SHORT);
    let epoch = fleet.commit();
    fleet.until_all_serve_by(epoch);
    for (node, fault) in [(1, THERE), (2, BACK), (3, HOLE)] {
        fleet.cut(node, fault);
    }
    until_aborted_for(&fleet, &["n1", "n2", "n3"]);
    fleet.until_all_serve_by(epoch);
    fleet.judge();
}

/// They have promised, and a commit may count on that; what became of the change they don't hear.
#[test]
fn nodes_that_are_cut_off_once_they_have_staged_take_nothing_after_their_promise() {
    let fleet = Fleet::start(4, GroupTimings::SHORT);
    let old = fleet.commit();
    fleet.until_all_serve_by(old);
    let new = wait_for("a change is committed past the nodes that are cut off", || {
        let (_, asked) = fleet.stage(0, 3);
        for (node, fault) in [(1, THERE), (2, BACK), (3, HOLE)] {
            fleet.cut(node, fault);
        }
        fleet.nodes[0].signal("-CONT");
        let ended = asked.join().expect("it was asked");
        let committed = ended.as_ref().and_then(epoch);
        if committed.is_none() {
            fleet.mend();
        }
        committed
    });
    fleet.until_serves_by(0, new);
    // Its watch still tells the first one.
    wait_for("a node that can only listen leaves the old epoch", || {
        fleet.ask(1).filter(|answer| *answer != (200, Some(old)))
    });
    fleet.until_held(2);
    fleet.until_held(3);
    fleet.mend();
    fleet.until_all_serve_by(new);
    fleet.judge();
}

/// A fenced fleet goes on without nodes that it does not hear, once they take nothing. One that it hears and that
/// hears nothing is asked for leases all the time: it ends the change by its name, and takes nothing either.
#[test]
fn a_fenced_fleet_goes_on_without_nodes_that_are_cut_off() {
    let fleet = Fleet::start(4, GroupTimings::FENCED);
    let old = fleet.commit();
    fleet.until_all_serve_by(old);
    fleet.cut(2, BACK);
    until_aborted_for(&fleet, &["n2"]);
    fleet.until_held(2);
    fleet.cut(2, NONE);
    fleet.until_serves_by(2, old);
    fleet.cut(1, THERE);
    fleet.cut(3, HOLE);
    let new = fleet.commit();
    for node in [1, 3] {
        assert_eq!(fleet.ask(node), Some((503, None)), "n{node} takes requests past its lease");
        wait_for("the operator hears that it is silent", || {
            fleet.members(node)?.iter().all(|known| known["silent"] == true).then_some(())
        });
    }
    fleet.until_serves_by(0, new);
    fleet.mend();
    fleet.until_all_serve_by(new);
    fleet.judge();
}

/// Cuts a leader and the first two nodes off the other replicas, or mends that.
fn part(fleet: &Fleet, leader: usize, others: &[usize], fault: LinkFault) {
    for &other in others {
        for party in [LinkSource::Node(0), LinkSource::Node(1), LinkSource::Replica(leader)] {
            fleet.group.link(party, other).set_fault(fault);
        }
        fleet.group.link(LinkSource::Replica(other), leader).set_fault(fault);
    }
}

/// A leader is cut off with the nodes of its zone, once the others have staged a change: it goes on as a leader for them
/// as far as it knows.
#[test]
fn a_deposed_leader_grants_and_commits_nothing() {
    let fleet = Fleet::start(4, GroupTimings::FENCED);
    fleet.until_all_serve_by(fleet.commit());
    let (old, leader, others, asked) = wait_for("a leader is cut off in a change", || {
        let (leader, asked) = fleet.stage(3, 3);
        let others: Vec<usize> = (0..3).filter(|&replica| replica != leader).collect();
        part(&fleet, leader, &others, LinkFault::symmetric(Forwarding::Block));
        fleet.nodes[3].signal("-CONT");
        let known = fleet.calls.policy(leader).filter(|known| !known["change"].is_null());
        if let Some(known) = known {
            return Some((known["epoch"].as_u64()?, leader, others, asked));
        }
        // The change has ended before.
        part(&fleet, leader, &others, NONE);
        None
    });
    let calls = fleet.calls.clone();
    let late = std::thread::spawn(move || calls.propose(leader, old, &json!({"Limits": {"AttemptsCap": 1}})));
    let new = wait_for("a change is committed by the others", || {
        let leads = |replica: usize| {
            let status = fleet.calls.request(replica, "GET /v1/status")?.body;
            (status["replica"]["role"] == "leader").then_some(replica)
        };
        let next = others.iter().find_map(|&replica| leads(replica))?;
        // The one that was under way, or another.
        let known = fleet.calls.policy(next)?["epoch"].as_u64()?;
        if known > old {
            Some(known)
        } else {
            epoch(&fleet.propose_at(next)?)
        }
    });
    for node in [0, 1] {
        assert_eq!(fleet.ask(node), Some((503, None)), "n{node} takes requests by a deposed leader's word");
    }
    let known = fleet.calls.policy(leader).expect("it answers");
    assert_eq!(known["epoch"], old, "{known}");
    let late = late.join().expect("it was asked");
    assert!(late.as_ref().and_then(epoch).is_none(), "{late:?}");
    fleet.until_serves_by(2, new);
    part(&fleet, leader, &others, NONE);
    // Where the leader heard of a commit after all, it is the one that the others made.
    let ended = asked.join().expect("it was asked");
    assert!(ended.as_ref().and_then(epoch).is_none_or(|epoch| epoch <= new), "{ended:?}");
    fleet.until_all_serve_by(new);
    fleet.judge();
}

/// Both processes of a node are members from the newcomer's join until the older one has closed its session: one
/// change is staged by the older one and made active by both, another waits for the older one, which stands.
#[test]
fn an_upgrade_between_staged_and_active_has_both_processes_in_the_change() {
    let mut fleet = Fleet::without_nodes(2, GroupTimings::SHORT);
    fleet.upgraded = true;
    let held = TcpListener::bind("127.0.0.1:0").expect("a port");
    let ready = |node: &Node| wait_for("it is ready", || (node.call("GET /ready").0 == 200).then_some(()));
    let mut older = Node::inheriting(&fleet.configs[0], &held, &[]);
    ready(&older);
    fleet.nodes = vec![Node::ready(&fleet.configs[1])];
    fleet.clients = vec![Client::of(older.address), Client::of(fleet.nodes[0].address)];
    let (newer, new) = wait_for("a process joins between staged and active", || {
        let (_, asked) = fleet.stage(0, 1);
        let newer = Node::inheriting(&fleet.configs[0], &held, &[]);
        wait_for("both are members", || fleet.members(0).filter(|members| members.len() == 2));
        let under_way = !asked.is_finished();
        fleet.nodes[0].signal("-CONT");
        let ended = asked.join().expect("it was asked");
        Some((newer, ended.as_ref().and_then(epoch).filter(|_| under_way)?))
    });
    let by = |node: &Node, epoch: u64| {
        wait_for("it judges by that epoch", || {
            node.logged(&format!("judges by epoch {epoch}")).then_some(())
        });
    };
    ready(&newer);
    by(&older, new);
    by(&newer, new);

    older.signal("-STOP");
    until_aborted_for(&fleet, &["n0"]);
    assert_eq!(fleet.members(0).map(|members| members.len()), Some(2));
    older.signal("-CONT");
    let new = fleet.commit();
    by(&older, new);
    by(&newer, new);

    older.terminate();
    assert_eq!(older.exit_code(), Some(0));
    wait_for("the older one is no member", || (fleet.members(0)?.len() == 1).then_some(()));
    fleet.nodes.push(newer);
    fleet.judge();
}

/// What a node says of a change is held on its way, and comes late and more than once, while another change is under way
/// that the node, which stands by then, knows nothing of.
#[test]
fn a_word_that_comes_late_or_twice_counts_for_its_own_change_alone() {
    let fleet = Fleet::start(2, GroupTimings::SHORT);
    fleet.until_all_serve_by(fleet.commit());
    let propose = |leader: usize| {
        let calls = fleet.calls.clone();
        let base = calls.policy(leader)?["epoch"].as_u64()?;
        let asked =
            std::thread::spawn(move || calls.propose(leader, base, &json!({"Limits": {"AttemptsCap": 2}})));
        wait_for("one node has staged a change", || {
            (asked.is_finished() || fleet.staged(leader) == Some(1)).then_some(())
        });
        Some(asked)
    };
    let ended = wait_for("a change is under way after one that was called off", || {
        let leader = fleet.calls.leader()?;
        // Each beat is given up, and made again on another connection, while the one before is still on its way.
        fleet
            .group
            .link(LinkSource::Node(1), leader)
            .set_fault(LinkFault { to_target: Forwarding::Buffer, ..NONE });
        let first = propose(leader)?;
        std::thread::sleep(LATE);
        fleet.nodes[1].signal("-STOP");
        let called_off = fleet.calls.request(leader, "DELETE /v1/policy/change");
        let first = first.join().expect("it was asked");
        let second = propose(leader);
        fleet.group.link(LinkSource::Node(1), leader).set_fault(NONE);
        let ended = second.and_then(|second| second.join().expect("it was asked"));
        fleet.nodes[1].signal("-CONT");
        assert!(first.as_ref().and_then(epoch).is_none(), "committed without a word: {first:?}");
        ended.filter(|_| called_off.is_some_and(|answer| answer.status == 200))
    });
    assert!(epoch(&ended).is_none(), "committed on a word about another: {ended:?}");
    let new = fleet.commit();
    fleet.until_all_serve_by(new);
    fleet.judge();
}

/// Connections are reset once the beat was taken, or while it is on its way, so that it is sent again; answers and news
/// come late.
#[test]
fn beats_that_are_sent_twice_and_answers_that_come_late_change_nothing() {
    let fleet = Fleet::start(4, GroupTimings::SHORT);
    // News of two changes come when the leader has long told the second one.
    let leader = fleet.calls.wait_for_leader();
    for (node, replica) in (0..4).flat_map(|node| (0..3).map(move |replica| (node, replica))) {
        if replica != leader {
            fleet
                .group
                .link(LinkSource::Node(node), replica)
                .set_fault(LinkFault { from_target: Forwarding::Buffer, ..NONE });
        }
    }
    fleet.commit();
    fleet.until_all_serve_by(fleet.commit());
    fleet.mend();

    let start = Instant::now();
    let mut round = 0;
    std::thread::scope(|scope| {
        let changes = scope.spawn(|| (0..5).map(|_| fleet.commit()).collect::<Vec<_>>());
        while !changes.is_finished() && start.elapsed() < fixture::WAIT_TIMEOUT {
            round += 1;
            fleet.cut(1, LinkFault { from_target: Forwarding::Buffer, ..NONE });
            fleet.cut(2, LinkFault { from_target: Forwarding::Buffer, ..NONE });
            fleet.cut(3, LinkFault { to_target: Forwarding::Buffer, ..NONE });
            std::thread::sleep(Duration::from_millis(30 + round * 37 % 200));
            // The first one's beats were taken, the last one's are lost; what is held for the other one comes late.
            for replica in 0..3 {
                fleet.group.link(LinkSource::Node(1), replica).reset_connections();
                fleet.group.link(LinkSource::Node(3), replica).reset_connections();
            }
            fleet.mend();
            std::thread::sleep(Duration::from_millis(50 + round * 53 % 200));
        }
        let epochs = changes.join().expect("they are made");
        assert!(epochs.windows(2).all(|pair| pair[0] < pair[1]), "{epochs:?}");
    });
    for node in 0..4 {
        assert_eq!(fleet.members(node).map(|members| members.len()), Some(1), "n{node} is one member");
    }
    fleet.judge();
}
