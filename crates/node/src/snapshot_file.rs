//! The file in which a process stores the decision module's snapshot for the next process.

use crate::clock::wall_now;
use basaltgw::api::Ms;
use basaltgw::routing::snapshot::Snapshot;
use basaltgw_config::snapshot::{self, MAX_FILE_BYTES};
use basaltgw_config::SnapshotFile;
use std::io;
use std::path::Path;

/// Loads the snapshot, with Unix times; a missing or unusable file is logged and ignored. The snapshot's age is computed from the wall
/// clock, so nothing may rely on it.
pub(crate) fn load(snapshot_file: &SnapshotFile) -> Option<Snapshot> {
    let file = snapshot_file.path.display();
    if !snapshot_file.path.exists() {
        log::info!("no snapshot at {file}");
        return None;
    }
    read(snapshot_file).map_err(|e| log::warn!("snapshot {file} ignored: {e}")).ok()
}

fn read(snapshot_file: &SnapshotFile) -> Result<Snapshot, String> {
    let size = std::fs::metadata(&snapshot_file.path).map_err(|e| e.to_string())?.len();
    if size > MAX_FILE_BYTES {
        return Err(format!("expected at most {} bytes, found {size}", MAX_FILE_BYTES));
    }
    let text = std::fs::read_to_string(&snapshot_file.path).map_err(|e| e.to_string())?;
    snapshot::read(&text, wall_now(), snapshot_file.max_age).map_err(|e| e.to_string())
}

/// Writes the snapshot as of a Unix time; a failure is logged.
pub(crate) fn store(snapshot_file: &SnapshotFile, snapshot: &Snapshot, unix_ms: Ms) {
    let file = snapshot_file.path.display();
    match replace(&snapshot_file.path, &snapshot::write(snapshot, unix_ms)) {
        Ok(()) => log::info!("snapshot of {} servers written to {file}", snapshot.servers.len()),
        Err(e) => log::warn!("snapshot {file} not written: {e}"),
    }
}

/// Replaces a file by a rename, so that it always has either the whole old or the whole new text.
fn replace(file: &Path, text: &str) -> io::Result<()> {
    let mut new = file.to_path_buf().into_os_string();
    new.push(".new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, file)
}
