//! Plots a result as SVG: outcomes of requests, times to an answer and the load of each server over time, with the
//! faults shaded.

use std::ops::Range;
use std::path::Path;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::error::FileError;
use crate::result::{RunResult, SecondResult};

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Panel<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
/// The name of a line, and its value for a second.
type Series = (&'static str, fn(&SecondResult) -> f64);
type PlotResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

/// The size of the plot in pixels.
const SIZE: (u32, u32) = (1000, 1080);
/// The colours of a panel's lines, in their order.
const COLOURS: [RGBColor; 5] = [
    RGBColor(38, 139, 84),
    RGBColor(214, 150, 40),
    RGBColor(70, 110, 190),
    RGBColor(200, 60, 60),
    RGBColor(120, 120, 120),
];

/// Writes the plot of a result.
///
/// # Errors
/// The file can't be written.
pub fn write(result: &RunResult, path: &Path) -> Result<(), FileError> {
    draw(result, path).map_err(FileError::write(path))
}

fn draw(result: &RunResult, path: &Path) -> PlotResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let title = format!(
        "{}, seed {}: served {:.3}, {}",
        result.name, result.seed, result.service.served, result.verdict
    );
    let body = root.titled(&title, ("sans-serif", 20))?;
    let panels = body.split_evenly((3, 1));
    draw_outcomes(result, &panels[0])?;
    draw_latencies(result, &panels[1])?;
    draw_server_load(result, &panels[2])?;
    root.present()
}

/// Draws a panel with its axes, and the faults shaded.
fn panel<'a, 'b>(
    result: &RunResult,
    area: &'a Area<'b>,
    caption: &str,
    max_y: f64,
) -> Result<Panel<'a, 'b>, DrawingAreaErrorKind<std::io::Error>> {
    let x: Range<f64> = 0.0..result.length_s.max(1.0);
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(caption, ("sans-serif", 15))
        .x_label_area_size(28)
        .y_label_area_size(52)
        .build_cartesian_2d(x, 0.0..max_y.max(1.0))?;
    chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw()?;
    let shade = RGBColor(200, 60, 60).mix(0.10).filled();
    chart.draw_series(result.faults.iter().map(|fault| {
        let until = fault.until_s.max(fault.at_s + 0.2);
        Rectangle::new([(fault.at_s, 0.0), (until, max_y.max(1.0))], shade)
    }))?;
    Ok(chart)
}

fn draw_lines<'a, 'b: 'a>(
    chart: &mut Panel<'a, 'b>,
    seconds: &[SecondResult],
    series: &[Series],
) -> PlotResult {
    for ((name, value), colour) in series.iter().zip(COLOURS) {
        let points = seconds.iter().enumerate().map(|(s, second)| (s as f64 + 0.5, value(second)));
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}

fn draw_outcomes(result: &RunResult, area: &Area<'_>) -> PlotResult {
    let max = result.seconds.iter().map(|s| s.ends.all() as f64).fold(0.0, f64::max);
    let mut chart = panel(result, area, "requests a second, by the second of asking", max * 1.1)?;
    draw_lines(
        &mut chart,
        &result.seconds,
        &[
            ("in time", |s| s.ends.in_time as f64),
            ("late", |s| s.ends.late as f64),
            ("refused", |s| s.ends.refused as f64),
            ("failed", |s| s.ends.failed as f64),
            ("unanswered", |s| s.ends.unanswered as f64),
        ],
    )
}

fn draw_latencies(result: &RunResult, area: &Area<'_>) -> PlotResult {
    let max = result.seconds.iter().map(|s| s.took_ms.p99).fold(0.0, f64::max);
    let mut chart = panel(result, area, "time to an answer, ms", max * 1.1)?;
    draw_lines(
        &mut chart,
        &result.seconds,
        &[("p50", |s| s.took_ms.p50), ("p90", |s| s.took_ms.p90), ("p99", |s| s.took_ms.p99)],
    )
}

/// Draws one line for each server, without names: the plot is to show outliers.
fn draw_server_load(result: &RunResult, area: &Area<'_>) -> PlotResult {
    let max = result.server_load.iter().flatten().copied().max().unwrap_or(0);
    let mut chart = panel(result, area, "attempts a second at each server", f64::from(max) * 1.1)?;
    let servers = result.server_load.len().max(1);
    for (n, load) in result.server_load.iter().enumerate() {
        let colour = HSLColor(n as f64 / servers as f64, 0.6, 0.45);
        // Attempts after the last first try belong to no second of the result.
        let load = load.iter().take(result.seconds.len()).enumerate();
        let points = load.map(|(s, count)| (s as f64 + 0.5, f64::from(*count)));
        chart.draw_series(LineSeries::new(points, colour.mix(0.7)))?;
    }
    Ok(())
}
