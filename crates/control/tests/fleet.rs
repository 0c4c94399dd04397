//! A short run of the simulated fleet: it keeps its bounds, and a change costs messages in proportion to the nodes.

#[path = "../examples/fleet/sim.rs"]
mod sim;

use sim::{bound, quantile, run, Plan};

#[test]
fn a_change_is_active_everywhere_within_a_second_and_costs_in_proportion() {
    let mut costs = Vec::new();
    for nodes in [30, 120] {
        let report = run(Plan { nodes, changes: 4, classes: 20, losses: false, seed: 7 });
        assert_eq!((report.commit.len(), report.everywhere.len(), report.aborted), (4, 4, 0), "{report:?}");
        assert!(quantile(&report.everywhere, 1.0) < 1000.0, "{report:?}");
        assert!(quantile(&report.mixed, 1.0) < bound(), "{report:?}");
        // A beat and its answer each quarter of a second and round trip.
        assert!(report.idle_messages < 8.0 * nodes as f64, "{report:?}");
        assert!(report.idle_bytes < 1000.0 * report.idle_messages, "{report:?}");
        costs.push((report.messages as f64 / nodes as f64, report.bytes as f64 / nodes as f64));
    }
    assert!(costs[1].0 < 2.0 * costs[0].0 && costs[1].1 < 2.0 * costs[0].1, "{costs:?}");
}

#[test]
fn the_loss_of_a_leader_in_each_change_delays_it_and_breaks_no_bound() {
    let report = run(Plan { nodes: 30, changes: 6, classes: 20, losses: true, seed: 7 });
    assert_eq!(report.everywhere.len() + report.aborted, 6, "{report:?}");
    assert!(report.everywhere.len() >= 5 && quantile(&report.everywhere, 1.0) < 4000.0, "{report:?}");
    assert!(quantile(&report.mixed, 1.0) < bound(), "{report:?}");
}
