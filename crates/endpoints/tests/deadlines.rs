//! Call deadlines in virtual time: however a service misbehaves, the longest time until the node calls it again, and
//! until it applies a drain that the service announces once it works again.

use std::collections::BTreeMap;

use endpoints::{Action, CallId, DeliveryMode, Event, Health, Host, ListWatcher, Ms, Update};

/// One step of a service's response to a call.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    Head(u16),
    Bytes(&'static str),
    /// The service's state: the whole list, or its changes.
    List,
    End,
    Refuse,
}
use Step::{Bytes, Connect, End, Head, List, Refuse};

/// A service's response to a call: each step with its delay after the one before. A final empty line or blank repeats.
type Script = &'static [(Ms, Step)];

const WATCH: Script = &[(0, Connect), (0, Head(200)), (0, List), (2000, Bytes("\n"))];
const WHOLE_LIST: Script = &[(0, Connect), (0, Head(200)), (0, List), (0, End)];
/// The connection is never established.
const HANGS: Script = &[];
const REFUSES: Script = &[(0, Refuse)];
const NO_RESPONSE: Script = &[(0, Connect)];
const CLOSES: Script = &[(0, Connect), (0, Refuse)];
const BUSY: Script = &[(0, Connect), (0, Head(503)), (0, End)];
const HEAD_ONLY: Script = &[(0, Connect), (0, Head(200))];
const ENDS: Script = &[(0, Connect), (0, Head(200)), (0, End)];
const HALF_MESSAGE: Script = &[(0, Connect), (0, Head(200)), (0, Bytes("\n")), (1000, Bytes("{\"seq\""))];
const TRICKLE: Script = &[(0, Connect), (0, Head(200)), (0, Bytes("\n")), (1000, Bytes(" "))];
const LATE_TRICKLE: Script = &[(0, Connect), (1000, Head(200)), (1000, Bytes(" "))];
const NOT_THE_LIST: Script = &[(0, Connect), (0, Head(200)), (0, Bytes("<html>\n"))];
const FAULTY_SCRIPTS: [Script; 11] = [
    HANGS,
    REFUSES,
    NO_RESPONSE,
    CLOSES,
    BUSY,
    HEAD_ONLY,
    ENDS,
    HALF_MESSAGE,
    TRICKLE,
    LATE_TRICKLE,
    NOT_THE_LIST,
];

/// When the service becomes faulty: open calls fall silent, and new ones follow one of the faulty scripts.
const FAULT_START: Ms = 19_000;

/// A watcher and its service. The service works until [`FAULT_START`], and for calls that start from `recovery` on; it
/// then announces a drain.
struct Simulation {
    watcher: ListWatcher,
    now: Ms,
    faulty_script: Script,
    recovery: Ms,
    pending: BTreeMap<(Ms, u64), (CallId, Step)>,
    step_count: u64,
    paths: BTreeMap<CallId, String>,
    /// When something useful was last received or a call was last started.
    last_activity: Ms,
    /// The longest time from such an activity to the next call.
    longest_gap: Ms,
    drained_at: Option<Ms>,
}

fn host(name: &str, health: Health, born_ms: f64) -> Host {
    let dial = Some("127.0.0.1:9000".parse().expect("not an address"));
    let (zone, kind) = ("a".to_string(), "m".to_string());
    Host { host: name.into(), dial, zone, kind, cell: 0, health, weight: 1.0, born_ms }
}

fn update(version: u64, whole: bool, hosts: &[Host]) -> Update {
    Update { version, whole, hosts: hosts.to_vec() }
}

impl Simulation {
    fn new(mode: DeliveryMode, faulty_script: Script, recovery: Ms) -> Self {
        let saved = update(1, true, &[host("s0", Health::Active, 0.0)]);
        Self {
            watcher: ListWatcher::new(mode, Some(&saved), 0),
            now: 0,
            faulty_script,
            recovery,
            pending: BTreeMap::new(),
            step_count: 0,
            paths: BTreeMap::new(),
            last_activity: 0,
            longest_gap: 0,
            drained_at: None,
        }
    }

    fn schedule(&mut self, at: Ms, id: CallId, step: Step) {
        self.step_count += 1;
        self.pending.insert((at, self.step_count), (id, step));
    }

    fn event(&mut self, event: Event<'_>) {
        for action in self.watcher.handle(self.now, event) {
            match action {
                Action::StartCall(id, path) => {
                    self.longest_gap = self.longest_gap.max(self.now - self.last_activity);
                    self.last_activity = self.now;
                    let working = if path.contains("watch") { WATCH } else { WHOLE_LIST };
                    self.paths.insert(id, path);
                    let is_faulty = (FAULT_START..self.recovery).contains(&self.now);
                    let script = if is_faulty { self.faulty_script } else { working };
                    let mut at = self.now;
                    for (delay, step) in script {
                        at += delay;
                        self.schedule(at, id, *step);
                    }
                }
                Action::CancelCall(id) => self.pending.retain(|_, (call, _)| *call != id),
                Action::ApplyUpdate(update) => {
                    let drains = |h: &Host| h.health != Health::Active;
                    if update.hosts.iter().any(drains) {
                        self.drained_at.get_or_insert(self.now);
                    }
                }
                // The owner never requests the list again: the timers alone have to do it.
                Action::ReportFailure(_) | Action::NoChanges => {}
            }
        }
    }

    fn run(&mut self, until: Ms) {
        for _ in 0..100_000 {
            let next_step = self.pending.keys().next().copied();
            let deadline = self.watcher.next_timer_at().map(|at| at.max(self.now));
            match (next_step, deadline) {
                (Some((at, _)), deadline)
                    if at <= until && deadline.is_none_or(|deadline| at <= deadline) =>
                {
                    self.run_step();
                }
                (_, Some(deadline)) if deadline <= until => {
                    self.now = deadline;
                    self.event(Event::Tick);
                }
                _ => {
                    self.now = until;
                    return;
                }
            }
        }
        panic!("the watcher's deadlines never pass {until} ms");
    }

    fn run_step(&mut self) {
        let ((at, _), (id, step)) = self.pending.pop_first().expect("no step is pending");
        self.now = at;
        if matches!(step, Head(200) | List | Bytes("\n")) {
            self.last_activity = at;
        }
        match step {
            Connect => self.event(Event::Connected(id)),
            Head(status) => self.event(Event::ResponseHead(id, status)),
            Bytes(text) => {
                let is_last = !self.pending.values().any(|(call, _)| *call == id);
                self.event(Event::ResponseBytes(id, text.as_bytes()));
                if is_last && ["\n", " "].contains(&text) && self.watcher.is_call_open(id) {
                    let interval = if text == " " { 1000 } else { 2000 };
                    self.schedule(at + interval, id, step);
                }
            }
            List => {
                let (version, health) =
                    if at < FAULT_START { (1, Health::Active) } else { (2, Health::Leaving) };
                // A client with a newer version than the service's gets the whole list too.
                let from: Option<u64> = self.paths[&id].split_once("from=").and_then(|(_, v)| v.parse().ok());
                let whole = from.is_none_or(|from| from > version);
                let message = update(version, whole, &[host("s0", health, 0.0)]);
                let mut bytes = serde_json::to_vec(&message).expect("the value cannot be serialized");
                bytes.push(b'\n');
                self.event(Event::ResponseBytes(id, &bytes));
            }
            End => self.event(Event::ResponseEnded(id)),
            Refuse => self.event(Event::CallFailed(id, "refused")),
        }
    }
}

/// The longest time from the last activity, or from a move, to the next call, and the longest from the recovery of the
/// service until its drain is applied.
fn longest_times(mode: DeliveryMode, faulty_script: Script, moved: bool) -> (Ms, Ms) {
    let mut longest = (0, 0);
    for recovery in (FAULT_START..FAULT_START + 8000).step_by(49) {
        let mut simulation = Simulation::new(mode, faulty_script, recovery);
        simulation.event(Event::RefreshRequested);
        simulation.run(FAULT_START - 1);
        simulation.pending.clear();
        simulation.run(FAULT_START);
        (simulation.last_activity, simulation.longest_gap) =
            if moved { (FAULT_START, 0) } else { (simulation.last_activity, 0) };
        if moved {
            simulation.event(Event::ServiceMoved);
        }
        simulation.run(FAULT_START + 30_000);
        longest.0 = longest.0.max(simulation.longest_gap);
        longest.1 = longest.1.max(simulation.drained_at.expect("the drain was not applied") - recovery);
    }
    longest
}

fn assert_bounds(mode: DeliveryMode, moved: bool, bounds: [Ms; 11]) {
    for (script, bound) in FAULTY_SCRIPTS.iter().zip(bounds) {
        let (gap, drain) = longest_times(mode, script, moved);
        assert_eq!(gap, bound, "{mode:?}, moved {moved}: {script:?}");
        // A call that waits for its response to start is not silent meanwhile.
        let waited = script.iter().find(|(_, step)| matches!(step, Head(200))).map_or(0, |(delay, _)| *delay);
        assert!(drain <= bound + waited, "{mode:?}, moved {moved}: {script:?}: {drain}");
        assert!(
            gap.max(drain) < if moved { 4000 } else { 6000 },
            "{mode:?}, moved {moved}: {script:?}: {drain}"
        );
    }
}

/// An unanswered call is repeated within the grace period of a drain, a silent watch well within 6 s.
#[test]
fn a_push_service_is_called_again_in_time() {
    assert_bounds(
        DeliveryMode::Push,
        false,
        [3300, 3300, 3300, 3300, 3300, 3300, 3300, 4300, 4600, 4600, 3300],
    );
}

#[test]
fn an_on_demand_service_is_called_again_in_time() {
    assert_bounds(
        DeliveryMode::OnDemand,
        false,
        [4000, 4000, 5000, 4000, 4000, 5000, 4000, 4700, 5000, 5000, 4000],
    );
}

#[test]
fn a_moved_service_is_called_again_within_4_s() {
    assert_bounds(DeliveryMode::Push, true, [200, 100, 200, 100, 100, 3300, 100, 3300, 3300, 2300, 100]);
    assert_bounds(
        DeliveryMode::OnDemand,
        true,
        [1500, 500, 2000, 500, 500, 3700, 500, 3700, 3700, 2700, 500],
    );
}

/// A service that was restored from an older state is asked for its whole list again once, not in a storm of calls.
#[test]
fn an_older_list_is_accepted_once_the_rollback_is_confirmed() {
    for (mode, moved, delay) in [
        (DeliveryMode::Push, false, 20_000),
        (DeliveryMode::OnDemand, false, 20_000),
        (DeliveryMode::OnDemand, true, 2_000),
    ] {
        let mut simulation = Simulation::new(mode, HANGS, 0);
        let saved = update(9, true, &[host("s0", Health::Leaving, 0.0)]);
        simulation.watcher = ListWatcher::new(mode, Some(&saved), 0);
        simulation.event(if moved { Event::ServiceMoved } else { Event::RefreshRequested });
        // The service has version 1 until FAULT_START, and version 2 from then on.
        simulation.run(delay - 1);
        assert_eq!(simulation.watcher.version(), 9, "{mode:?} {moved}");
        simulation.run(delay + 1);
        let version = if delay < FAULT_START { 1 } else { 2 };
        assert_eq!(simulation.watcher.version(), version, "{mode:?} {moved}");
        simulation.run(60_000);
        assert!(simulation.paths.len() < 5, "{:?}", simulation.paths);
    }
}
