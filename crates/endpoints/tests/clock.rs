//! The one clock for the list, in virtual time: however a service misbehaves, how long it takes at most until the node
//! asks again, and until a drain that the service then tells has come.

use std::collections::BTreeMap;

use endpoints::{Action, CallId, DeliveryMode, Event, Health, Host, ListWatcher, Ms, Update};

/// What a service does on a call.
#[derive(Clone, Copy, Debug)]
enum Say {
    Connect,
    Head(u16),
    Bytes(&'static str),
    /// What it has: the whole list, or its changes.
    List,
    End,
    Refuse,
}
use Say::{Bytes, Connect, End, Head, List, Refuse};

/// What comes of a call, each so long after the one before; a last empty line or blank comes again and again.
type Way = &'static [(Ms, Say)];

const WATCH: Way = &[(0, Connect), (0, Head(200)), (0, List), (2000, Bytes("\n"))];
const WHOLE: Way = &[(0, Connect), (0, Head(200)), (0, List), (0, End)];
/// No call comes up.
const HANGS: Way = &[];
const REFUSES: Way = &[(0, Refuse)];
const MUTE: Way = &[(0, Connect)];
const CLOSES: Way = &[(0, Connect), (0, Refuse)];
const BUSY: Way = &[(0, Connect), (0, Head(503)), (0, End)];
const HEAD_ONLY: Way = &[(0, Connect), (0, Head(200))];
const ENDS: Way = &[(0, Connect), (0, Head(200)), (0, End)];
const HALF: Way = &[(0, Connect), (0, Head(200)), (0, Bytes("\n")), (1000, Bytes("{\"seq\""))];
const TRICKLE: Way = &[(0, Connect), (0, Head(200)), (0, Bytes("\n")), (1000, Bytes(" "))];
const LATE_TRICKLE: Way = &[(0, Connect), (1000, Head(200)), (1000, Bytes(" "))];
const FOREIGN: Way = &[(0, Connect), (0, Head(200)), (0, Bytes("<html>\n"))];
const WAYS: [Way; 11] =
    [HANGS, REFUSES, MUTE, CLOSES, BUSY, HEAD_ONLY, ENDS, HALF, TRICKLE, LATE_TRICKLE, FOREIGN];

/// When the service goes bad: open calls fall silent, and new ones go one of the ways.
const BAD: Ms = 19_000;

/// A follower and its service, which is well until [`BAD`], and for calls that begin from `good` on. Then it tells of
/// a drain.
struct Play {
    follower: ListWatcher,
    now: Ms,
    way: Way,
    good: Ms,
    to_come: BTreeMap<(Ms, u64), (CallId, Say)>,
    count: u64,
    paths: BTreeMap<CallId, String>,
    /// When something of use last came, or was asked for, and the longest time from then to a question.
    useful: Ms,
    silence: Ms,
    drained: Option<Ms>,
}

fn host(name: &str, health: Health, born_ms: f64) -> Host {
    let dial = Some("127.0.0.1:9000".parse().expect("an address"));
    let (zone, kind) = ("a".to_string(), "m".to_string());
    Host { host: name.into(), dial, zone, kind, cell: 0, health, weight: 1.0, born_ms }
}

fn list(version: u64, whole: bool, hosts: &[Host]) -> Update {
    Update { version, whole, hosts: hosts.to_vec() }
}

impl Play {
    fn new(mode: DeliveryMode, way: Way, good: Ms) -> Self {
        let saved = list(1, true, &[host("s0", Health::Active, 0.0)]);
        Self {
            follower: ListWatcher::new(mode, Some(&saved), 0),
            now: 0,
            way,
            good,
            to_come: BTreeMap::new(),
            count: 0,
            paths: BTreeMap::new(),
            useful: 0,
            silence: 0,
            drained: None,
        }
    }

    fn comes(&mut self, at: Ms, id: CallId, say: Say) {
        self.count += 1;
        self.to_come.insert((at, self.count), (id, say));
    }

    fn event(&mut self, event: Event<'_>) {
        for action in self.follower.handle(self.now, event) {
            match action {
                Action::StartCall(id, path) => {
                    self.silence = self.silence.max(self.now - self.useful);
                    self.useful = self.now;
                    let well = if path.contains("watch") { WATCH } else { WHOLE };
                    self.paths.insert(id, path);
                    let way = if (BAD..self.good).contains(&self.now) { self.way } else { well };
                    let mut at = self.now;
                    for (after, say) in way {
                        at += after;
                        self.comes(at, id, *say);
                    }
                }
                Action::CancelCall(id) => self.to_come.retain(|_, (call, _)| *call != id),
                Action::ApplyUpdate(update) => {
                    let drains = |h: &Host| h.health != Health::Active;
                    if update.hosts.iter().any(drains) {
                        self.drained.get_or_insert(self.now);
                    }
                }
                // An owner that never asks again: the clock alone has to do it.
                Action::ReportFailure(_) | Action::NoChanges => {}
            }
        }
    }

    fn run(&mut self, until: Ms) {
        for _ in 0..100_000 {
            let come = self.to_come.keys().next().copied();
            let due = self.follower.next_deadline().map(|at| at.max(self.now));
            match (come, due) {
                (Some((at, _)), due) if at <= until && due.is_none_or(|due| at <= due) => self.step(),
                (_, Some(due)) if due <= until => {
                    self.now = due;
                    self.event(Event::Tick);
                }
                _ => {
                    self.now = until;
                    return;
                }
            }
        }
        panic!("the follower never rests");
    }

    fn step(&mut self) {
        let ((at, _), (id, say)) = self.to_come.pop_first().expect("looked at");
        self.now = at;
        if matches!(say, Head(200) | List | Bytes("\n")) {
            self.useful = at;
        }
        match say {
            Connect => self.event(Event::Connected(id)),
            Head(status) => self.event(Event::ResponseHead(id, status)),
            Bytes(words) => {
                let last = !self.to_come.values().any(|(call, _)| *call == id);
                self.event(Event::ResponseBytes(id, words.as_bytes()));
                if last && ["\n", " "].contains(&words) && self.follower.is_call_open(id) {
                    let every = if words == " " { 1000 } else { 2000 };
                    self.comes(at + every, id, say);
                }
            }
            List => {
                let (version, health) = if at < BAD { (1, Health::Active) } else { (2, Health::Leaving) };
                // One from the future gets the whole list too.
                let from: Option<u64> = self.paths[&id].split_once("from=").and_then(|(_, v)| v.parse().ok());
                let whole = from.is_none_or(|from| from > version);
                let line = list(version, whole, &[host("s0", health, 0.0)]);
                let mut bytes = serde_json::to_vec(&line).expect("plain data");
                bytes.push(b'\n');
                self.event(Event::ResponseBytes(id, &bytes));
            }
            End => self.event(Event::ResponseEnded(id)),
            Refuse => self.event(Event::CallFailed(id, "refused")),
        }
    }
}

/// The longest time from when something of use came, or was asked for, to the next question; the longest from when
/// the service is well again, or where that is later from a move, until its drain has come.
fn worst(mode: DeliveryMode, way: Way, moved: bool) -> (Ms, Ms) {
    let mut worst = (0, 0);
    for good in (BAD..BAD + 8000).step_by(49) {
        let mut play = Play::new(mode, way, good);
        play.event(Event::RefreshRequested);
        play.run(BAD - 1);
        play.to_come.clear();
        play.run(BAD);
        (play.useful, play.silence) = if moved { (BAD, 0) } else { (play.useful, 0) };
        if moved {
            play.event(Event::ServiceMoved);
        }
        play.run(BAD + 30_000);
        worst.0 = worst.0.max(play.silence);
        worst.1 = worst.1.max(play.drained.expect("it comes") - good);
    }
    worst
}

fn holds(mode: DeliveryMode, moved: bool, bounds: [Ms; 11]) {
    for (way, bound) in WAYS.iter().zip(bounds) {
        let (silence, hold) = worst(mode, way, moved);
        assert_eq!(silence, bound, "{mode:?}, moved {moved}: {way:?}");
        // A call that waited for the beginning of its answer was not silent then.
        let waited = way.iter().find(|(_, say)| matches!(say, Head(200))).map_or(0, |(after, _)| *after);
        assert!(hold <= bound + waited, "{mode:?}, moved {moved}: {way:?}: {hold}");
        assert!(
            silence.max(hold) < if moved { 4000 } else { 6000 },
            "{mode:?}, moved {moved}: {way:?}: {hold}"
        );
    }
}

/// Unanswered, within the grace of a drain; fallen silent, well within 6 s.
#[test]
fn a_pushed_list_is_asked_for_again_in_time() {
    holds(DeliveryMode::Push, false, [3300, 3300, 3300, 3300, 3300, 3300, 3300, 4300, 4600, 4600, 3300]);
}

#[test]
fn a_list_that_is_asked_for_is_asked_for_again_in_time() {
    holds(DeliveryMode::OnDemand, false, [4000, 4000, 5000, 4000, 4000, 5000, 4000, 4700, 5000, 5000, 4000]);
}

#[test]
fn a_list_that_has_moved_is_asked_for_within_4_s() {
    holds(DeliveryMode::Push, true, [200, 100, 200, 100, 100, 3300, 100, 3300, 3300, 2300, 100]);
    holds(DeliveryMode::OnDemand, true, [1500, 500, 2000, 500, 500, 3700, 500, 3700, 3700, 2700, 500]);
}

/// A service that was restored to an older state is asked for its whole list again after a time, and not storming.
#[test]
fn an_older_list_that_stays_is_followed_after_20_s() {
    for (mode, moved, after) in [
        (DeliveryMode::Push, false, 20_000),
        (DeliveryMode::OnDemand, false, 20_000),
        (DeliveryMode::OnDemand, true, 2_000),
    ] {
        let mut play = Play::new(mode, HANGS, 0);
        let saved = list(9, true, &[host("s0", Health::Leaving, 0.0)]);
        play.follower = ListWatcher::new(mode, Some(&saved), 0);
        play.event(if moved { Event::ServiceMoved } else { Event::RefreshRequested });
        // It has version 1 until BAD, and 2 from then on.
        play.run(after - 1);
        assert_eq!(play.follower.version(), 9, "{mode:?} {moved}");
        play.run(after + 1);
        let version = if after < BAD { 1 } else { 2 };
        assert_eq!(play.follower.version(), version, "{mode:?} {moved}");
        play.run(60_000);
        assert!(play.paths.len() < 5, "{:?}", play.paths);
    }
}
