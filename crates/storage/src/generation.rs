//! Generations: whole copies of a store in files of their own, for operators.

use crate::data::{Data, Tally};
use crate::files::{names, numbered, sync_folder};
use crate::{Fault, Space};
use basaltgw_types::Incarnation;
use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::{Path, PathBuf};

const MAGIC: [u8; 8] = *b"BGWCOPY1";

/// A copy as it was read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Whose copy it is.
    pub incarnation: Incarnation,
    /// After how many commits it was made.
    pub commits: u64,
    /// All entries.
    pub entries: Vec<(Space, Vec<u8>, Vec<u8>)>,
}

/// Writes one and removes the oldest over `keep`.
pub fn write(place: &Path, data: &Data, tally: Tally, keep: usize) -> Result<PathBuf, Fault> {
    let partial = place.join("partial");
    let path = place.join(format!("generation-{}", tally.commits));
    let fault = |e| Fault::io(&partial, &e);
    let mut out = BufWriter::new(File::create(&partial).map_err(fault)?);
    let mut hasher = blake3::Hasher::new();
    let mut put = |bytes: &[u8]| {
        hasher.update(bytes);
        out.write_all(bytes).map_err(fault)
    };
    put(&MAGIC)?;
    put(&tally.incarnation.0.to_le_bytes())?;
    put(&tally.commits.to_le_bytes())?;
    put(&tally.entries.to_le_bytes())?;
    data.scan(None, |key, _, value| {
        for part in [key, value] {
            put(&(part.len() as u64).to_le_bytes())?;
            put(part)?;
        }
        Ok(())
    })?;
    out.write_all(hasher.finalize().as_bytes()).map_err(fault)?;
    let file = out.into_inner().map_err(|e| fault(e.into_error()))?;
    file.sync_all().map_err(fault)?;
    std::fs::rename(&partial, &path).map_err(fault)?;
    sync_folder(place)?;
    let mut numbers: Vec<u64> = names(place)?.iter().filter_map(|n| numbered(n, "generation")).collect();
    numbers.sort_unstable();
    let over = numbers.len().saturating_sub(keep.max(1));
    for number in numbers.iter().take(over) {
        let old = place.join(format!("generation-{number}"));
        std::fs::remove_file(&old).map_err(|e| Fault::io(&old, &e))?;
    }
    Ok(path)
}

/// Reads a copy back, whole or not at all.
///
/// # Errors
/// [`Fault::Foreign`] if it is no copy, [`Fault::Torn`] if it ends too early, [`Fault::Flipped`] if its checksum does not fit.
pub fn read_generation(path: &Path) -> Result<Generation, Fault> {
    let bytes = std::fs::read(path).map_err(|e| Fault::io(path, &e))?;
    if bytes.get(..MAGIC.len()) != Some(&MAGIC) {
        return Err(Fault::foreign(path, format!("expected a start of {MAGIC:?}")));
    }
    let torn = || Fault::torn(path, format!("{} bytes are fewer than it says", bytes.len()));
    let (body, digest) = bytes.split_last_chunk::<32>().ok_or_else(torn)?;
    let whole = blake3::hash(body).as_bytes() == digest;
    let parsed = parse(body);
    match (whole, parsed) {
        (true, Some(generation)) => Ok(generation),
        (true, None) => Err(Fault::foreign(path, "its checksum fits and its entries can't be read")),
        (false, Some(_)) => Err(Fault::flipped(path, "its checksum does not fit")),
        (false, None) => Err(torn()),
    }
}

fn parse(body: &[u8]) -> Option<Generation> {
    let mut rest = body.get(MAGIC.len()..)?;
    let incarnation = u128::from_le_bytes(*take(&mut rest)?);
    let commits = u64::from_le_bytes(*take(&mut rest)?);
    let count = u64::from_le_bytes(*take(&mut rest)?);
    let mut entries = Vec::new();
    for _ in 0..count {
        let mut part = || {
            let length = usize::try_from(u64::from_le_bytes(*take(&mut rest)?)).ok()?;
            let (part, after) = rest.split_at_checked(length)?;
            rest = after;
            Some(part)
        };
        let (key, value) = (part()?, part()?);
        let (space, key) = key.split_first()?;
        entries.push((Space(*space), key.to_vec(), value.to_vec()));
    }
    rest.is_empty().then_some(Generation { incarnation: Incarnation(incarnation), commits, entries })
}

fn take<'a, const N: usize>(rest: &mut &'a [u8]) -> Option<&'a [u8; N]> {
    let (first, after) = rest.split_first_chunk::<N>()?;
    *rest = after;
    Some(first)
}
