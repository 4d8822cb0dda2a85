//! The table of the four ways, as CSV: `cargo run --release -p basaltgw-scatter-gather --example sites -- SEEDS ROUTERS...`

use basaltgw_scatter_gather::sim::{beside, faults, row, Setup, Trouble, HEAD};
use std::process::ExitCode;

fn main() -> ExitCode {
    let numbers: Result<Vec<usize>, _> = std::env::args().skip(1).map(|a| a.parse()).collect();
    let (seeds, routers) = match numbers.as_deref() {
        Ok([]) => (1, vec![30, 300, 1_000]),
        Ok([seeds, routers @ ..]) if !routers.is_empty() => (*seeds as u64, routers.to_vec()),
        Ok(_) | Err(_) => {
            eprintln!("sites: expected the number of seeds and then numbers of routers, such as: 3 30 300");
            return ExitCode::from(2);
        }
    };
    println!("{HEAD}");
    let mut broken = Vec::new();
    for (r, trouble) in routers.iter().flat_map(|r| Trouble::ALL.map(|t| (*r, t))) {
        for seed in 1..=seeds {
            match beside(&Setup::new(r, trouble, seed)) {
                Ok(lines) => {
                    lines.iter().for_each(|l| println!("{}", row(l)));
                    broken.extend(faults(&lines));
                }
                Err(bad) => broken.push(bad.to_string()),
            }
        }
    }
    broken.iter().for_each(|b| eprintln!("{b}"));
    ExitCode::from(u8::from(!broken.is_empty()))
}
