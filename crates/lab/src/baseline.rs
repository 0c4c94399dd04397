//! Baselines: plays a draw in the virtual clock with simple policies in place of the nodes. One chooses servers at
//! random, the other is an oracle that sees the true state of every server. Their connections cost nothing.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::draw::{us_from_ms, Draw};
use crate::plan::{Idempotency, Rules};
use crate::server::Us;
use crate::world::{ClientTry, Effect, Reachability, ServerReply, TryOutcome, World};

const CONNECT_TIMEOUT: Us = 150_000;

/// How a baseline chooses a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselinePolicy {
    /// Any of the listed servers; failed attempts are retried up to the limit of the rules.
    Random,
    /// The server that will finish first by its true state; the request is refused at once where none can finish in time.
    Oracle,
}

/// What a try waits for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Wait {
    /// A connect that fails.
    Connect,
    /// The client's timeout.
    Timeout,
}

struct Player {
    world: World,
    policy: BaselinePolicy,
    rng: Pcg64,
    /// The number of attempts of each try, and whether it has ended.
    tries: Vec<(usize, bool)>,
    /// The newest attempt of each try.
    last_attempt: Vec<Option<usize>>,
    /// The times of what tries wait for, with the number of the try.
    waits: BinaryHeap<Reverse<(Us, usize, Wait)>>,
    /// Nodes that are down.
    down: BTreeSet<usize>,
    max_attempts: usize,
}

/// Plays a draw to its end with a policy in place of the nodes.
pub fn play(draw: &Rc<Draw>, rules: &Rules, policy: BaselinePolicy) -> World {
    let dial =
        Rc::new(|server: usize, zone: usize| SocketAddr::from(([127, 0, zone as u8, 1], 1 + server as u16)));
    let mut player = Player {
        world: World::new(draw.clone(), rules.clone(), 0.0, dial),
        policy,
        rng: Pcg64::new(u128::from(draw.seed), 0xba5e),
        tries: Vec::new(),
        last_attempt: Vec::new(),
        waits: BinaryHeap::new(),
        down: BTreeSet::new(),
        max_attempts: rules.attempts,
    };
    player.run();
    player.world
}

impl Player {
    fn run(&mut self) {
        while !self.world.is_over() {
            let wait = self.waits.peek().map(|Reverse((at, ..))| *at);
            let Some(due) = [self.world.next_due(), wait].into_iter().flatten().min() else { return };
            self.world.advance(due);
            while let Some(out) = self.world.next_effect() {
                self.carry_out(due, out);
            }
            while let Some(Reverse((at, request, wait))) =
                self.waits.peek().copied().filter(|Reverse(w)| w.0 <= due)
            {
                self.waits.pop();
                match wait {
                    Wait::Connect => self.attempt(at, request),
                    Wait::Timeout => self.end(at, request, 504, None),
                }
            }
        }
    }

    fn carry_out(&mut self, now: Us, out: Effect) {
        match out {
            Effect::DeliverRequest(ask) => {
                if self.tries.len() <= ask {
                    self.tries.resize(ask + 1, (0, false));
                    self.last_attempt.resize(ask + 1, None);
                }
                if self.down.contains(&self.world.client_try(ask).node) {
                    self.world.try_ended(now, ask, TryOutcome::NoConnection);
                } else {
                    let asked = self.world.client_try(ask);
                    self.waits.push(Reverse((asked.sent_at + asked.timeout, ask, Wait::Timeout)));
                    self.attempt(now, ask);
                }
            }
            Effect::ClientDisconnect(ask) => {
                self.tries[ask].1 = true;
                self.close(now, ask);
            }
            Effect::DeliverReply { attempt, reply } => {
                let ask = self.world.try_of(attempt);
                match reply {
                    ServerReply::Served => self.end(now, ask, 200, Some(attempt)),
                    ServerReply::TurnedAway => self.attempt(now, ask),
                    ServerReply::Truncated | ServerReply::Error | ServerReply::Reset => {
                        let effect = self.world.draw().classes[self.world.client_try(ask).class].idempotency;
                        if effect == Idempotency::Unsafe {
                            self.end(now, ask, 502, None);
                        } else {
                            self.attempt(now, ask);
                        }
                    }
                }
            }
            Effect::SendListUpdate { node, to, .. } => self.world.list_delivered(now, node, to),
            Effect::SignalNode(node, crate::world::Signal::Kill | crate::world::Signal::Terminate) => {
                self.down.insert(node);
                self.world.node_ended(now, node);
            }
            Effect::StartNode(node) => {
                self.down.remove(&node);
                self.world.node_ready(now, node);
            }
            Effect::OpenIdleConnections { .. }
            | Effect::SignalNode(..)
            | Effect::SetReachability { .. }
            | Effect::CloseConnections { .. }
            | Effect::CloseWatches(_)
            | Effect::BeginGroupFault(_)
            | Effect::EndGroupFault(_) => {}
        }
    }

    fn end(&mut self, now: Us, ask: usize, status: u16, attempt: Option<usize>) {
        if !std::mem::replace(&mut self.tries[ask].1, true) {
            self.world.try_ended(now, ask, TryOutcome::Answer { status, retry_after: None, attempt });
            self.close(now, ask);
        }
    }

    /// Cancels the attempt that a try still has in flight.
    fn close(&mut self, now: Us, ask: usize) {
        if let Some(attempt) = self.last_attempt[ask] {
            self.world.attempt_closed(now, attempt);
        }
    }

    /// Makes the next attempt of a try, or gives its final answer.
    fn attempt(&mut self, now: Us, ask: usize) {
        let (attempts, ended) = self.tries[ask];
        if ended {
            return;
        }
        let asked = self.world.client_try(ask);
        let left = (asked.sent_at + asked.timeout).saturating_sub(now);
        let server = if attempts >= self.max_attempts || left < us_from_ms(10.0) {
            None
        } else {
            self.choose(now, &asked)
        };
        let Some(server) = server else { return self.end(now, ask, 503, None) };
        self.tries[ask].0 += 1;
        let zone = self.world.node_zone(asked.node);
        match self.world.reachability(server, zone) {
            Reachability::Refused => {
                let refused_at = now + 2 * self.world.link_delay(asked.node, server);
                self.waits.push(Reverse((refused_at, ask, Wait::Connect)));
            }
            Reachability::Unreachable => {
                self.waits.push(Reverse((now + CONNECT_TIMEOUT, ask, Wait::Connect)))
            }
            Reachability::Open => {
                let txn = self.world.txn(ask);
                if let Some(attempt) = self.world.start_attempt(now, server, zone, &txn, false) {
                    self.last_attempt[ask] = Some(attempt);
                }
            }
        }
    }

    fn choose(&mut self, now: Us, asked: &ClientTry) -> Option<usize> {
        match self.policy {
            BaselinePolicy::Random => {
                let listed = self.world.listed_servers(asked.node);
                if listed.is_empty() {
                    None
                } else {
                    Some(listed[self.rng.random_range(0..listed.len())])
                }
            }
            BaselinePolicy::Oracle => {
                let zone = self.world.node_zone(asked.node);
                let listed = self.world.listed_servers(asked.node);
                let reachable =
                    listed.into_iter().filter(|s| self.world.reachability(*s, zone) == Reachability::Open);
                let expected_time = |server: usize| {
                    let (capacity, backlog) = self.world.capacity_and_backlog(server)?;
                    let cores = self.world.draw().servers.first()?.parameters.cores as f64;
                    // The server's backlog is spread over its cores, but a request runs on one core.
                    let wait = (backlog / capacity).max(0.0) + asked.work * cores / capacity;
                    Some((wait + 2.0 * self.world.link_delay(asked.node, server) as f64, server))
                };
                let first = reachable.filter_map(expected_time).min_by(|a, b| a.0.total_cmp(&b.0));
                let aim = self.world.draw().classes[asked.class].aim;
                let left = (asked.sent_at + aim.min(asked.timeout)).saturating_sub(now) as f64;
                first.filter(|(wait, _)| *wait < left).map(|(_, server)| server)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Plan;
    use crate::referee::{Breach, Rule};

    fn played(more: &str, policy: BaselinePolicy) -> World {
        let text = format!("schema = 1\nname = \"x\"\nlength_s = 30\n{more}");
        let plan = Plan::read("x.toml", &text).expect("it can be played");
        let world = play(&Rc::new(Draw::new(&plan, 5)), &plan.rules, policy);
        // Random choice may overload cold servers; it keeps all other rules.
        let allowed = |b: &Breach| policy == BaselinePolicy::Random && b.rule == Rule::Cold;
        assert_eq!(world.breaches().1.iter().find(|b| !allowed(b)), None);
        let ended: u64 = world.tally().windows.iter().flatten().flat_map(|w| w.outcomes).sum();
        assert_eq!(ended as usize, world.draw().arrivals.len(), "each request ends once");
        world
    }

    fn served(more: &str, policy: BaselinePolicy) -> f64 {
        played(more, policy).tally().served_share(0..2, 0..30)
    }

    #[test]
    fn the_oracle_serves_nearly_all_without_faults_and_more_than_random_choice_under_faults() {
        // Worth goes by work, and about one request in 170 has more work than fits its target time.
        let calm = served("[load]\nof_capacity = 0.4\n", BaselinePolicy::Oracle);
        assert!(calm > 0.9, "{calm}");
        let faults = "[[fault]]\nkind = \"slow\"\nat_s = 5\nfor_s = 20\nshare = 0.3\nfactor = 6\n\
            [[fault]]\nkind = \"lose\"\nat_s = 12\nfor_s = 5\nzone = \"maipu\"\n";
        let (oracle, random) =
            (served(faults, BaselinePolicy::Oracle), served(faults, BaselinePolicy::Random));
        assert!(oracle > random + 0.1, "{oracle} {random}");
    }

    #[test]
    fn the_same_draw_gives_the_same_trace() {
        let fault = "[[fault]]\nkind = \"release\"\nat_s = 3\nfor_s = 10\nsteps = 3\n\
            [[fault]]\nkind = \"narrow\"\nzone = \"maipu\"\nat_s = 5\nfor_s = 5\nfactor = 20000\n";
        let trace = || format!("{:?}", played(fault, BaselinePolicy::Random).tally());
        assert_eq!(trace(), trace());
    }

    #[test]
    fn a_link_with_limited_bandwidth_delays_messages_and_a_cut_one_loses_them() {
        let fault = |kind: &str| {
            format!(
                "[fleet]\nserver_skew = 0\n[load]\nof_capacity = 0.4\n\
                [[fault]]\nkind = \"{kind}\"\nzone = \"maipu\"\nat_s = 0\nfor_s = 30\nfactor = 9000\n"
            )
        };
        let baseline =
            served("[fleet]\nserver_skew = 0\n[load]\nof_capacity = 0.4\n", BaselinePolicy::Random);
        let (narrow, cut) =
            (served(&fault("narrow"), BaselinePolicy::Random), served(&fault("cut"), BaselinePolicy::Random));
        assert!(narrow < baseline - 0.1 && cut < baseline, "{baseline} {narrow} {cut}");
    }

    /// Guards against an end of one fault that lifts another one of its kind which still goes on.
    #[test]
    fn the_end_of_a_fault_leaves_an_overlapping_one_of_its_kind_in_force() {
        const SERVER_FAULT: &str = "ids = [0, 1, 2, 3, 4, 5, 6]";
        let kinds = [
            ("narrow", "zone = \"maipu\"", "9000"),
            ("slow", SERVER_FAULT, "6"),
            ("errors", SERVER_FAULT, "0.9"),
            ("reset", SERVER_FAULT, "0.9"),
            ("gray", SERVER_FAULT, "0.9\nslower_ms = 400"),
        ];
        for (kind, targets, factor) in kinds {
            let fault = |at: u64, length: u64| {
                format!("[[fault]]\nkind = \"{kind}\"\n{targets}\nat_s = {at}\nfor_s = {length}\nfactor = {factor}\n")
            };
            let settings = "[fleet]\nserver_skew = 0\n[load]\nof_capacity = 0.4\n";
            let served = |faults: String| {
                let world = played(&format!("{settings}{faults}"), BaselinePolicy::Random);
                world.tally().served_share(0..2, 12..30)
            };
            let (one, two) = (served(fault(0, 30)), served(fault(0, 30) + &fault(5, 5)));
            let (none, short) = (served(String::new()), served(fault(5, 5)));
            let loss = none - one;
            assert!(loss > 0.05, "{kind}: {one} with the fault, {none} without");
            // The same links or servers are as faulty as with the first fault alone.
            assert!((one - two).abs() < loss / 4.0, "{kind}: {one} with one, {two} with a second within it");
            assert!(short - two > loss / 2.0, "{kind}: {two} with both, {short} with the second alone");
        }
    }
}
