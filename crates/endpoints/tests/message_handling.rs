//! Handling of messages and calls, step by step: message forms and ends, failing calls beside hanging ones, a moved
//! service, copies that disagree, and unreadable messages.

use endpoints::{
    Action, CallId, DeliveryMode, Event, Health, Host, ListWatcher, Ms, Update, MAX_MESSAGE_BYTES,
};

const MODES: [DeliveryMode; 2] = [DeliveryMode::Push, DeliveryMode::OnDemand];

fn host(name: &str, health: Health) -> Host {
    let dial = Some("127.0.0.1:9000".parse().expect("not an address"));
    let (zone, kind) = ("a \"{[".to_string(), "\\}]".to_string());
    Host { host: name.into(), dial, zone, kind, cell: 0, health, weight: 1.0, born_ms: 0.0 }
}

fn update(version: u64, whole: bool, hosts: &[Host]) -> Update {
    Update { version, whole, hosts: hosts.to_vec() }
}

fn json_line(update: &Update) -> String {
    serde_json::to_string(update).expect("the value cannot be serialized")
}

/// A watcher and a record of its actions.
struct Harness {
    watcher: ListWatcher,
    now: Ms,
    calls: Vec<(Ms, CallId, String)>,
    applied: Vec<Update>,
    failures: usize,
}

impl Harness {
    /// A watcher that has version 5 of the list.
    fn new(mode: DeliveryMode) -> Self {
        let saved = update(5, true, &[host("a", Health::Active), host("b", Health::Active)]);
        let watcher = ListWatcher::new(mode, Some(&saved), 0);
        let mut harness = Self { watcher, now: 0, calls: Vec::new(), applied: Vec::new(), failures: 0 };
        harness.event(Event::RefreshRequested);
        harness
    }

    fn event(&mut self, event: Event<'_>) {
        for action in self.watcher.handle(self.now, event) {
            match action {
                Action::StartCall(id, path) => self.calls.push((self.now, id, path)),
                Action::ApplyUpdate(update) => self.applied.push(update),
                Action::ReportFailure(_) => self.failures += 1,
                Action::CancelCall(_) | Action::NoChanges => {}
            }
        }
    }

    /// The newest call and its path.
    fn last_call(&self) -> (CallId, &str) {
        let (_, id, path) = self.calls.last().expect("no call was started");
        (*id, path)
    }

    /// Starts the response to the newest call with this text.
    fn respond(&mut self, text: &str) -> CallId {
        let (id, _) = self.last_call();
        self.event(Event::Connected(id));
        self.event(Event::ResponseHead(id, 200));
        self.event(Event::ResponseBytes(id, text.as_bytes()));
        id
    }

    /// Advances the time until the next call is started.
    fn advance_to_next_call(&mut self) {
        let calls = self.calls.len();
        while self.calls.len() == calls {
            self.now = self.watcher.next_timer_at().expect("no timer is set").max(self.now);
            self.event(Event::Tick);
        }
    }
}

/// A message may span several lines, arrive byte by byte and end with its last brace: it is applied at that byte, on a
/// watch from its first message on, and as a whole list.
#[test]
fn a_message_in_any_form_is_applied_with_its_last_byte() {
    let indented = |u: &Update| serde_json::to_string_pretty(u).expect("the value cannot be serialized");
    type Form<'a> = &'a dyn Fn(&Update) -> String;
    let forms: [(Form, &str); 5] = [
        (&json_line, "\n"),
        (&indented, "\n"),
        (&|u| indented(u).replace('\n', "\r\n"), "\r\n"),
        (&|u| format!("\n \r\n{}", indented(u)), ""),
        (&json_line, ""),
    ];
    let whole = update(6, true, &[host("b", Health::Active)]);
    let drain = update(7, false, &[host("b", Health::Leaving)]);
    for (n, (form, end)) in forms.into_iter().enumerate() {
        for (mode, whole_list) in MODES.into_iter().flat_map(|m| [(m, false), (m, true)]) {
            let mut harness = Harness::new(mode);
            if whole_list {
                harness.event(Event::ServiceMoved);
            }
            for (count, update) in [(1, &whole), (2, &drain)] {
                let id = if whole_list || count == 1 { harness.respond("") } else { harness.last_call().0 };
                let calls = harness.calls.len();
                for byte in form(update).bytes() {
                    assert_eq!(harness.applied.len(), count - 1, "form {n}, {mode:?}: before its end");
                    harness.event(Event::ResponseBytes(id, &[byte]));
                }
                assert_eq!(harness.applied.last(), Some(update), "form {n}, {mode:?}, {whole_list}");
                harness.event(Event::ResponseBytes(id, end.as_bytes()));
                assert_eq!(
                    (harness.applied.len(), harness.failures),
                    (count, 0),
                    "form {n}, {mode:?}, {whole_list}"
                );
                // A whole list ends its call, and a watch follows.
                assert_eq!(
                    harness.calls.len() - calls,
                    usize::from(whole_list && count == 1),
                    "form {n}, {mode:?}"
                );
            }
        }
    }
}

/// While no call is answered, a recent call is always in flight, however the others end, and there is never a storm.
#[test]
fn unanswered_calls_are_repeated_without_a_storm() {
    // How long after its start each call is refused; `None` if it hangs.
    let mixed = [None, Some(0), None, None, Some(0), Some(0), Some(30), None, Some(250), None, None, None];
    let mut refused_in_parallel = [Some(0); 12];
    refused_in_parallel[0] = None;
    for (refusals, first) in
        [mixed, refused_in_parallel].into_iter().flat_map(|refusals| (0..12).map(move |n| (refusals, n)))
    {
        for (mode, moved, max_gap, max_calls) in [
            (DeliveryMode::Push, false, 200, 105),
            (DeliveryMode::Push, true, 200, 105),
            (DeliveryMode::OnDemand, true, 2000, 25),
        ] {
            let mut harness = Harness::new(mode);
            if moved {
                harness.event(Event::ServiceMoved);
            }
            while harness.now < 10_000 {
                let refused_after = |n: usize| refusals[(first + n) % refusals.len()];
                let open_calls = harness
                    .calls
                    .iter()
                    .enumerate()
                    .filter(|(_, (_, id, _))| harness.watcher.is_call_open(*id));
                let refusal = open_calls
                    .filter_map(|(n, (at, id, _))| refused_after(n).map(|delay| (at + delay, *id)))
                    .min();
                let tick = harness.watcher.next_timer_at().expect("no timer is set").max(harness.now);
                match refusal.filter(|(at, _)| *at <= tick) {
                    Some((at, id)) => {
                        harness.now = at;
                        harness.event(Event::CallFailed(id, "refused"));
                    }
                    None => {
                        harness.now = tick;
                        harness.event(Event::Tick);
                    }
                }
                assert!(
                    harness.calls.len() <= max_calls,
                    "{mode:?}, from {first}: a storm by {} ms",
                    harness.now
                );
            }
            let gaps = harness.calls.windows(2).map(|pair| pair[1].0 - pair[0].0);
            assert!(
                gaps.clone().all(|gap| gap <= max_gap),
                "{mode:?}, from {first}: {:?}",
                gaps.collect::<Vec<_>>()
            );
        }
    }
}

/// Where whole lists come from a copy that lags behind the watches, the two are not requested alternately without delay.
#[test]
fn copies_that_disagree_do_not_cause_a_storm_of_calls() {
    for mode in MODES {
        let mut harness = Harness::new(mode);
        harness.respond(&(json_line(&update(9, false, &[])) + "\n"));
        harness.respond(&(json_line(&update(8, true, &[])) + "\n"));
        let mut answered = 1;
        while harness.now < 5000 {
            if harness.calls.len() == answered {
                harness.advance_to_next_call();
            }
            answered = harness.calls.len();
            let whole = !harness.last_call().1.contains("watch");
            let id = harness.respond(&(json_line(&update(if whole { 8 } else { 9 }, whole, &[])) + "\n"));
            if whole {
                harness.event(Event::ResponseEnded(id));
            }
            assert!(answered < 120, "{mode:?}: {answered} calls in {} ms", harness.now);
        }
    }
}

/// An unreadable message changes nothing and the whole list is requested; a message without an end is cut off.
#[test]
fn unreadable_messages_change_nothing() {
    let with_host = |host: &str| format!(r#"{{"seq":6,"whole":true,"hosts":[{host}]}}"#);
    let with_field = |field: &str| {
        with_host(&format!(r#"{{"host":"s","dial":"127.0.0.1:9000","health":"active",{field}}}"#))
    };
    let nested =
        |open: &str, close: &str| format!("{{\"seq\":{}0{}}}", open.repeat(99_999), close.repeat(99_999));
    let unreadable = [
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
        with_host(r#"{"host":"s","health":"active"}"#),
        with_host(r#"{"host":"s","dial":"nowhere","health":"active"}"#),
        with_host(r#"{"host":"s","dial":"127.0.0.1:9000","health":"dozing"}"#),
        with_host(r#"{"dial":"127.0.0.1:9000","health":"active"}"#),
        with_field(r#""share":NaN"#),
        with_field(r#""share":1e999"#),
        with_field(r#""share":"much""#),
        with_field(r#""born_ms":1e400"#),
        with_field(r#""block":-1"#),
        nested("[", "]"),
        nested("{\"seq\":", "}"),
    ];
    for (mode, message) in MODES.into_iter().flat_map(|m| unreadable.iter().map(move |b| (m, b))) {
        let mut harness = Harness::new(mode);
        harness.respond(&format!("{message}\n"));
        let begin: String = message.chars().take(60).collect();
        assert_eq!(
            (harness.applied.len(), harness.failures, harness.watcher.version()),
            (0, 1, 5),
            "{mode:?}: {begin}"
        );
        // Nor does it as a whole response; a valid one is applied after that.
        for _ in 0..2 {
            harness.advance_to_next_call();
            assert_eq!(harness.last_call().1, "/v1/endpoints", "{mode:?}: {begin}");
            let id = harness.respond(message);
            harness.event(Event::ResponseEnded(id));
            assert_eq!(harness.applied.len(), 0, "{mode:?}: {begin}");
        }
        harness.advance_to_next_call();
        harness.respond(&json_line(&update(6, true, &[])));
        assert_eq!((harness.applied.len(), harness.watcher.version()), (1, 6), "{mode:?}: {begin}");
    }
    for begin in ["{\"seq\":\"", "{\"more\":[", "x"] {
        let mut harness = Harness::new(DeliveryMode::Push);
        let id = harness.respond(begin);
        let pushed = (0..).take_while(|_| {
            harness.event(Event::ResponseBytes(id, &[b'1'; 65_536]));
            harness.watcher.is_call_open(id)
        });
        assert!(pushed.count() <= MAX_MESSAGE_BYTES / 65_536, "{begin}");
    }
}
