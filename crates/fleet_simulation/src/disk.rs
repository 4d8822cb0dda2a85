//! The disk of a simulated router: committed writes survive the end of the process, others are lost.

use basaltgw_storage::{Space, Write};
use std::collections::BTreeMap;

/// The stored entries of one router.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    entries: BTreeMap<(u8, Vec<u8>), Vec<u8>>,
    /// Number of commits.
    pub commits: u64,
    /// Bytes of keys and values written.
    pub written: u64,
}

impl Disk {
    /// Applies writes atomically.
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

    /// All entries of a space, in the order of their keys.
    pub fn read(&self, space: Space) -> Vec<(Vec<u8>, Vec<u8>)> {
        let all = self.entries.range((space.0, Vec::new())..).take_while(|((s, _), _)| *s == space.0);
        all.map(|((_, key), value)| (key.clone(), value.clone())).collect()
    }

    /// The value of one key.
    pub fn get(&self, space: Space, key: &[u8]) -> Option<Vec<u8>> {
        self.entries.get(&(space.0, key.to_vec())).cloned()
    }

    /// Whether the disk has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
