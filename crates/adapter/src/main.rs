//! basaltgw-adapter: the decision module behind the simulator's JSON protocol, one line of input and one line
//! of output for each batch, over standard input and output.

use basaltgw_adapter::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = Host::default();
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
fn reply(host: &mut Host, line: &[u8]) -> Result<String, String> {
    let text = std::str::from_utf8(line).map_err(|_| "not UTF-8".to_string())?;
    if text.trim().is_empty() {
        return Err("empty line where a batch was expected".into());
    }
    host.batch(text).map_err(|e| e.to_string())
}
