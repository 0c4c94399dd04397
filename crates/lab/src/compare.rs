//! Compares two runs, or two sets of runs of one experiment: medians, ranges, and which metrics moved beyond the range.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use crate::error::FileError;
use crate::result::RunResult;

/// How many levels of folders are searched for results.
const MAX_DEPTH: usize = 3;

/// Summary of one metric over the runs of a set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MetricSummary {
    /// The minimum.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub max: f64,
    /// The number of runs.
    pub runs: usize,
}

/// A metric in both sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The metric's name.
    pub name: String,
    /// The summary over the first set.
    pub a: MetricSummary,
    /// The summary over the second set.
    pub b: MetricSummary,
}

impl Row {
    /// Whether the ranges of the two sets do not overlap. A single run has no range, so it never shows a move.
    pub fn moved(&self) -> bool {
        let disjoint = self.a.max < self.b.min || self.b.max < self.a.min;
        disjoint && self.a.runs > 1 && self.b.runs > 1
    }
}

/// The comparison of two sets.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The draws of each set, where they differ: then the metrics can't be compared directly.
    pub different_draws: Option<String>,
    /// The metrics that both sets have.
    pub rows: Vec<Row>,
}

/// Summarizes the values of a metric; `None` if there are none.
fn summarize(mut values: Vec<f64>) -> Option<MetricSummary> {
    values.sort_by(f64::total_cmp);
    let (min, max) = (*values.first()?, *values.last()?);
    let half = values.len() / 2;
    let median = if values.len() % 2 == 1 { values[half] } else { (values[half - 1] + values[half]) / 2.0 };
    Some(MetricSummary { min, median, max, runs: values.len() })
}

/// The metrics of a run that are compared, in the order of the rows.
fn metrics(run: &RunResult) -> Vec<(String, f64)> {
    let mut metrics = vec![
        ("served".to_string(), run.service.served),
        ("worst class".into(), run.service.worst_class),
        ("worst window".into(), run.service.worst_window),
        ("G".into(), run.service.g),
        ("served of oracle".into(), run.service.served / run.baselines.oracle.served.max(1e-9)),
        ("tries each".into(), run.cost.tries),
        ("attempts each".into(), run.cost.attempts),
        ("turned away".into(), run.cost.turned_away),
        ("connections each".into(), run.cost.connections),
        ("cross zone each".into(), run.cost.cross_zone),
        ("spread of attempts".into(), run.cost.spread),
        ("wasted".into(), run.cost.wasted),
        ("failed late".into(), run.cost.failed_late),
        ("choked servers".into(), run.cost.overdriven),
        ("failures paid".into(), run.cost.failures_at_faulty as f64),
        ("failures elsewhere".into(), run.cost.failures_at_healthy as f64),
        ("breaches".into(), run.breaches as f64),
    ];
    if let Some(votes) = &run.votes {
        metrics.push(("wrong removals".into(), votes.wrong_removals as f64));
        let times = [("removed after, ms", votes.remove_ms()), ("returned after, ms", votes.return_ms())];
        metrics.extend(times.into_iter().filter_map(|(name, ms)| Some((name.to_string(), ms?))));
    }
    for class in &run.classes {
        metrics.push((format!("{} served", class.name), class.served));
        metrics.push((format!("{} p99 ms", class.name), class.took_ms.p99));
    }
    for (n, fault) in run.faults.iter().enumerate() {
        // Without a recovery, the time is at least the rest of the run.
        let recovery_s = fault.recover_s.unwrap_or(run.length_s - fault.until_s);
        metrics.push((format!("back after {} {n}, s", fault.kind), recovery_s));
    }
    metrics
}

/// Loads a result file, or all `result.json` below a folder.
///
/// # Errors
/// A file or folder can't be read, or the folder has no result in it.
pub fn load(path: &Path) -> Result<Vec<RunResult>, FileError> {
    let mut files = Vec::new();
    if path.is_dir() {
        search(path, MAX_DEPTH, &mut files).map_err(FileError::read(path))?;
    } else {
        files.push(path.to_path_buf());
    }
    files.sort();
    if files.is_empty() {
        return Err(FileError::NoResults { folder: path.into() });
    }
    files.iter().map(|file| RunResult::read(file)).collect()
}

fn search(folder: &Path, depth: usize, files: &mut Vec<PathBuf>) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() && depth > 0 {
            search(&path, depth - 1, files)?;
        } else if path.file_name().is_some_and(|name| name == "result.json") {
            files.push(path);
        }
    }
    Ok(())
}

/// Compares two sets of runs.
pub fn compare(a: &[RunResult], b: &[RunResult]) -> Comparison {
    let mut names = Vec::new();
    let mut sets: [BTreeMap<String, Vec<f64>>; 2] = Default::default();
    for (set, runs) in sets.iter_mut().zip([a, b]) {
        for (name, value) in runs.iter().flat_map(metrics) {
            if !names.contains(&name) {
                names.push(name.clone());
            }
            set.entry(name).or_default().push(value);
        }
    }
    let [mut first, mut second] = sets;
    let rows = names.into_iter().filter_map(|name| {
        let (a, b) = (summarize(first.remove(&name)?)?, summarize(second.remove(&name)?)?);
        Some(Row { name, a, b })
    });
    let draws_of = |runs: &[RunResult]| {
        let mut draws: Vec<String> = runs.iter().map(|r| format!("{} seed {}", r.name, r.seed)).collect();
        draws.sort();
        draws.dedup();
        draws.join(", ")
    };
    let (one, other) = (draws_of(a), draws_of(b));
    let different_draws = (one != other).then(|| format!("{one} against {other}"));
    Comparison { different_draws, rows: rows.collect() }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(draws) = &self.different_draws {
            writeln!(f, "different draws: {draws}")?;
        }
        let runs = self.rows.first().map_or((0, 0), |r| (r.a.runs, r.b.runs));
        writeln!(f, "A: {} plays, B: {} plays; medians, with the least and the most", runs.0, runs.1)?;
        writeln!(f, "{:<28}{:>28}{:>28}{:>11}", "", "A", "B", "B - A")?;
        let range = |s: &MetricSummary| format!("{:.3} ({:.3} to {:.3})", s.median, s.min, s.max);
        for row in &self.rows {
            let mark = if row.moved() { "  moved" } else { "" };
            let by = row.b.median - row.a.median;
            writeln!(f, "{:<28}{:>28}{:>28}{by:>+11.3}{mark}", row.name, range(&row.a), range(&row.b))?;
        }
        if runs.0 < 2 || runs.1 < 2 {
            writeln!(f, "one play has no spread: nothing can be said to have moved")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_metric_has_moved_when_the_ranges_do_not_overlap() {
        let row = |a: &[f64], b: &[f64]| Row {
            name: "x".into(),
            a: summarize(a.to_vec()).expect("runs"),
            b: summarize(b.to_vec()).expect("runs"),
        };
        assert!(row(&[1.0, 2.0, 3.0], &[4.0, 5.0]).moved());
        assert!(!row(&[1.0, 2.0, 4.5], &[4.0, 5.0]).moved());
        assert!(!row(&[1.0], &[4.0, 5.0]).moved(), "one run has no range");
        let four = summarize(vec![4.0, 1.0, 3.0, 2.0]).expect("runs");
        assert_eq!((four.min, four.median, four.max, four.runs), (1.0, 2.5, 4.0, 4));
    }
}
