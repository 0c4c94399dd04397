//! What came of a play.

use super::*;

/// How the servers that nodes may use are doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetState {
    /// How many there are.
    pub servers: usize,
    /// Of those, how many have nothing to do.
    pub idle: usize,
    /// How many are still warming up.
    pub cold: usize,
    /// Work that they get done, in seconds of a standard core a second, as crowded as they are.
    pub capacity: f64,
    /// Requests that they hold for each core, on average.
    pub in_flight_per_core: f64,
    /// The most that one holds for each core.
    pub max_in_flight_per_core: f64,
    /// Work done by all servers since the start, in seconds of a standard core.
    pub work_done_s: f64,
}

impl World {
    /// The figures, for the result.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// The draw that it plays.
    pub fn draw(&self) -> &Rc<Draw> {
        &self.draw
    }

    /// How late each event was looked at, in microseconds.
    pub fn event_lateness_us(&self) -> &[u32] {
        &self.lateness
    }

    /// Work that servers have done, over work that was asked for, without what answers brought their clients.
    pub fn wasted_share(&self) -> f64 {
        let done: f64 = self.servers.iter().map(|p| p.done_before + p.model.work_done()).sum();
        (done - self.tally.useful_work).max(0.0) / self.tally.offered_work.max(1.0)
    }

    /// The share of servers that were choked by crowding.
    pub fn choked_share(&self) -> f64 {
        self.tally.choked_servers.len() as f64 / self.draw.servers.len() as f64
    }

    /// What servers were sent while they were cold: in the most pushed one's worst window as a part of what pushes it
    /// over, and in all, over what they could have done meanwhile.
    pub fn cold_load(&self) -> (f64, f64) {
        let lives =
            self.servers.iter().map(|p| p.model.cold_load(self.now)).chain(self.cold_before.iter().copied());
        let all = lives.fold(ColdLoad::default(), |all, one| ColdLoad {
            peak: all.peak.max(one.peak),
            sent: all.sent + one.sent,
            capacity: all.capacity + one.capacity,
        });
        (all.peak, all.sent / all.capacity.max(1.0))
    }

    /// How many rules were broken, and the first of them with names.
    pub fn breaches(&self) -> (usize, Vec<Breach>) {
        let (count, kept) = self.referee.breaches();
        let named = kept.iter().map(|(rule, at, about, words)| Breach {
            rule: *rule,
            at_ms: *at as f64 / 1e3,
            node: about.node.map(|n| format!("n{n}")),
            server: about.server.map(|s| name_of(&self.draw, s)),
            request: about.request.map(|r| self.txn(r)),
            description: words.clone(),
        });
        (count, named.collect())
    }

    /// True capacity and backlog of a server, for a policy that sees them; `None` where it is not up, or where one more
    /// request would begin to crowd it.
    pub fn capacity_and_backlog(&self, server: usize) -> Option<(f64, f64)> {
        let place = self.servers.get(server).filter(|p| p.power == Power::Up)?;
        let figures = &place.spec.parameters;
        let crowded = (place.model.in_flight() + 1) as f64
            > figures.choke.threshold.min(figures.thrash_threshold) * figures.cores as f64;
        (!crowded).then(|| (place.model.capacity(self.now), place.model.backlog()))
    }

    /// How the servers that are up and newly listed as in service are doing.
    pub fn fleet_state(&self) -> FleetState {
        let active = |n: &usize| self.list.newest_entry(*n).is_some_and(|e| e.health == Health::Active);
        let usable = (0..self.servers.len()).filter(active).map(|n| &self.servers[n]);
        let usable: Vec<&Place> = usable.filter(|p| p.power == Power::Up).collect();
        let held = |p: &&Place| p.model.in_flight() as f64 / p.model.parameters().cores as f64;
        FleetState {
            servers: usable.len(),
            idle: usable.iter().filter(|p| p.model.in_flight() == 0).count(),
            cold: usable.iter().filter(|p| p.model.is_cold(self.now)).count(),
            capacity: usable.iter().map(|p| p.model.capacity(self.now)).sum(),
            in_flight_per_core: usable.iter().map(held).sum::<f64>() / usable.len().max(1) as f64,
            max_in_flight_per_core: usable.iter().map(held).fold(0.0, f64::max),
            work_done_s: self.servers.iter().map(|p| p.done_before + p.model.work_done()).sum::<f64>() / 1e6,
        }
    }

    /// The servers that a node's agent has listed as in service.
    pub fn listed_servers(&self, node: usize) -> Vec<usize> {
        let mut active = BTreeMap::new();
        for (server, entry) in self.list.changes_between(0, self.nodes[node].version) {
            active.insert(server, entry.health == Health::Active);
        }
        active.into_iter().filter(|(_, on)| *on).map(|(server, _)| server).collect()
    }

    /// The zone of a node.
    pub fn node_zone(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// One way between a node's zone and a server.
    pub fn link_delay(&self, node: usize, server: usize) -> Us {
        self.draw.delays[self.nodes[node].zone][self.servers[server].spec.zone]
    }

    /// How many servers there have been.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }
}
