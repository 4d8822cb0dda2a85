//! Fault injection into router processes: the library that is preloaded into them, and the shared file that sets its faults.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A kind of fault. The shared file and `basaltgw_fault_injection::control` have the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The wall clock is stepped by the value, in milliseconds, forward or backward. Hits are readings of the stepped clock.
    WallClock,
    /// One of `value` calls to accept a connection fails; none if the value is 0. The same applies to all faults below.
    Accept,
    /// Calls to connect fail. Takes effect only in a program built with `--cfg rustix_use_libc`.
    Connect,
    /// Calls to create a socket fail. Takes effect only under the same condition as [`Fault::Connect`].
    Socket,
    /// Calls to send or receive transfer a single byte.
    Short,
    /// Calls to send or receive fail as if interrupted by a signal.
    Interrupted,
    /// Calls to receive fail as on a broken connection.
    Broken,
    /// Calls to sync a file fail.
    Sync,
    /// Calls to write to a file fail.
    FileWrite,
}

impl Fault {
    /// All kinds, in the order of the shared file.
    pub const ALL: [Self; 9] = [
        Self::WallClock,
        Self::Accept,
        Self::Connect,
        Self::Socket,
        Self::Short,
        Self::Interrupted,
        Self::Broken,
        Self::Sync,
        Self::FileWrite,
    ];
}

/// The size of a number in the shared file.
const NUMBER_BYTES: u64 = 8;
/// The file name of the library.
const LIBRARY_NAME: &str = "libbasaltgw_fault_injection.so";

/// The faults that are injected into one router process.
#[derive(Debug)]
pub struct Faults {
    library_path: PathBuf,
    path: PathBuf,
    file: File,
}

impl Faults {
    /// Creates the shared file at `path`, with all faults off.
    ///
    /// # Errors
    /// If the library is missing and can't be built, or the file can't be created.
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(2 * Fault::ALL.len() as u64 * NUMBER_BYTES)?;
        Ok(Self { library_path: find_or_build_library()?, path: path.into(), file })
    }

    /// The environment variables that the process has to be started with.
    pub fn environment(&self) -> Vec<(String, PathBuf)> {
        vec![("LD_PRELOAD".into(), self.library_path.clone()), ("GW_FAULTS".into(), self.path.clone())]
    }

    /// Sets the value of a fault; it takes effect at once.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set(&self, fault: Fault, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), fault as u64 * NUMBER_BYTES)
    }

    /// How often a fault was injected so far.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn hits(&self, fault: Fault) -> io::Result<u64> {
        let mut bytes = [0; NUMBER_BYTES as usize];
        self.file.read_exact_at(&mut bytes, (Fault::ALL.len() as u64 + fault as u64) * NUMBER_BYTES)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

/// Finds the library beside the running program or in the directory above. A test run of a single package has not built it; then it
/// is built here.
fn find_or_build_library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let directories: Vec<PathBuf> = program.ancestors().skip(1).take(2).map(Path::to_path_buf).collect();
    let find = || directories.iter().map(|directory| directory.join(LIBRARY_NAME)).find(|path| path.exists());
    if let Some(found) = find() {
        return Ok(found);
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--locked", "--package", "basaltgw-fault-injection"]);
    build.arg("--manifest-path").arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml"));
    if directories.iter().any(|directory| directory.ends_with("release")) {
        build.arg("--release");
    }
    let status = build.status()?;
    find().filter(|_| status.success()).ok_or_else(|| {
        io::Error::other(format!("{LIBRARY_NAME} not found beside {} after `{build:?}`", program.display()))
    })
}
