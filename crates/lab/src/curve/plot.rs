//! Plots curves as SVG: goodput against offered load, and the recovery time after an overload.

use std::path::Path;

use plotters::prelude::*;

use super::Curve;
use crate::error::FileError;

type PlotResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;
type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// The size of the plot in pixels.
const SIZE: (u32, u32) = (1000, 820);
const CURRENT: RGBColor = RGBColor(38, 139, 84);
const EARLIER: RGBColor = RGBColor(200, 60, 60);
const RANDOM: RGBColor = RGBColor(150, 150, 150);
const ORACLE: RGBColor = RGBColor(70, 110, 190);

/// Writes the plot of a curve, with an earlier curve for comparison where there is one.
///
/// # Errors
/// The file can't be written.
pub fn write(curve: &Curve, earlier: Option<&Curve>, path: &Path) -> Result<(), FileError> {
    draw(curve, earlier, path).map_err(FileError::write(path))
}

/// A line: its name, its colour and its points.
struct Line {
    name: &'static str,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

fn line(
    name: &'static str,
    colour: RGBColor,
    curve: &Curve,
    value: impl Fn(&super::Point) -> Option<f64>,
) -> Line {
    let points = curve.points.iter().filter_map(|p| Some((p.load, value(p)?)));
    Line { name, colour, points: points.collect() }
}

/// The median recovery time of the draws; `None` where service had not recovered in the median draw.
fn median_recovery(point: &super::Point) -> Option<f64> {
    point.recover_s.get(point.recover_s.len().checked_sub(1)? / 2).copied().flatten()
}

fn draw(curve: &Curve, earlier: Option<&Curve>, path: &Path) -> PlotResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let [nodes, servers] = curve.fleet;
    let title =
        format!("{}: {nodes} nodes, {servers} servers, {} draws a point", curve.name, curve.seeds.len());
    let body = root.titled(&title, ("sans-serif", 20))?;
    let (top, bottom) = body.split_vertically(480);
    let mut goodput = vec![
        line("now", CURRENT, curve, |p| Some(p.goodput[1])),
        line("random choice", RANDOM, curve, |p| Some(p.random)),
        line("oracle", ORACLE, curve, |p| Some(p.oracle)),
    ];
    let mut recovery = vec![line("now", CURRENT, curve, median_recovery)];
    if let Some(earlier) = earlier {
        goodput.push(line("before", EARLIER, earlier, |p| Some(p.goodput[1])));
        recovery.push(line("before", EARLIER, earlier, median_recovery));
    }
    panel(&top, "goodput, as a share of capacity", "offered load, as a share of capacity", &goodput)?;
    let caption = "seconds from an overload's end until service is back (median draw; none: not back)";
    panel(&bottom, caption, "load during the overload, as a share of capacity", &recovery)?;
    root.present()
}

fn panel(area: &Area<'_>, caption: &str, x_axis: &str, lines: &[Line]) -> PlotResult {
    let points = || lines.iter().flat_map(|l| &l.points);
    let (min, max) = points().fold((f64::INFINITY, 0.0_f64), |(a, b), p| (a.min(p.0), b.max(p.0)));
    let height = points().map(|p| p.1).fold(0.0, f64::max).max(1.0);
    let width = if min < max { min..max } else { 0.0..1.0 };
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(caption, ("sans-serif", 15))
        .x_label_area_size(32)
        .y_label_area_size(52)
        .build_cartesian_2d(width, 0.0..height * 1.1)?;
    chart.configure_mesh().x_desc(x_axis).light_line_style(WHITE).draw()?;
    for Line { name, colour, points } in lines {
        let (colour, points) = (*colour, points.clone());
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}
