//! Watches what nodes are told and do, and notes each breach of a rule. It sees every message, as the lab plays all
//! other parties, and it decides nothing.

use std::fmt;

use endpoints::Health;
use serde::{Deserialize, Serialize};

use crate::draw::ClassSpec;
use crate::plan::{Idempotency, Rules};
use crate::server::Us;
use crate::server_list::ServerList;

/// What an agent has counts as told at once, whether or not a watch is open. What does not come over a watch that
/// stands counts this long after.
const TOLD_WITHIN: Us = 6_000_000;
/// Breaches that are kept with their words; further ones are counted.
const KEPT: usize = 200;

/// A rule.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that a node takes has its final answer, in time.
    Answer,
    /// A served request carries what an app server answered to it.
    Genuine,
    /// A request runs again only as its class allows, and so often.
    Repeat,
    /// Nothing new to a server after its drain was told.
    Drain,
    /// A cold server is not pushed over.
    Cold,
    /// Nothing to a server that the node's list never named.
    Unlisted,
    /// Nothing that no client sent.
    Unknown,
    /// No more memory and descriptors than a node may have.
    Limits,
    /// A node does not end by itself.
    Alive,
    /// Nothing is admitted under an epoch for longer than the bound once a newer one is in force.
    Mixed,
    /// Nothing is admitted under an epoch that no change has become.
    Aborted,
    /// A change that was acknowledged is never lost.
    Lost,
    /// A node does not go back to an older epoch.
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

/// A broken rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in ms from the run's start.
    pub at_ms: f64,
    /// The node.
    pub node: Option<String>,
    /// The server.
    pub server: Option<String>,
    /// The request, by its `X-Txn`.
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

/// Who and what a breach is about.
#[derive(Clone, Copy, Debug, Default)]
pub struct BreachSubject {
    /// The node.
    pub node: Option<usize>,
    /// The server.
    pub server: Option<usize>,
    /// The client's try.
    pub request: Option<usize>,
}

/// What a node knows of a server by what it was told.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Since when it has been told to send nothing new.
    off: Option<Us>,
    named: bool,
    born_ms: f64,
}

#[derive(Debug, Default)]
struct Node {
    told: u64,
    /// Versions that its agent has and it may not have read, with the time from when on they count as told.
    pending: Vec<(Us, u64)>,
    servers: Vec<Known>,
}

/// An attempt as the rules see it.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Us,
    /// The node was shown that it never ran.
    never_ran: bool,
}

#[derive(Debug)]
struct Asked {
    node: usize,
    effect: Idempotency,
    window: Us,
    answered: Option<Us>,
    attempts: Vec<Sent>,
}

/// The referee.
#[derive(Debug)]
pub struct Referee {
    rules: Rules,
    nodes: Vec<Node>,
    asked: Vec<Asked>,
    breaches: Vec<(Rule, Us, BreachSubject, String)>,
    count: usize,
}

impl Referee {
    /// Nothing has happened yet.
    pub fn new(rules: Rules, nodes: usize) -> Self {
        let nodes = (0..nodes).map(|_| Node::default()).collect();
        Self { rules, nodes, asked: Vec::new(), breaches: Vec::new(), count: 0 }
    }

    fn slack(&self) -> Us {
        crate::draw::us_from_ms(self.rules.slack_ms)
    }

    /// How long after its time a final answer may come.
    pub fn answer_slack(&self) -> Us {
        crate::draw::us_from_ms(self.rules.answer_slack_ms) + self.slack()
    }

    /// Notes a breach.
    pub fn record_breach(&mut self, rule: Rule, at: Us, about: BreachSubject, words: impl Into<String>) {
        self.count += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push((rule, at, about, words.into()));
        }
    }

    /// How many rules were broken, and the first of them.
    pub fn breaches(&self) -> (usize, &[(Rule, Us, BreachSubject, String)]) {
        (self.count, &self.breaches)
    }

    /// A node started anew knows what its configuration names: this version.
    pub fn node_started(&mut self, now: Us, node: usize, known: u64, list: &ServerList) {
        self.nodes[node] = Node::default();
        self.node_notified(now, node, known, list);
    }

    /// The node's agent has a version. `held`: its line is held up.
    pub fn agent_received(&mut self, now: Us, node: usize, version: u64, held: bool) {
        let after = if held { TOLD_WITHIN } else { 0 };
        self.nodes[node].pending.push((now + after, version));
    }

    /// A version was written to the node.
    pub fn node_notified(&mut self, now: Us, node: usize, version: u64, list: &ServerList) {
        let node = &mut self.nodes[node];
        for (server, entry) in list.changes_between(node.told, version) {
            if node.servers.len() <= server {
                node.servers.resize(server + 1, Known::default());
            }
            let known = &mut node.servers[server];
            let off = entry.health != Health::Active;
            known.off = if off { known.off.or(Some(now)) } else { None };
            known.named |= entry.health != Health::Left;
            known.born_ms = entry.born_ms;
        }
        node.told = node.told.max(version);
        node.pending.retain(|(_, v)| *v > version);
    }

    /// Was the node told of this start of the server?
    pub fn node_knows_start(&self, node: usize, server: usize, born_ms: f64) -> bool {
        self.nodes[node].servers.get(server).is_some_and(|k| k.born_ms >= born_ms)
    }

    /// A client's try goes to a node. Tries are numbered in the order of these calls.
    pub fn request_sent(&mut self, node: usize, class: &ClassSpec) {
        let (effect, window) = (class.idempotency, class.dedup_window);
        self.asked.push(Asked { node, effect, window, answered: None, attempts: Vec::new() });
    }

    /// An attempt at a try began to reach a server at `first`; its place among the try's attempts.
    pub fn attempt_sent(
        &mut self,
        now: Us,
        request: usize,
        server: usize,
        first: Us,
        list: &ServerList,
    ) -> usize {
        let node = self.asked[request].node;
        let mut due: Vec<_> = self.nodes[node].pending.iter().filter(|(at, _)| *at <= now).copied().collect();
        due.sort_unstable();
        for (at, version) in due {
            self.node_notified(at, node, version, list);
        }
        let about = BreachSubject { node: Some(node), server: Some(server), request: Some(request) };
        let known = self.nodes[node].servers.get(server).copied().unwrap_or_default();
        if !known.named {
            self.record_breach(Rule::Unlisted, now, about, "the node's list never named this server");
        }
        let grace = crate::draw::us_from_ms(self.rules.drain_grace_ms) + self.slack();
        if let Some(off) = known.off.filter(|off| first > off + grace) {
            let words = format!("sent {:.0} ms after its drain was told", (first - off) as f64 / 1e3);
            self.record_breach(Rule::Drain, first, about, words);
        }
        let slack = self.slack();
        let asked = &self.asked[request];
        let mut ran = asked.attempts.iter().filter(|a| !a.never_ran);
        let fault = if asked.attempts.len() >= self.rules.attempts {
            Some(format!("attempt {} of {}", asked.attempts.len() + 1, self.rules.attempts))
        } else if asked.answered.is_some_and(|at| first > at + slack) {
            Some("sent after its final answer".to_string())
        } else {
            match asked.effect {
                Idempotency::Safe => None,
                Idempotency::Keyed => {
                    let late = ran.any(|a| first > a.at + asked.window + slack);
                    late.then(|| "sent again after its key was forgotten".to_string())
                }
                Idempotency::Unsafe => ran.next().map(|_| "sent again though it may have run".to_string()),
            }
        };
        if let Some(words) = fault {
            self.record_breach(Rule::Repeat, now, about, words);
        }
        let attempts = &mut self.asked[request].attempts;
        attempts.push(Sent { at: now, never_ran: false });
        attempts.len() - 1
    }

    /// The node was shown that this attempt never ran.
    pub fn attempt_not_executed(&mut self, request: usize, attempt: usize) {
        self.asked[request].attempts[attempt].never_ran = true;
    }

    /// A node answered a client. `genuine`: what it passed on was an app server's answer to this try.
    pub fn request_answered(&mut self, now: Us, request: usize, status: u16, genuine: bool) {
        let asked = &mut self.asked[request];
        asked.answered.get_or_insert(now);
        let about = BreachSubject { node: Some(asked.node), server: None, request: Some(request) };
        let ran = asked.effect == Idempotency::Unsafe && asked.attempts.iter().any(|a| !a.never_ran);
        if status == 200 && !genuine {
            self.record_breach(Rule::Genuine, now, about, "served with what no app server answered to it");
        }
        if matches!(status, 429 | 503) && ran {
            self.record_breach(Rule::Repeat, now, about, "refused though it may have run");
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

    fn class(effect: Idempotency) -> ClassSpec {
        ClassSpec {
            name: "c".into(),
            mean_work: 1.0,
            aim: 1,
            deadline: 1,
            worth: 1.0,
            idempotency: effect,
            dedup_window: 5_000_000,
        }
    }

    fn referee(list: &ServerList, effect: Idempotency) -> Referee {
        let mut referee = Referee::new(Rules::default(), 1);
        referee.node_notified(0, 0, 1, list);
        referee.request_sent(0, &class(effect));
        referee
    }

    fn rules(referee: &Referee) -> Vec<Rule> {
        referee.breaches().1.iter().map(|b| b.0).collect()
    }

    #[test]
    fn a_send_after_a_drain_is_seen_once_the_grace_has_passed() {
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
    fn what_the_agent_has_counts_as_told_at_once_and_6_s_later_where_its_line_is_held_up() {
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
    fn repeats_are_held_to_the_class() {
        let list = list();
        for (effect, shown, at, broken) in [
            (Idempotency::Unsafe, false, 1, vec![Rule::Repeat]),
            (Idempotency::Unsafe, true, 1, vec![]),
            (Idempotency::Keyed, false, 4_000_000, vec![]),
            (Idempotency::Keyed, false, 5_100_000, vec![Rule::Repeat]),
            (Idempotency::Safe, false, 9_000_000, vec![]),
        ] {
            let mut referee = referee(&list, effect);
            let first = referee.attempt_sent(0, 0, 0, 0, &list);
            if shown {
                referee.attempt_not_executed(0, first);
            }
            referee.attempt_sent(at, 0, 1, at, &list);
            assert_eq!(rules(&referee), broken, "{effect:?} {shown} {at}");
        }
    }

    #[test]
    fn too_many_attempts_late_ones_and_strangers_are_seen() {
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
