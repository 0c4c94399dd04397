//! What came of a play.

use super::*;

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
    pub fn lateness(&self) -> &[u32] {
        &self.lateness
    }

    /// Work that servers have done, over work that was asked for, without what answers brought their clients.
    pub fn wasted(&self) -> f64 {
        let done: f64 = self.servers.iter().map(|p| p.done_before + p.model.work_done()).sum();
        (done - self.tally.useful).max(0.0) / self.tally.work.max(1.0)
    }

    /// The share of servers that were choked by crowding.
    pub fn overdriven(&self) -> f64 {
        self.tally.choked.len() as f64 / self.draw.servers.len() as f64
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
            words: words.clone(),
        });
        (count, named.collect())
    }

    /// True capacity and backlog of a server, for a policy that sees them; `None` where it is not up, or where one more
    /// request would begin to crowd it.
    pub fn truth(&self, server: usize) -> Option<(f64, f64)> {
        let place = self.servers.get(server).filter(|p| p.power == Power::Up)?;
        let figures = &place.spec.figures;
        let crowded =
            (place.model.held() + 1) as f64 > figures.choke.at.min(figures.thrash_at) * figures.cores as f64;
        (!crowded).then(|| (place.model.capacity(self.now), place.model.backlog()))
    }

    /// Work that the servers that are up get done in a second, and what they hold, in seconds of one core; and how many
    /// of them have nothing to do.
    pub fn fleet_state(&self) -> (f64, f64, usize) {
        let up = || self.servers.iter().filter(|p| p.power == Power::Up);
        let capacity: f64 = up().map(|p| p.model.capacity(self.now)).sum();
        let backlog: f64 = up().map(|p| p.model.backlog()).sum();
        (capacity, backlog / 1e6, up().filter(|p| p.model.held() == 0).count())
    }

    /// The servers that a node's agent has listed as in service.
    pub fn listed(&self, node: usize) -> Vec<usize> {
        let mut active = BTreeMap::new();
        for (server, entry) in self.list.between(0, self.nodes[node].version) {
            active.insert(server, entry.health == Health::Active);
        }
        active.into_iter().filter(|(_, on)| *on).map(|(server, _)| server).collect()
    }

    /// The zone of a node.
    pub fn node_zone(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// One way between a node's zone and a server.
    pub fn delay(&self, node: usize, server: usize) -> Us {
        self.draw.delays[self.nodes[node].zone][self.servers[server].spec.zone]
    }

    /// How many servers there have been.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }
}
