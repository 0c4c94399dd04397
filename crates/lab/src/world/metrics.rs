//! Read access to the results of a run and to the current state of the fleet.

use super::*;

/// State of the servers that are up and listed as in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetState {
    /// Number of these servers.
    pub servers: usize,
    /// How many of them are idle.
    pub idle: usize,
    /// How many of them are still warming up.
    pub cold: usize,
    /// Their current capacity, in core-seconds (at speed 1) per second.
    pub capacity: f64,
    /// Average number of requests in flight per core.
    pub in_flight_per_core: f64,
    /// Highest number of requests in flight per core of one server.
    pub max_in_flight_per_core: f64,
    /// Work done by all servers since the start, in core-seconds at speed 1.
    pub work_done_s: f64,
}

impl World {
    /// The counters of the run.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// The draw that is played.
    pub fn draw(&self) -> &Rc<Draw> {
        &self.draw
    }

    /// How late each event was handled, in microseconds.
    pub fn event_lateness_us(&self) -> &[u32] {
        &self.lateness
    }

    /// Work of servers that brought no client an answer, as a share of the work that was asked for.
    pub fn wasted_share(&self) -> f64 {
        let done: f64 = self.servers.iter().map(|p| p.earlier_work_done + p.model.work_done()).sum();
        (done - self.tally.useful_work).max(0.0) / self.tally.offered_work.max(1.0)
    }

    /// Share of servers that were ever choked by crowding.
    pub fn choked_share(&self) -> f64 {
        self.tally.choked_servers.len() as f64 / self.draw.servers.len() as f64
    }

    /// Load on cold servers: the highest load within one window as a fraction of what crashes a server, and the total
    /// work received as a share of the capacity in that time.
    pub fn cold_load(&self) -> (f64, f64) {
        let processes = self
            .servers
            .iter()
            .map(|p| p.model.cold_load(self.now))
            .chain(self.earlier_cold_loads.iter().copied());
        let total = processes.fold(ColdLoad::default(), |total, one| ColdLoad {
            peak: total.peak.max(one.peak),
            sent: total.sent + one.sent,
            capacity: total.capacity + one.capacity,
        });
        (total.peak, total.sent / total.capacity.max(1.0))
    }

    /// Number of breaches, and the first of them with names.
    pub fn breaches(&self) -> (usize, Vec<Breach>) {
        let (count, first) = self.referee.breaches();
        let named = first.iter().map(|(rule, at, subject, reason)| Breach {
            rule: *rule,
            at_ms: *at as f64 / 1e3,
            node: subject.node.map(|n| format!("n{n}")),
            server: subject.server.map(|s| name_of(&self.draw, s)),
            request: subject.request.map(|r| self.txn(r)),
            description: reason.clone(),
        });
        (count, named.collect())
    }

    /// True capacity and backlog of a server, for the oracle; `None` if the server is not up, or if one more request
    /// would begin to crowd it.
    pub fn capacity_and_backlog(&self, server: usize) -> Option<(f64, f64)> {
        let instance = self.servers.get(server).filter(|p| p.process_state == ProcessState::Up)?;
        let parameters = &instance.spec.parameters;
        let crowded = (instance.model.in_flight() + 1) as f64
            > parameters.choke.threshold.min(parameters.thrash_threshold) * parameters.cores as f64;
        (!crowded).then(|| (instance.model.capacity(self.now), instance.model.backlog()))
    }

    /// State of the servers that are up and whose newest list entry is in service.
    pub fn fleet_state(&self) -> FleetState {
        let active = |n: &usize| self.list.newest_entry(*n).is_some_and(|e| e.health == Health::Active);
        let usable = (0..self.servers.len()).filter(active).map(|n| &self.servers[n]);
        let usable: Vec<&ServerInstance> = usable.filter(|p| p.process_state == ProcessState::Up).collect();
        let in_flight_per_core =
            |p: &&ServerInstance| p.model.in_flight() as f64 / p.model.parameters().cores as f64;
        FleetState {
            servers: usable.len(),
            idle: usable.iter().filter(|p| p.model.in_flight() == 0).count(),
            cold: usable.iter().filter(|p| p.model.is_cold(self.now)).count(),
            capacity: usable.iter().map(|p| p.model.capacity(self.now)).sum(),
            in_flight_per_core: usable.iter().map(in_flight_per_core).sum::<f64>()
                / usable.len().max(1) as f64,
            max_in_flight_per_core: usable.iter().map(in_flight_per_core).fold(0.0, f64::max),
            work_done_s: self.servers.iter().map(|p| p.earlier_work_done + p.model.work_done()).sum::<f64>()
                / 1e6,
        }
    }

    /// The servers that are in service in the list version of a node's agent.
    pub fn listed_servers(&self, node: usize) -> Vec<usize> {
        let mut active = BTreeMap::new();
        for (server, entry) in self.list.changes_between(0, self.nodes[node].agent_version) {
            active.insert(server, entry.health == Health::Active);
        }
        active.into_iter().filter(|(_, is_active)| *is_active).map(|(server, _)| server).collect()
    }

    /// Zone of a node.
    pub fn node_zone(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// Mean one-way delay between a node's zone and a server's.
    pub fn link_delay(&self, node: usize, server: usize) -> Us {
        self.draw.delays[self.nodes[node].zone][self.servers[server].spec.zone]
    }

    /// Number of servers so far, with those that replaced others.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }
}
