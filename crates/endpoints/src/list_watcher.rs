//! How a node follows the list: when it calls the service, what it takes of the answers, and when it gives a call up.
//!
//! A time and an event in, actions out; the caller does the connecting and the reading. All waits count on one clock:
//! what a node misses counts as told 6 s after its watch fell silent (for a call that may wait, 2 s after that wait),
//! at once where lists are pushed, and 4 s after a move. So silence, half a line and a trickle of bytes alike end a
//! call in time for another one, and where lists are pushed an unanswered call gets another one beside it: to give
//! calls up sooner instead would keep a service that is slow to answer from ever being heard.

use thiserror::Error;

use crate::{DecodeError, ListState, MessageSplitter, Ms, Update};

/// A call's number.
pub type CallId = u64;

/// How long a connection may take.
const CONNECT: Ms = 1000;
/// How long a call may wait in the queue of a service that is asked.
const QUEUE: Ms = 4500;
/// How long a call may take until its answer begins where changes come unprompted, from an agent on the node's own
/// machine.
const AGENT: Ms = 1000;
/// A watch brings a line every 2 s: a longer silence is a dead link, which TCP alone would not notice.
const SILENCE: Ms = 3200;
/// A line, or a whole list, that is not there by then is not coming, even if bytes of it are.
const LINE: Ms = 4500;

/// After a move there is less time: the list has to come within a silence of the question, or so long after an answer
/// that began late.
const MOVED: Ms = 500;

/// How long after a call has ended the next is begun where lists are pushed.
const AGAIN: Ms = 100;
/// How long a call may be unanswered until another one is made beside it, which makes five at most, and ten where others
/// fail: within the grace of a drain, as what the agent has counts at once when it speaks again.
const BESIDE: Ms = 200;
/// The same for a service that is asked, after a move: it may have a queue, in which a call's place is worth keeping.
const BESIDE_MOVED: Ms = 2000;
/// A service that is asked is asked again by then, from when it fell silent, if nothing asks before; no sooner than
/// [`PAUSE`] after a call has ended.
const LATEST: Ms = 4000;
const PAUSE: Ms = 500;
/// Where lists are pushed, calls that fail are told so often at most.
const TELL: Ms = 1000;

/// How the list comes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeliveryMode {
    /// Unprompted: a watch is kept up for good.
    Push,
    /// On demand: a watch is begun when the owner asks, and at the latest when the clock wants it.
    OnDemand,
}

/// What happens to a follower.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Time has passed, see [`ListWatcher::next_deadline`].
    Tick,
    /// The owner asks for the list.
    RefreshRequested,
    /// The service is at another address now.
    ServiceMoved,
    /// A call is connected, and its question written.
    Connected(CallId),
    /// Its answer begins, with this status.
    ResponseHead(CallId, u16),
    /// Some of its answer.
    ResponseBytes(CallId, &'a [u8]),
    /// Its answer has ended as it should.
    ResponseEnded(CallId),
    /// It has failed, for this reason.
    CallFailed(CallId, &'a str),
}

/// What a follower wants done.
#[derive(Debug)]
pub enum Action {
    /// Connect to the service on a new connection, and ask for this path.
    StartCall(CallId, String),
    /// End this call and its connection.
    CancelCall(CallId),
    /// This is the list, or its changes, from now on.
    ApplyUpdate(Update),
    /// The service speaks, and has no news.
    NoChanges,
    /// A call failed.
    ReportFailure(CallFailure),
}

/// Why a call came to nothing.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection came up.
    #[error("no connection")]
    ConnectTimeout,
    /// It stayed unanswered.
    #[error("no answer")]
    ResponseTimeout,
    /// It fell silent.
    #[error("silent")]
    IdleTimeout,
    /// Bytes came, and no whole line.
    #[error("a line that does not end")]
    MessageTimeout,
    /// It was answered, but not by the list.
    #[error("status {0}")]
    Status(u16),
    /// Its answer ended.
    #[error("the answer ended")]
    ResponseEnded,
    /// Its connection failed.
    #[error("{0}")]
    Transport(String),
    /// It brought what can't be read; the whole list is asked for next.
    #[error("unreadable line dropped: {0}")]
    Decode(#[from] DecodeError),
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Connecting,
    /// Asked at this time.
    Asked(Ms),
    /// Its answer has begun: by when there has to be a byte, and by when a line.
    Open {
        byte: Ms,
        line: Ms,
    },
}

#[derive(Debug)]
struct Call {
    id: CallId,
    whole: bool,
    begun: Ms,
    stage: Stage,
    lines: MessageSplitter,
    /// Since when nothing of use has come.
    silent: Ms,
    heard: bool,
}

impl Call {
    /// When it is given up, and for what.
    fn due(&self, mode: DeliveryMode) -> (Ms, CallFailure) {
        match (self.stage, mode) {
            (Stage::Connecting, DeliveryMode::Push) => (self.begun + AGENT, CallFailure::ConnectTimeout),
            (Stage::Connecting, DeliveryMode::OnDemand) => {
                (self.begun + CONNECT, CallFailure::ConnectTimeout)
            }
            (Stage::Asked(_), DeliveryMode::Push) => (self.begun + AGENT, CallFailure::ResponseTimeout),
            (Stage::Asked(at), DeliveryMode::OnDemand) => (at + QUEUE, CallFailure::ResponseTimeout),
            (Stage::Open { byte, line }, _) if byte <= line => (byte, CallFailure::IdleTimeout),
            (Stage::Open { line, .. }, _) => (line, CallFailure::MessageTimeout),
        }
    }
}

/// Follows the list for one node.
#[derive(Debug)]
pub struct ListWatcher {
    mode: DeliveryMode,
    list: ListState,
    calls: Vec<Call>,
    last_id: CallId,
    /// When the last call was begun.
    begun: Ms,
    /// When the next is begun, since one has ended.
    again: Option<Ms>,
    /// Only the whole list will do.
    whole: bool,
    /// The service's address has changed, and it has not been heard there.
    moved: bool,
    /// When calls that fail may be told again.
    tell: Ms,
    /// When a line last came.
    heard: Option<Ms>,
    actions: Vec<Action>,
}

impl ListWatcher {
    /// A follower that begins with a saved list.
    pub fn new(mode: DeliveryMode, saved: Option<&Update>, now: Ms) -> Self {
        Self {
            mode,
            list: ListState::new(saved),
            calls: Vec::new(),
            last_id: 0,
            begun: now,
            again: (mode == DeliveryMode::Push).then_some(now),
            whole: false,
            moved: false,
            tell: 0,
            heard: None,
            actions: Vec::new(),
        }
    }

    /// Is this call still out?
    pub fn is_call_open(&self, id: CallId) -> bool {
        self.calls.iter().any(|c| c.id == id)
    }

    /// The version that counts.
    pub fn version(&self) -> u64 {
        self.list.version()
    }

    /// When the service last said something, if it ever did.
    pub fn last_received(&self) -> Option<Ms> {
        self.heard
    }

    /// When time alone next calls for something.
    pub fn next_deadline(&self) -> Option<Ms> {
        let due = self.calls.iter().map(|c| c.due(self.mode).0);
        due.chain(self.begin_at()).chain(self.rollback_confirm_at()).min()
    }

    /// Takes in what happened; what to do comes in its order.
    pub fn handle(&mut self, now: Ms, event: Event<'_>) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::RefreshRequested if self.calls.is_empty() => self.again = Some(now),
            Event::RefreshRequested => {}
            Event::ServiceMoved => {
                self.list.service_moved();
                (self.moved, self.whole) = (true, true);
                self.restart(now);
            }
            Event::Connected(id) => {
                if let Some(call) = self.call(id) {
                    call.stage = Stage::Asked(now);
                }
            }
            Event::ResponseHead(id, 200) => self.open(now, id),
            Event::ResponseHead(id, status) => self.fail(now, id, CallFailure::Status(status)),
            Event::ResponseBytes(id, bytes) => self.read(now, id, bytes),
            Event::ResponseEnded(id) => self.end(now, id),
            Event::CallFailed(id, words) => self.fail(now, id, CallFailure::Transport(words.into())),
        }
        self.follow_clock(now);
        std::mem::take(&mut self.actions)
    }

    fn call(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|c| c.id == id)
    }

    /// When the next call is begun beside those that are out, or while none is.
    fn begin_at(&self) -> Option<Ms> {
        if self.calls.is_empty() {
            return self.again;
        }
        let open = self.calls.iter().any(|c| matches!(c.stage, Stage::Open { .. }));
        let beside = match self.mode {
            DeliveryMode::Push => Some(BESIDE),
            DeliveryMode::OnDemand => self.moved.then_some(BESIDE_MOVED),
        };
        // One that was refused is not the newest any more: its time counts all the same, or the next would be begun at
        // once, and refused at once.
        let due = beside.filter(|_| !open).map(|after| self.begun + after)?;
        Some(self.again.map_or(due, |again| again.min(due)))
    }

    /// When an older list is to be confirmed, if the whole list is not being asked for anyway.
    fn rollback_confirm_at(&self) -> Option<Ms> {
        self.list.rollback_confirm_at().filter(|_| !self.whole)
    }

    fn follow_clock(&mut self, now: Ms) {
        let mode = self.mode;
        let over = |c: &Call| Some(c.due(mode)).filter(|(at, _)| now >= *at).map(|(_, why)| (c.id, why));
        while let Some((id, why)) = self.calls.iter().find_map(over) {
            self.fail(now, id, why);
        }
        if self.rollback_confirm_at().is_some_and(|at| now >= at) {
            self.whole = true;
            self.restart(now);
        }
        if self.begin_at().is_some_and(|at| now >= at) {
            self.begin(now);
        }
    }

    fn restart(&mut self, now: Ms) {
        self.actions.extend(self.calls.drain(..).map(|c| Action::CancelCall(c.id)));
        self.again = Some(now);
    }

    fn begin(&mut self, now: Ms) {
        self.last_id += 1;
        (self.begun, self.again) = (now, None);
        let (id, whole) = (self.last_id, self.whole);
        let (stage, lines) = (Stage::Connecting, MessageSplitter::default());
        self.calls.push(Call { id, whole, begun: now, stage, lines, silent: now, heard: false });
        let path = match whole {
            true => "/v1/endpoints".to_string(),
            false => format!("/v1/endpoints?watch=1&from={}", self.version()),
        };
        self.actions.push(Action::StartCall(id, path));
    }

    /// A call is answered: the others are of no more use.
    fn open(&mut self, now: Ms, id: CallId) {
        let (mode, moved) = (self.mode, self.moved);
        let Some(call) = self.call(id) else { return };
        call.stage = match call.stage {
            _ if moved => {
                let due = (call.begun + SILENCE).max(now + MOVED);
                Stage::Open { byte: due, line: due }
            }
            Stage::Asked(at) if mode == DeliveryMode::OnDemand => {
                Stage::Open { byte: (at + QUEUE).max(now + SILENCE), line: now + LINE }
            }
            _ => Stage::Open { byte: now + SILENCE, line: now + LINE },
        };
        call.silent = now;
        let others = self.calls.iter().filter(|c| c.id != id).map(|c| Action::CancelCall(c.id));
        self.actions.extend(others);
        self.calls.retain(|c| c.id == id);
    }

    fn read(&mut self, now: Ms, id: CallId, bytes: &[u8]) {
        let Some(call) = self.call(id) else { return };
        let Stage::Open { byte, .. } = &mut call.stage else { return };
        *byte = now + SILENCE;
        if let Err(error) = call.lines.push(bytes) {
            return self.fail(now, id, error.into());
        }
        // A line may end the call.
        while let Some(line) = self.call(id).and_then(|c| c.lines.next()) {
            self.line(now, id, &line);
        }
    }

    fn line(&mut self, now: Ms, id: CallId, line: &[u8]) {
        let Some(call) = self.call(id) else { return };
        if call.whole && line.is_empty() {
            // Blanks before the list are no list.
            return;
        }
        call.stage = Stage::Open { byte: now + SILENCE, line: now + LINE };
        call.silent = now;
        let heard = std::mem::replace(&mut call.heard, true);
        self.heard = Some(now);
        if !line.is_empty() {
            match Update::parse(line) {
                Ok(update) => self.take(now, id, update),
                Err(error) => self.fail(now, id, error.into()),
            }
        } else if !heard {
            self.actions.push(Action::NoChanges);
        }
    }

    fn take(&mut self, now: Ms, id: CallId, update: Update) {
        if let Some(place) = self.calls.iter().position(|c| c.id == id && c.whole) {
            // Whole with its last brace: what ends the answer may come late, or not at all.
            self.calls.remove(place);
            self.actions.push(Action::CancelCall(id));
            (self.whole, self.moved, self.again) = (false, false, Some(now));
        }
        let outcome = self.list.apply(update, id, now);
        self.actions.push(outcome.accepted.map_or(Action::NoChanges, Action::ApplyUpdate));
        if self.calls.is_empty() && self.list.rollback_confirm_at().is_some() {
            // Where watches are as new as ours, and whole lists lag, each would have the other asked for at once.
            self.again = Some(now + self.pause());
        }
        if outcome.needs_full_list {
            self.whole = true;
            self.restart(now);
        }
    }

    fn end(&mut self, now: Ms, id: CallId) {
        let Some(call) = self.call(id).filter(|c| c.whole) else {
            return self.fail(now, id, CallFailure::ResponseEnded);
        };
        let cut_off = Update::parse(call.lines.remainder()).err();
        self.fail(now, id, cut_off.map_or(CallFailure::ResponseEnded, CallFailure::Decode));
    }

    /// How long after a call has ended the next may be begun.
    fn pause(&self) -> Ms {
        match self.mode {
            DeliveryMode::Push => AGAIN,
            DeliveryMode::OnDemand => PAUSE,
        }
    }

    /// A call is over, and has to be made again.
    fn fail(&mut self, now: Ms, id: CallId, why: CallFailure) {
        let Some(place) = self.calls.iter().position(|c| c.id == id) else { return };
        let call = self.calls.remove(place);
        self.actions.push(Action::CancelCall(id));
        self.whole |= matches!(why, CallFailure::Decode(_));
        let soon = now + self.pause();
        self.again = Some(match self.mode {
            DeliveryMode::OnDemand if !self.moved => soon.max(call.silent + LATEST),
            DeliveryMode::OnDemand | DeliveryMode::Push => soon,
        });
        if self.mode == DeliveryMode::OnDemand || now >= self.tell {
            self.tell = now + TELL;
            self.actions.push(Action::ReportFailure(why));
        }
    }
}
