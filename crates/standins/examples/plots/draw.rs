//! Drawing of a plot with several series.

use derive_more::{Display, From};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (860, 420);
const COLORS: [RGBColor; 4] = [
    RGBColor(200, 60, 40),
    RGBColor(30, 90, 180),
    RGBColor(120, 120, 120),
    RGBColor(30, 140, 80),
];

/// A series of points.
pub struct PlotSeries {
    /// The series' name in the legend.
    pub name: String,
    /// The points.
    pub points: Vec<(f64, f64)>,
    /// Whether the points are joined by a line.
    pub is_line: bool,
}

/// A failure to measure or draw a plot.
#[derive(Debug, Display, From)]
pub enum DrawError {
    /// The measurement or the file failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The drawing failed.
    #[from(skip)]
    #[display("{_0}")]
    Plot(String),
}

impl std::error::Error for DrawError {}

/// Draws `series` into the SVG file at `path`.
///
/// # Errors
/// Returns an error if the plot can't be drawn or written.
pub fn draw(
    path: &Path,
    title: &str,
    x_name: &str,
    y_name: &str,
    series: &[PlotSeries],
) -> Result<(), DrawError> {
    let points = || series.iter().flat_map(|series| &series.points);
    let maximum =
        |axis: fn(&(f64, f64)) -> f64| points().map(axis).fold(f64::MIN_POSITIVE, f64::max);
    let min_x = points().map(|point| point.0).fold(f64::MAX, f64::min);
    let (max_x, max_y) = (maximum(|point| point.0), maximum(|point| point.1) * 1.05);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(min_x..max_x, 0.0..max_y)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc(x_name)
        .y_desc(y_name)
        .draw()
        .map_err(plot_error)?;
    for (series, color) in series.iter().zip(COLORS.iter().cycle()) {
        let points = series.points.iter().copied();
        let drawn = if series.is_line {
            chart.draw_series(LineSeries::new(points, color.stroke_width(2)))
        } else {
            chart.draw_series(PointSeries::<_, _, Circle<_, _>, _>::new(
                points,
                2,
                color.filled(),
            ))
        };
        drawn
            .map_err(plot_error)?
            .label(series.name.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK.mix(0.3))
        .position(SeriesLabelPosition::UpperLeft)
        .draw()
        .map_err(plot_error)?;
    root.present().map_err(plot_error)
}

fn plot_error<Cause>(cause: Cause) -> DrawError
where
    Cause: std::fmt::Display,
{
    DrawError::Plot(cause.to_string())
}
