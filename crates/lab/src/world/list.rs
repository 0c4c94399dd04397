//! The list of servers as discovery sends it to the nodes.

use super::*;

impl World {
    /// Sets the wall-clock time of the run's start, in Unix milliseconds.
    pub fn set_unix_start(&mut self, unix_ms: f64) {
        self.unix_start_ms = unix_ms;
    }

    /// Wall-clock time of a moment of the run, in Unix milliseconds.
    pub(super) fn unix_ms(&self, at: Us) -> f64 {
        (self.unix_start_ms + at as f64 / 1e3).round()
    }

    /// Changes a server's list entry if it still is the process that the change is about, in a matching state.
    pub(super) fn change_list_entry_if_current(&mut self, server: usize, incarnation: u32, health: Health) {
        let instance = &self.servers[server];
        let matches_power = match health {
            Health::Left => instance.process_state != ProcessState::Up,
            Health::Active | Health::Leaving => instance.process_state == ProcessState::Up,
        };
        if instance.incarnation == incarnation && matches_power {
            self.change_list_entry(server, health);
        }
    }

    /// Changes a server's list entry; each agent has the new version after a random delay.
    pub(super) fn change_list_entry(&mut self, server: usize, health: Health) {
        if self.list.newest_entry(server).is_none() && health != Health::Active {
            return;
        }
        let entry = entry(&self.draw, server, &self.servers[server], health);
        let version = self.list.record_change(server, entry);
        for node in 0..self.nodes.len() {
            let delay = (self.draw.discovery.node_spread as f64 * self.rng.random::<f64>()) as Us;
            self.schedule_event(self.now + delay, Event::ListVersionAtAgent(node, version));
        }
    }

    /// A new version reaches a node's agent, unless the list is in an outage.
    pub(super) fn list_version_at_agent(&mut self, node: usize, version: u64) {
        if self.list_outage || version <= self.nodes[node].agent_version {
            return;
        }
        // A stale list continues from the version that it shows.
        let from = self.agent_version(node);
        self.nodes[node].agent_version = version;
        let to = self.agent_version(node);
        if to == from {
            return;
        }
        let delayed_from = self.nodes[node].delayed_from.take();
        let is_delayed = self.list_reordered && delayed_from.is_none();
        self.referee.agent_received(self.now, node, to, is_delayed);
        if is_delayed {
            self.nodes[node].delayed_from = Some(from);
            return;
        }
        self.effects.push_back(Effect::SendListUpdate { node, from, to });
        self.effects.extend(delayed_from.map(|delayed_from| Effect::SendListUpdate {
            node,
            from: delayed_from,
            to: from,
        }));
    }

    /// Version that a node's agent gives to a caller.
    pub fn agent_version(&self, node: usize) -> u64 {
        self.nodes[node].agent_version.saturating_sub(self.list_lag).max(1)
    }

    /// The list becomes stale by `versions` versions, or, with 0, catches up.
    pub(super) fn set_list_lag(&mut self, versions: u64) {
        let previous_lag = std::mem::replace(&mut self.list_lag, versions);
        for node in 0..self.nodes.len() {
            let version = self.nodes[node].agent_version;
            let from = version.saturating_sub(previous_lag).max(1);
            if versions > 0 {
                self.effects.push_back(Effect::CloseWatches(node));
            } else if from < version {
                self.referee.agent_received(self.now, node, version, false);
                self.effects.push_back(Effect::SendListUpdate { node, from, to: version });
            }
        }
    }

    /// Updates begin to overtake each other, or no longer do; a delayed update is sent then.
    pub(super) fn set_list_reordering(&mut self, on: bool) {
        self.list_reordered = on;
        for node in 0..self.nodes.len() {
            if let Some(from) = self.nodes[node].delayed_from.take() {
                let to = self.nodes[node].agent_version;
                self.effects.push_back(Effect::SendListUpdate { node, from, to });
            }
        }
    }

    /// Whether the list is in an outage.
    pub fn list_unavailable(&self) -> bool {
        self.list_outage
    }

    /// The update that brings a node from one version to another; the full list if `from` is 0.
    pub fn list_update(&self, node: usize, from: u64, to: u64) -> Update {
        let zone = self.nodes[node].zone;
        let dial = |server| (self.server_address)(server, zone);
        if from == 0 {
            self.list.full(to, dial)
        } else {
            self.list.delta(from, to, dial)
        }
    }

    /// Records that a version was written to a node.
    pub fn list_delivered(&mut self, now: Us, node: usize, version: u64) {
        self.advance(now);
        self.referee.node_notified(now, node, version, &self.list);
    }
}
