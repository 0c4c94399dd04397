//! The list of app servers and its versions, as discovery serves it to nodes.

use std::net::SocketAddr;

use endpoints::{Health, Host, Update};

/// One server in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server's name.
    pub name: String,
    /// The zone's name.
    pub zone: String,
    /// The cell's number.
    pub cell: u64,
    /// The server's state.
    pub health: Health,
    /// When the server last started, Unix time in milliseconds; 0: long ago.
    pub born_ms: f64,
}

/// A change of one server; each change makes a new version.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    server: usize,
    entry: ServerEntry,
}

/// The list of servers. Version 1 is the initial list, and each change makes the next version.
#[derive(Debug, Default)]
pub struct ServerList {
    initial: Vec<ServerEntry>,
    changes: Vec<Change>,
}

impl ServerList {
    /// A list with these servers as version 1.
    pub fn new(initial: Vec<ServerEntry>) -> Self {
        Self { initial, changes: Vec::new() }
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        1 + self.changes.len() as u64
    }

    /// Changes or adds the entry of a server. Returns the new version.
    pub fn record_change(&mut self, server: usize, entry: ServerEntry) -> u64 {
        self.changes.push(Change { server, entry });
        self.version()
    }

    /// The newest entry of a server; `None` if it was never listed.
    pub fn newest_entry(&self, server: usize) -> Option<&ServerEntry> {
        let changed = self.changes.iter().rev().find(|c| c.server == server).map(|c| &c.entry);
        changed.or_else(|| self.initial.get(server))
    }

    /// The changes after version `from` and up to version `to`, in order. From version 0 on, the servers of the initial
    /// list count as changes too.
    pub fn changes_between(&self, from: u64, to: u64) -> impl Iterator<Item = (usize, &ServerEntry)> {
        let initial = self.initial.iter().enumerate().filter(move |_| from == 0);
        let skip = from.saturating_sub(1) as usize;
        let changed = self.changes.iter().take(to.saturating_sub(1) as usize).skip(skip);
        initial.chain(changed.map(|c| (c.server, &c.entry)))
    }

    /// The update with the changes between two versions; `dial` has the address of each server.
    pub fn delta(&self, from: u64, to: u64, dial: impl Fn(usize) -> SocketAddr) -> Update {
        let hosts = self.changes_between(from, to).map(|(server, entry)| host(entry, dial(server))).collect();
        Update { version: to, whole: false, hosts }
    }

    /// The update with the full list at a version; `dial` has the address of each server.
    pub fn full(&self, version: u64, dial: impl Fn(usize) -> SocketAddr) -> Update {
        let mut newest: std::collections::BTreeMap<usize, &ServerEntry> = std::collections::BTreeMap::new();
        newest.extend(self.changes_between(0, version));
        let listed = newest.into_iter().filter(|(_, e)| e.health != Health::Left);
        Update { version, whole: true, hosts: listed.map(|(s, e)| host(e, dial(s))).collect() }
    }
}

fn host(entry: &ServerEntry, dial: SocketAddr) -> Host {
    Host {
        host: entry.name.clone(),
        dial: (entry.health != Health::Left).then_some(dial),
        zone: entry.zone.clone(),
        kind: "std-2c".into(),
        cell: entry.cell,
        health: entry.health,
        weight: 1.0,
        born_ms: entry.born_ms,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, health: Health) -> ServerEntry {
        ServerEntry { name: name.into(), zone: "a".into(), cell: 0, health, born_ms: 0.0 }
    }

    #[test]
    fn a_full_list_has_all_changes_up_to_its_version_and_a_delta_those_between_two() {
        let mut list = ServerList::new(vec![entry("s0", Health::Active), entry("s1", Health::Active)]);
        assert_eq!(list.record_change(1, entry("s1", Health::Leaving)), 2);
        assert_eq!(list.record_change(1, entry("s1", Health::Left)), 3);
        assert_eq!(list.record_change(2, entry("s2", Health::Active)), 4);
        let dial = |n: usize| SocketAddr::from(([127, 0, 0, 1], n as u16));
        let names = |u: Update| u.hosts.iter().map(|h| (h.host.clone(), h.health)).collect::<Vec<_>>();
        let (s0, s1, s2) = ("s0".to_string(), "s1".to_string(), "s2".to_string());
        assert_eq!(names(list.full(2, dial)), [(s0.clone(), Health::Active), (s1.clone(), Health::Leaving)]);
        assert_eq!(names(list.full(4, dial)), [(s0, Health::Active), (s2.clone(), Health::Active)]);
        assert_eq!(names(list.delta(2, 4, dial)), [(s1, Health::Left), (s2, Health::Active)]);
        assert!(list.delta(4, 4, dial).hosts.is_empty());
    }
}
