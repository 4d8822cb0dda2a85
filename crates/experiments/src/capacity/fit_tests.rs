//! Curves: each form is found again through noise, and what is no curve is said to be none.

use super::fit::{fit, Fit, Form, FAR, RECKON};
use basaltgw_simulator::{draw, rng};

const PLACES: [f64; 7] = [50.0, 100.0, 200.0, 400.0, 800.0, 1100.0, 1600.0];

/// Points of a curve with noise up to that share.
fn points(of: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Vec<(f64, f64)> {
    let mut rng = rng(seed, 0);
    PLACES.iter().map(|x| (*x, of(*x) * (1.0 + noise * (2.0 * draw(&mut rng) - 1.0)))).collect()
}

fn close(a: f64, b: f64, share: f64) -> bool {
    (a - b).abs() <= share * b.abs()
}

/// A form's curve.
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
fn each_form_is_found_again_and_goes_on_as_it_began() {
    for form in Form::ALL {
        for seed in 0..20 {
            let exact = fit(&points(curve(form), 0.0, seed)).expect("a curve");
            assert_eq!(exact.form, form, "{}", exact.words());
            assert!(exact.residual < 1e-9 && exact.sound(), "{}", exact.words());
            assert!(close(exact.at(4300.0), curve(form)(4300.0), 1e-6), "{}", exact.words());
            let noisy: Fit = fit(&points(curve(form), 0.01, seed)).expect("a curve");
            assert_eq!(noisy.form, form, "{}", noisy.words());
            assert!(noisy.sound() && close(noisy.at(4300.0), curve(form)(4300.0), 0.1), "{}", noisy.words());
        }
    }
}

#[test]
fn noise_alone_is_a_constant() {
    for seed in 0..20 {
        let found = fit(&points(curve(Form::Constant), 0.015, seed)).expect("a curve");
        assert_eq!(found.form, Form::Constant, "{}", found.words());
    }
}

#[test]
fn what_falls_is_told_with_its_sign() {
    let found = fit(&points(|x| 900.0 - 0.3 * x, 0.0, 1)).expect("a curve");
    assert!(found.form == Form::Linear && close(found.slope, -0.3, 1e-6), "{}", found.words());
}

#[test]
fn fewer_than_five_places_are_refused_also_where_points_are_many() {
    let four: Vec<(f64, f64)> = points(curve(Form::Linear), 0.0, 1).into_iter().take(4).collect();
    assert!(fit(&four).expect_err("too few").contains("4 points"));
    let twice: Vec<(f64, f64)> = four.iter().chain(&four).copied().collect();
    assert!(fit(&twice).is_err());
}

#[test]
fn what_is_no_number_is_refused() {
    for wrong in [(10.0, f64::NAN), (f64::INFINITY, 1.0), (-1.0, 1.0)] {
        let mut all = points(curve(Form::Linear), 0.0, 1);
        all.push(wrong);
        assert!(fit(&all).is_err(), "{wrong:?}");
    }
}

#[test]
fn a_kink_is_not_to_be_reckoned_with() {
    let kinked = fit(&points(|x| if x < 500.0 { 100.0 } else { 100.0 + 40.0 * (x - 500.0) }, 0.0, 1));
    let kinked = kinked.expect("a curve");
    assert!(kinked.residual > RECKON && !kinked.sound(), "{}", kinked.words());
    assert!(kinked.words().ends_with("not to reckon with"));
    assert!(!fit(&points(curve(Form::Linear), 0.0, 1)).expect("a curve").words().contains("reckon"));
}

#[test]
fn zero_is_a_place_for_forms_without_a_logarithm() {
    let all: Vec<(f64, f64)> = [0.0, 1.0, 2.0, 3.0, 4.0, 5.0].iter().map(|x| (*x, 7.0 + 2.0 * x)).collect();
    let found = fit(&all).expect("a curve");
    assert!(found.form == Form::Linear && close(found.at(100.0), 207.0, 1e-9), "{}", found.words());
}

#[test]
fn far_beyond_what_was_measured_and_below_nothing_a_curve_tells_nothing() {
    let up = fit(&points(curve(Form::Linear), 0.0, 1)).expect("a curve");
    assert!(up.sound_at(FAR * 1600.0) && !up.sound_at(FAR * 1600.0 + 1.0));
    let down = fit(&points(|x| 900.0 - 0.3 * x, 0.0, 1)).expect("a curve");
    assert!(down.sound_at(2999.0) && !down.sound_at(3001.0), "it would be below nothing");
    let level = fit(&points(curve(Form::Constant), 0.0, 1)).expect("a curve");
    assert!(level.sound_at(1e12), "what does not grow stays");
    let below = fit(&points(|x| -900.0 - 0.3 * x, 0.0, 1)).expect("a curve");
    assert!(below.sound_at(3001.0));
}
