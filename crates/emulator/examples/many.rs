//! Many routers as processes, as a table: `many BINARY SIZES RATES SEED WINDOW_S [BEAT_MS [PROBES [alone|overlay]]]`,
//! lists with commas. `many feed WATCHERS RATE WINDOW_S`: how far apart watchers of the change log alone hear a purge.

use basaltgw_emulator::rig::fleet_cost::{measure_change_log_delivery, measure_fleet, Figures, FleetSetup};
use std::path::Path;
use std::time::Duration;

fn numbers<T: std::str::FromStr>(text: &str) -> Vec<T> {
    text.split(',').filter_map(|n| n.parse().ok()).collect()
}

fn main() -> Result<(), String> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if let [word, watchers, rate, window] = &words[..] {
        let (Ok(watchers), Ok(rate), Ok(window)) = (watchers.parse(), rate.parse(), window.parse()) else {
            return Err("many feed WATCHERS RATE WINDOW_S".into());
        };
        if word == "feed" {
            for (name, value) in measure_change_log_delivery(watchers, rate, Duration::from_secs_f64(window))?
            {
                println!("{name}\t{value:.2}");
            }
            return Ok(());
        }
    }
    let [binary, sizes, rates, seed, window, more @ ..] = &words[..] else {
        return Err("many BINARY SIZES RATES SEED WINDOW_S [BEAT_MS [PROBES [alone|overlay]]]".into());
    };
    let mut head: Option<Vec<String>> = None;
    for size in numbers::<usize>(sizes) {
        let mut many = FleetSetup::new(Path::new(binary), size);
        many.purge_rates = numbers(rates);
        many.seed = seed.parse().map_err(|_| "a seed")?;
        many.window = Duration::from_secs_f64(window.parse().map_err(|_| "a window in seconds")?);
        many.heartbeat =
            more.first().and_then(|ms| ms.parse().ok()).filter(|ms| *ms > 0).map(Duration::from_millis);
        many.probes_per_window = more.get(1).and_then(|n| n.parse().ok()).unwrap_or(many.probes_per_window);
        many.fleet = more.get(2).is_none_or(|word| word != "alone");
        many.overlay = more.get(2).is_some_and(|word| word == "overlay");
        for row in measure_fleet(&many)? {
            let head = head.get_or_insert_with(|| {
                let names: Vec<String> = row.keys().cloned().collect();
                println!("{}", names.join(","));
                names
            });
            println!("{}", line(head, &row));
        }
    }
    Ok(())
}

/// Four digits that count are more than two runs share.
fn line(head: &[String], row: &Figures) -> String {
    let cell = |name: &String| match row.get(name) {
        Some(value) if value.fract() == 0.0 || value.abs() >= 1e4 => format!("{value:.0}"),
        Some(value) => format!("{value:.4}"),
        None => String::new(),
    };
    head.iter().map(cell).collect::<Vec<_>>().join(",")
}
