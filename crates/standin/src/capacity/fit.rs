//! Least squares.

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at 0.
    pub intercept: f64,
    /// Change of the value per unit.
    pub slope: f64,
    /// Standard deviation of the values from the line, with two degrees of
    /// freedom taken off; 0 for two points.
    pub residual: f64,
}

impl Line {
    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The line with the least sum of squared deviations, or `None` if the points
/// don't determine one.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let (x, y) = points
        .iter()
        .fold((0.0, 0.0), |sum, point| (sum.0 + point.0, sum.1 + point.1));
    let (x, y) = (x / count, y / count);
    let (mut square, mut product) = (0.0, 0.0);
    for point in points {
        square += (point.0 - x).powi(2);
        product += (point.0 - x) * (point.1 - y);
    }
    if square.is_nan() || square <= 0.0 {
        return None;
    }
    let slope = product / square;
    let line = Line {
        intercept: y - slope * x,
        slope,
        residual: 0.0,
    };
    let error: f64 = points
        .iter()
        .map(|point| (point.1 - line.at(point.0)).powi(2))
        .sum();
    let freedom = (count - 2.0).max(1.0);
    Some(Line {
        residual: (error / freedom).sqrt(),
        ..line
    })
}
