//! basaltgw-adapter: the decision module on the bench's wire, over standard input and output.

use basaltgw_adapter::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = Host::default();
    let (stdin, stdout) = (io::stdin(), io::stdout());
    let mut out = io::BufWriter::new(stdout.lock());
    for (index, line) in stdin.lock().split(b'\n').enumerate() {
        let reply = line.map_err(|e| e.to_string()).and_then(|l| {
            let text = std::str::from_utf8(&l).map_err(|_| "not UTF-8".to_string())?;
            if text.trim().is_empty() {
                return Err("empty line where a batch was expected".into());
            }
            host.batch(text).map_err(|e| e.to_string())
        });
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(e) => {
                eprintln!("basaltgw-adapter: line {}: {e}", index + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
