//! Two runs, or two sets of plays of one experiment, side by side: medians, spread, and what moved beyond the spread.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use crate::error::FileError;
use crate::result::RunResult;

/// How deep a folder is searched for results.
const DEPTH: usize = 3;

/// A figure of one set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The most.
    pub most: f64,
    /// Of how many plays.
    pub plays: usize,
}

/// A figure of both sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The figure's name.
    pub name: String,
    /// In the first set.
    pub a: Spread,
    /// In the second.
    pub b: Spread,
}

impl Row {
    /// Do all plays of one set lie beyond all of the other? One play has no spread, so it says nothing.
    pub fn moved(&self) -> bool {
        let apart = self.a.most < self.b.least || self.b.most < self.a.least;
        apart && self.a.plays > 1 && self.b.plays > 1
    }
}

/// Two sets.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The experiments that the sets hold, where they differ: the figures then are of different things.
    pub unlike: Option<String>,
    /// The figures.
    pub rows: Vec<Row>,
}

fn spread(mut of: Vec<f64>) -> Option<Spread> {
    of.sort_by(f64::total_cmp);
    let (least, most) = (*of.first()?, *of.last()?);
    let half = of.len() / 2;
    let median = if of.len() % 2 == 1 { of[half] } else { (of[half - 1] + of[half]) / 2.0 };
    Some(Spread { least, median, most, plays: of.len() })
}

/// The figures of a run that are compared, in their order.
fn figures(run: &RunResult) -> Vec<(String, f64)> {
    let mut figures = vec![
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
        figures.push(("wrong removals".into(), votes.wrong_removals as f64));
        let times = [("removed after, ms", votes.remove_ms()), ("returned after, ms", votes.return_ms())];
        figures.extend(times.into_iter().filter_map(|(name, ms)| Some((name.to_string(), ms?))));
    }
    for class in &run.classes {
        figures.push((format!("{} served", class.name), class.served));
        figures.push((format!("{} p99 ms", class.name), class.took_ms.p99));
    }
    for (n, fault) in run.faults.iter().enumerate() {
        // What was not back in time was away for the rest of the run at least.
        let back = fault.recover_s.unwrap_or(run.length_s - fault.until_s);
        figures.push((format!("back after {} {n}, s", fault.kind), back));
    }
    figures
}

/// The results below a file or folder.
///
/// # Errors
/// One line that says what can't be read, or that nothing is there.
pub fn load(path: &Path) -> Result<Vec<RunResult>, FileError> {
    let mut files = Vec::new();
    if path.is_dir() {
        search(path, DEPTH, &mut files).map_err(FileError::read(path))?;
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

/// Compares two sets of plays.
pub fn compare(a: &[RunResult], b: &[RunResult]) -> Comparison {
    let mut names = Vec::new();
    let mut sets: [BTreeMap<String, Vec<f64>>; 2] = Default::default();
    for (set, runs) in sets.iter_mut().zip([a, b]) {
        for (name, value) in runs.iter().flat_map(figures) {
            if !names.contains(&name) {
                names.push(name.clone());
            }
            set.entry(name).or_default().push(value);
        }
    }
    let [mut first, mut second] = sets;
    let rows = names.into_iter().filter_map(|name| {
        let (a, b) = (spread(first.remove(&name)?)?, spread(second.remove(&name)?)?);
        Some(Row { name, a, b })
    });
    let what = |runs: &[RunResult]| {
        let mut draws: Vec<String> = runs.iter().map(|r| format!("{} seed {}", r.name, r.seed)).collect();
        draws.sort();
        draws.dedup();
        draws.join(", ")
    };
    let (one, other) = (what(a), what(b));
    let unlike = (one != other).then(|| format!("{one} against {other}"));
    Comparison { unlike, rows: rows.collect() }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(unlike) = &self.unlike {
            writeln!(f, "different draws: {unlike}")?;
        }
        let plays = self.rows.first().map_or((0, 0), |r| (r.a.plays, r.b.plays));
        writeln!(f, "A: {} plays, B: {} plays; medians, with the least and the most", plays.0, plays.1)?;
        writeln!(f, "{:<28}{:>28}{:>28}{:>11}", "", "A", "B", "B - A")?;
        let words = |s: &Spread| format!("{:.3} ({:.3} to {:.3})", s.median, s.least, s.most);
        for row in &self.rows {
            let mark = if row.moved() { "  moved" } else { "" };
            let by = row.b.median - row.a.median;
            writeln!(f, "{:<28}{:>28}{:>28}{by:>+11.3}{mark}", row.name, words(&row.a), words(&row.b))?;
        }
        if plays.0 < 2 || plays.1 < 2 {
            writeln!(f, "one play has no spread: nothing can be said to have moved")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_figure_has_moved_where_the_plays_do_not_overlap() {
        let row = |a: &[f64], b: &[f64]| Row {
            name: "x".into(),
            a: spread(a.to_vec()).expect("plays"),
            b: spread(b.to_vec()).expect("plays"),
        };
        assert!(row(&[1.0, 2.0, 3.0], &[4.0, 5.0]).moved());
        assert!(!row(&[1.0, 2.0, 4.5], &[4.0, 5.0]).moved());
        assert!(!row(&[1.0], &[4.0, 5.0]).moved(), "one play has no spread");
        let four = spread(vec![4.0, 1.0, 3.0, 2.0]).expect("plays");
        assert_eq!((four.least, four.median, four.most, four.plays), (1.0, 2.5, 4.0, 4));
    }
}
