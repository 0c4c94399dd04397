//! The joint behaviour of many nodes in the virtual clock. Each test guards against one cause of lost goodput that was
//! found in fleets under stress.

use std::rc::Rc;

use lab::draw::Draw;
use lab::modules;
use lab::plan::Plan;
use lab::world::World;

/// Classes of heavy requests, of which each node sees few.
const HEAVY_CLASSES: &str =
    "[[class]]\nname = \"lot-lookup\"\nshare = 0.55\nwork_ms = 180\ndist = \"exp\"\naim_ms = 960\n\
    deadline_ms = 1920\nworth = 3\neffect = \"safe\"\n\
    [[class]]\nname = \"cert-request\"\nshare = 0.45\nwork_ms = 150\ndist = \"lognormal\"\naim_ms = 960\n\
    deadline_ms = 3200\nworth = 2\neffect = \"keyed\"\nwindow_ms = 5000\n";

/// Plays a fleet of 40 nodes and 40 servers, and checks that it keeps all rules.
fn play(more: &str, seed: u64) -> World {
    let text = format!(
        "schema = 1\nname = \"x\"\nlength_s = 20\n[fleet]\nnodes = 40\nservers = 40\n{HEAVY_CLASSES}{more}"
    );
    let plan = Plan::read("x.toml", &text).expect("it can be played");
    let world = modules::play(&plan, &Rc::new(Draw::new(&plan, seed)), None).expect("good settings");
    assert_eq!(world.breaches().1, []);
    world
}

/// The share of the requests that were served late, and the share of the attempts that were turned away.
fn late_and_turned_away(world: &World) -> (f64, f64) {
    let windows = || world.tally().windows.iter().flatten();
    let all: u64 = windows().flat_map(|w| w.outcomes).sum();
    let late: u64 = windows().map(|w| w.outcomes[1]).sum();
    let seconds = || world.tally().seconds.iter();
    let turned_away: u64 = seconds().map(|s| s.turned_away).sum();
    let attempts: u64 = seconds().map(|s| s.attempts).sum();
    (late as f64 / all as f64, turned_away as f64 / attempts as f64)
}

#[test]
fn repeats_that_would_be_late_do_not_sustain_an_overload() {
    for seed in [1, 2] {
        let world = play("[load]\nof_capacity = 1.3\nswing = 0\n", seed);
        let (late, _) = late_and_turned_away(&world);
        assert!(late < 0.1, "seed {seed}: {late} of the requests were served late");
    }
}

#[test]
fn attempts_that_are_turned_away_do_not_keep_a_server_full() {
    let slow = "[server]\nqueue_per_core = 1\n[load]\nof_capacity = 0.6\n\
        [[fault]]\nkind = \"slow\"\nat_s = 3\nfor_s = 15\nshare = 0.3\nfactor = 10\n";
    for seed in [1, 2] {
        let world = play(slow, seed);
        let (_, turned_away) = late_and_turned_away(&world);
        assert!(turned_away < 0.3, "seed {seed}: {turned_away} of the attempts were turned away");
    }
}

#[test]
fn the_initial_limits_of_many_nodes_do_not_overload_a_shared_server() {
    // A short overload drives these servers into congestion collapse, and the load needs all of them. So nodes that share
    // a server must start with a limit below one attempt each.
    let busy = "[server]\nchoke_at = 3\nchoke_over_s = 0.8\n[load]\nof_capacity = 1.0\nswing = 0\n";
    let choked: f64 = (1..=4).map(|seed| play(busy, seed).choked_share() / 4.0).sum();
    assert!(choked < 0.4, "{choked} of the servers were in congestion collapse");
}

#[test]
fn requests_that_can_t_finish_in_time_are_not_started() {
    // About one request in twenty has more work than an overloaded fleet can do within the target time.
    let wasted = |seed| play("[load]\nof_capacity = 1.3\nswing = 0\n", seed).wasted_share();
    let mean = (1..=4).map(|seed| wasted(seed) / 4.0).sum::<f64>();
    assert!(mean < 0.13, "{mean} of the offered work was wasted");
}
