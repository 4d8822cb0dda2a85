//! Compares the four strategies in simulated time and prints the results as CSV:
//! `cargo run --release -p basaltgw-scatter-gather --example sites -- SEEDS ROUTERS...`

use basaltgw_scatter_gather::sim::{compare_strategies, csv_row, find_violations, Fault, Setup, CSV_HEADER};
use std::process::ExitCode;

fn main() -> ExitCode {
    let numbers: Result<Vec<usize>, _> = std::env::args().skip(1).map(|arg| arg.parse()).collect();
    let (seeds, fleet_sizes) = match numbers.as_deref() {
        Ok([]) => (1, vec![30, 300, 1_000]),
        Ok([seeds, fleet_sizes @ ..]) if !fleet_sizes.is_empty() => (*seeds as u64, fleet_sizes.to_vec()),
        Ok(_) | Err(_) => {
            eprintln!("sites: expected the number of seeds and then numbers of routers, such as: 3 30 300");
            return ExitCode::from(2);
        }
    };
    println!("{CSV_HEADER}");
    let mut errors = Vec::new();
    for (routers, fault) in fleet_sizes.iter().flat_map(|routers| Fault::ALL.map(|fault| (*routers, fault))) {
        for seed in 1..=seeds {
            match compare_strategies(&Setup::new(routers, fault, seed)) {
                Ok(rows) => {
                    rows.iter().for_each(|row| println!("{}", csv_row(row)));
                    errors.extend(find_violations(&rows));
                }
                Err(invalid) => errors.push(invalid.to_string()),
            }
        }
    }
    errors.iter().for_each(|error| eprintln!("{error}"));
    ExitCode::from(u8::from(!errors.is_empty()))
}
