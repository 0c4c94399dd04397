//! What is believed of the list, whatever order its versions come in.
//!
//! A service can fall behind what it told before, lines can overtake each other, and a service can truly be restored
//! to an older state. So each server's entry holds the version that it is from, and an older word may only take
//! away: it can stop sends to a server at once, as that breaks nothing, and never brings one back. An older whole
//! list replaces the newer one once a second connection brings an older whole list again, [`ROLLBACK_CONFIRM_MS`] after the
//! first, and nothing as new as ours came meanwhile. Rejected: to believe it after a few seconds, as copies lag for
//! longer than that, and what they bring back has been told to drain.

use std::collections::BTreeMap;

use crate::{Health, Host, Ms, Update};

/// How long a service has to stay behind what it told before, until it counts as restored, in ms.
pub const ROLLBACK_CONFIRM_MS: Ms = 20_000;
/// The same after a move to another service, whose numbers are its own; what that one tells counts 4 s after.
pub const ROLLBACK_CONFIRM_AFTER_MOVE_MS: Ms = 2_000;
/// Servers that are gone and remembered with the version that said so; the oldest are forgotten.
const GONE_MOST: usize = 4096;

/// What is known of a server, and from which version.
#[derive(Clone, Copy, Debug)]
struct Known {
    version: u64,
    born_ms: f64,
    health: Health,
}

/// The service tells less than it told before.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    since: Ms,
    call: u64,
}

/// The versions of the list that the node goes by.
#[derive(Debug)]
pub struct ListState {
    version: u64,
    servers: BTreeMap<String, Known>,
    /// A server that is not in the book was not listed at this version.
    floor: u64,
    doubt: Option<Doubt>,
    confirm: Ms,
}

/// What an update came to.
#[derive(Debug, PartialEq)]
pub struct UpdateOutcome {
    /// What of it is to be believed.
    pub accepted: Option<Update>,
    /// The service has caught up with what it told before: only the whole list shows what was left out meanwhile.
    pub needs_full_list: bool,
}

impl ListState {
    /// A book that begins with a saved list.
    pub fn new(saved: Option<&Update>) -> Self {
        let mut book = Self {
            version: 0,
            servers: BTreeMap::new(),
            floor: 0,
            doubt: None,
            confirm: ROLLBACK_CONFIRM_MS,
        };
        if let Some(saved) = saved {
            book.replace(saved);
        }
        book
    }

    /// The newest version that counts.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When an older list that stays is to be asked for again.
    pub fn rollback_confirm_at(&self) -> Option<Ms> {
        self.doubt.map(|d| d.since + self.confirm)
    }

    /// The list comes from elsewhere from now on, where the numbers may be others.
    pub fn service_moved(&mut self) {
        self.doubt = None;
        self.confirm = ROLLBACK_CONFIRM_AFTER_MOVE_MS;
    }

    /// Takes in what a call brought.
    pub fn apply(&mut self, update: Update, call: u64, now: Ms) -> UpdateOutcome {
        let version = update.version;
        if update.whole {
            let again = |d: Doubt| call != d.call && now >= d.since + self.confirm;
            if version >= self.version || self.doubt.is_some_and(again) {
                self.replace(&update);
                return UpdateOutcome { accepted: Some(update), needs_full_list: false };
            }
            self.doubt.get_or_insert(Doubt { since: now, call });
        }
        let caught_up = self.doubt.is_some() && version >= self.version;
        if caught_up {
            // It is as new as ours again: what it tells from now on is another doubt, if any.
            self.doubt = Some(Doubt { since: now, call });
        }
        self.version = self.version.max(version);
        let hosts: Vec<Host> = update.hosts.into_iter().filter(|h| self.enter(h, version)).collect();
        self.forget_gone();
        let accepted =
            (!hosts.is_empty() || !update.whole).then_some(Update { version, whole: false, hosts });
        UpdateOutcome { accepted, needs_full_list: caught_up }
    }

    fn replace(&mut self, update: &Update) {
        let known = |h: &Host| Known { version: update.version, born_ms: h.born_ms, health: h.health };
        self.servers = update.hosts.iter().map(|h| (h.host.clone(), known(h))).collect();
        (self.version, self.floor) = (update.version, update.version);
        (self.doubt, self.confirm) = (None, ROLLBACK_CONFIRM_MS);
    }

    /// Notes an entry of a version; false where it is not to be believed.
    fn enter(&mut self, host: &Host, version: u64) -> bool {
        let known = self.servers.get(&host.host).copied();
        if known.map_or(version > self.floor, |k| version >= k.version) {
            let entry = Known { version, born_ms: host.born_ms, health: host.health };
            self.servers.insert(host.host.clone(), entry);
            return true;
        }
        // A service that was restored may mean it, and to stop sends breaks nothing. Ours stays in the book: once the
        // service has caught up, the whole list gives the server back.
        let ours = known.filter(|k| k.health == Health::Active && host.born_ms >= k.born_ms);
        self.doubt.is_some() && host.health != Health::Active && ours.is_some()
    }

    fn forget_gone(&mut self) {
        if self.servers.len() <= GONE_MOST {
            return;
        }
        let gone = |k: &Known| k.health == Health::Left;
        let mut versions: Vec<u64> = self.servers.values().filter(|k| gone(k)).map(|k| k.version).collect();
        if versions.len() > GONE_MOST {
            versions.sort_unstable();
            self.floor = self.floor.max(versions[versions.len() / 2]);
            self.servers.retain(|_, k| !gone(k) || k.version > self.floor);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Health::{Active, Leaving, Left};

    fn update(version: u64, whole: bool, hosts: &[(&str, Health, f64)]) -> Update {
        let host = |(name, health, born_ms): &(&str, Health, f64)| Host {
            host: (*name).into(),
            dial: None,
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            health: *health,
            weight: 1.0,
            born_ms: *born_ms,
        };
        Update { version, whole, hosts: hosts.iter().map(host).collect() }
    }

    fn changes(version: u64, hosts: &[(&str, Health, f64)]) -> Update {
        update(version, false, hosts)
    }

    fn whole(version: u64, hosts: &[(&str, Health, f64)]) -> Update {
        update(version, true, hosts)
    }

    /// What is believed of an update, by name.
    fn told(taken: &UpdateOutcome) -> Vec<(&str, Health)> {
        taken.accepted.iter().flat_map(|u| u.hosts.iter().map(|h| (h.host.as_str(), h.health))).collect()
    }

    fn at(version: u64) -> ListState {
        ListState::new(Some(&whole(version, &[("a", Active, 0.0), ("b", Active, 5.0), ("c", Leaving, 0.0)])))
    }

    #[test]
    fn lines_that_overtook_each_other_come_to_the_same() {
        let mut book = at(10);
        let late = changes(12, &[("a", Leaving, 0.0), ("b", Leaving, 5.0), ("d", Active, 1.0)]);
        assert_eq!(told(&book.apply(changes(14, &[("b", Left, 5.0), ("e", Active, 2.0)]), 1, 0)).len(), 2);
        assert_eq!(told(&book.apply(late, 1, 0)), [("a", Leaving), ("d", Active)], "b was told to be gone");
        assert_eq!(told(&book.apply(changes(13, &[("b", Active, 5.0)]), 1, 0)), []);
        assert_eq!(told(&book.apply(changes(9, &[("f", Active, 0.0)]), 1, 0)), [], "gone or unlisted at 10");
        assert_eq!((book.version(), book.rollback_confirm_at()), (14, None));
    }

    #[test]
    fn an_older_list_only_takes_away() {
        let mut book = at(10);
        let older =
            whole(7, &[("a", Leaving, 0.0), ("b", Leaving, 4.0), ("c", Active, 0.0), ("z", Active, 9.0)]);
        let taken = book.apply(older, 1, 100);
        assert_eq!(told(&taken), [("a", Leaving)], "b has started anew since, c drains, z is gone");
        assert!(taken.accepted.is_some_and(|u| !u.whole), "what it leaves out is not gone");
        assert_eq!((book.version(), book.rollback_confirm_at()), (10, Some(100 + ROLLBACK_CONFIRM_MS)));
        let taken = book.apply(changes(8, &[("c", Active, 0.0), ("b", Left, 5.0)]), 1, 200);
        assert_eq!(told(&taken), [("b", Left)]);
        // It catches up: the whole list gives back what was withheld.
        assert!(book.apply(changes(11, &[("y", Active, 1.0)]), 1, 300).needs_full_list);
        let accepted = book.apply(whole(11, &[("a", Active, 0.0)]), 2, 400).accepted;
        assert!(accepted.is_some_and(|u| u.whole) && book.rollback_confirm_at().is_none());
    }

    #[test]
    fn a_restored_service_is_followed_once_it_has_stayed_so() {
        let older = || whole(7, &[("c", Active, 0.0)]);
        let mut book = at(10);
        assert_eq!(told(&book.apply(older(), 1, 0)), []);
        assert_eq!(told(&book.apply(older(), 2, ROLLBACK_CONFIRM_MS - 1)), [], "not yet");
        assert_eq!(told(&book.apply(older(), 1, ROLLBACK_CONFIRM_MS)), [], "the same connection");
        assert_eq!(told(&book.apply(older(), 2, ROLLBACK_CONFIRM_MS)), [("c", Active)]);
        assert_eq!((book.version(), book.rollback_confirm_at()), (7, None));
        // One as new as ours in between begins the time anew.
        let mut book = at(10);
        book.apply(older(), 1, 0);
        book.apply(changes(10, &[]), 2, ROLLBACK_CONFIRM_MS - 1);
        assert_eq!(told(&book.apply(older(), 3, ROLLBACK_CONFIRM_MS)), []);
        // After a move the numbers may be others.
        let mut book = at(10);
        book.service_moved();
        book.apply(older(), 1, 0);
        assert_eq!(told(&book.apply(older(), 2, ROLLBACK_CONFIRM_AFTER_MOVE_MS)), [("c", Active)]);
    }

    #[test]
    fn servers_that_are_gone_are_forgotten_at_some_time() {
        let mut book = at(1);
        for n in 0..10_000 {
            book.apply(changes(2 + n, &[(&format!("s{n}"), Left, 0.0)]), 1, 0);
        }
        assert!(book.servers.len() <= GONE_MOST + 3);
        assert_eq!(told(&book.apply(changes(50, &[("s49", Active, 0.0), ("s9", Active, 0.0)]), 1, 0)), []);
    }
}
