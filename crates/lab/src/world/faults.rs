//! The timeline: faults begin and end.

use super::*;

impl World {
    pub(super) fn begin(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        let step = |k: usize| (k * fault.steps / fault.targets.len().max(1)) as u64;
        let pause = (fault.until - fault.at) / fault.steps as u64;
        match fault.kind {
            FaultKind::Kill => fault.targets.iter().for_each(|t| self.kill(*t)),
            FaultKind::Restart => {
                for (k, node) in fault.targets.iter().enumerate() {
                    self.at(self.now + step(k) * pause, Ev::RestartNode(*node));
                }
            }
            FaultKind::Pause => {
                for node in &fault.targets {
                    self.nodes[*node].away.push((self.now, fault.until));
                    self.out.push_back(Effect::SignalNode(*node, Signal::Stop));
                }
            }
            FaultKind::IdleConnections => {
                let (count, until) = (fault.factor as usize, fault.until);
                self.out.extend(fault.targets.iter().map(|node| Effect::OpenIdleConnections {
                    node: *node,
                    count,
                    until,
                }));
            }
            FaultKind::Vanish => {
                for server in &fault.targets {
                    self.settle(*server);
                    self.servers[*server].power = Power::Dark;
                    let life = self.servers[*server].life;
                    self.reaches(*server);
                    self.at(self.now + draw.discovery.vanish_delay, Ev::ListGone(*server, life));
                }
            }
            FaultKind::Crash => fault.targets.iter().for_each(|t| self.power_off(*t)),
            FaultKind::Slow | FaultKind::Errors | FaultKind::GrayFailure | FaultKind::ResetConnections => {
                self.strain(fault, true)
            }
            FaultKind::NoisyNeighbour => self.toggle(n, true),
            FaultKind::Release | FaultKind::Replace => {
                let replace = fault.kind == FaultKind::Replace;
                for (k, server) in fault.targets.iter().enumerate() {
                    self.servers[*server].next_build = fault.factor;
                    let listed = self.now + step(k) * pause + draw.discovery.leave_delay;
                    self.at(listed, Ev::Drain(*server, replace));
                }
            }
            FaultKind::Partition => self.cut(fault, true),
            FaultKind::BreakConnections => self.break_links(fault),
            FaultKind::LimitBandwidth => self.link(fault, |link| link.us_per_byte = 1e6 / fault.factor),
            FaultKind::ListOutage => self.silence(true),
            FaultKind::StaleList => self.fall_behind(fault.factor as u64),
            FaultKind::ReorderedList => self.reorder(true),
            FaultKind::UplinkLoss => fault.targets.iter().for_each(|t| self.nodes[*t].uplink = fault.factor),
            // Drawn with the arrivals.
            FaultKind::Burst => {}
            FaultKind::Policy
            | FaultKind::ReplicaKill
            | FaultKind::ReplicaPause
            | FaultKind::ReplicaRestart
            | FaultKind::GroupOutage
            | FaultKind::PartitionControl
            | FaultKind::PartitionReplica
            | FaultKind::FaultyVoters => self.out.push_back(Effect::BeginGroupFault(n)),
        }
        self.look_over();
    }

    pub(super) fn finish(&mut self, n: usize) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        match fault.kind {
            FaultKind::Kill => fault.targets.iter().for_each(|t| self.start_node(*t)),
            FaultKind::Pause => {
                let signal = |t: &usize| Effect::SignalNode(*t, Signal::Continue);
                self.out.extend(fault.targets.iter().map(signal));
            }
            FaultKind::Vanish | FaultKind::Crash => fault.targets.iter().for_each(|t| self.start_server(*t)),
            FaultKind::Slow | FaultKind::Errors | FaultKind::GrayFailure | FaultKind::ResetConnections => {
                self.strain(fault, false)
            }
            FaultKind::NoisyNeighbour => self.burden(fault, |place| place.taken = 0.0),
            FaultKind::Partition => self.cut(fault, false),
            FaultKind::LimitBandwidth => self.link(fault, |link| link.us_per_byte = 0.0),
            FaultKind::ListOutage => self.silence(false),
            FaultKind::StaleList => self.fall_behind(0),
            FaultKind::ReorderedList => self.reorder(false),
            FaultKind::UplinkLoss => fault.targets.iter().for_each(|t| self.nodes[*t].uplink = 0.0),
            FaultKind::Restart
            | FaultKind::IdleConnections
            | FaultKind::BreakConnections
            | FaultKind::Release
            | FaultKind::Replace
            | FaultKind::Burst => {}
            FaultKind::Policy
            | FaultKind::ReplicaKill
            | FaultKind::ReplicaPause
            | FaultKind::ReplicaRestart
            | FaultKind::GroupOutage
            | FaultKind::PartitionControl
            | FaultKind::PartitionReplica
            | FaultKind::FaultyVoters => self.out.push_back(Effect::EndGroupFault(n)),
        }
        self.look_over();
    }

    fn strain(&mut self, fault: &FaultSpec, on: bool) {
        let share = if on { fault.factor } else { 0.0 };
        let garbled = if on { fault.truncated_share } else { 0.0 };
        self.burden(fault, |place| match fault.kind {
            FaultKind::Slow => place.slower = if on { fault.factor } else { 1.0 },
            FaultKind::Errors => place.errors = share,
            FaultKind::ResetConnections => place.resets = share,
            _ => place.gray = (share, fault.answer_delay, garbled),
        });
    }

    fn burden(&mut self, fault: &FaultSpec, change: impl Fn(&mut Place)) {
        for server in &fault.targets {
            self.settle(*server);
            let place = &mut self.servers[*server];
            change(place);
            place.model.set_slowdown(place.slower, place.taken);
            self.schedule(*server);
        }
    }

    /// A neighbour comes or goes, until the fault is over.
    pub(super) fn toggle(&mut self, n: usize, on: bool) {
        let draw = self.draw.clone();
        let fault = &draw.faults[n];
        if self.now >= fault.until {
            return;
        }
        let taken = if on { fault.factor } else { 0.0 };
        self.burden(fault, |place| place.taken = taken);
        self.look_over();
        let span = self.chance.random_range(NEIGHBOUR..5 * NEIGHBOUR);
        self.at((self.now + span).min(fault.until), Ev::Toggle(n, !on));
    }

    fn cut(&mut self, fault: &FaultSpec, on: bool) {
        self.link(fault, |link| link.cuts = if on { link.cuts + 1 } else { link.cuts.saturating_sub(1) });
        for server in 0..self.servers.len() {
            self.reaches(server);
        }
    }

    /// Changes the links between the fault's zones and the others, both ways or the one that it names.
    fn link(&mut self, fault: &FaultSpec, change: impl Fn(&mut Link)) {
        for zone in &fault.targets {
            let others = (0..self.draw.zones.len()).filter(|z| z != zone);
            for other in others.filter(|z| fault.peer_zone.is_none_or(|to| to == *z)) {
                for (way, from, to) in [(Direction::Out, *zone, other), (Direction::In, other, *zone)] {
                    if fault.direction.is_none_or(|w| w == way) {
                        change(&mut self.links[from][to]);
                    }
                }
            }
        }
    }

    /// All connections between the fault's zones and the others break.
    fn break_links(&mut self, fault: &FaultSpec) {
        for server in 0..self.servers.len() {
            let here = self.servers[server].spec.zone;
            let zones = (0..self.draw.zones.len()).filter(|z| *z != here);
            let broken = zones.filter(|z| fault.targets.contains(z) || fault.targets.contains(&here));
            self.out.extend(broken.map(|zone| Effect::CloseConnections { server, zone: Some(zone) }));
        }
    }

    fn silence(&mut self, on: bool) {
        self.silent = on;
        if !on {
            let version = self.list.version();
            for node in 0..self.nodes.len() {
                self.at(self.now, Ev::Tell(node, version));
            }
        }
    }
}
