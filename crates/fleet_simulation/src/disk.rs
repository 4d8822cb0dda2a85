//! A router's disk: what was committed is there after the process has ended, what was not is lost.

use basaltgw_storage::{Space, Write};
use std::collections::BTreeMap;

/// See the module.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    entries: BTreeMap<(u8, Vec<u8>), Vec<u8>>,
    /// Commits taken.
    pub commits: u64,
    /// Bytes of keys and values written.
    pub written: u64,
}

impl Disk {
    /// Takes writes as one.
    pub fn commit(&mut self, writes: Vec<Write>) {
        self.commits += 1;
        for write in writes {
            match write {
                Write::Put(space, key, value) => {
                    self.written += (key.len() + value.len()) as u64;
                    self.entries.insert((space.0, key), value);
                }
                Write::Remove(space, key) => {
                    self.written += key.len() as u64;
                    self.entries.remove(&(space.0, key));
                }
            }
        }
    }

    /// All of a space, in the order of keys.
    pub fn read(&self, space: Space) -> Vec<(Vec<u8>, Vec<u8>)> {
        let all = self.entries.range((space.0, Vec::new())..).take_while(|((s, _), _)| *s == space.0);
        all.map(|((_, key), value)| (key.clone(), value.clone())).collect()
    }

    /// One entry.
    pub fn get(&self, space: Space, key: &[u8]) -> Option<Vec<u8>> {
        self.entries.get(&(space.0, key.to_vec())).cloned()
    }

    /// Nothing was ever written.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
