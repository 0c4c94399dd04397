//! Starts and ends of the processes of nodes and app servers.

use super::*;

impl World {
    /// A node is ready to serve.
    pub fn node_ready(&mut self, now: Us, node: usize) {
        self.advance(now);
        self.nodes[node].in_rotation = true;
    }

    /// A node's process ended; a breach unless it had been sent a signal.
    pub fn node_ended(&mut self, now: Us, node: usize) {
        self.advance(now);
        let n = &mut self.nodes[node];
        if !std::mem::replace(&mut n.running, false) {
            return;
        }
        n.outages.push((now, now));
        if n.terminated_at.is_none() {
            let about = BreachSubject { node: Some(node), ..BreachSubject::default() };
            self.referee.record_breach(Rule::Alive, now, about, "the process ended by itself");
        }
        if n.restart_after_exit {
            self.schedule_event(now + 1, Event::StartNode(node));
        }
        self.schedule_event(now + self.draw.front_detection_delay, Event::FrontDetectsNodeDown(node));
    }

    /// Records a breach: a node exceeds its memory or descriptor limit.
    pub fn record_limit_breach(&mut self, now: Us, node: usize, reason: String) {
        self.advance(now);
        let about = BreachSubject { node: Some(node), ..BreachSubject::default() };
        self.referee.record_breach(Rule::Limits, now, about, reason);
    }

    /// Sends SIGKILL to a node.
    pub(super) fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if std::mem::replace(&mut n.running, false) {
            n.outages.push((self.now, self.now));
            self.effects.push_back(Effect::SignalNode(node, Signal::Kill));
            self.schedule_event(
                self.now + self.draw.front_detection_delay,
                Event::FrontDetectsNodeDown(node),
            );
        }
    }

    /// Sends SIGKILL if the process that was sent SIGTERM at `terminated_at` still runs.
    pub(super) fn kill_if_running(&mut self, node: usize, terminated_at: Us) {
        if self.nodes[node].terminated_at == Some(terminated_at) && self.nodes[node].running {
            self.kill(node);
            self.schedule_event(self.now + 1, Event::StartNode(node));
        }
    }

    /// Starts a node unless it runs.
    pub(super) fn start_node(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if n.running {
            return;
        }
        (n.running, n.restart_after_exit, n.terminated_at) = (true, false, None);
        n.outages.push((self.now, self.now));
        self.referee.node_started(self.now, node, self.nodes[node].agent_version, &self.list);
        self.effects.push_back(Effect::StartNode(node));
    }

    /// Sends SIGTERM to a node; the front stops sending to it a little later, and SIGKILL follows if it does not exit.
    pub(super) fn restart_node(&mut self, node: usize) {
        let now = self.now;
        let n = &mut self.nodes[node];
        if !n.running {
            return;
        }
        (n.terminated_at, n.restart_after_exit) = (Some(now), true);
        self.effects.push_back(Effect::SignalNode(node, Signal::Terminate));
        let max_deadline =
            self.draw.classes.iter().map(|c| c.deadline).max().unwrap_or(0).min(MAX_TERMINATION_DEADLINE_US);
        self.schedule_event(now + FRONT_DRAIN_DELAY_US, Event::FrontDrainsNode(node));
        self.schedule_event(now + max_deadline + KILL_GRACE_US, Event::KillNode(node, now));
    }

    /// Emits how new connections from each zone to a server fare now.
    pub(super) fn update_reachability(&mut self, server: usize) {
        for zone in 0..self.draw.zones.len() {
            let reachability = self.reachability(server, zone);
            self.effects.push_back(Effect::SetReachability { server, zone, reachability });
        }
    }

    /// How new connections from a zone to a server fare now.
    pub fn reachability(&self, server: usize, zone: usize) -> Reachability {
        let instance = &self.servers[server];
        let open_both_ways =
            self.is_link_open(zone, instance.spec.zone) && self.is_link_open(instance.spec.zone, zone);
        match instance.process_state {
            ProcessState::Unreachable => Reachability::Unreachable,
            _ if !open_both_ways => Reachability::Unreachable,
            ProcessState::NotRunning => Reachability::Refused,
            ProcessState::Up => Reachability::Open,
        }
    }

    /// A server crashes; the list notices only after its detection delay.
    pub(super) fn crash_server(&mut self, server: usize) {
        self.end_server_process(server);
        let incarnation = self.servers[server].incarnation;
        self.schedule_event(
            self.now + self.draw.discovery.vanish_delay,
            Event::ListRemovesServer(server, incarnation),
        );
    }

    /// Ends a server's process, and its connections with it.
    fn end_server_process(&mut self, server: usize) {
        self.advance_server(server);
        let instance = &mut self.servers[server];
        (instance.process_state, instance.next_step) = (ProcessState::NotRunning, None);
        self.effects.push_back(Effect::CloseConnections { server, zone: None });
        self.update_reachability(server);
        self.update_faulty_servers();
    }

    /// Starts a server cold; the list adds it after the join delay.
    pub(super) fn start_server(&mut self, server: usize) {
        let (now, born_ms) = (self.now, self.unix_ms(self.now));
        let instance = &mut self.servers[server];
        if instance.process_state == ProcessState::Up {
            return;
        }
        instance.earlier_work_done += instance.model.work_done();
        self.earlier_cold_loads.push(instance.model.cold_load(now));
        instance.model = Server::new(instance.spec.parameters.clone(), Some(now));
        instance.model.set_slowdown(instance.slowdown, instance.stolen_share);
        (instance.process_state, instance.born_ms, instance.incarnation, instance.next_step) =
            (ProcessState::Up, born_ms, instance.incarnation + 1, None);
        instance.release_error_rate = instance.next_release_error_rate;
        let incarnation = instance.incarnation;
        self.effects.push_back(Effect::CloseConnections { server, zone: None });
        self.update_reachability(server);
        self.update_faulty_servers();
        self.schedule_event(now + self.draw.discovery.join_delay, Event::ListAddsServer(server, incarnation));
    }

    /// Lists a server as leaving, and schedules its end.
    pub(super) fn drain_server(&mut self, server: usize, replace: bool) {
        if self.servers[server].process_state != ProcessState::Up {
            return;
        }
        let incarnation = self.servers[server].incarnation;
        self.change_list_entry(server, Health::Leaving);
        let end_time = self.now + self.draw.discovery.node_spread + SERVER_DRAIN_US;
        self.schedule_event(end_time, Event::EndServer(server, incarnation, replace));
    }

    /// Ends a drained server, and schedules its restart, or the start of a new server that replaces it.
    pub(super) fn end_server(&mut self, server: usize, incarnation: u32, replace: bool) {
        if self.servers[server].incarnation != incarnation
            || self.servers[server].process_state != ProcessState::Up
        {
            return;
        }
        self.end_server_process(server);
        let next = if replace {
            let mut replacement = ServerInstance::new(self.servers[server].spec.clone(), None, 0.0);
            replacement.process_state = ProcessState::NotRunning;
            replacement.next_release_error_rate = self.servers[server].next_release_error_rate;
            self.servers.push(replacement);
            self.schedule_event(
                self.now + self.draw.discovery.leave_delay,
                Event::ListRemovesServer(server, incarnation),
            );
            self.servers.len() - 1
        } else {
            server
        };
        self.schedule_event(self.now + SERVER_RESTART_DELAY_US, Event::StartServer(next));
    }
}
