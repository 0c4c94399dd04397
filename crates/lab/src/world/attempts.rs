//! Attempts: from a node to an app server over the links, and the reply back.

use super::*;

impl World {
    /// Value of the `x-txn` header that identifies a try.
    pub fn txn(&self, try_id: usize) -> String {
        format!("{:08x}{:08x}", self.draw.seed as u32 ^ 0x5bd1_e995, try_id)
    }

    /// The try that an `x-txn` value identifies, if there is one.
    pub fn try_by_txn(&self, txn: &str) -> Option<usize> {
        let try_id = usize::from_str_radix(txn.get(8..)?, 16).ok()?;
        (try_id < self.tries.len() && self.txn(try_id) == txn).then_some(try_id)
    }

    /// Opens a connection to a server. Returns the server's incarnation, which ends with its process, or `None` if the
    /// connection is refused.
    pub fn connect(&mut self, now: Us, server: usize) -> Option<u32> {
        self.advance(now);
        self.advance_server(server);
        let accepted = self.servers[server].process_state != ProcessState::NotRunning
            && self.servers[server].model.connect();
        let second = self.tally.second_mut(now);
        second.connections += 1;
        second.refused_connections += u64::from(!accepted);
        accepted.then_some(self.servers[server].incarnation)
    }

    /// Closes a connection that was opened to this incarnation of a server; does nothing if the server has restarted
    /// since.
    pub fn disconnect(&mut self, now: Us, server: usize, incarnation: u32) {
        self.advance(now);
        self.advance_server(server);
        if self.servers[server].incarnation == incarnation {
            self.servers[server].model.disconnect();
        }
    }

    /// Starts an attempt at the try that `txn` identifies; `fresh` if it is the first request on its connection.
    /// Returns `None`, and records a breach, if no try has this `txn`.
    pub fn start_attempt(
        &mut self,
        now: Us,
        server: usize,
        zone: usize,
        txn: &str,
        fresh: bool,
    ) -> Option<usize> {
        self.advance(now);
        let Some(try_id) = self.try_by_txn(txn) else {
            let about = BreachSubject { server: Some(server), ..BreachSubject::default() };
            self.referee.record_breach(Rule::Unknown, now, about, format!("no client sent {txn:?}"));
            return None;
        };
        let attempt_in_try = self.referee.attempt_sent(now, try_id, server, now, &self.list);
        let node = self.tries[try_id].node;
        let informed = self.referee.node_knows_start(node, server, self.servers[server].born_ms);
        self.tally.record_attempt(now, server, self.servers[server].spec.zone != zone);
        let attempt = self.attempts.len();
        let incarnation = self.servers[server].incarnation;
        let server_faulty = self.removals.is_faulty(server, zone);
        self.removals.record_attempt(now, server, zone);
        let stage = Stage::InTransit;
        self.attempts.push(Attempt {
            try_id,
            attempt_in_try,
            server,
            incarnation,
            zone,
            stage,
            informed,
            server_faulty,
            reply_received: false,
        });
        let to = self.servers[server].spec.zone;
        let uplink_loss = self.nodes[node].uplink_loss;
        if uplink_loss > 0.0 && self.rng.random::<f64>() < uplink_loss {
            if self.rng.random() {
                let arrival = now + self.jittered(self.draw.delays[zone][to]);
                self.schedule_event(arrival, Event::ReplyAtNode(attempt, ServerReply::Reset));
            }
        } else if self.is_link_open(zone, to)
            && self.servers[server].process_state != ProcessState::Unreachable
        {
            let trips = if fresh { 2.0 * self.draw.handshake_trips } else { 0.0 };
            let sent = now + (self.draw.delays[zone][to] as f64 * trips) as Us;
            let arrival = self.link_arrival_time(sent, zone, to, REQUEST_BYTES);
            self.schedule_event(arrival, Event::RequestAtServer(attempt));
        }
        Some(attempt)
    }

    /// The try that an attempt belongs to.
    pub fn try_of(&self, attempt: usize) -> usize {
        self.attempts[attempt].try_id
    }

    /// The node no longer waits for an attempt: sends a cancellation to the server if it has not answered.
    pub fn attempt_closed(&mut self, now: Us, attempt: usize) {
        self.advance(now);
        let a = &self.attempts[attempt];
        let client_try = &self.tries[a.try_id];
        // It counts as failed unless the client gave up or left, or another attempt has been served.
        if !a.reply_received && !client_try.client_done && !client_try.disconnected && !client_try.served {
            self.record_failure(attempt);
        }
        let a = &self.attempts[attempt];
        if matches!(a.stage, Stage::AtServer | Stage::InTransit) {
            let delay = self.draw.delays[a.zone][self.servers[a.server].spec.zone];
            let arrival = now + self.jittered(delay);
            self.schedule_event(arrival, Event::CancelAtServer(attempt));
        }
    }

    /// Counts a failed or abandoned attempt.
    fn record_failure(&mut self, attempt: usize) {
        self.tally.failed_attempts[usize::from(!self.attempts[attempt].server_faulty)] += 1;
    }

    /// Arrival time of a message sent at `at`. On a link with limited bandwidth, messages are transmitted one after
    /// the other.
    fn link_arrival_time(&mut self, at: Us, from: usize, to: usize, bytes: f64) -> Us {
        let link = &mut self.links[from][to];
        let mut sent = at;
        if link.us_per_byte > 0.0 {
            sent = sent.max(link.free_at) + (bytes * link.us_per_byte) as Us;
            link.free_at = sent;
        }
        sent + self.jittered(self.draw.delays[from][to])
    }

    /// Whether messages pass from one zone to another.
    pub(super) fn is_link_open(&self, from: usize, to: usize) -> bool {
        self.links[from][to].cuts == 0
    }

    /// A request arrives at its server, which answers, queues or runs it.
    pub(super) fn request_at_server(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let (server, informed) = (a.server, a.informed);
        if a.stage != Stage::InTransit || !self.is_same_process(attempt) {
            return;
        }
        self.advance_server(server);
        let instance = &mut self.servers[server];
        let error_rate =
            instance.error_rate.max(instance.release_error_rate).max(instance.spec.parameters.error_rate);
        if self.rng.random::<f64>() < error_rate {
            return self.send_reply(attempt, self.now, ServerReply::Error);
        }
        let request = self.tries[self.attempts[attempt].try_id].request;
        let is_duplicate = self.requests[request].dedup_until.is_some_and(|until| self.now < until);
        let work = self.draw.arrivals[request].work;
        // A duplicate is dropped and gets the first one's answer.
        let work = if is_duplicate { work.min(DUPLICATE_WORK_US) } else { work };
        match instance.model.arrive(attempt as u64, work, informed) {
            Admission::Accepted => self.attempts[attempt].stage = Stage::AtServer,
            Admission::TurnedAway => {
                self.tally.second_mut(self.now).turned_away += 1;
                self.send_reply(attempt, self.now, ServerReply::TurnedAway);
            }
            Admission::Crashed { informed_share } => self.crash_overloaded_server(attempt, informed_share),
        }
        self.schedule_server(server);
    }

    /// Whether the process to which an attempt was sent is still up.
    fn is_same_process(&self, attempt: usize) -> bool {
        let a = &self.attempts[attempt];
        self.servers[a.server].incarnation == a.incarnation
            && self.servers[a.server].process_state == ProcessState::Up
    }

    /// The server was overloaded while cold: it crashes and stays down. A breach if at least two thirds of the work
    /// came from nodes that had been notified of its start.
    fn crash_overloaded_server(&mut self, attempt: usize, informed_share: f64) {
        let a = &self.attempts[attempt];
        let (server, node) = (a.server, self.tries[a.try_id].node);
        if informed_share >= 2.0 / 3.0 {
            let about = BreachSubject { node: Some(node), server: Some(server), request: Some(a.try_id) };
            let reason = format!(
                "overloaded while cold, {:.0}% of the work from nodes that had been notified of its start",
                informed_share * 100.0
            );
            self.referee.record_breach(Rule::Cold, self.now, about, reason);
        }
        self.crash_server(server);
    }

    /// A cancellation arrives at a server.
    pub(super) fn cancel_at_server(&mut self, attempt: usize) {
        if !self.is_same_process(attempt) {
            return;
        }
        let server = self.attempts[attempt].server;
        self.advance_server(server);
        match self.attempts[attempt].stage {
            Stage::InTransit => self.attempts[attempt].stage = Stage::Closed,
            Stage::AtServer if self.servers[server].model.cancel(attempt as u64) => {
                self.attempts[attempt].stage = Stage::Closed;
            }
            _ => {}
        }
        self.schedule_server(server);
    }

    /// A server's next state change is due.
    pub(super) fn server_step(&mut self, server: usize) {
        if self.servers[server].next_step.is_some_and(|due| due <= self.now) {
            self.servers[server].next_step = None;
        }
        self.advance_server(server);
        self.schedule_server(server);
    }

    /// Advances a server to the current time, and sends the replies to requests that it has completed.
    pub(super) fn advance_server(&mut self, server: usize) {
        if self.servers[server].process_state == ProcessState::NotRunning {
            return;
        }
        let mut ended = Vec::new();
        self.servers[server].model.advance(self.now, &mut ended);
        if self.servers[server].model.is_choked() {
            self.tally.choked_servers.insert(server);
        }
        for (attempt, at) in ended {
            self.record_execution(attempt as usize, at);
            let instance = &self.servers[server];
            let (late_share, delay, truncated_share) = instance.gray_failure;
            let roll: f64 = self.rng.random();
            let reply = if self.rng.random::<f64>() < instance.reset_rate {
                ServerReply::Reset
            } else if roll < truncated_share {
                ServerReply::Truncated
            } else {
                ServerReply::Served
            };
            let delay =
                if (truncated_share..truncated_share + late_share).contains(&roll) { delay } else { 0 };
            self.send_reply(attempt as usize, at + delay, reply);
        }
    }

    /// Records that a keyed request has run: all servers drop its duplicates for the class's deduplication window.
    fn record_execution(&mut self, attempt: usize, at: Us) {
        let request = self.tries[self.attempts[attempt].try_id].request;
        let class = &self.draw.classes[self.draw.arrivals[request].class];
        if class.idempotency == Idempotency::Keyed {
            self.requests[request].dedup_until.get_or_insert(at + class.dedup_window);
        }
    }

    /// Schedules a server's next state change if it is earlier than the scheduled one.
    pub(super) fn schedule_server(&mut self, server: usize) {
        let instance = &mut self.servers[server];
        if instance.process_state == ProcessState::NotRunning {
            return;
        }
        if let Some(due) = instance.model.next_due().filter(|due| instance.next_step.is_none_or(|d| *due < d))
        {
            instance.next_step = Some(due);
            self.schedule_event(due, Event::ServerStep(server));
        }
    }

    /// Sends a reply at time `at`; it arrives if the server is up and the link is open.
    fn send_reply(&mut self, attempt: usize, at: Us, reply: ServerReply) {
        self.attempts[attempt].stage = Stage::Answered(reply);
        let a = &self.attempts[attempt];
        let (from, to) = (self.servers[a.server].spec.zone, a.zone);
        if self.servers[a.server].process_state == ProcessState::Up && self.is_link_open(from, to) {
            let arrival = self.link_arrival_time(at, from, to, ANSWER_BYTES);
            self.schedule_event(arrival, Event::ReplyAtNode(attempt, reply));
        }
    }

    /// A reply arrives at the node; ignored if the server has restarted meanwhile.
    pub(super) fn reply_at_node(&mut self, attempt: usize, reply: ServerReply) {
        let a = &self.attempts[attempt];
        if self.servers[a.server].incarnation != a.incarnation {
            return;
        }
        match reply {
            ServerReply::TurnedAway => self.referee.attempt_not_executed(a.try_id, a.attempt_in_try),
            ServerReply::Served => self.tries[a.try_id].served = true,
            ServerReply::Truncated | ServerReply::Error | ServerReply::Reset => self.record_failure(attempt),
        }
        self.attempts[attempt].reply_received = true;
        self.effects.push_back(Effect::DeliverReply { attempt, reply });
    }

    /// Response body of a served attempt.
    pub fn answer_body(&self, attempt: usize) -> String {
        format!("{attempt} served {}\n{:.<200}\n", self.txn(self.attempts[attempt].try_id), "")
    }

    /// The attempt that a response body names, if the body is complete.
    pub fn attempt_of_body(&self, body: &[u8]) -> Option<usize> {
        let text = std::str::from_utf8(body).ok()?;
        let attempt = text.split(' ').next()?.parse().ok()?;
        (attempt < self.attempts.len() && self.answer_body(attempt) == text).then_some(attempt)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Plan;

    /// Returns a lightly loaded world at the moment when the first client's request at or after `from` reaches its
    /// node, and the number of the try. `more` is added to the experiment's file.
    fn first_request(more: &str, from: Us) -> (World, usize) {
        let text = format!("schema = 1\nname = \"x\"\nlength_s = 20\n[load]\nper_s = 0.5\n{more}");
        let plan = Plan::read("x.toml", &text).expect("a valid plan");
        let server_address = Rc::new(|server, _| SocketAddr::from(([127, 0, 0, 1], server as u16)));
        let mut world = World::new(Rc::new(Draw::new(&plan, 4)), plan.rules, 0.0, server_address);
        loop {
            let due = world.next_due().expect("a client arrives");
            world.advance(due);
            while let Some(effect) = world.next_effect() {
                match effect {
                    Effect::DeliverRequest(try_id) if due >= from => return (world, try_id),
                    _ => {}
                }
            }
        }
    }

    /// Time until the reply to an attempt, and the reply, if one arrives within a second.
    fn reply_to(world: &mut World, attempt: usize) -> Option<(Us, ServerReply)> {
        let from = world.now();
        while let Some(due) = world.next_due().filter(|due| *due < from + 1_000_000) {
            world.advance(due);
            while let Some(effect) = world.next_effect() {
                match effect {
                    Effect::DeliverReply { attempt: replied, reply } if replied == attempt => {
                        return Some((due - from, reply))
                    }
                    _ => {}
                }
            }
        }
        None
    }

    #[test]
    fn a_duplicate_keyed_request_costs_little_at_any_server_and_one_without_a_key_costs_its_work() {
        for (effect, dropped) in [("keyed", true), ("safe", false)] {
            let class = format!(
                "[[class]]\nname = \"c\"\nshare = 1\nwork_ms = 200\ndist = \"exp\"\naim_ms = 5000\ndeadline_ms = 9000\n\
                worth = 1\neffect = \"{effect}\"\nwindow_ms = 5000\n"
            );
            let (mut world, try_id) = first_request(&class, 0);
            let txn = world.txn(try_id);
            let took = [0, 1].map(|server| {
                let attempt =
                    world.start_attempt(world.now(), server, 0, &txn, false).expect("a known request");
                reply_to(&mut world, attempt).expect("a reply")
            });
            assert_eq!(took.map(|t| t.1), [ServerReply::Served; 2]);
            assert!(took[0].0 > 20_000, "{effect}: {took:?}");
            assert_eq!(took[1].0 < 6_000, dropped, "{effect}: {took:?}");
        }
    }

    #[test]
    fn uplink_loss_drops_a_node_s_requests_and_no_server_counts_as_faulty() {
        let (mut world, try_id) =
            first_request("[[fault]]\nkind = \"uplink\"\nat_s = 0\nfor_s = 20\nfactor = 1\n", 0);
        let txn = world.txn(try_id);
        let mut replies = Vec::new();
        for _ in 0..20 {
            let attempt = world.start_attempt(world.now(), 0, 0, &txn, false).expect("a known request");
            replies.push(reply_to(&mut world, attempt).map(|(_, reply)| reply));
        }
        assert!(replies.contains(&None) && replies.contains(&Some(ServerReply::Reset)), "{replies:?}");
        assert!(replies.iter().all(|r| matches!(r, None | Some(ServerReply::Reset))), "{replies:?}");
        assert_eq!(world.tally.failed_attempts[0], 0);
    }

    /// Releases begin at 1 s, with a release that fails all requests, and at 9 s, with a good one. A server drains for
    /// 2.5 s and restarts 0.5 s later, so that it runs the first release at 6 s and the second at 14 s.
    #[test]
    fn a_bad_release_fails_requests_until_the_next_release() {
        let release = |at: u32, more: &str| {
            format!("[[fault]]\nkind = \"release\"\nat_s = {at}\nfor_s = 1\nids = [0]\n{more}")
        };
        let plan = format!("[discovery]\nnotice_s = 0\n{}{}", release(1, "factor = 1\n"), release(9, ""));
        for (from_s, expected_reply, faulty) in
            [(6, ServerReply::Error, true), (14, ServerReply::Served, false)]
        {
            let (mut world, try_id) = first_request(&plan, from_s * 1_000_000);
            let txn = world.txn(try_id);
            let attempt = world.start_attempt(world.now(), 0, 0, &txn, false).expect("a known request");
            assert_eq!(
                reply_to(&mut world, attempt).map(|(_, reply)| reply),
                Some(expected_reply),
                "{from_s} s"
            );
            assert_eq!(
                (world.removals.is_faulty(0, 0), world.tally.failed_attempts[0]),
                (faulty, u64::from(faulty))
            );
        }
    }

    #[test]
    fn a_partition_between_two_zones_leaves_the_third_reachable() {
        let cut = "[fleet]\nzones = [\"a\", \"b\", \"c\"]\n[[fault]]\nkind = \"cut\"\nat_s = 0\nfor_s = 20\n\
            zone = \"a\"\nto = \"b\"\nway = \"out\"\n";
        let (mut world, try_id) = first_request(cut, 0);
        let txn = world.txn(try_id);
        let server_in_zone =
            |world: &World, zone| world.servers.iter().position(|s| s.spec.zone == zone).expect("one");
        let servers = [0, 1, 2].map(|zone| server_in_zone(&world, zone));
        for (node, answered) in [(0, [true, false, true]), (1, [false, true, true]), (2, [true; 3])] {
            for (server, answered) in servers.into_iter().zip(answered) {
                let attempt =
                    world.start_attempt(world.now(), server, node, &txn, false).expect("a known request");
                assert_eq!(reply_to(&mut world, attempt).is_some(), answered, "zone {node}, server {server}");
                assert_eq!(world.removals.is_faulty(server, node), !answered);
            }
        }
    }
}
