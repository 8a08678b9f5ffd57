//! SVG plot of answered and other requests over time.

use super::report::{Step, TIMELINE_INTERVAL};
use eyre::{Result, eyre};
use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};
use std::path::Path;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (960, 360);

/// Writes answered (blue) and other (red) requests per second of all steps to an SVG file.
///
/// # Errors
/// If the file cannot be written.
pub fn write(path: &Path, steps: &[Step]) -> Result<()> {
    let (answered, other) = points(steps);
    let width = answered.last().map_or(1.0, |p| p.0);
    let height = answered
        .iter()
        .chain(&other)
        .map(|p| p.1)
        .fold(1.0, f64::max);
    draw(path, width, height, &[(answered, BLUE), (other, RED)]).map_err(|e| eyre!("{path:?}: {e}"))
}

type Points = Vec<(f64, f64)>;

/// Points of answered and of other requests: seconds since the first step, requests per second.
fn points(steps: &[Step]) -> (Points, Points) {
    let per_second = 1.0 / TIMELINE_INTERVAL.as_secs_f64();
    let intervals = steps.iter().flat_map(|step| {
        let timeline = &step.timeline;
        timeline.answered.iter().zip(&timeline.other)
    });
    intervals
        .enumerate()
        .map(|(i, (&answered, &other))| {
            let at = i as f64 * TIMELINE_INTERVAL.as_secs_f64();
            (
                (at, answered as f64 * per_second),
                (at, other as f64 * per_second),
            )
        })
        .unzip()
}

fn draw(
    path: &Path,
    width: f64,
    height: f64,
    series: &[(Points, RGBColor)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..width, 0.0..height * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests/s (blue: answered, red: other)")
        .label_style(("sans-serif", 12).into_font())
        .draw()?;
    for (points, colour) in series {
        chart.draw_series(LineSeries::new(points.iter().copied(), *colour))?;
    }
    root.present()?;
    Ok(())
}
