//! What crosses on the way of the list, step by step: forms and ends of messages, failed calls beside hung ones, moves,
//! copies that disagree, and what nobody can read.

use endpoints::{
    Action, CallId, DeliveryMode, Event, Health, Host, ListWatcher, Ms, Update, MAX_MESSAGE_BYTES,
};

const MODES: [DeliveryMode; 2] = [DeliveryMode::Push, DeliveryMode::OnDemand];

fn host(name: &str, health: Health) -> Host {
    let dial = Some("127.0.0.1:9000".parse().expect("an address"));
    let (zone, kind) = ("a \"{[".to_string(), "\\}]".to_string());
    Host { host: name.into(), dial, zone, kind, cell: 0, health, weight: 1.0, born_ms: 0.0 }
}

fn list(version: u64, whole: bool, hosts: &[Host]) -> Update {
    Update { version, whole, hosts: hosts.to_vec() }
}

fn line(update: &Update) -> String {
    serde_json::to_string(update).expect("plain data")
}

/// A follower, and all that it has wanted done.
struct Side {
    follower: ListWatcher,
    now: Ms,
    calls: Vec<(Ms, CallId, String)>,
    taken: Vec<Update>,
    failed: usize,
}

impl Side {
    /// One that has a list of version 5.
    fn new(mode: DeliveryMode) -> Self {
        let saved = list(5, true, &[host("a", Health::Active), host("b", Health::Active)]);
        let follower = ListWatcher::new(mode, Some(&saved), 0);
        let mut side = Self { follower, now: 0, calls: Vec::new(), taken: Vec::new(), failed: 0 };
        side.event(Event::RefreshRequested);
        side
    }

    fn event(&mut self, event: Event<'_>) {
        for action in self.follower.handle(self.now, event) {
            match action {
                Action::StartCall(id, path) => self.calls.push((self.now, id, path)),
                Action::ApplyUpdate(update) => self.taken.push(update),
                Action::ReportFailure(_) => self.failed += 1,
                Action::CancelCall(_) | Action::NoChanges => {}
            }
        }
    }

    /// The newest call.
    fn call(&self) -> (CallId, &str) {
        let (_, id, path) = self.calls.last().expect("a call");
        (*id, path)
    }

    /// Answers the newest call, with the beginning of its answer.
    fn answer(&mut self, words: &str) -> CallId {
        let (id, _) = self.call();
        self.event(Event::Connected(id));
        self.event(Event::ResponseHead(id, 200));
        self.event(Event::ResponseBytes(id, words.as_bytes()));
        id
    }

    /// Lets time pass to the next call.
    fn next_call(&mut self) {
        let calls = self.calls.len();
        while self.calls.len() == calls {
            self.now = self.follower.next_deadline().expect("it never rests").max(self.now);
            self.event(Event::Tick);
        }
    }
}

/// A message may stand over several lines, come in single bytes, and end with its last brace: it is taken then, on a
/// watch, from its first message on, and as a whole list.
#[test]
fn a_message_is_taken_in_any_form_with_its_last_byte() {
    let indented = |u: &Update| serde_json::to_string_pretty(u).expect("plain data");
    type Form<'a> = &'a dyn Fn(&Update) -> String;
    let forms: [(Form, &str); 5] = [
        (&line, "\n"),
        (&indented, "\n"),
        (&|u| indented(u).replace('\n', "\r\n"), "\r\n"),
        (&|u| format!("\n \r\n{}", indented(u)), ""),
        (&line, ""),
    ];
    let whole = list(6, true, &[host("b", Health::Active)]);
    let drain = list(7, false, &[host("b", Health::Leaving)]);
    for (n, (form, end)) in forms.into_iter().enumerate() {
        for (mode, asked_whole) in MODES.into_iter().flat_map(|m| [(m, false), (m, true)]) {
            let mut side = Side::new(mode);
            if asked_whole {
                side.event(Event::ServiceMoved);
            }
            for (at, update) in [(1, &whole), (2, &drain)] {
                let id = if asked_whole || at == 1 { side.answer("") } else { side.call().0 };
                let calls = side.calls.len();
                for byte in form(update).bytes() {
                    assert_eq!(side.taken.len(), at - 1, "form {n}, {mode:?}: before its end");
                    side.event(Event::ResponseBytes(id, &[byte]));
                }
                assert_eq!(side.taken.last(), Some(update), "form {n}, {mode:?}, {asked_whole}");
                side.event(Event::ResponseBytes(id, end.as_bytes()));
                assert_eq!((side.taken.len(), side.failed), (at, 0), "form {n}, {mode:?}, {asked_whole}");
                // A whole list ends its call, and a watch follows.
                assert_eq!(
                    side.calls.len() - calls,
                    usize::from(asked_whole && at == 1),
                    "form {n}, {mode:?}"
                );
            }
        }
    }
}

/// While no call is answered there is always a fresh one, however the others end, and never a storm of them.
#[test]
fn a_fresh_call_is_out_all_the_time_and_none_too_many() {
    // How long after its begin each call is refused; `None`: it hangs.
    let mixed = [None, Some(0), None, None, Some(0), Some(0), Some(30), None, Some(250), None, None, None];
    let mut refused_beside = [Some(0); 12];
    refused_beside[0] = None;
    for (fates, first) in [mixed, refused_beside].into_iter().flat_map(|f| (0..12).map(move |n| (f, n))) {
        for (mode, moved, gap, most) in [
            (DeliveryMode::Push, false, 200, 105),
            (DeliveryMode::Push, true, 200, 105),
            (DeliveryMode::OnDemand, true, 2000, 25),
        ] {
            let mut side = Side::new(mode);
            if moved {
                side.event(Event::ServiceMoved);
            }
            while side.now < 10_000 {
                let fate = |n: usize| fates[(first + n) % fates.len()];
                let due =
                    side.calls.iter().enumerate().filter(|(_, (_, id, _))| side.follower.is_call_open(*id));
                let refused = due.filter_map(|(n, (at, id, _))| fate(n).map(|after| (at + after, *id))).min();
                let tick = side.follower.next_deadline().expect("it never rests").max(side.now);
                match refused.filter(|(at, _)| *at <= tick) {
                    Some((at, id)) => {
                        side.now = at;
                        side.event(Event::CallFailed(id, "refused"));
                    }
                    None => {
                        side.now = tick;
                        side.event(Event::Tick);
                    }
                }
                assert!(side.calls.len() <= most, "{mode:?}, from {first}: a storm by {} ms", side.now);
            }
            let gaps = side.calls.windows(2).map(|pair| pair[1].0 - pair[0].0);
            assert!(gaps.clone().all(|g| g <= gap), "{mode:?}, from {first}: {:?}", gaps.collect::<Vec<_>>());
        }
    }
}

/// A service whose whole lists come from a copy that lags behind its watches is not asked for them in turns at once.
#[test]
fn copies_that_disagree_are_not_asked_in_a_storm() {
    for mode in MODES {
        let mut side = Side::new(mode);
        side.answer(&(line(&list(9, false, &[])) + "\n"));
        side.answer(&(line(&list(8, true, &[])) + "\n"));
        let mut answered = 1;
        while side.now < 5000 {
            if side.calls.len() == answered {
                side.next_call();
            }
            answered = side.calls.len();
            let whole = !side.call().1.contains("watch");
            let id = side.answer(&(line(&list(if whole { 8 } else { 9 }, whole, &[])) + "\n"));
            if whole {
                side.event(Event::ResponseEnded(id));
            }
            assert!(answered < 120, "{mode:?}: {answered} calls in {} ms", side.now);
        }
    }
}

/// What can't be read changes nothing, and the whole list is asked for; a message without end is cut off.
#[test]
fn bad_messages_change_nothing() {
    let with = |host: &str| format!(r#"{{"seq":6,"whole":true,"hosts":[{host}]}}"#);
    let entry =
        |field: &str| with(&format!(r#"{{"host":"s","dial":"127.0.0.1:9000","health":"active",{field}}}"#));
    let nested =
        |open: &str, close: &str| format!("{{\"seq\":{}0{}}}", open.repeat(99_999), close.repeat(99_999));
    let bad = [
        "<html>{".into(),
        "[]".into(),
        "{}".into(),
        "}{".into(),
        "\u{feff}{}".into(),
        "{\"seq\":6,\"whole".into(),
        r#"{"seq":-6,"whole":true,"hosts":[]}"#.into(),
        r#"{"seq":6.5,"whole":true,"hosts":[]}"#.into(),
        r#"{"seq":99999999999999999999,"whole":true,"hosts":[]}"#.into(),
        r#"{"seq":6,"whole":1,"hosts":[]}"#.into(),
        r#"{"seq":6,"whole":true,"hosts":{}}"#.into(),
        r#"{"seq":6,"whole":true}"#.into(),
        r#"{"seq":6,"seq":7,"whole":true,"hosts":[]}"#.into(),
        with(r#"{"host":"s","health":"active"}"#),
        with(r#"{"host":"s","dial":"nowhere","health":"active"}"#),
        with(r#"{"host":"s","dial":"127.0.0.1:9000","health":"dozing"}"#),
        with(r#"{"dial":"127.0.0.1:9000","health":"active"}"#),
        entry(r#""share":NaN"#),
        entry(r#""share":1e999"#),
        entry(r#""share":"much""#),
        entry(r#""born_ms":1e400"#),
        entry(r#""block":-1"#),
        nested("[", "]"),
        nested("{\"seq\":", "}"),
    ];
    for (mode, bad) in MODES.into_iter().flat_map(|m| bad.iter().map(move |b| (m, b))) {
        let mut side = Side::new(mode);
        side.answer(&format!("{bad}\n"));
        let begin: String = bad.chars().take(60).collect();
        assert_eq!((side.taken.len(), side.failed, side.follower.version()), (0, 1, 5), "{mode:?}: {begin}");
        // Nor does it where it is the whole answer; then a good one counts.
        for _ in 0..2 {
            side.next_call();
            assert_eq!(side.call().1, "/v1/endpoints", "{mode:?}: {begin}");
            let id = side.answer(bad);
            side.event(Event::ResponseEnded(id));
            assert_eq!(side.taken.len(), 0, "{mode:?}: {begin}");
        }
        side.next_call();
        side.answer(&line(&list(6, true, &[])));
        assert_eq!((side.taken.len(), side.follower.version()), (1, 6), "{mode:?}: {begin}");
    }
    for begin in ["{\"seq\":\"", "{\"more\":[", "x"] {
        let mut side = Side::new(DeliveryMode::Push);
        let id = side.answer(begin);
        let pushed = (0..).take_while(|_| {
            side.event(Event::ResponseBytes(id, &[b'1'; 65_536]));
            side.follower.is_call_open(id)
        });
        assert!(pushed.count() <= MAX_MESSAGE_BYTES / 65_536, "{begin}");
    }
}
