//! Measures the resources that many routers use, and prints a table:
//! `many BINARY SIZES RATES SEED WINDOW_S [BEAT_MS [PROBES [alone|overlay]]]`, where lists are separated by commas.
//!
//! `many feed WATCHERS RATE WINDOW_S` measures only how the change log delivers purges to its watchers.

use basaltgw_emulator::rig::fleet_cost::{measure_change_log_delivery, measure_fleet, Figures, FleetSetup};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

const FLEET_USAGE: &str = "usage: many BINARY SIZES RATES SEED WINDOW_S [BEAT_MS [PROBES [alone|overlay]]]";
const DELIVERY_USAGE: &str = "usage: many feed WATCHERS RATE WINDOW_S";

fn main() -> Result<(), String> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match &arguments[..] {
        [command, watchers, rate, window] if command == "feed" => print_delivery(watchers, rate, window),
        [binary, sizes, rates, seed, window, options @ ..] => {
            let mut setup = FleetSetup::new(Path::new(binary), 0);
            setup.purge_rates = parse_list(rates);
            setup.seed = seed.parse().map_err(|_| "the seed is not a number")?;
            setup.window = parse_window(window)?;
            apply_options(&mut setup, options);
            print_fleets(&setup, &parse_list(sizes))
        }
        _ => Err(FLEET_USAGE.into()),
    }
}

fn parse_list<T: FromStr>(text: &str) -> Vec<T> {
    text.split(',').filter_map(|item| item.parse().ok()).collect()
}

fn parse_window(seconds: &str) -> Result<Duration, String> {
    let seconds = seconds.parse().map_err(|_| "the window is not a number of seconds")?;
    Ok(Duration::from_secs_f64(seconds))
}

fn print_delivery(watchers: &str, rate: &str, window: &str) -> Result<(), String> {
    let (Ok(watchers), Ok(rate)) = (watchers.parse(), rate.parse()) else {
        return Err(DELIVERY_USAGE.into());
    };
    for (name, value) in measure_change_log_delivery(watchers, rate, parse_window(window)?)? {
        println!("{name}\t{value:.2}");
    }
    Ok(())
}

fn apply_options(setup: &mut FleetSetup, options: &[String]) {
    let heartbeat_ms = options.first().and_then(|ms| ms.parse().ok()).filter(|ms| *ms > 0);
    setup.heartbeat = heartbeat_ms.map(Duration::from_millis);
    setup.probes_per_window = options.get(1).and_then(|n| n.parse().ok()).unwrap_or(setup.probes_per_window);
    setup.fleet = options.get(2).is_none_or(|mode| mode != "alone");
    setup.overlay = options.get(2).is_some_and(|mode| mode == "overlay");
}

/// Measures fleets of these sizes, and prints a line for each window.
fn print_fleets(setup: &FleetSetup, sizes: &[usize]) -> Result<(), String> {
    let mut columns: Option<Vec<String>> = None;
    for routers in sizes {
        let setup = FleetSetup { routers: *routers, ..setup.clone() };
        for figures in measure_fleet(&setup)? {
            let columns = columns.get_or_insert_with(|| {
                let names: Vec<String> = figures.keys().cloned().collect();
                println!("{}", names.join(","));
                names
            });
            println!("{}", format_line(columns, &figures));
        }
    }
    Ok(())
}

/// Four decimals are more than two runs agree on.
fn format_line(columns: &[String], figures: &Figures) -> String {
    let cell = |name: &String| match figures.get(name) {
        Some(value) if value.fract() == 0.0 || value.abs() >= 1e4 => format!("{value:.0}"),
        Some(value) => format!("{value:.4}"),
        None => String::new(),
    };
    columns.iter().map(cell).collect::<Vec<_>>().join(",")
}
