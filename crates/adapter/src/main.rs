//! basaltgw-adapter serves the decision module over the simulator's JSON protocol on standard input and output: for
//! each line of input, a batch of events, it writes one line with the resulting actions.

use basaltgw_adapter::RouterHost;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = RouterHost::default();
    let (stdin, stdout) = (io::stdin(), io::stdout());
    let mut output = io::BufWriter::new(stdout.lock());
    for (index, line) in stdin.lock().split(b'\n').enumerate() {
        match line.map_err(|e| e.to_string()).and_then(|line| reply(&mut host, &line)) {
            Ok(reply) => {
                if writeln!(output, "{reply}").and_then(|()| output.flush()).is_err() {
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

/// The line of output for a line of input.
fn reply(host: &mut RouterHost, line: &[u8]) -> Result<String, String> {
    let text = std::str::from_utf8(line).map_err(|_| "not UTF-8".to_string())?;
    if text.trim().is_empty() {
        return Err("empty line where a batch was expected".into());
    }
    host.handle_batch(text).map_err(|e| e.to_string())
}
