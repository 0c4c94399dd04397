//! A short run of the simulated fleet: it keeps its bounds, and the cost of a change is proportional to the number of
//! nodes.

#[path = "../examples/fleet/sim.rs"]
mod sim;

use sim::{max_mixed_ms, quantile, run, SimulationConfig};

#[test]
fn a_change_is_active_everywhere_within_a_second_at_a_cost_proportional_to_the_nodes() {
    let mut costs = Vec::new();
    for nodes in [30, 120] {
        let report = run(SimulationConfig { nodes, changes: 4, classes: 20, leader_dies: false, seed: 7 });
        assert_eq!(
            (report.commit_ms.len(), report.active_everywhere_ms.len(), report.aborted_count),
            (4, 4, 0),
            "{report:?}"
        );
        assert!(quantile(&report.active_everywhere_ms, 1.0) < 1000.0, "{report:?}");
        assert!(quantile(&report.mixed_ms, 1.0) < max_mixed_ms(), "{report:?}");
        // One heartbeat and its reply per quarter of a second plus a round trip.
        assert!(report.idle_messages < 8.0 * nodes as f64, "{report:?}");
        assert!(report.idle_bytes < 1000.0 * report.idle_messages, "{report:?}");
        costs.push((report.messages as f64 / nodes as f64, report.bytes as f64 / nodes as f64));
    }
    assert!(costs[1].0 < 2.0 * costs[0].0 && costs[1].1 < 2.0 * costs[0].1, "{costs:?}");
}

#[test]
fn losing_the_leader_in_each_change_delays_it_and_keeps_the_bounds() {
    let report = run(SimulationConfig { nodes: 30, changes: 6, classes: 20, leader_dies: true, seed: 7 });
    assert_eq!(report.active_everywhere_ms.len() + report.aborted_count, 6, "{report:?}");
    assert!(
        report.active_everywhere_ms.len() >= 5 && quantile(&report.active_everywhere_ms, 1.0) < 4000.0,
        "{report:?}"
    );
    assert!(quantile(&report.mixed_ms, 1.0) < max_mixed_ms(), "{report:?}");
}
