//! Latency distributions as a table and a plot.

use std::{collections::BTreeMap, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use clap::ArgMatches;
use hdrhistogram::{Histogram, serialization::Deserializer};
use serde_json::json;

use super::{
    Output,
    admin::{Client, Latency, Series},
    error::Result,
    fleet, output,
};

/// Width of the plot in columns.
const PLOT_COLUMNS: usize = 60;

/// Characters of the plot, from the smallest share of requests to the largest.
const PLOT_MARKS: &[u8] = b".:-=+*#%@";

/// Maximum number of rows in text output. Those with fewer requests are in the
/// JSON output only.
const MAX_ROWS: usize = 30;

pub(super) async fn latency(matches: &ArgMatches, daemons: &Client) -> Result<Output> {
    fleet::require_daemons(daemons)?;
    let by: &String = matches.get_one("by").expect("has a default");
    let mut problems = Vec::new();
    let mut merged = BTreeMap::<String, Histogram<u64>>::new();
    for (address, reply) in daemons.get::<Latency>("/latency").await {
        let series = reply.map(|latency| match &**by {
            "customer" => latency.by_customer,
            _ => latency.by_class,
        });
        if let Err(error) = series.and_then(|series| merge(&mut merged, series)) {
            problems.push(format!("{address}: {error}"));
        }
    }
    let mut merged: Vec<_> = merged.into_iter().collect();
    merged.sort_by_key(|(_, histogram)| std::cmp::Reverse(histogram.len()));
    let items: Vec<_> = merged
        .iter()
        .map(|(name, histogram)| {
            json!({
                "name": name,
                "count": histogram.len(),
                "p50_us": histogram.value_at_quantile(0.5),
                "p99_us": histogram.value_at_quantile(0.99),
                "p999_us": histogram.value_at_quantile(0.999),
                "max_us": histogram.max(),
            })
        })
        .collect();
    let shown = &merged[..merged.len().min(MAX_ROWS)];
    let mut text = format!("{}\n{}", table(by, shown), plot(shown));
    if merged.len() > MAX_ROWS {
        text.push_str(&format!("and {} more\n", merged.len() - MAX_ROWS));
    }
    Ok(fleet::with_problems(
        Output::new(text, json!(items)),
        problems,
    ))
}

/// Adds the distributions of one daemon; adds none if any cannot be decoded.
fn merge(
    merged: &mut BTreeMap<String, Histogram<u64>>,
    series: Vec<Series>,
) -> std::result::Result<(), String> {
    let mut decoded = Vec::new();
    for Series {
        name, histogram, ..
    } in series
    {
        let bytes = STANDARD
            .decode(&histogram)
            .map_err(|error| format!("histogram of {name}: {error}"))?;
        let histogram: Histogram<u64> = Deserializer::new()
            .deserialize(&mut &bytes[..])
            .map_err(|error| format!("histogram of {name}: {error}"))?;
        decoded.push((name, histogram));
    }
    for (name, histogram) in decoded {
        let sum = merged.entry(name).or_insert_with(|| {
            let mut empty = Histogram::new_from(&histogram);
            empty.auto(true);
            empty
        });
        // The sum resizes automatically, so that no value is out of its range.
        sum.add(&histogram).map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn micros(value: u64) -> String {
    output::duration(Duration::from_micros(value))
}

fn table(by: &str, series: &[(String, Histogram<u64>)]) -> String {
    let rows: Vec<_> = series
        .iter()
        .map(|(name, histogram)| {
            let quantile = |quantile| micros(histogram.value_at_quantile(quantile));
            vec![
                name.clone(),
                histogram.len().to_string(),
                quantile(0.5),
                quantile(0.99),
                quantile(0.999),
                micros(histogram.max()),
            ]
        })
        .collect();
    output::table(&[by, " requests", " p50", " p99", " p99.9", " max"], &rows)
}

/// Draws one line per distribution over a logarithmic axis. The mark of a
/// column depends on the logarithm of its request count, so that a rare slow
/// request remains visible.
fn plot(series: &[(String, Histogram<u64>)]) -> String {
    let bounds = series
        .iter()
        .filter(|(_, histogram)| !histogram.is_empty())
        .map(|(_, histogram)| (histogram.min_nz().max(1), histogram.max().max(1)))
        .reduce(|a, b| (a.0.min(b.0), a.1.max(b.1)));
    let Some((low, high)) = bounds else {
        return String::new();
    };
    let span = (high as f64 / low as f64).ln();
    let column = |value: u64| {
        let share = (value.max(low) as f64 / low as f64).ln() / span.max(f64::MIN_POSITIVE);
        ((share * PLOT_COLUMNS as f64) as usize).min(PLOT_COLUMNS - 1)
    };
    let width = series
        .iter()
        .map(|(name, _)| name.chars().count())
        .max()
        .unwrap_or(0);
    let mut text = String::new();
    for (name, histogram) in series {
        let mut counts = [0u64; PLOT_COLUMNS];
        for value in histogram.iter_recorded() {
            counts[column(value.value_iterated_to())] += value.count_at_value();
        }
        let max_count = counts.iter().max().copied().unwrap_or(0).max(1) as f64;
        let line: String = counts
            .iter()
            .map(|&count| match count {
                0 => ' ',
                count => {
                    let share = (count as f64).ln_1p() / max_count.ln_1p();
                    let mark = (share * PLOT_MARKS.len() as f64).ceil() as usize;
                    char::from(PLOT_MARKS[mark.clamp(1, PLOT_MARKS.len()) - 1])
                }
            })
            .collect();
        let gap = " ".repeat(width - name.chars().count());
        text.push_str(&format!("{name}{gap} |{line}|\n"));
    }
    let (low, high) = (micros(low), micros(high));
    let space = " ".repeat((PLOT_COLUMNS + 2).saturating_sub(low.len() + high.len()));
    text.push_str(&format!("{} {low}{space}{high}\n", " ".repeat(width)));
    text
}
