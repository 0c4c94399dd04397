//! How long a change of policy takes in fleets of 30 to 1,000 nodes, in virtual time:
//! `cargo run --release -p control --example fleet`.

mod sim;

use sim::{bound, quantile, run, Plan};

fn main() {
    println!(
        "Policies of 20 and of 2,000 classes: 0.7 and 64 KB; ms: p50 / p99. Mixed: two policies in service at once, bound {:.0} ms.",
        bound()
    );
    println!("| nodes | classes | leader dies | commit | active everywhere | mixed, most | aborted | messages | KB a change | idle messages/s | idle KB/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (classes, changes, losses) in [(20, 20, false), (20, 20, true), (2000, 2, false)] {
        for nodes in [30, 300, 1000] {
            let report = run(Plan { nodes, changes, classes, losses, seed: 1 });
            let done = report.everywhere.len().max(1) as u64;
            println!(
                "| {nodes} | {classes} | {} | {:.0} / {:.0} | {:.0} / {:.0} | {:.0} | {} | {} | {} | {:.0} | {:.0} |",
                if losses { "yes" } else { "no" },
                quantile(&report.commit, 0.5),
                quantile(&report.commit, 0.99),
                quantile(&report.everywhere, 0.5),
                quantile(&report.everywhere, 0.99),
                quantile(&report.mixed, 1.0),
                report.aborted,
                report.messages / done,
                report.bytes / done / 1000,
                report.idle_messages,
                report.idle_bytes / 1000.0,
            );
        }
    }
}
