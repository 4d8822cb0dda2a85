//! Fault injection into router processes: the library that is preloaded, and the file by which it is told what to do.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// A kind of fault, by its place in the shared file; `basaltgw_fault_injection::control` has the same order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Milliseconds by which the wall clock is stepped, signed; hits are readings of a stepped clock.
    WallClock,
    /// One accept in so many fails; 0 for none, as for all below.
    Accept,
    /// One connect in so many fails; seen only by a program built with `--cfg rustix_use_libc`.
    Connect,
    /// One socket in so many is not made; as for [`Fault::Connect`].
    Socket,
    /// One send or receive in so many moves a single byte.
    Short,
    /// One send or receive in so many is interrupted by a signal.
    Interrupted,
    /// One receive in so many finds its connection broken.
    Broken,
    /// One sync of a file in so many fails.
    Sync,
    /// One write to a file in so many fails.
    FileWrite,
}

impl Fault {
    /// All kinds, in the order of the file.
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

/// Bytes of a number in the file.
const WIDTH: u64 = 8;
/// The library's file name.
const LIBRARY: &str = "libbasaltgw_fault_injection.so";

/// The faults of one router process.
#[derive(Debug)]
pub struct Faults {
    library: PathBuf,
    path: PathBuf,
    file: File,
}

impl Faults {
    /// No faults yet, told by a file at `path`.
    ///
    /// # Errors
    /// If the library is not there and can't be built, or the file can't be made.
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(2 * Fault::ALL.len() as u64 * WIDTH)?;
        Ok(Self { library: library()?, path: path.into(), file })
    }

    /// The variables with which the process has to be started.
    pub fn environment(&self) -> Vec<(String, PathBuf)> {
        vec![("LD_PRELOAD".into(), self.library.clone()), ("GW_FAULTS".into(), self.path.clone())]
    }

    /// Sets a fault, from now on.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set(&self, fault: Fault, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), fault as u64 * WIDTH)
    }

    /// How often a fault was hit so far.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn hits(&self, fault: Fault) -> io::Result<u64> {
        let mut bytes = [0; WIDTH as usize];
        self.file.read_exact_at(&mut bytes, (Fault::ALL.len() as u64 + fault as u64) * WIDTH)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

/// The library: beside the running program or one folder above it. A test run of a single package has not built it: then it is built.
fn library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders: Vec<PathBuf> = program.ancestors().skip(1).take(2).map(Path::to_path_buf).collect();
    let find = || folders.iter().map(|folder| folder.join(LIBRARY)).find(|path| path.exists());
    if let Some(found) = find() {
        return Ok(found);
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut build = Command::new(cargo);
    build.args(["build", "--locked", "--package", "basaltgw-fault-injection"]);
    build.arg("--manifest-path").arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml"));
    if folders.iter().any(|folder| folder.ends_with("release")) {
        build.arg("--release");
    }
    let built = build.status()?;
    find().filter(|_| built.success()).ok_or_else(|| {
        io::Error::other(format!(
            "{LIBRARY} is not beside {}: expected `{build:?}` to make it",
            program.display()
        ))
    })
}
