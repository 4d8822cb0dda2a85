//! A curve through measured points: the simplest form that comes near to the best one, and how far off it is.

use nalgebra::{DMatrix, DVector};

/// Fewer points than this tell no form from another.
pub const LEAST_POINTS: usize = 5;
/// A curve that misses one of its points by more than this share of it is not to be reckoned with.
pub const RECKON: f64 = 0.15;
/// A simpler form is taken if its largest residual is no more than this above the best form's, or than this multiple of it: less is
/// noise.
const NEAR: f64 = 0.02;
const NEAR_TIMES: f64 = 1.5;
/// Residuals are shares of a point's value, or of this share of the largest value where the point has less.
const FLOOR: f64 = 0.01;
/// A curve tells nothing beyond this multiple of the largest x that was measured.
pub const FAR: f64 = 10.0;
/// Singular values below this are none.
const EPSILON: f64 = 1e-12;

/// How y grows with x; simpler ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Not at all.
    Constant,
    /// With its logarithm.
    Log,
    /// In proportion, beside a fixed part.
    Linear,
    /// With x log x.
    NLogN,
    /// With its square.
    Square,
}

impl Form {
    /// All of them, simpler ones first.
    pub const ALL: [Self; 5] = [Self::Constant, Self::Log, Self::Linear, Self::NLogN, Self::Square];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Constant => "constant",
            Self::Log => "log",
            Self::Linear => "linear",
            Self::NLogN => "n log n",
            Self::Square => "square",
        }
    }

    /// What the slope is multiplied by; nothing for a constant.
    fn term(self, x: f64) -> Option<f64> {
        match self {
            Self::Constant => None,
            Self::Log => Some(x.ln()),
            Self::Linear => Some(x),
            Self::NLogN => Some(x * x.ln()),
            Self::Square => Some(x * x),
        }
    }

    fn takes_zero(self) -> bool {
        match self {
            Self::Constant | Self::Linear | Self::Square => true,
            Self::Log | Self::NLogN => false,
        }
    }
}

/// A curve: y = base + slope * term(x).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Its form.
    pub form: Form,
    /// The fixed part.
    pub base: f64,
    /// What grows.
    pub slope: f64,
    /// The largest miss at a point, as a share of its value.
    pub residual: f64,
    /// From and to which x it was measured.
    pub range: (f64, f64),
    /// A value below 0 was among them.
    pub negative: bool,
}

impl Fit {
    /// What the curve gives at x.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.form.term(x).map_or(0.0, |t| self.slope * t)
    }

    /// True if it may be reckoned with where it was measured.
    pub fn sound(&self) -> bool {
        self.residual <= RECKON
    }

    /// True if it may be reckoned with at x: not far beyond what was measured unless it does not grow, and no less than nothing where
    /// nothing measured was.
    pub fn sound_at(&self, x: f64) -> bool {
        let near = self.form == Form::Constant || x <= FAR * self.range.1;
        self.sound() && near && (self.negative || self.at(x) >= 0.0)
    }

    /// In words.
    pub fn words(&self) -> String {
        let term = match self.form {
            Form::Constant => String::new(),
            Form::Log => format!(" + {:.4e} ln x", self.slope),
            Form::Linear => format!(" + {:.4e} x", self.slope),
            Form::NLogN => format!(" + {:.4e} x ln x", self.slope),
            Form::Square => format!(" + {:.4e} x^2", self.slope),
        };
        let verdict = if self.sound() { "" } else { ", not to reckon with" };
        format!(
            "{}: {:.4e}{term}, off by {:.1}% at most{verdict}",
            self.form.name(),
            self.base,
            self.residual * 100.0
        )
    }
}

/// The curve through some points (x, y).
pub fn fit(points: &[(f64, f64)]) -> Result<Fit, String> {
    let mut places: Vec<f64> = points.iter().map(|p| p.0).collect();
    places.sort_unstable_by(f64::total_cmp);
    places.dedup();
    if places.len() < LEAST_POINTS {
        return Err(format!("{} points; a curve takes {LEAST_POINTS} at least", places.len()));
    }
    if let Some((x, y)) = points.iter().find(|(x, y)| !x.is_finite() || !y.is_finite() || *x < 0.0) {
        return Err(format!("no curve goes through ({x}, {y})"));
    }
    let range = (places[0], places[places.len() - 1]);
    let forms = Form::ALL.into_iter().filter(|f| f.takes_zero() || range.0 > 0.0);
    let fits = forms.map(|form| through(form, points, range)).collect::<Result<Vec<Fit>, String>>()?;
    let best = fits.iter().map(|f| f.residual).fold(f64::INFINITY, f64::min);
    let near = |f: &&Fit| f.residual <= (best + NEAR).max(best * NEAR_TIMES);
    fits.iter().find(near).copied().ok_or_else(|| "no curve goes through these points".to_string())
}

/// Least squares of the residuals as shares, so that small values count like large ones.
fn through(form: Form, points: &[(f64, f64)], range: (f64, f64)) -> Result<Fit, String> {
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let unit = |y: f64| y.abs().max(FLOOR * largest).max(f64::MIN_POSITIVE);
    let columns = if form.term(1.0).is_some() { 2 } else { 1 };
    // Terms are scaled to the largest, or squares would drown the fixed part.
    let scale = form.term(range.1).map_or(1.0, f64::abs).max(f64::MIN_POSITIVE);
    let cell = |row: usize, column: usize| {
        let (x, y) = points[row];
        let term = form.term(x).filter(|_| column > 0).map_or(1.0, |t| t / scale);
        term / unit(y)
    };
    let a = DMatrix::from_fn(points.len(), columns, cell);
    let b = DVector::from_fn(points.len(), |row, _| points[row].1 / unit(points[row].1));
    let solved = a.svd(true, true).solve(&b, EPSILON).map_err(str::to_string)?;
    let slope = solved.iter().nth(1).map_or(0.0, |s| s / scale);
    let base = solved.iter().next().copied().unwrap_or(0.0);
    let negative = points.iter().any(|p| p.1 < 0.0);
    let mut fit = Fit { form, base, slope, residual: 0.0, range, negative };
    fit.residual = points.iter().map(|(x, y)| (fit.at(*x) - y).abs() / unit(*y)).fold(0.0, f64::max);
    Ok(fit)
}
