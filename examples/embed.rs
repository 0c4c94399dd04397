//! Passes events to the decision module and prints its actions, without any I/O: one request is served, one is resent
//! after a refused connection, and one is sent past a draining server.

use tulipmount::*;

/// The duration of every attempt in this example.
const ATTEMPT_MS: Millis = 12.0;

fn settings() -> Settings {
    Settings {
        node_index: 0,
        node_count: 1,
        classes: vec![Class {
            slo: 100.0,
            deadline: 500.0,
            worth: 1.0,
            late_worth: 0.0,
            idempotency: Idempotency::Unsafe,
        }],
        tenants: Vec::new(),
        over_quota_worth: 1.0,
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            max_attempts: 3,
            hedging: false,
            cancel: true,
            probes: true,
            connect_timeout: 50.0,
            max_retry_after: 1000.0,
        },
        retry_budget: RetryBudget::default(),
        ejection: Ejection::default(),
        votes: None,
        server_weights: Default::default(),
        rules: Rules {
            discovery_deadline: 10_000.0,
            cold_capacity: 0.2,
            warmup_time: 20_000.0,
            overload_multiple: 3.0,
            overload_window: 1_000.0,
        },
        discovery: Discovery::Pushed,
        weights: Weights::Static,
        tick: 1.0,
    }
}

fn entry(id: u64, state: ServerState) -> Entry {
    Entry { server: ServerId(id), zone: 0, cell: 0, kind: 0, state, weight: 1.0, started_at: None }
}

/// Passes one event to the balancer and prints the resulting actions; returns the server of a send.
fn handle(balancer: &mut Balancer, now: Millis, event: Event) -> Option<ServerId> {
    let mut actions = Vec::new();
    balancer.handle(now, event, &mut actions);
    for action in actions.iter().filter(|a| !matches!(a, Action::SetTimer(_))) {
        println!("{now:6.1} ms  {action:?}");
    }
    actions.iter().find_map(|a| if let Action::Send { server, .. } = a { Some(*server) } else { None })
}

/// The event for the end of an attempt; the client has its final answer if the attempt succeeded.
fn ended(id: RequestId, attempt: usize, server: ServerId, outcome: Outcome) -> Event {
    Event::AttemptEnded {
        id,
        attempt,
        server,
        outcome,
        elapsed: ATTEMPT_MS,
        answered: outcome == Outcome::Success,
    }
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(), 42)?;
    let entries = (1..=3).map(|id| entry(id, ServerState::Up)).collect();
    handle(&mut balancer, 0.0, Event::List { entries, saved: false });

    let request = |id, now| Event::Request {
        id,
        class: 0,
        tenant: None,
        deadline: now + 500.0,
        streaming_body: false,
        is_retry: false,
        estimated_work: None,
    };
    let first = RequestId(1);
    let server = handle(&mut balancer, 10.0, request(first, 10.0)).expect("three servers are ready");
    handle(&mut balancer, 10.0 + ATTEMPT_MS, ended(first, 0, server, Outcome::Success));

    // The connection for the second request is refused. The request was not executed, so it is resent at once.
    let second = RequestId(2);
    let server = handle(&mut balancer, 30.0, request(second, 30.0)).expect("three servers are ready");
    let server = handle(&mut balancer, 30.0 + ATTEMPT_MS, ended(second, 0, server, Outcome::ConnectFailed))
        .expect("resent");
    handle(&mut balancer, 42.0 + ATTEMPT_MS, ended(second, 1, server, Outcome::Success));

    // The next turn would be that of server 1, which drains, so the third request goes to server 2.
    handle(&mut balancer, 60.0, Event::ListChange(vec![entry(1, ServerState::Draining)]));
    let third = RequestId(3);
    let server = handle(&mut balancer, 70.0, request(third, 70.0)).expect("two servers are left");
    assert_eq!(server, ServerId(2));
    handle(&mut balancer, 70.0 + ATTEMPT_MS, ended(third, 0, server, Outcome::Success));
    Ok(())
}
