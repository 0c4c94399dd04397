//! Starts and ends of nodes and app servers.

use super::*;

impl World {
    /// A node can serve.
    pub fn node_ready(&mut self, now: Us, node: usize) {
        self.advance(now);
        self.nodes[node].believed = true;
    }

    /// A node's process ended.
    pub fn node_ended(&mut self, now: Us, node: usize) {
        self.advance(now);
        let n = &mut self.nodes[node];
        if !std::mem::replace(&mut n.running, false) {
            return;
        }
        n.away.push((now, now));
        if n.terminated.is_none() {
            let about = BreachSubject { node: Some(node), ..BreachSubject::default() };
            self.referee.record_breach(Rule::Alive, now, about, "the process ended by itself");
        }
        if n.restart {
            self.at(now + 1, Ev::StartNode(node));
        }
        self.at(now + self.draw.front_detection_delay, Ev::FrontNotices(node));
    }

    /// What a node holds, against what it may.
    pub fn record_limit_breach(&mut self, now: Us, node: usize, words: String) {
        self.advance(now);
        let about = BreachSubject { node: Some(node), ..BreachSubject::default() };
        self.referee.record_breach(Rule::Limits, now, about, words);
    }

    pub(super) fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if std::mem::replace(&mut n.running, false) {
            n.away.push((self.now, self.now));
            self.out.push_back(Effect::SignalNode(node, Signal::Kill));
            self.at(self.now + self.draw.front_detection_delay, Ev::FrontNotices(node));
        }
    }

    /// SIGKILL, some time after SIGTERM, where the process is still there.
    pub(super) fn kill_if_running(&mut self, node: usize, told: Us) {
        if self.nodes[node].terminated == Some(told) && self.nodes[node].running {
            self.kill(node);
            self.at(self.now + 1, Ev::StartNode(node));
        }
    }

    pub(super) fn start_node(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if n.running {
            return;
        }
        (n.running, n.restart, n.terminated) = (true, false, None);
        n.away.push((self.now, self.now));
        self.referee.node_started(self.now, node, self.nodes[node].version, &self.list);
        self.out.push_back(Effect::StartNode(node));
    }

    pub(super) fn restart_node(&mut self, node: usize) {
        let now = self.now;
        let n = &mut self.nodes[node];
        if !n.running {
            return;
        }
        (n.terminated, n.restart) = (Some(now), true);
        self.out.push_back(Effect::SignalNode(node, Signal::Terminate));
        let longest = self.draw.classes.iter().map(|c| c.deadline).max().unwrap_or(0).min(LONGEST_MOST);
        self.at(now + FRONT_LINGERS, Ev::FrontLeaves(node));
        self.at(now + longest + KILL_AFTER, Ev::KillNode(node, now));
    }

    pub(super) fn reaches(&mut self, server: usize) {
        for zone in 0..self.draw.zones.len() {
            let reachability = self.reachability(server, zone);
            self.out.push_back(Effect::SetReachability { server, zone, reachability });
        }
    }

    /// How new connections from a zone to a server fare.
    pub fn reachability(&self, server: usize, zone: usize) -> Reachability {
        let place = &self.servers[server];
        let both = self.passes(zone, place.spec.zone) && self.passes(place.spec.zone, zone);
        match place.power {
            Power::Dark => Reachability::Unreachable,
            _ if !both => Reachability::Unreachable,
            Power::Off => Reachability::Refused,
            Power::Up => Reachability::Open,
        }
    }

    /// A server ends without a word; the list finds out in time.
    pub(super) fn power_off(&mut self, server: usize) {
        self.end_process(server);
        let life = self.servers[server].life;
        self.at(self.now + self.draw.discovery.vanish_delay, Ev::ListGone(server, life));
    }

    /// A server's process ends, and its connections with it.
    fn end_process(&mut self, server: usize) {
        self.settle(server);
        let place = &mut self.servers[server];
        (place.power, place.due) = (Power::Off, None);
        self.out.push_back(Effect::CloseConnections { server, zone: None });
        self.reaches(server);
        self.look_over();
    }

    /// A server starts, cold; the list has it a little later.
    pub(super) fn start_server(&mut self, server: usize) {
        let (now, born_ms) = (self.now, self.unix_ms(self.now));
        let place = &mut self.servers[server];
        if place.power == Power::Up {
            return;
        }
        place.done_before += place.model.work_done();
        self.cold_before.push(place.model.cold_load(now));
        place.model = Server::new(place.spec.parameters.clone(), Some(now));
        place.model.set_slowdown(place.slower, place.taken);
        (place.power, place.born_ms, place.life, place.due) = (Power::Up, born_ms, place.life + 1, None);
        place.build = place.next_build;
        let life = place.life;
        self.out.push_back(Effect::CloseConnections { server, zone: None });
        self.reaches(server);
        self.look_over();
        self.at(now + self.draw.discovery.join_delay, Ev::ListBack(server, life));
    }

    pub(super) fn drain(&mut self, server: usize, replace: bool) {
        if self.servers[server].power != Power::Up {
            return;
        }
        let life = self.servers[server].life;
        self.list(server, Health::Leaving);
        let ends = self.now + self.draw.discovery.node_spread + DRAINS;
        self.at(ends, Ev::EndServer(server, life, replace));
    }

    /// A server that has drained ends, and starts anew, or another does in its place.
    pub(super) fn end_server(&mut self, server: usize, life: u32, replace: bool) {
        if self.servers[server].life != life || self.servers[server].power != Power::Up {
            return;
        }
        self.end_process(server);
        let next = if replace {
            let mut heir = Place::new(self.servers[server].spec.clone(), None, 0.0);
            heir.power = Power::Off;
            heir.next_build = self.servers[server].next_build;
            self.servers.push(heir);
            self.at(self.now + self.draw.discovery.leave_delay, Ev::ListGone(server, life));
            self.servers.len() - 1
        } else {
            server
        };
        self.at(self.now + STARTS, Ev::StartServer(next));
    }
}
