//! Watches what nodes are told and do, and notes each breach of a rule. It sees every message, as the lab plays all
//! other parties, and it decides nothing.

use std::fmt;

use endpoints::Health;
use serde::{Deserialize, Serialize};

use crate::draw::ClassSpec;
use crate::listing::List;
use crate::plan::{Effect, Rules};
use crate::server::Us;

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
    pub words: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {} broken at {:.3} s", self.rule, self.at_ms / 1e3)?;
        for (name, value) in [("node", &self.node), ("server", &self.server), ("request", &self.request)] {
            if let Some(value) = value {
                write!(f, ", {name} {value}")?;
            }
        }
        write!(f, ": {}", self.words)
    }
}

/// Who and what a breach is about.
#[derive(Clone, Copy, Debug, Default)]
pub struct About {
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
    effect: Effect,
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
    breaches: Vec<(Rule, Us, About, String)>,
    count: usize,
}

impl Referee {
    /// Nothing has happened yet.
    pub fn new(rules: Rules, nodes: usize) -> Self {
        let nodes = (0..nodes).map(|_| Node::default()).collect();
        Self { rules, nodes, asked: Vec::new(), breaches: Vec::new(), count: 0 }
    }

    fn slack(&self) -> Us {
        crate::draw::ms(self.rules.slack_ms)
    }

    /// How long after its time a final answer may come.
    pub fn answer_slack(&self) -> Us {
        crate::draw::ms(self.rules.answer_slack_ms) + self.slack()
    }

    /// Notes a breach.
    pub fn note(&mut self, rule: Rule, at: Us, about: About, words: impl Into<String>) {
        self.count += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push((rule, at, about, words.into()));
        }
    }

    /// How many rules were broken, and the first of them.
    pub fn breaches(&self) -> (usize, &[(Rule, Us, About, String)]) {
        (self.count, &self.breaches)
    }

    /// A node started anew knows what its configuration names: this version.
    pub fn started(&mut self, now: Us, node: usize, known: u64, list: &List) {
        self.nodes[node] = Node::default();
        self.told(now, node, known, list);
    }

    /// The node's agent has a version. `held`: its line is held up.
    pub fn has(&mut self, now: Us, node: usize, version: u64, held: bool) {
        let after = if held { TOLD_WITHIN } else { 0 };
        self.nodes[node].pending.push((now + after, version));
    }

    /// A version was written to the node.
    pub fn told(&mut self, now: Us, node: usize, version: u64, list: &List) {
        let node = &mut self.nodes[node];
        for (server, entry) in list.between(node.told, version) {
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
    pub fn told_of_start(&self, node: usize, server: usize, born_ms: f64) -> bool {
        self.nodes[node].servers.get(server).is_some_and(|k| k.born_ms >= born_ms)
    }

    /// A client's try goes to a node. Tries are numbered in the order of these calls.
    pub fn asked(&mut self, node: usize, class: &ClassSpec) {
        let (effect, window) = (class.effect, class.window);
        self.asked.push(Asked { node, effect, window, answered: None, attempts: Vec::new() });
    }

    /// An attempt at a try began to reach a server at `first`; its place among the try's attempts.
    pub fn sent(&mut self, now: Us, request: usize, server: usize, first: Us, list: &List) -> usize {
        let node = self.asked[request].node;
        let mut due: Vec<_> = self.nodes[node].pending.iter().filter(|(at, _)| *at <= now).copied().collect();
        due.sort_unstable();
        for (at, version) in due {
            self.told(at, node, version, list);
        }
        let about = About { node: Some(node), server: Some(server), request: Some(request) };
        let known = self.nodes[node].servers.get(server).copied().unwrap_or_default();
        if !known.named {
            self.note(Rule::Unlisted, now, about, "the node's list never named this server");
        }
        let grace = crate::draw::ms(self.rules.drain_grace_ms) + self.slack();
        if let Some(off) = known.off.filter(|off| first > off + grace) {
            let words = format!("sent {:.0} ms after its drain was told", (first - off) as f64 / 1e3);
            self.note(Rule::Drain, first, about, words);
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
                Effect::Safe => None,
                Effect::Keyed => {
                    let late = ran.any(|a| first > a.at + asked.window + slack);
                    late.then(|| "sent again after its key was forgotten".to_string())
                }
                Effect::Unsafe => ran.next().map(|_| "sent again though it may have run".to_string()),
            }
        };
        if let Some(words) = fault {
            self.note(Rule::Repeat, now, about, words);
        }
        let attempts = &mut self.asked[request].attempts;
        attempts.push(Sent { at: now, never_ran: false });
        attempts.len() - 1
    }

    /// The node was shown that this attempt never ran.
    pub fn never_ran(&mut self, request: usize, attempt: usize) {
        self.asked[request].attempts[attempt].never_ran = true;
    }

    /// A node answered a client. `genuine`: what it passed on was an app server's answer to this try.
    pub fn answered(&mut self, now: Us, request: usize, status: u16, genuine: bool) {
        let asked = &mut self.asked[request];
        asked.answered.get_or_insert(now);
        let about = About { node: Some(asked.node), server: None, request: Some(request) };
        let ran = asked.effect == Effect::Unsafe && asked.attempts.iter().any(|a| !a.never_ran);
        if status == 200 && !genuine {
            self.note(Rule::Genuine, now, about, "served with what no app server answered to it");
        }
        if matches!(status, 429 | 503) && ran {
            self.note(Rule::Repeat, now, about, "refused though it may have run");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::listing::Entry;

    fn list() -> List {
        let entry = |name: &str| Entry {
            name: name.into(),
            zone: "a".into(),
            cell: 0,
            health: Health::Active,
            born_ms: 0.0,
        };
        List::new(vec![entry("s0"), entry("s1")])
    }

    fn class(effect: Effect) -> ClassSpec {
        ClassSpec { name: "c".into(), work: 1.0, aim: 1, deadline: 1, worth: 1.0, effect, window: 5_000_000 }
    }

    fn referee(list: &List, effect: Effect) -> Referee {
        let mut referee = Referee::new(Rules::default(), 1);
        referee.told(0, 0, 1, list);
        referee.asked(0, &class(effect));
        referee
    }

    fn rules(referee: &Referee) -> Vec<Rule> {
        referee.breaches().1.iter().map(|b| b.0).collect()
    }

    #[test]
    fn a_send_after_a_drain_is_seen_once_the_grace_has_passed() {
        let mut list = list();
        let mut referee = referee(&list, Effect::Safe);
        let gone = Entry { health: Health::Leaving, ..list.newest(1).expect("listed").clone() };
        let version = list.change(1, gone);
        referee.told(1_000_000, 0, version, &list);
        referee.sent(1_350_000, 0, 1, 1_350_000, &list);
        assert_eq!(rules(&referee), []);
        referee.sent(1_350_001, 0, 1, 1_350_001, &list);
        assert_eq!(rules(&referee), [Rule::Drain]);
    }

    #[test]
    fn what_the_agent_has_counts_as_told_at_once_and_6_s_later_where_its_line_is_held_up() {
        for (held, after) in [(false, 0), (true, 6_000_000)] {
            let mut list = list();
            let mut referee = referee(&list, Effect::Safe);
            let gone = Entry { health: Health::Leaving, ..list.newest(1).expect("listed").clone() };
            let version = list.change(1, gone);
            referee.has(0, 0, version, held);
            referee.sent(after + 350_000, 0, 1, after + 350_000, &list);
            assert_eq!(rules(&referee), []);
            referee.sent(after + 350_001, 0, 1, after + 350_001, &list);
            assert_eq!(rules(&referee), [Rule::Drain]);
        }
    }

    #[test]
    fn repeats_are_held_to_the_class() {
        let list = list();
        for (effect, shown, at, broken) in [
            (Effect::Unsafe, false, 1, vec![Rule::Repeat]),
            (Effect::Unsafe, true, 1, vec![]),
            (Effect::Keyed, false, 4_000_000, vec![]),
            (Effect::Keyed, false, 5_100_000, vec![Rule::Repeat]),
            (Effect::Safe, false, 9_000_000, vec![]),
        ] {
            let mut referee = referee(&list, effect);
            let first = referee.sent(0, 0, 0, 0, &list);
            if shown {
                referee.never_ran(0, first);
            }
            referee.sent(at, 0, 1, at, &list);
            assert_eq!(rules(&referee), broken, "{effect:?} {shown} {at}");
        }
    }

    #[test]
    fn too_many_attempts_late_ones_and_strangers_are_seen() {
        let list = list();
        let mut referee = referee(&list, Effect::Safe);
        for _ in 0..6 {
            referee.sent(1, 0, 0, 1, &list);
        }
        referee.asked(0, &class(Effect::Safe));
        referee.answered(1_000, 1, 200, false);
        referee.sent(60_000, 1, 7, 60_000, &list);
        assert_eq!(rules(&referee), [Rule::Repeat, Rule::Genuine, Rule::Unlisted, Rule::Repeat]);
    }
}
