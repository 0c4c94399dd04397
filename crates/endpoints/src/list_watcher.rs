//! The node's client logic for the discovery service: when to call it, how to handle its responses and when to abandon
//! a call.
//!
//! The watcher does no I/O: it takes times and events and returns actions, and its owner connects and reads. All
//! deadlines follow from one rule of the platform: a node must have the service's current list at most 6 s after its
//! watch fell silent (for a call that may wait in a queue, 2 s after that wait), immediately where updates are pushed,
//! and at most 4 s after the service has moved. So a call is abandoned early enough for another one, whether no bytes
//! arrive, a message is incomplete or bytes arrive too slowly. Where updates are pushed, a second call is started in
//! parallel to an unanswered one: with a shorter timeout instead, no call would ever reach a service that is slow to
//! answer.

use thiserror::Error;

use crate::{DecodeError, ListState, MessageSplitter, Ms, Update};

/// Identifies a call.
pub type CallId = u64;

/// Time for a connection to be established, in ms.
const CONNECT_TIMEOUT_MS: Ms = 1000;
/// Time that a call may wait in the queue of an on-demand service, in ms.
const QUEUE_TIMEOUT_MS: Ms = 4500;
/// Time from the start of a call to the start of its response where updates are pushed, by an agent on the node's own
/// machine, in ms.
const PUSH_RESPONSE_TIMEOUT_MS: Ms = 1000;
/// Time without a byte after which a watch is abandoned, in ms. A watch sends a line at least every 2 s: a longer
/// silence means that the connection is broken, which TCP alone would not detect.
const IDLE_TIMEOUT_MS: Ms = 3200;
/// Time for a message or a whole list to be complete, in ms, even if bytes of it keep arriving.
const MESSAGE_TIMEOUT_MS: Ms = 4500;

/// Time for the list to arrive after a response that started late, when the service has moved, in ms. Without such a
/// delay the list is due [`IDLE_TIMEOUT_MS`] after the call was started.
const MOVED_MESSAGE_TIMEOUT_MS: Ms = 500;

/// Delay between the end of a call and the next one where updates are pushed, in ms.
const PUSH_RETRY_DELAY_MS: Ms = 100;
/// Time without a response after which a parallel call is started where updates are pushed, in ms. At most five calls
/// are in flight at a time, or ten if calls fail in between, as a failed call is retried sooner. It is shorter than
/// the grace period of a drain, as the platform expects a node to know what the agent knows as soon as the agent
/// answers again.
const PUSH_PARALLEL_CALL_DELAY_MS: Ms = 200;
/// The same for an on-demand service that has moved, in ms. The first call is kept, as it may be waiting in the
/// service's queue and would lose its place.
const MOVED_PARALLEL_CALL_DELAY_MS: Ms = 2000;
/// Time after the last message at which an on-demand service is called again if nothing requests it before, in ms, but no
/// sooner than [`ON_DEMAND_RETRY_DELAY_MS`] after a call has ended.
const ON_DEMAND_REFRESH_MS: Ms = 4000;
/// Minimum delay between the end of a call and the next one to an on-demand service, in ms.
const ON_DEMAND_RETRY_DELAY_MS: Ms = 500;
/// Minimum time between two reported failures where updates are pushed, in ms.
const PUSH_FAILURE_REPORT_INTERVAL_MS: Ms = 1000;

/// How the service delivers updates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeliveryMode {
    /// The service pushes updates: a watch is kept open permanently.
    Push,
    /// On demand: a watch is opened when the owner requests it, and by a timer at the latest.
    OnDemand,
}

/// Input of a [`ListWatcher`].
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A timer may be due, see [`ListWatcher::next_timer_at`]. Has no effect if none is.
    Tick,
    /// The owner requests the list.
    RefreshRequested,
    /// The service is at another address from now on.
    ServiceMoved,
    /// The call's connection is established and its request is written.
    Connected(CallId),
    /// The call's response has started, with this status.
    ResponseHead(CallId, u16),
    /// Bytes of the call's response body.
    ResponseBytes(CallId, &'a [u8]),
    /// The call's response has ended completely, without a transport error.
    ResponseEnded(CallId),
    /// The call has failed, for this reason.
    CallFailed(CallId, &'a str),
}

/// Output of a [`ListWatcher`], to be carried out in order.
#[derive(Debug)]
pub enum Action {
    /// Open a new connection to the service and request this path.
    StartCall(CallId, String),
    /// Abandon this call and close its connection.
    CancelCall(CallId),
    /// Apply this list, or these changes.
    ApplyUpdate(Update),
    /// The service has answered and has no changes.
    NoChanges,
    /// A call failed.
    ReportFailure(CallFailure),
}

/// Why a call failed.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// No connection was established in time.
    #[error("connection timed out")]
    ConnectTimeout,
    /// No response started in time.
    #[error("no response in time")]
    ResponseTimeout,
    /// No byte arrived for too long.
    #[error("connection silent for too long")]
    IdleTimeout,
    /// Bytes arrived, but no complete message.
    #[error("message not complete in time")]
    MessageTimeout,
    /// The response has a status other than 200.
    #[error("status {0}")]
    Status(u16),
    /// The response ended.
    #[error("response ended")]
    ResponseEnded,
    /// The connection failed.
    #[error("{0}")]
    Transport(String),
    /// A message is not a valid update. The whole list is requested next.
    #[error("unreadable message dropped: {0}")]
    Decode(#[from] DecodeError),
}

/// Progress of a call.
#[derive(Clone, Copy, Debug)]
enum Stage {
    Connecting,
    /// The request was written at this time.
    AwaitingResponse {
        since: Ms,
    },
    /// The response has started: a byte and a complete message are due at these times.
    Receiving {
        byte_deadline: Ms,
        message_deadline: Ms,
    },
}

#[derive(Debug)]
struct Call {
    id: CallId,
    /// It requests the whole list rather than a watch.
    whole_list: bool,
    started_at: Ms,
    stage: Stage,
    messages: MessageSplitter,
    /// Time of the last complete message, or of the start of the response or call before there is one.
    last_progress_at: Ms,
    received_message: bool,
}

impl Call {
    /// When the call is abandoned, and with which failure.
    fn deadline(&self, mode: DeliveryMode) -> (Ms, CallFailure) {
        match (self.stage, mode) {
            (Stage::Connecting, DeliveryMode::Push) => {
                (self.started_at + PUSH_RESPONSE_TIMEOUT_MS, CallFailure::ConnectTimeout)
            }
            (Stage::Connecting, DeliveryMode::OnDemand) => {
                (self.started_at + CONNECT_TIMEOUT_MS, CallFailure::ConnectTimeout)
            }
            (Stage::AwaitingResponse { .. }, DeliveryMode::Push) => {
                (self.started_at + PUSH_RESPONSE_TIMEOUT_MS, CallFailure::ResponseTimeout)
            }
            (Stage::AwaitingResponse { since }, DeliveryMode::OnDemand) => {
                (since + QUEUE_TIMEOUT_MS, CallFailure::ResponseTimeout)
            }
            (Stage::Receiving { byte_deadline, message_deadline }, _)
                if byte_deadline <= message_deadline =>
            {
                (byte_deadline, CallFailure::IdleTimeout)
            }
            (Stage::Receiving { message_deadline, .. }, _) => (message_deadline, CallFailure::MessageTimeout),
        }
    }
}

/// Follows the list for one node, as a state machine without I/O.
#[derive(Debug)]
pub struct ListWatcher {
    mode: DeliveryMode,
    list: ListState,
    calls: Vec<Call>,
    last_id: CallId,
    /// When the last call was started.
    last_started_at: Ms,
    /// When the next call is started, after one has ended.
    retry_at: Option<Ms>,
    /// The next call must request the whole list.
    needs_whole_list: bool,
    /// The service has moved and has not delivered its list from the new address yet.
    awaiting_moved_service: bool,
    /// When the next failure may be reported.
    next_failure_report_at: Ms,
    /// When a message was last received.
    last_received_at: Option<Ms>,
    actions: Vec<Action>,
}

impl ListWatcher {
    /// Creates a watcher that starts from a saved list.
    pub fn new(mode: DeliveryMode, saved: Option<&Update>, now: Ms) -> Self {
        Self {
            mode,
            list: ListState::new(saved),
            calls: Vec::new(),
            last_id: 0,
            last_started_at: now,
            retry_at: (mode == DeliveryMode::Push).then_some(now),
            needs_whole_list: false,
            awaiting_moved_service: false,
            next_failure_report_at: 0,
            last_received_at: None,
            actions: Vec::new(),
        }
    }

    /// Whether this call is still in flight.
    pub fn is_call_open(&self, id: CallId) -> bool {
        self.calls.iter().any(|c| c.id == id)
    }

    /// Newest accepted version of the list.
    pub fn version(&self) -> u64 {
        self.list.version()
    }

    /// When a message of the service was last received, if any was.
    pub fn last_received(&self) -> Option<Ms> {
        self.last_received_at
    }

    /// Time at which [`Event::Tick`] is due next; `None` if no timer is set. A time in the past means that it is due
    /// now.
    pub fn next_timer_at(&self) -> Option<Ms> {
        let deadlines = self.calls.iter().map(|c| c.deadline(self.mode).0);
        deadlines.chain(self.next_start_at()).chain(self.rollback_confirm_at()).min()
    }

    /// Handles an event at time `now`; returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Ms, event: Event<'_>) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::RefreshRequested if self.calls.is_empty() => self.retry_at = Some(now),
            Event::RefreshRequested => {}
            Event::ServiceMoved => {
                self.list.service_moved();
                (self.awaiting_moved_service, self.needs_whole_list) = (true, true);
                self.restart_calls(now);
            }
            Event::Connected(id) => {
                if let Some(call) = self.call_mut(id) {
                    call.stage = Stage::AwaitingResponse { since: now };
                }
            }
            Event::ResponseHead(id, 200) => self.response_started(now, id),
            Event::ResponseHead(id, status) => self.fail_call(now, id, CallFailure::Status(status)),
            Event::ResponseBytes(id, bytes) => self.bytes_received(now, id, bytes),
            Event::ResponseEnded(id) => self.response_ended(now, id),
            Event::CallFailed(id, reason) => self.fail_call(now, id, CallFailure::Transport(reason.into())),
        }
        self.run_timers(now);
        std::mem::take(&mut self.actions)
    }

    fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|c| c.id == id)
    }

    /// When the next call is started, in parallel to those in flight if there are any.
    fn next_start_at(&self) -> Option<Ms> {
        if self.calls.is_empty() {
            return self.retry_at;
        }
        let receiving = self.calls.iter().any(|c| matches!(c.stage, Stage::Receiving { .. }));
        let parallel_delay = match self.mode {
            DeliveryMode::Push => Some(PUSH_PARALLEL_CALL_DELAY_MS),
            DeliveryMode::OnDemand => self.awaiting_moved_service.then_some(MOVED_PARALLEL_CALL_DELAY_MS),
        };
        // Counted from the last call that was started, even if it has failed since. Counted from the newest call in
        // flight, the next call would be due as soon as one is refused, and so would be one refused call after
        // another.
        let parallel_at = parallel_delay.filter(|_| !receiving).map(|delay| self.last_started_at + delay)?;
        Some(self.retry_at.map_or(parallel_at, |retry_at| retry_at.min(parallel_at)))
    }

    /// When to confirm a suspected rollback, unless the whole list is requested anyway.
    fn rollback_confirm_at(&self) -> Option<Ms> {
        self.list.rollback_confirm_at().filter(|_| !self.needs_whole_list)
    }

    fn run_timers(&mut self, now: Ms) {
        let mode = self.mode;
        let expired = |c: &Call| {
            Some(c.deadline(mode)).filter(|(at, _)| now >= *at).map(|(_, failure)| (c.id, failure))
        };
        while let Some((id, failure)) = self.calls.iter().find_map(expired) {
            self.fail_call(now, id, failure);
        }
        if self.rollback_confirm_at().is_some_and(|at| now >= at) {
            self.needs_whole_list = true;
            self.restart_calls(now);
        }
        if self.next_start_at().is_some_and(|at| now >= at) {
            self.start_call(now);
        }
    }

    /// Abandons all calls; the next one is due at once.
    fn restart_calls(&mut self, now: Ms) {
        self.actions.extend(self.calls.drain(..).map(|c| Action::CancelCall(c.id)));
        self.retry_at = Some(now);
    }

    fn start_call(&mut self, now: Ms) {
        self.last_id += 1;
        (self.last_started_at, self.retry_at) = (now, None);
        let (id, whole_list) = (self.last_id, self.needs_whole_list);
        self.calls.push(Call {
            id,
            whole_list,
            started_at: now,
            stage: Stage::Connecting,
            messages: MessageSplitter::default(),
            last_progress_at: now,
            received_message: false,
        });
        let path = match whole_list {
            true => "/v1/endpoints".to_string(),
            false => format!("/v1/endpoints?watch=1&from={}", self.version()),
        };
        self.actions.push(Action::StartCall(id, path));
    }

    /// A call's response has started: the other calls are no longer needed.
    fn response_started(&mut self, now: Ms, id: CallId) {
        let (mode, moved) = (self.mode, self.awaiting_moved_service);
        let Some(call) = self.call_mut(id) else { return };
        call.stage = match call.stage {
            _ if moved => {
                let deadline = (call.started_at + IDLE_TIMEOUT_MS).max(now + MOVED_MESSAGE_TIMEOUT_MS);
                Stage::Receiving { byte_deadline: deadline, message_deadline: deadline }
            }
            Stage::AwaitingResponse { since } if mode == DeliveryMode::OnDemand => Stage::Receiving {
                byte_deadline: (since + QUEUE_TIMEOUT_MS).max(now + IDLE_TIMEOUT_MS),
                message_deadline: now + MESSAGE_TIMEOUT_MS,
            },
            _ => Stage::Receiving {
                byte_deadline: now + IDLE_TIMEOUT_MS,
                message_deadline: now + MESSAGE_TIMEOUT_MS,
            },
        };
        call.last_progress_at = now;
        let others = self.calls.iter().filter(|c| c.id != id).map(|c| Action::CancelCall(c.id));
        self.actions.extend(others);
        self.calls.retain(|c| c.id == id);
    }

    fn bytes_received(&mut self, now: Ms, id: CallId, bytes: &[u8]) {
        let Some(call) = self.call_mut(id) else { return };
        let Stage::Receiving { byte_deadline, .. } = &mut call.stage else { return };
        *byte_deadline = now + IDLE_TIMEOUT_MS;
        if let Err(error) = call.messages.push(bytes) {
            return self.fail_call(now, id, error.into());
        }
        // A message may end the call.
        while let Some(message) = self.call_mut(id).and_then(|c| c.messages.next()) {
            self.message_received(now, id, &message);
        }
    }

    fn message_received(&mut self, now: Ms, id: CallId, message: &[u8]) {
        let Some(call) = self.call_mut(id) else { return };
        if call.whole_list && message.is_empty() {
            // Blank lines before a whole list do not count as an answer.
            return;
        }
        call.stage = Stage::Receiving {
            byte_deadline: now + IDLE_TIMEOUT_MS,
            message_deadline: now + MESSAGE_TIMEOUT_MS,
        };
        call.last_progress_at = now;
        let received_before = std::mem::replace(&mut call.received_message, true);
        self.last_received_at = Some(now);
        if !message.is_empty() {
            match Update::parse(message) {
                Ok(update) => self.apply_update(now, id, update),
                Err(error) => self.fail_call(now, id, error.into()),
            }
        } else if !received_before {
            self.actions.push(Action::NoChanges);
        }
    }

    fn apply_update(&mut self, now: Ms, id: CallId, update: Update) {
        if let Some(index) = self.calls.iter().position(|c| c.id == id && c.whole_list) {
            // A whole list is complete with its last brace: the end of the response may come late, or never.
            self.calls.remove(index);
            self.actions.push(Action::CancelCall(id));
            (self.needs_whole_list, self.awaiting_moved_service, self.retry_at) = (false, false, Some(now));
        }
        let outcome = self.list.apply(update, id, now);
        self.actions.push(outcome.accepted.map_or(Action::NoChanges, Action::ApplyUpdate));
        if self.calls.is_empty() && self.list.rollback_confirm_at().is_some() {
            // Where watches are up to date and whole lists lag behind, each would trigger a call for the other at once.
            self.retry_at = Some(now + self.retry_delay());
        }
        if outcome.needs_full_list {
            self.needs_whole_list = true;
            self.restart_calls(now);
        }
    }

    fn response_ended(&mut self, now: Ms, id: CallId) {
        let Some(call) = self.call_mut(id).filter(|c| c.whole_list) else {
            return self.fail_call(now, id, CallFailure::ResponseEnded);
        };
        let decode_error = Update::parse(call.messages.remainder()).err();
        self.fail_call(now, id, decode_error.map_or(CallFailure::ResponseEnded, CallFailure::Decode));
    }

    /// Minimum delay between the end of a call and the next one.
    fn retry_delay(&self) -> Ms {
        match self.mode {
            DeliveryMode::Push => PUSH_RETRY_DELAY_MS,
            DeliveryMode::OnDemand => ON_DEMAND_RETRY_DELAY_MS,
        }
    }

    /// Ends a call and schedules the next one.
    fn fail_call(&mut self, now: Ms, id: CallId, failure: CallFailure) {
        let Some(index) = self.calls.iter().position(|c| c.id == id) else { return };
        let call = self.calls.remove(index);
        self.actions.push(Action::CancelCall(id));
        self.needs_whole_list |= matches!(failure, CallFailure::Decode(_));
        let earliest = now + self.retry_delay();
        self.retry_at = Some(match self.mode {
            DeliveryMode::OnDemand if !self.awaiting_moved_service => {
                earliest.max(call.last_progress_at + ON_DEMAND_REFRESH_MS)
            }
            DeliveryMode::OnDemand | DeliveryMode::Push => earliest,
        });
        if self.mode == DeliveryMode::OnDemand || now >= self.next_failure_report_at {
            self.next_failure_report_at = now + PUSH_FAILURE_REPORT_INTERVAL_MS;
            self.actions.push(Action::ReportFailure(failure));
        }
    }
}
