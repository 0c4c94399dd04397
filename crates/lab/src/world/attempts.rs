//! Attempts: from a node to an app server and back, over the links.

use super::*;

impl World {
    /// The text that names a try on the wire.
    pub fn txn(&self, ask: usize) -> String {
        format!("{:08x}{:08x}", self.draw.seed as u32 ^ 0x5bd1_e995, ask)
    }

    /// The try that a text names.
    pub fn try_by_txn(&self, txn: &str) -> Option<usize> {
        let ask = usize::from_str_radix(txn.get(8..)?, 16).ok()?;
        (ask < self.tries.len() && self.txn(ask) == txn).then_some(ask)
    }

    /// A connection to a server; the server's life, which ends with its process, or `None` where it is refused.
    pub fn connect(&mut self, now: Us, server: usize) -> Option<u32> {
        self.advance(now);
        self.settle(server);
        let accepted = self.servers[server].power != Power::Off && self.servers[server].model.connect();
        let second = self.tally.second_mut(now);
        second.connections += 1;
        second.refused_connections += u64::from(!accepted);
        accepted.then_some(self.servers[server].life)
    }

    /// A connection to a server ended that came in this life of it.
    pub fn disconnect(&mut self, now: Us, server: usize, life: u32) {
        self.advance(now);
        self.settle(server);
        if self.servers[server].life == life {
            self.servers[server].model.disconnect();
        }
    }

    /// An attempt at a try, whole at the server's machine; `fresh` where it is its connection's first. `None` where
    /// the text names no try: the referee notes that.
    pub fn start_attempt(
        &mut self,
        now: Us,
        server: usize,
        zone: usize,
        txn: &str,
        fresh: bool,
    ) -> Option<usize> {
        self.advance(now);
        let Some(of) = self.try_by_txn(txn) else {
            let about = BreachSubject { server: Some(server), ..BreachSubject::default() };
            self.referee.record_breach(Rule::Unknown, now, about, format!("no client sent {txn:?}"));
            return None;
        };
        let place = self.referee.attempt_sent(now, of, server, now, &self.list);
        let node = self.tries[of].node;
        let told = self.referee.node_knows_start(node, server, self.servers[server].born_ms);
        self.tally.record_attempt(now, server, self.servers[server].spec.zone != zone);
        let attempt = self.attempts.len();
        let life = self.servers[server].life;
        let ails = self.removals.is_faulty(server, zone);
        self.removals.record_attempt(now, server, zone);
        let stage = Stage::OnWay;
        self.attempts.push(Attempt { of, place, server, life, zone, stage, told, ails, heard: false });
        let to = self.servers[server].spec.zone;
        let uplink = self.nodes[node].uplink;
        if uplink > 0.0 && self.chance.random::<f64>() < uplink {
            if self.chance.random() {
                let back = now + self.jittered(self.draw.delays[zone][to]);
                self.at(back, Ev::ReplyAtNode(attempt, ServerReply::Reset));
            }
        } else if self.passes(zone, to) && self.servers[server].power != Power::Dark {
            let trips = if fresh { 2.0 * self.draw.handshake_trips } else { 0.0 };
            let sent = now + (self.draw.delays[zone][to] as f64 * trips) as Us;
            let there = self.over_link(sent, zone, to, REQUEST_BYTES);
            self.at(there, Ev::AtServer(attempt));
        }
        Some(attempt)
    }

    /// The try that an attempt is at.
    pub fn try_of(&self, attempt: usize) -> usize {
        self.attempts[attempt].of
    }

    /// The node no longer waits for an attempt.
    pub fn attempt_closed(&mut self, now: Us, attempt: usize) {
        self.advance(now);
        let a = &self.attempts[attempt];
        let ask = &self.tries[a.of];
        // Neither its client called it off, nor an answer that came sooner from elsewhere.
        if !a.heard && !ask.over && !ask.left && !ask.served {
            self.failed(attempt);
        }
        let a = &self.attempts[attempt];
        if matches!(a.stage, Stage::Held | Stage::OnWay) {
            let delay = self.draw.delays[a.zone][self.servers[a.server].spec.zone];
            let there = now + self.jittered(delay);
            self.at(there, Ev::CancelAtServer(attempt));
        }
    }

    /// An attempt failed, or was given up.
    fn failed(&mut self, attempt: usize) {
        self.tally.failed_attempts[usize::from(!self.attempts[attempt].ails)] += 1;
    }

    /// When a message that is sent at a time is there: one after the other where the link is narrow.
    fn over_link(&mut self, at: Us, from: usize, to: usize, bytes: f64) -> Us {
        let link = &mut self.links[from][to];
        let mut sent = at;
        if link.us_per_byte > 0.0 {
            sent = sent.max(link.free) + (bytes * link.us_per_byte) as Us;
            link.free = sent;
        }
        sent + self.jittered(self.draw.delays[from][to])
    }

    /// May messages pass from a zone to another?
    pub(super) fn passes(&self, from: usize, to: usize) -> bool {
        self.links[from][to].cuts == 0
    }

    pub(super) fn at_server(&mut self, attempt: usize) {
        let a = &self.attempts[attempt];
        let (server, told) = (a.server, a.told);
        if a.stage != Stage::OnWay || !self.same_life(attempt) {
            return;
        }
        self.settle(server);
        let place = &mut self.servers[server];
        let fails = place.errors.max(place.build).max(place.spec.parameters.error_rate);
        if self.chance.random::<f64>() < fails {
            return self.answer(attempt, self.now, ServerReply::Error);
        }
        let request = self.tries[self.attempts[attempt].of].request;
        let known = self.requests[request].kept.is_some_and(|until| self.now < until);
        let work = self.draw.arrivals[request].work;
        // A repeat is dropped: it gets what the first one got.
        let work = if known { work.min(REPEAT) } else { work };
        match place.model.arrive(attempt as u64, work, told) {
            Admission::Accepted => self.attempts[attempt].stage = Stage::Held,
            Admission::TurnedAway => {
                self.tally.second_mut(self.now).turned_away += 1;
                self.answer(attempt, self.now, ServerReply::TurnedAway);
            }
            Admission::Crashed { informed_share } => self.falls(attempt, informed_share),
        }
        self.schedule(server);
    }

    fn same_life(&self, attempt: usize) -> bool {
        let a = &self.attempts[attempt];
        self.servers[a.server].life == a.life && self.servers[a.server].power == Power::Up
    }

    /// It was sent too much while cold: it ends, and stays down.
    fn falls(&mut self, attempt: usize, told: f64) {
        let a = &self.attempts[attempt];
        let (server, node) = (a.server, self.tries[a.of].node);
        if told >= 2.0 / 3.0 {
            let about = BreachSubject { node: Some(node), server: Some(server), request: Some(a.of) };
            let words =
                format!("pushed over, by {:.0}% from nodes that were told of its start", told * 100.0);
            self.referee.record_breach(Rule::Cold, self.now, about, words);
        }
        self.power_off(server);
    }

    pub(super) fn cancel_at_server(&mut self, attempt: usize) {
        if !self.same_life(attempt) {
            return;
        }
        let server = self.attempts[attempt].server;
        self.settle(server);
        match self.attempts[attempt].stage {
            Stage::OnWay => self.attempts[attempt].stage = Stage::Closed,
            Stage::Held if self.servers[server].model.cancel(attempt as u64) => {
                self.attempts[attempt].stage = Stage::Closed;
            }
            _ => {}
        }
        self.schedule(server);
    }

    pub(super) fn step(&mut self, server: usize) {
        if self.servers[server].due.is_some_and(|due| due <= self.now) {
            self.servers[server].due = None;
        }
        self.settle(server);
        self.schedule(server);
    }

    /// Brings a server to now, and answers what it has done.
    pub(super) fn settle(&mut self, server: usize) {
        if self.servers[server].power == Power::Off {
            return;
        }
        let mut ended = Vec::new();
        self.servers[server].model.advance(self.now, &mut ended);
        if self.servers[server].model.is_choked() {
            self.tally.choked_servers.insert(server);
        }
        for (attempt, at) in ended {
            self.keep(attempt as usize, at);
            let place = &self.servers[server];
            let (late, by, garbled) = place.gray;
            let chance: f64 = self.chance.random();
            let reply = if self.chance.random::<f64>() < place.resets {
                ServerReply::Reset
            } else if chance < garbled {
                ServerReply::Truncated
            } else {
                ServerReply::Served
            };
            let by = if (garbled..garbled + late).contains(&chance) { by } else { 0 };
            self.answer(attempt as usize, at + by, reply);
        }
    }

    /// A keyed request has run: its repeats are dropped for a while, by all servers.
    fn keep(&mut self, attempt: usize, at: Us) {
        let request = self.tries[self.attempts[attempt].of].request;
        let class = &self.draw.classes[self.draw.arrivals[request].class];
        if class.idempotency == Idempotency::Keyed {
            self.requests[request].kept.get_or_insert(at + class.dedup_window);
        }
    }

    pub(super) fn schedule(&mut self, server: usize) {
        let place = &mut self.servers[server];
        if place.power == Power::Off {
            return;
        }
        if let Some(due) = place.model.next_due().filter(|due| place.due.is_none_or(|d| *due < d)) {
            place.due = Some(due);
            self.at(due, Ev::Step(server));
        }
    }

    /// What a server sends back at a time; it arrives if the way is open.
    fn answer(&mut self, attempt: usize, at: Us, reply: ServerReply) {
        self.attempts[attempt].stage = Stage::Answered(reply);
        let a = &self.attempts[attempt];
        let (from, to) = (self.servers[a.server].spec.zone, a.zone);
        if self.servers[a.server].power == Power::Up && self.passes(from, to) {
            let there = self.over_link(at, from, to, ANSWER_BYTES);
            self.at(there, Ev::ReplyAtNode(attempt, reply));
        }
    }

    pub(super) fn reply_at_node(&mut self, attempt: usize, reply: ServerReply) {
        let a = &self.attempts[attempt];
        if self.servers[a.server].life != a.life {
            return;
        }
        match reply {
            ServerReply::TurnedAway => self.referee.attempt_not_executed(a.of, a.place),
            ServerReply::Served => self.tries[a.of].served = true,
            ServerReply::Truncated | ServerReply::Error | ServerReply::Reset => self.failed(attempt),
        }
        self.attempts[attempt].heard = true;
        self.out.push_back(Effect::DeliverReply { attempt, reply });
    }

    /// What the body of a served attempt says.
    pub fn answer_body(&self, attempt: usize) -> String {
        format!("{attempt} served {}\n{:.<200}\n", self.txn(self.attempts[attempt].of), "")
    }

    /// The attempt that a body names, if it is whole.
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

    /// A world with little to do, at the moment at which a client's request reaches its node; the try.
    fn begun(more: &str, from: Us) -> (World, usize) {
        let text = format!("schema = 1\nname = \"x\"\nlength_s = 20\n[load]\nper_s = 0.5\n{more}");
        let plan = Plan::read("x.toml", &text).expect("it can be played");
        let dial = Rc::new(|server, _| SocketAddr::from(([127, 0, 0, 1], server as u16)));
        let mut world = World::new(Rc::new(Draw::new(&plan, 4)), plan.rules, 0.0, dial);
        loop {
            let due = world.next_due().expect("a client comes");
            world.advance(due);
            while let Some(out) = world.next_effect() {
                match out {
                    Effect::DeliverRequest(ask) if due >= from => return (world, ask),
                    _ => {}
                }
            }
        }
    }

    /// How long an attempt takes from now on, and what it gets, where it gets anything within a second.
    fn play(world: &mut World, attempt: usize) -> Option<(Us, ServerReply)> {
        let from = world.now();
        while let Some(due) = world.next_due().filter(|due| *due < from + 1_000_000) {
            world.advance(due);
            while let Some(out) = world.next_effect() {
                match out {
                    Effect::DeliverReply { attempt: a, reply } if a == attempt => {
                        return Some((due - from, reply))
                    }
                    _ => {}
                }
            }
        }
        None
    }

    #[test]
    fn a_repeat_with_a_key_costs_next_to_nothing_at_any_server_and_one_without_costs_its_work() {
        for (effect, dropped) in [("keyed", true), ("safe", false)] {
            let class = format!(
                "[[class]]\nname = \"c\"\nshare = 1\nwork_ms = 200\ndist = \"exp\"\naim_ms = 5000\ndeadline_ms = 9000\n\
                worth = 1\neffect = \"{effect}\"\nwindow_ms = 5000\n"
            );
            let (mut world, ask) = begun(&class, 0);
            let txn = world.txn(ask);
            let took = [0, 1].map(|server| {
                let attempt =
                    world.start_attempt(world.now(), server, 0, &txn, false).expect("a known request");
                play(&mut world, attempt).expect("a reply")
            });
            assert_eq!(took.map(|t| t.1), [ServerReply::Served; 2]);
            assert!(took[0].0 > 20_000, "{effect}: {took:?}");
            assert_eq!(took[1].0 < 6_000, dropped, "{effect}: {took:?}");
        }
    }

    #[test]
    fn a_bad_uplink_loses_what_its_node_sends_and_no_server_is_to_blame() {
        let (mut world, ask) = begun("[[fault]]\nkind = \"uplink\"\nat_s = 0\nfor_s = 20\nfactor = 1\n", 0);
        let txn = world.txn(ask);
        let mut got = Vec::new();
        for _ in 0..20 {
            let attempt = world.start_attempt(world.now(), 0, 0, &txn, false).expect("a known request");
            got.push(play(&mut world, attempt).map(|(_, reply)| reply));
        }
        assert!(got.contains(&None) && got.contains(&Some(ServerReply::Reset)), "{got:?}");
        assert!(got.iter().all(|g| matches!(g, None | Some(ServerReply::Reset))), "{got:?}");
        assert_eq!(world.tally.failed_attempts[0], 0);
    }

    #[test]
    fn a_bad_release_fails_until_the_next_one() {
        let release = |at: u32, more: &str| {
            format!("[[fault]]\nkind = \"release\"\nat_s = {at}\nfor_s = 1\nids = [0]\n{more}")
        };
        let plan = format!("[discovery]\nnotice_s = 0\n{}{}", release(1, "factor = 1\n"), release(9, ""));
        for (from, reply, wrong) in [(6, ServerReply::Error, true), (14, ServerReply::Served, false)] {
            let (mut world, ask) = begun(&plan, from * 1_000_000);
            let txn = world.txn(ask);
            let attempt = world.start_attempt(world.now(), 0, 0, &txn, false).expect("a known request");
            assert_eq!(play(&mut world, attempt).map(|got| got.1), Some(reply), "{from} s");
            assert_eq!(
                (world.removals.is_faulty(0, 0), world.tally.failed_attempts[0]),
                (wrong, u64::from(wrong))
            );
        }
    }

    #[test]
    fn a_cut_from_one_zone_to_another_leaves_the_third_alone() {
        let cut = "[fleet]\nzones = [\"a\", \"b\", \"c\"]\n[[fault]]\nkind = \"cut\"\nat_s = 0\nfor_s = 20\n\
            zone = \"a\"\nto = \"b\"\nway = \"out\"\n";
        let (mut world, ask) = begun(cut, 0);
        let txn = world.txn(ask);
        let of = |world: &World, zone| world.servers.iter().position(|s| s.spec.zone == zone).expect("one");
        let servers = [0, 1, 2].map(|zone| of(&world, zone));
        for (node, answered) in [(0, [true, false, true]), (1, [false, true, true]), (2, [true; 3])] {
            for (server, answered) in servers.into_iter().zip(answered) {
                let attempt =
                    world.start_attempt(world.now(), server, node, &txn, false).expect("a known request");
                assert_eq!(play(&mut world, attempt).is_some(), answered, "zone {node}, server {server}");
                assert_eq!(world.removals.is_faulty(server, node), !answered);
            }
        }
    }
}
