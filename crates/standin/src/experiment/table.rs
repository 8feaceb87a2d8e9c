//! Markdown tables.

/// Formats a table; columns are as wide as their longest cell. All columns but
/// the first are aligned to the right.
pub fn format(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let cells = cells.map(|cell| cell.chars().count());
        cells
            .chain([head[column].chars().count()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: &[String]| {
        let mut line = String::from("|");
        for (column, width) in widths.iter().copied().enumerate() {
            let cell = cells.get(column).map_or("", String::as_str);
            line += &if column == 0 {
                format!(" {cell:<width$} |")
            } else {
                format!(" {cell:>width$} |")
            };
        }
        line + "\n"
    };
    let rule: Vec<String> = widths
        .iter()
        .enumerate()
        .map(|(column, width)| match column {
            0 => "-".repeat(*width),
            _ => "-".repeat(width.saturating_sub(1)) + ":",
        })
        .collect();
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let lines = [head, rule].into_iter().chain(rows.iter().cloned());
    lines.map(|cells| line(&cells)).collect()
}

/// A figure with `decimals`, or a dash.
pub fn number(value: Option<f64>, decimals: usize) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.decimals$}"))
}
