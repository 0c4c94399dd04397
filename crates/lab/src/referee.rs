//! The referee: checks what nodes do against the rules, and records each breach. It sees every message, as the lab
//! plays all other parties, and it never changes what happens.

use std::fmt;

use endpoints::Health;
use serde::{Deserialize, Serialize};

use crate::draw::ClassSpec;
use crate::plan::{Idempotency, Rules};
use crate::server::Us;
use crate::server_list::ServerList;

/// A node counts as notified of a version as soon as its agent has it, whether or not a watch is open. If the agent's
/// updates to an open watch are held up, the node counts as notified this long after.
const HELD_UPDATE_TIMEOUT: Us = 6_000_000;
/// Breaches that are kept with their descriptions; further ones are only counted.
const MAX_KEPT_BREACHES: usize = 200;

/// The rules that nodes and the control group must keep.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that a node accepts gets its final answer in time.
    Answer,
    /// A served request gets what an app server answered to it.
    Genuine,
    /// A request runs again only as its class allows, and with at most the allowed number of attempts.
    Repeat,
    /// A node sends nothing new to a server after it was notified of the server's drain.
    Drain,
    /// A cold server is not overloaded until it fails.
    Cold,
    /// A node sends nothing to a server that its list never named.
    Unlisted,
    /// A node sends nothing that no client sent.
    Unknown,
    /// A node uses no more memory and descriptors than it may.
    Limits,
    /// A node's process does not end by itself.
    Alive,
    /// After a newer epoch is in force, nothing is admitted under an older one for longer than allowed.
    Mixed,
    /// Nothing is admitted under an epoch that is not the result of a change.
    Aborted,
    /// A change that was acknowledged is never lost.
    Lost,
    /// A node does not return to an older epoch.
    Backward,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answer => "answer",
            Self::Genuine => "genuine",
            Self::Repeat => "repeat",
            Self::Drain => "drain",
            Self::Cold => "cold",
            Self::Unlisted => "unlisted",
            Self::Unknown => "unknown",
            Self::Limits => "limits",
            Self::Alive => "alive",
            Self::Mixed => "mixed",
            Self::Aborted => "aborted",
            Self::Lost => "lost",
            Self::Backward => "backward",
        })
    }
}

/// A breach of a rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When it was broken, in ms from the start of the run.
    pub at_ms: f64,
    /// The node's name.
    pub node: Option<String>,
    /// The server's name.
    pub server: Option<String>,
    /// The client's try, by its `X-Txn` header.
    pub request: Option<String>,
    /// What happened.
    #[serde(rename = "words")]
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} broken at {:.3} s", self.rule, self.at_ms / 1e3)?;
        for (name, value) in [("node", &self.node), ("server", &self.server), ("request", &self.request)] {
            if let Some(value) = value {
                write!(f, ", {name} {value}")?;
            }
        }
        write!(f, ": {}", self.description)
    }
}

/// The node, server and request that a breach is about.
#[derive(Clone, Copy, Debug, Default)]
pub struct BreachSubject {
    /// The node's number.
    pub node: Option<usize>,
    /// The server's number.
    pub server: Option<usize>,
    /// The number of the client's try.
    pub request: Option<usize>,
}

/// What a node knows of a server from the updates that it was sent.
#[derive(Clone, Copy, Debug, Default)]
struct ServerKnowledge {
    /// Since when the node knows that it must send nothing new.
    unavailable_since: Option<Us>,
    /// The node's list has named the server.
    named: bool,
    born_ms: f64,
}

/// What a node knows of the list.
#[derive(Debug, Default)]
struct NodeKnowledge {
    /// The newest version that the node was notified of.
    version: u64,
    /// Versions that the node's agent has but the node may not have read, with the time from which they count as read.
    pending: Vec<(Us, u64)>,
    servers: Vec<ServerKnowledge>,
}

/// An attempt at a server.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Us,
    /// The node could see that the attempt did not run.
    not_executed: bool,
}

/// A client's try.
#[derive(Debug)]
struct Try {
    node: usize,
    idempotency: Idempotency,
    dedup_window: Us,
    answered: Option<Us>,
    attempts: Vec<Attempt>,
}

/// Checks the rules on requests and servers, and collects the breaches of all rules.
#[derive(Debug)]
pub struct Referee {
    rules: Rules,
    nodes: Vec<NodeKnowledge>,
    tries: Vec<Try>,
    breaches: Vec<(Rule, Us, BreachSubject, String)>,
    breach_count: usize,
}

impl Referee {
    /// A referee for this number of nodes, at the start of a run.
    pub fn new(rules: Rules, nodes: usize) -> Self {
        let nodes = (0..nodes).map(|_| NodeKnowledge::default()).collect();
        Self { rules, nodes, tries: Vec::new(), breaches: Vec::new(), breach_count: 0 }
    }

    fn slack(&self) -> Us {
        crate::draw::us_from_ms(self.rules.slack_ms)
    }

    /// How long after its deadline a final answer may come.
    pub fn answer_slack(&self) -> Us {
        crate::draw::us_from_ms(self.rules.answer_slack_ms) + self.slack()
    }

    /// Records a breach.
    pub fn record_breach(
        &mut self,
        rule: Rule,
        at: Us,
        subject: BreachSubject,
        description: impl Into<String>,
    ) {
        self.breach_count += 1;
        if self.breaches.len() < MAX_KEPT_BREACHES {
            self.breaches.push((rule, at, subject, description.into()));
        }
    }

    /// The number of breaches, and the first of them.
    pub fn breaches(&self) -> (usize, &[(Rule, Us, BreachSubject, String)]) {
        (self.breach_count, &self.breaches)
    }

    /// Records that a node was started, with this version of the list in its configuration.
    pub fn node_started(&mut self, now: Us, node: usize, version: u64, list: &ServerList) {
        self.nodes[node] = NodeKnowledge::default();
        self.node_notified(now, node, version, list);
    }

    /// Records that the node's agent has a version. `held`: its update to the node is held up.
    pub fn agent_received(&mut self, now: Us, node: usize, version: u64, held: bool) {
        let delay = if held { HELD_UPDATE_TIMEOUT } else { 0 };
        self.nodes[node].pending.push((now + delay, version));
    }

    /// Records that an update to a version was written to the node.
    pub fn node_notified(&mut self, now: Us, node: usize, version: u64, list: &ServerList) {
        let node = &mut self.nodes[node];
        for (server, entry) in list.changes_between(node.version, version) {
            if node.servers.len() <= server {
                node.servers.resize(server + 1, ServerKnowledge::default());
            }
            let known = &mut node.servers[server];
            let unavailable = entry.health != Health::Active;
            known.unavailable_since = if unavailable { known.unavailable_since.or(Some(now)) } else { None };
            known.named |= entry.health != Health::Left;
            known.born_ms = entry.born_ms;
        }
        node.version = node.version.max(version);
        node.pending.retain(|(_, v)| *v > version);
    }

    /// Whether the node was notified of this start of the server, or of a later one.
    pub fn node_knows_start(&self, node: usize, server: usize, born_ms: f64) -> bool {
        self.nodes[node].servers.get(server).is_some_and(|k| k.born_ms >= born_ms)
    }

    /// Records that a client sends a try to a node. Tries are numbered in the order of these calls.
    pub fn request_sent(&mut self, node: usize, class: &ClassSpec) {
        self.tries.push(Try {
            node,
            idempotency: class.idempotency,
            dedup_window: class.dedup_window,
            answered: None,
            attempts: Vec::new(),
        });
    }

    /// Records an attempt that began to reach the server at `first`, and checks the rules on it. Returns its index
    /// among the attempts of the try.
    pub fn attempt_sent(
        &mut self,
        now: Us,
        request: usize,
        server: usize,
        first: Us,
        list: &ServerList,
    ) -> usize {
        let node = self.tries[request].node;
        let mut due: Vec<_> = self.nodes[node].pending.iter().filter(|(at, _)| *at <= now).copied().collect();
        due.sort_unstable();
        for (at, version) in due {
            self.node_notified(at, node, version, list);
        }
        let subject = BreachSubject { node: Some(node), server: Some(server), request: Some(request) };
        let known = self.nodes[node].servers.get(server).copied().unwrap_or_default();
        if !known.named {
            self.record_breach(Rule::Unlisted, now, subject, "the node's list never named this server");
        }
        let grace = crate::draw::us_from_ms(self.rules.drain_grace_ms) + self.slack();
        if let Some(since) = known.unavailable_since.filter(|since| first > since + grace) {
            let description = format!(
                "sent {:.0} ms after the node was notified of the drain",
                (first - since) as f64 / 1e3
            );
            self.record_breach(Rule::Drain, first, subject, description);
        }
        let slack = self.slack();
        let current = &self.tries[request];
        let mut executed = current.attempts.iter().filter(|a| !a.not_executed);
        let violation = if current.attempts.len() >= self.rules.attempts {
            Some(format!("attempt {} of {}", current.attempts.len() + 1, self.rules.attempts))
        } else if current.answered.is_some_and(|at| first > at + slack) {
            Some("sent after its final answer".to_string())
        } else {
            match current.idempotency {
                Idempotency::Safe => None,
                Idempotency::Keyed => {
                    let late = executed.any(|a| first > a.at + current.dedup_window + slack);
                    late.then(|| "sent again after its key had expired".to_string())
                }
                Idempotency::Unsafe => {
                    executed.next().map(|_| "sent again though it may have run".to_string())
                }
            }
        };
        if let Some(description) = violation {
            self.record_breach(Rule::Repeat, now, subject, description);
        }
        let attempts = &mut self.tries[request].attempts;
        attempts.push(Attempt { at: now, not_executed: false });
        attempts.len() - 1
    }

    /// Records that the node could see that this attempt did not run.
    pub fn attempt_not_executed(&mut self, request: usize, attempt: usize) {
        self.tries[request].attempts[attempt].not_executed = true;
    }

    /// Records a node's answer to a client. `genuine`: the answer is that of an app server to this try.
    pub fn request_answered(&mut self, now: Us, request: usize, status: u16, genuine: bool) {
        let current = &mut self.tries[request];
        current.answered.get_or_insert(now);
        let subject = BreachSubject { node: Some(current.node), server: None, request: Some(request) };
        let may_have_run =
            current.idempotency == Idempotency::Unsafe && current.attempts.iter().any(|a| !a.not_executed);
        if status == 200 && !genuine {
            self.record_breach(
                Rule::Genuine,
                now,
                subject,
                "served with an answer that no app server gave to it",
            );
        }
        if matches!(status, 429 | 503) && may_have_run {
            self.record_breach(Rule::Repeat, now, subject, "refused though it may have run");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::server_list::ServerEntry;

    fn list() -> ServerList {
        let entry = |name: &str| ServerEntry {
            name: name.into(),
            zone: "a".into(),
            cell: 0,
            health: Health::Active,
            born_ms: 0.0,
        };
        ServerList::new(vec![entry("s0"), entry("s1")])
    }

    fn class(idempotency: Idempotency) -> ClassSpec {
        ClassSpec {
            name: "c".into(),
            mean_work: 1.0,
            aim: 1,
            deadline: 1,
            worth: 1.0,
            idempotency,
            dedup_window: 5_000_000,
        }
    }

    /// A referee of one node that knows the list and has one request of a class.
    fn referee(list: &ServerList, idempotency: Idempotency) -> Referee {
        let mut referee = Referee::new(Rules::default(), 1);
        referee.node_notified(0, 0, 1, list);
        referee.request_sent(0, &class(idempotency));
        referee
    }

    fn rules(referee: &Referee) -> Vec<Rule> {
        referee.breaches().1.iter().map(|b| b.0).collect()
    }

    #[test]
    fn sending_to_a_draining_server_is_a_breach_after_the_grace() {
        let mut list = list();
        let mut referee = referee(&list, Idempotency::Safe);
        let gone = ServerEntry { health: Health::Leaving, ..list.newest_entry(1).expect("listed").clone() };
        let version = list.record_change(1, gone);
        referee.node_notified(1_000_000, 0, version, &list);
        referee.attempt_sent(1_350_000, 0, 1, 1_350_000, &list);
        assert_eq!(rules(&referee), []);
        referee.attempt_sent(1_350_001, 0, 1, 1_350_001, &list);
        assert_eq!(rules(&referee), [Rule::Drain]);
    }

    #[test]
    fn the_drain_grace_starts_when_the_agent_has_the_version_and_6_s_later_if_its_update_is_held() {
        for (held, after) in [(false, 0), (true, 6_000_000)] {
            let mut list = list();
            let mut referee = referee(&list, Idempotency::Safe);
            let gone =
                ServerEntry { health: Health::Leaving, ..list.newest_entry(1).expect("listed").clone() };
            let version = list.record_change(1, gone);
            referee.agent_received(0, 0, version, held);
            referee.attempt_sent(after + 350_000, 0, 1, after + 350_000, &list);
            assert_eq!(rules(&referee), []);
            referee.attempt_sent(after + 350_001, 0, 1, after + 350_001, &list);
            assert_eq!(rules(&referee), [Rule::Drain]);
        }
    }

    #[test]
    fn a_class_limits_when_a_request_may_be_sent_again() {
        let list = list();
        for (idempotency, not_executed, at, broken) in [
            (Idempotency::Unsafe, false, 1, vec![Rule::Repeat]),
            (Idempotency::Unsafe, true, 1, vec![]),
            (Idempotency::Keyed, false, 4_000_000, vec![]),
            (Idempotency::Keyed, false, 5_100_000, vec![Rule::Repeat]),
            (Idempotency::Safe, false, 9_000_000, vec![]),
        ] {
            let mut referee = referee(&list, idempotency);
            let first = referee.attempt_sent(0, 0, 0, 0, &list);
            if not_executed {
                referee.attempt_not_executed(0, first);
            }
            referee.attempt_sent(at, 0, 1, at, &list);
            assert_eq!(rules(&referee), broken, "{idempotency:?} {not_executed} {at}");
        }
    }

    #[test]
    fn too_many_or_late_attempts_and_unlisted_servers_are_breaches() {
        let list = list();
        let mut referee = referee(&list, Idempotency::Safe);
        for _ in 0..6 {
            referee.attempt_sent(1, 0, 0, 1, &list);
        }
        referee.request_sent(0, &class(Idempotency::Safe));
        referee.request_answered(1_000, 1, 200, false);
        referee.attempt_sent(60_000, 1, 7, 60_000, &list);
        assert_eq!(rules(&referee), [Rule::Repeat, Rule::Genuine, Rule::Unlisted, Rule::Repeat]);
    }
}
