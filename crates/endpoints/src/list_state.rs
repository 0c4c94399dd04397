//! Decides which parts of the received updates to accept, in whatever order their versions arrive.
//!
//! A service can fall behind a version that it has already sent, messages can overtake each other, and a service can
//! really be restored from an older state. So every server's entry keeps the version it came from. An entry of an older
//! version may only take a server out of use, which is safe at any time; it never brings one back. A whole list of an
//! older version replaces the newer one only when a second connection delivers an older whole list at least
//! [`ROLLBACK_CONFIRM_MS`] after the first and nothing as new as the known version has arrived in between. Accepting an
//! older list after a few seconds was rejected: copies lag for longer than that and would bring back servers that are
//! draining.

use std::collections::BTreeMap;

use crate::{Health, Host, Ms, Update};

/// Time for which a service must stay behind the known version until it counts as restored from an older state, in ms.
pub const ROLLBACK_CONFIRM_MS: Ms = 20_000;
/// The same after a move to another service, which numbers its versions independently. Short enough for that service's
/// list to be accepted within 4 s.
pub const ROLLBACK_CONFIRM_AFTER_MOVE_MS: Ms = 2_000;
/// Maximum number of servers that have left and whose versions are kept; the oldest are removed first.
const MAX_LEFT_SERVERS: usize = 4096;

/// The last accepted entry of a server, and the version it came from.
#[derive(Clone, Copy, Debug)]
struct KnownServer {
    version: u64,
    born_ms: f64,
    health: Health,
}

/// An older whole list has arrived and may turn out to be a rollback of the service.
#[derive(Clone, Copy, Debug)]
struct SuspectedRollback {
    since: Ms,
    call: u64,
}

/// The accepted state of the list: each server's entry with the version that it came from.
#[derive(Debug)]
pub struct ListState {
    version: u64,
    servers: BTreeMap<String, KnownServer>,
    /// A server that is missing from `servers` was not listed at this version.
    floor_version: u64,
    suspected_rollback: Option<SuspectedRollback>,
    rollback_confirm_ms: Ms,
}

/// Result of [`ListState::apply`].
#[derive(Debug, PartialEq)]
pub struct UpdateOutcome {
    /// The accepted part of the update, if any.
    pub accepted: Option<Update>,
    /// The service has caught up after a suspected rollback. Only the whole list shows what was withheld meanwhile.
    pub needs_full_list: bool,
}

impl ListState {
    /// Creates a state from a saved list, or an empty one.
    pub fn new(saved: Option<&Update>) -> Self {
        let mut state = Self {
            version: 0,
            servers: BTreeMap::new(),
            floor_version: 0,
            suspected_rollback: None,
            rollback_confirm_ms: ROLLBACK_CONFIRM_MS,
        };
        if let Some(saved) = saved {
            state.replace(saved);
        }
        state
    }

    /// Newest accepted version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Time from which a suspected rollback can be confirmed, by requesting the whole list again.
    pub fn rollback_confirm_at(&self) -> Option<Ms> {
        self.suspected_rollback.map(|suspected| suspected.since + self.rollback_confirm_ms)
    }

    /// Notes that the list comes from another service from now on, whose versions may be numbered differently.
    pub fn service_moved(&mut self) {
        self.suspected_rollback = None;
        self.rollback_confirm_ms = ROLLBACK_CONFIRM_AFTER_MOVE_MS;
    }

    /// Applies an update that the connection `call` delivered at time `now`.
    pub fn apply(&mut self, update: Update, call: u64, now: Ms) -> UpdateOutcome {
        let version = update.version;
        if update.whole {
            let is_confirmed = |suspected: SuspectedRollback| {
                call != suspected.call && now >= suspected.since + self.rollback_confirm_ms
            };
            if version >= self.version || self.suspected_rollback.is_some_and(is_confirmed) {
                self.replace(&update);
                return UpdateOutcome { accepted: Some(update), needs_full_list: false };
            }
            self.suspected_rollback.get_or_insert(SuspectedRollback { since: now, call });
        }
        let caught_up = self.suspected_rollback.is_some() && version >= self.version;
        if caught_up {
            // The service has reached the known version again: the confirmation time starts over.
            self.suspected_rollback = Some(SuspectedRollback { since: now, call });
        }
        self.version = self.version.max(version);
        let hosts: Vec<Host> = update.hosts.into_iter().filter(|h| self.accept_host(h, version)).collect();
        self.forget_left_servers();
        let accepted =
            (!hosts.is_empty() || !update.whole).then_some(Update { version, whole: false, hosts });
        UpdateOutcome { accepted, needs_full_list: caught_up }
    }

    /// Replaces the whole state by a list.
    fn replace(&mut self, update: &Update) {
        let known = |h: &Host| KnownServer { version: update.version, born_ms: h.born_ms, health: h.health };
        self.servers = update.hosts.iter().map(|h| (h.host.clone(), known(h))).collect();
        (self.version, self.floor_version) = (update.version, update.version);
        (self.suspected_rollback, self.rollback_confirm_ms) = (None, ROLLBACK_CONFIRM_MS);
    }

    /// Records one server's entry; returns false if it is not accepted.
    fn accept_host(&mut self, host: &Host, version: u64) -> bool {
        let known = self.servers.get(&host.host).copied();
        if known.map_or(version > self.floor_version, |k| version >= k.version) {
            let entry = KnownServer { version, born_ms: host.born_ms, health: host.health };
            self.servers.insert(host.host.clone(), entry);
            return true;
        }
        // During a suspected rollback the older state may be the valid one, and taking a server out of use is safe. The
        // newer entry is kept: once the service has caught up, the whole list brings the server back.
        let newer = known.filter(|k| k.health == Health::Active && host.born_ms >= k.born_ms);
        self.suspected_rollback.is_some() && host.health != Health::Active && newer.is_some()
    }

    /// Forgets the older half of the servers that have left, once there are too many.
    fn forget_left_servers(&mut self) {
        if self.servers.len() <= MAX_LEFT_SERVERS {
            return;
        }
        let has_left = |k: &KnownServer| k.health == Health::Left;
        let mut versions: Vec<u64> =
            self.servers.values().filter(|k| has_left(k)).map(|k| k.version).collect();
        if versions.len() > MAX_LEFT_SERVERS {
            versions.sort_unstable();
            self.floor_version = self.floor_version.max(versions[versions.len() / 2]);
            self.servers.retain(|_, k| !has_left(k) || k.version > self.floor_version);
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

    /// The accepted servers of an update and their health.
    fn accepted(outcome: &UpdateOutcome) -> Vec<(&str, Health)> {
        outcome.accepted.iter().flat_map(|u| u.hosts.iter().map(|h| (h.host.as_str(), h.health))).collect()
    }

    /// A state with servers a, b and c at a version.
    fn state_at(version: u64) -> ListState {
        ListState::new(Some(&whole(version, &[("a", Active, 0.0), ("b", Active, 5.0), ("c", Leaving, 0.0)])))
    }

    #[test]
    fn updates_that_arrive_out_of_order_lead_to_the_same_state() {
        let mut state = state_at(10);
        let late = changes(12, &[("a", Leaving, 0.0), ("b", Leaving, 5.0), ("d", Active, 1.0)]);
        let newer = changes(14, &[("b", Left, 5.0), ("e", Active, 2.0)]);
        assert_eq!(accepted(&state.apply(newer, 1, 0)).len(), 2);
        assert_eq!(accepted(&state.apply(late, 1, 0)), [("a", Leaving), ("d", Active)], "b has left");
        assert_eq!(accepted(&state.apply(changes(13, &[("b", Active, 5.0)]), 1, 0)), []);
        let older = changes(9, &[("f", Active, 0.0)]);
        assert_eq!(accepted(&state.apply(older, 1, 0)), [], "gone or not listed at version 10");
        assert_eq!((state.version(), state.rollback_confirm_at()), (14, None));
    }

    #[test]
    fn an_older_whole_list_only_takes_servers_out_of_use() {
        let mut state = state_at(10);
        let older =
            whole(7, &[("a", Leaving, 0.0), ("b", Leaving, 4.0), ("c", Active, 0.0), ("z", Active, 9.0)]);
        let outcome = state.apply(older, 1, 100);
        assert_eq!(accepted(&outcome), [("a", Leaving)], "b has restarted since, c drains, z is gone");
        assert!(outcome.accepted.is_some_and(|u| !u.whole), "servers that it leaves out are not gone");
        assert_eq!((state.version(), state.rollback_confirm_at()), (10, Some(100 + ROLLBACK_CONFIRM_MS)));
        let outcome = state.apply(changes(8, &[("c", Active, 0.0), ("b", Left, 5.0)]), 1, 200);
        assert_eq!(accepted(&outcome), [("b", Left)]);
        // The service catches up: the whole list brings back what was withheld.
        assert!(state.apply(changes(11, &[("y", Active, 1.0)]), 1, 300).needs_full_list);
        let accepted = state.apply(whole(11, &[("a", Active, 0.0)]), 2, 400).accepted;
        assert!(accepted.is_some_and(|u| u.whole) && state.rollback_confirm_at().is_none());
    }

    #[test]
    fn a_rollback_is_accepted_once_it_is_confirmed() {
        let older = || whole(7, &[("c", Active, 0.0)]);
        let mut state = state_at(10);
        assert_eq!(accepted(&state.apply(older(), 1, 0)), []);
        assert_eq!(accepted(&state.apply(older(), 2, ROLLBACK_CONFIRM_MS - 1)), [], "too early");
        assert_eq!(accepted(&state.apply(older(), 1, ROLLBACK_CONFIRM_MS)), [], "the same connection");
        assert_eq!(accepted(&state.apply(older(), 2, ROLLBACK_CONFIRM_MS)), [("c", Active)]);
        assert_eq!((state.version(), state.rollback_confirm_at()), (7, None));
        // An update of the known version in between restarts the confirmation time.
        let mut state = state_at(10);
        state.apply(older(), 1, 0);
        state.apply(changes(10, &[]), 2, ROLLBACK_CONFIRM_MS - 1);
        assert_eq!(accepted(&state.apply(older(), 3, ROLLBACK_CONFIRM_MS)), []);
        // After a move to another service, versions may be numbered differently.
        let mut state = state_at(10);
        state.service_moved();
        state.apply(older(), 1, 0);
        assert_eq!(accepted(&state.apply(older(), 2, ROLLBACK_CONFIRM_AFTER_MOVE_MS)), [("c", Active)]);
    }

    #[test]
    fn servers_that_have_left_are_forgotten_eventually() {
        let mut state = state_at(1);
        for n in 0..10_000 {
            state.apply(changes(2 + n, &[(&format!("s{n}"), Left, 0.0)]), 1, 0);
        }
        assert!(state.servers.len() <= MAX_LEFT_SERVERS + 3);
        let older = changes(50, &[("s49", Active, 0.0), ("s9", Active, 0.0)]);
        assert_eq!(accepted(&state.apply(older, 1, 0)), []);
    }
}
