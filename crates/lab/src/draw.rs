//! One draw of an experiment: every figure that the plan leaves to chance, and every first try, taken ahead of the
//! play from the seed alone. The same seed gives the same draw.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Normal};
use rand_pcg::Pcg64;

use crate::plan::{Direction, Fault, FaultKind, Idempotency, Plan, Range, WorkDistribution};
use crate::server::{ChokeParameters, ServerParameters, Us};

/// The most first tries of one draw.
pub const MAX_ARRIVALS: usize = 2_000_000;
/// Servers of a cell.
const CELL: usize = 6;

/// What random numbers are for: each use has a stream of its own, so that one more figure moves no other.
#[derive(Clone, Copy)]
#[repr(u64)]
enum Stream {
    Fleet = 1,
    Arrivals,
    Faults,
    Network,
    Guesses,
}

/// Microseconds from milliseconds.
pub fn us_from_ms(value: f64) -> Us {
    (value.max(0.0) * 1e3).round() as Us
}

/// Microseconds from seconds.
pub fn us_from_s(value: f64) -> Us {
    us_from_ms(value * 1e3)
}

/// A place for an app server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u64,
    /// What it is like.
    pub parameters: ServerParameters,
}

/// A class as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Mean work.
    pub mean_work: f64,
    /// Wanted within.
    pub aim: Us,
    /// Given up after.
    pub deadline: Us,
    /// Worth of a unit of work.
    pub worth: f64,
    /// May it run again?
    pub idempotency: Idempotency,
    /// How long repeats are dropped.
    pub dedup_window: Us,
}

/// A first try.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When its client asks.
    pub at: Us,
    /// Where.
    pub zone: usize,
    /// For what.
    pub class: usize,
    /// How much work it is.
    pub work: f64,
    /// What its client guesses that to be.
    pub work_estimate: f64,
    /// Its client stays away for as long as a refusal says.
    pub honours_retry_after: bool,
    /// Its client leaves after this share of its patience.
    pub leaves_after: Option<f64>,
    /// For what its client does by chance.
    pub seed: u64,
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSpec {
    /// Further tries.
    pub max_retries: usize,
    /// A try is given up after this share of the class's time.
    pub try_timeout_share: f64,
    /// The wait before the first further try.
    pub backoff: Us,
    /// The longest that a refusal can hold one off.
    pub max_retry_after: Us,
}

/// A fault with its targets: numbers of nodes, servers or zones, by its kind.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSpec {
    /// What happens.
    pub kind: FaultKind,
    /// From when ...
    pub at: Us,
    /// ... until when.
    pub until: Us,
    /// To whom.
    pub targets: Vec<usize>,
    /// How strongly.
    pub factor: f64,
    /// In how many steps.
    pub steps: usize,
    /// How late a gray server answers.
    pub answer_delay: Us,
    /// The share of answers that break off.
    pub truncated_share: f64,
    /// Which way of a cut.
    pub direction: Option<Direction>,
    /// The other zone of it; all others where there is none.
    pub peer_zone: Option<usize>,
    /// The policy that is asked for.
    pub policy: serde_json::Map<String, serde_json::Value>,
    /// It strikes the replica that leads when it begins.
    pub targets_leader: bool,
}

/// How the list reaches the nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoverySpec {
    /// A drain or an end in order is listed after this.
    pub leave_delay: Us,
    /// A server that vanished is listed as gone after this.
    pub vanish_delay: Us,
    /// A server that started is listed after this.
    pub join_delay: Us,
    /// Nodes hear of a version within this of each other.
    pub node_spread: Us,
}

/// A draw.
#[derive(Clone, Debug, PartialEq)]
pub struct Draw {
    /// What it was drawn from.
    pub seed: u64,
    /// How long clients come.
    pub length: Us,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The zone of each node.
    pub nodes: Vec<usize>,
    /// The servers.
    pub servers: Vec<ServerSpec>,
    /// The classes.
    pub classes: Vec<ClassSpec>,
    /// The first tries, in order.
    pub arrivals: Vec<Arrival>,
    /// How clients behave.
    pub clients: ClientSpec,
    /// One way between zones.
    pub delays: Vec<Vec<Us>>,
    /// One way between a client and a node.
    pub client_delay: Us,
    /// Mean of the jitter, as a share.
    pub jitter: f64,
    /// Round trips of a new connection.
    pub handshake_trips: f64,
    /// How long a front goes on sending to a dead node.
    pub front_detection_delay: Us,
    /// How the list reaches the nodes.
    pub discovery: DiscoverySpec,
    /// What goes wrong.
    pub faults: Vec<FaultSpec>,
    /// Work that the warm fleet gets done in a microsecond.
    pub capacity: f64,
}

impl Draw {
    /// The draw of a seed.
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let mut rng = stream(seed, Stream::Fleet);
        let fleet = plan.fleet.get_ref();
        let zones = fleet.zones.clone();
        let nodes = (0..count(&mut rng, fleet.nodes)).map(|n| n % zones.len()).collect();
        let servers = servers(plan, &mut rng);
        let capacity = servers.iter().map(|s| s.parameters.speed * s.parameters.cores as f64).sum();
        let classes = plan.classes.get_ref().iter().map(|c| ClassSpec {
            name: c.name.clone(),
            mean_work: take(&mut rng, c.work_ms) * 1e3,
            aim: us_from_ms(c.aim_ms),
            deadline: us_from_ms(c.deadline_ms),
            worth: c.worth,
            idempotency: c.idempotency,
            dedup_window: us_from_ms(c.window_ms),
        });
        let classes: Vec<ClassSpec> = classes.collect();
        let clients = plan.clients.get_ref();
        let clients = ClientSpec {
            max_retries: take(&mut rng, clients.retries) as usize,
            try_timeout_share: take(&mut rng, clients.try_share),
            backoff: us_from_ms(take(&mut rng, clients.backoff_ms)),
            max_retry_after: us_from_ms(clients.max_retry_after_ms),
        };
        let net = &plan.network;
        let delays = (0..zones.len()).map(|a| {
            let delay = |b| us_from_ms(take(&mut rng, if a == b { net.same_ms } else { net.cross_ms }));
            (0..zones.len()).map(delay).collect()
        });
        let delays = delays.collect();
        let list = &plan.discovery;
        let mut draw = Self {
            seed,
            length: us_from_s(*plan.length_s.get_ref()),
            zones,
            nodes,
            servers,
            classes,
            arrivals: Vec::new(),
            clients,
            delays,
            client_delay: us_from_ms(take(&mut rng, net.client_ms)),
            jitter: take(&mut rng, net.jitter),
            handshake_trips: take(&mut rng, plan.server.get_ref().handshake_trips),
            front_detection_delay: us_from_s(take(&mut rng, fleet.front_notice_s)),
            discovery: DiscoverySpec {
                leave_delay: us_from_s(take(&mut rng, list.notice_s)),
                vanish_delay: us_from_s(take(&mut rng, list.silent_notice_s)),
                join_delay: us_from_s(take(&mut rng, list.add_s)),
                node_spread: us_from_ms(take(&mut rng, list.spread_ms)),
            },
            faults: Vec::new(),
            capacity,
        };
        let mut rng = stream(seed, Stream::Faults);
        let replicas = plan.control.as_ref().map_or(0, |c| c.get_ref().replicas);
        draw.faults = plan.faults.iter().map(|f| draw.fault(f.get_ref(), replicas, &mut rng)).collect();
        draw.arrivals = draw.arrive(plan, &mut stream(seed, Stream::Arrivals));
        draw.guess(plan, &mut stream(seed, Stream::Guesses));
        draw
    }

    /// Random numbers for what the network does by chance.
    pub fn network_rng(&self) -> Pcg64 {
        stream(self.seed, Stream::Network)
    }

    fn fault(&self, fault: &Fault, replicas: usize, rng: &mut Pcg64) -> FaultSpec {
        let place = |zone: &Option<String>| self.zones.iter().position(|name| Some(name) == zone.as_ref());
        let zone = place(&fault.zone);
        let parties: Vec<usize> = match fault.kind {
            kind if kind.targets_nodes() => self.nodes.clone(),
            kind if kind.targets_replicas() => vec![0; replicas],
            FaultKind::Partition
            | FaultKind::BreakConnections
            | FaultKind::LimitBandwidth
            | FaultKind::ListOutage
            | FaultKind::StaleList
            | FaultKind::ReorderedList
            | FaultKind::Burst
            | FaultKind::Policy
            | FaultKind::GroupOutage => Vec::new(),
            _ => self.servers.iter().map(|s| s.zone).collect(),
        };
        let mut targets: Vec<usize> =
            (0..parties.len()).filter(|n| zone.is_none_or(|zone| parties[*n] == zone)).collect();
        if let Some(ids) = &fault.ids {
            // Replicas count from 1.
            let first = usize::from(fault.kind.targets_replicas());
            targets.retain(|n| ids.contains(&(n + first)));
        }
        targets.shuffle(rng);
        if let Some(share) = fault.share {
            targets.truncate(((targets.len() as f64 * share).round() as usize).max(1));
        }
        if matches!(
            fault.kind,
            FaultKind::Partition | FaultKind::BreakConnections | FaultKind::LimitBandwidth
        ) {
            targets.extend(zone);
        }
        FaultSpec {
            kind: fault.kind,
            at: us_from_s(fault.at_s),
            until: us_from_s(fault.at_s + fault.for_s),
            targets,
            factor: fault.factor.unwrap_or(match fault.kind {
                FaultKind::Release | FaultKind::Replace => 0.0,
                _ => 1.0,
            }),
            steps: fault.steps.unwrap_or(1).max(1),
            answer_delay: us_from_ms(fault.slower_ms.unwrap_or(0.0)),
            truncated_share: fault.garbled.unwrap_or(0.0),
            direction: fault.direction,
            peer_zone: place(&fault.peer_zone),
            policy: fault.policy.clone().unwrap_or_default(),
            targets_leader: fault.role.is_some(),
        }
    }

    /// What clients guess of their requests' work.
    fn guess(&mut self, plan: &Plan, rng: &mut Pcg64) {
        let cv = take(rng, plan.load.get_ref().guess_cv);
        for arrival in &mut self.arrivals {
            arrival.work_estimate = arrival.work * lognormal(rng, cv);
        }
    }

    /// First tries: a Poisson process whose rate swings, with the bursts of the timeline.
    fn arrive(&self, plan: &Plan, rng: &mut Pcg64) -> Vec<Arrival> {
        let load = plan.load.get_ref();
        let shares: Vec<f64> = plan.classes.get_ref().iter().map(|c| c.share).collect();
        let total: f64 = shares.iter().sum();
        let work: f64 = shares.iter().zip(&self.classes).map(|(s, c)| s / total * c.mean_work).sum();
        let mean = match load.per_s {
            Some(per_s) => take(rng, per_s),
            None => take(rng, load.of_capacity) * self.capacity / work * 1e6,
        };
        let swing = take(rng, load.swing);
        let skew = take(rng, load.zone_skew);
        let zones = weights(rng, self.zones.len(), skew);
        let impatient = take(rng, plan.clients.get_ref().impatient);
        let honour = take(rng, plan.clients.get_ref().honour);
        // Over half a sine the swing adds 2/pi of itself to the mean.
        let base = mean / (1.0 + swing * std::f64::consts::FRAC_2_PI) / 1e6;
        let rate = |at: f64| {
            let bursts = self.faults.iter().filter(|f| f.kind == FaultKind::Burst);
            let burst = bursts.filter(|f| (f.at as f64..f.until as f64).contains(&at)).map(|f| f.factor);
            let wave = 1.0 + swing * (std::f64::consts::PI * at / self.length as f64).sin();
            base * wave * burst.product::<f64>()
        };
        let bursts = self.faults.iter().filter(|f| f.kind == FaultKind::Burst);
        let most = base * (1.0 + swing) * bursts.map(|f| f.factor.max(1.0)).product::<f64>();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while most > 0.0 && arrivals.len() < MAX_ARRIVALS {
            let gap: f64 = Exp1.sample(rng);
            at += gap / most;
            if at >= self.length as f64 {
                break;
            }
            if rng.random::<f64>() * most >= rate(at) {
                continue;
            }
            let class = pick(rng, &shares);
            arrivals.push(Arrival {
                at: at as Us,
                zone: pick(rng, &zones),
                class,
                work: work_of(rng, plan, class, self.classes[class].mean_work),
                work_estimate: 0.0,
                honours_retry_after: rng.random::<f64>() < honour,
                leaves_after: (rng.random::<f64>() < impatient).then(|| rng.random()),
                seed: rng.random(),
            });
        }
        arrivals
    }
}

fn work_of(rng: &mut Pcg64, plan: &Plan, class: usize, mean: f64) -> f64 {
    let class = &plan.classes.get_ref()[class];
    let unit = match class.dist {
        WorkDistribution::Exponential => Exp1.sample(rng),
        WorkDistribution::Lognormal => {
            let (least, most) = class.cv.bounds();
            lognormal(rng, (least + most) / 2.0)
        }
    };
    (mean * unit).max(100.0)
}

/// With a mean of 1 and this standard deviation.
fn lognormal(rng: &mut Pcg64, cv: f64) -> f64 {
    let variance = (1.0 + cv.powi(2)).ln();
    // Both parameters are finite: the plan's figures are.
    LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |d| d.sample(rng))
}

fn servers(plan: &Plan, rng: &mut Pcg64) -> Vec<ServerSpec> {
    let (fleet, kind) = (plan.fleet.get_ref(), plan.server.get_ref());
    let skew = take(rng, fleet.server_skew);
    let weights = weights(rng, fleet.zones.len(), skew);
    let count = count(rng, fleet.servers);
    let (speed, cv) = (take(rng, kind.speed), take(rng, kind.speed_cv));
    let cores = kind.cores as f64;
    let model = ServerParameters {
        cores: kind.cores,
        speed,
        max_waiting: (take(rng, kind.queue_per_core) * cores) as usize,
        thrash_threshold: take(rng, kind.thrash_at),
        thrash_slowdown: take(rng, kind.thrash),
        initial_warmth: take(rng, kind.cold_from),
        warm_up: us_from_s(take(rng, kind.cold_s)),
        error_rate: take(rng, kind.error_rate),
        drops_cancelled: rng.random::<f64>() < take(rng, kind.drops_cancelled),
        max_connections: (take(rng, kind.connections_per_core) * cores) as usize,
        connection_overhead: take(rng, kind.full_tax),
        handshake_work: take(rng, kind.handshake_ms) * 1e3,
        choke: ChokeParameters {
            threshold: take(rng, kind.choke_at),
            onset: us_from_s(take(rng, kind.choke_over_s)),
            slowdown: take(rng, kind.choke_slower),
            recovery_threshold: take(rng, kind.choke_below),
            recovery: us_from_s(take(rng, kind.choke_rest_s)),
            max_duration: us_from_s(take(rng, kind.choke_most_s)),
        },
        overload_multiple: plan.rules.fall_multiple,
        overload_window: us_from_ms(plan.rules.fall_ms),
    };
    // The largest remainders get what rounding leaves over; the zones in turn where weights are alike.
    let total: f64 = weights.iter().sum();
    let mut filled = vec![0usize; weights.len()];
    let zones: Vec<usize> = (0..count)
        .map(|n| {
            let lack = |z: usize| weights[z] / total * (n + 1) as f64 - filled[z] as f64;
            let zone = (0..weights.len()).max_by(|a, b| lack(*a).total_cmp(&lack(*b))).unwrap_or(0);
            filled[zone] += 1;
            zone
        })
        .collect();
    let spread = Normal::new(1.0, cv).ok();
    let specs = zones.into_iter().enumerate().map(|(n, zone)| {
        let factor = spread.map_or(1.0, |d| d.sample(rng)).clamp(0.5, 1.5);
        let figures = ServerParameters { speed: speed * factor, ..model.clone() };
        ServerSpec { zone, cell: (n / CELL) as u64, parameters: figures }
    });
    specs.collect()
}

fn stream(seed: u64, stream: Stream) -> Pcg64 {
    // Seeds that are near each other must not give streams that are alike.
    let state = Pcg64::seed_from_u64(seed).random::<u128>();
    Pcg64::new(state, stream as u128)
}

fn take(rng: &mut Pcg64, range: Range) -> f64 {
    let (least, most) = range.bounds();
    least + (most - least) * rng.random::<f64>()
}

fn count(rng: &mut Pcg64, range: Range) -> usize {
    let (least, most) = range.bounds();
    (least + (most - least + 1.0) * rng.random::<f64>()).min(most) as usize
}

fn weights(rng: &mut Pcg64, parts: usize, skew: f64) -> Vec<f64> {
    (0..parts).map(|_| (1.0 + skew * (2.0 * rng.random::<f64>() - 1.0)).max(0.01)).collect()
}

fn pick(rng: &mut Pcg64, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    let place = weights.iter().position(|w| {
        left -= w;
        left < 0.0
    });
    place.unwrap_or(weights.len() - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(more: &str) -> Plan {
        let text = format!("schema = 1\nname = \"x\"\nlength_s = 20\n{more}");
        Plan::read("x.toml", &text).expect("it can be played")
    }

    #[test]
    fn one_seed_gives_one_draw_and_another_gives_another() {
        let plan = plan("[[fault]]\nkind = \"slow\"\nat_s = 3\nfor_s = 2\nshare = 0.3\nfactor = 4\n");
        assert_eq!(Draw::new(&plan, 7), Draw::new(&plan, 7));
        assert_ne!(Draw::new(&plan, 7), Draw::new(&plan, 8));
    }

    #[test]
    fn a_fault_moves_no_arrival_and_a_burst_adds_some() {
        let calm = Draw::new(&plan("[load]\nswing = 0\n"), 7);
        let text = "[load]\nswing = 0\n[[fault]]\nkind = \"kill\"\nat_s = 3\n";
        assert_eq!(Draw::new(&plan(text), 7).arrivals, calm.arrivals);
        let text = "[load]\nswing = 0\n[[fault]]\nkind = \"burst\"\nat_s = 5\nfor_s = 5\nfactor = 2\n";
        let burst = Draw::new(&plan(text), 7);
        let within = |d: &Draw| {
            d.arrivals.iter().filter(|a| (us_from_s(5.0)..us_from_s(10.0)).contains(&a.at)).count() as f64
        };
        let ratio = within(&burst) / within(&calm);
        assert!((1.8..2.2).contains(&ratio), "{ratio}");
    }

    #[test]
    fn the_load_is_the_share_of_capacity_that_was_asked_for() {
        let draw = Draw::new(&plan("[load]\nof_capacity = 0.7\n"), 11);
        let work: f64 = draw.arrivals.iter().map(|a| a.work).sum();
        let load = work / (draw.capacity * draw.length as f64);
        assert!((0.65..0.75).contains(&load), "{load}");
    }

    #[test]
    fn targets_are_of_the_zone_and_so_many() {
        let text =
            "[fleet]\nservers = 30\n[[fault]]\nkind = \"lose\"\nat_s = 1\nzone = \"maipu\"\nshare = 0.5\n";
        let draw = Draw::new(&plan(text), 3);
        let all = draw.servers.iter().filter(|s| s.zone == 0).count();
        let targets = &draw.faults[0].targets;
        assert!(targets.iter().all(|t| draw.servers[*t].zone == 0));
        assert!(targets.len().abs_diff(all / 2) <= 1 && !targets.is_empty());
    }
}
