//! The timeline of faults: what happens when each kind begins and ends.

use super::*;

impl World {
    /// Begins the drawn fault `n`.
    pub(super) fn begin_fault(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        self.active_faults.push(n);
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
                self.update_servers(fault)
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
            FaultKind::LimitBandwidth => self.update_bandwidth(fault),
            FaultKind::ListOutage | FaultKind::StaleList | FaultKind::ReorderedList => self.update_list(),
            FaultKind::UplinkLoss => self.update_uplinks(fault),
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
        self.active_faults.retain(|active| *active != n);
        match fault.kind {
            FaultKind::Kill => fault.targets.iter().for_each(|t| self.start_node(*t)),
            FaultKind::Pause => {
                let signal = |t: &usize| Effect::SignalNode(*t, Signal::Continue);
                self.effects.extend(fault.targets.iter().map(signal));
            }
            FaultKind::Vanish | FaultKind::Crash => fault.targets.iter().for_each(|t| self.start_server(*t)),
            FaultKind::Slow
            | FaultKind::Errors
            | FaultKind::GrayFailure
            | FaultKind::ResetConnections
            | FaultKind::NoisyNeighbour => self.update_servers(fault),
            FaultKind::Partition => self.set_partition(fault, false),
            FaultKind::LimitBandwidth => self.update_bandwidth(fault),
            FaultKind::ListOutage | FaultKind::StaleList | FaultKind::ReorderedList => self.update_list(),
            FaultKind::UplinkLoss => self.update_uplinks(fault),
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

    /// The active fault of this kind that applies at a target: the last one to begin, as long as it is active.
    fn fault_at(&self, kind: FaultKind, target: usize) -> Option<&FaultSpec> {
        let mut active = self.active_faults.iter().rev().map(|n| &self.draw.faults[*n]);
        active.find(|fault| fault.kind == kind && fault.targets.contains(&target))
    }

    /// Gives the fault's servers the state that all active faults together define. The servers are first advanced to
    /// the current time.
    fn update_servers(&mut self, fault: &FaultSpec) {
        for server in &fault.targets {
            self.advance_server(*server);
            let factor = |kind| self.fault_at(kind, *server).map(|fault| fault.factor);
            let slowdown = factor(FaultKind::Slow).unwrap_or(1.0);
            let error_rate = factor(FaultKind::Errors).unwrap_or(0.0);
            let reset_rate = factor(FaultKind::ResetConnections).unwrap_or(0.0);
            let gray_failure = self
                .fault_at(FaultKind::GrayFailure, *server)
                .map_or((0.0, 0, 0.0), |fault| (fault.factor, fault.answer_delay, fault.truncated_share));
            let stolen_share = self.stolen_share(*server);
            let instance = &mut self.servers[*server];
            (instance.slowdown, instance.error_rate, instance.reset_rate) =
                (slowdown, error_rate, reset_rate);
            (instance.gray_failure, instance.stolen_share) = (gray_failure, stolen_share);
            instance.model.set_slowdown(instance.slowdown, instance.stolen_share);
            self.schedule_server(*server);
        }
    }

    /// The share of its CPU that a noisy neighbour takes from a server now.
    fn stolen_share(&self, server: usize) -> f64 {
        let running = self.active_faults.iter().rev().filter(|n| self.running_neighbours.contains(n));
        let at_server = running.map(|n| &self.draw.faults[*n]).find(|fault| fault.targets.contains(&server));
        at_server.map_or(0.0, |fault| fault.factor)
    }

    /// Starts or stops the noisy neighbour of a fault, and schedules the next toggle, at the latest for the fault's
    /// end. Does nothing once the fault has ended.
    pub(super) fn toggle_neighbour(&mut self, n: usize, on: bool) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        if self.now >= fault.until {
            return;
        }
        if on {
            self.running_neighbours.insert(n);
        } else {
            self.running_neighbours.remove(&n);
        }
        self.update_servers(fault);
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

    /// Changes the links that the fault affects.
    fn update_links(&mut self, fault: &FaultSpec, change: impl Fn(&mut Link)) {
        let zones = 0..self.draw.zones.len();
        for (from, to) in zones.clone().flat_map(|from| zones.clone().map(move |to| (from, to))) {
            for _ in 0..effects_on_link(fault, from, to) {
                change(&mut self.links[from][to]);
            }
        }
    }

    /// Gives the links that the fault affects the bandwidth that all active faults together define.
    fn update_bandwidth(&mut self, fault: &FaultSpec) {
        let zones = 0..self.draw.zones.len();
        for (from, to) in zones.clone().flat_map(|from| zones.clone().map(move |to| (from, to))) {
            if effects_on_link(fault, from, to) > 0 {
                let limits = self.active_faults.iter().rev().map(|n| &self.draw.faults[*n]);
                let limit = limits
                    .filter(|active| active.kind == FaultKind::LimitBandwidth)
                    .find(|active| effects_on_link(active, from, to) > 0);
                self.links[from][to].us_per_byte = limit.map_or(0.0, |active| 1e6 / active.factor);
            }
        }
    }

    /// Gives the fault's nodes the loss on their uplinks that all active faults together define.
    fn update_uplinks(&mut self, fault: &FaultSpec) {
        for node in &fault.targets {
            let loss = self.fault_at(FaultKind::UplinkLoss, *node).map_or(0.0, |fault| fault.factor);
            self.nodes[*node].uplink_loss = loss;
        }
    }

    /// Gives the list the state that all active faults together define.
    fn update_list(&mut self) {
        let last_of = |kind| {
            let mut active = self.active_faults.iter().rev().map(|n| &self.draw.faults[*n]);
            active.find(|fault| fault.kind == kind)
        };
        let lag = last_of(FaultKind::StaleList).map_or(0, |fault| fault.factor as u64);
        let outage = last_of(FaultKind::ListOutage).is_some();
        let reordered = last_of(FaultKind::ReorderedList).is_some();
        if outage != self.list_outage {
            self.set_list_outage(outage);
        }
        if lag != self.list_lag {
            self.set_list_lag(lag);
        }
        if reordered != self.list_reordered {
            self.set_list_reordering(reordered);
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

/// How often a fault affects the link from one zone to another: in the direction out of one of its zones, and into one.
fn effects_on_link(fault: &FaultSpec, from: usize, to: usize) -> usize {
    let affects = |zone: usize, other: usize, direction: Direction| {
        fault.targets.contains(&zone)
            && zone != other
            && fault.peer_zone.is_none_or(|peer| peer == other)
            && fault.direction.is_none_or(|affected| affected == direction)
    };
    usize::from(affects(from, to, Direction::Out)) + usize::from(affects(to, from, Direction::In))
}
