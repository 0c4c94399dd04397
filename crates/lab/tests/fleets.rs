//! What many nodes do together, in the virtual clock: one test for each cause that was found in fleets under stress.

use std::rc::Rc;

use lab::draw::Draw;
use lab::modules;
use lab::plan::Plan;
use lab::world::World;

/// Heavy requests, of which each node sees few.
const HEAVY: &str =
    "[[class]]\nname = \"lot-lookup\"\nshare = 0.55\nwork_ms = 180\ndist = \"exp\"\naim_ms = 960\n\
    deadline_ms = 1920\nworth = 3\neffect = \"safe\"\n\
    [[class]]\nname = \"cert-request\"\nshare = 0.45\nwork_ms = 150\ndist = \"lognormal\"\naim_ms = 960\n\
    deadline_ms = 3200\nworth = 2\neffect = \"keyed\"\nwindow_ms = 5000\n";

/// Plays a fleet of 40 nodes and 40 servers that keeps all rules.
fn play(more: &str, seed: u64) -> World {
    let text =
        format!("schema = 1\nname = \"x\"\nlength_s = 20\n[fleet]\nnodes = 40\nservers = 40\n{HEAVY}{more}");
    let plan = Plan::read("x.toml", &text).expect("it can be played");
    let world = modules::play(&plan, &Rc::new(Draw::new(&plan, seed)), None).expect("good settings");
    assert_eq!(world.breaches().1, []);
    world
}

/// Shares of the requests that were served late, and of the attempts that were turned away.
fn shares(world: &World) -> (f64, f64) {
    let windows = || world.tally().windows.iter().flatten();
    let all: u64 = windows().flat_map(|w| w.outcomes).sum();
    let late: u64 = windows().map(|w| w.outcomes[1]).sum();
    let seconds = || world.tally().seconds.iter();
    let away: u64 = seconds().map(|s| s.turned_away).sum();
    let attempts: u64 = seconds().map(|s| s.attempts).sum();
    (late as f64 / all as f64, away as f64 / attempts as f64)
}

#[test]
fn overload_is_not_kept_up_by_repeats_that_can_t_be_in_time() {
    for seed in [1, 2] {
        let world = play("[load]\nof_capacity = 1.3\nswing = 0\n", seed);
        let (late, _) = shares(&world);
        assert!(late < 0.1, "seed {seed}: {late} of the requests were served late");
    }
}

#[test]
fn a_full_server_is_not_kept_full_by_nodes_that_it_turns_away() {
    let slow = "[server]\nqueue_per_core = 1\n[load]\nof_capacity = 0.6\n\
        [[fault]]\nkind = \"slow\"\nat_s = 3\nfor_s = 15\nshare = 0.3\nfactor = 10\n";
    for seed in [1, 2] {
        let world = play(slow, seed);
        let (_, away) = shares(&world);
        assert!(away < 0.3, "seed {seed}: {away} of the attempts were turned away");
    }
}

#[test]
fn many_nodes_that_share_a_server_begin_with_less_than_one_attempt_each() {
    // Servers that a moment of crowding chokes, all of them needed.
    let busy = "[server]\nchoke_at = 3\nchoke_over_s = 0.8\n[load]\nof_capacity = 1.0\nswing = 0\n";
    let choked: f64 = (1..=4).map(|seed| play(busy, seed).choked_share() / 4.0).sum();
    assert!(choked < 0.4, "{choked} of the servers were choked");
}

#[test]
fn work_that_there_is_no_time_for_is_not_begun() {
    // One request in twenty or so is more work than an overloaded fleet can do in its aim.
    let wasted = |seed| play("[load]\nof_capacity = 1.3\nswing = 0\n", seed).wasted_share();
    let mean = (1..=4).map(|seed| wasted(seed) / 4.0).sum::<f64>();
    assert!(mean < 0.13, "{mean} of the work asked for was done in vain");
}
