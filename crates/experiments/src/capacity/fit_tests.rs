//! Tests of curve fitting: each form is recognized through noise, and points without a curve are rejected.

use super::fit::{fit, Fit, Form, MAX_EXTRAPOLATION, MAX_RESIDUAL};
use basaltgw_simulator::{draw, rng};

const POSITIONS: [f64; 7] = [50.0, 100.0, 200.0, 400.0, 800.0, 1100.0, 1600.0];

/// Returns points of a curve with relative noise up to `noise`.
fn points(curve: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = rng(seed, 0);
    POSITIONS.iter().map(|x| (*x, curve(*x) * (1.0 + noise * (2.0 * draw(&mut rng) - 1.0)))).collect()
}

fn is_close(value: f64, expected: f64, tolerance: f64) -> bool {
    (value - expected).abs() <= tolerance * expected.abs()
}

/// Returns a curve of the form.
fn curve(form: Form) -> fn(f64) -> f64 {
    match form {
        Form::Constant => |_| 42.0,
        Form::Log => |x| 3.0 + 8.0 * x.ln(),
        Form::Linear => |x| 500.0 + 27.0 * x,
        Form::NLogN => |x| 10.0 + 2.0 * x * x.ln(),
        Form::Square => |x| 900.0 + 0.5 * x * x,
    }
}

#[test]
fn each_form_is_recognized_and_extrapolated() {
    for form in Form::ALL {
        for seed in 0..20 {
            let exact = fit(&points(curve(form), 0.0, seed)).expect("the points have a curve");
            assert_eq!(exact.form, form, "{}", exact.describe());
            assert!(exact.residual < 1e-9 && exact.is_reliable(), "{}", exact.describe());
            assert!(is_close(exact.value_at(4300.0), curve(form)(4300.0), 1e-6), "{}", exact.describe());
            let noisy: Fit = fit(&points(curve(form), 0.01, seed)).expect("the points have a curve");
            assert_eq!(noisy.form, form, "{}", noisy.describe());
            assert!(
                noisy.is_reliable() && is_close(noisy.value_at(4300.0), curve(form)(4300.0), 0.1),
                "{}",
                noisy.describe()
            );
        }
    }
}

#[test]
fn noise_alone_is_a_constant() {
    for seed in 0..20 {
        let fitted = fit(&points(curve(Form::Constant), 0.015, seed)).expect("the points have a curve");
        assert_eq!(fitted.form, Form::Constant, "{}", fitted.describe());
    }
}

#[test]
fn falling_values_give_a_negative_slope() {
    let fitted = fit(&points(|x| 900.0 - 0.3 * x, 0.0, 1)).expect("the points have a curve");
    assert!(fitted.form == Form::Linear && is_close(fitted.slope, -0.3, 1e-6), "{}", fitted.describe());
}

#[test]
fn fewer_than_five_positions_are_rejected_whatever_the_number_of_points() {
    let four: Vec<(f64, f64)> = points(curve(Form::Linear), 0.0, 1).into_iter().take(4).collect();
    assert!(fit(&four).expect_err("four positions are too few").contains("4 points"));
    let repeated: Vec<(f64, f64)> = four.iter().chain(&four).copied().collect();
    assert!(fit(&repeated).is_err());
}

#[test]
fn points_that_are_not_finite_or_left_of_zero_are_rejected() {
    for invalid in [(10.0, f64::NAN), (f64::INFINITY, 1.0), (-1.0, 1.0)] {
        let mut all = points(curve(Form::Linear), 0.0, 1);
        all.push(invalid);
        assert!(fit(&all).is_err(), "{invalid:?}");
    }
}

#[test]
fn a_curve_through_a_kink_is_unreliable() {
    let kinked = fit(&points(|x| if x < 500.0 { 100.0 } else { 100.0 + 40.0 * (x - 500.0) }, 0.0, 1));
    let kinked = kinked.expect("the points have a curve");
    assert!(kinked.residual > MAX_RESIDUAL && !kinked.is_reliable(), "{}", kinked.describe());
    assert!(kinked.describe().ends_with("unreliable"));
    assert!(!fit(&points(curve(Form::Linear), 0.0, 1))
        .expect("the points have a curve")
        .describe()
        .contains("unreliable"));
}

#[test]
fn forms_without_a_logarithm_include_zero() {
    let all: Vec<(f64, f64)> = [0.0, 1.0, 2.0, 3.0, 4.0, 5.0].iter().map(|x| (*x, 7.0 + 2.0 * x)).collect();
    let fitted = fit(&all).expect("the points have a curve");
    assert!(
        fitted.form == Form::Linear && is_close(fitted.value_at(100.0), 207.0, 1e-9),
        "{}",
        fitted.describe()
    );
}

#[test]
fn a_curve_is_unreliable_far_outside_its_range_and_below_zero() {
    let rising = fit(&points(curve(Form::Linear), 0.0, 1)).expect("the points have a curve");
    let limit = MAX_EXTRAPOLATION * 1600.0;
    assert!(rising.is_reliable_at(limit) && !rising.is_reliable_at(limit + 1.0));
    let falling = fit(&points(|x| 900.0 - 0.3 * x, 0.0, 1)).expect("the points have a curve");
    assert!(
        falling.is_reliable_at(2999.0) && !falling.is_reliable_at(3001.0),
        "negative values were not measured"
    );
    let constant = fit(&points(curve(Form::Constant), 0.0, 1)).expect("the points have a curve");
    assert!(constant.is_reliable_at(1e12), "a constant does not grow");
    let negative = fit(&points(|x| -900.0 - 0.3 * x, 0.0, 1)).expect("the points have a curve");
    assert!(negative.is_reliable_at(3001.0));
}
