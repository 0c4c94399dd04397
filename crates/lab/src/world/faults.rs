//! The timeline of faults: what happens when each kind begins and ends.

use super::*;

impl World {
    /// Begins the drawn fault `n`.
    pub(super) fn begin_fault(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        // The step of the fault in which the target with this index is handled.
        let step_of_target = |k: usize| (k * fault.steps / fault.targets.len().max(1)) as u64;
        let step_length = (fault.until - fault.at) / fault.steps as u64;
        match fault.kind {
            FaultKind::Kill => fault.targets.iter().for_each(|t| self.kill(*t)),
            FaultKind::Restart => {
                for (k, node) in fault.targets.iter().enumerate() {
                    self.schedule_event(
                        self.now + step_of_target(k) * step_length,
                        Event::RestartNode(*node),
                    );
                }
            }
            FaultKind::Pause => {
                for node in &fault.targets {
                    self.nodes[*node].outages.push((self.now, fault.until));
                    self.effects.push_back(Effect::SignalNode(*node, Signal::Stop));
                }
            }
            FaultKind::IdleConnections => {
                let (count, until) = (fault.factor as usize, fault.until);
                self.effects.extend(fault.targets.iter().map(|node| Effect::OpenIdleConnections {
                    node: *node,
                    count,
                    until,
                }));
            }
            FaultKind::Vanish => {
                for server in &fault.targets {
                    self.advance_server(*server);
                    self.servers[*server].process_state = ProcessState::Unreachable;
                    let incarnation = self.servers[*server].incarnation;
                    self.update_reachability(*server);
                    self.schedule_event(
                        self.now + draw.discovery.vanish_delay,
                        Event::ListRemovesServer(*server, incarnation),
                    );
                }
            }
            FaultKind::Crash => fault.targets.iter().for_each(|t| self.crash_server(*t)),
            FaultKind::Slow | FaultKind::Errors | FaultKind::GrayFailure | FaultKind::ResetConnections => {
                self.apply_server_fault(fault, true)
            }
            FaultKind::NoisyNeighbour => self.toggle_neighbour(n, true),
            FaultKind::Release | FaultKind::Replace => {
                let replace = fault.kind == FaultKind::Replace;
                for (k, server) in fault.targets.iter().enumerate() {
                    self.servers[*server].next_release_error_rate = fault.factor;
                    let listed = self.now + step_of_target(k) * step_length + draw.discovery.leave_delay;
                    self.schedule_event(listed, Event::ServerDrains(*server, replace));
                }
            }
            FaultKind::Partition => self.set_partition(fault, true),
            FaultKind::BreakConnections => self.break_connections(fault),
            FaultKind::LimitBandwidth => {
                self.update_links(fault, |link| link.us_per_byte = 1e6 / fault.factor)
            }
            FaultKind::ListOutage => self.set_list_outage(true),
            FaultKind::StaleList => self.set_list_lag(fault.factor as u64),
            FaultKind::ReorderedList => self.set_list_reordering(true),
            FaultKind::UplinkLoss => {
                fault.targets.iter().for_each(|t| self.nodes[*t].uplink_loss = fault.factor)
            }
            // Already part of the drawn arrivals.
            FaultKind::Burst => {}
            FaultKind::Policy
            | FaultKind::ReplicaKill
            | FaultKind::ReplicaPause
            | FaultKind::ReplicaRestart
            | FaultKind::GroupOutage
            | FaultKind::PartitionControl
            | FaultKind::PartitionReplica
            | FaultKind::FaultyVoters => self.effects.push_back(Effect::BeginGroupFault(n)),
        }
        self.update_faulty_servers();
    }

    /// Ends the drawn fault `n`.
    pub(super) fn end_fault(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        match fault.kind {
            FaultKind::Kill => fault.targets.iter().for_each(|t| self.start_node(*t)),
            FaultKind::Pause => {
                let signal = |t: &usize| Effect::SignalNode(*t, Signal::Continue);
                self.effects.extend(fault.targets.iter().map(signal));
            }
            FaultKind::Vanish | FaultKind::Crash => fault.targets.iter().for_each(|t| self.start_server(*t)),
            FaultKind::Slow | FaultKind::Errors | FaultKind::GrayFailure | FaultKind::ResetConnections => {
                self.apply_server_fault(fault, false)
            }
            FaultKind::NoisyNeighbour => self.update_servers(fault, |instance| instance.stolen_share = 0.0),
            FaultKind::Partition => self.set_partition(fault, false),
            FaultKind::LimitBandwidth => self.update_links(fault, |link| link.us_per_byte = 0.0),
            FaultKind::ListOutage => self.set_list_outage(false),
            FaultKind::StaleList => self.set_list_lag(0),
            FaultKind::ReorderedList => self.set_list_reordering(false),
            FaultKind::UplinkLoss => fault.targets.iter().for_each(|t| self.nodes[*t].uplink_loss = 0.0),
            FaultKind::Restart
            | FaultKind::IdleConnections
            | FaultKind::BreakConnections
            | FaultKind::Release
            | FaultKind::Replace
            // Nothing to undo: their steps were scheduled at the beginning, idle connections carry their own end,
            // broken connections stay closed, and a burst is part of the drawn arrivals.
            | FaultKind::Burst => {}
            FaultKind::Policy
            | FaultKind::ReplicaKill
            | FaultKind::ReplicaPause
            | FaultKind::ReplicaRestart
            | FaultKind::GroupOutage
            | FaultKind::PartitionControl
            | FaultKind::PartitionReplica
            | FaultKind::FaultyVoters => self.effects.push_back(Effect::EndGroupFault(n)),
        }
        self.update_faulty_servers();
    }

    /// Applies or removes a slowdown, errors, resets or a gray failure at the fault's servers.
    fn apply_server_fault(&mut self, fault: &FaultSpec, on: bool) {
        let share = if on { fault.factor } else { 0.0 };
        let truncated_share = if on { fault.truncated_share } else { 0.0 };
        self.update_servers(fault, |instance| match fault.kind {
            FaultKind::Slow => instance.slowdown = if on { fault.factor } else { 1.0 },
            FaultKind::Errors => instance.error_rate = share,
            FaultKind::ResetConnections => instance.reset_rate = share,
            _ => instance.gray_failure = (share, fault.answer_delay, truncated_share),
        });
    }

    /// Changes the state of the fault's servers, which are first advanced to the current time.
    fn update_servers(&mut self, fault: &FaultSpec, change: impl Fn(&mut ServerInstance)) {
        for server in &fault.targets {
            self.advance_server(*server);
            let instance = &mut self.servers[*server];
            change(instance);
            instance.model.set_slowdown(instance.slowdown, instance.stolen_share);
            self.schedule_server(*server);
        }
    }

    /// Starts or stops the noisy neighbour of a fault, and schedules the next toggle, at the latest for the fault's
    /// end. Does nothing once the fault has ended.
    pub(super) fn toggle_neighbour(&mut self, n: usize, on: bool) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        if self.now >= fault.until {
            return;
        }
        let stolen_share = if on { fault.factor } else { 0.0 };
        self.update_servers(fault, |instance| instance.stolen_share = stolen_share);
        self.update_faulty_servers();
        let span = self.rng.random_range(MIN_NEIGHBOUR_SPAN_US..5 * MIN_NEIGHBOUR_SPAN_US);
        self.schedule_event((self.now + span).min(fault.until), Event::NeighbourToggles(n, !on));
    }

    /// Begins or ends a partition between zones.
    fn set_partition(&mut self, fault: &FaultSpec, on: bool) {
        self.update_links(fault, |link| {
            link.cuts = if on { link.cuts + 1 } else { link.cuts.saturating_sub(1) }
        });
        for server in 0..self.servers.len() {
            self.update_reachability(server);
        }
    }

    /// Changes the links between the fault's zones and the others, in both directions or only the one that the fault
    /// names.
    fn update_links(&mut self, fault: &FaultSpec, change: impl Fn(&mut Link)) {
        for zone in &fault.targets {
            let others = (0..self.draw.zones.len()).filter(|z| z != zone);
            for other in others.filter(|z| fault.peer_zone.is_none_or(|to| to == *z)) {
                for (direction, from, to) in [(Direction::Out, *zone, other), (Direction::In, other, *zone)] {
                    if fault.direction.is_none_or(|affected| affected == direction) {
                        change(&mut self.links[from][to]);
                    }
                }
            }
        }
    }

    /// Closes all connections between the fault's zones and the others.
    fn break_connections(&mut self, fault: &FaultSpec) {
        for server in 0..self.servers.len() {
            let here = self.servers[server].spec.zone;
            let zones = (0..self.draw.zones.len()).filter(|z| *z != here);
            let broken = zones.filter(|z| fault.targets.contains(z) || fault.targets.contains(&here));
            self.effects.extend(broken.map(|zone| Effect::CloseConnections { server, zone: Some(zone) }));
        }
    }

    /// Begins or ends an outage of the list; agents catch up when it ends.
    fn set_list_outage(&mut self, on: bool) {
        self.list_outage = on;
        if !on {
            let version = self.list.version();
            for node in 0..self.nodes.len() {
                self.schedule_event(self.now, Event::ListVersionAtAgent(node, version));
            }
        }
    }
}
