//! Curves through measured points: the simplest form whose residual is close to that of the best form.

use nalgebra::{DMatrix, DVector};

/// The minimum of positions. Fewer do not distinguish the forms.
pub const MIN_POINTS: usize = 5;
/// The maximum residual of a reliable curve at any of its points.
pub const MAX_RESIDUAL: f64 = 0.15;
/// A simpler form is preferred if its residual exceeds that of the best form by at most this much: a smaller difference is noise.
const NOISE_MARGIN: f64 = 0.02;
/// A simpler form is preferred as well if its residual is at most this multiple of that of the best form.
const NOISE_FACTOR: f64 = 1.5;
/// Residuals are relative to the value of their point, but at least to this share of the largest value.
const MIN_SCALE_SHARE: f64 = 0.01;
/// A growing curve is reliable up to this multiple of the largest measured x.
pub const MAX_EXTRAPOLATION: f64 = 10.0;
/// Singular values below this count as zero.
const SINGULAR_EPSILON: f64 = 1e-12;

/// How y grows with x, from the simplest form to the most complex.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// y does not grow.
    Constant,
    /// y grows with ln x.
    Log,
    /// y grows with x.
    Linear,
    /// y grows with x ln x.
    NLogN,
    /// y grows with x squared.
    Square,
}

impl Form {
    /// All forms, from the simplest to the most complex.
    pub const ALL: [Self; 5] = [Self::Constant, Self::Log, Self::Linear, Self::NLogN, Self::Square];

    /// The name of the form in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Log => "log",
            Self::Linear => "linear",
            Self::NLogN => "n log n",
            Self::Square => "square",
        }
    }

    /// Returns the factor of the slope at x; a constant has none.
    fn term(self, x: f64) -> Option<f64> {
        match self {
            Self::Constant => None,
            Self::Log => Some(x.ln()),
            Self::Linear => Some(x),
            Self::NLogN => Some(x * x.ln()),
            Self::Square => Some(x * x),
        }
    }

    /// Whether the form is defined at x = 0.
    fn allows_zero(self) -> bool {
        match self {
            Self::Constant | Self::Linear | Self::Square => true,
            Self::Log | Self::NLogN => false,
        }
    }
}

/// A fitted curve: y = base + slope * term(x).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The form of the curve.
    pub form: Form,
    /// The constant part.
    pub base: f64,
    /// The factor of the form's term.
    pub slope: f64,
    /// The largest difference from a point, as a share of the value of the point.
    pub residual: f64,
    /// The smallest and the largest measured x.
    pub range: (f64, f64),
    /// Whether a measured value was below 0.
    pub negative: bool,
}

impl Fit {
    /// Returns the value of the curve at x.
    pub fn value_at(&self, x: f64) -> f64 {
        self.base + self.form.term(x).map_or(0.0, |t| self.slope * t)
    }

    /// Whether the curve is reliable within the measured range.
    pub fn is_reliable(&self) -> bool {
        self.residual <= MAX_RESIDUAL
    }

    /// Whether the curve is reliable at x: a curve that grows only up to [`MAX_EXTRAPOLATION`], and none at a value below 0 unless such
    /// a value was measured.
    pub fn is_reliable_at(&self, x: f64) -> bool {
        let in_range = self.form == Form::Constant || x <= MAX_EXTRAPOLATION * self.range.1;
        self.is_reliable() && in_range && (self.negative || self.value_at(x) >= 0.0)
    }

    /// Describes the curve: form, equation and residual.
    pub fn describe(&self) -> String {
        let term = match self.form {
            Form::Constant => String::new(),
            Form::Log => format!(" + {:.4e} ln x", self.slope),
            Form::Linear => format!(" + {:.4e} x", self.slope),
            Form::NLogN => format!(" + {:.4e} x ln x", self.slope),
            Form::Square => format!(" + {:.4e} x^2", self.slope),
        };
        let reliability = if self.is_reliable() { "" } else { ", unreliable" };
        format!(
            "{}: {:.4e}{term}, off by {:.1}% at most{reliability}",
            self.form.name(),
            self.base,
            self.residual * 100.0
        )
    }
}

/// Fits a curve to points (x, y).
///
/// # Errors
/// If there are too few positions, or a point that no curve can have.
pub fn fit(points: &[(f64, f64)]) -> Result<Fit, String> {
    let mut positions: Vec<f64> = points.iter().map(|p| p.0).collect();
    positions.sort_unstable_by(f64::total_cmp);
    positions.dedup();
    if positions.len() < MIN_POINTS {
        return Err(format!("{} points; a curve needs at least {MIN_POINTS}", positions.len()));
    }
    if let Some((x, y)) = points.iter().find(|(x, y)| !x.is_finite() || !y.is_finite() || *x < 0.0) {
        return Err(format!("a curve cannot include the point ({x}, {y})"));
    }
    let range = (positions[0], positions[positions.len() - 1]);
    let forms = Form::ALL.into_iter().filter(|f| f.allows_zero() || range.0 > 0.0);
    let fits = forms.map(|form| fit_form(form, points, range)).collect::<Result<Vec<Fit>, String>>()?;
    let best = fits.iter().map(|f| f.residual).fold(f64::INFINITY, f64::min);
    let close = |f: &&Fit| f.residual <= (best + NOISE_MARGIN).max(best * NOISE_FACTOR);
    fits.iter().find(close).copied().ok_or_else(|| "no form fits these points".to_string())
}

/// Fits one form by least squares of the relative residuals, so that small values count as much as large ones.
fn fit_form(form: Form, points: &[(f64, f64)], range: (f64, f64)) -> Result<Fit, String> {
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let scale_of = |y: f64| y.abs().max(MIN_SCALE_SHARE * largest).max(f64::MIN_POSITIVE);
    let columns = if form.term(1.0).is_some() { 2 } else { 1 };
    // Terms are scaled to the largest one; otherwise squares would make the constant part numerically negligible.
    let term_scale = form.term(range.1).map_or(1.0, f64::abs).max(f64::MIN_POSITIVE);
    let cell = |row: usize, column: usize| {
        let (x, y) = points[row];
        let term = form.term(x).filter(|_| column > 0).map_or(1.0, |t| t / term_scale);
        term / scale_of(y)
    };
    let a = DMatrix::from_fn(points.len(), columns, cell);
    let b = DVector::from_fn(points.len(), |row, _| points[row].1 / scale_of(points[row].1));
    let solved = a.svd(true, true).solve(&b, SINGULAR_EPSILON).map_err(str::to_string)?;
    let slope = solved.iter().nth(1).map_or(0.0, |s| s / term_scale);
    let base = solved.iter().next().copied().unwrap_or(0.0);
    let negative = points.iter().any(|p| p.1 < 0.0);
    let mut fit = Fit { form, base, slope, residual: 0.0, range, negative };
    fit.residual =
        points.iter().map(|(x, y)| (fit.value_at(*x) - y).abs() / scale_of(*y)).fold(0.0, f64::max);
    Ok(fit)
}
