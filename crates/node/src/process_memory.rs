//! The memory that the process itself uses, as the system reports it.

use crate::limits::UNKNOWN_PROCESS_BYTES;

/// The file in which Linux reports on the process that reads it.
const STATUS_FILE: &str = "/proc/self/status";

/// The memory of the process that is resident now; [`UNKNOWN_PROCESS_BYTES`] if the system does not report it.
pub fn resident_bytes() -> usize {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    parse_resident_bytes(&status).unwrap_or(UNKNOWN_PROCESS_BYTES)
}

fn parse_resident_bytes(status: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1024)
}
