//! One draw of an experiment: every value that the plan leaves to chance, and every first try. All are generated from
//! the seed before the run, so the same seed gives the same draw.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Normal};
use rand_pcg::Pcg64;

use crate::plan::{Direction, Fault, FaultKind, Idempotency, Plan, Range, WorkDistribution};
use crate::server::{ChokeParameters, ServerParameters, Us};

/// The most first tries of one draw; further ones are left out.
pub const MAX_ARRIVALS: usize = 2_000_000;
const SERVERS_PER_CELL: usize = 6;

/// The uses of random numbers. Each has a stream of its own, so that one more random value in a use leaves the others
/// as they were. The numbers select the streams: changing one changes all draws.
#[derive(Clone, Copy)]
#[repr(u64)]
enum Stream {
    Fleet = 1,
    Arrivals,
    Faults,
    Network,
    Estimates,
}

/// Microseconds from milliseconds; a negative value gives 0.
pub fn us_from_ms(milliseconds: f64) -> Us {
    (milliseconds.max(0.0) * 1e3).round() as Us
}

/// Microseconds from seconds; a negative value gives 0.
pub fn us_from_s(seconds: f64) -> Us {
    us_from_ms(seconds * 1e3)
}

/// An app server as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// The zone's number.
    pub zone: usize,
    /// The cell's number.
    pub cell: u64,
    /// What the server is like.
    pub parameters: ServerParameters,
}

/// A class of requests as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// The class's name.
    pub name: String,
    /// Mean work, in microseconds of one core at speed 1.
    pub mean_work: f64,
    /// The target for the time to an answer.
    pub aim: Us,
    /// The client gives up after this, all tries together.
    pub deadline: Us,
    /// The worth of an answer for each microsecond of the request's work.
    pub worth: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// How long servers drop repeats of a keyed request.
    pub dedup_window: Us,
}

/// A request as drawn, from its first try on.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When the client sends the first try.
    pub at: Us,
    /// The client's zone.
    pub zone: usize,
    /// The request's class.
    pub class: usize,
    /// The request's work, in microseconds of one core at speed 1.
    pub work: f64,
    /// The client's estimate of the work.
    pub work_estimate: f64,
    /// Whether the client waits for as long as the `Retry-After` of a refusal says.
    pub honours_retry_after: bool,
    /// The client closes the connection after this share of the try's timeout; `None`: not before it.
    pub leaves_after: Option<f64>,
    /// The seed of the client's random choices.
    pub seed: u64,
}

/// The behaviour of clients as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSpec {
    /// How often a client retries a request.
    pub max_retries: usize,
    /// The timeout of one try, as a share of the class's deadline.
    pub try_timeout_share: f64,
    /// The backoff before the first retry.
    pub backoff: Us,
    /// The longest `Retry-After` that clients honour.
    pub max_retry_after: Us,
}

/// A fault with its targets as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSpec {
    /// The kind.
    pub kind: FaultKind,
    /// When the fault begins.
    pub at: Us,
    /// When the fault ends.
    pub until: Us,
    /// The numbers of nodes, servers, replicas or zones, by the kind; replicas count from 0 here.
    pub targets: Vec<usize>,
    /// The strength; its meaning depends on the kind.
    pub factor: f64,
    /// The number of steps of a release.
    pub steps: usize,
    /// The added delay of answers in a gray failure.
    pub answer_delay: Us,
    /// The share of answers that are cut short in a gray failure.
    pub truncated_share: f64,
    /// The direction of a partition; `None`: both.
    pub direction: Option<Direction>,
    /// The other zone of a partition or of links with limited bandwidth; `None`: all others.
    pub peer_zone: Option<usize>,
    /// The proposed policy.
    pub policy: serde_json::Map<String, serde_json::Value>,
    /// Whether the target is the replica that leads when the fault begins.
    pub targets_leader: bool,
}

/// How the list of servers reaches the nodes, as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoverySpec {
    /// The delay until a drain, or a server that shut down in order, is listed as such.
    pub leave_delay: Us,
    /// The delay until a server that vanished is listed as gone.
    pub vanish_delay: Us,
    /// The delay until a server that started is listed.
    pub join_delay: Us,
    /// All nodes receive a version of the list within this time of each other.
    pub node_spread: Us,
}

/// One seeded instance of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Draw {
    /// The seed of the draw.
    pub seed: u64,
    /// How long clients send requests.
    pub length: Us,
    /// The zones' names.
    pub zones: Vec<String>,
    /// The zone of each node.
    pub nodes: Vec<usize>,
    /// The app servers.
    pub servers: Vec<ServerSpec>,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The requests, in the order of their first tries.
    pub arrivals: Vec<Arrival>,
    /// How clients behave.
    pub clients: ClientSpec,
    /// The one-way delay from each zone to each zone.
    pub delays: Vec<Vec<Us>>,
    /// The one-way delay between a client and a node.
    pub client_delay: Us,
    /// The mean of the jitter, as a share of the delay.
    pub jitter: f64,
    /// The round trips of a new connection.
    pub handshake_trips: f64,
    /// How long the front of a zone goes on sending to a dead node.
    pub front_detection_delay: Us,
    /// How the list of servers reaches the nodes.
    pub discovery: DiscoverySpec,
    /// The faults, in the order of the plan.
    pub faults: Vec<FaultSpec>,
    /// The work that the warm fleet does in a microsecond.
    pub capacity: f64,
}

impl Draw {
    /// Generates the draw of a seed.
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let mut rng = stream(seed, Stream::Fleet);
        let fleet = plan.fleet.get_ref();
        let zones = fleet.zones.clone();
        let nodes = (0..sample_count(&mut rng, fleet.nodes)).map(|n| n % zones.len()).collect();
        let servers = sample_servers(plan, &mut rng);
        let capacity = servers.iter().map(|s| s.parameters.speed * s.parameters.cores as f64).sum();
        let classes = plan.classes.get_ref().iter().map(|c| ClassSpec {
            name: c.name.clone(),
            mean_work: sample(&mut rng, c.work_ms) * 1e3,
            aim: us_from_ms(c.aim_ms),
            deadline: us_from_ms(c.deadline_ms),
            worth: c.worth,
            idempotency: c.idempotency,
            dedup_window: us_from_ms(c.idempotency_window_ms),
        });
        let classes: Vec<ClassSpec> = classes.collect();
        let clients = plan.clients.get_ref();
        let clients = ClientSpec {
            max_retries: sample(&mut rng, clients.retries) as usize,
            try_timeout_share: sample(&mut rng, clients.try_share),
            backoff: us_from_ms(sample(&mut rng, clients.backoff_ms)),
            max_retry_after: us_from_ms(clients.max_retry_after_ms),
        };
        let network = &plan.network;
        let delays = (0..zones.len()).map(|from| {
            let delay = |to| {
                us_from_ms(sample(&mut rng, if from == to { network.same_ms } else { network.cross_ms }))
            };
            (0..zones.len()).map(delay).collect()
        });
        let delays = delays.collect();
        let discovery = &plan.discovery;
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
            client_delay: us_from_ms(sample(&mut rng, network.client_ms)),
            jitter: sample(&mut rng, network.jitter),
            handshake_trips: sample(&mut rng, plan.server.get_ref().handshake_trips),
            front_detection_delay: us_from_s(sample(&mut rng, fleet.front_notice_s)),
            discovery: DiscoverySpec {
                leave_delay: us_from_s(sample(&mut rng, discovery.notice_s)),
                vanish_delay: us_from_s(sample(&mut rng, discovery.silent_notice_s)),
                join_delay: us_from_s(sample(&mut rng, discovery.add_s)),
                node_spread: us_from_ms(sample(&mut rng, discovery.spread_ms)),
            },
            faults: Vec::new(),
            capacity,
        };
        let mut rng = stream(seed, Stream::Faults);
        let replicas = plan.control.as_ref().map_or(0, |c| c.get_ref().replicas);
        draw.faults =
            plan.faults.iter().map(|f| draw.sample_fault(f.get_ref(), replicas, &mut rng)).collect();
        draw.arrivals = draw.sample_arrivals(plan, &mut stream(seed, Stream::Arrivals));
        draw.sample_estimates(plan, &mut stream(seed, Stream::Estimates));
        draw
    }

    /// The random numbers for the network's random behaviour.
    pub fn network_rng(&self) -> Pcg64 {
        stream(self.seed, Stream::Network)
    }

    /// Chooses the targets of a fault and resolves names and units.
    fn sample_fault(&self, fault: &Fault, replicas: usize, rng: &mut Pcg64) -> FaultSpec {
        let zone_number =
            |zone: &Option<String>| self.zones.iter().position(|name| Some(name) == zone.as_ref());
        let zone = zone_number(&fault.zone);
        let candidate_zones: Vec<usize> = match fault.kind {
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
        let mut targets: Vec<usize> = (0..candidate_zones.len())
            .filter(|n| zone.is_none_or(|zone| candidate_zones[*n] == zone))
            .collect();
        if let Some(ids) = &fault.ids {
            // Experiments number replicas from 1.
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
            peer_zone: zone_number(&fault.peer_zone),
            policy: fault.policy.clone().unwrap_or_default(),
            targets_leader: fault.role.is_some(),
        }
    }

    /// Sets the clients' estimates of their requests' work.
    fn sample_estimates(&mut self, plan: &Plan, rng: &mut Pcg64) {
        let cv = sample(rng, plan.load.get_ref().guess_cv);
        for arrival in &mut self.arrivals {
            arrival.work_estimate = arrival.work * lognormal(rng, cv);
        }
    }

    /// Generates the first tries: a Poisson process whose rate swings, with the bursts of the timeline. It is sampled at
    /// its highest rate, and thinned to the rate of the moment.
    fn sample_arrivals(&self, plan: &Plan, rng: &mut Pcg64) -> Vec<Arrival> {
        let load = plan.load.get_ref();
        let shares: Vec<f64> = plan.classes.get_ref().iter().map(|c| c.share).collect();
        let total: f64 = shares.iter().sum();
        let mean_work: f64 = shares.iter().zip(&self.classes).map(|(s, c)| s / total * c.mean_work).sum();
        let mean_per_s = match load.per_s {
            Some(per_s) => sample(rng, per_s),
            None => sample(rng, load.of_capacity) * self.capacity / mean_work * 1e6,
        };
        let swing = sample(rng, load.swing);
        let skew = sample(rng, load.zone_skew);
        let zone_weights = sample_weights(rng, self.zones.len(), skew);
        let leaving_share = sample(rng, plan.clients.get_ref().impatient);
        let honouring_share = sample(rng, plan.clients.get_ref().honour);
        // The rate for a microsecond without swing and bursts: half a sine wave adds 2/pi of its height to the mean.
        let base = mean_per_s / (1.0 + swing * std::f64::consts::FRAC_2_PI) / 1e6;
        let rate = |at: f64| {
            let bursts = self.faults.iter().filter(|f| f.kind == FaultKind::Burst);
            let burst = bursts.filter(|f| (f.at as f64..f.until as f64).contains(&at)).map(|f| f.factor);
            let wave = 1.0 + swing * (std::f64::consts::PI * at / self.length as f64).sin();
            base * wave * burst.product::<f64>()
        };
        let bursts = self.faults.iter().filter(|f| f.kind == FaultKind::Burst);
        let max_rate = base * (1.0 + swing) * bursts.map(|f| f.factor.max(1.0)).product::<f64>();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while max_rate > 0.0 && arrivals.len() < MAX_ARRIVALS {
            let gap: f64 = Exp1.sample(rng);
            at += gap / max_rate;
            if at >= self.length as f64 {
                break;
            }
            if rng.random::<f64>() * max_rate >= rate(at) {
                continue;
            }
            let class = sample_index(rng, &shares);
            arrivals.push(Arrival {
                at: at as Us,
                zone: sample_index(rng, &zone_weights),
                class,
                work: sample_work(rng, plan, class, self.classes[class].mean_work),
                work_estimate: 0.0,
                honours_retry_after: rng.random::<f64>() < honouring_share,
                leaves_after: (rng.random::<f64>() < leaving_share).then(|| rng.random()),
                seed: rng.random(),
            });
        }
        arrivals
    }
}

/// The work of a request, at least 0.1 ms of one core at speed 1.
fn sample_work(rng: &mut Pcg64, plan: &Plan, class: usize, mean: f64) -> f64 {
    let class = &plan.classes.get_ref()[class];
    let unit = match class.dist {
        WorkDistribution::Exponential => Exp1.sample(rng),
        WorkDistribution::Lognormal => {
            let (min, max) = class.cv.bounds();
            lognormal(rng, (min + max) / 2.0)
        }
    };
    (mean * unit).max(100.0)
}

/// A lognormal value with a mean of 1 and this standard deviation.
fn lognormal(rng: &mut Pcg64, cv: f64) -> f64 {
    let variance = (1.0 + cv.powi(2)).ln();
    // Both parameters are finite, as all values of a plan are.
    LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |d| d.sample(rng))
}

fn sample_servers(plan: &Plan, rng: &mut Pcg64) -> Vec<ServerSpec> {
    let (fleet, kind) = (plan.fleet.get_ref(), plan.server.get_ref());
    let skew = sample(rng, fleet.server_skew);
    let weights = sample_weights(rng, fleet.zones.len(), skew);
    let count = sample_count(rng, fleet.servers);
    let (speed, cv) = (sample(rng, kind.speed), sample(rng, kind.speed_cv));
    let cores = kind.cores as f64;
    let model = ServerParameters {
        cores: kind.cores,
        speed,
        max_waiting: (sample(rng, kind.queue_per_core) * cores) as usize,
        thrash_threshold: sample(rng, kind.thrash_at),
        thrash_slowdown: sample(rng, kind.thrash),
        initial_warmth: sample(rng, kind.cold_from),
        warm_up: us_from_s(sample(rng, kind.cold_s)),
        error_rate: sample(rng, kind.error_rate),
        drops_cancelled: rng.random::<f64>() < sample(rng, kind.drops_cancelled),
        max_connections: (sample(rng, kind.connections_per_core) * cores) as usize,
        connection_overhead: sample(rng, kind.full_tax),
        handshake_work: sample(rng, kind.handshake_ms) * 1e3,
        choke: ChokeParameters {
            threshold: sample(rng, kind.choke_at),
            onset: us_from_s(sample(rng, kind.choke_over_s)),
            slowdown: sample(rng, kind.choke_slower),
            recovery_threshold: sample(rng, kind.choke_below),
            recovery: us_from_s(sample(rng, kind.choke_rest_s)),
            max_duration: us_from_s(sample(rng, kind.choke_most_s)),
        },
        overload_multiple: plan.rules.fall_multiple,
        overload_window: us_from_ms(plan.rules.fall_ms),
    };
    // Each server goes to the zone that is furthest below its share of the servers placed so far.
    let total: f64 = weights.iter().sum();
    let mut placed = vec![0usize; weights.len()];
    let zones: Vec<usize> = (0..count)
        .map(|n| {
            let deficit = |z: usize| weights[z] / total * (n + 1) as f64 - placed[z] as f64;
            let zone = (0..weights.len()).max_by(|a, b| deficit(*a).total_cmp(&deficit(*b))).unwrap_or(0);
            placed[zone] += 1;
            zone
        })
        .collect();
    let speed_factors = Normal::new(1.0, cv).ok();
    let specs = zones.into_iter().enumerate().map(|(n, zone)| {
        let factor = speed_factors.map_or(1.0, |d| d.sample(rng)).clamp(0.5, 1.5);
        let figures = ServerParameters { speed: speed * factor, ..model.clone() };
        ServerSpec { zone, cell: (n / SERVERS_PER_CELL) as u64, parameters: figures }
    });
    specs.collect()
}

fn stream(seed: u64, stream: Stream) -> Pcg64 {
    // Seeds that are close to each other must not give correlated streams.
    let state = Pcg64::seed_from_u64(seed).random::<u128>();
    Pcg64::new(state, stream as u128)
}

/// A uniform value within a range.
fn sample(rng: &mut Pcg64, range: Range) -> f64 {
    let (min, max) = range.bounds();
    min + (max - min) * rng.random::<f64>()
}

/// A uniform whole number within a range.
fn sample_count(rng: &mut Pcg64, range: Range) -> usize {
    let (min, max) = range.bounds();
    (min + (max - min + 1.0) * rng.random::<f64>()).min(max) as usize
}

/// Weights around 1 that differ from it by up to the skew.
fn sample_weights(rng: &mut Pcg64, parts: usize, skew: f64) -> Vec<f64> {
    (0..parts).map(|_| (1.0 + skew * (2.0 * rng.random::<f64>() - 1.0)).max(0.01)).collect()
}

/// An index, each with a probability by its weight.
fn sample_index(rng: &mut Pcg64, weights: &[f64]) -> usize {
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    let index = weights.iter().position(|w| {
        remaining -= w;
        remaining < 0.0
    });
    index.unwrap_or(weights.len() - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn plan(more: &str) -> Plan {
        let text = format!("schema = 1\nname = \"x\"\nlength_s = 20\n{more}");
        Plan::read("x.toml", &text).expect("it can be played")
    }

    #[test]
    fn a_draw_depends_on_its_seed_alone() {
        let plan = plan("[[fault]]\nkind = \"slow\"\nat_s = 3\nfor_s = 2\nshare = 0.3\nfactor = 4\n");
        assert_eq!(Draw::new(&plan, 7), Draw::new(&plan, 7));
        assert_ne!(Draw::new(&plan, 7), Draw::new(&plan, 8));
    }

    #[test]
    fn only_a_burst_changes_the_arrivals() {
        let calm = Draw::new(&plan("[load]\nswing = 0\n"), 7);
        let text = "[load]\nswing = 0\n[[fault]]\nkind = \"kill\"\nat_s = 3\n";
        assert_eq!(Draw::new(&plan(text), 7).arrivals, calm.arrivals);
        let text = "[load]\nswing = 0\n[[fault]]\nkind = \"burst\"\nat_s = 5\nfor_s = 5\nfactor = 2\n";
        let burst = Draw::new(&plan(text), 7);
        let within_burst = |d: &Draw| {
            d.arrivals.iter().filter(|a| (us_from_s(5.0)..us_from_s(10.0)).contains(&a.at)).count() as f64
        };
        let ratio = within_burst(&burst) / within_burst(&calm);
        assert!((1.8..2.2).contains(&ratio), "{ratio}");
    }

    #[test]
    fn the_offered_work_is_the_share_of_capacity_in_the_plan() {
        let draw = Draw::new(&plan("[load]\nof_capacity = 0.7\n"), 11);
        let work: f64 = draw.arrivals.iter().map(|a| a.work).sum();
        let load = work / (draw.capacity * draw.length as f64);
        assert!((0.65..0.75).contains(&load), "{load}");
    }

    #[test]
    fn targets_are_the_given_share_of_the_zone() {
        let text =
            "[fleet]\nservers = 30\n[[fault]]\nkind = \"lose\"\nat_s = 1\nzone = \"maipu\"\nshare = 0.5\n";
        let draw = Draw::new(&plan(text), 3);
        let all = draw.servers.iter().filter(|s| s.zone == 0).count();
        let targets = &draw.faults[0].targets;
        assert!(targets.iter().all(|t| draw.servers[*t].zone == 0));
        assert!(targets.len().abs_diff(all / 2) <= 1 && !targets.is_empty());
    }
}
