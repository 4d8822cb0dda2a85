//! The store: one life in one folder, open in one process.

use crate::data::{Data, Tally, LONGEST_KEY};
use crate::files::{current, lock, names, numbered, sync_folder, Lock};
use crate::life::{Life, Mark};
use crate::{generation, Fault, Found, Limits, Pairs, Space, Write};
use basaltgw_types::Incarnation;
use std::cell::RefCell;
use std::path::{Path, PathBuf};

/// Lives set aside that a folder keeps; an operator removes them once they are looked into.
pub const MOST_DAMAGED: usize = 16;

/// Where entries are read from.
#[derive(Debug)]
enum State {
    /// The database takes commits.
    Open(Data),
    /// A commit failed. The database is closed until the next one; what is read comes from a copy, made when first asked for.
    Failed(Option<Data>),
}

/// An open store. Its folder is locked until it is dropped.
#[derive(Debug)]
pub struct Store {
    // Dropped first: the database is closed before the folder is free.
    state: RefCell<State>,
    life: Life,
    tally: Tally,
    limits: Limits,
    folder: PathBuf,
    _lock: Lock,
}

impl Store {
    /// Opens a folder, which is made if it is missing. An empty one gets a new life, whose incarnation is `draw`: random bits, never used
    /// before. All that is stored is read once and compared with its checksums.
    ///
    /// # Errors
    /// [`Fault`] tells apart what was found. Nothing that is damaged is mended, and nothing older taken in its place: see
    /// [`Store::set_aside`].
    pub fn open(folder: &Path, limits: Limits, draw: u128) -> Result<(Self, Found), Fault> {
        std::fs::create_dir_all(folder).map_err(|e| Fault::io(folder, &e))?;
        let held = lock(folder)?;
        let own = |n: &String| {
            ["lock", "current", "new", "lost+found"].contains(&n.as_str()) || numbered(n, "damaged").is_some()
        };
        let found = names(folder)?;
        if let Some(other) = found.iter().find(|n| !own(n)) {
            return Err(Fault::foreign(&folder.join(other), "expected a folder for this store alone"));
        }
        let empty = !found.iter().any(|n| n == "current");
        if empty {
            create(folder, Incarnation(draw))?;
        }
        let (life, data, tally) = open_life(folder)?;
        tally.within(&limits)?;
        let incarnation = life.incarnation;
        let state = RefCell::new(State::Open(data));
        let store = Self { state, life, tally, limits, folder: folder.into(), _lock: held };
        Ok((store, if empty { Found::Empty(incarnation) } else { Found::Life(incarnation) }))
    }

    /// Whose life it is.
    pub fn incarnation(&self) -> Incarnation {
        self.life.incarnation
    }

    /// Entries and bytes stored, as bounded by [`Limits`].
    pub fn size(&self) -> (u64, u64) {
        (self.tally.entries, self.tally.bytes)
    }

    /// All of a space in the order of keys: never more than [`Limits`] allow.
    ///
    /// # Errors
    /// [`Fault::Flipped`] if a checksum does not fit; [`Fault::NoDisk`] if the disk can't be read.
    pub fn read(&self, space: Space) -> Result<Pairs, Fault> {
        self.reading(|data| data.read(space))
    }

    /// One value, if there is one.
    ///
    /// # Errors
    /// As [`Store::read`].
    pub fn get(&self, space: Space, key: &[u8]) -> Result<Option<Vec<u8>>, Fault> {
        self.reading(|data| data.get(space, key))
    }

    /// Makes a batch durable: all of it is on the disk when this returns without an error.
    ///
    /// # Errors
    /// [`Fault::Full`]: a bound would be passed, nothing was written. [`Fault::NoDisk`]: the batch is there whole or not at all; it can
    /// still be read, and the next commit tries the disk again. Others end the life.
    pub fn commit(&mut self, writes: &[Write]) -> Result<(), Fault> {
        for write in writes {
            let (key, value) = match write {
                Write::Put(_, key, value) => (key, value.len()),
                Write::Remove(_, key) => (key, 0),
            };
            let full = |what, wanted: usize, bound: usize| {
                Err(Fault::Full { what, wanted: wanted as u64, bound: bound as u64 })
            };
            if key.len() > LONGEST_KEY {
                return full("bytes of a key", key.len(), LONGEST_KEY);
            }
            if key.len() + value > self.limits.entry {
                return full("bytes of an entry", key.len() + value, self.limits.entry);
            }
        }
        self.reopen()?;
        let done = match self.state.get_mut() {
            State::Open(data) => data.commit(self.tally, writes, &self.limits).and_then(|tally| {
                self.life.mark(Mark { commits: tally.commits, length: data.length()? })?;
                Ok(tally)
            }),
            State::Failed(_) => return Err(Fault::foreign(&self.folder, "closed")),
        };
        match done {
            Ok(tally) => self.tally = tally,
            Err(Fault::Full { .. }) => (),
            // redb takes nothing more after a failed write: what is on the disk is looked at afresh.
            Err(_) => *self.state.get_mut() = State::Failed(None),
        }
        done.map(|_| ())
    }

    /// Writes a whole copy to the file `generation-N`, N being the number of commits, and keeps the last `keep` of them.
    ///
    /// Copies are for operators, to look into or to bring over by hand to a new life. A store never goes back to one.
    ///
    /// # Errors
    /// As [`Store::read`], and [`Fault::NoDisk`] if it can't be written; then the older copies stay.
    pub fn snapshot(&self, keep: usize) -> Result<PathBuf, Fault> {
        let place = current(&self.folder);
        self.reading(|data| generation::write(&place, data, self.tally, keep))
    }

    /// Moves a damaged life aside, to `damaged-N`, so that a new one can begin under another incarnation. To be asked for by an operator.
    ///
    /// # Errors
    /// [`Fault::Locked`] if a process has the folder, [`Fault::Full`] if [`MOST_DAMAGED`] are there, [`Fault::NoDisk`].
    pub fn set_aside(folder: &Path) -> Result<Option<PathBuf>, Fault> {
        let _held = lock(folder)?;
        let names = names(folder)?;
        let damaged: Vec<u64> = names.iter().filter_map(|n| numbered(n, "damaged")).collect();
        if !names.iter().any(|n| n == "current") {
            return Ok(None);
        }
        if damaged.len() >= MOST_DAMAGED {
            let (wanted, bound) = (damaged.len() as u64 + 1, MOST_DAMAGED as u64);
            return Err(Fault::Full { what: "damaged lives in a folder", wanted, bound });
        }
        let next = damaged.iter().max().map_or(1, |n| n.saturating_add(1));
        let to = folder.join(format!("damaged-{next}"));
        std::fs::rename(current(folder), &to).map_err(|e| Fault::io(&to, &e))?;
        sync_folder(folder)?;
        Ok(Some(to))
    }

    fn reading<T>(&self, read: impl FnOnce(&Data) -> Result<T, Fault>) -> Result<T, Fault> {
        let state = &mut *self.state.borrow_mut();
        let copy = match state {
            State::Open(data) | State::Failed(Some(data)) => return read(data),
            State::Failed(copy) => copy,
        };
        let path = current(&self.folder).join("data");
        let data = Data::open_copy(&path)?;
        let tally = data.check()?;
        self.life.check(tally.commits, &path)?;
        read(copy.insert(data))
    }

    /// After a failed commit, opens the database again. The batch that failed may turn out to be there.
    fn reopen(&mut self) -> Result<(), Fault> {
        if matches!(self.state.get_mut(), State::Failed(_)) {
            *self.state.get_mut() = State::Failed(None);
            let (life, data, tally) = open_life(&self.folder)?;
            (self.life, self.tally) = (life, tally);
            *self.state.get_mut() = State::Open(data);
        }
        Ok(())
    }
}

/// Makes a new life under another name, and gives it its own once all of it is on the disk.
fn create(folder: &Path, incarnation: Incarnation) -> Result<(), Fault> {
    let new = folder.join("new");
    let fault = |e| Fault::io(&new, &e);
    // Left by a process that ended before it had promised anything.
    if new.exists() {
        std::fs::remove_dir_all(&new).map_err(fault)?;
    }
    std::fs::create_dir(&new).map_err(fault)?;
    let data = Data::create(&new.join("data"), incarnation)?;
    Life::create(&new.join("life"), incarnation, Mark { commits: 1, length: data.length()? })?;
    drop(data);
    sync_folder(&new)?;
    std::fs::rename(&new, current(folder)).map_err(fault)?;
    sync_folder(folder)
}

/// Opens and checks what a folder holds: all that was acknowledged, or a fault.
fn open_life(folder: &Path) -> Result<(Life, Data, Tally), Fault> {
    let place = current(folder);
    let path = place.join("data");
    let mut life = Life::open(&place.join("life"))?;
    let found = std::fs::metadata(&path).map_or(0, |m| m.len());
    // A cut shows as damage to the database too; only its length tells which it was.
    let cut = |fault| match (fault, life.latest()) {
        (Fault::Flipped { path, why }, Some(mark)) if found < mark.length => {
            let why = format!("{found} bytes, expected {}: {why}", mark.length);
            Fault::Torn { path, why }
        }
        (fault, _) => fault,
    };
    let data = Data::open(&path).map_err(cut)?;
    let tally = data.check()?;
    if tally.incarnation != life.incarnation {
        let why = format!("of the life {}, expected {}", tally.incarnation, life.incarnation);
        return Err(Fault::foreign(&path, why));
    }
    life.check(tally.commits, &path)?;
    life.mark(Mark { commits: tally.commits, length: data.length()? })?;
    Ok((life, data, tally))
}
