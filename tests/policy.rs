//! Settings that change in service: each request is judged by one policy, and nothing jumps.

mod common;
use common::*;
use tulipmount::*;

fn policy(node: &mut Node, settings: Settings) -> Vec<Action> {
    node.event(Event::Policy(Box::new(settings)))
}

/// How many of a burst of a tenant's requests are within its quota: those are sent before an older request of
/// equal worth, the others after it.
fn within_quota(node: &mut Node) -> usize {
    // Errors of unsafe requests free their slots and teach nothing about the server's latency.
    let mut out: Vec<_> = (0..4).map(|_| node.ask(UNSAFE).0).collect();
    let (marker, actions) = node.ask(UNSAFE);
    assert!(sends(&actions).is_empty(), "the one server is full");
    node.now += 1.0;
    let burst: Vec<_> = (0..30).map(|_| node.ask_for(UNSAFE, Some(0)).0).collect();
    let mut sent = Vec::new();
    while let Some(id) = out.pop() {
        let next = sends(&node.end(id, Outcome::Error));
        sent.extend(next.clone());
        out.extend(next);
    }
    assert_eq!(sent.len(), burst.len() + 1, "all are sent");
    sent.iter().position(|id| *id == marker).expect("sent")
}

/// The servers of requests served one after the other.
fn turns(node: &mut Node, count: usize) -> Vec<u64> {
    (0..count).map(|_| node.serve(SAFE, 5.0).expect("sent").0).collect()
}

fn count(turns: &[u64], server: u64) -> usize {
    turns.iter().filter(|s| **s == server).count()
}

#[test]
fn a_request_keeps_the_slo_it_arrived_under() {
    let mut node = Node::with_servers(settings(), 1);
    let mut short = settings();
    short.classes[SAFE].slo = 40.0;
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { *timeout } else { None })
    };
    // Four attempts fill the one server; later requests are queued.
    let out: Vec<_> = (0..4).map(|_| node.ask(SAFE)).collect();
    assert!(out.iter().all(|(_, actions)| timeout(actions) == Some(98.0)), "{out:?}");
    let (queued, actions) = node.ask(SAFE);
    assert_eq!(sends(&actions), []);
    policy(&mut node, short);
    let (late, _) = node.ask(SAFE);
    // Requests are queued for a quarter of the SLO: 10 of 40, 25 of 100.
    let actions = node.wait(15.0);
    assert!(refused(&actions, late) && !refused(&actions, queued), "{actions:?}");
    assert!(actions.contains(&Action::Refuse { id: late, retry_after: 10.0 }), "{actions:?}");
    let actions = node.end(out[0].0, Outcome::Success);
    assert_eq!(
        (sends(&actions), timeout(&actions)),
        (vec![queued], Some(83.0)),
        "its own SLO, less the 15 queued"
    );
    node.end(out[1].0, Outcome::Success);
    assert_eq!(timeout(&node.ask(SAFE).1), Some(38.0));
}

#[test]
fn fewer_attempts_do_not_affect_earlier_requests() {
    let mut node = Node::with_servers(settings(), 3);
    let (old, _) = node.ask(SAFE);
    policy(&mut node, Settings { limits: Limits { max_attempts: 1, ..settings().limits }, ..settings() });
    let (new, _) = node.ask(SAFE);
    assert_eq!(sends(&node.end(old, Outcome::Error)), [old], "it arrived when four were permitted");
    assert_eq!(sends(&node.end(old, Outcome::Error)), [old]);
    let actions = node.end(new, Outcome::Error);
    assert!(sends(&actions).is_empty() && refused(&actions, new), "{actions:?}");
}

#[test]
fn a_smaller_retry_budget_cuts_the_accumulated_one() {
    let mut node = Node::with_servers(settings(), 3);
    policy(&mut node, Settings { retry_budget: RetryBudget { ratio: 0.0, max: 1.0 }, ..settings() });
    let retried = |node: &mut Node| {
        let (id, _) = node.ask(SAFE);
        !sends(&node.end(id, Outcome::Error)).is_empty()
    };
    assert!(retried(&mut node) && !retried(&mut node), "one of ten is left");
    policy(&mut node, settings());
    assert!(!retried(&mut node), "a larger budget has to accumulate");
}

#[test]
fn halving_a_quota_gives_no_burst() {
    // Over its quota a tenant's requests are worth nothing: with one server full, those within go first.
    let with_quota =
        |quota_per_s| Settings { tenants: vec![Tenant { quota_per_s }], over_quota_worth: 0.0, ..settings() };
    let mut node = Node::with_servers(with_quota(40.0), 1);
    node.wait(1000.0);
    assert_eq!(within_quota(&mut node), 20, "all that two nodes may accumulate in a second");
    node.wait(1000.0);
    policy(&mut node, with_quota(20.0));
    assert_eq!(within_quota(&mut node), 10, "cut to the new maximum");
    node.wait(110.0);
    policy(&mut node, with_quota(40.0));
    assert_eq!(within_quota(&mut node), 1, "time under the old quota accrues at the old rate");
    node.wait(110.0);
    assert_eq!(within_quota(&mut node), 2);
}

#[test]
fn weight_changes_within_a_round_keep_the_order_of_turns() {
    let mut node = Node::with_servers(settings(), 4);
    assert_eq!(turns(&mut node, 6), [0, 1, 2, 3, 0, 1]);
    let weights = [(ServerId(2), 2.0), (ServerId(9), 0.5)].into();
    policy(&mut node, Settings { server_weights: weights, ..settings() });
    let round = turns(&mut node, 10);
    assert_eq!(round[0], 2, "the turn that was next stays next");
    assert_eq!([0, 1, 2, 3].map(|id| count(&round, id)), [2, 2, 4, 2], "{round:?}");
    assert!(!round.windows(3).any(|w| w == [2, 2, 2]), "{round:?}");
    policy(&mut node, settings());
    let round = turns(&mut node, 8);
    assert_eq!([0, 1, 2, 3].map(|id| count(&round, id)), [2; 4], "{round:?}");
    // A server listed later has its factor from the start.
    let weights = [(ServerId(9), 0.5)].into();
    policy(&mut node, Settings { server_weights: weights, ..settings() });
    node.event(Event::ListChange(vec![entry(9, 1.0)]));
    let round = turns(&mut node, 18);
    assert_eq!(count(&round, 9), 2, "{round:?}");
}

#[test]
fn a_larger_weight_does_not_overload_a_cold_server() {
    let sent = |weights: &[(ServerId, f64)]| {
        let mut node = Node::with_servers(settings(), 3);
        policy(&mut node, Settings { server_weights: weights.iter().copied().collect(), ..settings() });
        turns(&mut node, 400);
        let started = Some(node.now);
        node.event(Event::ListChange(vec![Entry { started_at: started, ..entry(2, 1.0) }]));
        count(&turns(&mut node, 200), 2)
    };
    let (even, heavy) = (sent(&[]), sent(&[(ServerId(2), 50.0)]));
    assert!(even < heavy && heavy < 22, "{heavy} sends for {even}, half of the budget is 21");
}

#[test]
fn fewer_failures_eject_sooner() {
    let mut node = Node::with_servers(settings(), 3);
    policy(
        &mut node,
        Settings { ejection: Ejection { consecutive_failures: 1, max_fraction: 0.4 }, ..settings() },
    );
    for ejected in [1, 1] {
        let (id, _) = node.ask(UNSAFE);
        node.end(id, Outcome::Error);
        assert_eq!(node.balancer.status().ejected, ejected, "at most 0.4 of three");
    }
}

#[test]
fn a_shorter_deadline_does_not_make_new_requests_look_old() {
    let mut node = Node::with_servers(settings(), 2);
    node.ask_with_timeout(UNSAFE, None, 1000.0);
    let mut short = settings();
    short.classes[UNSAFE].deadline = 400.0;
    policy(&mut node, short);
    let (_, actions) = node.ask_with_timeout(UNSAFE, None, 400.0);
    assert!(sent_to(&actions).is_some(), "{actions:?}");
}

#[test]
fn queued_requests_are_answered_in_time_when_slos_grow() {
    let mut node = Node::with_servers(settings(), 0);
    let (id, _) = node.ask_with_timeout(SAFE, None, 90.0);
    let mut long = settings();
    for class in &mut long.classes {
        class.slo = 5000.0;
    }
    policy(&mut node, long);
    let actions = node.wait(35.0);
    assert!(refused(&actions, id), "a quarter of its own SLO has passed: {actions:?}");
}

#[test]
fn a_policy_that_changes_fixed_settings_is_ignored() {
    type Change = fn(&mut Settings);
    let changes: [(&str, Change); 11] = [
        ("node_index", |s| s.node_index = 1),
        ("node_count", |s| s.node_count = 3),
        ("classes: count", |s| s.classes.truncate(1)),
        ("classes: idempotency", |s| s.classes[UNSAFE].idempotency = Idempotency::Safe),
        ("tenants", |s| s.tenants.push(Tenant { quota_per_s: 1.0 })),
        ("rules", |s| s.rules.cold_capacity = 1.0),
        ("discovery", |s| s.discovery = Discovery::Subscribed),
        ("weights", |s| s.weights = Weights::None),
        ("limits.probes", |s| s.limits.probes = false),
        ("ejection.consecutive_failures", |s| s.ejection.consecutive_failures = 0),
        ("server_weights[3]: 0 is outside 0.01 to 100", |s| s.server_weights = [(ServerId(3), 0.0)].into()),
    ];
    for (name, change) in changes {
        let mut other = settings();
        change(&mut other);
        other.limits.max_attempts = 1;
        let error = settings().check_update(&other).expect_err(name);
        assert!(error.0.starts_with(name), "{error}");
        let mut node = Node::with_servers(settings(), 3);
        policy(&mut node, other);
        let (id, _) = node.ask(SAFE);
        assert_eq!(sends(&node.end(id, Outcome::Error)), [id], "{name}: the settings are as they were");
    }
    assert_eq!(settings().check_update(&settings()), Ok(()));
}
