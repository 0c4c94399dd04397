//! Clients and the fronts of their zones: tries, their outcomes, and retries.

use super::*;

impl World {
    /// Starts the drawn request `n`, and schedules the next arrival.
    pub(super) fn client_arrives(&mut self, n: usize) {
        let draw = self.draw.clone();
        let arrival = &draw.arrivals[n];
        if let Some(next) = draw.arrivals.get(n + 1) {
            self.schedule_event(next.at, Event::ClientArrives(n + 1));
        }
        self.requests.push(Request {
            try_count: 0,
            outcome: None,
            dedup_until: None,
            last_outcome: RequestOutcome::Unanswered,
            rng: Pcg64::seed_from_u64(arrival.seed),
        });
        self.tally.record_request(arrival.class, arrival.at, self.request_worth(n));
        self.tally.offered_work += arrival.work;
        self.start_try(n);
    }

    /// Worth of a request: the worth per unit of work of its class, times its work.
    fn request_worth(&self, request: usize) -> f64 {
        let arrival = &self.draw.arrivals[request];
        self.draw.classes[arrival.class].worth * arrival.work
    }

    /// Sends the next try of a request, or ends the request if too little time is left.
    pub(super) fn start_try(&mut self, request: usize) {
        let draw = self.draw.clone();
        let (arrival, now) = (&draw.arrivals[request], self.now);
        let class = &draw.classes[arrival.class];
        let Some(left) =
            (arrival.at + class.deadline).checked_sub(now).filter(|left| *left >= MIN_TRY_TIME_US)
        else {
            return self.end_request(request, None);
        };
        let timeout = left.min((class.deadline as f64 * draw.clients.try_timeout_share) as Us);
        let node = self.pick_node(arrival.zone);
        let try_id = self.tries.len();
        let is_retry = self.requests[request].try_count > 0;
        self.requests[request].try_count += 1;
        self.tries.push(Try {
            request,
            node,
            sent_at: now,
            timeout,
            is_retry,
            outcome: None,
            client_done: false,
            delivered: false,
            disconnected: false,
            served: false,
        });
        self.referee.request_sent(node, class);
        self.tally.second_mut(now).tries += 1;
        let arrival_time = now + self.jittered(draw.client_delay);
        self.schedule_event(arrival_time, Event::RequestAtNode(try_id));
        self.schedule_event(now + timeout, Event::TryTimesOut(try_id));
        self.schedule_event(now + timeout + ANSWER_GRACE_US, Event::AnswerOverdue(try_id));
        if let Some(share) = arrival.leaves_after.filter(|_| !is_retry) {
            self.schedule_event(now + (timeout as f64 * share) as Us, Event::ClientLeaves(try_id));
        }
    }

    /// The node that the front of a zone picks next: round robin over the zone's nodes that are in rotation, or over
    /// all of them if none is. A zone without nodes uses all nodes.
    fn pick_node(&mut self, zone: usize) -> usize {
        let in_zone = |n: &usize| self.nodes[*n].zone == zone;
        let mut nodes: Vec<usize> = (0..self.nodes.len()).filter(in_zone).collect();
        if nodes.is_empty() {
            nodes = (0..self.nodes.len()).collect();
        }
        let in_rotation: Vec<usize> = nodes.iter().copied().filter(|n| self.nodes[*n].in_rotation).collect();
        let nodes = if in_rotation.is_empty() { nodes } else { in_rotation };
        self.front_turns[zone] += 1;
        nodes[self.front_turns[zone] % nodes.len()]
    }

    /// A request reaches its node.
    pub(super) fn request_at_node(&mut self, try_id: usize) {
        // A client that leaves before its request arrives is never seen by the node.
        if !self.tries[try_id].disconnected {
            self.tries[try_id].delivered = true;
            self.effects.push_back(Effect::DeliverRequest(try_id));
        }
    }

    /// The client closes its connection.
    fn disconnect_client(&mut self, try_id: usize) {
        self.tries[try_id].disconnected = true;
        if self.tries[try_id].delivered {
            self.effects.push_back(Effect::ClientDisconnect(try_id));
        }
    }

    /// The client leaves before its timeout, unless it has its answer.
    pub(super) fn client_leaves(&mut self, try_id: usize) {
        if self.tries[try_id].outcome.is_none() && !self.tries[try_id].client_done {
            self.tries[try_id].client_done = true;
            self.disconnect_client(try_id);
            self.end_request(self.tries[try_id].request, Some(RequestOutcome::Unanswered));
        }
    }

    /// The client gives up waiting for a try.
    pub(super) fn try_times_out(&mut self, try_id: usize) {
        if !self.tries[try_id].client_done {
            self.tries[try_id].client_done = true;
            self.requests[self.tries[try_id].request].last_outcome = RequestOutcome::Unanswered;
            self.schedule_retry(self.tries[try_id].request, None);
        }
    }

    /// The client's host goes on listening for a while after the client has given up; an answer that has not arrived
    /// by now is lost.
    pub(super) fn answer_overdue(&mut self, try_id: usize) {
        let t = &self.tries[try_id];
        if t.outcome.is_some() || t.disconnected {
            return;
        }
        if !self.nodes[t.node].excused(t.sent_at, self.now) {
            let about = BreachSubject { node: Some(t.node), server: None, request: Some(try_id) };
            self.referee.record_breach(Rule::Answer, self.now, about, "no final answer");
        }
        self.disconnect_client(try_id);
    }

    /// The client's try, as sent to its node.
    pub fn client_try(&self, try_id: usize) -> ClientTry {
        let t = &self.tries[try_id];
        let arrival = &self.draw.arrivals[t.request];
        ClientTry {
            node: t.node,
            class: arrival.class,
            request: t.request,
            timeout: t.timeout,
            sent_at: t.sent_at,
            work: arrival.work,
            work_estimate: arrival.work_estimate,
            is_retry: t.is_retry,
        }
    }

    /// Records a node's answer to a client, or the end of the connection.
    pub fn try_ended(&mut self, now: Us, try_id: usize, outcome: TryOutcome) {
        self.advance(now);
        if self.tries[try_id].outcome.is_some() || self.tries[try_id].disconnected {
            return;
        }
        self.tries[try_id].outcome = Some(outcome);
        let t = &self.tries[try_id];
        let (node, sent_at, due) = (t.node, t.sent_at, t.sent_at + t.timeout);
        match outcome {
            TryOutcome::Answer { status, attempt, .. } => {
                let was_served = |a: usize| {
                    self.attempts.get(a).is_some_and(|a| {
                        a.try_id == try_id && a.stage == Stage::Answered(ServerReply::Served)
                    })
                };
                let genuine = attempt.is_some_and(was_served);
                self.referee.request_answered(now, try_id, status, genuine);
                if now > due + self.referee.answer_slack() {
                    self.tally.overdue_answers += 1;
                }
            }
            TryOutcome::ConnectionLost { partial_answer: false } => {
                if !self.nodes[node].excused(sent_at, now) {
                    self.tally.unanswered_closes += 1;
                    if self.tally.unanswered_closes * REQUESTS_PER_ALLOWED_CLOSE
                        > self.draw.arrivals.len() as u64
                    {
                        let about = BreachSubject { node: Some(node), server: None, request: Some(try_id) };
                        let reason = "connections that end with no answer, beyond one request in 200";
                        self.referee.record_breach(Rule::Answer, now, about, reason);
                    }
                }
            }
            TryOutcome::NoConnection | TryOutcome::ConnectionLost { partial_answer: true } => {}
        }
        let arrival_time = now + self.jittered(self.draw.client_delay);
        self.schedule_event(arrival_time, Event::AnswerAtClient(try_id));
    }

    /// The outcome of a try reaches the client, if it still waits.
    pub(super) fn answer_at_client(&mut self, try_id: usize) {
        if std::mem::replace(&mut self.tries[try_id].client_done, true) {
            return;
        }
        let request = self.tries[try_id].request;
        let arrival = &self.draw.arrivals[request];
        match self.tries[try_id].outcome {
            Some(TryOutcome::Answer { status: 200, .. }) => {
                let late = self.now > arrival.at + self.draw.classes[arrival.class].aim;
                self.tally.useful_work += arrival.work;
                self.end_request(
                    request,
                    Some(if late { RequestOutcome::Late } else { RequestOutcome::InTime }),
                );
            }
            Some(TryOutcome::Answer { status: 429 | 503, retry_after, .. }) => {
                self.requests[request].last_outcome = RequestOutcome::Refused;
                self.schedule_retry(request, retry_after);
            }
            _ => {
                self.requests[request].last_outcome = RequestOutcome::Failed;
                self.schedule_retry(request, None);
            }
        }
    }

    /// Schedules the client's next try after a backoff, if it has tries left.
    fn schedule_retry(&mut self, request: usize, retry_after: Option<Us>) {
        let draw = self.draw.clone();
        let r = &mut self.requests[request];
        if r.try_count > draw.clients.max_retries {
            return self.end_request(request, None);
        }
        let max_backoff = draw.clients.backoff << (r.try_count - 1).min(10);
        let mut delay = (max_backoff as f64 * r.rng.random_range(0.5..1.0)) as Us;
        if let Some(retry_after) = retry_after.filter(|_| draw.arrivals[request].honours_retry_after) {
            delay = delay.max(retry_after.min(draw.clients.max_retry_after));
        }
        self.schedule_event(self.now + delay, Event::ClientRetries(request));
    }

    /// Ends a request with an outcome, or with the outcome of its last try.
    fn end_request(&mut self, request: usize, outcome: Option<RequestOutcome>) {
        let r = &mut self.requests[request];
        let outcome = outcome.unwrap_or(r.last_outcome);
        if r.outcome.replace(outcome).is_some() {
            return;
        }
        let arrival = &self.draw.arrivals[request];
        let (elapsed, worth) = (self.now - arrival.at, self.request_worth(request));
        self.tally.record_outcome(arrival.class, arrival.at, worth, outcome, elapsed);
        if !matches!(outcome, RequestOutcome::InTime | RequestOutcome::Late)
            && elapsed > self.draw.classes[arrival.class].aim
        {
            self.tally.failed_late += worth;
        }
    }
}
