//! Plots of latency percentiles.

use std::path::Path;

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::caller::result::Results;

/// A plot that could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A result file has no readable histogram for a kind.
    #[error("histogram of {0} is damaged")]
    Histogram(String),
    /// No file has a latency to show.
    #[error("there are no latencies to plot")]
    Empty,
    /// The file could not be drawn or written.
    #[error("plot cannot be written")]
    Draw,
}

/// A named line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Legend text.
    pub name: String,
    /// Latencies in microseconds.
    pub histogram: Histogram<u64>,
}

/// One line per kind with whole answers.
pub fn lines(name: &str, results: &Results) -> Result<Vec<Line>, Report<Error>> {
    results
        .kinds
        .iter()
        .filter(|(_, kind)| kind.latency.count > 0)
        .map(|(kind_name, kind)| {
            let name = format!("{name} {kind_name}");
            match kind.latency.decode() {
                Some(histogram) => Ok(Line { name, histogram }),
                None => Err(Report::new(Error::Histogram(name))),
            }
        })
        .collect()
}

/// Points of a line: the number of nines of the quantile and the latency in
/// milliseconds. It ends where a quantile rests on a single value.
fn points(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let end = (histogram.len().max(1) as f64).log10();
    let steps = 200;
    (0..=steps)
        .map(|step| {
            let nines = end * f64::from(step) / f64::from(steps);
            let micros = histogram.value_at_quantile(1.0 - 10_f64.powf(-nines));
            (nines, micros.max(1) as f64 / 1e3)
        })
        .collect()
}

/// Draws latency over percentile, both axes logarithmic, so that the tail of
/// the distribution takes as much room as its middle.
pub fn percentiles(lines: &[Line], out: &Path) -> Result<(), Report<Error>> {
    let drawn: Vec<_> = lines.iter().map(|line| points(&line.histogram)).collect();
    let mut all = drawn.iter().flatten().copied();
    let (mut nines, mut low, mut high) = all
        .next()
        .map(|(nines, ms)| (nines, ms, ms))
        .ok_or(Error::Empty)?;
    for (x, y) in all {
        nines = nines.max(x);
        low = low.min(y);
        high = high.max(y);
    }
    let draw = || Error::Draw;
    let root = SVGBackend::new(out, (960, 600)).into_drawing_area();
    root.fill(&WHITE).change_context_lazy(draw)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(64)
        // A constant latency needs a range as well.
        .build_cartesian_2d(0.0..nines.max(1.0), (low / 1.1..high * 1.1).log_scale())
        .change_context_lazy(draw)?;
    chart
        .configure_mesh()
        .x_desc("percentile")
        .y_desc("latency in ms from the intended start")
        .x_label_formatter(&|nines| {
            let percent = (1.0 - 10_f64.powf(-nines)) * 100.0;
            // One decimal more than nines, to tell the labels apart.
            let decimals = nines.max(0.0) as usize;
            format!("{percent:.decimals$}")
        })
        .draw()
        .change_context_lazy(draw)?;
    for (index, (line, points)) in lines.iter().zip(drawn).enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .change_context_lazy(draw)?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.4))
        .draw()
        .change_context_lazy(draw)?;
    root.present().change_context_lazy(draw)
}
