//! The four rules over generated event sequences, and tests that the referee detects broken variants.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tulipmount::*;

/// One step of a generated sequence.
#[derive(Clone, Debug)]
enum Step {
    Request(usize, f64),
    /// Ends one of the outstanding attempts.
    End(usize, Outcome),
    List(usize, ServerState, bool),
    ListFailed,
    ClientGone(usize),
    Wait(f64),
    Probe(usize, bool),
    /// The group removes one server, and may let another be probed.
    Verdicts(usize, Option<usize>),
    /// New SLOs as multiples of the original ones, then maximum attempts, failures before ejection, retry
    /// budget and a server's weight.
    Policy([f64; 3], usize, u32, f64, f64),
    /// Events about requests and attempts that never existed.
    Unknown(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Success),
        1 => Just(Outcome::Error),
        2 => Just(Outcome::Rejected),
        1 => Just(Outcome::TimedOut),
        2 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
    ];
    let state = prop_oneof![3 => Just(ServerState::Up), 1 => Just(ServerState::Draining), 1 => Just(ServerState::Gone)];
    prop_oneof![
        8 => (0..3usize, 20.0..400.0).prop_map(|(class, time)| Step::Request(class, time)),
        8 => (any::<prop::sample::Index>(), outcome).prop_map(|(i, o)| Step::End(i.index(1000), o)),
        1 => (0..6usize, state, any::<bool>()).prop_map(|(s, l, cold)| Step::List(s, l, cold)),
        1 => Just(Step::ListFailed),
        1 => any::<prop::sample::Index>().prop_map(|i| Step::ClientGone(i.index(1000))),
        6 => (0.1..40.0).prop_map(Step::Wait),
        1 => (0..6usize, any::<bool>()).prop_map(|(s, up)| Step::Probe(s, up)),
        1 => (0..6usize, prop::option::of(0..6usize)).prop_map(|(out, probe)| Step::Verdicts(out, probe)),
        1 => any::<u64>().prop_map(Step::Unknown),
        1 => ([0.2..3.0, 0.2..3.0, 0.2..3.0], 1..6usize, 1..5u32, 0.0..10.0, 0.01..100.0)
            .prop_map(|(aims, attempts, fails, most, weight)| Step::Policy(aims, attempts, fails, most, weight)),
    ]
}

struct Outstanding {
    id: RequestId,
    attempt: usize,
    server: ServerId,
    sent: f64,
    until: f64,
    cancelled: bool,
}

/// Alters the balancer's actions, to test that the referee notices.
type Variant = fn(&Action) -> Option<Action>;

struct Run {
    settings: Settings,
    balancer: Balancer,
    referee: Referee,
    now: f64,
    out: Vec<Outstanding>,
    /// Deadline, attempts made, and attempts permitted on arrival.
    open: std::collections::BTreeMap<RequestId, (f64, usize, usize)>,
    variant: Variant,
    /// Each end of an attempt that was reported, and all actions since the start.
    ended: Vec<Event>,
    actions: Vec<Action>,
}

impl Run {
    /// Reports an earlier end of an attempt once more.
    fn repeat_end(&mut self, index: usize) {
        if !self.ended.is_empty() {
            let event = self.ended[index % self.ended.len()].clone();
            let mut actions = Vec::new();
            self.balancer.handle(self.now, event, &mut actions);
            self.actions.extend(actions);
        }
    }

    fn event(&mut self, event: Event) {
        self.referee.observe_event(self.now, &event);
        let mut actions = Vec::new();
        if matches!(event, Event::AttemptEnded { .. }) {
            self.ended.push(event.clone());
        }
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        for action in actions.iter().filter_map(|a| (self.variant)(a)) {
            self.referee.observe_action(&self.settings, self.now, &action);
            match action {
                Action::Send { id, server, timeout } => {
                    let Some((deadline, attempts, max_attempts)) = self.open.get_mut(&id) else { continue };
                    let until = timeout.map_or(*deadline, |t| (self.now + t).min(*deadline));
                    let attempt = *attempts;
                    *attempts += 1;
                    if *attempts > *max_attempts {
                        self.referee.breaches.push(format!("attempts: {id:?} was sent once too often"));
                    }
                    self.out.push(Outstanding {
                        id,
                        attempt,
                        server,
                        sent: self.now,
                        until,
                        cancelled: false,
                    });
                }
                Action::Cancel { id, attempt } => {
                    for out in self.out.iter_mut().filter(|o| o.id == id && o.attempt == attempt) {
                        out.cancelled = true;
                    }
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    self.open.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let out = self.out.remove(index);
        let unanswered = self.open.contains_key(&out.id);
        let finished = !unanswered || outcome == Outcome::Success;
        if finished {
            self.open.remove(&out.id);
        }
        let (id, attempt, server) = (out.id, out.attempt, out.server);
        self.event(Event::AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            elapsed: self.now - out.sent,
            answered: finished,
        });
    }

    fn wait(&mut self, span: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + 2.0).min(until);
            while let Some(i) = self.out.iter().position(|o| o.cancelled) {
                self.end(i, Outcome::Cancelled);
            }
            while let Some(i) = self.out.iter().position(|o| self.now >= o.until) {
                self.end(i, Outcome::TimedOut);
            }
            self.event(Event::Timer);
        }
    }
}

/// The breaches of the rules in a run.
fn play(steps: &[Step], variant: Variant) -> Vec<String> {
    let mut run = play_with_repeats(steps, variant, &[]);
    run.referee.finish();
    run.referee.breaches
}

/// Plays the steps. Behind each step for which `repeats` has a number, the earlier end of an attempt with that number is
/// reported once more.
fn play_with_repeats(steps: &[Step], variant: Variant, repeats: &[Option<prop::sample::Index>]) -> Run {
    let settings = Settings { votes: Some(votes()), ..settings() };
    let balancer = Balancer::new(settings.clone(), 7).expect("good settings");
    let (referee, out, open) = (Referee::default(), Vec::new(), Default::default());
    let (ended, actions) = (Vec::new(), Vec::new());
    let mut run = Run { settings, balancer, referee, now: 50_000.0, out, open, variant, ended, actions };
    run.event(Event::List { entries: (0..4).map(|id| entry(id, 1.0)).collect(), saved: true });
    let mut next = 0;
    for (n, step) in steps.iter().enumerate() {
        match step {
            Step::Request(class, time) => {
                let (id, deadline) = (RequestId(next), run.now + time);
                next += 1;
                run.open.insert(id, (deadline, 0, run.settings.limits.max_attempts));
                run.event(Event::Request {
                    id,
                    class: *class,
                    tenant: None,
                    deadline,
                    streaming_body: false,
                    is_retry: false,
                    estimated_work: None,
                });
            }
            Step::End(i, outcome) => {
                if !run.out.is_empty() {
                    run.end(i % run.out.len(), *outcome);
                }
            }
            Step::List(server, state, cold) => {
                let started = cold.then_some(run.now - 500.0);
                let changed = Entry { state: *state, started_at: started, ..entry(*server as u64, 1.0) };
                run.event(Event::ListChange(vec![changed]));
            }
            Step::ListFailed => run.event(Event::ListFailed),
            Step::ClientGone(i) => {
                if let Some(id) = run.open.keys().nth(i % run.open.len().max(1)).copied() {
                    run.open.remove(&id);
                    run.event(Event::ClientGone(id));
                }
            }
            Step::Wait(span) => run.wait(*span),
            Step::Probe(server, up) => {
                let outcome = if *up { Outcome::Success } else { Outcome::ConnectFailed };
                run.event(Event::ProbeEnded { server: ServerId(*server as u64), outcome, elapsed: 1.0 });
            }
            Step::Verdicts(removed, probe) => {
                let verdict = |(server, probe)| ServerVerdict { server: ServerId(server as u64), probe };
                let verdicts = [Some((*removed, false)), probe.map(|server| (server, true))];
                run.event(Event::Verdicts(verdicts.into_iter().flatten().map(verdict).collect()));
            }
            Step::Policy(aims, attempts, failures, most, weight) => {
                let mut new = common::settings();
                new.votes = Some(votes()).filter(|_| *attempts != 5);
                for (class, part) in new.classes.iter_mut().zip(aims) {
                    class.slo *= part;
                }
                new.limits.max_attempts = *attempts;
                new.ejection.consecutive_failures = *failures;
                new.retry_budget.max = *most;
                new.server_weights = [(ServerId(*attempts as u64), *weight)].into();
                run.settings = new.clone();
                run.event(Event::Policy(Box::new(new)));
            }
            Step::Unknown(n) => {
                let (id, server) = (RequestId(n | 1 << 40), ServerId(*n));
                let (outcome, took) = (Outcome::TimedOut, 3.0);
                run.event(Event::AttemptEnded {
                    id,
                    attempt: 9,
                    server,
                    outcome,
                    elapsed: took,
                    answered: false,
                });
                run.event(Event::Streaming { id, attempt: 0 });
                run.event(Event::ClientGone(id));
                run.event(Event::ProbeEnded { server, outcome, elapsed: took });
            }
        }
        if let Some(Some(index)) = repeats.get(n) {
            run.repeat_end(index.index(1000));
        }
    }
    run.wait(1000.0);
    run
}

/// A fixed seed, unless the environment variables `PROPTEST_CASES` and `PROPTEST_SEED` (0 to 255) say
/// otherwise.
fn runner(cases: u32) -> TestRunner {
    let variable = |name| std::env::var(name).ok().and_then(|value| value.parse::<u32>().ok());
    let cases = variable("PROPTEST_CASES").unwrap_or(cases);
    let seed = variable("PROPTEST_SEED").map_or(7, |seed| seed as u8);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn the_four_rules_hold() {
    runner(4000)
        .run(&prop::collection::vec(step(), 1..250), |steps| {
            let breaches = play(&steps, |a| Some(a.clone()));
            prop_assert!(breaches.is_empty(), "{breaches:?}");
            Ok(())
        })
        .unwrap();
}

/// Guards against an end that is reported twice and counts twice, against the limit or the health of its server.
#[test]
fn an_end_that_is_reported_again_changes_nothing() {
    let repeats = prop::collection::vec(prop::option::of(any::<prop::sample::Index>()), 250);
    runner(1000)
        .run(&(prop::collection::vec(step(), 1..250), repeats), |(steps, repeats)| {
            let once = play_with_repeats(&steps, |a| Some(a.clone()), &[]).actions;
            let again = play_with_repeats(&steps, |a| Some(a.clone()), &repeats).actions;
            let differs = once.iter().zip(&again).position(|(a, b)| a != b);
            prop_assert!(
                once == again,
                "{} and {} actions, from action {differs:?}",
                once.len(),
                again.len()
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let trace = |seed| {
        let mut log = Vec::new();
        let mut node = Node::new(settings(), (0..5).map(|id| entry(id, 1.0 + id as f64)).collect());
        for n in 0..300u64 {
            let (id, actions) = node.ask((n % 3) as usize);
            log.push(format!("{actions:?}"));
            node.now += (n * seed % 17) as f64;
            if sent_to(&actions).is_some() {
                log.push(format!("{:?}", node.end(id, Outcome::Success)));
            }
        }
        log
    };
    assert_eq!(trace(5), trace(5));
}

/// Asserts that a broken variant is reported as a breach of `rule`.
fn assert_detected(rule: &str, variant: Variant) {
    let found = std::cell::Cell::new(false);
    let sequences = prop::collection::vec(step(), 100..250);
    let _ = runner(100).run(&sequences, |steps| {
        found.set(found.get() || play(&steps, variant).iter().any(|b| b.starts_with(rule)));
        Ok(())
    });
    assert!(found.get(), "no run shows the breach of {rule}");
}

#[test]
fn the_referee_detects_a_lost_answer() {
    assert_detected("rule 1", |a| if matches!(a, Action::Fail(_)) { None } else { Some(a.clone()) });
}

#[test]
fn the_referee_detects_a_refusal_of_a_request_that_may_have_run() {
    assert_detected("rule 2", |a| match a {
        Action::Fail(id) => Some(Action::Refuse { id: *id, retry_after: 0.0 }),
        a => Some(a.clone()),
    });
}

#[test]
fn the_referee_detects_a_second_execution() {
    assert_detected("rule 2", |a| match a {
        Action::Fail(id) => Some(Action::Send { id: *id, server: ServerId(0), timeout: None }),
        a => Some(a.clone()),
    });
}

#[test]
fn the_referee_detects_sends_to_drained_servers() {
    assert_detected("rule 3", |a| match a {
        Action::Send { id, timeout, .. } => {
            Some(Action::Send { id: *id, server: ServerId(1), timeout: *timeout })
        }
        a => Some(a.clone()),
    });
}

#[test]
fn the_referee_detects_sends_to_removed_servers_and_unsafe_probes() {
    for breach in ["votes: ServerId", "votes: RequestId"] {
        assert_detected(breach, |a| match a {
            Action::Send { id, timeout, .. } => {
                Some(Action::Send { id: *id, server: ServerId(1), timeout: *timeout })
            }
            a => Some(a.clone()),
        });
    }
}

#[test]
fn the_referee_detects_an_overloaded_cold_server() {
    assert_detected("rule 4", |a| match a {
        Action::Send { id, timeout, .. } => {
            Some(Action::Send { id: *id, server: ServerId(1), timeout: *timeout })
        }
        a => Some(a.clone()),
    });
}
