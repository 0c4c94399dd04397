//! Clients and the fronts of their zones: tries, what comes of them, and when a client comes again.

use super::*;

impl World {
    pub(super) fn arrive(&mut self, n: usize) {
        let draw = self.draw.clone();
        let arrival = &draw.arrivals[n];
        if let Some(next) = draw.arrivals.get(n + 1) {
            self.at(next.at, Ev::Arrive(n + 1));
        }
        self.requests.push(Request {
            tries: 0,
            ended: None,
            kept: None,
            last: RequestOutcome::Unanswered,
            rng: Pcg64::seed_from_u64(arrival.seed),
        });
        self.tally.record_request(arrival.class, arrival.at, self.worth(n));
        self.tally.offered_work += arrival.work;
        self.start_try(n);
    }

    fn worth(&self, request: usize) -> f64 {
        let arrival = &self.draw.arrivals[request];
        self.draw.classes[arrival.class].worth * arrival.work
    }

    pub(super) fn start_try(&mut self, request: usize) {
        let draw = self.draw.clone();
        let (arrival, now) = (&draw.arrivals[request], self.now);
        let class = &draw.classes[arrival.class];
        let Some(left) = (arrival.at + class.deadline).checked_sub(now).filter(|left| *left >= TRY_LEAST)
        else {
            return self.end(request, None);
        };
        let wait = left.min((class.deadline as f64 * draw.clients.try_timeout_share) as Us);
        let node = self.front(arrival.zone);
        let ask = self.tries.len();
        let again = self.requests[request].tries > 0;
        self.requests[request].tries += 1;
        self.tries.push(Try {
            request,
            node,
            at: now,
            wait,
            again,
            got: None,
            over: false,
            sent: false,
            left: false,
            served: false,
        });
        self.referee.request_sent(node, class);
        self.tally.second_mut(now).tries += 1;
        let there = now + self.jittered(draw.client_delay);
        self.at(there, Ev::ToNode(ask));
        self.at(now + wait, Ev::GivesUp(ask));
        self.at(now + wait + LOST_AFTER, Ev::Overdue(ask));
        if let Some(share) = arrival.leaves_after.filter(|_| !again) {
            self.at(now + (wait as f64 * share) as Us, Ev::Leaves(ask));
        }
    }

    /// The node that the front of a zone takes next: each in turn that it believes to be there.
    fn front(&mut self, zone: usize) -> usize {
        let own = |n: &usize| self.nodes[*n].zone == zone;
        let mut nodes: Vec<usize> = (0..self.nodes.len()).filter(own).collect();
        if nodes.is_empty() {
            nodes = (0..self.nodes.len()).collect();
        }
        let believed: Vec<usize> = nodes.iter().copied().filter(|n| self.nodes[*n].believed).collect();
        let nodes = if believed.is_empty() { nodes } else { believed };
        self.turns[zone] += 1;
        nodes[self.turns[zone] % nodes.len()]
    }

    pub(super) fn reaches_node(&mut self, ask: usize) {
        // Whoever leaves sooner than its request is there was never heard of.
        if !self.tries[ask].left {
            self.tries[ask].sent = true;
            self.out.push_back(Effect::DeliverRequest(ask));
        }
    }

    /// The client closes its connection.
    fn leave(&mut self, ask: usize) {
        self.tries[ask].left = true;
        if self.tries[ask].sent {
            self.out.push_back(Effect::ClientDisconnect(ask));
        }
    }

    pub(super) fn leaves(&mut self, ask: usize) {
        if self.tries[ask].got.is_none() && !self.tries[ask].over {
            self.tries[ask].over = true;
            self.leave(ask);
            self.end(self.tries[ask].request, Some(RequestOutcome::Unanswered));
        }
    }

    pub(super) fn gives_up(&mut self, ask: usize) {
        if !self.tries[ask].over {
            self.tries[ask].over = true;
            self.requests[self.tries[ask].request].last = RequestOutcome::Unanswered;
            self.again(self.tries[ask].request, None);
        }
    }

    /// The client's machine goes on listening for a while after its client gave up; what has not come by now is lost.
    pub(super) fn overdue(&mut self, ask: usize) {
        let t = &self.tries[ask];
        if t.got.is_some() || t.left {
            return;
        }
        if !self.nodes[t.node].excused(t.at, self.now) {
            let about = BreachSubject { node: Some(t.node), server: None, request: Some(ask) };
            self.referee.record_breach(Rule::Answer, self.now, about, "no final answer");
        }
        self.leave(ask);
    }

    /// What a node is asked.
    pub fn client_try(&self, ask: usize) -> ClientTry {
        let t = &self.tries[ask];
        let arrival = &self.draw.arrivals[t.request];
        ClientTry {
            node: t.node,
            class: arrival.class,
            request: t.request,
            timeout: t.wait,
            sent_at: t.at,
            work: arrival.work,
            work_estimate: arrival.work_estimate,
            is_retry: t.again,
        }
    }

    /// A node's answer to a client, or what became of the connection.
    pub fn try_ended(&mut self, now: Us, ask: usize, got: TryOutcome) {
        self.advance(now);
        if self.tries[ask].got.is_some() || self.tries[ask].left {
            return;
        }
        self.tries[ask].got = Some(got);
        let t = &self.tries[ask];
        let (node, from, due) = (t.node, t.at, t.at + t.wait);
        match got {
            TryOutcome::Answer { status, attempt, .. } => {
                let served = |a: usize| {
                    self.attempts
                        .get(a)
                        .is_some_and(|a| a.of == ask && a.stage == Stage::Answered(ServerReply::Served))
                };
                let genuine = attempt.is_some_and(served);
                self.referee.request_answered(now, ask, status, genuine);
                if now > due + self.referee.answer_slack() {
                    self.tally.overdue_answers += 1;
                }
            }
            TryOutcome::ConnectionLost { partial_answer: false } => {
                if !self.nodes[node].excused(from, now) {
                    self.tally.unanswered_closes += 1;
                    if self.tally.unanswered_closes * CLOSED_ONE_IN > self.draw.arrivals.len() as u64 {
                        let about = BreachSubject { node: Some(node), server: None, request: Some(ask) };
                        let words = "connections that end with no answer, beyond one request in 200";
                        self.referee.record_breach(Rule::Answer, now, about, words);
                    }
                }
            }
            TryOutcome::NoConnection | TryOutcome::ConnectionLost { partial_answer: true } => {}
        }
        let back = now + self.jittered(self.draw.client_delay);
        self.at(back, Ev::Hear(ask));
    }

    /// The client hears how its try ended, if it still waits.
    pub(super) fn hear(&mut self, ask: usize) {
        if std::mem::replace(&mut self.tries[ask].over, true) {
            return;
        }
        let request = self.tries[ask].request;
        let arrival = &self.draw.arrivals[request];
        match self.tries[ask].got {
            Some(TryOutcome::Answer { status: 200, .. }) => {
                let late = self.now > arrival.at + self.draw.classes[arrival.class].aim;
                self.tally.useful_work += arrival.work;
                self.end(request, Some(if late { RequestOutcome::Late } else { RequestOutcome::InTime }));
            }
            Some(TryOutcome::Answer { status: 429 | 503, retry_after, .. }) => {
                self.requests[request].last = RequestOutcome::Refused;
                self.again(request, retry_after);
            }
            _ => {
                self.requests[request].last = RequestOutcome::Failed;
                self.again(request, None);
            }
        }
    }

    /// The client tries again after a wait, if it may.
    fn again(&mut self, request: usize, told: Option<Us>) {
        let draw = self.draw.clone();
        let r = &mut self.requests[request];
        if r.tries > draw.clients.max_retries {
            return self.end(request, None);
        }
        let full = draw.clients.backoff << (r.tries - 1).min(10);
        let mut wait = (full as f64 * r.rng.random_range(0.5..1.0)) as Us;
        if let Some(told) = told.filter(|_| draw.arrivals[request].honours_retry_after) {
            wait = wait.max(told.min(draw.clients.max_retry_after));
        }
        self.at(self.now + wait, Ev::Retry(request));
    }

    fn end(&mut self, request: usize, end: Option<RequestOutcome>) {
        let r = &mut self.requests[request];
        let end = end.unwrap_or(r.last);
        if r.ended.replace(end).is_some() {
            return;
        }
        let arrival = &self.draw.arrivals[request];
        let (took, worth) = (self.now - arrival.at, self.worth(request));
        self.tally.record_outcome(arrival.class, arrival.at, worth, end, took);
        if !matches!(end, RequestOutcome::InTime | RequestOutcome::Late)
            && took > self.draw.classes[arrival.class].aim
        {
            self.tally.failed_late += worth;
        }
    }
}
