//! A result as a table for the terminal.

use std::fmt::Write;

use lab::epochs::{ControlMetrics, Outcome};
use lab::removals::VoteMetrics;
use lab::result::{RunResult, Service};

/// The most breaches, and the most wrong removals, that are printed in full.
const MAX_PRINTED: usize = 10;

/// Formats a result.
pub fn format_result(result: &RunResult) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_result(&mut text, result);
    text
}

fn write_result(out: &mut String, r: &RunResult) -> std::fmt::Result {
    writeln!(out, "\n{:<14}{:>8}{:>13}{:>14}{:>8}", "", "served", "worst class", "worst window", "G")?;
    let mut row = |name: &str, s: &Service| {
        let Service { served, worst_class, worst_window, g } = s;
        writeln!(out, "{name:<14}{served:>8.3}{worst_class:>13.3}{worst_window:>14.3}{g:>8.3}")
    };
    row("node", &r.service)?;
    row("random", &r.baselines.random)?;
    row("oracle", &r.baselines.oracle)?;
    writeln!(
        out,
        "\n{:<14}{:>9}{:>9}{:>7}{:>9}{:>8}{:>12}{:>9}{:>9}{:>9}",
        "class",
        "requests",
        "in time",
        "late",
        "refused",
        "failed",
        "unanswered",
        "p50 ms",
        "p90 ms",
        "p99 ms"
    )?;
    for class in &r.classes {
        let (ends, times) = (class.ends, class.took_ms);
        writeln!(
            out,
            "{:<14}{:>9}{:>9}{:>7}{:>9}{:>8}{:>12}{:>9.1}{:>9.1}{:>9.1}",
            class.name,
            class.requests,
            ends.in_time,
            ends.late,
            ends.refused,
            ends.failed,
            ends.unanswered,
            times.p50,
            times.p90,
            times.p99
        )?;
    }
    let c = &r.cost;
    writeln!(
        out,
        "\nfor each first try: {:.3} tries, {:.3} attempts, {:.4} new connections, {:.3} crossing zones",
        c.tries, c.attempts, c.connections, c.cross_zone
    )?;
    writeln!(
        out,
        "turned away {:.4} of attempts; wasted work {:.3}; failed only late {:.3}; choked servers {:.2}; spread {:.2}",
        c.turned_away, c.wasted, c.failed_late, c.overdriven, c.spread
    )?;
    writeln!(
        out,
        "cold servers were sent {:.2} of what they could do, the most pushed one {:.2} of what pushes it over",
        c.cold_sent, c.cold_most
    )?;
    writeln!(
        out,
        "a node held {:.1} MiB and {} descriptors at most; {} answers overdue",
        c.node_memory_mb, c.node_descriptors, c.overdue
    )?;
    writeln!(
        out,
        "attempts failed at servers with something wrong: {}, at others: {}",
        c.failures_at_faulty, c.failures_at_healthy
    )?;
    for fault in &r.faults {
        let recovery =
            fault.recover_s.map_or("not back before the end".to_string(), |s| format!("back after {s:.0} s"));
        writeln!(
            out,
            "fault {} from {:.1} to {:.1} s on {}: {recovery}",
            fault.kind, fault.at_s, fault.until_s, fault.targets
        )?;
    }
    if let Some(control) = &r.control {
        write_policy_changes(out, control)?;
    }
    if let Some(votes) = &r.votes {
        write_votes(out, votes)?;
    }
    let l = &r.lab;
    writeln!(
        out,
        "the lab: late by {:.2} ms at p50, {:.2} at p99, {:.2} at most; {:.2} of a core; {:.0} messages a second",
        l.late_ms.p50, l.late_ms.p99, l.late_ms.max, l.busy, l.messages_per_s
    )?;
    for breach in r.first_breaches.iter().take(MAX_PRINTED) {
        writeln!(out, "{breach}")?;
    }
    if r.breaches > MAX_PRINTED {
        writeln!(out, "and {} further breaches", r.breaches - MAX_PRINTED)?;
    }
    for expectation in &r.expectations {
        let got = expectation.got.map_or("unknown".to_string(), |got| format!("{got:.3}"));
        let verdict = if expectation.held { "held" } else { "DID NOT HOLD" };
        writeln!(out, "hold {} {:.3}: {got} {verdict}", expectation.key, expectation.wanted)?;
    }
    writeln!(out, "verdict: {}", r.verdict)
}

fn format_ms(ms: Option<f64>) -> String {
    ms.map_or("unknown".to_string(), |ms| format!("{ms:.0} ms"))
}

fn write_votes(out: &mut String, v: &VoteMetrics) -> std::fmt::Result {
    writeln!(
        out,
        "votes: of {} servers with something wrong {} removed, after {} at most, back after {} at most",
        v.faulty,
        v.removed,
        format_ms(v.remove_ms()),
        format_ms(v.return_ms())
    )?;
    writeln!(
        out,
        "wrong removals: {}; attempts at removed servers: {}",
        v.wrong_removals, v.attempts_after_removal
    )?;
    for r in v.removals.iter().filter(|r| r.wrong).take(MAX_PRINTED) {
        let zones = if r.zones.is_empty() { "all zones".to_string() } else { r.zones.join(", ") };
        writeln!(out, "wrongly removed at {:.1} s for {zones}: {}", r.at_s, r.server)?;
    }
    Ok(())
}

fn write_policy_changes(out: &mut String, c: &ControlMetrics) -> std::fmt::Result {
    for change in &c.changes {
        let outcome = match &change.outcome {
            Outcome::Committed(epoch) => format!("committed as epoch {epoch}"),
            Outcome::Aborted(reason) => format!("aborted ({reason})"),
            Outcome::Unknown => "with an unknown end".to_string(),
        };
        writeln!(
            out,
            "policy asked for at {:.1} s {outcome}: told after {}, active everywhere after {}, two in force for {}",
            change.at_s,
            format_ms(change.outcome_known_ms),
            format_ms(change.active_ms),
            format_ms(change.mixed_ms)
        )?;
    }
    for gap in &c.write_gaps_ms {
        writeln!(out, "leader struck: nothing could be written for {}", format_ms(*gap))?;
    }
    writeln!(out, "answers that refused for want of an agreed policy: {:.4}", c.refused_share)
}
