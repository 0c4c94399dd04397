//! Measures the duration and cost of a policy change in fleets of 30 to 1,000 nodes, in virtual time:
//! `cargo run --release -p control --example fleet`.

mod sim;

use sim::{max_mixed_ms, quantile, run, SimulationConfig};

fn main() {
    println!(
        "Policies of 20 and of 2,000 classes: 0.7 and 64 KB; ms: p50 / p99. Mixed: two policies in service at once, at most {:.0} ms.",
        max_mixed_ms()
    );
    println!("| nodes | classes | leader dies | commit | active everywhere | mixed, max | aborted | messages | KB a change | idle messages/s | idle KB/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (classes, changes, leader_dies) in [(20, 20, false), (20, 20, true), (2000, 2, false)] {
        for nodes in [30, 300, 1000] {
            let report = run(SimulationConfig { nodes, changes, classes, leader_dies, seed: 1 });
            let completed = report.active_everywhere_ms.len().max(1) as u64;
            println!(
                "| {nodes} | {classes} | {} | {:.0} / {:.0} | {:.0} / {:.0} | {:.0} | {} | {} | {} | {:.0} | {:.0} |",
                if leader_dies { "yes" } else { "no" },
                quantile(&report.commit_ms, 0.5),
                quantile(&report.commit_ms, 0.99),
                quantile(&report.active_everywhere_ms, 0.5),
                quantile(&report.active_everywhere_ms, 0.99),
                quantile(&report.mixed_ms, 1.0),
                report.aborted_count,
                report.messages / completed,
                report.bytes / completed / 1000,
                report.idle_messages,
                report.idle_bytes / 1000.0,
            );
        }
    }
}
