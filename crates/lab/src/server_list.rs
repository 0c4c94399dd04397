//! The list of app servers and its versions: what discovery has to tell, and to whom it was told.

use std::net::SocketAddr;

use endpoints::{Health, Host, Update};

/// One server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub name: String,
    /// Its zone's name.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub health: Health,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub born_ms: f64,
}

/// A change of one server, which makes one version.
#[derive(Clone, Debug, PartialEq)]
struct Change {
    server: usize,
    entry: ServerEntry,
}

/// The list: version 1 is the first whole list, and each change makes the next.
#[derive(Debug, Default)]
pub struct ServerList {
    first: Vec<ServerEntry>,
    changes: Vec<Change>,
}

impl ServerList {
    /// The list at the start.
    pub fn new(first: Vec<ServerEntry>) -> Self {
        Self { first, changes: Vec::new() }
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        1 + self.changes.len() as u64
    }

    /// Notes that a server is so from now on; the version that says so.
    pub fn record_change(&mut self, server: usize, entry: ServerEntry) -> u64 {
        self.changes.push(Change { server, entry });
        self.version()
    }

    /// The newest entry of a server, if it was ever listed.
    pub fn newest_entry(&self, server: usize) -> Option<&ServerEntry> {
        let changed = self.changes.iter().rev().find(|c| c.server == server).map(|c| &c.entry);
        changed.or_else(|| self.first.get(server))
    }

    /// The servers that changed after one version and up to another, with what they are by then. Those of the
    /// first list count as changes too, from version 0.
    pub fn changes_between(&self, from: u64, to: u64) -> impl Iterator<Item = (usize, &ServerEntry)> {
        let first = self.first.iter().enumerate().filter(move |_| from == 0);
        let skip = from.saturating_sub(1) as usize;
        let changed = self.changes.iter().take(to.saturating_sub(1) as usize).skip(skip);
        first.chain(changed.map(|c| (c.server, &c.entry)))
    }

    /// The line with the changes between two versions; servers are dialled where `dial` says.
    pub fn delta(&self, from: u64, to: u64, dial: impl Fn(usize) -> SocketAddr) -> Update {
        let hosts = self.changes_between(from, to).map(|(server, entry)| host(entry, dial(server))).collect();
        Update { version: to, whole: false, hosts }
    }

    /// The whole list at a version.
    pub fn full(&self, at: u64, dial: impl Fn(usize) -> SocketAddr) -> Update {
        let mut newest: std::collections::BTreeMap<usize, &ServerEntry> = std::collections::BTreeMap::new();
        newest.extend(self.changes_between(0, at));
        let listed = newest.into_iter().filter(|(_, e)| e.health != Health::Left);
        Update { version: at, whole: true, hosts: listed.map(|(s, e)| host(e, dial(s))).collect() }
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
    fn a_version_holds_what_changed_up_to_it() {
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
