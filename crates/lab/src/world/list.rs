//! The list as nodes are told it.

use super::*;

impl World {
    /// The play begins at this Unix time.
    pub fn set_unix_start(&mut self, unix_ms: f64) {
        self.unix_start_ms = unix_ms;
    }

    pub(super) fn unix_ms(&self, at: Us) -> f64 {
        (self.unix_start_ms + at as f64 / 1e3).round()
    }

    /// Lists a server's state, where it still has the life that this is about.
    pub(super) fn list_if(&mut self, server: usize, life: u32, health: Health) {
        let place = &self.servers[server];
        let holds = match health {
            Health::Left => place.power != Power::Up,
            Health::Active | Health::Leaving => place.power == Power::Up,
        };
        if place.life == life && holds {
            self.list(server, health);
        }
    }

    pub(super) fn list(&mut self, server: usize, health: Health) {
        if self.list.newest_entry(server).is_none() && health != Health::Active {
            return;
        }
        let listed = entry(&self.draw, server, &self.servers[server], health);
        let version = self.list.record_change(server, listed);
        for node in 0..self.nodes.len() {
            let after = (self.draw.discovery.node_spread as f64 * self.chance.random::<f64>()) as Us;
            self.at(self.now + after, Ev::Tell(node, version));
        }
    }

    /// News reach a node's agent, once the list speaks.
    pub(super) fn tell(&mut self, node: usize, version: u64) {
        if self.silent || version <= self.nodes[node].version {
            return;
        }
        // A list that is behind goes on from there.
        let from = self.agent_version(node);
        self.nodes[node].version = version;
        let to = self.agent_version(node);
        if to == from {
            return;
        }
        let before = self.nodes[node].overtaken.take();
        let held = self.reordered && before.is_none();
        self.referee.agent_received(self.now, node, to, held);
        if held {
            self.nodes[node].overtaken = Some(from);
            return;
        }
        self.out.push_back(Effect::SendListUpdate { node, from, to });
        self.out.extend(before.map(|before| Effect::SendListUpdate { node, from: before, to: from }));
    }

    /// The version that a node's agent tells whoever asks.
    pub fn agent_version(&self, node: usize) -> u64 {
        self.nodes[node].version.saturating_sub(self.behind).max(1)
    }

    /// The list falls behind what it knew, and catches up.
    pub(super) fn fall_behind(&mut self, versions: u64) {
        let before = std::mem::replace(&mut self.behind, versions);
        for node in 0..self.nodes.len() {
            let version = self.nodes[node].version;
            let from = version.saturating_sub(before).max(1);
            if versions > 0 {
                self.out.push_back(Effect::CloseWatches(node));
            } else if from < version {
                self.referee.agent_received(self.now, node, version, false);
                self.out.push_back(Effect::SendListUpdate { node, from, to: version });
            }
        }
    }

    /// Lines begin to overtake each other, or no longer do; none is left behind.
    pub(super) fn reorder(&mut self, on: bool) {
        self.reordered = on;
        for node in 0..self.nodes.len() {
            if let Some(before) = self.nodes[node].overtaken.take() {
                let to = self.nodes[node].version;
                self.out.push_back(Effect::SendListUpdate { node, from: before, to });
            }
        }
    }

    /// Is the list silent?
    pub fn list_unavailable(&self) -> bool {
        self.silent
    }

    /// The line that brings a node from a version to another; the whole list from 0 on.
    pub fn list_update(&self, node: usize, from: u64, to: u64) -> Update {
        let zone = self.nodes[node].zone;
        let dial = |server| (self.dial)(server, zone);
        if from == 0 {
            self.list.full(to, dial)
        } else {
            self.list.delta(from, to, dial)
        }
    }

    /// A version was written to a node.
    pub fn list_delivered(&mut self, now: Us, node: usize, version: u64) {
        self.advance(now);
        self.referee.node_notified(now, node, version, &self.list);
    }
}
