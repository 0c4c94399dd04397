//! Measures the cost and benefit of votes on servers in fleets of 30 to 1,000 nodes, in virtual time:
//! `cargo run --release -p control --example votes`.

mod sim;

use sim::{run, without_votes, Report, SimulationConfig};

const SEEDS: u64 = 20;

/// Returns a simulation with a server that turns bad after 10 s; with `thin` traffic there is little evidence per node.
fn bad_server(nodes: usize, thin: bool, seed: u64) -> SimulationConfig {
    let (servers, servers_per_node, rate) = if thin { (9, 9, 0.1) } else { (nodes, 8, 1.0) };
    SimulationConfig {
        nodes,
        servers,
        servers_per_node,
        rate,
        good_failure_ratio: 0.01,
        bad_at: Some(10_000.0),
        end: 120_000.0,
        seed,
    }
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted
        .get(((sorted.len() as f64 * fraction) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Runs the simulations, each on a thread of its own.
fn run_all(configs: impl Iterator<Item = SimulationConfig>) -> Vec<Report> {
    let threads: Vec<_> = configs.map(|config| std::thread::spawn(move || run(config))).collect();
    threads.into_iter().map(|thread| thread.join().expect("the simulation ends")).collect()
}

/// Fits `a + b * ln(nodes)` by least squares; returns `a`, `b` and the coefficient of determination.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let logs: Vec<(f64, f64)> = points.iter().map(|(nodes, cost)| (nodes.ln(), *cost)).collect();
    let (x, y) =
        logs.iter().fold((0.0, 0.0), |sum, point| (sum.0 + point.0 / count, sum.1 + point.1 / count));
    let (xy, xx, yy) = logs.iter().fold((0.0, 0.0, 0.0), |sum, point| {
        let (dx, dy) = (point.0 - x, point.1 - y);
        (sum.0 + dx * dy, sum.1 + dx * dx, sum.2 + dy * dy)
    });
    let slope = xy / xx;
    (y - slope * x, slope, if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) })
}

fn main() {
    println!("{SEEDS} seeds a row; s, p50 / p99. Removed: from the first failure to the verdict; known: until the last node knows it.");
    println!("| traffic | nodes | removed | known | failures | without votes: last ejection | failures | vote B per node and s, no suspect | suspect | not removed |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for thin in [false, true] {
        let mut costs = Vec::new();
        for nodes in [30, 300, 1000] {
            let reports = run_all((0..SEEDS).map(|seed| bad_server(nodes, thin, seed)));
            let unaided: Vec<_> =
                (0..SEEDS).map(|seed| without_votes(&bad_server(nodes, thin, seed))).collect();
            let removed = sorted(reports.iter().filter_map(|report| report.removed_ms));
            let known_everywhere = sorted(reports.iter().filter_map(|report| report.known_everywhere_ms));
            let failures = sorted(reports.iter().map(|report| report.failures as f64));
            let last_ejections = sorted(unaided.iter().map(|unaided| unaided.0));
            let unaided_failures = sorted(unaided.iter().map(|unaided| unaided.1 as f64));
            let p50_p99 = |ms: &[f64]| {
                format!("{:.2} / {:.2}", quantile(ms, 0.5) / 1000.0, quantile(ms, 0.99) / 1000.0)
            };
            println!(
                "| {} | {nodes} | {} | {} | {:.0} / {:.0} | {} | {:.0} / {:.0} | {:.0} | {:.0} | {} |",
                if thin { "thin" } else { "8 servers each" },
                p50_p99(&removed),
                p50_p99(&known_everywhere),
                quantile(&failures, 0.5),
                quantile(&failures, 0.99),
                p50_p99(&last_ejections),
                quantile(&unaided_failures, 0.5),
                quantile(&unaided_failures, 0.99),
                mean(&reports.iter().map(|report| report.idle_bytes_per_s).collect::<Vec<_>>()),
                mean(&reports.iter().map(|report| report.suspect_bytes_per_s).collect::<Vec<_>>()),
                reports.iter().filter(|report| report.known_everywhere_ms.is_none()).count(),
            );
            costs.push((nodes as f64, mean(&failures)));
        }
        let (a, b, explained) = fit(&costs);
        println!("\nfailures = {a:.1} + {b:.1} ln(nodes), r2 {explained:.2}, of {costs:?}\n");
    }
    println!("| traffic | nodes | failures of good servers | simulated | wrong removals per hour | vote B per node and s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let sizes = [(30, 240.0), (300, 24.0), (1000, 6.0)];
    let rows =
        [false, true].into_iter().flat_map(|thin| sizes.map(|(nodes, minutes)| (thin, nodes, minutes)));
    let rows: Vec<_> = rows.flat_map(|row| [0.01, 0.05].map(|ratio| (row, ratio))).collect();
    let configs = rows.iter().map(|&((thin, nodes, minutes), good_failure_ratio)| {
        let end = 60_000.0 * minutes;
        SimulationConfig { good_failure_ratio, bad_at: None, end, ..bad_server(nodes, thin, 1) }
    });
    for (&((thin, nodes, minutes), good_failure_ratio), report) in rows.iter().zip(run_all(configs)) {
        println!(
            "| {} | {nodes} | {:.0}% | {minutes:.0} min | {:.2} | {:.0} |",
            if thin { "thin" } else { "8 servers each" },
            good_failure_ratio * 100.0,
            report.wrong_verdicts as f64 * 60.0 / minutes,
            report.idle_bytes_per_s,
        );
    }
}
